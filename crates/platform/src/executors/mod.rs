//! Connections to executors, and the attempts on them.
//!
//! [`Executors`] holds the list of executors and a pool of connections. Its methods are grouped by concern: `pool` assigns
//! attempts to connections and opens and closes these, `requests` writes requests and cancellations, `responses` handles what
//! executors answer, `failures` handles connections that fail, and `timeouts` the periodic checks. What becomes of an attempt is
//! reported as an [`AttemptEvent`].

mod attempts;
mod connection;
mod failures;
mod pool;
mod requests;
mod responses;
mod timeouts;

pub use attempts::{AttemptEvent, EndedAttempt, PendingAttempt};

use crate::executor_protocol::{RequestId, MAX_RESPONSE_BYTES};
use crate::invariants::ListedState;
use crate::timer_event::TimerEvent;
use connection::{CloseReason, Connection};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wheelfield::interface::{EngineId, Outcome, Status};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, EffectQueue};

/// Owner number of these connections in their [`ConnId`].
pub const OWNER: u8 = 2;
/// Bytes that may wait in the input of a connection.
const MAX_INPUT_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

/// An executor.
#[derive(Debug)]
struct Executor {
    address: SocketAddr,
    connections: Vec<ConnId>,
    /// Its state in the last list; `None` if that does not name it.
    listed: Option<Status>,
}

/// An executor of a list.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor {
    /// Its number.
    pub engine: EngineId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub status: Status,
}

/// How a list differs from the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Number of executors that the one before did not name.
    pub added: usize,
    /// Number of executors that take work again.
    pub readmitted: usize,
    /// Number of executors with another address.
    pub moved: usize,
    /// Executors that take work no longer.
    pub draining: Vec<EngineId>,
    /// Executors that it no longer names.
    pub removed: Vec<EngineId>,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounters {
    /// Connects begun.
    pub connects: u64,
    /// Connections closed because of an invalid, incomplete or overdue response.
    pub protocol_errors: u64,
    /// Responses that belong to no running attempt.
    pub unmatched_responses: u64,
    /// Attempts that found no connection.
    pub no_connection: u64,
    /// Connects that this machine could not try.
    pub impossible_connects: u64,
}

/// Limits of the connections to executors.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections to all executors.
    pub max_connections: usize,
    /// Attempts on one connection at the same time.
    pub max_streams: usize,
    /// Time after which a connect has failed, in microseconds.
    pub connect_timeout_us: i64,
    /// Time after which executors close an idle connection, in microseconds.
    pub executor_idle_timeout_us: i64,
}

/// The connection that an attempt is on, and the id of its request there.
#[derive(Clone, Copy, Debug)]
struct AttemptLocation {
    connection: ConnId,
    request: RequestId,
}

/// A request that was on a connection, or had been cancelled on it, when the connection was closed.
#[derive(Debug)]
struct CutRequest {
    request: RequestId,
    engine: EngineId,
    closed_at: i64,
}

/// An attempt that waits: until its executor knows of the end of an earlier one under the same request id, or until this machine
/// may be able to connect again.
#[derive(Debug)]
struct DelayedAttempt {
    engine: EngineId,
    attempt: PendingAttempt,
}

/// All executors and the connections to them.
#[derive(Debug)]
pub struct Executors {
    limits: ConnectionLimits,
    by_engine: BTreeMap<EngineId, Executor>,
    connections: ConnectionTable<Connection>,
    locations: BTreeMap<AttemptId, AttemptLocation>,
    events: VecDeque<AttemptEvent>,
    /// Connections that are up and may have queued attempts.
    ready: VecDeque<ConnId>,
    /// Requests whose connection was closed lately. Expired entries are dropped at each launch and periodic check, so that it
    /// holds at most the requests of the connections closed within that time.
    cut_requests: Vec<CutRequest>,
    delayed: Vec<DelayedAttempt>,
    /// Counters since the start of the process.
    pub counters: ExecutorCounters,
}

impl Executors {
    /// Creates the side of the executors, with none known.
    pub fn new(limits: ConnectionLimits) -> Executors {
        Executors {
            limits,
            by_engine: BTreeMap::new(),
            connections: ConnectionTable::new(OWNER),
            locations: BTreeMap::new(),
            events: VecDeque::new(),
            ready: VecDeque::new(),
            cut_requests: Vec::new(),
            delayed: Vec::new(),
            counters: ExecutorCounters::default(),
        }
    }

    /// Replaces the list of executors, given with their addresses. Idle connections to executors that are no longer listed or
    /// have moved are closed.
    pub fn replace_list(
        &mut self,
        list: Vec<ListedExecutor>,
        out: &mut EffectQueue<TimerEvent>,
    ) -> ListChange {
        let mut change = ListChange::default();
        let before: BTreeMap<EngineId, Option<Status>> = self
            .by_engine
            .iter_mut()
            .map(|(engine, executor)| (*engine, executor.listed.take()))
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
            if self.update_executor(listed) {
                change.moved += 1;
                self.take_off_former_address(listed.engine, out);
            }
        }
        let is_removed = |(engine, state): &(&EngineId, &Option<Status>)| {
            state.is_some() && !self.is_engine_listed(**engine)
        };
        let removed = before.iter().filter(is_removed);
        change.removed = removed.map(|(engine, _)| *engine).collect();
        let unusable = |connection: &Connection| {
            connection.load() == 0
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

    /// Takes over an executor of a list; whether it has moved.
    fn update_executor(&mut self, listed: ListedExecutor) -> bool {
        let ListedExecutor {
            engine,
            address,
            status,
        } = listed;
        let executor = self.by_engine.entry(engine).or_insert_with(|| Executor {
            address,
            connections: Vec::new(),
            listed: None,
        });
        let has_moved = executor.address != address;
        if has_moved {
            // Nothing more may be sent to the former address: another executor may have it now.
            for id in &executor.connections {
                if let Some(connection) = self.connections.get_mut(*id) {
                    connection.buffer.peer_closing = true;
                }
            }
        }
        executor.address = address;
        executor.listed = Some(status);
        has_moved
    }

    /// The state of an executor in the last list.
    pub fn listed_state(&self, engine: EngineId) -> ListedState {
        let listed = self.by_engine.get(&engine).and_then(|e| e.listed);
        match listed {
            Some(Status::Up) => ListedState::Up,
            Some(Status::Draining) => ListedState::Draining,
            Some(Status::Removed) | None => ListedState::Missing,
        }
    }

    /// The state, in the last list, of the executor that a connection goes to.
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

    /// The executor that a connection goes to.
    pub fn engine_of_connection(&self, connection: ConnId) -> Option<EngineId> {
        self.connections.get(connection).map(|c| c.engine)
    }

    /// The executor that has a running attempt.
    pub fn engine_of_attempt(&self, attempt: AttemptId) -> Option<EngineId> {
        let location = self.locations.get(&attempt)?;
        Some(self.connections.get(location.connection)?.engine)
    }

    fn is_engine_listed(&self, engine: EngineId) -> bool {
        self.by_engine
            .get(&engine)
            .is_some_and(|executor| executor.listed.is_some())
    }

    /// Forgets executors that are not listed and have no connection.
    fn forget_unlisted(&mut self) {
        self.by_engine
            .retain(|_, executor| executor.listed.is_some() || !executor.connections.is_empty());
    }

    /// Number of executors known, including those no longer listed that still have connections.
    pub fn executor_count(&self) -> usize {
        self.by_engine.len()
    }

    /// Number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The buffer of a connection.
    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections
            .get_mut(id)
            .map(|connection| &mut connection.buffer)
    }

    /// Bytes that may be read from a connection.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.buffer(id)
            .map_or(0, |buffer| buffer.read_capacity(MAX_INPUT_BYTES))
    }

    /// Records that so many bytes were written to a connection.
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

    /// Takes the oldest event that was not taken yet.
    pub fn next_event(&mut self) -> Option<AttemptEvent> {
        self.events.pop_front()
    }

    /// Takes a connection that is up and may have queued attempts, which [`Executors::take_queued`] returns.
    pub fn next_ready(&mut self) -> Option<ConnId> {
        self.ready.pop_front()
    }

    /// Reports an end on which the executor said nothing.
    fn report_end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let ended = EndedAttempt::without_report(attempt, outcome);
        self.events.push_back(AttemptEvent::Ended(Box::new(ended)));
    }
}
