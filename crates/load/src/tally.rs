//! What a load came to: counts and histograms, merged over workers and processes without loss.

use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::{Deserializer, Serializer as _, V2DeflateSerializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A histogram of microseconds to three digits that grows with what it is told: no value is left out or cut.
pub fn histogram() -> Histogram<u64> {
    let mut h = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are within 0 to 5"));
    h.auto(true);
    h
}

/// Of one stream.
#[derive(Clone, Debug)]
pub struct Tally {
    /// From the intended send time to the last of the answer, of what was served.
    pub latency: Histogram<u64>,
    /// From the time of writing to the last of the answer, of what was served.
    pub service: Histogram<u64>,
    /// Queries that were to be sent.
    pub wanted: u64,
    /// Tries that were written.
    pub sent: u64,
    /// Queries by their end; one that was tried again counts by its last try.
    pub ends: BTreeMap<String, u64>,
    /// Further tries.
    pub retries: u64,
    /// Tries that waited for a connection.
    pub starved: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Tally {
            latency: histogram(),
            service: histogram(),
            wanted: 0,
            sent: 0,
            ends: BTreeMap::new(),
            retries: 0,
            starved: 0,
        }
    }
}

/// The end of a served query.
pub const SERVED: &str = "served";

impl Tally {
    /// Takes in another.
    pub fn merge(&mut self, other: &Tally) {
        // Both resize, so nothing can be out of range.
        let _ = self.latency.add(&other.latency);
        let _ = self.service.add(&other.service);
        self.wanted += other.wanted;
        self.sent += other.sent;
        self.retries += other.retries;
        self.starved += other.starved;
        for (end, n) in &other.ends {
            *self.ends.entry(end.clone()).or_default() += n;
        }
    }

    /// Counts an end.
    pub fn end(&mut self, how: &str) {
        *self.ends.entry(how.to_string()).or_default() += 1;
    }

    /// How many ended so.
    pub fn ended(&self, how: &str) -> u64 {
        self.ends.get(how).copied().unwrap_or(0)
    }
}

/// Of a whole load.
#[derive(Clone, Debug)]
pub struct Total {
    /// By stream.
    pub streams: BTreeMap<String, Tally>,
    /// From the intended time of a send to when the generator came to it, whatever became of it: its own lateness.
    pub late: Histogram<u64>,
    /// Connections that were made,
    pub opened: u64,
    /// and that failed to be.
    pub refused: u64,
}

impl Default for Total {
    fn default() -> Self {
        Total { streams: BTreeMap::new(), late: histogram(), opened: 0, refused: 0 }
    }
}

impl Total {
    /// Takes in another.
    pub fn merge(&mut self, other: &Total) {
        for (name, tally) in &other.streams {
            self.streams.entry(name.clone()).or_default().merge(tally);
        }
        let _ = self.late.add(&other.late);
        self.opened += other.opened;
        self.refused += other.refused;
    }

    /// All streams as one.
    pub fn all(&self) -> Tally {
        let mut all = Tally::default();
        self.streams.values().for_each(|t| all.merge(t));
        all
    }

    /// Why the run says nothing of its target: no connection was made, or the generator itself was behind. None if it is
    /// valid.
    pub fn invalid(&self, bound_us: u64) -> Option<String> {
        if self.opened == 0 && self.refused > 0 {
            return Some(format!("none of {} connections was made: is the target there?", self.refused));
        }
        let late = self.late.value_at_quantile(0.99);
        (late > bound_us && !self.late.is_empty()).then(|| {
            format!(
                "the generator itself was {:.1} ms late (p99; {:.1} ms at most): fewer queries, or more workers",
                late as f64 / 1e3,
                bound_us as f64 / 1e3
            )
        })
    }
}

/// A total as it is kept in a file and merged over processes.
#[derive(Serialize, Deserialize)]
pub struct Kept {
    streams: BTreeMap<String, KeptTally>,
    late: Vec<u8>,
    opened: u64,
    refused: u64,
}

#[derive(Serialize, Deserialize)]
struct KeptTally {
    latency: Vec<u8>,
    service: Vec<u8>,
    wanted: u64,
    sent: u64,
    ends: BTreeMap<String, u64>,
    retries: u64,
    starved: u64,
}

/// A histogram that can't be kept or read.
#[derive(Debug, thiserror::Error)]
#[error("a histogram can't be {0}")]
pub struct BadHistogram(&'static str);

fn keep(h: &Histogram<u64>) -> Result<Vec<u8>, BadHistogram> {
    let mut bytes = Vec::new();
    V2DeflateSerializer::new().serialize(h, &mut bytes).map_err(|_| BadHistogram("kept"))?;
    Ok(bytes)
}

fn read(bytes: &[u8]) -> Result<Histogram<u64>, BadHistogram> {
    let mut h: Histogram<u64> =
        Deserializer::new().deserialize(&mut &bytes[..]).map_err(|_| BadHistogram("read"))?;
    h.auto(true);
    Ok(h)
}

impl Total {
    /// As it is kept.
    ///
    /// # Errors
    /// [`BadHistogram`].
    pub fn keep(&self) -> Result<Kept, BadHistogram> {
        let mut streams = BTreeMap::new();
        for (name, t) in &self.streams {
            let kept = KeptTally {
                latency: keep(&t.latency)?,
                service: keep(&t.service)?,
                wanted: t.wanted,
                sent: t.sent,
                ends: t.ends.clone(),
                retries: t.retries,
                starved: t.starved,
            };
            streams.insert(name.clone(), kept);
        }
        Ok(Kept { streams, late: keep(&self.late)?, opened: self.opened, refused: self.refused })
    }

    /// As it was.
    ///
    /// # Errors
    /// [`BadHistogram`].
    pub fn from_kept(kept: &Kept) -> Result<Total, BadHistogram> {
        let mut total =
            Total { late: read(&kept.late)?, opened: kept.opened, refused: kept.refused, ..Total::default() };
        for (name, t) in &kept.streams {
            let tally = Tally {
                latency: read(&t.latency)?,
                service: read(&t.service)?,
                wanted: t.wanted,
                sent: t.sent,
                ends: t.ends.clone(),
                retries: t.retries,
                starved: t.starved,
            };
            total.streams.insert(name.clone(), tally);
        }
        Ok(total)
    }

    /// An HdrHistogram log (format 1.3) of the latencies, a line for each stream, in milliseconds.
    ///
    /// # Errors
    /// [`BadHistogram`].
    pub fn log(&self, took: Duration) -> Result<Vec<u8>, BadHistogram> {
        let (mut out, mut serializer) = (Vec::new(), V2DeflateSerializer::new());
        let mut builder = IntervalLogWriterBuilder::new();
        builder.with_max_value_divisor(1e3);
        let mut writer =
            builder.begin_log_with(&mut out, &mut serializer).map_err(|_| BadHistogram("written"))?;
        for (name, t) in &self.streams {
            let plain: String =
                name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
            writer
                .write_histogram(&t.latency, Duration::ZERO, took, Tag::new(&plain))
                .map_err(|_| BadHistogram("written"))?;
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn total(stream: &str, values: &[u64]) -> Total {
        let mut t = Total::default();
        let tally = t.streams.entry(stream.to_string()).or_default();
        for v in values {
            tally.latency.record(*v).expect("it grows");
            tally.end(SERVED);
        }
        t
    }

    #[test]
    fn histograms_of_unlike_ranges_merge_without_loss() {
        let mut a = total("x", &[1, 10, 100]);
        a.merge(&total("x", &[50_000_000_000, 7]));
        a.merge(&total("y", &[3]));
        let x = &a.streams["x"];
        assert_eq!((x.latency.len(), x.ended(SERVED)), (5, 5));
        assert!(x.latency.max() >= 49_900_000_000 && x.latency.min() == 1);
        assert_eq!(a.all().latency.len(), 6);
        let kept = serde_json::to_string(&a.keep().expect("kept")).expect("JSON");
        let back = Total::from_kept(&serde_json::from_str(&kept).expect("JSON")).expect("read");
        assert_eq!(back.streams["x"].latency, x.latency);
        let log = String::from_utf8(a.log(Duration::from_secs(3)).expect("written")).expect("text");
        assert_eq!(log.lines().filter(|l| l.starts_with("Tag=")).count(), 2, "{log}");
    }

    #[test]
    fn a_generator_that_was_late_says_so() {
        let mut t = Total::default();
        (0..1000).for_each(|_| t.late.record(100).expect("it grows"));
        assert_eq!(t.invalid(5_000), None);
        t.refused = 1;
        assert!(t.invalid(5_000).is_some(), "nobody was reached");
        t.opened = 1;
        (0..20).for_each(|_| t.late.record(1_000_000).expect("it grows"));
        assert!(t.invalid(5_000).is_some());
    }
}
