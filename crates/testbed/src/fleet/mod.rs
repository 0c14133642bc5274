//! Fleets: many controllers with faults on the roads between them. The same script plays on processes, with a relay between
//! them, and in virtual time.
//!
//! - [`script`]: `[[roads]]` of a day's script, as a timetable; no I/O.
//! - [`relay`]: carries datagrams between processes by that timetable.
//! - [`judge`]: what the processes believed of each other, against what was so; no I/O.

pub mod judge;
pub mod relay;
pub mod script;
