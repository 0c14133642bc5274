//! What goes on between the rooms: words of one are handed to the others until nothing is left to be done.

use crate::admin::{Admin, Page};
use crate::bootstrap::Start;
use crate::clients::{Clients, Said};
use crate::coverage::Coverage;
use crate::effect_queue::EffectQueue;
use crate::endpoint_sets::EndpointSets;
use crate::engines::{self, Engines, Progress, Word};
use crate::fault_injection::FaultInjection;
use crate::gossip::Gossip;
use crate::in_flight::{InFlightQueries, InHand};
use crate::list_age::ListAge;
use crate::metrics::Look;
use crate::peering::Peering;
use crate::registry::{Call, Told};
use crate::shutdown::Stop;
use crate::timer_event::TimerEvent;
use crate::{peer_load, route};
use rand::{rngs::StdRng, SeedableRng as _};
use std::collections::VecDeque;
use tracing::{debug, info, warn};
use wheelfield::interface::{EngineId, LoadReport, Micros, Outcome, QueryId, Status};
use wheelfield_config::Config;
use wheelfield_driver::{Answer, AttemptId, AttemptOptions, Input, Instruction};
use wheelfield_endpoints::tracker::{from_registry, Change};
use wheelfield_pg::back::Trouble;
use wheelfield_pg::client::Unit;
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::ConnId;

/// Idle sessions, ages and captures are looked at so often.
const SWEEP: i64 = 1_000_000;

/// All rooms.
pub(crate) struct Dispatcher {
    pub config: Config,
    pub out: EffectQueue,
    pub tape: RecordingDriver,
    pub clients: Clients,
    pub units: InFlightQueries,
    pub engines: Engines,
    pub sets: EndpointSets,
    pub call: Call,
    pub list_age: ListAge,
    pub peering: Option<Peering>,
    pub gossip: Option<Gossip>,
    pub admin: Admin,
    pub stop: Stop,
    /// Clients to be looked at, and sessions to be read on.
    pub ready: VecDeque<ConnId>,
    pub readable: VecDeque<ConnId>,
    cancels_heard: u64,
    hints_ignored: u64,
    probes: (u64, u64),
    pub plant: Option<FaultInjection>,
    pub planted: u64,
}

impl Dispatcher {
    /// The rooms of a controller that has not started.
    pub fn new(config: Config, start: Start) -> Dispatcher {
        let Start { now, seed, secret, mind, recorder, peers, gossip, plant } = start;
        let plant = plant.filter(|_| cfg!(feature = "planted"));
        Dispatcher {
            out: EffectQueue::new(now),
            tape: RecordingDriver::new(mind, recorder),
            clients: Clients::new(&config, StdRng::from_seed(secret)),
            units: InFlightQueries::default(),
            engines: Engines::new(&config, plant),
            sets: EndpointSets::new(&config),
            call: Call::new(&config),
            list_age: ListAge::new(&config, now),
            peering: Peering::new(&config, peers, now),
            gossip: gossip.and_then(|(own, keys)| Gossip::new(&config, own, keys, seed, now, plant)),
            admin: Admin::new(),
            stop: Stop::default(),
            ready: VecDeque::new(),
            readable: VecDeque::new(),
            cancels_heard: 0,
            hints_ignored: 0,
            probes: (0, 0),
            plant,
            planted: 0,
            config,
        }
    }

    // --- what happened ---

    pub fn started(&mut self) {
        self.tape.handle_input(self.out.now, Input::Started);
        if self.config.registry.is_none() && !self.sets.of_files() {
            let change = self.sets.fixed(&self.config);
            self.changed(Some(change));
        } else if self.config.registry.is_some() && !self.config.settings.subscribe {
            self.call.ask(self.sets.registry_version(), &mut self.out);
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.tend(&mut self.out);
        }
        self.out.set_timer_after(SWEEP, TimerEvent::Sweep);
    }

    /// The process is active. If it was not for long, the registry is asked, and files are read, before new queries are taken.
    pub fn note_activity(&mut self) {
        let Some(wait_until) = self.list_age.note_activity(self.out.now) else { return };
        warn!("the process was suspended; new queries wait for the list of engines");
        if self.list_age.polls_registry() {
            self.call.ask_anew(self.sets.registry_version(), &mut self.out);
        }
        self.out.set_timer_at(wait_until, TimerEvent::ListWaitOver);
    }

    /// The next client to be looked at. While the list is waited for only those that leave are.
    fn next_ready(&mut self) -> Option<ConnId> {
        if !self.list_age.is_awaited(self.out.now, self.call.waiting()) {
            return self.ready.pop_front();
        }
        let leaving = self.ready.iter().position(|id| self.clients.is_leaving(*id))?;
        self.ready.remove(leaving)
    }

    pub fn woken(&mut self, wake: TimerEvent) {
        let out = &mut self.out;
        match wake {
            TimerEvent::Startup(id) => self.clients.startup_late(id, out),
            TimerEvent::Reader(id) => {
                if self.clients.reader_stalled(id, out) {
                    self.client_gone(id);
                }
            }
            TimerEvent::Connect(id) => self.engines.connect_late(id, out),
            TimerEvent::Stall(id) => {
                let client = self.engines.sessions.get(id).and_then(|s| s.client());
                let paused = client.is_some_and(|c| self.clients.pauses(c, id));
                self.engines.stalled(id, paused, out);
            }
            TimerEvent::Abandon(id) => self.engines.abandon(id, out),
            TimerEvent::Cancel(id) => self.engines.cancel_late(id, out),
            TimerEvent::Probe(id) => self.engines.probe_late(id, out),
            TimerEvent::Registry => self.call.ask(self.sets.registry_version(), out),
            // The clients that wait are looked at after it.
            TimerEvent::ListWaitOver => {}
            TimerEvent::Gossip => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.tend(out);
                }
            }
            TimerEvent::Stop if self.stop == Stop::Stopped => {}
            TimerEvent::Stop => {
                out.saw(Coverage::StopLate);
                self.stop.late(self.clients.len(), out);
            }
            TimerEvent::Sweep => self.sweep(),
        }
    }

    fn sweep(&mut self) {
        let now = self.out.now;
        self.out.set_timer_after(SWEEP, TimerEvent::Sweep);
        self.engines.close_idle(&mut self.out);
        let change = self.sets.age(now);
        self.changed(change);
        if let Some((count, index)) = self.gossip.as_mut().and_then(|g| g.news()) {
            self.out.saw(Coverage::GatewaysTold);
            self.tape.handle_input(now, Input::GatewayCountChanged { count, index });
        }
        self.tape.maintain_capture(now);
    }

    /// Does what is to be done until nothing is left.
    pub fn settle(&mut self) {
        loop {
            // Clients are heard before anything is sent, as one may have left; engines after, as an answer may be long.
            if let Some(word) = self.engines.word() {
                self.heed(word);
            } else if let Some(id) = self.next_ready() {
                self.attend(id);
            } else if let Some(instruction) = self.tape.next_instruction() {
                self.carry_out(instruction);
            } else if let Some(id) = self.readable.pop_front() {
                self.read(id);
            } else {
                break;
            }
        }
        if self.stop == Stop::Stopping && self.out.has_stopped_listening() && self.clients.len() == 0 {
            self.out.saw(Coverage::StopDone);
            self.stop.over(&mut self.out);
        }
    }

    // --- engines ---

    /// Reads a session's answer on to its client.
    fn read(&mut self, id: ConnId) {
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

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn heed(&mut self, word: Word) {
        let now = self.out.now;
        match word {
            Word::Free(session, attempt) => self.dispatch(session, attempt),
            Word::Begins(session, attempt, client) => {
                let may = self.tape.decision_engine().may_answer(attempt);
                match self.clients.sink(client).filter(|_| may) {
                    Some(sink) => {
                        self.engines.begin(session, sink, &mut self.out);
                        self.tape.handle_input(now, Input::AnswerStarted(attempt));
                        self.clients.flush(client, &mut self.out);
                    }
                    None => self.engines.discard(session, &mut self.out),
                }
            }
            Word::Noted(attempt, note) => self.tape.handle_input(now, Input::AttemptUpdated(attempt, note)),
            Word::Served { session, attempt, client, errored, clean } => {
                let accepted = client.filter(|_| self.tape.decision_engine().may_answer(attempt));
                let Some(s) = self.engines.sessions.get_mut(session) else { return };
                if let Some(sink) = accepted.and_then(|c| self.clients.sink(c)) {
                    if !s.backend.begun() {
                        s.backend.begin(sink);
                    }
                }
                let billed_work = s.backend.work_ms().map(|ms| ms / 1e3);
                let report = engines::report(s.backend.load());
                let outcome = Outcome::Served;
                self.tape.handle_input(
                    now,
                    Input::AttemptEnded { attempt, outcome, reported_work: billed_work, report },
                );
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

    /// Writes an attempt to a session that is there for it.
    fn dispatch(&mut self, session: ConnId, attempt: AttemptId) {
        let planted = self.plant == Some(FaultInjection::Drained);
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

    fn carry_out(&mut self, instruction: Instruction) {
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

    // --- clients ---

    /// Reads a client's messages as far as they go.
    fn attend(&mut self, id: ConnId) {
        while let Some(said) = self.clients.next(id, &mut self.out) {
            match said {
                Said::Run(unit) => self.take(id, unit),
                Said::More(query, frames, swallow, sealed) => {
                    self.engines.sessions.more(query, &frames, &swallow, sealed, &mut self.out);
                    self.out.saw(Coverage::UnitMore);
                    let Some(unit) = self.units.get_mut(query) else { continue };
                    unit.sealed |= sealed;
                    unit.more.push((frames, swallow));
                    if unit.held() > self.config.limits.prepared {
                        self.out.saw(Coverage::UnitTooLong);
                        self.give_up(id, query, &peer_load::too_long());
                    }
                }
                Said::Cancel(pid, key) => self.cancel_of(pid, &key),
                Said::Gone => return self.client_gone(id),
            }
        }
        if self.stop == Stop::Stopping {
            self.clients.end(id, &mut self.out);
        }
    }

    /// Takes a client's unit to the driver.
    fn take(&mut self, id: ConnId, unit: Unit) {
        let now = self.out.now;
        let Some(session) = self.clients.session(id) else { return };
        let hints = session.hints(unit.text());
        let routed = route::route(&self.config, Micros(now), session.identity(), &unit, &hints);
        let label = hints.id.as_deref().unwrap_or("").chars().take(64).collect::<String>();
        drop(hints);
        self.hints_ignored += u64::from(routed.ignored);
        let class = routed.arrival.class;
        match self.tape.submit(now, routed.arrival, &label) {
            Ok(query) => {
                self.out.saw(if unit.open { Coverage::UnitOpen } else { Coverage::UnitTaken });
                let (sealed, more, terms) = (!unit.open, Vec::new(), AttemptOptions::default());
                let of = InHand { client: id, unit, more, sealed, terms, label, class, since: now };
                self.units.put(query, of);
                self.clients.runs(id, query);
            }
            Err(_) => {
                self.out.saw(Coverage::UnitCrowded);
                info!(id = %label, reason = "the controller holds as many queries as it may", "refused");
                self.clients.unserved(id, &peer_load::crowded());
            }
        }
    }

    /// The client's query ends here; nobody else answers it.
    fn give_up(&mut self, id: ConnId, query: QueryId, trouble: &Trouble) {
        self.units.take(query);
        self.engines.detach(query, &mut self.out);
        self.tape.handle_input(self.out.now, Input::Abandoned(query));
        self.clients.unserved(id, trouble);
        self.ready.push_back(id);
    }

    /// A client asks that the query of another session end.
    fn cancel_of(&mut self, pid: i32, key: &[u8]) {
        self.cancels_heard += 1;
        let Some((id, query)) = self.clients.query_of(pid, key) else {
            return self.out.saw(Coverage::CancelUnknown);
        };
        let (id, query) = self.stranger(query).unwrap_or((id, query));
        info!(query = query.0, id = self.units.label(query), "cancelled by its client");
        if self.engines.sessions.amid_row(query) {
            self.out.saw(Coverage::CancelAmidRow);
            return self.client_gone(id);
        }
        self.out.saw(Coverage::CancelTaken);
        self.give_up(id, query, &peer_load::cancelled());
    }

    fn answer(&mut self, query: QueryId, answer: Answer) {
        let Some(unit) = self.units.take(query) else { return };
        self.engines.detach(query, &mut self.out);
        let class = &self.config.names.classes[unit.class];
        let (id, held_us) = (&unit.label, self.out.now - unit.since);
        match answer {
            Answer::Rejected { retry_after } => {
                self.out.saw(Coverage::Refused);
                let retry_after_ms = peer_load::advice_ms(retry_after);
                info!(query = query.0, id, class, held_us, retry_after_ms, "refused");
            }
            Answer::Failed { may_have_run } => {
                self.out.saw(if may_have_run { Coverage::FailedRun } else { Coverage::FailedNotRun });
                let reason = if may_have_run { "may have run" } else { "not run" };
                warn!(query = query.0, id, class, held_us, reason, "failed");
            }
            Answer::Interrupted => {
                self.out.saw(Coverage::Broken);
                warn!(query = query.0, id, class, held_us, reason = "answer broke off", "failed");
            }
        }
        let trouble = peer_load::of(answer);
        self.clients.unserved(unit.client, &trouble);
        if self.planted(FaultInjection::Twice, 2) {
            self.clients.sink(unit.client).into_iter().for_each(|sink| trouble.put(sink));
        }
        if !self.planted(FaultInjection::TimerEvent, 2) {
            self.ready.push_back(unit.client);
        }
    }

    /// The client's query was served; its answer is in its output.
    fn served(&mut self, query: QueryId, errored: bool) {
        if self.planted(FaultInjection::Lose, 20) {
            self.units.take(query);
            return;
        }
        let Some(unit) = self.units.take(query) else { return };
        let class = &self.config.names.classes[unit.class];
        debug!(query = query.0, id = %unit.label, class, held_us = self.out.now - unit.since, "served");
        self.clients.served(unit.client, errored);
        self.ready.push_back(unit.client);
    }

    /// A client can be told nothing more: its connection closes.
    pub fn client_gone(&mut self, id: ConnId) {
        let Some(query) = self.clients.remove(id, &mut self.out) else { return };
        if self.units.take(query).is_some() {
            self.engines.detach(query, &mut self.out);
            self.tape.handle_input(self.out.now, Input::Abandoned(query));
        }
    }

    // --- beside queries ---

    pub fn registry_told(&mut self, told: Option<Told>) {
        match told {
            None => {}
            Some(Told::Unavailable) => {
                self.out.saw(Coverage::ListMissing);
                self.tape.handle_input(self.out.now, Input::ListUnavailable);
            }
            Some(Told::List(body)) => {
                let version = self.sets.registry_version();
                match from_registry(&body, &self.config.names, version) {
                    Ok(set) => {
                        let change = self.sets.registry(set, self.out.now);
                        self.changed(change);
                    }
                    Err(fault) => {
                        self.sets.counts.refused += 1;
                        self.out.saw(Coverage::ListRefused);
                        warn!(%fault, "a list of engines was refused; the last one stays");
                    }
                }
            }
        }
    }

    /// The engine list has changed.
    pub fn changed(&mut self, change: Option<Change>) {
        let Some(Change { whole, entries }) = change.filter(|c| c.whole || !c.entries.is_empty()) else {
            return;
        };
        self.out.saw(Coverage::ListTaken);
        let known = self.sets.engines();
        for entry in &entries {
            info!(engine = known.name(entry.engine), status = ?entry.status, "engine list");
        }
        let now = self.out.now;
        self.tape.record_engine_names(now, known.known().iter().map(|(id, k)| (*id, k.name.clone())));
        for entry in &entries {
            if let Some(k) = known.known().get(&entry.engine) {
                let up = k.entry.status == Status::Up;
                self.engines.listed(entry.engine, k.address, up, &mut self.out);
            }
        }
        self.tape.handle_input(now, Input::Engines { complete: whole, entries });
    }

    pub fn operator(&mut self, id: ConnId) {
        while let Some(page) = self.admin.next(id, &mut self.out) {
            let (status, kind, body) = match page {
                Page::Health => (200, "text/plain", "ok\n".to_string()),
                Page::Status => (200, "application/json", self.look().status()),
                Page::Metrics => (200, "text/plain", self.look().metrics()),
                Page::Unknown => (404, "text/plain", "known: /health, /status, /metrics\n".to_string()),
            };
            self.admin.answer(id, status, kind, &body);
        }
    }

    /// Connections that are held.
    pub fn connections(&self) -> usize {
        self.clients.len() + self.engines.connections() + self.call.connections() + self.admin.len()
    }

    fn look(&self) -> Look<'_> {
        Look {
            now: self.out.now,
            tape: &self.tape,
            clients: &self.clients,
            engines: &self.engines,
            sets: &self.sets,
            call: &self.call,
            peering: self.peering.as_ref(),
            gossip: self.gossip.as_ref(),
            cancels: self.cancels_heard,
            hints_ignored: self.hints_ignored,
            probes: self.probes,
        }
    }
}
