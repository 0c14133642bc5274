//! Exploration: scenarios of fixed seeds keep the rules, injected faults are found, failing
//! scenarios are reduced, and scenarios that once failed keep passing.

use wheelfield_pg_gateway::fault_injection::{FaultInjection, FAULT_INJECTIONS};
use wheelfield_testbed::explore::{explore, run, shrink, Scenario};

#[test]
fn scenarios_of_fixed_seeds_keep_the_rules() {
    let summary = explore(0..400, 2, None, |_| false);
    assert_eq!(summary.days, 400);
    assert!(summary.failed.is_empty(), "{:?}", summary.failed.first());
    assert!(summary.tries > 50_000, "{} tries", summary.tries);
    // The events that these scenarios are meant to cause have occurred.
    for what in [
        "controller: attempt after the first",
        "controller: request to cancel could not be handed in",
        "controller: request to cancel not taken",
        "controller: session lost as an attempt ran",
        "controller: client's output full",
        "controller: unit crowded out",
        "controller: failed, answer broke off",
        "controller: words of another controller",
        "client: 57014",
        "client: left",
        "engine: killed",
    ] {
        assert!(summary.coverage.get(what).is_some_and(|(days, _)| *days > 0), "{what} never occurred");
    }
}

/// The first seed that shows an injected fault, and the rule that it broke.
fn first_failing_seed(fault: FaultInjection) -> Option<(u64, String)> {
    (0..600).find_map(|seed| {
        let outcome = run(&Scenario::draw(seed), Some(fault)).ok()?;
        outcome.rule().map(|rule| (seed, rule.to_string()))
    })
}

#[test]
fn each_injected_fault_is_found() {
    for (name, fault) in FAULT_INJECTIONS {
        assert!(first_failing_seed(fault).is_some(), "the fault {name} was not found");
    }
    // Each of these faults breaks its own rule in one of the first 40 scenarios, whatever else it
    // breaks.
    for (fault, rule) in [
        (FaultInjection::SwapQueryText, "answer"),
        (FaultInjection::CancelOtherQuery, "answer"),
        (FaultInjection::LeakCancelConnections, "leak"),
        (FaultInjection::DuplicateExecution, "twice"),
        (FaultInjection::SendToDraining, "drain"),
        (FaultInjection::ExceedRetryBudget, "budget"),
        (FaultInjection::LoseAnswer, "lost"),
    ] {
        let breaks_rule = |seed: &u64| {
            let outcome = run(&Scenario::draw(*seed), Some(fault)).expect("a valid scenario");
            outcome.failures.iter().any(|(r, _)| r == rule)
        };
        assert!((0..40).any(|seed| breaks_rule(&seed)), "{fault:?} never broke {rule}");
    }
}

#[test]
fn a_reduced_scenario_still_fails() {
    let (seed, rule) = first_failing_seed(FaultInjection::DuplicateError).expect("a failing seed");
    let scenario = Scenario::draw(seed);
    let (reduced, _) = shrink(&scenario, &rule, Some(FaultInjection::DuplicateError));
    assert!(reduced.length_ms < scenario.length_ms && reduced.faults.len() <= scenario.faults.len());
    let text = toml::to_string(&reduced).expect("TOML");
    let parsed: Scenario = toml::from_str(&text).expect("valid TOML");
    assert_eq!(parsed, reduced);
    let outcome = run(&parsed, Some(FaultInjection::DuplicateError)).expect("a valid scenario");
    assert!(outcome.failures.iter().any(|(r, _)| *r == rule));
    assert!(
        run(&parsed, None).expect("a valid scenario").passed(),
        "the reduced scenario fails without the fault too"
    );
}

#[test]
fn the_same_scenario_gives_the_same_result() {
    let result_of = |seed: u64| {
        let outcome = run(&Scenario::draw(seed), None).expect("a valid scenario");
        (outcome.tries, outcome.events, outcome.coverage)
    };
    for seed in [1, 17, 99] {
        assert_eq!(result_of(seed), result_of(seed));
    }
}

#[test]
fn scenarios_that_once_failed_pass() {
    let mut scenarios = 0;
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/corpus")).expect("the corpus") {
        let path = file.expect("a directory entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable file");
        let scenario: Scenario = toml::from_str(&text).expect("a scenario");
        let outcome = run(&scenario, None).expect("a valid scenario");
        assert!(outcome.passed(), "{path:?}: {:?}", outcome.failures);
        scenarios += 1;
    }
    assert!(scenarios >= 3, "{scenarios} scenarios");
}
