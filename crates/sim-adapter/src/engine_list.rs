//! Engine lists as the simulator sends them, with names that each instance resolves to its own ids.

use crate::line::{shorten, Line, LineError};
use std::collections::BTreeMap;
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_settings::Names;

/// The lists received, by the number (`bank`) that other lines use to refer to them.
pub type EngineLists = BTreeMap<u32, Vec<ListEntry>>;

/// One entry of a list.
#[derive(Clone)]
pub struct ListEntry {
    engine: String,
    zone: String,
    kind: String,
    cell: i64,
    status: Status,
    started_at: Option<Micros>,
}

impl ListEntry {
    /// Parses an `entry` line.
    ///
    /// # Errors
    /// [`LineError`] if the line is not an `entry` line, or a field is missing or malformed.
    pub fn parse(line: &Line) -> Result<ListEntry, LineError> {
        if line.keyword != "entry" {
            return Err(LineError::NotAnEntry {
                found: shorten(line.keyword),
            });
        }
        Ok(ListEntry {
            engine: line.text("executor")?.to_string(),
            zone: line.optional_text("locality").unwrap_or("").to_string(),
            kind: line.optional_text("model").unwrap_or("").to_string(),
            cell: line.optional_number("bay")?.unwrap_or(0),
            status: match line.text("readiness")? {
                "up" => Status::Up,
                "draining" => Status::Draining,
                "removed" => Status::Removed,
                other => {
                    return Err(LineError::UnknownReadiness {
                        found: shorten(other),
                    })
                }
            },
            started_at: line.optional_micros("up_since_us")?.filter(|at| at.0 != 0),
        })
    }

    /// Converts the entry to one with the ids of an instance instead of names, and registers the engine with the instance.
    pub fn resolve(&self, names: &mut Names) -> EngineEntry {
        EngineEntry {
            engine: names.register_engine(&self.engine),
            zone: names.zone_position(&self.zone),
            kind: names.kind_position(&self.kind),
            cell: self.cell,
            status: self.status,
            started_at: self.started_at,
        }
    }
}
