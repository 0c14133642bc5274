//! PostgreSQL v3 without I/O, on the codec of `pgwire`.
//!
//! - [`frame`]: where a message ends, with limits, before anything is decoded.
//! - [`front`]: messages of a client, their shape checked before the codec sees them (it trusts lengths).
//! - [`back`]: messages of a server: building them, and reading what of them matters.
//! - [`sql`]: where a statement ends, what kind it is, and the hints in its trailing comment.
//! - [`chatter`]: what a controller answers by itself.
//! - [`client`]: a client's session, from its first byte to units of work for an engine.
//! - [`backend`]: a session with an engine, streaming one unit's answer through at a time.
//!
//! Nothing here reads a clock or a socket. Bytes go in, bytes and events come out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod back;
pub mod backend;
pub mod chatter;
pub mod client;
pub mod frame;
pub mod front;
pub mod sql;
