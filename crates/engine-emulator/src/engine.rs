//! A stand-in engine without sockets: its sessions, what runs in its model, and what ails it. Bytes and time go in; bytes,
//! closed connections and lines of a journal come out.

use crate::answer::BAD_PLAN;
use crate::model::{Happened, Job, Model};
use crate::session::{Ask, Session};
use crate::setup::HostedEngine;
use bytes::{Buf, BytesMut};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::BTreeMap;
use wheelfield_pg::backend_messages::Diagnostic;
use wheelfield_sans_io::{ConnId, ConnectionTable};

/// Bytes of a session's input that wait to be read.
const INPUT: usize = 128 << 10;

/// What a stand-in wants done with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Write what [`EmulatedEngine::output`] holds, and tell by [`EmulatedEngine::bytes_written`].
    Write(ConnId),
    /// Read on: there is room again.
    Read(ConnId),
    /// Close it; with `true` the other side sees it break.
    Close(ConnId, bool),
    /// The process died: it listens no more.
    ProcessExited,
    /// It is there again.
    ProcessStarted,
}

/// A line of the journal. What is not told of its event is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct JournalEntry {
    pub t: i64,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub engine: String,
    pub event: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub by: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub session: Option<i32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub work_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warmth: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cell: Option<i64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_up: Option<Vec<NotUp>>,
}

/// An engine that takes no work, as a registry told.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NotUp {
    /// Its name.
    pub engine: String,
    /// How it is listed.
    pub status: crate::registry::EngineStatus,
}

/// What ails an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    hangs: bool,
    full: bool,
    shut: bool,
    errors: f64,
    loses: f64,
    halves: f64,
}

/// What runs on a connection.
#[derive(Debug)]
struct Work {
    job: u64,
    query: Option<String>,
    class: Option<String>,
}

#[derive(Debug)]
struct Connection {
    input: BytesMut,
    output: BytesMut,
    session: Box<Session>,
    work: Option<Work>,
    /// It answers nothing any more.
    mute: bool,
    /// To be closed once all is written.
    last: bool,
    /// Whoever reads was told that there is no room.
    starved: bool,
}

/// A stand-in engine.
#[derive(Debug)]
pub struct EmulatedEngine {
    /// Its name.
    pub name: String,
    /// Its kind, as it is listed.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: i64,
    /// Its work.
    pub model: Model,
    faults: Faults,
    connections: ConnectionTable<Connection>,
    /// Whose query a job is.
    jobs: BTreeMap<u64, ConnId>,
    /// The connection of a session's number.
    by_pid: BTreeMap<i32, ConnId>,
    next_job: u64,
    next_pid: i32,
    chance: Pcg64Mcg,
    happened: Vec<Happened>,
    doing: Vec<EngineAction>,
    journal: Vec<JournalEntry>,
}

impl EmulatedEngine {
    /// An engine that is up and has seen nothing.
    pub fn new(hosted: HostedEngine, now: i64, seed: u64) -> EmulatedEngine {
        EmulatedEngine {
            name: hosted.name,
            kind: hosted.kind,
            zone: hosted.zone,
            cell: hosted.cell,
            model: Model::new(hosted.spec, now),
            faults: Faults::default(),
            connections: ConnectionTable::new(1),
            jobs: BTreeMap::new(),
            by_pid: BTreeMap::new(),
            next_job: 0,
            next_pid: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            happened: Vec::new(),
            doing: Vec::new(),
            journal: Vec::new(),
        }
    }

    /// Connections that are open.
    pub fn sessions(&self) -> usize {
        self.connections.len()
    }

    /// It takes queries and answers none.
    pub fn is_hung(&self) -> bool {
        self.faults.hangs
    }

    /// What is to be done; `into` is emptied first.
    pub fn take_actions(&mut self, into: &mut Vec<EngineAction>) {
        into.clear();
        std::mem::swap(&mut self.doing, into);
    }

    /// What was noted since the last call.
    pub fn drain_journal(&mut self) -> std::vec::Drain<'_, JournalEntry> {
        self.journal.drain(..)
    }

    /// When [`EmulatedEngine::advance`] is next wanted.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.model.next_event()
    }

    fn note(&mut self, t: i64, event: &'static str, entry: JournalEntry) {
        let engine = self.name.clone();
        self.journal.push(JournalEntry { t, event, engine, ..entry });
    }

    // --- connections ---

    /// Somebody has connected.
    pub fn accept(&mut self) -> ConnId {
        self.next_pid = self.next_pid.checked_add(1).unwrap_or(1);
        let session = Box::new(Session::new(self.next_pid, self.chance.random()));
        let id = self.connections.insert(Connection {
            input: BytesMut::new(),
            output: BytesMut::new(),
            session,
            work: None,
            mute: false,
            last: false,
            starved: false,
        });
        self.by_pid.insert(self.next_pid, id);
        id
    }

    /// Bytes that may come on a connection now; none while it hangs.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        let hangs = self.faults.hangs;
        self.connections.get_mut(id).map_or(0, |c| {
            let room = if hangs { 0 } else { INPUT.saturating_sub(c.input.len()) };
            c.starved |= room == 0;
            room
        })
    }

    /// Bytes came.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        if let Some(c) = self.connections.get_mut(id) {
            c.input.extend_from_slice(bytes);
            self.attend(id, now);
        }
    }

    /// What is to go.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.connections.get(id).map_or(&[], |c| &c.output)
    }

    /// So much of it has gone.
    pub fn bytes_written(&mut self, id: ConnId, n: usize, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        c.output.advance(n.min(c.output.len()));
        if !c.output.is_empty() {
            return;
        }
        if c.last {
            self.close(id, now, "answered");
        } else if c.session.giving() {
            self.attend(id, now);
        }
    }

    /// The other side has gone.
    pub fn peer_closed(&mut self, id: ConnId, now: i64) {
        self.close(id, now, "client gone");
    }

    fn close(&mut self, id: ConnId, now: i64, why: &'static str) {
        let Some(c) = self.connections.remove(id) else { return };
        self.by_pid.remove(&c.session.secret().0);
        self.doing.push(EngineAction::Close(id, why == "killed"));
        if let Some(work) = c.work {
            self.jobs.remove(&work.job);
            self.model.cancel(now, work.job, &mut self.happened);
            let entry = JournalEntry {
                query: work.query,
                by: c.session.label,
                why: Some(why),
                ..JournalEntry::default()
            };
            self.note(now, "dropped", entry);
            self.carry_out(now);
        }
    }

    /// Reads and answers one connection, as far as it goes.
    fn attend(&mut self, id: ConnId, now: i64) {
        if self.faults.hangs {
            return;
        }
        while self.serve(id, now) {}
        let Some(c) = self.connections.get_mut(id) else { return };
        if std::mem::take(&mut c.starved) {
            self.doing.push(EngineAction::Read(id));
        }
        if !c.output.is_empty() {
            self.doing.push(EngineAction::Write(id));
        } else if c.last {
            self.close(id, now, "answered");
        }
    }

    /// Lets a session read; true if it has got on.
    fn serve(&mut self, id: ConnId, now: i64) -> bool {
        let Some(c) = self.connections.get_mut(id) else { return false };
        if c.mute {
            c.input.clear();
            return false;
        }
        match c.session.feed(&mut c.input, &mut c.output) {
            Ok(None) => return false,
            Ok(Some(Ask::Close)) | Err(_) => {
                c.last = true;
                return false;
            }
            Ok(Some(Ask::Cancel(pid, key))) => {
                c.last = true;
                self.cancel(pid, &key, now);
                return false;
            }
            Ok(Some(Ask::Priority(pid, priority))) => {
                let of = self.by_pid.get(&pid).and_then(|id| self.connections.get(*id));
                if let Some(job) = of.and_then(|c| c.work.as_ref()).map(|w| w.job) {
                    self.model.set_priority(now, job, priority, &mut self.happened);
                    self.carry_out(now);
                }
            }
            Ok(Some(Ask::Run(wanted))) => self.run(id, wanted, now),
        }
        true
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn run(&mut self, id: ConnId, wanted: crate::answer::Wanted, now: i64) {
        let load = self.model.load();
        self.next_job += 1;
        let unlucky = wanted.bad > 0.0 && self.chance.random::<f64>() < wanted.bad;
        let Some(c) = self.connections.get_mut(id) else { return };
        let job = Job {
            id: self.next_job,
            work: wanted.run_ms.unwrap_or(wanted.work_ms) / 1e3 * if unlucky { BAD_PLAN } else { 1.0 },
            usual: wanted.usual_ms.unwrap_or(wanted.work_ms) / 1e3,
            threads: wanted.threads,
            io: wanted.io,
            memory_mb: wanted.memory_mb,
            grant_mb: c.session.grant_mb,
            priority: c.session.priority,
            tables: wanted.tables,
            load: wanted.load,
            waits: wanted.waits,
        };
        let (by, pid) = (c.session.label.clone(), c.session.secret().0);
        let query = wanted.id.clone();
        let entry = JournalEntry {
            query: query.clone(),
            class: wanted.class.clone(),
            key: wanted.key.clone(),
            by: by.clone(),
            session: Some(pid),
            work_ms: Some(wanted.work_ms),
            run_ms: Some(job.work * 1e3),
            warmth: Some(self.model.warmth(now)),
            zone: Some(self.zone.clone()),
            kind: Some(self.kind.clone()),
            cell: Some(self.cell),
            ..JournalEntry::default()
        };
        self.note(now, "received", entry);
        let f = self.faults;
        let turned_away = if f.shut {
            Some(("57P03", "the engine is draining"))
        } else if f.full {
            Some(("53300", "too many sessions"))
        } else if f.errors > 0.0 && self.chance.random::<f64>() < f.errors {
            Some(("58000", "something this engine depends on has failed"))
        } else {
            None
        };
        let mut trouble = match turned_away {
            Some((state, message)) => Some(Diagnostic::error(state, message)),
            None => wanted.sqlstate.as_ref().map(|state| Diagnostic::error(state, "as was asked for")),
        };
        if trouble.is_none() && job.work <= 0.0 {
            // What costs nothing needs no model.
            self.note(now, "finished", JournalEntry { query, by, ..JournalEntry::default() });
            if let Some(c) = self.connections.get_mut(id) {
                c.session.done(load, 0.0, &mut c.output);
            }
            return;
        }
        if trouble.is_none() {
            let number = job.id;
            if self.model.submit(now, job, &mut self.happened).is_ok() {
                self.jobs.insert(number, id);
                if let Some(c) = self.connections.get_mut(id) {
                    c.work = Some(Work { job: number, query: query.clone(), class: wanted.class });
                }
            } else {
                trouble = Some(Diagnostic::error("53300", "too many sessions"));
            }
        }
        if let Some(trouble) = trouble {
            let refused = matches!(trouble.sqlstate.as_str(), "53300" | "57P03");
            let state = Some(trouble.sqlstate.clone());
            let event = if refused { "refused" } else { "errored" };
            self.note(now, event, JournalEntry { query, by, state, ..JournalEntry::default() });
            if let Some(c) = self.connections.get_mut(id) {
                c.session.tell_load(load, None, &mut c.output);
                c.session.failed(&trouble, &mut c.output);
            }
        }
        self.carry_out(now);
    }

    fn cancel(&mut self, pid: i32, key: &[u8], now: i64) {
        let Some(id) = self.by_pid.get(&pid).copied() else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        if c.session.secret().1 != key {
            return;
        }
        let Some(work) = c.work.take() else { return };
        let by = c.session.label.clone();
        self.jobs.remove(&work.job);
        self.model.cancel(now, work.job, &mut self.happened);
        let load = self.model.load();
        let entry = JournalEntry { query: work.query, by, why: Some("cancelled"), ..JournalEntry::default() };
        self.note(now, "dropped", entry);
        if let Some(c) = self.connections.get_mut(id) {
            c.session.tell_load(load, None, &mut c.output);
            let trouble = Diagnostic::error("57014", "canceling statement due to user request");
            c.session.failed(&trouble, &mut c.output);
        }
        self.carry_out(now);
        self.attend(id, now);
    }

    // --- what runs ---

    /// Lets the time pass.
    pub fn advance(&mut self, now: i64) {
        if self.model.next_event().is_some_and(|at| at <= now) {
            self.model.advance(now, &mut self.happened);
            self.carry_out(now);
        }
    }

    /// Tells sessions what happened inside the engine.
    fn carry_out(&mut self, now: i64) {
        let mut touched = Vec::new();
        for happened in std::mem::take(&mut self.happened) {
            let job = match happened {
                Happened::FellOver => {
                    self.note(now, "fell_over", JournalEntry::default());
                    self.kill(now);
                    continue;
                }
                Happened::Started(job)
                | Happened::Finished { id: job, .. }
                | Happened::Progress(job, _)
                | Happened::Spills(job, _)
                | Happened::WaitsForMemory(job)
                | Happened::WaitsForLoad(job) => job,
            };
            let Some(id) = self.jobs.get(&job).copied() else { continue };
            let Some(c) = self.connections.get_mut(id) else { continue };
            let Some(work) = c.work.as_ref().filter(|w| w.job == job) else { continue };
            touched.push(id);
            let out = &mut c.output;
            match happened {
                Happened::Started(_) => {
                    let (query, class) = (work.query.clone(), work.class.clone());
                    let by = c.session.label.clone();
                    self.note(now, "started", JournalEntry { query, class, by, ..JournalEntry::default() });
                }
                Happened::Progress(_, share) => c.session.tell("progress", &format!("{share:.4}"), out),
                Happened::Spills(_, mb) => c.session.tell("spills", &format!("{mb:.0}"), out),
                Happened::WaitsForMemory(_) => c.session.tell("waits", "memory", out),
                Happened::WaitsForLoad(_) => c.session.tell("waits", "load", out),
                Happened::Finished { work: done, .. } => self.finished(id, done, now),
                Happened::FellOver => {}
            }
        }
        for id in touched {
            self.attend(id, now);
        }
    }

    fn finished(&mut self, id: ConnId, done: f64, now: i64) {
        let chance: f64 = self.chance.random();
        let (lost, half) = (chance < self.faults.loses, chance < self.faults.loses + self.faults.halves);
        let load = self.model.load();
        let Some(c) = self.connections.get_mut(id) else { return };
        let Some(work) = c.work.take() else { return };
        self.jobs.remove(&work.job);
        if lost {
            c.mute = true;
        } else {
            let before = c.output.len();
            c.session.done(load, done, &mut c.output);
            if half {
                c.output.truncate(before + (c.output.len() - before) / 2);
                c.last = true;
                c.mute = true;
            }
        }
        let answer = Some(if lost {
            "lost"
        } else if half {
            "half"
        } else {
            "whole"
        });
        let (query, by, work_ms) = (work.query, c.session.label.clone(), Some(done * 1e3));
        self.note(now, "finished", JournalEntry { query, by, work_ms, answer, ..JournalEntry::default() });
    }

    // --- what ails it ---

    /// The process dies: its connections break.
    pub fn kill(&mut self, now: i64) {
        self.model.kill(now);
        self.faults = Faults::default();
        self.jobs.clear();
        self.note(now, "killed", JournalEntry::default());
        let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in all {
            self.close(id, now, "killed");
        }
        self.doing.push(EngineAction::ProcessExited);
    }

    /// Makes it ail, or well again. False if the kind is none of a process: `drain` is the list's.
    pub fn inject_fault(&mut self, kind: &str, value: f64, now: i64) -> bool {
        let entry =
            JournalEntry { kind: Some(kind.to_string()), value: Some(value), ..JournalEntry::default() };
        self.note(now, "fault", entry);
        match kind {
            "kill" => self.kill(now),
            "start" => {
                if !self.model.is_up() {
                    self.model.start(now);
                    self.note(now, "restarted", JournalEntry::default());
                    self.doing.push(EngineAction::ProcessStarted);
                }
            }
            "hang" => {
                self.model.advance(now, &mut self.happened);
                self.faults.hangs = value > 0.0;
                self.carry_out(now);
                self.model.freeze(now, value > 0.0);
                // What came meanwhile is read now.
                let all: Vec<ConnId> = self.connections.iter().map(|(id, _)| id).collect();
                for id in all {
                    self.attend(id, now);
                }
            }
            "slow" => {
                self.model.advance(now, &mut self.happened);
                self.model.slow(now, value.max(0.01));
                self.carry_out(now);
            }
            "errors" => self.faults.errors = value,
            "lose" => self.faults.loses = value,
            "half" => self.faults.halves = value,
            "full" => self.faults.full = value > 0.0,
            "flush" => self.model.flush(),
            "shut" => self.faults.shut = value > 0.0,
            // It goes on with what it has; only the list tells that nothing new is wanted.
            "drain" => {}
            _ => return false,
        }
        true
    }
}
