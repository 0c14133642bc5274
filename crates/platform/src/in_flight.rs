//! The queries in hand: whose they are, and what goes to executors for them.

use crate::executor_protocol::RequestId;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::QueryId;
use wheelfield_sans_io::ConnId;

/// Ids that went to an executor lately and must not go again for another call: so many of those that do no harm run twice, and so
/// many of the others, lest a flood of the first push out the second.
const MAX_RECENT_IDS: usize = 8_192;

/// A query in hand.
#[derive(Debug)]
pub struct InFlightQuery {
    /// Who waits for it.
    pub client: ConnId,
    /// Its id on the wire.
    pub id: RequestId,
    /// Its class, by position.
    pub class: usize,
    /// Its statement.
    pub statement: Bytes,
    /// By what executors know a repeat of it.
    pub nonce: Option<String>,
    /// It may run twice.
    pub harmless: bool,
    /// Something of it is with an executor.
    pub out: bool,
}

/// All queries whose answer is owed: at most one for each client.
#[derive(Debug, Default)]
pub struct InFlightQueries {
    by_query: BTreeMap<QueryId, InFlightQuery>,
    by_client: BTreeMap<ConnId, QueryId>,
    ids: BTreeSet<RequestId>,
    harmless: RecentIds,
    others: RecentIds,
}

/// Ids that went to an executor, the last of them.
#[derive(Debug, Default)]
struct RecentIds {
    all: BTreeSet<RequestId>,
    oldest: VecDeque<RequestId>,
}

impl RecentIds {
    fn put(&mut self, id: RequestId) {
        if self.all.insert(id) {
            self.oldest.push_back(id);
        }
        if self.oldest.len() > MAX_RECENT_IDS {
            let oldest = self.oldest.pop_front();
            oldest.map(|id| self.all.remove(&id));
        }
    }
}

impl InFlightQueries {
    /// Whether an id is in use, or was lately: the query under it may run, or have run.
    pub fn uses(&self, id: RequestId) -> bool {
        self.ids.contains(&id) || self.harmless.all.contains(&id) || self.others.all.contains(&id)
    }

    /// A query was taken.
    pub fn put(&mut self, query: QueryId, what: InFlightQuery) {
        self.ids.insert(what.id);
        self.by_client.insert(what.client, query);
        self.by_query.insert(query, what);
    }

    /// A query in hand.
    pub fn get(&self, query: QueryId) -> Option<&InFlightQuery> {
        self.by_query.get(&query)
    }

    /// Nothing of a query is with an executor any more.
    pub fn is_back(&mut self, query: QueryId) {
        if let Some(what) = self.by_query.get_mut(&query) {
            what.out = false;
        }
    }

    /// A fault for a judge to find.
    #[cfg(feature = "planted")]
    pub fn forget_spent(&mut self) {
        (self.harmless, self.others) = (RecentIds::default(), RecentIds::default());
    }

    /// The query that a client waits for.
    pub fn of(&self, client: ConnId) -> Option<QueryId> {
        self.by_client.get(&client).copied()
    }

    /// The first byte of a query went to an executor, under this id.
    pub fn begun(&mut self, query: QueryId, id: RequestId) {
        let what = self.by_query.get_mut(&query);
        let harmless = what.is_some_and(|what| {
            what.out = true;
            what.harmless
        });
        if harmless { &mut self.harmless } else { &mut self.others }.put(id);
    }

    /// The answer of a query is told, or nobody is owed one.
    pub fn take(&mut self, query: QueryId) -> Option<InFlightQuery> {
        let what = self.by_query.remove(&query)?;
        self.by_client.remove(&what.client);
        self.ids.remove(&what.id);
        Some(what)
    }

    /// All of them.
    pub fn queries(&self) -> Vec<QueryId> {
        self.by_query.keys().copied().collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_query.len()
    }
}
