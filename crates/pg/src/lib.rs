//! The PostgreSQL v3 protocol without I/O, built on the codec of `pgwire`.
//!
//! - [`frame`]: splits a byte stream into messages and limits their length before they are decoded.
//! - [`frontend_messages`]: parses and writes the messages of a client. Bodies are validated before they are
//!   decoded, because the codec trusts the lengths in them.
//! - [`backend_messages`]: writes the messages of a server, and parses those that the controller evaluates.
//! - [`sql`]: splits a text into statements, classifies them, and reads the hints in the trailing comment.
//! - [`local_statements`]: executes the statements that the controller answers without an engine, such as SET and SHOW.
//! - [`client`]: the protocol state of a client's session, which turns its messages into units of work for an engine.
//! - [`backend`]: the protocol state of a session with an engine, which streams the response of one unit at a time to
//!   its client.
//!
//! Nothing in this crate reads a clock or a socket: the caller passes in bytes and receives bytes and events.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod backend_messages;
pub mod client;
pub mod frame;
pub mod frontend_messages;
pub mod local_statements;
pub mod sql;
