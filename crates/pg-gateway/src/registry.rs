//! The call to the registry that keeps the engine list: asked again and again, or waiting there for a change.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use tracing::{debug, warn};
use wheelfield_config::{Config, Refresh, Registry};
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{http, ConnId, ConnectionTable, TimerKey};

pub(crate) const ROOM: u8 = 4;
/// A call that waits at the registry is answered after so long, changed or not.
const WATCH_MS: i64 = 20_000;
/// Until the answer to a call must be there, beyond what it waits.
const PATIENCE: i64 = 2_000_000;

/// What came of a call.
pub(crate) enum Told {
    /// A list, as it was sent.
    List(Bytes),
    /// None could be had.
    Unavailable,
}

/// The call to the registry.
#[derive(Debug)]
pub(crate) struct Call {
    at: Option<Registry>,
    index: u64,
    /// At most one connection.
    wires: ConnectionTable<ConnectionBuffer>,
    id: Option<ConnId>,
    connected: bool,
    /// A call has neither been answered nor failed yet.
    waiting: bool,
    timer: Option<TimerKey>,
    /// It could not be had, and that was told.
    pub silent: bool,
    /// The module asks again in its own time.
    subscribes: bool,
}

impl Call {
    pub fn new(config: &Config) -> Call {
        Call {
            at: config.registry,
            index: config.settings.gateway_index as u64,
            wires: ConnectionTable::new(ROOM),
            id: None,
            connected: false,
            waiting: false,
            timer: None,
            silent: false,
            subscribes: config.settings.subscribe,
        }
    }

    /// Connections that are held.
    pub fn connections(&self) -> usize {
        self.wires.len()
    }

    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.wires.get_mut(id)
    }

    pub fn room(&mut self, id: ConnId) -> usize {
        self.wires.get_mut(id).map_or(0, |w| w.read_capacity(wheelfield_endpoints::MAX_LIST_BYTES))
    }

    /// Whether a call is under way.
    pub fn waiting(&self) -> bool {
        self.waiting
    }

    /// Asks anew: what a call that is under way brings may be of long ago.
    pub fn ask_anew(&mut self, version: u64, out: &mut EffectQueue) {
        if let Some(id) = self.id.take_if(|_| self.waiting) {
            self.wires.remove(id);
            out.push(Effect::Close(id));
        }
        self.ask(version, out);
    }

    /// Asks for a list newer than this version; on the connection at hand, or a new one.
    pub fn ask(&mut self, version: u64, out: &mut EffectQueue) {
        let Some(at) = self.at else { return };
        self.waiting = true;
        let id = match self.id {
            Some(id) => id,
            None => {
                let id = self.wires.insert(ConnectionBuffer::default());
                (self.id, self.connected) = (Some(id), false);
                out.push(Effect::Connect(id, at.address));
                id
            }
        };
        let wait = if at.refresh == Refresh::Watch { WATCH_MS } else { 0 };
        let path = format!("/engines?since={version}&wait_ms={wait}&who={}", self.index);
        if let Some(wire) = self.wires.get_mut(id) {
            http::write_request("GET", &path, b"", &mut wire.output);
            if self.connected {
                wire.flush(id, out);
            }
        }
        out.reset_timer(&mut self.timer, wait * 1000 + PATIENCE, TimerEvent::Registry);
    }

    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(wire) = self.wires.get_mut(id) {
            self.connected = true;
            wire.flush(id, out);
        }
    }

    /// Something came, or will come no more. Ask again while there is word.
    pub fn read(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Told> {
        let wire = self.wires.get_mut(id)?;
        let response = match http::take_response(&mut wire.input, wheelfield_endpoints::MAX_LIST_BYTES) {
            Ok(Some(response)) => response,
            Ok(None) if wire.read_closed => return self.failed("the registry closed the connection", out),
            Ok(None) => {
                wire.resume_reading(id, wheelfield_endpoints::MAX_LIST_BYTES, out);
                return None;
            }
            Err(fault) => return self.failed(&fault.to_string(), out),
        };
        if response.status != 200 {
            return self.failed(&format!("the registry answers {}", response.status), out);
        }
        (self.silent, self.waiting) = (false, false);
        // A call that waits there comes next; a registry that does not let it wait is not asked more often than this.
        let after = match self.at.map(|r| (r.refresh, r.poll_interval.0)) {
            Some((Refresh::Poll, every)) => every,
            _ => 1_000,
        };
        out.reset_timer(&mut self.timer, after, TimerEvent::Registry);
        Some(Told::List(response.body))
    }

    /// A call failed.
    pub fn failed(&mut self, reason: &str, out: &mut EffectQueue) -> Option<Told> {
        self.waiting = false;
        if let Some(id) = self.id.take() {
            self.wires.remove(id);
            out.push(Effect::Close(id));
        }
        if std::mem::replace(&mut self.silent, true) {
            debug!(reason, "the engine list could not be had");
        } else {
            warn!(reason, "the engine list could not be had; the last one stays");
        }
        if self.subscribes {
            out.cancel_timer(&mut self.timer);
            return Some(Told::Unavailable);
        }
        let every = self.at.map_or(1_000_000, |r| r.poll_interval.0);
        out.reset_timer(&mut self.timer, every, TimerEvent::Registry);
        None
    }
}
