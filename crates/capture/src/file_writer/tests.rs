use super::{FileWriter, Segment};
use crate::disk::{CaptureFile, FileFactory};
use crate::format::BlockHeader;
use crate::recorder::Limits;
use crate::writer_thread::WriterStatus;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wheelfield::interface::Micros;

/// A file that accepts all bytes, and whose flush to stable storage fails while the flag is set.
struct UnsyncedFile(Arc<AtomicBool>);

impl CaptureFile for UnsyncedFile {
    fn append(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.0.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

#[test]
fn a_failed_flush_is_reported_until_one_succeeds() {
    let fails = Arc::new(AtomicBool::new(true));
    let for_files = fails.clone();
    let mut files: FileFactory = Box::new(move |_| Ok(Box::new(UnsyncedFile(for_files.clone()))));
    let limits = Limits {
        sync_interval: Micros(1),
        ..Limits::default()
    };
    let first = Segment::create(PathBuf::from("x.wfcap"), &mut files).expect("created");
    let mut writer = FileWriter::new(first, files, limits);
    let status = WriterStatus::default();
    let is_failing = || status.is_failing.load(Ordering::Relaxed);
    let mut write = || writer.write_block(BlockHeader::default(), b"records", &status);
    write();
    assert!(!is_failing());
    writer.sync(&status);
    assert!(is_failing());
    writer.write_block(BlockHeader::default(), b"records", &status);
    assert!(is_failing(), "written, and not on the disk yet");
    fails.store(false, Ordering::SeqCst);
    writer.sync(&status);
    writer.write_block(BlockHeader::default(), b"records", &status);
    assert!(!is_failing());
}
