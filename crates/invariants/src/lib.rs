//! Checks the seven rules of the controllers, listed in [`RULES`], on a [`History`] of queries and engine events.
//!
//! A history can come from logs of clients and engines, as in the test bed, or from the captures of controllers. The crate
//! performs no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker;
mod history;

pub use checker::{check_history, slow_start_overload_peaks, Violation, RULES};
pub use history::{
    parse_event_log, ClassInfo, ClientOutcome, ClockTolerance, History, HistoryEvent, LogError,
    ProcessLifetime, QueryRecord, UnavailableEngine,
};
