//! Captures: recordings of all inputs of a driver and of the instructions it returned.
//!
//! A capture consists of one or more files. A file contains **blocks**, and a block contains
//! **records** that are compressed together. Each record and each block carries its length and a
//! CRC-32. Blocks are numbered so that a missing block is detected. A file begins with a [`Start`]
//! record and a checkpoint of the whole driver, so each file can be replayed on its own. Further
//! checkpoints are written periodically and after every loss of records, and a replay can start
//! from any of them.
//!
//! The thread that runs the driver only serializes records into a buffer and passes full buffers to
//! a writer thread through a bounded channel, so it never waits for the disk. If the channel is
//! full, the buffer is dropped, its records are counted as lost, and the loss is recorded in the
//! capture.
//!
//! Alternatively, a capture is held in memory as a ring of segments that each begin with a
//! checkpoint. The writer thread then writes a file only when one of the [`Triggers`] fires or an
//! operator requests it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod block_buffer;
mod disk;
mod file_writer;
mod format;
mod older_versions;
mod reader;
mod recorder;
mod ring;
mod triggers;
mod writer_thread;

pub use disk::{CaptureFile, FileFactory};
pub use format::{Record, RecordedInput, Start, VERSION};
pub use reader::{repair, BlockInfo, Entry, ReadError, Reader};
pub use recorder::{Limits, Recorder, RecorderState};
pub use ring::RingLimits;
pub use triggers::{TriggerDetector, TriggerReason, Triggers};
