//! The decision thread's side of a capture: serializes records and hands blocks to the writer thread.

use crate::block_buffer::BlockBuffer;
use crate::disk::{disk_file_factory, FileFactory};
use crate::file_writer::{FileWriter, Segment};
use crate::format::{RecordRef, RecordedInput, Start};
use crate::ring::{Ring, RingLimits, RingWriter};
use crate::triggers::{TriggerDetector, TriggerReason, Triggers};
use crate::writer_thread::WriterThread;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, UNIX_EPOCH};
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_driver::{Driver, Instruction};

/// A span in memory has at most this part of all memory, so that dropping the oldest leaves most.
const SEGMENTS_IN_RING: u64 = 4;

/// What a recorder is bounded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of records that are handed over at a time.
    pub block_bytes: usize,
    /// Blocks that wait to be written, at most; further ones are dropped.
    pub max_queued_blocks: usize,
    /// Bytes of a file, after which the next one begins.
    pub segment_bytes: u64,
    /// Bytes of all files together, after which the oldest is removed.
    pub max_total_bytes: u64,
    /// Time between two checkpoints.
    pub checkpoint_interval: Micros,
    /// Time after which what was written is made durable.
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

/// What became of the records so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecorderState {
    /// Records handed to the writer thread.
    pub recorded: u64,
    /// Records lost, as the queue was full or the disk did not take them.
    pub lost: u64,
    /// Bytes written.
    pub written_bytes: u64,
    /// The writer thread has ended, or can't write.
    pub is_failing: bool,
    /// Files written of a capture in memory.
    pub ring_files: u64,
    /// Bytes held in memory.
    pub ring_bytes: u64,
}

/// RecordCounts of records that were handed over or lost.
#[derive(Debug, Default)]
struct RecordCounts {
    recorded: u64,
    /// Lost before the writer thread had them.
    lost: u64,
    /// Lost by the writer thread, as far as that was taken into `unreported`.
    lost_by_writer: u64,
    /// Lost since the last [`RecordRef::Gap`].
    unreported: u64,
}

/// Records the inputs and answers of a driver. All methods are called on the decision thread and never wait for the disk,
/// except [`Recorder::finish`].
#[derive(Debug)]
pub struct Recorder {
    start: Start,
    limits: Limits,
    writer: WriterThread,
    buffer: BlockBuffer,
    counts: RecordCounts,
    /// Names of engines recorded so far.
    engine_names: Vec<(EngineId, String)>,
    /// Files or spans asked for beyond the first.
    segments_requested: u64,
    last_checkpoint_at: Micros,
    last_flush_at: Micros,
    /// The path that files are named after.
    path: PathBuf,
    /// For a capture in memory: what detects a reason to write it to a file.
    triggers: Option<TriggerDetector>,
    /// The file that a capture in memory is to be written to, once the queue takes the message.
    ring_file: Option<PathBuf>,
}

impl Recorder {
    /// Begins a capture at `path`; its later files are named after that.
    ///
    /// # Errors
    /// If the first file can't be created, or the writer thread can't be started.
    pub fn begin(
        path: &Path,
        start: Start,
        limits: Limits,
        driver: &Driver,
        now: Micros,
    ) -> io::Result<Recorder> {
        Recorder::begin_with_file_factory(disk_file_factory(), path, start, limits, driver, now)
    }

    /// Begins a capture in files that `file_factory` creates.
    ///
    /// # Errors
    /// As [`Recorder::begin`].
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

    /// Begins a capture that is held in memory. When one of the triggers fires, it is written to a file named after `path`,
    /// the time and the reason.
    ///
    /// # Errors
    /// If the writer thread can't be started.
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
            engine_names: Vec::new(),
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

    /// Records a step: an input of the driver, the number of a query that it accepted, and its answer.
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

    /// Records names of engines that were not recorded yet.
    pub fn record_engines(&mut self, at: Micros, names: impl Iterator<Item = (EngineId, String)>) {
        let new: Vec<(EngineId, String)> = names
            .filter(|name| !self.engine_names.contains(name))
            .collect();
        if !new.is_empty() {
            self.push_record(at, &RecordRef::Engines(&new));
            self.engine_names.extend(new);
        }
    }

    /// Hands over what is due. To be called between steps, as a checkpoint may be taken of the driver.
    pub fn maintain(&mut self, driver: &Driver, now: Micros) {
        self.count_writer_losses();
        self.flush_if_due(driver, now);
        if now - self.last_checkpoint_at >= self.limits.checkpoint_interval {
            self.take_checkpoint(driver, now);
        }
        self.check_triggers(driver, now);
    }

    /// Writes what is held in memory to a file, on an operator's request. Without effect for a capture in files.
    pub fn request_file(&mut self, now: Micros) {
        if let Some(triggers) = &mut self.triggers {
            triggers.request(now);
        }
    }

    /// What became of the records so far.
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

    /// Hands over the rest and waits until it is written. A capture in memory is written to a file if a trigger has fired.
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

    /// Adds a record to the block.
    fn push_record(&mut self, at: Micros, record: &RecordRef<'_>) {
        if self.buffer.push(at, record).is_err() {
            self.counts.lost += 1;
            self.counts.unreported += 1;
        }
    }

    /// Adds the records that a file or span begins with, or what follows a loss.
    fn push_segment_start(&mut self, driver: &Driver, now: Micros) {
        let start = self.start.clone();
        self.push_record(now, &RecordRef::Start(&start));
        if self.counts.unreported > 0 {
            let lost = std::mem::take(&mut self.counts.unreported);
            self.push_record(now, &RecordRef::Gap { at: now, lost });
        }
        let engine_names = self.engine_names.clone();
        self.push_record(now, &RecordRef::Engines(&engine_names));
        self.push_checkpoint(driver, now);
    }

    fn push_checkpoint(&mut self, driver: &Driver, now: Micros) {
        self.last_checkpoint_at = now;
        // Serializing into memory fails only for types that can't be serialized; a driver has none.
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

    /// Hands over the block if it is full or old enough. Begins a new file or span if the current one is full, and enters
    /// again behind a loss.
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

    /// Whether the current file or span is full. While the writer thread has not begun the last one asked for, its figure is of
    /// the one before.
    fn is_segment_full(&self) -> bool {
        let status = self.writer.status();
        let is_current = status.segments_begun.load(Ordering::Relaxed) == self.segments_requested;
        is_current && status.segment_bytes.load(Ordering::Relaxed) >= self.limits.segment_bytes
    }

    /// Records a checkpoint. In memory, each begins a span.
    fn take_checkpoint(&mut self, driver: &Driver, now: Micros) {
        if self.triggers.is_none() {
            self.push_checkpoint(driver, now);
        } else if self.flush(now) && self.begin_segment() {
            self.push_segment_start(driver, now);
        }
    }

    /// Requests a file of a capture in memory, if a trigger has fired.
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

    /// Asks the writer thread to begin a file or span; false if it can't be asked now.
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

    /// Hands the block over; false if it was dropped.
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
