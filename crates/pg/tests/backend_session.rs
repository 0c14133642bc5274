//! Sessions with engines: streaming, messages held back, discarded responses, and the distinction between faults of the
//! engine and errors of the query.

use bytes::{BufMut, BytesMut};
use wheelfield_pg::backend::{Backend, BackendEvent, QueryStatus};
use wheelfield_pg::backend_messages::{self, Column, Diagnostic};

fn started_backend() -> Backend {
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

fn running_backend() -> Backend {
    let mut backend = started_backend();
    backend.run(None, b"frames", &[], false, &mut BytesMut::new());
    backend
}

fn put_rows(n: usize, out: &mut BytesMut) {
    backend_messages::put_row_description(&[Column::text("x")], &[], out);
    for _ in 0..n {
        backend_messages::put_data_row([Some(&b"0123456789"[..])].into_iter(), out);
    }
}

#[test]
fn a_short_response_in_one_read_completes_without_response_started() {
    let mut backend = running_backend();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    put_rows(1, &mut input);
    backend_messages::put_parameter_status("wheelfield.util", "0.5", &mut input);
    backend_messages::put_parameter_status("wheelfield.work_ms", "12", &mut input);
    backend_messages::put_command_complete("SELECT 1", &mut input);
    let len_before_ready = input.len();
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1000),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: true })
    );
    assert!(sink.is_empty(), "the response is held back until start_response");
    backend.start_response(&mut sink);
    assert!(sink.len() < len_before_ready, "load reports are not forwarded");
    assert_eq!((backend.load().util, backend.work_ms()), (Some(0.5), Some(12.0)));
    assert!(backend.is_idle());
}

#[test]
fn a_long_response_streams_within_the_sink_limit() {
    let mut backend = running_backend();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    put_rows(100, &mut input);
    assert_eq!(backend.feed(&mut input, &mut sink, 1000), Ok(BackendEvent::ResponseStarted));
    backend.start_response(&mut sink);
    put_rows(1000, &mut input);
    let unread = input.len();
    assert_eq!(backend.feed(&mut input, &mut sink, 500), Ok(BackendEvent::Pending));
    assert_eq!(input.len(), unread, "nothing is read while the sink is full");
    sink.clear();
    assert_eq!(backend.feed(&mut input, &mut sink, 500), Ok(BackendEvent::Pending));
    assert!(sink.len() < 600 && input.len() < unread);
}

#[test]
fn a_row_longer_than_any_buffer_is_forwarded_in_parts() {
    let mut backend = running_backend();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    let size = 50_000_000;
    input.put_u8(b'D');
    input.put_i32(size + 4);
    assert_eq!(backend.feed(&mut input, &mut sink, 1 << 16), Ok(BackendEvent::ResponseStarted));
    backend.start_response(&mut sink);
    let (mut sent, mut received) = (0, 0);
    while sent < size as usize {
        let part = (size as usize - sent).min(10_000);
        input.put_bytes(7, part);
        sent += part;
        assert_eq!(backend.feed(&mut input, &mut sink, 1 << 16), Ok(BackendEvent::Pending));
        received += sink.len();
        sink.clear();
        assert!(input.is_empty());
    }
    assert_eq!(received, size as usize + 5);
    backend_messages::put_command_complete("SELECT 1", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(
        backend.feed(&mut input, &mut sink, 1 << 16),
        Ok(BackendEvent::Completed { has_query_error: false, reusable: true })
    );
}

#[test]
fn an_engine_error_before_the_first_row_sends_nothing_to_the_client() {
    let mut backend = running_backend();
    let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
    backend_messages::put_row_description(&[Column::text("x")], &[], &mut input);
    Diagnostic::error("53300", "too many sessions").put(&mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    let event = backend.feed(&mut input, &mut sink, 1000).expect("well-formed");
    assert!(
        matches!(event, BackendEvent::EngineError { sqlstate: state, reusable: true, .. } if state == "53300")
    );
    assert!(sink.is_empty());
}

#[test]
fn a_query_error_is_forwarded_as_the_response() {
    let mut backend = running_backend();
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
fn a_cancellation_is_an_engine_error_only_after_a_cancel_request() {
    for has_cancel_request in [true, false] {
        let mut backend = running_backend();
        if has_cancel_request {
            backend.mark_cancelled();
        }
        let (mut input, mut sink) = (BytesMut::new(), BytesMut::new());
        Diagnostic::error("57014", "canceling statement").put(&mut input);
        backend_messages::put_ready_for_query(b'I', &mut input);
        let event = backend.feed(&mut input, &mut sink, 1000).expect("well-formed");
        assert_eq!(matches!(event, BackendEvent::EngineError { .. }), has_cancel_request);
    }
}

#[test]
fn a_discarded_response_is_read_to_its_end_and_dropped() {
    let mut backend = running_backend();
    let (mut input, mut sink, mut out) = (BytesMut::new(), BytesMut::new(), BytesMut::new());
    put_rows(5, &mut input);
    backend.discard(&mut out);
    assert!(out.is_empty(), "a complete unit needs no Sync");
    assert_eq!(backend.feed(&mut input, &mut sink, 10), Ok(BackendEvent::Pending));
    backend_messages::put_command_complete("SELECT 5", &mut input);
    backend_messages::put_ready_for_query(b'I', &mut input);
    assert_eq!(backend.feed(&mut input, &mut sink, 10), Ok(BackendEvent::Discarded { reusable: true }));
    assert!(sink.is_empty() && backend.is_idle());
}

#[test]
fn a_session_in_a_transaction_is_not_reusable() {
    let mut backend = running_backend();
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
fn discarding_an_open_unit_sends_a_sync() {
    let mut backend = started_backend();
    let mut out = BytesMut::new();
    backend.run(None, b"frames", &[], true, &mut out);
    out.clear();
    backend.discard(&mut out);
    assert_eq!(&out[..], [b'S', 0, 0, 0, 4]);
}

#[test]
fn settings_are_sent_first_and_their_response_is_not_forwarded() {
    let mut backend = started_backend();
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
fn invalid_messages_are_protocol_errors() {
    let mut backend = running_backend();
    let mut input = BytesMut::from(&b"G\0\0\0\x07\0\0\0"[..]);
    assert!(backend.feed(&mut input, &mut BytesMut::new(), 10).is_err());
    let mut backend = running_backend();
    let mut input = BytesMut::from(&b"D\0\0\0\x01"[..]);
    assert!(backend.feed(&mut input, &mut BytesMut::new(), 10).is_err());
}
