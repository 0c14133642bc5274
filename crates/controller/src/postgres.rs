//! The controller for PostgreSQL clients: [`PgGateway`] on its sockets, with its files, keys and capture.

use crate::bind::{bind_datagram_socket, bind_listener};
use crate::capture::start_recorder;
use crate::endpoint_files::watch_endpoint_files;
use crate::error::ControllerError;
use crate::event_loop::EventLoop;
use crate::gossip_keys::KeysWatcher;
use mio::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_driver::{Driver, DriverLimits};
use wheelfield_endpoints_cli::EngineFileWatcher;
use wheelfield_gossip::authentication::Keys;
use wheelfield_net::Clock;
use wheelfield_pg_gateway::fault_injection::FaultInjection;
use wheelfield_pg_gateway::{GatewayEvent, PgGateway, Start};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// How long the start waits for a first set of engine files.
const FIRST_ENDPOINT_SET_TIMEOUT: Duration = Duration::from_secs(2);

/// A controller for PostgreSQL clients on its sockets.
pub struct PostgresController {
    event_loop: EventLoop<PgGateway>,
    endpoint_files: Option<Rc<EngineFileWatcher>>,
}

/// The sockets of a configuration.
struct Sockets {
    clients: TcpListener,
    admin: Option<TcpListener>,
    peers: Option<UdpSocket>,
    gossip: Option<GossipSocket>,
}

/// The socket of the gossip, and what goes with it.
struct GossipSocket {
    socket: UdpSocket,
    /// Where the other controllers reach it.
    advertised_address: SocketAddr,
    keys: Keys,
    keys_watcher: KeysWatcher,
}

impl PostgresController {
    /// Opens the sockets of a configuration. The same seed and inputs give the same decisions.
    ///
    /// # Errors
    /// [`ControllerError`], if a socket, a file or a thread can't be had.
    pub fn open(
        config: Config,
        seed: u64,
        fault: Option<FaultInjection>,
    ) -> Result<PostgresController, ControllerError> {
        let clock = Clock::start();
        let sockets = Sockets::bind(&config)?;
        let endpoint_files = watch_endpoint_files(&config, clock)?;
        let now = clock.now();
        let peers = sockets
            .peers
            .as_ref()
            .and_then(|socket| socket.local_addr().ok());
        let gossip = sockets
            .gossip
            .as_ref()
            .map(|g| (g.advertised_address, g.keys.clone()));
        let gateway = start_gateway(config, seed, now, peers, gossip, fault)?;
        let mut event_loop = EventLoop::new(clock, now, gateway)?;
        sockets.add_to(&mut event_loop)?;
        let endpoint_files = match endpoint_files {
            Some((watcher, wakeup)) => {
                Some(receive_endpoint_files(&mut event_loop, watcher, wakeup)?)
            }
            None => None,
        };
        Ok(PostgresController {
            event_loop,
            endpoint_files,
        })
    }

    /// Where clients connect.
    ///
    /// # Errors
    /// [`ControllerError::NotListening`], once it listens no longer.
    pub fn address(&self) -> Result<SocketAddr, ControllerError> {
        self.event_loop
            .listener_address(Listener::Clients)
            .ok_or(ControllerError::NotListening)
    }

    /// Where everything listens, for whoever started the process.
    pub fn addresses(&self) -> serde_json::Value {
        let listener = |name| {
            self.event_loop
                .listener_address(name)
                .map(|address| address.to_string())
        };
        let datagrams = |name| {
            self.event_loop
                .datagram_address(name)
                .map(|address| address.to_string())
        };
        serde_json::json!({
            "listen": listener(Listener::Clients),
            "admin": listener(Listener::Admin),
            "peers": datagrams(DatagramSocket::Peers),
            "gossip": datagrams(DatagramSocket::Gossip),
        })
    }

    /// A byte on this stream begins a graceful shutdown: the controller accepts no new clients, answers the queries it has,
    /// and ends.
    ///
    /// # Errors
    /// If the stream cannot be registered.
    pub fn shut_down_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        Ok(self
            .event_loop
            .add_wakeup(signal, Box::new(|gateway, now| gateway.begin_shutdown(now)))?)
    }

    /// Each byte on this stream has the capture that is held in memory written to disk.
    ///
    /// # Errors
    /// If the stream cannot be registered.
    pub fn write_capture_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        let write_capture =
            |gateway: &mut PgGateway, now| gateway.handle(now, GatewayEvent::CaptureRequested);
        Ok(self
            .event_loop
            .add_wakeup(signal, Box::new(write_capture))?)
    }

    /// Serves until a shutdown was requested and all is answered.
    ///
    /// # Errors
    /// If polling fails. A fault of one connection ends that connection only.
    pub fn run(&mut self) -> Result<(), ControllerError> {
        self.event_loop.protocol.handle_start(self.event_loop.now);
        self.await_first_endpoint_set();
        self.event_loop.run()?;
        let now = self.event_loop.now;
        let recorder = self.event_loop.protocol.end(now);
        self.event_loop.apply_last_effects();
        if let Some(recorder) = recorder {
            let state = recorder.end(Micros(now));
            info!(
                recorded = state.recorded,
                lost = state.lost,
                bytes = state.bytes,
                "capture ended"
            );
        }
        Ok(())
    }

    /// Waits for the first set of the engine files, up to a limit.
    fn await_first_endpoint_set(&mut self) {
        let Some(watcher) = &self.endpoint_files else {
            return;
        };
        let update = watcher.events.recv_timeout(FIRST_ENDPOINT_SET_TIMEOUT).ok();
        self.event_loop.now = self.event_loop.clock.now();
        match update {
            Some(update) => {
                let now = self.event_loop.now;
                self.event_loop
                    .protocol
                    .handle(now, GatewayEvent::EndpointFiles(update));
            }
            None => warn!("no endpoint set available; starting without"),
        }
    }
}

impl Sockets {
    /// Binds the sockets of a configuration.
    fn bind(config: &Config) -> Result<Sockets, ControllerError> {
        let backlog = config.limits.backlog;
        Ok(Sockets {
            clients: bind_listener(config.listen, backlog)?,
            admin: config
                .admin
                .map(|address| bind_listener(address, backlog))
                .transpose()?,
            peers: config
                .peers
                .as_ref()
                .map(|p| bind_datagram_socket(p.listen, "messages"))
                .transpose()?,
            gossip: GossipSocket::bind(config)?,
        })
    }

    /// Hands the sockets to an event loop.
    fn add_to(self, event_loop: &mut EventLoop<PgGateway>) -> Result<(), ControllerError> {
        event_loop.add_listener(Listener::Clients, self.clients)?;
        if let Some(socket) = self.admin {
            event_loop.add_listener(Listener::Admin, socket)?;
        }
        if let Some(socket) = self.peers {
            event_loop.add_datagram_socket(DatagramSocket::Peers, socket)?;
        }
        if let Some(GossipSocket {
            socket,
            keys_watcher,
            ..
        }) = self.gossip
        {
            event_loop.add_datagram_socket(DatagramSocket::Gossip, socket)?;
            event_loop.add_turn_handler(Box::new(move |gateway, now| {
                while let Ok(update) = keys_watcher.updates.try_recv() {
                    gateway.handle(now, GatewayEvent::GossipKeys(update));
                }
            }));
        }
        Ok(())
    }
}

impl GossipSocket {
    /// Reads the keys and binds the socket; `None` without gossip in the configuration.
    fn bind(config: &Config) -> Result<Option<GossipSocket>, ControllerError> {
        let Some(gossip) = &config.gossip else {
            return Ok(None);
        };
        let (keys, keys_watcher) = KeysWatcher::start(&gossip.keys)?;
        let socket = bind_datagram_socket(gossip.listen, "gossip")?;
        let advertised_address = gossip.advertise.map_or_else(|| socket.local_addr(), Ok)?;
        Ok(Some(GossipSocket {
            socket,
            advertised_address,
            keys,
            keys_watcher,
        }))
    }
}

/// Makes the gateway with its driver and, where asked for, its capture.
fn start_gateway(
    config: Config,
    seed: u64,
    now: i64,
    peers: Option<SocketAddr>,
    gossip: Option<(SocketAddr, Keys)>,
    fault: Option<FaultInjection>,
) -> Result<PgGateway, ControllerError> {
    let limits = DriverLimits {
        max_queries: config.limits.queries,
        cancel_confirmation_timeout: config.timing.cancel,
    };
    let driver = Driver::new(config.settings.clone(), seed, limits);
    let recorder = start_recorder(&config, seed, limits, &driver, now)?;
    let start = Start {
        now,
        seed,
        secret: rand::random(),
        mind: Box::new(driver),
        recorder,
        peers,
        gossip,
        plant: fault,
    };
    Ok(PgGateway::new(config, start))
}

/// Hands what the watcher of the engine files receives to the gateway, woken by a byte on `wakeup`.
fn receive_endpoint_files(
    event_loop: &mut EventLoop<PgGateway>,
    watcher: EngineFileWatcher,
    wakeup: UnixStream,
) -> Result<Rc<EngineFileWatcher>, ControllerError> {
    let watcher = Rc::new(watcher);
    let (receiver, reader) = (watcher.clone(), watcher.clone());
    event_loop.add_turn_handler(Box::new(move |gateway, _| {
        if let Some(number) = gateway.take_files_request() {
            reader.read_and_report(number);
        }
    }));
    event_loop.add_wakeup(
        wakeup,
        Box::new(move |gateway, now| {
            while let Ok(update) = receiver.events.try_recv() {
                gateway.handle(now, GatewayEvent::EndpointFiles(update));
            }
        }),
    )?;
    Ok(watcher)
}
