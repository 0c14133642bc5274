//! Runs the driver of the controllers beside an instance of the decision module: it is given the same events, its inputs and
//! answers are recorded as a capture, and its decisions are compared with the module's. Nothing of it reaches the wire.

use crate::decision::{Decision, ModuleDecisions};
use std::collections::VecDeque;
use std::path::Path;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Arrival, AttemptId, Driver, DriverLimits, Input, Instruction};
use wheelfield_settings::Names;

/// Records that wait for the disk, at most: a simulation runs faster than its time, so more of them come than in service.
const CAPTURE_QUEUE: usize = 1 << 16;

/// One run of an instance, from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    /// Number of the instance.
    pub instance: u32,
    /// How often the instance had been started before.
    pub number: u32,
}

impl Incarnation {
    /// Name of the capture.
    fn name(self) -> String {
        match self.number {
            0 => format!("controller-{}", self.instance),
            number => format!("controller-{}-{number}", self.instance),
        }
    }
}

/// Results of all shadow drivers.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Captures written.
    pub captures: u64,
    /// Steps in them.
    pub steps: u64,
    /// Records lost.
    pub lost: u64,
    /// Decisions of the module that the driver made too.
    pub equal: u64,
    /// The first difference of each incarnation that had one.
    pub differences: Vec<String>,
}

/// The driver beside one incarnation of an instance.
pub struct ShadowDriver {
    name: String,
    driver: Driver,
    recorder: Recorder,
    module: ModuleDecisions,
    /// Decisions of the driver that are not compared yet.
    driver_decisions: VecDeque<Decision>,
    steps: u64,
    equal: u64,
    first_difference: Option<String>,
    now: Micros,
}

impl ShadowDriver {
    /// Starts a driver and the capture of it in `dir`.
    ///
    /// # Errors
    /// If the file can't be created.
    pub fn start(
        dir: &Path,
        incarnation: Incarnation,
        names: &Names,
        settings: &Settings,
        seed: u64,
        now: Micros,
    ) -> std::io::Result<ShadowDriver> {
        let name = incarnation.name();
        let bounds = DriverLimits {
            max_queries: usize::MAX,
            cancel_confirmation_timeout: DriverLimits::EXTERNALLY_TIMED,
        };
        let start = Start {
            build: format!("{} {}", env!("CARGO_PKG_NAME"), env!("CARGO_PKG_VERSION")),
            index: incarnation.instance,
            seed,
            settings: settings.clone(),
            bounds,
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
        };
        let driver = Driver::new(settings.clone(), seed, bounds);
        let limits = Limits {
            max_queued_blocks: CAPTURE_QUEUE,
            ..Limits::default()
        };
        let recorder = Recorder::begin(
            &dir.join(format!("{name}.wfcap")),
            start,
            limits,
            &driver,
            now,
        )?;
        Ok(ShadowDriver {
            name,
            driver,
            recorder,
            module: ModuleDecisions::default(),
            driver_decisions: VecDeque::new(),
            steps: 0,
            equal: 0,
            first_difference: None,
            now,
        })
    }

    /// Gives the driver an event that the module was given, and keeps the decisions of both. `actions` are the module's
    /// answer; `attempt` is the attempt that the event is about, where the event itself does not name it.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        attempt: Option<usize>,
        actions: &[Action],
        names: &Names,
    ) {
        self.now = now;
        if let Event::AttemptEnded(end) = &event {
            self.module.end_attempt(AttemptId {
                query: end.query,
                number: end.attempt,
            });
        }
        for action in actions {
            self.module.add(action);
        }
        if matches!(event, Event::EngineList(_) | Event::EngineChanges(_)) {
            self.recorder.engines(
                now,
                names.engines.iter().map(|(id, name)| (*id, name.clone())),
            );
        }
        if let Some(input) = recorded_input(event, attempt) {
            self.step(input);
        }
    }

    /// Gives the driver an input, records the step and keeps the driver's decisions.
    fn step(&mut self, input: RecordedInput) {
        let mut instructions = Vec::new();
        let accepted_as = match &input {
            RecordedInput::ArriveAs { id, arrival, .. } => self
                .driver
                .submit_with_id(self.now, *id, arrival.clone(), &mut instructions)
                .ok(),
            RecordedInput::Input(input) => {
                self.driver
                    .handle_input(self.now, input.clone(), &mut instructions);
                None
            }
            RecordedInput::Woke(token) => {
                self.driver.fire_timer(self.now, *token, &mut instructions);
                None
            }
            // `recorded_input` makes none of these.
            RecordedInput::Due | RecordedInput::Arrive { .. } => return,
        };
        self.recorder
            .step(self.now, &input, accepted_as, &instructions);
        self.recorder.tend(&self.driver, self.now);
        self.steps += 1;
        let mut started = Vec::new();
        for instruction in instructions {
            if let Instruction::Start { attempt, .. } = &instruction {
                started.push(*attempt);
            }
            self.driver_decisions
                .extend(Decision::from_instruction(instruction));
        }
        // The simulator dispatches an attempt as soon as it is asked to.
        for attempt in started {
            self.step(RecordedInput::Input(Input::Dispatched(attempt)));
        }
    }

    /// Compares the decisions of module and driver, at the end of a batch.
    pub fn compare(&mut self) {
        while let (Some(module), Some(driver)) =
            (self.module.pending.front(), self.driver_decisions.front())
        {
            if module != driver {
                break;
            }
            self.equal += 1;
            self.module.pending.pop_front();
            self.driver_decisions.pop_front();
        }
        if self.module.pending.is_empty() && self.driver_decisions.is_empty() {
            return;
        }
        if self.first_difference.is_none() {
            self.first_difference = Some(self.describe_difference());
        }
        self.module.pending.clear();
        self.driver_decisions.clear();
    }

    fn describe_difference(&self) -> String {
        let first = |decisions: &VecDeque<Decision>| {
            decisions
                .front()
                .map_or("nothing".into(), |decision| format!("{decision:?}"))
        };
        let (name, at) = (&self.name, self.now.as_secs_f64());
        let (module, driver) = (first(&self.module.pending), first(&self.driver_decisions));
        format!("{name} at {at:.6} s: the module wants {module}, the driver {driver}")
    }

    /// Ends the capture and adds the results to a summary.
    pub fn finish(mut self, summary: &mut Summary) {
        self.compare();
        let state = self.recorder.end(self.now);
        summary.captures += 1;
        summary.steps += self.steps;
        summary.lost += state.lost;
        summary.equal += self.equal;
        summary.differences.extend(self.first_difference);
    }
}

/// An event of the module as the input of a driver, in the form that captures record. `None` for an answer of an unknown
/// attempt.
fn recorded_input(event: Event, attempt: Option<usize>) -> Option<RecordedInput> {
    Some(RecordedInput::Input(match event {
        Event::Started => Input::Started,
        Event::EngineList(entries) => Input::Engines {
            complete: true,
            entries,
        },
        Event::EngineChanges(entries) => Input::Engines {
            complete: false,
            entries,
        },
        Event::ListUnavailable => Input::ListUnavailable,
        Event::Arrived(query) => return Some(recorded_arrival(query)),
        Event::AnswerStarted(query) => Input::AnswerStarted(AttemptId {
            query,
            number: attempt?,
        }),
        Event::AttemptUpdated {
            query,
            attempt,
            update,
        } => Input::AttemptUpdated(
            AttemptId {
                query,
                number: attempt,
            },
            update,
        ),
        Event::AttemptEnded(end) => Input::AttemptMeasured {
            attempt: AttemptId {
                query: end.query,
                number: end.attempt,
            },
            outcome: end.outcome,
            reported_work: end.reported_work,
            report: end.report,
            elapsed: end.elapsed,
        },
        Event::Abandoned(query) => Input::Abandoned(query),
        Event::ShutdownDeadline(query) => Input::ShutdownDeadline(query),
        Event::ProbeEnded {
            engine,
            outcome,
            report,
        } => Input::ProbeEnded {
            engine,
            outcome,
            report,
        },
        Event::PeerReports(reports) => Input::PeerReports(reports),
        Event::GatewayCountChanged { count, index } => Input::GatewayCountChanged {
            count: count as u32,
            index: index as u32,
        },
        Event::TimerFired(token) => return Some(RecordedInput::Woke(token)),
    }))
}

fn recorded_arrival(query: Query) -> RecordedInput {
    let Query {
        id,
        class,
        tenant,
        key,
        deadline,
        work_hint,
        memory_hint,
        tables,
    } = query;
    let arrival = Arrival {
        class,
        tenant,
        key,
        deadline,
        work_hint,
        memory_hint,
        tables,
    };
    RecordedInput::ArriveAs {
        id,
        arrival,
        label: format!("{:016x}", id.0),
    }
}
