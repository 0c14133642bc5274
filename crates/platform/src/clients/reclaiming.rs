//! Takes memory back from clients that make no use of it while others wait for some.

use super::connection::{ClientConnection, ClientState};
use super::memory::{MAX_INCOMPLETE_HOLD_US, MAX_UNREAD_HOLD_US};
use super::Clients;
use crate::invariants::CloseReason;
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield_sans_io::{ConnId, EffectQueue};

impl Clients {
    /// If clients or results wait for memory, takes back as much as they need from those who make no use of it: requests that have
    /// been incomplete for too long are refused, and clients that do not read their response are disconnected, the oldest first.
    pub(super) fn reclaim_memory(
        &mut self,
        wanted_by_results: usize,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let demands = self.memory.waiters();
        let demands = demands.filter_map(|waiter| self.demand_of_waiter(waiter.client));
        let wanted_by_requests: usize = demands.map(|(_, more_bytes)| more_bytes).sum();
        let wanted_bytes = wanted_by_results + wanted_by_requests;
        if wanted_bytes == 0 {
            return;
        }
        for (_, id) in self.overdue_holders(out.now) {
            if self.memory.missing_bytes(wanted_bytes) == 0 {
                return;
            }
            debug!(
                connection = id.as_u64(),
                "incomplete request refused as others wait for memory"
            );
            self.refuse_incomplete_request(id, out);
        }
        for (_, id) in self.overdue_readers(out.now) {
            if self.memory.missing_bytes(wanted_bytes) == 0 {
                return;
            }
            self.counters.evicted += 1;
            self.close(id, CloseReason::WriteStalled, out);
        }
    }

    /// The clients that do not read their response and whose memory others may claim, with the time at which they last took some of
    /// it, in order of that time.
    fn overdue_readers(&self, now: i64) -> Vec<(i64, ConnId)> {
        let mut readers: Vec<(i64, ConnId)> = self
            .connections
            .iter()
            .filter(|(_, client)| !client.buffer.output.is_empty())
            .map(|(id, client)| (client.last_write_progress_at, id))
            .filter(|(at, _)| now - at >= MAX_UNREAD_HOLD_US)
            .collect();
        readers.sort_unstable();
        readers
    }

    /// The clients whose reservation others may claim, with the time at which they got it, in order of that time.
    fn overdue_holders(&self, now: i64) -> Vec<(i64, ConnId)> {
        let is_overdue = |client: &ClientConnection, at: i64| {
            client.state == ClientState::AwaitingRequest
                && client.memory_wait.is_none()
                && now - at >= MAX_INCOMPLETE_HOLD_US
        };
        let mut holders: Vec<(i64, ConnId)> = self
            .connections
            .iter()
            .filter_map(|(id, client)| Some((client.reserved_at?, id, client)))
            .filter(|(at, _, client)| is_overdue(client, *at))
            .map(|(at, id, _)| (at, id))
            .collect();
        holders.sort_unstable();
        holders
    }
}
