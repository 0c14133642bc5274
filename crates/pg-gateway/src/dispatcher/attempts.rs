//! Attempts: executes the driver's instructions on engine sessions, and reports engine events to the driver
//! and the clients.

use super::Dispatcher;
use crate::coverage::Coverage;
use crate::engine_events::{load_report, EngineEvent, ReadProgress, ReadyAttempt};
use crate::fault_injection::FaultInjection;
use tracing::{info, warn};
use wheelfield::interface::{EngineId, LoadReport, Micros, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions, Input, Instruction};
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Reads an engine session and forwards its answer to the client.
    pub(super) fn read_session(&mut self, id: ConnId) {
        let client = self.engines.sessions.get(id).and_then(|session| session.client());
        let sink = client.and_then(|client| self.clients.sink(client));
        let length_before = sink.as_ref().map_or(0, |sink| sink.len());
        let progress = self.engines.read(id, sink, &mut self.out);
        if let Some(client) = client {
            if self.clients.sink(client).is_some_and(|sink| sink.len() > length_before) {
                self.clients.flush(client, &mut self.out);
            }
        }
        match progress {
            ReadProgress::Done => {}
            // The event that was read is handled first: events have priority over further reads.
            ReadProgress::MorePending => self.readable_sessions.push_front(id),
            ReadProgress::OutputFull(client) => self.clients.pause_session(client, id, &mut self.out),
        }
    }

    /// Handles an event of an engine session.
    pub(super) fn handle_engine_event(&mut self, event: EngineEvent) {
        let now = self.out.now;
        match event {
            EngineEvent::SessionReady(ready) => self.queue_attempt(ready),
            EngineEvent::AnswerReady(session, attempt, client) => self.begin_answer(session, attempt, client),
            EngineEvent::AttemptUpdated(attempt, update) => {
                self.driver.handle_input(now, Input::AttemptUpdated(attempt, update))
            }
            EngineEvent::Served { session, attempt, client, has_query_error, reusable } => {
                self.finish_attempt(session, attempt, client, has_query_error, reusable);
            }
            EngineEvent::Ended { attempt, engine, outcome, report, reason } => {
                if let Some(reason) = reason {
                    let engine = self.endpoint_sets.engines().name(engine);
                    let id = self.queries.label(attempt.query);
                    info!(query = attempt.query.0, id, engine, reason, "attempt ended by its engine");
                }
                self.driver
                    .handle_input(now, Input::AttemptEnded { attempt, outcome, reported_work: None, report });
            }
            EngineEvent::ProbeEnded(engine, outcome, report) => {
                let answered = u64::from(outcome == Outcome::Served);
                self.probe_counts = (self.probe_counts.0 + answered, self.probe_counts.1 + 1 - answered);
                self.out.record(if answered > 0 { Coverage::ProbeAnswered } else { Coverage::ProbeLost });
                self.driver.handle_input(now, Input::ProbeEnded { engine, outcome, report });
            }
            EngineEvent::RowInterrupted(client) => self.disconnect_client(client),
            EngineEvent::SessionReadable(session, client) => {
                if let Some(client) = client {
                    self.clients.clear_paused_session(client, session);
                }
                self.readable_sessions.push_back(session);
            }
        }
    }

    /// Handles the start of an answer: forwards it to the client if the driver lets this attempt answer.
    fn begin_answer(&mut self, session: ConnId, attempt: AttemptId, client: ConnId) {
        let may_answer = self.driver.decision_engine().may_answer(attempt);
        match self.clients.sink(client).filter(|_| may_answer) {
            Some(sink) => {
                self.engines.begin_answer(session, sink, &mut self.out);
                self.driver.handle_input(self.out.now, Input::AnswerStarted(attempt));
                self.clients.flush(client, &mut self.out);
            }
            None => self.engines.discard_answer(session, &mut self.out),
        }
    }

    /// Handles the complete answer of an attempt. `client` is `None` if no client waits for it any more.
    fn finish_attempt(
        &mut self,
        session: ConnId,
        attempt: AttemptId,
        client: Option<ConnId>,
        has_query_error: bool,
        reusable: bool,
    ) {
        let accepted = client.filter(|_| self.driver.decision_engine().may_answer(attempt));
        let Some(engine_session) = self.engines.sessions.get_mut(session) else { return };
        if let Some(sink) = accepted.and_then(|client| self.clients.sink(client)) {
            if !engine_session.backend.response_started() {
                engine_session.backend.start_response(sink);
            }
        }
        let reported_work = engine_session.backend.work_ms().map(|ms| ms / 1e3);
        let report = load_report(engine_session.backend.load());
        let outcome = Outcome::Served;
        self.driver
            .handle_input(self.out.now, Input::AttemptEnded { attempt, outcome, reported_work, report });
        self.out.record(if accepted.is_none() {
            Coverage::UnwantedAnswer
        } else if has_query_error {
            Coverage::QueryServedWithError
        } else {
            Coverage::QueryServed
        });
        if accepted.is_some() {
            self.finish_served(attempt.query, has_query_error);
        }
        self.engines.finish_unit(session, reusable, &mut self.out);
    }

    /// Queues an attempt on its engine session, if the driver still permits it. While the engine list is
    /// awaited, the attempt waits with its session.
    fn queue_attempt(&mut self, ready: ReadyAttempt) {
        let ReadyAttempt { attempt, session, .. } = ready;
        if self.is_engine_list_awaited() {
            return self.withheld_attempts.push_back(ready);
        }
        let may_send_to_draining = self.fault == Some(FaultInjection::SendToDraining);
        if !self.driver.decision_engine().may_write(Micros(self.out.now), attempt) && !may_send_to_draining
            || self.queries.get(attempt.query).is_none()
        {
            self.out.record(Coverage::AttemptNotWritten);
            // A retry whose time has run out still counts as in flight; it is reported as never sent.
            if self.driver.decision_engine().is_in_flight(attempt) {
                let (outcome, reported_work, report) = (Outcome::NeverSent, None, LoadReport::default());
                self.driver.handle_input(
                    self.out.now,
                    Input::AttemptEnded { attempt, outcome, reported_work, report },
                );
            }
            return self.engines.release_session(session, &mut self.out);
        }
        let sent_query = self.swapped_query(attempt.query).unwrap_or(attempt.query);
        if let Some(in_flight) = self.queries.get(sent_query) {
            self.engines.queue_attempt(ready, in_flight, &mut self.out);
        }
    }

    /// Executes an instruction of the driver.
    pub(super) fn execute_instruction(&mut self, instruction: Instruction) {
        match instruction {
            Instruction::Start { attempt, engine, options } => self.start_attempt(attempt, engine, options),
            Instruction::SetOptions(attempt, options) => {
                self.engines.set_priority(attempt, options, &mut self.out);
            }
            Instruction::Cancel(attempt) => {
                let wanted = self.driver.decision_engine().may_answer(attempt);
                self.engines.cancel_attempt(attempt, wanted, &mut self.out);
            }
            Instruction::Answer(query, answer) => self.finish_query(query, answer),
            Instruction::Probe(engine) => self.engines.probe(engine, &mut self.out),
            Instruction::ShareReports(reports) => {
                if let Some(peering) = &mut self.peering {
                    peering.send_reports(&reports, &mut self.out);
                }
                if let Some(gossip) = &mut self.gossip {
                    gossip.send_reports(&reports, &mut self.out);
                }
            }
            Instruction::Subscribe => {
                self.registry.request_list(self.endpoint_sets.registry_version(), &mut self.out)
            }
            Instruction::Log(text) => warn!(reason = %text, "engine ejected"),
        }
    }

    fn start_attempt(&mut self, attempt: AttemptId, engine: EngineId, options: AttemptOptions) {
        if attempt.number > 0 {
            self.out.record(Coverage::AttemptRetried);
            let name = self.endpoint_sets.engines().name(engine);
            let id = self.queries.label(attempt.query);
            info!(query = attempt.query.0, id, engine = name, attempt = attempt.number, "retrying query");
        }
        if let Some(in_flight) = self.queries.get_mut(attempt.query) {
            in_flight.options = options;
        }
        self.inject_extra_attempts(attempt, engine);
        self.engines.start_attempt(attempt, engine, &mut self.out);
    }
}
