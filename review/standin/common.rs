//! Stand-ins for the review's cases: the platform that starts a controller, the name service, executors and clients. They follow
//! the protocol page of the operators. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in microseconds.
pub fn now_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_micros() as i64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: one line an event, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::io::BufWriter<File>>>,
    started_at: i64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
        Record { file: Arc::new(Mutex::new(std::io::BufWriter::new(file))), started_at: now_us() }
    }

    pub fn line(&self, text: &str) {
        let at = (now_us() - self.started_at) as f64 / 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    /// The time of an event in milliseconds since the start.
    pub fn ms(&self, at: i64) -> i64 {
        (at - self.started_at) / 1_000
    }
}

/// Ends the program with 2: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    // The record is buffered; `case.sh` adds to it that the case could not run.
    println!("the case could not run: {reason}");
    std::process::exit(2)
}

/// Ends the program with 2 if it has not ended within 110 s.
pub fn start_watchdog() {
    thread::spawn(|| {
        sleep_ms(110_000);
        cannot_run("it has not ended within 110 s");
    });
}

/// Whether the disruption is on.
pub fn is_trouble_on() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of random numbers (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_request_id() -> String {
    let n = NEXT_ID.fetch_add(1, SeqCst);
    format!("{:016x}", (now_us() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (n << 40) ^ n)
}

/// Loopback addresses of this run: 127.A.B.n, A and B from the process id.
pub fn host(n: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{n}", 1 + id % 250, 1 + id / 250 % 250)
}

/// A free address on a host of this run.
pub fn free_address(n: u8) -> SocketAddr {
    let listener = TcpListener::bind((host(n).as_str(), 0)).unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    listener.local_addr().expect("a bound address")
}

// ---------------------------------------------------------------------------------------------------------------------------
// The name service
// ---------------------------------------------------------------------------------------------------------------------------

/// An executor in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub draining: bool,
    pub started_ms: i64,
}

impl Entry {
    pub fn ready(id: &str, addr: SocketAddr, kind: &str) -> Entry {
        Entry { id: id.into(), addr, zone: "kigali-dc".into(), kind: kind.into(), cell: 1, draining: false, started_ms: 0 }
    }
}

#[derive(Default)]
pub struct ListState {
    pub serial: u32,
    pub entries: Vec<Entry>,
    /// When the list with this serial was first sent in an answer, in Unix microseconds.
    pub told_at: BTreeMap<u32, i64>,
}

/// The name service, which answers by DNS over UDP.
#[derive(Clone)]
pub struct NameService {
    pub state: Arc<Mutex<ListState>>,
    pub address: SocketAddr,
    /// Time that an answer takes, in milliseconds.
    pub latency_ms: Arc<AtomicU64>,
    /// Number of queries that have come, by the host that asked.
    pub queries: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl NameService {
    pub fn start(n: u8, entries: Vec<Entry>, record: &Record) -> NameService {
        let socket = UdpSocket::bind((host(n).as_str(), 0)).unwrap_or_else(|e| cannot_run(&format!("name service: {e}")));
        let address = socket.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(ListState { serial: 1, entries, told_at: BTreeMap::new() }));
        let service = NameService { state: state.clone(), address, latency_ms: Arc::default(), queries: Arc::default() };
        let (latency_ms, queries) = (service.latency_ms.clone(), service.queries.clone());
        let record = record.clone();
        thread::spawn(move || {
            let mut buffer = [0u8; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                *queries.lock().unwrap().entry(from.ip().to_string()).or_default() += 1;
                let (query, state, record) = (buffer[..length].to_vec(), state.clone(), record.clone());
                let latency = latency_ms.load(SeqCst);
                let Ok(socket) = socket.try_clone() else { continue };
                thread::spawn(move || {
                    sleep_ms(latency);
                    let mut state = state.lock().unwrap();
                    if let Some(answer) = encode_answer(&query, &state) {
                        let serial = state.serial;
                        state.told_at.entry(serial).or_insert_with(|| {
                            record.line(&format!("name service: list {serial} told to {from}"));
                            now_us()
                        });
                        let _ = socket.send_to(&answer, from);
                    }
                });
            }
        });
        service
    }

    /// Number of queries that a host has sent.
    pub fn queries_of(&self, host: &str) -> u64 {
        self.queries.lock().unwrap().get(host).copied().unwrap_or(0)
    }

    /// Changes the list, which is a new event.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) -> u32 {
        let mut state = self.state.lock().unwrap();
        change(&mut state.entries);
        state.serial += 1;
        state.serial
    }

    /// The `known` of a configuration: the list up to now.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        let servers: Vec<String> = state
            .entries
            .iter()
            .map(|e| {
                let word = if e.draining { "draining" } else { "ready" };
                format!(
                    r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{word}","weight":1,"started_ms":{}}}"#,
                    e.id, e.addr, e.zone, e.kind, e.cell, e.started_ms
                )
            })
            .collect();
        let serial = state.serial;
        format!(
            r#"{{"cursor":{serial},"cmds":[{{"cursor":{serial},"nodes":{{"version":{serial},"full":true,"servers":[{}]}}}}]}}"#,
            servers.join(",")
        )
    }
}

fn encode_name(name: &str, out: &mut Vec<u8>) {
    for label in name.split('.').filter(|l| !l.is_empty()) {
        out.push(label.len() as u8);
        out.extend_from_slice(label.as_bytes());
    }
    out.push(0);
}

fn encode_record(name: &str, kind: u16, data: &[u8], out: &mut Vec<u8>) {
    encode_name(name, out);
    out.extend_from_slice(&kind.to_be_bytes());
    out.extend_from_slice(&[0, 1, 0, 0, 0, 0]);
    out.extend_from_slice(&(data.len() as u16).to_be_bytes());
    out.extend_from_slice(data);
}

/// Encodes the answer to a query with the whole list.
fn encode_answer(query: &[u8], state: &ListState) -> Option<Vec<u8>> {
    let service = "_rpc._tcp.mesh.local";
    let mut question = Vec::new();
    encode_name(service, &mut question);
    question.extend_from_slice(&[0, 33, 0, 1]);
    if query.len() < 12 + question.len() {
        return None;
    }
    let count = state.entries.len() as u16;
    let mut out = Vec::new();
    out.extend_from_slice(&query[..2]);
    out.extend_from_slice(&[0x84, 0x00, 0, 1]);
    out.extend_from_slice(&count.to_be_bytes());
    out.extend_from_slice(&[0, 1]);
    out.extend_from_slice(&(2 * count).to_be_bytes());
    out.extend_from_slice(&question);
    let host_of = |e: &Entry| format!("{}.{}.hosts", e.id, e.zone);
    for e in &state.entries {
        let mut data = Vec::new();
        data.extend_from_slice(&u16::from(e.draining).to_be_bytes());
        data.extend_from_slice(&10u16.to_be_bytes());
        data.extend_from_slice(&e.addr.port().to_be_bytes());
        encode_name(&host_of(e), &mut data);
        encode_record(service, 33, &data, &mut out);
    }
    let mut soa = Vec::new();
    encode_name("ns.mesh.local", &mut soa);
    encode_name("admin.mesh.local", &mut soa);
    soa.extend_from_slice(&state.serial.to_be_bytes());
    soa.extend_from_slice(&[0; 16]);
    encode_record("mesh.local", 6, &soa, &mut out);
    for e in &state.entries {
        let SocketAddr::V4(addr) = e.addr else { return None };
        encode_record(&host_of(e), 1, &addr.ip().octets(), &mut out);
        let mut text = Vec::new();
        for pair in [format!("kind={}", e.kind), format!("cell={}", e.cell), format!("started={}", e.started_ms)] {
            text.push(pair.len() as u8);
            text.extend_from_slice(pair.as_bytes());
        }
        encode_record(&host_of(e), 16, &text, &mut out);
    }
    Some(out)
}

// ---------------------------------------------------------------------------------------------------------------------------
// Executors
// ---------------------------------------------------------------------------------------------------------------------------

/// What an executor does, besides the settings of the deployment.
#[derive(Clone)]
pub struct ExecutorOptions {
    pub cores: f64,
    /// Requests that it holds at most; one more gets `SHED`.
    pub sessions: usize,
    /// Fraction of its capacity at its start, and the time in seconds until it has all of it; `None` for a warm executor.
    pub cold: Option<(f64, f64)>,
    /// Work of a request by class, in seconds on one core.
    pub work: HashMap<String, f64>,
    /// Rows of a result: three columns of text.
    pub result: Vec<u8>,
}

/// A request as an executor received it whole.
#[derive(Clone, Debug)]
pub struct Receipt {
    pub at: i64,
    pub id: String,
    pub class: String,
    pub shed: bool,
}

struct Running {
    id: String,
    connection: u64,
    writer: Arc<Mutex<TcpStream>>,
    left: f64,
    total: f64,
    noted_at: Instant,
}

pub struct ExecutorState {
    running: Vec<Running>,
    pub receipts: Vec<Receipt>,
    pub served: u64,
    util: f64,
    connections: HashMap<u64, TcpStream>,
}

/// An executor: it runs what it is sent at once; its requests share its cores.
#[derive(Clone)]
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    pub started_at: i64,
    pub state: Arc<Mutex<ExecutorState>>,
    pub options: ExecutorOptions,
    pub is_down: Arc<AtomicBool>,
    /// Is called as a request has come whole, with the executor's name and the class.
    pub on_request: Arc<Mutex<Option<OnRequest>>>,
}

pub type OnRequest = Arc<dyn Fn(&str, &str) + Send + Sync>;

impl Executor {
    pub fn start(name: &str, host_number: u8, options: ExecutorOptions, record: &Record) -> Executor {
        let listener =
            TcpListener::bind((host(host_number).as_str(), 0)).unwrap_or_else(|e| cannot_run(&format!("executor: {e}")));
        let executor = Executor {
            name: name.into(),
            address: listener.local_addr().expect("bound"),
            started_at: now_us(),
            state: Arc::new(Mutex::new(ExecutorState {
                running: Vec::new(),
                receipts: Vec::new(),
                served: 0,
                util: 0.0,
                connections: HashMap::new(),
            })),
            options,
            is_down: Arc::new(AtomicBool::new(false)),
            on_request: Arc::default(),
        };
        let ticking = executor.clone();
        let tick_record = record.clone();
        thread::spawn(move || ticking.tick(&tick_record));
        let accepting = executor.clone();
        let record = record.clone();
        thread::spawn(move || {
            let mut number = 0;
            for stream in listener.incoming().flatten() {
                if accepting.is_down.load(SeqCst) {
                    return;
                }
                number += 1;
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { continue };
                accepting.state.lock().unwrap().connections.insert(number, copy);
                let (executor, record) = (accepting.clone(), record.clone());
                thread::spawn(move || executor.serve(number, stream, &record));
            }
        });
        executor
    }

    /// The part of its capacity that it has now.
    fn capacity(&self, now: i64) -> f64 {
        self.options.cold.map_or(1.0, |(from, ramp)| (from + (1.0 - from) * (now - self.started_at) as f64 / 1e6 / ramp).min(1.0))
    }

    /// Falls over: it closes its connections and stays down.
    pub fn fall(&self) {
        self.is_down.store(true, SeqCst);
        let mut state = self.state.lock().unwrap();
        state.running.clear();
        for connection in state.connections.values() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        state.connections.clear();
        drop(state);
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn tick(&self, record: &Record) {
        let mut last = Instant::now();
        while !self.is_down.load(SeqCst) {
            sleep_ms(2);
            let elapsed = last.elapsed().as_secs_f64();
            last = Instant::now();
            let cores = self.options.cores * self.capacity(now_us());
            let mut guard = self.state.lock().unwrap();
            let state = &mut *guard;
            let count = state.running.len() as f64;
            let rate = (cores / count.max(1.0)).min(1.0);
            state.util += 0.05 * ((count / cores).min(1.0) - state.util);
            let util = state.util;
            let mut ended = Vec::new();
            for running in &mut state.running {
                running.left -= elapsed * rate;
                if running.left <= 0.0 {
                    ended.push(running.id.clone());
                } else if running.noted_at.elapsed() > Duration::from_secs(1) {
                    running.noted_at = Instant::now();
                    let share = 1.0 - running.left / running.total;
                    send(&running.writer, format!("{} INFO tell=pct,v={share:.3} 0\r\n\r\n", running.id).as_bytes());
                }
            }
            let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut state.running).into_iter().partition(|r| ended.contains(&r.id));
            state.running = rest;
            state.served += done.len() as u64;
            drop(guard);
            for query in done {
                let result = &self.options.result;
                let mut answer = format!(
                    "{} HIT pages=1,cost={:.1},need=8,meter=util:{util:.2} {}\r\n",
                    query.id,
                    query.total * 1e3,
                    result.len()
                )
                .into_bytes();
                answer.extend_from_slice(result);
                answer.extend_from_slice(b"\r\n");
                record.line(&format!("{}: HIT {}", self.name, query.id));
                send(&query.writer, &answer);
            }
        }
    }

    fn serve(&self, number: u64, stream: TcpStream, record: &Record) {
        let writer = Arc::new(Mutex::new(stream.try_clone().expect("a copy of the stream")));
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 && line.ends_with("\r\n") => {}
                _ => break,
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["REQ", id, fields, length] => {
                    let Ok(length) = length.parse::<usize>() else { break };
                    let mut body = vec![0; length + 2];
                    if reader.read_exact(&mut body).is_err() {
                        break;
                    }
                    self.take(number, id, fields, &writer, record);
                }
                ["STOP", id] => {
                    record.line(&format!("{}: STOP {id}", self.name));
                    self.state.lock().unwrap().running.retain(|r| r.id != id || r.connection != number);
                }
                ["NICE", ..] | ["FETCH", ..] | ["END", ..] => {}
                ["HELO", tag] => send(&writer, format!("{tag} PONG\r\n").as_bytes()),
                _ => break,
            }
        }
        // What is open on a connection is given up with it.
        let mut state = self.state.lock().unwrap();
        state.running.retain(|r| r.connection != number);
        state.connections.remove(&number);
    }

    fn take(&self, number: u64, id: &str, fields: &str, writer: &Arc<Mutex<TcpStream>>, record: &Record) {
        let field = |name: &str| fields.split(',').find_map(|f| f.split_once('=').filter(|(k, _)| *k == name)).map(|(_, v)| v);
        let class = field("cls").unwrap_or("").to_string();
        let on_request = self.on_request.lock().unwrap().clone();
        if let Some(call) = on_request {
            call(&self.name, &class);
        }
        let work = self.options.work.get(&class).copied().unwrap_or(0.01);
        let mut state = self.state.lock().unwrap();
        let shed = state.running.len() >= self.options.sessions;
        state.receipts.push(Receipt { at: now_us(), id: id.into(), class: class.clone(), shed });
        record.line(&format!("{}: REQ {id} {fields}{}", self.name, if shed { " SHED" } else { "" }));
        if shed {
            let util = state.util;
            send(writer, format!("{id} SHED meter=util:{util:.2} 0\r\n\r\n").as_bytes());
            return;
        }
        state.running.push(Running {
            id: id.into(),
            connection: number,
            writer: writer.clone(),
            left: work,
            total: work,
            noted_at: Instant::now(),
        });
    }
}

fn send(writer: &Arc<Mutex<TcpStream>>, bytes: &[u8]) {
    let _ = writer.lock().unwrap().write_all(bytes);
}

// ---------------------------------------------------------------------------------------------------------------------------
// The platform: it starts, watches and ends a controller
// ---------------------------------------------------------------------------------------------------------------------------

/// Runs the command `run` of the deploy file for one controller.
pub struct Controller {
    pub listen: SocketAddr,
    pub config: PathBuf,
    root: PathBuf,
    run: String,
    log: PathBuf,
    child: Option<Child>,
}

impl Controller {
    /// `dir` is a temporary folder for the configuration and the log.
    pub fn new(listen: SocketAddr, dir: &Path) -> Controller {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .unwrap_or_else(|| cannot_run("the deploy file has no `run`"))
            .to_string();
        Controller { listen, config: dir.join("config.json"), root, run, log: dir.join("controller.log"), child: None }
    }

    /// Starts the program with this configuration, and waits until `/health` answers with 200.
    pub fn start(&mut self, config: &str) {
        std::fs::write(&self.config, config).unwrap_or_else(|e| cannot_run(&format!("configuration: {e}")));
        let log = File::options().create(true).append(true).open(&self.log).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.run)
            .current_dir(&self.root)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("controller: {e}")));
        // `run.sh` ends the controller by this id if this program can't.
        let _ = std::fs::write(self.config.with_file_name("controller.pid"), child.id().to_string());
        self.child = Some(child);
        for _ in 0..1_500 {
            if health(self.listen) == Some(200) {
                return;
            }
            sleep_ms(10);
        }
        cannot_run("the controller is not ready after 15 s");
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(self.config.with_file_name("controller.pid"));
        }
    }


    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

extern "C" {
    #[link_name = "kill"]
    fn c_kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the call has no memory effects.
    unsafe { c_kill(pid as i32, signal) };
}

/// The status with which `/health` answers.
pub fn health(at: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(b"GET /health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = [0; 64];
    let length = stream.read(&mut text).ok()?;
    std::str::from_utf8(&text[..length]).ok()?.split(' ').nth(1)?.parse().ok()
}

// ---------------------------------------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------------------------------------

/// How a call ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Served(String),
    Refused,
    Failed(u16),
    /// No connection came up: nothing was sent.
    Unreachable,
    /// The connection ended without a whole answer, after the request was written.
    Lost(String),
    /// No answer within its time and half a second.
    Late,
}

/// Connections of usual clients that rest.
#[derive(Default)]
pub struct Pool {
    resting: Mutex<Vec<(TcpStream, Instant)>>,
}

impl Pool {
    /// Closes the connections that have rested for 3 s; usual clients close them once idle for 4 s.
    pub fn close_idle(&self) {
        self.resting.lock().unwrap().retain(|(_, since)| since.elapsed() < Duration::from_secs(3));
    }

    /// Makes one call and returns how it ended. A request that crosses the close of a resting connection is sent once more on a
    /// new one, as the protocol page says.
    pub fn call(&self, at: SocketAddr, class: &str, id: &str, timeout_ms: u64, cost_ms: f64, statement: &str) -> Ending {
        self.call_with(at, class, id, timeout_ms, cost_ms, statement, "")
    }

    /// The same, marked as a client's retry.
    pub fn call_again(&self, at: SocketAddr, class: &str, id: &str, timeout_ms: u64, cost_ms: f64, statement: &str) -> Ending {
        self.call_with(at, class, id, timeout_ms, cost_ms, statement, "X-Retry: 1\r\n")
    }

    /// The same with a key whose order the class keeps.
    #[allow(clippy::too_many_arguments)]
    pub fn call_in_order(&self, at: SocketAddr, class: &str, id: &str, timeout_ms: u64, cost_ms: f64, statement: &str, key: &str) -> Ending {
        self.call_with(at, class, id, timeout_ms, cost_ms, statement, &format!("X-Object: {key}\r\n"))
    }

    #[allow(clippy::too_many_arguments)]
    fn call_with(&self, at: SocketAddr, class: &str, id: &str, timeout_ms: u64, cost_ms: f64, statement: &str, more: &str) -> Ending {
        let request = format!(
            "POST /rpc/{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {timeout_ms}\r\nX-Cost-Ms: {cost_ms:.1}\r\nX-Need-Mb: 8\r\n{more}Content-Length: {}\r\n\r\n{statement}",
            statement.len()
        );
        let resting = {
            self.close_idle();
            self.resting.lock().unwrap().pop()
        };
        if let Some((stream, _)) = resting {
            let sent_at = Instant::now();
            match self.exchange(stream, &request, timeout_ms) {
                // It crossed the close of a resting connection.
                Ending::Lost(_) if sent_at.elapsed() < Duration::from_millis(50) => {}
                ending => return ending,
            }
        }
        match TcpStream::connect_timeout(&at, Duration::from_millis(1_000)) {
            Ok(stream) => self.exchange(stream, &request, timeout_ms),
            Err(_) => Ending::Unreachable,
        }
    }

    fn exchange(&self, mut stream: TcpStream, request: &str, timeout_ms: u64) -> Ending {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(timeout_ms + 550)));
        if let Err(error) = stream.write_all(request.as_bytes()) {
            return Ending::Lost(error.to_string());
        }
        let mut reader = BufReader::new(stream);
        let mut head = String::new();
        loop {
            let before = head.len();
            match reader.read_line(&mut head) {
                Ok(0) => return Ending::Lost("connection closed".into()),
                Ok(_) if &head[before..] == "\r\n" => break,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return Ending::Late,
                Err(e) => return Ending::Lost(e.to_string()),
            }
        }
        let status: u16 = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let header = |name: &str| {
            head.lines().find_map(|l| l.split_once(':').filter(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string()))
        };
        let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if let Err(error) = reader.read_exact(&mut body) {
            return Ending::Lost(error.to_string());
        }
        if header("connection").as_deref() != Some("close") {
            self.resting.lock().unwrap().push((reader.into_inner(), Instant::now()));
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        match status {
            200 if !body.contains("\"reason\"") => Ending::Served(body),
            429 | 503 => Ending::Refused,
            200 => Ending::Refused,
            status => Ending::Failed(status),
        }
    }
}
