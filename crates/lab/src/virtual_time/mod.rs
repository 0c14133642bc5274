//! A day in one process and in virtual time: the controllers' drivers, the engines' models, and a network between them. No
//! sockets, no threads, no clock: the same day, seed and build give the same tries and log, byte for byte.
//!
//! What a message takes is a constant and a small chance part ([`HOP`]); a controller's own work takes no time. Else a
//! controller does here what it does on sockets: sessions are opened, kept, and broken by the death of their engine;
//! cancels are requests of their own; a stalled process finds all that came meanwhile when it goes on.

mod controller;
mod engine;
pub mod mind;

use crate::clients::{again, door, Door};
use crate::crowd::Try;
use crate::day::Day;
use crate::plan::{Act, Plan};
use controller::Controller;
use engine::{Ask, Engine};
use mind::{Mind, Plain, Policy};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use wheelfield::interface::{EngineId, Note, Outcome, Report, Settings, Status, Word};
use wheelfield_config::{Fault, Limits, Timing};
use wheelfield_driver::{AttemptId, Bounds, Driver, Input};
use wheelfield_engine::model::Model;
use wheelfield_engine::registry::{Line as Listed, Registry, Standing};
use wheelfield_engine::setup::Setup;
use wheelfield_members::tracker::from_registry;
use wheelfield_members::EngineSet;
use wheelfield_net::Timers;
use wheelfield_rules::{End, Life, Line};

/// What a message takes, in microseconds, before its chance part of at most as much.
pub const HOP: i64 = 60;
/// A day begins at this time of the virtual clock: 2020-01-01, in microseconds since 1970.
pub const START: i64 = 1_577_836_800_000_000;
/// A controller that is started listens after this.
const BOOT: i64 = 30_000;
/// The stage is set this long before the first query.
const LEAD: i64 = 500_000;
/// An answer that is late is still waited for so long, as the crowd on sockets does.
const WAITS_ON: i64 = 1_000_000;
/// A call that waits at the registry is answered after so long, changed or not.
const WATCH: i64 = 20_000_000;
/// A file that has changed is taken after so long: it must stand still, and is read on another thread.
const SETTLES: i64 = 25_000;

pub(crate) type LinkId = u64;

/// What reaches a controller.
#[derive(Clone, Debug)]
enum Msg {
    Query(usize),
    CancelOf(usize),
    ClientGone(usize),
    Ready(LinkId),
    Lost(LinkId, Outcome),
    ConnectLate(LinkId),
    Abandon(LinkId, AttemptId),
    ProbeLate(LinkId),
    Noted(AttemptId, Note),
    Ended(LinkId, AttemptId, Outcome, Option<f64>, Report),
    Half(LinkId, AttemptId),
    Load(LinkId, Report),
    List(EngineSet),
    ListUnavailable,
    AskRegistry,
    Due,
}

enum Event {
    /// An arrival is sent, as its try of this number.
    Send(usize, u32),
    Due(usize),
    Over(usize),
    Leave(usize),
    /// A final answer, a broken connection or a refused one reaches a client.
    Answered(usize, End, &'static str, Option<u64>),
    At(usize, u64, Msg),
    Told(usize, Vec<Word>),
    Asked(usize, u64, Ask),
    EngineDue(usize),
    SessionsBroke(usize, u64),
    Registry,
    WatchEnds(usize, u64, u64),
    Boot(usize),
    Act(usize),
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Played {
    /// All tries.
    pub tries: Vec<Try>,
    /// The engines' log, and who was told what.
    pub log: Vec<Line>,
    /// The lives of the controllers.
    pub lives: Vec<Life>,
    /// Events that were played.
    pub events: u64,
    /// Messages between controllers, each to each.
    pub messages: u64,
}

pub(crate) struct World<'a> {
    day: &'a Day,
    plan: &'a Plan,
    settings: Settings,
    timing: Timing,
    limits: Limits,
    setup: Setup,
    minds: &'a Minds<'a>,
    seed: u64,
    now: i64,
    events: Timers<Event>,
    engines: Vec<Engine>,
    by_id: BTreeMap<EngineId, usize>,
    controllers: Vec<Option<Controller>>,
    /// Processes that each controller has had.
    lives: Vec<u64>,
    lived: Vec<Life>,
    /// What reached a controller that stands still.
    stalled: Vec<Option<Vec<Msg>>>,
    doors: Vec<Door>,
    tries: Vec<Try>,
    log: Vec<Line>,
    registry: Registry,
    registry_down: i64,
    stale: i64,
    set: EngineSet,
    chance: Pcg64Mcg,
    clients: Pcg64Mcg,
    next_job: u64,
    next_link: LinkId,
    messages: u64,
}

/// Plays a day.
///
/// # Errors
/// The first [`Fault`] of its script.
pub fn play(day: &Day, plan: &Plan, seed: u64, policy: Policy) -> Result<Played, Fault> {
    let config = day.checked()?;
    let bounds = Bounds { queries: config.limits.queries, withdraw_wait: config.timing.withdraw };
    let minds = |settings: Settings, seed: u64| -> Box<dyn Mind> {
        match policy {
            Policy::Module => Box::new(Driver::new(settings, seed, bounds)),
            _ => Box::new(Plain::new(policy, settings, seed)),
        }
    };
    play_with(day, plan, seed, &minds)
}

/// Makes what decides in a process of a controller, of its settings and its seed.
pub type Minds<'a> = dyn Fn(Settings, u64) -> Box<dyn Mind> + 'a;

/// Plays a day with controllers that decide in a way of their own.
///
/// # Errors
/// The first [`Fault`] of its script.
pub fn play_with(day: &Day, plan: &Plan, seed: u64, minds: &Minds<'_>) -> Result<Played, Fault> {
    let mut world = World::new(day, plan, seed, minds)?;
    let longest = day.classes.iter().map(|c| c.deadline.0 .0).max().unwrap_or(0);
    let end = START + LEAD + day.length.0 .0 + 2 * longest + 5_000_000;
    let mut events = 0;
    while let Some(at) = world.events.next().filter(|at| *at <= end) {
        world.now = world.now.max(at);
        if let Some(event) = world.events.pop(at) {
            events += 1;
            world.happen(event);
        }
    }
    for t in world.tries.iter_mut().filter(|t| t.end.is_none()) {
        (t.end, t.ended) = (Some(End::NoAnswer), end);
    }
    let World { tries, log, lived, messages, .. } = world;
    Ok(Played { tries, log, lives: lived, events, messages })
}

/// When a day's first query may come.
pub fn start() -> i64 {
    START + LEAD
}

impl<'a> World<'a> {
    fn new(day: &'a Day, plan: &'a Plan, seed: u64, minds: &'a Minds<'a>) -> Result<World<'a>, Fault> {
        let config = day.checked()?;
        let setup = Setup::parse("generated", &day.stand_ins(&config.settings, &plan.engines))?;
        let engines: Vec<Engine> = setup
            .engines
            .iter()
            .map(|h| {
                let model = Model::new(h.spec.clone(), START);
                Engine::new(h.name.clone(), h.zone.clone(), h.kind.clone(), h.cell, model)
            })
            .collect();
        let line = |(i, h): (usize, &wheelfield_engine::setup::Hosted)| Listed {
            id: h.name.clone(),
            address: format!("127.{}.{}.1:5432", 1 + i / 250, 1 + i % 250),
            zone: h.zone.clone(),
            kind: h.kind.clone(),
            cell: h.cell,
            status: Standing::Up,
            started_us: None,
        };
        let registry = Registry::new(setup.engines.iter().enumerate().map(line));
        let set = from_registry(registry.list().as_bytes(), &config.names, 0)
            .map_err(|e| Fault::at("generated", "", 0, e.to_string(), "mend the fleet"))?;
        let by_id =
            engines.iter().enumerate().map(|(i, e)| (wheelfield_config::engine_id(&e.name), i)).collect();
        let n = day.controllers;
        let mut world = World {
            day,
            plan,
            settings: config.settings,
            timing: config.timing,
            limits: config.limits,
            setup,
            minds,
            seed,
            now: START,
            events: Timers::default(),
            engines,
            by_id,
            controllers: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            lived: Vec::new(),
            stalled: (0..n).map(|_| None).collect(),
            doors: vec![Door::default(); n],
            tries: Vec::new(),
            log: Vec::new(),
            registry,
            registry_down: 0,
            stale: 0,
            set,
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0x656e_6769_6e65),
            clients: Pcg64Mcg::seed_from_u64(seed),
            next_job: 0,
            next_link: 0,
            messages: 0,
        };
        (0..n).for_each(|c| world.boot(c));
        for (i, (at, _)) in plan.acts.iter().enumerate() {
            world.events.set(start() + at, Event::Act(i));
        }
        if let Some(first) = plan.arrivals.first() {
            world.events.set(start() + first.at, Event::Send(0, 0));
        }
        Ok(world)
    }

    fn jitter(&mut self) -> i64 {
        self.chance.random_range(0..=HOP)
    }

    fn polls(&self) -> bool {
        self.day.registry.mode == "poll"
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Send(a, number) => {
                if number == 0 {
                    if let Some(next) = self.plan.arrivals.get(a + 1) {
                        self.events.set(start() + next.at, Event::Send(a + 1, 0));
                    }
                }
                self.send(a, number);
            }
            Event::Due(t) => {
                if self.tries[t].end.is_none() {
                    self.events.set(self.now + WAITS_ON, Event::Over(t));
                }
            }
            Event::Over(t) => self.leave(t, End::NoAnswer),
            Event::Leave(t) => {
                let leaves = self.plan.arrivals[self.tries[t].arrival].leaves;
                if self.tries[t].end.is_none() && leaves.is_some_and(|(_, cancels)| cancels) {
                    // On a connection of its own.
                    self.reach(self.tries[t].controller, 3 * HOP, Msg::CancelOf(t));
                } else {
                    self.leave(t, End::Left);
                }
            }
            Event::Answered(t, end, state, advice) => {
                let tried = &mut self.tries[t];
                if tried.end.is_none() {
                    tried.state = state.to_string();
                    tried.advice_ms = advice;
                    let answers = matches!(end, End::Served | End::Refused | End::Failed);
                    tried.answers += u32::from(answers);
                    self.over(t, end);
                } else if matches!(end, End::Served | End::Refused | End::Failed) {
                    // A second answer to one that had its own; a client that left hears nothing.
                    let answered = matches!(tried.end, Some(End::Served | End::Refused | End::Failed));
                    tried.answers += u32::from(answered);
                }
            }
            Event::At(c, life, msg) => {
                if self.lives[c] != life || self.controllers[c].is_none() {
                    return;
                }
                match &mut self.stalled[c] {
                    Some(waiting) => waiting.push(msg),
                    None => self.reached(c, msg),
                }
            }
            Event::Told(from, words) => {
                for c in 0..self.controllers.len() {
                    // What comes to one that stands still is lost with its socket's buffer; the next word is newer.
                    if c != from && self.stalled[c].is_none() && self.controllers[c].is_some() {
                        self.tell(c, Input::Told(words.clone()));
                    }
                }
            }
            Event::Asked(e, life, ask) => self.asked(e, life, ask),
            Event::EngineDue(e) => self.engine_due(e),
            Event::SessionsBroke(e, life) => {
                for c in 0..self.controllers.len() {
                    if self.stalled[c].is_none() {
                        self.sessions_broke(c, e, life);
                    }
                }
            }
            Event::Registry => {
                if self.registry.advance(self.now) {
                    self.list_changed();
                }
                self.wake_registry();
            }
            Event::WatchEnds(c, life, since) => {
                let waits = self.controllers[c].as_ref().is_some_and(|k| k.watches == Some(since));
                if waits && self.lives[c] == life {
                    self.tell_list(c);
                }
            }
            Event::Boot(c) => self.boot(c),
            Event::Act(i) => self.act(i),
        }
    }

    // --- clients ---

    fn reach(&mut self, c: usize, after: i64, msg: Msg) {
        let at = self.now + after + self.jitter();
        self.events.set(at, Event::At(c, self.lives[c], msg));
    }

    fn tell_client(&mut self, t: usize, end: End, state: &'static str, advice: Option<u64>) {
        let at = self.now + HOP + self.jitter();
        self.events.set(at, Event::Answered(t, end, state, advice));
    }

    fn send(&mut self, a: usize, number: u32) {
        let plan = self.plan;
        let arrival = &plan.arrivals[a];
        let c = door(&self.doors, &self.day.habits, arrival, number, self.now);
        let t = self.tries.len();
        let due = self.now + arrival.patience;
        self.tries.push(Try::new(a, number, c, self.now, due));
        self.events.set(due, Event::Due(t));
        if let Some((after, _)) = arrival.leaves.filter(|_| number == 0) {
            self.events.set(self.now + after, Event::Leave(t));
        }
        if self.controllers[c].is_none() {
            let at = self.now + 2 * HOP;
            self.events.set(at, Event::Answered(t, End::Unreachable, "", None));
        } else {
            self.reach(c, HOP, Msg::Query(t));
        }
    }

    /// A client leaves without waiting any longer.
    fn leave(&mut self, t: usize, end: End) {
        if self.tries[t].end.is_none() {
            self.reach(self.tries[t].controller, HOP, Msg::ClientGone(t));
            self.over(t, end);
        }
    }

    fn over(&mut self, t: usize, end: End) {
        let plan = self.plan;
        let tried = &mut self.tries[t];
        (tried.end, tried.ended) = (Some(end), self.now);
        let a = &plan.arrivals[tried.arrival];
        let class = &self.day.classes[a.class];
        let left = start() + a.at + class.deadline.0 .0 - self.now;
        let wait = again(class, &self.day.habits, a, &self.tries[t], end, left, &mut self.clients);
        if let Some(wait) = wait {
            let (arrival, number) = (self.tries[t].arrival, self.tries[t].number);
            self.events.set(self.now + wait, Event::Send(arrival, number + 1));
        }
    }

    // --- processes ---

    fn boot(&mut self, c: usize) {
        if self.controllers[c].is_some() {
            return;
        }
        let life = self.lives[c];
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(c as u64 * 1_009 + life);
        let mut settings = self.settings.clone();
        settings.index = c as f64;
        settings.zone = c.checked_rem(self.day.fleet.zones.len());
        let mind = (self.minds)(settings, seed);
        self.controllers[c] = Some(Controller::new(mind, self.engines.len()));
        self.doors[c] = Door { known: true, ..Door::default() };
        self.lived.push(Life {
            controller: c,
            from: self.now,
            killed: None,
            stalls: Vec::new(),
            entered: false,
        });
        self.tell(c, Input::Started);
        if self.day.registry.files {
            let set = self.set.clone();
            self.reach(c, HOP, Msg::List(set));
        } else if !self.settings.subscribe {
            self.ask_registry(c);
        }
    }

    fn kill(&mut self, c: usize) {
        let Some(ctl) = self.controllers[c].take() else { return };
        let life = self.lives[c];
        self.lives[c] += 1;
        self.stalled[c] = None;
        (self.doors[c].down, self.doors[c].since) = (true, self.now);
        if let Some(life) = self.lived.iter_mut().rev().find(|l| l.controller == c) {
            life.killed = Some(self.now);
        }
        for (link, e, engine_life) in ctl.sessions() {
            let ask = Ask::Close(engine::Peer { controller: c, life, link });
            let at = self.now + HOP + self.jitter();
            self.events.set(at, Event::Asked(e, engine_life, ask));
        }
        // Those that it held, and those on their way to it.
        let open: Vec<usize> = (0..self.tries.len())
            .rev()
            .take_while(|t| self.now - self.tries[*t].sent < 600_000_000)
            .filter(|t| self.tries[*t].controller == c && self.tries[*t].end.is_none())
            .collect();
        for t in open {
            let at = self.now + HOP + self.jitter();
            self.events.set(at, Event::Answered(t, End::Broke, "", None));
        }
    }

    fn act(&mut self, i: usize) {
        let plan = self.plan;
        match &plan.acts[i].1 {
            Act::Fault { engine, kind, value } => {
                self.ail(*engine, kind, *value);
                if self.day.registry.files {
                    match *kind {
                        "drain" if *value > 0.0 => self.put_file(*engine, Status::Draining, None),
                        "drain" => self.put_file(*engine, Status::Up, None),
                        "start" => self.put_file(*engine, Status::Up, Some(self.now)),
                        _ => {}
                    }
                }
            }
            Act::RegistryDown(ms) => {
                self.registry_down = self.now + ms * 1000;
                self.registry.unavailable(self.registry_down);
            }
            Act::RegistryStale(ms) => self.stale = ms * 1000,
            Act::KillController(c) => self.kill(*c),
            Act::StartController(c) => {
                self.events.set(self.now + BOOT, Event::Boot(*c));
            }
            Act::StallController(c) => {
                if self.controllers[*c].is_some() && self.stalled[*c].is_none() {
                    self.stalled[*c] = Some(Vec::new());
                    if let Some(life) = self.lived.iter_mut().rev().find(|l| l.controller == *c) {
                        life.stalls.push((self.now, i64::MAX));
                    }
                }
            }
            Act::ResumeController(c) => {
                let Some(waiting) = self.stalled[*c].take() else { return };
                if let Some(last) =
                    self.lived.iter_mut().rev().find(|l| l.controller == *c).and_then(|l| l.stalls.last_mut())
                {
                    last.1 = self.now;
                }
                for msg in waiting {
                    self.reached(*c, msg);
                }
                // Engines that died meanwhile.
                for e in 0..self.engines.len() {
                    self.sessions_broke(*c, e, self.engines[e].life);
                }
            }
        }
    }

    // --- who takes work ---

    fn wake_registry(&mut self) {
        if let Some(at) = self.registry.next() {
            self.events.set(at.max(self.now + 1), Event::Registry);
        }
    }

    fn note_told(&mut self, c: usize) {
        let not_up = self.registry.not_up().into_iter().map(|(engine, status)| wheelfield_rules::NotUp {
            engine: engine.to_string(),
            status: if status == Standing::Draining { "draining".into() } else { "removed".into() },
        });
        let not_up = not_up.collect();
        self.log.push(Line {
            t: self.now,
            event: "told".into(),
            who: c.to_string(),
            not_up,
            ..Line::default()
        });
    }

    fn list_changed(&mut self) {
        if let Ok(set) = from_registry(self.registry.list().as_bytes(), &self.names(), 0) {
            self.set = if self.day.registry.files { self.set.clone() } else { set };
        }
        if self.day.registry.files || !self.registry.available(self.now) {
            return;
        }
        let version = self.registry.version();
        for c in 0..self.controllers.len() {
            if self.controllers[c].as_ref().is_some_and(|k| k.watches.is_some_and(|since| since < version)) {
                self.tell_list(c);
            }
        }
    }

    fn names(&self) -> wheelfield_config::Names {
        wheelfield_config::Names {
            zones: self.day.fleet.zones.clone(),
            kinds: self.day.fleet.kinds.iter().map(|k| k.name.clone()).collect(),
            ..wheelfield_config::Names::default()
        }
    }

    /// The registry answers a controller's call.
    fn tell_list(&mut self, c: usize) {
        if let Some(ctl) = self.controllers[c].as_mut() {
            ctl.watches = None;
        }
        if !self.registry.available(self.now) {
            return self.reach(c, HOP, Msg::ListUnavailable);
        }
        self.note_told(c);
        let mut set = self.set.clone();
        set.version = self.registry.version();
        self.reach(c, HOP, Msg::List(set));
    }

    fn ask_registry_in(&mut self, c: usize, after: i64) {
        let at = self.now + after;
        self.events.set(at, Event::At(c, self.lives[c], Msg::AskRegistry));
    }

    /// A controller's call comes to the registry.
    fn ask_registry(&mut self, c: usize) {
        let (now, polls, version, life) = (self.now, self.polls(), self.registry.version(), self.lives[c]);
        let Some(ctl) = self.controllers[c].as_mut() else { return };
        if ctl.watches.is_some() {
            return;
        }
        let since = ctl.engines.version();
        if polls || since < version || !self.registry.available(now) {
            return self.tell_list(c);
        }
        ctl.watches = Some(since);
        self.events.set(now + WATCH, Event::WatchEnds(c, life, since));
    }

    /// The file of engines is written anew.
    fn put_file(&mut self, e: usize, status: Status, started: Option<i64>) {
        let id = wheelfield_config::engine_id(&self.engines[e].name);
        if let Some(k) = self.set.engines.get_mut(&id) {
            k.entry.status = status;
            k.entry.started = started.map(wheelfield::interface::Micros).or(k.entry.started);
        }
        self.set.version += 1;
        let not_up: Vec<wheelfield_rules::NotUp> = self
            .set
            .engines
            .values()
            .filter(|k| k.entry.status != Status::Up)
            .map(|k| wheelfield_rules::NotUp {
                engine: k.name.clone(),
                status: wheelfield_members::word(k.entry.status).to_string(),
            })
            .collect();
        for c in 0..self.controllers.len() {
            // From the writing on: the judge is to be the stricter for it.
            self.log.push(Line {
                t: self.now,
                event: "told".into(),
                who: c.to_string(),
                not_up: not_up.clone(),
                ..Line::default()
            });
            let set = self.set.clone();
            let after = SETTLES + self.chance.random_range(0..SETTLES);
            self.reach(c, after, Msg::List(set));
        }
    }
}
