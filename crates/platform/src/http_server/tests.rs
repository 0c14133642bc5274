use super::*;
use proptest::prelude::*;

#[test]
fn a_request_head_is_parsed_once_it_is_complete() {
    let request = b"POST /rpc/report HTTP/1.1\r\nHost: api.internal\r\nx-request-id: 9b1f03aa5c7e2d41\r\n\
        X-Timeout-Ms: 1500\r\nX-Retry: 1\r\nX-Cost-Ms: 820.0\r\nX-Need-Mb: 96\r\nContent-Length: 84\r\n\r\n";
    for cut in 0..request.len() {
        assert_eq!(parse_head(&request[..cut]), Ok(None), "cut at {cut}");
    }
    let head = parse_head(request).expect("valid").expect("complete");
    assert_eq!(
        (head.total_length, head.body_length, head.close),
        (request.len() + 84, 84, false)
    );
    let Ok(RequestKind::Query(query)) = head.kind else {
        panic!("not a query")
    };
    assert_eq!(
        (
            query.class.as_str(),
            query.timeout_us,
            query.work_hint,
            query.memory_hint
        ),
        ("report", 1_500_000, Some(0.82), Some(96.0))
    );
}

#[test]
fn connection_header_and_http_version_decide_whether_the_connection_is_closed() {
    let closes = |version: &str, header: &str| {
        let request = format!("GET /health HTTP/{version}\r\n{header}\r\n");
        parse_head(request.as_bytes())
            .expect("valid")
            .expect("complete")
            .close
    };
    assert!(!closes("1.1", "") && closes("1.1", "Connection: Close\r\n") && closes("1.0", ""));
    assert!(!closes("1.0", "Connection: keep-alive\r\n"));
}

#[test]
fn each_reply_has_its_status_line_headers_and_body() {
    let written = |reply: Reply, close: bool| {
        let mut out = BytesMut::new();
        write_reply(&reply, close, &mut out);
        String::from_utf8(out.to_vec()).expect("text")
    };
    let json = "Content-Type: application/json\r\nContent-Length: ";
    assert_eq!(
        written(Reply::Rows(b"{\"batch\":[]}".to_vec()), false),
        format!("HTTP/1.1 200 OK\r\n{json}12\r\n\r\n{{\"batch\":[]}}")
    );
    assert_eq!(
        written(Reply::Rejected { retry_after_ms: 7 }, true),
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{json}21\r\nRetry-After-Ms: 7\r\nConnection: close\r\n\r\n\
             {{\"reason\":\"TryLater\"}}"
        )
    );
    assert_eq!(
        written(Reply::Invalid(RequestError::LengthRequired), false),
        format!("HTTP/1.1 411 Bad Call\r\n{json}20\r\n\r\n{{\"reason\":\"Aborted\"}}")
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_head(&bytes);
        let _ = parse_head(&[b"POST /rpc/x HTTP/1.1\r\n", &bytes[..], b"\r\n\r\n"].concat());
    }
}
