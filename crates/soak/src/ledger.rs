//! What was seen at both ends of each connection, with times in microseconds since the start of the run.

use crate::settings::Class;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The id of a request: the number of its controller, then its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    const CONTROLLER_SHIFT: u32 = 48;

    /// The id of the n-th request to a controller.
    pub fn new(controller: usize, n: u64) -> RequestId {
        RequestId((controller as u64) << RequestId::CONTROLLER_SHIFT | n)
    }

    /// The controller that it was sent to.
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
    /// What came is no answer to it.
    Unreadable,
    /// The connection ended before its last byte was sent.
    NotSent,
    /// The connection ended without an answer.
    Lost,
    /// It was sent on a kept connection within the time in which it may cross the close of that, and could not be sent again, as no
    /// new connections are accepted any more.
    CrossedClose,
    /// Nothing came for as long as the client looked.
    Silent,
    /// The client left.
    Abandoned,
    /// The proxy broke the connection, or could not reach the controller.
    CutByProxy,
}

/// A request as its client saw it.
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
    /// Sent without waiting for the answer to the one before it.
    pub is_pipelined: bool,
    /// Nothing was answered on its connection before it.
    pub is_first: bool,
}

/// A request as an executor read it.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    /// Its id.
    pub id: RequestId,
    /// The executor.
    pub executor: usize,
    /// When it was read whole.
    pub at: i64,
    /// Time that the executor is given.
    pub limit_us: i64,
    /// Whether it ran.
    pub ran: bool,
}

/// A change of an executor that the name service tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorChange {
    /// It has just started.
    Started,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// When an executor changed, and the serial number of the list that says so.
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
    /// It was asked to end.
    Terminated,
    /// It was killed.
    Killed,
    /// It ended by itself with this code; `None` if by a signal.
    Exited(Option<i32>),
    /// It was killed as it had not ended in time.
    Overdue,
    /// It was suspended as its time to end was over, and was killed.
    KilledSuspended,
    /// It was suspended.
    Suspended,
    /// It was resumed.
    Resumed,
    /// It was told to read its configuration again.
    Reloaded,
}

/// When something happened to a controller's process.
#[derive(Clone, Copy, Debug)]
pub struct ControllerEvent {
    /// The controller.
    pub controller: usize,
    /// What happened.
    pub change: ControllerChange,
    /// When.
    pub at: i64,
}

/// What a fault does to the answers of the name service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TellingFault {
    /// There are none.
    Silent,
    /// They come so many microseconds later.
    Slow(i64),
    /// They may hold a list that is so many microseconds old.
    Behind(i64),
    /// Some are lost.
    Lossy,
}

/// A fault that was in force for a while.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// The controllers that it concerned; empty for all.
    pub controllers: Vec<usize>,
    /// What it was.
    pub description: String,
    /// For how long it holds up bytes between clients and controllers at most, in microseconds.
    pub client_delay_us: i64,
    /// Whether it keeps the controllers from accepting, reading or answering while it lasts.
    pub holds_up_answers: bool,
    /// What it does to the answers of the name service.
    pub telling: Option<TellingFault>,
    /// When it began.
    pub from: i64,
    /// When it ended.
    pub until: i64,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Controllers.
    pub controllers: usize,
    /// Whether idle clients filled the descriptors of the controllers.
    pub is_crowded: bool,
    /// Requests, as they ended.
    pub requests: Vec<RequestRecord>,
    /// Requests read by executors.
    pub receipts: Vec<Receipt>,
    /// Answers that arrived on a connection beyond the one that was awaited.
    pub surplus_answers: Vec<(RequestId, i64)>,
    /// Changes of executors.
    pub executors: Vec<ExecutorEvent>,
    /// When each controller was first told of each serial number.
    pub told: BTreeMap<(usize, u32), i64>,
    /// Changes of controllers.
    pub controller_events: Vec<ControllerEvent>,
    /// Faults.
    pub faults: Vec<FaultRecord>,
    /// Spans in which this test itself was late, as the machine was busy.
    pub late_spans: Vec<(i64, i64)>,
    /// Connects that a controller refused although it serves: its number and the time.
    pub refused: Vec<(usize, i64)>,
    /// Lines of the controllers' logs that tell of a violated invariant or a panic: the controller and the line.
    pub alarms: Vec<(usize, String)>,
}

/// Where everything is recorded.
#[derive(Clone)]
pub struct Ledger {
    started: Instant,
    records: Arc<Mutex<Records>>,
    /// Client ends of connections that the proxy broke, or could not pass on.
    cut: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Ledger {
    /// An empty ledger, whose time starts now.
    pub fn new(controllers: usize) -> Ledger {
        let records = Records {
            controllers,
            ..Records::default()
        };
        Ledger {
            started: Instant::now(),
            records: Arc::new(Mutex::new(records)),
            cut: Arc::default(),
        }
    }

    /// The time in microseconds.
    pub fn now(&self) -> i64 {
        self.started.elapsed().as_micros() as i64
    }

    /// The records, to be added to.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the proxy broke the connection of this client end.
    pub fn record_cut(&self, client: SocketAddr) {
        self.cut_ends().insert(client);
    }

    /// Forgets an end whose address may be used again.
    pub fn forget_cut(&self, client: SocketAddr) {
        self.cut_ends().remove(&client);
    }

    /// Whether the proxy broke the connection of this client end.
    pub fn is_cut(&self, client: SocketAddr) -> bool {
        self.cut_ends().contains(&client)
    }

    /// Notes what happened to a controller.
    pub fn record_controller(&self, controller: usize, change: ControllerChange) {
        let at = self.now();
        self.records().controller_events.push(ControllerEvent {
            controller,
            change,
            at,
        });
    }

    fn cut_ends(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
