//! The memory that the requests of clients take together.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, IoEvent, Protocol};

/// The memory limit in the configuration of the tests, in bytes.
const MEMORY_LIMIT_BYTES: usize = 32 << 20;
/// A buffer that grows has up to this many times the capacity that its content needs.
const MAX_GROWTH: usize = 2;

fn harness() -> Harness {
    let mut harness = Harness::with_config(&config(vec![executor_entry("e1", 1, "ready")], 1_024));
    harness.confirmed_executors = Some(1);
    harness
}

/// A request whose statement has this length.
fn large_request(n: u64, length: usize) -> String {
    let statement = format!("SELECT '{}'", "x".repeat(length - 9));
    format!(
        "POST /rpc/look HTTP/1.1\r\nX-Request-Id: {}\r\nX-Timeout-Ms: 9000\r\nContent-Length: {length}\r\n\r\n{statement}",
        request_id(n)
    )
}

/// Delivers bytes to the controller as long as it has capacity for them, and returns how many it has taken.
fn deliver(harness: &mut Harness, client: ConnId, bytes: &[u8]) -> usize {
    let mut taken = 0;
    loop {
        let capacity = harness.platform.read_capacity(client);
        let end = bytes.len().min(taken + capacity);
        if taken == end {
            return taken;
        }
        harness.receive_bytes(client, &bytes[taken..end]);
        taken = end;
    }
}

/// Regression test: clients that never complete a large request had the process pass its memory limit.
#[test]
fn incomplete_large_requests_do_not_pass_the_memory_limit() {
    let mut harness = harness();
    let incomplete = &large_request(1, 65_500)[..65_000];
    let mut buffered = 0;
    let clients: Vec<ConnId> = (0..320).map(|_| harness.connect_client()).collect();
    for client in &clients {
        buffered += deliver(&mut harness, *client, incomplete.as_bytes());
    }
    assert!(
        buffered * MAX_GROWTH < MEMORY_LIMIT_BYTES,
        "{buffered} bytes"
    );
    // Small requests are served, and so is a large one that waited, once others have been rejected.
    let (small, executor, _) = harness.forward_query("look", &request_id(2));
    harness.receive(
        executor,
        &format!("{} HIT pages=1 0\r\n\r\n", request_id(2)),
    );
    assert_eq!(status(&harness.take_written(small)), 200);
    let request = large_request(3, 60_000);
    let taken = deliver(&mut harness, small, request.as_bytes());
    assert!(taken < request.len(), "{taken} bytes");
    harness.resumed.clear();
    harness.handle_io(IoEvent::ReadClosed(clients[0]));
    harness.advance(100_000);
    assert_eq!(harness.resumed, [small]);
    deliver(&mut harness, small, &request.as_bytes()[taken..]);
    let (_, written) = harness.take_request().expect("forwarded");
    assert!(written.starts_with(&format!("REQ {} ", request_id(3))));
    // The others are rejected in time.
    harness.advance(2_100_000);
    for client in &clients[1..] {
        assert_eq!(status(&harness.take_written(*client)), 408);
    }
}

/// A large request has its permit until it is answered, as its statement takes memory until then.
#[test]
fn large_requests_in_progress_are_bounded_by_the_memory_limit() {
    let mut harness = harness();
    let mut taken_bytes = 0;
    let mut complete = 0;
    for n in 1..=320 {
        let client = harness.connect_client();
        let request = large_request(n, 60_000);
        let taken = deliver(&mut harness, client, request.as_bytes());
        taken_bytes += taken;
        complete += usize::from(taken == request.len());
        harness.complete_connects();
    }
    assert!(
        complete > 0 && taken_bytes * MAX_GROWTH < MEMORY_LIMIT_BYTES,
        "{complete} complete, {taken_bytes} bytes"
    );
}
