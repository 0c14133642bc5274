//! Clients of one controller: each sends a request at a time on a kept connection, and notes what becomes of it.

use crate::controller::ControllerState;
use crate::http::{self, Response};
use crate::ledger::{Ledger, RequestEnd, RequestId, RequestRecord};
use crate::settings::{Class, WORK_MS};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The mean time between two requests of a client, in milliseconds.
const MEAN_PAUSE_MS: u64 = 150;
/// Time for which a client looks for an answer after its time, in microseconds.
const LOOK_BEYOND_US: i64 = 6_000_000;
/// A request that crosses the close of its connection is sent again, so many times at most.
const MOST_REPEATS: u32 = 3;
/// A request on a kept connection that ends this soon after it was sent has crossed its close, in microseconds: 50 ms, and what two
/// threads take to notice.
const CROSSING_US: i64 = 100_000;
/// Pause of a client that finds its controller away.
const AWAY_PAUSE: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeouts of clients, in milliseconds.
const TIMEOUTS_MS: [i64; 4] = [60, 500, 1_500, 3_000];

/// What the clients of a controller share.
#[derive(Clone)]
pub struct ClientSetup {
    /// The number of the controller.
    pub controller: usize,
    /// The proxy before it.
    pub address: SocketAddr,
    /// Whether it may be used.
    pub state: Arc<ControllerState>,
    /// Where everything is recorded.
    pub ledger: Ledger,
    /// Numbers of requests.
    pub last_request: Arc<AtomicU64>,
    /// The longest time that it waits, in microseconds.
    pub longest_timeout_us: i64,
    /// No more requests are sent.
    pub has_stopped: Arc<AtomicBool>,
}

/// How a client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// It waits for the answer.
    Waits,
    /// It leaves after so many milliseconds.
    Leaves(u64),
    /// It sends the request in two parts with a pause of so many milliseconds between them.
    Slowly(u64),
    /// It sends another one right behind it.
    Pipelines,
}

/// A client.
pub struct Client {
    setup: ClientSetup,
    rng: Pcg64Mcg,
    connection: Option<Connection>,
}

/// A connection of a client.
struct Connection {
    reader: BufReader<TcpStream>,
    local: SocketAddr,
    /// Whether a request was answered on it.
    is_kept: bool,
    /// A request that was sent right behind the one that is awaited.
    pipelined: Option<RequestId>,
    /// The last response said that the connection ends.
    is_closing: bool,
}

/// A request that was sent.
#[derive(Clone, Copy)]
struct Sent {
    id: RequestId,
    class: Class,
    began_at: i64,
    sent_at: i64,
    timeout_us: i64,
    is_pipelined: bool,
    is_first: bool,
}

impl Client {
    /// A client with its own random numbers.
    pub fn new(setup: ClientSetup, seed: u64) -> Client {
        Client {
            setup,
            rng: Pcg64Mcg::seed_from_u64(seed),
            connection: None,
        }
    }

    /// Sends requests until it is told to stop.
    pub fn run(&mut self) {
        while !self.setup.has_stopped.load(Ordering::SeqCst) {
            let pause = self.rng.random_range(0..2 * MEAN_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            self.check_surplus();
            if !self.may_send() {
                self.connection = None;
                thread::sleep(AWAY_PAUSE);
                continue;
            }
            let class = if self.rng.random_bool(0.3) {
                Class::Load
            } else {
                Class::Look
            };
            let timeout_ms = TIMEOUTS_MS[self.rng.random_range(0..TIMEOUTS_MS.len())];
            let timeout_us = (timeout_ms * 1_000).min(self.setup.longest_timeout_us);
            let manner = self.draw_manner();
            self.request(class, timeout_us, manner);
        }
    }

    /// Whether a request may be sent: on an open connection for as long as the process is there.
    fn may_send(&self) -> bool {
        let state = &self.setup.state;
        let now = self.setup.ledger.now();
        let is_kept = self.connection.as_ref().is_some_and(|c| c.is_kept);
        state.takes_first_requests(now) || (is_kept && state.is_up())
    }

    fn draw_manner(&mut self) -> Manner {
        match self.rng.random_range(0..100) {
            0..4 => Manner::Leaves(self.rng.random_range(0..40)),
            4..8 => Manner::Slowly(self.rng.random_range(1..300)),
            8..11 => Manner::Pipelines,
            _ => Manner::Waits,
        }
    }

    fn next_id(&self) -> RequestId {
        let n = self.setup.last_request.fetch_add(1, Ordering::SeqCst) + 1;
        RequestId::new(self.setup.controller, n)
    }

    /// Bytes that came on an idle connection answer nothing.
    fn check_surplus(&mut self) {
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
            // It was closed while it was idle.
            self.connection = None;
        } else if has_buffered || matches!(peeked, Ok(1)) {
            let at = self.setup.ledger.now();
            let last = self.setup.last_request.load(Ordering::SeqCst);
            let id = RequestId::new(self.setup.controller, last);
            self.setup.ledger.records().surplus_answers.push((id, at));
            self.connection = None;
        }
    }

    /// Sends a request, again on a new connection where it crosses the close of a kept one.
    fn request(&mut self, class: Class, timeout_us: i64, manner: Manner) {
        let id = self.next_id();
        for repeat in 0..=MOST_REPEATS {
            if self.connection.is_none() {
                self.connection = self.connect();
            }
            let Some(connection) = &mut self.connection else {
                return;
            };
            let was_kept = connection.is_kept;
            let began_at = self.setup.ledger.now();
            let sent = connection.send(&self.setup.ledger, id, class, timeout_us, manner);
            let end = match (&sent, manner) {
                (Err(_), _) => RequestEnd::NotSent,
                (Ok(_), Manner::Leaves(after_ms)) => {
                    thread::sleep(Duration::from_millis(after_ms));
                    RequestEnd::Abandoned
                }
                (Ok(sent), _) => connection.read_answer(&self.setup.ledger, sent),
            };
            let now = self.setup.ledger.now();
            let sent = sent.unwrap_or(Sent {
                id,
                class,
                began_at,
                sent_at: now,
                timeout_us,
                is_pipelined: false,
                is_first: !was_kept,
            });
            let is_lost = matches!(end, RequestEnd::Lost | RequestEnd::NotSent);
            let crossed = is_lost && was_kept && now - sent.sent_at < CROSSING_US;
            if crossed && repeat < MOST_REPEATS && self.setup.state.takes_first_requests(now) {
                self.connection = None;
                continue;
            }
            let end = match crossed && !self.setup.state.is_accepting(now) {
                true => RequestEnd::CrossedClose,
                false => end,
            };
            if manner == Manner::Pipelines && matches!(end, RequestEnd::Answered(_)) {
                self.request_behind(&sent);
            }
            return self.finish(&sent, end);
        }
    }

    /// Reads the answer to the request that was sent right behind another one.
    fn request_behind(&mut self, first: &Sent) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let Some(id) = connection.pipelined.take() else {
            return;
        };
        let sent = Sent {
            id,
            class: Class::Look,
            is_pipelined: true,
            ..*first
        };
        let end = connection.read_answer(&self.setup.ledger, &sent);
        self.finish(&sent, end);
    }

    fn connect(&mut self) -> Option<Connection> {
        if !self.setup.state.is_accepting(self.setup.ledger.now()) {
            thread::sleep(AWAY_PAUSE);
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.setup.address, CONNECT_TIMEOUT).ok()?;
        let local = stream.local_addr().ok()?;
        self.setup.ledger.forget_cut(local);
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            reader: BufReader::new(stream),
            local,
            is_kept: false,
            pipelined: None,
            is_closing: false,
        })
    }

    /// Records how a request ended, and drops the connection unless it can be kept.
    fn finish(&mut self, sent: &Sent, end: RequestEnd) {
        let ended_at = self.setup.ledger.now();
        let is_cut = self
            .connection
            .as_ref()
            .is_some_and(|connection| self.setup.ledger.is_cut(connection.local));
        let is_broken = matches!(
            end,
            RequestEnd::Lost | RequestEnd::Unreadable | RequestEnd::Silent
        );
        let end = if is_cut && is_broken {
            RequestEnd::CutByProxy
        } else {
            end
        };
        let is_closing = self.connection.as_ref().is_some_and(|c| c.is_closing);
        if !matches!(end, RequestEnd::Answered(_)) || is_closing {
            self.connection = None;
        } else if let Some(connection) = &mut self.connection {
            connection.is_kept = true;
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
        };
        self.setup.ledger.records().requests.push(record);
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
        manner: Manner,
    ) -> io::Result<Sent> {
        let request = http::query_request(id, class, timeout_us, WORK_MS);
        let began_at = ledger.now();
        let mut stream = self.reader.get_ref();
        match manner {
            Manner::Slowly(pause_ms) => {
                let (head, tail) = request.split_at(request.len() / 2);
                stream.write_all(head.as_bytes())?;
                thread::sleep(Duration::from_millis(pause_ms));
                stream.write_all(tail.as_bytes())?;
            }
            Manner::Pipelines => {
                let behind = RequestId(id.0 | PIPELINED_BIT);
                let second = http::query_request(behind, Class::Look, timeout_us, WORK_MS);
                stream.write_all((request + &second).as_bytes())?;
                self.pipelined = Some(behind);
            }
            Manner::Waits | Manner::Leaves(_) => stream.write_all(request.as_bytes())?,
        }
        Ok(Sent {
            id,
            class,
            began_at,
            sent_at: ledger.now(),
            timeout_us,
            is_pipelined: false,
            is_first: !self.is_kept,
        })
    }

    /// Waits for the answer to a request, for some time beyond its own.
    fn read_answer(&mut self, ledger: &Ledger, sent: &Sent) -> RequestEnd {
        use io::ErrorKind::{InvalidData, TimedOut, UnexpectedEof, WouldBlock};
        let left = sent.sent_at + sent.timeout_us + LOOK_BEYOND_US - ledger.now();
        let left = Duration::from_micros(left.max(1_000) as u64);
        if self.reader.get_ref().set_read_timeout(Some(left)).is_err() {
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

/// Set in the id of a request that is sent right behind another one.
const PIPELINED_BIT: u64 = 1 << 47;

/// Whether a response is one to this request: served ones hold its rows.
fn is_answer_to(response: &Response, id: RequestId) -> bool {
    response.status != 200 || response.body.contains(&id.to_string())
}
