//! The seven rules, judged from what happened: no matter whether clients and engines tell of it, as in the
//! laboratory, or the capture of a controller. One judge for all. No I/O and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker;
mod history;

pub use checker::{check_history, slow_start_overload_peaks, Violation, RULES};
pub use history::{
    parse_event_log, ClassInfo, ClientOutcome, ClockTolerance, History, HistoryEvent, LogError,
    ProcessLifetime, QueryRecord, UnavailableEngine,
};
