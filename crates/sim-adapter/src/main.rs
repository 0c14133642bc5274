//! Runs instances of the policy module for the operators' simulator, which sends batches of lines on standard input and reads
//! the replies from standard output.
#![forbid(unsafe_code)]

mod decision;
mod engine_list;
mod error;
mod host;
mod line;
mod shadow_driver;
mod translator;

use clap::Parser;
use error::{AdapterError, HostError};
use host::{BatchState, Host};
use shadow_driver::Summary;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs instances of the policy module for the operators' simulator.
///
/// Reads batches of lines from standard input and writes the replies to standard output. Exit codes: 0 at the end of the input,
/// 1 after an error or, with --capture, if the driver's decisions differ from the module's, 2 for invalid arguments.
#[derive(Parser)]
#[command(name = "wheelfield-sim-adapter", version)]
struct Cli {
    /// Directory for captures: writes one for each run of each instance, and compares the driver's decisions with the module's.
    #[arg(long, value_name = "DIR")]
    capture: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(Cli::parse().capture) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "wheelfield-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to the batches on standard input, then writes the summary of a run with captures.
fn run(capture_dir: Option<PathBuf>) -> Result<(), AdapterError> {
    let mut host = Host::new(capture_dir);
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    for (index, text) in stdin.lines().enumerate() {
        let line_error = |error| AdapterError::Line {
            number: index + 1,
            error,
        };
        let text = text.map_err(|error| line_error(HostError::Read(error)))?;
        let text = text.trim_end_matches('\r');
        if text.is_empty() {
            continue;
        }
        if host.handle_line(text).map_err(line_error)? == BatchState::Complete {
            let reply = host.take_reply();
            let written = stdout
                .write_all(reply.as_bytes())
                .and_then(|()| stdout.flush());
            written.map_err(AdapterError::WriteReply)?;
        }
    }
    if host.is_inside_batch() {
        return Err(AdapterError::IncompleteBatch);
    }
    host.finish()
        .map_or(Ok(()), |(dir, summary)| report_summary(&dir, summary))
}

/// Writes the summary of a run with captures to standard error, and also to a file, since the simulator does not show the
/// standard error of its subprocesses.
fn report_summary(dir: &Path, summary: Summary) -> Result<(), AdapterError> {
    let Summary {
        captures,
        steps,
        lost,
        matching_decisions,
        differences,
    } = summary;
    let totals = format!(
        "{captures} captures, {steps} steps, {lost} records lost; {matching_decisions} instructions equal"
    );
    let path = dir.join(format!("adapter-{}.txt", std::process::id()));
    std::fs::write(&path, format!("{totals}\n{}\n", differences.join("\n")))
        .map_err(|error| AdapterError::WriteSummary { path, error })?;
    let _ = writeln!(std::io::stderr(), "{totals}");
    match differences.first() {
        None => Ok(()),
        Some(first) => Err(AdapterError::Difference {
            captures: differences.len(),
            first: first.clone(),
        }),
    }
}
