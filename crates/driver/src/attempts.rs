//! The table of queries and their attempts: what is in flight, what was answered. It decides nothing.
//!
//! Captures hold it in a positional format: fields may be renamed, but never reordered.

use crate::timers::{TimerKey, TimerKind, Timers};
use crate::AttemptOptions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId};

/// An attempt: its query and its number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// Which attempt of it.
    pub number: usize,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.query.0, self.number)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Attempt {
    engine: EngineId,
    sent_at: Micros,
    /// Its first byte was written.
    written: bool,
    cancelled: bool,
    /// The first byte of its answer went to the client.
    answer_started: bool,
    outcome: Option<Outcome>,
    /// Its timers, so that they are cancelled with it.
    timers: Vec<TimerKey>,
}

impl Attempt {
    fn new(engine: EngineId, sent_at: Micros) -> Attempt {
        Attempt {
            engine,
            sent_at,
            written: false,
            cancelled: false,
            answer_started: false,
            outcome: None,
            timers: Vec::new(),
        }
    }

    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct HeldQuery {
    deadline: Micros,
    answered: bool,
    /// With which options its next attempt is sent.
    options: AttemptOptions,
    attempts: Vec<Attempt>,
}

/// What an attempt was like as it was settled.
pub(crate) struct Settled {
    pub sent_at: Micros,
    pub answer_started: bool,
    /// Its query had no final answer yet.
    pub owed: bool,
}

/// An attempt that is being started.
pub(crate) struct NewAttempt {
    pub query: QueryId,
    pub engine: EngineId,
    /// Zero for the query's own deadline.
    pub timeout: Micros,
    /// Whether a timer settles it when its time is up.
    pub sets_timer: bool,
}

/// Queries that are held, by number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct AttemptTable {
    last_number: u64,
    queries: BTreeMap<QueryId, HeldQuery>,
    /// Attempts of which no byte is written, by engine.
    unwritten: BTreeSet<(EngineId, AttemptId)>,
    pub timers: Timers,
    last_answered: Option<QueryId>,
}

impl AttemptTable {
    pub fn queries_held(&self) -> usize {
        self.queries.len()
    }

    /// The number of the next query.
    pub fn next_number(&mut self) -> QueryId {
        self.last_number = self.last_number.wrapping_add(1);
        QueryId(self.last_number)
    }

    /// Adds a query; false if one of this number is held.
    pub fn add_query(&mut self, id: QueryId, deadline: Micros) -> bool {
        let is_free = !self.queries.contains_key(&id);
        if is_free {
            let options = AttemptOptions::default();
            let query = HeldQuery {
                deadline,
                answered: false,
                options,
                attempts: Vec::new(),
            };
            self.queries.insert(id, query);
        }
        is_free
    }

    /// Starts an attempt, unless the query was answered.
    pub fn start(&mut self, now: Micros, new: &NewAttempt) -> Option<(AttemptId, AttemptOptions)> {
        let query = self
            .queries
            .get_mut(&new.query)
            .filter(|query| !query.answered)?;
        let attempt = AttemptId {
            query: new.query,
            number: query.attempts.len(),
        };
        query.attempts.push(Attempt::new(new.engine, now));
        let ends_at = match new.timeout {
            Micros(0) => query.deadline,
            timeout => (now + timeout).min(query.deadline),
        };
        let options = query.options;
        self.unwritten.insert((new.engine, attempt));
        if new.sets_timer {
            self.set_timer_of(attempt, ends_at, TimerKind::AttemptTimeout(attempt));
        }
        Some((attempt, options))
    }

    /// Sets the options of a query's next attempt.
    pub fn set_options(&mut self, query: QueryId, options: AttemptOptions) {
        if let Some(query) = self.queries.get_mut(&query) {
            query.options = options;
        }
    }

    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.queries.get(&id.query)?.attempts.get(id.number)
    }

    fn in_flight_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self
            .queries
            .get_mut(&id.query)?
            .attempts
            .get_mut(id.number)?;
        Some(attempt).filter(|attempt| attempt.is_in_flight())
    }

    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(Attempt::is_in_flight)
    }

    pub fn may_answer(&self, id: AttemptId) -> bool {
        let Some(query) = self.queries.get(&id.query).filter(|query| !query.answered) else {
            return false;
        };
        let mut attempts = query.attempts.iter().enumerate();
        let other_started =
            attempts.any(|(number, attempt)| attempt.answer_started && number != id.number);
        !other_started && self.is_in_flight(id)
    }

    /// The engine that an attempt is to be written to; none if it was written, cancelled or settled.
    pub fn engine_to_write(&self, id: AttemptId) -> Option<EngineId> {
        let attempt = self.attempt(id).filter(|attempt| attempt.is_in_flight())?;
        (!attempt.cancelled && !attempt.written).then_some(attempt.engine)
    }

    pub fn mark_written(&mut self, id: AttemptId) {
        let Some(attempt) = self.in_flight_mut(id) else {
            return;
        };
        attempt.written = true;
        let engine = attempt.engine;
        self.unwritten.remove(&(engine, id));
    }

    /// Marks that the answer of an attempt has started; false if it may not, or had.
    pub fn start_answer(&mut self, id: AttemptId) -> bool {
        let may_start = self.may_answer(id) && !self.answer_started(id);
        if let Some(attempt) = self.in_flight_mut(id).filter(|_| may_start) {
            attempt.answer_started = true;
        }
        may_start
    }

    pub fn answer_started(&self, id: AttemptId) -> bool {
        self.attempt(id)
            .is_some_and(|attempt| attempt.answer_started)
    }

    pub fn is_written(&self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|attempt| attempt.written)
    }

    /// Marks an attempt as cancelled; false if it was already, or is settled.
    pub fn cancel(&mut self, id: AttemptId, confirm_by: Micros) -> bool {
        let Some(attempt) = self.in_flight_mut(id).filter(|attempt| !attempt.cancelled) else {
            return false;
        };
        attempt.cancelled = true;
        self.set_timer_of(id, confirm_by, TimerKind::CancelUnconfirmed(id));
        true
    }

    /// Notes the outcome of an attempt; none if it had one.
    pub fn settle(&mut self, id: AttemptId, outcome: Outcome) -> Option<Settled> {
        let owed = self.awaits_answer(id.query);
        let attempt = self.in_flight_mut(id)?;
        attempt.outcome = Some(outcome);
        let engine = attempt.engine;
        let settled = Settled {
            sent_at: attempt.sent_at,
            answer_started: attempt.answer_started,
            owed,
        };
        let timers = std::mem::take(&mut attempt.timers);
        self.unwritten.remove(&(engine, id));
        for key in timers {
            self.timers.cancel(key);
        }
        Some(settled)
    }

    pub fn awaits_answer(&self, query: QueryId) -> bool {
        self.queries
            .get(&query)
            .is_some_and(|query| !query.answered)
    }

    pub fn deadline_of(&self, query: QueryId) -> Option<Micros> {
        self.queries.get(&query).map(|query| query.deadline)
    }

    /// When the time of an attempt is up: of its timers this one is set first.
    pub fn timeout_at(&self, id: AttemptId) -> Option<Micros> {
        let first = *self.attempt(id)?.timers.first()?;
        matches!(self.timers.get(first), Some(TimerKind::AttemptTimeout(_))).then_some(first.0)
    }

    /// Notes the final answer; false if there was one.
    pub fn answer(&mut self, id: QueryId) -> bool {
        let Some(query) = self.queries.get_mut(&id).filter(|query| !query.answered) else {
            return false;
        };
        query.answered = true;
        self.last_answered = Some(id);
        true
    }

    /// Takes the query that was answered last; none if it was taken before.
    pub fn take_last_answered(&mut self) -> Option<QueryId> {
        self.last_answered.take()
    }

    /// Whether an attempt of a query may have run.
    pub fn may_have_run(&self, query: QueryId) -> bool {
        let may_have_run =
            |attempt: &Attempt| !attempt.outcome.is_some_and(Outcome::never_ran) && attempt.written;
        self.queries
            .get(&query)
            .is_some_and(|query| query.attempts.iter().any(may_have_run))
    }

    /// Removes a query that was answered and has nothing in flight.
    pub fn remove_if_done(&mut self, id: QueryId) {
        let is_done =
            |query: &HeldQuery| query.answered && !query.attempts.iter().any(Attempt::is_in_flight);
        if self.queries.get(&id).is_some_and(is_done) {
            self.queries.remove(&id);
        }
    }

    /// Attempts of which nothing is written, at the engines that fit.
    pub fn unwritten_at(&self, fits: impl Fn(&EngineId) -> bool) -> Vec<AttemptId> {
        self.unwritten
            .iter()
            .filter(|(engine, _)| fits(engine))
            .map(|(_, attempt)| *attempt)
            .collect()
    }

    /// The attempts of a query that were written, and are neither cancelled nor settled.
    pub fn written_in_flight(&self, query: QueryId) -> Vec<AttemptId> {
        let attempts = self
            .queries
            .get(&query)
            .map_or(&[][..], |query| &query.attempts);
        let numbered = attempts.iter().enumerate();
        let in_flight = numbered.filter(|(_, a)| a.written && a.is_in_flight() && !a.cancelled);
        in_flight
            .map(|(number, _)| AttemptId { query, number })
            .collect()
    }

    /// Sets a timer that is cancelled when its attempt is settled.
    fn set_timer_of(&mut self, id: AttemptId, at: Micros, kind: TimerKind) {
        let key = self.timers.set(at, kind);
        if let Some(attempt) = self.in_flight_mut(id) {
            attempt.timers.push(key);
        }
    }
}
