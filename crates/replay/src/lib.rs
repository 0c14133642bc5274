//! Feeds a capture to the same driver and compares what it decides.
//!
//! A replay is the controller's own [`Driver`], fed with what the controller's was told. Nothing here knows how a
//! decision comes about: what is shown of one comes from what the module answered, or from feeding it again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod rewrite;
pub mod shadow;
pub mod words;

use std::collections::VecDeque;
use std::path::Path;
use wheelfield::interface::{Micros, QueryId};
use wheelfield_capture::{Entry, ReadError, Reader, Record, RecordedInput, Start};
use wheelfield_driver::{Driver, Instruction};

/// Steps shown before a difference.
pub const CONTEXT: usize = 12;

/// A step of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its number in the capture, from 1.
    pub number: u64,
    /// When.
    pub at: Micros,
    /// What the driver was told.
    pub told: RecordedInput,
    /// The number of a query that was taken.
    pub taken: Option<QueryId>,
    /// What it answered.
    pub out: Vec<Instruction>,
}

/// Why a replay ended before the end.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The capture can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A part of it is lost, and going on was not asked for.
    #[error("records are missing after step {after}; with --over-gaps the replay enters again at the next checkpoint")]
    Gap {
        /// The last step before.
        after: u64,
    },
    /// It is to be entered at a state that another build wrote, whose records differ.
    #[error("the state at the checkpoint is of another build; replay from the capture's start")]
    OtherBuild,
    /// It does not begin as a capture does.
    #[error("a step before anything to start from")]
    NoStart,
}

/// A decision that differs.
#[derive(Debug, PartialEq)]
pub struct Difference {
    /// The step, as it was recorded.
    pub recorded: Step,
    /// What the replay answered.
    pub replayed: Vec<Instruction>,
    /// The number it gave a query.
    pub taken: Option<QueryId>,
    /// The steps before.
    pub before: Vec<Step>,
}

/// What became of a replay.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Steps that were fed again.
    pub steps: u64,
    /// Decisions among them: instructions that were compared.
    pub instructions: u64,
    /// Checkpoints whose whole state was compared too.
    pub checkpoints: u64,
    /// The first decision that differs.
    pub difference: Option<Box<Difference>>,
    /// A checkpoint whose state differs, by the step before it, though all decisions until then were equal.
    pub state_differs: Option<u64>,
    /// Spans that could not be fed again: after this step, up to that one.
    pub unvouched: Vec<(u64, u64)>,
    /// The file ends amid a block: nothing is known after this step.
    pub torn_after: Option<u64>,
    /// First and last time.
    pub times: Option<(Micros, Micros)>,
}

impl Verdict {
    /// All that was fed again was decided alike.
    pub fn equal(&self) -> bool {
        self.difference.is_none() && self.state_differs.is_none()
    }
}

/// How to replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Enter again at the next checkpoint after a loss, in place of ending there.
    pub over_gaps: bool,
    /// Enter at the last checkpoint before this time.
    pub from: Option<Micros>,
}

/// A file as its steps, with a driver that stands before each.
pub struct Player {
    reader: Reader,
    /// What the file begins with.
    pub start: Option<Start>,
    /// Names of engines, as far as they were told.
    pub engines: Vec<(wheelfield::interface::EngineId, String)>,
    driver: Option<Driver>,
    /// The driver as it was before the last step, where wanted.
    before: Option<Box<Driver>>,
    /// A copy is kept before each arrival,
    pub keep_before: bool,
    /// or before every step.
    pub keep_all: bool,
    number: u64,
    over_gaps: bool,
    /// A loss was met; nothing is fed until a checkpoint.
    lost: bool,
    verdict: Verdict,
    lost_after: u64,
}

impl Player {
    /// Opens a file.
    ///
    /// # Errors
    /// [`ReplayError`] if it can't be read.
    pub fn open(path: &Path, options: Options) -> Result<Player, ReplayError> {
        let mut reader = Reader::open(path)?;
        if let Some(from) = options.from {
            // A block that begins with a checkpoint can't be told from its head; blocks are unpacked from the last
            // one that is certainly before, in ever larger steps back.
            let headers = reader.headers()?;
            let before = headers.iter().rposition(|h| h.first_at <= from.0).unwrap_or(0);
            let mut back = before.saturating_sub(1);
            loop {
                let (at, until) = (headers[back.min(headers.len().saturating_sub(1))].at, from);
                if back == 0 || has_checkpoint(path, at, until)? {
                    reader.seek_to_block(at)?;
                    break;
                }
                back = back.saturating_sub(1 + (before - back));
            }
        }
        Ok(Player {
            reader,
            start: None,
            engines: Vec::new(),
            driver: None,
            before: None,
            keep_before: false,
            keep_all: false,
            number: 0,
            over_gaps: options.over_gaps,
            lost: options.from.is_some(),
            verdict: Verdict::default(),
            lost_after: 0,
        })
    }

    /// Losses met so far.
    pub fn losses(&self) -> usize {
        self.verdict.unvouched.len()
    }

    /// What became of the replay, so far.
    pub fn verdict(self) -> Verdict {
        self.verdict
    }

    /// The driver as it stands after the last step.
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_ref()
    }

    /// The driver as it was before the last arrival, if copies are kept.
    pub fn before(&self) -> Option<&Driver> {
        self.before.as_deref()
    }

    fn gap(&mut self) -> Result<(), ReplayError> {
        if !self.over_gaps {
            return Err(ReplayError::Gap { after: self.number });
        }
        if !self.lost {
            (self.lost, self.lost_after) = (true, self.number);
        }
        Ok(())
    }

    /// The next step as recorded, without feeding it.
    fn next_step(&mut self) -> Result<Option<Step>, ReplayError> {
        loop {
            let record = match self.reader.next_entry()? {
                None => return Ok(None),
                Some(Entry::Torn { .. }) => {
                    self.verdict.torn_after = Some(self.number);
                    return Ok(None);
                }
                Some(Entry::Missing { .. }) => {
                    self.gap()?;
                    continue;
                }
                Some(Entry::Record(record)) => *record,
            };
            match record {
                Record::Start(start) => self.start = self.start.take().or(Some(*start)),
                Record::Engines(names) => self.engines.extend(names),
                Record::Gap { .. } => self.gap()?,
                Record::Checkpoint { driver, .. } => self.at_checkpoint(&driver)?,
                Record::Step { at, told, taken, out } => {
                    self.number += 1;
                    let (first, _) = self.verdict.times.unwrap_or((at, at));
                    self.verdict.times = Some((first, at));
                    return Ok(Some(Step { number: self.number, at, told, taken, out }));
                }
            }
        }
    }

    fn at_checkpoint(&mut self, recorded: &[u8]) -> Result<(), ReplayError> {
        match &self.driver {
            Some(own) if !self.lost => {
                self.verdict.checkpoints += 1;
                // Of another build whose records differ, the states can't be compared, only the decisions.
                let readable = postcard::from_bytes::<Driver>(recorded).is_ok();
                let same = postcard::to_stdvec(own).is_ok_and(|own| own == recorded);
                if readable && !same && self.verdict.state_differs.is_none() {
                    self.verdict.state_differs = Some(self.number);
                }
            }
            _ => {
                if self.lost && self.number > 0 {
                    self.verdict.unvouched.push((self.lost_after, self.number));
                }
                let read = postcard::from_bytes::<Driver>(recorded).ok();
                // At the very beginning there is nothing in it that the settings and the seed do not tell.
                let fresh = |s: &Start| Driver::new(s.settings.clone(), s.seed, s.bounds);
                let fresh = self.start.as_ref().filter(|_| self.number == 0 && !self.lost).map(fresh);
                self.driver = Some(read.or(fresh).ok_or(ReplayError::OtherBuild)?);
                self.lost = false;
            }
        }
        Ok(())
    }

    /// Feeds the next step; both sides of it, or none at the end. Steps within a loss are passed over.
    ///
    /// # Errors
    /// [`ReplayError`] where the capture can't be read, or is lost.
    #[allow(clippy::type_complexity)]
    pub fn feed(&mut self) -> Result<Option<(Step, Option<QueryId>, Vec<Instruction>)>, ReplayError> {
        while let Some(step) = self.next_step()? {
            if self.lost {
                continue;
            }
            let Some(driver) = &mut self.driver else { return Err(ReplayError::NoStart) };
            if self.keep_all || (self.keep_before && step.told.arrival().is_some()) {
                self.before = Some(Box::new(driver.clone()));
            }
            let mut out = Vec::new();
            let taken = feed(driver, step.at, &step.told, &mut out);
            self.verdict.steps += 1;
            self.verdict.instructions += out.len() as u64;
            return Ok(Some((step, taken, out)));
        }
        if self.lost && self.number > 0 {
            self.verdict.unvouched.push((self.lost_after, self.number));
        }
        Ok(None)
    }
}

fn has_checkpoint(path: &Path, at: u64, until: Micros) -> Result<bool, ReplayError> {
    let mut reader = Reader::open(path)?;
    reader.seek_to_block(at)?;
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

/// Feeds one step to a driver.
pub fn feed(
    driver: &mut Driver,
    at: Micros,
    told: &RecordedInput,
    out: &mut Vec<Instruction>,
) -> Option<QueryId> {
    match told {
        RecordedInput::Input(input) => driver.handle_input(at, input.clone(), out),
        RecordedInput::Arrive { arrival, .. } => return driver.submit(at, arrival.clone(), out).ok(),
        RecordedInput::ArriveAs { id, arrival, .. } => {
            return driver.submit_with_id(at, *id, arrival.clone(), out).ok()
        }
        RecordedInput::Due => {
            driver.handle_timers(at, out);
        }
        RecordedInput::Woke(token) => {
            driver.fire_timer(at, *token, out);
        }
    }
    None
}

/// Replays a file: equal, or the first decision that differs.
///
/// # Errors
/// [`ReplayError`] where the capture can't be read, or is lost.
pub fn run(path: &Path, options: Options) -> Result<Verdict, ReplayError> {
    let mut player = Player::open(path, options)?;
    let mut before: VecDeque<Step> = VecDeque::new();
    while let Some((step, taken, out)) = player.feed()? {
        if out != step.out || taken != step.taken {
            let before = before.into();
            player.verdict.difference =
                Some(Box::new(Difference { recorded: step, replayed: out, taken, before }));
            break;
        }
        if before.len() == CONTEXT {
            before.pop_front();
        }
        before.push_back(step);
    }
    Ok(player.verdict)
}
