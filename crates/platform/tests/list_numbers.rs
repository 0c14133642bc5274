//! Tests without sockets of lists whose serial numbers do not tell which list is the newer one: numbers of an earlier process of this
//! controller or of another name service, and different lists with one number.

mod common;
use common::*;
use std::collections::BTreeSet;

const SECOND: i64 = 1_000_000;
/// Number of queries that are enough to reach each of two executors.
const SAMPLE: u64 = 40;
const READY: u16 = 0;
const DRAINING: u16 = 1;

/// The executors of a list, with the last byte of their addresses and their priorities.
type List<'a> = &'a [(&'a str, u8, u16)];

const BOTH_READY: List = &[("e1", 1, READY), ("e2", 2, READY)];
const FIRST_DRAINING: List = &[("e1", 1, DRAINING), ("e2", 2, READY)];
const FIRST_GONE: List = &[("e2", 2, READY)];

/// Delivers an answer with this list to the next query of the controller.
fn answer(harness: &mut Harness, serial: u32, list: List) {
    let query = harness.next_discovery_query();
    harness.receive_discovery_answer(&dns_answer(&query, serial, list));
}

/// The last bytes of the addresses to which queries are forwarded.
fn used_executors(harness: &mut Harness, first_id: u64) -> BTreeSet<u8> {
    let mut used = BTreeSet::new();
    for n in first_id..first_id + SAMPLE {
        let (_, executor, _) = harness.forward_query("look", &request_id(n));
        let address = harness.executor_address(executor).expect("an address");
        used.insert(
            address
                .to_string()
                .split(['.', ':'])
                .nth(3)
                .expect("four bytes")
                .parse()
                .expect("a byte"),
        );
        harness.receive(
            executor,
            &format!("{} HIT pages=1 0\r\n\r\n", request_id(n)),
        );
    }
    used
}

fn both() -> BTreeSet<u8> {
    BTreeSet::from([1, 2])
}

fn only_second() -> BTreeSet<u8> {
    BTreeSet::from([2])
}

/// The reported failure: after a restart, one answer with a number of the former process hid all lists for five seconds.
#[test]
fn a_list_numbered_for_an_earlier_process_does_not_hide_later_lists() {
    let mut harness = Harness::new(2);
    answer(&mut harness, 8, BOTH_READY);
    answer(&mut harness, 3, BOTH_READY);
    answer(&mut harness, 4, FIRST_DRAINING);
    assert_eq!(used_executors(&mut harness, 1), only_second(), "draining");
    answer(&mut harness, 4, FIRST_DRAINING);
    answer(&mut harness, 5, FIRST_GONE);
    assert_eq!(used_executors(&mut harness, 100), only_second(), "gone");
    answer(&mut harness, 6, BOTH_READY);
    answer(&mut harness, 6, BOTH_READY);
    assert_eq!(used_executors(&mut harness, 200), both(), "listed again");
}

/// The reported failure, once the right numbers had reached that of the wrong list: equal numbers counted as equal lists.
#[test]
fn a_different_list_with_the_number_of_the_current_one_is_applied() {
    let mut harness = Harness::new(2);
    answer(&mut harness, 5, BOTH_READY);
    answer(&mut harness, 5, FIRST_DRAINING);
    assert_eq!(
        used_executors(&mut harness, 1),
        only_second(),
        "after one answer"
    );
    answer(&mut harness, 5, FIRST_DRAINING);
    answer(&mut harness, 5, FIRST_DRAINING);
    assert_eq!(
        used_executors(&mut harness, 100),
        only_second(),
        "confirmed"
    );
}

#[test]
fn an_executor_that_drained_or_left_is_used_again_only_once_a_second_answer_says_so() {
    for departed in [FIRST_DRAINING, FIRST_GONE] {
        let mut harness = Harness::new(2);
        answer(&mut harness, 4, departed);
        answer(&mut harness, 4, departed);
        answer(&mut harness, 9, BOTH_READY);
        assert_eq!(used_executors(&mut harness, 1), only_second(), "one answer");
        answer(&mut harness, 9, BOTH_READY);
        assert_eq!(used_executors(&mut harness, 100), both(), "two answers");
    }
}

/// A name service may lag behind after an answer that was right.
#[test]
fn what_an_unconfirmed_list_reported_as_draining_or_gone_stays_unused_while_the_service_may_lag() {
    for newer in [FIRST_DRAINING, FIRST_GONE] {
        let mut harness = Harness::new(2);
        answer(&mut harness, 4, newer);
        for n in 0..6 {
            answer(&mut harness, 3, BOTH_READY);
            assert_eq!(used_executors(&mut harness, 1 + 100 * n), only_second());
        }
        answer(&mut harness, 4, newer);
        assert_eq!(used_executors(&mut harness, 1_000), only_second());
    }
}

#[test]
fn a_drain_in_an_outdated_answer_ends_with_the_next_answer_that_is_current() {
    let mut harness = Harness::new(2);
    answer(&mut harness, 2, FIRST_DRAINING);
    assert_eq!(
        used_executors(&mut harness, 1),
        only_second(),
        "may be current"
    );
    answer(&mut harness, 3, BOTH_READY);
    assert_eq!(used_executors(&mut harness, 100), both(), "confirmed");
}

/// Two outdated answers in a row, as of a name service with several servers, do not displace a list that was confirmed.
#[test]
fn outdated_answers_do_not_displace_a_confirmed_list() {
    let mut harness = Harness::new(2);
    answer(&mut harness, 4, FIRST_GONE);
    answer(&mut harness, 4, FIRST_GONE);
    for n in 0..12 {
        answer(&mut harness, 3, BOTH_READY);
        answer(&mut harness, 3, BOTH_READY);
        assert_eq!(used_executors(&mut harness, 1 + 100 * n), only_second());
        answer(&mut harness, 4, FIRST_GONE);
    }
}

#[test]
fn numbers_that_begin_anew_are_accepted_after_the_longest_lag_of_a_name_service() {
    let mut harness = Harness::new(2);
    let began_at = harness.now;
    let list: List = &[("e1", 1, READY), ("e2", 2, READY), ("e3", 3, READY)];
    while harness.now < began_at + 2 * SECOND {
        answer(&mut harness, 1, list);
    }
    assert_eq!(used_executors(&mut harness, 1), both(), "may be outdated");
    let resources = harness.platform.resources_in_use();
    while harness.platform.resources_in_use() == resources {
        answer(&mut harness, 1, list);
    }
    let accepted_after = harness.now - began_at;
    assert!(
        (5 * SECOND..6 * SECOND).contains(&accepted_after),
        "{accepted_after}"
    );
    assert!(used_executors(&mut harness, 100).contains(&3), "accepted");
}

/// A second outdated answer arrived between two right ones and confirmed the wrong list, which stayed in force for five seconds.
#[test]
fn outdated_answers_that_alternate_with_right_ones_do_not_confirm_a_wrong_list() {
    let mut harness = Harness::new(2);
    answer(&mut harness, 4, FIRST_GONE);
    answer(&mut harness, 4, FIRST_GONE);
    for n in 0..8 {
        answer(&mut harness, 9, BOTH_READY);
        assert_eq!(used_executors(&mut harness, 1 + 200 * n), only_second());
        answer(&mut harness, 4, FIRST_GONE);
        assert_eq!(used_executors(&mut harness, 101 + 200 * n), only_second());
    }
    // A list that returns often enough is in force again.
    for _ in 0..6 {
        answer(&mut harness, 9, BOTH_READY);
    }
    assert_eq!(used_executors(&mut harness, 5_000), both());
}
