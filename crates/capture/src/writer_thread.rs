//! The thread that compresses and writes blocks, and the bounded channel to it.

use crate::format::BlockHeader;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The zstd compression level. Level 1 is the fastest of the regular levels.
const COMPRESSION_LEVEL: i32 = 1;
/// Minimum capacity of the channel.
const MIN_QUEUE_CAPACITY: usize = 2;

/// A request to the writer thread.
pub(crate) enum Message {
    /// Write a block: its header, in which the sizes are not set yet, and its serialized records.
    Block(BlockHeader, Vec<u8>),
    /// Begin a new segment (a file, or a part of the in-memory ring) with the next block.
    BeginSegment,
    /// Write the in-memory ring to this file.
    WriteRing(PathBuf),
}

/// Status and counters that the writer thread reports.
#[derive(Debug, Default)]
pub(crate) struct WriterStatus {
    /// Number of records that could not be compressed or written.
    pub lost_records: AtomicU64,
    /// Number of bytes written to files.
    pub written_bytes: AtomicU64,
    /// Size of the current segment.
    pub segment_bytes: AtomicU64,
    /// Number of segments begun after the first.
    pub segments_begun: AtomicU64,
    /// Whether the last write failed or the thread has ended unexpectedly.
    pub is_failing: AtomicBool,
    /// Number of files written from the in-memory ring.
    pub ring_files: AtomicU64,
    /// Size of the compressed blocks held in the in-memory ring.
    pub ring_bytes: AtomicU64,
}

/// A handle to the writer thread, used by the recorder.
#[derive(Debug)]
pub(crate) struct WriterThread {
    sender: Option<SyncSender<Message>>,
    thread: Option<JoinHandle<()>>,
    status: Arc<WriterStatus>,
}

impl WriterThread {
    /// Starts a thread that runs `write`, which must return when the channel is closed.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        max_queued_blocks: usize,
        write: impl FnOnce(&Receiver<Message>, &WriterStatus) + Send + 'static,
    ) -> io::Result<WriterThread> {
        let (sender, receiver) = sync_channel(max_queued_blocks.max(MIN_QUEUE_CAPACITY));
        let status = Arc::new(WriterStatus::default());
        let thread_status = status.clone();
        let thread = std::thread::Builder::new()
            .name("capture".into())
            .spawn(move || write(&receiver, &thread_status))?;
        Ok(WriterThread {
            sender: Some(sender),
            thread: Some(thread),
            status,
        })
    }

    /// Returns the status that the thread reports.
    pub fn status(&self) -> &WriterStatus {
        &self.status
    }

    /// Sends a block. Returns `false` if the block was dropped because the channel is full or the
    /// thread has ended.
    pub fn send_block(&self, header: BlockHeader, records: Vec<u8>) -> bool {
        let Some(sender) = &self.sender else {
            return false;
        };
        let sent = sender.try_send(Message::Block(header, records));
        if matches!(sent, Err(TrySendError::Disconnected(_))) {
            self.status.is_failing.store(true, Ordering::Relaxed);
        }
        sent.is_ok()
    }

    /// Requests a new segment. Returns `false` if the channel is full or closed.
    pub fn begin_segment(&self) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.try_send(Message::BeginSegment).is_ok())
    }

    /// Requests that the in-memory ring be written to `path`. Returns the path if the channel is
    /// full, so that the caller can retry.
    pub fn write_ring(&self, path: PathBuf) -> Option<PathBuf> {
        match self.sender.as_ref()?.try_send(Message::WriteRing(path)) {
            Err(TrySendError::Full(Message::WriteRing(path))) => Some(path),
            _ => None,
        }
    }

    /// Closes the channel and waits until the thread has processed all messages. If `ring_file` is
    /// given, the in-memory ring is written to it first.
    pub fn finish(&mut self, ring_file: Option<PathBuf>) {
        if let (Some(path), Some(sender)) = (ring_file, &self.sender) {
            // Blocks while the channel is full, and fails only if the thread has ended.
            let _ = sender.send(Message::WriteRing(path));
        }
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                self.status.is_failing.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Compresses the records of a block and sets the sizes in its header.
///
/// # Errors
/// Returns an error if the compression fails.
pub(crate) fn compress(header: &mut BlockHeader, records: &[u8]) -> io::Result<Vec<u8>> {
    let compressed = zstd::bulk::compress(records, COMPRESSION_LEVEL)?;
    header.raw_bytes = records.len() as u32;
    header.compressed_bytes = compressed.len() as u32;
    Ok(compressed)
}
