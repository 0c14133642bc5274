//! The interface between an event loop and protocol implementations that do no I/O themselves (sans-I/O): the protocol trait,
//! I/O events, effects, timers, connection buffers, a table of connections, and a small HTTP/1.1 codec. The crate uses no sockets
//! and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection_buffer;
mod connection_table;
mod effect_queue;
pub mod http;
mod protocol;
mod timers;

pub use connection_buffer::ConnectionBuffer;
pub use connection_table::{ConnId, ConnectionTable};
pub use effect_queue::{DatagramSocket, Effect, EffectQueue, Listener};
pub use protocol::{FailureCause, IoEvent, Protocol};
pub use timers::{TimerKey, Timers};
