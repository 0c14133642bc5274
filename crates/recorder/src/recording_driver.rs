//! A wrapper around a decision engine that records its inputs and instructions in a capture.

use crate::DecisionEngine;
use std::collections::VecDeque;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{RecordedInput, Recorder, RecorderState};
use wheelfield_driver::{Arrival, CapacityExceeded, Input, Instruction};

/// Passes all inputs of a controller to its decision engine and queues the resulting instructions. If a capture is configured,
/// each input is recorded together with its instructions. Times are microseconds of the controller's clock.
pub struct RecordingDriver {
    decision_engine: Box<dyn DecisionEngine>,
    recorder: Option<Recorder>,
    /// Instructions that resulted from the input that is being handled.
    step_instructions: Vec<Instruction>,
    /// Instructions that the controller has not taken yet, oldest first.
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
        let recorded_input = self
            .recorder
            .is_some()
            .then(|| RecordedInput::Input(input.clone()));
        self.decision_engine
            .handle_input(Micros(now), input, &mut self.step_instructions);
        self.finish_step(now, recorded_input, None);
    }

    /// Submits a query to the decision engine and records it. `label` is the name that the client gave the query; it is only
    /// recorded, and has no effect on decisions.
    ///
    /// # Errors
    /// [`CapacityExceeded`] if the maximum number of queries is already held.
    pub fn submit(
        &mut self,
        now: i64,
        arrival: Arrival,
        label: &str,
    ) -> Result<QueryId, CapacityExceeded> {
        let to_recorded_input = || RecordedInput::Arrive {
            arrival: arrival.clone(),
            label: label.to_string(),
        };
        let recorded_input = self.recorder.is_some().then(to_recorded_input);
        let result = self
            .decision_engine
            .submit(Micros(now), arrival, &mut self.step_instructions);
        self.finish_step(now, recorded_input, result.ok());
        result
    }

    /// Handles the timers that are due. If there were any, records that timers were handled at this time.
    pub fn handle_timers(&mut self, now: i64) {
        if self
            .decision_engine
            .handle_timers(Micros(now), &mut self.step_instructions)
        {
            self.finish_step(now, Some(RecordedInput::TimersDue), None);
        }
    }

    /// Records an input with its instructions, and queues the instructions until the controller takes them. `accepted_query` is
    /// the id of the query that the input submitted.
    fn finish_step(
        &mut self,
        now: i64,
        recorded_input: Option<RecordedInput>,
        accepted_query: Option<QueryId>,
    ) {
        if let (Some(recorder), Some(input)) = (&mut self.recorder, recorded_input) {
            recorder.record_step(Micros(now), &input, accepted_query, &self.step_instructions);
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

    /// Records the names of engines, which the tools that read captures show instead of engine ids.
    pub fn record_engine_names(
        &mut self,
        now: i64,
        names: impl Iterator<Item = (EngineId, String)>,
    ) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_engines(Micros(now), names);
        }
    }

    /// Does the periodic work of the capture: passes recorded data on to be written and takes a checkpoint of the driver, each
    /// if it is due, and writes a capture held in memory to a file if a trigger has fired. Called once a second and after each
    /// recorded input. Without effect if the decision engine is not a [`Driver`](wheelfield_driver::Driver).
    pub fn maintain_capture(&mut self, now: i64) {
        if let (Some(recorder), Some(driver)) = (&mut self.recorder, self.decision_engine.driver())
        {
            recorder.maintain(driver, Micros(now));
        }
    }

    /// Requests that a capture held in memory be written to a file; a capture that is written to files anyway is not affected.
    /// Returns `false` if nothing is recorded.
    pub fn request_capture(&mut self, now: i64) -> bool {
        let Some(recorder) = &mut self.recorder else {
            return false;
        };
        recorder.request_file(Micros(now));
        self.maintain_capture(now);
        true
    }

    /// Returns the state of the capture; all counts are zero if nothing is recorded.
    pub fn capture_state(&self) -> RecorderState {
        self.recorder
            .as_ref()
            .map(Recorder::state)
            .unwrap_or_default()
    }

    /// Removes and returns the recorder, so that the caller can finish the capture. Nothing is recorded from then on.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
