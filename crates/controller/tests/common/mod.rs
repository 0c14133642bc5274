//! A controller and stand-in engines, each in a thread of this process, and a client that speaks by the byte.
#![allow(dead_code)]

use bytes::{BufMut, BytesMut};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use wheelfield_controller::postgres::PostgresController;
use wheelfield_engine_emulator::host::Host;
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_pg::{backend_messages, frame, frontend_messages};

/// What is awaited must come within this; no verdict rests on how soon.
pub const SOON: Duration = Duration::from_secs(20);

/// Stand-ins in a thread.
pub struct Engines {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    pub told: Value,
    log: std::path::PathBuf,
    _dir: tempfile::TempDir,
}

impl Engines {
    pub fn start(n: usize) -> Engines {
        Engines::with(Setup::plain(n))
    }

    pub fn with(setup: Setup) -> Engines {
        let dir = tempfile::tempdir().expect("a folder");
        let log = dir.path().join("log");
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = channel();
        let (flag, path) = (stop.clone(), log.clone());
        let thread = std::thread::spawn(move || {
            let mut host = Host::open(setup, Some(&path), 1).expect("sockets");
            sender.send(host.addresses()).expect("the test waits");
            host.serve(&flag).expect("serves");
        });
        let told = receiver.recv_timeout(SOON).expect("the engines start");
        Engines {
            stop,
            thread: Some(thread),
            told,
            log,
            _dir: dir,
        }
    }

    pub fn address(&self, name: &str) -> String {
        self.told[name].as_str().expect("told").to_string()
    }

    pub fn list(&self) -> String {
        let engines = self.told["engines"].as_array().expect("told");
        let one = |e: &Value| {
            format!(
                "[[engines]]\nid = {}\naddress = {}\nkind = \"std\"\nzone = \"a\"\n",
                e["id"], e["address"]
            )
        };
        engines.iter().map(one).collect()
    }

    pub fn fault(&self, engine: usize, kind: &str, value: f64) {
        let (status, body) = http(
            &self.address("control"),
            "POST",
            &format!("/fault?engine=engine-{engine:02}&kind={kind}&value={value}"),
        );
        assert_eq!(status, 200, "{body}");
    }

    pub fn state(&self) -> Value {
        let (_, body) = http(&self.address("control"), "GET", "/state");
        serde_json::from_str(&body).expect("JSON")
    }

    pub fn in_hand(&self) -> u64 {
        let state = self.state();
        state["engines"]
            .as_array()
            .expect("a list")
            .iter()
            .filter_map(|e| e["in_hand"].as_u64())
            .sum()
    }

    /// The first line of an event of a query, awaited: the log is written at the end of a turn.
    pub fn first(&self, event: &str, query: &str) -> Value {
        await_that("a line of the log", || !self.log(event, query).is_empty());
        self.log(event, query).remove(0)
    }

    /// The log's lines of an event, of one query or of all.
    pub fn log(&self, event: &str, query: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("a log");
        // The last line may be half written.
        let lines = text
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        lines
            .filter(|l| l["event"] == event && (query.is_empty() || l["query"] == query))
            .collect()
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A controller in a thread.
pub struct Controller {
    pub address: SocketAddr,
    pub admin: String,
    pub peers: Option<String>,
    pub gossip: Option<String>,
    stop: UnixStream,
    keep: UnixStream,
    thread: Option<JoinHandle<()>>,
}

pub const HEAD: &str = "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n";
pub const BODY: &str = r#"
[fleet]
zones = ["a"]
[[fleet.kinds]]
name = "std"
cores = 8
memory = "16GB"
[[classes]]
name = "fast"
aim = "2s"
deadline = "15s"
effect = "repeatable"
[[classes]]
name = "load"
aim = "2s"
deadline = "15s"
effect = "once"
[signals]
bills = true
[means]
cancel = true
"#;

impl Controller {
    pub fn start(text: &str) -> Controller {
        let config =
            wheelfield_config::parse("test", text).unwrap_or_else(|fault| panic!("{fault}"));
        let (stop, heard) = UnixStream::pair().expect("a pair");
        let (keep, wanted) = UnixStream::pair().expect("a pair");
        let (sender, receiver) = channel();
        let thread = std::thread::spawn(move || {
            let mut controller = PostgresController::open(config, 7, None).expect("sockets");
            controller.shut_down_on(heard).expect("a stream");
            controller.write_capture_on(wanted).expect("a stream");
            sender.send(controller.addresses()).expect("the test waits");
            controller.run().expect("runs");
        });
        let told = receiver.recv_timeout(SOON).expect("the controller starts");
        let text = |name: &str| told[name].as_str().map(str::to_string);
        Controller {
            address: text("listen").expect("told").parse().expect("an address"),
            admin: text("admin").expect("told"),
            peers: text("peers"),
            gossip: text("gossip"),
            stop,
            keep,
            thread: Some(thread),
        }
    }

    /// A controller on these engines, with more of a configuration.
    pub fn on(engines: &Engines, more: &str) -> Controller {
        Controller::start(&format!("{HEAD}{BODY}{more}\n{}", engines.list()))
    }

    pub fn figure(&self, name: &str) -> u64 {
        let (_, body) = http(&self.admin, "GET", "/status");
        let status: Value = serde_json::from_str(&body).expect("JSON");
        status["figures"][name]
            .as_u64()
            .unwrap_or_else(|| panic!("no figure {name}: {body}"))
    }

    /// Waits until a figure is so.
    pub fn await_figure(&self, name: &str, is: impl Fn(u64) -> bool) {
        await_that(name, || is(self.figure(name)));
    }

    /// As on SIGTERM.
    pub fn ask_to_stop(&mut self) {
        self.stop.write_all(b"x").expect("it listens");
    }

    /// As on SIGUSR1.
    pub fn ask_for_capture(&mut self) {
        self.keep.write_all(b"x").expect("it listens");
    }

    pub fn join(&mut self) {
        self.thread
            .take()
            .expect("not joined yet")
            .join()
            .expect("it ends well");
    }

    pub fn library(&self) -> postgres::Client {
        let config = format!(
            "host=127.0.0.1 port={} user=me dbname=lab",
            self.address.port()
        );
        postgres::Client::connect(&config, postgres::NoTls).expect("a real client connects")
    }

    pub fn raw(&self) -> Raw {
        Raw::connect(self.address)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.stop.write_all(b"x");
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub fn await_that(what: &str, is: impl Fn() -> bool) {
    let until = Instant::now() + SOON;
    while !is() {
        assert!(Instant::now() < until, "did not come: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn http(address: &str, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(SOON)).expect("a socket");
    let mut out = BytesMut::new();
    wheelfield_net::http::write_request(method, path, b"", &mut out);
    stream.write_all(&out).expect("it reads");
    let (mut input, mut part) = (BytesMut::new(), [0; 16 << 10]);
    loop {
        let n = stream.read(&mut part).expect("it answers");
        assert!(n > 0, "closed without an answer");
        input.extend_from_slice(&part[..n]);
        if let Some(r) = wheelfield_net::http::take_response(&mut input, 1 << 20).expect("HTTP") {
            return (r.status, String::from_utf8_lossy(&r.body).into_owned());
        }
    }
}

/// A client that speaks by the byte.
pub struct Raw {
    pub stream: TcpStream,
    input: BytesMut,
    pub pid: i32,
    pub key: bytes::Bytes,
}

impl Raw {
    pub fn connect(address: SocketAddr) -> Raw {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(SOON)).expect("a socket");
        let mut raw = Raw {
            stream,
            input: BytesMut::new(),
            pid: 0,
            key: bytes::Bytes::new(),
        };
        let mut out = BytesMut::new();
        frontend_messages::put_startup(&[("user", "raw"), ("database", "lab")], &mut out);
        raw.send(&out);
        loop {
            let (tag, message) = raw.next();
            match tag {
                b'K' => {
                    (raw.pid, raw.key) =
                        backend_messages::parse_backend_key_data(&message).expect("a key")
                }
                b'Z' => return raw,
                b'E' => panic!(
                    "not let in: {:?}",
                    backend_messages::parse_sqlstate_and_message(&message)
                ),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it reads");
    }

    pub fn query(&mut self, text: &str) {
        let mut out = BytesMut::new();
        frontend_messages::put_query(text, &mut out);
        self.send(&out);
    }

    pub fn read(&mut self) -> Option<(u8, bytes::Bytes)> {
        loop {
            if let Some(message) =
                frame::take_message(&mut self.input, usize::MAX).expect("well-formed")
            {
                return Some(message);
            }
            let mut part = [0; 64 << 10];
            match self.stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.input.extend_from_slice(&part[..n]),
            }
        }
    }

    pub fn next(&mut self) -> (u8, bytes::Bytes) {
        self.read().expect("a message, not the end")
    }

    /// All up to `ReadyForQuery`: the types, and the SQLSTATE of an error.
    pub fn answer(&mut self) -> (String, String) {
        let (mut tags, mut state) = (String::new(), String::new());
        loop {
            let (tag, message) = self.next();
            match tag {
                b'Z' => return (tags, state),
                b'E' => {
                    state = backend_messages::parse_sqlstate_and_message(&message)
                        .expect("fields")
                        .0
                }
                b'D' if tags.ends_with('D') => continue,
                _ => {}
            }
            tags.push(tag as char);
        }
    }

    pub fn cancel(&self) {
        let mut out = BytesMut::new();
        frontend_messages::put_cancel(self.pid, &self.key, &mut out);
        let mut stream =
            TcpStream::connect(self.stream.peer_addr().expect("connected")).expect("it listens");
        stream.write_all(&out).expect("it reads");
        // The connection is closed once the request was taken.
        let _ = stream.read(&mut [0; 8]);
    }

    pub fn parse(name: &str, sql: &str, out: &mut BytesMut) {
        message(
            b'P',
            &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat(),
            out,
        );
    }
    pub fn bind(portal: &str, statement: &str, out: &mut BytesMut) {
        message(
            b'B',
            &[
                portal.as_bytes(),
                b"\0",
                statement.as_bytes(),
                b"\0\0\0\0\0\0\0",
            ]
            .concat(),
            out,
        );
    }
    pub fn execute(portal: &str, max: i32, out: &mut BytesMut) {
        message(
            b'E',
            &[portal.as_bytes(), b"\0", &max.to_be_bytes()].concat(),
            out,
        );
    }
    pub fn bare(tag: u8, out: &mut BytesMut) {
        message(tag, b"", out);
    }
}

fn message(tag: u8, body: &[u8], out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(body.len() as i32 + 4);
    out.put_slice(body);
}
