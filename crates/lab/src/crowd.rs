//! The clients of a day, in an open loop: what is to be sent is sent at its time, whatever has become of the rest.

use crate::clients::{again, door, Door};
use crate::plan::{Arrival, Plan};
use crate::stage::Change;
use anyhow::Result;
use bytes::{Bytes, BytesMut};
use mio::{Events, Poll, Token};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use wheelfield_net::{connect, Clock, Stream, Timers};
use wheelfield_pg::{back, frame, front};
use wheelfield_rules::End;

/// An answer that is late is still waited for so long, to be told from one that never comes.
const WAITS_ON: i64 = 1_000_000;
/// Read from a controller at a time.
const READ: usize = 256 << 10;
/// Connections that are being made must be there within this.
const CONNECTS_WITHIN: i64 = 3_000_000;

/// One try of a query.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Its name, which the controller and the engines see too.
    pub id: String,
    /// Which arrival it is of.
    pub arrival: usize,
    /// Which try, from 0.
    pub number: u32,
    /// The controller it went to.
    pub controller: usize,
    /// When it was sent, in microseconds of the wall clock.
    pub sent: i64,
    /// When its client gives up.
    pub due: i64,
    /// When it ended.
    pub ended: i64,
    /// How.
    pub end: Option<End>,
    /// The SQLSTATE of an error.
    pub state: String,
    /// Rows that came.
    pub rows: u64,
    /// Final answers that came: ends of a statement, and errors.
    pub answers: u32,
    /// What came on the connection after the answer was whole, by its type.
    pub after: Option<char>,
    /// Advice on when to come back, in milliseconds.
    pub advice_ms: Option<u64>,
    /// So late it was sent, as this process had other things to do, in microseconds.
    pub late_us: i64,
}

impl Try {
    /// A try that was just sent.
    pub fn new(arrival: usize, number: u32, controller: usize, sent: i64, due: i64) -> Try {
        Try {
            id: format!("q{arrival}-{number}"),
            arrival,
            number,
            controller,
            sent,
            due,
            ended: 0,
            end: None,
            state: String::new(),
            rows: 0,
            answers: 0,
            after: None,
            advice_ms: None,
            late_us: 0,
        }
    }
}

struct Connection {
    stream: Stream,
    controller: usize,
    tenant: usize,
    ready: bool,
    /// The try that runs here.
    runs: Option<usize>,
    /// The last that ran here, which nothing may follow.
    last: Option<usize>,
    /// It leaves by asking to cancel.
    pid: i32,
    key: Bytes,
    gone: bool,
    since: i64,
}

#[derive(Clone, Copy, Debug)]
enum Wake {
    Send(usize),
    Again(usize, u32),
    Due(usize),
    Leave(usize),
    Over(usize),
    Connect(usize),
}

/// What the crowd counts as it goes, for a line on the screen.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    /// Tries sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Ended otherwise.
    pub other: u64,
}

/// How the crowd is set up.
#[derive(Clone, Debug)]
pub struct Manners {
    /// The day's classes, as the hints name them.
    pub classes: Vec<crate::day::Class>,
    /// Logins of the customers.
    pub tenants: Vec<String>,
    /// What clients do.
    pub habits: crate::day::Habits,
    /// Connections at most.
    pub connections: usize,
    /// Seed of the crowd's own chance.
    pub seed: u64,
}

/// The clients.
pub struct Crowd<'a> {
    clock: Clock,
    poll: Poll,
    plan: &'a Plan,
    manners: Manners,
    start: i64,
    doors: Vec<Door>,
    addresses: Vec<Option<SocketAddr>>,
    changes: Receiver<Change>,
    connections: Slab<Connection>,
    /// Ready and unused, by controller and customer.
    idle: BTreeMap<(usize, usize), Vec<usize>>,
    /// Tries that wait for a connection, by controller and customer.
    waiting: BTreeMap<(usize, usize), VecDeque<usize>>,
    who: Vec<usize>,
    /// The connection that carries a try.
    carrier: Vec<Option<usize>>,
    tries: Vec<Try>,
    timers: Timers<Wake>,
    open: usize,
    /// Sends that are still to come.
    coming: usize,
    dead: Vec<usize>,
    scratch: Vec<u8>,
    chance: Pcg64Mcg,
    /// What was counted.
    pub tally: Tally,
}

/// The text of a query with all that it tells of itself.
pub fn text(arrival: &Arrival, class: &crate::day::Class, id: &str, due_ms: i64) -> String {
    let mut out = String::new();
    let verb = if class.load { "insert into facts select * from staged" } else { "select * from facts" };
    let _ = write!(
        out,
        "{verb} /*class='{}',id='{id}',due_ms='{due_ms}',tables='{}'",
        class.name, arrival.tables
    );
    if let Some(estimate) = arrival.estimate {
        let _ = write!(out, ",work_ms='{:.1}'", estimate * 1e3);
    }
    if arrival.memory_mb > 0.0 {
        let _ = write!(out, ",memory_mb='{:.0}'", arrival.memory_mb);
    }
    if let Some(key) = arrival.key {
        let _ = write!(out, ",key='k{key}'");
    }
    let _ = write!(out, ",run_ms='{:.2}',threads='{}',io='{}'", arrival.work * 1e3, class.threads, class.io);
    let _ = write!(out, ",usual_ms='{:.1}'", class.work.0 .0 as f64 / 1e3);
    if class.bad_plans > 0.0 {
        let _ = write!(out, ",bad='{}'", class.bad_plans);
    }
    if class.load {
        out.push_str(",load='1'");
    } else {
        let _ = write!(out, ",rows='{}'", class.rows);
    }
    if class.waits_for_loads {
        out.push_str(",waits='1'");
    }
    out.push_str("*/");
    out
}

impl<'a> Crowd<'a> {
    /// A crowd that begins at `start`, in microseconds of the wall clock.
    ///
    /// # Errors
    /// As the system tells.
    pub fn new(
        plan: &'a Plan,
        manners: Manners,
        controllers: usize,
        changes: Receiver<Change>,
        clock: Clock,
        start: i64,
    ) -> Result<Crowd<'a>> {
        let mut timers = Timers::default();
        if let Some(first) = plan.arrivals.first() {
            timers.set(start + first.at, Wake::Send(0));
        }
        Ok(Crowd {
            clock,
            poll: Poll::new()?,
            plan,
            start,
            doors: vec![Door::default(); controllers],
            addresses: vec![None; controllers],
            changes,
            connections: Slab::new(),
            idle: BTreeMap::new(),
            waiting: BTreeMap::new(),
            who: Vec::new(),
            carrier: Vec::new(),
            tries: Vec::new(),
            timers,
            open: 0,
            coming: plan.arrivals.len(),
            dead: Vec::new(),
            scratch: vec![0; 64 << 10],
            chance: Pcg64Mcg::seed_from_u64(manners.seed),
            manners,
            tally: Tally::default(),
        })
    }

    /// Plays until all has been sent and has ended, or until `end`, and gives all tries. `watch` sees the tally once
    /// a second.
    ///
    /// # Errors
    /// As the system tells of the poll itself.
    pub fn play(mut self, end: i64, mut watch: impl FnMut(i64, Tally)) -> Result<Vec<Try>> {
        let mut events = Events::with_capacity(4096);
        let mut next_watch = self.start + 1_000_000;
        loop {
            let now = self.clock.now();
            while let Ok(change) = self.changes.try_recv() {
                match change {
                    Change::Up(i, address) => {
                        self.doors[i] = Door { known: true, ..Door::default() };
                        self.addresses[i] = Some(address);
                    }
                    Change::Down(i) => (self.doors[i].down, self.doors[i].since) = (true, now),
                }
            }
            while let Some(wake) = self.timers.pop(now) {
                self.on_wake(wake, now);
            }
            for id in std::mem::take(&mut self.dead) {
                if let Some(c) = self.connections.try_remove(id) {
                    c.stream.close(self.poll.registry(), false);
                }
            }
            if now >= next_watch {
                watch(now - self.start, self.tally);
                next_watch += 1_000_000;
            }
            if (self.coming == 0 && self.open == 0) || now >= end {
                return Ok(self.tries);
            }
            let next = self.timers.next().unwrap_or(now + 50_000).min(next_watch).min(now + 50_000);
            match self.poll.poll(&mut events, Some(self.clock.until(next).max(Duration::from_micros(1)))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                let Token(id) = event.token();
                if let Some(c) = self.connections.get_mut(id) {
                    c.stream.on(event);
                    self.attend(id);
                }
            }
        }
    }

    fn on_wake(&mut self, wake: Wake, now: i64) {
        match wake {
            Wake::Send(arrival) => {
                let plan: &'a Plan = self.plan;
                if let Some(next) = plan.arrivals.get(arrival + 1) {
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
            Wake::Over(t) => self.leave(t, End::NoAnswer, now),
            Wake::Leave(t) => {
                let cancels =
                    self.plan.arrivals[self.tries[t].arrival].leaves.is_some_and(|(_, cancels)| cancels);
                if self.tries[t].end.is_some() {
                } else if cancels {
                    self.cancel(t);
                } else {
                    self.leave(t, End::Left, now);
                }
            }
            Wake::Connect(id) => {
                if self
                    .connections
                    .get(id)
                    .is_some_and(|c| !c.ready && !c.gone && now - c.since >= CONNECTS_WITHIN)
                {
                    self.broke(id, now);
                }
            }
        }
    }

    fn send(&mut self, a: usize, number: u32, now: i64) {
        let plan: &'a Plan = self.plan;
        let arrival = &plan.arrivals[a];
        self.coming -= 1;
        let controller = door(&self.doors, &self.manners.habits, arrival, number, now);
        let t = self.tries.len();
        let due = now + arrival.patience;
        let planned = self.start + arrival.at;
        let late_us = if number == 0 { now - planned } else { 0 };
        self.tries.push(Try { late_us, ..Try::new(a, number, controller, now, due) });
        self.who.push(arrival.tenant.unwrap_or(0));
        self.carrier.push(None);
        self.tally.sent += 1;
        self.open += 1;
        self.timers.set(due, Wake::Due(t));
        if let Some((after, _)) = arrival.leaves.filter(|_| number == 0) {
            self.timers.set(now + after, Wake::Leave(t));
        }
        let place = (controller, self.who[t]);
        while let Some(id) = self.idle.get_mut(&place).and_then(Vec::pop) {
            if self.connections.get(id).is_some_and(|c| c.ready && !c.gone && !c.stream.closing()) {
                return self.put(id, t, now);
            }
        }
        self.waiting.entry(place).or_default().push_back(t);
        self.connect(place, now);
    }

    fn connect(&mut self, place: (usize, usize), now: i64) {
        if self.connections.len() >= self.manners.connections {
            // One that rests elsewhere makes room.
            let rests = self.idle.values_mut().find_map(Vec::pop);
            if let Some(id) = rests {
                self.bury(id);
            } else {
                return;
            }
        }
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let address = self.addresses[place.0];
        let Some(Ok(mut stream)) = address.map(|a| connect(a, self.poll.registry(), Token(id))) else {
            return self.unreachable(place, now);
        };
        let user = self.manners.tenants.get(place.1).map_or("lab", String::as_str);
        front::put_startup(
            &[("user", user), ("database", "lab"), ("application_name", "wheelfield-lab")],
            &mut stream.output,
        );
        entry.insert(Connection {
            stream,
            controller: place.0,
            tenant: place.1,
            ready: false,
            runs: None,
            last: None,
            pid: 0,
            key: Bytes::new(),
            gone: false,
            since: now,
        });
        self.timers.set(now + CONNECTS_WITHIN, Wake::Connect(id));
    }

    /// A connection that was to come did not.
    fn unreachable(&mut self, place: (usize, usize), now: i64) {
        if let Some(t) = self.waiting.get_mut(&place).and_then(VecDeque::pop_front) {
            self.over(t, End::Unreachable, now);
        }
    }

    /// Writes a try on a connection.
    fn put(&mut self, id: usize, t: usize, now: i64) {
        let plan: &'a Plan = self.plan;
        let tried = &mut self.tries[t];
        if tried.end.is_some() {
            return;
        }
        let arrival = &plan.arrivals[tried.arrival];
        let class = &self.manners.classes[arrival.class];
        // What was spent on connecting is not the controller's: the try begins as it is written.
        let spent = now - tried.sent;
        let left_ms = (tried.due - now) / 1000;
        (tried.sent, tried.late_us) = (now, tried.late_us + spent);
        let text = text(arrival, class, &tried.id, left_ms.max(1));
        if let Some(c) = self.connections.get_mut(id) {
            c.runs = Some(t);
            self.carrier[t] = Some(id);
            front::put_query(&text, &mut c.stream.output);
            if c.stream.flush().is_err() {
                self.broke(id, now);
            }
        }
    }

    fn attend(&mut self, id: usize) {
        let now = self.clock.now();
        let Some(c) = self.connections.get_mut(id).filter(|c| !c.gone) else { return };
        match c.stream.connected() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => return self.broke(id, now),
        }
        let mut failed = c.stream.flush().is_err();
        loop {
            let Some(c) = self.connections.get_mut(id).filter(|c| !c.gone) else { return };
            failed |= c.stream.fill(READ, &mut self.scratch).is_err();
            match frame::take(&mut c.stream.input, READ) {
                Ok(Some((tag, message))) => self.on_message(id, tag, &message, now),
                Ok(None) => break,
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        let Some(c) = self.connections.get_mut(id).filter(|c| !c.gone) else { return };
        c.stream.relax();
        if failed || c.stream.ended() {
            self.broke(id, now);
        }
    }

    fn on_message(&mut self, id: usize, tag: u8, message: &Bytes, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        if !c.ready {
            match tag {
                b'K' => {
                    if let Ok((pid, key)) = back::key_of(message) {
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
            let fatal = tag == b'E' && back::trouble(message).is_ok_and(|(state, _)| state == "57P01");
            if let Some(last) = c.last.filter(|_| !fatal && !matches!(tag, b'S' | b'N')) {
                self.tries[last].after = Some(tag as char);
            }
            return;
        };
        let tried = &mut self.tries[t];
        match tag {
            b'D' => tried.rows += 1,
            b'C' => tried.answers += 1,
            b'E' => {
                tried.answers += 1;
                let (state, _) = back::trouble(message).unwrap_or_default();
                let text = String::from_utf8_lossy(message);
                let advice = text.split("retry_after_ms=").nth(1);
                tried.advice_ms =
                    advice.and_then(|a| a.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
                tried.state = state;
            }
            b'Z' => {
                let end = match tried.state.as_str() {
                    "" => End::Served,
                    "53300" => End::Refused,
                    _ => End::Failed,
                };
                c.runs = None;
                c.last = Some(t);
                self.over(t, end, now);
                self.rest(id, now);
            }
            _ => {}
        }
    }

    /// A connection takes the next try that waits, or rests.
    fn rest(&mut self, id: usize, now: i64) {
        let Some(c) = self.connections.get(id) else { return };
        let place = (c.controller, c.tenant);
        while let Some(t) = self.waiting.get_mut(&place).and_then(VecDeque::pop_front) {
            if self.tries[t].end.is_none() {
                return self.put(id, t, now);
            }
        }
        self.idle.entry(place).or_default().push(id);
    }

    /// A connection broke, or was never made.
    fn broke(&mut self, id: usize, now: i64) {
        let Some(c) = self.connections.get(id).filter(|c| !c.gone) else { return };
        let (place, ready, runs) = ((c.controller, c.tenant), c.ready, c.runs);
        self.bury(id);
        if let Some(t) = runs {
            self.over(t, End::Broke, now);
        } else if !ready {
            self.unreachable(place, now);
        }
    }

    fn bury(&mut self, id: usize) {
        if let Some(c) = self.connections.get_mut(id).filter(|c| !c.gone) {
            c.gone = true;
            // Its number will be another's.
            if let Some(idle) = self.idle.get_mut(&(c.controller, c.tenant)) {
                idle.retain(|i| *i != id);
            }
            self.dead.push(id);
        }
    }

    fn connection_of(&self, t: usize) -> Option<usize> {
        let id = self.carrier[t]?;
        self.connections.get(id).filter(|c| c.runs == Some(t) && !c.gone).map(|_| id)
    }

    /// A client leaves without waiting any longer.
    fn leave(&mut self, t: usize, end: End, now: i64) {
        if self.tries[t].end.is_some() {
            return;
        }
        if let Some(id) = self.connection_of(t) {
            self.bury(id);
        }
        self.over(t, end, now);
    }

    /// A client asks that its query end; the answer still comes.
    fn cancel(&mut self, t: usize) {
        let Some(id) = self.connection_of(t) else { return };
        let c = &self.connections[id];
        let Some(address) = self.addresses[c.controller] else { return };
        // A request to cancel is a connection of its own, which is closed without an answer.
        if let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            let mut out = BytesMut::new();
            front::put_cancel(c.pid, &c.key, &mut out);
            let _ = std::io::Write::write_all(&mut stream, &out);
        }
    }

    fn over(&mut self, t: usize, end: End, now: i64) {
        let tried = &mut self.tries[t];
        if tried.end.is_some() {
            return;
        }
        tried.end = Some(end);
        tried.ended = now;
        self.open -= 1;
        match end {
            End::Served => self.tally.served += 1,
            End::Refused => self.tally.refused += 1,
            End::Failed => self.tally.failed += 1,
            _ => self.tally.other += 1,
        }
        self.maybe_again(t, end, now);
    }

    /// A refused query, or one whose controller could not be had, is tried again within the client's habits.
    fn maybe_again(&mut self, t: usize, end: End, now: i64) {
        let plan: &'a Plan = self.plan;
        let tried = &self.tries[t];
        let a = &plan.arrivals[tried.arrival];
        let class = &self.manners.classes[a.class];
        let left = self.start + a.at + class.deadline.0 .0 - now;
        let wait = again(class, &self.manners.habits, a, tried, end, left, &mut self.chance);
        if let Some(wait) = wait {
            self.coming += 1;
            self.timers.set(now + wait, Wake::Again(tried.arrival, tried.number + 1));
        }
    }
}
