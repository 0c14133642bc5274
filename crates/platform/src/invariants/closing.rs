//! The guard of closing: a client that waits for a response is not closed.

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client has closed its side, or the connection broke.
    ClientLeft,
    /// The last response was written, and said that the connection ends.
    ResponseWritten,
    /// It made way for a new client.
    Evicted,
    /// It was idle, or sent no request, for too long.
    Idle,
    /// The client took nothing of its response for too long.
    WriteStalled,
    /// The controller shuts down.
    Shutdown,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::ClientLeft,
        CloseReason::ResponseWritten,
        CloseReason::Evicted,
        CloseReason::Idle,
        CloseReason::WriteStalled,
        CloseReason::Shutdown,
    ];

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::ResponseWritten => "response_written",
            CloseReason::Evicted => "evicted",
            CloseReason::Idle => "idle",
            CloseReason::WriteStalled => "write_stalled",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// What is known of a connection that is about to be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseContext {
    /// Why it is closed.
    pub reason: CloseReason,
    /// Whether the client has closed its side.
    pub has_disconnected: bool,
    /// Whether a request was taken from it and has no response yet.
    pub awaits_response: bool,
    /// Whether input has arrived that was not examined yet.
    pub has_unread_input: bool,
    /// Bytes of responses that were not written yet.
    pub unwritten_bytes: usize,
}

/// Why a connection must not be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClosingViolation {
    /// A request has no response.
    #[error("connection closed ({0:?}) with a request that has no response")]
    ResponsePending(CloseReason),
    /// A request may have arrived.
    #[error("connection closed ({0:?}) with input that was not examined")]
    InputUnread(CloseReason),
    /// A response is not written to its end.
    #[error("connection closed ({0:?}) with {1} bytes of a response unwritten")]
    ResponseUnwritten(CloseReason, usize),
}

/// Checks a connection that is about to be closed.
///
/// # Errors
/// The violation that closing it is.
pub fn check_closing(context: &CloseContext) -> Result<(), ClosingViolation> {
    let reason = context.reason;
    if context.has_disconnected || reason == CloseReason::ClientLeft {
        return Ok(());
    }
    if context.awaits_response {
        return Err(ClosingViolation::ResponsePending(reason));
    }
    if context.has_unread_input {
        return Err(ClosingViolation::InputUnread(reason));
    }
    if context.unwritten_bytes > 0 && reason != CloseReason::WriteStalled {
        return Err(ClosingViolation::ResponseUnwritten(
            reason,
            context.unwritten_bytes,
        ));
    }
    Ok(())
}
