//! The engine's side: streaming, holding back, dropping, and telling trouble from errors.

use bytes::{BufMut, BytesMut};
use wheelfield_pg::backend::{Backend, BackendEvent, QueryStatus};
use wheelfield_pg::backend_messages::{self, Column, Diagnostic};

fn started() -> Backend {
    let mut out = BytesMut::new();
    let mut backend = Backend::start("w", "d", "wheelfield", &mut out);
    let mut input = BytesMut::new();
    backend_messages::put_authentication_ok(&mut input);
    backend_messages::put_parameter_status("server_version", "1", &mut input);
    backend_messages::put_backend_key_data(5, 6, &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    let mut sink = BytesMut::new();
    assert_eq!(backend.feed(&mut input, &mut sink, 1000), Ok(BackendEvent::Started));
    assert_eq!(backend.key().map(|(pid, key)| (*pid, key.len())), Some((5, 4)));
    assert!(backend.is_idle() && sink.is_empty());
    backend
}

fn running() -> Backend {
    let mut backend = started();
    backend.run(None, b"frames", &[], false, &mut BytesMut::new());
    backend
}

fn rows(n: usize, out: &mut BytesMut) {
    backend_messages::put_row_description(&[Column::text("x")], &[], out);
    for _ in 0..n {
        backend_messages::put_data_row([Some(&b"0123456789"[..])].into_iter(), out);
    }
}

#[test]
fn a_short_answer_in_one_read_needs_no_begin() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    rows(1, &mut input);
    backend_messages::put_parameter_status("wheelfield.util", "0.5", &mut input);
    backend_messages::put_parameter_status("wheelfield.work_ms", "12", &mut input);
    backend_messages::put_command_complete("SELECT 1", &mut input);
    let whole = input.len();
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: true })
    );
    assert!(sink.is_empty(), "the host releases it");
    backend.start_response(&mut sink);
    assert!(sink.len() < whole, "the load is not for the client");
    assert_eq!((backend.load().util, backend.work_ms()), (Some(0.5), Some(12.0)));
    assert!(backend.is_idle());
}

#[test]
fn a_long_answer_begins_and_streams_within_its_room() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    rows(100, &mut input);
    assert_eq!(backend.feed(&mut input, &mut sink, 1000), Ok(BackendEvent::ResponseStarted));
    backend.start_response(&mut sink);
    rows(1000, &mut input);
    let left = input.len();
    assert_eq!(backend.feed(&mut input, &mut sink, 500), Ok(BackendEvent::Pending));
    assert_eq!(input.len(), left, "no room: nothing is taken");
    sink.clear();
    assert_eq!(backend.feed(&mut input, &mut sink, 500), Ok(BackendEvent::Pending));
    assert!(sink.len() < 600 && input.len() < left);
}

#[test]
fn a_row_longer_than_any_buffer_passes_in_parts() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    let size = 50_000_000;
    input.put_u8(b'D');
    input.put_i32(size + 4);
    assert_eq!(backend.feed(&mut input, &mut sink, 1 << 16), Ok(BackendEvent::ResponseStarted));
    backend.start_response(&mut sink);
    let (mut sent, mut got) = (0, 0);
    while sent < size as usize {
        let part = (size as usize - sent).min(10_000);
        input.put_bytes(7, part);
        sent += part;
        assert_eq!(backend.feed(&mut input, &mut sink, 1 << 16), Ok(BackendEvent::Pending));
        got += sink.len();
        sink.clear();
        assert!(input.is_empty());
    }
    assert_eq!(got, size as usize + 5);
    backend_messages::put_command_complete("SELECT 1", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1 << 16),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: true })
    );
}

#[test]
fn before_the_first_row_an_engines_trouble_costs_the_client_nothing() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    backend_messages::put_row_description(&[Column::text("x")], &[], &mut input);
    Diagnostic::error("53300", "too many sessions").put(&mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    let heard = backend.feed(&mut input, &mut sink, 1000).expect("well-formed");
    assert!(
        matches!(heard, BackendEvent::EngineError { sqlstate: state, reusable: true, .. } if state == "53300")
    );
    assert!(sink.is_empty());
}

#[test]
fn an_error_of_the_query_is_its_answer() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    Diagnostic::error("22012", "division by zero").put(&mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::Completed { has_query_error: true, reusable: true })
    );
    backend.start_response(&mut sink);
    assert!(!sink.is_empty());
}

#[test]
fn a_cancelled_query_is_no_error_only_if_we_cancelled_it() {
    for ours in [true, false] {
        let mut backend = running();
        if ours {
            backend.mark_cancelled();
        }
        let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
        Diagnostic::error("57014", "canceling statement").put(&mut input);
        backend_messages::put_ready_for_query(b'I', &mut input);
        let heard = backend.feed(&mut input, &mut sink, 1000).expect("well-formed");
        assert_eq!(matches!(heard, BackendEvent::EngineError { .. }), ours);
    }
}

#[test]
fn what_nobody_wants_is_read_to_its_end_and_dropped() {
    let mut backend = running();
    let (mut input, mut sink, mut out) = (BytesMut::new(), BytesMut::new(), BytesMut::new());
    rows(5, &mut input);
    backend.discard(&mut out);
    assert!(out.is_empty(), "a sealed unit needs no Sync");
    assert_eq!(backend.feed(&mut input, &mut sink, 10), Ok(BackendEvent::Pending));
    backend_messages::put_command_complete("SELECT 5", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(backend.feed(&mut input, &mut sink, 10), Ok(BackendEvent::Discarded { reusable: true }));
    assert!(sink.is_empty() && backend.is_idle());
}

#[test]
fn a_session_in_a_transaction_is_not_clean() {
    let mut backend = running();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    backend_messages::put_command_complete("SELECT 1", &mut input);
    backend_messages::put_ready_for_query(b'T', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: false })
    );
    assert!(!backend.is_idle());
}

#[test]
fn an_open_unit_that_is_dropped_is_sealed() {
    let mut backend = started();
    let mut out = BytesMut::new();
    backend.run(None, b"frames", &[], true, &mut out);
    out.clear();
    backend.discard(&mut out);
    assert_eq!(&out[..], [b'S', 0, 0, 0, 4]);
}

#[test]
fn settings_go_first_and_their_answer_is_kept_from_the_client() {
    let mut backend = started();
    let mut out = BytesMut::new();
    backend.run(Some("SET wheelfield.priority = 2"), b"frames", &[], false, &mut out);
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    backend_messages::put_command_complete("SET", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(backend.feed(&mut input, &mut sink, 1000), Ok(BackendEvent::Pending));
    backend_messages::put_parameter_status("wheelfield.progress", "0.25", &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::QueryStatus(QueryStatus::Progress(0.25)))
    );
    backend_messages::put_command_complete("SELECT 0", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: true })
    );
    backend.start_response(&mut sink);
    assert_eq!(sink[0], b'C');
}

#[test]
fn nonsense_ends_the_session() {
    let mut backend = running();
    let mut input = BytesMut::from(&b"G\0\0\0\x07\0\0\0"[..]);
    assert!(backend.feed(&mut input, &mut BytesMut::new(), 10).is_err());
    let mut backend = running();
    let mut input = BytesMut::from(&b"D\0\0\0\x01"[..]);
    assert!(backend.feed(&mut input, &mut BytesMut::new(), 10).is_err());
}
