//! Acceptance criteria of the operators that no other test covers, checked on the built program with real connections. Each test forces
//! the unfavourable order of events every time, and no result depends on the speed of the machine. The table in `docs/platform.md`
//! lists the tests of the other criteria.

mod rig;
use rig::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wheelfield_net::Socket;

/// Number of pipelined requests: more than the program reads ahead of the one in progress.
const PIPELINED: u64 = 60;

/// Number of pipelined requests that are larger than all that is read of a connection in a turn of the event loop.
const PIPELINED_IN_MANY_READS: u64 = 1_000;

/// Time from the signal until a shutdown has answered all requests: the longest deadline of the settings plus 0.6 s.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3_600);

/// Starts a program with one executor and an idle connection between them, which is used for the next request.
fn start_with_idle_connection(
    executor: &Executor,
    name_service: SocketAddr,
) -> (Program, Client, ExecutorConnection) {
    let program = Program::start(&config(
        unused_address(),
        &[("e1", executor.address)],
        name_service,
    ));
    let mut client = Client::connect(program.listen);
    client.send_query("look", 900);
    let mut conn = executor.accept();
    conn.serve_query(900, "e1");
    assert_eq!(client.read_status(), 200);
    (program, client, conn)
}

/// Asserts that the next request at the executor is one that this function sends, so that nothing was forwarded before it.
fn assert_nothing_was_forwarded_before(
    client: &mut Client,
    conn: &mut ExecutorConnection,
    n: u64,
    case: &str,
) {
    client.send_query("look", n);
    let request = conn.expect_request();
    assert_eq!(request.id, request_id(n), "forwarded before it: {case}");
    conn.send(&hit_response(&request.id, "e1"));
    assert_eq!(client.read_status(), 200, "{case}");
}

fn pipelined_requests(first: u64) -> String {
    many_pipelined_requests(first, PIPELINED)
}

fn many_pipelined_requests(first: u64, count: u64) -> String {
    (first..first + count)
        .map(|n| query_request("look", n, "SELECT 1"))
        .collect()
}

#[test]
fn tcp_nodelay_is_set_on_accepted_and_on_opened_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let client = TcpStream::connect(address).expect("connected");
    let (accepted, _) = listener.accept().expect("a connection");
    assert!(
        !accepted.nodelay().expect("an option"),
        "nodelay is set by default"
    );
    assert!(
        !client.nodelay().expect("an option"),
        "nodelay is set by default"
    );
    let poll = mio::Poll::new().expect("a poll");
    accepted.set_nonblocking(true).expect("a socket");
    let accepted = mio::net::TcpStream::from_std(accepted);
    let accepted = Socket::from_accepted(accepted, poll.registry(), mio::Token(0));
    assert!(accepted.is_registered());
    let opened = Socket::connect(address, poll.registry(), mio::Token(1)).expect("registered");
    for (socket, side) in [(&accepted, "accepted"), (&opened, "opened")] {
        assert!(
            socket2::SockRef::from(socket)
                .tcp_nodelay()
                .expect("an option"),
            "{side}"
        );
    }
}

/// Idle clients use all client connections, and more clients connect at once than there are descriptors.
#[test]
fn idle_clients_that_connect_at_once_do_not_exhaust_the_descriptors() {
    let name_service = AutomaticNameService::of_configuration();
    let mut config = config(
        unused_address(),
        &[("e1", Executor::new().spawn_server("e1"))],
        name_service.address,
    );
    config["limits"]["sockets"] = 64.into();
    let mut program = Program::start_with_descriptors(&config, 64);
    let mut idle: Vec<Client> = (0..16).map(|_| Client::connect(program.listen)).collect();
    assert_eq!(
        program.health(),
        Some(200),
        "the idle clients were accepted before this one"
    );
    program.suspend();
    idle.extend((0..100).map(|_| Client::connect(program.listen)));
    program.resume();
    let mut client = Client::connect(program.listen);
    client.send_query("load", 1);
    assert_eq!(client.read_status(), 200);
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit().code(), Some(0));
    // On a slow machine, connecting all clients takes so long that the list of the suspended program becomes too old.
    let log = program.log();
    let unexpected = log
        .lines()
        .find(|line| !line.contains("executor list too old"));
    assert_eq!(unexpected, None, "accept failed for lack of descriptors");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_none_is_forwarded_after_a_disconnect() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let (program, mut client, mut conn) =
        start_with_idle_connection(&executor, name_service.address);
    client.send(&pipelined_requests(1));
    for n in 1..=PIPELINED {
        conn.serve_query(n, &format!("row{n}"));
        let (status, body) = client.read_response().expect("answered");
        assert_eq!(
            (status, body),
            (200, format!("{{\"batch\":[[\"row{n}\",\"1\",\"x\"]]}}"))
        );
    }
    for (how, first) in [(Disconnect::Close, 2_000), (Disconnect::Reset, 3_000)] {
        // The client disconnects right after its last byte.
        program.suspend();
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send(&pipelined_requests(first));
        disconnecting.disconnect(how);
        program.resume();
        assert_nothing_was_forwarded_before(
            &mut client,
            &mut conn,
            first + 901,
            &format!("{how:?} at once"),
        );
        // The client disconnects while its first request is at the executor.
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send(&pipelined_requests(first));
        assert_eq!(conn.expect_request().id, request_id(first));
        disconnecting.disconnect(how);
        assert_eq!(
            conn.next_line(),
            Some(format!("STOP {}", request_id(first))),
            "{how:?}"
        );
        assert_nothing_was_forwarded_before(
            &mut client,
            &mut conn,
            first + 902,
            &format!("{how:?} with one in flight"),
        );
    }
    assert!(
        executor.try_accept().is_none(),
        "a second connection was opened"
    );
}

/// Regression test: the first request of a client that had left while it was in the accept queue was forwarded if the client had sent
/// more than is read at once, as its departure was heard only after that.
#[test]
fn nothing_is_forwarded_for_a_client_that_left_in_the_accept_queue_with_much_unread() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let (program, mut client, mut conn) =
        start_with_idle_connection(&executor, name_service.address);
    for (how, first) in [(Disconnect::Close, 2_000), (Disconnect::Reset, 4_000)] {
        program.suspend();
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send(&many_pipelined_requests(first, PIPELINED_IN_MANY_READS));
        disconnecting.disconnect(how);
        program.resume();
        assert_nothing_was_forwarded_before(
            &mut client,
            &mut conn,
            first + 1_901,
            &format!("{how:?}"),
        );
        // Nor on another connection.
        assert!(executor.try_accept().is_none(), "{how:?}");
    }
}

/// A failure that would cause a retry is processed in the same turn of the event loop as the disconnect of the client, before or after
/// it.
#[test]
fn no_attempt_starts_after_the_client_disconnected_however_the_last_one_ended() {
    for (outcome, disconnect_first) in ["SHED", "FAULT", "reset"]
        .into_iter()
        .flat_map(|outcome| [(outcome, true), (outcome, false)])
    {
        let case = format!("{outcome}, disconnect first: {disconnect_first}");
        let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
        let (program, mut client, mut conn) =
            start_with_idle_connection(&executor, name_service.address);
        let mut disconnecting = Client::connect(program.listen);
        disconnecting.send_query("look", 1);
        assert_eq!(conn.expect_request().id, request_id(1));
        program.suspend();
        let mut disconnecting = Some(disconnecting);
        if disconnect_first {
            disconnecting.take();
        }
        let conn = if outcome == "reset" {
            conn.reset();
            None
        } else {
            conn.send(&format!("{} {outcome} - 0\r\n\r\n", request_id(1)));
            Some(conn)
        };
        drop(disconnecting);
        program.resume();
        // Longer than any retry delay of the program, and than the 0.1 s after which an attempt counts as late.
        std::thread::sleep(Duration::from_millis(500));
        client.send_query("look", 901);
        let mut conn = conn.unwrap_or_else(|| executor.accept());
        assert_eq!(
            conn.expect_request().id,
            request_id(901),
            "forwarded after its client had disconnected: {case}"
        );
        conn.send(&hit_response(&request_id(901), "e1"));
        assert_eq!(client.read_status(), 200, "{case}");
    }
}

/// The client requests the close of its connection, sends more data after that than the program reads, and has not read its long
/// response when the connection closes. A reset would destroy the rest of the response.
#[test]
fn a_closing_connection_forwards_no_requests_and_unread_bytes_do_not_destroy_its_last_response() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let (program, mut client, mut conn) =
        start_with_idle_connection(&executor, name_service.address);
    let mut closing = Client::with_small_receive_buffer(program.listen);
    closing.send(
        &query_request("look", 1, "SELECT 1")
            .replace("X-Timeout", "Connection: close\r\nX-Timeout"),
    );
    assert_eq!(conn.expect_request().id, request_id(1));
    program.suspend();
    closing.send(&pipelined_requests(100).repeat(4));
    program.resume();
    let page = format!("{}\tb\tc\n", "a".repeat(55)).repeat(98);
    conn.send(&format!(
        "{} HIT pages=8,cost=1.0 {}\r\n{page}\r\n",
        request_id(1),
        page.len()
    ));
    for n in 1..8 {
        conn.send(&format!(
            "{} PART page={n} {}\r\n{page}\r\n",
            request_id(1),
            page.len()
        ));
    }
    while conn
        .next_line()
        .is_some_and(|line| line != format!("END {}", request_id(1)))
    {}
    assert_eq!(
        program.health(),
        Some(200),
        "the response was written before this one"
    );
    let (status, body) = closing.read_response().expect("a complete response");
    assert_eq!((status, body.matches("\"b\"").count()), (200, 8 * 98));
    assert_nothing_was_forwarded_before(
        &mut client,
        &mut conn,
        901,
        "after the last request of a connection",
    );
}

/// Idle connections are closed 0.7 s after SIGTERM. The request has arrived by then but has not been read.
#[test]
fn a_request_that_arrives_on_an_idle_connection_as_the_shutdown_closes_it_is_served() {
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
        let signalled_at = Instant::now();
        program.signal(Signal::TERM);
        wait_until("the start of the shutdown", || {
            program.health() != Some(200)
        });
        program.suspend();
        if signalled_at.elapsed() >= Duration::from_millis(700) {
            // This machine was too slow: the program may have closed the connection before it was suspended.
            program.resume();
            continue;
        }
        idle.send_query("load", 2);
        // The program must see that the time to close idle connections has passed when it resumes.
        std::thread::sleep(Duration::from_millis(1_000));
        program.resume();
        let status = idle.read_status();
        if status == 503 && signalled_at.elapsed() >= ANSWERED_WITHIN {
            // The suspension lasted longer than a shutdown may take, so the program rejected the remaining requests at once.
            continue;
        }
        assert_eq!(status, 200);
        assert_eq!(program.wait_for_exit().code(), Some(0));
        return;
    }
    panic!("this machine is too slow to suspend the program in time");
}

/// A response that stops in the middle, or arrives byte by byte without an end, is abandoned long before the deadline, and its
/// connection is closed.
#[test]
fn a_truncated_or_trickling_response_is_abandoned() {
    let page = |n: u64| format!("{} HIT pages=1 5000\r\na\tb\tc\n", request_id(n));
    for (case, trickles) in [
        ("half a line", false),
        ("half a page", false),
        ("byte by byte", true),
    ] {
        for class in ["load", "look"] {
            let (executor, name_service) =
                (Executor::new(), AutomaticNameService::of_configuration());
            let (_program, mut client, mut conn) =
                start_with_idle_connection(&executor, name_service.address);
            client.send_query(class, 1);
            assert_eq!(conn.expect_request().id, request_id(1));
            conn.send(if case == "half a line" { "0000000" } else { "" });
            conn.send(&if case == "half a line" {
                String::new()
            } else {
                page(1)
            });
            let sender = std::thread::spawn(move || {
                let mut remaining = TIMEOUT.as_millis() / 50;
                while trickles && remaining > 0 && !conn.is_closed() {
                    remaining -= 1;
                    conn.send("a");
                    std::thread::sleep(Duration::from_millis(50));
                }
                conn.wait_for_close()
            });
            if class == "look" {
                executor.accept().serve_query(1, "e1");
            }
            assert_eq!(
                client.read_status(),
                if class == "look" { 200 } else { 500 },
                "{case}"
            );
            assert!(
                sender.join().expect("no panic"),
                "the connection was not closed: {case}, {class}"
            );
        }
    }
}

/// The executor hangs for longer than idle connections and unread responses are kept, but not until the deadline.
#[test]
fn a_response_of_an_executor_that_hung_for_16_s_is_forwarded_under_a_long_deadline() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::of_configuration());
    let mut config = config(
        unused_address(),
        &[("e1", executor.address)],
        name_service.address,
    );
    config["settings"]["ceilings"]["conn_idle_us"] = 2_000_000.into();
    let program = Program::start(&config);
    let mut client = Client::connect(program.listen);
    client.send(&query_request("load", 1, "SELECT 1").replace("15000", "60000"));
    let mut conn = executor.accept();
    assert_eq!(conn.expect_request().id, request_id(1));
    std::thread::sleep(Duration::from_secs(16));
    conn.send(&hit_response(&request_id(1), "late"));
    let (status, body) = client.read_response().expect("answered");
    assert!(status == 200 && body.contains("late"), "{status} {body}");
}
