//! Attempts: instructions of the driver go to sessions with engines, and what those tell goes to the driver and the clients.

use super::Dispatcher;
use crate::coverage::Coverage;
use crate::engines::{self, Progress, Word};
use crate::fault_injection::FaultInjection;
use tracing::{info, warn};
use wheelfield::interface::{EngineId, LoadReport, Micros, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions, Input, Instruction};
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Reads a session's answer on to its client.
    pub(super) fn read(&mut self, id: ConnId) {
        let client = self.engines.sessions.get(id).and_then(|s| s.client());
        let sink = client.and_then(|c| self.clients.sink(c));
        let had = sink.as_ref().map_or(0, |s| s.len());
        let progress = self.engines.read(id, sink, &mut self.out);
        if let Some(client) = client {
            if self.clients.sink(client).is_some_and(|s| s.len() > had) {
                self.clients.flush(client, &mut self.out);
            }
        }
        match progress {
            Progress::Done => {}
            // What came of it is known first: words go before this.
            Progress::More => self.readable.push_front(id),
            Progress::Full(client) => self.clients.pause(client, id, &mut self.out),
        }
    }

    /// Handles what an engine's session tells.
    pub(super) fn heed(&mut self, word: Word) {
        let now = self.out.now;
        match word {
            Word::Free(session, attempt) => self.dispatch(session, attempt),
            Word::Begins(session, attempt, client) => self.begin_answer(session, attempt, client),
            Word::Noted(attempt, note) => self.tape.handle_input(now, Input::AttemptUpdated(attempt, note)),
            Word::Served { session, attempt, client, errored, clean } => {
                self.end_served(session, attempt, client, errored, clean);
            }
            Word::Ended { attempt, engine, outcome, report, reason } => {
                if let Some(reason) = reason {
                    let engine = self.sets.engines().name(engine);
                    let id = self.units.label(attempt.query);
                    info!(query = attempt.query.0, id, engine, reason, "attempt ended by its engine");
                }
                self.tape
                    .handle_input(now, Input::AttemptEnded { attempt, outcome, reported_work: None, report });
            }
            Word::Probed(engine, outcome, report) => {
                let served = u64::from(outcome == Outcome::Served);
                self.probes = (self.probes.0 + served, self.probes.1 + 1 - served);
                self.out.saw(if served > 0 { Coverage::Probed } else { Coverage::ProbeLost });
                self.tape.handle_input(now, Input::ProbeEnded { engine, outcome, report });
            }
            Word::Cut(client) => self.client_gone(client),
            Word::Readable(session, client) => {
                if let Some(client) = client {
                    self.clients.unpause(client, session);
                }
                self.readable.push_back(session);
            }
        }
    }

    /// An engine begins its answer: it goes on to the client, if no other attempt answers.
    fn begin_answer(&mut self, session: ConnId, attempt: AttemptId, client: ConnId) {
        let may = self.tape.decision_engine().may_answer(attempt);
        match self.clients.sink(client).filter(|_| may) {
            Some(sink) => {
                self.engines.begin(session, sink, &mut self.out);
                self.tape.handle_input(self.out.now, Input::AnswerStarted(attempt));
                self.clients.flush(client, &mut self.out);
            }
            None => self.engines.discard(session, &mut self.out),
        }
    }

    /// An engine has answered an attempt, for a client that still waits or for none.
    fn end_served(
        &mut self,
        session: ConnId,
        attempt: AttemptId,
        client: Option<ConnId>,
        errored: bool,
        clean: bool,
    ) {
        let accepted = client.filter(|_| self.tape.decision_engine().may_answer(attempt));
        let Some(s) = self.engines.sessions.get_mut(session) else { return };
        if let Some(sink) = accepted.and_then(|c| self.clients.sink(c)) {
            if !s.backend.begun() {
                s.backend.begin(sink);
            }
        }
        let reported_work = s.backend.work_ms().map(|ms| ms / 1e3);
        let report = engines::report(s.backend.load());
        let outcome = Outcome::Served;
        self.tape.handle_input(self.out.now, Input::AttemptEnded { attempt, outcome, reported_work, report });
        self.out.saw(if accepted.is_none() {
            Coverage::Crossed
        } else if errored {
            Coverage::ServedErrored
        } else {
            Coverage::Served
        });
        if accepted.is_some() {
            self.served(attempt.query, errored);
        }
        self.engines.over(session, clean, &mut self.out);
    }

    /// Writes an attempt to a session that is there for it.
    fn dispatch(&mut self, session: ConnId, attempt: AttemptId) {
        let planted = self.plant == Some(FaultInjection::SendToDraining);
        if !self.tape.decision_engine().may_write(Micros(self.out.now), attempt) && !planted
            || self.units.get(attempt.query).is_none()
        {
            self.out.saw(Coverage::NotWritten);
            // A repeat that came too late is out still, and was not sent.
            if self.tape.decision_engine().is_in_flight(attempt) {
                let (outcome, billed_work, report) = (Outcome::NeverSent, None, LoadReport::default());
                self.tape.handle_input(
                    self.out.now,
                    Input::AttemptEnded { attempt, outcome, reported_work: billed_work, report },
                );
            }
            return self.engines.rest(session, &mut self.out);
        }
        self.tape.handle_input(self.out.now, Input::Dispatched(attempt));
        let wanted = self.swapped(attempt.query).unwrap_or(attempt.query);
        if let Some(unit) = self.units.get(wanted) {
            self.engines.put(session, attempt, unit, &mut self.out);
        }
    }

    /// Carries out an instruction of the driver.
    pub(super) fn carry_out(&mut self, instruction: Instruction) {
        match instruction {
            Instruction::Start { attempt, engine, options: terms } => self.start(attempt, engine, terms),
            Instruction::SetOptions(attempt, terms) => {
                self.engines.set_terms(attempt, terms, &mut self.out);
            }
            Instruction::Cancel(attempt) => {
                let wanted = self.tape.decision_engine().may_answer(attempt);
                self.engines.withdraw(attempt, wanted, &mut self.out);
            }
            Instruction::Answer(query, answer) => self.answer(query, answer),
            Instruction::Probe(engine) => self.engines.probe(engine, &mut self.out),
            Instruction::ShareReports(words) => {
                if let Some(peering) = &mut self.peering {
                    peering.tell(&words, &mut self.out);
                }
                if let Some(gossip) = &mut self.gossip {
                    gossip.tell(&words, &mut self.out);
                }
            }
            Instruction::Subscribe => self.call.ask(self.sets.registry_version(), &mut self.out),
            Instruction::Log(text) => warn!(reason = %text, "set aside"),
        }
    }

    fn start(&mut self, attempt: AttemptId, engine: EngineId, terms: AttemptOptions) {
        if attempt.number > 0 {
            self.out.saw(Coverage::Resent);
            let name = self.sets.engines().name(engine);
            let id = self.units.label(attempt.query);
            info!(query = attempt.query.0, id, engine = name, attempt = attempt.number, "resend");
        }
        if let Some(unit) = self.units.get_mut(attempt.query) {
            unit.terms = terms;
        }
        self.plant_at(attempt, engine);
        self.engines.launch(attempt, engine, &mut self.out);
    }
}
