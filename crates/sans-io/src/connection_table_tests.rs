//! A slot is reused, its id is not.

use super::*;

#[test]
fn a_slot_is_reused_and_its_id_is_not() {
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
