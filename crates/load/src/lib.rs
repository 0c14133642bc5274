//! An open-loop load generator: what is sent, and when, is drawn before anything runs; latency counts from the time at which
//! a query was meant to be sent, whatever held it up; and the generator measures its own lateness.
//!
//! - [`script`]: what is asked for, as TOML.
//! - [`schedule`]: all sends drawn from it by a seed; no I/O.
//! - [`crew`]: the clients: connections, answers, giving up, further tries; no I/O and no clock.
//! - [`tally`]: what was counted and timed; merged without loss.
//! - [`runner`]: the sockets.
//! - [`view`]: the live view.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod crew;
pub mod runner;
pub mod schedule;
pub mod script;
pub mod tally;
pub mod view;
