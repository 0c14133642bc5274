//! What a process of stand-ins hosts, as TOML or by the number of engines alone.

use crate::model::{Short, Spec};
use serde::Deserialize;
use std::collections::BTreeMap;
use wheelfield_config::units::{Size, Time};
use wheelfield_config::ConfigError;

/// An engine to be hosted.
#[derive(Clone, Debug)]
pub struct HostedEngine {
    /// Its name.
    pub name: String,
    /// The name of its kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: i64,
    /// What it is like.
    pub spec: Spec,
}

/// All that a process hosts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The engines.
    pub engines: Vec<HostedEngine>,
    /// A process that died is listed as gone so much later, in microseconds,
    pub removal_delay: i64,
    /// and one that started is listed so much later.
    pub listing_delay: i64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    registry: Registry,
    kinds: Vec<Kind>,
    engines: Vec<Engine>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Registry {
    notice: Option<Time>,
    listed_after: Option<Time>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Kind {
    name: String,
    listed_as: Option<String>,
    cores: Option<f64>,
    speed: Option<f64>,
    disks: Option<f64>,
    memory: Option<Size>,
    most_grant: Option<f64>,
    sessions: Option<usize>,
    knee: Option<f64>,
    thrash: Option<f64>,
    spill: Option<f64>,
    when_short: Option<String>,
    page: Option<f64>,
    priorities: Option<bool>,
    grants: Option<bool>,
    warm_groups: Option<usize>,
    warm_gain: Option<f64>,
    cold_from: Option<f64>,
    cold_for: Option<Time>,
    fall_multiple: Option<f64>,
    fall_span: Option<Time>,
    report_every: Option<Time>,
    report_delay: Option<Time>,
    notes_every: Option<Time>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Engine {
    id: String,
    kind: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: i64,
}

impl Setup {
    /// So many engines of the usual kind, in zone `a`.
    pub fn with_default_engines(n: usize) -> Setup {
        let engine = |i: usize| HostedEngine {
            name: format!("engine-{i:02}"),
            kind: "std".into(),
            zone: "a".into(),
            cell: i as i64 / 4,
            spec: Spec::default(),
        };
        Setup { engines: (1..=n).map(engine).collect(), removal_delay: 1_000_000, listing_delay: 200_000 }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn parse(name: &str, text: &str) -> Result<Setup, ConfigError> {
        let file: File = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        // Faults in names are told at the line that bears them.
        let at = |what: &str| text.find(&format!("\"{what}\"")).unwrap_or(0);
        let mut kinds = BTreeMap::new();
        for kind in file.kinds {
            let usual = Spec::default();
            let short = match kind.when_short.as_deref() {
                None | Some("wait") => Short::Wait,
                Some("shrink") => Short::Shrink,
                Some("page") => Short::Page,
                Some(other) => {
                    let fault = format!("no way of being short is named `{other}`");
                    return Err(ConfigError::at(name, text, at(other), fault, "known: wait, shrink, page"));
                }
            };
            let micros = |t: Option<Time>, usual: i64| t.map_or(usual, |t| t.0 .0);
            let spec = Spec {
                cores: kind.cores.unwrap_or(usual.cores),
                speed: kind.speed.unwrap_or(usual.speed),
                disks: kind.disks.unwrap_or(usual.disks),
                memory_mb: kind.memory.map_or(usual.memory_mb, |s| s.0 as f64 / 1_048_576.0),
                most_grant: kind.most_grant.unwrap_or(usual.most_grant),
                sessions: kind.sessions.unwrap_or(usual.sessions),
                knee: kind.knee.unwrap_or(usual.knee),
                thrash: kind.thrash.unwrap_or(usual.thrash),
                spill: kind.spill.unwrap_or(usual.spill),
                short,
                page: kind.page.unwrap_or(usual.page),
                priorities: kind.priorities.unwrap_or(usual.priorities),
                grants: kind.grants.unwrap_or(usual.grants),
                warm_groups: kind.warm_groups.unwrap_or(usual.warm_groups),
                warm_gain: kind.warm_gain.unwrap_or(usual.warm_gain),
                cold_from: kind.cold_from.unwrap_or(usual.cold_from),
                cold_for: micros(kind.cold_for, usual.cold_for),
                fall_multiple: kind.fall_multiple.unwrap_or(usual.fall_multiple),
                fall_span: micros(kind.fall_span, usual.fall_span),
                report_every: micros(kind.report_every, usual.report_every),
                report_delay: micros(kind.report_delay, usual.report_delay),
                note_every: micros(kind.notes_every, usual.note_every),
            };
            let sound = [spec.cores, spec.speed, spec.disks, spec.memory_mb]
                .iter()
                .all(|x| x.is_finite() && *x > 0.0);
            if !sound || spec.sessions == 0 {
                let fault = format!("kind `{}` has no cores, speed, disks, memory or sessions", kind.name);
                return Err(ConfigError::at(name, text, at(&kind.name), fault, "write numbers above 0"));
            }
            let listed = kind.listed_as.unwrap_or_else(|| kind.name.clone());
            kinds.insert(kind.name, (listed, spec));
        }
        let mut engines: Vec<HostedEngine> = Vec::new();
        for e in file.engines {
            let Some((listed, spec)) = kinds.get(&e.kind) else {
                let known: Vec<&str> = kinds.keys().map(String::as_str).collect();
                let fault = format!("engine `{}` is of kind `{}`, which is not named", e.id, e.kind);
                return Err(ConfigError::at(
                    name,
                    text,
                    at(&e.kind),
                    fault,
                    format!("known: {}", known.join(", ")),
                ));
            };
            if engines.iter().any(|other| other.name == e.id) {
                return Err(ConfigError::at(
                    name,
                    text,
                    at(&e.id),
                    format!("the engine `{}` is named twice", e.id),
                    "rename one",
                ));
            }
            engines.push(HostedEngine {
                name: e.id,
                kind: listed.clone(),
                zone: e.zone,
                cell: e.cell,
                spec: spec.clone(),
            });
        }
        if engines.is_empty() {
            return Err(ConfigError::at(name, text, 0, "no engine is named", "add [[engines]]"));
        }
        let removal_delay = file.registry.notice.map_or(1_000_000, |t| t.0 .0);
        let listing_delay = file.registry.listed_after.map_or(200_000, |t| t.0 .0);
        Ok(Setup { engines, removal_delay, listing_delay })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_read_or_its_fault_told() {
        let good = "[[kinds]]\nname = \"std\"\ncores = 4.0\nmemory = \"2GB\"\nwhen_short = \"page\"\n\
                    [[engines]]\nid = \"e\"\nkind = \"std\"\n";
        let setup = Setup::parse("f", good).expect("good");
        assert_eq!((setup.engines[0].spec.cores, setup.engines[0].spec.memory_mb), (4.0, 2048.0));
        for (from, to, line) in [
            ("\"page\"", "\"rage\"", 5),
            ("kind = \"std\"", "kind = \"big\"", 8),
            ("cores = 4.0", "cores = 0.0", 2),
        ] {
            let fault = Setup::parse("f", &good.replace(from, to)).expect_err(to);
            assert_eq!(fault.line, line, "{fault}");
        }
    }
}
