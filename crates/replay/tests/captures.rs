//! Writes captures and replays them: complete, truncated, damaged and with gaps, from a checkpoint and with other settings.

use proptest::prelude::*;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
mod common;

use common::{settings, small_limits, start, temp_dir, Simulation};
use wheelfield::interface::*;
use wheelfield_capture::{
    repair, CaptureFile, Entry, Limits, ReadError, Reader, Record, RecordedInput, Recorder,
};
use wheelfield_driver::{Driver, DriverLimits, Input, Instruction};
use wheelfield_replay::{run, shadow, Options, ReplayError};

#[test]
fn a_capture_replays_to_the_same_decisions_a_hundred_times() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let mut simulation = Simulation::recording_to(&path, Limits::default());
    simulation.run_for(4_000);
    let (state, steps) = simulation.finish();
    assert_eq!(state.lost, 0);
    for _ in 0..100 {
        let verdict = run(&path, Options::default()).expect("replay the capture");
        assert!(verdict.equal(), "{:?}", verdict.difference);
        assert_eq!(verdict.steps, steps);
    }
}

#[test]
fn checkpoints_contain_the_complete_state_and_a_replay_can_start_at_one() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let mut simulation = Simulation::recording_to(&path, small_limits());
    simulation.run_for(10_000);
    let (_, steps) = simulation.finish();
    let whole = run(&path, Options::default()).expect("replay the capture");
    assert!(whole.equal() && whole.checkpoints > 10, "{whole:?}");
    let from_checkpoint = run(
        &path,
        Options {
            from: Some(Micros(8_000_000)),
            over_gaps: false,
        },
    )
    .expect("replay the capture");
    assert!(
        from_checkpoint.equal() && from_checkpoint.steps > 100 && from_checkpoint.steps < steps / 2,
        "{} of {steps}",
        from_checkpoint.steps
    );
}

#[test]
fn altered_settings_are_reported_from_the_first_decision_that_changes() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let mut simulation = Simulation::recording_to(&path, Limits::default());
    simulation.run_for(10_000);
    simulation.finish();
    let unchanged = shadow::compare(&path, Settings::clone).expect("replay the capture");
    assert!(unchanged.arrivals > 1_000 && unchanged.changed.is_empty());
    let fewer_cores = |s: &Settings| shadow::alter(s, "cores.0", "1.0").expect("alter the setting");
    let comparison = shadow::compare(&path, fewer_cores).expect("replay the capture");
    assert!(!comparison.changed.is_empty());
    // Finds the first difference independently, by feeding two drivers and comparing the chosen engines.
    let mut reader = Reader::open(&path).expect("open the capture");
    let (mut driver, mut altered_driver) = (
        Driver::new(settings(), 11, DriverLimits::default()),
        Driver::new(fewer_cores(&settings()), 11, DriverLimits::default()),
    );
    let (mut first_difference, mut step_number) = (None, 0);
    while let Some(Entry::Record(record)) = reader.next_entry().expect("read the capture") {
        if let Record::Step { at, input, .. } = *record {
            step_number += 1;
            let (mut answer, mut altered_answer) = (Vec::new(), Vec::new());
            wheelfield_replay::feed(&mut driver, at, &input, &mut answer);
            wheelfield_replay::feed(&mut altered_driver, at, &input, &mut altered_answer);
            let chosen_engine = |instructions: &[Instruction]| {
                instructions
                    .iter()
                    .find_map(|instruction| match instruction {
                        Instruction::Start { engine, .. } => Some(Some(*engine)),
                        Instruction::Answer(..) => Some(None),
                        _ => None,
                    })
            };
            if first_difference.is_none()
                && matches!(input, RecordedInput::Arrive { .. })
                && chosen_engine(&answer) != chosen_engine(&altered_answer)
            {
                first_difference = Some(step_number);
            }
        }
    }
    assert_eq!(
        comparison.changed.first().map(|change| change.step),
        first_difference
    );
    assert!(shadow::alter(&settings(), "cores.7", "1")
        .expect_err("there is one entry")
        .contains("known: 0"));
    assert!(shadow::alter(&settings(), "max_attempts", "\"two\"").is_err());
}

#[test]
fn the_same_inputs_always_give_the_same_answers() {
    // Time is passed in with each input; neither the driver nor a replay reads a clock.
    let dir = temp_dir();
    let (first, second) = (dir.path().join("a.wfcap"), dir.path().join("b.wfcap"));
    for path in [&first, &second] {
        let mut simulation = Simulation::recording_to(path, Limits::default());
        simulation.run_for(2_000);
        simulation.finish();
    }
    let steps = |path: &Path| {
        let mut reader = Reader::open(path).expect("open the capture");
        let mut all = Vec::new();
        while let Some(Entry::Record(record)) = reader.next_entry().expect("read the capture") {
            if let Record::Step {
                at, instructions, ..
            } = *record
            {
                all.push((at, instructions));
            }
        }
        all
    };
    assert_eq!(steps(&first), steps(&second));
}

#[test]
fn cut_and_scrubbed_captures_can_be_replayed() {
    use wheelfield_replay::rewrite;
    let dir = temp_dir();
    let (path, cut, scrubbed) = (
        dir.path().join("a.wfcap"),
        dir.path().join("part.wfcap"),
        dir.path().join("clean.wfcap"),
    );
    let mut simulation = Simulation::recording_to(&path, Limits::default());
    simulation.run_for(3_000);
    let (_, steps) = simulation.finish();
    let cut_steps =
        rewrite::cut(&path, Micros(2_000_000), Micros(3_000_000), &cut).expect("cut the capture");
    let verdict = run(&cut, Options::default()).expect("replay the capture");
    assert!(verdict.equal() && verdict.steps == cut_steps && cut_steps > 100 && cut_steps < steps);
    assert!(matches!(
        rewrite::cut(&path, Micros(9_000_000), Micros(9_500_000), &cut),
        Err(rewrite::RewriteError::Empty)
    ));
    assert_eq!(
        rewrite::scrub(&path, &scrubbed).expect("scrub the capture"),
        steps
    );
    let verdict = run(&scrubbed, Options::default()).expect("replay the capture");
    assert!(verdict.equal() && verdict.steps == steps);
    let mut player =
        wheelfield_replay::Player::open(&scrubbed, Options::default()).expect("open the capture");
    while let Some(wheelfield_replay::ReplayedStep { recorded: step, .. }) =
        player.next_step().expect("replay the capture")
    {
        if let RecordedInput::Arrive { label, .. } = step.input {
            assert!(label.starts_with('q'), "{label}");
        }
    }
    // A capture that does not begin with the start of the controller cannot be scrubbed: its first checkpoint contains names.
    rewrite::cut(&path, Micros(2_000_000), Micros(3_000_000), &cut).expect("cut the capture");
    assert!(matches!(
        rewrite::scrub(&cut, &scrubbed),
        Err(rewrite::RewriteError::NotFromStart)
    ));
    assert!(rewrite::test_source("bad_hour").contains("fn bad_hour_replays_to_the_same_decisions"));
}

#[test]
fn lost_duplicate_and_reordered_peer_reports_and_a_stall_replay_to_the_same_decisions() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let mut simulation = Simulation::recording_to(&path, small_limits());
    let peer_report = |engine: u64, load: f64| {
        let report = LoadReport {
            utilisation: Some(load),
            memory_granted: Some(load / 2.0),
            ..LoadReport::default()
        };
        Input::PeerReports(vec![PeerLoadReport {
            engine: EngineId(engine),
            report,
        }])
    };
    for round in 0..20 {
        simulation.run_for(100);
        // The report of engine 2 comes before that of engine 1, that of engine 3 twice and that of engine 4 never; engine 99 is
        // not in the engine list.
        simulation.feed_input(peer_report(2, f64::from(round) / 10.0));
        simulation.feed_input(peer_report(1, 0.4));
        simulation.feed_input(peer_report(3, 1.5));
        simulation.feed_input(peer_report(3, 1.5));
        simulation.feed_input(peer_report(99, 0.1));
    }
    // The controller stalls for two seconds and then processes all overdue events at once.
    simulation.now = simulation.now + Micros(2_000_000);
    simulation.run_for(2_000);
    let (_, steps) = simulation.finish();
    for _ in 0..100 {
        let verdict = run(&path, Options::default()).expect("replay the capture");
        assert!(
            verdict.equal() && verdict.steps == steps,
            "{:?}",
            verdict.difference
        );
    }
}

#[test]
fn explain_finds_a_query_in_two_captures_by_the_name_its_client_gave_it() {
    let dir = temp_dir();
    let make_capture = |file: &str, earlier_runs: i64| {
        let path = dir.path().join(file);
        let mut simulation = Simulation::recording_to(&path, Limits::default());
        // Earlier queries at one of the controllers make the query IDs differ.
        (0..earlier_runs).for_each(|_| simulation.run_for(15));
        simulation.run_for(200);
        simulation.finish();
        path
    };
    let (first, second) = (make_capture("a.wfcap", 0), make_capture("b.wfcap", 1));
    let explain = |name: &str| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_wheelfield-replay"));
        command
            .arg("explain")
            .args([&first, &second])
            .args(["--query", name])
            .output()
            .expect("start the program")
    };
    let out = explain("s7");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.success() && text.contains("a.wfcap (controller 0)") && text.contains("b.wfcap"),
        "{text}"
    );
    assert!(
        text.contains("query 8 `s7`") && text.contains("query 11 `s7`"),
        "{text}"
    );
    assert!(
        text.contains("engines as known before this step")
            && text.contains("engines that could take the query"),
        "{text}"
    );
    assert!(!explain("nobody").status.success());
}

fn short_capture(dir: &Path) -> std::path::PathBuf {
    let path = dir.join("a.wfcap");
    let mut simulation = Simulation::recording_to(
        &path,
        Limits {
            checkpoint_interval: Micros::from_secs_f64(9.0),
            ..small_limits()
        },
    );
    simulation.run_for(120);
    simulation.finish();
    path
}

/// Reads a capture to its end or first error. Returns the number of records, and the byte of an incomplete block or the error.
fn read_capture(path: &Path) -> (usize, Result<Option<u64>, ReadError>) {
    let mut reader = match Reader::open(path) {
        Ok(reader) => reader,
        Err(error) => return (0, Err(error)),
    };
    let mut records = 0;
    loop {
        match reader.next_entry() {
            Ok(None) => return (records, Ok(None)),
            Ok(Some(Entry::Truncated { offset })) => return (records, Ok(Some(offset))),
            Ok(Some(_)) => records += 1,
            Err(error) => return (records, Err(error)),
        }
    }
}

#[test]
fn a_file_truncated_at_any_byte_is_read_up_to_there_and_repaired() {
    let dir = temp_dir();
    let path = short_capture(dir.path());
    let whole = std::fs::read(&path).expect("read the file");
    let (all_records, end) = read_capture(&path);
    assert!(matches!(end, Ok(None)) && all_records > 20);
    let truncated = dir.path().join("torn.wfcap");
    let mut max_records = 0;
    for length in 0..whole.len() {
        std::fs::write(&truncated, &whole[..length]).expect("write the file");
        let (records, end) = read_capture(&truncated);
        assert!(
            records <= all_records && records >= max_records,
            "a longer file has no fewer records"
        );
        max_records = records;
        if length >= 8 {
            assert!(end.is_ok(), "truncated at {length}: {end:?}");
            repair(&truncated).expect("repair the file");
            let (records_after, end) = read_capture(&truncated);
            assert!(
                records_after == records && matches!(end, Ok(None)),
                "truncated at {length}"
            );
        }
    }
}

#[test]
fn a_flipped_bit_is_detected_at_any_byte() {
    let dir = temp_dir();
    let path = short_capture(dir.path());
    let whole = std::fs::read(&path).expect("read the file");
    let flipped = dir.path().join("flipped.wfcap");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&flipped, &bytes).expect("write the file");
        let (_, end) = read_capture(&flipped);
        assert!(
            !matches!(end, Ok(None)),
            "a flipped bit in byte {at} is not detected"
        );
    }
}

#[test]
fn a_capture_of_a_newer_version_is_rejected_with_its_version() {
    let dir = temp_dir();
    let path = short_capture(dir.path());
    let mut bytes = std::fs::read(&path).expect("read the file");
    bytes[7] = 200;
    std::fs::write(&path, &bytes).expect("write the file");
    assert!(matches!(
        Reader::open(&path),
        Err(ReadError::NewerVersion(200))
    ));
}

/// A disk in memory that waits for a permit before each write, if it has permits, and fails while it is full.
struct ControlledDisk {
    bytes: Arc<Mutex<Vec<u8>>>,
    full: Arc<Mutex<bool>>,
    permits: Option<Receiver<()>>,
}

impl CaptureFile for ControlledDisk {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if let Some(permits) = &self.permits {
            let _ = permits.recv();
        }
        if *self.full.lock().expect("not poisoned") {
            // Writes half of the data before the error, as real disks do.
            self.bytes
                .lock()
                .expect("not poisoned")
                .extend(&bytes[..bytes.len() / 2]);
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.bytes.lock().expect("not poisoned").extend(bytes);
        Ok(())
    }
    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        self.bytes
            .lock()
            .expect("not poisoned")
            .truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Handles that control a [`ControlledDisk`].
struct DiskControl {
    bytes: Arc<Mutex<Vec<u8>>>,
    full: Arc<Mutex<bool>>,
    permits: Option<Sender<()>>,
}

/// Returns a simulation that records to a [`ControlledDisk`]. A slow disk waits for permits.
fn simulation_on_controlled_disk(limits: Limits, slow: bool) -> (Simulation, DiskControl) {
    let (bytes, full) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(false)),
    );
    let (sender, receiver) = channel();
    let mut receiver = slow.then_some(receiver);
    let (disk_bytes, disk_full) = (bytes.clone(), full.clone());
    if slow {
        // The beginning of the file is written in two writes before the writer thread starts.
        sender.send(()).expect("the receiver exists");
        sender.send(()).expect("the receiver exists");
    }
    let make = move |_: &Path| {
        Ok(Box::new(ControlledDisk {
            bytes: disk_bytes.clone(),
            full: disk_full.clone(),
            permits: receiver.take(),
        }) as Box<dyn CaptureFile>)
    };
    let simulation = Simulation::with_recorder(|driver| {
        Recorder::begin_with_file_factory(
            Box::new(make),
            Path::new("x.wfcap"),
            start(),
            limits,
            driver,
            Micros(1_000_000),
        )
        .expect("begin the capture")
    });
    (
        simulation,
        DiskControl {
            bytes,
            full,
            permits: slow.then_some(sender),
        },
    )
}

/// Replays written bytes that have gaps. Checks that the replay fails unless gaps are allowed, and that it then equals the
/// recorded decisions and reports the unverified steps.
fn replay_over_gaps(bytes: &Arc<Mutex<Vec<u8>>>) -> wheelfield_replay::Verdict {
    let dir = temp_dir();
    let path = dir.path().join("x.wfcap");
    std::fs::write(&path, &*bytes.lock().expect("not poisoned")).expect("write the file");
    assert!(
        matches!(run(&path, Options::default()), Err(ReplayError::Gap { .. })),
        "a replay fails at a gap by default"
    );
    let verdict = run(
        &path,
        Options {
            over_gaps: true,
            from: None,
        },
    )
    .expect("replay the capture");
    assert!(verdict.equal(), "{:?}", verdict.difference);
    assert!(
        !verdict.unverified.is_empty(),
        "the unverified steps are reported"
    );
    verdict
}

#[test]
fn a_full_disk_loses_records_and_is_reported() {
    let (mut simulation, disk) = simulation_on_controlled_disk(small_limits(), false);
    simulation.run_for(2_000);
    *disk.full.lock().expect("not poisoned") = true;
    simulation.run_for(2_000);
    // The writer thread lags behind; it must fail to write before the disk has space again.
    while !simulation.recorder.state().is_failing {
        std::thread::yield_now();
    }
    *disk.full.lock().expect("not poisoned") = false;
    while simulation.recorder.state().is_failing {
        simulation.run_for(100);
    }
    simulation.run_for(3_000);
    let (state, steps) = simulation.finish();
    assert!(state.lost > 0 && !state.is_failing);
    let verdict = replay_over_gaps(&disk.bytes);
    assert!(verdict.steps < steps && verdict.steps > 100);
}

#[test]
fn a_slow_disk_delays_no_decision_and_lost_records_are_marked() {
    let (mut simulation, disk) = simulation_on_controlled_disk(
        Limits {
            max_queued_blocks: 2,
            ..small_limits()
        },
        true,
    );
    // The disk completes no write, and the driver continues.
    simulation.run_for(4_000);
    let lost = simulation.recorder.state().lost;
    assert!(lost > 0);
    // Without permits, the disk writes at full speed.
    drop(disk.permits);
    while simulation.recorder.state().lost == lost && simulation.recorder.state().written_bytes == 0
    {
        std::thread::yield_now();
    }
    simulation.run_for(4_000);
    let (state, _) = simulation.finish();
    assert!(state.lost >= lost);
    replay_over_gaps(&disk.bytes);
}

/// Waits until the writer thread has written all records. The simulation runs far faster than real time, and a writer thread
/// that lags behind would put as much into one file as is allowed for all files together.
fn wait_for_writer(simulation: &Simulation, written_before: u64) {
    while simulation.recorder.state().written_bytes == written_before {
        std::thread::yield_now();
    }
    loop {
        let written = simulation.recorder.state().written_bytes;
        std::thread::sleep(std::time::Duration::from_millis(2));
        if simulation.recorder.state().written_bytes == written {
            return;
        }
    }
}

#[test]
fn files_are_rotated_and_the_oldest_are_removed() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let limits = Limits {
        segment_bytes: 20_000,
        max_total_bytes: 60_000,
        ..small_limits()
    };
    let mut simulation = Simulation::recording_to(&path, limits);
    for _ in 0..60 {
        let written_before = simulation.recorder.state().written_bytes;
        simulation.run_for(500);
        wait_for_writer(&simulation, written_before);
    }
    simulation.finish();
    let mut files: Vec<_> = std::fs::read_dir(dir.path())
        .expect("read the directory")
        .flatten()
        .map(|entry| entry.path())
        .collect();
    files.sort();
    assert!(files.len() >= 2, "{files:?}");
    for file in &files {
        // Each file can be replayed by itself.
        let verdict = run(file, Options::default()).expect("replay the capture");
        assert!(verdict.equal(), "{file:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The reader returns records or an error for arbitrary bytes, and does not panic.
    #[test]
    fn the_reader_does_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400), valid_header in any::<bool>()) {
        let dir = temp_dir();
        let path = dir.path().join("x.wfcap");
        let mut all = if valid_header { b"WFCAP\0\0\x01WFBK".to_vec() } else { Vec::new() };
        all.extend(bytes);
        std::fs::write(&path, &all).expect("write the file");
        let _ = read_capture(&path);
    }
}

#[test]
fn clock_jumps_of_an_hour_forward_or_back_replay_to_the_same_decisions() {
    // The controller's clock never goes back, but a replay does not depend on that: it uses the recorded times, whatever they
    // are.
    for jump in [3_600_000_000, -3_600_000_000] {
        let dir = temp_dir();
        let path = dir.path().join("a.wfcap");
        let mut simulation = Simulation::recording_to(&path, small_limits());
        simulation.now = Micros(7_200_000_000);
        simulation.run_for(2_000);
        simulation.now = simulation.now + Micros(jump);
        simulation.run_for(2_000);
        let (state, steps) = simulation.finish();
        assert_eq!(state.lost, 0);
        let verdict = run(&path, Options::default()).expect("replay the capture");
        assert!(
            verdict.equal() && verdict.steps == steps,
            "{jump}: {verdict:?}"
        );
    }
}

/// Runs the program. Returns its exit code and standard output.
fn run_program(args: &[&std::ffi::OsStr]) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_wheelfield-replay"))
        .args(args)
        .output()
        .expect("start the program");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

#[test]
fn diff_compares_with_a_configuration_and_what_if_with_altered_settings() {
    let dir = temp_dir();
    let path = dir.path().join("a.wfcap");
    let mut simulation = Simulation::recording_to(&path, Limits::default());
    simulation.run_for(4_000);
    simulation.finish();
    let config = dir.path().join("other.toml");
    let text = |cores: u32| {
        format!(
            "listen = \"127.0.0.1:0\"\n[fleet]\nzones = [\"a\"]\n[[fleet.kinds]]\nname = \"std\"\ncores = {cores}\n\
             memory = \"1GB\"\n[[classes]]\nname = \"fast\"\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"repeatable\"\n\
             [[classes]]\nname = \"load\"\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"once\"\n\
             [[engines]]\nid = \"e\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\nkind = \"std\"\n"
        )
    };
    std::fs::write(&config, text(64)).expect("write the file");
    let os = |s: &'static str| std::ffi::OsStr::new(s);
    let (code, output) = run_program(&[
        os("diff"),
        path.as_os_str(),
        os("--against"),
        config.as_os_str(),
    ]);
    assert_eq!(code, Some(1), "{output}");
    assert!(
        output.contains("have a different decision") && output.contains("Refused"),
        "{output}"
    );
    let (code, output) = run_program(&[
        os("what-if"),
        path.as_os_str(),
        os("--set"),
        os("cores.0=4.0"),
    ]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.starts_with("0 of 800 "), "{output}");
}

#[test]
fn captures_of_format_version_1_are_read() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let bytes = std::fs::read(Path::new(directory).join("crash.wfcap")).expect("read the file");
    assert_eq!(bytes[6..8], [0, 1], "format version 1");
    let verdict = run(
        &Path::new(directory).join("crash.wfcap"),
        Options::default(),
    )
    .expect("replay the capture");
    assert!(verdict.equal() && verdict.steps == 795, "{verdict:?}");
}
