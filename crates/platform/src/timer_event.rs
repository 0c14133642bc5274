//! What a timer is for.

use wheelfield_driver::AttemptId;
use wheelfield_sans_io::ConnId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The name service is asked again.
    QueryDiscovery,
    /// Connections are looked through.
    CheckConnections,
    /// An executor must have let us in.
    ConnectTimeout(ConnId),
    /// An executor knows of the end of a connection that carried this query.
    ReleaseDelayed(AttemptId),
    /// Clients had their time to come: who rests is closed.
    CloseIdleClients,
    /// So had those whose call crossed that.
    StopListening,
    /// The process may be killed soon: what is in hand has its answer now.
    ShutdownDeadline,
}
