//! A controller and emulated engines, each in a thread of the test process, and a raw client of the PostgreSQL protocol.
#![allow(dead_code)]

pub mod program;

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
use wheelfield_net::retry_interrupted;
use wheelfield_pg::{backend_messages, frame, frontend_messages};

/// Maximum time to wait for a condition. It only bounds the test: no assertion depends on how soon the condition holds.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Emulated engines, with their registry and control server, in a thread.
pub struct Engines {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// The addresses of the control server and the registry, and the list of engines, as JSON.
    pub addresses: Value,
    log: std::path::PathBuf,
    _dir: tempfile::TempDir,
}

impl Engines {
    pub fn start(count: usize) -> Engines {
        Engines::with_setup(Setup::with_default_engines(count))
    }

    pub fn with_setup(setup: Setup) -> Engines {
        let dir = tempfile::tempdir().expect("create a temporary directory");
        let log = dir.path().join("log");
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = channel();
        let (flag, path) = (stop.clone(), log.clone());
        let thread = std::thread::spawn(move || {
            let mut host = Host::open(setup, Some(&path), 1).expect("open the sockets");
            sender.send(host.addresses()).expect("the receiver is open");
            host.serve(&flag).expect("serve until stopped");
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
        self.addresses[name].as_str().expect("a string").to_string()
    }

    /// Returns the entries that list the engines in a controller's configuration.
    pub fn config_entries(&self) -> String {
        let engines = self.addresses["engines"].as_array().expect("an array");
        let entry = |e: &Value| {
            format!(
                "[[engines]]\nid = {}\naddress = {}\nkind = \"std\"\nzone = \"a\"\n",
                e["id"], e["address"]
            )
        };
        engines.iter().map(entry).collect()
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
        serde_json::from_str(&body).expect("valid JSON")
    }

    /// Returns how many queries the engines are executing.
    pub fn running_queries(&self) -> u64 {
        let state = self.state();
        state["engines"]
            .as_array()
            .expect("an array")
            .iter()
            .filter_map(|e| e["in_hand"].as_u64())
            .sum()
    }

    /// Returns the first log entry of an event of a query. Waits for it, since the engines write their log only at the end
    /// of each iteration of their event loop.
    pub fn first_log_entry(&self, event: &str, query: &str) -> Value {
        wait_until("an entry in the engine log", || {
            !self.log_entries(event, query).is_empty()
        });
        self.log_entries(event, query).remove(0)
    }

    /// Returns the log entries of an event, of one query or, with an empty `query`, of all.
    pub fn log_entries(&self, event: &str, query: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("read the engine log");
        // Skips the last line if it is half written.
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

/// A controller in a thread of the test process.
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
            wheelfield_config::parse("test", config_text).unwrap_or_else(|error| panic!("{error}"));
        let (shutdown_signal, shutdown_receiver) =
            UnixStream::pair().expect("create a socket pair");
        let (capture_signal, capture_receiver) = UnixStream::pair().expect("create a socket pair");
        let (sender, receiver) = channel();
        let thread = std::thread::spawn(move || {
            let mut controller =
                PostgresController::open(config, 7, None).expect("open the sockets");
            controller
                .shut_down_on(shutdown_receiver)
                .expect("register the stream");
            controller
                .write_capture_on(capture_receiver)
                .expect("register the stream");
            sender
                .send(controller.addresses())
                .expect("the receiver is open");
            controller.run().expect("run the controller");
        });
        let addresses = receiver
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the controller starts");
        let text = |name: &str| addresses[name].as_str().map(str::to_string);
        Controller {
            address: text("listen")
                .expect("an address")
                .parse()
                .expect("a valid address"),
            admin: text("admin").expect("an address"),
            peers: text("peers"),
            gossip: text("gossip"),
            shutdown_signal,
            capture_signal,
            thread: Some(thread),
        }
    }

    /// Starts a controller that routes to these engines, with additional configuration text.
    pub fn with_engines(engines: &Engines, extra_config: &str) -> Controller {
        Controller::start(&format!(
            "{LISTEN_CONFIG}{BASE_CONFIG}{extra_config}\n{}",
            engines.config_entries()
        ))
    }

    /// Returns a value of the `/status` page by its name.
    pub fn status_value(&self, name: &str) -> u64 {
        let (_, body) = http(&self.admin, "GET", "/status");
        let status: Value = serde_json::from_str(&body).expect("valid JSON");
        status["figures"][name]
            .as_u64()
            .unwrap_or_else(|| panic!("no value {name} in the status: {body}"))
    }

    /// Waits until a status value meets a condition.
    pub fn wait_for_status(&self, name: &str, condition: impl Fn(u64) -> bool) {
        wait_until(name, || condition(self.status_value(name)));
    }

    /// Requests a graceful shutdown, as SIGTERM does.
    pub fn request_shutdown(&mut self) {
        self.shutdown_signal
            .write_all(b"x")
            .expect("write to the signal stream");
    }

    /// Requests that the in-memory capture is written, as SIGUSR1 does.
    pub fn request_capture(&mut self) {
        self.capture_signal
            .write_all(b"x")
            .expect("write to the signal stream");
    }

    pub fn join(&mut self) {
        self.thread
            .take()
            .expect("not joined yet")
            .join()
            .expect("the controller does not panic");
    }

    /// Connects a client of the `postgres` crate.
    pub fn postgres_client(&self) -> postgres::Client {
        let config = format!(
            "host=127.0.0.1 port={} user=me dbname=lab",
            self.address.port()
        );
        postgres::Client::connect(&config, postgres::NoTls).expect("connect the client")
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

/// Polls until a condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < timeout_at,
            "timed out waiting for {description}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends an HTTP request with an empty body; returns the status and the body of the response.
pub fn http(address: &str, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    let mut out = BytesMut::new();
    wheelfield_net::http::write_request(method, path, b"", &mut out);
    stream.write_all(&out).expect("write to the connection");
    let (mut input, mut buffer) = (BytesMut::new(), [0; 16 << 10]);
    loop {
        let n = retry_interrupted(Instant::now() + WAIT_TIMEOUT, |_| stream.read(&mut buffer))
            .expect("read the response");
        assert!(n > 0, "connection closed without a response");
        input.extend_from_slice(&buffer[..n]);
        if let Some(response) =
            wheelfield_net::http::take_response(&mut input, 1 << 20).expect("valid HTTP response")
        {
            return (
                response.status,
                String::from_utf8_lossy(&response.body).into_owned(),
            );
        }
    }
}

/// A client that sends and receives single messages of the PostgreSQL protocol.
pub struct RawClient {
    pub stream: TcpStream,
    input: BytesMut,
    pub process_id: i32,
    pub cancel_key: bytes::Bytes,
}

impl RawClient {
    pub fn connect(address: SocketAddr) -> RawClient {
        let stream = TcpStream::connect(address).expect("connect");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        let mut raw = RawClient {
            stream,
            input: BytesMut::new(),
            process_id: 0,
            cancel_key: bytes::Bytes::new(),
        };
        let mut out = BytesMut::new();
        frontend_messages::put_startup(&[("user", "raw"), ("database", "lab")], &mut out);
        raw.send(&out);
        loop {
            let (tag, message) = raw.read_message();
            match tag {
                b'K' => {
                    (raw.process_id, raw.cancel_key) =
                        backend_messages::parse_backend_key_data(&message).expect("valid key data")
                }
                b'Z' => return raw,
                b'E' => panic!(
                    "connection rejected: {:?}",
                    backend_messages::parse_sqlstate_and_message(&message)
                ),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("write to the connection");
    }

    /// Sends a `Query` message without waiting for the answer.
    pub fn query(&mut self, text: &str) {
        let mut out = BytesMut::new();
        frontend_messages::put_query(text, &mut out);
        self.send(&out);
    }

    /// Reads the next message, its type and body; `None` if the connection is closed or a read fails.
    pub fn try_read_message(&mut self) -> Option<(u8, bytes::Bytes)> {
        loop {
            if let Some(message) =
                frame::take_message(&mut self.input, usize::MAX).expect("a well-formed message")
            {
                return Some(message);
            }
            let mut buffer = [0; 64 << 10];
            let read = retry_interrupted(Instant::now() + WAIT_TIMEOUT, |_| {
                self.stream.read(&mut buffer)
            });
            match read {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
            }
        }
    }

    /// Reads the next message, its type and body.
    pub fn read_message(&mut self) -> (u8, bytes::Bytes) {
        self.try_read_message()
            .expect("a message before the end of the stream")
    }

    /// Reads all messages up to `ReadyForQuery`. Returns their types, with consecutive rows as one `D`, and the SQLSTATE of
    /// an error.
    pub fn read_answer(&mut self) -> (String, String) {
        let (mut tags, mut sqlstate) = (String::new(), String::new());
        loop {
            let (tag, message) = self.read_message();
            match tag {
                b'Z' => return (tags, sqlstate),
                b'E' => {
                    sqlstate = backend_messages::parse_sqlstate_and_message(&message)
                        .expect("error fields")
                        .0
                }
                b'D' if tags.ends_with('D') => continue,
                _ => {}
            }
            tags.push(tag as char);
        }
    }

    /// Sends a request to cancel the running query, over a connection of its own.
    pub fn cancel(&self) {
        let mut out = BytesMut::new();
        frontend_messages::put_cancel(self.process_id, &self.cancel_key, &mut out);
        let mut stream = TcpStream::connect(self.stream.peer_addr().expect("the peer address"))
            .expect("connect");
        stream.write_all(&out).expect("write to the connection");
        // The controller closes the connection once it has processed the request.
        let _ = stream.read(&mut [0; 8]);
    }

    /// Appends a `Parse` message to `out`.
    pub fn put_parse(name: &str, sql: &str, out: &mut BytesMut) {
        put_message(
            b'P',
            &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat(),
            out,
        );
    }
    /// Appends a `Bind` message without parameters to `out`.
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
    /// Appends an `Execute` message to `out`; `max_rows` 0 means all rows.
    pub fn put_execute(portal: &str, max_rows: i32, out: &mut BytesMut) {
        put_message(
            b'E',
            &[portal.as_bytes(), b"\0", &max_rows.to_be_bytes()].concat(),
            out,
        );
    }
    /// Appends a message without a body to `out`.
    pub fn put_empty_message(tag: u8, out: &mut BytesMut) {
        put_message(tag, b"", out);
    }
}

fn put_message(tag: u8, body: &[u8], out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(body.len() as i32 + 4);
    out.put_slice(body);
}
