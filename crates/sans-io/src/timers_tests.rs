//! Tests of [`Timers`].

use super::Timers;

#[test]
fn timers_fire_in_order_and_can_be_cancelled() {
    let mut timers = Timers::default();
    timers.set(30, 'c');
    let b = timers.set(20, 'b');
    timers.set(10, 'a');
    timers.set(10, 'A');
    assert_eq!(timers.cancel(b), Some('b'));
    assert_eq!(timers.cancel(b), None);
    assert_eq!(timers.next_at(), Some(10));
    let fired: Vec<char> = std::iter::from_fn(|| timers.pop_due(29)).collect();
    assert_eq!(fired, ['a', 'A']);
    assert_eq!((timers.pop_due(30), timers.is_empty()), (Some('c'), true));
}
