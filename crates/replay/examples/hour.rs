//! Writes a capture of an hour of virtual time and replays it, from the start and from minute 50, to compare the time that both
//! take: `hour FILE [QUERIES_PER_SECOND]`.

use std::path::PathBuf;
use std::time::Instant;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Arrival, Driver, DriverLimits, Input, Instruction};
use wheelfield_replay::{feed, run, Options};

#[expect(clippy::too_many_lines, reason = "to be split, see docs/ROADMAP.md")]
fn main() {
    let mut args = std::env::args().skip(1);
    let Some(path) = args.next().map(PathBuf::from) else {
        eprintln!("usage: hour FILE [QUERIES_PER_SECOND]");
        std::process::exit(2);
    };
    let rate: i64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(20);
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
    let mut recorder =
        Recorder::begin(&path, start, limits, &driver, Micros(0)).expect("create the capture");
    let mut schedule: std::collections::BTreeMap<(i64, u64), RecordedInput> = Default::default();
    let engine_entry = |n| EngineEntry {
        engine: EngineId(n),
        zone: 0,
        kind: 0,
        cell: 0,
        status: Status::Up,
        started_at: None,
    };
    schedule.insert((1, 0), RecordedInput::Input(Input::Started));
    schedule.insert(
        (2, 0),
        RecordedInput::Input(Input::Engines {
            complete: true,
            entries: (0..20).map(engine_entry).collect(),
        }),
    );
    let (mut last_id, mut steps, hour) = (1u64, 0u64, 3_600_000_000i64);
    let mut next_arrival = 1_000i64;
    while next_arrival < hour || !schedule.is_empty() {
        if next_arrival < hour
            && schedule
                .first_key_value()
                .is_none_or(|((at, _), _)| *at > next_arrival)
        {
            last_id += 1;
            let work_hint = Some(0.05 + (last_id % 50) as f64 / 100.0);
            let arrival = Arrival {
                deadline: Micros(next_arrival + 5_000_000),
                work_hint,
                ..Arrival::default()
            };
            schedule.insert(
                (next_arrival, last_id),
                RecordedInput::Arrive {
                    arrival,
                    label: format!("q{last_id}"),
                },
            );
            next_arrival += 1_000_000 / rate.max(1);
        }
        let Some(((at, _), input)) = schedule.pop_first() else {
            break;
        };
        let mut pending = vec![(at, input)];
        while let Some(due) = driver.next_timer_at().filter(|due| due.0 < at) {
            pending.insert(pending.len() - 1, (due.0, RecordedInput::TimersDue));
            run_step(
                &mut driver,
                &mut recorder,
                &mut schedule,
                pending.remove(0),
                &mut last_id,
            );
            steps += 1;
        }
        run_step(
            &mut driver,
            &mut recorder,
            &mut schedule,
            pending.remove(0),
            &mut last_id,
        );
        steps += 1;
    }
    let state = recorder.finish(Micros(hour));
    println!(
        "{steps} steps of an hour at {rate} queries per second: {} bytes, {} records lost",
        state.written_bytes, state.lost
    );
    for (description, from) in [
        ("from the start", None),
        ("from minute 50", Some(Micros(50 * 60_000_000))),
    ] {
        let started_at = Instant::now();
        let verdict = run(
            &path,
            Options {
                from,
                over_gaps: false,
            },
        )
        .expect("replay the capture");
        let elapsed = started_at.elapsed().as_secs_f64();
        let (first, last) = verdict.time_range.expect("the capture has steps");
        println!(
            "{description}: {} steps from minute {:.1} on, equal: {}, in {elapsed:.2} s, {:.0} times real time",
            verdict.steps,
            first.as_secs_f64() / 60.0,
            verdict.equal(),
            (last - first).as_secs_f64() / elapsed
        );
    }
}

/// Feeds an input to the driver, records the step and schedules the events of each attempt that it starts.
fn run_step(
    driver: &mut Driver,
    recorder: &mut Recorder,
    schedule: &mut std::collections::BTreeMap<(i64, u64), RecordedInput>,
    (at, input): (i64, RecordedInput),
    last_id: &mut u64,
) {
    let mut answer = Vec::new();
    let accepted = feed(driver, Micros(at), &input, &mut answer);
    recorder.record_step(Micros(at), &input, accepted, &answer);
    recorder.maintain(driver, Micros(at));
    for instruction in answer {
        if let Instruction::Start { attempt, .. } = instruction {
            *last_id += 2;
            schedule.insert(
                (at + 1_000, *last_id - 1),
                RecordedInput::Input(Input::Dispatched(attempt)),
            );
            let report = LoadReport {
                utilisation: Some((*last_id % 17) as f64 / 20.0),
                ..LoadReport::default()
            };
            let duration = 50_000 + (*last_id * 7_919 % 900_000) as i64;
            let outcome = if *last_id % 101 < 2 {
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
            schedule.insert((at + duration, *last_id), RecordedInput::Input(ended));
        }
    }
}
