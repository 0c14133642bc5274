//! A day in one process and in virtual time: the controllers' own code ([`wheelfield_pg_gateway::PgGateway`]), the stand-ins' and the
//! clients' as on sockets, byte for byte, and a modelled network between them. No sockets, no threads, no clock: the same
//! day, seed and build give the same tries and log.
//!
//! What a message takes is a constant and a small chance part ([`HOP`]); a process's own work takes no time. A stalled
//! process finds all that came meanwhile when it goes on, but for datagrams, which are lost with its socket's buffer.

pub mod mind;
pub mod network;
mod procs;

use crate::crowd::{Manners, Try};
use crate::day::Day;
use crate::people::People;
use crate::plan::{Plan, StageAction};
use bytes::Bytes;
use mind::{DecisionEngine, Plain, Policy};
pub use network::HOP;
use network::{At, Network, Passing, Proc, Weather};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use wheelfield::interface::{Settings, Status};
use wheelfield_config::{Config, ConfigError};
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_endpoints::tracker::parse_registry_list;
use wheelfield_endpoints::EngineSet;
use wheelfield_engine_emulator::desk::Desk;
use wheelfield_engine_emulator::registry::{Line as Listed, Registry, Standing};
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_engine_emulator::stand::Stand;
use wheelfield_gossip::authentication::Keys;
use wheelfield_invariants::{ClientOutcome, HistoryEvent, ProcessLifetime, UnavailableEngine};
use wheelfield_network_faults::LinkEmulator;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_pg_gateway::{DatagramSocket, PgGateway, PgGatewayOptions};
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey, Timers};

/// A day begins at this time of the virtual clock: 2020-01-01, in microseconds since 1970.
pub const START: i64 = 1_577_836_800_000_000;
/// A controller that is started listens after this.
const BOOT: i64 = 30_000;
/// The stage is set this long before the first query.
const LEAD: i64 = 500_000;
/// A file that has changed is taken after so long: it must stand still, and is read on another thread.
const SETTLES: i64 = 25_000;
/// Once all clients have their answers, what is under way may still come for so long.
const AFTERMATH: i64 = 3_000_000;
/// Ports of the gossip, from this one on.
const GOSSIP_PORTS: u16 = 20_000;

enum Event {
    Net(Passing),
    /// A process takes a connection that is through.
    Accept(ConnId),
    /// A process reads what an end has.
    Deliver(At),
    Datagram(DatagramSocket, SocketAddr, usize, Bytes),
    GateDue(usize, u64),
    EngineDue(usize),
    DeskDue,
    PeopleDue,
    /// A controller reads the file as it is then.
    Files(usize, u64),
    Boot(usize),
    Act(usize),
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Played {
    /// All tries.
    pub tries: Vec<Try>,
    /// The engines' log, and who was told what.
    pub log: Vec<HistoryEvent>,
    /// The lives of the controllers.
    pub lives: Vec<ProcessLifetime>,
    /// Events that were played.
    pub events: u64,
    /// Messages between controllers, each to each.
    pub messages: u64,
    /// Connections that controllers hold and do not know of, at the end.
    pub leaks: usize,
    /// What came to pass in controllers, by name, and how often.
    pub seen: BTreeMap<&'static str, u64>,
}

/// A process that may be woken.
#[derive(Default)]
struct Wakes {
    set: HashMap<Proc, (i64, TimerKey)>,
}

pub(crate) struct World<'a> {
    day: &'a Day,
    plan: &'a Plan,
    config: Config,
    setup: Setup,
    minds: &'a Minds<'a>,
    plant: Option<FaultInjection>,
    seed: u64,
    now: i64,
    events: Timers<Event>,
    wakes: Wakes,
    net: Network,
    roads: LinkEmulator,
    people: People<'a>,
    /// Requests to cancel of clients that wait for their connection.
    raw: ConnectionTable<Bytes>,
    stands: Vec<Stand>,
    by_address: HashMap<SocketAddr, Proc>,
    gates: Vec<Option<PgGateway>>,
    /// Processes that each controller has had.
    lives: Vec<u64>,
    lived: Vec<ProcessLifetime>,
    /// What reached a controller that stands still.
    stalled: Vec<Option<Vec<Event>>>,
    /// A controller that is being told of much at once.
    batch: Option<usize>,
    log: Vec<HistoryEvent>,
    desk: Desk,
    stale: i64,
    set: EngineSet,
    chance: Pcg64Mcg,
    messages: u64,
    seen: BTreeMap<&'static str, u64>,
}

/// How a day is played, beside its script, plan and seed.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// How the network behaves.
    pub weather: Weather,
    /// A fault planted in the controllers.
    pub plant: Option<FaultInjection>,
    /// Somebody who is no client comes so often, in microseconds; zero for never.
    pub visits: i64,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions { weather: Weather::FAIR, plant: None, visits: 0 }
    }
}

/// Makes what decides in a process of a controller, of its settings and its seed.
pub type Minds<'a> = dyn Fn(Settings, u64) -> Box<dyn DecisionEngine> + 'a;

/// Plays a day.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn play(day: &Day, plan: &Plan, seed: u64, policy: Policy) -> Result<Played, ConfigError> {
    play_under(day, plan, seed, policy, Conditions::default())
}

/// Plays a day under conditions.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn play_under(
    day: &Day,
    plan: &Plan,
    seed: u64,
    policy: Policy,
    conditions: Conditions,
) -> Result<Played, ConfigError> {
    let config = day.checked()?;
    let bounds = DriverLimits {
        max_queries: config.limits.max_queries,
        cancel_confirmation_timeout: config.timing.cancel_timeout,
    };
    let minds = |settings: Settings, seed: u64| -> Box<dyn DecisionEngine> {
        match policy {
            Policy::Module => Box::new(Driver::new(settings, seed, bounds)),
            _ => Box::new(Plain::new(policy, settings, seed)),
        }
    };
    play_with(day, plan, seed, &minds, conditions)
}

/// Plays a day with controllers that decide in a way of their own.
///
/// # Errors
/// The first [`ConfigError`] of its script.
pub fn play_with(
    day: &Day,
    plan: &Plan,
    seed: u64,
    minds: &Minds<'_>,
    conditions: Conditions,
) -> Result<Played, ConfigError> {
    let mut world = World::new(day, plan, seed, minds, conditions)?;
    let longest = day.classes.iter().map(|c| c.deadline.0 .0).max().unwrap_or(0);
    let mut end = START + LEAD + day.length.0 .0 + 2 * longest + 5_000_000;
    let (mut events, mut done) = (0, false);
    while let Some(at) = world.events.next_at().filter(|at| *at <= end) {
        world.now = world.now.max(at);
        if let Some(event) = world.events.pop_due(at) {
            events += 1;
            world.happen(event);
        }
        if !done && world.people.done() {
            done = true;
            end = end.min(world.now + AFTERMATH);
        }
    }
    let mut leaks = 0;
    for c in 0..world.gates.len() {
        if let Some(gate) = world.gates[c].take() {
            if world.stalled[c].is_none() {
                leaks += world.net.of(Proc::Controller(c)).saturating_sub(gate.connection_count());
            }
            world.note_seen(&gate);
        }
    }
    let World { people, log, lived, messages, seen, .. } = world;
    let mut tries = people.into_tries();
    for t in tries.iter_mut().filter(|t| t.end.is_none()) {
        (t.end, t.ended) = (Some(ClientOutcome::NoAnswer), end);
    }
    Ok(Played { tries, log, lives: lived, events, messages, leaks, seen })
}

/// When a day's first query may come.
pub fn start() -> i64 {
    START + LEAD
}

impl<'a> World<'a> {
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn new(
        day: &'a Day,
        plan: &'a Plan,
        seed: u64,
        minds: &'a Minds<'a>,
        conditions: Conditions,
    ) -> Result<World<'a>, ConfigError> {
        let config = day.checked()?;
        let setup = Setup::parse("generated", &day.stand_ins(&config.settings, &plan.engines))?;
        let address = |i: usize| format!("127.{}.{}.1:5432", 1 + i / 250, 1 + i % 250);
        let line = |(i, h): (usize, &wheelfield_engine_emulator::setup::Hosted)| Listed {
            id: h.name.clone(),
            address: address(i),
            zone: h.zone.clone(),
            kind: h.kind.clone(),
            cell: h.cell,
            status: Standing::Up,
            started_us: None,
        };
        let registry = Registry::new(setup.engines.iter().enumerate().map(line));
        let set = parse_registry_list(registry.list().as_bytes(), &config.names, 0)
            .map_err(|e| ConfigError::at("generated", "", 0, e.to_string(), "mend the fleet"))?;
        let mut by_address: HashMap<SocketAddr, Proc> = HashMap::new();
        for i in 0..setup.engines.len() {
            by_address.extend(address(i).parse().ok().map(|a| (a, Proc::Engine(i))));
        }
        by_address.extend(config.registry.map(|r| (r.address, Proc::Desk)));
        let stand = |(i, h): (usize, &wheelfield_engine_emulator::setup::Hosted)| {
            Stand::new(h.clone(), START, seed ^ 0x656e_6769_6e65 ^ (i as u64) << 32)
        };
        let stands = setup.engines.iter().enumerate().map(stand).collect();
        let n = day.controllers;
        let manners = Manners {
            classes: day.classes.clone(),
            tenants: day.tenants.iter().map(|t| t.name.clone()).collect(),
            habits: day.habits.clone(),
            connections: day.clients,
            seed,
        };
        let mut world = World {
            day,
            plan,
            config,
            setup,
            minds,
            plant: conditions.plant,
            seed,
            now: START,
            events: Timers::default(),
            wakes: Wakes::default(),
            net: Network::new(conditions.weather, seed ^ 0x6e65_7477_6f72),
            roads: LinkEmulator::new(plan.network_faults.clone().shifted_by(START + LEAD), seed),
            people: People::new(plan, manners, n, start()),
            raw: ConnectionTable::new(2),
            stands,
            by_address,
            gates: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            lived: Vec::new(),
            stalled: (0..n).map(|_| None).collect(),
            batch: None,
            log: Vec::new(),
            desk: Desk::new(registry),
            stale: 0,
            set,
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0x776f_726c_6400),
            messages: 0,
            seen: BTreeMap::new(),
        };
        world.people.visited(conditions.visits);
        (0..n).for_each(|c| world.boot(c));
        for (i, (at, _)) in plan.actions.iter().enumerate() {
            world.events.set(start() + at, Event::Act(i));
        }
        world.after(Proc::People);
        Ok(world)
    }

    fn happen(&mut self, event: Event) {
        if let Some(event) = self.held_back(event) {
            match event {
                Event::Net(passing) => self.passed(passing),
                Event::Accept(link) => self.accept(link),
                Event::Deliver(at) => self.deliver(at),
                Event::Datagram(port, from, to, bytes) => self.heard(port, from, to, &bytes),
                Event::GateDue(c, life) => {
                    if let Some(gate) = self.gates[c].as_mut().filter(|_| self.lives[c] == life) {
                        gate.handle_timers(self.now);
                        self.after(Proc::Controller(c));
                    }
                }
                Event::EngineDue(e) => {
                    self.stands[e].advance(self.now);
                    self.after(Proc::Engine(e));
                }
                Event::DeskDue => {
                    self.desk.advance(self.now);
                    self.after(Proc::Desk);
                }
                Event::PeopleDue => {
                    self.people.pass(self.now);
                    self.after(Proc::People);
                }
                Event::Files(c, life) => self.read_file(c, life),
                Event::Boot(c) => self.boot(c),
                Event::Act(i) => self.act(i),
            }
        }
        self.spread();
    }

    // --- processes ---

    fn boot(&mut self, c: usize) {
        if self.gates[c].is_some() {
            return;
        }
        let life = self.lives[c];
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(c as u64 * 1_009 + life);
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
            g.listen.set_port(GOSSIP_PORTS + c as u16);
            gossip = Keys::parse("1 000102030405060708090a0b0c0d0e0f").ok().map(|keys| (g.listen, keys));
        }
        let mut secret = [0; 32];
        secret[..8].copy_from_slice(&seed.to_be_bytes());
        let mind = (self.minds)(config.settings.clone(), seed);
        let start = PgGatewayOptions {
            now: self.now,
            seed,
            cancel_key_seed: secret,
            decision_engine: mind,
            recorder: None,
            peer_address: peers,
            gossip,
            fault: self.plant,
        };
        let mut gate = PgGateway::new(config, start);
        gate.handle(self.now, wheelfield_pg_gateway::GatewayEvent::Started);
        self.gates[c] = Some(gate);
        self.people.up(c);
        self.lived.push(ProcessLifetime {
            controller: c,
            started_at: self.now,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        });
        if self.day.registry.files {
            let at = self.now + HOP;
            self.events.set(at, Event::Files(c, life));
        }
        self.after(Proc::Controller(c));
    }

    fn note_seen(&mut self, gate: &PgGateway) {
        for (what, n) in gate.coverage() {
            *self.seen.entry(what).or_default() += n;
        }
    }

    fn kill(&mut self, c: usize) {
        let Some(gate) = self.gates[c].take() else { return };
        self.note_seen(&gate);
        self.lives[c] += 1;
        self.stalled[c] = None;
        self.people.down(c, self.now);
        if let Some(life) = self.lived.iter_mut().rev().find(|l| l.controller == c) {
            life.ended_at = Some(self.now);
        }
        self.net.kill(self.now, Proc::Controller(c));
    }

    fn act(&mut self, i: usize) {
        let plan = self.plan;
        match &plan.actions[i].1 {
            StageAction::Fault { engine, kind, value } => {
                self.stands[*engine].ail(kind, *value, self.now);
                let drains = match *kind {
                    "drain" if *value > 0.0 => Some((Status::Draining, Standing::Draining)),
                    "drain" => Some((Status::Up, Standing::Up)),
                    _ => None,
                };
                if self.day.registry.files {
                    match (drains, *kind) {
                        (Some((status, _)), _) => self.put_file(*engine, status, None),
                        (None, "start") => self.put_file(*engine, Status::Up, Some(self.now)),
                        _ => {}
                    }
                } else if let Some((_, standing)) = drains {
                    self.desk.change(self.now, &self.stands[*engine].name, standing, None);
                }
                self.after(Proc::Engine(*engine));
                self.after(Proc::Desk);
            }
            StageAction::RegistryDown(ms) => self.desk.registry.unavailable(self.now + ms * 1000),
            StageAction::RegistryStale(ms) => self.stale = ms * 1000,
            StageAction::KillController(c) => self.kill(*c),
            StageAction::StartController(c) => {
                self.events.set(self.now + BOOT, Event::Boot(*c));
            }
            StageAction::StallController(c) => {
                if self.gates[*c].is_some() && self.stalled[*c].is_none() {
                    self.stalled[*c] = Some(Vec::new());
                    if let Some(life) = self.lived.iter_mut().rev().find(|l| l.controller == *c) {
                        life.stalls.push((self.now, i64::MAX));
                    }
                }
            }
            StageAction::ResumeController(c) => {
                let Some(waiting) = self.stalled[*c].take() else { return };
                let life = self.lived.iter_mut().rev().find(|l| l.controller == *c);
                if let Some(last) = life.and_then(|l| l.stalls.last_mut()) {
                    last.1 = self.now;
                }
                // Its system tells it of all that at once.
                self.batch = Some(*c);
                for event in waiting {
                    self.happen(event);
                }
                self.batch = None;
                let life = self.lives[*c];
                self.happen(Event::GateDue(*c, life));
            }
        }
    }

    // --- who takes work ---

    /// The file of engines is written anew.
    fn put_file(&mut self, e: usize, status: Status, started: Option<i64>) {
        let id = wheelfield_config::engine_id(&self.stands[e].name);
        if let Some(k) = self.set.engines.get_mut(&id) {
            k.entry.status = status;
            k.entry.started_at = started.map(wheelfield::interface::Micros).or(k.entry.started_at);
        }
        self.set.version += 1;
        let not_up: Vec<UnavailableEngine> = self
            .set
            .engines
            .values()
            .filter(|k| k.entry.status != Status::Up)
            .map(|k| UnavailableEngine {
                engine: k.name.clone(),
                status: wheelfield_endpoints::status_name(k.entry.status).to_string(),
            })
            .collect();
        for c in 0..self.gates.len() {
            // From the writing on: the judge is to be the stricter for it.
            self.log.push(HistoryEvent {
                at: self.now,
                event: "told".into(),
                controller: c.to_string(),
                unavailable_engines: not_up.clone(),
                ..HistoryEvent::default()
            });
            let at = self.now + SETTLES + self.chance.random_range(0..SETTLES);
            self.events.set(at, Event::Files(c, self.lives[c]));
        }
    }
}
