//! `wheelfield-controller`: clients through the module's decisions to engines and back, by PostgreSQL's protocol or the
//! operators' platform's.

use anyhow::{anyhow, Context, Result};
use clap::{Parser, Subcommand, ValueEnum};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;
use wheelfield_config::Config;
use wheelfield_controller::platform::{self, Node};
use wheelfield_controller::postgres::App;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_platform::BootstrapConfig;

/// Log lines that wait to be written; more are lost.
const LOG_LINES: usize = 4_096;

/// Admits queries of PostgreSQL clients and routes them to a pool of engines.
///
/// One line of JSON on standard output tells where it listens; logs go to standard error. On SIGTERM or SIGINT it takes
/// no new clients, answers what it has, and ends with 0. Exit codes: 0 good, 1 failed while running, 2 bad use or a
/// configuration that can't be used.
#[derive(Parser)]
#[command(
    name = "wheelfield-controller",
    version,
    subcommand_negates_reqs = true,
    args_conflicts_with_subcommands = true
)]
struct Args {
    #[command(subcommand)]
    mode: Option<Mode>,
    /// The configuration, as TOML.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Only check the configuration.
    #[arg(long)]
    check: bool,
    /// Listens here in place of what the configuration says.
    #[arg(long, value_name = "ADDR")]
    listen: Option<SocketAddr>,
    /// Seed of the module's chance; the same inputs and seed give the same decisions.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    #[command(flatten)]
    logs: Logs,
    /// A fault for the laboratory's judge to find, in builds that have them.
    #[arg(long, value_name = "FAULT", hide = true, value_parser = FaultInjection::parse)]
    plant: Option<FaultInjection>,
}

#[derive(Subcommand)]
enum Mode {
    /// Serves on the operators' platform: HTTP clients, executors' lines, names by DNS. Nothing is written but logs.
    ///
    /// SIGHUP reads the configuration anew, for another name service. On SIGTERM or SIGINT it serves clients that still come,
    /// answers what it has, and ends with 0.
    Platform {
        /// The configuration, as JSON; without it the file that LB_CONFIG names.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Only check the configuration.
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        logs: Logs,
    },
}

#[derive(clap::Args)]
struct Logs {
    /// How logs are written.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// What is logged: error, warn, info, debug, or targets as in `wheelfield_pg_gateway=debug`.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

fn load(args: &Args) -> Result<Config> {
    let path = args.config.as_ref().context("--config is missing")?;
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let mut config = wheelfield_config::parse(&path.display().to_string(), &text)?;
    if let Some(listen) = args.listen {
        anyhow::ensure!(
            listen.ip().is_loopback(),
            "--listen {listen} is not a loopback address; use one of 127.0.0.0/8"
        );
        config.listen = listen;
    }
    Ok(config)
}

/// Bad use, or a configuration that can't be used.
fn unusable(fault: &anyhow::Error) -> ExitCode {
    eprintln!("wheelfield-controller: {fault:#}");
    ExitCode::from(2)
}

/// Logs from now on; a full pipe costs log lines, never queries.
fn begin_logs(logs: &Logs) -> Result<tracing_appender::non_blocking::WorkerGuard> {
    let filter = EnvFilter::try_new(&logs.log)
        .map_err(|_| anyhow!("--log {} is no level; known: error, warn, info, debug", logs.log))?;
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).finish(std::io::stderr());
    let to = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    match logs.log_format {
        LogFormat::Json => to.json().flatten_event(true).init(),
        LogFormat::Text => to.init(),
    }
    Ok(guard)
}

/// How the run of a controller ended.
fn ended(how: Result<()>) -> ExitCode {
    match how {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("wheelfield-controller: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Some(Mode::Platform { config, check, logs }) = &args.mode {
        let path = config.clone().or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
        let loaded = path
            .context("no configuration: give --config FILE, or LB_CONFIG")
            .and_then(|path| Ok((platform::load(&path)?, path)));
        let (launch, path) = match loaded {
            Ok(loaded) => loaded,
            Err(fault) => return unusable(&fault),
        };
        if *check {
            return ExitCode::SUCCESS;
        }
        return match begin_logs(logs) {
            Ok(_guard) => ended(run_platform(launch, &path)),
            Err(fault) => unusable(&fault),
        };
    }
    let config = match load(&args) {
        Ok(config) => config,
        Err(fault) => return unusable(&fault),
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match begin_logs(&args.logs) {
        Ok(_guard) => ended(run(config, &args)),
        Err(fault) => unusable(&fault),
    }
}

/// A stream on which a byte comes with each of these signals.
fn heard(signals: &[i32]) -> Result<UnixStream> {
    let (heard, raised) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, raised.try_clone()?)?;
    }
    Ok(heard)
}

fn run_platform(launch: BootstrapConfig, config: &Path) -> Result<()> {
    // Before it listens: whoever finds it listening may send a signal, which is not to end it unheard.
    let (stop, reload) = (heard(&[SIGTERM, SIGINT])?, heard(&[SIGHUP])?);
    let mut node = Node::open(launch, config)?;
    node.stop_on(stop)?;
    node.reload_on(reload)?;
    node.run()
}

fn run(config: Config, args: &Args) -> Result<()> {
    let seed = args.seed.or(config.seed).unwrap_or_else(rand::random);
    let (stop, keep) = (heard(&[SIGTERM, SIGINT])?, heard(&[SIGUSR1])?);
    let mut app = App::open(config, seed, args.plant)?;
    app.stop_on(stop)?;
    app.keep_on(keep)?;
    println!("{}", app.addresses());
    std::io::stdout().flush()?;
    tracing::info!(seed, "started");
    app.run()?;
    tracing::info!("stopped");
    Ok(())
}
