//! The state of one connection to an executor.

use super::attempts::PendingAttempt;
use crate::executor_protocol::{ProtocolError, RequestId};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use wheelfield::interface::{EngineId, LoadReport};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnectionBuffer, TimerKey};

/// Maximum number of request ids that a connection remembers. A connection with this many accepts only attempts under an id that was
/// cancelled on it, and is closed once it is idle.
const MAX_REMEMBERED_IDS: usize = 64;
/// Maximum size of a connection's output buffer; new attempts are assigned to other connections while it is full.
const MAX_OUTPUT_BYTES: usize = 256 << 10;
/// Maximum number of responses in a row that belong to no running attempt. Each attempt that ended may leave some, but an executor that
/// goes on sending them is at fault.
const MAX_UNMATCHED_IN_A_ROW: usize = 256;

/// The reason for closing a connection to an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The executor list no longer contains the executor, or contains it with another address.
    Unlisted,
    /// The executor has closed its side of the connection.
    PeerClosing,
    /// It was idle and was closed to stay within the connection limit when another connection was needed.
    Evicted,
    /// It is idle and accepts no new attempts; see [`Connection::is_retired`].
    Retired,
    /// It exceeded the idle timeout, or is idle and belongs to an executor that is no longer listed.
    Idle,
    /// The connect failed, the connection broke, or a protocol error made it unusable.
    Lost,
}

/// The result of a served attempt of which not all pages have arrived yet.
#[derive(Debug)]
pub(super) struct PartialResult {
    /// Number of results of earlier attempts under the same request id that this one has replaced.
    pub replaced: usize,
    /// Work in seconds of one thread, from the response with the first page.
    pub billed_work: Option<f64>,
    /// Load metrics of the executor, from the response with the first page.
    pub report: LoadReport,
    /// The pages by number; `None` if the page has not arrived.
    pub pages: Vec<Option<Bytes>>,
    /// Number of pages that have not arrived.
    pub missing_pages: usize,
    /// Total size of the pages that have arrived, in bytes.
    pub received_bytes: usize,
    /// Time at which the further pages were requested, or the most recent one arrived, in microseconds; `None` while they have not
    /// been requested.
    pub fetched_since: Option<i64>,
}

/// An attempt whose request was appended to the connection's output buffer.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    /// Identifier, request id and options of the attempt.
    pub attempt: PendingAttempt,
    /// Byte range of the request in the stream of all bytes sent on this connection.
    pub request_bytes: Range<u64>,
    /// Whether the first byte of the request was written to the socket.
    pub is_dispatched: bool,
    /// The partial result; `None` until the first page of a result with several pages has arrived.
    pub result: Option<PartialResult>,
    /// Number of earlier attempts under the same request id that were cancelled or failed on this connection. A response under this
    /// id may belong to any of them.
    pub earlier_attempts: usize,
}

/// A connection to an executor and the attempts assigned to it.
#[derive(Debug)]
pub(super) struct Connection {
    /// The executor that the connection goes to.
    pub engine: EngineId,
    /// Address of the executor when the connect was started.
    pub address: SocketAddr,
    /// Input and output buffers.
    pub buffer: ConnectionBuffer,
    /// Whether the connect has completed.
    pub is_connected: bool,
    /// Timer of the connect timeout; cleared once the connect has completed.
    pub connect_timer: Option<TimerKey>,
    /// Attempts whose requests have not been written yet, in order of assignment.
    pub queued: Vec<PendingAttempt>,
    /// Attempts whose requests were appended to the output buffer, by request id.
    pub running: BTreeMap<RequestId, RunningAttempt>,
    /// Request ids of cancelled attempts. A response that the executor sent before it received the cancellation may still arrive.
    pub cancelled_ids: Vec<RequestId>,
    /// Request ids of attempts that a response without a result ended. A duplicate of the response may still arrive.
    pub failed_ids: Vec<RequestId>,
    /// Total number of bytes appended to the output buffer, less those removed before they were written.
    pub bytes_queued: u64,
    /// Total number of bytes written to the socket.
    pub bytes_written: u64,
    /// Time at which an attempt on the connection last ended, or the connect started or completed, in microseconds.
    pub idle_since: i64,
    /// Time since which the input buffer holds an incomplete response, in microseconds; `None` if it holds none.
    pub partial_response_since: Option<i64>,
    /// Number of responses that belong to no running attempt since the last one that does.
    unmatched_in_a_row: usize,
}

impl Connection {
    /// Creates a connection whose connect starts at `now`.
    pub fn new(engine: EngineId, address: SocketAddr, now: i64) -> Connection {
        Connection {
            engine,
            address,
            buffer: ConnectionBuffer::default(),
            is_connected: false,
            connect_timer: None,
            queued: Vec::new(),
            running: BTreeMap::new(),
            cancelled_ids: Vec::new(),
            failed_ids: Vec::new(),
            bytes_queued: 0,
            bytes_written: 0,
            idle_since: now,
            partial_response_since: None,
            unmatched_in_a_row: 0,
        }
    }

    /// Returns the number of queued and running attempts on the connection.
    pub fn attempt_count(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    /// Returns whether an attempt with this request id may be assigned to the connection. The connection holds at most
    /// `max_streams` attempts at a time.
    pub fn accepts(&self, request: RequestId, max_streams: usize) -> bool {
        !self.running.contains_key(&request)
            && (!self.remembers_too_many_ids() || self.cancelled_ids.contains(&request))
            && !self.buffer.peer_closing
            && self.attempt_count() < max_streams
            && self.buffer.output.len() < MAX_OUTPUT_BYTES
    }

    /// Returns how many attempts under this request id were cancelled or failed on the connection.
    pub fn count_earlier_attempts(&self, request: RequestId) -> usize {
        let remembered = self.cancelled_ids.iter().chain(&self.failed_ids);
        remembered.filter(|id| **id == request).count()
    }

    fn remembers_too_many_ids(&self) -> bool {
        self.cancelled_ids.len() + self.failed_ids.len() >= MAX_REMEMBERED_IDS
    }

    /// Returns whether the connection is idle, has nothing left to write and accepts no new attempts, because it remembers too many
    /// ids or the executor is closing it.
    pub fn is_retired(&self) -> bool {
        let is_done = self.attempt_count() == 0 && self.buffer.output.is_empty();
        is_done && (self.remembers_too_many_ids() || self.buffer.peer_closing)
    }

    /// Records whether a response belongs to a running attempt.
    ///
    /// # Errors
    /// If too many in a row do not.
    pub fn record_response(&mut self, is_matched: bool) -> Result<(), ProtocolError> {
        self.unmatched_in_a_row = match is_matched {
            true => 0,
            false => self.unmatched_in_a_row + 1,
        };
        if self.unmatched_in_a_row > MAX_UNMATCHED_IN_A_ROW {
            return Err(ProtocolError::TooManyUnmatched);
        }
        Ok(())
    }

    /// Appends a message to the output buffer and counts its bytes.
    pub fn append(&mut self, encode: impl FnOnce(&mut BytesMut)) {
        let before = self.buffer.output.len();
        encode(&mut self.buffer.output);
        self.bytes_queued += (self.buffer.output.len() - before) as u64;
    }

    /// Records that `count` bytes of the output were written. Returns the attempts whose first byte was among them.
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

    /// Removes the requests of which no byte was written from the output buffer and puts their attempts back into the queue.
    pub fn requeue_unwritten(&mut self) {
        let mut unwritten: Vec<(u64, RequestId)> = self
            .running
            .iter()
            .filter(|(_, running)| !running.is_dispatched)
            .map(|(id, running)| (running.request_bytes.start, *id))
            .collect();
        unwritten.sort_unstable();
        // In reverse order, so that a removal does not shift the requests that are still to be removed.
        for (_, id) in unwritten.into_iter().rev() {
            if let Some(running) = self.running.remove(&id) {
                self.remove_output(running.request_bytes);
                self.queued.insert(0, running.attempt);
            }
        }
    }

    /// Removes a range of unwritten bytes from the output buffer. The range counts from the first byte sent on the connection.
    fn remove_output(&mut self, bytes: Range<u64>) {
        let position = |byte: u64| (byte - self.bytes_written) as usize;
        let in_output = position(bytes.start)..position(bytes.end);
        self.buffer.remove_output(in_output);
        self.bytes_queued -= bytes.end - bytes.start;
    }
}
