//! The books: what is out, what was answered, and when to look again. Plain arithmetic, no decisions.

use crate::AttemptOptions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId};

/// An attempt: its query and its number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Whose.
    pub query: QueryId,
    /// Which.
    pub number: usize,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.query.0, self.number)
    }
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverCounters {
    /// Queries taken.
    pub accepted: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed, broken answers among them.
    pub failed: u64,
    /// Left by their clients.
    pub abandoned: u64,
    /// Not taken, as the books were full.
    pub over_capacity: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Of these, beyond a query's first.
    pub retries: u64,
    /// Endings dropped, as their attempt was settled.
    pub late_endings: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Wake {
    Module(u64),
    Limit(AttemptId),
    Unconfirmed(AttemptId),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Attempt {
    engine: EngineId,
    sent: Micros,
    written: bool,
    withdrawn: bool,
    began: bool,
    outcome: Option<Outcome>,
    /// Where its wakes stand, so that they go with it.
    wakes: Vec<WakeKey>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Taken {
    due: Micros,
    answered: bool,
    /// What its next send goes with.
    terms: AttemptOptions,
    attempts: Vec<Attempt>,
}

/// When, and a number that keeps the order of asking.
type WakeKey = (Micros, u64);

/// What an attempt was like as it was settled.
pub(crate) struct Settled {
    pub sent: Micros,
    pub began: bool,
    /// Its query had no answer yet.
    pub owed: bool,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Books {
    last_number: u64,
    queries: BTreeMap<QueryId, Taken>,
    /// Attempts of which no byte is written, by engine.
    unwritten: BTreeSet<(EngineId, AttemptId)>,
    wakes: BTreeMap<WakeKey, Wake>,
    wakes_set: u64,
    last_answered: Option<QueryId>,
}

impl Books {
    pub fn held(&self) -> usize {
        self.queries.len()
    }

    /// The number of the next query.
    pub fn next_number(&mut self) -> QueryId {
        self.last_number = self.last_number.wrapping_add(1);
        QueryId(self.last_number)
    }

    /// Opens a query; false if one of this number is held.
    pub fn open(&mut self, id: QueryId, due: Micros) -> bool {
        let free = !self.queries.contains_key(&id);
        if free {
            let taken =
                Taken { due, answered: false, terms: AttemptOptions::default(), attempts: Vec::new() };
            self.queries.insert(id, taken);
        }
        free
    }

    /// Starts an attempt, unless the query was answered.
    pub fn start(
        &mut self,
        now: Micros,
        query: QueryId,
        engine: EngineId,
        time_out: Micros,
        limited: bool,
    ) -> Option<(AttemptId, AttemptOptions)> {
        let taken = self.queries.get_mut(&query).filter(|t| !t.answered)?;
        let attempt = AttemptId { query, number: taken.attempts.len() };
        let (written, withdrawn, began, outcome, wakes) = (false, false, false, None, Vec::new());
        taken.attempts.push(Attempt { engine, sent: now, written, withdrawn, began, outcome, wakes });
        let limit = if time_out.0 == 0 { taken.due } else { (now + time_out).min(taken.due) };
        let terms = taken.terms;
        self.unwritten.insert((engine, attempt));
        if limited {
            self.wake_for(limit, attempt, Wake::Limit(attempt));
        }
        Some((attempt, terms))
    }

    /// Keeps what a query's next send goes with.
    pub fn set_terms(&mut self, query: QueryId, terms: AttemptOptions) {
        if let Some(taken) = self.queries.get_mut(&query) {
            taken.terms = terms;
        }
    }

    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.queries.get(&id.query)?.attempts.get(id.number)
    }

    fn out_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.queries.get_mut(&id.query)?.attempts.get_mut(id.number).filter(|a| a.outcome.is_none())
    }

    pub fn is_out(&self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| a.outcome.is_none())
    }

    pub fn may_answer(&self, id: AttemptId) -> bool {
        let Some(taken) = self.queries.get(&id.query).filter(|t| !t.answered) else { return false };
        let another = taken.attempts.iter().enumerate().any(|(n, a)| a.began && n != id.number);
        !another && self.is_out(id)
    }

    pub fn engine_to_write(&self, id: AttemptId) -> Option<EngineId> {
        self.attempt(id).filter(|a| a.outcome.is_none() && !a.withdrawn && !a.written).map(|a| a.engine)
    }

    pub fn dispatched(&mut self, id: AttemptId) {
        if let Some(engine) = self.out_mut(id).map(|a| {
            a.written = true;
            a.engine
        }) {
            self.unwritten.remove(&(engine, id));
        }
    }

    pub fn begin(&mut self, id: AttemptId) -> bool {
        let may = self.may_answer(id) && !self.began(id);
        if let Some(a) = self.out_mut(id).filter(|_| may) {
            a.began = true;
        }
        may
    }

    pub fn began(&self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| a.began)
    }

    pub fn written(&self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| a.written)
    }

    /// Marks an attempt as withdrawn; false if it was already, or is settled.
    pub fn withdraw(&mut self, id: AttemptId, confirm_by: Micros) -> bool {
        let Some(a) = self.out_mut(id).filter(|a| !a.withdrawn) else { return false };
        a.withdrawn = true;
        self.wake_for(confirm_by, id, Wake::Unconfirmed(id));
        true
    }

    pub fn settle(&mut self, id: AttemptId, outcome: Outcome) -> Option<Settled> {
        let owed = self.owes(id.query);
        let a = self.out_mut(id)?;
        a.outcome = Some(outcome);
        let (engine, settled) = (a.engine, Settled { sent: a.sent, began: a.began, owed });
        let wakes = std::mem::take(&mut a.wakes);
        self.unwritten.remove(&(engine, id));
        for key in wakes {
            self.wakes.remove(&key);
        }
        Some(settled)
    }

    pub fn owes(&self, query: QueryId) -> bool {
        self.queries.get(&query).is_some_and(|t| !t.answered)
    }

    pub fn due_of(&self, query: QueryId) -> Option<Micros> {
        self.queries.get(&query).map(|t| t.due)
    }

    /// When an attempt's time is up: of its wakes the limit is set first.
    pub fn limit_of(&self, id: AttemptId) -> Option<Micros> {
        let first = self.attempt(id)?.wakes.first()?;
        matches!(self.wakes.get(first), Some(Wake::Limit(_))).then_some(first.0)
    }

    /// Notes the final answer; false if there was one.
    pub fn answer(&mut self, query: QueryId) -> bool {
        let Some(taken) = self.queries.get_mut(&query).filter(|t| !t.answered) else { return false };
        taken.answered = true;
        self.last_answered = Some(query);
        true
    }

    /// The query answered last, told once.
    pub fn last_answered(&mut self) -> Option<QueryId> {
        self.last_answered.take()
    }

    pub fn may_have_run(&self, query: QueryId) -> bool {
        let ran = |a: &Attempt| !a.outcome.is_some_and(Outcome::never_ran) && a.written;
        self.queries.get(&query).is_some_and(|t| t.attempts.iter().any(ran))
    }

    /// Forgets a query that was answered and has nothing out.
    pub fn close(&mut self, query: QueryId) -> bool {
        let over = |t: &Taken| t.answered && t.attempts.iter().all(|a| a.outcome.is_some());
        let closes = self.queries.get(&query).is_some_and(over);
        if closes {
            self.queries.remove(&query);
        }
        closes
    }

    /// Attempts of which nothing is written, at the engines named.
    pub fn unwritten_at(&self, at: impl Fn(&EngineId) -> bool) -> Vec<AttemptId> {
        self.unwritten.iter().filter(|(e, _)| at(e)).map(|(_, a)| *a).collect()
    }

    /// The attempts of a query that are on the wire.
    pub fn written_out(&self, query: QueryId) -> Vec<AttemptId> {
        let attempts = self.queries.get(&query).map(|t| t.attempts.as_slice()).unwrap_or(&[]);
        let out = |(_, a): &(usize, &Attempt)| a.written && a.outcome.is_none() && !a.withdrawn;
        attempts.iter().enumerate().filter(out).map(|(number, _)| AttemptId { query, number }).collect()
    }

    /// Asks for a wake that stands by itself.
    pub fn wake_at(&mut self, at: Micros, wake: Wake) -> WakeKey {
        self.wakes_set += 1;
        self.wakes.insert((at, self.wakes_set), wake);
        (at, self.wakes_set)
    }

    /// Asks for a wake that goes when its attempt is settled.
    fn wake_for(&mut self, at: Micros, id: AttemptId, wake: Wake) {
        let key = self.wake_at(at, wake);
        if let Some(a) = self.out_mut(id) {
            a.wakes.push(key);
        }
    }

    /// Takes the earliest wake of this token; false if there is none.
    pub fn take_module_wake(&mut self, token: u64) -> bool {
        let key = self.wakes.iter().find(|(_, w)| **w == Wake::Module(token)).map(|(k, _)| *k);
        key.is_some_and(|k| self.wakes.remove(&k).is_some())
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.wakes.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes what has come due, in order; none of it was asked for during the taking.
    pub fn ripe(&mut self, now: Micros) -> Vec<Wake> {
        let later = self.wakes.split_off(&(now + Micros(1), 0));
        std::mem::replace(&mut self.wakes, later).into_values().collect()
    }
}
