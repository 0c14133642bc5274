//! The repeating invariant: a query that may have run is sent again only if its class allows it.

use wheelfield::interface::ExecutionSemantics;

/// The state of a query whose next attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct RepeatContext {
    /// The execution semantics of its class.
    pub semantics: ExecutionSemantics,
    /// Time for which executors deduplicate queries by idempotency key, in microseconds.
    pub deduplication_window_us: i64,
    /// Time since the first attempt that may have run was sent, in microseconds; `None` if no attempt may have run.
    pub may_have_run_for_us: Option<i64>,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RepeatingViolation {
    /// The query may have run, and must run at most once.
    #[error("second attempt of a query that may have run and must run at most once")]
    AtMostOnce,
    /// The deduplication window of the idempotency key has passed, so executors may run the query again.
    #[error("repeated attempt {elapsed_us} us after the first one, beyond the deduplication window of the idempotency key")]
    DeduplicationWindowExpired {
        /// Time since the first attempt that may have run, in microseconds.
        elapsed_us: i64,
    },
}

/// Checks whether an attempt may be sent, before its request is written.
///
/// # Errors
/// The violation that sending the attempt would cause.
pub fn check_repeating(context: &RepeatContext) -> Result<(), RepeatingViolation> {
    let Some(elapsed_us) = context.may_have_run_for_us else {
        return Ok(());
    };
    match context.semantics {
        ExecutionSemantics::Idempotent => Ok(()),
        ExecutionSemantics::AtMostOnce => Err(RepeatingViolation::AtMostOnce),
        ExecutionSemantics::IdempotencyKey if elapsed_us < context.deduplication_window_us => {
            Ok(())
        }
        ExecutionSemantics::IdempotencyKey => {
            Err(RepeatingViolation::DeduplicationWindowExpired { elapsed_us })
        }
    }
}
