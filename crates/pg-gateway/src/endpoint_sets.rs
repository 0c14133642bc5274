//! Which engines there are: what files and a registry say, merged, and what the module is told of it.

use serde_json::json;
use std::sync::Arc;
use tracing::{error, info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_endpoints::merge::{merge, Contradiction};
use wheelfield_endpoints::tracker::{EngineListChange, EngineTracker};
use wheelfield_endpoints::{EngineFileEvent, EngineSet};

/// Counted here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub refused: u64,
    pub held: u64,
    pub not_kept: u64,
}

/// What files say, where there are any.
#[derive(Debug, Default)]
struct Files {
    set: Option<Arc<EngineSet>>,
    /// The registry's, and when it was heard last.
    registry: Option<(EngineSet, i64)>,
    /// Whether the registry counted when the sets were merged last.
    counted: bool,
    contradictions: Vec<Contradiction>,
    fault: Option<String>,
    /// A registry that was not heard for so long says nothing.
    age: Micros,
}

/// The engines in force.
#[derive(Debug)]
pub(crate) struct EndpointSets {
    engines: EngineTracker,
    files: Option<Files>,
    pub counts: Counts,
}

impl EndpointSets {
    pub fn new(config: &Config) -> EndpointSets {
        let files =
            config.endpoint_files.as_ref().map(|m| Files { age: m.max_registry_age, ..Files::default() });
        EndpointSets { engines: EngineTracker::default(), files, counts: Counts::default() }
    }

    pub fn engines(&self) -> &EngineTracker {
        &self.engines
    }

    /// The engines that the configuration itself names.
    pub fn fixed(&mut self, config: &Config) -> EngineListChange {
        self.engines.apply_config(config)
    }

    /// Whether files say which engines there are.
    pub fn of_files(&self) -> bool {
        self.files.is_some()
    }

    /// Word of the files.
    pub fn news(&mut self, news: EngineFileEvent, now: i64) -> Option<EngineListChange> {
        let f = self.files.as_mut()?;
        match news {
            EngineFileEvent::Activated(set) => {
                info!(version = set.version, engines = set.engines.len(), "engine files in force");
                (f.set, f.fault) = (Some(set), None);
                return self.merged(now);
            }
            EngineFileEvent::LastGoodRestored(set, age) => {
                warn!(version = set.version, age_s = age.0 / 1_000_000, "the set that was kept is in force");
                f.fault = Some(format!("the set that was kept is in force, of {} s ago", age.0 / 1_000_000));
                f.set = Some(set);
                return self.merged(now);
            }
            EngineFileEvent::Rejected(fault) => {
                warn!(%fault, "engine files refused; the set in force stays");
                f.fault = Some(fault.to_string());
                self.counts.refused += 1;
            }
            EngineFileEvent::Held(why, until) => {
                let until_s = until.map(|t| (t.0 - now) / 1_000_000);
                warn!(why, until_s, "engine files held; write confirmed = true if that is meant");
                f.fault = Some(format!("held: {why}"));
                self.counts.held += 1;
            }
            EngineFileEvent::FaultCleared => {
                info!("engine files are those in force again");
                f.fault = None;
            }
            EngineFileEvent::LastGoodInvalid(why) => warn!(why, "the set that was kept can't be used"),
            EngineFileEvent::LastGoodNotSaved(why) => {
                error!(
                    why,
                    "the set in force could not be kept; a start without a good file would have none"
                );
                self.counts.not_kept += 1;
            }
            // Who asked for it hears of it before.
            EngineFileEvent::ReadCompleted(_) => {}
            EngineFileEvent::PollingOnly(why) => {
                warn!(why, "the system tells of no changes; engine files are polled")
            }
        }
        None
    }

    /// A list as the registry tells it. Where files say which engines there are, it is noted beside them.
    pub fn registry(&mut self, set: EngineSet, now: i64) -> Option<EngineListChange> {
        match &mut self.files {
            Some(f) => {
                f.registry = Some((set, now));
                self.merged(now)
            }
            None => Some(self.engines.apply_set(set)),
        }
    }

    /// The version that the registry told last.
    pub fn registry_version(&self) -> u64 {
        match &self.files {
            Some(f) => f.registry.as_ref().map_or(0, |(set, _)| set.version),
            None => self.engines.version(),
        }
    }

    /// A registry that fell silent counts no more, and one that speaks again does.
    pub fn age(&mut self, now: i64) -> Option<EngineListChange> {
        let f = self.files.as_ref()?;
        let fresh = f.registry.as_ref().is_some_and(|(_, heard)| now - heard <= f.age.0);
        if fresh == f.counted {
            return None;
        }
        self.merged(now)
    }

    fn merged(&mut self, now: i64) -> Option<EngineListChange> {
        let f = self.files.as_mut()?;
        let set = f.set.as_ref()?;
        let told = f.registry.as_ref().map(|(told, heard)| (told, Micros(now - heard)));
        f.counted = told.is_some_and(|(_, age)| age <= f.age);
        let (merged, contradictions) = merge(set, told, f.age);
        if contradictions != f.contradictions {
            for c in &contradictions {
                warn!(what = ?c, "engine files and registry contradict each other");
            }
            f.contradictions = contradictions;
        }
        Some(self.engines.apply_file_set(merged, Micros(now)))
    }

    /// What an operator is shown of the files.
    pub fn status(&self) -> serde_json::Value {
        let Some(f) = &self.files else { return serde_json::Value::Null };
        let version = f.set.as_ref().map(|s| s.version);
        let contradictions: Vec<String> = f.contradictions.iter().map(|c| format!("{c:?}")).collect();
        json!({"version": version, "fault": f.fault, "contradictions": contradictions})
    }
}
