//! Stand-in engines.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod model;
