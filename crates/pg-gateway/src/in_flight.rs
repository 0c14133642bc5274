//! The queries in flight: their clients, and the messages to send to an engine.

use bytes::Bytes;
use std::collections::BTreeMap;
use wheelfield::interface::QueryId;
use wheelfield_driver::AttemptOptions;
use wheelfield_pg::client::Unit;
use wheelfield_sans_io::ConnId;

/// A query in flight.
#[derive(Debug)]
pub(crate) struct InFlightQuery {
    /// The client that waits for the answer.
    pub client: ConnId,
    /// The messages for the engine, kept for as long as the query may be retried.
    pub unit: Unit,
    /// The later parts of an open batch, and for each part which completion messages to suppress.
    pub continuations: Vec<(Bytes, Vec<bool>)>,
    pub is_complete: bool,
    pub options: AttemptOptions,
    /// The ID of the query in logs.
    pub label: String,
    pub class: usize,
    pub accepted_at: i64,
}

impl InFlightQuery {
    /// Total size of the later parts.
    pub fn continuation_bytes(&self) -> usize {
        self.continuations.iter().map(|(frames, _)| frames.len()).sum()
    }
}

/// All queries without a final answer. The driver limits their number.
#[derive(Debug, Default)]
pub(crate) struct InFlightQueries {
    by_query: BTreeMap<QueryId, InFlightQuery>,
}

impl InFlightQueries {
    pub fn insert(&mut self, query: QueryId, in_flight: InFlightQuery) {
        self.by_query.insert(query, in_flight);
    }

    pub fn get(&self, query: QueryId) -> Option<&InFlightQuery> {
        self.by_query.get(&query)
    }

    pub fn get_mut(&mut self, query: QueryId) -> Option<&mut InFlightQuery> {
        self.by_query.get_mut(&query)
    }

    /// Removes a query that was answered or abandoned.
    pub fn remove(&mut self, query: QueryId) -> Option<InFlightQuery> {
        self.by_query.remove(&query)
    }

    /// Any query in flight other than this one.
    pub fn other_than(&self, query: QueryId) -> Option<QueryId> {
        self.by_query.keys().find(|q| **q != query).copied()
    }

    pub fn label(&self, query: QueryId) -> &str {
        self.get(query).map_or("", |query| query.label.as_str())
    }
}
