//! What is kept about engines that were removed from the list.

mod common;
use common::*;
use wheelfield::interface::*;

const ENGINES: u64 = 20;
const REPLACEMENTS_PER_DAY: u64 = 1_440;
const MAX_REMOVED: usize = 1_024;
const INTERVAL_S: f64 = 60.0;

/// Replaces engine `n` by a new one.
fn replace(harness: &mut Harness, n: u64) {
    harness.now = harness.now + Micros::from_secs_f64(INTERVAL_S);
    let removed = EngineEntry { status: Status::Removed, ..engine(n) };
    harness.deliver(Event::EngineChanges(vec![removed, engine(n + ENGINES)]));
}

#[test]
fn the_state_of_removed_engines_is_bounded_in_a_week_of_turnover() {
    let mut harness = Harness::new(settings_with_gateways(1.0), engines(ENGINES));
    let mut known = Vec::new();
    for n in 1..=7 * REPLACEMENTS_PER_DAY {
        replace(&mut harness, n);
        if n % REPLACEMENTS_PER_DAY == 0 {
            known.push(harness.gateway.engine_count());
            let (query, actions) = harness.arrive(0);
            assert_eq!(sent_engines(&actions).len(), 1);
            harness.end_attempt(query, 0, Outcome::Served);
        }
    }
    assert!(known.iter().all(|count| *count == ENGINES as usize + MAX_REMOVED), "{known:?}");
}

#[test]
fn the_engine_that_was_used_least_recently_is_forgotten_first_and_one_with_an_attempt_is_kept() {
    let mut harness = Harness::new(settings_with_gateways(1.0), engines(1));
    let (query, actions) = harness.arrive(0);
    assert_eq!(sent_engines(&actions), [EngineId(1)]);
    let removed = |n: u64| EngineEntry { status: Status::Removed, ..engine(n) };
    harness.deliver(Event::EngineChanges(vec![removed(1), engine(2), engine(3)]));
    harness.deliver(Event::EngineChanges(vec![removed(2)]));
    for n in 3..3 + MAX_REMOVED as u64 {
        harness.now = harness.now + Micros::from_secs_f64(INTERVAL_S);
        harness.deliver(Event::EngineChanges(vec![engine(n + 1), removed(n)]));
    }
    assert!(harness.gateway.knows_engine(EngineId(1)), "an attempt is in flight there");
    assert!(!harness.gateway.knows_engine(EngineId(2)));
    assert!(harness.gateway.knows_engine(EngineId(3)));
    harness.end_attempt(query, 0, Outcome::Served);
    harness.now = harness.now + Micros::from_secs_f64(INTERVAL_S);
    harness.deliver(Event::EngineChanges(Vec::new()));
    assert!(harness.gateway.engine_count() <= 1 + MAX_REMOVED);
}
