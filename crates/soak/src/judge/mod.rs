//! The invariants, judged from what was seen at both ends of each connection.
//!
//! Slack is given for what this test cannot time better, and for spans in which a fault of the plan itself holds up bytes or a
//! process. What falls into a span in which the test was late is counted apart, and not judged.

use crate::ledger::{
    ControllerChange, ExecutorChange, FaultRecord, Receipt, Records, RequestEnd, RequestId,
    RequestRecord,
};
use crate::settings::{
    Class, CORES, DRAIN_GRACE_US, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_FRACTION,
    SLOW_START_US, WORK_MS,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Time by which an answer may be late before it is lost, in microseconds.
const LATE_ANSWER_US: i64 = 500_000;
/// Time after its client left by which an attempt may begin, in microseconds.
const DEPARTURE_US: i64 = 100_000;
/// Time by which a limit may exceed what the client has left, in microseconds.
const LIMIT_SLACK_US: i64 = 150_000;
/// Time by which every time limit is longer on sockets, in microseconds.
const SOCKET_SLACK_US: i64 = 50_000;
/// What this test cannot time better, in microseconds.
const TIMING_SLACK_US: i64 = 100_000;
/// Time that a process that was resumed has until it counts as up to date, in microseconds.
const CATCH_UP_US: i64 = 300_000;
/// Time in which a controller that was asked to end may close connections, in microseconds.
const SHUTDOWN_US: i64 = 4_000_000;
/// Restarted controllers are ready within this time, in microseconds.
const READY_US: i64 = 10_000_000;
/// Below so many requests the margin of the slow-start bound is wider.
const FEW_REQUESTS: f64 = 30.0;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Exactly one final answer in time.
    Answer,
    /// Nothing runs twice that must not.
    Repeat,
    /// Nothing new to an executor that drains or is gone.
    Drain,
    /// No attempt begins for a client that left.
    Departure,
    /// No attempt has more time than its client.
    Limit,
    /// An executor in slow start is not overloaded.
    SlowStart,
    /// No process crashes, refuses to start or takes too long to be ready.
    Process,
    /// The controllers' own guards find nothing.
    Guard,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// A violation, and what led to it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The controller, where one is concerned.
    pub controller: Option<usize>,
    /// The request, where one is concerned.
    pub request: Option<RequestId>,
    /// When, in microseconds since the start.
    pub at: i64,
    /// What was seen.
    pub what: String,
    /// What led to it, a line each.
    pub timeline: Vec<String>,
}

/// What became of the requests of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests sent.
    pub requests: usize,
    /// Answered with rows.
    pub served: usize,
    /// Answered as rejected.
    pub rejected: usize,
    /// Answered as failed.
    pub failed: usize,
    /// Their clients left.
    pub abandoned: usize,
    /// The proxy broke their connections.
    pub cut: usize,
    /// Their connections ended before they were sent whole.
    pub not_sent: usize,
    /// Requests read by executors.
    pub receipts: usize,
    /// Violations that fall into spans in which the test was late.
    pub not_judged: usize,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The violations, in order of time.
    pub violations: Vec<Violation>,
    /// What became of the requests.
    pub totals: Totals,
    /// Faults that were in force, by name.
    pub faults: usize,
}

/// Judges a run.
pub fn judge(records: &Records) -> Verdict {
    let judge = Judge::new(records);
    let mut found = Vec::new();
    judge.answers(&mut found);
    judge.repeats(&mut found);
    judge.drains(&mut found);
    judge.departures_and_limits(&mut found);
    judge.slow_starts(&mut found);
    judge.processes(&mut found);
    judge.guards(&mut found);
    let (excused, mut violations): (Vec<_>, Vec<_>) = found
        .into_iter()
        .partition(|violation| judge.was_late(violation));
    violations.sort_by_key(|violation| violation.at);
    let totals = Totals {
        not_judged: excused.len(),
        ..totals(records)
    };
    Verdict {
        violations,
        totals,
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
    /// When each controller was killed without having been asked to end, and when it had ended.
    kills: Vec<Vec<(i64, i64)>>,
}

impl<'a> Judge<'a> {
    fn new(records: &'a Records) -> Judge<'a> {
        let mut suspensions = vec![Vec::new(); records.controllers];
        let mut kills: Vec<Vec<(i64, i64)>> = vec![Vec::new(); records.controllers];
        for event in &records.controller_events {
            let spans: &mut Vec<(i64, i64)> = &mut suspensions[event.controller];
            match event.change {
                ControllerChange::Suspended => spans.push((event.at, i64::MAX)),
                ControllerChange::Resumed | ControllerChange::Started => {
                    if let Some(last) = spans.last_mut().filter(|last| last.1 == i64::MAX) {
                        last.1 = event.at;
                    }
                }
                ControllerChange::Killed => kills[event.controller].push((event.at, i64::MAX)),
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
        }
    }

    /// Whether this test was late around a violation.
    fn was_late(&self, violation: &Violation) -> bool {
        let around = TIMING_SLACK_US + LATE_ANSWER_US;
        let spans = &self.records.late_spans;
        let is_timed = !matches!(violation.invariant, Invariant::Repeat | Invariant::Guard);
        is_timed
            && spans.iter().any(|(from, until)| {
                violation.at + around >= *from && violation.at - around <= *until
            })
    }

    /// The end of the last suspension of a controller that overlaps a span.
    fn suspended_until(&self, controller: usize, from: i64, until: i64) -> Option<i64> {
        let spans = self.suspensions[controller].iter();
        spans
            .filter(|(begin, end)| *begin <= until && *end + CATCH_UP_US >= from)
            .map(|(_, end)| *end)
            .max()
    }

    fn faults_at(
        &self,
        controller: usize,
        from: i64,
        until: i64,
    ) -> impl Iterator<Item = &FaultRecord> {
        self.records.faults.iter().filter(move |fault| {
            let concerns = fault.controllers.is_empty() || fault.controllers.contains(&controller);
            concerns && fault.from <= until && fault.until + CATCH_UP_US >= from
        })
    }

    fn is_delayed(&self, controller: usize, from: i64, until: i64) -> bool {
        self.faults_at(controller, from, until)
            .any(|fault| fault.delays_clients && fault.controllers.contains(&controller))
    }

    fn was_killed(&self, controller: usize, from: i64, until: i64) -> bool {
        self.kills[controller]
            .iter()
            .any(|(at, ended)| *at <= until + SOCKET_SLACK_US && *ended >= from - SOCKET_SLACK_US)
    }

    /// Whether a request may have been withheld until its controller, which was asked to end, had closed its connection.
    fn crossed_shutdown(&self, request: &RequestRecord) -> bool {
        let controller = request.id.controller();
        let was_terminated = self.records.controller_events.iter().any(|event| {
            event.controller == controller
                && event.change == ControllerChange::Terminated
                && (request.began_at - SHUTDOWN_US..=request.ended_at).contains(&event.at)
        });
        was_terminated && self.is_delayed(controller, request.began_at, request.ended_at)
    }

    fn violation(
        &self,
        invariant: Invariant,
        request: RequestId,
        at: i64,
        what: String,
    ) -> Violation {
        Violation {
            invariant,
            controller: Some(request.controller()),
            request: Some(request),
            at,
            what,
            timeline: Vec::new(),
        }
    }

    /// Each request has one whole answer, not later than half a second after its time.
    fn answers(&self, found: &mut Vec<Violation>) {
        for request in &self.records.requests {
            let controller = request.id.controller();
            if self.was_killed(controller, request.began_at, request.ended_at) {
                continue;
            }
            let mut violate = |what: String| {
                found.push(self.violation(Invariant::Answer, request.id, request.ended_at, what));
            };
            match request.end {
                RequestEnd::Abandoned | RequestEnd::CutByProxy | RequestEnd::NotSent => {}
                RequestEnd::Lost if self.crossed_shutdown(request) => {}
                RequestEnd::Lost => violate("its connection ended without an answer".into()),
                RequestEnd::Unreadable => violate("what came is no whole answer to it".into()),
                RequestEnd::Silent => violate("no answer".into()),
                RequestEnd::Answered(200 | 500 | 503 | 409) => {
                    let late = request.ended_at - self.answer_due_at(request);
                    if late > 0 {
                        violate(format!("answered {late} us too late"));
                    }
                }
                RequestEnd::Answered(408)
                    if self.is_delayed(controller, request.sent_at, request.ended_at) => {}
                RequestEnd::Answered(status) => violate(format!("answered with {status}")),
            }
        }
        for (id, at) in &self.records.surplus_answers {
            found.push(self.violation(Invariant::Answer, *id, *at, "more than one answer".into()));
        }
        for (controller, at) in &self.records.refused {
            found.push(Violation {
                invariant: Invariant::Answer,
                controller: Some(*controller),
                request: None,
                at: *at,
                what: "a controller that serves refused a connect".into(),
                timeline: Vec::new(),
            });
        }
    }

    /// When an answer is lost, with what holds it up on its way.
    fn answer_due_at(&self, request: &RequestRecord) -> i64 {
        let controller = request.id.controller();
        let due_at = request.sent_at + request.timeout_us;
        let span = (request.sent_at, request.ended_at);
        let resumed_at = self.suspended_until(controller, span.0, span.1);
        let delayed_until = self
            .faults_at(controller, span.0, span.1)
            .filter(|fault| fault.holds_up_answers && fault.controllers.contains(&controller))
            .map(|fault| fault.until)
            .max();
        let latest = due_at
            .max(resumed_at.unwrap_or(due_at))
            .max(delayed_until.unwrap_or(due_at));
        latest + LATE_ANSWER_US + SOCKET_SLACK_US + TIMING_SLACK_US
    }

    /// Nothing that must run at most once runs twice.
    fn repeats(&self, found: &mut Vec<Violation>) {
        let mut runs: BTreeMap<RequestId, Vec<&Receipt>> = BTreeMap::new();
        for receipt in self.records.receipts.iter().filter(|receipt| receipt.ran) {
            runs.entry(receipt.id).or_default().push(receipt);
        }
        for (id, receipts) in runs.into_iter().filter(|(_, receipts)| receipts.len() > 1) {
            let is_load = self
                .requests
                .get(&id)
                .is_some_and(|request| request.class == Class::Load);
            if is_load {
                let executors: Vec<usize> = receipts.iter().map(|r| r.executor).collect();
                let what = format!("ran {} times, at executors {executors:?}", receipts.len());
                found.push(self.violation(Invariant::Repeat, id, receipts[1].at, what));
            }
        }
    }

    /// Nothing goes to an executor past the grace after its controller was told that it drains or is gone.
    fn drains(&self, found: &mut Vec<Violation>) {
        for event in &self.records.executors {
            if event.change == ExecutorChange::Started {
                continue;
            }
            let told = self.told(event.serial);
            for receipt in self
                .records
                .receipts
                .iter()
                .filter(|r| r.executor == event.executor)
            {
                let controller = receipt.id.controller();
                let Some(told_at) = told.get(&controller).copied() else {
                    continue;
                };
                let past =
                    receipt.at - told_at - DRAIN_GRACE_US - SOCKET_SLACK_US - TIMING_SLACK_US;
                if past > 0 && !self.may_not_know(controller, told_at, receipt.at) {
                    let change = event.change;
                    let what = format!(
                        "sent {past} us past the grace of executor {}, {change:?}",
                        event.executor
                    );
                    found.push(self.violation(Invariant::Drain, receipt.id, receipt.at, what));
                }
            }
        }
    }

    /// When each controller was first told of a list at least as new.
    fn told(&self, serial: u32) -> BTreeMap<usize, i64> {
        let mut told: BTreeMap<usize, i64> = BTreeMap::new();
        for ((controller, told_serial), at) in &self.records.told {
            if *told_serial >= serial {
                let first = told.entry(*controller).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        told
    }

    /// Whether what a controller was told may not have been received before it sent something.
    fn may_not_know(&self, controller: usize, told_at: i64, sent_at: i64) -> bool {
        let hidden = self
            .faults_at(controller, told_at, sent_at)
            .any(|fault| fault.hides_lists && fault.controllers.contains(&controller));
        hidden || self.suspended_until(controller, told_at, sent_at).is_some()
    }

    /// No attempt begins long after its client left, and none has much more time than its client.
    fn departures_and_limits(&self, found: &mut Vec<Violation>) {
        for receipt in &self.records.receipts {
            let Some(request) = self.requests.get(&receipt.id) else {
                continue;
            };
            let controller = receipt.id.controller();
            if self.is_delayed(controller, request.sent_at, receipt.at) {
                continue;
            }
            let has_left = request.end == RequestEnd::Abandoned;
            let after = receipt.at - request.ended_at - DEPARTURE_US - TIMING_SLACK_US;
            let is_suspended = self
                .suspended_until(controller, request.sent_at, receipt.at)
                .is_some();
            if has_left && after > 0 && !is_suspended {
                let what = format!("attempt began {after} us too late after its client left");
                found.push(self.violation(Invariant::Departure, receipt.id, receipt.at, what));
            }
            let left = request.sent_at + request.timeout_us - receipt.at;
            let excess = receipt.limit_us - left - LIMIT_SLACK_US - SOCKET_SLACK_US;
            if excess > 0 && !has_left {
                let (limit, pipelined) = (receipt.limit_us, request.is_pipelined);
                let what = format!(
                    "limit {limit} us, its client had {left} us left (pipelined: {pipelined})"
                );
                found.push(self.violation(Invariant::Limit, receipt.id, receipt.at, what));
            }
        }
    }

    /// An executor in slow start gets no more within the window than the settings allow, of controllers that were told.
    fn slow_starts(&self, found: &mut Vec<Violation>) {
        for event in &self.records.executors {
            if event.change != ExecutorChange::Started {
                continue;
            }
            let told = self.told(event.serial);
            let mut sends: Vec<(i64, RequestId)> = self
                .records
                .receipts
                .iter()
                .filter(|r| r.executor == event.executor && r.at < event.at + SLOW_START_US)
                .filter(|r| told.get(&r.id.controller()).is_some_and(|at| *at <= r.at))
                .map(|r| (r.at, r.id))
                .collect();
            sends.sort_unstable();
            for (n, (at, id)) in sends.iter().enumerate() {
                let from = sends.partition_point(|(t, _)| *t <= at - OVERLOAD_WINDOW_US);
                let sent = n + 1 - from;
                let most = most_requests(at - event.at);
                if sent as f64 > most {
                    let executor = event.executor;
                    let age = at - event.at;
                    let what = format!("{sent} requests in the window for executor {executor}, {age} us after its start, at most {most:.0}");
                    found.push(self.violation(Invariant::SlowStart, *id, *at, what));
                    break;
                }
            }
        }
    }

    /// No process ends by itself unless asked to, ends badly, or takes too long to be ready.
    fn processes(&self, found: &mut Vec<Violation>) {
        for controller in 0..self.records.controllers {
            let mut violate = |at: i64, what: String| {
                found.push(Violation {
                    invariant: Invariant::Process,
                    controller: Some(controller),
                    request: None,
                    at,
                    what,
                    timeline: Vec::new(),
                });
            };
            let (mut asked, mut overdue, mut started_at) = (false, false, None);
            let events = self.records.controller_events.iter();
            for event in events.filter(|event| event.controller == controller) {
                match event.change {
                    ControllerChange::Started => {
                        (asked, overdue) = (false, false);
                        started_at = Some(event.at);
                    }
                    ControllerChange::Ready => {
                        let took = event.at - started_at.take().unwrap_or(event.at);
                        if took > READY_US {
                            violate(event.at, format!("ready {took} us after its start"));
                        }
                    }
                    ControllerChange::Terminated | ControllerChange::Killed => asked = true,
                    ControllerChange::Overdue => {
                        overdue = true;
                        violate(event.at, "had not ended in time and was killed".into());
                    }
                    ControllerChange::Exited(code) => {
                        let was_killed = code.is_none() && asked;
                        let ended_well = asked && code == Some(0);
                        if !(overdue || was_killed || ended_well) {
                            violate(event.at, format!("ended with {code:?}, asked to: {asked}"));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn guards(&self, found: &mut Vec<Violation>) {
        let mut seen = BTreeSet::new();
        for (controller, line) in &self.records.alarms {
            if seen.insert((*controller, line)) {
                found.push(Violation {
                    invariant: Invariant::Guard,
                    controller: Some(*controller),
                    request: id_in(line),
                    at: 0,
                    what: line.clone(),
                    timeline: Vec::new(),
                });
            }
        }
    }
}

/// The request that a line of a log names.
fn id_in(line: &str) -> Option<RequestId> {
    line.split(|c: char| !c.is_ascii_hexdigit())
        .find(|word| word.len() == 16)
        .and_then(RequestId::parse)
}

/// Requests that an executor of this age may get within the window.
fn most_requests(age_us: i64) -> f64 {
    let age = (age_us as f64 / SLOW_START_US as f64).clamp(0.0, 1.0);
    let fraction = SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * age;
    let window = OVERLOAD_WINDOW_US as f64 / 1e6;
    let requests = OVERLOAD_MULTIPLE * fraction * CORES * window / (WORK_MS / 1e3);
    if requests < FEW_REQUESTS {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}
