//! Sending: checks every rule about which query may be sent to which engine.

use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// The highest priority, and the ratio of value densities (value per thread-second) between two
/// neighbouring priorities.
const HIGHEST_PRIORITY: f64 = 3.0;
const PRIORITY_STEP: f64 = 4.0;

impl Gateway {
    /// Whether all rules allow sending this query to this engine now.
    pub(crate) fn may_send(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        // Rule 1: nothing is sent after the final answer or the deadline.
        // Rule 3: an engine that drains or is removed gets no new queries, even during its drain grace
        // period.
        if query.finished || now >= query.query.deadline || !engine.is_up() {
            return false;
        }
        // Rule 6: a query stays in the zones and on the kinds of machine that its class permits.
        let class = self.class_of(query);
        let allows = |list: &[usize], place: usize| list.is_empty() || list.contains(&place);
        let placed = allows(&class.zones, engine.entry.zone) && allows(&class.kinds, engine.entry.kind);
        if class.no_engine_permitted || !placed {
            return false;
        }
        // Rule 2: execution semantics, maximum attempts and hedged requests.
        let hedges = self.settings.hedged_requests && class.semantics == ExecutionSemantics::Idempotent;
        if self.attempts_left(query) == 0 || (query.in_flight() > 0 && !hedges) {
            return false;
        }
        if !self.may_run_again(now, query, &query.attempts, &engine.entry) {
            return false;
        }
        // Rule 5: order by key. Rule 7: the retry budget.
        let is_retry = !query.attempts.is_empty();
        if self.waits_for_key_until(now, query).is_some() || (is_retry && !self.retry_budget_left(now)) {
            return false;
        }
        // Rule 4: the slow-start budget.
        self.fits_slow_start(now, query, engine)
    }

    /// Whether a query may run on an engine after these earlier attempts.
    fn may_run_again(&self, now: Micros, query: &ActiveQuery, earlier: &[Attempt], to: &EngineEntry) -> bool {
        let class = self.class_of(query);
        let Some(ran) = earlier.iter().find(|attempt| attempt.may_have_run()) else { return true };
        let within_window = now - ran.sent_at < class.deduplication_window;
        let ran_on = self.engines.get(&ran.engine).map(|engine| &engine.entry).filter(|_| within_window);
        use {DeduplicationScope::*, ExecutionSemantics::*};
        match (class.semantics, class.deduplication_scope) {
            (Idempotent, _) => true,
            (AtMostOnce, _) => false,
            (IdempotencyKey, All) => within_window,
            (IdempotencyKey, Zone) => ran_on.is_some_and(|ran_on| ran_on.zone == to.zone),
            (IdempotencyKey, Cell) => ran_on.is_some_and(|ran_on| ran_on.cell == to.cell),
        }
    }

    /// Whether an attempt that was sent may still be written to its engine. It may have waited for a
    /// connection for so long that a repeated run is no longer deduplicated.
    pub fn may_still_write(&self, now: Micros, id: QueryId, attempt: usize) -> bool {
        let Some(query) = self.queries.get(&id) else { return true };
        let Some(this) = query.attempts.get(attempt) else { return true };
        let entry = self.engines.get(&this.engine).map(|engine| &engine.entry);
        entry.is_none_or(|entry| self.may_run_again(now, query, &query.attempts[..attempt], entry))
    }

    /// Sends an attempt of a query. All attempts are sent by this function. Returns false if a rule
    /// forbids it.
    pub(crate) fn send(&mut self, now: Micros, id: QueryId, to: EngineId, out: &mut Vec<Action>) -> bool {
        let (Some(query), Some(engine)) = (self.queries.get(&id), self.engines.get(&to)) else {
            return false;
        };
        if !self.may_send(now, query, engine) {
            return false;
        }
        if self.settings.priorities {
            out.push(Action::SetOptions { query: id, grant_mb: 0.0, priority: self.priority_of(query) });
        }
        out.push(Action::Send { query: id, engine: to, timeout: self.attempt_timeout(now, query) });
        let reservation = self.reservation(now, query, engine);
        let (Some(query), Some(engine)) = (self.queries.get_mut(&id), self.engines.get_mut(&to)) else {
            return false;
        };
        if !query.attempts.is_empty() {
            self.retry_window.retries.push_back(now);
        }
        engine.in_flight.attempts.insert((id, query.attempts.len()));
        query.attempts.push(Attempt::new(to, now, reservation.work));
        engine.reserve(now, &reservation);
        engine.remember_tables(query.query.tables);
        true
    }

    /// The timeout of an attempt; zero means the client's deadline. Without progress updates only a
    /// timeout reveals a hang, so the attempt gets half of the remaining time and the rest is left for a
    /// retry. This does not apply where attempts can't be cancelled: the timed-out attempt would keep
    /// running beside its retry and overload the engines.
    fn attempt_timeout(&self, now: Micros, query: &ActiveQuery) -> Micros {
        let s = &self.settings;
        let retryable = self.class_of(query).semantics == ExecutionSemantics::Idempotent;
        let detects_hang_by_timeout =
            s.cancellation && s.progress_interval.0 == 0 && retryable && self.attempts_left(query) > 1;
        Micros(if detects_hang_by_timeout { (query.query.deadline - now).0 / 2 } else { 0 })
    }

    /// Priority by value per thread-second. Short queries come first, since they delay long ones very
    /// little.
    fn priority_of(&self, query: &ActiveQuery) -> u8 {
        let all = ClassEstimates::total(&self.settings.classes, &self.classes);
        let density = self.class_of(query).value / query.work.max(1e-3);
        let steps = (density * all.work / all.value.max(1e-9)).log(PRIORITY_STEP).floor();
        (HIGHEST_PRIORITY + steps).clamp(0.0, HIGHEST_PRIORITY) as u8
    }
}
