//! A table of connections. A slot is reused after its connection was removed, but with a different id, so that a late event of a
//! closed connection is not attributed to the new one.

use slab::Slab;

/// Bits of a [`ConnId`] for the generation number, which repeats after 2^29 insertions into a table.
const GENERATION_BITS: u32 = 29;
/// Bits of a [`ConnId`] for the slot; they are the lowest. The three bits above slot and generation are the owner.
const SLOT_BITS: u32 = 32;

/// Identifies a connection: the number of the table that owns it, its slot in that table, and a generation number that
/// distinguishes the connections that use the same slot one after another.
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

    /// Returns the number of the owning table, from 1 to 7. The tables of a controller have different numbers.
    pub fn owner(self) -> u8 {
        (self.0 >> (GENERATION_BITS + SLOT_BITS)) as u8
    }

    /// Returns the slot in the owning table.
    pub fn slot(self) -> usize {
        (self.0 & u64::from(u32::MAX)) as usize
    }

    /// Returns the id as a number, for example for a token of a poll. It is at least 2^61, so that smaller numbers are free for
    /// sockets that are not in a table, such as listeners.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the id for a number that [`ConnId::as_u64`] returned.
    pub fn from_u64(number: u64) -> ConnId {
        ConnId(number)
    }
}

/// Connections of one component of a controller, each with a value of this component. The table has no size limit: the caller
/// must limit the number of connections.
#[derive(Debug)]
pub struct ConnectionTable<T> {
    owner: u8,
    generation: u32,
    slots: Slab<(ConnId, T)>,
}

impl<T> ConnectionTable<T> {
    /// Creates an empty table with the number `owner`, from 1 to 7.
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

    /// Returns the value of a connection; `None` if the connection was removed.
    pub fn get(&self, id: ConnId) -> Option<&T> {
        self.slots
            .get(id.slot())
            .filter(|(stored_id, _)| *stored_id == id)
            .map(|(_, value)| value)
    }

    /// Returns the value of a connection as mutable; `None` if the connection was removed.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut T> {
        self.slots
            .get_mut(id.slot())
            .filter(|(stored_id, _)| *stored_id == id)
            .map(|(_, value)| value)
    }

    /// Removes a connection and returns its value; `None` if it was removed before.
    pub fn remove(&mut self, id: ConnId) -> Option<T> {
        self.get(id)?;
        self.slots.try_remove(id.slot()).map(|(_, value)| value)
    }

    /// Iterates over all connections, in order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ConnId, &T)> {
        self.slots.iter().map(|(_, (id, value))| (*id, value))
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

#[cfg(test)]
#[path = "connection_table_tests.rs"]
mod tests;
