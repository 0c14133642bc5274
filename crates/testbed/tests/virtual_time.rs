//! Days in virtual time: the same each time, the rules kept at size, and the judge not blind there.

use wheelfield::interface::{Micros, QueryId, Settings};
use wheelfield_driver::{Arrival, AttemptId, CapacityExceeded, Driver, DriverLimits, Input, Instruction};
use wheelfield_invariants::ClientOutcome;
use wheelfield_testbed::day::Day;
use wheelfield_testbed::plan::Plan;
use wheelfield_testbed::play::{play_virtual, report_virtual, Report};
use wheelfield_testbed::virtual_time::policy::{DecisionEngine, Policy};
use wheelfield_testbed::virtual_time::{simulate_with_decision_engines, SimulationOptions};

fn day(name: &str) -> Day {
    let path = format!("{}/days/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a day");
    Day::parse(name, &text).expect("sound")
}

fn broken(report: &Report, rule: &str) -> u64 {
    report.rules.get(rule).copied().unwrap_or(0)
}

#[test]
fn the_same_day_and_seed_give_the_same_tries_and_log() {
    let day = day("everything");
    let whole = |seed: u64| {
        let (report, played) = play_virtual(&day, seed, Policy::Module).expect("sound");
        let tries: Vec<String> =
            played.tries.iter().map(|t| serde_json::to_string(t).expect("JSON")).collect();
        (serde_json::to_string(&report).expect("JSON"), tries, format!("{:?}", played.log))
    };
    let (one, other) = (whole(5), whole(5));
    assert_eq!(one, other);
    assert_ne!(one.1, whole(6).1, "another seed is another day");
}

#[test]
fn days_of_all_troubles_keep_the_seven_rules() {
    for name in ["short", "bad", "crashes", "hangs", "slow", "drains", "controllers", "answers", "keys"] {
        for seed in 1..=2 {
            let (report, played) = play_virtual(&day(name), seed, Policy::Module).expect("sound");
            assert!(report.kept(), "{name} {seed}: {:?}", report.breaches);
            assert!(report.answers > report.queries / 2, "{name} {seed}: {report:?}");
            assert!(played.tries.iter().all(|t| t.end.is_some()));
            let received = played.log.iter().filter(|l| l.event == "received").count() as u64;
            assert!(received >= report.served, "what was served had been received");
        }
    }
}

#[test]
fn the_grown_size_keeps_the_rules() {
    let mut grown = day("grown");
    // A quarter of its length, with a crash and controllers killed.
    grown.length = wheelfield_config::units::parse_time("10s").expect("a time");
    let (report, _) = play_virtual(&grown, 1, Policy::Module).expect("sound");
    assert!(report.kept(), "{:?}", report.breaches);
    assert!(report.queries > 3_000 && report.service > 0.9, "{report:?}");
}

/// What is done wrong.
#[derive(Clone, Copy, PartialEq)]
enum FaultInjection {
    /// Nothing.
    None,
    /// Each second answer is forgotten.
    Mute,
    /// What the list says after the first time is not heeded, nor is any drain at the moment of writing.
    Deaf,
    /// Each attempt is started twice, under another number.
    Twice,
}

/// The driver with a fault planted around it.
struct Planted {
    driver: Driver,
    plant: FaultInjection,
    listed: bool,
    answers: u32,
}

impl Planted {
    fn spoil(&mut self, from: usize, out: &mut Vec<Instruction>) {
        match self.plant {
            FaultInjection::Mute => {
                let mut kept = out.split_off(from);
                kept.retain(|i| {
                    self.answers += u32::from(matches!(i, Instruction::Answer(..)));
                    !(matches!(i, Instruction::Answer(..)) && self.answers.is_multiple_of(2))
                });
                out.append(&mut kept);
            }
            FaultInjection::Twice => {
                let twins: Vec<Instruction> = out[from..]
                    .iter()
                    .filter_map(|i| match i {
                        Instruction::Start { attempt, engine, options: terms } => {
                            let attempt = AttemptId { query: attempt.query, number: attempt.number + 100 };
                            Some(Instruction::Start { attempt, engine: *engine, options: *terms })
                        }
                        _ => None,
                    })
                    .collect();
                out.extend(twins);
            }
            FaultInjection::None | FaultInjection::Deaf => {}
        }
    }
}

impl DecisionEngine for Planted {
    fn submit(
        &mut self,
        now: Micros,
        a: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        let from = out.len();
        let taken = Driver::submit(&mut self.driver, now, a, out);
        self.spoil(from, out);
        taken
    }
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        if matches!(input, Input::Engines { .. })
            && std::mem::replace(&mut self.listed, true)
            && self.plant == FaultInjection::Deaf
        {
            return;
        }
        let from = out.len();
        Driver::handle_input(&mut self.driver, now, input, out);
        self.spoil(from, out);
    }
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        let from = out.len();
        let some = Driver::handle_timers(&mut self.driver, now, out);
        self.spoil(from, out);
        some
    }
    fn next_timer_at(&self) -> Option<Micros> {
        Driver::next_timer_at(&self.driver)
    }
    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        Driver::is_in_flight(&self.driver, attempt)
    }
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool {
        attempt.number >= 100 || Driver::may_write(&self.driver, now, attempt)
    }
    fn may_answer(&self, attempt: AttemptId) -> bool {
        attempt.number < 100 && Driver::may_answer(&self.driver, attempt)
    }
}

fn planted(name: &str, plant: FaultInjection) -> Report {
    let day = day(name);
    let plan = Plan::draw(&day, 3);
    let minds = |settings: Settings, seed: u64| -> Box<dyn DecisionEngine> {
        let driver = Driver::new(settings, seed, DriverLimits::default());
        Box::new(Planted { driver, plant, listed: false, answers: 0 })
    };
    let played =
        simulate_with_decision_engines(&day, &plan, 3, &minds, SimulationOptions::default()).expect("sound");
    report_virtual(&day, &plan, 3, &played).expect("sound")
}

#[test]
fn a_planted_fault_is_found_as_its_own_rules() {
    for name in ["drains", "everything"] {
        let sound = planted(name, FaultInjection::None);
        assert!(sound.kept(), "{name}: {:?}", sound.breaches);
    }
    assert!(broken(&planted("everything", FaultInjection::Mute), "lost") > 0);
    assert!(broken(&planted("drains", FaultInjection::Deaf), "drain") > 0);
    let twice = planted("everything", FaultInjection::Twice);
    assert!(broken(&twice, "twice") > 0 && broken(&twice, "budget") > 0, "{:?}", twice.rules);
}

#[test]
fn plain_policies_answer_all_and_refuse_nothing() {
    for policy in [Policy::Random, Policy::Least, Policy::Pool] {
        let (report, played) = play_virtual(&day("bad"), 1, policy).expect("sound");
        assert_eq!((report.refused, broken(&report, "lost")), (0, 0), "{policy:?}: {:?}", report.breaches);
        assert!(report.served > report.queries / 2, "{policy:?}: {report:?}");
        assert!(played.tries.iter().all(|t| t.end != Some(ClientOutcome::NoAnswer)));
    }
}

#[test]
fn half_of_the_controllers_on_an_older_list_break_no_rule() {
    let path = format!("{}/days/drains.toml", env!("CARGO_MANIFEST_DIR"));
    // Controllers poll every four seconds, and half of them have started two seconds later: each change is known to one half
    // long before the other.
    let text = std::fs::read_to_string(path).expect("a day").replace("length = ", "#")
        + "\n[[troubles]]\nkind = \"balancer_roll\"\nat = \"2s\"\nfor = \"1ms\"\npart = 0.5\nsize = 0.1\n\
           [registry]\nmode = \"poll\"\nevery = \"4s\"\n";
    let text = format!("length = \"20s\"\n{text}");
    let mut day = Day::parse("halves", &text).unwrap_or_else(|fault| panic!("{fault}"));
    day.controllers = 6;
    let (report, played) = play_virtual(&day, 1, Policy::Module).expect("sound");
    assert!(report.kept(), "{:?}", report.breaches);
    // When each first heard that an engine drains or is gone.
    let mut heard: std::collections::BTreeMap<String, std::collections::BTreeMap<String, i64>> =
        Default::default();
    for line in played.log.iter().filter(|l| l.event == "told") {
        for gone in &line.unavailable_engines {
            heard.entry(gone.engine.clone()).or_default().entry(line.controller.clone()).or_insert(line.at);
        }
    }
    let apart = |times: &std::collections::BTreeMap<String, i64>| {
        let mut all: Vec<i64> = times.values().copied().collect();
        all.sort_unstable();
        // So long the first half knew, and the second did not.
        if all.len() == 6 {
            all[3] - all[2]
        } else {
            0
        }
    };
    let longest = heard.values().map(apart).max().unwrap_or(0);
    assert!(longest > 1_000_000, "halves were apart for {longest} us at most");
    assert!(report.served > report.queries / 2, "{report:?}");
}
