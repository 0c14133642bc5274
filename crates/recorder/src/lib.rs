//! The one door from a controller to what decides in it, and the record of all that goes through.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_engine;
mod recording_driver;

pub use decision_engine::DecisionEngine;
pub use recording_driver::RecordingDriver;
