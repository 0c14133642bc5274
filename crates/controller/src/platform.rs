//! The controller on the operators' platform: runs [`Platform`] on real sockets. It listens for clients and for other
//! controllers, and writes no file.

use crate::bind::{bind_datagram_socket, bind_listener};
use crate::error::{error_chain, ControllerError};
use crate::event_loop::EventLoop;
use crate::signals::UnusedSignals;
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};
use wheelfield_net::Clock;
use wheelfield_platform::{BootstrapConfig, BootstrapError, Platform};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// Maximum number of connections in the backlog of the listening socket.
const BACKLOG: u32 = 1_024;
/// Delay before a failed reload of the configuration is retried for the first time, in microseconds. It doubles with each
/// failure.
const RELOAD_RETRY_DELAY_US: i64 = 50_000;
/// Maximum delay between two tries of a reload, in microseconds.
const MAX_RELOAD_RETRY_DELAY_US: i64 = 1_000_000;

/// A configuration with the file that it was read from and the time when it was read, which determines the age of the
/// configured list of executors.
pub struct LoadedConfig {
    config: BootstrapConfig,
    config_file: PathBuf,
    clock: Clock,
    /// When the file was read, by `clock`, in microseconds.
    read_at: i64,
}

/// A controller on the operators' platform with its sockets.
pub struct PlatformController {
    event_loop: EventLoop<Platform>,
    config_file: PathBuf,
}

/// Reads a configuration.
///
/// # Errors
/// Returns [`ControllerError::ReadFile`] if the file cannot be read, or [`ControllerError::Configuration`] if it is invalid.
pub fn load_config(config_file: &Path) -> Result<LoadedConfig, ControllerError> {
    let clock = Clock::start();
    let read_at = clock.now();
    let text = read_file(config_file)?;
    let config = BootstrapConfig::parse(&text).map_err(configuration_error(config_file))?;
    Ok(LoadedConfig {
        config,
        config_file: config_file.to_path_buf(),
        clock,
        read_at,
    })
}

impl PlatformController {
    /// Opens the sockets that a configuration names. The path of the file is kept for reloads.
    ///
    /// # Errors
    /// Returns [`ControllerError`] if a socket cannot be opened.
    pub fn open(loaded: &LoadedConfig) -> Result<PlatformController, ControllerError> {
        let config = &loaded.config;
        let clients = bind_listener(config.listen, BACKLOG)?;
        let peers = config
            .peer_listen
            .map(|at| bind_datagram_socket(at, "peer messages"))
            .transpose()?;
        let discovery = bind_datagram_socket(
            SocketAddr::new(config.listen.ip(), 0),
            "name service responses",
        )?;
        let platform = Platform::new(config.clone(), loaded.read_at);
        let mut event_loop = EventLoop::new(loaded.clock, loaded.clock.now(), platform)?;
        event_loop.add_listener(Listener::Clients, clients)?;
        event_loop.add_datagram_socket(DatagramSocket::Discovery, discovery)?;
        if let Some(peers) = peers {
            event_loop.add_datagram_socket(DatagramSocket::Peers, peers)?;
        }
        Ok(PlatformController {
            event_loop,
            config_file: loaded.config_file.clone(),
        })
    }

    /// Injects a fault that the soak test must detect.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: wheelfield_platform::InjectedFault) {
        self.event_loop.protocol.inject_fault(fault);
    }

    /// Returns the address on which the controller accepts clients, or `None` once the listener is closed.
    pub fn address(&self) -> Option<SocketAddr> {
        self.event_loop.listener_address(Listener::Clients)
    }

    /// Begins a graceful shutdown when a byte arrives on this stream. The controller still serves clients that do not know of
    /// the shutdown yet, answers the queries that it has accepted, and stops.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn shut_down_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        Ok(self.event_loop.add_wakeup(
            signal,
            Box::new(|platform, now| platform.begin_shutdown(now)),
        )?)
    }

    /// Reloads the configuration whenever a byte arrives on this stream. An invalid configuration changes nothing and is read
    /// again until it is valid: the file may be half written or unreadable for a while, and no further signal may follow.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn reload_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        let config_file = self.config_file.clone();
        let pending: Rc<Cell<Option<Reload>>> = Rc::default();
        let requested = pending.clone();
        self.event_loop
            .add_iteration_handler(Box::new(move |platform, now| {
                if let Some(reload) = pending.get().filter(|reload| reload.next_attempt_at <= now) {
                    pending.set(reload.attempt(&config_file, platform, now));
                }
            }));
        let request = move |_: &mut Platform, now| requested.set(Some(Reload::new(now)));
        Ok(self.event_loop.add_wakeup(signal, Box::new(request))?)
    }

    /// Logs the signals that have no effect.
    pub fn log_unused_signals(&mut self, unused: UnusedSignals) {
        self.event_loop
            .add_iteration_handler(Box::new(move |_, _| unused.log_received()));
    }

    /// Serves until a shutdown was requested and all accepted queries are answered.
    ///
    /// # Errors
    /// Returns an error if polling fails. An error of a connection closes only that connection.
    pub fn run(&mut self) -> Result<(), ControllerError> {
        info!(listen = ?self.address(), "started");
        self.event_loop.protocol.handle_start(self.event_loop.now);
        self.event_loop.run()?;
        info!("stopped");
        Ok(())
    }
}

/// A requested reload of the configuration. Times are in microseconds.
#[derive(Clone, Copy)]
struct Reload {
    next_attempt_at: i64,
    /// Delay before the retry that follows the next failure.
    retry_delay: i64,
    failure_logged: bool,
}

impl Reload {
    fn new(now: i64) -> Reload {
        Reload {
            next_attempt_at: now,
            retry_delay: RELOAD_RETRY_DELAY_US,
            failure_logged: false,
        }
    }

    /// Reads the configuration and switches to its name service. If that fails, returns the reload with the time of its next
    /// try. Only the first failure is logged.
    fn attempt(self, config_file: &Path, platform: &mut Platform, now: i64) -> Option<Reload> {
        match read_resolver(config_file) {
            Ok(resolver) => {
                platform.use_resolver(now, resolver);
                None
            }
            Err(error) => {
                if !self.failure_logged {
                    warn!(
                        error = error_chain(&error),
                        "configuration reload failed; keeping the previous configuration"
                    );
                }
                Some(Reload {
                    next_attempt_at: now + self.retry_delay,
                    retry_delay: (2 * self.retry_delay).min(MAX_RELOAD_RETRY_DELAY_US),
                    failure_logged: true,
                })
            }
        }
    }
}

/// Reads the address of the name service from a configuration.
fn read_resolver(config_file: &Path) -> Result<SocketAddr, ControllerError> {
    let text = read_file(config_file)?;
    BootstrapConfig::parse_resolver(&text).map_err(configuration_error(config_file))
}

fn read_file(path: &Path) -> Result<String, ControllerError> {
    std::fs::read_to_string(path).map_err(ControllerError::read_file(path))
}

fn configuration_error(path: &Path) -> impl FnOnce(BootstrapError) -> ControllerError + '_ {
    |source| ControllerError::Configuration {
        path: path.to_path_buf(),
        source,
    }
}
