//! The closing invariant: the connection of a client that waits for a response is not closed.

/// Why a client connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed its side of the connection, or the connection failed.
    ClientLeft,
    /// The last response was written, and announced that the connection closes.
    ResponseWritten,
    /// The connection was closed to make room for a new client.
    Evicted,
    /// The connection was idle for too long, or the client sent no request in time.
    Idle,
    /// The client did not read its response for too long.
    WriteStalled,
    /// The controller is shutting down.
    Shutdown,
}

impl CloseReason {
    /// All reasons, in the order of their values.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::ClientLeft,
        CloseReason::ResponseWritten,
        CloseReason::Evicted,
        CloseReason::Idle,
        CloseReason::WriteStalled,
        CloseReason::Shutdown,
    ];

    /// The name of the reason in metrics.
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

/// The state of a connection that is about to be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseContext {
    /// Why the connection is closed.
    pub reason: CloseReason,
    /// Whether the client has closed its side of the connection.
    pub has_disconnected: bool,
    /// Whether a request is being processed and has no response yet.
    pub awaits_response: bool,
    /// Whether input has arrived that was not parsed yet.
    pub has_unread_input: bool,
    /// Number of response bytes that were not written yet.
    pub unwritten_bytes: usize,
}

/// Why a connection must not be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClosingViolation {
    /// A request has no response.
    #[error("connection closed ({0:?}) with a request that has no response")]
    ResponsePending(CloseReason),
    /// Input that was not parsed yet may contain a request.
    #[error("connection closed ({0:?}) with input that was not parsed")]
    InputUnread(CloseReason),
    /// A response was not written completely.
    #[error("connection closed ({0:?}) with {1} bytes of a response unwritten")]
    ResponseUnwritten(CloseReason, usize),
}

/// Checks whether a connection may be closed.
///
/// # Errors
/// The violation, if the client still expects a response.
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
