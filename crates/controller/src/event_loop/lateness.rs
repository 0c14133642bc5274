//! Detection of delays of the event loop: if the process was suspended or busy, the events that it finds may have arrived
//! long before.

use std::time::Duration;

/// A poll that exceeds its timeout by more than this, or an iteration that takes longer than this, is late, in microseconds.
const LATENESS_THRESHOLD_US: i64 = 20_000;

/// A decision that is older than this when it is to be carried out is withdrawn, in microseconds. The limit of an attempt may
/// exceed the time that its client has left by at most 0.15 s.
const MAX_DECISION_AGE_US: i64 = 80_000;

/// Returns whether a decision made at `decided_at` is too old to be carried out at `now`.
pub(super) fn is_stale(decided_at: i64, now: i64) -> bool {
    now - decided_at > MAX_DECISION_AGE_US
}

/// Returns whether so much time has passed since `since` that the process must have been suspended or busy.
pub(super) fn is_late(since: i64, now: i64) -> bool {
    now - since > LATENESS_THRESHOLD_US
}

/// Measures the iterations of an event loop to find out which are late. Times are in microseconds.
#[derive(Debug)]
pub(super) struct LatenessDetector {
    /// First reading of the clock after the last poll returned.
    last_poll_ended_at: i64,
    /// Start time and timeout of the poll in progress.
    current_poll: Option<(i64, i64)>,
    /// If the last iteration was late, the time since which events may have arrived unnoticed. That iteration may not have
    /// found all of them, so the time applies to the next iteration too.
    late_since: Option<i64>,
}

impl LatenessDetector {
    /// Creates a detector at a time before which no iteration was late.
    pub fn new(now: i64) -> LatenessDetector {
        LatenessDetector {
            last_poll_ended_at: now,
            current_poll: None,
            late_since: None,
        }
    }

    /// Records that a poll with a timeout begins.
    pub fn begin_poll(&mut self, now: i64, timeout: Duration) {
        let timeout_us = i64::try_from(timeout.as_micros()).unwrap_or(i64::MAX / 2);
        self.current_poll = Some((now, timeout_us));
    }

    /// Records that the poll has returned. Returns the earliest time at which the events that it reports can have arrived, or
    /// `None` if no poll was in progress, in which case the time returned for the last poll still applies.
    pub fn end_poll(&mut self, now: i64) -> Option<i64> {
        let (started_at, timeout_us) = self.current_poll.take()?;
        let was_busy = is_late(self.last_poll_ended_at, started_at);
        let overslept = is_late(started_at.saturating_add(timeout_us), now);
        let late_since = (was_busy || overslept).then_some(self.last_poll_ended_at);
        let previous_late_since = std::mem::replace(&mut self.late_since, late_since);
        self.last_poll_ended_at = now;
        Some(previous_late_since.or(late_since).unwrap_or(now))
    }
}
