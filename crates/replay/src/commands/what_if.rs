//! `what-if`: shows the arriving queries on which the decision changes with altered settings.

use super::{read_names, Outcome};
use anyhow::{Context, Result};
use std::path::Path;
use wheelfield::interface::Settings;
use wheelfield_console::outln;
use wheelfield_replay::{shadow, Options, Player};

/// Compares the decisions of a capture with those under settings altered by `KEY=VALUE` pairs.
pub fn alter_settings(file: &Path, pairs: &[String], max_shown: usize) -> Result<Outcome> {
    // Only the first step is read here, so that an invalid key is reported before the whole capture is replayed.
    let mut player = Player::open(file, Options::default())?;
    player.next_step()?;
    let mut settings = player
        .start
        .clone()
        .context("the capture has no start record with the settings")?
        .settings;
    for pair in pairs {
        let (key, value) = pair
            .split_once('=')
            .with_context(|| format!("invalid setting `{pair}`: expected KEY=VALUE"))?;
        settings = shadow::alter(&settings, key, value).map_err(anyhow::Error::msg)?;
    }
    compare_settings(file, &settings, max_shown)?;
    Ok(Outcome::Done)
}

/// Prints the arriving queries on which the decision changes with other settings.
pub fn compare_settings(file: &Path, settings: &Settings, max_shown: usize) -> Result<Outcome> {
    let names = read_names(file)?;
    let comparison = shadow::compare(file, |_| settings.clone())?;
    outln!(
        "{} of {} arriving queries have a different decision",
        comparison.changed.len(),
        comparison.arrivals
    );
    outln!(
        "{:<16} {:<20} {:<20} {:>8}",
        "class",
        "recorded",
        "altered",
        "count"
    );
    for ((class, recorded, altered), count) in &comparison.counts {
        let (recorded, altered) = (format!("{recorded:?}"), format!("{altered:?}"));
        outln!(
            "{:<16} {recorded:<20} {altered:<20} {count:>8}",
            names.class_name(*class)
        );
    }
    for changed in comparison.changed.iter().take(max_shown) {
        outln!(
            "step {}: query {} `{}` of class {}: recorded {:?}, altered {:?}",
            changed.step,
            changed
                .query
                .map_or("-".into(), |query| query.0.to_string()),
            changed.label,
            names.class_name(changed.class),
            changed.recorded,
            changed.altered
        );
    }
    Ok(Outcome::from_all_equal(comparison.changed.is_empty()))
}
