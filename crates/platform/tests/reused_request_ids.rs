//! Responses under a request id that several attempts of a query had. Such a response may belong to an earlier attempt.

mod common;
use common::*;
use wheelfield_sans_io::ConnId;

/// How long a key rests after an attempt that may still be running, in microseconds.
const KEY_REST_US: i64 = 800_000;
const RESULT: &str = "HIT pages=1,cost=100.0,meter=util:0.3 6\r\na\t1\tx\n\r\n";

/// A controller with one executor and a class `look` whose queries run in order by key.
fn harness_with_ordered_class() -> Harness {
    let mut config: serde_json::Value =
        serde_json::from_str(&config(vec![executor_entry("e1", 1, "ready")], 256)).expect("JSON");
    config["settings"]["grades"][0]["in_order"] = true.into();
    config["settings"]["safety"]["order_pause_us"] = KEY_REST_US.into();
    let mut harness = Harness::with_config(&config.to_string());
    harness.confirmed_executors = Some(1);
    harness
}

/// Sends query `n` from a new client. All have the same key.
fn send_ordered_query(harness: &mut Harness, n: u64) -> ConnId {
    let client = harness.connect_client();
    let request = query_request("look", &request_id(n), "X-Object: item-1\r\n");
    harness.receive(client, &request.replace("2000", "20000"));
    client
}

/// Lets the executor be silent until the last attempt of query 1 that the settings allow was written. Returns the client of the query
/// and the connection to the executor.
fn start_last_attempt(harness: &mut Harness) -> (ConnId, ConnId) {
    let client = send_ordered_query(harness, 1);
    let executor = harness.complete_connects()[0];
    let mut written = harness.take_written(executor);
    while written.matches("REQ ").count() < 3 {
        harness.advance(100_000);
        written += &harness.take_written(executor);
    }
    let retry = format!("STOP {0}\r\nREQ {0} ", request_id(1));
    assert_eq!(written.matches(&retry).count(), 2, "{written}");
    (client, executor)
}

/// Regression test: a response that an executor had sent before it read the cancellation of an earlier attempt counted as the end of
/// the present one, which was cancelled too. The next query of the key was sent at once, while that attempt could still be running.
#[test]
fn a_key_rests_after_a_response_that_may_belong_to_a_cancelled_attempt() {
    for (response, expected) in [
        (RESULT, 200),
        ("FAULT - 0\r\n\r\n", 503),
        ("SHED - 0\r\n\r\n", 503),
        ("LATE - 0\r\n\r\n", 503),
    ] {
        // An executor that stops at a cancellation sends nothing more; another one may send the result of the present attempt.
        for goes_on in [false, true] {
            let mut harness = harness_with_ordered_class();
            let (client, executor) = start_last_attempt(&mut harness);
            // The rest after the earlier cancellations is over.
            harness.advance(KEY_REST_US);
            send_ordered_query(&mut harness, 2);
            harness.receive(executor, &format!("{} {response}", request_id(1)));
            assert_eq!(
                status(&harness.take_written(client)),
                expected,
                "{response}"
            );
            let cancellation = format!("STOP {}\r\n", request_id(1));
            assert_eq!(harness.take_written(executor), cancellation, "{response}");
            harness.advance(KEY_REST_US / 2);
            if goes_on {
                harness.receive(executor, &format!("{} {RESULT}", request_id(1)));
            }
            harness.advance(KEY_REST_US / 2 - 1);
            assert_eq!(harness.take_request(), None, "{response}");
            harness.advance(1);
            let next = harness.take_request().map(|(_, written)| written);
            let request = format!("REQ {} ", request_id(2));
            assert!(
                next.is_some_and(|next| next.starts_with(&request)),
                "{response}"
            );
        }
    }
}

/// Regression test: a duplicate of the response that had ended an attempt ended the next one too, which was at the executor. A query
/// that must not run twice was sent a third time.
#[test]
fn a_duplicate_response_does_not_end_the_next_attempt() {
    for (class, word) in [("load", "LATE"), ("look", "FAULT")] {
        let mut harness = Harness::new(1);
        let (client, first, _) = harness.forward_query(class, &request_id(1));
        let response = format!("{} {word} - 0\r\n\r\n", request_id(1));
        harness.receive(first, &response);
        harness.complete_connects();
        let request = format!("REQ {} ", request_id(1));
        let retried_on = harness.take_request().map(|(connection, written)| {
            assert!(written.starts_with(&request), "{written}");
            connection
        });
        let second = retried_on.expect("a retry");
        harness.receive(first, &response);
        harness.complete_connects();
        assert_eq!(harness.take_request(), None, "{class} {word}");
        harness.receive(second, &format!("{} {RESULT}", request_id(1)));
        assert_eq!(status(&harness.take_written(client)), 200, "{class} {word}");
    }
}

/// Without another connection the request is repeated on the same one.
#[test]
fn a_failed_query_is_retried_on_its_connection_if_no_other_may_be_opened() {
    let mut harness = Harness::with_config(&config(vec![executor_entry("e1", 1, "ready")], 64));
    let mut attempts = Vec::new();
    for n in 1..=16 {
        let (_, executor, _) = harness.forward_query("look", &request_id(n));
        attempts.push((n, executor));
    }
    let connections: std::collections::BTreeSet<_> = attempts.iter().map(|a| a.1).collect();
    let (n, executor) = attempts[0];
    harness.receive(executor, &format!("{} FAULT - 0\r\n\r\n", request_id(n)));
    assert!(harness.connects.is_empty(), "over the limit");
    let (retried_on, written) = harness.take_request().expect("a retry");
    assert!(
        written.starts_with(&format!("REQ {} ", request_id(n))),
        "{written}"
    );
    assert!(connections.contains(&retried_on));
}

/// Regression test: the first page of a cancelled attempt's result was joined with the further pages of the present one's.
#[test]
fn pages_of_different_attempts_are_not_joined_to_one_result() {
    let mut harness = Harness::new(1);
    harness.confirmed_executors = Some(1);
    let (client, executor, _) = harness.forward_query("look", &request_id(1));
    let id = request_id(1);
    let mut written = String::new();
    while !written.contains("REQ ") {
        harness.advance(100_000);
        written += &harness.take_written(executor);
    }
    // Both attempts have run before the executor reads the request for the second page, which it answers from the present result.
    harness.receive(executor, &format!("{id} HIT pages=2 8\r\na\tone\tx\n\r\n"));
    assert_eq!(harness.take_written(executor), format!("FETCH {id} 1\r\n"));
    harness.receive(executor, &format!("{id} HIT pages=2 8\r\na\ttwo\tx\n\r\n"));
    harness.receive(executor, &format!("{id} PART page=1 8\r\nb\ttwo\tx\n\r\n"));
    let answer = harness.take_written(client);
    let expected = r#"{"batch":[["a","two","x"],["b","two","x"]]}"#;
    assert!(answer.ends_with(expected), "{answer}");
}
