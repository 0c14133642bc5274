//! Reads and replays a capture of each version of the format, written by a build of the time.

use std::path::PathBuf;
use wheelfield_capture::Reader;
use wheelfield_replay::shadow::alter;
use wheelfield_replay::{run, Options};

fn fixture(path: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests")).join(path)
}

#[test]
fn captures_of_all_supported_versions_replay_to_the_recorded_decisions() {
    for (version, path) in [
        (1, "troubles/crash.wfcap"),
        (2, "troubles/answer_lost.wfcap"),
        (3, "versions/3.wfcap"),
    ] {
        let path = fixture(path);
        let bytes = std::fs::read(&path).expect("read the file");
        assert_eq!(
            u16::from_be_bytes([bytes[6], bytes[7]]),
            version,
            "{path:?}"
        );
        assert!(Reader::open(&path).is_ok());
        let verdict = run(&path, Options::default()).expect("replay the capture");
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
fn a_replay_starts_at_a_checkpoint_of_version_0_2_0_and_equals_later_ones_byte_for_byte() {
    let path = fixture("versions/3.wfcap");
    let from = Some(wheelfield::interface::Micros(3_000_000));
    let verdict = run(
        &path,
        Options {
            from,
            over_gaps: false,
        },
    )
    .expect("replay the capture");
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
fn renamed_settings_can_be_altered_by_their_old_names() {
    let settings = wheelfield::interface::Settings {
        classes: vec![wheelfield::interface::Class::default()],
        ..Default::default()
    };
    for (old_path, current_path, value) in [
        ("cold_for", "slow_start_duration", "7"),
        ("classes.0.aim", "classes.0.latency_objective", "9"),
        ("classes.0.effect", "classes.0.semantics", "\"AtMostOnce\""),
        ("classes.0.effect", "classes.0.semantics", "\"Once\""),
    ] {
        let altered_by_old_path = alter(&settings, old_path, value).expect("the setting exists");
        assert_eq!(
            altered_by_old_path,
            alter(&settings, current_path, value).expect("the setting exists")
        );
        assert_ne!(altered_by_old_path, settings, "{old_path}");
    }
}
