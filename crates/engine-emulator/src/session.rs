//! PostgreSQL protocol of an emulated engine: one session, without I/O. It answers any statement.

use crate::answer::{self, BoundParameters, Plan, QueryHints};
use crate::model::LoadReport;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use wheelfield_pg::backend_messages::{self, Diagnostic};
use wheelfield_pg::frame::{self, ProtocolError};
use wheelfield_pg::frontend_messages::{self, FrontendMessage, StartupPacket};
use wheelfield_pg::sql;

/// Maximum length of a protocol message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Maximum number of prepared statements, and of portals, of a session.
const MAX_STATEMENTS: usize = 4096;
/// Generation of rows pauses when the output holds this many bytes.
const MAX_BUFFERED_OUTPUT: usize = 64 << 10;

/// A request from a session to its engine.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionRequest {
    /// Run a query; report its end by [`Session::complete`] or [`Session::fail`].
    Run(QueryHints),
    /// Cancel the query of another session, given by process id and key.
    Cancel(i32, Bytes),
    /// Change the priority of the query of another session, given by process id.
    Priority(i32, u8),
    /// Close the connection after the client terminated the session.
    Close,
}

#[derive(Clone, Debug)]
struct PreparedStatement {
    text: String,
    parameter_types: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Portal {
    text: String,
    parameter_types: Vec<u32>,
    parameters: BoundParameters,
    /// Next row to send; greater than zero after a suspended execution.
    next_row: u64,
    executed: bool,
}

/// A statement whose answer is not sent completely.
#[derive(Debug)]
struct PendingAnswer {
    plan: Plan,
    parameters: BoundParameters,
    next_row: u64,
    /// Number of rows after which the portal is suspended; zero for no limit.
    row_limit: u64,
    portal: Option<String>,
    described: bool,
}

#[derive(Debug)]
enum Phase {
    AwaitingStartup,
    Ready,
    /// The engine runs a query.
    Running,
    /// Rows are being sent.
    SendingRows,
    SkippingToSync,
    Closed,
}

/// A session of an emulated engine.
#[derive(Debug)]
pub struct Session {
    pid: i32,
    key: i32,
    phase: Phase,
    /// `application_name` from the startup message.
    pub application_name: String,
    /// Priority of the following queries.
    pub priority: u8,
    /// Requested memory grant of the following queries, in MB.
    pub grant_mb: Option<f64>,
    statements: BTreeMap<String, PreparedStatement>,
    portals: BTreeMap<String, Portal>,
    pending_answers: VecDeque<PendingAnswer>,
    simple_query: bool,
    reported_values: BTreeMap<&'static str, String>,
    /// Load and work in milliseconds, which are reported with the end of the answer.
    completion_report: Option<(LoadReport, f64)>,
    pending_error: Option<Diagnostic>,
}

impl Session {
    /// Creates a session that waits for its startup message.
    pub fn new(pid: i32, key: i32) -> Session {
        Session {
            pid,
            key,
            phase: Phase::AwaitingStartup,
            application_name: String::new(),
            priority: 1,
            grant_mb: None,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            pending_answers: VecDeque::new(),
            simple_query: false,
            reported_values: BTreeMap::new(),
            completion_report: None,
            pending_error: None,
        }
    }

    /// Returns the process id and key that a cancel request must contain.
    pub fn cancel_key(&self) -> (i32, [u8; 4]) {
        (self.pid, self.key.to_be_bytes())
    }

    /// Returns whether the engine runs a query of this session.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }

    /// Processes `input` as far as possible and appends the answers to `out`.
    ///
    /// # Errors
    /// [`ProtocolError`] for a violation of the protocol; an error message for the client was
    /// appended.
    pub fn receive(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<SessionRequest>, ProtocolError> {
        let result = self.process_input(input, out);
        if let Err(fault) = &result {
            Diagnostic::fatal("08P01", fault.to_string()).put(out);
            self.phase = Phase::Closed;
        }
        result
    }

    fn process_input(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Result<Option<SessionRequest>, ProtocolError> {
        loop {
            match self.phase {
                Phase::Closed | Phase::Running => return Ok(None),
                Phase::SendingRows => {
                    self.send_rows(out);
                    if matches!(self.phase, Phase::SendingRows) {
                        return Ok(None);
                    }
                }
                Phase::AwaitingStartup => {
                    let Some(packet) = frame::take_startup(input)? else { return Ok(None) };
                    match frontend_messages::parse_startup_packet(&packet)? {
                        StartupPacket::SslRequest | StartupPacket::GssEncRequest => {
                            out.extend_from_slice(b"N")
                        }
                        StartupPacket::CancelRequest { pid, key } => {
                            self.phase = Phase::Closed;
                            return Ok(Some(SessionRequest::Cancel(pid, key)));
                        }
                        StartupPacket::StartupMessage(startup) => {
                            self.application_name =
                                startup.parameters.get("application_name").cloned().unwrap_or_default();
                            backend_messages::put_authentication_ok(out);
                            for (name, value) in [
                                ("server_version", "15.0 (stand-in)"),
                                ("client_encoding", "UTF8"),
                                ("DateStyle", "ISO, MDY"),
                                ("TimeZone", "UTC"),
                                ("integer_datetimes", "on"),
                                ("standard_conforming_strings", "on"),
                            ] {
                                backend_messages::put_parameter_status(name, value, out);
                            }
                            backend_messages::put_backend_key_data(self.pid, self.key, out);
                            backend_messages::put_ready_for_query(b'I', out);
                            self.phase = Phase::Ready;
                        }
                    }
                }
                Phase::Ready | Phase::SkippingToSync => {
                    let Some(message) = frontend_messages::take_message(input, MAX_MESSAGE_BYTES)? else {
                        return Ok(None);
                    };
                    if let Some(request) = self.handle_message(message, out) {
                        return Ok(Some(request));
                    }
                }
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn handle_message(&mut self, message: FrontendMessage, out: &mut BytesMut) -> Option<SessionRequest> {
        match message {
            FrontendMessage::Terminate => {
                self.phase = Phase::Closed;
                return Some(SessionRequest::Close);
            }
            FrontendMessage::Sync => {
                self.portals.clear();
                self.phase = Phase::Ready;
                backend_messages::put_ready_for_query(b'I', out);
                return None;
            }
            _ if matches!(self.phase, Phase::SkippingToSync) => return None,
            _ => {}
        }
        let result = match message {
            FrontendMessage::Query(frame) => {
                return self.handle_query(frontend_messages::query_text(&frame).unwrap_or(""), out)
            }
            FrontendMessage::Execute(execute) => {
                return self.execute(&execute.name.unwrap_or_default(), execute.max_rows, out)
            }
            FrontendMessage::Parse(parse) => {
                if self.statements.len() >= MAX_STATEMENTS {
                    Err(Diagnostic::error("53400", "too many prepared statements"))
                } else {
                    let parameter_types = answer::parameters(&parse.query, &parse.type_oids);
                    let prepared = PreparedStatement { text: parse.query, parameter_types };
                    self.statements.insert(parse.name.unwrap_or_default(), prepared);
                    backend_messages::put_parse_complete(out);
                    Ok(())
                }
            }
            FrontendMessage::Bind(bind) => {
                let name = bind.statement_name.clone().unwrap_or_default();
                match self.statements.get(&name) {
                    Some(prepared) if self.portals.len() < MAX_STATEMENTS => {
                        let parameters = BoundParameters {
                            values: bind.parameters.clone(),
                            parameter_formats: bind.parameter_format_codes.clone(),
                            result_formats: bind.result_column_format_codes.clone(),
                        };
                        let PreparedStatement { text, parameter_types } = prepared.clone();
                        let portal =
                            Portal { text, parameter_types, parameters, next_row: 0, executed: false };
                        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
                        backend_messages::put_bind_complete(out);
                        Ok(())
                    }
                    Some(_) => Err(Diagnostic::error("53400", "too many portals")),
                    None => Err(Diagnostic::error(
                        "26000",
                        format!("prepared statement \"{name}\" does not exist"),
                    )),
                }
            }
            FrontendMessage::Describe(describe) => {
                self.describe(describe.target_type, &describe.name.unwrap_or_default(), out)
            }
            FrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                backend_messages::put_close_complete(out);
                Ok(())
            }
            FrontendMessage::FunctionCall => {
                Err(Diagnostic::error("0A000", "no calls of functions by number"))
            }
            FrontendMessage::Flush
            | FrontendMessage::Copy
            | FrontendMessage::Sync
            | FrontendMessage::Terminate => Ok(()),
        };
        if let Err(error) = result {
            error.put(out);
            self.phase = Phase::SkippingToSync;
        }
        None
    }

    fn describe(&mut self, kind: u8, name: &str, out: &mut BytesMut) -> Result<(), Diagnostic> {
        let (text, parameter_types, result_formats) = if kind == b'S' {
            let Some(p) = self.statements.get(name) else {
                return Err(Diagnostic::error(
                    "26000",
                    format!("prepared statement \"{name}\" does not exist"),
                ));
            };
            backend_messages::put_parameter_description(&p.parameter_types, out);
            (&p.text, &p.parameter_types, Vec::new())
        } else {
            let Some(p) = self.portals.get(name) else {
                return Err(Diagnostic::error("34000", format!("portal \"{name}\" does not exist")));
            };
            (&p.text, &p.parameter_types, p.parameters.result_formats.clone())
        };
        let columns = answer::plan(text, &QueryHints::parse(text), parameter_types).columns();
        if columns.is_empty() {
            backend_messages::put_no_data(out);
        } else {
            backend_messages::put_row_description(&columns, &result_formats, out);
        }
        Ok(())
    }

    fn handle_query(&mut self, text: &str, out: &mut BytesMut) -> Option<SessionRequest> {
        let statements = sql::statements(text);
        if statements.is_empty() {
            backend_messages::put_empty_query_response(out);
            backend_messages::put_ready_for_query(b'I', out);
            return None;
        }
        if let Some(request) = self.handle_emulator_statement(text, out) {
            return request;
        }
        let hints = QueryHints::parse(text);
        // The hints at the end of the text apply to all of its statements.
        self.pending_answers = statements
            .iter()
            .map(|statement| {
                let plan = answer::plan(statement, &hints, &[]);
                PendingAnswer {
                    plan,
                    parameters: BoundParameters::default(),
                    next_row: 0,
                    row_limit: 0,
                    portal: None,
                    described: false,
                }
            })
            .collect();
        self.simple_query = true;
        self.phase = Phase::Running;
        Some(SessionRequest::Run(hints))
    }

    /// Handles statements that control the emulator itself: settings, priority changes and load
    /// requests.
    fn handle_emulator_statement(
        &mut self,
        text: &str,
        out: &mut BytesMut,
    ) -> Option<Option<SessionRequest>> {
        let normalized = sql::normalized(text);
        let mut request = None;
        if normalized.starts_with("set ") {
            for statement in sql::statements(&normalized) {
                let Some((name, value)) = statement.trim().trim_start_matches("set ").split_once('=') else {
                    continue;
                };
                let value = value.trim().trim_matches('\'');
                match name.trim() {
                    "wheelfield.priority" => self.priority = value.parse().unwrap_or(1).min(3),
                    "wheelfield.grant_mb" => self.grant_mb = value.parse().ok().filter(|mb: &f64| *mb > 0.0),
                    _ => {}
                }
            }
            backend_messages::put_command_complete("SET", out);
        } else if normalized == "show wheelfield.load" {
            self.pending_error = None;
            backend_messages::put_row_description(&[backend_messages::Column::text("load")], &[], out);
            backend_messages::put_data_row([Some(&b"ok"[..])].into_iter(), out);
            backend_messages::put_command_complete("SHOW", out);
        } else if let Some(arguments) = normalized.strip_prefix("select wheelfield.set_priority(") {
            let mut numbers =
                arguments.trim_end_matches(')').split(',').map(|n| n.trim().parse::<i32>().ok());
            if let (Some(Some(pid)), Some(Some(priority))) = (numbers.next(), numbers.next()) {
                request = Some(SessionRequest::Priority(pid, priority.clamp(0, 3) as u8));
            }
            backend_messages::put_command_complete("SELECT 0", out);
        } else {
            return None;
        }
        backend_messages::put_ready_for_query(b'I', out);
        Some(request)
    }

    /// Reports the load values that changed since the last report, ahead of the next message.
    pub fn report_load(&mut self, load: LoadReport, work_ms: Option<f64>, out: &mut BytesMut) {
        let load_values = [
            ("wheelfield.util", Some(load.util)),
            ("wheelfield.in_flight", Some(load.in_flight)),
            ("wheelfield.queue", Some(load.queue)),
            ("wheelfield.memory", Some(load.memory)),
            ("wheelfield.disks", Some(load.disks)),
        ];
        for (name, value) in load_values {
            let Some(value) = value.map(|x| format!("{x:.3}")) else { continue };
            if self.reported_values.get(name) != Some(&value) {
                backend_messages::put_parameter_status(name, &value, out);
                self.reported_values.insert(name, value);
            }
        }
        if let Some(work_ms) = work_ms {
            backend_messages::put_parameter_status("wheelfield.work_ms", &format!("{work_ms:.1}"), out);
        }
    }

    /// Reports the state of the running query.
    pub fn report_status(&self, name: &str, value: &str, out: &mut BytesMut) {
        if self.is_running() {
            backend_messages::put_parameter_status(&format!("wheelfield.{name}"), value, out);
        }
    }

    fn execute(&mut self, name: &str, max_rows: i32, out: &mut BytesMut) -> Option<SessionRequest> {
        let Some(portal) = self.portals.get_mut(name) else {
            Diagnostic::error("34000", format!("portal \"{name}\" does not exist")).put(out);
            self.phase = Phase::SkippingToSync;
            return None;
        };
        if sql::statements(&portal.text).is_empty() {
            backend_messages::put_empty_query_response(out);
            return None;
        }
        let hints = QueryHints::parse(&portal.text);
        let plan = answer::plan(&portal.text, &hints, &portal.parameter_types);
        let row_limit = u64::try_from(max_rows).unwrap_or(0);
        self.pending_answers = VecDeque::from([PendingAnswer {
            plan,
            parameters: portal.parameters.clone(),
            next_row: portal.next_row,
            row_limit,
            portal: Some(name.to_string()),
            described: true,
        }]);
        self.simple_query = false;
        if std::mem::replace(&mut portal.executed, true) {
            // A suspended portal has already run; only the remaining rows are sent.
            self.phase = Phase::SendingRows;
            return None;
        }
        self.phase = Phase::Running;
        Some(SessionRequest::Run(hints))
    }

    /// Completes the running query: sends its rows and, with the end of the answer, the load and the
    /// work done.
    pub fn complete(&mut self, load: LoadReport, work: f64, out: &mut BytesMut) {
        if self.is_running() {
            self.completion_report = Some((load, work * 1e3));
            self.phase = Phase::SendingRows;
            self.send_rows(out);
        }
    }

    /// Ends the running query with an error.
    pub fn fail(&mut self, error: &Diagnostic, out: &mut BytesMut) {
        if !self.is_running() {
            return;
        }
        self.pending_answers.clear();
        error.put(out);
        if self.simple_query {
            backend_messages::put_ready_for_query(b'I', out);
            self.phase = Phase::Ready;
        } else {
            self.phase = Phase::SkippingToSync;
        }
    }

    /// Generates rows while there is room in the output.
    fn send_rows(&mut self, out: &mut BytesMut) {
        while let Some(pending) = self.pending_answers.front_mut() {
            let columns = pending.plan.columns();
            if !pending.described && !columns.is_empty() {
                backend_messages::put_row_description(&columns, &[], out);
            }
            pending.described = true;
            let rows = pending.plan.rows();
            let until =
                if pending.row_limit == 0 { rows } else { rows.min(pending.next_row + pending.row_limit) };
            while pending.next_row < until {
                if out.len() >= MAX_BUFFERED_OUTPUT {
                    pending.row_limit = if pending.row_limit == 0 { 0 } else { until - pending.next_row };
                    return;
                }
                pending.plan.put_row(pending.next_row, &pending.parameters, out);
                pending.next_row += 1;
            }
            let suspended = pending.row_limit > 0 && pending.next_row < rows;
            let (tag, portal, next_row) = (pending.plan.tag(), pending.portal.clone(), pending.next_row);
            self.pending_answers.pop_front();
            if let Some((load, work_ms)) = self.completion_report.take() {
                self.report_load(load, Some(work_ms), out);
            }
            if suspended {
                backend_messages::put_portal_suspended(out);
                if let Some(portal) = portal.and_then(|name| self.portals.get_mut(&name)) {
                    portal.next_row = next_row;
                }
            } else {
                backend_messages::put_command_complete(&tag, out);
            }
        }
        if self.simple_query {
            backend_messages::put_ready_for_query(b'I', out);
        }
        self.phase = Phase::Ready;
    }

    /// Returns whether more rows are generated once the output is written.
    pub fn is_sending_rows(&self) -> bool {
        matches!(self.phase, Phase::SendingRows)
    }
}
