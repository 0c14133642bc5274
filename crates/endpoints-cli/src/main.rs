//! `wheelfield-endpoints`: engine files checked, compared, written, applied, who runs which, and who hears whom.

mod membership;

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wheelfield_config::units::Time;
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::{parse, serialize, EngineFile, Topology};
use wheelfield_endpoints::rollout::{self, ControllerStatus, RegressionGuard, StatusSnapshot};
use wheelfield_endpoints::EngineSet;
use wheelfield_endpoints_cli::disk;
use wheelfield_net::http;

/// Bytes of a controller's status at most.
const LONGEST_STATUS: usize = 8 << 20;

/// Engine files: checked, compared, written, applied; and which controller runs which version, and hears whom.
///
/// Exit codes: 0 sound, equal or done, 1 a fault, a difference or a controller behind, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-endpoints", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Whether files are sound: the first fault by file, line, column and mend.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A controller's configuration, whose zones and kinds must be meant; else those of the files are taken.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// How the second set differs from the first; a mere reordering is no difference.
    Diff {
        /// The one,
        one: PathBuf,
        /// the other.
        other: PathBuf,
    },
    /// Writes a file in its usual form: by order of ids, without what need not be said. Comments are lost.
    Fmt {
        /// The file.
        file: PathBuf,
        /// Writes nothing; 1 if it is not so already.
        #[arg(long)]
        check: bool,
    },
    /// Puts a file in the place of the one in force, whole and durably, if that is still the one that was meant.
    Apply {
        /// The new one.
        file: PathBuf,
        /// The one in force.
        target: PathBuf,
        /// The version that must be in force; 0 if there is none yet.
        #[arg(long, value_name = "N")]
        expect: u64,
        /// As for `check`.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Much of the capacity may go at once: `confirmed = true` is written into the file.
        #[arg(long)]
        confirm: bool,
    },
    /// Brings a new file into force in steps: newcomers first, then as many drain, then go; each step waits until all
    /// controllers run it, and for a while. Stops if they refuse more or fail more than before.
    Rollout(RolloutArgs),
    /// Which version each controller runs, by their admin addresses.
    Status {
        /// Admin addresses, such as 127.0.0.1:9801.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// The version that they should run; else the newest that one does.
        #[arg(long, value_name = "N")]
        version: Option<u64>,
    },
    /// Who hears whom among the controllers: cuts one way and views that differ are marked.
    Peers {
        /// Admin addresses, such as 127.0.0.1:9801; of all, for the whole picture.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// Views that differ are looked at again for so long, before that is a fault.
        #[arg(long, value_name = "TIME", default_value = "10s", value_parser = span)]
        within: Time,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Lets the controllers forget one that is gone for good, and counts until somebody says so.
    Forget {
        /// Where the others reached it, such as 127.0.0.1:7946.
        member: SocketAddr,
        /// Admin addresses of controllers, which tell the others.
        #[arg(required = true)]
        controllers: Vec<SocketAddr>,
        /// The controllers' file of keys.
        #[arg(long, value_name = "FILE")]
        keys: PathBuf,
        /// All that are asked must have heard within this.
        #[arg(long, value_name = "TIME", default_value = "10s", value_parser = span)]
        within: Time,
    },
}

#[derive(clap::Args)]
struct RolloutArgs {
    /// The new one.
    file: PathBuf,
    /// The one in force.
    target: PathBuf,
    /// Admin addresses of all controllers, such as 127.0.0.1:9801.
    #[arg(required = true)]
    controllers: Vec<SocketAddr>,
    /// The version that must be in force.
    #[arg(long, value_name = "N")]
    expect: u64,
    /// As for `check`.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Share of the capacity that comes, or drains, in a step; one engine at least.
    #[arg(long, value_name = "X", default_value_t = 0.1)]
    step: f64,
    /// Kinds that newcomers go through before their own, such as some with a quarter and half of its cores: their weights.
    #[arg(long, value_name = "KIND", value_delimiter = ',')]
    through: Vec<String>,
    /// Waited after each step, and watched for worsening; longer than a drain and a cold start take.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    pause: Time,
    /// All controllers must run a step within this.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    within: Time,
    /// The share of refused and failed answers may rise by so much.
    #[arg(long, value_name = "X", default_value_t = RegressionGuard::default().max_increase)]
    worse: f64,
    /// When stopped, the set that was in force at the start is written again.
    #[arg(long)]
    back: bool,
    /// Only shows the steps.
    #[arg(long)]
    plan: bool,
}

fn span(text: &str) -> Result<Time, String> {
    wheelfield_config::units::parse_time(text).map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("wheelfield-endpoints: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<bool> {
    match command {
        Command::Check { files, config } => check(&files, config.as_deref()),
        Command::Diff { one, other } => diff(&one, &other),
        Command::Fmt { file, check } => format(&file, check),
        Command::Apply { file, target, expect, config, confirm } => {
            apply(&file, &target, expect, config.as_deref(), confirm)
        }
        Command::Rollout(args) => roll_out(&args),
        Command::Status { controllers, version } => status(&controllers, version),
        Command::Peers { controllers, within, json } => membership::peers(&controllers, micros(within), json),
        Command::Forget { member, controllers, keys, within } => {
            membership::forget(member, &controllers, &keys, micros(within))
        }
    }
}

fn micros(time: Time) -> Duration {
    Duration::from_micros(time.0 .0.max(0) as u64)
}

fn text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn places(config: Option<&Path>) -> Result<Topology> {
    let Some(path) = config else {
        return Ok(Topology { accept_unknown_names: true, ..Topology::default() });
    };
    let config = wheelfield_config::parse(&path.display().to_string(), &text(path)?)?;
    Ok(Topology { cores: config.settings.cores, names: config.names, accept_unknown_names: false })
}

fn load(path: &Path, places: &mut Topology) -> Result<EngineFile> {
    Ok(parse(&path.display().to_string(), &text(path)?, places)?)
}

fn check(files: &[PathBuf], config: Option<&Path>) -> Result<bool> {
    let mut places = places(config)?;
    for file in files {
        let found = load(file, &mut places)?;
        let engines = found.set.engines.len();
        println!("{}: version {}, {engines} engines, sound", file.display(), found.set.version);
    }
    Ok(true)
}

fn diff(one: &Path, other: &Path) -> Result<bool> {
    let mut places = places(None)?;
    let (a, b) = (load(one, &mut places)?, load(other, &mut places)?);
    let lines = a.set.difference(&b.set);
    lines.iter().for_each(|line| println!("{line}"));
    Ok(lines.is_empty())
}

fn format(file: &Path, check: bool) -> Result<bool> {
    let mut places = places(None)?;
    let before = text(file)?;
    let found = parse(&file.display().to_string(), &before, &mut places)?;
    let after = serialize(&found, &places);
    if before == after {
        return Ok(true);
    }
    if !check {
        disk::write_durably(file, after.as_bytes())
            .with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(!check)
}

/// The lock is the system's: it goes with this process, however that ends.
fn lock(target: &Path) -> Result<File> {
    let path = PathBuf::from(format!("{}.lock", target.display()));
    let lock = File::create(&path).with_context(|| format!("cannot write {}", path.display()))?;
    if lock.try_lock().is_err() {
        bail!("{} is locked: somebody else applies a file just now", target.display());
    }
    Ok(lock)
}

fn apply(file: &Path, target: &Path, expect: u64, config: Option<&Path>, confirm: bool) -> Result<bool> {
    let mut places = places(config)?;
    let mut new = load(file, &mut places)?;
    let _lock = lock(target)?;
    let old = if target.exists() { Some(load(target, &mut places)?) } else { None };
    let in_force = old.as_ref().map_or(0, |o| o.set.version);
    if in_force != expect {
        bail!("version {in_force} is in force, not {expect}: look what changed, and expect that");
    }
    if new.set.version <= in_force {
        bail!("{} has version {}; write {}", file.display(), new.set.version, in_force + 1);
    }
    if let Some(old) = &old {
        let cores =
            if places.cores.is_empty() { vec![1.0; places.names.kinds.len()] } else { places.cores.clone() };
        let (had, left) = (old.set.capacity(&cores), new.set.capacity(&cores));
        let lost = if had > 0.0 { 1.0 - left / had } else { 0.0 };
        if lost > ActivationPolicy::default().max_lost_fraction && !confirm && !new.confirmed {
            bail!(
                "{:.0}% of the capacity would be gone at once; say --confirm if that is meant",
                lost * 100.0
            );
        }
        old.set.difference(&new.set).iter().for_each(|line| println!("{line}"));
    }
    let mut bytes = text(file)?;
    if confirm && !new.confirmed {
        new.confirmed = true;
        bytes = serialize(&new, &places);
    }
    disk::write_durably(target, bytes.as_bytes())
        .with_context(|| format!("cannot write {}", target.display()))?;
    println!("{}: version {} in force of {in_force}", target.display(), new.set.version);
    Ok(true)
}

/// What a controller says of itself.
fn ask(address: SocketAddr) -> Result<serde_json::Value> {
    let response = http::get(address, "/status", Duration::from_secs(2), LONGEST_STATUS)?;
    serde_json::from_slice(&response.body).context("its status can't be read")
}

fn seen(status: &serde_json::Value) -> Result<ControllerStatus> {
    let figure = |name: &str| status["figures"][name].as_u64();
    Ok(ControllerStatus {
        version: figure("list_version").context("no version in its status")?,
        fault: status["members"]["fault"].as_str().unwrap_or("").to_string(),
        served: figure("queries_served").unwrap_or(0),
        rejected: figure("queries_refused").unwrap_or(0),
        failed: figure("queries_failed").unwrap_or(0),
    })
}

/// Asks all, some at a time.
fn ask_all<T: Send>(controllers: &[SocketAddr], of: fn(&serde_json::Value) -> Result<T>) -> Vec<Result<T>> {
    let some = |part: &[SocketAddr]| -> Vec<Result<T>> {
        std::thread::scope(|scope| {
            let asked: Vec<_> = part.iter().map(|c| scope.spawn(|| of(&ask(*c)?))).collect();
            asked.into_iter().map(|t| t.join().unwrap_or_else(|_| bail!("asking it failed"))).collect()
        })
    };
    controllers.chunks(64).flat_map(some).collect()
}

fn round(controllers: &[SocketAddr]) -> StatusSnapshot {
    let seen = ask_all(controllers, seen).into_iter().map(Result::ok);
    controllers.iter().map(ToString::to_string).zip(seen).collect()
}

/// Writes a set, if it still follows the one that was written last.
fn put(target: &Path, expect: u64, set: &EngineSet, confirmed: bool, places: &mut Topology) -> Result<()> {
    let _lock = lock(target)?;
    let in_force = load(target, places)?.set.version;
    if in_force != expect {
        bail!("version {in_force} is in force, not {expect}: somebody else changed it; nothing was written");
    }
    let text = serialize(&EngineFile { set: set.clone(), confirmed, saved_at: None }, places);
    disk::write_durably(target, text.as_bytes()).with_context(|| format!("cannot write {}", target.display()))
}

/// Waits until all run a version, then for the pause; the fault that stops the rollout, if there is one.
fn step(args: &RolloutArgs, version: u64, before: rollout::AnswerCounts) -> Option<String> {
    let pause = micros(args.pause);
    let look = (pause / 10).clamp(Duration::from_millis(5), Duration::from_secs(1));
    let until = Instant::now() + micros(args.within);
    loop {
        let p = rollout::progress(&round(&args.controllers), version);
        if p.behind.is_empty() && p.unreachable.is_empty() {
            break;
        }
        if let Some((who, fault)) = p.faults.first() {
            return Some(format!("{who} does not take version {version}: {fault}"));
        }
        if Instant::now() >= until {
            let (behind, silent) = (p.behind.join(", "), p.unreachable.join(", "));
            return Some(format!("version {version} is not everywhere: behind: {behind}; silent: {silent}"));
        }
        std::thread::sleep(look);
    }
    let guard = RegressionGuard { max_increase: args.worse, ..RegressionGuard::default() };
    let (first, until) = (round(&args.controllers), Instant::now() + pause);
    loop {
        std::thread::sleep(look.min(until.saturating_duration_since(Instant::now())));
        let now = round(&args.controllers);
        if let Some(why) = guard.find_regression(before, rollout::answers_between(&first, &now)) {
            return Some(why);
        }
        if Instant::now() >= until {
            // Controllers that fell silent answer nothing, which is no worsening of their answers.
            let p = rollout::progress(&now, version);
            let gone: Vec<String> = p.unreachable.into_iter().chain(p.behind).collect();
            return (!gone.is_empty()).then(|| {
                format!("silent, or on another version at the end of the pause: {}", gone.join(", "))
            });
        }
    }
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn roll_out(args: &RolloutArgs) -> Result<bool> {
    let mut places = places(args.config.as_deref())?;
    let goal = load(&args.file, &mut places)?;
    let from = load(&args.target, &mut places)?;
    if from.set.version != args.expect {
        bail!(
            "version {} is in force, not {}: look what changed, and expect that",
            from.set.version,
            args.expect
        );
    }
    let cores =
        if places.cores.is_empty() { vec![1.0; places.names.kinds.len()] } else { places.cores.clone() };
    let mut through = Vec::new();
    for kind in &args.through {
        let known = || places.names.kinds.join(", ");
        let at = places.names.kinds.iter().position(|k| k == kind);
        through.push(at.with_context(|| format!("no kind is named `{kind}`; known: {}", known()))?);
    }
    let sets = rollout::plan_steps(&from.set, &goal.set, &cores, args.step, &through)?;
    let all = sets.len();
    if args.plan {
        let mut before = &from.set;
        for (n, set) in sets.iter().enumerate() {
            println!("step {} of {all}, version {}", n + 1, set.version);
            before.difference(set).iter().for_each(|line| println!("  {line}"));
            before = set;
        }
        return Ok(true);
    }
    let start = rollout::progress(&round(&args.controllers), args.expect);
    if !start.unreachable.is_empty() || !start.behind.is_empty() {
        bail!(
            "not all controllers run version {}: behind: {}; silent: {}",
            args.expect,
            start.behind.join(", "),
            start.unreachable.join(", ")
        );
    }
    // How they do before anything changes.
    let first = round(&args.controllers);
    std::thread::sleep(micros(args.pause));
    let before = rollout::answers_between(&first, &round(&args.controllers));
    println!("before: {} answers, {} of them refusals or failures", before.total, before.unsuccessful);
    let mut in_force = args.expect;
    for (n, set) in sets.iter().enumerate() {
        put(&args.target, in_force, set, goal.confirmed, &mut places)?;
        in_force = set.version;
        let Some(why) = step(args, in_force, before) else {
            println!("step {} of {all}: version {in_force} everywhere, no worse", n + 1);
            continue;
        };
        println!("step {} of {all}: STOPPED, {why}", n + 1);
        if args.back {
            let back = EngineSet { version: in_force + 1, ..from.set.clone() };
            // What is taken back was in force a moment ago, however much that is.
            put(&args.target, in_force, &back, true, &mut places)?;
            println!(
                "the engines of version {} are in force again, as version {}",
                args.expect, back.version
            );
        } else {
            println!("version {in_force} stays in force; --back would have taken it back");
        }
        return Ok(false);
    }
    Ok(true)
}

fn status(controllers: &[SocketAddr], version: Option<u64>) -> Result<bool> {
    let answers = ask_all(controllers, seen);
    let newest = answers.iter().filter_map(|a| a.as_ref().ok()).map(|s| s.version).max().unwrap_or(0);
    let wanted = version.unwrap_or(newest);
    let mut behind = 0;
    for (controller, answer) in controllers.iter().zip(&answers) {
        match answer {
            Ok(ControllerStatus { version, fault, .. }) => {
                let late = *version != wanted;
                behind += usize::from(late);
                let word = if late { "  BEHIND" } else { "" };
                println!(
                    "{controller}  version {version}{word}{}",
                    if fault.is_empty() { String::new() } else { format!("  {fault}") }
                );
            }
            Err(fault) => {
                behind += 1;
                println!("{controller}  no answer: {fault:#}");
            }
        }
    }
    println!("{} of {} run version {wanted}", controllers.len() - behind, controllers.len());
    Ok(behind == 0)
}
