//! Replay protection: each datagram of a sender is accepted once.

use super::VerificationError;
use crate::messages::MessageId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of remembered senders; beyond it the least recently used one is forgotten.
const MAX_SENDERS: usize = 8_192;
/// Number of sequence numbers, up to the highest one, that the window covers: the bits of [`ReplayWindow::accepted`].
const WINDOW_BITS: u64 = u64::BITS as u64;

/// The sequence numbers accepted from one incarnation of a sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was accepted.
    accepted: u64,
    /// Logical time of the last datagram of the sender's current incarnation.
    last_used: u64,
}

impl ReplayWindow {
    fn new(id: MessageId, last_used: u64) -> ReplayWindow {
        ReplayWindow {
            incarnation: id.incarnation,
            highest: id.sequence,
            accepted: 1,
            last_used,
        }
    }

    /// Marks a sequence number as accepted.
    fn accept(&mut self, sequence: u64) -> Result<(), VerificationError> {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            let shifted = if ahead >= WINDOW_BITS {
                0
            } else {
                self.accepted << ahead
            };
            self.accepted = shifted | 1;
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_BITS || self.accepted & (1 << behind) != 0 {
            return Err(VerificationError::Replayed);
        }
        self.accepted |= 1 << behind;
        Ok(())
    }
}

/// The replay windows of all senders.
#[derive(Debug, Default)]
pub(super) struct ReplayProtection {
    senders: BTreeMap<SocketAddr, ReplayWindow>,
    /// Logical time: the number of datagrams checked.
    clock: u64,
}

impl ReplayProtection {
    /// Accepts a verified datagram.
    ///
    /// # Errors
    /// [`VerificationError::Replayed`] if it was accepted before or is older than the window, and
    /// [`VerificationError::StaleIncarnation`] if a later incarnation of the sender is known.
    pub(super) fn accept(
        &mut self,
        from: SocketAddr,
        id: MessageId,
    ) -> Result<(), VerificationError> {
        self.clock += 1;
        let Some(window) = self.senders.get_mut(&from) else {
            self.make_capacity();
            self.senders.insert(from, ReplayWindow::new(id, self.clock));
            return Ok(());
        };
        if id.incarnation < window.incarnation {
            return Err(VerificationError::StaleIncarnation(window.incarnation));
        }
        if id.incarnation > window.incarnation {
            *window = ReplayWindow::new(id, self.clock);
            return Ok(());
        }
        window.last_used = self.clock;
        window.accept(id.sequence)
    }

    fn make_capacity(&mut self) {
        if self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, window)| window.last_used);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                self.senders.remove(&oldest);
            }
        }
    }
}
