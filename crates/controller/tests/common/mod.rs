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
use wheelfield_pg::{back, frame, front};

/// What is awaited must come within this; no verdict rests on how soon.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins in a thread.
pub struct Engines {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    pub addresses: Value,
    log: std::path::PathBuf,
    _dir: tempfile::TempDir,
}

impl Engines {
    pub fn start(n: usize) -> Engines {
        Engines::with_setup(Setup::plain(n))
    }

    pub fn with_setup(setup: Setup) -> Engines {
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
        let addresses = receiver
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the engines start");
        Engines {
            stop,
            thread: Some(thread),
            addresses,
            log,
            _dir: dir,
        }
    }

    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().expect("told").to_string()
    }

    pub fn config_entries(&self) -> String {
        let engines = self.addresses["engines"].as_array().expect("told");
        let one = |e: &Value| {
            format!(
                "[[engines]]\nid = {}\naddress = {}\nkind = \"std\"\nzone = \"a\"\n",
                e["id"], e["address"]
            )
        };
        engines.iter().map(one).collect()
    }

    pub fn inject_fault(&self, engine: usize, kind: &str, value: f64) {
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

    pub fn running_queries(&self) -> u64 {
        let state = self.state();
        state["engines"]
            .as_array()
            .expect("a list")
            .iter()
            .filter_map(|e| e["in_hand"].as_u64())
            .sum()
    }

    /// The first line of an event of a query, awaited: the log is written at the end of a turn.
    pub fn first_log_entry(&self, event: &str, query: &str) -> Value {
        wait_until("a line of the log", || {
            !self.log_entries(event, query).is_empty()
        });
        self.log_entries(event, query).remove(0)
    }

    /// The log's lines of an event, of one query or of all.
    pub fn log_entries(&self, event: &str, query: &str) -> Vec<Value> {
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
    shutdown_signal: UnixStream,
    capture_signal: UnixStream,
    thread: Option<JoinHandle<()>>,
}

pub const LISTEN_CONFIG: &str = "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n";
pub const BASE_CONFIG: &str = r#"
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
    pub fn start(config_text: &str) -> Controller {
        let config =
            wheelfield_config::parse("test", config_text).unwrap_or_else(|fault| panic!("{fault}"));
        let (shutdown_signal, shutdown_receiver) = UnixStream::pair().expect("a pair");
        let (capture_signal, capture_receiver) = UnixStream::pair().expect("a pair");
        let (sender, receiver) = channel();
        let thread = std::thread::spawn(move || {
            let mut controller = PostgresController::open(config, 7, None).expect("sockets");
            controller
                .shut_down_on(shutdown_receiver)
                .expect("a stream");
            controller
                .write_capture_on(capture_receiver)
                .expect("a stream");
            sender.send(controller.addresses()).expect("the test waits");
            controller.run().expect("runs");
        });
        let addresses = receiver
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the controller starts");
        let text = |name: &str| addresses[name].as_str().map(str::to_string);
        Controller {
            address: text("listen").expect("told").parse().expect("an address"),
            admin: text("admin").expect("told"),
            peers: text("peers"),
            gossip: text("gossip"),
            shutdown_signal,
            capture_signal,
            thread: Some(thread),
        }
    }

    /// A controller on these engines, with more of a configuration.
    pub fn with_engines(engines: &Engines, more: &str) -> Controller {
        Controller::start(&format!(
            "{LISTEN_CONFIG}{BASE_CONFIG}{more}\n{}",
            engines.config_entries()
        ))
    }

    pub fn status_value(&self, name: &str) -> u64 {
        let (_, body) = http(&self.admin, "GET", "/status");
        let status: Value = serde_json::from_str(&body).expect("JSON");
        status["figures"][name]
            .as_u64()
            .unwrap_or_else(|| panic!("no figure {name}: {body}"))
    }

    /// Waits until a figure is so.
    pub fn wait_for_status(&self, name: &str, is: impl Fn(u64) -> bool) {
        wait_until(name, || is(self.status_value(name)));
    }

    /// As on SIGTERM.
    pub fn request_shutdown(&mut self) {
        self.shutdown_signal.write_all(b"x").expect("it listens");
    }

    /// As on SIGUSR1.
    pub fn request_capture(&mut self) {
        self.capture_signal.write_all(b"x").expect("it listens");
    }

    pub fn join(&mut self) {
        self.thread
            .take()
            .expect("not joined yet")
            .join()
            .expect("it ends well");
    }

    pub fn postgres_client(&self) -> postgres::Client {
        let config = format!(
            "host=127.0.0.1 port={} user=me dbname=lab",
            self.address.port()
        );
        postgres::Client::connect(&config, postgres::NoTls).expect("a real client connects")
    }

    pub fn raw_client(&self) -> RawClient {
        RawClient::connect(self.address)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.shutdown_signal.write_all(b"x");
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub fn wait_until(what: &str, is: impl Fn() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !is() {
        assert!(Instant::now() < until, "did not come: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn http(address: &str, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a socket");
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
pub struct RawClient {
    pub stream: TcpStream,
    input: BytesMut,
    pub process_id: i32,
    pub cancel_key: bytes::Bytes,
}

impl RawClient {
    pub fn connect(address: SocketAddr) -> RawClient {
        let stream = TcpStream::connect(address).expect("it listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        let mut raw = RawClient {
            stream,
            input: BytesMut::new(),
            process_id: 0,
            cancel_key: bytes::Bytes::new(),
        };
        let mut out = BytesMut::new();
        front::put_startup(&[("user", "raw"), ("database", "lab")], &mut out);
        raw.send(&out);
        loop {
            let (tag, message) = raw.read_message();
            match tag {
                b'K' => (raw.process_id, raw.cancel_key) = back::key_of(&message).expect("a key"),
                b'Z' => return raw,
                b'E' => panic!("not let in: {:?}", back::trouble(&message)),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it reads");
    }

    pub fn query(&mut self, text: &str) {
        let mut out = BytesMut::new();
        front::put_query(text, &mut out);
        self.send(&out);
    }

    pub fn try_read_message(&mut self) -> Option<(u8, bytes::Bytes)> {
        loop {
            if let Some(message) = frame::take(&mut self.input, usize::MAX).expect("well-formed") {
                return Some(message);
            }
            let mut part = [0; 64 << 10];
            match self.stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.input.extend_from_slice(&part[..n]),
            }
        }
    }

    pub fn read_message(&mut self) -> (u8, bytes::Bytes) {
        self.try_read_message().expect("a message, not the end")
    }

    /// All up to `ReadyForQuery`: the types, and the SQLSTATE of an error.
    pub fn read_answer(&mut self) -> (String, String) {
        let (mut tags, mut state) = (String::new(), String::new());
        loop {
            let (tag, message) = self.read_message();
            match tag {
                b'Z' => return (tags, state),
                b'E' => state = back::trouble(&message).expect("fields").0,
                b'D' if tags.ends_with('D') => continue,
                _ => {}
            }
            tags.push(tag as char);
        }
    }

    pub fn cancel(&self) {
        let mut out = BytesMut::new();
        front::put_cancel(self.process_id, &self.cancel_key, &mut out);
        let mut stream =
            TcpStream::connect(self.stream.peer_addr().expect("connected")).expect("it listens");
        stream.write_all(&out).expect("it reads");
        // The connection is closed once the request was taken.
        let _ = stream.read(&mut [0; 8]);
    }

    pub fn put_parse(name: &str, sql: &str, out: &mut BytesMut) {
        put_message(
            b'P',
            &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat(),
            out,
        );
    }
    pub fn put_bind(portal: &str, statement: &str, out: &mut BytesMut) {
        put_message(
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
    pub fn put_execute(portal: &str, max: i32, out: &mut BytesMut) {
        put_message(
            b'E',
            &[portal.as_bytes(), b"\0", &max.to_be_bytes()].concat(),
            out,
        );
    }
    pub fn put_empty_message(tag: u8, out: &mut BytesMut) {
        put_message(tag, b"", out);
    }
}

fn put_message(tag: u8, body: &[u8], out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(body.len() as i32 + 4);
    out.put_slice(body);
}
