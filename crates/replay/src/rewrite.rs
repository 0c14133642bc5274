//! Captures made of captures: a shorter one that still replays, and one without names.

use crate::{feed, Options, Player, ReplayError, ReplayedStep, Snapshots};
use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_capture::{Limits, RecordedInput, Recorder, RecorderState};
use wheelfield_driver::Driver;

/// Why no capture was made.
#[derive(Debug, thiserror::Error)]
pub enum RewriteError {
    /// The one to read can't be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The one to write can't be written.
    #[error("cannot write the capture: {0}")]
    Io(#[from] std::io::Error),
    /// Nothing is left.
    #[error("no step in that span")]
    Empty,
    /// It does not begin with the controller's start.
    #[error(
        "this file begins in the middle; names are in its first state, and can't be taken out"
    )]
    Middle,
    /// The names decided something, which they must not.
    #[error("step {0} is decided otherwise without its names")]
    Decides(u64),
    /// Some of what was written was lost.
    #[error("{0} records were lost while writing")]
    Lost(u64),
}

/// Nothing of a rewriting may be dropped: it waits for nothing but the disk.
fn unhurried() -> Limits {
    Limits {
        max_queued_blocks: 1 << 20,
        ..Limits::default()
    }
}

fn written(state: RecorderState) -> Result<(), RewriteError> {
    if state.lost > 0 {
        Err(RewriteError::Lost(state.lost))
    } else {
        Ok(())
    }
}

/// Cuts a span out, in microseconds of the capture's time; gives the steps kept.
///
/// # Errors
/// [`RewriteError`].
pub fn cut(file: &Path, from: Micros, to: Micros, out: &Path) -> Result<u64, RewriteError> {
    let mut player = Player::open(file, Options::default())?;
    player.snapshots = Snapshots::BeforeEveryStep;
    let (mut recorder, mut kept): (Option<Recorder>, u64) = (None, 0);
    let mut last = from;
    while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
        if step.at < from {
            continue;
        }
        if step.at > to {
            break;
        }
        if recorder.is_none() {
            let (Some(start), Some(before)) = (&player.start, player.snapshot()) else {
                return Err(RewriteError::Empty);
            };
            recorder = Some(Recorder::begin(
                out,
                start.clone(),
                unhurried(),
                before,
                step.at,
            )?);
        }
        if let Some(recorder) = &mut recorder {
            if kept == 0 {
                recorder.record_engines(step.at, player.engines.iter().cloned());
            }
            recorder.record_step(step.at, &step.input, step.accepted, &step.answer);
            if let Some(driver) = player.driver() {
                recorder.maintain(driver, step.at);
            }
        }
        (kept, last) = (kept + 1, step.at);
    }
    written(recorder.ok_or(RewriteError::Empty)?.finish(last))?;
    Ok(kept)
}

/// A name that stands for another, the same for the same one.
struct Pseudonyms {
    prefix: &'static str,
    known: BTreeMap<String, String>,
}

impl Pseudonyms {
    fn of(&mut self, name: &str) -> String {
        if name.is_empty() {
            return String::new();
        }
        let next = format!("{}{}", self.prefix, self.known.len() + 1);
        self.known.entry(name.to_string()).or_insert(next).clone()
    }
}

/// Writes a capture in which tenants, names of queries and keys are replaced by stable pseudonyms. All is fed anew, and
/// every decision must be the one recorded. Gives the steps.
///
/// # Errors
/// [`RewriteError`].
#[expect(clippy::too_many_lines, reason = "one arm for each kind of record")]
pub fn scrub(file: &Path, out: &Path) -> Result<u64, RewriteError> {
    let mut player = Player::open(file, Options::default())?;
    let mut labels = Pseudonyms {
        prefix: "q",
        known: BTreeMap::new(),
    };
    let mut keys = Pseudonyms {
        prefix: "key",
        known: BTreeMap::new(),
    };
    let mut state: Option<(Driver, Recorder)> = None;
    let (mut steps, mut last) = (0, Micros(0));
    while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
        if state.is_none() {
            let Some(start) = &player.start else {
                return Err(RewriteError::Middle);
            };
            if !matches!(
                step.input,
                RecordedInput::Input(wheelfield_driver::Input::Started)
            ) {
                return Err(RewriteError::Middle);
            }
            let mut start = start.clone();
            let mut tenants = Pseudonyms {
                prefix: "tenant",
                known: BTreeMap::new(),
            };
            start.tenants.iter_mut().for_each(|t| *t = tenants.of(t));
            let driver = Driver::new(start.settings.clone(), start.seed, start.driver_limits);
            let recorder = Recorder::begin(out, start, unhurried(), &driver, step.at)?;
            state = Some((driver, recorder));
        }
        let Some((driver, recorder)) = &mut state else {
            return Err(RewriteError::Empty);
        };
        let told = match step.input {
            RecordedInput::Arrive { mut arrival, label } => {
                arrival.key = arrival.key.map(|k| keys.of(&k));
                RecordedInput::Arrive {
                    arrival,
                    label: labels.of(&label),
                }
            }
            RecordedInput::ArriveWithId {
                id,
                mut arrival,
                label,
            } => {
                arrival.key = arrival.key.map(|k| keys.of(&k));
                RecordedInput::ArriveWithId {
                    id,
                    arrival,
                    label: labels.of(&label),
                }
            }
            other => other,
        };
        let mut answered = Vec::new();
        let taken = feed(driver, step.at, &told, &mut answered);
        if answered != step.answer || taken != step.accepted {
            return Err(RewriteError::Decides(step.number));
        }
        recorder.record_engines(step.at, player.engines.iter().cloned());
        recorder.record_step(step.at, &told, taken, &answered);
        recorder.maintain(driver, step.at);
        (steps, last) = (steps + 1, step.at);
    }
    let (_, recorder) = state.ok_or(RewriteError::Empty)?;
    written(recorder.finish(last))?;
    Ok(steps)
}

/// The text of a test that replays a capture beside it.
pub fn test_of(name: &str) -> String {
    format!(
        "//! Replays `{name}.wfcap`, which lies beside this file: the decisions must be those recorded.\n\n\
         #[test]\nfn {name}_replays_to_the_same_decisions() {{\n    \
         let path = std::path::Path::new(concat!(env!(\"CARGO_MANIFEST_DIR\"), \"/tests/{name}.wfcap\"));\n    \
         let verdict = wheelfield_replay::run(path, wheelfield_replay::Options::default()).expect(\"readable\");\n    \
         assert!(verdict.equal(), \"{{:?}}\", verdict.difference);\n    assert!(verdict.steps > 0);\n}}\n"
    )
}
