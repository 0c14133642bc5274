//! Splits a byte stream into protocol messages. The length of a message is checked against a limit before any of
//! its content is decoded.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a startup packet in bytes, the same as in PostgreSQL.
pub const MAX_STARTUP_PACKET_BYTES: usize = 10_000;

/// A violation of the PostgreSQL protocol by the peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message is longer than allowed.
    #[error("a message '{tag}' of {length} bytes is over the limit of {limit}")]
    MessageTooLong {
        /// The type byte of the message; `-` for a startup packet, which has none.
        tag: char,
        /// The length of the message in bytes.
        length: usize,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The length field has a value that no message can have.
    #[error("a message '{tag}' gives its length as {length}")]
    InvalidLength {
        /// The type byte of the message; `-` for a startup packet, which has none.
        tag: char,
        /// The value of the length field.
        length: i64,
    },
    /// The type byte is not defined, or not allowed in the current state of the session.
    #[error("a message of unknown type '{0}'")]
    UnknownMessageType(char),
    /// The body does not have the format that the message type requires.
    #[error("a message '{tag}' is ill-formed: {reason}")]
    InvalidBody {
        /// The type byte of the message; `-` for a startup packet, which has none.
        tag: char,
        /// What is wrong with the body.
        reason: &'static str,
    },
    /// A message that is not allowed in the current state of the session.
    #[error("{0}")]
    Unexpected(&'static str),
}

/// Converts a type byte to a character for error messages; `?` if it is not printable.
pub fn printable_tag(tag: u8) -> char {
    if tag.is_ascii_graphic() {
        tag as char
    } else {
        '?'
    }
}

/// The type and the length of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The type byte.
    pub tag: u8,
    /// The length of the whole message (type, length field and body) in bytes.
    pub message_len: usize,
}

/// Bytes before the body of a message: the type byte and the length field.
pub const HEADER_BYTES: usize = 5;

/// Parses the header of the message at the start of `buf`. Returns `None` if it has not been fully received.
///
/// # Errors
/// [`ProtocolError::InvalidLength`] if the length field is less than its own 4 bytes.
pub fn parse_header(buf: &[u8]) -> Result<Option<Header>, ProtocolError> {
    let Some((&[tag, a, b, c, d], _)) = buf.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let length = i32::from_be_bytes([a, b, c, d]);
    match usize::try_from(length) {
        Ok(n) if n >= 4 => Ok(Some(Header { tag, message_len: n + 1 })),
        _ => Err(ProtocolError::InvalidLength { tag: printable_tag(tag), length: i64::from(length) }),
    }
}

/// Removes a message from the front of `buf` and returns its type byte and all its bytes, header included. Returns
/// `None` until the whole message has been received.
///
/// # Errors
/// [`ProtocolError`] if the length is invalid or exceeds `limit` bytes.
pub fn take_message(buf: &mut BytesMut, limit: usize) -> Result<Option<(u8, Bytes)>, ProtocolError> {
    let Some(Header { tag, message_len }) = parse_header(buf)? else { return Ok(None) };
    if message_len > limit {
        return Err(ProtocolError::MessageTooLong { tag: printable_tag(tag), length: message_len, limit });
    }
    if buf.len() < message_len {
        return Ok(None);
    }
    Ok(Some((tag, buf.split_to(message_len).freeze())))
}

/// Removes a startup packet, which has no type byte, from the front of `buf`. Returns `None` until the whole packet
/// has been received.
///
/// # Errors
/// [`ProtocolError`] if the length is invalid or exceeds [`MAX_STARTUP_PACKET_BYTES`].
pub fn take_startup(buf: &mut BytesMut) -> Result<Option<Bytes>, ProtocolError> {
    let Some((first, _)) = buf.split_first_chunk::<4>() else { return Ok(None) };
    let length = i32::from_be_bytes(*first);
    let message_len = usize::try_from(length).unwrap_or(0);
    if message_len < 8 {
        return Err(ProtocolError::InvalidLength { tag: '-', length: i64::from(length) });
    }
    if message_len > MAX_STARTUP_PACKET_BYTES {
        return Err(ProtocolError::MessageTooLong {
            tag: '-',
            length: message_len,
            limit: MAX_STARTUP_PACKET_BYTES,
        });
    }
    Ok((buf.len() >= message_len).then(|| buf.split_to(message_len).freeze()))
}

/// Reads the fields of a message body in order, and checks the bounds of each read.
pub struct Cursor<'a> {
    tag: u8,
    remaining: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// A cursor at the start of the body of `message`, which includes its header.
    pub fn new(message: &'a [u8]) -> Cursor<'a> {
        let tag = message.first().copied().unwrap_or(0);
        Cursor { tag, remaining: message.get(HEADER_BYTES..).unwrap_or(&[]) }
    }

    /// A [`ProtocolError::InvalidBody`] for this message.
    pub fn error(&self, reason: &'static str) -> ProtocolError {
        ProtocolError::InvalidBody { tag: printable_tag(self.tag), reason }
    }

    /// Reads a NUL-terminated string.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if there is no NUL or the string is not UTF-8.
    pub fn string(&mut self) -> Result<&'a str, ProtocolError> {
        let end = self
            .remaining
            .iter()
            .position(|b| *b == 0)
            .ok_or_else(|| self.error("a text without its end"))?;
        let (text, remaining) = self.remaining.split_at(end);
        self.remaining = &remaining[1..];
        std::str::from_utf8(text).map_err(|_| self.error("a text that is not UTF-8"))
    }

    /// Reads `n` bytes.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if fewer than `n` bytes remain.
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], ProtocolError> {
        if self.remaining.len() < n {
            return Err(self.error("shorter than its own counts"));
        }
        let (bytes, remaining) = self.remaining.split_at(n);
        self.remaining = remaining;
        Ok(bytes)
    }

    /// Reads one byte.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] at the end of the body.
    pub fn byte(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.bytes(1)?[0])
    }

    /// Reads a 16-bit count.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if fewer than 2 bytes remain.
    pub fn count(&mut self) -> Result<usize, ProtocolError> {
        Ok(usize::from(self.bytes(2)?.get_u16()))
    }

    /// Reads a 32-bit signed integer.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if fewer than 4 bytes remain.
    pub fn int32(&mut self) -> Result<i32, ProtocolError> {
        Ok(self.bytes(4)?.get_i32())
    }

    /// Checks that the whole body has been read.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if bytes remain.
    pub fn expect_end(&self) -> Result<(), ProtocolError> {
        if self.remaining.is_empty() {
            Ok(())
        } else {
            Err(self.error("longer than its own counts"))
        }
    }

    /// The bytes that have not been read.
    pub fn remaining(&self) -> &'a [u8] {
        self.remaining
    }
}
