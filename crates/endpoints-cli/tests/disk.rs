//! Engine files on a real disk, written in the ways of editors, deployment tools and careless scripts.

use std::fs;
use std::os::unix::fs::symlink;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use wheelfield::interface::Micros;
use wheelfield_config::Names;
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::Topology;
use wheelfield_endpoints_cli::disk::{read_last_good, FileSource};
use wheelfield_endpoints_cli::{EngineFileEvent, EngineFileWatcher, WatchConfig};
use wheelfield_net::Clock;

/// How long a test waits for an event before it fails; much longer than any event takes.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn topology() -> Topology {
    let names = Names { zones: vec!["a".into()], kinds: vec!["std".into()], ..Names::default() };
    Topology { names, cores: vec![8.0], accept_unknown_names: false }
}

fn file(version: u64, ids: std::ops::Range<usize>) -> String {
    let engine =
        |n| format!("\n[[engines]]\nid = \"e{n}\"\naddress = \"127.0.0.1:{}\"\nkind = \"std\"\n", 5_500 + n);
    let count = ids.len();
    format!("version = {version}\n{}\n[end]\nengines = {count}\n", ids.map(engine).collect::<String>())
}

/// Replaces a file at once, as deployment tools do. A file that is written in place is empty for as long as the disk takes, and is
/// read as such if that is longer than a file has to stay unchanged.
fn replace_file(path: &Path, text: &str) {
    let temporary = path.with_extension("new");
    fs::write(&temporary, text).expect("written");
    fs::rename(&temporary, path).expect("renamed");
}

struct TestWatcher {
    watcher: EngineFileWatcher,
    /// Kept open, so that writes to the other end succeed.
    _wakeup: UnixStream,
}

impl TestWatcher {
    fn start(source: &Path, last_good: Option<&Path>, poll: Micros) -> TestWatcher {
        let (wakeup, notifier) = UnixStream::pair().expect("a pair");
        notifier.set_nonblocking(true).expect("a stream");
        let config = WatchConfig {
            sources: vec![FileSource(source.to_path_buf())],
            poll_interval: poll,
            policy: ActivationPolicy { settle_time: Micros(20_000), ..ActivationPolicy::default() },
            topology: topology(),
            last_good: last_good.map(Path::to_path_buf),
        };
        let watcher = EngineFileWatcher::start(config, Clock::start(), notifier).expect("a thread");
        TestWatcher { watcher, _wakeup: wakeup }
    }

    fn next_event(&self) -> EngineFileEvent {
        self.watcher.events.recv_timeout(EVENT_TIMEOUT).expect("an event")
    }

    /// Waits for the next active set, and returns its version and its number of engines. Events about files that are still
    /// being changed may come before it and are skipped.
    fn next_active_set(&self) -> (u64, usize) {
        loop {
            if let EngineFileEvent::Activated(set) = self.next_event() {
                return (set.version, set.engines.len());
            }
        }
    }

    /// Waits for the next rejection, and returns its message.
    fn next_rejection(&self) -> String {
        loop {
            match self.next_event() {
                EngineFileEvent::Rejected(fault) => return fault.to_string(),
                EngineFileEvent::Activated(set) => panic!("version {} became active", set.version),
                _ => {}
            }
        }
    }
}

const SHORT_POLL_INTERVAL: Micros = Micros(50_000);
/// So long that only notifications of the operating system can make a change visible within a test.
const LONG_POLL_INTERVAL: Micros = Micros(3_600_000_000);

#[test]
fn changes_are_found_by_notifications_and_by_polling() {
    for poll in [LONG_POLL_INTERVAL, SHORT_POLL_INTERVAL] {
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("engines.toml");
        fs::write(&path, file(1, 0..3)).expect("written");
        let watcher = TestWatcher::start(&path, None, poll);
        assert_eq!(watcher.next_active_set(), (1, 3));
        // Written to another file and renamed.
        replace_file(&path, &file(2, 0..4));
        assert_eq!(watcher.next_active_set(), (2, 4));
        // Written in place.
        fs::write(&path, file(3, 0..5)).expect("written");
        assert_eq!(watcher.next_active_set(), (3, 5));
        // Truncated, then removed, then complete.
        let whole = file(4, 0..6);
        fs::write(&path, &whole[..whole.len() - 20]).expect("written");
        assert!(watcher.next_rejection().contains("engines.toml:"), "the message names the file");
        fs::remove_file(&path).expect("removed");
        assert!(watcher.next_rejection().contains("cannot be read"));
        fs::write(&path, &whole).expect("written");
        assert_eq!(watcher.next_active_set(), (4, 6));
    }
}

#[test]
fn the_files_of_a_directory_are_one_set_and_its_link_may_be_replaced() {
    let dir = tempfile::tempdir().expect("a directory");
    let release = |name: &str, files: &[(&str, String)]| {
        let path = dir.path().join(name);
        fs::create_dir(&path).expect("made");
        files.iter().for_each(|(n, text)| fs::write(path.join(n), text).expect("written"));
        path
    };
    let one = release(
        "r1",
        &[("a.toml", file(1, 0..2)), ("b.toml", file(1, 2..4)), ("notes.txt", "no set".into())],
    );
    let two = release(
        "r2",
        &[("a.toml", file(2, 0..3)), ("b.toml", file(2, 3..6)), (".c.toml.swp", "half".into())],
    );
    let link = dir.path().join("current");
    symlink(&one, &link).expect("linked");
    let watcher = TestWatcher::start(&link, None, LONG_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (2, 4));
    let temporary = dir.path().join("next");
    symlink(&two, &temporary).expect("linked");
    fs::rename(&temporary, &link).expect("swapped");
    assert_eq!(watcher.next_active_set(), (4, 6));
    // Changes in the new target of the link are noticed.
    fs::write(two.join("b.toml"), file(3, 3..7)).expect("written");
    assert_eq!(watcher.next_active_set(), (5, 7));
    // A pattern selects only the files that match it.
    let watcher = TestWatcher::start(&two.join("a*.toml"), None, LONG_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (2, 3));
}

#[test]
fn the_active_set_is_saved_and_restored_when_the_files_are_invalid() {
    let dir = tempfile::tempdir().expect("a directory");
    let (path, last) = (dir.path().join("engines.toml"), dir.path().join("kept/last.toml"));
    fs::create_dir(dir.path().join("kept")).expect("made");
    fs::write(&path, file(7, 0..3)).expect("written");
    let watcher = TestWatcher::start(&path, Some(&last), SHORT_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (7, 3));
    // Dropping the watcher waits for the save in progress.
    drop(watcher);
    let (set, saved_at) = read_last_good(&last, &topology()).expect("valid").expect("there");
    assert_eq!((set.version, set.engines.len()), (7, 3));
    assert!(saved_at.0 > 1_600_000_000_000_000);
    fs::write(&path, "version = 8\nnonsense").expect("written");
    let watcher = TestWatcher::start(&path, Some(&last), SHORT_POLL_INTERVAL);
    let EngineFileEvent::LastGoodRestored(set, age) = watcher.next_event() else {
        panic!("the saved set is not restored first")
    };
    assert_eq!((set.version, set.engines.len()), (7, 3));
    assert!(age >= Micros(0) && age < Micros(60_000_000));
    assert!(watcher.next_rejection().contains("engines.toml:2"));
    // The set is also restored if there is no engine file, and a damaged saved set is reported.
    fs::remove_file(&path).expect("removed");
    assert!(matches!(
        TestWatcher::start(&path, Some(&last), SHORT_POLL_INTERVAL).next_event(),
        EngineFileEvent::LastGoodRestored(..)
    ));
    fs::write(&last, "truncated").expect("written");
    assert!(matches!(
        TestWatcher::start(&path, Some(&last), SHORT_POLL_INTERVAL).next_event(),
        EngineFileEvent::LastGoodInvalid(_)
    ));
}

#[test]
fn a_set_that_cannot_be_saved_is_active_all_the_same() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("engines.toml");
    fs::write(&path, file(1, 0..3)).expect("written");
    let watcher =
        TestWatcher::start(&path, Some(&dir.path().join("not-there/last.toml")), SHORT_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (1, 3));
    assert!(
        matches!(watcher.next_event(), EngineFileEvent::LastGoodNotSaved(why) if why.contains("not-there"))
    );
}

/// The save must be retried without a further change of the files and without waiting for the next poll.
#[test]
fn a_failed_save_is_retried_until_it_succeeds() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("engines.toml");
    let missing = dir.path().join("not-there");
    let last = missing.join("last.toml");
    fs::write(&path, file(1, 0..3)).expect("written");
    let watcher = TestWatcher::start(&path, Some(&last), LONG_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (1, 3));
    assert!(matches!(watcher.next_event(), EngineFileEvent::LastGoodNotSaved(_)));
    fs::create_dir(&missing).expect("made");
    let started = std::time::Instant::now();
    while !last.exists() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the set was never saved");
        std::thread::sleep(Duration::from_millis(20));
    }
    let (set, _) = read_last_good(&last, &topology()).expect("valid").expect("there");
    assert_eq!((set.version, set.engines.len()), (1, 3));
}

#[test]
fn a_set_that_removes_too_much_capacity_is_held_until_it_is_confirmed() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("engines.toml");
    fs::write(&path, file(1, 0..10)).expect("written");
    let watcher = TestWatcher::start(&path, None, SHORT_POLL_INTERVAL);
    assert_eq!(watcher.next_active_set(), (1, 10));
    replace_file(&path, &file(2, 0..4));
    assert!(matches!(watcher.next_event(), EngineFileEvent::Held(why, None) if why.starts_with("60%")));
    replace_file(&path, &file(1, 0..10));
    assert_eq!(watcher.next_event(), EngineFileEvent::FaultCleared);
    replace_file(&path, &file(3, 0..4).replacen('\n', "\nconfirmed = true\n", 1));
    assert_eq!(watcher.next_active_set(), (3, 4));
}
