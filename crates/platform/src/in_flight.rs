//! Queries in flight, which were accepted from clients and not answered yet, and recently used request ids.

use crate::executor_protocol::RequestId;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{Outcome, QueryId};
use wheelfield_sans_io::ConnId;

/// Maximum number of recent request ids that are kept to detect their reuse. Ids of idempotent and of other queries are kept
/// separately, so that many idempotent queries do not displace the ids of others.
const MAX_RECENT_IDS: usize = 8_192;

/// A query in flight.
#[derive(Debug)]
pub struct InFlightQuery {
    /// The connection of the client that sent the query.
    pub client: ConnId,
    /// The request id.
    pub id: RequestId,
    /// The index of its class in the settings.
    pub class: usize,
    /// The SQL statement.
    pub statement: Bytes,
    /// The key by which executors deduplicate the query.
    pub idempotency_key: Option<String>,
    /// Whether the query may run more than once.
    pub is_idempotent: bool,
    /// Whether an attempt was dispatched to an executor and has not ended.
    pub is_at_executor: bool,
    /// The time at which the client stops waiting, in microseconds.
    pub client_deadline_at: i64,
    /// The history of its attempts.
    pub history: AttemptHistory,
}

/// The history of the attempts of a query, based on the bytes written to executors and their responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts whose first byte was written.
    pub dispatched: u32,
    /// Number of attempts that may have run: all that were dispatched, except those known not to have run.
    pub possible_runs: u32,
    /// The time at which the first attempt that may have run was dispatched, in microseconds.
    pub may_have_run_since: Option<i64>,
    /// The outcome of the last attempt that ended.
    pub last_outcome: Option<Outcome>,
}

impl AttemptHistory {
    fn record_dispatch(&mut self, now: i64) {
        self.dispatched += 1;
        self.possible_runs += 1;
        self.may_have_run_since = self.may_have_run_since.or(Some(now));
    }

    fn record_end(&mut self, outcome: Outcome, was_dispatched: bool) {
        self.last_outcome = Some(outcome);
        if was_dispatched && outcome.never_ran() {
            self.possible_runs = self.possible_runs.saturating_sub(1);
        }
        if self.possible_runs == 0 {
            self.may_have_run_since = None;
        }
    }
}

/// All queries in flight, at most one per client.
#[derive(Debug, Default)]
pub struct InFlightQueries {
    by_query: BTreeMap<QueryId, InFlightQuery>,
    by_client: BTreeMap<ConnId, QueryId>,
    ids: BTreeSet<RequestId>,
    recent_idempotent: RecentIds,
    recent_others: RecentIds,
}

/// The request ids that were most recently sent to executors.
#[derive(Debug, Default)]
struct RecentIds {
    ids: BTreeSet<RequestId>,
    oldest_first: VecDeque<RequestId>,
}

impl RecentIds {
    fn insert(&mut self, id: RequestId) {
        if self.ids.insert(id) {
            self.oldest_first.push_back(id);
        }
        if self.oldest_first.len() > MAX_RECENT_IDS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}

impl InFlightQueries {
    /// Whether a request id is in use or was used recently, so that a query with this id may be running or have run.
    pub fn is_id_used(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
            || self.recent_idempotent.ids.contains(&id)
            || self.recent_others.ids.contains(&id)
    }

    /// Adds an accepted query.
    pub fn insert(&mut self, query: QueryId, in_flight: InFlightQuery) {
        self.ids.insert(in_flight.id);
        self.by_client.insert(in_flight.client, query);
        self.by_query.insert(query, in_flight);
    }

    /// The query with this id, if it is in flight.
    pub fn get(&self, query: QueryId) -> Option<&InFlightQuery> {
        self.by_query.get(&query)
    }

    /// The query that a client waits for.
    pub fn query_of(&self, client: ConnId) -> Option<QueryId> {
        self.by_client.get(&client).copied()
    }

    /// Records that the first byte of an attempt was sent to an executor under this request id.
    pub fn mark_dispatched(&mut self, query: QueryId, id: RequestId, now: i64) {
        let mut is_idempotent = false;
        if let Some(in_flight) = self.by_query.get_mut(&query) {
            in_flight.is_at_executor = true;
            in_flight.history.record_dispatch(now);
            is_idempotent = in_flight.is_idempotent;
        }
        let recent = if is_idempotent {
            &mut self.recent_idempotent
        } else {
            &mut self.recent_others
        };
        recent.insert(id);
    }

    /// Records that the current attempt of a query ended with this outcome.
    pub fn mark_attempt_ended(&mut self, query: QueryId, outcome: Outcome) {
        if let Some(in_flight) = self.by_query.get_mut(&query) {
            let was_dispatched = std::mem::take(&mut in_flight.is_at_executor);
            in_flight.history.record_end(outcome, was_dispatched);
        }
    }

    /// Removes a query that was answered or whose client disconnected.
    pub fn remove(&mut self, query: QueryId) -> Option<InFlightQuery> {
        let in_flight = self.by_query.remove(&query)?;
        self.by_client.remove(&in_flight.client);
        self.ids.remove(&in_flight.id);
        Some(in_flight)
    }

    /// The ids of all queries in flight, in ascending order.
    pub fn queries(&self) -> Vec<QueryId> {
        self.by_query.keys().copied().collect()
    }

    /// Number of queries in flight.
    pub fn len(&self) -> usize {
        self.by_query.len()
    }

    /// Whether no query is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_query.is_empty()
    }

    /// Injects a fault for tests: clears the record of recently used request ids.
    #[cfg(feature = "planted")]
    pub fn forget_recent_ids(&mut self) {
        self.recent_idempotent = RecentIds::default();
        self.recent_others = RecentIds::default();
    }
}
