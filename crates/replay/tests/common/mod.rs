//! A driver that records, on a wire that answers by a simple rule in virtual time.
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

/// A driver with its recorder, and a wire that answers by a simple rule.
pub struct Scene {
    pub driver: Driver,
    pub recorder: Recorder,
    pub now: Micros,
    pub out: Vec<(Micros, wheelfield_driver::AttemptId)>,
    n: u64,
    pub steps: u64,
}

impl Scene {
    pub fn on(recorder: impl FnOnce(&Driver) -> Recorder) -> Scene {
        let driver = Driver::new(settings(), 11, DriverLimits::default());
        let recorder = recorder(&driver);
        let mut scene = Scene {
            driver,
            recorder,
            now: Micros(1_000_000),
            out: Vec::new(),
            n: 0,
            steps: 0,
        };
        scene.tell(Input::Started);
        let engine = |n: u64| EngineEntry {
            engine: EngineId(n),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Up,
            started_at: None,
        };
        scene.tell(Input::Engines {
            complete: true,
            entries: (1..=4).map(engine).collect(),
        });
        scene
    }

    pub fn at(path: &Path, limits: Limits) -> Scene {
        Scene::on(|driver| {
            Recorder::begin(path, start(), limits, driver, Micros(1_000_000)).expect("a file")
        })
    }

    fn note(&mut self, told: RecordedInput, taken: Option<QueryId>, fresh: Vec<Instruction>) {
        self.steps += 1;
        self.recorder.record_step(self.now, &told, taken, &fresh);
        self.recorder.maintain(&self.driver, self.now);
        for i in fresh {
            if let Instruction::Start { attempt, .. } = i {
                self.n += 1;
                let after = 50_000 + (self.n * 7919 % 900_000) as i64;
                self.out.push((self.now + Micros(after), attempt));
            }
        }
    }

    pub fn tell(&mut self, input: Input) {
        let mut fresh = Vec::new();
        self.driver
            .handle_input(self.now, input.clone(), &mut fresh);
        self.note(RecordedInput::Input(input), None, fresh);
    }

    /// Lets so many milliseconds pass, with a query every five of them.
    pub fn play(&mut self, ms: i64) {
        for step in 0..ms / 5 {
            self.now = self.now + Micros(5_000);
            let mut fresh = Vec::new();
            if self.driver.handle_timers(self.now, &mut fresh) {
                self.note(RecordedInput::TimersDue, None, fresh);
            }
            let now = self.now;
            let (ripe, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.out)
                .into_iter()
                .partition(|(t, _)| *t <= now);
            self.out = left;
            for (_, attempt) in ripe {
                self.tell(Input::Dispatched(attempt));
                let odd = attempt.query.0 % 13;
                let outcome = [Outcome::Error, Outcome::Reset, Outcome::Full]
                    .get(odd as usize)
                    .copied();
                let report = LoadReport {
                    utilisation: Some((self.n % 17) as f64 / 11.0),
                    ..LoadReport::default()
                };
                let outcome = outcome.unwrap_or(Outcome::Served);
                self.tell(Input::AttemptEnded {
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
            let mut fresh = Vec::new();
            let taken = self
                .driver
                .submit(self.now, arrival.clone(), &mut fresh)
                .ok();
            self.note(
                RecordedInput::Arrive {
                    arrival,
                    label: format!("s{step}"),
                },
                taken,
                fresh,
            );
        }
    }

    pub fn end(self) -> (RecorderState, u64) {
        (self.recorder.finish(self.now), self.steps)
    }
}

pub fn small() -> Limits {
    Limits {
        block_bytes: 2_000,
        max_queued_blocks: 100_000,
        checkpoint_interval: Micros(500_000),
        sync_interval: Micros(100_000),
        ..Limits::default()
    }
}

pub fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}
