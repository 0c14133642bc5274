//! A client's session: from its first byte to units of work for an engine, and back to its next message.
//!
//! A unit is what goes to one engine in one piece: a simple query, or the messages of a batch up to its Sync. It is
//! one query to the module, as the server runs it as one implicit transaction. Statements are kept here and prepared
//! anew, without a name, on whichever engine a unit goes to. While a unit runs, the session reads no further
//! messages, except those of a batch that was flushed and is still open.

use crate::backend_messages::{self, Diagnostic};
use crate::frame::ProtocolError;
use crate::frontend_messages::{self, FrontendMessage, StartupPacket};
use crate::local_statements::Settings;
use crate::sql::{self, Hints, Kind};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::startup::Startup;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one session may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one message.
    pub message_bytes: usize,
    /// Prepared statements.
    pub statements: usize,
    /// Bytes of prepared statements, and of a batch.
    pub stored_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { message_bytes: 1 << 20, statements: 256, stored_bytes: 4 << 20 }
    }
}

/// Packets before the startup that a client may send.
const MOST_OPENINGS: u32 = 4;
/// Portals of a batch.
const MOST_PORTALS: usize = 64;

/// Who a client says it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The login, which names its tenant.
    pub user: String,
    /// The database, which names its route.
    pub database: String,
    /// A label.
    pub application: String,
}

/// A statement that was prepared.
#[derive(Debug)]
pub struct Statement {
    text: String,
    /// Its Parse, without a name.
    frame: Bytes,
    kind: Kind,
}

#[derive(Debug)]
struct Portal {
    statement: Arc<Statement>,
    /// Its Bind, of the unnamed statement.
    frame: Bytes,
    formats: Vec<i16>,
    /// The engine has it.
    sent: bool,
}

/// A query for an engine, or the first part of one.
#[derive(Debug)]
pub struct Unit {
    /// What to write to the engine.
    pub frames: Bytes,
    /// For each `ParseComplete` or `BindComplete` in turn, whether it is kept from the client.
    pub suppress_acks: Vec<bool>,
    /// More of it will come.
    pub open: bool,
    /// It asks for descriptions and runs nothing.
    pub describe_only: bool,
    text: Text,
}

#[derive(Debug)]
enum Text {
    Frame,
    Statement(Arc<Statement>),
}

impl Unit {
    /// The text of its first statement.
    pub fn text(&self) -> &str {
        match &self.text {
            Text::Frame => frontend_messages::query_text(&self.frames).unwrap_or(""),
            Text::Statement(statement) => &statement.text,
        }
    }
}

/// What a session asks of its host.
#[derive(Debug)]
pub enum ClientEvent {
    /// The client has introduced itself.
    Started(Identity),
    /// Run a unit, and tell its end.
    Run(Unit),
    /// More of the open unit.
    More {
        /// What to write to the engine.
        frames: Bytes,
        /// As in [`Unit::suppress_acks`], for what is added.
        suppress_acks: Vec<bool>,
        /// Nothing more will come.
        is_last: bool,
    },
    /// End the query of another session; this connection is done.
    Cancel {
        /// Its process number.
        pid: i32,
        /// Its key.
        key: Bytes,
    },
    /// The client said good-bye.
    Closed,
}

#[derive(Debug)]
enum Then {
    /// The client waits for `ReadyForQuery`.
    Ready,
    /// The batch goes on.
    Resume,
    /// The batch ends in an error of our own.
    Error(Diagnostic),
}

#[derive(Debug)]
enum Phase {
    Opening(u32),
    Ready,
    Running {
        open: bool,
        then: Then,
    },
    /// After an error in a batch, up to its Sync.
    Skipping,
    Closed,
}

#[derive(Debug, Default)]
struct Batch {
    frames: BytesMut,
    swallow: Vec<bool>,
    /// Something in it needs an engine, so that all answers must come in its turn.
    engine: bool,
    runs: bool,
    /// What the engine has as its unnamed statement.
    current: Option<Arc<Statement>>,
    portals: BTreeMap<String, Portal>,
    first: Option<Arc<Statement>>,
    /// A Parse of our own waits for its acknowledgement behind the unit.
    acknowledge: bool,
}

impl Batch {
    fn statement(&mut self, statement: &Arc<Statement>, swallow: bool) {
        if swallow && self.current.as_ref().is_some_and(|c| Arc::ptr_eq(c, statement)) {
            return;
        }
        self.frames.extend_from_slice(&statement.frame);
        self.swallow.push(swallow);
        self.current = Some(statement.clone());
    }

    fn portal(&mut self, name: &str) {
        let Some(portal) = self.portals.get_mut(name).filter(|p| !p.sent) else { return };
        portal.sent = true;
        let (statement, frame) = (portal.statement.clone(), portal.frame.clone());
        self.statement(&statement, true);
        self.frames.extend_from_slice(&frame);
        self.swallow.push(true);
    }

    fn needs_engine(&mut self, statement: &Arc<Statement>, runs: bool) {
        self.engine = true;
        if self.first.is_none() || (runs && !self.runs) {
            self.first = Some(statement.clone());
        }
        self.runs |= runs;
    }
}

enum Step {
    Done,
    /// What is pending must be over before this message.
    Barrier(FrontendMessage),
    Ask(ClientEvent),
}

/// The state of one client's session.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    pid: i32,
    key: i32,
    phase: Phase,
    identity: Identity,
    settings: Settings,
    statements: BTreeMap<String, Arc<Statement>>,
    statement_bytes: usize,
    batch: Batch,
    pending: Option<FrontendMessage>,
}

impl Session {
    /// A session that has seen nothing; `pid` and `key` are what its client needs to cancel.
    pub fn new(limits: Limits, pid: i32, key: i32) -> Session {
        Session {
            limits,
            pid,
            key,
            phase: Phase::Opening(0),
            identity: Identity::default(),
            settings: Settings::new("", "", pid, std::iter::empty()),
            statements: BTreeMap::new(),
            statement_bytes: 0,
            batch: Batch::default(),
            pending: None,
        }
    }

    /// Who the client is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The client has introduced itself.
    pub fn is_started(&self) -> bool {
        !matches!(self.phase, Phase::Opening(_))
    }

    /// A unit of this session runs.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// The session is over.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// The hints of a text, with the session's settings where it gives none.
    pub fn hints<'a>(&'a self, text: &'a str) -> Hints<'a> {
        let (own, set) = (sql::hints(text), self.settings.hints());
        Hints {
            class: own.class.or(set.class),
            id: own.id.or(set.id),
            key: own.key.or(set.key),
            work_ms: own.work_ms.or(set.work_ms),
            memory_mb: own.memory_mb.or(set.memory_mb),
            due_ms: own.due_ms.or(set.due_ms),
            tables: own.tables.or(set.tables),
            ignored: own.ignored,
        }
    }

    /// Takes what it can off `input`, and appends to `out` what the client is answered. Stops at the first thing
    /// that the host must do. Call it again after that, or when more has come.
    ///
    /// # Errors
    /// [`ProtocolError`] for what is not of the protocol; the client was told, and the session is closed.
    pub fn feed(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, ProtocolError> {
        self.read(input, out).inspect_err(|fault| {
            // What is no startup packet at all mostly shows as one far too long.
            let too_long = matches!(fault, ProtocolError::MessageTooLong { tag, .. } if *tag != '-');
            let state = if too_long { "54000" } else { "08P01" };
            Diagnostic::fatal(state, fault.to_string()).put(out);
            self.phase = Phase::Closed;
        })
    }

    fn read(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, ProtocolError> {
        loop {
            match self.phase {
                Phase::Closed | Phase::Running { open: false, .. } => return Ok(None),
                Phase::Opening(seen) => {
                    let Some(packet) = crate::frame::take_startup(input)? else { return Ok(None) };
                    if seen >= MOST_OPENINGS {
                        return Err(ProtocolError::Unexpected("a startup without end"));
                    }
                    self.phase = Phase::Opening(seen + 1);
                    match frontend_messages::parse_startup_packet(&packet)? {
                        StartupPacket::SslRequest | StartupPacket::GssEncRequest => {
                            out.extend_from_slice(b"N")
                        }
                        StartupPacket::CancelRequest { pid, key } => {
                            self.phase = Phase::Closed;
                            return Ok(Some(ClientEvent::Cancel { pid, key }));
                        }
                        StartupPacket::StartupMessage(startup) => return Ok(self.start(startup, out)),
                    }
                }
                Phase::Ready | Phase::Skipping | Phase::Running { .. } => {
                    let message = match self.pending.take() {
                        Some(message) => message,
                        None => match frontend_messages::take_message(input, self.limits.message_bytes)? {
                            Some(message) => message,
                            None => return Ok(None),
                        },
                    };
                    if let Some(ask) = self.message(message, out) {
                        return Ok(Some(ask));
                    }
                }
            }
        }
    }

    fn start(&mut self, startup: Startup, out: &mut BytesMut) -> Option<ClientEvent> {
        let get = |name: &str| startup.parameters.get(name).cloned().unwrap_or_default();
        let user = get("user");
        let fault = if user.is_empty() {
            Some(Diagnostic::fatal("28000", "no user name in the startup packet"))
        } else if startup.parameters.contains_key("replication") {
            Some(Diagnostic::fatal("0A000", "replication is not spoken here"))
        } else {
            None
        };
        if let Some(fault) = fault {
            fault.put(out);
            self.phase = Phase::Closed;
            return Some(ClientEvent::Closed);
        }
        let database = Some(get("database")).filter(|d| !d.is_empty()).unwrap_or_else(|| user.clone());
        let unknown: Vec<String> =
            startup.parameters.keys().filter(|k| k.starts_with("_pq_.")).cloned().collect();
        if startup.protocol_number_minor > 0 || !unknown.is_empty() {
            backend_messages::put_negotiate_protocol_version(0, unknown, out);
        }
        let own = ["user", "database", "options"];
        let given = startup.parameters.iter().map(|(k, v)| (k.as_str(), v.as_str()));
        let given = given.filter(|(k, _)| !own.contains(k) && !k.starts_with("_pq_."));
        self.settings = Settings::new(&user, &database, self.pid, given);
        self.identity = Identity { user, database, application: get("application_name") };
        backend_messages::put_authentication_ok(out);
        for (name, value) in self.settings.reported() {
            backend_messages::put_parameter_status(&name, &value, out);
        }
        backend_messages::put_backend_key_data(self.pid, self.key, out);
        backend_messages::put_ready_for_query(b'I', out);
        self.phase = Phase::Ready;
        Some(ClientEvent::Started(self.identity.clone()))
    }

    fn message(&mut self, message: FrontendMessage, out: &mut BytesMut) -> Option<ClientEvent> {
        if matches!(message, FrontendMessage::Terminate) {
            self.phase = Phase::Closed;
            return Some(ClientEvent::Closed);
        }
        if matches!(self.phase, Phase::Skipping) {
            if matches!(message, FrontendMessage::Sync) {
                backend_messages::put_ready_for_query(b'I', out);
                self.batch = Batch::default();
                self.phase = Phase::Ready;
            }
            return None;
        }
        let step = match message {
            FrontendMessage::Query(frame) if !self.batch.engine => Ok(self.simple(frame, out)),
            FrontendMessage::Query(_) => Ok(Step::Barrier(message)),
            FrontendMessage::Parse(parse) => self.parse(parse, out),
            FrontendMessage::Bind(bind) => self.bind(bind, out),
            FrontendMessage::Describe(describe) => self.describe(describe, out),
            FrontendMessage::Execute(execute) => self.execute(execute, out),
            FrontendMessage::Close(close) => self.close(close, out),
            FrontendMessage::Flush => Ok(self.flush()),
            FrontendMessage::Sync => Ok(self.sync(out)),
            FrontendMessage::Copy | FrontendMessage::Terminate => Ok(Step::Done),
            FrontendMessage::FunctionCall => {
                Err(Diagnostic::error("0A000", "calls of functions by number are not spoken here"))
            }
        };
        match step {
            Ok(Step::Done) => None,
            Ok(Step::Ask(ask)) => Some(ask),
            Ok(Step::Barrier(message)) => {
                self.pending = Some(message);
                Some(self.seal(Then::Resume))
            }
            Err(trouble) if self.batch.engine => Some(self.seal(Then::Error(trouble))),
            Err(trouble) => {
                trouble.put(out);
                self.phase = Phase::Skipping;
                None
            }
        }
    }

    /// Ends the unit at hand with a Sync of our own.
    fn seal(&mut self, then: Then) -> ClientEvent {
        backend_messages::put_empty_message(b'S', &mut self.batch.frames);
        self.hand_over(false, then)
    }

    /// Hands over what the batch holds, as a unit or as more of the one that runs.
    fn hand_over(&mut self, open: bool, then: Then) -> ClientEvent {
        let more = matches!(self.phase, Phase::Running { .. });
        self.phase = Phase::Running { open, then };
        let frames = self.batch.frames.split().freeze();
        let suppress_acks = std::mem::take(&mut self.batch.swallow);
        if more {
            return ClientEvent::More { frames, suppress_acks, is_last: !open };
        }
        let text = self.batch.first.clone().map_or(Text::Frame, Text::Statement);
        ClientEvent::Run(Unit { frames, suppress_acks, open, describe_only: !self.batch.runs, text })
    }

    fn simple(&mut self, frame: Bytes, out: &mut BytesMut) -> Step {
        let text = frontend_messages::query_text(&frame).unwrap_or("");
        let kind = sql::kind(text);
        self.batch = Batch::default();
        match kind {
            Kind::Engine => {
                self.phase = Phase::Running { open: false, then: Then::Ready };
                let (suppress_acks, text) = (Vec::new(), Text::Frame);
                return Step::Ask(ClientEvent::Run(Unit {
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
                    if let Err(trouble) = self.answer(statement, &[], true, out) {
                        trouble.put(out);
                        break;
                    }
                }
            }
            other => unsupported(other).put(out),
        }
        backend_messages::put_ready_for_query(b'I', out);
        Step::Done
    }

    /// Answers a statement of the controller's own.
    fn answer(
        &mut self,
        statement: &str,
        formats: &[i16],
        describe: bool,
        out: &mut BytesMut,
    ) -> Result<(), Diagnostic> {
        let reply = self.settings.answer(statement)?;
        let folded = sql::normalized(statement);
        let of = folded.strip_prefix("deallocate ").map(|of| of.strip_prefix("prepare ").unwrap_or(of));
        match of {
            Some(name) if name != "all" => {
                let name = name.trim_matches('"');
                let Some(statement) = self.statements.remove(name) else {
                    let message = format!("prepared statement \"{name}\" does not exist");
                    return Err(Diagnostic::error("26000", message));
                };
                self.statement_bytes -= statement.frame.len() + statement.text.len();
            }
            None if folded != "discard all" => {}
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
        if let Some((name, value)) = &reply.reported {
            backend_messages::put_parameter_status(name, value, out);
        }
        Ok(())
    }

    // --- batches ---

    fn parse(&mut self, parse: Parse, out: &mut BytesMut) -> Result<Step, Diagnostic> {
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
            other => return Err(unsupported(other)),
        }
        let (mut frame, text) = (BytesMut::new(), parse.query.clone());
        frontend_messages::put(&Parse::new(None, parse.query, parse.type_oids), &mut frame);
        let size = frame.len() + text.len();
        let replaced = self.statements.get(&name).map_or(0, |s| s.frame.len() + s.text.len());
        if self.statement_bytes - replaced + size > self.limits.stored_bytes
            || self.statements.len() >= self.limits.statements
        {
            let Limits { statements, stored_bytes, .. } = self.limits;
            let message = format!(
                "over {statements} prepared statements, or {stored_bytes} bytes of them, in one session"
            );
            return Err(Diagnostic::error("53400", message).hint("DEALLOCATE some of them"));
        }
        self.statement_bytes = self.statement_bytes - replaced + size;
        let statement = Arc::new(Statement { text, frame: frame.freeze(), kind });
        self.statements.insert(name, statement.clone());
        if self.batch.engine && kind == Kind::Engine {
            self.batch.statement(&statement, false);
            self.bounded()?;
        } else if self.batch.engine {
            // An own statement amid those of an engine: its acknowledgement would overtake them.
            return Ok(Step::Ask(self.seal_and_acknowledge()));
        } else {
            backend_messages::put_parse_complete(out);
        }
        Ok(Step::Done)
    }

    /// Runs what is pending; the acknowledgement of the Parse at hand follows it.
    fn seal_and_acknowledge(&mut self) -> ClientEvent {
        self.batch.acknowledge = true;
        self.seal(Then::Resume)
    }

    fn bind(&mut self, bind: Bind, out: &mut BytesMut) -> Result<Step, Diagnostic> {
        let name = bind.statement_name.clone().unwrap_or_default();
        let statement = self.known(&name)?;
        if self.batch.engine && statement.kind != Kind::Engine {
            return Ok(Step::Barrier(FrontendMessage::Bind(bind)));
        }
        let portal = bind.portal_name.clone().unwrap_or_default();
        if self.batch.portals.len() >= MOST_PORTALS && !self.batch.portals.contains_key(&portal) {
            return Err(Diagnostic::error("53400", format!("over {MOST_PORTALS} portals in one batch")));
        }
        let formats = bind.result_column_format_codes.clone();
        let mut frame = BytesMut::new();
        let mut bind = bind;
        bind.statement_name = None;
        frontend_messages::put(&bind, &mut frame);
        let frame = frame.freeze();
        let sent = self.batch.engine;
        if sent {
            self.batch.statement(&statement, true);
            self.batch.frames.extend_from_slice(&frame);
            self.batch.swallow.push(false);
        } else {
            backend_messages::put_bind_complete(out);
        }
        self.batch.portals.insert(portal, Portal { statement, frame, formats, sent });
        self.bounded()?;
        Ok(Step::Done)
    }

    fn known(&self, name: &str) -> Result<Arc<Statement>, Diagnostic> {
        let found = self.statements.get(name).cloned();
        found.ok_or_else(|| {
            Diagnostic::error("26000", format!("prepared statement \"{name}\" does not exist"))
        })
    }

    fn bound(&self, name: &str) -> Result<&Portal, Diagnostic> {
        let found = self.batch.portals.get(name);
        found.ok_or_else(|| Diagnostic::error("34000", format!("portal \"{name}\" does not exist")))
    }

    fn describe(&mut self, describe: Describe, out: &mut BytesMut) -> Result<Step, Diagnostic> {
        let name = describe.name.clone().unwrap_or_default();
        let of_statement = describe.target_type == b'S';
        let (statement, formats) = if of_statement {
            (self.known(&name)?, Vec::new())
        } else {
            let portal = self.bound(&name)?;
            (portal.statement.clone(), portal.formats.clone())
        };
        if statement.kind != Kind::Engine {
            if self.batch.engine {
                return Ok(Step::Barrier(FrontendMessage::Describe(describe)));
            }
            if of_statement {
                backend_messages::put_parameter_description(&[], out);
            }
            let columns = match statement.kind {
                Kind::Local => self.settings.columns(&statement.text),
                _ => Vec::new(),
            };
            if columns.is_empty() {
                backend_messages::put_no_data(out);
            } else {
                backend_messages::put_row_description(&columns, &formats, out);
            }
            return Ok(Step::Done);
        }
        self.batch.needs_engine(&statement, false);
        if of_statement {
            self.batch.statement(&statement, true);
            frontend_messages::put(&Describe::new(b'S', None), &mut self.batch.frames);
        } else {
            self.batch.portal(&name);
            frontend_messages::put(&describe, &mut self.batch.frames);
        }
        self.bounded()?;
        Ok(Step::Done)
    }

    fn execute(&mut self, execute: Execute, out: &mut BytesMut) -> Result<Step, Diagnostic> {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.bound(&name)?;
        let (statement, formats) = (portal.statement.clone(), portal.formats.clone());
        match statement.kind {
            Kind::Engine => {
                self.batch.needs_engine(&statement, true);
                self.batch.portal(&name);
                frontend_messages::put(&execute, &mut self.batch.frames);
                self.bounded()?;
            }
            _ if self.batch.engine => return Ok(Step::Barrier(FrontendMessage::Execute(execute))),
            Kind::Local => self.answer(&statement.text, &formats, false, out)?,
            _ => backend_messages::put_empty_query_response(out),
        }
        Ok(Step::Done)
    }

    fn close(&mut self, close: Close, out: &mut BytesMut) -> Result<Step, Diagnostic> {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            if let Some(statement) = self.statements.remove(&name) {
                self.statement_bytes -= statement.frame.len() + statement.text.len();
            }
            if self.batch.engine {
                frontend_messages::put(&Close::new(b'S', None), &mut self.batch.frames);
                self.batch.current = None;
            }
        } else {
            self.batch.portals.remove(&name);
            if self.batch.engine {
                frontend_messages::put(&close, &mut self.batch.frames);
            }
        }
        if !self.batch.engine {
            backend_messages::put_close_complete(out);
        }
        self.bounded()?;
        Ok(Step::Done)
    }

    fn bounded(&self) -> Result<(), Diagnostic> {
        let binds: usize = self.batch.portals.values().map(|p| p.frame.len()).sum();
        if self.batch.frames.len() + binds > self.limits.stored_bytes {
            let message = format!("a batch of over {} bytes", self.limits.stored_bytes);
            return Err(Diagnostic::error("54000", message).hint("send a Sync more often"));
        }
        Ok(())
    }

    fn flush(&mut self) -> Step {
        if !self.batch.engine || self.batch.frames.is_empty() {
            return Step::Done;
        }
        if !self.batch.runs {
            // Descriptions alone hold no state at the engine: they are a unit of their own.
            return Step::Ask(self.seal(Then::Resume));
        }
        backend_messages::put_empty_message(b'H', &mut self.batch.frames);
        Step::Ask(self.hand_over(true, Then::Ready))
    }

    fn sync(&mut self, out: &mut BytesMut) -> Step {
        if self.batch.engine {
            return Step::Ask(self.seal(Then::Ready));
        }
        backend_messages::put_ready_for_query(b'I', out);
        self.batch = Batch::default();
        Step::Done
    }

    // --- the end of a unit ---

    /// The unit was served: what the engine sent has gone to `out`, but for its `ReadyForQuery`. `errored` tells
    /// whether an error of the engine was part of it.
    pub fn unit_completed(&mut self, errored: bool, out: &mut BytesMut) {
        let Phase::Running { then, .. } = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        match then {
            Then::Ready => {
                backend_messages::put_ready_for_query(b'I', out);
                self.batch = Batch::default();
            }
            _ if errored => self.skip(),
            Then::Error(trouble) => {
                trouble.put(out);
                self.skip();
            }
            Then::Resume => {
                let batch = &mut self.batch;
                (batch.engine, batch.runs, batch.current, batch.first) = (false, false, None, None);
                // Portals went with the Sync; their values are kept, and bound again where they are used.
                batch.portals.values_mut().for_each(|p| p.sent = false);
                if std::mem::take(&mut batch.acknowledge) {
                    backend_messages::put_parse_complete(out);
                }
            }
        }
    }

    /// The unit was refused, failed or cancelled: the client is told so.
    pub fn unit_failed(&mut self, trouble: &Diagnostic, out: &mut BytesMut) {
        let Phase::Running { open, then } = std::mem::replace(&mut self.phase, Phase::Ready) else { return };
        trouble.put(out);
        if !open && matches!(then, Then::Ready) {
            backend_messages::put_ready_for_query(b'I', out);
            self.batch = Batch::default();
        } else {
            self.skip();
        }
    }

    fn skip(&mut self) {
        self.phase = Phase::Skipping;
        self.batch = Batch::default();
        // A message that waited for the unit is of the batch that is skipped.
        self.pending = None;
    }

    /// The session ends with this error, as on a time-out of the startup or a stop of the controller.
    pub fn close_with_error(&mut self, trouble: &Diagnostic, out: &mut BytesMut) {
        if !self.is_closed() {
            trouble.put(out);
            self.phase = Phase::Closed;
        }
    }
}

fn unsupported(kind: Kind) -> Diagnostic {
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
