//! Many nodes on an emulated network in virtual time: loss, duplication, delays, partitions, deaths and restarts.

mod common;

use common::{Network, MS, SECOND};
use std::collections::BTreeSet;
use wheelfield_gossip::{EvictionPolicy, MembershipConfig};
use wheelfield_network_faults::NodeSet;

fn config(expect: usize) -> MembershipConfig {
    MembershipConfig {
        expected_members: expect,
        ..MembershipConfig::default()
    }
}

/// Whether all live nodes are settled on this count, and each has an index of its own.
fn agreed(net: &Network, count: usize) -> bool {
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
    let lowest = net.watch_until(60 * SECOND);
    assert_eq!(lowest, 180, "no node ever acts on fewer than expected");
    assert!(agreed(&net, 180));
    assert_eq!(net.counters().declared_dead, 0);
}

#[test]
fn nodes_agree_and_stay_in_agreement_with_three_in_ten_datagrams_lost() {
    for seed in 0..3 {
        let mut net = Network::new(seed, config(40), 0.3);
        (0..40).for_each(|i| net.start(i, 0));
        let lowest = net.watch_until(300 * SECOND);
        assert_eq!(lowest, 40, "seed {seed}");
        let counters = net.counters();
        assert!(
            counters.suspicions > 0 && counters.refutations > 0,
            "loss leads to suspicions, and they are refuted"
        );
        assert_eq!(
            counters.declared_dead, 0,
            "seed {seed}: no live member is declared dead"
        );
        // All nodes act on the whole group, whatever they suspect.
        assert!(net.views().iter().all(|v| v.count == 40));
    }
}

#[test]
fn a_dead_member_counts_for_its_retention_and_one_that_left_does_not() {
    let hold = 60 * SECOND;
    let mut net = Network::new(
        2,
        MembershipConfig {
            dead_retention: hold,
            eviction: EvictionPolicy::Quorum,
            ..config(12)
        },
        0.0,
    );
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 12));
    net.kill(3);
    let lowest = net.watch_until(90 * SECOND);
    assert_eq!(lowest, 12, "declared dead, it stays counted");
    assert!(
        net.views().iter().all(|v| v.alive == 11),
        "and all nodes know that it is dead"
    );
    net.run_until(200 * SECOND);
    assert!(agreed(&net, 11), "{:?}", net.views());
    net.leave(7);
    net.run_until(215 * SECOND);
    assert!(agreed(&net, 10), "{:?}", net.views());
    // No node learns of the removed members anew.
    net.run_until(500 * SECOND);
    assert!(agreed(&net, 10));
}

#[test]
fn two_halves_of_a_partition_keep_acting_on_the_whole_group() {
    let mut net = Network::new(3, config(20), 0.0);
    (0..20).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 20));
    net.split(|i| i < 10);
    let lowest = net.watch_until(340 * SECOND);
    assert_eq!(
        lowest, 20,
        "within the retention neither half acts on itself alone"
    );
    assert!(net.views().iter().all(|v| v.alive == 10));
    net.heal();
    let lowest = net.watch_until(460 * SECOND);
    assert_eq!(lowest, 20);
    assert!(
        agreed(&net, 20) && net.views().iter().all(|v| v.alive == 20),
        "{:?}",
        net.views()[0]
    );
}

/// Regression: each half counted itself alone after the retention, so that their shares of a quota summed to two.
#[test]
fn in_a_partition_of_any_length_only_a_quorum_that_may_evict_acts_on_fewer() {
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
        net.split(|i| i < 4);
        net.run_until(600 * SECOND);
        for i in 0..9 {
            let (view, larger) = (net.node(i).view(), i >= 4);
            let expected = if larger && eviction == EvictionPolicy::Quorum {
                5
            } else {
                9
            };
            assert_eq!(
                (view.count, view.has_quorum),
                (expected, larger),
                "{eviction:?}, {i}"
            );
        }
        net.heal();
        // Evicted members are found through their own probes and the seeds.
        net.run_until(720 * SECOND);
        assert!(agreed(&net, 9), "{:?}", net.views());
        assert!(
            net.views()
                .iter()
                .all(|v| v.tag.digest == net.views()[0].tag.digest),
            "one view"
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
    net.split(|i| i < 4);
    assert_eq!(net.watch_until(400 * SECOND), 8);
}

/// Nodes that restart during a partition remember no member; the expected number takes its place.
#[test]
fn a_minority_that_restarts_during_a_partition_acts_on_the_expected_number() {
    let mut net = Network::new(8, config(9), 0.0);
    (0..9).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    net.split(|i| i < 4);
    net.run_until(100 * SECOND);
    (0..4).for_each(|i| net.kill(i));
    (0..4).for_each(|i| net.start(i, 101 * SECOND));
    net.run_until(102 * SECOND);
    assert_eq!(net.watch_until(500 * SECOND), 9);
    net.heal();
    net.run_until(600 * SECOND);
    assert!(agreed(&net, 9), "{:?}", net.views());
}

/// An operator's eviction is a leave in the name of a dead member. Nodes that heard the member since reject it.
#[test]
fn an_operator_evicts_a_member_and_a_live_one_rejoins() {
    let mut net = settled(3);
    net.kill(7);
    net.run_until(100 * SECOND);
    net.evict(0, 7);
    net.run_until(130 * SECOND);
    assert!(agreed(&net, 11), "{:?}", net.views());
    // By mistake: a member that is only partitioned.
    net.split(|i| i == 4 || i == 5);
    net.run_until(200 * SECOND);
    net.evict(0, 4);
    net.run_until(230 * SECOND);
    assert_eq!(
        (net.node(0).view().count, net.node(5).view().count),
        (10, 11)
    );
    net.heal();
    net.run_until(231 * SECOND);
    assert_eq!(net.watch_until(330 * SECOND), 10);
    assert!(agreed(&net, 11), "{:?}", net.views());
    assert!(
        net.node(5).counters().uncorroborated > 0 || net.node(4).counters().refutations > 0,
        "the eviction was contradicted or refuted"
    );
}

#[test]
fn views_have_a_version_and_agreeing_views_one_digest() {
    let mut net = settled(2);
    let digests = |net: &Network| {
        net.views()
            .iter()
            .map(|v| v.tag.digest)
            .collect::<BTreeSet<_>>()
    };
    let numbers = |net: &Network| {
        net.views()
            .iter()
            .map(|v| v.tag.version)
            .collect::<Vec<_>>()
    };
    assert_eq!(digests(&net).len(), 1);
    let (digest, before) = (digests(&net), numbers(&net));
    net.kill(3);
    net.run_until(100 * SECOND);
    assert_eq!(digests(&net), digest, "declared dead, it stays counted");
    net.leave(5);
    net.run_until(130 * SECOND);
    assert_eq!(digests(&net).len(), 1);
    assert_ne!(digests(&net), digest);
    assert_eq!(
        numbers(&net).iter().max(),
        before.iter().max().map(|n| n + 1).as_ref()
    );
}

#[test]
fn a_flapping_node_is_one_member() {
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
        let lowest = net.watch_until(at);
        assert_eq!(lowest, 10);
        assert!(net.views().iter().all(|v| v.count == 10), "nor on one more");
    }
    net.run_until(at + 60 * SECOND);
    assert!(agreed(&net, 10));
}

#[test]
fn a_fresh_node_acts_on_the_expected_number() {
    let mut net = Network::new(6, config(30), 0.0);
    net.start(0, 0);
    net.run_until(29 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // A node that hears nobody does not assume that it is alone.
    net.run_until(400 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // With half of the members it is not confirmed either: as many may be on the other side of a partition.
    (1..15).for_each(|i| net.start(i, 400 * SECOND));
    net.run_until(470 * SECOND);
    assert!(
        net.views().iter().all(|v| v.count == 30 && v.alive == 15),
        "{:?}",
        net.views()[0]
    );
    // With one more it is, once it has listened.
    net.start(15, 470 * SECOND);
    net.run_until(490 * SECOND);
    assert_eq!(net.views()[15].count, 30);
    net.run_until(520 * SECOND);
    assert!(agreed(&net, 16), "{:?}", net.views());
}

#[test]
fn a_rolling_replacement_with_leaves_keeps_agreement() {
    let mut net = Network::new(7, config(10), 0.0);
    (0..10).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    let mut at = 40 * SECOND;
    // All but the seeds, which a fresh node must reach.
    for i in 3..10 {
        net.leave(i);
        at += 5 * SECOND;
        net.start(100 + i, at);
        // For five seconds there is one member less, never two.
        assert!(net.watch_until(at + 5 * SECOND) >= 9);
        at += 5 * SECOND;
    }
    net.run_until(at + 40 * SECOND);
    assert!(agreed(&net, 10), "{:?}", net.views());
}

fn only(i: usize) -> NodeSet {
    NodeSet::Only([i].into())
}

/// A settled group of twelve.
fn settled(seed: u64) -> Network {
    let mut net = Network::new(seed, config(12), 0.0);
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 12));
    net
}

/// Regression: an isolated node declared all others dead, and was believed once it was back.
#[test]
fn a_node_that_receives_nothing_declares_nobody_dead_and_is_not_declared_dead() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.cut(NodeSet::All, only(5), 60 * SECOND);
        let lowest = net.watch_until(100 * SECOND);
        assert_eq!(
            (lowest, net.counters().declared_dead),
            (12, 0),
            "seed {seed}"
        );
        net.run_until(140 * SECOND);
        assert!(
            agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "seed {seed}"
        );
        assert!(
            net.node(5).counters().isolations >= 1,
            "it noticed its isolation"
        );
    }
}

#[test]
fn a_node_that_nobody_receives_is_declared_dead_stays_counted_and_rejoins() {
    let mut net = settled(1);
    net.cut(only(5), NodeSet::All, 60 * SECOND);
    let lowest = net.watch_until(95 * SECOND);
    assert_eq!(lowest, 12);
    assert!((0..12)
        .filter(|i| *i != 5)
        .all(|i| net.node(i).view().alive == 11));
    net.run_until(140 * SECOND);
    assert!(agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12));
}

/// Regression: after a partition between zones each side believed the death reports of the other about its own members.
#[test]
fn reports_of_a_partitioned_side_declare_nobody_dead() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.split(|i| i < 4);
        net.run_until(100 * SECOND);
        let apart = net.counters().declared_dead;
        assert!(apart >= 8 + 4, "each side declared the other dead");
        net.heal();
        net.run_until(160 * SECOND);
        assert_eq!(
            net.counters().declared_dead,
            apart,
            "seed {seed}: no further member is declared dead as the partition heals"
        );
        assert!(
            agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "seed {seed}"
        );
        assert!(
            (0..12).any(|i| net.node(i).counters().uncorroborated > 0),
            "and deaths were reported"
        );
    }
}

#[test]
fn pauses_declare_nobody_dead() {
    for (seed, lasts) in [
        (0, 100 * MS),
        (1, SECOND),
        (2, 4 * SECOND),
        (3, 10 * SECOND),
    ] {
        let mut net = settled(seed);
        let mut at = 40 * SECOND;
        for round in 0..10 {
            for i in 0..4 {
                net.pause((round + i * 3) % 12, lasts);
            }
            at += lasts + 5 * SECOND;
            assert_eq!(net.watch_until(at), 12, "{lasts}");
        }
        // Ten seconds are about the suspicion timeout; a shorter pause is never taken for a death.
        assert!(
            lasts == 10 * SECOND || net.counters().declared_dead == 0,
            "{lasts}"
        );
        net.run_until(at + 60 * SECOND);
        assert!(
            agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12),
            "{lasts}"
        );
    }
}

/// With three in ten datagrams lost, 640 suspicions per member and hour were raised when one missed probe was enough.
#[test]
fn losses_alone_raise_few_suspicions() {
    let mut net = Network::new(9, config(40), 0.3);
    (0..40).for_each(|i| net.start(i, 0));
    net.run_until(60 * SECOND);
    let before = net.counters().suspicions;
    net.run_until(660 * SECOND);
    let an_hour = (net.counters().suspicions - before) as f64 * 6.0 / 40.0;
    assert!(an_hour < 30.0, "{an_hour} per member and hour");
}

/// Corroboration delays the detection of a death and does not prevent it.
#[test]
fn all_nodes_detect_a_death() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.kill(3);
        // A period until it is probed, one for the second attempt, and eleven of suspicion.
        net.run_until(40 * SECOND + 16 * SECOND);
        assert!(net.counters().declared_dead > 0, "seed {seed}");
        net.run_until(40 * SECOND + 30 * SECOND);
        assert!(
            net.views().iter().all(|v| v.alive == 11 && v.count == 12),
            "seed {seed}"
        );
    }
}

/// Rule 4 relies on this: by the counts that they act on, all nodes together never take more than one quota, however long a
/// partition lasts and whichever nodes are killed; a quorum that may evict takes up to half as much again.
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
        net.split(|i| i < 7);
        net.run_until(300 * SECOND);
        // Seven in ten nodes of both sides are killed at once and restart a second later.
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
            "the cost of a quorum: {}",
            net.share_sum
        );
    }
}

/// New members are counted as soon as they are known, and act on no fewer than the expected number.
#[test]
fn a_group_that_doubles_divides_its_quota_within_seconds() {
    let mut net = settled(5);
    (12..24).for_each(|i| net.start(i, 40 * SECOND));
    net.run_until(49 * SECOND);
    assert!(
        net.share_sum <= 2.0,
        "before any node knows them: {}",
        net.share_sum
    );
    net.share_sum = 0.0;
    net.run_until(200 * SECOND);
    assert!(net.share_sum <= 1.0 + 1e-9, "{}", net.share_sum);
    assert!(agreed(&net, 24));
}

#[test]
fn a_group_that_starts_within_a_second_and_loses_all_seeds_stays_one_group() {
    let all = 120;
    let mut net = Network::new(10, config(all), 0.05);
    (0..all).for_each(|i| net.start(i, i as i64 * SECOND / all as i64));
    assert_eq!(net.watch_until(60 * SECOND), all);
    assert!(agreed(&net, all));
    // Seven in ten nodes are killed, all seeds among them, and all but the seeds restart: no seed answers.
    let killed: Vec<usize> = (0..all).filter(|i| i % 10 < 7).collect();
    killed.iter().for_each(|i| net.kill(*i));
    killed
        .iter()
        .filter(|i| **i >= 3)
        .for_each(|i| net.start(*i, 61 * SECOND));
    assert_eq!(net.watch_until(120 * SECOND), all);
    assert!(
        net.views()
            .iter()
            .all(|v| v.count == all && v.alive == all - 3),
        "{:?}",
        net.views()[0]
    );
    assert!(net.share_sum <= 1.0 + 1e-9, "{}", net.share_sum);
}
