//! Simulates a day in one process and in virtual time. The controllers
//! ([`wheelfield_pg_gateway::PgGateway`]), the emulated engines and the clients run the same code
//! as on sockets, byte for byte, over a model of the network. There are no sockets, no threads and
//! no wall clock: the same day, seed and build give the same tries of clients and the same event
//! log.
//!
//! A message takes a constant time and a small random part ([`BASE_LATENCY`]); the work of a
//! process takes no time. When a stalled process resumes, it receives everything that arrived
//! meanwhile except datagrams, which are lost as in an overflowing socket buffer.

pub mod network;
pub mod policy;
mod processes;

use crate::client_model::ClientModel;
use crate::client_pool::{Attempt, ClientSettings};
use crate::day::Day;
use crate::plan::{ClusterAction, Plan};
use bytes::Bytes;
pub use network::BASE_LATENCY;
use network::{EndId, Network, NetworkEvent, NetworkFaults, ProcessId};
use policy::{BaselinePolicy, DecisionEngine, Policy};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use wheelfield::interface::{Settings, Status};
use wheelfield_config::{Config, ConfigError};
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_endpoints::tracker::parse_registry_list;
use wheelfield_endpoints::EngineSet;
use wheelfield_engine_emulator::engine::EmulatedEngine;
use wheelfield_engine_emulator::registry::{EngineStatus, Registry, RegistryEntry as Listed};
use wheelfield_engine_emulator::registry_server::RegistryServer;
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_gossip::authentication::Keys;
use wheelfield_invariants::{ClientOutcome, HistoryEvent, ProcessLifetime, UnavailableEngine};
use wheelfield_network_faults::LinkEmulator;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_pg_gateway::{DatagramSocket, PgGateway, PgGatewayOptions};
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey, Timers};

/// Time of the virtual clock at which every simulation starts: 2020-01-01, in microseconds since
/// 1970.
pub const CLOCK_START: i64 = 1_577_836_800_000_000;
/// Time from the start of a controller's process until it listens, in microseconds.
const CONTROLLER_START_TIME: i64 = 30_000;
/// Time between the start of the simulation and the first query, in microseconds; controllers start
/// and read the engine list in it.
const SETUP_TIME: i64 = 500_000;
/// Minimum time until a controller has read a changed engine file, in microseconds: the file must
/// stay unchanged for a while, and another thread reads it.
const FILE_SETTLE_TIME: i64 = 25_000;
/// How long the simulation continues after all clients have their answers, in microseconds, so that
/// operations still in progress can end.
const FINAL_EVENTS_TIME: i64 = 3_000_000;
/// Gossip port of controller 0; the ports of the others follow it.
const FIRST_GOSSIP_PORT: u16 = 20_000;

enum Event {
    Network(NetworkEvent),
    /// A process accepts an established connection.
    Accept(ConnId),
    /// A process reads the data that is available at an end of a connection.
    Deliver(EndId),
    /// A datagram arrives: its socket, its sender, the receiving controller and its bytes.
    Datagram(DatagramSocket, SocketAddr, usize, Bytes),
    ControllerTimer(usize, u64),
    EngineTimer(usize),
    RegistryTimer,
    ClientsTimer,
    /// A controller reads the engine file in its current state. Holds the controller and the
    /// generation of its process.
    ReadEngineFile(usize, u64),
    StartController(usize),
    /// An action of the plan, by its index.
    Action(usize),
}

/// Result of a simulated day.
#[derive(Debug, Default)]
pub struct SimulationResult {
    /// All tries of clients.
    pub tries: Vec<Attempt>,
    /// Events that the engines logged, and the engine lists that controllers received.
    pub log: Vec<HistoryEvent>,
    /// When each controller process started and ended.
    pub lifetimes: Vec<ProcessLifetime>,
    /// Number of simulated events.
    pub events: u64,
    /// Datagrams that controllers sent each other.
    pub datagrams_sent: u64,
    /// Connections of controllers that were open at the end although their controller no longer
    /// tracked them.
    pub leaked_connections: usize,
    /// How often controllers met each kind of event, by name.
    pub coverage: BTreeMap<&'static str, u64>,
}

/// The pending timer of each process.
#[derive(Default)]
struct WakeTimers {
    by_process: HashMap<ProcessId, (i64, TimerKey)>,
}

pub(crate) struct Simulation<'a> {
    day: &'a Day,
    plan: &'a Plan,
    config: Config,
    setup: Setup,
    new_decision_engine: &'a DecisionEngineFactory<'a>,
    fault: Option<FaultInjection>,
    seed: u64,
    now: i64,
    events: Timers<Event>,
    wake_timers: WakeTimers,
    network: Network,
    gossip_links: LinkEmulator,
    clients: ClientModel<'a>,
    /// Data of cancel requests and stray connections that are not established yet. The owner number
    /// of their ids is 2; that of the other client connections is 1.
    cancel_requests: ConnectionTable<Bytes>,
    engines: Vec<EmulatedEngine>,
    process_by_address: HashMap<SocketAddr, ProcessId>,
    gateways: Vec<Option<PgGateway>>,
    /// Generation of each controller's process: how many earlier ones were killed.
    generations: Vec<u64>,
    lifetimes: Vec<ProcessLifetime>,
    /// Events withheld from a stalled controller; `None` while it runs.
    withheld_events: Vec<Option<Vec<Event>>>,
    /// A resumed controller that is receiving its withheld events. Its effects are applied after
    /// the last of them.
    resuming_controller: Option<usize>,
    log: Vec<HistoryEvent>,
    registry_server: RegistryServer,
    registry_delay: i64,
    engine_set: EngineSet,
    rng: Pcg64Mcg,
    datagrams_sent: u64,
    coverage: BTreeMap<&'static str, u64>,
}

/// Options of a simulation in addition to its script, plan and seed.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Faults of the network.
    pub network: NetworkFaults,
    /// A fault injected into the controllers.
    pub fault: Option<FaultInjection>,
    /// Period, in microseconds, of stray connections that send malformed or unauthorised data
    /// instead of a client's startup; zero for none.
    pub stray_connection_period_us: i64,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        SimulationOptions { network: NetworkFaults::NONE, fault: None, stray_connection_period_us: 0 }
    }
}

/// Creates the decision engine of a controller's process from its settings and its seed.
pub type DecisionEngineFactory<'a> = dyn Fn(Settings, u64) -> Box<dyn DecisionEngine> + 'a;

/// Simulates a day.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn simulate(day: &Day, plan: &Plan, seed: u64, policy: Policy) -> Result<SimulationResult, ConfigError> {
    simulate_with_options(day, plan, seed, policy, SimulationOptions::default())
}

/// Simulates a day with these options.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn simulate_with_options(
    day: &Day,
    plan: &Plan,
    seed: u64,
    policy: Policy,
    options: SimulationOptions,
) -> Result<SimulationResult, ConfigError> {
    let config = day.checked()?;
    let driver_limits = DriverLimits {
        max_queries: config.limits.max_queries,
        cancel_confirmation_timeout: config.timing.cancel_timeout,
    };
    let new_decision_engine = |settings: Settings, seed: u64| -> Box<dyn DecisionEngine> {
        match policy {
            Policy::Module => Box::new(Driver::new(settings, seed, driver_limits)),
            _ => Box::new(BaselinePolicy::new(policy, settings, seed)),
        }
    };
    simulate_with_decision_engines(day, plan, seed, &new_decision_engine, options)
}

/// Simulates a day with controllers that use their own decision engines.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn simulate_with_decision_engines(
    day: &Day,
    plan: &Plan,
    seed: u64,
    new_decision_engine: &DecisionEngineFactory<'_>,
    options: SimulationOptions,
) -> Result<SimulationResult, ConfigError> {
    let mut simulation = Simulation::new(day, plan, seed, new_decision_engine, options)?;
    let longest_deadline = day.classes.iter().map(|c| c.deadline.0 .0).max().unwrap_or(0);
    let mut end = CLOCK_START + SETUP_TIME + day.length.0 .0 + 2 * longest_deadline + 5_000_000;
    let (mut events, mut done) = (0, false);
    while let Some(at) = simulation.events.next_at().filter(|at| *at <= end) {
        simulation.now = simulation.now.max(at);
        if let Some(event) = simulation.events.pop_due(at) {
            events += 1;
            simulation.dispatch(event);
        }
        if !done && simulation.clients.is_done() {
            done = true;
            end = end.min(simulation.now + FINAL_EVENTS_TIME);
        }
    }
    let mut leaked_connections = 0;
    for c in 0..simulation.gateways.len() {
        if let Some(gateway) = simulation.gateways[c].take() {
            if simulation.withheld_events[c].is_none() {
                leaked_connections += simulation
                    .network
                    .connection_count(ProcessId::Controller(c))
                    .saturating_sub(gateway.connection_count());
            }
            simulation.record_coverage(&gateway);
        }
    }
    let Simulation { clients, log, lifetimes, datagrams_sent, coverage, .. } = simulation;
    let mut tries = clients.into_attempts();
    for t in tries.iter_mut().filter(|t| t.end.is_none()) {
        (t.end, t.ended) = (Some(ClientOutcome::NoAnswer), end);
    }
    Ok(SimulationResult { tries, log, lifetimes, events, datagrams_sent, leaked_connections, coverage })
}

/// Time of the virtual clock at which the first query may arrive.
pub fn first_arrival_time() -> i64 {
    CLOCK_START + SETUP_TIME
}

impl<'a> Simulation<'a> {
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn new(
        day: &'a Day,
        plan: &'a Plan,
        seed: u64,
        new_decision_engine: &'a DecisionEngineFactory<'a>,
        options: SimulationOptions,
    ) -> Result<Simulation<'a>, ConfigError> {
        let config = day.checked()?;
        let setup = Setup::parse("generated", &day.stand_ins(&config.settings, &plan.engines))?;
        let address = |i: usize| format!("127.{}.{}.1:5432", 1 + i / 250, 1 + i % 250);
        let registry_line = |(i, h): (usize, &wheelfield_engine_emulator::setup::HostedEngine)| Listed {
            id: h.name.clone(),
            address: address(i),
            zone: h.zone.clone(),
            kind: h.kind.clone(),
            cell: h.cell,
            status: EngineStatus::Up,
            started_us: None,
        };
        let registry = Registry::new(setup.engines.iter().enumerate().map(registry_line));
        let engine_set = parse_registry_list(registry.list().as_bytes(), &config.names, 0)
            .map_err(|e| ConfigError::at("generated", "", 0, e.to_string(), "correct the fleet"))?;
        let mut process_by_address: HashMap<SocketAddr, ProcessId> = HashMap::new();
        for i in 0..setup.engines.len() {
            process_by_address.extend(address(i).parse().ok().map(|a| (a, ProcessId::Engine(i))));
        }
        process_by_address.extend(config.registry.map(|r| (r.address, ProcessId::Registry)));
        let emulated_engine = |(i, h): (usize, &wheelfield_engine_emulator::setup::HostedEngine)| {
            EmulatedEngine::new(h.clone(), CLOCK_START, seed ^ 0x656e_6769_6e65 ^ (i as u64) << 32)
        };
        let engines = setup.engines.iter().enumerate().map(emulated_engine).collect();
        let n = day.controllers;
        let client_config = ClientSettings {
            classes: day.classes.clone(),
            tenants: day.tenants.iter().map(|t| t.name.clone()).collect(),
            habits: day.habits.clone(),
            connections: day.clients,
            seed,
        };
        let mut simulation = Simulation {
            day,
            plan,
            config,
            setup,
            new_decision_engine,
            fault: options.fault,
            seed,
            now: CLOCK_START,
            events: Timers::default(),
            wake_timers: WakeTimers::default(),
            network: Network::new(options.network, seed ^ 0x6e65_7477_6f72),
            gossip_links: LinkEmulator::new(
                plan.network_faults.clone().shifted_by(CLOCK_START + SETUP_TIME),
                seed,
            ),
            clients: ClientModel::new(plan, client_config, n, first_arrival_time()),
            cancel_requests: ConnectionTable::new(2),
            engines,
            process_by_address,
            gateways: (0..n).map(|_| None).collect(),
            generations: vec![0; n],
            lifetimes: Vec::new(),
            withheld_events: (0..n).map(|_| None).collect(),
            resuming_controller: None,
            log: Vec::new(),
            registry_server: RegistryServer::new(registry),
            registry_delay: 0,
            engine_set,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x776f_726c_6400),
            datagrams_sent: 0,
            coverage: BTreeMap::new(),
        };
        simulation.clients.set_intruder_interval(options.stray_connection_period_us);
        (0..n).for_each(|c| simulation.start_controller(c));
        for (i, (at, _)) in plan.actions.iter().enumerate() {
            simulation.events.set(first_arrival_time() + at, Event::Action(i));
        }
        simulation.apply_effects(ProcessId::Clients);
        Ok(simulation)
    }

    fn dispatch(&mut self, event: Event) {
        if let Some(event) = self.withhold_if_stalled(event) {
            match event {
                Event::Network(event) => self.handle_network_event(event),
                Event::Accept(connection) => self.accept(connection),
                Event::Deliver(end) => self.deliver(end),
                Event::Datagram(port, from, to, bytes) => self.receive_datagram(port, from, to, &bytes),
                Event::ControllerTimer(c, generation) => {
                    if let Some(gateway) =
                        self.gateways[c].as_mut().filter(|_| self.generations[c] == generation)
                    {
                        gateway.handle_timers(self.now);
                        self.apply_effects(ProcessId::Controller(c));
                    }
                }
                Event::EngineTimer(e) => {
                    self.engines[e].advance(self.now);
                    self.apply_effects(ProcessId::Engine(e));
                }
                Event::RegistryTimer => {
                    self.registry_server.advance(self.now);
                    self.apply_effects(ProcessId::Registry);
                }
                Event::ClientsTimer => {
                    self.clients.handle_timers(self.now);
                    self.apply_effects(ProcessId::Clients);
                }
                Event::ReadEngineFile(c, generation) => self.read_engine_file(c, generation),
                Event::StartController(c) => self.start_controller(c),
                Event::Action(i) => self.apply_action(i),
            }
        }
        self.schedule_network_events();
    }

    // --- processes ---

    fn start_controller(&mut self, c: usize) {
        if self.gateways[c].is_some() {
            return;
        }
        let generation = self.generations[c];
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(c as u64 * 1_009 + generation);
        let mut config = self.config.clone();
        config.settings.gateway_index = c as f64;
        config.settings.zone = c.checked_rem(self.day.fleet.zones.len());
        let mut peers = None;
        if let Some(p) = &mut config.peers {
            p.listen = p.addresses[c];
            peers = Some(p.listen);
        }
        let mut gossip = None;
        if let Some(g) = &mut config.gossip {
            g.listen.set_port(FIRST_GOSSIP_PORT + c as u16);
            gossip = Keys::parse("1 000102030405060708090a0b0c0d0e0f").ok().map(|keys| (g.listen, keys));
        }
        let mut secret = [0; 32];
        secret[..8].copy_from_slice(&seed.to_be_bytes());
        let decision_engine = (self.new_decision_engine)(config.settings.clone(), seed);
        let options = PgGatewayOptions {
            now: self.now,
            seed,
            cancel_key_seed: secret,
            decision_engine,
            recorder: None,
            peer_address: peers,
            gossip,
            fault: self.fault,
        };
        let mut gateway = PgGateway::new(config, options);
        gateway.handle(self.now, wheelfield_pg_gateway::GatewayEvent::Started);
        self.gateways[c] = Some(gateway);
        self.clients.controller_up(c);
        self.lifetimes.push(ProcessLifetime {
            controller: c,
            started_at: self.now,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        });
        if self.day.registry.files {
            let at = self.now + BASE_LATENCY;
            self.events.set(at, Event::ReadEngineFile(c, generation));
        }
        self.apply_effects(ProcessId::Controller(c));
    }

    fn record_coverage(&mut self, gateway: &PgGateway) {
        for (what, n) in gateway.coverage() {
            *self.coverage.entry(what).or_default() += n;
        }
    }

    fn kill_controller(&mut self, c: usize) {
        let Some(gateway) = self.gateways[c].take() else { return };
        self.record_coverage(&gateway);
        self.generations[c] += 1;
        self.withheld_events[c] = None;
        self.clients.controller_down(c, self.now);
        if let Some(lifetime) = self.lifetimes.iter_mut().rev().find(|l| l.controller == c) {
            lifetime.ended_at = Some(self.now);
        }
        self.network.kill(self.now, ProcessId::Controller(c));
    }

    fn apply_action(&mut self, i: usize) {
        let plan = self.plan;
        match &plan.actions[i].1 {
            ClusterAction::Fault { engine, kind, value } => {
                self.engines[*engine].inject_fault(kind, *value, self.now);
                let drains = match *kind {
                    "drain" if *value > 0.0 => Some((Status::Draining, EngineStatus::Draining)),
                    "drain" => Some((Status::Up, EngineStatus::Up)),
                    _ => None,
                };
                if self.day.registry.files {
                    match (drains, *kind) {
                        (Some((status, _)), _) => self.write_engine_file(*engine, status, None),
                        (None, "start") => self.write_engine_file(*engine, Status::Up, Some(self.now)),
                        _ => {}
                    }
                } else if let Some((_, standing)) = drains {
                    self.registry_server.schedule_change(
                        self.now,
                        &self.engines[*engine].name,
                        standing,
                        None,
                    );
                }
                self.apply_effects(ProcessId::Engine(*engine));
                self.apply_effects(ProcessId::Registry);
            }
            ClusterAction::RegistryDown(ms) => {
                self.registry_server.registry.set_unavailable_until(self.now + ms * 1000)
            }
            ClusterAction::RegistryStale(ms) => self.registry_delay = ms * 1000,
            // No operating system is simulated.
            ClusterAction::BeginSystemFault(..) | ClusterAction::EndSystemFault(..) => {}
            ClusterAction::KillController(c) => self.kill_controller(*c),
            ClusterAction::StartController(c) => {
                self.events.set(self.now + CONTROLLER_START_TIME, Event::StartController(*c));
            }
            ClusterAction::StallController(c) => {
                if self.gateways[*c].is_some() && self.withheld_events[*c].is_none() {
                    self.withheld_events[*c] = Some(Vec::new());
                    if let Some(lifetime) = self.lifetimes.iter_mut().rev().find(|l| l.controller == *c) {
                        lifetime.stalls.push((self.now, i64::MAX));
                    }
                }
            }
            ClusterAction::ResumeController(c) => {
                let Some(withheld) = self.withheld_events[*c].take() else { return };
                let lifetime = self.lifetimes.iter_mut().rev().find(|l| l.controller == *c);
                if let Some(last) = lifetime.and_then(|l| l.stalls.last_mut()) {
                    last.1 = self.now;
                }
                // The operating system reports everything that is pending at once.
                self.resuming_controller = Some(*c);
                for event in withheld {
                    self.dispatch(event);
                }
                self.resuming_controller = None;
                let generation = self.generations[*c];
                self.dispatch(Event::ControllerTimer(*c, generation));
            }
        }
    }

    // --- engine list ---

    /// Updates the engine file and schedules each controller to read it.
    fn write_engine_file(&mut self, e: usize, status: Status, started: Option<i64>) {
        let id = wheelfield_config::engine_id(&self.engines[e].name);
        if let Some(k) = self.engine_set.engines.get_mut(&id) {
            k.entry.status = status;
            k.entry.started_at = started.map(wheelfield::interface::Micros).or(k.entry.started_at);
        }
        self.engine_set.version += 1;
        let not_up: Vec<UnavailableEngine> = self
            .engine_set
            .engines
            .values()
            .filter(|k| k.entry.status != Status::Up)
            .map(|k| UnavailableEngine {
                engine: k.name.clone(),
                status: wheelfield_endpoints::status_name(k.entry.status).to_string(),
            })
            .collect();
        for c in 0..self.gateways.len() {
            // Logged at the time of the write, before the controllers read the file: this makes the
            // check of the drain rule stricter.
            self.log.push(HistoryEvent {
                at: self.now,
                event: "told".into(),
                controller: c.to_string(),
                unavailable_engines: not_up.clone(),
                ..HistoryEvent::default()
            });
            let at = self.now + FILE_SETTLE_TIME + self.rng.random_range(0..FILE_SETTLE_TIME);
            self.events.set(at, Event::ReadEngineFile(c, self.generations[c]));
        }
    }
}
