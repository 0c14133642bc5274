//! `wheelfield-engine`: emulated engines for running a controller against.

use anyhow::{Context, Result};
use clap::Parser;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use wheelfield_console::{errln, outln};
use wheelfield_engine_emulator::host::Host;
use wheelfield_engine_emulator::setup::Setup;

/// Emulated engines: PostgreSQL on loopback ports, a registry that lists them, and fault injection.
///
/// Prints the listen addresses as one line of JSON on standard output. The process stops on SIGTERM
/// or SIGINT.
///
/// Faults: POST /fault?engine=NAME&kind=KIND&value=X to the control port, where KIND is kill, start,
/// hang, slow, errors, lose, half, full, flush, drain or shut. POST /registry?unavailable_ms=N makes
/// the registry unavailable.
#[derive(Parser)]
#[command(name = "wheelfield-engine", version)]
struct Args {
    /// Engines, kinds and registry as TOML.
    #[arg(long, value_name = "FILE", conflicts_with = "engines")]
    config: Option<PathBuf>,
    /// Number of engines with the default properties, without a file.
    #[arg(long, value_name = "N", default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=1000))]
    engines: u16,
    /// Only check the file.
    #[arg(long, requires = "config")]
    check: bool,
    /// IP address of all sockets, in 127.0.0.0/8. The ports of killed engines are free until these start again, so an address that
    /// nobody else uses keeps others from taking them.
    #[arg(long, value_name = "IP", default_value_t = Ipv4Addr::LOCALHOST)]
    ip: Ipv4Addr,
    /// Writes what each engine received, started, finished or dropped, as JSON lines.
    #[arg(long, value_name = "FILE")]
    log: Option<PathBuf>,
    /// Seed of the random draws for faults.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    wheelfield_console::exit_code(run_program())
}

fn run_program() -> ExitCode {
    let args = Args::parse();
    let setup = match &args.config {
        None => Ok(Setup::with_default_engines(usize::from(args.engines))),
        Some(path) => std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))
            .and_then(|text| Ok(Setup::parse(&path.display().to_string(), &text)?)),
    };
    let setup = match setup {
        Ok(setup) if args.ip.is_loopback() => Setup { ip: args.ip, ..setup },
        Ok(_) => {
            errln!("wheelfield-engine: --ip {} is not a loopback address; use one of 127.0.0.0/8", args.ip);
            return ExitCode::from(2);
        }
        Err(error) => {
            errln!("wheelfield-engine: {error:#}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match run(setup, &args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            errln!("wheelfield-engine: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(setup: Setup, args: &Args) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let mut host = Host::open(setup, args.log.as_deref(), args.seed)?;
    outln!("{}", host.addresses());
    host.serve(&stop)
}
