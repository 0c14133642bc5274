//! The executors' protocol: lines of words that end in CR LF; a length as the last word has so many bytes follow.

use crate::result_pages::MAX_PAGE_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

/// Bytes of a line at most, its end included.
const MAX_LINE_BYTES: usize = 1_024;
/// Fields of a line at most.
const MAX_FIELDS: usize = 32;
/// Bytes that may wait to be read as answers: a line and a page, and the end of both.
pub const MAX_RESPONSE_BYTES: usize = MAX_LINE_BYTES + MAX_PAGE_BYTES + 2;

/// The id of a request: 16 hex digits, as the client wrote them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId([u8; 16]);

impl RequestId {
    /// Reads an id; none if it is not 16 hex digits.
    pub fn read(text: &[u8]) -> Option<RequestId> {
        let id: [u8; 16] = text.try_into().ok()?;
        id.iter().all(u8::is_ascii_hexdigit).then_some(RequestId(id))
    }

    /// As text.
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

/// What an executor says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Done: the first page.
    Hit,
    /// Full: it never ran.
    Shed,
    /// It may have run.
    Fault,
    /// It was over already: it never ran.
    Late,
    /// Not yet over.
    Info,
    /// A further page.
    Part,
    /// The connection works.
    Pong,
}

/// An answer of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Of what; not always an id of a request.
    pub id: Bytes,
    /// What it says.
    pub word: ResponseKind,
    /// Its fields.
    fields: Vec<(Bytes, Bytes)>,
    /// What follows.
    pub body: Bytes,
}

impl Response {
    /// A field as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = self.fields.iter().find(|(n, _)| n == name.as_bytes()).map(|(_, v)| v)?;
        std::str::from_utf8(value).ok()
    }

    /// A field as a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.text(name)?.parse().ok().filter(|x: &f64| x.is_finite())
    }
}

/// What came can't be read: nothing after it can.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// No end within the longest line.
    #[error("a line that does not end")]
    UnterminatedLine,
    /// Not as lines are.
    #[error("a line that can't be read")]
    InvalidLine,
    /// More than a page.
    #[error("a length that is no length of a page")]
    InvalidLength,
    /// What follows does not end where it should.
    #[error("a length that does not fit")]
    LengthMismatch,
}

/// Where a line ends, its CR LF left out; none until it has come.
fn line_end(buf: &[u8]) -> Result<Option<usize>, ProtocolError> {
    let within = &buf[..buf.len().min(MAX_LINE_BYTES)];
    match memchr::memchr(b'\n', within) {
        Some(0) => Err(ProtocolError::InvalidLine),
        Some(n) if within[n - 1] != b'\r' => Err(ProtocolError::InvalidLine),
        Some(n) => Ok(Some(n - 1)),
        None if buf.len() >= MAX_LINE_BYTES => Err(ProtocolError::UnterminatedLine),
        None => Ok(None),
    }
}

/// The fields of a list, by where they stand in the line.
fn fields(line: &Bytes, list: &[u8]) -> Result<Vec<(Bytes, Bytes)>, ProtocolError> {
    if list == b"-" {
        return Ok(Vec::new());
    }
    let mut all = Vec::new();
    for pair in list.split(|b| *b == b',') {
        let at = memchr::memchr(b'=', pair).ok_or(ProtocolError::InvalidLine)?;
        all.push((line.slice_ref(&pair[..at]), line.slice_ref(&pair[at + 1..])));
    }
    if all.len() > MAX_FIELDS {
        return Err(ProtocolError::InvalidLine);
    }
    Ok(all)
}

/// Takes an answer off the front of `buf`; none until all of it has come.
///
/// # Errors
/// [`ProtocolError`]; the connection is of no further use.
pub fn take(buf: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
    let Some(end) = line_end(buf)? else { return Ok(None) };
    let words: Vec<&[u8]> = buf[..end].split(|b| *b == b' ').collect();
    let word = match words.get(1) {
        Some(&b"HIT") => ResponseKind::Hit,
        Some(&b"SHED") => ResponseKind::Shed,
        Some(&b"FAULT") => ResponseKind::Fault,
        Some(&b"LATE") => ResponseKind::Late,
        Some(&b"INFO") => ResponseKind::Info,
        Some(&b"PART") => ResponseKind::Part,
        Some(&b"PONG") => ResponseKind::Pong,
        _ => return Err(ProtocolError::InvalidLine),
    };
    let length = match words[2..] {
        [] if word == ResponseKind::Pong => None,
        [_, length] => Some(length),
        _ => return Err(ProtocolError::InvalidLine),
    };
    let length = match length {
        None => None,
        Some(digits) => {
            let number = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
            let number = number.and_then(|d| d.parse::<usize>().ok()).ok_or(ProtocolError::InvalidLine)?;
            Some(number).filter(|n| *n <= MAX_PAGE_BYTES).ok_or(ProtocolError::InvalidLength).map(Some)?
        }
    };
    // What follows the line, and its own CR LF.
    let whole = end + 2 + length.map_or(0, |n| n + 2);
    if buf.len() < whole {
        return Ok(None);
    }
    if length.is_some() && &buf[whole - 2..whole] != b"\r\n" {
        return Err(ProtocolError::LengthMismatch);
    }
    let (id, list) = (words[0].len(), words.get(2).map(|w| w.len()));
    let line = buf.split_to(end).freeze();
    buf.advance(2);
    let mut body = length.map(|n| buf.split_to(n).freeze()).unwrap_or_default();
    if length.is_some() {
        buf.advance(2);
    }
    if !body.is_empty() {
        // Its own memory, so that the buffer it came in is free again.
        body = Bytes::copy_from_slice(&body);
    }
    let start = id + 1 + line[id + 1..].iter().position(|b| *b == b' ').map_or(0, |n| n + 1);
    let fields = list.map(|n| fields(&line, &line[start..start + n])).transpose()?.unwrap_or_default();
    Ok(Some(Response { id: line.slice(..id), word, fields, body }))
}

/// A request as executors are sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its class, by name.
    pub class: &'a str,
    /// How long we wait, in milliseconds.
    pub limit_ms: i64,
    /// By what a repeat of it is known, as its client wrote it.
    pub nonce: Option<&'a str>,
    /// What is to be run.
    pub statement: &'a [u8],
}

/// Sends a request, with a priority.
pub fn put_request(id: RequestId, priority: u8, request: &Request<'_>, out: &mut BytesMut) {
    let Request { class, limit_ms, nonce, statement } = request;
    let mut line = format!("REQ {id} cls={class},limit={limit_ms},prio={priority}");
    if let Some(nonce) = nonce {
        line.push_str(",nonce=");
        line.push_str(nonce);
    }
    line.push_str(&format!(" {}\r\n", statement.len()));
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(statement);
    out.extend_from_slice(b"\r\n");
}

/// Gives a request up.
pub fn put_stop(id: RequestId, out: &mut BytesMut) {
    out.extend_from_slice(format!("STOP {id}\r\n").as_bytes());
}

/// A new priority.
pub fn put_priority(id: RequestId, priority: u8, out: &mut BytesMut) {
    out.extend_from_slice(format!("NICE {id} {priority}\r\n").as_bytes());
}

/// Asks for a page, from 1.
pub fn put_fetch(id: RequestId, page: usize, out: &mut BytesMut) {
    out.extend_from_slice(format!("FETCH {id} {page}\r\n").as_bytes());
}

/// No more pages are wanted.
pub fn put_end(id: RequestId, out: &mut BytesMut) {
    out.extend_from_slice(format!("END {id}\r\n").as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ID: &str = "9b1f03aa5c7e2d41";

    /// All answers of some bytes that come in these pieces.
    fn read(pieces: &[&[u8]]) -> Result<Vec<Response>, ProtocolError> {
        let (mut buf, mut all) = (BytesMut::new(), Vec::new());
        for piece in pieces {
            buf.extend_from_slice(piece);
            while let Some(answer) = take(&mut buf)? {
                all.push(answer);
            }
        }
        Ok(all)
    }

    #[test]
    fn answers_are_the_same_however_they_are_cut() {
        let text = format!(
            "{ID} INFO tell=pct,v=0.25 0\r\n\r\n{ID} HIT pages=2,cost=81.5,meter=inflight:7;util:0.61 6\r\na\t1\tx\n\r\n\
             x PONG\r\n{ID} FAULT - 0\r\n\r\n"
        );
        let whole = read(&[text.as_bytes()]).expect("sound");
        assert_eq!(
            whole.iter().map(|a| a.word).collect::<Vec<_>>(),
            [ResponseKind::Info, ResponseKind::Hit, ResponseKind::Pong, ResponseKind::Fault]
        );
        assert_eq!(
            (whole[1].text("meter"), whole[1].number("cost")),
            (Some("inflight:7;util:0.61"), Some(81.5))
        );
        assert_eq!((&whole[1].id[..], &whole[1].body[..]), (ID.as_bytes(), &b"a\t1\tx\n"[..]));
        for cut in 0..text.len() {
            let (a, b) = text.as_bytes().split_at(cut);
            assert_eq!(read(&[a, b]).as_ref(), Ok(&whole), "cut at {cut}");
        }
    }

    #[test]
    fn requests_are_written_as_executors_read_them() {
        let id = RequestId::read(ID.as_bytes()).expect("16 digits");
        let mut out = BytesMut::new();
        let request = Request { class: "report", limit_ms: 1500, nonce: None, statement: b"SELECT 1" };
        put_request(id, 2, &request, &mut out);
        put_request(id, 1, &Request { nonce: Some("a5=+/"), ..request }, &mut out);
        put_fetch(id, 3, &mut out);
        put_priority(id, 0, &mut out);
        put_end(id, &mut out);
        put_stop(id, &mut out);
        let expected = format!(
            "REQ {ID} cls=report,limit=1500,prio=2 8\r\nSELECT 1\r\n\
             REQ {ID} cls=report,limit=1500,prio=1,nonce=a5=+/ 8\r\nSELECT 1\r\nFETCH {ID} 3\r\nNICE {ID} 0\r\nEND {ID}\r\nSTOP {ID}\r\n"
        );
        assert_eq!(out, expected.as_bytes());
        assert!(
            RequestId::read(b"9b1f03aa5c7e2d4").is_none() && RequestId::read(b"9b1f03aa5c7e2d4g").is_none()
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_told_and_never_pile_up(bytes in prop::collection::vec(any::<u8>(), 0..4096)) {
            let mut buf = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = take(&mut buf) {}
            let waits = matches!(take(&mut buf), Ok(None));
            prop_assert!(!waits || buf.len() < MAX_RESPONSE_BYTES);
        }
    }
}
