//! HTTP as the clients of the platform use it: writes requests and reads responses.

use crate::ledger::RequestId;
use crate::settings::Class;
use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The largest accepted body of a response, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the server closes the connection after it.
    pub closes: bool,
    /// The body.
    pub body: String,
}

/// Formats a request that runs a statement.
pub fn query_request(id: RequestId, class: Class, timeout_us: i64, work_ms: f64) -> String {
    const STATEMENT: &str = "SELECT a, b, c FROM sales_17.orders";
    format!(
        "POST /rpc/{} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {}\r\nX-Cost-Ms: {work_ms}\r\nContent-Length: {}\r\n\r\n{STATEMENT}",
        class.name(),
        timeout_us / 1_000,
        STATEMENT.len(),
    )
}

/// Reads a response; `None` if the connection ended before its first byte.
///
/// # Errors
/// Errors of the connection; `InvalidData` or `UnexpectedEof` for an incomplete or malformed
/// response.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Response>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let status = line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    let status = status
        .and_then(|digits| digits.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let (mut length, mut closes) = (0, false);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", digits)) => {
                length = digits.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
            Some(("Connection", "close")) => closes = true,
            Some(_) => {}
            None => break,
        }
    }
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(Some(Response {
        status,
        closes,
        body,
    }))
}

/// The status of a health check; `None` if it was not answered.
pub fn health(address: SocketAddr, timeout: Duration) -> Option<u16> {
    use std::io::Write as _;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream
        .write_all(b"GET /health HTTP/1.1\r\nHost: soak\r\n\r\n")
        .ok()?;
    let response = read_response(&mut BufReader::new(stream)).ok()??;
    Some(response.status)
}
