//! The dispatcher passes events between the parts of the gateway and the driver until nothing is left to be done.
//!
//! Its methods are grouped by concern: `requests` turns the requests of clients into queries, `attempts` carries out the
//! instructions of the driver and passes on what becomes of attempts, `topology` handles the list of executors and the messages
//! of other controllers, and `lifecycle` handles timers, the shutdown and the log of counters.

mod attempts;
mod held_requests;
mod lifecycle;
mod requests;
mod topology;

use crate::abandonment::{AbandonmentCounts, Abandonments};
use crate::bootstrap::{BootstrapConfig, ExecutorEndpoint};
use crate::clients::Clients;
use crate::discovery::{DiscoveryClient, IgnoredAnswer};
use crate::executors::{ConnectionLimits, Executors};
use crate::in_flight::InFlightQueries;
use crate::invariants::{SlowStartSettings, StartGuard, ViolationCounts};
use crate::list_freshness::ListFreshness;
use crate::peers::Peers;
use crate::planted::PlantedFault;
use crate::shutdown::Shutdown;
use crate::start_times::StartTimes;
use crate::timer_event::TimerEvent;
use crate::written_work::WrittenWork;
use held_requests::{HeldRequests, HoldCounters};
use lifecycle::{CHECK_INTERVAL_US, MAX_POLICY_LOG_LINES};
use std::collections::VecDeque;
use wheelfield::interface::{Class, ExecutionSemantics};
use wheelfield_driver::{Driver, DriverLimits, Input};
use wheelfield_recorder::RecordingDriver;
use wheelfield_sans_io::{ConnId, Effect, EffectQueue, TimerKey};
use wheelfield_settings::Names;

/// Descriptors reserved for listeners, datagrams, signals, logs, and sockets that wait to be closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of descriptors for connections, however few there are.
const MIN_CONNECTION_DESCRIPTORS: usize = 16;
/// Tenths of the descriptors for connections that clients may use; executors have the others.
const CLIENT_TENTHS: usize = 5;

/// How often queries of a class may run.
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

/// The parts of the gateway and what they share.
pub struct Dispatcher {
    /// Effects and timers.
    pub out: EffectQueue<TimerEvent>,
    /// The earliest time at which what is reported now can have arrived, in microseconds; `None` if nothing is known of that.
    pub arrivals_since: Option<i64>,
    /// Connections of clients.
    pub clients: Clients,
    /// Connections to executors.
    pub executors: Executors,
    /// The driver, and through it the policy.
    pub driver: RecordingDriver,
    /// Clients whose input is to be examined.
    ready_clients: VecDeque<ConnId>,
    names: Names,
    classes: Vec<ClassRules>,
    /// Cores of an executor, by kind.
    cores: Vec<f64>,
    start_times: StartTimes,
    written_work: WrittenWork,
    start_guard: StartGuard,
    violations: ViolationCounts,
    /// A fault for the soak to find; none in a build that serves.
    pub planted: Option<PlantedFault>,
    in_flight: InFlightQueries,
    abandonments: Abandonments,
    discovery: DiscoveryClient,
    /// The timer of the next query for the list.
    discovery_timer: Option<TimerKey>,
    list_freshness: ListFreshness,
    held_requests: HeldRequests,
    peers: Peers,
    shutdown: Shutdown,
    initial_executors: Vec<ExecutorEndpoint>,
    rng: fastrand::Rng,
    has_stopped: bool,
    /// Time at which the counters were logged last, in microseconds.
    counters_logged_at: i64,
    /// Lines of the policy that may be logged until the counters are logged next.
    policy_log_lines_left: u32,
    /// Answers of the name service that were ignored, by [`IgnoredAnswer`].
    ignored_answers: [u64; IgnoredAnswer::COUNT],
}

impl Dispatcher {
    /// Creates a dispatcher that has not started, with a configuration that was read at this time.
    pub fn new(config: BootstrapConfig, now: i64) -> Dispatcher {
        let descriptors = config
            .limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTION_DESCRIPTORS);
        let max_clients = descriptors * CLIENT_TENTHS / 10;
        let limits = config.protocol_limits;
        let driver_limits = DriverLimits {
            max_queries: limits.max_queries.max(1),
            ..DriverLimits::default()
        };
        let classes = &config.settings.classes;
        let longest_deadline_us = classes
            .iter()
            .map(|class| class.deadline.0)
            .max()
            .unwrap_or(0);
        let class_rules = classes.iter().map(ClassRules::of).collect();
        let cores = config.settings.cores.clone();
        let slow_start = SlowStartSettings::of(&config.settings);
        let written_work = WrittenWork::new(slow_start.window_us);
        let start_guard = StartGuard::new(slow_start);
        let own_index = config.settings.gateway_index as usize;
        let driver = Driver::new(config.settings, config.seed, driver_limits);
        Dispatcher {
            out: EffectQueue::new(now),
            arrivals_since: None,
            clients: Clients::new(max_clients),
            executors: Executors::new(ConnectionLimits {
                max_connections: descriptors - max_clients,
                max_streams: limits.max_streams.max(1),
                connect_timeout_us: limits.connect_timeout_us,
                executor_idle_timeout_us: limits.executor_idle_timeout_us,
            }),
            driver: RecordingDriver::new(Box::new(driver), None),
            ready_clients: VecDeque::new(),
            names: config.names,
            classes: class_rules,
            cores,
            start_times: StartTimes::default(),
            written_work,
            start_guard,
            violations: ViolationCounts::default(),
            planted: None,
            in_flight: InFlightQueries::default(),
            abandonments: Abandonments::default(),
            discovery: DiscoveryClient::new(config.resolver, config.serial, now),
            discovery_timer: None,
            list_freshness: ListFreshness::new(now, limits.drain_grace_us),
            held_requests: HeldRequests::default(),
            peers: Peers::new(&config.peers, own_index, config.peers_all),
            shutdown: Shutdown::new(longest_deadline_us),
            initial_executors: config.executors,
            rng: fastrand::Rng::with_seed(!config.seed),
            has_stopped: false,
            counters_logged_at: now,
            policy_log_lines_left: MAX_POLICY_LOG_LINES,
            ignored_answers: [0; IgnoredAnswer::COUNT],
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

    /// Whether a fault is planted.
    pub fn has_planted(&self, fault: PlantedFault) -> bool {
        cfg!(feature = "planted") && self.planted == Some(fault)
    }

    /// The earliest time at which what is reported now can have arrived, in microseconds.
    pub fn arrived_at(&self) -> i64 {
        let now = self.out.now;
        if self.has_planted(PlantedFault::IgnoreWaiting) {
            return now;
        }
        self.arrivals_since.map_or(now, |since| since.min(now))
    }

    /// Passes events between the parts until none is left, and ends the process once the shutdown is complete.
    pub fn process_events(&mut self) {
        while self.process_next() {}
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

    /// Processes the next event, in this order: input of clients, instructions, requests to be written (unless they wait for a list
    /// that is confirmed), ends of attempts. Returns whether there was one.
    fn process_next(&mut self) -> bool {
        if let Some(client) = self.ready_clients.pop_front() {
            self.read_client(client);
        } else if let Some(instruction) = self.driver.next_instruction() {
            self.execute_instruction(instruction);
        } else if let Some(connection) = self.next_to_write() {
            self.write_requests(connection);
        } else if let Some(event) = self.executors.next_event() {
            self.handle_attempt_event(event);
        } else {
            return false;
        }
        true
    }

    /// A connection on which attempts wait to be written.
    fn next_to_write(&mut self) -> Option<ConnId> {
        if self.is_holding() {
            return None;
        }
        self.executors.next_ready()
    }

    /// Counts of clients that left while their query was in flight.
    pub fn abandonment_counts(&self) -> AbandonmentCounts {
        self.abandonments.counts
    }

    /// Answers of the name service that were ignored, by [`IgnoredAnswer`].
    pub(crate) fn ignored_answers(&self) -> &[u64; IgnoredAnswer::COUNT] {
        &self.ignored_answers
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

    /// What was counted of requests that waited for a list.
    pub(crate) fn hold_counters(&self) -> HoldCounters {
        self.held_requests.counters
    }

    /// Number of queries in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Violations of invariants since the start of the process.
    pub fn violation_counts(&self) -> ViolationCounts {
        self.violations
    }

    /// Number of connections, executors and queries held.
    pub fn resources_in_use(&self) -> usize {
        self.clients.len()
            + self.executors.connection_count()
            + self.executors.executor_count()
            + self.in_flight.len()
    }

    /// Injects a fault for tests: forgets the request ids used lately.
    #[cfg(feature = "planted")]
    pub fn forget_recent_ids(&mut self) {
        self.in_flight.forget_recent_ids();
    }
}
