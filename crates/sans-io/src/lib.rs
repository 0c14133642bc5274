//! What an event loop and the controllers without I/O share: the protocol trait, I/O events, effects and timers, connection
//! buffers, connection ids that are never reused, and HTTP beside the main protocol. No sockets, no clock.
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
