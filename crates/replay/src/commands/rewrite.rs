//! `cut`, `scrub`, `to-test` and `repair`: write modified captures.

use super::{first_time, Outcome};
use anyhow::{bail, Context, Result};
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_console::outln;
use wheelfield_replay::rewrite;

/// Writes the part of a capture between two times, in seconds after its start, to a new capture.
pub fn cut_capture(file: &Path, from: f64, to: f64, out: &Path) -> Result<Outcome> {
    let start = first_time(file)?;
    let (from, to) = (
        start + Micros::from_secs_f64(from),
        start + Micros::from_secs_f64(to),
    );
    let steps = rewrite::cut(file, from, to, out)?;
    outln!("wrote {steps} steps to {}", out.display());
    Ok(Outcome::Done)
}

/// Writes a copy of a capture in which names are replaced by pseudonyms.
pub fn scrub_capture(file: &Path, out: &Path) -> Result<Outcome> {
    outln!(
        "wrote {} steps to {}; all decisions are unchanged",
        rewrite::scrub(file, out)?,
        out.display()
    );
    Ok(Outcome::Done)
}

/// Writes a copy of a capture without names and a test that replays it.
pub fn write_test(file: &Path, name: &str, out: &Path) -> Result<Outcome> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    if !name.chars().all(is_allowed) || !name.starts_with(|c: char| c.is_ascii_lowercase()) {
        bail!("invalid name `{name}`: use lowercase letters, digits and underscores, starting with a letter");
    }
    std::fs::create_dir_all(out)
        .with_context(|| format!("cannot create directory {}", out.display()))?;
    rewrite::scrub(file, &out.join(format!("{name}.wfcap")))?;
    let test = out.join(format!("{name}.rs"));
    std::fs::write(&test, rewrite::test_source(name))
        .with_context(|| format!("cannot write {}", test.display()))?;
    outln!("wrote {} and its capture", test.display());
    Ok(Outcome::Done)
}

/// Removes an incomplete block from the end of a capture.
pub fn repair_capture(file: &Path) -> Result<Outcome> {
    let removed_bytes = wheelfield_capture::repair(file)?;
    outln!("removed {removed_bytes} bytes of an incomplete block");
    Ok(Outcome::Done)
}
