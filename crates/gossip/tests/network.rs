//! Many nodes on an emulated network in virtual time: loss, doubling, delays, splits, deaths and restarts.

mod common;

use common::{Network, MS, SECOND};
use std::collections::BTreeSet;
use wheelfield_gossip::{EvictionPolicy, MembershipConfig};
use wheelfield_network_faults::Parties;

fn limits(expect: usize) -> MembershipConfig {
    MembershipConfig { expected_members: expect, ..MembershipConfig::default() }
}

/// All that live act on so many, and each has a number of its own.
fn agreed(net: &Network, count: usize) -> bool {
    let views: Vec<_> = net.views();
    let indexes: BTreeSet<usize> = views.iter().map(|v| v.index).collect();
    views.iter().all(|v| v.count == count && v.is_settled) && indexes.len() == views.len()
}

#[test]
fn a_hundred_and_eighty_that_start_in_one_second_agree() {
    let mut net = Network::new(1, limits(180), 0.0);
    for i in 0..180 {
        net.start(i, i as i64 * SECOND / 180);
    }
    let lowest = net.watch_until(60 * SECOND);
    assert_eq!(lowest, 180, "nobody ever acts on fewer than expected");
    assert!(agreed(&net, 180));
    assert_eq!(net.counters().declared_dead, 0);
}

#[test]
fn with_three_in_ten_datagrams_lost_they_agree_and_stay_so() {
    for seed in 0..3 {
        let mut net = Network::new(seed, limits(40), 0.3);
        (0..40).for_each(|i| net.start(i, 0));
        let lowest = net.watch_until(300 * SECOND);
        assert_eq!(lowest, 40, "seed {seed}");
        let counters = net.counters();
        assert!(
            counters.suspicions > 0 && counters.refutations > 0,
            "loss leads to suspicions, and they are denied"
        );
        assert_eq!(counters.declared_dead, 0, "seed {seed}: nobody that lives is given up");
        // Between two suspicions there is a moment without any.
        assert!(net.views().iter().all(|v| v.count == 40));
    }
}

#[test]
fn a_silent_one_counts_for_the_hold_and_one_that_left_does_not() {
    let hold = 60 * SECOND;
    let mut net = Network::new(
        2,
        MembershipConfig { dead_retention: hold, eviction: EvictionPolicy::Quorum, ..limits(12) },
        0.0,
    );
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 12));
    net.kill(3);
    let lowest = net.watch_until(90 * SECOND);
    assert_eq!(lowest, 12, "given up, it counts on");
    assert!(net.views().iter().all(|v| v.alive == 11), "and it is known to be gone");
    net.run_until(200 * SECOND);
    assert!(agreed(&net, 11), "{:?}", net.views());
    net.leave(7);
    net.run_until(215 * SECOND);
    assert!(agreed(&net, 10), "{:?}", net.views());
    // Nobody learns of the gone ones anew.
    net.run_until(500 * SECOND);
    assert!(agreed(&net, 10));
}

#[test]
fn two_halves_that_lose_each_other_go_on_acting_on_the_whole() {
    let mut net = Network::new(3, limits(20), 0.0);
    (0..20).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 20));
    net.split(|i| i < 10);
    let lowest = net.watch_until(340 * SECOND);
    assert_eq!(lowest, 20, "within the hold neither half acts on itself alone");
    assert!(net.views().iter().all(|v| v.alive == 10));
    net.heal();
    let lowest = net.watch_until(460 * SECOND);
    assert_eq!(lowest, 20);
    assert!(agreed(&net, 20) && net.views().iter().all(|v| v.alive == 20), "{:?}", net.views()[0]);
}

/// Before, each half counted itself alone after the hold: their parts of a cold engine came to twice the whole.
#[test]
fn a_split_of_whatever_length_makes_nobody_act_on_too_few_but_a_quorum_that_may_forget() {
    for forget in [EvictionPolicy::Operator, EvictionPolicy::Quorum] {
        let mut net = Network::new(
            4,
            MembershipConfig { dead_retention: 30 * SECOND, eviction: forget, ..limits(9) },
            0.0,
        );
        (0..9).for_each(|i| net.start(i, 0));
        net.run_until(40 * SECOND);
        net.split(|i| i < 4);
        net.run_until(600 * SECOND);
        for i in 0..9 {
            let (view, larger) = (net.node(i).view(), i >= 4);
            let expected = if larger && forget == EvictionPolicy::Quorum { 5 } else { 9 };
            assert_eq!((view.count, view.has_quorum), (expected, larger), "{forget:?}, {i}");
        }
        net.heal();
        // Who was forgotten is found by its own probes and the seeds.
        net.run_until(720 * SECOND);
        assert!(agreed(&net, 9), "{:?}", net.views());
        assert!(net.views().iter().all(|v| v.tag.digest == net.views()[0].tag.digest), "one view");
    }
}

#[test]
fn two_equal_halves_are_no_quorum_either() {
    let mut net = Network::new(
        4,
        MembershipConfig { dead_retention: 30 * SECOND, eviction: EvictionPolicy::Quorum, ..limits(8) },
        0.0,
    );
    (0..8).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    net.split(|i| i < 4);
    assert_eq!(net.watch_until(400 * SECOND), 8);
}

/// A part that is killed and started anew within a split remembers nobody; the expected number stands in.
#[test]
fn a_smaller_part_that_starts_anew_within_a_split_acts_on_the_expected_number() {
    let mut net = Network::new(8, limits(9), 0.0);
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

/// An operator's word is a goodbye in the name of one that is gone. Nobody who heard the member since believes it.
#[test]
fn an_operator_lets_one_go_and_one_that_lives_comes_back() {
    let mut net = settled(3);
    net.kill(7);
    net.run_until(100 * SECOND);
    net.forget(0, 7);
    net.run_until(130 * SECOND);
    assert!(agreed(&net, 11), "{:?}", net.views());
    // By mistake: one that is only cut off.
    net.split(|i| i == 4 || i == 5);
    net.run_until(200 * SECOND);
    net.forget(0, 4);
    net.run_until(230 * SECOND);
    assert_eq!((net.node(0).view().count, net.node(5).view().count), (10, 11));
    net.heal();
    net.run_until(231 * SECOND);
    assert_eq!(net.watch_until(330 * SECOND), 10);
    assert!(agreed(&net, 11), "{:?}", net.views());
    assert!(
        net.node(5).counters().uncorroborated > 0 || net.node(4).counters().refutations > 0,
        "it was said, and not so"
    );
}

#[test]
fn views_have_a_number_and_those_that_agree_one_digest() {
    let mut net = settled(2);
    let digests = |net: &Network| net.views().iter().map(|v| v.tag.digest).collect::<BTreeSet<_>>();
    let numbers = |net: &Network| net.views().iter().map(|v| v.tag.version).collect::<Vec<_>>();
    assert_eq!(digests(&net).len(), 1);
    let (digest, before) = (digests(&net), numbers(&net));
    net.kill(3);
    net.run_until(100 * SECOND);
    assert_eq!(digests(&net), digest, "given up, it counts on");
    net.leave(5);
    net.run_until(130 * SECOND);
    assert_eq!(digests(&net).len(), 1);
    assert_ne!(digests(&net), digest);
    assert_eq!(numbers(&net).iter().max(), before.iter().max().map(|n| n + 1).as_ref());
}

#[test]
fn a_flapping_one_is_one_member() {
    let mut net = Network::new(5, limits(10), 0.05);
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
        assert!(net.views().iter().all(|v| v.count == 10), "never one more either");
    }
    net.run_until(at + 60 * SECOND);
    assert!(agreed(&net, 10));
}

#[test]
fn a_fresh_one_goes_by_what_it_was_told_to_expect() {
    let mut net = Network::new(6, limits(30), 0.0);
    net.start(0, 0);
    net.run_until(29 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // Who hears nobody does not take itself for alone.
    net.run_until(400 * SECOND);
    let view = net.views()[0];
    assert_eq!((view.count, view.is_settled), (30, false));
    // With half of them it does not know better either: as many may be behind a cut.
    (1..15).for_each(|i| net.start(i, 400 * SECOND));
    net.run_until(470 * SECOND);
    assert!(net.views().iter().all(|v| v.count == 30 && v.alive == 15), "{:?}", net.views()[0]);
    // With one more it does, once it has listened.
    net.start(15, 470 * SECOND);
    net.run_until(490 * SECOND);
    assert_eq!(net.views()[15].count, 30);
    net.run_until(520 * SECOND);
    assert!(agreed(&net, 16), "{:?}", net.views());
}

#[test]
fn all_replaced_one_after_the_other_with_goodbyes() {
    let mut net = Network::new(7, limits(10), 0.0);
    (0..10).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    let mut at = 40 * SECOND;
    // All but the seeds, which a fresh one must find.
    for i in 3..10 {
        net.leave(i);
        at += 5 * SECOND;
        net.start(100 + i, at);
        // For the five seconds there is one less; never two.
        assert!(net.watch_until(at + 5 * SECOND) >= 9);
        at += 5 * SECOND;
    }
    net.run_until(at + 40 * SECOND);
    assert!(agreed(&net, 10), "{:?}", net.views());
}

fn one(i: usize) -> Parties {
    Parties::These([i].into())
}

/// Twelve that know each other.
fn settled(seed: u64) -> Network {
    let mut net = Network::new(seed, limits(12), 0.0);
    (0..12).for_each(|i| net.start(i, 0));
    net.run_until(40 * SECOND);
    assert!(agreed(&net, 12));
    net
}

/// Found on processes: one that heard nobody gave all others up, and was believed once it was back.
#[test]
fn one_that_hears_nobody_gives_nobody_up_and_as_it_is_heard_is_not_given_up() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.cut(Parties::All, one(5), 60 * SECOND);
        let lowest = net.watch_until(100 * SECOND);
        assert_eq!((lowest, net.counters().declared_dead), (12, 0), "seed {seed}");
        net.run_until(140 * SECOND);
        assert!(agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12), "seed {seed}");
        assert!(net.node(5).counters().isolations >= 1, "it says so");
    }
}

#[test]
fn one_that_nobody_hears_is_given_up_counts_on_and_is_one_again() {
    let mut net = settled(1);
    net.cut(one(5), Parties::All, 60 * SECOND);
    let lowest = net.watch_until(95 * SECOND);
    assert_eq!(lowest, 12);
    assert!((0..12).filter(|i| *i != 5).all(|i| net.node(i).view().alive == 11));
    net.run_until(140 * SECOND);
    assert!(agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12));
}

/// Found on processes: after a cut between zones each side believed the other of members of its own.
#[test]
fn the_word_of_those_who_lost_the_others_gives_nobody_up() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.split(|i| i < 4);
        net.run_until(100 * SECOND);
        let apart = net.counters().declared_dead;
        assert!(apart >= 8 + 4, "each side gave the other up");
        net.heal();
        net.run_until(160 * SECOND);
        assert_eq!(net.counters().declared_dead, apart, "seed {seed}: nobody more is given up as they meet");
        assert!(agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12), "seed {seed}");
        assert!((0..12).any(|i| net.node(i).counters().uncorroborated > 0), "and it was said");
    }
}

#[test]
fn pauses_of_whatever_length_give_nobody_up() {
    for (seed, lasts) in [(0, 100 * MS), (1, SECOND), (2, 4 * SECOND), (3, 10 * SECOND)] {
        let mut net = settled(seed);
        let mut at = 40 * SECOND;
        for round in 0..10 {
            for i in 0..4 {
                net.pause((round + i * 3) % 12, lasts);
            }
            at += lasts + 5 * SECOND;
            assert_eq!(net.watch_until(at), 12, "{lasts}");
        }
        // Ten seconds are as long as a suspect has to deny; a shorter pause is never taken for death.
        assert!(lasts == 10 * SECOND || net.counters().declared_dead == 0, "{lasts}");
        net.run_until(at + 60 * SECOND);
        assert!(agreed(&net, 12) && net.views().iter().all(|v| v.alive == 12), "{lasts}");
    }
}

/// With three in ten lost, 640 suspicions a member and hour were raised before one silent period was a doubt only.
#[test]
fn losses_alone_raise_few_suspicions() {
    let mut net = Network::new(9, limits(40), 0.3);
    (0..40).for_each(|i| net.start(i, 0));
    net.run_until(60 * SECOND);
    let before = net.counters().suspicions;
    net.run_until(660 * SECOND);
    let an_hour = (net.counters().suspicions - before) as f64 * 6.0 / 40.0;
    assert!(an_hour < 30.0, "{an_hour} a member and hour");
}

/// What is believed late because of doubts is still believed: a death is found by all.
#[test]
fn a_death_is_found_by_all_though_each_believes_its_own_doubt() {
    for seed in 0..4 {
        let mut net = settled(seed);
        net.kill(3);
        // A period until it is probed, one of doubt, and eleven to deny.
        net.run_until(40 * SECOND + 16 * SECOND);
        assert!(net.counters().declared_dead > 0, "seed {seed}");
        net.run_until(40 * SECOND + 30 * SECOND);
        assert!(net.views().iter().all(|v| v.alive == 11 && v.count == 12), "seed {seed}");
    }
}

/// Rule 4 rests on this: by the counts that they act on, all together never take more than one cold engine's budget, however
/// long they are apart and whoever is killed; a quorum that may forget takes up to half as much again.
#[test]
fn the_parts_of_all_come_to_one_whole_whatever_is_cut_or_killed() {
    for (forget, most) in [(EvictionPolicy::Operator, 1.0), (EvictionPolicy::Quorum, 1.5)] {
        let mut net = Network::new(
            4,
            MembershipConfig { dead_retention: 30 * SECOND, eviction: forget, ..limits(20) },
            0.1,
        );
        (0..20).for_each(|i| net.start(i, i as i64 * SECOND / 20));
        net.run_until(60 * SECOND);
        net.split(|i| i < 7);
        net.run_until(300 * SECOND);
        // Seven in ten of both sides at once, back a second later.
        let killed: Vec<usize> = (0..20).filter(|i| i % 10 < 7).collect();
        killed.iter().for_each(|i| net.kill(*i));
        killed.iter().for_each(|i| net.start(*i, 301 * SECOND));
        net.run_until(600 * SECOND);
        net.heal();
        net.run_until(700 * SECOND);
        (7..17).for_each(|i| net.kill(i));
        net.run_until(900 * SECOND);
        assert!(net.parts <= most + 1e-9, "{forget:?}: {}", net.parts);
        assert!(forget == EvictionPolicy::Operator || net.parts > 1.2, "what a quorum costs: {}", net.parts);
    }
}

/// Newcomers are counted as soon as they are heard of, and act on no fewer than they were told to expect.
#[test]
fn as_many_newcomers_again_take_their_parts_within_seconds() {
    let mut net = settled(5);
    (12..24).for_each(|i| net.start(i, 40 * SECOND));
    net.run_until(49 * SECOND);
    assert!(net.parts <= 2.0, "at once, before anybody heard: {}", net.parts);
    net.parts = 0.0;
    net.run_until(200 * SECOND);
    assert!(net.parts <= 1.0 + 1e-9, "{}", net.parts);
    assert!(agreed(&net, 24));
}

#[test]
fn many_that_start_within_a_second_and_lose_all_seeds_stay_one_fleet() {
    let all = 120;
    let mut net = Network::new(10, limits(all), 0.05);
    (0..all).for_each(|i| net.start(i, i as i64 * SECOND / all as i64));
    assert_eq!(net.watch_until(60 * SECOND), all);
    assert!(agreed(&net, all));
    // Seven in ten are killed, all seeds among them, and start again; whom they are told to ask are dead.
    let killed: Vec<usize> = (0..all).filter(|i| i % 10 < 7).collect();
    killed.iter().for_each(|i| net.kill(*i));
    killed.iter().filter(|i| **i >= 3).for_each(|i| net.start(*i, 61 * SECOND));
    assert_eq!(net.watch_until(120 * SECOND), all);
    assert!(net.views().iter().all(|v| v.count == all && v.alive == all - 3), "{:?}", net.views()[0]);
    assert!(net.parts <= 1.0 + 1e-9, "{}", net.parts);
}
