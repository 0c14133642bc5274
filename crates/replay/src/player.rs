//! Plays a capture step by step to a driver.

use crate::{feed, Options, ReplayError, Step, UnverifiedSpan, Verdict};
use std::path::Path;
use wheelfield::interface::{EngineId, Micros, QueryId};
use wheelfield_capture::{Entry, Reader, Record, Start};
use wheelfield_driver::{Driver, Instruction};

/// Before which steps a player keeps a copy of the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Snapshots {
    /// Before none.
    #[default]
    Never,
    /// Before each arrival of a query.
    BeforeArrivals,
    /// Before every step.
    BeforeEveryStep,
}

/// A step as recorded, and as the replay decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayedStep {
    /// The step of the capture.
    pub recorded: Step,
    /// The number that the replay gave a query.
    pub accepted: Option<QueryId>,
    /// The answer of the replay.
    pub answer: Vec<Instruction>,
}

/// A capture that is being played, with a driver in the state after the last step.
pub struct Player {
    reader: Reader,
    /// The start of the capture, once it was read.
    pub start: Option<Start>,
    /// Names of engines recorded so far.
    pub engines: Vec<(EngineId, String)>,
    /// Before which steps copies of the driver are kept.
    pub snapshots: Snapshots,
    driver: Option<Driver>,
    /// The last copy of the driver.
    snapshot: Option<Box<Driver>>,
    /// Number of the last step read.
    step_number: u64,
    over_gaps: bool,
    /// Records are lost, and no checkpoint has come since: steps can't be replayed.
    is_lost: bool,
    /// The last step before that loss.
    lost_after: u64,
    verdict: Verdict,
}

impl Player {
    /// Opens a capture.
    ///
    /// # Errors
    /// [`ReplayError`], if it can't be read.
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
            is_lost: options.from.is_some(),
            lost_after: 0,
            verdict: Verdict::default(),
        })
    }

    /// Number of losses so far.
    pub fn gap_count(&self) -> usize {
        self.verdict.unverified.len()
    }

    /// The result of the replay so far.
    pub fn into_verdict(self) -> Verdict {
        self.verdict
    }

    /// The driver after the last step.
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_ref()
    }

    /// The last copy of the driver that was kept.
    pub fn snapshot(&self) -> Option<&Driver> {
        self.snapshot.as_deref()
    }

    /// Replays the next step; `None` at the end. Steps that can't be replayed, as records before them are lost, are skipped.
    ///
    /// # Errors
    /// [`ReplayError`], where the capture can't be read or records are lost.
    pub fn next_step(&mut self) -> Result<Option<ReplayedStep>, ReplayError> {
        while let Some(recorded) = self.read_step()? {
            if self.is_lost {
                continue;
            }
            let Some(driver) = &mut self.driver else {
                return Err(ReplayError::NoStart);
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
        if self.is_lost && self.step_number > 0 {
            self.end_unverified_span();
        }
        Ok(None)
    }

    /// Reads up to the next step, without replaying it.
    fn read_step(&mut self) -> Result<Option<Step>, ReplayError> {
        loop {
            let record = match self.reader.next_entry()? {
                None => return Ok(None),
                Some(Entry::Torn { .. }) => {
                    self.verdict.truncated_after = Some(self.step_number);
                    return Ok(None);
                }
                Some(Entry::Missing { .. }) => {
                    self.begin_loss()?;
                    continue;
                }
                Some(Entry::Record(record)) => *record,
            };
            match record {
                Record::Start(start) => self.start = self.start.take().or(Some(*start)),
                Record::Engines(names) => self.engines.extend(names),
                Record::Gap { .. } => self.begin_loss()?,
                Record::Checkpoint { driver, .. } => self.handle_checkpoint(&driver)?,
                Record::Step {
                    at,
                    told,
                    taken,
                    out,
                } => {
                    self.step_number += 1;
                    let (first, _) = self.verdict.times.unwrap_or((at, at));
                    self.verdict.times = Some((first, at));
                    let number = self.step_number;
                    return Ok(Some(Step {
                        number,
                        at,
                        input: told,
                        accepted: taken,
                        answer: out,
                    }));
                }
            }
        }
    }

    fn begin_loss(&mut self) -> Result<(), ReplayError> {
        if !self.over_gaps {
            return Err(ReplayError::Gap {
                after: self.step_number,
            });
        }
        if !self.is_lost {
            self.is_lost = true;
            self.lost_after = self.step_number;
        }
        Ok(())
    }

    fn end_unverified_span(&mut self) {
        let span = UnverifiedSpan {
            after_step: self.lost_after,
            to_step: self.step_number,
        };
        self.verdict.unverified.push(span);
    }

    fn handle_checkpoint(&mut self, recorded: &[u8]) -> Result<(), ReplayError> {
        match &self.driver {
            Some(driver) if !self.is_lost => {
                self.verdict.checkpoints += 1;
                // A checkpoint of another build that this one can't read is not compared.
                let readable = postcard::from_bytes::<Driver>(recorded).is_ok();
                let same = postcard::to_stdvec(driver).is_ok_and(|bytes| bytes == recorded);
                if readable && !same && self.verdict.state_differs.is_none() {
                    self.verdict.state_differs = Some(self.step_number);
                }
                Ok(())
            }
            _ => self.enter_at_checkpoint(recorded),
        }
    }

    /// Goes on from a checkpoint. At the very beginning, the settings and the seed give the same state.
    fn enter_at_checkpoint(&mut self, recorded: &[u8]) -> Result<(), ReplayError> {
        if self.is_lost && self.step_number > 0 {
            self.end_unverified_span();
        }
        let at_beginning = self.step_number == 0 && !self.is_lost;
        let fresh_driver =
            |start: &Start| Driver::new(start.settings.clone(), start.seed, start.bounds);
        let driver = postcard::from_bytes::<Driver>(recorded).ok().or_else(|| {
            self.start
                .as_ref()
                .filter(|_| at_beginning)
                .map(fresh_driver)
        });
        self.driver = Some(driver.ok_or(ReplayError::OtherBuild)?);
        self.is_lost = false;
        Ok(())
    }
}

/// Goes to a block from which on there is a checkpoint before a time. The head of a block does not say whether it begins with
/// a checkpoint; so blocks are searched from the last one that begins before the time, in ever larger steps back.
fn seek_to_checkpoint(reader: &mut Reader, path: &Path, until: Micros) -> Result<(), ReplayError> {
    let headers = reader.headers()?;
    let before = headers
        .iter()
        .rposition(|header| header.first_at <= until.0)
        .unwrap_or(0);
    let mut block = before.saturating_sub(1);
    loop {
        let at = headers[block.min(headers.len().saturating_sub(1))].at;
        if block == 0 || has_checkpoint(path, at, until)? {
            return Ok(reader.seek_to_block(at)?);
        }
        block = block.saturating_sub(1 + (before - block));
    }
}

/// Whether the first checkpoint from a block on is before a time.
fn has_checkpoint(path: &Path, block_at: u64, until: Micros) -> Result<bool, ReplayError> {
    let mut reader = Reader::open(path)?;
    reader.seek_to_block(block_at)?;
    while let Some(entry) = reader.next_entry()? {
        match entry {
            Entry::Record(record) => match *record {
                Record::Checkpoint { at, .. } => return Ok(at <= until),
                Record::Step { at, .. } if at > until => return Ok(false),
                _ => {}
            },
            Entry::Torn { .. } => return Ok(false),
            Entry::Missing { .. } => {}
        }
    }
    Ok(false)
}
