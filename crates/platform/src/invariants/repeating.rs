//! The guard of repeating: what may have run is sent again only where its class allows that.

use wheelfield::interface::ExecutionSemantics;

/// What is known of a query whose attempt is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct RepeatContext {
    /// How often queries of its class may run.
    pub semantics: ExecutionSemantics,
    /// For how long executors recognise a repetition by its key, in microseconds.
    pub deduplication_window_us: i64,
    /// Time since the first attempt of the query that may have run was sent, in microseconds; `None` if there is none.
    pub may_have_run_for_us: Option<i64>,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RepeatingViolation {
    /// It may have run, and must run at most once.
    #[error("second attempt of a query that may have run and must run at most once")]
    AtMostOnce,
    /// Executors may have forgotten its key.
    #[error("attempt of a keyed query that was sent {elapsed_us} us ago, beyond its window")]
    DeduplicationWindowExpired {
        /// Time since its first attempt, in microseconds.
        elapsed_us: i64,
    },
}

/// Checks an attempt before its request is written.
///
/// # Errors
/// The violation that sending it would be.
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
