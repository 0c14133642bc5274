//! An emulated engine without sockets: its sessions, execution model and injected faults. The inputs
//! are bytes and the time; the outputs are bytes, closed connections and journal entries.

use crate::answer::BAD_PLAN_SLOWDOWN;
use crate::model::{Job, Model, ModelEvent};
use crate::session::{Session, SessionRequest};
use crate::setup::HostedEngine;
use bytes::{Buf, BytesMut};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::BTreeMap;
use wheelfield_pg::backend_messages::Diagnostic;
use wheelfield_sans_io::{ConnId, ConnectionTable};

/// Maximum number of unprocessed input bytes of a connection.
const MAX_BUFFERED_INPUT: usize = 128 << 10;

/// An action that an emulated engine requests from its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Write [`EmulatedEngine::output`] and report the written bytes by
    /// [`EmulatedEngine::bytes_written`].
    Write(ConnId),
    /// Resume reading; there is read capacity again.
    Read(ConnId),
    /// Close a connection; with `true` by a TCP reset.
    Close(ConnId, bool),
    /// The emulated process exited; close its listener.
    ProcessExited,
    /// The emulated process started; open its listener.
    ProcessStarted,
}

/// A journal entry. Fields that don't apply to the event are omitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct JournalEntry {
    /// Time in microseconds on the host's clock.
    pub t: i64,
    /// Engine name; empty for events of the registry.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub engine: String,
    /// Kind of the event.
    pub event: &'static str,
    /// Query id from the hints.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<String>,
    /// Class of the query.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Key of the keyed order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// `application_name` of the session, which identifies the controller.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub by: String,
    /// Process id of the session.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub session: Option<i32>,
    /// Work in milliseconds: the estimate when a query is received, the work done when it has finished.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub work_ms: Option<f64>,
    /// Actual work of the query in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<f64>,
    /// Fraction of the engine's full throughput that was available.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warmth: Option<f64>,
    /// Zone of the engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Engine kind, or kind of an injected fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Cell of the engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cell: Option<i64>,
    /// SQLSTATE of the error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Reason for dropping the query.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<&'static str>,
    /// How the answer was sent: `whole`, `half` (truncated) or `lost`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<&'static str>,
    /// Value of an injected fault, or duration of an outage of the registry in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<f64>,
    /// Client of the registry, as named in its request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// Version of the list that was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Engines that the list shows with a status other than `Up`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_up: Option<Vec<NotUp>>,
}

/// An engine that the registry lists with a status other than `Up`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NotUp {
    /// Engine name.
    pub engine: String,
    /// Status in the registry.
    pub status: crate::registry::EngineStatus,
}

/// Faults that are currently injected.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    hung: bool,
    session_limit_reached: bool,
    rejecting: bool,
    error_probability: f64,
    lost_answer_probability: f64,
    truncated_answer_probability: f64,
}

/// The query that runs on a connection.
#[derive(Debug)]
struct RunningQuery {
    job: u64,
    query: Option<String>,
    class: Option<String>,
}

#[derive(Debug)]
struct Connection {
    input: BytesMut,
    output: BytesMut,
    session: Box<Session>,
    running_query: Option<RunningQuery>,
    /// Whether all further input is discarded without an answer.
    muted: bool,
    /// Whether the connection is closed once its output is written.
    close_after_write: bool,
    /// Whether the host was told that there is no read capacity.
    read_paused: bool,
}

/// An emulated engine.
#[derive(Debug)]
pub struct EmulatedEngine {
    /// Engine name.
    pub name: String,
    /// Engine kind as listed in the registry.
    pub kind: String,
    /// Zone of the engine.
    pub zone: String,
    /// Cell of the engine.
    pub cell: i64,
    /// Execution model.
    pub model: Model,
    faults: Faults,
    connections: ConnectionTable<Connection>,
    /// Connection of each job.
    connection_by_job: BTreeMap<u64, ConnId>,
    /// Connection of each session's process id.
    by_pid: BTreeMap<i32, ConnId>,
    next_job: u64,
    next_pid: i32,
    rng: Pcg64Mcg,
    model_events: Vec<ModelEvent>,
    actions: Vec<EngineAction>,
    journal: Vec<JournalEntry>,
}

impl EmulatedEngine {
    /// Creates a running engine without connections.
    pub fn new(setup: HostedEngine, now: i64, seed: u64) -> EmulatedEngine {
        EmulatedEngine {
            name: setup.name,
            kind: setup.kind,
            zone: setup.zone,
            cell: setup.cell,
            model: Model::new(setup.spec, now),
            faults: Faults::default(),
            connections: ConnectionTable::new(1),
            connection_by_job: BTreeMap::new(),
            by_pid: BTreeMap::new(),
            next_job: 0,
            next_pid: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            model_events: Vec::new(),
            actions: Vec::new(),
            journal: Vec::new(),
        }
    }

    /// Returns the number of open connections.
    pub fn sessions(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether the engine hangs: it accepts connections but reads and answers nothing.
    pub fn is_hung(&self) -> bool {
        self.faults.hung
    }

    /// Moves the requested actions to `into`, which is cleared first.
    pub fn take_actions(&mut self, into: &mut Vec<EngineAction>) {
        into.clear();
        std::mem::swap(&mut self.actions, into);
    }

    /// Removes and returns the journal entries since the last call.
    pub fn drain_journal(&mut self) -> std::vec::Drain<'_, JournalEntry> {
        self.journal.drain(..)
    }

    /// Returns the time at which [`EmulatedEngine::advance`] must be called next.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.model.next_event()
    }

    fn record(&mut self, t: i64, event: &'static str, entry: JournalEntry) {
        let engine = self.name.clone();
        self.journal.push(JournalEntry { t, event, engine, ..entry });
    }

    // --- Connections ---

    /// Adds an accepted connection.
    pub fn accept(&mut self) -> ConnId {
        self.next_pid = self.next_pid.checked_add(1).unwrap_or(1);
        let session = Box::new(Session::new(self.next_pid, self.rng.random()));
        let id = self.connections.insert(Connection {
            input: BytesMut::new(),
            output: BytesMut::new(),
            session,
            running_query: None,
            muted: false,
            close_after_write: false,
            read_paused: false,
        });
        self.by_pid.insert(self.next_pid, id);
        id
    }

    /// Returns the number of bytes that may be received on a connection; zero while the engine
    /// hangs.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        let hung = self.faults.hung;
        self.connections.get_mut(id).map_or(0, |c| {
            let capacity = if hung { 0 } else { MAX_BUFFERED_INPUT.saturating_sub(c.input.len()) };
            c.read_paused |= capacity == 0;
            capacity
        })
    }

    /// Handles received bytes.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        if let Some(c) = self.connections.get_mut(id) {
            c.input.extend_from_slice(bytes);
            self.process_connection(id, now);
        }
    }

    /// Returns the bytes to write.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.connections.get(id).map_or(&[], |c| &c.output)
    }

    /// Removes `n` bytes, which were written, from the output.
    pub fn bytes_written(&mut self, id: ConnId, n: usize, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        c.output.advance(n.min(c.output.len()));
        if !c.output.is_empty() {
            return;
        }
        if c.close_after_write {
            self.close(id, now, "answered");
        } else if c.session.is_sending_rows() {
            self.process_connection(id, now);
        }
    }

    /// Handles a connection that was closed by the peer.
    pub fn peer_closed(&mut self, id: ConnId, now: i64) {
        self.close(id, now, "client gone");
    }

    fn close(&mut self, id: ConnId, now: i64, why: &'static str) {
        let Some(c) = self.connections.remove(id) else { return };
        self.by_pid.remove(&c.session.cancel_key().0);
        self.actions.push(EngineAction::Close(id, why == "killed"));
        if let Some(running_query) = c.running_query {
            self.connection_by_job.remove(&running_query.job);
            self.model.cancel(now, running_query.job, &mut self.model_events);
            let entry = JournalEntry {
                query: running_query.query,
                by: c.session.application_name,
                why: Some(why),
                ..JournalEntry::default()
            };
            self.record(now, "dropped", entry);
            self.deliver_model_events(now);
        }
    }

    /// Processes the input of a connection until no more progress is possible.
    fn process_connection(&mut self, id: ConnId, now: i64) {
        if self.faults.hung {
            return;
        }
        while self.serve(id, now) {}
        let Some(c) = self.connections.get_mut(id) else { return };
        if std::mem::take(&mut c.read_paused) {
            self.actions.push(EngineAction::Read(id));
        }
        if !c.output.is_empty() {
            self.actions.push(EngineAction::Write(id));
        } else if c.close_after_write {
            self.close(id, now, "answered");
        }
    }

    /// Lets a session process one step of its input; returns whether more may follow.
    fn serve(&mut self, id: ConnId, now: i64) -> bool {
        let Some(c) = self.connections.get_mut(id) else { return false };
        if c.muted {
            c.input.clear();
            return false;
        }
        match c.session.receive(&mut c.input, &mut c.output) {
            Ok(None) => return false,
            Ok(Some(SessionRequest::Close)) | Err(_) => {
                c.close_after_write = true;
                return false;
            }
            Ok(Some(SessionRequest::Cancel(pid, key))) => {
                c.close_after_write = true;
                self.cancel(pid, &key, now);
                return false;
            }
            Ok(Some(SessionRequest::Priority(pid, priority))) => {
                let target = self.by_pid.get(&pid).and_then(|id| self.connections.get(*id));
                if let Some(job) =
                    target.and_then(|c| c.running_query.as_ref()).map(|running_query| running_query.job)
                {
                    self.model.set_priority(now, job, priority, &mut self.model_events);
                    self.deliver_model_events(now);
                }
            }
            Ok(Some(SessionRequest::Run(hints))) => self.run(id, hints, now),
        }
        true
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn run(&mut self, id: ConnId, hints: crate::answer::QueryHints, now: i64) {
        let load = self.model.load();
        self.next_job += 1;
        let bad_plan =
            hints.bad_plan_probability > 0.0 && self.rng.random::<f64>() < hints.bad_plan_probability;
        let Some(c) = self.connections.get_mut(id) else { return };
        let job = Job {
            id: self.next_job,
            work: hints.run_ms.unwrap_or(hints.work_ms) / 1e3
                * if bad_plan { BAD_PLAN_SLOWDOWN } else { 1.0 },
            nominal_work: hints.usual_ms.unwrap_or(hints.work_ms) / 1e3,
            threads: hints.threads,
            io: hints.io,
            memory_mb: hints.memory_mb,
            requested_grant_mb: c.session.grant_mb,
            priority: c.session.priority,
            table_group: hints.table_group,
            is_load: hints.is_load,
            waits_for_loads: hints.waits_for_loads,
        };
        let (by, pid) = (c.session.application_name.clone(), c.session.cancel_key().0);
        let query = hints.id.clone();
        let entry = JournalEntry {
            query: query.clone(),
            class: hints.class.clone(),
            key: hints.key.clone(),
            by: by.clone(),
            session: Some(pid),
            work_ms: Some(hints.work_ms),
            run_ms: Some(job.work * 1e3),
            warmth: Some(self.model.warmth(now)),
            zone: Some(self.zone.clone()),
            kind: Some(self.kind.clone()),
            cell: Some(self.cell),
            ..JournalEntry::default()
        };
        self.record(now, "received", entry);
        let faults = self.faults;
        let rejection = if faults.rejecting {
            Some(("57P03", "the engine is draining"))
        } else if faults.session_limit_reached {
            Some(("53300", "too many sessions"))
        } else if faults.error_probability > 0.0 && self.rng.random::<f64>() < faults.error_probability {
            Some(("58000", "something this engine depends on has failed"))
        } else {
            None
        };
        let mut error = match rejection {
            Some((state, message)) => Some(Diagnostic::error(state, message)),
            None => hints.sqlstate.as_ref().map(|state| Diagnostic::error(state, "as was asked for")),
        };
        if error.is_none() && job.work <= 0.0 {
            // A query without work bypasses the model.
            self.record(now, "finished", JournalEntry { query, by, ..JournalEntry::default() });
            if let Some(c) = self.connections.get_mut(id) {
                c.session.complete(load, 0.0, &mut c.output);
            }
            return;
        }
        if error.is_none() {
            let job_id = job.id;
            match self.model.submit(now, job, &mut self.model_events) {
                Ok(()) => {
                    self.connection_by_job.insert(job_id, id);
                    if let Some(c) = self.connections.get_mut(id) {
                        c.running_query =
                            Some(RunningQuery { job: job_id, query: query.clone(), class: hints.class });
                    }
                }
                Err(submit_error) => {
                    let (sqlstate, message) = submit_error.sqlstate_and_message();
                    error = Some(Diagnostic::error(sqlstate, message));
                }
            }
        }
        if let Some(error) = error {
            let is_rejection = matches!(error.sqlstate.as_str(), "53300" | "57P03");
            let state = Some(error.sqlstate.clone());
            let event = if is_rejection { "refused" } else { "errored" };
            self.record(now, event, JournalEntry { query, by, state, ..JournalEntry::default() });
            if let Some(c) = self.connections.get_mut(id) {
                c.session.report_load(load, None, &mut c.output);
                c.session.fail(&error, &mut c.output);
            }
        }
        self.deliver_model_events(now);
    }

    fn cancel(&mut self, pid: i32, key: &[u8], now: i64) {
        let Some(id) = self.by_pid.get(&pid).copied() else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        if c.session.cancel_key().1 != key {
            return;
        }
        let Some(running_query) = c.running_query.take() else { return };
        let by = c.session.application_name.clone();
        self.connection_by_job.remove(&running_query.job);
        self.model.cancel(now, running_query.job, &mut self.model_events);
        let load = self.model.load();
        let entry = JournalEntry {
            query: running_query.query,
            by,
            why: Some("cancelled"),
            ..JournalEntry::default()
        };
        self.record(now, "dropped", entry);
        if let Some(c) = self.connections.get_mut(id) {
            c.session.report_load(load, None, &mut c.output);
            let error = Diagnostic::error("57014", "canceling statement due to user request");
            c.session.fail(&error, &mut c.output);
        }
        self.deliver_model_events(now);
        self.process_connection(id, now);
    }

    // --- Execution ---

    /// Advances to `now`.
    pub fn advance(&mut self, now: i64) {
        if self.model.next_event().is_some_and(|at| at <= now) {
            self.model.advance(now, &mut self.model_events);
            self.deliver_model_events(now);
        }
    }

    /// Reports model events to the sessions and the journal.
    fn deliver_model_events(&mut self, now: i64) {
        let mut updated_connections = Vec::new();
        for event in std::mem::take(&mut self.model_events) {
            let job = match event {
                ModelEvent::Overloaded => {
                    self.record(now, "fell_over", JournalEntry::default());
                    self.kill(now);
                    continue;
                }
                ModelEvent::Started(job)
                | ModelEvent::Finished { id: job, .. }
                | ModelEvent::Progress(job, _)
                | ModelEvent::Spilling(job, _)
                | ModelEvent::WaitingForMemory(job)
                | ModelEvent::WaitingForLoad(job) => job,
            };
            let Some(id) = self.connection_by_job.get(&job).copied() else { continue };
            let Some(c) = self.connections.get_mut(id) else { continue };
            let Some(running_query) =
                c.running_query.as_ref().filter(|running_query| running_query.job == job)
            else {
                continue;
            };
            updated_connections.push(id);
            let out = &mut c.output;
            match event {
                ModelEvent::Started(_) => {
                    let (query, class) = (running_query.query.clone(), running_query.class.clone());
                    let by = c.session.application_name.clone();
                    self.record(now, "started", JournalEntry { query, class, by, ..JournalEntry::default() });
                }
                ModelEvent::Progress(_, share) => {
                    c.session.report_status("progress", &format!("{share:.4}"), out)
                }
                ModelEvent::Spilling(_, mb) => c.session.report_status("spills", &format!("{mb:.0}"), out),
                ModelEvent::WaitingForMemory(_) => c.session.report_status("waits", "memory", out),
                ModelEvent::WaitingForLoad(_) => c.session.report_status("waits", "load", out),
                ModelEvent::Finished { work: work_done, .. } => self.finish_query(id, work_done, now),
                ModelEvent::Overloaded => {}
            }
        }
        for id in updated_connections {
            self.process_connection(id, now);
        }
    }

    fn finish_query(&mut self, id: ConnId, work_done: f64, now: i64) {
        let draw: f64 = self.rng.random();
        let (answer_lost, answer_truncated) = (
            draw < self.faults.lost_answer_probability,
            draw < self.faults.lost_answer_probability + self.faults.truncated_answer_probability,
        );
        let load = self.model.load();
        let Some(c) = self.connections.get_mut(id) else { return };
        let Some(running_query) = c.running_query.take() else { return };
        self.connection_by_job.remove(&running_query.job);
        if answer_lost {
            c.muted = true;
        } else {
            let before = c.output.len();
            c.session.complete(load, work_done, &mut c.output);
            if answer_truncated {
                c.output.truncate(before + (c.output.len() - before) / 2);
                c.close_after_write = true;
                c.muted = true;
            }
        }
        let answer = Some(if answer_lost {
            "lost"
        } else if answer_truncated {
            "half"
        } else {
            "whole"
        });
        let (query, by, work_ms) =
            (running_query.query, c.session.application_name.clone(), Some(work_done * 1e3));
        self.record(now, "finished", JournalEntry { query, by, work_ms, answer, ..JournalEntry::default() });
    }

    // --- Fault injection ---

    /// Emulates the end of the process: all connections are reset and all faults cleared.
    pub fn kill(&mut self, now: i64) {
        self.model.kill(now);
        self.faults = Faults::default();
        self.connection_by_job.clear();
        self.record(now, "killed", JournalEntry::default());
        let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in all {
            self.close(id, now, "killed");
        }
        self.actions.push(EngineAction::ProcessExited);
    }

    /// Injects or removes a fault; returns false for an unknown kind. The host also handles `drain`,
    /// which changes the status in the registry.
    pub fn inject_fault(&mut self, kind: &str, value: f64, now: i64) -> bool {
        let entry =
            JournalEntry { kind: Some(kind.to_string()), value: Some(value), ..JournalEntry::default() };
        self.record(now, "fault", entry);
        match kind {
            "kill" => self.kill(now),
            "start" => {
                if !self.model.is_up() {
                    self.model.start(now);
                    self.record(now, "restarted", JournalEntry::default());
                    self.actions.push(EngineAction::ProcessStarted);
                }
            }
            "hang" => {
                self.model.advance(now, &mut self.model_events);
                self.faults.hung = value > 0.0;
                self.deliver_model_events(now);
                self.model.set_frozen(now, value > 0.0);
                // Process the input that was held back while the engine hung, and resume reading.
                let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
                for id in all {
                    self.process_connection(id, now);
                }
            }
            "slow" => {
                self.model.advance(now, &mut self.model_events);
                self.model.set_slowdown(now, value.max(0.01));
                self.deliver_model_events(now);
            }
            "errors" => self.faults.error_probability = value,
            "lose" => self.faults.lost_answer_probability = value,
            "half" => self.faults.truncated_answer_probability = value,
            "full" => self.faults.session_limit_reached = value > 0.0,
            "flush" => self.model.clear_warm_tables(),
            "shut" => self.faults.rejecting = value > 0.0,
            // The engine itself keeps working; only its status in the registry changes.
            "drain" => {}
            _ => return false,
        }
        true
    }
}
