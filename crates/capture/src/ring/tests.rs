use super::{Ring, RingLimits, RingWriter};
use crate::writer_thread::WriterStatus;
use std::io;
use std::sync::atomic::Ordering;

#[test]
fn a_file_counts_as_written_if_only_the_sync_of_its_directory_fails() {
    let folder = tempfile::tempdir().expect("a folder");
    let writer = RingWriter {
        ring: Ring::new(RingLimits::default()),
        path: folder.path().join("ring.wfcap"),
        max_total_bytes: 1 << 20,
        sync_directory: |_| Err(io::ErrorKind::StorageFull.into()),
    };
    let status = WriterStatus::default();
    let file = folder.path().join("ring-1.wfcap");
    writer.write_file(&file, &status);
    assert!(file.exists());
    assert_eq!(status.ring_files.load(Ordering::Relaxed), 1);
    assert!(status.written_bytes.load(Ordering::Relaxed) > 0);
    assert!(
        status.is_failing.load(Ordering::Relaxed),
        "the failure is told"
    );
}
