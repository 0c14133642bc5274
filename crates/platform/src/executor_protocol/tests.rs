use super::*;
use proptest::prelude::*;

const ID: &str = "9b1f03aa5c7e2d41";

/// Decodes all responses in a stream of bytes that arrives in these pieces.
fn decode_all(pieces: &[&[u8]]) -> Result<Vec<Response>, ProtocolError> {
    let (mut buf, mut all) = (BytesMut::new(), Vec::new());
    for piece in pieces {
        buf.extend_from_slice(piece);
        while let Some(response) = decode_response(&mut buf)? {
            all.push(response);
        }
    }
    Ok(all)
}

#[test]
fn responses_are_decoded_identically_for_every_split_of_the_input() {
    let text = format!(
        "{ID} INFO tell=pct,v=0.25 0\r\n\r\n{ID} HIT pages=2,cost=81.5,meter=inflight:7;util:0.61 6\r\na\t1\tx\n\r\n\
         x PONG\r\n{ID} FAULT - 0\r\n\r\n"
    );
    let complete = decode_all(&[text.as_bytes()]).expect("valid responses");
    assert_eq!(
        complete.iter().map(|a| a.kind).collect::<Vec<_>>(),
        [
            ResponseKind::Info,
            ResponseKind::Hit,
            ResponseKind::Pong,
            ResponseKind::Fault
        ]
    );
    assert_eq!(
        (
            complete[1].field("meter"),
            complete[1].numeric_field("cost")
        ),
        (Some("inflight:7;util:0.61"), Some(81.5))
    );
    assert_eq!(
        (&complete[1].id[..], &complete[1].body[..]),
        (ID.as_bytes(), &b"a\t1\tx\n"[..])
    );
    for cut in 0..text.len() {
        let (a, b) = text.as_bytes().split_at(cut);
        assert_eq!(decode_all(&[a, b]).as_ref(), Ok(&complete), "cut at {cut}");
    }
}

#[test]
fn messages_are_encoded_in_the_wire_format() {
    let id = RequestId::parse(ID.as_bytes()).expect("a valid request id");
    let mut out = BytesMut::new();
    let request = Request {
        class: "report",
        limit_ms: 1500,
        nonce: None,
        statement: b"SELECT 1",
    };
    encode_request(id, 2, &request, &mut out);
    encode_request(
        id,
        1,
        &Request {
            nonce: Some("a5=+/"),
            ..request
        },
        &mut out,
    );
    encode_fetch(id, 3, &mut out);
    encode_priority(id, 0, &mut out);
    encode_release(id, &mut out);
    encode_cancel(id, &mut out);
    let expected = format!(
        "REQ {ID} cls=report,limit=1500,prio=2 8\r\nSELECT 1\r\n\
         REQ {ID} cls=report,limit=1500,prio=1,nonce=a5=+/ 8\r\nSELECT 1\r\nFETCH {ID} 3\r\nNICE {ID} 0\r\nEND {ID}\r\nSTOP {ID}\r\n"
    );
    assert_eq!(out, expected.as_bytes());
    assert!(
        RequestId::parse(b"9b1f03aa5c7e2d4").is_none()
            && RequestId::parse(b"9b1f03aa5c7e2d4g").is_none()
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_exceeding_the_buffer_limit(bytes in prop::collection::vec(any::<u8>(), 0..4096)) {
        let mut buf = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decode_response(&mut buf) {}
        let is_incomplete = matches!(decode_response(&mut buf), Ok(None));
        prop_assert!(!is_incomplete || buf.len() < MAX_RESPONSE_BYTES);
    }
}
