//! What the module is told of a new set: the first whole, later ones by what changed. And a set as a registry tells it.

use crate::{EngineRecord, EngineSet, MAX_ENGINES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, EngineId, Micros, Status};
use wheelfield_config::{engine_id, Config, EngineEndpoint, Names};

#[derive(Deserialize)]
struct List {
    version: u64,
    engines: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: i64,
    status: Standing,
    #[serde(default)]
    started_us: Option<i64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Standing {
    Up,
    Draining,
    Removed,
}

/// What is wrong with a list; the old one stays.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// Not the JSON of a list.
    #[error("not a list: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Too long.
    #[error("{0} engines, {MAX_ENGINES} at most")]
    TooMany(usize),
    /// An address that is none, or not on loopback.
    #[error("engine `{0}` has no loopback address: `{1}`")]
    Address(String, String),
    /// Two lines for one engine.
    #[error("engine `{0}` is listed twice")]
    Twice(String),
    /// A registry that fell behind itself.
    #[error("version {0} of the list, and {1} is in force: an old list came back")]
    Older(u64, u64),
}

/// The list as it was last told.
#[derive(Debug, Default)]
pub struct EngineTracker {
    version: u64,
    known: BTreeMap<EngineId, EngineRecord>,
    told: bool,
}

/// What a new list comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineListChange {
    /// It is the first: whole.
    pub is_complete: bool,
    /// The lines that the module is told.
    pub entries: Vec<EngineEntry>,
}

impl EngineTracker {
    /// The version last told.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All that were ever named.
    pub fn records(&self) -> &BTreeMap<EngineId, EngineRecord> {
        &self.known
    }

    /// An engine's name, for logs.
    pub fn name(&self, id: EngineId) -> &str {
        self.known.get(&id).map_or("?", |k| k.name.as_str())
    }

    /// Takes a list as the registry tells it.
    ///
    /// # Errors
    /// [`ListError`]; nothing of it was taken then.
    pub fn apply_registry_list(&mut self, body: &[u8], names: &Names) -> Result<EngineListChange, ListError> {
        let set = parse_registry_list(body, names, self.version)?;
        Ok(self.apply_set(set))
    }

    /// Takes a set as it is.
    pub fn apply_set(&mut self, set: EngineSet) -> EngineListChange {
        self.version = set.version;
        self.replace(set.engines)
    }

    /// Takes a set of files. What was not there before, or was gone, and does not tell its last start, starts now: it
    /// may be cold, and all controllers take it for that.
    pub fn apply_file_set(&mut self, mut set: EngineSet, now: Micros) -> EngineListChange {
        for (id, k) in set.engines.iter_mut().filter(|(_, k)| k.entry.started_at.is_none()) {
            let old = self.known.get(id);
            k.entry.started_at = match old {
                Some(old) if old.entry.status != Status::Removed => old.entry.started_at,
                _ if !self.told => None,
                _ => Some(now),
            };
        }
        self.apply_set(set)
    }

    /// Takes the engines that the configuration itself names.
    pub fn apply_config(&mut self, config: &Config) -> EngineListChange {
        let known = |e: &EngineEndpoint| {
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
        self.replace(config.engines.iter().map(known).collect())
    }

    fn replace(&mut self, fresh: BTreeMap<EngineId, EngineRecord>) -> EngineListChange {
        let is_complete = !std::mem::replace(&mut self.told, true);
        let changed = fresh.values().filter(|k| is_complete || self.known.get(&k.entry.engine) != Some(k));
        let mut entries: Vec<EngineEntry> = changed.map(|k| k.entry.clone()).collect();
        // What is missing is gone; it stays known, so that what is out there still has a name.
        for (id, old) in &mut self.known {
            if !fresh.contains_key(id) && old.entry.status != Status::Removed {
                old.entry.status = Status::Removed;
                entries.push(old.entry.clone());
            }
        }
        self.known.extend(fresh);
        EngineListChange { is_complete, entries }
    }
}

/// Reads a list as a registry tells it, where one of version `in_force` was told before.
///
/// # Errors
/// [`ListError`].
pub fn parse_registry_list(body: &[u8], names: &Names, in_force: u64) -> Result<EngineSet, ListError> {
    let list: List = serde_json::from_slice(body)?;
    if list.version < in_force {
        return Err(ListError::Older(list.version, in_force));
    }
    if list.engines.len() > MAX_ENGINES {
        return Err(ListError::TooMany(list.engines.len()));
    }
    let mut engines = BTreeMap::new();
    let position = |all: &[String], name: &str| all.iter().position(|n| n == name).unwrap_or(usize::MAX);
    for line in list.engines {
        let address = line.address.parse::<SocketAddr>().ok().filter(|a| a.ip().is_loopback());
        let Some(address) = address else { return Err(ListError::Address(line.id, line.address)) };
        let engine = engine_id(&line.id);
        let entry = EngineEntry {
            engine,
            zone: position(&names.zones, &line.zone),
            kind: position(&names.kinds, &line.kind),
            cell: line.cell,
            status: match line.status {
                Standing::Up => Status::Up,
                Standing::Draining => Status::Draining,
                Standing::Removed => Status::Removed,
            },
            started_at: line.started_us.map(Micros),
        };
        if let Some(twice) = engines.insert(engine, EngineRecord { name: line.id, address, entry }) {
            return Err(ListError::Twice(twice.name));
        }
    }
    Ok(EngineSet { version: list.version, engines })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn take(engines: &mut EngineTracker, body: &str) -> Result<EngineListChange, ListError> {
        engines.apply_registry_list(body.as_bytes(), &Names { kinds: vec!["std".into()], ..Names::default() })
    }

    #[test]
    fn the_first_list_is_whole_and_later_ones_tell_what_changed() {
        let mut engines = EngineTracker::default();
        let line = |id: &str, port: u16, status: &str| {
            format!(r#"{{"id":"{id}","address":"127.0.0.1:{port}","kind":"std","status":"{status}"}}"#)
        };
        let list = |lines: &[String]| format!(r#"{{"version":2,"engines":[{}]}}"#, lines.join(","));
        let both = list(&[line("a", 1, "up"), line("b", 2, "up")]);
        let change = take(&mut engines, &both).expect("sound");
        assert!(
            change.is_complete && change.entries.len() == 2 && change.entries.iter().all(|e| e.kind == 0)
        );
        assert!(take(&mut engines, &both).expect("sound").entries.is_empty());
        let change = take(&mut engines, &list(&[line("a", 1, "draining")])).expect("sound");
        let status =
            |name: &str| change.entries.iter().find(|e| e.engine == engine_id(name)).map(|e| e.status);
        assert_eq!((status("a"), status("b")), (Some(Status::Draining), Some(Status::Removed)));
        assert!(take(&mut engines, &list(&[line("a", 1, "draining")])).expect("sound").entries.is_empty());
    }

    #[test]
    fn a_bad_list_changes_nothing() {
        let mut engines = EngineTracker::default();
        let good = r#"{"version":1,"engines":[{"id":"a","address":"127.0.0.1:1","status":"up"}]}"#;
        take(&mut engines, good).expect("sound");
        for bad in [
            "{",
            r#"{"version":9,"engines":[{"id":"a","address":"8.8.8.8:1","status":"up"}]}"#,
            r#"{"version":9,"engines":[{"id":"a","address":"127.0.0.1:1","status":"asleep"}]}"#,
            &good.replace("}]", "},{\"id\":\"a\",\"address\":\"127.0.0.1:2\",\"status\":\"up\"}]"),
        ] {
            assert!(take(&mut engines, bad).is_err(), "{bad}");
            assert_eq!((engines.version(), engines.records().len()), (1, 1));
        }
    }
}
