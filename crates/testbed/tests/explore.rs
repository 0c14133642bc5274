//! Exploration: days of fixed numbers keep the rules, planted faults are found, what fails is made smaller, and cases that
//! were found stay mended.

use wheelfield_pg_gateway::fault_injection::{FaultInjection, FAULT_INJECTIONS};
use wheelfield_testbed::explore::{explore, run, shrink, Scenario};

#[test]
fn drawn_days_keep_the_rules() {
    let all = explore(0..400, 2, None, |_| false);
    assert_eq!(all.days, 400);
    assert!(all.failed.is_empty(), "{:?}", all.failed.first());
    assert!(all.tries > 50_000, "{} tries", all.tries);
    // What these days are for came to pass.
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
        assert!(all.coverage.get(what).is_some_and(|(days, _)| *days > 0), "{what} never came to pass");
    }
}

/// Days until a fault is found, and the rule that it broke.
fn found(plant: FaultInjection) -> Option<(u64, String)> {
    (0..600).find_map(|number| {
        let outcome = run(&Scenario::draw(number), Some(plant)).ok()?;
        outcome.rule().map(|rule| (number, rule.to_string()))
    })
}

#[test]
fn each_planted_fault_is_found() {
    for (name, plant) in FAULT_INJECTIONS {
        assert!(found(plant).is_some(), "{name} was not found");
    }
    // And each as what it is, in one of the first days, whatever else it breaks.
    for (plant, rule) in [
        (FaultInjection::SwapQueryText, "answer"),
        (FaultInjection::CancelOtherQuery, "answer"),
        (FaultInjection::LeakCancelConnections, "leak"),
        (FaultInjection::DuplicateExecution, "twice"),
        (FaultInjection::SendToDraining, "drain"),
        (FaultInjection::ExceedRetryBudget, "budget"),
        (FaultInjection::LoseAnswer, "lost"),
    ] {
        let shows = |number: &u64| {
            let outcome = run(&Scenario::draw(*number), Some(plant)).expect("a day");
            outcome.failures.iter().any(|(r, _)| r == rule)
        };
        assert!((0..40).any(|number| shows(&number)), "{plant:?} never broke {rule}");
    }
}

#[test]
fn a_failing_day_is_made_smaller_and_still_fails() {
    let (number, rule) = found(FaultInjection::DuplicateError).expect("found");
    let scenario = Scenario::draw(number);
    let (small, _) = shrink(&scenario, &rule, Some(FaultInjection::DuplicateError));
    assert!(small.length_ms < scenario.length_ms && small.troubles.len() <= scenario.troubles.len());
    let text = toml::to_string(&small).expect("TOML");
    let again: Scenario = toml::from_str(&text).expect("read back");
    assert_eq!(again, small);
    let outcome = run(&again, Some(FaultInjection::DuplicateError)).expect("a day");
    assert!(outcome.failures.iter().any(|(r, _)| *r == rule));
    assert!(run(&again, None).expect("a day").passed(), "without the fault nothing is wrong");
}

#[test]
fn the_same_scenario_gives_the_same_course() {
    let of = |number: u64| {
        let outcome = run(&Scenario::draw(number), None).expect("a day");
        (outcome.tries, outcome.events, outcome.coverage)
    };
    for number in [1, 17, 99] {
        assert_eq!(of(number), of(number));
    }
}

#[test]
fn cases_that_were_found_stay_mended() {
    let mut cases = 0;
    for file in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/corpus")).expect("the corpus") {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let scenario: Scenario = toml::from_str(&text).expect("a scenario");
        let outcome = run(&scenario, None).expect("a day");
        assert!(outcome.passed(), "{path:?}: {:?}", outcome.failures);
        cases += 1;
    }
    assert!(cases >= 3, "{cases} cases");
}
