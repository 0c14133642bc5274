//! Messages of a client. The codec trusts the counts inside a message, so their shape is checked first.

use crate::frame::{self, Cursor, ProtocolError};
use bytes::{Bytes, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::startup::{SecretKey, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

/// A message of a client after its startup.
#[derive(Debug)]
pub enum FrontendMessage {
    /// A simple query: the whole message and its text.
    Query(Bytes),
    /// Prepare a statement.
    Parse(Parse),
    /// Make a portal of a statement and values.
    Bind(Bind),
    /// Describe a statement or a portal.
    Describe(Describe),
    /// Run a portal.
    Execute(Execute),
    /// Close a statement or a portal.
    Close(Close),
    /// Send what there is.
    Flush,
    /// The end of a batch.
    Sync,
    /// Good-bye.
    Terminate,
    /// A part of a COPY, to be ignored outside of one.
    Copy,
    /// A call of a function by number.
    FunctionCall,
}

/// The text of a simple query's message.
///
/// # Errors
/// [`ProtocolError`] if it is not a text with its end.
pub fn query_text(message: &[u8]) -> Result<&str, ProtocolError> {
    let mut cursor = Cursor::over(message);
    let text = cursor.text()?;
    cursor.end()?;
    Ok(text)
}

/// What opens a connection.
#[derive(Debug)]
pub enum StartupPacket {
    /// Asks for TLS.
    SslRequest,
    /// Asks for GSS encryption.
    GssEncRequest,
    /// Asks that a query of another connection end.
    CancelRequest {
        /// The process number given at startup.
        pid: i32,
        /// The key given at startup.
        key: Bytes,
    },
    /// Starts a session.
    StartupMessage(Startup),
}

/// Reads a packet that opens a connection.
///
/// # Errors
/// [`ProtocolError`] for what is none.
pub fn parse_startup_packet(packet: &Bytes) -> Result<StartupPacket, ProtocolError> {
    const SSL: u32 = 80_877_103;
    const GSS: u32 = 80_877_104;
    const CANCEL: u32 = 80_877_102;
    let wrong = |fault| ProtocolError::InvalidBody { tag: '-', fault };
    let Some(code) = packet.get(4..8).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes) else {
        return Err(wrong("a startup packet without a version"));
    };
    match code {
        SSL => Ok(StartupPacket::SslRequest),
        GSS => Ok(StartupPacket::GssEncRequest),
        CANCEL if (16..=268).contains(&packet.len()) => {
            let pid = i32::from_be_bytes([packet[8], packet[9], packet[10], packet[11]]);
            Ok(StartupPacket::CancelRequest { pid, key: packet.slice(12..) })
        }
        CANCEL => Err(wrong("a cancel request without its key")),
        version if version >> 16 == 3 => {
            let mut pairs = &packet[8..];
            // The codec reads names and values up to an empty name; each must have its end.
            loop {
                let end =
                    pairs.iter().position(|b| *b == 0).ok_or_else(|| wrong("a name without its end"))?;
                if end == 0 {
                    break;
                }
                let rest = &pairs[end + 1..];
                let value =
                    rest.iter().position(|b| *b == 0).ok_or_else(|| wrong("a value without its end"))?;
                let utf8 =
                    std::str::from_utf8(&pairs[..end]).is_ok() && std::str::from_utf8(&rest[..value]).is_ok();
                if !utf8 {
                    return Err(wrong("a text that is not UTF-8"));
                }
                pairs = &rest[value + 1..];
            }
            let mut copy = BytesMut::from(&packet[..]);
            match Startup::decode(&mut copy, &context()) {
                Ok(Some(startup)) => Ok(StartupPacket::StartupMessage(startup)),
                _ => Err(wrong("a startup packet that can't be read")),
            }
        }
        _ => Err(wrong("a protocol version other than 3")),
    }
}

fn context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    (context.awaiting_frontend_ssl, context.awaiting_frontend_startup) = (false, false);
    context
}

/// Checks that a message holds what its type says, and no more.
fn check(message: &[u8]) -> Result<(), ProtocolError> {
    let mut c = Cursor::over(message);
    match message.first() {
        Some(b'P') => {
            c.text()?;
            c.text()?;
            let n = c.count()?;
            c.bytes(4 * n)?;
        }
        Some(b'B') => {
            c.text()?;
            c.text()?;
            let formats = c.count()?;
            c.bytes(2 * formats)?;
            for _ in 0..c.count()? {
                if let Ok(length) = usize::try_from(c.number()?) {
                    c.bytes(length)?;
                }
            }
            let formats = c.count()?;
            c.bytes(2 * formats)?;
        }
        Some(b'D' | b'C') => {
            if !matches!(c.byte()?, b'S' | b'P') {
                return Err(c.wrong("neither a statement nor a portal"));
            }
            c.text()?;
        }
        Some(b'E') => {
            c.text()?;
            c.number()?;
        }
        _ => {}
    }
    c.end()
}

/// Takes a client's message off the front of `buf`; none until all of it is there.
///
/// # Errors
/// [`ProtocolError`] for what is no message of a client, or is over `limit` bytes.
pub fn take_message(buf: &mut BytesMut, limit: usize) -> Result<Option<FrontendMessage>, ProtocolError> {
    let Some((tag, message)) = frame::take_message(buf, limit)? else { return Ok(None) };
    let decoded = match tag {
        b'Q' => {
            query_text(&message)?;
            return Ok(Some(FrontendMessage::Query(message)));
        }
        b'P' => decode(message, FrontendMessage::Parse),
        b'B' => decode(message, FrontendMessage::Bind),
        b'D' => decode(message, FrontendMessage::Describe),
        b'E' => decode(message, FrontendMessage::Execute),
        b'C' => decode(message, FrontendMessage::Close),
        b'H' => Ok(FrontendMessage::Flush),
        b'S' => Ok(FrontendMessage::Sync),
        b'X' => Ok(FrontendMessage::Terminate),
        b'd' | b'c' | b'f' => Ok(FrontendMessage::Copy),
        b'F' => Ok(FrontendMessage::FunctionCall),
        b'p' => Err(ProtocolError::Unexpected("a password was sent though none was asked for")),
        other => Err(ProtocolError::UnknownMessageType(frame::printable_tag(other))),
    };
    decoded.map(Some)
}

fn decode<M: Message>(
    message: Bytes,
    front: fn(M) -> FrontendMessage,
) -> Result<FrontendMessage, ProtocolError> {
    check(&message)?;
    let tag = frame::printable_tag(message[0]);
    let mut whole = message.try_into_mut().unwrap_or_else(|shared| BytesMut::from(&shared[..]));
    match M::decode(&mut whole, &context()) {
        Ok(Some(decoded)) => Ok(front(decoded)),
        _ => Err(ProtocolError::InvalidBody { tag, fault: "not readable" }),
    }
}

/// Appends a client's message. One too large for the protocol is left out, which no caller can build.
pub fn put(message: &impl Message, out: &mut BytesMut) {
    let written = message.encode(out);
    debug_assert!(written.is_ok());
}

/// Appends the startup packet of a client.
pub fn put_startup(parameters: &[(&str, &str)], out: &mut BytesMut) {
    let mut startup = Startup::default();
    (startup.protocol_number_major, startup.protocol_number_minor) = (3, 0);
    startup.parameters = parameters.iter().map(|(k, v)| ((*k).to_string(), (*v).to_string())).collect();
    put(&startup, out);
}

/// Appends a simple query.
pub fn put_query(text: &str, out: &mut BytesMut) {
    put(&pgwire::messages::simplequery::Query::new(text.to_string()), out);
}

/// Appends a request to end a query of another connection.
pub fn put_cancel(pid: i32, key: &Bytes, out: &mut BytesMut) {
    put(&CancelRequest::new(pid, SecretKey::Bytes(key.clone())), out);
}
