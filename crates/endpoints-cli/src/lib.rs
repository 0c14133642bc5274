//! Engine files on the disk.
//!
//! A thread of its own looks at them when the system tells of a change, and now and then in any case, as such word gets
//! lost. It owns the [`Activator`], which decides what is taken; a set in force is kept durably beside. Whoever asked hears
//! [`EngineFileEvent`] through a channel, and by a byte on a stream that it can poll. A disk that hangs holds up only this thread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod peers;

use disk::FileSource;
use notify::{EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wheelfield::interface::Micros;
use wheelfield_endpoints::activation::{ActivationPolicy, Activator, Verdict};
use wheelfield_endpoints::file::Topology;
pub use wheelfield_endpoints::EngineFileEvent;
use wheelfield_net::Clock;

/// Where the system tells of no changes (it has a limit of watchers for each user), files are read so often: a drain must be
/// heard of well within a second.
const UNWATCHED: Micros = Micros(250_000);

/// Words of changes, and pieces of news, that wait at most. Of the first, more are dropped; for the second, the thread waits.
const WAITING: usize = 64;

/// After this, a set that could not be written to disk is written again.
const KEEP_AGAIN: Micros = Micros(1_000_000);

/// What is watched, and how.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Files, directories (all of `*.toml` in them) and patterns with `*` in the last part.
    pub sources: Vec<FileSource>,
    /// They are read so often, whatever the system tells of changes.
    pub poll_interval: Micros,
    /// What is asked of a candidate.
    pub policy: ActivationPolicy,
    /// Zones, kinds and cores.
    pub topology: Topology,
    /// Where the set in force is kept, for a start without a good file.
    pub last_good: Option<PathBuf>,
}

/// A watching thread; ends when dropped.
#[derive(Debug)]
pub struct EngineFileWatcher {
    wake: SyncSender<Wake>,
    thread: Option<JoinHandle<()>>,
    /// What there is to tell.
    pub events: Receiver<EngineFileEvent>,
}

enum Wake {
    /// The system told of a change, or somebody asked to look.
    Look,
    /// Somebody asks to be told, by this number, once the files were read.
    Report(u64),
    End,
}

impl EngineFileWatcher {
    /// Begins to watch. A byte is written to `bell` for each piece of news; it should not block.
    ///
    /// # Errors
    /// If no thread can be had.
    pub fn start(watch: WatchConfig, clock: Clock, bell: UnixStream) -> std::io::Result<EngineFileWatcher> {
        let (wake, woken) = sync_channel(WAITING);
        let (tell, news) = sync_channel(WAITING);
        let events = wake.clone();
        let thread = std::thread::Builder::new().name("engine files".into()).spawn(move || {
            let mut watcher = Thread { watch, clock, bell, tell, last: None, is_unkept: false, report: None };
            watcher.run(&woken, events);
        })?;
        Ok(EngineFileWatcher { wake, thread: Some(thread), events: news })
    }

    /// Looks now.
    pub fn request_read(&self) {
        // One more than wait is none, and a thread that ended has told why.
        let _ = self.wake.try_send(Wake::Look);
    }

    /// Looks now. [`EngineFileEvent::ReadCompleted`] with this number comes once what the files hold stood still and is told.
    pub fn read_and_report(&self, number: u64) {
        // Where too many wait none comes: who asked waits for a bounded time.
        let _ = self.wake.try_send(Wake::Report(number));
    }
}

impl Drop for EngineFileWatcher {
    fn drop(&mut self) {
        let _ = self.wake.send(Wake::End);
        if let Some(thread) = self.thread.take() {
            // It may wait for room for its news.
            while !thread.is_finished() {
                while self.events.try_recv().is_ok() {}
                std::thread::sleep(Duration::from_millis(1));
            }
            let _ = thread.join();
        }
    }
}

struct Thread {
    watch: WatchConfig,
    clock: Clock,
    bell: UnixStream,
    tell: SyncSender<EngineFileEvent>,
    /// What was told last of files that are not taken.
    last: Option<EngineFileEvent>,
    /// The set in force could not be written to disk, and is to be written again.
    is_unkept: bool,
    /// Who asked last to be told once the files were read.
    report: Option<u64>,
}

impl Thread {
    fn tell(&mut self, news: EngineFileEvent) {
        if self.tell.send(news).is_ok() {
            // A full stream rings already.
            let _ = self.bell.write(&[1]);
        }
    }

    fn run(&mut self, woken: &Receiver<Wake>, events: SyncSender<Wake>) {
        let mut activator = Activator::new(self.watch.policy, self.watch.topology.clone());
        self.take_up_kept(&mut activator);
        let places = self.watch.sources.clone();
        let mut system = match notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
            // A fault may hide a change; it is looked at as one.
            if event.map_or(true, |e| concerns(&e, &places)) {
                // While so many wait, one more tells nothing new.
                let _ = events.try_send(Wake::Look);
            }
        }) {
            Ok(system) => Some(system),
            Err(fault) => {
                self.tell(EngineFileEvent::PollingOnly(fault.to_string()));
                None
            }
        };
        loop {
            // A directory that was replaced is another one: it is asked for anew each time.
            let watched = system.as_mut().is_some_and(|s| self.watch_directories(s));
            let now = Micros(self.clock.now());
            let reading = disk::read(&self.watch.sources);
            let verdict = activator.evaluate(now, &reading);
            let is_settling = matches!(verdict, Verdict::Settling(_));
            let again = self.heed(&activator, now, verdict);
            if let Some(number) = self.report.take_if(|_| !is_settling) {
                self.tell(EngineFileEvent::ReadCompleted(number));
            }
            if self.is_unkept {
                self.keep(&activator, now);
            }
            let poll =
                if watched { self.watch.poll_interval } else { self.watch.poll_interval.min(UNWATCHED) };
            let poll = if self.is_unkept { poll.min(KEEP_AGAIN) } else { poll };
            let wait = again.map_or(poll, |at| (at - now).max(Micros(1_000)).min(poll));
            match woken.recv_timeout(Duration::from_micros(wait.0.max(1_000) as u64)) {
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
                // Many words of one change are one.
                Ok(first) => {
                    for wake in std::iter::once(first).chain(woken.try_iter()) {
                        match wake {
                            Wake::End => return,
                            Wake::Look => {}
                            Wake::Report(number) => self.report = Some(number),
                        }
                    }
                }
            }
        }
    }

    /// Watches the directories of all places; false if one can't be, so that the poll must do.
    fn watch_directories(&self, system: &mut RecommendedWatcher) -> bool {
        let mut all = true;
        for dir in disk::directories(&self.watch.sources) {
            all &= system.watch(&dir, RecursiveMode::NonRecursive).is_ok();
        }
        all
    }

    fn take_up_kept(&mut self, activator: &mut Activator) {
        let Some(path) = &self.watch.last_good else { return };
        match disk::kept(path, &self.watch.topology) {
            Ok(None) => {}
            Ok(Some((set, kept))) => {
                let age = Micros((self.clock.now() - kept.0).max(0));
                activator.restore(set.clone());
                self.tell(EngineFileEvent::LastGoodRestored(Arc::new(set), age));
            }
            Err(why) => self.tell(EngineFileEvent::LastGoodInvalid(why)),
        }
    }

    /// Tells what came of a reading; when to read again, if before the poll.
    fn heed(&mut self, activator: &Activator, now: Micros, verdict: Verdict) -> Option<Micros> {
        let news = match verdict {
            Verdict::Settling(at) => return Some(at),
            Verdict::Unchanged => {
                if self.last.take().is_some() {
                    self.tell(EngineFileEvent::FaultCleared);
                }
                return None;
            }
            Verdict::Activated(set) => {
                self.last = None;
                self.tell(EngineFileEvent::Activated(Arc::new(set)));
                self.keep(activator, now);
                return None;
            }
            Verdict::Rejected(fault, _) => EngineFileEvent::Rejected(fault),
            Verdict::Held(why, until) => EngineFileEvent::Held(why, until),
        };
        let again = if let EngineFileEvent::Held(_, until) = &news { *until } else { None };
        if self.last.as_ref() != Some(&news) {
            self.last = Some(news.clone());
            self.tell(news);
        }
        again
    }

    fn keep(&mut self, activator: &Activator, now: Micros) {
        let (Some(path), Some(text)) = (&self.watch.last_good, activator.serialize_current(now)) else {
            return;
        };
        let written = disk::write_durably(path, text.as_bytes());
        let was_unkept = std::mem::replace(&mut self.is_unkept, written.is_err());
        if let Err(fault) = written {
            // Told once, however often it is tried again.
            if !was_unkept {
                let why = format!("{}: {fault}", path.display());
                self.tell(EngineFileEvent::LastGoodNotSaved(why));
            }
        }
    }
}

/// Whether a change may be one of the files. Others may be written beside them, and reading a file is no change: heeding
/// either would wake every watcher without end.
fn concerns(event: &notify::Event, places: &[FileSource]) -> bool {
    use notify::event::{AccessKind, AccessMode};
    let read = matches!(event.kind, EventKind::Access(kind) if kind != AccessKind::Close(AccessMode::Write));
    !read
        && (event.paths.is_empty()
            || event.paths.iter().any(|p| places.iter().any(|place| place.concerns(p))))
}
