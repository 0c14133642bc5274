//! Engine lists as they come on the wire, before an instance's numbers are known.

use crate::line::{shorten, Line, LineError};
use std::collections::BTreeMap;
use wheelfield::interface::{EngineEntry, Micros, Status};
use wheelfield_settings::Names;

/// The lists received, by the number (`bank`) that lines refer to them by.
pub type EngineLists = BTreeMap<u32, Vec<ListEntry>>;

/// One line of a list.
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
    /// Reads an `entry` line.
    ///
    /// # Errors
    /// [`LineError`], if it is another line, or a field is missing or malformed.
    pub fn parse(line: &Line) -> Result<ListEntry, LineError> {
        if line.word != "entry" {
            return Err(LineError::NotAnEntry {
                found: shorten(line.word),
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

    /// The entry with an instance's numbers in place of names; registers the engine.
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
