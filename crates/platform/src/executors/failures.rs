//! Connections that failed, and what becomes of the attempts on them.

use super::connection::{CloseReason, RunningAttempt};
use super::{DelayedAttempt, Executors, PendingAttempt};
use crate::timer_event::TimerEvent;
use tracing::debug;
use wheelfield::interface::{EngineId, Outcome};
use wheelfield_sans_io::{ConnId, EffectQueue};

/// Connections that may break under an attempt before any of its request is written; after one more it has found none.
const MAX_CONNECTION_LOSSES: u8 = 3;
/// Time after which a connect is tried again that this machine could not try, in microseconds.
const CONNECT_RETRY_US: i64 = 20_000;
/// Maximum time that an attempt waits for one, in microseconds.
const MAX_CONNECT_WAIT_US: i64 = 1_000_000;

/// Why a connection is lost.
#[derive(Clone, Copy, Debug)]
enum ConnectionLoss {
    /// Nothing listens at the executor's address.
    ConnectRefused,
    /// The connect did not complete in time, or the executor cannot be reached.
    ConnectTimedOut,
    /// This machine could not try to connect.
    ConnectImpossible,
    /// The connection broke, or can no longer be used.
    Broken,
}

impl ConnectionLoss {
    /// The outcome of the attempts that waited for the connect, if the executor can't be connected to.
    fn connect_outcome(self) -> Option<Outcome> {
        match self {
            ConnectionLoss::ConnectRefused => Some(Outcome::ConnectFailed),
            ConnectionLoss::ConnectTimedOut => Some(Outcome::ConnectTimedOut),
            ConnectionLoss::ConnectImpossible | ConnectionLoss::Broken => None,
        }
    }
}

impl Executors {
    /// Handles a refused connect.
    pub fn handle_connect_refused(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.lose_connection(id, ConnectionLoss::ConnectRefused, out);
    }

    /// Handles a connect that did not complete in time.
    pub fn handle_connect_timeout(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.lose_connection(id, ConnectionLoss::ConnectTimedOut, out);
    }

    /// Handles a connect that this machine could not try. It tells nothing of the executor, and may be possible soon.
    pub fn handle_connect_impossible(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.counters.impossible_connects += 1;
        self.lose_connection(id, ConnectionLoss::ConnectImpossible, out);
    }

    /// Handles a connection that broke, or that can no longer be used. Each attempt on it ends by how much of its request was
    /// written; those with nothing written are assigned to another connection.
    pub fn handle_broken(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        self.lose_connection(id, ConnectionLoss::Broken, out);
    }

    /// Moves the attempts of which nothing was written off the connections to the former address of an executor. Those that were
    /// written may still end there.
    pub(super) fn take_off_former_address(
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
                self.lose_connection(id, ConnectionLoss::Broken, out);
                continue;
            }
            connection.requeue_unwritten();
            for attempt in std::mem::take(&mut connection.queued) {
                self.relaunch(engine, attempt, ConnectionLoss::Broken, out);
            }
        }
    }

    /// Takes the requests of which nothing was written back from the output of a connection, to be written anew.
    pub fn requeue_unwritten(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.requeue_unwritten();
        if connection.is_up && !connection.queued.is_empty() {
            self.ready.push_back(id);
        }
    }

    /// Takes the requests of which nothing was written back from the output of all connections.
    pub fn requeue_all_unwritten(&mut self) {
        let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.requeue_unwritten(id));
    }

    fn lose_connection(
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
            is_up = connection.is_up,
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
                self.end_dispatched(engine, &running, bytes_written, out.now);
            } else {
                unsent.push(running.attempt);
            }
        }
        for attempt in unsent {
            self.relaunch(engine, attempt, loss, out);
        }
    }

    /// Has an attempt wait until a connect may be possible again; after some time it is known not to have been sent.
    fn wait_for_connect(
        &mut self,
        engine: EngineId,
        mut attempt: PendingAttempt,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let since = *attempt.no_connect_since.get_or_insert(out.now);
        if out.now - since > MAX_CONNECT_WAIT_US {
            return self.report_end(attempt.id, Outcome::NeverSent);
        }
        out.set_timer_after(CONNECT_RETRY_US, TimerEvent::ReleaseDelayed(attempt.id));
        self.delayed.push(DelayedAttempt { engine, attempt });
    }

    /// Ends an attempt whose connection broke after at least one byte of its request was written.
    fn end_dispatched(
        &mut self,
        engine: EngineId,
        running: &RunningAttempt,
        bytes_written: u64,
        now: i64,
    ) {
        self.record_cut(running.attempt.request, engine, now);
        // A request that was not written completely has not run.
        let is_complete = bytes_written >= running.request_bytes.end;
        let outcome = if is_complete {
            Outcome::Reset
        } else {
            Outcome::NeverSent
        };
        debug!(attempt = %running.attempt.id, executor = engine.0, ?outcome, "attempt lost its connection");
        self.report_end(running.attempt.id, outcome);
    }

    /// Assigns an attempt of which nothing was written to another connection, unless the executor can't be connected to. An
    /// executor whose connections break as they come up still listens, and must not be taken for dead at once.
    fn relaunch(
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
        attempt.no_connect_since = None;
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
