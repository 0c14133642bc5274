//! Carries out the driver's instructions for attempts, and reports their progress and outcome to the driver.

use super::Dispatcher;
use crate::executor_protocol::{Request, RequestId};
use crate::executors::{AttemptEvent, EndedAttempt, PendingAttempt};
use crate::http_server::Reply;
use crate::in_flight::{AttemptHistory, InFlightQuery};
use crate::invariants::{
    check_dispatch, check_repeating, check_sending, RepeatContext, SendContext, Violation,
};
use crate::planted::InjectedFault;
use crate::result_pages;
use tracing::{debug, info};
use wheelfield::interface::{
    AttemptUpdate, EngineId, LoadReport, Micros, Outcome, QueryId, SlowStartShare,
};
use wheelfield_driver::{Answer, AttemptId, AttemptOptions, Input, Instruction};
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Carries out an instruction of the driver.
    pub(super) fn execute_instruction(&mut self, instruction: Instruction) {
        match instruction {
            Instruction::Start {
                attempt,
                engine,
                options,
            } => self.start_attempt(attempt, engine, options),
            Instruction::SetOptions(attempt, options) => {
                self.executors.set_options(attempt, options, &mut self.out);
            }
            Instruction::Cancel(attempt) => {
                self.executors.cancel(attempt, &mut self.out);
                // Executors do not confirm cancellations, so the attempt ends here.
                self.end_attempt(attempt, Outcome::Cancelled);
            }
            Instruction::Answer(query, answer) => self.answer_query(query, &answer),
            Instruction::ShareReports(reports) => self.send_peer_message(&reports),
            Instruction::Log(line) => {
                if self.policy_log_lines_left > 0 {
                    self.policy_log_lines_left -= 1;
                    info!("{line}");
                }
            }
            // The protocol has no probes, and the list of executors is polled instead of subscribed to.
            Instruction::Probe(_) | Instruction::Subscribe => {}
        }
    }

    /// Starts an attempt. If the list of executors must not be used, the policy answers the query instead, unless another attempt of it
    /// is at an executor; then this one waits.
    fn start_attempt(&mut self, attempt: AttemptId, engine: EngineId, options: AttemptOptions) {
        let Some(in_flight) = self.in_flight.get(attempt.query) else {
            return self.end_attempt(attempt, Outcome::NeverSent);
        };
        if self.has_no_list() && !in_flight.is_at_executor {
            return self
                .driver
                .handle_input(self.out.now, Input::ShutdownDeadline(attempt.query));
        }
        if attempt.number > 0 {
            let last_outcome = in_flight.history.last_outcome;
            debug!(id = %in_flight.id, %attempt, executor = engine.0, ?last_outcome, "retry started");
        }
        let pending = PendingAttempt::new(attempt, in_flight.id, options);
        self.executors.launch(engine, pending, &mut self.out);
    }

    /// Sends the response to a query that was rejected or failed.
    fn answer_query(&mut self, query: QueryId, answer: &Answer) {
        let Some(in_flight) = self.in_flight.remove(query) else {
            return;
        };
        let AttemptHistory {
            dispatched,
            last_outcome,
            ..
        } = in_flight.history;
        let time_left_us = in_flight.client_deadline_at - self.out.now;
        debug!(id = %in_flight.id, ?answer, dispatched, ?last_outcome, time_left_us, "query answered");
        let reply = match answer {
            // Rounded up to whole milliseconds.
            Answer::Rejected { retry_after } => Reply::Rejected {
                retry_after_ms: (retry_after.0 + 999) / 1000,
            },
            Answer::Failed { .. } | Answer::Interrupted => Reply::Failed,
        };
        self.respond(in_flight.client, &reply);
    }

    /// Reports to the driver that an attempt ended without a response, unless the driver already considers it ended.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.written_work.forget_unwritten(attempt);
        self.release_result(attempt);
        self.in_flight.mark_attempt_ended(attempt.query, outcome);
        if self.driver.decision_engine().is_in_flight(attempt) {
            let report = LoadReport::default();
            let input = Input::AttemptEnded {
                attempt,
                outcome,
                reported_work: None,
                report,
            };
            self.driver.handle_input(self.out.now, input);
        }
    }

    /// Writes the requests of the attempts queued on an established connection.
    pub(super) fn write_requests(&mut self, connection: ConnId) {
        while let Some(attempt) = self.executors.take_queued(connection) {
            self.write_request(connection, attempt);
        }
    }

    fn write_request(&mut self, connection: ConnId, attempt: PendingAttempt) {
        let decision_engine = self.driver.decision_engine();
        let deadline = decision_engine
            .driver()
            .and_then(|driver| driver.timeout_at(attempt.id));
        let may_write = decision_engine.may_write(Micros(self.out.now), attempt.id);
        let may_write = may_write && self.fits_slow_start(connection, attempt.id);
        let now = self.out.now;
        // The client's deadline may pass before the driver's own timer fires.
        let is_writable = |query: &&InFlightQuery| may_write && now < query.client_deadline_at;
        let Some(in_flight) = self.in_flight.get(attempt.id.query).filter(is_writable) else {
            debug!(
                id = %attempt.request,
                attempt = %attempt.id,
                may_write,
                executor = ?self.executors.engine_of_connection(connection),
                listed = ?self.executors.listed_state_of_connection(connection),
                "attempt not written"
            );
            self.end_attempt(attempt.id, Outcome::NeverSent);
            return;
        };
        let Some(class) = self.names.classes.get(in_flight.class) else {
            self.end_attempt(attempt.id, Outcome::NeverSent);
            return;
        };
        // Rounded up to whole milliseconds.
        let limit_ms = deadline
            .map_or(1, |at| (at.0 - self.out.now + 999) / 1000)
            .max(1);
        if let Err(violation) = self.check_invariants(connection, in_flight, limit_ms) {
            self.violations.record(attempt.request, violation);
            if !self
                .injected_fault
                .is_some_and(InjectedFault::disables_invariant_checks)
            {
                self.end_attempt(attempt.id, Outcome::NeverSent);
                return;
            }
        }
        let nonce = in_flight.idempotency_key.as_deref();
        let request = Request {
            class,
            limit_ms,
            nonce,
            statement: &in_flight.statement,
        };
        let id = attempt.id;
        debug!(
            id = %attempt.request,
            attempt = %id,
            serial = self.discovery.serial(),
            list_age_ms = self.list_freshness.list_age_us(now) / 1_000,
            "executor chosen by list"
        );
        self.executors
            .write_request(connection, attempt, &request, &mut self.out);
        self.record_written_work(connection, id);
    }

    /// Checks the sending and repeating invariants immediately before a request is written.
    fn check_invariants(
        &self,
        connection: ConnId,
        query: &InFlightQuery,
        limit_ms: i64,
    ) -> Result<(), Violation> {
        let now = self.out.now;
        check_sending(&SendContext {
            client_is_waiting: self.clients.awaits_response(query.client),
            executor: self.executors.listed_state_of_connection(connection),
            time_limit_us: limit_ms * 1_000,
            client_time_left_us: query.client_deadline_at - now,
        })?;
        if let Some(rules) = self.class_rules.get(query.class) {
            let since = query.history.may_have_run_since;
            check_repeating(&RepeatContext {
                semantics: rules.semantics,
                deduplication_window_us: rules.deduplication_window_us,
                may_have_run_for_us: since.map(|since| now - since),
            })?;
        }
        Ok(())
    }

    fn slow_start_share(&self, attempt: AttemptId) -> Option<SlowStartShare> {
        let driver = self.driver.decision_engine().driver()?;
        driver.slow_start_share(Micros(self.out.now), attempt)
    }

    /// Whether an attempt still fits into the slow-start budget of its executor. It may have waited for a connection since the policy
    /// admitted it, or may have been taken back from the output.
    fn fits_slow_start(&mut self, connection: ConnId, attempt: AttemptId) -> bool {
        let share = self.slow_start_share(attempt);
        let Some((engine, share)) = self.executors.engine_of_connection(connection).zip(share)
        else {
            return true;
        };
        self.written_work.forget_unwritten(attempt);
        self.written_work.fits(engine, share, self.out.now)
    }

    /// Charges the work of an attempt to the slow-start budget of its executor.
    fn record_written_work(&mut self, connection: ConnId, attempt: AttemptId) {
        let share = self.slow_start_share(attempt);
        let engine = self.executors.engine_of_connection(connection);
        if let Some((engine, share)) = engine.zip(share) {
            self.written_work
                .record(engine, attempt, share, self.out.now);
        }
    }

    /// Checks the slow-start invariant for an attempt whose first byte was written.
    fn check_slow_start(&mut self, attempt: AttemptId, id: RequestId) {
        let Some(engine) = self.executors.engine_of_attempt(attempt) else {
            return;
        };
        if let Err(violation) = self.slow_start_guard.record_send(engine, self.out.now) {
            self.violations.record(id, violation.into());
        }
    }

    /// Records that output was written to an executor. The driver learns at once which requests were sent with it, so that no later
    /// event, such as a new list or the departure of a client, ends their attempts as never sent.
    pub fn handle_executor_output_written(&mut self, connection: ConnId, count: usize) {
        self.executors.bytes_written(connection, count);
        while let Some(event) = self.executors.next_event() {
            self.handle_attempt_event(event);
        }
    }

    /// Passes the progress or end of an attempt to the driver.
    pub(super) fn handle_attempt_event(&mut self, event: AttemptEvent) {
        match event {
            AttemptEvent::Dispatched {
                attempt,
                request,
                executor,
            } => {
                self.in_flight
                    .mark_dispatched(attempt.query, request, self.out.now);
                if let Err(violation) = check_dispatch(executor) {
                    self.violations.record(request, violation.into());
                }
                self.written_work.record_dispatch(attempt);
                self.check_slow_start(attempt, request);
                self.abandonments
                    .record_dispatch(attempt.query, self.out.now);
                self.driver
                    .handle_input(self.out.now, Input::Dispatched(attempt));
            }
            AttemptEvent::Updated(attempt, update) => {
                self.driver
                    .handle_input(self.out.now, Input::AttemptUpdated(attempt, update));
            }
            AttemptEvent::ResultBegun { attempt, pages } => {
                self.queue_result(attempt, pages);
            }
            AttemptEvent::Ended(ended) => self.handle_ended_attempt(*ended),
        }
    }

    /// Passes the end of an attempt to the driver, and the result of a served query to its client.
    fn handle_ended_attempt(&mut self, ended: EndedAttempt) {
        let EndedAttempt {
            attempt, outcome, ..
        } = ended;
        self.written_work.forget_unwritten(attempt);
        self.release_result(attempt);
        self.in_flight.mark_attempt_ended(attempt.query, outcome);
        let is_answer =
            outcome == Outcome::Served && self.driver.decision_engine().may_answer(attempt);
        let answered = if is_answer {
            self.in_flight.remove(attempt.query)
        } else {
            None
        };
        self.report_ended_attempt(&ended);
        if let Some(in_flight) = answered {
            debug!(id = %in_flight.id, "query served");
            let rows = result_pages::rows_to_json(&ended.pages);
            self.respond(in_flight.client, &Reply::Rows(rows));
        }
    }

    /// Passes the end of an attempt to the driver.
    fn report_ended_attempt(&mut self, ended: &EndedAttempt) {
        let EndedAttempt {
            attempt,
            outcome,
            billed_work: reported_work,
            report,
            is_ambiguous,
            ..
        } = *ended;
        debug!(%attempt, ?outcome, is_ambiguous, "attempt end reported");
        let now = self.out.now;
        if is_ambiguous {
            // Whichever attempt the response belongs to, it shows that the executor is alive.
            let update = Input::AttemptUpdated(attempt, AttemptUpdate::Other);
            self.driver.handle_input(now, update);
        }
        if is_ambiguous && outcome == Outcome::Served {
            let input = Input::ServedByEarlierAttempt { attempt, report };
            return self.driver.handle_input(now, input);
        }
        let is_repeated =
            outcome == Outcome::Reset && self.has_injected(InjectedFault::RepeatAfterReset);
        let input = Input::AttemptEnded {
            attempt,
            outcome: if is_repeated {
                Outcome::NeverSent
            } else {
                outcome
            },
            reported_work,
            report,
        };
        self.driver.handle_input(now, input);
    }
}
