//! The periodic check of all connections for idle timeouts and stalled responses.

use super::connection::{CloseReason, Connection};
use super::Executors;
use crate::timer_event::TimerEvent;
use wheelfield_sans_io::{ConnId, EffectQueue};

/// Time after which an incomplete response or a requested page is overdue, in microseconds.
const STALL_TIMEOUT_US: i64 = 500_000;
/// Fraction of the executors' idle timeout after which an idle connection is closed by this process, so that no request is sent
/// on a connection that the executor is closing at the same time.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

impl Executors {
    /// Closes idle connections that have reached their timeout or whose executor is no longer listed, and closes connections with
    /// an overdue response as broken. Also queues unwritten requests to be written again.
    pub fn check_connections(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let now = out.now;
        // Requests that could not be written yet are encoded again, with the time limit that their clients have left by then.
        self.requeue_all_unwritten();
        let stalled = self.find_connections(|connection| connection.is_stalled(now));
        let idle = self.find_connections(|connection| {
            !connection.is_stalled(now) && self.is_expired(connection, now)
        });
        idle.into_iter()
            .for_each(|id| self.close(id, CloseReason::Idle, out));
        for id in stalled {
            self.counters.protocol_errors += 1;
            self.handle_broken(id, out);
        }
        self.forget_unlisted();
        self.expire_interrupted_requests(now);
    }

    fn find_connections(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnId> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns whether a connection is idle and has either reached the idle timeout or belongs to an unlisted executor.
    fn is_expired(&self, connection: &Connection, now: i64) -> bool {
        let timeout = (self.limits.executor_idle_timeout_us as f64 * IDLE_TIMEOUT_FRACTION) as i64;
        let is_idle = connection.is_connected && connection.attempt_count() == 0;
        is_idle
            && (!self.is_engine_listed(connection.engine) || now - connection.idle_since > timeout)
    }
}

impl Connection {
    /// Returns whether the rest of an incomplete response or a requested page is overdue.
    fn is_stalled(&self, now: i64) -> bool {
        let is_overdue = |since: i64| now - since > STALL_TIMEOUT_US;
        self.partial_response_since.is_some_and(is_overdue)
            || self.running.values().any(|running| {
                let result = running.result.as_ref();
                result
                    .and_then(|result| result.fetched_since)
                    .is_some_and(is_overdue)
            })
    }
}
