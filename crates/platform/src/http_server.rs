//! The HTTP/1.1 protocol of clients: parsing of request heads and writing of responses.

use crate::executor_protocol::RequestId;
use bytes::BytesMut;
use httparse::Header;
use std::fmt::Write as _;

/// Maximum length of a request head in bytes.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 48;
/// Maximum length of a request body, which is the SQL statement, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Time before the client's timeout at which a response must be sent, in microseconds, to allow for network latency.
pub const RESPONSE_MARGIN_US: i64 = 20_000;
/// Maximum timeout of a request in milliseconds: one hour.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Maximum length of a name in a header in bytes: a tenant, an ordering key or an idempotency key.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a number in a header in bytes.
const MAX_NUMBER_BYTES: usize = 24;
/// Maximum estimated work in milliseconds.
const MAX_COST_MS: f64 = 1e8;
/// Maximum estimated memory in MB.
const MAX_MEMORY_MB: f64 = 1e7;

/// The kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// A health check: whether the controller accepts queries.
    Health,
    /// A request for the metrics of the controller.
    Metrics,
    /// A query to run.
    Query(QueryRequest),
}

/// The parameters of a query, from the path and headers of its request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// Name of the query's class.
    pub class: String,
    /// Request id chosen by the client.
    pub id: RequestId,
    /// Time within which the client expects the response, in microseconds.
    pub timeout_us: i64,
    /// Estimated work in thread-seconds.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB.
    pub memory_hint: Option<f64>,
    /// Name of the tenant, if the deployment has tenants.
    pub tenant: Option<String>,
    /// Ordering key: queries with the same key run in order, if their class requires it.
    pub ordering_key: Option<String>,
    /// Idempotency key, if executors deduplicate queries of the class. It is forwarded unchanged.
    pub idempotency_key: Option<String>,
}

/// A parsed request head.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Length of the head and body together, in bytes.
    pub total_length: usize,
    /// Length of the body in bytes.
    pub body_length: usize,
    /// Whether the connection must be closed after the response.
    pub close: bool,
    /// The kind of the request, or the reason why it is rejected.
    pub kind: Result<RequestKind, RequestError>,
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is not valid HTTP, or the length of its body is ambiguous.
    #[error("malformed request")]
    Malformed,
    /// The head exceeds the size limit.
    #[error("request head too long")]
    HeadTooLong,
    /// The body exceeds the size limit.
    #[error("request body too long")]
    BodyTooLong,
    /// The request does not specify the length of its body.
    #[error("request body without a length")]
    LengthRequired,
    /// A header is missing, duplicated or out of range.
    #[error("missing or invalid header")]
    InvalidField,
    /// The class or path does not exist.
    #[error("no such path")]
    NotFound,
    /// The path does not support the method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The request id is in use or was used recently.
    #[error("request id already used")]
    DuplicateId,
    /// The request did not arrive in time.
    #[error("request timed out")]
    TimedOut,
}

impl RequestError {
    /// The HTTP status code of the response.
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

    /// Whether the connection must be closed because the input after the request can't be parsed.
    pub fn ends_connection(self) -> bool {
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

/// A header is missing or duplicated, or its value is invalid.
#[derive(Clone, Copy, Debug)]
struct InvalidHeader;

/// Parses the request head at the start of `buf`; `None` if it is incomplete.
///
/// # Errors
/// Why the request is rejected, if the input after it can't be parsed.
pub fn parse_head(buf: &[u8]) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buf) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Malformed),
    };
    let headers: &[Header<'_>] = request.headers;
    let method = request.method.unwrap_or("");
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let body_length = parse_body_length(method, headers)?;
    Ok(Some(RequestHead {
        total_length: head_length + body_length,
        body_length,
        close: closes_connection(request.version, headers),
        kind: parse_kind(method, path, headers),
    }))
}

/// The value of a header. A duplicated header is invalid, as different parsers could choose different values.
fn single_header<'a>(headers: &[Header<'a>], name: &str) -> Result<Option<&'a str>, InvalidHeader> {
    let mut matching = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name));
    let Some(header) = matching.next() else {
        return Ok(None);
    };
    let value = std::str::from_utf8(header.value).map_err(|_| InvalidHeader)?;
    match matching.next() {
        Some(_) => Err(InvalidHeader),
        None => Ok(Some(value.trim())),
    }
}

fn parse_body_length(method: &str, headers: &[Header<'_>]) -> Result<usize, RequestError> {
    let content_length =
        single_header(headers, "content-length").map_err(|_| RequestError::Malformed)?;
    let is_encoded = headers
        .iter()
        .any(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    match content_length {
        Some(_) if is_encoded => Err(RequestError::Malformed),
        None if is_encoded => Err(RequestError::LengthRequired),
        Some(digits) if !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = digits
                .parse::<usize>()
                .ok()
                .filter(|length| *length <= MAX_BODY_BYTES);
            length.ok_or(RequestError::BodyTooLong)
        }
        Some(_) => Err(RequestError::Malformed),
        None if method == "POST" => Err(RequestError::LengthRequired),
        None => Ok(0),
    }
}

/// Whether the connection is closed after the response by the request's `Connection` header or HTTP version. `version` is the minor
/// version.
fn closes_connection(version: Option<u8>, headers: &[Header<'_>]) -> bool {
    let connection = single_header(headers, "connection")
        .ok()
        .flatten()
        .unwrap_or("");
    let contains = |option: &str| {
        connection
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case(option))
    };
    contains("close") || (version == Some(0) && !contains("keep-alive"))
}

fn parse_kind(
    method: &str,
    path: &str,
    headers: &[Header<'_>],
) -> Result<RequestKind, RequestError> {
    match (method, path, path.strip_prefix("/rpc/")) {
        ("GET", "/health", _) => Ok(RequestKind::Health),
        ("GET", "/metrics", _) => Ok(RequestKind::Metrics),
        (_, "/health" | "/metrics", _) => Err(RequestError::MethodNotAllowed),
        // No path serves results separately, as the response to a query contains all rows.
        ("GET" | "DELETE", ..) => Err(RequestError::NotFound),
        ("POST", _, Some(class)) if !class.is_empty() && !class.contains('/') => {
            let query = parse_query(class, headers).map_err(|_| RequestError::InvalidField)?;
            Ok(RequestKind::Query(query))
        }
        ("POST", ..) => Err(RequestError::NotFound),
        _ => Err(RequestError::MethodNotAllowed),
    }
}

fn parse_query(class: &str, headers: &[Header<'_>]) -> Result<QueryRequest, InvalidHeader> {
    let id = single_header(headers, "x-request-id")?.ok_or(InvalidHeader)?;
    let id = RequestId::parse(id.as_bytes()).ok_or(InvalidHeader)?;
    let timeout_ms = number_header(headers, "x-timeout-ms", MAX_TIMEOUT_MS)?;
    let timeout_ms = timeout_ms.filter(|ms| *ms >= 1.0).ok_or(InvalidHeader)?;
    // Zero means that the client gives no estimate.
    let work_ms = number_header(headers, "x-cost-ms", MAX_COST_MS)?.filter(|ms| *ms > 0.0);
    let memory_hint = number_header(headers, "x-need-mb", MAX_MEMORY_MB)?.filter(|mb| *mb > 0.0);
    match single_header(headers, "x-retry")? {
        None | Some("0" | "1") => {}
        Some(_) => return Err(InvalidHeader),
    }
    Ok(QueryRequest {
        class: class.to_string(),
        id,
        timeout_us: (timeout_ms * 1e3) as i64,
        work_hint: work_ms.map(|ms| ms / 1e3),
        memory_hint,
        tenant: name_header(headers, "x-tenant")?,
        ordering_key: name_header(headers, "x-object")?,
        idempotency_key: name_header(headers, "idempotency-key")?,
    })
}

/// Parses a header that is a decimal number: digits and at most one point, without sign, exponent or words such as `NaN`.
fn number_header(
    headers: &[Header<'_>],
    name: &str,
    max: f64,
) -> Result<Option<f64>, InvalidHeader> {
    let Some(text) = single_header(headers, name)? else {
        return Ok(None);
    };
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain || text.len() > MAX_NUMBER_BYTES {
        return Err(InvalidHeader);
    }
    let number = text.parse::<f64>().map_err(|_| InvalidHeader)?;
    if (0.0..=max).contains(&number) {
        Ok(Some(number))
    } else {
        Err(InvalidHeader)
    }
}

/// Parses a header that is a name of visible ASCII characters without commas. Names are forwarded to executors in a comma-separated
/// line, which must stay intact.
fn name_header(headers: &[Header<'_>], name: &str) -> Result<Option<String>, InvalidHeader> {
    let Some(text) = single_header(headers, name)? else {
        return Ok(None);
    };
    let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b',');
    if is_valid {
        Ok(Some(text.to_string()))
    } else {
        Err(InvalidHeader)
    }
}

/// A response to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// All rows of the result as JSON.
    Rows(Vec<u8>),
    /// The query has not run or may safely run twice, so the client may retry it.
    Rejected {
        /// Recommended delay before a retry, in milliseconds; 0 if there is no recommendation.
        retry_after_ms: i64,
    },
    /// The query failed and may have run.
    Failed,
    /// The result of a health check.
    Health {
        /// Whether the controller accepts queries; false during shutdown.
        is_serving: bool,
    },
    /// The metrics of the controller in text format.
    Metrics(String),
    /// The request was invalid.
    Invalid(RequestError),
}

impl Reply {
    fn content_type(&self) -> &'static str {
        match self {
            Reply::Metrics(_) => "text/plain; version=0.0.4",
            _ => "application/json",
        }
    }

    /// Status code, reason phrase and body.
    fn parts(&self) -> (u16, &'static str, &[u8]) {
        const TRY_LATER: &[u8] = b"{\"reason\":\"TryLater\"}";
        const ABORTED: &[u8] = b"{\"reason\":\"Aborted\"}";
        match self {
            Reply::Rows(rows) => (200, "OK", rows),
            Reply::Metrics(text) => (200, "OK", text.as_bytes()),
            Reply::Health { is_serving: true } => (200, "OK", b"{}"),
            Reply::Health { is_serving: false } | Reply::Rejected { .. } => {
                (503, "Service Unavailable", TRY_LATER)
            }
            Reply::Failed => (500, "Internal Server Error", ABORTED),
            Reply::Invalid(error) => (error.status(), "Bad Call", ABORTED),
        }
    }
}

/// Appends a response to `out`. If `close` is set, the response announces that the connection will be closed.
pub fn write_reply(reply: &Reply, close: bool, out: &mut BytesMut) {
    let (status, reason, body) = reply.parts();
    let content_type = reply.content_type();
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n");
    // Writing to a `String` can't fail.
    let _ = write!(head, "Content-Length: {}\r\n", body.len());
    match reply {
        Reply::Rejected { retry_after_ms } if *retry_after_ms > 0 => {
            let _ = write!(head, "Retry-After-Ms: {retry_after_ms}\r\n");
        }
        _ => {}
    }
    head.push_str(if close {
        "Connection: close\r\n\r\n"
    } else {
        "\r\n"
    });
    out.reserve(head.len() + body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
