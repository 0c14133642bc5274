//! Runs a scenario against a controller without sockets, and records the data that crosses its connections as evidence for the
//! invariant checks.

mod executor_side;

use crate::common::*;
use crate::steps::{Disconnect, ExecutorReply, ListedStatus, Step, Turn};
use executor_side::ExecutorConnection;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield_invariants::{
    check_history, ClassInfo, ClientOutcome, ClockTolerance, History, HistoryEvent,
    ProcessLifetime, QueryRecord,
};
use wheelfield_platform::BootstrapConfig;
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Listener, Protocol};

/// Names of the classes, by number.
const CLASSES: [&str; 2] = ["look", "load"];
/// Index of the class whose queries must not run twice.
const AT_MOST_ONCE: usize = 1;
/// Number of executors.
const EXECUTORS: u8 = 3;

/// A fault that is injected to verify that the invariant checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Disconnects of clients are reported at the end of a turn.
    DisconnectsLast,
    /// Answers of the name service are lost.
    DiscoveryLost,
    /// The controller forgets the request ids that it has sent to executors.
    RecentIdsForgotten,
    /// The listener closes when the shutdown begins.
    ListenerClosedEarly,
}

/// The controller, and the state of the clients, executors and name service around it.
pub struct Simulation {
    harness: Harness,
    fault: Option<InjectedFault>,
    queries: Vec<QueryRecord>,
    /// The query of each client, as an index into `queries`.
    clients: BTreeMap<ConnId, usize>,
    executor_connections: BTreeMap<ConnId, ExecutorConnection>,
    log: Vec<HistoryEvent>,
    /// The published status of each executor, by its number.
    statuses: BTreeMap<u8, ListedStatus>,
    /// Serial number of the published list.
    serial: u32,
    /// Disconnects that are reported at the end of the turn.
    delayed_disconnects: Vec<(ConnId, Disconnect)>,
}

fn executor_address(number: u8) -> SocketAddr {
    format!("127.1.0.{number}:6565")
        .parse()
        .expect("an address")
}

fn executor_name(number: u8) -> String {
    format!("e{number}")
}

/// Selects a key among those whose value satisfies a condition; `index` is taken modulo their number.
fn choose<K: Copy + Ord, V>(
    map: &BTreeMap<K, V>,
    index: usize,
    condition: impl Fn(&V) -> bool,
) -> Option<K> {
    let keys: Vec<K> = map
        .iter()
        .filter(|(_, value)| condition(value))
        .map(|(key, _)| *key)
        .collect();
    (!keys.is_empty()).then(|| keys[index % keys.len()])
}

impl Simulation {
    pub fn new(fault: Option<InjectedFault>) -> Simulation {
        Simulation {
            harness: Harness::new(EXECUTORS),
            fault,
            queries: Vec::new(),
            clients: BTreeMap::new(),
            executor_connections: BTreeMap::new(),
            log: Vec::new(),
            statuses: (1..=EXECUTORS)
                .map(|number| (number, ListedStatus::Up))
                .collect(),
            serial: 3,
            delayed_disconnects: Vec::new(),
        }
    }

    /// Runs a scenario and then a shutdown during which clients still send queries. Returns the violations of invariants.
    pub fn run(mut self, scenario: &[Turn]) -> Vec<String> {
        let start = self.harness.now;
        self.advance(300_000);
        for turn in scenario {
            turn.steps.iter().for_each(|step| self.execute(step));
            self.end_turn();
            self.advance(turn.pause_ms * 1_000);
        }
        self.shut_down();
        let now = self.harness.now;
        for query in self
            .queries
            .iter_mut()
            .filter(|query| query.outcome.is_none())
        {
            (query.outcome, query.ended_at) = (Some(ClientOutcome::NoAnswer), now);
        }
        self.violations(start)
    }

    fn shut_down(&mut self) {
        self.harness.platform.begin_shutdown(self.harness.now);
        self.end_turn();
        for _ in 0..5 {
            let is_accepted =
                self.harness.listening && self.fault != Some(InjectedFault::ListenerClosedEarly);
            self.send_new_query(0, 4_000, is_accepted);
            self.end_turn();
            while !self.harness.connects.is_empty() {
                self.complete_connect(0);
                self.end_turn();
            }
            self.respond(0, ExecutorReply::Served);
            self.advance(100_000);
        }
        self.advance(5_000_000);
    }

    fn violations(&self, start: i64) -> Vec<String> {
        let config = BootstrapConfig::parse(&config(Vec::new(), 256)).expect("valid");
        let class = |name: &str| ClassInfo {
            name: name.to_string(),
            typical_work: 0.1,
            ..ClassInfo::default()
        };
        let lives = [ProcessLifetime {
            controller: 0,
            started_at: 0,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        }];
        let evidence = History {
            settings: &config.settings,
            drain_grace: 0,
            classes: &CLASSES.map(class),
            engine_cores: &BTreeMap::new(),
            started_at: start,
            queries: &self.queries,
            events: &self.log,
            lifetimes: &lives,
            tolerance: ClockTolerance::SINGLE_CLOCK,
        };
        let breaches = check_history(&evidence);
        let mut violations: Vec<String> = breaches
            .iter()
            .map(|breach| format!("{}: {}", breach.rule, breach.description))
            .collect();
        let forwarded_late = self.harness.platform.abandonment_counts().forwarded_late;
        if forwarded_late > 0 {
            violations.push(format!(
                "{forwarded_late} requests sent for clients that had disconnected"
            ));
        }
        if !self.harness.stopped {
            violations.push("the controller does not stop".to_string());
        }
        violations
    }

    fn execute(&mut self, step: &Step) {
        match *step {
            Step::SendQuery { class, timeout_ms } => self.send_new_query(class, timeout_ms, true),
            Step::RepeatServedQuery { index } => self.repeat_served_query(index),
            Step::DisconnectClient { index, how } => self.disconnect_client(index, how),
            Step::CompleteConnect { index } => self.complete_connect(index),
            Step::RefuseConnect { index } => self.refuse_connect(index),
            Step::Respond { index, reply } => self.respond(index, reply),
            Step::ResetConnection { index } => self.reset_connection(index),
            Step::PublishStatus { executor, status } => {
                self.statuses.insert(executor, status);
                self.publish_list();
            }
        }
    }

    fn handle_io(&mut self, event: IoEvent<'_>) {
        self.harness.platform.handle_io(self.harness.now, event);
    }

    /// Logs an event at an executor. A `delay` orders data sent in a turn after all data received in it.
    fn log_event(&mut self, delay: i64, event: &str, engine: &str, query: &str) {
        let (t, by) = (self.harness.now + delay, "wheelfield/0".to_string());
        let (event, engine, query) = (
            event.to_string(),
            engine.to_string(),
            Some(query.to_string()),
        );
        self.log.push(HistoryEvent {
            at: t,
            event,
            engine,
            query,
            sent_by: by,
            ..HistoryEvent::default()
        });
    }

    /// Connects a client that sends a query; `None` if it is not accepted.
    fn send_query(&mut self, class: usize, timeout_ms: i64, number: u64) -> Option<ConnId> {
        let client = self
            .harness
            .platform
            .accept(self.harness.now, Listener::Clients)?;
        let request = query_request(CLASSES[class], &request_id(number), "");
        let request = request.replace("2000", &timeout_ms.to_string());
        self.handle_io(IoEvent::Received(client, request.as_bytes()));
        Some(client)
    }

    fn send_new_query(&mut self, class: usize, timeout_ms: i64, is_accepted: bool) {
        let index = self.queries.len();
        let number = index as u64 + 1;
        let sent = self.harness.now;
        let client = if is_accepted {
            self.send_query(class, timeout_ms, number)
        } else {
            None
        };
        let (end, ended) = if client.is_some() {
            (None, i64::MAX)
        } else {
            (Some(ClientOutcome::Broke), sent)
        };
        self.queries.push(QueryRecord {
            id: request_id(number),
            class,
            key: None,
            controller: 0,
            sent_at: sent,
            deadline: sent + timeout_ms * 1_000,
            ended_at: ended,
            outcome: end,
            answer_count: 0,
            message_after_answer: None,
            answer_error: None,
        });
        if let Some(client) = client {
            self.clients.insert(client, index);
        }
    }

    /// Repeats an at-most-once query that was served. It must not run again with the same id.
    fn repeat_served_query(&mut self, index: usize) {
        let is_served = |query: &QueryRecord| {
            query.class == AT_MOST_ONCE && query.outcome == Some(ClientOutcome::Served)
        };
        let served: Vec<u64> = (1..)
            .zip(&self.queries)
            .filter(|(_, query)| is_served(query))
            .map(|(n, _)| n)
            .collect();
        if served.is_empty() {
            return;
        }
        if self.fault == Some(InjectedFault::RecentIdsForgotten) {
            self.harness.platform.forget_recent_ids();
        }
        self.send_query(AT_MOST_ONCE, 5_000, served[index % served.len()]);
    }

    fn disconnect_client(&mut self, index: usize, how: Disconnect) {
        let queries = &self.queries;
        let waiting = choose(&self.clients, index, |query| {
            queries[*query].outcome.is_none()
        });
        let Some(client) = waiting else { return };
        let query = &mut self.queries[self.clients[&client]];
        (query.outcome, query.ended_at) = (Some(ClientOutcome::Left), self.harness.now);
        if self.fault == Some(InjectedFault::DisconnectsLast) {
            self.delayed_disconnects.push((client, how));
        } else {
            self.report_disconnect(client, how);
        }
    }

    fn report_disconnect(&mut self, client: ConnId, how: Disconnect) {
        self.handle_io(match how {
            Disconnect::Reset => IoEvent::ConnectionFailed {
                id: client,
                writing: false,
                cause: FailureCause::ConnectionLost,
                reason: "reset",
            },
            Disconnect::Close => IoEvent::PeerClosing(client),
        });
    }

    fn take_connect(&mut self, index: usize) -> Option<ConnId> {
        let connects = &mut self.harness.connects;
        if connects.is_empty() {
            return None;
        }
        let (connection, _) = connects.remove(index % connects.len());
        Some(connection)
    }

    fn complete_connect(&mut self, index: usize) {
        if let Some(connection) = self.take_connect(index) {
            self.handle_io(IoEvent::Connected(connection));
        }
    }

    fn refuse_connect(&mut self, index: usize) {
        if let Some(id) = self.take_connect(index) {
            self.handle_io(IoEvent::ConnectionFailed {
                id,
                writing: true,
                cause: FailureCause::ConnectRefused,
                reason: "refused",
            });
        }
    }

    fn reset_connection(&mut self, index: usize) {
        let Some(id) = choose(&self.executor_connections, index, |_| true) else {
            return;
        };
        self.drop_executor_connection(id);
        self.handle_io(IoEvent::ConnectionFailed {
            id,
            writing: false,
            cause: FailureCause::ConnectionLost,
            reason: "reset",
        });
    }

    /// Ends a turn of the event loop: handles due timers and executes effects.
    fn end_turn(&mut self) {
        self.harness.platform.handle_timers(self.harness.now);
        self.process_effects();
        for (client, how) in std::mem::take(&mut self.delayed_disconnects) {
            self.report_disconnect(client, how);
        }
        self.process_effects();
    }

    /// Executes effects and delivers written data to clients and executors.
    fn process_effects(&mut self) {
        self.harness.run_effects();
        for (id, address) in &self.harness.connects {
            let number = (1..=EXECUTORS).find(|number| executor_address(*number) == *address);
            let engine = executor_name(number.expect("an executor"));
            let connection = ExecutorConnection {
                engine,
                running: Vec::new(),
                input: Vec::new(),
            };
            self.executor_connections.entry(*id).or_insert(connection);
        }
        for (id, bytes) in std::mem::take(&mut self.harness.written) {
            match self.clients.get(&id) {
                Some(query) => self.receive_at_client(*query, &String::from_utf8_lossy(&bytes)),
                None => self.receive_at_executor(id, &bytes),
            }
        }
        for id in std::mem::take(&mut self.harness.closed) {
            self.harness.connects.retain(|(connect, _)| *connect != id);
            self.drop_executor_connection(id);
            let Some(query) = self.clients.remove(&id) else {
                continue;
            };
            let query = &mut self.queries[query];
            if query.outcome.is_none() {
                (query.outcome, query.ended_at) = (Some(ClientOutcome::Broke), self.harness.now);
            }
        }
    }

    fn receive_at_client(&mut self, query: usize, text: &str) {
        let query = &mut self.queries[query];
        if query.outcome != Some(ClientOutcome::Left) {
            query.answer_count += text.matches("HTTP/1.1 ").count() as u32;
        }
        if query.outcome.is_some() {
            return;
        }
        query.ended_at = self.harness.now;
        query.outcome = Some(match status(text) {
            200 => ClientOutcome::Served,
            503 => ClientOutcome::Refused,
            _ => ClientOutcome::Failed,
        });
        if query.outcome == Some(ClientOutcome::Served)
            && !text.contains(&format!("[\"{}\",\"1\",\"x\"]", query.id))
        {
            query.answer_error = Some(text.to_string());
        }
    }

    fn advance(&mut self, micros: i64) {
        let until = self.harness.now + micros;
        loop {
            let due = self
                .harness
                .platform
                .next_timer_at()
                .filter(|at| *at <= until);
            // Each turn has a distinct time.
            self.harness.now = due.unwrap_or(until).max(self.harness.now + 10);
            self.end_turn();
            if due.is_none() {
                return;
            }
        }
    }
}
