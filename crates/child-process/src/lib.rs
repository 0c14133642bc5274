//! Child processes that hold no copy of their parent's sockets.
//!
//! A child process has a copy of each descriptor of its parent until it executes its program, however they are opened. A socket
//! that one thread closes while another starts a process stays open until then, tens of milliseconds on a busy machine: its peer
//! learns of the close only afterwards, and its port stays in use. [`start`] and [`Unshared`] exclude each other.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::ops::{Deref, DerefMut};
use std::process::{Child, Command};
use std::sync::{PoisonError, RwLock};

/// Locked for writing while a process is started, and for reading while a socket is closed.
static PROCESS_START: RwLock<()> = RwLock::new(());

/// Starts a process. When this returns, the process has executed its program and shares no descriptor that is closed on execution.
///
/// # Errors
/// If the process cannot be started or observed.
pub fn start(command: &mut Command) -> io::Result<Child> {
    let _starting = PROCESS_START
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    let mut child = command.spawn()?;
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
