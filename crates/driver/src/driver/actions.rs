//! The module's actions are carried out: they become instructions, timers and entries of the attempt table.

use super::{Driver, Ending};
use crate::attempts::{AttemptId, NewAttempt};
use crate::timers::TimerKind;
use crate::{Answer, AttemptOptions, Instruction};
use wheelfield::interface::{Action, EngineId, Event, Micros, Outcome, QueryId};

impl Driver {
    /// Hands the module the events that wait, and carries out its actions.
    pub(super) fn run(&mut self, now: Micros, out: &mut Vec<Instruction>) {
        while let Some(event) = self.events.pop_front() {
            let may_be_done = match &event {
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
                self.carry_out(now, action, out);
            }
            self.actions = actions;
            if let Some(query) = may_be_done {
                self.table.remove_if_done(query);
            }
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Instruction>) {
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
                for attempt in self.table.written_in_flight(query) {
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
                if self.table.answer(query) {
                    self.counters.rejected += 1;
                    out.push(Instruction::Answer(query, Answer::Rejected { retry_after }));
                }
            }
            Action::Fail { query } => {
                if self.table.answer(query) {
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
        // An answer may be the last that was wanted of a query with nothing in flight.
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
        let new = NewAttempt {
            query,
            engine,
            timeout,
            sets_timer: self.limits.times_attempts(),
        };
        let Some((attempt, options)) = self.table.start(now, &new) else {
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

    /// Cancels an attempt; false if it was cancelled or settled before.
    fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: &mut Vec<Instruction>,
    ) -> bool {
        let confirm_by = now + self.limits.cancel_confirmation_timeout;
        if !self.table.cancel(attempt, confirm_by) {
            return false;
        }
        out.push(Instruction::Cancel(attempt));
        if !self.table.is_written(attempt) {
            self.settle(now, attempt, Ending::unreported(Outcome::NeverSent), out);
        }
        true
    }
}
