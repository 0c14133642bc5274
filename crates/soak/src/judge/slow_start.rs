//! Executors in slow start are not overloaded by controllers that were told of their start.

use super::{Invariant, Judge, Violation};
use crate::ledger::{ExecutorChange, RequestId};
use crate::settings::{
    CORES, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_FRACTION, SLOW_START_US, WORK_MS,
};
use std::collections::BTreeMap;

/// Below so many requests the margin of the slow-start bound is wider.
const FEW_REQUESTS: f64 = 30.0;

impl Judge<'_> {
    /// An executor in slow start gets no more within the window than the settings allow, of controllers that were told.
    pub(super) fn slow_starts(&self, found: &mut Vec<Violation>) {
        for event in &self.records.executors {
            if event.change != ExecutorChange::Started {
                continue;
            }
            let told = self.told(event.serial);
            let mut sends: Vec<(i64, RequestId)> = self
                .records
                .receipts
                .iter()
                .filter(|r| r.executor == event.executor && r.at < event.at + SLOW_START_US)
                .filter(|r| told.get(&r.id.controller()).is_some_and(|at| *at <= r.at))
                .map(|r| (r.at, r.id))
                .collect();
            sends.sort_unstable();
            for (n, (at, id)) in sends.iter().enumerate() {
                let from = sends.partition_point(|(t, _)| *t <= at - OVERLOAD_WINDOW_US);
                let sent = n + 1 - from;
                let most = most_requests(at - event.at);
                if sent as f64 > most {
                    let executor = event.executor;
                    let age = at - event.at;
                    let description = format!("{sent} requests in the window for executor {executor}, {age} us after its start, at most {most:.0}");
                    found.push(self.violation(Invariant::SlowStart, *id, *at, None, description));
                    break;
                }
            }
        }
    }

    /// When each controller was first told of a list at least as new.
    fn told(&self, serial: u32) -> BTreeMap<usize, i64> {
        let mut told: BTreeMap<usize, i64> = BTreeMap::new();
        for ((controller, told_serial), at) in &self.records.told {
            if *told_serial >= serial {
                let first = told.entry(*controller).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        told
    }
}

/// Requests that an executor of this age may get within the window.
fn most_requests(age_us: i64) -> f64 {
    let age = (age_us as f64 / SLOW_START_US as f64).clamp(0.0, 1.0);
    let fraction = SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * age;
    let window = OVERLOAD_WINDOW_US as f64 / 1e6;
    let requests = OVERLOAD_MULTIPLE * fraction * CORES * window / (WORK_MS / 1e3);
    if requests < FEW_REQUESTS {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}
