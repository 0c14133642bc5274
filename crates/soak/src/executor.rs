//! An emulated executor: it answers the requests of controllers, and misbehaves when told to.

use crate::arrival::{enable_timestamps, read_with_wait};
use crate::ledger::{Ledger, Receipt, RequestId};
use crate::settings::{IDLE_TIMEOUT_US, WORK_MS};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a blocked thread checks whether it has to close its connection.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// The shortest run time of a query, and the range of what is added according to its id, in
/// milliseconds.
const MIN_RUN_MS: u64 = 4;
const RUN_RANGE_MS: u64 = 40;
/// A request with a lower time limit than this is dropped without an answer, in milliseconds.
const MIN_LIMIT_MS: i64 = 8;
/// One in this many results has several pages.
const PAGED_RESULT_INTERVAL: u64 = 5;
const PAGES: usize = 3;
const STACK_BYTES: usize = 128 << 10;
const READ_BYTES: usize = 4 << 10;

/// Misbehaviour of an executor.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// It answers nothing.
    pub hangs: AtomicBool,
    /// It rejects requests because it is full.
    pub is_full: AtomicBool,
    /// The queries that it runs fail.
    pub fails: AtomicBool,
    /// Connections with a lower number than this are closed when they are idle.
    close_idle_before: AtomicU64,
    /// Requests on connections with a lower number than this are ignored.
    forget_before: AtomicU64,
    /// Connections with a lower number than this are reset.
    reset_before: AtomicU64,
}

/// State shared by the threads of an executor.
struct Shared {
    number: usize,
    ledger: Ledger,
    behaviour: Behaviour,
    has_stopped: AtomicBool,
    connections_accepted: AtomicU64,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
}

/// An executor that runs until it is dropped.
pub struct Executor {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Executor {
    /// Starts the executor with this number, which is used only once, at an address; port 0 stands
    /// for any port.
    ///
    /// # Errors
    /// If it cannot listen there.
    pub fn start(number: usize, address: SocketAddr, ledger: Ledger) -> io::Result<Executor> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            number,
            ledger,
            behaviour: Behaviour::default(),
            has_stopped: AtomicBool::new(false),
            connections_accepted: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let for_listener = shared.clone();
        thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || listen(&listener, &for_listener))?;
        Ok(Executor { address, shared })
    }

    /// The misbehaviour that is switched on.
    pub fn behaviour(&self) -> &Behaviour {
        &self.shared.behaviour
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        let accepted = self.shared.connections_accepted.load(Ordering::SeqCst);
        let behaviour = &self.shared.behaviour;
        behaviour.reset_before.store(accepted, Ordering::SeqCst);
        for stream in self.shared.streams().values() {
            // With a linger time of zero, the close by the connection's thread sends a reset, as
            // the operating system does for a process that died.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    }

    /// Closes the connections that are idle now.
    pub fn close_idle(&self) {
        let accepted = self.shared.connections_accepted.load(Ordering::SeqCst);
        let behaviour = &self.shared.behaviour;
        behaviour
            .close_idle_before
            .store(accepted, Ordering::SeqCst);
    }

    /// Ignores from now on all requests on the connections that are open now.
    pub fn forget_connections(&self) {
        let accepted = self.shared.connections_accepted.load(Ordering::SeqCst);
        let behaviour = &self.shared.behaviour;
        behaviour.forget_before.store(accepted, Ordering::SeqCst);
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.shared.has_stopped.store(true, Ordering::SeqCst);
        self.reset_connections();
    }
}

impl Shared {
    fn streams(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_stopped(&self) -> bool {
        self.has_stopped.load(Ordering::SeqCst)
    }

    /// Whether the connection with this number is reset, or the executor stops.
    fn is_reset(&self, number: u64) -> bool {
        self.has_stopped() || number < self.behaviour.reset_before.load(Ordering::SeqCst)
    }
}

fn listen(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.has_stopped() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let number = shared.connections_accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(copy) = stream.try_clone() else {
            continue;
        };
        shared.streams().insert(number, copy);
        let for_connection = shared.clone();
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _ = serve_connection(number, stream, &for_connection);
                for_connection.streams().remove(&number);
            });
        if spawned.is_err() {
            shared.streams().remove(&number);
        }
    }
}

/// A running query and its answer.
struct Job {
    due: Instant,
    id: String,
    answer: String,
}

/// Reads the requests of a connection, while a second thread sends the answers when they are due.
fn serve_connection(number: u64, stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    enable_timestamps(&stream)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let (jobs, queue) = channel();
    let (for_worker, worker_shared) = (writer.clone(), shared.clone());
    let worker = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || answer_jobs(number, &queue, &for_worker, &worker_shared))?;
    let mut connection = Connection {
        number,
        stream,
        writer,
        input: Vec::new(),
        arrived_at: 0,
        jobs,
        shared: shared.clone(),
    };
    let served = connection.serve();
    drop(connection);
    let _ = worker.join();
    served
}

/// Sends the answer to each query when its run time is over, or later if the executor hangs.
fn answer_jobs(number: u64, queue: &Receiver<Job>, writer: &Mutex<TcpStream>, shared: &Shared) {
    for job in queue {
        thread::sleep(job.due.saturating_duration_since(Instant::now()));
        while shared.behaviour.hangs.load(Ordering::SeqCst) && !shared.is_reset(number) {
            thread::sleep(ACCEPT_INTERVAL * 5);
        }
        if shared.is_reset(number) {
            return;
        }
        let fails = shared.behaviour.fails.load(Ordering::SeqCst);
        let answer = if fails {
            format!("{} FAULT - 0\r\n\r\n", job.id)
        } else {
            job.answer
        };
        if write_text(writer, &answer).is_err() {
            return;
        }
    }
}

fn write_text(writer: &Mutex<TcpStream>, text: &str) -> io::Result<()> {
    let mut stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
    stream.write_all(text.as_bytes())
}

/// A connection from a controller.
struct Connection {
    number: u64,
    stream: TcpStream,
    writer: Arc<Mutex<TcpStream>>,
    input: Vec<u8>,
    /// When the last bytes of the input arrived, in microseconds since the start of the run.
    arrived_at: i64,
    jobs: Sender<Job>,
    shared: Arc<Shared>,
}

impl Connection {
    /// Serves requests until the connection ends.
    fn serve(&mut self) -> io::Result<()> {
        let mut idle_since = Instant::now();
        loop {
            while let Some(line) = self.take_line() {
                self.handle_line(&line)?;
                idle_since = Instant::now();
            }
            if !self.read_more()? {
                let idle = idle_since.elapsed().as_micros() as i64;
                let is_expired = idle > IDLE_TIMEOUT_US || self.closes_when_idle();
                if self.shared.is_reset(self.number) || is_expired {
                    return Ok(());
                }
            }
        }
    }

    fn closes_when_idle(&self) -> bool {
        let behaviour = &self.shared.behaviour;
        self.number < behaviour.close_idle_before.load(Ordering::SeqCst)
    }

    fn is_forgotten(&self) -> bool {
        let behaviour = &self.shared.behaviour;
        self.number < behaviour.forget_before.load(Ordering::SeqCst)
    }

    /// Reads more input. Returns false if none arrived within the read timeout.
    fn read_more(&mut self) -> io::Result<bool> {
        use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
        let mut buffer = [0; READ_BYTES];
        match read_with_wait(&self.stream, &mut buffer) {
            Ok((0, _)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok((length, waited)) => {
                self.arrived_at = self.shared.ledger.now() - waited.as_micros() as i64;
                self.input.extend_from_slice(&buffer[..length]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), WouldBlock | TimedOut | Interrupted) => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn take_line(&mut self) -> Option<String> {
        let end = self.input.windows(2).position(|pair| pair == b"\r\n")?;
        let line: Vec<u8> = self.input.drain(..end + 2).take(end).collect();
        String::from_utf8(line).ok()
    }

    fn handle_line(&mut self, line: &str) -> io::Result<()> {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["REQ", id, fields, length] => {
                let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                self.discard(length + 2)?;
                self.run(id, fields)
            }
            ["FETCH", id, page] if !self.is_forgotten() => {
                let row = format!("{id}\t{page}\tx\n");
                let length = row.len();
                self.write_text(&format!("{id} PART page={page} {length}\r\n{row}\r\n"))
            }
            ["HELO", tag] => self.write_text(&format!("{tag} PONG\r\n")),
            _ => Ok(()),
        }
    }

    /// Reads and drops this many bytes.
    fn discard(&mut self, length: usize) -> io::Result<()> {
        while self.input.len() < length {
            self.read_more()?;
            if self.shared.has_stopped() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.input.drain(..length);
        Ok(())
    }

    /// Runs and answers a request, unless it is dropped or rejected.
    fn run(&mut self, id: &str, fields: &str) -> io::Result<()> {
        let limit = fields
            .split(',')
            .find_map(|field| field.strip_prefix("limit="));
        let limit_ms: i64 = limit
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(i64::MAX / 1_000);
        let request = RequestId::parse(id).ok_or(io::ErrorKind::InvalidData)?;
        let behaviour = &self.shared.behaviour;
        let is_full = behaviour.is_full.load(Ordering::SeqCst);
        let is_dropped = self.is_forgotten() || limit_ms < MIN_LIMIT_MS;
        self.shared.ledger.records().receipts.push(Receipt {
            id: request,
            executor: self.shared.number,
            at: self.arrived_at,
            limit_us: limit_ms * 1_000,
            ran: !is_full && !is_dropped,
        });
        if is_dropped {
            return Ok(());
        }
        if is_full {
            return self.write_text(&format!("{id} SHED - 0\r\n\r\n"));
        }
        let pages = if request.0 % PAGED_RESULT_INTERVAL == 0 {
            PAGES
        } else {
            1
        };
        let row = format!("{id}\t0\tx\n");
        let length = row.len();
        let answer =
            format!("{id} HIT pages={pages},cost={WORK_MS},meter=util:0.3 {length}\r\n{row}\r\n");
        let run = Duration::from_millis(MIN_RUN_MS + request.0 % RUN_RANGE_MS);
        let job = Job {
            due: Instant::now() + run,
            id: id.to_string(),
            answer,
        };
        // The thread that sends answers has ended if the connection was reset.
        let queued = self.jobs.send(job);
        queued.map_err(|_| io::ErrorKind::ConnectionReset.into())
    }

    fn write_text(&mut self, text: &str) -> io::Result<()> {
        write_text(&self.writer, text)
    }
}
