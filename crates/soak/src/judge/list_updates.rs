//! When a controller counts as informed of a change of an executor, and until when it may send
//! requests by the previous list.
//!
//! These are the terms of the platform alone. Slow, old, lost or unusable answers, failing system
//! calls and suspensions extend none of them: a controller can tell that its list is not confirmed.

use super::{Judge, DRAIN_GRACE_US, SOCKET_SLACK_US, TIMING_SLACK_US};
use crate::ledger::{ControllerChange, ExecutorEvent, FaultRecord, NameServiceFault};

/// A controller counts as informed of a change this long after it happened at the latest, in
/// microseconds.
const UPDATE_LIMIT_US: i64 = 1_500_000;
/// The same limit, counted from when the name service stopped answering.
const UPDATE_LIMIT_AFTER_SILENCE_US: i64 = 4_500_000;
/// The same limit, counted from SIGHUP.
const UPDATE_LIMIT_AFTER_RELOAD_US: i64 = 4_000_000;

impl Judge<'_> {
    /// Until when a controller may send requests to an executor after a change of it: until the
    /// grace period after it was informed is over.
    pub(super) fn may_send_until(&self, controller: usize, event: &ExecutorEvent) -> i64 {
        let latest = self.informed_by(controller, event.at);
        let list_sent_at = self.list_first_sent_at(controller, event.serial);
        let informed_at = list_sent_at.map_or(latest, |at| at.min(latest));
        informed_at + DRAIN_GRACE_US + SOCKET_SLACK_US + TIMING_SLACK_US
    }

    /// When an answer with a list of this serial number or a later one was first sent to a controller.
    fn list_first_sent_at(&self, controller: usize, serial: u32) -> Option<i64> {
        let list_sent_at = self.records.list_sent_at.iter();
        let sent = list_sent_at
            .filter(|((to, sent_serial), _)| *to == controller && *sent_serial >= serial);
        sent.map(|(_, at)| *at).min()
    }

    /// When a controller counts as informed of a change that happened at this time, even if it was
    /// not.
    fn informed_by(&self, controller: usize, at: i64) -> i64 {
        let after_reloads = self.informed_after_reloads(controller, at + UPDATE_LIMIT_US);
        self.silences(at, after_reloads)
            .map(|fault| fault.from + UPDATE_LIMIT_AFTER_SILENCE_US)
            .fold(after_reloads, i64::max)
    }

    /// This limit, or a later one if a reload before it selected another address.
    fn informed_after_reloads(&self, controller: usize, limit: i64) -> i64 {
        let events = self.records.controller_events.iter();
        let reloads = events.filter(|event| {
            event.controller == controller && event.change == ControllerChange::Reloaded
        });
        reloads
            .filter(|event| event.at <= limit)
            .map(|event| event.at + UPDATE_LIMIT_AFTER_RELOAD_US)
            .fold(limit, i64::max)
    }

    /// The spans within a span in which the name service does not answer.
    fn silences(&self, from: i64, until: i64) -> impl Iterator<Item = &FaultRecord> {
        let faults = self.records.faults.iter();
        faults.filter(move |fault| {
            let is_silent = fault.name_service_fault == Some(NameServiceFault::Silent);
            is_silent && fault.from <= until && fault.until >= from
        })
    }
}
