//! The state of one connection to an executor.

use super::attempts::PendingAttempt;
use crate::executor_protocol::RequestId;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use wheelfield::interface::{EngineId, LoadReport};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnectionBuffer, TimerKey};

/// Cancelled ids that a connection remembers, because a response that crosses the cancellation may still arrive under them.
/// A connection with this many accepts no new attempt and is closed once it is idle.
pub(super) const MAX_CANCELLED_IDS: usize = 64;
/// Bytes that may wait to be written to a connection; beyond this, other connections are used.
const MAX_OUTPUT_BYTES: usize = 256 << 10;

/// Why a connection to an executor is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The list names its executor no longer, or elsewhere.
    Unlisted,
    /// The executor has closed its side.
    PeerClosing,
    /// It made way for a new one.
    Evicted,
    /// It has no attempt and must not be used again.
    Retired,
    /// It was idle for too long.
    Idle,
    /// It broke, or can no longer be used.
    Lost,
}

/// A served result whose further pages have been requested.
#[derive(Debug)]
pub(super) struct PartialResult {
    /// Work in seconds of one thread, as the first page stated it.
    pub billed_work: Option<f64>,
    /// Load of the executor, as the first page stated it.
    pub report: LoadReport,
    /// The pages by number; `None` for those that have not arrived.
    pub pages: Vec<Option<Bytes>>,
    /// Pages that have not arrived.
    pub missing: usize,
    /// Bytes of all pages that have arrived.
    pub bytes: usize,
    /// Time at which the last page arrived, in microseconds.
    pub last_page_at: i64,
}

/// An attempt whose request was written to the connection's output.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    /// The attempt.
    pub attempt: PendingAttempt,
    /// Position of its request among all bytes sent on this connection.
    pub request_bytes: Range<u64>,
    /// Whether the first byte of its request has been written to the socket.
    pub is_dispatched: bool,
    /// The pages of its result that have arrived, where it has more than one.
    pub result: Option<PartialResult>,
    /// Whether an earlier attempt under the same request id was cancelled on this connection: a response may belong to that one.
    pub reuses_cancelled_id: bool,
}

/// A connection to an executor, and the attempts on it.
#[derive(Debug)]
pub(super) struct Connection {
    /// The executor.
    pub engine: EngineId,
    /// Where it was when the connect began.
    pub address: SocketAddr,
    /// Bytes received and bytes to be written.
    pub buffer: ConnectionBuffer,
    /// Whether the connect has completed.
    pub is_up: bool,
    /// Timer of the connect timeout, until the connect has completed.
    pub connect_timer: Option<TimerKey>,
    /// Attempts that wait for the connect to complete, in order of arrival.
    pub queued: Vec<PendingAttempt>,
    /// Attempts whose request was written, by request id.
    pub running: BTreeMap<RequestId, RunningAttempt>,
    /// Request ids that were cancelled, or ended without a result.
    pub cancelled: Vec<RequestId>,
    /// Bytes put into the output since the connection exists.
    pub bytes_queued: u64,
    /// Bytes written to the socket since the connection exists.
    pub bytes_written: u64,
    /// Time of the last change from use to idleness, in microseconds.
    pub idle_since: i64,
    /// Time since which an incomplete response is in the input, in microseconds.
    pub partial_response_since: Option<i64>,
}

impl Connection {
    /// A connection whose connect has just begun.
    pub fn new(engine: EngineId, address: SocketAddr, now: i64) -> Connection {
        Connection {
            engine,
            address,
            buffer: ConnectionBuffer::default(),
            is_up: false,
            connect_timer: None,
            queued: Vec::new(),
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            bytes_queued: 0,
            bytes_written: 0,
            idle_since: now,
            partial_response_since: None,
        }
    }

    /// Number of attempts on the connection.
    pub fn load(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    /// Whether an attempt with this request id may be assigned to the connection, of which at most `max_streams` may be there.
    pub fn accepts(&self, request: RequestId, max_streams: usize) -> bool {
        !self.running.contains_key(&request)
            && (self.cancelled.len() < MAX_CANCELLED_IDS || self.cancelled.contains(&request))
            && !self.buffer.peer_closing
            && self.load() < max_streams
            && self.buffer.output.len() < MAX_OUTPUT_BYTES
    }

    /// Whether the connection is idle with nothing left to write, and must not be used again.
    pub fn is_retired(&self) -> bool {
        let is_done = self.load() == 0 && self.buffer.output.is_empty();
        is_done && (self.cancelled.len() >= MAX_CANCELLED_IDS || self.buffer.peer_closing)
    }

    /// Appends a message to the output and counts its bytes.
    pub fn append(&mut self, encode: impl FnOnce(&mut BytesMut)) {
        let before = self.buffer.output.len();
        encode(&mut self.buffer.output);
        self.bytes_queued += (self.buffer.output.len() - before) as u64;
    }

    /// Records that so many bytes of the output were written; the attempts whose first byte was among them.
    pub fn advance_written(&mut self, count: usize) -> Vec<(AttemptId, RequestId)> {
        self.bytes_written += count as u64;
        self.buffer.advance_written(count);
        let written = self.bytes_written;
        let mut dispatched = Vec::new();
        for running in self.running.values_mut() {
            if !running.is_dispatched && written > running.request_bytes.start {
                running.is_dispatched = true;
                dispatched.push((running.attempt.id, running.attempt.request));
            }
        }
        dispatched
    }

    /// Takes the requests of which nothing was written out of the output; they wait again, to be written anew.
    pub fn requeue_unwritten(&mut self) {
        let mut unwritten: Vec<(u64, RequestId)> = self
            .running
            .iter()
            .filter(|(_, running)| !running.is_dispatched)
            .map(|(id, running)| (running.request_bytes.start, *id))
            .collect();
        unwritten.sort_unstable();
        // From the last one on, so that those before it stay where they are.
        for (_, id) in unwritten.into_iter().rev() {
            if let Some(running) = self.running.remove(&id) {
                self.remove_output(running.request_bytes);
                self.queued.insert(0, running.attempt);
            }
        }
    }

    /// Removes bytes that have not been written from the output, by their position among all bytes sent.
    fn remove_output(&mut self, bytes: Range<u64>) {
        let position = |byte: u64| (byte - self.bytes_written) as usize;
        let in_output = position(bytes.start)..position(bytes.end);
        self.buffer.remove_output(in_output);
        self.bytes_queued -= bytes.end - bytes.start;
    }
}
