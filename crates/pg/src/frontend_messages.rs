//! Messages that a client sends. The codec trusts the lengths and counts inside a message, so a body is validated
//! before it is decoded.

use crate::frame::{self, Cursor, ProtocolError};
use bytes::{Bytes, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::startup::{SecretKey, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

/// A message that a client sends after the startup.
#[derive(Debug)]
pub enum FrontendMessage {
    /// A simple query: the whole message with its header. [`query_text`] reads the text in it.
    Query(Bytes),
    /// Prepares a statement.
    Parse(Parse),
    /// Creates a portal from a prepared statement and parameter values.
    Bind(Bind),
    /// Requests the description of a statement or a portal.
    Describe(Describe),
    /// Executes a portal.
    Execute(Execute),
    /// Closes a statement or a portal.
    Close(Close),
    /// Asks the server to send the responses that it has buffered.
    Flush,
    /// Ends a batch of extended-query messages.
    Sync,
    /// Ends the session.
    Terminate,
    /// `CopyData`, `CopyDone` or `CopyFail`, which are ignored outside of a COPY.
    Copy,
    /// Calls a function by its OID.
    FunctionCall,
}

/// The SQL text of a simple query message.
///
/// # Errors
/// [`ProtocolError`] if the body is not one NUL-terminated UTF-8 string.
pub fn query_text(message: &[u8]) -> Result<&str, ProtocolError> {
    let mut cursor = Cursor::new(message);
    let text = cursor.string()?;
    cursor.expect_end()?;
    Ok(text)
}

/// A packet that a client sends at the start of a connection.
#[derive(Debug)]
pub enum StartupPacket {
    /// Requests TLS.
    SslRequest,
    /// Requests GSSAPI encryption.
    GssEncRequest,
    /// Requests that the running query of another connection is cancelled.
    CancelRequest {
        /// The process ID that the server sent at the startup of that connection.
        pid: i32,
        /// The cancel key that the server sent at the startup of that connection.
        key: Bytes,
    },
    /// Starts a session.
    StartupMessage(Startup),
}

/// Parses a packet that a client sends at the start of a connection.
///
/// # Errors
/// [`ProtocolError`] if the packet is not valid, or asks for a protocol version other than 3.
pub fn parse_startup_packet(packet: &Bytes) -> Result<StartupPacket, ProtocolError> {
    const SSL_REQUEST: u32 = 80_877_103;
    const GSSENC_REQUEST: u32 = 80_877_104;
    const CANCEL_REQUEST: u32 = 80_877_102;
    let error = |reason| ProtocolError::InvalidBody { tag: '-', reason };
    let Some(code) = packet.get(4..8).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes) else {
        return Err(error("a startup packet without a version"));
    };
    match code {
        SSL_REQUEST => Ok(StartupPacket::SslRequest),
        GSSENC_REQUEST => Ok(StartupPacket::GssEncRequest),
        CANCEL_REQUEST if (16..=268).contains(&packet.len()) => {
            let pid = i32::from_be_bytes([packet[8], packet[9], packet[10], packet[11]]);
            Ok(StartupPacket::CancelRequest { pid, key: packet.slice(12..) })
        }
        CANCEL_REQUEST => Err(error("a cancel request without its key")),
        version if version >> 16 == 3 => {
            let mut parameters = &packet[8..];
            // The codec reads names and values up to an empty name and does not check that each is terminated.
            loop {
                let name_len =
                    parameters.iter().position(|b| *b == 0).ok_or_else(|| error("a name without its end"))?;
                if name_len == 0 {
                    break;
                }
                let after_name = &parameters[name_len + 1..];
                let value_len = after_name
                    .iter()
                    .position(|b| *b == 0)
                    .ok_or_else(|| error("a value without its end"))?;
                let is_utf8 = std::str::from_utf8(&parameters[..name_len]).is_ok()
                    && std::str::from_utf8(&after_name[..value_len]).is_ok();
                if !is_utf8 {
                    return Err(error("a text that is not UTF-8"));
                }
                parameters = &after_name[value_len + 1..];
            }
            let mut copy = BytesMut::from(&packet[..]);
            match Startup::decode(&mut copy, &decode_context()) {
                Ok(Some(startup)) => Ok(StartupPacket::StartupMessage(startup)),
                _ => Err(error("a startup packet that can't be read")),
            }
        }
        _ => Err(error("a protocol version other than 3")),
    }
}

fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    (context.awaiting_frontend_ssl, context.awaiting_frontend_startup) = (false, false);
    context
}

/// Checks that the body has exactly the fields that the message type defines.
fn validate_body(message: &[u8]) -> Result<(), ProtocolError> {
    let mut cursor = Cursor::new(message);
    match message.first() {
        Some(b'P') => {
            cursor.string()?;
            cursor.string()?;
            let n = cursor.count()?;
            cursor.bytes(4 * n)?;
        }
        Some(b'B') => {
            cursor.string()?;
            cursor.string()?;
            let formats = cursor.count()?;
            cursor.bytes(2 * formats)?;
            for _ in 0..cursor.count()? {
                if let Ok(length) = usize::try_from(cursor.int32()?) {
                    cursor.bytes(length)?;
                }
            }
            let formats = cursor.count()?;
            cursor.bytes(2 * formats)?;
        }
        Some(b'D' | b'C') => {
            if !matches!(cursor.byte()?, b'S' | b'P') {
                return Err(cursor.error("neither a statement nor a portal"));
            }
            cursor.string()?;
        }
        Some(b'E') => {
            cursor.string()?;
            cursor.int32()?;
        }
        _ => {}
    }
    cursor.expect_end()
}

/// Removes a client's message from the front of `buf` and decodes it. Returns `None` until the whole message has been
/// received.
///
/// # Errors
/// [`ProtocolError`] if it is not a valid message of a client, or exceeds `limit` bytes.
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
    wrap: fn(M) -> FrontendMessage,
) -> Result<FrontendMessage, ProtocolError> {
    validate_body(&message)?;
    let tag = frame::printable_tag(message[0]);
    let mut buf = message.try_into_mut().unwrap_or_else(|shared| BytesMut::from(&shared[..]));
    match M::decode(&mut buf, &decode_context()) {
        Ok(Some(decoded)) => Ok(wrap(decoded)),
        _ => Err(ProtocolError::InvalidBody { tag, reason: "not readable" }),
    }
}

/// Appends an encoded message. The codec fails only for a message too large for the protocol, which no caller builds;
/// such a message would be omitted.
pub fn put(message: &impl Message, out: &mut BytesMut) {
    let result = message.encode(out);
    debug_assert!(result.is_ok());
}

/// Appends a startup message for protocol version 3.0.
pub fn put_startup(parameters: &[(&str, &str)], out: &mut BytesMut) {
    let mut startup = Startup::default();
    (startup.protocol_number_major, startup.protocol_number_minor) = (3, 0);
    startup.parameters =
        parameters.iter().map(|(name, value)| ((*name).to_string(), (*value).to_string())).collect();
    put(&startup, out);
}

/// Appends a simple query message.
pub fn put_query(text: &str, out: &mut BytesMut) {
    put(&pgwire::messages::simplequery::Query::new(text.to_string()), out);
}

/// Appends a cancel request for the query of another connection.
pub fn put_cancel(pid: i32, key: &Bytes, out: &mut BytesMut) {
    put(&CancelRequest::new(pid, SecretKey::Bytes(key.clone())), out);
}
