//! On sockets, against stand-in engines in this process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wheelfield_engine_emulator::host::Host;
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_load::runner::{make_room, run, Plans};
use wheelfield_load::schedule::draw;
use wheelfield_load::script::Script;
use wheelfield_load::tally::{Total, SERVED};

/// Stand-ins, until the test ends.
struct Stand {
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Stand {
    fn open(engines: usize) -> Stand {
        let mut host = Host::open(Setup::with_default_engines(engines), None, 1).expect("stand-ins");
        let told = host.addresses();
        let addresses = told["engines"]
            .as_array()
            .expect("engines")
            .iter()
            .map(|e| e["address"].as_str().expect("an address").parse().expect("an address"))
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let seen = stop.clone();
        let thread = std::thread::spawn(move || host.serve(&seen).expect("served"));
        Stand { addresses, stop, thread: Some(thread) }
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn load(script: &str, targets: Vec<SocketAddr>, workers: usize) -> (Total, usize) {
    let script = Script::parse("test", script).unwrap_or_else(|fault| panic!("{fault}"));
    let sends = draw(&script, 1).expect("not too many");
    let plans = Plans { targets, user: "u".into(), database: "d".into(), workers, seed: 1 };
    let (total, _) = run(&script, &sends, &plans, |_, _| true).expect("run");
    (total, sends.len())
}

#[test]
fn every_protocol_is_answered_and_nothing_is_lost() {
    let stand = Stand::open(2);
    let (total, sends) = load(
        "name = \"t\"\nlength = \"1s\"\nconnections = 40\n\
         [[streams]]\nname = \"simple\"\nrate = 100\nstatement = \"select 1 /*rows='2',run_ms='1',id='{id}'*/\"\n\
         [[streams]]\nname = \"extended\"\nrate = 100\nprotocol = \"extended\"\npipeline = 4\nstatement = \"select 2 /*rows='2',run_ms='1'*/\"\n\
         [[streams]]\nname = \"prepared\"\nrate = 100\nprotocol = \"prepared\"\npipeline = 4\nchurn = 0.1\nstatement = \"select 3 /*rows='2',run_ms='1'*/\"\n\
         tenants = [{ name = \"a\", share = 1 }, { name = \"b\", share = 1 }]\n",
        stand.addresses.clone(),
        2,
    );
    let all = total.all();
    assert_eq!((all.wanted, all.ended(SERVED)), (sends as u64, sends as u64), "{:?}", all.ends);
    assert!(total.opened >= 6 && total.refused == 0);
}

#[test]
fn a_client_that_gives_up_cancels_its_query() {
    let stand = Stand::open(1);
    let (total, sends) = load(
        "name = \"t\"\nlength = \"200ms\"\n[[streams]]\nname = \"q\"\nrate = 50\npatience = \"300ms\"\ngives_up = \"cancel\"\n\
         statement = \"select 1 /*rows='2',run_ms='600000'*/\"\n",
        stand.addresses.clone(),
        1,
    );
    let all = total.all();
    assert_eq!(all.ended("gave up"), sends as u64, "{:?}", all.ends);
}

#[test]
fn a_target_where_nobody_listens_ends_every_query() {
    // A port that was just given back.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    drop(taken);
    let (total, sends) = load(
        "name = \"t\"\nlength = \"300ms\"\n[[streams]]\nname = \"q\"\nrate = 100\nstatement = \"select 1\"\n",
        vec![address],
        1,
    );
    assert_eq!(total.all().ended("unreachable"), sends as u64, "{:?}", total.all().ends);
}

#[test]
fn more_connections_than_descriptors_are_refused_before_the_start() {
    let fault = make_room(usize::MAX / 2).expect_err("nobody has so many");
    assert!(fault.to_string().contains("ulimit"), "{fault}");
    make_room(16).expect("everybody has so many");
}

#[test]
fn a_target_that_breaks_every_connection_ends_every_query() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = Arc::new(AtomicBool::new(false));
    let seen = stop.clone();
    let server = std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            drop(stream);
            if seen.load(Ordering::Relaxed) {
                return;
            }
        }
    });
    let (total, sends) = load(
        "name = \"t\"\nlength = \"300ms\"\nconnections = 8\n[[streams]]\nname = \"q\"\nrate = 3000\npatience = \"1s\"\nstatement = \"select 1\"\n",
        vec![address],
        1,
    );
    stop.store(true, Ordering::Relaxed);
    let _ = std::net::TcpStream::connect(address);
    server.join().expect("ended");
    let all = total.all();
    assert_eq!(all.ends.values().sum::<u64>(), sends as u64, "{:?}", all.ends);
    assert_eq!(all.ended(SERVED), 0);
}
