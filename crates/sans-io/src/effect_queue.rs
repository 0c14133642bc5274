//! Effects that a sans-I/O controller requests from its event loop, and its timers.

use crate::{ConnId, TimerKey, Timers};
use std::net::SocketAddr;

/// A listening socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Listener for clients.
    Clients,
    /// Listener for the admin interface.
    Admin,
}

/// A datagram socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramSocket {
    /// Socket for load reports between controllers.
    Peers,
    /// Socket for the membership protocol.
    Gossip,
    /// Socket for queries to a name service.
    Discovery,
}

/// An action that the event loop must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection. The result is reported as [`crate::IoEvent::Connected`] or [`crate::IoEvent::ConnectionFailed`].
    Connect(ConnId, SocketAddr),
    /// Write as much of [`crate::Protocol::output`] as the socket accepts, and report the count by
    /// [`crate::Protocol::bytes_written`].
    Write(ConnId),
    /// Continue to read, as [`crate::Protocol::read_capacity`] allows: there is capacity again.
    ResumeReading(ConnId),
    /// Close a connection. The controller has already removed its state.
    Close(ConnId),
    /// Send a datagram. It is not retried if it cannot be sent.
    Send(DatagramSocket, SocketAddr, Vec<u8>),
    /// Accept the client connections that are already in the backlog, then stop listening for clients and call
    /// [`crate::Protocol::handle_listening_stopped`].
    StopListening,
    /// The shutdown is complete.
    Stopped,
}

/// Collects effects and timers. Components only add to it and never read what another component has added.
#[derive(Debug)]
pub struct EffectQueue<T> {
    /// The time of the current call, in microseconds.
    pub now: i64,
    effects: Vec<Effect>,
    timers: Timers<T>,
    listening: Listening,
}

/// Whether client connections may still be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Active,
    Stopped,
}

impl<T> EffectQueue<T> {
    /// Creates an empty queue.
    pub fn new(now: i64) -> EffectQueue<T> {
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

    /// Sets a timer that is due `after` microseconds from now.
    pub fn set_timer_after(&mut self, after: i64, event: T) -> TimerKey {
        self.set_timer_at(self.now.saturating_add(after), event)
    }

    /// Sets a timer that is due at the time `at`.
    pub fn set_timer_at(&mut self, at: i64, event: T) -> TimerKey {
        self.timers.set(at, event)
    }

    /// Cancels a timer if it is set.
    pub fn cancel_timer(&mut self, timer: &mut Option<TimerKey>) {
        if let Some(key) = timer.take() {
            self.timers.cancel(key);
        }
    }

    /// Replaces a timer.
    pub fn reset_timer(&mut self, timer: &mut Option<TimerKey>, after: i64, event: T) {
        self.cancel_timer(timer);
        *timer = Some(self.set_timer_after(after, event));
    }

    /// Due time of the next timer.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// Removes the next timer that is due and returns its event.
    pub fn pop_due_timer(&mut self) -> Option<T> {
        self.timers.pop_due(self.now)
    }

    /// Records that listening has stopped.
    pub fn mark_listening_stopped(&mut self) {
        self.listening = Listening::Stopped;
    }

    /// Whether listening has stopped, so that all connections that were accepted are known. The shutdown must not be reported
    /// as complete before.
    pub fn has_stopped_listening(&self) -> bool {
        self.listening == Listening::Stopped
    }

    /// Moves the collected effects to `into`, whose previous content is dropped.
    pub fn take(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(&mut self.effects, into);
    }
}
