//! `[capture]`: the recording of the driver's inputs and outputs.

use super::source::{seconds, ConfigResult, Source};
use crate::model::{Capture, RingCapture};
use crate::schema::{self, CaptureMode};
use crate::units::Size;
use toml::Spanned;

const MIN_SIZE_BYTES: u64 = 1 << 20;
const DEFAULT_SEGMENT_BYTES: u64 = 256 << 20;
const DEFAULT_MAX_TOTAL_BYTES: u64 = 4 << 30;
const DEFAULT_RING_BYTES: u64 = 64 << 20;
const DEFAULT_QUEUED_BLOCKS: usize = 64;
const DEFAULT_REJECTED_FRACTION: f64 = 0.3;

/// Validates `[capture]`. All keys are checked regardless of the mode; returns `None` if the capture is off.
pub(super) fn validate(
    source: &Source<'_>,
    section: &schema::Capture,
) -> ConfigResult<Option<Capture>> {
    let file_name = section.file.get_ref();
    if !file_name.ends_with(".wfcap") {
        let problem = format!("the capture file `{file_name}` does not end in .wfcap");
        return Err(source.error(
            &section.file,
            problem,
            "use a file name that ends in .wfcap",
        ));
    }
    let ring = validate_ring(source, section)?;
    let capture = Capture {
        file: file_name.into(),
        segment_bytes: size_or(
            source,
            section.segment_bytes.as_ref(),
            DEFAULT_SEGMENT_BYTES,
        )?,
        max_total_bytes: size_or(
            source,
            section.max_total_bytes.as_ref(),
            DEFAULT_MAX_TOTAL_BYTES,
        )?,
        checkpoint_interval: source.time_or(
            section.checkpoint_interval.as_ref(),
            seconds(60),
            "checkpoint",
        )?,
        sync_interval: source.time_or(section.sync_interval.as_ref(), seconds(1), "sync")?,
        max_queued_blocks: match &section.max_queued_blocks {
            Some(blocks) => (*blocks.get_ref()).clamp(2, 65_536) as usize,
            None => DEFAULT_QUEUED_BLOCKS,
        },
        ring: (section.mode == CaptureMode::Ring).then_some(ring),
    };
    if capture.ring.is_none() && capture.max_total_bytes < capture.segment_bytes {
        let suggestion = "make `keep` at least `segment`";
        return Err(source.error(&section.file, "`keep` is less than one segment", suggestion));
    }
    Ok((section.mode != CaptureMode::Off).then_some(capture))
}

fn validate_ring(source: &Source<'_>, section: &schema::Capture) -> ConfigResult<RingCapture> {
    let triggers = &section.triggers;
    let rejected_fraction_suggestion = "write a fraction from 0 to 1; 1 disables this trigger";
    Ok(RingCapture {
        max_bytes: size_or(source, section.ring_bytes.as_ref(), DEFAULT_RING_BYTES)?,
        span: source.time_or(section.ring_span.as_ref(), seconds(600), "span")?,
        on_engine_ejected: triggers.on_engine_ejected.unwrap_or(true),
        rejected_fraction: source.fraction_or(
            triggers.rejected_fraction.as_ref(),
            DEFAULT_REJECTED_FRACTION,
            rejected_fraction_suggestion,
        )?,
        rejection_window: source.time_or(
            triggers.rejection_window.as_ref(),
            seconds(10),
            "window",
        )?,
        stall_threshold: source.time_or(triggers.stall_threshold.as_ref(), seconds(1), "stall")?,
        record_after: source.time_or(triggers.record_after.as_ref(), seconds(5), "after")?,
        cooldown: source.time_or(triggers.cooldown.as_ref(), seconds(300), "rest")?,
    })
}

fn size_or(
    source: &Source<'_>,
    spanned: Option<&Spanned<Size>>,
    default: u64,
) -> ConfigResult<u64> {
    match spanned {
        None => Ok(default),
        Some(spanned) if spanned.get_ref().0 >= MIN_SIZE_BYTES => Ok(spanned.get_ref().0),
        Some(spanned) => Err(source.error(
            spanned,
            "the size is under 1MB",
            "write a size of at least \"1MB\"",
        )),
    }
}
