//! The lifecycle of queries and attempts: creates, updates and removes their records. Decisions about them
//! are taken in `policy`.

use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// An attempt that ended, with the properties of its query that later steps need.
pub(crate) struct EndedAttempt {
    pub(crate) engine: EngineId,
    pub(crate) reserved_work: f64,
    pub(crate) cancelled: bool,
    pub(crate) class: usize,
    pub(crate) work_hint: Option<f64>,
    pub(crate) estimated_work: f64,
    /// The query has no final answer yet.
    pub(crate) answer_owed: bool,
    /// The error is attributed to the query, which would fail on any engine.
    pub(crate) query_at_fault: bool,
}

impl Gateway {
    /// Admits a query whose wait for its key is over.
    pub(crate) fn resume_held_query(&mut self, now: Micros, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.held.timers.remove(&token) else { return };
        let is_held = |query: &ActiveQuery| !query.finished && query.attempts.is_empty();
        if self.queries.get(&id).is_some_and(is_held) {
            self.admit(now, id, out);
        }
    }

    pub(crate) fn reservation(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> Reservation {
        Reservation {
            work: query.work,
            slow_start_work: self.mean_work(query.query.class).max(query.work.min(engine.cores)),
            threads: self.class_of(query).threads,
            memory: self.memory_share(query, engine),
            connections_expired: engine.is_idle() && self.connections_expired(engine, now),
        }
    }

    /// Records the outcome of an attempt. Returns None if the attempt is unknown or already has an outcome.
    pub(crate) fn record_outcome(&mut self, now: Micros, end: &AttemptEnd) -> Option<EndedAttempt> {
        let query = self.queries.get_mut(&end.query)?;
        let attempt = query.attempts.get_mut(end.attempt).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(end.outcome);
        query.finished |= end.query_over || end.outcome == Outcome::Served;
        let mut ended = EndedAttempt {
            engine: attempt.engine,
            reserved_work: attempt.reserved_work,
            cancelled: attempt.cancelled,
            class: query.query.class,
            work_hint: query.query.work_hint,
            estimated_work: query.work,
            answer_owed: !query.finished,
            query_at_fault: false,
        };
        let replan_succeeded =
            end.outcome == Outcome::Served && query.attempts.iter().any(|attempt| attempt.bad_plan);
        self.classes[ended.class].replans_succeeded += u32::from(replan_succeeded);
        let may_still_run = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let ordered = self.settings.classes[ended.class].ordered_by_key;
        if let Some(key) = query.query.key.clone().filter(|_| ordered && may_still_run) {
            self.keys.entry(key).or_default().cooldown_until = now + self.settings.key_cooldown;
        }
        // Some queries fail on every engine. Without this check they would eject all engines and use up the
        // retries of other queries. Less effective where one engine fails while many queries fail as well:
        // that engine is then detected late.
        let errors = query.attempts.iter().filter(|attempt| attempt.failed_with_error()).count();
        self.count_query_errors(end.outcome, errors);
        ended.query_at_fault = end.outcome == Outcome::Error && self.queries_cause_errors();
        Some(ended)
    }

    /// Cancels an attempt if it is in flight and the engines support cancellation.
    pub(crate) fn cancel_attempt(
        &mut self,
        id: QueryId,
        attempt: usize,
        reason: CancelReason,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(cancelled) = query.attempts.get_mut(attempt) else { return };
        if self.settings.cancellation && cancelled.outcome.is_none() && !cancelled.cancelled {
            cancelled.cancelled = true;
            cancelled.bad_plan = reason == CancelReason::BadPlan;
            out.push(Action::Cancel { query: id, attempt });
        }
    }

    /// Cancels all attempts of a query that are in flight.
    pub(crate) fn cancel_attempts(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        for attempt in 0..self.queries.get(&id).map_or(0, |query| query.attempts.len()) {
            self.cancel_attempt(id, attempt, CancelReason::QueryOver, out);
        }
        self.remove_if_done(now, id, out);
    }

    /// Removes a query that is finished and has no attempts in flight, and admits the next query of its key.
    pub(crate) fn remove_if_done(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        if !self.queries.get(&id).is_some_and(|query| query.finished && query.in_flight() == 0) {
            return;
        }
        let Some(removed) = self.queries.remove(&id) else { return };
        let ordered = self.class_of(&removed).ordered_by_key;
        let Some(key) = removed.query.key.filter(|_| ordered) else { return };
        let Some(queue) = self.keys.get_mut(&key) else { return };
        queue.waiting.retain(|waiting| *waiting != id);
        match queue.waiting.front().copied() {
            Some(next) if self.queries.get(&next).is_some_and(|query| query.attempts.is_empty()) => {
                self.admit(now, next, out);
            }
            None if queue.cooldown_until <= now => {
                self.keys.remove(&key);
            }
            _ => {}
        }
    }

    /// Forgets the keys of which no query is left and whose cooldown is over.
    pub(crate) fn forget_idle_keys(&mut self, now: Micros) {
        self.keys.retain(|_, queue| !queue.waiting.is_empty() || queue.cooldown_until > now);
    }

    /// The time at which to admit a query again that has to wait for earlier queries of its key. None if it
    /// need not wait.
    pub(crate) fn waits_for_key_until(&self, now: Micros, query: &ActiveQuery) -> Option<Micros> {
        if !self.class_of(query).ordered_by_key || !query.attempts.is_empty() {
            return None;
        }
        let queue = query.query.key.as_ref().and_then(|key| self.keys.get(key))?;
        let deadline = query.query.deadline;
        if queue.waiting.front() != Some(&query.query.id) {
            return Some(deadline);
        }
        (queue.cooldown_until > now).then_some(queue.cooldown_until.min(deadline))
    }

    /// Counts the outcome of an attempt whose query returned errors before.
    pub(crate) fn count_query_errors(&mut self, outcome: Outcome, errors: usize) {
        match outcome {
            Outcome::Served if errors > 0 => self.query_errors.recovered += 1.0,
            Outcome::Error if errors > 1 => self.query_errors.repeated += 1.0,
            _ => {}
        }
    }

    /// Records an update of an attempt and the time at which its engine was last heard.
    pub(crate) fn handle_update(&mut self, now: Micros, id: QueryId, n: usize, update: AttemptUpdate) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(attempt) = query.attempts.get_mut(n) else { return };
        attempt.last_update_at = now;
        if let AttemptUpdate::Progress(progress) = update {
            attempt.progress = progress;
        }
        let (engine, sent_at) = (attempt.engine, attempt.sent_at);
        let class = &self.settings.classes[query.query.class];
        let (work, threads) = (query.work.max(1e-3), class.threads);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.connections.last_heard_at = now;
            self.infer_load(now, update, now - sent_at, work, threads);
        }
    }

    /// Corrects the work estimate of a query whose retry was no faster: the query is expensive, its plan was
    /// not bad. Where this is frequent for a class, its queries are no longer retried for bad plans.
    pub(crate) fn correct_estimate(&mut self, id: QueryId, work: f64) {
        if let Some(query) = self.queries.get_mut(&id) {
            query.work = work;
            query.attempts.iter_mut().for_each(|attempt| attempt.bad_plan = false);
            self.classes[query.query.class].replans_failed += 1;
        }
    }
}
