//! The state of one gateway, and the dispatch of each event to the part of the policy that handles it. The
//! decisions themselves are in [`crate::policy`].

use crate::interface::*;
use crate::policy::{self, EWMA_WEIGHT, PROBE_ROUND_DURATION, PROBE_ROUND_TOKEN, TICK_INTERVAL, TICK_TOKEN};
use crate::state::*;
use std::collections::BTreeMap;

/// The policy of one gateway with its state.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Gateway {
    pub(crate) settings: Settings,
    #[serde(with = "crate::state::rng")]
    pub(crate) rng: fastrand::Rng,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) queries: BTreeMap<QueryId, ActiveQuery>,
    pub(crate) classes: Vec<ClassEstimates>,
    pub(crate) keys: BTreeMap<String, KeyQueue>,
    pub(crate) retry_window: RetryWindow,
    pub(crate) admission: AdmissionRates,
    pub(crate) selections: SelectionRate,
    /// Moving average of this gateway's share of the threads that the engines report as running.
    pub(crate) own_share: f64,
    pub(crate) held: HeldQueries,
    pub(crate) ticks: u32,
    pub(crate) endpoint_list: EndpointListState,
    pub(crate) fleet_load: FleetLoad,
    pub(crate) conditions: FleetConditions,
    pub(crate) completions: Completions,
    pub(crate) query_errors: QueryErrors,
}

impl Gateway {
    /// Creates a gateway without any engines or queries. `seed` initializes its only random number generator.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.gateway_count = settings.gateway_count.max(1.0);
        Gateway {
            rng: fastrand::Rng::with_seed(seed),
            engines: BTreeMap::new(),
            queries: BTreeMap::new(),
            classes: settings.classes.iter().map(policy::initial_estimates).collect(),
            keys: BTreeMap::new(),
            retry_window: RetryWindow::default(),
            admission: AdmissionRates::default(),
            selections: SelectionRate::default(),
            own_share: 1.0 / settings.gateway_count,
            held: HeldQueries::default(),
            ticks: 0,
            endpoint_list: EndpointListState::default(),
            fleet_load: FleetLoad::default(),
            conditions: FleetConditions::default(),
            completions: Completions::default(),
            query_errors: QueryErrors::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Started => self.start(out),
            Event::EngineList(entries) => self.replace_endpoint_list(now, entries),
            Event::EngineChanges(entries) => self.update_endpoint_list(now, entries),
            Event::ListUnavailable => self.schedule_subscription(),
            Event::Arrived(query) => self.handle_arrival(now, query, out),
            Event::AnswerStarted(id) => self.mark_finished(id),
            Event::AttemptUpdated { query, attempt, update } => {
                self.handle_update(now, query, attempt, update);
            }
            Event::AttemptEnded(end) => self.handle_attempt_end(now, end, out),
            Event::Abandoned(id) => {
                self.mark_finished(id);
                self.cancel_attempts(now, id, out);
            }
            Event::ShutdownDeadline(id) => self.reject_or_fail(now, id, out),
            Event::ProbeEnded { engine, outcome, report } => {
                self.handle_probe_end(now, engine, outcome, report);
            }
            Event::PeerReports(reports) => self.record_peer_reports(now, reports),
            Event::GatewayCountChanged { count, index } => {
                (self.settings.gateway_count, self.settings.gateway_index) = (count.max(1.0), index);
            }
            Event::TimerFired(TICK_TOKEN) => self.tick(now, out),
            Event::TimerFired(PROBE_ROUND_TOKEN) => self.share_probe_round(now, out),
            Event::TimerFired(token) => self.resume_held_query(now, token, out),
        }
    }

    /// Whether it keeps state about an engine, which may have been removed.
    pub fn knows_engine(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    /// The number of engines about which it keeps state, including removed ones.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// The number of keys about which it keeps state: those with queries, and those in their cooldown.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { token: TICK_TOKEN, after: TICK_INTERVAL });
        if self.settings.subscribe {
            out.push(Action::Subscribe);
        }
    }

    pub(crate) fn mark_finished(&mut self, id: QueryId) {
        self.queries.entry(id).and_modify(|query| query.finished = true);
    }

    pub(crate) fn class_of(&self, query: &ActiveQuery) -> &Class {
        &self.settings.classes[query.query.class]
    }

    pub(crate) fn engines_up(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.engines.values().filter(|engine| engine.is_up())
    }

    /// Handles a complete endpoint list: engines that it lacks are marked as removed.
    pub(crate) fn replace_endpoint_list(&mut self, now: Micros, entries: Vec<EngineEntry>) {
        let listed = |engine: &Engine| entries.iter().any(|entry| entry.engine == engine.entry.engine);
        for engine in self.engines.values_mut().filter(|engine| !listed(engine)) {
            engine.entry.status = Status::Removed;
        }
        self.update_endpoint_list(now, entries);
    }

    pub(crate) fn subscribe_if_due(&mut self, out: &mut Vec<Action>) {
        if self.endpoint_list.subscribe_at_tick.take_if(|at| *at <= self.ticks).is_some() {
            out.push(Action::Subscribe);
        }
    }

    pub(crate) fn handle_probe_end(
        &mut self,
        now: Micros,
        id: EngineId,
        outcome: Outcome,
        report: LoadReport,
    ) {
        if let Some(engine) = self.engines.get_mut(&id).filter(|_| outcome == Outcome::Served) {
            self.fleet_load.record_report(now, report, engine, EWMA_WEIGHT);
        }
    }

    /// Shares the load reports of a probe round with the other gateways.
    pub(crate) fn share_probe_round(&mut self, now: Micros, out: &mut Vec<Action>) {
        let is_fresh = |at: Micros| now - at <= PROBE_ROUND_DURATION;
        let fresh = self.engines.values().filter(|e| e.latest_load.received_at.is_some_and(is_fresh));
        let report = |e: &Engine| PeerLoadReport { engine: e.entry.engine, report: e.latest_load.report };
        out.push(Action::ShareReports(fresh.map(report).collect()));
    }

    pub(crate) fn record_peer_reports(&mut self, now: Micros, reports: Vec<PeerLoadReport>) {
        for shared in reports {
            let Some(engine) = self.engines.get_mut(&shared.engine) else { continue };
            self.fleet_load.record_report(now, shared.report, engine, EWMA_WEIGHT);
        }
    }
}
