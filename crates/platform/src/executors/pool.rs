//! The connection pool: assigns attempts to connections, and opens and closes connections.

use super::connection::{CloseReason, Connection};
use super::{AttemptLocation, DelayedAttempt, Executors, InterruptedRequest, PendingAttempt};
use crate::executor_protocol::RequestId;
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield::interface::{EngineId, Outcome};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnId, Effect, EffectQueue};

/// Time that an executor may need to notice that a connection was closed, in microseconds. Until then a request that was on the
/// connection is not sent to the same executor again, because the executor might run both copies.
const CLOSE_NOTICE_DELAY_US: i64 = 20_000;

impl Executors {
    /// Assigns an attempt to a connection to this executor, opening one if needed. Once the connection is established,
    /// [`Executors::next_ready`] returns it. The attempt ends with [`Outcome::ConnectFailed`] if the executor is not known, and
    /// with [`Outcome::Full`] if all connections are in use.
    pub fn launch(
        &mut self,
        engine: EngineId,
        attempt: PendingAttempt,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        if !self.by_engine.contains_key(&engine) {
            self.report_end(attempt.id, Outcome::ConnectFailed);
            return;
        }
        self.expire_interrupted_requests(out.now);
        if self.is_request_interrupted(attempt.request, engine) {
            out.set_timer_after(
                CLOSE_NOTICE_DELAY_US,
                TimerEvent::ReleaseDelayed(attempt.id),
            );
            self.delayed_attempts
                .push(DelayedAttempt { engine, attempt });
            return;
        }
        let id = match self.choose_connection(engine, attempt.request) {
            Some(id) => id,
            None => {
                if !self.is_below_connection_limit() && !self.evict_idle(out) {
                    self.counters.no_connection += 1;
                    self.report_end(attempt.id, Outcome::Full);
                    return;
                }
                let Some(id) = self.connect(engine, out) else {
                    return;
                };
                id
            }
        };
        self.assign(id, attempt);
    }

    /// Launches a delayed attempt, unless it was cancelled in the meantime.
    pub fn release_delayed(&mut self, attempt: AttemptId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(position) = self
            .delayed_attempts
            .iter()
            .position(|delayed| delayed.attempt.id == attempt)
        {
            let DelayedAttempt { engine, attempt } = self.delayed_attempts.swap_remove(position);
            self.launch(engine, attempt, out);
        }
    }

    fn is_below_connection_limit(&self) -> bool {
        self.connections.len() < self.limits.max_connections
    }

    /// Chooses the existing connection for an attempt; `None` if a new one should be opened.
    fn choose_connection(&self, engine: EngineId, request: RequestId) -> Option<ConnId> {
        let executor = self.by_engine.get(&engine)?;
        let accepting: Vec<(ConnId, &Connection)> = executor
            .connections
            .iter()
            .filter_map(|id| {
                self.connections
                    .get(*id)
                    .map(|connection| (*id, connection))
            })
            .filter(|(_, connection)| connection.accepts(request, self.limits.max_streams))
            .collect();
        // If an earlier attempt under the same id was cancelled on a connection, use that one: on another connection the request
        // could overtake the cancellation, and the executor would hold two copies and cancel the wrong one.
        let with_cancellation = accepting
            .iter()
            .find(|(_, c)| c.cancelled_ids.contains(&request));
        // Otherwise prefer an idle connection, on which an invalid response to another attempt can't affect this one. Among the
        // idle ones, use the one that became idle last, so that the others reach their idle timeout. A connection on which an
        // attempt under the same id failed is the last choice: a duplicate of that response would be matched to this attempt.
        let has_failed = |c: &Connection| c.failed_ids.contains(&request);
        let idle = accepting
            .iter()
            .filter(|(_, c)| c.is_connected && c.attempt_count() == 0 && !has_failed(c))
            .max_by_key(|(_, c)| c.idle_since);
        if let Some((id, _)) = with_cancellation.or(idle) {
            return Some(*id);
        }
        if self.is_below_connection_limit() {
            return None;
        }
        accepting
            .iter()
            .min_by_key(|(_, c)| (has_failed(c), !c.is_connected, c.attempt_count()))
            .map(|(id, _)| *id)
    }

    fn assign(&mut self, id: ConnId, attempt: PendingAttempt) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let location = AttemptLocation {
            connection: id,
            request: attempt.request,
        };
        self.locations.insert(attempt.id, location);
        connection.queued.push(attempt);
        if connection.is_connected {
            self.ready_connections.push_back(id);
        }
    }

    fn connect(&mut self, engine: EngineId, out: &mut EffectQueue<TimerEvent>) -> Option<ConnId> {
        let executor = self.by_engine.get_mut(&engine)?;
        let id = self
            .connections
            .insert(Connection::new(engine, executor.address, out.now));
        let timer = out.set_timer_after(
            self.limits.connect_timeout_us,
            TimerEvent::ConnectTimeout(id),
        );
        self.connections.get_mut(id)?.connect_timer = Some(timer);
        executor.connections.push(id);
        self.counters.connects += 1;
        out.push(Effect::Connect(id, executor.address));
        Some(id)
    }

    /// Closes one connection that has no attempts, to make room for another. Connections that are still connecting come first, then
    /// the one that has been idle for the longest time. Returns `false` if all connections have attempts.
    fn evict_idle(&mut self, out: &mut EffectQueue<TimerEvent>) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.attempt_count() == 0);
        let oldest =
            idle.min_by_key(|(_, connection)| (connection.is_connected, connection.idle_since));
        let Some(id) = oldest.map(|(id, _)| id) else {
            return false;
        };
        self.close(id, CloseReason::Evicted, out);
        true
    }

    /// Handles a completed connect: the attempts queued on the connection can be written.
    pub fn handle_connected(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.is_connected = true;
            connection.idle_since = out.now;
            out.cancel_timer(&mut connection.connect_timer);
            self.ready_connections.push_back(id);
        }
    }

    /// Handles the executor closing its side: the connection accepts no new attempts and is closed as soon as it has none.
    pub fn handle_peer_closing(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.buffer.peer_closing = true;
            if connection.attempt_count() == 0 {
                self.close(id, CloseReason::PeerClosing, out);
            }
        }
    }

    /// Closes a connection if it is idle and accepts no new attempts; see [`Connection::is_retired`].
    pub(super) fn close_if_retired(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if self.connections.get(id).is_some_and(Connection::is_retired) {
            self.close(id, CloseReason::Retired, out);
        }
    }

    /// Closes a connection. All closes go through this method, which records the requests that were cancelled on the connection.
    pub(super) fn close(
        &mut self,
        id: ConnId,
        reason: CloseReason,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(mut connection) = self.connections.remove(id) else {
            return;
        };
        debug!(
            connection = id.as_u64(),
            executor = connection.engine.0,
            ?reason,
            "executor connection closed"
        );
        out.cancel_timer(&mut connection.connect_timer);
        // The executor cancels these requests when it notices the close at the latest. A new attempt under the same id must not
        // reach it before.
        for request in &connection.cancelled_ids {
            self.record_interrupted_request(*request, connection.engine, out.now);
        }
        if let Some(executor) = self.by_engine.get_mut(&connection.engine) {
            executor.connections.retain(|other| *other != id);
        }
        out.push(Effect::Close(id));
    }

    /// Records that the connection of a request was closed.
    pub(super) fn record_interrupted_request(
        &mut self,
        request: RequestId,
        engine: EngineId,
        now: i64,
    ) {
        self.interrupted_requests.push(InterruptedRequest {
            request,
            engine,
            closed_at: now,
        });
    }

    fn is_request_interrupted(&self, request: RequestId, engine: EngineId) -> bool {
        self.interrupted_requests
            .iter()
            .any(|interrupted| interrupted.request == request && interrupted.engine == engine)
    }

    /// Removes interrupted requests whose executor has had time to notice the close of their connection.
    pub(super) fn expire_interrupted_requests(&mut self, now: i64) {
        self.interrupted_requests
            .retain(|interrupted| now - interrupted.closed_at < CLOSE_NOTICE_DELAY_US);
    }
}
