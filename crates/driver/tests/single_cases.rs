//! Single hard cases of the books, one by one.

use wheelfield::interface::*;
use wheelfield_driver::*;

fn settings(effect: Effect) -> Settings {
    let class = Class {
        aim: Micros::from_secs(1.0),
        deadline: Micros::from_secs(5.0),
        worth: 1.0,
        effect,
        threads: 1.0,
        ..Class::default()
    };
    Settings {
        gateways: 1.0,
        classes: vec![class],
        cores: vec![8.0],
        cancel: true,
        max_attempts: 3,
        max_retry_after: Micros::from_secs(1.0),
        ..Settings::default()
    }
}

fn entry(n: u64, status: Status) -> EngineEntry {
    EngineEntry { engine: EngineId(n), zone: 0, kind: 0, cell: 0, status, started: None }
}

struct Rig {
    driver: Driver,
    now: Micros,
}

impl Rig {
    fn new(effect: Effect, engines: u64) -> Rig {
        let mut rig = Rig { driver: Driver::new(settings(effect), 1, Bounds::default()), now: Micros(0) };
        rig.tell(Input::Started);
        rig.tell(Input::Engines {
            whole: true,
            entries: (1..=engines).map(|n| entry(n, Status::Up)).collect(),
        });
        rig
    }
    fn tell(&mut self, input: Input) -> Vec<Instruction> {
        let mut out = Vec::new();
        self.driver.tell(self.now, input, &mut out);
        out
    }
    fn arrive(&mut self) -> (QueryId, Vec<Instruction>) {
        let mut out = Vec::new();
        let due = self.now + Micros::from_secs(5.0);
        let arrival = Arrival { due, work_hint: Some(0.1), ..Arrival::default() };
        let id = self.driver.arrive(self.now, arrival, &mut out).expect("room");
        (id, out)
    }
    fn end(&mut self, attempt: AttemptId, outcome: Outcome) -> Vec<Instruction> {
        self.tell(Input::Ended { attempt, outcome, billed_work: None, report: Report::default() })
    }
    fn due(&mut self, at: f64) -> Vec<Instruction> {
        self.now = Micros::from_secs(at);
        let mut out = Vec::new();
        self.driver.due(self.now, &mut out);
        out
    }
}

fn started(out: &[Instruction]) -> Vec<(AttemptId, EngineId)> {
    let start = |i: &Instruction| match i {
        Instruction::Start { attempt, engine, .. } => Some((*attempt, *engine)),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

fn answers(out: &[Instruction]) -> Vec<Answer> {
    out.iter().filter_map(|i| if let Instruction::Answer(_, a) = i { Some(*a) } else { None }).collect()
}

#[test]
fn the_answer_and_the_time_out_in_one_turn() {
    // Answer first: served, and the time-out finds nothing.
    let mut rig = Rig::new(Effect::Once, 1);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.now = Micros::from_secs(5.0);
    assert!(answers(&rig.end(attempt, Outcome::Served)).is_empty());
    assert!(answers(&rig.due(5.0)).is_empty());
    assert_eq!((rig.driver.counts().served, rig.driver.counts().failed), (1, 0));
    // Time-out first: failed, and the answer is dropped by its number.
    let mut rig = Rig::new(Effect::Once, 1);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    assert_eq!(answers(&rig.due(5.0)), [Answer::Failed { may_have_run: true }]);
    assert!(!rig.driver.may_answer(attempt));
    assert!(rig.end(attempt, Outcome::Served).is_empty());
    assert_eq!((rig.driver.counts().served, rig.driver.counts().late), (0, 1));
}

#[test]
fn a_drain_takes_back_what_was_not_written() {
    let mut rig = Rig::new(Effect::Once, 2);
    let (_, out) = rig.arrive();
    let (attempt, engine) = started(&out)[0];
    assert!(rig.driver.may_write(rig.now, attempt));
    let out = rig.tell(Input::Engines { whole: false, entries: vec![entry(engine.0, Status::Draining)] });
    assert!(out.contains(&Instruction::Withdraw(attempt)));
    let again = started(&out);
    assert_eq!(again.len(), 1, "once-only work that never ran goes to the other engine");
    assert_ne!(again[0].1, engine);
    assert!(!rig.driver.may_write(rig.now, attempt));
}

#[test]
fn a_drain_leaves_alone_what_was_written() {
    let mut rig = Rig::new(Effect::Once, 2);
    let (_, out) = rig.arrive();
    let (attempt, engine) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    let out = rig.tell(Input::Engines { whole: true, entries: vec![entry(3 - engine.0, Status::Up)] });
    assert!(out.is_empty());
    assert!(rig.driver.may_answer(attempt));
}

#[test]
fn a_once_only_query_whose_engine_dies_is_never_sent_again() {
    let mut rig = Rig::new(Effect::Once, 3);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    let out = rig.end(attempt, Outcome::Reset);
    assert_eq!(answers(&out), [Answer::Failed { may_have_run: true }]);
    assert!(started(&out).is_empty());
    assert_eq!(rig.driver.held(), 0);
}

#[test]
fn an_answer_that_breaks_off_is_a_failure_even_of_repeatable_work() {
    let mut rig = Rig::new(Effect::Repeatable, 3);
    let (_, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.tell(Input::Began(attempt));
    assert!(answers(&rig.due(20.0)).is_empty(), "an answer that has begun is timed by the wire");
    assert_eq!(answers(&rig.end(attempt, Outcome::Reset)), [Answer::Broken]);
    assert_eq!(rig.driver.held(), 0);
}

#[test]
fn a_client_that_left_gets_nothing_and_its_attempt_is_withdrawn() {
    let mut rig = Rig::new(Effect::Repeatable, 2);
    let (id, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    assert_eq!(rig.tell(Input::Departed(id)), [Instruction::Withdraw(attempt)]);
    assert!(!rig.driver.may_answer(attempt));
    assert!(rig.end(attempt, Outcome::Served).is_empty());
    assert_eq!(rig.driver.held(), 0);
    assert_eq!(rig.driver.counts().served, 0);
}

#[test]
fn a_withdrawal_without_an_echo_is_settled() {
    let mut rig = Rig::new(Effect::Repeatable, 2);
    let (id, out) = rig.arrive();
    let (attempt, _) = started(&out)[0];
    rig.tell(Input::Dispatched(attempt));
    rig.tell(Input::Departed(id));
    assert_eq!(rig.driver.held(), 1);
    rig.due(0.2);
    assert_eq!(rig.driver.held(), 1);
    rig.due(0.3);
    assert_eq!(rig.driver.held(), 0);
}

#[test]
fn full_books_take_nothing() {
    let bounds = Bounds { queries: 1, ..Bounds::default() };
    let mut driver = Driver::new(settings(Effect::Once), 1, bounds);
    let mut out = Vec::new();
    driver.tell(Micros(0), Input::Engines { whole: true, entries: vec![entry(1, Status::Up)] }, &mut out);
    let arrival = Arrival { due: Micros(5_000_000), ..Arrival::default() };
    assert!(driver.arrive(Micros(0), arrival.clone(), &mut out).is_ok());
    out.clear();
    assert_eq!(driver.arrive(Micros(0), arrival, &mut out), Err(Crowded));
    assert!(out.is_empty());
}

#[test]
fn words_on_engines_that_no_list_has_named_are_left_out() {
    let mut rig = Rig::new(Effect::Repeatable, 1);
    let word = Word { engine: EngineId(99), report: Report { utilisation: Some(1.0), ..Report::default() } };
    assert!(rig.tell(Input::Told(vec![word])).is_empty());
    assert!(!rig.driver.knows(EngineId(99)));
}

/// A session or connection may take long to come up: whether a repeat is still one that engines drop is asked as it is written.
#[test]
fn a_repeat_whose_window_has_closed_may_not_be_written() {
    let mut settings = settings(Effect::ByKey);
    settings.classes[0].window = Micros::from_secs(0.4);
    let mut rig = Rig { driver: Driver::new(settings, 1, Bounds::default()), now: Micros(0) };
    rig.tell(Input::Started);
    rig.tell(Input::Engines { whole: true, entries: vec![entry(1, Status::Up)] });
    let (_, out) = rig.arrive();
    let (first, _) = started(&out)[0];
    rig.tell(Input::Dispatched(first));
    rig.now = Micros::from_secs(0.3);
    let out = rig.end(first, Outcome::Reset);
    let (again, _) = started(&out)[0];
    assert!(rig.driver.may_write(rig.now, again));
    rig.now = Micros::from_secs(0.41);
    assert!(!rig.driver.may_write(rig.now, again));
}
