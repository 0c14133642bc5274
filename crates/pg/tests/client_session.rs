//! A client's session: units, batches, errors in the middle, and what the controller answers itself.

use bytes::{BufMut, BytesMut};
use wheelfield_pg::backend_messages::{self, Diagnostic};
use wheelfield_pg::client::{ClientEvent, Limits, Session, Unit};
use wheelfield_pg::frame;
use wheelfield_pg::frontend_messages;

fn session() -> Session {
    let mut session = Session::new(Limits::default(), 7, 99);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put_startup(
        &[("user", "ann"), ("database", "sales"), ("application_name", "psql")],
        &mut input,
    );
    let ask = session.feed(&mut input, &mut out).expect("well-formed");
    assert!(matches!(ask, Some(ClientEvent::Started(id)) if id.user == "ann" && id.database == "sales"));
    assert_eq!(tags(&out).chars().filter(|c| *c != 'S').collect::<String>(), "RKZ");
    session
}

/// The types of the messages in a buffer.
fn tags(out: &[u8]) -> String {
    let mut buf = BytesMut::from(out);
    let mut tags = String::new();
    while let Some((tag, _)) = frame::take_message(&mut buf, usize::MAX).expect("well-formed") {
        tags.push(tag as char);
    }
    assert!(buf.is_empty(), "a torn message");
    tags
}

fn state_of(out: &[u8]) -> String {
    let mut buf = BytesMut::from(out);
    while let Some((tag, message)) = frame::take_message(&mut buf, usize::MAX).expect("well-formed") {
        if tag == b'E' {
            return backend_messages::parse_sqlstate_and_message(&message).expect("well-formed").0;
        }
    }
    String::new()
}

fn message(tag: u8, body: &[u8], out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(body.len() as i32 + 4);
    out.put_slice(body);
}

fn parse(name: &str, sql: &str, out: &mut BytesMut) {
    message(b'P', &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat(), out);
}

fn bind(portal: &str, statement: &str, out: &mut BytesMut) {
    message(b'B', &[portal.as_bytes(), b"\0", statement.as_bytes(), b"\0\0\0\0\0\0\0"].concat(), out);
}

fn execute(portal: &str, out: &mut BytesMut) {
    message(b'E', &[portal.as_bytes(), b"\0\0\0\0\0"].concat(), out);
}

fn describe(kind: u8, name: &str, out: &mut BytesMut) {
    message(b'D', &[&[kind], name.as_bytes(), b"\0"].concat(), out);
}

fn sync(out: &mut BytesMut) {
    message(b'S', b"", out);
}

struct Rig {
    session: Session,
    input: BytesMut,
    out: BytesMut,
}

impl Rig {
    fn new() -> Rig {
        Rig { session: session(), input: BytesMut::new(), out: BytesMut::new() }
    }
    fn feed(&mut self) -> Option<ClientEvent> {
        self.session.feed(&mut self.input, &mut self.out).expect("well-formed")
    }
    fn unit(&mut self) -> Unit {
        match self.feed() {
            Some(ClientEvent::Run(unit)) => unit,
            other => panic!("expected a unit, got {other:?}"),
        }
    }
    fn took(&mut self) -> String {
        tags(&self.out.split())
    }
}

#[test]
fn a_simple_query_is_a_unit_and_ends_ready() {
    let mut rig = Rig::new();
    frontend_messages::put_query("select 1 /*class='fast',work_ms='20',id='a%20b'*/", &mut rig.input);
    let unit = rig.unit();
    assert_eq!(tags(&unit.frames), "Q");
    assert!(!unit.open && !unit.describe_only);
    let hints = rig.session.hints(unit.text());
    assert_eq!(
        (hints.class.as_deref(), hints.work_ms, hints.id.as_deref()),
        (Some("fast"), Some(20.0), Some("a b"))
    );
    assert!(rig.feed().is_none(), "nothing more is read while it runs");
    rig.session.unit_completed(false, &mut rig.out);
    assert_eq!(rig.took(), "Z");
}

#[test]
fn a_batch_is_one_unit_with_its_statement_prepared_without_a_name() {
    let mut rig = Rig::new();
    parse("s1", "select $1", &mut rig.input);
    bind("", "s1", &mut rig.input);
    describe(b'P', "", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    let unit = rig.unit();
    assert_eq!(rig.took(), "12", "what is kept here is acknowledged here");
    assert_eq!(tags(&unit.frames), "PBDES");
    assert_eq!(unit.suppress_acks, [true, true], "the engine's acknowledgements are kept from the client");
    rig.session.unit_completed(false, &mut rig.out);
    assert_eq!(rig.took(), "Z");
    // Executed again, it is prepared again, wherever it goes.
    bind("", "s1", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    let unit = rig.unit();
    assert_eq!(tags(&unit.frames), "PBES");
    assert_eq!(unit.text(), "select $1");
}

#[test]
fn an_error_in_the_middle_of_a_pipelined_batch_comes_in_its_turn_and_skips_to_the_sync() {
    let mut rig = Rig::new();
    parse("", "select 1", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    parse("", "begin", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    frontend_messages::put_query("select 2", &mut rig.input);
    let unit = rig.unit();
    assert_eq!(tags(&unit.frames), "PBES", "what came before the error runs first");
    rig.out.clear();
    rig.session.unit_completed(false, &mut rig.out);
    assert_eq!(state_of(&rig.out), "0A000");
    assert_eq!(rig.took(), "E");
    let next = rig.unit();
    assert_eq!(rig.took(), "Z", "skipped to the Sync");
    assert_eq!(next.text(), "select 2");
}

#[test]
fn an_engines_error_in_a_batch_ends_it() {
    let mut rig = Rig::new();
    parse("", "select 1/0", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    rig.unit();
    rig.out.clear();
    rig.session.unit_completed(true, &mut rig.out);
    assert_eq!(rig.took(), "Z");
}

#[test]
fn a_refused_batch_is_told_once_and_ends_at_its_sync() {
    let mut rig = Rig::new();
    parse("", "select 1", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    rig.unit();
    rig.out.clear();
    rig.session.unit_failed(&Diagnostic::error("53300", "full"), &mut rig.out);
    assert_eq!(rig.took(), "EZ");
    // Of a batch that was flushed and is open, the rest is skipped.
    parse("", "select 1", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    message(b'H', b"", &mut rig.input);
    let unit = rig.unit();
    assert!(unit.open);
    assert_eq!(tags(&unit.frames), "PBEH");
    rig.out.clear();
    rig.session.unit_failed(&Diagnostic::error("53300", "full"), &mut rig.out);
    assert_eq!(rig.took(), "E");
    execute("", &mut rig.input);
    assert!(rig.feed().is_none());
    assert_eq!(rig.took(), "");
    sync(&mut rig.input);
    assert!(rig.feed().is_none());
    assert_eq!(rig.took(), "Z");
}

#[test]
fn an_open_unit_takes_more_until_its_sync() {
    let mut rig = Rig::new();
    parse("", "select 1", &mut rig.input);
    bind("", "", &mut rig.input);
    execute("", &mut rig.input);
    message(b'H', b"", &mut rig.input);
    rig.unit();
    bind("b", "", &mut rig.input);
    execute("b", &mut rig.input);
    sync(&mut rig.input);
    match rig.feed() {
        Some(ClientEvent::More { frames, suppress_acks, is_last }) => {
            assert_eq!(tags(&frames), "BES");
            assert_eq!(suppress_acks, [false], "this acknowledgement comes in its turn from the engine");
            assert!(is_last);
        }
        other => panic!("expected more, got {other:?}"),
    }
    rig.out.clear();
    rig.session.unit_completed(false, &mut rig.out);
    assert_eq!(rig.took(), "Z");
}

#[test]
fn a_description_is_a_unit_that_runs_nothing() {
    let mut rig = Rig::new();
    parse("s", "select 1", &mut rig.input);
    describe(b'S', "s", &mut rig.input);
    sync(&mut rig.input);
    let unit = rig.unit();
    assert!(unit.describe_only);
    assert_eq!(tags(&unit.frames), "PDS");
    rig.session.unit_completed(false, &mut rig.out);
    assert_eq!(rig.took(), "1Z");
}

#[test]
fn own_statements_amid_an_engines_keep_their_turn() {
    let mut rig = Rig::new();
    parse("q", "select 1", &mut rig.input);
    bind("", "q", &mut rig.input);
    execute("", &mut rig.input);
    parse("t", "set application_name = 'Report'", &mut rig.input);
    bind("", "t", &mut rig.input);
    execute("", &mut rig.input);
    sync(&mut rig.input);
    let unit = rig.unit();
    assert_eq!(tags(&unit.frames), "PBES");
    rig.out.clear();
    rig.session.unit_completed(false, &mut rig.out);
    assert!(rig.feed().is_none());
    assert_eq!(rig.took(), "12CSZ", "acknowledged, set and told behind the engine's answer");
    frontend_messages::put_query("show application_name", &mut rig.input);
    rig.feed();
    assert!(rig.out.windows(6).any(|w| w == b"Report"), "as it was written");
    assert_eq!(rig.took(), "TDCZ");
}

#[test]
fn chatter_of_drivers_is_answered_here() {
    let mut rig = Rig::new();
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
        frontend_messages::put_query(sql, &mut rig.input);
        assert!(rig.feed().is_none(), "{sql}");
        let out = rig.out.split();
        assert!(tags(&out).ends_with('Z') && state_of(&out).is_empty(), "{sql}");
    }
    for (sql, state) in [
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
        frontend_messages::put_query(sql, &mut rig.input);
        assert!(rig.feed().is_none(), "{sql}");
        let out = rig.out.split();
        assert_eq!(state_of(&out), state, "{sql}");
        assert!(tags(&out).ends_with('Z'), "{sql}");
    }
}

#[test]
fn hints_may_be_set_for_the_session() {
    let mut rig = Rig::new();
    frontend_messages::put_query("set wheelfield.class = 'Slow One'", &mut rig.input);
    frontend_messages::put_query("set statement_timeout = '2s'", &mut rig.input);
    rig.feed();
    let hints = rig.session.hints("select 1 /*work_ms='9'*/");
    assert_eq!(
        (hints.class.as_deref(), hints.due_ms, hints.work_ms),
        (Some("Slow One"), Some(2000.0), Some(9.0))
    );
    assert_eq!(rig.session.hints("select 1 /*class='x'*/").class.as_deref(), Some("x"));
    let odd = rig.session.hints("select 1 /*work_ms='much',colour='red',memory_mb='12'*/");
    assert_eq!((odd.work_ms, odd.memory_mb, odd.ignored), (None, Some(12.0), 2));
}

#[test]
fn openings_are_answered_and_bounded() {
    let mut session = Session::new(Limits::default(), 7, 99);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    for _ in 0..4 {
        input.put_slice(&[0, 0, 0, 8, 4, 210, 22, 47]);
    }
    assert!(session.feed(&mut input, &mut out).expect("asked for TLS").is_none());
    assert_eq!(&out[..], b"NNNN");
    input.put_slice(&[0, 0, 0, 8, 4, 210, 22, 47]);
    assert!(session.feed(&mut input, &mut out).is_err());
    assert!(session.is_closed());
    // A newer minor version, and an option nobody knows, are negotiated down.
    let mut session = Session::new(Limits::default(), 7, 99);
    let body = b"\0\x03\0\x02user\0u\0_pq_.x\0y\0\0";
    input.clear();
    out.clear();
    input.put_i32(body.len() as i32 + 4);
    input.put_slice(body);
    assert!(matches!(session.feed(&mut input, &mut out), Ok(Some(ClientEvent::Started(_)))));
    assert!(tags(&out).starts_with("vR"));
    // A cancel names its target and is the last of its connection.
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
fn what_is_too_much_is_told_and_costs_the_client_itself() {
    let limits = Limits { message_bytes: 1000, statements: 2, stored_bytes: 2000 };
    let mut session = Session::new(limits, 1, 1);
    let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
    frontend_messages::put_startup(&[("user", "u")], &mut input);
    session.feed(&mut input, &mut out).expect("started");
    out.clear();
    for name in ["a", "b", "c"] {
        parse(name, "select 1", &mut input);
    }
    sync(&mut input);
    session.feed(&mut input, &mut out).expect("well-formed");
    assert_eq!(state_of(&out), "53400");
    assert_eq!(tags(&out), "11EZ");
    out.clear();
    frontend_messages::put_query(&"x".repeat(2000), &mut input);
    assert!(session.feed(&mut input, &mut out).is_err());
    assert_eq!(state_of(&out), "54000");
    assert!(session.is_closed());
}

fn told(session: &mut Session, input: &mut BytesMut) -> (String, String) {
    let mut out = BytesMut::new();
    let asked = session.feed(input, &mut out).expect("well-formed");
    assert!(asked.is_none(), "nothing of it is for an engine");
    (tags(&out), String::from_utf8_lossy(&out).into_owned())
}

#[test]
fn resets_of_a_session_that_holds_nothing_are_answered_as_a_server_would() {
    let mut session = session();
    // As drivers' pools send it after each use, in one text.
    let mut input = BytesMut::new();
    let text = "SELECT pg_advisory_unlock_all();\nCLOSE ALL;\nUNLISTEN *;\nRESET ALL;";
    frontend_messages::put_query(text, &mut input);
    let (tags, words) = told(&mut session, &mut input);
    assert_eq!(tags, "TDCCCCZ");
    for tag in ["pg_advisory_unlock_all", "SELECT 1\0", "CLOSE CURSOR ALL\0", "UNLISTEN\0", "RESET\0"] {
        assert!(words.contains(tag), "{tag}: {words:?}");
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
        let (tags, words) = told(&mut session, &mut input);
        assert!(tags == "CZ" && words.contains(tag), "{text}: {words:?}");
    }
    let mut input = BytesMut::new();
    frontend_messages::put_query("DISCARD EVERYTHING", &mut input);
    assert_eq!(told(&mut session, &mut input).0, "EZ");
    // A cursor that was never there is not closed by name.
    let mut input = BytesMut::new();
    frontend_messages::put_query("CLOSE c", &mut input);
    assert_eq!(told(&mut session, &mut input).0, "EZ");
}

#[test]
fn deallocate_takes_one_statement_and_leaves_the_others() {
    let mut session = session();
    let mut input = BytesMut::new();
    parse("one", "select 1", &mut input);
    parse("two", "select 2", &mut input);
    message(b'S', b"", &mut input);
    assert_eq!(told(&mut session, &mut input).0, "11Z");
    for (text, tags) in [
        ("DEALLOCATE one", "CZ"),
        ("DEALLOCATE one", "EZ"),
        ("DEALLOCATE \"two\"", "CZ"),
        ("DEALLOCATE two", "EZ"),
    ] {
        let mut input = BytesMut::new();
        frontend_messages::put_query(text, &mut input);
        let (got, words) = told(&mut session, &mut input);
        assert_eq!(got, tags, "{text}");
        assert!(tags == "CZ" || words.contains("26000"), "{words:?}");
    }
}
