//! Rate limits of application messages: recipients take turns, and stale and excess messages are rejected.

use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wheelfield_gossip::messages::{MessageId, MessageLimiter, MessageRejection, RateLimits};

fn members(n: usize) -> Vec<SocketAddr> {
    (0..n)
        .map(|i| SocketAddr::from(([127, 0, (i >> 8) as u8, i as u8], 7_946)))
        .collect()
}

fn id(incarnation: u64, sequence: u64) -> MessageId {
    MessageId {
        incarnation,
        sequence,
    }
}

#[test]
fn messages_go_to_all_within_the_limits_and_then_to_each_in_turn() {
    let all = members(10);
    let mut limiter = MessageLimiter::new(
        RateLimits {
            per_member: 10_000,
            total: 4_000,
        },
        0,
    );
    let mut reached = BTreeSet::new();
    for second in 0..5 {
        let to = limiter.select_recipients(second * 1_000_000, 1_000, &all);
        assert_eq!(to.len(), 4, "total limit of 4 kB/s");
        reached.extend(to);
    }
    assert_eq!(
        (reached.len(), limiter.suppressed),
        (10, 30),
        "each member received a message"
    );
}

#[test]
fn one_member_is_not_sent_more_than_its_own_limit() {
    let mut limiter = MessageLimiter::new(
        RateLimits {
            per_member: 1_500,
            total: 1 << 30,
        },
        0,
    );
    assert_eq!(limiter.select_recipients(0, 1_000, &members(2)).len(), 2);
    let recipients = limiter.select_recipients(0, 1_000, &members(3));
    assert_eq!(
        recipients,
        members(3)[2..],
        "the other two have used up their limit"
    );
    let recipients = limiter.select_recipients(400_000, 1_000, &members(2));
    assert_eq!(recipients.len(), 2, "the bucket was refilled for 0.4 s");
}

#[test]
fn stale_duplicate_and_excess_messages_are_rejected() {
    let mut limiter = MessageLimiter::new(
        RateLimits {
            per_member: 1_000,
            total: 1_000,
        },
        0,
    );
    let from = members(1)[0];
    assert_eq!(limiter.accept(0, from, id(5, 2), 100), Ok(()));
    assert_eq!(
        limiter.accept(0, from, id(5, 2), 100),
        Err(MessageRejection::Stale),
        "duplicate"
    );
    assert_eq!(
        limiter.accept(0, from, id(5, 1), 100),
        Err(MessageRejection::Stale),
        "late"
    );
    assert_eq!(
        limiter.accept(0, from, id(4, 9), 100),
        Err(MessageRejection::Stale),
        "earlier incarnation"
    );
    assert_eq!(
        limiter.accept(0, from, id(6, 1), 100),
        Ok(()),
        "later incarnation"
    );
    for n in 0..30 {
        let accepted = limiter.accept(0, from, id(6, 2 + n), 100);
        assert_eq!(
            accepted.is_ok(),
            n < 18,
            "limit of 2 kB/s per sender, message {n}"
        );
    }
    limiter.retain_members(|_| false);
    assert_eq!(
        limiter.accept(0, from, id(1, 1), 100),
        Ok(()),
        "nothing is remembered of a non-member"
    );
}

proptest! {
    #[test]
    fn the_total_limit_holds_for_any_group_size_and_traffic(
        n in 1usize..400, sizes in prop::collection::vec((1usize..1_400, 0i64..300_000), 1..60),
    ) {
        let limits = RateLimits { per_member: 3_000, total: 20_000 };
        let (all, mut limiter, mut now, mut sent) = (members(n), MessageLimiter::new(limits, 0), 0, 0);
        for (bytes, interval) in sizes {
            now += interval;
            sent += bytes * limiter.select_recipients(now, bytes, &all).len();
        }
        // The initial capacity plus the refill since.
        prop_assert!(sent as i64 <= 20_000 + 20_000 * now / 1_000_000 + 1);
    }
}
