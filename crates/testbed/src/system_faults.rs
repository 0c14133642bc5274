//! Faults of the operating system in the controllers of a day: system calls that fail, short transfers, and steps of the wall clock.

use rand::{Rng, RngExt as _};
use std::io;
use std::time::Duration;
use wheelfield_fault_shim::{Call, Errno, FaultControl, CALL_FAULTS};

/// The largest step of the wall clock.
const MAX_CLOCK_STEP: Duration = Duration::from_secs(3_600);
/// The largest number of bytes of a short transfer.
const MAX_SHORT_TRANSFER_BYTES: u32 = 7;

/// A fault of the operating system in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemFault {
    /// Some calls of a kind fail with an error.
    FailingCalls {
        /// The kind of call.
        call: Call,
        /// The error.
        errno: Errno,
        /// How many in a thousand calls fail.
        per_mille: u32,
    },
    /// Reads return, and writes accept, at most this many bytes.
    ShortTransfers(u32),
    /// The wall clock is ahead.
    ClockAhead(Duration),
    /// The wall clock is behind.
    ClockBehind(Duration),
}

impl SystemFault {
    /// Draws a fault: failing calls most of the time.
    pub fn draw(rng: &mut impl Rng) -> SystemFault {
        match rng.random_range(0..10) {
            0 => SystemFault::ShortTransfers(rng.random_range(1..=MAX_SHORT_TRANSFER_BYTES)),
            1 => SystemFault::ClockAhead(rng.random_range(Duration::from_secs(1)..MAX_CLOCK_STEP)),
            2 => SystemFault::ClockBehind(rng.random_range(Duration::from_secs(1)..MAX_CLOCK_STEP)),
            _ => {
                let fault = CALL_FAULTS[rng.random_range(0..CALL_FAULTS.len())];
                SystemFault::FailingCalls {
                    call: fault.call,
                    errno: fault.errors[rng.random_range(0..fault.errors.len())],
                    per_mille: fault.per_mille,
                }
            }
        }
    }

    /// Begins the fault.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn begin(self, control: &FaultControl) -> io::Result<()> {
        match self {
            SystemFault::FailingCalls { call, errno, per_mille } => control.fail(call, errno, per_mille),
            SystemFault::ShortTransfers(bytes) => control.limit_transfers(Some(bytes), Some(bytes)),
            SystemFault::ClockAhead(by) => control.set_wall_clock_ahead(by),
            SystemFault::ClockBehind(by) => control.set_wall_clock_behind(by),
        }
    }

    /// Ends the fault.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn end(self, control: &FaultControl) -> io::Result<()> {
        match self {
            SystemFault::FailingCalls { call, .. } => control.succeed(call),
            SystemFault::ShortTransfers(_) => control.limit_transfers(None, None),
            SystemFault::ClockAhead(_) | SystemFault::ClockBehind(_) => {
                control.set_wall_clock_ahead(Duration::ZERO)
            }
        }
    }
}
