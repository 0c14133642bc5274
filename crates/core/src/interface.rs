//! The module's surface: the settings it is handed, the events it sees and the actions it takes.
//! Nothing in this file decides anything.

use serde::{Deserialize, Serialize};

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub i64);

impl Micros {
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span of so many seconds; anything out of range is clamped.
    pub fn from_secs(s: f64) -> Self {
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
pub enum Effect {
    /// Any number of runs does no harm.
    #[default]
    Repeatable,
    /// Repeats are dropped inside a group of engines, for a while.
    ByKey,
    /// Never run twice.
    Once,
}

/// The engines that drop repeats of a keyed query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
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
    pub aim: Micros,
    /// ... and this multiple of the query's work over its threads.
    pub aim_stretch: f64,
    /// The client's patience over all its tries.
    pub deadline: Micros,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Share of the worth left after the aim.
    pub late_value: f64,
    /// Whether it may run twice.
    pub effect: Effect,
    /// Where repeats of a keyed query are dropped.
    pub scope: DedupScope,
    /// For how long they are.
    pub window: Micros,
    /// Queries of one key run one at a time, in turn.
    pub in_order: bool,
    /// The only kinds of machine it may run on; empty for any.
    pub kinds: Vec<usize>,
    /// The only zones it may run in; empty for any.
    pub zones: Vec<usize>,
    /// A restriction that names nothing known: no engine is permitted.
    pub nowhere: bool,
    /// Threads a query runs on.
    pub threads: f64,
    /// It holds its tables on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its tables.
    pub waits_for_loads: bool,
}

/// A budget for attempts beyond each query's first.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptBudget {
    /// Allowed however little is taken.
    pub free: f64,
    /// Allowed for each query taken.
    pub share: f64,
    /// The span over which both are counted.
    pub span: Micros,
}

/// What a deployment hands the module at start. The default is one bare gateway with nothing optional.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many gateways share the engines.
    pub gateways: f64,
    /// Which of them this one is, counted from 0.
    pub index: f64,
    /// The zone of this gateway.
    pub zone: Option<usize>,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// For each tenant, the queries a second, over all gateways, within its share.
    pub allowances: Vec<f64>,
    /// For each machine kind, its cores.
    pub cores: Vec<f64>,
    /// For each machine kind, its memory in MB.
    pub memory_mb: Vec<f64>,
    /// Share of an engine's memory one query gets at most.
    pub max_grant_share: f64,
    /// Short of memory, an engine lets queries wait in its line.
    pub waits: bool,
    /// Short of memory, an engine lets queries in and all run much slower.
    pub pages: bool,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Answers tell the work they cost.
    pub bills: bool,
    /// Time between progress notes; zero for none.
    pub note_every: Micros,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Messages may be sent to the other gateways.
    pub peers: bool,
    /// Price of a probe for each query.
    pub probe_price: f64,
    /// Price of a kilobyte of messages delivered for each query.
    pub message_price: f64,
    /// Engines may be probed.
    pub probes: bool,
    /// Engines report their load.
    pub reports: bool,
    /// Reports tell the utilisation of the cores.
    pub reports_utilisation: bool,
    /// Reports come with probes alone.
    pub reports_by_probe: bool,
    /// Changes of the engine list come only when asked for.
    pub subscribe: bool,
    /// A query may have two attempts out at once.
    pub second_copies: bool,
    /// Most attempts for one query; zero for no limit.
    pub max_attempts: usize,
    /// Longest advice on when to come back that a client heeds.
    pub max_retry_after: Micros,
    /// Price of each query crossing zones once.
    pub cross_zone_price: f64,
    /// A cold engine starts with this share of its capacity,
    pub cold_from: f64,
    /// is warm after this time,
    pub cold_for: Micros,
    /// and falls over when sent this multiple of what it can do
    pub fall_multiple: f64,
    /// for this long.
    pub fall_span: Micros,
    /// How long a key rests after an attempt that may still run.
    pub order_pause: Micros,
    /// The budget for further attempts, where there is one.
    pub attempt_budget: Option<AttemptBudget>,
    /// Price of a new connection to an engine for each query.
    #[serde(default)]
    pub handshake_price: f64,
    /// Engines close a connection that has rested for so long; zero where that is not told.
    #[serde(default)]
    pub connections_rest: Micros,
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
    pub started: Option<Micros>,
}

/// What an engine says of its load. Each field may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Share of its cores busy.
    pub utilisation: Option<f64>,
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of its memory granted.
    pub memory: Option<f64>,
    /// Share of its disks busy.
    pub disks: Option<f64>,
}

/// What one gateway tells another of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Which engine.
    pub engine: EngineId,
    /// The engine's load as reported.
    pub report: Report,
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
    pub due: Micros,
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
    Skipped,
    /// No connection came up in time. Nobody said that there is none to be had.
    Unanswered,
}

impl Outcome {
    /// The outcome proves that the query never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Skipped | Outcome::Unanswered)
    }
}

/// Word on an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
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
pub struct Ending {
    /// Whose.
    pub query: QueryId,
    /// Which attempt, counted from 0.
    pub attempt: usize,
    /// How.
    pub outcome: Outcome,
    /// The query is over, by this or before.
    pub last: bool,
    /// Since it was sent.
    pub took: Micros,
    /// Work in seconds of one thread, where the answer tells.
    pub billed_work: Option<f64>,
    /// The engine's load.
    pub report: Report,
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
    AnswerBegan(QueryId),
    /// Word on an attempt.
    Noted {
        /// Whose.
        query: QueryId,
        /// Which attempt, counted from 0.
        attempt: usize,
        /// What is told.
        note: Note,
    },
    /// An attempt ended.
    Ended(Ending),
    /// The client left; nothing is owed.
    Departed(QueryId),
    /// A probe came back.
    Probed {
        /// From.
        engine: EngineId,
        /// How it went.
        outcome: Outcome,
        /// The engine's load.
        report: Report,
    },
    /// Another gateway tells of engines. Those that the own list has not named are left out.
    Told(Vec<Word>),
    /// A timer ran out.
    TimerDue(u64),
    /// So many gateways share the engines from now on, and this one is number `index` of them, from 0.
    Gateways {
        /// How many, at least 1.
        count: f64,
        /// Which one.
        index: f64,
    },
    /// Its gateway ends: it must have its answer now.
    TimeUp(QueryId),
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
        time_out: Micros,
    },
    /// Memory and priority of a query's next send.
    Terms {
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
    Refuse {
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
    Timer {
        /// Its token.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Tell all other gateways of engines.
    Tell(Vec<Word>),
    /// Ask for the changes of the engine list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
