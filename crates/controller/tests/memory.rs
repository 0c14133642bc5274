//! What a slow reader costs. A process of its own, as it looks at the memory of all.

mod common;

use common::{Controller, Engines};

#[test]
fn a_reader_that_stops_reading_holds_up_nobody_and_no_memory() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut slow = controller.raw_client();
    // A gigabyte of rows, made as they are read.
    slow.query("select * from t /*rows='1000000',row_bytes='1000'*/");
    while slow.read_message().0 != b'D' {}
    let before = resident();
    for _ in 0..200 {
        let mut other = controller.raw_client();
        other.query("select 1");
        assert_eq!(other.read_answer().0, "TDC");
    }
    let grown = resident().saturating_sub(before);
    assert!(grown < 64 << 20, "{grown} bytes more while nobody read");
    assert_eq!(controller.status_value("queries_held"), 1);
    // It reads on, and the rest comes.
    let mut rows = 1;
    loop {
        match slow.read_message().0 {
            b'D' => rows += 1,
            b'Z' => break,
            _ => {}
        }
    }
    assert_eq!(rows, 1_000_000);
    let grown = resident().saturating_sub(before);
    assert!(grown < 64 << 20, "{grown} bytes more in all");
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .expect("a number");
    pages * 4096
}
