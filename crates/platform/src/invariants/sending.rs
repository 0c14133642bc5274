//! The guard of sending: an attempt goes to an executor that takes work, for a client that waits, and with no more time than
//! that client has left.

/// Time by which the deadline of an attempt may exceed what its client has left, in microseconds: it is rounded up to whole
/// milliseconds, and at least one.
const DEADLINE_TOLERANCE_US: i64 = 2_000;

/// The state of an executor in the last list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// The list does not name it.
    Missing,
}

/// What is known of an attempt whose request is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendContext {
    /// Whether the client of its query waits for a response.
    pub client_is_waiting: bool,
    /// The state of its executor.
    pub executor: ListedState,
    /// Time that the executor is given, in microseconds.
    pub time_limit_us: i64,
    /// Time that the client has left, in microseconds.
    pub client_time_left_us: i64,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendingViolation {
    /// Its client has left, or has its response.
    #[error("attempt for a client that does not wait")]
    ClientNotWaiting,
    /// Its executor is draining or gone.
    #[error("attempt for an executor that is {0:?} in the list")]
    ExecutorUnavailable(ListedState),
    /// Its first byte was written although its executor was draining or gone by then.
    #[error("request written to an executor that is {0:?} in the list")]
    WrittenToUnavailable(ListedState),
    /// It has more time than its client.
    #[error("attempt may take {time_limit_us} us, its client waits {client_time_left_us} us more")]
    TimeLimitTooLong {
        /// Time that the executor is given, in microseconds.
        time_limit_us: i64,
        /// Time that the client has left, in microseconds.
        client_time_left_us: i64,
    },
}

/// Checks an attempt before its request is written.
///
/// # Errors
/// The violation that sending it would be.
pub fn check_sending(context: &SendContext) -> Result<(), SendingViolation> {
    if !context.client_is_waiting {
        return Err(SendingViolation::ClientNotWaiting);
    }
    if context.executor != ListedState::Up {
        return Err(SendingViolation::ExecutorUnavailable(context.executor));
    }
    if context.time_limit_us > context.client_time_left_us + DEADLINE_TOLERANCE_US {
        return Err(SendingViolation::TimeLimitTooLong {
            time_limit_us: context.time_limit_us,
            client_time_left_us: context.client_time_left_us,
        });
    }
    Ok(())
}

/// Checks a request whose first byte has just been written, against the list of that moment: what was allowed to be sent may have
/// waited in the output.
///
/// # Errors
/// The violation that this was.
pub fn check_dispatch(executor: ListedState) -> Result<(), SendingViolation> {
    match executor {
        ListedState::Up => Ok(()),
        state => Err(SendingViolation::WrittenToUnavailable(state)),
    }
}
