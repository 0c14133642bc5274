//! The laboratory: a day of traffic and troubles is drawn from a script and a seed, played on real processes (controllers,
//! stand-in engines, clients), and judged from what crossed their sockets.
//!
//! - [`day`]: the script, as TOML.
//! - [`plan`]: the day drawn from it, by seed; no I/O.
//! - [`experiment`]: many days by seeds and variants, resumable; what they come to.
//! - [`series`], [`stats`]: a day's course; whether two things differ; no I/O.
//! - [`explore`]: thousands of drawn days; a failing one made small.
//! - [`fleet`]: controllers with faults on the roads between them; a relay between processes; who believed what.
//! - [`report`]: a page with plots, and a summary.
//! - [`stage`]: the processes.
//! - [`clients`]: what clients do by habit; no I/O.
//! - [`virtual_time`]: a day in one process and in virtual time; no I/O.
//! - [`people`]: the clients without sockets, in an open loop; no I/O.
//! - [`crowd`]: their sockets.
//! - [`evidence`]: a day as the judge of the rules reads it; no I/O.
//! - [`lists`]: its engines as a file that controllers watch.
//! - [`measure`]: what a controller costs.
//! - [`play`]: all of it together, and the report.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod crowd;
pub mod day;
pub mod evidence;
pub mod experiment;
pub mod explore;
pub mod fleet;
pub mod lists;
pub mod measure;
pub mod people;
pub mod plan;
pub mod play;
pub mod report;
pub mod series;
pub mod stage;
pub mod stats;
pub mod virtual_time;
