//! Ends attempts: on the report of the protocol layer, at their timeout, and when a cancellation is not confirmed.

use super::Driver;
use crate::attempts::{AttemptId, EndedAttempt};
use crate::{Answer, Instruction};
use wheelfield::interface::{AttemptEnd, Event, LoadReport, Micros, Outcome};

/// The outcome of an attempt and what was reported with it.
pub(super) struct AttemptResult {
    pub outcome: Outcome,
    pub reported_work: Option<f64>,
    pub report: LoadReport,
    /// Duration of the attempt, if the protocol layer measures it.
    pub elapsed: Option<Micros>,
}

impl AttemptResult {
    /// The result of an attempt whose end the protocol layer did not report.
    pub fn without_report(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            reported_work: None,
            report: LoadReport::default(),
            elapsed: None,
        }
    }
}

impl Driver {
    pub(super) fn handle_attempt_timeout(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: &mut Vec<Instruction>,
    ) {
        if !self.table.is_in_flight(attempt) || self.table.answer_started(attempt) {
            return;
        }
        let written = self.table.is_written(attempt);
        let outcome = if written {
            Outcome::TimedOut
        } else {
            Outcome::ConnectTimedOut
        };
        out.push(Instruction::Cancel(attempt));
        self.handle_attempt_end(now, attempt, AttemptResult::without_report(outcome), out);
    }

    /// Ends a cancelled attempt whose engine did not confirm the cancellation in time. If its answer has started nevertheless,
    /// because it crossed the cancellation on the network, the answer is still delivered to the client.
    pub(super) fn handle_unconfirmed_cancel(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: &mut Vec<Instruction>,
    ) {
        if self.table.is_in_flight(attempt) && !self.table.answer_started(attempt) {
            self.handle_attempt_end(
                now,
                attempt,
                AttemptResult::without_report(Outcome::Cancelled),
                out,
            );
        }
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        result: AttemptResult,
        out: &mut Vec<Instruction>,
    ) {
        if self.table.is_in_flight(attempt) {
            self.end_attempt(now, attempt, result, out);
        } else {
            self.counters.late_endings += 1;
        }
    }

    /// Marks the query of an attempt as served, and then ends the attempt as cancelled, so that the module takes it for one that may
    /// still be running.
    pub(super) fn handle_served_by_earlier_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        report: LoadReport,
        out: &mut Vec<Instruction>,
    ) {
        if self.table.is_in_flight(attempt) && self.table.mark_answered(attempt.query) {
            self.counters.served += 1;
            self.events.push_back(Event::AnswerStarted(attempt.query));
        }
        let result = AttemptResult {
            report,
            ..AttemptResult::without_report(Outcome::Cancelled)
        };
        self.handle_attempt_end(now, attempt, result, out);
    }

    /// Records the outcome of an attempt, marks its query as answered if that outcome is final, and informs the module.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        result: AttemptResult,
        out: &mut Vec<Instruction>,
    ) {
        let AttemptResult {
            outcome,
            reported_work,
            report,
            elapsed,
        } = result;
        let Some(EndedAttempt {
            sent_at,
            answer_started,
            query_unanswered,
        }) = self.table.record_outcome(attempt, outcome)
        else {
            return;
        };
        let served = query_unanswered && outcome == Outcome::Served;
        let interrupted = query_unanswered && !served && answer_started;
        if served {
            self.table.mark_answered(attempt.query);
            self.counters.served += 1;
        } else if interrupted {
            self.table.mark_answered(attempt.query);
            self.counters.failed += 1;
            out.push(Instruction::Answer(attempt.query, Answer::Interrupted));
        }
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            query: attempt.query,
            attempt: attempt.number,
            outcome,
            query_over: !query_unanswered || served || interrupted,
            elapsed: elapsed.unwrap_or((now - sent_at).max(Micros(0))),
            reported_work,
            report,
        }));
    }
}
