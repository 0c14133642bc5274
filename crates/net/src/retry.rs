//! Repeats blocking calls that were interrupted.
//!
//! On Linux, a blocking call with a time limit fails with EINTR after its process was stopped and continued, even if the process
//! has no signal handlers (signal(7)).

use std::io;
use std::time::{Duration, Instant};

/// Repeats `operation` as long as it fails with EINTR and `deadline` has not passed. Each call gets the remaining time, so that
/// interruptions do not extend the wait.
///
/// # Errors
/// Any other error of the operation; `TimedOut` if the deadline has passed.
pub fn retry_interrupted<T>(
    deadline: Instant,
    mut operation: impl FnMut(Duration) -> io::Result<T>,
) -> io::Result<T> {
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        match operation(remaining) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
