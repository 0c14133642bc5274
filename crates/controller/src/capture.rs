//! Startup of the capture, which records the driver's inputs and answers on disk or in memory.

use crate::error::ControllerError;
use wheelfield::interface::Micros;
use wheelfield_capture::{Limits, Recorder, RingLimits, Start, Triggers};
use wheelfield_config::Config;
use wheelfield_driver::{Driver, DriverLimits};

/// Starts the capture that a configuration asks for. Returns `None` if the configuration has no capture. `now` is in
/// microseconds.
///
/// # Errors
/// Returns [`ControllerError::Capture`] if the capture file cannot be written.
pub(crate) fn start_recorder(
    config: &Config,
    seed: u64,
    bounds: DriverLimits,
    driver: &Driver,
    now: i64,
) -> Result<Option<Recorder>, ControllerError> {
    let Some(capture) = &config.capture else {
        return Ok(None);
    };
    let start = Start {
        build: format!("{} {}", env!("CARGO_PKG_NAME"), env!("CARGO_PKG_VERSION")),
        index: config.settings.gateway_index as u32,
        seed,
        settings: config.settings.clone(),
        driver_limits: bounds,
        classes: config.names.classes.clone(),
        tenants: config.names.tenants.clone(),
    };
    let limits = Limits {
        max_queued_blocks: capture.max_queued_blocks,
        segment_bytes: capture.segment_bytes,
        max_total_bytes: capture.max_total_bytes,
        checkpoint_interval: capture.checkpoint_interval,
        sync_interval: capture.sync_interval,
        ..Limits::default()
    };
    let (file, now) = (&capture.file, Micros(now));
    let recorder = match &capture.ring {
        None => Recorder::begin(file, start, limits, driver, now),
        Some(ring) => {
            let ring_limits = RingLimits {
                max_bytes: ring.max_bytes,
                min_duration: ring.span,
            };
            let triggers = Triggers {
                on_engine_ejected: ring.on_engine_ejected,
                rejected_fraction: Some(ring.rejected_fraction),
                window: ring.rejection_window,
                stall: Some(ring.stall_threshold),
                record_after: ring.record_after,
                cooldown: ring.cooldown,
            };
            Recorder::begin_in_memory(file, start, limits, (ring_limits, triggers), driver, now)
        }
    };
    recorder
        .map(Some)
        .map_err(|source| ControllerError::Capture {
            path: file.clone(),
            source,
        })
}
