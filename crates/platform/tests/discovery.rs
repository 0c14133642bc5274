//! Answers of the name service, valid and ignored.

mod common;
use common::*;
use hickory_proto::op::{Message, ResponseCode};
use std::net::SocketAddr;
use wheelfield_sans_io::{DatagramSocket, IoEvent};

fn address(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

/// The next query, sent to the name service at `to`.
fn next_query(harness: &mut Harness, to: &str) -> Vec<u8> {
    harness.datagrams.clear();
    harness.advance(260_000);
    let (port, asked, bytes) = harness.datagrams.last().expect("a query").clone();
    assert_eq!((port, asked), (DatagramSocket::Discovery, address(to)));
    bytes
}

fn receive(harness: &mut Harness, from: &str, bytes: &[u8]) {
    harness.handle_io(IoEvent::Datagram(
        DatagramSocket::Discovery,
        address(from),
        bytes,
    ));
}

/// Address that the next query is forwarded to; `None` if it is rejected.
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
    let asked = next_query(&mut harness, RESOLVER);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&asked, 4, &[("e9", 1, 0)])
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
    let asked = next_query(&mut harness, RESOLVER);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&asked, 5, &[("e9", 1, 1)])
            .to_vec()
            .expect("bytes"),
    );
    assert_eq!(forwarded_to(&mut harness, 3), None);
}

#[test]
fn old_incomplete_and_unsolicited_answers_change_nothing() {
    let mut harness = Harness::new(1);
    let elsewhere = [("e9", 7, 0)];
    let asked = next_query(&mut harness, RESOLVER);
    let good = dns_answer(&asked, 9, &elsewhere);
    let bytes = |m: &Message| m.to_vec().expect("bytes");
    let changed = |change: &dyn Fn(&mut Message)| {
        let mut m = good.clone();
        change(&mut m);
        bytes(&m)
    };
    let bad: Vec<Vec<u8>> = vec![
        bytes(&dns_answer(&asked, 3, &elsewhere)),
        bytes(&dns_answer(&asked, 2, &elsewhere)),
        changed(&|m| m.metadata.id ^= 1),
        changed(&|m| m.metadata.truncation = true),
        changed(&|m| m.metadata.response_code = ResponseCode::ServFail),
        changed(&|m| m.queries.clear()),
        changed(&|m| m.authorities.clear()),
        changed(&|m| m.additionals.clear()),
        asked.clone(),
        Vec::new(),
        b"noise".to_vec(),
        // A compressed name that points at itself.
        [&asked[..12], &[0xc0, 12, 0, 33, 0, 1]].concat(),
    ];
    for answer in &bad {
        receive(&mut harness, RESOLVER, answer);
    }
    let whole = bytes(&good);
    for cut in 0..whole.len() {
        receive(&mut harness, RESOLVER, &whole[..cut]);
    }
    receive(&mut harness, "127.9.0.2:1053", &whole);
    assert_eq!(
        forwarded_to(&mut harness, 1),
        Some(address("127.1.0.1:6565"))
    );
    // The unchanged answer is accepted.
    receive(&mut harness, RESOLVER, &whole);
    assert_eq!(
        forwarded_to(&mut harness, 2),
        Some(address("127.1.0.7:6565"))
    );
}

/// What the former service sent counts as told, whoever is asked by then; the new one may lag behind.
#[test]
fn after_a_reload_the_new_name_service_is_queried_at_once_and_answers_of_both_count_by_their_numbers(
) {
    const NEW: &str = "127.9.0.3:1053";
    let mut harness = Harness::new(1);
    let asked = next_query(&mut harness, RESOLVER);
    let list = |query: &[u8], serial, name, last| {
        let answer = dns_answer(query, serial, &[(name, last, 0)]);
        answer.to_vec().expect("bytes")
    };
    harness.datagrams.clear();
    harness.platform.use_resolver(harness.now, address(NEW));
    harness.run_effects();
    let (_, to, again) = harness.datagrams.last().expect("asked at once").clone();
    assert_eq!(to, address(NEW));
    // Neither the former service nor another may answer what the new one was asked, and nobody what nobody was asked.
    receive(&mut harness, RESOLVER, &list(&again, 9, "e9", 7));
    receive(&mut harness, "127.9.0.4:1053", &list(&asked, 9, "e9", 7));
    receive(&mut harness, NEW, &list(&asked, 9, "e9", 7));
    assert_eq!(
        forwarded_to(&mut harness, 1),
        Some(address("127.1.0.1:6565"))
    );
    receive(&mut harness, RESOLVER, &list(&asked, 9, "e9", 7));
    assert_eq!(
        forwarded_to(&mut harness, 2),
        Some(address("127.1.0.7:6565"))
    );
    // The serial number stays: the new service is heard once it has caught up.
    for serial in [3, 4, 8, 9] {
        receive(&mut harness, NEW, &list(&again, serial, "e8", 8));
        assert_eq!(
            forwarded_to(&mut harness, 10 + u64::from(serial)),
            Some(address("127.1.0.7:6565")),
            "serial {serial}"
        );
    }
    receive(&mut harness, NEW, &list(&again, 10, "e8", 8));
    assert_eq!(
        forwarded_to(&mut harness, 3),
        Some(address("127.1.0.8:6565"))
    );
}

/// A name service that counts by itself makes the numbers of the former one worth nothing.
#[test]
fn a_former_name_service_is_not_heard_any_more_once_the_new_one_counts_from_lower() {
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
    let asked = next_query(&mut harness, NEW);
    harness
        .platform
        .use_resolver(harness.now, address(RESOLVER));
    harness.run_effects();
    let answer = dns_answer(&asked, 9, &[("e9", 9, 0)]);
    receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
    assert_eq!(forwarded_to(&mut harness, 2), expected, "not asked for");
}

/// A former service has answered with the current number, and each of its answers began the ten seconds anew after which the new one's
/// lower numbers count: twelve seconds on, its list was not in force yet.
#[test]
fn answers_of_a_former_name_service_do_not_put_off_a_new_one_that_counts_from_lower() {
    const NEW: &str = "127.9.0.3:1053";
    let mut harness = Harness::new(1);
    let former: Vec<Vec<u8>> = (0..12)
        .map(|_| next_query(&mut harness, RESOLVER))
        .collect();
    harness.platform.use_resolver(harness.now, address(NEW));
    harness.run_effects();
    for turn in 0..32 {
        let query = next_query(&mut harness, NEW);
        let answer = dns_answer(&query, 1, &[("e8", 8, 0)]);
        receive(&mut harness, NEW, &answer.to_vec().expect("bytes"));
        if let Some(asked) = former.get(turn / 4).filter(|_| turn % 4 == 0) {
            let answer = dns_answer(asked, 3, &[("e1", 1, 0)]);
            receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
        }
        harness.advance(125_000);
    }
    let expected = Some(address("127.1.0.8:6565"));
    assert_eq!(forwarded_to(&mut harness, 1), expected);
}

/// Whichever record comes first.
#[test]
fn an_executor_that_stands_twice_in_a_list_takes_no_work_if_either_record_says_so() {
    for priorities in [[0, 1], [1, 0]] {
        let mut harness = Harness::new(1);
        let asked = next_query(&mut harness, RESOLVER);
        let records = priorities.map(|priority| ("e1", 1, priority));
        let answer = dns_answer(&asked, 4, &records);
        receive(&mut harness, RESOLVER, &answer.to_vec().expect("bytes"));
        assert_eq!(forwarded_to(&mut harness, 1), None, "{priorities:?}");
    }
}

/// It is the same number for the policy, whatever became of it before.
#[test]
fn an_executor_that_was_gone_and_is_back_under_its_name_can_drain_again() {
    let mut harness = Harness::new(1);
    let mut serial = 4;
    let mut tell = |harness: &mut Harness, executors: &[(&str, u8, u16)]| {
        let asked = next_query(harness, RESOLVER);
        let answer = dns_answer(&asked, serial, executors);
        receive(harness, RESOLVER, &answer.to_vec().expect("bytes"));
        serial += 1;
    };
    for round in 0..3 {
        tell(&mut harness, &[("e1", 1, 1)]);
        assert_eq!(forwarded_to(&mut harness, 10 * round + 1), None, "drains");
        tell(&mut harness, &[]);
        assert_eq!(forwarded_to(&mut harness, 10 * round + 2), None, "gone");
        // Its former address has another one now.
        tell(&mut harness, &[("e2", 1, 1), ("e1", 3, 0)]);
        assert_eq!(
            forwarded_to(&mut harness, 10 * round + 3),
            Some(address("127.1.0.3:6565")),
            "back"
        );
    }
}
