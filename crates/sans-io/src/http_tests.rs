//! Tests of the HTTP codec: messages received in pieces, over the size limits, and of arbitrary bytes.

use super::*;
use proptest::prelude::*;

#[test]
fn a_message_is_returned_once_it_is_complete() {
    let mut messages = BytesMut::new();
    write_request("POST", "/engines?since=4&wait=9", b"{}", &mut messages);
    write_response(200, "text/plain", b"hello", &mut messages);
    let (mut buf, mut request) = (BytesMut::new(), None);
    for byte in messages.iter() {
        buf.extend_from_slice(&[*byte]);
        if request.is_none() {
            request = take_request(&mut buf, 100).expect("well-formed");
        }
    }
    let request = request.expect("complete");
    assert_eq!(
        (
            request.path(),
            request.query_param("wait"),
            &request.body[..]
        ),
        ("/engines", Some("9"), &b"{}"[..])
    );
    let response = take_response(&mut buf, 100)
        .expect("well-formed")
        .expect("complete");
    assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
}

#[test]
fn too_long_and_malformed_messages_are_errors() {
    let mut long_body = BytesMut::new();
    write_request("POST", "/", &[0; 200], &mut long_body);
    assert_eq!(
        take_request(&mut long_body, 100),
        Err(HttpError::TooLong(100))
    );
    assert!(take_request(&mut BytesMut::from(&b"\x00\x01 nonsense\r\n\r\n"[..]), 100).is_err());
    let mut long_header = BytesMut::from(&b"GET / HTTP/1.1\r\nx: "[..]);
    long_header.extend_from_slice(&[b'a'; 9000]);
    assert!(take_request(&mut long_header, 100).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = take_request(&mut BytesMut::from(&bytes[..]), 50);
        let _ = take_response(&mut BytesMut::from(&bytes[..]), 50);
    }
}

/// A head over the limit was accepted if it came in one piece.
#[test]
fn a_head_over_the_limit_is_an_error_even_if_it_is_complete() {
    let mut long_head = BytesMut::from(&b"GET / HTTP/1.1\r\nx: "[..]);
    long_head.extend_from_slice(&[b'a'; MAX_HEAD_BYTES]);
    long_head.extend_from_slice(b"\r\n\r\n");
    assert_eq!(
        take_request(&mut long_head, 100),
        Err(HttpError::TooLong(MAX_HEAD_BYTES))
    );
}

/// A second Content-Length was ignored, so that two readers of a message could differ about where it ends.
#[test]
fn content_lengths_that_differ_are_an_error() {
    let parse = |first: &str, second: &str| {
        let text = format!(
            "POST / HTTP/1.1\r\nContent-Length: {first}\r\ncontent-length: {second}\r\n\r\nab"
        );
        take_request(&mut BytesMut::from(text.as_bytes()), 100)
    };
    assert!(parse("2", "1").is_err());
    assert!(parse("2", "").is_err());
    assert!(parse("+2", "+2").is_err());
    let request = parse("2", "2").expect("well-formed").expect("complete");
    assert_eq!(&request.body[..], b"ab");
}

/// Feeds a message in pieces that end at these positions; whether it was accepted, and its body.
fn parse_in_pieces(message: &[u8], cuts: &[usize]) -> Option<Option<Bytes>> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (message.len() + 1)).collect();
    cuts.push(message.len());
    cuts.sort_unstable();
    let (mut buf, mut from) = (BytesMut::new(), 0);
    for cut in cuts {
        buf.extend_from_slice(&message[from..cut]);
        from = cut;
        if let Some(request) = take_request(&mut buf, 50).ok()? {
            return Some(Some(request.body));
        }
    }
    Some(None)
}

proptest! {
    #[test]
    fn the_outcome_does_not_depend_on_how_a_message_is_split(
        padding in prop_oneof![0..100usize, (MAX_HEAD_BYTES - 80)..(MAX_HEAD_BYTES + 20)],
        lengths in prop::collection::vec(prop_oneof!["[0-9]{1,2}", "[+ x]?[0-9]"], 0..3),
        body in prop::collection::vec(any::<u8>(), 0..60),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        let mut message = format!("POST / HTTP/1.1\r\nx: {}\r\n", "a".repeat(padding)).into_bytes();
        for length in &lengths {
            message.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(&body);
        let whole = parse_in_pieces(&message, &[]);
        prop_assert_eq!(parse_in_pieces(&message, &cuts), whole);
    }
}
