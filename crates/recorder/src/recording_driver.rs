//! What decides, with a record of its inputs and outputs.

use crate::DecisionEngine;
use std::collections::VecDeque;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{RecordedInput, Recorder, State};
use wheelfield_driver::{Arrival, CapacityExceeded, Input, Instruction};

/// The one path from a controller to what decides in it. Whatever takes it is recorded, where a capture is wanted.
pub struct RecordingDriver {
    engine: Box<dyn DecisionEngine>,
    recorder: Option<Recorder>,
    /// Instructions of the current step.
    fresh: Vec<Instruction>,
    /// Instructions that were not taken yet.
    pending: VecDeque<Instruction>,
}

impl RecordingDriver {
    /// Wraps what decides; without a recorder nothing is recorded.
    pub fn new(engine: Box<dyn DecisionEngine>, recorder: Option<Recorder>) -> RecordingDriver {
        RecordingDriver {
            engine,
            recorder,
            fresh: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    /// Hands in something that happened.
    pub fn handle_input(&mut self, now: i64, input: Input) {
        let recorded = self
            .recorder
            .is_some()
            .then(|| RecordedInput::Input(input.clone()));
        self.engine
            .handle_input(Micros(now), input, &mut self.fresh);
        self.finish_step(now, recorded, None);
    }

    /// Hands in a query. `label` is the name that its client gave it.
    ///
    /// # Errors
    /// [`CapacityExceeded`] when as many queries are held as may be.
    pub fn submit(
        &mut self,
        now: i64,
        arrival: Arrival,
        label: &str,
    ) -> Result<QueryId, CapacityExceeded> {
        let record = || RecordedInput::Arrive {
            arrival: arrival.clone(),
            label: label.to_string(),
        };
        let recorded = self.recorder.is_some().then(record);
        let submitted = self.engine.submit(Micros(now), arrival, &mut self.fresh);
        self.finish_step(now, recorded, submitted.ok());
        submitted
    }

    /// Lets the time pass.
    pub fn handle_timers(&mut self, now: i64) {
        if self.engine.handle_timers(Micros(now), &mut self.fresh) {
            self.finish_step(now, Some(RecordedInput::Due), None);
        }
    }

    /// Records a step, and keeps its instructions until they are taken.
    fn finish_step(
        &mut self,
        now: i64,
        recorded: Option<RecordedInput>,
        submitted: Option<QueryId>,
    ) {
        if let (Some(recorder), Some(told)) = (&mut self.recorder, recorded) {
            recorder.step(Micros(now), &told, submitted, &self.fresh);
            self.maintain_capture(now);
        }
        self.pending.extend(self.fresh.drain(..));
    }

    /// Takes the next instruction.
    pub fn next_instruction(&mut self) -> Option<Instruction> {
        self.pending.pop_front()
    }

    /// What decides.
    pub fn decision_engine(&self) -> &dyn DecisionEngine {
        &*self.engine
    }

    /// Records the names of engines, for readers of the capture.
    pub fn record_engine_names(
        &mut self,
        now: i64,
        names: impl Iterator<Item = (EngineId, String)>,
    ) {
        if let Some(recorder) = &mut self.recorder {
            recorder.engines(Micros(now), names);
        }
    }

    /// Called once a second and after each step: writes checkpoints, looks for reasons to keep a capture.
    pub fn maintain_capture(&mut self, now: i64) {
        if let (Some(recorder), Some(driver)) = (&mut self.recorder, self.engine.driver()) {
            recorder.tend(driver, Micros(now));
        }
    }

    /// Requests the capture that is held in memory; false if there is none.
    pub fn request_capture(&mut self, now: i64) -> bool {
        let Some(recorder) = &mut self.recorder else {
            return false;
        };
        recorder.ask(Micros(now));
        self.maintain_capture(now);
        true
    }

    /// The state of the capture.
    pub fn capture_state(&self) -> State {
        self.recorder
            .as_ref()
            .map(Recorder::state)
            .unwrap_or_default()
    }

    /// Takes the recorder out, to be ended.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
