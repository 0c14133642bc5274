//! Compares the recorded decisions on arriving queries with the decisions under other settings.
//!
//! Feeds the recorded inputs to two drivers, one with the recorded and one with altered settings. Inputs about attempts that
//! only the first driver started are unknown to the second one, which ignores them by attempt ID. The more the two drivers
//! diverge, the less the second one shows what would have happened; only the first difference is certain.

use crate::{feed, Options, Player, ReplayError, ReplayedStep};
use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::{QueryId, Settings};
use wheelfield_driver::{Answer, Driver, Instruction};

/// Decision on an arriving query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// Sent to the engine with this name.
    Sent(String),
    /// Rejected immediately.
    Refused,
    /// Failed immediately.
    Failed,
    /// Neither sent nor answered yet, for example to keep the order of queries with the same key.
    Held,
    /// Not accepted by the driver: it has too many queries or the ID is in use.
    CapacityExceeded,
}

/// An arriving query on which the decision changes.
#[derive(Clone, Debug)]
pub struct ChangedDecision {
    /// Number of the step.
    pub step: u64,
    /// ID of the query in the capture, if it was accepted.
    pub query: Option<QueryId>,
    /// Name that the client gave the query.
    pub label: String,
    /// Index of the class.
    pub class: usize,
    /// Decision with the recorded settings.
    pub recorded: Decision,
    /// Decision with the altered settings.
    pub altered: Decision,
}

/// Result of a comparison.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Number of arrivals compared.
    pub arrivals: u64,
    /// Arrivals on which the decision changes, in the order of the capture.
    pub changed: Vec<ChangedDecision>,
    /// Number of changes by class, recorded decision and decision with the altered settings.
    pub counts: BTreeMap<(usize, Decision, Decision), u64>,
}

/// Old and current names of renamed settings. Paths of settings may still contain the old names.
const RENAMED_SETTINGS: [(&str, &str); 32] = [
    ("gateways", "gateway_count"),
    ("index", "gateway_index"),
    ("allowances", "tenant_rates"),
    ("max_grant_share", "max_grant_fraction"),
    ("waits", "queues_on_memory_shortage"),
    ("pages", "pages_on_memory_shortage"),
    ("grants", "memory_grants"),
    ("bills", "reports_work"),
    ("note_every", "progress_interval"),
    ("cancel", "cancellation"),
    ("peers", "peer_messages"),
    ("reports", "load_reports"),
    ("second_copies", "hedged_requests"),
    ("cold_from", "slow_start_initial_fraction"),
    ("cold_for", "slow_start_duration"),
    ("fall_multiple", "overload_multiple"),
    ("fall_span", "overload_window"),
    ("order_pause", "key_cooldown"),
    ("attempt_budget", "retry_budget"),
    ("connections_rest", "connection_idle_timeout"),
    ("aim", "latency_objective"),
    ("aim_stretch", "latency_objective_stretch"),
    ("worth", "value"),
    ("late_value", "late_value_fraction"),
    ("effect", "semantics"),
    ("scope", "deduplication_scope"),
    ("window", "deduplication_window"),
    ("in_order", "ordered_by_key"),
    ("nowhere", "no_engine_permitted"),
    ("free", "guaranteed"),
    ("share", "fraction"),
    ("span", "window"),
];

/// Returns the current name of a setting, or `part` itself if it is one of the known names or not a renamed one.
fn current_name<'a>(part: &'a str, known: &[String]) -> &'a str {
    if known.iter().any(|name| name == part) {
        return part;
    }
    RENAMED_SETTINGS
        .iter()
        .find(|(old, _)| *old == part)
        .map_or(part, |(_, new)| new)
}

/// Returns a copy of the settings in which the value at a JSON path is replaced by the JSON text `value`. Examples of paths are
/// `max_attempts` and `classes.0.latency_objective`.
///
/// # Errors
/// Returns a message if the path does not exist or the value does not fit.
pub fn alter(settings: &Settings, path: &str, value: &str) -> Result<Settings, String> {
    let mut root = serde_json::to_value(settings).map_err(|e| e.to_string())?;
    let mut node = &mut root;
    for part in path.split('.') {
        let taken = std::mem::take(node);
        *node = taken;
        let known: Vec<String> = match &node {
            serde_json::Value::Object(map) => map.keys().cloned().collect(),
            serde_json::Value::Array(list) => (0..list.len()).map(|i| i.to_string()).collect(),
            _ => Vec::new(),
        };
        let child = match node {
            serde_json::Value::Array(list) => {
                part.parse::<usize>().ok().and_then(|i| list.get_mut(i))
            }
            serde_json::Value::Object(map) => map.get_mut(current_name(part, &known)),
            _ => None,
        };
        node = child.ok_or_else(|| {
            format!(
                "unknown setting `{part}` in `{path}`; known: {}",
                known.join(", ")
            )
        })?;
    }
    *node = serde_json::from_str(value).map_err(|e| format!("`{value}` is not valid JSON: {e}"))?;
    serde_json::from_value(root).map_err(|e| format!("invalid value `{value}` for `{path}`: {e}"))
}

/// Returns the decision on an arriving query that an answer of the driver contains.
fn decision(
    accepted: Option<QueryId>,
    answer: &[Instruction],
    engine_name: &impl Fn(wheelfield::interface::EngineId) -> String,
) -> Decision {
    if accepted.is_none() {
        return Decision::CapacityExceeded;
    }
    for instruction in answer {
        match instruction {
            Instruction::Start {
                attempt, engine, ..
            } if Some(attempt.query) == accepted => return Decision::Sent(engine_name(*engine)),
            Instruction::Answer(query, Answer::Rejected { .. }) if Some(*query) == accepted => {
                return Decision::Refused
            }
            Instruction::Answer(query, _) if Some(*query) == accepted => return Decision::Failed,
            _ => {}
        }
    }
    Decision::Held
}

/// Replays a capture with the recorded and with altered settings and compares the decisions on arriving queries. `alter`
/// receives the recorded settings and returns the altered ones.
///
/// # Errors
/// Returns [`ReplayError`] if the capture cannot be read, records are missing or there is no state to start from.
pub fn compare(
    path: &Path,
    alter: impl Fn(&Settings) -> Settings,
) -> Result<Comparison, ReplayError> {
    let mut player = Player::open(path, Options::default())?;
    let mut shadow_driver: Option<Driver> = None;
    let mut comparison = Comparison::default();
    while let Some(ReplayedStep {
        recorded: step,
        accepted,
        answer,
    }) = player.next_step()?
    {
        if shadow_driver.is_none() {
            let Some(start) = &player.start else {
                return Err(ReplayError::MissingInitialState);
            };
            shadow_driver = Some(Driver::new(
                alter(&start.settings),
                start.seed,
                start.driver_limits,
            ));
        }
        let Some(shadow_driver) = &mut shadow_driver else {
            return Err(ReplayError::MissingInitialState);
        };
        let mut altered_answer = Vec::new();
        let altered_accepted = feed(shadow_driver, step.at, &step.input, &mut altered_answer);
        if let Some((arrival, label)) = step.input.arrival() {
            comparison.arrivals += 1;
            let engine_name = |id| {
                let known = player.engines.iter().find(|(engine, _)| *engine == id);
                known.map_or_else(|| format!("{id:?}"), |(_, name)| name.clone())
            };
            let (recorded, altered) = (
                decision(accepted, &answer, &engine_name),
                decision(altered_accepted, &altered_answer, &engine_name),
            );
            if recorded != altered {
                let class = arrival.class;
                *comparison
                    .counts
                    .entry((class, recorded.clone(), altered.clone()))
                    .or_default() += 1;
                let changed = ChangedDecision {
                    step: step.number,
                    query: accepted,
                    label: label.to_string(),
                    class,
                    recorded,
                    altered,
                };
                comparison.changed.push(changed);
            }
        }
    }
    Ok(comparison)
}
