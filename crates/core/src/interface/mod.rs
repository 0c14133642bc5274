//! The interface of the policy: its settings, the events that it handles and the actions that it returns. It
//! contains no decisions.

mod actions;
mod endpoints;
mod events;
mod settings;
mod units;

pub use actions::Action;
pub use endpoints::{EngineEntry, LoadReport, PeerLoadReport, SlowStartShare, Status};
pub use events::{AttemptEnd, AttemptUpdate, Event, Outcome, Query};
pub use settings::{Class, DeduplicationScope, ExecutionSemantics, RetryBudget, Settings};
pub use units::{EngineId, Micros, QueryId};
