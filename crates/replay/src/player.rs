//! Replays a capture step by step.

use crate::{feed, Options, ReplayError, Step, UnverifiedSpan, Verdict};
use std::path::Path;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{Entry, Reader, Record, Start};
use wheelfield_driver::{Driver, Instruction};

/// Selects the steps before which a player takes a copy of the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Snapshots {
    /// Takes no copies.
    #[default]
    Never,
    /// Takes a copy before each arrival of a query.
    BeforeArrivals,
    /// Takes a copy before every step.
    BeforeEveryStep,
}

/// A step as recorded, with the result of its replay.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayedStep {
    /// The step as recorded.
    pub recorded: Step,
    /// ID that the replay gave the query, if the step is the arrival of a query and the replay accepted it.
    pub accepted: Option<QueryId>,
    /// Instructions that the driver returned in the replay.
    pub answer: Vec<Instruction>,
}

/// Replays a capture step by step; its driver is in the state after the last replayed step.
pub struct Player {
    reader: Reader,
    /// First start record of the capture; `None` time it was read.
    pub start: Option<Start>,
    /// Names of engines read so far.
    pub engines: Vec<(EngineId, String)>,
    /// Steps before which the driver is copied.
    pub snapshots: Snapshots,
    driver: Option<Driver>,
    /// Latest copy of the driver.
    snapshot: Option<Box<Driver>>,
    /// Number of the last step that was read.
    step_number: u64,
    over_gaps: bool,
    /// Records are missing and no checkpoint has followed yet, so steps cannot be replayed.
    in_gap: bool,
    /// Last step before the latest gap.
    gap_after: u64,
    verdict: Verdict,
}

impl Player {
    /// Opens a capture.
    ///
    /// # Errors
    /// Returns [`ReplayError`] if the capture cannot be read.
    pub fn open(path: &Path, options: Options) -> Result<Player, ReplayError> {
        let mut reader = Reader::open(path)?;
        if let Some(from) = options.from {
            seek_to_checkpoint(&mut reader, path, from)?;
        }
        Ok(Player {
            reader,
            start: None,
            engines: Vec::new(),
            snapshots: Snapshots::Never,
            driver: None,
            snapshot: None,
            step_number: 0,
            over_gaps: options.over_gaps,
            in_gap: options.from.is_some(),
            gap_after: 0,
            verdict: Verdict::default(),
        })
    }

    /// Returns the number of completed gaps so far.
    pub fn gap_count(&self) -> usize {
        self.verdict.unverified.len()
    }

    /// Returns the result of the replay so far.
    pub fn into_verdict(self) -> Verdict {
        self.verdict
    }

    /// Returns the driver in the state after the last replayed step; `None` before the first checkpoint.
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_ref()
    }

    /// Returns the latest copy of the driver, see [`Snapshots`].
    pub fn snapshot(&self) -> Option<&Driver> {
        self.snapshot.as_deref()
    }

    /// Replays the next step; returns `None` at the end of the capture. Skips steps that cannot be replayed because records
    /// before them are missing.
    ///
    /// # Errors
    /// Returns [`ReplayError`] if the capture cannot be read, records are missing or there is no state to start from.
    pub fn next_step(&mut self) -> Result<Option<ReplayedStep>, ReplayError> {
        while let Some(recorded) = self.read_step()? {
            if self.in_gap {
                continue;
            }
            let Some(driver) = &mut self.driver else {
                return Err(ReplayError::MissingInitialState);
            };
            let takes_snapshot = match self.snapshots {
                Snapshots::Never => false,
                Snapshots::BeforeArrivals => recorded.input.arrival().is_some(),
                Snapshots::BeforeEveryStep => true,
            };
            if takes_snapshot {
                self.snapshot = Some(Box::new(driver.clone()));
            }
            let mut answer = Vec::new();
            let accepted = feed(driver, recorded.at, &recorded.input, &mut answer);
            self.verdict.steps += 1;
            self.verdict.instructions += answer.len() as u64;
            return Ok(Some(ReplayedStep {
                recorded,
                accepted,
                answer,
            }));
        }
        if self.in_gap && self.step_number > 0 {
            self.end_unverified_span();
        }
        Ok(None)
    }

    /// Reads records up to the next step, without replaying it.
    fn read_step(&mut self) -> Result<Option<Step>, ReplayError> {
        loop {
            let record = match self.reader.next_entry()? {
                None => return Ok(None),
                Some(Entry::Truncated { .. }) => {
                    self.verdict.truncated_after = Some(self.step_number);
                    return Ok(None);
                }
                Some(Entry::MissingBlocks { .. }) => {
                    self.begin_gap()?;
                    continue;
                }
                Some(Entry::Record(record)) => *record,
            };
            match record {
                Record::Start(start) => self.start = self.start.take().or(Some(*start)),
                Record::Engines(names) => self.engines.extend(names),
                Record::Gap { .. } => self.begin_gap()?,
                Record::Checkpoint { driver, .. } => self.compare_or_resume(&driver)?,
                Record::Step {
                    at,
                    input,
                    accepted,
                    instructions,
                } => {
                    self.step_number += 1;
                    let (first, _) = self.verdict.time_range.unwrap_or((at, at));
                    self.verdict.time_range = Some((first, at));
                    let number = self.step_number;
                    return Ok(Some(Step {
                        number,
                        at,
                        input,
                        accepted,
                        answer: instructions,
                    }));
                }
            }
        }
    }

    fn begin_gap(&mut self) -> Result<(), ReplayError> {
        if !self.over_gaps {
            return Err(ReplayError::Gap {
                after: self.step_number,
            });
        }
        if !self.in_gap {
            self.in_gap = true;
            self.gap_after = self.step_number;
        }
        Ok(())
    }

    fn end_unverified_span(&mut self) {
        let span = UnverifiedSpan {
            after_step: self.gap_after,
            to_step: self.step_number,
        };
        self.verdict.unverified.push(span);
    }

    fn compare_or_resume(&mut self, recorded_state: &[u8]) -> Result<(), ReplayError> {
        match &self.driver {
            Some(driver) if !self.in_gap => {
                self.verdict.checkpoints += 1;
                // A checkpoint that was written by another build and cannot be decoded by this one is not compared.
                let readable = postcard::from_bytes::<Driver>(recorded_state).is_ok();
                let same = postcard::to_stdvec(driver).is_ok_and(|bytes| bytes == recorded_state);
                if readable && !same && self.verdict.state_differs.is_none() {
                    self.verdict.state_differs = Some(self.step_number);
                }
                Ok(())
            }
            _ => self.resume_from_checkpoint(recorded_state),
        }
    }

    /// Continues the replay from the state in a checkpoint. If this build cannot decode the checkpoint, a new driver with the
    /// recorded settings and seed replaces it, but only at the beginning of the capture, where both have the same state.
    fn resume_from_checkpoint(&mut self, recorded_state: &[u8]) -> Result<(), ReplayError> {
        if self.in_gap && self.step_number > 0 {
            self.end_unverified_span();
        }
        let is_at_start = self.step_number == 0 && !self.in_gap;
        let new_driver =
            |start: &Start| Driver::new(start.settings.clone(), start.seed, start.driver_limits);
        let driver = postcard::from_bytes::<Driver>(recorded_state)
            .ok()
            .or_else(|| self.start.as_ref().filter(|_| is_at_start).map(new_driver));
        self.driver = Some(driver.ok_or(ReplayError::IncompatibleCheckpoint)?);
        self.in_gap = false;
        Ok(())
    }
}

/// Seeks to a block at or after which the first checkpoint is no later than `time`. Block headers do not tell whether a block
/// contains a checkpoint, so the search reads on from a block just before `time` and then from earlier blocks, at distances
/// that roughly double.
fn seek_to_checkpoint(reader: &mut Reader, path: &Path, time: Micros) -> Result<(), ReplayError> {
    let headers = reader.block_infos()?;
    let last_candidate = headers
        .iter()
        .rposition(|header| header.first_at <= time.0)
        .unwrap_or(0);
    let mut block = last_candidate.saturating_sub(1);
    loop {
        let at = headers[block.min(headers.len().saturating_sub(1))].offset;
        if block == 0 || has_checkpoint(path, at, time)? {
            return Ok(reader.seek_to_block(at)?);
        }
        block = block.saturating_sub(1 + (last_candidate - block));
    }
}

/// Returns whether the first checkpoint at or after a block is no later than `time`.
fn has_checkpoint(path: &Path, block_at: u64, time: Micros) -> Result<bool, ReplayError> {
    let mut reader = Reader::open(path)?;
    reader.seek_to_block(block_at)?;
    while let Some(entry) = reader.next_entry()? {
        match entry {
            Entry::Record(record) => match *record {
                Record::Checkpoint { at, .. } => return Ok(at <= time),
                Record::Step { at, .. } if at > time => return Ok(false),
                _ => {}
            },
            Entry::Truncated { .. } => return Ok(false),
            Entry::MissingBlocks { .. } => {}
        }
    }
    Ok(false)
}
