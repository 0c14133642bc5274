//! The state of queries, attempts and engines as the protocol layers ask for it. Nothing here changes it.

use super::Driver;
use crate::attempts::AttemptId;
use crate::DriverCounters;
use wheelfield::interface::{EngineId, Micros, QueryId, SlowStartShare, Status};

impl Driver {
    /// Whether an attempt has been started and has no outcome yet.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.table.is_in_flight(attempt)
    }

    /// Whether an attempt's answer may be sent to the client: the attempt is in flight, its query is unanswered, and no other
    /// attempt has started its answer. The protocol layer checks this before it forwards any byte of the answer.
    pub fn may_answer(&self, attempt: AttemptId) -> bool {
        self.table.may_answer(attempt)
    }

    /// Whether an attempt may be written now: it is in flight and not cancelled, its engine accepts work, and it is not a retry
    /// that must no longer run. The module approved the attempt when it started it, but time may have passed since, for example
    /// while a connection was opened. The protocol layer therefore checks this right before it writes.
    pub fn may_write(&self, now: Micros, attempt: AttemptId) -> bool {
        let is_up = |engine: EngineId| self.engines.get(&engine) == Some(&Status::Up);
        self.table.engine_if_unwritten(attempt).is_some_and(is_up)
            && self
                .gateway
                .may_still_write(now, attempt.query, attempt.number)
    }

    /// The work that an attempt adds to an engine in slow start, with the engine's current budget; `None` if its engine is not
    /// in slow start.
    pub fn slow_start_share(&self, now: Micros, attempt: AttemptId) -> Option<SlowStartShare> {
        self.gateway
            .slow_start_share(now, attempt.query, attempt.number)
    }

    /// Whether a query is waiting for its final answer.
    pub fn awaits_answer(&self, query: QueryId) -> bool {
        self.table.awaits_answer(query)
    }

    /// Time by which a query must be answered; `None` if the query is no longer in the table.
    pub fn deadline_of(&self, query: QueryId) -> Option<Micros> {
        self.table.deadline_of(query)
    }

    /// When an attempt times out; `None` once it has ended, or if the protocol layer reports timeouts.
    pub fn timeout_at(&self, attempt: AttemptId) -> Option<Micros> {
        self.table.timeout_at(attempt)
    }

    /// Number of queries in the table, including answered ones that still have an attempt in flight.
    pub fn queries_held(&self) -> usize {
        self.table.queries_held()
    }

    /// Counters since the driver was created.
    pub fn counters(&self) -> DriverCounters {
        self.counters
    }

    /// Whether an engine list has named an engine, and it is not forgotten.
    pub fn knows_engine(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    /// The number of engines that are known, including removed ones.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }
}
