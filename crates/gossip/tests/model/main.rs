//! A model of the membership protocol: delivery orders, losses, duplicates, restarts and one-way partitions within bounds,
//! explored by stateright.

mod membership;

use membership::{Fault, Membership, NO_FAULTS, PERIOD, SAFETY_PROPERTIES};
use stateright::{Checker, Model};

/// Only both orders of delivery, for a number of periods.
fn plain(periods: i64) -> Membership {
    let end = Membership::settled().now + periods * PERIOD;
    Membership { end, ..NO_FAULTS }
}

/// Explores a number of states and returns the properties with a discovery; no safety property may be violated.
fn explored(model: Membership, states: usize, deep: bool) -> Vec<&'static str> {
    let description = format!("{model:?}");
    let checker = model.checker().target_state_count(states).threads(2);
    let checker: Box<dyn Checker<Membership>> = if deep {
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
fn no_node_acts_on_too_few_members_with_losses_and_duplicates() {
    explored(
        Membership {
            losses: 4,
            ..plain(9)
        },
        60_000,
        false,
    );
}

/// A node cannot receive or cannot send for some time, whenever it begins.
#[test]
fn no_node_acts_on_too_few_members_in_one_way_partitions() {
    let seen = explored(
        Membership {
            partitions: true,
            ..plain(24)
        },
        120_000,
        false,
    );
    for wanted in ["a member is suspected", "a suspicion is refuted"] {
        assert!(
            seen.contains(&wanted),
            "the bounds are too narrow for: {wanted}; {seen:?}"
        );
    }
}

#[test]
fn no_node_acts_on_too_few_members_when_a_node_restarts() {
    let seen = explored(
        Membership {
            restarts: 1,
            ..plain(9)
        },
        60_000,
        false,
    );
    assert!(
        seen.contains(&"a restarted node has settled"),
        "the bounds are too narrow: {seen:?}"
    );
}

/// A node leaves or is killed at any time, while a packet is lost and packets arrive in either order.
#[test]
fn a_member_that_left_is_not_counted_and_a_killed_one_is() {
    let seen = explored(
        Membership {
            losses: 1,
            stops: true,
            ..plain(18)
        },
        120_000,
        false,
    );
    for wanted in [
        "a killed member is declared dead",
        "a leave reached all nodes",
    ] {
        assert!(
            seen.contains(&wanted),
            "the bounds are too narrow for: {wanted}; {seen:?}"
        );
    }
    // And a delayed packet, at any time.
    let seen = explored(
        Membership {
            stops: true,
            delays: true,
            ..plain(18)
        },
        120_000,
        true,
    );
    assert!(
        seen.contains(&"a leave reached all nodes"),
        "the bounds are too narrow: {seen:?}"
    );
}
#[test]
fn each_planted_fault_violates_its_property() {
    let faulty = [
        (
            Membership {
                fault: Fault::UncountedSuspect,
                partitions: true,
                ..plain(24)
            },
            SAFETY_PROPERTIES[0],
        ),
        (
            Membership {
                fault: Fault::DuplicateIndex,
                ..plain(24)
            },
            SAFETY_PROPERTIES[1],
        ),
        (
            Membership {
                fault: Fault::StaleRefutation,
                stops: true,
                delays: true,
                ..plain(24)
            },
            SAFETY_PROPERTIES[3],
        ),
        (
            Membership {
                fault: Fault::UndoneLeave,
                stops: true,
                delays: true,
                ..plain(24)
            },
            SAFETY_PROPERTIES[4],
        ),
    ];
    for (model, property) in faulty {
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
