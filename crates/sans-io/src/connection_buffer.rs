//! The bytes of one connection: received and not yet consumed, to be written and not yet written.

use crate::effect_queue::{Effect, EffectQueue};
use crate::ConnId;
use bytes::{Buf, BytesMut};
use std::ops::Range;

/// An empty output buffer keeps no more memory than this, in bytes.
const RETAINED_CAPACITY: usize = 2048;

/// The bytes of a connection. Its socket is elsewhere.
#[derive(Debug, Default)]
pub struct ConnectionBuffer {
    /// Received and not consumed yet.
    pub input: BytesMut,
    /// To be written.
    pub output: BytesMut,
    /// The other side sends no more, and all it sent is here.
    pub read_closed: bool,
    /// The other side has closed, though something it sent may not have been read yet.
    pub peer_closing: bool,
    write_requested: bool,
    /// The reader was told that there is no capacity.
    read_blocked: bool,
}

impl ConnectionBuffer {
    /// Appends bytes that were received.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// How many bytes may be received now, if at most `limit` are to wait.
    pub fn read_capacity(&mut self, limit: usize) -> usize {
        if self.read_closed {
            return 0;
        }
        let capacity = limit.saturating_sub(self.input.len());
        self.read_blocked |= capacity == 0;
        capacity
    }

    /// Requests reading again, if there is capacity again; frees the memory of an empty input.
    pub fn resume_reading(
        &mut self,
        id: ConnId,
        limit: usize,
        effects: &mut EffectQueue<impl Sized>,
    ) {
        if self.read_blocked && self.input.len() < limit {
            self.read_blocked = false;
            effects.push(Effect::ResumeReading(id));
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Requests that the output be written.
    pub fn flush(&mut self, id: ConnId, effects: &mut EffectQueue<impl Sized>) {
        if !self.output.is_empty() && !std::mem::replace(&mut self.write_requested, true) {
            effects.push(Effect::Write(id));
        }
    }

    /// Takes bytes out of the output, by their position in it.
    pub fn remove_output(&mut self, bytes: Range<usize>) {
        let behind = self.output.split_off(bytes.end.min(self.output.len()));
        self.output.truncate(bytes.start);
        self.output.unsplit(behind);
        // What is added to an empty output is to be written by a request of its own.
        self.write_requested &= !self.output.is_empty();
    }

    /// So many bytes were written; true once all are.
    pub fn advance_written(&mut self, count: usize) -> bool {
        self.output.advance(count.min(self.output.len()));
        let all_written = self.output.is_empty();
        if all_written {
            self.write_requested = false;
            if self.output.capacity() > RETAINED_CAPACITY {
                self.output = BytesMut::new();
            }
        }
        all_written
    }
}
