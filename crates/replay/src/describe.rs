//! Describes steps and instructions in plain words, for operators.

use crate::Step;
use wheelfield::interface::{AttemptUpdate, EngineEntry, EngineId, LoadReport, Outcome};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Answer, Arrival, AttemptId, Input, Instruction};

/// The names that stand for numbers in descriptions.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of engines.
    pub engines: Vec<(EngineId, String)>,
    /// Names of classes, by position.
    pub classes: Vec<String>,
}

impl Names {
    /// The name of an engine, or its number if it has none.
    pub fn engine_name(&self, id: EngineId) -> String {
        let known = self.engines.iter().rev().find(|(e, _)| *e == id);
        known.map_or_else(|| format!("engine {:x}", id.0), |(_, name)| name.clone())
    }

    /// The name of a class, or `?`.
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("?", String::as_str)
    }
}

/// Describes a load report.
pub fn describe_load_report(report: &LoadReport) -> String {
    let part = |name: &str, x: Option<f64>| x.map(|x| format!("{name} {x:.2}"));
    let parts = [
        part("cores", report.utilisation),
        part("in hand", report.in_flight),
        part("waiting", report.queued),
        part("memory", report.memory_granted),
        part("disks", report.disk_utilisation),
    ];
    let reported: Vec<String> = parts.into_iter().flatten().collect();
    if reported.is_empty() {
        "no load told".into()
    } else {
        reported.join(", ")
    }
}

/// Describes the input of a step.
pub fn describe_input(step: &Step, names: &Names) -> String {
    match &step.input {
        RecordedInput::Due => "time passed".into(),
        RecordedInput::Woke(token) => format!("timer {token} ran out"),
        RecordedInput::Arrive { arrival, label }
        | RecordedInput::ArriveAs { arrival, label, .. } => {
            describe_arrival(step, arrival, label, names)
        }
        RecordedInput::Input(input) => describe_driver_input(input, names),
    }
}

fn describe_arrival(step: &Step, arrival: &Arrival, label: &str, names: &Names) -> String {
    let number = step
        .accepted
        .map_or("not taken".into(), |query| format!("query {}", query.0));
    let label = if label.is_empty() {
        String::new()
    } else {
        format!(" `{label}`")
    };
    let class = names.class_name(arrival.class);
    let work = arrival
        .work_hint
        .map_or(String::new(), |work| format!(", about {work:.2} s of work"));
    let time_left = (arrival.deadline - step.at).as_secs_f64();
    format!("{number}{label} of class {class}{work}, due in {time_left:.1} s")
}

fn describe_driver_input(input: &Input, names: &Names) -> String {
    match input {
        Input::Started => "the controller started".into(),
        Input::GatewayCountChanged { count, index } => {
            format!("{count} controllers share the engines, this is number {index}")
        }
        Input::Engines { complete, entries } => describe_engine_list(*complete, entries, names),
        Input::ListUnavailable => "the engine list could not be had".into(),
        Input::Dispatched(attempt) => format!("attempt {attempt} was written"),
        Input::AnswerStarted(attempt) => format!("the answer of attempt {attempt} began"),
        Input::AttemptUpdated(attempt, update) => describe_update(*attempt, update),
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
            format!(
                "attempt {attempt} {}; {}",
                describe_outcome(outcome),
                describe_load_report(report)
            )
        }
        Input::Abandoned(query) => format!("the client of query {} left", query.0),
        Input::ShutdownDeadline(query) => {
            format!(
                "query {} must have its answer, as the controller ends",
                query.0
            )
        }
        Input::ProbeEnded {
            engine,
            outcome,
            report,
        } => {
            let (engine, report) = (names.engine_name(*engine), describe_load_report(report));
            format!("a probe of {engine} came back {outcome:?}; {report}")
        }
        Input::PeerReports(reports) => {
            format!("another controller told of {} engines", reports.len())
        }
    }
}

fn describe_engine_list(complete: bool, entries: &[EngineEntry], names: &Names) -> String {
    let what = if complete {
        "the engine list"
    } else {
        "changes of the engine list"
    };
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!("{} {:?}", names.engine_name(entry.engine), entry.status).to_lowercase()
        })
        .collect();
    format!("{what}: {}", entries.join(", "))
}

fn describe_update(attempt: AttemptId, update: &AttemptUpdate) -> String {
    match update {
        AttemptUpdate::Progress(done) => format!("attempt {attempt} is {:.0}% done", done * 100.0),
        AttemptUpdate::Spills(mb) => format!("attempt {attempt} spills for want of {mb:.0} MB"),
        AttemptUpdate::WaitsForMemory => format!("attempt {attempt} waits for memory"),
        AttemptUpdate::WaitsForLoad => format!("attempt {attempt} stands still behind a load"),
        AttemptUpdate::Other => format!("word on attempt {attempt}"),
    }
}

fn describe_outcome(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "was served",
        Outcome::Error => "ended in an error of its engine",
        Outcome::Full => "was turned away",
        Outcome::TimedOut => "ran out of time",
        Outcome::ConnectFailed => "found no connection",
        Outcome::ConnectTimedOut => "had no connection in time",
        Outcome::Reset => "lost its connection",
        Outcome::Cancelled => "was withdrawn",
        Outcome::NeverSent => "was never sent",
    }
}

/// Describes an instruction of the driver.
pub fn describe_instruction(instruction: &Instruction, names: &Names) -> String {
    match instruction {
        Instruction::Start {
            attempt, engine, ..
        } => {
            format!("send attempt {attempt} to {}", names.engine_name(*engine))
        }
        Instruction::SetOptions(a, terms) => format!("priority {} for attempt {a}", terms.priority),
        Instruction::Cancel(a) => format!("withdraw attempt {a}"),
        Instruction::Answer(q, Answer::Rejected { retry_after }) => {
            format!(
                "refuse query {}, come back in {} ms",
                q.0,
                retry_after.0 / 1000
            )
        }
        Instruction::Answer(q, Answer::Failed { may_have_run: true }) => {
            format!("fail query {}: it may have run", q.0)
        }
        Instruction::Answer(q, Answer::Failed { .. }) => {
            format!("fail query {}: it did not run", q.0)
        }
        Instruction::Answer(q, Answer::Interrupted) => {
            format!("fail query {}: its answer broke off", q.0)
        }
        Instruction::Probe(e) => format!("probe {}", names.engine_name(*e)),
        Instruction::ShareReports(words) => format!("tell the others of {} engines", words.len()),
        Instruction::Subscribe => "ask for the engine list".into(),
        Instruction::Log(text) => format!("log: {text}"),
    }
}
