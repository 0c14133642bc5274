//! Arrival times of the bytes received on a connection. The timeout of a request runs from the arrival of its last byte, not from
//! the time at which the controller reads or parses it.

use std::collections::VecDeque;

/// Maximum number of segments. Once it is reached, further bytes get the arrival time of the last segment, which is earlier than
/// their own.
const MAX_SEGMENTS: usize = 64;

/// Consecutive bytes of the stream with the same arrival time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    /// Position in the stream after the last byte.
    end: u64,
    /// The earliest time at which the bytes can have arrived, in microseconds.
    arrived_at: i64,
}

/// The arrival times of the bytes in the input buffer of a connection.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// Total number of bytes received on the connection.
    received: u64,
    /// Total number of bytes consumed from its input.
    consumed: u64,
    segments: VecDeque<Segment>,
}

impl ArrivalTimes {
    /// Records that `count` bytes were received, which arrived at `arrived_at` at the earliest.
    pub fn record_received(&mut self, count: usize, arrived_at: i64) {
        self.received += count as u64;
        let end = self.received;
        let is_full = self.segments.len() >= MAX_SEGMENTS;
        match self.segments.back_mut() {
            Some(last) if is_full || last.arrived_at == arrived_at => last.end = end,
            _ => self.segments.push_back(Segment { end, arrived_at }),
        }
    }

    /// Records that `count` bytes were consumed. Returns the earliest time at which the last of them can have arrived; `None` if
    /// more bytes were consumed than received.
    pub fn record_consumed(&mut self, count: usize) -> Option<i64> {
        self.consumed += count as u64;
        let consumed = self.consumed;
        let position = self.segments.iter().position(|s| s.end >= consumed)?;
        let arrived_at = self.segments[position].arrived_at;
        let is_used_up = self.segments[position].end == consumed;
        self.segments.drain(..position + usize::from(is_used_up));
        Some(arrived_at)
    }
}

#[cfg(test)]
mod tests;
