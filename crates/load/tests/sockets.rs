//! Runs loads over TCP against emulated engines in this process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wheelfield_engine_emulator::host::Host;
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_load::runner::{raise_fd_limit, run, RunOptions};
use wheelfield_load::schedule::generate;
use wheelfield_load::script::Script;
use wheelfield_load::stats::{LoadStats, SERVED};

/// Emulated engines that run until this value is dropped.
struct EmulatedEngines {
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl EmulatedEngines {
    fn start(engines: usize) -> EmulatedEngines {
        let mut host = Host::open(Setup::with_default_engines(engines), None, 1).expect("emulated engines");
        let addresses_json = host.addresses();
        let addresses = addresses_json["engines"]
            .as_array()
            .expect("engines")
            .iter()
            .map(|e| e["address"].as_str().expect("an address").parse().expect("an address"))
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = std::thread::spawn(move || host.serve(&stop_requested).expect("served"));
        EmulatedEngines { addresses, stop, thread: Some(thread) }
    }
}

impl Drop for EmulatedEngines {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_load(script: &str, targets: Vec<SocketAddr>, workers: usize) -> (LoadStats, usize) {
    let script = Script::parse("test", script).unwrap_or_else(|error| panic!("{error}"));
    let schedule = generate(&script, 1).expect("within the query limit");
    let options = RunOptions { targets, user: "u".into(), database: "d".into(), workers, seed: 1 };
    let (total, _) = run(&script, &schedule, &options, |_, _| true).expect("run");
    (total, schedule.len())
}

#[test]
fn every_protocol_is_answered_without_losing_queries() {
    let engines = EmulatedEngines::start(2);
    let (total, query_count) = run_load(
        "name = \"t\"\nlength = \"1s\"\nconnections = 40\n\
         [[streams]]\nname = \"simple\"\nrate = 100\nstatement = \"select 1 /*rows='2',run_ms='1',id='{id}'*/\"\n\
         [[streams]]\nname = \"extended\"\nrate = 100\nprotocol = \"extended\"\npipeline = 4\nstatement = \"select 2 /*rows='2',run_ms='1'*/\"\n\
         [[streams]]\nname = \"prepared\"\nrate = 100\nprotocol = \"prepared\"\npipeline = 4\nchurn = 0.1\nstatement = \"select 3 /*rows='2',run_ms='1'*/\"\n\
         tenants = [{ name = \"a\", share = 1 }, { name = \"b\", share = 1 }]\n",
        engines.addresses.clone(),
        2,
    );
    let all = total.combined();
    assert_eq!(
        (all.scheduled, all.outcome_count(SERVED)),
        (query_count as u64, query_count as u64),
        "{:?}",
        all.outcomes
    );
    assert!(total.connections_opened >= 6 && total.connections_failed == 0);
}

#[test]
fn timed_out_client_cancels_its_query() {
    let engines = EmulatedEngines::start(1);
    let (total, query_count) = run_load(
        "name = \"t\"\nlength = \"200ms\"\n[[streams]]\nname = \"q\"\nrate = 50\npatience = \"300ms\"\ngives_up = \"cancel\"\n\
         statement = \"select 1 /*rows='2',run_ms='600000'*/\"\n",
        engines.addresses.clone(),
        1,
    );
    let all = total.combined();
    assert_eq!(all.outcome_count("gave up"), query_count as u64, "{:?}", all.outcomes);
}

#[test]
fn target_without_listener_ends_every_query() {
    // Binds and releases a port, so that nothing listens on it.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (total, query_count) = run_load(
        "name = \"t\"\nlength = \"300ms\"\n[[streams]]\nname = \"q\"\nrate = 100\nstatement = \"select 1\"\n",
        vec![address],
        1,
    );
    assert_eq!(
        total.combined().outcome_count("unreachable"),
        query_count as u64,
        "{:?}",
        total.combined().outcomes
    );
}

#[test]
fn too_many_connections_for_the_descriptor_limit_are_refused_before_the_start() {
    let error = raise_fd_limit(usize::MAX / 2).expect_err("exceeds any descriptor limit");
    assert!(error.to_string().contains("ulimit"), "{error}");
    raise_fd_limit(16).expect("within any descriptor limit");
}

#[test]
fn target_that_closes_every_connection_ends_every_query() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    let server = std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            drop(stream);
            if stop_requested.load(Ordering::Relaxed) {
                return;
            }
        }
    });
    let (total, query_count) = run_load(
        "name = \"t\"\nlength = \"300ms\"\nconnections = 8\n[[streams]]\nname = \"q\"\nrate = 3000\npatience = \"1s\"\nstatement = \"select 1\"\n",
        vec![address],
        1,
    );
    stop.store(true, Ordering::Relaxed);
    let _ = std::net::TcpStream::connect(address);
    server.join().expect("ended");
    let all = total.combined();
    assert_eq!(all.outcomes.values().sum::<u64>(), query_count as u64, "{:?}", all.outcomes);
    assert_eq!(all.outcome_count(SERVED), 0);
}
