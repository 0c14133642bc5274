//! HTTP beside the main protocol, and a call that waits for its answer.

use bytes::BytesMut;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub use wheelfield_sans_io::http::*;

/// Asks for something and waits for it: for programs that have nothing else to do meanwhile.
///
/// # Errors
/// As the system tells; `InvalidData` for what is no response, or is over `limit` bytes; `UnexpectedEof` for a part of one.
pub fn get(address: SocketAddr, path: &str, patience: Duration, limit: usize) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    let mut request = BytesMut::new();
    write_request("GET", path, b"", &mut request);
    stream.write_all(&request)?;
    let (mut answer, mut part) = (BytesMut::new(), vec![0; 16 << 10]);
    loop {
        let n = stream.read(&mut part)?;
        answer.extend_from_slice(&part[..n]);
        match take_response(&mut answer, limit) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) if n == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(None) => {}
            Err(fault) => return Err(io::Error::new(io::ErrorKind::InvalidData, fault)),
        }
    }
}
