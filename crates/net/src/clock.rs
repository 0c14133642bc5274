//! A monotonic clock of microseconds since the Unix epoch.

use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock that counts microseconds since the Unix epoch: the wall-clock time at the start plus the monotonic time that
/// has elapsed since. Later changes of the wall clock have no effect, and the clocks of processes on machines with synchronised
/// wall clocks agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Wall-clock time at the start, in microseconds since the Unix epoch.
    wall_clock_at_start: i64,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let wall_clock_at_start = i64::try_from(wall.as_micros()).unwrap_or(0);
        Clock {
            started_at: Instant::now(),
            wall_clock_at_start,
        }
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub fn now(&self) -> i64 {
        let elapsed = i64::try_from(self.started_at.elapsed().as_micros());
        self.wall_clock_at_start + elapsed.unwrap_or(i64::MAX - self.wall_clock_at_start)
    }

    /// Returns the duration from now until the time `at`, which is in microseconds since the Unix epoch; zero if it has passed.
    pub fn until(&self, at: i64) -> Duration {
        Duration::from_micros(u64::try_from(at - self.now()).unwrap_or(0))
    }
}
