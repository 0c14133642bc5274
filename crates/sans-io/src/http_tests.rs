//! Messages in pieces, over the limits, and of any bytes.

use super::*;
use proptest::prelude::*;

#[test]
fn a_message_is_taken_once_it_is_whole() {
    let mut whole = BytesMut::new();
    write_request("POST", "/engines?since=4&wait=9", b"{}", &mut whole);
    write_response(200, "text/plain", b"hello", &mut whole);
    let (mut buf, mut request) = (BytesMut::new(), None);
    for byte in whole.iter() {
        buf.extend_from_slice(&[*byte]);
        if request.is_none() {
            request = take_request(&mut buf, 100).expect("well-formed");
        }
    }
    let request = request.expect("whole");
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
        .expect("whole");
    assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
}

#[test]
fn what_is_too_long_or_no_http_is_told() {
    let mut long = BytesMut::new();
    write_request("POST", "/", &[0; 200], &mut long);
    assert_eq!(take_request(&mut long, 100), Err(HttpError::TooLong(100)));
    assert!(take_request(&mut BytesMut::from(&b"\x00\x01 nonsense\r\n\r\n"[..]), 100).is_err());
    let mut endless = BytesMut::from(&b"GET / HTTP/1.1\r\nx: "[..]);
    endless.extend_from_slice(&[b'a'; 9000]);
    assert!(take_request(&mut endless, 100).is_err());
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_told(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = take_request(&mut BytesMut::from(&bytes[..]), 50);
        let _ = take_response(&mut BytesMut::from(&bytes[..]), 50);
    }
}
