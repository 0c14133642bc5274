//! The PostgreSQL face of a stand-in: one session, without I/O. It answers any statement.

use crate::answer::{self, Given, Plan, Wanted};
use crate::model::Load;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use wheelfield_pg::backend_messages::{self, Diagnostic};
use wheelfield_pg::frame::{self, ProtocolError};
use wheelfield_pg::frontend_messages::{self, FrontendMessage, StartupPacket};
use wheelfield_pg::sql;

/// Longest message taken.
const LONGEST: usize = 64 << 20;
/// Statements and portals of a session.
const MOST: usize = 4096;
/// Rows are made until so many bytes wait to be written.
const ROOM: usize = 64 << 10;

/// What a session asks of its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// A query is to run; tell its end by [`Session::done`] or [`Session::failed`].
    Run(Wanted),
    /// End what runs on another session.
    Cancel(i32, Bytes),
    /// Change the priority of what runs on another session.
    Priority(i32, u8),
    /// The client said good-bye, or is not spoken with.
    Close,
}

#[derive(Clone, Debug)]
struct Prepared {
    text: String,
    types: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Portal {
    text: String,
    types: Vec<u32>,
    given: Given,
    /// The next row, where some have gone already.
    next: u64,
    ran: bool,
}

/// A statement whose answer is being given.
#[derive(Debug)]
struct Giving {
    plan: Plan,
    given: Given,
    next: u64,
    /// Rows after which the portal is suspended; zero for all.
    limit: u64,
    portal: Option<String>,
    described: bool,
}

#[derive(Debug)]
enum Phase {
    Opening,
    Ready,
    /// A query is with the host.
    Running,
    /// Rows are being written.
    Giving,
    Skipping,
    Closed,
}

/// A session of the stand-in.
#[derive(Debug)]
pub struct Session {
    pid: i32,
    key: i32,
    phase: Phase,
    /// Who is there: the label given at the start.
    pub label: String,
    /// The priority for what comes.
    pub priority: u8,
    /// The grant for what comes, in MB.
    pub grant_mb: Option<f64>,
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    queue: VecDeque<Giving>,
    simple: bool,
    told: BTreeMap<&'static str, String>,
    /// What goes beside the end of the answer.
    tail: Option<(Load, f64)>,
    waiting: Option<Diagnostic>,
}

impl Session {
    /// A session that has seen nothing.
    pub fn new(pid: i32, key: i32) -> Session {
        Session {
            pid,
            key,
            phase: Phase::Opening,
            label: String::new(),
            priority: 1,
            grant_mb: None,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            queue: VecDeque::new(),
            simple: false,
            told: BTreeMap::new(),
            tail: None,
            waiting: None,
        }
    }

    /// What a request to cancel must name.
    pub fn secret(&self) -> (i32, [u8; 4]) {
        (self.pid, self.key.to_be_bytes())
    }

    /// A query of it is with the host.
    pub fn running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }

    /// Takes what it can off `input` and appends its answers to `out`.
    ///
    /// # Errors
    /// [`ProtocolError`] for what is not of the protocol; the client was told.
    pub fn feed(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Ask>, ProtocolError> {
        let result = self.read(input, out);
        if let Err(fault) = &result {
            Diagnostic::fatal("08P01", fault.to_string()).put(out);
            self.phase = Phase::Closed;
        }
        result
    }

    fn read(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Ask>, ProtocolError> {
        loop {
            match self.phase {
                Phase::Closed | Phase::Running => return Ok(None),
                Phase::Giving => {
                    self.give(out);
                    if matches!(self.phase, Phase::Giving) {
                        return Ok(None);
                    }
                }
                Phase::Opening => {
                    let Some(packet) = frame::take_startup(input)? else { return Ok(None) };
                    match frontend_messages::parse_startup_packet(&packet)? {
                        StartupPacket::SslRequest | StartupPacket::GssEncRequest => {
                            out.extend_from_slice(b"N")
                        }
                        StartupPacket::CancelRequest { pid, key } => {
                            self.phase = Phase::Closed;
                            return Ok(Some(Ask::Cancel(pid, key)));
                        }
                        StartupPacket::StartupMessage(startup) => {
                            self.label =
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
                Phase::Ready | Phase::Skipping => {
                    let Some(message) = frontend_messages::take_message(input, LONGEST)? else {
                        return Ok(None);
                    };
                    if let Some(ask) = self.message(message, out) {
                        return Ok(Some(ask));
                    }
                }
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn message(&mut self, message: FrontendMessage, out: &mut BytesMut) -> Option<Ask> {
        match message {
            FrontendMessage::Terminate => {
                self.phase = Phase::Closed;
                return Some(Ask::Close);
            }
            FrontendMessage::Sync => {
                self.portals.clear();
                self.phase = Phase::Ready;
                backend_messages::put_ready_for_query(b'I', out);
                return None;
            }
            _ if matches!(self.phase, Phase::Skipping) => return None,
            _ => {}
        }
        let done = match message {
            FrontendMessage::Query(frame) => {
                return self.query(frontend_messages::query_text(&frame).unwrap_or(""), out)
            }
            FrontendMessage::Execute(execute) => {
                return self.execute(&execute.name.unwrap_or_default(), execute.max_rows, out)
            }
            FrontendMessage::Parse(parse) => {
                if self.statements.len() >= MOST {
                    Err(Diagnostic::error("53400", "too many prepared statements"))
                } else {
                    let types = answer::parameters(&parse.query, &parse.type_oids);
                    let prepared = Prepared { text: parse.query, types };
                    self.statements.insert(parse.name.unwrap_or_default(), prepared);
                    backend_messages::put_parse_complete(out);
                    Ok(())
                }
            }
            FrontendMessage::Bind(bind) => {
                let name = bind.statement_name.clone().unwrap_or_default();
                match self.statements.get(&name) {
                    Some(prepared) if self.portals.len() < MOST => {
                        let given = Given {
                            values: bind.parameters.clone(),
                            formats: bind.parameter_format_codes.clone(),
                            results: bind.result_column_format_codes.clone(),
                        };
                        let Prepared { text, types } = prepared.clone();
                        let portal = Portal { text, types, given, next: 0, ran: false };
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
        if let Err(trouble) = done {
            trouble.put(out);
            self.phase = Phase::Skipping;
        }
        None
    }

    fn describe(&mut self, kind: u8, name: &str, out: &mut BytesMut) -> Result<(), Diagnostic> {
        let (text, types, results) = if kind == b'S' {
            let Some(p) = self.statements.get(name) else {
                return Err(Diagnostic::error(
                    "26000",
                    format!("prepared statement \"{name}\" does not exist"),
                ));
            };
            backend_messages::put_parameter_description(&p.types, out);
            (&p.text, &p.types, Vec::new())
        } else {
            let Some(p) = self.portals.get(name) else {
                return Err(Diagnostic::error("34000", format!("portal \"{name}\" does not exist")));
            };
            (&p.text, &p.types, p.given.results.clone())
        };
        let columns = answer::plan(text, &Wanted::of(text), types).columns();
        if columns.is_empty() {
            backend_messages::put_no_data(out);
        } else {
            backend_messages::put_row_description(&columns, &results, out);
        }
        Ok(())
    }

    fn query(&mut self, text: &str, out: &mut BytesMut) -> Option<Ask> {
        let all = sql::statements(text);
        if all.is_empty() {
            backend_messages::put_empty_query_response(out);
            backend_messages::put_ready_for_query(b'I', out);
            return None;
        }
        if let Some(ask) = self.own(text, out) {
            return ask;
        }
        let wanted = Wanted::of(text);
        // Hints stand at the end of the text, and hold for all of it.
        self.queue = all
            .iter()
            .map(|statement| {
                let plan = answer::plan(statement, &wanted, &[]);
                Giving { plan, given: Given::default(), next: 0, limit: 0, portal: None, described: false }
            })
            .collect();
        self.simple = true;
        self.phase = Phase::Running;
        Some(Ask::Run(wanted))
    }

    /// What the stand-in itself is told: settings, priorities, and questions on its load.
    fn own(&mut self, text: &str, out: &mut BytesMut) -> Option<Option<Ask>> {
        let folded = sql::normalized(text);
        let mut ask = None;
        if folded.starts_with("set ") {
            for statement in sql::statements(&folded) {
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
        } else if folded == "show wheelfield.load" {
            self.waiting = None;
            backend_messages::put_row_description(&[backend_messages::Column::text("load")], &[], out);
            backend_messages::put_data_row([Some(&b"ok"[..])].into_iter(), out);
            backend_messages::put_command_complete("SHOW", out);
        } else if let Some(arguments) = folded.strip_prefix("select wheelfield.set_priority(") {
            let mut numbers =
                arguments.trim_end_matches(')').split(',').map(|n| n.trim().parse::<i32>().ok());
            if let (Some(Some(pid)), Some(Some(priority))) = (numbers.next(), numbers.next()) {
                ask = Some(Ask::Priority(pid, priority.clamp(0, 3) as u8));
            }
            backend_messages::put_command_complete("SELECT 0", out);
        } else {
            return None;
        }
        backend_messages::put_ready_for_query(b'I', out);
        Some(ask)
    }

    /// Tells the load ahead of what comes next, as far as it has changed.
    pub fn tell_load(&mut self, load: Load, work_ms: Option<f64>, out: &mut BytesMut) {
        let figures = [
            ("wheelfield.util", Some(load.util)),
            ("wheelfield.in_flight", Some(load.in_flight)),
            ("wheelfield.queue", Some(load.queue)),
            ("wheelfield.memory", Some(load.memory)),
            ("wheelfield.disks", Some(load.disks)),
        ];
        for (name, value) in figures {
            let Some(value) = value.map(|x| format!("{x:.3}")) else { continue };
            if self.told.get(name) != Some(&value) {
                backend_messages::put_parameter_status(name, &value, out);
                self.told.insert(name, value);
            }
        }
        if let Some(work_ms) = work_ms {
            backend_messages::put_parameter_status("wheelfield.work_ms", &format!("{work_ms:.1}"), out);
        }
    }

    /// Tells how what runs goes on.
    pub fn tell(&self, name: &str, value: &str, out: &mut BytesMut) {
        if self.running() {
            backend_messages::put_parameter_status(&format!("wheelfield.{name}"), value, out);
        }
    }

    fn execute(&mut self, name: &str, max_rows: i32, out: &mut BytesMut) -> Option<Ask> {
        let Some(portal) = self.portals.get_mut(name) else {
            Diagnostic::error("34000", format!("portal \"{name}\" does not exist")).put(out);
            self.phase = Phase::Skipping;
            return None;
        };
        if sql::statements(&portal.text).is_empty() {
            backend_messages::put_empty_query_response(out);
            return None;
        }
        let wanted = Wanted::of(&portal.text);
        let plan = answer::plan(&portal.text, &wanted, &portal.types);
        let limit = u64::try_from(max_rows).unwrap_or(0);
        self.queue = VecDeque::from([Giving {
            plan,
            given: portal.given.clone(),
            next: portal.next,
            limit,
            portal: Some(name.to_string()),
            described: true,
        }]);
        self.simple = false;
        if std::mem::replace(&mut portal.ran, true) {
            // The rest of a suspended portal is there already.
            self.phase = Phase::Giving;
            return None;
        }
        self.phase = Phase::Running;
        Some(Ask::Run(wanted))
    }

    /// The query with the host is done: its rows go out, and beside their end the load and the work done.
    pub fn done(&mut self, load: Load, work: f64, out: &mut BytesMut) {
        if self.running() {
            self.tail = Some((load, work * 1e3));
            self.phase = Phase::Giving;
            self.give(out);
        }
    }

    /// The query with the host ended otherwise.
    pub fn failed(&mut self, trouble: &Diagnostic, out: &mut BytesMut) {
        if !self.running() {
            return;
        }
        self.queue.clear();
        trouble.put(out);
        if self.simple {
            backend_messages::put_ready_for_query(b'I', out);
            self.phase = Phase::Ready;
        } else {
            self.phase = Phase::Skipping;
        }
    }

    /// Writes rows while there is room for them.
    fn give(&mut self, out: &mut BytesMut) {
        while let Some(giving) = self.queue.front_mut() {
            let columns = giving.plan.columns();
            if !giving.described && !columns.is_empty() {
                backend_messages::put_row_description(&columns, &[], out);
            }
            giving.described = true;
            let rows = giving.plan.rows();
            let until = if giving.limit == 0 { rows } else { rows.min(giving.next + giving.limit) };
            while giving.next < until {
                if out.len() >= ROOM {
                    giving.limit = if giving.limit == 0 { 0 } else { until - giving.next };
                    return;
                }
                giving.plan.put_row(giving.next, &giving.given, out);
                giving.next += 1;
            }
            let suspended = giving.limit > 0 && giving.next < rows;
            let (tag, portal, next) = (giving.plan.tag(), giving.portal.clone(), giving.next);
            self.queue.pop_front();
            if let Some((load, work_ms)) = self.tail.take() {
                self.tell_load(load, Some(work_ms), out);
            }
            if suspended {
                backend_messages::put_portal_suspended(out);
                if let Some(portal) = portal.and_then(|name| self.portals.get_mut(&name)) {
                    portal.next = next;
                }
            } else {
                backend_messages::put_command_complete(&tag, out);
            }
        }
        if self.simple {
            backend_messages::put_ready_for_query(b'I', out);
        }
        self.phase = Phase::Ready;
    }

    /// Rows wait for room.
    pub fn giving(&self) -> bool {
        matches!(self.phase, Phase::Giving)
    }
}
