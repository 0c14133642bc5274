//! Reasons to keep a capture: at the threshold, just under it, and when they are forgotten.

use wheelfield::interface::{Micros, QueryId};
use wheelfield_capture::{Reason, Told, Triggers, Watch};
use wheelfield_driver::{Answer, Arrival, Instruction};

const MS: i64 = 1_000;

fn triggers() -> Triggers {
    Triggers {
        set_aside: true,
        refusals: Some(0.3),
        window: Micros(10_000 * MS),
        stall: Some(Micros(500 * MS)),
        after: Micros(0),
        rest: Micros(60_000 * MS),
    }
}

/// A query comes, and is refused or not.
fn comes(watch: &mut Watch, at: i64, refused: bool) {
    let told = Told::Arrive { arrival: Arrival::default(), label: String::new() };
    let refusal = Instruction::Answer(QueryId(1), Answer::Rejected { retry_after: Micros(0) });
    watch.step(Micros(at), &told, if refused { std::slice::from_ref(&refusal) } else { &[] });
}

#[test]
fn refusals_count_above_the_share_of_enough_arrivals() {
    for (came, refused, reason) in [(20, 6, None), (20, 7, Some(Reason::Refusals)), (19, 19, None)] {
        let mut watch = Watch::new(triggers());
        for i in 0..came {
            comes(&mut watch, i * MS, i >= came - refused);
        }
        assert_eq!(watch.ripe(Micros(came * MS)), reason, "{refused} of {came}");
    }
}

#[test]
fn what_is_older_than_the_window_counts_no_more() {
    let mut watch = Watch::new(triggers());
    for i in 0..15 {
        comes(&mut watch, i * MS, true);
    }
    // Fifteen alone were too few to tell; behind the window they are gone.
    for i in 0..40 {
        comes(&mut watch, (12_000 + i) * MS, i % 4 == 0);
    }
    assert_eq!(watch.ripe(Micros(13_000 * MS)), None);
}

#[test]
fn a_stall_is_time_after_what_was_due_and_not_mere_silence() {
    let step = |watch: &mut Watch, at: i64, due: Option<i64>| {
        watch.step(Micros(at * MS), &Told::Due, &[]);
        watch.wants(due.map(|d| Micros(d * MS)));
    };
    let mut watch = Watch::new(triggers());
    step(&mut watch, 0, None);
    step(&mut watch, 100_000, Some(200_000));
    step(&mut watch, 200_400, None);
    assert_eq!(watch.ripe(Micros(200_500 * MS)), None, "nothing was due, or it was done in time");
    step(&mut watch, 300_000, Some(300_100));
    step(&mut watch, 300_601, None);
    assert_eq!(watch.ripe(Micros(300_601 * MS)), Some(Reason::Stall));
}

#[test]
fn a_reason_waits_for_what_follows_and_the_next_for_the_rest() {
    let mut watch = Watch::new(Triggers { after: Micros(5_000 * MS), ..triggers() });
    let line = [Instruction::Log("engine silent".into())];
    let say = |watch: &mut Watch, at: i64| watch.step(Micros(at * MS), &Told::Due, &line);
    say(&mut watch, 1_000);
    say(&mut watch, 3_000);
    assert_eq!(watch.ripe(Micros(5_999 * MS)), None);
    assert_eq!(watch.ripe(Micros(6_000 * MS)), Some(Reason::SetAside), "counted from the first");
    say(&mut watch, 65_999);
    assert_eq!(watch.rest(Micros(65_999 * MS)), None, "within the rest");
    say(&mut watch, 66_000);
    assert_eq!(watch.ripe(Micros(71_000 * MS)), Some(Reason::SetAside));
    // An operator need not wait.
    watch.ask(Micros(72_000 * MS));
    assert_eq!(watch.ripe(Micros(72_000 * MS)), Some(Reason::Asked));
    // At the end, what waits for its aftermath is kept as it is.
    say(&mut watch, 200_000);
    assert_eq!(watch.rest(Micros(200_001 * MS)), Some(Reason::SetAside));
    assert_eq!(watch.rest(Micros(200_001 * MS)), None);
}
