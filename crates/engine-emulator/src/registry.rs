//! A stand-in registry: it tells who is there, late, and at times not at all. No I/O and no clock.

use serde::Serialize;
use std::collections::BTreeMap;
use wheelfield_sans_io::Timers;

/// Whether an engine takes work, as the registry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineStatus {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RegistryEntry {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: i64,
    /// Whether it takes work.
    pub status: EngineStatus,
    /// When it started, in microseconds of the registry's clock, where that is recent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started_us: Option<i64>,
}

/// A change on its way.
#[derive(Debug)]
struct Coming {
    number: u64,
    id: String,
    standing: EngineStatus,
    started: Option<i64>,
}

/// The list, and what of it is on its way.
#[derive(Debug, Default)]
pub struct Registry {
    version: u64,
    lines: BTreeMap<String, RegistryEntry>,
    coming: Timers<Coming>,
    /// The number of the last change that named each engine's start.
    starts: BTreeMap<String, u64>,
    changes: u64,
    unavailable_until: i64,
}

impl Registry {
    /// A list at its first version.
    pub fn new(lines: impl Iterator<Item = RegistryEntry>) -> Registry {
        let lines = lines.map(|line| (line.id.clone(), line)).collect();
        Registry { version: 1, lines, ..Registry::default() }
    }

    /// The version of the list as it is told now.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// An engine changes; the list will say so at a time. Changes count in the order in which they happen, not in which they
    /// are heard of: the death of a process that is noticed after the next one has registered takes that one off no list.
    pub fn schedule_change(&mut self, at: i64, id: &str, standing: EngineStatus, started: Option<i64>) {
        self.changes += 1;
        self.coming.set(at, Coming { number: self.changes, id: id.to_string(), standing, started });
    }

    /// Nobody is answered until a time.
    pub fn set_unavailable_until(&mut self, until: i64) {
        self.unavailable_until = until;
    }

    /// Whether calls are answered.
    pub fn available(&self, now: i64) -> bool {
        now >= self.unavailable_until
    }

    /// When something changes next.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.coming.next_at()
    }

    /// Lets the time pass; true if the list changed.
    pub fn advance(&mut self, now: i64) -> bool {
        let before = self.version;
        while let Some(Coming { number, id, standing, started }) = self.coming.pop_due(now) {
            if started.is_some() {
                self.starts.insert(id.clone(), number);
            }
            let overtaken = self.starts.get(&id).is_some_and(|start| *start > number);
            if let Some(line) = self.lines.get_mut(&id).filter(|_| !overtaken) {
                line.status = standing;
                line.started_us = started.or(line.started_us);
                self.version += 1;
            }
        }
        self.version != before
    }

    /// The list as it is told.
    pub fn list(&self) -> String {
        #[derive(Serialize)]
        struct List<'a> {
            version: u64,
            engines: Vec<&'a RegistryEntry>,
        }
        let list = List { version: self.version, engines: self.lines.values().collect() };
        serde_json::to_string(&list).unwrap_or_default()
    }

    /// Engines that take no work, as told.
    pub fn not_up(&self) -> Vec<(&str, EngineStatus)> {
        let all = self.lines.values().filter(|l| l.status != EngineStatus::Up);
        all.map(|l| (l.id.as_str(), l.status)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_tells_late_and_in_order() {
        let line = RegistryEntry {
            id: "e".into(),
            address: "127.0.0.1:1".into(),
            zone: String::new(),
            kind: "std".into(),
            cell: 0,
            status: EngineStatus::Up,
            started_us: None,
        };
        let mut registry = Registry::new([line].into_iter());
        registry.schedule_change(2_000, "e", EngineStatus::Up, Some(1_500));
        registry.schedule_change(1_000, "e", EngineStatus::Removed, None);
        assert!(!registry.advance(999));
        assert!(registry.advance(1_000));
        assert_eq!(registry.not_up(), [("e", EngineStatus::Removed)]);
        assert!(registry.advance(5_000) && registry.not_up().is_empty());
        assert!(registry.list().contains("\"started_us\":1500"));
        // A process dies and the next one starts at once: its death is noticed last, and means nothing any more.
        registry.schedule_change(9_000, "e", EngineStatus::Removed, None);
        registry.schedule_change(6_000, "e", EngineStatus::Up, Some(5_900));
        assert!(registry.advance(6_000) && !registry.advance(9_000) && registry.not_up().is_empty());
        registry.set_unavailable_until(9_000);
        assert!(!registry.available(8_999) && registry.available(9_000));
    }
}
