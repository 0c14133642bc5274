use super::{KeysWatcher, POLL_INTERVAL};

const FIRST_KEY: &str = "1 0123456789abcdef0123456789abcdef\n";
const SECOND_KEY: &str = "2 fedcba9876543210fedcba9876543210\n";

#[test]
fn a_requested_read_does_not_wait_for_the_next_poll() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("keys");
    std::fs::write(&path, FIRST_KEY).expect("written");
    let (_, watcher) = KeysWatcher::start(&path).expect("valid keys");
    std::fs::write(&path, SECOND_KEY).expect("written");
    watcher.request_read();
    let update = watcher.updates.recv_timeout(POLL_INTERVAL / 2);
    assert!(update.expect("an update").is_ok());
}
