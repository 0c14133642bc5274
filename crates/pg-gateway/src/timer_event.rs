//! The purposes of timers.

use wheelfield::interface::EngineId;
use wheelfield_sans_io::ConnId;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The next gossip protocol step is due.
    Gossip,
    /// A client must have sent its startup packet.
    ClientStartupTimeout(ConnId),
    /// A client must have read some of its answer.
    ClientReadTimeout(ConnId),
    /// An engine session must have started.
    EngineConnectTimeout(ConnId),
    /// Connections to an engine may be attempted again.
    ConnectRetry(EngineId),
    /// An engine must have continued the answer that it has begun.
    AnswerStallCheck(ConnId),
    /// A discarded answer must have ended.
    DiscardTimeout(ConnId),
    /// A cancel request must have been processed.
    CancelRequestTimeout(ConnId),
    /// A probe must have been answered.
    ProbeTimeout(ConnId),
    /// The next registry request is due.
    RegistryRequest,
    /// The process is active, so that a suspension is noticed.
    Activity,
    /// New queries no longer wait for the engine list.
    EngineListWaitTimeout,
    /// Periodic closing of idle sessions, check of the registry age, and capture maintenance.
    Maintenance,
    /// Clients must have finished during a shutdown.
    DrainTimeout,
}
