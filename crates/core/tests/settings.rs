//! Settings and events at their edges: an answer to every query, the rules kept, nothing that panics.

mod common;
use common::*;
use wheelfield::interface::*;

/// Every query that came in gets at most one final answer, and one without anything out gets it at once.
fn drive(name: &str, s: Settings, engines: u64) {
    let mut rig = Rig::new(s, (1..=engines).map(engine).collect());
    let unknown = PeerLoadReport {
        engine: EngineId(999),
        report: LoadReport { in_flight: Some(0.0), ..LoadReport::default() },
    };
    rig.tell(Event::PeerReports(vec![unknown]));
    let outcomes =
        [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::TimedOut];
    for i in 0..200usize {
        let (id, mut actions) = rig.arrive(0);
        let mut attempt = 0;
        while let [_] = sent(&actions)[..] {
            assert!(
                sent(&actions).iter().all(|e| (1..=engines).contains(&e.0)),
                "{name}: an engine never listed"
            );
            actions = rig.end(id, attempt, outcomes[(i + attempt) % outcomes.len()]);
            attempt += 1;
            assert!(attempt <= 4, "{name}: more attempts than allowed");
        }
        let answers = refused(&actions) + failed(&actions);
        let served = attempt > 0 && (i + attempt - 1).is_multiple_of(outcomes.len());
        assert_eq!(answers, usize::from(!served), "{name}: query {i}");
        if i.is_multiple_of(10) {
            rig.sweeps(1);
        }
    }
    rig.tell(Event::Abandoned(QueryId(u64::MAX)));
    rig.tell(Event::TimerFired(77));
    rig.tell(Event::EngineList(Vec::new()));
    assert_eq!(sent(&rig.arrive(0).1), [], "{name}: sent to an engine that left the list");
}

#[test]
fn settings_at_their_edges_answer_plainly_and_keep_the_rules() {
    let s = || settings(vec![class(ExecutionSemantics::Idempotent)]);
    let table = [
        ("one gateway", Settings { gateway_count: 1.0, ..s() }, 5),
        ("no gateway count", Settings { gateway_count: 0.0, ..s() }, 5),
        ("a thousand gateways", Settings { gateway_count: 1000.0, gateway_index: 999.0, ..s() }, 5),
        ("one engine", Settings { gateway_count: 50.0, ..s() }, 1),
        ("no engine", s(), 0),
        ("an index beyond the count", Settings { gateway_count: 40.0, gateway_index: 4e9, ..s() }, 5),
        ("a negative index", Settings { gateway_count: 40.0, gateway_index: -3.0, ..s() }, 5),
        ("no notes", Settings { progress_interval: Micros(0), gateway_count: 90.0, ..s() }, 5),
        ("no cancel", Settings { cancellation: false, gateway_count: 90.0, ..s() }, 5),
        ("no cold figures", Settings { overload_window: Micros(0), overload_multiple: 0.0, ..s() }, 5),
        ("no reports", Settings { load_reports: false, gateway_count: 90.0, ..s() }, 5),
        ("no utilisation in reports", Settings { reports_utilisation: false, gateway_count: 90.0, ..s() }, 5),
        ("no retry-after", Settings { max_retry_after: Micros(0), gateway_count: 90.0, ..s() }, 5),
        (
            "queries wait for memory",
            Settings { queues_on_memory_shortage: true, gateway_count: 90.0, ..s() },
            5,
        ),
        ("priorities and grants", Settings { priorities: true, memory_grants: true, ..s() }, 5),
        (
            "hardly any signal or means",
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
            "probes without price",
            Settings { probes: true, reports_by_probe: true, peer_messages: true, ..s() },
            5,
        ),
        (
            "no cores known",
            Settings { cores: Vec::new(), memory_mb: Vec::new(), pages_on_memory_shortage: true, ..s() },
            5,
        ),
    ];
    for (name, settings, engines) in table {
        drive(name, settings, engines);
    }
    // Not even a class: the query is failed at once.
    let mut rig = Rig::new(Settings::default(), vec![engine(1)]);
    assert_eq!(failed(&rig.arrive(0).1), 1);
    rig.sweeps(8);
}
