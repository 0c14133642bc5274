//! What whoever watches engine files has to tell.

use crate::EngineSet;
use std::sync::Arc;
use wheelfield::interface::Micros;
use wheelfield_config::ConfigError;

/// What there is to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFileEvent {
    /// A set is in force now.
    Activated(Arc<EngineSet>),
    /// The set that was kept is in force, as there is no better one; so old it is.
    LastGoodRestored(Arc<EngineSet>, Micros),
    /// The set that was kept can't be used.
    LastGoodInvalid(String),
    /// What the files hold is not taken; the set in force stays.
    Rejected(ConfigError),
    /// It is sound, but would take away too much; until when it is held, if it is taken then.
    Held(String, Option<Micros>),
    /// The files hold again what is in force.
    FaultCleared,
    /// The set in force could not be kept.
    LastGoodNotSaved(String),
    /// The files were read since somebody asked to be told so, by this number, and what they hold has been told.
    ReadCompleted(u64),
    /// The system tells of no changes; there is the poll alone.
    PollingOnly(String),
}
