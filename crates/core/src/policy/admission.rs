//! Admission and routing: selects an engine for each query by its free capacity and checks that the
//! query fits its limits.

use super::{PERIOD, PROBE_ROUND_TOKEN};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::*;

/// Limit on an engine's memory load where engines page when short of memory. A query is admitted only if
/// the load plus `MEMORY_RESERVE_FACTOR` times its own need stays within it, so that small queries are
/// still admitted when memory is nearly used up.
pub(crate) const MAX_MEMORY_LOAD: f64 = 1.25;
const MEMORY_RESERVE_FACTOR: f64 = 2.0;
/// Age of a shared load report, in periods, by the time other gateways have acted on it.
const REPORT_LAG_PERIODS: f64 = 0.5;
/// Factor on the selection weight of an engine that has recently read the tables of the query.
const RECENT_TABLES_WEIGHT: f64 = 3.0;
/// Number of recently read table groups remembered for each engine.
const MAX_RECENT_TABLES: usize = 4;
/// Fraction of the engines' idle timeout during which an idle connection is taken to be open. A
/// connection that was idle for longer is treated as closed, because the engine may close it at any
/// moment.
const RELIABLE_IDLE_FRACTION: f64 = 0.5;
/// Load in threads per core up to which an engine has headroom.
const HEADROOM_LOAD: f64 = 1.25;
/// Number of gateways that may send queries to a half-open engine at the same time, where many gateways
/// share it.
const HALF_OPEN_GATEWAYS: f64 = 4.0;
/// Fraction of the sum of all work limits that is used at low share (see
/// [`FleetConditions::low_share`]). The limits are pooled there, and using all of them would overload
/// the fullest engine; where engines queue queries that are short of memory, a larger fraction is safe.
const POOLED_LIMIT_FRACTION: f64 = 0.15;
const POOLED_LIMIT_FRACTION_IF_QUEUED: f64 = 0.3;
/// The fraction of queries that are exempt from the work limits at low share is this factor times the
/// square of the fraction of the capacity that is not overloaded: all queries while few engines are
/// overloaded, almost none when most are.
const LIMIT_EXEMPT_FACTOR: f64 = 1.5;
/// A price of 1 divides the selection weight of an engine by 1 plus this factor.
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

    /// Sends a query to a selected engine that it fits, or else answers it at once. A query that has to
    /// wait for its key is held instead.
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

    /// Whether a query fits the work limit of an engine: d(t) + n <= d_t(k) in the notation of the
    /// paper. The limit applies only while the engine is overloaded, and never to the only query that
    /// this gateway has there.
    pub(crate) fn fits_work_limit(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        let conditions = &self.conditions;
        let is_only_query = engine.is_idle() && !conditions.low_share;
        if self.settings.pages_on_memory_shortage && !is_only_query && !self.fits_memory(now, query, engine) {
            return false;
        }
        let exempt =
            !self.is_overloaded(engine, now) && conditions.random_value < conditions.limit_exempt_fraction;
        // Prevents every gateway from placing one query on every engine when there are many gateways: at
        // low share the limits are pooled, and a random value decides which queries the pool admits.
        let pooled =
            conditions.low_share && conditions.random_value * query.work <= conditions.limit_headroom;
        let below_limit = engine.in_flight.work + query.work <= engine.work_limit.limit;
        exempt || pooled || is_only_query || (!conditions.low_share && below_limit)
    }

    /// Whether the memory of an engine has room for a query. On an engine that pages, one query too many
    /// slows down all others, and the work limit does not account for memory. Where memory is granted
    /// but not used, this check rejects more than necessary.
    fn fits_memory(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        let sent_since = self.herd_correction() * engine.latest_load.memory_sent_since;
        let wanted = sent_since + MEMORY_RESERVE_FACTOR * self.memory_share(query, engine);
        self.memory_load(engine, now) + wanted <= MAX_MEMORY_LOAD
    }

    /// Selects an engine for a query by weighted random selection among the engines that are not ejected
    /// and that it fits. Only if all engines are ejected does it select among those.
    pub(crate) fn select_engine(&mut self, now: Micros, id: QueryId) -> Option<EngineId> {
        self.selections.this_period += 1.0;
        self.assess_fleet(now);
        let query = self.queries.get(&id)?;
        let (mut available, mut ejected, mut any_available) = (Vec::new(), Vec::new(), false);
        for engine in self.engines.values() {
            if engine.full_backoff.until > now || !self.may_send(now, query, engine) {
                continue;
            }
            let is_ejected = self.is_ejected(now, engine);
            any_available |= !is_ejected;
            // When every engine is ejected, no other engine is better, so each one gets one query at a
            // time.
            let fits = if is_ejected { engine.is_idle() } else { self.fits_work_limit(now, query, engine) };
            if fits {
                let list = if is_ejected { &mut ejected } else { &mut available };
                list.push((engine.entry.engine, self.selection_weight(now, query, engine)));
            }
        }
        let weights = if any_available { available } else { ejected };
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.f64() * total;
        let selected = weights.iter().find(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        selected.or(weights.last()).map(|(engine, _)| *engine)
    }

    /// Whether an engine is ejected, or is half-open and this gateway may not send it a query now:
    /// either it sent one within this period, or it is the turn of other gateways.
    fn is_ejected(&self, now: Micros, engine: &Engine) -> bool {
        // With many gateways, only a few at a time may try a failing engine, so that they do not all
        // send to it at once.
        let other_gateways_turn =
            self.conditions.low_share && !self.owns_slot(engine, now, HALF_OPEN_GATEWAYS);
        let sent_recently = now - engine.connections.last_sent_at < PERIOD;
        engine.outlier.ejected_until > now
            || (engine.outlier.half_open && (other_gateways_turn || sent_recently))
    }

    /// Updates the conditions that apply to all engines: whether this gateway's share is low, the pooled
    /// headroom of the work limits, the fraction of queries exempt from the limits, and the random value
    /// of this query.
    fn assess_fleet(&mut self, now: Micros) {
        let heaviest_work = self.classes.iter().map(|class| class.work / class.count).fold(0.0, f64::max);
        let low_share = self.engines_up().any(|engine| engine.work_limit.initial < heaviest_work);
        let queues = self.settings.queues_on_memory_shortage;
        let pooled_fraction = if queues { POOLED_LIMIT_FRACTION_IF_QUEUED } else { POOLED_LIMIT_FRACTION };
        let limit_headroom =
            self.engines_up().map(|e| pooled_fraction * e.work_limit.limit - e.in_flight.work).sum();
        // Threads expected to arrive during the report lag: as many as the engines can complete or, if
        // retries multiply the arrivals, the selections of all gateways.
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

    /// The fraction of queries that are exempt from the work limits, from the fraction of the capacity
    /// whose engines are neither overloaded nor in backoff.
    fn limit_exempt_fraction(&self, now: Micros) -> f64 {
        let capacity = |sum: f64, e: &Engine| sum + e.cores * self.warmup_fraction(e, now);
        let is_available =
            |engine: &&Engine| engine.full_backoff.until <= now && !self.is_overloaded(engine, now);
        let available = self.engines_up().filter(is_available).fold(0.0, capacity);
        let available_fraction = available / self.engines_up().fold(0.0, capacity).max(1e-6);
        LIMIT_EXEMPT_FACTOR * available_fraction * available_fraction
    }

    /// Headroom of an engine in threads per core: its unused capacity plus what completes during the
    /// report lag. Gateways that share load reports select engines by this headroom, so that they do not
    /// all choose the same idle engine; if all headroom is less than the expected arrivals, the
    /// remaining queries have to fit the work limits.
    fn headroom(&self, engine: &Engine, now: Micros) -> f64 {
        let load = self.estimated_load(engine, now);
        (HEADROOM_LOAD - load + load.min(1.0) * self.completions.threads).max(0.0)
    }

    /// Weight of an engine in the selection: its capacity, reduced by load, slowdown and failures.
    /// Engines in the gateway's own zone and engines that recently read the query's tables get a larger
    /// weight.
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
        // Avoids a handshake for every query where many gateways send little traffic each: handshakes
        // have a cost, and they delay queries on busy engines. An engine in slow start has no idle
        // connections yet, so it is not penalized; otherwise it would get no queries.
        if slow_start.is_none() && !self.has_idle_connection(engine, now) {
            weight /= 1.0 + PRICE_WEIGHT * self.settings.handshake_price;
        }
        if !self.class_of(query).is_load && engine.recent_tables.contains(&query.query.tables) {
            weight *= RECENT_TABLES_WEIGHT;
        }
        weight.max(1e-9)
    }

    /// Whether this gateway has an idle connection to an engine: fewer attempts are in flight than there
    /// are open connections.
    fn has_idle_connection(&self, engine: &Engine, now: Micros) -> bool {
        engine.in_flight.attempts.len() < engine.connections.peak_open
            && !self.connections_expired(engine, now)
    }

    /// Whether all connections to an engine have been idle for too long and are taken to be closed.
    pub(crate) fn connections_expired(&self, engine: &Engine, now: Micros) -> bool {
        let idle = (now - engine.connections.last_sent_at).as_secs_f64();
        idle > RELIABLE_IDLE_FRACTION * self.settings.connection_idle_timeout.as_secs_f64()
    }

    /// Estimates, from the work of the classes, how much completes on a busy core during the report lag.
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
