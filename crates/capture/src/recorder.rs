//! The recorder, which runs on the driver's thread: serializes records and passes blocks to the
//! writer thread.

use crate::block_buffer::BlockBuffer;
use crate::disk::{disk_file_factory, FileFactory};
use crate::file_writer::{FileWriter, Segment};
use crate::format::{RecordRef, RecordedInput, Start};
use crate::ring::{sync_directory, Ring, RingLimits, RingWriter};
use crate::triggers::{TriggerDetector, TriggerReason, Triggers};
use crate::writer_thread::WriterThread;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, UNIX_EPOCH};
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_driver::{Driver, Instruction};

#[cfg(test)]
mod tests;

/// Maximum number of engine names that are kept for later segments, more than a list can hold. A segment lacks the
/// names of engines that were new before that.
const MAX_ENGINE_NAMES: usize = 16_384;
/// An in-memory segment is limited to `1 / SEGMENTS_IN_RING` of the ring's capacity, so that dropping
/// the oldest segment keeps most of the recorded data.
const SEGMENTS_IN_RING: u64 = 4;

/// Limits on the size and the timing of a capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of the serialized records that are passed to the writer thread as one block.
    pub block_bytes: usize,
    /// Maximum number of blocks waiting for the writer thread; further blocks are dropped.
    pub max_queued_blocks: usize,
    /// Size of a file after which the next file is begun.
    pub segment_bytes: u64,
    /// Total size of all files above which the oldest file is removed.
    pub max_total_bytes: u64,
    /// Interval between checkpoints.
    pub checkpoint_interval: Micros,
    /// Interval at which buffered records are passed on and written data is synced to disk.
    pub sync_interval: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            block_bytes: 64 << 10,
            max_queued_blocks: 64,
            segment_bytes: 256 << 20,
            max_total_bytes: 4 << 30,
            checkpoint_interval: Micros(60_000_000),
            sync_interval: Micros(1_000_000),
        }
    }
}

/// Counters and status of a recorder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecorderState {
    /// Number of records passed to the writer thread, less those that the writer thread lost.
    pub recorded: u64,
    /// Number of records lost because they could not be serialized, the channel was full or the
    /// write failed.
    pub lost: u64,
    /// Number of bytes written to files.
    pub written_bytes: u64,
    /// Whether the last write failed or the writer thread has ended unexpectedly.
    pub is_failing: bool,
    /// Number of files written from the in-memory ring.
    pub ring_files: u64,
    /// Size of the compressed blocks held in the in-memory ring.
    pub ring_bytes: u64,
}

/// Counters of records that were passed to the writer thread or lost.
#[derive(Debug, Default)]
struct RecordCounts {
    recorded: u64,
    /// Records lost before they reached the writer thread.
    lost: u64,
    /// Records lost by the writer thread, as far as already added to `unreported`.
    lost_by_writer: u64,
    /// Records lost since the last [`RecordRef::Gap`].
    unreported: u64,
}

/// Records the inputs of a driver and the instructions it returns. All methods are called on the
/// driver's thread. None of them waits for the disk except [`Recorder::finish`].
#[derive(Debug)]
pub struct Recorder {
    start: Start,
    limits: Limits,
    writer: WriterThread,
    buffer: BlockBuffer,
    counts: RecordCounts,
    /// Engine names recorded so far; the oldest beyond [`MAX_ENGINE_NAMES`] are forgotten.
    engine_names: BTreeMap<EngineId, String>,
    /// The engines of `engine_names` in the order in which they were recorded.
    engine_order: VecDeque<EngineId>,
    /// Number of segments requested from the writer thread after the first. A segment is a file, or
    /// a part of the in-memory ring.
    segments_requested: u64,
    last_checkpoint_at: Micros,
    last_flush_at: Micros,
    /// The path from which the names of files are derived.
    path: PathBuf,
    /// Detects the triggers of an in-memory capture; `None` for a capture written directly to
    /// files.
    triggers: Option<TriggerDetector>,
    /// Path of a file whose request has not been sent to the writer thread yet, because the channel
    /// was full or the request is new.
    ring_file: Option<PathBuf>,
}

impl Recorder {
    /// Begins a capture that is written to `path`. The names of later files are derived from
    /// `path`.
    ///
    /// # Errors
    /// Returns an error if the first file cannot be created or the writer thread cannot be started.
    pub fn begin(
        path: &Path,
        start: Start,
        limits: Limits,
        driver: &Driver,
        now: Micros,
    ) -> io::Result<Recorder> {
        Recorder::begin_with_file_factory(disk_file_factory(), path, start, limits, driver, now)
    }

    /// Begins a capture that is written to files created by `file_factory`.
    ///
    /// # Errors
    /// Same as for [`Recorder::begin`].
    pub fn begin_with_file_factory(
        mut file_factory: FileFactory,
        path: &Path,
        start: Start,
        limits: Limits,
        driver: &Driver,
        now: Micros,
    ) -> io::Result<Recorder> {
        let first = Segment::create(path.to_path_buf(), &mut file_factory)?;
        let writer = WriterThread::start(limits.max_queued_blocks, move |messages, status| {
            FileWriter::new(first, file_factory, limits).run(messages, status);
        })?;
        Ok(Recorder::new(
            path, start, limits, writer, None, driver, now,
        ))
    }

    /// Begins a capture that is held in memory. When a trigger fires, the capture is written to a
    /// file whose name consists of the stem of `path`, the time and the reason.
    ///
    /// # Errors
    /// Returns an error if the writer thread cannot be started.
    pub fn begin_in_memory(
        path: &Path,
        start: Start,
        limits: Limits,
        (ring_limits, triggers): (RingLimits, Triggers),
        driver: &Driver,
        now: Micros,
    ) -> io::Result<Recorder> {
        let limits = Limits {
            segment_bytes: (ring_limits.max_bytes / SEGMENTS_IN_RING).max(1),
            ..limits
        };
        let ring_writer = RingWriter {
            ring: Ring::new(ring_limits),
            path: path.to_path_buf(),
            max_total_bytes: limits.max_total_bytes,
            sync_directory,
        };
        let writer = WriterThread::start(limits.max_queued_blocks, move |messages, status| {
            ring_writer.run(messages, status);
        })?;
        let triggers = Some(TriggerDetector::new(triggers));
        Ok(Recorder::new(
            path, start, limits, writer, triggers, driver, now,
        ))
    }

    fn new(
        path: &Path,
        start: Start,
        limits: Limits,
        writer: WriterThread,
        triggers: Option<TriggerDetector>,
        driver: &Driver,
        now: Micros,
    ) -> Recorder {
        let mut recorder = Recorder {
            start,
            limits,
            writer,
            buffer: BlockBuffer::new(limits.block_bytes),
            counts: RecordCounts::default(),
            engine_names: BTreeMap::new(),
            engine_order: VecDeque::new(),
            segments_requested: 0,
            last_checkpoint_at: now,
            last_flush_at: now,
            path: path.to_path_buf(),
            triggers,
            ring_file: None,
        };
        recorder.push_segment_start(driver, now);
        recorder
    }

    /// Records a step: an input of the driver, the id of the query that it accepted, if any, and
    /// the instructions that it returned.
    pub fn record_step(
        &mut self,
        at: Micros,
        input: &RecordedInput,
        accepted: Option<QueryId>,
        instructions: &[Instruction],
    ) {
        self.push_record(
            at,
            &RecordRef::Step {
                at,
                input,
                accepted,
                instructions,
            },
        );
        if let Some(triggers) = &mut self.triggers {
            triggers.observe_step(at, input, instructions);
        }
        if let Some(query) = accepted {
            self.buffer.observe_query(query);
        }
    }

    /// Records the names of engines that were not recorded before.
    pub fn record_engines(&mut self, at: Micros, names: impl Iterator<Item = (EngineId, String)>) {
        let new: Vec<(EngineId, String)> = names
            .filter(|(engine, name)| self.engine_names.get(engine) != Some(name))
            .collect();
        if !new.is_empty() {
            self.push_record(at, &RecordRef::Engines(&new));
            for (engine, name) in new {
                if self.engine_names.insert(engine, name).is_none() {
                    self.engine_order.push_back(engine);
                }
            }
            let excess = self.engine_order.len().saturating_sub(MAX_ENGINE_NAMES);
            for engine in self.engine_order.drain(..excess) {
                self.engine_names.remove(&engine);
            }
        }
    }

    /// Passes on the current block, records a checkpoint and requests a file from the ring, each if
    /// it is due. Must be called between steps, because a checkpoint captures the state of the
    /// driver between two steps.
    pub fn maintain(&mut self, driver: &Driver, now: Micros) {
        self.count_writer_losses();
        self.flush_if_due(driver, now);
        if now - self.last_checkpoint_at >= self.limits.checkpoint_interval {
            self.take_checkpoint(driver, now);
        }
        self.check_triggers(driver, now);
    }

    /// Requests that the in-memory ring be written to a file. Has no effect on a capture written
    /// directly to files.
    pub fn request_file(&mut self, now: Micros) {
        if let Some(triggers) = &mut self.triggers {
            triggers.request(now);
        }
    }

    /// Returns the counters and the status of the recorder.
    pub fn state(&self) -> RecorderState {
        let status = self.writer.status();
        let lost_by_writer = status.lost_records.load(Ordering::Relaxed);
        RecorderState {
            recorded: self.counts.recorded.saturating_sub(lost_by_writer),
            lost: self.counts.lost + lost_by_writer,
            written_bytes: status.written_bytes.load(Ordering::Relaxed),
            is_failing: status.is_failing.load(Ordering::Relaxed),
            ring_files: status.ring_files.load(Ordering::Relaxed),
            ring_bytes: status.ring_bytes.load(Ordering::Relaxed),
        }
    }

    /// Passes the remaining records to the writer thread and waits until they are processed. An
    /// in-memory capture is written to a file if a trigger has fired.
    pub fn finish(mut self, now: Micros) -> RecorderState {
        if let Some(reason) = self
            .triggers
            .as_mut()
            .and_then(|triggers| triggers.take_pending(now))
        {
            self.request_ring_file(reason, now);
        }
        self.flush(now);
        let ring_file = self.ring_file.take();
        self.writer.finish(ring_file);
        self.state()
    }

    /// Appends a record to the current block, or counts it as lost.
    fn push_record(&mut self, at: Micros, record: &RecordRef<'_>) {
        if self.buffer.push(at, record).is_err() {
            self.counts.lost += 1;
            self.counts.unreported += 1;
        }
    }

    /// Records what a reader needs at the beginning of a segment or after a loss: the start, the
    /// gap, the engine names and a checkpoint.
    fn push_segment_start(&mut self, driver: &Driver, now: Micros) {
        let start = self.start.clone();
        self.push_record(now, &RecordRef::Start(&start));
        if self.counts.unreported > 0 {
            let lost = std::mem::take(&mut self.counts.unreported);
            self.push_record(now, &RecordRef::Gap { at: now, lost });
        }
        let names = self.engine_names.iter();
        let engine_names: Vec<(EngineId, String)> = names
            .map(|(engine, name)| (*engine, name.clone()))
            .collect();
        self.push_record(now, &RecordRef::Engines(&engine_names));
        self.push_checkpoint(driver, now);
    }

    fn push_checkpoint(&mut self, driver: &Driver, now: Micros) {
        self.last_checkpoint_at = now;
        // Serialization into memory fails only for unsupported types, and the driver contains none.
        if let Ok(bytes) = postcard::to_stdvec(driver) {
            self.push_record(
                now,
                &RecordRef::Checkpoint {
                    at: now,
                    driver: &bytes,
                },
            );
        }
    }

    fn count_writer_losses(&mut self) {
        let lost = self.writer.status().lost_records.load(Ordering::Relaxed);
        if lost > self.counts.lost_by_writer {
            self.counts.unreported += lost - self.counts.lost_by_writer;
            self.counts.lost_by_writer = lost;
        }
    }

    /// Passes on the current block if it is full or older than the sync interval. Begins a new
    /// segment if the current one is full. After a loss, records a gap and a checkpoint, from which
    /// a replay can continue.
    fn flush_if_due(&mut self, driver: &Driver, now: Micros) {
        let segment_is_full = self.is_segment_full();
        let is_old =
            !self.buffer.is_empty() && now - self.last_flush_at >= self.limits.sync_interval;
        if !segment_is_full && !is_old && self.buffer.len() < self.limits.block_bytes {
            return;
        }
        if !self.flush(now) {
            return;
        }
        let new_segment = segment_is_full && self.begin_segment();
        if new_segment || self.counts.unreported > 0 {
            self.push_segment_start(driver, now);
        }
    }

    /// Returns whether the current segment is full. Until the writer thread has begun the last
    /// requested segment, the reported size is that of the previous segment and is ignored.
    fn is_segment_full(&self) -> bool {
        let status = self.writer.status();
        let is_current = status.segments_begun.load(Ordering::Relaxed) == self.segments_requested;
        is_current && status.segment_bytes.load(Ordering::Relaxed) >= self.limits.segment_bytes
    }

    /// Records a checkpoint. For an in-memory capture, each checkpoint begins a new segment.
    fn take_checkpoint(&mut self, driver: &Driver, now: Micros) {
        if self.triggers.is_none() {
            self.push_checkpoint(driver, now);
        } else if self.flush(now) && self.begin_segment() {
            self.push_segment_start(driver, now);
        }
    }

    /// If a trigger has fired and its file is due, requests that the ring be written to a file.
    /// Retries an earlier request for which the channel was full.
    fn check_triggers(&mut self, driver: &Driver, now: Micros) {
        let Some(triggers) = &mut self.triggers else {
            return;
        };
        triggers.set_next_timer(driver.next_timer_at());
        if let Some(reason) = triggers.take_due(now) {
            self.request_ring_file(reason, now);
        }
        self.ring_file = self
            .ring_file
            .take()
            .and_then(|path| self.writer.write_ring(path));
    }

    /// Requests a new segment from the writer thread. Returns `false` if the channel is full or
    /// closed.
    fn begin_segment(&mut self) -> bool {
        let requested = self.writer.begin_segment();
        self.segments_requested += u64::from(requested);
        requested
    }

    fn request_ring_file(&mut self, reason: TriggerReason, now: Micros) {
        self.flush(now);
        let stem = self
            .path
            .file_stem()
            .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
        let time = UNIX_EPOCH + Duration::from_micros(now.0.max(0) as u64);
        let time = humantime::format_rfc3339_millis(time)
            .to_string()
            .replace([':', '.'], "-");
        let name = format!("{stem}-{time}-{}.wfcap", reason.file_name_part());
        self.ring_file = Some(self.path.with_file_name(name));
    }

    /// Passes the current block to the writer thread. Returns `false` if the block was dropped.
    fn flush(&mut self, now: Micros) -> bool {
        self.last_flush_at = now;
        let Some((header, bytes)) = self.buffer.take() else {
            return true;
        };
        let records = u64::from(header.records);
        let sent = self.writer.send_block(header, bytes);
        if sent {
            self.counts.recorded += records;
        } else {
            self.counts.lost += records;
            self.counts.unreported += records;
        }
        sent
    }
}
