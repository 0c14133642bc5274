//! HTTP clients of the controller: valid requests, each kind of invalid request, disconnects, timeouts and eviction.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol};

#[test]
fn a_query_is_forwarded_and_its_pages_arrive_as_one_response() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    // The request arrives in pieces.
    for chunk in query_request("look", &request_id(1), "X-Need-Mb: 96\r\nX-Retry: 1\r\n")
        .as_bytes()
        .chunks(7)
    {
        harness.receive_bytes(client, chunk);
    }
    let executor = harness.complete_connects()[0];
    let request = harness.take_written(executor);
    let (line, rest) = request.split_once("\r\n").expect("a line");
    assert!(
        line.starts_with(&format!("REQ {} cls=look,limit=1980,prio=", request_id(1))),
        "{line}"
    );
    assert!(line.ends_with(" 35"), "{line}");
    assert_eq!(rest, "SELECT a, b, c FROM sales_17.orders\r\n");
    harness.receive(
        executor,
        &format!("{} INFO tell=pct,v=0.5 0\r\n\r\n", request_id(1)),
    );
    harness.receive(
        executor,
        &format!(
            "{} HIT pages=3,cost=81.5,need=90,meter=util:0.61 6\r\na\t1\tx\n\r\n",
            request_id(1)
        ),
    );
    assert_eq!(
        harness.take_written(executor),
        format!("FETCH {0} 1\r\nFETCH {0} 2\r\n", request_id(1))
    );
    // Pages arrive out of order, and one of them twice.
    for page in [2, 1, 1] {
        harness.receive(
            executor,
            &format!(
                "{} PART page={page} 7\r\n\"{page}\t\t\u{e9}\n\r\n",
                request_id(1)
            ),
        );
    }
    let answer = harness.take_written(client);
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(
        answer.ends_with(
            "\r\n\r\n{\"batch\":[[\"a\",\"1\",\"x\"],[\"\\\"1\",\"\",\"é\"],[\"\\\"2\",\"\",\"é\"]]}"
        ),
        "{answer}"
    );
    assert_eq!(
        harness.take_written(executor),
        format!("END {}\r\n", request_id(1))
    );
    // Both connections are reused.
    harness.receive(client, &query_request("look", &request_id(2), ""));
    assert!(harness.take_written(executor).starts_with("REQ ") && harness.connects.is_empty());
}

/// Regression test: the headers `X-Object` and `Idempotency-Key` were not parsed.
#[test]
fn an_idempotency_key_is_forwarded_unchanged_and_queries_of_a_key_run_in_order() {
    let text = config(
        vec![
            executor_entry("e1", 1, "ready"),
            executor_entry("e2", 2, "ready"),
        ],
        256,
    );
    let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    json["settings"]["grades"][1]["in_order"] = true.into();
    json["settings"]["safety"]["order_pause_us"] = 300_000.into();
    let mut harness = Harness::with_config(&json.to_string());
    let first = harness.connect_client();
    harness.receive(
        first,
        &query_request(
            "load",
            &request_id(1),
            "X-Tenant: nobody\r\nX-Object: rel-7\r\nIdempotency-Key: a5/+=9\r\n",
        ),
    );
    let executor = harness.complete_connects()[0];
    let request = harness.take_written(executor);
    assert!(request.contains(",nonce=a5/+=9 35\r\n"), "{request}");
    // A second query with the same key waits for the first one; a query with another key does not.
    let second = harness.connect_client();
    harness.receive(
        second,
        &query_request("load", &request_id(2), "X-Object: rel-7\r\n"),
    );
    harness.advance(100_000);
    assert!(harness.connects.is_empty() && harness.take_written(executor).is_empty());
    let other = harness.connect_client();
    harness.receive(
        other,
        &query_request("load", &request_id(3), "X-Object: rel-8\r\n"),
    );
    let other_executor = harness.complete_connects()[0];
    assert!(harness
        .take_written(other_executor)
        .starts_with(&format!("REQ {} ", request_id(3))));
    // A query whose client disconnects while it waits for an earlier query of its key is never sent.
    let third = harness.connect_client();
    harness.receive(
        third,
        &query_request("load", &request_id(4), "X-Object: rel-7\r\n"),
    );
    harness.handle_io(IoEvent::PeerClosing(second));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    harness.advance(600_000);
    assert_eq!(status(&harness.take_written(first)), 200);
    harness.complete_connects();
    let (_, request) = harness
        .take_request()
        .expect("the next query of the key was sent");
    assert!(
        request.starts_with(&format!("REQ {} ", request_id(4))),
        "{request}"
    );
    assert!(!request.contains("nonce") && harness.take_request().is_none());
}

/// Invalid requests after which the connection stays open, and the status of their response.
fn requests_with_invalid_content() -> Vec<(String, u16)> {
    let valid = query_request("look", &request_id(1), "");
    let with = |part: &str, replacement: &str| valid.replace(part, replacement);
    vec![
        (with("/rpc/look", "/rpc/nothing"), 404),
        (with("/rpc/look", "/rpc/"), 404),
        (with("/rpc/look", "/elsewhere"), 404),
        (with("POST /rpc/look", "PUT /rpc/look"), 405),
        ("GET /rpc/look/1 HTTP/1.1\r\n\r\n".into(), 404),
        ("DELETE /any HTTP/1.1\r\n\r\n".into(), 404),
        (with(&request_id(1), "xyz"), 400),
        (with(&request_id(1), &"0".repeat(17)), 400),
        (with("X-Request-Id", "X-Other"), 400),
        (
            with("Host: x", &format!("X-Request-Id: {}", request_id(2))),
            400,
        ),
        (with("Timeout-Ms: 2000", "Timeout-Ms: -1"), 400),
        (with("Timeout-Ms: 2000", "Timeout-Ms: 0"), 400),
        (with("Timeout-Ms: 2000", "Timeout-Ms: soon"), 400),
        (with("Timeout-Ms: 2000", "Timeout-Ms: 99999999999999"), 400),
        (with("X-Timeout-Ms: 2000\r\n", ""), 400),
        (with("Cost-Ms: 100.0", "Cost-Ms: 1e300"), 400),
        (with("Cost-Ms: 100.0", "Cost-Ms: NaN"), 400),
        (with("Cost-Ms: 100.0", "Need-Mb: -3"), 400),
        (with("Cost-Ms: 100.0", "Retry: 7"), 400),
        (
            with("Cost-Ms: 100.0", "Cost-Ms: 100.0\r\nX-Object: a,prio=3"),
            400,
        ),
        (
            with("Cost-Ms: 100.0", "Cost-Ms: 100.0\r\nIdempotency-Key: a b"),
            400,
        ),
        (
            with(
                "Cost-Ms: 100.0",
                &format!("Cost-Ms: 100.0\r\nX-Tenant: {}", "t".repeat(129)),
            ),
            400,
        ),
        (with("Host: x", "X-Object: a\r\nX-Object: b"), 400),
        (
            with("SELECT a, b, c FROM sales_17.orders", &" ".repeat(35)),
            400,
        ),
    ]
}

/// Invalid requests after which the stream cannot be parsed any further, so that the connection is closed, and the status of their
/// response.
fn requests_with_invalid_framing() -> Vec<(String, u16)> {
    let valid = query_request("look", &request_id(1), "");
    let with = |part: &str, replacement: &str| valid.replace(part, replacement);
    let long = "x".repeat(9000);
    vec![
        (with("Content-Length: 35", "Content-Length: -35"), 400),
        (
            with(
                "Content-Length: 35",
                "Content-Length: 35\r\nContent-Length: 35",
            ),
            400,
        ),
        (
            with(
                "Content-Length: 35",
                "Content-Length: 35\r\nTransfer-Encoding: chunked",
            ),
            400,
        ),
        (
            with("Content-Length: 35", "Transfer-Encoding: chunked"),
            411,
        ),
        (with("Content-Length: 35\r\n", ""), 411),
        (with("Content-Length: 35", "Content-Length: 62914560"), 413),
        (
            with(
                "Content-Length: 35",
                "Content-Length: 99999999999999999999999",
            ),
            413,
        ),
        (with("Host: x", &format!("Host: {long}")), 431),
        ("\u{1}\u{2} nonsense\r\n\r\n".into(), 400),
    ]
}

/// Sends an invalid request from a new client and checks its response.
fn send_invalid_request(
    harness: &mut Harness,
    request: &str,
    expected_status: u16,
) -> (ConnId, String) {
    let client = harness.connect_client();
    harness.receive(client, request);
    let response = harness.take_written(client);
    assert_eq!(status(&response), expected_status, "{request}");
    assert!(!response.contains("TryLater"), "{request}");
    assert!(
        harness.connects.is_empty(),
        "sent to an executor: {request}"
    );
    (client, response)
}

#[test]
fn an_invalid_request_gets_its_status_and_is_not_forwarded() {
    for (request, expected_status) in requests_with_invalid_content() {
        let mut harness = Harness::new(1);
        let (client, response) = send_invalid_request(&mut harness, &request, expected_status);
        assert!(!response.contains("Connection: close"), "{request}");
        // The next request on the connection is served.
        harness.receive(client, &query_request("look", &request_id(9), ""));
        assert_eq!(harness.connects.len(), 1, "{request}");
    }
    for (request, expected_status) in requests_with_invalid_framing() {
        let mut harness = Harness::new(1);
        let (client, response) = send_invalid_request(&mut harness, &request, expected_status);
        assert!(response.contains("Connection: close"), "{request}");
        // Later bytes are not parsed as a request, and the connection is closed.
        harness.receive(client, &query_request("look", &request_id(9), ""));
        harness.advance(1_000_000);
        assert!(
            harness.connects.is_empty() && harness.closed.contains(&client),
            "{request}"
        );
    }
}

#[test]
fn a_request_id_that_is_or_was_in_use_is_rejected() {
    let mut harness = Harness::new(1);
    let (_, executor, _) = harness.forward_query("load", &request_id(1));
    let other = harness.connect_client();
    for statement in [
        "SELECT a, b, c FROM sales_17.orders",
        "SELECT x, y, z FROM sales_17.orders",
    ] {
        let request = query_request("load", &request_id(1), "")
            .replace("SELECT a, b, c FROM sales_17.orders", statement);
        harness.receive(other, &request);
        assert_eq!(status(&harness.take_written(other)), 409);
    }
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    harness.receive(other, &query_request("load", &request_id(1), ""));
    assert_eq!(status(&harness.take_written(other)), 409);
    assert_eq!(harness.take_written(executor), "", "sent again");
}

#[test]
fn a_client_that_disconnects_cancels_its_attempt_or_its_partial_request() {
    let mut harness = Harness::new(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    harness.handle_io(IoEvent::PeerClosing(client));
    assert_eq!(
        harness.take_written(executor),
        format!("STOP {}\r\n", request_id(1))
    );
    harness.receive(
        executor,
        &format!("{} HIT pages=1 6\r\na\t1\tx\n\r\n", request_id(1)),
    );
    assert!(harness.closed.contains(&client) && harness.take_written(client).is_empty());
    let partial = harness.connect_client();
    harness.receive(partial, &query_request("look", &request_id(2), "")[..150]);
    harness.handle_io(IoEvent::ReadClosed(partial));
    assert!(harness.closed.contains(&partial) && harness.take_written(executor).is_empty());
}

#[test]
fn clients_without_a_complete_request_are_closed_and_active_ones_are_kept() {
    let mut harness = Harness::with_name_service(1);
    let (active, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(active)), 200);
    let (silent, slow) = (harness.connect_client(), harness.connect_client());
    harness.receive(slow, "POST /rpc/look HTTP/1.1\r\n");
    harness.advance(2_800_000);
    assert!(harness.closed.contains(&silent) && !harness.closed.contains(&active));
    assert_eq!(status(&harness.take_written(slow)), 408);
    // When connections run out, clients that never sent a request are evicted before one that has.
    let new_clients: Vec<_> = (0..600)
        .map(|_| {
            harness.now += 100;
            harness.connect_client()
        })
        .collect();
    assert!(!harness.closed.contains(&active));
    assert!(
        harness.closed.contains(&new_clients[0]) && !harness.closed.contains(&new_clients[599])
    );
    harness.receive(active, &query_request("look", &request_id(2), ""));
    assert!(harness.take_written(executor).starts_with("REQ "));
}

#[test]
fn a_query_at_its_deadline_is_failed_or_rejected_before_its_client_times_out() {
    for class in ["look", "load"] {
        let mut harness = Harness::new(1);
        let (client, _, _) = harness.forward_query(class, &request_id(1));
        harness.advance(1_995_000);
        let answer = harness.take_written(client);
        // "Try later" invites the client to repeat the query, which is safe after a possible execution only if it is idempotent.
        assert_eq!(
            status(&answer),
            if class == "look" { 503 } else { 500 },
            "{answer}"
        );
        assert_eq!(answer.contains("TryLater"), class == "look");
    }
}

#[test]
fn many_idempotent_queries_do_not_evict_the_id_of_an_at_most_once_query() {
    let mut harness = Harness::with_name_service(1);
    let (client, executor, _) = harness.forward_query("load", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(client)), 200);
    for n in 2..8_400 {
        harness.receive(client, &query_request("look", &request_id(n), ""));
        harness.advance(1_000);
        harness.receive(
            executor,
            &format!("{} HIT pages=1 0\r\n\r\n", request_id(n)),
        );
        assert_eq!(status(&harness.take_written(client)), 200, "query {n}");
    }
    harness.take_written(executor);
    harness.receive(client, &query_request("load", &request_id(1), ""));
    assert_eq!(status(&harness.take_written(client)), 409);
    assert_eq!(harness.take_written(executor), "", "sent again");
}

#[test]
fn clients_that_disconnect_while_waiting_are_counted_and_nothing_is_sent_for_them() {
    let mut harness = Harness::new(1);
    let (running, executor, _) = harness.forward_query("look", &request_id(1));
    let waiting = harness.connect_client();
    harness.receive(waiting, &query_request("look", &request_id(2), ""));
    assert_eq!(harness.connects.len(), 1);
    harness.handle_io(IoEvent::PeerClosing(waiting));
    harness.handle_io(IoEvent::PeerClosing(running));
    harness.advance(100_000);
    let connected = harness.complete_connects()[0];
    harness.advance(400_000);
    assert!(harness.take_written(connected).is_empty());
    assert_eq!(
        harness.take_written(executor),
        format!("STOP {}\r\n", request_id(1))
    );
    let abandoned = harness.platform.abandonment_counts();
    assert_eq!(
        (
            abandoned.waiting,
            abandoned.forwarded,
            abandoned.forwarded_late
        ),
        (1, 0, 0)
    );
}

/// The client that has been idle longest is evicted for a new client at the moment it sends a request. It repeats the request with
/// the same id on a new connection.
#[test]
fn a_request_sent_while_its_connection_is_evicted_is_served_when_repeated() {
    let mut harness = Harness::with_config(&config(vec![executor_entry("e1", 1, "ready")], 64));
    let (idle, executor, _) = harness.forward_query("load", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(idle)), 200);
    harness.now += 1_000;
    // All other clients have a query in flight.
    for n in 2..18 {
        let client = harness.connect_client();
        harness.receive(client, &query_request("look", &request_id(n), ""));
    }
    assert!(harness.closed.contains(&idle));
    harness.receive(idle, &query_request("load", &request_id(99), ""));
    for _ in 2..18 {
        harness.complete_connects();
        while let Some((connection, _)) = harness.take_request() {
            (2..18).for_each(|n| {
                harness.receive(
                    connection,
                    &format!("{} HIT pages=1 0\r\n\r\n", request_id(n)),
                )
            });
        }
    }
    let reconnected = harness.connect_client();
    harness.receive(reconnected, &query_request("load", &request_id(99), ""));
    harness.complete_connects();
    let (_, request) = harness.take_request().expect("sent to an executor");
    assert!(
        request.contains(&format!("REQ {} ", request_id(99))),
        "{request}"
    );
}

/// A client disconnects in the same turn of the event loop in which a timer would dispatch its query.
#[test]
fn a_disconnect_is_handled_before_timers_due_in_the_same_turn() {
    for (case, due_after) in [
        ("a connect that times out", 250_000),
        ("the retry delay after a reset", 20_000),
    ] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        harness.receive(client, &query_request("look", &request_id(1), ""));
        if due_after == 20_000 {
            let executor = harness.complete_connects()[0];
            assert!(harness.take_written(executor).starts_with("REQ "));
            harness.handle_io(IoEvent::ConnectionFailed {
                id: executor,
                writing: false,
                cause: FailureCause::ConnectionLost,
                reason: "reset",
            });
            assert!(
                harness.connects.is_empty(),
                "the executor may not have noticed the reset yet"
            );
        } else {
            assert_eq!(harness.connects.len(), 1);
        }
        harness.now += due_after;
        harness
            .platform
            .handle_io(harness.now, IoEvent::PeerClosing(client));
        harness.platform.handle_timers(harness.now);
        harness.run_effects();
        harness
            .connects
            .retain(|(connection, _)| !harness.closed.contains(connection));
        harness.complete_connects();
        harness.advance(500_000);
        harness.complete_connects();
        assert!(harness.take_request().is_none(), "{case}");
        assert_eq!(harness.platform.abandonment_counts().waiting, 1, "{case}");
    }
}

/// All client connections are taken by clients that keep them open. New clients that have not sent a request yet must not evict each
/// other.
#[test]
fn new_clients_have_time_to_send_a_request_when_all_connections_are_taken() {
    let mut harness = Harness::with_config(&config(vec![executor_entry("e1", 1, "ready")], 64));
    harness.confirmed_executors = Some(1);
    let idle_clients: Vec<ConnId> = (0..16)
        .map(|n| {
            let client = harness.connect_client();
            harness.receive(client, "GET /health HTTP/1.1\r\n\r\n");
            assert_eq!(status(&harness.take_written(client)), 200);
            harness.advance(if n == 7 { 1_000_000 } else { 1_000 });
            client
        })
        .collect();
    harness.advance(3_500_000);
    // The first eight clients have exceeded the idle timeout and are evicted first, then clients that have not sent a request yet.
    let (first, second) = (harness.connect_client(), harness.connect_client());
    assert_eq!(harness.closed, idle_clients[..2]);
    let more: Vec<ConnId> = (0..6).map(|_| harness.connect_client()).collect();
    assert_eq!(harness.closed, idle_clients[..8]);
    harness.receive(second, &query_request("look", &request_id(1), ""));
    harness.complete_connects();
    let (executor, _) = harness.take_request().expect("forwarded");
    let one_more = harness.connect_client();
    assert_eq!(harness.closed[8..], [first]);
    // A client that has already disconnected is evicted before any other.
    harness
        .platform
        .handle_io(harness.now, IoEvent::ReadClosed(idle_clients[15]));
    let last = harness.connect_client();
    assert_eq!(harness.closed[9..], [idle_clients[15]]);
    assert!([&more[..], &[one_more, last]]
        .concat()
        .iter()
        .all(|c| !harness.closed.contains(c)));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(second)), 200);
}

#[test]
fn metrics_include_counters_and_violations_by_guard() {
    let mut harness = Harness::new(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(1)),
    );
    assert_eq!(status(&harness.take_written(client)), 200);
    harness.receive(client, "GET /metrics HTTP/1.1\r\n\r\n");
    let metrics = harness.take_written(client);
    assert_eq!(status(&metrics), 200);
    for guard in ["sending", "repeating", "closing", "starting"] {
        let line = format!("wheelfield_invariant_violations_total{{guard=\"{guard}\"}} 0\n");
        assert!(metrics.contains(&line), "{line} in {metrics}");
    }
    assert!(metrics.contains("wheelfield_queries_total{result=\"served\"} 1\n"));
    assert_eq!(harness.platform.violation_counts().total(), 0);
}
