//! Sockets, a clock and an HTTP client that the programs share.
//!
//! Sockets and streams are non-blocking, and callers can limit the size of their buffers. Nothing in this crate depends on
//! queries or engines. Timers and the HTTP codec are re-exported from `wheelfield-sans-io`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bind;
mod clock;
pub mod http;
mod retry;
mod socket;
mod stream;

pub use bind::{bind_datagram_socket, listen};
pub use clock::Clock;
pub use retry::retry_interrupted;
pub use socket::{is_transient, Socket};
pub use stream::Stream;
pub use wheelfield_sans_io::{TimerKey, Timers};
