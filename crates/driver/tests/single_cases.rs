//! Single hard cases of the books, one by one.

use wheelfield::interface::*;
use wheelfield_driver::*;

fn settings(effect: ExecutionSemantics) -> Settings {
    let class = Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(5.0),
        value: 1.0,
        semantics: effect,
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

struct Rig {
    driver: Driver,
    now: Micros,
}

impl Rig {
    fn new(effect: ExecutionSemantics, engines: u64) -> Rig {
        let mut rig = Rig {
            driver: Driver::new(settings(effect), 1, DriverLimits::default()),
            now: Micros(0),
        };
        rig.tell(Input::Started);
        rig.tell(Input::Engines {
            complete: true,
            entries: (1..=engines).map(|n| entry(n, Status::Up)).collect(),
        });
        rig
    }
    fn tell(&mut self, input: Input) -> Vec<Instruction> {
        let mut out = Vec::new();
        self.driver.handle_input(self.now, input, &mut out);
        out
    }
    fn arrive(&mut self) -> (QueryId, Vec<Instruction>) {
        let mut out = Vec::new();
        let due = self.now + Micros::from_secs_f64(5.0);
        let arrival = Arrival {
            deadline: due,
            work_hint: Some(0.1),
            ..Arrival::default()
        };
        let id = self
            .driver
            .submit(self.now, arrival, &mut out)
            .expect("room");
        (id, out)
    }
    fn end(&mut self, attempt: AttemptId, outcome: Outcome) -> Vec<Instruction> {
        self.tell(Input::AttemptEnded {
            attempt,
            outcome,
            reported_work: None,
            report: LoadReport::default(),
        })
    }
    fn due(&mut self, at: f64) -> Vec<Instruction> {
        self.now = Micros::from_secs_f64(at);
        let mut out = Vec::new();
        self.driver.handle_timers(self.now, &mut out);
        out
    }
}

fn started(out: &[Instruction]) -> Vec<(AttemptId, EngineId)> {
    let start = |i: &Instruction| match i {
        Instruction::Start {
            attempt, engine, ..
        } => Some((*attempt, *engine)),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

fn answers(out: &[Instruction]) -> Vec<Answer> {
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
fn the_answer_and_the_time_out_in_one_turn() {
    // Answer first: served, and the time-out finds nothing.
    let mut rig = Rig::new(ExecutionSemantics::AtMostOnce, 1);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.now = Micros::from_secs_f64(5.0);
    assert!(answers(&rig.end(attempt, Outcome::Served)).is_empty());
    assert!(answers(&rig.due(5.0)).is_empty());
    assert_eq!(
        (rig.driver.counters().served, rig.driver.counters().failed),
        (1, 0)
    );
    // Time-out first: failed, and the answer is dropped by its number.
    let mut rig = Rig::new(ExecutionSemantics::AtMostOnce, 1);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    assert_eq!(
        answers(&rig.due(5.0)),
        [Answer::Failed { may_have_run: true }]
    );
    assert!(!rig.driver.may_answer(attempt));
    assert!(rig.end(attempt, Outcome::Served).is_empty());
    assert_eq!(
        (
            rig.driver.counters().served,
            rig.driver.counters().late_endings
        ),
        (0, 1)
    );
}

#[test]
fn a_drain_takes_back_what_was_not_written() {
    let mut rig = Rig::new(ExecutionSemantics::AtMostOnce, 2);
    let (_, out) = rig.arrive();
    let (attempt, engine) = started(&out)[0];
    assert!(rig.driver.may_write(rig.now, attempt));
    let out = rig.tell(Input::Engines {
        complete: false,
        entries: vec![entry(engine.0, Status::Draining)],
    });
    assert!(out.contains(&Instruction::Cancel(attempt)));
    let again = started(&out);
    assert_eq!(
        again.len(),
        1,
        "once-only work that never ran goes to the other engine"
    );
    assert_ne!(again[0].1, engine);
    assert!(!rig.driver.may_write(rig.now, attempt));
}

#[test]
fn a_drain_leaves_alone_what_was_written() {
    let mut rig = Rig::new(ExecutionSemantics::AtMostOnce, 2);
    let (_, out) = rig.arrive();
    let (attempt, engine) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    let out = rig.tell(Input::Engines {
        complete: true,
        entries: vec![entry(3 - engine.0, Status::Up)],
    });
    assert!(out.is_empty());
    assert!(rig.driver.may_answer(attempt));
}

#[test]
fn a_once_only_query_whose_engine_dies_is_never_sent_again() {
    let mut rig = Rig::new(ExecutionSemantics::AtMostOnce, 3);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    let out = rig.end(attempt, Outcome::Reset);
    assert_eq!(answers(&out), [Answer::Failed { may_have_run: true }]);
    assert!(started(&out).is_empty());
    assert_eq!(rig.driver.queries_held(), 0);
}

#[test]
fn an_answer_that_breaks_off_is_a_failure_even_of_repeatable_work() {
    let mut rig = Rig::new(ExecutionSemantics::Idempotent, 3);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.tell(Input::AnswerStarted(attempt));
    assert!(
        answers(&rig.due(20.0)).is_empty(),
        "an answer that has begun is timed by the wire"
    );
    assert_eq!(
        answers(&rig.end(attempt, Outcome::Reset)),
        [Answer::Interrupted]
    );
    assert_eq!(rig.driver.queries_held(), 0);
}

#[test]
fn a_client_that_left_gets_nothing_and_its_attempt_is_withdrawn() {
    let mut rig = Rig::new(ExecutionSemantics::Idempotent, 2);
    let (id, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    assert_eq!(
        rig.tell(Input::Abandoned(id)),
        [Instruction::Cancel(attempt)]
    );
    assert!(!rig.driver.may_answer(attempt));
    assert!(rig.end(attempt, Outcome::Served).is_empty());
    assert_eq!(rig.driver.queries_held(), 0);
    assert_eq!(rig.driver.counters().served, 0);
}

#[test]
fn a_withdrawal_without_an_echo_is_settled() {
    let mut rig = Rig::new(ExecutionSemantics::Idempotent, 2);
    let (id, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.tell(Input::Abandoned(id));
    assert_eq!(rig.driver.queries_held(), 1);
    rig.due(0.2);
    assert_eq!(rig.driver.queries_held(), 1);
    rig.due(0.3);
    assert_eq!(rig.driver.queries_held(), 0);
}

#[test]
fn full_books_take_nothing() {
    let bounds = DriverLimits {
        max_queries: 1,
        ..DriverLimits::default()
    };
    let mut driver = Driver::new(settings(ExecutionSemantics::AtMostOnce), 1, bounds);
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
fn words_on_engines_that_no_list_has_named_are_left_out() {
    let mut rig = Rig::new(ExecutionSemantics::Idempotent, 1);
    let word = PeerLoadReport {
        engine: EngineId(99),
        report: LoadReport {
            utilisation: Some(1.0),
            ..LoadReport::default()
        },
    };
    assert!(rig.tell(Input::PeerReports(vec![word])).is_empty());
    assert!(!rig.driver.knows_engine(EngineId(99)));
}

/// A session or connection may take long to come up: whether a repeat is still one that engines drop is asked as it is written.
#[test]
fn a_repeat_whose_window_has_closed_may_not_be_written() {
    let mut settings = settings(ExecutionSemantics::IdempotencyKey);
    settings.classes[0].deduplication_window = Micros::from_secs_f64(0.4);
    let mut rig = Rig {
        driver: Driver::new(settings, 1, DriverLimits::default()),
        now: Micros(0),
    };
    rig.tell(Input::Started);
    rig.tell(Input::Engines {
        complete: true,
        entries: vec![entry(1, Status::Up)],
    });
    let (_, out) = rig.arrive();
    let (first, _) = started(&out)[0];
    rig.tell(Input::Dispatched(first));
    rig.now = Micros::from_secs_f64(0.3);
    let out = rig.end(first, Outcome::Reset);
    let (again, _) = started(&out)[0];
    assert!(rig.driver.may_write(rig.now, again));
    rig.now = Micros::from_secs_f64(0.41);
    assert!(!rig.driver.may_write(rig.now, again));
}
