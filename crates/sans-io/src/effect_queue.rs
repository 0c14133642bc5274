//! What a controller without I/O wants done outside, and when it wants to be called again.

use crate::{ConnId, TimerKey, Timers};
use std::net::SocketAddr;

/// A listening socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Clients connect here.
    Clients,
    /// Operators connect here.
    Admin,
}

/// A datagram socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramSocket {
    /// Load reports between controllers.
    Peers,
    /// The membership protocol.
    Gossip,
    /// Queries to a name service.
    Discovery,
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection; [`crate::IoEvent::Connected`] or [`crate::IoEvent::ConnectionFailed`] follows.
    Connect(ConnId, SocketAddr),
    /// Write what [`crate::Protocol::output`] holds, as far as it goes, and report it by [`crate::Protocol::bytes_written`].
    Write(ConnId),
    /// There is capacity again: go on reading, as [`crate::Protocol::read_capacity`] allows.
    ResumeReading(ConnId),
    /// Close a connection; the controller has forgotten it already.
    Close(ConnId),
    /// Send a datagram; one that can't be sent is lost.
    Send(DatagramSocket, SocketAddr, Vec<u8>),
    /// Accept the connections that wait already, and no more clients after them;
    /// [`crate::Protocol::handle_listening_stopped`] follows.
    StopListening,
    /// The shutdown is complete.
    Stopped,
}

/// Collects effects and timers. Whoever adds to it never looks at what others added.
#[derive(Debug)]
pub struct EffectQueue<W> {
    /// The time of the current call, in microseconds.
    pub now: i64,
    effects: Vec<Effect>,
    timers: Timers<W>,
    listening: Listening,
}

/// Whether clients may still be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Active,
    Stopped,
}

impl<W> EffectQueue<W> {
    /// An empty queue.
    pub fn new(now: i64) -> EffectQueue<W> {
        EffectQueue {
            now,
            effects: Vec::new(),
            timers: Timers::default(),
            listening: Listening::Active,
        }
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sets a timer that is due after so many microseconds.
    pub fn set_timer_after(&mut self, after: i64, event: W) -> TimerKey {
        self.set_timer_at(self.now.saturating_add(after), event)
    }

    /// Sets a timer that is due at a time.
    pub fn set_timer_at(&mut self, at: i64, event: W) -> TimerKey {
        self.timers.set(at, event)
    }

    /// Cancels a timer, if there is one.
    pub fn cancel_timer(&mut self, timer: &mut Option<TimerKey>) {
        if let Some(key) = timer.take() {
            self.timers.cancel(key);
        }
    }

    /// Sets a timer in place of another.
    pub fn reset_timer(&mut self, timer: &mut Option<TimerKey>, after: i64, event: W) {
        self.cancel_timer(timer);
        *timer = Some(self.set_timer_after(after, event));
    }

    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// Takes a timer that is due.
    pub fn pop_due_timer(&mut self) -> Option<W> {
        self.timers.pop_due(self.now)
    }

    /// Notes that listening has ended.
    pub fn mark_listening_stopped(&mut self) {
        self.listening = Listening::Stopped;
    }

    /// Whether listening has ended, so that all connections made until then are known. Guards against reporting the shutdown as
    /// complete before that.
    pub fn has_stopped_listening(&self) -> bool {
        self.listening == Listening::Stopped
    }

    /// Takes the effects; `into` is emptied first.
    pub fn take(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(&mut self.effects, into);
    }
}
