//! The periodic check of all connections: idle timeouts, and responses that do not continue.

use super::connection::{CloseReason, Connection};
use super::Executors;
use crate::timer_event::TimerEvent;
use wheelfield_sans_io::{ConnId, EffectQueue};

/// Time after which an incomplete response, or a page that was requested, is overdue, in microseconds.
const STALL_TIMEOUT_US: i64 = 500_000;
/// Fraction of the executors' idle timeout after which an idle connection is closed here: a request must not cross the
/// executor's close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

impl Executors {
    /// Closes connections that have been idle for long or whose executor is no longer listed, and breaks those with an overdue
    /// response.
    pub fn check_connections(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let now = out.now;
        // What could not be written yet is written anew, with the time that its client has left by then.
        self.requeue_all_unwritten();
        let stalled = self.select(|connection| connection.is_stalled(now));
        let idle = self
            .select(|connection| !connection.is_stalled(now) && self.is_expired(connection, now));
        idle.into_iter()
            .for_each(|id| self.close(id, CloseReason::Idle, out));
        for id in stalled {
            self.counters.protocol_errors += 1;
            self.handle_broken(id, out);
        }
        self.forget_unlisted();
        self.expire_cut_requests(now);
    }

    fn select(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnId> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether a connection is idle, and has been so for too long or belongs to an executor that is no longer listed.
    fn is_expired(&self, connection: &Connection, now: i64) -> bool {
        let timeout = (self.limits.executor_idle_timeout_us as f64 * IDLE_TIMEOUT_FRACTION) as i64;
        let is_idle = connection.is_up && connection.load() == 0;
        is_idle
            && (!self.is_engine_listed(connection.engine) || now - connection.idle_since > timeout)
    }
}

impl Connection {
    /// Whether a response is overdue: one that is incomplete, or a page that was requested.
    fn is_stalled(&self, now: i64) -> bool {
        let is_overdue = |since: i64| now - since > STALL_TIMEOUT_US;
        self.partial_response_since.is_some_and(is_overdue)
            || self.running.values().any(|running| {
                running
                    .result
                    .as_ref()
                    .is_some_and(|result| is_overdue(result.last_page_at))
            })
    }
}
