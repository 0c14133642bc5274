//! Writes modified copies of captures: a part of a capture that can be replayed by itself, and a copy without names.

use crate::{feed, Options, Player, ReplayError, ReplayedStep, Snapshots};
use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_capture::{Limits, RecordedInput, Recorder, RecorderState};
use wheelfield_driver::Driver;

/// Error while rewriting a capture.
#[derive(Debug, thiserror::Error)]
pub enum RewriteError {
    /// The source capture cannot be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The new capture cannot be written.
    #[error("cannot write the capture: {0}")]
    Io(#[from] std::io::Error),
    /// The capture has no step in the given span.
    #[error("the capture has no step in the given span")]
    Empty,
    /// The capture does not begin with the start of the controller. The state in its first checkpoint contains names, which
    /// cannot be replaced there.
    #[error(
        "the capture does not begin with the start of the controller; the names in its first checkpoint cannot be removed"
    )]
    NotFromStart,
    /// A decision changed when the names were replaced. Decisions must not depend on names.
    #[error("the decision at step {0} changes when names are replaced")]
    DecisionChanged(u64),
    /// Some records could not be written.
    #[error("{0} records were lost while writing")]
    RecordsLost(u64),
}

/// Returns limits with a queue to the writer thread that is long enough to drop no record. Rewriting may wait for the disk,
/// unlike the recording of live decisions.
fn rewrite_limits() -> Limits {
    Limits {
        max_queued_blocks: 1 << 20,
        ..Limits::default()
    }
}

fn check_complete(state: RecorderState) -> Result<(), RewriteError> {
    if state.lost > 0 {
        Err(RewriteError::RecordsLost(state.lost))
    } else {
        Ok(())
    }
}

/// Writes the steps of a capture between two times, both inclusive, to a new capture. Returns the number of steps written.
///
/// # Errors
/// Returns [`RewriteError`] if the capture cannot be replayed or written, or has no step in the span.
pub fn cut(file: &Path, from: Micros, to: Micros, out: &Path) -> Result<u64, RewriteError> {
    let mut player = Player::open(file, Options::default())?;
    player.snapshots = Snapshots::BeforeEveryStep;
    let (mut recorder, mut steps): (Option<Recorder>, u64) = (None, 0);
    let mut last_at = from;
    while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
        if step.at < from {
            continue;
        }
        if step.at > to {
            break;
        }
        if recorder.is_none() {
            let (Some(start), Some(snapshot)) = (&player.start, player.snapshot()) else {
                return Err(RewriteError::Empty);
            };
            recorder = Some(Recorder::begin(
                out,
                start.clone(),
                rewrite_limits(),
                snapshot,
                step.at,
            )?);
        }
        if let Some(recorder) = &mut recorder {
            if steps == 0 {
                recorder.record_engines(step.at, player.engines.iter().cloned());
            }
            recorder.record_step(step.at, &step.input, step.accepted, &step.answer);
            if let Some(driver) = player.driver() {
                recorder.maintain(driver, step.at);
            }
        }
        (steps, last_at) = (steps + 1, step.at);
    }
    check_complete(recorder.ok_or(RewriteError::Empty)?.finish(last_at))?;
    Ok(steps)
}

/// Assigns a pseudonym to each name; equal names get the same one.
struct Pseudonyms {
    prefix: &'static str,
    by_name: BTreeMap<String, String>,
}

impl Pseudonyms {
    fn pseudonym(&mut self, name: &str) -> String {
        if name.is_empty() {
            return String::new();
        }
        let next = format!("{}{}", self.prefix, self.by_name.len() + 1);
        self.by_name.entry(name.to_string()).or_insert(next).clone()
    }
}

/// Writes a copy of a capture in which the names of tenants, the labels of queries and the ordering keys are replaced by
/// pseudonyms. Replays the changed inputs and checks that each decision still equals the recorded one. Returns the number of
/// steps.
///
/// # Errors
/// Returns [`RewriteError`] if the capture cannot be replayed or written, does not begin with the start of the controller, or
/// decides differently without its names.
#[expect(clippy::too_many_lines, reason = "one arm for each kind of input")]
pub fn scrub(file: &Path, out: &Path) -> Result<u64, RewriteError> {
    let mut player = Player::open(file, Options::default())?;
    let mut labels = Pseudonyms {
        prefix: "q",
        by_name: BTreeMap::new(),
    };
    let mut keys = Pseudonyms {
        prefix: "key",
        by_name: BTreeMap::new(),
    };
    let mut output: Option<(Driver, Recorder)> = None;
    let (mut steps, mut last_at) = (0, Micros(0));
    while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
        if output.is_none() {
            let Some(start) = &player.start else {
                return Err(RewriteError::NotFromStart);
            };
            if !matches!(
                step.input,
                RecordedInput::Input(wheelfield_driver::Input::Started)
            ) {
                return Err(RewriteError::NotFromStart);
            }
            let mut start = start.clone();
            let mut tenants = Pseudonyms {
                prefix: "tenant",
                by_name: BTreeMap::new(),
            };
            start
                .tenants
                .iter_mut()
                .for_each(|tenant| *tenant = tenants.pseudonym(tenant));
            let driver = Driver::new(start.settings.clone(), start.seed, start.driver_limits);
            let recorder = Recorder::begin(out, start, rewrite_limits(), &driver, step.at)?;
            output = Some((driver, recorder));
        }
        let Some((driver, recorder)) = &mut output else {
            return Err(RewriteError::Empty);
        };
        let input = match step.input {
            RecordedInput::Arrive { mut arrival, label } => {
                arrival.key = arrival.key.map(|key| keys.pseudonym(&key));
                RecordedInput::Arrive {
                    arrival,
                    label: labels.pseudonym(&label),
                }
            }
            RecordedInput::ArriveWithId {
                id,
                mut arrival,
                label,
            } => {
                arrival.key = arrival.key.map(|key| keys.pseudonym(&key));
                RecordedInput::ArriveWithId {
                    id,
                    arrival,
                    label: labels.pseudonym(&label),
                }
            }
            other => other,
        };
        let mut answer = Vec::new();
        let accepted = feed(driver, step.at, &input, &mut answer);
        if answer != step.answer || accepted != step.accepted {
            return Err(RewriteError::DecisionChanged(step.number));
        }
        recorder.record_engines(step.at, player.engines.iter().cloned());
        recorder.record_step(step.at, &input, accepted, &answer);
        recorder.maintain(driver, step.at);
        (steps, last_at) = (steps + 1, step.at);
    }
    let (_, recorder) = output.ok_or(RewriteError::Empty)?;
    check_complete(recorder.finish(last_at))?;
    Ok(steps)
}

/// Returns the source of a test that replays the capture `NAME.wfcap` in the directory of the test.
pub fn test_source(name: &str) -> String {
    format!(
        "//! Replays `{name}.wfcap` from the directory of this file and checks that all decisions equal the recorded ones.\n\n\
         #[test]\nfn {name}_replays_to_the_same_decisions() {{\n    \
         let path = std::path::Path::new(concat!(env!(\"CARGO_MANIFEST_DIR\"), \"/tests/{name}.wfcap\"));\n    \
         let verdict = wheelfield_replay::run(path, wheelfield_replay::Options::default()).expect(\"readable\");\n    \
         assert!(verdict.equal(), \"{{:?}}\", verdict.difference);\n    assert!(verdict.steps > 0);\n}}\n"
    )
}
