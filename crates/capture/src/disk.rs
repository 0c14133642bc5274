//! What a capture is written to.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// A file, or a stand-in for one that is slow or full.
pub trait Disk: Send {
    /// Writes bytes at the end.
    ///
    /// # Errors
    /// If not all bytes could be written; a part may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to a length.
    ///
    /// # Errors
    /// If the file could not be cut.
    fn cut(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was written durable.
    ///
    /// # Errors
    /// If that failed.
    fn sync(&mut self) -> io::Result<()>;
}

impl Disk for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::End(0)).map(|_| ())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Creates the files of a capture.
pub type Maker = Box<dyn FnMut(&Path) -> io::Result<Box<dyn Disk>> + Send>;

/// A [`Maker`] of ordinary files.
pub(crate) fn file_maker() -> Maker {
    Box::new(|path| Ok(Box::new(File::create(path)?)))
}
