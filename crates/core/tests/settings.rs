//! Extreme settings and unexpected events: every query is answered, the rules hold and nothing panics.

mod common;
use common::*;
use wheelfield::interface::*;

/// Runs 200 queries to the end. Checks that each gets at most one final answer, and that a query without any
/// attempt in flight gets it at once.
fn run_queries(name: &str, s: Settings, engines: u64) {
    let mut harness = Harness::new(s, (1..=engines).map(engine).collect());
    let unknown = PeerLoadReport {
        engine: EngineId(999),
        report: LoadReport { in_flight: Some(0.0), ..LoadReport::default() },
    };
    harness.deliver(Event::PeerReports(vec![unknown]));
    let outcomes =
        [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::TimedOut];
    for i in 0..200usize {
        let (id, mut actions) = harness.arrive(0);
        let mut attempt = 0;
        while let [_] = sent_engines(&actions)[..] {
            assert!(
                sent_engines(&actions).iter().all(|e| (1..=engines).contains(&e.0)),
                "{name}: sent to an engine that was never listed"
            );
            actions = harness.end_attempt(id, attempt, outcomes[(i + attempt) % outcomes.len()]);
            attempt += 1;
            assert!(attempt <= 4, "{name}: more attempts than allowed");
        }
        let answers = rejections(&actions) + failures(&actions);
        let served = attempt > 0 && (i + attempt - 1).is_multiple_of(outcomes.len());
        assert_eq!(answers, usize::from(!served), "{name}: query {i}");
        if i.is_multiple_of(10) {
            harness.ticks(1);
        }
    }
    harness.deliver(Event::Abandoned(QueryId(u64::MAX)));
    harness.deliver(Event::TimerFired(77));
    harness.deliver(Event::EngineList(Vec::new()));
    assert_eq!(sent_engines(&harness.arrive(0).1), [], "{name}: sent to an engine that left the list");
}

#[test]
fn extreme_settings_answer_every_query_and_keep_the_rules() {
    let s = || settings(vec![class(ExecutionSemantics::Idempotent)]);
    let cases = [
        ("one gateway", Settings { gateway_count: 1.0, ..s() }, 5),
        ("no gateway count", Settings { gateway_count: 0.0, ..s() }, 5),
        ("a thousand gateways", Settings { gateway_count: 1000.0, gateway_index: 999.0, ..s() }, 5),
        ("one engine", Settings { gateway_count: 50.0, ..s() }, 1),
        ("no engine", s(), 0),
        ("an index beyond the count", Settings { gateway_count: 40.0, gateway_index: 4e9, ..s() }, 5),
        ("a negative index", Settings { gateway_count: 40.0, gateway_index: -3.0, ..s() }, 5),
        ("no progress updates", Settings { progress_interval: Micros(0), gateway_count: 90.0, ..s() }, 5),
        ("no cancellation", Settings { cancellation: false, gateway_count: 90.0, ..s() }, 5),
        ("no overload limit", Settings { overload_window: Micros(0), overload_multiple: 0.0, ..s() }, 5),
        ("no reports", Settings { load_reports: false, gateway_count: 90.0, ..s() }, 5),
        ("no utilisation in reports", Settings { reports_utilisation: false, gateway_count: 90.0, ..s() }, 5),
        ("no retry-after", Settings { max_retry_after: Micros(0), gateway_count: 90.0, ..s() }, 5),
        (
            "engines queue queries",
            Settings { queues_on_memory_shortage: true, gateway_count: 90.0, ..s() },
            5,
        ),
        ("priorities and grants", Settings { priorities: true, memory_grants: true, ..s() }, 5),
        (
            "nearly no optional features",
            Settings {
                load_reports: false,
                reports_utilisation: false,
                cancellation: false,
                progress_interval: Micros(0),
                max_retry_after: Micros(0),
                memory_mb: Vec::new(),
                gateway_count: 300.0,
                gateway_index: 299.0,
                ..s()
            },
            5,
        ),
        (
            "probes without a price",
            Settings { probes: true, reports_by_probe: true, peer_messages: true, ..s() },
            5,
        ),
        (
            "no cores or memory known",
            Settings { cores: Vec::new(), memory_mb: Vec::new(), pages_on_memory_shortage: true, ..s() },
            5,
        ),
    ];
    for (name, settings, engines) in cases {
        run_queries(name, settings, engines);
    }
    // Without any class a query fails at once.
    let mut harness = Harness::new(Settings::default(), vec![engine(1)]);
    assert_eq!(failures(&harness.arrive(0).1), 1);
    harness.ticks(8);
}
