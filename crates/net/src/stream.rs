//! Non-blocking TCP streams with input and output buffers.

use crate::Socket;
use bytes::{Buf, BytesMut};
use mio::event::Event;
use mio::{Registry, Token};
use std::io;
use std::net::SocketAddr;

/// A [`Socket`] with input and output buffers. The caller limits the size of both: of the input by the limit that it passes to
/// [`Stream::fill`], of the output by the amount of data that it appends.
#[derive(Debug)]
pub struct Stream {
    socket: Socket,
    /// Bytes that were received and not yet consumed.
    pub input: BytesMut,
    /// Bytes to be sent.
    pub output: BytesMut,
}

impl Stream {
    /// Starts to connect to `address`, from the address `source` if one is given. [`Stream::check_connected`] returns whether the
    /// connection is established.
    ///
    /// # Errors
    /// The errors of [`Socket::connect`] and [`Socket::connect_from`].
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

    /// Updates the readiness of the stream from an event of the poll.
    pub fn handle_event(&mut self, event: &Event) {
        self.socket.handle_event(event);
    }

    /// Returns whether the connection is established; see [`Socket::check_connected`].
    ///
    /// # Errors
    /// The error with which the connect failed.
    pub fn check_connected(&mut self) -> io::Result<bool> {
        self.socket.check_connected()
    }

    /// Reads available data until the input buffer holds `max_input` bytes, and returns the number of bytes read. Each read
    /// goes through the buffer `scratch`; the caller can pass the same one to all streams, so that idle streams hold no memory.
    ///
    /// # Errors
    /// The error that broke the connection; the stream can't be used any more.
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

    /// Writes as much of the output buffer as the socket accepts without blocking. Returns whether all of it was written.
    ///
    /// # Errors
    /// The error that broke the connection; the stream can't be used any more.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.socket.write(&self.output)? {
                0 => break,
                length => self.output.advance(length),
            }
        }
        let is_empty = self.output.is_empty();
        if is_empty {
            // An empty buffer keeps its memory, and its capacity does not tell how much that is.
            self.output = BytesMut::new();
        }
        Ok(is_empty)
    }

    /// Releases the memory of the input buffer if it is empty.
    pub fn release_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// See [`Socket::is_readable`].
    pub fn is_readable(&self) -> bool {
        self.socket.is_readable()
    }

    /// See [`Socket::is_read_finished`].
    pub fn is_read_finished(&self) -> bool {
        self.socket.is_read_finished()
    }

    /// See [`Socket::is_peer_closed`].
    pub fn is_peer_closed(&self) -> bool {
        self.socket.is_peer_closed()
    }

    /// See [`Socket::peer_address`].
    ///
    /// # Errors
    /// If the stream is not connected.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket.peer_address()
    }

    /// See [`Socket::close`].
    pub fn close(self, registry: &Registry) {
        self.socket.close(registry);
    }
}
