//! Long outages of the discovery of executors, in each of which an executor leaves: the name service
//! is silent, fails, or sends lists with wrong numbers, or the controllers cannot send queries or
//! read answers.

use super::{draw_controllers, Fault, PlannedFault, INITIAL_CALM_US};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use wheelfield_fault_shim::{Call, Errno};

/// Time from the beginning of one outage to the beginning of the next, in microseconds.
const OUTAGE_INTERVAL_US: i64 = 25_000_000;
/// The longest outages, in microseconds.
const MAX_SILENCE_US: i64 = 20_000_000;
const MAX_CALL_FAILURE_US: i64 = 10_000_000;
const MAX_OTHER_OUTAGE_US: i64 = 8_000_000;
/// The shortest outage, in microseconds.
const MIN_OUTAGE_US: i64 = 3_000_000;
/// The span of a departure, which takes effect when it begins, in microseconds.
const INSTANT_SPAN_US: i64 = 100_000;
/// Distinguishes the random numbers of the outages from those of the other faults.
const STREAM: u64 = 0x6f75_7461_6765_7300;

/// Draws the outages of a run whose faults end at `end`, and the executors that leave in them.
pub(super) fn draw(seed: u64, end: i64, controllers: usize) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
    let mut faults = Vec::new();
    let mut from = INITIAL_CALM_US + rng.random_range(0..4_000_000);
    while from + MIN_OUTAGE_US < end {
        faults.extend(draw_outage(from, end, controllers, &mut rng));
        from += OUTAGE_INTERVAL_US;
    }
    faults
}

fn draw_outage(from: i64, end: i64, controllers: usize, rng: &mut impl Rng) -> Vec<PlannedFault> {
    let (fault, longest) = draw_cause(rng);
    let until = (from + rng.random_range(MIN_OUTAGE_US..longest)).min(end);
    let affected = draw_controllers(controllers, rng);
    let planned = |fault, from, until, executor_choice| PlannedFault {
        fault,
        controllers: affected.clone(),
        executor_choice,
        from,
        until,
    };
    let mut faults = vec![planned(fault, from, until, 0)];
    for _ in 0..2 {
        let departure = match rng.random_bool(0.5) {
            true => Fault::ExecutorDrain,
            false => Fault::ExecutorUnlist,
        };
        let departs_at = rng.random_range(from..(from + until) / 2);
        let choice = rng.random_range(0..64);
        let departure_ends_at = departs_at + INSTANT_SPAN_US;
        faults.push(planned(departure, departs_at, departure_ends_at, choice));
    }
    faults
}

/// Draws the cause of an outage, and the longest time for which it may last.
fn draw_cause(rng: &mut impl Rng) -> (Fault, i64) {
    let failing = |call, errno| Fault::Call {
        call,
        errno,
        per_mille: 1_000,
    };
    match rng.random_range(0..6) {
        0 | 1 => (Fault::NameServiceSilent, MAX_SILENCE_US),
        2 => (
            failing(Call::SendDatagram, Errno::NoBufferSpace),
            MAX_CALL_FAILURE_US,
        ),
        3 => (
            failing(Call::ReceiveDatagram, Errno::NoMemory),
            MAX_CALL_FAILURE_US,
        ),
        4 => (Fault::NameServiceFailing, MAX_OTHER_OUTAGE_US),
        _ => {
            let per_mille = rng.random_range(20..200);
            (
                Fault::NameServiceForeignNumbers(per_mille),
                MAX_OTHER_OUTAGE_US,
            )
        }
    }
}
