//! The keys of the file as written, by section. A key that is not listed here is rejected.

use crate::units::{Size, Time};
use serde::Deserialize;
use toml::Spanned;

type At<T> = Spanned<T>;

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

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Controller {
    pub index: Option<At<u32>>,
    pub count: Option<At<u32>>,
    pub zone: Option<At<String>>,
    pub user: Option<String>,
    pub database: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    #[serde(default)]
    pub zones: Vec<At<String>>,
    pub kinds: At<Vec<At<Kind>>>,
    pub most_grant: Option<At<f64>>,
    pub when_short: Option<WhenShort>,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WhenShort {
    Wait,
    Shrink,
    Page,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kind {
    pub name: String,
    pub cores: At<f64>,
    pub memory: At<Size>,
}

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

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Effect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Dedup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub name: At<String>,
    pub allowance: f64,
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Reports {
    #[default]
    Answers,
    Probe,
    None,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Signals {
    pub reports: Reports,
    pub utilisation: Option<bool>,
    pub notes_every: Option<Time>,
    pub bills: bool,
}

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

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Prices {
    pub cross_zone: f64,
    pub probe: f64,
    pub message: f64,
}

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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Budget {
    pub free: f64,
    pub share: f64,
    pub span: At<Time>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Route {
    pub default_class: Option<At<String>>,
    pub select: Vec<At<Select>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Select {
    pub user: Option<String>,
    pub database: Option<String>,
    pub application: Option<String>,
    pub pattern: Option<At<String>>,
    pub class: At<String>,
}

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

#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Mode {
    #[default]
    Watch,
    Poll,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Registry {
    pub address: At<String>,
    #[serde(default)]
    pub mode: Mode,
    pub every: Option<Time>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peers {
    pub listen: Option<At<String>>,
    #[serde(default)]
    pub addresses: Vec<At<String>>,
    pub most_each: Option<At<Size>>,
    pub most: Option<At<Size>>,
}

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

#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CaptureMode {
    #[default]
    On,
    Off,
    Ring,
}

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

#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Forget {
    #[default]
    Operator,
    Quorum,
}
