//! The running controller: one event loop around a controller without I/O.
//!
//! That is [`wheelfield_pg_gateway::PgGateway`] for PostgreSQL clients ([`postgres`]) and
//! [`wheelfield_platform::Platform`] on the operators' platform ([`platform`]). The event loop hands it what happened on
//! sockets, in files and by signals, and carries out the effects that it returns. One thread, one loop on mio.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod event_loop;
mod keys;
pub mod platform;
pub mod postgres;
mod record;
mod sockets;
