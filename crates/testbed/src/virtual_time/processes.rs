//! What processes do on the modelled network: what arrives is handed to their own code, and what that wants is done.

use super::network::{At, Got, Passing, Proc};
use super::{Event, World, GOSSIP_PORTS};
use crate::people::Wish;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use wheelfield_endpoints::News;
use wheelfield_engine_emulator::registry::Standing;
use wheelfield_engine_emulator::stand::{Do, Entry};
use wheelfield_invariants::{HistoryEvent, UnavailableEngine};
use wheelfield_network_faults::Delivery;
use wheelfield_pg_gateway::{DatagramSocket, Effect, GatewayEvent, Listener};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol as _};

/// A line of a stand-in's journal as the judge reads it.
fn line_of(e: Entry) -> HistoryEvent {
    let status = |s: Standing| if s == Standing::Draining { "draining" } else { "removed" };
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

impl World<'_> {
    /// What came to pass on the network is put into the course of events.
    pub(super) fn spread(&mut self) {
        for (at, passing) in self.net.passing.drain(..) {
            self.events.set(at.max(self.now), Event::Net(passing));
        }
    }

    /// What is for a process that stands still waits, but for what its system does without it.
    pub(super) fn held_back(&mut self, event: Event) -> Option<Event> {
        let proc = match &event {
            Event::Net(Passing::SynAck(link) | Passing::Refused(link)) => {
                self.net.owner((*link, 0)).map(|(p, _)| p)
            }
            Event::Net(Passing::Window(at)) | Event::Deliver(at) => self.net.owner(*at).map(|(p, _)| p),
            Event::Accept(link) => self.net.owner((*link, 1)).map(|(p, _)| p),
            Event::GateDue(c, _) | Event::Files(c, ..) => Some(Proc::Controller(*c)),
            Event::Datagram(_, _, c, _) if self.stalled[*c].is_some() => return None,
            _ => None,
        };
        let Some(Proc::Controller(c)) = proc else { return Some(event) };
        match (&mut self.stalled[c], &event) {
            (Some(_), Event::GateDue(..)) => None,
            (Some(waiting), _) => {
                waiting.push(event);
                None
            }
            _ => Some(event),
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub(super) fn passed(&mut self, passing: Passing) {
        let now = self.now;
        match passing {
            Passing::Syn(link) => {
                let listens = match self.net.owner((link, 1)) {
                    Some((Proc::Controller(c), _)) => self.gates[c].is_some(),
                    Some((Proc::Engine(e), _)) => self.stands[e].model.up(),
                    other => other.is_some(),
                };
                if listens {
                    self.net.listened(now, link);
                    self.happen(Event::Accept(link));
                } else {
                    self.net.refuse(now, link);
                }
            }
            Passing::SynAck(link) => match self.net.owner((link, 0)) {
                Some((Proc::Controller(c), Some(id))) => {
                    if let Some(gate) = &mut self.gates[c] {
                        gate.handle(now, GatewayEvent::Io(IoEvent::Connected(id)));
                    }
                    self.after(Proc::Controller(c));
                }
                Some((Proc::People, Some(id))) if id.owner() == 2 => {
                    if let Some(bytes) = self.raw.remove(id) {
                        self.net.write(now, (link, 0), &bytes);
                        self.net.close(now, Proc::People, id, false);
                    }
                }
                Some((Proc::People, Some(id))) => {
                    self.people.connected(id);
                    self.after(Proc::People);
                }
                _ => {}
            },
            Passing::Refused(link) => {
                if let Some((proc, Some(id))) = self.net.owner((link, 0)) {
                    self.broke(proc, id, true);
                    self.after(proc);
                }
            }
            Passing::Data(at, bytes) => {
                if self.net.arrived(now, at, bytes) {
                    self.happen(Event::Deliver(at));
                }
            }
            Passing::Fin(at) => {
                if self.net.over(at, false) {
                    self.happen(Event::Deliver(at));
                }
            }
            Passing::Rst(at) => {
                if self.net.over(at, true) {
                    self.happen(Event::Deliver(at));
                }
            }
            Passing::Window(at) => {
                if let Some((proc, Some(id))) = self.net.owner(at) {
                    self.write(proc, id);
                    self.after(proc);
                }
            }
        }
    }

    pub(super) fn accept(&mut self, link: ConnId) {
        let Some((proc, None)) = self.net.owner((link, 1)) else { return };
        let id = match proc {
            Proc::Controller(c) => {
                let now = self.now;
                self.gates[c].as_mut().and_then(|g| g.accept(now, Listener::Clients))
            }
            Proc::Engine(e) => Some(self.stands[e].accept()),
            Proc::Desk => Some(self.desk.accept()),
            Proc::People => None,
        };
        if let Some(id) = id {
            self.net.accepted(link, id);
            self.deliver((link, 1));
        }
    }

    /// A process reads what one of its connections has, as far as it has room.
    pub(super) fn deliver(&mut self, at: At) {
        let now = self.now;
        let Some((proc, Some(id))) = self.net.owner(at) else { return };
        if let Proc::Engine(e) = proc {
            if self.stands[e].hangs() {
                // It is told to read on when it goes on.
                self.stands[e].room(id);
                return;
            }
        }
        if self.net.closing(at) {
            match proc {
                Proc::Controller(c) => {
                    if let Some(gate) = &mut self.gates[c] {
                        gate.handle(now, GatewayEvent::Io(IoEvent::PeerClosing(id)));
                    }
                }
                Proc::People if id.owner() == 1 => self.people.closing(id),
                _ => {}
            }
        }
        loop {
            let room = match proc {
                Proc::Controller(c) => self.gates[c].as_mut().map_or(0, |g| g.read_capacity(id)),
                Proc::Engine(e) => self.stands[e].room(id),
                Proc::Desk | Proc::People => usize::MAX,
            };
            match self.net.read(now, at, room) {
                Got::Bytes(bytes) => match proc {
                    Proc::Controller(c) => {
                        if let Some(gate) = &mut self.gates[c] {
                            gate.handle(now, GatewayEvent::Io(IoEvent::Received(id, &bytes)));
                        }
                    }
                    Proc::Engine(e) => self.stands[e].receive(id, &bytes, now),
                    Proc::Desk => self.desk.receive(id, &bytes, now),
                    Proc::People => self.people.receive(id, &bytes, now),
                },
                Got::Fin => {
                    match proc {
                        Proc::Controller(c) => {
                            if let Some(gate) = &mut self.gates[c] {
                                gate.handle(now, GatewayEvent::Io(IoEvent::ReadClosed(id)));
                            }
                        }
                        _ => self.broke(proc, id, false),
                    }
                    break;
                }
                Got::Broke => {
                    self.broke(proc, id, false);
                    break;
                }
                Got::Nothing => break,
            }
        }
        self.after(proc);
    }

    /// A connection broke, or could not be made.
    fn broke(&mut self, proc: Proc, id: ConnId, writing: bool) {
        let now = self.now;
        match proc {
            Proc::Controller(c) => {
                if let Some(gate) = &mut self.gates[c] {
                    let broken = IoEvent::ConnectionFailed {
                        id,
                        writing,
                        cause: FailureCause::ConnectionLost,
                        reason: "broken",
                    };
                    gate.handle(now, GatewayEvent::Io(broken));
                }
            }
            Proc::Engine(e) => self.stands[e].gone(id, now),
            Proc::Desk => self.desk.gone(id),
            Proc::People if id.owner() == 2 => {
                self.raw.remove(id);
                self.net.close(now, proc, id, false);
            }
            Proc::People => self.people.broke(id, now),
        }
    }

    /// Writes what a connection has to go, as far as the network takes it.
    fn write(&mut self, proc: Proc, id: ConnId) {
        let now = self.now;
        let Some(at) = self.net.end_of(proc, id) else { return };
        loop {
            let bytes = match proc {
                Proc::Controller(c) => self.gates[c].as_mut().map_or(&[][..], |g| g.output(id)),
                Proc::Engine(e) => self.stands[e].output(id),
                Proc::Desk => self.desk.output(id),
                Proc::People => self.people.output(id),
            };
            if bytes.is_empty() {
                return;
            }
            match self.net.write(now, at, bytes) {
                None => return self.broke(proc, id, true),
                Some(0) => return,
                Some(n) => match proc {
                    Proc::Controller(c) => {
                        if let Some(gate) = &mut self.gates[c] {
                            gate.bytes_written(now, id, n);
                        }
                    }
                    Proc::Engine(e) => self.stands[e].wrote(id, n, now),
                    Proc::Desk => self.desk.wrote(id, n),
                    Proc::People => self.people.wrote(id, n),
                },
            }
        }
    }

    pub(super) fn heard(&mut self, port: DatagramSocket, from: SocketAddr, to: usize, bytes: &[u8]) {
        let Some(gate) = &mut self.gates[to] else { return };
        if port == DatagramSocket::Discovery {
            return;
        }
        gate.handle(self.now, GatewayEvent::Io(IoEvent::Datagram(port, from, bytes)));
        self.after(Proc::Controller(to));
    }

    pub(super) fn read_file(&mut self, c: usize, life: u64) {
        let set = Arc::new(self.set.clone());
        let Some(gate) = self.gates[c].as_mut().filter(|_| self.lives[c] == life) else { return };
        gate.handle(self.now, GatewayEvent::EndpointFiles(News::Set(set)));
        self.after(Proc::Controller(c));
    }

    // --- what processes want ---

    /// Does what a process wants done, and sees to its next waking.
    pub(super) fn after(&mut self, proc: Proc) {
        let next = match proc {
            Proc::Controller(c) if self.batch == Some(c) => return,
            Proc::Controller(c) => self.after_gate(c),
            Proc::Engine(e) => self.after_engine(e),
            Proc::Desk => self.after_desk(),
            Proc::People => self.after_people(),
        };
        let next = next.map(|at| at.max(self.now + 1));
        let old = self.wakes.set.get(&proc).copied();
        if old.map(|(at, _)| at).filter(|at| *at > self.now) == next {
            return;
        }
        if let Some((_, key)) = self.wakes.set.remove(&proc) {
            self.events.cancel(key);
        }
        if let Some(at) = next {
            let event = match proc {
                Proc::Controller(c) => Event::GateDue(c, self.lives[c]),
                Proc::Engine(e) => Event::EngineDue(e),
                Proc::Desk => Event::DeskDue,
                Proc::People => Event::PeopleDue,
            };
            let key = self.events.set(at, event);
            self.wakes.set.insert(proc, (at, key));
        }
    }

    fn after_gate(&mut self, c: usize) -> Option<i64> {
        let (now, proc) = (self.now, Proc::Controller(c));
        let mut effects = Vec::new();
        loop {
            self.gates[c].as_mut()?.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Connect(id, to) => match self.by_address.get(&to) {
                        Some(target) => self.net.connect(now, proc, id, *target),
                        None => self.broke(proc, id, true),
                    },
                    Effect::Write(id) => self.write(proc, id),
                    Effect::ResumeReading(id) => {
                        if let Some(at) = self.net.end_of(proc, id) {
                            self.deliver(at);
                        }
                    }
                    Effect::Close(id) => self.net.close(now, proc, id, false),
                    Effect::Send(port, to, datagram) => self.send(port, c, to, datagram),
                    Effect::StopListening => self.gates[c].as_mut()?.handle_listening_stopped(now),
                    Effect::Stopped => {}
                }
            }
        }
        self.gates[c].as_ref()?.next_timer_at()
    }

    fn send(&mut self, port: DatagramSocket, c: usize, to: SocketAddr, datagram: Vec<u8>) {
        let peers = self.config.peers.as_ref().map_or(&[][..], |p| &p.addresses);
        let (target, from) = match port {
            // Peers are numbered by their ports, from 1 on.
            DatagramSocket::Peers => (usize::from(to.port()).wrapping_sub(1), peers.get(c).copied()),
            DatagramSocket::Discovery => return,
            DatagramSocket::Gossip => {
                let own = SocketAddr::new(to.ip(), GOSSIP_PORTS + c as u16);
                (usize::from(to.port().wrapping_sub(GOSSIP_PORTS)), Some(own))
            }
        };
        let Some(from) = from.filter(|_| target < self.gates.len()) else { return };
        self.messages += 1;
        let datagram = Bytes::from(datagram);
        // Roads are between those who gossip; weather is everywhere.
        let arrivals = match port {
            DatagramSocket::Gossip => self.roads.transmit(c, target, self.now, &datagram),
            _ => vec![Delivery { at: self.now, bytes: datagram.to_vec() }],
        };
        for arrival in arrivals {
            let bytes = Bytes::from(arrival.bytes);
            for at in self.net.datagram(arrival.at).into_iter().flatten() {
                self.events.set(at, Event::Datagram(port, from, target, bytes.clone()));
            }
        }
    }

    fn after_engine(&mut self, e: usize) -> Option<i64> {
        let (now, proc) = (self.now, Proc::Engine(e));
        let mut doing = Vec::new();
        loop {
            self.stands[e].doings(&mut doing);
            if doing.is_empty() {
                break;
            }
            for what in doing.drain(..) {
                match what {
                    Do::Write(id) => self.write(proc, id),
                    Do::Read(id) => {
                        if let Some(at) = self.net.end_of(proc, id) {
                            self.deliver(at);
                        }
                    }
                    Do::Close(id, reset) => self.net.close(now, proc, id, reset),
                    Do::Died => {
                        self.net.kill(now, proc);
                        let at = now + self.setup.notice + self.stale;
                        self.desk.change(at, &self.stands[e].name, Standing::Removed, None);
                        self.after(Proc::Desk);
                    }
                    Do::Started => {
                        let at = now + self.setup.listed_after + self.stale;
                        self.desk.change(at, &self.stands[e].name, Standing::Up, Some(now));
                        self.after(Proc::Desk);
                    }
                }
            }
        }
        self.log.extend(self.stands[e].journal().map(line_of));
        self.stands[e].next()
    }

    fn after_desk(&mut self) -> Option<i64> {
        let (now, proc) = (self.now, Proc::Desk);
        let mut doing = Vec::new();
        loop {
            self.desk.doings(&mut doing);
            if doing.is_empty() {
                break;
            }
            for what in doing.drain(..) {
                match what {
                    Do::Write(id) => self.write(proc, id),
                    Do::Close(id, reset) => self.net.close(now, proc, id, reset),
                    Do::Read(_) | Do::Died | Do::Started => {}
                }
            }
        }
        self.log.extend(self.desk.journal().map(line_of));
        self.desk.next()
    }

    fn after_people(&mut self) -> Option<i64> {
        let (now, proc) = (self.now, Proc::People);
        let mut wishes = Vec::new();
        loop {
            self.people.wishes(&mut wishes);
            if wishes.is_empty() {
                break;
            }
            for wish in wishes.drain(..) {
                match wish {
                    Wish::Connect(id, c) => self.net.connect(now, proc, id, Proc::Controller(c)),
                    Wish::Write(id) => self.write(proc, id),
                    Wish::Close(id) => self.net.close(now, proc, id, false),
                    Wish::Cancel(c, bytes) => {
                        let id = self.raw.insert(bytes);
                        self.net.connect(now, proc, id, Proc::Controller(c));
                    }
                }
            }
        }
        self.people.next()
    }
}
