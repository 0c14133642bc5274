//! `wheelfield-testbed`: scripted days on real processes, judged from their logs.

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use wheelfield_config::units::Time;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_soak::SoakOptions;
use wheelfield_testbed::day::{Day, KINDS};
use wheelfield_testbed::experiment::{self, Experiment};
use wheelfield_testbed::explore::{self, Scenario};
use wheelfield_testbed::fleet::script;
use wheelfield_testbed::play::{self, Options};
use wheelfield_testbed::stage;
use wheelfield_testbed::stats::Verdict;
use wheelfield_testbed::virtual_time::mind::Policy;
use wheelfield_testbed::{measure, report};

/// Scripted days of traffic and troubles on real processes, judged from what crossed their sockets.
///
/// Exit codes: 0 all rules kept, 1 a rule broken or the day fell through, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day and judges the seven rules; without a file, a bad day of about 30 s.
    Day(DayArgs),
    /// Starts stand-in engines and one controller, and stays until ^C.
    Up(UpArgs),
    /// Runs platform controllers as processes under faults that overlap, and judges them by invariants.
    ///
    /// The faults are drawn from the seed. Each violation is printed with what led to it. 1 if there was one.
    Soak(SoakArgs),
    /// Measures what a controller costs: latency added, queries a second of a core, memory of idle clients.
    Measure(MeasureArgs),
    /// Plays a matrix of days, sizes, variants and seeds, and writes its report; goes on where it was stopped.
    Experiment(ExperimentArgs),
    /// Writes the report of an experiment anew, from its results.
    Report {
        /// The folder of its results.
        dir: PathBuf,
    },
    /// Compares two experiments, figure by figure: 1 if a figure is worse.
    Compare {
        /// The folder of the one,
        one: PathBuf,
        /// and of the other.
        other: PathBuf,
        /// Only these figures.
        #[arg(long, value_name = "NAME")]
        figure: Vec<String>,
    },
    /// Plays thousands of short drawn days in virtual time and judges them; makes what fails smaller.
    Explore(ExploreArgs),
    /// Plays controllers with faults on the roads between them, and judges what they believed of each other.
    ///
    /// 1 if a rule was broken, if a process acted on fewer controllers than ran or gave up one that it could hear, or if they
    /// came to no one view after the last fault.
    Fleet(DayArgs),
    /// Lists the kinds of trouble, or the days or fleets that are built in.
    List {
        /// `troubles`, `days` or `fleets`.
        #[arg(value_parser = ["troubles", "days", "fleets"])]
        what: String,
    },
}

#[derive(Args)]
struct DayArgs {
    /// The script, or the name of a day that is built in.
    file: Option<PathBuf>,
    /// Seed of the day; the same script and seed draw the same traffic and troubles.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Engines, in place of the script's.
    #[arg(long, value_name = "N")]
    engines: Option<usize>,
    /// Controllers, in place of the script's.
    #[arg(long, value_name = "N")]
    controllers: Option<usize>,
    /// Connections of clients at most, in place of the script's.
    #[arg(long, value_name = "N")]
    clients: Option<usize>,
    /// Queries a second, in place of the script's.
    #[arg(long, value_name = "X")]
    rate: Option<f64>,
    /// How long queries come, in place of the script's; troubles stay where they are.
    #[arg(long, value_name = "TIME", value_parser = span)]
    length: Option<Time>,
    /// In one process and in virtual time, without sockets: the same day and seed give the same report.
    #[arg(long = "virtual", conflicts_with_all = ["capture", "clients", "plant"])]
    virtual_time: bool,
    /// What decides in the controllers of a day in virtual time.
    #[arg(long, value_enum, default_value_t, requires = "virtual_time")]
    policy: Policy,
    /// Keeps logs, configurations and the report here; else they go when the day is over.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the report as one JSON object.
    #[arg(long)]
    json: bool,
    /// Controllers leave a capture each in the folder of --out, ending in .wfcap.
    #[arg(long, requires = "out")]
    capture: bool,
    /// Only checks the script.
    #[arg(long)]
    check: bool,
    /// Every second controller runs the program of another build, which is in this folder.
    #[arg(long, value_name = "DIR", conflicts_with = "virtual_time")]
    beside: Option<PathBuf>,
    /// What controllers log: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: String,
    /// A fault planted in the controllers, in builds that have them.
    #[arg(long, value_name = "FAULT", hide = true)]
    plant: Option<String>,
}

#[derive(Args)]
struct ExperimentArgs {
    /// The experiment's file.
    file: PathBuf,
    /// The folder of its results; those at hand are not done anew.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Days at once in virtual time; as many as there are cores if not said.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Only checks the file and its days.
    #[arg(long)]
    check: bool,
}

#[derive(Args)]
struct ExploreArgs {
    /// Plays this scenario again, in place of drawn ones.
    file: Option<PathBuf>,
    /// The number of the first day.
    #[arg(long, value_name = "N", default_value_t = 0)]
    from: u64,
    /// Days at most.
    #[arg(long, value_name = "N", default_value_t = 1000)]
    days: u64,
    /// Seconds at most.
    #[arg(long, value_name = "N", default_value_t = 3600)]
    seconds: u64,
    /// Days at once; as many as there are cores if not said.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Failing days, made small, are written here.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Ends at the first failing day.
    #[arg(long)]
    first: bool,
    /// With a scenario: tells its course, what clients sent and were told and what engines saw, in milliseconds.
    #[arg(long, requires = "file")]
    course: bool,
    /// Tells what came to pass, and what never did.
    #[arg(long)]
    seen: bool,
    /// A fault planted in the controllers, in builds that have them.
    #[arg(long, value_name = "FAULT", hide = true, value_parser = FaultInjection::parse)]
    plant: Option<FaultInjection>,
}

#[derive(Args)]
struct UpArgs {
    /// Where the controller listens.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:6432")]
    listen: SocketAddr,
    /// Engines.
    #[arg(long, value_name = "N", default_value_t = 4)]
    engines: usize,
}

#[derive(Args)]
struct SoakArgs {
    /// Seed of the faults and of the traffic.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// How long clients send requests.
    #[arg(long, value_name = "N", default_value_t = 10)]
    minutes: u64,
    /// The same in seconds, for short runs.
    #[arg(long, value_name = "N", conflicts_with = "minutes", value_parser = clap::value_parser!(u64).range(11..))]
    seconds: Option<u64>,
    /// Controllers.
    #[arg(long, value_name = "N", default_value_t = 24, value_parser = clap::value_parser!(u64).range(1..=100))]
    controllers: u64,
    /// Clients of each controller.
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=20))]
    clients: u64,
    /// Executors.
    #[arg(long, value_name = "N", default_value_t = 6, value_parser = clap::value_parser!(u64).range(4..=64))]
    executors: u64,
    /// Logs are kept here; else they go when the run is over.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// A fault planted in the controllers, in builds that have them.
    #[arg(long, value_name = "FAULT", hide = true)]
    plant: Option<String>,
}

#[derive(Args)]
struct MeasureArgs {
    /// Pairs of queries for the latency.
    #[arg(long, value_name = "N", default_value_t = 20_000)]
    pairs: usize,
    /// Seconds of full load.
    #[arg(long, value_name = "N", default_value_t = 5)]
    seconds: u64,
    /// Connections of full load.
    #[arg(long, value_name = "N", default_value_t = 64)]
    connections: usize,
    /// Idle connections.
    #[arg(long, value_name = "N", default_value_t = 10_000)]
    idle: usize,
    /// Rounds of a second in which a controller that records is loaded in turn with one that does not.
    #[arg(long, value_name = "N", default_value_t = 7)]
    rounds: usize,
    /// Prints the figures as one JSON object.
    #[arg(long)]
    json: bool,
}

/// Runs a soak and prints its verdict; whether no invariant was violated.
fn soak(args: SoakArgs) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let options = SoakOptions {
        seed: args.seed,
        length: Duration::from_secs(args.seconds.unwrap_or(60 * args.minutes)),
        controllers: args.controllers as usize,
        clients_per_controller: args.clients as usize,
        executors: args.executors as usize,
        program: stage::program("wheelfield-controller", None)?,
        logs: args.logs.unwrap_or_else(|| folder.path().to_path_buf()),
        plant: args.plant,
    };
    let verdict = wheelfield_soak::run(&options)?;
    println!("seed {}: {} faults, {:?}", args.seed, verdict.faults, verdict.totals);
    for violation in &verdict.violations {
        let at = violation.at as f64 / 1e6;
        let (invariant, controller) = (violation.invariant, violation.controller);
        let request = violation.request.map(|id| id.to_string()).unwrap_or_default();
        println!(
            "{at:.3} s  {invariant} violated at controller {controller:?} {request}: {}",
            violation.what
        );
        violation.timeline.iter().for_each(|line| println!("    {line}"));
    }
    println!("{} violations", verdict.violations.len());
    Ok(verdict.violations.is_empty())
}

/// The days that are built in.
const DAYS: [(&str, &str); 14] = [
    ("bad", include_str!("../days/bad.toml")),
    ("crashes", include_str!("../days/crashes.toml")),
    ("hangs", include_str!("../days/hangs.toml")),
    ("slow", include_str!("../days/slow.toml")),
    ("drains", include_str!("../days/drains.toml")),
    ("controllers", include_str!("../days/controllers.toml")),
    ("answers", include_str!("../days/answers.toml")),
    ("keys", include_str!("../days/keys.toml")),
    ("everything", include_str!("../days/everything.toml")),
    ("grown", include_str!("../days/grown.toml")),
    ("rolling", include_str!("../days/rolling.toml")),
    ("newcomer", include_str!("../days/newcomer.toml")),
    ("compared", include_str!("../days/compared.toml")),
    ("short", include_str!("../days/short.toml")),
];

/// Fleets by name.
const FLEETS: [(&str, &str); 15] = [
    ("short", include_str!("../fleets/short.toml")),
    ("one-way", include_str!("../fleets/one-way.toml")),
    ("deaf-mute", include_str!("../fleets/deaf-mute.toml")),
    ("zones", include_str!("../fleets/zones.toml")),
    ("islands", include_str!("../fleets/islands.toml")),
    ("chain", include_str!("../fleets/chain.toml")),
    ("flapping", include_str!("../fleets/flapping.toml")),
    ("lossy", include_str!("../fleets/lossy.toml")),
    ("pauses", include_str!("../fleets/pauses.toml")),
    ("worn", include_str!("../fleets/worn.toml")),
    ("words", include_str!("../fleets/words.toml")),
    ("restarts", include_str!("../fleets/restarts.toml")),
    ("large", include_str!("../fleets/large.toml")),
    ("deaths", include_str!("../fleets/deaths.toml")),
    ("all-at-once", include_str!("../fleets/all-at-once.toml")),
];

fn span(text: &str) -> Result<Time, String> {
    wheelfield_config::units::parse_time(text).map_err(|error| error.to_string())
}

fn read(file: Option<&PathBuf>) -> Result<Day> {
    let name = file.map_or("bad".to_string(), |f| f.display().to_string());
    let built_in = DAYS.iter().find(|(n, _)| *n == name).map(|(_, text)| (*text).to_string());
    let text = match built_in {
        Some(text) => text,
        None => std::fs::read_to_string(&name).with_context(|| format!("cannot read the day {name}"))?,
    };
    Ok(Day::parse(&name, &text)?)
}

fn read_fleet(file: Option<&PathBuf>) -> Result<Day> {
    let name = file.map_or("one-way".to_string(), |f| f.display().to_string());
    let built_in = FLEETS.iter().find(|(n, _)| *n == name).map(|(_, text)| (*text).to_string());
    let text = match built_in {
        Some(text) => text,
        None => std::fs::read_to_string(&name).with_context(|| format!("cannot read the fleet {name}"))?,
    };
    Ok(Day::parse(&name, &script::whole(&text))?)
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::List { what } => {
            let scripts: &[(&str, &str)] = if what == "fleets" { &FLEETS } else { &DAYS };
            if what != "troubles" {
                scripts.iter().for_each(|(name, text)| {
                    println!("{name:<12} {}", text.lines().next().unwrap_or("").trim_start_matches("# "))
                });
            } else {
                KINDS.iter().for_each(|(kind, what)| println!("{kind:<16} {what}"));
            }
            return ExitCode::SUCCESS;
        }
        Command::Day(ref args) | Command::Fleet(ref args) => {
            let fleet = matches!(cli.command, Command::Fleet(_));
            let read = if fleet { read_fleet } else { read };
            let mut day = match read(args.file.as_ref()) {
                Ok(day) => day,
                Err(fault) => return bad_use(&fault),
            };
            day.engines = args.engines.unwrap_or(day.engines);
            day.controllers = args.controllers.unwrap_or(day.controllers);
            day.clients = args.clients.unwrap_or(day.clients);
            day.rate = args.rate.unwrap_or(day.rate);
            day.length = args.length.unwrap_or(day.length);
            let most = if args.virtual_time { 10_000 } else { 1000 };
            let sound = day.engines > 0 && day.controllers > 0 && day.clients > 0 && day.rate > 0.0;
            let long = !(1..=3_600_000_000).contains(&day.length.0 .0);
            if !sound || long || day.engines > most || day.controllers > most || day.clients > 18_000 {
                return bad_use(&anyhow::anyhow!(
                    "engines and controllers from 1 to {most}, clients to 18000, a rate above 0, up to an hour"
                ));
            }
            if let Err(fault) = day.timetable(args.seed) {
                return bad_use(&anyhow::anyhow!(fault));
            }
            if args.check {
                return ExitCode::SUCCESS;
            }
            if args.virtual_time {
                virtual_day(&day, args)
            } else {
                one_day(&day, args)
            }
        }
        Command::Experiment(args) => match experiment_of(&args.file) {
            Ok(_) if args.check => Ok(true),
            Ok((e, text)) => run_experiment(&e, &text, &args),
            Err(fault) => return bad_use(&fault),
        },
        Command::Report { dir } => write_report(&dir),
        Command::Explore(args) => match &args.file {
            Some(file) => replay(file, &args),
            None => explored(&args),
        },
        Command::Compare { one, other, figure } => compare(&one, &other, &figure),
        Command::Up(args) => up(&args),
        Command::Soak(args) => soak(args),
        Command::Measure(args) => figures(&args),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("wheelfield-testbed: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn bad_use(fault: &anyhow::Error) -> ExitCode {
    eprintln!("wheelfield-testbed: {fault:#}");
    ExitCode::from(2)
}

fn tell(report: &play::Report, json: bool) -> Result<()> {
    let mut out = std::io::stdout().lock();
    if json {
        serde_json::to_writer(&mut out, report)?;
        std::io::Write::write_all(&mut out, b"\n")?;
    } else {
        play::print(report, &mut out)?;
    }
    Ok(())
}

fn virtual_day(day: &Day, args: &DayArgs) -> Result<bool> {
    let began = std::time::Instant::now();
    let (report, played) = play::play_virtual(day, args.seed, args.policy)?;
    let took = began.elapsed().as_secs_f64();
    if let Some(dir) = &args.out {
        std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
        let lines: Vec<String> =
            played.tries.iter().map(|t| serde_json::to_string(t).unwrap_or_default()).collect();
        std::fs::write(dir.join("clients.jsonl"), lines.join("\n"))?;
        std::fs::write(dir.join("report.json"), serde_json::to_string_pretty(&report)?)?;
    }
    tell(&report, args.json)?;
    let length = day.length.0 .0 as f64 / 1e6;
    eprintln!("{length:.0} s in {took:.2} s: {} events, {} messages", played.events, played.messages);
    Ok(report.kept())
}

fn one_day(day: &Day, args: &DayArgs) -> Result<bool> {
    let kept = tempfile::tempdir()?;
    let dir = args.out.clone().unwrap_or_else(|| kept.path().to_path_buf());
    std::fs::create_dir_all(&dir).with_context(|| format!("cannot make {}", dir.display()))?;
    let options = Options {
        seed: args.seed,
        dir,
        plant: args.plant.clone(),
        log_level: args.log.clone(),
        capture: args.capture,
        quiet: false,
        programs: None,
        beside: args.beside.clone(),
    };
    let report = play::play(day, &options)?;
    tell(&report, args.json)?;
    Ok(report.kept())
}

/// The text of a built-in day, or of a file beside the experiment's.
fn day_text(name: &str, beside: &std::path::Path) -> Result<String> {
    if let Some((_, text)) = DAYS.iter().find(|(n, _)| *n == name) {
        return Ok((*text).to_string());
    }
    let path = beside.parent().unwrap_or(std::path::Path::new(".")).join(name);
    std::fs::read_to_string(&path).with_context(|| format!("cannot read the day {}", path.display()))
}

fn experiment_of(file: &std::path::Path) -> Result<(Experiment, String)> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let e = Experiment::parse(&file.display().to_string(), &text)?;
    for name in &e.days {
        Day::parse(name, &day_text(name, file)?)?;
    }
    Ok((e, text))
}

fn run_experiment(e: &Experiment, text: &str, args: &ExperimentArgs) -> Result<bool> {
    let jobs = jobs_of(args.jobs);
    let read = |name: &str| day_text(name, &args.file);
    let mut progress = |done: usize, all: usize, key: &experiment::Key| {
        eprint!("\r{done} of {all}: {} {} {} seed {}    ", key.day, key.size, key.variant, key.seed);
    };
    experiment::run(e, &args.out, jobs, &read, &mut progress)?;
    eprintln!();
    std::fs::write(args.out.join("experiment.toml"), text)?;
    write_report(&args.out)
}

fn write_report(dir: &std::path::Path) -> Result<bool> {
    let (e, _) = {
        let path = dir.join("experiment.toml");
        let text =
            std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        (Experiment::parse(&path.display().to_string(), &text)?, text)
    };
    let runs = experiment::load(&dir.join("runs.jsonl"))?;
    anyhow::ensure!(!runs.is_empty(), "{} holds no results", dir.display());
    let first = e.variants.first().map_or("", |v| v.name.as_str());
    let cells = experiment::summarize(&runs, first);
    let summary = report::markdown(&e.name, &cells);
    std::fs::write(dir.join("report.html"), report::html(&e.name, &runs, &cells)?)?;
    std::fs::write(dir.join("report.md"), &summary)?;
    print!("{summary}");
    Ok(true)
}

fn compare(one: &std::path::Path, other: &std::path::Path, only: &[String]) -> Result<bool> {
    let load = |dir: &std::path::Path| experiment::load(&dir.join("runs.jsonl"));
    let mut cells = experiment::compare_runs(&load(one)?, &load(other)?);
    cells.retain(|c| only.is_empty() || only.contains(&c.figure));
    anyhow::ensure!(
        !cells.is_empty(),
        "nothing of the one is in the other: day, size, variant and seed must be the same"
    );
    print!("{}", report::markdown("comparison", &cells));
    let worse = |c: &experiment::Cell| c.compared.is_some_and(|c| c.verdict == Verdict::Worse);
    Ok(!cells.iter().any(worse))
}

fn jobs_of(asked: usize) -> usize {
    match asked {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        n => n.min(256),
    }
}

fn tell_course(scenario: &Scenario, plant: Option<FaultInjection>) -> Result<()> {
    let (_, _, played) = explore::course(scenario, plant)?;
    let start = wheelfield_testbed::virtual_time::start();
    let ms = |t: i64| (t - start) as f64 / 1e3;
    let mut lines: Vec<(i64, String)> = Vec::new();
    for t in &played.tries {
        lines.push((t.sent, format!("client     {:<10} sent to controller {}", t.id, t.controller)));
        let wrong = t.wrong.map(|w| format!(", {w}")).unwrap_or_default();
        let answers = t.answers;
        lines.push((
            t.ended,
            format!("client     {:<10} {:?} {} ({answers} answers{wrong})", t.id, t.end, t.state),
        ));
    }
    for l in &played.log {
        let query = l.query.as_deref().unwrap_or("");
        let told: Vec<String> =
            l.unavailable_engines.iter().map(|n| format!("{} {}", n.engine, n.status)).collect();
        lines.push((
            l.at,
            format!(
                "{:<10} {query:<10} {} {} {} {}",
                l.engine,
                l.event,
                l.sent_by,
                l.controller,
                told.join(", ")
            ),
        ));
    }
    lines.sort_by_key(|(t, _)| *t);
    for (t, line) in lines {
        println!("{:>10.3} {}", ms(t), line.trim_end());
    }
    Ok(())
}

fn replay(file: &std::path::Path, args: &ExploreArgs) -> Result<bool> {
    let plant = args.plant;
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let scenario: Scenario = toml::from_str(&text).with_context(|| format!("{}", file.display()))?;
    if args.course {
        tell_course(&scenario, plant)?;
    }
    let outcome = explore::play(&scenario, plant)?;
    println!("{} tries, {} events", outcome.tries, outcome.events);
    for (rule, what) in &outcome.wrong {
        println!("{rule}: {what}");
    }
    Ok(outcome.sound())
}

fn explored(args: &ExploreArgs) -> Result<bool> {
    let began = std::time::Instant::now();
    let limit = std::time::Duration::from_secs(args.seconds);
    let last = std::sync::atomic::AtomicU64::new(0);
    let until = |all: &explore::Explored| {
        let s = began.elapsed().as_secs();
        if last.swap(s, std::sync::atomic::Ordering::Relaxed) != s {
            eprint!("\r{} days, {} failed   ", all.days, all.failed.len());
        }
        began.elapsed() >= limit || (args.first && !all.failed.is_empty())
    };
    let numbers = args.from..args.from.saturating_add(args.days);
    let all = explore::explore(numbers, jobs_of(args.jobs), args.plant, until);
    let took = began.elapsed().as_secs_f64();
    eprintln!();
    println!(
        "{} days in {took:.1} s ({:.0} a second): {} tries, {} events, {} days failed",
        all.days,
        all.days as f64 / took.max(1e-9),
        all.tries,
        all.events,
        all.failed.len()
    );
    if args.seen {
        for (what, (days, times)) in &all.seen {
            println!(
                "{what:<60} {days:>8} days {times:>10} times{}",
                if *times == 0 { "  NEVER" } else { "" }
            );
        }
    }
    for (scenario, rule, what) in &all.failed {
        println!("seed {}: {rule}: {what}", scenario.seed);
        let Some(dir) = &args.out else { continue };
        std::fs::create_dir_all(dir)?;
        let (small, played) = explore::shrink(scenario, rule, args.plant);
        let path = dir.join(format!("{}-{rule}.toml", scenario.seed));
        std::fs::write(&path, toml::to_string(&small)?)?;
        println!("  made small in {played} days: {}", path.display());
    }
    Ok(all.failed.is_empty())
}

fn up(args: &UpArgs) -> Result<bool> {
    let mut day = read(None)?;
    (day.engines, day.controllers, day.troubles) = (args.engines.clamp(1, 1000), 1, Vec::new());
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let dir = tempfile::tempdir()?;
    let options = Options { seed: 1, dir: dir.path().to_path_buf(), ..Options::default() };
    play::stay(&day, &options, args.listen, &stop)?;
    Ok(true)
}

fn figures(args: &MeasureArgs) -> Result<bool> {
    let plans = measure::Plans {
        pairs: args.pairs.clamp(1, 10_000_000),
        seconds: args.seconds.clamp(1, 600),
        connections: args.connections.clamp(1, 10_000),
        idle: args.idle.min(18_000),
        rounds: args.rounds.min(1000),
    };
    let dir = tempfile::tempdir()?;
    let figures = measure::measure(&read(None)?, dir.path(), plans)?;
    let mut out = std::io::stdout().lock();
    if args.json {
        serde_json::to_writer(&mut out, &figures)?;
        std::io::Write::write_all(&mut out, b"\n")?;
    } else {
        measure::print(&figures, &mut out)?;
    }
    Ok(true)
}
