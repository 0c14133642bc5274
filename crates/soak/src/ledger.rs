//! The events recorded at both ends of each connection, with times in microseconds since the start
//! of the run.

use crate::settings::Class;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The id of a request, made of the number of its controller and its own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    const CONTROLLER_SHIFT: u32 = 48;

    /// The id of the n-th request to a controller.
    pub fn new(controller: usize, n: u64) -> RequestId {
        RequestId((controller as u64) << RequestId::CONTROLLER_SHIFT | n)
    }

    /// The controller that the request was sent to.
    pub fn controller(self) -> usize {
        (self.0 >> RequestId::CONTROLLER_SHIFT) as usize
    }

    /// Parses the 16 hex digits of an id.
    pub fn parse(text: &str) -> Option<RequestId> {
        u64::from_str_radix(text, 16).ok().map(RequestId)
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered with this status.
    Answered(u16),
    /// The response was malformed, incomplete or for another request.
    Unreadable,
    /// The connection ended before the last byte of the request was sent.
    NotSent,
    /// The connection ended without an answer.
    Lost,
    /// The request was lost shortly after it was sent on a keep-alive connection, so that it may
    /// have raced the close of the connection. It could not be sent again, as the controller
    /// accepts no new connections any more.
    CrossedClose,
    /// Nothing arrived for as long as the client waited.
    Silent,
    /// The client disconnected.
    Abandoned,
    /// The proxy broke the connection, or could not reach the controller.
    CutByProxy,
}

/// A request as recorded by its client.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: Class,
    /// When its first byte was sent.
    pub began_at: i64,
    /// When its last byte was sent.
    pub sent_at: i64,
    /// How long the client waits.
    pub timeout_us: i64,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_at: i64,
    /// Whether it was sent without waiting for the answer to the request before it.
    pub is_pipelined: bool,
    /// Whether no request was answered on its connection before it.
    pub is_first: bool,
    /// For how long threads of the proxy held up bytes of its connection while it was in progress,
    /// beyond what faults asked for, in microseconds.
    pub held_up_us: i64,
}

/// A request as recorded by an executor.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    /// Its id.
    pub id: RequestId,
    /// The executor.
    pub executor: usize,
    /// When it had arrived completely at the executor.
    pub at: i64,
    /// The time limit given to the executor.
    pub limit_us: i64,
    /// Whether the executor ran it.
    pub ran: bool,
}

/// A change of an executor that the name service reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorChange {
    /// It has just started.
    Started,
    /// It finishes the requests that it has and then stops.
    Draining,
    /// It is gone.
    Gone,
}

/// A change of an executor, and the serial number of the list that first reports it.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorEvent {
    /// The executor.
    pub executor: usize,
    /// The change.
    pub change: ExecutorChange,
    /// The serial number of the list.
    pub serial: u32,
    /// When it happened.
    pub at: i64,
}

/// What happened to a controller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerChange {
    /// It was started.
    Started,
    /// It answered its first health check.
    Ready,
    /// It was asked to end with SIGTERM.
    Terminated,
    /// It was killed.
    Killed,
    /// It exited with this code; `None` if a signal ended it.
    Exited(Option<i32>),
    /// It was killed because it had not ended in time.
    Overdue,
    /// It was killed because it had not ended in time, while it was suspended.
    KilledSuspended,
    /// It was suspended.
    Suspended,
    /// It was resumed.
    Resumed,
    /// It was asked to reload its configuration.
    Reloaded,
}

/// A change of a controller's process.
#[derive(Clone, Copy, Debug)]
pub struct ControllerEvent {
    /// The controller.
    pub controller: usize,
    /// The change.
    pub change: ControllerChange,
    /// When it happened.
    pub at: i64,
}

/// The effect of a fault on the answers of the name service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameServiceFault {
    /// No queries are answered.
    Silent,
    /// Answers are delayed by this many microseconds.
    Slow(i64),
    /// Answers may hold a list that is this many microseconds old.
    Stale(i64),
    /// Some answers are lost.
    Lossy,
    /// Answers are failures, or hold wrong lists.
    Unusable,
}

/// A fault that was in force during a span.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// The controllers that it affected; empty if it affected all.
    pub controllers: Vec<usize>,
    /// A description for timelines.
    pub description: String,
    /// The longest time that it delays bytes between clients and controllers, in microseconds.
    pub client_delay_us: i64,
    /// Whether it keeps the controllers from accepting connections, reading or answering while it
    /// lasts.
    pub blocks_answers: bool,
    /// Its effect on the answers of the name service.
    pub name_service_fault: Option<NameServiceFault>,
    /// When it began.
    pub from: i64,
    /// When it ended.
    pub until: i64,
}

/// All events that were recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The number of controllers.
    pub controllers: usize,
    /// Whether idle clients exhausted the file descriptors of the controllers.
    pub has_idle_clients: bool,
    /// Requests in the order in which they ended.
    pub requests: Vec<RequestRecord>,
    /// Requests read by executors.
    pub receipts: Vec<Receipt>,
    /// Answers that arrived on a connection where no request was outstanding: the last request to
    /// the controller, and the time.
    pub unsolicited_answers: Vec<(RequestId, i64)>,
    /// Changes of executors.
    pub executors: Vec<ExecutorEvent>,
    /// When each controller was first sent the list with each serial number.
    pub list_sent_at: BTreeMap<(usize, u32), i64>,
    /// Changes of controllers' processes.
    pub controller_events: Vec<ControllerEvent>,
    /// Faults.
    pub faults: Vec<FaultRecord>,
    /// Spans in which the test itself was delayed because the machine was busy.
    pub test_delay_spans: Vec<(i64, i64)>,
    /// Connects that a controller refused although it was serving: its number and the time.
    pub refused: Vec<(usize, i64)>,
    /// Log lines of controllers that report a violated invariant or a panic: the number of the
    /// controller and the line.
    pub alarms: Vec<(usize, String)>,
}

/// Records the events of a run.
#[derive(Clone)]
pub struct Ledger {
    started: Instant,
    records: Arc<Mutex<Records>>,
    /// Client addresses of connections that the proxy broke, or could not forward.
    broken: Arc<Mutex<BTreeSet<SocketAddr>>>,
    /// For how long the proxy has held up bytes, by the client address of the connection.
    held_up: Arc<Mutex<BTreeMap<SocketAddr, Duration>>>,
}

impl Ledger {
    /// Creates an empty ledger; its time starts now.
    pub fn new(controllers: usize) -> Ledger {
        let records = Records {
            controllers,
            ..Records::default()
        };
        Ledger {
            started: Instant::now(),
            records: Arc::new(Mutex::new(records)),
            broken: Arc::default(),
            held_up: Arc::default(),
        }
    }

    /// The time since the start of the run, in microseconds.
    pub fn now(&self) -> i64 {
        self.started.elapsed().as_micros() as i64
    }

    /// The records, locked for reading and writing.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the proxy broke the connection from this client address.
    pub fn record_broken_connection(&self, client: SocketAddr) {
        self.broken_connections().insert(client);
    }

    /// Forgets what was recorded of a client address, as a new connection may reuse it.
    pub fn forget_connection(&self, client: SocketAddr) {
        self.broken_connections().remove(&client);
        self.held_up().remove(&client);
    }

    /// Records that the proxy held up bytes of the connection from this client address.
    pub fn record_held_up(&self, client: SocketAddr, held_up: Duration) {
        *self.held_up().entry(client).or_default() += held_up;
    }

    /// For how long in total the proxy has held up bytes of the connection from this client
    /// address.
    pub fn held_up_total(&self, client: SocketAddr) -> Duration {
        self.held_up().get(&client).copied().unwrap_or_default()
    }

    /// Whether the proxy broke the connection from this client address.
    pub fn is_broken_by_proxy(&self, client: SocketAddr) -> bool {
        self.broken_connections().contains(&client)
    }

    /// Records a change of a controller's process.
    pub fn record_controller(&self, controller: usize, change: ControllerChange) {
        let at = self.now();
        self.records().controller_events.push(ControllerEvent {
            controller,
            change,
            at,
        });
    }

    fn held_up(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Duration>> {
        self.held_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn broken_connections(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
