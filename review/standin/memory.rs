//! Bad clients send calls with a wrong length to a controller with a small limit of memory. See `claim.txt`.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1_024;
/// Connections of bad clients that are open at a time. With those of the usual clients they are under a third of the descriptors.
const BAD_CONNECTIONS: usize = 320;
const BAD_THREADS: usize = 8;
/// Usual clients: calls a second, and at most this many at a time.
const RATE: f64 = 60.0;
const MAX_USUAL: usize = 20;
/// The length that a bad call states, what it sends of it, and the padding of its head.
const STATED_LENGTH: usize = 65_500;
const SENT_LENGTH: usize = 65_000;
const PADDING: usize = 7_500;
/// A bad client leaves after 0.2 s and up to this time, unless it is answered before.
const MAX_STAY_MS: u64 = 2_500;
const SECONDS: u64 = 30;

fn config(listen: SocketAddr, resolver: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str, aim_us: u64, give_up_us: u64| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_us":5000000,"gain":1.0,"late_value":0.3,"on_time_us":{aim_us},"aim_stretch":2.0,"give_up_us":{give_up_us},"streamed":false}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},
"peers":[],"resolver":"{resolver}","known":{known},
"settings":{{"balancers":1,"me":0,"my_zone":"kigali-dc","zones":["kigali-dc"],"skus":["std-a"],"tenants":[],
"grades":[{},{}],
"ceilings":{{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":2000000,"max_streams":32,"most_held":29225,"peer_messages":false,"probes":false,"retry_after":true,"second_copies":false,"send_cap":3}},
"charges":{{"waste":0.05,"late_fail":0.03}},
"family_info":{{"bills":true,"cpu_of_kind":[8],"grants":false,"lanes_count":true,"max_grant_share":0.4,"memory_by_kind_mb":[16384],"parallelism":[1,1],"tells_every_us":1000000,"when_short":"wait","writes_tables":[false,true],"yields_to_loads":[false,false]}},
"telemetry":{{"columns":["cpu_share"],"how":"answers"}},"registry_mode":"automatic",
"safety":{{"answer_slack_us":20000,"budget_span_us":5000000,"cold_from":0.35,"drain_grace_us":1000000,"extra_free":2.0,"fall_us":1500000,"ramp_time_us":13000000,"resend_ratio":0.1,"tip_multiple":2.5}}}}}}"#,
        class("sim-check", "repeatable", 1_500_000, 3_000_000),
        class("batch-load", "once", 1_500_000, 3_000_000),
    )
}

/// Resident memory of a process in kB: without files (anonymous and shared), and in all.
fn memory_kb(pid: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| -> Option<u64> { text.lines().find_map(|l| l.strip_prefix(name)?.split_whitespace().next()?.parse().ok()) };
    Some((value("RssAnon:")? + value("RssShmem:").unwrap_or(0), value("VmRSS:")?))
}

/// Keeps its share of the bad connections open: each sends its call at full speed and reads what it is sent. When it is answered, or
/// leaves, another one takes its place.
fn send_bad_calls(at: SocketAddr, stop: &AtomicBool, opened: &AtomicU64, answered: &AtomicU64, record: &Record) {
    let mut rng = Rng::new(new_request_id().len() as u64 + now_us() as u64);
    let mut open = || -> Option<(TcpStream, Vec<u8>, usize, Instant, String)> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
        stream.set_nonblocking(true).ok()?;
        opened.fetch_add(1, SeqCst);
        let id = new_request_id();
        record.line(&format!("bad client: {id} states {STATED_LENGTH} bytes, sends {SENT_LENGTH}"));
        let mut call = format!(
            "POST /rpc/sim-check HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 2900\r\nX-Note: {}\r\nContent-Length: {STATED_LENGTH}\r\n\r\n",
            id,
            "n".repeat(PADDING)
        )
        .into_bytes();
        call.resize(call.len() + SENT_LENGTH, b'x');
        let leaves_at = Instant::now() + Duration::from_millis(200 + rng.below(MAX_STAY_MS));
        Some((stream, call, 0, leaves_at, id))
    };
    let mut connections = Vec::new();
    while !stop.load(SeqCst) {
        while connections.len() < BAD_CONNECTIONS / BAD_THREADS {
            match open() {
                Some(connection) => connections.push(connection),
                None => break,
            }
        }
        connections.retain_mut(|(stream, call, sent, leaves_at, id)| {
            if Instant::now() > *leaves_at {
                record.line(&format!("bad client: {id} leaves"));
                return false;
            }
            while *sent < call.len() {
                match stream.write(&call[*sent..]) {
                    Ok(n) => *sent += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return false,
                }
            }
            let mut answer = [0; 1_024];
            match stream.read(&mut answer) {
                Ok(n) => {
                    answered.fetch_add(u64::from(n > 0), SeqCst);
                    let status = String::from_utf8_lossy(&answer[..n]).split(' ').nth(1).unwrap_or("closed").to_string();
                    record.line(&format!("bad client: {id} {status}"));
                    false
                }
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            }
        });
        sleep_ms(2);
    }
}

fn main() {
    start_watchdog();
    let record_file = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: memory RECORD TEMP")));
    let temp = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| cannot_run("usage: memory RECORD TEMP")));
    let record = Record::create(&record_file);
    let trouble = is_trouble_on();
    record.say(&format!("TROUBLE={}", i32::from(trouble)));
    let options = ExecutorOptions {
        cores: 8.0,
        sessions: 80,
        cold: None,
        work: HashMap::from([("sim-check".to_string(), 0.15), ("batch-load".to_string(), 0.3)]),
        result: b"2026-12-04\t17\tx\n".to_vec(),
    };
    let executors: Vec<Executor> = (1..=3).map(|n| Executor::start(&format!("s-{n}"), 10 + n, options.clone(), &record)).collect();
    let names = NameService::start(2, executors.iter().map(|e| Entry::ready(&e.name, e.address, "std-a")).collect(), &record);
    let listen = free_address(1);
    let mut controller = Controller::new(listen, &temp);
    controller.start(&config(listen, names.address, &names.known()));
    let pid = controller.pid();
    record.say(&format!("controller ready; its limit is {MEMORY_MB} MB and {SOCKETS} descriptors; memory {:?} kB", memory_kb(pid)));

    let stop = Arc::new(AtomicBool::new(false));
    let open_calls = Arc::new(AtomicU64::new(0));
    let endings: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let usual = {
        let (stop, record, endings, open_calls) = (stop.clone(), record.clone(), endings.clone(), open_calls.clone());
        thread::spawn(move || {
            let pool: Arc<Pool> = Arc::default();
            let begin = Instant::now();
            let mut calls = Vec::new();
            for n in 0u64.. {
                thread::sleep(Duration::from_secs_f64(n as f64 / RATE).saturating_sub(begin.elapsed()));
                if stop.load(SeqCst) {
                    break;
                }
                if open_calls.load(SeqCst) >= MAX_USUAL as u64 {
                    continue;
                }
                let (class, cost) = if n % 10 == 0 { ("batch-load", 300.0) } else { ("sim-check", 150.0) };
                let (pool, record, endings, open_calls) = (pool.clone(), record.clone(), endings.clone(), open_calls.clone());
                open_calls.fetch_add(1, SeqCst);
                calls.push(thread::spawn(move || {
                    let id = new_request_id();
                    record.line(&format!("client: {class} {id}"));
                    let statement = format!("SELECT day, count(*), max(note) FROM sales_{}.orders GROUP BY day", 1 + n % 40);
                    let ending = pool.call(listen, class, &id, 3_000, cost, &statement);
                    open_calls.fetch_sub(1, SeqCst);
                    let word = match &ending {
                        Ending::Served(_) => "served".to_string(),
                        other => format!("{other:?}"),
                    };
                    record.line(&format!("client: {id} {word}"));
                    *endings.lock().unwrap().entry(word.split('(').next().unwrap_or("").to_string()).or_default() += 1;
                }));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    sleep_ms(1_000);
    let (opened, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut bad = Vec::new();
    if trouble {
        record.say(&format!("{BAD_CONNECTIONS} connections of bad clients"));
        for _ in 0..BAD_THREADS {
            let (stop, opened, answered, record) = (stop.clone(), opened.clone(), answered.clone(), record.clone());
            bad.push(thread::spawn(move || send_bad_calls(listen, &stop, &opened, &answered, &record)));
        }
    }

    // The platform: it kills a controller whose memory passes the limit. Files are left out, in favour of the controller.
    let begin = Instant::now();
    let (mut most, mut most_in_all) = (0, 0);
    let mut is_broken = false;
    while begin.elapsed() < Duration::from_secs(SECONDS) && !is_broken {
        sleep_ms(5);
        if controller.has_ended() {
            record.say("the controller has ended by itself");
            is_broken = true;
        } else if let Some((private, all)) = memory_kb(pid) {
            (most, most_in_all) = (most.max(private), most_in_all.max(all));
            if private > MEMORY_MB * 1_024 {
                let open = open_calls.load(SeqCst);
                record.say(&format!("memory {private} kB without files, {all} kB in all, {} ms after the bad clients came: over the limit", begin.elapsed().as_millis()));
                controller.kill();
                record.say(&format!("the platform kills the controller; {open} calls of usual clients are open"));
                is_broken = true;
            }
        }
    }
    stop.store(true, SeqCst);
    bad.into_iter().for_each(|thread| drop(thread.join()));
    let _ = usual.join();
    record.say(&format!("most memory: {most} kB without files, {most_in_all} kB in all"));
    record.say(&format!("bad calls: {} sent, {} answered", opened.load(SeqCst), answered.load(SeqCst)));
    let mut endings: Vec<_> = endings.lock().unwrap().clone().into_iter().collect();
    endings.sort();
    record.say(&format!("usual calls: {endings:?}"));
    record.say(if is_broken { "the rule was broken" } else { "the rule held" });
    record.flush();
    controller.kill();
    std::process::exit(i32::from(is_broken))
}
