//! Watches the file of the gossip keys. A thread of its own reads it from time to time, as a disk may hang.

use crate::error::{error_chain, ControllerError};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;
use wheelfield_gossip::authentication::Keys;

/// Time between two reads of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Bytes read of the file, at most.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// Updates that wait to be received, at most; with more, the thread waits.
const MAX_PENDING_UPDATES: usize = 4;

/// Changed keys, or why they can't be read.
pub(crate) type KeysUpdate = Result<Keys, String>;

/// Watches the file until it is dropped.
pub(crate) struct KeysWatcher {
    /// Each change of the file, and each new reason why it can't be read.
    pub updates: Receiver<KeysUpdate>,
    _stop: Sender<()>,
}

impl KeysWatcher {
    /// Reads the keys and starts a thread that watches the file.
    ///
    /// # Errors
    /// If they can't be read, or the thread can't be started.
    pub fn start(path: &Path) -> Result<(Keys, KeysWatcher), ControllerError> {
        let (text, keys) = read_keys(path)?;
        let (sender, updates) = sync_channel(MAX_PENDING_UPDATES);
        let (stop, stopped) = channel();
        let path: PathBuf = path.to_path_buf();
        let watch = move || watch_file(&path, text, &stopped, &sender);
        std::thread::Builder::new()
            .name("keys".into())
            .spawn(watch)?;
        Ok((
            keys,
            KeysWatcher {
                updates,
                _stop: stop,
            },
        ))
    }
}

fn read_keys(path: &Path) -> Result<(String, Keys), ControllerError> {
    use std::io::Read;
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(ControllerError::read_file(path))?;
    file.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    let keys = Keys::parse(&text).map_err(|fault| ControllerError::GossipKeys {
        path: path.to_path_buf(),
        fault,
    })?;
    Ok((text, keys))
}

/// Reads the file from time to time and sends what differs from the last read, until stopped.
fn watch_file(
    path: &Path,
    mut last_text: String,
    stopped: &Receiver<()>,
    updates: &SyncSender<KeysUpdate>,
) {
    let mut last_error = String::new();
    while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(POLL_INTERVAL) {
        let update = match read_keys(path).map_err(|error| error_chain(&error)) {
            Ok((text, keys)) if text != last_text => {
                (last_text, last_error) = (text, String::new());
                Ok(keys)
            }
            Ok(_) => continue,
            Err(error) if error == last_error => continue,
            Err(error) => {
                last_error.clone_from(&error);
                Err(error)
            }
        };
        if updates.send(update).is_err() {
            return;
        }
    }
}
