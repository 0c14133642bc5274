//! Faults that are planted for a judge to find: what must not be sent is sent.

use crate::effect_queue::EffectQueue;
use crate::engine_sessions::Job;
use crate::engines::Engines;
use crate::fault_injection::FaultInjection;
use crate::in_flight::InFlightQueries;
use wheelfield::interface::EngineId;
use wheelfield_driver::AttemptId;
use wheelfield_pg::front;

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
        FaultInjection::Resend if once => 1,
        FaultInjection::Budget if !once => 2,
        FaultInjection::Drained => 1,
        _ => return 0,
    };
    let others: Vec<EngineId> = engines
        .pools
        .iter()
        .filter(|(e, p)| if plant == FaultInjection::Drained { !p.up } else { p.up && *e != engine })
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
