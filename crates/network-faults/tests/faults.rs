//! The effects of each fault on transmitted datagrams.

use std::collections::BTreeSet;
use wheelfield_network_faults::{Delivery, Fault, FaultSchedule, LinkEmulator, NodeSet, ScheduledFault};

/// The fault, on all links and at all times.
fn always(fault: Fault) -> ScheduledFault {
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

fn nodes(numbers: &[usize]) -> NodeSet {
    NodeSet::Only(numbers.iter().copied().collect())
}

fn emulator(fault: Fault) -> LinkEmulator {
    LinkEmulator::new(FaultSchedule(vec![always(fault)]), 7)
}

#[test]
fn a_link_is_blocked_only_in_its_direction_and_during_the_scheduled_time() {
    let blocked = Fault { blocked: true, ..Fault::default() };
    let one_way = ScheduledFault {
        from: nodes(&[0]),
        to: nodes(&[1, 2]),
        starts_at: 100,
        duration: 50,
        ..always(blocked)
    };
    let mut links = LinkEmulator::new(FaultSchedule(vec![one_way.clone()]), 1);
    let mut is_delivered = |from, to, now| links.transmit(from, to, now, b"x").len() == 1;
    assert!(!is_delivered(0, 1, 100) && !is_delivered(0, 2, 149));
    assert!(is_delivered(0, 1, 99) && is_delivered(0, 1, 150), "before and after the fault");
    assert!(is_delivered(1, 0, 120) && is_delivered(0, 3, 120) && is_delivered(2, 1, 120), "other links");
    assert_eq!((links.counters(0, 1).blocked, links.counters(0, 1).sent), (1, 3));
    let mut bidirectional =
        LinkEmulator::new(FaultSchedule(vec![ScheduledFault { bidirectional: true, ..one_way }]), 1);
    assert!(
        bidirectional.transmit(1, 0, 120, b"x").is_empty()
            && !bidirectional.transmit(1, 2, 120, b"x").is_empty()
    );
}

#[test]
fn a_periodic_fault_recurs_and_ends() {
    let periodic = ScheduledFault {
        starts_at: 1_000,
        duration: 200,
        period: 400,
        repetitions: 3,
        ..always(Fault { blocked: true, ..Fault::default() })
    };
    let active: Vec<bool> = (0..14).map(|n| periodic.is_active(900 + n * 200)).collect();
    let expected = [0, 1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0].map(|x| x == 1);
    assert_eq!(active, expected);
    assert_eq!(periodic.ends_at(), 2_000);
    assert!(!periodic.is_active(periodic.ends_at()) && periodic.is_active(periodic.ends_at() - 1));
}

#[test]
fn loss_and_duplication_occur_with_the_given_probabilities() {
    let mut links = emulator(Fault { loss: 0.3, duplicate: 0.1, ..Fault::default() });
    let deliveries: Vec<usize> = (0..20_000).map(|n| links.transmit(0, 1, n, b"x").len()).collect();
    let share = |n: usize| deliveries.iter().filter(|count| **count == n).count() as f64 / 20_000.0;
    assert!((share(0) - 0.3).abs() < 0.02, "{}", share(0));
    assert!((share(2) - 0.07).abs() < 0.01, "{}", share(2));
}

#[test]
fn jitter_reorders_datagrams() {
    let mut links = emulator(Fault { delay: 1_000, jitter: 5_000, ..Fault::default() });
    let arrival_times: Vec<i64> = (0..100)
        .flat_map(|n| links.transmit(0, 1, n * 100, b"x"))
        .map(|delivery| delivery.at - 1_000)
        .collect();
    assert!(arrival_times.iter().enumerate().all(|(n, at)| (0..=5_000).contains(&(at - n as i64 * 100))));
    assert!(arrival_times.windows(2).any(|w| w[1] < w[0]), "some datagrams overtake earlier ones");
}

#[test]
fn a_corrupted_datagram_has_one_flipped_bit() {
    let mut links = emulator(Fault { corrupt: 1.0, ..Fault::default() });
    let mut contents = BTreeSet::new();
    for n in 0..200 {
        let [Delivery { bytes, .. }] = &links.transmit(0, 1, n, &[0; 4])[..] else {
            panic!("expected one delivery")
        };
        let bits: u32 = bytes.iter().map(|b| b.count_ones()).sum();
        assert_eq!(bits, 1);
        contents.insert(bytes.clone());
    }
    assert!(contents.len() > 20, "the flipped bits vary");
}

#[test]
fn datagrams_beyond_the_queue_of_a_rate_limited_link_are_lost() {
    // Transmitting 100 bytes takes 0.1 s; the queue holds 300 bytes, including the datagram in transmission.
    let mut links = emulator(Fault { rate: 1_000, queue_limit: 300, ..Fault::default() });
    let arrival_times: Vec<Option<i64>> =
        (0..5).map(|_| links.transmit(0, 1, 0, &[0; 100]).first().map(|delivery| delivery.at)).collect();
    assert_eq!(arrival_times, [Some(100_000), Some(200_000), Some(300_000), None, None]);
    // By then a part of the queue has been transmitted.
    assert_eq!(links.transmit(0, 1, 150_000, &[0; 100])[0].at, 400_000);
    assert_eq!(links.counters(0, 1).queue_overflows, 2);
    // The link in the opposite direction has its own queue.
    assert_eq!(links.transmit(1, 0, 0, &[0; 100])[0].at, 100_000);
}

#[test]
fn the_faults_of_a_link_are_reproducible_and_independent_of_other_links() {
    let fault = Fault { loss: 0.5, jitter: 900, duplicate: 0.2, corrupt: 0.2, ..Fault::default() };
    let deliveries =
        |links: &mut LinkEmulator| -> Vec<_> { (0..50).map(|n| links.transmit(3, 4, n, b"abc")).collect() };
    let alone = deliveries(&mut emulator(fault));
    let mut with_traffic = emulator(fault);
    (0..500).for_each(|n| drop(with_traffic.transmit(4, 3, n, b"others")));
    assert_eq!(deliveries(&mut with_traffic), alone);
    assert_ne!(
        deliveries(&mut LinkEmulator::new(FaultSchedule(vec![always(fault)]), 8)),
        alone,
        "another seed gives other faults"
    );
}

#[test]
fn faults_on_one_link_are_combined() {
    let (slow, lossy) = (
        Fault { delay: 5, rate: 100, queue_limit: 50, ..Fault::default() },
        Fault { loss: 0.5, ..Fault::default() },
    );
    let schedule = FaultSchedule(vec![
        always(slow),
        always(lossy),
        always(Fault { loss: 0.5, delay: 2, rate: 70, queue_limit: 90, ..lossy }),
    ]);
    let combined = schedule.fault(0, 1, 0);
    assert_eq!((combined.delay, combined.loss, combined.rate, combined.queue_limit), (7, 0.75, 70, 50));
}
