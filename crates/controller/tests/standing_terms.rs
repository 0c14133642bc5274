//! Terms of the operators' standing test that no other test forces: the built program with real connections. Each test drives the
//! unfavourable order every time; no verdict rests on how fast this machine is. The table in `docs/platform.md` names the rest.

mod rig;
use rig::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wheelfield_net::Socket;

/// More pipelined requests than the program reads ahead of the one in progress.
const PIPELINED: u64 = 60;

/// A shutdown has answered all requests so long after its signal: the longest deadline of the settings, and 0.6 s.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3_600);

/// A program with one executor and an idle connection between them, which takes the next request.
fn with_idle_connection(
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

/// The next request at the executor is one sent now: nothing else was forwarded before it.
fn next_forwarded_is(client: &mut Client, conn: &mut ExecutorConnection, n: u64, case: &str) {
    client.send_query("look", n);
    let request = conn.expect_request();
    assert_eq!(request.id, request_id(n), "forwarded before it: {case}");
    conn.send(&hit_response(&request.id, "e1"));
    assert_eq!(client.read_status(), 200, "{case}");
}

fn pipelined(from: u64) -> String {
    (from..from + PIPELINED)
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
        "not the system's default"
    );
    assert!(
        !client.nodelay().expect("an option"),
        "not the system's default"
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

/// Idle clients take every place, and more come at once than there are descriptors.
#[test]
fn idle_clients_that_come_at_once_do_not_use_up_the_descriptors() {
    let name_service = AutomaticNameService::new(1, &[]);
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
        "they were accepted before this one"
    );
    program.suspend();
    idle.extend((0..100).map(|_| Client::connect(program.listen)));
    program.resume();
    let mut client = Client::connect(program.listen);
    client.send_query("load", 1);
    assert_eq!(client.read_status(), 200);
    program.signal("-TERM");
    assert_eq!(program.wait_for_exit().code(), Some(0));
    // A machine that is slow to connect them all leaves the program halted for so long that its list is too old.
    let log = program.log();
    let unexpected = log
        .lines()
        .find(|line| !line.contains("executor list too old"));
    assert_eq!(unexpected, None, "accepting failed for want of descriptors");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_none_is_forwarded_once_their_client_left() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::new(1, &[]));
    let (program, mut client, mut conn) = with_idle_connection(&executor, name_service.address);
    client.send(&pipelined(1));
    for n in 1..=PIPELINED {
        conn.serve_query(n, &format!("row{n}"));
        let (status, body) = client.read_response().expect("answered");
        assert_eq!(
            (status, body),
            (200, format!("{{\"batch\":[[\"row{n}\",\"1\",\"x\"]]}}"))
        );
    }
    for (how, first) in [(Disconnect::Close, 2_000), (Disconnect::Reset, 3_000)] {
        // It leaves right behind its last byte.
        program.suspend();
        let mut leaver = Client::connect(program.listen);
        leaver.send(&pipelined(first));
        leaver.disconnect(how);
        program.resume();
        next_forwarded_is(
            &mut client,
            &mut conn,
            first + 901,
            &format!("{how:?} at once"),
        );
        // It leaves while its first request is at the executor.
        let mut leaver = Client::connect(program.listen);
        leaver.send(&pipelined(first));
        assert_eq!(conn.expect_request().id, request_id(first));
        leaver.disconnect(how);
        assert_eq!(
            conn.next_line(),
            Some(format!("STOP {}", request_id(first))),
            "{how:?}"
        );
        next_forwarded_is(
            &mut client,
            &mut conn,
            first + 902,
            &format!("{how:?} with one in flight"),
        );
    }
    assert!(
        executor.try_accept().is_none(),
        "all of it went on one connection"
    );
}

/// What would be reason for a retry comes in one turn with the client's departure, before or behind it.
#[test]
fn no_attempt_begins_once_the_client_has_left_whatever_becomes_of_the_last_one() {
    for (end, left_first) in ["SHED", "FAULT", "reset"]
        .into_iter()
        .flat_map(|e| [(e, true), (e, false)])
    {
        let case = format!("{end}, left first: {left_first}");
        let (executor, name_service) = (Executor::new(), AutomaticNameService::new(1, &[]));
        let (program, mut client, mut conn) = with_idle_connection(&executor, name_service.address);
        let mut leaver = Client::connect(program.listen);
        leaver.send_query("look", 1);
        assert_eq!(conn.expect_request().id, request_id(1));
        program.suspend();
        let mut leaver = Some(leaver);
        if left_first {
            leaver.take();
        }
        let conn = if end == "reset" {
            conn.reset();
            None
        } else {
            conn.send(&format!("{} {end} - 0\r\n\r\n", request_id(1)));
            Some(conn)
        };
        drop(leaver);
        program.resume();
        // Longer than any backoff of the program, and than the 0.1 s after which an attempt counts as late.
        std::thread::sleep(Duration::from_millis(500));
        client.send_query("look", 901);
        let mut conn = conn.unwrap_or_else(|| executor.accept());
        assert_eq!(
            conn.expect_request().id,
            request_id(901),
            "forwarded after its client had left: {case}"
        );
        conn.send(&hit_response(&request_id(901), "e1"));
        assert_eq!(client.read_status(), 200, "{case}");
    }
}

/// The client asked for the connection to be closed, sent more behind that than is read, and has not read its long answer as the
/// connection closes: a reset would cost it the rest.
#[test]
fn nothing_is_forwarded_from_a_connection_that_closes_and_unread_bytes_do_not_cost_its_last_answer()
{
    let (executor, name_service) = (Executor::new(), AutomaticNameService::new(1, &[]));
    let (program, mut client, mut conn) = with_idle_connection(&executor, name_service.address);
    let mut closes = Client::with_small_receive_buffer(program.listen);
    closes.send(
        &query_request("look", 1, "SELECT 1")
            .replace("X-Timeout", "Connection: close\r\nX-Timeout"),
    );
    assert_eq!(conn.expect_request().id, request_id(1));
    program.suspend();
    closes.send(&pipelined(100).repeat(4));
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
        "the answer was written before this one"
    );
    let (status, body) = closes.read_response().expect("a whole answer");
    assert_eq!((status, body.matches("\"b\"").count()), (200, 8 * 98));
    next_forwarded_is(
        &mut client,
        &mut conn,
        901,
        "behind the last request of a connection",
    );
}

/// Idle connections are closed 0.7 s after SIGTERM. The request is there by then, unread.
#[test]
fn a_request_that_arrives_on_an_idle_connection_as_the_shutdown_closes_it_is_served() {
    for _ in 0..20 {
        let name_service = AutomaticNameService::new(1, &[]);
        let served = Executor::new().spawn_server("e1");
        let mut program = Program::start(&config(
            unused_address(),
            &[("e1", served)],
            name_service.address,
        ));
        let mut idle = Client::connect(program.listen);
        idle.send_query("load", 1);
        assert_eq!(idle.read_status(), 200);
        let signalled = Instant::now();
        program.signal("-TERM");
        wait_until("the signal taken", || program.health() != Some(200));
        program.suspend();
        if signalled.elapsed() >= Duration::from_millis(700) {
            // Too slow a machine: the program may have closed the connection before it was halted.
            program.resume();
            continue;
        }
        idle.send_query("load", 2);
        // Until the program's clock has passed the close.
        std::thread::sleep(Duration::from_millis(1_000));
        program.resume();
        let status = idle.read_status();
        if status == 503 && signalled.elapsed() >= ANSWERED_WITHIN {
            // Halted for longer than the shutdown may take, it answers what is left at once.
            continue;
        }
        assert_eq!(status, 200);
        assert_eq!(program.wait_for_exit().code(), Some(0));
        return;
    }
    panic!("this machine is too slow to halt the program in time");
}

/// Cut short, or coming byte by byte without end: given up long before the deadline, its connection closed.
#[test]
fn an_answer_that_is_cut_short_or_trickles_without_end_is_given_up() {
    let page = |n: u64| format!("{} HIT pages=1 5000\r\na\tb\tc\n", request_id(n));
    for (case, trickles) in [
        ("half a line", false),
        ("half a page", false),
        ("byte by byte", true),
    ] {
        for class in ["load", "look"] {
            let (executor, name_service) = (Executor::new(), AutomaticNameService::new(1, &[]));
            let (_program, mut client, mut conn) =
                with_idle_connection(&executor, name_service.address);
            client.send_query(class, 1);
            assert_eq!(conn.expect_request().id, request_id(1));
            conn.send(if case == "half a line" { "0000000" } else { "" });
            conn.send(&if case == "half a line" {
                String::new()
            } else {
                page(1)
            });
            let trickle = std::thread::spawn(move || {
                let mut rest = TIMEOUT.as_millis() / 50;
                while trickles && rest > 0 && !conn.is_closed() {
                    rest -= 1;
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
                trickle.join().expect("no panic"),
                "its connection is closed: {case}, {class}"
            );
        }
    }
}

/// Longer than idle connections and unread answers are kept; the client waits for longer still.
#[test]
fn an_answer_that_comes_after_its_executor_hung_for_16_s_under_a_long_deadline_is_served() {
    let (executor, name_service) = (Executor::new(), AutomaticNameService::new(1, &[]));
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
