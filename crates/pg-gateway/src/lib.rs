//! A PostgreSQL gateway without I/O. Events go in with the current time, and effects come out.
//!
//! [`PgGateway::handle`] handles events of sockets, files and signals, and [`PgGateway::handle_timers`]
//! handles due timers. The caller takes the resulting [`Effect`]s by [`PgGateway::take_effects`] and
//! executes them: the controller process does so on its sockets, and the test bed in virtual time. The same
//! events, times, seed and configuration produce the same effects and the same bytes.
//!
//! The components are separate modules: clients and their sessions, queries in flight, the engine side with
//! its pools, sessions and cancel requests, the registry client, endpoint sets, load reports to and from
//! peers, gossip, the admin pages and the shutdown. They refer to each other only by connection IDs; the
//! dispatcher passes events and instructions between them.
//!
//! This crate makes no routing or retry decisions: those are instructions of the
//! [`wheelfield_driver::Driver`]. Logging uses the `tracing` facade.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
mod bootstrap;
mod cancels;
mod clients;
mod coverage;
mod dispatcher;
mod effect_queue;
mod endpoint_sets;
mod engine_events;
mod engine_sessions;
mod engines;
mod event;
pub mod fault_injection;
mod gateway;
mod gossip;
mod in_flight;
mod injected_faults;
mod list_age;
mod metrics;
mod peering;
pub mod peers;
mod pools;
mod registry;
pub mod route;
mod shutdown;
mod sql_errors;
mod timer_event;

pub use bootstrap::PgGatewayOptions;
pub use event::GatewayEvent;
pub use gateway::PgGateway;
pub use wheelfield_recorder::DecisionEngine;
pub use wheelfield_sans_io::{DatagramSocket, Effect, Listener};
