//! Controller processes end when they are asked to and become ready soon, and their own invariant
//! checks report nothing.

use super::{ExcuseReason, Invariant, Judge, Violation};
use crate::ledger::{ControllerChange, RequestId};
use std::collections::BTreeSet;

/// Time within which a started controller must be ready, in microseconds.
const READY_TIMEOUT_US: i64 = 10_000_000;

impl Judge<'_> {
    /// No process ends unless it was asked to, exits with an error, or takes too long to become
    /// ready.
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
            let (mut was_asked, mut was_overdue, mut started_at) = (false, false, None);
            let mut terminated_at = None;
            let events = self.records.controller_events.iter();
            for event in events.filter(|event| event.controller == controller) {
                match event.change {
                    ControllerChange::Started => {
                        (was_asked, was_overdue) = (false, false);
                        terminated_at = None;
                        started_at = Some(event.at);
                    }
                    ControllerChange::Ready => {
                        let took = event.at - started_at.take().unwrap_or(event.at);
                        if took > READY_TIMEOUT_US {
                            violate(event.at, format!("ready {took} us after its start"));
                        }
                    }
                    ControllerChange::Terminated => {
                        was_asked = true;
                        terminated_at = terminated_at.or(Some(event.at));
                    }
                    ControllerChange::Killed | ControllerChange::KilledSuspended => {
                        was_asked = true
                    }
                    ControllerChange::Overdue => {
                        was_overdue = true;
                        let asked_at = terminated_at.unwrap_or(event.at);
                        if self.may_be_overdue(controller, asked_at, event.at) {
                            self.excuse(Invariant::Process, ExcuseReason::Overdue, 0);
                        } else {
                            violate(event.at, "had not ended in time and was killed".into());
                        }
                    }
                    ControllerChange::Exited(code) => {
                        let was_killed = code.is_none() && was_asked;
                        let ended_well = was_asked && code == Some(0);
                        if !(was_overdue || was_killed || ended_well) {
                            violate(
                                event.at,
                                format!("exited with {code:?}, asked to end: {was_asked}"),
                            );
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Reports the violations and panics that the controllers logged.
    pub(super) fn guards(&self, found: &mut Vec<Violation>) {
        let mut seen = BTreeSet::new();
        for (controller, line) in &self.records.alarms {
            if seen.insert((*controller, line)) {
                found.push(Violation {
                    invariant: Invariant::Guard,
                    controller: Some(*controller),
                    request: request_id_in(line),
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

/// The request that a log line names.
fn request_id_in(line: &str) -> Option<RequestId> {
    line.split(|c: char| !c.is_ascii_hexdigit())
        .find(|word| word.len() == 16)
        .and_then(RequestId::parse)
}
