//! The built program for PostgreSQL clients, in a process group of its own.

use super::{http, wait_until};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use wheelfield_fault_shim::FaultControl;

/// The program under test. It is killed when this is dropped.
pub struct Program {
    child: Child,
    stdout: Option<ChildStdout>,
    /// The address for clients; port 0 before it was printed.
    pub address: SocketAddr,
    folder: tempfile::TempDir,
}

impl Program {
    /// Starts the program and waits until it has a list of engines.
    pub fn start(config: &str) -> Program {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.toml");
        std::fs::write(&file, config).expect("written");
        let mut program = Program::spawn(folder, &file, Stdio::piped());
        program.wait_for_list();
        program
    }

    /// Starts the program with a configuration file that `folder` contains or not, without waiting until it serves.
    pub fn spawn(folder: tempfile::TempDir, file: &Path, stdout: Stdio) -> Program {
        let command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
        Program::spawn_command(command, folder, file, stdout)
    }

    /// Starts the program with faults of the operating system, without waiting until it serves.
    pub fn spawn_with_faults(config: &str, faults: &FaultControl) -> Program {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.toml");
        std::fs::write(&file, config).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelfield-controller"));
        command.envs(faults.environment());
        Program::spawn_command(command, folder, &file, Stdio::piped())
    }

    fn spawn_command(
        mut command: Command,
        folder: tempfile::TempDir,
        file: &Path,
        stdout: Stdio,
    ) -> Program {
        let log = std::fs::File::create(folder.path().join("log")).expect("a file");
        command
            .arg("--config")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log);
        let mut child = wheelfield_child_process::start(&mut command).expect("the program");
        Program {
            stdout: child.stdout.take(),
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            folder,
        }
    }

    /// Waits until the program has printed its addresses and has a list of engines.
    pub fn wait_for_list(&mut self) {
        let mut line = String::new();
        let stdout = self.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let addresses: Value = serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("no addresses but {line:?}; its log:\n{}", self.log()));
        let [address, admin] = ["listen", "admin"]
            .map(|name| addresses[name].as_str().expect("an address in the output"));
        wait_until("a list of engines", || {
            let (_, status) = http(admin, "GET", "/status");
            let status: Value = serde_json::from_str(&status).expect("JSON");
            status["figures"]["list_version"].as_u64() > Some(0)
        });
        self.address = address.parse().expect("an address");
    }

    /// Everything that the program has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).expect("a file")
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("a child");
    }

    /// Suspends the program, and waits until it is stopped.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the suspension", || {
            let stat = std::fs::read_to_string(&stat).expect("Linux");
            let state = stat.rsplit(") ").next();
            state.is_some_and(|state| state.starts_with('T'))
        });
    }

    /// How the program ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    /// Waits until the program ends.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("a child")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
