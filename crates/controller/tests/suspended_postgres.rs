//! The built program for PostgreSQL clients, suspended while an engine drains in a registry that it polls.

mod common;

use bytes::BytesMut;
use common::{http, wait_until, Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG};
use serde_json::Value;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
const ENGINES: usize = 4;
/// Longer than the registry is polled, and than the list may be old by itself.
const SUSPENDED: Duration = Duration::from_millis(2_500);
const QUERY: &str = "select 1 /*class='fast'*/";

/// The built program; it is killed when this is dropped.
struct Program {
    child: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Program {
    /// Starts it, and waits until it has a list of engines.
    fn start(config: &str) -> Program {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.toml");
        std::fs::write(&file, config).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"))
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let told: Value = serde_json::from_str(&line).expect("JSON");
        let [address, admin] = ["listen", "admin"].map(|name| told[name].as_str().expect("told"));
        wait_until("a list of engines", || {
            let (_, status) = http(admin, "GET", "/status");
            let status: Value = serde_json::from_str(&status).expect("JSON");
            status["figures"]["list_version"].as_u64() > Some(0)
        });
        Program {
            child,
            address: address.parse().expect("an address"),
            _folder: folder,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill").success());
    }

    fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the suspension", || {
            let stat = std::fs::read_to_string(&stat).expect("Linux");
            let state = stat.rsplit(") ").next();
            state.is_some_and(|state| state.starts_with('T'))
        });
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A registry that answers with the same list until it falls silent.
fn registry_with(list: String, is_silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            // A call ends with an empty line.
            while lines.any(|line| line.is_ok_and(|line| line.is_empty())) {
                if is_silent.load(Ordering::SeqCst) {
                    break;
                }
                let mut out = BytesMut::new();
                let kind = "application/json";
                wheelfield_net::http::write_response(200, kind, list.as_bytes(), &mut out);
                let _ = stream.write_all(&out);
            }
            silent.push(stream);
        }
    });
    address
}

/// Each client sends a query while the program is suspended and the first engine drains; what that engine gets of them.
fn received_by_the_drained_engine(
    engines: &Engines,
    endpoints: &str,
    drain: impl FnOnce(),
) -> usize {
    let program = Program::start(&format!("{LISTEN_CONFIG}{BASE_CONFIG}{endpoints}"));
    let mut clients: Vec<RawClient> = (0..CLIENTS)
        .map(|_| RawClient::connect(program.address))
        .collect();
    // All engines have sessions that rest, and are known.
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
    let await_received = |count| {
        wait_until("the log", || {
            engines.log_entries("received", "").len() == count
        });
    };
    await_received(4 * CLIENTS);
    let before = received();
    assert!(before > 0, "it has got some");
    program.suspend();
    drain();
    clients.iter_mut().for_each(|client| client.query(QUERY));
    std::thread::sleep(SUSPENDED);
    program.signal("-CONT");
    for client in &mut clients {
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{tags} {state}");
    }
    await_received(5 * CLIENTS);
    received() - before
}

/// The same with a registry, called in a mode.
fn received_with_a_registry(mode: &str) -> usize {
    let engines = Engines::start(ENGINES);
    let registry = engines.address("registry");
    let endpoints = format!("[registry]\naddress = {registry:?}\nmode = {mode:?}\n");
    received_by_the_drained_engine(&engines, &endpoints, || {
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

/// What had come while the process was suspended went by the list of before: the registry was asked again only after that, and four or
/// so of sixteen queries went to an engine that had drained for two seconds and a half.
#[test]
fn queries_after_a_suspension_wait_for_a_registry_that_is_polled() {
    assert_eq!(received_with_a_registry("poll"), 0);
}

/// What it has to tell has come by then.
#[test]
fn a_registry_that_is_watched_is_heard_before_queries_after_a_suspension() {
    assert_eq!(received_with_a_registry("watch"), 0);
}

/// What had come while the process was suspended went by the files of before: they are taken as new only once they stood still.
#[test]
fn queries_after_a_suspension_wait_for_engine_files_that_have_changed() {
    let engines = Engines::start(ENGINES);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("engines.toml");
    std::fs::write(&file, engine_file(&engines, 1, "up")).expect("written");
    let endpoints = format!("[members]\nfiles = [{file:?}]\n");
    let received = received_by_the_drained_engine(&engines, &endpoints, || {
        let new = file.with_extension("new");
        std::fs::write(&new, engine_file(&engines, 2, "draining")).expect("written");
        std::fs::rename(&new, &file).expect("renamed");
    });
    assert_eq!(received, 0);
}

/// The registry may be away for long. A client that has left gets nothing sent.
#[test]
fn queries_wait_a_second_at_most_for_a_registry_that_is_silent() {
    let engines = Engines::start(ENGINES);
    let (_, list) = http(
        &engines.address("registry"),
        "GET",
        "/engines?since=0&wait_ms=0",
    );
    let is_silent = Arc::new(AtomicBool::new(false));
    let registry = registry_with(list, is_silent.clone());
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
    is_silent.store(true, Ordering::SeqCst);
    clients.iter_mut().for_each(|client| client.query(QUERY));
    drop(clients.pop());
    std::thread::sleep(SUSPENDED);
    let resumed_at = Instant::now();
    program.signal("-CONT");
    for client in &mut clients {
        let (tags, state) = client.read_answer();
        assert!(tags.starts_with('T'), "{tags} {state}");
        assert!(resumed_at.elapsed() >= Duration::from_millis(900));
    }
    wait_until("the log", || engines.log_entries("received", "").len() == 5);
}
