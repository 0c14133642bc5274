//! Messages that a server sends: writing all that the controller uses, and parsing those that it evaluates.

use crate::frame::{Cursor, ProtocolError};
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, ParameterDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ErrorResponse, NoticeResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};
use pgwire::messages::Message;

/// An error, a warning or a notice, as in PostgreSQL's `ErrorResponse` and `NoticeResponse`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostic {
    /// `ERROR`, `FATAL`, `WARNING` or `NOTICE`.
    pub severity: &'static str,
    /// The SQLSTATE code.
    pub sqlstate: String,
    /// The primary message.
    pub message: String,
    /// Further details, in a form that programs can parse.
    pub detail: Option<String>,
    /// What the user can do about it.
    pub hint: Option<String>,
}

impl Diagnostic {
    /// Creates an error.
    pub fn error(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: "ERROR",
            sqlstate: sqlstate.into(),
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// Creates an error after which the connection is closed.
    pub fn fatal(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic { severity: "FATAL", ..Diagnostic::error(sqlstate, message) }
    }

    /// Creates a warning, which does not end the statement.
    pub fn warning(sqlstate: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic { severity: "WARNING", ..Diagnostic::error(sqlstate, message) }
    }

    /// Returns the diagnostic with this detail.
    #[must_use]
    pub fn detail(self, detail: impl Into<String>) -> Diagnostic {
        Diagnostic { detail: Some(detail.into()), ..self }
    }

    /// Returns the diagnostic with this hint.
    #[must_use]
    pub fn hint(self, hint: impl Into<String>) -> Diagnostic {
        Diagnostic { hint: Some(hint.into()), ..self }
    }

    fn error_fields(&self) -> Vec<(u8, String)> {
        let without_nul = |text: &str| text.replace('\0', " ");
        let mut fields = vec![
            (b'S', self.severity.to_string()),
            (b'V', self.severity.to_string()),
            (b'C', without_nul(&self.sqlstate)),
            (b'M', without_nul(&self.message)),
        ];
        fields.extend(self.detail.as_deref().map(|detail| (b'D', without_nul(detail))));
        fields.extend(self.hint.as_deref().map(|hint| (b'H', without_nul(hint))));
        fields
    }

    /// Appends an `ErrorResponse` or, for warnings and notices, a `NoticeResponse`.
    pub fn put(&self, out: &mut BytesMut) {
        match self.severity {
            "ERROR" | "FATAL" => put(&ErrorResponse::new(self.error_fields()), out),
            _ => put(&NoticeResponse::new(self.error_fields()), out),
        }
    }
}

/// Appends an encoded message.
pub fn put(message: &impl Message, out: &mut BytesMut) {
    let result = message.encode(out);
    debug_assert!(result.is_ok());
}

/// Appends a message that has no body.
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

/// Appends `ReadyForQuery`. `status` is `I` (idle), `T` (in a transaction) or `E` (in a failed transaction).
pub fn put_ready_for_query(status: u8, out: &mut BytesMut) {
    out.put_u8(b'Z');
    out.put_i32(5);
    out.put_u8(status);
}

/// Appends `AuthenticationOk`.
pub fn put_authentication_ok(out: &mut BytesMut) {
    put(&Authentication::Ok, out);
}

/// Appends a `ParameterStatus`, which reports the value of a setting.
pub fn put_parameter_status(name: &str, value: &str, out: &mut BytesMut) {
    put(&ParameterStatus::new(name.to_string(), value.to_string()), out);
}

/// Appends a `BackendKeyData`, which holds what a client needs to cancel a query.
pub fn put_backend_key_data(pid: i32, key: i32, out: &mut BytesMut) {
    put(&BackendKeyData::new(pid, SecretKey::I32(key)), out);
}

/// Appends a `NegotiateProtocolVersion`, which names the supported minor version and the protocol options that are
/// not supported.
pub fn put_negotiate_protocol_version(minor: i32, unknown: Vec<String>, out: &mut BytesMut) {
    put(&NegotiateProtocolVersion::new(minor, unknown), out);
}

/// Appends a `CommandComplete` with a command tag.
pub fn put_command_complete(tag: &str, out: &mut BytesMut) {
    put(&CommandComplete::new(tag.to_string()), out);
}

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// The name of the column.
    pub name: String,
    /// The OID of the column's type.
    pub type_oid: u32,
    /// The size of a value in bytes; -1 if it varies.
    pub type_size: i16,
}

impl Column {
    /// Creates a column of type `text`.
    pub fn text(name: &str) -> Column {
        Column { name: name.to_string(), type_oid: 25, type_size: -1 }
    }
}

/// Appends a `RowDescription`. `formats` are format codes as in a Bind: none if all columns are text, one for all
/// columns, or one for each column.
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

/// Appends a `ParameterDescription` with the type OIDs of a statement's parameters.
pub fn put_parameter_description(types: &[u32], out: &mut BytesMut) {
    put(&ParameterDescription::new(types.to_vec()), out);
}

/// Appends a `DataRow`. `None` stands for NULL.
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

/// Parses the SQLSTATE and the primary message of an `ErrorResponse` or a `NoticeResponse`.
///
/// # Errors
/// [`ProtocolError`] if a field or the list of fields is not terminated.
pub fn parse_sqlstate_and_message(message: &[u8]) -> Result<(String, String), ProtocolError> {
    let mut cursor = Cursor::new(message);
    let (mut sqlstate, mut text) = (String::new(), String::new());
    loop {
        match cursor.byte()? {
            0 => return Ok((sqlstate, text)),
            b'C' => sqlstate = cursor.string()?.to_string(),
            b'M' => text = cursor.string()?.to_string(),
            _ => {
                cursor.string()?;
            }
        }
    }
}

/// Parses the name and the value in a `ParameterStatus`.
///
/// # Errors
/// [`ProtocolError`] if the name or the value is not terminated, or bytes follow them.
pub fn parse_parameter_status(message: &[u8]) -> Result<(&str, &str), ProtocolError> {
    let mut cursor = Cursor::new(message);
    let pair = (cursor.string()?, cursor.string()?);
    cursor.expect_end()?;
    Ok(pair)
}

/// Parses the process ID and the cancel key in a `BackendKeyData`.
///
/// # Errors
/// [`ProtocolError`] if the message is too short, or the key is not 4 to 256 bytes long.
pub fn parse_backend_key_data(message: &[u8]) -> Result<(i32, Bytes), ProtocolError> {
    let mut cursor = Cursor::new(message);
    let pid = cursor.int32()?;
    let key = cursor.remaining();
    if !(4..=256).contains(&key.len()) {
        return Err(cursor.error("the length of the cancel key is not 4 to 256 bytes"));
    }
    Ok((pid, Bytes::copy_from_slice(key)))
}

/// Parses the command tag in a `CommandComplete`.
///
/// # Errors
/// [`ProtocolError`] if the tag is not terminated.
pub fn parse_command_tag(message: &[u8]) -> Result<&str, ProtocolError> {
    Cursor::new(message).string()
}
