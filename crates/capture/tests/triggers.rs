//! Tests of [`TriggerDetector`]: thresholds, the sliding window, stalls, the recording delay and the
//! cooldown.

use wheelfield::interface::{Micros, QueryId};
use wheelfield_capture::{RecordedInput, TriggerDetector, TriggerReason, Triggers};
use wheelfield_driver::{Answer, Arrival, Instruction};

const MS: i64 = 1_000;

fn triggers() -> Triggers {
    Triggers {
        on_engine_ejected: true,
        rejected_fraction: Some(0.3),
        window: Micros(10_000 * MS),
        stall: Some(Micros(500 * MS)),
        record_after: Micros(0),
        cooldown: Micros(60_000 * MS),
    }
}

/// Feeds the detector the arrival of a query, which is rejected if `is_rejected` is set.
fn observe_arrival(detector: &mut TriggerDetector, at: i64, is_rejected: bool) {
    let input = RecordedInput::Arrive {
        arrival: Arrival::default(),
        label: String::new(),
    };
    let rejection = Instruction::Answer(
        QueryId(1),
        Answer::Rejected {
            retry_after: Micros(0),
        },
    );
    detector.observe_step(
        Micros(at),
        &input,
        if is_rejected {
            std::slice::from_ref(&rejection)
        } else {
            &[]
        },
    );
}

#[test]
fn rejections_fire_only_above_the_fraction_and_with_enough_arrivals() {
    for (arrivals, rejections, reason) in [
        (20, 6, None),
        (20, 7, Some(TriggerReason::Rejections)),
        (19, 19, None),
    ] {
        let mut detector = TriggerDetector::new(triggers());
        for i in 0..arrivals {
            observe_arrival(&mut detector, i * MS, i >= arrivals - rejections);
        }
        assert_eq!(
            detector.take_due(Micros(arrivals * MS)),
            reason,
            "{rejections} rejections of {arrivals} arrivals"
        );
    }
}

#[test]
fn rejections_older_than_the_window_are_not_counted() {
    let mut detector = TriggerDetector::new(triggers());
    for i in 0..15 {
        observe_arrival(&mut detector, i * MS, true);
    }
    // The 15 rejections are too few arrivals to fire on their own, and the window no longer
    // contains them when the following arrivals come.
    for i in 0..40 {
        observe_arrival(&mut detector, (12_000 + i) * MS, i % 4 == 0);
    }
    assert_eq!(detector.take_due(Micros(13_000 * MS)), None);
}

#[test]
fn a_stall_is_detected_only_if_a_timer_was_due() {
    let step = |detector: &mut TriggerDetector, at: i64, next_timer: Option<i64>| {
        detector.observe_step(Micros(at * MS), &RecordedInput::TimersDue, &[]);
        detector.set_next_timer(next_timer.map(|timer| Micros(timer * MS)));
    };
    let mut detector = TriggerDetector::new(triggers());
    step(&mut detector, 0, None);
    step(&mut detector, 100_000, Some(200_000));
    step(&mut detector, 200_400, None);
    assert_eq!(
        detector.take_due(Micros(200_500 * MS)),
        None,
        "no timer was due, or it was handled in time"
    );
    step(&mut detector, 300_000, Some(300_100));
    step(&mut detector, 300_601, None);
    assert_eq!(
        detector.take_due(Micros(300_601 * MS)),
        Some(TriggerReason::Stall)
    );
}

#[test]
fn a_file_is_due_after_the_recording_delay_and_starts_a_cooldown() {
    let mut detector = TriggerDetector::new(Triggers {
        record_after: Micros(5_000 * MS),
        ..triggers()
    });
    let ejection = [Instruction::Log("engine silent".into())];
    let observe_ejection = |detector: &mut TriggerDetector, at: i64| {
        detector.observe_step(Micros(at * MS), &RecordedInput::TimersDue, &ejection)
    };
    observe_ejection(&mut detector, 1_000);
    observe_ejection(&mut detector, 3_000);
    assert_eq!(detector.take_due(Micros(5_999 * MS)), None);
    assert_eq!(
        detector.take_due(Micros(6_000 * MS)),
        Some(TriggerReason::EngineEjected),
        "the recording delay starts at the first ejection"
    );
    observe_ejection(&mut detector, 65_999);
    assert_eq!(
        detector.take_pending(Micros(65_999 * MS)),
        None,
        "no trigger fires during the cooldown"
    );
    observe_ejection(&mut detector, 66_000);
    assert_eq!(
        detector.take_due(Micros(71_000 * MS)),
        Some(TriggerReason::EngineEjected)
    );
    // An operator's request is exempt from the cooldown and the recording delay.
    detector.request(Micros(72_000 * MS));
    assert_eq!(
        detector.take_due(Micros(72_000 * MS)),
        Some(TriggerReason::Requested)
    );
    // At the end of a capture, a pending file is written before its recording delay has passed.
    observe_ejection(&mut detector, 200_000);
    assert_eq!(
        detector.take_pending(Micros(200_001 * MS)),
        Some(TriggerReason::EngineEjected)
    );
    assert_eq!(detector.take_pending(Micros(200_001 * MS)), None);
}
