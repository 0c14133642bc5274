//! The state of one connection of a client, and its timeouts.

use super::arrival_times::ArrivalTimes;
use crate::http_server::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::invariants::{CloseContext, CloseReason};
use wheelfield_sans_io::ConnectionBuffer;

/// Time in which the first request of a connection must be complete after the connect, and each other one after its first byte,
/// in microseconds.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// Time after which a client that reads nothing of its response is closed, in microseconds.
const WRITE_STALL_TIMEOUT_US: i64 = 5_000_000;
/// Time after which a connection without a request is closed, in microseconds.
const IDLE_TIMEOUT_US: i64 = 30_000_000;
/// Time that the first request of a connection may take to arrive, in microseconds: as long as one that crosses the close of
/// another connection.
const FIRST_REQUEST_GRACE_US: i64 = 50_000;
/// Time after which clients as the protocol describes them close an idle connection themselves, in microseconds.
const CLIENT_IDLE_TIMEOUT_US: i64 = 4_000_000;
/// Bytes that are read while a request is processed: its client may send the next one ahead.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// Bytes that are read at a time while input is dropped.
const DRAIN_READ_BYTES: usize = 64 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// It may send a request.
    AwaitingRequest,
    /// Its request is being processed.
    Processing,
    /// Its last response is being written, and its input is dropped until this time and for so many bytes more.
    Draining { until: i64, bytes_left: usize },
}

impl ClientState {
    /// Bytes that may wait in the input.
    pub fn max_input_bytes(self) -> usize {
        match self {
            ClientState::AwaitingRequest => MAX_HEAD_BYTES + MAX_BODY_BYTES,
            ClientState::Processing => READ_AHEAD_BYTES,
            ClientState::Draining { .. } => DRAIN_READ_BYTES,
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
pub(super) struct ClientConnection {
    /// Bytes received and bytes to be written.
    pub buffer: ConnectionBuffer,
    /// What the connection is doing.
    pub state: ClientState,
    /// Whether it has sent a valid request.
    pub has_sent_request: bool,
    /// Time of the connect, or of the last request or response, in microseconds.
    pub last_active_at: i64,
    /// Time at which an incomplete request began to arrive, in microseconds.
    pub request_started_at: Option<i64>,
    /// Whether the connection is closed after the response to the current request.
    pub close_after_response: bool,
    /// Time at which output was last written or added, in microseconds.
    pub last_write_progress_at: i64,
    /// Whether input has arrived that was not examined yet, and may be a request.
    pub has_unread_input: bool,
    /// When the bytes of the input arrived.
    pub arrival_times: ArrivalTimes,
    /// Since when nothing is read from it for want of capacity, in microseconds.
    pub read_paused_since: Option<i64>,
}

/// How readily a connection is closed for a new client; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    category: EvictionCategory,
    is_sending_request: bool,
    last_active_at: i64,
}

/// The first part of an [`EvictionRank`], in order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCategory {
    /// Its client has left.
    Disconnected,
    /// It has sent no request for longer than a first request may take to arrive.
    NoRequestSinceConnect,
    /// It has been idle for longer than usual clients keep a connection.
    LongIdle,
    /// It was accepted just now, and has sent no request.
    New,
    /// It has sent a request, and is idle.
    Idle,
}

impl ClientConnection {
    /// A connection that was accepted just now.
    pub fn new(now: i64) -> ClientConnection {
        ClientConnection {
            buffer: ConnectionBuffer::default(),
            state: ClientState::AwaitingRequest,
            has_sent_request: false,
            last_active_at: now,
            request_started_at: None,
            close_after_response: false,
            last_write_progress_at: now,
            has_unread_input: false,
            arrival_times: ArrivalTimes::default(),
            read_paused_since: None,
        }
    }

    /// What the guard of closing looks at.
    pub fn close_context(&self, reason: CloseReason) -> CloseContext {
        CloseContext {
            reason,
            has_disconnected: self.has_disconnected(),
            awaits_response: self.state == ClientState::Processing,
            has_unread_input: self.has_unread_input && self.state == ClientState::AwaitingRequest,
            unwritten_bytes: self.buffer.output.len(),
        }
    }

    /// Whether the client has closed its side.
    pub fn has_disconnected(&self) -> bool {
        self.buffer.read_closed || self.buffer.peer_closing
    }

    /// Whether no request is being processed, arriving or expected, and nothing is left to write.
    pub fn is_idle(&self, now: i64) -> bool {
        let expects_request =
            !self.has_sent_request && now - self.last_active_at < FIRST_REQUEST_GRACE_US;
        let has_request = self.state == ClientState::Processing
            || self.has_unread_input
            || !self.buffer.input.is_empty();
        !expects_request && !has_request && self.buffer.output.is_empty()
    }

    /// Its rank among the connections that may be closed for a new one; `None` if it must not be closed, as a response is owed
    /// or a request may have arrived that was not examined yet.
    pub fn eviction_rank(&self, now: i64) -> Option<EvictionRank> {
        let has_disconnected = self.has_disconnected();
        let is_in_use = self.has_unread_input || !self.buffer.output.is_empty();
        if self.state == ClientState::Processing || (is_in_use && !has_disconnected) {
            return None;
        }
        let idle_time = now - self.last_active_at;
        let category = match self.has_sent_request {
            _ if has_disconnected => EvictionCategory::Disconnected,
            false if idle_time >= FIRST_REQUEST_GRACE_US => EvictionCategory::NoRequestSinceConnect,
            true if idle_time > CLIENT_IDLE_TIMEOUT_US => EvictionCategory::LongIdle,
            false => EvictionCategory::New,
            true => EvictionCategory::Idle,
        };
        Some(EvictionRank {
            category,
            is_sending_request: self.request_started_at.is_some(),
            last_active_at: self.last_active_at,
        })
    }

    /// The timeout that has passed, if any.
    pub fn expired_timeout(&self, now: i64) -> Option<ExpiredTimeout> {
        let has_output = !self.buffer.output.is_empty();
        let request_due_since = self
            .request_started_at
            .or((!self.has_sent_request).then_some(self.last_active_at));
        match self.state {
            ClientState::Draining { until, .. } if now >= until && !has_output => {
                Some(ExpiredTimeout::Close(CloseReason::ResponseWritten))
            }
            _ if has_output && now - self.last_write_progress_at > WRITE_STALL_TIMEOUT_US => {
                Some(ExpiredTimeout::Close(CloseReason::WriteStalled))
            }
            ClientState::AwaitingRequest
                if request_due_since.is_some_and(|since| now - since > REQUEST_TIMEOUT_US) =>
            {
                match self.request_started_at {
                    Some(_) => Some(ExpiredTimeout::RejectRequest),
                    None => Some(ExpiredTimeout::Close(CloseReason::Idle)),
                }
            }
            ClientState::AwaitingRequest
                if !has_output && now - self.last_active_at > IDLE_TIMEOUT_US =>
            {
                Some(ExpiredTimeout::Close(CloseReason::Idle))
            }
            _ => None,
        }
    }
}

/// What follows from a timeout that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpiredTimeout {
    /// The incomplete request is rejected.
    RejectRequest,
    /// The connection is closed for this reason.
    Close(CloseReason),
}
