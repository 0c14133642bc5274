//! Where a message ends. Every message is bounded before a byte of it is decoded.

use bytes::{Buf, Bytes, BytesMut};

/// Longest startup packet, as in PostgreSQL.
pub const MAX_STARTUP: usize = 10_000;

/// What can be wrong with a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// Longer than allowed.
    #[error("a message '{tag}' of {length} bytes is over the limit of {limit}")]
    MessageTooLong {
        /// Its type.
        tag: char,
        /// Its length in bytes.
        length: usize,
        /// What is allowed.
        limit: usize,
    },
    /// A length that can't be.
    #[error("a message '{tag}' gives its length as {length}")]
    InvalidLength {
        /// Its type.
        tag: char,
        /// What it says.
        length: i64,
    },
    /// A type that is not of the protocol.
    #[error("a message of unknown type '{0}'")]
    UnknownMessageType(char),
    /// The body does not hold what its type says.
    #[error("a message '{tag}' is ill-formed: {fault}")]
    InvalidBody {
        /// Its type.
        tag: char,
        /// What is wrong.
        fault: &'static str,
    },
    /// Something that does not belong here.
    #[error("{0}")]
    Unexpected(&'static str),
}

/// A type byte as it is printable_tag to people.
pub fn printable_tag(tag: u8) -> char {
    if tag.is_ascii_graphic() {
        tag as char
    } else {
        '?'
    }
}

/// The first bytes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The type.
    pub tag: u8,
    /// Length of all of it: type, length and body, in bytes.
    pub whole: usize,
}

/// Bytes before the body of a message.
pub const HEADER: usize = 5;

/// The header of the message at the start of `buf`; none if it is not there yet.
///
/// # Errors
/// [`ProtocolError::InvalidLength`] for a length below that of the length itself.
pub fn parse_header(buf: &[u8]) -> Result<Option<Header>, ProtocolError> {
    let Some((&[tag, a, b, c, d], _)) = buf.split_first_chunk::<HEADER>() else { return Ok(None) };
    let length = i32::from_be_bytes([a, b, c, d]);
    match usize::try_from(length) {
        Ok(n) if n >= 4 => Ok(Some(Header { tag, whole: n + 1 })),
        _ => Err(ProtocolError::InvalidLength { tag: printable_tag(tag), length: i64::from(length) }),
    }
}

/// Takes a whole message off the front of `buf`; none until all of it is there.
///
/// # Errors
/// [`ProtocolError`] for a length that can't be, or one over `limit` bytes.
pub fn take_message(buf: &mut BytesMut, limit: usize) -> Result<Option<(u8, Bytes)>, ProtocolError> {
    let Some(Header { tag, whole }) = parse_header(buf)? else { return Ok(None) };
    if whole > limit {
        return Err(ProtocolError::MessageTooLong { tag: printable_tag(tag), length: whole, limit });
    }
    if buf.len() < whole {
        return Ok(None);
    }
    Ok(Some((tag, buf.split_to(whole).freeze())))
}

/// Takes a startup packet, which has no type, off the front of `buf`.
///
/// # Errors
/// [`ProtocolError`] for a length that can't be.
pub fn take_startup(buf: &mut BytesMut) -> Result<Option<Bytes>, ProtocolError> {
    let Some((first, _)) = buf.split_first_chunk::<4>() else { return Ok(None) };
    let length = i32::from_be_bytes(*first);
    let whole = usize::try_from(length).unwrap_or(0);
    if whole < 8 {
        return Err(ProtocolError::InvalidLength { tag: '-', length: i64::from(length) });
    }
    if whole > MAX_STARTUP {
        return Err(ProtocolError::MessageTooLong { tag: '-', length: whole, limit: MAX_STARTUP });
    }
    Ok((buf.len() >= whole).then(|| buf.split_to(whole).freeze()))
}

/// Reads a body bit by bit; every read is checked.
pub struct Cursor<'a> {
    tag: u8,
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// A cursor over the body of a whole message.
    pub fn over(message: &'a [u8]) -> Cursor<'a> {
        let tag = message.first().copied().unwrap_or(0);
        Cursor { tag, rest: message.get(HEADER..).unwrap_or(&[]) }
    }

    /// An error about this message.
    pub fn wrong(&self, fault: &'static str) -> ProtocolError {
        ProtocolError::InvalidBody { tag: printable_tag(self.tag), fault }
    }

    /// A text up to its NUL byte.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] without a NUL, or if it is not UTF-8.
    pub fn text(&mut self) -> Result<&'a str, ProtocolError> {
        let end =
            self.rest.iter().position(|b| *b == 0).ok_or_else(|| self.wrong("a text without its end"))?;
        let (text, rest) = self.rest.split_at(end);
        self.rest = &rest[1..];
        std::str::from_utf8(text).map_err(|_| self.wrong("a text that is not UTF-8"))
    }

    /// So many bytes.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if there are fewer.
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], ProtocolError> {
        if self.rest.len() < n {
            return Err(self.wrong("shorter than its own counts"));
        }
        let (bytes, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(bytes)
    }

    /// A byte.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] at the end.
    pub fn byte(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.bytes(1)?[0])
    }

    /// A count of two bytes.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] at the end.
    pub fn count(&mut self) -> Result<usize, ProtocolError> {
        Ok(usize::from(self.bytes(2)?.get_u16()))
    }

    /// A number of four bytes.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] at the end.
    pub fn number(&mut self) -> Result<i32, ProtocolError> {
        Ok(self.bytes(4)?.get_i32())
    }

    /// Nothing may be left.
    ///
    /// # Errors
    /// [`ProtocolError::InvalidBody`] if something is.
    pub fn end(&self) -> Result<(), ProtocolError> {
        if self.rest.is_empty() {
            Ok(())
        } else {
            Err(self.wrong("longer than its own counts"))
        }
    }

    /// What is left.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }
}
