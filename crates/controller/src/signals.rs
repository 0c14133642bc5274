//! The signals that a controller handles. The default action of most signals ends a process at once, with all queries that it has
//! accepted, so they are handled from the start of the process on.

use signal_hook::consts::{SIGALRM, SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2, SIGXFSZ};
use signal_hook::low_level::{pipe, signal_name};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tracing::info;

/// The signals that have no effect on any controller.
const UNUSED_SIGNALS: [i32; 3] = [SIGUSR2, SIGALRM, SIGXFSZ];

/// The signals of a controller. A handler writes a byte to the stream of a signal.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM and SIGINT, which request a graceful shutdown.
    pub shutdown: UnixStream,
    /// SIGHUP, which requests that files are read again.
    pub reload: UnixStream,
    /// SIGUSR1, which requests that the in-memory capture is written; `None` if it has no effect.
    pub write_capture: Option<UnixStream>,
    /// The signals that have no effect.
    pub unused: UnusedSignals,
}

impl Signals {
    /// Installs the handlers of a controller for PostgreSQL clients.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn install_for_postgres() -> io::Result<Signals> {
        Ok(Signals {
            shutdown: stream(&[SIGTERM, SIGINT])?,
            reload: stream(&[SIGHUP])?,
            write_capture: Some(stream(&[SIGUSR1])?),
            unused: UnusedSignals::install(&UNUSED_SIGNALS)?,
        })
    }

    /// Installs the handlers of a controller on the platform, which keeps no capture.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn install_for_platform() -> io::Result<Signals> {
        let mut unused = UNUSED_SIGNALS.to_vec();
        unused.push(SIGUSR1);
        Ok(Signals {
            shutdown: stream(&[SIGTERM, SIGINT])?,
            reload: stream(&[SIGHUP])?,
            write_capture: None,
            unused: UnusedSignals::install(&unused)?,
        })
    }
}

/// Returns a stream to which each of these signals writes a byte.
fn stream(signals: &[i32]) -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    for signal in signals {
        pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}

/// Signals that have no effect, and whether each was received.
#[derive(Debug)]
pub struct UnusedSignals(Vec<(i32, Arc<AtomicBool>)>);

impl UnusedSignals {
    fn install(signals: &[i32]) -> io::Result<UnusedSignals> {
        let install = |signal: &i32| {
            let is_received = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(*signal, is_received.clone())?;
            Ok((*signal, is_received))
        };
        signals
            .iter()
            .map(install)
            .collect::<io::Result<_>>()
            .map(UnusedSignals)
    }

    /// Logs each signal that was received since the last call.
    pub(crate) fn log_received(&self) {
        for (signal, is_received) in &self.0 {
            if is_received.swap(false, Ordering::SeqCst) {
                let signal = signal_name(*signal).unwrap_or("unknown");
                info!(signal, "signal ignored");
            }
        }
    }
}
