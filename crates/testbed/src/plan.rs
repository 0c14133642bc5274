//! Draws a day's schedule from its script and a seed: every query arrival and every fault is fixed before anything runs.
//! No I/O.

use crate::day::{Day, Shape, Trouble};
use crate::system_faults::SystemFault;
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use wheelfield_network_faults::FaultSchedule;

/// A query that a client will send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Send time, in microseconds from the start of the day.
    pub at: i64,
    /// Index of its class in the script.
    pub class: usize,
    /// Index of its tenant in the script.
    pub tenant: Option<usize>,
    /// The controller of the first try, as a position from 0 to 1 in the list of controllers.
    pub controller_position: f64,
    /// The actual work, in seconds of one thread.
    pub work: f64,
    /// The work that the client announces, in seconds of one thread; none if it sends no hint.
    pub estimate: Option<f64>,
    /// Memory that the query needs, in MB.
    pub memory_mb: f64,
    /// The group of tables that it reads.
    pub table_group: u64,
    /// The ordering key, for classes whose queries have one.
    pub key: Option<u64>,
    /// Client-side timeout of one try, in microseconds.
    pub timeout_us: i64,
    /// For a client that abandons the query: how long after sending it, in microseconds, and whether it sends a cancel first.
    pub abandonment: Option<(i64, bool)>,
    /// Whether the client waits as long as a refusal's retry-after advice says.
    pub honours_retry_after: bool,
}

/// An action on the emulated engines, the registry or the controllers.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterAction {
    /// Sets a fault of an emulated engine through its control port.
    Fault {
        /// Index of the engine.
        engine: usize,
        /// The fault's name on the control port.
        kind: &'static str,
        /// The fault's parameter, such as a slowdown factor or a probability.
        value: f64,
    },
    /// The registry answers no requests for this many milliseconds.
    RegistryDown(i64),
    /// The registry publishes changes this many milliseconds late.
    RegistryStale(i64),
    /// Kills a controller's process.
    KillController(usize),
    /// Starts a killed controller again.
    StartController(usize),
    /// Suspends a controller's process.
    StallController(usize),
    /// Resumes a suspended controller.
    ResumeController(usize),
    /// Begins a fault of the operating system in a controller.
    BeginSystemFault(usize, SystemFault),
    /// Ends a fault of the operating system in a controller.
    EndSystemFault(usize, SystemFault),
}

/// A trouble of the script with all parameters drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnTrouble {
    /// Its kind, as in the script.
    pub kind: String,
    /// Start, in microseconds from the start of the day.
    pub from: i64,
    /// End, in microseconds from the start of the day.
    pub to: i64,
    /// First parameter; its meaning depends on the kind.
    pub size: f64,
    /// Second parameter; its meaning depends on the kind.
    pub extra: f64,
    /// Indexes of the engines or controllers that it affects.
    pub targets: Vec<usize>,
}

/// The schedule of a day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Queries, in order of their send times.
    pub arrivals: Vec<Arrival>,
    /// Actions with their times in microseconds from the start of the day, in order.
    pub actions: Vec<(i64, ClusterAction)>,
    /// Index of the kind, and the speed, of each engine.
    pub engines: Vec<(usize, f64)>,
    /// Troubles with their drawn parameters.
    pub troubles: Vec<DrawnTrouble>,
    /// Faults of the network between controllers, in microseconds from the start of the day.
    pub network_faults: FaultSchedule,
}

/// Ranges from which the parameters of a trouble are drawn when the script omits them: `size`, `extra`, and `part`, the
/// share of engines or controllers that it affects.
fn default_ranges(kind: &str) -> ([f64; 2], [f64; 2], [f64; 2]) {
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
        "system_faults" => ([0.5, 2.0], [0.2, 0.5], [0.5, 1.0]),
        "burst" => ([1.5, 2.2], [0.0; 2], [1.0; 2]),
        "tenant_burst" => ([2.0, 5.0], [0.0; 2], [1.0; 2]),
        "hot_key" => ([0.1, 0.25], [1.0, 3.0], [1.0; 2]),
        "hot_caller" => ([0.3, 0.7], [0.0; 2], [1.0; 2]),
        "heavy_tail" => ([6.0, 15.0], [0.01, 0.03], [1.0; 2]),
        "shift" => ([1.5, 2.5], [0.0; 2], [1.0; 2]),
        _ => ([0.05, 0.15], [0.0; 2], [1.0; 2]),
    }
}

/// Draws the troubles of a day and collects their actions.
struct TroubleScheduler<'a> {
    day: &'a Day,
    rng: Pcg64Mcg,
    actions: Vec<(i64, ClusterAction)>,
}

impl TroubleScheduler<'_> {
    fn uniform(&mut self, [low, high]: [f64; 2]) -> f64 {
        if high > low {
            self.rng.random_range(low..high)
        } else {
            low
        }
    }

    /// Draws distinct indexes below `n`: the share `part` of them, but at least one.
    fn sample_indices(&mut self, n: usize, part: f64) -> Vec<usize> {
        let wanted = ((n as f64 * part).round() as usize).clamp(1, n);
        let mut all: Vec<usize> = (0..n).collect();
        for i in 0..wanted {
            let j = self.rng.random_range(i..n);
            all.swap(i, j);
        }
        all.truncate(wanted);
        all
    }

    fn push_fault(&mut self, at: i64, engine: usize, kind: &'static str, value: f64) {
        self.actions.push((at, ClusterAction::Fault { engine, kind, value }));
    }

    /// Draws faults of the operating system in a controller, each up to `longest` seconds long, one about every `interval`.
    fn push_system_faults(&mut self, controller: usize, from: i64, to: i64, longest: f64, interval: f64) {
        let micros = |seconds: f64| (seconds * 1e6) as i64;
        let interval = interval.max(0.1);
        let mut at = from + self.rng.random_range(0..micros(interval));
        while at < to {
            let fault = SystemFault::draw(&mut self.rng);
            let until = (at + micros(self.rng.random_range(0.1..1.0) * longest)).min(to);
            self.actions.push((at, ClusterAction::BeginSystemFault(controller, fault)));
            self.actions.push((until, ClusterAction::EndSystemFault(controller, fault)));
            at += micros(interval * self.rng.random_range(0.5..1.5));
        }
    }

    /// Draws the parameters that the script omits, and schedules the trouble's actions.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn draw(&mut self, trouble: &Trouble) -> DrawnTrouble {
        let length = self.day.length.0 .0;
        let (size, extra, part) = default_ranges(&trouble.kind);
        let from = trouble.at.map(|t| t.0 .0);
        let from = from.unwrap_or_else(|| (length as f64 * self.rng.random_range(0.1..0.7)) as i64);
        let duration = trouble.lasts.map(|t| t.0 .0);
        let duration = duration.unwrap_or_else(|| (length as f64 * self.rng.random_range(0.1..0.3)) as i64);
        let to = (from + duration.max(1)).min(length);
        let size = trouble.size.unwrap_or_else(|| self.uniform(size));
        let extra = trouble.extra.unwrap_or_else(|| self.uniform(extra));
        let part = trouble.part.unwrap_or_else(|| self.uniform(part)).clamp(0.0, 1.0);
        let (engines, controllers) = (self.day.engines, self.day.controllers);
        let micros = |s: f64| (s * 1e6) as i64;
        let targets = match trouble.kind.as_str() {
            "balancer_roll" | "balancer_stall" | "system_faults" => self.sample_indices(controllers, part),
            "zone_loss" => {
                let zone = self.rng.random_range(0..self.day.fleet.zones.len().max(1));
                (0..engines).filter(|e| e % self.day.fleet.zones.len().max(1) == zone).collect()
            }
            _ => self.sample_indices(engines, part),
        };
        let push_for_duration = |kind: &'static str, value: f64, scheduler: &mut Self| {
            for e in targets.clone() {
                scheduler.push_fault(from, e, kind, value);
                scheduler.push_fault(to, e, kind, if kind == "slow" { 1.0 } else { 0.0 });
            }
        };
        match trouble.kind.as_str() {
            "crash" | "zone_loss" => {
                for e in targets.clone() {
                    let jitter = self.rng.random_range(0..200_000);
                    self.push_fault(from + jitter, e, "kill", 1.0);
                    self.push_fault(to.max(from + jitter + 100_000), e, "start", 1.0);
                }
            }
            "hang" => push_for_duration("hang", 1.0, self),
            "slow" | "shared_slow" => push_for_duration("slow", size, self),
            "fast_errors" => push_for_duration("errors", size, self),
            "full" => push_for_duration("full", 1.0, self),
            "answer_lost" => push_for_duration("lose", size, self),
            "half_answer" => push_for_duration("half", size, self),
            "ageing" => {
                for e in targets.clone() {
                    for step in 1..=5 {
                        let share = f64::from(step) / 5.0;
                        let at = from + (duration as f64 * 0.9 * (share - 0.2)) as i64;
                        self.push_fault(at, e, "slow", 1.0 + (size - 1.0) * share);
                    }
                    self.push_fault(to, e, "kill", 1.0);
                    self.push_fault(to + 1_000_000, e, "start", 1.0);
                }
            }
            "flush" => targets.iter().for_each(|e| {
                self.actions.push((from, ClusterAction::Fault { engine: *e, kind: "flush", value: 1.0 }))
            }),
            "preempt" | "deploy" => {
                let restarts =
                    if trouble.kind == "deploy" { targets.len().max(engines) } else { targets.len() };
                let restarted: Vec<usize> =
                    if trouble.kind == "deploy" { (0..engines).collect() } else { targets.clone() };
                let step = duration / restarts.max(1) as i64;
                for (i, e) in restarted.into_iter().enumerate() {
                    let at = if trouble.kind == "deploy" { from + step * i as i64 } else { from };
                    let killed_at = at + micros(size);
                    self.push_fault(at, e, "drain", 1.0);
                    self.push_fault(killed_at, e, "kill", 1.0);
                    self.push_fault(killed_at + micros(extra.max(0.2)), e, "start", 1.0);
                }
            }
            "discovery_down" => self.actions.push((from, ClusterAction::RegistryDown((to - from) / 1000))),
            "discovery_stale" => {
                self.actions.push((from, ClusterAction::RegistryStale((size * 1e3) as i64)));
                self.actions.push((to, ClusterAction::RegistryStale(0)));
            }
            "balancer_roll" => {
                let step = duration / targets.len().max(1) as i64;
                for (i, c) in targets.iter().enumerate() {
                    let at = from + step * i as i64;
                    self.actions.push((at, ClusterAction::KillController(*c)));
                    self.actions.push((at + micros(size), ClusterAction::StartController(*c)));
                }
            }
            "balancer_stall" => {
                for c in targets.clone() {
                    let mut at = from + self.rng.random_range(0..micros(extra.max(0.1)));
                    while at < to {
                        self.actions.push((at, ClusterAction::StallController(c)));
                        self.actions.push((at + micros(size), ClusterAction::ResumeController(c)));
                        at += micros(size + extra.max(0.1));
                    }
                }
            }
            "system_faults" => {
                targets.iter().for_each(|c| self.push_system_faults(*c, from, to, size, extra))
            }
            _ => {}
        }
        DrawnTrouble { kind: trouble.kind.clone(), from, to, size, extra, targets }
    }
}

/// Draws an index with a probability proportional to its weight.
fn choose_weighted(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (i, w) in weights.iter().enumerate() {
        remaining -= w;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

/// Lognormal distribution with mean 1 and this standard deviation.
fn unit_mean_lognormal(deviation: f64) -> Option<LogNormal<f64>> {
    let sigma = (1.0 + deviation * deviation).ln().sqrt();
    LogNormal::new(-sigma * sigma / 2.0, sigma).ok()
}

impl Plan {
    /// Draws the schedule of a day. The same script and seed give the same plan.
    pub fn draw(day: &Day, seed: u64) -> Plan {
        let mut scheduler = TroubleScheduler { day, rng: Pcg64Mcg::seed_from_u64(seed), actions: Vec::new() };
        let shares: Vec<f64> = day.fleet.kinds.iter().map(|k| k.share).collect();
        let engines = (0..day.engines)
            .map(|_| {
                let kind = choose_weighted(&mut scheduler.rng, &shares);
                (kind, scheduler.uniform(day.fleet.kinds[kind].speed))
            })
            .collect();
        let troubles: Vec<DrawnTrouble> = day.troubles.iter().map(|t| scheduler.draw(t)).collect();
        let TroubleScheduler { mut actions, .. } = scheduler;
        // Traffic has its own random generator, so that adding or removing a trouble doesn't change the queries.
        // The constant is "traffic" in ASCII.
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0074_7261_6666_6963);
        let arrivals = TrafficGenerator { day, troubles: &troubles, rng }.draw();
        actions.sort_by_key(|(at, _)| *at);
        // A script with invalid `[[roads]]` entries was rejected when it was parsed or when its size was changed.
        let network_faults = day.timetable(seed).unwrap_or_default();
        Plan { arrivals, actions, engines, troubles, network_faults }
    }
}

/// Draws the queries of a day as a Poisson process whose rate follows the day's shape and troubles.
struct TrafficGenerator<'a> {
    day: &'a Day,
    troubles: &'a [DrawnTrouble],
    rng: Pcg64Mcg,
}

impl TrafficGenerator<'_> {
    fn active_trouble(&self, kind: &str, at: i64) -> Option<&DrawnTrouble> {
        self.troubles.iter().find(|t| t.kind == kind && (t.from..t.to).contains(&at))
    }

    /// The arrival rate at a time, as a multiple of the script's rate.
    fn relative_rate(&self, at: i64) -> f64 {
        let progress = at as f64 / self.day.length.0 .0 as f64;
        let shape = match self.day.shape {
            Shape::Steady => 1.0,
            Shape::Ramp => 0.5 + progress,
            Shape::Wave => 1.0 + (progress * 4.0 * std::f64::consts::PI).sin() / 3.0,
        };
        shape * self.active_trouble("burst", at).map_or(1.0, |t| t.size)
    }

    fn draw(&mut self) -> Vec<Arrival> {
        let day = self.day;
        let length = day.length.0 .0;
        let max_relative_rate =
            self.troubles.iter().filter(|t| t.kind == "burst").map(|t| t.size).fold(1.0, f64::max) * 1.5;
        let work_factors: Vec<_> = day.classes.iter().map(|c| unit_mean_lognormal(c.spread)).collect();
        let estimate_factors: Vec<_> =
            day.classes.iter().map(|c| c.estimate_error.and_then(unit_mean_lognormal)).collect();
        let table_groups = Zipf::new(day.habits.groups.max(1) as f64, day.habits.zipf.max(0.0)).ok();
        let (mut out, mut at) = (Vec::new(), 0.0);
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            at += gap / (day.rate * max_relative_rate) * 1e6;
            if at >= length as f64 {
                return out;
            }
            let at = at as i64;
            if self.rng.random::<f64>() * max_relative_rate > self.relative_rate(at) {
                continue;
            }
            out.push(self.draw_arrival(at, &work_factors, &estimate_factors, table_groups.as_ref()));
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn draw_arrival(
        &mut self,
        at: i64,
        work_factors: &[Option<LogNormal<f64>>],
        estimate_factors: &[Option<LogNormal<f64>>],
        table_groups: Option<&Zipf<f64>>,
    ) -> Arrival {
        let day = self.day;
        let mut shares: Vec<f64> = day.classes.iter().map(|c| c.share).collect();
        let heaviest = (0..shares.len()).max_by_key(|i| day.classes[*i].work).unwrap_or(0);
        let shift = self.troubles.iter().find(|t| t.kind == "shift" && t.from <= at);
        shares[heaviest] *= shift.map_or(1.0, |t| t.size);
        let class = choose_weighted(&mut self.rng, &shares);
        let c = &day.classes[class];
        let tenant = (!day.tenants.is_empty()).then(|| {
            let mut weights: Vec<f64> = day.tenants.iter().map(|t| t.share).collect();
            weights[0] *= self.active_trouble("tenant_burst", at).map_or(1.0, |t| t.size);
            choose_weighted(&mut self.rng, &weights)
        });
        let sample_or_one =
            |d: &Option<LogNormal<f64>>, rng: &mut Pcg64Mcg| d.as_ref().map_or(1.0, |d| d.sample(rng));
        let work_factor = sample_or_one(&work_factors[class], &mut self.rng);
        let mean = c.work.0 .0 as f64 / 1e6;
        let mut work = mean * work_factor.min(30.0);
        if let Some((multiple, share)) =
            self.active_trouble("heavy_tail", at).map(|t| (t.size, t.extra)).filter(|_| class == heaviest)
        {
            if self.rng.random::<f64>() < share {
                work *= multiple;
            }
        }
        let estimate_factor = sample_or_one(&estimate_factors[class], &mut self.rng);
        let drawn_group = table_groups.map_or(1.0, |z| z.sample(&mut self.rng)) as u64;
        let hot_key = self.active_trouble("hot_key", at).map(|t| (t.size, t.extra.round().max(1.0) as u64));
        let table_group = match hot_key {
            Some((share, groups)) if self.rng.random::<f64>() < share => self.rng.random_range(1..=groups),
            _ => drawn_group,
        };
        let key = (c.keys > 0).then(|| self.rng.random_range(0..c.keys));
        let timeout_fraction = {
            let [low, high] = day.habits.patience;
            if high > low {
                self.rng.random_range(low..high)
            } else {
                low
            }
        };
        let timeout_us = (c.deadline.0 .0 as f64 * timeout_fraction.clamp(0.01, 1.0)) as i64;
        let abandonment_probability =
            self.active_trouble("give_up", at).map_or(day.habits.leaves, |t| t.size);
        let (abandon_draw, delay_draw, cancel_draw): (f64, f64, f64) = self.rng.random();
        let abandonment = (abandon_draw < abandonment_probability)
            .then_some(((timeout_us as f64 * 0.5 * delay_draw * delay_draw) as i64, cancel_draw < 0.5));
        let controller_position = self.rng.random::<f64>();
        // All queries with one key go to the same controller, which keeps them in order. The factor, the golden ratio's
        // fractional part, spreads consecutive keys evenly over the controllers.
        let controller_position = key.map_or(controller_position, |k| (k as f64 * 0.618_033_988_75).fract());
        let hot_caller = self.active_trouble("hot_caller", at).map(|t| t.size);
        let controller_position =
            if key.is_none() && hot_caller.is_some_and(|share| self.rng.random::<f64>() < share) {
                0.0
            } else {
                controller_position
            };
        Arrival {
            at,
            class,
            tenant,
            controller_position,
            work,
            estimate: c.estimate_error.map(|_| work * estimate_factor),
            memory_mb: c.memory.map_or(0.0, |m| m.0 as f64 / 1_048_576.0) * work_factor.sqrt(),
            table_group,
            key,
            timeout_us,
            abandonment,
            honours_retry_after: self.rng.random::<f64>() < day.habits.honour,
        }
    }
}
