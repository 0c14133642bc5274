//! The processes on the modelled network: passes events to their protocol code and applies the
//! effects that the code requests.

use super::network::{EndId, NetworkEvent, ProcessId, ReadResult};
use super::{Event, Simulation, FIRST_GOSSIP_PORT};
use crate::client_model::ClientAction;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use wheelfield_endpoints::EngineFileEvent;
use wheelfield_engine_emulator::engine::{EngineAction, JournalEntry};
use wheelfield_engine_emulator::registry::EngineStatus;
use wheelfield_invariants::{HistoryEvent, UnavailableEngine};
use wheelfield_network_faults::Delivery;
use wheelfield_pg_gateway::{DatagramSocket, Effect, GatewayEvent, Listener};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol as _};

/// Converts a log entry of an emulated engine or of the registry to the form that the rule checks
/// read.
fn history_event(e: JournalEntry) -> HistoryEvent {
    let status = |s: EngineStatus| if s == EngineStatus::Draining { "draining" } else { "removed" };
    let not_up = e.not_up.unwrap_or_default().into_iter();
    HistoryEvent {
        at: e.t,
        event: e.event.to_string(),
        engine: e.engine,
        query: e.query,
        sent_by: e.by,
        capacity_fraction: e.warmth.unwrap_or(0.0),
        zone: e.zone.unwrap_or_default(),
        kind: e.kind.unwrap_or_default(),
        cell: e.cell.unwrap_or(0),
        controller: e.who.unwrap_or_default(),
        unavailable_engines: not_up
            .map(|n| UnavailableEngine { engine: n.engine, status: status(n.status).into() })
            .collect(),
        value: e.value.unwrap_or(0.0),
    }
}

impl Simulation<'_> {
    /// Schedules the events that the network has produced.
    pub(super) fn schedule_network_events(&mut self) {
        for (at, event) in self.network.pending_events.drain(..) {
            self.events.set(at.max(self.now), Event::Network(event));
        }
    }

    /// Withholds an event if it is for a stalled controller, and returns it otherwise. What the
    /// operating system does without the process, such as establishing connections and receiving
    /// data, still happens. Datagrams to a stalled controller are lost.
    pub(super) fn withhold_if_stalled(&mut self, event: Event) -> Option<Event> {
        let process = match &event {
            Event::Network(NetworkEvent::SynAck(connection) | NetworkEvent::Refused(connection)) => {
                self.network.owner((*connection, 0)).map(|(p, _)| p)
            }
            Event::Network(NetworkEvent::Window(end)) | Event::Deliver(end) => {
                self.network.owner(*end).map(|(p, _)| p)
            }
            Event::Accept(connection) => self.network.owner((*connection, 1)).map(|(p, _)| p),
            Event::ControllerTimer(c, _) | Event::ReadEngineFile(c, ..) => Some(ProcessId::Controller(*c)),
            Event::Datagram(_, _, c, _) if self.withheld_events[*c].is_some() => return None,
            _ => None,
        };
        let Some(ProcessId::Controller(c)) = process else { return Some(event) };
        match (&mut self.withheld_events[c], &event) {
            (Some(_), Event::ControllerTimer(..)) => None,
            (Some(withheld), _) => {
                withheld.push(event);
                None
            }
            _ => Some(event),
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub(super) fn handle_network_event(&mut self, event: NetworkEvent) {
        let now = self.now;
        match event {
            NetworkEvent::Syn(connection) => {
                let is_listening = match self.network.owner((connection, 1)) {
                    Some((ProcessId::Controller(c), _)) => self.gateways[c].is_some(),
                    Some((ProcessId::Engine(e), _)) => self.engines[e].model.is_up(),
                    other => other.is_some(),
                };
                if is_listening {
                    self.network.establish(now, connection);
                    self.dispatch(Event::Accept(connection));
                } else {
                    self.network.refuse(now, connection);
                }
            }
            NetworkEvent::SynAck(connection) => match self.network.owner((connection, 0)) {
                Some((ProcessId::Controller(c), Some(id))) => {
                    if let Some(gateway) = &mut self.gateways[c] {
                        gateway.handle(now, GatewayEvent::Io(IoEvent::Connected(id)));
                    }
                    self.apply_effects(ProcessId::Controller(c));
                }
                Some((ProcessId::Clients, Some(id))) if id.owner() == 2 => {
                    if let Some(bytes) = self.cancel_requests.remove(id) {
                        self.network.write(now, (connection, 0), &bytes);
                        self.network.close(now, ProcessId::Clients, id, false);
                    }
                }
                Some((ProcessId::Clients, Some(id))) => {
                    self.clients.connected(id);
                    self.apply_effects(ProcessId::Clients);
                }
                _ => {}
            },
            NetworkEvent::Refused(connection) => {
                if let Some((process, Some(id))) = self.network.owner((connection, 0)) {
                    self.connection_failed(process, id, true);
                    self.apply_effects(process);
                }
            }
            NetworkEvent::Data(end, bytes) => {
                if self.network.receive(now, end, bytes) {
                    self.dispatch(Event::Deliver(end));
                }
            }
            NetworkEvent::Fin(end) => {
                if self.network.end_stream(end, false) {
                    self.dispatch(Event::Deliver(end));
                }
            }
            NetworkEvent::Rst(end) => {
                if self.network.end_stream(end, true) {
                    self.dispatch(Event::Deliver(end));
                }
            }
            NetworkEvent::Window(end) => {
                if let Some((process, Some(id))) = self.network.owner(end) {
                    self.write(process, id);
                    self.apply_effects(process);
                }
            }
        }
    }

    pub(super) fn accept(&mut self, connection: ConnId) {
        let Some((process, None)) = self.network.owner((connection, 1)) else { return };
        let id = match process {
            ProcessId::Controller(c) => {
                let now = self.now;
                self.gateways[c].as_mut().and_then(|g| g.accept(now, Listener::Clients))
            }
            ProcessId::Engine(e) => Some(self.engines[e].accept()),
            ProcessId::Registry => Some(self.registry_server.accept()),
            ProcessId::Clients => None,
        };
        if let Some(id) = id {
            self.network.accept(connection, id);
            self.deliver((connection, 1));
        }
    }

    /// A process reads from one of its connections as much as it has room for.
    pub(super) fn deliver(&mut self, end: EndId) {
        let now = self.now;
        let Some((process, Some(id))) = self.network.owner(end) else { return };
        if let ProcessId::Engine(e) = process {
            if self.engines[e].is_hung() {
                // After this call the engine requests a read when it resumes.
                self.engines[e].read_capacity(id);
                return;
            }
        }
        if self.network.is_ending(end) {
            match process {
                ProcessId::Controller(c) => {
                    if let Some(gateway) = &mut self.gateways[c] {
                        gateway.handle(now, GatewayEvent::Io(IoEvent::PeerClosing(id)));
                    }
                }
                ProcessId::Clients if id.owner() == 1 => self.clients.peer_closing(id),
                _ => {}
            }
        }
        loop {
            let capacity = match process {
                ProcessId::Controller(c) => self.gateways[c].as_mut().map_or(0, |g| g.read_capacity(id)),
                ProcessId::Engine(e) => self.engines[e].read_capacity(id),
                ProcessId::Registry | ProcessId::Clients => usize::MAX,
            };
            match self.network.read(now, end, capacity) {
                ReadResult::Bytes(bytes) => match process {
                    ProcessId::Controller(c) => {
                        if let Some(gateway) = &mut self.gateways[c] {
                            gateway.handle(now, GatewayEvent::Io(IoEvent::Received(id, &bytes)));
                        }
                    }
                    ProcessId::Engine(e) => self.engines[e].receive(id, &bytes, now),
                    ProcessId::Registry => self.registry_server.receive(id, &bytes, now),
                    ProcessId::Clients => self.clients.receive(id, &bytes, now),
                },
                ReadResult::Fin => {
                    match process {
                        ProcessId::Controller(c) => {
                            if let Some(gateway) = &mut self.gateways[c] {
                                gateway.handle(now, GatewayEvent::Io(IoEvent::ReadClosed(id)));
                            }
                        }
                        _ => self.connection_failed(process, id, false),
                    }
                    break;
                }
                ReadResult::Reset => {
                    self.connection_failed(process, id, false);
                    break;
                }
                ReadResult::Empty => break,
            }
        }
        self.apply_effects(process);
    }

    /// Tells a process that its connection was reset or could not be established.
    fn connection_failed(&mut self, process: ProcessId, id: ConnId, writing: bool) {
        let now = self.now;
        match process {
            ProcessId::Controller(c) => {
                if let Some(gateway) = &mut self.gateways[c] {
                    let failure = IoEvent::ConnectionFailed {
                        id,
                        writing,
                        cause: FailureCause::ConnectionLost,
                        reason: "broken",
                    };
                    gateway.handle(now, GatewayEvent::Io(failure));
                }
            }
            ProcessId::Engine(e) => self.engines[e].peer_closed(id, now),
            ProcessId::Registry => self.registry_server.peer_closed(id),
            ProcessId::Clients if id.owner() == 2 => {
                self.cancel_requests.remove(id);
                self.network.close(now, process, id, false);
            }
            ProcessId::Clients => self.clients.handle_broken(id, now),
        }
    }

    /// Writes the output of a connection, as far as the network accepts it.
    fn write(&mut self, process: ProcessId, id: ConnId) {
        let now = self.now;
        let Some(end) = self.network.end_of(process, id) else { return };
        loop {
            let bytes = match process {
                ProcessId::Controller(c) => self.gateways[c].as_mut().map_or(&[][..], |g| g.output(id)),
                ProcessId::Engine(e) => self.engines[e].output(id),
                ProcessId::Registry => self.registry_server.output(id),
                ProcessId::Clients => self.clients.output(id),
            };
            if bytes.is_empty() {
                return;
            }
            match self.network.write(now, end, bytes) {
                None => return self.connection_failed(process, id, true),
                Some(0) => return,
                Some(n) => match process {
                    ProcessId::Controller(c) => {
                        if let Some(gateway) = &mut self.gateways[c] {
                            gateway.bytes_written(now, id, n);
                        }
                    }
                    ProcessId::Engine(e) => self.engines[e].bytes_written(id, n, now),
                    ProcessId::Registry => self.registry_server.bytes_written(id, n),
                    ProcessId::Clients => self.clients.bytes_written(id, n),
                },
            }
        }
    }

    pub(super) fn receive_datagram(
        &mut self,
        port: DatagramSocket,
        from: SocketAddr,
        to: usize,
        bytes: &[u8],
    ) {
        let Some(gateway) = &mut self.gateways[to] else { return };
        if port == DatagramSocket::Discovery {
            return;
        }
        gateway.handle(self.now, GatewayEvent::Io(IoEvent::Datagram(port, from, bytes)));
        self.apply_effects(ProcessId::Controller(to));
    }

    pub(super) fn read_engine_file(&mut self, c: usize, generation: u64) {
        let set = Arc::new(self.engine_set.clone());
        let Some(gateway) = self.gateways[c].as_mut().filter(|_| self.generations[c] == generation) else {
            return;
        };
        gateway.handle(self.now, GatewayEvent::EndpointFiles(EngineFileEvent::Activated(set)));
        self.apply_effects(ProcessId::Controller(c));
    }

    // --- effects of processes ---

    /// Applies the effects that a process requests, and schedules its next timer.
    pub(super) fn apply_effects(&mut self, process: ProcessId) {
        let next = match process {
            ProcessId::Controller(c) if self.resuming_controller == Some(c) => return,
            ProcessId::Controller(c) => self.apply_controller_effects(c),
            ProcessId::Engine(e) => self.apply_engine_effects(e),
            ProcessId::Registry => self.apply_registry_effects(),
            ProcessId::Clients => self.apply_client_effects(),
        };
        let next = next.map(|at| at.max(self.now + 1));
        let scheduled = self.wake_timers.by_process.get(&process).copied();
        if scheduled.map(|(at, _)| at).filter(|at| *at > self.now) == next {
            return;
        }
        if let Some((_, key)) = self.wake_timers.by_process.remove(&process) {
            self.events.cancel(key);
        }
        if let Some(at) = next {
            let event = match process {
                ProcessId::Controller(c) => Event::ControllerTimer(c, self.generations[c]),
                ProcessId::Engine(e) => Event::EngineTimer(e),
                ProcessId::Registry => Event::RegistryTimer,
                ProcessId::Clients => Event::ClientsTimer,
            };
            let key = self.events.set(at, event);
            self.wake_timers.by_process.insert(process, (at, key));
        }
    }

    fn apply_controller_effects(&mut self, c: usize) -> Option<i64> {
        let (now, process) = (self.now, ProcessId::Controller(c));
        let mut effects = Vec::new();
        loop {
            self.gateways[c].as_mut()?.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Connect(id, to) => match self.process_by_address.get(&to) {
                        Some(target) => self.network.connect(now, process, id, *target),
                        None => self.connection_failed(process, id, true),
                    },
                    Effect::Write(id) => self.write(process, id),
                    Effect::ResumeReading(id) => {
                        if let Some(end) = self.network.end_of(process, id) {
                            self.deliver(end);
                        }
                    }
                    Effect::Close(id) => self.network.close(now, process, id, false),
                    Effect::Send(port, to, datagram) => self.send(port, c, to, datagram),
                    Effect::StopListening => self.gateways[c].as_mut()?.handle_listening_stopped(now),
                    Effect::Stopped => {}
                }
            }
        }
        self.gateways[c].as_ref()?.next_timer_at()
    }

    fn send(&mut self, port: DatagramSocket, c: usize, to: SocketAddr, datagram: Vec<u8>) {
        let peers = self.config.peers.as_ref().map_or(&[][..], |p| &p.addresses);
        let (target, from) = match port {
            // Controller `i` has the peer port `i + 1`.
            DatagramSocket::Peers => (usize::from(to.port()).wrapping_sub(1), peers.get(c).copied()),
            DatagramSocket::Discovery => return,
            DatagramSocket::Gossip => {
                let own = SocketAddr::new(to.ip(), FIRST_GOSSIP_PORT + c as u16);
                (usize::from(to.port().wrapping_sub(FIRST_GOSSIP_PORT)), Some(own))
            }
        };
        let Some(from) = from.filter(|_| target < self.gateways.len()) else { return };
        self.datagrams_sent += 1;
        let datagram = Bytes::from(datagram);
        // Link faults apply to gossip alone; the faults of the network apply to all datagrams.
        let arrivals = match port {
            DatagramSocket::Gossip => self.gossip_links.transmit(c, target, self.now, &datagram),
            _ => vec![Delivery { at: self.now, bytes: datagram.to_vec() }],
        };
        for arrival in arrivals {
            let bytes = Bytes::from(arrival.bytes);
            for at in self.network.datagram_arrivals(arrival.at).into_iter().flatten() {
                self.events.set(at, Event::Datagram(port, from, target, bytes.clone()));
            }
        }
    }

    fn apply_engine_effects(&mut self, e: usize) -> Option<i64> {
        let (now, process) = (self.now, ProcessId::Engine(e));
        let mut actions = Vec::new();
        loop {
            self.engines[e].take_actions(&mut actions);
            if actions.is_empty() {
                break;
            }
            for action in actions.drain(..) {
                match action {
                    EngineAction::Write(id) => self.write(process, id),
                    EngineAction::Read(id) => {
                        if let Some(end) = self.network.end_of(process, id) {
                            self.deliver(end);
                        }
                    }
                    EngineAction::Close(id, reset) => self.network.close(now, process, id, reset),
                    EngineAction::ProcessExited => {
                        self.network.kill(now, process);
                        let at = now + self.setup.removal_delay + self.registry_delay;
                        self.registry_server.schedule_change(
                            at,
                            &self.engines[e].name,
                            EngineStatus::Removed,
                            None,
                        );
                        self.apply_effects(ProcessId::Registry);
                    }
                    EngineAction::ProcessStarted => {
                        let at = now + self.setup.listing_delay + self.registry_delay;
                        self.registry_server.schedule_change(
                            at,
                            &self.engines[e].name,
                            EngineStatus::Up,
                            Some(now),
                        );
                        self.apply_effects(ProcessId::Registry);
                    }
                }
            }
        }
        self.log.extend(self.engines[e].drain_journal().map(history_event));
        self.engines[e].next_timer_at()
    }

    fn apply_registry_effects(&mut self) -> Option<i64> {
        let (now, process) = (self.now, ProcessId::Registry);
        let mut actions = Vec::new();
        loop {
            self.registry_server.take_actions(&mut actions);
            if actions.is_empty() {
                break;
            }
            for action in actions.drain(..) {
                match action {
                    EngineAction::Write(id) => self.write(process, id),
                    EngineAction::Close(id, reset) => self.network.close(now, process, id, reset),
                    EngineAction::Read(_) | EngineAction::ProcessExited | EngineAction::ProcessStarted => {}
                }
            }
        }
        self.log.extend(self.registry_server.drain_journal().map(history_event));
        self.registry_server.next_timer_at()
    }

    fn apply_client_effects(&mut self) -> Option<i64> {
        let (now, process) = (self.now, ProcessId::Clients);
        let mut requests = Vec::new();
        loop {
            self.clients.take_actions(&mut requests);
            if requests.is_empty() {
                break;
            }
            for request in requests.drain(..) {
                match request {
                    ClientAction::Connect(id, c) => {
                        self.network.connect(now, process, id, ProcessId::Controller(c))
                    }
                    ClientAction::Write(id) => self.write(process, id),
                    ClientAction::Close(id) => self.network.close(now, process, id, false),
                    ClientAction::Cancel(c, bytes) => {
                        let id = self.cancel_requests.insert(bytes);
                        self.network.connect(now, process, id, ProcessId::Controller(c));
                    }
                }
            }
        }
        self.clients.next_timer_at()
    }
}
