//! The clients of a day without sockets: what they send and when, what they make of what comes back. In an open loop: what is
//! to be sent is sent at its time, whatever has become of the rest. Every row is looked at: whose answer it is.

use crate::clients::{choose_controller, retry_delay, ControllerAvailability};
use crate::crowd::{text, Manners, Tally, Try};
use crate::plan::{Arrival, Plan};
use bytes::{Buf, Bytes, BytesMut};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use wheelfield_engine_emulator::answer;
use wheelfield_invariants::ClientOutcome;
use wheelfield_pg::{backend_messages, frame, frontend_messages};
use wheelfield_sans_io::{ConnId, ConnectionTable, Timers};

/// An answer that is late is still waited for so long, to be told from one that never comes.
const WAITS_ON: i64 = 1_000_000;
/// Longest message that is read.
const READ: usize = 256 << 10;
/// Connections that are being made must be there within this.
const CONNECTS_WITHIN: i64 = 3_000_000;

/// What clients want done with their connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Connect to a controller.
    Connect(ConnId, usize),
    /// Write what [`People::output`] holds, and tell by [`People::wrote`].
    Write(ConnId),
    /// Close it.
    Close(ConnId),
    /// Send these bytes to a controller on a connection of their own, and close that.
    Cancel(usize, Bytes),
}

struct Connection {
    input: BytesMut,
    output: BytesMut,
    controller: usize,
    tenant: usize,
    ready: bool,
    closing: bool,
    /// A request to cancel is on its way, and might end the next query: nothing more runs here.
    cancelled: bool,
    /// The try that runs here.
    runs: Option<usize>,
    /// The last that ran here, which nothing may follow.
    last: Option<usize>,
    pid: i32,
    key: Bytes,
    since: i64,
}

#[derive(Clone, Copy, Debug)]
enum Wake {
    Send(usize),
    Again(usize, u32),
    Due(usize),
    Leave(usize),
    Over(usize),
    Connect(ConnId),
    Visit,
}

/// The clients of a day.
pub struct People<'a> {
    plan: &'a Plan,
    manners: Manners,
    start: i64,
    controllers: Vec<ControllerAvailability>,
    connections: ConnectionTable<Connection>,
    /// Ready and unused, by controller and customer.
    idle: BTreeMap<(usize, usize), Vec<ConnId>>,
    /// Tries that wait for a connection, by controller and customer.
    waiting: BTreeMap<(usize, usize), VecDeque<usize>>,
    who: Vec<usize>,
    /// The connection that carries a try.
    carrier: Vec<Option<ConnId>>,
    tries: Vec<Try>,
    timers: Timers<Wake>,
    open: usize,
    /// Sends that are still to come.
    coming: usize,
    chance: Pcg64Mcg,
    wishes: Vec<Wish>,
    /// Somebody who is no client comes so often, in microseconds; zero for never.
    visits: i64,
    /// What was counted.
    pub tally: Tally,
}

impl<'a> People<'a> {
    /// Clients of so many controllers, whose day begins at `start`, in microseconds.
    pub fn new(plan: &'a Plan, manners: Manners, controllers: usize, start: i64) -> People<'a> {
        let mut timers = Timers::default();
        if let Some(first) = plan.arrivals.first() {
            timers.set(start + first.at, Wake::Send(0));
        }
        People {
            plan,
            start,
            controllers: vec![ControllerAvailability::default(); controllers],
            connections: ConnectionTable::new(1),
            idle: BTreeMap::new(),
            waiting: BTreeMap::new(),
            who: Vec::new(),
            carrier: Vec::new(),
            tries: Vec::new(),
            timers,
            open: 0,
            coming: plan.arrivals.len(),
            chance: Pcg64Mcg::seed_from_u64(manners.seed),
            manners,
            wishes: Vec::new(),
            visits: 0,
            tally: Tally::default(),
        }
    }

    /// From the day's start on, somebody who is no client comes so often: with half a startup, nonsense, or a key that is none.
    pub fn visited(&mut self, every: i64) {
        self.visits = every;
        if every > 0 {
            self.timers.set(self.start, Wake::Visit);
        }
    }

    /// What is to be done; `into` is emptied first.
    pub fn wishes(&mut self, into: &mut Vec<Wish>) {
        into.clear();
        std::mem::swap(&mut self.wishes, into);
    }

    /// When [`People::pass`] is next wanted.
    pub fn next(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// All has been sent and has ended.
    pub fn done(&self) -> bool {
        self.coming == 0 && self.open == 0
    }

    /// All tries; those that are open are left so.
    pub fn into_tries(self) -> Vec<Try> {
        self.tries
    }

    /// A controller is there.
    pub fn up(&mut self, controller: usize) {
        self.controllers[controller] =
            ControllerAvailability { is_known: true, ..ControllerAvailability::default() };
    }

    /// A controller is gone.
    pub fn down(&mut self, controller: usize, now: i64) {
        self.controllers[controller].is_down = true;
        self.controllers[controller].down_since = now;
    }

    /// Lets the time pass.
    pub fn pass(&mut self, now: i64) {
        while let Some(wake) = self.timers.pop_due(now) {
            self.woken(wake, now);
        }
    }

    fn woken(&mut self, wake: Wake, now: i64) {
        match wake {
            Wake::Send(arrival) => {
                if let Some(next) = self.plan.arrivals.get(arrival + 1) {
                    self.timers.set(self.start + next.at, Wake::Send(arrival + 1));
                }
                self.send(arrival, 0, now);
            }
            Wake::Again(arrival, number) => self.send(arrival, number, now),
            // Its time is up: an answer that comes after this is late, but told from none at all.
            Wake::Due(t) => {
                if self.tries[t].end.is_none() {
                    self.timers.set(now + WAITS_ON, Wake::Over(t));
                }
            }
            Wake::Over(t) => self.leave(t, ClientOutcome::NoAnswer, now),
            Wake::Visit => {
                if self.coming > 0 {
                    self.timers.set(now + self.visits, Wake::Visit);
                    let controller = self.chance.random_range(0..self.controllers.len());
                    let bytes = visitor(&mut self.chance);
                    self.wishes.push(Wish::Cancel(controller, bytes));
                }
            }
            Wake::Leave(t) => {
                let leaves = self.plan.arrivals[self.tries[t].arrival].abandonment;
                if self.tries[t].end.is_some() {
                } else if leaves.is_some_and(|(_, cancels)| cancels) {
                    self.cancel(t);
                } else {
                    self.leave(t, ClientOutcome::Left, now);
                }
            }
            Wake::Connect(id) => {
                let late = |c: &Connection| !c.ready && now - c.since >= CONNECTS_WITHIN;
                if self.connections.get(id).is_some_and(late) {
                    self.broke(id, now);
                }
            }
        }
    }

    fn send(&mut self, a: usize, number: u32, now: i64) {
        let arrival = &self.plan.arrivals[a];
        self.coming -= 1;
        let controller = choose_controller(&self.controllers, &self.manners.habits, arrival, number, now);
        let t = self.tries.len();
        let due = now + arrival.timeout_us;
        let late_us = if number == 0 { now - (self.start + arrival.at) } else { 0 };
        self.tries.push(Try { late_us, ..Try::new(a, number, controller, now, due) });
        self.who.push(arrival.tenant.unwrap_or(0));
        self.carrier.push(None);
        self.tally.sent += 1;
        self.open += 1;
        self.timers.set(due, Wake::Due(t));
        if let Some((after, _)) = arrival.abandonment.filter(|_| number == 0) {
            self.timers.set(now + after, Wake::Leave(t));
        }
        let place = (controller, self.who[t]);
        while let Some(id) = self.idle.get_mut(&place).and_then(Vec::pop) {
            if self.connections.get(id).is_some_and(|c| c.ready && !c.closing) {
                return self.put(id, t, now);
            }
        }
        self.waiting.entry(place).or_default().push_back(t);
        self.connect(place, now);
    }

    fn connect(&mut self, place: (usize, usize), now: i64) {
        if self.connections.len() >= self.manners.connections {
            // One that rests elsewhere makes room.
            let Some(id) = self.idle.values_mut().find_map(Vec::pop) else { return };
            self.bury(id);
        }
        let user = self.manners.tenants.get(place.1).map_or("lab", String::as_str);
        let mut output = BytesMut::new();
        frontend_messages::put_startup(
            &[("user", user), ("database", "lab"), ("application_name", "wheelfield-lab")],
            &mut output,
        );
        let id = self.connections.insert(Connection {
            input: BytesMut::new(),
            output,
            controller: place.0,
            tenant: place.1,
            ready: false,
            closing: false,
            cancelled: false,
            runs: None,
            last: None,
            pid: 0,
            key: Bytes::new(),
            since: now,
        });
        self.wishes.push(Wish::Connect(id, place.0));
        self.timers.set(now + CONNECTS_WITHIN, Wake::Connect(id));
    }

    /// A connection that was to come did not.
    fn unreachable(&mut self, place: (usize, usize), now: i64) {
        if let Some(t) = self.waiting.get_mut(&place).and_then(VecDeque::pop_front) {
            self.over(t, ClientOutcome::Unreachable, now);
        }
    }

    /// Writes a try on a connection.
    fn put(&mut self, id: ConnId, t: usize, now: i64) {
        let tried = &mut self.tries[t];
        if tried.end.is_some() {
            return;
        }
        let arrival = &self.plan.arrivals[tried.arrival];
        let class = &self.manners.classes[arrival.class];
        // What was spent on connecting is not the controller's: the try begins as it is written.
        let spent = now - tried.sent;
        let left_ms = (tried.due - now) / 1000;
        (tried.sent, tried.late_us) = (now, tried.late_us + spent);
        let text = text(arrival, class, &tried.id, left_ms.max(1));
        if let Some(c) = self.connections.get_mut(id) {
            c.runs = Some(t);
            self.carrier[t] = Some(id);
            frontend_messages::put_query(&text, &mut c.output);
            self.wishes.push(Wish::Write(id));
        }
    }

    // --- connections ---

    /// A connect is through.
    pub fn connected(&mut self, id: ConnId) {
        if self.connections.get(id).is_some() {
            self.wishes.push(Wish::Write(id));
        }
    }

    /// What is to go.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.connections.get(id).map_or(&[], |c| &c.output)
    }

    /// So much of it has gone.
    pub fn wrote(&mut self, id: ConnId, n: usize) {
        if let Some(c) = self.connections.get_mut(id) {
            c.output.advance(n.min(c.output.len()));
            if c.output.is_empty() {
                c.output = BytesMut::new();
            }
        }
    }

    /// The other side has closed, though bytes of it may still come.
    pub fn closing(&mut self, id: ConnId) {
        if let Some(c) = self.connections.get_mut(id) {
            c.closing = true;
        }
    }

    /// Bytes came.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        match self.connections.get_mut(id) {
            Some(c) => c.input.extend_from_slice(bytes),
            None => return,
        }
        while let Some(c) = self.connections.get_mut(id) {
            match frame::take_message(&mut c.input, READ) {
                Ok(Some((tag, message))) => self.message(id, tag, &message, now),
                Ok(None) => {
                    if c.input.is_empty() {
                        c.input = BytesMut::new();
                    }
                    return;
                }
                Err(_) => return self.broke(id, now),
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn message(&mut self, id: ConnId, tag: u8, message: &Bytes, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        if !c.ready {
            match tag {
                b'K' => {
                    if let Ok((pid, key)) = backend_messages::parse_backend_key_data(message) {
                        (c.pid, c.key) = (pid, key);
                    }
                }
                b'Z' => {
                    c.ready = true;
                    self.rest(id, now);
                }
                b'E' => self.broke(id, now),
                _ => {}
            }
            return;
        }
        let Some(t) = c.runs else {
            // On a connection at rest nothing may come but word that it ends.
            let fatal = tag == b'E'
                && backend_messages::parse_sqlstate_and_message(message)
                    .is_ok_and(|(state, _)| state == "57P01");
            if let Some(last) = c.last.filter(|_| !fatal && !matches!(tag, b'S' | b'N')) {
                self.tries[last].after = Some(tag as char);
            }
            return;
        };
        let class = &self.manners.classes[self.plan.arrivals[self.tries[t].arrival].class];
        let rows = if class.load { 0 } else { class.rows };
        let tried = &mut self.tries[t];
        match tag {
            b'T' => tried.is_wrong(rows == 0 || !described(message), "a description of something else"),
            b'D' => {
                let right = answer::is_expected_row(message, &tried.id, tried.rows, rows);
                tried.is_wrong(!right, "a row that answers another query, or is out of turn");
                tried.rows += 1;
            }
            b'C' => {
                tried.answers += 1;
                let wanted = if class.load { "INSERT 0 1".to_string() } else { format!("SELECT {rows}") };
                let got = message.get(5..message.len() - 1).unwrap_or(&[]);
                tried.is_wrong(got != wanted.as_bytes(), "the completion of something else");
                tried.is_wrong(tried.rows != rows, "an answer told as whole that is not");
            }
            b'E' => {
                tried.answers += 1;
                let (state, _) = backend_messages::parse_sqlstate_and_message(message).unwrap_or_default();
                let text = String::from_utf8_lossy(message);
                let advice = text.split("retry_after_ms=").nth(1);
                tried.advice_ms =
                    advice.and_then(|a| a.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
                let cancels =
                    self.plan.arrivals[tried.arrival].abandonment.is_some_and(|(_, cancels)| cancels);
                tried.is_wrong(state == "57014" && !cancels, "a cancel that its client never asked for");
                tried.state = state;
            }
            b'Z' => {
                let end = match tried.state.as_str() {
                    "" => ClientOutcome::Served,
                    "53300" => ClientOutcome::Refused,
                    _ => ClientOutcome::Failed,
                };
                tried
                    .is_wrong(end == ClientOutcome::Served && tried.answers == 0, "an end without an answer");
                c.runs = None;
                c.last = Some(t);
                self.over(t, end, now);
                self.rest(id, now);
            }
            _ => {}
        }
    }

    /// A connection takes the next try that waits, or rests.
    fn rest(&mut self, id: ConnId, now: i64) {
        let Some(c) = self.connections.get(id) else { return };
        if c.cancelled {
            return self.bury(id);
        }
        let place = (c.controller, c.tenant);
        while let Some(t) = self.waiting.get_mut(&place).and_then(VecDeque::pop_front) {
            if self.tries[t].end.is_none() {
                return self.put(id, t, now);
            }
        }
        self.idle.entry(place).or_default().push(id);
    }

    /// A connection broke, was closed by the other side, or was never made.
    pub fn broke(&mut self, id: ConnId, now: i64) {
        let Some(c) = self.connections.get(id) else { return };
        let (place, ready, runs) = ((c.controller, c.tenant), c.ready, c.runs);
        self.bury(id);
        if let Some(t) = runs {
            self.over(t, ClientOutcome::Broke, now);
        } else if !ready {
            self.unreachable(place, now);
        }
    }

    fn bury(&mut self, id: ConnId) {
        if let Some(c) = self.connections.remove(id) {
            if let Some(idle) = self.idle.get_mut(&(c.controller, c.tenant)) {
                idle.retain(|i| *i != id);
            }
            self.wishes.push(Wish::Close(id));
        }
    }

    fn connection_of(&self, t: usize) -> Option<(ConnId, &Connection)> {
        let id = self.carrier[t]?;
        self.connections.get(id).filter(|c| c.runs == Some(t)).map(|c| (id, c))
    }

    /// A client leaves without waiting any longer.
    fn leave(&mut self, t: usize, end: ClientOutcome, now: i64) {
        if self.tries[t].end.is_some() {
            return;
        }
        if let Some((id, _)) = self.connection_of(t) {
            self.bury(id);
        }
        self.over(t, end, now);
    }

    /// A client asks that its query end; the answer still comes.
    fn cancel(&mut self, t: usize) {
        let Some((id, _)) = self.connection_of(t) else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        c.cancelled = true;
        // A request to cancel is a connection of its own, which is closed without an answer.
        let mut out = BytesMut::new();
        frontend_messages::put_cancel(c.pid, &c.key, &mut out);
        self.wishes.push(Wish::Cancel(c.controller, out.freeze()));
    }

    fn over(&mut self, t: usize, end: ClientOutcome, now: i64) {
        let tried = &mut self.tries[t];
        if tried.end.is_some() {
            return;
        }
        (tried.end, tried.ended) = (Some(end), now);
        self.open -= 1;
        match end {
            ClientOutcome::Served => self.tally.served += 1,
            ClientOutcome::Refused => self.tally.refused += 1,
            ClientOutcome::Failed => self.tally.failed += 1,
            _ => self.tally.other += 1,
        }
        self.maybe_again(t, end, now);
    }

    /// A refused query, or one whose controller could not be had, is tried again within the client's habits.
    fn maybe_again(&mut self, t: usize, end: ClientOutcome, now: i64) {
        let tried = &self.tries[t];
        let a: &Arrival = &self.plan.arrivals[tried.arrival];
        let class = &self.manners.classes[a.class];
        let left = self.start + a.at + class.deadline.0 .0 - now;
        let wait = retry_delay(class, &self.manners.habits, a, tried, end, left, &mut self.chance);
        if let Some(wait) = wait {
            self.coming += 1;
            self.timers.set(now + wait, Wake::Again(tried.arrival, tried.number + 1));
        }
    }
}

/// What somebody sends who is no client.
fn visitor(chance: &mut Pcg64Mcg) -> Bytes {
    let mut out = BytesMut::new();
    frontend_messages::put_startup(&[("user", "nobody"), ("database", "lab")], &mut out);
    match chance.random_range(0..6) {
        0 => out.truncate(chance.random_range(0..out.len())),
        1 => out = (0..chance.random_range(1..600)).map(|_| chance.random::<u8>()).collect(),
        2 => {
            frontend_messages::put_cancel(chance.random_range(0..50), &Bytes::from_static(b"none"), &mut out)
        }
        3 => {
            out.clear();
            frontend_messages::put_cancel(chance.random_range(0..50), &Bytes::from_static(b"none"), &mut out);
        }
        // A message without an end, and one of a length that can't be.
        4 => out.extend_from_slice(b"Q\0\0\0\x20select"),
        _ => out.extend_from_slice(&[b'P', 0xff, 0xff, 0xff, 0xff, 0, 0]),
    }
    out.freeze()
}

/// The description that the stand-in gives of its rows: two columns, `n` and `data`.
fn described(message: &[u8]) -> bool {
    let mut expected = BytesMut::new();
    backend_messages::put_row_description(
        &answer::Plan::Rows { count: 0, text_bytes: 0, query_mark: 0 }.columns(),
        &[],
        &mut expected,
    );
    message == &expected[..]
}
