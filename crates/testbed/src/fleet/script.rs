//! What goes wrong between controllers, as a day's script tells it.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use wheelfield_config::units::{Size, Time};
use wheelfield_network_faults::{Fault, FaultSchedule, NodeSet, ScheduledFault};

/// Entries at most.
pub const MAX_ENTRIES: usize = 1_000;

/// What a fleet's script leaves out: machines, classes, rules.
const USUAL: &str = include_str!("../../fleets/usual.toml");

/// The script of a fleet with the usual tables, if it has none of its own; its own lines keep their numbers.
pub fn with_default_tables(text: &str) -> String {
    match text.lines().any(|l| l.trim() == "[fleet]") {
        true => text.to_string(),
        false => format!("{text}\n{USUAL}"),
    }
}

/// One entry of `[[roads]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// From when on.
    pub at: Time,
    /// For how long.
    #[serde(rename = "for")]
    pub lasts: Time,
    /// Again after so long from its last beginning,
    pub every: Option<Time>,
    /// so many times in all.
    pub times: Option<u32>,
    /// On what these send: `all`, numbers and spans of them (`0,3,7-9`), or a share that the seed draws (`30%`);
    #[serde(default = "all")]
    pub from: String,
    /// to those.
    #[serde(default = "all")]
    pub to: String,
    /// And on what those send to these.
    #[serde(default)]
    pub both: bool,
    /// Nothing passes.
    #[serde(default)]
    pub cut: bool,
    /// The chance that a datagram is lost,
    #[serde(default)]
    pub loss: f64,
    /// that it comes twice,
    #[serde(default)]
    pub doubled: f64,
    /// that a bit of it is turned.
    #[serde(default)]
    pub corrupt: f64,
    /// So much later,
    pub delay: Option<Time>,
    /// and up to so much more.
    pub jitter: Option<Time>,
    /// Bytes a second that pass,
    pub rate: Option<Size>,
    /// and that wait for it.
    pub queue: Option<Size>,
}

fn all() -> String {
    "all".into()
}

/// Whom a text names among so many, by a draw where it names a share.
fn parties(text: &str, among: usize, chance: &mut Pcg64Mcg) -> Result<NodeSet, String> {
    if text == "all" {
        return Ok(NodeSet::All);
    }
    if let Some(share) = text.strip_suffix('%') {
        let share: f64 = share.trim().parse().map_err(|_| format!("`{text}` is no share"))?;
        if !(0.0..=100.0).contains(&share) {
            return Err(format!("`{text}` is no share of 0% to 100%"));
        }
        let mut all: Vec<usize> = (0..among).collect();
        let wanted = (share / 100.0 * among as f64).round() as usize;
        let drawn = (0..wanted).map(|_| all.swap_remove(chance.random_range(0..all.len())));
        return Ok(NodeSet::Only(drawn.collect()));
    }
    let mut these = std::collections::BTreeSet::new();
    for part in text.split(',') {
        let (first, last) = part.trim().split_once('-').unwrap_or((part.trim(), part.trim()));
        let number =
            |n: &str| n.parse::<usize>().map_err(|_| format!("`{part}` in `{text}` names no controller"));
        let (first, last) = (number(first)?, number(last)?);
        if first > last || last >= among {
            return Err(format!(
                "`{part}` in `{text}` is not among the controllers 0 to {}",
                among.saturating_sub(1)
            ));
        }
        these.extend(first..=last);
    }
    Ok(NodeSet::Only(these))
}

impl LinkFault {
    /// As an entry of the timetable.
    ///
    /// # Errors
    /// What is wrong with it, for a person.
    fn entry(&self, among: usize, chance: &mut Pcg64Mcg) -> Result<ScheduledFault, String> {
        let micros = |t: Option<Time>| t.map_or(0, |t| t.0 .0);
        for (name, share) in [("loss", self.loss), ("doubled", self.doubled), ("corrupt", self.corrupt)] {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("{name} = {share} is no chance of 0 to 1"));
            }
        }
        let (lasts, every) = (self.lasts.0 .0, micros(self.every));
        if self.every.is_some() && every < lasts {
            return Err("`every` is shorter than `for`: it would never pause".into());
        }
        if self.times.is_some_and(|n| n != 1) && every == 0 {
            return Err("`times` needs `every`".into());
        }
        // Where only a rate is told, a second of it may wait.
        let rate = self.rate.map_or(0, |s| s.0);
        let fault = Fault {
            blocked: self.cut,
            loss: self.loss,
            delay: micros(self.delay),
            jitter: micros(self.jitter),
            duplicate: self.doubled,
            corrupt: self.corrupt,
            rate,
            queue_limit: self.queue.map_or(rate, |s| s.0),
        };
        if fault == Fault::default() {
            return Err(
                "nothing is wrong on these roads: give cut, loss, doubled, corrupt, delay, jitter or rate"
                    .into(),
            );
        }
        let (from, to) = (parties(&self.from, among, chance)?, parties(&self.to, among, chance)?);
        Ok(ScheduledFault {
            fault,
            from,
            to,
            bidirectional: self.both,
            starts_at: self.at.0 .0,
            duration: lasts,
            period: every,
            repetitions: self.times.unwrap_or(1),
        })
    }
}

/// The timetable of all entries, with times from the day's start.
///
/// # Errors
/// The number of the first entry that can't be used, from 0, and what is wrong with it.
pub fn fault_schedule(
    roads: &[LinkFault],
    among: usize,
    seed: u64,
) -> Result<FaultSchedule, (usize, String)> {
    if roads.len() > MAX_ENTRIES {
        return Err((MAX_ENTRIES, format!("{} entries; {MAX_ENTRIES} at most", roads.len())));
    }
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x0072_6f61_6473);
    let entry = |(n, road): (usize, &LinkFault)| road.entry(among, &mut chance).map_err(|fault| (n, fault));
    Ok(FaultSchedule(roads.iter().enumerate().map(entry).collect::<Result<_, _>>()?))
}
