//! wheelfield decides, for one gateway, which queries enter a pool of engines and where they run.
//!
//! A [`Gateway`] takes [`interface::Event`]s with the time at which they happened and answers with
//! [`interface::Action`]s. It reads no clock, does no I/O and keeps no global state.
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
