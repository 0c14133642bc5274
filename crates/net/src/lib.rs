//! Sockets and clock: what the programs share of the outside world.
//!
//! All of it is non-blocking and bounded. Nothing here knows of queries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
pub mod http;
mod stream;

pub use clock::Clock;
pub use stream::{connect, connect_from, datagrams, listen, Socket, Stream};
pub use wheelfield_sans_io::{TimerKey, Timers};
