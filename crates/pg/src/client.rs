//! The protocol state of a client's session. It turns the messages of the client into units of work for an engine.
//!
//! A unit is what is sent to one engine: a simple query, or the messages of a batch (extended-query messages) up to
//! its Sync. Admission and routing treat it as one query, because the server runs it as one implicit transaction.
//! Prepared statements are stored in the session. A unit prepares those that it uses again, as the unnamed statement,
//! on the engine to which it is sent. While a unit runs, the session reads no further messages, except those of a
//! batch that was flushed and is still open.

use crate::backend_messages::{self, Diagnostic};
use crate::frame::ProtocolError;
use crate::frontend_messages::{self, FrontendMessage, StartupPacket};
use crate::local_statements::SessionSettings;
use crate::sql::{self, Hints, Kind};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::startup::Startup;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Limits on the memory of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a message in bytes.
    pub message_bytes: usize,
    /// Maximum number of prepared statements.
    pub statements: usize,
    /// Maximum size in bytes of all prepared statements, and of one batch.
    pub stored_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { message_bytes: 1 << 20, statements: 256, stored_bytes: 4 << 20 }
    }
}

/// Maximum number of packets up to and including the startup message.
const MAX_STARTUP_PACKETS: u32 = 4;
/// Maximum number of portals in a batch.
const MAX_PORTALS: usize = 64;

/// The identity that a client states in its startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The user name, which is the name of the tenant.
    pub user: String,
    /// The database name, by which a class can be selected.
    pub database: String,
    /// The application name.
    pub application: String,
}

/// A prepared statement.
#[derive(Debug)]
pub struct Statement {
    text: String,
    /// The Parse message that prepares it as the unnamed statement.
    parse_message: Bytes,
    kind: Kind,
}

#[derive(Debug)]
struct Portal {
    statement: Arc<Statement>,
    /// The Bind message that creates it from the unnamed statement.
    bind_message: Bytes,
    /// The format codes of the result columns.
    formats: Vec<i16>,
    /// The Bind message is in the current unit, so the portal exists at the engine.
    sent: bool,
}

/// A unit of work for an engine, or the first part of an open unit.
#[derive(Debug)]
pub struct Unit {
    /// The protocol messages to send to the engine.
    pub frames: Bytes,
    /// For each expected `ParseComplete` or `BindComplete` in turn, whether it is not forwarded to the client.
    pub suppress_acks: Vec<bool>,
    /// Whether more messages of the unit follow, with [`ClientEvent::More`].
    pub open: bool,
    /// Whether the unit only describes statements or portals, and executes nothing.
    pub describe_only: bool,
    text: UnitText,
}

/// The source of a unit's text.
#[derive(Debug)]
enum UnitText {
    /// The simple query message in `frames`.
    QueryMessage,
    /// A prepared statement.
    Statement(Arc<Statement>),
}

impl Unit {
    /// The text of the first statement that the unit executes or, if it executes none, describes. For a simple query,
    /// the whole text.
    pub fn text(&self) -> &str {
        match &self.text {
            UnitText::QueryMessage => frontend_messages::query_text(&self.frames).unwrap_or(""),
            UnitText::Statement(statement) => &statement.text,
        }
    }
}

/// What [`Session::feed`] asks the caller to do.
#[derive(Debug)]
pub enum ClientEvent {
    /// The startup is complete.
    Started(Identity),
    /// Run a unit, and call [`Session::unit_completed`] or [`Session::unit_failed`] at its end.
    Run(Unit),
    /// Send more of the open unit.
    More {
        /// The protocol messages to send to the engine.
        frames: Bytes,
        /// The additional entries for [`Unit::suppress_acks`].
        suppress_acks: Vec<bool>,
        /// Whether the unit is complete with these messages.
        is_last: bool,
    },
    /// Cancel the query of another session. The session of this connection is closed.
    Cancel {
        /// The process ID of the other session.
        pid: i32,
        /// The cancel key of the other session.
        key: Bytes,
    },
    /// The client ended the session, or its startup was refused.
    Closed,
}

/// What the session does at the end of the running unit.
#[derive(Debug)]
enum AfterUnit {
    /// Sends `ReadyForQuery`, for which the client waits.
    ReadyForQuery,
    /// Continues with the batch, which has not ended.
    Resume,
    /// Sends an error of the controller, which ends the batch.
    Error(Diagnostic),
}

#[derive(Debug)]
enum Phase {
    /// The startup is not complete. Holds the number of packets received.
    Startup(u32),
    Ready,
    Running {
        open: bool,
        after: AfterUnit,
    },
    /// An error occurred in a batch, and all messages up to its Sync are ignored.
    SkippingToSync,
    Closed,
}

/// The extended-query messages since the last Sync.
#[derive(Debug, Default)]
struct Batch {
    /// The messages for the engine that no unit contains yet.
    frames: BytesMut,
    /// The entries of [`Unit::suppress_acks`] for `frames`.
    suppress_acks: Vec<bool>,
    /// Some message of the batch needs an engine. From then on the responses to later messages must wait for the
    /// engine, because responses are sent in the order of the messages.
    needs_engine: bool,
    /// The batch executes a statement on an engine.
    executes: bool,
    /// The statement that is the unnamed statement at the engine at this point of the batch.
    unnamed_statement: Option<Arc<Statement>>,
    portals: BTreeMap<String, Portal>,
    /// The statement whose text is the text of the unit: the first that is executed or, if none is, described.
    primary_statement: Option<Arc<Statement>>,
    /// A `ParseComplete` for a statement of the controller has to be sent after the running unit.
    ack_parse_after_unit: bool,
}

impl Batch {
    /// Adds the Parse message of a statement, unless its acknowledgement is suppressed and the engine already has it
    /// as the unnamed statement.
    fn prepare(&mut self, statement: &Arc<Statement>, suppress_ack: bool) {
        if suppress_ack && self.unnamed_statement.as_ref().is_some_and(|c| Arc::ptr_eq(c, statement)) {
            return;
        }
        self.frames.extend_from_slice(&statement.parse_message);
        self.suppress_acks.push(suppress_ack);
        self.unnamed_statement = Some(statement.clone());
    }

    /// Adds the Bind message of a portal that is not in the current unit.
    fn bind_portal(&mut self, name: &str) {
        let Some(portal) = self.portals.get_mut(name).filter(|p| !p.sent) else { return };
        portal.sent = true;
        let (statement, bind_message) = (portal.statement.clone(), portal.bind_message.clone());
        self.prepare(&statement, true);
        self.frames.extend_from_slice(&bind_message);
        self.suppress_acks.push(true);
    }

    /// Records that the batch needs an engine to describe or execute a statement.
    fn add_engine_statement(&mut self, statement: &Arc<Statement>, executes: bool) {
        self.needs_engine = true;
        if self.primary_statement.is_none() || (executes && !self.executes) {
            self.primary_statement = Some(statement.clone());
        }
        self.executes |= executes;
    }
}

/// The result of handling a message.
enum Handled {
    /// Nothing else is to be done.
    Done,
    /// The message has to be handled again after the unit that it ends.
    Deferred(FrontendMessage),
    /// The caller has to handle an event.
    Event(ClientEvent),
}

/// The state of one client's session.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    pid: i32,
    key: i32,
    phase: Phase,
    identity: Identity,
    settings: SessionSettings,
    statements: BTreeMap<String, Arc<Statement>>,
    /// The size of all prepared statements, to which [`Limits::stored_bytes`] applies.
    statement_bytes: usize,
    batch: Batch,
    /// A message that is handled after the running unit.
    pending: Option<FrontendMessage>,
}

impl Session {
    /// Creates the session of a new connection. `pid` and `key` are sent to the client, which needs them to cancel a
    /// query.
    pub fn new(limits: Limits, pid: i32, key: i32) -> Session {
        Session {
            limits,
            pid,
            key,
            phase: Phase::Startup(0),
            identity: Identity::default(),
            settings: SessionSettings::new("", "", pid, std::iter::empty()),
            statements: BTreeMap::new(),
            statement_bytes: 0,
            batch: Batch::default(),
            pending: None,
        }
    }

    /// The identity of the client. Empty before the startup is complete.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether the startup is over, successfully or not.
    pub fn is_started(&self) -> bool {
        !matches!(self.phase, Phase::Startup(_))
    }

    /// Whether a unit of this session is running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// Whether the session is closed.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// The hints for a text: those in its trailing comment and, where it has none, those set for the session.
    pub fn hints<'a>(&'a self, text: &'a str) -> Hints<'a> {
        let (query_hints, session_hints) = (sql::hints(text), self.settings.hints());
        Hints {
            class: query_hints.class.or(session_hints.class),
            id: query_hints.id.or(session_hints.id),
            key: query_hints.key.or(session_hints.key),
            work_ms: query_hints.work_ms.or(session_hints.work_ms),
            memory_mb: query_hints.memory_mb.or(session_hints.memory_mb),
            due_ms: query_hints.due_ms.or(session_hints.due_ms),
            tables: query_hints.tables.or(session_hints.tables),
            ignored: query_hints.ignored,
        }
    }

    /// Processes as much of `input` as possible, and appends the responses to the client to `out`. Returns at the first
    /// event for the caller. Call it again after the event was handled, and when more input has arrived.
    ///
    /// # Errors
    /// [`ProtocolError`] if the client violates the protocol. The error message for the client has then been appended
    /// to `out`, and the session is closed.
    pub fn feed(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, ProtocolError> {
        self.process_input(input, out).inspect_err(|error| {
            // Bytes of another protocol usually look like a startup packet that is far too long, so a startup packet
            // over the limit is reported as a protocol violation (08P01) and not as a too long message (54000).
            let too_long = matches!(error, ProtocolError::MessageTooLong { tag, .. } if *tag != '-');
            let sqlstate = if too_long { "54000" } else { "08P01" };
            Diagnostic::fatal(sqlstate, error.to_string()).put(out);
            self.phase = Phase::Closed;
        })
    }

    fn process_input(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, ProtocolError> {
        loop {
            match self.phase {
                Phase::Closed | Phase::Running { open: false, .. } => return Ok(None),
                Phase::Startup(seen) => {
                    let Some(packet) = crate::frame::take_startup(input)? else { return Ok(None) };
                    if seen >= MAX_STARTUP_PACKETS {
                        return Err(ProtocolError::Unexpected("a startup without end"));
                    }
                    self.phase = Phase::Startup(seen + 1);
                    match frontend_messages::parse_startup_packet(&packet)? {
                        StartupPacket::SslRequest | StartupPacket::GssEncRequest => {
                            out.extend_from_slice(b"N")
                        }
                        StartupPacket::CancelRequest { pid, key } => {
                            self.phase = Phase::Closed;
                            return Ok(Some(ClientEvent::Cancel { pid, key }));
                        }
                        StartupPacket::StartupMessage(startup) => {
                            return Ok(self.handle_startup(startup, out))
                        }
                    }
                }
                Phase::Ready | Phase::SkippingToSync | Phase::Running { .. } => {
                    let message = match self.pending.take() {
                        Some(message) => message,
                        None => match frontend_messages::take_message(input, self.limits.message_bytes)? {
                            Some(message) => message,
                            None => return Ok(None),
                        },
                    };
                    if let Some(event) = self.handle_message(message, out) {
                        return Ok(Some(event));
                    }
                }
            }
        }
    }

    fn handle_startup(&mut self, startup: Startup, out: &mut BytesMut) -> Option<ClientEvent> {
        let get = |name: &str| startup.parameters.get(name).cloned().unwrap_or_default();
        let user = get("user");
        let error = if user.is_empty() {
            Some(Diagnostic::fatal("28000", "no user name in the startup packet"))
        } else if startup.parameters.contains_key("replication") {
            Some(Diagnostic::fatal("0A000", "replication is not spoken here"))
        } else {
            None
        };
        if let Some(error) = error {
            error.put(out);
            self.phase = Phase::Closed;
            return Some(ClientEvent::Closed);
        }
        let database = Some(get("database")).filter(|d| !d.is_empty()).unwrap_or_else(|| user.clone());
        let unsupported_options: Vec<String> =
            startup.parameters.keys().filter(|k| k.starts_with("_pq_.")).cloned().collect();
        if startup.protocol_number_minor > 0 || !unsupported_options.is_empty() {
            backend_messages::put_negotiate_protocol_version(0, unsupported_options, out);
        }
        let reserved = ["user", "database", "options"];
        let startup_parameters = startup.parameters.iter().map(|(k, v)| (k.as_str(), v.as_str()));
        let startup_parameters =
            startup_parameters.filter(|(k, _)| !reserved.contains(k) && !k.starts_with("_pq_."));
        self.settings = SessionSettings::new(&user, &database, self.pid, startup_parameters);
        self.identity = Identity { user, database, application: get("application_name") };
        backend_messages::put_authentication_ok(out);
        for (name, value) in self.settings.reported_parameters() {
            backend_messages::put_parameter_status(&name, &value, out);
        }
        backend_messages::put_backend_key_data(self.pid, self.key, out);
        backend_messages::put_ready_for_query(b'I', out);
        self.phase = Phase::Ready;
        Some(ClientEvent::Started(self.identity.clone()))
    }

    fn handle_message(&mut self, message: FrontendMessage, out: &mut BytesMut) -> Option<ClientEvent> {
        if matches!(message, FrontendMessage::Terminate) {
            self.phase = Phase::Closed;
            return Some(ClientEvent::Closed);
        }
        if matches!(self.phase, Phase::SkippingToSync) {
            if matches!(message, FrontendMessage::Sync) {
                backend_messages::put_ready_for_query(b'I', out);
                self.batch = Batch::default();
                self.phase = Phase::Ready;
            }
            return None;
        }
        let handled = match message {
            FrontendMessage::Query(frame) if !self.batch.needs_engine => Ok(self.simple_query(frame, out)),
            FrontendMessage::Query(_) => Ok(Handled::Deferred(message)),
            FrontendMessage::Parse(parse) => self.parse(parse, out),
            FrontendMessage::Bind(bind) => self.bind(bind, out),
            FrontendMessage::Describe(describe) => self.describe(describe, out),
            FrontendMessage::Execute(execute) => self.execute(execute, out),
            FrontendMessage::Close(close) => self.close(close, out),
            FrontendMessage::Flush => Ok(self.flush()),
            FrontendMessage::Sync => Ok(self.sync(out)),
            FrontendMessage::Copy | FrontendMessage::Terminate => Ok(Handled::Done),
            FrontendMessage::FunctionCall => {
                Err(Diagnostic::error("0A000", "calls of functions by number are not spoken here"))
            }
        };
        match handled {
            Ok(Handled::Done) => None,
            Ok(Handled::Event(event)) => Some(event),
            Ok(Handled::Deferred(message)) => {
                self.pending = Some(message);
                Some(self.finish_unit(AfterUnit::Resume))
            }
            Err(error) if self.batch.needs_engine => Some(self.finish_unit(AfterUnit::Error(error))),
            Err(error) => {
                error.put(out);
                self.phase = Phase::SkippingToSync;
                None
            }
        }
    }

    /// Ends the current unit with a Sync and hands it over.
    fn finish_unit(&mut self, after: AfterUnit) -> ClientEvent {
        backend_messages::put_empty_message(b'S', &mut self.batch.frames);
        self.emit_unit(false, after)
    }

    /// Hands over the messages of the batch, as a new unit or as more of the running one.
    fn emit_unit(&mut self, open: bool, after: AfterUnit) -> ClientEvent {
        let continues = matches!(self.phase, Phase::Running { .. });
        self.phase = Phase::Running { open, after };
        let frames = self.batch.frames.split().freeze();
        let suppress_acks = std::mem::take(&mut self.batch.suppress_acks);
        if continues {
            return ClientEvent::More { frames, suppress_acks, is_last: !open };
        }
        let text = self.batch.primary_statement.clone().map_or(UnitText::QueryMessage, UnitText::Statement);
        ClientEvent::Run(Unit { frames, suppress_acks, open, describe_only: !self.batch.executes, text })
    }

    fn simple_query(&mut self, frame: Bytes, out: &mut BytesMut) -> Handled {
        let text = frontend_messages::query_text(&frame).unwrap_or("");
        let kind = sql::kind(text);
        self.batch = Batch::default();
        match kind {
            Kind::Engine => {
                self.phase = Phase::Running { open: false, after: AfterUnit::ReadyForQuery };
                let (suppress_acks, text) = (Vec::new(), UnitText::QueryMessage);
                return Handled::Event(ClientEvent::Run(Unit {
                    frames: frame,
                    suppress_acks,
                    open: false,
                    describe_only: false,
                    text,
                }));
            }
            Kind::Empty => backend_messages::put_empty_query_response(out),
            Kind::Local => {
                for statement in sql::statements(text) {
                    if let Err(error) = self.execute_locally(statement, &[], true, out) {
                        error.put(out);
                        break;
                    }
                }
            }
            other => unsupported_statement(other).put(out),
        }
        backend_messages::put_ready_for_query(b'I', out);
        Handled::Done
    }

    /// Executes a statement that the controller answers itself, and appends the response. `describe` tells whether the
    /// response includes the row description.
    fn execute_locally(
        &mut self,
        statement: &str,
        formats: &[i16],
        describe: bool,
        out: &mut BytesMut,
    ) -> Result<(), Diagnostic> {
        let reply = self.settings.execute(statement)?;
        let normalized = sql::normalized(statement);
        let deallocated =
            normalized.strip_prefix("deallocate ").map(|name| name.strip_prefix("prepare ").unwrap_or(name));
        match deallocated {
            Some(name) if name != "all" => {
                let name = name.trim_matches('"');
                let Some(statement) = self.statements.remove(name) else {
                    let message = format!("prepared statement \"{name}\" does not exist");
                    return Err(Diagnostic::error("26000", message));
                };
                self.statement_bytes -= statement.parse_message.len() + statement.text.len();
            }
            None if normalized != "discard all" => {}
            _ => {
                self.statements.clear();
                self.statement_bytes = 0;
            }
        }
        reply.notices.iter().for_each(|n| n.put(out));
        if describe && !reply.columns.is_empty() {
            backend_messages::put_row_description(&reply.columns, formats, out);
        }
        for row in &reply.rows {
            backend_messages::put_data_row(row.iter().map(|v| Some(v.as_bytes())), out);
        }
        backend_messages::put_command_complete(&reply.tag, out);
        for (name, value) in &reply.reported {
            backend_messages::put_parameter_status(name, value, out);
        }
        Ok(())
    }

    // --- Extended-query messages ---

    fn parse(&mut self, parse: Parse, out: &mut BytesMut) -> Result<Handled, Diagnostic> {
        let name = parse.name.clone().unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(Diagnostic::error("42P05", format!("prepared statement \"{name}\" already exists")));
        }
        let kind = sql::kind(&parse.query);
        match kind {
            Kind::Engine | Kind::Empty => {}
            Kind::Local if sql::statements(&parse.query).len() == 1 => {}
            Kind::Local => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(Diagnostic::error("42601", message));
            }
            other => return Err(unsupported_statement(other)),
        }
        let (mut parse_message, text) = (BytesMut::new(), parse.query.clone());
        frontend_messages::put(&Parse::new(None, parse.query, parse.type_oids), &mut parse_message);
        let size = parse_message.len() + text.len();
        let replaced = self.statements.get(&name).map_or(0, |s| s.parse_message.len() + s.text.len());
        if self.statement_bytes - replaced + size > self.limits.stored_bytes
            || (self.statements.len() >= self.limits.statements && !self.statements.contains_key(&name))
        {
            let Limits { statements, stored_bytes, .. } = self.limits;
            let message = format!(
                "over {statements} prepared statements, or {stored_bytes} bytes of them, in one session"
            );
            return Err(Diagnostic::error("53400", message).hint("DEALLOCATE some of them"));
        }
        self.statement_bytes = self.statement_bytes - replaced + size;
        let statement = Arc::new(Statement { text, parse_message: parse_message.freeze(), kind });
        self.statements.insert(name, statement.clone());
        if self.batch.needs_engine && kind == Kind::Engine {
            self.batch.prepare(&statement, false);
            self.check_batch_size()?;
        } else if self.batch.needs_engine {
            // A statement that no engine runs follows messages for an engine. Its acknowledgement must come after the
            // responses to those messages, so the unit ends here.
            return Ok(Handled::Event(self.finish_unit_then_ack_parse()));
        } else {
            backend_messages::put_parse_complete(out);
        }
        Ok(Handled::Done)
    }

    /// Ends the current unit. `ParseComplete` for the Parse message being handled is sent after it.
    fn finish_unit_then_ack_parse(&mut self) -> ClientEvent {
        self.batch.ack_parse_after_unit = true;
        self.finish_unit(AfterUnit::Resume)
    }

    fn bind(&mut self, bind: Bind, out: &mut BytesMut) -> Result<Handled, Diagnostic> {
        let name = bind.statement_name.clone().unwrap_or_default();
        let statement = self.find_statement(&name)?;
        if self.batch.needs_engine && statement.kind != Kind::Engine {
            return Ok(Handled::Deferred(FrontendMessage::Bind(bind)));
        }
        let portal = bind.portal_name.clone().unwrap_or_default();
        if self.batch.portals.len() >= MAX_PORTALS && !self.batch.portals.contains_key(&portal) {
            return Err(Diagnostic::error("53400", format!("over {MAX_PORTALS} portals in one batch")));
        }
        let formats = bind.result_column_format_codes.clone();
        let mut bind_message = BytesMut::new();
        let mut bind = bind;
        bind.statement_name = None;
        frontend_messages::put(&bind, &mut bind_message);
        let bind_message = bind_message.freeze();
        let sent = self.batch.needs_engine;
        if sent {
            self.batch.prepare(&statement, true);
            self.batch.frames.extend_from_slice(&bind_message);
            self.batch.suppress_acks.push(false);
        } else {
            backend_messages::put_bind_complete(out);
        }
        self.batch.portals.insert(portal, Portal { statement, bind_message, formats, sent });
        self.check_batch_size()?;
        Ok(Handled::Done)
    }

    fn find_statement(&self, name: &str) -> Result<Arc<Statement>, Diagnostic> {
        let found = self.statements.get(name).cloned();
        found.ok_or_else(|| {
            Diagnostic::error("26000", format!("prepared statement \"{name}\" does not exist"))
        })
    }

    fn find_portal(&self, name: &str) -> Result<&Portal, Diagnostic> {
        let found = self.batch.portals.get(name);
        found.ok_or_else(|| Diagnostic::error("34000", format!("portal \"{name}\" does not exist")))
    }

    fn describe(&mut self, describe: Describe, out: &mut BytesMut) -> Result<Handled, Diagnostic> {
        let name = describe.name.clone().unwrap_or_default();
        let is_statement = describe.target_type == b'S';
        let (statement, formats) = if is_statement {
            (self.find_statement(&name)?, Vec::new())
        } else {
            let portal = self.find_portal(&name)?;
            (portal.statement.clone(), portal.formats.clone())
        };
        if statement.kind != Kind::Engine {
            if self.batch.needs_engine {
                return Ok(Handled::Deferred(FrontendMessage::Describe(describe)));
            }
            if is_statement {
                backend_messages::put_parameter_description(&[], out);
            }
            let columns = match statement.kind {
                Kind::Local => self.settings.result_columns(&statement.text),
                _ => Vec::new(),
            };
            if columns.is_empty() {
                backend_messages::put_no_data(out);
            } else {
                backend_messages::put_row_description(&columns, &formats, out);
            }
            return Ok(Handled::Done);
        }
        self.batch.add_engine_statement(&statement, false);
        if is_statement {
            self.batch.prepare(&statement, true);
            frontend_messages::put(&Describe::new(b'S', None), &mut self.batch.frames);
        } else {
            self.batch.bind_portal(&name);
            frontend_messages::put(&describe, &mut self.batch.frames);
        }
        self.check_batch_size()?;
        Ok(Handled::Done)
    }

    fn execute(&mut self, execute: Execute, out: &mut BytesMut) -> Result<Handled, Diagnostic> {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.find_portal(&name)?;
        let (statement, formats) = (portal.statement.clone(), portal.formats.clone());
        match statement.kind {
            Kind::Engine => {
                self.batch.add_engine_statement(&statement, true);
                self.batch.bind_portal(&name);
                frontend_messages::put(&execute, &mut self.batch.frames);
                self.check_batch_size()?;
            }
            _ if self.batch.needs_engine => return Ok(Handled::Deferred(FrontendMessage::Execute(execute))),
            Kind::Local => self.execute_locally(&statement.text, &formats, false, out)?,
            _ => backend_messages::put_empty_query_response(out),
        }
        Ok(Handled::Done)
    }

    fn close(&mut self, close: Close, out: &mut BytesMut) -> Result<Handled, Diagnostic> {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            if let Some(statement) = self.statements.remove(&name) {
                self.statement_bytes -= statement.parse_message.len() + statement.text.len();
            }
            if self.batch.needs_engine {
                frontend_messages::put(&Close::new(b'S', None), &mut self.batch.frames);
                self.batch.unnamed_statement = None;
            }
        } else {
            self.batch.portals.remove(&name);
            if self.batch.needs_engine {
                frontend_messages::put(&close, &mut self.batch.frames);
            }
        }
        if !self.batch.needs_engine {
            backend_messages::put_close_complete(out);
        }
        self.check_batch_size()?;
        Ok(Handled::Done)
    }

    fn check_batch_size(&self) -> Result<(), Diagnostic> {
        let binds: usize = self.batch.portals.values().map(|p| p.bind_message.len()).sum();
        if self.batch.frames.len() + binds > self.limits.stored_bytes {
            let message = format!("a batch of over {} bytes", self.limits.stored_bytes);
            return Err(Diagnostic::error("54000", message).hint("send a Sync more often"));
        }
        Ok(())
    }

    fn flush(&mut self) -> Handled {
        if !self.batch.needs_engine || self.batch.frames.is_empty() {
            return Handled::Done;
        }
        if !self.batch.executes {
            // Descriptions leave no state at the engine that the rest of the batch needs, so they can be a separate
            // unit.
            return Handled::Event(self.finish_unit(AfterUnit::Resume));
        }
        backend_messages::put_empty_message(b'H', &mut self.batch.frames);
        Handled::Event(self.emit_unit(true, AfterUnit::ReadyForQuery))
    }

    fn sync(&mut self, out: &mut BytesMut) -> Handled {
        if self.batch.needs_engine {
            return Handled::Event(self.finish_unit(AfterUnit::ReadyForQuery));
        }
        backend_messages::put_ready_for_query(b'I', out);
        self.batch = Batch::default();
        Handled::Done
    }

    // --- The end of a unit ---

    /// Ends a unit that has a response. The caller has already appended the messages of the engine, without its
    /// `ReadyForQuery`, to the output. `has_query_error` tells whether they contain an error.
    pub fn unit_completed(&mut self, has_query_error: bool, out: &mut BytesMut) {
        let Phase::Running { after, .. } = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        match after {
            AfterUnit::ReadyForQuery => {
                backend_messages::put_ready_for_query(b'I', out);
                self.batch = Batch::default();
            }
            _ if has_query_error => self.skip_to_sync(),
            AfterUnit::Error(error) => {
                error.put(out);
                self.skip_to_sync();
            }
            AfterUnit::Resume => {
                let batch = &mut self.batch;
                (batch.needs_engine, batch.executes, batch.unnamed_statement, batch.primary_statement) =
                    (false, false, None, None);
                // The Sync closed the portals at the engine. Their Bind messages are kept, and sent again with the next
                // unit that uses the portal.
                batch.portals.values_mut().for_each(|p| p.sent = false);
                if std::mem::take(&mut batch.ack_parse_after_unit) {
                    backend_messages::put_parse_complete(out);
                }
            }
        }
    }

    /// Ends a unit that was refused, failed or cancelled, and sends `error` to the client.
    pub fn unit_failed(&mut self, error: &Diagnostic, out: &mut BytesMut) {
        let Phase::Running { open, after } = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        error.put(out);
        if !open && matches!(after, AfterUnit::ReadyForQuery) {
            backend_messages::put_ready_for_query(b'I', out);
            self.batch = Batch::default();
        } else {
            self.skip_to_sync();
        }
    }

    fn skip_to_sync(&mut self) {
        self.phase = Phase::SkippingToSync;
        self.batch = Batch::default();
        // The pending message belongs to the batch that is skipped.
        self.pending = None;
    }

    /// Closes the session and sends `error` to the client, for example if the startup times out or the controller
    /// stops.
    pub fn close_with_error(&mut self, error: &Diagnostic, out: &mut BytesMut) {
        if !self.is_closed() {
            error.put(out);
            self.phase = Phase::Closed;
        }
    }
}

fn unsupported_statement(kind: Kind) -> Diagnostic {
    let (message, hint) = match kind {
        Kind::Transaction => (
            "transaction blocks are not supported: each statement runs by itself",
            "turn autocommit on, or send the statements without BEGIN",
        ),
        Kind::Copy => ("COPY is not supported", "use INSERT or SELECT"),
        Kind::SessionState => (
            "statements that keep state on one engine are not supported",
            "use the protocol's own prepared statements and plain queries",
        ),
        _ => ("SET, SHOW and the like can't share a text with queries", "send them one by one"),
    };
    Diagnostic::error("0A000", message).hint(hint)
}
