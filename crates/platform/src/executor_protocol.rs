//! The wire protocol of executors. A message is a line of words separated by spaces and terminated by CR LF. If the last word is a
//! body length, a body of this many bytes and another CR LF follow.

use crate::result_pages::MAX_PAGE_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;
use std::ops::Range;

/// Maximum length of a line in bytes, including CR LF.
const MAX_LINE_BYTES: usize = 1_024;
/// Maximum number of fields in a response.
const MAX_FIELDS: usize = 32;
/// Terminator of lines and bodies.
const CR_LF: &[u8] = b"\r\n";
/// Maximum length of a response in bytes: a line and a page with their terminators.
pub const MAX_RESPONSE_BYTES: usize = MAX_LINE_BYTES + MAX_PAGE_BYTES + CR_LF.len();

/// A request id: 16 hexadecimal digits, in the upper or lower case that the client used.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId([u8; 16]);

impl RequestId {
    /// Parses a request id; `None` if the text is not 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<RequestId> {
        let id: [u8; 16] = text.try_into().ok()?;
        id.iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(RequestId(id))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The kind of a response. The variants are named after the keywords of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request was served; the body is the first page of its result.
    Hit,
    /// The executor rejected the request because it is at capacity; the request has not run.
    Shed,
    /// The request failed, and may have run.
    Fault,
    /// The time limit of the request expired before it was started; it has not run.
    Late,
    /// Progress of a request that has not ended yet.
    Info,
    /// A further page of a result.
    Part,
    /// The reply to a connection check.
    Pong,
}

impl ResponseKind {
    fn parse(word: &[u8]) -> Option<ResponseKind> {
        match word {
            b"HIT" => Some(ResponseKind::Hit),
            b"SHED" => Some(ResponseKind::Shed),
            b"FAULT" => Some(ResponseKind::Fault),
            b"LATE" => Some(ResponseKind::Late),
            b"INFO" => Some(ResponseKind::Info),
            b"PART" => Some(ResponseKind::Part),
            b"PONG" => Some(ResponseKind::Pong),
            _ => None,
        }
    }
}

/// A response of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The id that the response refers to; not necessarily a valid request id.
    pub id: Bytes,
    /// The kind of the response.
    pub kind: ResponseKind,
    /// Names and values of the fields.
    fields: Vec<(Bytes, Bytes)>,
    /// The body; empty if there is none.
    pub body: Bytes,
}

impl Response {
    /// Returns the value of a field as text.
    pub fn field(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .fields
            .iter()
            .find(|(field, _)| field == name.as_bytes())?;
        std::str::from_utf8(value).ok()
    }

    /// Returns the value of a field as a finite number.
    pub fn numeric_field(&self, name: &str) -> Option<f64> {
        self.field(name)?
            .parse()
            .ok()
            .filter(|x: &f64| x.is_finite())
    }

    /// Returns the value of a field as a whole number; `None` if it is negative or has a fraction.
    pub fn count_field(&self, name: &str) -> Option<usize> {
        let value = self.numeric_field(name)?;
        (value >= 0.0 && value.fract() == 0.0).then_some(value as usize)
    }
}

/// The reason why received bytes are not a valid response. The bytes that follow can't be decoded either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The line is not terminated within its maximum length.
    #[error("line exceeds its maximum length")]
    UnterminatedLine,
    /// The line, a field or a page is malformed.
    #[error("invalid line")]
    InvalidLine,
    /// The stated body length exceeds the maximum length of a page.
    #[error("body length exceeds the maximum of a page")]
    InvalidLength,
    /// Too many responses in a row belong to no running attempt.
    #[error("too many responses without a request")]
    TooManyUnmatched,
    /// The body is not followed by CR LF at its stated length.
    #[error("body does not end at its stated length")]
    LengthMismatch,
}

/// A parsed line. The id and the fields are given as positions in the line.
struct Line {
    kind: ResponseKind,
    id_length: usize,
    fields: Option<Range<usize>>,
    body_length: Option<usize>,
}

/// Decodes the response at the front of `buf` and removes it from there; `None` if it is incomplete.
///
/// # Errors
/// [`ProtocolError`] if the bytes are not a valid response; the connection can no longer be used.
pub fn decode_response(buf: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
    let Some(line_length) = find_line_end(buf)? else {
        return Ok(None);
    };
    let Line {
        kind,
        id_length,
        fields,
        body_length,
    } = parse_line(&buf[..line_length])?;
    let length = line_length + CR_LF.len() + body_length.map_or(0, |n| n + CR_LF.len());
    if buf.len() < length {
        return Ok(None);
    }
    if body_length.is_some() && !buf[..length].ends_with(CR_LF) {
        return Err(ProtocolError::LengthMismatch);
    }
    let line = buf.split_to(line_length).freeze();
    buf.advance(CR_LF.len());
    let body = match body_length {
        Some(body_length) => take_body(buf, body_length),
        None => Bytes::new(),
    };
    let fields = match fields {
        Some(range) => parse_fields(&line, range)?,
        None => Vec::new(),
    };
    Ok(Some(Response {
        id: line.slice(..id_length),
        kind,
        fields,
        body,
    }))
}

/// Returns the length of the first line without CR LF; `None` if the line is incomplete.
fn find_line_end(buf: &[u8]) -> Result<Option<usize>, ProtocolError> {
    let searched = &buf[..buf.len().min(MAX_LINE_BYTES)];
    match memchr::memchr(b'\n', searched) {
        Some(0) => Err(ProtocolError::InvalidLine),
        Some(n) if searched[n - 1] != b'\r' => Err(ProtocolError::InvalidLine),
        Some(n) => Ok(Some(n - 1)),
        None if buf.len() >= MAX_LINE_BYTES => Err(ProtocolError::UnterminatedLine),
        None => Ok(None),
    }
}

/// Parses a line that consists of the id, the kind, the fields and the length of the body. The latter two are optional for `PONG`.
fn parse_line(line: &[u8]) -> Result<Line, ProtocolError> {
    let words: Vec<&[u8]> = line.split(|byte| *byte == b' ').collect();
    let (id, kind_word, rest) = match &words[..] {
        [id, kind, rest @ ..] => (*id, *kind, rest),
        _ => return Err(ProtocolError::InvalidLine),
    };
    let kind = ResponseKind::parse(kind_word).ok_or(ProtocolError::InvalidLine)?;
    match rest {
        [] if kind == ResponseKind::Pong => Ok(Line {
            kind,
            id_length: id.len(),
            fields: None,
            body_length: None,
        }),
        [fields, length] => {
            let start = id.len() + 1 + kind_word.len() + 1;
            let fields = Some(start..start + fields.len());
            let body_length = Some(parse_body_length(length)?);
            Ok(Line {
                kind,
                id_length: id.len(),
                fields,
                body_length,
            })
        }
        _ => Err(ProtocolError::InvalidLine),
    }
}

fn parse_body_length(digits: &[u8]) -> Result<usize, ProtocolError> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError::InvalidLine);
    }
    let length = std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| digits.parse::<usize>().ok());
    match length {
        None => Err(ProtocolError::InvalidLine),
        Some(length) if length > MAX_PAGE_BYTES => Err(ProtocolError::InvalidLength),
        Some(length) => Ok(length),
    }
}

/// Parses the fields in this range of a line: `-` if there are none, otherwise pairs of the form `name=value`, separated by commas.
fn parse_fields(line: &Bytes, range: Range<usize>) -> Result<Vec<(Bytes, Bytes)>, ProtocolError> {
    let list = &line[range];
    if list == b"-" {
        return Ok(Vec::new());
    }
    let mut fields = Vec::new();
    for pair in list.split(|byte| *byte == b',') {
        let equals = memchr::memchr(b'=', pair).ok_or(ProtocolError::InvalidLine)?;
        let (name, value) = (&pair[..equals], &pair[equals + 1..]);
        fields.push((line.slice_ref(name), line.slice_ref(value)));
    }
    if fields.len() > MAX_FIELDS {
        return Err(ProtocolError::InvalidLine);
    }
    Ok(fields)
}

/// Removes a body and its CR LF from the buffer. The body is copied, so that it does not keep the memory of the buffer allocated.
fn take_body(buf: &mut BytesMut, length: usize) -> Bytes {
    let body = Bytes::copy_from_slice(&buf[..length]);
    buf.advance(length + CR_LF.len());
    body
}

/// The content of a request to an executor.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the query's class.
    pub class: &'a str,
    /// Time limit in milliseconds.
    pub limit_ms: i64,
    /// Idempotency key of the client, by which executors recognise a repeated request.
    pub nonce: Option<&'a str>,
    /// The SQL statement to run.
    pub statement: &'a [u8],
}

/// Appends a request with its priority (`REQ`).
pub fn encode_request(id: RequestId, priority: u8, request: &Request<'_>, out: &mut BytesMut) {
    let Request {
        class,
        limit_ms,
        nonce,
        statement,
    } = request;
    let mut line = format!("REQ {id} cls={class},limit={limit_ms},prio={priority}");
    if let Some(nonce) = nonce {
        line.push_str(",nonce=");
        line.push_str(nonce);
    }
    line.push_str(&format!(" {}\r\n", statement.len()));
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(statement);
    out.extend_from_slice(CR_LF);
}

/// Appends the cancellation of a request (`STOP`).
pub fn encode_cancel(id: RequestId, out: &mut BytesMut) {
    out.extend_from_slice(format!("STOP {id}\r\n").as_bytes());
}

/// Appends a priority change of a request (`NICE`).
pub fn encode_priority(id: RequestId, priority: u8, out: &mut BytesMut) {
    out.extend_from_slice(format!("NICE {id} {priority}\r\n").as_bytes());
}

/// Appends a request for a page of a result (`FETCH`). Pages are numbered from 0; page 0 arrives without being requested.
pub fn encode_fetch(id: RequestId, page: usize, out: &mut BytesMut) {
    out.extend_from_slice(format!("FETCH {id} {page}\r\n").as_bytes());
}

/// Appends the release of a result, which lets the executor drop its pages (`END`).
pub fn encode_release(id: RequestId, out: &mut BytesMut) {
    out.extend_from_slice(format!("END {id}\r\n").as_bytes());
}

#[cfg(test)]
mod tests;
