//! The loop: listeners, datagrams, files, signals and time in; effects out.

use crate::keys::{self, Watched};
use crate::record;
use crate::sockets::Sockets;
use anyhow::{Context, Result};
use mio::net::{TcpListener, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Token};
use std::io::{ErrorKind, Read as _};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_driver::{Bounds, Driver};
use wheelfield_gate::plant::Plant;
use wheelfield_gate::{Door, Effect, Gate, Happened, Port, Start};
use wheelfield_members::file::Places;
use wheelfield_members::keeper::Policy;
use wheelfield_net::{datagrams, listen, Clock};
use wheelfield_watch::disk::Place;
use wheelfield_watch::{Watch, Watching};

/// Accepted in one turn of the loop; the rest waits for the next.
const ACCEPTS: usize = 256;
/// Datagrams read in one turn.
const HEARD: usize = 512;
/// Longest datagram that is read whole; a longer one is cut, and does not open.
const DATAGRAM: usize = 2048;
/// Rounds of effects before the sockets are looked at again: a long answer takes one for each 64 kB, and is not to hold up others.
const ROUNDS: usize = 16;
/// At the start, a first set of engine files is waited for so long.
const FIRST: Duration = Duration::from_secs(2);
/// Where no more connections can be had, it is tried again after so many microseconds.
const ACCEPT_AGAIN: i64 = 50_000;

const LISTENER: Token = Token(0);
const ADMIN: Token = Token(1);
/// The controller is asked to stop.
const SIGNAL: Token = Token(2);
/// An operator wants the capture that is held in memory.
const KEEP: Token = Token(3);
/// There is word of the engine files.
const MEMBERS: Token = Token(4);
const GOSSIP: Token = Token(5);
const PEERS: Token = Token(6);

/// A listening socket.
struct Listening {
    socket: TcpListener,
    token: Token,
    door: Door,
    /// More may wait, though the system will not tell so.
    again: Option<i64>,
    /// Connections could not be had, and that was told.
    failing: bool,
}

/// A controller on its sockets.
pub struct App {
    clock: Clock,
    now: i64,
    poll: Poll,
    gate: Gate,
    sockets: Sockets,
    clients: Option<Listening>,
    admin: Option<Listening>,
    peers: Option<UdpSocket>,
    gossip: Option<UdpSocket>,
    keys: Option<Watched>,
    files: Option<(Watching, UnixStream)>,
    signal: Option<UnixStream>,
    keep: Option<UnixStream>,
    effects: Vec<Effect>,
    stopped: bool,
}

impl App {
    /// Opens the sockets of a configuration.
    ///
    /// # Errors
    /// As the system tells.
    pub fn open(config: Config, seed: u64, plant: Option<Plant>) -> Result<App> {
        let clock = Clock::start();
        let now = clock.now();
        let poll = Poll::new()?;
        let registry = poll.registry();
        let bind = |address: SocketAddr, token: Token, door: Door| -> Result<Listening> {
            let mut socket = listen(address, config.limits.backlog)
                .with_context(|| format!("cannot listen on {address}"))?;
            registry.register(&mut socket, token, Interest::READABLE)?;
            Ok(Listening { socket, token, door, again: None, failing: false })
        };
        let clients = bind(config.listen, LISTENER, Door::Clients)?;
        let admin = config.admin.map(|address| bind(address, ADMIN, Door::Admin)).transpose()?;
        let bounds = Bounds { queries: config.limits.queries, withdraw_wait: config.timing.withdraw };
        let driver = Driver::new(config.settings.clone(), seed, bounds);
        let recorder = record::begin(&config, seed, bounds, &driver, now)?;
        let udp = |at: SocketAddr, token: Token, what: &str| {
            datagrams(at, registry, token).with_context(|| format!("cannot listen for {what} on {at}"))
        };
        let peers = config.peers.as_ref().map(|p| udp(p.listen, PEERS, "messages")).transpose()?;
        let (mut gossip, mut keys, mut gossips) = (None, None, None);
        if let Some(g) = &config.gossip {
            let (first, watched) = keys::open(&g.keys)?;
            let socket = udp(g.listen, GOSSIP, "gossip")?;
            gossips = Some((socket.local_addr()?, first));
            (gossip, keys) = (Some(socket), Some(watched));
        }
        let files = watch(&config, clock, registry)?;
        let start = Start {
            now,
            seed,
            secret: rand::random(),
            mind: Box::new(driver),
            recorder,
            peers: peers.as_ref().and_then(|s| s.local_addr().ok()),
            gossip: gossips,
            plant,
        };
        Ok(App {
            clock,
            now,
            gate: Gate::new(config, start),
            poll,
            sockets: Sockets::new(),
            clients: Some(clients),
            admin,
            peers,
            gossip,
            keys,
            files,
            signal: None,
            keep: None,
            effects: Vec::new(),
            stopped: false,
        })
    }

    /// Where clients connect.
    ///
    /// # Errors
    /// As the system tells.
    pub fn address(&self) -> Result<SocketAddr> {
        let clients = self.clients.as_ref().context("no longer listening")?;
        Ok(clients.socket.local_addr()?)
    }

    /// Where everything listens, for whoever started the process.
    pub fn addresses(&self) -> serde_json::Value {
        let tcp = |l: &Option<Listening>| {
            l.as_ref().and_then(|l| l.socket.local_addr().ok()).map(|a| a.to_string())
        };
        let udp = |s: &Option<UdpSocket>| s.as_ref().and_then(|s| s.local_addr().ok()).map(|a| a.to_string());
        serde_json::json!({
            "listen": tcp(&self.clients), "admin": tcp(&self.admin), "peers": udp(&self.peers),
            "gossip": udp(&self.gossip),
        })
    }

    /// A byte on this stream asks the controller to stop: it takes no new clients, answers what it has, and ends.
    ///
    /// # Errors
    /// As the system tells.
    pub fn stop_on(&mut self, signal: std::os::unix::net::UnixStream) -> Result<()> {
        self.signal = Some(self.hears(signal, SIGNAL)?);
        Ok(())
    }

    /// Each byte on this stream asks for the capture that is held in memory to be written.
    ///
    /// # Errors
    /// As the system tells.
    pub fn keep_on(&mut self, signal: std::os::unix::net::UnixStream) -> Result<()> {
        self.keep = Some(self.hears(signal, KEEP)?);
        Ok(())
    }

    fn hears(&self, signal: std::os::unix::net::UnixStream, token: Token) -> Result<UnixStream> {
        signal.set_nonblocking(true)?;
        let mut signal = UnixStream::from_std(signal);
        self.poll.registry().register(&mut signal, token, Interest::READABLE)?;
        Ok(signal)
    }

    /// Serves until asked to stop and all is answered.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn run(&mut self) -> Result<()> {
        let mut events = Events::with_capacity(4096);
        self.gate.happen(self.now, Happened::Started);
        self.first_files();
        while !self.stopped {
            let wait = if self.carry_out() { Duration::ZERO } else { self.wait() };
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            self.now = self.clock.now();
            for event in &events {
                self.on_event(event);
            }
            for door in [Door::Clients, Door::Admin] {
                self.accept_again(door);
            }
            while let Some(news) = self.keys.as_ref().and_then(|k| k.news.try_recv().ok()) {
                self.gate.happen(self.now, Happened::Keys(news));
            }
            self.gate.due(self.now);
        }
        let recorder = self.gate.end(self.now);
        self.carry_out();
        if let Some(recorder) = recorder {
            let state = recorder.end(Micros(self.now));
            info!(recorded = state.recorded, lost = state.lost, bytes = state.bytes, "capture ended");
        }
        Ok(())
    }

    /// Until something is due.
    fn wait(&self) -> Duration {
        let again = [&self.clients, &self.admin].into_iter().flatten().filter_map(|l| l.again);
        let next = again.chain(self.gate.next_due()).min();
        next.map_or(Duration::from_secs(1), |at| self.clock.until(at))
    }

    /// Carries out effects; true if there are more.
    fn carry_out(&mut self) -> bool {
        let registry = self.poll.registry();
        let (sockets, gate, now) = (&mut self.sockets, &mut self.gate, self.now);
        for _ in 0..ROUNDS {
            gate.effects(&mut self.effects);
            if self.effects.is_empty() {
                return false;
            }
            for effect in self.effects.drain(..) {
                match effect {
                    Effect::Connect(id, to) => sockets.connect(id, to, registry, gate, now),
                    Effect::Write(id) => sockets.write(id, gate, now),
                    Effect::Read(id) => sockets.read(id, gate, now),
                    Effect::Close(id) => sockets.close(id, registry),
                    Effect::Send(port, to, datagram) => {
                        let socket = match port {
                            Port::Peers => &self.peers,
                            Port::Gossip => &self.gossip,
                        };
                        // What can't go is lost, as datagrams may be.
                        let _ = socket.as_ref().map(|s| s.send_to(&datagram, to));
                    }
                    Effect::StopListening => {
                        if let Some(mut clients) = self.clients.take() {
                            let _ = registry.deregister(&mut clients.socket);
                        }
                    }
                    Effect::Stopped => self.stopped = true,
                }
            }
        }
        true
    }

    fn on_event(&mut self, event: &mio::event::Event) {
        match event.token() {
            LISTENER => self.accept(Door::Clients),
            ADMIN => self.accept(Door::Admin),
            SIGNAL => self.gate.happen(self.now, Happened::Stop),
            KEEP => {
                if let Some(bell) = &mut self.keep {
                    drain(bell);
                }
                self.gate.happen(self.now, Happened::Keep);
            }
            MEMBERS => {
                if let Some((_, bell)) = &mut self.files {
                    drain(bell);
                }
                while let Some(news) = self.files.as_ref().and_then(|(w, _)| w.news.try_recv().ok()) {
                    self.gate.happen(self.now, Happened::Files(news));
                }
            }
            GOSSIP => self.hear(Port::Gossip),
            PEERS => self.hear(Port::Peers),
            _ => self.sockets.on(event, &mut self.gate, self.now),
        }
    }

    /// Waits for the first word of the files, but not for ever.
    fn first_files(&mut self) {
        let Some((watching, _)) = &self.files else { return };
        let news = watching.news.recv_timeout(FIRST).ok();
        self.now = self.clock.now();
        match news {
            Some(news) => self.gate.happen(self.now, Happened::Files(news)),
            None => warn!("there is no set of engines yet; starting without"),
        }
    }

    fn accept(&mut self, door: Door) {
        let now = self.now;
        let listening = match door {
            Door::Clients => self.clients.as_mut(),
            Door::Admin => self.admin.as_mut(),
        };
        let Some(l) = listening else { return };
        l.again = None;
        for _ in 0..ACCEPTS {
            match l.socket.accept() {
                Ok((tcp, _)) => {
                    l.failing = false;
                    if let Some(id) = self.gate.accept(now, l.door) {
                        self.sockets.accepted(id, tcp, self.poll.registry(), &mut self.gate, now);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // It had gone before it was taken.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // No descriptors or memory left: those that wait stay in the backlog for a moment.
                    if !std::mem::replace(&mut l.failing, true) {
                        warn!(fault = %e, token = l.token.0, "no more connections can be taken for now");
                    }
                    l.again = Some(now + ACCEPT_AGAIN);
                    return;
                }
            }
        }
        // More may wait, and the listener will not tell of them again.
        l.again = Some(now);
    }

    fn accept_again(&mut self, door: Door) {
        let listening = match door {
            Door::Clients => &self.clients,
            Door::Admin => &self.admin,
        };
        if listening.as_ref().and_then(|l| l.again).is_some_and(|at| at <= self.now) {
            self.accept(door);
        }
    }

    /// Reads datagrams.
    fn hear(&mut self, port: Port) {
        let (socket, token) = match port {
            Port::Peers => (&mut self.peers, PEERS),
            Port::Gossip => (&mut self.gossip, GOSSIP),
        };
        let Some(socket) = socket else { return };
        let mut buffer = [0; DATAGRAM];
        for _ in 0..HEARD {
            match socket.recv_from(&mut buffer) {
                Ok((n, from)) => {
                    let datagram = &buffer[..n];
                    let what = match port {
                        Port::Peers => Happened::Words(from, datagram),
                        Port::Gossip => Happened::Gossip(from, datagram),
                    };
                    self.gate.happen(self.now, what);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // One that is not there any more shows as an error of the socket.
                Err(_) => {}
            }
        }
        // More wait: ask to be told again.
        let _ = self.poll.registry().reregister(socket, token, Interest::READABLE);
    }
}

/// Takes the bytes off a bell.
fn drain(bell: &mut UnixStream) {
    let mut bytes = [0; 64];
    while matches!(bell.read(&mut bytes), Ok(n) if n > 0) {}
}

/// Begins to watch the engine files, where there are any.
fn watch(config: &Config, clock: Clock, registry: &mio::Registry) -> Result<Option<(Watching, UnixStream)>> {
    let Some(m) = &config.members else { return Ok(None) };
    let policy =
        Policy { settle: m.settle, most_lost: m.most_lost, hold: m.hold, reuse_after: m.reuse_after };
    let names = Places { names: config.names.clone(), cores: config.settings.cores.clone(), open: false };
    let watch = Watch {
        places: m.files.iter().cloned().map(Place).collect(),
        poll: m.poll,
        policy,
        names,
        last_good: m.last_good.clone(),
    };
    let (bell, ring) = std::os::unix::net::UnixStream::pair()?;
    bell.set_nonblocking(true)?;
    ring.set_nonblocking(true)?;
    let mut bell = UnixStream::from_std(bell);
    registry.register(&mut bell, MEMBERS, Interest::READABLE)?;
    let watching = Watching::begin(watch, clock, ring).context("cannot watch the engine files")?;
    Ok(Some((watching, bell)))
}
