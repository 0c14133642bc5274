//! Hands the words of one room to the others, until nothing is left.

use crate::abandonment::{self, Abandonments};
use crate::bootstrap::{BootstrapConfig, ExecutorEndpoint};
use crate::clients::{ClientRequest, Clients};
use crate::discovery::{self, DiscoveryClient, IgnoredAnswer};
use crate::executor_protocol::Request;
use crate::executors::{self, AttemptEvent, EndedAttempt, Executors, PendingAttempt};
use crate::http_server::{QueryRequest, Reply, RequestError, RequestKind};
use crate::in_flight::{InFlightQueries, InFlightQuery};
use crate::peers::Peers;
use crate::result_pages;
use crate::shutdown::Shutdown;
use crate::tables::table_group;
use crate::timer_event::TimerEvent;
use std::collections::VecDeque;
use tracing::{debug, info};
use wheelfield::interface::{ExecutionSemantics, Micros, Outcome};
use wheelfield_driver::{Answer, Arrival, AttemptId, Driver, DriverLimits, Input, Instruction};
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::{ConnId, DatagramSocket, Effect, EffectQueue};
use wheelfield_settings::{position, Names};

/// An answer leaves so long before its client gives up, in microseconds: it has a network before it.
const RESPONSE_MARGIN_US: i64 = 20_000;
/// Connections are looked through so often, in microseconds.
const CHECK_INTERVAL_US: i64 = 100_000;
/// What was counted is logged so often, in microseconds.
const COUNTERS_INTERVAL_US: i64 = 10_000_000;
/// Descriptors kept for listeners, datagrams, signals, logs, and what waits to be closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Of the others so many parts of ten are for clients; they hold a third of all.
const CLIENT_TENTHS: usize = 5;
/// Lines of the module that are logged between two counts.
const MAX_POLICY_LOG_LINES: u32 = 20;

/// All rooms.
pub struct Dispatcher {
    pub out: EffectQueue<TimerEvent>,
    pub clients: Clients,
    pub executors: Executors,
    pub tape: RecordingDriver,
    pub ready: VecDeque<ConnId>,
    names: Names,
    /// Of each class, whether its queries may run twice.
    harmless: Vec<bool>,
    open: InFlightQueries,
    left: Abandonments,
    feed: DiscoveryClient,
    peers: Peers,
    stop: Shutdown,
    executors_at_start: Vec<ExecutorEndpoint>,
    chance: fastrand::Rng,
    stopped: bool,
    told_at: i64,
    lines: u32,
    unused: [u64; 6],
}

impl Dispatcher {
    pub fn new(launch: BootstrapConfig, now: i64) -> Dispatcher {
        let free = launch.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(16);
        let clients = free * CLIENT_TENTHS / 10;
        let bounds =
            DriverLimits { max_queries: launch.ceilings.most_held.max(1), ..DriverLimits::default() };
        let index = launch.settings.gateway_index as usize;
        let longest = launch.settings.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        let harmless =
            launch.settings.classes.iter().map(|c| c.semantics == ExecutionSemantics::Idempotent).collect();
        let driver = Driver::new(launch.settings, launch.seed, bounds);
        Dispatcher {
            out: EffectQueue::new(now),
            clients: Clients::new(clients),
            executors: Executors::new(executors::ConnectionLimits {
                connections: free - clients,
                streams: launch.ceilings.max_streams.max(1),
                connect: launch.ceilings.connect_timeout_us,
                idle: launch.ceilings.conn_idle_us,
            }),
            tape: RecordingDriver::new(Box::new(driver), None),
            ready: VecDeque::new(),
            names: launch.names,
            harmless,
            open: InFlightQueries::default(),
            left: Abandonments::default(),
            feed: DiscoveryClient::new(launch.resolver, launch.serial),
            peers: Peers::new(&launch.peers, index, launch.peers_all),
            stop: Shutdown::new(longest),
            executors_at_start: launch.executors,
            chance: fastrand::Rng::with_seed(!launch.seed),
            stopped: false,
            told_at: now,
            lines: MAX_POLICY_LOG_LINES,
            unused: [0; 6],
        }
    }

    pub fn started(&mut self) {
        self.tape.handle_input(self.out.now, Input::Started);
        let list = std::mem::take(&mut self.executors_at_start);
        self.listed(&list);
        self.out.set_timer_after(0, TimerEvent::QueryDiscovery);
        self.out.set_timer_after(CHECK_INTERVAL_US, TimerEvent::CheckConnections);
    }

    /// The whole list of executors.
    fn listed(&mut self, list: &[ExecutorEndpoint]) {
        self.names.engines.clear();
        let entries: Vec<_> = list.iter().map(|l| l.entry(&mut self.names)).collect();
        let at = entries.iter().zip(list).map(|(e, l)| (e.engine, l.at));
        self.executors.listed(at, &mut self.out);
        self.tape.handle_input(self.out.now, Input::Engines { complete: true, entries });
    }

    /// Words of another controller.
    pub fn words(&mut self, from: std::net::SocketAddr, datagram: &[u8]) {
        if let Some(words) = self.peers.hear(from, self.names.engines.keys(), datagram) {
            self.tape.handle_input(self.out.now, Input::PeerReports(words));
        }
    }

    /// An answer of the name service.
    pub fn resolved(&mut self, from: std::net::SocketAddr, datagram: &[u8]) {
        match self.feed.hear(from, datagram) {
            Ok(list) => {
                debug!(executors = list.len(), "the list of executors has changed");
                self.listed(&list);
            }
            Err(unused) => {
                self.unused[unused as usize] += 1;
                if !matches!(unused, IgnoredAnswer::NotNewer | IgnoredAnswer::Unsolicited) {
                    debug!(%unused, "an answer of the name service is left");
                }
            }
        }
    }

    /// Another name service.
    pub fn turn_to(&mut self, resolver: std::net::SocketAddr) {
        info!(%resolver, "another name service");
        self.feed.turn_to(resolver);
        self.ask();
    }

    fn ask(&mut self) {
        if let Some((to, question)) = self.feed.ask(self.chance.u16(..)) {
            self.out.push(Effect::Send(DatagramSocket::Discovery, to, question));
        }
    }

    /// The word to stop.
    pub fn stop(&mut self) {
        if let Some((rest, listening)) = self.stop.begin(self.out.now) {
            info!(open = self.open.len(), "asked to stop");
            self.out.set_timer_at(rest, TimerEvent::CloseIdleClients);
            self.out.set_timer_at(listening, TimerEvent::StopListening);
            self.stop.last().into_iter().for_each(|at| {
                self.out.set_timer_at(at, TimerEvent::ShutdownDeadline);
            });
        }
    }

    /// A client has left.
    pub fn client_gone(&mut self, id: ConnId) {
        self.clients.close(id, &mut self.out);
        if let Some(query) = self.open.of(id) {
            if let Some(unit) = self.open.take(query) {
                debug!(id = %unit.id, out = unit.out, "left");
                self.left.leaves(query, !unit.out, self.out.now);
            }
            self.tape.handle_input(self.out.now, Input::Abandoned(query));
        }
    }

    /// Something came from a client, or it closed.
    fn read_client(&mut self, id: ConnId) {
        if self.clients.busy(id) {
            let left = self.clients.wire(id).is_some_and(|w| w.read_closed || w.peer_closing);
            if left {
                self.client_gone(id);
            }
            return;
        }
        if let Some(call) = self.clients.next(id, &mut self.out) {
            self.call(call);
        }
    }

    fn call(&mut self, call: ClientRequest) {
        let ClientRequest { client, wants, body } = call;
        let asked = match wants {
            RequestKind::Health => {
                let reply = Reply::Health(!self.stop.begun());
                return self.answer(client, &reply);
            }
            RequestKind::Query(asked) => asked,
        };
        let QueryRequest { class, id, wait, work, memory, tenant, key, nonce } = asked;
        let Some(class) = position(&self.names.classes, &class) else {
            return self.bad(client, RequestError::NotFound);
        };
        let Some(statement) = std::str::from_utf8(&body).ok().filter(|s| !s.trim().is_empty()) else {
            return self.bad(client, RequestError::InvalidField);
        };
        if self.open.uses(id) {
            return self.bad(client, RequestError::DuplicateId);
        }
        debug!(%id, class, wait, "asked");
        let tenant = tenant.and_then(|name| position(&self.names.tenants, &name));
        let arrival = Arrival {
            class,
            tenant,
            key,
            deadline: Micros(
                (self.out.now + (wait - RESPONSE_MARGIN_US).max(1)).min(self.stop.last().unwrap_or(i64::MAX)),
            ),
            work_hint: work,
            memory_hint: memory,
            tables: table_group(statement).unwrap_or(0),
        };
        match self.tape.submit(self.out.now, arrival, "") {
            Ok(query) => {
                let (harmless, out) = (self.harmless.get(class).is_some_and(|h| *h), false);
                self.open
                    .put(query, InFlightQuery { client, id, class, statement: body, nonce, harmless, out });
            }
            // Nothing of it ran.
            Err(_) => self.answer(client, &Reply::Rejected(0)),
        }
    }

    fn bad(&mut self, client: ConnId, bad: RequestError) {
        self.clients.bad(client, bad, &mut self.out);
        self.ready.push_back(client);
    }

    fn answer(&mut self, client: ConnId, reply: &Reply) {
        self.clients.answer(client, reply, &mut self.out);
        // Its next call may be here already.
        self.ready.push_back(client);
    }

    /// Lets all rooms hear of each other.
    pub fn settle(&mut self) {
        loop {
            if let Some(id) = self.ready.pop_front() {
                self.read_client(id);
            } else if let Some(instruction) = self.tape.next_instruction() {
                self.carry_out(instruction);
            } else if let Some(conn) = self.executors.ready() {
                self.write(conn);
            } else if let Some(told) = self.executors.told() {
                self.told(told);
            } else {
                break;
            }
        }
        if self.stopped || !self.out.listening_ended() {
            return;
        }
        let owed = self.open.len() > 0 || self.clients.owed(self.out.now);
        if self.stop.over(self.out.now, owed) {
            self.stopped = true;
            self.out.push(Effect::Stopped);
        }
    }

    fn carry_out(&mut self, instruction: Instruction) {
        match instruction {
            Instruction::Start { attempt, engine, options: terms } => {
                let Some(unit) = self.open.get(attempt.query) else { return };
                let job = PendingAttempt::new(attempt, unit.id, terms);
                self.executors.launch(engine, job, &mut self.out);
            }
            Instruction::SetOptions(attempt, terms) => {
                self.executors.set_terms(attempt, terms, &mut self.out);
            }
            Instruction::Cancel(attempt) => {
                self.executors.withdraw(attempt, &mut self.out);
                // It is given up with the word itself: no echo comes.
                self.ended(attempt, Outcome::Cancelled);
            }
            Instruction::Answer(query, answer) => {
                let Some(unit) = self.open.take(query) else { return };
                debug!(id = %unit.id, ?answer, "answered");
                let reply = match answer {
                    Answer::Rejected { retry_after } => Reply::Rejected((retry_after.0 + 999) / 1000),
                    Answer::Failed { .. } | Answer::Interrupted => Reply::Failed,
                };
                self.answer(unit.client, &reply);
            }
            Instruction::ShareReports(words) => {
                let (datagram, to) = self.peers.tell(&words);
                for to in to {
                    self.out.push(Effect::Send(DatagramSocket::Peers, to, datagram.clone()));
                }
            }
            Instruction::Log(line) => {
                if self.lines > 0 {
                    self.lines -= 1;
                    info!("{line}");
                }
            }
            // Probes are not part of this protocol, and the list comes without being subscribed to.
            Instruction::Probe(_) | Instruction::Subscribe => {}
        }
    }

    fn ended(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.open.is_back(attempt.query);
        if self.tape.decision_engine().is_in_flight(attempt) {
            let (billed_work, report) = (None, wheelfield::interface::LoadReport::default());
            self.tape.handle_input(
                self.out.now,
                Input::AttemptEnded { attempt, outcome, reported_work: billed_work, report },
            );
        }
    }

    /// Writes what waits for a connection that is up.
    fn write(&mut self, conn: ConnId) {
        while let Some(job) = self.executors.take(conn) {
            let mind = self.tape.decision_engine();
            let limit = mind.driver().and_then(|d| d.limit_of(job.attempt));
            let may = mind.may_write(Micros(self.out.now), job.attempt);
            let Some(unit) = self.open.get(job.attempt.query).filter(|_| may) else {
                self.ended(job.attempt, Outcome::NeverSent);
                continue;
            };
            let limit_ms = limit.map_or(1, |at| (at.0 - self.out.now + 999) / 1000).max(1);
            let Some(class) = self.names.classes.get(unit.class) else { continue };
            let (nonce, statement) = (unit.nonce.as_deref(), &unit.statement[..]);
            let request = Request { class, limit_ms, nonce, statement };
            self.executors.write(conn, &job, &request, &mut self.out);
        }
    }

    fn told(&mut self, told: AttemptEvent) {
        match told {
            AttemptEvent::Dispatched(attempt, id) => {
                self.open.begun(attempt.query, id);
                self.left.begun(attempt.query, self.out.now);
                self.tape.handle_input(self.out.now, Input::Dispatched(attempt));
            }
            AttemptEvent::Updated(attempt, note) => {
                self.tape.handle_input(self.out.now, Input::AttemptUpdated(attempt, note))
            }
            AttemptEvent::Ended(ended) => {
                let EndedAttempt { attempt, outcome, billed_work, report, pages } = *ended;
                self.open.is_back(attempt.query);
                let served = outcome == Outcome::Served && self.tape.decision_engine().may_answer(attempt);
                let unit = if served { self.open.take(attempt.query) } else { None };
                self.tape.handle_input(
                    self.out.now,
                    Input::AttemptEnded { attempt, outcome, reported_work: billed_work, report },
                );
                if let Some(unit) = unit {
                    debug!(id = %unit.id, "served");
                    self.answer(unit.client, &Reply::Rows(result_pages::answer(&pages)));
                }
            }
        }
    }

    pub fn woken(&mut self, wake: TimerEvent) {
        match wake {
            TimerEvent::QueryDiscovery => {
                self.ask();
                self.out.set_timer_after(discovery::POLL_INTERVAL_US, TimerEvent::QueryDiscovery);
            }
            TimerEvent::CheckConnections => {
                self.clients.sweep(&mut self.out);
                self.executors.sweep(&mut self.out);
                if self.stop.nobody_comes(self.out.now) {
                    self.clients.end(&mut self.out);
                }
                if self.out.now - self.told_at >= COUNTERS_INTERVAL_US {
                    self.figures();
                }
                self.out.set_timer_after(CHECK_INTERVAL_US, TimerEvent::CheckConnections);
            }
            TimerEvent::ConnectTimeout(id) => self.executors.unanswered(id, &mut self.out),
            TimerEvent::ReleaseDelayed(attempt) => self.executors.release(attempt, &mut self.out),
            TimerEvent::ShutdownDeadline => {
                for query in self.open.queries() {
                    self.tape.handle_input(self.out.now, Input::ShutdownDeadline(query));
                }
            }
            TimerEvent::CloseIdleClients => self.clients.end(&mut self.out),
            TimerEvent::StopListening => {
                // First, so that there is room for those who are taken as listening ends.
                self.clients.end(&mut self.out);
                self.out.push(Effect::StopListening);
            }
        }
    }

    #[cfg(feature = "planted")]
    pub fn forget_spent(&mut self) {
        self.open.forget_spent();
    }

    /// What was counted of clients that left while their query waited.
    pub fn left(&self) -> abandonment::AbandonmentCounts {
        self.left.counts
    }

    /// Connections and executors held.
    pub fn held(&self) -> usize {
        self.clients.len() + self.executors.len() + self.executors.known() + self.open.len()
    }

    /// Logs what was counted.
    fn figures(&mut self) {
        self.told_at = self.out.now;
        self.lines = MAX_POLICY_LOG_LINES;
        let driver = self.tape.decision_engine().driver().map(Driver::counts).unwrap_or_default();
        let (clients, executors) = (self.clients.counts, self.executors.counts);
        info!(
            open = self.open.len(),
            clients = self.clients.len(),
            connections = self.executors.len(),
            ?driver,
            ?clients,
            ?executors,
            left = ?self.left.counts,
            unused = ?self.unused,
            "counts"
        );
    }
}
