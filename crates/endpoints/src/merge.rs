//! Merges two sources of an engine set: a file defines the engines and their addresses, a registry reports their status.

use crate::{status_name, EngineSet};
use wheelfield::interface::{Micros, Status};

/// A contradiction between the file and the registry. The name of the engine comes first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contradiction {
    /// The registry has another address for the engine; the file's address is used.
    Address(String),
    /// The engine is in the registry but not in the file; it is left out.
    Unlisted(String),
    /// The file and the registry (in this order) give different statuses; the one that admits fewer queries is used.
    Standing(String, &'static str, &'static str),
}

/// Merges the set of a file with the list of a registry and its age.
///
/// - The file defines the engines, their addresses, zones, kinds and cells.
/// - Both give a status, and the one that admits fewer queries is used, so that a drain is never overlooked.
/// - The later start time of the two is used, as the registry's is usually more recent than the file's.
/// - A registry list older than `max_registry_age` is ignored.
pub fn merge(
    file: &EngineSet,
    registry: Option<(&EngineSet, Micros)>,
    max_registry_age: Micros,
) -> (EngineSet, Vec<Contradiction>) {
    let mut merged = file.clone();
    let mut contradictions = Vec::new();
    let Some((listed, _)) = registry.filter(|(_, age)| *age <= max_registry_age) else {
        return (merged, contradictions);
    };
    for (id, record) in &mut merged.engines {
        let Some(other) = listed.engines.get(id) else { continue };
        if other.address != record.address {
            // It is another engine with the same name, so its status and start time do not apply.
            contradictions.push(Contradiction::Address(record.name.clone()));
            continue;
        }
        let severity = |s: Status| match s {
            Status::Up => 0,
            Status::Draining => 1,
            Status::Removed => 2,
        };
        let (a, b) = (record.entry.status, other.entry.status);
        if a != b {
            contradictions.push(Contradiction::Standing(record.name.clone(), status_name(a), status_name(b)));
        }
        if severity(b) > severity(a) {
            record.entry.status = b;
        }
        record.entry.started_at = record.entry.started_at.max(other.entry.started_at);
    }
    let unlisted = listed.engines.iter().filter(|(id, _)| !file.engines.contains_key(id));
    contradictions.extend(unlisted.map(|(_, k)| Contradiction::Unlisted(k.name.clone())));
    (merged, contradictions)
}
