//! The storage that capture files are written to.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// An append-only output file. Tests implement it to simulate slow or full disks.
pub trait CaptureFile: Send {
    /// Appends `bytes` to the file.
    ///
    /// # Errors
    /// Returns an error if not all bytes were written. Some of them may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// Returns an error if the file cannot be truncated.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Flushes the written data to stable storage.
    ///
    /// # Errors
    /// Returns an error if the flush fails.
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

/// Returns a [`FileFactory`] that creates ordinary files.
pub(crate) fn disk_file_factory() -> FileFactory {
    Box::new(|path| Ok(Box::new(File::create(path)?)))
}
