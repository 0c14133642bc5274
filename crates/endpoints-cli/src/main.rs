//! `wheelfield-endpoints`: checks, compares, formats and applies engine files, and queries controllers for the versions they
//! run and for their membership.

mod membership;

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wheelfield_config::units::Time;
use wheelfield_console::{errln, outln};
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::{parse, serialize, EngineFile, Topology};
use wheelfield_endpoints::rollout::{self, ControllerStatus, RegressionGuard, StatusSnapshot};
use wheelfield_endpoints::EngineSet;
use wheelfield_endpoints_cli::disk;
use wheelfield_net::http;

/// Maximum size of a controller's status page, in bytes.
const MAX_STATUS_BYTES: usize = 8 << 20;

/// Checks, compares, formats and applies engine files, and shows which versions the controllers run and which of them are
/// connected.
///
/// Exit codes: 0 valid, equal or done; 1 an error, a difference, or a controller that is behind; 2 invalid arguments.
#[derive(Parser)]
#[command(name = "wheelfield-endpoints", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks files, and reports the first error with file, line, column and a suggestion.
    Check {
        /// The engine files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A controller's configuration, which defines the allowed zones and kinds; by default any are allowed.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Shows how the second file differs from the first, regardless of the order of engines.
    Diff {
        /// The old file.
        #[arg(value_name = "ONE")]
        old: PathBuf,
        /// The new file.
        #[arg(value_name = "OTHER")]
        new: PathBuf,
    },
    /// Formats a file: engines sorted by id, default values omitted. Comments are lost.
    Fmt {
        /// The engine file.
        file: PathBuf,
        /// Writes nothing; the exit code is 1 if the file is not formatted.
        #[arg(long)]
        check: bool,
    },
    /// Replaces the active file by a new one, atomically and durably, if the active file still has the expected version.
    Apply {
        /// The new file.
        file: PathBuf,
        /// The active file.
        target: PathBuf,
        /// The version that the active file must have; 0 if there is none yet.
        #[arg(long, value_name = "N")]
        expect: u64,
        /// As for `check`.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Allows a change that removes much of the capacity: writes `confirmed = true` into the file.
        #[arg(long)]
        confirm: bool,
    },
    /// Applies a new file in steps that add engines, then drain as many others, and then remove those. After each step, waits
    /// until all controllers run it, and for the pause. Stops if controllers reject or fail more queries than before.
    Rollout(RolloutArgs),
    /// Shows which version each controller runs.
    Status {
        /// Admin addresses of the controllers, such as 127.0.0.1:9801.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// The version that they should run; by default the newest that any of them runs.
        #[arg(long, value_name = "N")]
        version: Option<u64>,
    },
    /// Shows which controllers receive packets of which others, and marks one-way failures and views that differ.
    Peers {
        /// Admin addresses, such as 127.0.0.1:9801; pass those of all controllers for a complete matrix.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// How long to query again while views differ, before that is an error.
        #[arg(long = "within", value_name = "TIME", default_value = "10s", value_parser = parse_time)]
        timeout: Time,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Evicts a controller that is gone for good, which the others count as a member until then.
    Forget {
        /// The gossip address of that controller, such as 127.0.0.1:7946.
        member: SocketAddr,
        /// Admin addresses of controllers; they inform the others.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// The controllers' key file.
        #[arg(long, value_name = "FILE")]
        keys: PathBuf,
        /// How long to wait until all given controllers have accepted the eviction.
        #[arg(long = "within", value_name = "TIME", default_value = "10s", value_parser = parse_time)]
        timeout: Time,
    },
}

#[derive(clap::Args)]
struct RolloutArgs {
    /// The new file.
    file: PathBuf,
    /// The active file.
    target: PathBuf,
    /// Admin addresses of all controllers, such as 127.0.0.1:9801.
    #[arg(required = true)]
    controllers: Vec<SocketAddr>,
    /// The version that the active file must have.
    #[arg(long, value_name = "N")]
    expect: u64,
    /// As for `check`.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The fraction of the capacity that is added, or drained, in one step; at least one engine.
    #[arg(long = "step", value_name = "X", default_value_t = 0.1)]
    step_fraction: f64,
    /// Kinds under which an added engine is listed first, one step each, such as kinds with a quarter and half of its cores:
    /// it starts with their lower weights.
    #[arg(long = "through", value_name = "KIND", value_delimiter = ',')]
    ramp_kinds: Vec<String>,
    /// How long to wait after each step and watch for a regression; choose it longer than a drain and a cold start take.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = parse_time)]
    pause: Time,
    /// How long all controllers may take to run a step.
    #[arg(long = "within", value_name = "TIME", default_value = "30s", value_parser = parse_time)]
    timeout: Time,
    /// The maximum increase of the fraction of rejections and failures among all answers.
    #[arg(long = "worse", value_name = "X", default_value_t = RegressionGuard::default().max_increase)]
    max_increase: f64,
    /// When the rollout stops, restores the engines that were active at the start.
    #[arg(long = "back")]
    restore: bool,
    /// Only shows the steps.
    #[arg(long = "plan")]
    plan_only: bool,
}

fn parse_time(text: &str) -> Result<Time, String> {
    wheelfield_config::units::parse_time(text).map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    wheelfield_console::exit_code(run_program())
}

fn run_program() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            errln!("wheelfield-endpoints: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<bool> {
    match command {
        Command::Check { files, config } => check(&files, config.as_deref()),
        Command::Diff { old, new } => diff(&old, &new),
        Command::Fmt { file, check } => format_file(&file, check),
        Command::Apply { file, target, expect, config, confirm } => {
            apply(&file, &target, expect, config.as_deref(), confirm)
        }
        Command::Rollout(args) => roll_out(&args),
        Command::Status { controllers, version } => status(&controllers, version),
        Command::Peers { controllers, timeout, json } => {
            membership::peers(&controllers, to_duration(timeout), json)
        }
        Command::Forget { member, controllers, keys, timeout } => {
            membership::forget(member, &controllers, &keys, to_duration(timeout))
        }
    }
}

fn to_duration(time: Time) -> Duration {
    Duration::from_micros(time.0 .0.max(0) as u64)
}

fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn load_topology(config: Option<&Path>) -> Result<Topology> {
    let Some(path) = config else {
        return Ok(Topology { accept_unknown_names: true, ..Topology::default() });
    };
    let config = wheelfield_config::parse(&path.display().to_string(), &read_text(path)?)?;
    Ok(Topology { cores: config.settings.cores, names: config.names, accept_unknown_names: false })
}

fn load_file(path: &Path, topology: &mut Topology) -> Result<EngineFile> {
    Ok(parse(&path.display().to_string(), &read_text(path)?, topology)?)
}

fn check(files: &[PathBuf], config: Option<&Path>) -> Result<bool> {
    let mut topology = load_topology(config)?;
    for file in files {
        let parsed = load_file(file, &mut topology)?;
        let engines = parsed.set.engines.len();
        outln!("{}: version {}, {engines} engines, valid", file.display(), parsed.set.version);
    }
    Ok(true)
}

fn diff(old: &Path, new: &Path) -> Result<bool> {
    let mut topology = load_topology(None)?;
    let (a, b) = (load_file(old, &mut topology)?, load_file(new, &mut topology)?);
    let lines = a.set.difference(&b.set);
    lines.iter().for_each(|line| outln!("{line}"));
    Ok(lines.is_empty())
}

fn format_file(file: &Path, check: bool) -> Result<bool> {
    let mut topology = load_topology(None)?;
    let before = read_text(file)?;
    let parsed = parse(&file.display().to_string(), &before, &mut topology)?;
    let after = serialize(&parsed, &topology);
    if before == after {
        return Ok(true);
    }
    if !check {
        disk::write_durably(file, after.as_bytes())
            .with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(!check)
}

/// Locks the target against other processes. The operating system releases the lock when this process ends, however it ends.
fn lock_target(target: &Path) -> Result<File> {
    let path = PathBuf::from(format!("{}.lock", target.display()));
    let lock = File::create(&path).with_context(|| format!("cannot write {}", path.display()))?;
    if lock.try_lock().is_err() {
        bail!("{} is locked: another process is applying a file", target.display());
    }
    Ok(lock)
}

fn apply(file: &Path, target: &Path, expect: u64, config: Option<&Path>, confirm: bool) -> Result<bool> {
    let mut topology = load_topology(config)?;
    let mut new = load_file(file, &mut topology)?;
    let _lock = lock_target(target)?;
    let old = if target.exists() { Some(load_file(target, &mut topology)?) } else { None };
    let active_version = old.as_ref().map_or(0, |o| o.set.version);
    if active_version != expect {
        bail!("version {active_version} is active, not {expect}: check what changed, and pass its version to --expect");
    }
    if new.set.version <= active_version {
        bail!(
            "{} has version {}; set it to {} or higher",
            file.display(),
            new.set.version,
            active_version + 1
        );
    }
    if let Some(old) = &old {
        let cores = if topology.cores.is_empty() {
            vec![1.0; topology.names.kinds.len()]
        } else {
            topology.cores.clone()
        };
        let lost_fraction = old.set.lost_fraction(&new.set, &cores);
        if lost_fraction > ActivationPolicy::default().max_lost_fraction && !confirm && !new.confirmed {
            bail!(
                "{:.0}% of the capacity would be removed at once; pass --confirm if this is intended",
                lost_fraction * 100.0
            );
        }
        old.set.difference(&new.set).iter().for_each(|line| outln!("{line}"));
    }
    let mut bytes = read_text(file)?;
    if confirm && !new.confirmed {
        new.confirmed = true;
        bytes = serialize(&new, &topology);
    }
    disk::write_durably(target, bytes.as_bytes())
        .with_context(|| format!("cannot write {}", target.display()))?;
    outln!("{}: version {} replaces version {active_version}", target.display(), new.set.version);
    Ok(true)
}

/// Queries the status page of a controller.
fn query_status(address: SocketAddr) -> Result<serde_json::Value> {
    let response = http::get(address, "/status", Duration::from_secs(2), MAX_STATUS_BYTES)?;
    serde_json::from_slice(&response.body).context("its status cannot be parsed")
}

fn controller_status(status: &serde_json::Value) -> Result<ControllerStatus> {
    let counter = |name: &str| status["figures"][name].as_u64();
    Ok(ControllerStatus {
        version: counter("list_version").context("its status has no version")?,
        fault: status["members"]["fault"].as_str().unwrap_or("").to_string(),
        served: counter("queries_served").unwrap_or(0),
        rejected: counter("queries_refused").unwrap_or(0),
        failed: counter("queries_failed").unwrap_or(0),
    })
}

/// Queries all controllers, up to 64 at a time, and converts their statuses.
fn query_all<T: Send>(
    controllers: &[SocketAddr],
    convert: fn(&serde_json::Value) -> Result<T>,
) -> Vec<Result<T>> {
    let query_chunk = |chunk: &[SocketAddr]| -> Vec<Result<T>> {
        std::thread::scope(|scope| {
            let threads: Vec<_> = chunk.iter().map(|c| scope.spawn(|| convert(&query_status(*c)?))).collect();
            threads
                .into_iter()
                .map(|t| t.join().unwrap_or_else(|_| bail!("the request thread panicked")))
                .collect()
        })
    };
    controllers.chunks(64).flat_map(query_chunk).collect()
}

fn query_snapshot(controllers: &[SocketAddr]) -> StatusSnapshot {
    let statuses = query_all(controllers, controller_status).into_iter().map(Result::ok);
    controllers.iter().map(ToString::to_string).zip(statuses).collect()
}

/// Writes a set to the target file, if that still has the expected version.
fn write_set(
    target: &Path,
    expect: u64,
    set: &EngineSet,
    confirmed: bool,
    topology: &mut Topology,
) -> Result<()> {
    let _lock = lock_target(target)?;
    let active_version = load_file(target, topology)?.set.version;
    if active_version != expect {
        bail!("version {active_version} is active, not {expect}: the file was changed meanwhile; nothing was written");
    }
    let text = serialize(&EngineFile { set: set.clone(), confirmed, saved_at: None }, topology);
    disk::write_durably(target, text.as_bytes()).with_context(|| format!("cannot write {}", target.display()))
}

/// Waits until all controllers run a version, and then for the pause. Returns the reason to stop the rollout, if there is one.
fn run_step(args: &RolloutArgs, version: u64, before: rollout::AnswerCounts) -> Option<String> {
    let pause = to_duration(args.pause);
    let poll_interval = (pause / 10).clamp(Duration::from_millis(5), Duration::from_secs(1));
    let deadline = Instant::now() + to_duration(args.timeout);
    loop {
        let p = rollout::progress(&query_snapshot(&args.controllers), version);
        if p.behind.is_empty() && p.unreachable.is_empty() {
            break;
        }
        if let Some((controller, fault)) = p.faults.first() {
            return Some(format!("{controller} does not accept version {version}: {fault}"));
        }
        if Instant::now() >= deadline {
            let (behind, unreachable) = (p.behind.join(", "), p.unreachable.join(", "));
            return Some(format!(
                "not all controllers run version {version}: behind: {behind}; no answer: {unreachable}"
            ));
        }
        std::thread::sleep(poll_interval);
    }
    let guard = RegressionGuard { max_increase: args.max_increase, ..RegressionGuard::default() };
    let (first, deadline) = (query_snapshot(&args.controllers), Instant::now() + pause);
    loop {
        std::thread::sleep(poll_interval.min(deadline.saturating_duration_since(Instant::now())));
        let now = query_snapshot(&args.controllers);
        if let Some(why) = guard.find_regression(before, rollout::answers_between(&first, &now)) {
            return Some(why);
        }
        if Instant::now() >= deadline {
            // Controllers that stopped responding add no answers, so the comparison above does not notice them.
            let p = rollout::progress(&now, version);
            let lagging: Vec<String> = p.unreachable.into_iter().chain(p.behind).collect();
            return (!lagging.is_empty()).then(|| {
                format!("no answer, or another version, at the end of the pause: {}", lagging.join(", "))
            });
        }
    }
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn roll_out(args: &RolloutArgs) -> Result<bool> {
    let mut topology = load_topology(args.config.as_deref())?;
    let goal = load_file(&args.file, &mut topology)?;
    let from = load_file(&args.target, &mut topology)?;
    if from.set.version != args.expect {
        bail!(
            "version {} is active, not {}: check what changed, and pass its version to --expect",
            from.set.version,
            args.expect
        );
    }
    let cores = if topology.cores.is_empty() {
        vec![1.0; topology.names.kinds.len()]
    } else {
        topology.cores.clone()
    };
    let mut ramp_kinds = Vec::new();
    for kind in &args.ramp_kinds {
        let known_names = || topology.names.kinds.join(", ");
        let at = topology.names.kinds.iter().position(|k| k == kind);
        ramp_kinds.push(at.with_context(|| format!("no kind is named `{kind}`; known: {}", known_names()))?);
    }
    let sets = rollout::plan_steps(&from.set, &goal.set, &cores, args.step_fraction, &ramp_kinds)?;
    let all = sets.len();
    if args.plan_only {
        let mut before = &from.set;
        for (n, set) in sets.iter().enumerate() {
            outln!("step {} of {all}, version {}", n + 1, set.version);
            before.difference(set).iter().for_each(|line| outln!("  {line}"));
            before = set;
        }
        return Ok(true);
    }
    let start = rollout::progress(&query_snapshot(&args.controllers), args.expect);
    if !start.unreachable.is_empty() || !start.behind.is_empty() {
        bail!(
            "not all controllers run version {}: behind: {}; no answer: {}",
            args.expect,
            start.behind.join(", "),
            start.unreachable.join(", ")
        );
    }
    // Measures the answers before anything changes, for comparison.
    let first = query_snapshot(&args.controllers);
    std::thread::sleep(to_duration(args.pause));
    let before = rollout::answers_between(&first, &query_snapshot(&args.controllers));
    outln!(
        "before the first step: {} answers, {} of them rejections or failures",
        before.total,
        before.unsuccessful
    );
    let mut active_version = args.expect;
    for (n, set) in sets.iter().enumerate() {
        write_set(&args.target, active_version, set, goal.confirmed, &mut topology)?;
        active_version = set.version;
        let Some(why) = run_step(args, active_version, before) else {
            outln!("step {} of {all}: all controllers run version {active_version}, no regression", n + 1);
            continue;
        };
        outln!("step {} of {all}: STOPPED, {why}", n + 1);
        if args.restore {
            let previous = EngineSet { version: active_version + 1, ..from.set.clone() };
            // Restoring is confirmed however much capacity it removes, as these engines were active before the rollout.
            write_set(&args.target, active_version, &previous, true, &mut topology)?;
            outln!(
                "the engines of version {} are active again, as version {}",
                args.expect,
                previous.version
            );
        } else {
            outln!("version {active_version} stays active; --back would have restored the previous engines");
        }
        return Ok(false);
    }
    Ok(true)
}

fn status(controllers: &[SocketAddr], version: Option<u64>) -> Result<bool> {
    let answers = query_all(controllers, controller_status);
    let newest = answers.iter().filter_map(|a| a.as_ref().ok()).map(|s| s.version).max().unwrap_or(0);
    let expected = version.unwrap_or(newest);
    let mut behind = 0;
    for (controller, answer) in controllers.iter().zip(&answers) {
        match answer {
            Ok(ControllerStatus { version, fault, .. }) => {
                let is_behind = *version != expected;
                behind += usize::from(is_behind);
                let mark = if is_behind { "  BEHIND" } else { "" };
                outln!(
                    "{controller}  version {version}{mark}{}",
                    if fault.is_empty() { String::new() } else { format!("  {fault}") }
                );
            }
            Err(fault) => {
                behind += 1;
                outln!("{controller}  no answer: {fault:#}");
            }
        }
    }
    outln!("{} of {} run version {expected}", controllers.len() - behind, controllers.len());
    Ok(behind == 0)
}
