//! What faults do to what is sent.

use std::collections::BTreeSet;
use wheelfield_network_faults::{Arrival, Entry, Fault, Parties, Roads, Timetable};

fn entry(fault: Fault) -> Entry {
    Entry {
        fault,
        from: Parties::All,
        to: Parties::All,
        both: false,
        at: 0,
        lasts: i64::MAX,
        every: 0,
        times: 1,
    }
}

fn these(parties: &[usize]) -> Parties {
    Parties::These(parties.iter().copied().collect())
}

fn with(fault: Fault) -> Roads {
    Roads::new(Timetable(vec![entry(fault)]), 7)
}

#[test]
fn a_cut_holds_in_its_direction_at_its_time_and_on_its_roads_alone() {
    let cut = Fault { cut: true, ..Fault::default() };
    let one_way = Entry { from: these(&[0]), to: these(&[1, 2]), at: 100, lasts: 50, ..entry(cut) };
    let mut roads = Roads::new(Timetable(vec![one_way.clone()]), 1);
    let mut passes = |from, to, now| roads.carry(from, to, now, b"x").len() == 1;
    assert!(!passes(0, 1, 100) && !passes(0, 2, 149));
    assert!(passes(0, 1, 99) && passes(0, 1, 150), "before and after");
    assert!(passes(1, 0, 120) && passes(0, 3, 120) && passes(2, 1, 120), "other roads");
    assert_eq!((roads.counts(0, 1).cut, roads.counts(0, 1).sent), (1, 3));
    let mut both = Roads::new(Timetable(vec![Entry { both: true, ..one_way }]), 1);
    assert!(both.carry(1, 0, 120, b"x").is_empty() && !both.carry(1, 2, 120, b"x").is_empty());
}

#[test]
fn a_flapping_road_is_on_and_off_and_ends() {
    let flap = Entry {
        at: 1_000,
        lasts: 200,
        every: 400,
        times: 3,
        ..entry(Fault { cut: true, ..Fault::default() })
    };
    let on: Vec<bool> = (0..14).map(|n| flap.on(900 + n * 200)).collect();
    let expected = [0, 1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0].map(|x| x == 1);
    assert_eq!(on, expected);
    assert_eq!(flap.end(), 2_000);
    assert!(!flap.on(flap.end()) && flap.on(flap.end() - 1));
}

#[test]
fn loss_and_doubling_come_as_often_as_they_are_told_to() {
    let mut roads = with(Fault { loss: 0.3, doubled: 0.1, ..Fault::default() });
    let came: Vec<usize> = (0..20_000).map(|n| roads.carry(0, 1, n, b"x").len()).collect();
    let share = |n: usize| came.iter().filter(|c| **c == n).count() as f64 / 20_000.0;
    assert!((share(0) - 0.3).abs() < 0.02, "{}", share(0));
    assert!((share(2) - 0.07).abs() < 0.01, "{}", share(2));
}

#[test]
fn jitter_lets_what_was_sent_later_come_sooner() {
    let mut roads = with(Fault { delay: 1_000, jitter: 5_000, ..Fault::default() });
    let at: Vec<i64> =
        (0..100).flat_map(|n| roads.carry(0, 1, n * 100, b"x")).map(|a| a.at - 1_000).collect();
    assert!(at.iter().enumerate().all(|(n, at)| (0..=5_000).contains(&(at - n as i64 * 100))));
    assert!(at.windows(2).any(|w| w[1] < w[0]), "some overtake");
}

#[test]
fn a_spoilt_datagram_has_one_bit_turned() {
    let mut roads = with(Fault { corrupt: 1.0, ..Fault::default() });
    let mut turned = BTreeSet::new();
    for n in 0..200 {
        let [Arrival { bytes, .. }] = &roads.carry(0, 1, n, &[0; 4])[..] else { panic!("one comes") };
        let bits: u32 = bytes.iter().map(|b| b.count_ones()).sum();
        assert_eq!(bits, 1);
        turned.insert(bytes.clone());
    }
    assert!(turned.len() > 20, "not always the same");
}

#[test]
fn where_the_rate_binds_the_queue_fills_and_the_rest_is_lost() {
    // A hundred bytes take a tenth of a second; three hundred wait at most, with the one that passes.
    let mut roads = with(Fault { rate: 1_000, queue: 300, ..Fault::default() });
    let at: Vec<Option<i64>> =
        (0..5).map(|_| roads.carry(0, 1, 0, &[0; 100]).first().map(|a| a.at)).collect();
    assert_eq!(at, [Some(100_000), Some(200_000), Some(300_000), None, None]);
    // What waited has passed by then.
    assert_eq!(roads.carry(0, 1, 150_000, &[0; 100])[0].at, 400_000);
    assert_eq!(roads.counts(0, 1).crowded, 2);
    // Others have roads of their own.
    assert_eq!(roads.carry(1, 0, 0, &[0; 100])[0].at, 100_000);
}

#[test]
fn a_roads_chance_is_its_own_and_the_same_again() {
    let fault = Fault { loss: 0.5, jitter: 900, doubled: 0.2, corrupt: 0.2, ..Fault::default() };
    let on = |roads: &mut Roads| -> Vec<_> { (0..50).map(|n| roads.carry(3, 4, n, b"abc")).collect() };
    let alone = on(&mut with(fault));
    let mut busy = with(fault);
    (0..500).for_each(|n| drop(busy.carry(4, 3, n, b"others")));
    assert_eq!(on(&mut busy), alone);
    assert_ne!(on(&mut Roads::new(Timetable(vec![entry(fault)]), 8)), alone, "another seed, another day");
}

#[test]
fn faults_on_one_road_add_up() {
    let (slow, lossy) = (
        Fault { delay: 5, rate: 100, queue: 50, ..Fault::default() },
        Fault { loss: 0.5, ..Fault::default() },
    );
    let table = Timetable(vec![
        entry(slow),
        entry(lossy),
        entry(Fault { loss: 0.5, delay: 2, rate: 70, queue: 90, ..lossy }),
    ]);
    let all = table.fault(0, 1, 0);
    assert_eq!((all.delay, all.loss, all.rate, all.queue), (7, 0.75, 70, 50));
}
