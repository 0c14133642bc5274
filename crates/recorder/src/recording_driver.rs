//! A wrapper around a decision engine that records its inputs and outputs.

use crate::DecisionEngine;
use std::collections::VecDeque;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{RecordedInput, Recorder, RecorderState};
use wheelfield_driver::{Arrival, CapacityExceeded, Input, Instruction};

/// Passes all inputs of a controller to its decision engine and queues the resulting instructions. If a capture is configured, each
/// input is recorded together with its instructions.
pub struct RecordingDriver {
    decision_engine: Box<dyn DecisionEngine>,
    recorder: Option<Recorder>,
    /// Instructions that result from the current input.
    step_instructions: Vec<Instruction>,
    /// Instructions that the controller has not taken yet.
    pending_instructions: VecDeque<Instruction>,
}

impl RecordingDriver {
    /// Wraps a decision engine. Without a recorder nothing is recorded.
    pub fn new(
        decision_engine: Box<dyn DecisionEngine>,
        recorder: Option<Recorder>,
    ) -> RecordingDriver {
        RecordingDriver {
            decision_engine,
            recorder,
            step_instructions: Vec::new(),
            pending_instructions: VecDeque::new(),
        }
    }

    /// Passes an input to the decision engine and records it.
    pub fn handle_input(&mut self, now: i64, input: Input) {
        let recorded = self
            .recorder
            .is_some()
            .then(|| RecordedInput::Input(input.clone()));
        self.decision_engine
            .handle_input(Micros(now), input, &mut self.step_instructions);
        self.finish_step(now, recorded, None);
    }

    /// Submits a query to the decision engine and records it. `label` is the name that the client gave the query.
    ///
    /// # Errors
    /// [`CapacityExceeded`] if the maximum number of queries is already held.
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
        let submitted =
            self.decision_engine
                .submit(Micros(now), arrival, &mut self.step_instructions);
        self.finish_step(now, recorded, submitted.ok());
        submitted
    }

    /// Handles the timers that are due, and records this if there were any.
    pub fn handle_timers(&mut self, now: i64) {
        if self
            .decision_engine
            .handle_timers(Micros(now), &mut self.step_instructions)
        {
            self.finish_step(now, Some(RecordedInput::TimersDue), None);
        }
    }

    /// Records an input with its instructions, and queues the instructions until the controller takes them.
    fn finish_step(
        &mut self,
        now: i64,
        recorded: Option<RecordedInput>,
        submitted: Option<QueryId>,
    ) {
        if let (Some(recorder), Some(input)) = (&mut self.recorder, recorded) {
            recorder.record_step(Micros(now), &input, submitted, &self.step_instructions);
            self.maintain_capture(now);
        }
        self.pending_instructions
            .extend(self.step_instructions.drain(..));
    }

    /// Removes and returns the oldest pending instruction.
    pub fn next_instruction(&mut self) -> Option<Instruction> {
        self.pending_instructions.pop_front()
    }

    /// Returns the wrapped decision engine.
    pub fn decision_engine(&self) -> &dyn DecisionEngine {
        &*self.decision_engine
    }

    /// Records the names of engines, which readers of the capture show instead of ids.
    pub fn record_engine_names(
        &mut self,
        now: i64,
        names: impl Iterator<Item = (EngineId, String)>,
    ) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_engines(Micros(now), names);
        }
    }

    /// Writes checkpoints that are due, and keeps the capture if there is a reason to. Called once a second and after each recorded
    /// input.
    pub fn maintain_capture(&mut self, now: i64) {
        if let (Some(recorder), Some(driver)) = (&mut self.recorder, self.decision_engine.driver())
        {
            recorder.maintain(driver, Micros(now));
        }
    }

    /// Requests that the capture held in memory be written to a file. Returns `false` if nothing is recorded.
    pub fn request_capture(&mut self, now: i64) -> bool {
        let Some(recorder) = &mut self.recorder else {
            return false;
        };
        recorder.request_file(Micros(now));
        self.maintain_capture(now);
        true
    }

    /// Returns the state of the capture.
    pub fn capture_state(&self) -> RecorderState {
        self.recorder
            .as_ref()
            .map(Recorder::state)
            .unwrap_or_default()
    }

    /// Removes the recorder, so that the caller can finish it.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
