//! The seven rules, judged from what happened: no matter whether clients and engines tell of it, as in the
//! laboratory, or the capture of a controller. One judge for all. No I/O and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evidence;
mod judge;

pub use evidence::{read_log, Asked, End, Evidence, Life, Line, LogError, NotUp, OfClass, Tolerance};
pub use judge::{cold_peaks, judge, Breach, RULES};
