//! Tracks the work of the requests written to executors in slow start.
//!
//! The policy charges an attempt to the slow-start budget when it admits it. An attempt that waits for a connection reaches the
//! executor later, possibly together with attempts that were admitted meanwhile. The budget is therefore checked again immediately
//! before a request is written, against the work written within the window.

use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, SlowStartShare};
use wheelfield_driver::AttemptId;

/// Relative tolerance for rounding errors in sums of work.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Maximum number of requests to one executor that are tracked; once it is reached, no further request fits.
const MAX_TRACKED_REQUESTS: usize = 8_192;

/// A written request.
#[derive(Clone, Copy, Debug)]
struct WrittenRequest {
    attempt: AttemptId,
    /// Time at which it was written, in microseconds.
    written_at: i64,
    /// Work charged to the budget.
    work: f64,
}

/// The requests written to executors in slow start within the window.
#[derive(Debug)]
pub struct WrittenWork {
    /// Length of the window over which work is summed, in microseconds.
    window_us: i64,
    requests_by_engine: BTreeMap<EngineId, VecDeque<WrittenRequest>>,
    /// The requests that are in an output buffer, and of which no byte has been written.
    buffered: BTreeMap<AttemptId, EngineId>,
}

impl WrittenWork {
    /// Creates an empty record with a window of `window_us` microseconds.
    pub fn new(window_us: i64) -> WrittenWork {
        WrittenWork {
            window_us,
            requests_by_engine: BTreeMap::new(),
            buffered: BTreeMap::new(),
        }
    }

    /// Whether a request fits into the budget together with the work written within the window.
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

    /// Records the request of an attempt, which was added to an output buffer.
    pub fn record(
        &mut self,
        engine: EngineId,
        attempt: AttemptId,
        share: SlowStartShare,
        now: i64,
    ) {
        let request = WrittenRequest {
            attempt,
            written_at: now,
            work: share.work,
        };
        self.requests_by_engine
            .entry(engine)
            .or_default()
            .push_back(request);
        self.buffered.insert(attempt, engine);
    }

    /// Records that the first byte of an attempt's request was written.
    pub fn record_dispatch(&mut self, attempt: AttemptId) {
        self.buffered.remove(&attempt);
    }

    /// Forgets the request of an attempt that was taken back or has ended, unless a byte of it was written.
    pub fn forget_unwritten(&mut self, attempt: AttemptId) {
        let Some(engine) = self.buffered.remove(&attempt) else {
            return;
        };
        if let Some(requests) = self.requests_by_engine.get_mut(&engine) {
            requests.retain(|request| request.attempt != attempt);
        }
    }

    /// Removes requests that are older than the window.
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
