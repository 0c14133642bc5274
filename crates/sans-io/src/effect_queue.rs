//! What a controller without I/O wants done outside, and when it wants to be woken.

use crate::{ConnId, TimerKey, Timers};
use std::net::SocketAddr;

/// A listening socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Clients come here.
    Clients,
    /// Operators do.
    Admin,
}

/// A datagram socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramSocket {
    /// Words between controllers.
    Peers,
    /// Which controllers there are.
    Gossip,
    /// Questions to a name service.
    Discovery,
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Begin to connect; [`crate::IoEvent::Connected`] or [`crate::IoEvent::Broken`] tells how it went.
    Connect(ConnId, SocketAddr),
    /// Write what [`crate::Protocol::output`] holds, as far as it goes, and tell by [`crate::Protocol::bytes_written`].
    Write(ConnId),
    /// There is room again for what comes: go on reading, as [`crate::Protocol::read_capacity`] allows.
    ResumeReading(ConnId),
    /// Close a connection; it is forgotten here already.
    Close(ConnId),
    /// Send a datagram; one that can't go is lost.
    Send(DatagramSocket, SocketAddr, Vec<u8>),
    /// Take whoever waits already, and no more clients after them.
    StopListening,
    /// All is over.
    Stopped,
}

/// Where effects and timers go. Rooms add to it and never look at what others added.
#[derive(Debug)]
pub struct EffectQueue<W> {
    /// The time of this turn, in microseconds.
    pub now: i64,
    effects: Vec<Effect>,
    timers: Timers<W>,
    door: Listening,
}

/// How far the end of listening has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    On,
    /// It is among the effects.
    Ends,
    /// It was handed over.
    Ended,
}

impl<W> EffectQueue<W> {
    /// With nothing to do.
    pub fn new(now: i64) -> EffectQueue<W> {
        EffectQueue { now, effects: Vec::new(), timers: Timers::default(), door: Listening::On }
    }

    /// Wants something done.
    pub fn push(&mut self, effect: Effect) {
        if effect == Effect::StopListening {
            self.door = Listening::Ends;
        }
        self.effects.push(effect);
    }

    /// Wants to be woken after so many microseconds.
    pub fn set_timer_after(&mut self, after: i64, wake: W) -> TimerKey {
        self.set_timer_at(self.now.saturating_add(after), wake)
    }

    /// Wants to be woken at a time.
    pub fn set_timer_at(&mut self, at: i64, wake: W) -> TimerKey {
        self.timers.set(at, wake)
    }

    /// Calls a timer off, if there is one.
    pub fn cancel_timer(&mut self, timer: &mut Option<TimerKey>) {
        if let Some(key) = timer.take() {
            self.timers.cancel(key);
        }
    }

    /// A timer in place of another.
    pub fn reset_timer(&mut self, timer: &mut Option<TimerKey>, after: i64, wake: W) {
        self.cancel_timer(timer);
        *timer = Some(self.set_timer_after(after, wake));
    }

    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// A timer that is due.
    pub fn pop_due_timer(&mut self) -> Option<W> {
        self.timers.pop(self.now)
    }

    /// Whether the end of listening was handed over, so that whoever was still taken then is known. Guards against saying that
    /// all is over in one breath with it.
    pub fn listening_ended(&self) -> bool {
        self.door == Listening::Ended
    }

    /// Hands over what is to be done; `into` is emptied first.
    pub fn take(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(&mut self.effects, into);
        if self.door == Listening::Ends {
            self.door = Listening::Ended;
        }
    }
}
