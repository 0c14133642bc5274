//! A queue of the effects that a sans-I/O controller requests from its event loop, together with the controller's timers.

use crate::{ConnId, TimerKey, Timers};
use std::net::SocketAddr;

/// A listening socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Listener for clients that send queries.
    Clients,
    /// Listener for the admin interface, which serves health, status and metrics.
    Admin,
}

/// A datagram socket of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramSocket {
    /// Socket for the load reports that controllers send to each other.
    Peers,
    /// Socket for the gossip protocol by which controllers determine their membership.
    Gossip,
    /// Socket for DNS queries to a name service, which returns the list of executors.
    Discovery,
}

/// An action that the event loop must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection. The result is reported as [`crate::IoEvent::Connected`] or [`crate::IoEvent::ConnectionFailed`].
    Connect(ConnId, SocketAddr),
    /// Write [`crate::Protocol::output`] as the socket accepts it, until all of it is written, and report each write by calling
    /// [`crate::Protocol::bytes_written`].
    Write(ConnId),
    /// Continue to read from a connection for which [`crate::Protocol::read_capacity`] was zero; there is capacity again.
    ResumeReading(ConnId),
    /// Close a connection. The controller has already removed its own state of the connection.
    Close(ConnId),
    /// Send a datagram to an address. It is sent at most once; a local failure is reported by calling
    /// [`crate::Protocol::handle_datagram_send_failure`].
    Send(DatagramSocket, SocketAddr, Vec<u8>),
    /// Accept the client connections that are already in the backlog, then stop listening for clients and call
    /// [`crate::Protocol::handle_listening_stopped`].
    StopListening,
    /// The shutdown of the controller is complete, and the event loop must end.
    Stopped,
}

/// Collects effects and timers. All components of a controller share one queue; they only add to it and never read what another
/// component has added.
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

    /// Sets a timer that is due `after` microseconds after [`EffectQueue::now`].
    pub fn set_timer_after(&mut self, after: i64, event: T) -> TimerKey {
        self.set_timer_at(self.now.saturating_add(after), event)
    }

    /// Sets a timer that is due at the time `at`, in microseconds.
    pub fn set_timer_at(&mut self, at: i64, event: T) -> TimerKey {
        self.timers.set(at, event)
    }

    /// Cancels the timer whose key is in `timer`, if there is one, and clears `timer`.
    pub fn cancel_timer(&mut self, timer: &mut Option<TimerKey>) {
        if let Some(key) = timer.take() {
            self.timers.cancel(key);
        }
    }

    /// Cancels the timer whose key is in `timer`, if there is one, and sets one that is due `after` microseconds from now.
    pub fn reset_timer(&mut self, timer: &mut Option<TimerKey>, after: i64, event: T) {
        self.cancel_timer(timer);
        *timer = Some(self.set_timer_after(after, event));
    }

    /// Returns the due time of the next timer; `None` if no timer is pending.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// Removes the next timer if it is due and returns its event.
    pub fn pop_due_timer(&mut self) -> Option<T> {
        self.timers.pop_due(self.now)
    }

    /// Records that the event loop has stopped listening for clients.
    pub fn mark_listening_stopped(&mut self) {
        self.listening = Listening::Stopped;
    }

    /// Returns whether the event loop has stopped listening for clients. Until then it may still accept connections, so a
    /// controller must not emit [`Effect::Stopped`] before.
    pub fn has_stopped_listening(&self) -> bool {
        self.listening == Listening::Stopped
    }

    /// Moves the collected effects to `into` and drops the previous content of `into`. Timers stay.
    pub fn take(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(&mut self.effects, into);
    }
}
