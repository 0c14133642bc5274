//! Setup of a host process, read from TOML or derived from the number of engines.

use crate::model::{EngineSpec, MemoryShortage};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use wheelfield_config::units::{Size, Time};
use wheelfield_config::ConfigError;

/// An engine to host.
#[derive(Clone, Debug)]
pub struct HostedEngine {
    /// Engine name.
    pub name: String,
    /// Engine kind as listed in the registry.
    pub kind: String,
    /// Zone of the engine.
    pub zone: String,
    /// Cell of the engine.
    pub cell: i64,
    /// Properties of the engine.
    pub spec: EngineSpec,
}

/// Setup of a host process.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The engines to host.
    pub engines: Vec<HostedEngine>,
    /// Delay from the end of a process until the registry lists it as removed, in microseconds.
    pub removal_delay: i64,
    /// Delay from the start of a process until the registry lists it as up, in microseconds.
    pub listing_delay: i64,
    /// IP address of all sockets. An engine that is killed leaves its port to whoever asks for one on this address until it starts again.
    pub ip: Ipv4Addr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SetupFile {
    #[serde(default)]
    registry: RegistrySection,
    kinds: Vec<KindSection>,
    engines: Vec<EngineSection>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RegistrySection {
    #[serde(rename = "notice")]
    removal_delay: Option<Time>,
    #[serde(rename = "listed_after")]
    listing_delay: Option<Time>,
}

/// An engine kind. Fields that are missing have the defaults of [`EngineSpec`], whose fields of the
/// same names describe their meaning.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct KindSection {
    name: String,
    listed_as: Option<String>,
    cores: Option<f64>,
    speed: Option<f64>,
    disks: Option<f64>,
    memory: Option<Size>,
    #[serde(rename = "most_grant")]
    max_grant_fraction: Option<f64>,
    #[serde(rename = "sessions")]
    max_sessions: Option<usize>,
    #[serde(rename = "knee")]
    knee_threads_per_core: Option<f64>,
    #[serde(rename = "thrash")]
    thrashing_penalty: Option<f64>,
    #[serde(rename = "spill")]
    spill_work_factor: Option<f64>,
    #[serde(rename = "when_short")]
    memory_shortage: Option<String>,
    #[serde(rename = "page")]
    paging_slowdown: Option<f64>,
    #[serde(rename = "priorities")]
    honor_priorities: Option<bool>,
    #[serde(rename = "grants")]
    honor_grants: Option<bool>,
    #[serde(rename = "warm_groups")]
    warm_table_groups: Option<usize>,
    #[serde(rename = "warm_gain")]
    warm_read_saving: Option<f64>,
    #[serde(rename = "cold_from")]
    cold_start_fraction: Option<f64>,
    #[serde(rename = "cold_for")]
    warmup_duration: Option<Time>,
    #[serde(rename = "fall_multiple")]
    overload_factor: Option<f64>,
    #[serde(rename = "fall_span")]
    overload_window: Option<Time>,
    #[serde(rename = "report_every")]
    report_interval: Option<Time>,
    report_delay: Option<Time>,
    #[serde(rename = "notes_every")]
    progress_interval: Option<Time>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineSection {
    id: String,
    kind: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: i64,
}

impl Setup {
    /// Creates `n` engines with the default properties, in zone `a`.
    pub fn with_default_engines(n: usize) -> Setup {
        let engine = |i: usize| HostedEngine {
            name: format!("engine-{i:02}"),
            kind: "std".into(),
            zone: "a".into(),
            cell: i as i64 / 4,
            spec: EngineSpec::default(),
        };
        Setup {
            engines: (1..=n).map(engine).collect(),
            removal_delay: 1_000_000,
            listing_delay: 200_000,
            ip: Ipv4Addr::LOCALHOST,
        }
    }

    /// Parses a TOML file.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn parse(name: &str, text: &str) -> Result<Setup, ConfigError> {
        let file: SetupFile = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        // Errors about a name are reported at the first line that contains it.
        let position_of = |what: &str| text.find(&format!("\"{what}\"")).unwrap_or(0);
        let mut kinds = BTreeMap::new();
        for kind in file.kinds {
            let default_spec = EngineSpec::default();
            let memory_shortage = match kind.memory_shortage.as_deref() {
                None | Some("wait") => MemoryShortage::Queue,
                Some("shrink") => MemoryShortage::ShrinkGrant,
                Some("page") => MemoryShortage::Overcommit,
                Some(other) => {
                    let error = format!("unknown when_short value `{other}`");
                    return Err(ConfigError::at(
                        name,
                        text,
                        position_of(other),
                        error,
                        "known: wait, shrink, page",
                    ));
                }
            };
            let micros = |t: Option<Time>, default: i64| t.map_or(default, |t| t.0 .0);
            let spec = EngineSpec {
                cores: kind.cores.unwrap_or(default_spec.cores),
                speed: kind.speed.unwrap_or(default_spec.speed),
                disks: kind.disks.unwrap_or(default_spec.disks),
                memory_mb: kind.memory.map_or(default_spec.memory_mb, |s| s.0 as f64 / 1_048_576.0),
                max_grant_fraction: kind.max_grant_fraction.unwrap_or(default_spec.max_grant_fraction),
                max_sessions: kind.max_sessions.unwrap_or(default_spec.max_sessions),
                knee_threads_per_core: kind
                    .knee_threads_per_core
                    .unwrap_or(default_spec.knee_threads_per_core),
                thrashing_penalty: kind.thrashing_penalty.unwrap_or(default_spec.thrashing_penalty),
                spill_work_factor: kind.spill_work_factor.unwrap_or(default_spec.spill_work_factor),
                memory_shortage,
                paging_slowdown: kind.paging_slowdown.unwrap_or(default_spec.paging_slowdown),
                honor_priorities: kind.honor_priorities.unwrap_or(default_spec.honor_priorities),
                honor_grants: kind.honor_grants.unwrap_or(default_spec.honor_grants),
                warm_table_groups: kind.warm_table_groups.unwrap_or(default_spec.warm_table_groups),
                warm_read_saving: kind.warm_read_saving.unwrap_or(default_spec.warm_read_saving),
                cold_start_fraction: kind.cold_start_fraction.unwrap_or(default_spec.cold_start_fraction),
                warmup_duration: micros(kind.warmup_duration, default_spec.warmup_duration),
                overload_factor: kind.overload_factor.unwrap_or(default_spec.overload_factor),
                overload_window: micros(kind.overload_window, default_spec.overload_window),
                report_interval: micros(kind.report_interval, default_spec.report_interval),
                report_delay: micros(kind.report_delay, default_spec.report_delay),
                progress_interval: micros(kind.progress_interval, default_spec.progress_interval),
            };
            let is_valid = [spec.cores, spec.speed, spec.disks, spec.memory_mb]
                .iter()
                .all(|x| x.is_finite() && *x > 0.0);
            if !is_valid || spec.max_sessions == 0 {
                let error =
                    format!("kind `{}`: cores, speed, disks, memory and sessions must be above 0", kind.name);
                return Err(ConfigError::at(
                    name,
                    text,
                    position_of(&kind.name),
                    error,
                    "use numbers above 0",
                ));
            }
            let listed_kind = kind.listed_as.unwrap_or_else(|| kind.name.clone());
            kinds.insert(kind.name, (listed_kind, spec));
        }
        let mut engines: Vec<HostedEngine> = Vec::new();
        for e in file.engines {
            let Some((listed_kind, spec)) = kinds.get(&e.kind) else {
                let known: Vec<&str> = kinds.keys().map(String::as_str).collect();
                let error = format!("engine `{}` is of kind `{}`, which is not defined", e.id, e.kind);
                return Err(ConfigError::at(
                    name,
                    text,
                    position_of(&e.kind),
                    error,
                    format!("known: {}", known.join(", ")),
                ));
            };
            if engines.iter().any(|other| other.name == e.id) {
                return Err(ConfigError::at(
                    name,
                    text,
                    position_of(&e.id),
                    format!("duplicate engine id `{}`", e.id),
                    "rename one of the engines",
                ));
            }
            engines.push(HostedEngine {
                name: e.id,
                kind: listed_kind.clone(),
                zone: e.zone,
                cell: e.cell,
                spec: spec.clone(),
            });
        }
        if engines.is_empty() {
            return Err(ConfigError::at(name, text, 0, "no engines are defined", "add [[engines]]"));
        }
        let removal_delay = file.registry.removal_delay.map_or(1_000_000, |t| t.0 .0);
        let listing_delay = file.registry.listing_delay.map_or(200_000, |t| t.0 .0);
        Ok(Setup { engines, removal_delay, listing_delay, ip: Ipv4Addr::LOCALHOST })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_parsed_or_its_error_reported_with_the_line() {
        let good = "[[kinds]]\nname = \"std\"\ncores = 4.0\nmemory = \"2GB\"\nwhen_short = \"page\"\n\
                    [[engines]]\nid = \"e\"\nkind = \"std\"\n";
        let setup = Setup::parse("f", good).expect("good");
        assert_eq!((setup.engines[0].spec.cores, setup.engines[0].spec.memory_mb), (4.0, 2048.0));
        for (from, to, line) in [
            ("\"page\"", "\"rage\"", 5),
            ("kind = \"std\"", "kind = \"big\"", 8),
            ("cores = 4.0", "cores = 0.0", 2),
        ] {
            let error = Setup::parse("f", &good.replace(from, to)).expect_err(to);
            assert_eq!(error.line, line, "{error}");
        }
    }
}
