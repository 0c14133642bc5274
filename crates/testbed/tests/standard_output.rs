//! Programs whose standard output cannot be written: they do not panic, and tell of it where somebody wanted their output.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use std::process::{Command, Output, Stdio};
use wheelfield_testbed::processes::program;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");

/// Commands that print to standard output and succeed.
fn commands() -> Vec<(&'static str, Vec<String>)> {
    let example = |name: &str| format!("{EXAMPLES}{name}");
    let (engines, config) = (example("engines.toml"), example("controller.toml"));
    let capture = concat!(env!("CARGO_MANIFEST_DIR"), "/../replay/tests/troubles/hang.wfcap");
    vec![
        ("wheelfield-testbed", vec!["list".into(), "days".into()]),
        ("wheelfield-replay", vec!["stats".into(), capture.into()]),
        ("wheelfield-load", vec!["plan".into(), example("load.toml")]),
        ("wheelfield-endpoints", vec!["check".into(), engines, "--config".into(), config]),
    ]
}

fn run(name: &str, args: &[String], stdout: Stdio) -> Output {
    let mut command = Command::new(program(name, None).expect("the program is built"));
    let child = command.args(args).stdin(Stdio::null()).stdout(stdout).stderr(Stdio::piped()).spawn();
    child.expect("the program").wait_with_output().expect("a child")
}

/// Regression test: each of them panicked.
#[test]
fn a_program_that_cannot_write_its_output_exits_with_1_and_tells_why() {
    for (name, args) in commands() {
        let full = std::fs::File::options().write(true).open("/dev/full").expect("Linux");
        let output = run(name, &args, full.into());
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{name}: {error}");
        assert!(error.contains("cannot write to standard output: No space left"), "{name}: {error}");
    }
}

/// Regression test: each of them panicked.
#[test]
fn a_reader_that_needs_no_more_changes_nothing() {
    for (name, args) in commands() {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        drop(reader);
        let output = run(name, &args, writer.into());
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{name}: {error}");
        assert!(error.is_empty(), "{name}: {error}");
    }
}
