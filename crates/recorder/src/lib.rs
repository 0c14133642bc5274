//! The one door from a controller to what decides in it, and the record of all that goes through.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod mind;
mod tape;

pub use mind::Mind;
pub use tape::Tape;
