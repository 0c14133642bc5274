//! Writes a capture of an hour of virtual time and enters it at minute 50: `hour FILE [QUERIES A SECOND]`.

use std::path::PathBuf;
use std::time::Instant;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Arrival, Driver, DriverLimits, Input, Instruction};
use wheelfield_replay::{feed, run, Options};

#[expect(
    clippy::too_many_lines,
    reason = "to be split: docs/ROADMAP.md lists it"
)]
fn main() {
    let mut args = std::env::args().skip(1);
    let Some(path) = args.next().map(PathBuf::from) else {
        eprintln!("hour FILE [QUERIES A SECOND]");
        std::process::exit(2);
    };
    let rate: i64 = args.next().and_then(|r| r.parse().ok()).unwrap_or(20);
    let class = Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(5.0),
        value: 1.0,
        threads: 1.0,
        ..Class::default()
    };
    let settings = Settings {
        gateway_count: 2.0,
        classes: vec![class],
        cores: vec![8.0],
        memory_mb: vec![1000.0],
        cancellation: true,
        load_reports: true,
        reports_utilisation: true,
        max_attempts: 3,
        max_retry_after: Micros::from_secs_f64(1.0),
        ..Settings::default()
    };
    let bounds = DriverLimits::default();
    let start = Start {
        build: "hour 0".into(),
        index: 0,
        seed: 3,
        settings: settings.clone(),
        driver_limits: bounds,
        classes: vec!["only".into()],
        tenants: Vec::new(),
    };
    let mut driver = Driver::new(settings, 3, bounds);
    let limits = Limits {
        max_queued_blocks: 1 << 16,
        ..Limits::default()
    };
    let mut recorder = Recorder::begin(&path, start, limits, &driver, Micros(0)).expect("a file");
    let mut agenda: std::collections::BTreeMap<(i64, u64), RecordedInput> = Default::default();
    let entry = |n| EngineEntry {
        engine: EngineId(n),
        zone: 0,
        kind: 0,
        cell: 0,
        status: Status::Up,
        started_at: None,
    };
    agenda.insert((1, 0), RecordedInput::Input(Input::Started));
    agenda.insert(
        (2, 0),
        RecordedInput::Input(Input::Engines {
            complete: true,
            entries: (0..20).map(entry).collect(),
        }),
    );
    let (mut n, mut steps, hour) = (1u64, 0u64, 3_600_000_000i64);
    let mut next = 1_000i64;
    while next < hour || !agenda.is_empty() {
        if next < hour && agenda.first_key_value().is_none_or(|((t, _), _)| *t > next) {
            n += 1;
            let work_hint = Some(0.05 + (n % 50) as f64 / 100.0);
            let arrival = Arrival {
                deadline: Micros(next + 5_000_000),
                work_hint,
                ..Arrival::default()
            };
            agenda.insert(
                (next, n),
                RecordedInput::Arrive {
                    arrival,
                    label: format!("q{n}"),
                },
            );
            next += 1_000_000 / rate.max(1);
        }
        let Some(((at, _), told)) = agenda.pop_first() else {
            break;
        };
        let mut todo = vec![(at, told)];
        while let Some(due) = driver.next_timer_at().filter(|d| d.0 < at) {
            todo.insert(todo.len() - 1, (due.0, RecordedInput::TimersDue));
            step(
                &mut driver,
                &mut recorder,
                &mut agenda,
                todo.remove(0),
                &mut n,
            );
            steps += 1;
        }
        step(
            &mut driver,
            &mut recorder,
            &mut agenda,
            todo.remove(0),
            &mut n,
        );
        steps += 1;
    }
    let state = recorder.finish(Micros(hour));
    println!(
        "{steps} steps of an hour at {rate} queries a second: {} bytes, {} lost",
        state.written_bytes, state.lost
    );
    for (what, from) in [
        ("from the start", None),
        ("from minute 50", Some(Micros(50 * 60_000_000))),
    ] {
        let began = Instant::now();
        let verdict = run(
            &path,
            Options {
                from,
                over_gaps: false,
            },
        )
        .expect("whole");
        let took = began.elapsed().as_secs_f64();
        let (first, last) = verdict.times.expect("steps");
        println!(
            "{what}: {} steps from minute {:.1} on, equal: {}, in {took:.2} s, {:.0} times real time",
            verdict.steps,
            first.as_secs_f64() / 60.0,
            verdict.equal(),
            (last - first).as_secs_f64() / took
        );
    }
}

fn step(
    driver: &mut Driver,
    recorder: &mut Recorder,
    agenda: &mut std::collections::BTreeMap<(i64, u64), RecordedInput>,
    (at, told): (i64, RecordedInput),
    n: &mut u64,
) {
    let mut out = Vec::new();
    let taken = feed(driver, Micros(at), &told, &mut out);
    recorder.record_step(Micros(at), &told, taken, &out);
    recorder.maintain(driver, Micros(at));
    for i in out {
        if let Instruction::Start { attempt, .. } = i {
            *n += 2;
            agenda.insert(
                (at + 1_000, *n - 1),
                RecordedInput::Input(Input::Dispatched(attempt)),
            );
            let report = LoadReport {
                utilisation: Some((*n % 17) as f64 / 20.0),
                ..LoadReport::default()
            };
            let takes = 50_000 + (*n * 7_919 % 900_000) as i64;
            let outcome = if *n % 101 < 2 {
                Outcome::Error
            } else {
                Outcome::Served
            };
            let ended = Input::AttemptEnded {
                attempt,
                outcome,
                reported_work: Some(0.2),
                report,
            };
            agenda.insert((at + takes, *n), RecordedInput::Input(ended));
        }
    }
}
