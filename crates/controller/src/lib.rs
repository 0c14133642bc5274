//! The controller process: an event loop that runs a sans-I/O controller on real sockets.
//!
//! The sans-I/O controller is [`wheelfield_pg_gateway::PgGateway`] for PostgreSQL clients ([`postgres`]) and
//! [`wheelfield_platform::Platform`] on the operators' platform ([`platform`]). A single-threaded event loop on mio
//! passes it the events of sockets, files and signals, and applies the effects that it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bind;
mod capture;
mod endpoint_files;
mod error;
mod event_loop;
mod gossip_keys;
pub mod platform;
pub mod postgres;
pub mod signals;
pub mod startup;

pub use error::ControllerError;
