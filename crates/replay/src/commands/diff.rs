//! `diff`: which steps another build answers otherwise, or this one under another configuration.

use super::{open_over_gaps, read_names, what_if, Outcome};
use anyhow::{Context, Result};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Lines};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use wheelfield::interface::QueryId;
use wheelfield_driver::Instruction;
use wheelfield_replay::describe::{describe_input, describe_instruction, Names};
use wheelfield_replay::ReplayedStep;

/// Compares the decisions of this build with those under a configuration (`.toml`), or with those of another build's replay
/// program.
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
        let other = other_build.next_answer()?;
        table.note_query(&step);
        table.steps += 1;
        if other == step.answer {
            continue;
        }
        table.different_steps += 1;
        table.add(&step.answer, &other, &names);
        if table.different_steps <= max_shown {
            print_difference(&step, &other, &names);
        }
    }
    other_build.wait()?;
    table.print();
    Ok(Outcome::from_equal(table.different_steps == 0))
}

/// Another build's replay program that exports its answers.
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
        let stdout = child.stdout.take().context("no standard output")?;
        Ok(OtherBuild {
            child,
            lines: BufReader::new(stdout).lines(),
        })
    }

    /// Its answer in the next step.
    fn next_answer(&mut self) -> Result<Vec<Instruction>> {
        let line = self
            .lines
            .next()
            .context("the other build stopped early")??;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        serde_json::from_value(line["out"].clone())
            .context("the other build answers in another form: it can't be compared")
    }

    fn wait(&mut self) -> Result<()> {
        self.child.wait()?;
        Ok(())
    }
}

fn print_difference(step: &ReplayedStep, other: &[Instruction], names: &Names) {
    println!(
        "step {}: {}",
        step.recorded.number,
        describe_input(&step.recorded, names)
    );
    for instruction in &step.answer {
        println!("  here  {}", describe_instruction(instruction, names));
    }
    for instruction in other {
        println!("  there {}", describe_instruction(instruction, names));
    }
}

/// What instructions are counted by.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    kind: String,
    class: String,
    engine: String,
}

/// Instructions that only one of the builds gave.
#[derive(Default)]
struct Counts {
    here_only: u64,
    there_only: u64,
}

/// The differences by kind of instruction, class and engine.
#[derive(Default)]
struct DifferenceTable {
    steps: u64,
    different_steps: u64,
    counts: BTreeMap<Key, Counts>,
    /// The classes of the queries so far.
    class_of_query: BTreeMap<QueryId, usize>,
}

impl DifferenceTable {
    /// Takes note of the class of an arriving query.
    fn note_query(&mut self, step: &ReplayedStep) {
        if let (Some((arrival, _)), Some(query)) = (step.recorded.input.arrival(), step.accepted) {
            self.class_of_query.insert(query, arrival.class);
        }
    }

    /// Counts the instructions that only one of two answers has.
    fn add(&mut self, here: &[Instruction], there: &[Instruction], names: &Names) {
        for instruction in here
            .iter()
            .filter(|instruction| !there.contains(instruction))
        {
            self.counts
                .entry(self.key(instruction, names))
                .or_default()
                .here_only += 1;
        }
        for instruction in there
            .iter()
            .filter(|instruction| !here.contains(instruction))
        {
            self.counts
                .entry(self.key(instruction, names))
                .or_default()
                .there_only += 1;
        }
    }

    fn key(&self, instruction: &Instruction, names: &Names) -> Key {
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
        let none = || "-".to_string();
        match instruction {
            Instruction::Start {
                attempt, engine, ..
            } => Key {
                kind: "send".into(),
                class: class_of(&attempt.query),
                engine: names.engine_name(*engine),
            },
            Instruction::Answer(query, answer) => {
                let answer = format!("{answer:?}");
                let kind = answer.split([' ', '{']).next().unwrap_or("").to_lowercase();
                Key {
                    kind,
                    class: class_of(query),
                    engine: none(),
                }
            }
            Instruction::Cancel(attempt) => Key {
                kind: "withdraw".into(),
                class: class_of(&attempt.query),
                engine: none(),
            },
            _ => Key {
                kind: "other".into(),
                class: none(),
                engine: none(),
            },
        }
    }

    fn print(&self) {
        println!(
            "{} of {} steps are answered otherwise",
            self.different_steps, self.steps
        );
        if self.different_steps == 0 {
            return;
        }
        println!(
            "{:<12} {:<16} {:<14} {:>9} {:>10}",
            "kind", "class", "engine", "here only", "there only"
        );
        for (
            Key {
                kind,
                class,
                engine,
            },
            Counts {
                here_only,
                there_only,
            },
        ) in &self.counts
        {
            println!("{kind:<12} {class:<16} {engine:<14} {here_only:>9} {there_only:>10}");
        }
    }
}
