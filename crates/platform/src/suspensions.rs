//! Suspensions of the process that follow one another, and when to expect the next one.
//!
//! A process that is suspended again and again runs for short spans only. A request whose deadline falls into the next suspension
//! gets its answer too late unless it is answered before.

/// Time without activity after which the process is considered to have been suspended, in microseconds.
const MIN_SUSPENSION_US: i64 = 300_000;
/// Suspensions with at most this time between them belong to a series, in microseconds.
const MAX_RUN_US: i64 = 2_000_000;
/// Part of the time until the next suspension, in percent, after which requests are answered that would be due in it.
const ANSWER_AFTER_PERCENT: i64 = 75;

/// A past suspension; times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspension {
    began_at: i64,
    ended_at: i64,
}

/// A suspension that is expected because the process is in a series of them; times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedSuspension {
    /// When requests are to be answered whose deadline is before `ends_at`.
    pub answer_at: i64,
    /// When it begins.
    pub begins_at: i64,
    /// When it ends.
    pub ends_at: i64,
}

/// The last suspensions of the process.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionSeries {
    last_active_at: i64,
    last: Option<Suspension>,
    /// For how long the process ran before the last suspension, if that followed another one closely.
    run_us: Option<i64>,
}

impl SuspensionSeries {
    /// Creates the state of a process that started at `now`.
    pub fn new(now: i64) -> SuspensionSeries {
        SuspensionSeries {
            last_active_at: now,
            last: None,
            run_us: None,
        }
    }

    /// Records that the process is active. Returns the next suspension if this is the end of one and another is expected.
    pub fn record_activity(&mut self, now: i64) -> Option<ExpectedSuspension> {
        let began_at = self.last_active_at;
        self.last_active_at = began_at.max(now);
        if now - began_at <= MIN_SUSPENSION_US {
            return None;
        }
        let run_us = self.last.map(|last| began_at - last.ended_at);
        self.run_us = run_us.filter(|run_us| *run_us <= MAX_RUN_US);
        self.last = Some(Suspension {
            began_at,
            ended_at: now,
        });
        self.expected(now)
    }

    /// The next suspension, if the process is in a series and has not run for longer than before the last one.
    pub fn expected(&self, now: i64) -> Option<ExpectedSuspension> {
        let (last, run_us) = self.last.zip(self.run_us)?;
        let begins_at = last.ended_at + run_us;
        (now <= begins_at).then_some(ExpectedSuspension {
            answer_at: last.ended_at + run_us * ANSWER_AFTER_PERCENT / 100,
            begins_at,
            ends_at: begins_at + last.ended_at - last.began_at,
        })
    }
}
