//! Episodes in which executors leave while their list can't be asked for or heard: each overlaps what hides the list with a drain or a
//! removal at the time that matters.

use super::{draw_controllers, Fault, PlannedFault, SignalSeries, MAX_BEHIND_AFTER_RELOAD_MS};
use rand::{Rng, RngExt as _};

/// For how long the name service stays as an episode has it, in microseconds.
const SERVICE_SPAN_US: i64 = 5_000_000;
/// How long a fault lasts that only has to begin, in microseconds.
const MOMENT_US: i64 = 100_000;

/// What hides the list.
enum Hidden {
    /// The processes are suspended, and the name service takes a while to answer afterwards.
    Suspended,
    /// An answer is on its way across a configuration, whose name service lags behind.
    Reloaded,
    /// Configurations follow each other faster than answers come.
    ReloadedInSeries,
    /// Answers are lost.
    Lost,
}

/// Draws the faults of an episode that begins at a time.
pub(super) fn draw(from: i64, controllers: usize, rng: &mut impl Rng) -> Vec<PlannedFault> {
    let hidden = match rng.random_range(0..4) {
        0 => Hidden::Suspended,
        1 => Hidden::Reloaded,
        2 => Hidden::ReloadedInSeries,
        _ => Hidden::Lost,
    };
    let concerned = draw_controllers(controllers, rng);
    let planned = |fault, from, span, executor_choice| PlannedFault {
        fault,
        controllers: concerned.clone(),
        executor_choice,
        from,
        until: from + span,
    };
    let leaving = match rng.random_bool(0.5) {
        true => Fault::ExecutorDrain,
        false => Fault::ExecutorUnlist,
    };
    let leaves_at = from + rng.random_range(100_000..400_000);
    let executor_choice = rng.random_range(0..64);
    let mut faults = vec![planned(leaving, leaves_at, MOMENT_US, executor_choice)];
    match hidden {
        Hidden::Suspended => {
            let span = rng.random_range(2_700_000..3_200_000);
            let answer_ms = rng.random_range(50..350);
            faults.push(planned(Fault::Suspend, from, span, 0));
            let slow = Fault::NameServiceSlow(answer_ms);
            faults.push(planned(slow, from + span / 2, SERVICE_SPAN_US, 0));
        }
        Hidden::Reloaded => {
            let answer_ms = rng.random_range(200..400);
            let reload_at = leaves_at + rng.random_range(250_000..350_000);
            let reload = Fault::Reload(rng.random_range(2_500..MAX_BEHIND_AFTER_RELOAD_MS));
            let slow = Fault::NameServiceSlow(answer_ms);
            faults.push(planned(slow, from, SERVICE_SPAN_US, 0));
            faults.push(planned(reload, reload_at, MOMENT_US, 0));
        }
        Hidden::ReloadedInSeries => {
            let series = SignalSeries::Reloads(rng.random_range(20..40));
            let slow = Fault::NameServiceSlow(rng.random_range(105..150));
            faults.push(planned(slow, from, SERVICE_SPAN_US, 0));
            faults.push(planned(Fault::Signals(series), from, MOMENT_US, 0));
        }
        Hidden::Lost => {
            // All of them: as many in a row as can be.
            let per_mille = match rng.random_bool(0.5) {
                true => 1_000,
                false => rng.random_range(300..600),
            };
            let lossy = Fault::NameServiceLossy(per_mille);
            faults.push(planned(lossy, from, SERVICE_SPAN_US, 0));
        }
    }
    faults
}
