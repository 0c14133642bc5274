//! The side of the clients: their connections, one call at a time on each.

use crate::http_server::{
    self, Reply, RequestError, RequestHead, RequestKind, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};
use crate::timer_event::TimerEvent;
use bytes::{Buf, Bytes};
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, Effect, EffectQueue};

/// The room of these connections.
pub const OWNER: u8 = 1;
/// A first call must be whole in this time after its client came, and each other after its first byte, in microseconds.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// What still comes after a call that can't be used is read and dropped, so that its client sees the answer: for so long, in
/// microseconds, and so many bytes.
const DRAIN_TIME_US: i64 = 500_000;
const MAX_DRAIN_BYTES: usize = 8 << 20;
/// A client that takes nothing of its answer for so long is closed, in microseconds.
const WRITE_STALL_TIMEOUT_US: i64 = 5_000_000;
/// Connections that ask nothing more are kept for so long, in microseconds.
const IDLE_TIMEOUT_US: i64 = 30_000_000;
/// The first call of a connection may be so long on its way, in microseconds: as long as one that crosses the end of another.
const FIRST_REQUEST_GRACE_US: i64 = 50_000;
/// Clients as the protocol knows them rest no longer than this, and close then, in microseconds.
const USUAL_IDLE_TIME_US: i64 = 4_000_000;
/// Read on while a call is in hand: its client may send the next one ahead.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// It may ask.
    AwaitingRequest,
    /// Its call is in hand.
    Processing,
    /// Its last answer goes out; what still comes is dropped.
    Draining { until: i64, left: usize },
}

#[derive(Debug)]
struct ClientConnection {
    wire: ConnectionBuffer,
    state: ClientState,
    /// It has asked something that could be used.
    asked: bool,
    /// When it came, asked or was answered last.
    since: i64,
    /// When a call began to come.
    begun: Option<i64>,
    /// The connection ends after the answer to the call in hand.
    close: bool,
    /// When it last took something of what is to go.
    took: i64,
    /// Something came that was not looked at yet: it may be a call.
    fresh: bool,
}

impl ClientConnection {
    /// No call of it is in hand, on its way, or half here, and nothing is to go to it.
    fn rests(&self, now: i64) -> bool {
        let comes = !self.asked && now - self.since < FIRST_REQUEST_GRACE_US;
        let here = self.state == ClientState::Processing || self.fresh || !self.wire.input.is_empty();
        !comes && !here && self.wire.output.is_empty()
    }

    /// How readily it is closed for a new one, the least first; none if something is owed. Guards against closing on a call that has
    /// come and was not looked at yet, or is on its way on a connection that has just come up.
    fn spare(&self, now: i64) -> Option<(u8, bool, i64)> {
        let left = self.wire.read_closed || self.wire.peer_closing;
        if self.state == ClientState::Processing || (!left && (self.fresh || !self.wire.output.is_empty())) {
            return None;
        }
        let silent = now - self.since;
        let rank = match self.asked {
            _ if left => 0,
            false if silent >= FIRST_REQUEST_GRACE_US => 1,
            true if silent > USUAL_IDLE_TIME_US => 2,
            false => 3,
            true => 4,
        };
        Some((rank, self.begun.is_some(), self.since))
    }
}

/// What a client wants.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Who.
    pub client: ConnId,
    /// What.
    pub wants: RequestKind,
    /// The statement.
    pub body: Bytes,
}

/// What is counted of this side since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Who came.
    pub accepted: u64,
    /// Closed to make room, or as they asked nothing for long.
    pub evicted: u64,
    /// Calls that got nothing.
    pub bad: u64,
    /// Closed as there was no room.
    pub turned_away: u64,
}

/// All clients.
#[derive(Debug)]
pub struct Clients {
    most: usize,
    all: ConnectionTable<ClientConnection>,
    /// What was counted.
    pub counts: ClientCounters,
}

impl Clients {
    /// None yet, and so many at most.
    pub fn new(most: usize) -> Clients {
        Clients { most, all: ConnectionTable::new(OWNER), counts: ClientCounters::default() }
    }

    /// Somebody came; none if all others have calls in hand.
    pub fn accept(&mut self, out: &mut EffectQueue<TimerEvent>) -> Option<ConnId> {
        if self.all.len() >= self.most && !self.evict(out) {
            self.counts.turned_away += 1;
            return None;
        }
        self.counts.accepted += 1;
        Some(self.all.insert(ClientConnection {
            wire: ConnectionBuffer::default(),
            state: ClientState::AwaitingRequest,
            asked: false,
            since: out.now,
            begun: None,
            close: false,
            took: out.now,
            fresh: false,
        }))
    }

    /// Closes one with no call in hand; false if there is none.
    fn evict(&mut self, out: &mut EffectQueue<TimerEvent>) -> bool {
        let spare = self.all.iter().filter_map(|(id, c)| Some((c.spare(out.now)?, id)));
        let Some((_, id)) = spare.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        self.counts.evicted += 1;
        self.close(id, out);
        true
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// The bytes of a connection.
    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.all.get_mut(id).map(|c| &mut c.wire)
    }

    /// Something came on a connection, and is looked at once all of this turn is known.
    pub fn came(&mut self, id: ConnId) {
        if let Some(c) = self.all.get_mut(id) {
            c.fresh = true;
        }
    }

    fn limit(state: ClientState) -> usize {
        match state {
            ClientState::AwaitingRequest => MAX_HEAD_BYTES + MAX_BODY_BYTES,
            ClientState::Processing => READ_AHEAD_BYTES,
            ClientState::Draining { .. } => 64 << 10,
        }
    }

    /// Bytes that may come on a connection.
    pub fn room(&mut self, id: ConnId) -> usize {
        self.all.get_mut(id).map_or(0, |c| c.wire.read_capacity(Clients::limit(c.state)))
    }

    /// So much of an answer has gone; a client that had closed its side is let go after the last of it.
    pub fn wrote(&mut self, id: ConnId, n: usize, out: &mut EffectQueue<TimerEvent>) {
        let Some(c) = self.all.get_mut(id) else { return };
        c.took = out.now;
        if c.wire.advance_written(n) && c.wire.read_closed {
            self.close(id, out);
        }
    }

    /// The next call on a connection, if it is whole.
    pub fn next(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) -> Option<ClientRequest> {
        let c = self.all.get_mut(id)?;
        c.fresh = false;
        if let ClientState::Draining { until, left } = c.state {
            let came = c.wire.input.len();
            c.wire.input.clear();
            c.state = ClientState::Draining { until, left: left.saturating_sub(came) };
            if c.wire.read_closed || came > left {
                self.close(id, out);
            } else {
                c.wire.resume_reading(id, Clients::limit(c.state), out);
            }
            return None;
        }
        if c.state == ClientState::Processing {
            return None;
        }
        if c.wire.read_closed || c.wire.peer_closing {
            // Whoever has left wants no answer.
            if c.wire.output.is_empty() || c.wire.peer_closing {
                self.close(id, out);
            }
            return None;
        }
        if c.wire.input.is_empty() {
            c.begun = None;
            c.wire.resume_reading(id, Clients::limit(c.state), out);
            return None;
        }
        c.begun = c.begun.or(Some(out.now));
        let head = match http_server::head(&c.wire.input) {
            Ok(Some(head)) => head,
            Ok(None) => return None,
            Err(bad) => {
                self.bad(id, bad, out);
                return None;
            }
        };
        let RequestHead { length, body, close, wants } = head;
        if c.wire.input.len() < length {
            return None;
        }
        (c.begun, c.close, c.state, c.since) = (None, close, ClientState::Processing, out.now);
        c.wire.input.advance(length - body);
        // Its own memory, so that the buffer it came in is free again.
        let body = Bytes::copy_from_slice(&c.wire.input.split_to(body));
        c.wire.resume_reading(id, Clients::limit(c.state), out);
        match wants {
            Ok(wants) => {
                c.asked = true;
                Some(ClientRequest { client: id, wants, body })
            }
            Err(bad) => {
                self.bad(id, bad, out);
                None
            }
        }
    }

    /// A call that gets nothing.
    pub fn bad(&mut self, id: ConnId, bad: RequestError, out: &mut EffectQueue<TimerEvent>) {
        self.counts.bad += 1;
        if let Some(c) = self.all.get_mut(id) {
            c.close |= bad.ends();
        }
        self.answer(id, &Reply::Invalid(bad), out);
    }

    /// Answers the call in hand.
    pub fn answer(&mut self, id: ConnId, reply: &Reply, out: &mut EffectQueue<TimerEvent>) {
        let Some(c) = self.all.get_mut(id) else { return };
        http_server::put(reply, c.close, &mut c.wire.output);
        (c.since, c.took) = (out.now, out.now);
        c.state = if c.close {
            ClientState::Draining { until: out.now + DRAIN_TIME_US, left: MAX_DRAIN_BYTES }
        } else {
            ClientState::AwaitingRequest
        };
        c.wire.flush(id, out);
        c.wire.resume_reading(id, Clients::limit(c.state), out);
    }

    /// Whether a call of this client is in hand.
    pub fn busy(&self, id: ConnId) -> bool {
        self.all.get(id).is_some_and(|c| c.state == ClientState::Processing)
    }

    /// A connection is no more.
    pub fn close(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if self.all.remove(id).is_some() {
            out.push(Effect::Close(id));
        }
    }

    /// Now and then: who is silent, slow, or does not read.
    pub fn sweep(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let now = out.now;
        let (mut slow, mut over) = (Vec::new(), Vec::new());
        for (id, c) in self.all.iter() {
            let unread = !c.wire.output.is_empty() && now - c.took > WRITE_STALL_TIMEOUT_US;
            let begun = c.begun.or((!c.asked).then_some(c.since));
            match c.state {
                ClientState::Draining { until, .. } if now >= until && c.wire.output.is_empty() => {
                    over.push(id)
                }
                _ if unread => over.push(id),
                ClientState::AwaitingRequest if begun.is_some_and(|at| now - at > REQUEST_TIMEOUT_US) => {
                    if c.begun.is_some() { &mut slow } else { &mut over }.push(id);
                }
                ClientState::AwaitingRequest
                    if c.wire.output.is_empty() && now - c.since > IDLE_TIMEOUT_US =>
                {
                    over.push(id)
                }
                _ => {}
            }
        }
        slow.into_iter().for_each(|id| self.bad(id, RequestError::TimedOut, out));
        self.counts.evicted += over.len() as u64;
        over.into_iter().for_each(|id| self.close(id, out));
    }

    /// The end: who has no call in hand is closed, and the others after their answer. Half a call is waited for, as ever.
    pub fn end(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let idle: Vec<ConnId> = self.all.iter().filter(|(_, c)| c.rests(out.now)).map(|(id, _)| id).collect();
        idle.into_iter().for_each(|id| self.close(id, out));
    }

    /// Something is still to go to somebody, or to be answered.
    pub fn owed(&self, now: i64) -> bool {
        self.all.iter().any(|(_, c)| !c.rests(now))
    }
}
