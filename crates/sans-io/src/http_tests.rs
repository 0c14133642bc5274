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
