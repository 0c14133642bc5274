//! Watcher of the gossip key file. A separate thread polls the file, because a read from a disk may block.

use crate::error::{error_chain, ControllerError};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;
use wheelfield_gossip::authentication::Keys;

/// Interval between two reads of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of bytes read from the file.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// Maximum number of updates in the channel; the thread blocks while the channel is full.
const MAX_PENDING_UPDATES: usize = 4;

/// Changed keys, or the error that prevents reading them.
pub(crate) type KeysUpdate = Result<Keys, String>;

/// Watches the key file until the watcher is dropped.
pub(crate) struct KeysWatcher {
    /// Receives each change of the file, and each error that differs from the one before.
    pub updates: Receiver<KeysUpdate>,
    _stop: Sender<()>,
}

impl KeysWatcher {
    /// Reads the keys and starts a thread that watches the file.
    ///
    /// # Errors
    /// Returns an error if the keys cannot be read or the thread cannot be started.
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
    let keys = Keys::parse(&text).map_err(|error| ControllerError::GossipKeys {
        path: path.to_path_buf(),
        error,
    })?;
    Ok((text, keys))
}

/// Polls the file and sends the keys or the error whenever it differs from the last one, until `stopped` is disconnected.
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
