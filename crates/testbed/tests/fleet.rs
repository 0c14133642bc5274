//! Fleets on real processes, with faults on the roads between them; and faults planted in the controllers, which the judge must
//! find. Nothing here asserts how soon something happens.
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
use wheelfield_testbed::play::{play, play_virtual, OfFleet, Options, Report};
use wheelfield_testbed::virtual_time::policy::Policy;

fn day(text: &str) -> Day {
    Day::parse("fleet", &script::with_default_tables(text)).unwrap_or_else(|fault| panic!("{fault}"))
}

fn short() -> Day {
    day(include_str!("../fleets/short.toml"))
}

fn played(plant: Option<&str>) -> (Report, OfFleet) {
    let dir = tempfile::tempdir().expect("a folder");
    let options = Options {
        seed: 1,
        dir: dir.path().to_path_buf(),
        plant: plant.map(str::to_string),
        log_level: "warn".into(),
        quiet: true,
        ..Options::default()
    };
    let report = play(&short(), &options).unwrap_or_else(|fault| panic!("{fault:#}"));
    let fleet = report.fleet.clone().expect("a fleet's report");
    (report, fleet)
}

#[test]
fn a_short_bad_time_between_controllers_is_borne() {
    let (report, fleet) = played(None);
    assert!(report.kept(), "{:?} {fleet:?}", report.breaches);
    // The faults came to pass.
    assert!(fleet.hurt > 50 && fleet.verdict.declared_dead_unreachable > 0, "{fleet:?}");
    assert!(report.served > 300, "{report:?}");
}

#[test]
fn a_planted_count_that_sinks_a_death_taken_for_a_goodbye_and_a_number_held_by_two_are_found() {
    for plant in ["sink", "goodbye"] {
        let (report, fleet) = played(Some(plant));
        assert!(!fleet.verdict.undercounts.is_empty() && !report.kept(), "{plant}: {fleet:?}");
    }
    let (report, fleet) = played(Some("number"));
    assert!(!fleet.agreed && !report.kept(), "{fleet:?}");
}

#[test]
fn the_same_script_plays_in_virtual_time_the_same_again() {
    let one = play_virtual(&short(), 1, Policy::Module).expect("played");
    let two = play_virtual(&short(), 1, Policy::Module).expect("played");
    assert!(one.0.kept(), "{:?}", one.0.breaches);
    assert_eq!((one.1.events, one.1.datagrams_sent), (two.1.events, two.1.datagrams_sent));
    let quiet = Day { roads: Vec::new(), ..short() };
    let without = play_virtual(&quiet, 1, Policy::Module).expect("played");
    assert_ne!(one.1.datagrams_sent, without.1.datagrams_sent, "what goes wrong on the roads is felt");
}

#[test]
fn a_script_that_cannot_be_played_is_refused_with_its_line() {
    let with = |road: &str| {
        format!("name = \"x\"\nlength = \"5s\"\nrate = 1\nengines = 1\ncontrollers = 4\n\n[[roads]]\nat = \"1s\"\nfor = \"2s\"\n{road}\n")
    };
    for (road, expected) in [
        ("", "nothing is wrong"),
        ("loss = 1.5", "no chance"),
        ("cut = true\nfrom = \"0-4\"", "not among the controllers"),
        ("cut = true\nfrom = \"a\"", "names no controller"),
        ("cut = true\nto = \"120%\"", "no share"),
        ("cut = true\nevery = \"1s\"", "shorter than"),
        ("cut = true\ntimes = 3", "needs `every`"),
    ] {
        let fault = Day::parse("x", &script::with_default_tables(&with(road))).expect_err(road);
        assert!(fault.to_string().contains("x:7") && fault.to_string().contains(expected), "{road}: {fault}");
    }
}

#[test]
fn every_built_in_fleet_is_sound_and_drawn_alike_by_its_seed() {
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/fleets")).expect("the fleets") {
        let path = file.expect("a file").path();
        if path.ends_with("usual.toml") {
            continue;
        }
        let day = day(&std::fs::read_to_string(&path).expect("a text"));
        assert!(!day.roads.is_empty() && day.registry.gossip, "{path:?}");
        assert_eq!(day.timetable(3), day.timetable(3));
    }
}

fn at(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + n))
}

/// Three controllers; the third is killed at 100 and its first is paused from 40 to 50.
fn judged(event: &[(i64, usize, MembershipEvent)]) -> wheelfield_testbed::fleet::judge::Verdict {
    let life = |controller, killed, stalls| ProcessLifetime {
        controller,
        started_at: 0,
        ended_at: killed,
        stalls,
        begins_mid_run: false,
    };
    let lives = [life(0, None, vec![(40, 50)]), life(1, None, vec![]), life(2, Some(100), vec![])];
    let reached: Vec<SocketAddr> = (0..3).map(at).collect();
    let fault = Fault { blocked: true, ..Fault::default() };
    let these = |n: usize| NodeSet::Only([n].into());
    let cut = ScheduledFault {
        fault,
        from: these(1),
        to: these(2),
        bidirectional: false,
        starts_at: 60,
        duration: 10,
        period: 0,
        repetitions: 1,
    };
    let roads = FaultSchedule(vec![cut]);
    let lines: Vec<MembershipLogEntry> = event
        .iter()
        .map(|(at, by, event)| MembershipLogEntry { at: *at, by: *by, event: event.clone() })
        .collect();
    MembershipHistory {
        addresses: &reached,
        lifetimes: &lives,
        fault_schedule: &roads,
        starts_at: 0,
        ends_at: 1_000,
    }
    .judge(&lines, 5)
}

#[test]
fn the_judge_tells_what_was_so_from_what_was_believed() {
    let acts = |count| MembershipEvent::CountInUse { count, index: 0 };
    let gone = |n| MembershipEvent::Member(at(n), MembershipChange::DeclaredDead);
    assert!(judged(&[(10, 0, acts(3)), (150, 0, acts(2)), (160, 0, gone(2))]).passed());
    assert_eq!(judged(&[(10, 0, acts(2))]).undercounts.len(), 1, "three run");
    assert_eq!(judged(&[(150, 1, acts(1))]).undercounts.len(), 1, "two run");
    assert_eq!(judged(&[(10, 0, acts(4))]).overcounts.len(), 1);
    assert_eq!(judged(&[(20, 1, gone(0))]).declared_dead_reachable.len(), 1, "it runs and is heard");
    let behind = judged(&[(45, 1, gone(0)), (54, 1, gone(0)), (65, 1, gone(2)), (65, 2, gone(1))]);
    assert_eq!(
        (behind.declared_dead_unreachable, behind.declared_dead_reachable.len()),
        (4, 0),
        "paused, or on a cut road"
    );
    assert_eq!(
        judged(&[(56, 1, gone(0)), (80, 1, gone(2))]).declared_dead_reachable.len(),
        2,
        "that is over"
    );
    let found = judged(&[(160, 0, gone(2)), (140, 1, gone(2))]);
    assert_eq!((found.deaths, found.detection_max_ms), (1, 0.04), "by the first that did");
}

#[test]
fn what_controllers_log_is_read() {
    let line = r#"{"timestamp":"2026-12-01T00:00:01.500000Z","level":"INFO","message":"member: given up","member":"127.0.0.1:1002","by":"127.0.0.1:1001","target":"x"}"#;
    let Some(MembershipLogEntry {
        at: time,
        by: 7,
        event: MembershipEvent::Member(member, MembershipChange::DeclaredDead),
    }) = parse_log_line(7, line)
    else {
        panic!("not read")
    };
    assert_eq!((time % 60_000_000, member), (1_500_000, at(2)));
    let count = r#"{"timestamp":"2026-12-01T00:00:01Z","message":"controllers","count":5,"index":2,"alive":4,"settled":true}"#;
    assert_eq!(
        parse_log_line(0, count).map(|l| l.event),
        Some(MembershipEvent::CountInUse { count: 5, index: 2 })
    );
    assert_eq!(parse_log_line(0, r#"{"timestamp":"2026-12-01T00:00:01Z","message":"started"}"#), None);
}
