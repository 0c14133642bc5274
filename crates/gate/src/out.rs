//! What a controller wants done outside, and when it wants to be woken.

use crate::seen::{Counts, Seen};
use crate::wake::Wake;
use std::net::SocketAddr;
use wheelfield_parts::{ConnId, TimerKey, Timers};

/// A datagram socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Words between controllers.
    Peers,
    /// Which controllers there are.
    Gossip,
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Begin to connect; [`crate::Happened::Connected`] or [`crate::Happened::Broken`] tells how it went.
    Connect(ConnId, SocketAddr),
    /// Write what [`crate::Gate::output`] holds, as far as it goes, and tell by [`crate::Gate::wrote`].
    Write(ConnId),
    /// There is room again for what comes: go on reading, as [`crate::Gate::room`] allows.
    Read(ConnId),
    /// Close a connection; it is forgotten here already.
    Close(ConnId),
    /// Send a datagram; one that can't go is lost.
    Send(Port, SocketAddr, Vec<u8>),
    /// Take no more clients.
    StopListening,
    /// All is over.
    Stopped,
}

/// Where effects and timers go. Rooms add to it and never look at what others added.
#[derive(Debug)]
pub(crate) struct Out {
    /// The time of this turn, in microseconds.
    pub now: i64,
    effects: Vec<Effect>,
    timers: Timers<Wake>,
    seen: Counts,
}

impl Out {
    pub fn new(now: i64) -> Out {
        Out { now, effects: Vec::new(), timers: Timers::default(), seen: Counts::default() }
    }

    /// Something came to pass.
    pub fn saw(&mut self, what: Seen) {
        self.seen.note(what);
    }

    /// What came to pass, and how often.
    pub fn seen(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.seen.iter()
    }

    /// Wants something done.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Wants to be woken after so many microseconds.
    pub fn wake_after(&mut self, after: i64, wake: Wake) -> TimerKey {
        self.wake_at(self.now.saturating_add(after), wake)
    }

    /// Wants to be woken at a time.
    pub fn wake_at(&mut self, at: i64, wake: Wake) -> TimerKey {
        self.timers.set(at, wake)
    }

    /// Calls a timer off, if there is one.
    pub fn call_off(&mut self, timer: &mut Option<TimerKey>) {
        if let Some(key) = timer.take() {
            self.timers.cancel(key);
        }
    }

    /// A timer in place of another.
    pub fn instead(&mut self, timer: &mut Option<TimerKey>, after: i64, wake: Wake) {
        self.call_off(timer);
        *timer = Some(self.wake_after(after, wake));
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<i64> {
        self.timers.next()
    }

    /// A timer that is due.
    pub fn due(&mut self) -> Option<Wake> {
        self.timers.pop(self.now)
    }

    /// Hands over what is to be done; `into` is emptied first.
    pub fn take(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(&mut self.effects, into);
    }
}
