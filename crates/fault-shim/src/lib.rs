//! Faults of the operating system for a process under test: calls that fail, short reads and writes, and a wall clock that
//! is stepped.
//!
//! [`library_path`] names a small C library to be preloaded (`LD_PRELOAD`) into the process. It obeys a [`FaultControl`], a
//! file that both sides share, so that faults begin and end while the process runs. Nothing outside that process changes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tempfile::NamedTempFile;

/// Layout of the control file, as in `shim/fault_shim.c`.
const SLOTS: u64 = 128;
const SLOT_BYTES: u64 = 8;
const WALL_SHIFT: u64 = 0;
const READ_LIMIT: u64 = 1;
const WRITE_LIMIT: u64 = 2;
const FIRST_CALL: u64 = 8;
const SLOTS_PER_CALL: u64 = 3;
/// Every call fails.
pub const ALWAYS: u32 = 1_000;

/// A kind of system call, in the order of the library.
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
    /// `epoll_ctl`, but for removals.
    Register,
    /// `epoll_wait`.
    Wait,
    /// `recv` and `read` on accepted connections.
    ReadAccepted,
    /// `recv` and `read` on connections opened by the process.
    ReadConnected,
    /// `send` and `write` on accepted connections.
    WriteAccepted,
    /// `send` and `write` on connections opened by the process.
    WriteConnected,
    /// `sendto`.
    SendDatagram,
    /// `recvfrom`.
    ReceiveDatagram,
    /// `open`.
    Open,
}

/// An error that a call returns, as Linux numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    /// Interrupted by a signal.
    Interrupted = 4,
    /// An error of the device.
    InputOutput = 5,
    /// No memory.
    NoMemory = 12,
    /// The system has no descriptor left.
    FileTableOverflow = 23,
    /// The process has no descriptor left.
    TooManyFiles = 24,
    /// The address is in use.
    AddressInUse = 98,
    /// No local port is left.
    AddressNotAvailable = 99,
    /// No route.
    NetworkUnreachable = 101,
    /// A connection was aborted before it was accepted.
    ConnectionAborted = 103,
    /// No buffer space.
    NoBufferSpace = 105,
    /// The other side did not answer.
    TimedOut = 110,
    /// The host cannot be reached.
    HostUnreachable = 113,
}

/// The file of the library to be preloaded.
pub fn library_path() -> &'static Path {
    Path::new(env!("WHEELFIELD_FAULT_SHIM"))
}

/// The faults of one process, which may be changed while it runs.
#[derive(Debug)]
pub struct FaultControl {
    file: NamedTempFile,
}

impl FaultControl {
    /// Controls no faults yet.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn new() -> io::Result<FaultControl> {
        let file = NamedTempFile::new()?;
        file.as_file().set_len(SLOTS * SLOT_BYTES)?;
        Ok(FaultControl { file })
    }

    /// The environment that a process is to be started with.
    pub fn environment(&self) -> [(&'static str, OsString); 2] {
        [
            ("LD_PRELOAD", library_path().into()),
            ("WHEELFIELD_FAULTS", self.file.path().into()),
        ]
    }

    /// From now on, `per_mille` of a thousand calls of a kind fail with an error.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail(&self, call: Call, errno: Errno, per_mille: u32) -> io::Result<()> {
        let first = slot_of(call);
        self.set(first + 1, i64::from(per_mille))?;
        self.set(first, errno as i64)
    }

    /// From now on, calls of a kind do not fail.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn succeed(&self, call: Call) -> io::Result<()> {
        self.set(slot_of(call), 0)
    }

    /// How many calls of a kind have failed by injection.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn injected_count(&self, call: Call) -> io::Result<u64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.control()
            .read_exact_at(&mut bytes, (slot_of(call) + 2) * SLOT_BYTES)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// From now on, reads of connections return and writes take so many bytes at most; `None` for no limit.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn limit_transfers(&self, read: Option<u32>, write: Option<u32>) -> io::Result<()> {
        self.set(READ_LIMIT, read.map_or(0, i64::from))?;
        self.set(WRITE_LIMIT, write.map_or(0, i64::from))
    }

    /// Steps the wall clock to so much ahead of the true time.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn set_wall_clock_ahead(&self, by: Duration) -> io::Result<()> {
        self.set(WALL_SHIFT, nanoseconds(by))
    }

    /// Steps the wall clock to so much behind the true time.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn set_wall_clock_behind(&self, by: Duration) -> io::Result<()> {
        self.set(WALL_SHIFT, -nanoseconds(by))
    }

    fn control(&self) -> &File {
        self.file.as_file()
    }

    fn set(&self, slot: u64, value: i64) -> io::Result<()> {
        self.control()
            .write_all_at(&value.to_ne_bytes(), slot * SLOT_BYTES)
    }
}

fn slot_of(call: Call) -> u64 {
    FIRST_CALL + SLOTS_PER_CALL * call as u64
}

fn nanoseconds(duration: Duration) -> i64 {
    i64::try_from(duration.as_nanos()).unwrap_or(i64::MAX)
}
