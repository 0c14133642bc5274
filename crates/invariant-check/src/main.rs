//! `wheelfield-check`: whether the seven rules were kept, by what controllers captured.

use anyhow::Result;
use clap::Parser;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use wheelfield_invariant_check::{check, CheckReport};
use wheelfield_invariants::{Violation, RULES};

/// Judges the seven rules on captures alone, by the judge of the laboratory.
///
/// Exit codes: 0 kept, 1 a rule broken or a capture that can't be read, 2 bad use.
#[derive(Parser)]
#[command(name = "wheelfield-check", version)]
struct Cli {
    /// The captures, best of all controllers together.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// A controller may still send to an engine for so long after it was told that it drains or is gone, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    grace: i64,
    /// The verdict as JSON.
    #[arg(long)]
    json: bool,
    /// Breaches shown one by one.
    #[arg(long, value_name = "N", default_value_t = 20)]
    most: usize,
}

#[derive(Serialize)]
struct Shown<'a> {
    queries: usize,
    open: usize,
    attempts: usize,
    lives: usize,
    rules: BTreeMap<&'static str, usize>,
    stalls: Vec<(usize, f64, f64)>,
    unvouched: Vec<String>,
    breaches: Vec<&'a Violation>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            // A reader that closed the pipe has had enough.
            let broken = fault.downcast_ref::<std::io::Error>();
            if broken.is_some_and(|e| e.kind() == std::io::ErrorKind::BrokenPipe) {
                return ExitCode::SUCCESS;
            }
            eprintln!("wheelfield-check: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<bool> {
    let checked = check(&cli.files, cli.grace.saturating_mul(1000))?;
    let count = |rule: &str| checked.violations.iter().filter(|b| b.rule == rule).count();
    let rules: BTreeMap<&'static str, usize> = RULES.iter().map(|r| (*r, count(r))).collect();
    let mut out = std::io::stdout().lock();
    if cli.json {
        let shown = Shown {
            queries: checked.queries,
            open: checked.unfinished_queries,
            attempts: checked.attempts,
            lives: checked.lifetimes,
            rules,
            stalls: stalls(&checked),
            unvouched: unvouched(&checked),
            breaches: checked.violations.iter().take(cli.most).collect(),
        };
        writeln!(out, "{}", serde_json::to_string_pretty(&shown)?)?;
        return Ok(checked.violations.is_empty());
    }
    writeln!(
        out,
        "{} queries, {} attempts, {} lives of controllers; {} queries were open where their capture ends",
        checked.queries, checked.attempts, checked.lifetimes, checked.unfinished_queries
    )?;
    for line in unvouched(&checked) {
        writeln!(out, "{line}")?;
    }
    for (controller, from, to) in stalls(&checked) {
        let span = to - from;
        writeln!(
            out,
            "controller {controller} stood still for {span:.2} s at {from:.2} s; judged by what it did then"
        )?;
    }
    for (i, rule) in RULES.iter().enumerate() {
        let n = rules.get(rule).copied().unwrap_or(0);
        let word = if n == 0 { "kept".to_string() } else { format!("BROKEN {n} times") };
        writeln!(out, "rule {} {:<10} {word}", i + 1, rule)?;
    }
    for b in checked.violations.iter().take(cli.most) {
        writeln!(out, "  {} at {:.2} s: {}", b.rule, b.at as f64 / 1e6, b.description)?;
    }
    Ok(checked.violations.is_empty())
}

/// Stalls in seconds from the start.
fn stalls(checked: &CheckReport) -> Vec<(usize, f64, f64)> {
    let secs = |t: i64| (t - checked.started_at) as f64 / 1e6;
    checked.stalls.iter().map(|(c, from, to)| (*c, secs(*from), secs(*to))).collect()
}

fn unvouched(checked: &CheckReport) -> Vec<String> {
    let mut lines = Vec::new();
    for (file, verdict) in &checked.unverified_captures {
        for wheelfield_replay::UnverifiedSpan { after_step: from, to_step: to } in &verdict.unverified {
            lines.push(format!("{}: records are lost between steps {from} and {to}", file.display()));
        }
        if let Some(step) = verdict.truncated_after {
            lines.push(format!("{}: torn after step {step}", file.display()));
        }
    }
    lines
}
