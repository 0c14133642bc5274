//! An executor hangs in the middle of its work, and a class keeps order by key. See `claim.txt`.
mod common;
use common::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `safety.order_pause_us`: how long a key rests after an attempt that may still be executing.
const ORDER_PAUSE_MS: u64 = 800;
/// How long the executor hangs (the brief: 7.4 to 22 s).
const HANG_MS: u64 = 8_000;
/// How long an attempt that was given up may go on: this kind of machine does not stop work that runs. The rest of a key covers it.
const STOP_TAKES_MS: u64 = 600;
const TIMEOUT_MS: u64 = 20_000;
/// The first change of a key takes this long to run, the second one this long.
const FIRST_MS: u64 = 400;
const SECOND_MS: u64 = 50;
const KEYS: usize = 1;
/// Time limits are 50 ms longer on sockets.
const SLACK_MS: u64 = 50;

fn config(listen: SocketAddr, resolver: SocketAddr, known: &str) -> String {
    let class = |name: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","effect":"repeatable","dedup_scope":"all","window_us":5000000,"gain":1.0,"late_value":0.3,"on_time_us":1500000,"aim_stretch":2.0,"give_up_us":20000000,"streamed":false{more}}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peers":[],"resolver":"{resolver}","known":{known},
"settings":{{"balancers":1,"me":0,"my_zone":"kigali-dc","zones":["kigali-dc"],"skus":["std-a","std-b"],"tenants":[],
"grades":[{},{}],
"ceilings":{{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":2000000,"max_streams":32,"most_held":29225,"peer_messages":false,"probes":false,"retry_after":true,"second_copies":false,"send_cap":3}},
"charges":{{"waste":0.05,"late_fail":0.03}},
"family_info":{{"bills":true,"cpu_of_kind":[8,8],"grants":false,"lanes_count":true,"max_grant_share":0.4,"memory_by_kind_mb":[16384,16384],"parallelism":[1,1],"tells_every_us":1000000,"when_short":"wait","writes_tables":[false,false],"yields_to_loads":[false,false]}},
"telemetry":{{"columns":["cpu_share"],"how":"answers"}},"registry_mode":"automatic",
"safety":{{"answer_slack_us":20000,"budget_span_us":5000000,"cold_from":0.35,"drain_grace_us":1000000,"extra_free":2.0,"fall_us":1500000,"order_pause_us":{},"ramp_time_us":13000000,"resend_ratio":0.1,"tip_multiple":2.5}}}}}}"#,
        class("sim-check", r#","bound_to":["std-a"]"#),
        class("stock-update", r#","in_order":true,"bound_to":["std-b"]"#),
        ORDER_PAUSE_MS * 1_000
    )
}

/// An attempt as the executor saw it.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    key: String,
    /// When it had come whole.
    arrived_at: i64,
    /// When its end was written.
    ended_at: Option<i64>,
    /// When the word came that it is given up.
    given_up_at: Option<i64>,
    applied_at: Option<i64>,
    connection: u64,
}

/// The executor of kind std-b: it holds a table of stock, and each change is applied as its run ends. While it hangs it reads and
/// writes nothing; what runs goes on. As the hang ends it writes what is ready, and then reads what came.
struct Store {
    hangs: bool,
    /// Answers that wait for the end of the hang.
    ready: Vec<(usize, Arc<Mutex<TcpStream>>, Vec<u8>)>,
    attempts: Vec<Attempt>,
    values: BTreeMap<String, String>,
    changes: Vec<String>,
}

type Shared = Arc<Mutex<Store>>;

/// A line as it came, with the body of a request.
struct Message {
    arrived_at: i64,
    line: String,
    body: Vec<u8>,
}

/// Notes when each message has come, and passes it on. The socket is read at all times, so that the times are right; the executor
/// itself sees nothing of it while it hangs.
fn receive(stream: TcpStream, to: &std::sync::mpsc::Sender<Message>) {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(n) if n > 0 && line.ends_with("\r\n") => {}
            _ => return,
        }
        let line = line.trim_end().to_string();
        let mut body = Vec::new();
        if line.starts_with("REQ ") {
            let Some(length) = line.rsplit(' ').next().and_then(|l| l.parse::<usize>().ok()) else { return };
            body.resize(length + 2, 0);
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            body.truncate(length);
        }
        if to.send(Message { arrived_at: now_us(), line, body }).is_err() {
            return;
        }
    }
}

fn serve(number: u64, stream: TcpStream, store: &Shared, record: &Record) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a copy of the stream")));
    let (sender, messages) = std::sync::mpsc::channel();
    thread::spawn(move || receive(stream, &sender));
    for message in messages {
        while store.lock().unwrap().hangs {
            sleep_ms(1);
        }
        let Message { arrived_at, line, body } = message;
        let came = record.ms(arrived_at);
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["REQ", id, _, _] => {
                record.line(&format!("s-5: reads REQ {id}, which came at {came}"));
                let statement = String::from_utf8_lossy(&body).into_owned();
                run(number, arrived_at, id, &statement, &writer, store, record);
            }
            ["STOP", id] => {
                record.line(&format!("s-5: reads STOP {id}, which came at {came}"));
                let mut guard = store.lock().unwrap();
                for attempt in guard.attempts.iter_mut().filter(|a| a.id == id && a.connection == number && a.given_up_at.is_none()) {
                    attempt.given_up_at = Some(arrived_at);
                }
            }
            ["HELO", tag] => drop(writer.lock().unwrap().write_all(format!("{tag} PONG\r\n").as_bytes())),
            _ => {}
        }
    }
    let mut guard = store.lock().unwrap();
    for attempt in guard.attempts.iter_mut().filter(|a| a.connection == number && a.ended_at.is_none() && a.given_up_at.is_none()) {
        attempt.given_up_at = Some(now_us());
    }
}

/// Runs a statement `UPDATE sales_17.stock SET amount = VALUE WHERE item = 'KEY'`.
fn run(number: u64, arrived_at: i64, id: &str, statement: &str, writer: &Arc<Mutex<TcpStream>>, store: &Shared, record: &Record) {
    let key = statement.split('\'').nth(1).unwrap_or("").to_string();
    let value = statement.split(" = ").nth(1).and_then(|s| s.split(' ').next()).unwrap_or("").to_string();
    let index = {
        let mut guard = store.lock().unwrap();
        guard.attempts.push(Attempt { id: id.into(), key: key.clone(), arrived_at, ended_at: None, given_up_at: None, applied_at: None, connection: number });
        guard.attempts.len() - 1
    };
    record.line(&format!("s-5: runs {id} of connection {number}: {key} = {value}"));
    let (id, writer, store, record) = (id.to_string(), writer.clone(), store.clone(), record.clone());
    thread::spawn(move || {
        let work = Duration::from_millis(if value == "1" { FIRST_MS } else { SECOND_MS });
        let begin = Instant::now();
        let mut noted = Instant::now();
        while begin.elapsed() < work {
            sleep_ms(2);
            let guard = store.lock().unwrap();
            let attempt = &guard.attempts[index];
            // An attempt that was given up may go on for a while; then it ends without an effect.
            if attempt.given_up_at.is_some_and(|at| now_us() - at > (STOP_TAKES_MS * 1_000) as i64) {
                return;
            }
            if !guard.hangs && attempt.given_up_at.is_none() && noted.elapsed() > Duration::from_secs(1) {
                noted = Instant::now();
                let _ = writer.lock().unwrap().write_all(format!("{id} INFO tell=pct,v=0.5 0\r\n\r\n").as_bytes());
            }
        }
        let mut guard = store.lock().unwrap();
        guard.values.insert(key.clone(), value.clone());
        guard.attempts[index].applied_at = Some(now_us());
        let change = format!("{key} = {value} (request {id})");
        record.line(&format!("s-5: applied {change}"));
        guard.changes.push(change);
        if guard.attempts[index].given_up_at.is_some() {
            return;
        }
        let row = format!("{key}\t{value}\tupdated\n");
        let answer = format!("{id} HIT pages=1,cost={},need=8,meter=util:0.10 {}\r\n{row}\r\n", work.as_millis(), row.len()).into_bytes();
        if guard.hangs {
            guard.ready.push((index, writer, answer));
        } else {
            guard.attempts[index].ended_at = Some(now_us());
            record.line(&format!("s-5: HIT {id}"));
            let _ = writer.lock().unwrap().write_all(&answer);
        }
    });
}

fn end_hang(store: &Shared, record: &Record) {
    let mut guard = store.lock().unwrap();
    let ready = std::mem::take(&mut guard.ready);
    for (index, writer, answer) in ready {
        guard.attempts[index].ended_at = Some(now_us());
        record.line(&format!("s-5: HIT {} at the end of the hang", guard.attempts[index].id));
        let _ = writer.lock().unwrap().write_all(&answer);
    }
    guard.hangs = false;
}

fn main() {
    start_watchdog();
    let record_file = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: order RECORD TEMP")));
    let temp = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| cannot_run("usage: order RECORD TEMP")));
    let record = Record::create(&record_file);
    let trouble = is_trouble_on();
    record.say(&format!("TROUBLE={}", i32::from(trouble)));

    let options = ExecutorOptions {
        cores: 8.0,
        sessions: 80,
        cold: None,
        work: HashMap::from([("sim-check".to_string(), 0.1)]),
        result: b"2026-12-04\t17\tx\n".to_vec(),
    };
    let others: Vec<Executor> = (1..=4).map(|n| Executor::start(&format!("s-{n}"), 10 + n, options.clone(), &record)).collect();
    let store: Shared = Arc::new(Mutex::new(Store { hangs: false, ready: Vec::new(), attempts: Vec::new(), values: BTreeMap::new(), changes: Vec::new() }));
    let listener = TcpListener::bind((host(15).as_str(), 0)).unwrap_or_else(|e| cannot_run(&format!("executor: {e}")));
    let address = listener.local_addr().expect("bound");
    {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (store, record) = (store.clone(), record.clone());
                thread::spawn(move || serve(number as u64 + 1, stream, &store, &record));
            }
        });
    }
    let mut entries: Vec<Entry> = others.iter().map(|e| Entry::ready(&e.name, e.address, "std-a")).collect();
    entries.push(Entry::ready("s-5", address, "std-b"));
    let names = NameService::start(2, entries, &record);
    let listen = free_address(1);
    let mut controller = Controller::new(listen, &temp);
    controller.start(&config(listen, names.address, &names.known()));
    record.line("controller ready");

    // The other class, which widens the ration of further attempts.
    let stop = Arc::new(AtomicBool::new(false));
    let usual = {
        let stop = stop.clone();
        thread::spawn(move || {
            let pool: Arc<Pool> = Arc::default();
            while !stop.load(SeqCst) {
                let pool = pool.clone();
                thread::spawn(move || pool.call(listen, "sim-check", &new_request_id(), 3_000, 100.0, "SELECT count(*), 1, 2 FROM sales_3.orders"));
                sleep_ms(50);
            }
        })
    };
    sleep_ms(1_000);

    // For each key a first change, and 0.2 s later a second one.
    let pool: Arc<Pool> = Arc::default();
    let mut calls = Vec::new();
    let answers: Arc<Mutex<BTreeMap<(usize, u32), (String, Ending)>>> = Arc::default();
    let mut change = |key: usize, value: u32, cost: u64| {
        let (pool, record, answers) = (pool.clone(), record.clone(), answers.clone());
        calls.push(thread::spawn(move || {
            let id = new_request_id();
            record.line(&format!("client: {id} item-{key} = {value}"));
            let statement = format!("UPDATE sales_17.stock SET amount = {value} WHERE item = 'item-{key}'");
            let ending = pool.call_in_order(listen, "stock-update", &id, TIMEOUT_MS, cost as f64, &statement, &format!("item-{key}"));
            record.line(&format!("client: {id} {ending:?}"));
            answers.lock().unwrap().insert((key, value), (id, ending));
        }));
    };
    for key in 1..=KEYS {
        change(key, 1, FIRST_MS);
    }
    sleep_ms(150);
    if trouble {
        store.lock().unwrap().hangs = true;
        record.say(&format!("s-5, one of five executors, hangs for {HANG_MS} ms in the middle of its work"));
    }
    sleep_ms(50);
    for key in 1..=KEYS {
        change(key, 2, SECOND_MS);
    }
    if trouble {
        sleep_ms(HANG_MS - 50);
        end_hang(&store, &record);
        record.say("the hang is over");
    }
    calls.into_iter().for_each(|call| drop(call.join()));
    sleep_ms(1_500);
    stop.store(true, SeqCst);
    let _ = usual.join();

    // The rule: nothing is sent for a request of a key while an earlier one has an attempt out, and for the rest after one was given up.
    let guard = store.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut broken = 0;
    for key in 1..=KEYS {
        let key_name = format!("item-{key}");
        let (Some((first, first_ending)), Some((second, second_ending))) = (answers.get(&(key, 1)), answers.get(&(key, 2))) else {
            cannot_run("a client has no ending");
        };
        let of_key: Vec<&Attempt> = guard.attempts.iter().filter(|a| a.key == key_name).collect();
        for later in of_key.iter().filter(|a| a.id == *second) {
            for earlier in of_key.iter().filter(|a| a.id == *first) {
                let slack = (SLACK_MS * 1_000) as i64;
                let free_at = match (earlier.given_up_at, earlier.ended_at) {
                    (Some(at), _) => at + (ORDER_PAUSE_MS * 1_000) as i64 - slack,
                    (None, Some(at)) => at - slack,
                    (None, None) => i64::MAX,
                };
                if later.arrived_at < free_at {
                    broken += 1;
                    let since = earlier.given_up_at.map_or("is out".to_string(), |at| format!("was given up {:.1} ms before", (later.arrived_at - at) as f64 / 1e3));
                    record.say(&format!("{key_name}: the second request comes while an attempt of the first one {since}, and the key has to rest for {ORDER_PAUSE_MS} ms"));
                }
            }
        }
        let value = guard.values.get(&key_name).map_or("", String::as_str);
        let word = |ending: &Ending| if matches!(ending, Ending::Served(_)) { "served".to_string() } else { format!("{ending:?}") };
        record.say(&format!("{key_name}: first change {}, then second change {}; the table has {value}", word(first_ending), word(second_ending)));
        if matches!(second_ending, Ending::Served(_)) && value != "2" {
            record.say(&format!("{key_name}: the second change was accepted and served, and is lost"));
        }
    }
    record.line(&format!("changes in the order in which they were applied: {:?}", guard.changes));
    record.say(if broken > 0 { "the rule was broken" } else { "the rule held" });
    record.flush();
    controller.kill();
    std::process::exit(i32::from(broken > 0))
}
