//! Groups of nodes on an emulated network in virtual time, with loss, duplication, delays, partitions, deaths and restarts.

mod common;

use common::{Network, MS, SECOND};
use std::collections::BTreeSet;
use wheelfield_gossip::{EvictionPolicy, MembershipConfig};
use wheelfield_network_faults::NodeSet;

fn config(expected_members: usize) -> MembershipConfig {
    MembershipConfig {
        expected_members,
        ..MembershipConfig::default()
    }
}

/// Whether all live nodes are settled on this member count and no two have the same index.
fn is_settled_on(net: &Network, count: usize) -> bool {
    let views: Vec<_> = net.views();
    let indexes: BTreeSet<usize> = views.iter().map(|v| v.index).collect();
    views.iter().all(|v| v.count == count && v.is_settled) && indexes.len() == views.len()
}

#[test]
fn a_hundred_and_eighty_nodes_that_start_within_one_second_agree() {
    let mut net = Network::new(1, config(180), 0.0);
    for i in 0..180 {
        net.start(i, i as i64 * SECOND / 180);
    }
    let lowest = net.run_and_track_lowest_count(60 * SECOND);
    assert_eq!(lowest, 180, "no node uses a count below the expected one");
    assert!(is_settled_on(&net, 180));
    assert_eq!(net.counters().declared_dead, 0);
}

#[test]
fn nodes_agree_and_stay_in_agreement_at_30_percent_loss() {
    for seed in 0..3 {
        let mut net = Network::new(seed, config(40), 0.3);
        (0..40).for_each(|i| net.start(i, 0));
        let lowest = net.run_and_track_lowest_count(300 * SECOND);
        assert_eq!(lowest, 40, "seed {seed}");
        let counters = net.counters();
        assert!(
            counters.suspicions > 0 && counters.refutations > 0,
            "loss causes suspicions, and they are refuted"
        );
        assert_eq!(
            counters.declared_dead, 0,
            "seed {seed}: no live member is declared dead"
        );
        // All nodes use the count of the whole group, whichever members they suspect.
        assert!(net.views().iter().all(|v| v.count == 40));
    }
}

#[test]
fn a_dead_member_counts_for_its_retention_and_one_that_left_does_not() {
    let dead_retention = 60 * SECOND;
    let mut net = Network::new(
        2,
        MembershipConfig {
            dead_retention,
            eviction: EvictionPolicy::Quorum,
            ..config(12)
        },
        0.0,
    );
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(is_settled_on(&net, 12));
    net.kill(3);
    let lowest = net.run_and_track_lowest_count(90 * SECOND);
    assert_eq!(lowest, 12, "a member that is declared dead stays counted");
    assert!(
        net.views().iter().all(|v| v.alive == 11),
        "all nodes know that the member is dead"
    );
    net.run_until(200 * SECOND);
    assert!(is_settled_on(&net, 11), "{:?}", net.views());
    net.leave(7);
    net.run_until(215 * SECOND);
    assert!(is_settled_on(&net, 10), "{:?}", net.views());
    // No node adds the removed members again.
    net.run_until(500 * SECOND);
    assert!(is_settled_on(&net, 10));
}

#[test]
fn both_halves_of_a_partition_keep_counting_the_whole_group() {
    let mut net = Network::new(3, config(20), 0.0);
    (0..20).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(is_settled_on(&net, 20));
    net.partition(|i| i < 10);
    let lowest = net.run_and_track_lowest_count(340 * SECOND);
    assert_eq!(
        lowest, 20,
        "within the retention neither half counts itself alone"
    );
    assert!(net.views().iter().all(|v| v.alive == 10));
    net.heal();
    let lowest = net.run_and_track_lowest_count(460 * SECOND);
    assert_eq!(lowest, 20);
    assert!(
        is_settled_on(&net, 20) && net.views().iter().all(|v| v.alive == 20),
        "{:?}",
        net.views()[0]
    );
}

/// Regression: after the retention each half counted only itself, so that the quota shares of all nodes summed to two.
#[test]
fn in_a_partition_of_any_length_only_a_quorum_that_may_evict_counts_fewer_members() {
    for eviction in [EvictionPolicy::Operator, EvictionPolicy::Quorum] {
        let mut net = Network::new(
            4,
            MembershipConfig {
                dead_retention: 30 * SECOND,
                eviction,
                ..config(9)
            },
            0.0,
        );
        (0..9).for_each(|i| net.start(i, 0));
        net.run_until(40 * SECOND);
        net.partition(|i| i < 4);
        net.run_until(600 * SECOND);
        for i in 0..9 {
            let (view, is_majority) = (net.node(i).view(), i >= 4);
            let expected = if is_majority && eviction == EvictionPolicy::Quorum {
                5
            } else {
                9
            };
            assert_eq!(
                (view.count, view.has_quorum),
                (expected, is_majority),
                "{eviction:?}, {i}"
            );
        }
        net.heal();
        // The evicted members rejoin through their own probes and the seeds.
        net.run_until(720 * SECOND);
        assert!(is_settled_on(&net, 9), "{:?}", net.views());
        assert!(
            net.views()
                .iter()
                .all(|v| v.tag.digest == net.views()[0].tag.digest),
            "all nodes have the same view"
        );
    }
}

#[test]
fn neither_of_two_equal_halves_has_a_quorum() {
    let mut net = Network::new(
        4,
        MembershipConfig {
            dead_retention: 30 * SECOND,
            eviction: EvictionPolicy::Quorum,
            ..config(8)
        },
        0.0,
    );
    (0..8).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    net.partition(|i| i < 4);
    assert_eq!(net.run_and_track_lowest_count(400 * SECOND), 8);
}

/// Nodes that restart during a partition know no member, and use the expected number instead.
#[test]
fn a_minority_that_restarts_during_a_partition_uses_the_expected_number() {
    let mut net = Network::new(8, config(9), 0.0);
    (0..9).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    net.partition(|i| i < 4);
    net.run_until(100 * SECOND);
    (0..4).for_each(|i| net.kill(i));
    (0..4).for_each(|i| net.start(i, 101 * SECOND));
    net.run_until(102 * SECOND);
    assert_eq!(net.run_and_track_lowest_count(500 * SECOND), 9);
    net.heal();
    net.run_until(600 * SECOND);
    assert!(is_settled_on(&net, 9), "{:?}", net.views());
}

/// An operator's eviction is sent as a leave in the name of the dead member. Nodes that received packets of the member later
/// than that reject it.
#[test]
fn an_operator_evicts_a_member_and_a_live_one_rejoins() {
    let mut net = settled(3);
    net.kill(7);
    net.run_until(100 * SECOND);
    net.evict(0, 7);
    net.run_until(130 * SECOND);
    assert!(is_settled_on(&net, 11), "{:?}", net.views());
    // A mistaken eviction: the member is alive on the other side of a partition.
    net.partition(|i| i == 4 || i == 5);
    net.run_until(200 * SECOND);
    net.evict(0, 4);
    net.run_until(230 * SECOND);
    assert_eq!(
        (net.node(0).view().count, net.node(5).view().count),
        (10, 11)
    );
    net.heal();
    net.run_until(231 * SECOND);
    assert_eq!(net.run_and_track_lowest_count(330 * SECOND), 10);
    assert!(is_settled_on(&net, 11), "{:?}", net.views());
    assert!(
        net.node(5).counters().uncorroborated > 0 || net.node(4).counters().refutations > 0,
        "the eviction was contradicted or refuted"
    );
}

#[test]
fn the_view_version_counts_changes_and_agreeing_views_have_the_same_digest() {
    let mut net = settled(2);
    let digests = |net: &Network| {
        net.views()
            .iter()
            .map(|v| v.tag.digest)
            .collect::<BTreeSet<_>>()
    };
    let versions = |net: &Network| {
        net.views()
            .iter()
            .map(|v| v.tag.version)
            .collect::<Vec<_>>()
    };
    assert_eq!(digests(&net).len(), 1);
    let (digest, before) = (digests(&net), versions(&net));
    net.kill(3);
    net.run_until(100 * SECOND);
    assert_eq!(
        digests(&net),
        digest,
        "a member that is declared dead stays counted"
    );
    net.leave(5);
    net.run_until(130 * SECOND);
    assert_eq!(digests(&net).len(), 1);
    assert_ne!(digests(&net), digest);
    assert_eq!(
        versions(&net).iter().max(),
        before.iter().max().map(|n| n + 1).as_ref()
    );
}

#[test]
fn a_node_that_restarts_repeatedly_is_counted_once() {
    let mut net = Network::new(5, config(10), 0.05);
    (0..10).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    let mut at = 40 * SECOND;
    for _ in 0..30 {
        net.kill(4);
        at += 700 * MS;
        net.run_until(at);
        net.start(4, at);
        at += 2_300 * MS;
        let lowest = net.run_and_track_lowest_count(at);
        assert_eq!(lowest, 10);
        assert!(
            net.views().iter().all(|v| v.count == 10),
            "no node counts a further member"
        );
    }
    net.run_until(at + 60 * SECOND);
    assert!(is_settled_on(&net, 10));
}

#[test]
fn a_fresh_node_uses_the_expected_number() {
    let mut net = Network::new(6, config(30), 0.0);
    net.start(0, 0);
    net.run_until(29 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // A node that receives no packets does not assume that it is alone.
    net.run_until(400 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // Half of the members do not suffice either: as many may be on the other side of a partition.
    (1..15).for_each(|i| net.start(i, 400 * SECOND));
    net.run_until(470 * SECOND);
    assert!(
        net.views().iter().all(|v| v.count == 30 && v.alive == 15),
        "{:?}",
        net.views()[0]
    );
    // One member more suffices, after the settling time.
    net.start(15, 470 * SECOND);
    net.run_until(490 * SECOND);
    assert_eq!(net.views()[15].count, 30);
    net.run_until(520 * SECOND);
    assert!(is_settled_on(&net, 16), "{:?}", net.views());
}

#[test]
fn a_rolling_replacement_with_leaves_keeps_agreement() {
    let mut net = Network::new(7, config(10), 0.0);
    (0..10).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    let mut at = 40 * SECOND;
    // All nodes except the seeds, which a fresh node must be able to reach.
    for i in 3..10 {
        net.leave(i);
        at += 5 * SECOND;
        net.start(100 + i, at);
        // For five seconds there is one member less, but never two.
        assert!(net.run_and_track_lowest_count(at + 5 * SECOND) >= 9);
        at += 5 * SECOND;
    }
    net.run_until(at + 40 * SECOND);
    assert!(is_settled_on(&net, 10), "{:?}", net.views());
}

fn single(i: usize) -> NodeSet {
    NodeSet::Only([i].into())
}

/// A settled group of twelve nodes.
fn settled(seed: u64) -> Network {
    let mut net = Network::new(seed, config(12), 0.0);
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(is_settled_on(&net, 12));
    net
}

/// Regression: an isolated node declared all others dead, and they accepted these reports when it was reachable again.
#[test]
fn a_node_that_receives_no_packets_declares_no_member_dead_and_is_not_declared_dead() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.block(NodeSet::All, single(5), 60 * SECOND);
        let lowest = net.run_and_track_lowest_count(100 * SECOND);
        assert_eq!(
            (lowest, net.counters().declared_dead),
            (12, 0),
            "seed {seed}"
        );
        net.run_until(140 * SECOND);
        assert!(
            is_settled_on(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "seed {seed}"
        );
        assert!(
            net.node(5).counters().isolations >= 1,
            "the node detected its isolation"
        );
    }
}

#[test]
fn a_node_whose_packets_are_lost_is_declared_dead_stays_counted_and_rejoins() {
    let mut net = settled(1);
    net.block(single(5), NodeSet::All, 60 * SECOND);
    let lowest = net.run_and_track_lowest_count(95 * SECOND);
    assert_eq!(lowest, 12);
    assert!((0..12)
        .filter(|i| *i != 5)
        .all(|i| net.node(i).view().alive == 11));
    net.run_until(140 * SECOND);
    assert!(is_settled_on(&net, 12) && net.views().iter().all(|v| v.alive == 12));
}

/// Regression: after a partition between zones, each side accepted the other side's death reports about its own members.
#[test]
fn death_reports_of_the_other_side_of_a_partition_are_not_accepted() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.partition(|i| i < 4);
        net.run_until(100 * SECOND);
        let declared_dead = net.counters().declared_dead;
        assert!(declared_dead >= 8 + 4, "each side declared the other dead");
        net.heal();
        net.run_until(160 * SECOND);
        assert_eq!(
            net.counters().declared_dead,
            declared_dead,
            "seed {seed}: no further member is declared dead as the partition heals"
        );
        assert!(
            is_settled_on(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "seed {seed}"
        );
        assert!(
            (0..12).any(|i| net.node(i).counters().uncorroborated > 0),
            "some death reports were uncorroborated"
        );
    }
}

#[test]
fn paused_nodes_are_not_declared_dead() {
    for (seed, duration) in [
        (0, 100 * MS),
        (1, SECOND),
        (2, 4 * SECOND),
        (3, 10 * SECOND),
    ] {
        let mut net = settled(seed);
        let mut at = 40 * SECOND;
        for round in 0..10 {
            for i in 0..4 {
                net.pause((round + i * 3) % 12, duration);
            }
            at += duration + 5 * SECOND;
            assert_eq!(net.run_and_track_lowest_count(at), 12, "{duration}");
        }
        // Ten seconds are about the suspicion timeout; a node that pauses for less is never declared dead.
        assert!(
            duration == 10 * SECOND || net.counters().declared_dead == 0,
            "{duration}"
        );
        net.run_until(at + 60 * SECOND);
        assert!(
            is_settled_on(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "{duration}"
        );
    }
}

/// When a single missed probe raised a suspicion, a loss of 30% caused 640 suspicions per member and hour.
#[test]
fn loss_alone_causes_few_suspicions() {
    let mut net = Network::new(9, config(40), 0.3);
    (0..40).for_each(|i| net.start(i, 0));
    net.run_until(60 * SECOND);
    let before = net.counters().suspicions;
    net.run_until(660 * SECOND);
    let suspicions_per_hour = (net.counters().suspicions - before) as f64 * 6.0 / 40.0;
    assert!(
        suspicions_per_hour < 30.0,
        "{suspicions_per_hour} per member and hour"
    );
}

/// Corroboration of death reports may delay the detection of a death, but not prevent it.
#[test]
fn all_nodes_detect_a_death() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.kill(3);
        // One period until the node is probed, one for the second attempt, and eleven of suspicion.
        net.run_until(40 * SECOND + 16 * SECOND);
        assert!(net.counters().declared_dead > 0, "seed {seed}");
        net.run_until(40 * SECOND + 30 * SECOND);
        assert!(
            net.views().iter().all(|v| v.alive == 11 && v.count == 12),
            "seed {seed}"
        );
    }
}

/// The limit on the load of engines in slow start depends on this: by their own member counts, all nodes together never use
/// more than one quota, however long a partition lasts and whichever nodes are killed. If a quorum may evict, they use up to
/// one and a half.
#[test]
fn the_quota_shares_sum_to_at_most_one_during_partitions_and_kills() {
    for (eviction, max_share_sum) in [
        (EvictionPolicy::Operator, 1.0),
        (EvictionPolicy::Quorum, 1.5),
    ] {
        let mut net = Network::new(
            4,
            MembershipConfig {
                dead_retention: 30 * SECOND,
                eviction,
                ..config(20)
            },
            0.1,
        );
        (0..20).for_each(|i| net.start(i, i as i64 * SECOND / 20));
        net.run_until(60 * SECOND);
        net.partition(|i| i < 7);
        net.run_until(300 * SECOND);
        // 70% of the nodes of both sides are killed at once and restart a second later.
        let killed: Vec<usize> = (0..20).filter(|i| i % 10 < 7).collect();
        killed.iter().for_each(|i| net.kill(*i));
        killed.iter().for_each(|i| net.start(*i, 301 * SECOND));
        net.run_until(600 * SECOND);
        net.heal();
        net.run_until(700 * SECOND);
        (7..17).for_each(|i| net.kill(i));
        net.run_until(900 * SECOND);
        assert!(
            net.share_sum <= max_share_sum + 1e-9,
            "{eviction:?}: {}",
            net.share_sum
        );
        assert!(
            eviction == EvictionPolicy::Operator || net.share_sum > 1.2,
            "a quorum that evicts exceeds the quota: {}",
            net.share_sum
        );
    }
}

/// New members are counted as soon as they are known, and themselves use at least the expected number.
#[test]
fn a_group_that_doubles_in_size_divides_its_quota_within_seconds() {
    let mut net = settled(5);
    (12..24).for_each(|i| net.start(i, 40 * SECOND));
    net.run_until(49 * SECOND);
    assert!(
        net.share_sum <= 2.0,
        "before any node knows the new members: {}",
        net.share_sum
    );
    net.share_sum = 0.0;
    net.run_until(200 * SECOND);
    assert!(net.share_sum <= 1.0 + 1e-9, "{}", net.share_sum);
    assert!(is_settled_on(&net, 24));
}

#[test]
fn a_group_that_starts_within_a_second_and_loses_all_seeds_stays_one_group() {
    let all = 120;
    let mut net = Network::new(10, config(all), 0.05);
    (0..all).for_each(|i| net.start(i, i as i64 * SECOND / all as i64));
    assert_eq!(net.run_and_track_lowest_count(60 * SECOND), all);
    assert!(is_settled_on(&net, all));
    // 70% of the nodes are killed, all seeds among them, and all but the seeds restart, so that no seed answers.
    let killed: Vec<usize> = (0..all).filter(|i| i % 10 < 7).collect();
    killed.iter().for_each(|i| net.kill(*i));
    killed
        .iter()
        .filter(|i| **i >= 3)
        .for_each(|i| net.start(*i, 61 * SECOND));
    assert_eq!(net.run_and_track_lowest_count(120 * SECOND), all);
    assert!(
        net.views()
            .iter()
            .all(|v| v.count == all && v.alive == all - 3),
        "{:?}",
        net.views()[0]
    );
    assert!(net.share_sum <= 1.0 + 1e-9, "{}", net.share_sum);
}
