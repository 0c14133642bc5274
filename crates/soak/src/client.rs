//! Clients of one controller. Each client sends one request at a time on a keep-alive connection
//! and records how it ends.

use crate::controller::ControllerState;
use crate::http::{self, Response};
use crate::ledger::{Ledger, RequestEnd, RequestId, RequestRecord};
use crate::settings::{Class, WORK_MS};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::io::{self, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The mean time between two requests of a client, in milliseconds.
const MEAN_PAUSE_MS: u64 = 150;
/// How long a client keeps waiting for an answer after its own timeout, in microseconds.
const ANSWER_WAIT_MARGIN_US: i64 = 6_000_000;
/// How often a request that races the close of its connection is sent again, at most.
const MAX_RESENDS: u32 = 3;
/// A request on a keep-alive connection that is lost within this time after it was sent counts as
/// having raced the close of the connection, in microseconds: 50 ms, plus the time that two threads
/// take to notice.
const CLOSE_RACE_US: i64 = 100_000;
/// Pause before a client tries again while its controller is unavailable.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeouts that clients choose from, in milliseconds.
const TIMEOUTS_MS: [i64; 4] = [60, 500, 1_500, 3_000];

/// Settings and state shared by the clients of one controller.
#[derive(Clone)]
pub struct ClientSetup {
    /// The number of the controller.
    pub controller: usize,
    /// The address of the proxy in front of it.
    pub address: SocketAddr,
    /// Whether clients may use the controller.
    pub state: Arc<ControllerState>,
    /// Where all events are recorded.
    pub ledger: Ledger,
    /// The number of the last request to this controller.
    pub last_request: Arc<AtomicU64>,
    /// The longest timeout of a client, in microseconds.
    pub max_timeout_us: i64,
    /// Set once no more requests are to be sent.
    pub has_stopped: Arc<AtomicBool>,
}

/// How a client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    /// Waits for the answer.
    Wait,
    /// Disconnects after this many milliseconds.
    Disconnect(u64),
    /// Sends the request in two parts, this many milliseconds apart.
    Split(u64),
    /// Sends a second request right after the first without waiting for its answer.
    Pipeline,
}

/// A client of one controller.
pub struct Client {
    setup: ClientSetup,
    rng: Pcg64Mcg,
    connection: Option<Connection>,
}

/// A client's connection to its controller.
struct Connection {
    reader: BufReader<TcpStream>,
    local: SocketAddr,
    /// Whether a request has been answered on it.
    is_reused: bool,
    /// A request that was pipelined after the one that is being answered.
    pipelined: Option<RequestId>,
    /// Whether the last response announced that the connection closes.
    is_closing: bool,
}

/// A request that was sent.
#[derive(Clone, Copy)]
struct SentRequest {
    id: RequestId,
    class: Class,
    began_at: i64,
    sent_at: i64,
    timeout_us: i64,
    is_pipelined: bool,
    is_first: bool,
    /// For how long the proxy had held up bytes of the connection before it was sent.
    held_up_before: Duration,
}

impl Client {
    /// Creates a client whose random numbers are drawn from `seed`.
    pub fn new(setup: ClientSetup, seed: u64) -> Client {
        Client {
            setup,
            rng: Pcg64Mcg::seed_from_u64(seed),
            connection: None,
        }
    }

    /// Sends requests until `has_stopped` is set.
    pub fn run(&mut self) {
        while !self.setup.has_stopped.load(Ordering::SeqCst) {
            let pause = self.rng.random_range(0..2 * MEAN_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            self.check_unsolicited();
            if !self.may_send() {
                self.connection = None;
                thread::sleep(UNAVAILABLE_PAUSE);
                continue;
            }
            let class = if self.rng.random_bool(0.3) {
                Class::Once
            } else {
                Class::Repeatable
            };
            let timeout_ms = TIMEOUTS_MS[self.rng.random_range(0..TIMEOUTS_MS.len())];
            let timeout_us = (timeout_ms * 1_000).min(self.setup.max_timeout_us);
            let mode = self.draw_mode();
            self.request(class, timeout_us, mode);
        }
    }

    /// Whether a request may be sent. On a keep-alive connection it may be for as long as the
    /// process runs.
    fn may_send(&self) -> bool {
        let state = &self.setup.state;
        let now = self.setup.ledger.now();
        let is_reused = self.connection.as_ref().is_some_and(|c| c.is_reused);
        state.accepts_first_requests(now) || (is_reused && state.is_up())
    }

    fn draw_mode(&mut self) -> SendMode {
        match self.rng.random_range(0..100) {
            0..4 => SendMode::Disconnect(self.rng.random_range(0..40)),
            4..8 => SendMode::Split(self.rng.random_range(1..300)),
            8..11 => SendMode::Pipeline,
            _ => SendMode::Wait,
        }
    }

    fn next_id(&self) -> RequestId {
        let n = self.setup.last_request.fetch_add(1, Ordering::SeqCst) + 1;
        RequestId::new(self.setup.controller, n)
    }

    /// Records bytes that arrived on an idle connection, where no request is outstanding.
    fn check_unsolicited(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let stream = connection.reader.get_ref();
        let mut byte = [0];
        let peeked = stream
            .set_nonblocking(true)
            .and_then(|()| stream.peek(&mut byte));
        let _ = stream.set_nonblocking(false);
        let has_buffered = !connection.reader.buffer().is_empty();
        if matches!(peeked, Ok(0)) && !has_buffered {
            // The connection was closed while it was idle.
            self.connection = None;
        } else if has_buffered || matches!(peeked, Ok(1)) {
            let at = self.setup.ledger.now();
            let last = self.setup.last_request.load(Ordering::SeqCst);
            let id = RequestId::new(self.setup.controller, last);
            self.setup
                .ledger
                .records()
                .unsolicited_answers
                .push((id, at));
            self.connection = None;
        }
    }

    /// Sends a request. One that races the close of a keep-alive connection is sent again on a new
    /// connection.
    fn request(&mut self, class: Class, timeout_us: i64, mode: SendMode) {
        let id = self.next_id();
        for resend in 0..=MAX_RESENDS {
            if self.connection.is_none() {
                self.connection = self.connect();
            }
            let Some(connection) = &mut self.connection else {
                return;
            };
            let was_reused = connection.is_reused;
            let held_up_before = self.setup.ledger.held_up_total(connection.local);
            let began_at = self.setup.ledger.now();
            let sent = connection.send(&self.setup.ledger, id, class, timeout_us, mode);
            let end = match (&sent, mode) {
                (Err(_), _) => RequestEnd::NotSent,
                (Ok(_), SendMode::Disconnect(after_ms)) => {
                    thread::sleep(Duration::from_millis(after_ms));
                    RequestEnd::Abandoned
                }
                (Ok(sent), _) => connection.read_answer(&self.setup.ledger, sent),
            };
            let now = self.setup.ledger.now();
            let sent = sent.unwrap_or(SentRequest {
                id,
                class,
                began_at,
                sent_at: now,
                timeout_us,
                is_pipelined: false,
                is_first: !was_reused,
                held_up_before,
            });
            let is_lost = matches!(end, RequestEnd::Lost | RequestEnd::NotSent);
            let raced_close = is_lost && was_reused && now - sent.sent_at < CLOSE_RACE_US;
            if raced_close && resend < MAX_RESENDS && self.setup.state.accepts_first_requests(now) {
                self.connection = None;
                continue;
            }
            let end = match raced_close && !self.setup.state.is_accepting(now) {
                true => RequestEnd::CrossedClose,
                false => end,
            };
            if mode == SendMode::Pipeline && matches!(end, RequestEnd::Answered(_)) {
                self.finish_pipelined(&sent);
            }
            return self.finish(&sent, end);
        }
    }

    /// Reads the answer to the pipelined request.
    fn finish_pipelined(&mut self, first: &SentRequest) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let Some(id) = connection.pipelined.take() else {
            return;
        };
        let sent = SentRequest {
            id,
            class: Class::Repeatable,
            is_pipelined: true,
            ..*first
        };
        let end = connection.read_answer(&self.setup.ledger, &sent);
        self.finish(&sent, end);
    }

    fn connect(&mut self) -> Option<Connection> {
        if !self.setup.state.is_accepting(self.setup.ledger.now()) {
            thread::sleep(UNAVAILABLE_PAUSE);
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.setup.address, CONNECT_TIMEOUT).ok()?;
        let local = stream.local_addr().ok()?;
        self.setup.ledger.forget_connection(local);
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            reader: BufReader::new(stream),
            local,
            is_reused: false,
            pipelined: None,
            is_closing: false,
        })
    }

    /// Records how a request ended, and drops the connection unless it can be reused.
    fn finish(&mut self, sent: &SentRequest, end: RequestEnd) {
        let ended_at = self.setup.ledger.now();
        let (ledger, connection) = (&self.setup.ledger, self.connection.as_ref());
        let is_broken_by_proxy = connection.is_some_and(|c| ledger.is_broken_by_proxy(c.local));
        let held_up = connection.map_or(Duration::ZERO, |c| {
            ledger
                .held_up_total(c.local)
                .saturating_sub(sent.held_up_before)
        });
        let is_broken = matches!(
            end,
            RequestEnd::Lost | RequestEnd::Unreadable | RequestEnd::Silent
        );
        let end = if is_broken_by_proxy && is_broken {
            RequestEnd::CutByProxy
        } else {
            end
        };
        let is_closing = self.connection.as_ref().is_some_and(|c| c.is_closing);
        if !matches!(end, RequestEnd::Answered(_)) || is_closing {
            self.connection = None;
        } else if let Some(connection) = &mut self.connection {
            connection.is_reused = true;
        }
        let record = RequestRecord {
            id: sent.id,
            class: sent.class,
            began_at: sent.began_at,
            sent_at: sent.sent_at,
            timeout_us: sent.timeout_us,
            end,
            ended_at,
            is_pipelined: sent.is_pipelined,
            is_first: sent.is_first,
            held_up_us: held_up.as_micros() as i64,
        };
        self.setup.ledger.records().requests.push(record);
    }
}

impl Drop for Connection {
    /// Shuts the connection down. Closing it is not enough: a process that is being started has a copy of the socket until it has
    /// executed its program, and the connection stays open until then.
    fn drop(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }
}

impl Connection {
    /// Sends a request.
    fn send(
        &mut self,
        ledger: &Ledger,
        id: RequestId,
        class: Class,
        timeout_us: i64,
        mode: SendMode,
    ) -> io::Result<SentRequest> {
        let request = http::query_request(id, class, timeout_us, WORK_MS);
        let held_up_before = ledger.held_up_total(self.local);
        let began_at = ledger.now();
        let mut stream = self.reader.get_ref();
        match mode {
            SendMode::Split(pause_ms) => {
                let (head, tail) = request.split_at(request.len() / 2);
                stream.write_all(head.as_bytes())?;
                thread::sleep(Duration::from_millis(pause_ms));
                stream.write_all(tail.as_bytes())?;
            }
            SendMode::Pipeline => {
                let pipelined_id = RequestId(id.0 | PIPELINED_BIT);
                let second =
                    http::query_request(pipelined_id, Class::Repeatable, timeout_us, WORK_MS);
                stream.write_all((request + &second).as_bytes())?;
                self.pipelined = Some(pipelined_id);
            }
            SendMode::Wait | SendMode::Disconnect(_) => stream.write_all(request.as_bytes())?,
        }
        Ok(SentRequest {
            id,
            class,
            began_at,
            sent_at: ledger.now(),
            timeout_us,
            is_pipelined: false,
            is_first: !self.is_reused,
            held_up_before,
        })
    }

    /// Waits for the answer to a request until some time after its timeout.
    fn read_answer(&mut self, ledger: &Ledger, sent: &SentRequest) -> RequestEnd {
        use io::ErrorKind::{InvalidData, TimedOut, UnexpectedEof, WouldBlock};
        let wait = sent.sent_at + sent.timeout_us + ANSWER_WAIT_MARGIN_US - ledger.now();
        let wait = Duration::from_micros(wait.max(1_000) as u64);
        if self.reader.get_ref().set_read_timeout(Some(wait)).is_err() {
            return RequestEnd::Lost;
        }
        match http::read_response(&mut self.reader) {
            Ok(Some(response)) if is_answer_to(&response, sent.id) => {
                self.is_closing = response.closes;
                RequestEnd::Answered(response.status)
            }
            Ok(Some(_)) => RequestEnd::Unreadable,
            Ok(None) => RequestEnd::Lost,
            Err(e) if matches!(e.kind(), WouldBlock | TimedOut) => RequestEnd::Silent,
            Err(e) if matches!(e.kind(), InvalidData | UnexpectedEof) => RequestEnd::Unreadable,
            Err(_) => RequestEnd::Lost,
        }
    }
}

/// Set in the id of a pipelined request.
const PIPELINED_BIT: u64 = 1 << 47;

/// Whether a response answers this request. The rows of a successful response hold the request's
/// id.
fn is_answer_to(response: &Response, id: RequestId) -> bool {
    response.status != 200 || response.body.contains(&id.to_string())
}
