//! What a deployment hands the module at start.

use super::Micros;
use serde::{Deserialize, Serialize};

/// Whether a query may run more than once, and under which conditions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// It may run any number of times.
    #[default]
    #[serde(alias = "Repeatable")]
    Idempotent,
    /// Engines drop repeated runs by key, within a scope and a window of time.
    #[serde(alias = "ByKey")]
    IdempotencyKey,
    /// It must never run twice.
    #[serde(alias = "Once")]
    AtMostOnce,
}

/// The engines among which repeated runs of a keyed query are dropped.
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
    /// The latency objective: an answer is wanted within this time, plus
    #[serde(alias = "aim")]
    pub latency_objective: Micros,
    /// this multiple of the query's work over its threads.
    #[serde(alias = "aim_stretch")]
    pub latency_objective_stretch: f64,
    /// How long the client waits, over all attempts.
    pub deadline: Micros,
    /// Value of an answer within the objective.
    #[serde(alias = "worth")]
    pub value: f64,
    /// Fraction of the value that is left after the objective.
    #[serde(alias = "late_value")]
    pub late_value_fraction: f64,
    /// Whether it may run more than once.
    #[serde(alias = "effect")]
    pub semantics: ExecutionSemantics,
    /// Where repeated runs are dropped.
    #[serde(alias = "scope")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long repeated runs are dropped.
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

/// The budget for attempts beyond each query's first.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Retries allowed however few queries arrive.
    #[serde(alias = "free")]
    pub guaranteed: f64,
    /// Retries allowed for each query that arrives.
    #[serde(alias = "share")]
    pub fraction: f64,
    /// The window over which both are counted.
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
    /// For each tenant, its queries a second over all gateways.
    #[serde(alias = "allowances")]
    pub tenant_rates: Vec<f64>,
    /// For each machine kind, its cores.
    pub cores: Vec<f64>,
    /// For each machine kind, its memory in MB.
    pub memory_mb: Vec<f64>,
    /// Share of an engine's memory one query gets at most.
    #[serde(alias = "max_grant_share")]
    pub max_grant_fraction: f64,
    /// Short of memory, an engine queues queries.
    #[serde(alias = "waits")]
    pub queues_on_memory_shortage: bool,
    /// Short of memory, an engine pages: it accepts queries and all run much slower.
    #[serde(alias = "pages")]
    pub pages_on_memory_shortage: bool,
    /// Engines honour memory grants.
    #[serde(alias = "grants")]
    pub memory_grants: bool,
    /// Engines honour priorities.
    pub priorities: bool,
    /// Answers report the work they took.
    #[serde(alias = "bills")]
    pub reports_work: bool,
    /// Time between progress updates; zero for none.
    #[serde(alias = "note_every")]
    pub progress_interval: Micros,
    /// Attempts can be cancelled.
    #[serde(alias = "cancel")]
    pub cancellation: bool,
    /// Messages may be sent to the other gateways.
    #[serde(alias = "peers")]
    pub peer_messages: bool,
    /// Price of a probe, in points of service for each query.
    pub probe_price: f64,
    /// Price of a kilobyte of messages delivered for each query.
    pub message_price: f64,
    /// Engines may be probed.
    pub probes: bool,
    /// Engines report their load.
    #[serde(alias = "reports")]
    pub load_reports: bool,
    /// Load reports include the utilisation of the cores.
    pub reports_utilisation: bool,
    /// Load reports come with probes alone.
    pub reports_by_probe: bool,
    /// Changes of the endpoint list come only after subscribing.
    pub subscribe: bool,
    /// A query may have two attempts in flight at once.
    #[serde(alias = "second_copies")]
    pub hedged_requests: bool,
    /// Most attempts for one query; zero for no limit.
    pub max_attempts: usize,
    /// The longest advice on when to retry that a client honours.
    pub max_retry_after: Micros,
    /// Price of each query crossing zones once.
    pub cross_zone_price: f64,
    /// An engine in slow start begins with this fraction of its capacity.
    #[serde(alias = "cold_from")]
    pub slow_start_initial_fraction: f64,
    /// It has full capacity after this time.
    #[serde(alias = "cold_for")]
    pub slow_start_duration: Micros,
    /// It fails when it is sent more than this multiple of what it can do
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// within this time.
    #[serde(alias = "fall_span")]
    pub overload_window: Micros,
    /// How long nothing of a key starts after an attempt of it that may still run.
    #[serde(alias = "order_pause")]
    pub key_cooldown: Micros,
    /// The retry budget, where there is one.
    #[serde(alias = "attempt_budget")]
    pub retry_budget: Option<RetryBudget>,
    /// Price of a new connection to an engine for each query.
    #[serde(default)]
    pub handshake_price: f64,
    /// Engines close a connection that was idle for so long; zero where that is unknown.
    #[serde(default)]
    #[serde(alias = "connections_rest")]
    pub connection_idle_timeout: Micros,
}
