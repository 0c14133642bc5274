//! What whoever watches engine files has to tell.

use crate::EngineSet;
use std::sync::Arc;
use wheelfield::interface::Micros;
use wheelfield_config::ConfigError;

/// What there is to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A set is in force now.
    Set(Arc<EngineSet>),
    /// The set that was kept is in force, as there is no better one; so old it is.
    Kept(Arc<EngineSet>, Micros),
    /// The set that was kept can't be used.
    KeptBad(String),
    /// What the files hold is not taken; the set in force stays.
    Refused(ConfigError),
    /// It is sound, but would take away too much; until when it is held, if it is taken then.
    Held(String, Option<Micros>),
    /// The files hold again what is in force.
    Fine,
    /// The set in force could not be kept.
    NotKept(String),
    /// The files were read since somebody asked to be told so, by this number, and what they hold has been told.
    Looked(u64),
    /// The system tells of no changes; there is the poll alone.
    PollOnly(String),
}
