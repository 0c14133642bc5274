//! Stand-in engines: an emulator in virtual work, its PostgreSQL face, a registry and faults on command.
//!
//! They stand in for analytic engines in tests, in the laboratory and on a first look at the controller. The models are
//! the project's own; what they cost in virtual work they do not cost in processor time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod engine;
pub mod host;
pub mod model;
pub mod registry;
pub mod registry_server;
pub mod session;
pub mod setup;
