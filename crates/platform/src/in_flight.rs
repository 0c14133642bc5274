//! Queries in flight: those accepted from clients and not answered yet, and request ids used lately.

use crate::executor_protocol::RequestId;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{Outcome, QueryId};
use wheelfield_sans_io::ConnId;

/// Request ids sent to executors that are remembered, so that they are not used again for another query. Idempotent queries and
/// others are counted apart, so that many of the first do not displace the second.
const MAX_RECENT_IDS: usize = 8_192;

/// A query in flight.
#[derive(Debug)]
pub struct InFlightQuery {
    /// Connection of the client that sent it.
    pub client: ConnId,
    /// Id of its request.
    pub id: RequestId,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its statement.
    pub statement: Bytes,
    /// Key by which executors recognise a repetition.
    pub idempotency_key: Option<String>,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Whether an executor has an attempt of it.
    pub is_at_executor: bool,
    /// When its client stops waiting, in microseconds.
    pub client_deadline_at: i64,
    /// What has become of its attempts.
    pub history: AttemptHistory,
}

/// What has become of the attempts of a query, by what was written and what came back.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Attempts whose first byte was written.
    pub dispatched: u32,
    /// Attempts that may have run: those dispatched less those that are known not to have run.
    pub possible_runs: u32,
    /// When the first of these was dispatched, in microseconds.
    pub may_have_run_since: Option<i64>,
    /// The outcome of the attempt that ended last.
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

/// All queries in flight, at most one for each client.
#[derive(Debug, Default)]
pub struct InFlightQueries {
    by_query: BTreeMap<QueryId, InFlightQuery>,
    by_client: BTreeMap<ConnId, QueryId>,
    ids: BTreeSet<RequestId>,
    recent_idempotent: RecentIds,
    recent_others: RecentIds,
}

/// The request ids that were sent to executors last.
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
    /// Whether a request id is in use or was used lately: the query under it may run, or have run.
    pub fn is_id_used(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
            || self.recent_idempotent.ids.contains(&id)
            || self.recent_others.ids.contains(&id)
    }

    /// Adds a query that was accepted.
    pub fn insert(&mut self, query: QueryId, in_flight: InFlightQuery) {
        self.ids.insert(in_flight.id);
        self.by_client.insert(in_flight.client, query);
        self.by_query.insert(query, in_flight);
    }

    /// A query in flight.
    pub fn get(&self, query: QueryId) -> Option<&InFlightQuery> {
        self.by_query.get(&query)
    }

    /// The query that a client waits for.
    pub fn query_of(&self, client: ConnId) -> Option<QueryId> {
        self.by_client.get(&client).copied()
    }

    /// Records that the first byte of a query was sent to an executor under this request id.
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

    /// Records that no executor has an attempt of a query any more, as the last one ended so.
    pub fn mark_attempt_ended(&mut self, query: QueryId, outcome: Outcome) {
        if let Some(in_flight) = self.by_query.get_mut(&query) {
            let was_dispatched = std::mem::take(&mut in_flight.is_at_executor);
            in_flight.history.record_end(outcome, was_dispatched);
        }
    }

    /// Removes a query that is answered, or whose client has left.
    pub fn remove(&mut self, query: QueryId) -> Option<InFlightQuery> {
        let in_flight = self.by_query.remove(&query)?;
        self.by_client.remove(&in_flight.client);
        self.ids.remove(&in_flight.id);
        Some(in_flight)
    }

    /// The numbers of all queries in flight, in order.
    pub fn queries(&self) -> Vec<QueryId> {
        self.by_query.keys().copied().collect()
    }

    /// Number of queries in flight.
    pub fn len(&self) -> usize {
        self.by_query.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_query.is_empty()
    }

    /// Injects a fault for tests: forgets the request ids used lately.
    #[cfg(feature = "planted")]
    pub fn forget_recent_ids(&mut self) {
        self.recent_idempotent = RecentIds::default();
        self.recent_others = RecentIds::default();
    }
}
