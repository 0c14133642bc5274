//! No input makes a session panic, grow, or answer out of turn.

use bytes::BytesMut;
use proptest::prelude::*;
use wheelfield_pg::backend::{Backend, BackendEvent};
use wheelfield_pg::client::{ClientEvent, Limits, Session};
use wheelfield_pg::{backend_messages, frontend_messages, sql};

fn frames() -> impl Strategy<Value = Vec<u8>> {
    let tag = prop::sample::select(b"QPBDECHSXdcfFpZTCEN123ntIsRKAG".to_vec());
    let body =
        prop::collection::vec(prop::sample::select(b"\0\x01\x02\x03\xffSPselect;1'$/*".to_vec()), 0..24);
    let frame = (tag, body, 0u8..20).prop_map(|(tag, body, skew)| {
        let length = body.len() as i32 + 4 + i32::from(skew == 0) - i32::from(skew == 1);
        [&[tag][..], &length.to_be_bytes(), &body].concat()
    });
    prop::collection::vec(frame, 0..20).prop_map(|all| all.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_client_may_send_anything(bytes in frames(), cut in 1usize..50, garbage in any::<bool>()) {
        let limits = Limits { message_bytes: 4096, statements: 8, stored_bytes: 8192 };
        let mut session = Session::new(limits, 1, 2);
        let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
        if !garbage {
            frontend_messages::put_startup(&[("user", "u")], &mut input);
        }
        for part in bytes.chunks(cut) {
            input.extend_from_slice(part);
            for _ in 0..40 {
                match session.feed(&mut input, &mut out) {
                    Ok(Some(ClientEvent::Run(unit))) => {
                        prop_assert!(unit.frames.len() <= 3 * 8192);
                        if unit.describe_only { session.unit_completed(false, &mut out) }
                        else { session.unit_failed(&backend_messages::Diagnostic::error("53300", "full"), &mut out) }
                    }
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => break,
                }
            }
            prop_assert!(input.len() <= 4096 + 50 + 10_000);
        }
    }

    #[test]
    fn an_engine_may_send_anything(bytes in frames(), cut in 1usize..50, late in any::<bool>()) {
        let mut out = BytesMut::new();
        let mut backend = Backend::start("u", "d", "a", &mut out);
        let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
        if late {
            backend_messages::put_authentication_ok(&mut input);
            backend_messages::put_ready_for_query(b'I', &mut input);
            prop_assert_eq!(backend.feed(&mut input, &mut sink, 4096), Ok(BackendEvent::Started));
            backend.run(None, b"x", &[true, false], false, &mut out);
        }
        for part in bytes.chunks(cut) {
            input.extend_from_slice(part);
            for _ in 0..100 {
                match backend.feed(&mut input, &mut sink, 4096) {
                    Ok(BackendEvent::ResponseStarted) => backend.start_response(&mut sink),
                    Ok(BackendEvent::Pending) | Err(_) => break,
                    Ok(_) => {}
                }
            }
        }
    }

    #[test]
    fn any_text_is_scanned(text in "[a-z'\"$/*;\\- \n\\\\]{0,60}") {
        let statements = sql::statements(&text);
        prop_assert!(statements.iter().map(|s| s.len()).sum::<usize>() <= text.len());
        sql::kind(&text);
        sql::hints(&text);
        sql::normalized(&text);
    }
}

#[test]
fn statements_end_where_they_end() {
    assert_eq!(sql::statements("select ';'; select 2;;").len(), 2);
    assert_eq!(sql::statements("select $$a;b$$, $x$;$x$; -- c;\n/* ; /* ; */ */").len(), 1);
    assert_eq!(sql::statements("select E'it\\'s;', \"a;\"\"b\" from t where x = $1;").len(), 1);
    assert_eq!(sql::kind("/* a */ SELECT 1"), sql::Kind::Engine);
    assert_eq!(sql::kind("-- only\n"), sql::Kind::Empty);
    assert_eq!(sql::kind("rollback to savepoint x"), sql::Kind::Transaction);
    assert_eq!(sql::kind("select 'begin'"), sql::Kind::Engine);
}
