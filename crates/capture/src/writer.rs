//! Writing: a buffer on the decision thread, a bounded queue, a thread that compresses and writes.

use crate::format::{Head, RecordRef, Start, Told, MAGIC, VERSION};
use crate::ring::{prune, Ring, RingLimits};
use crate::trigger::{Reason, Triggers, Watch};
use std::fs::File;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_driver::{Driver, Instruction};

/// Bytes of a record, mostly.
const USUAL: usize = 512;

/// What a recorder is bounded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of records that are handed over at a time.
    pub block: usize,
    /// Blocks that wait to be written; one more is dropped.
    pub queue: usize,
    /// Bytes of a file, after which the next one begins.
    pub segment: u64,
    /// Bytes of all files together, after which the oldest goes.
    pub keep: u64,
    /// A checkpoint is written so often.
    pub checkpoint: Micros,
    /// What was written is made durable so often.
    pub sync: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            block: 64 << 10,
            queue: 64,
            segment: 256 << 20,
            keep: 4 << 30,
            checkpoint: Micros(60_000_000),
            sync: Micros(1_000_000),
        }
    }
}

/// What became of the records so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Records handed to the writer.
    pub recorded: u64,
    /// Records lost: the queue was full, or the disk did not take them.
    pub lost: u64,
    /// Bytes written.
    pub bytes: u64,
    /// The writer ended, or can't write.
    pub failing: bool,
    /// Files kept for a reason, of a capture in memory.
    pub kept: u64,
    /// Bytes held in memory.
    pub held: u64,
}

#[derive(Debug, Default)]
struct Shared {
    lost: AtomicU64,
    bytes: AtomicU64,
    /// Bytes of the file at hand.
    segment: AtomicU64,
    /// Files begun beyond the first.
    begun: AtomicU64,
    failing: AtomicBool,
    kept: AtomicU64,
    held: AtomicU64,
}

enum Message {
    Block(Head, Vec<u8>),
    /// The next block begins a file, or a span in memory.
    Segment,
    /// What is in memory is to be written to this file.
    Keep(PathBuf),
}

/// The decision thread's side.
#[derive(Debug)]
pub struct Recorder {
    start: Start,
    limits: Limits,
    sender: Option<SyncSender<Message>>,
    writer: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
    buffer: Vec<u8>,
    head: Head,
    names: Vec<(EngineId, String)>,
    recorded: u64,
    lost: u64,
    /// Lost by the writer, as far as told in a gap.
    told_lost: u64,
    gap: u64,
    /// Files asked for beyond the first.
    segments: u64,
    last_checkpoint: Micros,
    last_flush: Micros,
    /// Where it is held in memory: what looks for a reason to keep it.
    watch: Option<Watch>,
    path: PathBuf,
    /// To be kept in this file, as soon as the writer can be told.
    keeps: Option<PathBuf>,
}

impl Recorder {
    /// Begins a capture at `path`; later files of it are named after it.
    ///
    /// # Errors
    /// If the first file can't be made.
    pub fn begin(
        path: &Path,
        start: Start,
        limits: Limits,
        driver: &Driver,
        now: Micros,
    ) -> std::io::Result<Recorder> {
        let make = |path: &Path| Ok(Box::new(File::create(path)?) as Box<dyn Disk>);
        Recorder::begin_on(Box::new(make), path, start, limits, driver, now)
    }

    /// The same, on files that `make` makes.
    ///
    /// # Errors
    /// If the first can't be made.
    pub fn begin_on(
        mut make: Maker,
        path: &Path,
        start: Start,
        limits: Limits,
        driver: &Driver,
        now: Micros,
    ) -> std::io::Result<Recorder> {
        let file = Segment::create(path.to_path_buf(), &mut make)?;
        let first = path.to_path_buf();
        let write = move |receiver: &Receiver<Message>, shared: &Shared| {
            write_all(receiver, file, &first, limits, shared, &mut make);
        };
        Recorder::spawn(path, start, limits, None, driver, now, write)
    }

    /// Begins a capture that is held in memory. For a reason it is written to a file named after `path`, the time and the
    /// reason.
    ///
    /// # Errors
    /// If no thread can be had.
    pub fn ring(
        path: &Path,
        start: Start,
        limits: Limits,
        (ring, triggers): (RingLimits, Triggers),
        driver: &Driver,
        now: Micros,
    ) -> std::io::Result<Recorder> {
        // A span is at most a quarter of the memory, so that dropping the oldest leaves most.
        let limits = Limits { segment: (ring.bytes / 4).max(1), ..limits };
        let (first, watch) = (path.to_path_buf(), Some(Watch::new(triggers)));
        let write = move |receiver: &Receiver<Message>, shared: &Shared| {
            hold_all(receiver, Ring::new(ring), &first, limits.keep, shared);
        };
        Recorder::spawn(path, start, limits, watch, driver, now, write)
    }

    fn spawn(
        path: &Path,
        start: Start,
        limits: Limits,
        watch: Option<Watch>,
        driver: &Driver,
        now: Micros,
        write: impl FnOnce(&Receiver<Message>, &Shared) + Send + 'static,
    ) -> std::io::Result<Recorder> {
        let (sender, receiver) = sync_channel(limits.queue.max(2));
        let shared = Arc::new(Shared::default());
        let theirs = shared.clone();
        let writer =
            std::thread::Builder::new().name("capture".into()).spawn(move || write(&receiver, &theirs))?;
        let mut recorder = Recorder {
            start,
            limits,
            sender: Some(sender),
            writer: Some(writer),
            shared,
            buffer: Vec::with_capacity(limits.block * 2),
            head: Head::default(),
            names: Vec::new(),
            recorded: 0,
            lost: 0,
            told_lost: 0,
            gap: 0,
            segments: 0,
            last_checkpoint: now,
            last_flush: now,
            watch,
            path: path.to_path_buf(),
            keeps: None,
        };
        recorder.open(driver, now);
        Ok(recorder)
    }

    /// The records that a file, or what follows a loss, begins with.
    fn open(&mut self, driver: &Driver, now: Micros) {
        let start = self.start.clone();
        self.put(now, &RecordRef::Start(&start));
        if self.gap > 0 {
            let lost = std::mem::take(&mut self.gap);
            self.put(now, &RecordRef::Gap { at: now, lost });
        }
        let names = self.names.clone();
        self.put(now, &RecordRef::Engines(&names));
        self.checkpoint(driver, now);
    }

    fn checkpoint(&mut self, driver: &Driver, now: Micros) {
        self.last_checkpoint = now;
        // Serializing into memory fails only for types that can't be; there is none in a driver.
        if let Ok(bytes) = postcard::to_stdvec(driver) {
            self.put(now, &RecordRef::Checkpoint { at: now, driver: &bytes });
        }
    }

    fn put(&mut self, at: Micros, record: &RecordRef<'_>) {
        let from = self.buffer.len();
        self.buffer.resize(from + 8 + USUAL, 0);
        match postcard::to_slice(record, &mut self.buffer[from + 8..]).map(|used| used.len()) {
            Ok(used) => self.buffer.truncate(from + 8 + used),
            // Longer than most: a list, or a checkpoint.
            Err(_) => {
                self.buffer.truncate(from + 8);
                match postcard::to_extend(record, std::mem::take(&mut self.buffer)) {
                    Ok(buffer) => self.buffer = buffer,
                    Err(_) => {
                        self.lost += 1;
                        self.gap += 1;
                        return;
                    }
                }
            }
        }
        let length = (self.buffer.len() - from - 8) as u32;
        let crc = crc32fast::hash(&self.buffer[from + 8..]);
        self.buffer[from..from + 4].copy_from_slice(&length.to_be_bytes());
        self.buffer[from + 4..from + 8].copy_from_slice(&crc.to_be_bytes());
        if self.head.records == 0 {
            (self.head.first, self.head.low) = (at.0, u64::MAX);
        }
        self.head.last = at.0;
        self.head.records += 1;
    }

    /// Records a step: what the driver was told, and what it answered.
    pub fn step(&mut self, at: Micros, told: &Told, taken: Option<QueryId>, out: &[Instruction]) {
        self.put(at, &RecordRef::Step { at, told, taken, out });
        if let Some(watch) = &mut self.watch {
            watch.step(at, told, out);
        }
        if let Some(QueryId(query)) = taken {
            self.head.low = self.head.low.min(query);
            self.head.high = self.head.high.max(query);
        }
    }

    /// Records names of engines.
    pub fn engines(&mut self, at: Micros, names: impl Iterator<Item = (EngineId, String)>) {
        let fresh: Vec<(EngineId, String)> = names.filter(|n| !self.names.contains(n)).collect();
        if !fresh.is_empty() {
            self.put(at, &RecordRef::Engines(&fresh));
            self.names.extend(fresh);
        }
    }

    /// Hands over what is due. To be called between steps, as a checkpoint may be taken of the driver.
    pub fn tend(&mut self, driver: &Driver, now: Micros) {
        let by_writer = self.shared.lost.load(Ordering::Relaxed);
        if by_writer > self.told_lost {
            self.gap += by_writer - self.told_lost;
            self.told_lost = by_writer;
        }
        // While the writer has not begun the last file asked for, what it tells is of the one before.
        let begun = self.shared.begun.load(Ordering::Relaxed) == self.segments;
        let full = begun && self.shared.segment.load(Ordering::Relaxed) >= self.limits.segment;
        let waits = self.head.records > 0 && now - self.last_flush >= self.limits.sync;
        if full || waits || self.buffer.len() >= self.limits.block {
            let sent = self.flush(now);
            if sent && full && self.segment() {
                self.open(driver, now);
            } else if sent && self.gap > 0 {
                // Behind a loss a replay can enter again.
                self.open(driver, now);
            }
        }
        if now - self.last_checkpoint >= self.limits.checkpoint {
            if self.watch.is_none() {
                self.checkpoint(driver, now);
            } else if self.flush(now) && self.segment() {
                // In memory, each checkpoint begins a span.
                self.open(driver, now);
            }
        }
        let Some(watch) = &mut self.watch else { return };
        watch.wants(driver.next_timer_at());
        if let Some(reason) = watch.ripe(now) {
            self.keep(reason, now);
        }
        self.send_keep();
    }

    /// Asks the writer to begin a file or span; false if it can't be told now.
    fn segment(&mut self) -> bool {
        let sent = self.sender.as_ref().is_some_and(|s| s.try_send(Message::Segment).is_ok());
        self.segments += u64::from(sent);
        sent
    }

    /// An operator wants what is held in memory, now. Nothing happens where the capture is on the disk anyway.
    pub fn ask(&mut self, now: Micros) {
        if let Some(watch) = &mut self.watch {
            watch.ask(now);
        }
    }

    fn keep(&mut self, reason: Reason, now: Micros) {
        self.flush(now);
        let stem = self.path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        let when = std::time::UNIX_EPOCH + std::time::Duration::from_micros(now.0.max(0) as u64);
        let when = humantime::format_rfc3339_millis(when).to_string().replace([':', '.'], "-");
        self.keeps = Some(self.path.with_file_name(format!("{stem}-{when}-{}.wfcap", reason.word())));
    }

    fn send_keep(&mut self) {
        let Some(path) = self.keeps.take() else { return };
        if let Some(Err(TrySendError::Full(Message::Keep(path)))) =
            self.sender.as_ref().map(|s| s.try_send(Message::Keep(path)))
        {
            self.keeps = Some(path);
        }
    }

    /// Hands over what is there; false if it was dropped.
    fn flush(&mut self, now: Micros) -> bool {
        self.last_flush = now;
        let mut head = std::mem::take(&mut self.head);
        self.head.number = head.number;
        if head.records == 0 {
            return true;
        }
        self.head.number += 1;
        let buffer = std::mem::replace(&mut self.buffer, Vec::with_capacity(self.limits.block * 2));
        if head.low == u64::MAX {
            (head.low, head.high) = (0, 0);
        }
        let records = u64::from(head.records);
        let sent = self.sender.as_ref().map(|s| s.try_send(Message::Block(head, buffer)));
        if matches!(sent, Some(Err(TrySendError::Disconnected(_)))) {
            // The writer is dead; nothing will be written any more.
            self.shared.failing.store(true, Ordering::Relaxed);
        }
        let sent = sent.is_some_and(|s| s.is_ok());
        if sent {
            self.recorded += records;
        } else {
            // Whole records are dropped, and what follows says so.
            self.lost += records;
            self.gap += records;
        }
        sent
    }

    /// What became of the records so far.
    pub fn state(&self) -> State {
        let by_writer = self.shared.lost.load(Ordering::Relaxed);
        State {
            recorded: self.recorded.saturating_sub(by_writer),
            lost: self.lost + by_writer,
            bytes: self.shared.bytes.load(Ordering::Relaxed),
            failing: self.shared.failing.load(Ordering::Relaxed),
            kept: self.shared.kept.load(Ordering::Relaxed),
            held: self.shared.held.load(Ordering::Relaxed),
        }
    }

    /// Hands over the rest and waits until it is written.
    pub fn end(mut self, now: Micros) -> State {
        if let Some(reason) = self.watch.as_mut().and_then(|w| w.rest(now)) {
            self.keep(reason, now);
        }
        self.flush(now);
        if let (Some(path), Some(sender)) = (self.keeps.take(), &self.sender) {
            // Waits for room; a dead writer can't be told.
            let _ = sender.send(Message::Keep(path));
        }
        self.sender = None;
        if let Some(writer) = self.writer.take() {
            if writer.join().is_err() {
                self.shared.failing.store(true, Ordering::Relaxed);
            }
        }
        self.state()
    }
}

/// What a capture is written to: a file, or what stands in for one that is slow or full.
pub trait Disk: Send {
    /// Writes all of it, at the end.
    ///
    /// # Errors
    /// As the disk tells; a part may have been written.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;
    /// Cuts it to a length.
    ///
    /// # Errors
    /// As the disk tells.
    fn cut(&mut self, length: u64) -> std::io::Result<()>;
    /// Makes what was written durable.
    ///
    /// # Errors
    /// As the disk tells.
    fn sync(&mut self) -> std::io::Result<()>;
}

impl Disk for File {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write_all(bytes)
    }
    fn cut(&mut self, length: u64) -> std::io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::End(0)).map(|_| ())
    }
    fn sync(&mut self) -> std::io::Result<()> {
        self.sync_data()
    }
}

/// Makes the files of a capture.
pub type Maker = Box<dyn FnMut(&Path) -> std::io::Result<Box<dyn Disk>> + Send>;

/// A file that is being written.
struct Segment {
    path: PathBuf,
    file: Box<dyn Disk>,
    length: u64,
}

impl Segment {
    fn create(path: PathBuf, make: &mut Maker) -> std::io::Result<Segment> {
        let mut file = make(&path)?;
        file.append(MAGIC)?;
        file.append(&VERSION.to_be_bytes())?;
        Ok(Segment { path, file, length: MAGIC.len() as u64 + 2 })
    }

    /// Writes a block whole, or leaves the file as it was.
    fn write(&mut self, head: &[u8], packed: &[u8]) -> std::io::Result<()> {
        let written = self.file.append(head).and_then(|()| self.file.append(packed));
        if written.is_err() {
            // Half a block would end every reading here.
            self.file.cut(self.length)?;
            return written;
        }
        self.length += (head.len() + packed.len()) as u64;
        Ok(())
    }
}

/// The name of the n-th file of a capture: `x.wfcap`, `x.0001.wfcap` and so on.
fn nth(path: &Path, n: u32) -> PathBuf {
    if n == 0 {
        return path.to_path_buf();
    }
    let stem = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    path.with_file_name(format!("{stem}.{n:04}.wfcap"))
}

fn write_all(
    receiver: &Receiver<Message>,
    first: Segment,
    path: &Path,
    limits: Limits,
    shared: &Shared,
    make: &mut Maker,
) {
    let mut files = vec![(first.path.clone(), 0u64)];
    let (mut segment, mut n) = (Some(first), 0u32);
    let mut synced = std::time::Instant::now();
    let every = std::time::Duration::from_micros(limits.sync.0.max(1) as u64);
    while let Ok(message) = receiver.recv() {
        let (mut head, raw) = match message {
            Message::Block(head, raw) => (head, raw),
            Message::Keep(_) => continue,
            Message::Segment => {
                n += 1;
                if let Some(mut old) = segment.take() {
                    let _ = old.file.sync();
                    if let Some(last) = files.last_mut() {
                        last.1 = old.length;
                    }
                }
                segment = Segment::create(nth(path, n), make).ok();
                shared.failing.store(segment.is_none(), Ordering::Relaxed);
                shared.segment.store(0, Ordering::Relaxed);
                shared.begun.store(u64::from(n), Ordering::Relaxed);
                files.extend(segment.as_ref().map(|s| (s.path.clone(), 0)));
                // The oldest files go; the one at hand stays.
                while files.len() > 1 && files.iter().map(|(_, bytes)| bytes).sum::<u64>() > limits.keep {
                    let _ = std::fs::remove_file(files.remove(0).0);
                }
                continue;
            }
        };
        let written = zstd::bulk::compress(&raw, 1).and_then(|packed| {
            (head.raw, head.packed) = (raw.len() as u32, packed.len() as u32);
            let file = segment.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
            file.write(&head.bytes(&packed), &packed)?;
            Ok(file.length)
        });
        match written {
            Ok(length) => {
                shared.segment.store(length, Ordering::Relaxed);
                shared.bytes.fetch_add(u64::from(head.packed), Ordering::Relaxed);
                shared.failing.store(false, Ordering::Relaxed);
            }
            Err(_) => {
                shared.lost.fetch_add(u64::from(head.records), Ordering::Relaxed);
                shared.failing.store(true, Ordering::Relaxed);
            }
        }
        if synced.elapsed() >= every {
            if let Some(s) = &mut segment {
                let _ = s.file.sync();
            }
            synced = std::time::Instant::now();
        }
    }
    if let Some(mut s) = segment {
        let _ = s.file.sync();
    }
}

fn hold_all(receiver: &Receiver<Message>, mut ring: Ring, path: &Path, keep: u64, shared: &Shared) {
    let mut begun = 0;
    while let Ok(message) = receiver.recv() {
        match message {
            Message::Block(mut head, raw) => {
                let Ok(packed) = zstd::bulk::compress(&raw, 1) else {
                    shared.lost.fetch_add(u64::from(head.records), Ordering::Relaxed);
                    continue;
                };
                (head.raw, head.packed) = (raw.len() as u32, packed.len() as u32);
                let (own, all) = ring.push(&head, &head.bytes(&packed), &packed);
                shared.segment.store(own, Ordering::Relaxed);
                shared.held.store(all, Ordering::Relaxed);
            }
            Message::Segment => {
                ring.begin();
                begun += 1;
                shared.segment.store(0, Ordering::Relaxed);
                shared.begun.store(begun, Ordering::Relaxed);
            }
            Message::Keep(file) => match ring.write(&file) {
                Ok(bytes) => {
                    shared.bytes.fetch_add(bytes, Ordering::Relaxed);
                    shared.kept.fetch_add(1, Ordering::Relaxed);
                    shared.failing.store(false, Ordering::Relaxed);
                    prune(path, &file, keep);
                }
                Err(_) => shared.failing.store(true, Ordering::Relaxed),
            },
        }
    }
}
