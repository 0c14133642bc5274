//! Many stand-ins in one process: their sockets, a registry that lists them, and faults on command.

use crate::engine::{EmulatedEngine, EngineAction, JournalEntry};
use crate::registry::{EngineStatus, Registry, RegistryEntry};
use crate::registry_server::RegistryServer;
use crate::setup::Setup;
use anyhow::{bail, Context, Result};
use bytes::BytesMut;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use serde_json::{json, Value};
use slab::Slab;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wheelfield_net::{http, listen, Clock, Socket};
use wheelfield_sans_io::ConnId;

/// Tokens of connections come behind those of the listeners.
const CONNECTIONS: usize = 1 << 20;
const CONTROL: Token = Token(CONNECTIONS - 1);
const REGISTRY: Token = Token(CONNECTIONS - 2);
/// Connections of all engines together; more are closed as they come.
const MOST_CONNECTIONS: usize = 18_000;
/// Written on one connection in a turn, in parts of 64 kB: rows are made as they go, and others must get on meanwhile.
const WRITES: usize = 16;
/// Accepted in one turn by one listener.
const ACCEPTS: usize = 256;
/// Bytes of a command.
const LONGEST_COMMAND: usize = 64 << 10;

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Owner {
    Engine(usize),
    RegistryServer,
}

enum Role {
    Of(Owner, ConnId),
    Control { input: BytesMut, output: BytesMut },
}

struct Connection {
    socket: Socket,
    role: Role,
}

/// Writes what happens as JSON lines.
struct Journal(Option<std::io::BufWriter<std::fs::File>>);

impl Journal {
    fn write(&mut self, entry: &JournalEntry) {
        if let Some(out) = &mut self.0 {
            // A full disk loses lines, not queries; the reader of the log finds the gap.
            let _ = serde_json::to_writer(&mut *out, entry);
            let _ = out.write_all(b"\n");
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
    stands: Vec<EmulatedEngine>,
    addresses: Vec<SocketAddr>,
    listeners: Vec<Option<TcpListener>>,
    control: TcpListener,
    desk: RegistryServer,
    desk_listener: TcpListener,
    connections: Slab<Connection>,
    by_owner: HashMap<(Owner, ConnId), usize>,
    gone: Vec<usize>,
    /// More is to be written on these in the next turn.
    later: Vec<usize>,
    removal_delay: i64,
    listing_delay: i64,
    /// Added to both for a while.
    stale: i64,
    journal: Journal,
    doing: Vec<EngineAction>,
    scratch: Vec<u8>,
}

impl Host {
    /// Opens all sockets, on ports that the system chooses.
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
        let (control, desk_listener) = (bind(CONTROL)?, bind(REGISTRY)?);
        let (mut stands, mut addresses, mut listeners, mut lines) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (i, hosted) in setup.engines.into_iter().enumerate() {
            let listener = bind(Token(i))?;
            let address = listener.local_addr()?;
            lines.push(RegistryEntry {
                id: hosted.name.clone(),
                address: address.to_string(),
                zone: hosted.zone.clone(),
                kind: hosted.kind.clone(),
                cell: hosted.cell,
                status: EngineStatus::Up,
                started_us: None,
            });
            stands.push(EmulatedEngine::new(hosted, clock.now(), seed.wrapping_mul(1_000_003) ^ i as u64));
            addresses.push(address);
            listeners.push(Some(listener));
        }
        let file = match log {
            Some(path) => Some(
                std::fs::File::create(path).with_context(|| format!("cannot write {}", path.display()))?,
            ),
            None => None,
        };
        Ok(Host {
            clock,
            poll,
            stands,
            addresses,
            listeners,
            control,
            desk: RegistryServer::new(Registry::new(lines.into_iter())),
            desk_listener,
            connections: Slab::new(),
            by_owner: HashMap::new(),
            gone: Vec::new(),
            later: Vec::new(),
            removal_delay: setup.removal_delay,
            listing_delay: setup.listing_delay,
            stale: 0,
            journal: Journal(file.map(std::io::BufWriter::new)),
            doing: Vec::new(),
            scratch: vec![0; 64 << 10],
        })
    }

    /// Where everything listens, for whoever started the process.
    pub fn addresses(&self) -> Value {
        let engines: Vec<Value> = self
            .stands
            .iter()
            .zip(&self.addresses)
            .map(|(e, at)| json!({"id": e.name, "address": at.to_string(), "zone": e.zone, "kind": e.kind, "cell": e.cell}))
            .collect();
        let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
        json!({"control": address(&self.control), "registry": address(&self.desk_listener), "engines": engines})
    }

    /// Serves until `stop` is set.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn serve(&mut self, stop: &Arc<AtomicBool>) -> Result<()> {
        let mut events = Events::with_capacity(4096);
        while !stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let models = self.stands.iter().filter_map(EmulatedEngine::next_timer_at);
            let next = models.chain(self.desk.next_timer_at()).min().unwrap_or(i64::MAX);
            // Woken now and then to look at `stop`.
            let next = if self.later.is_empty() { next } else { now };
            let wait = self.clock.until(next.min(now + 100_000));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                self.on_event(event)?;
            }
            for id in std::mem::take(&mut self.later) {
                self.write(id);
            }
            let now = self.clock.now();
            for i in 0..self.stands.len() {
                self.stands[i].advance(now);
                self.carry_out(Owner::Engine(i))?;
            }
            self.desk.advance(now);
            self.carry_out(Owner::RegistryServer)?;
            for id in std::mem::take(&mut self.gone) {
                if let Some(c) = self.connections.try_remove(id) {
                    c.socket.close(self.poll.registry());
                }
            }
            self.journal.flush();
        }
        Ok(())
    }

    fn on_event(&mut self, event: &mio::event::Event) -> Result<()> {
        match event.token() {
            CONTROL => self.accept(None),
            REGISTRY => self.accept(Some(Owner::RegistryServer)),
            Token(t) if t < CONNECTIONS => self.accept(Some(Owner::Engine(t))),
            Token(t) => {
                let id = t - CONNECTIONS;
                let Some(c) = self.connections.get_mut(id) else { return Ok(()) };
                c.socket.handle_event(event);
                self.read(id)?;
                self.write(id);
                let owner = self.connections.get(id).map(|c| &c.role);
                if let Some(Role::Of(owner, _)) = owner {
                    let owner = *owner;
                    self.carry_out(owner)?;
                }
                Ok(())
            }
        }
    }

    fn accept(&mut self, owner: Option<Owner>) -> Result<()> {
        for _ in 0..ACCEPTS {
            let accepted = match owner {
                Some(Owner::Engine(i)) => match self.listeners.get(i).and_then(Option::as_ref) {
                    Some(listener) => listener.accept(),
                    None => return Ok(()),
                },
                Some(Owner::RegistryServer) => self.desk_listener.accept(),
                None => self.control.accept(),
            };
            let Ok((socket, _)) = accepted else { return Ok(()) };
            if self.connections.len() < MOST_CONNECTIONS {
                self.accepted(socket, owner)?;
            }
        }
        // More wait: the listener will not tell of them again.
        let (listener, token) = match owner {
            Some(Owner::Engine(i)) => (self.listeners[i].as_mut(), Token(i)),
            Some(Owner::RegistryServer) => (Some(&mut self.desk_listener), REGISTRY),
            None => (Some(&mut self.control), CONTROL),
        };
        if let Some(listener) = listener {
            let _ = self.poll.registry().reregister(listener, token, Interest::READABLE);
        }
        Ok(())
    }

    fn accepted(&mut self, socket: TcpStream, owner: Option<Owner>) -> Result<()> {
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let socket = Socket::from_accepted(socket, self.poll.registry(), Token(CONNECTIONS + id));
        if !socket.is_registered() {
            return Ok(());
        }
        let conn = match owner {
            Some(Owner::Engine(i)) => Some(self.stands[i].accept()),
            Some(Owner::RegistryServer) => Some(self.desk.accept()),
            None => None,
        };
        let role = match owner.zip(conn) {
            Some((owner, conn)) => {
                self.by_owner.insert((owner, conn), id);
                Role::Of(owner, conn)
            }
            None => Role::Control { input: BytesMut::new(), output: BytesMut::new() },
        };
        entry.insert(Connection { socket, role });
        self.read(id)
    }

    /// Reads what there is, as far as there is room.
    fn read(&mut self, id: usize) -> Result<()> {
        let now = self.clock.now();
        loop {
            let Some(c) = self.connections.get_mut(id) else { return Ok(()) };
            let room = match &c.role {
                Role::Of(Owner::Engine(i), conn) => self.stands[*i].read_capacity(*conn),
                _ => LONGEST_COMMAND,
            };
            let room = room.min(self.scratch.len());
            let got = c.socket.read(&mut self.scratch[..room]);
            let over = got.is_err() || c.socket.is_read_finished() || c.socket.is_peer_closed();
            let n = got.unwrap_or(0);
            let bytes = &self.scratch[..n];
            match &mut c.role {
                Role::Of(Owner::Engine(i), conn) if n > 0 => self.stands[*i].receive(*conn, bytes, now),
                Role::Of(Owner::RegistryServer, conn) if n > 0 => self.desk.receive(*conn, bytes, now),
                Role::Control { input, .. } if n > 0 => {
                    input.extend_from_slice(bytes);
                    self.serve_control(id, now)?;
                }
                _ => {}
            }
            if n > 0 {
                continue;
            }
            let hangs = matches!(&self.connections[id].role,
                Role::Of(Owner::Engine(i), _) if self.stands[*i].is_hung());
            if over && !hangs {
                self.over(id, now);
            }
            return Ok(());
        }
    }

    /// The other side of a connection has gone.
    fn over(&mut self, id: usize, now: i64) {
        match &self.connections[id].role {
            Role::Of(Owner::Engine(i), conn) => self.stands[*i].peer_closed(*conn, now),
            Role::Of(Owner::RegistryServer, conn) => self.desk.peer_closed(*conn),
            Role::Control { .. } => self.gone.push(id),
        }
    }

    /// Writes what is to go, as far as the other side takes it.
    fn write(&mut self, id: usize) {
        let now = self.clock.now();
        for _ in 0..WRITES {
            let Some(c) = self.connections.get_mut(id) else { return };
            let bytes = match &c.role {
                Role::Of(Owner::Engine(i), conn) => self.stands[*i].output(*conn),
                Role::Of(Owner::RegistryServer, conn) => self.desk.output(*conn),
                Role::Control { output, .. } => &output[..],
            };
            let sent = c.socket.write(bytes);
            match (&mut c.role, sent) {
                (_, Ok(0)) => return,
                (Role::Of(Owner::Engine(i), conn), Ok(n)) => self.stands[*i].bytes_written(*conn, n, now),
                (Role::Of(Owner::RegistryServer, conn), Ok(n)) => self.desk.bytes_written(*conn, n),
                (Role::Control { output, .. }, Ok(n)) => drop(output.split_to(n)),
                (_, Err(_)) => return self.over(id, now),
            }
        }
        self.write_later(id);
    }

    fn write_later(&mut self, id: usize) {
        if !self.later.contains(&id) {
            self.later.push(id);
        }
    }

    /// Does what an engine or the desk wants done.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn carry_out(&mut self, owner: Owner) -> Result<()> {
        let mut written: Vec<usize> = Vec::new();
        loop {
            let mut doing = std::mem::take(&mut self.doing);
            match owner {
                Owner::Engine(i) => self.stands[i].take_actions(&mut doing),
                Owner::RegistryServer => self.desk.take_actions(&mut doing),
            }
            if doing.is_empty() {
                self.doing = doing;
                break;
            }
            for what in doing.drain(..) {
                let place = |host: &Host, conn: ConnId| host.by_owner.get(&(owner, conn)).copied();
                match (what, owner) {
                    (EngineAction::Write(conn), _) => match place(self, conn) {
                        // What makes rows as it is written would go on for ever.
                        Some(id) if written.contains(&id) => self.write_later(id),
                        Some(id) => {
                            written.push(id);
                            self.write(id);
                        }
                        None => {}
                    },
                    (EngineAction::Read(conn), _) => {
                        if let Some(id) = place(self, conn) {
                            self.read(id)?;
                        }
                    }
                    (EngineAction::Close(conn, reset), _) => {
                        let id = self.by_owner.remove(&(owner, conn));
                        if let Some(c) = id.and_then(|id| self.connections.try_remove(id)) {
                            match reset {
                                true => c.socket.reset(self.poll.registry()),
                                false => c.socket.close(self.poll.registry()),
                            }
                        }
                    }
                    (EngineAction::ProcessExited, Owner::Engine(i)) => {
                        if let Some(mut listener) = self.listeners[i].take() {
                            let _ = self.poll.registry().deregister(&mut listener);
                        }
                        let at = self.clock.now() + self.removal_delay + self.stale;
                        self.desk.schedule_change(at, &self.stands[i].name, EngineStatus::Removed, None);
                    }
                    (EngineAction::ProcessStarted, Owner::Engine(i)) => {
                        let now = self.clock.now();
                        let mut listener = listen(self.addresses[i], 4096)?;
                        self.poll.registry().register(&mut listener, Token(i), Interest::READABLE)?;
                        self.listeners[i] = Some(listener);
                        let at = now + self.listing_delay + self.stale;
                        self.desk.schedule_change(at, &self.stands[i].name, EngineStatus::Up, Some(now));
                    }
                    (EngineAction::ProcessExited | EngineAction::ProcessStarted, Owner::RegistryServer) => {}
                }
            }
            self.doing = doing;
        }
        match owner {
            Owner::Engine(i) => self.stands[i].drain_journal().for_each(|e| self.journal.write(&e)),
            Owner::RegistryServer => self.desk.drain_journal().for_each(|e| self.journal.write(&e)),
        }
        Ok(())
    }

    // --- the control port ---

    fn serve_control(&mut self, id: usize, now: i64) -> Result<()> {
        loop {
            let Some(Connection { role: Role::Control { input, .. }, .. }) = self.connections.get_mut(id)
            else {
                return Ok(());
            };
            let (status, kind, body) = match http::take_request(input, LONGEST_COMMAND) {
                Ok(Some(request)) => match self.command(&request, now) {
                    Ok(body) => (200, "application/json", body),
                    Err(fault) => (400, "application/json", format!("{fault:#}\n")),
                },
                Ok(None) => break,
                Err(fault) => {
                    input.clear();
                    self.gone.push(id);
                    (400, "text/plain", fault.to_string())
                }
            };
            if let Some(Connection { role: Role::Control { output, .. }, .. }) = self.connections.get_mut(id)
            {
                http::write_response(status, kind, body.as_bytes(), output);
            }
        }
        self.write(id);
        Ok(())
    }

    fn command(&mut self, request: &http::Request, now: i64) -> Result<String> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/state") => {
                let engines: Vec<Value> = self
                    .stands
                    .iter()
                    .map(|e| json!({"id": e.name, "up": e.model.is_up(), "in_hand": e.model.in_hand(), "warmth": e.model.warmth(now), "sessions": e.sessions()}))
                    .collect();
                Ok(json!({"t": now, "version": self.desk.registry.version(), "engines": engines}).to_string())
            }
            ("POST", "/registry") => {
                if let Some(ms) = request.query_param("stale_ms") {
                    self.stale = ms.parse::<i64>().context("stale_ms is no number")?.clamp(0, 60_000) * 1000;
                    return Ok("{}".into());
                }
                let ms = request.query_param("unavailable_ms").context("expected unavailable_ms=N or stale_ms=N")?;
                let ms: i64 = ms.parse().context("unavailable_ms is no number")?;
                self.desk.registry.set_unavailable_until(now + ms * 1000);
                let event = "registry_unavailable";
                self.journal.write(&JournalEntry { t: now, event, value: Some(ms as f64), ..JournalEntry::default() });
                Ok("{}".into())
            }
            ("POST", "/fault") => {
                let name = request.query_param("engine").context("expected engine=NAME")?;
                let engine = self.stands.iter().position(|e| e.name == name);
                let engine = engine.with_context(|| format!("no engine is named `{name}`"))?;
                let kind = request.query_param("kind").context("expected kind=KIND")?;
                let value = match request.query_param("value") {
                    Some(v) => v.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0).context("value is no number of 0 or more")?,
                    None => 1.0,
                };
                if !self.stands[engine].inject_fault(kind, value, now) {
                    bail!("no fault is named `{kind}`; known: kill, start, hang, slow, errors, lose, half, full, flush, drain, shut");
                }
                if kind == "drain" {
                    let standing = if value > 0.0 { EngineStatus::Draining } else { EngineStatus::Up };
                    self.desk.schedule_change(now, name, standing, None);
                }
                self.carry_out(Owner::Engine(engine))?;
                Ok("{}".into())
            }
            _ => bail!("known: GET /state, POST /fault?engine=NAME&kind=KIND&value=X, POST /registry?unavailable_ms=N"),
        }
    }
}
