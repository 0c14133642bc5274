//! The script of a load, as TOML.

use serde::Deserialize;
use std::collections::BTreeSet;
use wheelfield::interface::Micros;
use wheelfield_config::units::Time;
use wheelfield_config::ConfigError;

/// Connections at most, over all workers.
pub const MOST_CONNECTIONS: usize = 200_000;
/// Streams at most.
const MOST_STREAMS: usize = 256;

/// A load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long queries are sent.
    pub length: Time,
    /// Connections at most; a query that finds none waits, and its latency counts on.
    #[serde(default = "usual_connections")]
    pub connections: usize,
    /// Streams of queries, sent beside each other.
    pub streams: Vec<Stream>,
    /// Changes of rate that strike all streams together.
    #[serde(default)]
    pub waves: Vec<Shape>,
}

fn usual_connections() -> usize {
    256
}

/// A stream of queries of one sort.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Its name; `{class}` in the statement.
    pub name: String,
    /// Queries a second, before shapes.
    pub rate: f64,
    /// Multiplied with each other.
    #[serde(default)]
    pub shapes: Vec<Shape>,
    /// How queries follow each other.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The statement; `{class}`, `{id}`, `{work_ms}`, `{key}`, `{due_ms}` and `{tenant}` are filled in.
    pub statement: String,
    /// Work of a query, for `{work_ms}`.
    #[serde(default)]
    pub work: Amount,
    /// Keys, for `{key}`.
    #[serde(default)]
    pub keys: Keys,
    /// Who sends: the user of the connection.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// A client gives up after this.
    #[serde(default = "usual_patience")]
    pub patience: Time,
    /// How it does.
    #[serde(default)]
    pub gives_up: GivesUp,
    /// Further tries of a refused query.
    #[serde(default)]
    pub retries: u32,
    /// Waited before one, doubled each time and smeared by half.
    #[serde(default = "usual_backoff")]
    pub backoff: Time,
    /// Share of the clients that heed advice on when to come back.
    #[serde(default)]
    pub honour: f64,
    /// How it is sent.
    #[serde(default)]
    pub protocol: Protocol,
    /// Queries on their way on one connection.
    #[serde(default = "one")]
    pub pipeline: usize,
    /// Share of the answers after which the client closes its connection.
    #[serde(default)]
    pub churn: f64,
    /// Share of the queries whose client never reads its answer.
    #[serde(default)]
    pub never_reads: f64,
}

fn usual_patience() -> Time {
    Time(Micros(10_000_000))
}

fn usual_backoff() -> Time {
    Time(Micros(200_000))
}

fn one() -> usize {
    1
}

/// How the rate goes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Shape {
    /// From one multiple to another, over the whole length.
    Ramp {
        /// At the start,
        from: f64,
        /// at the end.
        to: f64,
    },
    /// Multiples, for equal parts of the length.
    Steps {
        /// The multiples.
        levels: Vec<f64>,
    },
    /// So many times the rate, at once and for a while.
    Jump {
        /// From
        at: Time,
        /// for so long
        #[serde(rename = "for")]
        lasts: Time,
        /// so many times.
        times: f64,
    },
    /// Up and down as a sine.
    Diurnal {
        /// From one crest to the next.
        period: Time,
        /// Share of the mean that it goes up and down.
        depth: f64,
    },
    /// A rush before a closing time: rises steadily to so many times, then falls to `after`.
    Deadline {
        /// The closing time.
        at: Time,
        /// So long before it the rush begins.
        before: Time,
        /// At its height.
        times: f64,
        /// From then on.
        #[serde(default)]
        after: f64,
    },
}

impl Shape {
    /// The multiple at a time, both in microseconds from the start.
    pub fn at(&self, t: i64, length: i64) -> f64 {
        let x = t as f64 / length.max(1) as f64;
        match self {
            Shape::Ramp { from, to } => from + (to - from) * x,
            Shape::Steps { levels } => {
                let i = ((x * levels.len() as f64) as usize).min(levels.len().saturating_sub(1));
                levels.get(i).copied().unwrap_or(1.0)
            }
            Shape::Jump { at, lasts, times } => {
                if (at.0 .0..at.0 .0 + lasts.0 .0).contains(&t) {
                    *times
                } else {
                    1.0
                }
            }
            Shape::Diurnal { period, depth } => {
                1.0 + depth * (t as f64 / period.0 .0.max(1) as f64 * std::f64::consts::TAU).sin()
            }
            Shape::Deadline { at, before, times, after } => {
                let begins = at.0 .0 - before.0 .0;
                if t >= at.0 .0 {
                    *after
                } else if t >= begins {
                    1.0 + (times - 1.0) * (t - begins) as f64 / before.0 .0.max(1) as f64
                } else {
                    1.0
                }
            }
        }
        .max(0.0)
    }

    fn sound(&self) -> bool {
        let fine = |x: &f64| x.is_finite() && *x >= 0.0 && *x <= 1e4;
        match self {
            Shape::Ramp { from, to } => fine(from) && fine(to),
            Shape::Steps { levels } => !levels.is_empty() && levels.iter().all(fine),
            Shape::Jump { times, .. } => fine(times),
            Shape::Diurnal { period, depth } => period.0 .0 > 0 && (0.0..=1.0).contains(depth),
            Shape::Deadline { times, after, .. } => fine(times) && fine(after),
        }
    }
}

/// How queries follow each other at a rate.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrivals {
    /// Each by itself.
    #[default]
    Poisson,
    /// In equal steps.
    Even,
    /// Gaps of a gamma distribution: 1 is as Poisson, above it burstier, below it more even.
    Gamma {
        /// Standard deviation of the gaps over their mean.
        cv: f64,
    },
    /// On and off for times of a Pareto distribution; Poisson while on, at a rate that keeps the mean.
    OnOff {
        /// Mean time on.
        on: Time,
        /// Mean time off.
        off: Time,
        /// Exponent of both, above 1; the smaller, the longer the longest.
        alpha: f64,
    },
}

/// An amount that varies.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Amount {
    /// None.
    #[default]
    None,
    /// Always the same.
    Constant {
        /// It.
        mean: Time,
    },
    /// Lognormal.
    Lognormal {
        /// Its mean,
        mean: Time,
        /// and its standard deviation over its mean.
        spread: f64,
    },
    /// Pareto.
    Pareto {
        /// Its mean,
        mean: Time,
        /// and its exponent, above 1.
        alpha: f64,
    },
}

/// Keys of queries.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// How many there are; 0 for none.
    pub count: u64,
    /// Exponent of the Zipf distribution by which they are drawn; 0 for evenly.
    pub zipf: f64,
}

/// Who sends.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its user.
    pub name: String,
    /// Its part of the queries, by weight.
    pub share: f64,
}

/// How a client gives up.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum GivesUp {
    /// It asks that its query be cancelled, and waits for the end of that.
    Cancel,
    /// It closes its connection.
    #[default]
    Close,
}

/// How queries are sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// As text.
    #[default]
    Simple,
    /// Parsed, bound and executed each time.
    Extended,
    /// Prepared once on each connection; the statement must have nothing to be filled in but the class.
    Prepared,
}

const HOLES: [&str; 6] = ["{class}", "{id}", "{work_ms}", "{key}", "{due_ms}", "{tenant}"];

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn parse(name: &str, text: &str) -> Result<Script, ConfigError> {
        let script: Script = toml::from_str(text).map_err(|e| ConfigError::from_toml(name, text, &e))?;
        let at = |what: &str| text.find(what).unwrap_or(0);
        let wrong =
            |what: &str, fault: String, mend: &str| Err(ConfigError::at(name, text, at(what), fault, mend));
        if script.length.0 .0 <= 0 || script.length.0 .0 > 86_400_000_000 {
            return wrong("length", "no length, or over a day".into(), "write \"60s\"");
        }
        if !(1..=MOST_CONNECTIONS).contains(&script.connections) {
            return wrong("connections", format!("{} connections", script.connections), "write 1 to 200000");
        }
        if script.streams.is_empty() || script.streams.len() > MOST_STREAMS {
            return wrong("streams", format!("{} streams", script.streams.len()), "write 1 to 256");
        }
        let names: BTreeSet<&str> = script.streams.iter().map(|s| s.name.as_str()).collect();
        if names.len() < script.streams.len() {
            return wrong("[[streams]]", "two streams have one name".into(), "rename one");
        }
        if !script.waves.iter().all(Shape::sound) {
            return wrong(
                "waves",
                "a wave whose figures are out of range".into(),
                "write multiples of 0 to 10000",
            );
        }
        for s in &script.streams {
            let here = format!("\"{}\"", s.name);
            let bad = |fault: &str, mend: &str| wrong(&here, format!("stream `{}`: {fault}", s.name), mend);
            if !(s.rate.is_finite() && s.rate >= 0.0 && s.rate <= 1e6) {
                return bad("its rate", "write queries a second, 0 to 1000000");
            }
            if !s.shapes.iter().all(Shape::sound) {
                return bad("a shape whose figures are out of range", "write multiples of 0 to 10000");
            }
            let gaps = match s.arrivals {
                Arrivals::Gamma { cv } => (0.01..=100.0).contains(&cv),
                Arrivals::OnOff { on, off, alpha } => {
                    on.0 .0 >= 1_000 && off.0 .0 >= 1_000 && (1.01..=100.0).contains(&alpha)
                }
                _ => true,
            };
            if !gaps {
                return bad("its arrivals", "cv from 0.01 to 100; on and off from 1 ms; alpha above 1");
            }
            let work = match s.work {
                Amount::Lognormal { spread, .. } => (0.0..=100.0).contains(&spread),
                Amount::Pareto { alpha, .. } => (1.01..=100.0).contains(&alpha),
                _ => true,
            };
            if !work {
                return bad("its work", "a spread of 0 to 100; an alpha above 1");
            }
            let shares = [s.honour, s.churn, s.never_reads].iter().all(|x| (0.0..=1.0).contains(x));
            if !shares || !(0.0..=20.0).contains(&s.keys.zipf) {
                return bad("a share", "write 0 to 1");
            }
            if !(1..=1000).contains(&s.pipeline) || s.retries > 100 {
                return bad("its pipeline or retries", "a pipeline of 1 to 1000, up to 100 retries");
            }
            if s.patience.0 .0 <= 0 {
                return bad("its patience", "write \"10s\"");
            }
            if !s.tenants.is_empty() && s.tenants.iter().map(|t| t.share).sum::<f64>() <= 0.0 {
                return bad("no tenant has a share", "give one a share above 0");
            }
            let holes = HOLES[1..].iter().any(|h| s.statement.contains(h));
            if s.protocol == Protocol::Prepared && holes {
                return bad(
                    "a prepared statement is the same each time",
                    "fill in {class} alone, or use extended",
                );
            }
            if s.statement.len() > 1 << 20 {
                return bad("its statement", "write up to 1 MB");
            }
        }
        Ok(script)
    }

    /// The multiple of a stream's rate at a time, in microseconds from the start.
    pub fn pace(&self, stream: &Stream, t: i64) -> f64 {
        let length = self.length.0 .0;
        stream.shapes.iter().chain(&self.waves).map(|s| s.at(t, length)).product()
    }
}

impl Stream {
    /// The statement of a query.
    pub fn fill(&self, q: &crate::schedule::Send, id: &str, due_ms: i64) -> String {
        let tenant = self.tenants.get(q.tenant).map_or("", |t| t.name.as_str());
        let mut out = String::with_capacity(self.statement.len() + 32);
        let mut rest = self.statement.as_str();
        while let Some(open) = rest.find('{') {
            out.push_str(&rest[..open]);
            rest = &rest[open..];
            let hole = HOLES.iter().find(|h| rest.starts_with(**h));
            match hole {
                Some(&"{class}") => out.push_str(&self.name),
                Some(&"{id}") => out.push_str(id),
                Some(&"{work_ms}") => out.push_str(&format!("{:.3}", q.work_us as f64 / 1e3)),
                Some(&"{key}") => out.push_str(&format!("k{}", q.key)),
                Some(&"{due_ms}") => out.push_str(&due_ms.to_string()),
                Some(&"{tenant}") => out.push_str(tenant),
                _ => out.push('{'),
            }
            rest = &rest[hole.map_or(1, |h| h.len())..];
        }
        out.push_str(rest);
        out
    }
}
