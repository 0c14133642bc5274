//! The memory that the requests of clients take together.

mod common;
use common::*;
use wheelfield_sans_io::{ConnId, IoEvent, Protocol};

/// The memory limit in the configuration of the tests, in bytes.
const MEMORY_LIMIT_BYTES: usize = 32 << 20;
/// A buffer that grows has up to this many times the capacity that its content needs.
const MAX_GROWTH: usize = 2;

/// A controller whose list of this number of executors is confirmed.
fn harness(executors: u8) -> Harness {
    let entries = (1..=executors).map(|n| executor_entry(&format!("e{n}"), n, "ready"));
    let mut harness = Harness::with_config(&config(entries.collect(), 1_024));
    harness.confirmed_executors = Some(executors);
    harness
}

/// A request whose statement has this length.
fn large_request(n: u64, length: usize) -> String {
    large_request_with_timeout(n, length, 9_000)
}

fn large_request_with_timeout(n: u64, length: usize, timeout_ms: u64) -> String {
    let statement = format!("SELECT '{}'", "x".repeat(length - 9));
    format!(
        "POST /rpc/look HTTP/1.1\r\nX-Request-Id: {}\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {length}\r\n\r\n{statement}",
        request_id(n)
    )
}

/// Regression test: clients that never complete a large request had the process pass its memory limit.
#[test]
fn incomplete_large_requests_do_not_pass_the_memory_limit() {
    let mut harness = harness(1);
    let incomplete = &large_request(1, 65_500)[..65_000];
    let clients: Vec<ConnId> = (0..320).map(|_| harness.connect_client()).collect();
    let taken_of: Vec<usize> = clients
        .iter()
        .map(|client| harness.deliver(*client, incomplete.as_bytes()))
        .collect();
    let buffered: usize = taken_of.iter().sum();
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
    let taken = harness.deliver(small, request.as_bytes());
    assert!(taken < request.len(), "{taken} bytes");
    harness.resumed.clear();
    harness.handle_io(IoEvent::ReadClosed(clients[0]));
    harness.advance(100_000);
    assert_eq!(harness.resumed, [small]);
    harness.deliver(small, &request.as_bytes()[taken..]);
    let (_, written) = harness.take_request().expect("forwarded");
    assert!(written.starts_with(&format!("REQ {} ", request_id(3))));
    // The others are rejected in time: who waited for memory times out, and who had some may have been refused for them.
    harness.advance(2_100_000);
    for (client, taken) in clients.iter().zip(&taken_of).skip(1) {
        let had_memory = *taken == incomplete.len();
        let answer = status(&harness.take_written(*client));
        assert!(answer == 408 || (had_memory && answer == 503), "{answer}");
    }
}

/// Regression test: while incomplete requests held the memory for large ones, a large request was answered only when they timed out.
#[test]
fn a_complete_large_request_is_forwarded_in_time_while_incomplete_ones_hold_the_memory() {
    let mut harness = harness(1);
    let incomplete = &large_request(1, 65_500)[..20_000];
    for _ in 0..320 {
        let client = harness.connect_client();
        harness.deliver(client, incomplete.as_bytes());
    }
    let request = large_request_with_timeout(2, 20_000, 800);
    let client = harness.connect_client();
    let taken = harness.deliver(client, request.as_bytes());
    assert!(taken < request.len(), "{taken} bytes");
    harness.resumed.clear();
    while !harness.resumed.contains(&client) {
        harness.advance(10_000);
    }
    harness.deliver(client, &request.as_bytes()[taken..]);
    harness.complete_connects();
    let (_, written) = harness.take_request().expect("forwarded");
    assert!(
        written.starts_with(&format!("REQ {} ", request_id(2))),
        "{written}"
    );
}

/// Regression test: a request that waited for memory was answered only after the time of its client.
#[test]
fn a_request_that_gets_no_memory_is_refused_before_its_client_stops_waiting() {
    let mut harness = harness(40);
    // The executors never answer.
    for n in 1..=320 {
        let client = harness.connect_client();
        harness.deliver(client, large_request(n, 60_000).as_bytes());
        harness.complete_connects();
    }
    let client = harness.connect_client();
    let request = large_request_with_timeout(400, 20_000, 800);
    let taken = harness.deliver(client, request.as_bytes());
    assert!(taken < request.len(), "{taken} bytes");
    harness.advance(800_000);
    assert_eq!(status(&harness.take_written(client)), 503);
}

/// A large request takes memory until it is answered, as its statement is kept until then.
#[test]
fn large_requests_in_progress_are_bounded_by_the_memory_limit() {
    let mut harness = harness(40);
    let mut taken_bytes = 0;
    let mut complete = 0;
    for n in 1..=320 {
        let client = harness.connect_client();
        let request = large_request(n, 60_000);
        let taken = harness.deliver(client, request.as_bytes());
        harness.complete_connects();
        // An answered request holds no memory any more.
        if harness.take_written(client).is_empty() {
            taken_bytes += taken;
            complete += usize::from(taken == request.len());
        }
    }
    assert!(
        complete > 0 && taken_bytes * MAX_GROWTH < MEMORY_LIMIT_BYTES,
        "{complete} complete, {taken_bytes} bytes"
    );
}

/// Regression test: the rest of a large request that was pipelined behind another was never read.
#[test]
fn a_large_request_behind_another_is_received_once_that_is_answered() {
    for is_read_late in [false, true] {
        let mut harness = harness(1);
        let (client, executor, _) = harness.forward_query("look", &request_id(1));
        let request = large_request(2, 60_000);
        let taken = harness.deliver(client, request.as_bytes());
        assert!(taken < request.len(), "{taken} bytes");
        harness.resumed.clear();
        if is_read_late {
            harness.unread.insert(client);
        }
        let response = format!("{} HIT pages=1 0\r\n\r\n", request_id(1));
        harness.receive(executor, &response);
        if is_read_late {
            harness.unread.clear();
            harness.write_output(client);
        }
        harness.advance(0);
        assert!(harness.resumed.contains(&client));
        harness.deliver(client, &request.as_bytes()[taken..]);
        let (_, written) = harness.take_request().expect("forwarded");
        assert!(written.starts_with(&format!("REQ {} ", request_id(2))));
    }
}

/// The pages of a result of maximum length, and their number.
const PAGE: &str = "0123456789\t0123456789\t0123456789\n";
const PAGES: usize = 8;

/// Answers everything that was sent to executors with results of several pages, until nothing more is asked for.
fn serve_large_results(harness: &mut Harness) {
    let page = PAGE.repeat(6_000 / PAGE.len());
    loop {
        let executors: Vec<ConnId> = harness.addresses.keys().copied().collect();
        let mut has_answered = false;
        for executor in executors {
            for line in harness.take_written(executor).lines() {
                let words: Vec<&str> = line.split(' ').collect();
                let response = match words[..] {
                    ["REQ", id, ..] => format!("{id} HIT pages={PAGES}"),
                    ["FETCH", id, number] => format!("{id} PART page={number}"),
                    _ => continue,
                };
                let response = format!("{response} {}\r\n{page}\r\n", page.len());
                harness.receive(executor, &response);
                has_answered = true;
            }
        }
        if !has_answered {
            return;
        }
    }
}

/// Regression test: responses that wait for clients that do not read were bounded each, and not all together.
#[test]
fn results_that_nobody_reads_stay_within_the_share_of_the_memory_limit() {
    let mut harness = harness(40);
    let clients: Vec<ConnId> = (0..320).map(|_| harness.connect_client()).collect();
    harness.unread.extend(&clients);
    for (client, n) in clients.iter().zip(1..) {
        harness.receive(*client, &query_request("look", &request_id(n), ""));
        harness.complete_connects();
    }
    serve_large_results(&mut harness);
    let waiting: Vec<usize> = clients
        .iter()
        .map(|client| harness.platform.output(*client).len())
        .collect();
    let waiting_bytes: usize = waiting.iter().sum();
    let results = waiting.iter().filter(|length| **length > 6_000).count();
    assert!(
        results > 0 && waiting_bytes <= MEMORY_LIMIT_BYTES / 3,
        "{results} results, {waiting_bytes} bytes"
    );
    // A client that reads gets its result soon nevertheless.
    let reader = harness.connect_client();
    harness.receive(reader, &query_request("look", &request_id(400), ""));
    for _ in 0..10 {
        harness.complete_connects();
        serve_large_results(&mut harness);
        harness.advance(100_000);
    }
    let response = harness.take_written(reader);
    assert_eq!(status(&response), 200, "{response:.100}");
    assert!(response.len() > PAGES * 5_000, "{} bytes", response.len());
}
