//! Retries and the retry budget, the handling of ended attempts, and the final answer to queries that
//! are given up.

use super::{fuzzy::TIMEOUT_DELAY, EWMA_WEIGHT, PERIOD};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::lifecycle::EndedAttempt;
use crate::state::*;

/// Errors are attributed to the queries themselves once recent errors that repeated on another engine
/// outnumber those that another engine recovered by more than this.
const REPEATED_ERRORS_MARGIN: f64 = 2.0;

impl Gateway {
    /// Whether a query may be sent again although an earlier attempt may have run.
    pub(crate) fn may_retry(&self, now: Micros, query: &ActiveQuery) -> bool {
        let idempotent = self.class_of(query).semantics == ExecutionSemantics::Idempotent;
        self.attempts_left(query) > 0 && idempotent && self.retry_budget_left(now)
    }

    pub(crate) fn attempts_left(&self, query: &ActiveQuery) -> usize {
        match self.settings.max_attempts {
            0 => usize::MAX,
            max => max.saturating_sub(query.attempts.len()),
        }
    }

    /// Whether the retry budget allows another retry.
    pub(crate) fn retry_budget_left(&self, now: Micros) -> bool {
        self.settings.retry_budget.is_none_or(|budget| {
            let (arrivals, retries) = self.retry_window.since(now - budget.window);
            retries + 1.0 <= budget.guaranteed + budget.fraction * arrivals
        })
    }

    /// Whether recent errors are caused by queries: their retries on other engines failed as well.
    pub(crate) fn queries_cause_errors(&self) -> bool {
        self.query_errors.repeated > self.query_errors.recovered + REPEATED_ERRORS_MARGIN
    }

    pub(crate) fn handle_attempt_end(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(ended) = self.record_outcome(now, &end) else { return };
        let threads = self.settings.classes[ended.class].threads;
        let work_done = self.work_done(now, &end, ended.engine, threads);
        self.update_engine(now, &end, &ended);
        if let Some(work) = work_done.filter(|_| end.outcome == Outcome::Served) {
            self.classes[ended.class].learn(ended.work_hint, work);
        }
        let nothing_in_flight = self.queries.get(&end.query).is_some_and(|query| query.in_flight() == 0);
        if ended.answer_owed && nothing_in_flight {
            if ended.query_at_fault {
                self.reject_or_fail(now, end.query, out);
            } else {
                self.admit(now, end.query, out);
            }
        }
        self.remove_if_done(now, end.query, out);
    }

    /// Releases the reservation of an ended attempt and records its outcome for the engine.
    fn update_engine(&mut self, now: Micros, end: &AttemptEnd, ended: &EndedAttempt) {
        let class = &self.settings.classes[ended.class];
        let served = end.outcome == Outcome::Served;
        let common = if served { 0.0 } else { self.common_failure_rate(ended.engine) };
        let Some(engine) = self.engines.get_mut(&ended.engine) else { return };
        engine.release_reservation((end.query, end.attempt), ended.reserved_work, class.threads);
        self.fleet_load.record_report(now, end.report, engine, EWMA_WEIGHT);
        match end.outcome {
            Outcome::Served => {
                let objective = class.latency_objective.as_secs_f64().max(1e-3);
                engine.work_limit.record_delay(end.elapsed.as_secs_f64() / objective, ended.reserved_work);
                let slowdown = end.elapsed.as_secs_f64() * class.threads / ended.estimated_work.max(1e-3);
                if !self.settings.load_reports {
                    self.fleet_load.infer_from_slowdown(now, slowdown);
                }
                engine.slowdown.record_run(slowdown);
                engine.record_success(now);
            }
            Outcome::TimedOut if !ended.cancelled => {
                engine.work_limit.record_delay(TIMEOUT_DELAY, ended.reserved_work);
                engine.record_failure(now, EWMA_WEIGHT, common);
            }
            Outcome::Cancelled if ended.cancelled => {
                engine.work_limit.record_delay(TIMEOUT_DELAY, ended.reserved_work)
            }
            Outcome::Error if !ended.query_at_fault => engine.record_failure(now, EWMA_WEIGHT, common),
            Outcome::ConnectFailed => engine.record_restart(now),
            // A dead process refuses connections, so a late connection does not mean that the engine
            // restarted.
            Outcome::ConnectTimedOut => engine.record_failure(now, EWMA_WEIGHT, common),
            Outcome::Reset => engine.record_break(now, common),
            Outcome::Full => engine.record_full(now, self.conditions.low_share),
            _ => {}
        }
    }

    /// Sends the final answer to a query that is given up: a rejection if the client may safely retry
    /// it, else a failure. Cancels its attempts in flight.
    pub(crate) fn reject_or_fail(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        let queries_cause_errors = self.queries_cause_errors();
        let Some(query) = self.queries.get_mut(&id).filter(|query| !query.finished) else { return };
        query.finished = true;
        let class = &self.settings.classes[query.query.class];
        let deduplicated = class.semantics == ExecutionSemantics::IdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        let idempotent = class.semantics == ExecutionSemantics::Idempotent;
        let query_at_fault =
            query.attempts.last().is_some_and(Attempt::failed_with_error) && queries_cause_errors;
        let safe_to_retry = idempotent || deduplicated || !query.may_have_run();
        out.push(if safe_to_retry && !query_at_fault {
            self.admission.rejections += 1.0;
            Action::Reject { query: id, retry_after: self.retry_after() }
        } else {
            Action::Fail { query: id }
        });
        self.cancel_attempts(now, id, out);
    }

    /// Advice on when to retry. It grows with the fraction of queries that are rejected, up to one
    /// period.
    fn retry_after(&self) -> Micros {
        let rejected = self.admission.rejections / self.admission.arrivals.max(1.0);
        let fraction = self.admission.last_rejected_fraction.max(rejected).min(1.0);
        Micros::from_secs_f64(fraction * PERIOD.as_secs_f64()).min(self.settings.max_retry_after)
    }
}
