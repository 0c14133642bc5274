//! A table of connections. A slot is reused but its id is not, so a late event of a closed connection is not attributed to
//! another connection.

use slab::Slab;

const GENERATION_BITS: u32 = 29;
const SLOT_BITS: u32 = 32;

/// Identifies a connection: the table that owns it, its slot in that table, and a generation number that tells apart the
/// connections that use the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(u64);

impl ConnId {
    fn new(owner: u8, generation: u32, slot: usize) -> ConnId {
        let generation = u64::from(generation) & ((1 << GENERATION_BITS) - 1);
        ConnId(
            u64::from(owner) << (GENERATION_BITS + SLOT_BITS)
                | generation << SLOT_BITS
                | slot as u64,
        )
    }

    /// The number of the owning table, from 1 to 7.
    pub fn owner(self) -> u8 {
        (self.0 >> (GENERATION_BITS + SLOT_BITS)) as u8
    }

    /// The slot in the owning table.
    pub fn slot(self) -> usize {
        (self.0 & u64::from(u32::MAX)) as usize
    }

    /// The id as a number, which is at least 2^61.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// The id for a number returned by [`ConnId::as_u64`].
    pub fn from_u64(number: u64) -> ConnId {
        ConnId(number)
    }
}

/// Connections of one owner, each with a value. The table has no size limit: the caller must bound its insertions.
#[derive(Debug)]
pub struct ConnectionTable<T> {
    owner: u8,
    generation: u32,
    slots: Slab<(ConnId, T)>,
}

impl<T> ConnectionTable<T> {
    /// Creates an empty table; `owner` is 1 to 7.
    pub fn new(owner: u8) -> ConnectionTable<T> {
        debug_assert!((1..8).contains(&owner));
        ConnectionTable {
            owner,
            generation: 0,
            slots: Slab::new(),
        }
    }

    /// Adds a connection and returns its id.
    pub fn insert(&mut self, value: T) -> ConnId {
        self.generation = self.generation.wrapping_add(1);
        let entry = self.slots.vacant_entry();
        let id = ConnId::new(self.owner, self.generation, entry.key());
        entry.insert((id, value));
        id
    }

    /// Returns the value of a connection.
    pub fn get(&self, id: ConnId) -> Option<&T> {
        self.slots
            .get(id.slot())
            .filter(|(stored_id, _)| *stored_id == id)
            .map(|(_, value)| value)
    }

    /// Returns the value of a connection as mutable.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut T> {
        self.slots
            .get_mut(id.slot())
            .filter(|(stored_id, _)| *stored_id == id)
            .map(|(_, value)| value)
    }

    /// Removes a connection and returns its value.
    pub fn remove(&mut self, id: ConnId) -> Option<T> {
        self.get(id)?;
        self.slots.try_remove(id.slot()).map(|(_, value)| value)
    }

    /// Iterates over all connections, in order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ConnId, &T)> {
        self.slots.iter().map(|(_, (id, value))| (*id, value))
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

#[cfg(test)]
#[path = "connection_table_tests.rs"]
mod tests;
