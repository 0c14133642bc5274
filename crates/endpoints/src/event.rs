//! Events reported by the watcher of the engine files.

use crate::EngineSet;
use std::sync::Arc;
use wheelfield::interface::Micros;
use wheelfield_config::ConfigError;

/// An event of the engine files.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFileEvent {
    /// A new set is active.
    Activated(Arc<EngineSet>),
    /// The last good set, saved by an earlier process, is active because no valid file has been read yet. The time is the
    /// age of the saved set.
    LastGoodRestored(Arc<EngineSet>, Micros),
    /// The saved last good set cannot be used, and why.
    LastGoodInvalid(String),
    /// The contents of the files are invalid; the active set stays.
    Rejected(ConfigError),
    /// The contents of the files are valid but would remove too much capacity: the reason, and the time at which they become
    /// active, if waiting is enough.
    Held(String, Option<Micros>),
    /// After a rejected or held change, the files match the active set again.
    FaultCleared,
    /// The active set could not be saved as the last good set, and why.
    LastGoodNotSaved(String),
    /// The files were read after the request with this number, and all events of that read have been reported.
    ReadCompleted(u64),
    /// The operating system reports no file changes, and why; changes are found by polling only.
    PollingOnly(String),
}
