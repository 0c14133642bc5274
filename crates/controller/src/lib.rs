//! The running controller: one shell around a controller without I/O. That is [`wheelfield_pg_gateway::Gate`] for PostgreSQL clients
//! ([`app`]) and [`wheelfield_platform::Platform`] on the operators' platform ([`node`]). The shell brings what happens on
//! sockets, in files and by signals to it, and carries out the effects that come of it. One thread, one loop on mio.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod event_loop;
mod keys;
pub mod platform;
pub mod postgres;
mod record;
mod sockets;
