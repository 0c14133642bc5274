//! Fleets of real processes, with faults on the links between them or faults injected into the
//! controllers, which the membership check must find. No test here depends on how soon something
//! happens.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use std::net::SocketAddr;
use wheelfield_gossip::MembershipChange;
use wheelfield_invariants::ProcessLifetime;
use wheelfield_network_faults::{Fault, FaultSchedule, NodeSet, ScheduledFault};
use wheelfield_testbed::day::Day;
use wheelfield_testbed::fleet::judge::{
    parse_log_line, MembershipEvent, MembershipHistory, MembershipLogEntry,
};
use wheelfield_testbed::fleet::script;
use wheelfield_testbed::play::{play, play_virtual, FleetReport, Options, Report};
use wheelfield_testbed::virtual_time::policy::Policy;

fn day(text: &str) -> Day {
    Day::parse("fleet", &script::with_default_tables(text)).unwrap_or_else(|error| panic!("{error}"))
}

fn short_fleet() -> Day {
    day(include_str!("../fleets/short.toml"))
}

fn run_short_fleet(fault: Option<&str>) -> (Report, FleetReport) {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let options = Options {
        seed: 1,
        dir: dir.path().to_path_buf(),
        plant: fault.map(str::to_string),
        log_level: "warn".into(),
        quiet: true,
        ..Options::default()
    };
    let report = play(&short_fleet(), &options).unwrap_or_else(|error| panic!("{error:#}"));
    let fleet = report.fleet.clone().expect("a report of the fleet");
    (report, fleet)
}

#[test]
fn a_fleet_survives_short_link_faults() {
    let (report, fleet) = run_short_fleet(None);
    assert!(report.kept(), "{:?} {fleet:?}", report.breaches);
    // The faults took effect.
    assert!(fleet.hurt > 50 && fleet.verdict.declared_dead_unreachable > 0, "{fleet:?}");
    assert!(report.served > 300, "{report:?}");
}

#[test]
fn injected_membership_faults_are_found() {
    for fault in ["sink", "goodbye"] {
        let (report, fleet) = run_short_fleet(Some(fault));
        assert!(!fleet.verdict.undercounts.is_empty() && !report.kept(), "{fault}: {fleet:?}");
    }
    let (report, fleet) = run_short_fleet(Some("number"));
    assert!(!fleet.agreed && !report.kept(), "{fleet:?}");
}

#[test]
fn a_fleet_in_virtual_time_is_deterministic() {
    let first = play_virtual(&short_fleet(), 1, Policy::Module).expect("a valid day");
    let second = play_virtual(&short_fleet(), 1, Policy::Module).expect("a valid day");
    assert!(first.0.kept(), "{:?}", first.0.breaches);
    assert_eq!((first.1.events, first.1.datagrams_sent), (second.1.events, second.1.datagrams_sent));
    let without_faults = Day { roads: Vec::new(), ..short_fleet() };
    let faultless_run = play_virtual(&without_faults, 1, Policy::Module).expect("a valid day");
    assert_ne!(first.1.datagrams_sent, faultless_run.1.datagrams_sent, "the link faults changed nothing");
}

#[test]
fn an_invalid_link_fault_is_reported_with_its_line() {
    let script_with = |link_fault: &str| {
        format!("name = \"x\"\nlength = \"5s\"\nrate = 1\nengines = 1\ncontrollers = 4\n\n[[roads]]\nat = \"1s\"\nfor = \"2s\"\n{link_fault}\n")
    };
    for (link_fault, expected) in [
        ("", "has no fault"),
        ("loss = 1.5", "not a probability"),
        ("cut = true\nfrom = \"0-4\"", "not among the controllers"),
        ("cut = true\nfrom = \"a\"", "not a controller number"),
        ("cut = true\nto = \"120%\"", "not between 0% and 100%"),
        ("cut = true\nevery = \"1s\"", "shorter than"),
        ("cut = true\ntimes = 3", "needs `every`"),
    ] {
        let error =
            Day::parse("x", &script::with_default_tables(&script_with(link_fault))).expect_err(link_fault);
        assert!(
            error.to_string().contains("x:7") && error.to_string().contains(expected),
            "{link_fault}: {error}"
        );
    }
}

#[test]
fn every_built_in_fleet_is_valid_and_deterministic_by_seed() {
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/fleets")).expect("the fleets") {
        let path = file.expect("a directory entry").path();
        if path.ends_with("usual.toml") {
            continue;
        }
        let day = day(&std::fs::read_to_string(&path).expect("a readable file"));
        assert!(!day.roads.is_empty() && day.registry.gossip, "{path:?}");
        assert_eq!(day.timetable(3), day.timetable(3));
    }
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + n))
}

/// Checks these log entries for three controllers. The first is paused from 40 to 50, the link from
/// the second to the third is blocked from 60 to 70, and the third is killed at 100.
fn check(events: &[(i64, usize, MembershipEvent)]) -> wheelfield_testbed::fleet::judge::Verdict {
    let lifetime = |controller, killed_at, stalls| ProcessLifetime {
        controller,
        started_at: 0,
        ended_at: killed_at,
        stalls,
        begins_mid_run: false,
    };
    let lifetimes =
        [lifetime(0, None, vec![(40, 50)]), lifetime(1, None, vec![]), lifetime(2, Some(100), vec![])];
    let addresses: Vec<SocketAddr> = (0..3).map(address).collect();
    let fault = Fault { blocked: true, ..Fault::default() };
    let only = |n: usize| NodeSet::Only([n].into());
    let blocked_link = ScheduledFault {
        fault,
        from: only(1),
        to: only(2),
        bidirectional: false,
        starts_at: 60,
        duration: 10,
        period: 0,
        repetitions: 1,
    };
    let link_faults = FaultSchedule(vec![blocked_link]);
    let entries: Vec<MembershipLogEntry> = events
        .iter()
        .map(|(at, by, event)| MembershipLogEntry { at: *at, by: *by, event: event.clone() })
        .collect();
    MembershipHistory {
        addresses: &addresses,
        lifetimes: &lifetimes,
        fault_schedule: &link_faults,
        starts_at: 0,
        ends_at: 1_000,
    }
    .judge(&entries, 5)
}

#[test]
fn the_membership_check_finds_false_beliefs() {
    let count_in_use = |count| MembershipEvent::CountInUse { count, index: 0 };
    let declared_dead = |n| MembershipEvent::Member(address(n), MembershipChange::DeclaredDead);
    assert!(
        check(&[(10, 0, count_in_use(3)), (150, 0, count_in_use(2)), (160, 0, declared_dead(2))]).passed()
    );
    assert_eq!(check(&[(10, 0, count_in_use(2))]).undercounts.len(), 1, "three are running");
    assert_eq!(check(&[(150, 1, count_in_use(1))]).undercounts.len(), 1, "two are running");
    assert_eq!(check(&[(10, 0, count_in_use(4))]).overcounts.len(), 1);
    assert_eq!(
        check(&[(20, 1, declared_dead(0))]).declared_dead_reachable.len(),
        1,
        "it runs and can be heard"
    );
    let unreachable = check(&[
        (45, 1, declared_dead(0)),
        (54, 1, declared_dead(0)),
        (65, 1, declared_dead(2)),
        (65, 2, declared_dead(1)),
    ]);
    assert_eq!(
        (unreachable.declared_dead_unreachable, unreachable.declared_dead_reachable.len()),
        (4, 0),
        "paused, or behind a blocked link"
    );
    assert_eq!(
        check(&[(56, 1, declared_dead(0)), (80, 1, declared_dead(2))]).declared_dead_reachable.len(),
        2,
        "the pause and the blocked link are over"
    );
    let detected = check(&[(160, 0, declared_dead(2)), (140, 1, declared_dead(2))]);
    assert_eq!(
        (detected.deaths, detected.detection_max_ms),
        (1, 0.04),
        "the first to declare it dead counts"
    );
}

#[test]
fn membership_log_lines_are_parsed() {
    let line = r#"{"timestamp":"2026-12-01T00:00:01.500000Z","level":"INFO","message":"member: given up","member":"127.0.0.1:1002","by":"127.0.0.1:1001","target":"x"}"#;
    let Some(MembershipLogEntry {
        at: time,
        by: 7,
        event: MembershipEvent::Member(member, MembershipChange::DeclaredDead),
    }) = parse_log_line(7, line)
    else {
        panic!("the line was not parsed")
    };
    assert_eq!((time % 60_000_000, member), (1_500_000, address(2)));
    let count = r#"{"timestamp":"2026-12-01T00:00:01Z","message":"controllers","count":5,"index":2,"alive":4,"settled":true}"#;
    assert_eq!(
        parse_log_line(0, count).map(|l| l.event),
        Some(MembershipEvent::CountInUse { count: 5, index: 2 })
    );
    assert_eq!(parse_log_line(0, r#"{"timestamp":"2026-12-01T00:00:01Z","message":"started"}"#), None);
}
