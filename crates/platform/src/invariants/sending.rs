//! The sending invariant: an attempt is sent only to an executor in service, for a client that waits for a response, and with a
//! time limit no longer than the client's remaining time.

/// Time by which the time limit of an attempt may exceed the client's remaining time, in microseconds. The limit is rounded up to
/// whole milliseconds, and is at least one millisecond.
const DEADLINE_TOLERANCE_US: i64 = 2_000;

/// The state of an executor in the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The executor accepts requests.
    Up,
    /// The executor finishes its running requests and accepts no new ones.
    Draining,
    /// The executor is not in the list.
    Missing,
}

/// The state of an attempt whose request is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendContext {
    /// Whether the client waits for a response.
    pub client_is_waiting: bool,
    /// The listed state of the executor.
    pub executor: ListedState,
    /// Time limit that the request gives to the executor, in microseconds.
    pub time_limit_us: i64,
    /// Remaining time of the client, in microseconds.
    pub client_time_left_us: i64,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendingViolation {
    /// The client has disconnected or has received its response.
    #[error("attempt for a client that does not wait for a response")]
    ClientNotWaiting,
    /// The executor is draining or missing from the list.
    #[error("attempt for an executor that is {0:?} in the list")]
    ExecutorUnavailable(ListedState),
    /// The first byte was written after the executor began to drain or was removed from the list.
    #[error("request written to an executor that is {0:?} in the list")]
    WrittenToUnavailable(ListedState),
    /// The time limit exceeds the client's remaining time.
    #[error("time limit of the attempt is {time_limit_us} us, but its client waits only {client_time_left_us} us more")]
    TimeLimitTooLong {
        /// Time limit that the request gives to the executor, in microseconds.
        time_limit_us: i64,
        /// Remaining time of the client, in microseconds.
        client_time_left_us: i64,
    },
}

/// Checks whether an attempt may be sent, before its request is written.
///
/// # Errors
/// The violation that sending the attempt would cause.
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

/// Checks a request whose first byte was just written against the current list. The list may have changed since the request was
/// added to the output buffer.
///
/// # Errors
/// The violation, if the executor was not in service any more.
pub fn check_dispatch(executor: ListedState) -> Result<(), SendingViolation> {
    match executor {
        ListedState::Up => Ok(()),
        state => Err(SendingViolation::WrittenToUnavailable(state)),
    }
}
