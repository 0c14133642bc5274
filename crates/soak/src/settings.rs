//! The deployment of a run: classes, limits and slow start, as the controllers are told and as the judge applies them.

use serde_json::{json, Value};

/// A class of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It may run any number of times.
    Look,
    /// It must run at most once.
    Load,
}

impl Class {
    /// Its name in requests.
    pub fn name(self) -> &'static str {
        match self {
            Class::Look => "look",
            Class::Load => "load",
        }
    }
}

/// The longest time that a client waits in any run, in microseconds.
pub const LONGEST_TIMEOUT_US: i64 = 3_000_000;
/// Time after which executors close an idle connection, in microseconds.
pub const IDLE_TIMEOUT_US: i64 = 4_000_000;
/// Time that a draining executor still accepts requests, in microseconds.
pub const DRAIN_GRACE_US: i64 = 1_000_000;
/// Work of each query, in milliseconds of one core.
pub const WORK_MS: f64 = 200.0;
/// Cores of an executor.
pub const CORES: f64 = 8.0;
/// Fraction of its capacity that an executor has as it starts.
pub const SLOW_START_FRACTION: f64 = 0.3;
/// Time until it has all of it, in microseconds.
pub const SLOW_START_US: i64 = 4_000_000;
/// Multiple of its capacity beyond which it fails.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Time over which that is counted, in microseconds.
pub const OVERLOAD_WINDOW_US: i64 = 1_000_000;

/// The settings that each controller is started with, where no client waits longer than `longest_timeout_us`.
pub fn settings(controllers: usize, index: usize, longest_timeout_us: i64) -> Value {
    let class = |class: Class, effect: &str| {
        json!({"name": class.name(), "on_time_us": 500_000.min(longest_timeout_us), "give_up_us": longest_timeout_us,
            "gain": 1.0, "effect": effect, "window_us": 1_000_000})
    };
    json!({
        "balancers": controllers, "me": index, "my_zone": "z", "zones": ["z"], "skus": ["std"],
        "grades": [class(Class::Look, "repeatable"), class(Class::Load, "once")],
        "ceilings": {"cancel": true, "conn_idle_us": IDLE_TIMEOUT_US, "connect_timeout_us": 1_000_000,
            "max_streams": 32, "most_held": 1000, "send_cap": 3, "retry_after": true,
            "max_retry_after_us": 1_000_000},
        "family_info": {"cpu_of_kind": [CORES], "parallelism": [1, 1], "bills": true},
        "telemetry": {"columns": ["cpu_share"], "how": "answers"},
        "safety": {"cold_from": SLOW_START_FRACTION, "ramp_time_us": SLOW_START_US,
            "tip_multiple": OVERLOAD_MULTIPLE, "fall_us": OVERLOAD_WINDOW_US,
            "drain_grace_us": DRAIN_GRACE_US},
        "charges": {}
    })
}
