//! Errors of the start and operation of a controller.

use std::error::Error;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use wheelfield_gossip::authentication::KeyFileError;
use wheelfield_platform::BootstrapError;

/// An error that prevents a controller from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A listening socket cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// A datagram socket cannot be bound.
    #[error("cannot listen for {purpose} on {address}")]
    DatagramSocket {
        /// What the socket receives.
        purpose: &'static str,
        /// The address of the socket.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The controller has closed its listening socket for clients.
    #[error("the listener for clients is closed")]
    NotListening,
    /// A file cannot be opened or read.
    #[error("cannot read {}", path.display())]
    ReadFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The configuration of the platform is invalid.
    #[error("{}", path.display())]
    Configuration {
        /// The path of the configuration file.
        path: PathBuf,
        /// The first problem found in the configuration.
        source: BootstrapError,
    },
    /// The gossip key file is invalid.
    #[error("{}: {error}", path.display())]
    GossipKeys {
        /// The path of the key file.
        path: PathBuf,
        /// The problem. Its message contains no key.
        error: KeyFileError,
    },
    /// The capture cannot be written.
    #[error("cannot write the capture {}", path.display())]
    Capture {
        /// The path of the capture file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The engine files cannot be watched.
    #[error("cannot watch the engine files")]
    WatchEngineFiles {
        /// The error of the system.
        source: io::Error,
    },
    /// Another system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Linux error numbers that are transient. EAGAIN, ENOMEM, ENFILE, EMFILE, ENOSPC (from file watches), EADDRINUSE,
/// EADDRNOTAVAIL and ENOBUFS mean that a resource of the system or the process is exhausted; EINTR and EIO may also
/// disappear with a retry.
const TRANSIENT_ERRNOS: [i32; 10] = [4, 5, 11, 12, 23, 24, 28, 98, 99, 105];

impl ControllerError {
    /// Returns whether the failed operation may succeed if it is retried a moment later.
    pub(crate) fn is_transient(&self) -> bool {
        let source = match self {
            ControllerError::Listen { source, .. }
            | ControllerError::DatagramSocket { source, .. }
            | ControllerError::ReadFile { source, .. }
            | ControllerError::Io(source) => source,
            _ => return false,
        };
        source
            .raw_os_error()
            .is_some_and(|number| TRANSIENT_ERRNOS.contains(&number))
    }

    /// Returns a function that adds the path of the file to the error of a failed read.
    pub(crate) fn read_file(path: &Path) -> impl FnOnce(io::Error) -> ControllerError + '_ {
        |source| ControllerError::ReadFile {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// Formats an error and its causes on one line, separated by colons.
pub(crate) fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let _ = write!(text, ": {error}");
        cause = error.source();
    }
    text
}
