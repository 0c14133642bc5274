//! Faults of system calls to draw from.

use crate::{Call, Errno};

/// A system call with errors that Linux documents for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFault {
    /// The call.
    pub call: Call,
    /// Its errors.
    pub errors: &'static [Errno],
    /// How many in a thousand calls fail.
    pub per_mille: u32,
}

/// The faults of system calls that soak tests draw from.
pub const CALL_FAULTS: [CallFault; 13] = [
    CallFault {
        call: Call::Accept,
        errors: &[
            Errno::FileTableOverflow,
            Errno::TooManyFiles,
            Errno::ConnectionAborted,
            Errno::NoBufferSpace,
            Errno::Interrupted,
        ],
        per_mille: 1_000,
    },
    CallFault {
        call: Call::Register,
        errors: &[Errno::NoMemory],
        per_mille: 1_000,
    },
    CallFault {
        call: Call::Connect,
        errors: &[
            Errno::AddressNotAvailable,
            Errno::NetworkUnreachable,
            Errno::NoBufferSpace,
            Errno::TimedOut,
            Errno::HostUnreachable,
        ],
        per_mille: 700,
    },
    CallFault {
        call: Call::Socket,
        errors: &[Errno::FileTableOverflow, Errno::NoBufferSpace],
        per_mille: 700,
    },
    CallFault {
        call: Call::Bind,
        errors: &[Errno::AddressInUse],
        per_mille: 1_000,
    },
    CallFault {
        call: Call::Wait,
        errors: &[Errno::Interrupted],
        per_mille: 500,
    },
    CallFault {
        call: Call::ReadAccepted,
        errors: &[Errno::Interrupted, Errno::NoMemory],
        per_mille: 300,
    },
    CallFault {
        call: Call::WriteAccepted,
        errors: &[Errno::Interrupted, Errno::NoBufferSpace, Errno::NoMemory],
        per_mille: 500,
    },
    CallFault {
        call: Call::ReadConnected,
        errors: &[Errno::Interrupted, Errno::NoMemory],
        per_mille: 300,
    },
    CallFault {
        call: Call::ReadConnected,
        errors: &[Errno::TimedOut, Errno::HostUnreachable],
        per_mille: 20,
    },
    CallFault {
        call: Call::WriteConnected,
        errors: &[Errno::Interrupted, Errno::NoBufferSpace],
        per_mille: 500,
    },
    CallFault {
        call: Call::SendDatagram,
        errors: &[Errno::NoBufferSpace, Errno::NetworkUnreachable],
        per_mille: 1_000,
    },
    CallFault {
        call: Call::ReceiveDatagram,
        errors: &[Errno::NoMemory, Errno::Interrupted],
        per_mille: 500,
    },
];
