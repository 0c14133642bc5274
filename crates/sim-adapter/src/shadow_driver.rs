//! Runs the controllers' driver in parallel with an instance of the policy module. The driver gets the same events, its inputs
//! and instructions are recorded as a capture, and its decisions are compared with those of the module. The driver has no
//! effect on the replies to the simulator.

use crate::decision::{Decision, ModuleDecisions};
use std::collections::VecDeque;
use std::path::Path;
use wheelfield::interface::*;
use wheelfield_capture::{Limits, RecordedInput, Recorder, Start};
use wheelfield_driver::{Arrival, AttemptId, Driver, DriverLimits, Input, Instruction};
use wheelfield_settings::Names;

/// Maximum number of capture blocks queued for the disk. Simulated time passes faster than real time, so blocks are produced
/// faster than in a controller.
const MAX_QUEUED_BLOCKS: usize = 1 << 16;

/// One run of an instance, from its start to its end; an instance may be restarted.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    /// Id of the instance.
    pub instance: u32,
    /// How many times the instance had been started before.
    pub number: u32,
}

impl Incarnation {
    /// Name of the capture file, without extension.
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
    /// Number of captures written.
    pub captures: u64,
    /// Number of steps in the captures.
    pub steps: u64,
    /// Number of records lost.
    pub lost: u64,
    /// Number of decisions on which the module and the driver agreed.
    pub matching_decisions: u64,
    /// The first difference of each incarnation that had one.
    pub differences: Vec<String>,
}

/// The driver that is compared with one incarnation of an instance.
pub struct ShadowDriver {
    name: String,
    driver: Driver,
    recorder: Recorder,
    module: ModuleDecisions,
    /// Decisions of the driver that have not been compared yet.
    driver_decisions: VecDeque<Decision>,
    steps: u64,
    matching_decisions: u64,
    first_difference: Option<String>,
    now: Micros,
}

impl ShadowDriver {
    /// Creates a driver, and a capture of it in `dir`.
    ///
    /// # Errors
    /// The error of the file system if the capture cannot be created.
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
            driver_limits: bounds,
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
        };
        let driver = Driver::new(settings.clone(), seed, bounds);
        let capture_limits = Limits {
            max_queued_blocks: MAX_QUEUED_BLOCKS,
            ..Limits::default()
        };
        let recorder = Recorder::begin(
            &dir.join(format!("{name}.wfcap")),
            start,
            capture_limits,
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
            matching_decisions: 0,
            first_difference: None,
            now,
        })
    }

    /// Passes an event that the module has handled to the driver, and stores the decisions of both. `actions` are the module's
    /// actions for the event; `attempt` is the number of the attempt that the event is about, for events that do not contain
    /// it.
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
            self.recorder.record_engines(
                now,
                names.engines.iter().map(|(id, name)| (*id, name.clone())),
            );
        }
        if let Some(input) = recorded_input(event, attempt) {
            self.step(input);
        }
    }

    /// Passes an input to the driver, records the step and stores the driver's decisions.
    fn step(&mut self, input: RecordedInput) {
        let mut instructions = Vec::new();
        let accepted_as = match &input {
            RecordedInput::ArriveWithId { id, arrival, .. } => self
                .driver
                .submit_with_id(self.now, *id, arrival.clone(), &mut instructions)
                .ok(),
            RecordedInput::Input(input) => {
                self.driver
                    .handle_input(self.now, input.clone(), &mut instructions);
                None
            }
            RecordedInput::TimerFired(token) => {
                self.driver.fire_timer(self.now, *token, &mut instructions);
                None
            }
            // `recorded_input` does not return these.
            RecordedInput::TimersDue | RecordedInput::Arrive { .. } => return,
        };
        self.recorder
            .record_step(self.now, &input, accepted_as, &instructions);
        self.recorder.maintain(&self.driver, self.now);
        self.steps += 1;
        let mut started = Vec::new();
        for instruction in instructions {
            if let Instruction::Start { attempt, .. } = &instruction {
                started.push(*attempt);
            }
            self.driver_decisions
                .extend(Decision::from_instruction(instruction));
        }
        // The simulator dispatches an attempt as soon as it gets the decision to start it.
        for attempt in started {
            self.step(RecordedInput::Input(Input::Dispatched(attempt)));
        }
    }

    /// Compares the decisions of the module and the driver at the end of a batch.
    pub fn compare(&mut self) {
        while let (Some(module), Some(driver)) =
            (self.module.pending.front(), self.driver_decisions.front())
        {
            if module != driver {
                break;
            }
            self.matching_decisions += 1;
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

    /// Ends the capture and adds its results to a summary.
    pub fn finish(mut self, summary: &mut Summary) {
        self.compare();
        let state = self.recorder.finish(self.now);
        summary.captures += 1;
        summary.steps += self.steps;
        summary.lost += state.lost;
        summary.matching_decisions += self.matching_decisions;
        summary.differences.extend(self.first_difference);
    }
}

/// Converts an event of the module to the input of a driver, in the form in which captures record it. Returns `None` for the
/// start of an answer whose attempt is unknown.
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
        Event::TimerFired(token) => return Some(RecordedInput::TimerFired(token)),
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
    RecordedInput::ArriveWithId {
        id,
        arrival,
        label: format!("{:016x}", id.0),
    }
}
