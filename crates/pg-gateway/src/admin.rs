//! The HTTP endpoints for operators: health, status and metrics.

use crate::effect_queue::{Effect, EffectQueue};
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{http, ConnId, ConnectionTable};

pub(crate) const CONNECTION_OWNER: u8 = 5;
/// Maximum number of concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// The requested page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    Health,
    Status,
    Metrics,
    Unknown,
}

/// The HTTP connections of operators.
#[derive(Debug)]
pub(crate) struct Admin {
    connections: ConnectionTable<ConnectionBuffer>,
}

impl Admin {
    pub fn new() -> Admin {
        Admin { connections: ConnectionTable::new(CONNECTION_OWNER) }
    }

    /// Accepts a connection. Returns `None` if the connection limit is reached.
    pub fn accept(&mut self) -> Option<ConnId> {
        (self.connections.len() < MAX_CONNECTIONS)
            .then(|| self.connections.insert(ConnectionBuffer::default()))
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections.get_mut(id)
    }

    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.connections.get_mut(id).map_or(0, |buffer| buffer.read_capacity(MAX_REQUEST_BYTES))
    }

    /// Returns the next requested page. Closes the connection if the request is malformed.
    pub fn next_request(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Page> {
        let buffer = self.connections.get_mut(id)?;
        match http::take_request(&mut buffer.input, 4096) {
            Ok(Some(request)) => Some(match request.path() {
                "/health" => Page::Health,
                "/status" => Page::Status,
                "/metrics" => Page::Metrics,
                _ => Page::Unknown,
            }),
            // A client that has closed its sending side is disconnected once its responses are written.
            Ok(None) if !buffer.read_closed || !buffer.output.is_empty() => {
                buffer.resume_reading(id, MAX_REQUEST_BYTES, out);
                buffer.flush(id, out);
                None
            }
            _ => {
                self.remove(id, out);
                None
            }
        }
    }

    /// Writes a response.
    pub fn respond(&mut self, id: ConnId, status: u16, content_type: &str, body: &str) {
        if let Some(buffer) = self.connections.get_mut(id) {
            http::write_response(status, content_type, body.as_bytes(), &mut buffer.output);
        }
    }

    /// Handles bytes written to the socket; closes a finished connection.
    pub fn bytes_written(&mut self, id: ConnId, count: usize, out: &mut EffectQueue) {
        if self
            .connections
            .get_mut(id)
            .is_some_and(|buffer| buffer.advance_written(count) && buffer.read_closed)
        {
            self.remove(id, out);
        }
    }

    /// Closes a connection.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.connections.remove(id).is_some() {
            out.push(Effect::Close(id));
        }
    }
}
