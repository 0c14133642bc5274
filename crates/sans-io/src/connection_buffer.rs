//! The bytes of one connection: what came and was not taken, what is to go and has not gone.

use crate::effect_queue::{Effect, EffectQueue};
use crate::ConnId;
use bytes::{Buf, BytesMut};

/// Buffers of an idle connection keep no more than this.
const KEPT: usize = 2048;

/// The bytes of a connection. Its socket is elsewhere.
#[derive(Debug, Default)]
pub struct ConnectionBuffer {
    /// What came and was not taken yet.
    pub input: BytesMut,
    /// What is to go.
    pub output: BytesMut,
    /// The other side will send no more, and all it sent is here.
    pub read_closed: bool,
    /// The other side has closed, though something it sent may still be outside.
    pub peer_closing: bool,
    /// Whoever writes was asked to.
    write_requested: bool,
    /// Whoever reads was told that there is no room.
    read_blocked: bool,
}

impl ConnectionBuffer {
    /// Takes what came.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Bytes that may come now, if at most `limit` are to wait.
    pub fn read_capacity(&mut self, limit: usize) -> usize {
        if self.read_closed {
            return 0;
        }
        let room = limit.saturating_sub(self.input.len());
        self.read_blocked |= room == 0;
        room
    }

    /// Has the other side read again, if there is room again; gives back the memory of an emptied input.
    pub fn resume_reading(&mut self, id: ConnId, limit: usize, out: &mut EffectQueue<impl Sized>) {
        if self.read_blocked && self.input.len() < limit {
            self.read_blocked = false;
            out.push(Effect::ResumeReading(id));
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Has what is to go written.
    pub fn flush(&mut self, id: ConnId, out: &mut EffectQueue<impl Sized>) {
        if !self.output.is_empty() && !std::mem::replace(&mut self.write_requested, true) {
            out.push(Effect::Write(id));
        }
    }

    /// So much has gone; true once all has.
    pub fn advance_written(&mut self, n: usize) -> bool {
        self.output.advance(n.min(self.output.len()));
        let all = self.output.is_empty();
        if all {
            self.write_requested = false;
            if self.output.capacity() > KEPT {
                self.output = BytesMut::new();
            }
        }
        all
    }
}
