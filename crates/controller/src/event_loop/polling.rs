//! Polling that handles all events up to a point in time before the timers due at that time fire.

use super::Remaining;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Maximum number of polls in one iteration of the event loop.
const MAX_POLLS_PER_ITERATION: usize = 64;

/// A source of events and the clock that orders them relative to timers. Times are in microseconds.
pub(super) trait EventSource {
    /// Waits up to `timeout` for events and keeps those that arrived for [`EventSource::dispatch`].
    fn poll(&mut self, timeout: Duration) -> io::Result<Remaining>;
    /// Returns the current time.
    fn read_clock(&mut self) -> i64;
    /// Handles the events of the last poll as of the time `now`.
    fn dispatch(&mut self, now: i64);
    /// Returns whether a timer is due at the time `now`.
    fn is_timer_due(&self, now: i64) -> bool;
}

/// Polls, waiting up to `timeout`, until all events before the returned time are handled.
///
/// If the process is suspended between a poll and the reading of the clock, timers appear due although events that arrived
/// before them have not been read yet. Therefore, when a timer is due, this function polls once more without waiting and
/// uses the time that was read before that poll.
pub(super) fn poll_until_current(
    source: &mut impl EventSource,
    mut timeout: Duration,
) -> io::Result<i64> {
    let mut clock_before_poll = None;
    for _ in 0..MAX_POLLS_PER_ITERATION {
        let remaining = match source.poll(std::mem::take(&mut timeout)) {
            // An interrupted poll reports no events, so poll again. A process that is suspended and resumed gets here.
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            result => result?,
        };
        let now = clock_before_poll.unwrap_or_else(|| source.read_clock());
        source.dispatch(now);
        let all_handled = remaining == Remaining::Nothing;
        if all_handled && (clock_before_poll.is_some() || !source.is_timer_due(now)) {
            return Ok(now);
        }
        clock_before_poll = Some(if all_handled {
            now
        } else {
            source.read_clock()
        });
    }
    Ok(clock_before_poll.unwrap_or_else(|| source.read_clock()))
}
