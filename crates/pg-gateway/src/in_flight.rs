//! The queries in hand: whose they are, and what goes to an engine for them.

use bytes::Bytes;
use std::collections::BTreeMap;
use wheelfield::interface::QueryId;
use wheelfield_driver::AttemptOptions;
use wheelfield_pg::client::Unit;
use wheelfield_sans_io::ConnId;

/// A query in hand.
#[derive(Debug)]
pub(crate) struct InHand {
    /// Who waits for it.
    pub client: ConnId,
    /// What goes to an engine, for as long as it may have to go again.
    pub unit: Unit,
    /// The parts of an open batch that came later.
    pub more: Vec<(Bytes, Vec<bool>)>,
    pub sealed: bool,
    pub terms: AttemptOptions,
    /// Its name in logs.
    pub label: String,
    pub class: usize,
    pub since: i64,
}

impl InHand {
    /// Bytes of the parts that came later.
    pub fn held(&self) -> usize {
        self.more.iter().map(|(frames, _)| frames.len()).sum()
    }
}

/// All queries whose answer is owed. As many as the driver holds at most.
#[derive(Debug, Default)]
pub(crate) struct InFlightQueries {
    by_query: BTreeMap<QueryId, InHand>,
}

impl InFlightQueries {
    pub fn put(&mut self, query: QueryId, unit: InHand) {
        self.by_query.insert(query, unit);
    }

    pub fn get(&self, query: QueryId) -> Option<&InHand> {
        self.by_query.get(&query)
    }

    pub fn get_mut(&mut self, query: QueryId) -> Option<&mut InHand> {
        self.by_query.get_mut(&query)
    }

    /// The answer of a query is told, or nobody is owed one.
    pub fn take(&mut self, query: QueryId) -> Option<InHand> {
        self.by_query.remove(&query)
    }

    /// A query in hand that is not this one.
    pub fn another(&self, query: QueryId) -> Option<QueryId> {
        self.by_query.keys().find(|q| **q != query).copied()
    }

    pub fn label(&self, query: QueryId) -> &str {
        self.get(query).map_or("", |u| u.label.as_str())
    }
}
