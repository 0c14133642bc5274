//! The test bed: a scenario of traffic and faults, called a day, is drawn from a script and a seed, run on real processes
//! (controllers, emulated engines, clients), and checked against the rules from what crossed their sockets.
//!
//! - [`day`]: the script, as TOML.
//! - [`plan`]: the traffic and faults that are drawn from it, by seed; no I/O.
//! - [`experiment`]: many runs by seeds and variants, resumable, and their results.
//! - [`series`], [`stats`]: figures over the time of a run; statistical tests of differences; no I/O.
//! - [`explore`]: thousands of drawn scenarios; failing ones are shrunk.
//! - [`fleet`]: controllers with network faults between them, a relay between processes, and a check of what they believed.
//! - [`report`]: a page with plots, and a summary.
//! - [`cluster`]: the engines and controllers of a run on processes.
//! - [`processes`]: programs as child processes.
//! - [`loopback_address`]: IP addresses for their sockets.
//! - [`clients`]: how clients behave; no I/O.
//! - [`virtual_time`]: a run in one process and in virtual time; no I/O.
//! - [`client_model`]: open-loop clients without sockets; no I/O.
//! - [`client_pool`]: their sockets.
//! - [`evidence`]: the history of a run in the form that the rule checker reads; no I/O.
//! - [`lists`]: the engines as a file that controllers watch.
//! - [`system_faults`]: faults of the operating system in controllers.
//! - [`measure`]: the cost of a query in a controller.
//! - [`play`]: a whole run with its checks and report.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client_model;
pub mod client_pool;
pub mod clients;
pub mod cluster;
mod controller_addresses;
pub mod day;
pub mod evidence;
pub mod experiment;
pub mod explore;
pub mod fleet;
pub mod lists;
pub mod loopback_address;
pub mod measure;
pub mod plan;
pub mod play;
pub mod processes;
pub mod report;
pub mod series;
pub mod stats;
pub mod system_faults;
pub mod virtual_time;
