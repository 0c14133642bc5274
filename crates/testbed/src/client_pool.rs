//! The sockets of the clients of a run, and the attempts of their queries.

use crate::client_model::{ClientAction, ClientModel};
use crate::cluster::ControllerChange;
use crate::plan::{Arrival, Plan};
use anyhow::Result;
use mio::{Events, Poll, Token};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use wheelfield_invariants::ClientOutcome;
use wheelfield_net::{Clock, Socket};
use wheelfield_sans_io::ConnId;

/// One attempt of a query.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// Its ID, which the controller and the engines log too.
    pub id: String,
    /// Index of its arrival in the plan.
    pub arrival: usize,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// The controller that it was sent to.
    pub controller: usize,
    /// When it was sent, in microseconds of the wall clock.
    pub sent: i64,
    /// When its client stops waiting.
    pub due: i64,
    /// When it ended.
    pub ended: i64,
    /// How it ended.
    pub end: Option<ClientOutcome>,
    /// The SQLSTATE of an error.
    pub state: String,
    /// Number of rows received.
    pub rows: u64,
    /// Number of final answers received: completions of a statement, and errors.
    pub answers: u32,
    /// Type of a message received on the connection after the answer was complete.
    pub after: Option<char>,
    /// What is wrong with its answer, if that belongs to another query or is incomplete.
    pub wrong: Option<&'static str>,
    /// When the controller suggests a retry, in milliseconds.
    pub advice_ms: Option<u64>,
    /// By how much this process sent it late, in microseconds.
    pub late_us: i64,
}

impl Attempt {
    /// An attempt that was just sent.
    pub fn new(arrival: usize, number: u32, controller: usize, sent: i64, due: i64) -> Attempt {
        Attempt {
            id: format!("q{arrival}-{number}"),
            arrival,
            number,
            controller,
            sent,
            due,
            ended: 0,
            end: None,
            state: String::new(),
            rows: 0,
            answers: 0,
            after: None,
            wrong: None,
            advice_ms: None,
            late_us: 0,
        }
    }

    /// Records what is wrong with its answer, unless something was wrong before.
    pub fn is_wrong(&mut self, wrong: bool, what: &'static str) {
        if wrong {
            self.wrong.get_or_insert(what);
        }
    }
}

/// Counters of the clients, for the progress display.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClientCounts {
    /// Attempts sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Ended otherwise.
    pub other: u64,
}

/// The settings of the clients.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The classes of queries, as the hints name them.
    pub classes: Vec<crate::day::Class>,
    /// User names of the tenants.
    pub tenants: Vec<String>,
    /// How clients retry and choose controllers.
    pub habits: crate::day::Habits,
    /// Maximum number of connections.
    pub connections: usize,
    /// Seed of the clients' random number generator.
    pub seed: u64,
}

/// The text of a query with its hints.
pub fn query_text(arrival: &Arrival, class: &crate::day::Class, id: &str, due_ms: i64) -> String {
    let mut out = String::new();
    let verb = if class.load { "insert into facts select * from staged" } else { "select * from facts" };
    let _ = write!(
        out,
        "{verb} /*class='{}',id='{id}',due_ms='{due_ms}',tables='{}'",
        class.name, arrival.table_group
    );
    if let Some(estimate) = arrival.estimate {
        let _ = write!(out, ",work_ms='{:.1}'", estimate * 1e3);
    }
    if arrival.memory_mb > 0.0 {
        let _ = write!(out, ",memory_mb='{:.0}'", arrival.memory_mb);
    }
    if let Some(key) = arrival.key {
        let _ = write!(out, ",key='k{key}'");
    }
    let _ = write!(out, ",run_ms='{:.2}',threads='{}',io='{}'", arrival.work * 1e3, class.threads, class.io);
    let _ = write!(out, ",usual_ms='{:.1}'", class.work.0 .0 as f64 / 1e3);
    if class.bad_plans > 0.0 {
        let _ = write!(out, ",bad='{}'", class.bad_plans);
    }
    if class.load {
        out.push_str(",load='1'");
    } else {
        let _ = write!(out, ",rows='{}'", class.rows);
    }
    if class.waits_for_loads {
        out.push_str(",waits='1'");
    }
    out.push_str("*/");
    out
}

/// The clients with their sockets.
pub struct ClientPool<'a> {
    clock: Clock,
    poll: Poll,
    clients: ClientModel<'a>,
    start: i64,
    addresses: Vec<Option<SocketAddr>>,
    changes: Receiver<ControllerChange>,
    sockets: HashMap<ConnId, Socket>,
    scratch: Vec<u8>,
    actions: Vec<ClientAction>,
}

impl<'a> ClientPool<'a> {
    /// Clients that begin at `start`, in microseconds of the wall clock.
    ///
    /// # Errors
    /// If no poll instance can be created.
    pub fn new(
        plan: &'a Plan,
        settings: ClientSettings,
        controllers: usize,
        changes: Receiver<ControllerChange>,
        clock: Clock,
        start: i64,
    ) -> Result<ClientPool<'a>> {
        Ok(ClientPool {
            clock,
            poll: Poll::new()?,
            clients: ClientModel::new(plan, settings, controllers, start),
            start,
            addresses: vec![None; controllers],
            changes,
            sockets: HashMap::new(),
            scratch: vec![0; 64 << 10],
            actions: Vec::new(),
        })
    }

    /// Runs until all queries have ended, or until `end`, and returns all attempts. `watch` gets the counters once a
    /// second.
    ///
    /// # Errors
    /// If polling fails.
    pub fn run(mut self, end: i64, mut watch: impl FnMut(i64, ClientCounts)) -> Result<Vec<Attempt>> {
        let mut events = Events::with_capacity(4096);
        let mut next_watch = self.start + 1_000_000;
        loop {
            let now = self.clock.now();
            while let Ok(change) = self.changes.try_recv() {
                match change {
                    ControllerChange::Started(i, address) => {
                        self.clients.controller_up(i);
                        self.addresses[i] = Some(address);
                    }
                    ControllerChange::Ended(i) => self.clients.controller_down(i, now),
                }
            }
            self.clients.handle_timers(now);
            self.perform_actions(now);
            if now >= next_watch {
                watch(now - self.start, self.clients.counts);
                next_watch += 1_000_000;
            }
            if self.clients.is_done() || now >= end {
                return Ok(self.clients.into_attempts());
            }
            let next = self.clients.next_timer_at().unwrap_or(now + 50_000).min(next_watch).min(now + 50_000);
            match self.poll.poll(&mut events, Some(self.clock.until(next).max(Duration::from_micros(1)))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                self.on_event(event);
            }
        }
    }

    fn on_event(&mut self, event: &mio::event::Event) {
        let now = self.clock.now();
        let id = ConnId::from_u64(event.token().0 as u64);
        let Some(socket) = self.sockets.get_mut(&id) else { return };
        let connecting = matches!(socket.check_connected(), Ok(false));
        socket.handle_event(event);
        match socket.check_connected() {
            Ok(true) if connecting => self.clients.connected(id),
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => self.clients.handle_broken(id, now),
        }
        if socket.is_peer_closed() {
            self.clients.peer_closing(id);
        }
        self.write(id, now);
        self.read(id, now);
        self.perform_actions(now);
    }

    fn read(&mut self, id: ConnId, now: i64) {
        while let Some(socket) = self.sockets.get_mut(&id) {
            match socket.read(&mut self.scratch) {
                Ok(0) if socket.is_read_finished() => return self.clients.handle_broken(id, now),
                Ok(0) => return,
                Ok(n) => self.clients.receive(id, &self.scratch[..n], now),
                Err(_) => return self.clients.handle_broken(id, now),
            }
        }
    }

    fn write(&mut self, id: ConnId, now: i64) {
        while let Some(socket) = self.sockets.get_mut(&id) {
            if !matches!(socket.check_connected(), Ok(true)) {
                return;
            }
            match socket.write(self.clients.output(id)) {
                Ok(0) => return,
                Ok(n) => self.clients.bytes_written(id, n),
                Err(_) => return self.clients.handle_broken(id, now),
            }
        }
    }

    fn perform_actions(&mut self, now: i64) {
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            self.clients.take_actions(&mut actions);
            if actions.is_empty() {
                self.actions = actions;
                return;
            }
            for action in actions.drain(..) {
                match action {
                    ClientAction::Connect(id, controller) => {
                        let token = Token(id.as_u64() as usize);
                        let registry = self.poll.registry();
                        let socket = self.addresses[controller]
                            .and_then(|address| Socket::connect(address, registry, token).ok());
                        match socket {
                            Some(socket) => drop(self.sockets.insert(id, socket)),
                            None => self.clients.handle_broken(id, now),
                        }
                    }
                    ClientAction::Write(id) => self.write(id, now),
                    ClientAction::Close(id) => {
                        if let Some(socket) = self.sockets.remove(&id) {
                            socket.close(self.poll.registry());
                        }
                    }
                    ClientAction::Cancel(controller, bytes) => {
                        let Some(at) = self.addresses[controller] else { continue };
                        let patience = Duration::from_millis(200);
                        if let Ok(mut stream) = std::net::TcpStream::connect_timeout(&at, patience) {
                            let _ = std::io::Write::write_all(&mut stream, &bytes);
                        }
                    }
                }
            }
            self.actions = actions;
        }
    }
}
