//! Memory use while a client does not read. The test has a binary of its own because it measures the memory of the process.

mod common;

use common::{Controller, Engines};

#[test]
fn a_client_that_stops_reading_delays_no_others_and_does_not_grow_memory() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut slow = controller.raw_client();
    // A gigabyte of rows, which the engine generates as they are read.
    slow.query("select * from t /*rows='1000000',row_bytes='1000'*/");
    while slow.read_message().0 != b'D' {}
    let before = resident_bytes();
    for _ in 0..200 {
        let mut other = controller.raw_client();
        other.query("select 1");
        assert_eq!(other.read_answer().0, "TDC");
    }
    let growth = resident_bytes().saturating_sub(before);
    assert!(
        growth < 64 << 20,
        "memory grew by {growth} bytes while the client did not read"
    );
    assert_eq!(controller.status_value("queries_held"), 1);
    // The client resumes reading and receives the remaining rows.
    let mut rows = 1;
    loop {
        match slow.read_message().0 {
            b'D' => rows += 1,
            b'Z' => break,
            _ => {}
        }
    }
    assert_eq!(rows, 1_000_000);
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < 64 << 20, "memory grew by {growth} bytes in total");
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("read /proc/self/statm");
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .expect("a number");
    pages * 4096
}
