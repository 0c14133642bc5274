//! The queries in hand: whose they are, and what goes to executors for them.

use crate::lines::RequestId;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::QueryId;
use wheelfield_parts::ConnId;

/// Ids that went to an executor lately and must not go again for another call.
const SPENT: usize = 8_192;

/// A query in hand.
#[derive(Debug)]
pub struct InHand {
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
}

/// All queries whose answer is owed: at most one for each client.
#[derive(Debug, Default)]
pub struct Open {
    by_query: BTreeMap<QueryId, InHand>,
    by_client: BTreeMap<ConnId, QueryId>,
    ids: BTreeSet<RequestId>,
    spent: BTreeSet<RequestId>,
    oldest_spent: VecDeque<RequestId>,
}

impl Open {
    /// Whether an id is in use, or was lately: the query under it may run, or have run.
    pub fn uses(&self, id: RequestId) -> bool {
        self.ids.contains(&id) || self.spent.contains(&id)
    }

    /// A query was taken.
    pub fn put(&mut self, query: QueryId, what: InHand) {
        self.ids.insert(what.id);
        self.by_client.insert(what.client, query);
        self.by_query.insert(query, what);
    }

    /// A query in hand.
    pub fn get(&self, query: QueryId) -> Option<&InHand> {
        self.by_query.get(&query)
    }

    /// The query that a client waits for.
    pub fn of(&self, client: ConnId) -> Option<QueryId> {
        self.by_client.get(&client).copied()
    }

    /// An attempt of it goes to an executor.
    pub fn spend(&mut self, id: RequestId) {
        if self.spent.insert(id) {
            self.oldest_spent.push_back(id);
        }
        if self.oldest_spent.len() > SPENT {
            let oldest = self.oldest_spent.pop_front();
            oldest.map(|id| self.spent.remove(&id));
        }
    }

    /// The answer of a query is told, or nobody is owed one.
    pub fn take(&mut self, query: QueryId) -> Option<InHand> {
        let what = self.by_query.remove(&query)?;
        self.by_client.remove(&what.client);
        self.ids.remove(&what.id);
        Some(what)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_query.len()
    }
}
