//! Tests of the order of events and timers when the process is suspended.

use super::lateness::LatenessDetector;
use super::polling::{poll_until_current, EventSource};
use super::Remaining;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Time at which the timer is due, in microseconds.
const TIMER_AT: i64 = 1_000;

/// A process whose clock jumps by `suspended_us` when it is read for the `suspended_at_read`-th time, as if the process
/// had been suspended just before. The events of the skipped time have happened by then.
struct SuspendedProcess {
    now: i64,
    clock_reads: usize,
    suspended_at_read: usize,
    suspended_us: i64,
    /// Times of the events that have not been polled yet.
    pending: Vec<i64>,
    /// Times of the events that have been polled.
    polled: Vec<i64>,
    interrupted: bool,
    events_per_poll: usize,
}

impl EventSource for SuspendedProcess {
    fn poll(&mut self, timeout: Duration) -> io::Result<Remaining> {
        if std::mem::take(&mut self.interrupted) {
            self.now += self.suspended_us;
            return Err(ErrorKind::Interrupted.into());
        }
        self.now += timeout.as_micros() as i64;
        let count = self
            .pending
            .iter()
            .filter(|at| **at <= self.now)
            .count()
            .min(self.events_per_poll);
        self.polled.extend(self.pending.drain(..count));
        Ok(if count == self.events_per_poll {
            Remaining::Possibly
        } else {
            Remaining::Nothing
        })
    }

    fn read_clock(&mut self) -> i64 {
        self.clock_reads += 1;
        if self.clock_reads == self.suspended_at_read {
            self.now += self.suspended_us;
        }
        self.now
    }

    fn dispatch(&mut self, _: i64) {}

    fn is_timer_due(&self, now: i64) -> bool {
        now >= TIMER_AT
    }
}

#[test]
fn events_before_a_due_timer_are_polled_first_wherever_the_process_is_suspended() {
    let cases = (0..4usize).flat_map(|at| {
        [
            (at, false, 300),
            (at, true, 300),
            (at, false, 2),
            (at, true, 2),
        ]
    });
    for (suspended_at_read, interrupted, events_per_poll) in cases {
        let mut process = SuspendedProcess {
            now: 0,
            clock_reads: 0,
            suspended_at_read,
            suspended_us: 6_000,
            pending: vec![100, 200, 300, 900, 5_000, 5_500, 9_000],
            polled: Vec::new(),
            interrupted,
            events_per_poll,
        };
        for _ in 0..9 {
            let now = poll_until_current(&mut process, Duration::from_micros(500))
                .expect("polling should succeed");
            let missed = process.pending.iter().filter(|at| **at <= now).count();
            assert_eq!(
                missed, 0,
                "at {now}: suspended at read {suspended_at_read}, {interrupted}, {events_per_poll} per poll"
            );
        }
        assert!(process.now >= TIMER_AT && process.polled.len() >= 4);
    }
}

#[test]
fn events_of_a_late_iteration_may_have_arrived_since_the_previous_poll() {
    let timeout = Duration::from_millis(100);
    let mut lateness = LatenessDetector::new(0);
    let mut poll = |started_at: i64, ended_at: i64| {
        lateness.begin_poll(started_at, timeout);
        lateness.end_poll(ended_at)
    };
    assert_eq!(poll(1_000, 90_000), Some(90_000), "a poll in time");
    // Suspended during a poll: events that arrived meanwhile may be reported only by the next poll.
    assert_eq!(poll(91_000, 2_000_000), Some(90_000));
    assert_eq!(poll(2_001_000, 2_002_000), Some(90_000));
    assert_eq!(poll(2_003_000, 2_100_000), Some(2_100_000));
    // Busy or suspended between two polls.
    assert_eq!(poll(2_900_000, 2_901_000), Some(2_100_000));
    assert_eq!(poll(2_902_000, 2_903_000), Some(2_100_000));
    assert_eq!(poll(2_904_000, 2_905_000), Some(2_905_000));
    assert_eq!(
        lateness.end_poll(2_906_000),
        None,
        "a second poll of the same iteration"
    );
}
