//! The clients of a day on their sockets, and what is known of each of their tries.

use crate::people::{People, Wish};
use crate::plan::{Arrival, Plan};
use crate::stage::Change;
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

/// One try of a query.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Its name, which the controller and the engines see too.
    pub id: String,
    /// Which arrival it is of.
    pub arrival: usize,
    /// Which try, from 0.
    pub number: u32,
    /// The controller it went to.
    pub controller: usize,
    /// When it was sent, in microseconds of the wall clock.
    pub sent: i64,
    /// When its client gives up.
    pub due: i64,
    /// When it ended.
    pub ended: i64,
    /// How.
    pub end: Option<ClientOutcome>,
    /// The SQLSTATE of an error.
    pub state: String,
    /// Rows that came.
    pub rows: u64,
    /// Final answers that came: ends of a statement, and errors.
    pub answers: u32,
    /// What came on the connection after the answer was whole, by its type.
    pub after: Option<char>,
    /// What is wrong with its answer, if it is another query's or not whole.
    pub wrong: Option<&'static str>,
    /// Advice on when to come back, in milliseconds.
    pub advice_ms: Option<u64>,
    /// So late it was sent, as this process had other things to do, in microseconds.
    pub late_us: i64,
}

impl Try {
    /// A try that was just sent.
    pub fn new(arrival: usize, number: u32, controller: usize, sent: i64, due: i64) -> Try {
        Try {
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

    /// Notes the first thing that is wrong with its answer.
    pub fn is_wrong(&mut self, wrong: bool, what: &'static str) {
        if wrong {
            self.wrong.get_or_insert(what);
        }
    }
}

/// What the crowd counts as it goes, for a line on the screen.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    /// Tries sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Ended otherwise.
    pub other: u64,
}

/// How the crowd is set up.
#[derive(Clone, Debug)]
pub struct Manners {
    /// The day's classes, as the hints name them.
    pub classes: Vec<crate::day::Class>,
    /// Logins of the customers.
    pub tenants: Vec<String>,
    /// What clients do.
    pub habits: crate::day::Habits,
    /// Connections at most.
    pub connections: usize,
    /// Seed of the crowd's own chance.
    pub seed: u64,
}

/// The text of a query with all that it tells of itself.
pub fn text(arrival: &Arrival, class: &crate::day::Class, id: &str, due_ms: i64) -> String {
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

/// The clients on their sockets.
pub struct Crowd<'a> {
    clock: Clock,
    poll: Poll,
    people: People<'a>,
    start: i64,
    addresses: Vec<Option<SocketAddr>>,
    changes: Receiver<Change>,
    sockets: HashMap<ConnId, Socket>,
    scratch: Vec<u8>,
    wishes: Vec<Wish>,
}

impl<'a> Crowd<'a> {
    /// A crowd that begins at `start`, in microseconds of the wall clock.
    ///
    /// # Errors
    /// As the system tells.
    pub fn new(
        plan: &'a Plan,
        manners: Manners,
        controllers: usize,
        changes: Receiver<Change>,
        clock: Clock,
        start: i64,
    ) -> Result<Crowd<'a>> {
        Ok(Crowd {
            clock,
            poll: Poll::new()?,
            people: People::new(plan, manners, controllers, start),
            start,
            addresses: vec![None; controllers],
            changes,
            sockets: HashMap::new(),
            scratch: vec![0; 64 << 10],
            wishes: Vec::new(),
        })
    }

    /// Plays until all has been sent and has ended, or until `end`, and gives all tries. `watch` sees the tally once
    /// a second.
    ///
    /// # Errors
    /// As the system tells of the poll itself.
    pub fn play(mut self, end: i64, mut watch: impl FnMut(i64, Tally)) -> Result<Vec<Try>> {
        let mut events = Events::with_capacity(4096);
        let mut next_watch = self.start + 1_000_000;
        loop {
            let now = self.clock.now();
            while let Ok(change) = self.changes.try_recv() {
                match change {
                    Change::Up(i, address) => {
                        self.people.up(i);
                        self.addresses[i] = Some(address);
                    }
                    Change::Down(i) => self.people.down(i, now),
                }
            }
            self.people.pass(now);
            self.carry_out(now);
            if now >= next_watch {
                watch(now - self.start, self.people.tally);
                next_watch += 1_000_000;
            }
            if self.people.done() || now >= end {
                return Ok(self.people.into_tries());
            }
            let next = self.people.next().unwrap_or(now + 50_000).min(next_watch).min(now + 50_000);
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
            Ok(true) if connecting => self.people.connected(id),
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => self.people.broke(id, now),
        }
        if socket.is_peer_closed() {
            self.people.closing(id);
        }
        self.write(id, now);
        self.read(id, now);
        self.carry_out(now);
    }

    fn read(&mut self, id: ConnId, now: i64) {
        while let Some(socket) = self.sockets.get_mut(&id) {
            match socket.read(&mut self.scratch) {
                Ok(0) if socket.is_read_finished() => return self.people.broke(id, now),
                Ok(0) => return,
                Ok(n) => self.people.receive(id, &self.scratch[..n], now),
                Err(_) => return self.people.broke(id, now),
            }
        }
    }

    fn write(&mut self, id: ConnId, now: i64) {
        while let Some(socket) = self.sockets.get_mut(&id) {
            if !matches!(socket.check_connected(), Ok(true)) {
                return;
            }
            match socket.write(self.people.output(id)) {
                Ok(0) => return,
                Ok(n) => self.people.wrote(id, n),
                Err(_) => return self.people.broke(id, now),
            }
        }
    }

    fn carry_out(&mut self, now: i64) {
        loop {
            let mut wishes = std::mem::take(&mut self.wishes);
            self.people.wishes(&mut wishes);
            if wishes.is_empty() {
                self.wishes = wishes;
                return;
            }
            for wish in wishes.drain(..) {
                match wish {
                    Wish::Connect(id, controller) => {
                        let token = Token(id.as_u64() as usize);
                        let registry = self.poll.registry();
                        let socket = self.addresses[controller]
                            .and_then(|address| Socket::connect(address, registry, token).ok());
                        match socket {
                            Some(socket) => drop(self.sockets.insert(id, socket)),
                            None => self.people.broke(id, now),
                        }
                    }
                    Wish::Write(id) => self.write(id, now),
                    Wish::Close(id) => {
                        if let Some(socket) = self.sockets.remove(&id) {
                            socket.close(self.poll.registry());
                        }
                    }
                    Wish::Cancel(controller, bytes) => {
                        let Some(at) = self.addresses[controller] else { continue };
                        let patience = Duration::from_millis(200);
                        if let Ok(mut stream) = std::net::TcpStream::connect_timeout(&at, patience) {
                            let _ = std::io::Write::write_all(&mut stream, &bytes);
                        }
                    }
                }
            }
            self.wishes = wishes;
        }
    }
}
