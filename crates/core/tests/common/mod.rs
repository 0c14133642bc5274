//! A gateway with a few engines, driven by hand.
#![allow(dead_code)]

use wheelfield::interface::*;
use wheelfield::Gateway;

/// A gateway under test and the time.
pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    next: u64,
}

/// A class with a 1 s aim and a 10 s deadline.
pub fn class(effect: ExecutionSemantics) -> Class {
    Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(10.0),
        value: 1.0,
        late_value_fraction: 0.5,
        semantics: effect,
        threads: 1.0,
        deduplication_window: Micros::from_secs_f64(5.0),
        ..Class::default()
    }
}

/// Settings with the given classes: one gateway, two kinds of engine with 8 cores, cancels, four attempts.
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

/// An engine that has long been up, in zone 0, kind 0 and a cell of its own.
pub fn engine(n: u64) -> EngineEntry {
    let (engine, status) = (EngineId(n), Status::Up);
    EngineEntry { engine, zone: 0, kind: 0, cell: n as i64, status, started_at: None }
}

impl Rig {
    pub fn new(settings: Settings, engines: Vec<EngineEntry>) -> Rig {
        let mut rig = Rig { gateway: Gateway::new(settings, 7), now: Micros::from_secs_f64(100.0), next: 0 };
        rig.tell(Event::Started);
        rig.tell(Event::EngineList(engines));
        rig
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        out
    }

    pub fn query(&mut self, class: usize) -> Query {
        self.next += 1;
        Query {
            id: QueryId(self.next),
            class,
            tenant: None,
            key: None,
            deadline: self.now + Micros::from_secs_f64(10.0),
            work_hint: Some(0.5),
            memory_hint: None,
            tables: 0,
        }
    }

    /// A query of a class comes in.
    pub fn arrive(&mut self, class: usize) -> (QueryId, Vec<Action>) {
        let query = self.query(class);
        (query.id, self.tell(Event::Arrived(query)))
    }

    pub fn end(&mut self, query: QueryId, attempt: usize, outcome: Outcome) -> Vec<Action> {
        self.end_with(query, attempt, outcome, Micros(500_000), LoadReport::default())
    }

    pub fn end_with(
        &mut self,
        query: QueryId,
        attempt: usize,
        outcome: Outcome,
        took: Micros,
        report: LoadReport,
    ) -> Vec<Action> {
        let last = outcome == Outcome::Served;
        self.tell(Event::AttemptEnded(AttemptEnd {
            query,
            attempt,
            outcome,
            query_over: last,
            elapsed: took,
            reported_work: None,
            report,
        }))
    }

    /// Lets so many quarter seconds pass, with the sweep at each.
    pub fn sweeps(&mut self, n: usize) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..n {
            self.now = self.now + Micros(250_000);
            out.extend(self.tell(Event::TimerFired(0)));
        }
        out
    }
}

/// Where the sends among some actions went.
pub fn sent(actions: &[Action]) -> Vec<EngineId> {
    let to = |a: &Action| if let Action::Send { engine, .. } = a { Some(*engine) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}

/// One repeatable class and so many gateways.
pub fn many(gateways: f64) -> Settings {
    Settings { gateway_count: gateways, ..settings(vec![class(ExecutionSemantics::Idempotent)]) }
}

/// So many engines that have long been up.
pub fn engines(n: u64) -> Vec<EngineEntry> {
    (1..=n).map(engine).collect()
}

/// Another gateway tells the same of the first `n` engines.
pub fn told(n: u64, report: LoadReport) -> Event {
    Event::PeerReports((1..=n).map(|e| PeerLoadReport { engine: EngineId(e), report }).collect())
}

/// How many of `n` queries, each served at once, go to the first engine.
pub fn draws_to_first(rig: &mut Rig, n: usize) -> usize {
    let mut draw = || {
        let (id, actions) = rig.arrive(0);
        let to = sent(&actions);
        rig.end(id, 0, Outcome::Served);
        to == [EngineId(1)]
    };
    (0..n).filter(|_| draw()).count()
}
