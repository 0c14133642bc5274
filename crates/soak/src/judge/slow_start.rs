//! Executors in slow start are not overloaded by controllers that know of their start.

use super::{Invariant, Judge, Violation};
use crate::ledger::{ExecutorChange, RequestId};
use crate::settings::{
    CORES, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_FRACTION, SLOW_START_US, WORK_MS,
};
use std::collections::BTreeMap;

/// With fewer requests than this the margin of the slow-start limit is wider.
const FEW_REQUESTS: f64 = 30.0;

impl Judge<'_> {
    /// Within the window, controllers that know of an executor's start send it no more requests
    /// than its slow start allows.
    pub(super) fn slow_starts(&self, found: &mut Vec<Violation>) {
        for event in &self.records.executors {
            if event.change != ExecutorChange::Started {
                continue;
            }
            let list_sent_at = self.list_sent_at(event.serial);
            let mut sends: Vec<(i64, RequestId)> = self
                .records
                .receipts
                .iter()
                .filter(|r| r.executor == event.executor && r.at < event.at + SLOW_START_US)
                .filter(|r| {
                    list_sent_at
                        .get(&r.id.controller())
                        .is_some_and(|at| *at <= r.at)
                })
                .map(|r| (r.at, r.id))
                .collect();
            sends.sort_unstable();
            for (n, (at, id)) in sends.iter().enumerate() {
                let from = sends.partition_point(|(t, _)| *t <= at - OVERLOAD_WINDOW_US);
                let sent = n + 1 - from;
                let limit = max_requests(at - event.at);
                if sent as f64 > limit {
                    let executor = event.executor;
                    let age = at - event.at;
                    let description = format!("{sent} requests in the window for executor {executor}, {age} us after its start, at most {limit:.0}");
                    found.push(self.violation(Invariant::SlowStart, *id, *at, None, description));
                    break;
                }
            }
        }
    }

    /// When each controller was first sent a list with this serial number or a later one.
    fn list_sent_at(&self, serial: u32) -> BTreeMap<usize, i64> {
        let mut list_sent_at: BTreeMap<usize, i64> = BTreeMap::new();
        for ((controller, sent_serial), at) in &self.records.list_sent_at {
            if *sent_serial >= serial {
                let first = list_sent_at.entry(*controller).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        list_sent_at
    }
}

/// How many requests an executor of this age may get within the window.
fn max_requests(age_us: i64) -> f64 {
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
