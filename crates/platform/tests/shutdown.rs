//! Graceful shutdown: which clients are still served, and when the controller stops.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, Protocol};

#[test]
fn a_shutdown_fails_health_checks_and_still_serves_clients_that_have_not_noticed_it() {
    let mut harness = Harness::new(1);
    let probe = harness.connect_client();
    harness.receive(probe, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status(&harness.take_written(probe)), 200);
    let (first, executor, _) = harness.forward_query("look", &request_id(1));
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    harness.advance(500_000);
    assert!(harness.listening && !harness.stopped);
    let late = harness.connect_client();
    harness.receive(late, &query_request("look", &request_id(2), ""));
    let second = harness.complete_connects()[0];
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(first)), 200);
    harness.receive(probe, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(status(&harness.take_written(probe)), 503);
    harness.advance(600_000);
    assert!(
        !harness.listening && !harness.stopped,
        "one response is outstanding"
    );
    assert!(harness.closed.contains(&first) && !harness.closed.contains(&late));
    harness.receive(second, &format!("{} HIT pages=1 0\r\n\r\n", request_id(2)));
    assert_eq!(status(&harness.take_written(late)), 200);
    harness.advance(200_000);
    assert!(harness.stopped);
}

/// After the grace period, the process may be killed once 3 s, or the longest deadline if that is shorter, have passed. All queries
/// must be answered before that, whatever their timeouts.
#[test]
fn queries_in_flight_are_answered_before_the_process_may_be_killed() {
    let long_query = |class: &str, n: u64| {
        let request = query_request(class, &request_id(n), "")
            .replace("Timeout-Ms: 2000", "Timeout-Ms: 30000");
        request.replace("Cost-Ms: 100.0", "Cost-Ms: 9000.0")
    };
    let mut harness = Harness::new(2);
    let mut waiting: Vec<(ConnId, u16)> = Vec::new();
    let mut send_query = |harness: &mut Harness, class: &str, n: u64| {
        let client = harness.connect_client();
        harness.receive(client, &long_query(class, n));
        harness.complete_connects();
        waiting.push((client, if class == "look" { 503 } else { 500 }));
    };
    send_query(&mut harness, "look", 1);
    send_query(&mut harness, "load", 2);
    let executors: Vec<_> = harness.written.keys().copied().collect();
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    // Both executors report progress.
    let report_progress = |harness: &mut Harness, times: u32| {
        for _ in 0..times {
            harness.advance(250_000);
            let running: Vec<_> = harness.written.keys().copied().collect();
            for connection in running {
                for n in 1..=3 {
                    harness.receive(
                        connection,
                        &format!("{} INFO tell=pct,v=0.3 0\r\n\r\n", request_id(n)),
                    );
                }
            }
        }
    };
    report_progress(&mut harness, 2);
    // A query that arrives during the shutdown has the same deadline.
    send_query(&mut harness, "look", 3);
    report_progress(&mut harness, 12);
    assert!(
        waiting
            .iter()
            .all(|(client, _)| !harness.written.contains_key(client)),
        "a query was answered too early"
    );
    harness.advance(190_000);
    for (client, expected) in waiting {
        let response = harness.take_written(client);
        assert_eq!(status(&response), expected, "{response}");
    }
    assert!(
        executors
            .iter()
            .all(|connection| harness.take_written(*connection).contains("STOP ")),
        "a cancellation is missing"
    );
    harness.advance(200_000);
    assert!(harness.stopped);
}

/// When the listener closes, no response is outstanding. Clients accepted from the backlog at that moment must still be answered.
#[test]
fn clients_accepted_as_the_listener_closes_are_answered_before_the_controller_stops() {
    let mut harness = Harness::new(1);
    harness.backlog = vec![
        "GET /health HTTP/1.1\r\n\r\n".to_string(),
        query_request("look", &request_id(1), ""),
    ];
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    harness.advance(800_000);
    assert!(
        !harness.listening && !harness.stopped,
        "two responses are outstanding"
    );
    let [health_client, query_client] = harness.accepted_late[..] else {
        panic!("expected two accepted clients")
    };
    assert_eq!(status(&harness.take_written(health_client)), 503);
    let executor = harness.complete_connects()[0];
    assert!(harness.take_written(executor).starts_with("REQ "));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(query_client)), 200);
    harness.advance(200_000);
    assert!(harness.stopped);
}

/// A client sends a request at the moment the shutdown closes its idle connection, and repeats it on a new connection.
#[test]
fn a_client_closed_at_shutdown_may_reconnect_and_has_time_to_send_its_request() {
    let mut harness = Harness::new(1);
    let (idle, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(idle)), 200);
    harness.platform.begin_shutdown(harness.now);
    harness.run_effects();
    harness.advance(700_000);
    assert!(harness.closed.contains(&idle) && harness.listening);
    harness.advance(45_000);
    let reconnected = harness.connect_client();
    harness.receive(reconnected, &query_request("look", &request_id(2), ""));
    assert!(harness.take_written(executor).starts_with("REQ "));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(2)),
    );
    assert_eq!(status(&harness.take_written(reconnected)), 200);
    harness.advance(45_000);
    let (late_client, silent) = (harness.connect_client(), harness.connect_client());
    harness.advance(10_000);
    assert!(!harness.listening && !harness.stopped);
    harness.advance(35_000);
    assert!(
        !harness.closed.contains(&late_client) && !harness.stopped,
        "the request of this client may still arrive"
    );
    harness.receive(late_client, &query_request("look", &request_id(3), ""));
    assert!(harness.take_written(executor).starts_with("REQ "));
    harness.advance(100_000);
    assert!(
        harness.closed.contains(&silent) && !harness.stopped,
        "one response is outstanding"
    );
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(3)),
    );
    assert_eq!(status(&harness.take_written(late_client)), 200);
    harness.run_effects();
    assert!(harness.stopped);
}
