//! The interface between a controller and its decision engine, and the recording of all inputs and outputs that pass through it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_engine;
mod recording_driver;

pub use decision_engine::DecisionEngine;
pub use recording_driver::RecordingDriver;
