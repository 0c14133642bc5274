//! Exploration: thousands of short days in virtual time, each drawn from a number, all judged. What fails is made smaller
//! and written as a file that plays it again; what never came to pass is told.

mod scenario;
mod shrink;

pub use scenario::{Ill, Scenario};
pub use shrink::shrink;

use crate::day::Day;
use crate::evidence::Known;
use crate::plan::Plan;
use crate::virtual_time::policy::Policy;
use crate::virtual_time::{self, SimulationOptions, SimulationResult};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use wheelfield_config::ConfigError;
use wheelfield_invariants::ClientOutcome;
use wheelfield_pg_gateway::fault_injection::FaultInjection;

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct ScenarioOutcome {
    /// The first few things that are wrong, each by its rule: those of the judge, and `leak` for connections that a
    /// controller holds and does not know of.
    pub failures: Vec<(String, String)>,
    /// Tries of clients.
    pub tries: u64,
    /// Events of the course.
    pub events: u64,
    /// What came to pass, by name, and how often: in controllers, at engines, and what clients were told.
    pub coverage: BTreeMap<String, u64>,
}

impl ScenarioOutcome {
    /// Nothing is wrong.
    pub fn passed(&self) -> bool {
        self.failures.is_empty()
    }

    /// What is wrong first.
    pub fn rule(&self) -> Option<&str> {
        self.failures.first().map(|(rule, _)| rule.as_str())
    }
}

/// Plays a scenario, with a fault planted if one is named.
///
/// # Errors
/// The first fault of its script.
pub fn simulate(
    scenario: &Scenario,
    plant: Option<FaultInjection>,
) -> Result<(Day, Plan, SimulationResult), ConfigError> {
    let day = scenario.day()?;
    let plan = Plan::draw(&day, scenario.seed);
    let visits = scenario.visits_ms as i64 * 1000;
    let conditions = SimulationOptions { weather: scenario.weather, plant, visits };
    let played = virtual_time::simulate_with_options(&day, &plan, scenario.seed, Policy::Module, conditions)?;
    Ok((day, plan, played))
}

/// Plays a scenario, with a fault planted if one is named, and judges it. A panic is a finding of its own, `panic`.
///
/// # Errors
/// The first fault of its script.
pub fn run(scenario: &Scenario, plant: Option<FaultInjection>) -> Result<ScenarioOutcome, ConfigError> {
    std::panic::catch_unwind(|| judged(scenario, plant)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_string()));
        let failures = vec![("panic".to_string(), text.unwrap_or_default())];
        Ok(ScenarioOutcome { failures, ..ScenarioOutcome::default() })
    })
}

fn judged(scenario: &Scenario, plant: Option<FaultInjection>) -> Result<ScenarioOutcome, ConfigError> {
    let (day, plan, played) = simulate(scenario, plant)?;
    let settings = day.settings()?;
    let known =
        Known { day: &day, settings: &settings, plan: &plan, start: virtual_time::first_arrival_time() };
    let (breaches, cold_peak) = known.judge(&played.tries, &played.log, &played.lifetimes);
    let mut failures: Vec<(String, String)> =
        breaches.iter().take(20).map(|b| (b.rule.to_string(), b.description.clone())).collect();
    if played.leaks > 0 {
        failures.push(("leak".into(), format!("{} connections that their controller forgot", played.leaks)));
    }
    let mut coverage: BTreeMap<String, u64> =
        played.seen.iter().map(|(what, n)| (format!("controller: {what}"), *n)).collect();
    let mut note = |what: String| *coverage.entry(what).or_default() += 1;
    for t in &played.tries {
        note(match t.end {
            Some(ClientOutcome::Failed | ClientOutcome::Refused) => format!("client: {}", t.state),
            end => format!("client: {}", end.map_or("open".into(), |e| format!("{e:?}").to_lowercase())),
        });
    }
    for line in &played.log {
        note(format!("engine: {}", line.event));
    }
    // How near the rules came to be broken.
    if cold_peak > 0.5 * settings.overload_multiple {
        note("near: a cold engine was sent over half of what breaks it".into());
    }
    let late = |t: &&crate::crowd::Try| t.end == Some(ClientOutcome::Served) && t.due - t.ended < 100_000;
    if played.tries.iter().any(|t| late(&t)) {
        note("near: an answer within 100 ms of its client's patience".into());
    }
    Ok(ScenarioOutcome { failures, tries: played.tries.len() as u64, events: played.events, coverage })
}

/// What came of many.
#[derive(Clone, Debug, Default)]
pub struct ExplorationSummary {
    /// Days that were played.
    pub days: u64,
    /// Tries of their clients.
    pub tries: u64,
    /// Events of their courses.
    pub events: u64,
    /// Those that failed, with what is wrong first.
    pub failed: Vec<(Scenario, String, String)>,
    /// What came to pass, by name: in how many days, and how often.
    pub coverage: BTreeMap<String, (u64, u64)>,
}

/// At most so many failing days are kept.
const MAX_FAILED_SCENARIOS: usize = 50;

/// Plays the days of these numbers, on so many threads; `until` ends it early when it says so.
pub fn explore(
    numbers: std::ops::Range<u64>,
    jobs: usize,
    plant: Option<FaultInjection>,
    until: impl Fn(&ExplorationSummary) -> bool + Sync,
) -> ExplorationSummary {
    let next = AtomicU64::new(numbers.start);
    let all = Mutex::new(ExplorationSummary::default());
    let ended = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    let scenario = Scenario::draw(number);
                    let outcome = run(&scenario, plant);
                    let Ok(mut all) = all.lock() else { return };
                    add(&mut all, scenario, outcome);
                    if until(&all) {
                        ended.store(true, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut all = all.into_inner().unwrap_or_default();
    all.failed.sort_by_key(|(s, _, _)| s.seed);
    all
}

fn add(all: &mut ExplorationSummary, scenario: Scenario, outcome: Result<ScenarioOutcome, ConfigError>) {
    all.days += 1;
    match outcome {
        Ok(outcome) => {
            all.tries += outcome.tries;
            all.events += outcome.events;
            for (what, n) in outcome.coverage {
                let of = all.coverage.entry(what).or_default();
                *of = (of.0 + u64::from(n > 0), of.1 + n);
            }
            if let Some((rule, what)) = outcome.failures.into_iter().next() {
                if all.failed.len() < MAX_FAILED_SCENARIOS {
                    all.failed.push((scenario, rule, what));
                }
            }
        }
        // A day that could not be is a fault of the drawing.
        Err(fault) => {
            if all.failed.len() < MAX_FAILED_SCENARIOS {
                all.failed.push((scenario, "script".into(), fault.to_string()));
            }
        }
    }
}
