//! Executors that send without end, and what other connections get meanwhile. Checked on the built program with real connections.

mod rig;
use rig::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Number of notes in one write, which is larger than a read of the program.
const NOTES_PER_WRITE: usize = 4_096;

/// Regression test: as long as an executor sent faster than the program read, no other connection was served.
#[test]
fn an_executor_that_sends_notes_without_end_delays_no_other_client() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let config = config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    );
    let program = Program::start(&config);
    let mut client = Client::connect(program.listen);
    client.send(&query_request_with_timeout("look", 1, 30_000));
    let mut connection = executor.accept();
    assert_eq!(connection.expect_request().id, request_id(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let sender_is_over = is_over.clone();
    let sender = std::thread::spawn(move || {
        let notes =
            format!("{} INFO tell=pct,v=0.5 0\r\n\r\n", request_id(1)).repeat(NOTES_PER_WRITE);
        let started = Instant::now();
        while !sender_is_over.load(Ordering::SeqCst) && started.elapsed() < TIMEOUT {
            connection.send(&notes);
        }
        connection.send(&hit_response(&request_id(1), "e1"));
        connection
    });
    let mut other = Client::connect(program.listen);
    for n in 2..12 {
        assert_eq!(program.health(), Some(200));
        other.send_query("look", n);
        if n == 2 {
            // It goes on a connection of its own.
            let mut second = executor.accept();
            second.serve_query(n, "e1");
            std::thread::spawn(move || {
                for n in 3..12 {
                    second.serve_query(n, "e1");
                }
            });
        }
        assert_eq!(other.read_status(), 200);
    }
    assert!(!sender.is_finished(), "the executor has stopped sending");
    is_over.store(true, Ordering::SeqCst);
    let _connection = sender.join().expect("no panic");
    assert_eq!(client.read_status(), 200);
}
