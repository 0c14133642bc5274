//! Where the rooms of a gate put what they want: effects, timers, and the counts of what came to pass.

use crate::coverage::{Counts, Coverage};
use crate::timer_event::TimerEvent;
use std::ops::{Deref, DerefMut};
pub use wheelfield_sans_io::{DatagramSocket, Effect};

/// [`wheelfield_sans_io::EffectQueue`], and what came to pass.
#[derive(Debug)]
pub(crate) struct EffectQueue {
    wanted: wheelfield_sans_io::EffectQueue<TimerEvent>,
    seen: Counts,
}

impl EffectQueue {
    pub fn new(now: i64) -> EffectQueue {
        EffectQueue { wanted: wheelfield_sans_io::EffectQueue::new(now), seen: Counts::default() }
    }

    /// Something came to pass.
    pub fn saw(&mut self, what: Coverage) {
        self.seen.note(what);
    }

    /// What came to pass, and how often.
    pub fn seen(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.seen.iter()
    }
}

impl Deref for EffectQueue {
    type Target = wheelfield_sans_io::EffectQueue<TimerEvent>;
    fn deref(&self) -> &Self::Target {
        &self.wanted
    }
}

impl DerefMut for EffectQueue {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.wanted
    }
}
