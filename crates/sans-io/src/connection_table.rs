//! Places for connections. A place is used again, its number is not: word of a connection that is closed finds nobody.

use slab::Slab;

const GENERATION: u32 = 29;
const PLACE: u32 = 32;

/// Names a connection: the room that owns it, its place there, and which user of the place it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(u64);

impl ConnId {
    fn new(room: u8, generation: u32, place: usize) -> ConnId {
        let generation = u64::from(generation) & ((1 << GENERATION) - 1);
        ConnId(u64::from(room) << (GENERATION + PLACE) | generation << PLACE | place as u64)
    }

    /// The room that owns it, from 1 to 7.
    pub fn owner(self) -> u8 {
        (self.0 >> (GENERATION + PLACE)) as u8
    }

    /// Its place in the room.
    pub fn slot(self) -> usize {
        (self.0 & u64::from(u32::MAX)) as usize
    }

    /// As one number; at least 2 to the power of 61.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// The connection of a number.
    pub fn from_u64(number: u64) -> ConnId {
        ConnId(number)
    }
}

/// What a room holds of each of its connections. Bounded by whoever inserts.
#[derive(Debug)]
pub struct ConnectionTable<T> {
    owner: u8,
    generation: u32,
    slots: Slab<(ConnId, T)>,
}

impl<T> ConnectionTable<T> {
    /// An empty room; `room` is 1 to 7.
    pub fn new(room: u8) -> ConnectionTable<T> {
        debug_assert!((1..8).contains(&room));
        ConnectionTable { owner: room, generation: 0, slots: Slab::new() }
    }

    /// Gives a connection a place.
    pub fn insert(&mut self, what: T) -> ConnId {
        self.generation = self.generation.wrapping_add(1);
        let entry = self.slots.vacant_entry();
        let id = ConnId::new(self.owner, self.generation, entry.key());
        entry.insert((id, what));
        id
    }

    /// What is held of a connection.
    pub fn get(&self, id: ConnId) -> Option<&T> {
        self.slots.get(id.slot()).filter(|(held, _)| *held == id).map(|(_, what)| what)
    }

    /// What is held of a connection, to be changed.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut T> {
        self.slots.get_mut(id.slot()).filter(|(held, _)| *held == id).map(|(_, what)| what)
    }

    /// Frees the place of a connection.
    pub fn remove(&mut self, id: ConnId) -> Option<T> {
        self.get(id)?;
        self.slots.try_remove(id.slot()).map(|(_, what)| what)
    }

    /// All that are held.
    pub fn iter(&self) -> impl Iterator<Item = (ConnId, &T)> {
        self.slots.iter().map(|(_, (id, what))| (*id, what))
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// None is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_place_is_used_again_and_its_number_is_not() {
        let mut slots = ConnectionTable::new(3);
        let a = slots.insert('a');
        assert_eq!(slots.remove(a), Some('a'));
        let b = slots.insert('b');
        assert_eq!((a.slot(), b.slot(), b.owner()), (0, 0, 3));
        assert_ne!(a, b);
        assert_eq!((slots.get(a), slots.get(b)), (None, Some(&'b')));
        assert_eq!(slots.remove(a), None);
        assert_eq!(ConnId::from_u64(b.as_u64()), b);
        assert!(b.as_u64() >= 1 << 61);
    }

    #[test]
    fn a_generation_that_wraps_stays_within_its_bits() {
        let mut slots = ConnectionTable::new(7);
        slots.generation = u32::MAX;
        let id = slots.insert(());
        assert_eq!((id.owner(), id.slot(), slots.len()), (7, 0, 1));
    }
}
