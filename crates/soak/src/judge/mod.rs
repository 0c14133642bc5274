//! Checks the invariants against the events that were recorded at both ends of each connection.
//!
//! The limits include slack for what the test cannot time more precisely. What a fault of the plan
//! excuses is bounded: `bounds` holds the bounds for delayed bytes and processes, `list_updates`
//! those for the executor lists of the name service. Each violation that is passed over for that, or
//! for a delay of the test itself, is counted (`excuses`).

mod bounds;
mod excuses;
mod list_updates;
mod processes;
mod slow_start;
mod verdict;

use crate::ledger::{
    ControllerChange, ExecutorChange, Receipt, Records, RequestEnd, RequestId, RequestRecord,
};
use crate::settings::{Class, DRAIN_GRACE_US};
pub use excuses::{Excuse, ExcuseCount, ExcuseReason, Excuses};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
pub use verdict::{Totals, Verdict};

/// By how much an answer may exceed its due time, or the end of a suspension, before it counts as
/// lost, in microseconds.
const ANSWER_SLACK_US: i64 = 500_000;
/// How long after a client disconnected an attempt for it may begin, in microseconds.
const DISCONNECT_SLACK_US: i64 = 100_000;
/// By how much the time limit of an attempt may exceed the time that the client has left, in
/// microseconds.
const LIMIT_SLACK_US: i64 = 150_000;
/// Extra time on every limit that is measured over sockets, in microseconds.
const SOCKET_SLACK_US: i64 = 50_000;
/// Precision with which the test can time events, in microseconds.
const TIMING_SLACK_US: i64 = 100_000;

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request has exactly one final answer, in time.
    Answer,
    /// A request that must run at most once is not repeated.
    Repeat,
    /// An executor that drains or is gone gets no new requests.
    Drain,
    /// No attempt begins for a client that disconnected.
    Departure,
    /// No attempt has a longer time limit than its client.
    Limit,
    /// An executor in slow start is not overloaded.
    SlowStart,
    /// No process crashes, fails to start or takes too long to become ready.
    Process,
    /// The controllers' own invariant checks report nothing.
    Guard,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// A violation of an invariant, and the events that led to it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The controller, if the violation belongs to one.
    pub controller: Option<usize>,
    /// The request, if the violation belongs to one.
    pub request: Option<RequestId>,
    /// When it was observed, in microseconds since the start.
    pub at: i64,
    /// Start of the span whose events are judged, in microseconds.
    pub since: i64,
    /// By how much a time limit was exceeded, if one was, in microseconds.
    pub excess_us: Option<i64>,
    /// What was observed.
    pub description: String,
    /// The events that led to it, one on each line.
    pub timeline: Vec<String>,
}

/// Checks the records of a run against all invariants.
pub fn judge(records: &Records) -> Verdict {
    let judge = Judge::new(records);
    let mut found = Vec::new();
    judge.answers(&mut found);
    judge.repeats(&mut found);
    judge.drains(&mut found);
    judge.disconnects_and_limits(&mut found);
    judge.slow_starts(&mut found);
    judge.processes(&mut found);
    judge.guards(&mut found);
    let (excused, mut violations): (Vec<_>, Vec<_>) = found
        .into_iter()
        .partition(|violation| judge.is_explained_by_test_delay(violation));
    violations.sort_by_key(|violation| violation.at);
    for violation in &excused {
        let granted_us = violation.excess_us.unwrap_or(0);
        judge.excuse(violation.invariant, ExcuseReason::TestDelay, granted_us);
    }
    let totals = Totals {
        not_judged: excused.len(),
        ..totals(records)
    };
    Verdict {
        violations,
        totals,
        excuses: judge.excuses.into_inner(),
        faults: records.faults.len(),
    }
}

fn totals(records: &Records) -> Totals {
    let count = |is: &dyn Fn(RequestEnd) -> bool| {
        let requests = records.requests.iter();
        requests.filter(|request| is(request.end)).count()
    };
    Totals {
        requests: records.requests.len(),
        served: count(&|end| end == RequestEnd::Answered(200)),
        rejected: count(&|end| end == RequestEnd::Answered(503)),
        failed: count(&|end| end == RequestEnd::Answered(500)),
        abandoned: count(&|end| end == RequestEnd::Abandoned),
        cut: count(&|end| end == RequestEnd::CutByProxy),
        crossed: count(&|end| end == RequestEnd::CrossedClose),
        not_sent: count(&|end| end == RequestEnd::NotSent),
        receipts: records.receipts.len(),
        not_judged: 0,
    }
}

struct Judge<'a> {
    records: &'a Records,
    requests: BTreeMap<RequestId, &'a RequestRecord>,
    /// Spans in which each controller was suspended.
    suspensions: Vec<Vec<(i64, i64)>>,
    /// For each controller, when it was killed by a fault or while it was suspended, and when the
    /// process had ended.
    kills: Vec<Vec<(i64, i64)>>,
    /// For each controller, when it was killed because it had not ended in time.
    overdue_kills: Vec<Vec<i64>>,
    excuses: RefCell<Excuses>,
}

impl<'a> Judge<'a> {
    fn new(records: &'a Records) -> Judge<'a> {
        let mut suspensions = vec![Vec::new(); records.controllers];
        let mut kills: Vec<Vec<(i64, i64)>> = vec![Vec::new(); records.controllers];
        let mut overdue_kills: Vec<Vec<i64>> = vec![Vec::new(); records.controllers];
        for event in &records.controller_events {
            let spans: &mut Vec<(i64, i64)> = &mut suspensions[event.controller];
            match event.change {
                ControllerChange::Suspended => spans.push((event.at, i64::MAX)),
                ControllerChange::Resumed | ControllerChange::Started => {
                    if let Some(last) = spans.last_mut().filter(|last| last.1 == i64::MAX) {
                        last.1 = event.at;
                    }
                }
                ControllerChange::Killed | ControllerChange::KilledSuspended => {
                    kills[event.controller].push((event.at, i64::MAX))
                }
                ControllerChange::Overdue => overdue_kills[event.controller].push(event.at),
                ControllerChange::Exited(_) => {
                    let open = kills[event.controller].last_mut();
                    if let Some(last) = open.filter(|last| last.1 == i64::MAX) {
                        last.1 = event.at;
                    }
                }
                _ => {}
            }
        }
        Judge {
            records,
            requests: records.requests.iter().map(|r| (r.id, r)).collect(),
            suspensions,
            kills,
            overdue_kills,
            excuses: RefCell::default(),
        }
    }

    /// Records that a violation was passed over, and the time that was granted for it.
    fn excuse(&self, invariant: Invariant, reason: ExcuseReason, granted_us: i64) {
        self.excuses
            .borrow_mut()
            .push(invariant, reason, granted_us);
    }

    /// Records an excuse of the answer to a request that is no span of time. Returns that there is no violation.
    fn excuse_answer(&self, reason: ExcuseReason) -> Option<Violation> {
        self.excuse(Invariant::Answer, reason, 0);
        None
    }

    /// Whether a violation can come from a delay of the test itself.
    fn is_explained_by_test_delay(&self, violation: &Violation) -> bool {
        let is_timed = !matches!(violation.invariant, Invariant::Repeat | Invariant::Guard);
        let from = violation.since - TIMING_SLACK_US;
        let until = violation.at + TIMING_SLACK_US;
        is_timed && self.is_within_test_delay(from, until, violation.excess_us)
    }

    /// Creates a violation that was observed at `at`, and by how much that was too late, if it was.
    fn violation(
        &self,
        invariant: Invariant,
        request: RequestId,
        at: i64,
        excess_us: Option<i64>,
        description: String,
    ) -> Violation {
        let sent = self.requests.get(&request);
        Violation {
            invariant,
            controller: Some(request.controller()),
            request: Some(request),
            at,
            since: sent.map_or(at, |request| request.began_at.min(at)),
            excess_us,
            description,
            timeline: Vec::new(),
        }
    }

    /// Each request has one complete answer, no later than half a second after it is due.
    fn answers(&self, found: &mut Vec<Violation>) {
        for request in &self.records.requests {
            let Some(violation) = self.answer_violation(request) else {
                continue;
            };
            if self.was_killed(request) {
                self.excuse(Invariant::Answer, ExcuseReason::Killed, 0);
            } else {
                found.push(violation);
            }
        }
        for (id, at) in &self.records.unsolicited_answers {
            let description = "more than one answer".to_string();
            found.push(self.violation(Invariant::Answer, *id, *at, None, description));
        }
        for (controller, at) in &self.records.refused {
            found.push(Violation {
                invariant: Invariant::Answer,
                controller: Some(*controller),
                request: None,
                at: *at,
                since: *at,
                excess_us: None,
                description: "a serving controller refused a connection".into(),
                timeline: Vec::new(),
            });
        }
    }

    /// What is wrong with the outcome of a request, if anything.
    fn answer_violation(&self, request: &RequestRecord) -> Option<Violation> {
        let violation = |excess_us, description: String| {
            let at = request.ended_at;
            Some(self.violation(Invariant::Answer, request.id, at, excess_us, description))
        };
        match request.end {
            RequestEnd::Abandoned | RequestEnd::CutByProxy | RequestEnd::NotSent => None,
            RequestEnd::CrossedClose => None,
            RequestEnd::Lost if self.arrived_after_grace(request) => {
                self.excuse_answer(ExcuseReason::ArrivedAfterGrace)
            }
            RequestEnd::Lost if self.may_be_shut_out(request) => {
                self.excuse_answer(ExcuseReason::ShutOut)
            }
            RequestEnd::Lost if self.was_killed_soon_after_suspension(request) => {
                self.excuse_answer(ExcuseReason::KilledAfterSuspension)
            }
            RequestEnd::Lost => violation(None, "its connection ended without an answer".into()),
            RequestEnd::Unreadable => violation(
                None,
                "the response was malformed, incomplete or for another request".into(),
            ),
            RequestEnd::Silent => violation(None, "no answer".into()),
            RequestEnd::Answered(200 | 500 | 503 | 409) => {
                let slack_us = ANSWER_SLACK_US + SOCKET_SLACK_US + TIMING_SLACK_US;
                let late =
                    request.ended_at - self.answer_due_at(request) - slack_us - request.held_up_us;
                let deadline = request.sent_at + request.timeout_us;
                let granted_us = request.ended_at - deadline - slack_us;
                if late <= 0 && granted_us > 0 {
                    self.excuse(Invariant::Answer, ExcuseReason::Blocked, granted_us);
                }
                (late > 0).then(|| violation(Some(late), format!("answered {late} us too late")))?
            }
            RequestEnd::Answered(408) if self.was_overdue(request) => {
                self.excuse_answer(ExcuseReason::SlowArrival)
            }
            RequestEnd::Answered(status) => violation(None, format!("answered with {status}")),
        }
    }

    /// No request that must run at most once runs twice.
    fn repeats(&self, found: &mut Vec<Violation>) {
        let mut runs: BTreeMap<RequestId, Vec<&Receipt>> = BTreeMap::new();
        for receipt in self.records.receipts.iter().filter(|receipt| receipt.ran) {
            runs.entry(receipt.id).or_default().push(receipt);
        }
        for (id, receipts) in runs.into_iter().filter(|(_, receipts)| receipts.len() > 1) {
            let runs_at_most_once = self
                .requests
                .get(&id)
                .is_some_and(|request| request.class == Class::Once);
            if runs_at_most_once {
                let executors: Vec<usize> = receipts.iter().map(|r| r.executor).collect();
                let description =
                    format!("ran {} times, at executors {executors:?}", receipts.len());
                found.push(self.violation(
                    Invariant::Repeat,
                    id,
                    receipts[1].at,
                    None,
                    description,
                ));
            }
        }
    }

    /// No request goes to an executor after the grace period that follows the notification of its
    /// controller that the executor drains or is gone.
    fn drains(&self, found: &mut Vec<Violation>) {
        for event in &self.records.executors {
            if event.change == ExecutorChange::Started {
                continue;
            }
            let may_send_until: Vec<i64> = (0..self.records.controllers)
                .map(|controller| self.may_send_until(controller, event))
                .collect();
            let receipts = self.records.receipts.iter();
            for receipt in receipts.filter(|r| r.executor == event.executor) {
                let past = receipt.at - may_send_until[receipt.id.controller()];
                if past > 0 {
                    let (executor, change) = (event.executor, event.change);
                    let description = format!(
                        "sent {past} us after the grace period of executor {executor}, {change:?}"
                    );
                    found.push(self.violation(
                        Invariant::Drain,
                        receipt.id,
                        receipt.at,
                        Some(past),
                        description,
                    ));
                }
            }
        }
    }

    /// No attempt begins long after its client disconnected, and none has much more time than its
    /// client. An action of a client counts from when its controller can know of it.
    fn disconnects_and_limits(&self, found: &mut Vec<Violation>) {
        for receipt in &self.records.receipts {
            let Some(request) = self.requests.get(&receipt.id) else {
                continue;
            };
            let controller = receipt.id.controller();
            let delay_us = self.client_delay_us(controller, request.began_at, receipt.at);
            let has_left = request.end == RequestEnd::Abandoned;
            let known_at = request.ended_at + delay_us;
            let after = receipt.at - known_at - DISCONNECT_SLACK_US - TIMING_SLACK_US;
            if has_left && after <= 0 && after + delay_us > 0 {
                let granted_us = after + delay_us;
                self.excuse(Invariant::Departure, ExcuseReason::DelayedBytes, granted_us);
            }
            if has_left && after > 0 {
                let description =
                    format!("attempt began {after} us too long after its client disconnected");
                found.push(self.violation(
                    Invariant::Departure,
                    receipt.id,
                    receipt.at,
                    Some(after),
                    description,
                ));
            }
            let left = request.sent_at + request.timeout_us - receipt.at;
            let delayed_us = delay_us + request.held_up_us;
            let excess = receipt.limit_us - left - LIMIT_SLACK_US - SOCKET_SLACK_US - delayed_us;
            if !has_left && excess <= 0 && excess + delayed_us > 0 {
                let granted_us = excess + delayed_us;
                self.excuse(Invariant::Limit, ExcuseReason::DelayedBytes, granted_us);
            }
            if excess > 0 && !has_left {
                let (limit, pipelined) = (receipt.limit_us, request.is_pipelined);
                let description = format!(
                    "limit {limit} us, its client had {left} us left (pipelined: {pipelined})"
                );
                found.push(self.violation(
                    Invariant::Limit,
                    receipt.id,
                    receipt.at,
                    Some(excess),
                    description,
                ));
            }
        }
    }
}
