//! Until when requests may be routed by the list of executors.
//!
//! An executor must not get new requests later than the grace period after its drain or removal was published, whether or not this
//! process has learned of it. The list reflects every change that was published when the query was sent that the name service last
//! answered. Any other change was published later than that, so the list may be used for the publication delay and the grace period
//! after this query. The platform states the delays.
//!
//! When that time is over, requests are held for a bounded time. If the list is still not confirmed then, they are rejected, unless
//! the name service is silent, which the platform allows for with a longer publication delay.

/// Time after which a change counts as published, in microseconds, whether or not an answer contained it.
const PUBLICATION_DELAY_US: i64 = 1_500_000;
/// The same time counted from the beginning of an outage of the name service, in microseconds.
const OUTAGE_PUBLICATION_DELAY_US: i64 = 4_500_000;
/// The same time counted from a switch to another name service, in microseconds.
const RELOAD_PUBLICATION_DELAY_US: i64 = 4_000_000;
/// Maximum time for which new requests are held until the list is confirmed, in microseconds. Several queries may be lost in this
/// time. Every client of the platform waits longer than this for a response, or is answered at its own deadline.
pub const MAX_HOLD_US: i64 = 1_000_000;
/// Time without an accepted answer after which the name service is taken for silent, in microseconds.
const SILENCE_US: i64 = 1_000_000;

/// What may be done with requests by the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// Requests are routed by the list.
    Usable,
    /// Requests wait for an answer of the name service, until this time in microseconds at most.
    Held {
        /// End of the hold, unless the list is confirmed before.
        until: i64,
    },
    /// The list must not be used until the name service confirms it. Requests are rejected.
    Expired,
}

/// What determines until when the list may be used; all times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ListValidity {
    /// When the last query was sent whose answer confirmed or replaced the list.
    confirmed_at: i64,
    /// When the last accepted answer arrived.
    answered_at: i64,
    /// Whether any answer was accepted since the start.
    has_answer: bool,
    /// The first switch to another name service since the list was last confirmed, if any.
    reloaded_at: Option<i64>,
    /// Since when the list has been too old without interruption, if it was too old at the last accepted answer.
    overdue_since: Option<i64>,
    /// When something other than the name service last kept this process from confirming the list, unless a query sent since was answered.
    other_cause_at: Option<i64>,
    /// When the first answer since the last accepted one arrived that could not be used, if any did.
    unusable_answer_at: Option<i64>,
    drain_grace_us: i64,
}

impl ListValidity {
    /// Creates the state for a list that was read at `read_at`.
    pub fn new(read_at: i64, drain_grace_us: i64) -> ListValidity {
        ListValidity {
            confirmed_at: read_at,
            answered_at: read_at,
            has_answer: false,
            reloaded_at: None,
            overdue_since: None,
            other_cause_at: None,
            unusable_answer_at: None,
            drain_grace_us,
        }
    }

    /// Records an answer that confirms or replaces the list. `confirmed_at` is when the last query was sent that was answered so.
    pub fn record_answer(&mut self, now: i64, confirmed_at: i64) {
        let overdue_since = self.overdue_since();
        self.confirmed_at = confirmed_at;
        self.answered_at = now;
        self.has_answer = true;
        self.reloaded_at = None;
        // An answer to an earlier query may have waited in the socket meanwhile.
        self.other_cause_at.take_if(|at| confirmed_at >= *at);
        self.unusable_answer_at = None;
        self.overdue_since = (now > self.usable_until()).then_some(overdue_since);
    }

    /// Records an answer of the name service that neither confirms nor replaces the list. It shows that the name service is not silent,
    /// and that the next answer may confirm the list.
    pub fn record_unusable_answer(&mut self, now: i64) {
        self.unusable_answer_at.get_or_insert(now);
    }

    /// Records that this process could not query the name service or read its answers, so that a missing confirmation does not show
    /// that the name service is silent.
    pub fn record_other_cause(&mut self, now: i64) {
        self.other_cause_at = Some(now);
    }

    /// Records a switch to another name service, whose list may be outdated for a while. It puts off the publication of changes only if
    /// they did not count as published before.
    pub fn record_reload(&mut self, now: i64) {
        if now <= self.confirmed_at + PUBLICATION_DELAY_US {
            self.reloaded_at.get_or_insert(now);
        }
    }

    /// Records that requests have been held since `held_since`, so that they are not held again before the list is confirmed.
    pub fn record_hold(&mut self, held_since: i64) {
        self.overdue_since.get_or_insert(held_since);
    }

    /// What may be done by the list now.
    pub fn list_use(&self, now: i64) -> ListUse {
        if now <= self.usable_until() || self.is_usable_in_outage(now) {
            return ListUse::Usable;
        }
        let held_since = self
            .overdue_since()
            .max(self.unusable_answer_at.unwrap_or(0));
        let until = held_since + MAX_HOLD_US;
        match now < until {
            true => ListUse::Held { until },
            false => ListUse::Expired,
        }
    }

    /// Until when the list may be used if the name service is not silent. Answers that this process could not read may have been sent
    /// in time, so nothing is granted for their publication.
    fn usable_until(&self) -> i64 {
        if self.other_cause_at.is_some() {
            return self.confirmed_at + self.drain_grace_us;
        }
        let published_at = self.confirmed_at + PUBLICATION_DELAY_US;
        let reload_published_at = self.reloaded_at.map(|at| at + RELOAD_PUBLICATION_DELAY_US);
        published_at.max(reload_published_at.unwrap_or(published_at)) + self.drain_grace_us
    }

    /// Whether the list may be used because the name service has been silent since the last answer. The first moments of a silence
    /// are no outage, as answers may merely be lost. Nor is a silence that may have begun before the start of this process.
    fn is_usable_in_outage(&self, now: i64) -> bool {
        let is_outage = self.has_answer
            && self.other_cause_at.is_none()
            && self.unusable_answer_at.is_none()
            && now - self.answered_at >= SILENCE_US
            && now >= self.overdue_since() + MAX_HOLD_US;
        is_outage && now <= self.confirmed_at + OUTAGE_PUBLICATION_DELAY_US + self.drain_grace_us
    }

    fn overdue_since(&self) -> i64 {
        self.overdue_since.unwrap_or_else(|| self.usable_until())
    }
}
