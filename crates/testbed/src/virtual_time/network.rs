//! A model of the network: connections whose data is delayed, split, limited by a window, closed
//! and reset; and datagrams that are lost, duplicated and delayed. It is independent of the
//! protocols of the processes.

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};
use wheelfield_sans_io::{ConnId, ConnectionTable};

/// Constant part of a message's latency, in microseconds. A random part of at most the same length
/// is added.
pub const BASE_LATENCY: i64 = 60;

/// A participant in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ProcessId {
    /// The process of a controller.
    Controller(usize),
    /// The process of an engine.
    Engine(usize),
    /// The registry server.
    Registry,
    /// All clients together.
    Clients,
}

/// Faults of the network. Resets, refused connects and lost connects happen only between
/// controllers and engines: a controller is not responsible for the loss of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkFaults {
    /// Probability that a write or a read is cut short, at any byte.
    #[serde(rename = "torn")]
    pub split_probability: f64,
    /// Maximum number of bytes in transit or unread in one direction of a connection.
    #[serde(rename = "window")]
    pub window_bytes: usize,
    /// Probability that a datagram is lost.
    #[serde(rename = "loss")]
    pub datagram_loss: f64,
    /// Probability that a datagram is duplicated.
    #[serde(rename = "doubled")]
    pub datagram_duplication: f64,
    /// Maximum extra delay of a datagram, in microseconds.
    #[serde(rename = "late")]
    pub max_datagram_delay_us: i64,
    /// Probability that a write resets its connection.
    #[serde(rename = "resets")]
    pub reset_probability: f64,
    /// Probability that a connect is refused.
    #[serde(rename = "refused")]
    pub refusal_probability: f64,
    /// Probability that a connect is never answered.
    #[serde(rename = "lost_connects")]
    pub connect_loss_probability: f64,
}

impl NetworkFaults {
    /// A local network without faults.
    pub const NONE: NetworkFaults = NetworkFaults {
        split_probability: 0.0,
        window_bytes: 1 << 20,
        datagram_loss: 0.0,
        datagram_duplication: 0.0,
        max_datagram_delay_us: 0,
        reset_probability: 0.0,
        refusal_probability: 0.0,
        connect_loss_probability: 0.0,
    };
}

/// One end of a connection.
#[derive(Debug)]
struct ConnectionEnd {
    process: ProcessId,
    /// The owner's id of the connection; `None` until the owner has accepted it.
    id: Option<ConnId>,
    inbox: VecDeque<Bytes>,
    /// Bytes in transit to this end or unread by it.
    outstanding_bytes: usize,
    /// The other side found the window full and must be notified when there is room.
    sender_blocked: bool,
    /// The other side has closed; no data follows.
    fin_received: bool,
    fin_delivered: bool,
    was_reset: bool,
    closed: bool,
    /// Arrival time of the last message to this end; later messages don't overtake it.
    last_arrival_at: i64,
}

impl ConnectionEnd {
    fn new(process: ProcessId, id: Option<ConnId>) -> ConnectionEnd {
        ConnectionEnd {
            process,
            id,
            inbox: VecDeque::new(),
            outstanding_bytes: 0,
            sender_blocked: false,
            fin_received: false,
            fin_delivered: false,
            was_reset: false,
            closed: false,
            last_arrival_at: 0,
        }
    }
}

/// One end of a connection: the connection, and 0 for the side that connected or 1 for the side
/// that accepts.
pub type EndId = (ConnId, usize);

/// An event on the network.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A connect request reaches its target.
    Syn(ConnId),
    /// The connecting side learns that the connection is established.
    SynAck(ConnId),
    /// The connecting side learns that the connect was refused.
    Refused(ConnId),
    /// Data arrives at an end.
    Data(EndId, Bytes),
    /// An end learns that the other side has closed.
    Fin(EndId),
    /// An end learns that the connection was reset.
    Rst(EndId),
    /// An end learns that there is room to write again.
    Window(EndId),
}

/// Result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Data.
    Bytes(Bytes),
    /// End of the stream: the other side has closed.
    Fin,
    /// The connection was reset.
    Reset,
    /// No data is available now.
    Empty,
}

/// All connections of the simulation.
#[derive(Debug)]
pub struct Network {
    faults: NetworkFaults,
    connections: ConnectionTable<[ConnectionEnd; 2]>,
    by_end: HashMap<(ProcessId, ConnId), EndId>,
    rng: Pcg64Mcg,
    /// Events to be scheduled, with their times.
    pub pending_events: Vec<(i64, NetworkEvent)>,
}

impl Network {
    /// Creates a network without connections.
    pub fn new(faults: NetworkFaults, seed: u64) -> Network {
        Network {
            faults,
            connections: ConnectionTable::new(1),
            by_end: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            pending_events: Vec::new(),
        }
    }

    fn draw_latency(&mut self) -> i64 {
        BASE_LATENCY + self.rng.random_range(0..=BASE_LATENCY)
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// The end that a process knows by this id.
    pub fn end_of(&self, process: ProcessId, id: ConnId) -> Option<EndId> {
        self.by_end.get(&(process, id)).copied()
    }

    /// The process that owns an end, and its id of the connection.
    pub fn owner(&self, end: EndId) -> Option<(ProcessId, Option<ConnId>)> {
        self.connections.get(end.0).map(|ends| (ends[end.1].process, ends[end.1].id))
    }

    /// Number of connections that are not closed on both sides.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Number of connections of a process.
    pub fn connection_count(&self, process: ProcessId) -> usize {
        self.by_end.keys().filter(|(p, _)| *p == process).count()
    }

    /// Starts a connect.
    pub fn connect(&mut self, now: i64, from: ProcessId, id: ConnId, to: ProcessId) {
        let connection =
            self.connections.insert([ConnectionEnd::new(from, Some(id)), ConnectionEnd::new(to, None)]);
        self.by_end.insert((from, id), (connection, 0));
        let at = now + self.draw_latency();
        let is_engine = matches!(to, ProcessId::Engine(_));
        let lost = is_engine && self.random_bool(self.faults.connect_loss_probability);
        let refused = is_engine && self.random_bool(self.faults.refusal_probability);
        if let Some(ends) = self.connections.get_mut(connection).filter(|_| lost || refused) {
            ends[1].closed = true;
        }
        if !lost {
            self.pending_events.push((
                at,
                if refused { NetworkEvent::Refused(connection) } else { NetworkEvent::Syn(connection) },
            ));
        }
    }

    /// A connect has reached a listening process: the connection is established, whether or not the
    /// process accepts it.
    pub fn establish(&mut self, now: i64, connection: ConnId) {
        let at = now + self.draw_latency();
        if let Some(ends) = self.connections.get_mut(connection) {
            ends[0].last_arrival_at = at;
            self.pending_events.push((at, NetworkEvent::SynAck(connection)));
        }
    }

    /// A connect has reached no listening process and is refused.
    pub fn refuse(&mut self, now: i64, connection: ConnId) {
        let at = now + self.draw_latency();
        if let Some(ends) = self.connections.get_mut(connection) {
            ends[1].closed = true;
        }
        self.pending_events.push((at, NetworkEvent::Refused(connection)));
    }

    /// A process accepts a connection under an id of its own.
    pub fn accept(&mut self, connection: ConnId, id: ConnId) {
        if let Some(ends) = self.connections.get_mut(connection) {
            ends[1].id = Some(id);
            self.by_end.insert((ends[1].process, id), (connection, 1));
        }
    }

    /// Writes as many bytes as the window allows. Returns how many were taken, or `None` if the
    /// connection is closed or was reset.
    pub fn write(&mut self, now: i64, (connection, side): EndId, bytes: &[u8]) -> Option<usize> {
        let at = now + self.draw_latency();
        let is_split = self.random_bool(self.faults.split_probability);
        let is_engine = self
            .connections
            .get(connection)
            .is_some_and(|ends| matches!(ends[1].process, ProcessId::Engine(_)));
        let reset = is_engine && self.random_bool(self.faults.reset_probability);
        let ends = self.connections.get_mut(connection)?;
        if ends[side].was_reset || ends[side].closed {
            return None;
        }
        if reset {
            for other in [0, 1] {
                self.pending_events.push((at, NetworkEvent::Rst((connection, other))));
            }
        }
        let to = &mut ends[1 - side];
        let room = self.faults.window_bytes.saturating_sub(to.outstanding_bytes);
        let mut n = bytes.len().min(room);
        if is_split && n > 1 {
            n = self.rng.random_range(1..n);
        }
        to.sender_blocked = n == 0 && !bytes.is_empty();
        if n == 0 {
            return Some(0);
        }
        to.outstanding_bytes += n;
        let at = at.max(to.last_arrival_at);
        to.last_arrival_at = at;
        self.pending_events
            .push((at, NetworkEvent::Data((connection, 1 - side), Bytes::copy_from_slice(&bytes[..n]))));
        Some(n)
    }

    /// Data has arrived at an end. Returns false if that end is closed; the sender then gets a
    /// reset.
    pub fn receive(&mut self, now: i64, (connection, side): EndId, bytes: Bytes) -> bool {
        let at = now + self.draw_latency();
        let Some(ends) = self.connections.get_mut(connection) else { return false };
        if ends[side].closed {
            if !ends[1 - side].closed {
                self.pending_events.push((at, NetworkEvent::Rst((connection, 1 - side))));
            }
            return false;
        }
        ends[side].inbox.push_back(bytes);
        true
    }

    /// The other side has closed, or the connection was reset. Returns false if this end is closed.
    pub fn end_stream(&mut self, (connection, side): EndId, was_reset: bool) -> bool {
        let Some(ends) = self.connections.get_mut(connection) else { return false };
        let end = &mut ends[side];
        end.fin_received |= !was_reset;
        end.was_reset |= was_reset;
        !end.closed
    }

    /// Whether the other side has closed or the connection was reset, even if data is still unread.
    pub fn is_ending(&self, (connection, side): EndId) -> bool {
        self.connections.get(connection).is_some_and(|ends| ends[side].fin_received || ends[side].was_reset)
    }

    /// Reads at most `room` bytes at an end.
    pub fn read(&mut self, now: i64, (connection, side): EndId, room: usize) -> ReadResult {
        let at = now + self.draw_latency();
        let is_split = self.random_bool(self.faults.split_probability);
        let Some(ends) = self.connections.get_mut(connection) else { return ReadResult::Empty };
        let end = &mut ends[side];
        if end.closed || end.id.is_none() {
            return ReadResult::Empty;
        }
        if end.was_reset {
            return ReadResult::Reset;
        }
        let Some(first) = end.inbox.front_mut() else {
            if end.fin_received && room > 0 && !std::mem::replace(&mut end.fin_delivered, true) {
                return ReadResult::Fin;
            }
            return ReadResult::Empty;
        };
        let mut n = first.len().min(room);
        if is_split && n > 1 {
            n = self.rng.random_range(1..n);
        }
        if n == 0 {
            return ReadResult::Empty;
        }
        let bytes = first.split_to(n);
        if first.is_empty() {
            end.inbox.pop_front();
        }
        end.outstanding_bytes -= n;
        if std::mem::take(&mut end.sender_blocked) {
            self.pending_events.push((at, NetworkEvent::Window((connection, 1 - side))));
        }
        ReadResult::Bytes(bytes)
    }

    /// Closes a process's end. The other side sees a reset if data was unread or if `reset` is set,
    /// and an end of stream otherwise.
    pub fn close(&mut self, now: i64, process: ProcessId, id: ConnId, reset: bool) {
        let at = now + self.draw_latency();
        let Some((connection, side)) = self.by_end.remove(&(process, id)) else { return };
        let Some(ends) = self.connections.get_mut(connection) else { return };
        let unread = !ends[side].inbox.is_empty();
        ends[side].closed = true;
        let other = &mut ends[1 - side];
        if other.closed {
            self.connections.remove(connection);
            return;
        }
        let at = at.max(other.last_arrival_at);
        other.last_arrival_at = at;
        let other_end = (connection, 1 - side);
        let event = if reset || unread { NetworkEvent::Rst(other_end) } else { NetworkEvent::Fin(other_end) };
        self.pending_events.push((at, event));
    }

    /// Resets all connections of a process that was killed. They are sorted first, because the
    /// order of a hash map is random and the simulation must be deterministic.
    pub fn kill(&mut self, now: i64, process: ProcessId) {
        let mut owned: Vec<(EndId, ConnId)> = self
            .by_end
            .iter()
            .filter(|((p, _), _)| *p == process)
            .map(|((_, id), end)| (*end, *id))
            .collect();
        owned.sort_unstable();
        for (_, id) in owned {
            self.close(now, process, id, true);
        }
        // Connections that were established but not accepted.
        let mut unaccepted: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, ends)| ends[1].process == process && ends[1].id.is_none() && !ends[1].closed)
            .map(|(connection, _)| connection)
            .collect();
        unaccepted.sort_unstable();
        for connection in unaccepted {
            let at = now + self.draw_latency();
            if let Some(ends) = self.connections.get_mut(connection) {
                ends[1].closed = true;
                self.pending_events.push((at, NetworkEvent::Rst((connection, 0))));
            }
        }
    }

    /// Draws the arrival times of a datagram: none if it is lost, two if it is duplicated.
    pub fn datagram_arrivals(&mut self, now: i64) -> [Option<i64>; 2] {
        let mut times = [None; 2];
        if self.random_bool(self.faults.datagram_loss) {
            return times;
        }
        let copies = 1 + usize::from(self.random_bool(self.faults.datagram_duplication));
        for time in times.iter_mut().take(copies) {
            let delay = if self.faults.max_datagram_delay_us > 0 {
                self.rng.random_range(0..self.faults.max_datagram_delay_us)
            } else {
                0
            };
            *time = Some(now + self.draw_latency() + delay);
        }
        times
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ProcessId = ProcessId::Clients;
    const B: ProcessId = ProcessId::Engine(0);

    fn established_connection(faults: NetworkFaults) -> (Network, ConnId, ConnId, ConnId) {
        let mut ids = ConnectionTable::new(2);
        let (a, b) = (ids.insert(()), ids.insert(()));
        let mut net = Network::new(faults, 1);
        net.connect(0, A, a, B);
        let connection = net.end_of(A, a).expect("connect started").0;
        net.establish(100, connection);
        net.accept(connection, b);
        net.pending_events.clear();
        (net, connection, a, b)
    }

    /// Delivers all scheduled events and reads at the accepting end.
    fn read_all(net: &mut Network, connection: ConnId) -> Vec<u8> {
        let mut received = Vec::new();
        for _ in 0..100_000 {
            let mut pending_events = std::mem::take(&mut net.pending_events);
            pending_events.sort_by_key(|(at, _)| *at);
            if pending_events.is_empty() {
                break;
            }
            for (at, event) in pending_events {
                match event {
                    NetworkEvent::Data(to, bytes) => {
                        net.receive(at, to, bytes);
                    }
                    NetworkEvent::Fin(to) => {
                        net.end_stream(to, false);
                    }
                    _ => {}
                }
            }
            while let ReadResult::Bytes(bytes) = net.read(0, (connection, 1), 7) {
                received.extend_from_slice(&bytes);
            }
        }
        received
    }

    #[test]
    fn split_writes_and_reads_keep_the_byte_order() {
        let faults = NetworkFaults { split_probability: 0.9, window_bytes: 50, ..NetworkFaults::NONE };
        let (mut net, connection, _, _) = established_connection(faults);
        let sent: Vec<u8> = (0..=255).cycle().take(5_000).collect();
        let (mut rest, mut received) = (&sent[..], Vec::new());
        while !rest.is_empty() {
            let n = net.write(0, (connection, 0), rest).expect("open");
            rest = &rest[n..];
            if n == 0 || rest.is_empty() {
                received.extend(read_all(&mut net, connection));
            }
        }
        received.extend(read_all(&mut net, connection));
        assert_eq!(received, sent);
    }

    #[test]
    fn a_sender_is_notified_when_a_full_window_has_room_again() {
        let (mut net, connection, _, _) =
            established_connection(NetworkFaults { window_bytes: 10, ..NetworkFaults::NONE });
        assert_eq!(net.write(0, (connection, 0), &[1; 25]), Some(10));
        assert_eq!(net.write(0, (connection, 0), &[1; 15]), Some(0));
        let (_, NetworkEvent::Data(to, bytes)) = net.pending_events.remove(0) else { panic!("no data") };
        net.receive(100, to, bytes);
        assert!(matches!(net.read(200, (connection, 1), 4), ReadResult::Bytes(b) if b.len() == 4));
        assert!(matches!(net.pending_events[..], [(_, NetworkEvent::Window((_, 0)))]));
        assert_eq!(net.write(300, (connection, 0), &[1; 15]), Some(4));
    }

    #[test]
    fn a_close_arrives_after_the_data_and_is_a_reset_if_data_is_unread() {
        let (mut net, connection, a, b) = established_connection(NetworkFaults::NONE);
        net.write(0, (connection, 0), b"last words");
        net.close(0, A, a, false);
        let order: Vec<bool> =
            net.pending_events.iter().map(|(_, p)| matches!(p, NetworkEvent::Fin(_))).collect();
        assert!(order == [false, true] && net.pending_events[0].0 <= net.pending_events[1].0);
        let (at, NetworkEvent::Data(to, bytes)) = net.pending_events.remove(0) else { panic!("no data") };
        net.receive(at, to, bytes);
        net.end_stream((connection, 1), false);
        assert!(
            matches!(net.read(at, (connection, 1), 100), ReadResult::Bytes(b) if &b[..] == b"last words")
        );
        assert_eq!(net.read(at, (connection, 1), 100), ReadResult::Fin);
        net.close(at, B, b, false);
        assert!(net.is_empty());
        let (mut net, connection, _, b) = established_connection(NetworkFaults::NONE);
        net.receive(0, (connection, 1), Bytes::from_static(b"unread"));
        net.close(0, B, b, false);
        assert!(matches!(net.pending_events[..], [(_, NetworkEvent::Rst((_, 0)))]));
    }
}
