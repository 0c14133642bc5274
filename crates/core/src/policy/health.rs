//! Health: the review of attempts and engines at each tick, probes, ejection of outliers and backoff from
//! full engines.

use super::{admission::MAX_MEMORY_LOAD, EWMA_WEIGHT, PERIOD, PROBE_ROUND_TOKEN};
use super::{TICKS_PER_PERIOD, TICK_INTERVAL, TICK_TOKEN};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// Probe rounds per period by all gateways together, and their maximum cost in points of the service score.
const PROBE_ROUNDS_PER_PERIOD: f64 = 4.0;
const MAX_PROBE_COST: f64 = 0.01;
/// Time after its start at which the reports of a probe round are shared with the other gateways.
pub(crate) const PROBE_ROUND_DURATION: Micros = Micros(PERIOD.0 / 40);
/// Size of one engine's report in a message, in kilobytes.
const REPORT_SIZE_KB: f64 = 5.0 / 1024.0;
/// Fraction of a run time projected from progress that is relied on. Early progress is inaccurate.
const PROGRESS_DISCOUNT: f64 = 0.6;
/// An attempt whose projected run time is this multiple of the estimate has a bad plan.
const BAD_PLAN_FACTOR: f64 = 7.0;
/// First and longest backoff from a full engine in sixteenths of a period. The second pair applies at low
/// share (see `FleetConditions::low_share`).
const FULL_BACKOFFS: (i64, i64) = (1, 16);
const FULL_BACKOFFS_AT_LOW_SHARE: (i64, i64) = (16, 64);
/// Time within which a restart breaks all connections of an engine.
const RESTART_BREAK_WINDOW: Micros = Micros(PERIOD.0 / 20);
/// Failure rate at which an engine is ejected. The margin allows for rounding.
pub(crate) const EJECTION_RATE: f64 = 0.3;
const EJECTION_MARGIN: f64 = 0.99;
/// Longest single ejection, in periods.
const MAX_EJECTION_PERIODS: u32 = 8;

impl Gateway {
    pub(crate) fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { token: TICK_TOKEN, after: TICK_INTERVAL });
        self.ticks += 1;
        self.estimate_completions();
        let overloaded: Vec<bool> = self.engines.values().map(|e| self.is_overloaded(e, now)).collect();
        for (engine, overloaded) in self.engines.values_mut().zip(overloaded) {
            engine.was_overloaded |= overloaded;
            if !engine.is_idle() {
                self.fleet_load.last_report_at = Some(now);
            }
        }
        self.review_attempts(now, out);
        self.subscribe_if_due(out);
        self.start_probe_round(out);
        if self.ticks.is_multiple_of(TICKS_PER_PERIOD) {
            self.end_period(now);
        }
    }

    fn end_period(&mut self, now: Micros) {
        self.update_work_limits();
        self.decay_failure_rates(now);
        self.update_own_share(now);
        self.selections.mean += EWMA_WEIGHT * (self.selections.this_period - self.selections.mean);
        self.selections.this_period = 0.0;
        self.admission.end_period();
        self.forget_idle_keys(now);
        self.query_errors.recovered *= 1.0 - EWMA_WEIGHT;
        self.query_errors.repeated *= 1.0 - EWMA_WEIGHT;
        let longest = self.settings.retry_budget.map_or(Micros(0), |budget| budget.window);
        self.retry_window.prune_before(now - longest);
        let from = now - self.settings.overload_window;
        self.engines.values_mut().for_each(|engine| engine.slow_start.sends.retain(|(at, _)| *at >= from));
    }

    /// Updates the work limits at the end of a period. At low share a single engine yields too few samples,
    /// so the delays of all overloaded engines are pooled, and a period without samples is not taken for
    /// idle while attempts are in flight.
    fn update_work_limits(&mut self) {
        let (mut delays, mut sampled, mut in_flight) = (0.0, 0.0, 0);
        let low_share = self.conditions.low_share;
        for engine in self.engines.values().filter(|engine| low_share && engine.was_overloaded) {
            delays += engine.work_limit.delay_sum;
            sampled += engine.work_limit.sampled_work;
            in_flight += engine.in_flight.attempts.len();
        }
        for engine in self.engines.values_mut() {
            if sampled > 0.0 {
                (engine.work_limit.delay_sum, engine.work_limit.sampled_work) = (delays, sampled);
                engine.was_overloaded = true;
            }
            engine.work_limit.update(engine.was_overloaded, in_flight > 0);
            engine.was_overloaded = false;
        }
    }

    /// Where load reports come only by probe, a random gateway probes all engines and shares the reports.
    /// Reports stay fresh that way, and their cost is not paid by every gateway. Less effective if messages
    /// are lost.
    fn start_probe_round(&mut self, out: &mut Vec<Action>) {
        let s = &self.settings;
        let (probing_gateways, message_cost) = match s.peer_messages {
            true => (s.gateway_count, s.gateway_count * REPORT_SIZE_KB * s.message_price),
            false => (1.0, 0.0),
        };
        let cost = self.engines_up().count() as f64 * (s.probe_price + message_cost);
        let affordable = MAX_PROBE_COST * self.selections.mean.max(1.0) * probing_gateways / cost.max(1e-9);
        let rounds = PROBE_ROUNDS_PER_PERIOD.min(affordable);
        if !s.probes || !s.reports_by_probe {
            return;
        }
        if self.rng.f64() < rounds / f64::from(TICKS_PER_PERIOD) / probing_gateways {
            out.extend(self.engines_up().map(|engine| Action::Probe(engine.entry.engine)));
            let timer = Action::SetTimer { token: PROBE_ROUND_TOKEN, after: PROBE_ROUND_DURATION };
            out.extend(self.settings.peer_messages.then_some(timer));
        }
    }

    /// Reviews all attempts in flight. An engine that sends no updates hangs: it is ejected and its attempts
    /// are cancelled for retry, as is a single attempt without updates. An attempt with a bad plan is
    /// retried. On an overloaded engine, attempts that would end too late to have value are given up. This
    /// works whatever slows the work; it errs if reported progress is far off.
    fn review_attempts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut hung = Vec::new();
        let mut verdicts = Vec::new();
        for engine in self.engines.values().filter(|engine| !engine.is_idle()) {
            let review = self.review_engine(now, engine);
            hung.extend(review.silent.then_some(engine.entry.engine));
            for (id, attempt) in &engine.in_flight.attempts {
                let verdict = self.review_attempt(now, *id, *attempt, &review);
                verdicts.extend(verdict.map(|verdict| (*id, *attempt, engine.entry.engine, verdict)));
            }
        }
        hung.into_iter().for_each(|id| self.eject_hung(now, id, out));
        verdicts.sort_by_key(|(_, _, _, verdict)| verdict.processing_order());
        for (id, attempt, engine, verdict) in verdicts {
            match verdict {
                AttemptVerdict::Silent { lost } => {
                    if lost {
                        let common = self.common_failure_rate(engine);
                        self.engines.entry(engine).and_modify(|e| e.record_failure(now, EWMA_WEIGHT, common));
                    }
                    self.cancel_attempt(id, attempt, CancelReason::Silent, out);
                }
                AttemptVerdict::BadPlan => self.cancel_attempt(id, attempt, CancelReason::BadPlan, out),
                AttemptVerdict::Expensive { work } => self.correct_estimate(id, work),
                AttemptVerdict::TooLate => self.reject_or_fail(now, id, out),
            }
        }
    }

    fn eject_hung(&mut self, now: Micros, id: EngineId, out: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        if engine.outlier.ejected_until <= now {
            engine.record_failure(now, EJECTION_RATE, 0.0);
            let in_flight = engine.in_flight.attempts.len();
            out.push(Action::Log(format!("engine silent with {in_flight} queries out")));
        }
        engine.outlier.ejected_until = engine.outlier.ejected_until.max(now + PERIOD);
    }

    /// How long an attempt or engine may go without an update.
    fn update_timeout(&self) -> Micros {
        let interval = self.settings.progress_interval.0;
        Micros(if interval == 0 { i64::MAX } else { interval * 3 / 2 + PERIOD.0 / 4 })
    }

    fn review_engine<'a>(&self, now: Micros, engine: &'a Engine) -> EngineReview<'a> {
        let timeout = self.update_timeout();
        let is_silent = |(id, attempt): &(QueryId, usize)| {
            let attempt = self.queries.get(id).and_then(|query| query.attempts.get(*attempt));
            attempt.is_some_and(|attempt| now - attempt.last_update_at > timeout)
        };
        let silent = now - engine.connections.last_heard_at > timeout
            && engine.in_flight.attempts.iter().any(is_silent);
        let overloaded = self.is_overloaded(engine, now);
        let paging =
            self.settings.pages_on_memory_shortage && self.memory_load(engine, now) > MAX_MEMORY_LOAD;
        EngineReview { engine, silent, overloaded, paging }
    }

    fn review_attempt(
        &self,
        now: Micros,
        id: QueryId,
        n: usize,
        review: &EngineReview,
    ) -> Option<AttemptVerdict> {
        let query = self.queries.get(&id).filter(|query| !query.finished)?;
        let attempt = query.attempts.get(n).filter(|attempt| !attempt.cancelled)?;
        let class = self.class_of(query);
        let slowdown = review.engine.slowdown.mean.max(1.0);
        let estimated = query.work / class.threads;
        let elapsed = (now - attempt.sent_at).as_secs_f64();
        let projected_time = if attempt.progress > 0.0 { elapsed / attempt.progress } else { 0.0 };
        let run_time = estimated.max(projected_time / slowdown);
        let bad_plan = run_time > BAD_PLAN_FACTOR * estimated;
        let estimates = &self.classes[query.query.class];
        let may_retry = self.may_retry(now, query);
        let may_replan = may_retry && estimates.replans_failed <= estimates.replans_succeeded + 1;
        // Detects a lost answer: the engine keeps sending updates of other attempts, but none of this
        // one.
        let lost = review.engine.connections.last_heard_at - attempt.last_update_at > self.update_timeout();
        let deadline = query.query.deadline;
        if (review.silent || lost) && may_retry {
            return Some(AttemptVerdict::Silent { lost: !review.silent });
        }
        if bad_plan && query.attempts.iter().any(|attempt| attempt.bad_plan) {
            return Some(AttemptVerdict::Expensive { work: run_time * class.threads });
        }
        if bad_plan && may_replan && now + Micros::from_secs_f64(estimated * slowdown) < deadline {
            return Some(AttemptVerdict::BadPlan);
        }
        let objective_stretch = Micros::from_secs_f64(class.latency_objective_stretch * run_time);
        let objective_ends_at = query.attempts[0].sent_at + class.latency_objective + objective_stretch;
        // On a paging engine, late work slows down all other work.
        let late_has_value = class.late_value_fraction > 0.0 && !review.paging;
        let value_ends_at = if late_has_value { deadline } else { objective_ends_at.min(deadline) };
        let ends_at = now.max(attempt.sent_at + Micros::from_secs_f64(projected_time * PROGRESS_DISCOUNT));
        let too_late = self.settings.cancellation && review.overloaded && ends_at > value_ends_at;
        too_late.then_some(AttemptVerdict::TooLate)
    }

    /// The mean failure rate of all other engines that are up.
    pub(crate) fn common_failure_rate(&self, except: EngineId) -> f64 {
        let others = self.engines_up().filter(|engine| engine.entry.engine != except);
        let sum = |(sum, count): (f64, f64), e: &Engine| (sum + e.outlier.failure_rate, count + 1.0);
        let (sum, count) = others.fold((0.0, 0.0), sum);
        sum / f64::max(count, 1.0)
    }

    /// At low share there are few samples: failure rates decay over time, and a half-open engine that had no
    /// failure for two periods is no longer half-open.
    pub(crate) fn decay_failure_rates(&mut self, now: Micros) {
        if !self.conditions.low_share {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.outlier.failure_rate *= 1.0 - EWMA_WEIGHT;
            engine.outlier.half_open &= now - engine.outlier.ejected_until < PERIOD + PERIOD;
        }
    }
}

impl Engine {
    pub(crate) fn record_success(&mut self, now: Micros) {
        self.connections.last_heard_at = now;
        self.outlier.failure_rate *= 1.0 - EWMA_WEIGHT;
        (self.full_backoff.factor, self.connection_breaks.consecutive) = (1, 0);
        if self.outlier.half_open && self.outlier.ejected_until <= now {
            (self.outlier.half_open, self.outlier.ejection_periods) = (false, 1);
        }
    }

    /// Starts a backoff, which doubles with each new rejection. A full engine answers at once and so looks
    /// free; without backoff it would attract ever more queries. Too cautious if it was full only briefly.
    pub(crate) fn record_full(&mut self, now: Micros, low_share: bool) {
        if self.full_backoff.until <= now {
            let (first, longest) = if low_share { FULL_BACKOFFS_AT_LOW_SHARE } else { FULL_BACKOFFS };
            self.full_backoff.until = now + Micros(PERIOD.0 / 16 * first * self.full_backoff.factor);
            self.full_backoff.factor = (self.full_backoff.factor * 2).min(longest / first);
        }
    }

    /// Records that the process of the engine died. The restarted process is in slow start, and the
    /// endpoint list reports that late.
    pub(crate) fn record_restart(&mut self, now: Micros) {
        self.record_failure(now, EJECTION_RATE, 0.0);
        self.slow_start.started_at = Some(now);
        self.connections.peak_open = 0;
        self.recent_tables.clear();
    }

    /// Records a broken connection. A restart breaks all connections of a gateway at once; a single broken
    /// connection does not mean that the engine died.
    pub(crate) fn record_break(&mut self, now: Micros, common: f64) {
        let is_consecutive = now - self.connection_breaks.last_at <= RESTART_BREAK_WINDOW;
        self.connection_breaks.consecutive =
            if is_consecutive { self.connection_breaks.consecutive + 1 } else { 1 };
        self.connection_breaks.last_at = now;
        self.connections.peak_open = self.connections.peak_open.saturating_sub(1);
        self.record_failure(now, EWMA_WEIGHT, common);
        if self.is_idle() && self.connection_breaks.consecutive > 1 {
            self.record_restart(now);
        }
    }

    /// Records a failure. Above the threshold the engine is ejected, each time for longer, and then
    /// half-open. The threshold is raised by the mean rate of the other engines, so that failures common to
    /// all (such as a network that breaks connections) eject none. It reacts too late where most engines
    /// fail, but not all.
    pub(crate) fn record_failure(&mut self, now: Micros, weight: f64, common: f64) {
        let outlier = &mut self.outlier;
        outlier.failure_rate += weight * (1.0 - outlier.failure_rate);
        if outlier.failure_rate >= EJECTION_RATE * EJECTION_MARGIN + common || outlier.half_open {
            if outlier.ejected_until <= now {
                outlier.ejected_until = now + Micros(PERIOD.0 * i64::from(outlier.ejection_periods));
                outlier.ejection_periods = (outlier.ejection_periods * 2).min(MAX_EJECTION_PERIODS);
            }
            outlier.half_open = true;
        }
    }
}
