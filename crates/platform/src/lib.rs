//! The operators' platform protocol: a complete controller without system calls. Events go in with the time, effects come out.
//!
//! [`Platform`] implements [`wheelfield_sans_io::Protocol`], like the gateway of PostgreSQL clients, and runs in the same event
//! loop. Clients speak HTTP/1.1 (`http_server`, `clients`), executors a protocol of lines (`executor_protocol`, `executors`), the
//! name service DNS (`discovery`), and other controllers exchange datagrams (`peers`). A result is fetched completely before its
//! client receives any of it, so that one that is lost on the way can be retried (`result_pages`). The `dispatcher` passes events
//! between these parts.
//!
//! Nothing here decides whether a query is admitted, where it is sent or whether it is retried: that comes as instructions of the
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
mod invariants;
mod list_freshness;
mod metrics;
mod peers;
mod planted;
mod result_pages;
mod shutdown;
mod start_times;
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
