//! `wheelfield-controller`: PostgreSQL clients through the module's decisions to engines and back.

use anyhow::{Context, Result};
use clap::{Parser, ValueEnum};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;
use wheelfield_config::Config;
use wheelfield_controller::app::App;
use wheelfield_gate::plant::Plant;

/// Admits queries of PostgreSQL clients and routes them to a pool of engines.
///
/// One line of JSON on standard output tells where it listens; logs go to standard error. On SIGTERM or SIGINT it takes
/// no new clients, answers what it has, and ends with 0. Exit codes: 0 good, 1 failed while running, 2 bad use or a
/// configuration that can't be used.
#[derive(Parser)]
#[command(name = "wheelfield-controller", version)]
struct Args {
    /// The configuration, as TOML.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Only check the configuration.
    #[arg(long)]
    check: bool,
    /// Listens here in place of what the configuration says.
    #[arg(long, value_name = "ADDR")]
    listen: Option<SocketAddr>,
    /// Seed of the module's chance; the same inputs and seed give the same decisions.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// How logs are written.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// What is logged: error, warn, info, debug, or targets as in `wheelfield_gate=debug`.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: String,
    /// A fault for the laboratory's judge to find, in builds that have them.
    #[arg(long, value_name = "FAULT", hide = true, value_parser = Plant::parse)]
    plant: Option<Plant>,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

fn load(args: &Args) -> Result<Config> {
    let text = std::fs::read_to_string(&args.config)
        .with_context(|| format!("cannot read {}", args.config.display()))?;
    let mut config = wheelfield_config::parse(&args.config.display().to_string(), &text)?;
    if let Some(listen) = args.listen {
        anyhow::ensure!(
            listen.ip().is_loopback(),
            "--listen {listen} is not a loopback address; use one of 127.0.0.0/8"
        );
        config.listen = listen;
    }
    Ok(config)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let config = match load(&args) {
        Ok(config) => config,
        Err(fault) => {
            eprintln!("wheelfield-controller: {fault:#}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let Ok(filter) = EnvFilter::try_new(&args.log) else {
        eprintln!("wheelfield-controller: --log {} is no level; known: error, warn, info, debug", args.log);
        return ExitCode::from(2);
    };
    // A full pipe costs log lines, never queries.
    let (writer, _guard) = tracing_appender::non_blocking(std::io::stderr());
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    match args.log_format {
        LogFormat::Json => logs.json().flatten_event(true).init(),
        LogFormat::Text => logs.init(),
    }
    match run(config, &args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("wheelfield-controller: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config, args: &Args) -> Result<()> {
    let seed = args.seed.or(config.seed).unwrap_or_else(rand::random);
    let mut app = App::open(config, seed, args.plant)?;
    let (heard, raised) = std::os::unix::net::UnixStream::pair()?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::low_level::pipe::register(signal, raised.try_clone()?)?;
    }
    app.stop_on(heard)?;
    let (heard, raised) = std::os::unix::net::UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGUSR1, raised)?;
    app.keep_on(heard)?;
    println!("{}", app.addresses());
    std::io::stdout().flush()?;
    tracing::info!(seed, "started");
    app.run()?;
    tracing::info!("stopped");
    Ok(())
}
