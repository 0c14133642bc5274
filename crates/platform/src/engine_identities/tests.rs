use super::*;
use wheelfield::interface::Status;

fn executor(name: &str, cell: i64) -> ExecutorEndpoint {
    ExecutorEndpoint {
        name: name.to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_string(),
        kind: "std".to_string(),
        cell,
        status: Status::Up,
        started_at: None,
    }
}

#[test]
fn an_executor_keeps_its_number_until_its_place_changes() {
    let mut identities = EngineIdentities::default();
    let first = identities.update(&[executor("e1", 0), executor("e2", 0)], 1);
    assert_eq!(first, [engine_id("e1"), engine_id("e2")]);
    let moved = identities.update(&[executor("e1", 1), executor("e2", 0)], 2);
    assert!(!first.contains(&moved[0]));
    assert_eq!(moved[1], first[1]);
    // Also if it was not listed meanwhile.
    identities.update(&[executor("e2", 0)], 3);
    assert_eq!(identities.update(&[executor("e1", 1)], 4), [moved[0]]);
    assert_ne!(identities.update(&[executor("e1", 2)], 5), [moved[0]]);
    // Back in its first place it is known as before.
    assert_eq!(identities.update(&[executor("e1", 0)], 6), [first[0]]);
}

#[test]
fn executors_that_are_no_longer_listed_are_remembered_up_to_a_bound() {
    let mut identities = EngineIdentities::default();
    for n in 0..3 * MAX_UNLISTED as i64 {
        identities.update(&[executor(&format!("e{n}"), 0)], n);
    }
    assert_eq!(identities.by_name.len(), MAX_UNLISTED + 1);
    identities.update(&[], 2 * MEMORY_US);
    assert!(identities.by_name.is_empty());
}
