//! Emulated engines: an execution model in virtual time, the PostgreSQL protocol, a registry and
//! fault injection.
//!
//! They replace analytic engines in tests, in experiments and for trying out the controller. The
//! execution models are specific to this project and use no processor time for the work that they
//! emulate.
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
