//! The load script: a description of a load in TOML.

use serde::Deserialize;
use std::collections::BTreeSet;
use wheelfield::interface::Micros;
use wheelfield_config::units::Time;
use wheelfield_config::ConfigError;

/// Maximum number of connections of all workers together.
pub const MAX_CONNECTIONS: usize = 200_000;
/// Maximum number of streams in a script.
const MAX_STREAMS: usize = 256;

/// A load script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the load, shown in the live view.
    pub name: String,
    /// Period during which queries are sent.
    #[serde(rename = "length")]
    pub duration: Time,
    /// Maximum number of open connections. A query that finds no free connection waits for one, and
    /// the wait is part of its latency.
    #[serde(default = "default_connections", rename = "connections")]
    pub max_connections: usize,
    /// Streams of queries, sent concurrently.
    pub streams: Vec<Stream>,
    /// Rate changes that apply to all streams at the same time.
    #[serde(default, rename = "waves")]
    pub global_shapes: Vec<RateShape>,
}

fn default_connections() -> usize {
    256
}

/// A stream of queries that share a statement and a rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the stream; replaces `{class}` in the statement.
    pub name: String,
    /// Queries per second before the shapes are applied.
    pub rate: f64,
    /// Rate changes of this stream; their factors are multiplied.
    #[serde(default)]
    pub shapes: Vec<RateShape>,
    /// Distribution of the intervals between queries.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// SQL text. The placeholders `{class}`, `{id}`, `{work_ms}`, `{key}`, `{due_ms}` and
    /// `{tenant}` are replaced.
    pub statement: String,
    /// Distribution of the work of a query, which replaces `{work_ms}`.
    #[serde(default)]
    pub work: WorkDistribution,
    /// Distribution of the keys that replace `{key}`.
    #[serde(default)]
    pub keys: KeyDistribution,
    /// Tenants; the name of a tenant is the user of its connections.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Time after which a client abandons its query, counted from the scheduled send time.
    #[serde(default = "default_client_timeout", rename = "patience")]
    pub client_timeout: Time,
    /// What a client does when it abandons its query.
    #[serde(default, rename = "gives_up")]
    pub on_timeout: TimeoutAction,
    /// Maximum number of retries of a query rejected with SQLSTATE 53300.
    #[serde(default)]
    pub retries: u32,
    /// Delay before the first retry. It doubles with each retry and is jittered by up to half in
    /// both directions.
    #[serde(default = "default_backoff")]
    pub backoff: Time,
    /// Fraction of retries that wait for the server's `retry_after_ms` instead of the backoff.
    #[serde(default, rename = "honour")]
    pub retry_after_fraction: f64,
    /// Protocol flow used to send the queries.
    #[serde(default)]
    pub protocol: Protocol,
    /// Maximum number of queries in flight on one connection.
    #[serde(default = "default_pipeline")]
    pub pipeline: usize,
    /// Probability that a client closes its connection after an answer.
    #[serde(default, rename = "churn")]
    pub close_probability: f64,
    /// Fraction of the queries whose client never reads the answer.
    #[serde(default, rename = "never_reads")]
    pub unread_fraction: f64,
}

fn default_client_timeout() -> Time {
    Time(Micros(10_000_000))
}

fn default_backoff() -> Time {
    Time(Micros(200_000))
}

fn default_pipeline() -> usize {
    1
}

/// A change of the rate over time, as a factor of the base rate.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum RateShape {
    /// Changes linearly from one factor to another over the whole duration.
    Ramp {
        /// Factor at the start.
        from: f64,
        /// Factor at the end.
        to: f64,
    },
    /// Divides the duration into equal parts with one factor each.
    Steps {
        /// Factor of each part.
        levels: Vec<f64>,
    },
    /// Multiplies the rate by a constant factor for a limited time.
    Jump {
        /// Start of the jump.
        at: Time,
        /// Duration of the jump.
        #[serde(rename = "for")]
        duration: Time,
        /// Factor during the jump.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Varies as a sine around the base rate.
    Diurnal {
        /// Period of the sine.
        period: Time,
        /// Amplitude as a fraction of the base rate.
        depth: f64,
    },
    /// A rush before a deadline: rises linearly up to `times`, then changes to `after`.
    Deadline {
        /// The deadline.
        at: Time,
        /// Time from the start of the rise to the deadline.
        before: Time,
        /// Factor just before the deadline.
        #[serde(rename = "times")]
        factor: f64,
        /// Factor after the deadline.
        #[serde(default)]
        after: f64,
    },
}

impl RateShape {
    /// Returns the rate factor at time `t`. Both `t`, counted from the start of the run, and
    /// `duration` are in microseconds.
    pub fn factor_at(&self, t: i64, duration: i64) -> f64 {
        let fraction = t as f64 / duration.max(1) as f64;
        match self {
            RateShape::Ramp { from, to } => from + (to - from) * fraction,
            RateShape::Steps { levels } => {
                let index = ((fraction * levels.len() as f64) as usize).min(levels.len().saturating_sub(1));
                levels.get(index).copied().unwrap_or(1.0)
            }
            RateShape::Jump { at, duration, factor } => {
                if (at.0 .0..at.0 .0 + duration.0 .0).contains(&t) {
                    *factor
                } else {
                    1.0
                }
            }
            RateShape::Diurnal { period, depth } => {
                1.0 + depth * (t as f64 / period.0 .0.max(1) as f64 * std::f64::consts::TAU).sin()
            }
            RateShape::Deadline { at, before, factor, after } => {
                let rise_start = at.0 .0 - before.0 .0;
                if t >= at.0 .0 {
                    *after
                } else if t >= rise_start {
                    1.0 + (factor - 1.0) * (t - rise_start) as f64 / before.0 .0.max(1) as f64
                } else {
                    1.0
                }
            }
        }
        .max(0.0)
    }

    fn is_valid(&self) -> bool {
        let in_range = |value: &f64| value.is_finite() && *value >= 0.0 && *value <= 1e4;
        match self {
            RateShape::Ramp { from, to } => in_range(from) && in_range(to),
            RateShape::Steps { levels } => !levels.is_empty() && levels.iter().all(in_range),
            RateShape::Jump { factor, .. } => in_range(factor),
            RateShape::Diurnal { period, depth } => period.0 .0 > 0 && (0.0..=1.0).contains(depth),
            RateShape::Deadline { factor, after, .. } => in_range(factor) && in_range(after),
        }
    }
}

/// Distribution of the intervals between queries at a given rate.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrivals {
    /// Independent arrivals with exponentially distributed intervals.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
    /// Gamma-distributed intervals. A `cv` of 1 equals Poisson arrivals; a larger one is burstier
    /// and a smaller one more even.
    Gamma {
        /// Coefficient of variation of the intervals.
        cv: f64,
    },
    /// Alternating on and off periods of Pareto-distributed length. Arrivals are Poisson while on,
    /// at a rate that keeps the mean over both periods.
    OnOff {
        /// Mean length of an on period.
        on: Time,
        /// Mean length of an off period.
        off: Time,
        /// Shape parameter of both distributions, above 1. A smaller value gives a heavier tail.
        alpha: f64,
    },
}

/// Distribution of the work of a query.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum WorkDistribution {
    /// No work.
    #[default]
    None,
    /// Constant.
    Constant {
        /// The constant value.
        mean: Time,
    },
    /// Lognormal distribution.
    Lognormal {
        /// Mean.
        mean: Time,
        /// Coefficient of variation.
        #[serde(rename = "spread")]
        cv: f64,
    },
    /// Pareto distribution.
    Pareto {
        /// Mean.
        mean: Time,
        /// Shape parameter, above 1.
        alpha: f64,
    },
}

/// Distribution of the keys of queries.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct KeyDistribution {
    /// Number of keys; 0 for none.
    pub count: u64,
    /// Exponent of the Zipf distribution of the keys; 0 for a uniform distribution.
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
}

/// A tenant that sends queries.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// User name of its connections.
    pub name: String,
    /// Its share of the queries, as a weight relative to the other tenants.
    pub share: f64,
}

/// What a client does when it abandons a query.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TimeoutAction {
    /// Sends a cancel request and waits for the query to end.
    Cancel,
    /// Closes the connection.
    #[default]
    Close,
}

/// Protocol flow used to send queries.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Simple query protocol.
    #[default]
    Simple,
    /// Extended query protocol with Parse, Bind and Execute for every query.
    Extended,
    /// Extended query protocol with the statement prepared once per connection. The statement may
    /// contain no placeholder but `{class}`.
    Prepared,
}

/// Placeholders in statements. All but `{class}`, which is first, vary between queries.
const PLACEHOLDERS: [&str; 6] = ["{class}", "{id}", "{work_ms}", "{key}", "{due_ms}", "{tenant}"];

impl Script {
    /// Parses and validates a script. `name` is the file name used in errors.
    ///
    /// # Errors
    /// Returns the first [`ConfigError`] found.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn parse(name: &str, text: &str) -> Result<Script, ConfigError> {
        let script: Script = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        let offset_of = |needle: &str| text.find(needle).unwrap_or(0);
        let error_at = |needle: &str, message: String, hint: &str| {
            Err(ConfigError::at(name, text, offset_of(needle), message, hint))
        };
        if script.duration.0 .0 <= 0 || script.duration.0 .0 > 86_400_000_000 {
            return error_at(
                "length",
                "`length` must be above 0 and at most 24 hours".into(),
                "write \"60s\"",
            );
        }
        if !(1..=MAX_CONNECTIONS).contains(&script.max_connections) {
            return error_at(
                "connections",
                format!("`connections` is {}, out of range", script.max_connections),
                "write 1 to 200000",
            );
        }
        if script.streams.is_empty() || script.streams.len() > MAX_STREAMS {
            return error_at(
                "streams",
                format!("the script has {} streams", script.streams.len()),
                "write 1 to 256",
            );
        }
        let names: BTreeSet<&str> = script.streams.iter().map(|s| s.name.as_str()).collect();
        if names.len() < script.streams.len() {
            return error_at("[[streams]]", "two streams have the same name".into(), "rename one");
        }
        if !script.global_shapes.iter().all(RateShape::is_valid) {
            return error_at(
                "waves",
                "a shape in `waves` has a value out of range".into(),
                "write factors from 0 to 10000",
            );
        }
        for s in &script.streams {
            let quoted_name = format!("\"{}\"", s.name);
            let stream_error = |message: &str, hint: &str| {
                error_at(&quoted_name, format!("stream `{}`: {message}", s.name), hint)
            };
            if !(s.rate.is_finite() && s.rate >= 0.0 && s.rate <= 1e6) {
                return stream_error("`rate` is out of range", "write queries per second, from 0 to 1000000");
            }
            if !s.shapes.iter().all(RateShape::is_valid) {
                return stream_error("a shape has a value out of range", "write factors from 0 to 10000");
            }
            let arrivals_valid = match s.arrivals {
                Arrivals::Gamma { cv } => (0.01..=100.0).contains(&cv),
                Arrivals::OnOff { on, off, alpha } => {
                    on.0 .0 >= 1_000 && off.0 .0 >= 1_000 && (1.01..=100.0).contains(&alpha)
                }
                _ => true,
            };
            if !arrivals_valid {
                return stream_error(
                    "`arrivals` has a value out of range",
                    "write cv from 0.01 to 100, on and off of at least 1 ms, alpha from 1.01 to 100",
                );
            }
            let work_valid = match s.work {
                WorkDistribution::Lognormal { cv, .. } => (0.0..=100.0).contains(&cv),
                WorkDistribution::Pareto { alpha, .. } => (1.01..=100.0).contains(&alpha),
                _ => true,
            };
            if !work_valid {
                return stream_error(
                    "`work` has a value out of range",
                    "write spread from 0 to 100, alpha from 1.01 to 100",
                );
            }
            let fractions_valid = [s.retry_after_fraction, s.close_probability, s.unread_fraction]
                .iter()
                .all(|x| (0.0..=1.0).contains(x));
            if !fractions_valid || !(0.0..=20.0).contains(&s.keys.zipf_exponent) {
                return stream_error(
                    "`honour`, `churn`, `never_reads` or `keys.zipf` is out of range",
                    "write fractions from 0 to 1 and zipf from 0 to 20",
                );
            }
            if !(1..=1000).contains(&s.pipeline) || s.retries > 100 {
                return stream_error(
                    "`pipeline` or `retries` is out of range",
                    "write pipeline from 1 to 1000, retries up to 100",
                );
            }
            if s.client_timeout.0 .0 <= 0 {
                return stream_error("`patience` must be above 0", "write \"10s\"");
            }
            if !s.tenants.is_empty() && s.tenants.iter().map(|t| t.share).sum::<f64>() <= 0.0 {
                return stream_error(
                    "no tenant has a share above 0",
                    "give at least one tenant a share above 0",
                );
            }
            let has_varying_placeholders = PLACEHOLDERS[1..].iter().any(|p| s.statement.contains(p));
            if s.protocol == Protocol::Prepared && has_varying_placeholders {
                return stream_error(
                    "a prepared statement must be the same for every query",
                    "use no placeholder but {class}, or protocol = \"extended\"",
                );
            }
            if s.statement.len() > 1 << 20 {
                return stream_error("`statement` is too long", "write up to 1 MiB");
            }
        }
        Ok(script)
    }

    /// Returns the factor by which a stream's rate is multiplied at time `t`, in microseconds from
    /// the start of the run.
    pub fn rate_factor(&self, stream: &Stream, t: i64) -> f64 {
        let duration = self.duration.0 .0;
        stream.shapes.iter().chain(&self.global_shapes).map(|s| s.factor_at(t, duration)).product()
    }
}

impl Stream {
    /// Renders the statement of a query: replaces the placeholders.
    pub fn render_statement(&self, query: &crate::schedule::ScheduledQuery, id: &str, due_ms: i64) -> String {
        let tenant = self.tenants.get(query.tenant).map_or("", |t| t.name.as_str());
        let mut out = String::with_capacity(self.statement.len() + 32);
        let mut rest = self.statement.as_str();
        while let Some(brace) = rest.find('{') {
            out.push_str(&rest[..brace]);
            rest = &rest[brace..];
            let placeholder = PLACEHOLDERS.iter().find(|p| rest.starts_with(**p));
            match placeholder {
                Some(&"{class}") => out.push_str(&self.name),
                Some(&"{id}") => out.push_str(id),
                Some(&"{work_ms}") => out.push_str(&format!("{:.3}", query.work_us as f64 / 1e3)),
                Some(&"{key}") => out.push_str(&format!("k{}", query.key)),
                Some(&"{due_ms}") => out.push_str(&due_ms.to_string()),
                Some(&"{tenant}") => out.push_str(tenant),
                _ => out.push('{'),
            }
            rest = &rest[placeholder.map_or(1, |p| p.len())..];
        }
        out.push_str(rest);
        out
    }
}
