//! A capture of each version of the format, written by the build that introduced or last wrote it, is read and replayed.

use std::path::PathBuf;
use wheelfield_capture::Reader;
use wheelfield_replay::shadow::alter;
use wheelfield_replay::{run, Options};

fn fixture(path: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests")).join(path)
}

#[test]
fn a_capture_of_every_version_that_is_still_read_replays_to_the_recorded_decisions() {
    for (version, path) in [
        (1, "troubles/crash.wfcap"),
        (2, "troubles/answer_lost.wfcap"),
        (3, "versions/3.wfcap"),
    ] {
        let path = fixture(path);
        let bytes = std::fs::read(&path).expect("a capture");
        assert_eq!(
            u16::from_be_bytes([bytes[6], bytes[7]]),
            version,
            "{path:?}"
        );
        assert!(Reader::open(&path).is_ok());
        let verdict = run(&path, Options::default()).expect("readable");
        assert!(
            verdict.equal(),
            "{path:?}: {:?} {:?}",
            verdict.difference,
            verdict.state_differs
        );
        assert!(verdict.steps > 400, "{path:?}: {} steps", verdict.steps);
    }
}

#[test]
fn checkpoints_written_by_version_0_2_0_are_entered_and_equal_todays_state_byte_for_byte() {
    let path = fixture("versions/3.wfcap");
    let from = Some(wheelfield::interface::Micros(3_000_000));
    let verdict = run(
        &path,
        Options {
            from,
            over_gaps: false,
        },
    )
    .expect("readable");
    assert!(
        verdict.equal(),
        "{:?} {:?}",
        verdict.difference,
        verdict.state_differs
    );
    assert!(
        verdict.checkpoints > 2,
        "{} checkpoints",
        verdict.checkpoints
    );
}

#[test]
fn settings_are_altered_by_their_earlier_names_too() {
    let settings = wheelfield::interface::Settings {
        classes: vec![wheelfield::interface::Class::default()],
        ..Default::default()
    };
    for (earlier, now, value) in [
        ("cold_for", "slow_start_duration", "7"),
        ("classes.0.aim", "classes.0.latency_objective", "9"),
        ("classes.0.effect", "classes.0.semantics", "\"AtMostOnce\""),
        ("classes.0.effect", "classes.0.semantics", "\"Once\""),
    ] {
        let by_earlier_name = alter(&settings, earlier, value).expect("a known setting");
        assert_eq!(
            by_earlier_name,
            alter(&settings, now, value).expect("a known setting")
        );
        assert_ne!(by_earlier_name, settings, "{earlier}");
    }
}
