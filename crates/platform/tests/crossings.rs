//! Race conditions: events such as reloads, slow answers of the name service, address changes and suspensions of the process that
//! coincide with other events.

mod common;
use common::*;
use hickory_proto::op::Message;
use hickory_proto::rr::rdata::TXT;
use hickory_proto::rr::RData;
use std::net::SocketAddr;
use wheelfield_sans_io::{ConnId, DatagramSocket, Effect, IoEvent, Protocol};

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

/// The address to which query `n` is forwarded; `None` if it is rejected.
fn forwarded_to(harness: &mut Harness, n: u64) -> Option<SocketAddr> {
    let client = harness.connect_client();
    harness.connects.clear();
    harness.receive(client, &query_request("look", &request_id(n), ""));
    harness.connects.last().map(|(_, to)| *to)
}

fn last_query(harness: &Harness) -> Vec<u8> {
    harness
        .datagrams
        .last()
        .expect("a query to the name service")
        .2
        .clone()
}

#[test]
fn an_answer_of_the_name_service_is_accepted_seconds_after_its_query() {
    for delay in [SECOND, 3 * SECOND, 6 * SECOND] {
        let mut harness = Harness::new(1);
        let query = harness.next_discovery_query();
        harness.advance(delay);
        let executors = [("e9", 7, 0), ("e8", 8, 1)];
        let resources_before = harness.platform.resources_in_use();
        receive(&mut harness, RESOLVER, &dns_answer(&query, 9, &executors));
        let resources = harness.platform.resources_in_use();
        assert_eq!(resources, resources_before + 1, "two executors for one");
        // The list is applied, and requests are routed by it once it is known to be current.
        let query = harness.next_discovery_query();
        receive(&mut harness, RESOLVER, &dns_answer(&query, 9, &executors));
        assert_eq!(
            forwarded_to(&mut harness, 1),
            Some(address("127.1.0.7:6565")),
            "after {delay} microseconds"
        );
    }
}

/// The configuration is reloaded more often than the name service answers, with the same name service or with two in alternation.
#[test]
fn an_answer_is_accepted_despite_reloads_between_its_query_and_its_arrival() {
    let other = "127.9.0.3:1053";
    for resolvers in [[RESOLVER, RESOLVER], [other, RESOLVER]] {
        let mut harness = Harness::new(1);
        let query = harness.next_discovery_query();
        for n in 0..12 {
            harness.advance(40_000);
            let resolver = address(resolvers[n % 2]);
            harness.platform.use_resolver(harness.now, resolver);
            harness.run_effects();
        }
        receive(
            &mut harness,
            RESOLVER,
            &dns_answer(&query, 9, &[("e9", 7, 0)]),
        );
        assert_eq!(
            forwarded_to(&mut harness, 1),
            Some(address("127.1.0.7:6565")),
            "{resolvers:?}"
        );
    }
}

/// After a reload, the new name service may lag behind the former one, and must not bring back executors that the former one
/// removed. A lagging service catches up within seconds. A service with an independent serial number never does, so its lower serial
/// numbers are accepted after that time.
#[test]
fn lower_serial_numbers_of_a_new_name_service_are_accepted_once_it_cannot_be_lagging() {
    let mut harness = Harness::new(1);
    let other = "127.9.0.3:1053";
    harness.platform.use_resolver(harness.now, address(other));
    harness.run_effects();
    let mut accepted_after = None;
    for step in 0..60 {
        let query = last_query(&harness);
        receive(&mut harness, other, &dns_answer(&query, 1, &[("e8", 8, 0)]));
        if forwarded_to(&mut harness, step) == Some(address("127.1.0.8:6565")) {
            accepted_after = Some(step);
            break;
        }
        harness.advance(SECOND / 2);
    }
    let accepted_after = accepted_after.expect("accepted within half a minute");
    assert!(
        accepted_after >= 10,
        "the service could still be lagging: accepted after {accepted_after} half seconds"
    );
}

#[test]
fn a_lagging_name_service_does_not_restore_an_earlier_list() {
    let mut harness = Harness::new(1);
    let other = "127.9.0.3:1053";
    harness.platform.use_resolver(harness.now, address(other));
    harness.run_effects();
    // The service alternates: 4 s behind, then 1 s up to date. Its earlier list must never be applied.
    for step in 0..60u64 {
        let query = last_query(&harness);
        let (serial, name, last) = if step % 10 < 8 {
            (1, "e8", 8)
        } else {
            (3, "e1", 1)
        };
        receive(
            &mut harness,
            other,
            &dns_answer(&query, serial, &[(name, last, 0)]),
        );
        assert_ne!(
            forwarded_to(&mut harness, step),
            Some(address("127.1.0.8:6565"))
        );
        harness.advance(SECOND / 2);
    }
}

#[test]
fn nothing_is_written_to_the_former_address_of_an_executor_that_moves_during_a_connect() {
    let mut harness = Harness::new(1);
    let query = harness.next_discovery_query();
    let client = harness.connect_client();
    harness.receive(client, &query_request("load", &request_id(1), ""));
    let (former, _) = harness.connects.remove(0);
    receive(
        &mut harness,
        RESOLVER,
        &dns_answer(&query, 9, &[("e1", 7, 0)]),
    );
    harness.handle_io(IoEvent::Connected(former));
    assert_eq!(
        harness.take_written(former),
        "",
        "written to the former address"
    );
    let (current, to) = harness.connects.remove(0);
    assert_eq!(to, address("127.1.0.7:6565"));
    harness.handle_io(IoEvent::Connected(current));
    assert!(harness.take_written(current).starts_with("REQ "));
    assert_eq!(
        harness.platform.violation_counts().total(),
        0,
        "an invariant check had to stop the write"
    );
}

#[test]
fn the_listener_stays_open_after_idle_clients_are_closed_even_if_the_process_was_suspended() {
    let mut harness = Harness::new(1);
    let (idle, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    // The process is suspended for 2 s, so that the timers of both shutdown phases are due in one turn of the event loop.
    harness.now += 2 * SECOND;
    harness.platform.handle_timers(harness.now);
    harness.run_effects();
    assert!(harness.closed.contains(&idle));
    assert!(
        harness.listening,
        "a client whose connection was closed may reconnect"
    );
    harness.advance(150_000);
    assert!(!harness.listening);
}

/// A new list adds a second executor with this start time; returns how many of 60 queries are sent to it.
fn queries_to_an_added_executor(started_ms: i64) -> usize {
    let mut harness = Harness::new(1);
    let query = harness.next_discovery_query();
    let mut answer = dns_answer(&query, 9, &[("e1", 1, 0), ("e2", 2, 0)]);
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
        let address_used = harness.executor_address(executor);
        count += usize::from(address_used == Some(address("127.1.0.2:6565")));
    }
    count
}

#[test]
fn slow_start_of_an_added_executor_does_not_depend_on_the_wall_clock() {
    // The clock of the harness starts at 1,000 s, and the list arrives 0.26 s later.
    let now_ms = 1_000_000;
    let correct = queries_to_an_added_executor(now_ms + 200);
    let hour_ms = 3_600_000;
    for (clock, started_ms) in [
        ("ahead", now_ms - hour_ms + 1),
        ("behind", now_ms + hour_ms),
    ] {
        let skewed = queries_to_an_added_executor(started_ms.max(1));
        assert!(
            skewed.abs_diff(correct) <= 3,
            "wall clock {clock}: {skewed} of 60, {correct} with a correct clock"
        );
    }
}

/// One of `count` controllers, with an executor that has just started and to which connects take long.
fn controller_with_cold_executor(index: u32, count: u32) -> Harness {
    let mut executor = executor_entry("e1", 1, "ready");
    executor["started_ms"] = 1.into();
    let mut text: serde_json::Value =
        serde_json::from_str(&config(vec![executor], 256)).expect("JSON");
    let settings = &mut text["settings"];
    settings["balancers"] = count.into();
    settings["me"] = index.into();
    // Late responses still have a value, so that no query is abandoned while it waits for a connection.
    settings["grades"][0]["late_value"] = 0.9.into();
    settings["ceilings"]["connect_timeout_us"] = (3 * SECOND).into();
    settings["family_info"]["tells_every_us"] = 0.into();
    settings["safety"]["tip_multiple"] = 10.0.into();
    let mut harness = Harness::with_config(&text.to_string());
    harness.confirmed_executors = Some(1);
    harness
}

fn send_burst(harness: &mut Harness, first_id: u64) -> Vec<ConnId> {
    let send = |n| {
        let client = harness.connect_client();
        let request = query_request("look", &request_id(n), "")
            .replace("Cost-Ms: 100.0", "Cost-Ms: 250.0")
            .replace("Timeout-Ms: 2000", "Timeout-Ms: 9000");
        harness.receive(client, &request);
        client
    };
    (first_id..first_id + 12).map(send).collect()
}

/// Answers the requests that were written to the executor and returns their number.
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

/// Guards against an overload of an executor in slow start. Each controller dispatches a burst within the limit of the current
/// window, but the connects complete late and all together, when the next window admits another burst. The two bursts must not both be
/// written in one window.
#[test]
fn connects_that_complete_together_do_not_exceed_the_limit_of_an_executor_in_slow_start() {
    for count in [20, 40, 60] {
        let mut controllers: Vec<Harness> = (0..count)
            .map(|index| controller_with_cold_executor(index, count))
            .collect();
        let mut written = 0;
        for harness in &mut controllers {
            // For the first 1.5 s the controller sends nothing to an executor that was cold when it started itself.
            harness.advance(SECOND * 16 / 10);
            send_burst(harness, 1);
            harness.advance(SECOND * 15 / 10);
            harness.complete_connects();
            let first_burst = serve_requests(harness);
            assert!(first_burst > 0, "of {count} controllers");
            harness.advance(SECOND / 10);
            send_burst(harness, 100);
            harness.complete_connects();
            written += first_burst + serve_requests(harness);
        }
        // The limit at 3.2 s is 10 x (0.4 + 0.6 x 0.32) x 8 cores x 1.5 s / 0.25 s = 284 requests; the margin is 2 x sqrt(284) + 2.
        assert!(written <= 319, "{written} of {count} controllers");
    }
}

/// Sends a burst to an executor in slow start and returns how many requests are written to it. The output is withdrawn this many times
/// before any of it is written.
fn written_after_withdrawals(withdrawals: usize) -> usize {
    let mut harness = controller_with_cold_executor(0, 20);
    harness.advance(2 * SECOND);
    harness.write_limit = Some(0);
    send_burst(&mut harness, 1);
    let connections = harness.complete_connects();
    for _ in 0..withdrawals {
        harness.now += SECOND / 10;
        for connection in &connections {
            harness
                .platform
                .withdraw_stale_output(harness.now, *connection);
        }
        harness.run_effects();
    }
    harness.write_limit = None;
    harness.now += SECOND / 10;
    for connection in &connections {
        harness
            .platform
            .withdraw_stale_output(harness.now, *connection);
    }
    harness.run_effects();
    serve_requests(&mut harness)
}

/// A request that was taken back before it was written, after a suspension, counted against the budget of its executor again each time
/// it was queued, so that others were not sent.
#[test]
fn a_request_that_is_taken_back_before_it_is_written_counts_once_against_slow_start() {
    let written = written_after_withdrawals(0);
    assert!(written > 0);
    assert_eq!(written_after_withdrawals(4), written);
}

/// Sends a burst to an executor, whose clients leave after the requests are in the output and before any byte of them is written.
fn abandon_burst(harness: &mut Harness, first_id: u64, connect_time: i64) {
    harness.write_limit = Some(0);
    let clients = send_burst(harness, first_id);
    harness.advance(connect_time);
    harness.complete_connects();
    for client in clients {
        harness.handle_io(IoEvent::ReadClosed(client));
    }
    harness.write_limit = None;
}

/// Sends a burst to an executor in slow start and returns how many requests are written to it. Two earlier bursts may have been
/// abandoned. Only the second of them counts in the window of the policy, as the first waited for its connections.
fn written_after_abandoned_bursts(has_abandoned_bursts: bool) -> usize {
    let mut harness = controller_with_cold_executor(0, 20);
    harness.advance(2 * SECOND);
    if has_abandoned_bursts {
        abandon_burst(&mut harness, 100, SECOND * 14 / 10);
        harness.advance(SECOND / 5);
        abandon_burst(&mut harness, 200, 0);
    }
    send_burst(&mut harness, 1);
    harness.complete_connects();
    harness.advance(SECOND / 100);
    serve_requests(&mut harness)
}

/// Regression test: a request that was given up before any byte of it was written stayed charged to the budget of its executor for a
/// whole window.
#[test]
fn a_request_that_is_given_up_before_it_is_written_does_not_count_against_slow_start() {
    let written = written_after_abandoned_bursts(false);
    assert!(written > 0);
    assert_eq!(written_after_abandoned_bursts(true), written);
}

/// A harness with a new client and an idle connection to the executor, on which writes accept no bytes until `write_limit` is reset.
fn harness_with_blocked_writes() -> (Harness, ConnId, ConnId) {
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

/// The process is suspended after a request was queued for writing and before the write.
#[test]
fn a_request_queued_before_a_suspension_is_written_afterwards_with_the_remaining_time_limit() {
    let (mut harness, client, executor) = harness_with_blocked_writes();
    harness.receive(client, &query_request("load", &request_id(2), ""));
    harness.write_limit = None;
    harness.now += SECOND;
    harness
        .platform
        .withdraw_stale_output(harness.now, executor);
    harness.run_effects();
    assert!(
        !harness.closed.contains(&executor),
        "the connection can still be used"
    );
    let request = harness.take_written(executor);
    assert_eq!(request.matches("REQ ").count(), 1, "{request}");
    let limit = request
        .split("limit=")
        .nth(1)
        .and_then(|rest| rest.split(',').next());
    assert_eq!(limit, Some("980"), "{request}");
}

/// The process is suspended at the same point until the client's timeout has passed. The request is not written, and this is not
/// counted as an invariant violation.
#[test]
fn a_request_queued_before_a_suspension_is_not_written_after_its_deadline() {
    let (mut harness, client, executor) = harness_with_blocked_writes();
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

/// Sends a request from a new client, and writes it to an executor. The controller processes nothing after that write.
fn forward_without_processing(harness: &mut Harness, request: &str) -> (ConnId, ConnId) {
    let client = harness.connect_client();
    harness.receive(client, request);
    let (executor, _) = harness.connects.remove(0);
    let now = harness.now;
    harness
        .platform
        .handle_io(now, IoEvent::Connected(executor));
    let mut effects = Vec::new();
    harness.platform.take_effects(&mut effects);
    for effect in effects {
        if let Effect::Write(id) = effect {
            let count = harness.platform.output(id).len();
            harness.platform.bytes_written(now, id, count);
        }
    }
    (client, executor)
}

/// Regression test: a list that was read right after a request was written took it for one that was never sent. The query was rejected
/// as one that had not run, and its client's second try ran it twice.
#[test]
fn a_request_written_right_before_its_executor_drains_may_have_run() {
    let mut harness = Harness::new(2);
    let query = harness.next_discovery_query();
    let (client, executor) =
        forward_without_processing(&mut harness, &query_request("load", &request_id(1), ""));
    let is_first = harness.executor_address(executor) == Some(address("127.1.0.1:6565"));
    let draining = [
        ("e1", 1, u16::from(is_first)),
        ("e2", 2, u16::from(!is_first)),
    ];
    harness.receive_discovery_answer(&dns_answer(&query, 9, &draining));
    assert!(harness.connects.is_empty(), "a second attempt");
    assert_eq!(harness.take_written(client), "");
    let result = "HIT pages=1,cost=100.0,meter=util:0.3 6\r\na\t1\tx\n\r\n";
    harness.receive(executor, &format!("{} {result}", request_id(1)));
    assert_eq!(status(&harness.take_written(client)), 200);
}

/// Regression test: a client that left right after its request was written ended the attempt as one that was never sent. The next query
/// of the key did not wait until the attempt can no longer be running.
#[test]
fn a_key_rests_if_its_client_leaves_right_after_the_request_was_written() {
    let mut config: serde_json::Value =
        serde_json::from_str(&config(vec![executor_entry("e1", 1, "ready")], 256)).expect("JSON");
    config["settings"]["grades"][0]["in_order"] = true.into();
    config["settings"]["safety"]["order_pause_us"] = 800_000.into();
    let mut harness = Harness::with_config(&config.to_string());
    let key = "X-Object: item-1\r\n";
    let (client, executor) =
        forward_without_processing(&mut harness, &query_request("look", &request_id(1), key));
    harness
        .platform
        .handle_io(harness.now, IoEvent::ReadClosed(client));
    let next = harness.connect_client();
    harness.receive(next, &query_request("look", &request_id(2), key));
    assert_eq!(
        harness.take_written(executor),
        format!("STOP {}\r\n", request_id(1))
    );
    harness.advance(799_999);
    assert_eq!(harness.take_request(), None);
    harness.advance(1);
    assert!(harness.take_request().is_some(), "not sent after the rest");
}
