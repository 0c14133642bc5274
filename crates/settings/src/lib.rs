//! Parses the operators' settings (JSON) into the settings of the policy, and translates between
//! the names that operators use and the identifiers that the policy uses. Shared by the adapter of
//! the simulator and by the platform's protocol. It contains no decisions.
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
