//! `wheelfield-testbed`: plays scripted days of traffic and faults, and checks them against the invariants.

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use wheelfield_config::units::Time;
use wheelfield_console::{err, errln, out, outln};
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_soak::SoakOptions;
use wheelfield_testbed::day::{Day, KINDS};
use wheelfield_testbed::experiment::{self, Experiment};
use wheelfield_testbed::explore::{self, Scenario};
use wheelfield_testbed::fleet::script;
use wheelfield_testbed::play::{self, Options};
use wheelfield_testbed::processes;
use wheelfield_testbed::stats::Verdict;
use wheelfield_testbed::virtual_time::policy::Policy;
use wheelfield_testbed::{measure, report};

/// Plays scripted days of traffic and faults on real processes or in virtual time, and checks the recorded events.
///
/// Exit codes: 0 no violation, 1 a rule was violated or the run failed, 2 invalid arguments or input.
#[derive(Parser)]
#[command(name = "wheelfield-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day and checks the seven rules; without a file, the built-in day `bad` of about 30 s.
    Day(DayArgs),
    /// Starts emulated engines and one controller, and runs until interrupted with Ctrl-C.
    Up(UpArgs),
    /// Runs platform controllers as processes under overlapping faults, and checks invariants.
    ///
    /// The faults are drawn from the seed. Each violation is printed with the events that led to it. Exits with 1 on a violation.
    Soak(SoakArgs),
    /// Measures the overhead of a controller: added latency, queries per second of a core, memory of idle clients.
    Measure(MeasureArgs),
    /// Plays a matrix of days, sizes, variants and seeds, and writes a report; resumes an interrupted experiment.
    Experiment(ExperimentArgs),
    /// Writes the report of an experiment again, from its recorded results.
    Report {
        /// Directory of the results.
        dir: PathBuf,
    },
    /// Compares two experiments metric by metric; exits with 1 if a metric is worse in the second.
    Compare {
        /// Directory of the first experiment's results.
        one: PathBuf,
        /// Directory of the second experiment's results.
        other: PathBuf,
        /// Compares only these metrics.
        #[arg(long, value_name = "NAME")]
        figure: Vec<String>,
    },
    /// Plays thousands of short random days in virtual time and checks them; shrinks those that fail.
    Explore(ExploreArgs),
    /// Plays controllers with faults of the network between them, and checks their views of the membership.
    ///
    /// Exits with 1 if a rule was violated, if a process counted fewer controllers than were running or removed one that it
    /// could reach, or if the views did not converge after the last fault.
    Fleet(DayArgs),
    /// Lists the kinds of trouble, or the built-in days or fleets.
    List {
        /// What to list: `troubles`, `days` or `fleets`.
        #[arg(value_parser = ["troubles", "days", "fleets"])]
        what: String,
    },
}

#[derive(Args)]
struct DayArgs {
    /// File of the script, or name of a built-in day.
    file: Option<PathBuf>,
    /// Seed of the day; the same script and seed give the same traffic and troubles.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Number of engines; overrides the script.
    #[arg(long, value_name = "N")]
    engines: Option<usize>,
    /// Number of controllers; overrides the script.
    #[arg(long, value_name = "N")]
    controllers: Option<usize>,
    /// Maximum number of client connections; overrides the script.
    #[arg(long, value_name = "N")]
    clients: Option<usize>,
    /// Queries per second; overrides the script.
    #[arg(long, value_name = "X")]
    rate: Option<f64>,
    /// How long clients send queries; overrides the script without moving its troubles.
    #[arg(long, value_name = "TIME", value_parser = parse_duration)]
    length: Option<Time>,
    /// Simulates the day in one process and in virtual time, without sockets; the same day and seed give the same report.
    #[arg(long = "virtual", conflicts_with_all = ["capture", "clients", "plant"])]
    virtual_time: bool,
    /// Routing policy of the controllers in virtual time.
    #[arg(long, value_enum, default_value_t, requires = "virtual_time")]
    policy: Policy,
    /// Directory for logs, configurations and the report; without it they are deleted at the end of the day.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the report as a JSON object.
    #[arg(long)]
    json: bool,
    /// Makes each controller write a capture, a .wfcap file, to the directory of --out.
    #[arg(long, requires = "out")]
    capture: bool,
    /// Validates the script without playing it.
    #[arg(long)]
    check: bool,
    /// Runs every second controller with the program of another build, from this directory.
    #[arg(long, value_name = "DIR", conflicts_with = "virtual_time")]
    beside: Option<PathBuf>,
    /// Log level of the controllers: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: String,
    /// Enables a deliberate bug in the controllers, in builds with the feature `planted`.
    #[arg(long, value_name = "FAULT", hide = true)]
    plant: Option<String>,
}

#[derive(Args)]
struct ExperimentArgs {
    /// File of the experiment.
    file: PathBuf,
    /// Directory of the results; runs with a recorded result are not repeated.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Days played in parallel in virtual time; 0 for the number of cores.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Validates the file and its days without playing them.
    #[arg(long)]
    check: bool,
}

#[derive(Args)]
struct ExploreArgs {
    /// Scenario file to play again, instead of random days.
    file: Option<PathBuf>,
    /// Number of the first day; each day is drawn from its number.
    #[arg(long, value_name = "N", default_value_t = 0)]
    from: u64,
    /// Maximum number of days.
    #[arg(long, value_name = "N", default_value_t = 1000)]
    days: u64,
    /// Maximum duration in seconds.
    #[arg(long, value_name = "N", default_value_t = 3600)]
    seconds: u64,
    /// Days played in parallel; 0 for the number of cores.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Directory to which failing days are written after shrinking.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Stops at the first failing day.
    #[arg(long)]
    first: bool,
    /// With a scenario file: prints a timeline of client and engine events, in milliseconds.
    #[arg(long, requires = "file")]
    course: bool,
    /// Prints how often each tracked situation occurred, including those that never did.
    #[arg(long)]
    seen: bool,
    /// Enables a deliberate bug in the controllers, in builds with the feature `planted`.
    #[arg(long, value_name = "FAULT", hide = true, value_parser = FaultInjection::parse)]
    plant: Option<FaultInjection>,
}

#[derive(Args)]
struct UpArgs {
    /// Address on which the controller listens.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:6432")]
    listen: SocketAddr,
    /// Number of engines.
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
    /// Number of controllers.
    #[arg(long, value_name = "N", default_value_t = 24, value_parser = clap::value_parser!(u64).range(1..=100))]
    controllers: u64,
    /// Number of clients of each controller.
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=20))]
    clients: u64,
    /// Number of executors.
    #[arg(long, value_name = "N", default_value_t = 6, value_parser = clap::value_parser!(u64).range(4..=64))]
    executors: u64,
    /// Directory for logs; without it they are deleted at the end of the run.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// Enables a deliberate bug in the controllers, in builds with the feature `planted`.
    #[arg(long, value_name = "FAULT", hide = true)]
    plant: Option<String>,
}

#[derive(Args)]
struct MeasureArgs {
    /// Number of latency samples, each one direct query and one through the controller.
    #[arg(long, value_name = "N", default_value_t = 20_000)]
    pairs: usize,
    /// Duration of each full-load phase, in seconds.
    #[arg(long, value_name = "N", default_value_t = 5)]
    seconds: u64,
    /// Number of connections in full-load phases.
    #[arg(long, value_name = "N", default_value_t = 64)]
    connections: usize,
    /// Number of idle connections.
    #[arg(long, value_name = "N", default_value_t = 10_000)]
    idle: usize,
    /// Rounds that load a controller with a capture and one without for one second each.
    #[arg(long, value_name = "N", default_value_t = 7)]
    rounds: usize,
    /// Prints the measurements as a JSON object.
    #[arg(long)]
    json: bool,
}

/// Runs a soak test and prints its result. Returns whether no invariant was violated, also if the run is not conclusive.
fn soak(args: SoakArgs) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let options = SoakOptions {
        seed: args.seed,
        duration: Duration::from_secs(args.seconds.unwrap_or(60 * args.minutes)),
        controllers: args.controllers as usize,
        clients_per_controller: args.clients as usize,
        executors: args.executors as usize,
        program: processes::program("wheelfield-controller", None)?,
        log_dir: args.logs.unwrap_or_else(|| temporary.path().to_path_buf()),
        planted_fault: args.plant,
    };
    let verdict = wheelfield_soak::run(&options)?;
    outln!("seed {}: {} faults, {:?}", args.seed, verdict.faults, verdict.totals);
    for violation in &verdict.violations {
        let at = violation.at as f64 / 1e6;
        let (invariant, controller) = (violation.invariant, violation.controller);
        let request = violation.request.map(|id| id.to_string()).unwrap_or_default();
        outln!(
            "{at:.3} s  {invariant} violated at controller {controller:?} {request}: {}",
            violation.description
        );
        violation.timeline.iter().for_each(|line| outln!("    {line}"));
    }
    outln!("{}", verdict.excuses);
    let violations = verdict.violations.len();
    if verdict.is_conclusive() {
        outln!("{violations} violations");
    } else {
        outln!("not conclusive, as more than 1 in 100 requests were excused; {violations} violations");
    }
    Ok(verdict.violations.is_empty())
}

/// Built-in days by name.
const DAYS: [(&str, &str); 15] = [
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
    ("system_faults", include_str!("../days/system_faults.toml")),
    ("newcomer", include_str!("../days/newcomer.toml")),
    ("compared", include_str!("../days/compared.toml")),
    ("short", include_str!("../days/short.toml")),
];

/// Built-in fleets by name.
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

fn parse_duration(text: &str) -> Result<Time, String> {
    wheelfield_config::units::parse_time(text).map_err(|error| error.to_string())
}

fn read_day(file: Option<&PathBuf>) -> Result<Day> {
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
    Ok(Day::parse(&name, &script::with_default_tables(&text))?)
}

/// Maximum number of engines and of controllers of a day on processes, and in virtual time.
const MAX_PROCESSES: usize = 1_000;
const MAX_VIRTUAL_PROCESSES: usize = 10_000;
/// Maximum number of clients of a day.
const MAX_CLIENTS: usize = 18_000;
/// Maximum length of a day, in microseconds.
const MAX_LENGTH_US: i64 = 3_600_000_000;
/// Exit code for invalid arguments or scripts.
const EXIT_INVALID_USE: u8 = 2;

/// Why a command failed.
enum CommandError {
    /// Its arguments or its script are invalid.
    InvalidUse(anyhow::Error),
    /// It failed while it ran.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> CommandError {
        CommandError::Failed(error)
    }
}

fn main() -> ExitCode {
    let code = match run_command(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(CommandError::InvalidUse(error)) => {
            errln!("wheelfield-testbed: {error:#}");
            ExitCode::from(EXIT_INVALID_USE)
        }
        Err(CommandError::Failed(error)) => {
            errln!("wheelfield-testbed: {error:#}");
            ExitCode::FAILURE
        }
    };
    wheelfield_console::exit_code(code)
}

/// Runs a command. Returns whether it found nothing wrong.
fn run_command(command: Command) -> Result<bool, CommandError> {
    // That command ends its processes itself.
    if !matches!(command, Command::Up(_)) {
        wheelfield_child_process::kill_children_on_signals().context("cannot handle signals")?;
    }
    let result = match command {
        Command::List { what } => {
            print_list(&what);
            Ok(true)
        }
        Command::Day(args) => return run_day(read_day(args.file.as_ref()), &args),
        Command::Fleet(args) => return run_day(read_fleet(args.file.as_ref()), &args),
        Command::Experiment(args) => match read_experiment(&args.file) {
            Ok(_) if args.check => Ok(true),
            Ok((experiment, text)) => run_experiment(&experiment, &text, &args),
            Err(error) => return Err(CommandError::InvalidUse(error)),
        },
        Command::Report { dir } => write_report(&dir),
        Command::Explore(args) => match &args.file {
            Some(file) => replay_scenario(file, &args),
            None => run_exploration(&args),
        },
        Command::Compare { one, other, figure } => compare(&one, &other, &figure),
        Command::Up(args) => run_until_interrupted(&args),
        Command::Soak(args) => soak(args),
        Command::Measure(args) => run_measurement(&args),
    };
    Ok(result?)
}

/// Prints the names of the built-in days or fleets, or the kinds of troubles.
fn print_list(what: &str) {
    if what == "troubles" {
        KINDS.iter().for_each(|(kind, what)| outln!("{kind:<16} {what}"));
        return;
    }
    let scripts: &[(&str, &str)] = if what == "fleets" { &FLEETS } else { &DAYS };
    for (name, text) in scripts {
        let title = text.lines().next().unwrap_or("").trim_start_matches("# ");
        outln!("{name:<12} {title}");
    }
}

/// Plays a day, or only checks its script, with what the arguments override.
fn run_day(script: Result<Day>, args: &DayArgs) -> Result<bool, CommandError> {
    let mut day = script.map_err(CommandError::InvalidUse)?;
    day.engines = args.engines.unwrap_or(day.engines);
    day.controllers = args.controllers.unwrap_or(day.controllers);
    day.clients = args.clients.unwrap_or(day.clients);
    day.rate = args.rate.unwrap_or(day.rate);
    day.length = args.length.unwrap_or(day.length);
    check_size(&day, args.virtual_time).map_err(CommandError::InvalidUse)?;
    let timetable = day.timetable(args.seed);
    timetable.map_err(|error| CommandError::InvalidUse(anyhow::anyhow!(error)))?;
    if args.check {
        return Ok(true);
    }
    let result = match args.virtual_time {
        true => play_in_virtual_time(&day, args),
        false => play_on_processes(&day, args),
    };
    Ok(result?)
}

fn check_size(day: &Day, is_virtual: bool) -> Result<()> {
    let max_processes = if is_virtual { MAX_VIRTUAL_PROCESSES } else { MAX_PROCESSES };
    let is_valid = (1..=max_processes).contains(&day.engines)
        && (1..=max_processes).contains(&day.controllers)
        && (1..=MAX_CLIENTS).contains(&day.clients)
        && day.rate > 0.0
        && (1..=MAX_LENGTH_US).contains(&day.length.0 .0);
    anyhow::ensure!(
        is_valid,
        "engines and controllers must be 1 to {max_processes}, clients 1 to {MAX_CLIENTS}, the rate above 0 and the length at most an hour"
    );
    Ok(())
}

fn print_report(report: &play::Report, json: bool) -> Result<()> {
    let mut out = std::io::stdout().lock();
    if json {
        serde_json::to_writer(&mut out, report)?;
        std::io::Write::write_all(&mut out, b"\n")?;
    } else {
        play::print(report, &mut out)?;
    }
    Ok(())
}

fn play_in_virtual_time(day: &Day, args: &DayArgs) -> Result<bool> {
    let began = std::time::Instant::now();
    let (report, played) = play::play_virtual(day, args.seed, args.policy)?;
    let took = began.elapsed().as_secs_f64();
    if let Some(dir) = &args.out {
        std::fs::create_dir_all(dir).with_context(|| format!("cannot create {}", dir.display()))?;
        let lines: Vec<String> =
            played.tries.iter().map(|t| serde_json::to_string(t).unwrap_or_default()).collect();
        std::fs::write(dir.join("clients.jsonl"), lines.join("\n"))?;
        std::fs::write(dir.join("report.json"), serde_json::to_string_pretty(&report)?)?;
    }
    print_report(&report, args.json)?;
    let length = day.length.0 .0 as f64 / 1e6;
    errln!(
        "simulated {length:.0} s in {took:.2} s: {} events, {} messages",
        played.events,
        played.datagrams_sent
    );
    Ok(report.kept())
}

fn play_on_processes(day: &Day, args: &DayArgs) -> Result<bool> {
    let temporary = tempfile::tempdir()?;
    let dir = args.out.clone().unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&dir).with_context(|| format!("cannot create {}", dir.display()))?;
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
    print_report(&report, args.json)?;
    Ok(report.kept())
}

/// The text of a built-in day, or of a file in the directory of the experiment's file.
fn day_text(name: &str, experiment_file: &std::path::Path) -> Result<String> {
    if let Some((_, text)) = DAYS.iter().find(|(n, _)| *n == name) {
        return Ok((*text).to_string());
    }
    let path = experiment_file.parent().unwrap_or(std::path::Path::new(".")).join(name);
    std::fs::read_to_string(&path).with_context(|| format!("cannot read the day {}", path.display()))
}

fn read_experiment(file: &std::path::Path) -> Result<(Experiment, String)> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let experiment = Experiment::parse(&file.display().to_string(), &text)?;
    for name in &experiment.days {
        Day::parse(name, &day_text(name, file)?)?;
    }
    Ok((experiment, text))
}

fn run_experiment(experiment: &Experiment, text: &str, args: &ExperimentArgs) -> Result<bool> {
    let jobs = resolve_jobs(args.jobs);
    let read_day_text = |name: &str| day_text(name, &args.file);
    let mut progress = |done: usize, all: usize, key: &experiment::Key| {
        err!("\r{done} of {all}: {} {} {} seed {}    ", key.day, key.size, key.variant, key.seed);
    };
    experiment::run(experiment, &args.out, jobs, &read_day_text, &mut progress)?;
    err!("\n");
    std::fs::write(args.out.join("experiment.toml"), text)?;
    write_report(&args.out)
}

fn write_report(dir: &std::path::Path) -> Result<bool> {
    let (experiment, _) = {
        let path = dir.join("experiment.toml");
        let text =
            std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        (Experiment::parse(&path.display().to_string(), &text)?, text)
    };
    let runs = experiment::load_runs(&dir.join("runs.jsonl"))?;
    anyhow::ensure!(!runs.is_empty(), "{} has no recorded results", dir.display());
    let baseline = experiment.variants.first().map_or("", |v| v.name.as_str());
    let summaries = experiment::summarize(&runs, baseline);
    let summary = report::markdown(&experiment.name, &summaries);
    std::fs::write(dir.join("report.html"), report::html(&experiment.name, &runs, &summaries)?)?;
    std::fs::write(dir.join("report.md"), &summary)?;
    out!("{summary}");
    Ok(true)
}

fn compare(one: &std::path::Path, other: &std::path::Path, metrics: &[String]) -> Result<bool> {
    let load = |dir: &std::path::Path| experiment::load_runs(&dir.join("runs.jsonl"));
    let mut summaries = experiment::compare_runs(&load(one)?, &load(other)?);
    summaries.retain(|c| metrics.is_empty() || metrics.contains(&c.metric));
    anyhow::ensure!(
        !summaries.is_empty(),
        "the experiments have no run in common: day, size, variant and seed must be equal"
    );
    out!("{}", report::markdown("comparison", &summaries));
    let worse = |c: &experiment::MetricSummary| c.compared.is_some_and(|c| c.verdict == Verdict::Worse);
    Ok(!summaries.iter().any(worse))
}

fn resolve_jobs(requested: usize) -> usize {
    match requested {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        n => n.min(256),
    }
}

fn print_timeline(scenario: &Scenario, plant: Option<FaultInjection>) -> Result<()> {
    let (_, _, played) = explore::simulate(scenario, plant)?;
    let start = wheelfield_testbed::virtual_time::first_arrival_time();
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
        let unavailable: Vec<String> =
            l.unavailable_engines.iter().map(|n| format!("{} {}", n.engine, n.status)).collect();
        lines.push((
            l.at,
            format!(
                "{:<10} {query:<10} {} {} {} {}",
                l.engine,
                l.event,
                l.sent_by,
                l.controller,
                unavailable.join(", ")
            ),
        ));
    }
    lines.sort_by_key(|(t, _)| *t);
    for (t, line) in lines {
        outln!("{:>10.3} {}", ms(t), line.trim_end());
    }
    Ok(())
}

fn replay_scenario(file: &std::path::Path, args: &ExploreArgs) -> Result<bool> {
    let plant = args.plant;
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let scenario: Scenario = toml::from_str(&text).with_context(|| format!("{}", file.display()))?;
    if args.course {
        print_timeline(&scenario, plant)?;
    }
    let outcome = explore::run(&scenario, plant)?;
    outln!("{} tries, {} events", outcome.tries, outcome.events);
    for (rule, what) in &outcome.failures {
        outln!("{rule}: {what}");
    }
    Ok(outcome.passed())
}

fn run_exploration(args: &ExploreArgs) -> Result<bool> {
    let began = std::time::Instant::now();
    let limit = std::time::Duration::from_secs(args.seconds);
    let last_printed_second = std::sync::atomic::AtomicU64::new(0);
    let should_stop = |all: &explore::ExplorationSummary| {
        let s = began.elapsed().as_secs();
        if last_printed_second.swap(s, std::sync::atomic::Ordering::Relaxed) != s {
            err!("\r{} days, {} failed   ", all.days, all.failed.len());
        }
        began.elapsed() >= limit || (args.first && !all.failed.is_empty())
    };
    let numbers = args.from..args.from.saturating_add(args.days);
    let all = explore::explore(numbers, resolve_jobs(args.jobs), args.plant, should_stop);
    let took = began.elapsed().as_secs_f64();
    err!("\n");
    outln!(
        "{} days in {took:.1} s ({:.0} per second): {} tries, {} events, {} days failed",
        all.days,
        all.days as f64 / took.max(1e-9),
        all.tries,
        all.events,
        all.failed.len()
    );
    if args.seen {
        for (what, (days, times)) in &all.coverage {
            outln!("{what:<60} {days:>8} days {times:>10} times{}", if *times == 0 { "  NEVER" } else { "" });
        }
    }
    for (scenario, rule, what) in &all.failed {
        outln!("seed {}: {rule}: {what}", scenario.seed);
        let Some(dir) = &args.out else { continue };
        std::fs::create_dir_all(dir)?;
        let (shrunk, played) = explore::shrink(scenario, rule, args.plant);
        let path = dir.join(format!("{}-{rule}.toml", scenario.seed));
        std::fs::write(&path, toml::to_string(&shrunk)?)?;
        outln!("  shrunk in {played} runs: {}", path.display());
    }
    Ok(all.failed.is_empty())
}

fn run_until_interrupted(args: &UpArgs) -> Result<bool> {
    let mut day = read_day(None)?;
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

fn run_measurement(args: &MeasureArgs) -> Result<bool> {
    let options = measure::MeasureOptions {
        pairs: args.pairs.clamp(1, 10_000_000),
        seconds: args.seconds.clamp(1, 600),
        connections: args.connections.clamp(1, 10_000),
        idle: args.idle.min(18_000),
        rounds: args.rounds.min(1000),
    };
    let dir = tempfile::tempdir()?;
    let measurements = measure::measure(&read_day(None)?, dir.path(), options)?;
    let mut out = std::io::stdout().lock();
    if args.json {
        serde_json::to_writer(&mut out, &measurements)?;
        std::io::Write::write_all(&mut out, b"\n")?;
    } else {
        measure::print(&measurements, &mut out)?;
    }
    Ok(true)
}
