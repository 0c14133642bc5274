//! Reads the operators' settings (JSON) into the policy's, and translates between the operators' names and the policy's
//! numbers. Shared by the adapter of the simulator and by the platform's protocol; nothing here decides anything.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod json;
mod load_metrics;
mod names;
mod parse;
mod peer_message;

pub use load_metrics::set_load_metric;
pub use names::{engine_id, position, Names};
pub use parse::{parse_settings, SettingsError};
pub use peer_message::{decode_load_reports, encode_load_reports, MAX_MESSAGE_BYTES};
