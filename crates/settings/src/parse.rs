//! Parses the operators' settings, with one function for each section of the JSON.

use crate::json::{flag, items, micros, number, numbers, strings};
use crate::{position, Names, MAX_MESSAGE_BYTES};
use serde_json::Value;
use std::collections::BTreeMap;
use wheelfield::interface::{
    Class, DeduplicationScope, ExecutionSemantics, Micros, RetryBudget, Settings,
};

/// Bytes in the unit of [`Settings::message_price`].
const BYTES_PER_KILOBYTE: f64 = 1024.0;
/// Number of threads of a query if the settings do not give one.
const DEFAULT_THREADS: f64 = 1.0;

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The effect of a class is unknown.
    #[error("unknown effect {effect:?} of class {class}")]
    UnknownEffect {
        /// The position of the class.
        class: usize,
        /// The effect, if it is a string.
        effect: Option<String>,
    },
}

/// Parses settings and the names in them. Missing values read as zero, false or empty.
///
/// # Errors
/// [`SettingsError`] for a class whose effect is unknown.
pub fn parse_settings(value: &Value) -> Result<(Names, Settings), SettingsError> {
    let names = Names {
        classes: names_of(&value["grades"]),
        tenants: names_of(&value["tenants"]),
        zones: strings(&value["zones"]),
        kinds: strings(&value["skus"]),
        engines: BTreeMap::new(),
    };
    let mut settings = Settings {
        gateway_count: number(&value["balancers"]),
        gateway_index: number(&value["me"]),
        zone: value["my_zone"]
            .as_str()
            .and_then(|zone| position(&names.zones, zone)),
        classes: parse_classes(value, &names)?,
        tenant_rates: items(&value["tenants"])
            .iter()
            .map(|tenant| number(&tenant["allowance_per_s"]))
            .collect(),
        subscribe: value["registry_mode"] == "subscribe",
        ..Settings::default()
    };
    set_engine_properties(&mut settings, &value["family_info"]);
    set_limits(&mut settings, &value["ceilings"]);
    set_prices(&mut settings, &value["charges"]);
    set_telemetry(&mut settings, &value["telemetry"]);
    set_safety(&mut settings, &value["safety"]);
    Ok((names, settings))
}

fn names_of(list: &Value) -> Vec<String> {
    items(list)
        .iter()
        .map(|item| item["name"].as_str().unwrap_or("").to_string())
        .collect()
}

/// Sets the properties and features of the engines.
fn set_engine_properties(settings: &mut Settings, info: &Value) {
    settings.cores = numbers(&info["cpu_of_kind"]);
    settings.memory_mb = numbers(&info["memory_by_kind_mb"]);
    settings.max_grant_fraction = number(&info["max_grant_share"]);
    settings.queues_on_memory_shortage = info["when_short"] == "wait";
    settings.pages_on_memory_shortage = info["when_short"] == "page";
    settings.memory_grants = flag(&info["grants"]);
    settings.priorities = flag(&info["lanes_count"]);
    settings.reports_work = flag(&info["bills"]);
    settings.progress_interval = micros(&info["tells_every_us"]);
}

/// Sets what a gateway may do, and how often.
fn set_limits(settings: &mut Settings, limits: &Value) {
    settings.cancellation = flag(&limits["cancel"]);
    settings.probes = flag(&limits["probes"]);
    settings.peer_messages = flag(&limits["peer_messages"]);
    settings.hedged_requests = flag(&limits["second_copies"]);
    settings.max_attempts = limits["send_cap"].as_u64().unwrap_or(0) as usize;
    let retry_after_allowed = flag(&limits["retry_after"]);
    settings.max_retry_after = if retry_after_allowed {
        micros(&limits["max_retry_after_us"])
    } else {
        Micros(0)
    };
    settings.connection_idle_timeout = micros(&limits["conn_idle_us"]);
}

/// Sets the prices of probes, messages and connections. The operators give the price of a message
/// of maximum length.
fn set_prices(settings: &mut Settings, charges: &Value) {
    settings.probe_price = number(&charges["probe"]);
    settings.message_price =
        number(&charges["peer"]) * BYTES_PER_KILOBYTE / MAX_MESSAGE_BYTES as f64;
    settings.cross_zone_price = number(&charges["cross_zone"]);
    settings.handshake_price = number(&charges["handshake"]);
}

/// Sets what the engines report about their load, and when.
fn set_telemetry(settings: &mut Settings, telemetry: &Value) {
    settings.load_reports = telemetry["how"] != "none";
    settings.reports_utilisation = strings(&telemetry["columns"])
        .iter()
        .any(|column| column == "cpu_share");
    settings.reports_by_probe = telemetry["how"] == "probe";
}

/// Sets slow start, the overload limit, the cooldown of keys and the retry budget.
fn set_safety(settings: &mut Settings, safety: &Value) {
    settings.slow_start_initial_fraction = number(&safety["cold_from"]);
    settings.slow_start_duration = micros(&safety["ramp_time_us"]);
    settings.overload_multiple = number(&safety["tip_multiple"]);
    settings.overload_window = micros(&safety["fall_us"]);
    settings.key_cooldown = micros(&safety["order_pause_us"]);
    let has_retry_budget = safety
        .get("resend_ratio")
        .or(safety.get("extra_free"))
        .is_some();
    settings.retry_budget = has_retry_budget.then(|| RetryBudget {
        guaranteed: number(&safety["extra_free"]),
        fraction: number(&safety["resend_ratio"]),
        window: micros(&safety["budget_span_us"]),
    });
}

fn parse_classes(value: &Value, names: &Names) -> Result<Vec<Class>, SettingsError> {
    let class_values = items(&value["grades"]).iter().enumerate();
    class_values
        .map(|(index, class_value)| parse_class(class_value, index, &value["family_info"], names))
        .collect()
}

/// Parses one class. Some of its properties are in the section on engines, in lists by the position
/// of the class.
fn parse_class(
    class_value: &Value,
    index: usize,
    info: &Value,
    names: &Names,
) -> Result<Class, SettingsError> {
    let zones = Restriction::parse(&class_value["zones_open"], &names.zones);
    let kinds = Restriction::parse(&class_value["bound_to"], &names.kinds);
    Ok(Class {
        latency_objective: micros(&class_value["on_time_us"]),
        latency_objective_stretch: number(&class_value["aim_stretch"]),
        deadline: micros(&class_value["give_up_us"]),
        value: number(&class_value["gain"]),
        late_value_fraction: number(&class_value["late_value"]),
        semantics: parse_semantics(&class_value["effect"], index)?,
        deduplication_scope: parse_deduplication_scope(&class_value["dedup_scope"]),
        deduplication_window: micros(&class_value["window_us"]),
        ordered_by_key: flag(&class_value["in_order"]),
        no_engine_permitted: zones.permits_nothing || kinds.permits_nothing,
        kinds: kinds.permitted,
        zones: zones.permitted,
        threads: info["parallelism"][index]
            .as_f64()
            .unwrap_or(DEFAULT_THREADS),
        is_load: flag(&info["writes_tables"][index]),
        waits_for_loads: flag(&info["yields_to_loads"][index]),
    })
}

fn parse_semantics(effect: &Value, class: usize) -> Result<ExecutionSemantics, SettingsError> {
    match effect.as_str() {
        Some("repeatable") => Ok(ExecutionSemantics::Idempotent),
        Some("by_key") => Ok(ExecutionSemantics::IdempotencyKey),
        Some("once") => Ok(ExecutionSemantics::AtMostOnce),
        other => Err(SettingsError::UnknownEffect {
            class,
            effect: other.map(str::to_string),
        }),
    }
}

fn parse_deduplication_scope(scope: &Value) -> DeduplicationScope {
    match scope.as_str() {
        Some("zone") => DeduplicationScope::Zone,
        Some("cell") => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    }
}

/// The zones or kinds of machine that a class is restricted to.
struct Restriction {
    /// Positions of the known names; empty without a restriction.
    permitted: Vec<usize>,
    /// There is a restriction, and all of its names are unknown.
    permits_nothing: bool,
}

impl Restriction {
    fn parse(list: &Value, known_names: &[String]) -> Restriction {
        let listed = strings(list);
        let permitted: Vec<usize> = listed
            .iter()
            .filter_map(|name| position(known_names, name))
            .collect();
        let permits_nothing = !listed.is_empty() && permitted.is_empty();
        Restriction {
            permitted,
            permits_nothing,
        }
    }
}
