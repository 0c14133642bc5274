//! Property tests with random interleavings of events: disconnecting clients, failing connections, draining executors, duplicate
//! responses and a shutdown, several of them in one turn of the event loop. The invariants are checked against the data that crossed
//! the connections. Injected faults show that they detect violations.

#[path = "../common/mod.rs"]
mod common;
mod simulation;
mod steps;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use simulation::{InjectedFault, Simulation};
use steps::scenario;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_invariants_hold_for_events_in_any_order(scenario in scenario()) {
        let violations = Simulation::new(None).run(&scenario);
        prop_assert!(violations.is_empty(), "{violations:#?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    for (fault, rule) in [
        (InjectedFault::DisconnectsLast, "lost"),
        (InjectedFault::DiscoveryLost, "drain"),
        (InjectedFault::RecentIdsForgotten, "twice"),
        (InjectedFault::ListenerClosedEarly, "lost"),
    ] {
        let mut runner = TestRunner::deterministic();
        let is_detected = (0..300).any(|_| {
            let scenario = scenario()
                .new_tree(&mut runner)
                .expect("a scenario")
                .current();
            let violations = Simulation::new(Some(fault)).run(&scenario);
            violations
                .iter()
                .any(|violation| violation.starts_with(rule))
        });
        assert!(is_detected, "{fault:?} is not detected");
    }
}
