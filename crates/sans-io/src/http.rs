//! Just enough HTTP/1.1 beside the main protocol: bodies of stated length, one request at a time, all bounded.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Headers of a message at most, and bytes of its head at most.
const MAX_HEADERS: usize = 32;
const MAX_HEAD_BYTES: usize = 8 << 10;

/// What is wrong with a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Not HTTP.
    #[error("not HTTP: {0}")]
    Malformed(String),
    /// Longer than allowed.
    #[error("a message over the limit of {0} bytes")]
    TooLong(usize),
    /// A body whose length is not stated.
    #[error("a body in chunks, which is not read here")]
    Chunked,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET`, `POST` or another.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the path's query.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status, such as 200.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

fn body(
    head: usize,
    headers: &[httparse::Header<'_>],
    buf: &mut BytesMut,
    limit: usize,
) -> Result<Option<Bytes>, HttpError> {
    let get = |name: &str| {
        headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value)
    };
    if get("transfer-encoding").is_some() {
        return Err(HttpError::Chunked);
    }
    let length = match get("content-length") {
        None => 0,
        Some(value) => std::str::from_utf8(value)
            .ok()
            .and_then(|v| v.trim().parse::<usize>().ok())
            .ok_or_else(|| HttpError::Malformed("a content-length that is no number".into()))?,
    };
    if length > limit {
        return Err(HttpError::TooLong(limit));
    }
    if buf.len() < head + length {
        return Ok(None);
    }
    buf.advance(head);
    Ok(Some(buf.split_to(length).freeze()))
}

fn partial(buf: &BytesMut) -> Result<(), HttpError> {
    if buf.len() > MAX_HEAD_BYTES {
        Err(HttpError::TooLong(MAX_HEAD_BYTES))
    } else {
        Ok(())
    }
}

/// Takes a request off the front of `buf`; none until it is complete.
///
/// # Errors
/// [`HttpError`] for what is not HTTP, or is over `limit` bytes.
pub fn take_request(buf: &mut BytesMut, limit: usize) -> Result<Option<Request>, HttpError> {
    let copy = buf.clone();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request
        .parse(&copy)
        .map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(head) = parsed else {
        return partial(buf).map(|()| None);
    };
    let (method, target) = (
        request.method.unwrap_or("").to_string(),
        request.path.unwrap_or("").to_string(),
    );
    Ok(
        body(head, request.headers, buf, limit)?.map(|body| Request {
            method,
            target,
            body,
        }),
    )
}

/// Takes a response off the front of `buf`; none until it is complete.
///
/// # Errors
/// [`HttpError`] for what is not HTTP, or is over `limit` bytes.
pub fn take_response(buf: &mut BytesMut, limit: usize) -> Result<Option<Response>, HttpError> {
    let copy = buf.clone();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(&copy)
        .map_err(|e| HttpError::Malformed(e.to_string()))?;
    let httparse::Status::Complete(head) = parsed else {
        return partial(buf).map(|()| None);
    };
    let status = response.code.unwrap_or(0);
    Ok(body(head, response.headers, buf, limit)?.map(|body| Response { status, body }))
}

/// Appends a request.
pub fn write_request(method: &str, path: &str, body: &[u8], out: &mut BytesMut) {
    let mut head = String::new();
    let _ = write!(
        head,
        "{method} {path} HTTP/1.1\r\nhost: localhost\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a response.
pub fn write_response(status: u16, kind: &str, body: &[u8], out: &mut BytesMut) {
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
        "HTTP/1.1 {status} {reason}\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
