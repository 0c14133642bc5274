//! `wheelfield-replay`: replays captures of a controller and explains its decisions.
#![forbid(unsafe_code)]

mod commands;

use clap::{Parser, Subcommand};
use commands::Outcome;
use std::path::PathBuf;
use std::process::ExitCode;
use wheelfield_console::errln;

/// Replays captures of a controller and compares the decisions with the recorded ones.
///
/// Exit codes: 0 success and no differences, 1 differences or an error such as a damaged capture, 2 invalid arguments.
#[derive(Parser)]
#[command(name = "wheelfield-replay", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays a capture and reports the first decision that differs, with the steps before it.
    Run {
        /// Capture to read.
        file: PathBuf,
        /// Resume at the next checkpoint when records are missing, and report the steps that could not be verified.
        #[arg(long)]
        over_gaps: bool,
        /// Start at the last checkpoint before this time, in seconds after the first step of the capture.
        #[arg(long, value_name = "S")]
        from: Option<f64>,
        /// Number of replays.
        #[arg(long, value_name = "N", default_value_t = 1)]
        times: u32,
    },
    /// Shows the steps of one query and what the controller knew of the engines at each decision.
    Explain {
        /// Captures to search; those of several controllers are matched by the name that the client gave the query.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// ID of the query, or the name that its client gave it.
        #[arg(long, value_name = "ID")]
        query: String,
    },
    /// Shows the arriving queries on which the decision changes with altered settings.
    WhatIf {
        /// Capture to read.
        file: PathBuf,
        /// Setting to alter, by its path, such as max_attempts=1 or classes.0.latency_objective=500000.
        #[arg(long = "set", value_name = "KEY=VALUE", required = true)]
        set: Vec<String>,
        /// Maximum number of differences to list.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// Prints the size of a capture and the counts of its inputs and instructions.
    Stats {
        /// Capture to read.
        file: PathBuf,
    },
    /// Prints each step as a line of JSON.
    Export {
        /// Capture to read.
        file: PathBuf,
        /// Print the answers of this build instead of the recorded ones.
        #[arg(long)]
        replayed: bool,
    },
    /// Compares the decisions with those of another build or configuration: lists the differences and counts them in a table.
    Diff {
        /// Capture to read.
        file: PathBuf,
        /// wheelfield-replay program of the other build, or a controller configuration (ending in .toml).
        #[arg(long, value_name = "PROGRAM|CONFIG")]
        against: PathBuf,
        /// Maximum number of differences to list.
        #[arg(long, value_name = "N", default_value_t = 20)]
        most: usize,
    },
    /// Writes a part of a capture that can be replayed by itself.
    Cut {
        /// Capture to read.
        file: PathBuf,
        /// Start of the part, in seconds after the first step.
        #[arg(long, value_name = "S", default_value_t = 0.0)]
        from: f64,
        /// End of the part, in seconds after the first step.
        #[arg(long, value_name = "S")]
        to: f64,
        /// File to write.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Writes a copy in which tenants, query names and keys are replaced by pseudonyms, and verifies that no decision changes.
    Scrub {
        /// Capture to read.
        file: PathBuf,
        /// File to write.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Writes a regression test: a scrubbed copy and a test that replays it.
    ToTest {
        /// Capture to read.
        file: PathBuf,
        /// Name of the test, of lowercase letters, digits and underscores, starting with a letter.
        #[arg(long, value_name = "NAME")]
        name: String,
        /// Directory of the tests.
        #[arg(short, long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Removes an incomplete block, such as a crash leaves, from the end of a capture.
    Repair {
        /// Capture to repair.
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
    wheelfield_console::exit_code(run_program())
}

fn run_program() -> ExitCode {
    match Cli::parse().command.execute() {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::Different) => ExitCode::FAILURE,
        Err(error) => {
            errln!("wheelfield-replay: {error:#}");
            ExitCode::FAILURE
        }
    }
}
