//! The known engines: merges the sets of the endpoint files and the registry into the engine list.

use serde_json::json;
use std::sync::Arc;
use tracing::{error, info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_endpoints::merge::{merge, Contradiction};
use wheelfield_endpoints::tracker::{EngineListChange, EngineTracker};
use wheelfield_endpoints::{EngineFileEvent, EngineSet};

/// Counters of endpoint file updates and engine lists.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointCounters {
    pub rejected: u64,
    pub held: u64,
    pub not_saved: u64,
}

/// State of the endpoint files, if they are configured.
#[derive(Debug, Default)]
struct EndpointFiles {
    set: Option<Arc<EngineSet>>,
    /// The last set of the registry and when it was received.
    registry: Option<(EngineSet, i64)>,
    /// Whether the last merge used the set of the registry.
    registry_in_use: bool,
    contradictions: Vec<Contradiction>,
    fault: Option<String>,
    /// A registry set that is older than this is not used.
    max_registry_age: Micros,
}

/// The known engines and their sources.
#[derive(Debug)]
pub(crate) struct EndpointSets {
    engines: EngineTracker,
    files: Option<EndpointFiles>,
    pub counters: EndpointCounters,
}

impl EndpointSets {
    pub fn new(config: &Config) -> EndpointSets {
        let files = config.endpoint_files.as_ref().map(|files| EndpointFiles {
            max_registry_age: files.max_registry_age,
            ..EndpointFiles::default()
        });
        EndpointSets { engines: EngineTracker::default(), files, counters: EndpointCounters::default() }
    }

    pub fn engines(&self) -> &EngineTracker {
        &self.engines
    }

    /// Uses the engines that are listed in the configuration.
    pub fn use_configured_engines(&mut self, config: &Config) -> EngineListChange {
        self.engines.apply_config(config)
    }

    /// Whether endpoint files are the source of the engine list.
    pub fn has_files(&self) -> bool {
        self.files.is_some()
    }

    /// Applies an update of the endpoint files.
    pub fn update_from_files(&mut self, news: EngineFileEvent, now: i64) -> Option<EngineListChange> {
        let files = self.files.as_mut()?;
        match news {
            EngineFileEvent::Activated(set) => {
                info!(version = set.version, engines = set.engines.len(), "engine files applied");
                (files.set, files.fault) = (Some(set), None);
                return self.merge_sets(now);
            }
            EngineFileEvent::LastGoodRestored(set, age) => {
                warn!(version = set.version, age_s = age.0 / 1_000_000, "the saved engine set is in use");
                files.fault =
                    Some(format!("the saved engine set is in use, saved {} s ago", age.0 / 1_000_000));
                files.set = Some(set);
                return self.merge_sets(now);
            }
            EngineFileEvent::Rejected(fault) => {
                warn!(%fault, "engine files rejected; keeping the current engine set");
                files.fault = Some(fault.to_string());
                self.counters.rejected += 1;
            }
            EngineFileEvent::Held(why, until) => {
                let until_s = until.map(|t| (t.0 - now) / 1_000_000);
                warn!(why, until_s, "engine files held; set confirmed = true to apply them");
                files.fault = Some(format!("held: {why}"));
                self.counters.held += 1;
            }
            EngineFileEvent::FaultCleared => {
                info!("engine files match the current engine set again");
                files.fault = None;
            }
            EngineFileEvent::LastGoodInvalid(why) => warn!(why, "the saved engine set cannot be used"),
            EngineFileEvent::LastGoodNotSaved(why) => {
                error!(
                    why,
                    "the current engine set could not be saved; a start without a valid file would have none"
                );
                self.counters.not_saved += 1;
            }
            // The gateway handles this event itself.
            EngineFileEvent::ReadCompleted(_) => {}
            EngineFileEvent::PollingOnly(why) => {
                warn!(why, "file change notification is unavailable; polling the engine files")
            }
        }
        None
    }

    /// Applies a list of the registry, which is merged with the endpoint files if there are any.
    pub fn update_from_registry(&mut self, set: EngineSet, now: i64) -> Option<EngineListChange> {
        match &mut self.files {
            Some(files) => {
                files.registry = Some((set, now));
                self.merge_sets(now)
            }
            None => Some(self.engines.apply_set(set)),
        }
    }

    /// The version of the last list of the registry.
    pub fn registry_version(&self) -> u64 {
        match &self.files {
            Some(files) => files.registry.as_ref().map_or(0, |(set, _)| set.version),
            None => self.engines.version(),
        }
    }

    /// Merges the sets again when the registry set has become too old, or is up to date again.
    pub fn expire_registry(&mut self, now: i64) -> Option<EngineListChange> {
        let files = self.files.as_ref()?;
        let is_fresh = files
            .registry
            .as_ref()
            .is_some_and(|(_, received_at)| now - received_at <= files.max_registry_age.0);
        if is_fresh == files.registry_in_use {
            return None;
        }
        self.merge_sets(now)
    }

    fn merge_sets(&mut self, now: i64) -> Option<EngineListChange> {
        let files = self.files.as_mut()?;
        let set = files.set.as_ref()?;
        let registry =
            files.registry.as_ref().map(|(registry, received_at)| (registry, Micros(now - received_at)));
        files.registry_in_use = registry.is_some_and(|(_, age)| age <= files.max_registry_age);
        let (merged, contradictions) = merge(set, registry, files.max_registry_age);
        if contradictions != files.contradictions {
            for contradiction in &contradictions {
                warn!(what = ?contradiction, "engine files and registry contradict each other");
            }
            files.contradictions = contradictions;
        }
        Some(self.engines.apply_file_set(merged, Micros(now)))
    }

    /// The state of the endpoint files for the status page.
    pub fn status(&self) -> serde_json::Value {
        let Some(files) = &self.files else { return serde_json::Value::Null };
        let version = files.set.as_ref().map(|s| s.version);
        let contradictions: Vec<String> = files.contradictions.iter().map(|c| format!("{c:?}")).collect();
        json!({"version": version, "fault": files.fault, "contradictions": contradictions})
    }
}
