//! The engines of a day as a file that controllers watch, in place of a registry.

use anyhow::{Context, Result};
use serde_json::{json, Value};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_config::{engine_id, Names};
use wheelfield_endpoints::file::{serialize, EngineFile, Topology};
use wheelfield_endpoints::{EngineRecord, EngineSet};
use wheelfield_endpoints_cli::disk;

/// The file, and what it says.
#[derive(Debug)]
pub struct Lists {
    path: PathBuf,
    log: PathBuf,
    set: EngineSet,
    places: Topology,
    controllers: usize,
}

impl Lists {
    /// Writes the first file: all that the stand-ins told of themselves, up.
    ///
    /// # Errors
    /// If it can't be written, or they told something else.
    pub fn begin(
        dir: &Path,
        told: &Value,
        engines: &[(String, String, i64)],
        controllers: usize,
    ) -> Result<Lists> {
        let mut places =
            Topology { accept_unknown_names: true, names: Names::default(), ..Topology::default() };
        let mut set = EngineSet { version: 0, ..EngineSet::default() };
        let addresses = told.as_array().context("no engines were told")?;
        let position = |all: &mut Vec<String>, name: &String| {
            all.iter().position(|n| n == name).unwrap_or_else(|| {
                all.push(name.clone());
                all.len() - 1
            })
        };
        for (engine, (zone, kind, cell)) in addresses.iter().zip(engines) {
            let name = engine["id"].as_str().context("an engine without an id")?.to_string();
            let address = engine["address"].as_str().context("an engine without an address")?.parse()?;
            let entry = EngineEntry {
                engine: engine_id(&name),
                zone: if zone.is_empty() { usize::MAX } else { position(&mut places.names.zones, zone) },
                kind: position(&mut places.names.kinds, kind),
                cell: *cell,
                status: Status::Up,
                started_at: None,
            };
            set.engines.insert(entry.engine, EngineRecord { name, address, entry });
        }
        // In a directory of its own: each line that a process logs beside it would wake all that watch.
        let own = dir.join("members");
        std::fs::create_dir_all(&own)?;
        let (path, log) = (own.join("engines.toml"), dir.join("lists.jsonl"));
        // Of a day played here before.
        let _ = std::fs::remove_file(&log);
        let mut lists = Lists { path, log, set, places, controllers };
        lists.put(0)?;
        Ok(lists)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Where it is noted who was told what.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// An engine drains, or is up again from a time on.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn change(&mut self, engine: usize, status: Status, started: Option<i64>, now: i64) -> Result<()> {
        let id = engine_id(&format!("engine-{engine:02}"));
        if let Some(k) = self.set.engines.get_mut(&id) {
            k.entry.status = status;
            k.entry.started_at = started.map(Micros).or(k.entry.started_at);
        }
        self.put(now)
    }

    /// Puts the file in place, and notes that all are told from now on, although they hear of it a little later: the
    /// judge is to be the stricter for it.
    fn put(&mut self, now: i64) -> Result<()> {
        self.set.version += 1;
        let found = EngineFile { set: self.set.clone(), confirmed: true, saved_at: None };
        disk::write_durably(&self.path, serialize(&found, &self.places).as_bytes())
            .with_context(|| format!("cannot write {}", self.path.display()))?;
        let not_up: Vec<Value> = self
            .set
            .engines
            .values()
            .filter(|k| k.entry.status != Status::Up)
            .map(|k| json!({"engine": k.name, "status": wheelfield_endpoints::status_name(k.entry.status)}))
            .collect();
        let line = |who: usize| json!({"t": now, "event": "told", "who": who.to_string(), "not_up": not_up});
        let lines: String = (0..self.controllers).map(|who| format!("{}\n", line(who))).collect();
        let mut log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        Ok(log.write_all(lines.as_bytes())?)
    }
}
