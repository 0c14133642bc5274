//! Bounds the memory that the connections of all clients take together.
//!
//! Each client may send [`GUARANTEED_INPUT_BYTES`] at any time. For a longer request the memory of all of it is reserved before more
//! is read, so that a request that is being received can always be completed. Until there is enough memory, the rest of the request
//! stays in the socket, and its client waits.

use std::collections::BTreeSet;
use wheelfield_sans_io::{ConnId, TimerKey};

/// Input in bytes that each client may send without a reservation.
pub(super) const GUARANTEED_INPUT_BYTES: usize = 4 << 10;
/// Share of the memory limit that the connections of clients may take together: one part in this many.
const MEMORY_SHARE_DIVISOR: usize = 3;
/// Minimum of what they may take together, in bytes, so that a request and a result of maximum length always fit.
const MIN_LIMIT_BYTES: usize = 256 << 10;
/// Time for which a request may hold its reservation while it is incomplete and others wait for memory, in microseconds.
pub(super) const MAX_INCOMPLETE_HOLD_US: i64 = 250_000;
/// Time for which a client may take nothing of its response while others wait for memory, in microseconds.
pub(super) const MAX_UNREAD_HOLD_US: i64 = 500_000;
/// Maximum time for which a request waits for memory, in microseconds. It is refused earlier if its client stops waiting.
pub(super) const MAX_MEMORY_WAIT_US: i64 = 2_000_000;

/// A client whose request waits for memory. They are served in this order: clients that have sent a request before come first, then
/// those that have waited for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiter {
    /// Whether the client has not sent a request on this connection before.
    pub is_new_client: bool,
    /// Time since which it has waited, in microseconds.
    pub since: i64,
    /// The client's connection.
    pub client: ConnId,
}

/// The wait of a request for memory.
#[derive(Debug)]
pub(super) struct MemoryWait {
    /// The place of the client among those that wait.
    pub waiter: Waiter,
    /// Size of the reservation that the request needs, in bytes.
    pub needed_bytes: usize,
    /// The timer of the time by which the request is refused.
    pub timer: Option<TimerKey>,
}

/// The memory of one client, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MemoryCharge {
    /// Reservation for the request that is being received.
    pub reserved_input: usize,
    /// The statement of the request that is being processed, and its copy in the output to an executor.
    pub statement: usize,
    /// The result that is being fetched.
    pub result: usize,
    /// The response that is being written.
    pub response: usize,
}

impl MemoryCharge {
    fn total(self) -> usize {
        self.reserved_input + self.statement + self.result + self.response
    }
}

/// The memory that the connections of clients have taken, and the clients that wait for some.
#[derive(Debug)]
pub(super) struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: usize,
    waiting: BTreeSet<Waiter>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this memory limit.
    pub fn new(memory_limit_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            limit_bytes: (memory_limit_bytes / MEMORY_SHARE_DIVISOR).max(MIN_LIMIT_BYTES),
            used_bytes: 0,
            waiting: BTreeSet::new(),
        }
    }

    /// Memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Number of clients that wait for memory.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether this much more memory may be taken.
    pub fn fits(&self, bytes: usize) -> bool {
        self.used_bytes + bytes <= self.limit_bytes
    }

    /// Number of bytes by which memory falls short of this much more.
    pub fn missing_bytes(&self, bytes: usize) -> usize {
        (self.used_bytes + bytes).saturating_sub(self.limit_bytes)
    }

    /// Replaces the charge of a client.
    pub fn change_charge(&mut self, charge: &mut MemoryCharge, new: MemoryCharge) {
        self.used_bytes = self.used_bytes.saturating_sub(charge.total()) + new.total();
        *charge = new;
    }

    /// Adds a client that waits.
    pub fn add_waiter(&mut self, waiter: Waiter) {
        self.waiting.insert(waiter);
    }

    /// Removes a client that no longer waits.
    pub fn remove_waiter(&mut self, waiter: Waiter) {
        self.waiting.remove(&waiter);
    }

    /// The client that gets memory next.
    pub fn first_waiter(&self) -> Option<Waiter> {
        self.waiting.first().copied()
    }

    /// All clients that wait.
    pub fn waiters(&self) -> impl Iterator<Item = Waiter> + '_ {
        self.waiting.iter().copied()
    }
}
