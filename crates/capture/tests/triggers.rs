//! Reasons to keep a capture: at the threshold, just under it, and when they are forgotten.

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

/// A query comes, and is refused or not.
fn comes(detector: &mut TriggerDetector, at: i64, refused: bool) {
    let told = RecordedInput::Arrive {
        arrival: Arrival::default(),
        label: String::new(),
    };
    let refusal = Instruction::Answer(
        QueryId(1),
        Answer::Rejected {
            retry_after: Micros(0),
        },
    );
    detector.observe_step(
        Micros(at),
        &told,
        if refused {
            std::slice::from_ref(&refusal)
        } else {
            &[]
        },
    );
}

#[test]
fn refusals_count_above_the_share_of_enough_arrivals() {
    for (came, refused, reason) in [
        (20, 6, None),
        (20, 7, Some(TriggerReason::Rejections)),
        (19, 19, None),
    ] {
        let mut detector = TriggerDetector::new(triggers());
        for i in 0..came {
            comes(&mut detector, i * MS, i >= came - refused);
        }
        assert_eq!(
            detector.take_due(Micros(came * MS)),
            reason,
            "{refused} of {came}"
        );
    }
}

#[test]
fn what_is_older_than_the_window_counts_no_more() {
    let mut detector = TriggerDetector::new(triggers());
    for i in 0..15 {
        comes(&mut detector, i * MS, true);
    }
    // Fifteen alone were too few to tell; behind the window they are gone.
    for i in 0..40 {
        comes(&mut detector, (12_000 + i) * MS, i % 4 == 0);
    }
    assert_eq!(detector.take_due(Micros(13_000 * MS)), None);
}

#[test]
fn a_stall_is_time_after_what_was_due_and_not_mere_silence() {
    let step = |detector: &mut TriggerDetector, at: i64, due: Option<i64>| {
        detector.observe_step(Micros(at * MS), &RecordedInput::TimersDue, &[]);
        detector.set_next_timer(due.map(|d| Micros(d * MS)));
    };
    let mut detector = TriggerDetector::new(triggers());
    step(&mut detector, 0, None);
    step(&mut detector, 100_000, Some(200_000));
    step(&mut detector, 200_400, None);
    assert_eq!(
        detector.take_due(Micros(200_500 * MS)),
        None,
        "nothing was due, or it was done in time"
    );
    step(&mut detector, 300_000, Some(300_100));
    step(&mut detector, 300_601, None);
    assert_eq!(
        detector.take_due(Micros(300_601 * MS)),
        Some(TriggerReason::Stall)
    );
}

#[test]
fn a_reason_waits_for_what_follows_and_the_next_for_the_rest() {
    let mut detector = TriggerDetector::new(Triggers {
        record_after: Micros(5_000 * MS),
        ..triggers()
    });
    let line = [Instruction::Log("engine silent".into())];
    let say = |detector: &mut TriggerDetector, at: i64| {
        detector.observe_step(Micros(at * MS), &RecordedInput::TimersDue, &line)
    };
    say(&mut detector, 1_000);
    say(&mut detector, 3_000);
    assert_eq!(detector.take_due(Micros(5_999 * MS)), None);
    assert_eq!(
        detector.take_due(Micros(6_000 * MS)),
        Some(TriggerReason::EngineEjected),
        "counted from the first"
    );
    say(&mut detector, 65_999);
    assert_eq!(
        detector.take_pending(Micros(65_999 * MS)),
        None,
        "within the rest"
    );
    say(&mut detector, 66_000);
    assert_eq!(
        detector.take_due(Micros(71_000 * MS)),
        Some(TriggerReason::EngineEjected)
    );
    // An operator need not wait.
    detector.request(Micros(72_000 * MS));
    assert_eq!(
        detector.take_due(Micros(72_000 * MS)),
        Some(TriggerReason::Requested)
    );
    // At the end, what waits for its aftermath is kept as it is.
    say(&mut detector, 200_000);
    assert_eq!(
        detector.take_pending(Micros(200_001 * MS)),
        Some(TriggerReason::EngineEjected)
    );
    assert_eq!(detector.take_pending(Micros(200_001 * MS)), None);
}
