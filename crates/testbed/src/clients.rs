//! How clients choose a controller and when they retry, on sockets and in virtual time alike. No I/O.

use crate::client_pool::Attempt;
use crate::day::{Class, Habits};
use crate::plan::Arrival;
use rand::{Rng, RngExt as _};
use wheelfield_invariants::ClientOutcome;

/// What clients know of a controller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControllerAvailability {
    /// Whether it has been up.
    pub is_known: bool,
    /// Whether it is down.
    pub is_down: bool,
    /// Since when it is down, in microseconds.
    pub down_since: i64,
}

/// Chooses the controller for an attempt: the one that the arrival belongs to, or the next that clients don't know to be down.
pub fn choose_controller(
    controllers: &[ControllerAvailability],
    habits: &Habits,
    arrival: &Arrival,
    number: u32,
    now: i64,
) -> usize {
    let count = controllers.len();
    let first = ((arrival.controller_position * count as f64) as usize).min(count - 1) + number as usize;
    let is_usable = |index: &usize| {
        let controller = controllers[*index];
        let is_noticed = controller.is_down && now - controller.down_since > habits.notice.0 .0;
        controller.is_known && !is_noticed
    };
    (0..count).map(|offset| (first + offset) % count).find(is_usable).unwrap_or(first % count)
}

/// How long a client waits before it retries a query that was rejected, or whose controller it could not reach, in
/// microseconds; `None` if it does not retry. `left` is the time until the deadline of its class.
pub fn retry_delay(
    class: &Class,
    habits: &Habits,
    arrival: &Arrival,
    tried: &Attempt,
    end: ClientOutcome,
    left: i64,
    rng: &mut impl Rng,
) -> Option<i64> {
    let may_retry = match end {
        ClientOutcome::Refused | ClientOutcome::Unreachable => true,
        ClientOutcome::Broke | ClientOutcome::Failed => {
            class.effect == "repeatable" && tried.state != "57014"
        }
        _ => false,
    };
    if !may_retry || tried.number >= habits.retries || left < 100_000 || arrival.abandonment.is_some() {
        return None;
    }
    let backoff = habits.backoff.0 .0 << tried.number.min(6);
    let backoff = (backoff as f64 * rng.random_range(0.5..1.5)) as i64;
    Some(tried.advice_ms.filter(|_| arrival.honours_retry_after).map_or(backoff, |ms| ms as i64 * 1000))
}
