//! Engine sets: parsed from files or from a registry, validated, compared and merged. A set is applied as a whole or not at
//! all.
//!
//! - [`mod@file`]: the TOML format of an engine file; each error has a line, a column and a suggestion.
//! - [`activation`]: decides when the contents of the engine files become the active set: they must be stable, valid and
//!   plausible.
//! - [`merge`]: merges a file with a registry, which may contradict each other.
//! - [`rollout`]: splits a large change into steps, and decides when a rollout must stop.
//! - [`tracker`]: computes what changed between two lists, as input for the gateway.
//!
//! This crate does no I/O and reads no clock, and it does not route queries: the gateway does.
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

/// Maximum size of an engine list, in bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum number of engines in a list.
pub const MAX_ENGINES: usize = 10_000;

/// An engine: its name, its address and its entry in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// The id under which files and the registry list the engine.
    pub name: String,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// The entry that the gateway receives.
    pub entry: EngineEntry,
}

/// A complete set of engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSet {
    /// The version, which increases with every change.
    pub version: u64,
    /// The engines by id.
    pub engines: BTreeMap<EngineId, EngineRecord>,
}

impl EngineSet {
    /// The number of cores of all engines that accept queries. `cores` holds the number of cores by kind; an engine of an
    /// unknown kind counts as one core.
    pub fn capacity(&self, cores: &[f64]) -> f64 {
        self.capacity_of(cores, |_| true)
    }

    /// The fraction of the capacity that a change to another set removes. Only engines that accept queries in both sets
    /// count as remaining: new engines are cold and do not replace them yet.
    pub fn lost_fraction(&self, new: &EngineSet, cores: &[f64]) -> f64 {
        let is_up = |id: &EngineId| self.engines.get(id).is_some_and(|k| k.entry.status == Status::Up);
        let (active, remaining) = (self.capacity(cores), new.capacity_of(cores, is_up));
        if active > 0.0 {
            1.0 - remaining / active
        } else {
            0.0
        }
    }

    /// The number of cores of the engines that accept queries and match.
    fn capacity_of(&self, cores: &[f64], matches: impl Fn(&EngineId) -> bool) -> f64 {
        let up = self.engines.iter().filter(|(id, k)| k.entry.status == Status::Up && matches(id));
        up.map(|(_, k)| cores.get(k.entry.kind).copied().unwrap_or(1.0)).sum()
    }

    /// Describes how another set differs, one line for each engine; empty if the sets differ only in order or version.
    pub fn difference(&self, other: &EngineSet) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, old) in &self.engines {
            match other.engines.get(id) {
                None => lines.push(format!("- {} at {}", old.name, old.address)),
                Some(new) if new != old => lines.push(describe_change(old, new)),
                Some(_) => {}
            }
        }
        let added = other.engines.iter().filter(|(id, _)| !self.engines.contains_key(id));
        lines.extend(
            added.map(|(_, k)| format!("+ {} at {}, {}", k.name, k.address, status_name(k.entry.status))),
        );
        lines
    }
}

/// The name of a status in files and in the registry's lists.
pub fn status_name(status: Status) -> &'static str {
    match status {
        Status::Up => "up",
        Status::Draining => "draining",
        Status::Removed => "removed",
    }
}

fn describe_change(old: &EngineRecord, new: &EngineRecord) -> String {
    let mut parts = Vec::new();
    if old.address != new.address {
        parts.push(format!("address {} to {}", old.address, new.address));
    }
    let (a, b) = (&old.entry, &new.entry);
    if a.status != b.status {
        parts.push(format!("{} to {}", status_name(a.status), status_name(b.status)));
    }
    let placement = |e: &EngineEntry| (e.zone, e.kind, e.cell);
    if placement(a) != placement(b) {
        parts.push("zone, kind or cell".to_string());
    }
    if a.started_at != b.started_at {
        parts.push("last start".to_string());
    }
    format!("~ {}: {}", new.name, parts.join(", "))
}
