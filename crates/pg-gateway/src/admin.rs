//! What operators ask over HTTP.

use crate::effect_queue::{Effect, EffectQueue};
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{http, ConnId, ConnectionTable};

pub(crate) const ROOM: u8 = 5;
/// Calls at once; one more is closed.
const MOST: usize = 64;
/// Bytes of a call.
const LONGEST: usize = 16 << 10;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    Health,
    Status,
    Metrics,
    Unknown,
}

/// The calls of operators.
#[derive(Debug)]
pub(crate) struct Admin {
    calls: ConnectionTable<ConnectionBuffer>,
}

impl Admin {
    pub fn new() -> Admin {
        Admin { calls: ConnectionTable::new(ROOM) }
    }

    /// An operator has connected; none if too many have.
    pub fn accept(&mut self) -> Option<ConnId> {
        (self.calls.len() < MOST).then(|| self.calls.insert(ConnectionBuffer::default()))
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.calls.get_mut(id)
    }

    pub fn room(&mut self, id: ConnId) -> usize {
        self.calls.get_mut(id).map_or(0, |w| w.read_capacity(LONGEST))
    }

    /// The next page that a call asks for; a call that is none is closed.
    pub fn next(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Page> {
        let wire = self.calls.get_mut(id)?;
        match http::take_request(&mut wire.input, 4096) {
            Ok(Some(request)) => Some(match request.path() {
                "/health" => Page::Health,
                "/status" => Page::Status,
                "/metrics" => Page::Metrics,
                _ => Page::Unknown,
            }),
            // One that asks no more is closed once it has its answers.
            Ok(None) if !wire.read_closed || !wire.output.is_empty() => {
                wire.resume_reading(id, LONGEST, out);
                wire.flush(id, out);
                None
            }
            _ => {
                self.remove(id, out);
                None
            }
        }
    }

    /// Answers a call.
    pub fn answer(&mut self, id: ConnId, status: u16, kind: &str, body: &str) {
        if let Some(wire) = self.calls.get_mut(id) {
            http::write_response(status, kind, body.as_bytes(), &mut wire.output);
        }
    }

    /// Bytes have gone to an operator.
    pub fn wrote(&mut self, id: ConnId, n: usize, out: &mut EffectQueue) {
        if self.calls.get_mut(id).is_some_and(|w| w.advance_written(n) && w.read_closed) {
            self.remove(id, out);
        }
    }

    /// A call is over.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.calls.remove(id).is_some() {
            out.push(Effect::Close(id));
        }
    }
}
