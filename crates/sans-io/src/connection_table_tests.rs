//! Tests of [`ConnectionTable`].

use super::*;

#[test]
fn a_reused_slot_gets_a_new_id() {
    let mut table = ConnectionTable::new(3);
    let a = table.insert('a');
    assert_eq!(table.remove(a), Some('a'));
    let b = table.insert('b');
    assert_eq!((a.slot(), b.slot(), b.owner()), (0, 0, 3));
    assert_ne!(a, b);
    assert_eq!((table.get(a), table.get(b)), (None, Some(&'b')));
    assert_eq!(table.remove(a), None);
    assert_eq!(ConnId::from_u64(b.as_u64()), b);
    assert!(b.as_u64() >= 1 << 61);
}

#[test]
fn a_generation_that_exceeds_its_bits_leaves_owner_and_slot_intact() {
    let mut table = ConnectionTable::new(7);
    table.generation = u32::MAX;
    let id = table.insert(());
    assert_eq!((id.owner(), id.slot(), table.len()), (7, 0, 1));
}
