//! Captures written and replayed: equal, torn, damaged, with gaps, entered in the middle, and under other settings.

use proptest::prelude::*;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
mod common;

use common::{folder, settings, small, start, Scene};
use wheelfield::interface::*;
use wheelfield_capture::{
    repair, CaptureFile, Entry, Limits, ReadError, Reader, Record, RecordedInput, Recorder,
};
use wheelfield_driver::{Driver, DriverLimits, Input, Instruction};
use wheelfield_replay::{run, shadow, Options, ReplayError};

#[test]
fn a_capture_replays_to_the_same_decisions_a_hundred_times() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let mut scene = Scene::at(&path, Limits::default());
    scene.play(4_000);
    let (state, steps) = scene.end();
    assert_eq!(state.lost, 0);
    for _ in 0..100 {
        let verdict = run(&path, Options::default()).expect("whole");
        assert!(verdict.equal(), "{:?}", verdict.difference);
        assert_eq!(verdict.steps, steps);
    }
}

#[test]
fn checkpoints_hold_the_whole_state_and_a_replay_enters_at_one() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let mut scene = Scene::at(&path, small());
    scene.play(10_000);
    let (_, steps) = scene.end();
    let whole = run(&path, Options::default()).expect("whole");
    assert!(whole.equal() && whole.checkpoints > 10, "{whole:?}");
    let late = run(
        &path,
        Options {
            from: Some(Micros(8_000_000)),
            over_gaps: false,
        },
    )
    .expect("whole");
    assert!(
        late.equal() && late.steps > 100 && late.steps < steps / 2,
        "{} of {steps}",
        late.steps
    );
}

#[test]
fn a_deliberate_change_is_found_at_its_first_decision_and_only_there() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let mut scene = Scene::at(&path, Limits::default());
    scene.play(10_000);
    scene.end();
    let same = shadow::compare(&path, Settings::clone).expect("whole");
    assert!(same.arrivals > 1_000 && same.altered.is_empty());
    let fewer = |s: &Settings| shadow::alter(s, "cores.0", "1.0").expect("a setting");
    let other = shadow::compare(&path, fewer).expect("whole");
    assert!(!other.altered.is_empty());
    // Brute force: two drivers side by side, compared by hand up to the first difference.
    let mut reader = Reader::open(&path).expect("a capture");
    let (mut one, mut two) = (
        Driver::new(settings(), 11, DriverLimits::default()),
        Driver::new(fewer(&settings()), 11, DriverLimits::default()),
    );
    let (mut first, mut number) = (None, 0);
    while let Some(Entry::Record(record)) = reader.next_entry().expect("sound") {
        if let Record::Step { at, input, .. } = *record {
            number += 1;
            let (mut a, mut b) = (Vec::new(), Vec::new());
            wheelfield_replay::feed(&mut one, at, &input, &mut a);
            wheelfield_replay::feed(&mut two, at, &input, &mut b);
            let place = |out: &[Instruction]| {
                out.iter().find_map(|i| match i {
                    Instruction::Start { engine, .. } => Some(Some(*engine)),
                    Instruction::Answer(..) => Some(None),
                    _ => None,
                })
            };
            if first.is_none()
                && matches!(input, RecordedInput::Arrive { .. })
                && place(&a) != place(&b)
            {
                first = Some(number);
            }
        }
    }
    assert_eq!(other.altered.first().map(|a| a.step), first);
    assert!(shadow::alter(&settings(), "cores.7", "1")
        .expect_err("none")
        .contains("known: 0"));
    assert!(shadow::alter(&settings(), "max_attempts", "\"two\"").is_err());
}

#[test]
fn the_same_inputs_are_answered_alike_whenever_they_are_fed() {
    // The time of a step is the process's own; a replay reads no clock at all.
    let dir = folder();
    let (one, two) = (dir.path().join("a.wfcap"), dir.path().join("b.wfcap"));
    for path in [&one, &two] {
        let mut scene = Scene::at(path, Limits::default());
        scene.play(2_000);
        scene.end();
    }
    let steps = |path: &Path| {
        let mut reader = Reader::open(path).expect("a capture");
        let mut all = Vec::new();
        while let Some(Entry::Record(record)) = reader.next_entry().expect("sound") {
            if let Record::Step {
                at, instructions, ..
            } = *record
            {
                all.push((at, instructions));
            }
        }
        all
    };
    assert_eq!(steps(&one), steps(&two));
}

#[test]
fn a_cut_and_a_scrubbed_capture_still_replay() {
    use wheelfield_replay::rewrite;
    let dir = folder();
    let (path, part, clean) = (
        dir.path().join("a.wfcap"),
        dir.path().join("part.wfcap"),
        dir.path().join("clean.wfcap"),
    );
    let mut scene = Scene::at(&path, Limits::default());
    scene.play(3_000);
    let (_, steps) = scene.end();
    let kept = rewrite::cut(&path, Micros(2_000_000), Micros(3_000_000), &part).expect("cut");
    let verdict = run(&part, Options::default()).expect("whole");
    assert!(verdict.equal() && verdict.steps == kept && kept > 100 && kept < steps);
    assert!(matches!(
        rewrite::cut(&path, Micros(9_000_000), Micros(9_500_000), &part),
        Err(rewrite::RewriteError::Empty)
    ));
    assert_eq!(rewrite::scrub(&path, &clean).expect("scrubbed"), steps);
    let verdict = run(&clean, Options::default()).expect("whole");
    assert!(verdict.equal() && verdict.steps == steps);
    let mut player = wheelfield_replay::Player::open(&clean, Options::default()).expect("whole");
    while let Some(wheelfield_replay::ReplayedStep { recorded: step, .. }) =
        player.next_step().expect("whole")
    {
        if let RecordedInput::Arrive { label, .. } = step.input {
            assert!(label.starts_with('q'), "{label}");
        }
    }
    // What begins in the middle can't be scrubbed, as names are in its first state.
    rewrite::cut(&path, Micros(2_000_000), Micros(3_000_000), &part).expect("cut");
    assert!(matches!(
        rewrite::scrub(&part, &clean),
        Err(rewrite::RewriteError::Middle)
    ));
    assert!(rewrite::test_of("bad_hour").contains("fn bad_hour_replays_to_the_same_decisions"));
}

#[test]
fn messages_lost_doubled_and_reordered_and_a_stall_replay_alike() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let mut scene = Scene::at(&path, small());
    let word = |engine: u64, load: f64| {
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
        scene.play(100);
        // The second comes before the first, the third twice, the fourth never; one is of an engine nobody listed.
        scene.tell(word(2, f64::from(round) / 10.0));
        scene.tell(word(1, 0.4));
        scene.tell(word(3, 1.5));
        scene.tell(word(3, 1.5));
        scene.tell(word(99, 0.1));
    }
    // The controller stands still for two seconds, and finds all that came meanwhile at once.
    scene.now = scene.now + Micros(2_000_000);
    scene.play(2_000);
    let (_, steps) = scene.end();
    for _ in 0..100 {
        let verdict = run(&path, Options::default()).expect("whole");
        assert!(
            verdict.equal() && verdict.steps == steps,
            "{:?}",
            verdict.difference
        );
    }
}

#[test]
fn two_captures_of_one_query_are_joined_by_the_name_its_client_gave_it() {
    let dir = folder();
    let make = |file: &str, before: i64| {
        let path = dir.path().join(file);
        let mut scene = Scene::at(&path, Limits::default());
        // The other controller has had more queries, so that the numbers differ.
        (0..before).for_each(|_| scene.play(15));
        scene.play(200);
        scene.end();
        path
    };
    let (one, two) = (make("a.wfcap", 0), make("b.wfcap", 1));
    let explain = |name: &str| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_wheelfield-replay"));
        command
            .arg("explain")
            .args([&one, &two])
            .args(["--query", name])
            .output()
            .expect("it runs")
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
        text.contains("known of the engines at that moment") && text.contains("it fitted"),
        "{text}"
    );
    assert!(!explain("nobody").status.success());
}

fn short_capture(dir: &Path) -> std::path::PathBuf {
    let path = dir.join("a.wfcap");
    let mut scene = Scene::at(
        &path,
        Limits {
            checkpoint_interval: Micros::from_secs_f64(9.0),
            ..small()
        },
    );
    scene.play(120);
    scene.end();
    path
}

/// Records before the end, and how the end was.
fn read(path: &Path) -> (usize, Result<Option<u64>, ReadError>) {
    let mut reader = match Reader::open(path) {
        Ok(reader) => reader,
        Err(fault) => return (0, Err(fault)),
    };
    let mut records = 0;
    loop {
        match reader.next_entry() {
            Ok(None) => return (records, Ok(None)),
            Ok(Some(Entry::Truncated { offset })) => return (records, Ok(Some(offset))),
            Ok(Some(_)) => records += 1,
            Err(fault) => return (records, Err(fault)),
        }
    }
}

#[test]
fn a_file_torn_at_any_byte_is_read_up_to_there_and_repaired() {
    let dir = folder();
    let path = short_capture(dir.path());
    let whole = std::fs::read(&path).expect("a file");
    let (all, end) = read(&path);
    assert!(matches!(end, Ok(None)) && all > 20);
    let torn = dir.path().join("torn.wfcap");
    let mut most = 0;
    for cut in 0..whole.len() {
        std::fs::write(&torn, &whole[..cut]).expect("a file");
        let (records, end) = read(&torn);
        assert!(
            records <= all && records >= most,
            "never less for more bytes"
        );
        most = records;
        if cut >= 8 {
            assert!(end.is_ok(), "cut at {cut}: {end:?}");
            repair(&torn).expect("repaired");
            let (after, end) = read(&torn);
            assert!(after == records && matches!(end, Ok(None)), "cut at {cut}");
        }
    }
}

#[test]
fn a_flipped_bit_anywhere_is_found_and_named() {
    let dir = folder();
    let path = short_capture(dir.path());
    let whole = std::fs::read(&path).expect("a file");
    let flipped = dir.path().join("flipped.wfcap");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&flipped, &bytes).expect("a file");
        let (_, end) = read(&flipped);
        assert!(!matches!(end, Ok(None)), "a flip at byte {at} passes");
    }
}

#[test]
fn a_capture_of_a_newer_version_is_refused_by_name() {
    let dir = folder();
    let path = short_capture(dir.path());
    let mut bytes = std::fs::read(&path).expect("a file");
    bytes[7] = 200;
    std::fs::write(&path, &bytes).expect("a file");
    assert!(matches!(
        Reader::open(&path),
        Err(ReadError::NewerVersion(200))
    ));
}

/// A disk on command: it waits for a permit before each write, and fails while it is full.
struct Odd {
    to: Arc<Mutex<Vec<u8>>>,
    full: Arc<Mutex<bool>>,
    permits: Option<Receiver<()>>,
}

impl CaptureFile for Odd {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if let Some(permits) = &self.permits {
            let _ = permits.recv();
        }
        if *self.full.lock().expect("unpoisoned") {
            // Half of it is written, as real disks do.
            self.to
                .lock()
                .expect("unpoisoned")
                .extend(&bytes[..bytes.len() / 2]);
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.to.lock().expect("unpoisoned").extend(bytes);
        Ok(())
    }
    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        self.to
            .lock()
            .expect("unpoisoned")
            .truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct Bench {
    bytes: Arc<Mutex<Vec<u8>>>,
    full: Arc<Mutex<bool>>,
    permit: Option<Sender<()>>,
}

fn odd(limits: Limits, slow: bool) -> (Scene, Bench) {
    let (bytes, full) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(false)),
    );
    let (sender, receiver) = channel();
    let mut receiver = slow.then_some(receiver);
    let (to, is_full) = (bytes.clone(), full.clone());
    if slow {
        // What a file begins with is written before the thread starts.
        sender.send(()).expect("open");
        sender.send(()).expect("open");
    }
    let make = move |_: &Path| {
        Ok(Box::new(Odd {
            to: to.clone(),
            full: is_full.clone(),
            permits: receiver.take(),
        }) as Box<dyn CaptureFile>)
    };
    let scene = Scene::on(|driver| {
        Recorder::begin_with_file_factory(
            Box::new(make),
            Path::new("x.wfcap"),
            start(),
            limits,
            driver,
            Micros(1_000_000),
        )
        .expect("made")
    });
    (
        scene,
        Bench {
            bytes,
            full,
            permit: slow.then_some(sender),
        },
    )
}

/// What was written, as a file: refused where records are lost, and replayed around the loss when asked to.
fn judged(bytes: &Arc<Mutex<Vec<u8>>>) -> wheelfield_replay::Verdict {
    let dir = folder();
    let path = dir.path().join("x.wfcap");
    std::fs::write(&path, &*bytes.lock().expect("unpoisoned")).expect("a file");
    assert!(
        matches!(run(&path, Options::default()), Err(ReplayError::Gap { .. })),
        "refused unless asked for"
    );
    let verdict = run(
        &path,
        Options {
            over_gaps: true,
            from: None,
        },
    )
    .expect("readable");
    assert!(verdict.equal(), "{:?}", verdict.difference);
    assert!(
        !verdict.unverified.is_empty(),
        "and it says from where on it can't vouch"
    );
    verdict
}

#[test]
fn a_full_disk_costs_records_and_is_told() {
    let (mut scene, bench) = odd(small(), false);
    scene.play(2_000);
    *bench.full.lock().expect("unpoisoned") = true;
    scene.play(2_000);
    // The writer is behind: it must have met the full disk before that is over.
    while !scene.recorder.state().is_failing {
        std::thread::yield_now();
    }
    *bench.full.lock().expect("unpoisoned") = false;
    while scene.recorder.state().is_failing {
        scene.play(100);
    }
    scene.play(3_000);
    let (state, steps) = scene.end();
    assert!(state.lost > 0 && !state.is_failing);
    let verdict = judged(&bench.bytes);
    assert!(verdict.steps < steps && verdict.steps > 100);
}

#[test]
fn a_slow_disk_holds_up_no_decision_and_the_loss_is_marked() {
    let (mut scene, bench) = odd(
        Limits {
            max_queued_blocks: 2,
            ..small()
        },
        true,
    );
    // The disk takes nothing at all, and the driver goes on.
    scene.play(4_000);
    let lost = scene.recorder.state().lost;
    assert!(lost > 0);
    // Then it is as fast as any.
    drop(bench.permit);
    while scene.recorder.state().lost == lost && scene.recorder.state().written_bytes == 0 {
        std::thread::yield_now();
    }
    scene.play(4_000);
    let (state, _) = scene.end();
    assert!(state.lost >= lost);
    judged(&bench.bytes);
}

/// Waits until the writer thread has written what was recorded: this scene plays far faster than real time, and a writer that
/// lags behind makes one file as long as all together may be.
fn wait_for_writer(scene: &Scene, written_before: u64) {
    while scene.recorder.state().written_bytes == written_before {
        std::thread::yield_now();
    }
    loop {
        let written = scene.recorder.state().written_bytes;
        std::thread::sleep(std::time::Duration::from_millis(2));
        if scene.recorder.state().written_bytes == written {
            return;
        }
    }
}

#[test]
fn files_follow_each_other_and_the_oldest_go() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let limits = Limits {
        segment_bytes: 20_000,
        max_total_bytes: 60_000,
        ..small()
    };
    let mut scene = Scene::at(&path, limits);
    for _ in 0..60 {
        let written_before = scene.recorder.state().written_bytes;
        scene.play(500);
        wait_for_writer(&scene, written_before);
    }
    scene.end();
    let mut files: Vec<_> = std::fs::read_dir(dir.path())
        .expect("a folder")
        .flatten()
        .map(|e| e.path())
        .collect();
    files.sort();
    assert!(files.len() >= 2, "{files:?}");
    for file in &files {
        // Each stands by itself.
        let verdict = run(file, Options::default()).expect("whole");
        assert!(verdict.equal(), "{file:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The reader takes any bytes: no panic, bounded memory.
    #[test]
    fn any_bytes_are_read_or_told(bytes in prop::collection::vec(any::<u8>(), 0..400), sound_head in any::<bool>()) {
        let dir = folder();
        let path = dir.path().join("x.wfcap");
        let mut all = if sound_head { b"WFCAP\0\0\x01WFBK".to_vec() } else { Vec::new() };
        all.extend(bytes);
        std::fs::write(&path, &all).expect("a file");
        let _ = read(&path);
    }
}

#[test]
fn a_clock_that_jumps_an_hour_either_way_replays_alike() {
    // The controller's clock never runs backwards; whatever it were to tell, the capture holds it and a replay is told it.
    for jump in [3_600_000_000, -3_600_000_000] {
        let dir = folder();
        let path = dir.path().join("a.wfcap");
        let mut scene = Scene::at(&path, small());
        scene.now = Micros(7_200_000_000);
        scene.play(2_000);
        scene.now = scene.now + Micros(jump);
        scene.play(2_000);
        let (state, steps) = scene.end();
        assert_eq!(state.lost, 0);
        let verdict = run(&path, Options::default()).expect("whole");
        assert!(
            verdict.equal() && verdict.steps == steps,
            "{jump}: {verdict:?}"
        );
    }
}

/// The program on a capture; whether it ended well, and what it wrote.
fn program(args: &[&std::ffi::OsStr]) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_wheelfield-replay"))
        .args(args)
        .output()
        .expect("the program starts");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

#[test]
fn another_configuration_is_a_side_to_compare_with() {
    let dir = folder();
    let path = dir.path().join("a.wfcap");
    let mut scene = Scene::at(&path, Limits::default());
    scene.play(4_000);
    scene.end();
    let config = dir.path().join("other.toml");
    let text = |cores: u32| {
        format!(
            "listen = \"127.0.0.1:0\"\n[fleet]\nzones = [\"a\"]\n[[fleet.kinds]]\nname = \"std\"\ncores = {cores}\n\
             memory = \"1GB\"\n[[classes]]\nname = \"fast\"\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"repeatable\"\n\
             [[classes]]\nname = \"load\"\naim = \"1s\"\ndeadline = \"5s\"\neffect = \"once\"\n\
             [[engines]]\nid = \"e\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\nkind = \"std\"\n"
        )
    };
    std::fs::write(&config, text(64)).expect("a file");
    let os = |s: &'static str| std::ffi::OsStr::new(s);
    let (code, told) = program(&[
        os("diff"),
        path.as_os_str(),
        os("--against"),
        config.as_os_str(),
    ]);
    assert_eq!(code, Some(1), "{told}");
    assert!(
        told.contains("are decided otherwise") && told.contains("Refused"),
        "{told}"
    );
    let (code, told) = program(&[
        os("what-if"),
        path.as_os_str(),
        os("--set"),
        os("cores.0=4.0"),
    ]);
    assert_eq!(code, Some(0), "{told}");
    assert!(told.starts_with("0 of 800 "), "{told}");
}

#[test]
fn captures_of_the_first_version_are_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/troubles");
    let bytes = std::fs::read(Path::new(folder).join("crash.wfcap")).expect("a capture");
    assert_eq!(bytes[6..8], [0, 1], "written by the first version");
    let verdict =
        run(&Path::new(folder).join("crash.wfcap"), Options::default()).expect("readable");
    assert!(verdict.equal() && verdict.steps == 795, "{verdict:?}");
}
