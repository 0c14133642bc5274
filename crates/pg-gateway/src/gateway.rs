//! The public interface of the gateway: events in, effects out.

use crate::bootstrap::PgGatewayOptions;
use crate::clients;
use crate::coverage::Coverage;
use crate::dispatcher::Dispatcher;
use crate::event::GatewayEvent;
use crate::fault_injection::FaultInjection;
use crate::shutdown::Shutdown;
use crate::{cancels, engine_sessions, registry};
use std::net::SocketAddr;
use tracing::{info, warn};
use wheelfield_capture::Recorder;
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_endpoints::EngineFileEvent;
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, DatagramSocket, Effect, FailureCause, IoEvent, Listener, Protocol};

/// A gateway for PostgreSQL clients and engines.
pub struct PgGateway {
    dispatcher: Dispatcher,
}

impl PgGateway {
    /// Creates a gateway that has not started.
    pub fn new(config: Config, options: PgGatewayOptions) -> PgGateway {
        PgGateway { dispatcher: Dispatcher::new(config, options) }
    }

    /// The buffers of a connection.
    fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        match id.owner() {
            clients::CONNECTION_OWNER => self.dispatcher.clients.buffer(id),
            engine_sessions::CONNECTION_OWNER => self.dispatcher.engines.sessions.buffer(id),
            cancels::CONNECTION_OWNER => self.dispatcher.engines.cancel_requests().buffer(id),
            registry::CONNECTION_OWNER => self.dispatcher.registry.buffer(id),
            _ => self.dispatcher.admin.buffer(id),
        }
    }

    /// Accepts a connection and returns its ID; it should be read at once. `None` means that there is no
    /// capacity, and the socket is to be closed.
    pub fn accept(&mut self, now: i64, listener: Listener) -> Option<ConnId> {
        self.dispatcher.out.now = now;
        match listener {
            Listener::Clients => {
                let id = self.dispatcher.clients.accept(&mut self.dispatcher.out);
                // The client was in the accept backlog when the shutdown began. It is sent an error rather
                // than a reset.
                if self.dispatcher.shutdown != Shutdown::Running {
                    self.dispatcher.clients.shut_down(id, &mut self.dispatcher.out);
                }
                Some(id)
            }
            Listener::Admin => self.dispatcher.admin.accept(),
        }
    }

    /// How many bytes may be read from a connection now. After a zero, [`Effect::ResumeReading`] announces
    /// that reading may continue.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        match id.owner() {
            clients::CONNECTION_OWNER => self.dispatcher.clients.read_capacity(id),
            engine_sessions::CONNECTION_OWNER => self.dispatcher.engines.sessions.read_capacity(id),
            cancels::CONNECTION_OWNER => self.dispatcher.engines.cancel_requests().read_capacity(id),
            registry::CONNECTION_OWNER => self.dispatcher.registry.read_capacity(id),
            _ => self.dispatcher.admin.read_capacity(id),
        }
    }

    /// The bytes to write to a connection.
    pub fn output(&mut self, id: ConnId) -> &[u8] {
        self.buffer(id).map_or(&[], |buffer| &buffer.output)
    }

    /// Handles that this many bytes were written.
    pub fn bytes_written(&mut self, now: i64, id: ConnId, count: usize) {
        self.dispatcher.out.now = now;
        match id.owner() {
            clients::CONNECTION_OWNER => {
                let (resumed_session, is_done) =
                    self.dispatcher.clients.bytes_written(id, count, &mut self.dispatcher.out);
                self.dispatcher.readable_sessions.extend(resumed_session);
                if is_done {
                    self.dispatcher.disconnect_client(id);
                }
            }
            engine_sessions::CONNECTION_OWNER => {
                if let Some(attempt) = self.dispatcher.engines.bytes_written(id, count) {
                    self.dispatcher.driver.handle_input(now, Input::Dispatched(attempt));
                }
            }
            cancels::CONNECTION_OWNER => {
                self.dispatcher
                    .engines
                    .cancel_requests()
                    .buffer(id)
                    .map(|buffer| buffer.advance_written(count));
            }
            registry::CONNECTION_OWNER => {
                self.dispatcher.registry.buffer(id).map(|buffer| buffer.advance_written(count));
            }
            _ => self.dispatcher.admin.bytes_written(id, count, &mut self.dispatcher.out),
        }
    }

    /// When [`PgGateway::handle_timers`] is to be called next.
    pub fn next_timer_at(&self) -> Option<i64> {
        [
            self.dispatcher.driver.decision_engine().next_timer_at().map(|t| t.0),
            self.dispatcher.out.next_timer_at(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles due timers. All earlier events must have been handled before.
    pub fn handle_timers(&mut self, now: i64) {
        self.dispatcher.out.now = now;
        self.dispatcher.process_pending();
        self.dispatcher.driver.handle_timers(now);
        self.dispatcher.process_pending();
        while let Some(timer) = self.dispatcher.out.pop_due_timer() {
            self.dispatcher.handle_timer(timer);
            self.dispatcher.process_pending();
        }
    }

    /// Replaces the contents of `effects` by the effects of all events since the last call. All known
    /// events should be handled before, so that a query is not sent after its client has left.
    pub fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        self.dispatcher.process_pending();
        self.dispatcher.out.take(effects);
    }

    /// The name and count of each coverage point since the start.
    pub fn coverage(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.dispatcher.out.coverage()
    }

    /// The number of open connections, in any state.
    pub fn connection_count(&self) -> usize {
        self.dispatcher.connection_count()
    }

    /// The number of a new request to read the engine files, if there is one. [`EngineFileEvent::ReadCompleted`] with this
    /// number reports that they were read after the request.
    pub fn take_files_request(&mut self) -> Option<u64> {
        self.dispatcher.list_age.take_files_request()
    }

    /// Handles an event. Its effects are taken by [`PgGateway::take_effects`].
    pub fn handle(&mut self, now: i64, event: GatewayEvent<'_>) {
        self.dispatcher.out.now = now;
        match event {
            GatewayEvent::Started => self.dispatcher.handle_start(),
            GatewayEvent::Io(event) => self.dispatch_io(now, event),
            GatewayEvent::EndpointFiles(news) => {
                if let EngineFileEvent::ReadCompleted(number) = news {
                    self.dispatcher.list_age.note_files_read(number);
                    return;
                }
                self.dispatcher.out.record(Coverage::EndpointFilesRead);
                let change = self.dispatcher.endpoint_sets.update_from_files(news, now);
                self.dispatcher.apply_change(change);
            }
            GatewayEvent::GossipKeys(keys) => {
                if let Some(gossip) = &mut self.dispatcher.gossip {
                    gossip.update_keys(keys);
                }
            }
            GatewayEvent::ShutdownRequested => self.start_draining(),
            GatewayEvent::CaptureRequested => {
                if self.dispatcher.driver.request_capture(now) {
                    info!("in-memory capture requested");
                } else {
                    warn!("in-memory capture requested, but [capture] is not configured");
                }
            }
        }
    }

    fn dispatch_io(&mut self, now: i64, event: IoEvent<'_>) {
        match event {
            IoEvent::Connected(id) => self.connected(id),
            IoEvent::Received(id, bytes) => self.received(id, bytes, false),
            IoEvent::ReadClosed(id) => self.received(id, &[], true),
            IoEvent::PeerClosing(id) => self.peer_closing(id),
            IoEvent::ConnectionFailed { id, cause: FailureCause::ConnectNotAttempted, .. }
                if id.owner() == engine_sessions::CONNECTION_OWNER =>
            {
                self.dispatcher.engines.handle_connect_not_attempted(id, &mut self.dispatcher.out);
            }
            IoEvent::ConnectionFailed { id, writing, reason, .. } => {
                self.connection_broken(id, writing, reason)
            }
            IoEvent::Datagram(DatagramSocket::Peers, from, datagram) => {
                self.peer_datagram(now, from, datagram);
            }
            IoEvent::Datagram(DatagramSocket::Gossip, from, datagram) => {
                self.gossip_datagram(now, from, datagram);
            }
            IoEvent::Datagram(DatagramSocket::Discovery, ..) => {}
        }
    }

    fn connected(&mut self, id: ConnId) {
        match id.owner() {
            engine_sessions::CONNECTION_OWNER => {
                self.dispatcher.engines.connected(id, &mut self.dispatcher.out)
            }
            cancels::CONNECTION_OWNER => {
                self.dispatcher.engines.cancel_requests().connected(id, &mut self.dispatcher.out)
            }
            _ => self.dispatcher.registry.connected(id, &mut self.dispatcher.out),
        }
    }

    /// Handles that the peer has closed the connection, although some input may still be unread.
    fn peer_closing(&mut self, id: ConnId) {
        match id.owner() {
            clients::CONNECTION_OWNER => {
                if let Some(buffer) = self.dispatcher.clients.buffer(id) {
                    buffer.peer_closing = true;
                    self.dispatcher.ready_clients.push_back(id);
                }
            }
            engine_sessions::CONNECTION_OWNER => {
                if let Some(buffer) = self.dispatcher.engines.sessions.buffer(id) {
                    buffer.peer_closing = true;
                }
            }
            _ => {}
        }
    }

    fn connection_broken(&mut self, id: ConnId, writing: bool, reason: &str) {
        match id.owner() {
            clients::CONNECTION_OWNER => self.dispatcher.disconnect_client(id),
            engine_sessions::CONNECTION_OWNER => {
                self.dispatcher.engines.handle_broken(id, writing, reason, &mut self.dispatcher.out)
            }
            cancels::CONNECTION_OWNER => {
                self.dispatcher.engines.handle_cancel_failed(id, &mut self.dispatcher.out)
            }
            registry::CONNECTION_OWNER => {
                let update = self.dispatcher.registry.handle_failure(reason, &mut self.dispatcher.out);
                self.dispatcher.handle_registry_update(update);
            }
            _ => self.dispatcher.admin.remove(id, &mut self.dispatcher.out),
        }
    }

    /// Handles a datagram on the socket for load reports.
    fn peer_datagram(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) {
        let reports = self.dispatcher.peering.as_mut().and_then(|peering| peering.receive(from, datagram));
        self.dispatcher.out.record(if reports.is_some() {
            Coverage::LoadReportsReceived
        } else {
            Coverage::LoadReportsDropped
        });
        if let Some(reports) = reports {
            self.dispatcher.driver.handle_input(now, Input::PeerReports(reports));
        }
    }

    fn gossip_datagram(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) {
        let gossip = self.dispatcher.gossip.as_mut();
        if let Some(reports) =
            gossip.and_then(|gossip| gossip.receive(from, datagram, &mut self.dispatcher.out))
        {
            self.dispatcher.out.record(Coverage::LoadReportsReceived);
            self.dispatcher.driver.handle_input(now, Input::PeerReports(reports));
        }
    }

    fn start_draining(&mut self) {
        let clients = self.dispatcher.clients.len();
        let drain_timeout = self.dispatcher.config.timing.drain_timeout.0;
        if self.dispatcher.shutdown.start(clients, drain_timeout, &mut self.dispatcher.out) {
            self.dispatcher.clients.shut_down_idle(&mut self.dispatcher.out);
        }
    }

    /// Ends the gateway: announces its departure to the other controllers and returns the recorder, which
    /// must be closed too.
    pub fn end(&mut self, now: i64) -> Option<Recorder> {
        self.dispatcher.out.now = now;
        if let Some(gossip) = &mut self.dispatcher.gossip {
            gossip.leave(&mut self.dispatcher.out);
        }
        self.dispatcher.driver.take_recorder()
    }

    fn received(&mut self, id: ConnId, bytes: &[u8], ended: bool) {
        let truncate = id.owner() == engine_sessions::CONNECTION_OWNER
            && self.dispatcher.should_inject(FaultInjection::TruncateInput, 50);
        let Some(buffer) = self.buffer(id) else { return };
        buffer.receive(if truncate { &bytes[..bytes.len().saturating_sub(1)] } else { bytes });
        buffer.read_closed |= ended;
        match id.owner() {
            clients::CONNECTION_OWNER => self.dispatcher.ready_clients.push_back(id),
            engine_sessions::CONNECTION_OWNER => {
                self.dispatcher.readable_sessions.push_back(id);
            }
            cancels::CONNECTION_OWNER if ended => {
                self.dispatcher.engines.handle_cancel_closed(id, &mut self.dispatcher.out)
            }
            cancels::CONNECTION_OWNER => {
                self.dispatcher.engines.cancel_requests().received(id, &mut self.dispatcher.out)
            }
            registry::CONNECTION_OWNER => {
                let update = self.dispatcher.registry.read_response(id, &mut self.dispatcher.out);
                self.dispatcher.handle_registry_update(update);
            }
            _ => self.dispatcher.serve_admin(id),
        }
    }
}

impl Protocol for PgGateway {
    fn handle_start(&mut self, now: i64) {
        self.handle(now, GatewayEvent::Started);
    }
    fn accept(&mut self, now: i64, listener: Listener) -> Option<ConnId> {
        PgGateway::accept(self, now, listener)
    }
    fn begin_iteration(&mut self, now: i64) {
        self.dispatcher.out.now = now;
        self.dispatcher.note_activity();
    }
    fn handle_io(&mut self, now: i64, event: IoEvent<'_>) {
        self.handle(now, GatewayEvent::Io(event));
    }
    fn begin_shutdown(&mut self, now: i64) {
        self.handle(now, GatewayEvent::ShutdownRequested);
    }
    fn handle_listening_stopped(&mut self, now: i64) {
        self.dispatcher.out.now = now;
        self.dispatcher.out.mark_listening_stopped();
    }
    fn withdraw_stale_output(&mut self, now: i64, id: ConnId) {
        self.dispatcher.out.now = now;
        self.dispatcher.note_activity();
        if id.owner() == engine_sessions::CONNECTION_OWNER {
            let withdrawn = self.dispatcher.engines.withdraw_unwritten(id);
            self.dispatcher.withheld_attempts.extend(withdrawn);
        }
    }
    fn read_capacity(&mut self, id: ConnId) -> usize {
        PgGateway::read_capacity(self, id)
    }
    fn output(&mut self, id: ConnId) -> &[u8] {
        PgGateway::output(self, id)
    }
    fn bytes_written(&mut self, now: i64, id: ConnId, count: usize) {
        PgGateway::bytes_written(self, now, id, count);
    }
    fn next_timer_at(&self) -> Option<i64> {
        PgGateway::next_timer_at(self)
    }
    fn handle_timers(&mut self, now: i64) {
        PgGateway::handle_timers(self, now);
    }
    fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        PgGateway::take_effects(self, effects);
    }
}
