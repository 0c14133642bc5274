//! The capture of what the driver is told and answers, on the disk or in memory.

use anyhow::{Context, Result};
use wheelfield::interface::Micros;
use wheelfield_capture::{Recorder, Start};
use wheelfield_config::Config;
use wheelfield_driver::{Driver, DriverLimits};

/// Begins the capture that a configuration asks for.
pub(crate) fn begin(
    config: &Config,
    seed: u64,
    bounds: DriverLimits,
    driver: &Driver,
    now: i64,
) -> Result<Option<Recorder>> {
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
    let limits = wheelfield_capture::Limits {
        queue: capture.queue,
        segment: capture.segment,
        keep: capture.keep,
        checkpoint: capture.checkpoint,
        sync: capture.sync,
        ..wheelfield_capture::Limits::default()
    };
    let (file, now) = (&capture.file, Micros(now));
    let recorder = match &capture.ring {
        None => Recorder::begin(file, start, limits, driver, now),
        Some(r) => {
            let ring = wheelfield_capture::RingLimits { bytes: r.memory, span: r.span };
            let triggers = wheelfield_capture::Triggers {
                set_aside: r.set_aside,
                refusals: Some(r.refusals),
                window: r.window,
                stall: Some(r.stall),
                after: r.after,
                rest: r.rest,
            };
            Recorder::ring(file, start, limits, (ring, triggers), driver, now)
        }
    };
    let recorder = recorder.with_context(|| format!("cannot write the capture {}", file.display()))?;
    Ok(Some(recorder))
}
