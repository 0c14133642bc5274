//! Episodes in which an executor drains or is taken off the list while controllers cannot learn of
//! it, because they cannot query the name service or get no current answer.

use super::{draw_controllers, Fault, PlannedFault, SignalSeries, MAX_STALENESS_AFTER_RELOAD_MS};
use rand::{Rng, RngExt as _};

/// How long the name service is slow or loses answers in an episode, in microseconds.
const NAME_SERVICE_SPAN_US: i64 = 5_000_000;
/// The span of a fault that takes effect only when it begins, in microseconds.
const INSTANT_SPAN_US: i64 = 100_000;

/// Why controllers do not get the current list.
enum Cause {
    /// The processes are suspended, and the name service answers slowly after they are resumed.
    Suspended,
    /// A reload happens while an answer is on its way, and selects a name service address that
    /// sends an old list.
    Reloaded,
    /// Reloads follow each other faster than answers arrive.
    ReloadedInSeries,
    /// Answers are lost.
    Lost,
}

/// Draws the faults of an episode that begins at `from`.
pub(super) fn draw(from: i64, controllers: usize, rng: &mut impl Rng) -> Vec<PlannedFault> {
    let cause = match rng.random_range(0..4) {
        0 => Cause::Suspended,
        1 => Cause::Reloaded,
        2 => Cause::ReloadedInSeries,
        _ => Cause::Lost,
    };
    let affected = draw_controllers(controllers, rng);
    let planned = |fault, from, span, executor_choice| PlannedFault {
        fault,
        controllers: affected.clone(),
        executor_choice,
        from,
        until: from + span,
    };
    let departure = match rng.random_bool(0.5) {
        true => Fault::ExecutorDrain,
        false => Fault::ExecutorUnlist,
    };
    let departs_at = from + rng.random_range(100_000..400_000);
    let executor_choice = rng.random_range(0..64);
    let mut faults = vec![planned(
        departure,
        departs_at,
        INSTANT_SPAN_US,
        executor_choice,
    )];
    match cause {
        Cause::Suspended => {
            let span = rng.random_range(2_700_000..3_200_000);
            let answer_ms = rng.random_range(50..350);
            faults.push(planned(Fault::Suspend, from, span, 0));
            let slow = Fault::NameServiceSlow(answer_ms);
            faults.push(planned(slow, from + span / 2, NAME_SERVICE_SPAN_US, 0));
        }
        Cause::Reloaded => {
            let answer_ms = rng.random_range(200..400);
            let reload_at = departs_at + rng.random_range(250_000..350_000);
            let reload = Fault::Reload(rng.random_range(2_500..MAX_STALENESS_AFTER_RELOAD_MS));
            let slow = Fault::NameServiceSlow(answer_ms);
            faults.push(planned(slow, from, NAME_SERVICE_SPAN_US, 0));
            faults.push(planned(reload, reload_at, INSTANT_SPAN_US, 0));
        }
        Cause::ReloadedInSeries => {
            let series = SignalSeries::Reloads(rng.random_range(20..40));
            let slow = Fault::NameServiceSlow(rng.random_range(105..150));
            faults.push(planned(slow, from, NAME_SERVICE_SPAN_US, 0));
            faults.push(planned(Fault::Signals(series), from, INSTANT_SPAN_US, 0));
        }
        Cause::Lost => {
            // At 1000 all answers are lost, up to the largest number of consecutive losses.
            let per_mille = match rng.random_bool(0.5) {
                true => 1_000,
                false => rng.random_range(300..600),
            };
            let lossy = Fault::NameServiceLossy(per_mille);
            faults.push(planned(lossy, from, NAME_SERVICE_SPAN_US, 0));
        }
    }
    faults
}
