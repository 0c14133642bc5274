//! The events that timers trigger.

use wheelfield_driver::AttemptId;
use wheelfield_sans_io::ConnId;

/// The action to take when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// Query the name service for the list of executors.
    QueryDiscovery,
    /// Determine whether requests are still held: the maximum wait for a confirmed list of executors has passed.
    EndHold,
    /// Submit held requests whose deadline has passed.
    ExpireHeld,
    /// Answer the requests that would be due in a suspension that is expected.
    AnswerBeforeSuspension,
    /// Check the timeouts of all connections.
    CheckConnections,
    /// The maximum wait of a client's request for memory has passed.
    EndMemoryWait(ConnId),
    /// A connection to an executor was not established in time.
    ConnectTimeout(ConnId),
    /// Release an attempt that was delayed until its executor has noticed the end of a connection.
    ReleaseDelayed(AttemptId),
    /// Close the connections of idle clients: the grace period of the shutdown is over.
    CloseIdleClients,
    /// Stop listening: clients whose request was in transit while their connection was closed have had time to reconnect.
    StopListening,
    /// Answer all queries in flight, as the process may be killed soon.
    ShutdownDeadline,
}
