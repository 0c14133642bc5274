//! Property tests of the driver: its state stays consistent when inputs are late, duplicated or out of order.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::*;
use wheelfield_driver::*;

fn class(semantics: ExecutionSemantics) -> Class {
    Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(4.0),
        value: 1.0,
        semantics,
        threads: 1.0,
        deduplication_window: Micros::from_secs_f64(2.0),
        ..Class::default()
    }
}

fn settings() -> Settings {
    Settings {
        gateway_count: 1.0,
        classes: vec![
            class(ExecutionSemantics::Idempotent),
            class(ExecutionSemantics::AtMostOnce),
            class(ExecutionSemantics::IdempotencyKey),
        ],
        cores: vec![8.0],
        memory_mb: vec![1000.0],
        cancellation: true,
        load_reports: true,
        reports_utilisation: true,
        max_attempts: 4,
        progress_interval: Micros::from_secs_f64(1.0),
        slow_start_initial_fraction: 0.4,
        slow_start_duration: Micros::from_secs_f64(5.0),
        overload_multiple: 3.0,
        overload_window: Micros::from_secs_f64(1.0),
        ..Settings::default()
    }
}

fn engine(n: u64, status: Status) -> EngineEntry {
    EngineEntry {
        engine: EngineId(n),
        zone: 0,
        kind: 0,
        cell: n as i64,
        status,
        started_at: None,
    }
}

fn arrival(class: usize, now: Micros) -> Arrival {
    Arrival {
        class,
        deadline: now + Micros::from_secs_f64(4.0),
        work_hint: Some(0.2),
        ..Arrival::default()
    }
}

/// The state of a query as seen from outside the driver, tracked independently of the driver's own state.
#[derive(Default)]
struct ObservedQuery {
    class: usize,
    deadline: Micros,
    answers: usize,
    abandoned: bool,
    attempts: BTreeMap<usize, ObservedAttempt>,
}

#[derive(Default)]
struct ObservedAttempt {
    written: bool,
    outcome: Option<Outcome>,
    /// The driver cancelled it before a byte was written, so it never ran.
    never_written: bool,
}

struct Harness {
    driver: Driver,
    now: Micros,
    queries: BTreeMap<QueryId, ObservedQuery>,
    engines_up: BTreeSet<u64>,
    attempts_started: usize,
}

impl Harness {
    fn new() -> Harness {
        let limits = DriverLimits {
            max_queries: 200,
            ..DriverLimits::default()
        };
        let driver = Driver::new(settings(), 5, limits);
        let mut harness = Harness {
            driver,
            now: Micros(1_000_000),
            queries: BTreeMap::new(),
            engines_up: (1..=4).collect(),
            attempts_started: 0,
        };
        harness.handle_input(Input::Started);
        let entries = (1..=4).map(|n| engine(n, Status::Up)).collect();
        harness.handle_input(Input::Engines {
            complete: true,
            entries,
        });
        harness
    }

    fn handle_input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.driver.handle_input(self.now, input, &mut out);
        self.check_instructions(out);
    }

    fn submit(&mut self, class: usize) {
        let mut out = Vec::new();
        if let Ok(id) = self
            .driver
            .submit(self.now, arrival(class, self.now), &mut out)
        {
            let deadline = self.now + Micros::from_secs_f64(4.0);
            self.queries.insert(
                id,
                ObservedQuery {
                    class,
                    deadline,
                    ..ObservedQuery::default()
                },
            );
        }
        self.check_instructions(out);
    }

    fn advance_time(&mut self, by: i64) {
        self.now = self.now + Micros(by);
        let mut out = Vec::new();
        self.driver.handle_timers(self.now, &mut out);
        self.check_instructions(out);
        for (id, observed) in &self.queries {
            let overdue =
                self.now >= observed.deadline && observed.answers == 0 && !observed.abandoned;
            let answer_started =
                self.driver.deadline_of(*id).is_some() && !self.driver.awaits_answer(*id);
            assert!(
                !overdue || answer_started || self.has_attempt_in_flight(*id),
                "query {id:?} has no answer at its deadline"
            );
        }
    }

    /// Whether an attempt of the query is in flight. Once an answer has started, the protocol layer limits its duration, not
    /// the driver.
    fn has_attempt_in_flight(&self, id: QueryId) -> bool {
        let attempts = self.queries[&id].attempts.keys();
        attempts.clone().any(|n| {
            self.driver.is_in_flight(AttemptId {
                query: id,
                number: *n,
            })
        })
    }

    fn check_instructions(&mut self, out: Vec<Instruction>) {
        for instruction in out {
            match instruction {
                Instruction::Start {
                    attempt, engine, ..
                } => {
                    self.attempts_started += 1;
                    assert!(
                        self.engines_up.contains(&engine.0),
                        "attempt on an engine that is not up"
                    );
                    let observed = self.queries.entry(attempt.query).or_default();
                    assert_eq!(observed.answers, 0, "attempt after the answer");
                    assert!(!observed.abandoned, "attempt after the client left");
                    assert_eq!(
                        attempt.number,
                        observed.attempts.len(),
                        "attempt numbers are consecutive"
                    );
                    let ran = |a: &ObservedAttempt| {
                        !a.never_written && !a.outcome.is_some_and(Outcome::never_ran)
                    };
                    let may_have_run = observed.attempts.values().any(ran);
                    assert!(
                        observed.class != 1 || !may_have_run,
                        "at-most-once query is retried"
                    );
                    observed
                        .attempts
                        .insert(attempt.number, ObservedAttempt::default());
                }
                Instruction::Cancel(attempt) => {
                    let observed = self.queries.get_mut(&attempt.query).expect("known");
                    let a = observed.attempts.get_mut(&attempt.number).expect("started");
                    a.never_written = !a.written;
                }
                Instruction::Answer(query, answer) => {
                    let observed = self.queries.entry(query).or_default();
                    observed.answers += 1;
                    assert_eq!(observed.answers, 1, "second answer for a query");
                    assert!(!observed.abandoned, "answer after the client left");
                    let ran = |a: &ObservedAttempt| {
                        a.written && !a.never_written && !a.outcome.is_some_and(Outcome::never_ran)
                    };
                    if matches!(answer, Answer::Rejected { .. }) && observed.class == 1 {
                        assert!(
                            !observed.attempts.values().any(ran),
                            "rejected although it may have run"
                        );
                    }
                }
                _ => {}
            }
        }
    }

    /// Maps an arbitrary number to one of the attempts so far.
    fn nth_attempt(&self, pick: usize) -> Option<AttemptId> {
        let all: Vec<AttemptId> = self
            .queries
            .iter()
            .flat_map(|(q, s)| {
                s.attempts.keys().map(|n| AttemptId {
                    query: *q,
                    number: *n,
                })
            })
            .collect();
        all.get(pick % all.len().max(1)).copied()
    }

    /// Reports the end of an attempt, which may have ended before.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let in_flight = self.driver.is_in_flight(attempt);
        let completes_query = outcome == Outcome::Served && self.driver.may_answer(attempt);
        let observed = self.queries.get_mut(&attempt.query).expect("known");
        let a = observed.attempts.get_mut(&attempt.number).expect("started");
        // An attempt that was never written cannot have been served or interrupted.
        if !a.written && !outcome.never_ran() {
            return;
        }
        if in_flight {
            a.outcome = Some(outcome);
        }
        if completes_query {
            observed.answers += 1;
            assert_eq!(observed.answers, 1, "query served after it was answered");
        }
        self.handle_input(Input::AttemptEnded {
            attempt,
            outcome,
            reported_work: None,
            report: LoadReport::default(),
        });
    }
}

/// A random step of the test. The `usize` of a step picks its attempt or its class.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Write(usize),
    StartAnswer(usize),
    /// Ends an attempt with an outcome; the flag adds a second report that it was served.
    EndAttempt(usize, Outcome, bool),
    Abandon(usize),
    AdvanceTime(i64),
    Drain(u64),
    Restore(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    prop::sample::select(vec![
        Served,
        Served,
        Served,
        Error,
        Full,
        TimedOut,
        ConnectFailed,
        Reset,
        Cancelled,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Submit),
        4 => any::<usize>().prop_map(Step::Write),
        1 => any::<usize>().prop_map(Step::StartAnswer),
        5 => (any::<usize>(), outcome(), any::<bool>()).prop_map(|(a, o, twice)| Step::EndAttempt(a, o, twice)),
        1 => any::<usize>().prop_map(Step::Abandon),
        3 => (1i64..900_000).prop_map(Step::AdvanceTime),
        1 => (1u64..5).prop_map(Step::Drain),
        1 => (1u64..5).prop_map(Step::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each query gets exactly one answer, and at-most-once work that may have run is never retried, even if inputs are late,
    /// duplicated or cross each other.
    #[test]
    fn every_query_gets_one_answer_for_inputs_in_any_order(steps in prop::collection::vec(step(), 1..200)) {
        let mut harness = Harness::new();
        for step in steps {
            match step {
                Step::Submit(class) => harness.submit(class),
                Step::Write(pick) => {
                    if let Some(a) = harness.nth_attempt(pick).filter(|a| harness.driver.may_write(harness.now, *a)) {
                        let observed = harness.queries.get_mut(&a.query).expect("known");
                        observed.attempts.get_mut(&a.number).expect("started").written = true;
                        harness.handle_input(Input::Dispatched(a));
                    }
                }
                Step::StartAnswer(pick) => {
                    if let Some(a) = harness.nth_attempt(pick) {
                        if harness.queries[&a.query].attempts[&a.number].written {
                            harness.handle_input(Input::AnswerStarted(a));
                        }
                    }
                }
                Step::EndAttempt(pick, outcome, twice) => {
                    if let Some(a) = harness.nth_attempt(pick) {
                        harness.end_attempt(a, outcome);
                        if twice {
                            harness.end_attempt(a, Outcome::Served);
                        }
                    }
                }
                Step::Abandon(pick) => {
                    if let Some(a) = harness.nth_attempt(pick) {
                        let unanswered = harness.driver.awaits_answer(a.query);
                        harness.queries.get_mut(&a.query).expect("known").abandoned |= unanswered;
                        harness.handle_input(Input::Abandoned(a.query));
                    }
                }
                Step::AdvanceTime(by) => harness.advance_time(by),
                Step::Drain(n) => {
                    harness.engines_up.remove(&n);
                    harness.handle_input(Input::Engines { complete: false, entries: vec![engine(n, Status::Draining)] });
                }
                Step::Restore(n) => {
                    harness.engines_up.insert(n);
                    harness.handle_input(Input::Engines { complete: false, entries: vec![engine(n, Status::Up)] });
                }
            }
        }
        // After every attempt has ended and every deadline has passed, the driver holds no queries.
        let remaining: Vec<AttemptId> = (0..harness.attempts_started).filter_map(|n| harness.nth_attempt(n)).collect();
        harness.advance_time(30_000_000);
        for a in remaining {
            harness.handle_input(Input::AttemptEnded { attempt: a, outcome: Outcome::Reset, reported_work: None, report: LoadReport::default() });
        }
        harness.advance_time(1_000_000);
        prop_assert_eq!(harness.driver.queries_held(), 0);
    }

    #[test]
    fn the_same_inputs_give_the_same_instructions(classes in prop::collection::vec(0usize..3, 1..60)) {
        let run = || {
            let mut driver = Driver::new(settings(), 9, DriverLimits::default());
            let mut out = Vec::new();
            driver.handle_input(Micros(0), Input::Started, &mut out);
            let entries = (1..=4).map(|n| engine(n, Status::Up)).collect();
            driver.handle_input(Micros(0), Input::Engines { complete: true, entries }, &mut out);
            for (i, class) in classes.iter().enumerate() {
                let now = Micros(i as i64 * 10_000);
                driver.handle_timers(now, &mut out);
                driver.submit(now, arrival(*class, now), &mut out).expect("capacity is available");
            }
            out
        };
        prop_assert_eq!(run(), run());
    }
}
