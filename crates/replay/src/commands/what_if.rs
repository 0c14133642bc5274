//! `what-if`: which arriving queries would be decided otherwise under altered settings.

use super::{read_names, Outcome};
use anyhow::{Context, Result};
use std::path::Path;
use wheelfield::interface::Settings;
use wheelfield_replay::{shadow, Options, Player};

/// Compares a capture with its replay under settings altered by pairs `KEY=VALUE`.
pub fn alter_settings(file: &Path, pairs: &[String], max_shown: usize) -> Result<Outcome> {
    // A wrong key is reported before the whole capture is replayed.
    let mut player = Player::open(file, Options::default())?;
    player.next_step()?;
    let mut settings = player
        .start
        .clone()
        .context("a capture without its settings")?
        .settings;
    for pair in pairs {
        let (key, value) = pair
            .split_once('=')
            .with_context(|| format!("`{pair}`: write KEY=VALUE"))?;
        settings = shadow::alter(&settings, key, value).map_err(anyhow::Error::msg)?;
    }
    compare_settings(file, &settings, max_shown)?;
    Ok(Outcome::Done)
}

/// Prints which arriving queries are decided otherwise under other settings.
pub fn compare_settings(file: &Path, settings: &Settings, max_shown: usize) -> Result<Outcome> {
    let names = read_names(file)?;
    let comparison = shadow::compare(file, |_| settings.clone())?;
    println!(
        "{} of {} arriving queries are decided otherwise",
        comparison.altered.len(),
        comparison.arrivals
    );
    println!(
        "{:<16} {:<20} {:<20} {:>8}",
        "class", "was", "would be", "times"
    );
    for ((class, was, now), count) in &comparison.table {
        let (was, now) = (format!("{was:?}"), format!("{now:?}"));
        println!(
            "{:<16} {was:<20} {now:<20} {count:>8}",
            names.class_name(*class)
        );
    }
    for altered in comparison.altered.iter().take(max_shown) {
        println!(
            "step {}: query {} `{}` of {}: {:?}, would be {:?}",
            altered.step,
            altered
                .query
                .map_or("-".into(), |query| query.0.to_string()),
            altered.label,
            names.class_name(altered.class),
            altered.was,
            altered.now
        );
    }
    Ok(Outcome::from_equal(comparison.altered.is_empty()))
}
