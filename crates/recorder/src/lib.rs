//! The interface between a controller and its decision engine, and a wrapper that records everything that passes through it in a
//! capture.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_engine;
mod recording_driver;

pub use decision_engine::DecisionEngine;
pub use recording_driver::RecordingDriver;
