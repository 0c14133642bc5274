//! The controller on the operators' platform, on its sockets: the same shell around [`Platform`]. It listens for clients and for
//! other controllers, and writes no file.

use crate::event_loop::{bind, bind_datagrams, Shell};
use anyhow::{Context, Result};
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};
use wheelfield_net::Clock;
use wheelfield_platform::{BootstrapConfig, Platform};
use wheelfield_sans_io::{DatagramSocket, Listener, Protocol};

/// Connections that wait to be taken, at most.
const BACKLOG: u32 = 1_024;

/// A new configuration that can't be used is read again after so long, and for so long, in microseconds.
const READ_AGAIN: i64 = 50_000;
const READ_FOR: i64 = 4_000_000;

/// When the configuration is read, and until when it is tried.
#[derive(Clone, Copy)]
struct Again {
    at: i64,
    until: i64,
    /// That it can't be used was logged.
    told: bool,
}

/// A controller on its sockets.
pub struct Node {
    shell: Shell<Platform>,
    config: PathBuf,
}

fn read(config: &Path) -> Result<String> {
    std::fs::read_to_string(config).with_context(|| format!("cannot read {}", config.display()))
}

/// Reads a configuration.
///
/// # Errors
/// If there is none there, or it can't be used.
pub fn load(config: &Path) -> Result<BootstrapConfig> {
    BootstrapConfig::parse(&read(config)?).with_context(|| format!("{}", config.display()))
}

impl Node {
    /// Opens the sockets of a configuration, which may be read anew from `config` later.
    ///
    /// # Errors
    /// As the system tells.
    pub fn open(launch: BootstrapConfig, config: &Path) -> Result<Node> {
        let clients = bind(launch.listen, BACKLOG)?;
        let peers = launch.peer_listen.map(|at| bind_datagrams(at, "messages")).transpose()?;
        let names = bind_datagrams(SocketAddr::new(launch.listen.ip(), 0), "the name service")?;
        let mut shell = Shell::new(Clock::start(), |now| Ok(Platform::new(launch, now)))?;
        shell.listen(Listener::Clients, clients)?;
        shell.hear_on(DatagramSocket::Discovery, names)?;
        if let Some(peers) = peers {
            shell.hear_on(DatagramSocket::Peers, peers)?;
        }
        Ok(Node { shell, config: config.to_path_buf() })
    }

    /// Where clients connect; none once it listens no longer.
    pub fn address(&self) -> Option<SocketAddr> {
        self.shell.address(Listener::Clients)
    }

    /// A byte on this stream asks the controller to stop: it serves those who do not know yet, answers what it has, and ends.
    ///
    /// # Errors
    /// As the system tells.
    pub fn stop_on(&mut self, signal: UnixStream) -> Result<()> {
        self.shell.bell(signal, Box::new(|core, now| core.begin_shutdown(now)))
    }

    /// Each byte on this stream has the configuration read anew. One that can't be used changes nothing, and is read again for
    /// some seconds: it may be half written, and no further signal come.
    ///
    /// # Errors
    /// As the system tells.
    pub fn reload_on(&mut self, signal: UnixStream) -> Result<()> {
        let config = self.config.clone();
        let again: Rc<Cell<Option<Again>>> = Rc::default();
        let asked = again.clone();
        let reload = move |core: &mut Platform, now: i64| {
            let Some(Again { until, told, .. }) = again.get().filter(|a| a.at <= now) else { return };
            again.set(None);
            match read(&config).and_then(|text| Ok(BootstrapConfig::parse_resolver(&text)?)) {
                Ok(resolver) => core.use_resolver(now, resolver),
                Err(fault) => {
                    if !told {
                        warn!("the configuration stays as it is: {fault:#}");
                    }
                    again.set((now < until).then_some(Again { at: now + READ_AGAIN, until, told: true }));
                }
            }
        };
        self.shell.each_turn(Box::new(reload));
        self.shell.bell(
            signal,
            Box::new(move |_, now| asked.set(Some(Again { at: now, until: now + READ_FOR, told: false }))),
        )
    }

    /// Serves until asked to stop and all is answered.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn run(&mut self) -> Result<()> {
        info!(listen = ?self.address(), "started");
        self.shell.core.handle_start(self.shell.now);
        self.shell.run()?;
        info!("stopped");
        Ok(())
    }
}
