//! Results of a load: counters and histograms, merged across workers and processes without loss of
//! precision.

use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::{Deserializer, Serializer as _, V2DeflateSerializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Creates a histogram of microseconds with three significant digits. It resizes itself, so that no
/// value is dropped or clamped.
pub fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3)
        .unwrap_or_else(|_| unreachable!("3 significant digits are within the supported range of 0 to 5"));
    histogram.auto(true);
    histogram
}

/// Results of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    /// Time from the scheduled send time to the end of the answer, for served queries.
    pub latency: Histogram<u64>,
    /// Time from writing the query to the end of the answer, for served queries.
    pub service: Histogram<u64>,
    /// Queries whose scheduled send time has been reached.
    pub scheduled: u64,
    /// Attempts written to a connection, including retries.
    pub sent: u64,
    /// Number of queries by outcome; a retried query is counted once, by the outcome of its last
    /// attempt.
    pub outcomes: BTreeMap<String, u64>,
    /// Retries after a rejection.
    pub retries: u64,
    /// Attempts that waited because the connection limit was reached.
    pub waited_for_connection: u64,
}

impl Default for StreamStats {
    fn default() -> Self {
        StreamStats {
            latency: histogram(),
            service: histogram(),
            scheduled: 0,
            sent: 0,
            outcomes: BTreeMap::new(),
            retries: 0,
            waited_for_connection: 0,
        }
    }
}

/// Outcome of a query that was answered without an error.
pub const SERVED: &str = "served";

impl StreamStats {
    /// Adds the results in `other`.
    pub fn merge(&mut self, other: &StreamStats) {
        // Cannot fail: both histograms resize themselves, so no value is out of range.
        let _ = self.latency.add(&other.latency);
        let _ = self.service.add(&other.service);
        self.scheduled += other.scheduled;
        self.sent += other.sent;
        self.retries += other.retries;
        self.waited_for_connection += other.waited_for_connection;
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
    }

    /// Counts a query with this outcome.
    pub fn record_outcome(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_string()).or_default() += 1;
    }

    /// Returns the number of queries with this outcome.
    pub fn outcome_count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }
}

/// Results of a whole load.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// Results by stream name.
    pub streams: BTreeMap<String, StreamStats>,
    /// Time from the scheduled send time of a query to the time at which the generator processed
    /// it, for all queries: the generator's own lateness.
    pub lateness: Histogram<u64>,
    /// Connections that were established.
    pub connections_opened: u64,
    /// Connections that could not be established.
    pub connections_failed: u64,
}

impl Default for LoadStats {
    fn default() -> Self {
        LoadStats {
            streams: BTreeMap::new(),
            lateness: histogram(),
            connections_opened: 0,
            connections_failed: 0,
        }
    }
}

impl LoadStats {
    /// Adds the results in `other`.
    pub fn merge(&mut self, other: &LoadStats) {
        for (name, stats) in &other.streams {
            self.streams.entry(name.clone()).or_default().merge(stats);
        }
        let _ = self.lateness.add(&other.lateness);
        self.connections_opened += other.connections_opened;
        self.connections_failed += other.connections_failed;
    }

    /// Returns the merged results of all streams.
    pub fn combined(&self) -> StreamStats {
        let mut combined = StreamStats::default();
        self.streams.values().for_each(|s| combined.merge(s));
        combined
    }

    /// Returns why the run is not a valid measurement of its target: no connection was established,
    /// or the generator itself was late. Returns `None` for a valid run.
    pub fn invalid_reason(&self, max_lateness_us: u64) -> Option<String> {
        if self.connections_opened == 0 && self.connections_failed > 0 {
            return Some(format!(
                "none of {} connections could be established; check that the target is listening",
                self.connections_failed
            ));
        }
        let lateness = self.lateness.value_at_quantile(0.99);
        (lateness > max_lateness_us && !self.lateness.is_empty()).then(|| {
            format!(
                "the p99 lateness of the generator was {:.1} ms, above the limit of {:.1} ms; \
                 lower the rate or use more workers",
                lateness as f64 / 1e3,
                max_lateness_us as f64 / 1e3
            )
        })
    }
}

/// Serialized form of [`LoadStats`], stored in `total.json` and merged across processes.
#[derive(Serialize, Deserialize)]
pub struct StoredStats {
    streams: BTreeMap<String, StoredStreamStats>,
    #[serde(rename = "late")]
    lateness: Vec<u8>,
    #[serde(rename = "opened")]
    connections_opened: u64,
    #[serde(rename = "refused")]
    connections_failed: u64,
}

#[derive(Serialize, Deserialize)]
struct StoredStreamStats {
    latency: Vec<u8>,
    service: Vec<u8>,
    #[serde(rename = "wanted")]
    scheduled: u64,
    sent: u64,
    #[serde(rename = "ends")]
    outcomes: BTreeMap<String, u64>,
    retries: u64,
    #[serde(rename = "starved")]
    waited_for_connection: u64,
}

/// A histogram could not be serialized, deserialized or written.
#[derive(Debug, thiserror::Error)]
#[error("cannot {0} histogram")]
pub struct HistogramError(&'static str);

fn serialize_histogram(histogram: &Histogram<u64>) -> Result<Vec<u8>, HistogramError> {
    let mut bytes = Vec::new();
    V2DeflateSerializer::new().serialize(histogram, &mut bytes).map_err(|_| HistogramError("serialize"))?;
    Ok(bytes)
}

fn deserialize_histogram(bytes: &[u8]) -> Result<Histogram<u64>, HistogramError> {
    let mut histogram: Histogram<u64> =
        Deserializer::new().deserialize(&mut &bytes[..]).map_err(|_| HistogramError("deserialize"))?;
    histogram.auto(true);
    Ok(histogram)
}

impl LoadStats {
    /// Converts the results to their serialized form.
    ///
    /// # Errors
    /// Returns [`HistogramError`] if a histogram cannot be serialized.
    pub fn to_stored(&self) -> Result<StoredStats, HistogramError> {
        let mut streams = BTreeMap::new();
        for (name, stream) in &self.streams {
            let stored = StoredStreamStats {
                latency: serialize_histogram(&stream.latency)?,
                service: serialize_histogram(&stream.service)?,
                scheduled: stream.scheduled,
                sent: stream.sent,
                outcomes: stream.outcomes.clone(),
                retries: stream.retries,
                waited_for_connection: stream.waited_for_connection,
            };
            streams.insert(name.clone(), stored);
        }
        Ok(StoredStats {
            streams,
            lateness: serialize_histogram(&self.lateness)?,
            connections_opened: self.connections_opened,
            connections_failed: self.connections_failed,
        })
    }

    /// Restores the results from their serialized form.
    ///
    /// # Errors
    /// Returns [`HistogramError`] if a histogram cannot be deserialized.
    pub fn from_stored(stored: &StoredStats) -> Result<LoadStats, HistogramError> {
        let mut load = LoadStats {
            lateness: deserialize_histogram(&stored.lateness)?,
            connections_opened: stored.connections_opened,
            connections_failed: stored.connections_failed,
            ..LoadStats::default()
        };
        for (name, stream) in &stored.streams {
            let stats = StreamStats {
                latency: deserialize_histogram(&stream.latency)?,
                service: deserialize_histogram(&stream.service)?,
                scheduled: stream.scheduled,
                sent: stream.sent,
                outcomes: stream.outcomes.clone(),
                retries: stream.retries,
                waited_for_connection: stream.waited_for_connection,
            };
            load.streams.insert(name.clone(), stats);
        }
        Ok(load)
    }

    /// Returns an HdrHistogram log (format 1.3) of the latencies in milliseconds, with one line per
    /// stream.
    ///
    /// # Errors
    /// Returns [`HistogramError`] if a histogram cannot be written.
    pub fn to_hdr_log(&self, elapsed: Duration) -> Result<Vec<u8>, HistogramError> {
        let (mut out, mut serializer) = (Vec::new(), V2DeflateSerializer::new());
        let mut builder = IntervalLogWriterBuilder::new();
        builder.with_max_value_divisor(1e3);
        let mut writer =
            builder.begin_log_with(&mut out, &mut serializer).map_err(|_| HistogramError("write"))?;
        for (name, stream) in &self.streams {
            let tag: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
            writer
                .write_histogram(&stream.latency, Duration::ZERO, elapsed, Tag::new(&tag))
                .map_err(|_| HistogramError("write"))?;
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stats_of(stream: &str, values: &[u64]) -> LoadStats {
        let mut load = LoadStats::default();
        let stats = load.streams.entry(stream.to_string()).or_default();
        for v in values {
            stats.latency.record(*v).expect("histogram resizes itself");
            stats.record_outcome(SERVED);
        }
        load
    }

    #[test]
    fn histograms_of_different_ranges_merge_without_loss() {
        let mut a = stats_of("x", &[1, 10, 100]);
        a.merge(&stats_of("x", &[50_000_000_000, 7]));
        a.merge(&stats_of("y", &[3]));
        let x = &a.streams["x"];
        assert_eq!((x.latency.len(), x.outcome_count(SERVED)), (5, 5));
        assert!(x.latency.max() >= 49_900_000_000 && x.latency.min() == 1);
        assert_eq!(a.combined().latency.len(), 6);
        let stored = serde_json::to_string(&a.to_stored().expect("serialized")).expect("JSON");
        let restored =
            LoadStats::from_stored(&serde_json::from_str(&stored).expect("JSON")).expect("deserialized");
        assert_eq!(restored.streams["x"].latency, x.latency);
        let log = String::from_utf8(a.to_hdr_log(Duration::from_secs(3)).expect("written")).expect("text");
        assert_eq!(log.lines().filter(|l| l.starts_with("Tag=")).count(), 2, "{log}");
    }

    #[test]
    fn late_generator_or_unreachable_target_makes_run_invalid() {
        let mut load = LoadStats::default();
        (0..1000).for_each(|_| load.lateness.record(100).expect("histogram resizes itself"));
        assert_eq!(load.invalid_reason(5_000), None);
        load.connections_failed = 1;
        assert!(load.invalid_reason(5_000).is_some(), "no connection was established");
        load.connections_opened = 1;
        (0..20).for_each(|_| load.lateness.record(1_000_000).expect("histogram resizes itself"));
        assert!(load.invalid_reason(5_000).is_some());
    }
}
