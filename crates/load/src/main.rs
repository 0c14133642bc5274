//! `wheelfield-load`: an open-loop load on PostgreSQL-speaking targets.

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
use wheelfield_load::runner::{self, Plans};
use wheelfield_load::schedule;
use wheelfield_load::script::Script;
use wheelfield_load::tally::{Kept, Tally, Total};
use wheelfield_load::view::Screen;

/// An open-loop load: sends what a script asks for at the times drawn from it, whatever becomes of the rest, and counts
/// latency from those times.
///
/// Exit codes: 0 a valid run, 1 an invalid one (the generator itself was late) or one that fell through, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a load.
    Run(RunArgs),
    /// Checks a script, and tells how many queries each stream would send in each second.
    Plan {
        /// The script.
        script: PathBuf,
        /// Seed of the sends.
        #[arg(long, value_name = "N", default_value_t = 1)]
        seed: u64,
    },
    /// Merges the results of several processes, without loss.
    Merge {
        /// Folders of --out.
        #[arg(required = true)]
        dirs: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct RunArgs {
    /// The script.
    script: PathBuf,
    /// Where queries go: an address, or several.
    #[arg(long, value_name = "ADDR", required = true, value_delimiter = ',')]
    target: Vec<SocketAddr>,
    /// User, where a stream has no tenants.
    #[arg(long, default_value = "load")]
    user: String,
    /// Database.
    #[arg(long, default_value = "load")]
    database: String,
    /// Seed of the sends; the same script and seed send the same.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Threads; each sends its part.
    #[arg(long, value_name = "N", default_value_t = 1)]
    workers: usize,
    /// A run in which the generator was later than this (p99) is invalid.
    #[arg(long, value_name = "TIME", default_value = "5ms", value_parser = span)]
    late: Time,
    /// Keeps results here: total.json, latency.hlog, seconds.jsonl.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the results as one JSON object.
    #[arg(long)]
    json: bool,
    /// A live view.
    #[arg(long)]
    tui: bool,
    /// A controller's admin address, whose engines the live view shows.
    #[arg(long, value_name = "ADDR")]
    admin: Option<SocketAddr>,
}

fn span(text: &str) -> Result<Time, String> {
    parse_time(text).map_err(|error| error.to_string())
}

fn read(path: &Path) -> Result<Script> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    Ok(Script::parse(&path.display().to_string(), &text)?)
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(args) => match read(&args.script).and_then(|s| sound(&s, &args).map(|()| s)) {
            Ok(script) => run(&script, &args),
            Err(fault) => return bad_use(&fault),
        },
        Command::Plan { script, seed } => match read(&script) {
            Ok(script) => plan(&script, seed),
            Err(fault) => return bad_use(&fault),
        },
        Command::Merge { dirs } => merge(&dirs),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("wheelfield-load: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn bad_use(fault: &anyhow::Error) -> ExitCode {
    eprintln!("wheelfield-load: {fault:#}");
    ExitCode::from(2)
}

fn sound(script: &Script, args: &RunArgs) -> Result<()> {
    for target in &args.target {
        ensure!(target.ip().is_loopback(), "{target} is not a loopback address; use one of 127.0.0.0/8");
    }
    runner::make_room(script.connections)
}

fn draw(script: &Script, seed: u64) -> Result<Vec<schedule::Send>> {
    schedule::draw(script, seed).map_err(|_| {
        anyhow::anyhow!("more than {} queries; ask for a shorter run, or less", schedule::MOST_SENDS)
    })
}

fn plan(script: &Script, seed: u64) -> Result<bool> {
    let sends = draw(script, seed)?;
    let seconds = (script.length.0 .0 as usize).div_ceil(1_000_000);
    println!("second {}", script.streams.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(" "));
    let mut counts = vec![vec![0_u32; script.streams.len()]; seconds];
    sends.iter().for_each(|s| counts[(s.at / 1_000_000) as usize][s.stream as usize] += 1);
    for (second, row) in counts.iter().enumerate() {
        println!("{second} {}", row.iter().map(u32::to_string).collect::<Vec<_>>().join(" "));
    }
    Ok(true)
}

/// The engines of a controller, by its admin address; none if it does not tell.
fn engines(admin: SocketAddr) -> Vec<(String, String)> {
    let ask = || -> Result<Vec<(String, String)>> {
        let response = wheelfield_net::http::get(admin, "/status", Duration::from_millis(200), 8 << 20)?;
        let status: serde_json::Value = serde_json::from_slice(&response.body)?;
        let word = |e: &serde_json::Value, name: &str| e[name].as_str().unwrap_or("?").to_string();
        let all = status["engines"].as_array().cloned().unwrap_or_default();
        Ok(all.iter().map(|e| (word(e, "id"), word(e, "status"))).collect())
    };
    ask().unwrap_or_default()
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn run(script: &Script, args: &RunArgs) -> Result<bool> {
    let sends = draw(script, args.seed)?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let plans = Plans {
        targets: args.target.clone(),
        user: args.user.clone(),
        database: args.database.clone(),
        workers: args.workers.clamp(1, 64),
        seed: args.seed,
    };
    let mut seconds = match &args.out {
        Some(dir) => {
            std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
            Some(std::io::BufWriter::new(std::fs::File::create(dir.join("seconds.jsonl"))?))
        }
        None => None,
    };
    let mut screen = if args.tui { Some(Screen::open()?) } else { None };
    let (length_s, bound) = (script.length.0 .0 as f64 / 1e6, args.late.0 .0.max(0) as u64);
    let (mut next, mut failed) = (1.0, None);
    let progress = !args.json && !args.tui && std::io::stderr().is_terminal();
    let watch = |at: f64, total: &Total| {
        if at >= next {
            next = at.floor() + 1.0;
            let all = total.all();
            if let Some(out) = &mut seconds {
                let line = serde_json::json!({"at_s": at, "wanted": all.wanted, "sent": all.sent, "ends": all.ends,
                    "p50_us": all.latency.value_at_quantile(0.5), "p99_us": all.latency.value_at_quantile(0.99),
                    "late_p99_us": total.late.value_at_quantile(0.99)});
                let _ = writeln!(out, "{line}");
            }
            if progress {
                eprint!(
                    "\r{at:.0} of {length_s:.0} s: {} wanted, {} sent, {:?}   ",
                    all.wanted, all.sent, all.ends
                );
            }
            if let (Some(s), Some(admin)) = (&mut screen, args.admin) {
                s.view.engines = engines(admin);
            }
        }
        if let Some(s) = &mut screen {
            s.view.update(at, total);
            match s.show(&script.name, length_s, bound) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(fault) => {
                    failed = Some(fault);
                    return false;
                }
            }
        }
        !stop.load(Ordering::Relaxed)
    };
    let (total, took) = runner::run(script, &sends, &plans, watch)?;
    drop(screen);
    if progress {
        eprintln!();
    }
    if let Some(fault) = failed {
        return Err(fault.context("the live view"));
    }
    if let Some(dir) = &args.out {
        std::fs::write(dir.join("total.json"), serde_json::to_vec(&total.keep()?)?)?;
        std::fs::write(dir.join("latency.hlog"), total.log(took)?)?;
    }
    let invalid = total.invalid(bound);
    print(&total, took, invalid.as_deref(), args.json)?;
    Ok(invalid.is_none())
}

fn merge(dirs: &[PathBuf]) -> Result<bool> {
    let mut total = Total::default();
    for dir in dirs {
        let path = dir.join("total.json");
        let text = std::fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
        let kept: Kept = serde_json::from_slice(&text).with_context(|| path.display().to_string())?;
        total.merge(&Total::from_kept(&kept)?);
    }
    print(&total, Duration::ZERO, None, false)?;
    Ok(true)
}

fn json(t: &Tally) -> serde_json::Value {
    let at = |h: &hdrhistogram::Histogram<u64>| {
        let q = |x: f64| h.value_at_quantile(x);
        serde_json::json!({"p50": q(0.5), "p90": q(0.9), "p99": q(0.99), "p99.9": q(0.999), "max": h.max()})
    };
    serde_json::json!({"wanted": t.wanted, "sent": t.sent, "ends": t.ends, "retries": t.retries, "starved": t.starved,
        "latency_us": at(&t.latency), "service_us": at(&t.service)})
}

fn print(total: &Total, took: Duration, invalid: Option<&str>, as_json: bool) -> Result<()> {
    let mut out = std::io::stdout().lock();
    if as_json {
        let streams: serde_json::Map<String, serde_json::Value> =
            total.streams.iter().map(|(name, t)| (name.clone(), json(t))).collect();
        let line = serde_json::json!({"valid": invalid.is_none(), "why_not": invalid, "took_s": took.as_secs_f64(),
            "late_p99_us": total.late.value_at_quantile(0.99), "late_max_us": total.late.max(),
            "opened": total.opened, "not_opened": total.refused, "all": json(&total.all()), "streams": streams});
        writeln!(out, "{line}")?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>11}",
        "stream", "wanted", "served", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "service p99"
    )?;
    let all = total.all();
    for (name, t) in total.streams.iter().map(|(n, t)| (n.as_str(), t)).chain([("all", &all)]) {
        let q = |x: f64| t.latency.value_at_quantile(x) as f64 / 1e3;
        writeln!(
            out,
            "{name:<16} {:>9} {:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>11.2}",
            t.wanted,
            t.ended(wheelfield_load::tally::SERVED),
            q(0.5),
            q(0.9),
            q(0.99),
            q(0.999),
            t.latency.max() as f64 / 1e3,
            t.service.value_at_quantile(0.99) as f64 / 1e3
        )?;
    }
    let ends: Vec<String> = all.ends.iter().map(|(how, n)| format!("{n} {how}")).collect();
    writeln!(
        out,
        "{}; {} further tries; {} waited for a connection",
        ends.join(", "),
        all.retries,
        all.starved
    )?;
    writeln!(
        out,
        "{} connections, {} not made; the generator was {:.2} ms late (p99), {:.2} at most",
        total.opened,
        total.refused,
        total.late.value_at_quantile(0.99) as f64 / 1e3,
        total.late.max() as f64 / 1e3
    )?;
    if let Some(why) = invalid {
        writeln!(out, "INVALID: {why}")?;
    }
    Ok(())
}
