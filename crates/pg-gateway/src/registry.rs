//! The HTTP client of the registry, which provides the engine list: polls it, or waits for changes by long
//! polling.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use tracing::{debug, warn};
use wheelfield_config::{Config, Refresh, Registry};
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{http, ConnId, ConnectionTable, TimerKey};

pub(crate) const CONNECTION_OWNER: u8 = 4;
/// How long the registry holds a long-polling request before it responds without a change.
const WATCH_WAIT_MS: i64 = 20_000;
/// Time limit for a response, in addition to the waiting time of a long-polling request.
const RESPONSE_TIMEOUT_US: i64 = 2_000_000;

/// Time after which the first of several failed requests is repeated. It doubles with each failure, up to the polling interval. A list
/// may have been on its way over a connection that broke, and queries must not be sent to engines that drain by it.
const FIRST_RETRY_US: i64 = 50_000;
/// Polling interval without a configured registry, in microseconds.
const DEFAULT_POLL_INTERVAL_US: i64 = 1_000_000;

/// The result of a request.
pub(crate) enum RegistryUpdate {
    /// The body of an engine list.
    List(Bytes),
    /// No list is available.
    Unavailable,
}

/// The registry client.
#[derive(Debug)]
pub(crate) struct RegistryClient {
    registry: Option<Registry>,
    gateway_index: u64,
    /// Contains at most one connection.
    connections: ConnectionTable<ConnectionBuffer>,
    connection: Option<ConnId>,
    connected: bool,
    /// A request is in progress.
    awaiting_response: bool,
    timer: Option<TimerKey>,
    /// The last request failed, which has been logged.
    pub is_unavailable: bool,
    /// Number of requests that have failed since the last response.
    failed_requests: u32,
    /// The driver requests the lists, so failed requests are not repeated here.
    driver_requests_lists: bool,
}

impl RegistryClient {
    pub fn new(config: &Config) -> RegistryClient {
        RegistryClient {
            registry: config.registry,
            gateway_index: config.settings.gateway_index as u64,
            connections: ConnectionTable::new(CONNECTION_OWNER),
            connection: None,
            connected: false,
            awaiting_response: false,
            timer: None,
            is_unavailable: false,
            failed_requests: 0,
            driver_requests_lists: config.settings.subscribe,
        }
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections.get_mut(id)
    }

    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.connections
            .get_mut(id)
            .map_or(0, |buffer| buffer.read_capacity(wheelfield_endpoints::MAX_LIST_BYTES))
    }

    /// Whether a request is in progress.
    pub fn is_awaiting_response(&self) -> bool {
        self.awaiting_response
    }

    /// Starts a new request and aborts one in progress, since its response may be out of date.
    pub fn restart_request(&mut self, version: u64, out: &mut EffectQueue) {
        if let Some(id) = self.connection.take_if(|_| self.awaiting_response) {
            self.connections.remove(id);
            out.push(Effect::Close(id));
        }
        self.request_list(version, out);
    }

    /// Requests a list newer than this version, on the open connection or a new one.
    pub fn request_list(&mut self, version: u64, out: &mut EffectQueue) {
        let Some(registry) = self.registry else { return };
        self.awaiting_response = true;
        let id = match self.connection {
            Some(id) => id,
            None => {
                let id = self.connections.insert(ConnectionBuffer::default());
                (self.connection, self.connected) = (Some(id), false);
                out.push(Effect::Connect(id, registry.address));
                id
            }
        };
        let wait_ms = if registry.refresh == Refresh::Watch { WATCH_WAIT_MS } else { 0 };
        let path = format!("/engines?since={version}&wait_ms={wait_ms}&who={}", self.gateway_index);
        if let Some(buffer) = self.connections.get_mut(id) {
            http::write_request("GET", &path, b"", &mut buffer.output);
            if self.connected {
                buffer.flush(id, out);
            }
        }
        out.reset_timer(&mut self.timer, wait_ms * 1000 + RESPONSE_TIMEOUT_US, TimerEvent::RegistryRequest);
    }

    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(buffer) = self.connections.get_mut(id) {
            self.connected = true;
            buffer.flush(id, out);
        }
    }

    /// Reads a response once it is complete. Fails the request if the connection was closed before.
    pub fn read_response(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<RegistryUpdate> {
        let buffer = self.connections.get_mut(id)?;
        let response = match http::take_response(&mut buffer.input, wheelfield_endpoints::MAX_LIST_BYTES) {
            Ok(Some(response)) => response,
            Ok(None) if buffer.read_closed => {
                return self.handle_failure("the registry closed the connection", out)
            }
            Ok(None) => {
                buffer.resume_reading(id, wheelfield_endpoints::MAX_LIST_BYTES, out);
                return None;
            }
            Err(error) => return self.handle_failure(&error.to_string(), out),
        };
        if response.status != 200 {
            return self
                .handle_failure(&format!("the registry responded with status {}", response.status), out);
        }
        (self.is_unavailable, self.awaiting_response) = (false, false);
        self.failed_requests = 0;
        // A long-polling request is repeated after this delay, which limits the rate if the registry
        // responds at once.
        let delay = match self.registry.map(|registry| (registry.refresh, registry.poll_interval.0)) {
            Some((Refresh::Poll, poll_interval)) => poll_interval,
            _ => 1_000,
        };
        out.reset_timer(&mut self.timer, delay, TimerEvent::RegistryRequest);
        Some(RegistryUpdate::List(response.body))
    }

    /// Handles a failed request.
    pub fn handle_failure(&mut self, reason: &str, out: &mut EffectQueue) -> Option<RegistryUpdate> {
        self.awaiting_response = false;
        if let Some(id) = self.connection.take() {
            self.connections.remove(id);
            out.push(Effect::Close(id));
        }
        if std::mem::replace(&mut self.is_unavailable, true) {
            debug!(reason, "the engine list is unavailable");
        } else {
            warn!(reason, "the engine list is unavailable; keeping the previous list");
        }
        if self.driver_requests_lists {
            out.cancel_timer(&mut self.timer);
            return Some(RegistryUpdate::Unavailable);
        }
        let delay = self.retry_delay_us();
        self.failed_requests = self.failed_requests.saturating_add(1);
        out.reset_timer(&mut self.timer, delay, TimerEvent::RegistryRequest);
        None
    }

    fn retry_delay_us(&self) -> i64 {
        let poll_interval =
            self.registry.map_or(DEFAULT_POLL_INTERVAL_US, |registry| registry.poll_interval.0);
        let doublings = self.failed_requests.min(i64::BITS / 4);
        (FIRST_RETRY_US << doublings).min(poll_interval)
    }
}
