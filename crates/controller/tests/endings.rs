//! Race conditions when a client, a connection, an executor or the controller goes away while queries are in progress. Each test
//! forces the unfavourable order of events every time, with the built program and real sockets.

// Tests that suspend the program need a name service that answers. Without it, a process that was suspended, or stalled because the
// machine is busy, holds new requests for a second.
mod rig;
use rig::*;
use std::time::Duration;

const DISCONNECTS: [Disconnect; 3] = [
    Disconnect::Close,
    Disconnect::Reset,
    Disconnect::ShutdownWrite,
];

/// Asserts that the next request on this executor connection is one of a new client, so that nothing was sent for the client that
/// disconnected before.
fn assert_nothing_was_sent_before(program: &Program, conn: &mut ExecutorConnection, case: &str) {
    let mut client = Client::connect(program.listen);
    client.send_query("look", 999);
    let request = conn.expect_request();
    assert_eq!(
        request.id,
        request_id(999),
        "sent for a client that had disconnected: {case}"
    );
    conn.send(&hit_response(&request.id, "e1"));
    assert_eq!(client.read_status(), 200, "{case}");
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_before_it_was_accepted() {
    for how in DISCONNECTS {
        let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
        let program = Program::start(&config(
            unused_address(),
            &[("e1", executor.address)],
            name_service.address,
        ));
        // With an idle connection to the executor, a request is written to it at once.
        let mut before = Client::connect(program.listen);
        before.send_query("look", 1);
        let mut conn = executor.accept();
        let request = conn.expect_request();
        conn.send(&hit_response(&request.id, "e1"));
        assert_eq!(before.read_status(), 200);
        program.suspend();
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send_query("look", 2);
        let _half_closed = disconnecting.disconnect(how);
        program.resume();
        assert_nothing_was_sent_before(&program, &mut conn, &format!("{how:?}"));
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_a_connect_in_either_order_of_events() {
    for (how, disconnect_first) in DISCONNECTS
        .into_iter()
        .flat_map(|how| [(how, true), (how, false)])
    {
        let name_service = AutomaticNameService::of_configuration();
        let (executor, backlog) = Executor::with_full_backlog();
        let program = Program::start(&config(
            unused_address(),
            &[("e1", executor.address)],
            name_service.address,
        ));
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send_query("look", 1);
        program.wait_for_connect(executor.address);
        program.suspend();
        let (mut conn, _half_closed);
        if disconnect_first {
            _half_closed = disconnecting.disconnect(how);
            conn = backlog.free_and_accept(&executor);
        } else {
            conn = backlog.free_and_accept(&executor);
            _half_closed = disconnecting.disconnect(how);
        }
        program.resume();
        assert_nothing_was_sent_before(
            &program,
            &mut conn,
            &format!("{how:?}, disconnect first: {disconnect_first}"),
        );
    }
}

/// One turn of the event loop has more events than it reads at a time, and the disconnect is the last of them.
#[test]
fn a_disconnect_behind_many_other_events_is_processed_before_anything_is_sent() {
    let name_service = AutomaticNameService::of_configuration();
    let (executor, backlog) = Executor::with_full_backlog();
    let mut config = config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    );
    config["limits"]["sockets"] = 1_024.into();
    let program = Program::start(&config);
    let mut other_clients: Vec<Client> =
        (0..400).map(|_| Client::connect(program.listen)).collect();
    other_clients
        .iter_mut()
        .for_each(|c| c.send("GET /health HTTP/1.1\r\n\r\n"));
    other_clients
        .iter_mut()
        .for_each(|c| assert_eq!(c.read_status(), 200));
    let mut disconnecting = Client::connect(program.listen);
    disconnecting.send_query("look", 1);
    program.wait_for_connect(executor.address);
    program.suspend();
    let mut conn = backlog.free_and_accept(&executor);
    other_clients
        .iter_mut()
        .for_each(|c| c.send("GET /health HTTP/1.1\r\n\r\n"));
    let _ = disconnecting.disconnect(Disconnect::Close);
    program.resume();
    other_clients
        .iter_mut()
        .for_each(|c| assert_eq!(c.read_status(), 200));
    assert_nothing_was_sent_before(&program, &mut conn, "after the events of 400 other clients");
}

/// A process that resumes after a suspension processes I/O events before its timers. Here, a timer would dispatch the query of a
/// client that has disconnected in the meantime.
#[test]
fn a_disconnect_is_processed_before_timers_that_became_due_during_a_suspension() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let mut config = config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    );
    config["settings"]["grades"][1]["in_order"] = true.into();
    config["settings"]["safety"]["order_pause_us"] = 600_000.into();
    let program = Program::start(&config);
    // Two executor connections are idle; the second one was used last.
    let mut pairs: Vec<(Client, ExecutorConnection)> = Vec::new();
    for n in 1..=2 {
        let mut client = Client::connect(program.listen);
        client.send_query("look", n);
        let mut conn = executor.accept();
        assert_eq!(conn.expect_request().id, request_id(n));
        pairs.push((client, conn));
    }
    for (n, (client, conn)) in pairs.iter_mut().enumerate() {
        conn.send(&hit_response(&request_id(n as u64 + 1), "e1"));
        assert_eq!(client.read_status(), 200);
    }
    let (_, mut second) = pairs.remove(1);
    let (_, mut first) = pairs.remove(0);
    let request_with_key =
        |n| query_request("load", n, "SELECT 1").replace("X-Timeout", "X-Object: k\r\nX-Timeout");
    let mut first_of_key = Client::connect(program.listen);
    first_of_key.send(&request_with_key(3));
    assert_eq!(second.expect_request().id, request_id(3));
    let mut disconnecting = Client::connect(program.listen);
    disconnecting.send(&request_with_key(4));
    assert_eq!(
        program.health(),
        Some(200),
        "it was read before this request"
    );
    // The first query may still be running, so the next query of the key waits for a timer.
    second.reset();
    assert_eq!(first_of_key.read_status(), 500);
    program.suspend();
    let _ = disconnecting.disconnect(Disconnect::Close);
    // The program must see that the timer is due when it resumes.
    std::thread::sleep(Duration::from_millis(900));
    program.resume();
    assert_nothing_was_sent_before(&program, &mut first, "when the timer of its key was due");
}

/// The client has sent more data than the program reads during a query, so that the end of the stream comes after unread bytes.
#[test]
fn a_disconnect_behind_unread_bytes_is_detected() {
    for how in DISCONNECTS {
        let name_service = AutomaticNameService::of_configuration();
        let (executor, backlog) = Executor::with_full_backlog();
        let program = Program::start(&config(
            unused_address(),
            &[("e1", executor.address)],
            name_service.address,
        ));
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send_query("look", 1);
        disconnecting.send(&"x".repeat(30_000));
        program.wait_for_connect(executor.address);
        let _half_closed = disconnecting.disconnect(how);
        let mut conn = backlog.free_and_accept(&executor);
        assert_nothing_was_sent_before(&program, &mut conn, &format!("{how:?}"));
    }
}

/// The listener closes 0.7 s after the signal to stop. Clients whose connections the kernel has accepted by then must be answered.
#[test]
fn clients_in_the_accept_queue_as_the_listener_closes_are_answered() {
    for _ in 0..20 {
        let name_service = AutomaticNameService::of_configuration();
        let mut config = config(
            unused_address(),
            &[("e1", Executor::new().spawn_server("e1"))],
            name_service.address,
        );
        config["limits"]["sockets"] = 2_048.into();
        let mut program = Program::start(&config);
        program.signal(Signal::TERM);
        wait_until("the start of the shutdown", || {
            program.health() != Some(200)
        });
        program.suspend();
        let waiting: Vec<_> = (0..600)
            .map_while(|_| Client::try_connect(program.listen).ok())
            .collect();
        if waiting.len() < 600 {
            // This machine was too slow: the listener closed before the program was suspended.
            program.resume();
            continue;
        }
        let mut waiting = waiting;
        waiting
            .iter_mut()
            .for_each(|c| c.send("GET /health HTTP/1.1\r\n\r\n"));
        // The program must see that the time to stop listening has passed when it resumes.
        std::thread::sleep(Duration::from_millis(900));
        program.resume();
        let statuses: Vec<u16> = waiting.iter_mut().map(Client::read_status).collect();
        assert_eq!(
            statuses.iter().filter(|s| **s == 503).count(),
            600,
            "{statuses:?}"
        );
        assert_eq!(program.wait_for_exit().code(), Some(0));
        return;
    }
    panic!("this machine is too slow to suspend the program in time");
}

/// The signal to stop arrives as soon as a client can connect.
#[test]
fn a_signal_right_after_the_start_causes_a_graceful_shutdown() {
    for _ in 0..10 {
        let name_service = AutomaticNameService::of_configuration();
        let mut program = Program::spawn(&config(
            unused_address(),
            &[("e1", Executor::new().spawn_server("e1"))],
            name_service.address,
        ));
        let mut client = None;
        wait_until("the listener", || {
            client = Client::try_connect(program.listen).ok();
            client.is_some()
        });
        program.signal(Signal::TERM);
        let mut client = client.expect("connected");
        client.send_query("load", 1);
        assert_eq!(client.read_status(), 200);
        assert_eq!(program.wait_for_exit().code(), Some(0));
    }
}

/// The client reads nothing of a long response until the listener has closed.
#[test]
fn a_response_that_the_client_has_not_read_at_the_shutdown_is_completed() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let mut program = Program::start(&config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    ));
    let mut client = Client::with_small_receive_buffer(program.listen);
    client.send_query("load", 1);
    let mut conn = executor.accept();
    assert_eq!(conn.expect_request().id, request_id(1));
    // Eight pages of 5,900 bytes.
    let page = format!("{}\tb\tc\n", "a".repeat(55)).repeat(98);
    conn.send(&format!(
        "{} HIT pages=8,cost=1.0 {}\r\n{page}\r\n",
        request_id(1),
        page.len()
    ));
    for n in 1..8 {
        assert_eq!(
            conn.next_line(),
            Some(format!("FETCH {} {n}", request_id(1)))
        );
        conn.send(&format!(
            "{} PART page={n} {}\r\n{page}\r\n",
            request_id(1),
            page.len()
        ));
    }
    assert_eq!(conn.next_line(), Some(format!("END {}", request_id(1))));
    program.signal(Signal::TERM);
    program.wait_until_listener_closed();
    let (status, body) = client.read_response().expect("a complete response");
    assert_eq!((status, body.matches("\"b\"").count()), (200, 8 * 98));
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// The shutdown closes idle connections. A client that sends a request at that moment repeats it on a new connection.
#[test]
fn a_request_sent_as_the_shutdown_closes_its_connection_is_served_on_a_new_one() {
    for _ in 0..20 {
        let name_service = AutomaticNameService::of_configuration();
        let served = Executor::new().spawn_server("e1");
        let mut program = Program::start(&config(
            unused_address(),
            &[("e1", served)],
            name_service.address,
        ));
        let mut idle = Client::connect(program.listen);
        idle.send_query("load", 1);
        assert_eq!(idle.read_status(), 200);
        program.signal(Signal::TERM);
        assert_eq!(idle.read_status(), 0, "closed without a response");
        program.suspend();
        let Ok(mut reconnected) = Client::try_connect(program.listen) else {
            // This machine was too slow: the listener closed before the program was suspended.
            program.resume();
            assert_eq!(program.wait_for_exit().code(), Some(0));
            continue;
        };
        reconnected.send_query("load", 2);
        program.resume();
        assert_eq!(reconnected.read_status(), 200);
        assert_eq!(program.wait_for_exit().code(), Some(0));
        return;
    }
    panic!("no client was accepted after the idle connection had been closed");
}

#[test]
fn a_partial_request_as_the_listener_closes_is_awaited_and_served() {
    let name_service = AutomaticNameService::of_configuration();
    let mut program = Program::start(&config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    ));
    let mut slow = Client::connect(program.listen);
    let request = query_request("look", 1, "SELECT 1");
    program.signal(Signal::TERM);
    wait_until("the start of the shutdown", || {
        program.health() != Some(200)
    });
    slow.send(&request[..60]);
    program.wait_until_listener_closed();
    slow.send(&request[60..]);
    assert_eq!(slow.read_status(), 200);
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// Starts a program whose limit of 16 client connections is reached by idle clients that have been served.
fn start_with_idle_clients_at_limit(name_service: &AutomaticNameService) -> (Program, Vec<Client>) {
    let mut config = config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    );
    config["limits"]["sockets"] = 64.into();
    let program = Program::start(&config);
    let serve_client = |n| {
        let mut client = Client::connect(program.listen);
        client.send_query("load", n);
        assert_eq!(client.read_status(), 200);
        client
    };
    let idle_clients = (0..16).map(serve_client).collect();
    (program, idle_clients)
}

/// A new client connects at the limit, and the client that has been idle longest has just sent a request.
#[test]
fn a_client_that_has_just_sent_a_request_is_not_evicted_for_a_new_one() {
    let name_service = AutomaticNameService::of_configuration();
    let (program, mut idle_clients) = start_with_idle_clients_at_limit(&name_service);
    for round in 0..4 {
        program.suspend();
        let mut new = Client::connect(program.listen);
        new.send_query("look", 200 + round);
        // The client that has been idle longest sends a request at the same time.
        let mut oldest = idle_clients.remove(0);
        oldest.send_query("look", 100 + round);
        program.resume();
        assert_eq!(
            (oldest.read_status(), new.read_status()),
            (200, 200),
            "round {round}"
        );
        idle_clients.extend([oldest, new]);
        idle_clients.remove(0);
    }
}

/// Clients are closed if they send nothing for 2 s, either after connecting or within a request. Here, both kinds send their data while
/// the process is suspended, and their timeouts have passed when it resumes.
#[test]
fn a_request_that_arrived_during_a_suspension_is_served_after_the_timeout_of_its_client() {
    let name_service = AutomaticNameService::of_configuration();
    let program = Program::start(&config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    ));
    let (mut silent, mut slow) = (
        Client::connect(program.listen),
        Client::connect(program.listen),
    );
    let request = query_request("load", 2, "SELECT 1");
    slow.send(&request[..60]);
    assert_eq!(
        program.health(),
        Some(200),
        "they were read before this request"
    );
    program.suspend();
    // The program must see that both timeouts have passed when it resumes.
    std::thread::sleep(Duration::from_millis(2_300));
    silent.send_query("load", 1);
    slow.send(&request[60..]);
    program.resume();
    let responses = [silent.read_response(), slow.read_response()];
    assert!(
        responses
            .iter()
            .all(|response| response.as_ref().is_ok_and(|(status, _)| *status == 200)),
        "{responses:?}"
    );
}

/// The client that has been idle longest is evicted for a new client at the moment it sends a request. It repeats the request with
/// the same id on a new connection.
#[test]
fn a_request_sent_as_its_connection_is_evicted_is_served_when_repeated() {
    let name_service = AutomaticNameService::of_configuration();
    let (program, mut idle_clients) = start_with_idle_clients_at_limit(&name_service);
    let mut new = Client::connect(program.listen);
    new.send_query("load", 100);
    assert_eq!(new.read_status(), 200);
    // The program has closed this connection, and the client has not noticed it.
    let mut oldest = idle_clients.remove(0);
    oldest.send_query("load", 101);
    assert_eq!(oldest.read_status(), 0, "closed without a response");
    let mut reconnected = Client::connect(program.listen);
    reconnected.send_query("load", 101);
    assert_eq!(reconnected.read_status(), 200);
}

/// The limit is reached by clients that keep their connections open. Two new clients connect in one turn of the event loop and send
/// their requests later; another one connects as one of the old clients disconnects.
#[test]
fn new_clients_do_not_evict_each_other_and_a_disconnect_makes_an_eviction_unnecessary() {
    let name_service = AutomaticNameService::of_configuration();
    let (program, mut idle_clients) = start_with_idle_clients_at_limit(&name_service);
    // Longer than the idle timeout of clients.
    std::thread::sleep(Duration::from_millis(4_200));
    program.suspend();
    let (mut first, mut second) = (
        Client::connect(program.listen),
        Client::connect(program.listen),
    );
    program.resume();
    assert_eq!(
        (
            idle_clients.remove(0).read_status(),
            idle_clients.remove(0).read_status()
        ),
        (0, 0),
        "evicted for the new clients"
    );
    first.send_query("load", 100);
    second.send_query("load", 101);
    assert_eq!((first.read_status(), second.read_status()), (200, 200));
    program.suspend();
    drop(idle_clients.pop());
    let mut third = Client::connect(program.listen);
    program.resume();
    third.send_query("load", 102);
    assert_eq!(third.read_status(), 200);
    for (n, client) in idle_clients.iter_mut().enumerate() {
        client.send_query("load", 200 + n as u64);
        assert_eq!(client.read_status(), 200, "still connected");
    }
}

/// The connection of an invalid request is closed after the response. Data that the client still sends must not destroy the response,
/// as a reset would.
#[test]
fn the_response_to_an_invalid_request_is_delivered_despite_data_sent_after_it() {
    let name_service = AutomaticNameService::of_configuration();
    let program = Program::start(&config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    ));
    let valid = query_request("load", 1, "SELECT 1");
    let invalid = [
        (
            valid.replace("Content-Length: 8", "Content-Length: 60000000"),
            413,
        ),
        (
            valid.replace(
                "Content-Length: 8",
                "Content-Length: 8\r\nTransfer-Encoding: chunked",
            ),
            400,
        ),
        (
            valid.replace("Content-Length: 8", "Transfer-Encoding: chunked"),
            411,
        ),
        (valid.replace("HTTP/1.1", "nonsense"), 400),
        (valid.replace("X-Timeout-Ms", &"X".repeat(20_000)), 431),
    ];
    for (request, status) in &invalid {
        let mut client = Client::connect(program.listen);
        client.send(request);
        // A lot of data that looks like further requests.
        client.send(&valid.replace("SELECT 1", "SELECT 2").repeat(5_000));
        assert_eq!(
            client.read_status(),
            *status,
            "{}",
            &request[..request.len().min(200)]
        );
    }
    // None of these requests was forwarded, so the id is still unused.
    let mut client = Client::connect(program.listen);
    client.send(&valid);
    assert_eq!(client.read_status(), 200);
}

/// The ids of at-most-once queries that may have run are kept even when many idempotent queries follow.
#[test]
fn a_flood_of_idempotent_queries_does_not_evict_the_id_of_an_at_most_once_query() {
    let name_service = AutomaticNameService::of_configuration();
    let program = Program::start(&config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    ));
    let mut client = Client::connect(program.listen);
    client.send_query("load", 1);
    assert_eq!(client.read_status(), 200);
    for n in 0..8_300 {
        client.send_query("look", (1 << 32) + n);
        assert_eq!(client.read_status(), 200);
    }
    client.send_query("load", 1);
    assert_eq!(client.read_status(), 409);
    client.send_query("look", 1 << 32);
    assert_eq!(
        client.read_status(),
        200,
        "the oldest id of an idempotent query is forgotten"
    );
}

/// The maximum number of queries is in progress: another one is rejected at once, and the others are answered.
#[test]
fn a_query_beyond_the_limit_is_rejected_at_once_without_an_effect_on_others() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let mut config = config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    );
    config["settings"]["ceilings"]["most_held"] = 2.into();
    let program = Program::start(&config);
    let mut in_progress: Vec<(Client, ExecutorConnection)> = Vec::new();
    for n in 1..=2 {
        let mut client = Client::connect(program.listen);
        client.send_query("load", n);
        let mut conn = executor.accept();
        assert_eq!(conn.expect_request().id, request_id(n));
        in_progress.push((client, conn));
    }
    let mut third = Client::connect(program.listen);
    third.send_query("load", 3);
    assert_eq!(third.read_status(), 503);
    for (n, (client, conn)) in in_progress.iter_mut().enumerate() {
        conn.send(&hit_response(&request_id(n as u64 + 1), "e1"));
        assert_eq!(client.read_status(), 200);
    }
    third.send_query("load", 3);
    in_progress[1].1.serve_query(3, "e1");
    assert_eq!(
        third.read_status(),
        200,
        "it did not run, so it may be repeated"
    );
}

/// Between the choice of the executor and the first byte written, the executor starts to drain, is removed, or its address is assigned
/// to another executor.
#[test]
fn nothing_is_sent_to_an_executor_that_drains_is_removed_or_replaced_during_a_connect() {
    for (case, list_first) in ["draining", "removed", "replaced"]
        .into_iter()
        .flat_map(|case| [(case, true), (case, false)])
    {
        let name_service = NameService::new();
        let (first, backlog) = Executor::with_full_backlog();
        let second = Executor::new();
        let mut program = Program::start(&config(
            unused_address(),
            &[("e1", first.address)],
            name_service.address,
        ));
        let mut client = Client::connect(program.listen);
        client.send_query("load", 1);
        program.wait_for_connect(first.address);
        let query = name_service.next_new_query();
        program.suspend();
        let answer = |query: &DiscoveryQuery| match case {
            "draining" => name_service.send_list(
                query,
                2,
                &[("e1", first.address, true), ("e2", second.address, false)],
            ),
            "removed" => name_service.send_list(query, 2, &[("e2", second.address, false)]),
            _ => name_service.send_list(query, 2, &[("e2", first.address, false)]),
        };
        let publish = || program.deliver_datagram(|| answer(&query));
        if list_first {
            publish();
        }
        let mut conn = backlog.free_and_accept(&first);
        if !list_first {
            publish();
        }
        program.resume();
        // On a busy machine the process was stopped for so long that its list has to be confirmed.
        answer(&name_service.next_new_query());
        // The accept queue has room now, so that another connect to the same address completes.
        let mut other = if case == "replaced" {
            first.accept()
        } else {
            second.accept()
        };
        let request = other.expect_request();
        assert_eq!(request.id, request_id(1));
        other.send(&hit_response(&request.id, "e2"));
        let (status, body) = client.read_response().expect("answered");
        assert_eq!(status, 200, "{case}");
        assert!(body.contains("e2"));
        drop(client);
        program.signal(Signal::TERM);
        assert_eq!(program.wait_for_exit().code(), Some(0));
        assert_eq!(
            conn.next_request(),
            None,
            "{case}, list first: {list_first}"
        );
    }
}

/// The configuration file is read while it is partially written, and no further signal follows.
#[test]
fn a_partially_written_configuration_is_reloaded_once_it_is_complete() {
    let (old, new) = (NameService::new(), NameService::new());
    let executor = Executor::new().spawn_server("e1");
    let listen = unused_address();
    let program = Program::start(&config(listen, &[("e1", executor)], old.address));
    let new_config = config(listen, &[("e1", executor)], new.address).to_string();
    std::fs::write(&program.config_file, &new_config[..new_config.len() / 2]).expect("written");
    program.signal(Signal::HUP);
    // The program has rejected the incomplete file and still queries the old name service.
    for _ in 0..3 {
        old.next_new_query();
    }
    std::fs::write(&program.config_file, &new_config).expect("written");
    new.next_query();
    assert_eq!(program.health(), Some(200));
}

/// SIGTERM and SIGHUP, each twice, and SIGINT are processed in one turn of the event loop, with a query in progress.
#[test]
fn simultaneous_signals_lose_no_query() {
    let (old, new) = (
        AutomaticNameService::of_configuration(),
        AutomaticNameService::of_configuration(),
    );
    let executor = Executor::new();
    let listen = unused_address();
    let mut program = Program::start(&config(listen, &[("e1", executor.address)], old.address));
    let mut client = Client::connect(listen);
    client.send_query("load", 1);
    let mut conn = executor.accept();
    let request = conn.expect_request();
    program.suspend();
    std::fs::write(
        &program.config_file,
        config(listen, &[("e1", executor.address)], new.address).to_string(),
    )
    .expect("written");
    for signal in [
        Signal::TERM,
        Signal::HUP,
        Signal::TERM,
        Signal::HUP,
        Signal::INT,
    ] {
        program.signal(signal);
    }
    let mut late = Client::connect(listen);
    late.send_query("load", 2);
    program.resume();
    wait_until("a query to the new name service", || new.query_count() > 0);
    let mut another = executor.accept();
    let second = another.expect_request();
    program.wait_until_listener_closed();
    assert!(!program.has_exited(), "two responses are outstanding");
    conn.send(&hit_response(&request.id, "e1"));
    another.send(&hit_response(&second.id, "e1"));
    assert_eq!((client.read_status(), late.read_status()), (200, 200));
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// The program reads a response and the end of its connection at the same time.
#[test]
fn a_response_right_before_the_end_of_its_connection_is_accepted() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let program = Program::start(&config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    ));
    for lacks_pages in [false, true] {
        let mut client = Client::connect(program.listen);
        let n = 1 + u64::from(lacks_pages);
        client.send_query("load", n);
        let mut conn = executor.accept();
        let request = conn.expect_request();
        program.suspend();
        if lacks_pages {
            // Further pages are lost with the connection, and the query has run, so it must not run again.
            conn.send(&hit_response(&request.id, "e1").replace("pages=1", "pages=2"));
        } else {
            conn.send(&hit_response(&request.id, "e1"));
        }
        drop(conn);
        program.resume();
        assert_eq!(client.read_status(), if lacks_pages { 500 } else { 200 });
    }
}

/// A duplicate response arrives on a connection that carries another query by then.
#[test]
fn a_duplicate_response_is_not_attributed_to_another_query() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let program = Program::start(&config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    ));
    let mut client = Client::connect(program.listen);
    client.send_query("load", 1);
    let mut conn = executor.accept();
    let first = conn.expect_request();
    conn.send(&hit_response(&first.id, "first"));
    assert_eq!(client.read_status(), 200);
    client.send_query("load", 2);
    let second = conn.expect_request();
    conn.send(&hit_response(&first.id, "duplicate"));
    conn.send(&hit_response(&second.id, "second"));
    let (status, body) = client.read_response().expect("answered");
    assert_eq!(
        (status, body.as_str()),
        (200, "{\"batch\":[[\"second\",\"1\",\"x\"]]}")
    );
}

/// The executor has stopped responding before the controller receives the signal to stop.
#[test]
fn clients_waiting_for_a_hung_executor_at_the_shutdown_are_answered_in_time() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let mut program = Program::start(&config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    ));
    let mut waiting: Vec<(Client, ExecutorConnection)> = Vec::new();
    for (n, class) in ["look", "load"].into_iter().enumerate() {
        let mut client = Client::connect(program.listen);
        client.send(&query_request(class, n as u64, "SELECT 1").replace("15000", "1200"));
        let mut conn = executor.accept();
        let request = conn.expect_request();
        // The executor sends the first of two pages and then hangs.
        if class == "load" {
            conn.send(&hit_response(&request.id, "e1").replace("pages=1", "pages=2"));
        }
        waiting.push((client, conn));
    }
    program.signal(Signal::TERM);
    let statuses: Vec<u16> = waiting
        .iter_mut()
        .map(|(client, _)| client.read_status())
        .collect();
    assert_eq!(statuses, [503, 500]);
    assert_eq!(program.wait_for_exit().code(), Some(0));
}
