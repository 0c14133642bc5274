//! The record of everything a driver was told and answered.
//!
//! A capture is a file of **blocks**; a block is some **records**, compressed together. Each record and each block
//! carries its length and a CRC-32; blocks are numbered, so that a lost one shows. A file begins with a [`Start`] and a
//! checkpoint of the whole driver, and so stands by itself; more checkpoints follow now and then, and after every
//! loss, so that a replay can enter there.
//!
//! The decision thread only serializes into a buffer and hands full buffers to a writer thread through a bounded
//! queue. When the queue is full, whole buffers are dropped and counted, and the file says so.
//!
//! A capture may be held in memory alone (a ring of spans, each from a checkpoint on); then the writer thread writes a
//! file only when there is a reason to.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod format;
mod older;
mod reader;
mod ring;
mod trigger;
mod writer;

pub use format::{Record, Start, Told, VERSION};
pub use reader::{repair, Entry, Header, ReadError, Reader};
pub use ring::RingLimits;
pub use trigger::{Reason, Triggers, Watch};
pub use writer::{Disk, Limits, Maker, Recorder, State};
