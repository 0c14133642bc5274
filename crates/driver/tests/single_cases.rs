//! Edge cases of the driver's query and attempt state.

use wheelfield::interface::*;
use wheelfield_driver::*;

fn settings(semantics: ExecutionSemantics) -> Settings {
    let class = Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(5.0),
        value: 1.0,
        semantics,
        threads: 1.0,
        ..Class::default()
    };
    Settings {
        gateway_count: 1.0,
        classes: vec![class],
        cores: vec![8.0],
        cancellation: true,
        max_attempts: 3,
        max_retry_after: Micros::from_secs_f64(1.0),
        ..Settings::default()
    }
}

fn entry(n: u64, status: Status) -> EngineEntry {
    EngineEntry {
        engine: EngineId(n),
        zone: 0,
        kind: 0,
        cell: 0,
        status,
        started_at: None,
    }
}

struct Harness {
    driver: Driver,
    now: Micros,
}

impl Harness {
    fn new(semantics: ExecutionSemantics, engines: u64) -> Harness {
        let mut harness = Harness {
            driver: Driver::new(settings(semantics), 1, DriverLimits::default()),
            now: Micros(0),
        };
        harness.handle_input(Input::Started);
        harness.handle_input(Input::Engines {
            complete: true,
            entries: (1..=engines).map(|n| entry(n, Status::Up)).collect(),
        });
        harness
    }
    fn handle_input(&mut self, input: Input) -> Vec<Instruction> {
        let mut out = Vec::new();
        self.driver.handle_input(self.now, input, &mut out);
        out
    }
    fn submit(&mut self) -> (QueryId, Vec<Instruction>) {
        let mut out = Vec::new();
        let deadline = self.now + Micros::from_secs_f64(5.0);
        let arrival = Arrival {
            deadline,
            work_hint: Some(0.1),
            ..Arrival::default()
        };
        let id = self
            .driver
            .submit(self.now, arrival, &mut out)
            .expect("capacity is available");
        (id, out)
    }
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) -> Vec<Instruction> {
        self.handle_input(Input::AttemptEnded {
            attempt,
            outcome,
            reported_work: None,
            report: LoadReport::default(),
        })
    }
    fn advance_time_to(&mut self, seconds: f64) -> Vec<Instruction> {
        self.now = Micros::from_secs_f64(seconds);
        let mut out = Vec::new();
        self.driver.handle_timers(self.now, &mut out);
        out
    }
}

fn attempts_started(out: &[Instruction]) -> Vec<(AttemptId, EngineId)> {
    let start = |i: &Instruction| match i {
        Instruction::Start {
            attempt, engine, ..
        } => Some((*attempt, *engine)),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

fn answers_in(out: &[Instruction]) -> Vec<Answer> {
    out.iter()
        .filter_map(|i| {
            if let Instruction::Answer(_, a) = i {
                Some(*a)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn answer_and_timeout_at_the_same_time_give_one_result() {
    // Answer before timeout: the query is served and the timeout has no effect.
    let mut harness = Harness::new(ExecutionSemantics::AtMostOnce, 1);
    let (_, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    harness.now = Micros::from_secs_f64(5.0);
    assert!(answers_in(&harness.end_attempt(attempt, Outcome::Served)).is_empty());
    assert!(answers_in(&harness.advance_time_to(5.0)).is_empty());
    assert_eq!(
        (
            harness.driver.counters().served,
            harness.driver.counters().failed
        ),
        (1, 0)
    );
    // Timeout before answer: the query fails and the late answer is ignored.
    let mut harness = Harness::new(ExecutionSemantics::AtMostOnce, 1);
    let (_, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    assert_eq!(
        answers_in(&harness.advance_time_to(5.0)),
        [Answer::Failed { may_have_run: true }]
    );
    assert!(!harness.driver.may_answer(attempt));
    assert!(harness.end_attempt(attempt, Outcome::Served).is_empty());
    assert_eq!(
        (
            harness.driver.counters().served,
            harness.driver.counters().late_endings
        ),
        (0, 1)
    );
}

#[test]
fn draining_engine_cancels_unwritten_attempt() {
    let mut harness = Harness::new(ExecutionSemantics::AtMostOnce, 2);
    let (_, out) = harness.submit();
    let (attempt, engine) = attempts_started(&out)[0];
    assert!(harness.driver.may_write(harness.now, attempt));
    let out = harness.handle_input(Input::Engines {
        complete: false,
        entries: vec![entry(engine.0, Status::Draining)],
    });
    assert!(out.contains(&Instruction::Cancel(attempt)));
    let retries = attempts_started(&out);
    assert_eq!(
        retries.len(),
        1,
        "at-most-once work that never ran is retried on the other engine"
    );
    assert_ne!(retries[0].1, engine);
    assert!(!harness.driver.may_write(harness.now, attempt));
}

#[test]
fn removed_engine_keeps_written_attempt() {
    let mut harness = Harness::new(ExecutionSemantics::AtMostOnce, 2);
    let (_, out) = harness.submit();
    let (attempt, engine) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    let out = harness.handle_input(Input::Engines {
        complete: true,
        entries: vec![entry(3 - engine.0, Status::Up)],
    });
    assert!(out.is_empty());
    assert!(harness.driver.may_answer(attempt));
}

#[test]
fn at_most_once_query_is_not_retried_after_reset() {
    let mut harness = Harness::new(ExecutionSemantics::AtMostOnce, 3);
    let (_, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    let out = harness.end_attempt(attempt, Outcome::Reset);
    assert_eq!(answers_in(&out), [Answer::Failed { may_have_run: true }]);
    assert!(attempts_started(&out).is_empty());
    assert_eq!(harness.driver.queries_held(), 0);
}

#[test]
fn interrupted_answer_fails_even_an_idempotent_query() {
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, 3);
    let (_, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    harness.handle_input(Input::AnswerStarted(attempt));
    assert!(
        answers_in(&harness.advance_time_to(20.0)).is_empty(),
        "the driver does not time out an attempt whose answer has started"
    );
    assert_eq!(
        answers_in(&harness.end_attempt(attempt, Outcome::Reset)),
        [Answer::Interrupted]
    );
    assert_eq!(harness.driver.queries_held(), 0);
}

#[test]
fn abandoned_query_is_cancelled_and_gets_no_answer() {
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, 2);
    let (id, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    assert_eq!(
        harness.handle_input(Input::Abandoned(id)),
        [Instruction::Cancel(attempt)]
    );
    assert!(!harness.driver.may_answer(attempt));
    assert!(harness.end_attempt(attempt, Outcome::Served).is_empty());
    assert_eq!(harness.driver.queries_held(), 0);
    assert_eq!(harness.driver.counters().served, 0);
}

#[test]
fn unconfirmed_cancellation_ends_after_its_timeout() {
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, 2);
    let (id, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    harness.handle_input(Input::Abandoned(id));
    assert_eq!(harness.driver.queries_held(), 1);
    harness.advance_time_to(0.2);
    assert_eq!(harness.driver.queries_held(), 1);
    harness.advance_time_to(0.3);
    assert_eq!(harness.driver.queries_held(), 0);
}

#[test]
fn query_over_the_limit_is_not_accepted() {
    let limits = DriverLimits {
        max_queries: 1,
        ..DriverLimits::default()
    };
    let mut driver = Driver::new(settings(ExecutionSemantics::AtMostOnce), 1, limits);
    let mut out = Vec::new();
    driver.handle_input(
        Micros(0),
        Input::Engines {
            complete: true,
            entries: vec![entry(1, Status::Up)],
        },
        &mut out,
    );
    let arrival = Arrival {
        deadline: Micros(5_000_000),
        ..Arrival::default()
    };
    assert!(driver.submit(Micros(0), arrival.clone(), &mut out).is_ok());
    out.clear();
    assert_eq!(
        driver.submit(Micros(0), arrival, &mut out),
        Err(CapacityExceeded)
    );
    assert!(out.is_empty());
}

#[test]
fn peer_reports_about_unlisted_engines_are_ignored() {
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, 1);
    let peer_report = PeerLoadReport {
        engine: EngineId(99),
        report: LoadReport {
            utilisation: Some(1.0),
            ..LoadReport::default()
        },
    };
    assert!(harness
        .handle_input(Input::PeerReports(vec![peer_report]))
        .is_empty());
    assert!(!harness.driver.knows_engine(EngineId(99)));
}

/// Opening a session or connection may take long. Whether a retry is still within the deduplication window is therefore checked
/// when it is written, not only when it is started.
#[test]
fn retry_after_the_deduplication_window_may_not_be_written() {
    let mut settings = settings(ExecutionSemantics::IdempotencyKey);
    settings.classes[0].deduplication_window = Micros::from_secs_f64(0.4);
    let mut harness = Harness {
        driver: Driver::new(settings, 1, DriverLimits::default()),
        now: Micros(0),
    };
    harness.handle_input(Input::Started);
    harness.handle_input(Input::Engines {
        complete: true,
        entries: vec![entry(1, Status::Up)],
    });
    let (_, out) = harness.submit();
    let (first, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(first));
    harness.now = Micros::from_secs_f64(0.3);
    let out = harness.end_attempt(first, Outcome::Reset);
    let (retry, _) = attempts_started(&out)[0];
    assert!(harness.driver.may_write(harness.now, retry));
    harness.now = Micros::from_secs_f64(0.41);
    assert!(!harness.driver.may_write(harness.now, retry));
}

/// In a week in which an engine is replaced every minute, the number of engines that are kept does not grow
/// beyond its bound.
#[test]
fn removed_engines_are_forgotten_in_a_week_of_turnover() {
    const ENGINES: u64 = 20;
    const REPLACEMENTS_PER_DAY: u64 = 1_440;
    const MAX_REMOVED: usize = 1_024;
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, ENGINES);
    let mut known = Vec::new();
    for n in 1..=7 * REPLACEMENTS_PER_DAY {
        harness.now = harness.now + Micros::from_secs_f64(60.0);
        let entries = vec![entry(n, Status::Removed), entry(n + ENGINES, Status::Up)];
        harness.handle_input(Input::Engines {
            complete: false,
            entries,
        });
        if n % REPLACEMENTS_PER_DAY == 0 {
            known.push(harness.driver.engine_count());
        }
    }
    let limit = ENGINES as usize + MAX_REMOVED + 2;
    assert!(known.iter().all(|count| *count <= limit), "{known:?}");
    assert_eq!(known.first(), known.last());
    let newest = EngineId(7 * REPLACEMENTS_PER_DAY + ENGINES);
    assert!(harness.driver.knows_engine(newest) && !harness.driver.knows_engine(EngineId(1)));
    let (_, instructions) = harness.submit();
    assert!(instructions
        .iter()
        .any(|instruction| matches!(instruction, Instruction::Start { .. })));
}

/// Regression test: a result that may be that of an earlier attempt counted as the end of the present one, so that the next query of
/// the key did not wait until the present one can no longer be running.
#[test]
fn a_result_of_an_earlier_attempt_serves_the_query_and_cancels_the_attempt_in_flight() {
    let mut harness = Harness::new(ExecutionSemantics::Idempotent, 1);
    let (query, out) = harness.submit();
    let (attempt, _) = attempts_started(&out)[0];
    harness.handle_input(Input::Dispatched(attempt));
    let report = LoadReport::default();
    let out = harness.handle_input(Input::ServedByEarlierAttempt { attempt, report });
    assert_eq!(out, []);
    assert!(!harness.driver.awaits_answer(query) && !harness.driver.is_in_flight(attempt));
    assert_eq!(harness.driver.queries_held(), 0);
    let counters = harness.driver.counters();
    assert_eq!((counters.served, counters.failed), (1, 0));
    // A second end of the attempt changes nothing.
    assert_eq!(harness.end_attempt(attempt, Outcome::Served), []);
    assert_eq!(harness.driver.counters().late_endings, 1);
}
