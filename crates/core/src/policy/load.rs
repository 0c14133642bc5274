//! Load estimation: the load of an engine from its reports, their age and what was sent since, and the
//! work of queries.

use super::{EWMA_WEIGHT, PERIOD};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// Number of periods for which a load report has full weight. At low share (see
/// `FleetConditions::low_share`) the number depends on the report: a load below the mean expires soon,
/// since other gateways quickly use an idle engine; a load above the mean is trusted for longer, since
/// an overload usually outlasts its report.
const FULL_TRUST_PERIODS: f64 = 2.0;
const FULL_TRUST_PERIODS_IF_BELOW_MEAN: f64 = 0.5;
const FULL_TRUST_PERIODS_IF_ABOVE_MEAN: f64 = 5.0;
/// Maximum factor by which each query sent since the last report is counted.
const MAX_HERD_CORRECTION: f64 = 2.5;
/// Load from which an engine is busy.
const BUSY_LOAD: f64 = 1.0;
/// Threads per core from which an engine is busy where reports lack utilisation. It is above 1 because
/// each thread waits for the disks part of the time.
const BUSY_THREADS_PER_CORE: f64 = 2.5;
/// Load below which queries run without delay, so that their run time measures their work.
const NO_DELAY_LOAD: f64 = 0.8;
/// Utilisation of memory or disks from which an engine is overloaded. At low share the memory threshold
/// is lower, because reports arrive late.
const OVERLOAD_UTILISATION: f64 = 0.95;
const OVERLOAD_MEMORY_AT_LOW_SHARE: f64 = 0.8;
/// An engine whose mean slowdown exceeds its best one by this factor is overloaded.
const OVERLOAD_SLOWDOWN: f64 = 3.0;
/// Load assumed for a run that takes its estimated time, where engines report no load.
const LOAD_AT_ESTIMATED_RUN_TIME: f64 = 0.4;
/// Memory that an engine grants by default, as a multiple of the estimated need.
const DEFAULT_GRANT_FACTOR: f64 = 1.25;
/// Factor by which each served query decays the sums that estimate its class, and the number of samples
/// with which these sums start.
const ESTIMATE_DECAY: f64 = 0.99;
const INITIAL_SAMPLES: f64 = 4.0;
/// Largest slowdown of a single run that enters the mean, lower bound of the best slowdown, and the
/// fraction by which the best slowdown drifts toward a higher mean.
const MAX_SLOWDOWN: f64 = 20.0;
const MIN_BEST_SLOWDOWN: f64 = 0.1;
const BEST_SLOWDOWN_DRIFT: f64 = 0.002;

/// Initial estimates of a class: a query takes half of its latency objective on all its threads.
pub(crate) fn initial_estimates(class: &Class) -> ClassEstimates {
    let mean = (class.latency_objective.as_secs_f64() / 2.0 * class.threads).max(1e-3);
    let work = INITIAL_SAMPLES * mean;
    ClassEstimates { work, hints: work, count: INITIAL_SAMPLES, replans_succeeded: 0, replans_failed: 0 }
}

impl Gateway {
    /// Estimated load of an engine in threads per core: the report, weighted by its age, plus what was
    /// sent since.
    pub(crate) fn estimated_load(&self, engine: &Engine, now: Micros) -> f64 {
        let threads = engine.latest_load.report.threads_per_core(engine);
        let threads = self.age_weighted(engine, now, threads, self.fleet_load.mean_load);
        // An engine short of memory may have idle cores, so at low share its memory load counts as well.
        let low_share = self.conditions.low_share;
        let reported = if low_share { threads.max(self.memory_load(engine, now)) } else { threads };
        let sent_since = self.herd_correction() * engine.latest_load.threads_sent_since / engine.cores;
        (reported + sent_since).max(engine.in_flight.threads / engine.cores)
    }

    /// Estimated fraction of its memory that an engine has granted.
    pub(crate) fn memory_load(&self, engine: &Engine, now: Micros) -> f64 {
        self.age_weighted(engine, now, engine.latest_load.report.memory_granted, self.fleet_load.mean_memory)
    }

    /// A reported value, weighted with the mean over all engines by the age of the report. A gateway
    /// that rarely hears of an engine would otherwise take it for idle or, because of its own single
    /// query there, for full. Inaccurate where the engines differ widely.
    fn age_weighted(&self, engine: &Engine, now: Micros, reported: Option<f64>, mean: f64) -> f64 {
        let trust = |at: Option<Micros>, periods: f64| {
            let fresh = periods * PERIOD.as_secs_f64();
            at.map_or(0.0, |at| fresh / (now - at).as_secs_f64().max(fresh))
        };
        // The mean loses weight as well while this gateway has nothing in flight: a gateway that admits
        // no queries receives no reports.
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

    /// Factor by which to count each query that this gateway sent since a report. Many gateways acting
    /// on the same late report would overload an engine that it shows idle. The square root of 1 / own
    /// share lies between no correction and the assumption that all gateways choose alike. Inaccurate
    /// until the own share is learned.
    pub(crate) fn herd_correction(&self) -> f64 {
        let share = self.own_share.max(1.0 / self.settings.gateway_count);
        (1.0 / share).sqrt().min(MAX_HERD_CORRECTION)
    }

    /// Share of an engine's memory that a query will take: from its hint, else the mean of the queries
    /// that run there.
    pub(crate) fn memory_share(&self, query: &ActiveQuery, engine: &Engine) -> f64 {
        let threads = self.class_of(query).threads;
        let report = &engine.latest_load.report;
        match (query.query.memory_hint, report.memory_granted, report.in_flight) {
            (Some(mb), _, _) if engine.memory_mb > 0.0 => mb * DEFAULT_GRANT_FACTOR / engine.memory_mb,
            (_, Some(m), Some(n)) if n >= 1.0 => m / n * threads / engine.mean_threads(),
            _ => 0.0,
        }
    }

    /// Load from which an engine is busy, depending on what load reports contain.
    fn busy_load(&self) -> f64 {
        let threads_only = self.settings.load_reports && !self.settings.reports_utilisation;
        if threads_only {
            BUSY_THREADS_PER_CORE
        } else {
            BUSY_LOAD
        }
    }

    /// Whether an engine is overloaded, so that its work limit applies: its slowdown is far above its
    /// best, its report shows a high load, or it recently rejected a query as full. At low share a
    /// gateway has too few runs of its own to judge slowdown, so reports decide where there are any.
    pub(crate) fn is_overloaded(&self, engine: &Engine, now: Micros) -> bool {
        let report = engine.fresh_report(now);
        let is_over = |value: Option<f64>, limit: f64| value.is_some_and(|value| value >= limit);
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

    /// The work of an attempt: as reported, else its run time if its engine ran queries without delay.
    pub(crate) fn work_done(&self, now: Micros, end: &AttemptEnd, id: EngineId, threads: f64) -> Option<f64> {
        if self.settings.reports_work {
            return end.reported_work;
        }
        let undelayed = self.engines.get(&id).is_some_and(|e| self.estimated_load(e, now) < NO_DELAY_LOAD);
        undelayed.then_some(end.elapsed.as_secs_f64() * threads)
    }

    /// Where engines report no load, estimates the load from an update of an attempt and the time since
    /// it was sent.
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

    /// Updates this gateway's share of the running threads. A gateway that carries most of the traffic
    /// must not correct its load estimates for gateways that send nothing.
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
    /// Updates the estimates with a served query.
    pub(crate) fn learn(&mut self, hint: Option<f64>, work: f64) {
        self.work = self.work * ESTIMATE_DECAY + work;
        self.hints = self.hints * ESTIMATE_DECAY + hint.unwrap_or(work);
        self.count = self.count * ESTIMATE_DECAY + 1.0;
    }
}

impl FleetLoad {
    /// Where engines report no load, estimates the mean load from the slowdown of a run. Otherwise
    /// overloaded engines would seem idle, and their long run times would be taken for work. Inaccurate
    /// where work estimates are far off.
    pub(crate) fn infer_from_slowdown(&mut self, now: Micros, slowdown: f64) {
        self.mean_load +=
            EWMA_WEIGHT * (slowdown.min(OVERLOAD_SLOWDOWN) * LOAD_AT_ESTIMATED_RUN_TIME - self.mean_load);
        self.last_report_at = Some(now);
    }
}

impl Engine {
    /// The latest report, or an empty one if it is two periods old or older.
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
