//! The built program and its arguments.

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

fn command(ip: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-engine"));
    command.args(["--engines", "2", "--ip", ip]).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Another run took the port of a killed engine, which could not start again.
#[test]
fn all_sockets_have_the_ip_address_that_the_caller_reserved() {
    let mut child = command("127.9.8.7").spawn().expect("the program");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    child.kill().expect("a child");
    child.wait().expect("a child");
    assert_eq!(line.matches("\"127.9.8.7:").count(), 4, "{line}");
    assert_eq!(line.matches("\"127.0.0.1:").count(), 0, "{line}");
}

#[test]
fn an_address_that_is_not_on_loopback_is_rejected() {
    let output = command("10.0.0.1").output().expect("the program");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("not a loopback address"));
}
