//! Answers of the name service: which lists are applied and which are ignored.

mod common;
use common::*;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::RecordType;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wheelfield_sans_io::{DatagramSocket, IoEvent};

fn address(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

/// Waits for the next query of the controller, which must go to the name service at `to`.
fn next_query(harness: &mut Harness, to: &str) -> Vec<u8> {
    harness.datagrams.clear();
    harness.advance(260_000);
    let (socket, destination, bytes) = harness
        .datagrams
        .last()
        .expect("a query to the name service")
        .clone();
    assert_eq!(
        (socket, destination),
        (DatagramSocket::Discovery, address(to))
    );
    bytes
}

fn receive(harness: &mut Harness, from: &str, bytes: &[u8]) {
    harness.handle_io(IoEvent::Datagram(
        DatagramSocket::Discovery,
        address(from),
        bytes,
    ));
}

/// The address to which query `n` is forwarded; `None` if it is rejected.
fn forwarded_to(harness: &mut Harness, n: u64) -> Option<SocketAddr> {
    let client = harness.connect_client();
    harness.connects.clear();
    harness.receive(client, &query_request("look", &request_id(n), ""));
    harness.connects.last().map(|(_, to)| *to)
}

#[test]
fn a_newer_list_replaces_the_old_one_and_a_new_name_at_an_old_address_is_another_executor() {
    let mut harness = Harness::new(1);
    let (_, old, _) = harness.forward_query("look", &request_id(1));
    harness.receive(old, &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)));
    let query = next_query(&mut harness, RESOLVER);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&query, 4, &[("e9", 1, 0)])
            .to_vec()
            .expect("bytes"),
    );
    assert!(
        harness.closed.contains(&old),
        "connection to a removed executor"
    );
    assert_eq!(
        forwarded_to(&mut harness, 2),
        Some(address("127.1.0.1:6565"))
    );
    // A draining executor gets no new queries.
    let query = next_query(&mut harness, RESOLVER);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&query, 5, &[("e9", 1, 1)])
            .to_vec()
            .expect("bytes"),
    );
    assert_eq!(forwarded_to(&mut harness, 3), None);
}

#[test]
fn old_incomplete_and_unsolicited_answers_are_ignored() {
    let mut harness = Harness::new(1);
    let other_executors = [("e9", 7, 0)];
    let query = next_query(&mut harness, RESOLVER);
    let valid = dns_answer(&query, 9, &other_executors);
    let bytes = |m: &Message| m.to_vec().expect("bytes");
    let modified = |change: &dyn Fn(&mut Message)| {
        let mut m = valid.clone();
        change(&mut m);
        bytes(&m)
    };
    let ignored: Vec<Vec<u8>> = vec![
        bytes(&dns_answer(&query, 3, &other_executors)),
        bytes(&dns_answer(&query, 2, &other_executors)),
        modified(&|m| m.metadata.id ^= 1),
        modified(&|m| m.metadata.truncation = true),
        modified(&|m| m.metadata.response_code = ResponseCode::ServFail),
        modified(&|m| m.queries.clear()),
        modified(&|m| m.authorities.clear()),
        modified(&|m| m.additionals.clear()),
        query.clone(),
        Vec::new(),
        b"noise".to_vec(),
        // A compressed name whose pointer refers to itself.
        [&query[..12], &[0xc0, 12, 0, 33, 0, 1]].concat(),
    ];
    for answer in &ignored {
        receive(&mut harness, RESOLVER, answer);
    }
    let complete = bytes(&valid);
    for length in 0..complete.len() {
        receive(&mut harness, RESOLVER, &complete[..length]);
    }
    receive(&mut harness, "127.9.0.2:1053", &complete);
    assert_eq!(
        forwarded_to(&mut harness, 1),
        Some(address("127.1.0.1:6565"))
    );
    // The unchanged answer is accepted.
    receive(&mut harness, RESOLVER, &complete);
    assert_eq!(
        forwarded_to(&mut harness, 2),
        Some(address("127.1.0.7:6565"))
    );
}

/// Executors that the former name service reported as draining or removed must not be used after a reload, even if the new name
/// service lags behind.
#[test]
fn after_a_reload_the_new_name_service_is_queried_at_once_and_serial_numbers_order_answers_of_both()
{
    const NEW: &str = "127.9.0.3:1053";
    let mut harness = Harness::new(1);
    let former_query = next_query(&mut harness, RESOLVER);
    let list = |query: &[u8], serial, name, last| {
        let answer = dns_answer(query, serial, &[(name, last, 0)]);
        answer.to_vec().expect("bytes")
    };
    harness.datagrams.clear();
    harness.platform.use_resolver(harness.now, address(NEW));
    harness.run_effects();
    let (_, to, new_query) = harness
        .datagrams
        .last()
        .expect("a query sent at once")
        .clone();
    assert_eq!(to, address(NEW));
    // An answer is accepted only from the service that was sent the query.
    receive(&mut harness, RESOLVER, &list(&new_query, 9, "e9", 7));
    receive(
        &mut harness,
        "127.9.0.4:1053",
        &list(&former_query, 9, "e9", 7),
    );
    receive(&mut harness, NEW, &list(&former_query, 9, "e9", 7));
    assert_eq!(
        forwarded_to(&mut harness, 1),
        Some(address("127.1.0.1:6565"))
    );
    receive(&mut harness, RESOLVER, &list(&former_query, 9, "e9", 7));
    assert_eq!(
        forwarded_to(&mut harness, 2),
        Some(address("127.1.0.7:6565"))
    );
    // The highest serial number is kept: the list of the new service is applied once its serial number is higher.
    for serial in [3, 4, 8, 9] {
        receive(&mut harness, NEW, &list(&new_query, serial, "e8", 8));
        assert_eq!(
            forwarded_to(&mut harness, 10 + u64::from(serial)),
            Some(address("127.1.0.7:6565")),
            "serial {serial}"
        );
    }
    receive(&mut harness, NEW, &list(&new_query, 10, "e8", 8));
    assert_eq!(
        forwarded_to(&mut harness, 3),
        Some(address("127.1.0.8:6565"))
    );
}

/// Once the lower serial numbers of a new name service are accepted, those of the former service cannot be compared with them.
#[test]
fn a_former_name_service_is_ignored_once_lower_serial_numbers_of_a_new_one_are_accepted() {
    const NEW: &str = "127.9.0.3:1053";
    let mut harness = Harness::new(1);
    harness.platform.use_resolver(harness.now, address(NEW));
    harness.run_effects();
    for _ in 0..45 {
        let query = next_query(&mut harness, NEW);
        let answer = dns_answer(&query, 1, &[("e8", 8, 0)]);
        receive(&mut harness, NEW, &answer.to_vec().expect("bytes"));
    }
    let expected = Some(address("127.1.0.8:6565"));
    assert_eq!(forwarded_to(&mut harness, 1), expected);
    let last_query = next_query(&mut harness, NEW);
    harness
        .platform
        .use_resolver(harness.now, address(RESOLVER));
    harness.run_effects();
    let answer = dns_answer(&last_query, 9, &[("e9", 9, 0)]);
    receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
    assert_eq!(
        forwarded_to(&mut harness, 2),
        expected,
        "an answer to a query that was sent to another service"
    );
}

/// Regression test: lower serial numbers of a new name service are accepted after ten seconds. Late answers of the former service with
/// the current serial number restarted that period, so that the list of the new service was not applied after twelve seconds.
#[test]
fn answers_of_a_former_name_service_do_not_delay_accepting_lower_serial_numbers_of_a_new_one() {
    const NEW: &str = "127.9.0.3:1053";
    let mut harness = Harness::new(1);
    let former_queries: Vec<Vec<u8>> = (0..12)
        .map(|_| next_query(&mut harness, RESOLVER))
        .collect();
    harness.platform.use_resolver(harness.now, address(NEW));
    harness.run_effects();
    for turn in 0..32 {
        let query = next_query(&mut harness, NEW);
        let answer = dns_answer(&query, 1, &[("e8", 8, 0)]);
        receive(&mut harness, NEW, &answer.to_vec().expect("bytes"));
        if let Some(former_query) = former_queries.get(turn / 4).filter(|_| turn % 4 == 0) {
            let answer = dns_answer(former_query, 3, &[("e1", 1, 0)]);
            receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
        }
        harness.advance(125_000);
    }
    let expected = Some(address("127.1.0.8:6565"));
    assert_eq!(forwarded_to(&mut harness, 1), expected);
}

/// The order of the records in the answer does not matter.
#[test]
fn an_executor_listed_twice_is_draining_if_either_record_says_so() {
    for priorities in [[0, 1], [1, 0]] {
        let mut harness = Harness::new(1);
        let query = next_query(&mut harness, RESOLVER);
        let records = priorities.map(|priority| ("e1", 1, priority));
        let answer = dns_answer(&query, 4, &records);
        receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
        assert_eq!(forwarded_to(&mut harness, 1), None, "{priorities:?}");
    }
}

/// The policy knows the executor by the same number as before it was removed.
#[test]
fn an_executor_that_was_removed_and_listed_again_can_drain_again() {
    let mut harness = Harness::new(1);
    let mut serial = 4;
    let mut publish = |harness: &mut Harness, executors: &[(&str, u8, u16)]| {
        // The second answer confirms the list.
        for _ in 0..2 {
            let query = next_query(harness, RESOLVER);
            let answer = dns_answer(&query, serial, executors);
            receive(harness, RESOLVER, &answer.to_vec().expect("bytes"));
        }
        serial += 1;
    };
    for round in 0..3 {
        publish(&mut harness, &[("e1", 1, 1)]);
        assert_eq!(forwarded_to(&mut harness, 10 * round + 1), None, "draining");
        publish(&mut harness, &[]);
        assert_eq!(forwarded_to(&mut harness, 10 * round + 2), None, "removed");
        // Another executor now has its former address.
        publish(&mut harness, &[("e2", 1, 1), ("e1", 3, 0)]);
        assert_eq!(
            forwarded_to(&mut harness, 10 * round + 3),
            Some(address("127.1.0.3:6565")),
            "listed again"
        );
    }
}

/// One unreadable record made the whole answer unusable, so that the drain of another executor was not seen while it stayed.
#[test]
fn an_executor_without_address_or_kind_does_not_hide_changes_of_others() {
    for missing in [RecordType::A, RecordType::TXT] {
        let mut harness = Harness::new(2);
        let query = next_query(&mut harness, RESOLVER);
        let mut answer = dns_answer(&query, 9, &[("e1", 1, 1), ("e2", 2, 0), ("e3", 3, 0)]);
        answer.additionals.retain(|record| {
            let host = record.name.to_string();
            host.starts_with("e1") || record.record_type() != missing
        });
        receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
        // e1 drains, e2 is known already, and nothing is known of e3.
        let used: BTreeSet<_> = (1..40).map(|n| forwarded_to(&mut harness, n)).collect();
        let expected = Some(address("127.1.0.2:6565"));
        assert_eq!(used, BTreeSet::from([expected]), "{missing}");
    }
}
