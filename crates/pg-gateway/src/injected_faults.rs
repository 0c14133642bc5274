//! Faults that are planted for a judge to find: what must not be sent is sent.

use crate::dispatcher::Dispatcher;
use crate::effect_queue::EffectQueue;
use crate::engine_sessions::Job;
use crate::engines::Engines;
use crate::fault_injection::FaultInjection;
use crate::in_flight::InFlightQueries;
use wheelfield::interface::{EngineId, ExecutionSemantics, QueryId};
use wheelfield_driver::AttemptId;
use wheelfield_pg::front;
use wheelfield_sans_io::ConnId;

/// Sends a unit to engines that should not have it, as an attempt of it starts. How often it did.
pub(crate) fn send_more(
    plant: FaultInjection,
    once: bool,
    (attempt, engine): (AttemptId, EngineId),
    units: &InFlightQueries,
    engines: &mut Engines,
    out: &mut EffectQueue,
) -> u64 {
    let wanted = match plant {
        FaultInjection::DuplicateExecution if once => 1,
        FaultInjection::ExceedRetryBudget if !once => 2,
        FaultInjection::SendToDraining => 1,
        _ => return 0,
    };
    let others: Vec<EngineId> = engines
        .pools
        .iter()
        .filter(|(e, p)| if plant == FaultInjection::SendToDraining { !p.up } else { p.up && *e != engine })
        .map(|(e, _)| e)
        .take(wanted)
        .collect();
    let mut sent = 0;
    for other in others {
        let Some(id) = engines.pools.get_mut(other).and_then(|p| p.idle.pop()) else {
            engines.open(other, out);
            continue;
        };
        let Some(unit) = units.get(attempt.query) else { return sent };
        // A batch has no text of its own to be sent a second time.
        if let Ok(text) = front::query_text(&unit.unit.frames) {
            engines.sessions.put_own(id, Job::Aside, text, out);
            sent += 1;
        }
    }
    sent
}

impl Dispatcher {
    pub fn plant_at(&mut self, attempt: AttemptId, engine: EngineId) {
        let (Some(plant), Some(unit)) = (self.plant, self.units.get(attempt.query)) else { return };
        let once = self.config.settings.classes[unit.class].semantics == ExecutionSemantics::AtMostOnce;
        let of = (attempt, engine);
        self.planted += send_more(plant, once, of, &self.units, &mut self.engines, &mut self.out);
    }

    /// Whose query a cancel ends in place of the one that was meant.
    pub fn stranger(&mut self, query: QueryId) -> Option<(ConnId, QueryId)> {
        let other =
            self.planted(FaultInjection::CancelOtherQuery, 1).then(|| self.units.another(query)).flatten()?;
        Some((self.units.get(other)?.client, other))
    }

    /// Whose text is sent in place of a query's own.
    pub fn swapped(&mut self, query: QueryId) -> Option<QueryId> {
        self.planted(FaultInjection::SwapQueryText, 20).then(|| self.units.another(query)).flatten()
    }

    /// Whether a fault strikes now, as one time in so many.
    pub fn planted(&mut self, plant: FaultInjection, of: u64) -> bool {
        if self.plant != Some(plant) {
            return false;
        }
        self.planted += 1;
        self.planted.is_multiple_of(of)
    }
}
