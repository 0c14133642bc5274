//! `cut`, `scrub`, `to-test` and `repair`: captures made of captures.

use super::{first_time, Outcome};
use anyhow::{bail, Context, Result};
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_replay::rewrite;

/// Writes the part of a capture between two times, in seconds from its start.
pub fn cut_capture(file: &Path, from: f64, to: f64, out: &Path) -> Result<Outcome> {
    let start = first_time(file)?;
    let (from, to) = (
        start + Micros::from_secs_f64(from),
        start + Micros::from_secs_f64(to),
    );
    let steps = rewrite::cut(file, from, to, out)?;
    println!("{steps} steps in {}", out.display());
    Ok(Outcome::Done)
}

/// Writes a capture without names.
pub fn scrub_capture(file: &Path, out: &Path) -> Result<Outcome> {
    println!(
        "{} steps in {}, each decided as before",
        rewrite::scrub(file, out)?,
        out.display()
    );
    Ok(Outcome::Done)
}

/// Writes a capture without names and a test that replays it.
pub fn write_test(file: &Path, name: &str, out: &Path) -> Result<Outcome> {
    let is_plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    if !name.chars().all(is_plain) || !name.starts_with(|c: char| c.is_ascii_lowercase()) {
        bail!("`{name}`: write a name of small letters, digits and underscores");
    }
    std::fs::create_dir_all(out).with_context(|| format!("cannot make {}", out.display()))?;
    rewrite::scrub(file, &out.join(format!("{name}.wfcap")))?;
    let test = out.join(format!("{name}.rs"));
    std::fs::write(&test, rewrite::test_of(name))
        .with_context(|| format!("cannot write {}", test.display()))?;
    println!("{} and its capture", test.display());
    Ok(Outcome::Done)
}

/// Cuts an incomplete block off the end of a capture.
pub fn repair_capture(file: &Path) -> Result<Outcome> {
    let cut = wheelfield_capture::repair(file)?;
    println!("{cut} bytes of a torn end were cut off");
    Ok(Outcome::Done)
}
