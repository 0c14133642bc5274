use super::*;

#[test]
fn attempts_sent_after_the_client_disconnected_are_counted_and_are_late_after_100_ms() {
    let mut abandonments = Abandonments::default();
    abandonments.record_abandonment(QueryId(1), QueryLocation::Waiting, 1_000);
    abandonments.record_abandonment(QueryId(2), QueryLocation::AtExecutor, 1_000);
    abandonments.record_dispatch(QueryId(1), 101_000);
    abandonments.record_dispatch(QueryId(2), 101_001);
    abandonments.record_dispatch(QueryId(3), 900_000);
    assert_eq!(
        abandonments.counts,
        AbandonmentCounts {
            waiting: 1,
            forwarded: 2,
            forwarded_late: 1
        }
    );
    for number in 10..10 + MAX_TRACKED_QUERIES as u64 {
        abandonments.record_abandonment(QueryId(number), QueryLocation::Waiting, 2_000);
    }
    abandonments.record_dispatch(QueryId(1), 900_000);
    assert_eq!(
        (
            abandonments.counts.forwarded,
            abandonments.abandoned_at.len()
        ),
        (2, MAX_TRACKED_QUERIES)
    );
}
