//! How old the list of executors is: when the name service last confirmed it, when to ask again, and whether requests may go by it.
//!
//! An executor that drains must get nothing new about two and a half seconds after it began to, whether this process has heard of it
//! or not. A list that is confirmed four times a second is far younger than that. It may be older without the name service being at
//! fault when this process was suspended, took long to start, or could not send its queries: then nobody was asked. New requests wait
//! in that case until the first answer to a query sent since, for a bounded time. While the name service itself is silent they go by
//! the last list, since it may be away for long.

/// Time between a query that was answered and the next one, in microseconds.
pub const POLL_INTERVAL_US: i64 = 250_000;
/// Time until the first query without an answer is repeated, in microseconds, unless answers are known to take longer.
const FIRST_RETRY_US: i64 = 50_000;
/// The longest such time: it doubles with each query that has no answer.
const MAX_RETRY_US: i64 = 125_000;
/// Time until a query is repeated while requests wait for its answer, in microseconds: some answers may be lost, and others slow.
const RETRY_WHILE_HOLDING_US: i64 = 25_000;
/// The process is active at least ten times a second; one that was not for so long was suspended or starved, in microseconds.
const MAX_INACTIVITY_US: i64 = 300_000;
/// For how long queries that can't be sent have new requests wait, in microseconds; after it they go by the last list.
const MAX_UNSENT_HOLD_US: i64 = 2_000_000;
/// Queries that can't be sent this long after the last such one are another failure, in microseconds. It is far longer than requests
/// wait, so that failures now and then do not have them wait again and again.
const UNSENT_RECOVERY_US: i64 = 10_000_000;
/// For how long new requests wait for a list that is confirmed, in microseconds: several queries may be lost in this time. Every
/// client of the platform waits longer than that for an answer, or is answered when its own time is up.
const MAX_HOLD_US: i64 = 1_000_000;

/// A span in which nobody could be asked, and which made the list too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingGap {
    /// Age of the list at its end, in microseconds.
    pub list_age_us: i64,
    /// From when on the name service can be asked again, in microseconds.
    ended_at: i64,
}

impl PollingGap {
    /// Until when new requests wait at most, in microseconds.
    pub fn hold_until(self) -> i64 {
        self.ended_at + MAX_HOLD_US
    }
}

/// What became of a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GapOutcome {
    /// The list was confirmed or replaced.
    Confirmed,
    /// No answer came in time.
    Unanswered,
}

/// What follows from the process having been inactive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inactivity {
    /// The list is to be asked for at once, and is good meanwhile.
    ListUsable,
    /// The list is to be asked for at once, and new requests wait.
    ListTooOld(PollingGap),
}

/// Queries that could not be sent, one soon after the other; times in microseconds.
#[derive(Clone, Copy, Debug)]
struct UnsentQueries {
    first_at: i64,
    last_at: i64,
}

impl UnsentQueries {
    /// Adds a query to those before it, unless they are of long ago.
    fn add(previous: Option<UnsentQueries>, now: i64) -> UnsentQueries {
        let recent = previous.filter(|unsent| now - unsent.last_at < UNSENT_RECOVERY_US);
        UnsentQueries {
            first_at: recent.map_or(now, |unsent| unsent.first_at),
            last_at: now,
        }
    }
}

/// The state of the list; all times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    /// When the last query was sent whose answer confirmed or replaced the list; at first, when the list was read.
    confirmed_at: i64,
    last_active_at: i64,
    last_query_at: i64,
    /// Queries since the last answer.
    unanswered: u32,
    /// How long the last answer took.
    round_trip_us: i64,
    /// Queries that could not be sent, since the last answer.
    unsent: Option<UnsentQueries>,
    gap: Option<PollingGap>,
    /// Age up to which a list is good without being confirmed.
    max_list_age_us: i64,
}

impl ListFreshness {
    /// A list that was read at a time, before the process began to serve. Requests may go to an executor for the grace after its drain
    /// was told, and a list may lag behind by all that the name service has to tell it: so it is good for the grace.
    pub fn new(read_at: i64, drain_grace_us: i64) -> ListFreshness {
        ListFreshness {
            confirmed_at: read_at,
            last_active_at: read_at,
            last_query_at: read_at,
            unanswered: 0,
            round_trip_us: 0,
            unsent: None,
            gap: None,
            max_list_age_us: drain_grace_us,
        }
    }

    /// Notes that the process is active; what follows, if it was not for long.
    pub fn record_activity(&mut self, now: i64) -> Option<Inactivity> {
        let inactive_since = self.last_active_at;
        self.last_active_at = inactive_since.max(now);
        if now - inactive_since <= MAX_INACTIVITY_US {
            return None;
        }
        if !self.explains_list_age(inactive_since, now) {
            return Some(Inactivity::ListUsable);
        }
        Some(match self.record_gap_if_list_too_old(now) {
            Some(gap) => Inactivity::ListTooOld(gap),
            None => Inactivity::ListUsable,
        })
    }

    /// Whether inactivity can be why the list is too old. Where it was too old before, and the inactivity is shorter than a list is
    /// good, the name service is silent: a process that is short of processor time must not wait for it again and again.
    fn explains_list_age(&self, inactive_since: i64, now: i64) -> bool {
        let was_good = inactive_since - self.confirmed_at <= self.max_list_age_us;
        was_good || now - inactive_since > self.max_list_age_us
    }

    /// A gap that ends now, if the list is too old.
    fn record_gap_if_list_too_old(&mut self, now: i64) -> Option<PollingGap> {
        let list_age_us = now - self.confirmed_at;
        if list_age_us <= self.max_list_age_us {
            return None;
        }
        let gap = PollingGap {
            list_age_us,
            ended_at: now,
        };
        self.gap = Some(gap);
        Some(gap)
    }

    /// Notes that a query could not be sent. Returns the gap that has begun by it; one that is there lasts longer by it.
    pub fn record_unsent_query(&mut self, now: i64) -> Option<PollingGap> {
        let unsent = UnsentQueries::add(self.unsent, now);
        self.unsent = Some(unsent);
        if now - unsent.first_at > MAX_UNSENT_HOLD_US {
            return None;
        }
        let has_gap = self.gap.is_some();
        self.record_gap_if_list_too_old(now).filter(|_| !has_gap)
    }

    /// Notes that a query is sent.
    pub fn record_query(&mut self, now: i64) {
        self.last_query_at = now;
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Notes an answer that confirms or replaces the list, to a query sent at a time; what became of the gap, if it ends one.
    pub fn record_answer(&mut self, now: i64, query_sent_at: i64) -> Option<GapOutcome> {
        self.unanswered = 0;
        self.unsent = None;
        self.round_trip_us = now - query_sent_at;
        self.confirmed_at = self.confirmed_at.max(query_sent_at);
        self.gap.take_if(|gap| query_sent_at >= gap.ended_at)?;
        Some(GapOutcome::Confirmed)
    }

    /// Ends the gap if its time is up.
    pub fn end_expired_gap(&mut self, now: i64) -> Option<GapOutcome> {
        self.gap.take_if(|gap| now >= gap.hold_until())?;
        Some(GapOutcome::Unanswered)
    }

    /// Until when new requests wait at most; `None` if they may go by the list.
    pub fn hold_until(&self) -> Option<i64> {
        self.gap.map(PollingGap::hold_until)
    }

    /// When the next query is due.
    pub fn next_query_at(&self) -> i64 {
        let delay_us = match self.unanswered.checked_sub(1) {
            _ if self.gap.is_some() => RETRY_WHILE_HOLDING_US,
            None => POLL_INTERVAL_US,
            Some(retries) => self.retry_delay_us(retries),
        };
        self.last_query_at + delay_us
    }

    /// Twice the time of an answer, so that a service that is slow or crowded is not asked more often than usual.
    fn retry_delay_us(&self, retries: u32) -> i64 {
        let doublings = retries.min(i64::BITS / 4);
        let delay_us = (FIRST_RETRY_US << doublings).min(MAX_RETRY_US);
        delay_us.max((2 * self.round_trip_us).min(POLL_INTERVAL_US))
    }
}
