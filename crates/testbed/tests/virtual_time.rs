//! Simulated days: they are deterministic, controllers keep the rules, and the rule checks find
//! injected faults.

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
    let script = std::fs::read_to_string(path).expect("the file of a day");
    Day::parse(name, &script).expect("a valid day")
}

fn violations(report: &Report, rule: &str) -> u64 {
    report.rules.get(rule).copied().unwrap_or(0)
}

#[test]
fn the_same_day_and_seed_give_the_same_tries_and_log() {
    let day = day("everything");
    let run = |seed: u64| {
        let (report, simulation) = play_virtual(&day, seed, Policy::Module).expect("a valid day");
        let tries: Vec<String> =
            simulation.tries.iter().map(|t| serde_json::to_string(t).expect("JSON")).collect();
        (serde_json::to_string(&report).expect("JSON"), tries, format!("{:?}", simulation.log))
    };
    let (first, second) = (run(5), run(5));
    assert_eq!(first, second);
    assert_ne!(first.1, run(6).1, "another seed gave the same tries");
}

#[test]
fn days_with_each_kind_of_fault_keep_the_seven_rules() {
    for name in ["short", "bad", "crashes", "hangs", "slow", "drains", "controllers", "answers", "keys"] {
        for seed in 1..=2 {
            let (report, simulation) = play_virtual(&day(name), seed, Policy::Module).expect("a valid day");
            assert!(report.kept(), "{name} {seed}: {:?}", report.breaches);
            assert!(report.answers > report.queries / 2, "{name} {seed}: {report:?}");
            assert!(simulation.tries.iter().all(|t| t.end.is_some()));
            let received = simulation.log.iter().filter(|l| l.event == "received").count() as u64;
            assert!(received >= report.served, "more queries were served than received");
        }
    }
}

#[test]
fn the_grown_day_keeps_the_rules() {
    let mut grown = day("grown");
    // A quarter of its length, which still has a crash and killed controllers.
    grown.length = wheelfield_config::units::parse_time("10s").expect("a time");
    let (report, _) = play_virtual(&grown, 1, Policy::Module).expect("a valid day");
    assert!(report.kept(), "{:?}", report.breaches);
    assert!(report.queries > 3_000 && report.service > 0.9, "{report:?}");
}

/// A fault in a controller's decisions.
#[derive(Clone, Copy, PartialEq)]
enum DecisionFault {
    /// No fault.
    None,
    /// Every second answer is dropped.
    DropAnswers,
    /// Every engine list after the first is ignored, so that a drain is not noticed right before a
    /// write either.
    IgnoreLists,
    /// Each attempt is started a second time, under another number.
    DuplicateAttempts,
}

/// The driver with a fault injected around it.
struct FaultyDriver {
    driver: Driver,
    fault: DecisionFault,
    has_list: bool,
    answers: u32,
}

impl FaultyDriver {
    fn inject_fault(&mut self, from: usize, out: &mut Vec<Instruction>) {
        match self.fault {
            DecisionFault::DropAnswers => {
                let mut remaining = out.split_off(from);
                remaining.retain(|i| {
                    self.answers += u32::from(matches!(i, Instruction::Answer(..)));
                    !(matches!(i, Instruction::Answer(..)) && self.answers.is_multiple_of(2))
                });
                out.append(&mut remaining);
            }
            DecisionFault::DuplicateAttempts => {
                let duplicates: Vec<Instruction> = out[from..]
                    .iter()
                    .filter_map(|i| match i {
                        Instruction::Start { attempt, engine, options: terms } => {
                            let attempt = AttemptId { query: attempt.query, number: attempt.number + 100 };
                            Some(Instruction::Start { attempt, engine: *engine, options: *terms })
                        }
                        _ => None,
                    })
                    .collect();
                out.extend(duplicates);
            }
            DecisionFault::None | DecisionFault::IgnoreLists => {}
        }
    }
}

impl DecisionEngine for FaultyDriver {
    fn submit(
        &mut self,
        now: Micros,
        a: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        let from = out.len();
        let result = Driver::submit(&mut self.driver, now, a, out);
        self.inject_fault(from, out);
        result
    }
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        if matches!(input, Input::Engines { .. })
            && std::mem::replace(&mut self.has_list, true)
            && self.fault == DecisionFault::IgnoreLists
        {
            return;
        }
        let from = out.len();
        Driver::handle_input(&mut self.driver, now, input, out);
        self.inject_fault(from, out);
    }
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        let from = out.len();
        let expired = Driver::handle_timers(&mut self.driver, now, out);
        self.inject_fault(from, out);
        expired
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

fn report_with_fault(name: &str, fault: DecisionFault) -> Report {
    let day = day(name);
    let plan = Plan::draw(&day, 3);
    let new_decision_engine = |settings: Settings, seed: u64| -> Box<dyn DecisionEngine> {
        let driver = Driver::new(settings, seed, DriverLimits::default());
        Box::new(FaultyDriver { driver, fault, has_list: false, answers: 0 })
    };
    let simulation =
        simulate_with_decision_engines(&day, &plan, 3, &new_decision_engine, SimulationOptions::default())
            .expect("a valid day");
    report_virtual(&day, &plan, 3, &simulation).expect("a valid day")
}

#[test]
fn an_injected_fault_breaks_its_own_rules() {
    for name in ["drains", "everything"] {
        let without_fault = report_with_fault(name, DecisionFault::None);
        assert!(without_fault.kept(), "{name}: {:?}", without_fault.breaches);
    }
    assert!(violations(&report_with_fault("everything", DecisionFault::DropAnswers), "lost") > 0);
    assert!(violations(&report_with_fault("drains", DecisionFault::IgnoreLists), "drain") > 0);
    let duplicated = report_with_fault("everything", DecisionFault::DuplicateAttempts);
    assert!(
        violations(&duplicated, "twice") > 0 && violations(&duplicated, "budget") > 0,
        "{:?}",
        duplicated.rules
    );
}

#[test]
fn baseline_policies_answer_all_queries_and_refuse_none() {
    for policy in [Policy::Random, Policy::Least, Policy::Pool] {
        let (report, simulation) = play_virtual(&day("bad"), 1, policy).expect("a valid day");
        assert_eq!(
            (report.refused, violations(&report, "lost")),
            (0, 0),
            "{policy:?}: {:?}",
            report.breaches
        );
        assert!(report.served > report.queries / 2, "{policy:?}: {report:?}");
        assert!(simulation.tries.iter().all(|t| t.end != Some(ClientOutcome::NoAnswer)));
    }
}

#[test]
fn half_of_the_controllers_on_an_older_list_break_no_rule() {
    let path = format!("{}/days/drains.toml", env!("CARGO_MANIFEST_DIR"));
    // Controllers poll every four seconds, and half of them start again two seconds later: each
    // change reaches one half long before the other.
    let script = std::fs::read_to_string(path).expect("the file of a day").replace("length = ", "#")
        + "\n[[troubles]]\nkind = \"balancer_roll\"\nat = \"2s\"\nfor = \"1ms\"\npart = 0.5\nsize = 0.1\n\
           [registry]\nmode = \"poll\"\nevery = \"4s\"\n";
    let script = format!("length = \"20s\"\n{script}");
    let mut day = Day::parse("halves", &script).unwrap_or_else(|fault| panic!("{fault}"));
    day.controllers = 6;
    let (report, simulation) = play_virtual(&day, 1, Policy::Module).expect("a valid day");
    assert!(report.kept(), "{:?}", report.breaches);
    // When each controller first learned that an engine drains or is removed.
    let mut learned_at: std::collections::BTreeMap<String, std::collections::BTreeMap<String, i64>> =
        Default::default();
    for line in simulation.log.iter().filter(|l| l.event == "told") {
        for gone in &line.unavailable_engines {
            learned_at
                .entry(gone.engine.clone())
                .or_default()
                .entry(line.controller.clone())
                .or_insert(line.at);
        }
    }
    let delay_between_halves = |learned: &std::collections::BTreeMap<String, i64>| {
        let mut all: Vec<i64> = learned.values().copied().collect();
        all.sort_unstable();
        // Time during which the first half knew and the second did not.
        if all.len() == 6 {
            all[3] - all[2]
        } else {
            0
        }
    };
    let longest = learned_at.values().map(delay_between_halves).max().unwrap_or(0);
    assert!(longest > 1_000_000, "the halves had different lists for at most {longest} us");
    assert!(report.served > report.queries / 2, "{report:?}");
}
