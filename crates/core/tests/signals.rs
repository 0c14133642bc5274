//! Faults that occur where a deployment lacks a signal or a feature that others have.

mod common;
use common::*;
use wheelfield::interface::*;

/// Without progress updates attempts timed out after half of the remaining time. Where they could not be
/// cancelled, the engines kept running them, and the retries overloaded the engines.
#[test]
fn timeouts_are_shortened_only_with_cancellation_and_without_progress_updates() {
    for (can_cancel, interval, whole_deadline) in
        [(false, 0, true), (true, 0, false), (true, 1_000_000, true)]
    {
        let s = Settings {
            cancellation: can_cancel,
            progress_interval: Micros(interval),
            ..settings_with_gateways(1.0)
        };
        let (_, actions) = Harness::new(s, engines(3)).arrive(0);
        let has_whole_deadline = actions.iter().filter_map(|a| match a {
            Action::Send { timeout: attempt_timeout, .. } => Some(attempt_timeout.0 == 0),
            _ => None,
        });
        assert_eq!(
            has_whole_deadline.collect::<Vec<_>>(),
            [whole_deadline],
            "cancellation {can_cancel}, progress interval {interval}"
        );
    }
}

/// One query per core was taken for overload, although queries wait for the disks part of the time, and a
/// twentieth of a light load was rejected.
#[test]
fn one_query_per_core_is_no_overload_if_utilisation_is_not_reported() {
    let admitted = |in_flight: f64, reports_utilisation: bool| {
        let s = Settings { reports_utilisation, ..settings_with_gateways(200.0) };
        let mut harness = Harness::new(s, engines(30));
        let report = LoadReport { in_flight: Some(in_flight), ..LoadReport::default() };
        (0..30).for_each(|_| {
            harness.deliver(peer_reports(30, report));
        });
        (0..30).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count()
    };
    // With eight cores, 10 queries in flight are 1.25 threads per core and 24 are three.
    assert_eq!(admitted(10.0, false), 30);
    assert!(admitted(24.0, false) < 15, "{}", admitted(24.0, false));
    assert!(admitted(10.0, true) < 15, "{}", admitted(10.0, true));
}

/// Engines with twice their memory granted showed idle cores and were selected most. The memory load counts
/// whatever keeps the cores idle.
#[test]
fn an_engine_with_idle_cores_but_no_free_memory_is_rarely_selected() {
    let report = |utilisation, memory| LoadReport {
        utilisation: Some(utilisation),
        memory_granted: Some(memory),
        ..LoadReport::default()
    };
    let mut harness = Harness::new(settings_with_gateways(200.0), engines(2));
    let peer_report = |n, report| PeerLoadReport { engine: EngineId(n), report };
    harness.deliver(Event::PeerReports(vec![
        peer_report(1, report(0.3, 2.2)),
        peer_report(2, report(0.8, 0.6)),
    ]));
    let to_first = selections_of_first(&mut harness, 200);
    assert!(to_first < 20, "{to_first} of 200 sent to the engine without free memory");
}

/// When 300 gateways used reports that were seconds old, low loads were no longer true but overloads still
/// were. Where a share is below one query, reports of high load are trusted for longer.
#[test]
fn old_reports_of_high_load_count_longer_than_those_of_low_load() {
    let load = |u: f64| LoadReport { utilisation: Some(u), ..LoadReport::default() };
    let selections = |first: f64, rest: f64| {
        let mut harness = Harness::new(settings_with_gateways(200.0), engines(4));
        let peer_report = |n: u64, u| PeerLoadReport { engine: EngineId(n), report: load(u) };
        harness.deliver(Event::PeerReports(vec![peer_report(1, first)]));
        harness.now = harness.now + Micros::from_secs_f64(4.0);
        for i in 0..60 {
            let u = rest + f64::from(i) * 1e-6;
            harness.deliver(Event::PeerReports((2..=4).map(|n| peer_report(n, u)).collect()));
        }
        selections_of_first(&mut harness, 400)
    };
    // An even selection among four engines sends 100 to each. By the reports alone the idle engine would get
    // 300 and the busy one 10.
    let (idle, busy) = (selections(0.1, 0.5), selections(0.9, 0.3));
    assert!(
        (100..200).contains(&idle) && busy < 25,
        "{idle} sent to the engine once idle, {busy} to the one once busy"
    );
}

/// With most engines overloaded, all gateways sent their queries to the three that had just completed slow
/// start, and overloaded them as well. Where engines accept queries beyond their memory, the few engines that
/// are not overloaded get a limited part of the queries. Where engines queue queries, they are not slowed
/// down and take all.
#[test]
fn the_last_engines_that_are_not_overloaded_do_not_get_all_queries() {
    let admitted = |queues: bool, overloaded_engines: u64| {
        let mut harness = Harness::new(
            Settings { queues_on_memory_shortage: queues, ..settings_with_gateways(4000.0) },
            engines(30),
        );
        let low = LoadReport { utilisation: Some(0.5), memory_granted: Some(0.5), ..LoadReport::default() };
        let high = LoadReport { memory_granted: Some(2.0), ..low };
        let report = |n| if n <= overloaded_engines { high } else { low };
        harness.deliver(Event::PeerReports(
            (1..=30).map(|n| PeerLoadReport { engine: EngineId(n), report: report(n) }).collect(),
        ));
        let mut admit = || {
            let (id, actions) = harness.arrive(0);
            harness.end_attempt(id, 0, Outcome::Served);
            !sent_engines(&actions).is_empty()
        };
        (0..100).filter(|_| admit()).count()
    };
    let few = admitted(false, 27);
    assert!((1..20).contains(&few), "{few} of 100 sent to the last three engines");
    assert!(admitted(false, 5) > 70 && admitted(false, 0) == 100 && admitted(true, 27) == 100);
}

/// With few runs per gateway the mean run time was by chance three times the best one, and up to half of the
/// engines were avoided although their reports showed low load.
#[test]
fn a_few_slow_runs_are_no_overload_if_reports_show_low_load() {
    let admitted = |reports: bool| {
        let mut harness = Harness::new(
            Settings {
                load_reports: reports,
                queues_on_memory_shortage: true,
                ..settings_with_gateways(400.0)
            },
            engines(1),
        );
        let low = LoadReport { utilisation: Some(0.3), ..LoadReport::default() };
        let report = |harness: &mut Harness| {
            harness.deliver(Event::PeerReports(vec![PeerLoadReport { engine: EngineId(1), report: low }]))
        };
        for elapsed in [100_000, 100_000, 9_000_000, 9_000_000, 9_000_000] {
            report(&mut harness);
            let (id, _) = harness.arrive(0);
            harness.end_attempt_with(id, 0, Outcome::Served, Micros(elapsed), LoadReport::default());
        }
        (0..20).filter(|_| !sent_engines(&harness.arrive(0).1).is_empty()).count()
    };
    assert!(admitted(true) > 2 * admitted(false), "{} and {}", admitted(true), admitted(false));
}

/// Engines without load reports were taken for idle, and long run times on overloaded engines for the work of
/// the queries. The slowdown of the gateway's own runs is used as the mean load instead, whatever the cause
/// of the slowdown.
#[test]
fn without_reports_the_load_is_estimated_from_own_runs() {
    let rejected_after = |reports: bool, reported: AttemptUpdate| {
        let mut harness = Harness::new(
            Settings {
                load_reports: reports,
                queues_on_memory_shortage: true,
                ..settings_with_gateways(4000.0)
            },
            engines(30),
        );
        for _ in 0..25 {
            let (query, actions) = harness.arrive(0);
            harness.now = harness.now + Micros(500_000);
            if !sent_engines(&actions).is_empty() {
                harness.deliver(Event::AttemptUpdated { query, attempt: 0, update: reported });
                harness.deliver(Event::Abandoned(query));
                harness.end_attempt(query, 0, Outcome::Cancelled);
            }
        }
        (0..20).map(|_| rejections(&harness.arrive(0).1)).sum::<usize>()
    };
    // A query takes 0.5 s of work: half done after 0.5 s is a slowdown of 2, a twentieth done is one of 20.
    for (reported, overloaded) in [
        (AttemptUpdate::Progress(0.5), false),
        (AttemptUpdate::WaitsForLoad, false),
        (AttemptUpdate::Progress(0.05), true),
        (AttemptUpdate::WaitsForMemory, true),
        (AttemptUpdate::Spills(10.0), false),
    ] {
        let (without_reports, with_reports) =
            (rejected_after(false, reported), rejected_after(true, reported));
        assert_eq!(
            (without_reports > 10, with_reports),
            (overloaded, 0),
            "{reported:?}: {without_reports} rejected"
        );
    }
}

/// With three tenths of the pooled limit in use the fullest engines were overloaded, and attempts there could
/// not be cancelled. Where engines queue queries for memory, twice as much of the limit is safe.
#[test]
fn less_of_the_pooled_limit_is_used_if_engines_do_not_queue() {
    let admitted = |queues: bool| {
        let mut harness = Harness::new(
            Settings { queues_on_memory_shortage: queues, ..settings_with_gateways(200.0) },
            engines(30),
        );
        harness.deliver(peer_reports(30, LoadReport { utilisation: Some(1.5), ..LoadReport::default() }));
        let mut admit = || {
            let (id, actions) = harness.arrive(0);
            harness.end_attempt(id, 0, Outcome::Full);
            !sent_engines(&actions).is_empty()
        };
        (0..40).filter(|_| admit()).count()
    };
    let (without_queues, with_queues) = (admitted(false), admitted(true));
    assert!(
        without_queues > 0 && with_queues * 2 > without_queues * 3,
        "{without_queues} and {with_queues} of 40"
    );
}

#[test]
fn an_engine_resized_in_place_is_limited_by_its_new_cores() {
    // Number of queries admitted out of 400 that arrive at the same time.
    let admitted = |kinds: &[usize]| {
        let mut s = settings(vec![class(ExecutionSemantics::Idempotent)]);
        (s.cores, s.memory_mb) = (vec![16.0, 4.0], vec![0.0, 0.0]);
        let of = |kind: usize| EngineEntry { kind, ..engine(1) };
        let mut harness = Harness::new(s, vec![of(kinds[0])]);
        for kind in &kinds[1..] {
            harness.deliver(Event::EngineChanges(vec![of(*kind)]));
        }
        (0..400).map(|_| sent_engines(&harness.arrive(0).1).len()).sum::<usize>()
    };
    let (large, small) = (admitted(&[0]), admitted(&[1]));
    assert!(large >= 3 * small && small > 0, "{large} {small}");
    assert_eq!(admitted(&[0, 1]), small, "shrunk");
    assert_eq!(admitted(&[1, 0]), large, "grown");
    assert_eq!(admitted(&[0, 1, 0]), large, "shrunk and grown again");
}
