//! The weighted random selection among the engines that a query fits.

mod common;
use common::*;
use wheelfield::interface::*;

/// Number of sends to each of two engines over 300 queries, each served before the next one arrives. The
/// engines report the given utilisation.
fn shares(utilisation: [Option<f64>; 2], s: Settings) -> [usize; 2] {
    let mut harness = Harness::new(s, vec![engine(1), EngineEntry { zone: 1, ..engine(2) }]);
    let mut sends = [0, 0];
    for i in 0..300 {
        let (id, actions) = harness.arrive(0);
        let to = (sent_engines(&actions)[0].0 - 1) as usize;
        sends[to] += 1;
        // The utilisation changes slightly each time, because only a report that differs from the last one
        // counts as new.
        let report = LoadReport {
            utilisation: utilisation[to].map(|u| u + f64::from(i) * 1e-6),
            ..LoadReport::default()
        };
        harness.end_attempt_with(id, 0, Outcome::Served, Micros(500_000), report);
    }
    sends
}

#[test]
fn the_less_busy_engine_is_preferred_and_both_are_used() {
    let s = || settings(vec![class(ExecutionSemantics::Idempotent)]);
    let [idle, busy] = shares([Some(0.2), Some(0.6)], s());
    assert!(idle > 3 * busy && busy > 0, "{idle} and {busy}");
    let [a, b] = shares([Some(0.4), Some(0.4)], s());
    assert!(a.min(b) > 100, "{a} and {b}");
}

#[test]
fn the_own_zone_is_preferred_by_the_price_of_crossing() {
    let s = |cross_zone_price| Settings {
        zone: Some(0),
        cross_zone_price,
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let [_, free] = shares([Some(0.4), Some(0.4)], s(0.0));
    let [_, expensive] = shares([Some(0.4), Some(0.4)], s(0.04));
    assert!(free > 2 * expensive && expensive > 0, "{free} and {expensive}");
}

/// How many of 20 engines get at least one of 40 queries. Each query is served, and the next one arrives
/// after `pause`.
fn engines_used(handshake_price: f64, pause: Micros) -> usize {
    let s = Settings {
        handshake_price,
        connection_idle_timeout: Micros(30_000_000),
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let mut harness = Harness::new(s, (1..=20).map(engine).collect());
    let mut to = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (id, actions) = harness.arrive(0);
        to.insert(sent_engines(&actions)[0].0);
        harness.end_attempt_with(id, 0, Outcome::Served, Micros(100_000), LoadReport::default());
        harness.now = harness.now + pause;
    }
    to.len()
}

/// Without this preference 60,000 queries used 28,000 new connections; each has a cost, and the handshakes
/// delayed queries on the engines.
#[test]
fn engines_with_an_idle_connection_are_preferred_by_the_price_of_a_handshake() {
    let (soon, late) = (Micros(100_000), Micros(16_000_000));
    let (free, expensive) = (engines_used(0.0, soon), engines_used(0.08, soon));
    assert!(free > 10 && expensive < 8 && expensive > 2, "{free} and {expensive}");
    // A connection that was idle for too long has been closed, so it saves no handshake.
    assert_eq!(engines_used(0.08, late), free);
}

/// A connection in use can't carry a second query, so a second query needs a new connection on any engine.
#[test]
fn a_connection_in_use_does_not_make_an_engine_preferred() {
    let s = Settings {
        handshake_price: 10.0,
        connection_idle_timeout: Micros(30_000_000),
        ..settings(vec![class(ExecutionSemantics::Idempotent)])
    };
    let mut harness = Harness::new(s, vec![engine(1), engine(2), engine(3)]);
    let to: Vec<u64> = (0..30).map(|_| sent_engines(&harness.arrive(0).1)[0].0).collect();
    assert!((1..=3).all(|n| to.iter().filter(|t| **t == n).count() > 3), "{to:?}");
}

#[test]
fn without_reports_the_selection_depends_on_attempts_in_flight() {
    let mut harness =
        Harness::new(settings(vec![class(ExecutionSemantics::Idempotent)]), vec![engine(1), engine(2)]);
    let mut in_flight = [0usize, 0];
    for _ in 0..14 {
        let (_, actions) = harness.arrive(0);
        in_flight[(sent_engines(&actions)[0].0 - 1) as usize] += 1;
    }
    assert!(in_flight[0].abs_diff(in_flight[1]) <= 4, "{in_flight:?}");
}

/// New engines have no idle connections yet. When they were penalized for it, they stayed idle during a
/// shortage of capacity.
#[test]
fn an_engine_in_slow_start_is_not_penalized_for_handshakes() {
    let queries_until_used = |handshake_price| {
        let s = Settings {
            handshake_price,
            connection_idle_timeout: Micros(30_000_000),
            slow_start_initial_fraction: 0.5,
            slow_start_duration: Micros(60_000_000),
            overload_multiple: 1_000.0,
            overload_window: Micros(1_000_000),
            ..settings(vec![class(ExecutionSemantics::Idempotent)])
        };
        let warm = vec![engine(1), engine(2)];
        let mut harness = Harness::with_starting_engines(s, &[], warm);
        let serve = |harness: &mut Harness| {
            let (id, actions) = harness.arrive(0);
            harness.end_attempt_with(id, 0, Outcome::Served, Micros(100_000), LoadReport::default());
            sent_engines(&actions)[0]
        };
        for _ in 0..10 {
            serve(&mut harness);
        }
        // Number of queries until a new engine gets its first one.
        let queries_until_selected = |n| {
            harness.deliver(Event::EngineChanges(vec![engine(n)]));
            (0..2_000).position(|_| serve(&mut harness) == EngineId(n)).expect("never selected")
        };
        (3..23).map(queries_until_selected).sum::<usize>()
    };
    let (free, expensive) = (queries_until_used(0.0), queries_until_used(0.08));
    assert!(expensive < 2 * free, "{free} queries with free handshakes, {expensive} with expensive ones");
}
