//! What clients do by habit, in a crowd on sockets and in virtual time alike. No I/O.

use crate::crowd::Try;
use crate::day::{Class, Habits};
use crate::plan::Arrival;
use rand::{Rng, RngExt as _};
use wheelfield_invariants::ClientOutcome;

/// What clients know of a controller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Door {
    /// It has been there.
    pub known: bool,
    /// It is gone,
    pub down: bool,
    /// since this time.
    pub since: i64,
}

/// The controller that a try goes to: its own door, or the next that is not known to be dead.
pub fn door(doors: &[Door], habits: &Habits, arrival: &Arrival, number: u32, now: i64) -> usize {
    let n = doors.len();
    let first = ((arrival.controller_position * n as f64) as usize).min(n - 1) + number as usize;
    let open = |i: &usize| {
        let d = doors[*i];
        d.known && !(d.down && now - d.since > habits.notice.0 .0)
    };
    (0..n).map(|k| (first + k) % n).find(open).unwrap_or(first % n)
}

/// How long a client waits before a further try of a refused query, or one whose controller could not be had; none if
/// it lets it be. `left` is the time until its class's deadline.
pub fn again(
    class: &Class,
    habits: &Habits,
    arrival: &Arrival,
    tried: &Try,
    end: ClientOutcome,
    left: i64,
    chance: &mut impl Rng,
) -> Option<i64> {
    let again = match end {
        ClientOutcome::Refused | ClientOutcome::Unreachable => true,
        ClientOutcome::Broke | ClientOutcome::Failed => {
            class.effect == "repeatable" && tried.state != "57014"
        }
        _ => false,
    };
    if !again || tried.number >= habits.retries || left < 100_000 || arrival.abandonment.is_some() {
        return None;
    }
    let backoff = habits.backoff.0 .0 << tried.number.min(6);
    let backoff = (backoff as f64 * chance.random_range(0.5..1.5)) as i64;
    Some(tried.advice_ms.filter(|_| arrival.honours_retry_after).map_or(backoff, |ms| ms as i64 * 1000))
}
