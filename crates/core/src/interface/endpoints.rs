//! Engines as listed in the endpoint list, and the load that they report.

use super::{EngineId, Micros};
use serde::{Deserialize, Serialize};

/// Whether an engine accepts queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It accepts queries.
    Up,
    /// It finishes its queries and accepts no new ones.
    Draining,
    /// It is no longer in the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, by position in the settings.
    pub zone: usize,
    /// Its kind of machine, by position in the settings.
    pub kind: usize,
    /// Its cell.
    pub cell: i64,
    /// Whether it accepts queries.
    pub status: Status,
    /// When its process last started, if that was recent.
    pub started_at: Option<Micros>,
}

/// An attempt at an engine in slow start, and the budget that it counts against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    /// What the attempt counts for, in thread-seconds.
    pub work: f64,
    /// What this gateway may send to the engine within the window, in thread-seconds.
    pub budget: f64,
}

/// The load that an engine reports. Each field may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Utilisation of its cores, in running threads per core.
    pub utilisation: Option<f64>,
    /// Number of queries in flight.
    pub in_flight: Option<f64>,
    /// Number of queries that wait for memory.
    pub queued: Option<f64>,
    /// Fraction of its memory that is granted.
    pub memory_granted: Option<f64>,
    /// Utilisation of its disks, as a fraction.
    pub disk_utilisation: Option<f64>,
}

/// A load report that one gateway shares with another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoadReport {
    /// The engine that sent the report.
    pub engine: EngineId,
    /// The load that the engine reported.
    pub report: LoadReport,
}
