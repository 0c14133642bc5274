//! Streams by which signal handlers and other threads wake the event loop.

use super::Handler;
use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read as _};

/// Bytes of a wake-up stream that are discarded in one read.
const DISCARD_BYTES: usize = 64;

/// A stream whose bytes have a handler called; what they are does not matter.
pub(super) struct Wakeup<P> {
    stream: UnixStream,
    handler: Handler<P>,
}

impl<P> Wakeup<P> {
    /// Registers a stream with the poll.
    pub fn register(
        stream: std::os::unix::net::UnixStream,
        handler: Handler<P>,
        token: Token,
        registry: &Registry,
    ) -> io::Result<Wakeup<P>> {
        stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(stream);
        registry.register(&mut stream, token, Interest::READABLE)?;
        Ok(Wakeup { stream, handler })
    }

    /// Discards the bytes that wait and calls the handler once.
    pub fn handle(&mut self, protocol: &mut P, now: i64) {
        let mut bytes = [0; DISCARD_BYTES];
        while matches!(self.stream.read(&mut bytes), Ok(n) if n > 0) {}
        (self.handler)(protocol, now);
    }
}
