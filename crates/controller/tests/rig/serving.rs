//! Parts of the rig that act by themselves: a name service that answers what it is asked, executors that note what they get, and
//! clients that keep asking.

use super::{hit, list, Client, Conn, Executor};
use hickory_proto::op::Message;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often threads look whether they are to do something else.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Pause of a client between an answer and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Clients that ask at the same time.
const CLIENTS: u64 = 4;

/// An executor as a list names it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: &'static str,
    pub at: SocketAddr,
    pub drains: bool,
}

/// An executor that takes work.
pub fn ready(name: &'static str, at: SocketAddr) -> Listed {
    Listed {
        name,
        at,
        drains: false,
    }
}

/// An executor that drains.
pub fn draining(name: &'static str, at: SocketAddr) -> Listed {
    Listed {
        name,
        at,
        drains: true,
    }
}

/// What a name service has to tell, and how.
struct Telling {
    serial: u32,
    executors: Vec<Listed>,
    delay: Duration,
    /// Answers that are lost next.
    to_lose: usize,
    /// When each serial number was first sent.
    told: Vec<(u32, Instant)>,
    questions: usize,
}

/// A name service that answers by itself.
pub struct ServingNames {
    pub at: SocketAddr,
    telling: Arc<Mutex<Telling>>,
    has_ended: Arc<AtomicBool>,
}

impl ServingNames {
    /// One that answers at once with this list.
    pub fn new(serial: u32, executors: &[Listed]) -> ServingNames {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = socket.local_addr().expect("bound");
        let telling = Arc::new(Mutex::new(Telling {
            serial,
            executors: executors.to_vec(),
            delay: Duration::ZERO,
            to_lose: 0,
            told: Vec::new(),
            questions: 0,
        }));
        let has_ended = Arc::new(AtomicBool::new(false));
        let (for_thread, ends) = (telling.clone(), has_ended.clone());
        thread::spawn(move || answer_questions(&socket, &for_thread, &ends));
        ServingNames {
            at,
            telling,
            has_ended,
        }
    }

    fn telling(&self) -> MutexGuard<'_, Telling> {
        self.telling.lock().expect("a name service")
    }

    /// From now on it has this list.
    pub fn has(&self, serial: u32, executors: &[Listed]) {
        let mut telling = self.telling();
        telling.serial = serial;
        telling.executors = executors.to_vec();
    }

    /// From now on its answers take so long.
    pub fn takes(&self, delay: Duration) {
        self.telling().delay = delay;
    }

    /// Its next answers are lost.
    pub fn loses(&self, answers: usize) {
        self.telling().to_lose = answers;
    }

    /// How often it was asked.
    pub fn questions(&self) -> usize {
        self.telling().questions
    }

    /// When a list at least as new was first sent.
    pub fn told_at(&self, serial: u32) -> Option<Instant> {
        let telling = self.telling();
        let mut told = telling.told.iter();
        told.find(|(number, _)| *number >= serial)
            .map(|(_, at)| *at)
    }
}

impl Drop for ServingNames {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }
}

fn answer_questions(socket: &UdpSocket, telling: &Mutex<Telling>, has_ended: &AtomicBool) {
    socket
        .set_read_timeout(Some(LOOK_INTERVAL))
        .expect("a socket");
    let mut pending: Vec<(Instant, SocketAddr, u32, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2_048];
    while !has_ended.load(Ordering::SeqCst) {
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let question = Message::from_vec(&buffer[..length]).expect("a question");
            let mut telling = telling.lock().expect("a name service");
            telling.questions += 1;
            if telling.to_lose > 0 {
                telling.to_lose -= 1;
            } else {
                let executors: Vec<_> = telling
                    .executors
                    .iter()
                    .map(|e| (e.name, e.at, e.drains))
                    .collect();
                let bytes = list(&question, telling.serial, &executors).to_vec();
                let due = Instant::now() + telling.delay;
                pending.push((due, from, telling.serial, bytes.expect("bytes")));
            }
        }
        let now = Instant::now();
        for (_, to, serial, bytes) in pending.extract_if(.., |(due, ..)| *due <= now) {
            socket.send_to(&bytes, to).expect("sent");
            telling
                .lock()
                .expect("a name service")
                .told
                .push((serial, Instant::now()));
        }
    }
}

/// An executor that serves everything and notes when each request came.
pub struct NotingExecutor {
    pub at: SocketAddr,
    received: Arc<Mutex<Vec<Instant>>>,
}

impl NotingExecutor {
    pub fn new(name: &'static str) -> NotingExecutor {
        let executor = Executor::new();
        let at = executor.at;
        let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let notes = received.clone();
        thread::spawn(move || {
            while let Some(conn) = executor.next() {
                let notes = notes.clone();
                thread::spawn(move || serve(conn, name, &notes));
            }
        });
        NotingExecutor { at, received }
    }

    /// Requests that came after a moment.
    pub fn received_after(&self, moment: Instant) -> usize {
        let received = self.received.lock().expect("an executor");
        received.iter().filter(|at| **at > moment).count()
    }
}

fn serve(mut conn: Conn, name: &str, notes: &Mutex<Vec<Instant>>) {
    while let Some(request) = conn.try_request() {
        notes.lock().expect("an executor").push(Instant::now());
        conn.says(&hit(&request.id, name));
    }
}

/// Clients that ask one request after the other, each on its own connection.
pub struct Traffic {
    has_ended: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    pub fn begin(to: SocketAddr) -> Traffic {
        let has_ended = Arc::new(AtomicBool::new(false));
        let last_id = Arc::new(AtomicU64::new(1_000));
        let clients = (0..CLIENTS)
            .map(|_| {
                let (ends, last_id) = (has_ended.clone(), last_id.clone());
                thread::spawn(move || ask_on_and_on(to, &last_id, &ends))
            })
            .collect();
        Traffic { has_ended, clients }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

fn ask_on_and_on(to: SocketAddr, last_id: &AtomicU64, has_ended: &AtomicBool) {
    let mut client = Client::connect(to);
    while !has_ended.load(Ordering::SeqCst) {
        client.asks("look", last_id.fetch_add(1, Ordering::SeqCst) + 1);
        if client.status() == 0 {
            return;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}
