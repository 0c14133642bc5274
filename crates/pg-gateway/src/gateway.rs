//! The door of a controller: what happened in, effects out.

use crate::clients;
use crate::flow::Flow;
use crate::happened::Happened;
use crate::plant::Plant;
use crate::seen::Seen;
use crate::start::Start;
use crate::stop::Stop;
use crate::{cancels, registry, sessions};
use tracing::{info, warn};
use wheelfield_capture::Recorder;
use wheelfield_config::Config;
use wheelfield_driver::Input;
use wheelfield_sans_io::Wire;
use wheelfield_sans_io::{ConnId, Door, Effect, Inside, Port, Socketed};

/// A controller.
pub struct Gate {
    flow: Flow,
}

impl Gate {
    /// A controller that has not started.
    pub fn new(config: Config, start: Start) -> Gate {
        Gate { flow: Flow::new(config, start) }
    }

    /// The bytes of a connection.
    fn wire(&mut self, id: ConnId) -> Option<&mut Wire> {
        match id.room() {
            clients::ROOM => self.flow.clients.wire(id),
            sessions::ROOM => self.flow.engines.sessions.wire(id),
            cancels::ROOM => self.flow.engines.cancels().wire(id),
            registry::ROOM => self.flow.call.wire(id),
            _ => self.flow.admin.wire(id),
        }
    }

    /// Somebody has connected; none if there is no room, and the socket is to be closed. Read from it at once.
    pub fn accept(&mut self, now: i64, door: Door) -> Option<ConnId> {
        self.flow.out.now = now;
        match door {
            Door::Clients => {
                let id = self.flow.clients.accept(&mut self.flow.out);
                // It waited to be taken as the word to stop came: it is told, in place of a broken connection.
                if self.flow.stop != Stop::Not {
                    self.flow.clients.end(id, &mut self.flow.out);
                }
                Some(id)
            }
            Door::Admin => self.flow.admin.accept(),
        }
    }

    /// Bytes that may come on a connection now. After none, [`Effect::Read`] tells when some may.
    pub fn room(&mut self, id: ConnId) -> usize {
        match id.room() {
            clients::ROOM => self.flow.clients.room(id),
            sessions::ROOM => self.flow.engines.sessions.room(id),
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
    pub fn wrote(&mut self, now: i64, id: ConnId, n: usize) {
        self.flow.out.now = now;
        match id.room() {
            clients::ROOM => {
                let (go_on, done) = self.flow.clients.wrote(id, n, &mut self.flow.out);
                self.flow.readable.extend(go_on);
                if done {
                    self.flow.client_gone(id);
                }
            }
            sessions::ROOM => self.flow.engines.wrote(id, n),
            cancels::ROOM => {
                self.flow.engines.cancels().wire(id).map(|w| w.wrote(n));
            }
            registry::ROOM => {
                self.flow.call.wire(id).map(|w| w.wrote(n));
            }
            _ => self.flow.admin.wrote(id, n, &mut self.flow.out),
        }
    }

    /// When [`Gate::due`] is next wanted.
    pub fn next_due(&self) -> Option<i64> {
        [self.flow.tape.mind().next_due().map(|t| t.0), self.flow.out.next()].into_iter().flatten().min()
    }

    /// Lets the time pass, once all that happened until now is told.
    pub fn due(&mut self, now: i64) {
        self.flow.out.now = now;
        self.flow.settle();
        self.flow.tape.due(now);
        self.flow.settle();
        while let Some(wake) = self.flow.out.due() {
            self.flow.woken(wake);
            self.flow.settle();
        }
    }

    /// What is to be done outside, of all that happened since the last call; `into` is emptied first. Tell all that is known
    /// to have happened before: a query whose client has left is not sent then.
    pub fn effects(&mut self, into: &mut Vec<Effect>) {
        self.flow.settle();
        self.flow.out.take(into);
    }

    /// What came to pass in it, by name, and how often since its start.
    pub fn seen(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.flow.out.seen()
    }

    /// Connections that it holds, in whatever state.
    pub fn connections(&self) -> usize {
        self.flow.connections()
    }

    /// Something happened. What comes of it is told by [`Gate::effects`].
    pub fn happen(&mut self, now: i64, what: Happened<'_>) {
        self.flow.out.now = now;
        match what {
            Happened::Started => self.flow.started(),
            Happened::Connected(id) => match id.room() {
                sessions::ROOM => self.flow.engines.connected(id, &mut self.flow.out),
                cancels::ROOM => self.flow.engines.cancels().connected(id, &mut self.flow.out),
                _ => self.flow.call.connected(id, &mut self.flow.out),
            },
            Happened::Received(id, bytes) => self.received(id, bytes, false),
            Happened::Ended(id) => self.received(id, &[], true),
            Happened::Closing(id) => match id.room() {
                clients::ROOM => {
                    if let Some(wire) = self.flow.clients.wire(id) {
                        wire.closing = true;
                        self.flow.ready.push_back(id);
                    }
                }
                sessions::ROOM => {
                    if let Some(wire) = self.flow.engines.sessions.wire(id) {
                        wire.closing = true;
                    }
                }
                _ => {}
            },
            Happened::Broken { id, writing, reason } => match id.room() {
                clients::ROOM => self.flow.client_gone(id),
                sessions::ROOM => self.flow.engines.broken(id, writing, reason, &mut self.flow.out),
                cancels::ROOM => self.flow.engines.cancel_failed(id, &mut self.flow.out),
                registry::ROOM => {
                    let told = self.flow.call.failed(reason, &mut self.flow.out);
                    self.flow.registry_told(told);
                }
                _ => self.flow.admin.remove(id, &mut self.flow.out),
            },
            Happened::Words(from, datagram) => {
                let words = self.flow.peering.as_mut().and_then(|p| p.hear(from, datagram));
                self.flow.out.saw(if words.is_some() { Seen::WordsHeard } else { Seen::WordsDropped });
                if let Some(words) = words {
                    self.flow.tape.tell(now, Input::Told(words));
                }
            }
            Happened::Gossip(from, datagram) => {
                let words =
                    self.flow.gossip.as_mut().and_then(|g| g.hear(from, datagram, &mut self.flow.out));
                if let Some(words) = words {
                    self.flow.out.saw(Seen::WordsHeard);
                    self.flow.tape.tell(now, Input::Told(words));
                }
            }
            Happened::Files(news) => {
                self.flow.out.saw(Seen::FilesTaken);
                let change = self.flow.sets.news(news, now);
                self.flow.changed(change);
            }
            Happened::Keys(news) => {
                if let Some(gossip) = &mut self.flow.gossip {
                    gossip.keys(news);
                }
            }
            Happened::Stop => {
                if self.flow.stop.begin(
                    self.flow.clients.len(),
                    self.flow.config.timing.drain.0,
                    &mut self.flow.out,
                ) {
                    self.flow.clients.end_idle(&mut self.flow.out);
                }
            }
            Happened::Keep => {
                if self.flow.tape.ask(now) {
                    info!("the capture in memory is asked for");
                } else {
                    warn!("a capture is asked for, and there is no [capture]");
                }
            }
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
        let cut = id.room() == sessions::ROOM && self.flow.planted(Plant::Cut, 50);
        let Some(wire) = self.wire(id) else { return };
        wire.receive(if cut { &bytes[..bytes.len().saturating_sub(1)] } else { bytes });
        wire.ended |= ended;
        match id.room() {
            clients::ROOM => self.flow.ready.push_back(id),
            sessions::ROOM => {
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

impl Inside for Gate {
    fn started(&mut self, now: i64) {
        self.happen(now, Happened::Started);
    }
    fn accept(&mut self, now: i64, door: Door) -> Option<ConnId> {
        Gate::accept(self, now, door)
    }
    fn socketed(&mut self, now: i64, what: Socketed<'_>) {
        let what = match what {
            Socketed::Connected(id) => Happened::Connected(id),
            Socketed::Received(id, bytes) => Happened::Received(id, bytes),
            Socketed::Closing(id) => Happened::Closing(id),
            Socketed::Ended(id) => Happened::Ended(id),
            Socketed::Broken { id, writing, reason, .. } => Happened::Broken { id, writing, reason },
            Socketed::Datagram(Port::Peers, from, bytes) => Happened::Words(from, bytes),
            Socketed::Datagram(Port::Gossip, from, bytes) => Happened::Gossip(from, bytes),
            Socketed::Datagram(Port::Names, ..) => return,
        };
        self.happen(now, what);
    }
    fn stop(&mut self, now: i64) {
        self.happen(now, Happened::Stop);
    }
    fn room(&mut self, id: ConnId) -> usize {
        Gate::room(self, id)
    }
    fn output(&mut self, id: ConnId) -> &[u8] {
        Gate::output(self, id)
    }
    fn wrote(&mut self, now: i64, id: ConnId, n: usize) {
        Gate::wrote(self, now, id, n);
    }
    fn next_due(&self) -> Option<i64> {
        Gate::next_due(self)
    }
    fn due(&mut self, now: i64) {
        Gate::due(self, now);
    }
    fn effects(&mut self, into: &mut Vec<Effect>) {
        Gate::effects(self, into);
    }
}
