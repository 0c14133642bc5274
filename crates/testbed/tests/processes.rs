//! The processes that the test bed starts: errors of those that end before they print their addresses, and their end when the
//! test bed itself is interrupted.
//!
//! The programs are those that `cargo test` builds for the whole workspace.

use rustix::process::{getpgid, kill_process, Pid, Signal};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wheelfield_testbed::processes::Process;

const TIMEOUT: Duration = Duration::from_secs(30);
const CONTROLLERS: usize = 2;

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

/// The processes whose parent is this one.
fn children_of(parent: Pid) -> Vec<Pid> {
    let processes = std::fs::read_dir("/proc").expect("Linux").flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    let parent = parent.as_raw_nonzero().to_string();
    let is_child = |pid: &Pid| {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero())).unwrap_or_default();
        stat.rsplit_once(')').and_then(|(_, fields)| fields.split_whitespace().nth(1)) == Some(&parent)
    };
    ids.filter_map(Pid::from_raw).filter(is_child).collect()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A soak that is asked to end when this is dropped.
struct Soak(Child);

impl Drop for Soak {
    fn drop(&mut self) {
        if let Ok(None) = self.0.try_wait() {
            let _ = kill_process(Pid::from_child(&self.0), Signal::TERM);
            let _ = self.0.wait();
        }
    }
}

#[test]
fn an_interrupted_soak_ends_its_controllers_which_have_groups_of_their_own() {
    for signal in [Signal::INT, Signal::TERM, Signal::HUP] {
        let soak = Command::new(env!("CARGO_BIN_EXE_wheelfield-testbed"))
            .args(["soak", "--seconds", "30", "--controllers", &CONTROLLERS.to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let mut soak = Soak(soak);
        let pid = Pid::from_child(&soak.0);
        wait_until("the controllers", || children_of(pid).len() == CONTROLLERS);
        let controllers = children_of(pid);
        for controller in &controllers {
            assert_eq!(getpgid(Some(*controller)).ok(), Some(*controller));
        }
        kill_process(pid, signal).expect("a child");
        let status = soak.0.wait().expect("a child");
        assert_eq!(status.code(), Some(128 + signal.as_raw()));
        let is_running = |pid: &Pid| {
            let path = format!("/proc/{}/cmdline", pid.as_raw_nonzero());
            std::fs::read_to_string(path).is_ok_and(|line| line.contains("wheelfield-controller"))
        };
        wait_until("the end of the controllers", || !controllers.iter().any(is_running));
    }
}
