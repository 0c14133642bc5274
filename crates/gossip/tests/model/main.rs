//! A model of the membership protocol: delivery orders, losses, duplicates, restarts and one-way partitions within bounds,
//! explored by stateright.

mod membership;

use membership::{Fault, Membership, NO_FAULTS, PERIOD, SAFETY_PROPERTIES};
use stateright::{Checker, Model};

/// No faults, only both orders of delivery, for a number of periods.
fn without_faults(periods: i64) -> Membership {
    let end = Membership::settled().now + periods * PERIOD;
    Membership { end, ..NO_FAULTS }
}

/// Explores a number of states, asserts that no safety property is violated, and returns the properties with a discovery.
fn explore(model: Membership, max_states: usize, depth_first: bool) -> Vec<&'static str> {
    let description = format!("{model:?}");
    let checker = model.checker().target_state_count(max_states).threads(2);
    let checker: Box<dyn Checker<Membership>> = if depth_first {
        Box::new(checker.spawn_dfs().join())
    } else {
        Box::new(checker.spawn_bfs().join())
    };
    let (all, unique, depth) = (
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    eprintln!("{description}: {all} states, {unique} of them unique, depth {depth}");
    for property in SAFETY_PROPERTIES {
        let found = checker.discovery(property).map(|p| p.into_actions());
        assert!(found.is_none(), "{property}: {found:?}");
    }
    assert!(unique > 1_000);
    checker.discoveries().into_keys().collect()
}

#[test]
fn no_node_counts_too_few_members_with_losses_and_duplicates() {
    explore(
        Membership {
            losses: 4,
            ..without_faults(9)
        },
        60_000,
        false,
    );
}

/// A node cannot receive, or cannot send, for some time that begins in any state.
#[test]
fn no_node_counts_too_few_members_in_one_way_partitions() {
    let discovered = explore(
        Membership {
            partitions: true,
            ..without_faults(24)
        },
        120_000,
        false,
    );
    for property in ["a member is suspected", "a suspicion is refuted"] {
        assert!(
            discovered.contains(&property),
            "the bounds are too narrow for: {property}; {discovered:?}"
        );
    }
}

#[test]
fn no_node_counts_too_few_members_when_a_node_restarts() {
    let discovered = explore(
        Membership {
            restarts: 1,
            ..without_faults(9)
        },
        60_000,
        false,
    );
    assert!(
        discovered.contains(&"a restarted node has settled"),
        "the bounds are too narrow: {discovered:?}"
    );
}

/// A node leaves or is killed at any time, while a packet is lost and packets arrive in either order.
#[test]
fn a_member_that_left_is_not_counted_and_a_killed_one_is() {
    let discovered = explore(
        Membership {
            losses: 1,
            stops: true,
            ..without_faults(18)
        },
        120_000,
        false,
    );
    for property in [
        "a killed member is declared dead",
        "a leave reached all nodes",
    ] {
        assert!(
            discovered.contains(&property),
            "the bounds are too narrow for: {property}; {discovered:?}"
        );
    }
    // The same with a packet that is delayed in any state.
    let discovered = explore(
        Membership {
            stops: true,
            delays: true,
            ..without_faults(18)
        },
        120_000,
        true,
    );
    assert!(
        discovered.contains(&"a leave reached all nodes"),
        "the bounds are too narrow: {discovered:?}"
    );
}

#[test]
fn each_injected_fault_violates_its_property() {
    let faulty_models = [
        (
            Membership {
                fault: Fault::UncountedSuspect,
                partitions: true,
                ..without_faults(24)
            },
            SAFETY_PROPERTIES[0],
        ),
        (
            Membership {
                fault: Fault::DuplicateIndex,
                ..without_faults(24)
            },
            SAFETY_PROPERTIES[1],
        ),
        (
            Membership {
                fault: Fault::StaleRefutation,
                stops: true,
                delays: true,
                ..without_faults(24)
            },
            SAFETY_PROPERTIES[3],
        ),
        (
            Membership {
                fault: Fault::UndoneLeave,
                stops: true,
                delays: true,
                ..without_faults(24)
            },
            SAFETY_PROPERTIES[4],
        ),
    ];
    for (model, property) in faulty_models {
        let fault = model.fault;
        let checker = model
            .checker()
            .target_state_count(200_000)
            .threads(1)
            .spawn_dfs()
            .join();
        assert!(
            checker.discovery(property).is_some(),
            "{fault:?} does not violate `{property}`"
        );
    }
}
