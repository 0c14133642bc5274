//! The HTTP codec of `wheelfield-sans-io`, and a blocking HTTP client for programs without an event loop.

use crate::retry_interrupted;
use bytes::BytesMut;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub use wheelfield_sans_io::http::*;

/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Sends a GET request and waits for the response. `timeout` applies separately to the connect, to each read and to each
/// write. The body of the response may have up to `max_body_bytes`.
///
/// # Errors
/// I/O errors of the connection; `InvalidData` if the response is invalid or too long; `UnexpectedEof` if the connection was
/// closed before the response was complete.
pub fn get(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
    max_body_bytes: usize,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_write_timeout(Some(timeout))?;
    let mut request = BytesMut::new();
    write_request("GET", path, b"", &mut request);
    stream.write_all(&request)?;
    let (mut input, mut buffer) = (BytesMut::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        let length = retry_interrupted(Instant::now() + timeout, |remaining| {
            stream.set_read_timeout(Some(remaining))?;
            stream.read(&mut buffer)
        })?;
        input.extend_from_slice(&buffer[..length]);
        match take_response(&mut input, max_body_bytes) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) if length == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(None) => {}
            Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error)),
        }
    }
}
