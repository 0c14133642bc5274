//! Startup of the watcher of the engine files.

use crate::error::ControllerError;
use std::os::unix::net::UnixStream;
use wheelfield_config::Config;
use wheelfield_endpoints::file::Places;
use wheelfield_endpoints::keeper::Policy;
use wheelfield_endpoints_cli::disk::Place;
use wheelfield_endpoints_cli::{Watch, Watching};
use wheelfield_net::Clock;

/// Starts watching the engine files of a configuration. Returns `None` if the configuration names no files. A byte on the
/// returned stream means that the watcher has an update to receive.
///
/// # Errors
/// Returns [`ControllerError::WatchEngineFiles`], or [`ControllerError::Io`] if the stream cannot be created.
pub(crate) fn watch_endpoint_files(
    config: &Config,
    clock: Clock,
) -> Result<Option<(Watching, UnixStream)>, ControllerError> {
    let Some(endpoint_files) = &config.endpoint_files else {
        return Ok(None);
    };
    let policy = Policy {
        settle: endpoint_files.settle_time,
        most_lost: endpoint_files.max_lost_fraction,
        hold: endpoint_files.hold_duration,
        reuse_after: endpoint_files.id_reuse_delay,
    };
    let names = Places {
        names: config.names.clone(),
        cores: config.settings.cores.clone(),
        open: false,
    };
    let watch = Watch {
        places: endpoint_files.files.iter().cloned().map(Place).collect(),
        poll: endpoint_files.poll_interval,
        policy,
        names,
        last_good: endpoint_files.last_good_file.clone(),
    };
    let (wakeup, notifier) = UnixStream::pair()?;
    notifier.set_nonblocking(true)?;
    let watcher = Watching::begin(watch, clock, notifier)
        .map_err(|source| ControllerError::WatchEngineFiles { source })?;
    Ok(Some((watcher, wakeup)))
}
