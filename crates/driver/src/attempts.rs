//! The table of queries and their attempts. It stores their state and makes no decisions.
//!
//! Captures store the table in a positional format: fields may be renamed but not reordered.
//!
//! An attempt is in flight until it has an outcome. A query stays in the table until it has been answered and none of its
//! attempts is in flight.

use crate::timers::{TimerKey, TimerKind, Timers};
use crate::AttemptOptions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId};

/// Identifies an attempt by its query and its number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// Number of the attempt within the query.
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
    /// Whether its first byte has been written to the engine.
    written: bool,
    cancelled: bool,
    /// Whether the first byte of its answer has been sent to the client.
    answer_started: bool,
    outcome: Option<Outcome>,
    /// Its timers, which are cancelled when it ends.
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
struct QueryEntry {
    deadline: Micros,
    answered: bool,
    /// Options of its next attempt.
    options: AttemptOptions,
    attempts: Vec<Attempt>,
}

/// State of an attempt at the time of its end.
pub(crate) struct EndedAttempt {
    pub sent_at: Micros,
    pub answer_started: bool,
    /// Whether its query was still waiting for its final answer.
    pub query_unanswered: bool,
}

/// Parameters of an attempt that is being started.
pub(crate) struct NewAttempt {
    pub query: QueryId,
    pub engine: EngineId,
    /// Timeout of the attempt; zero for the deadline of the query.
    pub timeout: Micros,
    /// Whether the driver sets a timer that ends the attempt at its timeout.
    pub has_timeout_timer: bool,
}

/// Queries that are unanswered or have attempts in flight, by id.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct AttemptTable {
    last_query_id: u64,
    queries: BTreeMap<QueryId, QueryEntry>,
    /// Attempts in flight of which no byte has been written, by engine.
    unwritten: BTreeSet<(EngineId, AttemptId)>,
    pub timers: Timers,
    last_answered: Option<QueryId>,
}

impl AttemptTable {
    pub fn queries_held(&self) -> usize {
        self.queries.len()
    }

    /// Allocates the id of the next query.
    pub fn next_query_id(&mut self) -> QueryId {
        self.last_query_id = self.last_query_id.wrapping_add(1);
        QueryId(self.last_query_id)
    }

    /// Adds a query. Returns false if the id is in use.
    pub fn add_query(&mut self, id: QueryId, deadline: Micros) -> bool {
        let is_new = !self.queries.contains_key(&id);
        if is_new {
            let options = AttemptOptions::default();
            let query = QueryEntry {
                deadline,
                answered: false,
                options,
                attempts: Vec::new(),
            };
            self.queries.insert(id, query);
        }
        is_new
    }

    /// Adds an attempt to a query. Returns `None` if the query has been answered or is not in the table.
    pub fn add_attempt(
        &mut self,
        now: Micros,
        new: &NewAttempt,
    ) -> Option<(AttemptId, AttemptOptions)> {
        let query = self
            .queries
            .get_mut(&new.query)
            .filter(|query| !query.answered)?;
        let attempt = AttemptId {
            query: new.query,
            number: query.attempts.len(),
        };
        query.attempts.push(Attempt::new(new.engine, now));
        let times_out_at = match new.timeout {
            Micros(0) => query.deadline,
            timeout => (now + timeout).min(query.deadline),
        };
        let options = query.options;
        self.unwritten.insert((new.engine, attempt));
        if new.has_timeout_timer {
            self.set_attempt_timer(attempt, times_out_at, TimerKind::AttemptTimeout(attempt));
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

    /// Whether the answer of an attempt may be sent to the client: the attempt is in flight, its query is unanswered, and no
    /// other attempt of the query has started its answer.
    pub fn may_answer(&self, id: AttemptId) -> bool {
        let Some(query) = self.queries.get(&id.query).filter(|query| !query.answered) else {
            return false;
        };
        let mut attempts = query.attempts.iter().enumerate();
        let other_answer_started =
            attempts.any(|(number, attempt)| attempt.answer_started && number != id.number);
        !other_answer_started && self.is_in_flight(id)
    }

    /// The engine of an attempt that is still to be written; `None` if it has been written or cancelled, or has ended.
    pub fn engine_if_unwritten(&self, id: AttemptId) -> Option<EngineId> {
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

    /// Marks the answer of an attempt as started. Returns false if it had already started or may not be sent.
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

    /// Marks an attempt as cancelled. Returns false if it was already cancelled or has ended.
    pub fn mark_cancelled(&mut self, id: AttemptId, confirmation_deadline: Micros) -> bool {
        let Some(attempt) = self.in_flight_mut(id).filter(|attempt| !attempt.cancelled) else {
            return false;
        };
        attempt.cancelled = true;
        self.set_attempt_timer(id, confirmation_deadline, TimerKind::CancelUnconfirmed(id));
        true
    }

    /// Records the outcome of an attempt and cancels its timers. Returns `None` if the attempt already had an outcome.
    pub fn record_outcome(&mut self, id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let query_unanswered = self.awaits_answer(id.query);
        let attempt = self.in_flight_mut(id)?;
        attempt.outcome = Some(outcome);
        let engine = attempt.engine;
        let ended = EndedAttempt {
            sent_at: attempt.sent_at,
            answer_started: attempt.answer_started,
            query_unanswered,
        };
        let timers = std::mem::take(&mut attempt.timers);
        self.unwritten.remove(&(engine, id));
        for key in timers {
            self.timers.cancel(key);
        }
        Some(ended)
    }

    pub fn awaits_answer(&self, query: QueryId) -> bool {
        self.queries
            .get(&query)
            .is_some_and(|query| !query.answered)
    }

    pub fn deadline_of(&self, query: QueryId) -> Option<Micros> {
        self.queries.get(&query).map(|query| query.deadline)
    }

    /// When an attempt times out; `None` if it has no timeout timer. That timer is always the first one set for an attempt.
    pub fn timeout_at(&self, id: AttemptId) -> Option<Micros> {
        let first = *self.attempt(id)?.timers.first()?;
        matches!(self.timers.get(first), Some(TimerKind::AttemptTimeout(_))).then_some(first.0)
    }

    /// Marks a query as answered. Returns false if it already was, or is not in the table.
    pub fn mark_answered(&mut self, id: QueryId) -> bool {
        let Some(query) = self.queries.get_mut(&id).filter(|query| !query.answered) else {
            return false;
        };
        query.answered = true;
        self.last_answered = Some(id);
        true
    }

    /// Returns the query that was answered last, once.
    pub fn take_last_answered(&mut self) -> Option<QueryId> {
        self.last_answered.take()
    }

    /// Whether any attempt of a query may have run.
    pub fn may_have_run(&self, query: QueryId) -> bool {
        let may_have_run =
            |attempt: &Attempt| !attempt.outcome.is_some_and(Outcome::never_ran) && attempt.written;
        self.queries
            .get(&query)
            .is_some_and(|query| query.attempts.iter().any(may_have_run))
    }

    /// Removes a query if it has been answered and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: QueryId) {
        let is_done = |query: &QueryEntry| {
            query.answered && !query.attempts.iter().any(Attempt::is_in_flight)
        };
        if self.queries.get(&id).is_some_and(is_done) {
            self.queries.remove(&id);
        }
    }

    /// Attempts in flight of which no byte has been written, on the engines that match.
    pub fn unwritten_attempts(&self, matches_engine: impl Fn(&EngineId) -> bool) -> Vec<AttemptId> {
        self.unwritten
            .iter()
            .filter(|(engine, _)| matches_engine(engine))
            .map(|(_, attempt)| *attempt)
            .collect()
    }

    /// The attempts of a query that have been written, are in flight and are not cancelled.
    pub fn cancellable_attempts(&self, query: QueryId) -> Vec<AttemptId> {
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

    /// Sets a timer that is cancelled when its attempt ends.
    fn set_attempt_timer(&mut self, id: AttemptId, at: Micros, kind: TimerKind) {
        let key = self.timers.set(at, kind);
        if let Some(attempt) = self.in_flight_mut(id) {
            attempt.timers.push(key);
        }
    }
}
