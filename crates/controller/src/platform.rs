//! The controller on the operators' platform: [`Platform`] on its sockets. It listens for clients and for other controllers,
//! and writes no file.

use crate::bind::{bind_datagram_socket, bind_listener};
use crate::error::{error_chain, ControllerError};
use crate::event_loop::EventLoop;
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};
use wheelfield_net::Clock;
use wheelfield_platform::{BootstrapConfig, BootstrapError, Platform};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// Connections that wait to be accepted, at most.
const BACKLOG: u32 = 1_024;
/// A new configuration that can't be used is read again after this delay, in microseconds.
const RELOAD_RETRY_DELAY_US: i64 = 50_000;
/// The longest such delay: it doubles with each failure.
const MAX_RELOAD_RETRY_DELAY_US: i64 = 1_000_000;

/// A configuration, the file that it was read from, and when: the list of executors in it is that old.
pub struct Launch {
    config: BootstrapConfig,
    config_file: PathBuf,
    clock: Clock,
    /// By the clock, in microseconds.
    read_at: i64,
}

/// A controller on the platform, on its sockets.
pub struct PlatformController {
    event_loop: EventLoop<Platform>,
    config_file: PathBuf,
}

/// Reads a configuration.
///
/// # Errors
/// [`ControllerError::ReadFile`] or [`ControllerError::Configuration`].
pub fn load(config_file: &Path) -> Result<Launch, ControllerError> {
    let clock = Clock::start();
    let read_at = clock.now();
    let text = read_file(config_file)?;
    let config = BootstrapConfig::parse(&text).map_err(configuration_error(config_file))?;
    Ok(Launch {
        config,
        config_file: config_file.to_path_buf(),
        clock,
        read_at,
    })
}

impl PlatformController {
    /// Opens the sockets of a configuration, which may be read again from its file later.
    ///
    /// # Errors
    /// [`ControllerError`], if a socket can't be had.
    pub fn open(launch: &Launch) -> Result<PlatformController, ControllerError> {
        let config = &launch.config;
        let clients = bind_listener(config.listen, BACKLOG)?;
        let peers = config
            .peer_listen
            .map(|at| bind_datagram_socket(at, "messages"))
            .transpose()?;
        let discovery =
            bind_datagram_socket(SocketAddr::new(config.listen.ip(), 0), "the name service")?;
        let platform = Platform::new(config.clone(), launch.read_at);
        let mut event_loop = EventLoop::new(launch.clock, launch.clock.now(), platform)?;
        event_loop.add_listener(Listener::Clients, clients)?;
        event_loop.add_datagram_socket(DatagramSocket::Discovery, discovery)?;
        if let Some(peers) = peers {
            event_loop.add_datagram_socket(DatagramSocket::Peers, peers)?;
        }
        Ok(PlatformController {
            event_loop,
            config_file: launch.config_file.clone(),
        })
    }

    /// Plants a fault for the soak to find.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: wheelfield_platform::InjectedFault) {
        self.event_loop.protocol.inject_fault(fault);
    }

    /// Where clients connect; `None` once it listens no longer.
    pub fn address(&self) -> Option<SocketAddr> {
        self.event_loop.listener_address(Listener::Clients)
    }

    /// A byte on this stream begins a graceful shutdown: the controller serves clients that do not know of it yet, answers
    /// the queries it has, and ends.
    ///
    /// # Errors
    /// If the stream cannot be registered.
    pub fn shut_down_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        Ok(self.event_loop.add_wakeup(
            signal,
            Box::new(|platform, now| platform.begin_shutdown(now)),
        )?)
    }

    /// Each byte on this stream has the configuration read again. One that can't be used changes nothing and is read again
    /// until it can: it may be half written or unreadable for a while, and no further signal may come.
    ///
    /// # Errors
    /// If the stream cannot be registered.
    pub fn reload_on(&mut self, signal: UnixStream) -> Result<(), ControllerError> {
        let config_file = self.config_file.clone();
        let pending: Rc<Cell<Option<Reload>>> = Rc::default();
        let requested = pending.clone();
        self.event_loop
            .add_turn_handler(Box::new(move |platform, now| {
                if let Some(reload) = pending.get().filter(|reload| reload.next_attempt_at <= now) {
                    pending.set(reload.attempt(&config_file, platform, now));
                }
            }));
        let request = move |_: &mut Platform, now| requested.set(Some(Reload::requested_at(now)));
        Ok(self.event_loop.add_wakeup(signal, Box::new(request))?)
    }

    /// Serves until a shutdown was requested and all is answered.
    ///
    /// # Errors
    /// If polling fails. A fault of one connection ends that connection only.
    pub fn run(&mut self) -> Result<(), ControllerError> {
        info!(listen = ?self.address(), "started");
        self.event_loop.protocol.handle_start(self.event_loop.now);
        self.event_loop.run()?;
        info!("stopped");
        Ok(())
    }
}

/// A reload of the configuration that was requested. Times are in microseconds.
#[derive(Clone, Copy)]
struct Reload {
    next_attempt_at: i64,
    /// Delay after the next failure.
    retry_delay: i64,
    failure_logged: bool,
}

impl Reload {
    fn requested_at(now: i64) -> Reload {
        Reload {
            next_attempt_at: now,
            retry_delay: RELOAD_RETRY_DELAY_US,
            failure_logged: false,
        }
    }

    /// Reads the configuration and uses its name service. Returns the retry, if there is to be one; the first failure is
    /// logged.
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
                        "configuration reload failed; keeping previous"
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
