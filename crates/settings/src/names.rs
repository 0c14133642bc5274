//! The names that operators use, and the identifiers that the policy uses for them.

use std::collections::BTreeMap;
use wheelfield::interface::EngineId;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The names in the settings of one gateway. The policy identifies a class, tenant, zone or kind of
/// machine by its position in the list.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// Names of the engines that have been registered.
    pub engines: BTreeMap<EngineId, String>,
}

impl Names {
    /// Registers the name of an engine and returns its identifier.
    pub fn register_engine(&mut self, name: &str) -> EngineId {
        let engine = engine_id(name);
        self.engines.insert(engine, name.to_string());
        engine
    }

    /// The position of a zone. For an unknown name, a position that no zone has.
    pub fn zone_position(&self, name: &str) -> usize {
        position(&self.zones, name).unwrap_or(usize::MAX)
    }

    /// The position of a kind of machine. For an unknown name, a position that no kind has.
    pub fn kind_position(&self, name: &str) -> usize {
        position(&self.kinds, name).unwrap_or(usize::MAX)
    }
}

/// The position of a name in a list.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The identifier of an engine: the FNV-1a hash of its name, so that it is the same at every
/// gateway.
pub fn engine_id(name: &str) -> EngineId {
    let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    EngineId(hash)
}
