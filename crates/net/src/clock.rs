//! One clock for a process.

use std::time::{Duration, Instant, SystemTime};

/// Microseconds that never run backwards: the wall time at the start plus what has passed since. A later jump of the
/// wall clock moves nothing, and processes with synchronised clocks agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: i64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall: i64::try_from(wall.as_micros()).unwrap_or(0) }
    }

    /// The time in microseconds.
    pub fn now(&self) -> i64 {
        self.wall + i64::try_from(self.start.elapsed().as_micros()).unwrap_or(i64::MAX - self.wall)
    }

    /// From now until a time; zero if it is past.
    pub fn until(&self, at: i64) -> Duration {
        Duration::from_micros(u64::try_from(at - self.now()).unwrap_or(0))
    }
}
