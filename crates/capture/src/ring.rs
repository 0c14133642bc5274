//! The in-memory ring: holds compressed blocks in segments, drops the oldest segments and writes
//! the rest to a file on request.

use crate::format::{BlockHeader, FILE_HEADER_BYTES, FILE_MAGIC, VERSION};
use crate::writer_thread::{compress, Message, WriterStatus};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use wheelfield::interface::Micros;

#[cfg(test)]
mod tests;

/// Limits on the in-memory ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLimits {
    /// Maximum size of the compressed blocks.
    pub max_bytes: u64,
    /// Minimum duration to retain. Segments that are not needed to cover it are dropped.
    /// `max_bytes` takes precedence.
    pub min_duration: Micros,
}

impl Default for RingLimits {
    fn default() -> Self {
        RingLimits {
            max_bytes: 64 << 20,
            min_duration: Micros(600_000_000),
        }
    }
}

/// The blocks from one checkpoint to the next.
#[derive(Default)]
struct RingSegment {
    bytes: Vec<u8>,
    /// Time of the first record, in microseconds.
    first_at: Option<i64>,
}

/// The ring of segments, oldest first.
pub(crate) struct Ring {
    limits: RingLimits,
    segments: VecDeque<RingSegment>,
    total_bytes: u64,
}

impl Ring {
    /// Creates a ring with one empty segment.
    pub fn new(limits: RingLimits) -> Ring {
        Ring {
            limits,
            segments: VecDeque::from([RingSegment::default()]),
            total_bytes: 0,
        }
    }

    fn begin_segment(&mut self) {
        self.segments.push_back(RingSegment::default());
    }

    /// Appends a block to the newest segment. Then drops the oldest segments while the ring exceeds
    /// the size limit or the remaining segments still cover the minimum duration. Returns the size
    /// of the newest segment.
    fn push(&mut self, header: &BlockHeader, compressed: &[u8]) -> u64 {
        let header_bytes = header.encode(compressed);
        let Some(segment) = self.segments.back_mut() else {
            return 0;
        };
        segment.bytes.extend_from_slice(&header_bytes);
        segment.bytes.extend_from_slice(compressed);
        segment.first_at = segment.first_at.or(Some(header.first_at));
        let segment_bytes = segment.bytes.len() as u64;
        self.total_bytes += (header_bytes.len() + compressed.len()) as u64;
        let covers_min_duration = |segment: &RingSegment| {
            segment
                .first_at
                .is_some_and(|first_at| header.last_at - first_at >= self.limits.min_duration.0)
        };
        while self.segments.len() > 1
            && (self.total_bytes > self.limits.max_bytes
                || self.segments.get(1).is_some_and(covers_min_duration))
        {
            let dropped = self
                .segments
                .pop_front()
                .map_or(0, |segment| segment.bytes.len() as u64);
            self.total_bytes -= dropped;
        }
        segment_bytes
    }

    /// Writes all segments to a file and syncs it. The file appears under its final name only when
    /// it is complete. Returns the size of the file.
    ///
    /// # Errors
    /// Returns an error if a file operation fails. No file remains then.
    fn write_atomically(&self, path: &Path) -> io::Result<u64> {
        let partial = path.with_extension("partial");
        let written = self
            .write_to(&partial)
            .and_then(|bytes| std::fs::rename(&partial, path).map(|()| bytes));
        if written.is_err() {
            let _ = std::fs::remove_file(&partial);
        }
        written
    }

    fn write_to(&self, path: &Path) -> io::Result<u64> {
        let mut file = File::create(path)?;
        file.write_all(FILE_MAGIC)?;
        file.write_all(&VERSION.to_be_bytes())?;
        for segment in &self.segments {
            file.write_all(&segment.bytes)?;
        }
        file.sync_all()?;
        Ok(FILE_HEADER_BYTES + self.total_bytes)
    }
}

/// Handles the messages of an in-memory capture on the writer thread.
pub(crate) struct RingWriter {
    /// The ring.
    pub ring: Ring,
    /// The path from which the names of files are derived.
    pub path: PathBuf,
    /// Maximum total size of the files written from the ring.
    pub max_total_bytes: u64,
    /// Makes the entries of a directory durable.
    pub sync_directory: fn(&Path) -> io::Result<()>,
}

/// Flushes the entries of a directory to stable storage.
///
/// # Errors
/// Returns an error if the directory cannot be opened or flushed.
pub(crate) fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

impl RingWriter {
    /// Processes messages until the channel is closed.
    pub fn run(mut self, messages: &Receiver<Message>, status: &WriterStatus) {
        while let Ok(message) = messages.recv() {
            match message {
                Message::Block(header, records) => self.push_block(header, &records, status),
                Message::BeginSegment => {
                    self.ring.begin_segment();
                    status.segment_bytes.store(0, Ordering::Relaxed);
                    status.segments_begun.fetch_add(1, Ordering::Relaxed);
                }
                Message::WriteRing(file) => self.write_file(&file, status),
            }
        }
    }

    fn push_block(&mut self, mut header: BlockHeader, records: &[u8], status: &WriterStatus) {
        let Ok(compressed) = compress(&mut header, records) else {
            status
                .lost_records
                .fetch_add(u64::from(header.records), Ordering::Relaxed);
            return;
        };
        let segment_bytes = self.ring.push(&header, &compressed);
        status.segment_bytes.store(segment_bytes, Ordering::Relaxed);
        status
            .ring_bytes
            .store(self.ring.total_bytes, Ordering::Relaxed);
    }

    fn write_file(&self, file: &Path, status: &WriterStatus) {
        match self.ring.write_atomically(file) {
            Ok(bytes) => {
                status.written_bytes.fetch_add(bytes, Ordering::Relaxed);
                status.ring_files.fetch_add(1, Ordering::Relaxed);
                // The file is there and complete, but may be gone after a crash of the system.
                let synced = (self.sync_directory)(directory_of(file));
                status.is_failing.store(synced.is_err(), Ordering::Relaxed);
                remove_oldest_files(&self.path, file, self.max_total_bytes);
            }
            Err(_) => status.is_failing.store(true, Ordering::Relaxed),
        }
    }
}

/// Removes the oldest files written from the ring until their total size is at most `max_bytes`.
/// `newest` is never removed.
fn remove_oldest_files(capture_path: &Path, newest: &Path, max_bytes: u64) {
    let Ok(entries) = std::fs::read_dir(directory_of(capture_path)) else {
        return;
    };
    let mut files: Vec<(PathBuf, u64)> = entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| is_ring_file(path, capture_path))
        .filter_map(|path| path.metadata().ok().map(|metadata| (path, metadata.len())))
        .collect();
    // File names contain the time after the common stem, so sorting by name sorts by time.
    files.sort();
    let mut total: u64 = files.iter().map(|(_, bytes)| bytes).sum();
    for (path, bytes) in files {
        if total <= max_bytes {
            break;
        }
        if path != newest && std::fs::remove_file(&path).is_ok() {
            total -= bytes;
        }
    }
}

/// Returns whether the file at `path` was written from the ring: `x-20...wfcap` for the capture
/// path `x.wfcap`.
fn is_ring_file(path: &Path, capture_path: &Path) -> bool {
    let stem = capture_path
        .file_stem()
        .map_or_else(String::new, |stem| format!("{}-", stem.to_string_lossy()));
    let name = path
        .file_name()
        .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    name.strip_prefix(&stem)
        .is_some_and(|rest| rest.starts_with("20") && rest.ends_with(".wfcap"))
}

fn directory_of(path: &Path) -> &Path {
    path.parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}
