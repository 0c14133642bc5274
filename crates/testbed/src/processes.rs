//! The programs that the test bed starts, as child processes.

use anyhow::{Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wheelfield_fault_shim::FaultControl;

/// Time within which a process must print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a process that has closed its standard output ends.
const EXIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Builds all programs as tests need them, with fault injection. A build of some packages leaves it out.
pub(crate) const BUILD_COMMAND: &str = "cargo test --workspace --no-run";

/// Returns the path of a program: in this directory, or else beside the running program.
///
/// # Errors
/// If there is no such program.
pub fn program(name: &str, dir: Option<&Path>) -> Result<PathBuf> {
    if let Some(dir) = dir {
        let path = dir.join(name);
        return path.is_file().then_some(path).with_context(|| format!("no {name} in {}", dir.display()));
    }
    let own = std::env::current_exe()?;
    // Tests run from a folder below that of the programs.
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.with_context(|| format!("{name} does not stand beside {}; run `{BUILD_COMMAND}`", own.display()))
}

/// Number of lines of a log that an error shows.
const SHOWN_LOG_LINES: usize = 20;

/// The last lines of a log.
fn last_lines(path: &Path) -> String {
    let log = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n")
}

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The addresses that it printed on its first line, by name.
    pub addresses: Value,
}

impl Process {
    /// Starts a program and waits for its first line, on which it prints its addresses as JSON.
    ///
    /// # Errors
    /// If it does not start, or does not print its addresses in time.
    pub fn start(program: &Path, args: &[String], log: Option<&Path>) -> Result<Process> {
        Process::start_with_faults(program, args, log, None)
    }

    /// The same, with faults of the operating system.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub fn start_with_faults(
        program: &Path,
        args: &[String],
        log: Option<&Path>,
        faults: Option<&FaultControl>,
    ) -> Result<Process> {
        let stderr = match log {
            Some(path) => Stdio::from(std::fs::OpenOptions::new().create(true).append(true).open(path)?),
            None => Stdio::null(),
        };
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(stderr);
        command.envs(faults.into_iter().flat_map(FaultControl::environment));
        let mut child = wheelfield_child_process::start(&mut command)
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(stdout).read_line(&mut line);
            let _ = sender.send(read.map(|_| line));
        });
        let line = receiver.recv_timeout(START_TIMEOUT);
        let mut process = Process { child, addresses: Value::Null };
        let line = line.with_context(|| format!("{} printed nothing in time", program.display()))??;
        process.addresses = serde_json::from_str(&line).with_context(|| {
            let log = log.map_or_else(String::new, last_lines);
            let state = process.final_state();
            format!(
                "{} printed no addresses but {line:?}, {state}; the end of its log:\n{log}",
                program.display()
            )
        })?;
        Ok(process)
    }

    /// How the process ended, or that it has not.
    fn final_state(&mut self) -> String {
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return format!("and ended with {status}");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        "and still runs".to_string()
    }

    /// Returns an address that it printed.
    ///
    /// # Errors
    /// If it printed none of this name.
    pub fn address(&self, name: &str) -> Result<SocketAddr> {
        let address = self.addresses[name].as_str();
        Ok(address.with_context(|| format!("no address `{name}` was printed"))?.parse()?)
    }

    /// Sends a signal to it.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks it to end and waits for that. Returns its exit code; `None` if a signal ended it, or if it still runs.
    pub fn end(&mut self, within: Duration) -> Option<i32> {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Returns its processor time in seconds, and its memory in bytes.
    pub fn usage(&self) -> Option<(f64, u64)> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some((ticks / 100.0, pages * 4096))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
