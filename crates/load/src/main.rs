//! `wheelfield-load`: an open-loop load generator for PostgreSQL-speaking targets.

use anyhow::{ensure, Context, Result};
use clap::{Args, Parser, Subcommand};
use std::io::{IsTerminal as _, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use wheelfield_config::units::{parse_time, Time};
use wheelfield_console::{err, errln, outln};
use wheelfield_load::runner::{self, RunOptions};
use wheelfield_load::schedule;
use wheelfield_load::script::Script;
use wheelfield_load::stats::{LoadStats, StoredStats, StreamStats};
use wheelfield_load::view::Screen;

/// Open-loop load generator: sends the queries of a script at times generated in advance, however
/// slowly earlier queries are answered, and measures latency from those times.
///
/// Exit codes: 0 for a valid run, 1 for an invalid run (the generator itself was late) or a
/// failure, 2 for incorrect usage.
#[derive(Parser)]
#[command(name = "wheelfield-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the load described by a script.
    Run(RunArgs),
    /// Checks a script and prints how many queries each stream would send in each second.
    Plan {
        /// Path of the load script.
        script: PathBuf,
        /// Seed of the schedule.
        #[arg(long, value_name = "N", default_value_t = 1)]
        seed: u64,
    },
    /// Merges the results of several processes without loss of precision.
    Merge {
        /// Result directories written with --out.
        #[arg(required = true)]
        dirs: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct RunArgs {
    /// Path of the load script.
    script: PathBuf,
    /// Target address; several are separated by commas.
    #[arg(long = "target", value_name = "ADDR", required = true, value_delimiter = ',')]
    targets: Vec<SocketAddr>,
    /// User name for streams without tenants.
    #[arg(long, default_value = "load")]
    user: String,
    /// Database name.
    #[arg(long, default_value = "load")]
    database: String,
    /// Seed of the schedule; the same script and seed give the same queries.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Number of worker threads; each sends a part of the queries.
    #[arg(long, value_name = "N", default_value_t = 1)]
    workers: usize,
    /// Maximum p99 lateness of the generator; a run above it is invalid.
    #[arg(long = "late", value_name = "TIME", default_value = "5ms", value_parser = parse_time_arg)]
    max_lateness: Time,
    /// Directory for the results: total.json, latency.hlog, seconds.jsonl.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the results as one JSON object.
    #[arg(long)]
    json: bool,
    /// Shows a live view in the terminal.
    #[arg(long)]
    tui: bool,
    /// Admin address of a controller whose engines the live view shows.
    #[arg(long, value_name = "ADDR")]
    admin: Option<SocketAddr>,
}

fn parse_time_arg(text: &str) -> Result<Time, String> {
    parse_time(text).map_err(|error| error.to_string())
}

fn read_script(path: &Path) -> Result<Script> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    Ok(Script::parse(&path.display().to_string(), &text)?)
}

fn main() -> ExitCode {
    wheelfield_console::exit_code(run_program())
}

fn run_program() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Run(args) => match read_script(&args.script).and_then(|s| check_args(&s, &args).map(|()| s))
        {
            Ok(script) => run(&script, &args),
            Err(error) => return usage_error(&error),
        },
        Command::Plan { script, seed } => match read_script(&script) {
            Ok(script) => plan(&script, seed),
            Err(error) => return usage_error(&error),
        },
        Command::Merge { dirs } => merge(&dirs),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            errln!("wheelfield-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(error: &anyhow::Error) -> ExitCode {
    errln!("wheelfield-load: {error:#}");
    ExitCode::from(2)
}

fn check_args(script: &Script, args: &RunArgs) -> Result<()> {
    for target in &args.targets {
        ensure!(target.ip().is_loopback(), "{target} is not a loopback address; use one of 127.0.0.0/8");
    }
    runner::raise_fd_limit(script.max_connections)
}

fn generate_schedule(script: &Script, seed: u64) -> Result<Vec<schedule::ScheduledQuery>> {
    schedule::generate(script, seed).map_err(|_| {
        anyhow::anyhow!(
            "the script asks for more than {} queries; shorten the run or lower the rates",
            schedule::MAX_QUERIES
        )
    })
}

fn plan(script: &Script, seed: u64) -> Result<bool> {
    let schedule = generate_schedule(script, seed)?;
    let seconds = (script.duration.0 .0 as usize).div_ceil(1_000_000);
    outln!("second {}", script.streams.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(" "));
    let mut counts = vec![vec![0_u32; script.streams.len()]; seconds];
    schedule.iter().for_each(|q| counts[(q.at_us / 1_000_000) as usize][q.stream as usize] += 1);
    for (second, row) in counts.iter().enumerate() {
        outln!("{second} {}", row.iter().map(u32::to_string).collect::<Vec<_>>().join(" "));
    }
    Ok(true)
}

/// Fetches the id and status of the engines from the admin address of a controller; returns none if
/// the request fails.
fn fetch_engines(admin: SocketAddr) -> Vec<(String, String)> {
    let fetch = || -> Result<Vec<(String, String)>> {
        let response = wheelfield_net::http::get(admin, "/status", Duration::from_millis(200), 8 << 20)?;
        let status: serde_json::Value = serde_json::from_slice(&response.body)?;
        let field = |engine: &serde_json::Value, name: &str| engine[name].as_str().unwrap_or("?").to_string();
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        Ok(engines.iter().map(|e| (field(e, "id"), field(e, "status"))).collect())
    };
    fetch().unwrap_or_default()
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn run(script: &Script, args: &RunArgs) -> Result<bool> {
    let schedule = generate_schedule(script, args.seed)?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let options = RunOptions {
        targets: args.targets.clone(),
        user: args.user.clone(),
        database: args.database.clone(),
        workers: args.workers.clamp(1, 64),
        seed: args.seed,
    };
    let mut seconds = match &args.out {
        Some(dir) => {
            std::fs::create_dir_all(dir).with_context(|| format!("cannot create {}", dir.display()))?;
            Some(std::io::BufWriter::new(std::fs::File::create(dir.join("seconds.jsonl"))?))
        }
        None => None,
    };
    let mut screen = if args.tui { Some(Screen::open()?) } else { None };
    let (duration_s, max_lateness_us) =
        (script.duration.0 .0 as f64 / 1e6, args.max_lateness.0 .0.max(0) as u64);
    let (mut next_second, mut view_error) = (1.0, None);
    let progress = !args.json && !args.tui && std::io::stderr().is_terminal();
    let on_progress = |elapsed_s: f64, stats: &LoadStats| {
        if elapsed_s >= next_second {
            next_second = elapsed_s.floor() + 1.0;
            let all = stats.combined();
            if let Some(out) = &mut seconds {
                let line = serde_json::json!({"at_s": elapsed_s, "wanted": all.scheduled, "sent": all.sent,
                    "ends": all.outcomes,
                    "p50_us": all.latency.value_at_quantile(0.5), "p99_us": all.latency.value_at_quantile(0.99),
                    "late_p99_us": stats.lateness.value_at_quantile(0.99)});
                let _ = writeln!(out, "{line}");
            }
            if progress {
                err!(
                    "\r{elapsed_s:.0} of {duration_s:.0} s: {} wanted, {} sent, {:?}   ",
                    all.scheduled,
                    all.sent,
                    all.outcomes
                );
            }
            if let (Some(s), Some(admin)) = (&mut screen, args.admin) {
                s.view.engines = fetch_engines(admin);
            }
        }
        if let Some(s) = &mut screen {
            s.view.update(elapsed_s, stats);
            match s.show(&script.name, duration_s, max_lateness_us) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(error) => {
                    view_error = Some(error);
                    return false;
                }
            }
        }
        !stop.load(Ordering::Relaxed)
    };
    let (total, elapsed) = runner::run(script, &schedule, &options, on_progress)?;
    drop(screen);
    if progress {
        err!("\n");
    }
    if let Some(error) = view_error {
        return Err(error.context("cannot show the live view"));
    }
    if let Some(dir) = &args.out {
        std::fs::write(dir.join("total.json"), serde_json::to_vec(&total.to_stored()?)?)?;
        std::fs::write(dir.join("latency.hlog"), total.to_hdr_log(elapsed)?)?;
    }
    let invalid_reason = total.invalid_reason(max_lateness_us);
    print(&total, elapsed, invalid_reason.as_deref(), args.json)?;
    Ok(invalid_reason.is_none())
}

fn merge(dirs: &[PathBuf]) -> Result<bool> {
    let mut total = LoadStats::default();
    for dir in dirs {
        let path = dir.join("total.json");
        let text = std::fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
        let stored: StoredStats =
            serde_json::from_slice(&text).with_context(|| path.display().to_string())?;
        total.merge(&LoadStats::from_stored(&stored)?);
    }
    print(&total, Duration::ZERO, None, false)?;
    Ok(true)
}

fn stream_json(stats: &StreamStats) -> serde_json::Value {
    let quantiles = |h: &hdrhistogram::Histogram<u64>| {
        let q = |x: f64| h.value_at_quantile(x);
        serde_json::json!({"p50": q(0.5), "p90": q(0.9), "p99": q(0.99), "p99.9": q(0.999), "max": h.max()})
    };
    serde_json::json!({"wanted": stats.scheduled, "sent": stats.sent, "ends": stats.outcomes,
        "retries": stats.retries, "starved": stats.waited_for_connection,
        "latency_us": quantiles(&stats.latency), "service_us": quantiles(&stats.service)})
}

fn print(total: &LoadStats, elapsed: Duration, invalid_reason: Option<&str>, as_json: bool) -> Result<()> {
    let mut out = std::io::stdout().lock();
    if as_json {
        let streams: serde_json::Map<String, serde_json::Value> =
            total.streams.iter().map(|(name, t)| (name.clone(), stream_json(t))).collect();
        let line = serde_json::json!({"valid": invalid_reason.is_none(), "why_not": invalid_reason,
            "took_s": elapsed.as_secs_f64(),
            "late_p99_us": total.lateness.value_at_quantile(0.99), "late_max_us": total.lateness.max(),
            "opened": total.connections_opened, "not_opened": total.connections_failed,
            "all": stream_json(&total.combined()), "streams": streams});
        writeln!(out, "{line}")?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>11}",
        "stream", "wanted", "served", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "service p99"
    )?;
    let all = total.combined();
    for (name, t) in total.streams.iter().map(|(n, t)| (n.as_str(), t)).chain([("all", &all)]) {
        let q = |x: f64| t.latency.value_at_quantile(x) as f64 / 1e3;
        writeln!(
            out,
            "{name:<16} {:>9} {:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>11.2}",
            t.scheduled,
            t.outcome_count(wheelfield_load::stats::SERVED),
            q(0.5),
            q(0.9),
            q(0.99),
            q(0.999),
            t.latency.max() as f64 / 1e3,
            t.service.value_at_quantile(0.99) as f64 / 1e3
        )?;
    }
    let outcomes: Vec<String> =
        all.outcomes.iter().map(|(outcome, count)| format!("{count} {outcome}")).collect();
    writeln!(
        out,
        "{}; {} retries; {} attempts waited for a connection",
        outcomes.join(", "),
        all.retries,
        all.waited_for_connection
    )?;
    writeln!(
        out,
        "{} connections opened, {} failed; generator lateness {:.2} ms (p99), {:.2} ms (max)",
        total.connections_opened,
        total.connections_failed,
        total.lateness.value_at_quantile(0.99) as f64 / 1e3,
        total.lateness.max() as f64 / 1e3
    )?;
    if let Some(reason) = invalid_reason {
        writeln!(out, "INVALID: {reason}")?;
    }
    Ok(())
}
