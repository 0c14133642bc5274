//! The effects that a fault of the plan excuses. Each excuse is bounded by a time or an amount, and
//! names the rule of the platform that allows it.
//!
//! Nothing else is excused. In particular, a process that was suspended, or whose system calls
//! failed, gets no more time than others to learn of drains and of clients that disconnected,
//! because it can check for them before it acts.

use super::{Judge, ANSWER_SLACK_US};
use crate::ledger::{ControllerChange, FaultRecord, RequestRecord};

/// Time in which clients may still send requests after a process was asked to end, in microseconds.
/// A planned restart may lose requests that arrive later, as the process may be killed before it
/// answers them.
const SHUTDOWN_GRACE_US: i64 = 700_000;
/// Time within which a request must have arrived completely; the controller may reject a slower one
/// as timed out, in microseconds.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// Time that the proxy, the operating system and two threads take to forward bytes, in
/// microseconds.
const FORWARDING_SLACK_US: i64 = 50_000;

impl Judge<'_> {
    /// The faults that affect a controller within a span.
    fn faults_within(
        &self,
        controller: usize,
        from: i64,
        until: i64,
    ) -> impl Iterator<Item = &FaultRecord> {
        self.records.faults.iter().filter(move |fault| {
            let affects = fault.controllers.contains(&controller);
            affects && fault.from <= until && fault.until + FORWARDING_SLACK_US >= from
        })
    }

    /// The longest time that bytes between a client and its controller were delayed within a span.
    /// The controller cannot learn of an action of the client any sooner.
    pub(super) fn client_delay_us(&self, controller: usize, from: i64, until: i64) -> i64 {
        let faults = self.faults_within(controller, from, until);
        faults.map(|fault| fault.client_delay_us).sum()
    }

    /// Whether the request was in progress when its controller was killed by a fault, or because it
    /// was suspended when its time to end was over. Such kills may lose requests at any time.
    pub(super) fn was_killed(&self, request: &RequestRecord) -> bool {
        let kills = self.kills[request.id.controller()].iter();
        kills.clone().any(|(at, ended)| {
            *at <= request.ended_at + FORWARDING_SLACK_US
                && *ended >= request.began_at - FORWARDING_SLACK_US
        })
    }

    /// Whether the controller was killed, because it had not ended in time, so soon after a
    /// suspension that the answer to this request was not yet due.
    pub(super) fn was_killed_soon_after_suspension(&self, request: &RequestRecord) -> bool {
        let controller = request.id.controller();
        let (from, until) = (request.sent_at, request.ended_at);
        let Some(resumed_at) = self.suspended_until(controller, from, until) else {
            return false;
        };
        let mut kills = self.overdue_kills[controller].iter();
        kills.any(|at| {
            *at <= request.ended_at + FORWARDING_SLACK_US
                && *at >= resumed_at
                && *at < resumed_at + ANSWER_SLACK_US
        })
    }

    /// Whether a request may have been delayed so much that it reached a controller that was asked
    /// to end only after the grace period for requests.
    pub(super) fn arrived_after_grace(&self, request: &RequestRecord) -> bool {
        let controller = request.id.controller();
        let delay_us = self.client_delay_us(controller, request.began_at, request.ended_at)
            + request.held_up_us;
        let latest_arrival = request.sent_at + delay_us + FORWARDING_SLACK_US;
        self.records.controller_events.iter().any(|event| {
            event.controller == controller
                && event.change == ControllerChange::Terminated
                && event.at <= request.ended_at
                && latest_arrival >= event.at + SHUTDOWN_GRACE_US
                && request.began_at < event.at + 2 * SHUTDOWN_GRACE_US + delay_us
        })
    }

    /// Whether a request may have taken so long to arrive that it was rejected as timed out.
    pub(super) fn was_overdue(&self, request: &RequestRecord) -> bool {
        let controller = request.id.controller();
        let delay_us = self.client_delay_us(controller, request.began_at, request.ended_at);
        delay_us > 0 && request.ended_at - request.began_at >= REQUEST_TIMEOUT_US
    }

    /// Whether the connection may have been closed unread because idle clients held all file
    /// descriptors. This may happen to new connections only.
    pub(super) fn may_be_shut_out(&self, request: &RequestRecord) -> bool {
        self.records.has_idle_clients && request.is_first
    }

    /// The end of the last suspension of a controller that overlaps a span.
    pub(super) fn suspended_until(&self, controller: usize, from: i64, until: i64) -> Option<i64> {
        let spans = self.suspensions[controller].iter();
        let overlapping = spans.filter(|(begin, end)| *begin <= until && *end >= from);
        overlapping.map(|(_, end)| *end).max()
    }

    /// Whether a process that was asked to end may still run when it is killed. SIGKILL comes at a
    /// fixed time, and a process that was suspended meanwhile, or could not accept waiting clients,
    /// had less time than others. The requests that it leaves unanswered still count as lost.
    pub(super) fn may_be_overdue(&self, controller: usize, asked_at: i64, killed_at: i64) -> bool {
        let mut faults = self.faults_within(controller, asked_at, killed_at);
        let was_suspended = self.suspended_until(controller, asked_at, killed_at);
        was_suspended.is_some() || faults.any(|fault| fault.blocks_answers)
    }

    /// When the answer to a request is due: at the client's timeout, or at the end of the fault or
    /// suspension that kept the process from answering. An answer that is half a second later
    /// counts as lost.
    pub(super) fn answer_due_at(&self, request: &RequestRecord) -> i64 {
        let controller = request.id.controller();
        let due_at = request.sent_at + request.timeout_us;
        let (from, until) = (request.sent_at, request.ended_at);
        let blocking = self.faults_within(controller, from, until);
        let blocked_until = blocking
            .filter(|fault| fault.blocks_answers)
            .map(|fault| fault.until);
        let suspended_until = self.suspended_until(controller, from, until);
        blocked_until.chain(suspended_until).fold(due_at, i64::max)
    }

    /// Whether a violation can come from a delay of the test itself, which excuses no more than its
    /// own length.
    pub(super) fn is_within_test_delay(
        &self,
        from: i64,
        until: i64,
        excess_us: Option<i64>,
    ) -> bool {
        let delays = self.records.test_delay_spans.iter();
        let overlapping = delays.filter(|(begin, end)| *begin <= until && *end >= from);
        let delay_us: i64 = overlapping.map(|(begin, end)| end - begin).sum();
        delay_us > 0 && excess_us.is_none_or(|excess_us| excess_us <= delay_us)
    }
}
