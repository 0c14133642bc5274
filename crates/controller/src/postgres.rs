//! The controller for PostgreSQL clients: runs [`PgGateway`] on real sockets, with its engine files, gossip keys and capture.

use crate::bind::{bind_datagram_socket, bind_listener};
use crate::capture::start_recorder;
use crate::endpoint_files::watch_endpoint_files;
use crate::error::ControllerError;
use crate::event_loop::EventLoop;
use crate::gossip_keys::KeysWatcher;
use crate::signals::Signals;
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
use wheelfield_pg_gateway::{GatewayEvent, PgGateway, PgGatewayOptions};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// Maximum time for which the startup waits for the first set of endpoints from the engine files.
const FIRST_ENDPOINT_SET_TIMEOUT: Duration = Duration::from_secs(2);

/// A controller for PostgreSQL clients with its sockets.
pub struct PostgresController {
    event_loop: EventLoop<PgGateway>,
    endpoint_files: Option<Rc<EngineFileWatcher>>,
    gossip_keys: Option<Rc<KeysWatcher>>,
}

/// The sockets that a configuration names.
struct Sockets {
    clients: TcpListener,
    admin: Option<TcpListener>,
    peers: Option<UdpSocket>,
    gossip: Option<GossipSocket>,
}

/// The gossip socket, its advertised address and its keys.
struct GossipSocket {
    socket: UdpSocket,
    /// The address at which the other controllers reach this one.
    advertised_address: SocketAddr,
    keys: Keys,
    keys_watcher: KeysWatcher,
}

impl PostgresController {
    /// Opens the sockets that a configuration names and creates the gateway. The same seed and inputs produce the same
    /// decisions.
    ///
    /// # Errors
    /// Returns [`ControllerError`] if a socket or file cannot be opened or a thread cannot be started.
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
        let gossip_keys = sockets.register_with(&mut event_loop)?;
        let endpoint_files = match endpoint_files {
            Some((watcher, wakeup)) => {
                Some(receive_endpoint_files(&mut event_loop, watcher, wakeup)?)
            }
            None => None,
        };
        Ok(PostgresController {
            event_loop,
            endpoint_files,
            gossip_keys,
        })
    }

    /// Returns the address on which the controller accepts clients.
    ///
    /// # Errors
    /// Returns [`ControllerError::NotListening`] once the listener is closed.
    pub fn address(&self) -> Result<SocketAddr, ControllerError> {
        self.event_loop
            .listener_address(Listener::Clients)
            .ok_or(ControllerError::NotListening)
    }

    /// Returns the addresses of all sockets as JSON, for the parent process.
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

    /// Begins a graceful shutdown when a byte arrives on this stream. The controller accepts no new clients, answers the
    /// queries that it has accepted, and stops.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn shut_down_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        Ok(self
            .event_loop
            .add_wakeup(signal, Box::new(|gateway, now| gateway.begin_shutdown(now)))?)
    }

    /// Writes the in-memory capture to disk whenever a byte arrives on this stream.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn write_capture_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        let write_capture =
            |gateway: &mut PgGateway, now| gateway.handle(now, GatewayEvent::CaptureRequested);
        Ok(self
            .event_loop
            .add_wakeup(signal, Box::new(write_capture))?)
    }

    /// Reads the engine files and the gossip keys whenever a byte arrives on this stream. Nothing else of the configuration is read
    /// again.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn reload_files_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        let (endpoint_files, gossip_keys) = (self.endpoint_files.clone(), self.gossip_keys.clone());
        let reload = move |_: &mut PgGateway, _| {
            info!("reading engine files and gossip keys; other changes of the configuration need a restart");
            if let Some(watcher) = &endpoint_files {
                watcher.request_read();
            }
            if let Some(watcher) = &gossip_keys {
                watcher.request_read();
            }
        };
        Ok(self.event_loop.add_wakeup(signal, Box::new(reload))?)
    }

    /// Handles the signals of the process.
    ///
    /// # Errors
    /// Returns an error if a stream cannot be registered.
    pub fn handle_signals(&mut self, signals: Signals) -> Result<(), ControllerError> {
        self.shut_down_on(signals.shutdown)?;
        self.reload_files_on(signals.reload)?;
        if let Some(write_capture) = signals.write_capture {
            self.write_capture_on(write_capture)?;
        }
        let unused = signals.unused;
        self.event_loop
            .add_iteration_handler(Box::new(move |_, _| unused.log_received()));
        Ok(())
    }

    /// Serves until a shutdown was requested and all accepted queries are answered.
    ///
    /// # Errors
    /// Returns an error if polling fails. An error of a connection closes only that connection.
    pub fn run(&mut self) -> Result<(), ControllerError> {
        self.event_loop.protocol.handle_start(self.event_loop.now);
        self.wait_for_first_endpoint_set();
        self.event_loop.run()?;
        let now = self.event_loop.now;
        let recorder = self.event_loop.protocol.end(now);
        self.event_loop.apply_last_effects();
        if let Some(recorder) = recorder {
            let state = recorder.finish(Micros(now));
            info!(
                recorded = state.recorded,
                lost = state.lost,
                bytes = state.written_bytes,
                "capture ended"
            );
        }
        Ok(())
    }

    /// Waits up to [`FIRST_ENDPOINT_SET_TIMEOUT`] for the first set of endpoints from the engine files.
    fn wait_for_first_endpoint_set(&mut self) {
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
            None => warn!("no endpoint set read from the engine files yet; starting without one"),
        }
    }
}

impl Sockets {
    /// Binds the sockets that a configuration names.
    fn bind(config: &Config) -> Result<Sockets, ControllerError> {
        let backlog = config.limits.listen_backlog;
        Ok(Sockets {
            clients: bind_listener(config.listen, backlog)?,
            admin: config
                .admin
                .map(|address| bind_listener(address, backlog))
                .transpose()?,
            peers: config
                .peers
                .as_ref()
                .map(|p| bind_datagram_socket(p.listen, "peer messages"))
                .transpose()?,
            gossip: GossipSocket::bind(config)?,
        })
    }

    /// Registers the sockets with an event loop. Returns the watcher of the gossip keys, if the configuration has gossip.
    fn register_with(
        self,
        event_loop: &mut EventLoop<PgGateway>,
    ) -> Result<Option<Rc<KeysWatcher>>, ControllerError> {
        event_loop.add_listener(Listener::Clients, self.clients)?;
        if let Some(socket) = self.admin {
            event_loop.add_listener(Listener::Admin, socket)?;
        }
        if let Some(socket) = self.peers {
            event_loop.add_datagram_socket(DatagramSocket::Peers, socket)?;
        }
        let Some(gossip) = self.gossip else {
            return Ok(None);
        };
        event_loop.add_datagram_socket(DatagramSocket::Gossip, gossip.socket)?;
        let keys_watcher = Rc::new(gossip.keys_watcher);
        let update_watcher = keys_watcher.clone();
        event_loop.add_iteration_handler(Box::new(move |gateway, now| {
            while let Ok(update) = update_watcher.updates.try_recv() {
                gateway.handle(now, GatewayEvent::GossipKeys(update));
            }
        }));
        Ok(Some(keys_watcher))
    }
}

impl GossipSocket {
    /// Reads the keys and binds the socket. Returns `None` if the configuration has no gossip.
    fn bind(config: &Config) -> Result<Option<GossipSocket>, ControllerError> {
        let Some(gossip) = &config.gossip else {
            return Ok(None);
        };
        let (keys, keys_watcher) = KeysWatcher::start(&gossip.keys_file)?;
        let socket = bind_datagram_socket(gossip.listen, "gossip")?;
        let advertised_address = gossip
            .advertised_address
            .map_or_else(|| socket.local_addr(), Ok)?;
        Ok(Some(GossipSocket {
            socket,
            advertised_address,
            keys,
            keys_watcher,
        }))
    }
}

/// Creates the gateway with its driver and, if the configuration asks for one, its capture.
fn start_gateway(
    config: Config,
    seed: u64,
    now: i64,
    peers: Option<SocketAddr>,
    gossip: Option<(SocketAddr, Keys)>,
    fault: Option<FaultInjection>,
) -> Result<PgGateway, ControllerError> {
    let limits = DriverLimits {
        max_queries: config.limits.max_queries,
        cancel_confirmation_timeout: config.timing.cancel_timeout,
    };
    let driver = Driver::new(config.settings.clone(), seed, limits);
    let recorder = start_recorder(&config, seed, limits, &driver, now)?;
    let start = PgGatewayOptions {
        now,
        seed,
        cancel_key_seed: rand::random(),
        decision_engine: Box::new(driver),
        recorder,
        peer_address: peers,
        gossip,
        fault,
    };
    Ok(PgGateway::new(config, start))
}

/// Passes the updates of the engine file watcher to the gateway. A byte on `wakeup` means that an update is available.
fn receive_endpoint_files(
    event_loop: &mut EventLoop<PgGateway>,
    watcher: EngineFileWatcher,
    wakeup: UnixStream,
) -> Result<Rc<EngineFileWatcher>, ControllerError> {
    let watcher = Rc::new(watcher);
    let (update_watcher, request_watcher) = (watcher.clone(), watcher.clone());
    event_loop.add_iteration_handler(Box::new(move |gateway, _| {
        if let Some(number) = gateway.take_files_request() {
            request_watcher.read_and_report(number);
        }
    }));
    event_loop.add_wakeup(
        wakeup,
        Box::new(move |gateway, now| {
            while let Ok(update) = update_watcher.events.try_recv() {
                gateway.handle(now, GatewayEvent::EndpointFiles(update));
            }
        }),
    )?;
    Ok(watcher)
}
