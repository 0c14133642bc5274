//! Clients that send requests at full speed on one connection.

mod common;
use common::*;
use wheelfield_sans_io::{IoEvent, Protocol};

/// Maximum length of the output that may wait for a client that sends short requests and reads nothing, in bytes: one response.
const MAX_WAITING_OUTPUT_BYTES: usize = 16 << 10;
const METRICS_REQUEST: &str = "GET /metrics HTTP/1.1\r\n\r\n";

/// Regression test: responses that a client did not read piled up without a bound, as its next request was parsed nevertheless.
#[test]
fn responses_that_a_client_does_not_read_do_not_pile_up() {
    let mut harness = Harness::with_name_service(1);
    harness.write_limit = Some(0);
    let client = harness.connect_client();
    let requests = METRICS_REQUEST.repeat(2_000);
    let taken = harness.deliver(client, requests.as_bytes());
    let waiting = harness.platform.output(client).len();
    assert!(waiting <= MAX_WAITING_OUTPUT_BYTES, "{waiting} bytes");
    assert!(taken < requests.len(), "{taken} bytes");
    // Once the client reads, all that was received is answered.
    harness.write_limit = None;
    harness.take_written(client);
    harness.write_output(client);
    harness.advance(0);
    let responses = harness.take_written(client);
    let answered = responses.matches("HTTP/1.1 200 OK").count();
    assert_eq!(answered, taken / METRICS_REQUEST.len());
}

/// Regression test: the requests that a client had sent at once were all answered before anything else was done.
#[test]
fn one_request_of_each_client_is_answered_in_a_turn() {
    let mut harness = Harness::with_name_service(1);
    let client = harness.connect_client();
    let requests = METRICS_REQUEST.repeat(10);
    let event = IoEvent::Received(client, requests.as_bytes());
    harness.platform.handle_io(harness.now, event);
    harness.run_effects();
    for turn in 1..=10 {
        let responses = harness.take_written(client);
        assert_eq!(responses.matches("HTTP/1.1 200").count(), 1, "turn {turn}");
        assert_eq!(harness.is_timer_due(), turn < 10);
        harness.begin_turn();
    }
    assert_eq!(harness.take_written(client), "");
}
