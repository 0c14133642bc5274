//! The controller of PostgreSQL clients on its sockets: what [`PgGateway`] needs beside them.

use crate::event_loop::{bind, bind_datagrams, Hand, Shell};
use crate::keys;
use crate::record;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_endpoints::file::Places;
use wheelfield_endpoints::keeper::Policy;
use wheelfield_endpoints_cli::disk::Place;
use wheelfield_endpoints_cli::{Watch, Watching};
use wheelfield_net::Clock;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_pg_gateway::{GatewayEvent, PgGateway, Start};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// At the start, a first set of engine files is waited for so long.
const FIRST: Duration = Duration::from_secs(2);

/// A controller on its sockets.
pub struct App {
    shell: Shell<PgGateway>,
    files: Option<Rc<Watching>>,
}

impl App {
    /// Opens the sockets of a configuration.
    ///
    /// # Errors
    /// As the system tells.
    pub fn open(config: Config, seed: u64, plant: Option<FaultInjection>) -> Result<App> {
        let clock = Clock::start();
        let clients = bind(config.listen, config.limits.backlog)?;
        let admin = config.admin.map(|address| bind(address, config.limits.backlog)).transpose()?;
        let peers = config.peers.as_ref().map(|p| bind_datagrams(p.listen, "messages")).transpose()?;
        let (mut gossip, mut keys, mut gossips) = (None, None, None);
        if let Some(g) = &config.gossip {
            let (first, watched) = keys::open(&g.keys)?;
            let socket = bind_datagrams(g.listen, "gossip")?;
            let reached = g.advertise.map_or_else(|| socket.local_addr(), Ok)?;
            gossips = Some((reached, first));
            (gossip, keys) = (Some(socket), Some(watched));
        }
        let files = watch(&config, clock)?;
        let mut shell = Shell::new(clock, |now| {
            let bounds = DriverLimits {
                max_queries: config.limits.queries,
                cancel_confirmation_timeout: config.timing.withdraw,
            };
            let driver = Driver::new(config.settings.clone(), seed, bounds);
            let recorder = record::begin(&config, seed, bounds, &driver, now)?;
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
            Ok(PgGateway::new(config, start))
        })?;
        shell.listen(Listener::Clients, clients)?;
        if let Some(socket) = admin {
            shell.listen(Listener::Admin, socket)?;
        }
        for (port, socket) in [(DatagramSocket::Peers, peers), (DatagramSocket::Gossip, gossip)] {
            if let Some(socket) = socket {
                shell.hear_on(port, socket)?;
            }
        }
        if let Some(keys) = keys {
            shell.each_turn(Box::new(move |gate, now| {
                while let Ok(news) = keys.news.try_recv() {
                    gate.handle(now, GatewayEvent::GossipKeys(news));
                }
            }));
        }
        let mut watched = None;
        if let Some((watching, bell)) = files {
            let (heard, kept) = (watching.clone(), watching);
            let told: Hand<PgGateway> = Box::new(move |gate, now| {
                while let Ok(news) = heard.news.try_recv() {
                    gate.handle(now, GatewayEvent::EndpointFiles(news));
                }
            });
            shell.bell(bell, told)?;
            watched = Some(kept);
        }
        Ok(App { shell, files: watched })
    }

    /// Where clients connect.
    ///
    /// # Errors
    /// Once it listens no longer.
    pub fn address(&self) -> Result<SocketAddr> {
        self.shell.address(Listener::Clients).context("no longer listening")
    }

    /// Where everything listens, for whoever started the process.
    pub fn addresses(&self) -> serde_json::Value {
        let told = |a: Option<SocketAddr>| a.map(|a| a.to_string());
        serde_json::json!({
            "listen": told(self.shell.address(Listener::Clients)), "admin": told(self.shell.address(Listener::Admin)),
            "peers": told(self.shell.port(DatagramSocket::Peers)), "gossip": told(self.shell.port(DatagramSocket::Gossip)),
        })
    }

    /// A byte on this stream asks the controller to stop: it takes no new clients, answers what it has, and ends.
    ///
    /// # Errors
    /// As the system tells.
    pub fn stop_on(&mut self, signal: std::os::unix::net::UnixStream) -> Result<()> {
        self.shell.bell(signal, Box::new(|gate, now| gate.begin_shutdown(now)))
    }

    /// Each byte on this stream asks for the capture that is held in memory to be written.
    ///
    /// # Errors
    /// As the system tells.
    pub fn keep_on(&mut self, signal: std::os::unix::net::UnixStream) -> Result<()> {
        self.shell.bell(signal, Box::new(|gate, now| gate.handle(now, GatewayEvent::CaptureRequested)))
    }

    /// Serves until asked to stop and all is answered.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn run(&mut self) -> Result<()> {
        self.shell.core.handle_start(self.shell.now);
        self.first_files();
        self.shell.run()?;
        let now = self.shell.now;
        let recorder = self.shell.core.end(now);
        self.shell.carry_out();
        if let Some(recorder) = recorder {
            let state = recorder.end(Micros(now));
            info!(recorded = state.recorded, lost = state.lost, bytes = state.bytes, "capture ended");
        }
        Ok(())
    }

    /// Waits for the first word of the files, but not for ever.
    fn first_files(&mut self) {
        let Some(watching) = &self.files else { return };
        let news = watching.news.recv_timeout(FIRST).ok();
        self.shell.now = self.shell.clock.now();
        match news {
            Some(news) => self.shell.core.handle(self.shell.now, GatewayEvent::EndpointFiles(news)),
            None => warn!("there is no set of engines yet; starting without"),
        }
    }
}

/// Begins to watch the engine files, where there are any.
fn watch(config: &Config, clock: Clock) -> Result<Option<(Rc<Watching>, std::os::unix::net::UnixStream)>> {
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
    ring.set_nonblocking(true)?;
    let watching = Watching::begin(watch, clock, ring).context("cannot watch the engine files")?;
    Ok(Some((Rc::new(watching), bell)))
}
