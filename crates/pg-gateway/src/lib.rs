//! A whole controller without system calls. What happened goes in, with the time; what is to be done comes out.
//!
//! [`PgGateway`] is told by [`PgGateway::handle`] what its sockets, files and signals brought, and by [`PgGateway::handle_timers`] that time has
//! passed; the [`Effect`]s that come of it are taken by [`PgGateway::take_effects`] and carried out by a shell: the controller's
//! process on its sockets, or the laboratory in virtual time. The same happenings, times, seed and configuration give the
//! same effects and the same bytes.
//!
//! Inside it is rooms, each a file and a type that knows of the others by number at most: [`clients`](self) and their
//! sessions, the units in hand, the side of the engines with its pools, sessions and cancels, the registry, sets of
//! engines, peers, gossip, admin, the end. A room takes what concerns it and gives words; only [`PgGateway`] knows all rooms.
//!
//! Nothing here decides where a query goes or whether it is tried again: that comes as instructions of the
//! [`wheelfield_driver::Driver`]. Logs go through the `tracing` facade.
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
mod peer_load;
mod peering;
pub mod peers;
mod pools;
mod registry;
pub mod route;
mod shutdown;
mod timer_event;

pub use bootstrap::PgGatewayOptions;
pub use event::GatewayEvent;
pub use gateway::PgGateway;
pub use wheelfield_recorder::DecisionEngine;
pub use wheelfield_sans_io::{DatagramSocket, Effect, Listener};
