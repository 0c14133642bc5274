//! Failed connections: ends or reassigns the attempts that were on them.

use super::connection::{CloseReason, RunningAttempt};
use super::{DelayedAttempt, Executors, PendingAttempt};
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield::interface::{EngineId, Outcome};
use wheelfield_sans_io::{ConnId, EffectQueue};

/// Number of connections that may fail before any byte of an attempt's request is written. With the next such failure the attempt
/// ends with [`Outcome::ConnectFailed`].
const MAX_CONNECTION_LOSSES: u8 = 3;
/// Delay before retrying a connect that this machine was unable to start, in microseconds.
const CONNECT_RETRY_US: i64 = 20_000;
/// Maximum time that an attempt waits until this machine can start a connect, in microseconds.
const MAX_CONNECT_WAIT_US: i64 = 1_000_000;

/// The way in which a connection failed.
#[derive(Clone, Copy, Debug)]
enum ConnectionLoss {
    /// The connect was refused because nothing listens at the executor's address.
    ConnectRefused,
    /// The connect timed out, or the executor is unreachable.
    ConnectTimedOut,
    /// This machine was unable to start the connect.
    ConnectImpossible,
    /// The connection broke, or a protocol error made it unusable.
    Broken,
}

impl ConnectionLoss {
    /// Returns the outcome of the attempts that waited for the connect, or `None` if the failure does not show that the executor is
    /// unreachable.
    fn connect_outcome(self) -> Option<Outcome> {
        match self {
            ConnectionLoss::ConnectRefused => Some(Outcome::ConnectFailed),
            ConnectionLoss::ConnectTimedOut => Some(Outcome::ConnectTimedOut),
            ConnectionLoss::ConnectImpossible | ConnectionLoss::Broken => None,
        }
    }
}

impl Executors {
    /// Handles a refused connect: the attempts that waited for it end with [`Outcome::ConnectFailed`].
    pub fn handle_connect_refused(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.handle_connection_loss(id, ConnectionLoss::ConnectRefused, out);
    }

    /// Handles a connect timeout: the attempts that waited for the connect end with [`Outcome::ConnectTimedOut`].
    pub fn handle_connect_timeout(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.handle_connection_loss(id, ConnectionLoss::ConnectTimedOut, out);
    }

    /// Handles a connect that this machine was unable to start. This says nothing about the executor and may be temporary, so the
    /// attempts wait and are retried.
    pub fn handle_connect_impossible(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.counters.impossible_connects += 1;
        self.handle_connection_loss(id, ConnectionLoss::ConnectImpossible, out);
    }

    /// Handles a connection that broke or became unusable. The outcome of each attempt on it depends on how much of its request was
    /// written; attempts of which nothing was written are assigned to another connection.
    pub fn handle_broken(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.handle_connection_loss(id, ConnectionLoss::Broken, out);
    }

    /// Reassigns attempts after an executor's address or process has changed: those of which nothing was written leave the connections
    /// to the former one; those already dispatched may still complete there.
    pub(super) fn reassign_after_move(
        &mut self,
        engine: EngineId,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(executor) = self.by_engine.get(&engine) else {
            return;
        };
        for id in executor.connections.clone() {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            let has_dispatched = connection.running.values().any(|r| r.is_dispatched);
            if !has_dispatched {
                self.handle_connection_loss(id, ConnectionLoss::Broken, out);
                continue;
            }
            connection.requeue_unwritten();
            for attempt in std::mem::take(&mut connection.queued) {
                self.reassign(engine, attempt, ConnectionLoss::Broken, out);
            }
        }
    }

    /// Removes the requests of which no byte was written from a connection's output buffer and queues them to be written again.
    pub fn requeue_unwritten(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.requeue_unwritten();
        if connection.is_connected && !connection.queued.is_empty() {
            self.ready_connections.push_back(id);
        }
    }

    /// Calls [`Executors::requeue_unwritten`] for all connections.
    pub fn requeue_all_unwritten(&mut self) {
        let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.requeue_unwritten(id));
    }

    /// Closes a failed connection and ends or reassigns each attempt on it.
    fn handle_connection_loss(
        &mut self,
        id: ConnId,
        loss: ConnectionLoss,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let (engine, bytes_written) = (connection.engine, connection.bytes_written);
        debug!(
            executor = engine.0,
            ?loss,
            is_up = connection.is_connected,
            bytes_written,
            queued = connection.queued.len(),
            running = connection.running.len(),
            "connection lost"
        );
        let mut unsent = std::mem::take(&mut connection.queued);
        let running = std::mem::take(&mut connection.running);
        self.close(id, CloseReason::Lost, out);
        for running in running.into_values() {
            self.locations.remove(&running.attempt.id);
            if running.is_dispatched {
                self.end_dispatched_attempt(engine, &running, bytes_written, out.now);
            } else {
                unsent.push(running.attempt);
            }
        }
        for attempt in unsent {
            self.reassign(engine, attempt, loss, out);
        }
    }

    /// Delays an attempt until a connect may be possible again. After [`MAX_CONNECT_WAIT_US`] it ends with [`Outcome::NeverSent`].
    fn wait_for_connect(
        &mut self,
        engine: EngineId,
        mut attempt: PendingAttempt,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let since = *attempt.connect_blocked_since.get_or_insert(out.now);
        if out.now - since > MAX_CONNECT_WAIT_US {
            return self.report_end(attempt.id, Outcome::NeverSent);
        }
        out.set_timer_after(CONNECT_RETRY_US, TimerEvent::ReleaseDelayed(attempt.id));
        self.delayed_attempts
            .push(DelayedAttempt { engine, attempt });
    }

    /// Ends an attempt whose connection broke after at least one byte of its request was written.
    fn end_dispatched_attempt(
        &mut self,
        engine: EngineId,
        running: &RunningAttempt,
        bytes_written: u64,
        now: i64,
    ) {
        self.record_interrupted_request(running.attempt.request, engine, now);
        // The executor does not run a request that it received only in part.
        let is_complete = bytes_written >= running.request_bytes.end;
        let outcome = if is_complete {
            Outcome::Reset
        } else {
            Outcome::NeverSent
        };
        debug!(attempt = %running.attempt.id, executor = engine.0, ?outcome, "attempt lost its connection");
        self.report_end(running.attempt.id, outcome);
    }

    /// Assigns an attempt of which nothing was written to another connection, unless the executor is unreachable. An executor whose
    /// connections break immediately after they are established still listens, so the attempt fails only after several such losses.
    fn reassign(
        &mut self,
        engine: EngineId,
        mut attempt: PendingAttempt,
        loss: ConnectionLoss,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        self.locations.remove(&attempt.id);
        if matches!(loss, ConnectionLoss::ConnectImpossible) {
            return self.wait_for_connect(engine, attempt, out);
        }
        attempt.connect_blocked_since = None;
        attempt.connection_losses += 1;
        match loss.connect_outcome() {
            Some(outcome) => self.report_end(attempt.id, outcome),
            None if attempt.connection_losses > MAX_CONNECTION_LOSSES => {
                self.report_end(attempt.id, Outcome::ConnectFailed);
            }
            None => self.launch(engine, attempt, out),
        }
    }
}
