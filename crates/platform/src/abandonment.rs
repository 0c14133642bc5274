//! Clients that left while their query waited, and whether anything went on for them: told by the sockets, as a check on the books.

use std::collections::BTreeMap;
use wheelfield::interface::QueryId;

/// So long after its client left nothing of a query may be sent on, in microseconds.
const LATE_AFTER_US: i64 = 300_000;
/// Who left lately: so many are remembered, the oldest is forgotten first.
const MAX_REMEMBERED: usize = 1_024;

/// What is counted of them since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AbandonmentCounts {
    /// Clients that left before a first or further attempt of their query was written.
    pub waiting: u64,
    /// Attempts whose first byte went after their client had left.
    pub sent_on: u64,
    /// Of these, those that went 0.3 s later or more.
    pub sent_late: u64,
}

/// Who left lately.
#[derive(Debug, Default)]
pub struct Abandonments {
    /// By query, whose numbers rise: the first is the oldest.
    at: BTreeMap<QueryId, i64>,
    /// What was counted.
    pub counts: AbandonmentCounts,
}

impl Abandonments {
    /// The client of a query left, which was with no executor then if it was `waiting`.
    pub fn leaves(&mut self, query: QueryId, waiting: bool, now: i64) {
        self.counts.waiting += u64::from(waiting);
        self.at.insert(query, now);
        if self.at.len() > MAX_REMEMBERED {
            self.at.pop_first();
        }
    }

    /// The first byte of an attempt has gone. Numbers of queries come once, ids of clients that misbehave may come again.
    pub fn begun(&mut self, query: QueryId, now: i64) {
        if let Some(at) = self.at.get(&query) {
            self.counts.sent_on += 1;
            self.counts.sent_late += u64::from(now - at >= LATE_AFTER_US);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_sent_on_for_one_that_left_is_counted_and_late_from_three_tenths_of_a_second_on() {
        let mut left = Abandonments::default();
        left.leaves(QueryId(1), true, 1_000);
        left.leaves(QueryId(2), false, 1_000);
        left.begun(QueryId(1), 300_999);
        left.begun(QueryId(2), 301_000);
        left.begun(QueryId(3), 900_000);
        assert_eq!(left.counts, AbandonmentCounts { waiting: 1, sent_on: 2, sent_late: 1 });
        (10..10 + MAX_REMEMBERED as u64).for_each(|n| left.leaves(QueryId(n), true, 2_000));
        left.begun(QueryId(1), 900_000);
        assert_eq!((left.counts.sent_on, left.at.len()), (2, MAX_REMEMBERED));
    }
}
