//! HTTP/1.1 as clients speak it: a call taken apart, and the answers.

use crate::executor_protocol::RequestId;
use bytes::BytesMut;
use std::fmt::Write as _;

/// Bytes of a head at most.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Headers of a call at most.
const MAX_HEADERS: usize = 48;
/// Bytes of a statement at most.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// A client waits this long at most, in milliseconds: an hour.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Bytes of a name that a field may hold: a tenant, a key, what a repeat is known by.
const MAX_NAME_BYTES: usize = 128;
/// Most work in milliseconds, and most memory in MB, that an estimate may state.
const MAX_COST_MS: f64 = 1e8;
const MAX_MEMORY_MB: f64 = 1e7;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// Whether the controller takes clients.
    Health,
    /// A statement of this class to be run.
    Query(QueryRequest),
}

/// A statement's head.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The class, by name.
    pub class: String,
    /// Its id.
    pub id: RequestId,
    /// How long the client waits, in microseconds.
    pub wait: i64,
    /// Estimated work in seconds of one thread.
    pub work: Option<f64>,
    /// Estimated memory in MB.
    pub memory: Option<f64>,
    /// The tenant, by name, where the deployment has any.
    pub tenant: Option<String>,
    /// The key whose order it keeps, where its class keeps one.
    pub key: Option<String>,
    /// By what executors know a repeat, where its class has them drop repeats; passed on as it came.
    pub nonce: Option<String>,
}

/// A head that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Its bytes, and those of the body after it.
    pub length: usize,
    /// Bytes of the body.
    pub body: usize,
    /// The client will close the connection after the answer, or expects us to.
    pub close: bool,
    /// What it asks for, or why it gets nothing.
    pub wants: Result<RequestKind, RequestError>,
}

/// Why a call gets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It is no HTTP, or a length in it can't be: what follows can't be told apart.
    #[error("a call that can't be read")]
    Malformed,
    /// Its head is over the limit.
    #[error("a head that is too long")]
    HeadTooLong,
    /// Its body is over the limit.
    #[error("a body that is too long")]
    BodyTooLong,
    /// The length of its body is not told.
    #[error("a body whose length is not told")]
    LengthRequired,
    /// A field is missing, doubled or out of range.
    #[error("a field that is missing or can't be used")]
    InvalidField,
    /// There is no such class or path.
    #[error("no such path")]
    NotFound,
    /// That can't be done with this path.
    #[error("no such method")]
    MethodNotAllowed,
    /// The id is in use.
    #[error("an id that is in use, or was")]
    DuplicateId,
    /// It did not come in time.
    #[error("a call that did not come in time")]
    TimedOut,
}

impl RequestError {
    /// The status it is answered with.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed | RequestError::InvalidField => 400,
            RequestError::NotFound => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::TimedOut => 408,
            RequestError::DuplicateId => 409,
            RequestError::LengthRequired => 411,
            RequestError::BodyTooLong => 413,
            RequestError::HeadTooLong => 431,
        }
    }

    /// Nothing behind it can be read as a call.
    pub fn ends(self) -> bool {
        matches!(
            self,
            RequestError::Malformed
                | RequestError::HeadTooLong
                | RequestError::BodyTooLong
                | RequestError::LengthRequired
                | RequestError::TimedOut
        )
    }
}

/// Reads a head off the front of `buf`, which stays as it is; none until all of it has come.
///
/// # Errors
/// [`RequestError`], if nothing behind it can be read as a call.
pub fn head(buf: &[u8]) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buf) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Malformed),
    };
    let headers = &request.headers[..];
    // One of each that matters: two readers may take different ones of a doubled field.
    let one = |name: &str| -> Result<Option<&str>, ()> {
        let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let first =
            all.next().map(|h| std::str::from_utf8(h.value).map(str::trim).map_err(|_| ())).transpose()?;
        all.next().map_or(Ok(first), |_| Err(()))
    };
    let told = one("content-length").map_err(|()| RequestError::Malformed)?;
    let encoded = headers.iter().any(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
    let method = request.method.unwrap_or("");
    let body = match told {
        _ if encoded && told.is_some() => return Err(RequestError::Malformed),
        _ if encoded => return Err(RequestError::LengthRequired),
        Some(digits) if !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()) => {
            digits.parse::<usize>().ok().filter(|n| *n <= MAX_BODY_BYTES).ok_or(RequestError::BodyTooLong)?
        }
        Some(_) => return Err(RequestError::Malformed),
        None if method == "POST" => return Err(RequestError::LengthRequired),
        None => 0,
    };
    let connection = one("connection").ok().flatten().unwrap_or("");
    let says = |word: &str| connection.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
    let close = says("close") || (request.version == Some(0) && !says("keep-alive"));
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let wants = match (method, path, path.strip_prefix("/rpc/")) {
        ("GET", "/health", _) => Ok(RequestKind::Health),
        (_, "/health", _) => Err(RequestError::MethodNotAllowed),
        // We give no paths of results: all rows are in the last answer.
        ("GET" | "DELETE", ..) => Err(RequestError::NotFound),
        ("POST", _, Some(class)) if !class.is_empty() && !class.contains('/') => {
            asked(class, one).ok_or(RequestError::InvalidField).map(RequestKind::Query)
        }
        ("POST", ..) => Err(RequestError::NotFound),
        _ => Err(RequestError::MethodNotAllowed),
    };
    Ok(Some(RequestHead { length: length + body, body, close, wants }))
}

/// The fields of a statement's head; none if one is missing or can't be used.
fn asked<'a>(class: &str, one: impl Fn(&str) -> Result<Option<&'a str>, ()>) -> Option<QueryRequest> {
    // Digits alone, with a point or without: no sign, no exponent, no words for what is no number.
    let plain = |text: &str| text.bytes().all(|b| b.is_ascii_digit() || b == b'.') && text.len() <= 24;
    let figure = |name: &str, most: f64| -> Option<Option<f64>> {
        let Some(text) = one(name).ok()? else { return Some(None) };
        let number = Some(text).filter(|t| plain(t)).and_then(|t| t.parse::<f64>().ok());
        number.filter(|x| (0.0..=most).contains(x)).map(Some)
    };
    let id = RequestId::read(one("x-request-id").ok()??.as_bytes())?;
    let wait = figure("x-timeout-ms", MAX_TIMEOUT_MS)?.filter(|ms| *ms >= 1.0)?;
    let known = |x: Option<f64>| x.filter(|x| *x > 0.0);
    let work = known(figure("x-cost-ms", MAX_COST_MS)?).map(|ms| ms / 1e3);
    let memory = known(figure("x-need-mb", MAX_MEMORY_MB)?);
    match one("x-retry").ok()? {
        None | Some("0" | "1") => {}
        Some(_) => return None,
    }
    // They go on within a line of fields: nothing in them may end the field, the list or the line.
    let name = |name: &str| -> Option<Option<String>> {
        let Some(text) = one(name).ok()? else { return Some(None) };
        let sound = (1..=MAX_NAME_BYTES).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_graphic() && b != b',');
        sound.then(|| Some(text.to_string()))
    };
    let (tenant, key, nonce) = (name("x-tenant")?, name("x-object")?, name("idempotency-key")?);
    let (class, wait) = (class.to_string(), (wait * 1e3) as i64);
    Some(QueryRequest { class, id, wait, work, memory, tenant, key, nonce })
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// All rows, as JSON.
    Rows(Vec<u8>),
    /// Trying again is harmless, after so many milliseconds.
    Rejected(i64),
    /// Nothing is promised.
    Failed,
    /// The controller takes clients, or no more.
    Health(bool),
    /// The call gets nothing.
    Invalid(RequestError),
}

/// Appends an answer; with `close` it says that the connection ends.
pub fn put(reply: &Reply, close: bool, out: &mut BytesMut) {
    let (status, reason, body): (u16, &str, &[u8]) = match reply {
        Reply::Rows(rows) => (200, "OK", rows),
        Reply::Rejected(_) => (503, "Service Unavailable", b"{\"reason\":\"TryLater\"}"),
        Reply::Failed => (500, "Internal Server Error", b"{\"reason\":\"Aborted\"}"),
        Reply::Health(true) => (200, "OK", b"{}"),
        Reply::Health(false) => (503, "Service Unavailable", b"{\"reason\":\"TryLater\"}"),
        Reply::Invalid(bad) => (bad.status(), "Bad Call", b"{\"reason\":\"Aborted\"}"),
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n");
    // Writing to a string can't fail.
    let _ = write!(head, "Content-Length: {}\r\n", body.len());
    match reply {
        Reply::Rejected(ms) if *ms > 0 => {
            let _ = write!(head, "Retry-After-Ms: {ms}\r\n");
        }
        _ => {}
    }
    head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    out.reserve(head.len() + body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_head_is_read_once_it_is_whole() {
        let call = b"POST /rpc/report HTTP/1.1\r\nHost: api.internal\r\nx-request-id: 9b1f03aa5c7e2d41\r\n\
            X-Timeout-Ms: 1500\r\nX-Retry: 1\r\nX-Cost-Ms: 820.0\r\nX-Need-Mb: 96\r\nContent-Length: 84\r\n\r\n";
        for cut in 0..call.len() {
            assert_eq!(head(&call[..cut]), Ok(None), "cut at {cut}");
        }
        let read = head(call).expect("sound").expect("whole");
        assert_eq!((read.length, read.body, read.close), (call.len() + 84, 84, false));
        let Ok(RequestKind::Query(asked)) = read.wants else { panic!("a query") };
        assert_eq!(
            (asked.class.as_str(), asked.wait, asked.work, asked.memory),
            ("report", 1_500_000, Some(0.82), Some(96.0))
        );
    }

    #[test]
    fn a_connection_ends_where_its_client_says_so() {
        let ends = |version: &str, word: &str| {
            let call = format!("GET /health HTTP/{version}\r\n{word}\r\n");
            head(call.as_bytes()).expect("sound").expect("whole").close
        };
        assert!(!ends("1.1", "") && ends("1.1", "Connection: Close\r\n") && ends("1.0", ""));
        assert!(!ends("1.0", "Connection: keep-alive\r\n"));
    }

    #[test]
    fn each_reply_has_its_status_line_headers_and_body() {
        let written = |reply: Reply, close: bool| {
            let mut out = BytesMut::new();
            put(&reply, close, &mut out);
            String::from_utf8(out.to_vec()).expect("text")
        };
        let json = "Content-Type: application/json\r\nContent-Length: ";
        assert_eq!(
            written(Reply::Rows(b"{\"batch\":[]}".to_vec()), false),
            format!("HTTP/1.1 200 OK\r\n{json}12\r\n\r\n{{\"batch\":[]}}")
        );
        assert_eq!(
            written(Reply::Rejected(7), true),
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
        fn any_bytes_are_read_or_told(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let _ = head(&bytes);
            let _ = head(&[b"POST /rpc/x HTTP/1.1\r\n", &bytes[..], b"\r\n\r\n"].concat());
        }
    }
}
