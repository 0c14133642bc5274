//! Attempts that were not yet written, or only in part, when something happened.

mod common;

use common::{execute, message, message_types, query, registry_list, Harness, Step};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol as _};

const ROWS: &str = "select * from t /*id='q',rows='3',run_ms='20'*/";

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
