//! Retries of the startup of a controller while the system is temporarily out of ports, descriptors or memory.

use crate::error::ControllerError;
use std::io::Read as _;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use tracing::warn;

/// Time for which operations are retried. A controller must be ready within 30 s of its start.
const MAX_RETRY_TIME: Duration = Duration::from_secs(25);
/// Delay between two tries of an operation.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retries the operations of the startup as long as their errors are transient.
#[derive(Debug)]
pub struct Startup {
    retry_until: Instant,
    shutdown: UnixStream,
}

impl Startup {
    /// Begins the startup. A byte on `shutdown` aborts it.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be duplicated or made non-blocking.
    pub fn new(shutdown: &UnixStream) -> Result<Startup, ControllerError> {
        let shutdown = shutdown.try_clone()?;
        shutdown.set_nonblocking(true)?;
        Ok(Startup {
            retry_until: Instant::now() + MAX_RETRY_TIME,
            shutdown,
        })
    }

    /// Runs an operation, and again while its error is transient. Returns `None` if a shutdown is requested meanwhile.
    ///
    /// # Errors
    /// Returns the error of the operation if it is permanent or persists until the time for retries is over.
    pub fn retry<T>(
        &mut self,
        mut operation: impl FnMut() -> Result<T, ControllerError>,
    ) -> Result<Option<T>, ControllerError> {
        let mut failure_logged = false;
        loop {
            match operation() {
                Ok(result) => return Ok(Some(result)),
                Err(error) if !error.is_transient() || Instant::now() >= self.retry_until => {
                    return Err(error)
                }
                Err(error) => {
                    if !std::mem::replace(&mut failure_logged, true) {
                        let error = crate::error::error_chain(&error);
                        warn!(
                            error,
                            "startup step failed with a transient error; retrying"
                        );
                    }
                }
            }
            if matches!(self.shutdown.read(&mut [0]), Ok(n) if n > 0) {
                return Ok(None);
            }
            std::thread::sleep(RETRY_DELAY);
        }
    }
}
