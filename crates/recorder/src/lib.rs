//! What decides in a controller, and the record of everything that goes through it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_engine;
mod recording_driver;

pub use decision_engine::DecisionEngine;
pub use recording_driver::RecordingDriver;
