//! What programs and the controllers without I/O share: effects and timers, the bytes of a connection, HTTP beside the main
//! protocol, and numbers of connections that are never taken for another's. No sockets, no clock.
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
pub use protocol::{IoEvent, Protocol};
pub use timers::{TimerKey, Timers};
