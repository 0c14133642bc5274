//! Injection of operating system faults into a process under test: failing system calls, short reads and writes, and steps of
//! the wall clock.
//!
//! [`library_path`] names a small C library that is preloaded (`LD_PRELOAD`) into the process. A [`FaultControl`] controls it
//! through a file that both processes share, so that faults can begin and end while the process runs. Other processes
//! are not affected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call_faults;

pub use call_faults::{CallFault, CALL_FAULTS};

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tempfile::NamedTempFile;

// Layout of the control file, which must match `shim/fault_shim.c`.
const SLOTS: u64 = 128;
const SLOT_BYTES: u64 = 8;
const WALL_CLOCK_OFFSET: u64 = 0;
const READ_LIMIT: u64 = 1;
const WRITE_LIMIT: u64 = 2;
const FIRST_CALL: u64 = 8;
const SLOTS_PER_CALL: u64 = 3;
/// A rate at which every call fails, in calls per thousand.
pub const ALWAYS: u32 = 1_000;

/// A kind of system call. The order must match the enum of the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept`, `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `connect`.
    Connect,
    /// `epoll_ctl`, except removals.
    Register,
    /// `epoll_wait`.
    Wait,
    /// `recv` and `read` on accepted connections.
    ReadAccepted,
    /// `recv` and `read` on connections that the process opened.
    ReadConnected,
    /// `send` and `write` on accepted connections.
    WriteAccepted,
    /// `send` and `write` on connections that the process opened.
    WriteConnected,
    /// `sendto`.
    SendDatagram,
    /// `recvfrom`.
    ReceiveDatagram,
    /// `open`.
    Open,
}

/// An error that a call returns, with its number on Linux.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    /// `EINTR`: interrupted by a signal.
    Interrupted = 4,
    /// `EIO`: an error of the device.
    InputOutput = 5,
    /// `ENOMEM`: no memory is available.
    NoMemory = 12,
    /// `ENFILE`: the system is out of file descriptors.
    FileTableOverflow = 23,
    /// `EMFILE`: the process is out of file descriptors.
    TooManyFiles = 24,
    /// `EADDRINUSE`: the address is in use.
    AddressInUse = 98,
    /// `EADDRNOTAVAIL`: no local port is available.
    AddressNotAvailable = 99,
    /// `ENETUNREACH`: there is no route to the network.
    NetworkUnreachable = 101,
    /// `ECONNABORTED`: a connection was aborted before it was accepted.
    ConnectionAborted = 103,
    /// `ENOBUFS`: no buffer space is available.
    NoBufferSpace = 105,
    /// `ETIMEDOUT`: the peer did not respond.
    TimedOut = 110,
    /// `EHOSTUNREACH`: there is no route to the host.
    HostUnreachable = 113,
}

/// Returns the path of the library to preload.
pub fn library_path() -> &'static Path {
    Path::new(env!("WHEELFIELD_FAULT_SHIM"))
}

/// Controls the faults of one process, also while it runs.
#[derive(Debug)]
pub struct FaultControl {
    file: NamedTempFile,
}

impl FaultControl {
    /// Creates a control file without faults.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn new() -> io::Result<FaultControl> {
        let file = NamedTempFile::new()?;
        file.as_file().set_len(SLOTS * SLOT_BYTES)?;
        Ok(FaultControl { file })
    }

    /// Returns the environment variables with which the process under test must be started.
    pub fn environment(&self) -> [(&'static str, OsString); 2] {
        [
            ("LD_PRELOAD", library_path().into()),
            ("WHEELFIELD_FAULTS", self.file.path().into()),
        ]
    }

    /// Makes calls of a kind fail with an error, `per_mille` of a thousand on average.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn fail(&self, call: Call, errno: Errno, per_mille: u32) -> io::Result<()> {
        let first_slot = slot_of(call);
        self.write_slot(first_slot + 1, i64::from(per_mille))?;
        self.write_slot(first_slot, errno as i64)
    }

    /// Ends the failures of calls of a kind.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn succeed(&self, call: Call) -> io::Result<()> {
        self.write_slot(slot_of(call), 0)
    }

    /// Returns the number of failures that were injected into calls of a kind.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be read.
    pub fn injected_count(&self, call: Call) -> io::Result<u64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.control_file()
            .read_exact_at(&mut bytes, (slot_of(call) + 2) * SLOT_BYTES)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Limits the number of bytes that a read from a connection returns and a write to one accepts. `None` removes the limit.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn limit_transfers(&self, read: Option<u32>, write: Option<u32>) -> io::Result<()> {
        self.write_slot(READ_LIMIT, read.map_or(0, i64::from))?;
        self.write_slot(WRITE_LIMIT, write.map_or(0, i64::from))
    }

    /// Steps the wall clock of the process to `by` ahead of the actual time.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn set_wall_clock_ahead(&self, by: Duration) -> io::Result<()> {
        self.write_slot(WALL_CLOCK_OFFSET, nanoseconds(by))
    }

    /// Steps the wall clock of the process to `by` behind the actual time.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub fn set_wall_clock_behind(&self, by: Duration) -> io::Result<()> {
        self.write_slot(WALL_CLOCK_OFFSET, -nanoseconds(by))
    }

    fn control_file(&self) -> &File {
        self.file.as_file()
    }

    fn write_slot(&self, slot: u64, value: i64) -> io::Result<()> {
        self.control_file()
            .write_all_at(&value.to_ne_bytes(), slot * SLOT_BYTES)
    }
}

fn slot_of(call: Call) -> u64 {
    FIRST_CALL + SLOTS_PER_CALL * call as u64
}

fn nanoseconds(duration: Duration) -> i64 {
    i64::try_from(duration.as_nanos()).unwrap_or(i64::MAX)
}
