//! `wheelfield-replay`: replays what a controller decided, and shows why.
#![forbid(unsafe_code)]

mod commands;

use clap::{Parser, Subcommand};
use commands::Outcome;
use std::path::PathBuf;
use std::process::ExitCode;

/// Feeds a capture to the same driver and compares the decisions.
///
/// Exit codes: 0 decisions equal (or done), 1 a difference or a damaged capture, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-replay", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays: all decisions equal, or the first difference with both sides and the steps before it.
    Run {
        /// The capture.
        file: PathBuf,
        /// Goes on at the next checkpoint where records are lost, and says which steps are not verified.
        #[arg(long)]
        over_gaps: bool,
        /// Enters at the last checkpoint before this, in seconds from the capture's first step.
        #[arg(long, value_name = "S")]
        from: Option<f64>,
        /// Replays so many times.
        #[arg(long, value_name = "N", default_value_t = 1)]
        times: u32,
    },
    /// The steps of one query, and what was known of the engines then, in each capture that has it.
    Explain {
        /// The captures: of several controllers, a query tried at more than one is joined by its client's name for it.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The query: its number, or the name its client gave it.
        #[arg(long, value_name = "ID")]
        query: String,
    },
    /// Which decisions on arriving queries would be others under altered settings.
    WhatIf {
        /// The capture.
        file: PathBuf,
        /// A setting by its path, such as max_attempts=1 or classes.0.latency_objective=500000.
        #[arg(long = "set", value_name = "KEY=VALUE", required = true)]
        set: Vec<String>,
        /// Decisions shown one by one.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// Counts and sizes.
    Stats {
        /// The capture.
        file: PathBuf,
    },
    /// Every step as a line of JSON.
    Export {
        /// The capture.
        file: PathBuf,
        /// The answers of this build, in place of those recorded.
        #[arg(long)]
        replayed: bool,
    },
    /// Which decisions another build takes otherwise, or this one under another configuration: a table by kind, class and
    /// engine, and the list.
    Diff {
        /// The capture.
        file: PathBuf,
        /// The other build's wheelfield-replay, or a controller's configuration (ending in .toml).
        #[arg(long, value_name = "PROGRAM|CONFIG")]
        against: PathBuf,
        /// Decisions shown one by one.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// A smaller capture that still replays.
    Cut {
        /// The capture.
        file: PathBuf,
        /// In seconds from its first step,
        #[arg(long, value_name = "S", default_value_t = 0.0)]
        from: f64,
        /// to.
        #[arg(long, value_name = "S")]
        to: f64,
        /// Where it goes.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// The same without names: tenants, names of queries and keys become stable pseudonyms; no decision changes.
    Scrub {
        /// The capture.
        file: PathBuf,
        /// Where it goes.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Writes a regression case: a scrubbed copy and a test that replays it.
    ToTest {
        /// The capture.
        file: PathBuf,
        /// Its name, of letters, digits and underscores.
        #[arg(long, value_name = "NAME")]
        name: String,
        /// The folder of the tests.
        #[arg(short, long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Cuts an incomplete block off the end of a file, as a crash leaves it.
    Repair {
        /// The capture.
        file: PathBuf,
    },
}

impl Command {
    fn execute(self) -> anyhow::Result<Outcome> {
        match self {
            Command::Run {
                file,
                over_gaps,
                from,
                times,
            } => commands::run::run_capture(&file, over_gaps, from, times),
            Command::Explain { files, query } => commands::explain::explain_query(&files, &query),
            Command::WhatIf { file, set, most } => {
                commands::what_if::alter_settings(&file, &set, most)
            }
            Command::Stats { file } => commands::stats::print_stats(&file),
            Command::Export { file, replayed } => commands::export::export_steps(&file, replayed),
            Command::Diff {
                file,
                against,
                most,
            } => commands::diff::diff_against(&file, &against, most),
            Command::Cut {
                file,
                from,
                to,
                out,
            } => commands::rewrite::cut_capture(&file, from, to, &out),
            Command::Scrub { file, out } => commands::rewrite::scrub_capture(&file, &out),
            Command::ToTest { file, name, out } => {
                commands::rewrite::write_test(&file, &name, &out)
            }
            Command::Repair { file } => commands::rewrite::repair_capture(&file),
        }
    }
}

fn main() -> ExitCode {
    match Cli::parse().command.execute() {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::Different) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wheelfield-replay: {error:#}");
            ExitCode::FAILURE
        }
    }
}
