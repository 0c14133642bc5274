//! Where the rooms of a gate put what they want: effects, timers, and the counts of what came to pass.

use crate::seen::{Counts, Seen};
use crate::wake::Wake;
use std::ops::{Deref, DerefMut};
pub use wheelfield_sans_io::{Effect, Port};

/// [`wheelfield_sans_io::Out`], and what came to pass.
#[derive(Debug)]
pub(crate) struct Out {
    wanted: wheelfield_sans_io::Out<Wake>,
    seen: Counts,
}

impl Out {
    pub fn new(now: i64) -> Out {
        Out { wanted: wheelfield_sans_io::Out::new(now), seen: Counts::default() }
    }

    /// Something came to pass.
    pub fn saw(&mut self, what: Seen) {
        self.seen.note(what);
    }

    /// What came to pass, and how often.
    pub fn seen(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.seen.iter()
    }
}

impl Deref for Out {
    type Target = wheelfield_sans_io::Out<Wake>;
    fn deref(&self) -> &Self::Target {
        &self.wanted
    }
}

impl DerefMut for Out {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.wanted
    }
}
