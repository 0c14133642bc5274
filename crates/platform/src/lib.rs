//! The platform protocol of the controller, implemented without system calls: it consumes I/O events with the current time and
//! emits effects for the event loop to carry out.
//!
//! [`Platform`] implements [`wheelfield_sans_io::Protocol`], as the gateway for PostgreSQL clients does, and runs in the same event
//! loop. Clients connect over HTTP/1.1 (`http_server`, `clients`), executors over a line-based protocol (`executor_protocol`,
//! `executors`), the name service answers over DNS (`discovery`), and other controllers exchange datagrams (`peers`). A result is
//! fetched completely before any of it is sent to the client, so that a query whose result is lost on the way can be retried
//! (`result_pages`). The `dispatcher` passes events between these parts.
//!
//! This crate does not decide whether a query is admitted, which executor it is sent to or whether it is retried: it carries out
//! the instructions of the [`wheelfield_driver::Driver`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod abandonment;
mod bootstrap;
mod clients;
mod discovery;
mod dispatcher;
mod engine_identities;
mod executor_protocol;
mod executors;
mod gateway;
mod http_server;
mod ignored_answers;
mod in_flight;
mod invariants;
mod list_freshness;
mod list_validity;
mod metrics;
mod peers;
mod planted;
mod result_pages;
mod shutdown;
mod start_times;
mod suspensions;
mod table_group;
mod timer_event;
mod written_work;

pub use abandonment::AbandonmentCounts;
pub use bootstrap::{
    BootstrapConfig, BootstrapError, ExecutorEndpoint, ProtocolLimits, ResourceLimits,
};
pub use gateway::Platform;
pub use invariants::ViolationCounts;
pub use planted::InjectedFault;
