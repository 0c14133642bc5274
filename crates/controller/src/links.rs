//! Sessions with engines: one query at a time each, kept while they are clean.

use crate::app::{App, Wake, CANCEL, LINK};
use crate::plant::Plant;
use bytes::BytesMut;
use mio::Token;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::{debug, info};
use wheelfield::interface::{Effect, EngineId, Note, Outcome, QueryId, Report, Status};
use wheelfield_driver::{AttemptId, Input, Terms};
use wheelfield_net::{connect, Stream, TimerKey};
use wheelfield_pg::backend::{self, Backend, Heard};
use wheelfield_pg::front;

/// Read from an engine at a time.
const READ: usize = 64 << 10;
/// For a message that is not a row and longer than that.
const READ_LONG: usize = (1 << 20) + READ;
/// A session whose answer nobody wants must come clean within so many microseconds, if engines heed cancels,
const ABANDON: i64 = 2_000_000;
/// and if not: then the query runs to its end.
const ABANDON_UNHEEDED: i64 = 60_000_000;
/// Requests to cancel under way at once; without room for one the session is closed instead.
const MOST_CANCELS: usize = 1024;

/// The sessions with one engine.
pub(crate) struct Pool {
    address: SocketAddr,
    up: bool,
    /// Clean ones, the last used first.
    idle: Vec<usize>,
    links: usize,
    connecting: usize,
    /// Attempts that wait for a session; each has one connecting.
    waiting: VecDeque<AttemptId>,
    /// A probe waits for a session.
    probing: bool,
}

/// What a session does.
#[derive(Debug)]
enum Job {
    /// An attempt, and its client while that wants the answer.
    Attempt { id: AttemptId, client: Option<usize> },
    /// A question on the engine's load.
    Probe,
    /// Something whose answer nobody waits for.
    Aside,
}

pub(crate) struct Link {
    engine: EngineId,
    pub stream: Stream,
    pub backend: Backend,
    job: Option<Job>,
    terms: Terms,
    timer: Option<TimerKey>,
    /// A request to cancel is under way: the session is not used until that is over.
    cancelling: bool,
    /// Bytes that were to be written as the attempt was put on it; none of it ran while so many are.
    unsent: Option<usize>,
    progress: i64,
    idle_since: i64,
    dirty: bool,
    gone: bool,
}

/// A connection that carries a request to cancel.
pub(crate) struct Canceller {
    pub stream: Stream,
    link: usize,
    timer: TimerKey,
    gone: bool,
}

fn report(load: backend::Load) -> Report {
    Report {
        utilisation: load.util,
        in_flight: load.in_flight,
        queue: load.queue,
        memory: load.memory,
        disks: load.disks,
    }
}

impl App {
    /// Pools follow the engine list.
    pub(crate) fn pools_changed(&mut self, changed: &[EngineId]) {
        for id in changed {
            let Some(known) = self.engines.known().get(id) else { continue };
            let (address, up) = (known.address, known.entry.status == Status::Up);
            let pool = self.pools.entry(*id).or_insert_with(|| Pool {
                address,
                up,
                idle: Vec::new(),
                links: 0,
                connecting: 0,
                waiting: VecDeque::new(),
                probing: false,
            });
            let moved = std::mem::replace(&mut pool.address, address) != address;
            pool.up = up;
            if moved || !up {
                for link in std::mem::take(&mut pool.idle) {
                    self.drop_link(link);
                }
            }
        }
    }

    /// Puts an attempt on a session with its engine.
    pub(crate) fn launch(&mut self, attempt: AttemptId, engine: EngineId, terms: Terms) {
        if let Some(r) = self.running_mut(attempt) {
            r.terms = terms;
        }
        if cfg!(feature = "planted") {
            self.plant_at(attempt, engine);
        }
        let most = self.config.limits.sessions;
        let Some(pool) = self.pools.get_mut(&engine) else {
            return self.ended(attempt, Outcome::ConnectFailed, None);
        };
        while let Some(l) = pool.idle.pop() {
            if self.links.get(l).is_some_and(|link| !link.gone && !link.stream.closing()) {
                return self.dispatch(l, attempt);
            }
        }
        if pool.links >= most {
            debug!(query = attempt.query.0, engine = self.engines.name(engine), "no session free");
            return self.ended(attempt, Outcome::Full, None);
        }
        pool.waiting.push_back(attempt);
        self.open_link(engine);
    }

    fn ended(&mut self, attempt: AttemptId, outcome: Outcome, load: Option<backend::Load>) {
        self.flights.remove(&attempt);
        let report = load.map(report).unwrap_or_default();
        self.tell(Input::Ended { attempt, outcome, billed_work: None, report });
    }

    fn running_mut(&mut self, attempt: AttemptId) -> Option<&mut crate::app::Running> {
        let client = *self.queries.get(&attempt.query)?;
        self.clients.get_mut(client)?.running.as_mut()
    }

    fn open_link(&mut self, engine: EngineId) {
        let Some(pool) = self.pools.get_mut(&engine) else { return };
        let entry = self.links.vacant_entry();
        let id = entry.key();
        let stream = match connect(pool.address, self.poll.registry(), Token(LINK + id)) {
            Ok(stream) => stream,
            Err(fault) => {
                debug!(engine = self.engines.name(engine), %fault, "connect failed");
                return self.none_for_waiting(engine, Outcome::ConnectFailed);
            }
        };
        (pool.links, pool.connecting) = (pool.links + 1, pool.connecting + 1);
        let label = format!("wheelfield/{}", self.config.settings.index);
        let mut hello = BytesMut::new();
        let backend = Backend::start(&self.config.user, &self.config.database, &label, &mut hello);
        let timer = self.timers.set(self.now + self.config.timing.connect.0, Wake::Connect(id));
        let link = entry.insert(Link {
            engine,
            stream,
            backend,
            job: None,
            terms: Terms::default(),
            timer: Some(timer),
            cancelling: false,
            unsent: None,
            progress: self.now,
            idle_since: self.now,
            dirty: false,
            gone: false,
        });
        link.stream.output = hello;
    }

    /// A session that was to come did not: the first that waits for one is told.
    fn none_for_waiting(&mut self, engine: EngineId, outcome: Outcome) {
        let Some(pool) = self.pools.get_mut(&engine) else { return };
        if std::mem::take(&mut pool.probing) {
            self.probed(engine, outcome, Report::default());
        }
        let Some(pool) = self.pools.get_mut(&engine) else { return };
        while pool.waiting.len() > pool.connecting {
            let Some(attempt) = pool.waiting.pop_front() else { return };
            if self.driver.is_out(attempt) {
                return self.ended(attempt, outcome, None);
            }
        }
    }

    /// Writes an attempt to an idle session.
    fn dispatch(&mut self, l: usize, attempt: AttemptId) {
        let planted = self.plant == Some(Plant::Drained);
        if !self.driver.may_write(attempt) && !planted {
            return self.idle(l);
        }
        let Some(client) = self.queries.get(&attempt.query).copied() else { return self.idle(l) };
        self.tell(Input::Dispatched(attempt));
        let Some(running) = self.clients.get(client).and_then(|c| c.running.as_ref()) else {
            return self.idle(l);
        };
        let settings = &self.config.settings;
        let Some(link) = self.links.get_mut(l) else { return };
        let change = (settings.priorities || settings.grants) && link.terms != running.terms;
        let set = change.then(|| {
            let Terms { grant_mb, priority } = running.terms;
            format!("SET wheelfield.priority = {priority}; SET wheelfield.grant_mb = {grant_mb:.0}")
        });
        link.terms = if change { running.terms } else { link.terms };
        let unit = &running.unit;
        let out = &mut link.stream.output;
        link.backend.run(set.as_deref(), &unit.frames, &unit.swallow, unit.open, out);
        for (i, (frames, swallow)) in running.more.iter().enumerate() {
            let sealed = running.sealed && i + 1 == running.more.len();
            link.backend.more(frames, swallow, sealed, out);
        }
        link.unsent = Some(out.len());
        link.progress = self.now;
        link.job = Some(Job::Attempt { id: attempt, client: Some(client) });
        self.flights.insert(attempt, l);
        self.soil_link(l);
    }

    pub(crate) fn soil_link(&mut self, l: usize) {
        if let Some(link) = self.links.get_mut(l).filter(|l| !l.dirty && !l.gone) {
            link.dirty = true;
            self.dirty_links.push(l);
        }
    }

    pub(crate) fn flush_link(&mut self, l: usize) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        link.dirty = false;
        match link.stream.flush() {
            Ok(_) => {
                if link.unsent.is_some_and(|n| link.stream.output.len() < n) {
                    link.unsent = None;
                }
            }
            Err(fault) => {
                let unsent = link.unsent.is_some();
                self.lost(
                    l,
                    if unsent { Outcome::ConnectFailed } else { Outcome::Reset },
                    &fault.to_string(),
                );
            }
        }
    }

    /// A clean session takes the next attempt that waits for one, or rests.
    fn idle(&mut self, l: usize) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        if link.cancelling || !link.backend.idle() {
            return;
        }
        if let Some(timer) = link.timer.take() {
            self.timers.cancel(timer);
        }
        link.idle_since = self.now;
        let engine = link.engine;
        let Some(pool) = self.pools.get_mut(&engine) else { return self.drop_link(l) };
        if std::mem::take(&mut pool.probing) {
            return self.put_probe(l);
        }
        while let Some(attempt) = self.pools.get_mut(&engine).and_then(|p| p.waiting.pop_front()) {
            if self.driver.may_write(attempt) {
                return self.dispatch(l, attempt);
            }
        }
        match self.pools.get_mut(&engine) {
            Some(pool) if pool.up || self.plant == Some(Plant::Drained) => pool.idle.push(l),
            _ => self.drop_link(l),
        }
    }

    /// Something happened on a session.
    pub(crate) fn on_link(&mut self, l: usize) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        match link.stream.connected() {
            Ok(true) => {}
            Ok(false) => return,
            Err(fault) => return self.lost(l, Outcome::ConnectFailed, &fault.to_string()),
        }
        self.soil_link(l);
        self.pump(l);
    }

    /// Reads an engine's answer on to its client, as far as it goes.
    fn pump(&mut self, l: usize) {
        let room = self.config.limits.buffer;
        let mut nobody = BytesMut::new();
        let mut limit = READ;
        loop {
            let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
            let wanted = match &link.job {
                Some(Job::Attempt { client: Some(client), .. }) => Some(*client),
                _ => None,
            };
            let filled = link.stream.fill(limit, &mut self.scratch);
            let before = link.stream.input.len();
            let sink = match wanted.and_then(|c| self.clients.get_mut(c)).filter(|c| !c.gone) {
                Some(client) => &mut client.stream.output,
                None => &mut nobody,
            };
            let (had, begun) = (sink.len(), link.backend.begun());
            let heard = link.backend.feed(&mut link.stream.input, sink, room);
            let full = begun && sink.len() >= room;
            let forwarded = sink.len() != had;
            let took = link.stream.input.len() < before;
            if took {
                link.progress = self.now;
            }
            let ended = link.stream.ended() || filled.is_err();
            let more = link.stream.readable() && link.stream.input.len() < limit;
            if forwarded {
                wanted.into_iter().for_each(|c| self.soil(c));
            }
            match heard {
                Err(fault) => return self.lost(l, Outcome::Reset, &fault.to_string()),
                Ok(Heard::Nothing) => {
                    if let Some(client) = wanted.filter(|_| full) {
                        return self.pause(client, l);
                    }
                    if ended && !took {
                        return self.lost(l, Outcome::Reset, "the engine closed the connection");
                    }
                    if !took && !more {
                        // A long message that is not a row needs more room to be whole.
                        let long = before >= limit && limit < READ_LONG;
                        if !long {
                            break;
                        }
                        limit = READ_LONG;
                    }
                }
                Ok(heard) => self.on_heard(l, heard),
            }
        }
        if let Some(link) = self.links.get_mut(l) {
            link.stream.relax();
        }
    }

    fn on_heard(&mut self, l: usize, heard: Heard) {
        let Some(link) = self.links.get_mut(l) else { return };
        let engine = link.engine;
        match heard {
            Heard::Nothing => {}
            Heard::Started => {
                if let Some(pool) = self.pools.get_mut(&engine) {
                    pool.connecting = pool.connecting.saturating_sub(1);
                }
                self.idle(l);
            }
            Heard::TurnedAway { state, message } => {
                let outcome = if state.starts_with("53") { Outcome::Full } else { Outcome::ConnectFailed };
                self.lost(l, outcome, &format!("{state} {message}"));
            }
            Heard::Begins => match &link.job {
                Some(Job::Attempt { id, client: Some(client) }) if self.driver.may_answer(*id) => {
                    let (id, client) = (*id, *client);
                    if let Some(c) = self.clients.get_mut(client) {
                        link.backend.begin(&mut c.stream.output);
                    }
                    let timer = self.timers.set(self.now + self.config.timing.stall.0, Wake::Stall(l));
                    if let Some(old) = link.timer.replace(timer) {
                        self.timers.cancel(old);
                    }
                    self.tell(Input::Began(id));
                    self.soil(client);
                }
                _ => self.discard(l),
            },
            Heard::Note(note) => {
                if let Some(Job::Attempt { id, .. }) = &link.job {
                    let id = *id;
                    let note = match note {
                        backend::Note::Progress(share) => Note::Progress(share),
                        backend::Note::Spills(mb) => Note::Spills(mb),
                        backend::Note::WaitsForMemory => Note::WaitsForMemory,
                        backend::Note::WaitsForLoad => Note::WaitsForLoad,
                    };
                    self.tell(Input::Noted(id, note));
                }
            }
            Heard::Served { errored, clean } => {
                let job = link.job.take();
                let load = link.backend.load();
                match job {
                    Some(Job::Attempt { id, client }) => {
                        let billed_work = link.backend.work_ms().map(|ms| ms / 1e3);
                        let accepted = client.is_some() && self.driver.may_answer(id);
                        if let Some(c) = client.filter(|_| accepted).and_then(|c| self.clients.get_mut(c)) {
                            if !link.backend.begun() {
                                link.backend.begin(&mut c.stream.output);
                            }
                        }
                        self.flights.remove(&id);
                        self.tell(Input::Ended {
                            attempt: id,
                            outcome: Outcome::Served,
                            billed_work,
                            report: report(load),
                        });
                        if accepted {
                            self.served(id.query, errored);
                        }
                    }
                    Some(Job::Probe) => {
                        let report = report(load);
                        self.probed(engine, Outcome::Served, report);
                    }
                    Some(Job::Aside) | None => {}
                }
                self.over(l, clean);
            }
            Heard::Troubled { state, message, clean } => {
                let job = link.job.take();
                let load = link.backend.load();
                let begun = link.backend.begun();
                let outcome = match state.as_str() {
                    "53300" | "57P03" if !begun => Outcome::Full,
                    backend::CANCELLED => Outcome::Cancelled,
                    _ => Outcome::Error,
                };
                match job {
                    Some(Job::Attempt { id, .. }) => {
                        let name = self.engines.name(engine);
                        info!(query = id.query.0, id = %self.label(id.query), engine = name, reason = %message, state, "attempt ended by its engine");
                        self.ended(id, outcome, Some(load));
                    }
                    Some(Job::Probe) => self.probed(engine, outcome, report(load)),
                    Some(Job::Aside) | None => {}
                }
                self.over(l, clean);
            }
            Heard::Dropped { clean } => {
                let load = link.backend.load();
                if let Some(Job::Attempt { id, .. }) = link.job.take() {
                    self.ended(id, Outcome::Cancelled, Some(load));
                }
                self.over(l, clean);
            }
        }
    }

    /// A unit is over: the session is kept if it is clean.
    fn over(&mut self, l: usize, clean: bool) {
        if let Some(timer) = self.links.get_mut(l).and_then(|l| l.timer.take()) {
            self.timers.cancel(timer);
        }
        if clean {
            self.idle(l);
        } else {
            self.drop_link(l);
        }
    }

    /// A session broke, or never came about.
    fn lost(&mut self, l: usize, outcome: Outcome, reason: &str) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        let (engine, starting) = (link.engine, link.backend.starting());
        let job = link.job.take();
        // What the engine told before it went is more than that it went.
        let outcome = match link.backend.last_words() {
            Some((state, _)) if outcome == Outcome::Reset && state != backend::CANCELLED => Outcome::Error,
            _ => outcome,
        };
        let amid_row = link.backend.amid_row();
        self.drop_link(l);
        if starting {
            debug!(engine = self.engines.name(engine), reason, "no session");
            let outcome = if outcome == Outcome::Full { Outcome::Full } else { Outcome::ConnectFailed };
            return self.none_for_waiting(engine, outcome);
        }
        match job {
            Some(Job::Attempt { id, client }) => {
                info!(query = id.query.0, id = %self.label(id.query), engine = self.engines.name(engine), reason, "attempt lost");
                if let Some(client) = client.filter(|_| amid_row) {
                    // Part of a row has gone out: no error can be told after it.
                    self.client_gone(client);
                }
                self.ended(id, outcome, None);
            }
            Some(Job::Probe) => self.probed(engine, outcome, Report::default()),
            Some(Job::Aside) | None => {}
        }
    }

    /// Closes a session; whatever it did is not told.
    fn drop_link(&mut self, l: usize) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        link.gone = true;
        if let Some(timer) = link.timer.take() {
            self.timers.cancel(timer);
        }
        if let Some(Job::Attempt { id, .. }) = &link.job {
            self.flights.remove(id);
        }
        if let Some(pool) = self.pools.get_mut(&link.engine) {
            pool.links = pool.links.saturating_sub(1);
            pool.connecting -= usize::from(link.backend.starting() && pool.connecting > 0);
            pool.idle.retain(|i| *i != l);
        }
        self.bury(Token(LINK + l));
    }

    pub(crate) fn bury_link(&mut self, l: usize) {
        if let Some(link) = self.links.try_remove(l) {
            link.stream.close(self.poll.registry(), false);
        }
    }

    // --- withdrawing ---

    /// Ends an attempt at its engine. While its query is owed an answer, one that crosses the request still counts.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) {
        let Some(l) = self.flights.get(&attempt).copied() else {
            for pool in self.pools.values_mut() {
                pool.waiting.retain(|a| *a != attempt);
            }
            return;
        };
        let wanted = self.driver.may_answer(attempt);
        if let Some(link) = self.links.get_mut(l) {
            link.backend.cancelling();
        }
        if !wanted {
            self.discard(l);
        }
        if self.config.settings.cancel {
            self.send_cancel(l);
        }
    }

    /// A query has its final answer: whatever still comes for it goes to nobody, withdrawn or not.
    pub(crate) fn detach(&mut self, query: QueryId) {
        let of = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        let carrying: Vec<usize> = self.flights.range(of).map(|(_, l)| *l).collect();
        carrying.into_iter().for_each(|l| self.discard(l));
    }

    /// Nobody wants a session's answer any more.
    fn discard(&mut self, l: usize) {
        let heeded = self.config.settings.cancel;
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        if let Some(Job::Attempt { client, .. }) = &mut link.job {
            let Some(client) = client.take() else { return };
            if let Some(c) = self.clients.get_mut(client) {
                c.pauses = c.pauses.filter(|paused| *paused != l);
            }
        }
        link.backend.discard(&mut link.stream.output);
        let patience = if heeded { ABANDON } else { ABANDON_UNHEEDED };
        let timer = self.timers.set(self.now + patience, Wake::Abandon(l));
        if let Some(old) = link.timer.replace(timer) {
            self.timers.cancel(old);
        }
        self.soil_link(l);
        // What it was not let read while its client was slow is read now.
        if link_can_go_on(&self.links, l) {
            self.pump(l);
        }
    }

    fn send_cancel(&mut self, l: usize) {
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone && !l.cancelling) else { return };
        let Some((pid, key)) = link.backend.key().cloned() else { return };
        let address = self.pools.get(&link.engine).map(|p| p.address);
        if self.cancels.len() >= MOST_CANCELS {
            return self.lost(l, Outcome::Cancelled, "too many requests to cancel");
        }
        let entry = self.cancels.vacant_entry();
        let id = entry.key();
        let Some(Ok(mut stream)) = address.map(|a| connect(a, self.poll.registry(), Token(CANCEL + id)))
        else {
            return;
        };
        front::put_cancel(pid, &key, &mut stream.output);
        link.cancelling = true;
        let timer = self.timers.set(self.now + 2 * self.config.timing.connect.0, Wake::Cancel(id));
        entry.insert(Canceller { stream, link: l, timer, gone: false });
    }

    /// A request to cancel is over once the engine closes its connection.
    pub(crate) fn on_cancel(&mut self, id: usize) {
        let Some(c) = self.cancels.get_mut(id).filter(|c| !c.gone) else { return };
        let failed = match c.stream.connected() {
            Ok(false) => return,
            Ok(true) => c.stream.flush().is_err() || c.stream.fill(READ, &mut self.scratch).is_err(),
            Err(_) => true,
        };
        let c = &mut self.cancels[id];
        c.stream.input.clear();
        if !failed && !c.stream.ended() {
            return;
        }
        c.gone = true;
        let (l, timer) = (c.link, c.timer);
        self.timers.cancel(timer);
        self.bury(Token(CANCEL + id));
        if let Some(link) = self.links.get_mut(l) {
            link.cancelling = false;
            if link.job.is_none() {
                self.idle(l);
            }
        }
    }

    pub(crate) fn cancel_late(&mut self, id: usize) {
        let Some(c) = self.cancels.get_mut(id).filter(|c| !c.gone) else { return };
        c.gone = true;
        let l = c.link;
        self.bury(Token(CANCEL + id));
        // It may yet be taken, and would then end another query: the session is of no more use.
        self.lost(l, Outcome::Cancelled, "a request to cancel was not taken");
    }

    pub(crate) fn bury_cancel(&mut self, id: usize) {
        if let Some(c) = self.cancels.try_remove(id) {
            c.stream.close(self.poll.registry(), false);
        }
    }

    // --- time ---

    pub(crate) fn connect_late(&mut self, l: usize) {
        if let Some(link) = self.links.get_mut(l).filter(|l| !l.gone && l.backend.starting()) {
            link.timer = None;
            self.lost(l, Outcome::ConnectFailed, "no session in time");
        }
    }

    /// An engine that has begun an answer sends nothing more, though its client would take it.
    pub(crate) fn engine_stalled(&mut self, l: usize) {
        let stall = self.config.timing.stall.0;
        let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) else { return };
        link.timer = None;
        let client = match &link.job {
            Some(Job::Attempt { client: Some(client), .. }) => *client,
            _ => return,
        };
        if self.clients.get(client).is_some_and(|c| c.pauses == Some(l)) {
            link.progress = self.now;
        }
        if self.now - link.progress >= stall {
            return self.lost(l, Outcome::TimedOut, "the engine sends nothing more");
        }
        link.timer = Some(self.timers.set(link.progress + stall, Wake::Stall(l)));
    }

    pub(crate) fn abandon(&mut self, l: usize) {
        if let Some(link) = self.links.get_mut(l).filter(|l| !l.gone) {
            link.timer = None;
            self.lost(l, Outcome::Cancelled, "an answer that nobody wants does not end");
        }
    }

    /// Sessions that were not used for long are closed.
    pub(crate) fn close_idle(&mut self) {
        let before = self.now - self.config.timing.session_idle.0;
        let old: Vec<usize> = self
            .pools
            .values()
            .flat_map(|p| &p.idle)
            .copied()
            .filter(|l| self.links.get(*l).is_some_and(|l| l.idle_since < before))
            .collect();
        for l in old {
            self.drop_link(l);
        }
    }

    // --- beside queries ---

    /// Asks an engine for its load.
    pub(crate) fn probe(&mut self, engine: EngineId) {
        let most = self.config.limits.sessions;
        let Some(pool) = self.pools.get_mut(&engine) else { return };
        if let Some(l) = pool.idle.pop() {
            return self.put_probe(l);
        }
        if pool.probing || pool.links >= most {
            return self.probed(engine, Outcome::Skipped, Report::default());
        }
        pool.probing = true;
        self.open_link(engine);
    }

    fn put_probe(&mut self, l: usize) {
        let timer = self.timers.set(self.now + self.config.timing.probe.0, Wake::Probe(l));
        let Some(link) = self.links.get_mut(l) else { return };
        link.timer = Some(timer);
        link.job = Some(Job::Probe);
        put(link, "SHOW wheelfield.load");
        self.soil_link(l);
    }

    pub(crate) fn probe_late(&mut self, l: usize) {
        if let Some(link) = self.links.get_mut(l).filter(|l| !l.gone && matches!(l.job, Some(Job::Probe))) {
            link.timer = None;
            self.lost(l, Outcome::TimedOut, "a probe without an answer");
        }
    }

    /// Changes the priority of what runs, by a second session.
    pub(crate) fn set_terms(&mut self, attempt: AttemptId, terms: Terms) {
        let Some(link) = self.flights.get(&attempt).and_then(|l| self.links.get(*l)) else { return };
        let Some((pid, _)) = link.backend.key() else { return };
        let text = format!("SELECT wheelfield.set_priority({pid}, {})", terms.priority);
        let Some(l) = self.pools.get_mut(&link.engine).and_then(|p| p.idle.pop()) else { return };
        if let Some(link) = self.links.get_mut(l) {
            link.job = Some(Job::Aside);
            put(link, &text);
        }
        self.soil_link(l);
    }

    // --- planted faults ---

    /// Sends what must not be sent, for the laboratory's judge to find.
    fn plant_at(&mut self, attempt: AttemptId, engine: EngineId) {
        let Some(plant) = self.plant else { return };
        let Some(class) = self.running_mut(attempt).map(|r| r.class) else { return };
        let once = self.config.settings.classes[class].effect == Effect::Once;
        let up = |p: &Pool| p.up;
        let others: Vec<EngineId> = match plant {
            Plant::Resend if once => {
                self.pools.iter().filter(|(e, p)| **e != engine && up(p)).map(|(e, _)| *e).take(1).collect()
            }
            Plant::Drained => self.pools.iter().filter(|(_, p)| !up(p)).map(|(e, _)| *e).take(1).collect(),
            Plant::Budget if !once => {
                self.pools.iter().filter(|(e, p)| **e != engine && up(p)).map(|(e, _)| *e).take(2).collect()
            }
            _ => Vec::new(),
        };
        for other in others {
            let Some(l) = self.pools.get_mut(&other).and_then(|p| p.idle.pop()) else {
                self.open_link(other);
                continue;
            };
            self.planted += 1;
            let Some(client) = self.queries.get(&attempt.query).copied() else { return };
            let Some(running) = self.clients.get(client).and_then(|c| c.running.as_ref()) else { return };
            if let Some(link) = self.links.get_mut(l) {
                link.job = Some(Job::Aside);
                link.backend.run(
                    None,
                    &running.unit.frames,
                    &running.unit.swallow,
                    false,
                    &mut link.stream.output,
                );
                link.backend.discard(&mut link.stream.output);
            }
            self.soil_link(l);
        }
    }
}

fn link_can_go_on(links: &slab::Slab<Link>, l: usize) -> bool {
    links.get(l).is_some_and(|link| !link.gone && (!link.stream.input.is_empty() || link.stream.readable()))
}

/// Writes a text of our own to an idle session.
fn put(link: &mut Link, text: &str) {
    let mut frames = BytesMut::new();
    front::put_query(text, &mut frames);
    link.backend.run(None, &frames, &[], false, &mut link.stream.output);
}
