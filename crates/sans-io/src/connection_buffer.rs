//! Input and output buffers of one connection.

use crate::effect_queue::{Effect, EffectQueue};
use crate::ConnId;
use bytes::{Buf, BytesMut};
use std::ops::Range;

/// Input and output buffers of a connection, and whether the peer has closed its side. The event loop owns the socket; the
/// protocol implementation owns the buffers and requests reads and writes by effects.
#[derive(Debug, Default)]
pub struct ConnectionBuffer {
    /// Bytes that were received and not yet consumed.
    pub input: BytesMut,
    /// Bytes that were not yet written to the socket.
    pub output: BytesMut,
    /// Whether the peer has closed its sending side and everything that it sent has been received
    /// ([`crate::IoEvent::ReadClosed`]).
    pub read_closed: bool,
    /// Whether the peer has closed its sending side or the connection has failed, while some of the bytes that it sent may not
    /// have been read yet ([`crate::IoEvent::PeerClosing`]).
    pub peer_closing: bool,
    /// Whether [`Effect::Write`] has been requested since the output was last empty.
    write_requested: bool,
    /// Whether [`ConnectionBuffer::read_capacity`] has returned zero since reading was last resumed.
    read_blocked: bool,
}

impl ConnectionBuffer {
    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns how many more bytes may be received now, so that the input holds at most `limit` unconsumed bytes. After a
    /// result of zero, [`ConnectionBuffer::resume_reading`] has to be called once input has been consumed.
    pub fn read_capacity(&mut self, limit: usize) -> usize {
        if self.read_closed {
            return 0;
        }
        let capacity = limit.saturating_sub(self.input.len());
        self.read_blocked |= capacity == 0;
        capacity
    }

    /// Requests [`Effect::ResumeReading`] if reading was blocked and there is capacity again. Releases the memory of an empty
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

    /// Requests [`Effect::Write`], unless the output is empty or the effect is already requested. The event loop then writes
    /// until the output is empty.
    pub fn flush(&mut self, id: ConnId, effects: &mut EffectQueue<impl Sized>) {
        if !self.output.is_empty() && !std::mem::replace(&mut self.write_requested, true) {
            effects.push(Effect::Write(id));
        }
    }

    /// Removes a range of unwritten bytes from the output.
    pub fn remove_output(&mut self, bytes: Range<usize>) {
        let tail = self.output.split_off(bytes.end.min(self.output.len()));
        self.output.truncate(bytes.start);
        self.output.unsplit(tail);
        // Bytes that are added to an empty output need a write request of their own.
        self.write_requested &= !self.output.is_empty();
    }

    /// Removes the first `count` bytes from the output, which were written. Returns whether the output is empty now.
    pub fn advance_written(&mut self, count: usize) -> bool {
        self.output.advance(count.min(self.output.len()));
        let all_written = self.output.is_empty();
        if all_written {
            self.write_requested = false;
            // An empty buffer keeps its memory, and its capacity does not tell how much that is.
            self.output = BytesMut::new();
        }
        all_written
    }
}

#[cfg(test)]
#[path = "connection_buffer_tests.rs"]
mod tests;
