//! Connections to executors: valid and invalid responses, cancellations, retries and failing connections.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol};

fn hit(n: u64) -> String {
    format!(
        "{} HIT pages=1,cost=100.0,meter=util:0.3 6\r\na\t1\tx\n\r\n",
        request_id(n)
    )
}

/// An invalid response is never forwarded to the client.
#[test]
fn an_invalid_response_closes_its_connection_and_an_idempotent_query_is_retried() {
    let id = request_id(1);
    let invalid: &[String] = &[
        "noise\r\n".into(),
        "\r\n".into(),
        "\n".into(),
        format!("{id} HIT pages=1 6\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=1 3000000000\r\na\t1\tx\n"),
        format!("{id} HIT pages=1 -6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=1 5\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=1 7\r\na\t1\tx\n\r\n\r\n"),
        format!("{id} HIT pages 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=0 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=1e9 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=1.5 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=-1 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=two 6\r\na\t1\tx\n\r\n"),
        format!("{id} HIT pages=2 6\r\na\t1\tx\n\r\n{id} PART page=1.5 6\r\nb\t2\ty\n\r\n"),
        format!("{id} HIT pages=1 4\r\na\t1\n\r\n"),
        format!("{id} HIT pages=1 5\r\na\t1\tx\r\n"),
        format!("{id} WHAT - 0\r\n\r\n"),
        format!("{id} HIT {}", "x".repeat(2000)),
    ];
    for answer in invalid {
        for class in ["look", "load"] {
            let mut harness = Harness::new(1);
            let (client, executor, _) = harness.forward_query(class, &id);
            harness.receive(executor, answer);
            assert!(harness.closed.contains(&executor), "{answer:?}");
            harness.advance(30_000);
            let retries = harness.complete_connects();
            assert_eq!(retries.len(), usize::from(class == "look"), "{answer:?}");
            match retries.first() {
                Some(other) => {
                    assert!(harness
                        .take_written(*other)
                        .starts_with(&format!("REQ {id} ")));
                    harness.receive(*other, &hit(1));
                    assert_eq!(status(&harness.take_written(client)), 200);
                }
                // The query may have run and must not run twice.
                None => assert_eq!(status(&harness.take_written(client)), 500, "{answer:?}"),
            }
        }
    }
}

#[test]
fn an_incomplete_response_is_abandoned_long_before_the_deadline() {
    for start in ["HIT pages=1 600\r\na\t1", "HIT pages=2 6\r\na\t1\tx\n\r\n"] {
        let mut harness = Harness::new(1);
        let (_, executor, _) = harness.forward_query("look", &request_id(1));
        harness.receive(executor, &format!("{} {start}", request_id(1)));
        harness.advance(400_000);
        assert!(!harness.closed.contains(&executor));
        harness.advance(300_000);
        assert!(harness.closed.contains(&executor));
        assert_eq!(harness.complete_connects().len(), 1, "not retried");
    }
}

#[test]
fn unmatched_and_duplicate_responses_are_dropped_and_the_connection_stays() {
    let mut harness = Harness::new(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    harness.receive(executor, &hit(77));
    harness.receive(
        executor,
        &format!("{} PART page=1 6\r\nz\t1\tx\n\r\n", request_id(1)),
    );
    harness.receive(
        executor,
        &format!("not-an-id FAULT - 0\r\n\r\n{}{}", hit(1), hit(1)),
    );
    let answer = harness.take_written(client);
    assert!(
        answer.ends_with("{\"batch\":[[\"a\",\"1\",\"x\"]]}"),
        "{answer}"
    );
    assert!(!harness.closed.contains(&executor));
    harness.receive(client, &query_request("look", &request_id(2), ""));
    assert!(harness.take_written(executor).starts_with("REQ "));
}

/// Regression test: copies of a response were read as long as they came, so that one executor took the whole event loop.
#[test]
fn an_executor_that_repeats_a_response_without_end_is_disconnected() {
    let mut harness = Harness::new(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    let mut copies = 0;
    while !harness.closed.contains(&executor) {
        harness.receive(executor, &hit(1));
        copies += 1;
        assert!(copies < 1_000, "{copies} copies");
    }
    assert_eq!(status(&harness.take_written(client)), 200);
    // Another connection is opened for the next query.
    harness.receive(client, &query_request("look", &request_id(2), ""));
    let reconnected = harness.complete_connects();
    assert!(harness.take_written(reconnected[0]).starts_with("REQ "));
}

#[test]
fn queries_that_did_not_run_are_rejected_and_failed_ones_get_an_error() {
    for (word, expected) in [("SHED", 503), ("LATE", 503), ("FAULT", 500)] {
        let mut harness = Harness::new(1);
        let (client, executor, _) = harness.forward_query("load", &request_id(1));
        harness.receive(executor, &format!("{} {word} - 0\r\n\r\n", request_id(1)));
        // Requests that were rejected or reached the executor too late are retried a few times.
        for _ in 0..3 {
            harness.advance(100_000);
            if harness.take_written(executor).contains("REQ ") {
                harness.receive(executor, &format!("{} {word} - 0\r\n\r\n", request_id(1)));
            }
        }
        harness.advance(2_000_000);
        assert_eq!(status(&harness.take_written(client)), expected, "{word}");
    }
}

#[test]
fn a_query_whose_connect_is_refused_or_times_out_may_be_retried_by_its_client() {
    for times_out in [false, true] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        harness.receive(client, &query_request("load", &request_id(1), ""));
        let (connection, _) = harness.connects.remove(0);
        if times_out {
            harness.advance(240_000);
            assert!(!harness.closed.contains(&connection));
            harness.advance(20_000);
        } else {
            harness.handle_io(IoEvent::ConnectionFailed {
                id: connection,
                writing: true,
                cause: FailureCause::ConnectRefused,
                reason: "refused",
            });
        }
        assert!(harness.closed.contains(&connection));
        let answer = harness.take_written(client);
        assert!(answer.is_empty() || answer.contains("TryLater"), "{answer}");
    }
}

/// Regression test: a retry was sent on another connection and overtook the cancellation of the first attempt.
#[test]
fn a_retry_at_the_same_executor_follows_the_cancellation() {
    let mut harness = Harness::new(1);
    let (_, spare, _) = harness.forward_query("look", &request_id(1));
    let (_, executor, _) = harness.forward_query("look", &request_id(2));
    assert_ne!(spare, executor);
    // The other connection becomes idle, and would be preferred for a new request.
    harness.advance(100_000);
    harness.receive(spare, &hit(1));
    harness.advance(600_000);
    // The reported progress is far behind the estimate, so that the policy retries the query.
    harness.receive(
        executor,
        &format!("{} INFO tell=pct,v=0.01 0\r\n\r\n", request_id(2)),
    );
    harness.advance(300_000);
    let written = harness.take_written(executor);
    assert!(
        written.starts_with(&format!("STOP {0}\r\nREQ {0} ", request_id(2))),
        "{written}"
    );
    assert_eq!(harness.take_written(spare), "");
    // Both attempts have the same id, so the response may belong to either; the other attempt is cancelled.
    harness.receive(executor, &hit(2));
    assert_eq!(
        harness.take_written(executor),
        format!("STOP {}\r\n", request_id(2))
    );
}

/// Regression test: an executor whose connections failed as they were established was considered dead, and afterwards restarted.
#[test]
fn a_connection_lost_as_it_is_established_does_not_count_as_a_failure_of_its_executor() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.receive(client, &query_request("load", &request_id(1), ""));
    for _ in 0..3 {
        let (connection, _) = harness.connects.remove(0);
        harness.handle_io(IoEvent::ConnectionFailed {
            id: connection,
            writing: true,
            cause: FailureCause::ConnectionLost,
            reason: "reset",
        });
        assert_eq!(
            harness.connects.len(),
            1,
            "no connect to replace the lost one"
        );
    }
    let executor = harness.complete_connects()[0];
    assert!(harness.take_written(executor).starts_with("REQ "));
    harness.receive(executor, &hit(1));
    assert_eq!(status(&harness.take_written(client)), 200);
}

/// The request is written to an idle connection at once, without another connect.
#[test]
fn an_attempt_whose_connection_is_lost_as_it_is_established_uses_an_idle_one() {
    let mut harness = Harness::new(1);
    let (_, idle, _) = harness.forward_query("look", &request_id(1));
    let client = harness.connect_client();
    harness.receive(client, &query_request("look", &request_id(2), ""));
    let (connecting, _) = harness.connects.remove(0);
    harness.receive(idle, &hit(1));
    harness.take_written(idle);
    harness.handle_io(IoEvent::ConnectionFailed {
        id: connecting,
        writing: true,
        cause: FailureCause::ConnectionLost,
        reason: "reset",
    });
    assert!(
        harness.connects.is_empty()
            && harness
                .take_written(idle)
                .starts_with(&format!("REQ {} ", request_id(2)))
    );
}

#[test]
fn a_completely_written_request_may_have_run_and_a_partly_written_one_has_not() {
    for (complete, expected) in [(true, 500), (false, 503)] {
        let mut harness = Harness::new(1);
        harness.write_limit = (!complete).then_some(30);
        let client = harness.connect_client();
        harness.receive(client, &query_request("load", &request_id(1), ""));
        let executor = harness.complete_connects()[0];
        harness.handle_io(IoEvent::ConnectionFailed {
            id: executor,
            writing: false,
            cause: FailureCause::ConnectionLost,
            reason: "reset",
        });
        harness.connects.clear();
        harness.advance(3_000_000);
        assert_eq!(status(&harness.take_written(client)), expected);
    }
}

/// The executor starts to drain while the request is in the output buffer of its connection.
#[test]
fn an_attempt_cancelled_before_its_first_byte_is_never_sent() {
    let mut harness = Harness::new(1);
    harness.write_limit = Some(0);
    let client = harness.connect_client();
    harness.receive(client, &query_request("load", &request_id(1), ""));
    let executor = harness.complete_connects()[0];
    let query = harness.next_discovery_query();
    harness.write_limit = None;
    harness.receive_discovery_answer(&dns_answer(&query, 9, &[("e1", 1, 1), ("e2", 2, 0)]));
    assert!(harness.closed.contains(&executor) && harness.take_written(executor).is_empty());
    let other = harness.complete_connects()[0];
    assert!(
        harness.take_written(other).starts_with("REQ "),
        "not sent to the other executor"
    );
}

#[test]
fn requests_share_connections_when_descriptors_are_scarce() {
    let mut harness = Harness::with_config(&config(vec![executor_entry("e1", 1, "ready")], 64));
    let mut open: Vec<ConnId> = Vec::new();
    for n in 1..=16 {
        let client = harness.connect_client();
        harness.receive(client, &query_request("look", &request_id(n), ""));
        harness.complete_connects();
        open.push(client);
    }
    let connections: std::collections::BTreeSet<ConnId> = harness.written.keys().copied().collect();
    assert!(connections.len() <= 16, "{} connections", connections.len());
    let requests: usize = harness
        .written
        .values()
        .map(|w| String::from_utf8_lossy(w).matches("REQ ").count())
        .sum();
    assert_eq!(requests, 16);
    harness.platform.begin_shutdown(harness.now);
}

#[test]
fn resources_of_removed_executors_and_closed_connections_are_released() {
    let mut harness = Harness::new(1);
    for n in 0..300u64 {
        let query = harness.next_discovery_query();
        let name = format!("e{}", n + 10);
        let executors = [(name.as_str(), (n % 200) as u8 + 1, 0)];
        harness.receive_discovery_answer(&dns_answer(&query, 10 + n as u32, &executors));
        let (client, executor, _) = harness.forward_query("look", &request_id(n));
        harness.receive(executor, &hit(n));
        assert_eq!(status(&harness.take_written(client)), 200, "query {n}");
        harness.handle_io(IoEvent::ReadClosed(client));
        harness.closed.retain(|c| *c != client);
    }
    // The connection to each removed executor is closed too.
    assert_eq!(harness.closed.len(), 299);
    assert!(
        harness.platform.resources_in_use() <= 2,
        "{} in use",
        harness.platform.resources_in_use()
    );
}

/// The cancellation was not sent before the connection was reset. Until the executor notices the reset, it still runs the first
/// attempt.
#[test]
fn a_retry_is_delayed_if_the_cancellation_was_lost_with_its_connection() {
    let mut harness = Harness::new(1);
    let (_, spare, _) = harness.forward_query("look", &request_id(1));
    let (_, executor, _) = harness.forward_query("look", &request_id(2));
    harness.advance(100_000);
    harness.receive(spare, &hit(1));
    harness.advance(600_000);
    // Writes accept no bytes from here on, so that the cancellation and the retry stay in the output buffer.
    harness.write_limit = Some(0);
    harness.receive(
        executor,
        &format!("{} INFO tell=pct,v=0.01 0\r\n\r\n", request_id(2)),
    );
    harness.advance(300_000);
    harness.write_limit = None;
    harness.handle_io(IoEvent::ConnectionFailed {
        id: executor,
        writing: true,
        cause: FailureCause::ConnectionLost,
        reason: "reset",
    });
    harness.advance(19_000);
    assert!(
        harness.take_written(spare).is_empty() && harness.connects.is_empty(),
        "the retry must not run beside the first attempt"
    );
    harness.advance(2_000);
    assert!(harness
        .take_written(spare)
        .starts_with(&format!("REQ {} ", request_id(2))));
}

#[test]
fn an_executor_that_moves_is_used_at_its_new_address() {
    let mut harness = Harness::new(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    let (other, busy, _) = harness.forward_query("look", &request_id(2));
    harness.receive(executor, &hit(1));
    let query = harness.next_discovery_query();
    harness.receive_discovery_answer(&dns_answer(&query, 9, &[("e1", 7, 0)]));
    assert!(
        harness.closed.contains(&executor),
        "idle connection to the former address"
    );
    harness.take_written(client);
    harness.receive(client, &query_request("look", &request_id(3), ""));
    assert_eq!(harness.connects.len(), 1);
    assert_eq!(
        harness.connects[0].1,
        "127.1.0.7:6565".parse().expect("an address")
    );
    // Attempts at the former address may still complete, and no new ones are sent there.
    harness.receive(busy, &hit(2));
    assert_eq!(status(&harness.take_written(other)), 200);
    assert!(harness.closed.contains(&busy));
}

/// A retry is started within the deduplication window, and its connection is established only after the window has ended.
#[test]
fn a_retry_whose_deduplication_window_ended_during_its_connect_is_not_written() {
    for (delay, is_written) in [(50_000, true), (150_000, false)] {
        let mut text: serde_json::Value =
            serde_json::from_str(&config(vec![executor_entry("e1", 1, "ready")], 256))
                .expect("JSON");
        text["settings"]["grades"][1]["effect"] = "by_key".into();
        text["settings"]["grades"][1]["window_us"] = 400_000.into();
        let mut harness = Harness::with_config(&text.to_string());
        let (client, executor, _) = harness.forward_query("load", &request_id(1));
        harness.advance(280_000);
        harness.handle_io(IoEvent::ConnectionFailed {
            id: executor,
            writing: false,
            cause: FailureCause::ConnectionLost,
            reason: "reset",
        });
        harness.advance(20_000);
        assert_eq!(harness.connects.len(), 1, "not retried");
        harness.advance(delay);
        let retry_connection = harness.complete_connects()[0];
        assert_eq!(
            harness
                .take_written(retry_connection)
                .starts_with(&format!("REQ {} ", request_id(1))),
            is_written
        );
        // Deduplication covers all executors, so the client may retry.
        assert_eq!(
            status(&harness.take_written(client)),
            if is_written { 0 } else { 503 }
        );
    }
}
