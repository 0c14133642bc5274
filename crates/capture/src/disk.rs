//! What a capture is written to.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// A file, or a stand-in for one that is slow or full.
pub trait CaptureFile: Send {
    /// Writes bytes at the end.
    ///
    /// # Errors
    /// If not all bytes could be written; a part may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to a length.
    ///
    /// # Errors
    /// If the file could not be cut.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was written durable.
    ///
    /// # Errors
    /// If that failed.
    fn sync(&mut self) -> io::Result<()>;
}

impl CaptureFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::End(0)).map(|_| ())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Creates the files of a capture.
pub type FileFactory = Box<dyn FnMut(&Path) -> io::Result<Box<dyn CaptureFile>> + Send>;

/// A [`FileFactory`] of ordinary files.
pub(crate) fn disk_file_factory() -> FileFactory {
    Box::new(|path| Ok(Box::new(File::create(path)?)))
}
