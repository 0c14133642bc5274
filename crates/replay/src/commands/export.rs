//! `export`: prints each step as a line of JSON, the format that `diff` reads from another build.

use super::{open_over_gaps, Outcome};
use anyhow::Result;
use std::io::{BufWriter, Write};
use std::path::Path;

/// Prints the steps of a capture with the recorded answers, or with the answers of this build if `replayed` is set.
pub fn export_steps(file: &Path, replayed: bool) -> Result<Outcome> {
    let mut player = open_over_gaps(file)?;
    let mut out = BufWriter::new(std::io::stdout().lock());
    while let Some(step) = player.next_step()? {
        let recorded = step.recorded;
        let (accepted, answer) = if replayed {
            (step.accepted, step.answer)
        } else {
            (recorded.accepted, recorded.answer)
        };
        let line = serde_json::json!({
            "step": recorded.number,
            "at": recorded.at,
            "told": recorded.input,
            "taken": accepted,
            "out": answer,
        });
        writeln!(out, "{line}")?;
    }
    out.flush()?;
    Ok(Outcome::Done)
}
