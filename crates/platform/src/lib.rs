//! The operators' platform protocol: a whole controller without system calls. What happened goes in, with the time; what is to
//! be done comes out.
//!
//! [`Platform`] has the same door as the controller of PostgreSQL clients ([`wheelfield_sans_io::Protocol`]), and the same shell
//! carries out what it wants. Clients speak HTTP/1.1 (`front`, `clients`), executors lines of words (`lines`, `executors`), the
//! name service DNS (`names`), other controllers datagrams (`peers`). A result is fetched whole before its client is told
//! anything, so that one that is lost on the way can be tried again (`rows`). `flow` hands the words of one room to the others.
//!
//! Nothing here decides whether a query enters, where it goes or whether it is tried again: that comes as instructions of the
//! [`wheelfield_driver::Driver`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod abandonment;
mod bootstrap;
mod clients;
mod discovery;
mod dispatcher;
mod executor_protocol;
mod executors;
mod gateway;
mod http_server;
mod in_flight;
mod peers;
mod result_pages;
mod shutdown;
mod tables;
mod timer_event;

pub use bootstrap::{BootstrapConfig, BootstrapError, ExecutorEndpoint, ResourceLimits};
pub use gateway::Platform;
