//! Reads the TOML configuration of a controller and returns validated settings.
//!
//! Parsing is strict. An unknown key, a time without a unit, a reference to an undefined name and two keys that
//! contradict each other are each reported as a [`ConfigError`], which contains the file, the line, the column, the
//! problem and a suggested correction.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod model;
mod schema;
pub mod units;
mod validate;

pub use error::{locate, ConfigError};
pub use model::{
    engine_id, Capture, Config, EndpointFiles, EngineEndpoint, Gossip, Limits, Names,
    PeerMessageLimits, Peers, Refresh, Registry, RingCapture, Route, Selector, Timing,
};
pub use validate::parse;
