//! The module's surface: the settings it is handed, the events it sees and the actions it takes.
//! Nothing in this file decides anything.

use serde::{Deserialize, Serialize};

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub i64);

impl Micros {
    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span of so many seconds; anything out of range is clamped.
    pub fn from_secs_f64(s: f64) -> Self {
        Micros((s * 1e6) as i64)
    }
}

impl std::ops::Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// An engine, the same number at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineId(pub u64);

/// A query taken from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueryId(pub u64);

/// Whether a query may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// Any number of runs does no harm.
    #[default]
    #[serde(alias = "Repeatable")]
    Idempotent,
    /// Repeats are dropped inside a group of engines, for a while.
    #[serde(alias = "ByKey")]
    IdempotencyKey,
    /// Never run twice.
    #[serde(alias = "Once")]
    AtMostOnce,
}

/// The engines that drop repeats of a keyed query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    /// All engines together.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Wanted within this time ...
    #[serde(alias = "aim")]
    pub latency_objective: Micros,
    /// ... and this multiple of the query's work over its threads.
    #[serde(alias = "aim_stretch")]
    pub latency_objective_stretch: f64,
    /// The client's patience over all its tries.
    pub deadline: Micros,
    /// Worth of an answer within the aim.
    #[serde(alias = "worth")]
    pub value: f64,
    /// Share of the worth left after the aim.
    #[serde(alias = "late_value")]
    pub late_value_fraction: f64,
    /// Whether it may run twice.
    #[serde(alias = "effect")]
    pub semantics: ExecutionSemantics,
    /// Where repeats of a keyed query are dropped.
    #[serde(alias = "scope")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long they are.
    #[serde(alias = "window")]
    pub deduplication_window: Micros,
    /// Queries of one key run one at a time, in turn.
    #[serde(alias = "in_order")]
    pub ordered_by_key: bool,
    /// The only kinds of machine it may run on; empty for any.
    pub kinds: Vec<usize>,
    /// The only zones it may run in; empty for any.
    pub zones: Vec<usize>,
    /// A restriction that names nothing known: no engine is permitted.
    #[serde(alias = "nowhere")]
    pub no_engine_permitted: bool,
    /// Threads a query runs on.
    pub threads: f64,
    /// It holds its tables on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its tables.
    pub waits_for_loads: bool,
}

/// A budget for attempts beyond each query's first.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Allowed however little is taken.
    #[serde(alias = "free")]
    pub guaranteed: f64,
    /// Allowed for each query taken.
    #[serde(alias = "share")]
    pub fraction: f64,
    /// The span over which both are counted.
    #[serde(alias = "span")]
    pub window: Micros,
}

/// What a deployment hands the module at start. The default is one bare gateway with nothing optional.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many gateways share the engines.
    #[serde(alias = "gateways")]
    pub gateway_count: f64,
    /// Which of them this one is, counted from 0.
    #[serde(alias = "index")]
    pub gateway_index: f64,
    /// The zone of this gateway.
    pub zone: Option<usize>,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// For each tenant, the queries a second, over all gateways, within its share.
    #[serde(alias = "allowances")]
    pub tenant_rates: Vec<f64>,
    /// For each machine kind, its cores.
    pub cores: Vec<f64>,
    /// For each machine kind, its memory in MB.
    pub memory_mb: Vec<f64>,
    /// Share of an engine's memory one query gets at most.
    #[serde(alias = "max_grant_share")]
    pub max_grant_fraction: f64,
    /// Short of memory, an engine lets queries wait in its line.
    #[serde(alias = "waits")]
    pub queues_on_memory_shortage: bool,
    /// Short of memory, an engine lets queries in and all run much slower.
    #[serde(alias = "pages")]
    pub pages_on_memory_shortage: bool,
    /// Memory grants are heeded.
    #[serde(alias = "grants")]
    pub memory_grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Answers tell the work they cost.
    #[serde(alias = "bills")]
    pub reports_work: bool,
    /// Time between progress notes; zero for none.
    #[serde(alias = "note_every")]
    pub progress_interval: Micros,
    /// Attempts may be withdrawn.
    #[serde(alias = "cancel")]
    pub cancellation: bool,
    /// Messages may be sent to the other gateways.
    #[serde(alias = "peers")]
    pub peer_messages: bool,
    /// Price of a probe for each query.
    pub probe_price: f64,
    /// Price of a kilobyte of messages delivered for each query.
    pub message_price: f64,
    /// Engines may be probed.
    pub probes: bool,
    /// Engines report their load.
    #[serde(alias = "reports")]
    pub load_reports: bool,
    /// Reports tell the utilisation of the cores.
    pub reports_utilisation: bool,
    /// Reports come with probes alone.
    pub reports_by_probe: bool,
    /// Changes of the engine list come only when asked for.
    pub subscribe: bool,
    /// A query may have two attempts out at once.
    #[serde(alias = "second_copies")]
    pub hedged_requests: bool,
    /// Most attempts for one query; zero for no limit.
    pub max_attempts: usize,
    /// Longest advice on when to come back that a client heeds.
    pub max_retry_after: Micros,
    /// Price of each query crossing zones once.
    pub cross_zone_price: f64,
    /// A cold engine starts with this share of its capacity,
    #[serde(alias = "cold_from")]
    pub slow_start_initial_fraction: f64,
    /// is warm after this time,
    #[serde(alias = "cold_for")]
    pub slow_start_duration: Micros,
    /// and falls over when sent this multiple of what it can do
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// for this long.
    #[serde(alias = "fall_span")]
    pub overload_window: Micros,
    /// How long a key rests after an attempt that may still run.
    #[serde(alias = "order_pause")]
    pub key_cooldown: Micros,
    /// The budget for further attempts, where there is one.
    #[serde(alias = "attempt_budget")]
    pub retry_budget: Option<RetryBudget>,
    /// Price of a new connection to an engine for each query.
    #[serde(default)]
    pub handshake_price: f64,
    /// Engines close a connection that has rested for so long; zero where that is not told.
    #[serde(default)]
    #[serde(alias = "connections_rest")]
    pub connection_idle_timeout: Micros,
}

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// One line of the engine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: i64,
    /// Whether it takes work.
    pub status: Status,
    /// Its last start, where that is recent.
    pub started_at: Option<Micros>,
}

/// What an engine says of its load. Each field may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of its cores busy.
    pub utilisation: Option<f64>,
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Share of its memory granted.
    pub memory_granted: Option<f64>,
    /// Share of its disks busy.
    pub disk_utilisation: Option<f64>,
}

/// What one gateway tells another of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoadReport {
    /// Which engine.
    pub engine: EngineId,
    /// The engine's load as reported.
    pub report: LoadReport,
}

/// A query from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// When the client gives up.
    pub deadline: Micros,
    /// Estimated work in seconds of one thread, where known.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB, where known.
    pub memory_hint: Option<f64>,
    /// The tables it reads or writes.
    pub tables: u64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Served,
    /// The engine returned an error.
    Error,
    /// The engine turned it away unseen.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// No connection came up in time. Nobody said that there is none to be had.
    ConnectTimedOut,
}

impl Outcome {
    /// The outcome proves that the query never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::ConnectTimedOut)
    }
}

/// Word on an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptUpdate {
    /// Share of it done.
    Progress(f64),
    /// It spills, for want of so many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It stands still behind a load.
    WaitsForLoad,
    /// Some other word.
    Other,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Whose.
    pub query: QueryId,
    /// Which attempt, counted from 0.
    pub attempt: usize,
    /// How.
    pub outcome: Outcome,
    /// The query is over, by this or before.
    pub query_over: bool,
    /// Since it was sent.
    pub elapsed: Micros,
    /// Work in seconds of one thread, where the answer tells.
    pub reported_work: Option<f64>,
    /// The engine's load.
    pub report: LoadReport,
}

/// What the module is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The gateway starts.
    Started,
    /// The whole engine list.
    EngineList(Vec<EngineEntry>),
    /// Changed lines of the engine list.
    EngineChanges(Vec<EngineEntry>),
    /// The engine list could not be had.
    ListUnavailable,
    /// A query comes in.
    Arrived(Query),
    /// The answer of an attempt has begun; it is the client's from now on.
    AnswerStarted(QueryId),
    /// Word on an attempt.
    AttemptUpdated {
        /// Whose.
        query: QueryId,
        /// Which attempt, counted from 0.
        attempt: usize,
        /// What is told.
        update: AttemptUpdate,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing is owed.
    Abandoned(QueryId),
    /// A probe came back.
    ProbeEnded {
        /// From.
        engine: EngineId,
        /// How it went.
        outcome: Outcome,
        /// The engine's load.
        report: LoadReport,
    },
    /// Another gateway tells of engines. Those that the own list has not named are left out.
    PeerReports(Vec<PeerLoadReport>),
    /// A timer ran out.
    TimerFired(u64),
    /// So many gateways share the engines from now on, and this one is number `index` of them, from 0.
    GatewayCountChanged {
        /// How many, at least 1.
        count: f64,
        /// Which one.
        index: f64,
    },
    /// Its gateway ends: it must have its answer now.
    ShutdownDeadline(QueryId),
}

/// What the module wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Of which query.
        query: QueryId,
        /// Where.
        engine: EngineId,
        /// Give up on it after this; zero for the client's own limit.
        timeout: Micros,
    },
    /// Memory and priority of a query's next send.
    SetOptions {
        /// Which query.
        query: QueryId,
        /// In MB; zero leaves it to the engine.
        grant_mb: f64,
        /// 0 to 3.
        priority: u8,
    },
    /// Withdraw an attempt.
    Cancel {
        /// Whose.
        query: QueryId,
        /// Which.
        attempt: usize,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// Which query.
        query: QueryId,
        /// When to come back; zero for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Ask for a timer.
    SetTimer {
        /// Its token.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Tell all other gateways of engines.
    ShareReports(Vec<PeerLoadReport>),
    /// Ask for the changes of the engine list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
