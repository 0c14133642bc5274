//! The door of a controller: what happened in, effects out.

use crate::bootstrap::Start;
use crate::clients;
use crate::coverage::Coverage;
use crate::dispatcher::Dispatcher;
use crate::event::GatewayEvent;
use crate::fault_injection::FaultInjection;
use crate::shutdown::Stop;
use crate::{cancels, engine_sessions, registry};
use std::net::SocketAddr;
use tracing::{info, warn};
use wheelfield_capture::Recorder;
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_endpoints::EngineFileEvent;
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, DatagramSocket, Effect, IoEvent, Listener, Protocol};

/// A controller.
pub struct PgGateway {
    flow: Dispatcher,
}

impl PgGateway {
    /// A controller that has not started.
    pub fn new(config: Config, start: Start) -> PgGateway {
        PgGateway { flow: Dispatcher::new(config, start) }
    }

    /// The bytes of a connection.
    fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        match id.owner() {
            clients::ROOM => self.flow.clients.wire(id),
            engine_sessions::ROOM => self.flow.engines.sessions.wire(id),
            cancels::ROOM => self.flow.engines.cancels().wire(id),
            registry::ROOM => self.flow.call.wire(id),
            _ => self.flow.admin.wire(id),
        }
    }

    /// Somebody has connected; none if there is no room, and the socket is to be closed. Read from it at once.
    pub fn accept(&mut self, now: i64, door: Listener) -> Option<ConnId> {
        self.flow.out.now = now;
        match door {
            Listener::Clients => {
                let id = self.flow.clients.accept(&mut self.flow.out);
                // It waited to be taken as the word to stop came: it is told, in place of a broken connection.
                if self.flow.stop != Stop::Not {
                    self.flow.clients.end(id, &mut self.flow.out);
                }
                Some(id)
            }
            Listener::Admin => self.flow.admin.accept(),
        }
    }

    /// Bytes that may come on a connection now. After none, [`Effect::ResumeReading`] tells when some may.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        match id.owner() {
            clients::ROOM => self.flow.clients.room(id),
            engine_sessions::ROOM => self.flow.engines.sessions.room(id),
            cancels::ROOM => self.flow.engines.cancels().room(id),
            registry::ROOM => self.flow.call.room(id),
            _ => self.flow.admin.room(id),
        }
    }

    /// What is to go on a connection.
    pub fn output(&mut self, id: ConnId) -> &[u8] {
        self.wire(id).map_or(&[], |w| &w.output)
    }

    /// So much of it has gone.
    pub fn bytes_written(&mut self, now: i64, id: ConnId, n: usize) {
        self.flow.out.now = now;
        match id.owner() {
            clients::ROOM => {
                let (go_on, done) = self.flow.clients.wrote(id, n, &mut self.flow.out);
                self.flow.readable.extend(go_on);
                if done {
                    self.flow.client_gone(id);
                }
            }
            engine_sessions::ROOM => self.flow.engines.wrote(id, n),
            cancels::ROOM => {
                self.flow.engines.cancels().wire(id).map(|w| w.advance_written(n));
            }
            registry::ROOM => {
                self.flow.call.wire(id).map(|w| w.advance_written(n));
            }
            _ => self.flow.admin.wrote(id, n, &mut self.flow.out),
        }
    }

    /// When [`PgGateway::handle_timers`] is next wanted.
    pub fn next_timer_at(&self) -> Option<i64> {
        [self.flow.tape.decision_engine().next_timer_at().map(|t| t.0), self.flow.out.next_timer_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Lets the time pass, once all that happened until now is told.
    pub fn handle_timers(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.settle();
        self.flow.tape.handle_timers(now);
        self.flow.settle();
        while let Some(wake) = self.flow.out.pop_due_timer() {
            self.flow.woken(wake);
            self.flow.settle();
        }
    }

    /// What is to be done outside, of all that happened since the last call; `into` is emptied first. Tell all that is known
    /// to have happened before: a query whose client has left is not sent then.
    pub fn take_effects(&mut self, into: &mut Vec<Effect>) {
        self.flow.settle();
        self.flow.out.take(into);
    }

    /// What came to pass in it, by name, and how often since its start.
    pub fn coverage(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.flow.out.seen()
    }

    /// Connections that it holds, in whatever state.
    pub fn connections(&self) -> usize {
        self.flow.connections()
    }

    /// The number by which [`EngineFileEvent::ReadCompleted`] is to tell that the engine files were read from now on, if that is asked for.
    pub fn take_files_request(&mut self) -> Option<u64> {
        self.flow.list_age.take_files_request()
    }

    /// Handles an event. Its effects are taken by [`PgGateway::take_effects`].
    pub fn handle(&mut self, now: i64, event: GatewayEvent<'_>) {
        self.flow.out.now = now;
        match event {
            GatewayEvent::Started => self.flow.started(),
            GatewayEvent::Io(event) => self.dispatch_io(now, event),
            GatewayEvent::EndpointFiles(news) => {
                if let EngineFileEvent::ReadCompleted(number) = news {
                    self.flow.list_age.note_files_read(number);
                    return;
                }
                self.flow.out.saw(Coverage::FilesTaken);
                let change = self.flow.sets.news(news, now);
                self.flow.changed(change);
            }
            GatewayEvent::GossipKeys(keys) => {
                if let Some(gossip) = &mut self.flow.gossip {
                    gossip.keys(keys);
                }
            }
            GatewayEvent::ShutdownRequested => self.start_draining(),
            GatewayEvent::CaptureRequested => {
                if self.flow.tape.request_capture(now) {
                    info!("the capture in memory is asked for");
                } else {
                    warn!("a capture is asked for, and there is no [capture]");
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
            engine_sessions::ROOM => self.flow.engines.connected(id, &mut self.flow.out),
            cancels::ROOM => self.flow.engines.cancels().connected(id, &mut self.flow.out),
            _ => self.flow.call.connected(id, &mut self.flow.out),
        }
    }

    /// The other side has closed, though bytes of it may not have been read yet.
    fn peer_closing(&mut self, id: ConnId) {
        match id.owner() {
            clients::ROOM => {
                if let Some(wire) = self.flow.clients.wire(id) {
                    wire.peer_closing = true;
                    self.flow.ready.push_back(id);
                }
            }
            engine_sessions::ROOM => {
                if let Some(wire) = self.flow.engines.sessions.wire(id) {
                    wire.peer_closing = true;
                }
            }
            _ => {}
        }
    }

    fn connection_broken(&mut self, id: ConnId, writing: bool, reason: &str) {
        match id.owner() {
            clients::ROOM => self.flow.client_gone(id),
            engine_sessions::ROOM => self.flow.engines.broken(id, writing, reason, &mut self.flow.out),
            cancels::ROOM => self.flow.engines.cancel_failed(id, &mut self.flow.out),
            registry::ROOM => {
                let told = self.flow.call.failed(reason, &mut self.flow.out);
                self.flow.registry_told(told);
            }
            _ => self.flow.admin.remove(id, &mut self.flow.out),
        }
    }

    /// A load report of another controller arrived on the peers' socket.
    fn peer_datagram(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) {
        let words = self.flow.peering.as_mut().and_then(|peering| peering.hear(from, datagram));
        self.flow.out.saw(if words.is_some() { Coverage::WordsHeard } else { Coverage::WordsDropped });
        if let Some(words) = words {
            self.flow.tape.handle_input(now, Input::PeerReports(words));
        }
    }

    fn gossip_datagram(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) {
        let gossip = self.flow.gossip.as_mut();
        if let Some(words) = gossip.and_then(|gossip| gossip.hear(from, datagram, &mut self.flow.out)) {
            self.flow.out.saw(Coverage::WordsHeard);
            self.flow.tape.handle_input(now, Input::PeerReports(words));
        }
    }

    fn start_draining(&mut self) {
        let clients = self.flow.clients.len();
        let drain = self.flow.config.timing.drain.0;
        if self.flow.stop.begin(clients, drain, &mut self.flow.out) {
            self.flow.clients.end_idle(&mut self.flow.out);
        }
    }

    /// The controller ends: a goodbye to the others. Its recorder, to be ended too.
    pub fn end(&mut self, now: i64) -> Option<Recorder> {
        self.flow.out.now = now;
        if let Some(gossip) = &mut self.flow.gossip {
            gossip.leave(&mut self.flow.out);
        }
        self.flow.tape.take_recorder()
    }

    fn received(&mut self, id: ConnId, bytes: &[u8], ended: bool) {
        let cut = id.owner() == engine_sessions::ROOM && self.flow.planted(FaultInjection::Cut, 50);
        let Some(wire) = self.wire(id) else { return };
        wire.receive(if cut { &bytes[..bytes.len().saturating_sub(1)] } else { bytes });
        wire.read_closed |= ended;
        match id.owner() {
            clients::ROOM => self.flow.ready.push_back(id),
            engine_sessions::ROOM => {
                self.flow.readable.push_back(id);
            }
            cancels::ROOM if ended => self.flow.engines.cancel_over(id, &mut self.flow.out),
            cancels::ROOM => self.flow.engines.cancels().received(id, &mut self.flow.out),
            registry::ROOM => {
                let told = self.flow.call.read(id, &mut self.flow.out);
                self.flow.registry_told(told);
            }
            _ => self.flow.operator(id),
        }
    }
}

impl Protocol for PgGateway {
    fn handle_start(&mut self, now: i64) {
        self.handle(now, GatewayEvent::Started);
    }
    fn accept(&mut self, now: i64, door: Listener) -> Option<ConnId> {
        PgGateway::accept(self, now, door)
    }
    fn begin_iteration(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.note_activity();
    }
    fn handle_io(&mut self, now: i64, event: IoEvent<'_>) {
        self.handle(now, GatewayEvent::Io(event));
    }
    fn begin_shutdown(&mut self, now: i64) {
        self.handle(now, GatewayEvent::ShutdownRequested);
    }
    fn handle_listening_stopped(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.out.mark_listening_stopped();
    }
    fn read_capacity(&mut self, id: ConnId) -> usize {
        PgGateway::read_capacity(self, id)
    }
    fn output(&mut self, id: ConnId) -> &[u8] {
        PgGateway::output(self, id)
    }
    fn bytes_written(&mut self, now: i64, id: ConnId, n: usize) {
        PgGateway::bytes_written(self, now, id, n);
    }
    fn next_timer_at(&self) -> Option<i64> {
        PgGateway::next_timer_at(self)
    }
    fn handle_timers(&mut self, now: i64) {
        PgGateway::handle_timers(self, now);
    }
    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        PgGateway::take_effects(self, into);
    }
}
