//! Responses under a request id that several attempts of a query had. Such a response may belong to an earlier attempt.

mod common;
use common::*;

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
        let result = "HIT pages=1,cost=100.0,meter=util:0.3 6\r\na\t1\tx\n\r\n";
        harness.receive(second, &format!("{} {result}", request_id(1)));
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
