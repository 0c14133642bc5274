//! The queue of effects and timers of the gateway, and its coverage counters.

use crate::coverage::{Coverage, CoverageCounts};
use crate::timer_event::TimerEvent;
use std::ops::{Deref, DerefMut};
pub use wheelfield_sans_io::{DatagramSocket, Effect};

/// A [`wheelfield_sans_io::EffectQueue`] with coverage counters.
#[derive(Debug)]
pub(crate) struct EffectQueue {
    inner: wheelfield_sans_io::EffectQueue<TimerEvent>,
    coverage: CoverageCounts,
}

impl EffectQueue {
    pub fn new(now: i64) -> EffectQueue {
        EffectQueue { inner: wheelfield_sans_io::EffectQueue::new(now), coverage: CoverageCounts::default() }
    }

    /// Counts that a coverage point was reached.
    pub fn record(&mut self, point: Coverage) {
        self.coverage.increment(point);
    }

    /// The name and count of each coverage point.
    pub fn coverage(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.coverage.iter()
    }
}

impl Deref for EffectQueue {
    type Target = wheelfield_sans_io::EffectQueue<TimerEvent>;
    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

impl DerefMut for EffectQueue {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.inner
    }
}
