//! The door of the controller: what happened in, effects out.

use crate::bootstrap::BootstrapConfig;
use crate::clients;
use crate::dispatcher::Dispatcher;
use std::net::SocketAddr;
use wheelfield_sans_io::{ConnId, ConnectionBuffer, DatagramSocket, Effect, IoEvent, Listener, Protocol};

/// A controller on the operators' platform.
pub struct Platform {
    flow: Dispatcher,
}

impl Platform {
    /// A controller that has not started.
    pub fn new(launch: BootstrapConfig, now: i64) -> Platform {
        Platform { flow: Dispatcher::new(launch, now) }
    }

    /// The configuration was replaced: its name service is asked from now on.
    pub fn use_resolver(&mut self, now: i64, resolver: SocketAddr) {
        self.flow.out.now = now;
        self.flow.turn_to(resolver);
    }

    /// Connections and executors that it holds, for whoever looks after its growth.
    pub fn connections_in_use(&self) -> usize {
        self.flow.held()
    }

    /// A fault for a judge to find: what went to executors is forgotten.
    #[cfg(feature = "planted")]
    pub fn prune_records(&mut self) {
        self.flow.forget_spent();
    }

    /// What was counted of clients that left while their query waited.
    pub fn abandonment_counts(&self) -> crate::abandonment::AbandonmentCounts {
        self.flow.left()
    }

    fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        match id.owner() {
            clients::OWNER => self.flow.clients.wire(id),
            _ => self.flow.executors.wire(id),
        }
    }
}

impl Protocol for Platform {
    fn handle_start(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.started();
    }

    fn accept(&mut self, now: i64, _: Listener) -> Option<ConnId> {
        self.flow.out.now = now;
        self.flow.clients.accept(&mut self.flow.out)
    }

    fn handle_io(&mut self, now: i64, what: IoEvent<'_>) {
        self.flow.out.now = now;
        match what {
            IoEvent::Connected(id) => self.flow.executors.connected(id, &mut self.flow.out),
            IoEvent::Received(id, bytes) => {
                let Some(wire) = self.wire(id) else { return };
                wire.receive(bytes);
                self.read(id);
            }
            IoEvent::Ended(id) => {
                let Some(wire) = self.wire(id) else { return };
                wire.read_closed = true;
                self.read(id);
            }
            IoEvent::Closing(id) if id.owner() == clients::OWNER => {
                let Some(wire) = self.wire(id) else { return };
                wire.peer_closing = true;
                self.read(id);
            }
            IoEvent::Closing(id) => self.flow.executors.closing(id, &mut self.flow.out),
            IoEvent::Broken { id, .. } if id.owner() == clients::OWNER => self.flow.client_gone(id),
            IoEvent::Broken { id, refused: true, .. } => self.flow.executors.refused(id, &mut self.flow.out),
            IoEvent::Broken { id, .. } => self.flow.executors.broken(id, &mut self.flow.out),
            IoEvent::Datagram(DatagramSocket::Peers, from, bytes) => self.flow.words(from, bytes),
            IoEvent::Datagram(DatagramSocket::Discovery, from, bytes) => self.flow.resolved(from, bytes),
            IoEvent::Datagram(DatagramSocket::Gossip, ..) => {}
        }
    }

    fn begin_shutdown(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.stop();
    }

    fn read_capacity(&mut self, id: ConnId) -> usize {
        match id.owner() {
            clients::OWNER => self.flow.clients.room(id),
            _ => self.flow.executors.room(id),
        }
    }

    fn output(&mut self, id: ConnId) -> &[u8] {
        self.wire(id).map_or(&[], |w| &w.output)
    }

    fn bytes_written(&mut self, now: i64, id: ConnId, n: usize) {
        self.flow.out.now = now;
        match id.owner() {
            clients::OWNER => self.flow.clients.wrote(id, n, &mut self.flow.out),
            _ => self.flow.executors.wrote(id, n),
        }
    }

    fn next_timer_at(&self) -> Option<i64> {
        let mind = self.flow.tape.decision_engine().next_timer_at().map(|t| t.0);
        [mind, self.flow.out.next_timer_at()].into_iter().flatten().min()
    }

    fn handle_timers(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.settle();
        self.flow.tape.handle_timers(now);
        self.flow.settle();
        while let Some(wake) = self.flow.out.pop_due_timer() {
            self.flow.woken(wake);
            self.flow.settle();
        }
    }

    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        self.flow.settle();
        self.flow.out.take(into);
    }
}

impl Platform {
    /// Something came on a connection. Clients are heard once all of this turn is known: whose client has left goes nowhere.
    fn read(&mut self, id: ConnId) {
        match id.owner() {
            clients::OWNER => {
                self.flow.clients.came(id);
                self.flow.ready.push_back(id);
            }
            _ => self.flow.executors.read(id, &mut self.flow.out),
        }
    }
}
