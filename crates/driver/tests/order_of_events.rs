//! The driver under inputs that come late, doubled and out of order: the books must not be fooled.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::*;
use wheelfield_driver::*;

fn class(effect: ExecutionSemantics) -> Class {
    Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(4.0),
        value: 1.0,
        semantics: effect,
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

/// What a query may look like from outside, kept apart from the driver's own books.
#[derive(Default)]
struct Seen {
    class: usize,
    due: Micros,
    answers: usize,
    departed: bool,
    attempts: BTreeMap<usize, Attempted>,
}

#[derive(Default)]
struct Attempted {
    written: bool,
    outcome: Option<Outcome>,
    /// The driver withdrew it before a byte was written: it never ran.
    taken_back: bool,
}

struct World {
    driver: Driver,
    now: Micros,
    seen: BTreeMap<QueryId, Seen>,
    up: BTreeSet<u64>,
    started: usize,
}

impl World {
    fn new() -> World {
        let bounds = DriverLimits {
            max_queries: 200,
            ..DriverLimits::default()
        };
        let driver = Driver::new(settings(), 5, bounds);
        let mut world = World {
            driver,
            now: Micros(1_000_000),
            seen: BTreeMap::new(),
            up: (1..=4).collect(),
            started: 0,
        };
        world.tell(Input::Started);
        let entries = (1..=4).map(|n| engine(n, Status::Up)).collect();
        world.tell(Input::Engines {
            complete: true,
            entries,
        });
        world
    }

    fn tell(&mut self, input: Input) {
        let mut out = Vec::new();
        self.driver.handle_input(self.now, input, &mut out);
        self.check(out);
    }

    fn arrive(&mut self, class: usize) {
        let mut out = Vec::new();
        if let Ok(id) = self
            .driver
            .submit(self.now, arrival(class, self.now), &mut out)
        {
            let due = self.now + Micros::from_secs_f64(4.0);
            self.seen.insert(
                id,
                Seen {
                    class,
                    due,
                    ..Seen::default()
                },
            );
        }
        self.check(out);
    }

    fn pass(&mut self, by: i64) {
        self.now = self.now + Micros(by);
        let mut out = Vec::new();
        self.driver.handle_timers(self.now, &mut out);
        self.check(out);
        for (id, seen) in &self.seen {
            let late = self.now >= seen.due && seen.answers == 0 && !seen.departed;
            let began = self.driver.deadline_of(*id).is_some() && !self.driver.awaits_answer(*id);
            assert!(
                !late || began || self.answering(*id),
                "query {id:?} has no answer at its time"
            );
        }
    }

    /// An answer that has begun is timed by the wire.
    fn answering(&self, id: QueryId) -> bool {
        let attempts = self.seen[&id].attempts.keys();
        attempts.clone().any(|n| {
            self.driver.is_in_flight(AttemptId {
                query: id,
                number: *n,
            })
        })
    }

    fn check(&mut self, out: Vec<Instruction>) {
        for instruction in out {
            match instruction {
                Instruction::Start {
                    attempt, engine, ..
                } => {
                    self.started += 1;
                    assert!(
                        self.up.contains(&engine.0),
                        "sent to an engine that takes no work"
                    );
                    let seen = self.seen.entry(attempt.query).or_default();
                    assert_eq!(seen.answers, 0, "sent after the answer");
                    assert!(!seen.departed, "sent after the client left");
                    assert_eq!(attempt.number, seen.attempts.len(), "numbers count up");
                    let ran =
                        |a: &Attempted| !a.taken_back && !a.outcome.is_some_and(Outcome::never_ran);
                    let may_have_run = seen.attempts.values().any(ran);
                    assert!(
                        seen.class != 1 || !may_have_run,
                        "a once-only query is sent again"
                    );
                    seen.attempts.insert(attempt.number, Attempted::default());
                }
                Instruction::Cancel(attempt) => {
                    let seen = self.seen.get_mut(&attempt.query).expect("known");
                    let a = seen.attempts.get_mut(&attempt.number).expect("started");
                    a.taken_back = !a.written;
                }
                Instruction::Answer(query, answer) => {
                    let seen = self.seen.entry(query).or_default();
                    seen.answers += 1;
                    assert_eq!(seen.answers, 1, "two answers");
                    assert!(!seen.departed, "an answer after the client left");
                    let ran = |a: &Attempted| {
                        a.written && !a.taken_back && !a.outcome.is_some_and(Outcome::never_ran)
                    };
                    if matches!(answer, Answer::Rejected { .. }) && seen.class == 1 {
                        assert!(
                            !seen.attempts.values().any(ran),
                            "refused though it may have run"
                        );
                    }
                }
                _ => {}
            }
        }
    }

    fn nth_attempt(&self, pick: usize) -> Option<AttemptId> {
        let all: Vec<AttemptId> = self
            .seen
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

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let counts = self.driver.is_in_flight(attempt);
        let serves = outcome == Outcome::Served && self.driver.may_answer(attempt);
        let seen = self.seen.get_mut(&attempt.query).expect("known");
        let a = seen.attempts.get_mut(&attempt.number).expect("started");
        // What was never written can't have been served or broken.
        if !a.written && !outcome.never_ran() {
            return;
        }
        if counts {
            a.outcome = Some(outcome);
        }
        if serves {
            seen.answers += 1;
            assert_eq!(seen.answers, 1, "served after an answer");
        }
        self.tell(Input::AttemptEnded {
            attempt,
            outcome,
            reported_work: None,
            report: LoadReport::default(),
        });
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Write(usize),
    Begin(usize),
    End(usize, Outcome, bool),
    Depart(usize),
    Pass(i64),
    Drain(u64),
    Back(u64),
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
        4 => (0usize..3).prop_map(Step::Arrive),
        4 => any::<usize>().prop_map(Step::Write),
        1 => any::<usize>().prop_map(Step::Begin),
        5 => (any::<usize>(), outcome(), any::<bool>()).prop_map(|(a, o, twice)| Step::End(a, o, twice)),
        1 => any::<usize>().prop_map(Step::Depart),
        3 => (1i64..900_000).prop_map(Step::Pass),
        1 => (1u64..5).prop_map(Step::Drain),
        1 => (1u64..5).prop_map(Step::Back),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// One answer for each query, none twice, once-only work never again, whatever comes late, doubled or crossed.
    #[test]
    fn the_books_hold(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for step in steps {
            match step {
                Step::Arrive(class) => world.arrive(class),
                Step::Write(pick) => {
                    if let Some(a) = world.nth_attempt(pick).filter(|a| world.driver.may_write(world.now, *a)) {
                        let seen = world.seen.get_mut(&a.query).expect("known");
                        seen.attempts.get_mut(&a.number).expect("started").written = true;
                        world.tell(Input::Dispatched(a));
                    }
                }
                Step::Begin(pick) => {
                    if let Some(a) = world.nth_attempt(pick) {
                        if world.seen[&a.query].attempts[&a.number].written {
                            world.tell(Input::AnswerStarted(a));
                        }
                    }
                }
                Step::End(pick, outcome, twice) => {
                    if let Some(a) = world.nth_attempt(pick) {
                        world.end(a, outcome);
                        if twice {
                            world.end(a, Outcome::Served);
                        }
                    }
                }
                Step::Depart(pick) => {
                    if let Some(a) = world.nth_attempt(pick) {
                        let owed = world.driver.awaits_answer(a.query);
                        world.seen.get_mut(&a.query).expect("known").departed |= owed;
                        world.tell(Input::Abandoned(a.query));
                    }
                }
                Step::Pass(by) => world.pass(by),
                Step::Drain(n) => {
                    world.up.remove(&n);
                    world.tell(Input::Engines { complete: false, entries: vec![engine(n, Status::Draining)] });
                }
                Step::Back(n) => {
                    world.up.insert(n);
                    world.tell(Input::Engines { complete: false, entries: vec![engine(n, Status::Up)] });
                }
            }
        }
        // When all that is out has ended and the time of all is past, the books are empty.
        let left: Vec<AttemptId> = (0..world.started).filter_map(|n| world.nth_attempt(n)).collect();
        world.pass(30_000_000);
        for a in left {
            world.tell(Input::AttemptEnded { attempt: a, outcome: Outcome::Reset, reported_work: None, report: LoadReport::default() });
        }
        world.pass(1_000_000);
        prop_assert_eq!(world.driver.queries_held(), 0);
    }

    /// The same inputs give the same instructions.
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
                driver.submit(now, arrival(*class, now), &mut out).expect("room");
            }
            out
        };
        prop_assert_eq!(run(), run());
    }
}
