//! Tests of the arrival times of consumed bytes, and of the limit on the number of segments.

use super::ArrivalTimes;

#[test]
fn consumed_bytes_have_the_arrival_time_of_the_last_one() {
    let mut times = ArrivalTimes::default();
    times.record_received(10, 100);
    times.record_received(5, 100);
    times.record_received(10, 200);
    assert_eq!(times.record_consumed(12), Some(100));
    assert_eq!(times.record_consumed(3), Some(100));
    assert_eq!(times.record_consumed(4), Some(200));
    times.record_received(1, 300);
    assert_eq!(times.record_consumed(7), Some(300));
    assert_eq!(
        times.record_consumed(1),
        None,
        "more bytes consumed than received"
    );
}

#[test]
fn bytes_beyond_the_segment_limit_count_as_older_than_they_are() {
    let mut times = ArrivalTimes::default();
    (0..1_000).for_each(|n| times.record_received(1, n));
    assert_eq!(times.record_consumed(1_000), Some(63));
}
