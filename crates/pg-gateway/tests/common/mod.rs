//! A gate and one stand-in engine wired to each other without a network, and clients that speak by the byte.
#![allow(dead_code)]

use bytes::{BufMut as _, BytesMut};
use std::collections::HashMap;
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_engine_emulator::stand::{Do, Stand};
use wheelfield_pg::front;
use wheelfield_pg_gateway::{Effect, GatewayEvent, Listener, PgGateway, PgGatewayOptions};
use wheelfield_sans_io::ConnId;
use wheelfield_sans_io::{BreakCause, IoEvent, Protocol as _};

pub const CONFIG: &str = r#"
listen = "127.0.0.1:0"
[fleet]
zones = ["a"]
[[fleet.kinds]]
name = "std"
cores = 8
memory = "16GB"
[[classes]]
name = "fast"
aim = "2s"
deadline = "15s"
effect = "repeatable"
[signals]
reports = "answers"
[means]
cancel = true
[rules]
cold_for = "0s"
[limits]
clients = 4
[[engines]]
id = "engine-00"
address = "127.0.0.1:9"
kind = "std"
zone = "a"
"#;

/// Something told, to be told again.
#[derive(Clone, Debug)]
pub enum Step {
    Accept,
    Started,
    Connected(ConnId),
    Received(ConnId, Vec<u8>),
    Ended(ConnId),
    Broken(ConnId),
    Wrote(ConnId, usize),
    /// It was asked how much may come: that it was too little is remembered.
    Room(ConnId),
    Due,
    Stop,
    Effects,
}

pub struct Wired {
    pub gate: PgGateway,
    pub stand: Stand,
    pub now: i64,
    /// Bytes go in parts of so many at most.
    pub part: usize,
    pub steps: Vec<(i64, Step)>,
    /// What was written, by connection.
    pub written: HashMap<ConnId, Vec<u8>>,
    pub effects: Vec<String>,
    pub closed: Vec<ConnId>,
    pub stopped: bool,
    /// So many wait in the backlog, and are taken as listening ends; and who they were.
    pub backlog: usize,
    pub taken_late: Vec<ConnId>,
    engine_of: HashMap<ConnId, ConnId>,
    gate_of: HashMap<ConnId, ConnId>,
}

pub fn gate(now: i64) -> PgGateway {
    let config = wheelfield_config::parse("test", CONFIG).unwrap_or_else(|fault| panic!("{fault}"));
    let mind = Box::new(Driver::new(config.settings.clone(), 1, DriverLimits::default()));
    let start = PgGatewayOptions {
        now,
        seed: 1,
        cancel_key_seed: [7; 32],
        decision_engine: mind,
        recorder: None,
        peer_address: None,
        gossip: None,
        fault: None,
    };
    PgGateway::new(config, start)
}

impl Wired {
    pub fn new(part: usize) -> Wired {
        let now = 1_000_000;
        let hosted = Setup::plain(1).engines.remove(0);
        let mut wired = Wired {
            gate: gate(now),
            stand: Stand::new(hosted, now, 1),
            now,
            part,
            steps: Vec::new(),
            written: HashMap::new(),
            effects: Vec::new(),
            closed: Vec::new(),
            stopped: false,
            backlog: 0,
            taken_late: Vec::new(),
            engine_of: HashMap::new(),
            gate_of: HashMap::new(),
        };
        wired.tell(Step::Started);
        wired.settle();
        wired
    }

    /// Tells a step, and keeps it.
    pub fn tell(&mut self, step: Step) -> Option<ConnId> {
        self.steps.push((self.now, step.clone()));
        apply(&mut self.gate, self.now, &step)
    }

    fn room(&mut self, id: ConnId) -> usize {
        self.steps.push((self.now, Step::Room(id)));
        self.gate.read_capacity(id)
    }

    pub fn client(&mut self) -> ConnId {
        let id = self.tell(Step::Accept).expect("accepted");
        self.settle();
        id
    }

    /// A client that has introduced itself.
    pub fn started(&mut self) -> ConnId {
        let id = self.client();
        self.say(id, &startup());
        id
    }

    /// A client sends bytes, in parts.
    pub fn say(&mut self, id: ConnId, bytes: &[u8]) {
        for part in bytes.chunks(self.part) {
            assert!(self.room(id) >= part.len(), "no room");
            self.tell(Step::Received(id, part.to_vec()));
            self.settle();
        }
    }

    pub fn heard(&self, id: ConnId) -> Vec<u8> {
        self.written.get(&id).cloned().unwrap_or_default()
    }

    /// Lets all that is wanted be done, on both sides.
    pub fn settle(&mut self) {
        let (mut effects, mut doing) = (Vec::new(), Vec::new());
        for _ in 0..100_000 {
            self.steps.push((self.now, Step::Effects));
            self.gate.take_effects(&mut effects);
            self.stand.doings(&mut doing);
            if effects.is_empty() && doing.is_empty() {
                return;
            }
            for effect in effects.drain(..) {
                self.effects.push(format!("{effect:?}"));
                // Nothing more is done from here on.
                if self.stopped {
                    continue;
                }
                match effect {
                    Effect::Connect(id, _) => {
                        let there = self.stand.accept();
                        self.engine_of.insert(id, there);
                        self.gate_of.insert(there, id);
                        self.tell(Step::Connected(id));
                    }
                    Effect::Write(id) => self.write(id),
                    Effect::Close(id) => {
                        self.closed.push(id);
                        if let Some(there) = self.engine_of.remove(&id) {
                            self.gate_of.remove(&there);
                            self.stand.gone(there, self.now);
                        }
                    }
                    Effect::StopListening => {
                        for _ in 0..std::mem::take(&mut self.backlog) {
                            let id = self.tell(Step::Accept).expect("accepted");
                            self.taken_late.push(id);
                        }
                        self.gate.handle_listening_stopped(self.now);
                    }
                    Effect::Stopped => self.stopped = true,
                    _ => {}
                }
            }
            for what in doing.drain(..) {
                match what {
                    Do::Write(there) => self.answer(there),
                    Do::Close(there, _) => {
                        if let Some(id) = self.gate_of.remove(&there) {
                            self.engine_of.remove(&id);
                            self.tell(Step::Ended(id));
                        }
                    }
                    _ => {}
                }
            }
        }
        panic!("it does not settle");
    }

    fn write(&mut self, id: ConnId) {
        loop {
            let n = self.gate.output(id).len().min(self.part);
            if n == 0 {
                return;
            }
            let bytes = self.gate.output(id)[..n].to_vec();
            self.tell(Step::Wrote(id, n));
            match self.engine_of.get(&id) {
                Some(there) => self.stand.receive(*there, &bytes, self.now),
                None => self.written.entry(id).or_default().extend(bytes),
            }
        }
    }

    fn answer(&mut self, there: ConnId) {
        let Some(id) = self.gate_of.get(&there).copied() else { return };
        loop {
            let n = self.stand.output(there).len().min(self.part).min(self.room(id));
            if n == 0 {
                return;
            }
            let bytes = self.stand.output(there)[..n].to_vec();
            self.stand.wrote(there, n, self.now);
            self.tell(Step::Received(id, bytes));
        }
    }

    /// Lets time pass, in steps of a millisecond at most.
    pub fn pass(&mut self, us: i64) {
        let end = self.now + us;
        while self.now < end {
            let next = [self.gate.next_timer_at(), self.stand.next()].into_iter().flatten().min();
            self.now = next.unwrap_or(end).clamp(self.now + 1, end);
            self.stand.advance(self.now);
            self.tell(Step::Due);
            self.settle();
        }
    }
}

/// Tells a step to a gate.
pub fn apply(gate: &mut PgGateway, now: i64, step: &Step) -> Option<ConnId> {
    match step {
        Step::Accept => return gate.accept(now, Listener::Clients),
        Step::Started => gate.handle(now, GatewayEvent::Started),
        Step::Connected(id) => gate.handle(now, GatewayEvent::Io(IoEvent::Connected(*id))),
        Step::Received(id, bytes) => gate.handle(now, GatewayEvent::Io(IoEvent::Received(*id, bytes))),
        Step::Ended(id) => gate.handle(now, GatewayEvent::Io(IoEvent::Ended(*id))),
        Step::Broken(id) => gate.handle(
            now,
            GatewayEvent::Io(IoEvent::Broken {
                id: *id,
                writing: false,
                cause: BreakCause::Broken,
                reason: "reset",
            }),
        ),
        Step::Wrote(id, n) => gate.bytes_written(now, *id, *n),
        Step::Room(id) => {
            gate.read_capacity(*id);
        }
        Step::Due => gate.handle_timers(now),
        Step::Stop => gate.handle(now, GatewayEvent::ShutdownRequested),
        Step::Effects => {}
    }
    None
}

pub fn startup() -> Vec<u8> {
    let mut out = BytesMut::new();
    front::put_startup(&[("user", "me"), ("database", "lab")], &mut out);
    out.to_vec()
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    front::put_query(text, &mut out);
    out.to_vec()
}

/// A message of the extended protocol.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    out.put_u8(tag);
    out.put_i32(4 + body.len() as i32);
    out.put_slice(body);
    out.to_vec()
}

/// Parse, Bind and Execute of a text, without a Sync.
pub fn execute(text: &str) -> Vec<u8> {
    let parse = [&b"\0"[..], text.as_bytes(), b"\0\0\0"].concat();
    let all = [message(b'P', &parse), message(b'B', &[0; 8]), message(b'E', &[0; 5])];
    all.concat()
}

/// The types of the messages of an answer, after the startup's.
pub fn types(bytes: &[u8]) -> String {
    let (mut rest, mut out) = (bytes, String::new());
    while rest.len() >= 5 {
        let length = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
        out.push(rest[0] as char);
        rest = rest.get(1 + length..).unwrap_or(&[]);
    }
    out
}
