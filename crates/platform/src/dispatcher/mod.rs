//! Passes events between the parts of the gateway and the driver until no event is pending.
//!
//! The methods of the dispatcher are grouped by concern: `requests` turns client requests into queries, `held_requests` delays
//! them while the list of executors is out of date, `attempts` carries out the driver's instructions and reports the progress of
//! attempts to it, `results` fetches results as far as there is memory for them, `topology` handles the list of executors and the
//! messages of other controllers, and `lifecycle` handles timers, the shutdown and the log of counters.

mod attempts;
mod held_requests;
mod lifecycle;
mod requests;
mod results;
mod topology;

use crate::abandonment::{AbandonmentCounts, Abandonments};
use crate::bootstrap::{BootstrapConfig, ExecutorEndpoint};
use crate::clients::Clients;
use crate::discovery::{DiscoveryClient, NumberedList};
use crate::engine_identities::EngineIdentities;
use crate::executors::{ConnectionLimits, Executors};
use crate::ignored_answers::{IgnoredAnswers, IgnoredCounts};
use crate::in_flight::InFlightQueries;
use crate::invariants::{SlowStartGuard, SlowStartSettings, ViolationCounts};
use crate::list_freshness::ListFreshness;
use crate::list_validity::ListUse;
use crate::peers::Peers;
use crate::planted::InjectedFault;
use crate::shutdown::Shutdown;
use crate::start_times::StartTimes;
use crate::suspensions::SuspensionSeries;
use crate::timer_event::TimerEvent;
use crate::written_work::WrittenWork;
use held_requests::{HeldRequests, HoldCounters};
use lifecycle::{CHECK_INTERVAL_US, MAX_POLICY_LOG_LINES};
use results::WaitingResults;
use std::collections::VecDeque;
use wheelfield::interface::{Class, ExecutionSemantics};
use wheelfield_driver::{Driver, DriverLimits, Input};
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::{ConnId, Effect, EffectQueue, TimerKey};
use wheelfield_settings::Names;

/// File descriptors reserved for listeners, datagram sockets, signals, logs, and sockets that are about to be closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of file descriptors used for connections, even if the configured limit is lower.
const MIN_CONNECTION_DESCRIPTORS: usize = 16;
/// Share of the connection descriptors that clients may use, in tenths; the rest is for connections to executors.
const CLIENT_SHARE_TENTHS: usize = 5;

/// Bytes in a megabyte of the configured memory limit.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Execution semantics of a class: how often its queries may run.
#[derive(Clone, Copy, Debug)]
struct ClassRules {
    semantics: ExecutionSemantics,
    deduplication_window_us: i64,
}

impl ClassRules {
    fn of(class: &Class) -> ClassRules {
        ClassRules {
            semantics: class.semantics,
            deduplication_window_us: class.deduplication_window.0,
        }
    }
}

/// The parts of the gateway and the state that they share.
pub struct Dispatcher {
    /// Pending effects and timers, and the current time.
    pub out: EffectQueue<TimerEvent>,
    /// The earliest time at which the input that is being reported can have arrived, in microseconds; `None` if unknown.
    pub earliest_arrival_at: Option<i64>,
    /// Client connections.
    pub clients: Clients,
    /// Connections to executors.
    pub executors: Executors,
    /// The driver, which runs the policy.
    pub driver: RecordingDriver,
    /// Clients whose input is ready to be parsed.
    ready_clients: VecDeque<ConnId>,
    names: Names,
    class_rules: Vec<ClassRules>,
    /// Number of cores of an executor, by kind.
    cores_by_kind: Vec<f64>,
    start_times: StartTimes,
    engine_identities: EngineIdentities,
    written_work: WrittenWork,
    slow_start_guard: SlowStartGuard,
    violations: ViolationCounts,
    /// The injected fault, if any; always `None` in production builds.
    pub injected_fault: Option<InjectedFault>,
    in_flight: InFlightQueries,
    abandonments: Abandonments,
    discovery: DiscoveryClient,
    /// The timer of the next query for the list of executors.
    discovery_timer: Option<TimerKey>,
    list_freshness: ListFreshness,
    /// What may be done with requests by the list now.
    list_use: ListUse,
    suspensions: SuspensionSeries,
    held_requests: HeldRequests,
    pub(crate) waiting_results: WaitingResults,
    peers: Peers,
    shutdown: Shutdown,
    initial_executors: Vec<ExecutorEndpoint>,
    rng: fastrand::Rng,
    has_stopped: bool,
    /// Time at which the counters were last logged, in microseconds.
    counters_logged_at: i64,
    /// Number of policy log lines that may still be logged before the next log of the counters.
    policy_log_lines_left: u32,
    ignored_answers: IgnoredAnswers,
}

impl Dispatcher {
    /// Creates a dispatcher that has not started yet. `now` is the time at which its configuration was read.
    pub fn new(config: BootstrapConfig, now: i64) -> Dispatcher {
        let descriptors = config
            .limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTION_DESCRIPTORS);
        let max_clients = descriptors * CLIENT_SHARE_TENTHS / 10;
        let memory_limit_bytes = (config.limits.memory_mb * BYTES_PER_MB) as usize;
        let limits = config.protocol_limits;
        let initial_list = NumberedList::initial(&config);
        let driver_limits = DriverLimits {
            max_queries: limits.max_queries.max(1),
            ..DriverLimits::default()
        };
        let classes = &config.settings.classes;
        let longest_deadline = classes.iter().map(|class| class.deadline.0).max();
        let class_rules = classes.iter().map(ClassRules::of).collect();
        let cores_by_kind = config.settings.cores.clone();
        let slow_start = SlowStartSettings::of(&config.settings);
        let written_work = WrittenWork::new(slow_start.window_us);
        let slow_start_guard = SlowStartGuard::new(slow_start);
        let own_index = config.settings.gateway_index as usize;
        let driver = Driver::new(config.settings, config.seed, driver_limits);
        let discovery = DiscoveryClient::new(config.resolver, initial_list, now);
        Dispatcher {
            out: EffectQueue::new(now),
            earliest_arrival_at: None,
            clients: Clients::new(max_clients, memory_limit_bytes),
            executors: Executors::new(ConnectionLimits::of(&limits, descriptors - max_clients)),
            driver: RecordingDriver::new(Box::new(driver), None),
            ready_clients: VecDeque::new(),
            names: config.names,
            class_rules,
            cores_by_kind,
            start_times: StartTimes::default(),
            engine_identities: EngineIdentities::default(),
            written_work,
            slow_start_guard,
            violations: ViolationCounts::default(),
            injected_fault: None,
            in_flight: InFlightQueries::default(),
            abandonments: Abandonments::default(),
            discovery,
            discovery_timer: None,
            list_freshness: ListFreshness::new(now, limits.drain_grace_us),
            list_use: ListUse::Usable,
            suspensions: SuspensionSeries::new(now),
            held_requests: HeldRequests::default(),
            waiting_results: WaitingResults::default(),
            peers: Peers::new(&config.peers, own_index, config.peers_all),
            shutdown: Shutdown::new(longest_deadline.unwrap_or(0)),
            initial_executors: config.executors,
            rng: fastrand::Rng::with_seed(!config.seed),
            has_stopped: false,
            counters_logged_at: now,
            policy_log_lines_left: MAX_POLICY_LOG_LINES,
            ignored_answers: IgnoredAnswers::default(),
        }
    }

    /// Starts the driver with the initial list of executors.
    pub fn start(&mut self) {
        self.driver.handle_input(self.out.now, Input::Started);
        let executors = std::mem::take(&mut self.initial_executors);
        self.replace_executors(&executors, None);
        self.query_discovery();
        self.out
            .set_timer_after(CHECK_INTERVAL_US, TimerEvent::CheckConnections);
    }

    /// Whether this fault is injected.
    pub fn has_injected(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "planted") && self.injected_fault == Some(fault)
    }

    /// The earliest time at which the input that is being reported can have arrived, in microseconds; the current time if unknown.
    pub fn arrival_time(&self) -> i64 {
        let now = self.out.now;
        if self.has_injected(InjectedFault::IgnoreWaiting) {
            return now;
        }
        self.earliest_arrival_at.map_or(now, |since| since.min(now))
    }

    /// Processes events until none is pending, and stops the process once the shutdown is complete.
    pub fn process_events(&mut self) {
        while self.process_next() {}
        self.fetch_waiting_results();
        self.clients.distribute_memory(&mut self.out);
        for (id, violation) in self.clients.take_closing_violations() {
            self.violations.record(id.as_u64(), violation.into());
        }
        if self.has_stopped || !self.out.has_stopped_listening() {
            return;
        }
        let has_outstanding =
            !self.in_flight.is_empty() || self.clients.has_outstanding(self.out.now);
        if self.shutdown.is_complete(self.out.now, has_outstanding) {
            self.has_stopped = true;
            self.log_counters();
            self.out.push(Effect::Stopped);
        }
    }

    /// Processes the next pending event and returns whether there was one. The order is: client input, instructions of the driver,
    /// requests to be written, progress of attempts. No request is written while the list of executors must not be used.
    fn process_next(&mut self) -> bool {
        if let Some(client) = self.ready_clients.pop_front() {
            self.read_client(client);
        } else if let Some(instruction) = self.driver.next_instruction() {
            self.execute_instruction(instruction);
        } else if let Some(connection) = self.next_writable_connection() {
            self.write_requests(connection);
        } else if let Some(event) = self.executors.next_event() {
            self.handle_attempt_event(event);
        } else {
            return false;
        }
        true
    }

    /// A connection that is ready and has attempts queued to be written; `None` while the list must not be used.
    fn next_writable_connection(&mut self) -> Option<ConnId> {
        if !self.is_list_usable() {
            return None;
        }
        self.executors.next_ready()
    }

    /// Counters of clients that disconnected while their query was in flight.
    pub fn abandonment_counts(&self) -> AbandonmentCounts {
        self.abandonments.counts
    }

    /// Numbers of ignored answers of the name service since the start of the process.
    pub(crate) fn ignored_answers(&self) -> &IgnoredCounts {
        &self.ignored_answers.total
    }

    /// The client of the name service.
    pub(crate) fn discovery(&self) -> &DiscoveryClient {
        &self.discovery
    }

    /// Time since the name service last confirmed the list of executors, in milliseconds.
    pub(crate) fn list_age_ms(&self) -> usize {
        let age_us = self.out.now - self.discovery.confirmed_at();
        usize::try_from(age_us / 1_000).unwrap_or(0)
    }

    /// Counters of requests that waited for a confirmed list of executors.
    pub(crate) fn hold_counters(&self) -> HoldCounters {
        self.held_requests.counters
    }

    /// Number of queries in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Invariant violations since the start of the process.
    pub fn violation_counts(&self) -> ViolationCounts {
        self.violations
    }

    /// Number of open connections, known executors and queries in flight.
    pub fn resources_in_use(&self) -> usize {
        self.clients.len()
            + self.executors.connection_count()
            + self.executors.executor_count()
            + self.in_flight.len()
    }

    /// Injects a fault for tests: clears the record of recently used request ids.
    #[cfg(feature = "planted")]
    pub fn forget_recent_ids(&mut self) {
        self.in_flight.forget_recent_ids();
    }
}
