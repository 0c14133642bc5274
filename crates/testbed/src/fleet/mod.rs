//! Fleets: many controllers with faults on the links between them. The same script runs on
//! processes, with a relay between them, and in virtual time.
//!
//! - [`script`]: the link faults of a day's script (`[[roads]]`) as a schedule; no I/O.
//! - [`relay`]: forwards datagrams between processes and applies the schedule.
//! - [`judge`]: compares what the processes believed about each other with what happened; no I/O.

pub mod judge;
pub mod relay;
pub mod script;
