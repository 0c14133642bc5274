//! New queries wait for a current engine list after the process was inactive.

mod common;

use common::{config_with_registry, message_types, query, registry_list, Harness, Step};
use wheelfield_sans_io::{ConnId, Protocol as _};

const SHORT_INACTIVITY_US: i64 = 500_000;
const LONG_INACTIVITY_US: i64 = 2_500_000;
const MAX_WAIT_US: i64 = 1_000_000;

/// A harness with an engine list and one client.
fn harness_with_client() -> (Harness, ConnId) {
    let mut harness = Harness::with_config(usize::MAX, &config_with_registry());
    harness.answer_registry(&registry_list(1, "up"));
    let client = harness.started_client();
    harness.advance(10_000);
    (harness, client)
}

/// Sends a query after a time without activity, and returns the types of the messages received within `wait_us`.
fn answer_after_inactivity(harness: &mut Harness, client: ConnId, inactive_us: i64, wait_us: i64) -> String {
    let before = harness.received(client).len();
    harness.gateway.begin_iteration(harness.now);
    harness.now += inactive_us;
    harness.gateway.begin_iteration(harness.now);
    harness.send(client, &query("select 1"));
    harness.advance(wait_us);
    message_types(&harness.received(client)[before..])
}

#[test]
fn a_query_after_a_short_inactivity_waits_for_the_registry() {
    let (mut harness, client) = harness_with_client();
    let before = harness.received(client).len();
    assert_eq!(answer_after_inactivity(&mut harness, client, SHORT_INACTIVITY_US, 50_000), "");
    harness.answer_registry(&registry_list(1, "up"));
    harness.advance(50_000);
    assert_eq!(message_types(&harness.received(client)[before..]), "TDCZ");
}

/// Otherwise a process that is short of CPU time would delay all queries while the registry is unavailable.
#[test]
fn an_unavailable_registry_is_waited_for_only_after_a_long_inactivity() {
    let (mut harness, client) = harness_with_client();
    harness.advance(1_100_000);
    let request = harness.registry_request.take().expect("a polled registry");
    harness.apply_step(Step::ConnectionBroken(request));
    harness.run_until_idle();
    assert_eq!(answer_after_inactivity(&mut harness, client, SHORT_INACTIVITY_US, 50_000), "TDCZ");
    assert_eq!(answer_after_inactivity(&mut harness, client, LONG_INACTIVITY_US, 50_000), "");
    let before = harness.received(client).len();
    harness.advance(MAX_WAIT_US);
    assert_eq!(message_types(&harness.received(client)[before..]), "TDCZ");
}

/// Regression test: a connection to the registry broke with a list on its way, and the next request followed only after the polling
/// interval. With connects that failed as well, a query was sent to an engine 1.13 s after the registry had told of its drain.
#[test]
fn a_failed_request_to_the_registry_is_repeated_soon_and_less_often_in_an_outage() {
    const POLL_INTERVAL_US: i64 = 1_000_000;
    let (mut harness, _) = harness_with_client();
    harness.advance(POLL_INTERVAL_US + 100_000);
    for outage_us in [0, 10 * POLL_INTERVAL_US] {
        let ends_at = harness.now + outage_us;
        let request = harness.registry_request.take().expect("a polled registry");
        harness.apply_step(Step::ConnectionBroken(request));
        harness.run_until_idle();
        harness.advance(60_000);
        let mut requests = 0;
        while let Some(request) = harness.registry_request.take_if(|_| harness.now < ends_at) {
            requests += 1;
            harness.apply_step(Step::ConnectionBroken(request));
            harness.run_until_idle();
            harness.advance(POLL_INTERVAL_US);
        }
        assert!(requests <= 16, "{requests} requests in {outage_us} us");
        assert!(harness.registry_request.is_some(), "no request within 60 ms of the failure");
        harness.answer_registry(&registry_list(1, "up"));
        harness.advance(POLL_INTERVAL_US + 100_000);
    }
}
