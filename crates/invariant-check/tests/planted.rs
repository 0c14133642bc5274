//! The check on captures: a day with nothing wrong has no breach, and each planted fault is found as its own rule's.

use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Answer, Arrival, AttemptId, Driver, DriverLimits, Input, Instruction};
use wheelfield_invariant_check::{check, CheckReport};

const MS: i64 = 1000;
const REPEATABLE: usize = 0;
const ONCE: usize = 1;
const ORDERED: usize = 2;
const BOUND: usize = 3;

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

#[derive(Clone)]
struct Step {
    at: Micros,
    told: RecordedInput,
    taken: Option<QueryId>,
    out: Vec<Instruction>,
}

fn engine(n: u64, status: Status, started: Option<Micros>) -> EngineEntry {
    EngineEntry { engine: EngineId(n), zone: (n % 2) as usize, kind: 0, cell: 0, status, started_at: started }
}

/// What is to happen, by time; equal times in the order they were planned.
type Agenda = BTreeMap<(i64, u64), RecordedInput>;

fn plan(agenda: &mut Agenda, at: i64, told: RecordedInput) {
    let n = agenda.len() as u64;
    let last = agenda.range((at, 0)..=(at, u64::MAX)).next_back().map_or(n, |((_, n), _)| n + 1);
    agenda.insert((at, last.max(n)), told);
}

/// A driver on a wire that serves each attempt after 30 ms; every tenth query is turned away once, and at 1.5 s engine
/// 4 is told to drain, at 2 s engine 3 to have restarted.
fn day() -> Vec<Step> {
    let mut driver = Driver::new(settings(), 7, DriverLimits::default());
    let mut agenda = Agenda::new();
    plan(&mut agenda, 0, RecordedInput::Input(Input::Started));
    let all = (1..=4).map(|n| engine(n, Status::Up, None)).collect();
    plan(&mut agenda, MS, RecordedInput::Input(Input::Engines { complete: true, entries: all }));
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
        plan(&mut agenda, at, RecordedInput::Arrive { arrival, label: format!("q{n}") });
    }
    let change = |e| RecordedInput::Input(Input::Engines { complete: false, entries: vec![e] });
    plan(&mut agenda, 1_500 * MS, change(engine(4, Status::Draining, None)));
    plan(&mut agenda, 2_000 * MS, change(engine(3, Status::Up, Some(Micros(2_000 * MS)))));
    let mut steps = Vec::new();
    while let Some(((at, _), told)) = agenda.pop_first() {
        let mut todo = vec![(at, told)];
        while let Some(due) = driver.next_timer_at().filter(|d| d.0 <= todo[0].0) {
            todo.insert(0, (due.0, RecordedInput::Due));
            run(&mut driver, &mut agenda, &mut steps, todo.remove(0));
        }
        for step in todo {
            run(&mut driver, &mut agenda, &mut steps, step);
        }
    }
    // The rest of the time passes, so that every query's limit lies within.
    let (mut now, end) = (Micros(0), Micros(8_000 * MS));
    while let Some(due) = driver.next_timer_at().filter(|d| *d <= end) {
        now = now.max(due);
        run(&mut driver, &mut agenda, &mut steps, (now.0, RecordedInput::Due));
    }
    run(&mut driver, &mut agenda, &mut steps, (end.0, RecordedInput::Due));
    steps
}

fn run(driver: &mut Driver, agenda: &mut Agenda, steps: &mut Vec<Step>, (at, told): (i64, RecordedInput)) {
    // A wire asks before it writes, and tells no end of what it did not write.
    let idle = match &told {
        RecordedInput::Input(Input::Dispatched(attempt)) => !driver.may_write(Micros(at), *attempt),
        RecordedInput::Input(Input::AttemptEnded { attempt, .. }) => !driver.is_in_flight(*attempt),
        _ => false,
    };
    if idle {
        return;
    }
    let mut out = Vec::new();
    let taken = wheelfield_replay::feed(driver, Micros(at), &told, &mut out);
    for i in &out {
        if let Instruction::Start { attempt, .. } = i {
            plan(agenda, at + MS, RecordedInput::Input(Input::Dispatched(*attempt)));
            let full = attempt.query.0 % 10 == 3 && attempt.number == 0;
            let outcome = if full { Outcome::Full } else { Outcome::Served };
            let (report, billed_work) = (LoadReport::default(), (!full).then_some(0.03));
            let ended =
                Input::AttemptEnded { attempt: *attempt, outcome, reported_work: billed_work, report };
            plan(agenda, at + 30 * MS, RecordedInput::Input(ended));
        }
    }
    steps.push(Step { at: Micros(at), told, taken, out });
}

fn write(path: &Path, steps: &[Step]) {
    let start = Start {
        build: "test 0".into(),
        index: 0,
        seed: 7,
        settings: settings(),
        bounds: DriverLimits::default(),
        classes: ["any", "once", "ordered", "bound"].map(String::from).to_vec(),
        tenants: Vec::new(),
    };
    let driver = Driver::new(settings(), 7, DriverLimits::default());
    let limits =
        Limits { max_queued_blocks: 1 << 16, checkpoint_interval: Micros(i64::MAX), ..Limits::default() };
    let mut recorder = Recorder::begin(path, start, limits, &driver, Micros(0)).expect("a file");
    recorder.engines(Micros(0), (1..=4).map(|n| (EngineId(n), format!("engine-{n}"))));
    for s in steps {
        recorder.step(s.at, &s.told, s.taken, &s.out);
    }
    assert_eq!(recorder.end(Micros(9_000 * MS)).lost, 0);
}

fn judged(steps: &[Step]) -> CheckReport {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("x.wfcap");
    write(&path, steps);
    check(&[path], 0).expect("a capture")
}

/// The rules that a day with a fault breaks.
fn broken(plant: impl FnOnce(&mut Vec<Step>)) -> Vec<&'static str> {
    let mut steps = day();
    plant(&mut steps);
    let breaches = judged(&steps).violations;
    let mut rules: Vec<&str> = breaches.iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// The step in which the n-th query of a class came and was sent.
fn arrival(steps: &[Step], class: usize, nth: usize) -> (usize, QueryId, EngineId) {
    let sent = |s: &Step| {
        s.out
            .iter()
            .find_map(|i| if let Instruction::Start { engine, .. } = i { Some(*engine) } else { None })
    };
    let of = |(i, s): (usize, &Step)| match &s.told {
        RecordedInput::Arrive { arrival, .. } if arrival.class == class => Some((i, s.taken?, sent(s)?)),
        _ => None,
    };
    steps.iter().enumerate().filter_map(of).nth(nth).expect("a query that was sent")
}

/// Another attempt of a query is started and written at a step.
fn also(steps: &mut Vec<Step>, at: usize, query: QueryId, number: usize, engine: EngineId) {
    let attempt = AttemptId { query, number };
    let when = steps[at].at;
    let terms = wheelfield_driver::AttemptOptions::default();
    steps[at].out.push(Instruction::Start { attempt, engine, options: terms });
    let told = RecordedInput::Input(Input::Dispatched(attempt));
    steps.insert(at + 1, Step { at: when, told, taken: None, out: Vec::new() });
}

#[test]
fn a_day_with_nothing_wrong_has_no_breach() {
    let checked = judged(&day());
    assert!(checked.violations.is_empty(), "{:?}", checked.violations);
    assert_eq!((checked.queries, checked.unfinished_queries, checked.lifetimes), (80, 0, 1));
    assert!(checked.attempts > 80, "the queries turned away were sent again");
    assert!(checked.stalls.is_empty());
}

#[test]
fn a_query_without_its_answer_with_two_or_with_a_late_one_is_lost() {
    let unserved = |steps: &mut Vec<Step>, query: QueryId| {
        steps.retain(
            |s| !matches!(&s.told, RecordedInput::Input(Input::AttemptEnded { attempt, .. }) if attempt.query == query),
        );
        for s in steps {
            s.out.retain(|i| !matches!(i, Instruction::Answer(q, _) if *q == query));
        }
    };
    assert_eq!(
        broken(|steps| {
            let (_, query, _) = arrival(steps, REPEATABLE, 5);
            unserved(steps, query);
        }),
        ["lost"]
    );
    let answer = |q| Instruction::Answer(q, Answer::Failed { may_have_run: true });
    assert_eq!(
        broken(|steps| {
            let (at, query, _) = arrival(steps, REPEATABLE, 5);
            steps[at + 40].out.push(answer(query));
        }),
        ["lost"]
    );
    assert_eq!(
        broken(|steps| {
            let (_, query, _) = arrival(steps, REPEATABLE, 5);
            unserved(steps, query);
            steps.last_mut().expect("one").out.push(answer(query));
        }),
        ["lost"]
    );
}

#[test]
fn work_sent_twice_that_must_not_run_twice() {
    assert_eq!(
        broken(|steps| {
            let (at, query, engine) = arrival(steps, ONCE, 5);
            also(steps, at + 2, query, 1, EngineId(3 - (engine.0 - 1) % 2));
        }),
        ["twice"]
    );
}

#[test]
fn work_sent_to_an_engine_that_was_told_to_drain() {
    let elsewhere = |steps: &mut Vec<Step>, nth: usize| {
        let (at, _, _) = arrival(steps, REPEATABLE, nth);
        for i in &mut steps[at].out {
            if let Instruction::Start { engine, .. } = i {
                *engine = EngineId(4);
            }
        }
    };
    assert!(broken(|steps| elsewhere(steps, 3)).is_empty(), "before it was told");
    assert_eq!(broken(|steps| elsewhere(steps, 10)), ["drain"]);
}

#[test]
fn a_cold_engine_that_gets_more_than_it_can_bear() {
    // Four cores at a quarter, twice that in a second: two seconds of work. Eighty queries of 0.1 s are too much.
    assert_eq!(
        broken(|steps| {
            for s in steps.iter_mut() {
                match &mut s.told {
                    RecordedInput::Arrive { arrival, .. } => arrival.work_hint = Some(0.2),
                    RecordedInput::Input(Input::AttemptEnded { reported_work: billed_work, .. }) => {
                        *billed_work = Some(0.2)
                    }
                    _ => {}
                }
                for i in &mut s.out {
                    match i {
                        Instruction::Start { engine, .. } if s.at.0 > 2_000 * MS => *engine = EngineId(3),
                        _ => {}
                    }
                }
            }
        }),
        ["cold", "placement"],
        "engine 3 is in the wrong zone for the bound class, too"
    );
}

#[test]
fn a_key_that_runs_twice_at_once() {
    assert_eq!(
        broken(|steps| {
            let (_, query, _) = arrival(steps, ORDERED, 6);
            let (at, _, _) = arrival(steps, ORDERED, 5);
            // The sixth is written while the fifth runs, although it came only later.
            let told = RecordedInput::Input(Input::AttemptEnded {
                attempt: AttemptId { query: steps[at].taken.expect("taken"), number: 0 },
                outcome: Outcome::Served,
                reported_work: None,
                report: LoadReport::default(),
            });
            let ends = |s: &Step| matches!((&s.told, &told), (RecordedInput::Input(Input::AttemptEnded { attempt: a, .. }), RecordedInput::Input(Input::AttemptEnded { attempt: b, .. })) if a == b);
            let end = steps.iter().position(ends).expect("its end");
            let late = steps.iter().position(|s| s.taken == Some(query)).expect("the next") + 3;
            // Its end is told only after the next was written.
            let mut moved = steps.remove(end);
            moved.at = steps[late].at;
            steps.insert(late, moved);
        }),
        ["order"]
    );
}

#[test]
fn a_bound_class_sent_elsewhere() {
    assert_eq!(
        broken(|steps| {
            let (at, _, _) = arrival(steps, BOUND, 5);
            for i in &mut steps[at].out {
                if let Instruction::Start { engine, .. } = i {
                    *engine = EngineId(1);
                }
            }
        }),
        ["placement"]
    );
}

#[test]
fn more_further_attempts_than_the_budget_allows() {
    let further = |n: usize| {
        broken(|steps| {
            let (at, query, engine) = arrival(steps, REPEATABLE, 8);
            for number in 1..=n {
                also(steps, at + 2, query, number, engine);
            }
        })
    };
    assert_eq!(further(1), [""; 0]);
    assert_eq!(further(12), ["budget"]);
}

#[test]
fn what_comes_while_the_controller_stands_still_is_told_as_a_stall() {
    let mut steps = day();
    let at = steps.iter().position(|s| s.at.0 > 1_000 * MS).expect("a step");
    // The same day, but nothing is read for two seconds: all of it is found at once.
    let late = Micros(steps[at].at.0 + 2_000 * MS);
    steps.retain(|s| s.at <= late);
    for s in &mut steps[at..] {
        s.at = late;
    }
    let checked = judged(&steps);
    assert_eq!(checked.stalls.len(), 1, "{:?}", checked.stalls);
}

#[test]
fn captures_of_other_rules_are_not_judged_together() {
    let dir = tempfile::tempdir().expect("a directory");
    let (one, other) = (dir.path().join("a.wfcap"), dir.path().join("b.wfcap"));
    write(&one, &day());
    let driver = Driver::new(settings(), 7, DriverLimits::default());
    let altered = Settings { max_attempts: 1, ..settings() };
    let start = Start {
        build: "test 0".into(),
        index: 1,
        seed: 7,
        settings: altered,
        bounds: DriverLimits::default(),
        classes: Vec::new(),
        tenants: Vec::new(),
    };
    let recorder = Recorder::begin(&other, start, Limits::default(), &driver, Micros(0)).expect("a file");
    recorder.end(Micros(0));
    let fault = check(&[one, other], 0).expect_err("other rules").to_string();
    assert!(fault.contains("b.wfcap") && fault.contains("judge them apart"), "{fault}");
}
