//! The record of all inputs of a driver and of its answers.
//!
//! A capture is a file of **blocks**; a block is a number of **records**, compressed together. Each record and each block
//! carries its length and a CRC-32. Blocks are numbered, so that a lost one is noticed. A file begins with a [`Start`] and a
//! checkpoint of the whole driver, and so stands by itself. More checkpoints follow at an interval and after every loss, so
//! that a replay can enter there.
//!
//! The decision thread only serializes records into a buffer and hands full buffers to a writer thread through a bounded
//! queue. When the queue is full, whole buffers are dropped and counted, and the file says so.
//!
//! A capture may be held in memory alone, as a ring of spans that each begin with a checkpoint; the writer thread then writes
//! a file only when one of the [`Triggers`] fires.
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
