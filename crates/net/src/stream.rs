//! Non-blocking TCP streams with an input and an output buffer.

use crate::Socket;
use bytes::{Buf, BytesMut};
use mio::event::Event;
use mio::{Registry, Token};
use std::io;
use std::net::SocketAddr;

/// An emptied output buffer larger than this is released, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 2048;

/// A [`Socket`] with the bytes that were received and those to be sent. The caller bounds both: the input by the limit of
/// [`Stream::fill`], the output by what it puts there.
#[derive(Debug)]
pub struct Stream {
    socket: Socket,
    /// Bytes received and not yet taken.
    pub input: BytesMut,
    /// Bytes to be sent.
    pub output: BytesMut,
}

impl Stream {
    /// Begins to connect; [`Stream::check_connected`] says when that is done. With a `source`, it connects from that
    /// address.
    ///
    /// # Errors
    /// If the system refuses at once.
    pub fn connect(
        source: Option<SocketAddr>,
        address: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Stream> {
        let socket = match source {
            Some(source) => Socket::connect_from(source, address, registry, token)?,
            None => Socket::connect(address, registry, token)?,
        };
        Ok(Stream {
            socket,
            input: BytesMut::new(),
            output: BytesMut::new(),
        })
    }

    /// Takes note of an event of the poll.
    pub fn handle_event(&mut self, event: &Event) {
        self.socket.handle_event(event);
    }

    /// As [`Socket::check_connected`].
    ///
    /// # Errors
    /// Why the connect failed.
    pub fn check_connected(&mut self) -> io::Result<bool> {
        self.socket.check_connected()
    }

    /// Reads what has arrived, until the input holds `max_input` bytes, and returns the number of bytes read. `scratch` is
    /// shared by all streams, so that idle ones hold no memory.
    ///
    /// # Errors
    /// Why the connection broke; the stream is of no further use.
    pub fn fill(&mut self, max_input: usize, scratch: &mut [u8]) -> io::Result<usize> {
        let mut total = 0;
        while self.input.len() < max_input {
            let capacity = scratch.len().min(max_input - self.input.len());
            match self.socket.read(&mut scratch[..capacity])? {
                0 => break,
                length => {
                    self.input.extend_from_slice(&scratch[..length]);
                    total += length;
                }
            }
        }
        Ok(total)
    }

    /// Writes what the peer takes now of the output; true once all is written.
    ///
    /// # Errors
    /// Why the connection broke; the stream is of no further use.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.socket.write(&self.output)? {
                0 => break,
                length => self.output.advance(length),
            }
        }
        if self.output.is_empty() && self.output.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.output = BytesMut::new();
        }
        Ok(self.output.is_empty())
    }

    /// Releases the memory of an empty input.
    pub fn release_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// As [`Socket::is_readable`].
    pub fn is_readable(&self) -> bool {
        self.socket.is_readable()
    }

    /// As [`Socket::is_read_finished`].
    pub fn is_read_finished(&self) -> bool {
        self.socket.is_read_finished()
    }

    /// As [`Socket::is_peer_closed`].
    pub fn is_peer_closed(&self) -> bool {
        self.socket.is_peer_closed()
    }

    /// As [`Socket::peer_address`].
    ///
    /// # Errors
    /// If it is not connected.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket.peer_address()
    }

    /// As [`Socket::close`].
    pub fn close(self, registry: &Registry) {
        self.socket.close(registry);
    }
}
