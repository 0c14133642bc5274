//! One clock for a process.

use std::time::{Duration, Instant, SystemTime};

/// Microseconds since the Unix epoch that never run backwards: the wall time at the start plus the time passed since. A later
/// jump of the wall clock changes nothing, and processes with synchronised clocks agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Wall time at the start, in microseconds.
    wall_at_start: i64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let wall_at_start = i64::try_from(wall.as_micros()).unwrap_or(0);
        Clock {
            started_at: Instant::now(),
            wall_at_start,
        }
    }

    /// The time in microseconds.
    pub fn now(&self) -> i64 {
        let elapsed = i64::try_from(self.started_at.elapsed().as_micros());
        self.wall_at_start + elapsed.unwrap_or(i64::MAX - self.wall_at_start)
    }

    /// The duration from now until a time in microseconds; zero if that is past.
    pub fn until(&self, at: i64) -> Duration {
        Duration::from_micros(u64::try_from(at - self.now()).unwrap_or(0))
    }
}
