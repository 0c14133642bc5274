//! Sending: every rule about what may go to which engine is checked here.

use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// The highest priority, and the ratio of value densities between neighbouring ones.
const HIGHEST_PRIORITY: f64 = 3.0;
const PRIORITY_STEP: f64 = 4.0;

impl Gateway {
    /// Whether the rules let this query go to this engine now.
    pub(crate) fn may_send(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        // Rule 1: nothing after the end. Rule 3: drained and gone engines get nothing, grace or not.
        if query.finished || now >= query.query.deadline || !engine.is_up() {
            return false;
        }
        // Rule 6: placement.
        let class = self.class_of(query);
        let allows = |list: &[usize], place: usize| list.is_empty() || list.contains(&place);
        let placed = allows(&class.zones, engine.entry.zone) && allows(&class.kinds, engine.entry.kind);
        if class.no_engine_permitted || !placed {
            return false;
        }
        // Rule 2: what may run twice, and hedged requests.
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
        // Rule 4: slow start.
        self.fits_slow_start(now, query, engine)
    }

    /// Whether a query may run at an engine although these attempts of it were made.
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

    /// Whether an attempt that was sent may still be written: it may have waited for a connection.
    pub fn may_still_write(&self, now: Micros, id: QueryId, attempt: usize) -> bool {
        let Some(query) = self.queries.get(&id) else { return true };
        let Some(this) = query.attempts.get(attempt) else { return true };
        let entry = self.engines.get(&this.engine).map(|engine| &engine.entry);
        entry.is_none_or(|entry| self.may_run_again(now, query, &query.attempts[..attempt], entry))
    }

    /// The only way to send. False if the rules forbid it.
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

    /// Without progress reports a hang shows only in time: half the time left, then another engine. Not
    /// where nothing can be cancelled: what timed out runs on beside its retry, and engines jam.
    fn attempt_timeout(&self, now: Micros, query: &ActiveQuery) -> Micros {
        let s = &self.settings;
        let retryable = self.class_of(query).semantics == ExecutionSemantics::Idempotent;
        let detects_hang_by_timeout =
            s.cancellation && s.progress_interval.0 == 0 && retryable && self.attempts_left(query) > 1;
        Micros(if detects_hang_by_timeout { (query.query.deadline - now).0 / 2 } else { 0 })
    }

    /// Priority by value for each thread-second: short work first, it takes little from the long.
    fn priority_of(&self, query: &ActiveQuery) -> u8 {
        let all = ClassEstimates::total(&self.settings.classes, &self.classes);
        let density = self.class_of(query).value / query.work.max(1e-3);
        let steps = (density * all.work / all.value.max(1e-9)).log(PRIORITY_STEP).floor();
        (HIGHEST_PRIORITY + steps).clamp(0.0, HIGHEST_PRIORITY) as u8
    }
}
