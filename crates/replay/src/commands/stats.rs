//! `stats`: prints the size of a capture and counts its inputs and instructions.

use super::{open_over_gaps, Outcome};
use anyhow::Result;
use std::collections::BTreeMap;
use std::path::Path;
use wheelfield::interface::Micros;
use wheelfield_capture::{BlockInfo, Reader, RecordedInput, Start};
use wheelfield_console::outln;
use wheelfield_driver::{Input, Instruction};
use wheelfield_replay::Step;

/// Counts of the steps of a capture.
#[derive(Default)]
struct Stats {
    steps: u64,
    first_at: Option<Micros>,
    last_at: Micros,
    inputs: BTreeMap<&'static str, u64>,
    instructions: BTreeMap<&'static str, u64>,
}

impl Stats {
    fn add(&mut self, step: &Step) {
        self.steps += 1;
        self.first_at = self.first_at.or(Some(step.at));
        self.last_at = step.at;
        *self.inputs.entry(input_kind(&step.input)).or_default() += 1;
        for instruction in &step.answer {
            *self
                .instructions
                .entry(instruction_kind(instruction))
                .or_default() += 1;
        }
    }

    fn print(&self, headers: &[BlockInfo], start: Option<&Start>) {
        let compressed: u64 = headers
            .iter()
            .map(|header| u64::from(header.compressed_bytes))
            .sum();
        let raw: u64 = headers
            .iter()
            .map(|header| u64::from(header.raw_bytes))
            .sum();
        let span = self
            .first_at
            .map_or(0.0, |first| (self.last_at - first).as_secs_f64());
        if let Some(Start {
            build,
            index,
            settings,
            seed,
            ..
        }) = start
        {
            outln!(
                "{build}, controller {index} of {}, seed {seed}",
                settings.gateway_count
            );
        }
        let (steps, blocks) = (self.steps, headers.len());
        outln!(
            "{steps} steps over {span:.1} s in {blocks} blocks: {compressed} bytes, {raw} uncompressed"
        );
        let arrivals = self.inputs.get("arrivals").copied().unwrap_or(0).max(1);
        outln!("{:.0} bytes per query", compressed as f64 / arrivals as f64);
        outln!("inputs:       {:?}", self.inputs);
        outln!("instructions: {:?}", self.instructions);
    }
}

/// Prints the size of a capture and the counts of its inputs and instructions.
pub fn print_stats(file: &Path) -> Result<Outcome> {
    let headers = Reader::open(file)?.block_infos()?;
    let mut player = open_over_gaps(file)?;
    let mut stats = Stats::default();
    while let Some(step) = player.next_step()? {
        stats.add(&step.recorded);
    }
    stats.print(&headers, player.start.as_ref());
    Ok(Outcome::Done)
}

fn input_kind(input: &RecordedInput) -> &'static str {
    match input {
        RecordedInput::Arrive { .. } | RecordedInput::ArriveWithId { .. } => "arrivals",
        RecordedInput::TimersDue | RecordedInput::TimerFired(_) => "timers",
        RecordedInput::Input(input) => match input {
            Input::AttemptEnded { .. }
            | Input::AttemptMeasured { .. }
            | Input::ServedByEarlierAttempt { .. } => "attempts ended",
            Input::AttemptUpdated(..) => "attempt updates",
            Input::Dispatched(_) => "attempts sent",
            Input::AnswerStarted(_) => "answers started",
            Input::Engines { .. } | Input::ListUnavailable => "engine lists",
            Input::Abandoned(_) => "queries abandoned",
            Input::ShutdownDeadline(_) => "shutdown deadlines",
            Input::ProbeEnded { .. } => "probes ended",
            Input::PeerReports(_) => "peer reports",
            Input::Started => "starts",
            Input::GatewayCountChanged { .. } => "controller count changes",
        },
    }
}

fn instruction_kind(instruction: &Instruction) -> &'static str {
    match instruction {
        Instruction::Start { .. } => "attempts started",
        Instruction::Cancel(_) => "cancellations",
        Instruction::Answer(..) => "answers",
        Instruction::SetOptions(..) => "option changes",
        Instruction::Probe(_) => "probes",
        Instruction::ShareReports(_) => "shared reports",
        Instruction::Subscribe => "subscriptions",
        Instruction::Log(_) => "log lines",
    }
}
