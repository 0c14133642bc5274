//! The one path to the policy module, for the controllers, the replay and every checker.
//!
//! A [`Driver`] owns one [`wheelfield::Gateway`] and the records around it: the numbers of queries and attempts, the timers,
//! the seed, what is in flight and what was answered. It is handed what happened outside as [`Input`]s, turns them into
//! the module's events, and turns the module's actions into [`Instruction`]s. It reads no clock, does no I/O and decides
//! nothing: where a query goes, whether it is retried and how it is given up is the module's decision.
//!
//! What the driver does by itself has one possible result only:
//!
//! - an ending of an attempt that is settled already is dropped;
//! - an attempt whose time is up is settled as timed out, or as one whose connection timed out if not a byte of it was written;
//! - an attempt that is not written yet when its engine drains or goes is cancelled, known not to have run;
//! - an answer that broke off after its first row went to the client is a failure, as nothing else is left.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempts;
mod counters;
mod driver;
mod input;
mod instruction;
mod timers;

pub use attempts::AttemptId;
pub use counters::DriverCounters;
pub use driver::Driver;
pub use input::{Arrival, CapacityExceeded, DriverLimits, Input};
pub use instruction::{Answer, AttemptOptions, Instruction};
