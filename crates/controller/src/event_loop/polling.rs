//! Polling for events so that all events up to a time are handled before the timers of that time.

use super::Remaining;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Polls in one turn of the loop, at most.
const MAX_POLLS_PER_TURN: usize = 64;

/// Where events come from, with the clock that orders them against timers. Times are in microseconds.
pub(super) trait EventSource {
    /// Waits for events, up to `timeout`, and keeps those that have come for [`EventSource::dispatch`].
    fn poll(&mut self, timeout: Duration) -> io::Result<Remaining>;
    /// The time.
    fn read_clock(&mut self) -> i64;
    /// Handles the events of the last poll, as of a time.
    fn dispatch(&mut self, now: i64);
    /// Whether a timer is due at a time.
    fn is_timer_due(&self, now: i64) -> bool;
}

/// Polls, waiting up to `timeout`, until all events before the returned time are handled.
///
/// A process that is suspended between its poll and its look at the clock would find timers due without having seen the
/// events that came before them; so when a timer is due, it polls once more, by the time read before that poll.
pub(super) fn poll_until_current(
    source: &mut impl EventSource,
    mut timeout: Duration,
) -> io::Result<i64> {
    let mut clock_before_poll = None;
    for _ in 0..MAX_POLLS_PER_TURN {
        let remaining = match source.poll(std::mem::take(&mut timeout)) {
            // Nothing is known of the events meanwhile: a process that was suspended and resumed comes here.
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
