//! A capture in memory: whole spans, the oldest of which are dropped; written to a file on request.

use crate::format::{Head, FILE_HEAD, MAGIC, VERSION};
use crate::writer_thread::{compress, Message, WriterStatus};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use wheelfield::interface::Micros;

/// How much is held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLimits {
    /// Bytes of compressed blocks, at most.
    pub max_bytes: u64,
    /// The time that is held at least, if the bytes suffice.
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

/// Blocks from one checkpoint up to the next.
#[derive(Default)]
struct Span {
    bytes: Vec<u8>,
    /// Time of its first record, in microseconds.
    first: Option<i64>,
}

/// The spans, oldest first.
pub(crate) struct Ring {
    limits: RingLimits,
    spans: VecDeque<Span>,
    total_bytes: u64,
}

impl Ring {
    /// A ring with one empty span.
    pub fn new(limits: RingLimits) -> Ring {
        Ring {
            limits,
            spans: VecDeque::from([Span::default()]),
            total_bytes: 0,
        }
    }

    fn begin_span(&mut self) {
        self.spans.push_back(Span::default());
    }

    /// Adds a block to the newest span, and drops the oldest spans: while there are too many bytes, or while the rest still
    /// reaches back far enough. Returns the bytes of the newest span.
    fn push(&mut self, head: &Head, packed: &[u8]) -> u64 {
        let head_bytes = head.bytes(packed);
        let Some(span) = self.spans.back_mut() else {
            return 0;
        };
        span.bytes.extend_from_slice(&head_bytes);
        span.bytes.extend_from_slice(packed);
        span.first = span.first.or(Some(head.first));
        let span_bytes = span.bytes.len() as u64;
        self.total_bytes += (head_bytes.len() + packed.len()) as u64;
        let reaches_back = |span: &Span| {
            span.first
                .is_some_and(|first| head.last - first >= self.limits.min_duration.0)
        };
        while self.spans.len() > 1
            && (self.total_bytes > self.limits.max_bytes
                || self.spans.get(1).is_some_and(reaches_back))
        {
            let dropped = self
                .spans
                .pop_front()
                .map_or(0, |span| span.bytes.len() as u64);
            self.total_bytes -= dropped;
        }
        span_bytes
    }

    /// Writes all spans to a file, whole and durably or not at all. Returns its bytes.
    ///
    /// # Errors
    /// If that fails; no file is left then.
    fn write(&self, path: &Path) -> io::Result<u64> {
        let partial = path.with_extension("partial");
        let written = self
            .write_to(&partial)
            .and_then(|bytes| std::fs::rename(&partial, path).map(|()| bytes));
        if written.is_err() {
            let _ = std::fs::remove_file(&partial);
        }
        let bytes = written?;
        File::open(directory_of(path))?.sync_all()?;
        Ok(bytes)
    }

    fn write_to(&self, path: &Path) -> io::Result<u64> {
        let mut file = File::create(path)?;
        file.write_all(MAGIC)?;
        file.write_all(&VERSION.to_be_bytes())?;
        for span in &self.spans {
            file.write_all(&span.bytes)?;
        }
        file.sync_all()?;
        Ok(FILE_HEAD + self.total_bytes)
    }
}

/// The writer thread's side of a capture in memory.
pub(crate) struct RingWriter {
    /// The ring.
    pub ring: Ring,
    /// The path that files are named after.
    pub path: PathBuf,
    /// Bytes of all files together, at most.
    pub max_total_bytes: u64,
}

impl RingWriter {
    /// Handles messages until the queue is closed.
    pub fn run(mut self, messages: &Receiver<Message>, status: &WriterStatus) {
        while let Ok(message) = messages.recv() {
            match message {
                Message::Block(head, records) => self.push_block(head, &records, status),
                Message::BeginSegment => {
                    self.ring.begin_span();
                    status.segment_bytes.store(0, Ordering::Relaxed);
                    status.segments_begun.fetch_add(1, Ordering::Relaxed);
                }
                Message::WriteRing(file) => self.write_file(&file, status),
            }
        }
    }

    fn push_block(&mut self, mut head: Head, records: &[u8], status: &WriterStatus) {
        let Ok(packed) = compress(&mut head, records) else {
            status
                .lost_records
                .fetch_add(u64::from(head.records), Ordering::Relaxed);
            return;
        };
        let span_bytes = self.ring.push(&head, &packed);
        status.segment_bytes.store(span_bytes, Ordering::Relaxed);
        status
            .ring_bytes
            .store(self.ring.total_bytes, Ordering::Relaxed);
    }

    fn write_file(&self, file: &Path, status: &WriterStatus) {
        match self.ring.write(file) {
            Ok(bytes) => {
                status.written_bytes.fetch_add(bytes, Ordering::Relaxed);
                status.ring_files.fetch_add(1, Ordering::Relaxed);
                status.is_failing.store(false, Ordering::Relaxed);
                remove_oldest_files(&self.path, file, self.max_total_bytes);
            }
            Err(_) => status.is_failing.store(true, Ordering::Relaxed),
        }
    }
}

/// Removes the oldest files written of a capture until all together have at most `max_bytes`; `newest` stays.
fn remove_oldest_files(capture: &Path, newest: &Path, max_bytes: u64) {
    let Ok(entries) = std::fs::read_dir(directory_of(capture)) else {
        return;
    };
    let mut files: Vec<(PathBuf, u64)> = entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| is_ring_file(path, capture))
        .filter_map(|path| path.metadata().ok().map(|metadata| (path, metadata.len())))
        .collect();
    // The time stands behind the name of the capture, so the names are in the order of time.
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

/// Whether a file was written of a capture in memory: `x-20...wfcap` for `x.wfcap`.
fn is_ring_file(path: &Path, capture: &Path) -> bool {
    let stem = capture
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
