//! Attempts that were decided before the process was suspended, and had not been written by then.

mod common;

use common::{config_with_registry, execute, message, message_types, query, registry_list, Harness, Step};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol as _};

const ROWS: &str = "select * from t /*id='q',rows='3',run_ms='20'*/";
const SUSPENSION_US: i64 = 2_000_000;

/// A harness with one client, and a session with the engine that is idle.
fn harness_with_idle_session(config: &str) -> (Harness, ConnId) {
    let mut harness = Harness::with_config(usize::MAX, config);
    if harness.registry_request.is_some() {
        harness.answer_registry(&registry_list(1, "up"));
    }
    let client = harness.started_client();
    harness.send(client, &query(ROWS));
    harness.advance(100_000);
    (harness, client)
}

/// Suspends the process after it has decided what to write to a session.
fn suspend(harness: &mut Harness, session: ConnId) {
    harness.now += SUSPENSION_US;
    harness.gateway.withdraw_stale_output(harness.now, session);
}

#[test]
fn an_attempt_is_not_written_if_its_client_left_during_a_suspension() {
    let (mut harness, client) = harness_with_idle_session(common::CONFIG);
    let session = harness.decide(client, &query(ROWS));
    suspend(&mut harness, session);
    assert!(harness.gateway.output(session).is_empty(), "nothing may be written yet");
    harness.apply_step(Step::PeerClosed(client));
    harness.run_until_idle();
    harness.advance(200_000);
    assert!(harness.gateway.output(session).is_empty());
    assert!(!harness.closed.contains(&session), "the session is kept");
}

#[test]
fn an_attempt_is_written_once_after_a_suspension_if_its_client_still_waits() {
    let (mut harness, client) = harness_with_idle_session(common::CONFIG);
    let before = harness.received(client).len();
    let session = harness.decide(client, &query(ROWS));
    for _ in 0..3 {
        suspend(&mut harness, session);
    }
    harness.run_until_idle();
    harness.advance(200_000);
    assert_eq!(message_types(&harness.received(client)[before..]), "TDDDCZ");
    harness.send(client, &query("select 7"));
    harness.advance(200_000);
    assert!(message_types(&harness.received(client)[before..]).ends_with("CZTDCZ"));
}

#[test]
fn an_attempt_waits_for_the_engine_list_after_a_suspension() {
    for (status, answer) in [("up", "TDDDCZ"), ("draining", "EZ")] {
        let (mut harness, client) = harness_with_idle_session(&config_with_registry());
        let before = harness.received(client).len();
        let session = harness.decide(client, &query(ROWS));
        suspend(&mut harness, session);
        assert!(harness.gateway.output(session).is_empty(), "nothing may be written yet");
        harness.run_until_idle();
        harness.advance(100_000);
        assert_eq!(message_types(&harness.received(client)[before..]), "", "the list is awaited");
        harness.answer_registry(&registry_list(2, status));
        harness.advance(100_000);
        assert_eq!(message_types(&harness.received(client)[before..]), answer, "{status}");
    }
}

/// The engine may have run the part of an open unit that it received.
#[test]
fn a_unit_that_was_continued_before_its_first_write_counts_as_written_from_its_first_byte() {
    const ONCE: &str = "insert into t values (1) /*id='q',class='once'*/";
    let (mut harness, client) = harness_with_idle_session(common::CONFIG);
    let first = [execute(ONCE), message(b'H', &[])].concat();
    let session = harness.decide(client, &first);
    harness.apply_step(Step::Received(client, [execute(ROWS), execute(ROWS), message(b'H', &[])].concat()));
    harness.take_engine_writes();
    assert!(harness.gateway.output(session).len() > 2 * first.len());
    harness.apply_step(Step::BytesWritten(session, first.len()));
    let before = harness.received(client).len();
    let failure = IoEvent::ConnectionFailed {
        id: session,
        writing: true,
        cause: FailureCause::ConnectionLost,
        reason: "reset",
    };
    harness.gateway.handle_io(harness.now, failure);
    harness.run_until_idle();
    harness.advance(100_000);
    assert_eq!(message_types(&harness.received(client)[before..]).matches('E').count(), 1, "not retried");
}
