//! Connections that this host cannot attempt, for lack of ports or file descriptors, are no fault of the engine.

mod common;

use common::{message_types, query, Harness, Step};
use wheelfield_pg_gateway::Effect;
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent, Protocol as _};

const ATTEMPT_WAIT_US: i64 = 1_000_000;

/// Fails the connections that the gateway wants to open now. Returns how many there were.
fn fail_connects(harness: &mut Harness) -> usize {
    let mut effects = Vec::new();
    harness.gateway.take_effects(&mut effects);
    let mut connects: Vec<ConnId> = Vec::new();
    for effect in effects {
        match effect {
            Effect::Connect(id, _) => connects.push(id),
            Effect::Write(id) => harness.write(id),
            _ => {}
        }
    }
    for id in &connects {
        let failure = IoEvent::ConnectionFailed {
            id: *id,
            writing: true,
            cause: FailureCause::ConnectNotAttempted,
            reason: "no ports",
        };
        harness.gateway.handle_io(harness.now, failure);
    }
    connects.len()
}

/// Fails all connections for a time, with the timers that are due meanwhile.
fn block_connects(harness: &mut Harness, us: i64) -> usize {
    let end = harness.now + us;
    let mut failed = fail_connects(harness);
    while harness.now < end {
        harness.now = harness.gateway.next_timer_at().unwrap_or(end).clamp(harness.now + 1, end);
        harness.apply_step(Step::Timers);
        failed += fail_connects(harness);
    }
    failed
}

#[test]
fn a_query_waits_until_its_connection_can_be_attempted() {
    let mut harness = Harness::new(usize::MAX);
    let client = harness.started_client();
    let before = harness.received(client).len();
    harness.apply_step(Step::Received(client, query("select 1")));
    let failed = block_connects(&mut harness, ATTEMPT_WAIT_US / 2);
    assert!((10..=30).contains(&failed), "{failed} connects in half a second");
    harness.advance(100_000);
    assert_eq!(message_types(&harness.received(client)[before..]), "TDCZ");
}

#[test]
fn a_query_is_answered_if_no_connection_can_be_attempted_for_long() {
    let mut harness = Harness::new(usize::MAX);
    let client = harness.started_client();
    let before = harness.received(client).len();
    harness.apply_step(Step::Received(client, query("select 1")));
    block_connects(&mut harness, 16 * ATTEMPT_WAIT_US);
    harness.run_until_idle();
    assert_eq!(message_types(&harness.received(client)[before..]), "EZ");
    harness.send(client, &query("select 1"));
    harness.advance(100_000);
    assert_eq!(message_types(&harness.received(client)[before..]), "EZTDCZ");
}
