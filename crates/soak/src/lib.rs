//! A soak test of the platform controller: dozens of processes with clients behind a proxy, emulated executors and a name
//! service, under faults that overlap; judged by invariants alone.
//!
//! - [`plan`]: the faults of a run, drawn from its seed.
//! - [`cluster`]: everything that runs, and the faults as they begin and end.
//! - [`ledger`]: what was seen at both ends of each connection.
//! - [`judge`]: the invariants, and the bounds within which faults excuse what they cause.
//! - [`timeline`]: what led to a violation.
//!
//! What is judged is written in [`judge`]; it never looks into a controller, but for the violations that its own guards log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod cluster;
mod controller;
mod crowd;
mod executor;
mod http;
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

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults and of the traffic.
    pub seed: u64,
    /// How long clients send requests.
    pub duration: Duration,
    /// Controllers.
    pub controllers: usize,
    /// Clients of each controller.
    pub clients_per_controller: usize,
    /// Executors.
    pub executors: usize,
    /// The program.
    pub program: PathBuf,
    /// Where logs are kept.
    pub log_dir: PathBuf,
    /// A fault planted in the controllers, in builds that have them.
    pub planted_fault: Option<String>,
}

/// Plays a run and judges it.
///
/// # Errors
/// If the run could not be played.
pub fn run(options: &SoakOptions) -> Result<Verdict> {
    let plan = Plan::draw(options.seed, options.duration, options.controllers);
    run_plan(options, &plan)
}

/// Plays a run with these faults and judges it.
///
/// # Errors
/// If the run could not be played.
pub fn run_plan(options: &SoakOptions, plan: &Plan) -> Result<Verdict> {
    std::fs::create_dir_all(&options.log_dir)
        .with_context(|| format!("cannot make {}", options.log_dir.display()))?;
    let mut cluster = Cluster::start(options, &plan.deployment)?;
    cluster.play(plan, options.duration)?;
    let records = cluster.stop()?;
    let mut verdict = judge::judge(&records);
    timeline::attach(&mut verdict, &records, &options.log_dir);
    Ok(verdict)
}
