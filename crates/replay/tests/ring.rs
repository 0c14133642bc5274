//! Captures held in memory: what triggers writing one to a file, what the file contains and that it can be replayed.

mod common;

use common::{small_limits, start, temp_dir, Simulation};
use std::path::{Path, PathBuf};
use wheelfield::interface::*;
use wheelfield_capture::{CaptureFile, Limits, RecordedInput, Recorder, RingLimits, Triggers};
use wheelfield_driver::Instruction;
use wheelfield_replay::{run, Options, Verdict};

/// Triggers of which none fires by itself.
const NO_TRIGGERS: Triggers = Triggers {
    on_engine_ejected: false,
    rejected_fraction: None,
    window: Micros(10_000_000),
    stall: None,
    record_after: Micros(1_000_000),
    cooldown: Micros(60_000_000),
};

/// Starts a simulation that holds its capture in memory. `max_file_bytes` limits all files written of it.
fn simulation_in_memory(
    path: &Path,
    limits: RingLimits,
    triggers: Triggers,
    max_file_bytes: u64,
) -> Simulation {
    let recorder_limits = Limits {
        max_total_bytes: max_file_bytes,
        ..small_limits()
    };
    Simulation::with_recorder(|driver| {
        let at = Micros(1_000_000);
        Recorder::begin_in_memory(
            path,
            start(),
            recorder_limits,
            (limits, triggers),
            driver,
            at,
        )
        .expect("begin the capture")
    })
}

/// Returns the files in a directory, sorted by name.
fn files_in(dir: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(dir)
        .expect("read the directory")
        .map(|entry| entry.expect("read the directory entry").path())
        .collect();
    files.sort();
    files
}

/// Replays a capture and checks that all decisions are equal and the file is complete.
fn replay_equal(path: &Path) -> Verdict {
    let verdict = run(path, Options::default()).expect("replay the capture");
    assert!(verdict.equal(), "{verdict:?}");
    assert!(verdict.truncated_after.is_none());
    verdict
}

fn file_name(path: &Path) -> String {
    path.file_name()
        .map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

#[test]
fn no_file_is_written_without_a_trigger() {
    let dir = temp_dir();
    let mut simulation = simulation_in_memory(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        NO_TRIGGERS,
        u64::MAX,
    );
    simulation.run_for(5_000);
    let (state, _) = simulation.finish();
    assert_eq!((state.lost, state.ring_files), (0, 0));
    assert!(state.ring_bytes > 0);
    assert!(files_in(dir.path()).is_empty());
}

#[test]
fn a_requested_capture_contains_the_latest_span_and_replays() {
    let dir = temp_dir();
    let limits = RingLimits {
        min_duration: Micros(3_000_000),
        ..RingLimits::default()
    };
    let mut simulation =
        simulation_in_memory(&dir.path().join("c.wfcap"), limits, NO_TRIGGERS, u64::MAX);
    simulation.run_for(10_000);
    let requested_at = simulation.now;
    simulation.recorder.request_file(requested_at);
    simulation
        .recorder
        .maintain(&simulation.driver, requested_at);
    simulation.run_for(1_000);
    let (state, _) = simulation.finish();
    assert_eq!(
        (state.lost, state.ring_files, state.is_failing),
        (0, 1, false)
    );
    let files = files_in(dir.path());
    assert_eq!(files.len(), 1);
    assert!(
        file_name(&files[0]).starts_with("c-1970-01-01T00-00-11")
            && file_name(&files[0]).ends_with("-asked.wfcap")
    );
    let verdict = replay_equal(&files[0]);
    let (first, last) = verdict.time_range.expect("the capture has steps");
    assert!(
        last <= requested_at && requested_at - last < Micros(10_000),
        "the capture ends at the request"
    );
    // The capture reaches back at least the minimum span, and at most one checkpoint interval and one block more.
    let span = requested_at - first;
    assert!(
        span >= Micros(3_000_000) && span < Micros(4_000_000),
        "{span:?}"
    );
    assert!(verdict.checkpoints >= 4, "{}", verdict.checkpoints);
}

#[test]
fn memory_is_bounded() {
    let dir = temp_dir();
    let limits = RingLimits {
        max_bytes: 200_000,
        min_duration: Micros(i64::MAX),
    };
    let mut simulation =
        simulation_in_memory(&dir.path().join("c.wfcap"), limits, NO_TRIGGERS, u64::MAX);
    simulation.run_for(40_000);
    simulation.recorder.request_file(simulation.now);
    simulation
        .recorder
        .maintain(&simulation.driver, simulation.now);
    let (state, steps) = simulation.finish();
    assert!(state.ring_bytes <= 200_000, "{}", state.ring_bytes);
    assert!(
        state.ring_bytes > 100_000,
        "only the oldest records are dropped: {}",
        state.ring_bytes
    );
    assert!(state.recorded > steps, "each step was recorded");
    let verdict = replay_equal(&files_in(dir.path())[0]);
    assert!(verdict.steps < steps && verdict.steps > 100);
}

#[test]
fn an_ejected_engine_triggers_a_capture_that_includes_the_time_after() {
    let dir = temp_dir();
    let triggers = Triggers {
        on_engine_ejected: true,
        ..NO_TRIGGERS
    };
    let mut simulation = simulation_in_memory(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        triggers,
        u64::MAX,
    );
    simulation.run_for(2_000);
    let line = Instruction::Log("engine silent with 3 queries out".into());
    let ejected_at = simulation.now;
    simulation.recorder.record_step(
        ejected_at,
        &RecordedInput::TimersDue,
        None,
        std::slice::from_ref(&line),
    );
    simulation
        .recorder
        .record_step(ejected_at, &RecordedInput::TimersDue, None, &[line]);
    simulation.run_for(5_000);
    let (state, _) = simulation.finish();
    assert_eq!(
        state.ring_files, 1,
        "a second ejection within the cooldown triggers no capture"
    );
    let files = files_in(dir.path());
    assert!(file_name(&files[0]).contains("set-aside"));
    let mut last_step_at = Micros(0);
    let mut reader = wheelfield_capture::Reader::open(&files[0]).expect("open the capture");
    while let Some(entry) = reader.next_entry().expect("read the capture") {
        if let wheelfield_capture::Entry::Record(record) = entry {
            if let wheelfield_capture::Record::Step { at, .. } = *record {
                last_step_at = at;
            }
        }
    }
    assert!(
        last_step_at - ejected_at >= Micros(990_000)
            && last_step_at - ejected_at < Micros(1_100_000),
        "{:?}",
        last_step_at - ejected_at
    );
}

#[test]
fn a_high_rejected_fraction_triggers_a_capture() {
    let dir = temp_dir();
    // The simulation sends several times as many queries as its engines can run.
    for (fraction, files) in [(1.0, 0), (0.5, 1)] {
        let triggers = Triggers {
            rejected_fraction: Some(fraction),
            ..NO_TRIGGERS
        };
        let mut simulation = simulation_in_memory(
            &dir.path().join("c.wfcap"),
            RingLimits::default(),
            triggers,
            u64::MAX,
        );
        simulation.run_for(3_000);
        assert_eq!(
            simulation.finish().0.ring_files,
            files,
            "rejected fraction above {fraction}"
        );
    }
    let files = files_in(dir.path());
    assert!(file_name(&files[0]).contains("refusals"));
    replay_equal(&files[0]);
}

#[test]
fn a_stall_triggers_a_capture() {
    let dir = temp_dir();
    let triggers = Triggers {
        stall: Some(Micros(1_000_000)),
        ..NO_TRIGGERS
    };
    let mut simulation = simulation_in_memory(
        &dir.path().join("c.wfcap"),
        RingLimits::default(),
        triggers,
        u64::MAX,
    );
    simulation.run_for(2_000);
    simulation.now = simulation.now + Micros(2_000_000);
    simulation.run_for(3_000);
    let (state, _) = simulation.finish();
    assert_eq!(state.ring_files, 1);
    let files = files_in(dir.path());
    assert!(file_name(&files[0]).contains("stall"));
    replay_equal(&files[0]);
}

#[test]
fn the_oldest_captures_are_removed() {
    let dir = temp_dir();
    std::fs::write(dir.path().join("c-notes.txt"), "not a capture").expect("write the file");
    std::fs::write(
        dir.path().join("c-2000-01-01T00-00-00-000Z-stall.wfcap"),
        vec![0; 300_000],
    )
    .expect("write the file");
    let limits = RingLimits {
        min_duration: Micros(1_000_000),
        ..RingLimits::default()
    };
    let mut simulation =
        simulation_in_memory(&dir.path().join("c.wfcap"), limits, NO_TRIGGERS, 200_000);
    // Virtual time begins in 1970, but old captures are only removed if the year in their name is 2000 or later.
    simulation.now = Micros(1_700_000_000_000_000);
    for _ in 0..4 {
        simulation.run_for(3_000);
        simulation.recorder.request_file(simulation.now);
        simulation
            .recorder
            .maintain(&simulation.driver, simulation.now);
    }
    let last_request_at = simulation.now;
    let (state, _) = simulation.finish();
    assert_eq!(state.ring_files, 4);
    let files = files_in(dir.path());
    let total_bytes: u64 = files
        .iter()
        .filter(|path| file_name(path).ends_with(".wfcap"))
        .map(|path| path.metadata().expect("the file exists").len())
        .sum();
    assert!(total_bytes <= 200_000 || files.len() == 2, "{files:?}");
    assert!(
        !files
            .iter()
            .any(|path| file_name(path).starts_with("c-2000")),
        "{files:?}"
    );
    assert!(
        files.iter().any(|path| file_name(path) == "c-notes.txt"),
        "other files are not removed"
    );
    let newest = files
        .iter()
        .rfind(|path| file_name(path).ends_with("asked.wfcap"))
        .expect("the newest capture is not removed");
    assert!(
        last_request_at
            - replay_equal(newest)
                .time_range
                .expect("the capture has steps")
                .1
            < Micros(10_000)
    );
}

#[test]
fn a_file_that_cannot_be_written_is_reported_as_failing() {
    let dir = temp_dir();
    let missing_dir = dir.path().join("not-there");
    let mut simulation = simulation_in_memory(
        &missing_dir.join("c.wfcap"),
        RingLimits::default(),
        NO_TRIGGERS,
        u64::MAX,
    );
    simulation.run_for(1_000);
    simulation.recorder.request_file(simulation.now);
    simulation
        .recorder
        .maintain(&simulation.driver, simulation.now);
    simulation.run_for(1_000);
    let (state, _) = simulation.finish();
    assert_eq!(
        (state.ring_files, state.lost, state.is_failing),
        (0, 0, true)
    );
    assert!(!missing_dir.exists());
}

/// A disk that panics on its sixth write, which ends the writer thread. Counts its writes.
struct PanickingDisk(u32);

impl CaptureFile for PanickingDisk {
    fn append(&mut self, _: &[u8]) -> std::io::Result<()> {
        self.0 += 1;
        assert!(self.0 < 6, "intended panic of the writer thread");
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
fn a_panic_of_the_writer_thread_loses_records_but_stops_no_decisions() {
    let mut simulation = Simulation::with_recorder(|driver| {
        let make = |_: &Path| Ok(Box::new(PanickingDisk(0)) as Box<dyn CaptureFile>);
        let at = Micros(1_000_000);
        Recorder::begin_with_file_factory(
            Box::new(make),
            Path::new("x.wfcap"),
            start(),
            small_limits(),
            driver,
            at,
        )
        .expect("begin the capture")
    });
    // The recorder notices the end of the writer thread only when it hands over a block.
    for _ in 0..2_000 {
        simulation.run_for(100);
        if simulation.recorder.state().is_failing {
            break;
        }
        std::thread::yield_now();
    }
    let before = simulation.recorder.state();
    assert!(before.is_failing);
    let steps_before = simulation.steps;
    simulation.run_for(1_000);
    assert!(simulation.steps > steps_before, "the driver continues");
    let (state, _) = simulation.finish();
    assert!(
        state.is_failing && state.lost > before.lost,
        "records after the panic are counted as lost"
    );
}
