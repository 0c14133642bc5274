//! Input and output buffers of one connection.

use crate::effect_queue::{Effect, EffectQueue};
use crate::ConnId;
use bytes::{Buf, BytesMut};
use std::ops::Range;

/// An empty output buffer whose capacity in bytes exceeds this is freed.
const RETAINED_CAPACITY: usize = 2048;

/// Input and output buffers of a connection. The event loop owns the socket.
#[derive(Debug, Default)]
pub struct ConnectionBuffer {
    /// Bytes received and not consumed yet.
    pub input: BytesMut,
    /// Bytes not written to the socket yet.
    pub output: BytesMut,
    /// Whether the peer has closed its sending side and everything it sent has been received.
    pub read_closed: bool,
    /// Whether the peer has closed the connection. Some of the bytes it sent may not have been read yet.
    pub peer_closing: bool,
    /// Whether [`Effect::Write`] has been requested for the current output.
    write_requested: bool,
    /// Whether [`ConnectionBuffer::read_capacity`] has returned zero since reading was last resumed.
    read_blocked: bool,
}

impl ConnectionBuffer {
    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// How many more bytes may be received now, with at most `limit` unconsumed bytes in the input.
    pub fn read_capacity(&mut self, limit: usize) -> usize {
        if self.read_closed {
            return 0;
        }
        let capacity = limit.saturating_sub(self.input.len());
        self.read_blocked |= capacity == 0;
        capacity
    }

    /// Requests [`Effect::ResumeReading`] if reading was blocked and there is capacity again. Frees the memory of an empty
    /// input.
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

    /// Requests [`Effect::Write`], unless the output is empty or already requested to be written.
    pub fn flush(&mut self, id: ConnId, effects: &mut EffectQueue<impl Sized>) {
        if !self.output.is_empty() && !std::mem::replace(&mut self.write_requested, true) {
            effects.push(Effect::Write(id));
        }
    }

    /// Removes a range of bytes from the output.
    pub fn remove_output(&mut self, bytes: Range<usize>) {
        let tail = self.output.split_off(bytes.end.min(self.output.len()));
        self.output.truncate(bytes.start);
        self.output.unsplit(tail);
        // Bytes that are added to an empty output need a write request of their own.
        self.write_requested &= !self.output.is_empty();
    }

    /// Removes `count` written bytes from the output. Returns whether the output is empty.
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
