//! The events that led to a violation: those of its request at both ends, faults and process
//! changes around that time, and the controller's log lines about the request.

use crate::controller::log_file;
use crate::judge::{Verdict, Violation};
use crate::ledger::{Records, RequestId};
use std::collections::BTreeMap;
use std::path::Path;

/// The largest number of violations that get a timeline; further ones are reported without one.
const MAX_TIMELINES: usize = 20;
/// How long before a violation faults and process changes are included, in microseconds.
const CONTEXT_US: i64 = 4_000_000;
/// The largest number of log lines that a timeline includes.
const MAX_LOG_LINES: usize = 40;

/// Adds timelines to the first violations.
pub fn attach(verdict: &mut Verdict, records: &Records, log_dir: &Path) {
    let mut logs = BTreeMap::new();
    for violation in verdict.violations.iter_mut().take(MAX_TIMELINES) {
        let mut events = context_events(violation, records);
        events.sort();
        let mut lines: Vec<String> = events
            .into_iter()
            .map(|(at, description)| format!("{:>10.3} s  {description}", at as f64 / 1e6))
            .collect();
        if let (Some(controller), Some(id)) = (violation.controller, violation.request) {
            let log = logs.entry(controller).or_insert_with(|| {
                std::fs::read_to_string(log_file(log_dir, controller)).unwrap_or_default()
            });
            lines.extend(request_log_lines(log, id));
        }
        violation.timeline = lines;
    }
}

/// The events at both ends of the request's connections, and the faults and process changes around
/// the violation.
fn context_events(violation: &Violation, records: &Records) -> Vec<(i64, String)> {
    let mut events = Vec::new();
    let requests = records.requests.iter();
    for request in requests.filter(|r| Some(r.id) == violation.request) {
        let timeout_us = request.timeout_us;
        let sent = format!(
            "client sent {} with a timeout of {timeout_us} us",
            request.class.name()
        );
        events.push((request.sent_at, sent));
        events.push((request.ended_at, format!("client: {:?}", request.end)));
        if request.held_up_us > 0 {
            let held_up = format!("held up by the proxy for {} us", request.held_up_us);
            events.push((request.ended_at, held_up));
        }
    }
    let receipts = records.receipts.iter();
    for receipt in receipts.filter(|r| Some(r.id) == violation.request) {
        let (executor, limit_us, ran) = (receipt.executor, receipt.limit_us, receipt.ran);
        let description =
            format!("request arrived at executor {executor}, limit {limit_us} us, ran: {ran}");
        events.push((receipt.at, description));
    }
    let is_near = |at: i64| at >= violation.at - CONTEXT_US && at <= violation.at + CONTEXT_US / 4;
    for event in &records.controller_events {
        if Some(event.controller) == violation.controller && is_near(event.at) {
            events.push((event.at, format!("process: {:?}", event.change)));
        }
    }
    for event in records.executors.iter().filter(|event| is_near(event.at)) {
        let description = format!(
            "executor {}: {:?} (serial {})",
            event.executor, event.change, event.serial
        );
        events.push((event.at, description));
    }
    for fault in &records.faults {
        let affects_controller = fault.controllers.is_empty()
            || violation
                .controller
                .is_some_and(|c| fault.controllers.contains(&c));
        if affects_controller
            && fault.from <= violation.at
            && fault.until >= violation.at - CONTEXT_US
        {
            events.push((fault.from, format!("fault begins: {}", fault.description)));
            events.push((fault.until, format!("fault ends: {}", fault.description)));
        }
    }
    events
}

/// The log lines that name a request.
fn request_log_lines(log: &str, id: RequestId) -> Vec<String> {
    let id = id.to_string();
    log.lines()
        .filter(|line| line.contains(&id))
        .take(MAX_LOG_LINES)
        .map(|line| format!("    log  {line}"))
        .collect()
}
