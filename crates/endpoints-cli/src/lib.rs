//! Watches engine files on disk.
//!
//! A separate thread reads the files when the operating system reports a change, and also at regular intervals, because such
//! reports can be lost. The thread owns the [`Activator`], which decides when the contents become the active set, and saves
//! each active set durably. It sends an [`EngineFileEvent`] through a channel and writes a byte to a stream that the receiver
//! can poll. A disk that does not respond blocks only this thread.
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

/// The poll interval when the operating system reports no changes, for example because the user's limit of watches is reached.
/// A drain must be noticed well within a second.
const UNWATCHED_POLL_INTERVAL: Micros = Micros(250_000);

/// The capacity of the channels for commands and for events. If the first is full, further commands are dropped; if the second
/// is full, the thread waits.
const CHANNEL_CAPACITY: usize = 64;

/// How long after a failure to save the active set it is saved again.
const SAVE_RETRY_INTERVAL: Micros = Micros(1_000_000);

/// What to watch, and how.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Files, directories (all `*.toml` files in them), and patterns with `*` in the last component.
    pub sources: Vec<FileSource>,
    /// How often the files are read when the operating system reports no change.
    pub poll_interval: Micros,
    /// The conditions under which a set becomes active.
    pub policy: ActivationPolicy,
    /// The known zones and kinds, and the cores of each kind.
    pub topology: Topology,
    /// The file in which the active set is saved, for a start without a valid engine file.
    pub last_good: Option<PathBuf>,
}

/// A thread that watches the engine files, and stops when this is dropped.
#[derive(Debug)]
pub struct EngineFileWatcher {
    commands: SyncSender<Command>,
    thread: Option<JoinHandle<()>>,
    /// The events of the engine files.
    pub events: Receiver<EngineFileEvent>,
}

enum Command {
    /// Reads the files, after a reported change or on request.
    Read,
    /// Reads the files, and sends `ReadCompleted` with this number afterwards.
    ReadAndReport(u64),
    Stop,
}

impl EngineFileWatcher {
    /// Starts to watch. A byte is written to `wakeup` for each event; the stream must be non-blocking.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        config: WatchConfig,
        clock: Clock,
        wakeup: UnixStream,
    ) -> std::io::Result<EngineFileWatcher> {
        let (commands, received_commands) = sync_channel(CHANNEL_CAPACITY);
        let (event_sender, events) = sync_channel(CHANNEL_CAPACITY);
        let change_sender = commands.clone();
        let thread = std::thread::Builder::new().name("engine files".into()).spawn(move || {
            let mut watcher = WatcherThread {
                config,
                clock,
                wakeup,
                event_sender,
                last_problem: None,
                save_failed: false,
                report: None,
            };
            watcher.run(&received_commands, change_sender);
        })?;
        Ok(EngineFileWatcher { commands, thread: Some(thread), events })
    }

    /// Requests that the files are read now.
    pub fn request_read(&self) {
        // If the channel is full, a read is pending anyway. If the thread ended, it has reported why.
        let _ = self.commands.try_send(Command::Read);
    }

    /// Requests that the files are read now. [`EngineFileEvent::ReadCompleted`] with this number follows once the files are
    /// stable and their events are sent.
    pub fn read_and_report(&self, number: u64) {
        // If the channel is full, no such event follows. Callers wait for a limited time only.
        let _ = self.commands.try_send(Command::ReadAndReport(number));
    }
}

impl Drop for EngineFileWatcher {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            // The thread may be blocked on a full event channel.
            while !thread.is_finished() {
                while self.events.try_recv().is_ok() {}
                std::thread::sleep(Duration::from_millis(1));
            }
            let _ = thread.join();
        }
    }
}

struct WatcherThread {
    config: WatchConfig,
    clock: Clock,
    wakeup: UnixStream,
    event_sender: SyncSender<EngineFileEvent>,
    /// The last reported reason why the files are not active.
    last_problem: Option<EngineFileEvent>,
    /// The active set could not be saved, and the save must be retried.
    save_failed: bool,
    /// The number of the latest request for `ReadCompleted`.
    report: Option<u64>,
}

impl WatcherThread {
    fn send(&mut self, event: EngineFileEvent) {
        if self.event_sender.send(event).is_ok() {
            // If the stream is full, the receiver has a wakeup pending anyway.
            let _ = self.wakeup.write(&[1]);
        }
    }

    fn run(&mut self, commands: &Receiver<Command>, change_sender: SyncSender<Command>) {
        let mut activator = Activator::new(self.config.policy, self.config.topology.clone());
        self.restore_last_good(&mut activator);
        let sources = self.config.sources.clone();
        let mut file_watcher =
            match notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
                // An error may hide a change, so it is treated as one.
                if event.map_or(true, |e| may_affect(&e, &sources)) {
                    // If the channel is full, a read is pending anyway.
                    let _ = change_sender.try_send(Command::Read);
                }
            }) {
                Ok(file_watcher) => Some(file_watcher),
                Err(fault) => {
                    self.send(EngineFileEvent::PollingOnly(fault.to_string()));
                    None
                }
            };
        loop {
            // Watches follow the directory itself, not its path, so they are added again in case a directory was replaced.
            let watched = file_watcher.as_mut().is_some_and(|s| self.watch_directories(s));
            let now = Micros(self.clock.now());
            let contents = disk::read_sources(&self.config.sources);
            let verdict = activator.evaluate(now, &contents);
            let is_settling = matches!(verdict, Verdict::Settling(_));
            let again = self.report_verdict(&activator, now, verdict);
            if let Some(number) = self.report.take_if(|_| !is_settling) {
                self.send(EngineFileEvent::ReadCompleted(number));
            }
            if self.save_failed {
                self.save(&activator, now);
            }
            let poll = if watched {
                self.config.poll_interval
            } else {
                self.config.poll_interval.min(UNWATCHED_POLL_INTERVAL)
            };
            let poll = if self.save_failed { poll.min(SAVE_RETRY_INTERVAL) } else { poll };
            let wait = again.map_or(poll, |at| (at - now).max(Micros(1_000)).min(poll));
            match commands.recv_timeout(Duration::from_micros(wait.0.max(1_000) as u64)) {
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
                // A change may be reported several times; all pending commands lead to one read.
                Ok(first) => {
                    for command in std::iter::once(first).chain(commands.try_iter()) {
                        match command {
                            Command::Stop => return,
                            Command::Read => {}
                            Command::ReadAndReport(number) => self.report = Some(number),
                        }
                    }
                }
            }
        }
    }

    /// Watches the directories of all sources. Returns false if one cannot be watched, so that only polling finds changes.
    fn watch_directories(&self, file_watcher: &mut RecommendedWatcher) -> bool {
        let mut all = true;
        for dir in disk::directories_to_watch(&self.config.sources) {
            all &= file_watcher.watch(&dir, RecursiveMode::NonRecursive).is_ok();
        }
        all
    }

    fn restore_last_good(&mut self, activator: &mut Activator) {
        let Some(path) = &self.config.last_good else { return };
        match disk::read_last_good(path, &self.config.topology) {
            Ok(None) => {}
            Ok(Some((set, saved_at))) => {
                let age = Micros((self.clock.now() - saved_at.0).max(0));
                activator.restore(set.clone());
                self.send(EngineFileEvent::LastGoodRestored(Arc::new(set), age));
            }
            Err(why) => self.send(EngineFileEvent::LastGoodInvalid(why)),
        }
    }

    /// Sends the event for a verdict. Returns when the files must be read again, if that is before the next poll.
    fn report_verdict(&mut self, activator: &Activator, now: Micros, verdict: Verdict) -> Option<Micros> {
        let event = match verdict {
            Verdict::Settling(at) => return Some(at),
            Verdict::Unchanged => {
                if self.last_problem.take().is_some() {
                    self.send(EngineFileEvent::FaultCleared);
                }
                return None;
            }
            Verdict::Activated(set) => {
                self.last_problem = None;
                self.send(EngineFileEvent::Activated(Arc::new(set)));
                self.save(activator, now);
                return None;
            }
            Verdict::Rejected(fault, _) => EngineFileEvent::Rejected(fault),
            Verdict::Held(why, until) => EngineFileEvent::Held(why, until),
        };
        let again = if let EngineFileEvent::Held(_, until) = &event { *until } else { None };
        if self.last_problem.as_ref() != Some(&event) {
            self.last_problem = Some(event.clone());
            self.send(event);
        }
        again
    }

    fn save(&mut self, activator: &Activator, now: Micros) {
        let (Some(path), Some(text)) = (&self.config.last_good, activator.serialize_current(now)) else {
            return;
        };
        let written = disk::write_durably(path, text.as_bytes());
        let had_failed = std::mem::replace(&mut self.save_failed, written.is_err());
        if let Err(fault) = written {
            // Reported once, however often the save is retried.
            if !had_failed {
                let why = format!("{}: {fault}", path.display());
                self.send(EngineFileEvent::LastGoodNotSaved(why));
            }
        }
    }
}

/// Whether a reported change may concern one of the files. Other files in the same directory and read accesses are ignored:
/// otherwise each watcher would be woken by its own reads and by unrelated files, over and over.
fn may_affect(event: &notify::Event, sources: &[FileSource]) -> bool {
    use notify::event::{AccessKind, AccessMode};
    let is_read =
        matches!(event.kind, EventKind::Access(kind) if kind != AccessKind::Close(AccessMode::Write));
    !is_read
        && (event.paths.is_empty()
            || event.paths.iter().any(|p| sources.iter().any(|source| source.may_match(p))))
}
