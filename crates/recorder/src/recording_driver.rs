//! What decides, and the record of all that it is told and answers.

use crate::decision_engine::DecisionEngine;
use std::collections::VecDeque;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{Recorder, Told};
use wheelfield_driver::{Arrival, CapacityExceeded, Input, Instruction};

/// The one door to what decides. Whatever goes through it is recorded, where a capture is wanted.
pub struct RecordingDriver {
    mind: Box<dyn DecisionEngine>,
    recorder: Option<Recorder>,
    fresh: Vec<Instruction>,
    waiting: VecDeque<Instruction>,
}

impl RecordingDriver {
    /// A tape around what decides.
    pub fn new(mind: Box<dyn DecisionEngine>, recorder: Option<Recorder>) -> RecordingDriver {
        RecordingDriver { mind, recorder, fresh: Vec::new(), waiting: VecDeque::new() }
    }

    /// Tells what happened.
    pub fn handle_input(&mut self, now: i64, input: Input) {
        let told = self.recorder.is_some().then(|| Told::Input(input.clone()));
        self.mind.handle_input(Micros(now), input, &mut self.fresh);
        self.keep(now, told, None);
    }

    /// Hands in a query.
    pub fn submit(&mut self, now: i64, arrival: Arrival, label: &str) -> Result<QueryId, CapacityExceeded> {
        let told = self
            .recorder
            .is_some()
            .then(|| Told::Arrive { arrival: arrival.clone(), label: label.to_string() });
        let taken = self.mind.submit(Micros(now), arrival, &mut self.fresh);
        self.keep(now, told, taken.ok());
        taken
    }

    /// Lets the time pass.
    pub fn handle_timers(&mut self, now: i64) {
        if self.mind.handle_timers(Micros(now), &mut self.fresh) {
            self.keep(now, Some(Told::Due), None);
        }
    }

    /// Records a step, and keeps what is to be done.
    fn keep(&mut self, now: i64, told: Option<Told>, taken: Option<QueryId>) {
        if let (Some(recorder), Some(told)) = (&mut self.recorder, told) {
            recorder.step(Micros(now), &told, taken, &self.fresh);
            self.maintain_capture(now);
        }
        self.waiting.extend(self.fresh.drain(..));
    }

    /// Takes the next thing to be done.
    pub fn next_instruction(&mut self) -> Option<Instruction> {
        self.waiting.pop_front()
    }

    /// What decides.
    pub fn decision_engine(&self) -> &dyn DecisionEngine {
        &*self.mind
    }

    /// Engines by name, for whoever reads the capture.
    pub fn record_engine_names(&mut self, now: i64, names: impl Iterator<Item = (EngineId, String)>) {
        if let Some(recorder) = &mut self.recorder {
            recorder.engines(Micros(now), names);
        }
    }

    /// Once a second and after each step: checkpoints, reasons to keep a capture.
    pub fn maintain_capture(&mut self, now: i64) {
        if let (Some(recorder), Some(driver)) = (&mut self.recorder, self.mind.driver()) {
            recorder.tend(driver, Micros(now));
        }
    }

    /// Asks for the capture that is held in memory; false if there is none.
    pub fn request_capture(&mut self, now: i64) -> bool {
        let Some(recorder) = &mut self.recorder else { return false };
        recorder.ask(Micros(now));
        self.maintain_capture(now);
        true
    }

    /// How the capture stands.
    pub fn capture_state(&self) -> wheelfield_capture::State {
        self.recorder.as_ref().map(Recorder::state).unwrap_or_default()
    }

    /// The recorder, to be ended.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
