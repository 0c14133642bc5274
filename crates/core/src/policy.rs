//! All decisions of wheelfield. The types, events and actions stand in `src/interface.rs`.
//! The ordinary path is FZ-D: for each engine a fuzzy controller moves a bound on our outstanding estimated
//! work; a query that fits under the bound of some engine is drawn to one, the rest is refused.

use crate::interface::*;
use crate::state::{ActiveQuery, Attempt, ClassView, Engine, FleetConditions, KeyQueue, Ledger};
use std::collections::BTreeMap;

/// The sampling period of the controller.
const PERIOD: Micros = Micros(1_000_000);
/// Health is looked at so many times a period.
const SWEEPS_PER_PERIOD: u32 = 4;
const SWEEP_EVERY: Micros = Micros(PERIOD.0 / SWEEPS_PER_PERIOD as i64);
/// Tokens of the timers of sweeps and of the end of a round of probes; larger ones belong to queries held.
const SWEEP: u64 = 0;
const ROUND: u64 = 1;
/// Rounds of probes a period, by all gateways together, and what they may cost at most, in points of service.
const ROUNDS: f64 = 4.0;
const ROUNDS_COST: f64 = 0.01;
/// A round of probes is told to the others after this.
const ROUND_TIME: Micros = Micros(PERIOD.0 / 40);
/// What a word on an engine takes in a message, in kilobytes.
const WORD: f64 = 5.0 / 1024.0;
/// The highest priority, and the ratio of worth densities between neighbouring ones.
const MOST_PRIORITY: f64 = 3.0;
const PRIORITY_STEP: f64 = 4.0;
/// How old shared news of an engine are, in periods, by the time that others have acted on them.
const NEWS_LAG: f64 = 0.5;
/// The lean of the draw to engines that have read a query's tables lately.
const WARM_LEAN: f64 = 3.0;
/// Of the time after which engines close a connection that rests, so much is relied on: we close ours before.
const RESTS: f64 = 0.5;
/// An engine has room up to this many threads a core.
const ROOM: f64 = 1.25;
/// Spreads the turns of gateways at an engine over their numbers.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// With more gateways than this a cold engine is shared by turns, not evenly.
const MANY: f64 = 8.0;
/// Of many gateways so many at a time try an engine that was set aside.
const TRIERS: f64 = 4.0;
/// First and longest rest of a full engine, in sixteenths of a period; then for a share below one query.
const FULL_RESTS: [(i64, i64); 2] = [(1, 16), (16, 64)];
/// Of the sum of many small bounds so much is used, as the fullest engine jams; more if queries can wait.
const POOLED: [f64; 2] = [0.15, 0.3];
/// Of all draws, engines not under pressure take so many times the square of their part of the capacity: all
/// while few are under pressure, hardly any when most are.
const CALM: f64 = 1.5;
/// A report counts in full for so many periods; below one query a share, if better or worse than the mean:
/// an idle engine is soon found by others, a jam outlasts its report.
const FRESH: f64 = 2.0;
const FRESH_GOOD: f64 = 0.5;
const FRESH_BAD: f64 = 5.0;
/// Each send since a report is reckoned with at most so many times.
const MOST_HERD: f64 = 2.5;
/// Levels of the nine fuzzy sets run from -TOP to TOP (NVL to PVL).
const TOP: i32 = 4;
/// The input sets span this share of an aim to either side.
const INPUT_SPAN: f64 = 0.5;
/// The bound starts at this gateway's share of so many threads a core times the longest class's aim.
const START_THREADS: f64 = 2.0;
/// The ceiling of the bound (max-data in the paper), in starts.
const CEILING: f64 = 4.0;
/// The largest output centre, in ceilings.
const LARGEST_STEP: f64 = 0.125;
/// A time-out scores so many aims.
const TIMEOUT_SCORE: f64 = 2.0;
/// An engine whose report comes to this load is busy.
const BUSY: f64 = 1.0;
/// Where utilisation is not told, so many threads a core are busy: a part of each waits for the disks.
const BUSY_THREADS: f64 = 2.5;
/// So much of the disks or the memory is pressure; less where a share is below one query, as news come late.
const NEARLY_FULL: f64 = 0.95;
const NEARLY_FULL_SCARCE: f64 = 0.8;
/// An engine this much slower than its best is under pressure.
const FAR_ABOVE_BEST: f64 = 3.0;
/// The load that a run at the pace of its estimate stands for, where engines report nothing.
const LOAD_OF_PACE: f64 = 0.4;
/// Of a run time told by progress, so much is relied on: early progress is rough.
const SURELY: f64 = 0.6;
/// An attempt that by its own pace takes this many times its estimate has a bad plan.
const BAD_PLAN: f64 = 7.0;
/// What an engine grants by itself, over the estimated need.
const USUAL_GRANT: f64 = 1.25;
/// Where engines page, memory granted and so many times a query's own stay below this: small ones go last.
const MEMORY_LIMIT: f64 = 1.25;
const MEMORY_ASIDE: f64 = 2.0;
/// Weight of the newest sample in running means of health and pace.
const NEWEST: f64 = 0.15;
/// A restart breaks all that is out within this time.
const AT_ONCE: Micros = Micros(PERIOD.0 / 20);
/// Share of failures at which an engine is set aside.
const FAILING: f64 = 0.3;
/// With so many more errors of late that no other engine cured than were cured, errors are queries' own.
const ERRORS_UNCURED: f64 = 2.0;
/// The longest an engine is set aside at once, in periods.
const LONGEST_ASIDE: u32 = 8;

/// The level of the output for the levels of the error and of its change: Table 2 in closed form.
pub fn rule(error: i32, change: i32) -> i32 {
    match error + change {
        sum if sum >= 5 => TOP,
        sum if sum <= -6 => -TOP,
        sum => sum.clamp(-3, 3),
    }
}

/// Membership of `x`, in steps between the centres of neighbouring sets, in the set of a level.
fn membership(x: f64, level: i32) -> f64 {
    (1.0 - (x.clamp(-f64::from(TOP), f64::from(TOP)) - f64::from(level)).abs()).max(0.0)
}

/// The output in levels for an error and its change in aims: minimum strength, centre of gravity.
pub fn fuzzy_output(error: f64, change: f64) -> f64 {
    let step = INPUT_SPAN / f64::from(TOP);
    let (mut weighted, mut total) = (0.0, 0.0);
    for i in -TOP..=TOP {
        for j in -TOP..=TOP {
            let strength = membership(error / step, i).min(membership(change / step, j));
            weighted += strength * f64::from(rule(i, j));
            total += strength;
        }
    }
    weighted / total
}

/// The decisions of one gateway.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Gateway {
    settings: Settings,
    #[serde(with = "crate::state::chance")]
    random: fastrand::Rng,
    engines: BTreeMap<EngineId, Engine>,
    queries: BTreeMap<QueryId, ActiveQuery>,
    classes: Vec<ClassView>,
    keys: BTreeMap<String, KeyQueue>,
    ledger: Ledger,
}

impl Gateway {
    /// A gateway with nothing known but its settings. `seed` feeds its only source of chance.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.gateway_count = settings.gateway_count.max(1.0);
        let view = |c: &Class| {
            let mean = (c.latency_objective.as_secs_f64() / 2.0 * c.threads).max(1e-3);
            ClassView { work: 4.0 * mean, hints: 4.0 * mean, count: 4.0, cured: 0, uncured: 0 }
        };
        Gateway {
            random: fastrand::Rng::with_seed(seed),
            engines: BTreeMap::new(),
            queries: BTreeMap::new(),
            classes: settings.classes.iter().map(view).collect(),
            keys: BTreeMap::new(),
            ledger: Ledger { share: 1.0 / settings.gateway_count, ..Ledger::default() },
            settings,
        }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Started => {
                out.push(Action::SetTimer { token: SWEEP, after: SWEEP_EVERY });
                if self.settings.subscribe {
                    out.push(Action::Subscribe);
                }
            }
            Event::EngineList(entries) => {
                let listed = |e: &&mut Engine| entries.iter().any(|x| x.engine == e.entry.engine);
                for engine in self.engines.values_mut().filter(|e| !listed(e)) {
                    engine.entry.status = Status::Removed;
                }
                self.update_list(now, entries);
            }
            Event::EngineChanges(entries) => self.update_list(now, entries),
            Event::ListUnavailable => {
                self.ledger.list_failures += 1;
                let periods = 1 << self.ledger.list_failures.min(4);
                self.ledger.subscribe_at = Some(self.ledger.sweeps + periods * SWEEPS_PER_PERIOD / 2);
            }
            Event::Arrived(query) => self.arrived(now, query, out),
            Event::AnswerStarted(id) => {
                self.queries.entry(id).and_modify(|live| live.over = true);
            }
            Event::AttemptUpdated { query, attempt, update: note } => self.noted(now, query, attempt, note),
            Event::AttemptEnded(ending) => self.ended(now, ending, out),
            Event::Abandoned(id) => {
                self.queries.entry(id).and_modify(|live| live.over = true);
                self.withdraw(now, id, out);
            }
            Event::ShutdownDeadline(id) => self.give_up(now, id, out),
            Event::ProbeEnded { engine, outcome, report } => {
                if let Some(e) = self.engines.get_mut(&engine).filter(|_| outcome == Outcome::Served) {
                    self.ledger.take_report(now, report, e, NEWEST);
                }
            }
            Event::PeerReports(words) => self.told(now, words),
            Event::GatewayCountChanged { count, index } => {
                (self.settings.gateway_count, self.settings.gateway_index) = (count.max(1.0), index);
            }
            Event::TimerFired(SWEEP) => self.sweep(now, out),
            Event::TimerFired(ROUND) => self.tell_round(now, out),
            Event::TimerFired(token) => {
                let id = self.ledger.timers.remove(&token);
                let held = |l: &ActiveQuery| !l.over && l.attempts.is_empty();
                if let Some(id) = id.filter(|id| self.queries.get(id).is_some_and(held)) {
                    self.place(now, id, out);
                }
            }
        }
    }

    // --- engine view ---

    fn update_list(&mut self, now: Micros, entries: Vec<EngineEntry>) {
        let aim = self.settings.classes.iter().map(|c| c.latency_objective.as_secs_f64()).fold(0.0, f64::max);
        let known_before = std::mem::replace(&mut self.ledger.listed, true);
        self.ledger.list_failures = 0;
        for entry in entries {
            let cores = self.settings.cores.get(entry.kind).copied().unwrap_or(1.0).max(1.0);
            let memory = self.settings.memory_mb.get(entry.kind).copied().unwrap_or(0.0);
            let start = START_THREADS * cores * aim / self.settings.gateway_count;
            let new = !self.engines.contains_key(&entry.engine);
            let engine = self
                .engines
                .entry(entry.engine)
                .or_insert_with(|| Engine::new(entry.clone(), cores, memory, start));
            let back = engine.entry.status != Status::Up && entry.status == Status::Up;
            let restarted = entry.started_at.is_some() && entry.started_at != engine.entry.started_at;
            // Guards against a stale list: an engine that comes up without a start time has just started.
            if restarted || (new && known_before) || back {
                let since = entry.started_at.unwrap_or(now);
                engine.starts_anew(engine.cold_since.max(Some(since)), now);
            } else if new {
                engine.cold_since = entry.started_at;
            }
            if entry.kind != engine.entry.kind {
                // Grown or shrunk in place: what was found out of it holds for each core.
                engine.bound *= cores / engine.cores;
                (engine.cores, engine.memory_mb, engine.start) = (cores, memory, start);
            }
            engine.entry = entry;
        }
    }

    /// Share of its capacity that an engine surely has.
    fn warmth(&self, engine: &Engine, now: Micros) -> f64 {
        let age = engine.cold_since.map(|since| {
            (now - since).as_secs_f64() / self.settings.slow_start_duration.as_secs_f64().max(1e-3)
        });
        let from = self.settings.slow_start_initial_fraction.clamp(0.0, 1.0);
        age.filter(|age| *age < 1.0).map_or(1.0, |age| from + (1.0 - from) * 0.5 * age.max(0.0))
    }

    /// Threads a core: as reported, drawn toward the mean of all engines as the report ages, plus sent since.
    fn load(&self, engine: &Engine, now: Micros) -> f64 {
        let threads = self.aged(engine, now, self.ledger.mean_load, |r| r.load(engine));
        // Guards against taking a jammed engine for idle: its cores idle while what it holds lacks memory.
        let told = if self.ledger.around.scarce { threads.max(self.memory(engine, now)) } else { threads };
        (told + self.herd() * engine.threads_since / engine.cores).max(engine.threads_out / engine.cores)
    }

    /// A figure of an engine's report, which counts in full for some periods and ever less from then on; the
    /// rest is the mean over all engines. Guards against a gateway that hears of an engine too seldom taking
    /// it for idle or, by its own one query, for full. It may hurt where the engines differ much.
    fn aged(
        &self,
        engine: &Engine,
        now: Micros,
        mean: f64,
        figure: impl Fn(&LoadReport) -> Option<f64>,
    ) -> f64 {
        let trust =
            |at: Option<Micros>, fresh: f64| at.map_or(0.0, |at| fresh / (now - at).as_secs_f64().max(fresh));
        // The mean fades too, when nothing of ours is out: a gateway that admits nothing hears nothing.
        let mean = mean * trust(self.ledger.told, FRESH * PERIOD.as_secs_f64());
        figure(&engine.report).map_or(mean, |told| {
            let known = if told < mean { FRESH_GOOD } else { FRESH_BAD };
            let fresh = if self.ledger.around.scarce { known } else { FRESH };
            mean + trust(engine.reported, fresh * PERIOD.as_secs_f64()) * (told - mean)
        })
    }

    /// How many of each send since a report to reckon with. Guards against the herd on a late report: the
    /// root of 1 / our part of the work is between no and all others alike. It may hurt till that is learned.
    fn herd(&self) -> f64 {
        (1.0 / self.ledger.share.max(1.0 / self.settings.gateway_count)).sqrt().min(MOST_HERD)
    }

    /// Share of an engine's memory that a query will take: its hint, else what the queries there take each.
    fn memory_share(&self, live: &ActiveQuery, engine: &Engine) -> f64 {
        let threads = self.settings.classes[live.query.class].threads;
        match (live.query.memory_hint, engine.report.memory_granted, engine.report.in_flight) {
            (Some(mb), _, _) if engine.memory_mb > 0.0 => mb * USUAL_GRANT / engine.memory_mb,
            (_, Some(m), Some(n)) if n >= 1.0 => m / n * threads / engine.mean_threads(),
            _ => 0.0,
        }
    }

    fn memory(&self, engine: &Engine, now: Micros) -> f64 {
        self.aged(engine, now, self.ledger.mean_memory, |r| r.memory_granted)
    }

    /// The mean share of failures over all other engines that take work.
    fn common_failing(&self, but: EngineId) -> f64 {
        let others = self.engines.values().map(|e| (&e.entry, e.failing));
        let up = others.filter(|(entry, _)| entry.status == Status::Up && entry.engine != but);
        let (sum, count) = up.fold((0.0, 0.0), |(sum, n), (_, failing)| (sum + failing, n + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// The load from which an engine is busy.
    fn busy(&self) -> f64 {
        [BUSY, BUSY_THREADS][usize::from(self.settings.load_reports && !self.settings.reports_utilisation)]
    }

    /// Whether the bound binds: latency far above its best, a busy report, or a full refusal. Of the few runs
    /// that a share below one query brings, best and mean are chance: where engines report, reports tell.
    fn pressed(&self, engine: &Engine, now: Micros) -> bool {
        let report = engine.fresh_report(now);
        let over = |x: Option<f64>, limit: f64| x.is_some_and(|x| x >= limit);
        let memory = if self.ledger.around.scarce { NEARLY_FULL_SCARCE } else { NEARLY_FULL };
        let slow = engine.pace > FAR_ABOVE_BEST * engine.best_pace;
        (slow && !(self.ledger.around.scarce && self.settings.load_reports))
            || self.load(engine, now) >= self.busy()
            || over(report.queued, 1.0)
            || over(report.disk_utilisation, NEARLY_FULL)
            || self.memory(engine, now) >= memory
            || now - engine.full_until < PERIOD
    }

    // --- estimates ---

    fn mean_work(&self, class: usize) -> f64 {
        self.classes[class].work / self.classes[class].count
    }

    /// Learns from a served query: the billed work, else its run time on an engine that was not pressed.
    fn learn(&mut self, class: usize, hint: Option<f64>, work: f64) {
        const KEEP: f64 = 0.99;
        let view = &mut self.classes[class];
        view.work = view.work * KEEP + work;
        view.hints = view.hints * KEEP + hint.unwrap_or(work);
        view.count = view.count * KEEP + 1.0;
    }

    // --- arrival and choice ---

    fn arrived(&mut self, now: Micros, query: Query, out: &mut Vec<Action>) {
        let id = query.id;
        self.ledger.taken.push_back(now);
        self.ledger.arrivals += 1.0;
        if query.class >= self.settings.classes.len() {
            out.push(Action::Fail { query: id });
            return;
        }
        let class = &self.settings.classes[query.class];
        let view = &self.classes[query.class];
        let work = query.work_hint.map_or(self.mean_work(query.class), |hint| hint * view.work / view.hints);
        if let Some(key) = query.key.clone().filter(|_| class.ordered_by_key) {
            self.keys.entry(key).or_default().waiting.push_back(id);
        }
        self.queries.insert(id, ActiveQuery { query, work, attempts: Vec::new(), over: false });
        self.place(now, id, out);
    }

    /// Sends a query to an engine drawn among those it fits, or answers it at once.
    fn place(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        let held = self.queries.get(&id).filter(|l| now < l.query.deadline);
        if let Some(at) = held.and_then(|l| self.turn_comes(now, l)) {
            let token = self.ledger.await_turn(id, ROUND);
            return out.push(Action::SetTimer { token, after: (at - now).max(Micros(0)) });
        }
        match self.choose(now, id) {
            Some(engine) if self.send(now, id, engine, out) => {}
            _ => self.give_up(now, id, out),
        }
    }

    fn choose(&mut self, now: Micros, id: QueryId) -> Option<EngineId> {
        self.ledger.drawn += 1.0;
        self.look_around(now);
        let live = self.queries.get(&id)?;
        let (mut trusted, mut rest, mut anyone_trusted) = (Vec::new(), Vec::new(), false);
        for engine in self.engines.values() {
            if engine.full_until > now || !self.may_send(now, live, engine) {
                continue;
            }
            // Guards against many gateways all trying an engine that fails: of these each waits its turn.
            let waits = self.ledger.around.scarce && !self.my_turn(engine, now, TRIERS);
            let trial = engine.on_trial && (waits || now - engine.last_sent < PERIOD);
            let aside = engine.aside_until > now || trial;
            anyone_trusted |= !aside;
            // With every engine set aside, each still gets one query at a time: another is no cure.
            if if aside { engine.out.is_empty() } else { self.fits(now, live, engine) } {
                let list = if aside { &mut rest } else { &mut trusted };
                list.push((engine.entry.engine, self.weight(now, live, engine)));
            }
        }
        let weights = if anyone_trusted { trusted } else { rest };
        let total: f64 = weights.iter().map(|(_, w)| w).sum();
        let mut mark = self.random.f64() * total;
        let drawn = weights.iter().find(|(_, weight)| {
            mark -= weight;
            mark < 0.0
        });
        drawn.or(weights.last()).map(|(engine, _)| *engine)
    }

    /// What a query is weighed by beyond its engine: the draw, the slack of all bounds, the room everywhere.
    fn look_around(&mut self, now: Micros) {
        let up = || self.engines.values().filter(|e| e.entry.status == Status::Up);
        let heaviest = self.classes.iter().map(|v| v.work / v.count).fold(0.0, f64::max);
        let scarce = up().any(|e| e.start < heaviest);
        let pooled = POOLED[usize::from(self.settings.queues_on_memory_shortage)];
        let slack = up().map(|e| pooled * e.bound - e.backlog).sum();
        // What comes meanwhile: what the engines can end or, in a storm of retries, our draws everywhere.
        let ends = self.ledger.turnover * up().map(|e| e.cores).sum::<f64>();
        let comes = ends.max(self.ledger.rate * self.settings.gateway_count * self.ledger.stay);
        let shared = self.settings.peer_messages && self.settings.reports_by_probe && scarce && comes > 0.0;
        let room = || up().map(|e| e.cores * self.room(e, now)).sum::<f64>();
        let calm = match (shared, scarce) {
            (true, _) => room() / comes,
            (_, true) if !self.settings.queues_on_memory_shortage => {
                let able = |e: &&Engine| e.full_until <= now && !self.pressed(e, now);
                let cores = |sum: f64, e: &Engine| sum + e.cores * self.warmth(e, now);
                let part = up().filter(able).fold(0.0, cores) / up().fold(0.0, cores).max(1e-6);
                CALM * part * part
            }
            _ => 1.0,
        };
        self.ledger.around =
            FleetConditions { scarce, shared, heaviest, slack, calm, draw: self.random.f64() };
    }

    /// d(t) + n <= d_t(k), asked only under pressure, and never of the only query we have there.
    fn fits(&self, now: Micros, live: &ActiveQuery, engine: &Engine) -> bool {
        // Guards against each gateway putting a query on each engine: the bounds are one and admit by draw.
        let around = &self.ledger.around;
        // Where a short engine pages, one query too many slows all that run there, and the bound on work is
        // blind to memory. It may hurt where memory is granted but not used.
        let wanted = self.herd() * engine.memory_since + MEMORY_ASIDE * self.memory_share(live, engine);
        let full = self.memory(engine, now) + wanted > MEMORY_LIMIT;
        let alone = engine.out.is_empty() && !around.scarce;
        if self.settings.pages_on_memory_shortage && full && !alone {
            return false;
        }
        let calm = !self.pressed(engine, now) && around.draw < around.calm;
        let pooled = around.scarce && around.draw * live.work <= around.slack;
        calm || pooled || alone || (!around.scarce && engine.backlog + live.work <= engine.bound)
    }

    /// Threads a core that an engine has room for while news are acted on: what is free, and what ends then.
    /// Guards against the herd where many gateways share the news: they draw by the room, and where
    /// all of it is less than what comes, the rest of the draws must fit the bound.
    fn room(&self, engine: &Engine, now: Micros) -> f64 {
        let load = self.load(engine, now);
        (ROOM - load + load.min(1.0) * self.ledger.turnover).max(0.0)
    }

    /// The weight in the draw: capacity over load, leaning to the own zone and to warm tables.
    fn weight(&self, now: Micros, live: &ActiveQuery, engine: &Engine) -> f64 {
        let warmth = self.warmth(engine, now);
        let capacity = engine.cores * warmth;
        let load = self.load(engine, now) / warmth;
        let shared = self.ledger.around.shared;
        let drawn = if shared { self.room(engine, now) } else { (0.1 + load).powi(-3) };
        let mut weight = capacity * drawn / (engine.pace / engine.best_pace).max(0.5);
        weight *= (1.0 - engine.failing).powi(4);
        let cold = self.cold_budget(now, engine);
        weight *= cold.map_or(1.0, |(_, draws_for)| draws_for);
        if self.settings.zone.is_some_and(|z| z != engine.entry.zone) {
            weight /= 1.0 + 100.0 * self.settings.cross_zone_price;
        }
        // Guards against a handshake for each query where many gateways see little traffic each: all pay for
        // it, and engines busy with it are late. Cold ones, where none can rest yet, are not to stand idle.
        if cold.is_none() && !self.rests(engine, now) {
            weight /= 1.0 + 100.0 * self.settings.handshake_price;
        }
        let is_load = self.settings.classes[live.query.class].is_load;
        if !is_load && engine.warm.contains(&live.query.tables) {
            weight *= WARM_LEAN;
        }
        weight.max(1e-9)
    }

    /// Whether a connection of ours rests at an engine: there were more attempts at once lately than are now.
    fn rests(&self, engine: &Engine, now: Micros) -> bool {
        engine.out.len() < engine.opened && !self.rested(engine, now)
    }

    /// Whether all connections of ours at an engine have been closed, as none was used for too long.
    fn rested(&self, engine: &Engine, now: Micros) -> bool {
        (now - engine.last_sent).as_secs_f64() > RESTS * self.settings.connection_idle_timeout.as_secs_f64()
    }

    // --- sending: every rule is held here ---

    /// Whether the rules let this query go to this engine now.
    fn may_send(&self, now: Micros, live: &ActiveQuery, engine: &Engine) -> bool {
        let s = &self.settings;
        let class = &s.classes[live.query.class];
        let entry = &engine.entry;
        // Rule 1: nothing after the end. Rule 3: drained and gone engines get nothing, grace or not.
        if live.over || now >= live.query.deadline || entry.status != Status::Up {
            return false;
        }
        // Rule 6: placement.
        let open = |list: &[usize], x: usize| list.is_empty() || list.contains(&x);
        if class.no_engine_permitted || !open(&class.zones, entry.zone) || !open(&class.kinds, entry.kind) {
            return false;
        }
        // Rule 2: effects and copies.
        let copies = s.hedged_requests && class.semantics == ExecutionSemantics::Idempotent;
        if self.attempts_left(live) == 0 || (live.out() > 0 && !copies) {
            return false;
        }
        if !self.may_repeat(now, live, &live.attempts, entry) {
            return false;
        }
        // Rule 5: order by key. Rule 7: the budget of further attempts.
        if self.turn_comes(now, live).is_some() || (!live.attempts.is_empty() && !self.budget_left(now)) {
            return false;
        }
        // Rule 4: the cold budget.
        if let Some((budget, _)) = self.cold_budget(now, engine) {
            let lately = engine.sent_cold.iter().filter(|(t, _)| *t >= now - s.overload_window);
            let sent: f64 = lately.map(|(_, w)| w).sum();
            if sent + self.mean_work(live.query.class).max(live.work.min(budget)) > budget {
                return false;
            }
        }
        true
    }

    /// Whether a query may run at an engine although these attempts of it were made.
    fn may_repeat(&self, now: Micros, live: &ActiveQuery, before: &[Attempt], entry: &EngineEntry) -> bool {
        let class = &self.settings.classes[live.query.class];
        let Some(ran) = before.iter().find(|a| a.may_have_run()) else { return true };
        let kept = now - ran.sent < class.deduplication_window;
        let there = self.engines.get(&ran.engine).map(|e| &e.entry).filter(|_| kept);
        match (class.semantics, class.deduplication_scope) {
            (ExecutionSemantics::Idempotent, _) => true,
            (ExecutionSemantics::AtMostOnce, _) => false,
            (ExecutionSemantics::IdempotencyKey, DeduplicationScope::All) => kept,
            (ExecutionSemantics::IdempotencyKey, DeduplicationScope::Zone) => {
                there.is_some_and(|e| e.zone == entry.zone)
            }
            (ExecutionSemantics::IdempotencyKey, DeduplicationScope::Cell) => {
                there.is_some_and(|e| e.cell == entry.cell)
            }
        }
    }

    /// Whether an attempt that was sent may still be written: it may have waited for a connection.
    pub fn repeats_in_time(&self, now: Micros, id: QueryId, number: usize) -> bool {
        let Some(live) = self.queries.get(&id) else { return true };
        let Some(this) = live.attempts.get(number) else { return true };
        let entry = self.engines.get(&this.engine).map(|e| &e.entry);
        entry.is_none_or(|entry| self.may_repeat(now, live, &live.attempts[..number], entry))
    }

    /// What we may send in a span to a cold engine, and for how many gateways we draw, lest it stand idle:
    /// equal shares or, below one query, turns of a span with half the budget, as any span may touch two.
    fn cold_budget(&self, now: Micros, engine: &Engine) -> Option<(f64, f64)> {
        const SLACK: f64 = 0.9;
        let s = &self.settings;
        let warmth = Some(self.warmth(engine, now)).filter(|w| *w < 1.0 && s.overload_multiple > 0.0)?;
        let all = s.overload_multiple * warmth * engine.cores * s.overload_window.as_secs_f64() * SLACK;
        if all / s.gateway_count >= self.ledger.around.heaviest || s.gateway_count <= MANY {
            return Some((all / s.gateway_count, 1.0));
        }
        let takers = (all / 2.0 / self.ledger.around.heaviest).floor().max(1.0);
        let part = (all / 2.0 / takers, s.gateway_count / takers);
        Some(if self.my_turn(engine, now, takers) { part } else { (0.0, 1.0) })
    }

    /// Whether it is our turn at an engine: in each span so many gateways have theirs, by their index.
    fn my_turn(&self, engine: &Engine, now: Micros, takers: f64) -> bool {
        let span = self.settings.overload_window.0.max(1);
        let first = ((now.0 / span) as u64).wrapping_add(engine.entry.engine.0).wrapping_mul(STRIDE) >> 32;
        (self.settings.gateway_index + first as f64).rem_euclid(self.settings.gateway_count) < takers
    }

    /// The only way to send.
    fn send(&mut self, now: Micros, id: QueryId, to: EngineId, out: &mut Vec<Action>) -> bool {
        let (Some(live), Some(engine)) = (self.queries.get(&id), self.engines.get(&to)) else { return false };
        if !self.may_send(now, live, engine) {
            return false;
        }
        let s = &self.settings;
        let class = &s.classes[live.query.class];
        let threads = class.threads;
        let memory = self.memory_share(live, engine);
        let work = live.work;
        let usual = self.mean_work(live.query.class).max(work.min(engine.cores));
        // Without notes a hang shows in nothing but time: half the time left, then another engine. Not where
        // nothing can be withdrawn: there what timed out runs on beside its repeat, and engines jam.
        let blind = s.cancellation
            && s.progress_interval.0 == 0
            && class.semantics == ExecutionSemantics::Idempotent
            && self.attempts_left(live) > 1;
        let time_out = Micros(if blind { (live.query.deadline - now).0 / 2 } else { 0 });
        if s.priorities {
            out.push(Action::SetOptions { query: id, grant_mb: 0.0, priority: self.priority(live) });
        }
        out.push(Action::Send { query: id, engine: to, timeout: time_out });
        let rested = engine.out.is_empty() && self.rested(engine, now);
        let (Some(live), Some(engine)) = (self.queries.get_mut(&id), self.engines.get_mut(&to)) else {
            return false;
        };
        if !live.attempts.is_empty() {
            self.ledger.extras.push_back(now);
        }
        engine.out.insert((id, live.attempts.len()));
        live.attempts.push(Attempt::new(to, now, work));
        engine.book(now, rested, (work, usual), threads, memory);
        engine.touch(live.query.tables);
        true
    }

    /// Priority by worth for each thread-second: short work first, it takes little from the long.
    fn priority(&self, live: &ActiveQuery) -> u8 {
        let all = ClassView::sum(&self.settings.classes, &self.classes);
        let density = self.settings.classes[live.query.class].value / live.work.max(1e-3);
        let steps = (density * all.work / all.worth.max(1e-9)).log(PRIORITY_STEP).floor();
        (MOST_PRIORITY + steps).clamp(0.0, MOST_PRIORITY) as u8
    }

    // --- the life of an attempt ---

    fn noted(&mut self, now: Micros, id: QueryId, attempt: usize, note: AttemptUpdate) {
        let Some(live) = self.queries.get_mut(&id) else { return };
        let (threads, work) = (self.settings.classes[live.query.class].threads, live.work.max(1e-3));
        let Some(a) = live.attempts.get_mut(attempt) else { return };
        a.heard = now;
        if let AttemptUpdate::Progress(share) = note {
            a.done = share;
        }
        let pace = match note {
            _ if self.settings.load_reports => None,
            AttemptUpdate::Progress(share) if share > 0.0 => {
                Some((now - a.sent).as_secs_f64() / share * threads / work)
            }
            AttemptUpdate::WaitsForMemory => Some(FAR_ABOVE_BEST),
            _ => None,
        };
        if let Some(engine) = self.engines.get_mut(&a.engine) {
            engine.heard = now;
            pace.into_iter().for_each(|pace| self.ledger.infer(now, pace));
        }
    }

    fn ended(&mut self, now: Micros, ending: AttemptEnd, out: &mut Vec<Action>) {
        let AttemptEnd {
            query: id,
            attempt,
            outcome,
            query_over: last,
            elapsed: took,
            reported_work: billed_work,
            report,
        } = ending;
        let Some(live) = self.queries.get_mut(&id) else { return };
        let Some(a) = live.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        live.over |= last || outcome == Outcome::Served;
        let (engine_id, booked, cancelled) = (a.engine, a.work, a.cancelled);
        let (class_index, hint, key) = (live.query.class, live.query.work_hint, live.query.key.clone());
        let (work, owed) = (live.work, !live.over);
        let cured = outcome == Outcome::Served && live.attempts.iter().any(|a| a.bad_plan);
        self.classes[class_index].cured += u32::from(cured);
        // Guards against queries that fail wherever they go: they would set every engine aside and use up
        // the further attempts of the others. It holds against whatever makes all engines err; it hurts
        // where an engine errs while many others do: that one is found out late.
        let errors = live.attempts.iter().filter(|a| a.erred()).count();
        match outcome {
            Outcome::Served if errors > 0 => self.ledger.errors_cured += 1.0,
            Outcome::Error if errors > 1 => self.ledger.errors_uncured += 1.0,
            _ => {}
        }
        let own_error = outcome == Outcome::Error && self.ledger.errors_are_own();
        let class = &self.settings.classes[class_index];
        let (threads, aim, scarce) = (class.threads, class.latency_objective, self.ledger.around.scarce);
        if let Some(key) = key.filter(|_| class.ordered_by_key) {
            if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                self.keys.entry(key).or_default().rests_until = now + self.settings.key_cooldown;
            }
        }
        let fails =
            matches!(outcome, Outcome::TimedOut | Outcome::Error | Outcome::Reset | Outcome::ConnectTimedOut);
        let common = if fails { self.common_failing(engine_id) } else { 0.0 };
        let unhurried = self.engines.get(&engine_id).is_some_and(|e| self.load(e, now) < 0.8);
        let inferred = unhurried.then_some(took.as_secs_f64() * threads);
        let ran = if self.settings.reports_work { billed_work } else { inferred };
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            engine.release((id, attempt), booked, threads);
            self.ledger.take_report(now, report, engine, NEWEST);
            match outcome {
                Outcome::Served => {
                    engine.sample(took.as_secs_f64() / aim.as_secs_f64().max(1e-3), booked);
                    let pace = took.as_secs_f64() * threads / work.max(1e-3);
                    if !self.settings.load_reports {
                        self.ledger.infer(now, pace);
                    }
                    engine.ran_at(pace);
                    engine.well(now);
                }
                Outcome::TimedOut if !cancelled => {
                    engine.sample(TIMEOUT_SCORE, booked);
                    engine.failed(now, NEWEST, common);
                }
                Outcome::Cancelled if cancelled => engine.sample(TIMEOUT_SCORE, booked),
                Outcome::Error if !own_error => engine.failed(now, NEWEST, common),
                Outcome::ConnectFailed => engine.restarts(now),
                // Guards against taking engines for cold where connects are late: what is dead refuses.
                Outcome::ConnectTimedOut => engine.failed(now, NEWEST, common),
                Outcome::Reset => engine.broke(now, common),
                Outcome::Full => engine.filled(now, scarce),
                _ => {}
            }
        }
        if let Some(work) = ran.filter(|_| outcome == Outcome::Served) {
            self.learn(class_index, hint, work);
        }
        if owed && self.queries.get(&id).is_some_and(|l| l.out() == 0) {
            if own_error {
                self.give_up(now, id, out);
            } else {
                self.place(now, id, out);
            }
        }
        self.settle(now, id, out);
    }

    /// Final answer to a query that is given up, at once: refused where that is true, else failed.
    fn give_up(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        let Some(live) = self.queries.get_mut(&id).filter(|l| !l.over) else { return };
        live.over = true;
        let class = &self.settings.classes[live.query.class];
        let dropped = class.semantics == ExecutionSemantics::IdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        let own_error = live.attempts.last().is_some_and(Attempt::erred) && self.ledger.errors_are_own();
        if !own_error
            && (class.semantics == ExecutionSemantics::Idempotent || dropped || !live.may_have_run())
        {
            self.ledger.refusals += 1.0;
            let share = self.ledger.refused_share.max(self.ledger.refusals / self.ledger.arrivals.max(1.0));
            let retry_after = Micros::from_secs_f64(share.min(1.0) * PERIOD.as_secs_f64())
                .min(self.settings.max_retry_after);
            out.push(Action::Reject { query: id, retry_after });
        } else {
            out.push(Action::Fail { query: id });
        }
        self.withdraw(now, id, out);
    }

    fn withdraw(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        for attempt in 0..self.queries.get(&id).map_or(0, |l| l.attempts.len()) {
            self.cancel(id, attempt, false, out);
        }
        self.settle(now, id, out);
    }

    /// Forgets a query that is over and has nothing out, and lets the next of its key go.
    fn settle(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        if !self.queries.get(&id).is_some_and(|l| l.over && l.out() == 0) {
            return;
        }
        let Some(live) = self.queries.remove(&id) else { return };
        let Some(key) = live.query.key.filter(|_| self.settings.classes[live.query.class].ordered_by_key)
        else {
            return;
        };
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.waiting.retain(|q| *q != id);
        match line.waiting.front().copied() {
            Some(next) if self.queries.get(&next).is_some_and(|l| l.attempts.is_empty()) => {
                self.place(now, next, out);
            }
            None if line.rests_until <= now => {
                self.keys.remove(&key);
            }
            _ => {}
        }
    }

    /// When to look again for a query that keeps the order of its key; none once its turn has come.
    fn turn_comes(&self, now: Micros, live: &ActiveQuery) -> Option<Micros> {
        let in_order = self.settings.classes[live.query.class].ordered_by_key && live.attempts.is_empty();
        let line = live.query.key.as_ref().filter(|_| in_order).and_then(|key| self.keys.get(key))?;
        let due = live.query.deadline;
        if line.waiting.front() != Some(&live.query.id) {
            return Some(due);
        }
        (line.rests_until > now).then_some(line.rests_until.min(due))
    }

    // --- each quarter period: silence, the controller, the list ---

    fn sweep(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { token: SWEEP, after: SWEEP_EVERY });
        self.ledger.sweeps += 1;
        let all = ClassView::sum(&self.settings.classes, &self.classes);
        self.ledger.turnover = NEWS_LAG * PERIOD.as_secs_f64() * all.threads / all.work.max(1e-9);
        self.ledger.stay = NEWS_LAG * all.threads / all.count.max(1e-9);
        let pressed: Vec<bool> = self.engines.values().map(|e| self.pressed(e, now)).collect();
        for (engine, pressed) in self.engines.values_mut().zip(pressed) {
            engine.was_pressed |= pressed;
            self.ledger.told = if engine.out.is_empty() { self.ledger.told } else { Some(now) };
        }
        self.look_at_attempts(now, out);
        if self.ledger.subscribe_at.take_if(|at| *at <= self.ledger.sweeps).is_some() {
            out.push(Action::Subscribe);
        }
        self.probe_round(out);
        if !self.ledger.sweeps.is_multiple_of(SWEEPS_PER_PERIOD) {
            return;
        }
        // Where our share of an engine is below one query, a period brings it too few samples of ours: there
        // the delays of all engines under pressure make one error, and silence with work out is not ease.
        let pool = self.engines.values().filter(|e| self.ledger.around.scarce && e.was_pressed);
        let one =
            |sum: (f64, f64, usize), e: &Engine| (sum.0 + e.delays, sum.1 + e.samples, sum.2 + e.out.len());
        let (delays, samples, waits) = pool.fold((0.0, 0.0, 0), one);
        for engine in self.engines.values_mut() {
            if samples > 0.0 {
                (engine.delays, engine.samples, engine.was_pressed) = (delays, samples, true);
            }
            engine.control(waits > 0);
            // With few samples old failures fade, and a trial that did not fail in two periods is over.
            engine.failing *= if self.ledger.around.scarce { 1.0 - NEWEST } else { 1.0 };
            engine.on_trial &= !self.ledger.around.scarce || now - engine.aside_until < PERIOD + PERIOD;
        }
        // Our part of the threads that run: a gateway with most of the traffic must not take itself for many.
        let told = self.engines.values().filter_map(|e| Some((e, e.fresh_report(now).utilisation?)));
        let parts = told.map(|(e, u)| (e.threads_out, e.threads_out.max(u * e.cores)));
        let (own, all) = parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if all > 0.0 {
            self.ledger.share += NEWEST * (own / all - self.ledger.share);
        }
        self.ledger.rate += NEWEST * (self.ledger.drawn - self.ledger.rate);
        self.ledger.drawn = 0.0;
        self.ledger.refused_share = self.ledger.refusals / self.ledger.arrivals.max(1.0);
        (self.ledger.refusals, self.ledger.arrivals) = (0.0, 0.0);
        self.ledger.errors_cured *= 1.0 - NEWEST;
        self.ledger.errors_uncured *= 1.0 - NEWEST;
        let longest = self.settings.retry_budget.map_or(Micros(0), |b| b.window);
        self.ledger.forget_before(now - longest);
        let from = now - self.settings.overload_window;
        self.engines.values_mut().for_each(|e| e.sent_cold.retain(|(t, _)| *t >= from));
    }

    /// Where reports come by probe alone, gateways drawn at random probe every engine and tell the others.
    /// Guards against late reports and many gateways paying for the same news. It hurts if messages are lost.
    fn probe_round(&mut self, out: &mut Vec<Action>) {
        let s = &self.settings;
        let up = self.engines.values().filter(|e| e.entry.status == Status::Up);
        let sharers = if s.peer_messages { s.gateway_count } else { 1.0 };
        let told = if s.peer_messages { s.gateway_count * WORD * s.message_price } else { 0.0 };
        let cost = up.clone().count() as f64 * (s.probe_price + told);
        let rounds = ROUNDS.min(ROUNDS_COST * self.ledger.rate.max(1.0) * sharers / cost.max(1e-9));
        let ours = s.probes && s.reports_by_probe;
        if ours && self.random.f64() < rounds / f64::from(SWEEPS_PER_PERIOD) / sharers {
            out.extend(up.map(|e| Action::Probe(e.entry.engine)));
            out.extend(s.peer_messages.then_some(Action::SetTimer { token: ROUND, after: ROUND_TIME }));
        }
    }

    fn tell_round(&mut self, now: Micros, out: &mut Vec<Action>) {
        let fresh = self.engines.values().filter(|e| e.reported.is_some_and(|at| now - at <= ROUND_TIME));
        let word = |e: &Engine| PeerLoadReport { engine: e.entry.engine, report: e.report };
        out.push(Action::ShareReports(fresh.map(word).collect()));
    }

    fn told(&mut self, now: Micros, words: Vec<PeerLoadReport>) {
        for word in words {
            let Some(engine) = self.engines.get_mut(&word.engine) else { continue };
            self.ledger.take_report(now, word.report, engine, NEWEST);
        }
    }

    /// Looks at all that is out. An engine whose attempts give no word hangs: it is set aside, its work sent
    /// anew, as is an attempt that alone gives none. A bad plan is outrun by a fresh attempt; under pressure
    /// what ends too late is given up. It holds against whatever makes work slow; it hurts where the pace
    /// told is far off.
    fn look_at_attempts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let notes = self.settings.progress_interval;
        let patience = Micros(if notes.0 == 0 { i64::MAX } else { notes.0 * 3 / 2 + PERIOD.0 / 4 });
        let (mut hung, mut resend, mut dear, mut drop) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut losing = Vec::new();
        for engine in self.engines.values().filter(|e| !e.out.is_empty()) {
            let attempts = engine.out.iter().filter_map(|(id, index)| {
                let live = self.queries.get(id)?;
                Some((*id, *index, live, live.attempts.get(*index)?))
            });
            let silent = now - engine.heard > patience
                && attempts.clone().any(|(_, _, _, a)| now - a.heard > patience);
            hung.extend(silent.then_some(engine.entry.engine));
            let pressed = self.pressed(engine, now);
            let paging = self.settings.pages_on_memory_shortage && self.memory(engine, now) > MEMORY_LIMIT;
            for (id, index, live, a) in attempts.filter(|(_, _, live, a)| !live.over && !a.cancelled) {
                let class = &self.settings.classes[live.query.class];
                let pace = engine.pace.max(1.0);
                let booked = live.work / class.threads;
                let total = if a.done > 0.0 { (now - a.sent).as_secs_f64() / a.done } else { 0.0 };
                let run = booked.max(total / pace);
                let in_time = live.attempts[0].sent
                    + class.latency_objective
                    + Micros::from_secs_f64(class.latency_objective_stretch * run);
                // What is late on a paging engine keeps all others late.
                let late_pays = class.late_value_fraction > 0.0 && !paging;
                let worthless =
                    if late_pays { live.query.deadline } else { in_time.min(live.query.deadline) };
                let bad_plan = run > BAD_PLAN * booked;
                let view = &self.classes[live.query.class];
                let again = self.may_try_again(now, live);
                let curable = again && view.uncured <= view.cured + 1;
                // Guards against answers that get lost, one by one: their engine tells of all else.
                let lost = engine.heard - a.heard > patience;
                if (silent || lost) && again {
                    resend.push((id, index, false));
                    losing.extend((!silent).then_some(engine.entry.engine));
                } else if bad_plan && live.attempts.iter().any(|a| a.bad_plan) {
                    dear.push((id, run * class.threads));
                } else if bad_plan
                    && curable
                    && now + Micros::from_secs_f64(booked * pace) < live.query.deadline
                {
                    resend.push((id, index, true));
                } else if self.settings.cancellation
                    && pressed
                    && now.max(a.sent + Micros::from_secs_f64(total * SURELY)) > worthless
                {
                    drop.push(id);
                }
            }
        }
        for engine in self.engines.values_mut().filter(|e| hung.contains(&e.entry.engine)) {
            if engine.aside_until <= now {
                engine.failed(now, FAILING, 0.0);
                out.push(Action::Log(format!("engine silent with {} queries out", engine.out.len())));
            }
            engine.aside_until = engine.aside_until.max(now + PERIOD);
        }
        for id in losing {
            let common = self.common_failing(id);
            self.engines.entry(id).and_modify(|e| e.failed(now, NEWEST, common));
        }
        for (id, attempt, bad_plan) in resend {
            self.cancel(id, attempt, bad_plan, out);
        }
        // A fresh attempt no better: the query itself is dear; where that is the rule nothing is resent.
        for (id, work) in dear {
            if let Some(live) = self.queries.get_mut(&id) {
                live.work = work;
                live.attempts.iter_mut().for_each(|a| a.bad_plan = false);
                self.classes[live.query.class].uncured += 1;
            }
        }
        for id in drop {
            self.give_up(now, id, out);
        }
    }

    /// Whether what may have run can be sent again: the class, its attempts and the budget allow it.
    fn may_try_again(&self, now: Micros, live: &ActiveQuery) -> bool {
        let class = &self.settings.classes[live.query.class];
        self.attempts_left(live) > 0
            && class.semantics == ExecutionSemantics::Idempotent
            && self.budget_left(now)
    }

    fn attempts_left(&self, live: &ActiveQuery) -> usize {
        let most = if self.settings.max_attempts == 0 { usize::MAX } else { self.settings.max_attempts };
        most.saturating_sub(live.attempts.len())
    }

    /// Whether the budget allows one more attempt.
    fn budget_left(&self, now: Micros) -> bool {
        self.settings.retry_budget.is_none_or(|budget| {
            let (taken, extra) = self.ledger.since(now - budget.window);
            extra + 1.0 <= budget.guaranteed + budget.fraction * taken
        })
    }

    fn cancel(&mut self, id: QueryId, attempt: usize, bad_plan: bool, out: &mut Vec<Action>) {
        let a = self.queries.get_mut(&id).and_then(|l| l.attempts.get_mut(attempt));
        if let Some(a) = a.filter(|a| self.settings.cancellation && a.outcome.is_none() && !a.cancelled) {
            (a.cancelled, a.bad_plan) = (true, bad_plan);
            out.push(Action::Cancel { query: id, attempt });
        }
    }
}

impl Ledger {
    /// Where engines report nothing, the pace of our own runs stands in for their mean load. Guards against
    /// taking jammed engines for idle, and their run times for work. It may hurt where estimates are far off.
    fn infer(&mut self, now: Micros, pace: f64) {
        self.mean_load += NEWEST * (pace.min(FAR_ABOVE_BEST) * LOAD_OF_PACE - self.mean_load);
        self.told = Some(now);
    }

    /// Errors of late were met wherever their queries went.
    fn errors_are_own(&self) -> bool {
        self.errors_uncured > self.errors_cured + ERRORS_UNCURED
    }
}

impl Engine {
    /// The last report, or nothing told once it is old.
    fn fresh_report(&self, now: Micros) -> LoadReport {
        self.reported.filter(|at| now - *at < PERIOD + PERIOD).map_or(LoadReport::default(), |_| self.report)
    }

    /// d_t(k) = d_t(k-1) + fuzzy output, clamped; an empty period steps back toward the start.
    fn control(&mut self, waits: bool) {
        let ceiling = CEILING * self.start;
        let step = ceiling * LARGEST_STEP / f64::from(TOP);
        // Guards against wind-up: while the bound did not bind, short delays say nothing about it.
        if self.samples > 0.0 && self.was_pressed {
            let error = 1.0 - self.delays / self.samples;
            let change = error - self.last_error.unwrap_or(error);
            self.bound += fuzzy_output(error, change) * step;
            self.last_error = Some(error);
        } else if !waits {
            self.bound += (self.start - self.bound).clamp(-step, step);
            self.last_error = None;
        }
        self.bound = self.bound.clamp(0.0, ceiling);
        (self.delays, self.samples, self.was_pressed) = (0.0, 0.0, false);
    }

    fn ran_at(&mut self, pace: f64) {
        self.pace += NEWEST * (pace.min(20.0) - self.pace);
        if self.pace < self.best_pace {
            self.best_pace = self.pace.max(0.1);
        } else {
            self.best_pace += 0.002 * (self.pace - self.best_pace);
        }
    }

    fn well(&mut self, now: Micros) {
        self.heard = now;
        self.failing *= 1.0 - NEWEST;
        (self.full_pause, self.broken) = (1, 0);
        if self.on_trial && self.aside_until <= now {
            (self.on_trial, self.aside_for) = (false, 1);
        }
    }

    /// Guards against the storm on a full engine, which looks free and answers at once: each refusal in a row
    /// doubles the rest. Holds against any quick refusal; it may hurt one briefly full.
    fn filled(&mut self, now: Micros, scarce: bool) {
        if self.full_until <= now {
            let (first, longest) = FULL_RESTS[usize::from(scarce)];
            self.full_until = now + Micros(PERIOD.0 / 16 * first * self.full_pause);
            self.full_pause = (self.full_pause * 2).min(longest / first);
        }
    }

    /// A dead process comes back cold, and the list says so late.
    fn restarts(&mut self, now: Micros) {
        self.failed(now, FAILING, 0.0);
        self.cold_since = Some(now);
        self.opened = 0;
        self.warm.clear();
    }

    /// Guards against taking broken connections for dead engines: a restart breaks all of ours at once.
    fn broke(&mut self, now: Micros, common: f64) {
        self.broken = if now - self.broke_at > AT_ONCE { 1 } else { self.broken + 1 };
        (self.broke_at, self.opened) = (now, self.opened.saturating_sub(1));
        self.failed(now, NEWEST, common);
        if self.out.is_empty() && self.broken > 1 {
            self.restarts(now);
        }
    }

    /// Counts a failure; past the limit the engine is set aside, each time longer, then tried with one query.
    /// Guards against setting aside engines for what all of them share, such as a network that breaks
    /// connections: the limit is above what is common. It may hurt where most engines fail, but not all.
    fn failed(&mut self, now: Micros, weight: f64, common: f64) {
        self.failing += weight * (1.0 - self.failing);
        if self.failing >= FAILING * 0.99 + common || self.on_trial {
            if self.aside_until <= now {
                self.aside_until = now + Micros(PERIOD.0 * i64::from(self.aside_for));
                self.aside_for = (self.aside_for * 2).min(LONGEST_ASIDE);
            }
            self.on_trial = true;
        }
    }

    fn touch(&mut self, tables: u64) {
        const KEPT_WARM: usize = 4;
        self.warm.retain(|t| *t != tables);
        self.warm.push_front(tables);
        self.warm.truncate(KEPT_WARM);
    }
}
