//! `diff`: compares the decisions of this build with those of another build or of another configuration.

use super::{open_over_gaps, read_names, what_if, Outcome};
use anyhow::{Context, Result};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Lines};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use wheelfield::interface::QueryId;
use wheelfield_console::outln;
use wheelfield_driver::Instruction;
use wheelfield_replay::describe::{describe_input, describe_instruction, Names};
use wheelfield_replay::ReplayedStep;

/// Compares the recorded decisions with those under the configuration `against` if its name ends in `.toml`. Otherwise compares
/// the decisions of this build with those of `against`, the replay program of another build.
pub fn diff_against(file: &Path, against: &Path, max_shown: usize) -> Result<Outcome> {
    if against
        .extension()
        .is_some_and(|extension| extension == "toml")
    {
        let text = std::fs::read_to_string(against)
            .with_context(|| format!("cannot read {}", against.display()))?;
        let config = wheelfield_config::parse(&against.display().to_string(), &text)?;
        return what_if::compare_settings(file, &config.settings, max_shown);
    }
    diff_against_program(file, against, max_shown as u64)
}

fn diff_against_program(file: &Path, program: &Path, max_shown: u64) -> Result<Outcome> {
    let names = read_names(file)?;
    let mut other_build = OtherBuild::start(program, file)?;
    let mut player = open_over_gaps(file)?;
    let mut table = DifferenceTable::default();
    while let Some(step) = player.next_step()? {
        let other_answer = other_build.next_answer()?;
        table.record_class(&step);
        table.steps += 1;
        if other_answer == step.answer {
            continue;
        }
        table.different_steps += 1;
        table.add(&step.answer, &other_answer, &names);
        if table.different_steps <= max_shown {
            print_difference(&step, &other_answer, &names);
        }
    }
    other_build.wait()?;
    table.print();
    Ok(Outcome::from_all_equal(table.different_steps == 0))
}

/// The replay program of another build, running `export --replayed`.
struct OtherBuild {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl OtherBuild {
    fn start(program: &Path, file: &Path) -> Result<OtherBuild> {
        let mut child = Command::new(program)
            .args(["export", "--replayed"])
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stdout = child
            .stdout
            .take()
            .context("the other build has no standard output")?;
        Ok(OtherBuild {
            child,
            lines: BufReader::new(stdout).lines(),
        })
    }

    /// Reads the answer of the other build to the next step.
    fn next_answer(&mut self) -> Result<Vec<Instruction>> {
        let line = self
            .lines
            .next()
            .context("the other build exported fewer steps than this one")??;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        serde_json::from_value(line["out"].clone())
            .context("cannot compare: the other build exports instructions in a different format")
    }

    fn wait(&mut self) -> Result<()> {
        self.child.wait()?;
        Ok(())
    }
}

fn print_difference(step: &ReplayedStep, other_answer: &[Instruction], names: &Names) {
    outln!(
        "step {}: {}",
        step.recorded.number,
        describe_input(&step.recorded, names)
    );
    for instruction in &step.answer {
        outln!(
            "  this build:  {}",
            describe_instruction(instruction, names)
        );
    }
    for instruction in other_answer {
        outln!(
            "  other build: {}",
            describe_instruction(instruction, names)
        );
    }
}

/// Group of instructions that are counted together.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    kind: String,
    class: String,
    engine: String,
}

/// Numbers of instructions that only one of the builds returned.
#[derive(Default)]
struct Counts {
    this_only: u64,
    other_only: u64,
}

/// Counts of differing instructions by kind, class and engine.
#[derive(Default)]
struct DifferenceTable {
    steps: u64,
    different_steps: u64,
    counts: BTreeMap<GroupKey, Counts>,
    /// Class index of each query so far.
    class_of_query: BTreeMap<QueryId, usize>,
}

impl DifferenceTable {
    /// Stores the class of an arriving query.
    fn record_class(&mut self, step: &ReplayedStep) {
        if let (Some((arrival, _)), Some(query)) = (step.recorded.input.arrival(), step.accepted) {
            self.class_of_query.insert(query, arrival.class);
        }
    }

    /// Counts the instructions that only one of the two answers contains.
    fn add(&mut self, this_answer: &[Instruction], other_answer: &[Instruction], names: &Names) {
        for instruction in this_answer
            .iter()
            .filter(|instruction| !other_answer.contains(instruction))
        {
            self.counts
                .entry(self.key(instruction, names))
                .or_default()
                .this_only += 1;
        }
        for instruction in other_answer
            .iter()
            .filter(|instruction| !this_answer.contains(instruction))
        {
            self.counts
                .entry(self.key(instruction, names))
                .or_default()
                .other_only += 1;
        }
    }

    fn key(&self, instruction: &Instruction, names: &Names) -> GroupKey {
        let class_of = |query: &QueryId| {
            names
                .class_name(
                    self.class_of_query
                        .get(query)
                        .copied()
                        .unwrap_or(usize::MAX),
                )
                .to_string()
        };
        let not_applicable = || "-".to_string();
        match instruction {
            Instruction::Start {
                attempt, engine, ..
            } => GroupKey {
                kind: "send".into(),
                class: class_of(&attempt.query),
                engine: names.engine_name(*engine),
            },
            Instruction::Answer(query, answer) => {
                let answer = format!("{answer:?}");
                let kind = answer.split([' ', '{']).next().unwrap_or("").to_lowercase();
                GroupKey {
                    kind,
                    class: class_of(query),
                    engine: not_applicable(),
                }
            }
            Instruction::Cancel(attempt) => GroupKey {
                kind: "cancel".into(),
                class: class_of(&attempt.query),
                engine: not_applicable(),
            },
            _ => GroupKey {
                kind: "other".into(),
                class: not_applicable(),
                engine: not_applicable(),
            },
        }
    }

    fn print(&self) {
        outln!(
            "{} of {} steps have a different answer",
            self.different_steps,
            self.steps
        );
        if self.different_steps == 0 {
            return;
        }
        outln!(
            "{:<12} {:<16} {:<14} {:>9} {:>10}",
            "kind",
            "class",
            "engine",
            "this only",
            "other only"
        );
        for (
            GroupKey {
                kind,
                class,
                engine,
            },
            Counts {
                this_only,
                other_only,
            },
        ) in &self.counts
        {
            outln!("{kind:<12} {class:<16} {engine:<14} {this_only:>9} {other_only:>10}");
        }
    }
}
