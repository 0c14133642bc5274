//! Words that ride on the membership: to whom they go, and which are taken, within ceilings of bytes a second. No I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes a second at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimits {
    /// To any one member. Of any one, twice as much is taken, as what it sent may come in a bunch.
    pub per_member: u64,
    /// To all together.
    pub total: u64,
}

/// Why words were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageRejection {
    /// Not newer than the last of their sender.
    #[error("old words")]
    Stale,
    /// More than a member may send.
    #[error("more words than a member may send")]
    RateLimited,
}

/// What may pass within a second. It starts full.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Bytes times microseconds, so that nothing is lost in rounding.
    left: u64,
    at: i64,
}

const SECOND: u64 = 1_000_000;

impl TokenBucket {
    fn full(rate: u64, now: i64) -> TokenBucket {
        TokenBucket { left: rate.saturating_mul(SECOND), at: now }
    }

    fn refill(&mut self, rate: u64, now: i64) {
        let passed = u64::try_from(now - self.at).unwrap_or(0);
        let most = rate.saturating_mul(SECOND);
        (self.left, self.at) = (self.left.saturating_add(rate.saturating_mul(passed)).min(most), now);
    }

    fn holds(&self, bytes: u64) -> bool {
        self.left >= bytes.saturating_mul(SECOND)
    }

    fn spend(&mut self, bytes: u64) {
        self.left = self.left.saturating_sub(bytes.saturating_mul(SECOND));
    }
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    sequence: u64,
    ration: TokenBucket,
}

/// The words to and from all members.
#[derive(Debug)]
pub struct MessageLimiter {
    limits: RateLimits,
    all: TokenBucket,
    each: BTreeMap<SocketAddr, TokenBucket>,
    heard: BTreeMap<SocketAddr, Sender>,
    /// Who comes first: the first one that the last words had no bytes left for.
    first: Option<SocketAddr>,
    /// Datagrams that did not go out, by a ceiling.
    pub suppressed: u64,
}

impl MessageLimiter {
    /// None sent, none heard.
    pub fn new(limits: RateLimits, now: i64) -> MessageLimiter {
        MessageLimiter {
            all: TokenBucket::full(limits.total, now),
            limits,
            each: BTreeMap::new(),
            heard: BTreeMap::new(),
            first: None,
            suppressed: 0,
        }
    }

    /// Only of these members anything is held from now on.
    pub fn retain_members(&mut self, member: impl Fn(&SocketAddr) -> bool) {
        self.each.retain(|m, _| member(m));
        self.heard.retain(|m, _| member(m));
    }

    /// To whom of these, in ascending order, a datagram of so many bytes goes. Whom the ceilings leave out comes first the next
    /// time, so that in a large fleet everybody hears now and then.
    pub fn select_recipients(&mut self, now: i64, bytes: usize, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let bytes = bytes as u64;
        self.all.refill(self.limits.total, now);
        let from = self.first.map_or(0, |first| members.partition_point(|m| *m < first));
        let (mut to, mut left_out) = (Vec::new(), None);
        for member in members[from..].iter().chain(&members[..from]) {
            let fresh = TokenBucket::full(self.limits.per_member, now);
            let ration = self.each.entry(*member).or_insert(fresh);
            ration.refill(self.limits.per_member, now);
            if !self.all.holds(bytes) {
                left_out = left_out.or(Some(*member));
                self.suppressed += 1;
            } else if !ration.holds(bytes) {
                self.suppressed += 1;
            } else {
                ration.spend(bytes);
                self.all.spend(bytes);
                to.push(*member);
            }
        }
        self.first = left_out.or(self.first);
        to
    }

    /// Whether words of a member are taken, by its start, their number and their bytes.
    ///
    /// # Errors
    /// Why they are [`MessageRejection`].
    pub fn accept(
        &mut self,
        now: i64,
        from: SocketAddr,
        (incarnation, sequence): (u64, u64),
        bytes: usize,
    ) -> Result<(), MessageRejection> {
        let rate = self.limits.per_member.saturating_mul(2);
        let fresh = Sender { incarnation, sequence: 0, ration: TokenBucket::full(rate, now) };
        let heard = self.heard.entry(from).or_insert(fresh);
        if (incarnation, sequence) <= (heard.incarnation, heard.sequence) {
            return Err(MessageRejection::Stale);
        }
        heard.ration.refill(rate, now);
        if !heard.ration.holds(bytes as u64) {
            return Err(MessageRejection::RateLimited);
        }
        heard.ration.spend(bytes as u64);
        (heard.incarnation, heard.sequence) = (incarnation, sequence);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn members(n: usize) -> Vec<SocketAddr> {
        (0..n).map(|i| SocketAddr::from(([127, 0, (i >> 8) as u8, i as u8], 7_946))).collect()
    }

    #[test]
    fn words_go_to_all_while_the_ceilings_allow_and_then_to_each_in_turn() {
        let all = members(10);
        let mut limiter = MessageLimiter::new(RateLimits { per_member: 10_000, total: 4_000 }, 0);
        let mut reached = std::collections::BTreeSet::new();
        for second in 0..5 {
            let to = limiter.select_recipients(second * 1_000_000, 1_000, &all);
            assert_eq!(to.len(), 4, "four kilobytes a second");
            reached.extend(to);
        }
        assert_eq!((reached.len(), limiter.suppressed), (10, 30), "everybody has heard");
    }

    #[test]
    fn one_member_is_not_sent_more_than_its_own_ceiling() {
        let mut limiter = MessageLimiter::new(RateLimits { per_member: 1_500, total: 1 << 30 }, 0);
        assert_eq!(limiter.select_recipients(0, 1_000, &members(2)).len(), 2);
        assert_eq!(
            limiter.select_recipients(0, 1_000, &members(3)),
            members(3)[2..],
            "the other two had theirs"
        );
        assert_eq!(
            limiter.select_recipients(400_000, 1_000, &members(2)).len(),
            2,
            "four tenths of a second later"
        );
    }

    #[test]
    fn old_doubled_and_too_many_words_are_not_taken() {
        let mut limiter = MessageLimiter::new(RateLimits { per_member: 1_000, total: 1_000 }, 0);
        let from = members(1)[0];
        assert_eq!(limiter.accept(0, from, (5, 2), 100), Ok(()));
        assert_eq!(limiter.accept(0, from, (5, 2), 100), Err(MessageRejection::Stale), "doubled");
        assert_eq!(limiter.accept(0, from, (5, 1), 100), Err(MessageRejection::Stale), "late");
        assert_eq!(limiter.accept(0, from, (4, 9), 100), Err(MessageRejection::Stale), "of a former life");
        assert_eq!(limiter.accept(0, from, (6, 1), 100), Ok(()), "started anew");
        for n in 0..30 {
            let taken = limiter.accept(0, from, (6, 2 + n), 100);
            assert_eq!(taken.is_ok(), n < 18, "two kilobytes a second: {n}");
        }
        limiter.retain_members(|_| false);
        assert_eq!(limiter.accept(0, from, (1, 1), 100), Ok(()), "nothing is held of one that is no member");
    }

    proptest! {
        #[test]
        fn no_fleet_and_no_traffic_passes_a_ceiling(
            n in 1usize..400, sizes in prop::collection::vec((1usize..1_400, 0i64..300_000), 1..60),
        ) {
            let limits = RateLimits { per_member: 3_000, total: 20_000 };
            let (all, mut limiter, mut now, mut sent) = (members(n), MessageLimiter::new(limits, 0), 0, 0);
            for (bytes, later) in sizes {
                now += later;
                sent += bytes * limiter.select_recipients(now, bytes, &all).len();
            }
            // What was full at the start, and what came since.
            prop_assert!(sent as i64 <= 20_000 + 20_000 * now / 1_000_000 + 1);
        }
    }
}
