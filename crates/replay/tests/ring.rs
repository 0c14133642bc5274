//! Captures held in memory: what is kept, when, and that it replays.

mod common;

use common::{folder, small, start, Scene};
use std::path::{Path, PathBuf};
use wheelfield::interface::*;
use wheelfield_capture::{CaptureFile, Limits, RecordedInput, Recorder, RingLimits, Triggers};
use wheelfield_driver::Instruction;
use wheelfield_replay::{run, Options, Verdict};

const QUIET: Triggers = Triggers {
    on_engine_ejected: false,
    rejected_fraction: None,
    window: Micros(10_000_000),
    stall: None,
    record_after: Micros(1_000_000),
    cooldown: Micros(60_000_000),
};

fn ring(path: &Path, limits: RingLimits, triggers: Triggers, keep: u64) -> Scene {
    let held = Limits {
        max_total_bytes: keep,
        ..small()
    };
    Scene::on(|driver| {
        let at = Micros(1_000_000);
        Recorder::begin_in_memory(path, start(), held, (limits, triggers), driver, at)
            .expect("a thread")
    })
}

fn kept(dir: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(dir)
        .expect("a folder")
        .map(|e| e.expect("an entry").path())
        .collect();
    files.sort();
    files
}

fn equal(path: &Path) -> Verdict {
    let verdict = run(path, Options::default()).expect("whole");
    assert!(verdict.equal(), "{verdict:?}");
    assert!(verdict.truncated_after.is_none());
    verdict
}

fn name(path: &Path) -> String {
    path.file_name()
        .map_or_else(String::new, |n| n.to_string_lossy().into_owned())
}

#[test]
fn without_a_reason_no_file_is_written() {
    let dir = folder();
    let mut scene = ring(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        QUIET,
        u64::MAX,
    );
    scene.play(5_000);
    let (state, _) = scene.end();
    assert_eq!((state.lost, state.ring_files), (0, 0));
    assert!(state.ring_bytes > 0);
    assert!(kept(dir.path()).is_empty());
}

#[test]
fn what_an_operator_asks_for_is_the_last_span_and_replays() {
    let dir = folder();
    let limits = RingLimits {
        min_duration: Micros(3_000_000),
        ..RingLimits::default()
    };
    let mut scene = ring(&dir.path().join("c.wfcap"), limits, QUIET, u64::MAX);
    scene.play(10_000);
    let asked = scene.now;
    scene.recorder.request_file(asked);
    scene.recorder.maintain(&scene.driver, asked);
    scene.play(1_000);
    let (state, _) = scene.end();
    assert_eq!(
        (state.lost, state.ring_files, state.is_failing),
        (0, 1, false)
    );
    let files = kept(dir.path());
    assert_eq!(files.len(), 1);
    assert!(
        name(&files[0]).starts_with("c-1970-01-01T00-00-11")
            && name(&files[0]).ends_with("-asked.wfcap")
    );
    let verdict = equal(&files[0]);
    let (first, last) = verdict.times.expect("steps");
    assert!(
        last <= asked && asked - last < Micros(10_000),
        "up to the asking"
    );
    // At least the span, and no more than a checkpoint's time and a block beyond.
    let reach = asked - first;
    assert!(
        reach >= Micros(3_000_000) && reach < Micros(4_000_000),
        "{reach:?}"
    );
    assert!(verdict.checkpoints >= 4, "{}", verdict.checkpoints);
}

#[test]
fn memory_is_bounded_whatever_comes() {
    let dir = folder();
    let limits = RingLimits {
        max_bytes: 200_000,
        min_duration: Micros(i64::MAX),
    };
    let mut scene = ring(&dir.path().join("c.wfcap"), limits, QUIET, u64::MAX);
    scene.play(40_000);
    scene.recorder.request_file(scene.now);
    scene.recorder.maintain(&scene.driver, scene.now);
    let (state, steps) = scene.end();
    assert!(state.ring_bytes <= 200_000, "{}", state.ring_bytes);
    assert!(
        state.ring_bytes > 100_000,
        "the oldest goes, not all: {}",
        state.ring_bytes
    );
    assert!(state.recorded > steps, "all was recorded");
    let verdict = equal(&kept(dir.path())[0]);
    assert!(verdict.steps < steps && verdict.steps > 100);
}

#[test]
fn an_engine_set_aside_is_a_reason_and_what_follows_is_kept_too() {
    let dir = folder();
    let triggers = Triggers {
        on_engine_ejected: true,
        ..QUIET
    };
    let mut scene = ring(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        triggers,
        u64::MAX,
    );
    scene.play(2_000);
    let line = Instruction::Log("engine silent with 3 queries out".into());
    let at = scene.now;
    scene.recorder.record_step(
        at,
        &RecordedInput::TimersDue,
        None,
        std::slice::from_ref(&line),
    );
    scene
        .recorder
        .record_step(at, &RecordedInput::TimersDue, None, &[line]);
    scene.play(5_000);
    let (state, _) = scene.end();
    assert_eq!(
        state.ring_files, 1,
        "the second word of it, within the rest, is no reason"
    );
    let files = kept(dir.path());
    assert!(name(&files[0]).contains("set-aside"));
    let mut last = Micros(0);
    let mut reader = wheelfield_capture::Reader::open(&files[0]).expect("a capture");
    while let Some(entry) = reader.next_entry().expect("whole") {
        if let wheelfield_capture::Entry::Record(r) = entry {
            if let wheelfield_capture::Record::Step { at, .. } = *r {
                last = at;
            }
        }
    }
    assert!(
        last - at >= Micros(990_000) && last - at < Micros(1_100_000),
        "{:?}",
        last - at
    );
}

#[test]
fn a_share_of_refusals_is_a_reason() {
    let dir = folder();
    // The scene asks for several times what its engines can do.
    for (share, files) in [(1.0, 0), (0.5, 1)] {
        let triggers = Triggers {
            rejected_fraction: Some(share),
            ..QUIET
        };
        let mut scene = ring(
            &dir.path().join("c.wfcap"),
            RingLimits::default(),
            triggers,
            u64::MAX,
        );
        scene.play(3_000);
        assert_eq!(scene.end().0.ring_files, files, "refusals above {share}");
    }
    let files = kept(dir.path());
    assert!(name(&files[0]).contains("refusals"));
    equal(&files[0]);
}

#[test]
fn a_stall_is_a_reason() {
    let dir = folder();
    let triggers = Triggers {
        stall: Some(Micros(1_000_000)),
        ..QUIET
    };
    let mut scene = ring(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        triggers,
        u64::MAX,
    );
    scene.play(2_000);
    scene.now = scene.now + Micros(2_000_000);
    scene.play(3_000);
    let (state, _) = scene.end();
    assert_eq!(state.ring_files, 1);
    let files = kept(dir.path());
    assert!(name(&files[0]).contains("stall"));
    equal(&files[0]);
}

#[test]
fn the_oldest_kept_files_go() {
    let dir = folder();
    std::fs::write(dir.path().join("c-notes.txt"), "not ours").expect("a file");
    std::fs::write(
        dir.path().join("c-2000-01-01T00-00-00-000Z-stall.wfcap"),
        vec![0; 300_000],
    )
    .expect("a file");
    let limits = RingLimits {
        min_duration: Micros(1_000_000),
        ..RingLimits::default()
    };
    let mut scene = ring(&dir.path().join("c.wfcap"), limits, QUIET, 200_000);
    // Virtual time begins in 1970; names of this century are the ones looked at.
    scene.now = Micros(1_700_000_000_000_000);
    for _ in 0..4 {
        scene.play(3_000);
        scene.recorder.request_file(scene.now);
        scene.recorder.maintain(&scene.driver, scene.now);
    }
    let newest = scene.now;
    let (state, _) = scene.end();
    assert_eq!(state.ring_files, 4);
    let files = kept(dir.path());
    let total: u64 = files
        .iter()
        .filter(|p| name(p).ends_with(".wfcap"))
        .map(|p| p.metadata().expect("there").len())
        .sum();
    assert!(total <= 200_000 || files.len() == 2, "{files:?}");
    assert!(
        !files.iter().any(|p| name(p).starts_with("c-2000")),
        "{files:?}"
    );
    assert!(
        files.iter().any(|p| name(p) == "c-notes.txt"),
        "what is not ours stays"
    );
    let last = files
        .iter()
        .rfind(|p| name(p).ends_with("asked.wfcap"))
        .expect("the newest stays");
    assert!(newest - equal(last).times.expect("steps").1 < Micros(10_000));
}

#[test]
fn a_file_that_cannot_be_written_is_told_and_the_next_is_tried() {
    let dir = folder();
    let place = dir.path().join("not-there");
    let mut scene = ring(
        &place.join("c.wfcap"),
        RingLimits::default(),
        QUIET,
        u64::MAX,
    );
    scene.play(1_000);
    scene.recorder.request_file(scene.now);
    scene.recorder.maintain(&scene.driver, scene.now);
    scene.play(1_000);
    let (state, _) = scene.end();
    assert_eq!(
        (state.ring_files, state.lost, state.is_failing),
        (0, 0, true)
    );
    assert!(!place.exists());
}

/// A disk at which the writer's thread dies.
struct Deadly(u32);

impl CaptureFile for Deadly {
    fn append(&mut self, _: &[u8]) -> std::io::Result<()> {
        self.0 += 1;
        assert!(self.0 < 6, "the writer dies here, as the test wants");
        Ok(())
    }
    fn truncate(&mut self, _: u64) -> std::io::Result<()> {
        Ok(())
    }
    fn sync(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_dead_writer_costs_the_capture_and_nothing_else() {
    let mut scene = Scene::on(|driver| {
        let make = |_: &Path| Ok(Box::new(Deadly(0)) as Box<dyn CaptureFile>);
        let at = Micros(1_000_000);
        Recorder::begin_with_file_factory(
            Box::new(make),
            Path::new("x.wfcap"),
            start(),
            small(),
            driver,
            at,
        )
        .expect("begun")
    });
    // Each time the queue is looked at, until the death has shown.
    for _ in 0..2_000 {
        scene.play(100);
        if scene.recorder.state().is_failing {
            break;
        }
        std::thread::yield_now();
    }
    let before = scene.recorder.state();
    assert!(before.is_failing);
    let decided = scene.steps;
    scene.play(1_000);
    assert!(scene.steps > decided, "it goes on deciding");
    let (state, _) = scene.end();
    assert!(
        state.is_failing && state.lost > before.lost,
        "what comes after is counted as lost"
    );
}
