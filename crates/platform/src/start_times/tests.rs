//! Tests that start times are converted to the local clock, however far that differs from the platform's.

use super::*;
use wheelfield::interface::Status;

const SECOND: i64 = 1_000_000;

fn executor(name: &str, listed_start: Option<i64>) -> ExecutorEndpoint {
    ExecutorEndpoint {
        name: name.to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_string(),
        kind: "std".to_string(),
        cell: 0,
        status: Status::Up,
        started_at: listed_start.map(Micros),
    }
}

#[test]
fn in_the_first_list_the_latest_start_counts_as_now_and_the_others_as_earlier() {
    for clock_offset in [-3_600 * SECOND, 0, 3_600 * SECOND] {
        let now = 10_000 * SECOND;
        let platform_now = now + clock_offset;
        let list = [
            executor("a", None),
            executor("b", Some(platform_now - 90 * SECOND)),
            executor("c", Some(platform_now - 30 * SECOND)),
        ];
        let starts = StartTimes::default().update(&list, None, now);
        assert_eq!(
            starts,
            [None, Some(Micros(now - 60 * SECOND)), Some(Micros(now))]
        );
    }
}

#[test]
fn later_starts_are_converted_by_the_minimum_offset_and_do_not_change() {
    let mut times = StartTimes::default();
    let first = executor("a", Some(100 * SECOND));
    // Received 0.2 s after the start, by a clock that is 50 s behind.
    let now = 50 * SECOND + 200_000;
    let start = times.update(std::slice::from_ref(&first), Some(49 * SECOND), now);
    assert_eq!(start, [Some(Micros(now))]);
    // The next start is received 1.2 s after it happened. It counts as 1 s ago, as the minimum offset contains a delay of 0.2 s.
    let list = [first.clone(), executor("b", Some(110 * SECOND))];
    let received_at = 61 * SECOND + 200_000;
    let starts = times.update(&list, Some(61 * SECOND), received_at);
    assert_eq!(
        starts,
        [Some(Micros(now)), Some(Micros(60 * SECOND + 200_000))]
    );
}

#[test]
fn a_start_that_would_have_been_listed_earlier_counts_as_now() {
    let mut times = StartTimes::default();
    // The platform's clock is stepped forward by one hour and back again.
    let ahead = executor("a", Some(3_700 * SECOND));
    times.update(
        std::slice::from_ref(&ahead),
        Some(99 * SECOND),
        100 * SECOND,
    );
    let list = [ahead, executor("b", Some(200 * SECOND))];
    let starts = times.update(&list, Some(199 * SECOND), 200 * SECOND);
    assert_eq!(starts[1], Some(Micros(200 * SECOND)));
}
