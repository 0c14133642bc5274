//! The faults on the links between controllers, as a day's script lists them.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use wheelfield_config::units::{Size, Time};
use wheelfield_network_faults::{Fault, FaultSchedule, NodeSet, ScheduledFault};

/// Maximum number of entries.
pub const MAX_ENTRIES: usize = 1_000;

/// Default tables of a fleet's script: machines, classes, rules.
const DEFAULT_TABLES: &str = include_str!("../../fleets/usual.toml");

/// Appends the default tables to a fleet's script unless it has its own. The script's lines keep
/// their numbers.
pub fn with_default_tables(text: &str) -> String {
    match text.lines().any(|l| l.trim() == "[fleet]") {
        true => text.to_string(),
        false => format!("{text}\n{DEFAULT_TABLES}"),
    }
}

/// An entry of `[[roads]]`: a fault on the links between some controllers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// Start of the fault.
    #[serde(rename = "at")]
    pub starts_at: Time,
    /// Duration of the fault.
    #[serde(rename = "for")]
    pub duration: Time,
    /// Period of a repeated fault, from one start to the next.
    #[serde(rename = "every")]
    pub period: Option<Time>,
    /// Number of times that the fault occurs; needs a period.
    #[serde(rename = "times")]
    pub repetitions: Option<u32>,
    /// Controllers whose outgoing links are affected: `all`, numbers and ranges (`0,3,7-9`), or a
    /// percentage of them that the seed draws (`30%`).
    #[serde(default = "all", rename = "from")]
    pub senders: String,
    /// Controllers to which these links lead, in the same form.
    #[serde(default = "all", rename = "to")]
    pub receivers: String,
    /// Whether the links of the opposite direction are affected too.
    #[serde(default, rename = "both")]
    pub bidirectional: bool,
    /// Whether all datagrams are blocked.
    #[serde(default, rename = "cut")]
    pub blocked: bool,
    /// Probability that a datagram is lost.
    #[serde(default)]
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    #[serde(default, rename = "doubled")]
    pub duplicate: f64,
    /// Probability that a bit of a datagram is flipped.
    #[serde(default)]
    pub corrupt: f64,
    /// Constant delay.
    pub delay: Option<Time>,
    /// Maximum random delay in addition to it.
    pub jitter: Option<Time>,
    /// Limit of throughput, in bytes per second.
    pub rate: Option<Size>,
    /// Maximum number of bytes queued for it.
    #[serde(rename = "queue")]
    pub queue_limit: Option<Size>,
}

fn all() -> String {
    "all".into()
}

/// Parses a set of controller numbers below `controllers`. A percentage is drawn at random.
fn parse_controllers(text: &str, controllers: usize, rng: &mut Pcg64Mcg) -> Result<NodeSet, String> {
    if text == "all" {
        return Ok(NodeSet::All);
    }
    if let Some(fraction) = text.strip_suffix('%') {
        let fraction: f64 = fraction.trim().parse().map_err(|_| format!("`{text}` is not a percentage"))?;
        if !(0.0..=100.0).contains(&fraction) {
            return Err(format!("`{text}` is not between 0% and 100%"));
        }
        let mut all: Vec<usize> = (0..controllers).collect();
        let count = (fraction / 100.0 * controllers as f64).round() as usize;
        let selected = (0..count).map(|_| all.swap_remove(rng.random_range(0..all.len())));
        return Ok(NodeSet::Only(selected.collect()));
    }
    let mut selected = std::collections::BTreeSet::new();
    for part in text.split(',') {
        let (first, last) = part.trim().split_once('-').unwrap_or((part.trim(), part.trim()));
        let number = |n: &str| {
            n.parse::<usize>().map_err(|_| format!("`{part}` in `{text}` is not a controller number"))
        };
        let (first, last) = (number(first)?, number(last)?);
        if first > last || last >= controllers {
            return Err(format!(
                "`{part}` in `{text}` is not among the controllers 0 to {}",
                controllers.saturating_sub(1)
            ));
        }
        selected.extend(first..=last);
    }
    Ok(NodeSet::Only(selected))
}

impl LinkFault {
    /// Converts the entry to a fault of the schedule.
    ///
    /// # Errors
    /// A readable description of what is wrong with the entry.
    fn to_scheduled_fault(&self, controllers: usize, rng: &mut Pcg64Mcg) -> Result<ScheduledFault, String> {
        let micros = |t: Option<Time>| t.map_or(0, |t| t.0 .0);
        for (name, fraction) in [("loss", self.loss), ("doubled", self.duplicate), ("corrupt", self.corrupt)]
        {
            if !(0.0..=1.0).contains(&fraction) {
                return Err(format!("{name} = {fraction} is not a probability from 0 to 1"));
            }
        }
        let (duration, period) = (self.duration.0 .0, micros(self.period));
        if self.period.is_some() && period < duration {
            return Err("`every` is shorter than `for`: the fault would never pause".into());
        }
        if self.repetitions.is_some_and(|n| n != 1) && period == 0 {
            return Err("`times` needs `every`".into());
        }
        // Without a limit of its own, the queue holds one second's worth of the rate.
        let rate = self.rate.map_or(0, |s| s.0);
        let fault = Fault {
            blocked: self.blocked,
            loss: self.loss,
            delay: micros(self.delay),
            jitter: micros(self.jitter),
            duplicate: self.duplicate,
            corrupt: self.corrupt,
            rate,
            queue_limit: self.queue_limit.map_or(rate, |s| s.0),
        };
        if fault == Fault::default() {
            return Err(
                "the entry has no fault: set cut, loss, doubled, corrupt, delay, jitter or rate".into()
            );
        }
        let (senders, receivers) = (
            parse_controllers(&self.senders, controllers, rng)?,
            parse_controllers(&self.receivers, controllers, rng)?,
        );
        Ok(ScheduledFault {
            fault,
            from: senders,
            to: receivers,
            bidirectional: self.bidirectional,
            starts_at: self.starts_at.0 .0,
            duration,
            period,
            repetitions: self.repetitions.unwrap_or(1),
        })
    }
}

/// The schedule of all entries, with times from the start of the day.
///
/// # Errors
/// The index of the first invalid entry, from 0, and what is wrong with it.
pub fn fault_schedule(
    link_faults: &[LinkFault],
    controllers: usize,
    seed: u64,
) -> Result<FaultSchedule, (usize, String)> {
    if link_faults.len() > MAX_ENTRIES {
        return Err((MAX_ENTRIES, format!("{} entries; the maximum is {MAX_ENTRIES}", link_faults.len())));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0072_6f61_6473);
    let scheduled_fault = |(n, link_fault): (usize, &LinkFault)| {
        link_fault.to_scheduled_fault(controllers, &mut rng).map_err(|error| (n, error))
    };
    Ok(FaultSchedule(link_faults.iter().enumerate().map(scheduled_fault).collect::<Result<_, _>>()?))
}
