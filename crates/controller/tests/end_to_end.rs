//! The hard cases, each on real sockets: clients, a controller and stand-in engines.

mod common;

use bytes::BytesMut;
use common::{
    wait_until, Controller, Engines, RawClient, BASE_CONFIG, LISTEN_CONFIG, WAIT_TIMEOUT,
};
use postgres::{NoTls, SimpleQueryMessage};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

// --- a real client library, unmodified ---

#[test]
#[expect(clippy::too_many_lines, reason = "one long case")]
fn a_real_client_library_works_unmodified() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut client = controller.postgres_client();
    // Simple, with literals and their types.
    let rows = client
        .simple_query("select 1 as one, 'two'")
        .expect("simple");
    let SimpleQueryMessage::Row(row) = &rows[1] else {
        panic!("{rows:?}")
    };
    assert_eq!((row.get("one"), row.get(1)), (Some("1"), Some("two")));
    // Extended, with parameters echoed in their binary form.
    let row = client
        .query_one(
            "select $1::int4, $2::text, $3::bool",
            &[&42i32, &"text", &true],
        )
        .expect("extended");
    assert_eq!(
        (
            row.get::<_, i32>(0),
            row.get::<_, &str>(1),
            row.get::<_, bool>(2)
        ),
        (42, "text", true)
    );
    // Prepared once, executed often.
    let statement = client.prepare("select $1::int8").expect("prepared");
    for n in 0..20i64 {
        assert_eq!(
            client
                .query_one(&statement, &[&n])
                .expect("executed")
                .get::<_, i64>(0),
            n
        );
    }
    // A large result, streamed.
    let rows = client
        .query("select * from t /*rows='50000',row_bytes='200'*/", &[])
        .expect("large");
    assert_eq!(rows.len(), 50_000);
    assert_eq!(rows[49_999].get::<_, i64>(0), 50_000);
    // Errors of SQL are answers, and the session goes on.
    let error = client
        .simple_query("select 1 /*sqlstate='22012'*/")
        .expect_err("an error");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("22012".into())
    );
    assert_eq!(
        client
            .execute("insert into t values (1)", &[])
            .expect("a tag"),
        1
    );
    // Transaction blocks are told apart from failures.
    let error = client.transaction().err().expect("no blocks yet");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("0A000".into())
    );
    client
        .simple_query("set application_name = 'again'")
        .expect("still there");
    // A cancel from another thread.
    let token = client.cancel_token();
    let canceller = std::thread::spawn({
        let told = engines.address("control");
        move || {
            wait_until("a query in hand", || {
                common::http(&told, "GET", "/state")
                    .1
                    .contains("\"in_hand\":1")
            });
            token.cancel_query(NoTls).expect("sent");
        }
    });
    let error = client
        .simple_query("select 1 /*run_ms='15000',work_ms='100'*/")
        .expect_err("cancelled");
    canceller.join().expect("sent");
    assert_eq!(
        error.code().map(|c| c.code().to_string()),
        Some("57014".into())
    );
    wait_until("the engine to be free", || engines.running_queries() == 0);
    client.simple_query("select 1").expect("and goes on");
    assert_eq!(controller.status_value("queries_failed"), 0);
}

// --- clients that leave ---

#[test]
fn a_client_leaves_before_the_first_row() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='14000',work_ms='100',id='left'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    drop(raw);
    controller.wait_for_status("queries_departed", |n| n == 1);
    wait_until("the engine to be free", || engines.running_queries() == 0);
    wait_until("its end in the log", || {
        engines.log_entries("dropped", "left").len() == 1
    });
    assert_eq!(
        engines.log_entries("received", "left").len(),
        1,
        "nothing is sent after"
    );
    assert_eq!(controller.status_value("queries_held"), 0);
}

#[test]
fn a_client_leaves_after_the_first_row() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select * from t /*rows='100000000',row_bytes='100',id='rows'*/");
    while raw.read_message().0 != b'D' {}
    drop(raw);
    controller.wait_for_status("queries_departed", |n| n == 1);
    controller.wait_for_status("queries_held", |n| n == 0);
    // The engine's session was in the middle of an answer, and is not used again as it is.
    let mut next = controller.raw_client();
    next.query("select 7");
    assert_eq!(next.read_answer(), ("TDC".into(), String::new()));
    assert_eq!(engines.log_entries("received", "rows").len(), 1);
}

// --- engines that die ---

#[test]
fn an_engine_dies_after_accepting_a_once_only_query() {
    let engines = Engines::start(3);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("insert into t select 1 /*class='load',run_ms='14000',work_ms='100',id='once'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    let line = engines.first_log_entry("received", "once");
    let name = line["engine"].as_str().expect("a name").to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    assert_eq!(raw.read_answer(), ("E".into(), "08007".into()));
    assert_eq!(
        engines.log_entries("received", "once").len(),
        1,
        "never sent again"
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
fn an_engine_dies_and_a_repeatable_query_goes_to_another() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='400',work_ms='400',id='again'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    let line = engines.first_log_entry("received", "again");
    let name = line["engine"].as_str().expect("a name").to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    assert_eq!(raw.read_answer(), ("TDC".into(), String::new()));
    let received = engines.log_entries("received", "again");
    assert_eq!(received.len(), 2);
    assert_ne!(received[1]["engine"], name.as_str());
}

#[test]
fn an_engine_dies_between_two_rows() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    raw.query("select * from t /*rows='100000000',row_bytes='1000',id='rows'*/");
    while raw.read_message().0 != b'D' {}
    let name = engines.first_log_entry("received", "rows")["engine"]
        .as_str()
        .expect("a name")
        .to_string();
    engines.inject_fault(name[7..].parse().expect("a number"), "kill", 1.0);
    let (tags, state) = raw.read_answer();
    assert_eq!(
        (tags.as_str(), state.as_str()),
        ("DE", "08007"),
        "rows, then one error"
    );
    raw.query("select 7");
    assert_eq!(
        raw.read_answer(),
        ("TDC".into(), String::new()),
        "the session goes on"
    );
    assert_eq!(
        engines.log_entries("received", "rows").len(),
        1,
        "what has begun is not tried again"
    );
}

#[test]
fn a_named_statement_is_executed_after_its_engine_is_gone() {
    let engines = Engines::start(2);
    let controller = Controller::with_engines(&engines, "");
    let mut client = controller.postgres_client();
    let statement = client.prepare("select $1::int4").expect("prepared");
    assert_eq!(
        client
            .query_one(&statement, &[&1i32])
            .expect("executed")
            .get::<_, i32>(0),
        1
    );
    for engine in [1, 2] {
        engines.inject_fault(engine, "kill", 1.0);
        assert_eq!(
            client
                .query_one(&statement, &[&2i32])
                .expect("prepared elsewhere")
                .get::<_, i32>(0),
            2
        );
        engines.inject_fault(engine, "start", 1.0);
    }
}

#[test]
fn an_engine_drains_while_a_session_with_it_is_under_way() {
    let engines = Engines::start(2);
    let registry = engines.address("registry");
    let more = format!(
        "[timing]\nconnect = \"10s\"\n[registry]\naddress = {registry:?}\nevery = \"50ms\"\n"
    );
    let controller = Controller::start(&format!("{LISTEN_CONFIG}{BASE_CONFIG}{more}"));
    controller.wait_for_status("list_version", |v| v >= 1);
    // The engine accepts a connection (the system does) but says nothing: the session stays under way.
    engines.inject_fault(1, "hang", 1.0);
    engines.inject_fault(2, "hang", 1.0);
    let mut raw = controller.raw_client();
    raw.query("insert into t select 1 /*class='load',work_ms='10',id='drained'*/");
    controller.wait_for_status("engine_sessions", |n| n == 1);
    let attempts = || controller.status_value("attempts");
    assert_eq!(attempts(), 1);
    // Whichever it is, it drains; the other gets well.
    engines.inject_fault(1, "drain", 1.0);
    engines.inject_fault(2, "drain", 1.0);
    wait_until("the attempt taken back", || {
        controller.status_value("queries_held") == 0
    });
    let (_, state) = raw.read_answer();
    assert_eq!(state, "53300", "it never ran, so it is refused, not failed");
    engines.inject_fault(1, "hang", 0.0);
    engines.inject_fault(2, "hang", 0.0);
    assert!(
        engines.log_entries("received", "drained").is_empty(),
        "nothing went to an engine that drains"
    );
}

// --- cancels ---

#[test]
fn a_cancel_at_each_stage() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    // With nothing running it does nothing.
    raw.cancel();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
    // With the wrong key it does nothing.
    raw.query("select 1 /*run_ms='300'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    let mut stranger = controller.raw_client();
    (stranger.process_id, stranger.cancel_key) =
        (raw.process_id, bytes::Bytes::from_static(&[1, 2, 3, 4]));
    stranger.cancel();
    assert_eq!(raw.read_answer().0, "TDC");
    // While the engine works.
    raw.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    raw.cancel();
    assert_eq!(raw.read_answer(), ("E".into(), "57014".into()));
    wait_until("the engine to be free", || engines.running_queries() == 0);
    // After the first rows.
    raw.query("select * from t /*rows='100000000',row_bytes='1000'*/");
    while raw.read_message().0 != b'D' {}
    raw.cancel();
    assert_eq!(raw.read_answer(), ("DE".into(), "57014".into()));
    // Before a session with the engine is there.
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
fn cancels_that_cross_the_answer_never_hit_the_next_query() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    let mut raw = controller.raw_client();
    let mut cancelled = 0;
    for n in 0..150 {
        raw.query(&format!("select {n} /*run_ms='{}',work_ms='1'*/", n % 4));
        raw.cancel();
        let (tags, state) = raw.read_answer();
        // Either the answer or the cancel came first: one final answer in any case.
        assert!(
            tags == "TDC" || (tags == "E" && state == "57014"),
            "{tags} {state}"
        );
        cancelled += usize::from(tags == "E");
        raw.query("select 'mine'");
        assert_eq!(
            raw.read_answer(),
            ("TDC".into(), String::new()),
            "after {cancelled} cancelled"
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
    let (tags, state) = raw.read_answer();
    assert_eq!(state, "22012");
    assert_eq!(
        tags, "12DC12E",
        "the first runs, the second fails, the third is skipped"
    );
    assert!(engines.log_entries("received", "third").is_empty());
    // An error of our own in the middle comes in its turn too.
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
fn a_portal_is_read_in_parts_over_an_open_batch() {
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
        "the rest comes from the same engine"
    );
    assert_eq!(engines.log_entries("received", "parts").len(), 1);
    assert_eq!(
        controller.status_value("queries_taken"),
        1,
        "one query to the module"
    );
}

// --- clients that are a nuisance cost themselves only ---

#[test]
fn garbage_oversized_and_endless_startups_end_their_own_connection() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(
        &engines,
        "[limits]\nmessage = \"64KB\"\n[timing]\nstartup = \"300ms\"\n",
    );
    let mut good = controller.raw_client();
    let ends = |mut stream: TcpStream| {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        String::from_utf8_lossy(&all).into_owned()
    };
    let open = || TcpStream::connect(controller.address).expect("it listens");
    // Garbage where a startup belongs.
    let mut stream = open();
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("it reads");
    assert!(ends(stream).contains("08P01"));
    // A startup that never comes, and half of one.
    assert!(ends(open()).contains("no startup packet in time"));
    let mut stream = open();
    stream.write_all(&[0, 0, 0, 80, 0, 3]).expect("it reads");
    assert!(ends(stream).contains("no startup packet in time"));
    // A message over the limit, and one with a length that can't be.
    let mut raw = controller.raw_client();
    raw.query(&"x".repeat(100_000));
    assert!(ends(raw.stream).contains("54000"));
    let mut raw = controller.raw_client();
    raw.send(b"Q\0\0\0\x01");
    assert!(ends(raw.stream).contains("08P01"));
    // Garbage in the middle of a query: it is withdrawn with its client.
    let mut raw = controller.raw_client();
    raw.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    drop(raw);
    wait_until("the engine to be free", || engines.running_queries() == 0);
    good.query("select 1");
    assert_eq!(good.read_answer().0, "TDC");
    assert!(controller.status_value("clients_malformed") >= 3);
}

#[test]
fn one_client_too_many_is_told_so() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "[limits]\nclients = 3\n");
    let mut some: Vec<RawClient> = (0..3).map(|_| controller.raw_client()).collect();
    let mut stream = TcpStream::connect(controller.address).expect("it listens");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a socket");
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    assert!(String::from_utf8_lossy(&all).contains("too many clients"));
    some.pop();
    controller.wait_for_status("clients", |n| n == 2);
    controller.raw_client().query("select 1");
}

#[test]
fn full_books_refuse_and_say_that_nothing_ran() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "[limits]\nqueries = 1\n");
    let mut first = controller.raw_client();
    first.query("select 1 /*run_ms='14000',work_ms='100'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    let mut second = controller.raw_client();
    second.query("select 2 /*id='second'*/");
    assert_eq!(second.read_answer(), ("E".into(), "53300".into()));
    assert!(engines.log_entries("received", "second").is_empty());
    first.cancel();
    assert_eq!(first.read_answer().1, "57014");
}

// --- time ---

#[test]
fn at_its_time_a_query_gets_its_answer() {
    let engines = Engines::start(1);
    let controller = Controller::with_engines(&engines, "");
    engines.inject_fault(1, "hang", 1.0);
    let mut raw = controller.raw_client();
    for (class, state) in [("fast", "53300"), ("load", "08007")] {
        // The session exists before the hang for the second, so that its bytes are written.
        engines.inject_fault(1, "hang", 0.0);
        raw.query("select 1");
        assert_eq!(raw.read_answer().0, "TDC");
        engines.inject_fault(1, "hang", 1.0);
        raw.query(&format!("select 1 /*class='{class}',due_ms='300'*/"));
        assert_eq!(raw.read_answer(), ("E".into(), state.into()), "{class}");
    }
    engines.inject_fault(1, "hang", 0.0);
}

// --- beside queries ---

#[test]
fn datagrams_garbled_doubled_or_from_a_stranger_are_dropped() {
    use wheelfield::interface::{LoadReport, PeerLoadReport};
    let engines = Engines::start(1);
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let more = format!(
        "[means]\nmessages = true\n[controller]\nindex = 0\ncount = 3\n[peers]\nlisten = \"127.0.0.1:0\"\naddresses = [\"{}\"]\n",
        peer.local_addr().expect("bound")
    );
    let body = BASE_CONFIG.replace("[means]\ncancel = true\n", "");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}{more}{}",
        engines.config_entries()
    ));
    let to = controller.peers.clone().expect("told");
    let word = PeerLoadReport {
        engine: wheelfield_config::engine_id("engine-01"),
        report: LoadReport {
            utilisation: Some(0.5),
            ..LoadReport::default()
        },
    };
    let good = wheelfield_pg_gateway::peers::Speaker::new(1, 1)
        .datagrams(&[word])
        .remove(0);
    let mut garbled = good.clone();
    garbled[10] ^= 1;
    peer.send_to(&garbled, &to).expect("sent");
    peer.send_to(&good, &to).expect("sent");
    peer.send_to(&good, &to).expect("sent");
    UdpSocket::bind("127.0.0.1:0")
        .expect("a port")
        .send_to(&good, &to)
        .expect("sent");
    peer.send_to(&[0; 3000], &to).expect("sent");
    controller.wait_for_status("messages_dropped", |n| n == 4);
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
}

#[test]
fn a_registry_that_lies_or_is_away_leaves_the_last_list() {
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
    assert_eq!(raw.read_answer().0, "TDC", "by the last list");
    engines.inject_fault(1, "drain", 1.0);
    controller.wait_for_status("list_version", |v| v == 2);
    for n in 0..20 {
        raw.query(&format!("select {n} /*id='n{n}'*/"));
        assert_eq!(raw.read_answer().0, "TDC");
        let line = engines.first_log_entry("received", &format!("n{n}"));
        assert_eq!(
            line["engine"], "engine-02",
            "nothing new to the one that drains"
        );
    }
}

#[test]
fn a_stop_answers_what_was_taken_and_ends() {
    let engines = Engines::start(1);
    let mut controller = Controller::with_engines(&engines, "");
    let mut idle = controller.raw_client();
    let mut busy = controller.raw_client();
    busy.query("select 1 /*run_ms='500',work_ms='500'*/");
    wait_until("the query at an engine", || engines.running_queries() == 1);
    controller.request_shutdown();
    let (tag, message) = idle.read_message();
    assert_eq!(
        (
            tag,
            wheelfield_pg::back::trouble(&message)
                .expect("fields")
                .0
                .as_str()
        ),
        (b'E', "57P01")
    );
    assert!(idle.try_read_message().is_none());
    assert_eq!(
        busy.read_answer(),
        ("TDC".into(), String::new()),
        "what was taken is answered"
    );
    assert!(
        TcpStream::connect(controller.address).is_err(),
        "no new clients"
    );
    controller.join();
}

#[test]
fn where_nothing_can_be_withdrawn_rows_stop_with_the_answer_all_the_same() {
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
            "and nothing of the first"
        );
    }
}

#[test]
fn engines_are_probed_where_reports_come_by_probe_alone() {
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
    // A round goes to every engine, and opens a session with the one that has had no query.
    controller.wait_for_status("engine_sessions", |n| n >= 2);
    let before = controller.status_value("probes_answered");
    controller.wait_for_status("probes_answered", |n| n >= before + 4);
    // An engine that does not answer costs its probe, and no query.
    engines.inject_fault(1, "hang", 1.0);
    controller.wait_for_status("probes_lost", |n| n >= 1);
    engines.inject_fault(1, "hang", 0.0);
    raw.query("select 2");
    assert_eq!(raw.read_answer().0, "TDC");
}

#[test]
fn where_the_list_must_be_asked_for_it_is_and_again_after_a_failure() {
    let engines = Engines::start(2);
    let control = engines.address("control");
    common::http(&control, "POST", "/registry?unavailable_ms=300");
    let body = BASE_CONFIG.replace("cancel = true", "cancel = true\nsubscribe = true");
    let registry = engines.address("registry");
    let controller = Controller::start(&format!(
        "{LISTEN_CONFIG}{body}[registry]\naddress = {registry:?}\n"
    ));
    // The first call fails; the module asks again in its own time.
    controller.wait_for_status("list_version", |v| v == 1);
    let mut raw = controller.raw_client();
    raw.query("select 1");
    assert_eq!(raw.read_answer().0, "TDC");
    engines.inject_fault(1, "drain", 1.0);
    controller.wait_for_status("list_version", |v| v == 2);
}

// --- a capture in memory ---

#[test]
fn what_is_held_in_memory_is_written_when_asked_for_and_replays() {
    let dir = tempfile::tempdir().expect("a directory");
    let engines = Engines::start(2);
    let file = dir.path().join("c.wfcap");
    let ring =
        format!("[capture]\nfile = {file:?}\nmode = \"ring\"\nmemory = \"1MB\"\nspan = \"1m\"\n");
    let mut controller = Controller::with_engines(&engines, &ring);
    let mut client = controller.postgres_client();
    for _ in 0..20 {
        client
            .simple_query("select 1 /*class='fast'*/")
            .expect("served");
    }
    controller.request_capture();
    controller.wait_for_status("capture_kept", |n| n == 1);
    let files: Vec<_> = std::fs::read_dir(dir.path())
        .expect("a folder")
        .map(|e| e.expect("an entry").path())
        .collect();
    assert_eq!(files.len(), 1, "{files:?}");
    let verdict =
        wheelfield_replay::run(&files[0], wheelfield_replay::Options::default()).expect("whole");
    assert!(verdict.equal() && verdict.steps > 60, "{verdict:?}");
    client.simple_query("select 1").expect("and goes on");
}
