//! `wheelfield-controller`: admits the queries of clients and routes them to engines, by PostgreSQL's protocol or by that of
//! the operators' platform.

use anyhow::{anyhow, Context, Result};
use clap::{Parser, Subcommand, ValueEnum};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use wheelfield_config::Config;
use wheelfield_controller::platform::{self, Launch, PlatformController};
use wheelfield_controller::postgres::PostgresController;
use wheelfield_controller::startup::Startup;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_platform::InjectedFault;

/// Log lines that wait to be written, at most; more are lost.
const MAX_BUFFERED_LOG_LINES: usize = 4_096;
/// Exit code of bad use, and of a configuration that can't be used.
const EXIT_UNUSABLE: u8 = 2;

/// Admits queries of PostgreSQL clients and routes them to a pool of engines.
///
/// One line of JSON on standard output says where it listens; logs go to standard error. On SIGTERM or SIGINT it takes
/// no new clients, answers the queries it has, and ends with 0. Exit codes: 0 good, 1 failed while running, 2 bad use or a
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
    command: Option<Command>,
    /// The configuration, as TOML.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Only check the configuration.
    #[arg(long)]
    check: bool,
    /// Listens here in place of what the configuration says.
    #[arg(long, value_name = "ADDR")]
    listen: Option<SocketAddr>,
    /// Seed of the random generator; the same inputs and seed give the same decisions.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    #[command(flatten)]
    logs: LogArgs,
    /// A fault for the invariant checker to find, in builds that have them.
    #[arg(long = "plant", value_name = "FAULT", hide = true, value_parser = FaultInjection::parse)]
    fault: Option<FaultInjection>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves on the operators' platform: HTTP clients, executors' lines, names by DNS. Nothing is written but logs.
    ///
    /// SIGHUP reads the configuration again, for another name service. On SIGTERM or SIGINT it serves clients that still come,
    /// answers the queries it has, and ends with 0.
    Platform {
        /// The configuration, as JSON; without it the file that LB_CONFIG names.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Only check the configuration.
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        logs: LogArgs,
        /// A fault for the soak to find, in builds that have them.
        #[arg(long, value_name = "FAULT", hide = true, value_parser = InjectedFault::parse)]
        plant: Option<InjectedFault>,
    },
}

#[derive(clap::Args)]
struct LogArgs {
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

fn main() -> ExitCode {
    let args = Args::parse();
    match &args.command {
        Some(Command::Platform {
            config,
            check,
            logs,
            plant,
        }) => platform_command(config.clone(), *check, logs, *plant),
        None => postgres_command(&args),
    }
}

/// Serves PostgreSQL clients, or only checks the configuration.
fn postgres_command(args: &Args) -> ExitCode {
    let config = match load_config(args) {
        Ok(config) => config,
        Err(error) => return exit_unusable(&error),
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match start_logging(&args.logs) {
        Ok(_guard) => exit_code(run_postgres(config, args)),
        Err(error) => exit_unusable(&error),
    }
}

/// Serves on the operators' platform, or only checks the configuration.
fn platform_command(
    config: Option<PathBuf>,
    check: bool,
    logs: &LogArgs,
    plant: Option<InjectedFault>,
) -> ExitCode {
    let path = config.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        return exit_unusable(&anyhow!(
            "no configuration: give --config FILE, or LB_CONFIG"
        ));
    };
    if check {
        return match platform::load(&path) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => exit_unusable(&error.into()),
        };
    }
    // Signals may come from the very beginning, and must not end the process by default.
    let signals = match PlatformSignals::install() {
        Ok(signals) => signals,
        Err(error) => return exit_code(Err(error)),
    };
    let _guard = match start_logging(logs) {
        Ok(guard) => guard,
        Err(error) => return exit_unusable(&error),
    };
    let mut startup = match Startup::begin(&signals.shutdown) {
        Ok(startup) => startup,
        Err(error) => return exit_code(Err(error.into())),
    };
    match startup.step(|| platform::load(&path)) {
        Ok(Some(launch)) => {
            let opened = open_platform(&launch, &signals, &mut startup);
            exit_code(opened.and_then(|controller| run_platform(controller, plant)))
        }
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => exit_unusable(&error.into()),
    }
}

/// The signals that a controller on the platform obeys, as streams on which a byte arrives with each.
struct PlatformSignals {
    shutdown: UnixStream,
    reload: UnixStream,
}

impl PlatformSignals {
    fn install() -> Result<PlatformSignals> {
        Ok(PlatformSignals {
            shutdown: signal_stream(&[SIGTERM, SIGINT])?,
            reload: signal_stream(&[SIGHUP])?,
        })
    }
}

fn load_config(args: &Args) -> Result<Config> {
    let path = args.config.as_ref().context("--config is missing")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
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

/// Starts to write logs, until the guard is dropped. A full pipe costs log lines, never queries.
fn start_logging(logs: &LogArgs) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(&logs.log).map_err(|_| {
        anyhow!(
            "--log {} is no level; known: error, warn, info, debug",
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

fn run_postgres(config: Config, args: &Args) -> Result<()> {
    let seed = args.seed.or(config.seed).unwrap_or_else(rand::random);
    let (shutdown, write_capture) = (
        signal_stream(&[SIGTERM, SIGINT])?,
        signal_stream(&[SIGUSR1])?,
    );
    let mut controller = PostgresController::open(config, seed, args.fault)?;
    controller.shut_down_on(shutdown)?;
    controller.write_capture_on(write_capture)?;
    println!("{}", controller.addresses());
    std::io::stdout().flush()?;
    tracing::info!(seed, "started");
    controller.run()?;
    tracing::info!("stopped");
    Ok(())
}

/// Opens the sockets of a controller; none if a shutdown was requested meanwhile.
fn open_platform(
    launch: &Launch,
    signals: &PlatformSignals,
    startup: &mut Startup,
) -> Result<Option<PlatformController>> {
    Ok(startup.step(|| {
        let mut controller = PlatformController::open(launch)?;
        controller.shut_down_on(signals.shutdown.try_clone()?)?;
        controller.reload_on(signals.reload.try_clone()?)?;
        Ok(controller)
    })?)
}

/// Runs a controller, if there is one. A fault can be planted in builds that have them alone; others refuse its name.
#[cfg_attr(not(feature = "planted"), expect(unused_variables))]
fn run_platform(
    controller: Option<PlatformController>,
    plant: Option<InjectedFault>,
) -> Result<()> {
    let Some(mut controller) = controller else {
        return Ok(());
    };
    #[cfg(feature = "planted")]
    if let Some(fault) = plant {
        controller.plant(fault);
    }
    Ok(controller.run()?)
}

/// A stream on which a byte arrives with each of these signals. It is made before the sockets open: whoever finds them open
/// may send a signal, which must not end the process by default.
fn signal_stream(signals: &[i32]) -> Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}

/// Exit code of bad use, or of a configuration that can't be used.
fn exit_unusable(error: &anyhow::Error) -> ExitCode {
    eprintln!("wheelfield-controller: {error:#}");
    ExitCode::from(EXIT_UNUSABLE)
}

/// Exit code of a controller that ran.
fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheelfield-controller: {error:#}");
            ExitCode::FAILURE
        }
    }
}
