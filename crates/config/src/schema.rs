//! The keys of the file as written, by section. A key that is not listed here is rejected.

use crate::units::{Size, Time};
use serde::Deserialize;
use toml::Spanned;

/// A value with its place in the file.
type At<T> = Spanned<T>;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub listen: Option<At<String>>,
    pub admin: Option<At<String>>,
    pub seed: Option<u64>,
    #[serde(default)]
    pub controller: Controller,
    pub fleet: At<Fleet>,
    pub classes: At<Vec<At<Class>>>,
    #[serde(default)]
    pub tenants: Vec<At<Tenant>>,
    #[serde(default)]
    pub signals: Signals,
    #[serde(default)]
    pub means: Means,
    #[serde(default)]
    pub prices: Prices,
    pub rules: Option<At<Rules>>,
    #[serde(default)]
    pub route: Route,
    #[serde(default)]
    pub engines: Vec<At<Engine>>,
    pub registry: Option<At<Registry>>,
    pub members: Option<At<Members>>,
    pub gossip: Option<At<Gossip>>,
    pub peers: Option<At<Peers>>,
    pub capture: Option<At<Capture>>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub timing: Timing,
}

/// `[controller]`: this controller.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Controller {
    pub index: Option<At<u32>>,
    pub count: Option<At<u32>>,
    pub zone: Option<At<String>>,
    pub user: Option<String>,
    pub database: Option<String>,
}

/// `[fleet]`: zones, kinds of machine and memory grants.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    #[serde(default)]
    pub zones: Vec<At<String>>,
    pub kinds: At<Vec<At<Kind>>>,
    pub most_grant: Option<At<f64>>,
    pub when_short: Option<WhenShort>,
}

/// What an engine does with a query when its memory is short.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WhenShort {
    Wait,
    Shrink,
    Page,
}

/// `[[fleet.kinds]]`: a kind of machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kind {
    pub name: String,
    pub cores: At<f64>,
    pub memory: At<Size>,
}

/// `[[classes]]`: a class of queries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub name: At<String>,
    pub aim: At<Time>,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline: At<Time>,
    pub worth: Option<f64>,
    #[serde(default)]
    pub late_worth: f64,
    pub effect: Effect,
    pub dedup: Option<At<Dedup>>,
    pub window: Option<At<Time>>,
    #[serde(default)]
    pub in_order: bool,
    #[serde(default)]
    pub kinds: Vec<At<String>>,
    #[serde(default)]
    pub zones: Vec<At<String>>,
    pub threads: Option<At<f64>>,
    #[serde(default)]
    pub load: bool,
    #[serde(default)]
    pub waits_for_loads: bool,
}

/// What repeating a query of a class does.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Effect {
    Repeatable,
    ByKey,
    Once,
}

/// The engines among which repeats with the same key are dropped.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Dedup {
    All,
    Zone,
    Cell,
}

/// `[[tenants]]`: a tenant and its rate.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub name: At<String>,
    pub allowance: f64,
}

/// How load reports arrive.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Reports {
    #[default]
    Answers,
    Probe,
    None,
}

/// `[signals]`: what engines report.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Signals {
    pub reports: Reports,
    pub utilisation: Option<bool>,
    pub notes_every: Option<Time>,
    pub bills: bool,
}

/// `[means]`: the mechanisms that the controller may use.
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Means {
    pub cancel: bool,
    pub grants: bool,
    pub priorities: bool,
    pub probes: bool,
    pub messages: bool,
    pub second_copies: bool,
    pub max_attempts: u32,
    pub max_retry_after: Time,
    pub subscribe: bool,
}

impl Default for Means {
    fn default() -> Self {
        Means {
            cancel: true,
            grants: false,
            priorities: false,
            probes: false,
            messages: false,
            second_copies: false,
            max_attempts: 4,
            max_retry_after: Time(wheelfield::interface::Micros(2_000_000)),
            subscribe: false,
        }
    }
}

/// `[prices]`: the costs of optional actions.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Prices {
    pub cross_zone: f64,
    pub probe: f64,
    pub message: f64,
}

/// `[rules]`: slow start, overload, ordered keys and retries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rules {
    pub cold_from: Option<At<f64>>,
    pub cold_for: Option<Time>,
    pub fall_multiple: Option<At<f64>>,
    pub fall_span: Option<Time>,
    pub order_pause: Option<Time>,
    pub budget: Option<Budget>,
}

/// `budget` under `[rules]`: the retry budget.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Budget {
    pub free: f64,
    pub share: f64,
    pub span: At<Time>,
}

/// `[route]`: how a query is assigned to a class.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Route {
    pub default_class: Option<At<String>>,
    pub select: Vec<At<Select>>,
}

/// `[[route.select]]`: conditions and the class that they assign.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Select {
    pub user: Option<String>,
    pub database: Option<String>,
    pub application: Option<String>,
    pub pattern: Option<At<String>>,
    pub class: At<String>,
}

/// `[[engines]]`: an engine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engine {
    pub id: At<String>,
    pub address: At<String>,
    pub zone: Option<At<String>>,
    pub kind: At<String>,
    #[serde(default)]
    pub cell: i64,
}

/// How the endpoint list of a registry is kept up to date.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Mode {
    #[default]
    Watch,
    Poll,
}

/// `[registry]`: a registry that serves the endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Registry {
    pub address: At<String>,
    #[serde(default)]
    pub mode: Mode,
    pub every: Option<Time>,
}

/// `[peers]`: the other controllers, and the limits of messages to them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peers {
    pub listen: Option<At<String>>,
    #[serde(default)]
    pub addresses: Vec<At<String>>,
    pub most_each: Option<At<Size>>,
    pub most: Option<At<Size>>,
}

/// `[limits]`: limits on numbers and sizes.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Limits {
    pub clients: Option<At<u32>>,
    pub queries: Option<At<u32>>,
    pub message: Option<At<Size>>,
    pub statements: Option<At<u32>>,
    pub prepared: Option<At<Size>>,
    pub buffer: Option<At<Size>>,
    pub sessions: Option<At<u32>>,
    pub backlog: Option<At<u32>>,
}

/// `[timing]`: timeouts.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Timing {
    pub answer_margin: Option<At<Time>>,
    pub connect: Option<At<Time>>,
    pub startup: Option<At<Time>>,
    pub stall: Option<At<Time>>,
    pub withdraw: Option<At<Time>>,
    pub session_idle: Option<At<Time>>,
    pub drain: Option<At<Time>>,
    pub probe: Option<At<Time>>,
}

/// `[capture]`: the recording of inputs and outputs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Capture {
    pub file: At<String>,
    #[serde(default)]
    pub mode: CaptureMode,
    pub memory: Option<At<Size>>,
    pub span: Option<At<Time>>,
    #[serde(default)]
    pub triggers: Triggers,
    pub segment: Option<At<Size>>,
    pub keep: Option<At<Size>>,
    pub checkpoint: Option<At<Time>>,
    pub sync: Option<At<Time>>,
    pub queue: Option<At<u32>>,
}

/// Whether the capture is written at all times, not at all, or on a trigger.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CaptureMode {
    #[default]
    On,
    Off,
    Ring,
}

/// `[capture.triggers]`: what writes a recording in memory to the file.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Triggers {
    pub set_aside: Option<bool>,
    pub refusals: Option<At<f64>>,
    pub window: Option<At<Time>>,
    pub stall: Option<At<Time>>,
    pub after: Option<At<Time>>,
    pub rest: Option<At<Time>>,
}

/// `[members]`: files that contain the endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Members {
    pub files: At<Vec<At<String>>>,
    pub last_good: Option<At<String>>,
    pub settle: Option<At<Time>>,
    pub poll: Option<At<Time>>,
    pub most_lost: Option<At<f64>>,
    pub hold: Option<At<Time>>,
    pub reuse_after: Option<At<Time>>,
    pub registry_age: Option<At<Time>>,
}

/// `[gossip]`: how controllers find each other.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gossip {
    pub listen: At<String>,
    pub advertise: Option<At<String>>,
    #[serde(default)]
    pub seeds: Vec<At<String>>,
    pub keys: At<String>,
    pub period: Option<At<Time>>,
    #[serde(default)]
    pub forget: Forget,
    pub hold: Option<At<Time>>,
    pub settle: Option<At<Time>>,
}

/// Who may evict an unreachable member.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Forget {
    #[default]
    Operator,
    Quorum,
}
