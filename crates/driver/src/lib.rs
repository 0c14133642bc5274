//! The one path to the decision module, for the controller, the replay and every checker.
//!
//! A [`Driver`] owns one [`Gateway`] and the books around it: the numbers of queries and attempts, the timers, the
//! seed, what is out and what was answered. It is told what happened on the wire as [`Input`]s, turns them into the
//! module's events, and turns the module's actions into [`Instruction`]s. It reads no clock, does no I/O and decides
//! nothing: where a query goes, whether it is tried again and how it is given up is the module's.
//!
//! What the driver does by itself is arithmetic that has one answer only:
//!
//! - an ending that names an attempt already settled is dropped, by number;
//! - an attempt whose time is up is settled as timed out (as one that no connection came up for, if not a byte of it was written);
//! - an attempt not yet on the wire when its engine drains or goes is taken back, known not to have run;
//! - an answer that broke after its first row went to the client is a failure, as nothing else is left.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod books;

pub use books::{AttemptId, DriverCounters};

use books::{Books, Settled, Wake};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{
    Action, AttemptEnd, AttemptUpdate, EngineEntry, EngineId, Event, LoadReport, Micros, Outcome,
    PeerLoadReport, Query, QueryId, Settings, Status,
};
use wheelfield::Gateway;

/// Memory and priority of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptOptions {
    /// Memory grant in MB; zero leaves it to the engine.
    pub grant_mb: f64,
    /// 0 to 3; 1 is usual.
    pub priority: u8,
}

impl Default for AttemptOptions {
    fn default() -> Self {
        AttemptOptions { grant_mb: 0.0, priority: 1 }
    }
}

/// A query as the wire hands it in; its number is given by the driver.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, by position, where there are any.
    pub tenant: Option<usize>,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// When it must have its answer.
    pub deadline: Micros,
    /// Estimated work in seconds of one thread.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB.
    pub memory_hint: Option<f64>,
    /// The group of tables that it reads or writes.
    pub tables: u64,
}

/// Something that happened outside. Captures hold it: kinds are only added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The controller starts; comes first, once.
    Started,
    /// The engine list: whole, or the changed lines alone.
    Engines {
        /// An engine that is missing is gone.
        complete: bool,
        /// The lines.
        entries: Vec<EngineEntry>,
    },
    /// The engine list could not be had.
    ListUnavailable,
    /// The first byte of an attempt is about to be written.
    Dispatched(AttemptId),
    /// The first byte of its answer is about to go to the client.
    AnswerStarted(AttemptId),
    /// Word on an attempt.
    AttemptUpdated(AttemptId, AttemptUpdate),
    /// An attempt ended on the wire.
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// Work in seconds of one thread, where the answer tells.
        reported_work: Option<f64>,
        /// The engine's load, where told.
        report: LoadReport,
    },
    /// The client left, or withdrew its query: no answer is owed.
    Abandoned(QueryId),
    /// A probe came back.
    ProbeEnded {
        /// From.
        engine: EngineId,
        /// How it went.
        outcome: Outcome,
        /// The engine's load.
        report: LoadReport,
    },
    /// Another controller tells of engines.
    PeerReports(Vec<PeerLoadReport>),
    /// An attempt ended on a wire that measures by itself how long it took.
    AttemptMeasured {
        /// Which.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// Work in seconds of one thread, where the answer tells.
        reported_work: Option<f64>,
        /// The engine's load, where told.
        report: LoadReport,
        /// Since it was sent.
        elapsed: Micros,
    },
    /// So many controllers share the engines from now on, and this one is number `index` of them, from 0.
    GatewayCountChanged {
        /// How many.
        count: u32,
        /// Which one.
        index: u32,
    },
    /// The controller ends: a query must have its answer now.
    ShutdownDeadline(QueryId),
}

/// A final answer that the wire must give. A served query needs none: its rows are the answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing of it ran, or repeats do no harm: trying again is harmless.
    Rejected {
        /// When to come back; zero for no advice.
        retry_after: Micros,
    },
    /// Nothing is promised.
    Failed {
        /// An attempt of it may have run.
        may_have_run: bool,
    },
    /// The answer broke off after its first row had gone to the client.
    Interrupted,
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Instruction {
    /// Start an attempt. Tell `Dispatched` as its first byte is written.
    Start {
        /// Which.
        attempt: AttemptId,
        /// Where.
        engine: EngineId,
        /// On which terms.
        options: AttemptOptions,
    },
    /// Change the terms of an attempt that is out.
    SetOptions(AttemptId, AttemptOptions),
    /// Withdraw an attempt: end it at the engine if it was written, forget it if not.
    Cancel(AttemptId),
    /// Give a query its final answer, at once.
    Answer(QueryId, Answer),
    /// Probe an engine.
    Probe(EngineId),
    /// Tell all other controllers.
    ShareReports(Vec<PeerLoadReport>),
    /// Ask for the changes of the engine list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

/// The driver holds as many queries as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityExceeded;

/// What the driver itself is bounded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverLimits {
    /// Queries held at once; one more is [`CapacityExceeded`].
    pub max_queries: usize,
    /// A withdrawn attempt that the engine does not confirm is settled after this.
    pub cancel_confirmation_timeout: Micros,
}

impl DriverLimits {
    /// As [`DriverLimits::cancel_confirmation_timeout`]: the wire tells every end by itself, time-outs too, and the driver settles no attempt
    /// because its time is up.
    pub const EXTERNALLY_TIMED: Micros = Micros(i64::MAX / 4);
}

impl Default for DriverLimits {
    fn default() -> Self {
        DriverLimits { max_queries: 20_000, cancel_confirmation_timeout: Micros(250_000) }
    }
}

/// How an attempt ended: outcome, billed work, load, and how long it took if the wire measured that.
type End = (Outcome, Option<f64>, LoadReport, Option<Micros>);

/// The end of an attempt of which the wire tells nothing.
fn settled(outcome: Outcome) -> End {
    (outcome, None, LoadReport::default(), None)
}

/// One module with its books.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Driver {
    gateway: Gateway,
    books: Books,
    engines: BTreeMap<EngineId, Status>,
    bounds: DriverLimits,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counts: DriverCounters,
    /// What the module was told, where somebody listens.
    #[serde(skip)]
    heard: Option<Vec<Event>>,
}

impl Driver {
    /// A driver around a fresh module. The same settings, seed and inputs give the same instructions.
    pub fn new(settings: Settings, seed: u64, bounds: DriverLimits) -> Self {
        Driver {
            gateway: Gateway::new(settings, seed),
            books: Books::default(),
            engines: BTreeMap::new(),
            bounds,
            events: VecDeque::new(),
            actions: Vec::new(),
            counts: DriverCounters::default(),
            heard: None,
        }
    }

    /// From now on, what the module is told is kept until [`Driver::take_recorded_events`] takes it.
    pub fn record_events(&mut self) {
        self.heard = Some(Vec::new());
    }

    /// What the module was told since it was last asked, if somebody listens.
    pub fn take_recorded_events(&mut self) -> Vec<Event> {
        self.heard.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Takes a query. Its number is the answer; what is to be done for it is appended to `out`.
    ///
    /// # Errors
    /// [`CapacityExceeded`] when as many queries are held as the bounds allow; the query was not taken then.
    pub fn submit(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        let id = self.books.next_number();
        self.submit_with_id(now, id, arrival, out)
    }

    /// Takes a query whose number is given outside, as on a wire that numbers them itself.
    ///
    /// # Errors
    /// [`CapacityExceeded`] when as many queries are held as the bounds allow, or one of this number is.
    pub fn submit_with_id(
        &mut self,
        now: Micros,
        id: QueryId,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        if self.books.held() >= self.bounds.max_queries || !self.books.open(id, arrival.deadline) {
            self.counts.over_capacity += 1;
            return Err(CapacityExceeded);
        }
        self.counts.accepted += 1;
        let Arrival { class, tenant, key, deadline: due, work_hint, memory_hint, tables } = arrival;
        self.events.push_back(Event::Arrived(Query {
            id,
            class,
            tenant,
            key,
            deadline: due,
            work_hint,
            memory_hint,
            tables,
        }));
        self.run(now, out);
        Ok(id)
    }

    /// Takes one input and appends what is to be done.
    pub fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        match input {
            Input::Started => self.events.push_back(Event::Started),
            Input::Engines { complete: whole, entries } => self.engines_changed(now, whole, entries, out),
            Input::ListUnavailable => self.events.push_back(Event::ListUnavailable),
            Input::Dispatched(attempt) => self.books.dispatched(attempt),
            Input::AnswerStarted(attempt) => {
                if self.books.begin(attempt) {
                    self.events.push_back(Event::AnswerStarted(attempt.query));
                }
            }
            Input::AttemptUpdated(attempt, note) => {
                if self.books.is_out(attempt) {
                    self.events.push_back(Event::AttemptUpdated {
                        query: attempt.query,
                        attempt: attempt.number,
                        update: note,
                    });
                }
            }
            Input::AttemptEnded { attempt, outcome, reported_work: billed_work, report } => {
                self.ended(now, attempt, (outcome, billed_work, report, None), out);
            }
            Input::AttemptMeasured {
                attempt,
                outcome,
                reported_work: billed_work,
                report,
                elapsed: took,
            } => {
                self.ended(now, attempt, (outcome, billed_work, report, Some(took)), out);
            }
            Input::Abandoned(query) => {
                if self.books.answer(query) {
                    self.counts.abandoned += 1;
                    self.events.push_back(Event::Abandoned(query));
                }
            }
            Input::ShutdownDeadline(query) => {
                if self.books.owes(query) {
                    self.events.push_back(Event::ShutdownDeadline(query));
                }
            }
            Input::ProbeEnded { engine, outcome, report } => {
                self.events.push_back(Event::ProbeEnded { engine, outcome, report });
            }
            Input::GatewayCountChanged { count, index } => {
                let (count, index) = (f64::from(count), f64::from(index));
                self.events.push_back(Event::GatewayCountChanged { count, index });
            }
            Input::PeerReports(words) => {
                let known = |w: &PeerLoadReport| self.engines.contains_key(&w.engine);
                let words: Vec<PeerLoadReport> = words.into_iter().filter(known).collect();
                self.events.push_back(Event::PeerReports(words));
            }
        }
        self.run(now, out);
    }

    /// When [`Driver::handle_timers`] is next wanted.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.books.next_due()
    }

    /// Lets the time pass: timers that ran out, attempts whose time is up, withdrawals without an echo.
    /// A timer asked for meanwhile waits for the next call, however short it is. False if nothing had come due.
    pub fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        let ripe = self.books.ripe(now);
        let some = !ripe.is_empty();
        for wake in ripe {
            match wake {
                Wake::Module(token) => self.events.push_back(Event::TimerFired(token)),
                Wake::Limit(attempt) => {
                    if self.books.is_out(attempt) && !self.books.began(attempt) {
                        let written = self.books.written(attempt);
                        let outcome = if written { Outcome::TimedOut } else { Outcome::ConnectTimedOut };
                        out.push(Instruction::Cancel(attempt));
                        self.ended(now, attempt, settled(outcome), out);
                    }
                }
                Wake::Unconfirmed(attempt) => {
                    // An answer that crossed the withdrawal and has begun is the client's.
                    if self.books.is_out(attempt) && !self.books.began(attempt) {
                        self.ended(now, attempt, settled(Outcome::Cancelled), out);
                    }
                }
            }
            self.run(now, out);
        }
        some
    }

    /// A wire that keeps the time itself tells that a timer of the module ran out. False if there was none.
    pub fn fire_timer(&mut self, now: Micros, token: u64, out: &mut Vec<Instruction>) -> bool {
        let some = self.books.take_module_wake(token);
        if some {
            self.events.push_back(Event::TimerFired(token));
            self.run(now, out);
        }
        some
    }

    /// Whether an attempt still counts: it was started and has had no outcome. The wire asks before it writes
    /// the attempt, and before it lets any byte of its answer through to the client.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.books.is_out(attempt)
    }

    /// Whether an attempt's answer may go to the client: it is out and its query has had no answer.
    pub fn may_answer(&self, attempt: AttemptId) -> bool {
        self.books.may_answer(attempt)
    }

    /// Whether an attempt may be written now: it is out, not withdrawn, its engine takes work, and it is no repeat that must not
    /// run. The module allowed it as it was sent, which may be some time ago.
    pub fn may_write(&self, now: Micros, attempt: AttemptId) -> bool {
        let up = |e: EngineId| self.engines.get(&e) == Some(&Status::Up);
        self.books.engine_to_write(attempt).is_some_and(up)
            && self.gateway.may_still_write(now, attempt.query, attempt.number)
    }

    /// Whether a query waits for its final answer.
    pub fn owes(&self, query: QueryId) -> bool {
        self.books.owes(query)
    }

    /// When a query must have its answer; none once it is forgotten.
    pub fn due_of(&self, query: QueryId) -> Option<Micros> {
        self.books.due_of(query)
    }

    /// When an attempt is given up if it has not ended by then; none once it is settled, or where the wire tells that.
    pub fn limit_of(&self, attempt: AttemptId) -> Option<Micros> {
        self.books.limit_of(attempt)
    }

    /// Queries held, answered ones with an attempt out among them.
    pub fn held(&self) -> usize {
        self.books.held()
    }

    /// What was counted since the start.
    pub fn counts(&self) -> DriverCounters {
        self.counts
    }

    /// Whether the list has named an engine.
    pub fn knows(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    fn engines_changed(
        &mut self,
        now: Micros,
        complete: bool,
        entries: Vec<EngineEntry>,
        out: &mut Vec<Instruction>,
    ) {
        let named: BTreeSet<EngineId> = entries.iter().map(|e| e.engine).collect();
        for (engine, status) in &mut self.engines {
            if complete && !named.contains(engine) {
                *status = Status::Removed;
            }
        }
        for entry in &entries {
            self.engines.insert(entry.engine, entry.status);
        }
        let gone = |e: &EngineId| self.engines.get(e) != Some(&Status::Up);
        let back = self.books.unwritten_at(gone);
        self.events.push_back(if complete {
            Event::EngineList(entries)
        } else {
            Event::EngineChanges(entries)
        });
        for attempt in back {
            out.push(Instruction::Cancel(attempt));
            self.settle(now, attempt, settled(Outcome::NeverSent), out);
        }
    }

    fn ended(&mut self, now: Micros, attempt: AttemptId, end: End, out: &mut Vec<Instruction>) {
        if self.books.is_out(attempt) {
            self.settle(now, attempt, end, out);
        } else {
            self.counts.late_endings += 1;
        }
    }

    fn settle(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        (outcome, billed_work, report, took): End,
        out: &mut Vec<Instruction>,
    ) {
        let Some(Settled { sent, began, owed }) = self.books.settle(attempt, outcome) else { return };
        let mut last = !owed;
        if owed && outcome == Outcome::Served {
            self.books.answer(attempt.query);
            self.counts.served += 1;
            last = true;
        } else if owed && began {
            self.books.answer(attempt.query);
            self.counts.failed += 1;
            out.push(Instruction::Answer(attempt.query, Answer::Interrupted));
            last = true;
        }
        let took = took.unwrap_or((now - sent).max(Micros(0)));
        let (query, attempt) = (attempt.query, attempt.number);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            query,
            attempt,
            outcome,
            query_over: last,
            elapsed: took,
            reported_work: billed_work,
            report,
        }));
    }

    /// Hands the module what waits, and carries out what it answers.
    fn run(&mut self, now: Micros, out: &mut Vec<Instruction>) {
        while let Some(event) = self.events.pop_front() {
            let about = match &event {
                Event::AttemptEnded(e) => Some(e.query),
                Event::Abandoned(q) => Some(*q),
                _ => None,
            };
            if let Some(heard) = &mut self.heard {
                heard.push(event.clone());
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, out);
            }
            self.actions = actions;
            if let Some(query) = about {
                self.books.close(query);
            }
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Instruction>) {
        match action {
            Action::Send { query, engine, timeout: time_out } => {
                let limited = self.bounds.cancel_confirmation_timeout < DriverLimits::EXTERNALLY_TIMED;
                if let Some((attempt, terms)) = self.books.start(now, query, engine, time_out, limited) {
                    self.counts.attempts += 1;
                    self.counts.retries += u64::from(attempt.number > 0);
                    out.push(Instruction::Start { attempt, engine, options: terms });
                }
            }
            Action::SetOptions { query, grant_mb, priority } => {
                let terms = AttemptOptions { grant_mb, priority };
                self.books.set_terms(query, terms);
                for attempt in self.books.written_out(query) {
                    out.push(Instruction::SetOptions(attempt, terms));
                }
            }
            Action::Cancel { query, attempt: number } => {
                let attempt = AttemptId { query, number };
                if !self.books.withdraw(attempt, now + self.bounds.cancel_confirmation_timeout) {
                    return;
                }
                out.push(Instruction::Cancel(attempt));
                if !self.books.written(attempt) {
                    self.settle(now, attempt, settled(Outcome::NeverSent), out);
                }
            }
            Action::Reject { query, retry_after } => {
                if self.books.answer(query) {
                    self.counts.rejected += 1;
                    out.push(Instruction::Answer(query, Answer::Rejected { retry_after }));
                }
            }
            Action::Fail { query } => {
                if self.books.answer(query) {
                    self.counts.failed += 1;
                    let may_have_run = self.books.may_have_run(query);
                    out.push(Instruction::Answer(query, Answer::Failed { may_have_run }));
                }
            }
            Action::SetTimer { token, after } => {
                self.books.wake_at(now + after, Wake::Module(token));
            }
            Action::Probe(engine) => out.push(Instruction::Probe(engine)),
            Action::ShareReports(words) => out.push(Instruction::ShareReports(words)),
            Action::Subscribe => out.push(Instruction::Subscribe),
            Action::Log(text) => out.push(Instruction::Log(text)),
        }
        // An answer may be the last that was wanted of a query with nothing out.
        if let Some(query) = self.books.last_answered() {
            self.books.close(query);
        }
    }
}
