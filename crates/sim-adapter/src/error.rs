//! Why the adapter ends early.

use crate::line::LineError;
use std::io;
use std::path::PathBuf;

/// Why the adapter ends before the end of its input, or what is wrong at the end.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line can't be read or handled.
    #[error("line {number}: {error}")]
    Line { number: usize, error: HostError },
    /// The reply to a batch can't be written.
    #[error("cannot write the reply: {0}")]
    WriteReply(io::Error),
    /// The input ended without the end of its last batch.
    #[error("input ended inside a batch: expected 'flush'")]
    IncompleteBatch,
    /// The results of a run with captures can't be written.
    #[error("cannot write {}: {error}", path.display())]
    WriteSummary { path: PathBuf, error: io::Error },
    /// Module and driver decided differently.
    #[error("{captures} captures with a difference; {first}")]
    Difference { captures: usize, first: String },
}

/// Why a line can't be handled.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The line can't be read from the input.
    #[error("{0}")]
    Read(io::Error),
    /// The line is malformed.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The line stands outside a batch.
    #[error("expected a 'batch' line, found '{found}'")]
    OutsideBatch { found: String },
    /// The line says nothing of the instance that it is for.
    #[error("expected a 'for' line before '{found}'")]
    NoInstance { found: String },
    /// The instance has not been started.
    #[error("'{found}' for controller {instance}, which has had no 'up'")]
    NotStarted { found: String, instance: u32 },
    /// No capture can be written.
    #[error("cannot write a capture in {}: {error}", dir.display())]
    Capture { dir: PathBuf, error: io::Error },
}
