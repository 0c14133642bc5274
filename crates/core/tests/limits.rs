//! The size limits of the decision module.

/// The order of a hash map differs from run to run: a decision that came by it could not be replayed.
#[test]
fn no_decision_rests_on_the_order_of_a_hash_map() {
    let sources = [
        include_str!("../src/policy.rs"),
        include_str!("../src/state.rs"),
        include_str!("../src/interface.rs"),
        include_str!("../../driver/src/lib.rs"),
        include_str!("../../driver/src/books.rs"),
    ];
    for text in sources {
        assert!(!text.contains("HashMap") && !text.contains("HashSet"));
        assert!(text.contains("BTreeMap") || !text.contains("Map<"));
    }
}

#[test]
fn the_decision_module_stays_small() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_060, "{lines} non-blank lines, 1,060 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 characters", i + 1);
    }
}
