//! What a timer is for.

use wheelfield_sans_io::ConnId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The gossip has something due.
    Gossip,
    /// A client must have introduced itself.
    Startup(ConnId),
    /// A client takes nothing of its answer.
    Reader(ConnId),
    /// An engine must have let us in.
    Connect(ConnId),
    /// An engine that has begun an answer must go on.
    Stall(ConnId),
    /// A session whose answer nobody wants must have come clean.
    Abandon(ConnId),
    /// A request to cancel must have been taken.
    Cancel(ConnId),
    /// A probe must have come back.
    Probe(ConnId),
    /// The registry is asked again.
    Registry,
    /// New queries wait no longer for the registry.
    ListWaitOver,
    /// Once a second: idle sessions, age of what was heard, captures.
    Sweep,
    /// Clients had their time to finish.
    Stop,
}
