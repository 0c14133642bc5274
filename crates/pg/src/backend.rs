//! A session with an engine. It streams the response to one unit at a time to the client, and never buffers a whole
//! response.
//!
//! The messages before the first row are held back: if the engine fails until then, the client has seen nothing of
//! this attempt. From the first row on, bytes are forwarded as they arrive, a long row in parts. A response that is no
//! longer wanted is read and discarded, and the session is reused only if the engine then reports that it is idle.

use crate::backend_messages::{self, Diagnostic};
use crate::frame::{self, Header, ProtocolError};
use crate::frontend_messages;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;

/// The SQLSTATE `query_canceled`, with which an engine reports that it has ended a query on request.
pub const QUERY_CANCELED: &str = "57014";
/// Maximum number of bytes of a response that are held back until [`Backend::start_response`]. A row up to this length
/// is forwarded in one piece.
const MAX_HELD_BYTES: usize = 16 << 10;
/// Maximum length of a message from an engine in bytes, except for rows.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of messages that an engine may send during the startup.
const MAX_STARTUP_MESSAGES: u32 = 200;

/// The load that an engine reports. Each value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The fraction of its cores that are busy.
    pub util: Option<f64>,
    /// The number of queries that it has accepted and not finished.
    pub in_flight: Option<f64>,
    /// The number of queries that wait for memory.
    pub queue: Option<f64>,
    /// The fraction of its memory that is granted to queries.
    pub memory: Option<f64>,
    /// The utilisation of its disks, as a fraction.
    pub disks: Option<f64>,
}

/// A status that an engine reports on the running query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryStatus {
    /// The fraction of the query that is done.
    Progress(f64),
    /// The query spills to disk because it lacks this much memory, in MB.
    Spills(f64),
    /// The query waits for memory.
    WaitsForMemory,
    /// The query waits for a data load to finish.
    WaitsForLoad,
}

/// The result of [`Backend::feed`].
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// More input is needed, or the sink is full.
    Pending,
    /// The session is ready for its first unit.
    Started,
    /// The engine refused the session.
    StartupFailed {
        /// The SQLSTATE that the engine sent.
        sqlstate: String,
        /// The message that the engine sent.
        message: String,
    },
    /// The first part of the response that must go to the client has arrived: a row or, in an open unit, the end of a
    /// statement. Call [`Backend::start_response`] or [`Backend::discard`], then `feed` again.
    ResponseStarted,
    /// The engine reported a status of the running query.
    QueryStatus(QueryStatus),
    /// The unit is over and has a response, which may be an error of the query. If the response has not been started,
    /// call [`Backend::start_response`] to get the messages that were held back.
    Completed {
        /// Whether the response contains an error that the query itself caused.
        has_query_error: bool,
        /// Whether the session can be reused.
        reusable: bool,
    },
    /// The unit failed because of the engine, or was cancelled on request.
    EngineError {
        /// The SQLSTATE that the engine sent.
        sqlstate: String,
        /// The message that the engine sent.
        message: String,
        /// Whether the session can be reused.
        reusable: bool,
    },
    /// A discarded unit is over.
    Discarded {
        /// Whether the session can be reused.
        reusable: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The startup is not complete. Holds the number of messages received.
    Starting(u32),
    Idle,
    /// The response to the settings that precede the unit is awaited.
    ApplyingSettings,
    Running,
    Closed,
}

/// The state of one session with an engine.
#[derive(Debug)]
pub struct Backend {
    phase: Phase,
    /// The process ID and the cancel key.
    key: Option<(i32, Bytes)>,
    /// For each expected `ParseComplete` or `BindComplete` in turn, whether it is not forwarded.
    suppress_acks: VecDeque<bool>,
    /// The messages received before [`Backend::start_response`].
    held_back: BytesMut,
    /// The completion of a statement (`CommandComplete` or the like), withheld until the next message shows that the
    /// unit continues or is over. If the engine is lost in between, the client gets only an error, and not a completion
    /// followed by an error.
    withheld_completion: Bytes,
    response_started: bool,
    /// The first part of the response has arrived, and the caller has to call `start_response` or `discard`.
    awaits_start: bool,
    /// The response is not forwarded, because it is no longer wanted.
    discarding: bool,
    /// A cancel request was sent for the unit.
    cancelled: bool,
    has_query_error: bool,
    /// The SQLSTATE and the message of an error that is a fault of the engine, or the result of a cancel request.
    engine_error: Option<(String, String)>,
    /// The number of bytes of a partly received row that have not arrived yet.
    row_bytes_left: usize,
    /// The whole unit has been sent. False while an open unit can be continued with [`Backend::append`].
    all_sent: bool,
    load: Load,
    work_ms: Option<f64>,
}

/// Whether an SQLSTATE reports a fault of the engine and not of the query: insufficient resources (53), operator
/// intervention (57P), system error (58) or internal error (XX).
fn is_engine_fault(sqlstate: &str) -> bool {
    ["53", "57P", "58", "XX"].iter().any(|class| sqlstate.starts_with(class))
}

impl Backend {
    /// Starts a session: appends the startup packet to `out`.
    pub fn start(user: &str, database: &str, application: &str, out: &mut BytesMut) -> Backend {
        frontend_messages::put_startup(
            &[("user", user), ("database", database), ("application_name", application)],
            out,
        );
        Backend {
            phase: Phase::Starting(0),
            key: None,
            suppress_acks: VecDeque::new(),
            held_back: BytesMut::new(),
            withheld_completion: Bytes::new(),
            response_started: false,
            awaits_start: false,
            discarding: false,
            cancelled: false,
            has_query_error: false,
            engine_error: None,
            row_bytes_left: 0,
            all_sent: true,
            load: Load::default(),
            work_ms: None,
        }
    }

    /// Whether the session is ready for a unit.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether the startup is not complete.
    pub fn is_starting(&self) -> bool {
        matches!(self.phase, Phase::Starting(_))
    }

    /// The process ID and the key that a cancel request must contain.
    pub fn key(&self) -> Option<&(i32, Bytes)> {
        self.key.as_ref()
    }

    /// The load that the engine reported last.
    pub fn load(&self) -> Load {
        self.load
    }

    /// The work of the unit that ended last in milliseconds of one thread, if the engine reported it.
    pub fn work_ms(&self) -> Option<f64> {
        self.work_ms
    }

    /// Whether [`Backend::start_response`] was called for the current unit.
    pub fn response_started(&self) -> bool {
        self.response_started
    }

    /// Starts a unit on an idle session. `settings` is a text of SET statements that is sent before the unit; its
    /// response is not forwarded. `open` tells whether more of the unit follows. `suppress_acks` is as in
    /// [`crate::client::Unit::suppress_acks`].
    pub fn run(
        &mut self,
        settings: Option<&str>,
        frames: &[u8],
        suppress_acks: &[bool],
        open: bool,
        out: &mut BytesMut,
    ) {
        debug_assert!(self.is_idle());
        self.phase = Phase::Running;
        if let Some(settings) = settings {
            frontend_messages::put_query(settings, out);
            self.phase = Phase::ApplyingSettings;
        }
        out.extend_from_slice(frames);
        self.suppress_acks.clear();
        self.suppress_acks.extend(suppress_acks);
        (self.response_started, self.awaits_start, self.discarding, self.has_query_error) =
            (false, false, false, false);
        (self.engine_error, self.work_ms, self.cancelled) = (None, None, false);
        self.all_sent = !open;
        self.held_back.clear();
        self.withheld_completion = Bytes::new();
    }

    /// Takes back the unit started last, of which nothing was sent. The session is idle again.
    pub fn withdraw(&mut self) {
        debug_assert!(matches!(self.phase, Phase::Running | Phase::ApplyingSettings));
        self.phase = Phase::Idle;
        self.suppress_acks.clear();
        self.all_sent = true;
    }

    /// Sends more of an open unit. `is_last` tells whether the unit is complete with it.
    pub fn append(&mut self, frames: &[u8], suppress_acks: &[bool], is_last: bool, out: &mut BytesMut) {
        out.extend_from_slice(frames);
        self.suppress_acks.extend(suppress_acks);
        self.all_sent |= is_last;
    }

    /// Starts to forward the response to the client: the messages that were held back are appended to `sink`, and the
    /// following ones by [`Backend::feed`].
    pub fn start_response(&mut self, sink: &mut BytesMut) {
        self.awaits_start = false;
        self.response_started = true;
        sink.extend_from_slice(&self.held_back);
        self.held_back = BytesMut::new();
    }

    /// Discards the response, which is no longer wanted. An open unit is ended with a Sync, so that the session becomes
    /// idle.
    pub fn discard(&mut self, out: &mut BytesMut) {
        self.awaits_start = false;
        self.discarding = true;
        self.held_back = BytesMut::new();
        self.withheld_completion = Bytes::new();
        if !std::mem::replace(&mut self.all_sent, true) {
            backend_messages::put_empty_message(b'S', out);
        }
    }

    /// Records that a cancel request was sent for the unit: an error with [`QUERY_CANCELED`] is then the result of that
    /// request, and not an error of the query.
    pub fn mark_cancelled(&mut self) {
        self.cancelled = true;
    }

    /// Processes as much of `input` as possible, and appends what is for the client to `sink`. Returns at the first
    /// event for the caller. Once the response has started it also returns when `sink` holds `sink_limit` bytes.
    ///
    /// # Errors
    /// [`ProtocolError`] if the engine violates the protocol. The session is then closed.
    pub fn feed(
        &mut self,
        input: &mut BytesMut,
        sink: &mut BytesMut,
        sink_limit: usize,
    ) -> Result<BackendEvent, ProtocolError> {
        self.process_input(input, sink, sink_limit).inspect_err(|_| self.phase = Phase::Closed)
    }

    fn process_input(
        &mut self,
        input: &mut BytesMut,
        sink: &mut BytesMut,
        sink_limit: usize,
    ) -> Result<BackendEvent, ProtocolError> {
        loop {
            if self.phase == Phase::Closed {
                return Ok(BackendEvent::Pending);
            }
            if self.response_started && sink.len() >= sink_limit && !self.discarding {
                return Ok(BackendEvent::Pending);
            }
            if self.row_bytes_left > 0 {
                let n = self.row_bytes_left.min(input.len());
                if n == 0 {
                    return Ok(BackendEvent::Pending);
                }
                let part = input.split_to(n);
                self.row_bytes_left -= n;
                if !self.discarding {
                    sink.extend_from_slice(&part);
                }
                continue;
            }
            let Some(Header { tag, message_len }) = frame::parse_header(input)? else {
                return Ok(self.pending_event());
            };
            if tag == b'D' && self.phase == Phase::Running {
                if let Some(event) = self.handle_row(message_len, input, sink) {
                    return Ok(event);
                }
                continue;
            }
            if message_len > MAX_MESSAGE_BYTES {
                return Err(ProtocolError::MessageTooLong {
                    tag: frame::printable_tag(tag),
                    length: message_len,
                    limit: MAX_MESSAGE_BYTES,
                });
            }
            if input.len() < message_len {
                return Ok(self.pending_event());
            }
            let message = input.split_to(message_len).freeze();
            if let Some(event) = self.handle_message(tag, message, sink)? {
                return Ok(event);
            }
        }
    }

    /// The event to return if `input` holds no complete message: [`BackendEvent::ResponseStarted`] if the response
    /// waits to be started.
    fn pending_event(&mut self) -> BackendEvent {
        if self.awaits_start {
            BackendEvent::ResponseStarted
        } else {
            BackendEvent::Pending
        }
    }

    /// Processes a row, or the part of it that has arrived.
    fn handle_row(
        &mut self,
        message_len: usize,
        input: &mut BytesMut,
        sink: &mut BytesMut,
    ) -> Option<BackendEvent> {
        let available = message_len.min(input.len());
        self.release_completion(sink);
        if self.discarding {
            input.advance(available);
            self.row_bytes_left = message_len - available;
        } else if self.response_started && available < message_len && message_len <= MAX_HELD_BYTES {
            // A short row is forwarded only as a whole. If the engine is lost in the middle of the row, the error can
            // still be sent to the client, which is not possible after part of a row.
            return Some(BackendEvent::Pending);
        } else if self.response_started {
            sink.extend_from_slice(&input[..available]);
            input.advance(available);
            self.row_bytes_left = message_len - available;
        } else if self.held_back.len() + message_len <= MAX_HELD_BYTES {
            // A short response often arrives in one read. Then no `ResponseStarted` is needed, only `Completed`.
            self.awaits_start = true;
            if available < message_len {
                return Some(BackendEvent::ResponseStarted);
            }
            self.held_back.extend_from_slice(&input[..message_len]);
            input.advance(message_len);
        } else {
            return Some(BackendEvent::ResponseStarted);
        }
        None
    }

    /// Forwards the withheld completion of a statement, because another message of the unit follows.
    fn release_completion(&mut self, sink: &mut BytesMut) {
        if !self.withheld_completion.is_empty() {
            let completion = std::mem::take(&mut self.withheld_completion);
            if self.response_started { sink } else { &mut self.held_back }.extend_from_slice(&completion);
        }
    }

    /// Forwards a message to the client, or holds it back until the response has started.
    fn forward(&mut self, message: &Bytes, sink: &mut BytesMut) -> Result<(), ProtocolError> {
        if self.discarding {
            return Ok(());
        }
        self.release_completion(sink);
        if self.response_started {
            sink.extend_from_slice(message);
            return Ok(());
        }
        self.held_back.extend_from_slice(message);
        // Bounds the buffer: an engine could send any number of descriptions and notices before the first row.
        if self.held_back.len() > MAX_MESSAGE_BYTES {
            return Err(ProtocolError::Unexpected("more than 1 MiB of messages before the first row"));
        }
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn handle_message(
        &mut self,
        tag: u8,
        message: Bytes,
        sink: &mut BytesMut,
    ) -> Result<Option<BackendEvent>, ProtocolError> {
        match (tag, self.phase) {
            (b'S', _) => return Ok(self.handle_parameter_status(&message)?.map(BackendEvent::QueryStatus)),
            (b'A', _) => {}
            (b'N', Phase::Running) => self.forward(&message, sink)?,
            (b'N', _) => {}
            (b'E', Phase::Starting(_)) => {
                let (sqlstate, message) = backend_messages::parse_sqlstate_and_message(&message)?;
                self.phase = Phase::Closed;
                return Ok(Some(BackendEvent::StartupFailed { sqlstate, message }));
            }
            (_, Phase::Starting(n)) => {
                if n >= MAX_STARTUP_MESSAGES {
                    return Err(ProtocolError::Unexpected("too many messages during the startup"));
                }
                self.phase = Phase::Starting(n + 1);
                match tag {
                    b'R' if message.len() >= 9 && message[5..9] == [0, 0, 0, 0] => {}
                    b'R' => {
                        return Err(ProtocolError::Unexpected(
                            "the engine requires authentication, which is not supported",
                        ))
                    }
                    b'K' => self.key = Some(backend_messages::parse_backend_key_data(&message)?),
                    b'v' => {}
                    b'Z' => {
                        self.phase = Phase::Idle;
                        return Ok(Some(BackendEvent::Started));
                    }
                    _ => return Err(ProtocolError::UnknownMessageType(frame::printable_tag(tag))),
                }
            }
            (b'Z', Phase::ApplyingSettings) => self.phase = Phase::Running,
            (b'C' | b'I', Phase::ApplyingSettings) => {}
            (b'E', Phase::ApplyingSettings) => {
                self.engine_error = Some(backend_messages::parse_sqlstate_and_message(&message)?)
            }
            (b'1' | b'2', Phase::Running) => {
                if !self.suppress_acks.pop_front().unwrap_or(false) {
                    self.forward(&message, sink)?;
                }
            }
            (b'3' | b't' | b'T' | b'n', Phase::Running) => self.forward(&message, sink)?,
            (b'C' | b'I' | b's', Phase::Running) if self.all_sent && !self.discarding => {
                self.release_completion(sink);
                self.withheld_completion = message;
            }
            // The client of an open batch waits for the completion of each statement, so it is not withheld.
            (b'C' | b'I' | b's', Phase::Running) => {
                self.forward(&message, sink)?;
                self.awaits_start |= !self.response_started && !self.discarding;
            }
            (b'E', Phase::Running) => {
                self.suppress_acks.clear();
                let (sqlstate, text) = backend_messages::parse_sqlstate_and_message(&message)?;
                if is_engine_fault(&sqlstate) || (self.cancelled && sqlstate == QUERY_CANCELED) {
                    self.engine_error = Some((sqlstate, text));
                } else {
                    self.has_query_error = true;
                    self.forward(&message, sink)?;
                }
            }
            (b'Z', Phase::Running) => {
                if self.engine_error.is_none() {
                    self.release_completion(sink);
                }
                return Ok(Some(self.finish_unit(message.get(5) == Some(&b'I'))));
            }
            (b'E', Phase::Idle) => {
                let (sqlstate, message) = backend_messages::parse_sqlstate_and_message(&message)?;
                self.phase = Phase::Closed;
                return Ok(Some(BackendEvent::EngineError { sqlstate, message, reusable: false }));
            }
            _ => return Err(ProtocolError::UnknownMessageType(frame::printable_tag(tag))),
        }
        // If the engine closes the connection after an error, no ReadyForQuery ends the unit. The caller then gets the
        // error with `take_engine_error`.
        Ok(None)
    }

    /// Ends the unit after `ReadyForQuery`. `is_idle` tells whether the engine reported that it is in no transaction.
    fn finish_unit(&mut self, is_idle: bool) -> BackendEvent {
        let reusable = is_idle && self.all_sent;
        self.phase = if reusable { Phase::Idle } else { Phase::Closed };
        self.awaits_start = false;
        self.suppress_acks.clear();
        if self.discarding {
            self.discarding = false;
            return BackendEvent::Discarded { reusable };
        }
        match self.engine_error.take() {
            Some((sqlstate, message)) => BackendEvent::EngineError { sqlstate, message, reusable },
            None => BackendEvent::Completed { has_query_error: self.has_query_error, reusable },
        }
    }

    /// Whether part of a row has been forwarded to the client. No other message, not even an error, can be sent to the
    /// client before the rest of the row.
    pub fn is_mid_row(&self) -> bool {
        self.row_bytes_left > 0 && !self.discarding
    }

    /// Returns the SQLSTATE and the message of an error of the engine that no event has reported, because the engine
    /// closed the connection before the end of the unit.
    pub fn take_engine_error(&mut self) -> Option<(String, String)> {
        self.engine_error.take()
    }

    /// Processes a setting that the engine reports, which may be its load, the work done, or the status of the query.
    fn handle_parameter_status(&mut self, message: &[u8]) -> Result<Option<QueryStatus>, ProtocolError> {
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
            _ if self.phase != Phase::Running || self.discarding => {}
            "progress" => return Ok(number.map(QueryStatus::Progress)),
            "spills" => return Ok(number.map(QueryStatus::Spills)),
            "waits" if value == "memory" => return Ok(Some(QueryStatus::WaitsForMemory)),
            "waits" if value == "load" => return Ok(Some(QueryStatus::WaitsForLoad)),
            _ => {}
        }
        Ok(None)
    }
}

/// The error for a client whose response was interrupted because the engine was lost.
pub fn interrupted_response(detail: &str) -> Diagnostic {
    Diagnostic::error("08007", "the answer broke off: the engine was lost").detail(detail)
}
