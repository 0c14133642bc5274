//! When a change of an executor counts as told to a controller, and until when it may send by the list of before.

use super::{Judge, DRAIN_GRACE_US, SOCKET_SLACK_US, TIMING_SLACK_US};
use crate::ledger::{ControllerChange, ExecutorEvent, FaultRecord, TellingFault};
use crate::name_service::MAX_LOST_IN_A_ROW;

/// What happened counts as told after this time at the latest, in microseconds.
const TOLD_WITHIN_US: i64 = 1_500_000;
/// The same, counted from the beginning of a silence of the name service.
const TOLD_WITHIN_OF_SILENCE_US: i64 = 4_500_000;
/// The same, counted from SIGHUP.
const TOLD_WITHIN_OF_RELOAD_US: i64 = 4_000_000;
/// An answer that takes no longer is waited for by a process that was suspended, in microseconds: it must not send before.
const WORTH_WAITING_US: i64 = 400_000;
/// Time until the next question, in microseconds, and what an answer takes where nothing holds it up.
const QUESTION_US: i64 = 250_000;
/// Time until a question without an answer is repeated at the latest, in microseconds, where answers come at once.
const REPEATED_QUESTION_US: i64 = 125_000;
/// The same while requests wait for its answer.
const WAITING_QUESTION_US: i64 = 25_000;

impl Judge<'_> {
    /// Until when a controller may send to an executor after a change of it: for the grace after it was told; and, if it was suspended
    /// meanwhile, until the name service answers, where that takes longer than a request can wait.
    pub(super) fn may_send_until(&self, controller: usize, event: &ExecutorEvent) -> i64 {
        let grace = DRAIN_GRACE_US + SOCKET_SLACK_US + TIMING_SLACK_US;
        let may_send_until = self.told_at(controller, event) + grace;
        let suspensions = self.suspensions[controller].iter();
        suspensions
            .filter(|(begin, end)| *begin <= may_send_until && *end >= event.at)
            .map(|(_, end)| (*end, self.heard_at(*end)))
            .filter(|(end, heard_at)| heard_at - end > WORTH_WAITING_US)
            .map(|(end, heard_at)| heard_at + self.losses_us(end, heard_at, WAITING_QUESTION_US))
            .fold(may_send_until, i64::max)
    }

    /// When a change counts as told to a controller: once an answer that holds it was sent to it, and no later than the platform
    /// says.
    fn told_at(&self, controller: usize, event: &ExecutorEvent) -> i64 {
        let told = self.records.told.iter();
        let sent = told
            .filter(|((to, serial), _)| *to == controller && *serial >= event.serial)
            .map(|(_, at)| *at);
        sent.fold(self.latest_telling(controller, event.at), i64::min)
    }

    /// When a change counts as told to a controller whether it was or not. A fault that is worse than the platform's terms takes as long
    /// as it takes.
    fn latest_telling(&self, controller: usize, at: i64) -> i64 {
        let slow_us = self.slowness_us(at, at + TOLD_WITHIN_US);
        let behind_us = match slow_us {
            0 => 0,
            _ => self.age_of_lists_us(at, at + TOLD_WITHIN_US),
        };
        let lost_us = match slow_us {
            0 => 0,
            _ => self.losses_us(at, at + TOLD_WITHIN_US, QUESTION_US),
        };
        let usual = at + TOLD_WITHIN_US.max(QUESTION_US + slow_us + behind_us + lost_us);
        let events = self.records.controller_events.iter();
        let reloads = events.filter(|event| {
            event.controller == controller && event.change == ControllerChange::Reloaded
        });
        let after_reloads = reloads
            .filter(|event| event.at <= usual)
            .map(|event| event.at + TOLD_WITHIN_OF_RELOAD_US + slow_us)
            .fold(usual, i64::max);
        let silences = self.telling_faults(at, after_reloads);
        silences
            .filter(|(_, telling)| *telling == TellingFault::Silent)
            .map(|(fault, _)| {
                let of_silence = fault.from + TOLD_WITHIN_OF_SILENCE_US;
                let repeated_us = QUESTION_US.min(REPEATED_QUESTION_US + slow_us);
                let lost_us = self.losses_us(fault.from, fault.until + QUESTION_US, repeated_us);
                of_silence.max(fault.until + QUESTION_US + slow_us + behind_us + lost_us)
            })
            .fold(after_reloads, i64::max)
    }

    /// When an answer is sent to a question of this time.
    fn heard_at(&self, asked_at: i64) -> i64 {
        let slow_us = self.slowness_us(asked_at, asked_at);
        let silences = self.telling_faults(asked_at, asked_at);
        let ends = silences
            .filter(|(_, telling)| *telling == TellingFault::Silent)
            .map(|(fault, _)| fault.until + QUESTION_US);
        ends.fold(asked_at, i64::max) + slow_us
    }

    fn telling_faults(
        &self,
        from: i64,
        until: i64,
    ) -> impl Iterator<Item = (&FaultRecord, TellingFault)> {
        let faults = self.records.faults.iter();
        faults
            .filter(move |fault| fault.from <= until && fault.until >= from)
            .filter_map(|fault| Some((fault, fault.telling?)))
    }

    /// How much later answers came within a span.
    fn slowness_us(&self, from: i64, until: i64) -> i64 {
        let delays = self.telling_faults(from, until);
        let delays = delays.filter_map(|(_, telling)| match telling {
            TellingFault::Slow(us) => Some(us),
            _ => None,
        });
        delays.max().unwrap_or(0)
    }

    /// What the answers that are lost from a time on take, by the time between two questions; no more are lost in a row.
    fn losses_us(&self, from: i64, until: i64, question_us: i64) -> i64 {
        let mut faults = self.telling_faults(from, until);
        match faults.any(|(_, telling)| telling == TellingFault::Lossy) {
            true => i64::from(MAX_LOST_IN_A_ROW) * question_us,
            false => 0,
        }
    }

    /// How old the lists that were told within a span were.
    fn age_of_lists_us(&self, from: i64, until: i64) -> i64 {
        let ages = self.telling_faults(from, until);
        let ages = ages.filter_map(|(_, telling)| match telling {
            TellingFault::Behind(us) => Some(us),
            _ => None,
        });
        ages.max().unwrap_or(0)
    }
}
