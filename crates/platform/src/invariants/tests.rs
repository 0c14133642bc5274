//! Each check accepts what the invariant allows, and detects every violation.

use super::*;
use wheelfield::interface::{EngineId, ExecutionSemantics};

const SECOND: i64 = 1_000_000;

#[test]
fn an_attempt_needs_a_waiting_client_an_executor_that_is_up_and_enough_time() {
    let valid = SendContext {
        client_is_waiting: true,
        executor: ListedState::Up,
        time_limit_us: SECOND,
        client_time_left_us: SECOND,
    };
    assert_eq!(check_sending(&valid), Ok(()));
    let not_waiting = SendContext {
        client_is_waiting: false,
        ..valid
    };
    assert_eq!(
        check_sending(&not_waiting),
        Err(SendingViolation::ClientNotWaiting)
    );
    for executor in [ListedState::Draining, ListedState::Missing] {
        let unavailable = SendContext { executor, ..valid };
        let violation = SendingViolation::ExecutorUnavailable(executor);
        assert_eq!(check_sending(&unavailable), Err(violation));
    }
    let too_long = SendContext {
        time_limit_us: SECOND + 10_000,
        ..valid
    };
    assert!(matches!(
        check_sending(&too_long),
        Err(SendingViolation::TimeLimitTooLong { .. })
    ));
}

#[test]
fn a_query_that_may_have_run_is_repeated_only_if_its_class_allows_it() {
    use ExecutionSemantics::{AtMostOnce, IdempotencyKey, Idempotent};
    let check = |semantics, may_have_run_for_us| {
        check_repeating(&RepeatContext {
            semantics,
            deduplication_window_us: SECOND,
            may_have_run_for_us,
        })
    };
    for semantics in [AtMostOnce, Idempotent, IdempotencyKey] {
        assert_eq!(check(semantics, None), Ok(()));
    }
    assert_eq!(check(Idempotent, Some(9 * SECOND)), Ok(()));
    assert_eq!(
        check(AtMostOnce, Some(1)),
        Err(RepeatingViolation::AtMostOnce)
    );
    assert_eq!(check(IdempotencyKey, Some(SECOND - 1)), Ok(()));
    assert!(check(IdempotencyKey, Some(SECOND)).is_err());
}

#[test]
fn a_connection_with_pending_input_or_output_is_closed_only_if_the_client_left_or_stalled() {
    let idle = CloseContext {
        reason: CloseReason::Shutdown,
        has_disconnected: false,
        awaits_response: false,
        has_unread_input: false,
        unwritten_bytes: 0,
    };
    let pending = [
        CloseContext {
            awaits_response: true,
            ..idle
        },
        CloseContext {
            has_unread_input: true,
            ..idle
        },
        CloseContext {
            unwritten_bytes: 7,
            ..idle
        },
    ];
    for reason in CloseReason::ALL {
        assert_eq!(check_closing(&CloseContext { reason, ..idle }), Ok(()));
        for context in pending {
            let context = CloseContext { reason, ..context };
            let is_stall = reason == CloseReason::WriteStalled && context.unwritten_bytes > 0;
            let is_allowed = reason == CloseReason::ClientLeft || is_stall;
            assert_eq!(check_closing(&context).is_ok(), is_allowed, "{context:?}");
            let disconnected = CloseContext {
                has_disconnected: true,
                ..context
            };
            assert_eq!(check_closing(&disconnected), Ok(()));
        }
    }
}

#[test]
fn attempts_to_an_executor_in_slow_start_are_limited_to_the_total_of_all_controllers() {
    let settings = SlowStartSettings {
        initial_fraction: 0.5,
        duration_us: 10 * SECOND,
        overload_multiple: 2.0,
        window_us: SECOND,
    };
    let engine = EngineId(7);
    let mut guard = SlowStartGuard::new(settings);
    guard.record_work(0.1);
    // 2 x 0.5 x 4 cores x 1 s / 0.1 s = 40 requests, plus a margin of 2 x sqrt(40) + 2.
    guard.record_start(engine, 0, 4.0, 0);
    let allowed = (0..200)
        .take_while(|_| guard.record_send(engine, 0).is_ok())
        .count();
    assert_eq!(allowed, 54);
    // It comes back with a quarter of the cores. A second later 0.55 of its capacity allows 11 requests, plus a margin of
    // 3 x sqrt(11) + 3.
    let mut smaller = SlowStartGuard::new(settings);
    smaller.record_work(0.1);
    smaller.record_start(engine, 0, 4.0, 0);
    smaller.record_start(engine, SECOND, 1.0, SECOND);
    let now = 2 * SECOND;
    let allowed = (0..200)
        .take_while(|_| smaller.record_send(engine, now).is_ok())
        .count();
    assert_eq!(allowed, 23);
    // After the window the full number is allowed again. There is no limit for other executors, and none after slow start.
    assert_eq!(guard.record_send(engine, SECOND + 1), Ok(()));
    assert_eq!(guard.record_send(EngineId(8), 0), Ok(()));
    guard.remove_warmed_up(10 * SECOND);
    assert!((0..200).all(|_| guard.record_send(engine, 10 * SECOND).is_ok()));
}
