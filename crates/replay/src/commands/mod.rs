//! The commands, one module for each. They print to standard output.

pub mod diff;
pub mod explain;
pub mod export;
pub mod rewrite;
pub mod run;
pub mod stats;
pub mod what_if;

use anyhow::{Context, Result};
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_capture::Reader;
use wheelfield_replay::describe::{describe_input, describe_instruction, Names};
use wheelfield_replay::{Options, Player, Step};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is done, and found all decisions equal if it compared any.
    Done,
    /// Decisions differ.
    Different,
}

impl Outcome {
    fn from_equal(equal: bool) -> Outcome {
        if equal {
            Outcome::Done
        } else {
            Outcome::Different
        }
    }
}

/// Opens a capture, to be read over all losses.
fn open_over_gaps(file: &Path) -> Result<Player> {
    Ok(Player::open(
        file,
        Options {
            over_gaps: true,
            from: None,
        },
    )?)
}

/// All names in a capture; those of engines may stand anywhere in it.
fn read_names(file: &Path) -> Result<Names> {
    let mut player = open_over_gaps(file)?;
    while player.next_step()?.is_some() {}
    let classes = player.start.map(|start| start.classes).unwrap_or_default();
    Ok(Names {
        engines: player.engines,
        classes,
    })
}

/// Time of the first record of a capture, which shown times count from.
fn first_time(file: &Path) -> Result<Micros> {
    let headers = Reader::open(file)?.block_infos()?;
    Ok(Micros(
        headers.first().context("an empty capture")?.first_at,
    ))
}

/// Prints a step and its answer. Times count from `start`.
fn print_step(step: &Step, start: Micros, names: &Names, indent: &str) {
    println!(
        "{indent}{:>9.3} s  {}",
        (step.at - start).as_secs_f64(),
        describe_input(step, names)
    );
    for instruction in &step.answer {
        println!(
            "{indent}             -> {}",
            describe_instruction(instruction, names)
        );
    }
}
