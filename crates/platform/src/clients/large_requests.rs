//! Bounds the memory that large requests take together.
//!
//! Each client may send a small request at any time. A larger one needs a permit for as long as it is received or processed; until one
//! is free, the rest of the request stays in the socket. Permits are taken back at the periodic check of all clients, which passes them on.

use std::collections::BTreeSet;
use wheelfield_sans_io::ConnId;

/// Size in bytes up to which a request needs no permit.
pub(super) const SMALL_REQUEST_BYTES: usize = 16 << 10;
/// Maximum memory of a large request in bytes: its input buffer, whose capacity doubles as it grows, or its statement and the copy
/// that is written to an executor.
const LARGE_REQUEST_MEMORY_BYTES: usize = 256 << 10;
/// Share of the memory limit that large requests may take together: one part in this many.
const MEMORY_SHARE_DIVISOR: usize = 4;

/// The permits for large requests.
#[derive(Debug)]
pub(super) struct LargeRequests {
    max_permits: usize,
    holders: BTreeSet<ConnId>,
}

impl LargeRequests {
    /// Creates as many permits as a share of the memory limit allows, but at least one.
    pub fn new(memory_limit_bytes: usize) -> LargeRequests {
        let share = memory_limit_bytes / MEMORY_SHARE_DIVISOR;
        LargeRequests {
            max_permits: (share / LARGE_REQUEST_MEMORY_BYTES).max(1),
            holders: BTreeSet::new(),
        }
    }

    /// Whether a client has a permit.
    pub fn is_held_by(&self, client: ConnId) -> bool {
        self.holders.contains(&client)
    }

    /// Number of permits in use.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Gives a client a permit if one is free. Returns whether the client has one now.
    pub fn acquire(&mut self, client: ConnId) -> bool {
        if self.holders.len() < self.max_permits {
            self.holders.insert(client);
        }
        self.is_held_by(client)
    }

    /// Takes back the permits of all clients for which this returns `false`.
    pub fn retain(&mut self, needs_permit: impl Fn(ConnId) -> bool) {
        self.holders.retain(|client| needs_permit(*client));
    }
}
