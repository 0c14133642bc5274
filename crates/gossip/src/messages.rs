//! Rate limits of application messages between members: which recipients a message is sent to, and which received messages
//! are accepted. No I/O; times are in microseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Rate limits in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimits {
    /// Limit for sending to any one member. Twice as much is accepted from a member, as its messages may arrive in bursts.
    pub per_member: u64,
    /// Limit for sending to all members together.
    pub total: u64,
}

/// Identity of an application message of a sender. A later incarnation supersedes an earlier one, then a higher sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageId {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sequence number within the incarnation.
    pub sequence: u64,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageRejection {
    /// The message is not newer than the last one of its sender.
    #[error("stale message")]
    Stale,
    /// The sender exceeded its rate limit.
    #[error("rate limit of the sender exceeded")]
    RateLimited,
}

/// A token bucket that has_tokens the bytes of one second. It starts full.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Rate in bytes per second; also the capacity.
    rate: u64,
    /// Available bytes times microseconds, so that refills are not rounded.
    tokens: u64,
    refilled_at: i64,
}

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

impl TokenBucket {
    fn full(rate: u64, now: i64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate.saturating_mul(SECOND),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: i64) {
        let elapsed = u64::try_from(now - self.refilled_at).unwrap_or(0);
        let capacity = self.rate.saturating_mul(SECOND);
        self.tokens = self
            .tokens
            .saturating_add(self.rate.saturating_mul(elapsed))
            .min(capacity);
        self.refilled_at = now;
    }

    fn has_tokens(&self, bytes: u64) -> bool {
        self.tokens >= bytes.saturating_mul(SECOND)
    }

    fn spend(&mut self, bytes: u64) {
        self.tokens = self.tokens.saturating_sub(bytes.saturating_mul(SECOND));
    }
}

/// The last accepted message of a sender, and its rate limit.
#[derive(Debug)]
struct Sender {
    last_accepted: MessageId,
    bucket: TokenBucket,
}

/// Limits the messages to and from all members.
#[derive(Debug)]
pub struct MessageLimiter {
    limits: RateLimits,
    total: TokenBucket,
    recipients: BTreeMap<SocketAddr, TokenBucket>,
    senders: BTreeMap<SocketAddr, Sender>,
    /// The recipient to start with: the first one that the total limit excluded last time.
    next_recipient: Option<SocketAddr>,
    /// Number of datagrams that were not sent because of a limit.
    pub suppressed: u64,
}

impl MessageLimiter {
    /// Creates a limiter with full buckets.
    pub fn new(limits: RateLimits, now: i64) -> MessageLimiter {
        MessageLimiter {
            total: TokenBucket::full(limits.total, now),
            limits,
            recipients: BTreeMap::new(),
            senders: BTreeMap::new(),
            next_recipient: None,
            suppressed: 0,
        }
    }

    /// Drops the state of addresses that are not members.
    pub fn retain_members(&mut self, is_member: impl Fn(&SocketAddr) -> bool) {
        self.recipients.retain(|address, _| is_member(address));
        self.senders.retain(|address, _| is_member(address));
    }

    /// Selects the recipients of a datagram of this size from the members, which are in ascending order. Members that the total
    /// limit excludes come first the next time, so that in a large group all members receive messages in turn.
    pub fn select_recipients(
        &mut self,
        now: i64,
        bytes: usize,
        members: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let bytes = bytes as u64;
        self.total.refill(now);
        let start = self
            .next_recipient
            .map_or(0, |next| members.partition_point(|member| *member < next));
        let (mut recipients, mut first_excluded) = (Vec::new(), None);
        for member in members[start..].iter().chain(&members[..start]) {
            let full = TokenBucket::full(self.limits.per_member, now);
            let bucket = self.recipients.entry(*member).or_insert(full);
            bucket.refill(now);
            if !self.total.has_tokens(bytes) {
                first_excluded = first_excluded.or(Some(*member));
                self.suppressed += 1;
            } else if !bucket.has_tokens(bytes) {
                self.suppressed += 1;
            } else {
                bucket.spend(bytes);
                self.total.spend(bytes);
                recipients.push(*member);
            }
        }
        self.next_recipient = first_excluded.or(self.next_recipient);
        recipients
    }

    /// Accepts a message of a member, by its identity and size.
    ///
    /// # Errors
    /// [`MessageRejection`]: why the message was rejected.
    pub fn accept(
        &mut self,
        now: i64,
        from: SocketAddr,
        id: MessageId,
        bytes: usize,
    ) -> Result<(), MessageRejection> {
        let bytes = bytes as u64;
        let sender = self.senders.entry(from).or_insert_with(|| Sender {
            last_accepted: MessageId { sequence: 0, ..id },
            bucket: TokenBucket::full(self.limits.per_member.saturating_mul(2), now),
        });
        if id <= sender.last_accepted {
            return Err(MessageRejection::Stale);
        }
        sender.bucket.refill(now);
        if !sender.bucket.has_tokens(bytes) {
            return Err(MessageRejection::RateLimited);
        }
        sender.bucket.spend(bytes);
        sender.last_accepted = id;
        Ok(())
    }
}
