//! `wheelfield-check`: checks on captures whether controllers kept the seven rules.

use anyhow::Result;
use clap::Parser;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use wheelfield_console::errln;
use wheelfield_invariant_check::{check, CheckReport};
use wheelfield_invariants::{Violation, RULES};

/// Checks on captures alone whether controllers kept the seven rules.
///
/// Exit codes: 0 if all rules were kept, 1 if a rule was violated or a capture cannot be read, 2 for invalid arguments.
#[derive(Parser)]
#[command(name = "wheelfield-check", version)]
struct Cli {
    /// The captures, preferably those of all controllers together.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// How long a controller may still send to an engine after it was told that the engine is draining or removed, in
    /// milliseconds.
    #[arg(long = "grace", value_name = "MS", default_value_t = 0)]
    drain_grace_ms: i64,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
    /// Maximum number of violations that are shown one by one.
    #[arg(long = "most", value_name = "N", default_value_t = 20)]
    max_violations: usize,
}

/// The report as JSON.
#[derive(Serialize)]
struct JsonReport<'a> {
    queries: usize,
    #[serde(rename = "open")]
    unfinished_queries: usize,
    attempts: usize,
    #[serde(rename = "lives")]
    lifetimes: usize,
    /// Number of violations of each rule.
    rules: BTreeMap<&'static str, usize>,
    /// Index of the controller, and start and end in seconds.
    stalls: Vec<(usize, f64, f64)>,
    #[serde(rename = "unvouched")]
    unverified_captures: Vec<String>,
    #[serde(rename = "breaches")]
    violations: Vec<&'a Violation>,
}

fn main() -> ExitCode {
    wheelfield_console::exit_code(run_program())
}

fn run_program() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            // The reader of the output may close the pipe early, as `head` does; this is no failure.
            let io_error = error.downcast_ref::<std::io::Error>();
            if io_error.is_some_and(|e| e.kind() == std::io::ErrorKind::BrokenPipe) {
                return ExitCode::SUCCESS;
            }
            errln!("wheelfield-check: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<bool> {
    let report = check(&cli.files, cli.drain_grace_ms.saturating_mul(1000))?;
    let count = |rule: &str| report.violations.iter().filter(|violation| violation.rule == rule).count();
    let rules: BTreeMap<&'static str, usize> = RULES.iter().map(|rule| (*rule, count(rule))).collect();
    let mut out = std::io::stdout().lock();
    if cli.json {
        let json = JsonReport {
            queries: report.queries,
            unfinished_queries: report.unfinished_queries,
            attempts: report.attempts,
            lifetimes: report.lifetimes,
            rules,
            stalls: stalls(&report),
            unverified_captures: unverified_spans(&report),
            violations: report.violations.iter().take(cli.max_violations).collect(),
        };
        writeln!(out, "{}", serde_json::to_string_pretty(&json)?)?;
        return Ok(report.violations.is_empty());
    }
    writeln!(
        out,
        "{} queries, {} attempts, {} controller lifetimes; {} queries were unfinished at the end of their capture",
        report.queries, report.attempts, report.lifetimes, report.unfinished_queries
    )?;
    for line in unverified_spans(&report) {
        writeln!(out, "{line}")?;
    }
    for (controller, from, to) in stalls(&report) {
        let duration = to - from;
        writeln!(
            out,
            "controller {controller} was stalled for {duration:.2} s at {from:.2} s; late answers, drains and retries during the stall are not checked"
        )?;
    }
    for (i, rule) in RULES.iter().enumerate() {
        let count = rules.get(rule).copied().unwrap_or(0);
        let result = if count == 0 { "kept".to_string() } else { format!("BROKEN {count} times") };
        writeln!(out, "rule {} {:<10} {result}", i + 1, rule)?;
    }
    for violation in report.violations.iter().take(cli.max_violations) {
        writeln!(
            out,
            "  {} at {:.2} s: {}",
            violation.rule,
            violation.at as f64 / 1e6,
            violation.description
        )?;
    }
    Ok(report.violations.is_empty())
}

/// The stalls, in seconds since the start of the history.
fn stalls(report: &CheckReport) -> Vec<(usize, f64, f64)> {
    let seconds = |at: i64| (at - report.started_at) as f64 / 1e6;
    report.stalls.iter().map(|(controller, from, to)| (*controller, seconds(*from), seconds(*to))).collect()
}

/// A line for each loss or truncation of a capture.
fn unverified_spans(report: &CheckReport) -> Vec<String> {
    let mut lines = Vec::new();
    for (file, verdict) in &report.unverified_captures {
        for wheelfield_replay::UnverifiedSpan { after_step, to_step } in &verdict.unverified {
            lines.push(format!(
                "{}: records are lost between steps {after_step} and {to_step}",
                file.display()
            ));
        }
        if let Some(step) = verdict.truncated_after {
            lines.push(format!("{}: truncated after step {step}", file.display()));
        }
    }
    lines
}
