//! A controller stalls while it sends a burst, and executors begin to drain. See `claim.txt`.
mod common;
use common::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;

/// Executors, and how many of them begin to drain: a quarter.
const EXECUTORS: usize = 8;
const DRAINS: usize = 2;
/// How long the controller stalls each time (`balancer_stall`: 300 to 2000 ms), and the time between two stalls (2 to 4 s).
const STALL_MS: u64 = 1_200;
const BETWEEN_MS: u64 = 2_500;
/// Requests that come at once, each from a client of its own.
const BURST: usize = 64;
/// The stall begins as this many requests of the burst have reached executors.
const STALL_AT: usize = 32;
const TIMEOUT_MS: u64 = 6_000;
/// Time that an answer of the name service takes.
const NAME_SERVICE_MS: u64 = 20;

fn config(me: usize, listen: SocketAddr, resolver: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_us":5000000,"gain":1.0,"late_value":0.3,"on_time_us":1500000,"aim_stretch":2.0,"give_up_us":20000000,"streamed":false}}"#
        )
    };
    format!(
        r#"{{"name":"n{me}","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peers":[],"resolver":"{resolver}","known":{known},
"settings":{{"balancers":2,"me":{me},"my_zone":"kigali-dc","zones":["kigali-dc"],"skus":["std-a"],"tenants":[],
"grades":[{},{}],
"ceilings":{{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":2000000,"max_streams":32,"most_held":29225,"peer_messages":false,"probes":false,"retry_after":true,"second_copies":false,"send_cap":3}},
"charges":{{"waste":0.05,"late_fail":0.03}},
"family_info":{{"bills":true,"cpu_of_kind":[8],"grants":false,"lanes_count":true,"max_grant_share":0.4,"memory_by_kind_mb":[16384],"parallelism":[1,1],"tells_every_us":1000000,"when_short":"wait","writes_tables":[false,true],"yields_to_loads":[false,false]}},
"telemetry":{{"columns":["cpu_share"],"how":"answers"}},"registry_mode":"automatic",
"safety":{{"answer_slack_us":20000,"budget_span_us":5000000,"cold_from":0.35,"drain_grace_us":1000000,"extra_free":2.0,"fall_us":1500000,"ramp_time_us":13000000,"resend_ratio":0.1,"tip_multiple":2.5}}}}}}"#,
        class("sim-check", "repeatable"),
        class("batch-load", "once"),
    )
}

fn main() {
    start_watchdog();
    let record_file = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: twice RECORD TEMP")));
    let temp = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| cannot_run("usage: twice RECORD TEMP")));
    let record = Record::create(&record_file);
    let trouble = is_trouble_on();
    record.say(&format!("TROUBLE={}", i32::from(trouble)));
    let options = ExecutorOptions {
        cores: 8.0,
        sessions: 80,
        cold: None,
        work: HashMap::from([("sim-check".to_string(), 0.05), ("batch-load".to_string(), 0.05)]),
        result: b"2026-12-04\t17\tx\n".to_vec(),
    };
    let executors: Vec<Executor> = (1..=EXECUTORS as u8).map(|n| Executor::start(&format!("s-{n}"), 10 + n, options.clone(), &record)).collect();
    let names = NameService::start(2, executors.iter().map(|e| Entry::ready(&e.name, e.address, "std-a")).collect(), &record);
    names.latency_ms.store(NAME_SERVICE_MS, SeqCst);
    // Two controllers, of which one stalls.
    let listen = free_address(1);
    let mut controller = Controller::new(listen, &temp);
    controller.start(&config(0, listen, names.address, &names.known()));
    let pid = controller.pid();
    let other_temp = temp.join("other");
    let _ = std::fs::create_dir(&other_temp);
    let other_listen = free_address(3);
    let mut other = Controller::new(other_listen, &other_temp);
    other.start(&config(1, other_listen, names.address, &names.known()));
    let stop = Arc::new(AtomicBool::new(false));
    let others_clients = {
        let stop = stop.clone();
        thread::spawn(move || {
            let pool = Pool::default();
            while !stop.load(SeqCst) {
                pool.call(other_listen, "sim-check", &new_request_id(), 3_000, 50.0, "SELECT count(*), 1, 2 FROM sales_3.orders");
                sleep_ms(100);
            }
        })
    };

    // While it is armed, the stall begins as half of a burst has reached executors; the one that got the last of it begins to drain.
    let armed = Arc::new(AtomicBool::new(false));
    let come = Arc::new(AtomicUsize::new(0));
    let drained: Arc<Mutex<Option<String>>> = Arc::default();
    for executor in &executors {
        let (armed, come, drained, names, record) = (armed.clone(), come.clone(), drained.clone(), names.clone(), record.clone());
        *executor.on_request.lock().unwrap() = Some(Arc::new(move |name: &str, class: &str| {
            if class != "batch-load" || come.fetch_add(1, SeqCst) + 1 != STALL_AT || !armed.swap(false, SeqCst) {
                return;
            }
            if trouble {
                send_signal(pid, SIGSTOP);
            }
            *drained.lock().unwrap() = Some(name.to_string());
            let serial = names.change(|entries| entries.iter_mut().filter(|e| e.id == name).for_each(|e| e.draining = true));
            record.say(&format!("{name} begins to drain (list {serial}){}", if trouble { "; the controller stalls" } else { "" }));
        }));
    }

    let pools: Vec<Arc<Pool>> = (0..BURST).map(|_| Arc::default()).collect();
    // How each call of the class that runs once ended, with its batch.
    let endings: Arc<Mutex<Vec<(String, String, Ending)>>> = Arc::default();
    {
        let pools = pools.clone();
        thread::spawn(move || loop {
            sleep_ms(100);
            pools.iter().for_each(|pool| pool.close_idle());
        });
    }
    let burst = |class: &'static str, record: &Record| {
        let start = Arc::new(Barrier::new(BURST + 1));
        let calls: Vec<_> = pools
            .iter()
            .enumerate()
            .map(|(n, pool)| {
                let (pool, record, endings, start) = (pool.clone(), record.clone(), endings.clone(), start.clone());
                thread::spawn(move || {
                    let batch = new_request_id();
                    let statement = format!("INSERT INTO sales_{n}.activations SELECT * FROM staging.intake WHERE batch = '{batch}'");
                    start.wait();
                    // A refusal says that trying again is harmless: such a client tries again once, under a new id. It keeps away for as
                    // long as a refusal may ask for (max_retry_after_us).
                    for attempt in 0..2 {
                        let id = new_request_id();
                        record.line(&format!("client: {class} {id} batch {batch}"));
                        let ending = match attempt {
                            0 => pool.call(listen, class, &id, TIMEOUT_MS, 50.0, &statement),
                            _ => pool.call_again(listen, class, &id, TIMEOUT_MS, 50.0, &statement),
                        };
                        record.line(&format!("client: {id} {ending:?}"));
                        if class == "batch-load" {
                            endings.lock().unwrap().push((batch.clone(), id, ending.clone()));
                        }
                        if ending != Ending::Refused {
                            break;
                        }
                        sleep_ms(2_000);
                    }
                })
            })
            .collect();
        (start, calls)
    };
    // Two bursts of the repeatable class, so that clients and executors have connections that rest.
    for _ in 0..2 {
        let (start, calls) = burst("sim-check", &record);
        start.wait();
        calls.into_iter().for_each(|call| drop(call.join()));
        sleep_ms(200);
    }
    for _ in 0..DRAINS {
        sleep_ms(BETWEEN_MS);
        // Connections of clients would have been closed as idle; the usual traffic opens new ones.
        let (start, calls) = burst("sim-check", &record);
        start.wait();
        calls.into_iter().for_each(|call| drop(call.join()));
        sleep_ms(300);
        let (start, calls) = burst("batch-load", &record);
        sleep_ms(50);
        // The burst comes while a query of the controller is on its way.
        let asked = names.queries_of(&host(1));
        while names.queries_of(&host(1)) == asked {
            thread::yield_now();
        }
        come.store(0, SeqCst);
        armed.store(true, SeqCst);
        start.wait();
        let begin = std::time::Instant::now();
        while armed.load(SeqCst) && begin.elapsed().as_millis() < 2_000 {
            sleep_ms(1);
        }
        armed.store(false, SeqCst);
        sleep_ms(STALL_MS);
        if trouble {
            send_signal(pid, SIGCONT);
            record.say("the stall is over");
        }
        calls.into_iter().for_each(|call| drop(call.join()));
    }
    sleep_ms(500);
    stop.store(true, SeqCst);
    let _ = others_clients.join();

    // The rule: a batch of this class is loaded once, and a call is refused only if it has not run.
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for executor in &executors {
        for receipt in executor.state.lock().unwrap().receipts.iter().filter(|r| r.class == "batch-load" && !r.shed) {
            runs.entry(receipt.id.clone()).or_default().push(format!("{} at {} ms", executor.name, record.ms(receipt.at)));
        }
    }
    let endings = endings.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    let batches: std::collections::BTreeSet<&String> = endings.iter().map(|(batch, _, _)| batch).collect();
    for batch in batches {
        let mut loads = Vec::new();
        for (_, id, ending) in endings.iter().filter(|(of, _, _)| of == batch) {
            let word = if matches!(ending, Ending::Served(_)) { "served".to_string() } else { format!("{ending:?}") };
            let ran = runs.get(id).map_or(&[][..], Vec::as_slice);
            loads.extend(ran.iter().map(|run| format!("under {id} by {run} (its client saw {word})")));
            refused += usize::from(!ran.is_empty() && *ending == Ending::Refused);
        }
        if loads.len() > 1 {
            twice += 1;
            record.say(&format!("batch {batch} was loaded {} times: {}", loads.len(), loads.join(", ")));
        }
    }
    let count = |wanted: &dyn Fn(&Ending) -> bool| endings.iter().filter(|(_, _, e)| wanted(e)).count();
    record.say(&format!(
        "{} calls: {} served, {} refused, {} failed, {} others; {refused} ran and were refused, {twice} batches were loaded twice",
        endings.len(),
        count(&|e| matches!(e, Ending::Served(_))),
        count(&|e| matches!(e, Ending::Refused)),
        count(&|e| matches!(e, Ending::Failed(_))),
        count(&|e| matches!(e, Ending::Lost(_) | Ending::Late | Ending::Unreachable)),
    ));
    let is_broken = twice + refused > 0;
    record.say(if is_broken { "the rule was broken" } else { "the rule held" });
    record.flush();
    controller.kill();
    other.kill();
    std::process::exit(i32::from(is_broken))
}
