//! A modelled network: connections whose bytes take time, arrive in parts, fill up, end and break; and datagrams that may be
//! lost, doubled and late. It knows nothing of who speaks.

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};
use wheelfield_sans_io::{ConnId, ConnectionTable};

/// What a message takes, in microseconds, before its chance part of at most as much.
pub const HOP: i64 = 60;

/// Who speaks over the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Proc {
    /// The process of a controller.
    Controller(usize),
    /// The process of an engine.
    Engine(usize),
    /// The registry.
    Desk,
    /// All clients.
    People,
}

/// How the network behaves. Connections break, hang and are refused between controllers and engines alone: what becomes of a
/// client's own is no fault of a controller's.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weather {
    /// The chance that what is written at once goes or is read in two parts, at any byte.
    pub torn: f64,
    /// Bytes under way and unread in one direction at most.
    pub window: usize,
    /// The chance that a datagram is lost.
    pub loss: f64,
    /// The chance that it comes twice.
    pub doubled: f64,
    /// A datagram is up to so much later, in microseconds.
    pub late: i64,
    /// The chance that a connection breaks as something is written on it.
    pub resets: f64,
    /// The chance that a connect is refused.
    pub refused: f64,
    /// The chance that a connect hangs.
    pub lost_connects: f64,
}

impl Weather {
    /// A good local network.
    pub const FAIR: Weather = Weather {
        torn: 0.0,
        window: 1 << 20,
        loss: 0.0,
        doubled: 0.0,
        late: 0,
        resets: 0.0,
        refused: 0.0,
        lost_connects: 0.0,
    };
}

/// One end of a connection.
#[derive(Debug)]
struct End {
    proc: Proc,
    /// Its number there; none until it is accepted.
    id: Option<ConnId>,
    inbox: VecDeque<Bytes>,
    /// Bytes on their way here and unread.
    under_way: usize,
    /// The other side would send more.
    blocked: bool,
    /// The other side will send no more.
    fin: bool,
    told_fin: bool,
    broke: bool,
    closed: bool,
    /// When the last of what is on its way here comes.
    last: i64,
}

impl End {
    fn new(proc: Proc, id: Option<ConnId>) -> End {
        End {
            proc,
            id,
            inbox: VecDeque::new(),
            under_way: 0,
            blocked: false,
            fin: false,
            told_fin: false,
            broke: false,
            closed: false,
            last: 0,
        }
    }
}

/// Names one end of a connection.
pub type At = (ConnId, usize);

/// Something that comes to pass on the network.
#[derive(Debug)]
pub enum Passing {
    /// A connect reaches whom it is for.
    Syn(ConnId),
    /// Whoever connects is told that it is through.
    SynAck(ConnId),
    /// Whoever connects is told that nobody is there.
    Refused(ConnId),
    /// Bytes arrive at an end.
    Data(At, Bytes),
    /// The other side has closed.
    Fin(At),
    /// The connection broke.
    Rst(At),
    /// There is room for more to be written.
    Window(At),
}

/// What an end has to read.
#[derive(Debug, PartialEq, Eq)]
pub enum Got {
    /// These bytes.
    Bytes(Bytes),
    /// The other side will send no more.
    Fin,
    /// The connection broke.
    Broke,
    /// Nothing now.
    Nothing,
}

/// All connections.
#[derive(Debug)]
pub struct Network {
    weather: Weather,
    links: ConnectionTable<[End; 2]>,
    by_end: HashMap<(Proc, ConnId), At>,
    chance: Pcg64Mcg,
    /// What is to come to pass, with its time.
    pub passing: Vec<(i64, Passing)>,
}

impl Network {
    /// A network without connections.
    pub fn new(weather: Weather, seed: u64) -> Network {
        Network {
            weather,
            links: ConnectionTable::new(1),
            by_end: HashMap::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            passing: Vec::new(),
        }
    }

    fn hop(&mut self) -> i64 {
        HOP + self.chance.random_range(0..=HOP)
    }

    fn chance(&mut self, of: f64) -> bool {
        of > 0.0 && self.chance.random::<f64>() < of
    }

    /// Which end is whose.
    pub fn end_of(&self, proc: Proc, id: ConnId) -> Option<At> {
        self.by_end.get(&(proc, id)).copied()
    }

    /// Whose an end is, and its number there.
    pub fn owner(&self, at: At) -> Option<(Proc, Option<ConnId>)> {
        self.links.get(at.0).map(|ends| (ends[at.1].proc, ends[at.1].id))
    }

    /// Connections that are open in whatever way.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// None is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Connections that a process has an end of.
    pub fn of(&self, proc: Proc) -> usize {
        self.by_end.keys().filter(|(p, _)| *p == proc).count()
    }

    /// Begins a connect.
    pub fn connect(&mut self, now: i64, from: Proc, id: ConnId, to: Proc) {
        let link = self.links.insert([End::new(from, Some(id)), End::new(to, None)]);
        self.by_end.insert((from, id), (link, 0));
        let at = now + self.hop();
        let engine = matches!(to, Proc::Engine(_));
        let lost = engine && self.chance(self.weather.lost_connects);
        let refused = engine && self.chance(self.weather.refused);
        if let Some(ends) = self.links.get_mut(link).filter(|_| lost || refused) {
            ends[1].closed = true;
        }
        if !lost {
            self.passing.push((at, if refused { Passing::Refused(link) } else { Passing::Syn(link) }));
        }
    }

    /// A connect has reached a process that listens: it is through, taken or not.
    pub fn listened(&mut self, now: i64, link: ConnId) {
        let at = now + self.hop();
        if let Some(ends) = self.links.get_mut(link) {
            ends[0].last = at;
            self.passing.push((at, Passing::SynAck(link)));
        }
    }

    /// A connect has reached nobody.
    pub fn refuse(&mut self, now: i64, link: ConnId) {
        let at = now + self.hop();
        if let Some(ends) = self.links.get_mut(link) {
            ends[1].closed = true;
        }
        self.passing.push((at, Passing::Refused(link)));
    }

    /// A process takes a connection, under a number of its own.
    pub fn accepted(&mut self, link: ConnId, id: ConnId) {
        if let Some(ends) = self.links.get_mut(link) {
            ends[1].id = Some(id);
            self.by_end.insert((ends[1].proc, id), (link, 1));
        }
    }

    /// Takes what is written at an end, as far as there is room. So much was taken; none for a connection that is not there.
    pub fn write(&mut self, now: i64, (link, side): At, bytes: &[u8]) -> Option<usize> {
        let at = now + self.hop();
        let torn = self.chance(self.weather.torn);
        let engine = self.links.get(link).is_some_and(|ends| matches!(ends[1].proc, Proc::Engine(_)));
        let reset = engine && self.chance(self.weather.resets);
        let ends = self.links.get_mut(link)?;
        if ends[side].broke || ends[side].closed {
            return None;
        }
        if reset {
            for other in [0, 1] {
                self.passing.push((at, Passing::Rst((link, other))));
            }
        }
        let to = &mut ends[1 - side];
        let room = self.weather.window.saturating_sub(to.under_way);
        let mut n = bytes.len().min(room);
        if torn && n > 1 {
            n = self.chance.random_range(1..n);
        }
        to.blocked = n == 0 && !bytes.is_empty();
        if n == 0 {
            return Some(0);
        }
        to.under_way += n;
        let at = at.max(to.last);
        to.last = at;
        self.passing.push((at, Passing::Data((link, 1 - side), Bytes::copy_from_slice(&bytes[..n]))));
        Some(n)
    }

    /// Bytes have arrived; false if nobody is there to read them, and the other side is told.
    pub fn arrived(&mut self, now: i64, (link, side): At, bytes: Bytes) -> bool {
        let at = now + self.hop();
        let Some(ends) = self.links.get_mut(link) else { return false };
        if ends[side].closed {
            if !ends[1 - side].closed {
                self.passing.push((at, Passing::Rst((link, 1 - side))));
            }
            return false;
        }
        ends[side].inbox.push_back(bytes);
        true
    }

    /// The other side has closed, or the connection broke; false if nobody is there to hear it.
    pub fn over(&mut self, (link, side): At, broke: bool) -> bool {
        let Some(ends) = self.links.get_mut(link) else { return false };
        let end = &mut ends[side];
        end.fin |= !broke;
        end.broke |= broke;
        !end.closed
    }

    /// Whether the other side has closed, though not all that it sent may be read.
    pub fn closing(&self, (link, side): At) -> bool {
        self.links.get(link).is_some_and(|ends| ends[side].fin || ends[side].broke)
    }

    /// What an end has to read, at most `room` bytes.
    pub fn read(&mut self, now: i64, (link, side): At, room: usize) -> Got {
        let at = now + self.hop();
        let torn = self.chance(self.weather.torn);
        let Some(ends) = self.links.get_mut(link) else { return Got::Nothing };
        let end = &mut ends[side];
        if end.closed || end.id.is_none() {
            return Got::Nothing;
        }
        if end.broke {
            return Got::Broke;
        }
        let Some(first) = end.inbox.front_mut() else {
            if end.fin && room > 0 && !std::mem::replace(&mut end.told_fin, true) {
                return Got::Fin;
            }
            return Got::Nothing;
        };
        let mut n = first.len().min(room);
        if torn && n > 1 {
            n = self.chance.random_range(1..n);
        }
        if n == 0 {
            return Got::Nothing;
        }
        let bytes = first.split_to(n);
        if first.is_empty() {
            end.inbox.pop_front();
        }
        end.under_way -= n;
        if std::mem::take(&mut end.blocked) {
            self.passing.push((at, Passing::Window((link, 1 - side))));
        }
        Got::Bytes(bytes)
    }

    /// A process closes its end. What it has not read is lost, and the other side sees that as a break.
    pub fn close(&mut self, now: i64, proc: Proc, id: ConnId, reset: bool) {
        let at = now + self.hop();
        let Some((link, side)) = self.by_end.remove(&(proc, id)) else { return };
        let Some(ends) = self.links.get_mut(link) else { return };
        let unread = !ends[side].inbox.is_empty();
        ends[side].closed = true;
        let other = &mut ends[1 - side];
        if other.closed {
            self.links.remove(link);
            return;
        }
        let at = at.max(other.last);
        other.last = at;
        let there = (link, 1 - side);
        let what = if reset || unread { Passing::Rst(there) } else { Passing::Fin(there) };
        self.passing.push((at, what));
    }

    /// A process dies: all its connections break, in an order that does not depend on chance.
    pub fn kill(&mut self, now: i64, proc: Proc) {
        let mut all: Vec<(At, ConnId)> =
            self.by_end.iter().filter(|((p, _), _)| *p == proc).map(|((_, id), at)| (*at, *id)).collect();
        all.sort_unstable();
        for (_, id) in all {
            self.close(now, proc, id, true);
        }
        // Those that were through and not taken.
        let mut waiting: Vec<ConnId> = self
            .links
            .iter()
            .filter(|(_, ends)| ends[1].proc == proc && ends[1].id.is_none() && !ends[1].closed)
            .map(|(link, _)| link)
            .collect();
        waiting.sort_unstable();
        for link in waiting {
            let at = now + self.hop();
            if let Some(ends) = self.links.get_mut(link) {
                ends[1].closed = true;
                self.passing.push((at, Passing::Rst((link, 0))));
            }
        }
    }

    /// When a datagram comes, as often as it does.
    pub fn datagram(&mut self, now: i64) -> [Option<i64>; 2] {
        let mut times = [None; 2];
        if self.chance(self.weather.loss) {
            return times;
        }
        let copies = 1 + usize::from(self.chance(self.weather.doubled));
        for time in times.iter_mut().take(copies) {
            let late = if self.weather.late > 0 { self.chance.random_range(0..self.weather.late) } else { 0 };
            *time = Some(now + self.hop() + late);
        }
        times
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Proc = Proc::People;
    const B: Proc = Proc::Engine(0);

    fn joined(weather: Weather) -> (Network, ConnId, ConnId, ConnId) {
        let mut ids = ConnectionTable::new(2);
        let (a, b) = (ids.insert(()), ids.insert(()));
        let mut net = Network::new(weather, 1);
        net.connect(0, A, a, B);
        let link = net.end_of(A, a).expect("begun").0;
        net.listened(100, link);
        net.accepted(link, b);
        net.passing.clear();
        (net, link, a, b)
    }

    /// Lets all that is to come to pass do so, and reads at the far end.
    fn read_all(net: &mut Network, link: ConnId) -> Vec<u8> {
        let mut got = Vec::new();
        for _ in 0..100_000 {
            let mut passing = std::mem::take(&mut net.passing);
            passing.sort_by_key(|(at, _)| *at);
            if passing.is_empty() {
                break;
            }
            for (at, what) in passing {
                match what {
                    Passing::Data(to, bytes) => {
                        net.arrived(at, to, bytes);
                    }
                    Passing::Fin(to) => {
                        net.over(to, false);
                    }
                    _ => {}
                }
            }
            while let Got::Bytes(bytes) = net.read(0, (link, 1), 7) {
                got.extend_from_slice(&bytes);
            }
        }
        got
    }

    #[test]
    fn bytes_keep_their_order_however_they_are_torn() {
        let weather = Weather { torn: 0.9, window: 50, ..Weather::FAIR };
        let (mut net, link, _, _) = joined(weather);
        let sent: Vec<u8> = (0..=255).cycle().take(5_000).collect();
        let (mut rest, mut got) = (&sent[..], Vec::new());
        while !rest.is_empty() {
            let n = net.write(0, (link, 0), rest).expect("open");
            rest = &rest[n..];
            if n == 0 || rest.is_empty() {
                got.extend(read_all(&mut net, link));
            }
        }
        got.extend(read_all(&mut net, link));
        assert_eq!(got, sent);
    }

    #[test]
    fn a_window_fills_and_is_told_of_when_it_opens() {
        let (mut net, link, _, _) = joined(Weather { window: 10, ..Weather::FAIR });
        assert_eq!(net.write(0, (link, 0), &[1; 25]), Some(10));
        assert_eq!(net.write(0, (link, 0), &[1; 15]), Some(0));
        let (_, Passing::Data(to, bytes)) = net.passing.remove(0) else { panic!("no data") };
        net.arrived(100, to, bytes);
        assert!(matches!(net.read(200, (link, 1), 4), Got::Bytes(b) if b.len() == 4));
        assert!(matches!(net.passing[..], [(_, Passing::Window((_, 0)))]));
        assert_eq!(net.write(300, (link, 0), &[1; 15]), Some(4));
    }

    #[test]
    fn a_close_comes_behind_the_bytes_and_one_with_bytes_unread_is_a_break() {
        let (mut net, link, a, b) = joined(Weather::FAIR);
        net.write(0, (link, 0), b"last words");
        net.close(0, A, a, false);
        let order: Vec<bool> = net.passing.iter().map(|(_, p)| matches!(p, Passing::Fin(_))).collect();
        assert!(order == [false, true] && net.passing[0].0 <= net.passing[1].0);
        let (at, Passing::Data(to, bytes)) = net.passing.remove(0) else { panic!("no data") };
        net.arrived(at, to, bytes);
        net.over((link, 1), false);
        assert!(matches!(net.read(at, (link, 1), 100), Got::Bytes(b) if &b[..] == b"last words"));
        assert_eq!(net.read(at, (link, 1), 100), Got::Fin);
        net.close(at, B, b, false);
        assert!(net.is_empty());
        let (mut net, link, _, b) = joined(Weather::FAIR);
        net.arrived(0, (link, 1), Bytes::from_static(b"unread"));
        net.close(0, B, b, false);
        assert!(matches!(net.passing[..], [(_, Passing::Rst((_, 0)))]));
    }
}
