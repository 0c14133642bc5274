//! Two sources of one set: a file says which engines there are and where, a registry how they stand.

use crate::{status_name, EngineSet};
use wheelfield::interface::{Micros, Status};

/// Where the sources contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contradiction {
    /// The registry has it at another address; the file's is taken.
    Address(String),
    /// The registry names it and the file does not; it is left out.
    Unlisted(String),
    /// The file has it up and the registry not, or the other way round; the one that sends less is taken.
    Standing(String, &'static str, &'static str),
}

/// Merges the set of a file with what a registry tells.
///
/// - Which engines there are, and their addresses, zones, kinds and cells, is the file's to say.
/// - How one stands is said by both, and the one that sends it less work is heeded: a drain must not be overlooked.
/// - The registry's last starts are taken, as a file is seldom as fresh.
/// - A registry that was not heard for longer than `oldest` says nothing.
pub fn merge(
    file: &EngineSet,
    registry: Option<(&EngineSet, Micros)>,
    oldest: Micros,
) -> (EngineSet, Vec<Contradiction>) {
    let mut merged = file.clone();
    let mut found = Vec::new();
    let Some((told, _)) = registry.filter(|(_, age)| *age <= oldest) else { return (merged, found) };
    for (id, k) in &mut merged.engines {
        let Some(other) = told.engines.get(id) else { continue };
        if other.address != k.address {
            // Of another engine that bears its name, nothing holds.
            found.push(Contradiction::Address(k.name.clone()));
            continue;
        }
        let rank = |s: Status| match s {
            Status::Up => 0,
            Status::Draining => 1,
            Status::Removed => 2,
        };
        let (a, b) = (k.entry.status, other.entry.status);
        if a != b {
            found.push(Contradiction::Standing(k.name.clone(), status_name(a), status_name(b)));
        }
        if rank(b) > rank(a) {
            k.entry.status = b;
        }
        k.entry.started_at = k.entry.started_at.max(other.entry.started_at);
    }
    let strangers = told.engines.iter().filter(|(id, _)| !file.engines.contains_key(id));
    found.extend(strangers.map(|(_, k)| Contradiction::Unlisted(k.name.clone())));
    (merged, found)
}
