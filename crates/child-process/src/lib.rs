//! Child processes that hold no copy of their parent's sockets, and end with their parent.
//!
//! A child process has a copy of each descriptor of its parent until it executes its program, however they are opened. A socket
//! that one thread closes while another starts a process stays open until then, tens of milliseconds on a busy machine: its peer
//! learns of the close only afterwards, and its port stays in use. [`start`] and [`Unshared`] exclude each other.
//!
//! Each child has a process group of its own. In the group of a parent that is to stop some of its children, all of them would get
//! SIGHUP and SIGCONT if the shell that started the parent ends: the system sends these to a group with stopped processes that loses
//! its last link to the session. A terminal does not reach children in groups of their own, so a program that may be interrupted
//! calls [`kill_children_on_signals`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rustix::process::{kill_process, Pid, Signal};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::ops::{Deref, DerefMut};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command};
use std::sync::{PoisonError, RwLock};

/// A process that a signal ended has this exit code plus the signal, by the convention of shells.
const SIGNAL_EXIT_CODE: i32 = 128;

/// Locked for writing while a process is started, and for reading while a socket is closed.
static PROCESS_START: RwLock<()> = RwLock::new(());

/// Starts a process in a process group of its own. When this returns, the process has executed its program and shares no descriptor that is closed on execution.
///
/// # Errors
/// If the process cannot be started or observed.
pub fn start(command: &mut Command) -> io::Result<Child> {
    let _starting = PROCESS_START
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    let mut child = command.process_group(0).spawn()?;
    // Linux lets this process go on just before it closes the descriptors of the child, which has its own command line after that.
    let own_command_line = std::fs::read("/proc/self/cmdline")?;
    let command_line = format!("/proc/{}/cmdline", child.id());
    while child.try_wait()?.is_none() {
        let current = std::fs::read(&command_line)?;
        if !current.is_empty() && current != own_command_line {
            break;
        }
        std::thread::yield_now();
    }
    Ok(child)
}

/// Has SIGINT, SIGTERM and SIGHUP kill all children of this process and end it.
///
/// # Errors
/// If the handlers cannot be installed.
pub fn kill_children_on_signals() -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM, SIGHUP])?;
    std::thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            // No other thread may start a process from here on.
            let _ending = PROCESS_START
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            kill_children();
            std::process::exit(SIGNAL_EXIT_CODE + signal);
        }
    });
    Ok(())
}

fn kill_children() {
    let processes = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    for pid in ids.filter_map(Pid::from_raw) {
        if is_child(pid) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Whether a process is a child of this one. The name of its program, in parentheses, may contain spaces.
fn is_child(pid: Pid) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero()));
    let stat = stat.unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    fields.split_whitespace().nth(1) == Some(&std::process::id().to_string())
}

/// A socket that is closed while no process is being started by [`start`]. Once it is closed, no other process has it open.
#[derive(Debug)]
pub struct Unshared<T>(Option<T>);

impl<T> Unshared<T> {
    /// Wraps a socket.
    pub fn new(socket: T) -> Unshared<T> {
        Unshared(Some(socket))
    }
}

impl<T> Deref for Unshared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T> DerefMut for Unshared<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0.as_mut().expect("taken only when dropped")
    }
}

impl<T> Drop for Unshared<T> {
    fn drop(&mut self) {
        let _closing = PROCESS_START.read().unwrap_or_else(PoisonError::into_inner);
        drop(self.0.take());
    }
}
