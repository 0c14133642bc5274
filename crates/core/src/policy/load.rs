//! Load estimation: how loaded an engine is by its reports, our sends since, and its age; what queries take.

use super::{EWMA_WEIGHT, PERIOD};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// A report counts in full for so many periods; below one query a share, if better or worse than the mean:
/// an idle engine is soon found by others, a jam outlasts its report.
const FULL_TRUST_PERIODS: f64 = 2.0;
const FULL_TRUST_PERIODS_IF_BELOW_MEAN: f64 = 0.5;
const FULL_TRUST_PERIODS_IF_ABOVE_MEAN: f64 = 5.0;
/// Each send since a report is counted at most so many times.
const MAX_HERD_CORRECTION: f64 = 2.5;
/// An engine whose report comes to this load is busy.
const BUSY_LOAD: f64 = 1.0;
/// Where utilisation is not reported, so many threads a core are busy: a part of each waits for the disks.
const BUSY_THREADS_PER_CORE: f64 = 2.5;
/// An engine below this load runs queries without delay: their run time is their work.
const NO_DELAY_LOAD: f64 = 0.8;
/// So much of the disks or memory is overload; less where a share is below one query, as reports come late.
const OVERLOAD_UTILISATION: f64 = 0.95;
const OVERLOAD_MEMORY_AT_LOW_SHARE: f64 = 0.8;
/// An engine this much slower than its best is overloaded.
const OVERLOAD_SLOWDOWN: f64 = 3.0;
/// The load that a run as long as its estimate stands for, where engines report nothing.
const LOAD_AT_ESTIMATED_RUN_TIME: f64 = 0.4;
/// What an engine grants by itself, over the estimated need.
const DEFAULT_GRANT_FACTOR: f64 = 1.25;
/// Each served query leaves so much of the sums that estimate its class; they start with so many samples.
const ESTIMATE_DECAY: f64 = 0.99;
const INITIAL_SAMPLES: f64 = 4.0;
/// The mean slowdown moves by no run above this; its best creeps toward it by this fraction.
const MAX_SLOWDOWN: f64 = 20.0;
const MIN_BEST_SLOWDOWN: f64 = 0.1;
const BEST_SLOWDOWN_DRIFT: f64 = 0.002;

/// Estimates of a class that has not run: half of its latency objective on all its threads.
pub(crate) fn initial_estimates(class: &Class) -> ClassEstimates {
    let mean = (class.latency_objective.as_secs_f64() / 2.0 * class.threads).max(1e-3);
    let work = INITIAL_SAMPLES * mean;
    ClassEstimates { work, hints: work, count: INITIAL_SAMPLES, replans_succeeded: 0, replans_failed: 0 }
}

impl Gateway {
    /// Threads a core: as reported, drawn toward the mean of all engines as the report ages, plus sent since.
    pub(crate) fn estimated_load(&self, engine: &Engine, now: Micros) -> f64 {
        let threads = engine.latest_load.report.threads_per_core(engine);
        let threads = self.age_weighted(engine, now, threads, self.fleet_load.mean_load);
        // Guards against taking a jammed engine for idle: its cores idle while what it holds lacks memory.
        let low_share = self.conditions.low_share;
        let reported = if low_share { threads.max(self.memory_load(engine, now)) } else { threads };
        let sent_since = self.herd_correction() * engine.latest_load.threads_sent_since / engine.cores;
        (reported + sent_since).max(engine.in_flight.threads / engine.cores)
    }

    /// The fraction of its memory that an engine has granted.
    pub(crate) fn memory_load(&self, engine: &Engine, now: Micros) -> f64 {
        self.age_weighted(engine, now, engine.latest_load.report.memory_granted, self.fleet_load.mean_memory)
    }

    /// A figure of an engine's report, which counts in full for some periods and ever less from then on; the
    /// rest is the mean over all engines. Guards against a gateway that hears of an engine too seldom taking
    /// it for idle or, by its own one query, for full. It may hurt where the engines differ much.
    fn age_weighted(&self, engine: &Engine, now: Micros, reported: Option<f64>, mean: f64) -> f64 {
        let trust = |at: Option<Micros>, periods: f64| {
            let fresh = periods * PERIOD.as_secs_f64();
            at.map_or(0.0, |at| fresh / (now - at).as_secs_f64().max(fresh))
        };
        // The mean fades too, when nothing of ours is out: a gateway that admits nothing hears nothing.
        let mean = mean * trust(self.fleet_load.last_report_at, FULL_TRUST_PERIODS);
        reported.map_or(mean, |reported| {
            let periods = match (self.conditions.low_share, reported < mean) {
                (false, _) => FULL_TRUST_PERIODS,
                (true, true) => FULL_TRUST_PERIODS_IF_BELOW_MEAN,
                (true, false) => FULL_TRUST_PERIODS_IF_ABOVE_MEAN,
            };
            mean + trust(engine.latest_load.received_at, periods) * (reported - mean)
        })
    }

    /// How many of each send since a report to count. Guards against synchronised choices on a late report:
    /// the root of 1 / our share of the work is between none and all alike. It may hurt till that is learned.
    pub(crate) fn herd_correction(&self) -> f64 {
        let share = self.own_share.max(1.0 / self.settings.gateway_count);
        (1.0 / share).sqrt().min(MAX_HERD_CORRECTION)
    }

    /// Share of an engine's memory that a query will take: its hint, else what the queries there take each.
    pub(crate) fn memory_share(&self, query: &ActiveQuery, engine: &Engine) -> f64 {
        let threads = self.class_of(query).threads;
        let report = &engine.latest_load.report;
        match (query.query.memory_hint, report.memory_granted, report.in_flight) {
            (Some(mb), _, _) if engine.memory_mb > 0.0 => mb * DEFAULT_GRANT_FACTOR / engine.memory_mb,
            (_, Some(m), Some(n)) if n >= 1.0 => m / n * threads / engine.mean_threads(),
            _ => 0.0,
        }
    }

    /// The load from which an engine is busy.
    fn busy_load(&self) -> f64 {
        let threads_only = self.settings.load_reports && !self.settings.reports_utilisation;
        if threads_only {
            BUSY_THREADS_PER_CORE
        } else {
            BUSY_LOAD
        }
    }

    /// Whether the limit binds: latency far above its best, a busy report, or a rejection as full. Of the few
    /// runs that a share below one query brings, best and mean are chance: there reports decide, if any.
    pub(crate) fn is_overloaded(&self, engine: &Engine, now: Micros) -> bool {
        let report = engine.fresh_report(now);
        let is_over = |figure: Option<f64>, limit: f64| figure.is_some_and(|figure| figure >= limit);
        let low_share = self.conditions.low_share;
        let memory_limit = if low_share { OVERLOAD_MEMORY_AT_LOW_SHARE } else { OVERLOAD_UTILISATION };
        let slow = engine.slowdown.mean > OVERLOAD_SLOWDOWN * engine.slowdown.best;
        (slow && !(low_share && self.settings.load_reports))
            || self.estimated_load(engine, now) >= self.busy_load()
            || is_over(report.queued, 1.0)
            || is_over(report.disk_utilisation, OVERLOAD_UTILISATION)
            || self.memory_load(engine, now) >= memory_limit
            || now - engine.full_backoff.until < PERIOD
    }

    pub(crate) fn mean_work(&self, class: usize) -> f64 {
        self.classes[class].work / self.classes[class].count
    }

    /// What an attempt took: as reported, else its run time on an engine that had no delay.
    pub(crate) fn work_done(&self, now: Micros, end: &AttemptEnd, id: EngineId, threads: f64) -> Option<f64> {
        if self.settings.reports_work {
            return end.reported_work;
        }
        let undelayed = self.engines.get(&id).is_some_and(|e| self.estimated_load(e, now) < NO_DELAY_LOAD);
        undelayed.then_some(end.elapsed.as_secs_f64() * threads)
    }

    /// Where engines report no load, what an update says of it, by the time since its attempt was sent.
    pub(crate) fn infer_load(
        &mut self,
        now: Micros,
        update: AttemptUpdate,
        elapsed: Micros,
        work: f64,
        threads: f64,
    ) {
        let slowdown = match update {
            _ if self.settings.load_reports => return,
            AttemptUpdate::Progress(progress) if progress > 0.0 => {
                elapsed.as_secs_f64() / progress * threads / work
            }
            AttemptUpdate::WaitsForMemory => OVERLOAD_SLOWDOWN,
            _ => return,
        };
        self.fleet_load.infer_from_slowdown(now, slowdown);
    }

    /// Our share of the threads that run: a gateway with most of the traffic must not take itself for many.
    pub(crate) fn update_own_share(&mut self, now: Micros) {
        let (mut own, mut all) = (0.0, 0.0);
        for engine in self.engines.values() {
            let Some(utilisation) = engine.fresh_report(now).utilisation else { continue };
            own += engine.in_flight.threads;
            all += engine.in_flight.threads.max(utilisation * engine.cores);
        }
        if all > 0.0 {
            self.own_share += EWMA_WEIGHT * (own / all - self.own_share);
        }
    }
}

impl ClassEstimates {
    /// Learns from a served query.
    pub(crate) fn learn(&mut self, hint: Option<f64>, work: f64) {
        self.work = self.work * ESTIMATE_DECAY + work;
        self.hints = self.hints * ESTIMATE_DECAY + hint.unwrap_or(work);
        self.count = self.count * ESTIMATE_DECAY + 1.0;
    }
}

impl FleetLoad {
    /// Where engines report nothing, the slowdown of our runs stands in for their mean load. Guards against
    /// taking jammed engines for idle, and their run times for work. It may hurt where estimates are far off.
    pub(crate) fn infer_from_slowdown(&mut self, now: Micros, slowdown: f64) {
        self.mean_load +=
            EWMA_WEIGHT * (slowdown.min(OVERLOAD_SLOWDOWN) * LOAD_AT_ESTIMATED_RUN_TIME - self.mean_load);
        self.last_report_at = Some(now);
    }
}

impl Engine {
    /// The last report, or an empty one once it is old.
    pub(crate) fn fresh_report(&self, now: Micros) -> LoadReport {
        let fresh = self.latest_load.received_at.filter(|at| now - *at < PERIOD + PERIOD);
        fresh.map_or(LoadReport::default(), |_| self.latest_load.report)
    }
}

impl Slowdown {
    pub(crate) fn record_run(&mut self, slowdown: f64) {
        self.mean += EWMA_WEIGHT * (slowdown.min(MAX_SLOWDOWN) - self.mean);
        if self.mean < self.best {
            self.best = self.mean.max(MIN_BEST_SLOWDOWN);
        } else {
            self.best += BEST_SLOWDOWN_DRIFT * (self.mean - self.best);
        }
    }
}
