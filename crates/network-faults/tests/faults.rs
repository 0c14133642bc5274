//! What faults do to what is sent.

use std::collections::BTreeSet;
use wheelfield_network_faults::{Delivery, Fault, FaultSchedule, LinkEmulator, NodeSet, ScheduledFault};

fn entry(fault: Fault) -> ScheduledFault {
    ScheduledFault {
        fault,
        from: NodeSet::All,
        to: NodeSet::All,
        bidirectional: false,
        starts_at: 0,
        duration: i64::MAX,
        period: 0,
        repetitions: 1,
    }
}

fn these(parties: &[usize]) -> NodeSet {
    NodeSet::Only(parties.iter().copied().collect())
}

fn with(fault: Fault) -> LinkEmulator {
    LinkEmulator::new(FaultSchedule(vec![entry(fault)]), 7)
}

#[test]
fn a_cut_holds_in_its_direction_at_its_time_and_on_its_roads_alone() {
    let cut = Fault { blocked: true, ..Fault::default() };
    let one_way =
        ScheduledFault { from: these(&[0]), to: these(&[1, 2]), starts_at: 100, duration: 50, ..entry(cut) };
    let mut roads = LinkEmulator::new(FaultSchedule(vec![one_way.clone()]), 1);
    let mut passes = |from, to, now| roads.transmit(from, to, now, b"x").len() == 1;
    assert!(!passes(0, 1, 100) && !passes(0, 2, 149));
    assert!(passes(0, 1, 99) && passes(0, 1, 150), "before and after");
    assert!(passes(1, 0, 120) && passes(0, 3, 120) && passes(2, 1, 120), "other roads");
    assert_eq!((roads.counters(0, 1).blocked, roads.counters(0, 1).sent), (1, 3));
    let mut both =
        LinkEmulator::new(FaultSchedule(vec![ScheduledFault { bidirectional: true, ..one_way }]), 1);
    assert!(both.transmit(1, 0, 120, b"x").is_empty() && !both.transmit(1, 2, 120, b"x").is_empty());
}

#[test]
fn a_flapping_road_is_on_and_off_and_ends() {
    let flap = ScheduledFault {
        starts_at: 1_000,
        duration: 200,
        period: 400,
        repetitions: 3,
        ..entry(Fault { blocked: true, ..Fault::default() })
    };
    let on: Vec<bool> = (0..14).map(|n| flap.is_active(900 + n * 200)).collect();
    let expected = [0, 1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0].map(|x| x == 1);
    assert_eq!(on, expected);
    assert_eq!(flap.ends_at(), 2_000);
    assert!(!flap.is_active(flap.ends_at()) && flap.is_active(flap.ends_at() - 1));
}

#[test]
fn loss_and_doubling_come_as_often_as_they_are_told_to() {
    let mut roads = with(Fault { loss: 0.3, duplicate: 0.1, ..Fault::default() });
    let came: Vec<usize> = (0..20_000).map(|n| roads.transmit(0, 1, n, b"x").len()).collect();
    let share = |n: usize| came.iter().filter(|c| **c == n).count() as f64 / 20_000.0;
    assert!((share(0) - 0.3).abs() < 0.02, "{}", share(0));
    assert!((share(2) - 0.07).abs() < 0.01, "{}", share(2));
}

#[test]
fn jitter_lets_what_was_sent_later_come_sooner() {
    let mut roads = with(Fault { delay: 1_000, jitter: 5_000, ..Fault::default() });
    let at: Vec<i64> =
        (0..100).flat_map(|n| roads.transmit(0, 1, n * 100, b"x")).map(|a| a.at - 1_000).collect();
    assert!(at.iter().enumerate().all(|(n, at)| (0..=5_000).contains(&(at - n as i64 * 100))));
    assert!(at.windows(2).any(|w| w[1] < w[0]), "some overtake");
}

#[test]
fn a_spoilt_datagram_has_one_bit_turned() {
    let mut roads = with(Fault { corrupt: 1.0, ..Fault::default() });
    let mut turned = BTreeSet::new();
    for n in 0..200 {
        let [Delivery { bytes, .. }] = &roads.transmit(0, 1, n, &[0; 4])[..] else { panic!("one comes") };
        let bits: u32 = bytes.iter().map(|b| b.count_ones()).sum();
        assert_eq!(bits, 1);
        turned.insert(bytes.clone());
    }
    assert!(turned.len() > 20, "not always the same");
}

#[test]
fn where_the_rate_binds_the_queue_fills_and_the_rest_is_lost() {
    // A hundred bytes take a tenth of a second; three hundred wait at most, with the one that passes.
    let mut roads = with(Fault { rate: 1_000, queue_limit: 300, ..Fault::default() });
    let at: Vec<Option<i64>> =
        (0..5).map(|_| roads.transmit(0, 1, 0, &[0; 100]).first().map(|a| a.at)).collect();
    assert_eq!(at, [Some(100_000), Some(200_000), Some(300_000), None, None]);
    // What waited has passed by then.
    assert_eq!(roads.transmit(0, 1, 150_000, &[0; 100])[0].at, 400_000);
    assert_eq!(roads.counters(0, 1).queue_overflows, 2);
    // Others have roads of their own.
    assert_eq!(roads.transmit(1, 0, 0, &[0; 100])[0].at, 100_000);
}

#[test]
fn a_roads_chance_is_its_own_and_the_same_again() {
    let fault = Fault { loss: 0.5, jitter: 900, duplicate: 0.2, corrupt: 0.2, ..Fault::default() };
    let on =
        |roads: &mut LinkEmulator| -> Vec<_> { (0..50).map(|n| roads.transmit(3, 4, n, b"abc")).collect() };
    let alone = on(&mut with(fault));
    let mut busy = with(fault);
    (0..500).for_each(|n| drop(busy.transmit(4, 3, n, b"others")));
    assert_eq!(on(&mut busy), alone);
    assert_ne!(
        on(&mut LinkEmulator::new(FaultSchedule(vec![entry(fault)]), 8)),
        alone,
        "another seed, another day"
    );
}

#[test]
fn faults_on_one_road_add_up() {
    let (slow, lossy) = (
        Fault { delay: 5, rate: 100, queue_limit: 50, ..Fault::default() },
        Fault { loss: 0.5, ..Fault::default() },
    );
    let table = FaultSchedule(vec![
        entry(slow),
        entry(lossy),
        entry(Fault { loss: 0.5, delay: 2, rate: 70, queue_limit: 90, ..lossy }),
    ]);
    let all = table.fault(0, 1, 0);
    assert_eq!((all.delay, all.loss, all.rate, all.queue_limit), (7, 0.75, 70, 50));
}
