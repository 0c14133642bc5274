//! A change of many engines in steps, and whether the controllers do worse for it.

use crate::{EngineRecord, EngineSet};
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::{EngineId, Status};

/// Why a change can't be made in steps.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unsteppable {
    /// The share of a step is no share.
    #[error("a step of {0} of the capacity; write above 0, at most 1")]
    Share(f64),
    /// Controllers refuse an id that turns up at another address.
    #[error("`{0}` has another address in the new file; give the new engine an id of its own")]
    Moved(String),
    /// The change is none.
    #[error("nothing differs but the version or the order")]
    Nothing,
}

/// The sets to be in force one after the other, the last being the goal. Newcomers of a step come first and leavers drain
/// in the step after it, so that what leaves is not missed before its stand-in is listed; drained ones go one step later.
/// Newcomers go through `through` first, kinds of fewer cores (their weights), a step each, before they are of their own kind.
/// A step brings, and one drains, at most `share` of the smaller of both capacities, or one engine if that is more.
///
/// # Errors
/// [`Unsteppable`].
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn steps(
    from: &EngineSet,
    goal: &EngineSet,
    cores: &[f64],
    share: f64,
    through: &[usize],
) -> Result<Vec<EngineSet>, Unsteppable> {
    if !(share > 0.0 && share <= 1.0) {
        return Err(Unsteppable::Share(share));
    }
    let moved = |k: &&EngineRecord| goal.engines.get(&k.entry.engine).is_some_and(|g| g.address != k.address);
    if let Some(k) = from.engines.values().find(moved) {
        return Err(Unsteppable::Moved(k.name.clone()));
    }
    if from.engines == goal.engines {
        return Err(Unsteppable::Nothing);
    }
    let size = |k: &EngineRecord| cores.get(k.entry.kind).copied().unwrap_or(1.0);
    let whole = from.capacity(cores).min(goal.capacity(cores));
    let coming = goal.engines.values().filter(|k| !from.engines.contains_key(&k.entry.engine));
    let coming = chunks(coming, whole * share, size);
    let leaving = from.engines.values().filter(|k| goal.engines.get(&k.entry.engine).is_none_or(|g| g != *k));
    let leaving = chunks(leaving, whole * share, size);
    let mut sets = Vec::new();
    let mut now = from.clone();
    let mut drained: BTreeSet<EngineId> = BTreeSet::new();
    for wave in 0..coming.len().max(leaving.len()) {
        if let Some(new) = coming.get(wave) {
            finish(&mut now.engines, &mut drained);
            for kind in through.iter().copied().map(Some).chain([None]) {
                for id in new {
                    let mut known = goal.engines[id].clone();
                    known.entry.kind = kind.unwrap_or(known.entry.kind);
                    now.engines.insert(*id, known);
                }
                sets.push(now.clone());
            }
        }
        if let Some(old) = leaving.get(wave) {
            finish(&mut now.engines, &mut drained);
            for id in old {
                match goal.engines.get(id) {
                    // Another standing or place, which is taken at once.
                    Some(changed) => {
                        now.engines.insert(*id, changed.clone());
                    }
                    None => {
                        if let Some(k) = now.engines.get_mut(id) {
                            k.entry.status = Status::Draining;
                            drained.insert(*id);
                        }
                    }
                }
            }
            sets.push(now.clone());
        }
    }
    if !drained.is_empty() {
        finish(&mut now.engines, &mut drained);
        sets.push(now);
    }
    let last = sets.len() as u64;
    for (n, set) in sets.iter_mut().enumerate() {
        set.version = from.version + 1 + n as u64;
    }
    if let Some(set) = sets.last_mut() {
        set.version = goal.version.max(from.version + last);
    }
    Ok(sets)
}

fn finish(engines: &mut BTreeMap<EngineId, EngineRecord>, drained: &mut BTreeSet<EngineId>) {
    for id in std::mem::take(drained) {
        engines.remove(&id);
    }
}

/// Engines in order, cut where more than `most` would be in one part.
fn chunks<'a>(
    engines: impl Iterator<Item = &'a EngineRecord>,
    most: f64,
    size: impl Fn(&EngineRecord) -> f64,
) -> Vec<Vec<EngineId>> {
    let mut parts: Vec<Vec<EngineId>> = Vec::new();
    let mut filled = f64::INFINITY;
    for k in engines {
        if filled + size(k) > most + 1e-9 {
            parts.push(Vec::new());
            filled = 0.0;
        }
        filled += size(k);
        if let Some(part) = parts.last_mut() {
            part.push(k.entry.engine);
        }
    }
    parts
}

/// What one controller says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The version in force there.
    pub version: u64,
    /// A fault of its files; empty if there is none.
    pub fault: String,
    /// Answers since its start: served,
    pub served: u64,
    /// refused,
    pub refused: u64,
    /// failed.
    pub failed: u64,
}

/// Answers within a span, over all controllers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// All.
    pub all: u64,
    /// Refused or failed.
    pub bad: u64,
}

/// What all controllers said, by name; none from one that did not answer.
pub type Round = BTreeMap<String, Option<Seen>>;

/// Answers between two rounds. One that started anew in between counts from its start; one that did not answer in the first
/// is left out, as its figures tell of its whole life.
pub fn answers(before: &Round, after: &Round) -> Answers {
    let mut sum = Answers::default();
    for (name, seen) in after {
        let Some((now, then)) = seen.as_ref().zip(before.get(name).and_then(Option::as_ref)) else {
            continue;
        };
        let (all, was) = (now.served + now.refused + now.failed, then.served + then.refused + then.failed);
        let (bad, bad_was) = (now.refused + now.failed, then.refused + then.failed);
        // Figures that fell are those of a new process.
        let anew = all < was || bad < bad_was;
        sum.all += if anew { all } else { all - was };
        sum.bad += if anew { bad } else { bad - bad_was };
    }
    sum
}

/// When a rollout is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// The share of refused and failed answers may rise by so much above that of before the first step.
    pub worse: f64,
    /// A rise counts if chance makes one as large so many standard errors seldom.
    pub sure: f64,
}

impl Default for Guard {
    fn default() -> Self {
        Guard { worse: 0.02, sure: 3.0 }
    }
}

impl Guard {
    /// Why to stop, by the answers before the first step and those since the last; none to go on.
    pub fn worsened(&self, before: Answers, since: Answers) -> Option<String> {
        if since.all == 0 || before.all == 0 {
            return None;
        }
        let share = |a: Answers| a.bad as f64 / a.all as f64;
        let (was, is) = (share(before), share(since));
        let rise = is - was;
        // Two proportions, pooled.
        let pooled = (before.bad + since.bad) as f64 / (before.all + since.all) as f64;
        let error = (pooled * (1.0 - pooled) * (1.0 / before.all as f64 + 1.0 / since.all as f64)).sqrt();
        (rise > self.worse && rise > self.sure * error).then(|| {
            format!(
                "{:.1}% of {} answers were refusals or failures, {:.1}% of {} before the first step",
                is * 100.0,
                since.all,
                was * 100.0,
                before.all
            )
        })
    }
}

/// How far a round is from one in which all run a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// They run it.
    pub there: usize,
    /// They do not yet.
    pub behind: Vec<String>,
    /// They don't answer.
    pub silent: Vec<String>,
    /// They refuse or hold it, and why.
    pub faults: Vec<(String, String)>,
}

/// Who runs a version.
pub fn progress(round: &Round, version: u64) -> Progress {
    let mut p = Progress::default();
    for (name, seen) in round {
        match seen {
            None => p.silent.push(name.clone()),
            Some(s) if s.version == version => p.there += 1,
            Some(s) => {
                p.behind.push(name.clone());
                if !s.fault.is_empty() {
                    p.faults.push((name.clone(), s.fault.clone()));
                }
            }
        }
    }
    p
}
