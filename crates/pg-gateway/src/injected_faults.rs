//! Implementation of the injected faults of the dispatcher.

use crate::dispatcher::Dispatcher;
use crate::effect_queue::EffectQueue;
use crate::engine_sessions::Job;
use crate::engines::Engines;
use crate::fault_injection::FaultInjection;
use crate::in_flight::InFlightQueries;
use wheelfield::interface::{EngineId, ExecutionSemantics, QueryId};
use wheelfield_driver::AttemptId;
use wheelfield_pg::frontend_messages;
use wheelfield_sans_io::ConnId;

/// Sends a unit to further engines that must not receive it, when an attempt of it starts. Returns how many
/// copies were sent.
pub(crate) fn send_extra_attempts(
    fault: FaultInjection,
    at_most_once: bool,
    (attempt, engine): (AttemptId, EngineId),
    queries: &InFlightQueries,
    engines: &mut Engines,
    out: &mut EffectQueue,
) -> u64 {
    let extra_count = match fault {
        FaultInjection::DuplicateExecution if at_most_once => 1,
        FaultInjection::ExceedRetryBudget if !at_most_once => 2,
        FaultInjection::SendToDraining => 1,
        _ => return 0,
    };
    let others: Vec<EngineId> = engines
        .pools
        .iter()
        .filter(|(id, pool)| {
            if fault == FaultInjection::SendToDraining {
                !pool.is_up
            } else {
                pool.is_up && *id != engine
            }
        })
        .map(|(id, _)| id)
        .take(extra_count)
        .collect();
    let mut sent = 0;
    for other in others {
        let Some(id) = engines.pools.get_mut(other).and_then(|pool| pool.idle.pop()) else {
            engines.open_session(other, out);
            continue;
        };
        let Some(in_flight) = queries.get(attempt.query) else { return sent };
        // A batch has no query text that could be sent again.
        if let Ok(text) = frontend_messages::query_text(&in_flight.unit.frames) {
            engines.sessions.write_statement(id, Job::Discarded, text, out);
            sent += 1;
        }
    }
    sent
}

impl Dispatcher {
    pub fn inject_extra_attempts(&mut self, attempt: AttemptId, engine: EngineId) {
        let (Some(fault), Some(in_flight)) = (self.fault, self.queries.get(attempt.query)) else { return };
        let at_most_once =
            self.config.settings.classes[in_flight.class].semantics == ExecutionSemantics::AtMostOnce;
        let attempt = (attempt, engine);
        self.faults_injected += send_extra_attempts(
            fault,
            at_most_once,
            attempt,
            &self.queries,
            &mut self.engines,
            &mut self.out,
        );
    }

    /// The query that a cancel request ends instead of its target.
    pub fn wrong_cancel_target(&mut self, query: QueryId) -> Option<(ConnId, QueryId)> {
        let other = self
            .should_inject(FaultInjection::CancelOtherQuery, 1)
            .then(|| self.queries.other_than(query))
            .flatten()?;
        Some((self.queries.get(other)?.client, other))
    }

    /// The query whose text is sent instead of that of `query`.
    pub fn swapped_query(&mut self, query: QueryId) -> Option<QueryId> {
        self.should_inject(FaultInjection::SwapQueryText, 20)
            .then(|| self.queries.other_than(query))
            .flatten()
    }

    /// Whether to inject a fault now, which happens once in every `one_in` opportunities.
    pub fn should_inject(&mut self, fault: FaultInjection, one_in: u64) -> bool {
        if self.fault != Some(fault) {
            return false;
        }
        self.faults_injected += 1;
        self.faults_injected.is_multiple_of(one_in)
    }
}
