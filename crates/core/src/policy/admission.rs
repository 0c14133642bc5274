//! Admission and routing: which engine a query is drawn to, by capacity over load, and whether it fits there.

use super::{PERIOD, PROBE_ROUND_TOKEN};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// Where engines page, memory granted and so many times a query's own stay below this: small ones go last.
pub(crate) const MAX_MEMORY_LOAD: f64 = 1.25;
const MEMORY_RESERVE_FACTOR: f64 = 2.0;
/// How old shared reports are, in periods, by the time that others have acted on them.
const REPORT_LAG_PERIODS: f64 = 0.5;
/// The preference of the draw for engines that have read a query's tables lately.
const RECENT_TABLES_WEIGHT: f64 = 3.0;
/// So many groups of tables are remembered of each engine.
const MAX_RECENT_TABLES: usize = 4;
/// Of the time after which engines close an idle connection, so much is relied on: we close ours before.
const RELIABLE_IDLE_FRACTION: f64 = 0.5;
/// An engine has headroom up to this many threads a core.
const HEADROOM_LOAD: f64 = 1.25;
/// Of many gateways so many at a time try an engine that was ejected.
const HALF_OPEN_GATEWAYS: f64 = 4.0;
/// Of the sum of many small limits so much is used, as the fullest engine jams; more if queries can wait.
const POOLED_LIMIT_FRACTION: f64 = 0.15;
const POOLED_LIMIT_FRACTION_IF_QUEUED: f64 = 0.3;
/// Of all draws, engines not overloaded take so many times the square of their part of the capacity: all
/// while few are overloaded, hardly any when most are.
const LIMIT_EXEMPT_FACTOR: f64 = 1.5;
/// A price of one stands for so many times the weight.
const PRICE_WEIGHT: f64 = 100.0;

impl Gateway {
    pub(crate) fn handle_arrival(&mut self, now: Micros, query: Query, out: &mut Vec<Action>) {
        let id = query.id;
        self.retry_window.arrivals.push_back(now);
        self.admission.arrivals += 1.0;
        let Some(class) = self.settings.classes.get(query.class) else {
            out.push(Action::Fail { query: id });
            return;
        };
        let estimates = &self.classes[query.class];
        let scaled = query.work_hint.map(|hint| hint * estimates.work / estimates.hints);
        let work = scaled.unwrap_or(self.mean_work(query.class));
        if let Some(key) = query.key.clone().filter(|_| class.ordered_by_key) {
            self.keys.entry(key).or_default().waiting.push_back(id);
        }
        self.queries.insert(id, ActiveQuery { query, work, attempts: Vec::new(), finished: false });
        self.admit(now, id, out);
    }

    /// Sends a query to an engine drawn among those it fits, or answers it at once.
    pub(crate) fn admit(&mut self, now: Micros, id: QueryId, out: &mut Vec<Action>) {
        let in_time = self.queries.get(&id).filter(|query| now < query.query.deadline);
        if let Some(at) = in_time.and_then(|query| self.waits_for_key_until(now, query)) {
            let token = self.held.hold(id, PROBE_ROUND_TOKEN);
            return out.push(Action::SetTimer { token, after: (at - now).max(Micros(0)) });
        }
        match self.select_engine(now, id) {
            Some(engine) if self.send(now, id, engine, out) => {}
            _ => self.reject_or_fail(now, id, out),
        }
    }

    /// d(t) + n <= d_t(k), asked only under overload, and never of the only query we have there.
    pub(crate) fn fits_work_limit(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        let conditions = &self.conditions;
        let alone = engine.is_idle() && !conditions.low_share;
        if self.settings.pages_on_memory_shortage && !alone && !self.fits_memory(now, query, engine) {
            return false;
        }
        let exempt =
            !self.is_overloaded(engine, now) && conditions.random_value < conditions.limit_exempt_fraction;
        // Guards against each gateway putting a query on each engine: the limits are one and admit by draw.
        let pooled =
            conditions.low_share && conditions.random_value * query.work <= conditions.limit_headroom;
        let below_limit = engine.in_flight.work + query.work <= engine.work_limit.limit;
        exempt || pooled || alone || (!conditions.low_share && below_limit)
    }

    /// Where a short engine pages, one query too many slows all that run there, and the limit on work is
    /// blind to memory. It may hurt where memory is granted but not used.
    fn fits_memory(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        let sent_since = self.herd_correction() * engine.latest_load.memory_sent_since;
        let wanted = sent_since + MEMORY_RESERVE_FACTOR * self.memory_share(query, engine);
        self.memory_load(engine, now) + wanted <= MAX_MEMORY_LOAD
    }

    /// Draws an engine for a query: among those that are trusted and fit; else among the ejected ones.
    pub(crate) fn select_engine(&mut self, now: Micros, id: QueryId) -> Option<EngineId> {
        self.selections.this_period += 1.0;
        self.assess_fleet(now);
        let query = self.queries.get(&id)?;
        let (mut trusted, mut ejected, mut any_trusted) = (Vec::new(), Vec::new(), false);
        for engine in self.engines.values() {
            if engine.full_backoff.until > now || !self.may_send(now, query, engine) {
                continue;
            }
            let is_ejected = self.is_ejected(now, engine);
            any_trusted |= !is_ejected;
            // With every engine ejected, each still gets one query at a time: another is no cure.
            let fits = if is_ejected { engine.is_idle() } else { self.fits_work_limit(now, query, engine) };
            if fits {
                let list = if is_ejected { &mut ejected } else { &mut trusted };
                list.push((engine.entry.engine, self.selection_weight(now, query, engine)));
            }
        }
        let weights = if any_trusted { trusted } else { ejected };
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.f64() * total;
        let selected = weights.iter().find(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        selected.or(weights.last()).map(|(engine, _)| *engine)
    }

    /// Whether an engine is ejected, or on trial with its one query sent or not our turn to send it.
    fn is_ejected(&self, now: Micros, engine: &Engine) -> bool {
        // Guards against many gateways all trying an engine that fails: of these each waits its turn.
        let waits = self.conditions.low_share && !self.owns_slot(engine, now, HALF_OPEN_GATEWAYS);
        let trial_sent = now - engine.connections.last_sent_at < PERIOD;
        engine.outlier.ejected_until > now || (engine.outlier.half_open && (waits || trial_sent))
    }

    /// Assesses what a query is weighed by beyond its engine: the draw, the sum of all limits, all headroom.
    fn assess_fleet(&mut self, now: Micros) {
        let heaviest_work = self.classes.iter().map(|class| class.work / class.count).fold(0.0, f64::max);
        let low_share = self.engines_up().any(|engine| engine.work_limit.initial < heaviest_work);
        let queues = self.settings.queues_on_memory_shortage;
        let pooled_fraction = if queues { POOLED_LIMIT_FRACTION_IF_QUEUED } else { POOLED_LIMIT_FRACTION };
        let limit_headroom =
            self.engines_up().map(|e| pooled_fraction * e.work_limit.limit - e.in_flight.work).sum();
        // What comes meanwhile: what the engines can end or, in a storm of retries, our draws everywhere.
        let completing_threads =
            self.completions.threads * self.engines_up().map(|engine| engine.cores).sum::<f64>();
        let expected_threads = completing_threads
            .max(self.selections.mean * self.settings.gateway_count * self.completions.queries);
        let shares = self.settings.peer_messages && self.settings.reports_by_probe;
        let reports_shared = shares && low_share && expected_threads > 0.0;
        let limit_exempt_fraction = match (reports_shared, low_share) {
            (true, _) => {
                self.engines_up().map(|e| e.cores * self.headroom(e, now)).sum::<f64>() / expected_threads
            }
            (_, true) if !queues => self.limit_exempt_fraction(now),
            _ => 1.0,
        };
        let random_value = self.rng.f64();
        self.conditions = FleetConditions {
            low_share,
            reports_shared,
            heaviest_work,
            limit_headroom,
            limit_exempt_fraction,
            random_value,
        };
    }

    /// The fraction of draws that engines take that are neither full nor overloaded.
    fn limit_exempt_fraction(&self, now: Micros) -> f64 {
        let capacity = |sum: f64, e: &Engine| sum + e.cores * self.warmup_fraction(e, now);
        let is_available =
            |engine: &&Engine| engine.full_backoff.until <= now && !self.is_overloaded(engine, now);
        let available = self.engines_up().filter(is_available).fold(0.0, capacity);
        let available_fraction = available / self.engines_up().fold(0.0, capacity).max(1e-6);
        LIMIT_EXEMPT_FACTOR * available_fraction * available_fraction
    }

    /// Threads a core that an engine has headroom for while reports are acted on: what is free, and what ends
    /// then. Guards against synchronised choices where many gateways share reports: they draw by headroom,
    /// and where all of it is less than what comes, the rest of the draws must fit the limit.
    fn headroom(&self, engine: &Engine, now: Micros) -> f64 {
        let load = self.estimated_load(engine, now);
        (HEADROOM_LOAD - load + load.min(1.0) * self.completions.threads).max(0.0)
    }

    /// The weight in the draw: capacity over load, preferring the own zone and engines that read its tables.
    fn selection_weight(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> f64 {
        let warmup = self.warmup_fraction(engine, now);
        let capacity = engine.cores * warmup;
        let load = self.estimated_load(engine, now) / warmup;
        let by_headroom = self.conditions.reports_shared;
        let load_factor = if by_headroom { self.headroom(engine, now) } else { (0.1 + load).powi(-3) };
        let mut weight = capacity * load_factor / (engine.slowdown.mean / engine.slowdown.best).max(0.5);
        weight *= (1.0 - engine.outlier.failure_rate).powi(4);
        let slow_start = self.slow_start_budget(now, engine);
        weight *= slow_start.as_ref().map_or(1.0, |budget| budget.weight_multiplier);
        if self.settings.zone.is_some_and(|zone| zone != engine.entry.zone) {
            weight /= 1.0 + PRICE_WEIGHT * self.settings.cross_zone_price;
        }
        // Guards against a handshake for each query where many gateways see little traffic each: all pay for
        // it, and engines busy with it are late. In slow start none can be idle yet: these must not starve.
        if slow_start.is_none() && !self.has_idle_connection(engine, now) {
            weight /= 1.0 + PRICE_WEIGHT * self.settings.handshake_price;
        }
        if !self.class_of(query).is_load && engine.recent_tables.contains(&query.query.tables) {
            weight *= RECENT_TABLES_WEIGHT;
        }
        weight.max(1e-9)
    }

    /// Whether we have an idle connection to an engine: more attempts were in flight lately than are now.
    fn has_idle_connection(&self, engine: &Engine, now: Micros) -> bool {
        engine.in_flight.attempts.len() < engine.connections.peak_open
            && !self.connections_expired(engine, now)
    }

    /// Whether all our connections to an engine have been closed, as none was used for too long.
    pub(crate) fn connections_expired(&self, engine: &Engine, now: Micros) -> bool {
        let idle = (now - engine.connections.last_sent_at).as_secs_f64();
        idle > RELIABLE_IDLE_FRACTION * self.settings.connection_idle_timeout.as_secs_f64()
    }

    /// What ends on a busy core before the others have acted on a report, by the classes' estimates.
    pub(crate) fn estimate_completions(&mut self) {
        let all = ClassEstimates::total(&self.settings.classes, &self.classes);
        self.completions.threads =
            REPORT_LAG_PERIODS * PERIOD.as_secs_f64() * all.threads / all.work.max(1e-9);
        self.completions.queries = REPORT_LAG_PERIODS * all.threads / all.count.max(1e-9);
    }
}

impl Engine {
    pub(crate) fn remember_tables(&mut self, tables: u64) {
        self.recent_tables.retain(|known| *known != tables);
        self.recent_tables.push_front(tables);
        self.recent_tables.truncate(MAX_RECENT_TABLES);
    }
}
