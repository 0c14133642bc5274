//! Watcher of the gossip key file. A separate thread polls the file, because a read from a disk may block.

#[cfg(test)]
mod tests;

use crate::error::{error_chain, ControllerError};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
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
    /// Requests a read; the thread stops once this is dropped.
    read_requests: SyncSender<()>,
}

impl KeysWatcher {
    /// Reads the keys and starts a thread that watches the file.
    ///
    /// # Errors
    /// Returns an error if the keys cannot be read or the thread cannot be started.
    pub fn start(path: &Path) -> Result<(Keys, KeysWatcher), ControllerError> {
        let (text, keys) = read_keys(path)?;
        let (sender, updates) = sync_channel(MAX_PENDING_UPDATES);
        let (read_requests, requested) = sync_channel(1);
        let path: PathBuf = path.to_path_buf();
        let watch = move || watch_file(&path, text, &requested, &sender);
        std::thread::Builder::new()
            .name("keys".into())
            .spawn(watch)?;
        Ok((
            keys,
            KeysWatcher {
                updates,
                read_requests,
            },
        ))
    }

    /// Requests that the file is read now.
    pub fn request_read(&self) {
        // A full channel holds such a request already.
        let _ = self.read_requests.try_send(());
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

/// Reads the file at intervals and on request, and sends the keys or the error whenever it differs from the last one, until
/// `requested` is disconnected.
fn watch_file(
    path: &Path,
    mut last_text: String,
    requested: &Receiver<()>,
    updates: &SyncSender<KeysUpdate>,
) {
    let mut last_error = String::new();
    while requested.recv_timeout(POLL_INTERVAL) != Err(RecvTimeoutError::Disconnected) {
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
