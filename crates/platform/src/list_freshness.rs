//! The age of the list of executors: when the name service last confirmed it, when to query it again, and whether requests may be
//! routed by it.
//!
//! A draining executor must not get new requests later than about 2.5 s after it began to drain, whether or not this process has
//! learned of it. A list that is confirmed four times per second is normally much younger. It can become older without a fault of
//! the name service if this process was suspended, took long to start, or could not send its queries, so that the list was not
//! refreshed. In that case new requests are held, for a bounded time, until the first answer to a query sent afterwards. If the
//! name service itself does not answer, requests are routed by the last list as long as `list_validity` allows.

use crate::list_validity::{ListUse, ListValidity, MAX_HOLD_US};

/// Interval between an answered query and the next one, in microseconds.
pub const POLL_INTERVAL_US: i64 = 250_000;
/// Time after which an unanswered query is first repeated, in microseconds, unless answers are known to take longer.
const FIRST_RETRY_US: i64 = 50_000;
/// Number of answers whose round-trip times tell whether the name service is slow: a second of regular queries.
const ROUND_TRIPS: usize = 4;
/// Maximum time after which an unanswered query is repeated, in microseconds. The time doubles with each unanswered query.
const MAX_RETRY_US: i64 = 125_000;
/// Bounds of the time without any answer after which answers of a slow name service are taken for lost, in microseconds. It is twice
/// the longest time between the last answers.
const MIN_SILENCE_US: i64 = 500_000;
const MAX_SILENCE_US: i64 = 1_000_000;
/// Time by which the answers of a slow name service must be late, beyond the longest time between the last ones, before they are taken
/// for lost, in microseconds.
const LATE_ANSWER_US: i64 = 125_000;
/// Interval between the queries of a burst, in microseconds, and the duration of a burst. A burst follows when the answers of a slow
/// name service stop: by then, all queries of the last round-trip time may be lost, and the list is that old.
const BURST_INTERVAL_US: i64 = 25_000;
const BURST_DURATION_US: i64 = 500_000;
/// Minimum time between the beginnings of two bursts, in microseconds, as the name service may be overloaded.
const BURST_SPACING_US: i64 = 10_000_000;
/// Time after which a query is repeated while requests are held after a gap, in microseconds, as answers may be lost or slow.
const RETRY_WHILE_HOLDING_US: i64 = 25_000;
/// Time without activity after which the process is considered to have been suspended or starved of CPU time, in microseconds. It
/// is normally active at least ten times per second.
const MAX_INACTIVITY_US: i64 = 300_000;
/// Maximum time for which failures to send queries or to read answers extend the hold of new requests, in microseconds.
const MAX_FAILURE_HOLD_US: i64 = 2_000_000;
/// Time without such failures after which the next one counts as a new incident, in microseconds. It is much longer than requests
/// are held, so that occasional failures do not cause requests to be held repeatedly.
const FAILURE_RECOVERY_US: i64 = 10_000_000;

/// A period in which the name service could not be queried and the list became too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingGap {
    /// Age of the list at the end of the gap, in microseconds.
    pub list_age_us: i64,
    /// Time from which the name service can be queried again, in microseconds.
    ended_at: i64,
}

impl PollingGap {
    /// Time until which new requests are held at most, in microseconds.
    fn hold_until(self) -> i64 {
        self.ended_at + MAX_HOLD_US
    }
}

/// The state of the list after a period of inactivity of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inactivity {
    /// The list must be queried at once, and may be used meanwhile.
    ListUsable,
    /// The list must be queried at once, and new requests are held until it is confirmed.
    ListTooOld(PollingGap),
}

/// An incident of queries that could not be sent, or answers that could not be read; times are in microseconds.
#[derive(Clone, Copy, Debug)]
struct FailedCalls {
    first_at: i64,
    last_at: i64,
}

impl FailedCalls {
    /// Adds a failed call to the previous incident, or starts a new one if that was too long ago.
    fn add(previous: Option<FailedCalls>, now: i64) -> FailedCalls {
        let recent = previous.filter(|failed| now - failed.last_at < FAILURE_RECOVERY_US);
        FailedCalls {
            first_at: recent.map_or(now, |failed| failed.first_at),
            last_at: now,
        }
    }
}

/// The state of the list of executors and of the queries for it; all times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    /// When the last query was sent whose answer confirmed or replaced the list; initially, when the list was read.
    confirmed_at: i64,
    /// When the process was last active.
    last_active_at: i64,
    last_query_at: i64,
    /// When the last answer arrived.
    answered_at: i64,
    /// Number of queries since the last answer.
    unanswered: u32,
    /// Times between the last answers and their queries.
    round_trips_us: [i64; ROUND_TRIPS],
    /// Times between the last answers and the answers before them.
    answer_gaps_us: [i64; ROUND_TRIPS],
    /// Number of answers so far.
    answers: usize,
    /// When the last burst of queries began, if there was one.
    burst_began_at: Option<i64>,
    /// The current incident of queries that could not be sent or answers that could not be read, if any since the last answer.
    failed_calls: Option<FailedCalls>,
    /// The gap after which requests are being held, if any.
    gap: Option<PollingGap>,
    /// Whether it was reported since the last answer that the list is overdue.
    is_overdue_reported: bool,
    /// Maximum age at which the list may be used without being confirmed after a time in which this process could not refresh it.
    max_list_age_us: i64,
    validity: ListValidity,
}

impl ListFreshness {
    /// Creates the state for a list that was read at `read_at`, before the process began to serve. Requests may still be sent to
    /// an executor for `drain_grace_us` after the name service announced its drain, so a list need not reflect a change within that
    /// time. It may therefore be used for the grace period without being confirmed.
    pub fn new(read_at: i64, drain_grace_us: i64) -> ListFreshness {
        ListFreshness {
            confirmed_at: read_at,
            last_active_at: read_at,
            last_query_at: read_at,
            answered_at: read_at,
            unanswered: 0,
            round_trips_us: [0; ROUND_TRIPS],
            answer_gaps_us: [0; ROUND_TRIPS],
            answers: 0,
            burst_began_at: None,
            failed_calls: None,
            gap: None,
            is_overdue_reported: false,
            max_list_age_us: drain_grace_us,
            validity: ListValidity::new(read_at, drain_grace_us),
        }
    }

    /// Records that the process is active. If it was inactive before for too long, returns the state of the list.
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

    /// Whether the inactivity can be the reason why the list is too old. If the list was too old already, and the inactivity was
    /// shorter than the maximum age of a list, the reason is that the name service does not answer. A process that is short of CPU
    /// time must not hold requests for it repeatedly.
    fn explains_list_age(&self, inactive_since: i64, now: i64) -> bool {
        let was_good = inactive_since - self.confirmed_at <= self.max_list_age_us;
        was_good || now - inactive_since > self.max_list_age_us
    }

    /// If the list is too old, records a gap that ends now and returns it.
    fn record_gap_if_list_too_old(&mut self, now: i64) -> Option<PollingGap> {
        if !self.is_overdue(now) {
            return None;
        }
        let gap = PollingGap {
            list_age_us: self.list_age_us(now),
            ended_at: now,
        };
        self.gap = Some(gap);
        self.validity.record_other_cause(now);
        Some(gap)
    }

    /// Age of the list: the time since the last query was sent whose answer confirmed or replaced it, in microseconds.
    pub fn list_age_us(&self, now: i64) -> i64 {
        now - self.confirmed_at
    }

    /// Time since the last accepted answer arrived, in microseconds.
    pub fn silence_us(&self, now: i64) -> i64 {
        now - self.answered_at
    }

    /// Whether the list is older than it may be without being confirmed if this process could not refresh it, for the first time since
    /// the last answer.
    pub fn report_overdue(&mut self, now: i64) -> bool {
        let was_reported = self.is_overdue_reported;
        self.is_overdue_reported |= self.is_overdue(now);
        self.is_overdue_reported && !was_reported
    }

    /// Whether the list is older than it may be without being confirmed if this process could not refresh it.
    fn is_overdue(&self, now: i64) -> bool {
        self.list_age_us(now) > self.max_list_age_us
    }

    /// Records that a query could not be sent, or answers could not be read. Returns the gap if this starts one. If there is a gap already, its end is moved to
    /// now.
    pub fn record_failed_call(&mut self, now: i64) -> Option<PollingGap> {
        self.validity.record_other_cause(now);
        let failed = FailedCalls::add(self.failed_calls, now);
        self.failed_calls = Some(failed);
        if now - failed.first_at > MAX_FAILURE_HOLD_US {
            return None;
        }
        let has_gap = self.active_gap(now).is_some();
        self.record_gap_if_list_too_old(now).filter(|_| !has_gap)
    }

    /// Records that a query was sent.
    pub fn record_query(&mut self, now: i64) {
        self.last_query_at = now;
        self.unanswered = self.unanswered.saturating_add(1);
        if self.burst_at().is_some_and(|at| at <= now) && !self.is_burst_recent(now) {
            self.burst_began_at = Some(now);
        }
    }

    /// Records an answer that confirms or replaces the list, to the query sent at `query_sent_at`.
    pub fn record_answer(&mut self, now: i64, query_sent_at: i64) {
        self.answer_gaps_us[self.answers % ROUND_TRIPS] = now - self.answered_at;
        self.answered_at = now;
        self.unanswered = 0;
        self.failed_calls = None;
        self.is_overdue_reported = false;
        self.round_trips_us[self.answers % ROUND_TRIPS] = now - query_sent_at;
        self.answers = self.answers.wrapping_add(1);
        self.confirmed_at = self.confirmed_at.max(query_sent_at);
        self.validity.record_answer(now, self.confirmed_at);
        self.gap.take_if(|gap| query_sent_at >= gap.ended_at);
    }

    /// Records an answer of the name service that neither confirms nor replaces the list.
    pub fn record_unusable_answer(&mut self, now: i64) {
        self.validity.record_unusable_answer(now);
    }

    /// Records a switch to another name service.
    pub fn record_reload(&mut self, now: i64) {
        self.validity.record_reload(now);
    }

    /// What may be done with requests by the list now.
    pub fn list_use(&self, now: i64) -> ListUse {
        if let Some(gap) = self.active_gap(now) {
            return ListUse::Held {
                until: gap.hold_until(),
            };
        }
        let mut validity = self.validity;
        if let Some(gap) = self.gap {
            validity.record_hold(gap.ended_at);
        }
        validity.list_use(now)
    }

    /// The gap after which requests are held now, if any.
    fn active_gap(&self, now: i64) -> Option<PollingGap> {
        self.gap.filter(|gap| now < gap.hold_until())
    }

    /// Whether the last accepted answer arrived at `since` or later.
    pub fn is_answered_since(&self, since: i64) -> bool {
        self.answered_at >= since
    }

    /// Time at which the next query is due.
    pub fn next_query_at(&self) -> i64 {
        let delay_us = match self.unanswered.checked_sub(1) {
            _ if self.active_gap(self.last_query_at).is_some() => RETRY_WHILE_HOLDING_US,
            None => POLL_INTERVAL_US,
            Some(retries) => self.retry_delay_us(retries),
        };
        let regular_at = self.last_query_at + delay_us;
        self.next_burst_query_at()
            .map_or(regular_at, |at| at.min(regular_at))
    }

    /// Time at which the next query of a burst is due; `None` if there is to be none.
    fn next_burst_query_at(&self) -> Option<i64> {
        let next_at = self.burst_at()?.max(self.last_query_at + BURST_INTERVAL_US);
        let is_allowed = match self.burst_began_at {
            Some(began_at) if next_at < began_at + BURST_SPACING_US => {
                next_at < began_at + BURST_DURATION_US
            }
            _ => true,
        };
        is_allowed.then_some(next_at)
    }

    /// Whether the last burst began so recently that none may begin now.
    fn is_burst_recent(&self, now: i64) -> bool {
        self.burst_began_at
            .is_some_and(|began_at| now < began_at + BURST_SPACING_US)
    }

    /// Time at which the answers of a slow name service are late, if none arrives before; `None` if the name service is not slow.
    fn burst_at(&self) -> Option<i64> {
        let is_slow = 2 * self.shortest_round_trip_us() > MAX_RETRY_US;
        let usual_gap_us = self
            .longest_answer_gap_us()
            .clamp(POLL_INTERVAL_US, MAX_SILENCE_US);
        is_slow.then_some(self.answered_at + usual_gap_us + LATE_ANSWER_US)
    }

    fn shortest_round_trip_us(&self) -> i64 {
        self.round_trips_us.into_iter().min().unwrap_or(0)
    }

    fn longest_answer_gap_us(&self) -> i64 {
        self.answer_gaps_us.into_iter().max().unwrap_or(0)
    }

    /// The delay before the next repetition of an unanswered query. It is at least twice the shortest of the last round-trip times (up
    /// to the usual interval), so that a slow or overloaded name service is not queried more often than usual, and a single slow answer
    /// delays nothing. Where no answer arrives at all for a while, answers are being lost, and the delay is the shortest.
    fn retry_delay_us(&self, retries: u32) -> i64 {
        let doublings = retries.min(i64::BITS / 4);
        let delay_us = (FIRST_RETRY_US << doublings).min(MAX_RETRY_US);
        let round_trip_us = self.shortest_round_trip_us();
        let max_silence_us =
            (2 * self.longest_answer_gap_us()).clamp(MIN_SILENCE_US, MAX_SILENCE_US);
        let are_answers_lost = self.last_query_at - self.answered_at > max_silence_us;
        match are_answers_lost {
            true => delay_us,
            false => delay_us.max((2 * round_trip_us).min(POLL_INTERVAL_US)),
        }
    }
}
