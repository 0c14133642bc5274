//! Connections to executors and the attempts on them.
//!
//! [`Executors`] holds the executor list and a connection pool. Its methods are grouped by concern: `pool` opens and closes
//! connections and assigns attempts to them, `requests` writes requests and cancellations, `responses` handles responses,
//! `failures` handles failed connections, and `timeouts` runs the periodic checks. The progress and the outcome of attempts are
//! reported as [`AttemptEvent`]s.

mod attempts;
mod connection;
mod failures;
mod pool;
mod requests;
mod responses;
mod timeouts;

pub use attempts::{AttemptEvent, EndedAttempt, PendingAttempt};

use crate::bootstrap::ProtocolLimits;
use crate::executor_protocol::{RequestId, MAX_RESPONSE_BYTES};
use crate::invariants::ListedState;
use crate::timer_event::TimerEvent;
use connection::{CloseReason, Connection};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wheelfield::interface::{EngineId, Micros, Outcome, Status};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, EffectQueue};

/// Owner number that the [`ConnId`]s of executor connections carry.
pub const OWNER: u8 = 2;
/// Maximum size of a connection's input buffer.
const MAX_INPUT_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

/// An executor and the connections to it.
#[derive(Debug)]
struct Executor {
    address: SocketAddr,
    connections: Vec<ConnId>,
    /// Status in the latest executor list; `None` if the list does not contain it.
    listed_status: Option<Status>,
    /// Start time of its process as listed last.
    started_at: Option<Micros>,
}

/// An entry of the executor list.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor {
    /// Identifier of the executor.
    pub engine: EngineId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub status: Status,
    /// Start time of its process as the list states it; `None` if the list states none.
    pub started_at: Option<Micros>,
}

/// How an entry of the executor list differs from the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryChange {
    /// The same process is at the same address.
    None,
    /// The address has changed.
    Moved,
    /// Another process has started at the same address.
    Restarted,
}

/// The differences between an executor list and the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Number of executors that the previous list did not contain.
    pub added: usize,
    /// Number of executors that were draining and accept work again.
    pub readmitted: usize,
    /// Number of executors whose address changed.
    pub moved: usize,
    /// Number of executors whose process was replaced by another one at the same address.
    pub restarted: usize,
    /// Executors that have started to drain.
    pub draining: Vec<EngineId>,
    /// Executors that the new list no longer contains.
    pub removed: Vec<EngineId>,
}

/// Counters of connections and attempts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounters {
    /// Connects started.
    pub connects: u64,
    /// Connections closed because of an invalid, incomplete or overdue response.
    pub protocol_errors: u64,
    /// Responses that do not belong to a running attempt.
    pub unmatched_responses: u64,
    /// Responses that ended an attempt, but may belong to an earlier one under the same request id.
    pub ambiguous_responses: u64,
    /// Attempts rejected because all connections were in use.
    pub no_connection: u64,
    /// Connects that this machine was unable to start.
    pub impossible_connects: u64,
}

/// Limits and timeouts of the connections to executors.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections to all executors together.
    pub max_connections: usize,
    /// Maximum number of concurrent attempts on one connection.
    pub max_streams: usize,
    /// Connect timeout in microseconds.
    pub connect_timeout_us: i64,
    /// Idle timeout after which executors close a connection, in microseconds.
    pub executor_idle_timeout_us: i64,
}

impl ConnectionLimits {
    /// The limits of the settings, with this maximum number of connections.
    pub fn of(limits: &ProtocolLimits, max_connections: usize) -> ConnectionLimits {
        ConnectionLimits {
            max_connections,
            max_streams: limits.max_streams.max(1),
            connect_timeout_us: limits.connect_timeout_us,
            executor_idle_timeout_us: limits.executor_idle_timeout_us,
        }
    }
}

/// The connection that an attempt is assigned to, and its request id there.
#[derive(Clone, Copy, Debug)]
struct AttemptLocation {
    connection: ConnId,
    request: RequestId,
}

/// A request whose connection was closed before the executor was known to have finished it. The request was either still running
/// or had been cancelled on that connection.
#[derive(Debug)]
struct InterruptedRequest {
    request: RequestId,
    engine: EngineId,
    closed_at: i64,
}

/// An attempt that is not assigned to a connection yet. It waits until the executor has noticed the end of an earlier attempt under
/// the same request id, or until this machine may be able to start a connect again.
#[derive(Debug)]
struct DelayedAttempt {
    engine: EngineId,
    attempt: PendingAttempt,
}

/// The executor list and the pool of connections to the executors.
#[derive(Debug)]
pub struct Executors {
    limits: ConnectionLimits,
    by_engine: BTreeMap<EngineId, Executor>,
    connections: ConnectionTable<Connection>,
    locations: BTreeMap<AttemptId, AttemptLocation>,
    events: VecDeque<AttemptEvent>,
    /// Established connections that may have queued attempts.
    ready_connections: VecDeque<ConnId>,
    /// Requests whose connection was closed within the last `CLOSE_NOTICE_DELAY_US` (see `pool`). Expired entries are dropped at
    /// each launch and at each periodic check, which bounds the length.
    interrupted_requests: Vec<InterruptedRequest>,
    delayed_attempts: Vec<DelayedAttempt>,
    /// Counters for the metrics endpoint.
    pub counters: ExecutorCounters,
}

impl Executors {
    /// Creates a pool without executors and connections.
    pub fn new(limits: ConnectionLimits) -> Executors {
        Executors {
            limits,
            by_engine: BTreeMap::new(),
            connections: ConnectionTable::new(OWNER),
            locations: BTreeMap::new(),
            events: VecDeque::new(),
            ready_connections: VecDeque::new(),
            interrupted_requests: Vec::new(),
            delayed_attempts: Vec::new(),
            counters: ExecutorCounters::default(),
        }
    }

    /// Replaces the executor list and returns the differences from the previous one. Idle connections to executors that are no
    /// longer listed or whose address changed are closed.
    pub fn replace_list(
        &mut self,
        list: Vec<ListedExecutor>,
        out: &mut EffectQueue<TimerEvent>,
    ) -> ListChange {
        let mut change = ListChange::default();
        let before: BTreeMap<EngineId, Option<Status>> = self
            .by_engine
            .iter_mut()
            .map(|(engine, executor)| (*engine, executor.listed_status.take()))
            .collect();
        for listed in list {
            let state_before = before.get(&listed.engine).copied().flatten();
            let has_changed = state_before != Some(listed.status);
            if listed.status == Status::Draining && has_changed {
                change.draining.push(listed.engine);
            }
            change.added += usize::from(state_before.is_none());
            change.readmitted +=
                usize::from(state_before == Some(Status::Draining) && listed.status == Status::Up);
            let entry_change = self.update_executor(listed);
            change.moved += usize::from(entry_change == EntryChange::Moved);
            change.restarted += usize::from(entry_change == EntryChange::Restarted);
            if entry_change != EntryChange::None {
                self.reassign_after_move(listed.engine, out);
            }
        }
        let is_removed = |(engine, state): &(&EngineId, &Option<Status>)| {
            state.is_some() && !self.is_engine_listed(**engine)
        };
        let removed = before.iter().filter(is_removed);
        change.removed = removed.map(|(engine, _)| *engine).collect();
        let unusable = |connection: &Connection| {
            connection.attempt_count() == 0
                && (connection.buffer.peer_closing || !self.is_engine_listed(connection.engine))
        };
        let unused: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, c)| unusable(c))
            .map(|(id, _)| id)
            .collect();
        unused
            .into_iter()
            .for_each(|id| self.close(id, CloseReason::Unlisted, out));
        self.forget_unlisted();
        change
    }

    /// Adds or updates an executor of the list.
    fn update_executor(&mut self, listed: ListedExecutor) -> EntryChange {
        let ListedExecutor {
            engine,
            address,
            status,
            started_at,
        } = listed;
        let executor = self.by_engine.entry(engine).or_insert_with(|| Executor {
            address,
            connections: Vec::new(),
            listed_status: None,
            started_at,
        });
        let change = if executor.address != address {
            EntryChange::Moved
        } else if started_at.is_some() && executor.started_at != started_at {
            EntryChange::Restarted
        } else {
            EntryChange::None
        };
        if change != EntryChange::None {
            // The former address may now belong to another executor, and connections to a former process may stay open and silent, so
            // no new attempt may be sent there.
            for id in &executor.connections {
                if let Some(connection) = self.connections.get_mut(*id) {
                    connection.buffer.peer_closing = true;
                }
            }
        }
        executor.address = address;
        executor.listed_status = Some(status);
        executor.started_at = started_at.or(executor.started_at);
        change
    }

    /// Returns the state of an executor in the latest list.
    pub fn listed_state(&self, engine: EngineId) -> ListedState {
        let listed = self.by_engine.get(&engine).and_then(|e| e.listed_status);
        match listed {
            Some(Status::Up) => ListedState::Up,
            Some(Status::Draining) => ListedState::Draining,
            Some(Status::Removed) | None => ListedState::Missing,
        }
    }

    /// Returns the state in the latest list of the executor that a connection goes to; `Missing` if the executor is now listed with
    /// another address.
    pub fn listed_state_of_connection(&self, connection: ConnId) -> ListedState {
        let Some(connection) = self.connections.get(connection) else {
            return ListedState::Missing;
        };
        let executor = self.by_engine.get(&connection.engine);
        if executor.is_some_and(|executor| executor.address == connection.address) {
            self.listed_state(connection.engine)
        } else {
            ListedState::Missing
        }
    }

    /// Returns the executor that a connection goes to.
    pub fn engine_of_connection(&self, connection: ConnId) -> Option<EngineId> {
        self.connections.get(connection).map(|c| c.engine)
    }

    /// Returns the executor whose connection an attempt is assigned to.
    pub fn engine_of_attempt(&self, attempt: AttemptId) -> Option<EngineId> {
        let location = self.locations.get(&attempt)?;
        Some(self.connections.get(location.connection)?.engine)
    }

    fn is_engine_listed(&self, engine: EngineId) -> bool {
        self.by_engine
            .get(&engine)
            .is_some_and(|executor| executor.listed_status.is_some())
    }

    /// Removes executors that are neither listed nor connected.
    fn forget_unlisted(&mut self) {
        self.by_engine.retain(|_, executor| {
            executor.listed_status.is_some() || !executor.connections.is_empty()
        });
    }

    /// Returns the number of executors, including unlisted ones that still have connections.
    pub fn executor_count(&self) -> usize {
        self.by_engine.len()
    }

    /// Returns the number of connections to all executors.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the input and output buffers of a connection.
    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections
            .get_mut(id)
            .map(|connection| &mut connection.buffer)
    }

    /// Returns the number of bytes that may be read from a connection now.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.buffer(id)
            .map_or(0, |buffer| buffer.read_capacity(MAX_INPUT_BYTES))
    }

    /// Records that `count` bytes of a connection's output were written, and reports the attempts that this dispatched.
    pub fn bytes_written(&mut self, id: ConnId, count: usize) {
        let executor = self.listed_state_of_connection(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        for (attempt, request) in connection.advance_written(count) {
            self.events.push_back(AttemptEvent::Dispatched {
                attempt,
                request,
                executor,
            });
        }
    }

    /// Removes and returns the oldest pending event.
    pub fn next_event(&mut self) -> Option<AttemptEvent> {
        self.events.pop_front()
    }

    /// Removes and returns an established connection that may have queued attempts; [`Executors::take_queued`] returns these.
    pub fn next_ready(&mut self) -> Option<ConnId> {
        self.ready_connections.pop_front()
    }

    /// Reports that an attempt ended without a report from the executor.
    fn report_end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let ended = EndedAttempt::without_report(attempt, outcome);
        self.events.push_back(AttemptEvent::Ended(Box::new(ended)));
    }
}
