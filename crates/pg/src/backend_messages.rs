//! Messages of a server: building them, and reading what of them matters.

use crate::frame::{Cursor, ProtocolError};
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, ParameterDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ErrorResponse, NoticeResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};
use pgwire::messages::Message;

/// An error, a warning or a notice as PostgreSQL tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostic {
    /// `ERROR`, `FATAL`, `WARNING` or `NOTICE`.
    pub severity: &'static str,
    /// The SQLSTATE.
    pub sqlstate: String,
    /// What happened.
    pub message: String,
    /// More of it, for programs.
    pub detail: Option<String>,
    /// What to do.
    pub hint: Option<String>,
}

impl Diagnostic {
    /// An error.
    pub fn error(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: "ERROR",
            sqlstate: sqlstate.into(),
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// An error after which the connection closes.
    pub fn fatal(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic { severity: "FATAL", ..Diagnostic::error(sqlstate, message) }
    }

    /// A warning, which ends nothing.
    pub fn warning(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic { severity: "WARNING", ..Diagnostic::error(sqlstate, message) }
    }

    /// With a detail.
    #[must_use]
    pub fn detail(self, detail: impl Into<String>) -> Diagnostic {
        Diagnostic { detail: Some(detail.into()), ..self }
    }

    /// With a hint.
    #[must_use]
    pub fn hint(self, hint: impl Into<String>) -> Diagnostic {
        Diagnostic { hint: Some(hint.into()), ..self }
    }

    fn fields(&self) -> Vec<(u8, String)> {
        let clean = |text: &str| text.replace('\0', " ");
        let mut fields = vec![
            (b'S', self.severity.to_string()),
            (b'V', self.severity.to_string()),
            (b'C', clean(&self.sqlstate)),
            (b'M', clean(&self.message)),
        ];
        fields.extend(self.detail.as_deref().map(|d| (b'D', clean(d))));
        fields.extend(self.hint.as_deref().map(|h| (b'H', clean(h))));
        fields
    }

    /// Appends it as an error or, for a warning or a notice, as that.
    pub fn put(&self, out: &mut BytesMut) {
        match self.severity {
            "ERROR" | "FATAL" => put(&ErrorResponse::new(self.fields()), out),
            _ => put(&NoticeResponse::new(self.fields()), out),
        }
    }
}

/// Appends a server's message.
pub fn put(message: &impl Message, out: &mut BytesMut) {
    let written = message.encode(out);
    debug_assert!(written.is_ok());
}

/// Appends a message without a body.
pub fn put_empty_message(tag: u8, out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_i32(4);
}

/// Appends `ParseComplete`.
pub fn put_parse_complete(out: &mut BytesMut) {
    put_empty_message(b'1', out);
}

/// Appends `BindComplete`.
pub fn put_bind_complete(out: &mut BytesMut) {
    put_empty_message(b'2', out);
}

/// Appends `CloseComplete`.
pub fn put_close_complete(out: &mut BytesMut) {
    put_empty_message(b'3', out);
}

/// Appends `NoData`.
pub fn put_no_data(out: &mut BytesMut) {
    put_empty_message(b'n', out);
}

/// Appends `EmptyQueryResponse`.
pub fn put_empty_query_response(out: &mut BytesMut) {
    put_empty_message(b'I', out);
}

/// Appends `PortalSuspended`.
pub fn put_portal_suspended(out: &mut BytesMut) {
    put_empty_message(b's', out);
}

/// Appends `ReadyForQuery`; `status` is `I`, `T` or `E`.
pub fn put_ready_for_query(status: u8, out: &mut BytesMut) {
    out.put_u8(b'Z');
    out.put_i32(5);
    out.put_u8(status);
}

/// Appends `AuthenticationOk`.
pub fn put_authentication_ok(out: &mut BytesMut) {
    put(&Authentication::Ok, out);
}

/// Appends a setting's value.
pub fn put_parameter_status(name: &str, value: &str, out: &mut BytesMut) {
    put(&ParameterStatus::new(name.to_string(), value.to_string()), out);
}

/// Appends what a client needs to cancel.
pub fn put_backend_key_data(pid: i32, key: i32, out: &mut BytesMut) {
    put(&BackendKeyData::new(pid, SecretKey::I32(key)), out);
}

/// Appends the answer to a protocol version or option that is not spoken.
pub fn put_negotiate_protocol_version(minor: i32, unknown: Vec<String>, out: &mut BytesMut) {
    put(&NegotiateProtocolVersion::new(minor, unknown), out);
}

/// Appends the end of a statement.
pub fn put_command_complete(tag: &str, out: &mut BytesMut) {
    put(&CommandComplete::new(tag.to_string()), out);
}

/// A column: its name, the number of its type, and the type's size (-1 if it varies).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// The number of its type.
    pub type_oid: u32,
    /// Bytes of a value; -1 if they vary.
    pub type_size: i16,
}

impl Column {
    /// A text.
    pub fn text(name: &str) -> Column {
        Column { name: name.to_string(), type_oid: 25, type_size: -1 }
    }
}

/// Appends the description of rows; `formats` as in Bind: none for text, one for all, or one each.
pub fn put_row_description(columns: &[Column], formats: &[i16], out: &mut BytesMut) {
    let format = |i: usize| match formats {
        [] => 0,
        [one] => *one,
        many => many.get(i).copied().unwrap_or(0),
    };
    let fields = columns.iter().enumerate();
    let fields = fields
        .map(|(i, c)| FieldDescription::new(c.name.clone(), 0, 0, c.type_oid, c.type_size, -1, format(i)));
    put(&RowDescription::new(fields.collect()), out);
}

/// Appends the types of a statement's parameters.
pub fn put_parameter_description(types: &[u32], out: &mut BytesMut) {
    put(&ParameterDescription::new(types.to_vec()), out);
}

/// Appends a row; `None` is NULL.
pub fn put_data_row<'a>(values: impl Iterator<Item = Option<&'a [u8]>>, out: &mut BytesMut) {
    let (mut data, mut count) = (BytesMut::new(), 0);
    for value in values {
        count += 1;
        match value {
            Some(value) => {
                data.put_i32(value.len() as i32);
                data.put_slice(value);
            }
            None => data.put_i32(-1),
        }
    }
    put(&DataRow::new(data, count), out);
}

/// What an `ErrorResponse` or a notice says: its SQLSTATE and its message.
///
/// # Errors
/// [`ProtocolError`] if its fields have no end.
pub fn parse_sqlstate_and_message(message: &[u8]) -> Result<(String, String), ProtocolError> {
    let mut c = Cursor::over(message);
    let (mut state, mut text) = (String::new(), String::new());
    loop {
        match c.byte()? {
            0 => return Ok((state, text)),
            b'C' => state = c.text()?.to_string(),
            b'M' => text = c.text()?.to_string(),
            _ => {
                c.text()?;
            }
        }
    }
}

/// The name and value that a `ParameterStatus` tells.
///
/// # Errors
/// [`ProtocolError`] if they have no end.
pub fn parse_parameter_status(message: &[u8]) -> Result<(&str, &str), ProtocolError> {
    let mut c = Cursor::over(message);
    let pair = (c.text()?, c.text()?);
    c.end()?;
    Ok(pair)
}

/// The process number and key that a `BackendKeyData` tells.
///
/// # Errors
/// [`ProtocolError`] if it is too short.
pub fn parse_backend_key_data(message: &[u8]) -> Result<(i32, Bytes), ProtocolError> {
    let mut c = Cursor::over(message);
    let pid = c.number()?;
    let key = c.rest();
    if !(4..=256).contains(&key.len()) {
        return Err(c.wrong("a key of no length"));
    }
    Ok((pid, Bytes::copy_from_slice(key)))
}

/// The tag that a `CommandComplete` tells.
///
/// # Errors
/// [`ProtocolError`] if it has no end.
pub fn parse_command_tag(message: &[u8]) -> Result<&str, ProtocolError> {
    Cursor::over(message).text()
}
