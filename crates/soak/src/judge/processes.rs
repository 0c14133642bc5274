//! Processes end when they are asked to and are ready soon, and their own guards find nothing.

use super::{Invariant, Judge, Violation};
use crate::ledger::{ControllerChange, RequestId};
use std::collections::BTreeSet;

/// Restarted controllers are ready within this time, in microseconds.
const READY_US: i64 = 10_000_000;

impl Judge<'_> {
    /// No process ends by itself unless asked to, ends badly, or takes too long to be ready.
    pub(super) fn processes(&self, found: &mut Vec<Violation>) {
        for controller in 0..self.records.controllers {
            let mut violate = |at: i64, description: String| {
                found.push(Violation {
                    invariant: Invariant::Process,
                    controller: Some(controller),
                    request: None,
                    at,
                    since: at,
                    excess_us: None,
                    description,
                    timeline: Vec::new(),
                });
            };
            let (mut asked, mut overdue, mut started_at) = (false, false, None);
            let mut terminated_at = None;
            let events = self.records.controller_events.iter();
            for event in events.filter(|event| event.controller == controller) {
                match event.change {
                    ControllerChange::Started => {
                        (asked, overdue) = (false, false);
                        terminated_at = None;
                        started_at = Some(event.at);
                    }
                    ControllerChange::Ready => {
                        let took = event.at - started_at.take().unwrap_or(event.at);
                        if took > READY_US {
                            violate(event.at, format!("ready {took} us after its start"));
                        }
                    }
                    ControllerChange::Terminated => {
                        asked = true;
                        terminated_at = terminated_at.or(Some(event.at));
                    }
                    ControllerChange::Killed | ControllerChange::KilledSuspended => asked = true,
                    ControllerChange::Overdue => {
                        overdue = true;
                        let asked_at = terminated_at.unwrap_or(event.at);
                        if !self.may_be_overdue(controller, asked_at, event.at) {
                            violate(event.at, "had not ended in time and was killed".into());
                        }
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

    /// What the controllers' own guards logged.
    pub(super) fn guards(&self, found: &mut Vec<Violation>) {
        let mut seen = BTreeSet::new();
        for (controller, line) in &self.records.alarms {
            if seen.insert((*controller, line)) {
                found.push(Violation {
                    invariant: Invariant::Guard,
                    controller: Some(*controller),
                    request: id_in(line),
                    at: 0,
                    since: 0,
                    excess_us: None,
                    description: line.clone(),
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
