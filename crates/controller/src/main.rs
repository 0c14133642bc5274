//! `wheelfield-controller`: admits the queries of clients and routes them to engines. It speaks either the PostgreSQL
//! protocol or the protocols of the operators' platform.

use anyhow::{anyhow, Context, Result};
use clap::{Parser, Subcommand, ValueEnum};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use wheelfield_config::Config;
use wheelfield_controller::platform::{self, LoadedConfig, PlatformController};
use wheelfield_controller::postgres::PostgresController;
use wheelfield_controller::signals::Signals;
use wheelfield_controller::startup::Startup;
use wheelfield_controller::ControllerError;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_platform::InjectedFault;

/// Maximum number of log lines that are buffered for writing. Further lines are dropped.
const MAX_BUFFERED_LOG_LINES: usize = 4_096;
/// Exit code for invalid arguments or an invalid configuration.
const EXIT_INVALID_USAGE: u8 = 2;

/// Admits queries of PostgreSQL clients and routes them to a pool of engines.
///
/// Prints one line of JSON with its listening addresses to standard output and logs to standard error. On SIGTERM or
/// SIGINT it accepts no new clients, answers the queries that it has accepted, and exits with 0. On SIGHUP it reads its
/// engine files and gossip keys at once; other changes of the configuration need a restart. Exit codes: 0 success,
/// 1 failure while running, 2 invalid arguments or configuration.
#[derive(Parser)]
#[command(
    name = "wheelfield-controller",
    version,
    subcommand_negates_reqs = true,
    args_conflicts_with_subcommands = true
)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// Path of the configuration file, in TOML.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Check the configuration and exit.
    #[arg(long)]
    check: bool,
    /// Listening address for clients, which overrides that of the configuration.
    #[arg(long, value_name = "ADDR")]
    listen: Option<SocketAddr>,
    /// Seed of the random number generator. The same inputs and seed produce the same decisions.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    #[command(flatten)]
    logs: LogArgs,
    /// Fault to inject, which the invariant checker must detect. Available only with the feature `planted`.
    #[arg(long = "plant", value_name = "FAULT", hide = true, value_parser = FaultInjection::parse)]
    fault: Option<FaultInjection>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves on the operators' platform: HTTP clients, executors with a line-based protocol, and discovery by DNS. Writes
    /// nothing but logs.
    ///
    /// SIGHUP reloads the configuration, to switch to another name service. On SIGTERM or SIGINT it still serves clients
    /// that connect, answers the queries that it has accepted, and exits with 0.
    Platform {
        /// Path of the configuration file, in JSON. Defaults to the path in the environment variable LB_CONFIG.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Check the configuration and exit.
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        logs: LogArgs,
        /// Fault to inject, which the soak test must detect. Available only with the feature `planted`.
        #[arg(long = "plant", value_name = "FAULT", hide = true, value_parser = InjectedFault::parse)]
        fault: Option<InjectedFault>,
    },
}

#[derive(clap::Args)]
struct LogArgs {
    /// Format of the log lines.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// Log level (error, warn, info or debug), or levels by target such as `wheelfield_pg_gateway=debug`.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match &args.command {
        Some(Command::Platform {
            config,
            check,
            logs,
            fault,
        }) => platform_command(config.clone(), *check, logs, *fault),
        None => postgres_command(&args),
    }
}

/// Serves PostgreSQL clients, or only checks the configuration if `--check` is given.
fn postgres_command(args: &Args) -> ExitCode {
    if args.check {
        return match read_config_file(args)
            .map_err(anyhow::Error::from)
            .and_then(|text| parse_config(args, &text))
        {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => exit_invalid_usage(&error),
        };
    }
    let signals = match Signals::install_for_postgres() {
        Ok(signals) => signals,
        Err(error) => return exit_code(Err(error.into())),
    };
    let _guard = match start_logging(&args.logs) {
        Ok(guard) => guard,
        Err(error) => return exit_invalid_usage(&error),
    };
    let mut startup = match Startup::new(&signals.shutdown) {
        Ok(startup) => startup,
        Err(error) => return exit_code(Err(error.into())),
    };
    let config = match startup.retry(|| read_config_file(args)) {
        Ok(Some(text)) => parse_config(args, &text),
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => Err(error.into()),
    };
    match config {
        Ok(config) => exit_code(run_postgres(&config, args, signals, &mut startup)),
        Err(error) => exit_invalid_usage(&error),
    }
}

/// Serves on the operators' platform, or only checks the configuration if `check` is set.
fn platform_command(
    config: Option<PathBuf>,
    check: bool,
    logs: &LogArgs,
    fault: Option<InjectedFault>,
) -> ExitCode {
    let path = config.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        return exit_invalid_usage(&anyhow!(
            "no configuration file; pass --config FILE or set LB_CONFIG"
        ));
    };
    if check {
        return match platform::load_config(&path) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => exit_invalid_usage(&error.into()),
        };
    }
    let signals = match Signals::install_for_platform() {
        Ok(signals) => signals,
        Err(error) => return exit_code(Err(error.into())),
    };
    let _guard = match start_logging(logs) {
        Ok(guard) => guard,
        Err(error) => return exit_invalid_usage(&error),
    };
    let mut startup = match Startup::new(&signals.shutdown) {
        Ok(startup) => startup,
        Err(error) => return exit_code(Err(error.into())),
    };
    match startup.retry(|| platform::load_config(&path)) {
        Ok(Some(loaded)) => {
            let opened = open_platform(&loaded, &signals, &mut startup);
            exit_code(opened.and_then(|controller| run_platform(controller, signals, fault)))
        }
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => exit_invalid_usage(&error.into()),
    }
}

fn read_config_file(args: &Args) -> Result<String, ControllerError> {
    let path = args.config.as_deref().unwrap_or(Path::new(""));
    std::fs::read_to_string(path).map_err(|source| ControllerError::ReadFile {
        path: path.to_path_buf(),
        source,
    })
}

fn parse_config(args: &Args, text: &str) -> Result<Config> {
    let path = args.config.as_ref().context("--config is missing")?;
    let mut config = wheelfield_config::parse(&path.display().to_string(), text)?;
    if let Some(listen) = args.listen {
        anyhow::ensure!(
            listen.ip().is_loopback(),
            "--listen {listen} is not a loopback address; use one of 127.0.0.0/8"
        );
        config.listen = listen;
    }
    Ok(config)
}

/// Starts logging, which lasts until the guard is dropped. If standard error blocks, log lines are dropped and queries are
/// not delayed.
fn start_logging(logs: &LogArgs) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(&logs.log).map_err(|_| {
        anyhow!(
            "invalid --log `{}`; expected error, warn, info, debug or target=level",
            logs.log
        )
    })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .finish(std::io::stderr());
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    match logs.log_format {
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
        LogFormat::Text => subscriber.init(),
    }
    Ok(guard)
}

fn run_postgres(
    config: &Config,
    args: &Args,
    signals: Signals,
    startup: &mut Startup,
) -> Result<()> {
    let seed = args.seed.or(config.seed).unwrap_or_else(rand::random);
    let opened = startup.retry(|| PostgresController::open(config.clone(), seed, args.fault))?;
    let Some(mut controller) = opened else {
        return Ok(());
    };
    controller.handle_signals(signals)?;
    print_addresses(&controller);
    tracing::info!(seed, "started");
    controller.run()?;
    tracing::info!("stopped");
    Ok(())
}

/// Prints the addresses of a controller. If that fails, it serves all the same: its addresses usually stand in its configuration, and
/// clients do not depend on whoever started it.
fn print_addresses(controller: &PostgresController) {
    let addresses = controller.addresses();
    let mut stdout = std::io::stdout().lock();
    if let Err(error) = writeln!(stdout, "{addresses}").and_then(|()| stdout.flush()) {
        tracing::warn!(%error, %addresses, "cannot print the addresses on standard output; serving all the same");
    }
}

/// Prints an error to standard error, if that can be written.
fn print_error(error: &anyhow::Error) {
    let _ = writeln!(std::io::stderr(), "wheelfield-controller: {error:#}");
}

/// Opens the sockets of a controller. Returns `None` if a shutdown was requested meanwhile.
fn open_platform(
    loaded: &LoadedConfig,
    signals: &Signals,
    startup: &mut Startup,
) -> Result<Option<PlatformController>> {
    Ok(startup.retry(|| {
        let mut controller = PlatformController::open(loaded)?;
        controller.shut_down_on(signals.shutdown.try_clone()?)?;
        controller.reload_on(signals.reload.try_clone()?)?;
        Ok(controller)
    })?)
}

/// Runs a controller, if there is one. Faults can be injected only in builds with the feature `planted`; other builds reject
/// their names when the arguments are parsed.
#[cfg_attr(not(feature = "planted"), expect(unused_variables))]
fn run_platform(
    controller: Option<PlatformController>,
    signals: Signals,
    injected_fault: Option<InjectedFault>,
) -> Result<()> {
    let Some(mut controller) = controller else {
        return Ok(());
    };
    controller.log_unused_signals(signals.unused);
    #[cfg(feature = "planted")]
    if let Some(fault) = injected_fault {
        controller.inject_fault(fault);
    }
    Ok(controller.run()?)
}

/// Prints an error in the arguments or the configuration and returns the exit code for it.
fn exit_invalid_usage(error: &anyhow::Error) -> ExitCode {
    print_error(error);
    ExitCode::from(EXIT_INVALID_USAGE)
}

/// Returns the exit code of a controller that ran, after printing its error if it failed.
fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}
