//! Starts by this clock, however far that is from the platform's.

use super::*;
use wheelfield::interface::Status;

const SECOND: i64 = 1_000_000;

fn executor(name: &str, stated_at: Option<i64>) -> ExecutorEndpoint {
    ExecutorEndpoint {
        name: name.to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_string(),
        kind: "std".to_string(),
        cell: 0,
        status: Status::Up,
        started_at: stated_at.map(Micros),
    }
}

#[test]
fn in_the_first_list_the_last_one_started_now_and_the_others_earlier() {
    for wrong_by in [-3_600 * SECOND, 0, 3_600 * SECOND] {
        let now = 10_000 * SECOND;
        let platform_now = now + wrong_by;
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
fn later_starts_are_told_by_the_least_delay_and_stay_as_they_are() {
    let mut times = StartTimes::default();
    let first = executor("a", Some(100 * SECOND));
    // Seen 0.2 s after it, by a clock that is 50 s behind.
    let now = 50 * SECOND + 200_000;
    let start = times.update(std::slice::from_ref(&first), Some(49 * SECOND), now);
    assert_eq!(start, [Some(Micros(now))]);
    // Another one is seen 1.2 s after its start: a second of that is known.
    let list = [first.clone(), executor("b", Some(110 * SECOND))];
    let seen_at = 61 * SECOND + 200_000;
    let starts = times.update(&list, Some(61 * SECOND), seen_at);
    assert_eq!(
        starts,
        [Some(Micros(now)), Some(Micros(60 * SECOND + 200_000))]
    );
}

#[test]
fn a_start_that_would_have_been_seen_earlier_counts_as_now() {
    let mut times = StartTimes::default();
    // The platform's clock is stepped ahead by an hour, and back.
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
