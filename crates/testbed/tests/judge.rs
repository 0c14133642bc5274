//! The judge on evidence written by hand: a clean day has no breach, and each planted line has its own.

use wheelfield::interface::Settings;
use wheelfield_invariants::{parse_event_log, ClientOutcome, HistoryEvent, ProcessLifetime, Violation};
use wheelfield_testbed::client_pool::Attempt;
use wheelfield_testbed::day::Day;
use wheelfield_testbed::evidence::RunContext;
use wheelfield_testbed::plan::{Arrival, Plan};

const DAY: &str = r#"
name = "by hand"
length = "60s"
rate = 1.0
engines = 3
controllers = 2
drain_grace = "1s"
[fleet]
zones = ["a", "b"]
[[fleet.kinds]]
name = "std"
cores = 4
speed = [1.0, 1.0]
memory = "1GB"
[[classes]]
name = "any"
share = 1
work = "1s"
aim = "1s"
deadline = "10s"
effect = "repeatable"
[[classes]]
name = "once"
share = 1
work = "1s"
aim = "1s"
deadline = "10s"
effect = "once"
in_order = true
keys = 4
[[classes]]
name = "keyed"
share = 1
work = "1s"
aim = "1s"
deadline = "10s"
effect = "by_key"
dedup = "zone"
window = "2s"
[[classes]]
name = "bound"
share = 1
work = "1s"
aim = "1s"
deadline = "10s"
effect = "repeatable"
zones = ["b"]
[rules]
cold_from = 0.5
cold_for = "10s"
fall_multiple = 2
fall_span = "1s"
order_pause = "1s"
budget = { free = 1, share = 0.1, span = "5s" }
"#;

struct Scene {
    day: Day,
    settings: Settings,
    plan: Plan,
    tries: Vec<Attempt>,
    log: Vec<String>,
    lives: Vec<ProcessLifetime>,
}

impl Scene {
    fn new() -> Scene {
        let day = Day::parse("by hand", DAY).unwrap_or_else(|fault| panic!("{fault}"));
        let settings = day.settings().expect("sound");
        let plan = Plan {
            arrivals: Vec::new(),
            actions: Vec::new(),
            engines: vec![(0, 1.0); 3],
            troubles: Vec::new(),
            network_faults: Default::default(),
        };
        let life = |controller| ProcessLifetime {
            controller,
            started_at: 0,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: false,
        };
        Scene { day, settings, plan, tries: Vec::new(), log: Vec::new(), lives: vec![life(0), life(1)] }
    }

    /// A query of a class, sent and answered at milliseconds; its name is given.
    fn query(&mut self, class: usize, key: Option<u64>, sent: i64, ended: i64, end: ClientOutcome) -> String {
        let n = self.plan.arrivals.len();
        let id = format!("q{n}-0");
        self.plan.arrivals.push(Arrival {
            at: sent * 1000,
            class,
            tenant: None,
            controller_position: 0.0,
            work: 1.0,
            estimate: None,
            memory_mb: 0.0,
            table_group: 0,
            key,
            timeout_us: 10_000_000,
            abandonment: None,
            honours_retry_after: false,
        });
        let answers =
            u32::from(matches!(end, ClientOutcome::Served | ClientOutcome::Refused | ClientOutcome::Failed));
        self.tries.push(Attempt {
            id: id.clone(),
            arrival: n,
            number: 0,
            controller: 0,
            sent: sent * 1000,
            due: (sent + 10_000) * 1000,
            ended: ended * 1000,
            end: Some(end),
            state: String::new(),
            rows: 0,
            answers,
            wrong: None,
            after: None,
            advice_ms: None,
            late_us: 0,
        });
        id
    }

    /// An attempt of it at an engine, from and to milliseconds.
    fn ran(&mut self, id: &str, engine: usize, from: i64, to: i64, end: &str) {
        let zone = ["a", "b"][engine % 2];
        let cell = engine;
        self.log.push(format!(
            r#"{{"t":{},"event":"received","engine":"engine-{engine:02}","query":"{id}","by":"wheelfield/0","warmth":1.0,"zone":"{zone}","kind":"std","cell":{cell}}}"#,
            from * 1000
        ));
        self.log.push(format!(
            r#"{{"t":{},"event":"{end}","engine":"engine-{engine:02}","query":"{id}","by":"wheelfield/0"}}"#,
            to * 1000
        ));
    }

    fn line(&mut self, line: &str) {
        self.log.push(line.to_string());
    }

    fn verdict(&mut self) -> Vec<Violation> {
        let mut log: Vec<HistoryEvent> = parse_event_log(&self.log.join("\n")).expect("lines");
        log.sort_by_key(|l| l.at);
        let Scene { day, settings, plan, tries, lives, .. } = self;
        RunContext { day, settings, plan, start: 0 }.check(tries, &log, lives).0
    }

    fn rules(&mut self) -> Vec<&'static str> {
        let mut rules: Vec<&str> = self.verdict().iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    }
}

/// A day with nothing wrong, on which the faults are planted.
fn clean() -> Scene {
    let mut s = Scene::new();
    for n in 0..30 {
        let class = [0, 1, 2, 3][n % 4];
        let at = n as i64 * 500;
        let id = s.query(class, (class == 1).then_some(n as u64), at, at + 400, ClientOutcome::Served);
        s.ran(&id, if class == 3 { 1 } else { n % 3 }, at + 1, at + 399, "finished");
    }
    s
}

#[test]
fn a_clean_day_has_no_breach() {
    assert!(clean().verdict().is_empty());
}

#[test]
fn lost_answers_late_ones_two_and_what_comes_after() {
    let mut s = clean();
    s.query(0, None, 20_000, 30_500, ClientOutcome::NoAnswer);
    assert_eq!(s.rules(), ["lost"], "none");
    let mut s = clean();
    s.query(0, None, 20_000, 30_100, ClientOutcome::Served);
    assert_eq!(s.rules(), ["lost"], "late");
    let mut s = clean();
    s.query(0, None, 20_000, 21_000, ClientOutcome::Served);
    s.tries.last_mut().expect("one").answers = 2;
    assert_eq!(s.rules(), ["lost"], "two");
    let mut s = clean();
    s.query(0, None, 20_000, 21_000, ClientOutcome::Served);
    s.tries.last_mut().expect("one").after = Some('D');
    assert_eq!(s.rules(), ["lost"], "more after");
    let mut s = clean();
    let id = s.query(0, None, 20_000, 21_000, ClientOutcome::Refused);
    s.ran(&id, 0, 22_000, 22_100, "finished");
    assert_eq!(s.rules(), ["lost"], "sent after its end");
    let mut s = clean();
    s.query(0, None, 20_000, 21_000, ClientOutcome::Broke);
    assert_eq!(s.rules(), ["lost"], "its connection broke");
    // What a killed controller held is the client's to try again.
    let mut s = clean();
    s.query(0, None, 20_000, 21_000, ClientOutcome::Broke);
    s.lives[0].ended_at = Some(20_900_000);
    assert!(s.rules().is_empty());
}

#[test]
fn work_that_runs_twice_and_refusals_that_are_not_true() {
    let mut s = clean();
    let id = s.query(1, Some(50), 20_000, 21_000, ClientOutcome::Failed);
    s.ran(&id, 0, 20_001, 20_500, "dropped");
    s.ran(&id, 1, 20_600, 20_900, "finished");
    assert_eq!(s.rules(), ["twice"]);
    let mut s = clean();
    let id = s.query(1, Some(50), 20_000, 21_000, ClientOutcome::Refused);
    s.ran(&id, 0, 20_001, 20_500, "dropped");
    assert_eq!(s.rules(), ["twice"], "refused though it ran");
    // Turned away unseen, it may go elsewhere, and may be refused.
    let mut s = clean();
    let id = s.query(1, Some(50), 20_000, 21_000, ClientOutcome::Refused);
    s.ran(&id, 0, 20_001, 20_002, "refused");
    assert!(s.rules().is_empty());
    // Keyed work: inside its zone and its window only.
    for (engine, at, kept) in [(2, 20_600, true), (1, 20_600, false), (2, 23_000, false)] {
        let mut s = clean();
        let id = s.query(2, None, 20_000, 24_000, ClientOutcome::Served);
        s.ran(&id, 0, 20_001, 20_500, "dropped");
        s.ran(&id, engine, at, at + 100, "finished");
        assert_eq!(s.rules().is_empty(), kept, "engine {engine} at {at}");
    }
}

#[test]
fn sends_after_word_of_a_drain() {
    let told =
        r#"{"t":20000000,"event":"told","who":"0","not_up":[{"engine":"engine-00","status":"draining"}]}"#;
    for (at, kept) in [(20_900, true), (21_100, false)] {
        let mut s = clean();
        s.line(told);
        let id = s.query(0, None, at - 1, at + 200, ClientOutcome::Served);
        s.ran(&id, 0, at, at + 100, "finished");
        assert_eq!(s.rules().is_empty(), kept, "at {at}");
    }
    // Told that it is up again.
    let mut s = clean();
    s.line(told);
    s.line(r#"{"t":20500000,"event":"told","who":"0","not_up":[]}"#);
    let id = s.query(0, None, 22_000, 22_200, ClientOutcome::Served);
    s.ran(&id, 0, 22_001, 22_100, "finished");
    assert!(s.rules().is_empty());
    // Another controller was told, not this one.
    let mut s = clean();
    s.line(&told.replace("\"who\":\"0\"", "\"who\":\"1\""));
    let id = s.query(0, None, 22_000, 22_200, ClientOutcome::Served);
    s.ran(&id, 0, 22_001, 22_100, "finished");
    assert!(s.rules().is_empty());
}

#[test]
fn a_cold_engine_pushed_over() {
    // Four cores at half their pace, twice that for a second: four seconds of work are the limit.
    for (n, kept) in [(4, true), (5, false)] {
        let mut s = clean();
        s.line(r#"{"t":20000000,"event":"restarted","engine":"engine-00"}"#);
        for i in 0..n {
            let at = 20_100 + i * 100;
            let id = s.query(0, None, at, at + 5_000, ClientOutcome::Served);
            s.ran(&id, 0, at + 1, at + 4_000, "finished");
            let line = s.log.len() - 2;
            s.log[line] = s.log[line].replace("\"warmth\":1.0", "\"warmth\":0.5");
        }
        let cold = s.verdict().iter().any(|b| b.rule == "cold");
        assert_eq!(cold, !kept, "{n} queries of a second");
    }
    let mut s = clean();
    s.line(r#"{"t":20000000,"event":"fell_over","engine":"engine-00"}"#);
    assert_eq!(s.rules(), ["cold"]);
}

#[test]
fn keys_out_of_order_or_at_once() {
    let mut s = clean();
    let one = s.query(1, Some(77), 20_000, 22_000, ClientOutcome::Served);
    let two = s.query(1, Some(77), 20_500, 23_000, ClientOutcome::Served);
    s.ran(&one, 0, 20_001, 21_990, "finished");
    s.ran(&two, 1, 21_000, 22_900, "finished");
    assert_eq!(s.rules(), ["order"], "at once");
    let mut s = clean();
    let one = s.query(1, Some(77), 20_000, 23_000, ClientOutcome::Served);
    let two = s.query(1, Some(77), 20_500, 21_500, ClientOutcome::Served);
    s.ran(&two, 1, 20_501, 21_400, "finished");
    s.ran(&one, 0, 22_000, 22_900, "finished");
    assert_eq!(s.rules(), ["order"], "out of turn");
    let mut s = clean();
    let one = s.query(1, Some(77), 20_000, 21_000, ClientOutcome::Served);
    let two = s.query(1, Some(77), 20_500, 23_000, ClientOutcome::Served);
    s.ran(&one, 0, 20_001, 20_990, "finished");
    s.ran(&two, 1, 21_001, 22_900, "finished");
    assert!(s.rules().is_empty(), "one after the other");
}

#[test]
fn a_bound_class_elsewhere() {
    let mut s = clean();
    let id = s.query(3, None, 20_000, 20_400, ClientOutcome::Served);
    s.ran(&id, 0, 20_001, 20_300, "finished");
    assert_eq!(s.rules(), ["placement"]);
}

#[test]
fn further_attempts_over_the_budget() {
    // In five seconds before 20 s ten queries were taken: two further attempts are within the budget.
    for (n, kept) in [(1, true), (4, false)] {
        let mut s = clean();
        for i in 0..n {
            let at = 20_000 + i * 10;
            let id = s.query(0, None, at, at + 900, ClientOutcome::Served);
            s.ran(&id, 0, at + 1, at + 200, "dropped");
            s.ran(&id, 1, at + 300, at + 800, "finished");
        }
        assert_eq!(s.rules().is_empty(), kept, "{n} further attempts");
    }
}

#[test]
fn what_an_engine_reads_as_its_hang_ends_was_sent_before() {
    let hang = |t: i64, value: u8| {
        format!(r#"{{"t":{t}000,"event":"fault","engine":"engine-00","kind":"hang","value":{value}}}"#)
    };
    // Six queries to an engine that hangs, each sent anew elsewhere long before the hang ends:
    // only the later ones are further attempts, at their own times.
    for (step, kept) in [(6_000, true), (100, false)] {
        let mut s = clean();
        s.line(&hang(20_000, 1));
        for i in 0..6 {
            let at = 20_100 + i * step;
            let id = s.query(0, None, at, at + 1_900, ClientOutcome::Served);
            s.ran(&id, 1, at + 1_000, at + 1_800, "finished");
            s.ran(&id, 0, 58_000, 58_001, "dropped");
        }
        s.line(&hang(58_000, 0));
        assert_eq!(s.rules().is_empty(), kept, "one every {step} ms");
    }
}

#[test]
fn a_log_that_cannot_be_read_is_told_by_its_line() {
    let fault = parse_event_log("{\"t\":1,\"event\":\"x\"}\n{torn").expect_err("torn");
    assert!(format!("{fault:#}").contains("line 2"));
}
