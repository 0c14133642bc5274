//! Hosts several emulated engines in one process: their sockets, a registry that lists them, and
//! fault injection.

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

/// First token of accepted connections; lower tokens belong to listeners.
const FIRST_CONNECTION_TOKEN: usize = 1 << 20;
const CONTROL_TOKEN: Token = Token(FIRST_CONNECTION_TOKEN - 1);
const REGISTRY_TOKEN: Token = Token(FIRST_CONNECTION_TOKEN - 2);
/// Maximum number of connections in the process; further connections are closed when accepted.
const MAX_CONNECTIONS: usize = 18_000;
/// Maximum number of writes to one connection per turn, with at most about 64 kB of rows generated
/// for each. The limit keeps a large result from delaying other connections.
const MAX_WRITES_PER_TURN: usize = 16;
/// Maximum number of connections that one listener accepts per turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// Maximum size of a command on the control port.
const MAX_COMMAND_BYTES: usize = 64 << 10;

/// The server to which a connection belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Owner {
    Engine(usize),
    RegistryServer,
}

enum Role {
    Emulated(Owner, ConnId),
    Control { input: BytesMut, output: BytesMut },
}

struct Connection {
    socket: Socket,
    role: Role,
}

/// Writes journal entries as JSON lines.
struct Journal(Option<std::io::BufWriter<std::fs::File>>);

impl Journal {
    fn write(&mut self, entry: &JournalEntry) {
        if let Some(out) = &mut self.0 {
            // Write errors such as a full disk are ignored: journal lines are lost, but queries are
            // still served. Readers of the journal detect the gap.
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

/// State of the host process.
pub struct Host {
    clock: Clock,
    poll: Poll,
    engines: Vec<EmulatedEngine>,
    addresses: Vec<SocketAddr>,
    listeners: Vec<Option<TcpListener>>,
    control: TcpListener,
    registry_server: RegistryServer,
    registry_listener: TcpListener,
    connections: Slab<Connection>,
    by_owner: HashMap<(Owner, ConnId), usize>,
    closing: Vec<usize>,
    /// Connections that continue to be written in the next turn.
    write_queue: Vec<usize>,
    removal_delay: i64,
    listing_delay: i64,
    /// Additional delay, set by `stale_ms`, for both registry delays above.
    extra_registry_delay: i64,
    journal: Journal,
    actions: Vec<EngineAction>,
    scratch: Vec<u8>,
}

impl Host {
    /// Opens all sockets, on ports chosen by the operating system.
    ///
    /// # Errors
    /// Errors from opening the sockets or from creating the journal file.
    pub fn open(setup: Setup, log: Option<&std::path::Path>, seed: u64) -> Result<Host> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let any_port = SocketAddr::from((setup.ip, 0));
        let bind = |token: Token| -> Result<TcpListener> {
            let mut listener = listen(any_port, 4096)?;
            poll.registry().register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        let (control, registry_listener) = (bind(CONTROL_TOKEN)?, bind(REGISTRY_TOKEN)?);
        let (mut engines, mut addresses, mut listeners, mut registry_entries) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (i, engine) in setup.engines.into_iter().enumerate() {
            let listener = bind(Token(i))?;
            let address = listener.local_addr()?;
            registry_entries.push(RegistryEntry {
                id: engine.name.clone(),
                address: address.to_string(),
                zone: engine.zone.clone(),
                kind: engine.kind.clone(),
                cell: engine.cell,
                status: EngineStatus::Up,
                started_us: None,
            });
            engines.push(EmulatedEngine::new(engine, clock.now(), seed.wrapping_mul(1_000_003) ^ i as u64));
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
            engines,
            addresses,
            listeners,
            control,
            registry_server: RegistryServer::new(Registry::new(registry_entries.into_iter())),
            registry_listener,
            connections: Slab::new(),
            by_owner: HashMap::new(),
            closing: Vec::new(),
            write_queue: Vec::new(),
            removal_delay: setup.removal_delay,
            listing_delay: setup.listing_delay,
            extra_registry_delay: 0,
            journal: Journal(file.map(std::io::BufWriter::new)),
            actions: Vec::new(),
            scratch: vec![0; 64 << 10],
        })
    }

    /// Returns the listen addresses as JSON, which is printed for the parent process.
    pub fn addresses(&self) -> Value {
        let engine_values: Vec<Value> = self
            .engines
            .iter()
            .zip(&self.addresses)
            .map(|(e, at)| json!({"id": e.name, "address": at.to_string(), "zone": e.zone, "kind": e.kind, "cell": e.cell}))
            .collect();
        let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
        json!({"control": address(&self.control), "registry": address(&self.registry_listener), "engines": engine_values})
    }

    /// Serves until `stop` is set.
    ///
    /// # Errors
    /// Errors of the poll, and of listening again for a restarted engine. Errors on single
    /// connections only close them.
    pub fn serve(&mut self, stop: &Arc<AtomicBool>) -> Result<()> {
        let mut events = Events::with_capacity(4096);
        while !stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let engine_timers = self.engines.iter().filter_map(EmulatedEngine::next_timer_at);
            let next = engine_timers.chain(self.registry_server.next_timer_at()).min().unwrap_or(i64::MAX);
            // Continues at once if writes are queued; wakes up at least every 100 ms to check `stop`.
            let next = if self.write_queue.is_empty() { next } else { now };
            let wait = self.clock.until(next.min(now + 100_000));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                self.on_event(event)?;
            }
            for id in std::mem::take(&mut self.write_queue) {
                self.write(id);
            }
            let now = self.clock.now();
            for i in 0..self.engines.len() {
                self.engines[i].advance(now);
                self.perform_actions(Owner::Engine(i))?;
            }
            self.registry_server.advance(now);
            self.perform_actions(Owner::RegistryServer)?;
            for id in std::mem::take(&mut self.closing) {
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
            CONTROL_TOKEN => self.accept(None),
            REGISTRY_TOKEN => self.accept(Some(Owner::RegistryServer)),
            Token(t) if t < FIRST_CONNECTION_TOKEN => self.accept(Some(Owner::Engine(t))),
            Token(t) => {
                let id = t - FIRST_CONNECTION_TOKEN;
                let Some(c) = self.connections.get_mut(id) else { return Ok(()) };
                c.socket.handle_event(event);
                self.read(id)?;
                self.write(id);
                let owner = self.connections.get(id).map(|c| &c.role);
                if let Some(Role::Emulated(owner, _)) = owner {
                    let owner = *owner;
                    self.perform_actions(owner)?;
                }
                Ok(())
            }
        }
    }

    fn accept(&mut self, owner: Option<Owner>) -> Result<()> {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let accept_result = match owner {
                Some(Owner::Engine(i)) => match self.listeners.get(i).and_then(Option::as_ref) {
                    Some(listener) => listener.accept(),
                    None => return Ok(()),
                },
                Some(Owner::RegistryServer) => self.registry_listener.accept(),
                None => self.control.accept(),
            };
            let Ok((socket, _)) = accept_result else { return Ok(()) };
            if self.connections.len() < MAX_CONNECTIONS {
                self.register_connection(socket, owner)?;
            }
        }
        // More connections may be waiting. The poll is edge-triggered, so the listener is registered
        // again to be notified of them.
        let (listener, token) = match owner {
            Some(Owner::Engine(i)) => (self.listeners[i].as_mut(), Token(i)),
            Some(Owner::RegistryServer) => (Some(&mut self.registry_listener), REGISTRY_TOKEN),
            None => (Some(&mut self.control), CONTROL_TOKEN),
        };
        if let Some(listener) = listener {
            let _ = self.poll.registry().reregister(listener, token, Interest::READABLE);
        }
        Ok(())
    }

    fn register_connection(&mut self, socket: TcpStream, owner: Option<Owner>) -> Result<()> {
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let socket = Socket::from_accepted(socket, self.poll.registry(), Token(FIRST_CONNECTION_TOKEN + id));
        if !socket.is_registered() {
            return Ok(());
        }
        let conn = match owner {
            Some(Owner::Engine(i)) => Some(self.engines[i].accept()),
            Some(Owner::RegistryServer) => Some(self.registry_server.accept()),
            None => None,
        };
        let role = match owner.zip(conn) {
            Some((owner, conn)) => {
                self.by_owner.insert((owner, conn), id);
                Role::Emulated(owner, conn)
            }
            None => Role::Control { input: BytesMut::new(), output: BytesMut::new() },
        };
        entry.insert(Connection { socket, role });
        self.read(id)
    }

    /// Reads available data, up to the read capacity of the receiver.
    fn read(&mut self, id: usize) -> Result<()> {
        let now = self.clock.now();
        loop {
            let Some(c) = self.connections.get_mut(id) else { return Ok(()) };
            let capacity = match &c.role {
                Role::Emulated(Owner::Engine(i), conn) => self.engines[*i].read_capacity(*conn),
                _ => MAX_COMMAND_BYTES,
            };
            let capacity = capacity.min(self.scratch.len());
            let result = c.socket.read(&mut self.scratch[..capacity]);
            let peer_closed = result.is_err() || c.socket.is_read_finished() || c.socket.is_peer_closed();
            let n = result.unwrap_or(0);
            let bytes = &self.scratch[..n];
            match &mut c.role {
                Role::Emulated(Owner::Engine(i), conn) if n > 0 => {
                    self.engines[*i].receive(*conn, bytes, now)
                }
                Role::Emulated(Owner::RegistryServer, conn) if n > 0 => {
                    self.registry_server.receive(*conn, bytes, now)
                }
                Role::Control { input, .. } if n > 0 => {
                    input.extend_from_slice(bytes);
                    self.serve_control(id, now)?;
                }
                _ => {}
            }
            if n > 0 {
                continue;
            }
            let hung = matches!(&self.connections[id].role,
                Role::Emulated(Owner::Engine(i), _) if self.engines[*i].is_hung());
            if peer_closed && !hung {
                self.handle_peer_closed(id, now);
            }
            return Ok(());
        }
    }

    /// Handles the end or failure of the peer's side of a connection.
    fn handle_peer_closed(&mut self, id: usize, now: i64) {
        match &self.connections[id].role {
            Role::Emulated(Owner::Engine(i), conn) => self.engines[*i].peer_closed(*conn, now),
            Role::Emulated(Owner::RegistryServer, conn) => self.registry_server.peer_closed(*conn),
            Role::Control { .. } => self.closing.push(id),
        }
    }

    /// Writes pending output until the socket accepts no more.
    fn write(&mut self, id: usize) {
        let now = self.clock.now();
        for _ in 0..MAX_WRITES_PER_TURN {
            let Some(c) = self.connections.get_mut(id) else { return };
            let bytes = match &c.role {
                Role::Emulated(Owner::Engine(i), conn) => self.engines[*i].output(*conn),
                Role::Emulated(Owner::RegistryServer, conn) => self.registry_server.output(*conn),
                Role::Control { output, .. } => &output[..],
            };
            let sent = c.socket.write(bytes);
            match (&mut c.role, sent) {
                (_, Ok(0)) => return,
                (Role::Emulated(Owner::Engine(i), conn), Ok(n)) => {
                    self.engines[*i].bytes_written(*conn, n, now)
                }
                (Role::Emulated(Owner::RegistryServer, conn), Ok(n)) => {
                    self.registry_server.bytes_written(*conn, n)
                }
                (Role::Control { output, .. }, Ok(n)) => drop(output.split_to(n)),
                (_, Err(_)) => return self.handle_peer_closed(id, now),
            }
        }
        self.queue_write(id);
    }

    fn queue_write(&mut self, id: usize) {
        if !self.write_queue.contains(&id) {
            self.write_queue.push(id);
        }
    }

    /// Performs the actions requested by an engine or by the registry server.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn perform_actions(&mut self, owner: Owner) -> Result<()> {
        let mut written: Vec<usize> = Vec::new();
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            match owner {
                Owner::Engine(i) => self.engines[i].take_actions(&mut actions),
                Owner::RegistryServer => self.registry_server.take_actions(&mut actions),
            }
            if actions.is_empty() {
                self.actions = actions;
                break;
            }
            for action in actions.drain(..) {
                let connection_of = |host: &Host, conn: ConnId| host.by_owner.get(&(owner, conn)).copied();
                match (action, owner) {
                    (EngineAction::Write(conn), _) => match connection_of(self, conn) {
                        // Writing makes the engine generate more rows and request another write, so
                        // a second write in the same turn is queued for the next one; otherwise this
                        // loop might not end.
                        Some(id) if written.contains(&id) => self.queue_write(id),
                        Some(id) => {
                            written.push(id);
                            self.write(id);
                        }
                        None => {}
                    },
                    (EngineAction::Read(conn), _) => {
                        if let Some(id) = connection_of(self, conn) {
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
                        let at = self.clock.now() + self.removal_delay + self.extra_registry_delay;
                        self.registry_server.schedule_change(
                            at,
                            &self.engines[i].name,
                            EngineStatus::Removed,
                            None,
                        );
                    }
                    (EngineAction::ProcessStarted, Owner::Engine(i)) => {
                        let now = self.clock.now();
                        let mut listener = listen(self.addresses[i], 4096)?;
                        self.poll.registry().register(&mut listener, Token(i), Interest::READABLE)?;
                        self.listeners[i] = Some(listener);
                        let at = now + self.listing_delay + self.extra_registry_delay;
                        self.registry_server.schedule_change(
                            at,
                            &self.engines[i].name,
                            EngineStatus::Up,
                            Some(now),
                        );
                    }
                    (EngineAction::ProcessExited | EngineAction::ProcessStarted, Owner::RegistryServer) => {}
                }
            }
            self.actions = actions;
        }
        match owner {
            Owner::Engine(i) => self.engines[i].drain_journal().for_each(|e| self.journal.write(&e)),
            Owner::RegistryServer => {
                self.registry_server.drain_journal().for_each(|e| self.journal.write(&e))
            }
        }
        Ok(())
    }

    // --- Control port ---

    fn serve_control(&mut self, id: usize, now: i64) -> Result<()> {
        loop {
            let Some(Connection { role: Role::Control { input, .. }, .. }) = self.connections.get_mut(id)
            else {
                return Ok(());
            };
            let (status, content_type, body) = match http::take_request(input, MAX_COMMAND_BYTES) {
                Ok(Some(request)) => match self.command(&request, now) {
                    Ok(body) => (200, "application/json", body),
                    Err(error) => (400, "application/json", format!("{error:#}\n")),
                },
                Ok(None) => break,
                Err(error) => {
                    input.clear();
                    self.closing.push(id);
                    (400, "text/plain", error.to_string())
                }
            };
            if let Some(Connection { role: Role::Control { output, .. }, .. }) = self.connections.get_mut(id)
            {
                http::write_response(status, content_type, body.as_bytes(), output);
            }
        }
        self.write(id);
        Ok(())
    }

    fn command(&mut self, request: &http::Request, now: i64) -> Result<String> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/state") => {
                let engine_values: Vec<Value> = self
                    .engines
                    .iter()
                    .map(|e| json!({"id": e.name, "up": e.model.is_up(), "in_hand": e.model.in_flight_count(), "warmth": e.model.warmth(now), "sessions": e.sessions()}))
                    .collect();
                Ok(json!({"t": now, "version": self.registry_server.registry.version(), "engines": engine_values}).to_string())
            }
            ("POST", "/registry") => {
                if let Some(ms) = request.query_param("stale_ms") {
                    self.extra_registry_delay = ms.parse::<i64>().context("stale_ms is no number")?.clamp(0, 60_000) * 1000;
                    return Ok("{}".into());
                }
                let ms = request.query_param("unavailable_ms").context("expected unavailable_ms=N or stale_ms=N")?;
                let ms: i64 = ms.parse().context("unavailable_ms is no number")?;
                self.registry_server.registry.set_unavailable_until(now + ms * 1000);
                let event = "registry_unavailable";
                self.journal.write(&JournalEntry { t: now, event, value: Some(ms as f64), ..JournalEntry::default() });
                Ok("{}".into())
            }
            ("POST", "/fault") => {
                let name = request.query_param("engine").context("expected engine=NAME")?;
                let engine = self.engines.iter().position(|e| e.name == name);
                let engine = engine.with_context(|| format!("no engine is named `{name}`"))?;
                let kind = request.query_param("kind").context("expected kind=KIND")?;
                let value = match request.query_param("value") {
                    Some(v) => v.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0).context("value is no number of 0 or more")?,
                    None => 1.0,
                };
                if !self.engines[engine].inject_fault(kind, value, now) {
                    bail!("no fault is named `{kind}`; known: kill, start, hang, slow, errors, lose, half, full, flush, drain, shut");
                }
                if kind == "drain" {
                    let status = if value > 0.0 { EngineStatus::Draining } else { EngineStatus::Up };
                    self.registry_server.schedule_change(now, name, status, None);
                }
                self.perform_actions(Owner::Engine(engine))?;
                Ok("{}".into())
            }
            _ => bail!("known: GET /state, POST /fault?engine=NAME&kind=KIND&value=X, POST /registry?unavailable_ms=N"),
        }
    }
}
