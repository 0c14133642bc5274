//! The deployment of a run: classes, limits and slow start, as configured in the controllers and as
//! used by the invariants.

use serde_json::{json, Value};

/// A class of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Queries that may run any number of times.
    Repeatable,
    /// Queries that must run at most once.
    Once,
}

impl Class {
    /// The name of the class in requests and settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Repeatable => "look",
            Class::Once => "load",
        }
    }
}

/// The longest timeout of a client in any run, in microseconds.
pub const MAX_TIMEOUT_US: i64 = 3_000_000;
/// Time after which executors close an idle connection, in microseconds.
pub const IDLE_TIMEOUT_US: i64 = 4_000_000;
/// Time for which a draining executor still accepts requests, in microseconds.
pub const DRAIN_GRACE_US: i64 = 1_000_000;
/// Work of each query, in milliseconds of one core.
pub const WORK_MS: f64 = 200.0;
/// Cores of an executor.
pub const CORES: f64 = 8.0;
/// Fraction of its capacity that an executor has when it starts.
pub const SLOW_START_FRACTION: f64 = 0.3;
/// Time after which an executor has its full capacity, in microseconds.
pub const SLOW_START_US: i64 = 4_000_000;
/// An executor fails when its work exceeds this multiple of its capacity.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The window over which that work is summed, in microseconds.
pub const OVERLOAD_WINDOW_US: i64 = 1_000_000;

/// The settings of the controller with this index, when no client waits longer than
/// `max_timeout_us`.
pub fn settings(controllers: usize, index: usize, max_timeout_us: i64) -> Value {
    let class = |class: Class, effect: &str| {
        json!({"name": class.name(), "on_time_us": 500_000.min(max_timeout_us), "give_up_us": max_timeout_us,
            "gain": 1.0, "effect": effect, "window_us": 1_000_000})
    };
    json!({
        "balancers": controllers, "me": index, "my_zone": "z", "zones": ["z"], "skus": ["std"],
        "grades": [class(Class::Repeatable, "repeatable"), class(Class::Once, "once")],
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
