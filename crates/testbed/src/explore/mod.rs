//! Exploration: simulates thousands of short scenarios, each drawn from a seed, and checks the
//! rules on each. A failing scenario is reduced and written as a file from which it can be run
//! again. The coverage counters show which events occurred in no scenario.

mod scenario;
mod shrink;

pub use scenario::{Scenario, ScenarioFault};
pub use shrink::shrink;

use crate::day::Day;
use crate::evidence::RunContext;
use crate::plan::Plan;
use crate::virtual_time::policy::Policy;
use crate::virtual_time::{self, SimulationOptions, SimulationResult};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use wheelfield_config::ConfigError;
use wheelfield_invariants::ClientOutcome;
use wheelfield_pg_gateway::fault_injection::FaultInjection;

/// Result of a scenario.
#[derive(Clone, Debug, Default)]
pub struct ScenarioOutcome {
    /// The first few failures, each as a rule and a description: the broken rules, and `leak` for
    /// connections that a controller holds open but no longer tracks.
    pub failures: Vec<(String, String)>,
    /// Number of tries of clients.
    pub tries: u64,
    /// Number of simulated events.
    pub events: u64,
    /// How often each event occurred, by name: in controllers, at engines, and as a client's
    /// result.
    pub coverage: BTreeMap<String, u64>,
}

impl ScenarioOutcome {
    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.failures.is_empty()
    }

    /// The rule of the first failure.
    pub fn rule(&self) -> Option<&str> {
        self.failures.first().map(|(rule, _)| rule.as_str())
    }
}

/// Simulates a scenario, with a fault injected into the controllers if one is given.
///
/// # Errors
/// The first error of its script.
pub fn simulate(
    scenario: &Scenario,
    injected_fault: Option<FaultInjection>,
) -> Result<(Day, Plan, SimulationResult), ConfigError> {
    let day = scenario.day()?;
    let plan = Plan::draw(&day, scenario.seed);
    let stray_connection_period_us = scenario.stray_connection_period_ms as i64 * 1000;
    let options =
        SimulationOptions { network: scenario.network, fault: injected_fault, stray_connection_period_us };
    let result = virtual_time::simulate_with_options(&day, &plan, scenario.seed, Policy::Module, options)?;
    Ok((day, plan, result))
}

/// Simulates a scenario, with a fault injected if one is given, and checks the rules. A panic
/// is a failure of its own, `panic`.
///
/// # Errors
/// The first error of its script.
pub fn run(
    scenario: &Scenario,
    injected_fault: Option<FaultInjection>,
) -> Result<ScenarioOutcome, ConfigError> {
    std::panic::catch_unwind(|| simulate_and_check(scenario, injected_fault)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_string()));
        let failures = vec![("panic".to_string(), text.unwrap_or_default())];
        Ok(ScenarioOutcome { failures, ..ScenarioOutcome::default() })
    })
}

fn simulate_and_check(
    scenario: &Scenario,
    injected_fault: Option<FaultInjection>,
) -> Result<ScenarioOutcome, ConfigError> {
    let (day, plan, result) = simulate(scenario, injected_fault)?;
    let settings = day.settings()?;
    let context =
        RunContext { day: &day, settings: &settings, plan: &plan, start: virtual_time::first_arrival_time() };
    let (violations, cold_peak) = context.check(&result.tries, &result.log, &result.lifetimes);
    let mut failures: Vec<(String, String)> =
        violations.iter().take(20).map(|b| (b.rule.to_string(), b.description.clone())).collect();
    if result.leaked_connections > 0 {
        failures.push((
            "leak".into(),
            format!("{} open connections that their controller no longer tracks", result.leaked_connections),
        ));
    }
    let mut coverage: BTreeMap<String, u64> =
        result.coverage.iter().map(|(what, n)| (format!("controller: {what}"), *n)).collect();
    let mut count = |what: String| *coverage.entry(what).or_default() += 1;
    for t in &result.tries {
        count(match t.end {
            Some(ClientOutcome::Failed | ClientOutcome::Refused) => format!("client: {}", t.state),
            end => format!("client: {}", end.map_or("open".into(), |e| format!("{e:?}").to_lowercase())),
        });
    }
    for line in &result.log {
        count(format!("engine: {}", line.event));
    }
    // Events close to a broken rule.
    if cold_peak > 0.5 * settings.overload_multiple {
        count("near: a cold engine was sent more than half of its overload limit".into());
    }
    let near_deadline =
        |t: &&crate::client_pool::Attempt| t.end == Some(ClientOutcome::Served) && t.due - t.ended < 100_000;
    if result.tries.iter().any(|t| near_deadline(&t)) {
        count("near: an answer within 100 ms of its client's deadline".into());
    }
    Ok(ScenarioOutcome { failures, tries: result.tries.len() as u64, events: result.events, coverage })
}

/// Result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct ExplorationSummary {
    /// Number of simulated scenarios; each is a short day.
    pub days: u64,
    /// Number of tries of their clients.
    pub tries: u64,
    /// Number of simulated events.
    pub events: u64,
    /// Failing scenarios, with the rule and the description of their first failure.
    pub failed: Vec<(Scenario, String, String)>,
    /// Events by name: the number of scenarios in which they occurred, and their total number.
    pub coverage: BTreeMap<String, (u64, u64)>,
}

/// Maximum number of failing scenarios that are kept.
const MAX_FAILED_SCENARIOS: usize = 50;

/// Runs the scenarios of a range of seeds on `jobs` threads. Ends early when `until` returns true.
pub fn explore(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    injected_fault: Option<FaultInjection>,
    until: impl Fn(&ExplorationSummary) -> bool + Sync,
) -> ExplorationSummary {
    let next = AtomicU64::new(seeds.start);
    let summary = Mutex::new(ExplorationSummary::default());
    let stopped = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while !stopped.load(Ordering::Relaxed) {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let scenario = Scenario::draw(seed);
                    let outcome = run(&scenario, injected_fault);
                    let Ok(mut summary) = summary.lock() else { return };
                    add_outcome(&mut summary, scenario, outcome);
                    if until(&summary) {
                        stopped.store(true, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut summary = summary.into_inner().unwrap_or_default();
    summary.failed.sort_by_key(|(s, _, _)| s.seed);
    summary
}

fn add_outcome(
    summary: &mut ExplorationSummary,
    scenario: Scenario,
    outcome: Result<ScenarioOutcome, ConfigError>,
) {
    summary.days += 1;
    match outcome {
        Ok(outcome) => {
            summary.tries += outcome.tries;
            summary.events += outcome.events;
            for (what, n) in outcome.coverage {
                let of = summary.coverage.entry(what).or_default();
                *of = (of.0 + u64::from(n > 0), of.1 + n);
            }
            if let Some((rule, what)) = outcome.failures.into_iter().next() {
                if summary.failed.len() < MAX_FAILED_SCENARIOS {
                    summary.failed.push((scenario, rule, what));
                }
            }
        }
        // A scenario with an invalid script is a fault of the generator.
        Err(error) => {
            if summary.failed.len() < MAX_FAILED_SCENARIOS {
                summary.failed.push((scenario, "script".into(), error.to_string()));
            }
        }
    }
}
