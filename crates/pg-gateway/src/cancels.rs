//! PostgreSQL cancel requests. Each one uses a connection of its own and is finished when the engine closes
//! that connection.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use std::net::SocketAddr;
use wheelfield_pg::frontend_messages;
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey};

pub(crate) const CONNECTION_OWNER: u8 = 3;
/// Maximum number of concurrent cancel requests. Beyond it, the session is closed instead.
const MAX_REQUESTS: usize = 1024;
/// Read capacity of a connection; engines do not answer cancel requests, so received bytes are discarded.
const READ_LIMIT: usize = 4096;

#[derive(Debug)]
struct CancelRequest {
    buffer: ConnectionBuffer,
    session: ConnId,
    timer: Option<TimerKey>,
}

/// The cancel requests in progress.
#[derive(Debug)]
pub(crate) struct CancelRequests {
    requests: ConnectionTable<CancelRequest>,
}

impl CancelRequests {
    pub fn new() -> CancelRequests {
        CancelRequests { requests: ConnectionTable::new(CONNECTION_OWNER) }
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Starts a cancel request. Returns false if too many are in progress.
    pub fn start(
        &mut self,
        session: ConnId,
        address: SocketAddr,
        (pid, key): &(i32, Bytes),
        timeout: i64,
        out: &mut EffectQueue,
    ) -> bool {
        if self.requests.len() >= MAX_REQUESTS {
            return false;
        }
        let mut buffer = ConnectionBuffer::default();
        frontend_messages::put_cancel(*pid, key, &mut buffer.output);
        let id = self.requests.insert(CancelRequest { buffer, session, timer: None });
        if let Some(request) = self.requests.get_mut(id) {
            request.timer = Some(out.set_timer_after(timeout, TimerEvent::CancelRequestTimeout(id)));
        }
        out.push(Effect::Connect(id, address));
        true
    }

    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.requests.get_mut(id).map(|request| &mut request.buffer)
    }

    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.requests.get_mut(id).map_or(0, |request| request.buffer.read_capacity(READ_LIMIT))
    }

    /// Sends the request once its connection is established.
    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(request) = self.requests.get_mut(id) {
            request.buffer.flush(id, out);
        }
    }

    /// Discards received bytes.
    pub fn received(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(request) = self.requests.get_mut(id) {
            request.buffer.input.clear();
            request.buffer.resume_reading(id, READ_LIMIT, out);
        }
    }

    /// Ends a request, whatever its outcome, and returns the session it belongs to. `leak_connection` is an
    /// injected fault that leaves the connection open.
    pub fn finish(&mut self, id: ConnId, leak_connection: bool, out: &mut EffectQueue) -> Option<ConnId> {
        let mut request = self.requests.remove(id)?;
        out.cancel_timer(&mut request.timer);
        if !leak_connection {
            out.push(Effect::Close(id));
        }
        Some(request.session)
    }
}
