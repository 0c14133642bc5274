//! Sets of engines: read from files or a registry, checked, compared, merged, and taken whole or not at all.
//!
//! - [`mod@file`]: a set as TOML; every fault by line, column and mend.
//! - [`activation`]: when what files hold is taken: it stands still, it is sound, and it is plausible.
//! - [`merge`]: a file and a registry that may contradict each other.
//! - [`rollout`]: a large change in steps, and when to stop it.
//! - [`tracker`]: what the module is told of a new set.
//!
//! No I/O and no clock. Nothing here decides what the module decides: where queries go.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod activation;
mod event;
pub mod file;
pub mod merge;
pub mod rollout;
pub mod tracker;

pub use event::EngineFileEvent;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelfield::interface::{EngineEntry, EngineId, Status};

/// Bytes of a list at most.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Engines of a list at most.
pub const MAX_ENGINES: usize = 10_000;

/// An engine as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the module is told.
    pub entry: EngineEntry,
}

/// A whole set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSet {
    /// Raised with every change.
    pub version: u64,
    /// The engines.
    pub engines: BTreeMap<EngineId, EngineRecord>,
}

impl EngineSet {
    /// Cores of the engines that take work, by the cores of each kind.
    pub fn capacity(&self, cores: &[f64]) -> f64 {
        let up = self.engines.values().filter(|k| k.entry.status == Status::Up);
        up.map(|k| cores.get(k.entry.kind).copied().unwrap_or(1.0)).sum()
    }

    /// How another set differs: lines of words, none if it is a mere reordering.
    pub fn difference(&self, other: &EngineSet) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, old) in &self.engines {
            match other.engines.get(id) {
                None => lines.push(format!("- {} at {}", old.name, old.address)),
                Some(new) if new != old => lines.push(changed(old, new)),
                Some(_) => {}
            }
        }
        let fresh = other.engines.iter().filter(|(id, _)| !self.engines.contains_key(id));
        lines.extend(
            fresh.map(|(_, k)| format!("+ {} at {}, {}", k.name, k.address, status_name(k.entry.status))),
        );
        lines
    }
}

/// A status as files and registries write it.
pub fn status_name(status: Status) -> &'static str {
    match status {
        Status::Up => "up",
        Status::Draining => "draining",
        Status::Removed => "removed",
    }
}

fn changed(old: &EngineRecord, new: &EngineRecord) -> String {
    let mut parts = Vec::new();
    if old.address != new.address {
        parts.push(format!("address {} to {}", old.address, new.address));
    }
    let (a, b) = (&old.entry, &new.entry);
    if a.status != b.status {
        parts.push(format!("{} to {}", status_name(a.status), status_name(b.status)));
    }
    let place = |e: &EngineEntry| (e.zone, e.kind, e.cell);
    if place(a) != place(b) {
        parts.push("zone, kind or cell".to_string());
    }
    if a.started_at != b.started_at {
        parts.push("last start".to_string());
    }
    format!("~ {}: {}", new.name, parts.join(", "))
}
