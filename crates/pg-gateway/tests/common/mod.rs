//! A test harness: a gateway and one emulated engine that are connected without a network, and clients that
//! send raw bytes.
#![allow(dead_code)]

use bytes::{BufMut as _, BytesMut};
use std::collections::HashMap;
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_engine_emulator::engine::{EmulatedEngine, EngineAction};
use wheelfield_engine_emulator::setup::Setup;
use wheelfield_pg::frontend_messages;
use wheelfield_pg_gateway::{Effect, GatewayEvent, Listener, PgGateway, PgGatewayOptions};
use wheelfield_sans_io::ConnId;
use wheelfield_sans_io::{FailureCause, IoEvent, Protocol as _};

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
[[classes]]
name = "once"
aim = "2s"
deadline = "15s"
effect = "once"
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

/// Where the registry listens, if the configuration has one.
pub const REGISTRY: &str = "127.0.0.1:8";

/// The configuration with a polled registry in place of the list of engines.
pub fn config_with_registry() -> String {
    let (common, _) = CONFIG.split_once("[[engines]]").expect("engines at the end");
    format!("{common}[registry]\naddress = {REGISTRY:?}\nmode = \"poll\"\n")
}

/// A list of the registry with one engine.
pub fn registry_list(version: u64, status: &str) -> String {
    let entry = format!(
        r#"{{"id":"engine-00","address":"127.0.0.1:9","status":{status:?},"kind":"std","zone":"a"}}"#
    );
    format!(r#"{{"version":{version},"engines":[{entry}]}}"#)
}

/// A recorded call to the gateway, which can be replayed.
#[derive(Clone, Debug)]
pub enum Step {
    Accept,
    Start,
    Connected(ConnId),
    Received(ConnId, Vec<u8>),
    PeerClosed(ConnId),
    ConnectionBroken(ConnId),
    BytesWritten(ConnId, usize),
    /// A query of the read capacity. It is replayed too, since the gateway remembers that reading is
    /// paused.
    ReadCapacity(ConnId),
    Timers,
    Shutdown,
    TakeEffects,
}

pub struct Harness {
    pub gateway: PgGateway,
    pub engine: EmulatedEngine,
    pub now: i64,
    /// Maximum number of bytes of a read or write.
    pub chunk_size: usize,
    pub steps: Vec<(i64, Step)>,
    /// What was written to each client.
    pub written: HashMap<ConnId, Vec<u8>>,
    pub effects: Vec<String>,
    pub closed: Vec<ConnId>,
    pub stopped: bool,
    /// Number of clients in the accept backlog, which are accepted when listening ends, and their
    /// connections.
    pub backlog: usize,
    pub accepted_late: Vec<ConnId>,
    /// The connection with an unanswered request to the registry.
    pub registry_request: Option<ConnId>,
    registry_connection: Option<ConnId>,
    engine_connections: HashMap<ConnId, ConnId>,
    gateway_connections: HashMap<ConnId, ConnId>,
}

pub fn new_gateway(now: i64) -> PgGateway {
    gateway_with_config(now, CONFIG)
}

fn gateway_with_config(now: i64, config: &str) -> PgGateway {
    let config = wheelfield_config::parse("test", config).unwrap_or_else(|fault| panic!("{fault}"));
    let driver = Box::new(Driver::new(config.settings.clone(), 1, DriverLimits::default()));
    let options = PgGatewayOptions {
        now,
        seed: 1,
        cancel_key_seed: [7; 32],
        decision_engine: driver,
        recorder: None,
        peer_address: None,
        gossip: None,
        fault: None,
    };
    PgGateway::new(config, options)
}

impl Harness {
    pub fn new(chunk_size: usize) -> Harness {
        Harness::with_config(chunk_size, CONFIG)
    }

    pub fn with_config(chunk_size: usize, config: &str) -> Harness {
        let now = 1_000_000;
        let hosted_engine = Setup::with_default_engines(1).engines.remove(0);
        let mut harness = Harness {
            gateway: gateway_with_config(now, config),
            engine: EmulatedEngine::new(hosted_engine, now, 1),
            now,
            chunk_size,
            steps: Vec::new(),
            written: HashMap::new(),
            effects: Vec::new(),
            closed: Vec::new(),
            stopped: false,
            backlog: 0,
            accepted_late: Vec::new(),
            registry_request: None,
            registry_connection: None,
            engine_connections: HashMap::new(),
            gateway_connections: HashMap::new(),
        };
        harness.apply_step(Step::Start);
        harness.run_until_idle();
        harness
    }

    /// Executes a step and records it.
    pub fn apply_step(&mut self, step: Step) -> Option<ConnId> {
        self.steps.push((self.now, step.clone()));
        apply(&mut self.gateway, self.now, &step)
    }

    fn read_capacity(&mut self, id: ConnId) -> usize {
        self.steps.push((self.now, Step::ReadCapacity(id)));
        self.gateway.read_capacity(id)
    }

    pub fn client(&mut self) -> ConnId {
        let id = self.apply_step(Step::Accept).expect("accepted");
        self.run_until_idle();
        id
    }

    /// A client that has sent its startup packet.
    pub fn started_client(&mut self) -> ConnId {
        let id = self.client();
        self.send(id, &startup());
        id
    }

    /// Sends bytes from a client, in chunks.
    pub fn send(&mut self, id: ConnId, bytes: &[u8]) {
        for chunk in bytes.chunks(self.chunk_size) {
            assert!(self.read_capacity(id) >= chunk.len(), "not enough read capacity");
            self.apply_step(Step::Received(id, chunk.to_vec()));
            self.run_until_idle();
        }
    }

    /// Answers the request to the registry.
    pub fn answer_registry(&mut self, list: &str) {
        let id = self.registry_request.take().expect("a request to the registry");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        self.apply_step(Step::Received(id, [head.as_bytes(), list.as_bytes()].concat()));
        self.run_until_idle();
    }

    /// Sends a query, and returns the engine session to which the gateway is about to write it.
    pub fn decide(&mut self, client: ConnId, query: &[u8]) -> ConnId {
        self.apply_step(Step::Received(client, query.to_vec()));
        let [session] = self.take_engine_writes()[..] else { panic!("one write to an engine session") };
        session
    }

    /// Takes the effects of the gateway, and returns the engine sessions that it is about to write to.
    pub fn take_engine_writes(&mut self) -> Vec<ConnId> {
        let (mut effects, mut sessions) = (Vec::new(), Vec::new());
        self.gateway.take_effects(&mut effects);
        for effect in effects {
            match effect {
                Effect::Write(id) if self.engine_connections.contains_key(&id) => sessions.push(id),
                Effect::Write(id) => self.write(id),
                effect => panic!("an unexpected effect: {effect:?}"),
            }
        }
        sessions
    }

    pub fn received(&self, id: ConnId) -> Vec<u8> {
        self.written.get(&id).cloned().unwrap_or_default()
    }

    /// Executes all effects of the gateway and all actions of the engine.
    pub fn run_until_idle(&mut self) {
        let (mut effects, mut actions) = (Vec::new(), Vec::new());
        for _ in 0..100_000 {
            self.steps.push((self.now, Step::TakeEffects));
            self.gateway.take_effects(&mut effects);
            self.engine.take_actions(&mut actions);
            if effects.is_empty() && actions.is_empty() {
                return;
            }
            for effect in effects.drain(..) {
                self.effects.push(format!("{effect:?}"));
                // A stopped gateway executes nothing more.
                if self.stopped {
                    continue;
                }
                self.execute(effect);
            }
            for action in actions.drain(..) {
                match action {
                    EngineAction::Write(engine_connection) => self.read_engine(engine_connection),
                    EngineAction::Close(engine_connection, _) => {
                        if let Some(id) = self.gateway_connections.remove(&engine_connection) {
                            self.engine_connections.remove(&id);
                            self.apply_step(Step::PeerClosed(id));
                        }
                    }
                    _ => {}
                }
            }
        }
        panic!("the gateway and the engine do not become idle");
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(id, address) if address.to_string() == REGISTRY => {
                self.registry_connection = Some(id);
                self.apply_step(Step::Connected(id));
            }
            Effect::Connect(id, _) => {
                let engine_connection = self.engine.accept();
                self.engine_connections.insert(id, engine_connection);
                self.gateway_connections.insert(engine_connection, id);
                self.apply_step(Step::Connected(id));
            }
            Effect::Write(id) => {
                self.write(id);
                if self.registry_connection == Some(id) {
                    self.registry_request = Some(id);
                }
            }
            Effect::Close(id) => {
                self.closed.push(id);
                if let Some(engine_connection) = self.engine_connections.remove(&id) {
                    self.gateway_connections.remove(&engine_connection);
                    self.engine.peer_closed(engine_connection, self.now);
                }
            }
            Effect::StopListening => {
                for _ in 0..std::mem::take(&mut self.backlog) {
                    let id = self.apply_step(Step::Accept).expect("accepted");
                    self.accepted_late.push(id);
                }
                self.gateway.handle_listening_stopped(self.now);
            }
            Effect::Stopped => self.stopped = true,
            _ => {}
        }
    }

    /// Writes the output of a connection.
    pub fn write(&mut self, id: ConnId) {
        loop {
            let count = self.gateway.output(id).len().min(self.chunk_size);
            if count == 0 {
                return;
            }
            let bytes = self.gateway.output(id)[..count].to_vec();
            self.apply_step(Step::BytesWritten(id, count));
            match self.engine_connections.get(&id) {
                Some(engine_connection) => self.engine.receive(*engine_connection, &bytes, self.now),
                None => self.written.entry(id).or_default().extend(bytes),
            }
        }
    }

    fn read_engine(&mut self, engine_connection: ConnId) {
        let Some(id) = self.gateway_connections.get(&engine_connection).copied() else { return };
        loop {
            let count =
                self.engine.output(engine_connection).len().min(self.chunk_size).min(self.read_capacity(id));
            if count == 0 {
                return;
            }
            let bytes = self.engine.output(engine_connection)[..count].to_vec();
            self.engine.bytes_written(engine_connection, count, self.now);
            self.apply_step(Step::Received(id, bytes));
        }
    }

    /// Advances the time to each due timer.
    pub fn advance(&mut self, us: i64) {
        let end = self.now + us;
        while self.now < end {
            let next =
                [self.gateway.next_timer_at(), self.engine.next_timer_at()].into_iter().flatten().min();
            self.now = next.unwrap_or(end).clamp(self.now + 1, end);
            self.engine.advance(self.now);
            self.apply_step(Step::Timers);
            self.run_until_idle();
        }
    }
}

/// Executes a step on a gateway.
pub fn apply(gateway: &mut PgGateway, now: i64, step: &Step) -> Option<ConnId> {
    match step {
        Step::Accept => return gateway.accept(now, Listener::Clients),
        Step::Start => gateway.handle(now, GatewayEvent::Started),
        Step::Connected(id) => gateway.handle(now, GatewayEvent::Io(IoEvent::Connected(*id))),
        Step::Received(id, bytes) => gateway.handle(now, GatewayEvent::Io(IoEvent::Received(*id, bytes))),
        Step::PeerClosed(id) => gateway.handle(now, GatewayEvent::Io(IoEvent::ReadClosed(*id))),
        Step::ConnectionBroken(id) => gateway.handle(
            now,
            GatewayEvent::Io(IoEvent::ConnectionFailed {
                id: *id,
                writing: false,
                cause: FailureCause::ConnectionLost,
                reason: "reset",
            }),
        ),
        Step::BytesWritten(id, count) => gateway.bytes_written(now, *id, *count),
        Step::ReadCapacity(id) => {
            gateway.read_capacity(*id);
        }
        Step::Timers => gateway.handle_timers(now),
        Step::Shutdown => gateway.handle(now, GatewayEvent::ShutdownRequested),
        Step::TakeEffects => {}
    }
    None
}

pub fn startup() -> Vec<u8> {
    let mut out = BytesMut::new();
    frontend_messages::put_startup(&[("user", "me"), ("database", "lab")], &mut out);
    out.to_vec()
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    frontend_messages::put_query(text, &mut out);
    out.to_vec()
}

/// A message of the extended query protocol.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    out.put_u8(tag);
    out.put_i32(4 + body.len() as i32);
    out.put_slice(body);
    out.to_vec()
}

/// Parse, Bind and Execute messages for a statement, without a Sync.
pub fn execute(text: &str) -> Vec<u8> {
    let parse = [&b"\0"[..], text.as_bytes(), b"\0\0\0"].concat();
    let all = [message(b'P', &parse), message(b'B', &[0; 8]), message(b'E', &[0; 5])];
    all.concat()
}

/// The types of the messages in an answer.
pub fn message_types(bytes: &[u8]) -> String {
    let (mut rest, mut types) = (bytes, String::new());
    while rest.len() >= 5 {
        let length = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
        types.push(rest[0] as char);
        rest = rest.get(1 + length..).unwrap_or(&[]);
    }
    types
}
