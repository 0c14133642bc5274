//! The door of the controller: what happened in, effects out.

use crate::clients;
use crate::flow::Flow;
use crate::launch::Launch;
use std::net::SocketAddr;
use wheelfield_sans_io::{ConnId, Door, Effect, Inside, Port, Socketed, Wire};

/// A controller on the operators' platform.
pub struct Platform {
    flow: Flow,
}

impl Platform {
    /// A controller that has not started.
    pub fn new(launch: Launch, now: i64) -> Platform {
        Platform { flow: Flow::new(launch, now) }
    }

    /// The configuration was replaced: its name service is asked from now on.
    pub fn turn_to(&mut self, now: i64, resolver: SocketAddr) {
        self.flow.out.now = now;
        self.flow.turn_to(resolver);
    }

    /// Connections and executors that it holds, for whoever looks after its growth.
    pub fn held(&self) -> usize {
        self.flow.held()
    }

    /// A fault for a judge to find: what went to executors is forgotten.
    #[cfg(feature = "planted")]
    pub fn forget_spent(&mut self) {
        self.flow.forget_spent();
    }

    /// What was counted of clients that left while their query waited.
    pub fn left(&self) -> crate::left::Counts {
        self.flow.left()
    }

    fn wire(&mut self, id: ConnId) -> Option<&mut Wire> {
        match id.room() {
            clients::ROOM => self.flow.clients.wire(id),
            _ => self.flow.executors.wire(id),
        }
    }
}

impl Inside for Platform {
    fn started(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.started();
    }

    fn accept(&mut self, now: i64, _: Door) -> Option<ConnId> {
        self.flow.out.now = now;
        self.flow.clients.accept(&mut self.flow.out)
    }

    fn socketed(&mut self, now: i64, what: Socketed<'_>) {
        self.flow.out.now = now;
        match what {
            Socketed::Connected(id) => self.flow.executors.connected(id, &mut self.flow.out),
            Socketed::Received(id, bytes) => {
                let Some(wire) = self.wire(id) else { return };
                wire.receive(bytes);
                self.read(id);
            }
            Socketed::Ended(id) => {
                let Some(wire) = self.wire(id) else { return };
                wire.ended = true;
                self.read(id);
            }
            Socketed::Closing(id) if id.room() == clients::ROOM => {
                let Some(wire) = self.wire(id) else { return };
                wire.closing = true;
                self.read(id);
            }
            Socketed::Closing(id) => self.flow.executors.closing(id, &mut self.flow.out),
            Socketed::Broken { id, .. } if id.room() == clients::ROOM => self.flow.client_gone(id),
            Socketed::Broken { id, refused: true, .. } => self.flow.executors.refused(id, &mut self.flow.out),
            Socketed::Broken { id, .. } => self.flow.executors.broken(id, &mut self.flow.out),
            Socketed::Datagram(Port::Peers, from, bytes) => self.flow.words(from, bytes),
            Socketed::Datagram(Port::Names, from, bytes) => self.flow.resolved(from, bytes),
            Socketed::Datagram(Port::Gossip, ..) => {}
        }
    }

    fn stop(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.stop();
    }

    fn room(&mut self, id: ConnId) -> usize {
        match id.room() {
            clients::ROOM => self.flow.clients.room(id),
            _ => self.flow.executors.room(id),
        }
    }

    fn output(&mut self, id: ConnId) -> &[u8] {
        self.wire(id).map_or(&[], |w| &w.output)
    }

    fn wrote(&mut self, now: i64, id: ConnId, n: usize) {
        self.flow.out.now = now;
        match id.room() {
            clients::ROOM => self.flow.clients.wrote(id, n, &mut self.flow.out),
            _ => self.flow.executors.wrote(id, n),
        }
    }

    fn next_due(&self) -> Option<i64> {
        let mind = self.flow.tape.mind().next_due().map(|t| t.0);
        [mind, self.flow.out.next()].into_iter().flatten().min()
    }

    fn due(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.settle();
        self.flow.tape.due(now);
        self.flow.settle();
        while let Some(wake) = self.flow.out.due() {
            self.flow.woken(wake);
            self.flow.settle();
        }
    }

    fn effects(&mut self, into: &mut Vec<Effect>) {
        self.flow.settle();
        self.flow.out.take(into);
    }
}

impl Platform {
    /// Something came on a connection. Clients are heard once all of this turn is known: whose client has left goes nowhere.
    fn read(&mut self, id: ConnId) {
        match id.room() {
            clients::ROOM => {
                self.flow.clients.came(id);
                self.flow.ready.push_back(id);
            }
            _ => self.flow.executors.read(id, &mut self.flow.out),
        }
    }
}
