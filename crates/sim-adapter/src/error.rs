//! Errors of the adapter.

use crate::line::LineError;
use std::io;
use std::path::PathBuf;

/// An error that ends the adapter, or one that is found at the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read or handled.
    #[error("line {number}: {error}")]
    Line { number: usize, error: HostError },
    /// The reply to a batch could not be written.
    #[error("cannot write the reply: {0}")]
    WriteReply(io::Error),
    /// The input ended inside a batch.
    #[error("input ended inside a batch: expected 'flush'")]
    IncompleteBatch,
    /// The summary of a run with captures could not be written.
    #[error("cannot write {}: {error}", path.display())]
    WriteSummary { path: PathBuf, error: io::Error },
    /// The policy module and the driver made different decisions.
    #[error("{captures} captures with a difference; {first}")]
    Difference { captures: usize, first: String },
}

/// Why a line could not be handled.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The input could not be read.
    #[error("{0}")]
    Read(io::Error),
    /// The line is malformed.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The line is outside a batch.
    #[error("expected a 'batch' line, found '{found}'")]
    OutsideBatch { found: String },
    /// No `for` line has selected the instance that the line is for.
    #[error("expected a 'for' line before '{found}'")]
    NoInstance { found: String },
    /// The instance has not been started.
    #[error("'{found}' for controller {instance} before its 'up' line")]
    NotStarted { found: String, instance: u32 },
    /// The capture of an instance could not be created.
    #[error("cannot write a capture in {}: {error}", dir.display())]
    Capture { dir: PathBuf, error: io::Error },
}
