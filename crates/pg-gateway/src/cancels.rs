//! Requests to cancel: connections of their own, over once the engine closes them.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use std::net::SocketAddr;
use wheelfield_pg::frontend_messages;
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey};

pub(crate) const ROOM: u8 = 3;
/// Requests under way at once; without room for one the session is closed instead.
const MOST: usize = 1024;
/// Bytes of an answer that nobody reads.
const READ: usize = 4096;

#[derive(Debug)]
struct Request {
    wire: ConnectionBuffer,
    session: ConnId,
    timer: Option<TimerKey>,
}

/// The requests under way.
#[derive(Debug)]
pub(crate) struct Cancels {
    all: ConnectionTable<Request>,
}

impl Cancels {
    pub fn new() -> Cancels {
        Cancels { all: ConnectionTable::new(ROOM) }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Begins a request; false if too many are under way.
    pub fn begin(
        &mut self,
        session: ConnId,
        to: SocketAddr,
        (pid, key): &(i32, Bytes),
        patience: i64,
        out: &mut EffectQueue,
    ) -> bool {
        if self.all.len() >= MOST {
            return false;
        }
        let mut wire = ConnectionBuffer::default();
        frontend_messages::put_cancel(*pid, key, &mut wire.output);
        let id = self.all.insert(Request { wire, session, timer: None });
        if let Some(r) = self.all.get_mut(id) {
            r.timer = Some(out.set_timer_after(patience, TimerEvent::Cancel(id)));
        }
        out.push(Effect::Connect(id, to));
        true
    }

    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.all.get_mut(id).map(|r| &mut r.wire)
    }

    pub fn room(&mut self, id: ConnId) -> usize {
        self.all.get_mut(id).map_or(0, |r| r.wire.read_capacity(READ))
    }

    /// It is connected: the request goes out.
    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(r) = self.all.get_mut(id) {
            r.wire.flush(id, out);
        }
    }

    /// Something came that nobody reads.
    pub fn received(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(r) = self.all.get_mut(id) {
            r.wire.input.clear();
            r.wire.resume_reading(id, READ, out);
        }
    }

    /// A request is over, in whatever way. Its session. `leaks` is a planted fault: the connection stays.
    pub fn over(&mut self, id: ConnId, leaks: bool, out: &mut EffectQueue) -> Option<ConnId> {
        let mut r = self.all.remove(id)?;
        out.cancel_timer(&mut r.timer);
        if !leaks {
            out.push(Effect::Close(id));
        }
        Some(r.session)
    }
}
