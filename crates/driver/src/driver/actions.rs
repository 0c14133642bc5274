//! Applies the actions of the policy module: converts them to instructions, timers and changes of the attempt table.

use super::{AttemptResult, Driver};
use crate::attempts::{AttemptId, NewAttempt};
use crate::timers::TimerKind;
use crate::{Answer, AttemptOptions, Instruction};
use wheelfield::interface::{Action, EngineId, Event, Micros, Outcome, QueryId};

impl Driver {
    /// Passes the queued events to the policy module and applies the actions that it returns.
    pub(super) fn process_events(&mut self, now: Micros, out: &mut Vec<Instruction>) {
        while let Some(event) = self.events.pop_front() {
            let possibly_complete = match &event {
                Event::AttemptEnded(end) => Some(end.query),
                Event::Abandoned(query) => Some(*query),
                _ => None,
            };
            if let Some(recorded) = &mut self.recorded_events {
                recorded.push(event.clone());
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, out);
            }
            self.actions = actions;
            if let Some(query) = possibly_complete {
                self.table.remove_if_done(query);
            }
        }
    }

    fn apply_action(&mut self, now: Micros, action: Action, out: &mut Vec<Instruction>) {
        match action {
            Action::Send {
                query,
                engine,
                timeout,
            } => self.start_attempt(now, query, engine, timeout, out),
            Action::SetOptions {
                query,
                grant_mb,
                priority,
            } => {
                let options = AttemptOptions { grant_mb, priority };
                self.table.set_options(query, options);
                for attempt in self.table.cancellable_attempts(query) {
                    out.push(Instruction::SetOptions(attempt, options));
                }
            }
            Action::Cancel {
                query,
                attempt: number,
            } => {
                if !self.cancel_attempt(now, AttemptId { query, number }, out) {
                    return;
                }
            }
            Action::Reject { query, retry_after } => {
                if self.table.mark_answered(query) {
                    self.counters.rejected += 1;
                    out.push(Instruction::Answer(query, Answer::Rejected { retry_after }));
                }
            }
            Action::Fail { query } => {
                if self.table.mark_answered(query) {
                    self.counters.failed += 1;
                    let may_have_run = self.table.may_have_run(query);
                    out.push(Instruction::Answer(query, Answer::Failed { may_have_run }));
                }
            }
            Action::SetTimer { token, after } => {
                self.table.timers.set(now + after, TimerKind::Module(token));
            }
            Action::Probe(engine) => out.push(Instruction::Probe(engine)),
            Action::ShareReports(reports) => out.push(Instruction::ShareReports(reports)),
            Action::Subscribe => out.push(Instruction::Subscribe),
            Action::Log(text) => out.push(Instruction::Log(text)),
        }
        // If the action answered a query that has no attempt in flight, the query is complete.
        if let Some(query) = self.table.take_last_answered() {
            self.table.remove_if_done(query);
        }
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        query: QueryId,
        engine: EngineId,
        timeout: Micros,
        out: &mut Vec<Instruction>,
    ) {
        let new_attempt = NewAttempt {
            query,
            engine,
            timeout,
            has_timeout_timer: self.limits.enforces_attempt_timeouts(),
        };
        let Some((attempt, options)) = self.table.add_attempt(now, &new_attempt) else {
            return;
        };
        self.counters.attempts += 1;
        self.counters.retries += u64::from(attempt.number > 0);
        out.push(Instruction::Start {
            attempt,
            engine,
            options,
        });
    }

    /// Cancels an attempt. Returns false if it was already cancelled or has ended.
    fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: &mut Vec<Instruction>,
    ) -> bool {
        let confirmation_deadline = now + self.limits.cancel_confirmation_timeout;
        if !self.table.mark_cancelled(attempt, confirmation_deadline) {
            return false;
        }
        out.push(Instruction::Cancel(attempt));
        if !self.table.is_written(attempt) {
            self.end_attempt(
                now,
                attempt,
                AttemptResult::without_report(Outcome::NeverSent),
                out,
            );
        }
        true
    }
}
