//! The engines of a run as an endpoint file that controllers watch, in place of a registry.

use anyhow::{Context, Result};
use serde_json::{json, Value};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_config::{engine_id, Names};
use wheelfield_endpoints::file::{serialize, EngineFile, Topology};
use wheelfield_endpoints::{EngineRecord, EngineSet};
use wheelfield_endpoints_cli::disk;

/// The endpoint file and its content.
#[derive(Debug)]
pub struct EndpointFile {
    path: PathBuf,
    /// The log of what controllers count as told.
    log: PathBuf,
    set: EngineSet,
    topology: Topology,
    controllers: usize,
}

impl EndpointFile {
    /// Writes the first version, in which all emulated engines are up.
    ///
    /// # Errors
    /// If the file can't be written, or the emulated engines did not report their addresses.
    pub fn create(
        dir: &Path,
        reported: &Value,
        engines: &[(String, String, i64)],
        controllers: usize,
    ) -> Result<EndpointFile> {
        let mut topology =
            Topology { accept_unknown_names: true, names: Names::default(), ..Topology::default() };
        let mut set = EngineSet { version: 0, ..EngineSet::default() };
        let addresses = reported.as_array().context("no engines were reported")?;
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
                zone: if zone.is_empty() { usize::MAX } else { position(&mut topology.names.zones, zone) },
                kind: position(&mut topology.names.kinds, kind),
                cell: *cell,
                status: Status::Up,
                started_at: None,
            };
            set.engines.insert(entry.engine, EngineRecord { name, address, entry });
        }
        // In its own directory, as each line that a process logs in the same one would wake all watchers.
        let own = dir.join("members");
        std::fs::create_dir_all(&own)?;
        let (path, log) = (own.join("engines.toml"), dir.join("lists.jsonl"));
        // An earlier run may have left one.
        let _ = std::fs::remove_file(&log);
        let mut file = EndpointFile { path, log, set, topology, controllers };
        file.publish(0)?;
        Ok(file)
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The path of the log of what controllers count as told.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Changes the status of an engine, and its start time if one is given.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn change(&mut self, engine: usize, status: Status, started: Option<i64>, now: i64) -> Result<()> {
        let id = engine_id(&format!("engine-{engine:02}"));
        if let Some(k) = self.set.engines.get_mut(&id) {
            k.entry.status = status;
            k.entry.started_at = started.map(Micros).or(k.entry.started_at);
        }
        self.publish(now)
    }

    /// Writes the file, and logs that all controllers count as told from now on. They read it a little later, which makes
    /// the check stricter.
    fn publish(&mut self, now: i64) -> Result<()> {
        self.set.version += 1;
        let file = EngineFile { set: self.set.clone(), confirmed: true, saved_at: None };
        disk::write_durably(&self.path, serialize(&file, &self.topology).as_bytes())
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
