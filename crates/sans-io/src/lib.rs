//! What programs and the controllers without I/O share: effects and timers, the bytes of a connection, HTTP beside the main
//! protocol, and numbers of connections that are never taken for another's. No sockets, no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod http;
mod inside;
mod out;
mod slots;
mod timers;
mod wire;

pub use inside::{Inside, Socketed};
pub use out::{Door, Effect, Out, Port};
pub use slots::{ConnId, Slots};
pub use timers::{TimerKey, Timers};
pub use wire::Wire;
