//! Accepts client connections and closes them, on demand and when a timeout has expired.

use super::connection::{ClientConnection, ExpiredTimeout};
use super::memory::MemoryCharge;
use super::Clients;
use crate::http_server::RequestError;
use crate::invariants::{check_closing, CloseReason, ClosingViolation};
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield_sans_io::{ConnId, Effect, EffectQueue};

impl Clients {
    /// Accepts a client, evicting another connection if the limit is reached; `None` if no connection can be evicted.
    pub fn accept(&mut self, out: &mut EffectQueue<TimerEvent>) -> Option<ConnId> {
        if self.connections.len() >= self.max_clients && !self.evict_one(out) {
            self.counters.rejected += 1;
            return None;
        }
        self.counters.accepted += 1;
        Some(self.connections.insert(ClientConnection::new(out.now)))
    }

    /// Closes the connection with the lowest eviction rank. Returns whether a connection could be closed.
    fn evict_one(&mut self, out: &mut EffectQueue<TimerEvent>) -> bool {
        let now = out.now;
        let candidates = self
            .connections
            .iter()
            .filter_map(|(id, client)| Some((client.eviction_rank(now)?, id)));
        let Some((_, id)) = candidates.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        self.counters.evicted += 1;
        self.close(id, CloseReason::Evicted, out);
        true
    }

    /// Closes a connection. All closes go through this method, so that each is checked and counted.
    pub fn close(&mut self, id: ConnId, reason: CloseReason, out: &mut EffectQueue<TimerEvent>) {
        self.end_memory_wait(id, out);
        let Some(mut client) = self.connections.remove(id) else {
            return;
        };
        self.memory
            .change_charge(&mut client.charge, MemoryCharge::default());
        if let Err(violation) = check_closing(&client.close_context(reason)) {
            self.closing_violations.push((id, violation));
        }
        self.counters.closed[reason as usize] += 1;
        debug!(
            connection = id.as_u64(),
            ?reason,
            "client connection closed"
        );
        out.push(Effect::Close(id));
    }

    /// Takes the violations of the closing invariant since the last call.
    pub fn take_closing_violations(&mut self) -> Vec<(ConnId, ClosingViolation)> {
        std::mem::take(&mut self.closing_violations)
    }

    /// Rejects incomplete requests that timed out, closes connections whose timeout has expired, and refuses incomplete
    /// requests that others wait for.
    /// `wanted_bytes` is the memory for which results wait.
    pub fn check_timeouts(&mut self, wanted_bytes: usize, out: &mut EffectQueue<TimerEvent>) {
        self.reclaim_memory(wanted_bytes, out);
        let now = out.now;
        let expired: Vec<(ConnId, ExpiredTimeout)> = self
            .connections
            .iter()
            .filter_map(|(id, client)| Some((id, client.expired_timeout(now)?)))
            .collect();
        for (id, _) in expired
            .iter()
            .filter(|(_, timeout)| *timeout == ExpiredTimeout::RejectRequest)
        {
            self.reject_request(*id, RequestError::TimedOut, out);
        }
        for (id, timeout) in expired {
            if let ExpiredTimeout::Close(reason) = timeout {
                self.counters.evicted += 1;
                self.close(id, reason, out);
            }
        }
    }

    /// Closes all idle connections. Connections in use are left open for a later call.
    pub fn close_idle(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let idle: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, client)| client.is_idle(out.now))
            .map(|(id, _)| id)
            .collect();
        idle.into_iter()
            .for_each(|id| self.close(id, CloseReason::Shutdown, out));
    }

    /// Closes all connections, including those with pending responses. Used only to inject a fault.
    pub fn close_all(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
        all.into_iter()
            .for_each(|id| self.close(id, CloseReason::Shutdown, out));
    }

    /// Whether any client has an outstanding request or response.
    pub fn has_outstanding(&self, now: i64) -> bool {
        self.connections
            .iter()
            .any(|(_, client)| !client.is_idle(now))
    }
}
