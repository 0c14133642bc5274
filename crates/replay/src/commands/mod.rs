//! The subcommands. Each has a module of its own and prints to standard output.

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
use wheelfield_console::outln;
use wheelfield_replay::describe::{describe_input, describe_instruction, Names};
use wheelfield_replay::{Options, Player, Step};

/// Result of a command that ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command finished. `run` and `diff` return this only if all compared decisions are equal.
    Done,
    /// The command finished and found decisions that differ.
    Different,
}

impl Outcome {
    fn from_all_equal(equal: bool) -> Outcome {
        if equal {
            Outcome::Done
        } else {
            Outcome::Different
        }
    }
}

/// Opens a capture for a replay that resumes after each gap.
fn open_over_gaps(file: &Path) -> Result<Player> {
    Ok(Player::open(
        file,
        Options {
            over_gaps: true,
            from: None,
        },
    )?)
}

/// Reads all names in a capture. The whole capture is read because names of engines may be recorded anywhere in it.
fn read_names(file: &Path) -> Result<Names> {
    let mut player = open_over_gaps(file)?;
    while player.next_step()?.is_some() {}
    let classes = player.start.map(|start| start.classes).unwrap_or_default();
    Ok(Names {
        engines: player.engines,
        classes,
    })
}

/// Returns the time of the first record of a capture, relative to which times are printed.
fn first_time(file: &Path) -> Result<Micros> {
    let headers = Reader::open(file)?.block_infos()?;
    Ok(Micros(
        headers.first().context("the capture is empty")?.first_at,
    ))
}

/// Prints a step and its recorded answer. The time is printed relative to `start`.
fn print_step(step: &Step, start: Micros, names: &Names, indent: &str) {
    outln!(
        "{indent}{:>9.3} s  {}",
        (step.at - start).as_secs_f64(),
        describe_input(step, names)
    );
    for instruction in &step.answer {
        outln!(
            "{indent}             -> {}",
            describe_instruction(instruction, names)
        );
    }
}
