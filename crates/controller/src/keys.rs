//! The file of the gossip's keys, read now and then by a thread, as a disk may hang.

use anyhow::{anyhow, Context, Result};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;
use wheelfield_gossip::authentication::Keys;

/// The file is read so often.
const EVERY: Duration = Duration::from_secs(5);
/// Bytes of it at most.
const LONGEST: u64 = 64 << 10;

/// What reading the file came to.
pub(crate) type News = std::result::Result<Keys, String>;

/// Watches the file until it is dropped.
pub(crate) struct Watched {
    pub news: Receiver<News>,
    _end: Sender<()>,
}

fn read(path: &Path) -> Result<(String, Keys)> {
    use std::io::Read;
    let mut text = String::new();
    let file = std::fs::File::open(path).with_context(|| format!("cannot read {}", path.display()))?;
    file.take(LONGEST).read_to_string(&mut text)?;
    let keys = Keys::read(&text).map_err(|fault| anyhow!("{}: {fault}", path.display()))?;
    Ok((text, keys))
}

/// Reads the keys now and then, and tells of those that changed.
fn watch(path: &Path, mut last: String, ended: &Receiver<()>, tell: &SyncSender<News>) {
    let mut fault = String::new();
    while let Err(RecvTimeoutError::Timeout) = ended.recv_timeout(EVERY) {
        let news = match read(path) {
            Ok((text, keys)) if text != last => {
                (last, fault) = (text, String::new());
                Ok(keys)
            }
            Ok(_) => continue,
            Err(e) if format!("{e:#}") == fault => continue,
            Err(e) => {
                fault = format!("{e:#}");
                Err(fault.clone())
            }
        };
        if tell.send(news).is_err() {
            return;
        }
    }
}

/// The keys as they are, and a thread that watches them.
///
/// # Errors
/// If they can't be read, or no thread can be had.
pub(crate) fn open(path: &Path) -> Result<(Keys, Watched)> {
    let (text, keys) = read(path)?;
    let (tell, news) = sync_channel(4);
    let (end, ended) = channel();
    let path: PathBuf = path.to_path_buf();
    std::thread::Builder::new().name("keys".into()).spawn(move || watch(&path, text, &ended, &tell))?;
    Ok((keys, Watched { news, _end: end }))
}
