//! What led to a violation: the events of its request at both ends, the faults and process changes around it, and what the
//! controller logged of it.

use crate::controller::log_file;
use crate::judge::{Verdict, Violation};
use crate::ledger::{Records, RequestId};
use std::collections::BTreeMap;
use std::path::Path;

/// Violations that get a timeline; the others are told alone.
const MOST_TIMELINES: usize = 20;
/// Faults and changes so long before a violation are told, in microseconds.
const BEFORE_US: i64 = 4_000_000;
/// Lines of a log that are told for one request.
const MOST_LOG_LINES: usize = 40;

/// Adds a timeline to the first violations.
pub fn attach(verdict: &mut Verdict, records: &Records, log_dir: &Path) {
    let mut read = BTreeMap::new();
    for violation in verdict.violations.iter_mut().take(MOST_TIMELINES) {
        let mut events = around(violation, records);
        events.sort();
        let mut lines: Vec<String> = events
            .into_iter()
            .map(|(at, description)| format!("{:>10.3} s  {description}", at as f64 / 1e6))
            .collect();
        if let (Some(controller), Some(id)) = (violation.controller, violation.request) {
            let log = read.entry(controller).or_insert_with(|| {
                std::fs::read_to_string(log_file(log_dir, controller)).unwrap_or_default()
            });
            lines.extend(logged(log, id));
        }
        violation.timeline = lines;
    }
}

/// Events at both ends of the request's connections, and what went on around its violation.
fn around(violation: &Violation, records: &Records) -> Vec<(i64, String)> {
    let mut events = Vec::new();
    let requests = records.requests.iter();
    for request in requests.filter(|r| Some(r.id) == violation.request) {
        let timeout_us = request.timeout_us;
        let sent = format!("client sent {} with {timeout_us} us", request.class.name());
        events.push((request.sent_at, sent));
        events.push((request.ended_at, format!("client: {:?}", request.end)));
    }
    let receipts = records.receipts.iter();
    for receipt in receipts.filter(|r| Some(r.id) == violation.request) {
        let (executor, limit_us, ran) = (receipt.executor, receipt.limit_us, receipt.ran);
        let description = format!("executor {executor} read it, limit {limit_us} us, ran: {ran}");
        events.push((receipt.at, description));
    }
    let is_near = |at: i64| at >= violation.at - BEFORE_US && at <= violation.at + BEFORE_US / 4;
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
        let is_there = fault.controllers.is_empty()
            || violation
                .controller
                .is_some_and(|c| fault.controllers.contains(&c));
        if is_there && fault.from <= violation.at && fault.until >= violation.at - BEFORE_US {
            events.push((fault.from, format!("fault begins: {}", fault.description)));
            events.push((fault.until, format!("fault ends: {}", fault.description)));
        }
    }
    events
}

/// Lines of a log that name a request.
fn logged(log: &str, id: RequestId) -> Vec<String> {
    let id = id.to_string();
    log.lines()
        .filter(|line| line.contains(&id))
        .take(MOST_LOG_LINES)
        .map(|line| format!("    log  {line}"))
        .collect()
}
