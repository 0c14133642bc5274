//! Sessions of clients: units, batches, errors in batches, and statements that the controller answers itself.

use bytes::{BufMut, BytesMut};
use wheelfield_pg::backend_messages::{self, Diagnostic};
use wheelfield_pg::client::{ClientEvent, Limits, Session, Unit};
use wheelfield_pg::frame;
use wheelfield_pg::frontend_messages;

fn started_session() -> Session {
    let mut session = Session::new(Limits::default(), 7, 99);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put_startup(
        &[("user", "ann"), ("database", "sales"), ("application_name", "psql")],
        &mut input,
    );
    let event = session.feed(&mut input, &mut out).expect("well-formed");
    assert!(matches!(event, Some(ClientEvent::Started(id)) if id.user == "ann" && id.database == "sales"));
    assert_eq!(tags(&out).chars().filter(|c| *c != 'S').collect::<String>(), "RKZ");
    session
}

/// The type bytes of the messages in a buffer.
fn tags(out: &[u8]) -> String {
    let mut buf = BytesMut::from(out);
    let mut tags = String::new();
    while let Some((tag, _)) = frame::take_message(&mut buf, usize::MAX).expect("well-formed") {
        tags.push(tag as char);
    }
    assert!(buf.is_empty(), "the buffer ends with an incomplete message");
    tags
}

fn sqlstate_of(out: &[u8]) -> String {
    let mut buf = BytesMut::from(out);
    while let Some((tag, message)) = frame::take_message(&mut buf, usize::MAX).expect("well-formed") {
        if tag == b'E' {
            return backend_messages::parse_sqlstate_and_message(&message).expect("well-formed").0;
        }
    }
    String::new()
}

fn put_message(tag: u8, body: &[u8], out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(body.len() as i32 + 4);
    out.put_slice(body);
}

fn put_parse(name: &str, sql: &str, out: &mut BytesMut) {
    put_message(b'P', &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat(), out);
}

fn put_bind(portal: &str, statement: &str, out: &mut BytesMut) {
    put_message(b'B', &[portal.as_bytes(), b"\0", statement.as_bytes(), b"\0\0\0\0\0\0\0"].concat(), out);
}

fn put_execute(portal: &str, out: &mut BytesMut) {
    put_message(b'E', &[portal.as_bytes(), b"\0\0\0\0\0"].concat(), out);
}

fn put_describe(kind: u8, name: &str, out: &mut BytesMut) {
    put_message(b'D', &[&[kind], name.as_bytes(), b"\0"].concat(), out);
}

fn put_sync(out: &mut BytesMut) {
    put_message(b'S', b"", out);
}

struct Harness {
    session: Session,
    input: BytesMut,
    out: BytesMut,
}

impl Harness {
    fn new() -> Harness {
        Harness { session: started_session(), input: BytesMut::new(), out: BytesMut::new() }
    }
    fn feed(&mut self) -> Option<ClientEvent> {
        self.session.feed(&mut self.input, &mut self.out).expect("well-formed")
    }
    fn expect_unit(&mut self) -> Unit {
        match self.feed() {
            Some(ClientEvent::Run(unit)) => unit,
            other => panic!("expected a unit, got {other:?}"),
        }
    }
    fn take_tags(&mut self) -> String {
        tags(&self.out.split())
    }
}

#[test]
fn a_simple_query_is_one_unit_and_ends_with_ready_for_query() {
    let mut harness = Harness::new();
    frontend_messages::put_query("select 1 /*class='fast',work_ms='20',id='a%20b'*/", &mut harness.input);
    let unit = harness.expect_unit();
    assert_eq!(tags(&unit.frames), "Q");
    assert!(!unit.open && !unit.describe_only);
    let hints = harness.session.hints(unit.text());
    assert_eq!(
        (hints.class.as_deref(), hints.work_ms, hints.id.as_deref()),
        (Some("fast"), Some(20.0), Some("a b"))
    );
    assert!(harness.feed().is_none(), "no further message is read while the unit runs");
    harness.session.unit_completed(false, &mut harness.out);
    assert_eq!(harness.take_tags(), "Z");
}

#[test]
fn a_batch_is_one_unit_that_prepares_its_statement_unnamed() {
    let mut harness = Harness::new();
    put_parse("s1", "select $1", &mut harness.input);
    put_bind("", "s1", &mut harness.input);
    put_describe(b'P', "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    let unit = harness.expect_unit();
    assert_eq!(harness.take_tags(), "12", "stored statements and portals are acknowledged by the controller");
    assert_eq!(tags(&unit.frames), "PBDES");
    assert_eq!(unit.suppress_acks, [true, true], "the acknowledgements of the engine are not forwarded");
    harness.session.unit_completed(false, &mut harness.out);
    assert_eq!(harness.take_tags(), "Z");
    // A later unit prepares the statement again, because it may be sent to another engine.
    put_bind("", "s1", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    let unit = harness.expect_unit();
    assert_eq!(tags(&unit.frames), "PBES");
    assert_eq!(unit.text(), "select $1");
}

#[test]
fn an_error_in_a_pipelined_batch_is_sent_in_order_and_skips_to_the_sync() {
    let mut harness = Harness::new();
    put_parse("", "select 1", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_parse("", "begin", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    frontend_messages::put_query("select 2", &mut harness.input);
    let unit = harness.expect_unit();
    assert_eq!(tags(&unit.frames), "PBES", "the messages before the error run first");
    harness.out.clear();
    harness.session.unit_completed(false, &mut harness.out);
    assert_eq!(sqlstate_of(&harness.out), "0A000");
    assert_eq!(harness.take_tags(), "E");
    let next = harness.expect_unit();
    assert_eq!(harness.take_tags(), "Z", "the messages up to the Sync are skipped");
    assert_eq!(next.text(), "select 2");
}

#[test]
fn a_query_error_in_a_batch_ends_the_batch() {
    let mut harness = Harness::new();
    put_parse("", "select 1/0", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    harness.expect_unit();
    harness.out.clear();
    harness.session.unit_completed(true, &mut harness.out);
    assert_eq!(harness.take_tags(), "Z");
}

#[test]
fn a_refused_batch_gets_one_error_and_ends_at_its_sync() {
    let mut harness = Harness::new();
    put_parse("", "select 1", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    harness.expect_unit();
    harness.out.clear();
    harness.session.unit_failed(&Diagnostic::error("53300", "full"), &mut harness.out);
    assert_eq!(harness.take_tags(), "EZ");
    // After a refused open unit, the rest of the batch is skipped.
    put_parse("", "select 1", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_message(b'H', b"", &mut harness.input);
    let unit = harness.expect_unit();
    assert!(unit.open);
    assert_eq!(tags(&unit.frames), "PBEH");
    harness.out.clear();
    harness.session.unit_failed(&Diagnostic::error("53300", "full"), &mut harness.out);
    assert_eq!(harness.take_tags(), "E");
    put_execute("", &mut harness.input);
    assert!(harness.feed().is_none());
    assert_eq!(harness.take_tags(), "");
    put_sync(&mut harness.input);
    assert!(harness.feed().is_none());
    assert_eq!(harness.take_tags(), "Z");
}

#[test]
fn an_open_unit_is_continued_until_its_sync() {
    let mut harness = Harness::new();
    put_parse("", "select 1", &mut harness.input);
    put_bind("", "", &mut harness.input);
    put_execute("", &mut harness.input);
    put_message(b'H', b"", &mut harness.input);
    harness.expect_unit();
    put_bind("b", "", &mut harness.input);
    put_execute("b", &mut harness.input);
    put_sync(&mut harness.input);
    match harness.feed() {
        Some(ClientEvent::More { frames, suppress_acks, is_last }) => {
            assert_eq!(tags(&frames), "BES");
            assert_eq!(suppress_acks, [false], "the acknowledgement of the engine is forwarded");
            assert!(is_last);
        }
        other => panic!("expected more of the unit, got {other:?}"),
    }
    harness.out.clear();
    harness.session.unit_completed(false, &mut harness.out);
    assert_eq!(harness.take_tags(), "Z");
}

#[test]
fn a_description_is_a_unit_that_executes_nothing() {
    let mut harness = Harness::new();
    put_parse("s", "select 1", &mut harness.input);
    put_describe(b'S', "s", &mut harness.input);
    put_sync(&mut harness.input);
    let unit = harness.expect_unit();
    assert!(unit.describe_only);
    assert_eq!(tags(&unit.frames), "PDS");
    harness.session.unit_completed(false, &mut harness.out);
    assert_eq!(harness.take_tags(), "1Z");
}

#[test]
fn local_statements_after_engine_statements_are_answered_in_order() {
    let mut harness = Harness::new();
    put_parse("q", "select 1", &mut harness.input);
    put_bind("", "q", &mut harness.input);
    put_execute("", &mut harness.input);
    put_parse("t", "set application_name = 'Report'", &mut harness.input);
    put_bind("", "t", &mut harness.input);
    put_execute("", &mut harness.input);
    put_sync(&mut harness.input);
    let unit = harness.expect_unit();
    assert_eq!(tags(&unit.frames), "PBES");
    harness.out.clear();
    harness.session.unit_completed(false, &mut harness.out);
    assert!(harness.feed().is_none());
    assert_eq!(
        harness.take_tags(),
        "12CSZ",
        "the SET is acknowledged and executed after the response of the engine"
    );
    frontend_messages::put_query("show application_name", &mut harness.input);
    harness.feed();
    assert!(harness.out.windows(6).any(|w| w == b"Report"), "the case of the value is preserved");
    assert_eq!(harness.take_tags(), "TDCZ");
}

#[test]
fn statements_that_drivers_send_are_answered_locally() {
    let mut harness = Harness::new();
    for sql in [
        "SET extra_float_digits = 3",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE",
        "SELECT version()",
        "select current_schema()",
        "SHOW TRANSACTION ISOLATION LEVEL",
        "show server_version",
        "RESET ALL",
        "DISCARD ALL",
        "ROLLBACK",
        "SET wheelfield.class = 'fast'",
        "",
        " ; -- nothing",
    ] {
        frontend_messages::put_query(sql, &mut harness.input);
        assert!(harness.feed().is_none(), "{sql}");
        let out = harness.out.split();
        assert!(tags(&out).ends_with('Z') && sqlstate_of(&out).is_empty(), "{sql}");
    }
    for (sql, sqlstate) in [
        ("BEGIN", "0A000"),
        ("start transaction", "0A000"),
        ("select 1; begin", "0A000"),
        ("copy t from stdin", "0A000"),
        ("create temp table t (x int)", "0A000"),
        ("listen x", "0A000"),
        ("set a = 1; select 2", "0A000"),
        ("show nonsense", "42704"),
        ("set wheelfield.work_ms = 'much'", "22023"),
        ("set client_encoding = 'latin1'", "0A000"),
    ] {
        frontend_messages::put_query(sql, &mut harness.input);
        assert!(harness.feed().is_none(), "{sql}");
        let out = harness.out.split();
        assert_eq!(sqlstate_of(&out), sqlstate, "{sql}");
        assert!(tags(&out).ends_with('Z'), "{sql}");
    }
}

#[test]
fn hints_can_be_set_for_the_session() {
    let mut harness = Harness::new();
    frontend_messages::put_query("set wheelfield.class = 'Slow One'", &mut harness.input);
    frontend_messages::put_query("set statement_timeout = '2s'", &mut harness.input);
    harness.feed();
    let hints = harness.session.hints("select 1 /*work_ms='9'*/");
    assert_eq!(
        (hints.class.as_deref(), hints.due_ms, hints.work_ms),
        (Some("Slow One"), Some(2000.0), Some(9.0))
    );
    assert_eq!(harness.session.hints("select 1 /*class='x'*/").class.as_deref(), Some("x"));
    let malformed = harness.session.hints("select 1 /*work_ms='much',colour='red',memory_mb='12'*/");
    assert_eq!((malformed.work_ms, malformed.memory_mb, malformed.ignored), (None, Some(12.0), 2));
}

#[test]
fn startup_packets_are_answered_and_limited() {
    let mut session = Session::new(Limits::default(), 7, 99);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    for _ in 0..4 {
        input.put_slice(&[0, 0, 0, 8, 4, 210, 22, 47]);
    }
    assert!(session.feed(&mut input, &mut out).expect("well-formed").is_none());
    assert_eq!(&out[..], b"NNNN");
    input.put_slice(&[0, 0, 0, 8, 4, 210, 22, 47]);
    assert!(session.feed(&mut input, &mut out).is_err());
    assert!(session.is_closed());
    // A newer minor version and an unknown protocol option lead to NegotiateProtocolVersion.
    let mut session = Session::new(Limits::default(), 7, 99);
    let body = b"\0\x03\0\x02user\0u\0_pq_.x\0y\0\0";
    input.clear();
    out.clear();
    input.put_i32(body.len() as i32 + 4);
    input.put_slice(body);
    assert!(matches!(session.feed(&mut input, &mut out), Ok(Some(ClientEvent::Started(_)))));
    assert!(tags(&out).starts_with("vR"));
    // A cancel request names its target, and closes the session of its own connection.
    let mut session = Session::new(Limits::default(), 7, 99);
    input.clear();
    frontend_messages::put_cancel(12, &bytes::Bytes::from_static(&[0, 0, 0, 34]), &mut input);
    match session.feed(&mut input, &mut out) {
        Ok(Some(ClientEvent::Cancel { pid, key })) => assert_eq!((pid, &key[..]), (12, &[0u8, 0, 0, 34][..])),
        other => panic!("{other:?}"),
    }
    assert!(session.is_closed());
}

#[test]
fn exceeded_limits_are_reported_to_the_client() {
    let limits = Limits { message_bytes: 1000, statements: 2, stored_bytes: 2000 };
    let mut session = Session::new(limits, 1, 1);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put_startup(&[("user", "u")], &mut input);
    session.feed(&mut input, &mut out).expect("started");
    out.clear();
    for name in ["a", "b", "c"] {
        put_parse(name, "select 1", &mut input);
    }
    put_sync(&mut input);
    session.feed(&mut input, &mut out).expect("well-formed");
    assert_eq!(sqlstate_of(&out), "53400");
    assert_eq!(tags(&out), "11EZ");
    out.clear();
    frontend_messages::put_query(&"x".repeat(2000), &mut input);
    assert!(session.feed(&mut input, &mut out).is_err());
    assert_eq!(sqlstate_of(&out), "54000");
    assert!(session.is_closed());
}

/// A statement that replaced the unnamed one counted as one more, so that the limit was reached one too early.
#[test]
fn a_statement_that_replaces_another_does_not_count_against_the_limit() {
    let limits = Limits { message_bytes: 1000, statements: 2, stored_bytes: 2000 };
    let mut session = Session::new(limits, 1, 1);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put_startup(&[("user", "u")], &mut input);
    session.feed(&mut input, &mut out).expect("started");
    out.clear();
    for name in ["a", "", ""] {
        put_parse(name, "select 1", &mut input);
    }
    put_sync(&mut input);
    session.feed(&mut input, &mut out).expect("well-formed");
    assert_eq!(tags(&out), "111Z");
}

fn answer_locally(session: &mut Session, input: &mut BytesMut) -> (String, String) {
    let mut out = BytesMut::new();
    let event = session.feed(input, &mut out).expect("well-formed");
    assert!(event.is_none(), "no statement needs an engine");
    (tags(&out), String::from_utf8_lossy(&out).into_owned())
}

#[test]
fn reset_statements_are_answered_as_by_a_server() {
    let mut session = started_session();
    // Connection pools of drivers send this text after each use.
    let mut input = BytesMut::new();
    let text = "SELECT pg_advisory_unlock_all();\nCLOSE ALL;\nUNLISTEN *;\nRESET ALL;";
    frontend_messages::put_query(text, &mut input);
    let (tags, output) = answer_locally(&mut session, &mut input);
    assert_eq!(tags, "TDCCCCZ");
    for tag in ["pg_advisory_unlock_all", "SELECT 1\0", "CLOSE CURSOR ALL\0", "UNLISTEN\0", "RESET\0"] {
        assert!(output.contains(tag), "{tag}: {output:?}");
    }
    for (text, tag) in [
        ("DISCARD ALL", "DISCARD ALL\0"),
        ("discard plans", "DISCARD PLANS\0"),
        ("DISCARD SEQUENCES;", "DISCARD SEQUENCES\0"),
        ("DISCARD TEMPORARY", "DISCARD TEMP\0"),
        ("DEALLOCATE ALL", "DEALLOCATE ALL\0"),
        ("deallocate prepare all", "DEALLOCATE ALL\0"),
        ("UNLISTEN news", "UNLISTEN\0"),
    ] {
        let mut input = BytesMut::new();
        frontend_messages::put_query(text, &mut input);
        let (tags, output) = answer_locally(&mut session, &mut input);
        assert!(tags == "CZ" && output.contains(tag), "{text}: {output:?}");
    }
    let mut input = BytesMut::new();
    frontend_messages::put_query("DISCARD EVERYTHING", &mut input);
    assert_eq!(answer_locally(&mut session, &mut input).0, "EZ");
    // Closing a cursor by name is not supported.
    let mut input = BytesMut::new();
    frontend_messages::put_query("CLOSE c", &mut input);
    assert_eq!(answer_locally(&mut session, &mut input).0, "EZ");
}

/// A driver kept the value from before a RESET, as nothing told it of the change, and SET ... = DEFAULT stored the word.
#[test]
fn a_setting_that_returns_to_its_default_is_reported() {
    for reset in
        ["RESET DateStyle", "SET DateStyle = DEFAULT", "SET datestyle TO default", "RESET ALL", "DISCARD ALL"]
    {
        let mut session = started_session();
        let mut answer = |text: &str| {
            let mut input = BytesMut::new();
            frontend_messages::put_query(text, &mut input);
            answer_locally(&mut session, &mut input)
        };
        answer("SET DateStyle = 'German'");
        answer("SET wheelfield.class = 'fast'");
        let (tags, output) = answer(reset);
        assert!(tags == "CSZ" && output.contains("DateStyle\0ISO, MDY\0"), "{reset}: {tags} {output:?}");
        let (_, output) = answer("SHOW DateStyle");
        assert!(output.contains("ISO, MDY"), "{reset}: {output:?}");
    }
    let mut session = started_session();
    let mut input = BytesMut::new();
    frontend_messages::put_query("SET application_name = 'default'", &mut input);
    let (_, output) = answer_locally(&mut session, &mut input);
    assert!(output.contains("application_name\0default\0"), "a value in quotes: {output:?}");
}

#[test]
fn deallocate_removes_only_the_named_statement() {
    let mut session = started_session();
    let mut input = BytesMut::new();
    put_parse("one", "select 1", &mut input);
    put_parse("two", "select 2", &mut input);
    put_message(b'S', b"", &mut input);
    assert_eq!(answer_locally(&mut session, &mut input).0, "11Z");
    for (text, tags) in [
        ("DEALLOCATE one", "CZ"),
        ("DEALLOCATE one", "EZ"),
        ("DEALLOCATE \"two\"", "CZ"),
        ("DEALLOCATE two", "EZ"),
    ] {
        let mut input = BytesMut::new();
        frontend_messages::put_query(text, &mut input);
        let (received, output) = answer_locally(&mut session, &mut input);
        assert_eq!(received, tags, "{text}");
        assert!(tags == "CZ" || output.contains("26000"), "{output:?}");
    }
}
