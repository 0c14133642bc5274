//! The draw among fitting engines.

mod common;
use common::*;
use wheelfield::interface::*;

/// Sends to each of two engines over 300 queries, each served before the next comes, with the given reports.
fn shares(utilisation: [Option<f64>; 2], s: Settings) -> [usize; 2] {
    let mut rig = Rig::new(s, vec![engine(1), EngineEntry { zone: 1, ..engine(2) }]);
    let mut sends = [0, 0];
    for i in 0..300 {
        let (id, actions) = rig.arrive(0);
        let to = (sent(&actions)[0].0 - 1) as usize;
        sends[to] += 1;
        // A little noise, as a report that does not change is no new one.
        let report = LoadReport {
            utilisation: utilisation[to].map(|u| u + f64::from(i) * 1e-6),
            ..LoadReport::default()
        };
        rig.end_with(id, 0, Outcome::Served, Micros(500_000), report);
    }
    sends
}

#[test]
fn the_draw_leans_to_the_engine_reported_less_busy_and_still_uses_both() {
    let s = || settings(vec![class(ExecutionSemantics::Idempotent)]);
    let [idle, busy] = shares([Some(0.2), Some(0.6)], s());
    assert!(idle > 3 * busy && busy > 0, "{idle} and {busy}");
    let [a, b] = shares([Some(0.4), Some(0.4)], s());
    assert!(a.min(b) > 100, "{a} and {b}");
}

#[test]
fn the_draw_leans_to_the_own_zone_by_what_crossing_costs() {
    let s = |cross_zone_price| Settings {
        zone: Some(0),
        cross_zone_price,
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let [_, across] = shares([Some(0.4), Some(0.4)], s(0.0));
    let [_, dear] = shares([Some(0.4), Some(0.4)], s(0.04));
    assert!(across > 2 * dear && dear > 0, "{across} and {dear}");
}

/// Of so many engines, those that got one of 40 queries, each served before the next comes after `pause`.
fn used(handshake_price: f64, pause: Micros) -> usize {
    let s = Settings {
        handshake_price,
        connection_idle_timeout: Micros(30_000_000),
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let mut rig = Rig::new(s, (1..=20).map(engine).collect());
    let mut to = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (id, actions) = rig.arrive(0);
        to.insert(sent(&actions)[0].0);
        rig.end_with(id, 0, Outcome::Served, Micros(100_000), LoadReport::default());
        rig.now = rig.now + pause;
    }
    to.len()
}

/// Found on the fleet's days: 28,000 connections for 60,000 queries, each paid for, and engines late for them.
#[test]
fn the_draw_leans_to_engines_where_a_connection_of_ours_rests_by_what_a_new_one_costs() {
    let (soon, late) = (Micros(100_000), Micros(16_000_000));
    let (free, dear) = (used(0.0, soon), used(0.08, soon));
    assert!(free > 10 && dear < 8 && dear > 2, "{free} and {dear}");
    // What rested for too long is closed, and spares nothing.
    assert_eq!(used(0.08, late), free);
}

/// What is busy carries nothing else: a second query at once costs a connection there as anywhere.
#[test]
fn a_connection_that_is_in_use_draws_nothing() {
    let s = Settings {
        handshake_price: 10.0,
        connection_idle_timeout: Micros(30_000_000),
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let mut rig = Rig::new(s, vec![engine(1), engine(2), engine(3)]);
    let to: Vec<u64> = (0..30).map(|_| sent(&rig.arrive(0).1)[0].0).collect();
    assert!((1..=3).all(|n| to.iter().filter(|t| **t == n).count() > 3), "{to:?}");
}

#[test]
fn without_reports_the_draw_goes_by_outstanding_sends() {
    let mut rig = Rig::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut out = [0usize, 0];
    for _ in 0..14 {
        let (_, actions) = rig.arrive(0);
        out[(sent(&actions)[0].0 - 1) as usize] += 1;
    }
    assert!(out[0].abs_diff(out[1]) <= 4, "{out:?}");
}

/// Found on the fleet's days: newcomers, where no connection can rest yet, were left to stand idle in a shortage.
#[test]
fn a_cold_engine_is_not_leaned_away_from_for_its_handshakes() {
    let to_newcomer = |handshake_price| {
        let s = Settings {
            handshake_price,
            connection_idle_timeout: Micros(30_000_000),
            slow_start_initial_fraction: 0.5,
            slow_start_duration: Micros(60_000_000),
            overload_multiple: 1_000.0,
            overload_window: Micros(1_000_000),
            ..settings(vec![class(ExecutionSemantics::Idempotent)])
        };
        let mut rig = Rig::new(s, vec![engine(1), engine(2)]);
        let serve = |rig: &mut Rig| {
            let (id, actions) = rig.arrive(0);
            rig.end_with(id, 0, Outcome::Served, Micros(100_000), LoadReport::default());
            sent(&actions)[0]
        };
        for _ in 0..10 {
            serve(&mut rig);
        }
        // How many queries pass until each of 20 newcomers has its first.
        let first = |n| {
            rig.tell(Event::EngineChanges(vec![engine(n)]));
            (0..2_000).position(|_| serve(&mut rig) == EngineId(n)).expect("drawn at last")
        };
        (3..23).map(first).sum::<usize>()
    };
    let (free, dear) = (to_newcomer(0.0), to_newcomer(0.08));
    assert!(dear < 2 * free, "{free} queries before, {dear} where a handshake has its price");
}
