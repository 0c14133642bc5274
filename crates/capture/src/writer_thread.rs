//! The thread that compresses and writes blocks, and the bounded queue to it.

use crate::format::BlockHeader;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Level of the compression: the fastest.
const COMPRESSION_LEVEL: i32 = 1;
/// Messages that the queue holds at least.
const MIN_QUEUE_CAPACITY: usize = 2;

/// What the writer thread is asked to do.
pub(crate) enum Message {
    /// Write a block: its header, without the lengths, and its records.
    Block(BlockHeader, Vec<u8>),
    /// Begin a file, or a span in memory, with the next block.
    BeginSegment,
    /// Write what is held in memory to this file.
    WriteRing(PathBuf),
}

/// What the writer thread reports back.
#[derive(Debug, Default)]
pub(crate) struct WriterStatus {
    /// Records that could not be written.
    pub lost_records: AtomicU64,
    /// Bytes written.
    pub written_bytes: AtomicU64,
    /// Bytes of the current file or span.
    pub segment_bytes: AtomicU64,
    /// Files or spans begun beyond the first.
    pub segments_begun: AtomicU64,
    /// The last write failed, or the thread has ended.
    pub is_failing: AtomicBool,
    /// Files written of a capture in memory.
    pub ring_files: AtomicU64,
    /// Bytes held in memory.
    pub ring_bytes: AtomicU64,
}

/// The decision thread's side of the writer thread.
#[derive(Debug)]
pub(crate) struct WriterThread {
    sender: Option<SyncSender<Message>>,
    thread: Option<JoinHandle<()>>,
    status: Arc<WriterStatus>,
}

impl WriterThread {
    /// Starts a thread that runs `write` until the queue is closed.
    ///
    /// # Errors
    /// If the thread can't be started.
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

    /// What the thread has reported.
    pub fn status(&self) -> &WriterStatus {
        &self.status
    }

    /// Queues a block; false if it was dropped, as the queue is full or the thread has ended.
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

    /// Asks for a new file or span; false if the queue takes nothing now.
    pub fn begin_segment(&self) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.try_send(Message::BeginSegment).is_ok())
    }

    /// Asks to write what is held in memory to a file; returns the path if the queue is full.
    pub fn write_ring(&self, path: PathBuf) -> Option<PathBuf> {
        match self.sender.as_ref()?.try_send(Message::WriteRing(path)) {
            Err(TrySendError::Full(Message::WriteRing(path))) => Some(path),
            _ => None,
        }
    }

    /// Closes the queue and waits until all of it is written; before that, what is held in memory is written to `ring_file`.
    pub fn finish(&mut self, ring_file: Option<PathBuf>) {
        if let (Some(path), Some(sender)) = (ring_file, &self.sender) {
            // Waits while the queue is full, and fails only if the thread has ended.
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

/// Compresses the records of a block and completes its header with the lengths.
///
/// # Errors
/// If the compression fails.
pub(crate) fn compress(header: &mut BlockHeader, records: &[u8]) -> io::Result<Vec<u8>> {
    let compressed = zstd::bulk::compress(records, COMPRESSION_LEVEL)?;
    header.raw_bytes = records.len() as u32;
    header.compressed_bytes = compressed.len() as u32;
    Ok(compressed)
}
