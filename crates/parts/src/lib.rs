//! What programs and the controller without I/O share: timers by time, HTTP beside the main protocol, and numbers of
//! connections that are never taken for another's. No sockets, no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod http;
mod slots;
mod timers;

pub use slots::{ConnId, Slots};
pub use timers::{TimerKey, Timers};
