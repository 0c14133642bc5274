//! The operators' names and the numbers that the policy uses in their place.

use std::collections::BTreeMap;
use wheelfield::interface::EngineId;

/// Initial value and factor of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The names that one instance knows. The policy's number of a class, tenant, zone or kind is its position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of classes, by position.
    pub classes: Vec<String>,
    /// Names of tenants, by position.
    pub tenants: Vec<String>,
    /// Names of zones, by position.
    pub zones: Vec<String>,
    /// Names of kinds of machine, by position.
    pub kinds: Vec<String>,
    /// Names of the engines registered so far.
    pub engines: BTreeMap<EngineId, String>,
}

impl Names {
    /// Registers the name of an engine and returns its number.
    pub fn register_engine(&mut self, name: &str) -> EngineId {
        let engine = engine_id(name);
        self.engines.insert(engine, name.to_string());
        engine
    }

    /// The position of a zone; for an unknown name, a position that no zone has.
    pub fn zone_position(&self, name: &str) -> usize {
        position(&self.zones, name).unwrap_or(usize::MAX)
    }

    /// The position of a kind of machine; for an unknown name, a position that no kind has.
    pub fn kind_position(&self, name: &str) -> usize {
        position(&self.kinds, name).unwrap_or(usize::MAX)
    }
}

/// The position of a name in a list.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The number of an engine: a hash of its name (FNV-1a), so that every instance has the same number for it.
pub fn engine_id(name: &str) -> EngineId {
    let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    EngineId(hash)
}
