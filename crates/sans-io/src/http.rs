//! A minimal HTTP/1.1 codec for interfaces that do not carry queries, such as the admin interface and the engine registry. It
//! supports bodies with a Content-Length header but no transfer encodings, and limits the size of each message.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Maximum number of headers of a message; a message with more is malformed.
const MAX_HEADERS: usize = 32;
/// Maximum size of a start line and headers in bytes, however they arrive.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The reason why a message cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The message is not valid HTTP; the text describes the error.
    #[error("not HTTP: {0}")]
    Malformed(String),
    /// The message exceeds this size limit, in bytes.
    #[error("a message over the limit of {0} bytes")]
    TooLong(usize),
    /// The message has a Transfer-Encoding header, such as `chunked`; no transfer encoding is supported.
    #[error("a body in chunks, which is not read here")]
    UnsupportedTransferEncoding,
}

/// An HTTP request. Headers are not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET` or `POST`.
    pub method: String,
    /// The request target: path and query string.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the path of the target, without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns the value of a parameter of the query string, not percent-decoded; `None` if the parameter is missing.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

/// An HTTP response. Headers are not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Removes the head (start line and headers) of `head_length` bytes and the body from `buf`, and returns the body. Returns `None`
/// and leaves `buf` unchanged until the body is complete.
fn take_body(
    head_length: usize,
    headers: &[httparse::Header<'_>],
    buf: &mut BytesMut,
    max_body_bytes: usize,
) -> Result<Option<Bytes>, HttpError> {
    if head_length > MAX_HEAD_BYTES {
        return Err(HttpError::TooLong(MAX_HEAD_BYTES));
    }
    let is_encoded =
        |header: &httparse::Header<'_>| header.name.eq_ignore_ascii_case("transfer-encoding");
    if headers.iter().any(is_encoded) {
        return Err(HttpError::UnsupportedTransferEncoding);
    }
    let length = content_length(headers)?;
    if length > max_body_bytes {
        return Err(HttpError::TooLong(max_body_bytes));
    }
    if buf.len() < head_length + length {
        return Ok(None);
    }
    buf.advance(head_length);
    Ok(Some(buf.split_to(length).freeze()))
}

/// Returns the value of the Content-Length headers, zero without one. Several must be equal (RFC 9112, 6.3).
fn content_length(headers: &[httparse::Header<'_>]) -> Result<usize, HttpError> {
    let mut length = None;
    for header in headers {
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let value = parse_content_length(header.value)?;
        if length.is_some_and(|earlier| earlier != value) {
            return Err(HttpError::Malformed("content-lengths that differ".into()));
        }
        length = Some(value);
    }
    Ok(length.unwrap_or(0))
}

fn parse_content_length(value: &[u8]) -> Result<usize, HttpError> {
    std::str::from_utf8(value)
        .ok()
        .map(str::trim)
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| HttpError::Malformed("a content-length that is no number".into()))
}

/// Rejects an incomplete head that exceeds [`MAX_HEAD_BYTES`].
fn check_incomplete_head(buf: &BytesMut) -> Result<(), HttpError> {
    if buf.len() > MAX_HEAD_BYTES {
        Err(HttpError::TooLong(MAX_HEAD_BYTES))
    } else {
        Ok(())
    }
}

/// Removes a request from the front of `buf`. Returns `None` and leaves `buf` unchanged until the request is complete.
///
/// # Errors
/// [`HttpError`] if the message is malformed, has a transfer encoding, or exceeds a size limit; `max_body_bytes` is the
/// maximum size of the body in bytes.
pub fn take_request(
    buf: &mut BytesMut,
    max_body_bytes: usize,
) -> Result<Option<Request>, HttpError> {
    // The parsed headers borrow from the copy while `take_body` modifies `buf`.
    let copy = buf.clone();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request
        .parse(&copy)
        .map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(head_length) = parsed else {
        return check_incomplete_head(buf).map(|()| None);
    };
    let (method, target) = (
        request.method.unwrap_or("").to_string(),
        request.path.unwrap_or("").to_string(),
    );
    Ok(
        take_body(head_length, request.headers, buf, max_body_bytes)?.map(|body| Request {
            method,
            target,
            body,
        }),
    )
}

/// Removes a response from the front of `buf`. Returns `None` and leaves `buf` unchanged until the response is complete.
///
/// # Errors
/// [`HttpError`] if the message is malformed, has a transfer encoding, or exceeds a size limit; `max_body_bytes` is the
/// maximum size of the body in bytes.
pub fn take_response(
    buf: &mut BytesMut,
    max_body_bytes: usize,
) -> Result<Option<Response>, HttpError> {
    // The parsed headers borrow from the copy while `take_body` modifies `buf`.
    let copy = buf.clone();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(&copy)
        .map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(head_length) = parsed else {
        return check_incomplete_head(buf).map(|()| None);
    };
    let status = response.code.unwrap_or(0);
    Ok(
        take_body(head_length, response.headers, buf, max_body_bytes)?
            .map(|body| Response { status, body }),
    )
}

/// Appends a request to `out`. Its Host header is `localhost`, whatever the address of the server is.
pub fn write_request(method: &str, target: &str, body: &[u8], out: &mut BytesMut) {
    let mut head = String::new();
    let _ = write!(
        head,
        "{method} {target} HTTP/1.1\r\nhost: localhost\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a response to `out`. Status codes without a reason phrase here get the phrase `Other`.
pub fn write_response(status: u16, content_type: &str, body: &[u8], out: &mut BytesMut) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let mut head = String::new();
    let length = body.len();
    let _ = write!(
        head,
        "HTTP/1.1 {status} {reason}\r\ncontent-type: {content_type}\r\ncontent-length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
