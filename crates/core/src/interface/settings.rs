//! The settings that a deployment passes to the policy at start.

use super::Micros;
use serde::{Deserialize, Serialize};

/// Whether a query may run more than once, and under which conditions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionSemantics {
    /// It may run any number of times.
    #[default]
    #[serde(alias = "Repeatable")]
    Idempotent,
    /// Engines drop repeated runs by idempotency key, within a scope and a time window.
    #[serde(alias = "ByKey")]
    IdempotencyKey,
    /// It must not run twice.
    #[serde(alias = "Once")]
    AtMostOnce,
}

/// The engines among which repeated runs of a query with a key are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    /// All engines.
    #[default]
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// One class of queries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The constant part of the latency objective.
    #[serde(alias = "aim")]
    pub latency_objective: Micros,
    /// The variable part of the latency objective, as a multiple of the query's work divided by its threads.
    #[serde(alias = "aim_stretch")]
    pub latency_objective_stretch: f64,
    /// How long the client waits, over all attempts.
    pub deadline: Micros,
    /// Value of an answer within the latency objective.
    #[serde(alias = "worth")]
    pub value: f64,
    /// Fraction of the value that an answer has after the latency objective.
    #[serde(alias = "late_value")]
    pub late_value_fraction: f64,
    /// Whether a query may run more than once.
    #[serde(alias = "effect")]
    pub semantics: ExecutionSemantics,
    /// The engines among which repeated runs are dropped.
    #[serde(alias = "scope")]
    pub deduplication_scope: DeduplicationScope,
    /// How long repeated runs are dropped.
    #[serde(alias = "window")]
    pub deduplication_window: Micros,
    /// Queries of the same key run one at a time, in order of arrival.
    #[serde(alias = "in_order")]
    pub ordered_by_key: bool,
    /// The kinds of machine that it may run on; empty for all.
    pub kinds: Vec<usize>,
    /// The zones that it may run in; empty for all.
    pub zones: Vec<usize>,
    /// The class is restricted to kinds or zones of which none is known, so no engine is permitted.
    #[serde(alias = "nowhere")]
    pub no_engine_permitted: bool,
    /// Number of threads that a query runs on.
    pub threads: f64,
    /// A query is a load: it locks its tables on its engine while it runs.
    pub is_load: bool,
    /// A query waits while a load has locked its tables.
    pub waits_for_loads: bool,
}

/// The budget for retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Retries allowed regardless of how many queries arrive.
    #[serde(alias = "free")]
    pub guaranteed: f64,
    /// Retries allowed per query that arrives.
    #[serde(alias = "share")]
    pub fraction: f64,
    /// The window in which both retries and arrivals are counted.
    #[serde(alias = "span")]
    pub window: Micros,
}

/// The settings that a deployment passes to the policy at start. The default is a single gateway without
/// optional features.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of gateways that share the engines.
    #[serde(alias = "gateways")]
    pub gateway_count: f64,
    /// Index of this gateway, counted from 0.
    #[serde(alias = "index")]
    pub gateway_index: f64,
    /// The zone of this gateway.
    pub zone: Option<usize>,
    /// The classes of queries.
    pub classes: Vec<Class>,
    /// Queries per second of each tenant, over all gateways.
    #[serde(alias = "allowances")]
    pub tenant_rates: Vec<f64>,
    /// Number of cores of each kind of machine.
    pub cores: Vec<f64>,
    /// Memory of each kind of machine, in MB.
    pub memory_mb: Vec<f64>,
    /// Largest fraction of an engine's memory that one query gets.
    #[serde(alias = "max_grant_share")]
    pub max_grant_fraction: f64,
    /// An engine that is short of memory queues queries.
    #[serde(alias = "waits")]
    pub queues_on_memory_shortage: bool,
    /// An engine that is short of memory pages: it accepts queries, and all of them run much slower.
    #[serde(alias = "pages")]
    pub pages_on_memory_shortage: bool,
    /// Engines honour memory grants.
    #[serde(alias = "grants")]
    pub memory_grants: bool,
    /// Engines honour priorities.
    pub priorities: bool,
    /// Answers report the work that the query took.
    #[serde(alias = "bills")]
    pub reports_work: bool,
    /// Interval of progress updates; zero for none.
    #[serde(alias = "note_every")]
    pub progress_interval: Micros,
    /// Attempts can be cancelled.
    #[serde(alias = "cancel")]
    pub cancellation: bool,
    /// Messages can be sent to the other gateways.
    #[serde(alias = "peers")]
    pub peer_messages: bool,
    /// Cost of sending one probe per query, in points of the service score.
    pub probe_price: f64,
    /// Cost of delivering one kilobyte of messages per query, in points of the service score.
    pub message_price: f64,
    /// Engines can be probed.
    pub probes: bool,
    /// Engines report their load.
    #[serde(alias = "reports")]
    pub load_reports: bool,
    /// Load reports include the utilisation of the cores.
    pub reports_utilisation: bool,
    /// Load reports come only with answers to probes.
    pub reports_by_probe: bool,
    /// Changes of the endpoint list come only after subscribing.
    pub subscribe: bool,
    /// A query may have two attempts in flight at once.
    #[serde(alias = "second_copies")]
    pub hedged_requests: bool,
    /// Maximum number of attempts per query; zero for no limit.
    pub max_attempts: usize,
    /// The longest advice on when to retry that clients honour; zero if they honour none.
    pub max_retry_after: Micros,
    /// Cost of every query crossing zones once, in points of the service score.
    pub cross_zone_price: f64,
    /// Fraction of its capacity that an engine has at the beginning of slow start.
    #[serde(alias = "cold_from")]
    pub slow_start_initial_fraction: f64,
    /// Duration of slow start, after which the engine has its full capacity.
    #[serde(alias = "cold_for")]
    pub slow_start_duration: Micros,
    /// An engine fails when it is sent more than this multiple of its capacity within the overload window.
    #[serde(alias = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window for `overload_multiple`.
    #[serde(alias = "fall_span")]
    pub overload_window: Micros,
    /// How long no query of a key starts after an attempt of that key which may still run.
    #[serde(alias = "order_pause")]
    pub key_cooldown: Micros,
    /// The retry budget, if there is one.
    #[serde(alias = "attempt_budget")]
    pub retry_budget: Option<RetryBudget>,
    /// Cost of opening one connection per query, in points of the service score.
    #[serde(default)]
    pub handshake_price: f64,
    /// Time after which engines close an idle connection; zero if unknown.
    #[serde(default)]
    #[serde(alias = "connections_rest")]
    pub connection_idle_timeout: Micros,
}
