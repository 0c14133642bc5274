//! Streams through which signal handlers and other threads wake the event loop.

use super::Handler;
use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read as _};

/// Size of the buffer into which the bytes of a wake-up stream are read to be discarded.
const DISCARD_BUFFER_BYTES: usize = 64;

/// A stream that calls a handler when bytes arrive. The content of the bytes is ignored.
pub(super) struct Wakeup<P> {
    stream: UnixStream,
    handler: Handler<P>,
}

impl<P> Wakeup<P> {
    /// Registers a stream with the poll registry.
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

    /// Discards all pending bytes and calls the handler once.
    pub fn handle(&mut self, protocol: &mut P, now: i64) {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        while matches!(self.stream.read(&mut bytes), Ok(n) if n > 0) {}
        (self.handler)(protocol, now);
    }
}
