//! The configuration of a controller: TOML in, checked settings out.
//!
//! Nothing is guessed: an unknown key, a time without a unit, a name that nothing bears or two keys that contradict
//! each other is a [`Fault`] with its file, line, column, what is wrong and how to mend it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod fault;
mod file;
pub mod units;

pub use check::{
    engine_id, parse, Capture, Config, EngineAt, Gossip, Limits, Members, Names, Peers, Refresh, Registry,
    Ring, Route, Selector, Timing, Words,
};
pub use fault::{locate, Fault};
