//! A soak test of the platform controller: dozens of controller processes, with clients behind a
//! proxy, emulated executors and a name service, run under overlapping faults. The result is judged
//! by invariants alone.
//!
//! - [`plan`]: the faults of a run, drawn from its seed.
//! - [`cluster`]: the processes and threads of a run, and the faults as they begin and end.
//! - [`executor`]: an emulated executor, which records when requests arrived.
//! - [`ledger`]: the events recorded at both ends of each connection.
//! - [`judge`]: the invariants, and the bounds within which faults excuse their effects.
//! - [`timeline`]: the events that led to a violation.
//!
//! The invariants are defined in [`judge`]. They use no internal state of a controller, except the
//! violations that its own invariant checks log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arrival;
mod client;
pub mod cluster;
mod controller;
pub mod executor;
mod http;
mod idle_clients;
pub mod judge;
pub mod ledger;
mod name_service;
pub mod plan;
mod proxy;
pub mod settings;
pub mod timeline;

use anyhow::{Context as _, Result};
use cluster::Cluster;
use judge::Verdict;
use plan::Plan;
use std::path::PathBuf;
use std::time::Duration;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults and of the traffic.
    pub seed: u64,
    /// How long clients send requests.
    pub duration: Duration,
    /// The number of controllers.
    pub controllers: usize,
    /// The number of clients of each controller.
    pub clients_per_controller: usize,
    /// The number of executors.
    pub executors: usize,
    /// The controller program.
    pub program: PathBuf,
    /// Where logs are kept.
    pub log_dir: PathBuf,
    /// A fault to plant in the controllers, in builds that support it.
    pub planted_fault: Option<String>,
}

/// Draws the faults of a run from its seed, runs it and judges it.
///
/// # Errors
/// If the run could not be carried out.
pub fn run(options: &SoakOptions) -> Result<Verdict> {
    let plan = Plan::draw(options.seed, options.duration, options.controllers);
    run_plan(options, &plan)
}

/// Runs the faults of a given plan and judges the run.
///
/// # Errors
/// If the run could not be carried out.
pub fn run_plan(options: &SoakOptions, plan: &Plan) -> Result<Verdict> {
    std::fs::create_dir_all(&options.log_dir)
        .with_context(|| format!("cannot create {}", options.log_dir.display()))?;
    let mut cluster = Cluster::start(options, &plan.deployment)?;
    cluster.run_faults(plan, options.duration)?;
    let records = cluster.stop()?;
    let mut verdict = judge::judge(&records);
    timeline::attach(&mut verdict, &records, &options.log_dir);
    Ok(verdict)
}
