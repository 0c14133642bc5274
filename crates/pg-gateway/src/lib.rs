//! A whole controller without system calls. What happened goes in, with the time; what is to be done comes out.
//!
//! [`Gate`] is told by [`Gate::happen`] what its sockets, files and signals brought, and by [`Gate::due`] that time has
//! passed; the [`Effect`]s that come of it are taken by [`Gate::effects`] and carried out by a shell: the controller's
//! process on its sockets, or the laboratory in virtual time. The same happenings, times, seed and configuration give the
//! same effects and the same bytes.
//!
//! Inside it is rooms, each a file and a type that knows of the others by number at most: [`clients`](self) and their
//! sessions, the units in hand, the side of the engines with its pools, sessions and cancels, the registry, sets of
//! engines, peers, gossip, admin, the end. A room takes what concerns it and gives words; only [`Gate`] knows all rooms.
//!
//! Nothing here decides where a query goes or whether it is tried again: that comes as instructions of the
//! [`wheelfield_driver::Driver`]. Logs go through the `tracing` facade.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
mod cancels;
mod clients;
mod engines;
mod figures;
mod flow;
mod gate;
mod gossip;
mod happened;
mod out;
mod peering;
pub mod peers;
pub mod plant;
mod planted;
mod pools;
mod registry;
pub mod route;
mod seen;
mod sessions;
mod sets;
mod start;
mod stop;
mod units;
mod wake;
mod words;

pub use gate::Gate;
pub use happened::Happened;
pub use start::Start;
pub use wheelfield_recorder::Mind;
pub use wheelfield_sans_io::{Door, Effect, Port};
