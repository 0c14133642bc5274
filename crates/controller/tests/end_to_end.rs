//! End-to-end tests of difficult cases on real sockets, with PostgreSQL clients, a controller and emulated engines.

mod common;

use bytes::BytesMut;
use common::{
    wait_until, Controller, Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG, WAIT_TIMEOUT,
};
use postgres::{NoTls, SimpleQueryMessage};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

// --- an unmodified client library ---

#[test]
#[expect(clippy::too_many_lines, reason = "one long case")]
fn an_unmodified_client_library_works() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut client = controller.postgres_client();
    // The simple query protocol, with literals and their types.
    let rows = client
        .simple_query("select 1 as one, 'two'")
        .expect("the simple query succeeds");
    let SimpleQueryMessage::Row(row) = &rows[1] else {
        panic!("{rows:?}")
    };
    assert_eq!((row.get("one"), row.get(1)), (Some("1"), Some("two")));
    // The extended query protocol. The engine returns the parameters in binary format.
    let row = client
        .query_one(
            "select $1::int4, $2::text, $3::bool",
            &[&42i32, &"text", &true],
        )
        .expect("the extended query succeeds");
    assert_eq!(
        (
            row.get::<_, i32>(0),
            row.get::<_, &str>(1),
            row.get::<_, bool>(2)
        ),
        (42, "text", true)
    );
    // A statement that is prepared once and executed several times.
    let statement = client
        .prepare("select $1::int8")
        .expect("prepare the statement");
    for n in 0..20i64 {
        assert_eq!(
            client
                .query_one(&statement, &[&n])
                .expect("the query succeeds")
                .get::<_, i64>(0),
            n
        );
    }
    // A large result.
    let rows = client
        .query("select * from t /*rows='50000',row_bytes='200'*/", &[])
        .expect("the query succeeds");
    assert_eq!(rows.len(), 50_000);
    assert_eq!(rows[49_999].get::<_, i64>(0), 50_000);
    // SQL errors are passed on, and the session remains usable.
    let error = client
        .simple_query("select 1 /*sqlstate='22012'*/")
        .expect_err("the query fails");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("22012".into())
    );
    assert_eq!(
        client
            .execute("insert into t values (1)", &[])
            .expect("the query succeeds"),
        1
    );
    // Transaction blocks are rejected as an unsupported feature.
    let error = client
        .transaction()
        .err()
        .expect("transaction blocks are not supported");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("0A000".into())
    );
    client
        .simple_query("set application_name = 'again'")
        .expect("the session remains usable");
    // A cancel request from another thread.
    let token = client.cancel_token();
    let canceller = std::thread::spawn({
        let control = engines.address("control");
        move || {
            wait_until("a running query", || {
                common::http(&control, "GET", "/state")
                    .1
                    .contains("\"in_hand\":1")
            });
            token.cancel_query(NoTls).expect("send");
        }
    });
    let error = client
        .simple_query("select 1 /*run_ms='15000',work_ms='100'*/")
        .expect_err("the query is cancelled");
    canceller.join().expect("no thread panicked");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("57014".into())
    );
    wait_until("the engine to be idle", || engines.running_queries() == 0);
    client
        .simple_query("select 1")
        .expect("the session remains usable");
    assert_eq!(controller.status_value("queries_failed"), 0);
}

// --- clients that disconnect ---

#[test]
fn a_client_disconnects_before_the_first_row() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='14000',work_ms='100',id='left'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    drop(raw);
    controller.wait_for_status("queries_departed", |n| n == 1);
    wait_until("the engine to be idle", || engines.running_queries() == 0);
    wait_until("the dropped query in the engine log", || {
        engines.log_entries("dropped", "left").len() == 1
    });
    assert_eq!(
        engines.log_entries("received", "left").len(),
        1,
        "the query is not sent again"
    );
    assert_eq!(controller.status_value("queries_held"), 0);
}

#[test]
fn a_client_disconnects_after_the_first_row() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select * from t /*rows='100000000',row_bytes='100',id='rows'*/");
    while raw.read_message().0 != b'D' {}
    drop(raw);
    controller.wait_for_status("queries_departed", |n| n == 1);
    controller.wait_for_status("queries_held", |n| n == 0);
    // The engine session was in the middle of an answer, so it must not be reused in that state.
    let mut next = controller.raw_client();
    next.query("select 7");
    assert_eq!(next.read_answer(), ("TDC".into(), String::new()));
    assert_eq!(engines.log_entries("received", "rows").len(), 1);
}

// --- engines that crash ---

#[test]
fn an_engine_crashes_after_accepting_a_query_that_must_run_once() {
    let engines = Engines::start(3);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("insert into t select 1 /*class='load',run_ms='14000',work_ms='100',id='once'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    let entry = engines.first_log_entry("received", "once");
    let name = entry["engine"].as_str().expect("a string").to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    assert_eq!(raw.read_answer(), ("E".into(), "08007".into()));
    assert_eq!(
        engines.log_entries("received", "once").len(),
        1,
        "the query is not sent again"
    );
    assert_eq!(
        (
            controller.status_value("attempts"),
            controller.status_value("queries_held")
        ),
        (1, 0)
    );
}

#[test]
fn an_engine_crashes_and_a_repeatable_query_is_retried_on_another() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='400',work_ms='400',id='again'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    let entry = engines.first_log_entry("received", "again");
    let name = entry["engine"].as_str().expect("a string").to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    assert_eq!(raw.read_answer(), ("TDC".into(), String::new()));
    let received = engines.log_entries("received", "again");
    assert_eq!(received.len(), 2);
    assert_ne!(received[1]["engine"], name.as_str());
}

#[test]
fn an_engine_crashes_between_two_rows() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select * from t /*rows='100000000',row_bytes='1000',id='rows'*/");
    while raw.read_message().0 != b'D' {}
    let name = engines.first_log_entry("received", "rows")["engine"]
        .as_str()
        .expect("a string")
        .to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    let (tags, sqlstate) = raw.read_answer();
    assert_eq!(
        (tags.as_str(), sqlstate.as_str()),
        ("DE", "08007"),
        "rows, then one error"
    );
    raw.query("select 7");
    assert_eq!(
        raw.read_answer(),
        ("TDC".into(), String::new()),
        "the session remains usable"
    );
    assert_eq!(
        engines.log_entries("received", "rows").len(),
        1,
        "a query whose answer has started is not retried"
    );
}

#[test]
fn a_named_statement_is_executed_after_its_engine_has_crashed() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut client = controller.postgres_client();
    let statement = client
        .prepare("select $1::int4")
        .expect("prepare the statement");
    assert_eq!(
        client
            .query_one(&statement, &[&1i32])
            .expect("the query succeeds")
            .get::<_, i32>(0),
        1
    );
    for engine in [1, 2] {
        engines.inject_fault(engine, "kill", 1.0);
        assert_eq!(
            client
                .query_one(&statement, &[&2i32])
                .expect("the other engine prepares and executes the statement")
                .get::<_, i32>(0),
            2
        );
        engines.inject_fault(engine, "start", 1.0);
    }
}

#[test]
fn an_engine_drains_while_a_session_with_it_is_being_opened() {
    let engines = Engines::start(2);
    let registry = engines.address("registry");
    let extra_config = format!(
        "[timing]\nconnect = \"10s\"\n[registry]\naddress = {registry:?}\nevery = \"50ms\"\n"
    );
    let controller = Controller::start(&format!("{LISTEN_CONFIG}{BASE_CONFIG}{extra_config}"));
    controller.wait_for_status("list_version", |v| v >= 1);
    // The system accepts connections for a hung engine, but the engine sends nothing, so the session stays incomplete.
    engines.inject_fault(1, "hang", 1.0);
    engines.inject_fault(2, "hang", 1.0);
    let mut raw = controller.raw_client();
    raw.query("insert into t select 1 /*class='load',work_ms='10',id='drained'*/");
    controller.wait_for_status("engine_sessions", |n| n == 1);
    let attempts = || controller.status_value("attempts");
    assert_eq!(attempts(), 1);
    // Both engines drain, so the one that got the attempt does too.
    engines.inject_fault(1, "drain", 1.0);
    engines.inject_fault(2, "drain", 1.0);
    wait_until("the attempt to be withdrawn", || {
        controller.status_value("queries_held") == 0
    });
    let (_, sqlstate) = raw.read_answer();
    assert_eq!(
        sqlstate, "53300",
        "a query that never ran is rejected, not failed"
    );
    engines.inject_fault(1, "hang", 0.0);
    engines.inject_fault(2, "hang", 0.0);
    assert!(
        engines.log_entries("received", "drained").is_empty(),
        "no query is sent to a draining engine"
    );
}

// --- cancel requests ---

#[test]
fn a_cancel_request_at_each_stage_of_a_query() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    // Without a running query, a cancel request has no effect.
    raw.cancel();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
    // With a wrong key, it has no effect either.
    raw.query("select 1 /*run_ms='300'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    let mut other_client = controller.raw_client();
    (other_client.process_id, other_client.cancel_key) =
        (raw.process_id, bytes::Bytes::from_static(&[1, 2, 3, 4]));
    other_client.cancel();
    assert_eq!(raw.read_answer().0, "TDC");
    // While the engine executes the query.
    raw.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    raw.cancel();
    assert_eq!(raw.read_answer(), ("E".into(), "57014".into()));
    wait_until("the engine to be idle", || engines.running_queries() == 0);
    // After the first rows.
    raw.query("select * from t /*rows='100000000',row_bytes='1000'*/");
    while raw.read_message().0 != b'D' {}
    raw.cancel();
    assert_eq!(raw.read_answer(), ("DE".into(), "57014".into()));
    // Before a session with the engine is open.
    engines.inject_fault(1, "kill", 1.0);
    engines.inject_fault(1, "start", 1.0);
    engines.inject_fault(1, "hang", 1.0);
    raw.query("select 1 /*id='waits'*/");
    controller.wait_for_status("queries_held", |n| n == 1);
    raw.cancel();
    assert_eq!(raw.read_answer(), ("E".into(), "57014".into()));
    engines.inject_fault(1, "hang", 0.0);
    raw.query("select 2");
    assert_eq!(raw.read_answer().0, "TDC");
    assert!(engines.log_entries("received", "waits").is_empty());
}

#[test]
fn late_cancel_requests_never_cancel_the_next_query() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    let mut cancelled = 0;
    for n in 0..150 {
        raw.query(&format!("select {n} /*run_ms='{}',work_ms='1'*/", n % 4));
        raw.cancel();
        let (tags, sqlstate) = raw.read_answer();
        // The query completes or is cancelled, whichever comes first; exactly one final answer is sent.
        assert!(
            tags == "TDC" || (tags == "E" && sqlstate == "57014"),
            "{tags} {sqlstate}"
        );
        cancelled += usize::from(tags == "E");
        raw.query("select 'mine'");
        assert_eq!(
            raw.read_answer(),
            ("TDC".into(), String::new()),
            "after {cancelled} cancelled queries"
        );
    }
    controller.wait_for_status("queries_held", |n| n == 0);
}

// --- batches ---

#[test]
fn a_pipelined_batch_with_an_error_in_the_middle() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    let mut out = BytesMut::new();
    for sql in [
        "select 1 /*id='first'*/",
        "select 2 /*sqlstate='22012',id='second'*/",
        "select 3 /*id='third'*/",
    ] {
        RawClient::put_parse("", sql, &mut out);
        RawClient::put_bind("", "", &mut out);
        RawClient::put_execute("", 0, &mut out);
    }
    RawClient::put_empty_message(b'S', &mut out);
    raw.send(&out);
    let (tags, sqlstate) = raw.read_answer();
    assert_eq!(sqlstate, "22012");
    assert_eq!(
        tags, "12DC12E",
        "the first query runs, the second fails, and the third is skipped"
    );
    assert!(engines.log_entries("received", "third").is_empty());
    // An error that the gateway itself produces in the middle of a batch also keeps its order.
    let mut out = BytesMut::new();
    for sql in ["select 1", "begin", "select 3 /*id='fourth'*/"] {
        RawClient::put_parse("", sql, &mut out);
        RawClient::put_bind("", "", &mut out);
        RawClient::put_execute("", 0, &mut out);
    }
    RawClient::put_empty_message(b'S', &mut out);
    raw.send(&out);
    assert_eq!(raw.read_answer(), ("12DCE".into(), "0A000".into()));
    assert!(engines.log_entries("received", "fourth").is_empty());
}

#[test]
fn a_portal_is_read_in_parts_across_flushes() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    let mut out = BytesMut::new();
    RawClient::put_parse("", "select * from t /*rows='5',id='parts'*/", &mut out);
    RawClient::put_bind("p", "", &mut out);
    RawClient::put_execute("p", 2, &mut out);
    RawClient::put_empty_message(b'H', &mut out);
    raw.send(&out);
    let mut tags = String::new();
    while !tags.ends_with('s') {
        tags.push(raw.read_message().0 as char);
    }
    assert_eq!(tags, "12DDs");
    let mut out = BytesMut::new();
    RawClient::put_execute("p", 0, &mut out);
    RawClient::put_empty_message(b'S', &mut out);
    raw.send(&out);
    assert_eq!(
        raw.read_answer(),
        ("DC".into(), String::new()),
        "the remaining rows come from the same engine"
    );
    assert_eq!(engines.log_entries("received", "parts").len(), 1);
    assert_eq!(
        controller.status_value("queries_taken"),
        1,
        "the gateway admits one query"
    );
}

// --- misbehaving clients affect only themselves ---

#[test]
fn invalid_oversized_and_incomplete_messages_close_only_their_own_connection() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(
        &engines,
        "[limits]\nmessage = \"64KB\"\n[timing]\nstartup = \"300ms\"\n",
    );
    let mut well_behaved = controller.raw_client();
    let read_until_closed = |mut stream: TcpStream| {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    };
    let open = || TcpStream::connect(controller.address).expect("connect");
    // An HTTP request in place of a startup packet.
    let mut stream = open();
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("write to the connection");
    assert!(read_until_closed(stream).contains("08P01"));
    // No startup packet, and half of one.
    assert!(read_until_closed(open()).contains("no startup packet in time"));
    let mut stream = open();
    stream
        .write_all(&[0, 0, 0, 80, 0, 3])
        .expect("write to the connection");
    assert!(read_until_closed(stream).contains("no startup packet in time"));
    // A message over the size limit, and one with an impossible length.
    let mut raw = controller.raw_client();
    raw.query(&"x".repeat(100_000));
    assert!(read_until_closed(raw.stream).contains("54000"));
    let mut raw = controller.raw_client();
    raw.send(b"Q\0\0\0\x01");
    assert!(read_until_closed(raw.stream).contains("08P01"));
    // A client that disconnects during its query: the query is withdrawn.
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    drop(raw);
    wait_until("the engine to be idle", || engines.running_queries() == 0);
    well_behaved.query("select 1");
    assert_eq!(well_behaved.read_answer().0, "TDC");
    assert!(controller.status_value("clients_malformed") >= 3);
}

#[test]
fn a_client_over_the_limit_is_rejected_with_an_error() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "[limits]\nclients = 3\n");
    let mut clients: Vec<RawClient> = (0..3).map(|_| controller.raw_client()).collect();
    let mut stream = TcpStream::connect(controller.address).expect("connect");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert!(String::from_utf8_lossy(&response).contains("too many clients"));
    clients.pop();
    controller.wait_for_status("clients", |n| n == 2);
    controller.raw_client().query("select 1");
}

#[test]
fn a_query_over_the_limit_is_rejected_without_running() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "[limits]\nqueries = 1\n");
    let mut first = controller.raw_client();
    first.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    let mut second = controller.raw_client();
    second.query("select 2 /*id='second'*/");
    assert_eq!(second.read_answer(), ("E".into(), "53300".into()));
    assert!(engines.log_entries("received", "second").is_empty());
    first.cancel();
    assert_eq!(first.read_answer().1, "57014");
}

// --- timeouts ---

#[test]
fn a_query_gets_an_error_at_its_deadline() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    engines.inject_fault(1, "hang", 1.0);
    let mut raw = controller.raw_client();
    for (class, sqlstate) in [("fast", "53300"), ("load", "08007")] {
        // A session is opened before the engine hangs, so that the query of class `load` is written to it.
        engines.inject_fault(1, "hang", 0.0);
        raw.query("select 1");
        assert_eq!(raw.read_answer().0, "TDC");
        engines.inject_fault(1, "hang", 1.0);
        raw.query(&format!("select 1 /*class='{class}',due_ms='300'*/"));
        assert_eq!(raw.read_answer(), ("E".into(), sqlstate.into()), "{class}");
    }
    engines.inject_fault(1, "hang", 0.0);
}

// --- peer messages, registry, shutdown and probes ---

#[test]
fn corrupted_duplicate_and_unknown_datagrams_are_dropped() {
    use wheelfield::interface::{LoadReport, PeerLoadReport};
    let engines = Engines::start(1);
    let peer = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let extra_config = format!(
        "[means]\nmessages = true\n[controller]\nindex = 0\ncount = 3\n[peers]\nlisten = \"127.0.0.1:0\"\naddresses = [\"{}\"]\n",
        peer.local_addr().expect("the local address")
    );
    let body = BASE_CONFIG.replace("[means]\ncancel = true\n", "");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}{extra_config}{}",
        engines.config_entries()
    ));
    let to = controller.peers.clone().expect("an address");
    let report = PeerLoadReport {
        engine: wheelfield_config::engine_id("engine-01"),
        report: LoadReport {
            utilisation: Some(0.5),
            ..LoadReport::default()
        },
    };
    let valid = wheelfield_pg_gateway::peers::ReportSender::new(1, 1)
        .datagrams(&[report])
        .remove(0);
    let mut corrupted = valid.clone();
    corrupted[10] ^= 1;
    peer.send_to(&corrupted, &to).expect("send");
    peer.send_to(&valid, &to).expect("send");
    peer.send_to(&valid, &to).expect("send");
    UdpSocket::bind("127.0.0.1:0")
        .expect("bind a socket")
        .send_to(&valid, &to)
        .expect("send");
    peer.send_to(&[0; 3000], &to).expect("send");
    controller.wait_for_status("messages_dropped", |n| n == 4);
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
}

#[test]
fn the_last_list_is_used_while_the_registry_is_unavailable() {
    let engines = Engines::start(2);
    let registry = engines.address("registry");
    let text = format!(
        "{LISTEN_CONFIG}{BASE_CONFIG}[registry]\naddress = {registry:?}\nmode = \"poll\"\nevery = \"20ms\"\n"
    );
    let controller = Controller::start(&text);
    controller.wait_for_status("list_version", |v| v == 1);
    common::http(
        &engines.address("control"),
        "POST",
        "/registry?unavailable_ms=400",
    );
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC", "routed by the last list");
    engines.inject_fault(1, "drain", 1.0);
    controller.wait_for_status("list_version", |v| v == 2);
    for n in 0..20 {
        raw.query(&format!("select {n} /*id='n{n}'*/"));
        assert_eq!(raw.read_answer().0, "TDC");
        let entry = engines.first_log_entry("received", &format!("n{n}"));
        assert_eq!(
            entry["engine"], "engine-02",
            "no new query for the draining engine"
        );
    }
}

#[test]
fn a_shutdown_answers_accepted_queries_and_rejects_new_clients() {
    let engines = Engines::start(1);
    let mut controller = Controller::with_engines(&engines, "");
    let mut idle = controller.raw_client();
    let mut busy = controller.raw_client();
    busy.query("select 1 /*run_ms='500',work_ms='500'*/");
    wait_until("the query to run on an engine", || {
        engines.running_queries() == 1
    });
    controller.request_shutdown();
    let (tag, message) = idle.read_message();
    assert_eq!(
        (
            tag,
            wheelfield_pg::backend_messages::parse_sqlstate_and_message(&message)
                .expect("error fields")
                .0
                .as_str()
        ),
        (b'E', "57P01")
    );
    assert!(idle.try_read_message().is_none());
    assert_eq!(
        busy.read_answer(),
        ("TDC".into(), String::new()),
        "the accepted query is answered"
    );
    assert!(
        TcpStream::connect(controller.address).is_err(),
        "new clients are not accepted"
    );
    controller.join();
}

#[test]
fn a_cancelled_query_stops_sending_rows_even_if_engines_cannot_cancel() {
    let engines = Engines::start(1);
    let body = BASE_CONFIG.replace("cancel = true", "cancel = false");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}{}",
        engines.config_entries()
    ));
    let mut raw = controller.raw_client();
    raw.query("select * from t /*rows='300000',row_bytes='1000'*/");
    while raw.read_message().0 != b'D' {}
    raw.cancel();
    assert_eq!(raw.read_answer(), ("DE".into(), "57014".into()));
    for n in 0..50 {
        raw.query(&format!("select {n}"));
        assert_eq!(
            raw.read_answer(),
            ("TDC".into(), String::new()),
            "the answer contains no rows of the cancelled query"
        );
    }
}

#[test]
fn engines_are_probed_if_load_reports_come_only_from_probes() {
    let engines = Engines::start(2);
    let body = BASE_CONFIG.replace("[signals]\nbills = true", "[signals]\nreports = \"probe\"");
    let body = body.replace("cancel = true", "cancel = true\nprobes = true");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}[timing]\nprobe = \"100ms\"\n{}",
        engines.config_entries()
    ));
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
    // Each round probes every engine and opens a session with the engine that has not had a query.
    controller.wait_for_status("engine_sessions", |n| n >= 2);
    let before = controller.status_value("probes_answered");
    controller.wait_for_status("probes_answered", |n| n >= before + 4);
    // An engine that does not answer loses its probe, but no query fails.
    engines.inject_fault(1, "hang", 1.0);
    controller.wait_for_status("probes_lost", |n| n >= 1);
    engines.inject_fault(1, "hang", 0.0);
    raw.query("select 2");
    assert_eq!(raw.read_answer().0, "TDC");
}

#[test]
fn the_engine_list_is_requested_again_after_a_failure() {
    let engines = Engines::start(2);
    let control = engines.address("control");
    common::http(&control, "POST", "/registry?unavailable_ms=300");
    let body = BASE_CONFIG.replace("cancel = true", "cancel = true\nsubscribe = true");
    let registry = engines.address("registry");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}[registry]\naddress = {registry:?}\n"
    ));
    // The first request fails and is retried after a delay.
    controller.wait_for_status("list_version", |v| v == 1);
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
    engines.inject_fault(1, "drain", 1.0);
    controller.wait_for_status("list_version", |v| v == 2);
}

// --- in-memory capture ---

#[test]
fn an_in_memory_capture_is_written_on_request_and_replays() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let engines = Engines::start(2);
    let file = dir.path().join("c.wfcap");
    let ring =
        format!("[capture]\nfile = {file:?}\nmode = \"ring\"\nmemory = \"1MB\"\nspan = \"1m\"\n");
    let mut controller = Controller::with_engines(&engines, &ring);
    let mut client = controller.postgres_client();
    for _ in 0..20 {
        client
            .simple_query("select 1 /*class='fast'*/")
            .expect("the query succeeds");
    }
    controller.request_capture();
    controller.wait_for_status("capture_kept", |n| n == 1);
    let files: Vec<_> = std::fs::read_dir(dir.path())
        .expect("list the directory")
        .map(|e| e.expect("a directory entry").path())
        .collect();
    assert_eq!(files.len(), 1, "{files:?}");
    let verdict = wheelfield_replay::run(&files[0], wheelfield_replay::Options::default())
        .expect("replay the capture");
    assert!(verdict.equal() && verdict.steps > 60, "{verdict:?}");
    client
        .simple_query("select 1")
        .expect("the session remains usable");
}
