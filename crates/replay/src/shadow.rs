//! The same inputs under other settings: which decisions would have been others.
//!
//! Two drivers are fed side by side, one as recorded and one with altered settings. As soon as they part, what the wire
//! told of the first one's attempts means nothing to the second; its books drop it by number. The further they part, the
//! less the second side tells of what would have happened; what is certain is the first decision that differs.

use crate::{feed, Options, Player, ReplayError, ReplayedStep};
use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::{QueryId, Settings};
use wheelfield_driver::{Answer, Driver, Instruction};

/// What was decided of an arriving query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decided {
    /// Sent to this engine.
    Sent(String),
    /// Refused at once.
    Refused,
    /// Failed at once.
    Failed,
    /// Held, to keep an order.
    Held,
    /// Not taken.
    CapacityExceeded,
}

/// A query decided otherwise.
#[derive(Clone, Debug)]
pub struct Altered {
    /// The step.
    pub step: u64,
    /// The query.
    pub query: Option<QueryId>,
    /// The name its client gave it.
    pub label: String,
    /// Its class.
    pub class: usize,
    /// As recorded,
    pub was: Decided,
    /// and under the altered settings.
    pub now: Decided,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Arrivals that were compared.
    pub arrivals: u64,
    /// Those decided otherwise.
    pub altered: Vec<Altered>,
    /// How often each change was made.
    pub table: BTreeMap<(usize, Decided, Decided), u64>,
}

/// Settings that were renamed: their earlier names, still understood in paths, and their names now.
const RENAMED: [(&str, &str); 32] = [
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

/// The name of a setting as it is now; `part` itself where `known` has it.
fn current_name<'a>(part: &'a str, known: &[String]) -> &'a str {
    if known.iter().any(|name| name == part) {
        return part;
    }
    RENAMED
        .iter()
        .find(|(old, _)| *old == part)
        .map_or(part, |(_, new)| new)
}

/// Alters settings by their path in JSON, such as `max_attempts` or `classes.0.latency_objective`.
///
/// # Errors
/// What is wrong with the path or the value.
pub fn alter(settings: &Settings, path: &str, value: &str) -> Result<Settings, String> {
    let mut all = serde_json::to_value(settings).map_err(|e| e.to_string())?;
    let mut place = &mut all;
    for part in path.split('.') {
        let here = std::mem::take(place);
        *place = here;
        let known: Vec<String> = match &place {
            serde_json::Value::Object(map) => map.keys().cloned().collect(),
            serde_json::Value::Array(list) => (0..list.len()).map(|i| i.to_string()).collect(),
            _ => Vec::new(),
        };
        let next = match place {
            serde_json::Value::Array(list) => {
                part.parse::<usize>().ok().and_then(|i| list.get_mut(i))
            }
            serde_json::Value::Object(map) => map.get_mut(current_name(part, &known)),
            _ => None,
        };
        place = next.ok_or_else(|| {
            format!(
                "no setting is named `{part}` in `{path}`; known: {}",
                known.join(", ")
            )
        })?;
    }
    *place = serde_json::from_str(value).map_err(|e| format!("`{value}` is no JSON: {e}"))?;
    serde_json::from_value(all).map_err(|e| format!("`{path}` can't be `{value}`: {e}"))
}

fn decided(
    taken: Option<QueryId>,
    out: &[Instruction],
    name: &impl Fn(wheelfield::interface::EngineId) -> String,
) -> Decided {
    if taken.is_none() {
        return Decided::CapacityExceeded;
    }
    for i in out {
        match i {
            Instruction::Start {
                attempt, engine, ..
            } if Some(attempt.query) == taken => return Decided::Sent(name(*engine)),
            Instruction::Answer(query, Answer::Rejected { .. }) if Some(*query) == taken => {
                return Decided::Refused
            }
            Instruction::Answer(query, _) if Some(*query) == taken => return Decided::Failed,
            _ => {}
        }
    }
    Decided::Held
}

/// Feeds a file to drivers with recorded and with altered settings.
///
/// # Errors
/// [`ReplayError`] where the capture can't be read, or is lost.
pub fn compare(
    path: &Path,
    alter: impl Fn(&Settings) -> Settings,
) -> Result<Comparison, ReplayError> {
    let mut player = Player::open(path, Options::default())?;
    let mut shadow: Option<Driver> = None;
    let mut comparison = Comparison::default();
    while let Some(ReplayedStep {
        recorded: step,
        accepted,
        answer,
    }) = player.next_step()?
    {
        if shadow.is_none() {
            let Some(start) = &player.start else {
                return Err(ReplayError::NoStart);
            };
            shadow = Some(Driver::new(
                alter(&start.settings),
                start.seed,
                start.driver_limits,
            ));
        }
        let Some(shadow) = &mut shadow else {
            return Err(ReplayError::NoStart);
        };
        let mut other = Vec::new();
        let other_taken = feed(shadow, step.at, &step.input, &mut other);
        if let Some((arrival, label)) = step.input.arrival() {
            comparison.arrivals += 1;
            let name = |id| {
                let known = player.engines.iter().find(|(e, _)| *e == id);
                known.map_or_else(|| format!("{id:?}"), |(_, name)| name.clone())
            };
            let (was, now) = (
                decided(accepted, &answer, &name),
                decided(other_taken, &other, &name),
            );
            if was != now {
                let class = arrival.class;
                *comparison
                    .table
                    .entry((class, was.clone(), now.clone()))
                    .or_default() += 1;
                let altered = Altered {
                    step: step.number,
                    query: accepted,
                    label: label.to_string(),
                    class,
                    was,
                    now,
                };
                comparison.altered.push(altered);
            }
        }
    }
    Ok(comparison)
}
