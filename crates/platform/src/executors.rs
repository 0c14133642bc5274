//! The side of the executors: connections to them, and the attempts that each carries.

use crate::executor_protocol::{self, ProtocolError, RequestId, Response, ResponseKind};
use crate::result_pages;
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tracing::debug;
use wheelfield::interface::{AttemptUpdate, EngineId, LoadReport, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions};
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, Effect, EffectQueue, TimerKey};
use wheelfield_settings::take_figure;

/// The room of these connections.
pub const OWNER: u8 = 2;
/// An answer that has begun to come and does not go on for so long is spoilt, and so is a page that does not come, in
/// microseconds.
const STALL_TIMEOUT_US: i64 = 500_000;
/// Of the time after which executors close an idle connection, so much is used: one that both sides close at once would take a
/// request along.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Ids given up on a connection that are remembered: an answer that crosses the word may still come under them. With so many it
/// takes nothing new, and is closed once it is idle.
const MAX_CANCELLED_IDS: usize = 64;
/// An attempt whose connection broke so often before any of it was written has found none.
const MAX_CONNECTION_LOSSES: u8 = 3;
/// The end of a connection is known to its executor after so long, in microseconds: until then a request that was on it does not
/// go to the same one again, where it would be a second copy.
const CUT_DELAY_US: i64 = 20_000;
/// Bytes that may wait to go to an executor; with more, other connections are used.
const MAX_OUTPUT_BYTES: usize = 256 << 10;

/// What is to be sent to an executor.
#[derive(Clone, Debug)]
pub struct PendingAttempt {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Under which id.
    pub id: RequestId,
    /// On which terms.
    pub terms: AttemptOptions,
    /// Connections that it was to go on and that broke before any of it was written.
    lost: u8,
}

impl PendingAttempt {
    /// An attempt that goes nowhere yet.
    pub fn new(attempt: AttemptId, id: RequestId, terms: AttemptOptions) -> PendingAttempt {
        PendingAttempt { attempt, id, terms, lost: 0 }
    }
}

/// What has become of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of its request, under this id, has gone.
    Dispatched(AttemptId, RequestId),
    /// Word on it.
    Updated(AttemptId, AttemptUpdate),
    /// It is over.
    Ended(Box<EndedAttempt>),
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Which.
    pub attempt: AttemptId,
    /// How.
    pub outcome: Outcome,
    /// Work in seconds of one thread, where the answer tells.
    pub billed_work: Option<f64>,
    /// The executor's load, where told.
    pub report: LoadReport,
    /// All pages of the result of one that was served.
    pub pages: Vec<Bytes>,
}

impl EndedAttempt {
    fn bare(attempt: AttemptId, outcome: Outcome) -> AttemptEvent {
        EndedAttempt::with(attempt, outcome, None, LoadReport::default(), Vec::new())
    }

    fn with(
        attempt: AttemptId,
        outcome: Outcome,
        billed_work: Option<f64>,
        report: LoadReport,
        pages: Vec<Bytes>,
    ) -> AttemptEvent {
        AttemptEvent::Ended(Box::new(EndedAttempt { attempt, outcome, billed_work, report, pages }))
    }
}

/// A good answer whose further pages are on their way.
#[derive(Debug)]
struct PartialResult {
    billed_work: Option<f64>,
    report: LoadReport,
    pages: Vec<Option<Bytes>>,
    missing: usize,
    bytes: usize,
    /// When the last of them came.
    at: i64,
}

/// An attempt on a connection.
#[derive(Debug)]
struct RunningAttempt {
    job: PendingAttempt,
    /// Its request is from this byte of the connection to that one, and whether its first byte has gone.
    bytes: (u64, u64),
    begun: bool,
    hit: Option<PartialResult>,
    /// An earlier attempt under this id was given up here: an answer may be that one's.
    again: bool,
}

/// A connection.
#[derive(Debug)]
struct Connection {
    engine: EngineId,
    wire: ConnectionBuffer,
    up: bool,
    connecting: Option<TimerKey>,
    waiting: Vec<PendingAttempt>,
    running: BTreeMap<RequestId, RunningAttempt>,
    given_up: Vec<RequestId>,
    /// Bytes put to be written, and written, since its start.
    put: u64,
    written: u64,
    /// Since when nothing of it was used.
    idle_since: i64,
    /// Since when a part of an answer waits for the rest.
    partial: Option<i64>,
}

impl Connection {
    fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    fn takes(&self, id: RequestId, streams: usize) -> bool {
        !self.running.contains_key(&id)
            && (self.given_up.len() < MAX_CANCELLED_IDS || self.given_up.contains(&id))
            && !self.wire.peer_closing
            && self.load() < streams
            && self.wire.output.len() < MAX_OUTPUT_BYTES
    }

    fn put(&mut self, line: impl FnOnce(&mut bytes::BytesMut)) {
        let before = self.wire.output.len();
        line(&mut self.wire.output);
        self.put += (self.wire.output.len() - before) as u64;
    }
}

/// An executor.
#[derive(Debug)]
struct Executor {
    at: SocketAddr,
    conns: Vec<ConnId>,
    /// The list names it still.
    listed: bool,
}

/// What is counted of the executors' side since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounters {
    /// Connections begun.
    pub connects: u64,
    /// Connections closed as something on them could not be read.
    pub spoilt: u64,
    /// Answers that belong to nothing.
    pub strays: u64,
    /// Attempts that found no connection.
    pub no_room: u64,
}

/// Limits of this side.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections.
    pub connections: usize,
    /// Attempts that a connection carries at once.
    pub streams: usize,
    /// A connect that is not through has failed, in microseconds.
    pub connect: i64,
    /// Executors close an idle connection after this, in microseconds.
    pub idle: i64,
}

/// All executors and the connections to them.
#[derive(Debug)]
pub struct Executors {
    bounds: ConnectionLimits,
    all: BTreeMap<EngineId, Executor>,
    conns: ConnectionTable<Connection>,
    places: BTreeMap<AttemptId, (ConnId, RequestId)>,
    told: VecDeque<AttemptEvent>,
    /// Connections that are up and have attempts waiting to be written.
    ready: VecDeque<ConnId>,
    /// Requests whose connection ended under them, or which had been given up on it, and when. What is older than [`CUT_DELAY_US`] is dropped
    /// at each launch and sweep: at most what the connections closed since then had.
    cut: Vec<(RequestId, EngineId, i64)>,
    /// Attempts that wait until their executor knows of that.
    held: Vec<(EngineId, PendingAttempt)>,
    /// What was counted.
    pub counts: ExecutorCounters,
}

impl Executors {
    /// None yet.
    pub fn new(bounds: ConnectionLimits) -> Executors {
        Executors {
            bounds,
            all: BTreeMap::new(),
            conns: ConnectionTable::new(OWNER),
            places: BTreeMap::new(),
            told: VecDeque::new(),
            ready: VecDeque::new(),
            cut: Vec::new(),
            held: Vec::new(),
            counts: ExecutorCounters::default(),
        }
    }

    /// The whole list: who is on it, and where.
    pub fn listed(
        &mut self,
        list: impl Iterator<Item = (EngineId, SocketAddr)>,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        self.all.values_mut().for_each(|e| e.listed = false);
        for (engine, at) in list {
            let e =
                self.all.entry(engine).or_insert_with(|| Executor { at, conns: Vec::new(), listed: true });
            if e.at != at {
                // Guards against sending on to where it was: somebody else may be there.
                for id in &e.conns {
                    self.conns.get_mut(*id).into_iter().for_each(|c| c.wire.peer_closing = true);
                }
            }
            (e.at, e.listed) = (at, true);
        }
        let gone: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| {
                let listed = self.all.get(&c.engine).is_some_and(|e| e.listed);
                c.load() == 0 && (c.wire.peer_closing || !listed)
            })
            .map(|(id, _)| id)
            .collect();
        gone.into_iter().for_each(|id| self.close(id, out));
        self.all.retain(|_, e| e.listed || !e.conns.is_empty());
    }

    /// Executors known, those that are gone but not let go among them.
    pub fn known(&self) -> usize {
        self.all.len()
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// The bytes of a connection.
    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.conns.get_mut(id).map(|c| &mut c.wire)
    }

    /// Bytes that may come on a connection.
    pub fn room(&mut self, id: ConnId) -> usize {
        self.wire(id).map_or(0, |w| w.read_capacity(4 * executor_protocol::MAX_RESPONSE_BYTES))
    }

    /// So much of it has gone.
    pub fn wrote(&mut self, id: ConnId, n: usize) {
        let Some(c) = self.conns.get_mut(id) else { return };
        c.written += n as u64;
        c.wire.advance_written(n);
        let written = c.written;
        for running in c.running.values_mut().filter(|r| !r.begun && written > r.bytes.0) {
            running.begun = true;
            self.told.push_back(AttemptEvent::Dispatched(running.job.attempt, running.job.id));
        }
    }

    /// What was told of attempts since the last call.
    pub fn told(&mut self) -> Option<AttemptEvent> {
        self.told.pop_front()
    }

    /// A connection that is up and has attempts waiting: [`Executors::take`] gives them.
    pub fn ready(&mut self) -> Option<ConnId> {
        self.ready.pop_front()
    }

    /// Finds a connection for an attempt. Once that is up it is ready, at once or later.
    pub fn launch(&mut self, engine: EngineId, job: PendingAttempt, out: &mut EffectQueue<TimerEvent>) {
        let Some(executor) = self.all.get(&engine) else {
            self.told.push_back(EndedAttempt::bare(job.attempt, Outcome::ConnectFailed));
            return;
        };
        self.cut.retain(|(_, _, at)| out.now - at < CUT_DELAY_US);
        if self.cut.iter().any(|(id, e, _)| (*id, *e) == (job.id, engine)) {
            out.set_timer_after(CUT_DELAY_US, TimerEvent::ReleaseDelayed(job.attempt));
            self.held.push((engine, job));
            return;
        }
        let of = |id: &ConnId| self.conns.get(*id).map(|c| (*id, c));
        let mut takers: Vec<(ConnId, &Connection)> = executor.conns.iter().filter_map(of).collect();
        takers.retain(|(_, c)| c.takes(job.id, self.bounds.streams));
        // Guards against the word that an attempt is given up being overtaken by the next under the same id on another
        // connection: the executor would have two copies, and give up the wrong one.
        let again = takers.iter().find(|(_, c)| c.given_up.contains(&job.id)).map(|(id, _)| *id);
        // An idle one, the last used first, so that the others grow old. Alone on its connection an attempt loses nothing by
        // the spoilt answer of another.
        let idle = takers.iter().filter(|(_, c)| c.up && c.load() == 0).max_by_key(|(_, c)| c.idle_since);
        let chosen = match again.or(idle.map(|(id, _)| *id)) {
            Some(id) => Some(id),
            None if self.conns.len() < self.bounds.connections => None,
            None => takers.iter().min_by_key(|(_, c)| (!c.up, c.load())).map(|(id, _)| *id),
        };
        let id = match chosen {
            Some(id) => id,
            None => {
                if self.conns.len() >= self.bounds.connections && !self.evict(out) {
                    self.counts.no_room += 1;
                    self.told.push_back(EndedAttempt::bare(job.attempt, Outcome::Full));
                    return;
                }
                let Some(id) = self.connect(engine, out) else { return };
                id
            }
        };
        let Some(conn) = self.conns.get_mut(id) else { return };
        self.places.insert(job.attempt, (id, job.id));
        conn.waiting.push(job);
        if conn.up {
            self.ready.push_back(id);
        }
    }

    /// An attempt that was held goes on.
    pub fn release(&mut self, attempt: AttemptId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(at) = self.held.iter().position(|(_, job)| job.attempt == attempt) {
            let (engine, job) = self.held.swap_remove(at);
            self.launch(engine, job, out);
        }
    }

    fn connect(&mut self, engine: EngineId, out: &mut EffectQueue<TimerEvent>) -> Option<ConnId> {
        let executor = self.all.get_mut(&engine)?;
        let id = self.conns.insert(Connection {
            engine,
            wire: ConnectionBuffer::default(),
            up: false,
            connecting: None,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            given_up: Vec::new(),
            put: 0,
            written: 0,
            idle_since: out.now,
            partial: None,
        });
        let timer = out.set_timer_after(self.bounds.connect, TimerEvent::ConnectTimeout(id));
        self.conns.get_mut(id)?.connecting = Some(timer);
        executor.conns.push(id);
        self.counts.connects += 1;
        out.push(Effect::Connect(id, executor.at));
        Some(id)
    }

    /// Closes a connection that carries nothing: one that comes up for nobody any more, else the one that is idle for longest. False
    /// if none is.
    fn evict(&mut self, out: &mut EffectQueue<TimerEvent>) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.load() == 0);
        let oldest = idle.min_by_key(|(_, c)| (c.up, c.idle_since)).map(|(id, _)| id);
        oldest.map(|id| self.close(id, out)).is_some()
    }

    /// A connect is through.
    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(c) = self.conns.get_mut(id) {
            c.up = true;
            c.idle_since = out.now;
            out.cancel_timer(&mut c.connecting);
            self.ready.push_back(id);
        }
    }

    /// An attempt that waits to be written on a connection that is up.
    pub fn take(&mut self, id: ConnId) -> Option<PendingAttempt> {
        let c = self.conns.get_mut(id).filter(|c| c.up)?;
        let job = (!c.waiting.is_empty()).then(|| c.waiting.remove(0))?;
        self.places.remove(&job.attempt);
        Some(job)
    }

    /// Writes a request.
    pub fn write(
        &mut self,
        id: ConnId,
        job: &PendingAttempt,
        request: &executor_protocol::Request<'_>,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(c) = self.conns.get_mut(id) else { return };
        debug!(id = %job.id, attempt = %job.attempt, to = c.engine.0, limit_ms = request.limit_ms, "written");
        let from = c.put;
        c.put(|to| executor_protocol::put_request(job.id, job.terms.priority, request, to));
        let again = c.given_up.contains(&job.id);
        let running =
            RunningAttempt { job: job.clone(), bytes: (from, c.put), begun: false, hit: None, again };
        c.running.insert(job.id, running);
        self.places.insert(job.attempt, (id, job.id));
        c.wire.flush(id, out);
    }

    /// New terms for an attempt that is out.
    pub fn set_terms(
        &mut self,
        attempt: AttemptId,
        terms: AttemptOptions,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some((id, request)) = self.places.get(&attempt).copied() else { return };
        let Some(c) = self.conns.get_mut(id) else { return };
        if c.running.get(&request).is_some_and(|r| r.hit.is_none()) {
            c.put(|to| executor_protocol::put_priority(request, terms.priority, to));
            c.wire.flush(id, out);
        }
    }

    /// Gives an attempt up. An answer that crosses the word finds nobody.
    pub fn withdraw(&mut self, attempt: AttemptId, out: &mut EffectQueue<TimerEvent>) {
        self.held.retain(|(_, job)| job.attempt != attempt);
        let Some((id, request)) = self.places.remove(&attempt) else { return };
        let Some(c) = self.conns.get_mut(id) else { return };
        c.waiting.retain(|job| job.attempt != attempt);
        if let Some(running) = c.running.remove(&request) {
            debug!(id = %request, %attempt, at = c.engine.0, hit = running.hit.is_some(), "given up");
            // Guards against sending what was taken back as never sent: it stands in what is to go on this connection.
            if !running.begun {
                return self.broken(id, out);
            }
            // A good answer has ended it: the executor keeps its pages only.
            match running.hit {
                Some(_) => c.put(|to| executor_protocol::put_end(request, to)),
                None => c.put(|to| executor_protocol::put_stop(request, to)),
            }
            c.given_up.push(request);
            c.idle_since = out.now;
            c.wire.flush(id, out);
        }
        self.tidy(id, out);
    }

    /// Closes a connection that has too many ids given up, once it is idle.
    fn tidy(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        let done = |c: &Connection| c.load() == 0 && c.wire.output.is_empty();
        let worn = |c: &Connection| c.given_up.len() >= MAX_CANCELLED_IDS || c.wire.peer_closing;
        if self.conns.get(id).is_some_and(|c| done(c) && worn(c)) {
            self.close(id, out);
        }
    }

    /// Reads the answers that came on a connection.
    pub fn read(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        loop {
            let Some(c) = self.conns.get_mut(id) else { return };
            let answer = match executor_protocol::take(&mut c.wire.input) {
                Ok(Some(answer)) => answer,
                Ok(None) => {
                    let waits = !c.wire.input.is_empty();
                    c.partial = waits.then(|| c.partial.unwrap_or(out.now));
                    c.wire.resume_reading(id, 4 * executor_protocol::MAX_RESPONSE_BYTES, out);
                    break;
                }
                Err(spoilt) => return self.spoilt(id, spoilt, out),
            };
            c.partial = None;
            if let Err(spoilt) = self.answer(id, answer, out) {
                return self.spoilt(id, spoilt, out);
            }
        }
        if self.conns.get(id).is_some_and(|c| c.wire.read_closed) {
            self.broken(id, out);
        } else {
            self.tidy(id, out);
        }
    }

    fn spoilt(&mut self, id: ConnId, spoilt: ProtocolError, out: &mut EffectQueue<TimerEvent>) {
        debug!(%spoilt, "an executor's connection is given up");
        self.counts.spoilt += 1;
        self.broken(id, out);
    }

    /// Takes an answer.
    fn answer(
        &mut self,
        id: ConnId,
        answer: Response,
        out: &mut EffectQueue<TimerEvent>,
    ) -> Result<(), ProtocolError> {
        let request = RequestId::read(&answer.id);
        let Some(c) = self.conns.get_mut(id) else { return Ok(()) };
        let Some((request, running)) = request.and_then(|r| Some((r, c.running.get_mut(&r)?))) else {
            self.counts.strays += u64::from(answer.word != ResponseKind::Pong);
            return Ok(());
        };
        let attempt = running.job.attempt;
        let mut report = LoadReport::default();
        for figure in answer.text("meter").unwrap_or("").split(';') {
            let told = figure.split_once(':').and_then(|(n, v)| Some((n, v.parse::<f64>().ok()?)));
            if let Some((name, value)) = told.filter(|(_, v)| v.is_finite()) {
                take_figure(&mut report, name, value);
            }
        }
        let ended = match (answer.word, &mut running.hit) {
            (ResponseKind::Info, None) => {
                let value = answer.number("v").unwrap_or(0.0);
                let note = match answer.text("tell") {
                    Some("pct") => AttemptUpdate::Progress(value),
                    Some("overflow") => AttemptUpdate::Spills(value),
                    Some("queued") if value < 2.0 => AttemptUpdate::WaitsForMemory,
                    Some("queued") => AttemptUpdate::WaitsForLoad,
                    _ => AttemptUpdate::Other,
                };
                self.told.push_back(AttemptEvent::Updated(attempt, note));
                return Ok(());
            }
            (ResponseKind::Hit, None) => {
                let pages = answer.number("pages").unwrap_or(1.0);
                if !(1.0..=result_pages::MAX_PAGES as f64).contains(&pages)
                    || !result_pages::is_page(&answer.body)
                {
                    return Err(ProtocolError::InvalidLine);
                }
                let pages = pages as usize;
                // Pages are asked for in one go: no wait for each.
                if pages > 1 {
                    let mut hit = PartialResult {
                        billed_work: answer.number("cost").map(|ms| ms / 1e3),
                        report,
                        pages: vec![None; pages],
                        missing: pages - 1,
                        bytes: answer.body.len(),
                        at: out.now,
                    };
                    hit.pages[0] = Some(answer.body);
                    running.hit = Some(hit);
                    for page in 1..pages {
                        c.put(|to| executor_protocol::put_fetch(request, page, to));
                    }
                    c.wire.flush(id, out);
                    return Ok(());
                }
                let billed = answer.number("cost").map(|ms| ms / 1e3);
                EndedAttempt::with(attempt, Outcome::Served, billed, report, vec![answer.body])
            }
            (ResponseKind::Part, Some(hit)) => {
                let number = answer.number("page").ok_or(ProtocolError::InvalidLine)?;
                let place = hit.pages.get_mut(number as usize).filter(|p| p.is_none());
                let Some(place) = place else {
                    // A second copy.
                    self.counts.strays += 1;
                    return Ok(());
                };
                hit.bytes += answer.body.len();
                if !result_pages::is_page(&answer.body) || hit.bytes > result_pages::MAX_RESULT_BYTES {
                    return Err(ProtocolError::InvalidLine);
                }
                *place = Some(answer.body);
                hit.missing -= 1;
                hit.at = out.now;
                if hit.missing > 0 {
                    return Ok(());
                }
                let pages = hit.pages.iter_mut().filter_map(Option::take).collect();
                let told = EndedAttempt::with(attempt, Outcome::Served, hit.billed_work, hit.report, pages);
                c.put(|to| executor_protocol::put_end(request, to));
                c.wire.flush(id, out);
                told
            }
            // The executor no longer has the pages of what it has run.
            (ResponseKind::Fault, _) => EndedAttempt::with(attempt, Outcome::Error, None, report, Vec::new()),
            (ResponseKind::Shed, None) => {
                EndedAttempt::with(attempt, Outcome::Full, None, report, Vec::new())
            }
            (ResponseKind::Late, None) => {
                EndedAttempt::with(attempt, Outcome::NeverSent, None, report, Vec::new())
            }
            _ => {
                self.counts.strays += 1;
                return Ok(());
            }
        };
        if c.running.remove(&request).is_some_and(|r| r.again) {
            // If this was the answer of the one given up, the other goes no further.
            c.put(|to| executor_protocol::put_stop(request, to));
            c.wire.flush(id, out);
        }
        debug!(id = %request, %attempt, at = c.engine.0, ended = ?answer.word, "over");
        // A second copy of this answer may follow, and must not be taken for that of another attempt under the same id.
        if !matches!(&ended, AttemptEvent::Ended(e) if e.outcome == Outcome::Served) {
            c.given_up.push(request);
        }
        c.idle_since = out.now;
        self.places.remove(&attempt);
        self.told.push_back(ended);
        Ok(())
    }

    /// Nobody listens where a connection was to go.
    pub fn refused(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.ends(id, Some(Outcome::ConnectFailed), out);
    }

    /// A connection did not come up in time.
    pub fn unanswered(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.ends(id, Some(Outcome::ConnectTimedOut), out);
    }

    /// A connection is no more, or can't be used any more: what each of its attempts knows of itself.
    pub fn broken(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.ends(id, None, out);
    }

    /// `in_vain`: why there is no connection to be had there.
    fn ends(&mut self, id: ConnId, in_vain: Option<Outcome>, out: &mut EffectQueue<TimerEvent>) {
        let Some(c) = self.conns.get_mut(id) else { return };
        let engine = c.engine;
        let (up, written) = (c.up, c.written);
        debug!(
            at = engine.0,
            ?in_vain,
            up,
            written,
            waiting = c.waiting.len(),
            running = c.running.len(),
            "lost"
        );
        let (mut waiting, running) = (std::mem::take(&mut c.waiting), std::mem::take(&mut c.running));
        self.close(id, out);
        for (request, running) in running {
            self.places.remove(&running.job.attempt);
            if !running.begun {
                waiting.push(running.job);
                continue;
            }
            self.cut.push((request, engine, out.now));
            // What was not written whole did not run.
            let whole = written >= running.bytes.1;
            let outcome = if whole { Outcome::Reset } else { Outcome::NeverSent };
            debug!(attempt = %running.job.attempt, at = engine.0, ?outcome, "its connection broke");
            self.told.push_back(EndedAttempt::bare(running.job.attempt, outcome));
        }
        for mut job in waiting {
            self.places.remove(&job.attempt);
            // Guards against taking an executor for dead whose connections break as they come up: somebody listens there. What
            // waited was not written, and goes on another connection.
            job.lost += 1;
            if in_vain.is_some() || job.lost > MAX_CONNECTION_LOSSES {
                let outcome = in_vain.unwrap_or(Outcome::ConnectFailed);
                self.told.push_back(EndedAttempt::bare(job.attempt, outcome));
            } else {
                self.launch(engine, job, out);
            }
        }
    }

    /// A connection that nothing was sent on, or whose other side has closed, is no more of use once it carries nothing.
    pub fn closing(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(c) = self.conns.get_mut(id) {
            c.wire.peer_closing = true;
            if c.load() == 0 {
                self.close(id, out);
            }
        }
    }

    fn close(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        let Some(mut c) = self.conns.remove(id) else { return };
        out.cancel_timer(&mut c.connecting);
        // The words that gave these up end with the connection, at the latest; what follows under the same id must not overtake
        // that.
        self.cut.extend(c.given_up.iter().map(|request| (*request, c.engine, out.now)));
        if let Some(e) = self.all.get_mut(&c.engine) {
            e.conns.retain(|other| *other != id);
        }
        out.push(Effect::Close(id));
    }

    /// Now and then: connections that are idle for long or belong to nobody, answers that stopped short.
    pub fn sweep(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let now = out.now;
        let idle = (self.bounds.idle as f64 * IDLE_TIMEOUT_FRACTION) as i64;
        let (mut old, mut stalled) = (Vec::new(), Vec::new());
        for (id, c) in self.conns.iter() {
            let listed = self.all.get(&c.engine).is_some_and(|e| e.listed);
            let page = |r: &RunningAttempt| r.hit.as_ref().is_some_and(|h| now - h.at > STALL_TIMEOUT_US);
            if c.partial.is_some_and(|at| now - at > STALL_TIMEOUT_US) || c.running.values().any(page) {
                stalled.push(id);
            } else if c.up && c.load() == 0 && (!listed || now - c.idle_since > idle) {
                old.push(id);
            }
        }
        old.into_iter().for_each(|id| self.close(id, out));
        for id in stalled {
            self.counts.spoilt += 1;
            self.broken(id, out);
        }
        self.all.retain(|_, e| e.listed || !e.conns.is_empty());
        self.cut.retain(|(_, _, at)| now - at < CUT_DELAY_US);
    }
}
