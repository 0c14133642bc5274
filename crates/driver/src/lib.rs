//! The interface to the policy module that the controllers, the replay tool and the invariant checkers share.
//!
//! A [`Driver`] owns one [`wheelfield::Gateway`] (the policy module) and the state around it: query and attempt ids, timers,
//! attempts in flight, and which queries have been answered. It receives external events as [`Input`]s and converts them to
//! the module's events, and it converts the module's actions to [`Instruction`]s. It reads no clock, does no I/O and makes no
//! policy decisions: the module decides where a query runs, whether it is retried and when it fails.
//!
//! The driver handles by itself only the cases that have a single possible result:
//!
//! - A second report of the end of an attempt is ignored.
//! - An attempt that exceeds its timeout ends as [`Outcome::TimedOut`](wheelfield::interface::Outcome::TimedOut), or as
//!   [`Outcome::ConnectTimedOut`](wheelfield::interface::Outcome::ConnectTimedOut) if no byte of it was written.
//! - An attempt that has not been written when its engine starts to drain or is removed is cancelled. It cannot have run.
//! - An answer that breaks off after its first row went to the client makes the query fail, since it can no longer be retried.
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
