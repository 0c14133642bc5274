//! The purposes of timers.

use wheelfield_driver::AttemptId;
use wheelfield_sans_io::ConnId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The list of executors is requested from the name service.
    QueryDiscovery,
    /// Requests have waited long enough for a list that is confirmed.
    EndHold,
    /// The time of a request that waits for one is up.
    ExpireHeld,
    /// The timeouts of all connections are checked.
    CheckConnections,
    /// The connect timeout of a connection to an executor.
    ConnectTimeout(ConnId),
    /// An attempt was delayed until its executor knows of the end of a connection.
    ReleaseDelayed(AttemptId),
    /// The grace period of the shutdown is over: idle clients are closed.
    CloseIdleClients,
    /// Clients whose request crossed that close have reconnected: listening ends.
    StopListening,
    /// The process may be killed soon: all queries in flight are answered now.
    ShutdownDeadline,
}
