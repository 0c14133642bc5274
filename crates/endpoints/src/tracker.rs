//! Computes the engine list changes that the gateway receives: the first list is complete, later ones contain what changed.
//! Also parses the engine lists of a registry.

use crate::{EngineRecord, EngineSet, MAX_ENGINES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, EngineId, Micros, Status};
use wheelfield_config::{engine_id, Config, EngineEndpoint, Names};

#[derive(Deserialize)]
struct RegistryList {
    version: u64,
    engines: Vec<RegistryEntry>,
}

#[derive(Deserialize)]
struct RegistryEntry {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: i64,
    status: RegistryStatus,
    #[serde(default)]
    started_us: Option<i64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RegistryStatus {
    Up,
    Draining,
    Removed,
}

/// Why an engine list is rejected; the previous list stays.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The body is not a JSON engine list.
    #[error("the engine list cannot be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The list has too many engines.
    #[error("the list has {0} engines; the limit is {MAX_ENGINES}")]
    TooMany(usize),
    /// An address is malformed or not a loopback address.
    #[error("engine `{0}` has no loopback address: `{1}`")]
    Address(String, String),
    /// An engine has two entries.
    #[error("engine `{0}` is listed twice")]
    Twice(String),
    /// The list is older than the active one: the registry went back to an earlier state.
    #[error("version {0} of the list is older than the active version {1}")]
    Older(u64, u64),
}

/// Maximum number of engines that are no longer listed whose names are kept for logs. Beyond that the engine that
/// left the list first is forgotten.
const MAX_UNLISTED_ENGINES: usize = 1_024;

/// The engine list that the gateway received last.
#[derive(Debug, Default)]
pub struct EngineTracker {
    version: u64,
    records: BTreeMap<EngineId, EngineRecord>,
    /// The engines with a record that are not listed, and the number of the list that first lacked each.
    unlisted: BTreeMap<EngineId, u64>,
    /// Number of lists so far.
    lists: u64,
    has_list: bool,
}

/// The difference between the previous list and a new one.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineListChange {
    /// Whether `entries` is the complete list, as it is for the first one.
    pub is_complete: bool,
    /// The entries that are new or changed, including engines that are now removed.
    pub entries: Vec<EngineEntry>,
}

impl EngineTracker {
    /// The version of the current list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The engines that are listed, and those that were removed and are not forgotten.
    pub fn records(&self) -> &BTreeMap<EngineId, EngineRecord> {
        &self.records
    }

    /// An engine's name for logs; `?` if it is unknown.
    pub fn name(&self, id: EngineId) -> &str {
        self.records.get(&id).map_or("?", |k| k.name.as_str())
    }

    /// Parses and applies the JSON list of a registry.
    ///
    /// # Errors
    /// [`ListError`]; the current list is unchanged then.
    pub fn apply_registry_list(&mut self, body: &[u8], names: &Names) -> Result<EngineListChange, ListError> {
        let set = parse_registry_list(body, names, self.version)?;
        Ok(self.apply_set(set))
    }

    /// Applies a set unchanged.
    pub fn apply_set(&mut self, set: EngineSet) -> EngineListChange {
        self.version = set.version;
        self.replace(set.engines)
    }

    /// Applies a set read from files. An engine without a start time that is new, or was removed before, gets `now` as its
    /// start time: its caches may be cold, so all controllers put it into slow start. The engines of the first list get none.
    pub fn apply_file_set(&mut self, mut set: EngineSet, now: Micros) -> EngineListChange {
        for (id, k) in set.engines.iter_mut().filter(|(_, k)| k.entry.started_at.is_none()) {
            let old = self.records.get(id);
            k.entry.started_at = match old {
                Some(old) if old.entry.status != Status::Removed => old.entry.started_at,
                _ if !self.has_list => None,
                _ => Some(now),
            };
        }
        self.apply_set(set)
    }

    /// Applies the engines that the configuration itself lists.
    pub fn apply_config(&mut self, config: &Config) -> EngineListChange {
        let record = |e: &EngineEndpoint| {
            let engine = engine_id(&e.name);
            let entry = EngineEntry {
                engine,
                zone: e.zone,
                kind: e.kind,
                cell: e.cell,
                status: Status::Up,
                started_at: None,
            };
            (engine, EngineRecord { name: e.name.clone(), address: e.address, entry })
        };
        self.replace(config.engines.iter().map(record).collect())
    }

    fn replace(&mut self, listed: BTreeMap<EngineId, EngineRecord>) -> EngineListChange {
        let is_complete = !std::mem::replace(&mut self.has_list, true);
        let changed = listed.values().filter(|k| is_complete || self.records.get(&k.entry.engine) != Some(k));
        let mut entries: Vec<EngineEntry> = changed.map(|k| k.entry.clone()).collect();
        // Engines missing from the new list are marked as removed. Their records stay, so that attempts still running there
        // can be logged with the engine's name.
        self.lists += 1;
        for (id, old) in &mut self.records {
            if listed.contains_key(id) {
                continue;
            }
            self.unlisted.entry(*id).or_insert(self.lists);
            if old.entry.status != Status::Removed {
                old.entry.status = Status::Removed;
                entries.push(old.entry.clone());
            }
        }
        self.unlisted.retain(|id, _| !listed.contains_key(id));
        self.records.extend(listed);
        self.forget_unlisted();
        EngineListChange { is_complete, entries }
    }

    /// Forgets engines that are no longer listed beyond [`MAX_UNLISTED_ENGINES`].
    fn forget_unlisted(&mut self) {
        let excess = self.unlisted.len().saturating_sub(MAX_UNLISTED_ENGINES);
        let mut oldest: Vec<(u64, EngineId)> = self.unlisted.iter().map(|(id, list)| (*list, *id)).collect();
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(excess) {
            self.unlisted.remove(&id);
            self.records.remove(&id);
        }
    }
}

/// Parses the JSON list of a registry. `active_version` is the version of the previous list.
///
/// # Errors
/// [`ListError`].
pub fn parse_registry_list(body: &[u8], names: &Names, active_version: u64) -> Result<EngineSet, ListError> {
    let list: RegistryList = serde_json::from_slice(body)?;
    if list.version < active_version {
        return Err(ListError::Older(list.version, active_version));
    }
    if list.engines.len() > MAX_ENGINES {
        return Err(ListError::TooMany(list.engines.len()));
    }
    let mut engines = BTreeMap::new();
    let index_of = |all: &[String], name: &str| all.iter().position(|n| n == name).unwrap_or(usize::MAX);
    for listed in list.engines {
        let address = listed.address.parse::<SocketAddr>().ok().filter(|a| a.ip().is_loopback());
        let Some(address) = address else { return Err(ListError::Address(listed.id, listed.address)) };
        let engine = engine_id(&listed.id);
        let entry = EngineEntry {
            engine,
            zone: index_of(&names.zones, &listed.zone),
            kind: index_of(&names.kinds, &listed.kind),
            cell: listed.cell,
            status: match listed.status {
                RegistryStatus::Up => Status::Up,
                RegistryStatus::Draining => Status::Draining,
                RegistryStatus::Removed => Status::Removed,
            },
            started_at: listed.started_us.map(Micros),
        };
        if let Some(duplicate) = engines.insert(engine, EngineRecord { name: listed.id, address, entry }) {
            return Err(ListError::Twice(duplicate.name));
        }
    }
    Ok(EngineSet { version: list.version, engines })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply(engines: &mut EngineTracker, body: &str) -> Result<EngineListChange, ListError> {
        engines.apply_registry_list(body.as_bytes(), &Names { kinds: vec!["std".into()], ..Names::default() })
    }

    #[test]
    fn the_first_list_is_complete_and_later_ones_contain_the_changes() {
        let mut engines = EngineTracker::default();
        let entry = |id: &str, port: u16, status: &str| {
            format!(r#"{{"id":"{id}","address":"127.0.0.1:{port}","kind":"std","status":"{status}"}}"#)
        };
        let list = |entries: &[String]| format!(r#"{{"version":2,"engines":[{}]}}"#, entries.join(","));
        let both = list(&[entry("a", 1, "up"), entry("b", 2, "up")]);
        let change = apply(&mut engines, &both).expect("a valid list");
        assert!(
            change.is_complete && change.entries.len() == 2 && change.entries.iter().all(|e| e.kind == 0)
        );
        assert!(apply(&mut engines, &both).expect("a valid list").entries.is_empty());
        let change = apply(&mut engines, &list(&[entry("a", 1, "draining")])).expect("a valid list");
        let status =
            |name: &str| change.entries.iter().find(|e| e.engine == engine_id(name)).map(|e| e.status);
        assert_eq!((status("a"), status("b")), (Some(Status::Draining), Some(Status::Removed)));
        assert!(apply(&mut engines, &list(&[entry("a", 1, "draining")]))
            .expect("a valid list")
            .entries
            .is_empty());
    }

    #[test]
    fn an_invalid_list_changes_nothing() {
        let mut engines = EngineTracker::default();
        let valid = r#"{"version":1,"engines":[{"id":"a","address":"127.0.0.1:1","status":"up"}]}"#;
        apply(&mut engines, valid).expect("a valid list");
        for invalid in [
            "{",
            r#"{"version":9,"engines":[{"id":"a","address":"8.8.8.8:1","status":"up"}]}"#,
            r#"{"version":9,"engines":[{"id":"a","address":"127.0.0.1:1","status":"asleep"}]}"#,
            &valid.replace("}]", "},{\"id\":\"a\",\"address\":\"127.0.0.1:2\",\"status\":\"up\"}]"),
        ] {
            assert!(apply(&mut engines, invalid).is_err(), "{invalid}");
            assert_eq!((engines.version(), engines.records().len()), (1, 1));
        }
    }
}
