//! Many stand-ins in one process: their sockets, a registry that lists them, and faults on command.

use crate::model::{Happened, Job, Model};
use crate::registry::{Line, Registry, Standing};
use crate::session::{Ask, Session};
use crate::setup::Setup;
use anyhow::{bail, Context, Result};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wheelfield_net::{http, listen, Clock, Stream};
use wheelfield_pg::back::Trouble;

/// Tokens of connections come behind those of the listeners.
const CONNECTIONS: usize = 1 << 20;
const CONTROL: Token = Token(CONNECTIONS - 1);
const REGISTRY: Token = Token(CONNECTIONS - 2);
/// Connections of all engines together; more are closed as they come.
const MOST_CONNECTIONS: usize = 18_000;
/// Bytes of a session's input that wait to be read.
const INPUT: usize = 128 << 10;
/// Accepted in one turn by one listener.
const ACCEPTS: usize = 256;

/// What ails an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    hangs: bool,
    full: bool,
    drains: bool,
    errors: f64,
    loses: f64,
    halves: f64,
}

struct Engine {
    name: String,
    kind: String,
    zone: String,
    cell: i64,
    address: SocketAddr,
    listener: Option<TcpListener>,
    model: Model,
    faults: Faults,
    connections: BTreeSet<usize>,
    /// Whose query a job is.
    jobs: BTreeMap<u64, usize>,
}

/// What runs on a connection.
struct Work {
    job: u64,
    query: Option<String>,
    class: Option<String>,
}

enum Role {
    Engine {
        engine: usize,
        session: Box<Session>,
        work: Option<Work>,
        mute: bool,
    },
    Control,
    /// A call to the registry; one that waits has its version, its end and who it is.
    Registry {
        waits: Option<(u64, i64, String)>,
    },
}

struct Connection {
    stream: Stream,
    role: Role,
    /// To be closed once all is written.
    last: bool,
}

/// Writes what happens as JSON lines.
struct Journal(Option<std::io::BufWriter<std::fs::File>>);

impl Journal {
    fn write(&mut self, line: &Value) {
        if let Some(out) = &mut self.0 {
            // A full disk loses lines, not queries; the reader of the log finds the gap.
            let _ = writeln!(out, "{line}");
        }
    }
    fn flush(&mut self) {
        if let Some(out) = &mut self.0 {
            let _ = out.flush();
        }
    }
}

/// The process's state.
pub struct Host {
    clock: Clock,
    poll: Poll,
    engines: Vec<Engine>,
    control: TcpListener,
    registry_listener: TcpListener,
    connections: Slab<Connection>,
    gone: Vec<usize>,
    registry: Registry,
    notice: i64,
    listed_after: i64,
    /// Added to both for a while.
    stale: i64,
    journal: Journal,
    chance: Pcg64Mcg,
    next_job: u64,
    next_pid: i32,
    happened: Vec<Happened>,
    scratch: Vec<u8>,
}

impl Host {
    /// Opens all sockets, on ports that the system chooses unless `ports` names the first of them.
    ///
    /// # Errors
    /// As the system tells.
    pub fn open(setup: Setup, log: Option<&std::path::Path>, seed: u64) -> Result<Host> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let bind = |token: Token| -> Result<TcpListener> {
            let mut listener = listen(any, 4096)?;
            poll.registry().register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        let (control, registry_listener) = (bind(CONTROL)?, bind(REGISTRY)?);
        let mut engines = Vec::new();
        for (i, hosted) in setup.engines.into_iter().enumerate() {
            let listener = bind(Token(i))?;
            engines.push(Engine {
                name: hosted.name,
                kind: hosted.kind,
                zone: hosted.zone,
                cell: hosted.cell,
                address: listener.local_addr()?,
                listener: Some(listener),
                model: Model::new(hosted.spec, clock.now()),
                faults: Faults::default(),
                connections: BTreeSet::new(),
                jobs: BTreeMap::new(),
            });
        }
        let line = |e: &Engine| Line {
            id: e.name.clone(),
            address: e.address.to_string(),
            zone: e.zone.clone(),
            kind: e.kind.clone(),
            cell: e.cell,
            status: Standing::Up,
            started_us: None,
        };
        let file = match log {
            Some(path) => Some(
                std::fs::File::create(path).with_context(|| format!("cannot write {}", path.display()))?,
            ),
            None => None,
        };
        Ok(Host {
            clock,
            poll,
            registry: Registry::new(engines.iter().map(line)),
            engines,
            control,
            registry_listener,
            connections: Slab::new(),
            gone: Vec::new(),
            notice: setup.notice,
            listed_after: setup.listed_after,
            stale: 0,
            journal: Journal(file.map(std::io::BufWriter::new)),
            chance: Pcg64Mcg::seed_from_u64(seed),
            next_job: 0,
            next_pid: 0,
            happened: Vec::new(),
            scratch: vec![0; 64 << 10],
        })
    }

    /// Where everything listens, for whoever started the process.
    pub fn addresses(&self) -> Value {
        let engines: Vec<Value> = self
            .engines
            .iter()
            .map(|e| json!({"id": e.name, "address": e.address.to_string(), "zone": e.zone, "kind": e.kind, "cell": e.cell}))
            .collect();
        let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
        json!({"control": address(&self.control), "registry": address(&self.registry_listener), "engines": engines})
    }

    /// Serves until `stop` is set.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn serve(&mut self, stop: &Arc<AtomicBool>) -> Result<()> {
        let mut events = Events::with_capacity(4096);
        while !stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let models = self.engines.iter().filter_map(|e| e.model.next_event());
            let watchers = self.connections.iter().filter_map(|(_, c)| match &c.role {
                Role::Registry { waits: Some((_, end, _)) } => Some(*end),
                _ => None,
            });
            let next = models.chain(watchers).chain(self.registry.next()).min().unwrap_or(i64::MAX);
            // Woken now and then to look at `stop`.
            let wait = self.clock.until(next.min(now + 100_000));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                self.on_event(event);
            }
            let now = self.clock.now();
            for i in 0..self.engines.len() {
                self.advance(i, now);
            }
            if self.registry.advance(now) {
                self.told(now);
            }
            self.end_watches(now);
            for id in std::mem::take(&mut self.gone) {
                self.close(id, false);
            }
            self.journal.flush();
        }
        Ok(())
    }

    fn on_event(&mut self, event: &mio::event::Event) {
        match event.token() {
            CONTROL => self.accept(None, true),
            REGISTRY => self.accept(None, false),
            Token(t) if t < CONNECTIONS => self.accept(Some(t), false),
            Token(t) => {
                let id = t - CONNECTIONS;
                if let Some(c) = self.connections.get_mut(id) {
                    c.stream.on(event);
                    self.attend(id);
                }
            }
        }
    }

    fn accept(&mut self, engine: Option<usize>, control: bool) {
        for _ in 0..ACCEPTS {
            let accepted = match engine {
                Some(i) => match self.engines.get(i).and_then(|e| e.listener.as_ref()) {
                    Some(listener) => listener.accept(),
                    None => return,
                },
                None if control => self.control.accept(),
                None => self.registry_listener.accept(),
            };
            let Ok((socket, _)) = accepted else { return };
            if self.connections.len() >= MOST_CONNECTIONS {
                continue;
            }
            let entry = self.connections.vacant_entry();
            let id = entry.key();
            let Ok(stream) = Stream::new(socket, true, self.poll.registry(), Token(CONNECTIONS + id)) else {
                continue;
            };
            let role = match engine {
                Some(engine) => {
                    self.next_pid = self.next_pid.wrapping_add(1).max(1);
                    let session = Box::new(Session::new(self.next_pid, self.chance.random()));
                    self.engines[engine].connections.insert(id);
                    Role::Engine { engine, session, work: None, mute: false }
                }
                None if control => Role::Control,
                None => Role::Registry { waits: None },
            };
            entry.insert(Connection { stream, role, last: false });
            self.attend(id);
        }
        // More wait: the listener will not tell of them again.
        let token = engine.map_or(if control { CONTROL } else { REGISTRY }, Token);
        let listener = match engine {
            Some(i) => self.engines[i].listener.as_mut(),
            None if control => Some(&mut self.control),
            None => Some(&mut self.registry_listener),
        };
        if let Some(listener) = listener {
            let _ = self.poll.registry().reregister(listener, token, Interest::READABLE);
        }
    }

    /// Reads, answers and writes one connection, as far as it goes.
    fn attend(&mut self, id: usize) {
        let hangs = |h: &Host, id: usize| match &h.connections[id].role {
            Role::Engine { engine, .. } => h.engines[*engine].faults.hangs,
            _ => false,
        };
        if !self.connections.contains(id) || hangs(self, id) {
            return;
        }
        loop {
            let c = &mut self.connections[id];
            if c.stream.fill(INPUT, &mut self.scratch).is_err() {
                return self.gone.push(id);
            }
            let before = c.stream.input.len();
            let asked = match c.role {
                Role::Engine { .. } => self.serve_session(id),
                _ => self.serve_http(id),
            };
            let Some(c) = self.connections.get_mut(id) else { return };
            match c.stream.flush() {
                Err(_) => return self.gone.push(id),
                Ok(true) if c.last => return self.gone.push(id),
                Ok(_) => {}
            }
            let c = &self.connections[id];
            let more = match &c.role {
                Role::Engine { session, .. } => session.giving() && c.stream.output.is_empty(),
                _ => false,
            };
            if !(asked || more || (c.stream.readable() && c.stream.input.len() < before.max(INPUT))) {
                break;
            }
        }
        let c = &mut self.connections[id];
        c.stream.relax();
        if c.stream.ended() || c.stream.closing() {
            self.gone.push(id);
        }
    }

    /// Lets a session read; true if it has got on.
    fn serve_session(&mut self, id: usize) -> bool {
        let c = &mut self.connections[id];
        let Role::Engine { engine, session, mute, .. } = &mut c.role else { return false };
        if *mute {
            c.stream.input.clear();
            return false;
        }
        let engine = *engine;
        match session.feed(&mut c.stream.input, &mut c.stream.output) {
            Ok(None) => false,
            Ok(Some(Ask::Close)) => {
                c.last = true;
                false
            }
            Err(_) => {
                c.last = true;
                false
            }
            Ok(Some(Ask::Cancel(pid, key))) => {
                c.last = true;
                self.cancel(engine, pid, &key);
                false
            }
            Ok(Some(Ask::Priority(pid, priority))) => {
                let now = self.clock.now();
                if let Some((_, job)) = self.job_of(engine, pid) {
                    self.engines[engine].model.set_priority(now, job, priority, &mut self.happened);
                    self.carry_out(engine, now);
                }
                true
            }
            Ok(Some(Ask::Run(wanted))) => {
                let load = self.engines[engine].model.load();
                let now = self.clock.now();
                self.next_job += 1;
                let unlucky = wanted.bad > 0.0 && self.chance.random::<f64>() < wanted.bad;
                let plan = if unlucky { crate::answer::BAD_PLAN } else { 1.0 };
                let job = Job {
                    id: self.next_job,
                    work: wanted.run_ms.unwrap_or(wanted.work_ms) / 1e3 * plan,
                    usual: wanted.usual_ms.unwrap_or(wanted.work_ms) / 1e3,
                    threads: wanted.threads,
                    io: wanted.io,
                    memory_mb: wanted.memory_mb,
                    grant_mb: session.grant_mb,
                    priority: session.priority,
                    tables: wanted.tables,
                    load: wanted.load,
                    waits: wanted.waits,
                };
                let e = &mut self.engines[engine];
                let (pid, _) = session.secret();
                self.journal.write(&json!({
                    "t": now, "engine": e.name, "event": "received", "query": wanted.id, "class": wanted.class,
                    "key": wanted.key, "by": session.label, "session": pid, "work_ms": wanted.work_ms,
                    "run_ms": job.work * 1e3, "warmth": e.model.warmth(now), "zone": e.zone, "kind": e.kind, "cell": e.cell,
                }));
                let turned_away = if e.faults.drains {
                    Some(("57P03", "the engine is draining"))
                } else if e.faults.full {
                    Some(("53300", "too many sessions"))
                } else if e.faults.errors > 0.0 && self.chance.random::<f64>() < e.faults.errors {
                    Some(("58000", "something this engine depends on has failed"))
                } else {
                    None
                };
                let trouble = if let Some((state, message)) = turned_away {
                    Some(Trouble::error(state, message))
                } else {
                    wanted.sqlstate.as_ref().map(|state| Trouble::error(state, "as was asked for"))
                };
                if let Some(trouble) = trouble {
                    let refused = matches!(trouble.state.as_str(), "53300" | "57P03");
                    let event = if refused { "refused" } else { "errored" };
                    self.journal.write(&json!({"t": now, "engine": e.name, "event": event, "query": wanted.id, "by": session.label, "state": trouble.state}));
                    session.tell_load(load, None, &mut c.stream.output);
                    session.failed(&trouble, &mut c.stream.output);
                    return true;
                }
                if job.work <= 0.0 {
                    // What costs nothing needs no model.
                    self.journal.write(&json!({"t": now, "engine": e.name, "event": "finished", "query": wanted.id, "by": session.label}));
                    session.done(load, 0.0, &mut c.stream.output);
                    return true;
                }
                let number = job.id;
                let taken = e.model.submit(now, job, &mut self.happened);
                if taken.is_ok() {
                    e.jobs.insert(number, id);
                    if let Role::Engine { work, .. } = &mut c.role {
                        *work = Some(Work { job: number, query: wanted.id, class: wanted.class });
                    }
                } else {
                    self.journal.write(&json!({"t": now, "engine": e.name, "event": "refused", "query": wanted.id, "by": session.label, "state": "53300"}));
                    session.tell_load(load, None, &mut c.stream.output);
                    session.failed(&Trouble::error("53300", "too many sessions"), &mut c.stream.output);
                }
                self.carry_out(engine, now);
                true
            }
        }
    }

    /// The connection and job of a session that has one.
    fn job_of(&self, engine: usize, pid: i32) -> Option<(usize, u64)> {
        self.engines[engine].connections.iter().find_map(|id| match &self.connections[*id].role {
            Role::Engine { session, work: Some(work), .. } if session.secret().0 == pid => {
                Some((*id, work.job))
            }
            _ => None,
        })
    }

    fn cancel(&mut self, engine: usize, pid: i32, key: &[u8]) {
        let now = self.clock.now();
        let Some((id, job)) = self.job_of(engine, pid) else { return };
        let c = &mut self.connections[id];
        let Role::Engine { session, work, .. } = &mut c.role else { return };
        if session.secret().1 != key {
            return;
        }
        let query = work.take().and_then(|w| w.query);
        let e = &mut self.engines[engine];
        e.jobs.remove(&job);
        e.model.cancel(now, job, &mut self.happened);
        self.journal.write(&json!({"t": now, "engine": e.name, "event": "dropped", "query": query, "by": session.label, "why": "cancelled"}));
        session.tell_load(e.model.load(), None, &mut c.stream.output);
        session.failed(
            &Trouble::error("57014", "canceling statement due to user request"),
            &mut c.stream.output,
        );
        self.carry_out(engine, now);
        self.attend(id);
    }

    fn advance(&mut self, engine: usize, now: i64) {
        let e = &mut self.engines[engine];
        if e.model.next_event().is_some_and(|at| at <= now) {
            e.model.advance(now, &mut self.happened);
            self.carry_out(engine, now);
        }
    }

    /// Tells sessions what happened inside their engine.
    fn carry_out(&mut self, engine: usize, now: i64) {
        let mut touched = Vec::new();
        for happened in std::mem::take(&mut self.happened) {
            let e = &mut self.engines[engine];
            let (id, told) = match happened {
                Happened::FellOver => {
                    let name = e.name.clone();
                    self.journal.write(&json!({"t": now, "engine": name, "event": "fell_over"}));
                    self.kill(engine, now);
                    continue;
                }
                Happened::Started(id)
                | Happened::Finished { id, .. }
                | Happened::Progress(id, _)
                | Happened::Spills(id, _)
                | Happened::WaitsForMemory(id)
                | Happened::WaitsForLoad(id) => (e.jobs.get(&id).copied(), id),
            };
            let Some(c) = id.and_then(|id| self.connections.get_mut(id)) else { continue };
            let Role::Engine { session, work, mute, .. } = &mut c.role else { continue };
            if work.as_ref().is_none_or(|w| w.job != told) {
                continue;
            }
            touched.extend(id);
            let out = &mut c.stream.output;
            match happened {
                Happened::Started(_) => {
                    let w = work.as_ref();
                    self.journal.write(&json!({
                        "t": now, "engine": e.name, "event": "started", "by": session.label,
                        "query": w.and_then(|w| w.query.as_deref()), "class": w.and_then(|w| w.class.as_deref()),
                    }));
                }
                Happened::Progress(_, share) => session.tell("progress", &format!("{share:.4}"), out),
                Happened::Spills(_, mb) => session.tell("spills", &format!("{mb:.0}"), out),
                Happened::WaitsForMemory(_) => session.tell("waits", "memory", out),
                Happened::WaitsForLoad(_) => session.tell("waits", "load", out),
                Happened::Finished { work: done, .. } => {
                    e.jobs.remove(&told);
                    let query = work.take().and_then(|w| w.query);
                    let chance: f64 = self.chance.random();
                    let (lost, half) = (chance < e.faults.loses, chance < e.faults.loses + e.faults.halves);
                    self.journal.write(&json!({
                        "t": now, "engine": e.name, "event": "finished", "query": query, "by": session.label,
                        "work_ms": done * 1e3, "answer": if lost { "lost" } else if half { "half" } else { "whole" },
                    }));
                    if lost {
                        *mute = true;
                        continue;
                    }
                    let before = out.len();
                    session.done(e.model.load(), done, out);
                    if half {
                        out.truncate(before + (out.len() - before) / 2);
                        c.last = true;
                    }
                }
                Happened::FellOver => {}
            }
        }
        for id in touched {
            self.attend(id);
        }
    }

    /// An engine's process dies: its sockets break.
    fn kill(&mut self, engine: usize, now: i64) {
        let e = &mut self.engines[engine];
        e.model.kill(now);
        e.faults = Faults::default();
        e.jobs.clear();
        if let Some(mut listener) = e.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        let name = e.name.clone();
        self.journal.write(&json!({"t": now, "engine": name, "event": "killed"}));
        for id in std::mem::take(&mut self.engines[engine].connections) {
            self.close(id, true);
        }
        self.registry.change(now + self.notice + self.stale, &name, Standing::Removed, None);
    }

    fn start(&mut self, engine: usize, now: i64) -> Result<()> {
        let e = &mut self.engines[engine];
        if e.listener.is_some() {
            return Ok(());
        }
        let mut listener = listen(e.address, 4096)?;
        self.poll.registry().register(&mut listener, Token(engine), Interest::READABLE)?;
        e.listener = Some(listener);
        e.model.start(now);
        let name = e.name.clone();
        self.journal.write(&json!({"t": now, "engine": name, "event": "restarted"}));
        self.registry.change(now + self.listed_after + self.stale, &name, Standing::Up, Some(now));
        Ok(())
    }

    fn close(&mut self, id: usize, reset: bool) {
        let Some(c) = self.connections.try_remove(id) else { return };
        let now = self.clock.now();
        if let Role::Engine { engine, session, work, .. } = c.role {
            let e = &mut self.engines[engine];
            e.connections.remove(&id);
            if let Some(work) = work {
                e.jobs.remove(&work.job);
                e.model.cancel(now, work.job, &mut self.happened);
                self.journal.write(&json!({
                    "t": now, "engine": e.name, "event": "dropped", "query": work.query, "by": session.label,
                    "why": if reset { "killed" } else { "client gone" },
                }));
                c.stream.close(self.poll.registry(), reset);
                return self.carry_out(engine, now);
            }
        }
        c.stream.close(self.poll.registry(), reset);
    }

    // --- the registry and the control port ---

    fn serve_http(&mut self, id: usize) -> bool {
        let c = &mut self.connections[id];
        let request = match http::take_request(&mut c.stream.input, 64 << 10) {
            Ok(Some(request)) => request,
            Ok(None) => return false,
            Err(fault) => {
                http::put_response(400, "text/plain", fault.to_string().as_bytes(), &mut c.stream.output);
                c.last = true;
                return false;
            }
        };
        let now = self.clock.now();
        if matches!(c.role, Role::Control) {
            let (status, body) = match self.command(&request, now) {
                Ok(body) => (200, body),
                Err(fault) => (400, format!("{fault:#}\n")),
            };
            let c = &mut self.connections[id];
            http::put_response(status, "application/json", body.as_bytes(), &mut c.stream.output);
            return true;
        }
        if request.route() != "/engines" {
            http::put_response(404, "text/plain", b"GET /engines\n", &mut c.stream.output);
            return true;
        }
        if !self.registry.available(now) {
            http::put_response(503, "text/plain", b"unavailable\n", &mut c.stream.output);
            return true;
        }
        let since = request.value("since").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let wait = request.value("wait_ms").and_then(|v| v.parse::<i64>().ok()).unwrap_or(0).clamp(0, 60_000);
        let who = request.value("who").unwrap_or("").to_string();
        if since >= self.registry.version() && wait > 0 {
            c.role = Role::Registry { waits: Some((since, now + wait * 1000, who)) };
            return false;
        }
        self.tell_list(id, &who, now);
        true
    }

    fn tell_list(&mut self, id: usize, who: &str, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        c.role = Role::Registry { waits: None };
        http::put_response(200, "application/json", self.registry.list().as_bytes(), &mut c.stream.output);
        let not_up: Vec<Value> =
            self.registry.not_up().iter().map(|(id, s)| json!({"engine": id, "status": s})).collect();
        self.journal.write(&json!({"t": now, "event": "told", "who": who, "version": self.registry.version(), "not_up": not_up}));
    }

    /// The list has changed: all that wait for it are told.
    fn told(&mut self, now: i64) {
        let waiting: Vec<(usize, String)> = self.watchers(|since, _| since < self.registry.version());
        for (id, who) in waiting {
            if self.registry.available(now) {
                self.tell_list(id, &who, now);
                self.attend(id);
            }
        }
    }

    fn watchers(&self, which: impl Fn(u64, i64) -> bool) -> Vec<(usize, String)> {
        let waiting = self.connections.iter().filter_map(|(id, c)| match &c.role {
            Role::Registry { waits: Some((since, end, who)) } if which(*since, *end) => {
                Some((id, who.clone()))
            }
            _ => None,
        });
        waiting.collect()
    }

    fn end_watches(&mut self, now: i64) {
        for (id, who) in self.watchers(|_, end| end <= now) {
            if self.registry.available(now) {
                self.tell_list(id, &who, now);
            } else if let Some(c) = self.connections.get_mut(id) {
                c.role = Role::Registry { waits: None };
                http::put_response(503, "text/plain", b"unavailable\n", &mut c.stream.output);
            }
            self.attend(id);
        }
    }

    fn command(&mut self, request: &http::Request, now: i64) -> Result<String> {
        match (request.method.as_str(), request.route()) {
            ("GET", "/state") => {
                let engines: Vec<Value> = self
                    .engines
                    .iter()
                    .map(|e| json!({"id": e.name, "up": e.model.up(), "in_hand": e.model.in_hand(), "warmth": e.model.warmth(now), "sessions": e.connections.len()}))
                    .collect();
                Ok(json!({"t": now, "version": self.registry.version(), "engines": engines}).to_string())
            }
            ("POST", "/registry") => {
                if let Some(ms) = request.value("stale_ms") {
                    self.stale = ms.parse::<i64>().context("stale_ms is no number")?.clamp(0, 60_000) * 1000;
                    return Ok("{}".into());
                }
                let ms = request.value("unavailable_ms").context("expected unavailable_ms=N or stale_ms=N")?;
                let ms: i64 = ms.parse().context("unavailable_ms is no number")?;
                self.registry.unavailable(now + ms * 1000);
                self.journal.write(&json!({"t": now, "event": "registry_unavailable", "ms": ms}));
                Ok("{}".into())
            }
            ("POST", "/fault") => {
                let name = request.value("engine").context("expected engine=NAME")?;
                let engine = self.engines.iter().position(|e| e.name == name);
                let engine = engine.with_context(|| format!("no engine is named `{name}`"))?;
                let kind = request.value("kind").context("expected kind=KIND")?;
                let value = match request.value("value") {
                    Some(v) => v.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0).context("value is no number of 0 or more")?,
                    None => 1.0,
                };
                self.journal.write(&json!({"t": now, "engine": name, "event": "fault", "kind": kind, "value": value}));
                self.ail(engine, kind, value, now)?;
                Ok("{}".into())
            }
            _ => bail!("known: GET /state, POST /fault?engine=NAME&kind=KIND&value=X, POST /registry?unavailable_ms=N"),
        }
    }

    /// Makes an engine ail, or well again.
    fn ail(&mut self, engine: usize, kind: &str, value: f64, now: i64) -> Result<()> {
        let name = self.engines[engine].name.clone();
        let e = &mut self.engines[engine];
        match kind {
            "kill" => self.kill(engine, now),
            "start" => self.start(engine, now)?,
            "hang" => {
                e.faults.hangs = value > 0.0;
                e.model.advance(now, &mut self.happened);
                self.carry_out(engine, now);
                let e = &mut self.engines[engine];
                e.model.freeze(now, value > 0.0);
                // What came meanwhile is read now.
                let all: Vec<usize> = e.connections.iter().copied().collect();
                for id in all {
                    self.attend(id);
                }
            }
            "slow" => {
                e.model.advance(now, &mut self.happened);
                e.model.slow(now, value.max(0.01));
                self.carry_out(engine, now);
            }
            "errors" => e.faults.errors = value,
            "lose" => e.faults.loses = value,
            "half" => e.faults.halves = value,
            "full" => e.faults.full = value > 0.0,
            "flush" => e.model.flush(),
            "drain" => {
                // It goes on with what it has; only the list tells that nothing new is wanted.
                let standing = if value > 0.0 { Standing::Draining } else { Standing::Up };
                self.registry.change(now, &name, standing, None);
            }
            "shut" => e.faults.drains = value > 0.0,
            other => bail!("no fault is named `{other}`; known: kill, start, hang, slow, errors, lose, half, full, flush, drain, shut"),
        }
        Ok(())
    }
}
