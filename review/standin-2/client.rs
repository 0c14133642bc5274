//! Clients: HTTP/1.1, one call at a time on a connection.

use crate::util::now;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request of a usual client.
#[derive(Clone)]
pub struct Call {
    pub class: &'static str,
    pub id: String,
    pub timeout_ms: u64,
    pub cost_ms: f64,
    pub need_mb: f64,
    pub is_retry: bool,
    /// The idempotency key, for a class whose repeats executors drop by a key.
    pub key: Option<String>,
    pub statement: String,
}

impl Call {
    pub fn new(class: &'static str, id: String, timeout_ms: u64) -> Call {
        Call {
            class,
            id,
            timeout_ms,
            cost_ms: 200.0,
            need_mb: 64.0,
            is_retry: false,
            key: None,
            statement: "SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day".into(),
        }
    }

    pub fn text(&self) -> String {
        let mut text = format!(
            "POST /rpc/{} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Timeout-Ms: {}\r\nX-Cost-Ms: {:.1}\r\nX-Need-Mb: {:.0}\r\n",
            self.class, self.id, self.timeout_ms, self.cost_ms, self.need_mb
        );
        if self.is_retry {
            text += "X-Retry: 1\r\n";
        }
        if let Some(key) = &self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        text + &format!(
            "Content-Length: {}\r\n\r\n{}",
            self.statement.len(),
            self.statement
        )
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }

    /// Refused, in one of the forms that the protocol page lists: trying again is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 429 | 503) || self.body.contains("\"reason\":\"TryLater\"")
    }

    pub fn word(&self) -> &'static str {
        match self.status {
            200 if !self.body.contains("\"reason\"") => "served",
            _ if self.is_refusal() => "refused",
            _ => "failed",
        }
    }
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoResponse {
    NotAccepted,
    Closed,
    Silent,
}

/// Reads one response until the time `until`.
pub fn read_response(stream: &mut TcpStream, until: i64) -> Result<Response, NoResponse> {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
    loop {
        if let Some(response) = parse(&bytes) {
            return Ok(response);
        }
        let left = until - now();
        if left <= 0 {
            return Err(NoResponse::Silent);
        }
        let _ = stream.set_read_timeout(Some(Duration::from_micros(left.max(1_000) as u64)));
        match stream.read(&mut chunk) {
            Ok(0) => return Err(NoResponse::Closed),
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(NoResponse::Silent)
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(NoResponse::Closed),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Response> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut response = Response {
        status: 0,
        head,
        body: String::new(),
    };
    response.status = response.head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = response.header("Content-Length")?.parse().ok()?;
    let body = bytes.get(head_end + 4..head_end + 4 + length)?;
    response.body = String::from_utf8_lossy(body).into_owned();
    Some(response)
}

/// Sends a text on a new connection and waits for one response, for `wait_ms` at most.
pub fn exchange(address: SocketAddr, text: &str, wait_ms: u64) -> Result<Response, NoResponse> {
    let until = now() + wait_ms as i64 * 1_000;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(wait_ms))
        .map_err(|_| NoResponse::NotAccepted)?;
    let _ = stream.set_nodelay(true);
    stream
        .write_all(text.as_bytes())
        .map_err(|_| NoResponse::Closed)?;
    read_response(&mut stream, until)
}
