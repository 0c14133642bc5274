//! The state of a client connection, and its timeouts.

use super::arrival_times::ArrivalTimes;
use super::memory::{MemoryCharge, MemoryWait, GUARANTEED_INPUT_BYTES};
use crate::invariants::{CloseContext, CloseReason};
use wheelfield_sans_io::ConnectionBuffer;

/// Time within which a request must be received completely, in microseconds: after the connection was accepted for the first
/// request, and after its first byte for each later one.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// Time without write progress after which the connection of a client that does not read its response is closed, in microseconds.
const WRITE_STALL_TIMEOUT_US: i64 = 5_000_000;
/// Time after which an idle connection is closed, in microseconds.
const IDLE_TIMEOUT_US: i64 = 30_000_000;
/// Time after accepting a connection during which its first request is expected, in microseconds. It equals the time for which a
/// request may be in transit when the controller closes its connection.
const FIRST_REQUEST_GRACE_US: i64 = 50_000;
/// Time after which clients close an idle connection themselves according to the protocol, in microseconds.
const CLIENT_IDLE_TIMEOUT_US: i64 = 4_000_000;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Idle or receiving a request.
    AwaitingRequest,
    /// A request is being processed.
    Processing,
    /// The last response is being written; input is discarded until the time `until`, up to `bytes_left` bytes.
    Draining { until: i64, bytes_left: usize },
}

/// A client connection.
#[derive(Debug)]
pub(super) struct ClientConnection {
    /// Input and output buffers.
    pub buffer: ConnectionBuffer,
    /// The state of the connection.
    pub state: ClientState,
    /// The memory that the connection has taken.
    pub charge: MemoryCharge,
    /// Time at which memory was reserved for the request that is being received, in microseconds.
    pub reserved_at: Option<i64>,
    /// The wait of the request that is being received for memory.
    pub memory_wait: Option<MemoryWait>,
    /// Whether the client has sent a valid request.
    pub has_sent_request: bool,
    /// Time at which the connection was accepted, or of the last request or response, in microseconds.
    pub last_active_at: i64,
    /// Time at which the first bytes of an incomplete request were read, in microseconds.
    pub request_started_at: Option<i64>,
    /// Whether the connection is closed after the response to the current request.
    pub close_after_response: bool,
    /// Time at which output was last written or added, in microseconds.
    pub last_write_progress_at: i64,
    /// Whether input has arrived that was not parsed yet and may be a request.
    pub has_unread_input: bool,
    /// The turn of the event loop in which a request was last taken from the input.
    pub last_request_turn: Option<u64>,
    /// Whether parsing of the input is deferred to the next turn.
    pub is_deferred: bool,
    /// Arrival times of the bytes in the input buffer.
    pub arrival_times: ArrivalTimes,
    /// Whether the last read failed for the moment, so that a request may have arrived that can't be received.
    pub is_read_delayed: bool,
    /// Time since which reading is paused because the input buffer is full, in microseconds.
    pub read_paused_since: Option<i64>,
}

/// Eviction order of a connection: the one with the lowest rank is closed first to make room for a new client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    category: EvictionCategory,
    /// Whether part of a request has arrived.
    is_sending_request: bool,
    last_active_at: i64,
}

/// The most significant part of an [`EvictionRank`], in order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCategory {
    /// The client has disconnected.
    Disconnected,
    /// The client has sent no request although the time allowed for its first one has passed.
    NoRequestSinceConnect,
    /// The connection has been idle for longer than clients normally keep one open.
    LongIdle,
    /// The connection was accepted recently, and no request has arrived yet.
    New,
    /// The client has sent a request before, and the connection is idle.
    Idle,
}

impl ClientConnection {
    /// Creates the state of a connection accepted at time `now`.
    pub fn new(now: i64) -> ClientConnection {
        ClientConnection {
            buffer: ConnectionBuffer::default(),
            state: ClientState::AwaitingRequest,
            charge: MemoryCharge::default(),
            reserved_at: None,
            memory_wait: None,
            has_sent_request: false,
            last_active_at: now,
            request_started_at: None,
            close_after_response: false,
            last_write_progress_at: now,
            has_unread_input: false,
            last_request_turn: None,
            is_deferred: false,
            arrival_times: ArrivalTimes::default(),
            is_read_delayed: false,
            read_paused_since: None,
        }
    }

    /// The state that is checked before the connection is closed.
    pub fn close_context(&self, reason: CloseReason) -> CloseContext {
        CloseContext {
            reason,
            has_disconnected: self.has_disconnected(),
            awaits_response: self.state == ClientState::Processing,
            has_unread_input: self.has_unread_input && self.state == ClientState::AwaitingRequest,
            unwritten_bytes: self.buffer.output.len(),
        }
    }

    /// Maximum number of bytes in the input buffer. While a request is being processed, the client may pipeline the next one.
    pub fn max_input_bytes(&self) -> usize {
        match self.state {
            ClientState::AwaitingRequest => self.charge.reserved_input.max(GUARANTEED_INPUT_BYTES),
            ClientState::Processing | ClientState::Draining { .. } => GUARANTEED_INPUT_BYTES,
        }
    }

    /// Whether a request is being received, and the input buffer has no room for more of it.
    pub fn is_input_full(&self) -> bool {
        self.state == ClientState::AwaitingRequest
            && self.buffer.output.is_empty()
            && self.buffer.input.len() >= self.max_input_bytes()
    }

    /// Discards the input and returns its length.
    pub fn discard_input(&mut self) -> usize {
        let length = self.buffer.input.len();
        self.buffer.input.clear();
        self.arrival_times.record_consumed(length);
        length
    }

    /// Whether the client has closed its side of the connection.
    pub fn has_disconnected(&self) -> bool {
        self.buffer.read_closed || self.buffer.peer_closing
    }

    /// Whether no request is being processed, received or expected, and no output is left to write.
    pub fn is_idle(&self, now: i64) -> bool {
        let expects_request =
            !self.has_sent_request && now - self.last_active_at < FIRST_REQUEST_GRACE_US;
        let has_request = self.state == ClientState::Processing
            || self.has_unread_input
            || !self.buffer.input.is_empty();
        !expects_request && !has_request && self.buffer.output.is_empty()
    }

    /// The eviction rank of the connection; `None` if it must not be closed because a response is pending or input has arrived that
    /// was not parsed yet.
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

    /// The timeout that has expired, if any.
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
                if !has_output
                    && !self.is_read_delayed
                    && self.memory_wait.is_none()
                    && request_due_since.is_some_and(|since| now - since > REQUEST_TIMEOUT_US) =>
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

/// The action to take for an expired timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpiredTimeout {
    /// Reject the incomplete request.
    RejectRequest,
    /// Close the connection for this reason.
    Close(CloseReason),
}
