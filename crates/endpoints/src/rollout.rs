//! Splits a large change of the engine set into steps, and detects from the controllers' counters that a step made things
//! worse.

use crate::{EngineRecord, EngineSet};
use std::collections::{BTreeMap, BTreeSet};
use wheelfield::interface::{EngineId, Status};

/// Why a change cannot be split into steps.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RolloutPlanError {
    /// The size of a step is not a fraction above 0 and at most 1.
    #[error("a step of {0} of the capacity is not valid; use a value above 0 and at most 1")]
    InvalidStep(f64),
    /// An id has a new address, which controllers reject.
    #[error("`{0}` has another address in the new file; give the new engine an id of its own")]
    AddressChanged(String),
    /// The two sets have the same engines.
    #[error("the files differ only in version or order")]
    NoChange,
}

/// Plans the sets that are to become active one after the other; the last one has the engines of `goal`.
///
/// Added engines come first and removed engines drain in the step after that, so that no capacity leaves before its
/// replacement is listed. Drained engines are removed one step later. An added engine is first listed under each of the kinds
/// in `ramp_kinds` for one step, and then under its own kind: those kinds have fewer cores, so it starts with a lower weight.
///
/// One step adds, or drains, at most the fraction `step_fraction` of the smaller of the two capacities, but always at least one
/// engine.
///
/// # Errors
/// [`RolloutPlanError`].
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn plan_steps(
    from: &EngineSet,
    goal: &EngineSet,
    cores: &[f64],
    step_fraction: f64,
    ramp_kinds: &[usize],
) -> Result<Vec<EngineSet>, RolloutPlanError> {
    if !(step_fraction > 0.0 && step_fraction <= 1.0) {
        return Err(RolloutPlanError::InvalidStep(step_fraction));
    }
    let moved = |k: &&EngineRecord| goal.engines.get(&k.entry.engine).is_some_and(|g| g.address != k.address);
    if let Some(k) = from.engines.values().find(moved) {
        return Err(RolloutPlanError::AddressChanged(k.name.clone()));
    }
    if from.engines == goal.engines {
        return Err(RolloutPlanError::NoChange);
    }
    let core_count = |k: &EngineRecord| cores.get(k.entry.kind).copied().unwrap_or(1.0);
    let capacity = from.capacity(cores).min(goal.capacity(cores));
    let added = goal.engines.values().filter(|k| !from.engines.contains_key(&k.entry.engine));
    let added = split_into_groups(added, capacity * step_fraction, core_count);
    let removed_or_changed =
        from.engines.values().filter(|k| goal.engines.get(&k.entry.engine).is_none_or(|g| g != *k));
    let removed_or_changed = split_into_groups(removed_or_changed, capacity * step_fraction, core_count);
    let mut sets = Vec::new();
    let mut current = from.clone();
    let mut drained: BTreeSet<EngineId> = BTreeSet::new();
    for group in 0..added.len().max(removed_or_changed.len()) {
        if let Some(new) = added.get(group) {
            remove_drained(&mut current.engines, &mut drained);
            for kind in ramp_kinds.iter().copied().map(Some).chain([None]) {
                for id in new {
                    let mut record = goal.engines[id].clone();
                    record.entry.kind = kind.unwrap_or(record.entry.kind);
                    current.engines.insert(*id, record);
                }
                sets.push(current.clone());
            }
        }
        if let Some(old) = removed_or_changed.get(group) {
            remove_drained(&mut current.engines, &mut drained);
            for id in old {
                match goal.engines.get(id) {
                    // A new status, zone, kind or cell applies without draining.
                    Some(changed) => {
                        current.engines.insert(*id, changed.clone());
                    }
                    None => {
                        if let Some(k) = current.engines.get_mut(id) {
                            k.entry.status = Status::Draining;
                            drained.insert(*id);
                        }
                    }
                }
            }
            sets.push(current.clone());
        }
    }
    if !drained.is_empty() {
        remove_drained(&mut current.engines, &mut drained);
        sets.push(current);
    }
    let step_count = sets.len() as u64;
    for (n, set) in sets.iter_mut().enumerate() {
        set.version = from.version + 1 + n as u64;
    }
    if let Some(set) = sets.last_mut() {
        set.version = goal.version.max(from.version + step_count);
    }
    Ok(sets)
}

fn remove_drained(engines: &mut BTreeMap<EngineId, EngineRecord>, drained: &mut BTreeSet<EngineId>) {
    for id in std::mem::take(drained) {
        engines.remove(&id);
    }
}

/// Splits engines into groups, in order, of at most `max_size` each, or of one engine that is larger.
fn split_into_groups<'a>(
    engines: impl Iterator<Item = &'a EngineRecord>,
    max_size: f64,
    core_count: impl Fn(&EngineRecord) -> f64,
) -> Vec<Vec<EngineId>> {
    let mut groups: Vec<Vec<EngineId>> = Vec::new();
    let mut group_size = f64::INFINITY;
    for k in engines {
        if group_size + core_count(k) > max_size + 1e-9 {
            groups.push(Vec::new());
            group_size = 0.0;
        }
        group_size += core_count(k);
        if let Some(group) = groups.last_mut() {
            group.push(k.entry.engine);
        }
    }
    groups
}

/// The part of a controller's status that a rollout watches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    /// The version of the active set.
    pub version: u64,
    /// Why its engine files are not active; empty if they are.
    pub fault: String,
    /// Queries served since the controller started.
    pub served: u64,
    /// Queries rejected since the controller started.
    pub rejected: u64,
    /// Queries failed since the controller started.
    pub failed: u64,
}

/// Numbers of answers of all controllers within a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All answers.
    pub total: u64,
    /// Rejections and failures.
    pub unsuccessful: u64,
}

/// The status of all controllers by name; `None` for a controller that did not answer.
pub type StatusSnapshot = BTreeMap<String, Option<ControllerStatus>>;

/// The number of answers between two snapshots. A controller that restarted in between counts from its restart. One without a
/// status in the first snapshot is left out, because its counters cover the whole time since its start.
pub fn answers_between(before: &StatusSnapshot, after: &StatusSnapshot) -> AnswerCounts {
    let mut sum = AnswerCounts::default();
    for (name, status) in after {
        let Some((now, then)) = status.as_ref().zip(before.get(name).and_then(Option::as_ref)) else {
            continue;
        };
        let (total, total_before) =
            (now.served + now.rejected + now.failed, then.served + then.rejected + then.failed);
        let (unsuccessful, unsuccessful_before) = (now.rejected + now.failed, then.rejected + then.failed);
        // Counters that decreased belong to a new process.
        let restarted = total < total_before || unsuccessful < unsuccessful_before;
        sum.total += if restarted { total } else { total - total_before };
        sum.unsuccessful += if restarted { unsuccessful } else { unsuccessful - unsuccessful_before };
    }
    sum
}

/// Decides when a rollout is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegressionGuard {
    /// The maximum increase of the fraction of rejections and failures over the fraction before the first step.
    pub max_increase: f64,
    /// The minimum size of an increase in standard errors, below which it is taken for random variation.
    pub min_standard_errors: f64,
}

impl Default for RegressionGuard {
    fn default() -> Self {
        RegressionGuard { max_increase: 0.02, min_standard_errors: 3.0 }
    }
}

impl RegressionGuard {
    /// Compares the answers before the first step with those since the last step; returns the reason to stop, or `None` to
    /// continue.
    pub fn find_regression(&self, before: AnswerCounts, since: AnswerCounts) -> Option<String> {
        if since.total == 0 || before.total == 0 {
            return None;
        }
        let fraction = |a: AnswerCounts| a.unsuccessful as f64 / a.total as f64;
        let (fraction_before, fraction_since) = (fraction(before), fraction(since));
        let increase = fraction_since - fraction_before;
        // The pooled standard error of the difference of two proportions.
        let pooled = (before.unsuccessful + since.unsuccessful) as f64 / (before.total + since.total) as f64;
        let error = (pooled * (1.0 - pooled) * (1.0 / before.total as f64 + 1.0 / since.total as f64)).sqrt();
        (increase > self.max_increase && increase > self.min_standard_errors * error).then(|| {
            format!(
                "{:.1}% of {} answers were rejections or failures, compared with {:.1}% of {} before the first step",
                fraction_since * 100.0,
                since.total,
                fraction_before * 100.0,
                before.total
            )
        })
    }
}

/// How many controllers run a version, and which do not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The number of controllers that run the version.
    pub up_to_date: usize,
    /// The controllers that run another version.
    pub behind: Vec<String>,
    /// The controllers that did not answer.
    pub unreachable: Vec<String>,
    /// The controllers that rejected or hold the version, and why.
    pub faults: Vec<(String, String)>,
}

/// Determines which controllers run a version.
pub fn progress(snapshot: &StatusSnapshot, version: u64) -> RolloutProgress {
    let mut p = RolloutProgress::default();
    for (name, status) in snapshot {
        match status {
            None => p.unreachable.push(name.clone()),
            Some(s) if s.version == version => p.up_to_date += 1,
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
