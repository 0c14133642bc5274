//! `explain`: prints the steps of one query and what the controller knew of the engines at each decision on it.

use super::{first_time, open_over_gaps, print_step, read_names, Outcome};
use anyhow::{bail, Result};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use wheelfield::interface::{
    EngineEntry, EngineId, LoadReport, Micros, Outcome as AttemptOutcome, QueryId, Status,
};
use wheelfield_capture::RecordedInput;
use wheelfield_console::outln;
use wheelfield_driver::{AttemptId, Input, Instruction};
use wheelfield_replay::describe::{describe_load_report, Names};
use wheelfield_replay::{feed, Player, Snapshots, Step};

/// Maximum number of log lines of the driver that are printed with a decision.
const MAX_LOG_LINES: usize = 5;

/// Explains a query, identified by its ID or by the name that its client gave it, in each capture that contains it.
pub fn explain_query(files: &[PathBuf], name_or_id: &str) -> Result<Outcome> {
    let mut found = false;
    for file in files {
        found |= explain_in_capture(file, name_or_id, files.len() > 1)?;
    }
    if !found {
        bail!("none of the captures contains a query `{name_or_id}`");
    }
    Ok(Outcome::Done)
}

/// Explains a query of one capture, below a heading if `with_heading` is set. Returns whether the capture contains the query.
fn explain_in_capture(file: &Path, name_or_id: &str, with_heading: bool) -> Result<bool> {
    let names = read_names(file)?;
    let start = first_time(file)?;
    let mut player = open_over_gaps(file)?;
    player.snapshots = Snapshots::BeforeArrivals;
    let mut view = ControllerView::default();
    let mut query: Option<QueryId> = name_or_id.parse().ok().map(QueryId);
    let mut found = false;
    while let Some(replayed) = player.next_step()? {
        let step = replayed.recorded;
        if step
            .input
            .arrival()
            .is_some_and(|(_, label)| label == name_or_id)
        {
            query = step.accepted;
        }
        let has_decision = query.is_some_and(|query| {
            step.answer
                .iter()
                .any(|instruction| is_decision_on(instruction, query))
        });
        if has_decision || query.is_some_and(|query| concerns(&step, query)) {
            if with_heading && !found {
                let index = player.start.as_ref().map_or(0, |start| start.index);
                outln!("== {} (controller {index})", file.display());
            }
            found = true;
            print_step(&step, start, &names, "");
            if has_decision {
                view.print(step.at, start, &names);
                print_alternatives(&player, &step, &names);
            }
        }
        view.learn(&step);
    }
    Ok(found)
}

/// Returns whether an instruction is a decision on a query.
fn is_decision_on(instruction: &Instruction, query: QueryId) -> bool {
    match instruction {
        Instruction::Start { attempt, .. }
        | Instruction::Cancel(attempt)
        | Instruction::SetOptions(attempt, _) => attempt.query == query,
        Instruction::Answer(answered, _) => *answered == query,
        _ => false,
    }
}

/// Returns whether the input of a step concerns a query.
fn concerns(step: &Step, query: QueryId) -> bool {
    match &step.input {
        RecordedInput::Arrive { .. } | RecordedInput::ArriveWithId { .. } => {
            step.accepted == Some(query)
        }
        RecordedInput::Input(
            Input::AttemptEnded { attempt, .. }
            | Input::AttemptMeasured { attempt, .. }
            | Input::ServedByEarlierAttempt { attempt, .. }
            | Input::AttemptUpdated(attempt, _)
            | Input::AnswerStarted(attempt)
            | Input::Dispatched(attempt),
        ) => attempt.query == query,
        RecordedInput::Input(Input::Abandoned(abandoned)) => *abandoned == query,
        _ => false,
    }
}

/// What a controller knew of an engine, and since when.
#[derive(Default)]
struct EngineView {
    status: Option<(Micros, Status)>,
    report: Option<(Micros, LoadReport)>,
    /// Time of the last attempt there that was not served.
    failed_at: Option<Micros>,
    /// Attempts of this controller in flight on the engine.
    in_flight: i64,
    /// Attempts that this controller has sent to the engine so far.
    sent: u64,
}

impl EngineView {
    fn describe(&self, now: Micros) -> String {
        let age = |at: Micros| format!("{:.2} s ago", (now - at).as_secs_f64());
        let status = self.status.map_or("never listed".into(), |(at, status)| {
            format!("{status:?} since {}", age(at)).to_lowercase()
        });
        let load = self
            .report
            .map_or("no load reported".into(), |(at, report)| {
                format!("{} ({})", describe_load_report(&report), age(at))
            });
        let failed = self
            .failed_at
            .map_or(String::new(), |at| format!(", last failed {}", age(at)));
        format!(
            "{status}; {load}; {} attempts in flight, {} sent{failed}",
            self.in_flight, self.sent
        )
    }
}

/// What a controller knew before a step, collected from the steps so far.
#[derive(Default)]
struct ControllerView {
    engines: BTreeMap<EngineId, EngineView>,
    /// Engine of each attempt in flight, by query ID and attempt number.
    engine_of_attempt: BTreeMap<(QueryId, usize), EngineId>,
    /// Latest log lines of the driver.
    log: VecDeque<(Micros, String)>,
}

impl ControllerView {
    fn print(&self, now: Micros, start: Micros, names: &Names) {
        outln!("engines as known before this step:");
        for (id, engine) in &self.engines {
            outln!("  {:<12} {}", names.engine_name(*id), engine.describe(now));
        }
        for (at, text) in &self.log {
            outln!(
                "  the driver had logged at {:.3} s: {text}",
                (*at - start).as_secs_f64()
            );
        }
    }

    /// Adds the input and the answer of a step.
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
                let engine = self.learn_from_end(at, *attempt, report);
                if let Some(engine) = engine.filter(|_| *outcome != AttemptOutcome::Served) {
                    engine.failed_at = Some(at);
                }
            }
            Input::ServedByEarlierAttempt { attempt, report } => {
                self.learn_from_end(at, *attempt, report);
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

    /// Records the end of an attempt and returns its engine.
    fn learn_from_end(
        &mut self,
        at: Micros,
        attempt: AttemptId,
        report: &LoadReport,
    ) -> Option<&mut EngineView> {
        let ended = (attempt.query, attempt.number);
        let id = self.engine_of_attempt.remove(&ended)?;
        let engine = self.engine(id);
        engine.in_flight -= 1;
        if *report != LoadReport::default() {
            engine.report = Some((at, *report));
        }
        Some(engine)
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

    fn engine(&mut self, id: EngineId) -> &mut EngineView {
        self.engines.entry(id).or_default()
    }
}

/// Prints the engines that an arriving query could have been sent to. Repeats the decision on a copy of the driver, marks the
/// engine that it chooses as draining and repeats this until no further engine is chosen.
fn print_alternatives(player: &Player, step: &Step, names: &Names) {
    if step.input.arrival().is_none() {
        return;
    }
    let Some(snapshot) = player.snapshot() else {
        return;
    };
    let Some(first_choice) = chosen_engine(&step.answer) else {
        outln!("  the driver chose no engine; draining any single engine would not change this");
        return;
    };
    let mut candidates = vec![first_choice];
    let mut last_chosen = first_choice;
    let mut driver = snapshot.clone();
    for _ in 0..player.engines.len() {
        let removal = Input::Engines {
            complete: false,
            entries: vec![draining_entry(last_chosen)],
        };
        driver.handle_input(step.at, removal, &mut Vec::new());
        let mut trial_driver = driver.clone();
        let mut answer = Vec::new();
        feed(&mut trial_driver, step.at, &step.input, &mut answer);
        match chosen_engine(&answer) {
            Some(next) if !candidates.contains(&next) => {
                candidates.push(next);
                last_chosen = next;
            }
            _ => break,
        }
    }
    let shown: Vec<String> = candidates
        .iter()
        .map(|engine| names.engine_name(*engine))
        .collect();
    outln!(
        "  engines that could take the query, each chosen after draining the ones before it: {}",
        shown.join(", ")
    );
}

/// Returns the engine to which an answer sends its first attempt.
fn chosen_engine(answer: &[Instruction]) -> Option<EngineId> {
    answer.iter().find_map(|instruction| match instruction {
        Instruction::Start { engine, .. } => Some(*engine),
        _ => None,
    })
}

/// Returns an engine list entry that marks an engine as draining, so that the driver does not choose it.
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
