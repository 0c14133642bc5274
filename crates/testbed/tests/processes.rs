//! Errors of processes that end before they print their addresses.

use std::path::Path;
use wheelfield_testbed::stage::Process;

/// The error of a shell that runs this script in place of a program of the test bed.
fn start_error(script: &str) -> String {
    let args = ["-c".to_string(), script.to_string()];
    let error = Process::start(Path::new("/bin/sh"), &args, None).expect_err("it prints no addresses");
    format!("{error:#}")
}

#[test]
fn the_error_tells_how_a_process_ended() {
    let error = start_error("exit 3");
    assert!(error.contains("exit status: 3"), "{error}");
    let error = start_error("kill -HUP $$");
    assert!(error.contains("SIGHUP"), "{error}");
}
