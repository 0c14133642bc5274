//! The clients of one worker: what is due, which connection carries it, what became of it. No I/O and no clock: it is told
//! what happened, and says what to do.

use crate::schedule::Send;
use crate::script::{GivesUp, Script};
use crate::tally::{Total, SERVED};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield_net::Timers;

/// A connection that is being made must be there within this, in microseconds.
const CONNECTS_WITHIN: i64 = 5_000_000;
/// A client that asked to cancel waits so long for the end of its query, then closes.
const CANCELS_WITHIN: i64 = 2_000_000;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    /// Make a connection for a tenant of a stream, and call it by this number.
    Open {
        /// Its number.
        conn: usize,
        /// Whose user it has.
        stream: u32,
        /// Which tenant of that stream.
        tenant: usize,
    },
    /// Write a query. It is of the client's own number `job`, and has so long left.
    Write {
        /// On this connection.
        conn: usize,
        /// Which send.
        send: usize,
        /// Its number.
        job: u64,
        /// Microseconds until its client gives up.
        left: i64,
    },
    /// Ask that what runs on a connection be cancelled.
    Cancel {
        /// Which.
        conn: usize,
    },
    /// Read nothing more of a connection.
    Mute {
        /// Which.
        conn: usize,
    },
    /// Close a connection.
    Close {
        /// Which.
        conn: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Job {
    send: usize,
    number: u64,
    /// When it was meant to be sent first, on the caller's clock.
    intended: i64,
    due: i64,
    tries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    job: Job,
    written: i64,
    /// Given up on; its answer counts for nothing.
    over: bool,
}

#[derive(Debug)]
struct Conn {
    place: (u32, usize),
    ready: bool,
    out: VecDeque<Out>,
    mute: bool,
}

#[derive(Clone, Copy, Debug)]
enum Wake {
    Again(Job),
    Due(u64),
    Connect(usize, u64),
    Cancelled(usize, u64),
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// It is whole.
    Served,
    /// An error of this SQLSTATE, with advice on when to come back in milliseconds.
    Error(&'a str, Option<u64>),
}

/// The clients.
pub struct Crew<'a> {
    script: &'a Script,
    sends: &'a [Send],
    /// Which of the sends are this worker's: each `of`-th from `next` on.
    next: usize,
    of: usize,
    start: i64,
    connections: usize,
    conns: Slab<Conn>,
    /// Numbers of connections are used again; this tells them apart.
    born: BTreeMap<usize, u64>,
    births: u64,
    free: BTreeMap<(u32, usize), BTreeSet<usize>>,
    /// In turn; those that gave up meanwhile are not in `queued` any more.
    waiting: BTreeMap<(u32, usize), VecDeque<Job>>,
    queued: BTreeMap<(u32, usize), BTreeMap<u64, Job>>,
    /// Connections that are being made.
    coming: BTreeMap<(u32, usize), usize>,
    /// Where each query is that was written.
    written: BTreeMap<u64, usize>,
    timers: Timers<Wake>,
    jobs: u64,
    open: u64,
    chance: Pcg64Mcg,
    total: Total,
    todo: Vec<Do>,
}

impl<'a> Crew<'a> {
    /// Worker `index` of `of`, with so many connections at most; the first send is due `start` on the caller's clock.
    pub fn new(
        script: &'a Script,
        sends: &'a [Send],
        (index, of): (usize, usize),
        connections: usize,
        start: i64,
        seed: u64,
    ) -> Crew<'a> {
        let mut total = Total::default();
        for s in &script.streams {
            total.streams.insert(s.name.clone(), crate::tally::Tally::default());
        }
        Crew {
            script,
            sends,
            next: index,
            of: of.max(1),
            start,
            connections: connections.max(1),
            conns: Slab::new(),
            born: BTreeMap::new(),
            births: 0,
            free: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queued: BTreeMap::new(),
            coming: BTreeMap::new(),
            written: BTreeMap::new(),
            timers: Timers::default(),
            jobs: 0,
            open: 0,
            chance: Pcg64Mcg::seed_from_u64(seed ^ (index as u64) << 32),
            total,
            todo: Vec::new(),
        }
    }

    /// When [`Crew::tick`] is next wanted.
    pub fn next(&self) -> Option<i64> {
        let send = self.sends.get(self.next).map(|s| self.start + s.at);
        [send, self.timers.next_at()].into_iter().flatten().min()
    }

    /// All was sent, and all has ended.
    pub fn done(&self) -> bool {
        self.next >= self.sends.len() && self.open == 0
    }

    /// What was counted so far.
    pub fn total(&self) -> &Total {
        &self.total
    }

    /// What is to be done, in this order.
    pub fn todo(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.todo)
    }

    /// Ends the run: what is open counts as unfinished.
    pub fn finish(mut self) -> Total {
        let names: Vec<&str> = self.script.streams.iter().map(|s| s.name.as_str()).collect();
        let running =
            self.conns.iter().flat_map(|(_, c)| c.out.iter().filter(|o| !o.over).map(|o| o.job.send));
        let waiting = self.queued.values().flat_map(BTreeMap::values).map(|j| j.send);
        let open: Vec<usize> = running.chain(waiting).collect();
        for send in open {
            if let Some(t) = self.total.streams.get_mut(names[self.sends[send].stream as usize]) {
                t.end("unfinished");
            }
        }
        self.total
    }

    fn tally(&mut self, send: usize) -> &mut crate::tally::Tally {
        let name = &self.script.streams[self.sends[send].stream as usize].name;
        // All were put in at the start.
        self.total.streams.entry(name.clone()).or_default()
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: i64) {
        while let Some(send) = self.sends.get(self.next).filter(|s| self.start + s.at <= now) {
            let intended = self.start + send.at;
            let _ = self.total.late.record((now - intended).max(0) as u64);
            let patience = self.script.streams[send.stream as usize].patience.0 .0;
            self.jobs += 1;
            let job =
                Job { send: self.next, number: self.jobs, intended, due: intended + patience, tries: 0 };
            self.open += 1;
            self.tally(job.send).wanted += 1;
            self.next += self.of;
            self.begin(job, now);
        }
        while let Some(wake) = self.timers.pop_due(now) {
            match wake {
                Wake::Again(job) => self.begin(job, now),
                Wake::Due(number) => self.give_up(number, now),
                Wake::Connect(conn, born) => {
                    let late = self.conns.get(conn).is_some_and(|c| !c.ready);
                    if late && self.born.get(&conn) == Some(&born) {
                        self.todo.push(Do::Close { conn });
                        self.broke(conn, now);
                    }
                }
                Wake::Cancelled(conn, number) => {
                    let runs = self.written.get(&number) == Some(&conn);
                    if runs && self.conns.contains(conn) {
                        self.todo.push(Do::Close { conn });
                        self.broke(conn, now);
                    }
                }
            }
        }
    }

    fn begin(&mut self, job: Job, now: i64) {
        let send = self.sends[job.send];
        let place = (send.stream, send.tenant);
        self.timers.set(job.due, Wake::Due(job.number));
        let pipeline = self.script.streams[send.stream as usize].pipeline;
        while let Some(conn) = self.free.get_mut(&place).and_then(BTreeSet::pop_last) {
            let usable = |c: &Conn| c.ready && !c.mute && c.out.len() < pipeline;
            if self.conns.get(conn).is_some_and(usable) {
                return self.write(conn, job, now);
            }
        }
        self.waiting.entry(place).or_default().push_back(job);
        self.queued.entry(place).or_default().insert(job.number, job);
        if self.queue(place) > self.coming.get(&place).copied().unwrap_or(0) {
            self.connect(place, now);
        }
    }

    /// Tries that wait for a connection.
    fn queue(&self, place: (u32, usize)) -> usize {
        self.queued.get(&place).map_or(0, BTreeMap::len)
    }

    /// The next that waits for one.
    fn dequeue(&mut self, place: (u32, usize)) -> Option<Job> {
        let (waiting, queued) = (self.waiting.get_mut(&place)?, self.queued.get_mut(&place)?);
        while let Some(job) = waiting.pop_front() {
            if queued.remove(&job.number).is_some() {
                return Some(job);
            }
        }
        None
    }

    fn connect(&mut self, place: (u32, usize), now: i64) {
        if self.conns.len() >= self.connections {
            // One that rests elsewhere makes room.
            let rests = self.free.values_mut().find_map(BTreeSet::pop_first);
            let rests = rests.filter(|c| self.conns.get(*c).is_some_and(|c| c.out.is_empty()));
            let Some(conn) = rests else {
                self.starve(place);
                return;
            };
            self.todo.push(Do::Close { conn });
            self.forget(conn);
        }
        self.births += 1;
        let out = VecDeque::new();
        let conn = self.conns.insert(Conn { place, ready: false, out, mute: false });
        self.born.insert(conn, self.births);
        self.timers.set(now + CONNECTS_WITHIN, Wake::Connect(conn, self.births));
        *self.coming.entry(place).or_default() += 1;
        self.todo.push(Do::Open { conn, stream: place.0, tenant: place.1 });
    }

    fn starve(&mut self, place: (u32, usize)) {
        if let Some(job) = self.waiting.get(&place).and_then(|w| w.back()).copied() {
            self.tally(job.send).starved += 1;
        }
    }

    fn write(&mut self, conn: usize, job: Job, now: i64) {
        let send = self.sends[job.send];
        let stream = &self.script.streams[send.stream as usize];
        let unread = f64::from(send.chance) < stream.never_reads;
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.out.push_back(Out { job, written: now, over: false });
        c.mute |= unread;
        let room = c.out.len() < stream.pipeline && !c.mute;
        self.written.insert(job.number, conn);
        self.tally(job.send).sent += 1;
        if unread {
            self.todo.push(Do::Mute { conn });
        }
        self.todo.push(Do::Write { conn, send: job.send, job: job.number, left: (job.due - now).max(1) });
        if room {
            self.free.entry((send.stream, send.tenant)).or_default().insert(conn);
        }
    }

    /// A connection is through, and its server ready.
    pub fn opened(&mut self, conn: usize, now: i64) {
        let Some(c) = self.conns.get_mut(conn).filter(|c| !c.ready) else { return };
        c.ready = true;
        let place = c.place;
        self.came(place);
        self.total.opened += 1;
        self.rest(conn, now);
    }

    /// A connection takes what waits for one, or rests.
    fn rest(&mut self, conn: usize, now: i64) {
        loop {
            let Some(c) = self.conns.get(conn).filter(|c| c.ready && !c.mute) else { return };
            let place = c.place;
            let pipeline = self.script.streams[place.0 as usize].pipeline;
            if c.out.len() >= pipeline {
                return;
            }
            let Some(job) = self.dequeue(place) else {
                self.free.entry(place).or_default().insert(conn);
                return;
            };
            self.write(conn, job, now);
            // The list of free ones must not name it twice.
            if let Some(free) = self.free.get_mut(&place) {
                free.remove(&conn);
            }
        }
    }

    /// The answer to the oldest query on a connection is whole.
    pub fn answered(&mut self, conn: usize, answer: Answer<'_>, now: i64) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        let Some(out) = c.out.pop_front() else { return };
        let place = c.place;
        self.written.remove(&out.job.number);
        if let Some(free) = self.free.get_mut(&place) {
            free.remove(&conn);
        }
        if !out.over {
            match answer {
                Answer::Served => {
                    let tally = self.tally(out.job.send);
                    let _ = tally.latency.record((now - out.job.intended).max(0) as u64);
                    let _ = tally.service.record((now - out.written).max(0) as u64);
                    self.end(out.job, SERVED);
                }
                Answer::Error(state, advice) => self.failed(out.job, state, advice, now),
            }
        }
        let stream = &self.script.streams[place.0 as usize];
        let empty = self.conns.get(conn).is_some_and(|c| c.out.is_empty());
        if empty && stream.churn > 0.0 && self.chance.random::<f64>() < stream.churn {
            self.todo.push(Do::Close { conn });
            self.forget(conn);
            // Those that wait get another.
            if self.queue(place) > 0 {
                self.connect(place, now);
            }
            return;
        }
        self.rest(conn, now);
    }

    fn end(&mut self, job: Job, how: &str) {
        self.open -= 1;
        self.tally(job.send).end(how);
    }

    fn failed(&mut self, job: Job, state: &str, advice: Option<u64>, now: i64) {
        let send = self.sends[job.send];
        let stream = &self.script.streams[send.stream as usize];
        if state == "53300" && job.tries < stream.retries {
            let backoff =
                (stream.backoff.0 .0 << job.tries.min(16)) as f64 * self.chance.random_range(0.5..1.5);
            let heeds = self.chance.random::<f64>() < stream.honour;
            let wait = advice.filter(|_| heeds).map_or(backoff as i64, |ms| ms.min(3_600_000) as i64 * 1_000);
            if now + wait < job.due {
                self.jobs += 1;
                let again = Job { number: self.jobs, tries: job.tries + 1, ..job };
                self.tally(job.send).retries += 1;
                self.timers.set(now + wait, Wake::Again(again));
                return;
            }
        }
        let how = if state == "53300" { "refused".to_string() } else { format!("failed {state}") };
        self.end(job, &how);
    }

    /// A client's patience is over.
    fn give_up(&mut self, number: u64, now: i64) {
        if let Some(conn) = self.written.get(&number).copied() {
            let Some(c) = self.conns.get_mut(conn) else { return };
            let Some(out) = c.out.iter_mut().find(|o| o.job.number == number && !o.over) else { return };
            out.over = true;
            let job = out.job;
            let mute = c.mute;
            self.end(job, if mute { "never read" } else { "gave up" });
            let stream = &self.script.streams[self.sends[job.send].stream as usize];
            if stream.gives_up == GivesUp::Cancel && !mute {
                self.todo.push(Do::Cancel { conn });
                self.timers.set(now + CANCELS_WITHIN, Wake::Cancelled(conn, number));
            } else {
                self.todo.push(Do::Close { conn });
                self.broke(conn, now);
            }
            return;
        }
        let queued = self.queued.values_mut().find_map(|q| q.remove(&number));
        if let Some(job) = queued {
            self.end(job, "gave up unsent");
        }
    }

    /// A connection broke, or was never made.
    pub fn broke(&mut self, conn: usize, now: i64) {
        let Some(c) = self.forget(conn) else { return };
        for out in c.out.iter().filter(|o| !o.over) {
            self.end(out.job, "connection broke");
        }
        if !c.ready {
            self.total.refused += 1;
            // Its query is lost with it; others wait for their own.
            if let Some(job) = self.dequeue(c.place) {
                self.end(job, "unreachable");
            }
        } else if self.queue(c.place) > 0 {
            self.connect(c.place, now);
        }
    }

    /// A connection that was being made is there, or will not be.
    fn came(&mut self, place: (u32, usize)) {
        if let Some(n) = self.coming.get_mut(&place) {
            *n = n.saturating_sub(1);
        }
    }

    fn forget(&mut self, conn: usize) -> Option<Conn> {
        let c = self.conns.try_remove(conn)?;
        self.born.remove(&conn);
        if !c.ready {
            self.came(c.place);
        }
        if let Some(free) = self.free.get_mut(&c.place) {
            free.remove(&conn);
        }
        c.out.iter().for_each(|o| {
            self.written.remove(&o.job.number);
        });
        Some(c)
    }

    /// Connections that are there or being made.
    pub fn connections_open(&self) -> usize {
        self.conns.len()
    }
}
