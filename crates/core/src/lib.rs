//! wheelfield is the admission controller of a gateway to a pool of engines: it decides which queries are
//! admitted and which engine runs each of them.
//!
//! A [`Gateway`] handles [`interface::Event`]s, each with its time, and returns [`interface::Action`]s. It
//! reads no clock, does no I/O and keeps no global state.
//!
//! ```
//! use wheelfield::Gateway;
//! use wheelfield::interface::{Action, Event, Micros, Settings};
//!
//! let mut gateway = Gateway::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! gateway.handle(Micros(0), Event::Started, &mut actions);
//! assert!(matches!(actions[0], Action::SetTimer { .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
pub struct ReadmeDoctests;

mod gateway;
pub mod interface;
mod lifecycle;
pub mod policy;
mod state;

pub use gateway::Gateway;
