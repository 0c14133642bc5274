//! The built program for PostgreSQL clients, suspended while an engine starts to drain in the registry or in an engine file.

mod common;

use bytes::BytesMut;
use common::program::Program;
use common::{http, wait_until, Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG};
use rustix::process::Signal;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
const ENGINES: usize = 4;
/// Longer than the polling interval of the registry, and than the permitted age of the list.
const SUSPENSION: Duration = Duration::from_millis(2_500);
/// Shorter than the polling interval of the registry.
const SHORT_SUSPENSION: Duration = Duration::from_millis(500);
const QUERY: &str = "select 1 /*class='fast'*/";

/// A registry that always answers with the same list, until it stops answering.
fn registry_with(list: String, is_unresponsive: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut unanswered = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            // A request ends with an empty line.
            while lines.any(|line| line.is_ok_and(|line| line.is_empty())) {
                if is_unresponsive.load(Ordering::SeqCst) {
                    break;
                }
                let mut out = BytesMut::new();
                let kind = "application/json";
                wheelfield_net::http::write_response(200, kind, list.as_bytes(), &mut out);
                let _ = stream.write_all(&out);
            }
            unanswered.push(stream);
        }
    });
    address
}

/// Each client sends a query while the program is suspended and the first engine starts to drain. Returns how many of these queries
/// that engine receives.
fn queries_received_by_drained_engine(
    engines: &Engines,
    endpoints: &str,
    suspension: Duration,
    drain: impl FnOnce(),
) -> usize {
    let program = Program::start(&format!("{LISTEN_CONFIG}{BASE_CONFIG}{endpoints}"));
    let mut clients: Vec<RawClient> = (0..CLIENTS)
        .map(|_| RawClient::connect(program.address))
        .collect();
    // Afterwards, all engines are known and have idle sessions.
    for _ in 0..4 {
        clients.iter_mut().for_each(|client| client.query(QUERY));
        clients
            .iter_mut()
            .for_each(|client| drop(client.read_answer()));
    }
    let first = engines.addresses["engines"][0]["id"].clone();
    let received = || {
        let lines = engines.log_entries("received", "");
        lines.iter().filter(|line| line["engine"] == first).count()
    };
    let wait_for_received = |count| {
        wait_until("the log of the engines", || {
            engines.log_entries("received", "").len() == count
        });
    };
    wait_for_received(4 * CLIENTS);
    let before = received();
    assert!(before > 0, "the first engine has received queries");
    program.suspend();
    drain();
    clients.iter_mut().for_each(|client| client.query(QUERY));
    std::thread::sleep(suspension);
    program.signal(Signal::CONT);
    for client in &mut clients {
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{tags} {state}");
    }
    wait_for_received(5 * CLIENTS);
    received() - before
}

/// The same with a registry that is queried in this mode.
fn received_with_registry_mode(mode: &str, suspension: Duration) -> usize {
    let engines = Engines::start(ENGINES);
    let registry = engines.address("registry");
    let endpoints = format!("[registry]\naddress = {registry:?}\nmode = {mode:?}\n");
    queries_received_by_drained_engine(&engines, &endpoints, suspension, || {
        engines.inject_fault(1, "drain", 1.0)
    })
}

/// An engine file in which the first engine has this status.
fn engine_file(engines: &Engines, version: u64, status: &str) -> String {
    let list = engines.config_entries();
    let first = list.replacen(
        "[[engines]]\n",
        &format!("[[engines]]\nstatus = {status:?}\n"),
        1,
    );
    format!("version = {version}\n{first}[end]\nengines = {ENGINES}\n")
}

/// Regression test: queries that arrived during a suspension were dispatched by the old list, because the registry was polled only
/// afterwards. About four of sixteen queries were sent to an engine that had been draining for 2.5 s.
#[test]
fn queries_after_a_suspension_wait_for_a_polled_registry() {
    assert_eq!(received_with_registry_mode("poll", SUSPENSION), 0);
}

/// Regression test: suspensions of less than 1.3 s were not noticed.
#[test]
fn queries_after_a_short_suspension_wait_for_a_polled_registry() {
    assert_eq!(received_with_registry_mode("poll", SHORT_SUSPENSION), 0);
}

/// The update from the registry has already arrived when the program resumes.
#[test]
fn an_update_of_a_watched_registry_is_processed_before_queries_after_a_suspension() {
    assert_eq!(received_with_registry_mode("watch", SUSPENSION), 0);
}

/// Regression test: queries that arrived during a suspension were dispatched by the old engine files, because changed files are applied
/// only after they have been stable for a while.
#[test]
fn queries_after_a_suspension_wait_for_changed_engine_files() {
    assert_eq!(received_with_changed_file(""), 0);
}

/// Regression test: files that must be unchanged for longer than queries wait otherwise were not waited for.
#[test]
fn queries_after_a_suspension_wait_until_changed_engine_files_have_settled() {
    assert_eq!(received_with_changed_file("settle = \"1500ms\"\n"), 0);
}

/// The same with an engine file that is changed, and these settings of the watcher.
fn received_with_changed_file(settings: &str) -> usize {
    let engines = Engines::start(ENGINES);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("engines.toml");
    std::fs::write(&file, engine_file(&engines, 1, "up")).expect("written");
    let endpoints = format!("[members]\nfiles = [{file:?}]\n{settings}");
    queries_received_by_drained_engine(&engines, &endpoints, SUSPENSION, || {
        let new = file.with_extension("new");
        std::fs::write(&new, engine_file(&engines, 2, "draining")).expect("written");
        std::fs::rename(&new, &file).expect("renamed");
    })
}

/// The registry may be unavailable for a long time. The query of a client that has disconnected is not sent.
#[test]
fn queries_wait_at_most_a_second_for_an_unresponsive_registry() {
    let engines = Engines::start(ENGINES);
    let (_, list) = http(
        &engines.address("registry"),
        "GET",
        "/engines?since=0&wait_ms=0",
    );
    let is_unresponsive = Arc::new(AtomicBool::new(false));
    let registry = registry_with(list, is_unresponsive.clone());
    let registry = format!("[registry]\naddress = \"{registry}\"\nmode = \"poll\"\n");
    let program = Program::start(&format!("{LISTEN_CONFIG}{BASE_CONFIG}{registry}"));
    let mut clients: Vec<RawClient> = (0..3)
        .map(|_| RawClient::connect(program.address))
        .collect();
    for client in &mut clients {
        client.query(QUERY);
        assert!(client.read_answer().0.starts_with('T'));
    }
    program.suspend();
    is_unresponsive.store(true, Ordering::SeqCst);
    clients.iter_mut().for_each(|client| client.query(QUERY));
    drop(clients.pop());
    std::thread::sleep(SUSPENSION);
    let resumed_at = Instant::now();
    program.signal(Signal::CONT);
    for client in &mut clients {
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{tags} {state}");
        assert!(resumed_at.elapsed() >= Duration::from_millis(900));
    }
    wait_until("the log of the engines", || {
        engines.log_entries("received", "").len() == 5
    });
}
