//! The check on captures: a correct run has no violation, and each injected violation is found under its rule.

use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Answer, Arrival, AttemptId, Driver, DriverLimits, Input, Instruction};
use wheelfield_invariant_check::{check, CheckReport};

const MS: i64 = 1000;
const IDEMPOTENT: usize = 0;
const AT_MOST_ONCE: usize = 1;
const ORDERED: usize = 2;
const ZONE_BOUND: usize = 3;

fn settings() -> Settings {
    let class = Class {
        latency_objective: Micros(500 * MS),
        deadline: Micros(2_000 * MS),
        value: 1.0,
        threads: 1.0,
        ..Class::default()
    };
    Settings {
        gateway_count: 1.0,
        classes: vec![
            class.clone(),
            Class { semantics: ExecutionSemantics::AtMostOnce, ..class.clone() },
            Class { ordered_by_key: true, ..class.clone() },
            Class { zones: vec![0], ..class },
        ],
        cores: vec![4.0],
        memory_mb: vec![1000.0],
        cancellation: true,
        max_attempts: 3,
        slow_start_initial_fraction: 0.25,
        slow_start_duration: Micros(10_000 * MS),
        overload_multiple: 2.0,
        overload_window: Micros(1_000 * MS),
        key_cooldown: Micros(200 * MS),
        retry_budget: Some(RetryBudget { guaranteed: 6.0, fraction: 0.1, window: Micros(1_000 * MS) }),
        ..Settings::default()
    }
}

/// A recorded step of the driver.
#[derive(Clone)]
struct Step {
    at: Micros,
    input: RecordedInput,
    /// The query that the driver accepted in this step.
    accepted: Option<QueryId>,
    instructions: Vec<Instruction>,
}

fn engine(number: u64, status: Status, started_at: Option<Micros>) -> EngineEntry {
    EngineEntry {
        engine: EngineId(number),
        zone: (number % 2) as usize,
        kind: 0,
        cell: 0,
        status,
        started_at,
    }
}

/// Pending inputs, by time and order of scheduling.
type PendingInputs = BTreeMap<(i64, u64), RecordedInput>;

fn schedule(pending: &mut PendingInputs, at: i64, input: RecordedInput) {
    let count = pending.len() as u64;
    let next =
        pending.range((at, 0)..=(at, u64::MAX)).next_back().map_or(count, |((_, number), _)| number + 1);
    pending.insert((at, next.max(count)), input);
}

/// A run of a driver with emulated engines that finish each attempt after 30 ms. Every tenth query is rejected once by a full
/// engine. Engine 4 starts draining at 1.5 s, and engine 3 restarts at 2 s.
fn correct_run() -> Vec<Step> {
    let mut driver = Driver::new(settings(), 7, DriverLimits::default());
    let mut pending = PendingInputs::new();
    schedule(&mut pending, 0, RecordedInput::Input(Input::Started));
    let all = (1..=4).map(|n| engine(n, Status::Up, None)).collect();
    schedule(&mut pending, MS, RecordedInput::Input(Input::Engines { complete: true, entries: all }));
    for n in 0..80 {
        let class = (n % 4) as usize;
        let at = (100 + n * 40) * MS;
        let arrival = Arrival {
            class,
            key: (class == ORDERED).then(|| "key".to_string()),
            deadline: Micros(at + 2_000 * MS),
            work_hint: Some(0.03),
            ..Arrival::default()
        };
        schedule(&mut pending, at, RecordedInput::Arrive { arrival, label: format!("q{n}") });
    }
    let engine_change =
        |entry| RecordedInput::Input(Input::Engines { complete: false, entries: vec![entry] });
    schedule(&mut pending, 1_500 * MS, engine_change(engine(4, Status::Draining, None)));
    schedule(&mut pending, 2_000 * MS, engine_change(engine(3, Status::Up, Some(Micros(2_000 * MS)))));
    let mut steps = Vec::new();
    while let Some(((at, _), input)) = pending.pop_first() {
        let mut inputs = vec![(at, input)];
        while let Some(due) = driver.next_timer_at().filter(|due| due.0 <= inputs[0].0) {
            inputs.insert(0, (due.0, RecordedInput::TimersDue));
            perform_step(&mut driver, &mut pending, &mut steps, inputs.remove(0));
        }
        for input in inputs {
            perform_step(&mut driver, &mut pending, &mut steps, input);
        }
    }
    // Run the remaining timers until after the deadline of every query.
    let (mut now, end) = (Micros(0), Micros(8_000 * MS));
    while let Some(due) = driver.next_timer_at().filter(|due| *due <= end) {
        now = now.max(due);
        perform_step(&mut driver, &mut pending, &mut steps, (now.0, RecordedInput::TimersDue));
    }
    perform_step(&mut driver, &mut pending, &mut steps, (end.0, RecordedInput::TimersDue));
    steps
}

fn perform_step(
    driver: &mut Driver,
    pending: &mut PendingInputs,
    steps: &mut Vec<Step>,
    (at, input): (i64, RecordedInput),
) {
    // A host asks the driver before it dispatches an attempt, and reports no end of an attempt that it did not dispatch.
    let is_obsolete = match &input {
        RecordedInput::Input(Input::Dispatched(attempt)) => !driver.may_write(Micros(at), *attempt),
        RecordedInput::Input(Input::AttemptEnded { attempt, .. }) => !driver.is_in_flight(*attempt),
        _ => false,
    };
    if is_obsolete {
        return;
    }
    let mut instructions = Vec::new();
    let accepted = wheelfield_replay::feed(driver, Micros(at), &input, &mut instructions);
    for instruction in &instructions {
        if let Instruction::Start { attempt, .. } = instruction {
            schedule(pending, at + MS, RecordedInput::Input(Input::Dispatched(*attempt)));
            let is_full = attempt.query.0 % 10 == 3 && attempt.number == 0;
            let outcome = if is_full { Outcome::Full } else { Outcome::Served };
            let (report, reported_work) = (LoadReport::default(), (!is_full).then_some(0.03));
            let ended = Input::AttemptEnded { attempt: *attempt, outcome, reported_work, report };
            schedule(pending, at + 30 * MS, RecordedInput::Input(ended));
        }
    }
    steps.push(Step { at: Micros(at), input, accepted, instructions });
}

fn write_capture(path: &Path, steps: &[Step]) {
    let start = Start {
        build: "test 0".into(),
        index: 0,
        seed: 7,
        settings: settings(),
        driver_limits: DriverLimits::default(),
        classes: ["idempotent", "at_most_once", "ordered", "zone_bound"].map(String::from).to_vec(),
        tenants: Vec::new(),
    };
    let driver = Driver::new(settings(), 7, DriverLimits::default());
    let limits =
        Limits { max_queued_blocks: 1 << 16, checkpoint_interval: Micros(i64::MAX), ..Limits::default() };
    let mut recorder = Recorder::begin(path, start, limits, &driver, Micros(0)).expect("a capture file");
    recorder.record_engines(Micros(0), (1..=4).map(|n| (EngineId(n), format!("engine-{n}"))));
    for step in steps {
        recorder.record_step(step.at, &step.input, step.accepted, &step.instructions);
    }
    assert_eq!(recorder.finish(Micros(9_000 * MS)).lost, 0);
}

fn check_steps(steps: &[Step]) -> CheckReport {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("x.wfcap");
    write_capture(&path, steps);
    check(&[path], 0).expect("a readable capture")
}

/// The rules that are violated after a modification of the correct run.
fn violated_rules(modify: impl FnOnce(&mut Vec<Step>)) -> Vec<&'static str> {
    let mut steps = correct_run();
    modify(&mut steps);
    let violations = check_steps(&steps).violations;
    let mut rules: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// The index of the step in which the n-th query of a class arrived and was sent, with the query and its engine.
fn nth_arrival(steps: &[Step], class: usize, nth: usize) -> (usize, QueryId, EngineId) {
    let sent_to = |step: &Step| {
        step.instructions.iter().find_map(|instruction| {
            if let Instruction::Start { engine, .. } = instruction {
                Some(*engine)
            } else {
                None
            }
        })
    };
    let matching = |(index, step): (usize, &Step)| match &step.input {
        RecordedInput::Arrive { arrival, .. } if arrival.class == class => {
            Some((index, step.accepted?, sent_to(step)?))
        }
        _ => None,
    };
    steps.iter().enumerate().filter_map(matching).nth(nth).expect("a query that was sent")
}

/// Starts and dispatches a further attempt of a query in a step.
fn add_attempt(steps: &mut Vec<Step>, at: usize, query: QueryId, number: usize, engine: EngineId) {
    let attempt = AttemptId { query, number };
    let dispatched_at = steps[at].at;
    let options = wheelfield_driver::AttemptOptions::default();
    steps[at].instructions.push(Instruction::Start { attempt, engine, options });
    let input = RecordedInput::Input(Input::Dispatched(attempt));
    steps.insert(at + 1, Step { at: dispatched_at, input, accepted: None, instructions: Vec::new() });
}

#[test]
fn a_correct_run_has_no_violation() {
    let report = check_steps(&correct_run());
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert_eq!((report.queries, report.unfinished_queries, report.lifetimes), (80, 0, 1));
    assert!(report.attempts > 80, "the rejected queries were retried");
    assert!(report.stalls.is_empty());
}

#[test]
fn a_query_with_no_answer_two_answers_or_a_late_answer_violates_lost() {
    let remove_answer = |steps: &mut Vec<Step>, query: QueryId| {
        steps.retain(
            |step| !matches!(&step.input, RecordedInput::Input(Input::AttemptEnded { attempt, .. }) if attempt.query == query),
        );
        for step in steps {
            step.instructions
                .retain(|instruction| !matches!(instruction, Instruction::Answer(q, _) if *q == query));
        }
    };
    assert_eq!(
        violated_rules(|steps| {
            let (_, query, _) = nth_arrival(steps, IDEMPOTENT, 5);
            remove_answer(steps, query);
        }),
        ["lost"]
    );
    let answer = |query| Instruction::Answer(query, Answer::Failed { may_have_run: true });
    assert_eq!(
        violated_rules(|steps| {
            let (at, query, _) = nth_arrival(steps, IDEMPOTENT, 5);
            steps[at + 40].instructions.push(answer(query));
        }),
        ["lost"]
    );
    assert_eq!(
        violated_rules(|steps| {
            let (_, query, _) = nth_arrival(steps, IDEMPOTENT, 5);
            remove_answer(steps, query);
            steps.last_mut().expect("a step").instructions.push(answer(query));
        }),
        ["lost"]
    );
}

#[test]
fn a_second_attempt_of_an_at_most_once_query_violates_twice() {
    assert_eq!(
        violated_rules(|steps| {
            let (at, query, engine) = nth_arrival(steps, AT_MOST_ONCE, 5);
            add_attempt(steps, at + 2, query, 1, EngineId(3 - (engine.0 - 1) % 2));
        }),
        ["twice"]
    );
}

#[test]
fn an_attempt_sent_to_a_draining_engine_violates_drain() {
    let redirect = |steps: &mut Vec<Step>, nth: usize| {
        let (at, _, _) = nth_arrival(steps, IDEMPOTENT, nth);
        for instruction in &mut steps[at].instructions {
            if let Instruction::Start { engine, .. } = instruction {
                *engine = EngineId(4);
            }
        }
    };
    assert!(violated_rules(|steps| redirect(steps, 3)).is_empty(), "sent before the engine starts draining");
    assert_eq!(violated_rules(|steps| redirect(steps, 10)), ["drain"]);
}

#[test]
fn overload_of_an_engine_in_slow_start_violates_cold() {
    // Four cores at a quarter of their capacity do 1 s of work in the window of 1 s; twice that is allowed. The queries of
    // 0.2 s that arrive within a second exceed it.
    assert_eq!(
        violated_rules(|steps| {
            for step in steps.iter_mut() {
                match &mut step.input {
                    RecordedInput::Arrive { arrival, .. } => arrival.work_hint = Some(0.2),
                    RecordedInput::Input(Input::AttemptEnded { reported_work, .. }) => {
                        *reported_work = Some(0.2)
                    }
                    _ => {}
                }
                for instruction in &mut step.instructions {
                    match instruction {
                        Instruction::Start { engine, .. } if step.at.0 > 2_000 * MS => *engine = EngineId(3),
                        _ => {}
                    }
                }
            }
        }),
        ["cold", "placement"],
        "engine 3 is also in a zone that the zone-bound class does not permit"
    );
}

#[test]
fn concurrent_queries_of_one_key_violate_order() {
    assert_eq!(
        violated_rules(|steps| {
            let (_, query, _) = nth_arrival(steps, ORDERED, 6);
            let (at, _, _) = nth_arrival(steps, ORDERED, 5);
            // Move the end of query 5 of the class to after the dispatch of query 6.
            let ended = RecordedInput::Input(Input::AttemptEnded {
                attempt: AttemptId { query: steps[at].accepted.expect("accepted"), number: 0 },
                outcome: Outcome::Served,
                reported_work: None,
                report: LoadReport::default(),
            });
            let is_end = |step: &Step| matches!((&step.input, &ended), (RecordedInput::Input(Input::AttemptEnded { attempt: a, .. }), RecordedInput::Input(Input::AttemptEnded { attempt: b, .. })) if a == b);
            let end = steps.iter().position(is_end).expect("the end of query 5");
            let after_dispatch =
                steps.iter().position(|step| step.accepted == Some(query)).expect("the arrival of query 6")
                    + 3;
            let mut end_step = steps.remove(end);
            end_step.at = steps[after_dispatch].at;
            steps.insert(after_dispatch, end_step);
        }),
        ["order"]
    );
}

#[test]
fn an_engine_outside_the_zones_of_the_class_violates_placement() {
    assert_eq!(
        violated_rules(|steps| {
            let (at, _, _) = nth_arrival(steps, ZONE_BOUND, 5);
            for instruction in &mut steps[at].instructions {
                if let Instruction::Start { engine, .. } = instruction {
                    *engine = EngineId(1);
                }
            }
        }),
        ["placement"]
    );
}

#[test]
fn more_retries_than_the_budget_allows_violate_budget() {
    let violated_with_retries = |count: usize| {
        violated_rules(|steps| {
            let (at, query, engine) = nth_arrival(steps, IDEMPOTENT, 8);
            for number in 1..=count {
                add_attempt(steps, at + 2, query, number, engine);
            }
        })
    };
    assert_eq!(violated_with_retries(1), [""; 0]);
    assert_eq!(violated_with_retries(12), ["budget"]);
}

#[test]
fn a_suspended_controller_is_reported_as_a_stall() {
    let mut steps = correct_run();
    let at = steps.iter().position(|step| step.at.0 > 1_000 * MS).expect("a step");
    // The controller takes no step for two seconds and then takes all the missed ones at once.
    let resumed_at = Micros(steps[at].at.0 + 2_000 * MS);
    steps.retain(|step| step.at <= resumed_at);
    for step in &mut steps[at..] {
        step.at = resumed_at;
    }
    let report = check_steps(&steps);
    assert_eq!(report.stalls.len(), 1, "{:?}", report.stalls);
}

#[test]
fn captures_with_different_settings_are_rejected() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (one, other) = (dir.path().join("a.wfcap"), dir.path().join("b.wfcap"));
    write_capture(&one, &correct_run());
    let driver = Driver::new(settings(), 7, DriverLimits::default());
    let other_settings = Settings { max_attempts: 1, ..settings() };
    let start = Start {
        build: "test 0".into(),
        index: 1,
        seed: 7,
        settings: other_settings,
        driver_limits: DriverLimits::default(),
        classes: Vec::new(),
        tenants: Vec::new(),
    };
    let recorder = Recorder::begin(&other, start, Limits::default(), &driver, Micros(0)).expect("a file");
    recorder.finish(Micros(0));
    let error = check(&[one, other], 0).expect_err("different settings").to_string();
    assert!(error.contains("b.wfcap") && error.contains("check them separately"), "{error}");
}
