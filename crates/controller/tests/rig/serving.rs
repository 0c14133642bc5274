//! Parts of the rig that run in background threads: a name service that answers all queries, executors that record when requests
//! arrive, and clients that send queries continuously.

use super::{dns_answer, hit_response, Client, Executor, ExecutorConnection};
use hickory_proto::op::Message;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often background threads check whether they have to stop or have something to send.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Pause of a client between a response and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Number of concurrent clients.
const CLIENTS: u64 = 4;

/// An executor in the list of a name service.
#[derive(Clone, Debug)]
pub struct ListedExecutor {
    pub name: &'static str,
    pub address: SocketAddr,
    pub is_draining: bool,
}

/// An executor that accepts new requests.
pub fn ready(name: &'static str, address: SocketAddr) -> ListedExecutor {
    ListedExecutor {
        name,
        address,
        is_draining: false,
    }
}

/// An executor that is draining.
pub fn draining(name: &'static str, address: SocketAddr) -> ListedExecutor {
    ListedExecutor {
        name,
        address,
        is_draining: true,
    }
}

/// The list that a name service publishes, and how it answers.
struct NameServiceState {
    serial: u32,
    executors: Vec<ListedExecutor>,
    delay: Duration,
    /// Number of the next answers that are dropped.
    answers_to_drop: usize,
    /// The serial number and the time of each answer sent.
    sent: Vec<(u32, Instant)>,
    queries: usize,
}

/// A name service that answers queries in a background thread.
pub struct AutomaticNameService {
    pub address: SocketAddr,
    state: Arc<Mutex<NameServiceState>>,
    stop: Arc<AtomicBool>,
}

impl AutomaticNameService {
    /// A name service that answers with this list, without delay.
    pub fn new(serial: u32, executors: &[ListedExecutor]) -> AutomaticNameService {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(NameServiceState {
            serial,
            executors: executors.to_vec(),
            delay: Duration::ZERO,
            answers_to_drop: 0,
            sent: Vec::new(),
            queries: 0,
        }));
        let stop = Arc::new(AtomicBool::new(false));
        let (thread_state, thread_stop) = (state.clone(), stop.clone());
        thread::spawn(move || answer_queries(&socket, &thread_state, &thread_stop));
        AutomaticNameService {
            address,
            state,
            stop,
        }
    }

    fn state(&self) -> MutexGuard<'_, NameServiceState> {
        self.state.lock().expect("a name service")
    }

    /// Publishes this list from now on.
    pub fn set_list(&self, serial: u32, executors: &[ListedExecutor]) {
        let mut state = self.state();
        state.serial = serial;
        state.executors = executors.to_vec();
    }

    /// Delays answers by this time from now on.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Drops the next answers.
    pub fn drop_answers(&self, answers: usize) {
        self.state().answers_to_drop = answers;
    }

    /// Number of queries received.
    pub fn query_count(&self) -> usize {
        self.state().queries
    }

    /// When a list with this serial number or a higher one was first sent.
    pub fn first_sent_at(&self, serial: u32) -> Option<Instant> {
        let state = self.state();
        let mut sent = state.sent.iter();
        sent.find(|(number, _)| *number >= serial)
            .map(|(_, sent_at)| *sent_at)
    }
}

impl Drop for AutomaticNameService {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn answer_queries(socket: &UdpSocket, state: &Mutex<NameServiceState>, stop: &AtomicBool) {
    socket
        .set_read_timeout(Some(POLL_INTERVAL))
        .expect("a socket");
    let mut pending: Vec<(Instant, SocketAddr, u32, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2_048];
    while !stop.load(Ordering::SeqCst) {
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let query = Message::from_vec(&buffer[..length]).expect("a DNS query");
            let mut state = state.lock().expect("a name service");
            state.queries += 1;
            if state.answers_to_drop > 0 {
                state.answers_to_drop -= 1;
            } else {
                let executors: Vec<_> = state
                    .executors
                    .iter()
                    .map(|e| (e.name, e.address, e.is_draining))
                    .collect();
                let bytes = dns_answer(&query, state.serial, &executors).to_vec();
                let due = Instant::now() + state.delay;
                pending.push((due, from, state.serial, bytes.expect("bytes")));
            }
        }
        let now = Instant::now();
        for (_, to, serial, bytes) in pending.extract_if(.., |(due, ..)| *due <= now) {
            socket.send_to(&bytes, to).expect("sent");
            state
                .lock()
                .expect("a name service")
                .sent
                .push((serial, Instant::now()));
        }
    }
}

/// An executor that serves all requests and records when each one arrived.
pub struct RecordingExecutor {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Instant>>>,
}

impl RecordingExecutor {
    pub fn new(name: &'static str) -> RecordingExecutor {
        let executor = Executor::new();
        let address = executor.address;
        let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let thread_received = received.clone();
        thread::spawn(move || {
            while let Some(conn) = executor.accept_without_timeout() {
                let thread_received = thread_received.clone();
                thread::spawn(move || serve(conn, name, &thread_received));
            }
        });
        RecordingExecutor { address, received }
    }

    /// Number of requests that arrived after `moment`.
    pub fn received_after(&self, moment: Instant) -> usize {
        let received = self.received.lock().expect("an executor");
        received.iter().filter(|at| **at > moment).count()
    }
}

fn serve(mut conn: ExecutorConnection, name: &str, received: &Mutex<Vec<Instant>>) {
    while let Some(request) = conn.next_request() {
        received.lock().expect("an executor").push(Instant::now());
        conn.send(&hit_response(&request.id, name));
    }
}

/// Clients that send one request after another, each on a connection of its own, until this is dropped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    pub fn start(to: SocketAddr) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let last_id = Arc::new(AtomicU64::new(1_000));
        let clients = (0..CLIENTS)
            .map(|_| {
                let (thread_stop, last_id) = (stop.clone(), last_id.clone());
                thread::spawn(move || send_queries(to, &last_id, &thread_stop))
            })
            .collect();
        Traffic { stop, clients }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

fn send_queries(to: SocketAddr, last_id: &AtomicU64, stop: &AtomicBool) {
    let mut client = Client::connect(to);
    while !stop.load(Ordering::SeqCst) {
        client.send_query("look", last_id.fetch_add(1, Ordering::SeqCst) + 1);
        if client.read_status() == 0 {
            return;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}
