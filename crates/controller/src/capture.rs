//! Starts the capture of the driver's inputs and answers, on disk or in memory.

use crate::error::ControllerError;
use wheelfield::interface::Micros;
use wheelfield_capture::{Limits, Recorder, RingLimits, Start, Triggers};
use wheelfield_config::Config;
use wheelfield_driver::{Driver, DriverLimits};

/// Starts the capture that a configuration asks for; `None` if it asks for none. `now` is in microseconds.
///
/// # Errors
/// [`ControllerError::Capture`].
pub(crate) fn start_recorder(
    config: &Config,
    seed: u64,
    bounds: DriverLimits,
    driver: &Driver,
    now: i64,
) -> Result<Option<Recorder>, ControllerError> {
    let Some(capture) = &config.capture else { return Ok(None) };
    let start = Start {
        build: format!("{} {}", env!("CARGO_PKG_NAME"), env!("CARGO_PKG_VERSION")),
        index: config.settings.gateway_index as u32,
        seed,
        settings: config.settings.clone(),
        bounds,
        classes: config.names.classes.clone(),
        tenants: config.names.tenants.clone(),
    };
    let limits = Limits {
        max_queued_blocks: capture.queue,
        segment_bytes: capture.segment,
        max_total_bytes: capture.keep,
        checkpoint_interval: capture.checkpoint,
        sync_interval: capture.sync,
        ..Limits::default()
    };
    let (file, now) = (&capture.file, Micros(now));
    let recorder = match &capture.ring {
        None => Recorder::begin(file, start, limits, driver, now),
        Some(ring) => {
            let ring_limits = RingLimits { max_bytes: ring.memory, min_span: ring.span };
            let triggers = Triggers {
                on_engine_ejected: ring.set_aside,
                rejected_fraction: Some(ring.refusals),
                window: ring.window,
                stall: Some(ring.stall),
                record_after: ring.after,
                cooldown: ring.rest,
            };
            Recorder::begin_in_memory(file, start, limits, (ring_limits, triggers), driver, now)
        }
    };
    recorder.map(Some).map_err(|source| ControllerError::Capture { path: file.clone(), source })
}
