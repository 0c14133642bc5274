//! What an emulated executor records of the requests that it gets.

use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use wheelfield_soak::executor::Executor;
use wheelfield_soak::ledger::{Ledger, RequestId};

const STALL: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_secs(20);

fn send(stream: &mut TcpStream, id: RequestId) {
    let request = format!("REQ {id} limit=900 0\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
}

/// A request counts from when it arrived, also if the executor's thread reads it late.
#[test]
fn a_receipt_has_the_time_of_arrival_if_the_executor_reads_late() {
    let ledger = Ledger::new(1);
    let address = "127.0.0.1:0".parse().expect("an address");
    let executor = Executor::start(0, address, ledger.clone()).expect("started");
    let mut stream = TcpStream::connect(executor.address).expect("connected");
    let (first, second) = (RequestId::new(0, 1), RequestId::new(0, 2));
    let records = ledger.records();
    // The executor's thread can't record the first request, and doesn't read the second meanwhile.
    send(&mut stream, first);
    thread::sleep(STALL);
    send(&mut stream, second);
    let sent_at = ledger.now();
    thread::sleep(STALL);
    let released_at = ledger.now();
    drop(records);
    let deadline = Instant::now() + PATIENCE;
    while ledger.records().receipts.len() < 2 {
        assert!(Instant::now() < deadline, "both requests are recorded");
        thread::sleep(Duration::from_millis(1));
    }
    let receipts = ledger.records().receipts.clone();
    assert_eq!((receipts[0].id, receipts[1].id), (first, second));
    assert!(
        receipts[1].at < released_at,
        "{receipts:?}, sent {sent_at}, released {released_at}"
    );
}
