//! A gateway with a few engines, driven event by event.
#![allow(dead_code)]

use wheelfield::interface::*;
use wheelfield::Gateway;

/// A gateway under test, and the current time.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    next_id: u64,
}

/// A class with a latency objective of 1 s and a deadline of 10 s.
pub fn class(execution_semantics: ExecutionSemantics) -> Class {
    Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(10.0),
        value: 1.0,
        late_value_fraction: 0.5,
        semantics: execution_semantics,
        threads: 1.0,
        deduplication_window: Micros::from_secs_f64(5.0),
        ..Class::default()
    }
}

/// Settings with the given classes: one gateway, two kinds of engine with 8 cores each, cancellation and up
/// to four attempts.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        gateway_count: 1.0,
        classes,
        cores: vec![8.0, 8.0],
        memory_mb: vec![1000.0, 1000.0],
        cancellation: true,
        load_reports: true,
        reports_utilisation: true,
        max_attempts: 4,
        progress_interval: Micros::from_secs_f64(1.0),
        max_retry_after: Micros::from_secs_f64(2.0),
        slow_start_initial_fraction: 0.4,
        slow_start_duration: Micros::from_secs_f64(10.0),
        overload_multiple: 2.0,
        overload_window: Micros::from_secs_f64(2.0),
        ..Settings::default()
    }
}

/// An engine that has been up for a long time, in zone 0, of kind 0 and in a cell of its own.
pub fn engine(n: u64) -> EngineEntry {
    let (engine, status) = (EngineId(n), Status::Up);
    EngineEntry { engine, zone: 0, kind: 0, cell: n as i64, status, started_at: None }
}

impl Harness {
    pub fn new(settings: Settings, engines: Vec<EngineEntry>) -> Harness {
        let mut harness =
            Harness { gateway: Gateway::new(settings, 7), now: Micros::from_secs_f64(100.0), next_id: 0 };
        harness.deliver(Event::Started);
        harness.deliver(Event::EngineList(engines));
        harness
    }

    /// A gateway that has been up for an overload window, so that no former process of it can have used its slow-start
    /// budgets. Engines of these numbers then start.
    pub fn with_starting_engines(settings: Settings, starting: &[u64], warm: Vec<EngineEntry>) -> Harness {
        let mut harness = Harness::new(settings.clone(), warm);
        harness.ticks((settings.overload_window.0 / 250_000) as usize);
        let started_at = Some(harness.now);
        let entries = starting.iter().map(|n| EngineEntry { started_at, ..engine(*n) }).collect();
        harness.deliver(Event::EngineChanges(entries));
        harness
    }

    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        out
    }

    pub fn new_query(&mut self, class: usize) -> Query {
        self.next_id += 1;
        Query {
            id: QueryId(self.next_id),
            class,
            tenant: None,
            key: None,
            deadline: self.now + Micros::from_secs_f64(10.0),
            work_hint: Some(0.5),
            memory_hint: None,
            tables: 0,
        }
    }

    /// Delivers the arrival of a query of a class.
    pub fn arrive(&mut self, class: usize) -> (QueryId, Vec<Action>) {
        let query = self.new_query(class);
        (query.id, self.deliver(Event::Arrived(query)))
    }

    pub fn end_attempt(&mut self, query: QueryId, attempt: usize, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_with(query, attempt, outcome, Micros(500_000), LoadReport::default())
    }

    pub fn end_attempt_with(
        &mut self,
        query: QueryId,
        attempt: usize,
        outcome: Outcome,
        run_time: Micros,
        report: LoadReport,
    ) -> Vec<Action> {
        let last = outcome == Outcome::Served;
        self.deliver(Event::AttemptEnded(AttemptEnd {
            query,
            attempt,
            outcome,
            query_over: last,
            elapsed: run_time,
            reported_work: None,
            report,
        }))
    }

    /// Advances the time by `n` ticks of 250 ms and delivers each tick.
    pub fn ticks(&mut self, n: usize) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..n {
            self.now = self.now + Micros(250_000);
            out.extend(self.deliver(Event::TimerFired(0)));
        }
        out
    }
}

/// The engines to which the actions send attempts.
pub fn sent_engines(actions: &[Action]) -> Vec<EngineId> {
    let to = |a: &Action| if let Action::Send { engine, .. } = a { Some(*engine) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

pub fn failures(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}

/// Settings with one idempotent class and this many gateways.
pub fn settings_with_gateways(count: f64) -> Settings {
    Settings { gateway_count: count, ..settings(vec![class(ExecutionSemantics::Idempotent)]) }
}

/// Engines 1 to `n`, all of which have been up for a long time.
pub fn engines(n: u64) -> Vec<EngineEntry> {
    (1..=n).map(engine).collect()
}

/// The event that another gateway shares the same report for each of the first `n` engines.
pub fn peer_reports(n: u64, report: LoadReport) -> Event {
    Event::PeerReports((1..=n).map(|e| PeerLoadReport { engine: EngineId(e), report }).collect())
}

/// How many of `n` queries, each served at once, are sent to the first engine.
pub fn selections_of_first(harness: &mut Harness, n: usize) -> usize {
    let mut draw = || {
        let (id, actions) = harness.arrive(0);
        let to = sent_engines(&actions);
        harness.end_attempt(id, 0, Outcome::Served);
        to == [EngineId(1)]
    };
    (0..n).filter(|_| draw()).count()
}
