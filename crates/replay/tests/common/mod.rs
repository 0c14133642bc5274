//! A driver with a recorder and simulated engines, in virtual time.
#![allow(dead_code)]

use std::path::Path;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, RecorderState, Start};
use wheelfield_driver::{Arrival, Driver, DriverLimits, Input, Instruction};

pub fn settings() -> Settings {
    let class = Class {
        latency_objective: Micros::from_secs_f64(1.0),
        deadline: Micros::from_secs_f64(5.0),
        value: 1.0,
        threads: 1.0,
        ..Class::default()
    };
    Settings {
        gateway_count: 2.0,
        classes: vec![
            class.clone(),
            Class {
                semantics: ExecutionSemantics::AtMostOnce,
                ..class
            },
        ],
        cores: vec![4.0],
        memory_mb: vec![1000.0],
        cancellation: true,
        load_reports: true,
        reports_utilisation: true,
        max_attempts: 3,
        progress_interval: Micros::from_secs_f64(1.0),
        max_retry_after: Micros::from_secs_f64(1.0),
        slow_start_initial_fraction: 0.4,
        slow_start_duration: Micros::from_secs_f64(5.0),
        overload_multiple: 3.0,
        overload_window: Micros::from_secs_f64(1.0),
        ..Settings::default()
    }
}

pub fn start() -> Start {
    Start {
        build: "test 0".into(),
        index: 0,
        seed: 11,
        settings: settings(),
        driver_limits: DriverLimits::default(),
        classes: vec!["fast".into(), "load".into()],
        tenants: Vec::new(),
    }
}

/// A driver that records a capture. Simulated engines answer each attempt after a time that depends on a counter, with an
/// outcome that depends on the ID of the query.
pub struct Simulation {
    pub driver: Driver,
    pub recorder: Recorder,
    pub now: Micros,
    /// Attempts in flight and when they end.
    pub in_flight: Vec<(Micros, wheelfield_driver::AttemptId)>,
    started_attempts: u64,
    /// Number of steps recorded so far.
    pub steps: u64,
}

impl Simulation {
    /// Starts a simulation whose recorder is created by `recorder`. The driver knows four engines.
    pub fn with_recorder(recorder: impl FnOnce(&Driver) -> Recorder) -> Simulation {
        let driver = Driver::new(settings(), 11, DriverLimits::default());
        let recorder = recorder(&driver);
        let mut simulation = Simulation {
            driver,
            recorder,
            now: Micros(1_000_000),
            in_flight: Vec::new(),
            started_attempts: 0,
            steps: 0,
        };
        simulation.feed_input(Input::Started);
        let engine = |n: u64| EngineEntry {
            engine: EngineId(n),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Up,
            started_at: None,
        };
        simulation.feed_input(Input::Engines {
            complete: true,
            entries: (1..=4).map(engine).collect(),
        });
        simulation
    }

    /// Starts a simulation that records to a file.
    pub fn recording_to(path: &Path, limits: Limits) -> Simulation {
        Simulation::with_recorder(|driver| {
            Recorder::begin(path, start(), limits, driver, Micros(1_000_000))
                .expect("create the capture")
        })
    }

    /// Records a step and schedules the end of each attempt that it starts.
    fn record_step(
        &mut self,
        input: RecordedInput,
        accepted: Option<QueryId>,
        answer: Vec<Instruction>,
    ) {
        self.steps += 1;
        self.recorder
            .record_step(self.now, &input, accepted, &answer);
        self.recorder.maintain(&self.driver, self.now);
        for instruction in answer {
            if let Instruction::Start { attempt, .. } = instruction {
                self.started_attempts += 1;
                let duration = 50_000 + (self.started_attempts * 7919 % 900_000) as i64;
                self.in_flight.push((self.now + Micros(duration), attempt));
            }
        }
    }

    /// Feeds an input to the driver and records the step.
    pub fn feed_input(&mut self, input: Input) {
        let mut answer = Vec::new();
        self.driver
            .handle_input(self.now, input.clone(), &mut answer);
        self.record_step(RecordedInput::Input(input), None, answer);
    }

    /// Advances the time by `ms` milliseconds, with the arrival of a query every five milliseconds.
    pub fn run_for(&mut self, ms: i64) {
        for step in 0..ms / 5 {
            self.now = self.now + Micros(5_000);
            let mut answer = Vec::new();
            if self.driver.handle_timers(self.now, &mut answer) {
                self.record_step(RecordedInput::TimersDue, None, answer);
            }
            let now = self.now;
            let (due, still_in_flight): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(end, _)| *end <= now);
            self.in_flight = still_in_flight;
            for (_, attempt) in due {
                self.feed_input(Input::Dispatched(attempt));
                let outcome_index = attempt.query.0 % 13;
                let outcome = [Outcome::Error, Outcome::Reset, Outcome::Full]
                    .get(outcome_index as usize)
                    .copied();
                let report = LoadReport {
                    utilisation: Some((self.started_attempts % 17) as f64 / 11.0),
                    ..LoadReport::default()
                };
                let outcome = outcome.unwrap_or(Outcome::Served);
                self.feed_input(Input::AttemptEnded {
                    attempt,
                    outcome,
                    reported_work: Some(0.31),
                    report,
                });
            }
            let arrival = Arrival {
                class: usize::from(step % 9 == 0),
                deadline: self.now + Micros::from_secs_f64(4.0),
                work_hint: Some(0.1 + (step % 7) as f64 * 0.13),
                ..Arrival::default()
            };
            let mut answer = Vec::new();
            let accepted = self
                .driver
                .submit(self.now, arrival.clone(), &mut answer)
                .ok();
            self.record_step(
                RecordedInput::Arrive {
                    arrival,
                    label: format!("s{step}"),
                },
                accepted,
                answer,
            );
        }
    }

    /// Ends the capture. Returns the final state of the recorder and the number of steps.
    pub fn finish(self) -> (RecorderState, u64) {
        (self.recorder.finish(self.now), self.steps)
    }
}

/// Returns limits with small blocks and frequent checkpoints.
pub fn small_limits() -> Limits {
    Limits {
        block_bytes: 2_000,
        max_queued_blocks: 100_000,
        checkpoint_interval: Micros(500_000),
        sync_interval: Micros(100_000),
        ..Limits::default()
    }
}

pub fn temp_dir() -> tempfile::TempDir {
    tempfile::tempdir().expect("create a temporary directory")
}
