//! Parts of the rig that run in background threads: a name service that answers all queries, executors that record when requests
//! arrive, and clients that send queries continuously.

use super::{dns_answer, hit_response, Client, Executor, ExecutorConnection};
use hickory_proto::op::Message;
use hickory_proto::rr::RData;
use std::collections::{BTreeMap, VecDeque};
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
    pub name: String,
    pub address: SocketAddr,
    pub is_draining: bool,
}

/// An executor that accepts new requests.
pub fn ready(name: &str, address: SocketAddr) -> ListedExecutor {
    ListedExecutor {
        name: name.to_string(),
        address,
        is_draining: false,
    }
}

/// An executor that is draining.
pub fn draining(name: &str, address: SocketAddr) -> ListedExecutor {
    ListedExecutor {
        name: name.to_string(),
        address,
        is_draining: true,
    }
}

/// Which part of a list the answers of a name service contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// The whole list.
    Complete,
    /// All records, with the flag that says that some are missing.
    Truncated,
    /// The whole list without the address of this executor.
    WithoutAddressOf(&'static str),
}

impl AnswerForm {
    fn apply(self, answer: &mut Message) {
        match self {
            AnswerForm::Complete => {}
            AnswerForm::Truncated => answer.metadata.truncation = true,
            AnswerForm::WithoutAddressOf(name) => answer.additionals.retain(|record| {
                let host = record.name.to_string();
                !matches!(record.data, RData::A(_)) || !host.starts_with(&format!("{name}."))
            }),
        }
    }
}

/// A list of executors and its serial number.
type NumberedList = (u32, Vec<ListedExecutor>);

/// The list that a name service publishes, and how it answers.
struct NameServiceState {
    serial: u32,
    executors: Vec<ListedExecutor>,
    delay: Duration,
    form: AnswerForm,
    /// Lists that the next answers contain in place of the published one.
    next_lists: VecDeque<NumberedList>,
    /// Number of the next answers that are dropped.
    answers_to_drop: usize,
    /// The serial number and the time of each answer sent.
    sent: Vec<(u32, Instant)>,
    queries: usize,
}

/// The name services that have no list until a configuration names them.
static WITHOUT_LIST: Mutex<Vec<(SocketAddr, Arc<Mutex<NameServiceState>>)>> =
    Mutex::new(Vec::new());

/// Has the name service that a configuration names publish the list of the configuration, if it has none.
pub fn publish_configured_list(config: &serde_json::Value) {
    let resolver = config["resolver"].as_str().and_then(|at| at.parse().ok());
    let mut waiting = WITHOUT_LIST.lock().expect("name services");
    let Some(position) = waiting
        .iter()
        .position(|(address, _)| Some(*address) == resolver)
    else {
        return;
    };
    let (_, state) = waiting.swap_remove(position);
    let known = &config["known"];
    let servers = known["cmds"][0]["nodes"]["servers"].as_array();
    let executors = servers.into_iter().flatten().map(|server| {
        let address = server["addr"].as_str().and_then(|at| at.parse().ok());
        ready(
            server["id"].as_str().expect("a name"),
            address.expect("an address"),
        )
    });
    let mut state = state.lock().expect("a name service");
    state.serial = known["cursor"].as_u64().expect("a number") as u32;
    state.executors = executors.collect();
}

/// A name service that answers queries in a background thread.
pub struct AutomaticNameService {
    pub address: SocketAddr,
    state: Arc<Mutex<NameServiceState>>,
    stop: Arc<AtomicBool>,
}

impl AutomaticNameService {
    /// A name service that answers with the list of the first configuration that names it, without delay.
    pub fn of_configuration() -> AutomaticNameService {
        let name_service = AutomaticNameService::new(0, &[]);
        let mut waiting = WITHOUT_LIST.lock().expect("name services");
        waiting.push((name_service.address, name_service.state.clone()));
        name_service
    }

    /// A name service that answers with this list, without delay.
    pub fn new(serial: u32, executors: &[ListedExecutor]) -> AutomaticNameService {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(NameServiceState {
            serial,
            executors: executors.to_vec(),
            delay: Duration::ZERO,
            form: AnswerForm::Complete,
            next_lists: VecDeque::new(),
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

    /// Answers queries in this form from now on.
    pub fn set_answer_form(&self, form: AnswerForm) {
        self.state().form = form;
    }

    /// Answers the next query with this list, and the ones after it as before.
    pub fn answer_next_with(&self, serial: u32, executors: &[ListedExecutor]) {
        let list = (serial, executors.to_vec());
        self.state().next_lists.push_back(list);
    }

    /// Whether the lists of [`AutomaticNameService::answer_next_with`] were sent.
    pub fn has_sent_next_lists(&self) -> bool {
        self.state().next_lists.is_empty()
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
                let published = (state.serial, state.executors.clone());
                let (serial, list) = state.next_lists.pop_front().unwrap_or(published);
                let executors: Vec<_> = list
                    .iter()
                    .map(|e| (e.name.as_str(), e.address, e.is_draining))
                    .collect();
                let mut answer = dns_answer(&query, serial, &executors);
                state.form.apply(&mut answer);
                let due = Instant::now() + state.delay;
                pending.push((due, from, serial, answer.to_vec().expect("bytes")));
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

    /// Number of requests that arrived between two moments.
    pub fn received_between(&self, from: Instant, until: Instant) -> usize {
        self.received_after(from) - self.received_after(until)
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
    /// Number of responses by status; 0 for requests whose connection ended without a response.
    statuses: Arc<Mutex<BTreeMap<u16, usize>>>,
}

impl Traffic {
    pub fn start(to: SocketAddr) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let last_id = Arc::new(AtomicU64::new(1_000));
        let statuses: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
        let clients = (0..CLIENTS)
            .map(|_| {
                let (thread_stop, last_id) = (stop.clone(), last_id.clone());
                let statuses = statuses.clone();
                thread::spawn(move || send_queries(to, &last_id, &statuses, &thread_stop))
            })
            .collect();
        Traffic {
            stop,
            clients,
            statuses,
        }
    }

    /// Number of responses so far by status; 0 for requests whose connection ended without a response.
    pub fn statuses(&self) -> BTreeMap<u16, usize> {
        self.statuses.lock().expect("clients").clone()
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

/// Sends one request after another, on a new connection if the previous one has ended.
fn send_queries(
    to: SocketAddr,
    last_id: &AtomicU64,
    statuses: &Mutex<BTreeMap<u16, usize>>,
    stop: &AtomicBool,
) {
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(mut client) = connection.take().or_else(|| Client::try_connect(to).ok()) else {
            thread::sleep(REQUEST_INTERVAL);
            continue;
        };
        client.send_query("look", last_id.fetch_add(1, Ordering::SeqCst) + 1);
        let status = client.read_status();
        *statuses.lock().expect("clients").entry(status).or_default() += 1;
        connection = (status != 0).then_some(client);
        thread::sleep(REQUEST_INTERVAL);
    }
}
