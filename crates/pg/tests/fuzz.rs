//! Property tests: no input makes a session panic, or store more than its limits allow.

use bytes::BytesMut;
use proptest::prelude::*;
use wheelfield_pg::backend::{Backend, BackendEvent};
use wheelfield_pg::client::{ClientEvent, Limits, Session};
use wheelfield_pg::{backend_messages, frontend_messages, sql};

/// A sequence of messages with random types and bodies. Of 20 lengths, one on average is too large by 1 and one is too
/// small by 1.
fn message_bytes() -> impl Strategy<Value = Vec<u8>> {
    let tag = prop::sample::select(b"QPBDECHSXdcfFpZTCEN123ntIsRKAG".to_vec());
    let body =
        prop::collection::vec(prop::sample::select(b"\0\x01\x02\x03\xffSPselect;1'$/*".to_vec()), 0..24);
    let message = (tag, body, 0u8..20).prop_map(|(tag, body, length_error)| {
        let length = body.len() as i32 + 4 + i32::from(length_error == 0) - i32::from(length_error == 1);
        [&[tag][..], &length.to_be_bytes(), &body].concat()
    });
    prop::collection::vec(message, 0..20).prop_map(|messages| messages.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_client_input_is_handled(
        bytes in message_bytes(),
        chunk_len in 1usize..50,
        skip_startup in any::<bool>(),
    ) {
        let limits = Limits { message_bytes: 4096, statements: 8, stored_bytes: 8192 };
        let mut session = Session::new(limits, 1, 2);
        let (mut input, mut out) = (BytesMut::new(), BytesMut::new());
        if !skip_startup {
            frontend_messages::put_startup(&[("user", "u")], &mut input);
        }
        for chunk in bytes.chunks(chunk_len) {
            input.extend_from_slice(chunk);
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
            // The unread input is at most one message, one chunk and one startup packet.
            prop_assert!(input.len() <= 4096 + 50 + 10_000);
        }
    }

    #[test]
    fn arbitrary_engine_input_is_handled(
        bytes in message_bytes(),
        chunk_len in 1usize..50,
        after_startup in any::<bool>(),
    ) {
        let mut out = BytesMut::new();
        let mut backend = Backend::start("u", "d", "a", &mut out);
        let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
        if after_startup {
            backend_messages::put_authentication_ok(&mut input);
            backend_messages::put_ready_for_query(b'I', &mut input);
            prop_assert_eq!(backend.feed(&mut input, &mut sink, 4096), Ok(BackendEvent::Started));
            backend.run(None, b"x", &[true, false], false, &mut out);
        }
        for chunk in bytes.chunks(chunk_len) {
            input.extend_from_slice(chunk);
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
    fn arbitrary_text_is_scanned(text in "[a-z'\"$/*;\\- \n\\\\]{0,60}") {
        let statements = sql::statements(&text);
        prop_assert!(statements.iter().map(|s| s.len()).sum::<usize>() <= text.len());
        sql::kind(&text);
        sql::hints(&text);
        sql::normalized(&text);
    }
}

#[test]
fn statements_are_split_and_classified() {
    assert_eq!(sql::statements("select ';'; select 2;;").len(), 2);
    assert_eq!(sql::statements("select $$a;b$$, $x$;$x$; -- c;\n/* ; /* ; */ */").len(), 1);
    assert_eq!(sql::statements("select E'it\\'s;', \"a;\"\"b\" from t where x = $1;").len(), 1);
    assert_eq!(sql::kind("/* a */ SELECT 1"), sql::Kind::Engine);
    assert_eq!(sql::kind("-- only\n"), sql::Kind::Empty);
    assert_eq!(sql::kind("rollback to savepoint x"), sql::Kind::Transaction);
    assert_eq!(sql::kind("select 'begin'"), sql::Kind::Engine);
}
