//! What was written to executors in slow start, by the time at which it was written.
//!
//! The policy counts an attempt when it decides it; an attempt that waits for its connect reaches the executor later, maybe together
//! with what the policy allowed meanwhile. So the budget is asked for again as the request is about to be written, against what was
//! written within the window.

use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, SlowStartShare};

/// Sums of work may differ by this fraction through rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Writes to one executor that are remembered at most; beyond this nothing fits.
const MAX_TRACKED_REQUESTS: usize = 8_192;

/// A request that was written.
#[derive(Clone, Copy, Debug)]
struct WrittenRequest {
    written_at: i64,
    work: f64,
}

/// The requests to executors in slow start within the window.
#[derive(Debug)]
pub struct WrittenWork {
    /// Time over which work counts, in microseconds.
    window_us: i64,
    requests_by_engine: BTreeMap<EngineId, VecDeque<WrittenRequest>>,
}

impl WrittenWork {
    /// Nothing was written yet; work counts over a window of so many microseconds.
    pub fn new(window_us: i64) -> WrittenWork {
        WrittenWork {
            window_us,
            requests_by_engine: BTreeMap::new(),
        }
    }

    /// Whether a request fits into the budget beside what was written within the window.
    pub fn fits(&mut self, engine: EngineId, share: SlowStartShare, now: i64) -> bool {
        self.remove_expired(now);
        let requests = self.requests_by_engine.get(&engine);
        let written: f64 = requests
            .into_iter()
            .flatten()
            .map(|request| request.work)
            .sum();
        let is_full = requests.is_some_and(|requests| requests.len() >= MAX_TRACKED_REQUESTS);
        !is_full && written + share.work <= share.budget * (1.0 + ROUNDING_TOLERANCE)
    }

    /// Records that a request was written.
    pub fn record(&mut self, engine: EngineId, share: SlowStartShare, now: i64) {
        let request = WrittenRequest {
            written_at: now,
            work: share.work,
        };
        self.requests_by_engine
            .entry(engine)
            .or_default()
            .push_back(request);
    }

    fn remove_expired(&mut self, now: i64) {
        let window_start = now - self.window_us;
        self.requests_by_engine.retain(|_, requests| {
            while requests
                .front()
                .is_some_and(|request| request.written_at < window_start)
            {
                requests.pop_front();
            }
            !requests.is_empty()
        });
    }
}
