//! Steps and instructions in words that an operator reads.

use crate::Step;
use wheelfield::interface::{AttemptUpdate, EngineId, LoadReport, Outcome};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Answer, Input, Instruction};

/// Names by which numbers are shown.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Engines.
    pub engines: Vec<(EngineId, String)>,
    /// Classes, by position.
    pub classes: Vec<String>,
}

impl Names {
    /// An engine's name, or its number.
    pub fn engine(&self, id: EngineId) -> String {
        let known = self.engines.iter().rev().find(|(e, _)| *e == id);
        known.map_or_else(|| format!("engine {:x}", id.0), |(_, name)| name.clone())
    }

    /// A class's name.
    pub fn class(&self, class: usize) -> &str {
        self.classes.get(class).map_or("?", String::as_str)
    }
}

/// A load as told.
pub fn report(r: &LoadReport) -> String {
    let part = |name: &str, x: Option<f64>| x.map(|x| format!("{name} {x:.2}"));
    let parts = [
        part("cores", r.utilisation),
        part("in hand", r.in_flight),
        part("waiting", r.queued),
        part("memory", r.memory_granted),
        part("disks", r.disk_utilisation),
    ];
    let told: Vec<String> = parts.into_iter().flatten().collect();
    if told.is_empty() {
        "no load told".into()
    } else {
        told.join(", ")
    }
}

/// What the driver was told, in words.
pub fn told(step: &Step, names: &Names) -> String {
    match &step.told {
        RecordedInput::Due => "time passed".into(),
        RecordedInput::Woke(token) => format!("timer {token} ran out"),
        RecordedInput::Arrive { arrival, label } | RecordedInput::ArriveAs { arrival, label, .. } => {
            let number = step.taken.map_or("not taken".into(), |q| format!("query {}", q.0));
            let work = arrival.work_hint.map_or(String::new(), |w| format!(", about {w:.2} s of work"));
            let label = if label.is_empty() { String::new() } else { format!(" `{label}`") };
            let left = (arrival.deadline - step.at).as_secs_f64();
            format!("{number}{label} of class {}{work}, due in {left:.1} s", names.class(arrival.class))
        }
        RecordedInput::Input(input) => match input {
            Input::Started => "the controller started".into(),
            Input::GatewayCountChanged { count, index } => {
                format!("{count} controllers share the engines, this is number {index}")
            }
            Input::Engines { complete: whole, entries } => {
                let lines: Vec<String> = entries
                    .iter()
                    .map(|e| format!("{} {:?}", names.engine(e.engine), e.status).to_lowercase())
                    .collect();
                let what = if *whole { "the engine list" } else { "changes of the engine list" };
                format!("{what}: {}", lines.join(", "))
            }
            Input::ListUnavailable => "the engine list could not be had".into(),
            Input::Dispatched(a) => format!("attempt {a} was written"),
            Input::AnswerStarted(a) => format!("the answer of attempt {a} began"),
            Input::AttemptUpdated(a, note) => match note {
                AttemptUpdate::Progress(x) => format!("attempt {a} is {:.0}% done", x * 100.0),
                AttemptUpdate::Spills(mb) => format!("attempt {a} spills for want of {mb:.0} MB"),
                AttemptUpdate::WaitsForMemory => format!("attempt {a} waits for memory"),
                AttemptUpdate::WaitsForLoad => format!("attempt {a} stands still behind a load"),
                AttemptUpdate::Other => format!("word on attempt {a}"),
            },
            Input::AttemptEnded { attempt, outcome, report: r, .. }
            | Input::AttemptMeasured { attempt, outcome, report: r, .. } => {
                let how = match outcome {
                    Outcome::Served => "was served",
                    Outcome::Error => "ended in an error of its engine",
                    Outcome::Full => "was turned away",
                    Outcome::TimedOut => "ran out of time",
                    Outcome::ConnectFailed => "found no connection",
                    Outcome::ConnectTimedOut => "had no connection in time",
                    Outcome::Reset => "lost its connection",
                    Outcome::Cancelled => "was withdrawn",
                    Outcome::NeverSent => "was never sent",
                };
                format!("attempt {attempt} {how}; {}", report(r))
            }
            Input::Abandoned(q) => format!("the client of query {} left", q.0),
            Input::ShutdownDeadline(q) => {
                format!("query {} must have its answer, as the controller ends", q.0)
            }
            Input::ProbeEnded { engine, outcome, report: r } => {
                format!("a probe of {} came back {outcome:?}; {}", names.engine(*engine), report(r))
            }
            Input::PeerReports(words) => format!("another controller told of {} engines", words.len()),
        },
    }
}

/// What the driver answered, in words.
pub fn answered(i: &Instruction, names: &Names) -> String {
    match i {
        Instruction::Start { attempt, engine, .. } => {
            format!("send attempt {attempt} to {}", names.engine(*engine))
        }
        Instruction::SetOptions(a, terms) => format!("priority {} for attempt {a}", terms.priority),
        Instruction::Cancel(a) => format!("withdraw attempt {a}"),
        Instruction::Answer(q, Answer::Rejected { retry_after }) => {
            format!("refuse query {}, come back in {} ms", q.0, retry_after.0 / 1000)
        }
        Instruction::Answer(q, Answer::Failed { may_have_run: true }) => {
            format!("fail query {}: it may have run", q.0)
        }
        Instruction::Answer(q, Answer::Failed { .. }) => format!("fail query {}: it did not run", q.0),
        Instruction::Answer(q, Answer::Interrupted) => format!("fail query {}: its answer broke off", q.0),
        Instruction::Probe(e) => format!("probe {}", names.engine(*e)),
        Instruction::ShareReports(words) => format!("tell the others of {} engines", words.len()),
        Instruction::Subscribe => "ask for the engine list".into(),
        Instruction::Log(text) => format!("log: {text}"),
    }
}
