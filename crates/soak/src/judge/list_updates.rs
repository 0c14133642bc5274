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

impl Judge<'_> {
    /// Until when a controller may send requests to an executor after a change of it: until the
    /// grace period after it was informed is over. After a suspension, it may also send until the
    /// name service answers, where that takes longer than a request can wait.
    pub(super) fn may_send_until(&self, controller: usize, event: &ExecutorEvent) -> i64 {
        let grace = DRAIN_GRACE_US + SOCKET_SLACK_US + TIMING_SLACK_US;
        let may_send_until = self.learned_at(controller, event) + grace;
        let suspensions = self.suspensions[controller].iter();
        suspensions
            .filter(|(begin, end)| *begin <= may_send_until && *end >= event.at)
            .map(|(_, end)| (*end, self.answered_at(*end)))
            .filter(|(end, answered_at)| answered_at - end > MAX_RESUME_WAIT_US)
            .map(|(end, answered_at)| {
                answered_at + self.loss_delay_us(end, answered_at, RETRY_INTERVAL_WHILE_WAITING_US)
            })
            .fold(may_send_until, i64::max)
    }

    /// When a controller counts as informed of a change: when an answer that includes it was sent
    /// to the controller, but no later than the limit that the platform promises.
    fn learned_at(&self, controller: usize, event: &ExecutorEvent) -> i64 {
        let list_sent_at = self.records.list_sent_at.iter();
        let sent = list_sent_at
            .filter(|((to, serial), _)| *to == controller && *serial >= event.serial)
            .map(|(_, at)| *at);
        sent.fold(self.latest_learned_at(controller, event.at), i64::min)
    }

    /// When a controller counts as informed of a change even if it was not. Where a fault delays
    /// answers beyond what the platform promises, the limit is extended by the delay.
    fn latest_learned_at(&self, controller: usize, at: i64) -> i64 {
        let delay_us = self.answer_delay_us(at, at + UPDATE_LIMIT_US);
        let staleness_us = match delay_us {
            0 => 0,
            _ => self.list_staleness_us(at, at + UPDATE_LIMIT_US),
        };
        let loss_us = match delay_us {
            0 => 0,
            _ => self.loss_delay_us(at, at + UPDATE_LIMIT_US, QUERY_INTERVAL_US),
        };
        let base_limit =
            at + UPDATE_LIMIT_US.max(QUERY_INTERVAL_US + delay_us + staleness_us + loss_us);
        let events = self.records.controller_events.iter();
        let reloads = events.filter(|event| {
            event.controller == controller && event.change == ControllerChange::Reloaded
        });
        let after_reloads = reloads
            .filter(|event| event.at <= base_limit)
            .map(|event| event.at + UPDATE_LIMIT_AFTER_RELOAD_US + delay_us)
            .fold(base_limit, i64::max);
        let silences = self.name_service_faults(at, after_reloads);
        silences
            .filter(|(_, name_service_fault)| *name_service_fault == NameServiceFault::Silent)
            .map(|(fault, _)| {
                let silence_limit = fault.from + UPDATE_LIMIT_AFTER_SILENCE_US;
                let retry_interval_us = QUERY_INTERVAL_US.min(RETRY_INTERVAL_US + delay_us);
                let loss_us = self.loss_delay_us(
                    fault.from,
                    fault.until + QUERY_INTERVAL_US,
                    retry_interval_us,
                );
                silence_limit
                    .max(fault.until + QUERY_INTERVAL_US + delay_us + staleness_us + loss_us)
            })
            .fold(after_reloads, i64::max)
    }

    /// When the answer to a query made at this time is sent.
    fn answered_at(&self, asked_at: i64) -> i64 {
        let delay_us = self.answer_delay_us(asked_at, asked_at);
        let silences = self.name_service_faults(asked_at, asked_at);
        let ends = silences
            .filter(|(_, name_service_fault)| *name_service_fault == NameServiceFault::Silent)
            .map(|(fault, _)| fault.until + QUERY_INTERVAL_US);
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
