//! Writes blocks to a sequence of files and removes the oldest files when the total size exceeds
//! the limit.

use crate::disk::{CaptureFile, FileFactory};
use crate::format::{BlockHeader, FILE_HEADER_BYTES, FILE_MAGIC, VERSION};
use crate::recorder::Limits;
use crate::writer_thread::{compress, Message, WriterStatus};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// The file that is currently being written.
pub(crate) struct Segment {
    path: PathBuf,
    file: Box<dyn CaptureFile>,
    length: u64,
}

impl Segment {
    /// Creates a file and writes the file header.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created or written.
    pub fn create(path: PathBuf, file_factory: &mut FileFactory) -> io::Result<Segment> {
        let mut file = file_factory(&path)?;
        file.append(FILE_MAGIC)?;
        file.append(&VERSION.to_be_bytes())?;
        Ok(Segment {
            path,
            file,
            length: FILE_HEADER_BYTES,
        })
    }

    /// Appends a complete block. On failure, truncates the file to its previous length, because a
    /// reader cannot continue after a partial block.
    fn write(&mut self, header: &[u8], compressed: &[u8]) -> io::Result<()> {
        let written = self
            .file
            .append(header)
            .and_then(|()| self.file.append(compressed));
        if written.is_err() {
            self.file.truncate(self.length)?;
            return written;
        }
        self.length += (header.len() + compressed.len()) as u64;
        Ok(())
    }
}

/// An existing file of the capture. `bytes` is 0 until the file is complete.
struct WrittenFile {
    path: PathBuf,
    bytes: u64,
}

/// Writes the blocks of a capture to its files.
pub(crate) struct FileWriter {
    /// Path of the first file, from which the names of later files are derived.
    first_path: PathBuf,
    file_factory: FileFactory,
    limits: Limits,
    /// The current file, or `None` if it could not be created.
    segment: Option<Segment>,
    /// Number of the current file, starting from 0.
    segment_number: u32,
    /// All existing files, with the current one last.
    files: Vec<WrittenFile>,
    last_sync_at: Instant,
    /// Whether the last flush to stable storage failed.
    has_sync_failed: bool,
}

impl FileWriter {
    /// Creates a writer that appends to the first file.
    pub fn new(first: Segment, file_factory: FileFactory, limits: Limits) -> FileWriter {
        FileWriter {
            first_path: first.path.clone(),
            file_factory,
            limits,
            files: vec![WrittenFile {
                path: first.path.clone(),
                bytes: 0,
            }],
            segment: Some(first),
            segment_number: 0,
            last_sync_at: Instant::now(),
            has_sync_failed: false,
        }
    }

    /// Processes messages until the channel is closed.
    pub fn run(mut self, messages: &Receiver<Message>, status: &WriterStatus) {
        while let Ok(message) = messages.recv() {
            match message {
                Message::Block(header, records) => {
                    self.write_block(header, &records, status);
                    self.sync_if_due(status);
                }
                Message::BeginSegment => self.begin_segment(status),
                // There is no in-memory ring to write when the capture goes directly to files.
                Message::WriteRing(_) => {}
            }
        }
        self.sync(status);
    }

    fn write_block(&mut self, mut header: BlockHeader, records: &[u8], status: &WriterStatus) {
        match self.append_block(&mut header, records) {
            Ok(length) => {
                status.segment_bytes.store(length, Ordering::Relaxed);
                status
                    .written_bytes
                    .fetch_add(u64::from(header.compressed_bytes), Ordering::Relaxed);
                status
                    .is_failing
                    .store(self.has_sync_failed, Ordering::Relaxed);
            }
            Err(_) => {
                status
                    .lost_records
                    .fetch_add(u64::from(header.records), Ordering::Relaxed);
                status.is_failing.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Appends a block and returns the new length of the file.
    fn append_block(&mut self, header: &mut BlockHeader, records: &[u8]) -> io::Result<u64> {
        let compressed = compress(header, records)?;
        let segment = self.segment.as_mut().ok_or(io::ErrorKind::NotFound)?;
        segment.write(&header.encode(&compressed), &compressed)?;
        Ok(segment.length)
    }

    fn begin_segment(&mut self, status: &WriterStatus) {
        self.segment_number += 1;
        self.sync(status);
        if let (Some(complete), Some(file)) = (self.segment.take(), self.files.last_mut()) {
            file.bytes = complete.length;
        }
        let path = numbered_path(&self.first_path, self.segment_number);
        self.segment = Segment::create(path, &mut self.file_factory).ok();
        let is_failing = self.segment.is_none() || self.has_sync_failed;
        status.is_failing.store(is_failing, Ordering::Relaxed);
        status.segment_bytes.store(0, Ordering::Relaxed);
        status
            .segments_begun
            .store(u64::from(self.segment_number), Ordering::Relaxed);
        self.files
            .extend(self.segment.as_ref().map(|s| WrittenFile {
                path: s.path.clone(),
                bytes: 0,
            }));
        self.remove_oldest_files();
    }

    /// Removes the oldest files while the total size exceeds the limit. The current file is never
    /// removed.
    fn remove_oldest_files(&mut self) {
        while self.files.len() > 1
            && self.files.iter().map(|file| file.bytes).sum::<u64>() > self.limits.max_total_bytes
        {
            let _ = std::fs::remove_file(self.files.remove(0).path);
        }
    }

    fn sync_if_due(&mut self, status: &WriterStatus) {
        let interval = Duration::from_micros(self.limits.sync_interval.0.max(1) as u64);
        if self.last_sync_at.elapsed() >= interval {
            self.sync(status);
            self.last_sync_at = Instant::now();
        }
    }

    /// Flushes the current file to stable storage. A failure is reported until a later flush
    /// succeeds.
    fn sync(&mut self, status: &WriterStatus) {
        if let Some(segment) = &mut self.segment {
            self.has_sync_failed = segment.file.sync().is_err();
            if self.has_sync_failed {
                status.is_failing.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Returns the path of the file with the given number: `x.wfcap`, `x.0001.wfcap` and so on.
fn numbered_path(first: &Path, number: u32) -> PathBuf {
    if number == 0 {
        return first.to_path_buf();
    }
    let stem = first
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    first.with_file_name(format!("{stem}.{number:04}.wfcap"))
}
