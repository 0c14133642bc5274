//! Rare events that cross: reloads, slow answers, moves, suspensions.

mod common;
use common::*;
use hickory_proto::op::Message;
use hickory_proto::rr::rdata::TXT;
use hickory_proto::rr::RData;
use std::net::SocketAddr;
use wheelfield_sans_io::{ConnId, DatagramSocket, IoEvent, Protocol};

const SECOND: i64 = 1_000_000;

fn address(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

fn receive(harness: &mut Harness, from: &str, answer: &Message) {
    let bytes = answer.to_vec().expect("bytes");
    harness.handle_io(IoEvent::Datagram(
        DatagramSocket::Discovery,
        address(from),
        &bytes,
    ));
}

/// Address that the next query is forwarded to; `None` if it is rejected.
fn forwarded_to(harness: &mut Harness, n: u64) -> Option<SocketAddr> {
    let client = harness.connect_client();
    harness.connects.clear();
    harness.receive(client, &query_request("look", &request_id(n), ""));
    harness.connects.last().map(|(_, to)| *to)
}

fn last_query(harness: &Harness) -> Vec<u8> {
    harness.datagrams.last().expect("a query").2.clone()
}

#[test]
fn an_answer_of_the_name_service_counts_though_it_takes_seconds() {
    for delay in [SECOND, 3 * SECOND, 6 * SECOND] {
        let mut harness = Harness::new(1);
        let asked = harness.next_discovery_query();
        harness.advance(delay);
        receive(
            &mut harness,
            RESOLVER,
            &dns_answer(&asked, 9, &[("e9", 7, 0)]),
        );
        assert_eq!(
            forwarded_to(&mut harness, 1),
            Some(address("127.1.0.7:6565")),
            "after {delay} microseconds"
        );
    }
}

/// Configurations that come faster than the name service answers, each with the same service or with two in turn.
#[test]
fn answers_count_though_configurations_come_faster_than_they() {
    let other = "127.9.0.3:1053";
    for resolvers in [[RESOLVER, RESOLVER], [other, RESOLVER]] {
        let mut harness = Harness::new(1);
        let asked = harness.next_discovery_query();
        for n in 0..12 {
            harness.advance(40_000);
            let resolver = address(resolvers[n % 2]);
            harness.platform.use_resolver(harness.now, resolver);
            harness.run_effects();
        }
        receive(
            &mut harness,
            RESOLVER,
            &dns_answer(&asked, 9, &[("e9", 7, 0)]),
        );
        assert_eq!(
            forwarded_to(&mut harness, 1),
            Some(address("127.1.0.7:6565")),
            "{resolvers:?}"
        );
    }
}

/// A name service that lags behind the former one must not bring back what that one removed, and catches up within some
/// seconds; one that counts by itself never does.
#[test]
fn a_name_service_that_counts_from_lower_is_heard_once_it_cannot_be_one_that_lags() {
    let mut harness = Harness::new(1);
    let other = "127.9.0.3:1053";
    harness.platform.use_resolver(harness.now, address(other));
    harness.run_effects();
    let mut heard_after = None;
    for step in 0..60 {
        let asked = last_query(&harness);
        receive(&mut harness, other, &dns_answer(&asked, 1, &[("e8", 8, 0)]));
        if forwarded_to(&mut harness, step) == Some(address("127.1.0.8:6565")) {
            heard_after = Some(step);
            break;
        }
        harness.advance(SECOND / 2);
    }
    let heard_after = heard_after.expect("heard within half a minute");
    assert!(
        heard_after >= 10,
        "it could still lag: {heard_after} half seconds"
    );
}

#[test]
fn a_name_service_that_lags_brings_nothing_back() {
    let mut harness = Harness::new(1);
    let other = "127.9.0.3:1053";
    harness.platform.use_resolver(harness.now, address(other));
    harness.run_effects();
    // Behind for 4 s, then level, in turn: it never brings an earlier list into force.
    for step in 0..60u64 {
        let asked = last_query(&harness);
        let (serial, name, last) = if step % 10 < 8 {
            (1, "e8", 8)
        } else {
            (3, "e1", 1)
        };
        receive(
            &mut harness,
            other,
            &dns_answer(&asked, serial, &[(name, last, 0)]),
        );
        assert_ne!(
            forwarded_to(&mut harness, step),
            Some(address("127.1.0.8:6565"))
        );
        harness.advance(SECOND / 2);
    }
}

#[test]
fn nothing_is_written_to_the_former_address_of_an_executor_that_moved_during_a_connect() {
    let mut harness = Harness::new(1);
    let asked = harness.next_discovery_query();
    let client = harness.connect_client();
    harness.receive(client, &query_request("load", &request_id(1), ""));
    let (former, _) = harness.connects.remove(0);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&asked, 9, &[("e1", 7, 0)]),
    );
    harness.handle_io(IoEvent::Connected(former));
    assert_eq!(harness.take_written(former), "", "written where it was");
    let (current, to) = harness.connects.remove(0);
    assert_eq!(to, address("127.1.0.7:6565"));
    harness.handle_io(IoEvent::Connected(current));
    assert!(harness.take_written(current).starts_with("REQ "));
    assert_eq!(
        harness.platform.violation_counts().total(),
        0,
        "a guard had to hold it back"
    );
}

#[test]
fn listening_goes_on_after_idle_clients_are_closed_though_the_process_was_suspended() {
    let mut harness = Harness::new(1);
    let (idle, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    // Suspended for 2 s: the timers of both phases are due in one turn.
    harness.now += 2 * SECOND;
    harness.platform.handle_timers(harness.now);
    harness.run_effects();
    assert!(harness.closed.contains(&idle));
    assert!(harness.listening, "a request may cross that close");
    harness.advance(150_000);
    assert!(!harness.listening);
}

/// Of 60 queries, how many go to an executor that a list adds beside another with this start time.
fn queries_to_an_added_executor(started_ms: i64) -> usize {
    let mut harness = Harness::new(1);
    let asked = harness.next_discovery_query();
    let mut answer = dns_answer(&asked, 9, &[("e1", 1, 0), ("e2", 2, 0)]);
    for record in &mut answer.additionals {
        if matches!(record.data, RData::TXT(_)) && record.name.to_string().starts_with("e2") {
            let started = format!("started={started_ms}");
            let texts = vec!["kind=std".into(), "cell=2".into(), started];
            record.data = RData::TXT(TXT::new(texts));
        }
    }
    receive(&mut harness, RESOLVER, &answer);
    let mut count = 0;
    for n in 1..=60 {
        let (_, executor, _) = harness.forward_query("look", &request_id(n));
        harness.receive(
            executor,
            &format!("{} HIT pages=1,cost=100.0 0\r\n\r\n", request_id(n)),
        );
        let asked_at = harness.executor_address(executor);
        count += usize::from(asked_at == Some(address("127.1.0.2:6565")));
    }
    count
}

#[test]
fn slow_start_of_an_added_executor_does_not_depend_on_the_wall_clock() {
    // The harness starts at second 1,000 of its clock, and the list comes 0.26 s later.
    let now_ms = 1_000_000;
    let right = queries_to_an_added_executor(now_ms + 200);
    let hour_ms = 3_600_000;
    for (clock, started_ms) in [
        ("ahead", now_ms - hour_ms + 1),
        ("behind", now_ms + hour_ms),
    ] {
        let wrong = queries_to_an_added_executor(started_ms.max(1));
        assert!(
            wrong.abs_diff(right) <= 3,
            "wall clock {clock}: {wrong} of 60, {right} by the right clock"
        );
    }
}

/// A controller of a fleet, with one executor that has just started and whose connects take long.
fn fleet_member(index: u32, count: u32) -> Harness {
    let mut executor = executor_entry("e1", 1, "ready");
    executor["started_ms"] = 1.into();
    let mut text: serde_json::Value =
        serde_json::from_str(&config(vec![executor], 256)).expect("JSON");
    let settings = &mut text["settings"];
    settings["balancers"] = count.into();
    settings["me"] = index.into();
    // Late answers are wanted too, so that nothing is given up while it waits for its connect.
    settings["grades"][0]["late_value"] = 0.9.into();
    settings["ceilings"]["connect_timeout_us"] = (3 * SECOND).into();
    settings["family_info"]["tells_every_us"] = 0.into();
    settings["safety"]["tip_multiple"] = 10.0.into();
    Harness::with_config(&text.to_string())
}

fn send_burst(harness: &mut Harness, first: u64) {
    for n in first..first + 12 {
        let client = harness.connect_client();
        let request = query_request("look", &request_id(n), "")
            .replace("Cost-Ms: 100.0", "Cost-Ms: 250.0")
            .replace("Timeout-Ms: 2000", "Timeout-Ms: 9000");
        harness.receive(client, &request);
    }
}

/// Takes the requests that were written to the executor, and answers them; how many there were.
fn serve_requests(harness: &mut Harness) -> usize {
    let mut served = 0;
    while let Some((connection, text)) = harness.take_request() {
        for line in text.lines().filter(|line| line.starts_with("REQ ")) {
            let id = line.split(' ').nth(1).expect("an id");
            let answer = format!("{id} HIT pages=1,cost=250.0,meter=util:0.1 0\r\n\r\n");
            harness.receive(connection, &answer);
            served += 1;
        }
    }
    served
}

/// A burst is sent to an executor in slow start within its budget, and its connects come up late, together; another burst comes
/// as the budget of the next window allows it. Both must not be written within one window.
#[test]
fn connects_that_come_up_together_do_not_add_up_at_an_executor_in_slow_start() {
    for count in [20, 40, 60] {
        let mut fleet: Vec<Harness> = (0..count).map(|index| fleet_member(index, count)).collect();
        let mut written = 0;
        for harness in &mut fleet {
            harness.advance(SECOND / 2);
            send_burst(harness, 1);
            harness.advance(SECOND * 15 / 10);
            harness.complete_connects();
            let late = serve_requests(harness);
            assert!(late > 0, "of {count} controllers");
            harness.advance(SECOND / 10);
            send_burst(harness, 100);
            harness.complete_connects();
            written += late + serve_requests(harness);
        }
        // 10 x (0.4 + 0.6 x 0.21) x 8 cores x 1.5 s / 0.25 s = 252 requests at 2.1 s, and a margin of 2 x root of 252 + 2.
        assert!(written <= 285, "{written} of {count} controllers");
    }
}

/// A harness with a client and a connection that is kept to its executor, on which nothing can be written for now.
fn harness_that_writes_nothing() -> (Harness, ConnId, ConnId) {
    let mut harness = Harness::new(1);
    let (first, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    harness.take_written(first);
    let client = harness.connect_client();
    harness.write_limit = Some(0);
    (harness, client, executor)
}

/// The process is suspended between the decision to write a request and the write itself.
#[test]
fn a_request_that_was_not_written_as_the_process_was_suspended_is_written_anew_with_the_time_left()
{
    let (mut harness, client, executor) = harness_that_writes_nothing();
    harness.receive(client, &query_request("load", &request_id(2), ""));
    harness.write_limit = None;
    harness.now += SECOND;
    harness
        .platform
        .withdraw_stale_output(harness.now, executor);
    harness.run_effects();
    assert!(!harness.closed.contains(&executor), "it can still be used");
    let request = harness.take_written(executor);
    assert_eq!(request.matches("REQ ").count(), 1, "{request}");
    let limit = request
        .split("limit=")
        .nth(1)
        .and_then(|rest| rest.split(',').next());
    assert_eq!(limit, Some("980"), "{request}");
}

/// The process is suspended there until the client's time is up: it is neither written nor a fault of the guard's.
#[test]
fn a_request_whose_time_is_up_as_it_is_to_be_written_anew_is_not_written() {
    let (mut harness, client, executor) = harness_that_writes_nothing();
    let request = query_request("look", &request_id(2), "");
    harness.receive(
        client,
        &request.replace("Timeout-Ms: 2000", "Timeout-Ms: 60"),
    );
    harness.write_limit = None;
    harness.now += 120_000;
    harness
        .platform
        .withdraw_stale_output(harness.now, executor);
    harness.run_effects();
    harness.advance(1);
    assert_eq!(harness.take_written(executor), "");
    assert_eq!(status(&harness.take_written(client)), 503);
    assert_eq!(harness.platform.violation_counts().total(), 0);
}
