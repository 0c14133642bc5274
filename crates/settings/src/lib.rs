//! The operators' settings (JSON) as the module's, and the names behind its numbers: shared by the adapter of the simulator
//! and by the platform's protocol. Nothing here decides anything.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod words;

pub use words::{message, words, LONGEST_MESSAGE};

use serde_json::Value;
use std::collections::BTreeMap;
use wheelfield::interface::*;

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// What may happen to queries of a class is told in an unknown word.
    #[error("unknown effect {effect:?} of class {class}")]
    UnknownEffect {
        /// Its position.
        class: usize,
        /// The word.
        effect: Option<String>,
    },
}

/// The names one instance knows, and the numbers the module knows them by.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of classes, by position.
    pub classes: Vec<String>,
    /// Of tenants, by position.
    pub tenants: Vec<String>,
    /// Of zones, by position.
    pub zones: Vec<String>,
    /// Of kinds of machine, by position.
    pub kinds: Vec<String>,
    /// Of the engines named so far.
    pub engines: BTreeMap<EngineId, String>,
}

/// Where a name stands in a list.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The same number for the same name at every instance.
pub fn engine_id(name: &str) -> EngineId {
    EngineId(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)),
    )
}

fn strings(value: &Value) -> Vec<String> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or(&[]);
    items.iter().filter_map(|v| v.as_str().map(str::to_string)).collect()
}

fn reals(value: &Value) -> Vec<f64> {
    let items = value.as_array().map(Vec::as_slice).unwrap_or(&[]);
    items.iter().map(|v| v.as_f64().unwrap_or(0.0)).collect()
}

fn micros(value: &Value) -> Micros {
    Micros(value.as_i64().or_else(|| value.as_f64().map(|x| x as i64)).unwrap_or(0))
}

fn real(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

impl Names {
    /// Reads settings.
    ///
    /// # Errors
    /// [`SettingsError`], for a class whose effect is unknown.
    pub fn settings(v: &Value) -> Result<(Names, Settings), SettingsError> {
        let named = |key: &str| -> Vec<String> {
            let items = v[key].as_array().map(Vec::as_slice).unwrap_or(&[]);
            items.iter().map(|g| g["name"].as_str().unwrap_or("").to_string()).collect()
        };
        let names = Names {
            classes: named("grades"),
            tenants: named("tenants"),
            zones: strings(&v["zones"]),
            kinds: strings(&v["skus"]),
            engines: BTreeMap::new(),
        };
        let (limits, info, safety) = (&v["ceilings"], &v["family_info"], &v["safety"]);
        let grades = v["grades"].as_array().map(Vec::as_slice).unwrap_or(&[]);
        let mut classes = Vec::new();
        for (i, g) in grades.iter().enumerate() {
            classes.push(names.class(g, i, info)?);
        }
        let settings = Settings {
            gateway_count: real(&v["balancers"]),
            gateway_index: real(&v["me"]),
            zone: v["my_zone"].as_str().and_then(|z| position(&names.zones, z)),
            classes,
            tenant_rates: v["tenants"]
                .as_array()
                .map(|t| t.iter().map(|t| real(&t["allowance_per_s"])).collect())
                .unwrap_or_default(),
            cores: reals(&info["cpu_of_kind"]),
            memory_mb: reals(&info["memory_by_kind_mb"]),
            max_grant_fraction: real(&info["max_grant_share"]),
            queues_on_memory_shortage: info["when_short"] == "wait",
            pages_on_memory_shortage: info["when_short"] == "page",
            memory_grants: flag(&info["grants"]),
            priorities: flag(&info["lanes_count"]),
            reports_work: flag(&info["bills"]),
            progress_interval: micros(&info["tells_every_us"]),
            cancellation: flag(&limits["cancel"]),
            probes: flag(&limits["probes"]),
            peer_messages: flag(&limits["peer_messages"]),
            probe_price: real(&v["charges"]["probe"]),
            message_price: real(&v["charges"]["peer"]) * 1024.0 / LONGEST_MESSAGE as f64,
            load_reports: v["telemetry"]["how"] != "none",
            reports_utilisation: strings(&v["telemetry"]["columns"]).iter().any(|c| c == "cpu_share"),
            reports_by_probe: v["telemetry"]["how"] == "probe",
            subscribe: v["registry_mode"] == "subscribe",
            hedged_requests: flag(&limits["second_copies"]),
            max_attempts: limits["send_cap"].as_u64().unwrap_or(0) as usize,
            max_retry_after: if flag(&limits["retry_after"]) {
                micros(&limits["max_retry_after_us"])
            } else {
                Micros(0)
            },
            cross_zone_price: real(&v["charges"]["cross_zone"]),
            slow_start_initial_fraction: real(&safety["cold_from"]),
            slow_start_duration: micros(&safety["ramp_time_us"]),
            overload_multiple: real(&safety["tip_multiple"]),
            overload_window: micros(&safety["fall_us"]),
            key_cooldown: micros(&safety["order_pause_us"]),
            retry_budget: safety.get("resend_ratio").or(safety.get("extra_free")).map(|_| RetryBudget {
                guaranteed: real(&safety["extra_free"]),
                fraction: real(&safety["resend_ratio"]),
                window: micros(&safety["budget_span_us"]),
            }),
            handshake_price: real(&v["charges"]["handshake"]),
            connection_idle_timeout: micros(&limits["conn_idle_us"]),
        };
        Ok((names, settings))
    }

    fn class(&self, g: &Value, index: usize, info: &Value) -> Result<Class, SettingsError> {
        let open_to = |key: &str, all: &[String]| -> (Vec<usize>, bool) {
            let named = strings(&g[key]);
            let known: Vec<usize> = named.iter().filter_map(|n| position(all, n)).collect();
            let nowhere = !named.is_empty() && known.is_empty();
            (known, nowhere)
        };
        let (zones, no_zone) = open_to("zones_open", &self.zones);
        let (kinds, no_kind) = open_to("bound_to", &self.kinds);
        Ok(Class {
            latency_objective: micros(&g["on_time_us"]),
            latency_objective_stretch: real(&g["aim_stretch"]),
            deadline: micros(&g["give_up_us"]),
            value: real(&g["gain"]),
            late_value_fraction: real(&g["late_value"]),
            semantics: match g["effect"].as_str() {
                Some("repeatable") => ExecutionSemantics::Idempotent,
                Some("by_key") => ExecutionSemantics::IdempotencyKey,
                Some("once") => ExecutionSemantics::AtMostOnce,
                other => {
                    return Err(SettingsError::UnknownEffect {
                        class: index,
                        effect: other.map(str::to_string),
                    })
                }
            },
            deduplication_scope: match g["dedup_scope"].as_str() {
                Some("zone") => DeduplicationScope::Zone,
                Some("cell") => DeduplicationScope::Cell,
                _ => DeduplicationScope::All,
            },
            deduplication_window: micros(&g["window_us"]),
            ordered_by_key: flag(&g["in_order"]),
            kinds,
            zones,
            no_engine_permitted: no_zone || no_kind,
            threads: info["parallelism"][index].as_f64().unwrap_or(1.0),
            is_load: flag(&info["writes_tables"][index]),
            waits_for_loads: flag(&info["yields_to_loads"][index]),
        })
    }

    /// The number of an engine of this name, which is known from now on.
    pub fn engine(&mut self, name: &str) -> EngineId {
        let engine = engine_id(name);
        self.engines.insert(engine, name.to_string());
        engine
    }

    /// The position of a zone's name; one that no zone has where it is unknown.
    pub fn zone(&self, name: &str) -> usize {
        position(&self.zones, name).unwrap_or(usize::MAX)
    }

    /// The position of a kind's name; one that no kind has where it is unknown.
    pub fn kind(&self, name: &str) -> usize {
        position(&self.kinds, name).unwrap_or(usize::MAX)
    }
}

/// Takes one figure of a load report by its name, as settings or other pages of the operators call it. An unknown name is left out.
pub fn take_figure(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu_share" | "util" => report.utilisation = Some(value),
        "busy_reqs" | "inflight" => report.in_flight = Some(value),
        "pending" | "queue" => report.queued = Some(value),
        "x0" => report.memory_granted = Some(value),
        "x1" => report.disk_utilisation = Some(value),
        _ => {}
    }
}
