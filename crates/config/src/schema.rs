//! The sections and keys of the configuration file. Keys that are not defined here are rejected.
//!
//! Fields have the names of the model. A serde attribute pins the key of the file, and the type name in parser errors,
//! where these differ.

use crate::units::{Size, Time};
use serde::Deserialize;
use toml::Spanned;

/// The whole configuration file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub listen: Option<Spanned<String>>,
    pub admin: Option<Spanned<String>>,
    pub seed: Option<u64>,
    #[serde(default)]
    pub controller: Controller,
    pub fleet: Spanned<Fleet>,
    pub classes: Spanned<Vec<Spanned<Class>>>,
    #[serde(default)]
    pub tenants: Vec<Spanned<Tenant>>,
    #[serde(default)]
    pub signals: Signals,
    #[serde(default, rename = "means")]
    pub mechanisms: Mechanisms,
    #[serde(default)]
    pub prices: Prices,
    pub rules: Option<Spanned<Rules>>,
    #[serde(default)]
    pub route: Route,
    #[serde(default)]
    pub engines: Vec<Spanned<Engine>>,
    pub registry: Option<Spanned<Registry>>,
    #[serde(rename = "members")]
    pub endpoint_files: Option<Spanned<EndpointFiles>>,
    pub gossip: Option<Spanned<Gossip>>,
    pub peers: Option<Spanned<Peers>>,
    pub capture: Option<Spanned<Capture>>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub timing: Timing,
}

/// `[controller]`: the identity of this controller, and its login at the engines.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Controller {
    pub index: Option<Spanned<u32>>,
    pub count: Option<Spanned<u32>>,
    pub zone: Option<Spanned<String>>,
    pub user: Option<String>,
    pub database: Option<String>,
}

/// `[fleet]`: zones, kinds of machine and memory grants.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    #[serde(default)]
    pub zones: Vec<Spanned<String>>,
    #[serde(rename = "kinds")]
    pub machine_kinds: Spanned<Vec<Spanned<MachineKind>>>,
    #[serde(rename = "most_grant")]
    pub max_grant_fraction: Option<Spanned<f64>>,
    #[serde(rename = "when_short")]
    pub on_memory_shortage: Option<MemoryShortage>,
}

/// How an engine handles a query when it has too little free memory.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", rename = "WhenShort")]
pub(crate) enum MemoryShortage {
    #[serde(rename = "wait")]
    Queue,
    Shrink,
    Page,
}

/// `[[fleet.kinds]]`: a kind of machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Kind")]
pub(crate) struct MachineKind {
    pub name: String,
    pub cores: Spanned<f64>,
    pub memory: Spanned<Size>,
}

/// `[[classes]]`: a class of queries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub name: Spanned<String>,
    #[serde(rename = "aim")]
    pub latency_objective: Spanned<Time>,
    #[serde(default, rename = "aim_stretch")]
    pub latency_objective_stretch: f64,
    pub deadline: Spanned<Time>,
    #[serde(rename = "worth")]
    pub value: Option<f64>,
    #[serde(default, rename = "late_worth")]
    pub late_value_fraction: f64,
    #[serde(rename = "effect")]
    pub semantics: ExecutionSemantics,
    #[serde(rename = "dedup")]
    pub deduplication_scope: Option<Spanned<DeduplicationScope>>,
    #[serde(rename = "window")]
    pub deduplication_window: Option<Spanned<Time>>,
    #[serde(default, rename = "in_order")]
    pub ordered_by_key: bool,
    #[serde(default)]
    pub kinds: Vec<Spanned<String>>,
    #[serde(default)]
    pub zones: Vec<Spanned<String>>,
    pub threads: Option<Spanned<f64>>,
    #[serde(default, rename = "load")]
    pub is_load: bool,
    #[serde(default)]
    pub waits_for_loads: bool,
}

/// Whether the queries of a class may be executed more than once.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case", rename = "Effect")]
pub(crate) enum ExecutionSemantics {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    IdempotencyKey,
    #[serde(rename = "once")]
    AtMostOnce,
}

/// The engines among which repeats with the same idempotency key are dropped.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", rename = "Dedup")]
pub(crate) enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

/// `[[tenants]]`: a tenant, and its rate in queries per second over all controllers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub name: Spanned<String>,
    #[serde(rename = "allowance")]
    pub rate: f64,
}

/// How the controller gets load reports: with answers, by probes, or not at all.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", rename = "Reports")]
pub(crate) enum LoadReports {
    #[default]
    Answers,
    Probe,
    None,
}

/// `[signals]`: the information that engines report.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Signals {
    #[serde(rename = "reports")]
    pub load_reports: LoadReports,
    #[serde(rename = "utilisation")]
    pub reports_utilisation: Option<bool>,
    #[serde(rename = "notes_every")]
    pub progress_interval: Option<Time>,
    #[serde(rename = "bills")]
    pub reports_work: bool,
}

/// `[means]`: the optional mechanisms that the controller may use.
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields, rename = "Means")]
pub(crate) struct Mechanisms {
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    #[serde(rename = "grants")]
    pub memory_grants: bool,
    pub priorities: bool,
    pub probes: bool,
    #[serde(rename = "messages")]
    pub peer_messages: bool,
    #[serde(rename = "second_copies")]
    pub hedged_requests: bool,
    pub max_attempts: u32,
    pub max_retry_after: Time,
    pub subscribe: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            cancellation: true,
            memory_grants: false,
            priorities: false,
            probes: false,
            peer_messages: false,
            hedged_requests: false,
            max_attempts: 4,
            max_retry_after: Time(wheelfield::interface::Micros(2_000_000)),
            subscribe: false,
        }
    }
}

/// `[prices]`: the costs of optional actions, which the decision core weighs against their benefit.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Prices {
    pub cross_zone: f64,
    pub probe: f64,
    pub message: f64,
}

/// `[rules]`: settings for slow start, overload, ordered keys and retries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rules {
    #[serde(rename = "cold_from")]
    pub slow_start_initial_fraction: Option<Spanned<f64>>,
    #[serde(rename = "cold_for")]
    pub slow_start_duration: Option<Time>,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Option<Spanned<f64>>,
    #[serde(rename = "fall_span")]
    pub overload_window: Option<Time>,
    #[serde(rename = "order_pause")]
    pub key_cooldown: Option<Time>,
    #[serde(rename = "budget")]
    pub retry_budget: Option<RetryBudget>,
}

/// `budget` in `[rules]`: the retry budget.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Budget")]
pub(crate) struct RetryBudget {
    #[serde(rename = "free")]
    pub guaranteed: f64,
    #[serde(rename = "share")]
    pub fraction: f64,
    #[serde(rename = "span")]
    pub window: Spanned<Time>,
}

/// `[route]`: the rules that assign a query to a class.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Route {
    pub default_class: Option<Spanned<String>>,
    #[serde(rename = "select")]
    pub selectors: Vec<Spanned<Selector>>,
}

/// `[[route.select]]`: conditions, and the class of the queries that meet them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Select")]
pub(crate) struct Selector {
    pub user: Option<String>,
    pub database: Option<String>,
    pub application: Option<String>,
    pub pattern: Option<Spanned<String>>,
    pub class: Spanned<String>,
}

/// `[[engines]]`: an engine that is listed in the file itself.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engine {
    pub id: Spanned<String>,
    pub address: Spanned<String>,
    pub zone: Option<Spanned<String>>,
    pub kind: Spanned<String>,
    #[serde(default)]
    pub cell: i64,
}

/// How the endpoint list is refreshed from a registry.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", rename = "Mode")]
pub(crate) enum RefreshMode {
    #[default]
    Watch,
    Poll,
}

/// `[registry]`: a registry that serves the endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Registry {
    pub address: Spanned<String>,
    #[serde(default, rename = "mode")]
    pub refresh: RefreshMode,
    #[serde(rename = "every")]
    pub poll_interval: Option<Time>,
}

/// `[peers]`: the other controllers, and the rate limits of messages to them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peers {
    pub listen: Option<Spanned<String>>,
    #[serde(default)]
    pub addresses: Vec<Spanned<String>>,
    #[serde(rename = "most_each")]
    pub bytes_per_second_per_peer: Option<Spanned<Size>>,
    #[serde(rename = "most")]
    pub total_bytes_per_second: Option<Spanned<Size>>,
}

/// `[limits]`: limits on counts and sizes.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Limits {
    pub clients: Option<Spanned<u32>>,
    pub queries: Option<Spanned<u32>>,
    pub message: Option<Spanned<Size>>,
    pub statements: Option<Spanned<u32>>,
    pub prepared: Option<Spanned<Size>>,
    pub buffer: Option<Spanned<Size>>,
    pub sessions: Option<Spanned<u32>>,
    pub backlog: Option<Spanned<u32>>,
}

/// `[timing]`: timeouts and the answer margin.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Timing {
    pub answer_margin: Option<Spanned<Time>>,
    pub connect: Option<Spanned<Time>>,
    pub startup: Option<Spanned<Time>>,
    pub stall: Option<Spanned<Time>>,
    #[serde(rename = "withdraw")]
    pub cancel: Option<Spanned<Time>>,
    pub session_idle: Option<Spanned<Time>>,
    pub drain: Option<Spanned<Time>>,
    pub probe: Option<Spanned<Time>>,
}

/// `[capture]`: the recording of the driver's inputs and outputs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Capture {
    pub file: Spanned<String>,
    #[serde(default)]
    pub mode: CaptureMode,
    #[serde(rename = "memory")]
    pub ring_bytes: Option<Spanned<Size>>,
    #[serde(rename = "span")]
    pub ring_span: Option<Spanned<Time>>,
    #[serde(default)]
    pub triggers: Triggers,
    #[serde(rename = "segment")]
    pub segment_bytes: Option<Spanned<Size>>,
    #[serde(rename = "keep")]
    pub max_total_bytes: Option<Spanned<Size>>,
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Option<Spanned<Time>>,
    #[serde(rename = "sync")]
    pub sync_interval: Option<Spanned<Time>>,
    #[serde(rename = "queue")]
    pub max_queued_blocks: Option<Spanned<u32>>,
}

/// Whether the capture is written continuously, never, or only on a trigger.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CaptureMode {
    #[default]
    On,
    Off,
    Ring,
}

/// `[capture.triggers]`: the conditions under which the ring buffer in memory is written to the file.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Triggers {
    #[serde(rename = "set_aside")]
    pub on_engine_ejected: Option<bool>,
    #[serde(rename = "refusals")]
    pub rejected_fraction: Option<Spanned<f64>>,
    #[serde(rename = "window")]
    pub rejection_window: Option<Spanned<Time>>,
    #[serde(rename = "stall")]
    pub stall_threshold: Option<Spanned<Time>>,
    #[serde(rename = "after")]
    pub record_after: Option<Spanned<Time>>,
    #[serde(rename = "rest")]
    pub cooldown: Option<Spanned<Time>>,
}

/// `[members]`: engine files, which contain the endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Members")]
pub(crate) struct EndpointFiles {
    pub files: Spanned<Vec<Spanned<String>>>,
    #[serde(rename = "last_good")]
    pub last_good_file: Option<Spanned<String>>,
    #[serde(rename = "settle")]
    pub settle_time: Option<Spanned<Time>>,
    #[serde(rename = "poll")]
    pub poll_interval: Option<Spanned<Time>>,
    #[serde(rename = "most_lost")]
    pub max_lost_fraction: Option<Spanned<f64>>,
    #[serde(rename = "hold")]
    pub hold_duration: Option<Spanned<Time>>,
    #[serde(rename = "reuse_after")]
    pub id_reuse_delay: Option<Spanned<Time>>,
    #[serde(rename = "registry_age")]
    pub max_registry_age: Option<Spanned<Time>>,
}

/// `[gossip]`: the gossip protocol with which controllers discover each other.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gossip {
    pub listen: Spanned<String>,
    #[serde(rename = "advertise")]
    pub advertised_address: Option<Spanned<String>>,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    #[serde(rename = "keys")]
    pub keys_file: Spanned<String>,
    #[serde(rename = "period")]
    pub probe_interval: Option<Spanned<Time>>,
    #[serde(default, rename = "forget")]
    pub eviction: EvictionPolicy,
    #[serde(rename = "hold")]
    pub evict_after: Option<Spanned<Time>>,
    #[serde(rename = "settle")]
    pub startup_grace: Option<Spanned<Time>>,
}

/// Who may evict an unreachable member: only an operator, or also a quorum of the members.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", rename = "Forget")]
pub(crate) enum EvictionPolicy {
    #[default]
    Operator,
    Quorum,
}
