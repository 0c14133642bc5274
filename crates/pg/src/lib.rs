//! PostgreSQL v3 without I/O, on the codec of `pgwire`.
//!
//! - [`frame`]: where a message ends, with limits, before anything is decoded.
//! - [`frontend_messages`]: messages of a client, their shape checked before the codec sees them (it trusts lengths).
//! - [`backend_messages`]: messages of a server: building them, and reading what of them matters.
//! - [`sql`]: where a statement ends, what kind it is, and the hints in its trailing comment.
//! - [`local_statements`]: what a controller answers by itself.
//! - [`client`]: a client's session, from its first byte to units of work for an engine.
//! - [`backend`]: a session with an engine, streaming one unit's answer through at a time.
//!
//! Nothing here reads a clock or a socket. Bytes go in, bytes and events come out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod backend_messages;
pub mod client;
pub mod frame;
pub mod frontend_messages;
pub mod local_statements;
pub mod sql;
