//! An open-loop load generator for PostgreSQL-speaking targets. The schedule of all queries is
//! generated before the run starts. Latency is measured from the scheduled send time, so that time
//! spent waiting in the generator is included, and the generator measures its own lateness.
//!
//! - [`script`]: the load description, in TOML.
//! - [`schedule`]: generates the schedule of queries from a script and a seed; no I/O.
//! - [`client_pool`]: the simulated clients: connections, answers, client timeouts and retries; no
//!   I/O and no clock.
//! - [`stats`]: counters and latency histograms; merged without loss of precision.
//! - [`runner`]: worker threads and their sockets.
//! - [`view`]: the live terminal view.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client_pool;
pub mod runner;
pub mod schedule;
pub mod script;
pub mod stats;
pub mod view;
