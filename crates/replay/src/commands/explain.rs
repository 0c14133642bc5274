//! `explain`: the steps of one query, and what was known of the engines when something was decided of it.

use super::{first_time, open_over_gaps, print_step, read_names, Outcome};
use anyhow::{bail, Result};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use wheelfield::interface::{
    EngineEntry, EngineId, LoadReport, Micros, Outcome as AttemptOutcome, QueryId, Status,
};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Input, Instruction};
use wheelfield_replay::describe::{describe_load_report, Names};
use wheelfield_replay::{feed, Player, Snapshots, Step};

/// Log lines of the module that are shown with a decision, at most.
const MAX_LOG_LINES: usize = 5;

/// Explains a query, by its number or its client's name for it, in each capture that has it.
pub fn explain_query(files: &[PathBuf], wanted: &str) -> Result<Outcome> {
    let mut found = false;
    for file in files {
        found |= explain_in(file, wanted, files.len() > 1)?;
    }
    if !found {
        bail!("no query `{wanted}` in any of these captures");
    }
    Ok(Outcome::Done)
}

/// Explains a query of one capture, under a title if there are several; false if the capture does not have it.
fn explain_in(file: &Path, wanted: &str, titled: bool) -> Result<bool> {
    let names = read_names(file)?;
    let start = first_time(file)?;
    let mut player = open_over_gaps(file)?;
    player.snapshots = Snapshots::BeforeArrivals;
    let mut knowledge = Knowledge::default();
    let mut query: Option<QueryId> = wanted.parse().ok().map(QueryId);
    let mut found = false;
    while let Some(replayed) = player.next_step()? {
        let step = replayed.recorded;
        if step
            .input
            .arrival()
            .is_some_and(|(_, label)| label == wanted)
        {
            query = step.accepted;
        }
        let decides = query.is_some_and(|query| step.answer.iter().any(|i| decides_on(i, query)));
        if decides || query.is_some_and(|query| is_about(&step, query)) {
            if titled && !found {
                let index = player.start.as_ref().map_or(0, |start| start.index);
                println!("== {} (controller {index})", file.display());
            }
            found = true;
            print_step(&step, start, &names, "");
            if decides {
                knowledge.print(step.at, start, &names);
                print_alternatives(&player, &step, &names);
            }
        }
        knowledge.learn(&step);
    }
    Ok(found)
}

/// Whether an instruction is a decision on a query.
fn decides_on(instruction: &Instruction, query: QueryId) -> bool {
    match instruction {
        Instruction::Start { attempt, .. }
        | Instruction::Cancel(attempt)
        | Instruction::SetOptions(attempt, _) => attempt.query == query,
        Instruction::Answer(answered, _) => *answered == query,
        _ => false,
    }
}

/// Whether the input of a step is about a query.
fn is_about(step: &Step, query: QueryId) -> bool {
    match &step.input {
        RecordedInput::Arrive { .. } | RecordedInput::ArriveAs { .. } => {
            step.accepted == Some(query)
        }
        RecordedInput::Input(
            Input::AttemptEnded { attempt, .. }
            | Input::AttemptMeasured { attempt, .. }
            | Input::AttemptUpdated(attempt, _)
            | Input::AnswerStarted(attempt)
            | Input::Dispatched(attempt),
        ) => attempt.query == query,
        RecordedInput::Input(Input::Abandoned(abandoned)) => *abandoned == query,
        _ => false,
    }
}

/// What a controller knew of an engine, each with its time.
#[derive(Default)]
struct EngineKnowledge {
    status: Option<(Micros, Status)>,
    report: Option<(Micros, LoadReport)>,
    failed_at: Option<Micros>,
    /// Attempts of this controller that are in flight there.
    in_flight: i64,
    /// Attempts that it has sent there.
    sent: u64,
}

impl EngineKnowledge {
    fn describe(&self, now: Micros) -> String {
        let age = |at: Micros| format!("{:.2} s ago", (now - at).as_secs_f64());
        let status = self.status.map_or("never listed".into(), |(at, status)| {
            format!("{status:?} since {}", age(at)).to_lowercase()
        });
        let load = self.report.map_or("no load told".into(), |(at, report)| {
            format!("{} ({})", describe_load_report(&report), age(at))
        });
        let failed = self
            .failed_at
            .map_or(String::new(), |at| format!(", last failed {}", age(at)));
        format!(
            "{status}; {load}; {} of ours out, {} sent{failed}",
            self.in_flight, self.sent
        )
    }
}

/// What a controller knew at a step.
#[derive(Default)]
struct Knowledge {
    engines: BTreeMap<EngineId, EngineKnowledge>,
    /// The engine of each attempt in flight, by query and number of the attempt.
    engine_of_attempt: BTreeMap<(QueryId, usize), EngineId>,
    /// The last log lines of the module.
    log: VecDeque<(Micros, String)>,
}

impl Knowledge {
    fn print(&self, now: Micros, start: Micros, names: &Names) {
        println!("known of the engines at that moment:");
        for (id, engine) in &self.engines {
            println!("  {:<12} {}", names.engine_name(*id), engine.describe(now));
        }
        for (at, text) in &self.log {
            println!(
                "  the module had said at {:.3} s: {text}",
                (*at - start).as_secs_f64()
            );
        }
    }

    /// Adds what a step says.
    fn learn(&mut self, step: &Step) {
        if let RecordedInput::Input(input) = &step.input {
            self.learn_from_input(step.at, input);
        }
        for instruction in &step.answer {
            self.learn_from_instruction(step.at, instruction);
        }
    }

    fn learn_from_input(&mut self, at: Micros, input: &Input) {
        match input {
            Input::Engines { entries, .. } => {
                for entry in entries {
                    self.engine(entry.engine).status = Some((at, entry.status));
                }
            }
            Input::AttemptEnded {
                attempt,
                outcome,
                report,
                ..
            }
            | Input::AttemptMeasured {
                attempt,
                outcome,
                report,
                ..
            } => {
                let ended = self
                    .engine_of_attempt
                    .remove(&(attempt.query, attempt.number));
                if let Some(id) = ended {
                    let engine = self.engine(id);
                    engine.in_flight -= 1;
                    if *report != LoadReport::default() {
                        engine.report = Some((at, *report));
                    }
                    if !matches!(outcome, AttemptOutcome::Served) {
                        engine.failed_at = Some(at);
                    }
                }
            }
            Input::ProbeEnded { engine, report, .. } => {
                self.engine(*engine).report = Some((at, *report))
            }
            Input::PeerReports(reports) => {
                for peer in reports {
                    self.engine(peer.engine).report = Some((at, peer.report));
                }
            }
            _ => {}
        }
    }

    fn learn_from_instruction(&mut self, at: Micros, instruction: &Instruction) {
        match instruction {
            Instruction::Start {
                attempt, engine, ..
            } => {
                self.engine_of_attempt
                    .insert((attempt.query, attempt.number), *engine);
                let engine = self.engine(*engine);
                engine.in_flight += 1;
                engine.sent += 1;
            }
            Instruction::Log(text) => {
                self.log.push_back((at, text.clone()));
                if self.log.len() > MAX_LOG_LINES {
                    self.log.pop_front();
                }
            }
            _ => {}
        }
    }

    fn engine(&mut self, id: EngineId) -> &mut EngineKnowledge {
        self.engines.entry(id).or_default()
    }
}

/// Prints the engines that an arriving query could have been sent to, by asking the module again at the same moment: each engine
/// that it chooses is removed, until it chooses no further one.
fn print_alternatives(player: &Player, step: &Step, names: &Names) {
    if step.input.arrival().is_none() {
        return;
    }
    let Some(snapshot) = player.snapshot() else {
        return;
    };
    let Some(first) = chosen_engine(&step.answer) else {
        println!("  with any single engine gone it is answered the same: it fits nowhere");
        return;
    };
    let mut chosen = vec![first];
    let mut last = first;
    let mut driver = snapshot.clone();
    for _ in 0..player.engines.len() {
        let removal = Input::Engines {
            complete: false,
            entries: vec![draining_entry(last)],
        };
        driver.handle_input(step.at, removal, &mut Vec::new());
        let mut trial = driver.clone();
        let mut answer = Vec::new();
        feed(&mut trial, step.at, &step.input, &mut answer);
        match chosen_engine(&answer) {
            Some(next) if !chosen.contains(&next) => {
                chosen.push(next);
                last = next;
            }
            _ => break,
        }
    }
    let shown: Vec<String> = chosen
        .iter()
        .map(|engine| names.engine_name(*engine))
        .collect();
    println!(
        "  it fitted, by asking the module again without each one drawn: {}",
        shown.join(", ")
    );
}

/// The engine that an answer sends the first attempt to.
fn chosen_engine(answer: &[Instruction]) -> Option<EngineId> {
    answer.iter().find_map(|instruction| match instruction {
        Instruction::Start { engine, .. } => Some(*engine),
        _ => None,
    })
}

/// The entry of an engine list by which an engine takes no further work.
fn draining_entry(engine: EngineId) -> EngineEntry {
    EngineEntry {
        engine,
        zone: 0,
        kind: 0,
        cell: 0,
        status: Status::Draining,
        started_at: None,
    }
}
