//! A day drawn from its script by a seed: every arrival and every blow, before anything runs. No I/O.

use crate::day::{Day, Shape, Trouble};
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use wheelfield_network_faults::FaultSchedule;

/// A query that a client will send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds from the day's start.
    pub at: i64,
    /// Its class.
    pub class: usize,
    /// Its customer.
    pub tenant: Option<usize>,
    /// Which controller it comes to first, as a share of all.
    pub door: f64,
    /// Its true work in seconds of one thread.
    pub work: f64,
    /// What its hint says.
    pub estimate: Option<f64>,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Its group of tables.
    pub tables: u64,
    /// Its key.
    pub key: Option<u64>,
    /// A try is given up after this, in microseconds.
    pub patience: i64,
    /// The client leaves early, so long after its send; true if it cancels first.
    pub leaves: Option<(i64, bool)>,
    /// Advice on when to come back is heeded.
    pub honours: bool,
}

/// Something done to the stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A fault of a stand-in, by its control port.
    Fault {
        /// Which engine.
        engine: usize,
        /// As the control port names it.
        kind: &'static str,
        /// Its figure.
        value: f64,
    },
    /// The registry answers nobody for so many milliseconds.
    RegistryDown(i64),
    /// The registry tells so many milliseconds later.
    RegistryStale(i64),
    /// A controller's process is killed.
    KillController(usize),
    /// It is started again.
    StartController(usize),
    /// A controller's process stands still.
    StallController(usize),
    /// It goes on.
    ResumeController(usize),
}

/// A trouble as it was drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Drawn {
    /// Its kind.
    pub kind: String,
    /// From, in microseconds from the day's start,
    pub from: i64,
    /// to.
    pub to: i64,
    /// Its first figure,
    pub size: f64,
    /// and its second.
    pub extra: f64,
    /// The engines or controllers it strikes.
    pub whom: Vec<usize>,
}

/// A day as it will be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// By time.
    pub arrivals: Vec<Arrival>,
    /// By time.
    pub acts: Vec<(i64, Act)>,
    /// Kind and speed of each engine.
    pub engines: Vec<(usize, f64)>,
    /// For the report.
    pub troubles: Vec<Drawn>,
    /// What goes wrong between controllers, in microseconds from the day's start.
    pub roads: FaultSchedule,
}

/// What a kind's figures are when its script leaves them out: size, extra, and the part it strikes.
fn usual(kind: &str) -> ([f64; 2], [f64; 2], [f64; 2]) {
    match kind {
        "crash" => ([0.0; 2], [0.0; 2], [0.1, 0.25]),
        "hang" => ([0.0; 2], [0.0; 2], [0.05, 0.2]),
        "slow" => ([3.0, 8.0], [0.0; 2], [0.1, 0.25]),
        "shared_slow" => ([1.5, 2.5], [0.0; 2], [1.0; 2]),
        "ageing" => ([4.0, 8.0], [0.0; 2], [0.1, 0.25]),
        "fast_errors" => ([0.4, 0.9], [0.0; 2], [0.1, 0.2]),
        "full" => ([0.0; 2], [0.0; 2], [0.1, 0.25]),
        "answer_lost" | "half_answer" => ([0.1, 0.3], [0.0; 2], [0.3, 0.7]),
        "flush" | "discovery_down" => ([0.0; 2], [0.0; 2], [1.0; 2]),
        "preempt" => ([1.5, 3.0], [3.0, 6.0], [0.15, 0.3]),
        "deploy" => ([1.5, 3.0], [0.5, 1.0], [0.15, 0.2]),
        "zone_loss" => ([0.0; 2], [0.0; 2], [1.0; 2]),
        "discovery_stale" => ([2.0, 5.0], [0.0; 2], [1.0; 2]),
        "balancer_roll" => ([0.3, 1.0], [0.0; 2], [0.5, 1.0]),
        "balancer_stall" => ([0.3, 0.8], [2.0, 3.0], [0.5, 1.0]),
        "burst" => ([1.5, 2.2], [0.0; 2], [1.0; 2]),
        "tenant_burst" => ([2.0, 5.0], [0.0; 2], [1.0; 2]),
        "hot_key" => ([0.1, 0.25], [1.0, 3.0], [1.0; 2]),
        "hot_caller" => ([0.3, 0.7], [0.0; 2], [1.0; 2]),
        "heavy_tail" => ([6.0, 15.0], [0.01, 0.03], [1.0; 2]),
        "shift" => ([1.5, 2.5], [0.0; 2], [1.0; 2]),
        _ => ([0.05, 0.15], [0.0; 2], [1.0; 2]),
    }
}

struct Painter<'a> {
    day: &'a Day,
    chance: Pcg64Mcg,
    acts: Vec<(i64, Act)>,
}

impl Painter<'_> {
    fn between(&mut self, [low, high]: [f64; 2]) -> f64 {
        if high > low {
            self.chance.random_range(low..high)
        } else {
            low
        }
    }

    /// So many of `n`, at least one.
    fn some(&mut self, n: usize, part: f64) -> Vec<usize> {
        let wanted = ((n as f64 * part).round() as usize).clamp(1, n);
        let mut all: Vec<usize> = (0..n).collect();
        for i in 0..wanted {
            let j = self.chance.random_range(i..n);
            all.swap(i, j);
        }
        all.truncate(wanted);
        all
    }

    fn fault(&mut self, at: i64, engine: usize, kind: &'static str, value: f64) {
        self.acts.push((at, Act::Fault { engine, kind, value }));
    }

    /// Draws what a trouble leaves out, and its blows.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn draw(&mut self, trouble: &Trouble) -> Drawn {
        let length = self.day.length.0 .0;
        let (size, extra, part) = usual(&trouble.kind);
        let from = trouble.at.map(|t| t.0 .0);
        let from = from.unwrap_or_else(|| (length as f64 * self.chance.random_range(0.1..0.7)) as i64);
        let lasts = trouble.lasts.map(|t| t.0 .0);
        let lasts = lasts.unwrap_or_else(|| (length as f64 * self.chance.random_range(0.1..0.3)) as i64);
        let to = (from + lasts.max(1)).min(length);
        let size = trouble.size.unwrap_or_else(|| self.between(size));
        let extra = trouble.extra.unwrap_or_else(|| self.between(extra));
        let part = trouble.part.unwrap_or_else(|| self.between(part)).clamp(0.0, 1.0);
        let (engines, controllers) = (self.day.engines, self.day.controllers);
        let second = |s: f64| (s * 1e6) as i64;
        let whom = match trouble.kind.as_str() {
            "balancer_roll" | "balancer_stall" => self.some(controllers, part),
            "zone_loss" => {
                let zone = self.chance.random_range(0..self.day.fleet.zones.len().max(1));
                (0..engines).filter(|e| e % self.day.fleet.zones.len().max(1) == zone).collect()
            }
            _ => self.some(engines, part),
        };
        let until = |kind: &'static str, value: f64, me: &mut Self| {
            for e in whom.clone() {
                me.fault(from, e, kind, value);
                me.fault(to, e, kind, if kind == "slow" { 1.0 } else { 0.0 });
            }
        };
        match trouble.kind.as_str() {
            "crash" | "zone_loss" => {
                for e in whom.clone() {
                    let jitter = self.chance.random_range(0..200_000);
                    self.fault(from + jitter, e, "kill", 1.0);
                    self.fault(to.max(from + jitter + 100_000), e, "start", 1.0);
                }
            }
            "hang" => until("hang", 1.0, self),
            "slow" | "shared_slow" => until("slow", size, self),
            "fast_errors" => until("errors", size, self),
            "full" => until("full", 1.0, self),
            "answer_lost" => until("lose", size, self),
            "half_answer" => until("half", size, self),
            "ageing" => {
                for e in whom.clone() {
                    for step in 1..=5 {
                        let share = f64::from(step) / 5.0;
                        let at = from + (lasts as f64 * 0.9 * (share - 0.2)) as i64;
                        self.fault(at, e, "slow", 1.0 + (size - 1.0) * share);
                    }
                    self.fault(to, e, "kill", 1.0);
                    self.fault(to + 1_000_000, e, "start", 1.0);
                }
            }
            "flush" => whom
                .iter()
                .for_each(|e| self.acts.push((from, Act::Fault { engine: *e, kind: "flush", value: 1.0 }))),
            "preempt" | "deploy" => {
                let waves = if trouble.kind == "deploy" { whom.len().max(engines) } else { whom.len() };
                let struck: Vec<usize> =
                    if trouble.kind == "deploy" { (0..engines).collect() } else { whom.clone() };
                let step = lasts / waves.max(1) as i64;
                for (i, e) in struck.into_iter().enumerate() {
                    let at = if trouble.kind == "deploy" { from + step * i as i64 } else { from };
                    let dies = at + second(size);
                    self.fault(at, e, "drain", 1.0);
                    self.fault(dies, e, "kill", 1.0);
                    self.fault(dies + second(extra.max(0.2)), e, "start", 1.0);
                }
            }
            "discovery_down" => self.acts.push((from, Act::RegistryDown((to - from) / 1000))),
            "discovery_stale" => {
                self.acts.push((from, Act::RegistryStale((size * 1e3) as i64)));
                self.acts.push((to, Act::RegistryStale(0)));
            }
            "balancer_roll" => {
                let step = lasts / whom.len().max(1) as i64;
                for (i, c) in whom.iter().enumerate() {
                    let at = from + step * i as i64;
                    self.acts.push((at, Act::KillController(*c)));
                    self.acts.push((at + second(size), Act::StartController(*c)));
                }
            }
            "balancer_stall" => {
                for c in whom.clone() {
                    let mut at = from + self.chance.random_range(0..second(extra.max(0.1)));
                    while at < to {
                        self.acts.push((at, Act::StallController(c)));
                        self.acts.push((at + second(size), Act::ResumeController(c)));
                        at += second(size + extra.max(0.1));
                    }
                }
            }
            _ => {}
        }
        Drawn { kind: trouble.kind.clone(), from, to, size, extra, whom }
    }
}

/// One of several by weight.
fn pick(chance: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut mark = chance.random::<f64>() * total;
    for (i, w) in weights.iter().enumerate() {
        mark -= w;
        if mark < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

/// A lognormal of mean 1 and this deviation.
fn spread(deviation: f64) -> Option<LogNormal<f64>> {
    let sigma = (1.0 + deviation * deviation).ln().sqrt();
    LogNormal::new(-sigma * sigma / 2.0, sigma).ok()
}

impl Plan {
    /// Draws a day. The same script and seed give the same plan.
    pub fn draw(day: &Day, seed: u64) -> Plan {
        let mut painter = Painter { day, chance: Pcg64Mcg::seed_from_u64(seed), acts: Vec::new() };
        let shares: Vec<f64> = day.fleet.kinds.iter().map(|k| k.share).collect();
        let engines = (0..day.engines)
            .map(|_| {
                let kind = pick(&mut painter.chance, &shares);
                (kind, painter.between(day.fleet.kinds[kind].speed))
            })
            .collect();
        let troubles: Vec<Drawn> = day.troubles.iter().map(|t| painter.draw(t)).collect();
        let Painter { mut acts, .. } = painter;
        // Traffic has a source of its own, so that a trouble more or less leaves it as it is.
        let chance = Pcg64Mcg::seed_from_u64(seed ^ 0x0074_7261_6666_6963);
        let arrivals = Traffic { day, troubles: &troubles, chance }.draw();
        acts.sort_by_key(|(at, _)| *at);
        // A script whose roads can't be drawn was refused where it was read, or where its size was changed.
        let roads = day.timetable(seed).unwrap_or_default();
        Plan { arrivals, acts, engines, troubles, roads }
    }
}

struct Traffic<'a> {
    day: &'a Day,
    troubles: &'a [Drawn],
    chance: Pcg64Mcg,
}

impl Traffic<'_> {
    fn now(&self, kind: &str, at: i64) -> Option<&Drawn> {
        self.troubles.iter().find(|t| t.kind == kind && (t.from..t.to).contains(&at))
    }

    /// The rate at a time, as a multiple of the mean.
    fn pace(&self, at: i64) -> f64 {
        let x = at as f64 / self.day.length.0 .0 as f64;
        let shape = match self.day.shape {
            Shape::Steady => 1.0,
            Shape::Ramp => 0.5 + x,
            Shape::Wave => 1.0 + (x * 4.0 * std::f64::consts::PI).sin() / 3.0,
        };
        shape * self.now("burst", at).map_or(1.0, |t| t.size)
    }

    fn draw(&mut self) -> Vec<Arrival> {
        let day = self.day;
        let length = day.length.0 .0;
        let most =
            self.troubles.iter().filter(|t| t.kind == "burst").map(|t| t.size).fold(1.0, f64::max) * 1.5;
        let works: Vec<_> = day.classes.iter().map(|c| spread(c.spread)).collect();
        let errors: Vec<_> = day.classes.iter().map(|c| c.estimate_error.and_then(spread)).collect();
        let tables = Zipf::new(day.habits.groups.max(1) as f64, day.habits.zipf.max(0.0)).ok();
        let (mut out, mut at) = (Vec::new(), 0.0);
        loop {
            let gap: f64 = Exp1.sample(&mut self.chance);
            at += gap / (day.rate * most) * 1e6;
            if at >= length as f64 {
                return out;
            }
            let at = at as i64;
            if self.chance.random::<f64>() * most > self.pace(at) {
                continue;
            }
            out.push(self.one(at, &works, &errors, tables.as_ref()));
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn one(
        &mut self,
        at: i64,
        works: &[Option<LogNormal<f64>>],
        errors: &[Option<LogNormal<f64>>],
        tables: Option<&Zipf<f64>>,
    ) -> Arrival {
        let day = self.day;
        let mut shares: Vec<f64> = day.classes.iter().map(|c| c.share).collect();
        let heaviest = (0..shares.len()).max_by_key(|i| day.classes[*i].work).unwrap_or(0);
        let shifted = self.troubles.iter().find(|t| t.kind == "shift" && t.from <= at);
        shares[heaviest] *= shifted.map_or(1.0, |t| t.size);
        let class = pick(&mut self.chance, &shares);
        let c = &day.classes[class];
        let tenant = (!day.tenants.is_empty()).then(|| {
            let mut weights: Vec<f64> = day.tenants.iter().map(|t| t.share).collect();
            weights[0] *= self.now("tenant_burst", at).map_or(1.0, |t| t.size);
            pick(&mut self.chance, &weights)
        });
        let of =
            |d: &Option<LogNormal<f64>>, chance: &mut Pcg64Mcg| d.as_ref().map_or(1.0, |d| d.sample(chance));
        let varies = of(&works[class], &mut self.chance);
        let mean = c.work.0 .0 as f64 / 1e6;
        let mut work = mean * varies.min(30.0);
        if let Some((times, share)) =
            self.now("heavy_tail", at).map(|t| (t.size, t.extra)).filter(|_| class == heaviest)
        {
            if self.chance.random::<f64>() < share {
                work *= times;
            }
        }
        let error = of(&errors[class], &mut self.chance);
        let drawn = tables.map_or(1.0, |z| z.sample(&mut self.chance)) as u64;
        let hot = self.now("hot_key", at).map(|t| (t.size, t.extra.round().max(1.0) as u64));
        let tables = match hot {
            Some((share, groups)) if self.chance.random::<f64>() < share => {
                self.chance.random_range(1..=groups)
            }
            _ => drawn,
        };
        let key = (c.keys > 0).then(|| self.chance.random_range(0..c.keys));
        let part = {
            let [low, high] = day.habits.patience;
            if high > low {
                self.chance.random_range(low..high)
            } else {
                low
            }
        };
        let patience = (c.deadline.0 .0 as f64 * part.clamp(0.01, 1.0)) as i64;
        let leaving = self.now("give_up", at).map_or(day.habits.leaves, |t| t.size);
        let (leaves, when, cancels): (f64, f64, f64) = self.chance.random();
        let leaves =
            (leaves < leaving).then_some(((patience as f64 * 0.5 * when * when) as i64, cancels < 0.5));
        let door = self.chance.random::<f64>();
        // Keys keep to one controller, and to its order.
        let door = key.map_or(door, |k| (k as f64 * 0.618_033_988_75).fract());
        let hot = self.now("hot_caller", at).map(|t| t.size);
        let door = if key.is_none() && hot.is_some_and(|share| self.chance.random::<f64>() < share) {
            0.0
        } else {
            door
        };
        Arrival {
            at,
            class,
            tenant,
            door,
            work,
            estimate: c.estimate_error.map(|_| work * error),
            memory_mb: c.memory.map_or(0.0, |m| m.0 as f64 / 1_048_576.0) * varies.sqrt(),
            tables,
            key,
            patience,
            leaves,
            honours: self.chance.random::<f64>() < day.habits.honour,
        }
    }
}
