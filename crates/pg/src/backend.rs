//! A session with an engine: it streams the answer of one unit at a time through, and never holds a whole one.
//!
//! What comes before the first row is held back, so that an engine that dies until then costs the client nothing.
//! From the first row on bytes go through as they come, a row in parts if it is long. An answer that nobody wants
//! any more is read and dropped, and the session is used again only once it is clean.

use crate::backend_messages::{self, Diagnostic};
use crate::frame::{self, Header, ProtocolError};
use crate::frontend_messages;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;

/// SQLSTATE of a query that ended as it was asked to.
pub const QUERY_CANCELED: &str = "57014";
/// Bytes of an answer held back before its first row goes out.
const HELD: usize = 16 << 10;
/// Longest message, but for rows, that an engine may send.
const LONGEST: usize = 1 << 20;
/// Messages of an engine's startup, at most.
const MOST_AT_STARTUP: u32 = 200;

/// What an engine says of its load. Each figure may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its cores busy.
    pub util: Option<f64>,
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of its memory granted.
    pub memory: Option<f64>,
    /// Share of its disks busy.
    pub disks: Option<f64>,
}

/// Word on the query that runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryStatus {
    /// Share of it done.
    Progress(f64),
    /// It spills, for want of so many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It stands still behind a load.
    WaitsForLoad,
}

/// What came of reading.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// More bytes are needed, or more room for them.
    Pending,
    /// The session is ready for its first unit.
    Started,
    /// The engine does not let us in.
    StartupFailed {
        /// Its SQLSTATE.
        sqlstate: String,
        /// Its words.
        message: String,
    },
    /// The answer's first row is here. Call [`Backend::start_response`] or [`Backend::discard`], and read on.
    ResponseStarted,
    /// Word on the query that runs.
    QueryStatus(QueryStatus),
    /// The unit is over and was served, if with an error of SQL. What was held back is to be released.
    Completed {
        /// An error of the query's own was part of the answer.
        has_query_error: bool,
        /// The session may be used again.
        reusable: bool,
    },
    /// The engine's own trouble ended the unit.
    EngineError {
        /// Its SQLSTATE.
        sqlstate: String,
        /// Its words.
        message: String,
        /// The session may be used again.
        reusable: bool,
    },
    /// A unit that nobody wants any more is over.
    Discarded {
        /// The session may be used again.
        reusable: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting(u32),
    Idle,
    /// Settings that precede the unit are answered first.
    Prelude,
    Busy,
    Closed,
}

/// The state of one session with an engine.
#[derive(Debug)]
pub struct Backend {
    phase: Phase,
    key: Option<(i32, Bytes)>,
    swallow: VecDeque<bool>,
    held: BytesMut,
    /// The end of a statement, kept back until it is known that the unit goes on or is over: an engine lost between leaves
    /// its client with an error, and not with an end and an error.
    tail: Bytes,
    begun: bool,
    /// The first row is in, and the host is to be asked.
    asks: bool,
    dropped: bool,
    cancelled: bool,
    errored: bool,
    trouble: Option<(String, String)>,
    /// Bytes of a long row still to come, to be passed on or dropped.
    passing: usize,
    sealed: bool,
    load: Load,
    work_ms: Option<f64>,
}

/// SQLSTATEs that tell of the engine, not of the query.
fn of_the_engine(state: &str) -> bool {
    ["53", "57P", "58", "XX"].iter().any(|class| state.starts_with(class))
}

impl Backend {
    /// A session about to start; the startup packet is appended to `out`.
    pub fn start(user: &str, database: &str, application: &str, out: &mut BytesMut) -> Backend {
        frontend_messages::put_startup(
            &[("user", user), ("database", database), ("application_name", application)],
            out,
        );
        Backend {
            phase: Phase::Starting(0),
            key: None,
            swallow: VecDeque::new(),
            held: BytesMut::new(),
            tail: Bytes::new(),
            begun: false,
            asks: false,
            dropped: false,
            cancelled: false,
            errored: false,
            trouble: None,
            passing: 0,
            sealed: true,
            load: Load::default(),
            work_ms: None,
        }
    }

    /// Ready for a unit.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Not yet past its startup.
    pub fn is_starting(&self) -> bool {
        matches!(self.phase, Phase::Starting(_))
    }

    /// What a request to cancel must name.
    pub fn key(&self) -> Option<&(i32, Bytes)> {
        self.key.as_ref()
    }

    /// The load as last told.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Work of the unit that just ended, in milliseconds of one thread, where told.
    pub fn work_ms(&self) -> Option<f64> {
        self.work_ms
    }

    /// The unit's answer has begun to go to the client.
    pub fn response_started(&self) -> bool {
        self.begun
    }

    /// Starts a unit on an idle session; `settings`, if any, are set before it. `swallow` is as in
    /// [`crate::client::Unit::suppress_acks`].
    pub fn run(
        &mut self,
        settings: Option<&str>,
        frames: &[u8],
        swallow: &[bool],
        open: bool,
        out: &mut BytesMut,
    ) {
        debug_assert!(self.is_idle());
        self.phase = Phase::Busy;
        if let Some(settings) = settings {
            frontend_messages::put_query(settings, out);
            self.phase = Phase::Prelude;
        }
        out.extend_from_slice(frames);
        self.swallow.clear();
        self.swallow.extend(swallow);
        (self.begun, self.asks, self.dropped, self.errored) = (false, false, false, false);
        (self.trouble, self.work_ms, self.cancelled) = (None, None, false);
        self.sealed = !open;
        self.held.clear();
        self.tail = Bytes::new();
    }

    /// More of an open unit.
    pub fn append(&mut self, frames: &[u8], swallow: &[bool], sealed: bool, out: &mut BytesMut) {
        out.extend_from_slice(frames);
        self.swallow.extend(swallow);
        self.sealed |= sealed;
    }

    /// The answer may go to the client: what was held back goes first.
    pub fn start_response(&mut self, sink: &mut BytesMut) {
        self.asks = false;
        self.begun = true;
        sink.extend_from_slice(&self.held);
        self.held = BytesMut::new();
    }

    /// Nobody wants the answer any more. A unit still open is sealed, so that the session comes clean.
    pub fn discard(&mut self, out: &mut BytesMut) {
        self.asks = false;
        self.dropped = true;
        self.held = BytesMut::new();
        self.tail = Bytes::new();
        if !std::mem::replace(&mut self.sealed, true) {
            backend_messages::put_empty_message(b'S', out);
        }
    }

    /// A request to end the unit was sent: if the engine says that it did, that is no error of the query.
    pub fn mark_cancelled(&mut self) {
        self.cancelled = true;
    }

    /// Takes what it can off `input`; what is for the client is appended to `sink`, up to `room` bytes of it at a
    /// time. Stops at the first thing that the host must know.
    ///
    /// # Errors
    /// [`ProtocolError`] for what is not of the protocol; the session is of no more use.
    pub fn feed(
        &mut self,
        input: &mut BytesMut,
        sink: &mut BytesMut,
        room: usize,
    ) -> Result<BackendEvent, ProtocolError> {
        self.read(input, sink, room).inspect_err(|_| self.phase = Phase::Closed)
    }

    fn read(
        &mut self,
        input: &mut BytesMut,
        sink: &mut BytesMut,
        room: usize,
    ) -> Result<BackendEvent, ProtocolError> {
        loop {
            if self.phase == Phase::Closed {
                return Ok(BackendEvent::Pending);
            }
            if self.begun && sink.len() >= room && !self.dropped {
                return Ok(BackendEvent::Pending);
            }
            if self.passing > 0 {
                let n = self.passing.min(input.len());
                if n == 0 {
                    return Ok(BackendEvent::Pending);
                }
                let part = input.split_to(n);
                self.passing -= n;
                if !self.dropped {
                    sink.extend_from_slice(&part);
                }
                continue;
            }
            let Some(Header { tag, whole }) = frame::parse_header(input)? else { return Ok(self.dry()) };
            if tag == b'D' && self.phase == Phase::Busy {
                if let Some(heard) = self.row(whole, input, sink) {
                    return Ok(heard);
                }
                continue;
            }
            if whole > LONGEST {
                return Err(ProtocolError::MessageTooLong {
                    tag: frame::printable_tag(tag),
                    length: whole,
                    limit: LONGEST,
                });
            }
            if input.len() < whole {
                return Ok(self.dry());
            }
            let message = input.split_to(whole).freeze();
            if let Some(heard) = self.message(tag, message, sink)? {
                return Ok(heard);
            }
        }
    }

    /// Nothing whole is left to read: a row that waits in the held part is told.
    fn dry(&mut self) -> BackendEvent {
        if self.asks {
            BackendEvent::ResponseStarted
        } else {
            BackendEvent::Pending
        }
    }

    /// Takes a row, or its part that is there.
    fn row(&mut self, whole: usize, input: &mut BytesMut, sink: &mut BytesMut) -> Option<BackendEvent> {
        let there = whole.min(input.len());
        self.release(sink);
        if self.dropped {
            input.advance(there);
            self.passing = whole - there;
        } else if self.begun && there < whole && whole <= HELD {
            // A short row goes whole, so that an engine lost in its middle leaves the client a place for the error.
            return Some(BackendEvent::Pending);
        } else if self.begun {
            sink.extend_from_slice(&input[..there]);
            input.advance(there);
            self.passing = whole - there;
        } else if self.held.len() + whole <= HELD {
            // Short answers are often whole in one read: then the client's answer and its end are one.
            self.asks = true;
            if there < whole {
                return Some(BackendEvent::ResponseStarted);
            }
            self.held.extend_from_slice(&input[..whole]);
            input.advance(whole);
        } else {
            return Some(BackendEvent::ResponseStarted);
        }
        None
    }

    /// The unit goes on behind the end of a statement.
    fn release(&mut self, sink: &mut BytesMut) {
        if !self.tail.is_empty() {
            let tail = std::mem::take(&mut self.tail);
            if self.begun { sink } else { &mut self.held }.extend_from_slice(&tail);
        }
    }

    fn forward(&mut self, message: &Bytes, sink: &mut BytesMut) -> Result<(), ProtocolError> {
        if self.dropped {
            return Ok(());
        }
        self.release(sink);
        if self.begun {
            sink.extend_from_slice(message);
            return Ok(());
        }
        self.held.extend_from_slice(message);
        // Descriptions and notices without end would grow what is held.
        if self.held.len() > LONGEST {
            return Err(ProtocolError::Unexpected("over a megabyte before the first row"));
        }
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn message(
        &mut self,
        tag: u8,
        message: Bytes,
        sink: &mut BytesMut,
    ) -> Result<Option<BackendEvent>, ProtocolError> {
        match (tag, self.phase) {
            (b'S', _) => return Ok(self.told(&message)?.map(BackendEvent::QueryStatus)),
            (b'A', _) => {}
            (b'N', Phase::Busy) => self.forward(&message, sink)?,
            (b'N', _) => {}
            (b'E', Phase::Starting(_)) => {
                let (sqlstate, message) = backend_messages::parse_sqlstate_and_message(&message)?;
                self.phase = Phase::Closed;
                return Ok(Some(BackendEvent::StartupFailed { sqlstate, message }));
            }
            (_, Phase::Starting(n)) => {
                if n >= MOST_AT_STARTUP {
                    return Err(ProtocolError::Unexpected("a startup without end"));
                }
                self.phase = Phase::Starting(n + 1);
                match tag {
                    b'R' if message.len() >= 9 && message[5..9] == [0, 0, 0, 0] => {}
                    b'R' => return Err(ProtocolError::Unexpected("the engine asks for a password")),
                    b'K' => self.key = Some(backend_messages::parse_backend_key_data(&message)?),
                    b'v' => {}
                    b'Z' => {
                        self.phase = Phase::Idle;
                        return Ok(Some(BackendEvent::Started));
                    }
                    _ => return Err(ProtocolError::UnknownMessageType(frame::printable_tag(tag))),
                }
            }
            (b'Z', Phase::Prelude) => self.phase = Phase::Busy,
            (b'C' | b'I', Phase::Prelude) => {}
            (b'E', Phase::Prelude) => {
                self.trouble = Some(backend_messages::parse_sqlstate_and_message(&message)?)
            }
            (b'1' | b'2', Phase::Busy) => {
                if !self.swallow.pop_front().unwrap_or(false) {
                    self.forward(&message, sink)?;
                }
            }
            (b'3' | b't' | b'T' | b'n', Phase::Busy) => self.forward(&message, sink)?,
            (b'C' | b'I' | b's', Phase::Busy) if self.sealed && !self.dropped => {
                self.release(sink);
                self.tail = message;
            }
            // Of a batch that is open its client waits for each end.
            (b'C' | b'I' | b's', Phase::Busy) => {
                self.forward(&message, sink)?;
                self.asks |= !self.begun && !self.dropped;
            }
            (b'E', Phase::Busy) => {
                self.swallow.clear();
                let (state, text) = backend_messages::parse_sqlstate_and_message(&message)?;
                if of_the_engine(&state) || (self.cancelled && state == QUERY_CANCELED) {
                    self.trouble = Some((state, text));
                } else {
                    self.errored = true;
                    self.forward(&message, sink)?;
                }
            }
            (b'Z', Phase::Busy) => {
                if self.trouble.is_none() {
                    self.release(sink);
                }
                return Ok(Some(self.over(message.get(5) == Some(&b'I'))));
            }
            (b'E', Phase::Idle) => {
                let (sqlstate, message) = backend_messages::parse_sqlstate_and_message(&message)?;
                self.phase = Phase::Closed;
                return Ok(Some(BackendEvent::EngineError { sqlstate, message, reusable: false }));
            }
            _ => return Err(ProtocolError::UnknownMessageType(frame::printable_tag(tag))),
        }
        // A trouble of the engine that ends the connection brings no end of the unit.
        Ok(None)
    }

    fn over(&mut self, idle: bool) -> BackendEvent {
        let reusable = idle && self.sealed;
        self.phase = if reusable { Phase::Idle } else { Phase::Closed };
        self.asks = false;
        self.swallow.clear();
        if self.dropped {
            self.dropped = false;
            return BackendEvent::Discarded { reusable };
        }
        match self.trouble.take() {
            Some((sqlstate, message)) => BackendEvent::EngineError { sqlstate, message, reusable },
            None => BackendEvent::Completed { has_query_error: self.errored, reusable },
        }
    }

    /// A long row has gone to the client in part: nothing else can be told it before the rest.
    pub fn is_mid_row(&self) -> bool {
        self.passing > 0 && !self.dropped
    }

    /// A trouble that the engine told before it closed the connection.
    pub fn take_engine_error(&mut self) -> Option<(String, String)> {
        self.trouble.take()
    }

    /// The engine tells its load, the work done, or how the query goes on.
    fn told(&mut self, message: &[u8]) -> Result<Option<QueryStatus>, ProtocolError> {
        let (name, value) = backend_messages::parse_parameter_status(message)?;
        let Some(name) = name.strip_prefix("wheelfield.") else { return Ok(None) };
        let number = value.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        match name {
            "util" => self.load.util = number,
            "in_flight" => self.load.in_flight = number,
            "queue" => self.load.queue = number,
            "memory" => self.load.memory = number,
            "disks" => self.load.disks = number,
            "work_ms" => self.work_ms = number,
            _ if self.phase != Phase::Busy || self.dropped => {}
            "progress" => return Ok(number.map(QueryStatus::Progress)),
            "spills" => return Ok(number.map(QueryStatus::Spills)),
            "waits" if value == "memory" => return Ok(Some(QueryStatus::WaitsForMemory)),
            "waits" if value == "load" => return Ok(Some(QueryStatus::WaitsForLoad)),
            _ => {}
        }
        Ok(None)
    }
}

/// What a client is told of an engine's trouble that broke its answer.
pub fn interrupted_response(detail: &str) -> Diagnostic {
    Diagnostic::error("08007", "the answer broke off: the engine was lost").detail(detail)
}
