//! When a controller counts as informed of a change of an executor, and until when it may send
//! requests by the previous list.

use super::{Judge, DRAIN_GRACE_US, SOCKET_SLACK_US, TIMING_SLACK_US};
use crate::ledger::{ControllerChange, ExecutorEvent, FaultRecord, NameServiceFault};
use crate::name_service::MAX_CONSECUTIVE_LOSSES;

/// A controller counts as informed of a change this long after it happened at the latest, in
/// microseconds.
const UPDATE_LIMIT_US: i64 = 1_500_000;
/// The same limit, counted from when the name service stopped answering.
const UPDATE_LIMIT_AFTER_SILENCE_US: i64 = 4_500_000;
/// The same limit, counted from SIGHUP.
const UPDATE_LIMIT_AFTER_RELOAD_US: i64 = 4_000_000;
/// After a suspension, a process must wait for an answer of the name service that takes no longer
/// than this before it sends requests, in microseconds.
const MAX_RESUME_WAIT_US: i64 = 400_000;
/// Time until the next query to the name service, including the time of an answer that nothing
/// delays, in microseconds.
const QUERY_INTERVAL_US: i64 = 250_000;
/// The longest time until an unanswered query is retried, in microseconds, where answers are not
/// delayed.
const RETRY_INTERVAL_US: i64 = 125_000;
/// The same while requests wait for the answer.
const RETRY_INTERVAL_WHILE_WAITING_US: i64 = 25_000;

/// Until when a controller may send requests to an executor that drains or is gone, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendLimit {
    /// By the terms of the platform alone.
    pub stated: i64,
    /// With what faults excuse.
    pub granted: i64,
}

/// Delays of the name service's answers, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerDelays {
    /// The longest delay of an answer.
    delay_us: i64,
    /// The age of the oldest list.
    staleness_us: i64,
    /// The time that lost answers can cost.
    loss_us: i64,
}

impl AnswerDelays {
    fn total_us(self) -> i64 {
        self.delay_us + self.staleness_us + self.loss_us
    }
}

impl Judge<'_> {
    /// Until when a controller may send requests to an executor after a change of it: until the
    /// grace period after it was informed is over. After a suspension, it may also send until the
    /// name service answers, where that takes longer than a request can wait.
    pub(super) fn may_send_until(&self, controller: usize, event: &ExecutorEvent) -> SendLimit {
        let grace = DRAIN_GRACE_US + SOCKET_SLACK_US + TIMING_SLACK_US;
        let list_sent_at = self.list_first_sent_at(controller, event.serial);
        let learned_by = |latest: i64| list_sent_at.map_or(latest, |at| at.min(latest));
        let stated = learned_by(self.stated_learned_at(controller, event.at)) + grace;
        let granted = learned_by(self.latest_learned_at(controller, event.at)) + grace;
        let suspensions = self.suspensions[controller].iter();
        let granted = suspensions
            .filter(|(begin, end)| *begin <= granted && *end >= event.at)
            .map(|(_, end)| (*end, self.answered_at(*end)))
            .filter(|(end, answered_at)| answered_at - end > MAX_RESUME_WAIT_US)
            .map(|(end, answered_at)| {
                answered_at + self.loss_delay_us(end, answered_at, RETRY_INTERVAL_WHILE_WAITING_US)
            })
            .fold(granted, i64::max);
        SendLimit { stated, granted }
    }

    /// When an answer with a list of this serial number or a later one was first sent to a controller.
    fn list_first_sent_at(&self, controller: usize, serial: u32) -> Option<i64> {
        let list_sent_at = self.records.list_sent_at.iter();
        let sent = list_sent_at
            .filter(|((to, sent_serial), _)| *to == controller && *sent_serial >= serial);
        sent.map(|(_, at)| *at).min()
    }

    /// When a controller counts as informed of a change even if it was not, by the terms of the platform alone.
    fn stated_learned_at(&self, controller: usize, at: i64) -> i64 {
        let after_reloads =
            self.learned_after_reloads(controller, at + UPDATE_LIMIT_US, AnswerDelays::default());
        self.silences(at, after_reloads)
            .map(|fault| fault.from + UPDATE_LIMIT_AFTER_SILENCE_US)
            .fold(after_reloads, i64::max)
    }

    /// When a controller counts as informed of a change even if it was not. Where a fault delays
    /// answers beyond what the platform promises, the limit is extended by the delay.
    fn latest_learned_at(&self, controller: usize, at: i64) -> i64 {
        let delays = self.answer_delays(at, at + UPDATE_LIMIT_US);
        let limit = at + UPDATE_LIMIT_US.max(QUERY_INTERVAL_US + delays.total_us());
        let after_reloads = self.learned_after_reloads(controller, limit, delays);
        self.silences(at, after_reloads)
            .map(|fault| {
                let silence_limit = fault.from + UPDATE_LIMIT_AFTER_SILENCE_US;
                let retry_interval_us = QUERY_INTERVAL_US.min(RETRY_INTERVAL_US + delays.delay_us);
                let loss_us = self.loss_delay_us(
                    fault.from,
                    fault.until + QUERY_INTERVAL_US,
                    retry_interval_us,
                );
                let delays = AnswerDelays { loss_us, ..delays };
                silence_limit.max(fault.until + QUERY_INTERVAL_US + delays.total_us())
            })
            .fold(after_reloads, i64::max)
    }

    /// The delays of the answers of the name service within a span. Old lists and losses count only where answers are slow too: otherwise
    /// a controller learns of a change in time in spite of them.
    fn answer_delays(&self, from: i64, until: i64) -> AnswerDelays {
        match self.answer_delay_us(from, until) {
            0 => AnswerDelays::default(),
            delay_us => AnswerDelays {
                delay_us,
                staleness_us: self.list_staleness_us(from, until),
                loss_us: self.loss_delay_us(from, until, QUERY_INTERVAL_US),
            },
        }
    }

    /// This limit, or a later one if a reload before it selected another address.
    fn learned_after_reloads(&self, controller: usize, limit: i64, delays: AnswerDelays) -> i64 {
        let events = self.records.controller_events.iter();
        let reloads = events.filter(|event| {
            event.controller == controller && event.change == ControllerChange::Reloaded
        });
        reloads
            .filter(|event| event.at <= limit)
            .map(|event| event.at + UPDATE_LIMIT_AFTER_RELOAD_US + delays.delay_us)
            .fold(limit, i64::max)
    }

    /// The spans within a span in which the name service does not answer.
    fn silences(&self, from: i64, until: i64) -> impl Iterator<Item = &FaultRecord> {
        self.name_service_faults(from, until)
            .filter(|(_, name_service_fault)| *name_service_fault == NameServiceFault::Silent)
            .map(|(fault, _)| fault)
    }

    /// When the answer to a query made at this time is sent.
    fn answered_at(&self, asked_at: i64) -> i64 {
        let delay_us = self.answer_delay_us(asked_at, asked_at);
        let silences = self.silences(asked_at, asked_at);
        let ends = silences.map(|fault| fault.until + QUERY_INTERVAL_US);
        ends.fold(asked_at, i64::max) + delay_us
    }

    fn name_service_faults(
        &self,
        from: i64,
        until: i64,
    ) -> impl Iterator<Item = (&FaultRecord, NameServiceFault)> {
        let faults = self.records.faults.iter();
        faults
            .filter(move |fault| fault.from <= until && fault.until >= from)
            .filter_map(|fault| Some((fault, fault.name_service_fault?)))
    }

    /// The longest delay of the name service's answers within a span.
    fn answer_delay_us(&self, from: i64, until: i64) -> i64 {
        let delays = self.name_service_faults(from, until);
        let delays = delays.filter_map(|(_, name_service_fault)| match name_service_fault {
            NameServiceFault::Slow(us) => Some(us),
            _ => None,
        });
        delays.max().unwrap_or(0)
    }

    /// The time that the answers lost from a time on can cost, given the time between two queries.
    /// The number of consecutive losses is bounded.
    fn loss_delay_us(&self, from: i64, until: i64, query_interval_us: i64) -> i64 {
        let mut faults = self.name_service_faults(from, until);
        match faults.any(|(_, name_service_fault)| name_service_fault == NameServiceFault::Lossy) {
            true => i64::from(MAX_CONSECUTIVE_LOSSES) * query_interval_us,
            false => 0,
        }
    }

    /// The age of the oldest list that was sent within a span.
    fn list_staleness_us(&self, from: i64, until: i64) -> i64 {
        let ages = self.name_service_faults(from, until);
        let ages = ages.filter_map(|(_, name_service_fault)| match name_service_fault {
            NameServiceFault::Stale(us) => Some(us),
            _ => None,
        });
        ages.max().unwrap_or(0)
    }
}
