//! When the bytes of a connection may have arrived: the time of a request counts from when its last byte was written, not from
//! when it is read or its turn has come.

use std::collections::VecDeque;

/// Stretches that are told apart; beyond this, the latest are taken for as old as the one before.
const MAX_SEGMENTS: usize = 64;

/// Bytes up to a position of the stream that may have arrived at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    end: u64,
    /// The earliest time at which they can have arrived, in microseconds.
    arrived_at: i64,
}

/// The arrival times of the bytes that wait in the input of a connection.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    received: u64,
    consumed: u64,
    segments: VecDeque<Segment>,
}

impl ArrivalTimes {
    /// Notes that so many bytes were received that can have arrived at this time at the earliest.
    pub fn record_received(&mut self, count: usize, arrived_at: i64) {
        self.received += count as u64;
        let end = self.received;
        let is_full = self.segments.len() >= MAX_SEGMENTS;
        match self.segments.back_mut() {
            Some(last) if is_full || last.arrived_at == arrived_at => last.end = end,
            _ => self.segments.push_back(Segment { end, arrived_at }),
        }
    }

    /// Notes that so many bytes were consumed. Returns the earliest time at which the last of them can have arrived; `None` if that
    /// is not known.
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
