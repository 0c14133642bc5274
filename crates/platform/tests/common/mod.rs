//! A test harness that drives the controller without sockets: tests script the clients, the executors and the name service.
#![allow(dead_code)]

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wheelfield_platform::{BootstrapConfig, Platform};
use wheelfield_sans_io::{ConnId, DatagramSocket, Effect, IoEvent, Listener, Protocol};

pub const RESOLVER: &str = "127.9.0.1:1053";
/// Serial number of the list in the configuration.
pub const INITIAL_SERIAL: u32 = 3;

/// The controller under test, and the effects that it has requested.
pub struct Harness {
    pub platform: Platform,
    /// The current time in microseconds.
    pub now: i64,
    /// Bytes written to each connection that the test has not taken yet.
    pub written: BTreeMap<ConnId, Vec<u8>>,
    /// Connects in progress: neither completed nor refused.
    pub connects: Vec<(ConnId, SocketAddr)>,
    /// The address of each connection to an executor.
    pub addresses: BTreeMap<ConnId, SocketAddr>,
    /// Connections that the controller has closed, in order.
    pub closed: Vec<ConnId>,
    /// Connections on which the controller has resumed reading, in order.
    pub resumed: Vec<ConnId>,
    /// Datagrams sent.
    pub datagrams: Vec<(DatagramSocket, SocketAddr, Vec<u8>)>,
    /// Whether the controller accepts clients.
    pub listening: bool,
    /// Whether the controller has finished its shutdown.
    pub stopped: bool,
    /// Requests of clients in the accept queue, which the controller accepts when it stops listening.
    pub backlog: Vec<String>,
    /// The connections of the clients accepted from `backlog`.
    pub accepted_late: Vec<ConnId>,
    /// Maximum number of bytes that each write accepts; `None` for no limit.
    pub write_limit: Option<usize>,
    /// Connections whose peer reads nothing.
    pub unread: BTreeSet<ConnId>,
    /// Number of executors in the list with which each query to the name service is answered at once; `None` if it is not.
    pub confirmed_executors: Option<u8>,
}

/// A configuration entry for an executor; `last` is the last byte of its address.
pub fn executor_entry(name: &str, last: u8, state: &str) -> serde_json::Value {
    serde_json::json!({"id": name, "addr": format!("127.1.0.{last}:6565"), "zone": "z", "kind": "std", "cell": 0,
        "state": state, "weight": 8.0, "started_ms": 0})
}

/// A configuration with the classes `look` (idempotent) and `load` (at most once), for this number of sockets.
pub fn config(servers: Vec<serde_json::Value>, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "on_time_us": 500_000, "give_up_us": 3_000_000, "gain": 1.0, "late_value": 0.0,
            "effect": effect, "dedup_scope": "all", "window_us": 5_000_000, "aim_stretch": 2.0})
    };
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets},
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.2:1"], "peers_all": "127.0.0.9:1",
        "resolver": RESOLVER,
        "known": {"cursor": INITIAL_SERIAL, "cmds": [{"cursor": 3, "nodes": {"version": 0, "full": true, "servers": servers}}]},
        "settings": {
            "balancers": 1, "me": 0, "my_zone": "z", "zones": ["z"], "skus": ["std"], "tenants": [],
            "grades": [class("look", "repeatable"), class("load", "once")],
            "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000,
                "max_retry_after_us": 2_000_000, "max_streams": 32, "most_held": 1000, "peer_messages": true,
                "probes": false, "retry_after": true, "second_copies": false, "send_cap": 3},
            "family_info": {"bills": true, "cpu_of_kind": [8], "memory_by_kind_mb": [8192.0], "grants": false,
                "lanes_count": true, "max_grant_share": 0.4, "parallelism": [1, 2], "tells_every_us": 300_000,
                "when_short": "wait", "writes_tables": [false, true], "yields_to_loads": [false, false]},
            "safety": {"cold_from": 0.4, "ramp_time_us": 10_000_000, "tip_multiple": 2.5, "fall_us": 1_500_000,
                "drain_grace_us": 1_000_000},
            "charges": {"probe": 0.0, "peer": 0.01, "cross_zone": 0.0},
            "telemetry": {"columns": ["cpu_share"], "how": "answers"}, "registry_mode": "automatic"}
    })
    .to_string()
}

impl Harness {
    /// A controller with this number of executors, named e1, e2 and so on.
    pub fn new(executors: u8) -> Harness {
        let servers = (1..=executors)
            .map(|n| executor_entry(&format!("e{n}"), n, "ready"))
            .collect();
        Harness::with_config(&config(servers, 256))
    }

    /// Like [`Harness::new`], with a name service that answers each query at once with the initial list.
    pub fn with_name_service(executors: u8) -> Harness {
        let mut harness = Harness::new(executors);
        harness.confirmed_executors = Some(executors);
        harness
    }

    /// A controller with this configuration, which has been started.
    pub fn with_config(config: &str) -> Harness {
        let config = BootstrapConfig::parse(config).expect("valid");
        let now = 1_000_000_000;
        let mut harness = Harness {
            platform: Platform::new(config, now),
            now,
            written: BTreeMap::new(),
            connects: Vec::new(),
            addresses: BTreeMap::new(),
            closed: Vec::new(),
            resumed: Vec::new(),
            datagrams: Vec::new(),
            listening: true,
            stopped: false,
            backlog: Vec::new(),
            accepted_late: Vec::new(),
            write_limit: None,
            unread: BTreeSet::new(),
            confirmed_executors: None,
        };
        harness.platform.handle_start(now);
        harness.run_effects();
        harness
    }

    /// Executes the requested effects until there are no more.
    pub fn run_effects(&mut self) {
        let mut effects = Vec::new();
        loop {
            self.platform.take_effects(&mut effects);
            if effects.is_empty() {
                return;
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Connect(id, to) => {
                        self.connects.push((id, to));
                        self.addresses.insert(id, to);
                    }
                    Effect::Write(id) => self.write_limited(id),
                    Effect::ResumeReading(id) => self.resumed.push(id),
                    Effect::Close(id) => self.closed.push(id),
                    Effect::Send(socket, to, bytes) => {
                        self.confirm_list(socket, &bytes);
                        self.datagrams.push((socket, to, bytes));
                    }
                    Effect::StopListening => {
                        for request in std::mem::take(&mut self.backlog) {
                            let id = self
                                .platform
                                .accept(self.now, Listener::Clients)
                                .expect("capacity");
                            self.platform
                                .handle_io(self.now, IoEvent::Received(id, request.as_bytes()));
                            self.accepted_late.push(id);
                        }
                        self.listening = false;
                        self.platform.handle_listening_stopped(self.now);
                    }
                    // Effects requested after the controller has stopped are ignored.
                    _ if self.stopped => {}
                    Effect::Stopped => self.stopped = true,
                }
            }
        }
    }

    fn write_limited(&mut self, id: ConnId) {
        let mut bytes = self.platform.output(id).to_vec();
        if self.unread.contains(&id) {
            return;
        }
        bytes.truncate(self.write_limit.unwrap_or(bytes.len()));
        self.platform.bytes_written(self.now, id, bytes.len());
        self.written.entry(id).or_default().extend(bytes);
    }

    /// Writes the output of a connection whose peer accepts data again.
    pub fn write_output(&mut self, id: ConnId) {
        self.write_limited(id);
        self.run_effects();
    }

    /// Answers a query to the name service with the initial list, if queries are answered.
    fn confirm_list(&mut self, socket: DatagramSocket, query: &[u8]) {
        let Some(executors) = self.confirmed_executors else {
            return;
        };
        if socket != DatagramSocket::Discovery {
            return;
        }
        let names: Vec<String> = (1..=executors).map(|n| format!("e{n}")).collect();
        let list: Vec<(&str, u8, u16)> = names
            .iter()
            .zip(1..)
            .map(|(name, last)| (name.as_str(), last, 0))
            .collect();
        let answer = dns_answer(query, INITIAL_SERIAL, &list);
        let bytes = answer.to_vec().expect("bytes");
        let from = RESOLVER.parse().expect("an address");
        let event = IoEvent::Datagram(DatagramSocket::Discovery, from, &bytes);
        self.platform.handle_io(self.now, event);
    }

    /// Advances the clock by `micros` and runs each timer when it is due.
    pub fn advance(&mut self, micros: i64) {
        let until = self.now + micros;
        loop {
            let next_due = self.platform.next_timer_at().filter(|at| *at <= until);
            self.now = next_due.unwrap_or(until).max(self.now);
            self.platform.handle_timers(self.now);
            self.run_effects();
            if next_due.is_none() {
                return;
            }
        }
    }

    /// Passes an event to the controller and executes the resulting effects, in as many turns of the event loop as the controller
    /// asks for at the present time.
    pub fn handle_io(&mut self, event: IoEvent<'_>) {
        self.platform.handle_io(self.now, event);
        self.run_effects();
        while self.is_timer_due() {
            self.begin_turn();
        }
    }

    /// Whether the controller asks for another turn of the event loop at the present time.
    pub fn is_timer_due(&self) -> bool {
        self.platform
            .next_timer_at()
            .is_some_and(|at| at <= self.now)
    }

    /// Runs a turn of the event loop without events.
    pub fn begin_turn(&mut self) {
        self.platform.handle_timers(self.now);
        self.run_effects();
    }

    /// Connects a new client.
    pub fn connect_client(&mut self) -> ConnId {
        let id = self
            .platform
            .accept(self.now, Listener::Clients)
            .expect("capacity");
        self.run_effects();
        id
    }

    /// Delivers text to the controller on a connection.
    pub fn receive(&mut self, id: ConnId, text: &str) {
        self.receive_bytes(id, text.as_bytes());
    }

    /// Delivers bytes to the controller on a connection.
    pub fn receive_bytes(&mut self, id: ConnId, bytes: &[u8]) {
        self.handle_io(IoEvent::Received(id, bytes));
    }

    /// Delivers bytes to the controller as long as it has capacity for them, and returns how many it has taken.
    pub fn deliver(&mut self, id: ConnId, bytes: &[u8]) -> usize {
        let mut taken = 0;
        loop {
            let capacity = self.platform.read_capacity(id);
            let end = bytes.len().min(taken + capacity);
            if taken == end {
                return taken;
            }
            self.receive_bytes(id, &bytes[taken..end]);
            taken = end;
        }
    }

    /// Takes the text that was written to a connection since the last call.
    pub fn take_written(&mut self, id: ConnId) -> String {
        String::from_utf8(self.written.remove(&id).unwrap_or_default()).expect("text")
    }

    /// Completes all connects in progress and returns their connections.
    pub fn complete_connects(&mut self) -> Vec<ConnId> {
        let mut connected = Vec::new();
        while !self.connects.is_empty() {
            let (id, _) = self.connects.remove(0);
            self.handle_io(IoEvent::Connected(id));
            connected.push(id);
        }
        connected
    }

    /// Sends a query from a new client and completes all connects. Returns the client, the connection to the executor that received
    /// the query, and the request as written to it.
    pub fn forward_query(&mut self, class: &str, id: &str) -> (ConnId, ConnId, String) {
        let client = self.connect_client();
        self.receive(client, &query_request(class, id, ""));
        self.complete_connects();
        let (executor, line) = self
            .take_request()
            .expect("a request written to an executor");
        (client, executor, line)
    }

    /// The address that a connection to an executor was opened to.
    pub fn executor_address(&self, connection: ConnId) -> Option<SocketAddr> {
        self.addresses.get(&connection).copied()
    }

    /// Advances the clock until the controller has queried the name service again, and returns the query.
    pub fn next_discovery_query(&mut self) -> Vec<u8> {
        self.datagrams.clear();
        self.advance(260_000);
        self.datagrams.last().expect("a query").2.clone()
    }

    /// Delivers an answer of the name service to the controller.
    pub fn receive_discovery_answer(&mut self, answer: &Message) {
        let from = RESOLVER.parse().expect("an address");
        let bytes = answer.to_vec().expect("bytes");
        self.handle_io(IoEvent::Datagram(DatagramSocket::Discovery, from, &bytes));
    }

    /// Takes a request or cancellation that was written to an executor, with the connection it was written to.
    pub fn take_request(&mut self) -> Option<(ConnId, String)> {
        let connection = *self
            .written
            .iter()
            .find(|(_, w)| w.starts_with(b"REQ ") || w.starts_with(b"STOP "))?
            .0;
        Some((connection, self.take_written(connection)))
    }
}

/// An HTTP request for a query; `more` holds additional header lines.
pub fn query_request(class: &str, id: &str, more: &str) -> String {
    let statement = "SELECT a, b, c FROM sales_17.orders";
    format!(
        "POST /rpc/{class} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: 2000\r\nX-Cost-Ms: 100.0\r\n{more}Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

/// The request id of query `n`.
pub fn request_id(n: u64) -> String {
    format!("{n:016x}")
}

/// The status of an HTTP response.
pub fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// An executor as the name service lists it.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor<'a> {
    pub name: &'a str,
    /// The last byte of its address.
    pub last: u8,
    /// 0: up, 1: draining.
    pub priority: u16,
    pub kind: &'a str,
    pub cell: i64,
    /// Unix time of its start in milliseconds, or 0.
    pub started_ms: i64,
}

impl<'a> ListedExecutor<'a> {
    /// An executor as in the configuration of the tests.
    pub fn new(name: &'a str, last: u8) -> ListedExecutor<'a> {
        ListedExecutor {
            name,
            last,
            priority: 0,
            kind: "std",
            cell: 0,
            started_ms: 0,
        }
    }
}

/// An answer of the name service to a query, with a serial number; each executor has a name, the last byte of its address and a
/// priority (0: up, 1: draining).
pub fn dns_answer(query_bytes: &[u8], serial: u32, executors: &[(&str, u8, u16)]) -> Message {
    let listed: Vec<ListedExecutor> = executors
        .iter()
        .map(|(name, last, priority)| ListedExecutor {
            priority: *priority,
            ..ListedExecutor::new(name, *last)
        })
        .collect();
    dns_answer_of(query_bytes, serial, &listed)
}

/// An answer of the name service to a query, with a serial number and these executors.
pub fn dns_answer_of(query_bytes: &[u8], serial: u32, executors: &[ListedExecutor]) -> Message {
    let request = Message::from_vec(query_bytes).expect("a DNS query");
    let mut answer = Message::new(request.metadata.id, MessageType::Response, OpCode::Query);
    answer.metadata.response_code = ResponseCode::NoError;
    let service = request.queries[0].name.clone();
    answer.add_query(Query::query(service.clone(), RecordType::SRV));
    for executor in executors {
        let target = Name::from_ascii(format!("{}.z.hosts.", executor.name)).expect("a name");
        let srv = SRV::new(executor.priority, 80, 6565, target.clone());
        answer.add_answer(Record::from_rdata(service.clone(), 1, RData::SRV(srv)));
        let address = A::new(127, 1, 0, executor.last);
        let text = TXT::new(vec![
            format!("kind={}", executor.kind),
            format!("cell={}", executor.cell),
            format!("started={}", executor.started_ms),
        ]);
        answer.add_additional(Record::from_rdata(target.clone(), 1, RData::A(address)));
        answer.add_additional(Record::from_rdata(target, 1, RData::TXT(text)));
    }
    let zone = Name::from_ascii("mesh.local.").expect("a name");
    let soa = SOA::new(zone.clone(), zone.clone(), serial, 1, 1, 1, 1);
    answer.add_authority(Record::from_rdata(zone, 1, RData::SOA(soa)));
    answer
}
