//! An emulated registry that lists the engines. Changes are published with a delay, and the registry
//! can be made unavailable. No I/O and no clock.

use serde::Serialize;
use std::collections::BTreeMap;
use wheelfield_sans_io::Timers;

/// Status of an engine in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineStatus {
    /// The engine accepts queries.
    Up,
    /// The engine finishes its running queries and accepts no new ones.
    Draining,
    /// The engine's process has ended.
    Removed,
}

/// An engine's entry in the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RegistryEntry {
    /// Engine name.
    pub id: String,
    /// Listen address.
    pub address: String,
    /// Zone of the engine.
    pub zone: String,
    /// Engine kind.
    pub kind: String,
    /// Cell of the engine.
    pub cell: i64,
    /// Status of the engine.
    pub status: EngineStatus,
    /// Time of the last restart, in microseconds on the host's clock, if the engine has been
    /// restarted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started_us: Option<i64>,
}

/// A change that is not published yet.
#[derive(Debug)]
struct PendingChange {
    change_number: u64,
    id: String,
    status: EngineStatus,
    started: Option<i64>,
}

/// The published list and the changes that are not published yet.
#[derive(Debug, Default)]
pub struct Registry {
    version: u64,
    entries: BTreeMap<String, RegistryEntry>,
    pending_changes: Timers<PendingChange>,
    /// For each engine, the number of the latest published change that reported a start.
    last_start_change: BTreeMap<String, u64>,
    change_count: u64,
    unavailable_until: i64,
}

impl Registry {
    /// Creates a list with version 1.
    pub fn new(entries: impl Iterator<Item = RegistryEntry>) -> Registry {
        let entries = entries.map(|entry| (entry.id.clone(), entry)).collect();
        Registry { version: 1, entries, ..Registry::default() }
    }

    /// Returns the version of the published list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Schedules a change to an engine's entry for publication at `at`. Changes are numbered in the
    /// order in which they happen, which may differ from the order of publication. If the exit of a
    /// process is published after the start of its successor, it is ignored, so that the successor
    /// stays in the list.
    pub fn schedule_change(&mut self, at: i64, id: &str, status: EngineStatus, started: Option<i64>) {
        self.change_count += 1;
        self.pending_changes
            .set(at, PendingChange { change_number: self.change_count, id: id.to_string(), status, started });
    }

    /// Makes the registry unavailable until a time.
    pub fn set_unavailable_until(&mut self, until: i64) {
        self.unavailable_until = until;
    }

    /// Returns whether requests are answered.
    pub fn available(&self, now: i64) -> bool {
        now >= self.unavailable_until
    }

    /// Returns the time of the next scheduled change.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.pending_changes.next_at()
    }

    /// Publishes the changes that are due; returns whether the list changed.
    pub fn advance(&mut self, now: i64) -> bool {
        let before = self.version;
        while let Some(PendingChange { change_number, id, status, started }) =
            self.pending_changes.pop_due(now)
        {
            if started.is_some() {
                self.last_start_change.insert(id.clone(), change_number);
            }
            let superseded = self.last_start_change.get(&id).is_some_and(|start| *start > change_number);
            if let Some(entry) = self.entries.get_mut(&id).filter(|_| !superseded) {
                entry.status = status;
                entry.started_us = started.or(entry.started_us);
                self.version += 1;
            }
        }
        self.version != before
    }

    /// Returns the published list as JSON.
    pub fn list(&self) -> String {
        #[derive(Serialize)]
        struct EngineList<'a> {
            version: u64,
            engines: Vec<&'a RegistryEntry>,
        }
        let list = EngineList { version: self.version, engines: self.entries.values().collect() };
        serde_json::to_string(&list).unwrap_or_default()
    }

    /// Returns the engines that are published with a status other than `Up`.
    pub fn not_up(&self) -> Vec<(&str, EngineStatus)> {
        let all = self.entries.values().filter(|l| l.status != EngineStatus::Up);
        all.map(|l| (l.id.as_str(), l.status)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_published_with_delay_and_stale_exits_are_ignored() {
        let entry = RegistryEntry {
            id: "e".into(),
            address: "127.0.0.1:1".into(),
            zone: String::new(),
            kind: "std".into(),
            cell: 0,
            status: EngineStatus::Up,
            started_us: None,
        };
        let mut registry = Registry::new([entry].into_iter());
        registry.schedule_change(2_000, "e", EngineStatus::Up, Some(1_500));
        registry.schedule_change(1_000, "e", EngineStatus::Removed, None);
        assert!(!registry.advance(999));
        assert!(registry.advance(1_000));
        assert_eq!(registry.not_up(), [("e", EngineStatus::Removed)]);
        assert!(registry.advance(5_000) && registry.not_up().is_empty());
        assert!(registry.list().contains("\"started_us\":1500"));
        // A process exits and its successor starts at once. The exit is published after the start,
        // and must be ignored.
        registry.schedule_change(9_000, "e", EngineStatus::Removed, None);
        registry.schedule_change(6_000, "e", EngineStatus::Up, Some(5_900));
        assert!(registry.advance(6_000) && !registry.advance(9_000) && registry.not_up().is_empty());
        registry.set_unavailable_until(9_000);
        assert!(!registry.available(8_999) && registry.available(9_000));
    }
}
