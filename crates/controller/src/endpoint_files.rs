//! Startup of the watcher of the engine files.

use crate::error::ControllerError;
use std::os::unix::net::UnixStream;
use wheelfield_config::Config;
use wheelfield_endpoints::activation::ActivationPolicy;
use wheelfield_endpoints::file::Topology;
use wheelfield_endpoints_cli::disk::FileSource;
use wheelfield_endpoints_cli::{EngineFileWatcher, WatchConfig};
use wheelfield_net::Clock;

/// Starts watching the engine files of a configuration. Returns `None` if the configuration names no files. A byte on the
/// returned stream means that the watcher has an update to receive.
///
/// # Errors
/// Returns [`ControllerError::WatchEngineFiles`], or [`ControllerError::Io`] if the stream cannot be created.
pub(crate) fn watch_endpoint_files(
    config: &Config,
    clock: Clock,
) -> Result<Option<(EngineFileWatcher, UnixStream)>, ControllerError> {
    let Some(endpoint_files) = &config.endpoint_files else {
        return Ok(None);
    };
    let policy = ActivationPolicy {
        settle_time: endpoint_files.settle_time,
        max_lost_fraction: endpoint_files.max_lost_fraction,
        hold: endpoint_files.hold_duration,
        id_reuse_delay: endpoint_files.id_reuse_delay,
    };
    let names = Topology {
        names: config.names.clone(),
        cores: config.settings.cores.clone(),
        accept_unknown_names: false,
    };
    let watch = WatchConfig {
        sources: endpoint_files
            .files
            .iter()
            .cloned()
            .map(FileSource)
            .collect(),
        poll_interval: endpoint_files.poll_interval,
        policy,
        topology: names,
        last_good: endpoint_files.last_good_file.clone(),
    };
    let (wakeup, notifier) = UnixStream::pair()?;
    notifier.set_nonblocking(true)?;
    let watcher = EngineFileWatcher::start(watch, clock, notifier)
        .map_err(|source| ControllerError::WatchEngineFiles { source })?;
    Ok(Some((watcher, wakeup)))
}
