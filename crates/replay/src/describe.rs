//! Describes inputs and instructions of the driver as text for operators.

use crate::Step;
use wheelfield::interface::{AttemptUpdate, EngineEntry, EngineId, LoadReport, Outcome};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Answer, Arrival, AttemptId, Input, Instruction};

/// Names of the engines and classes, for use in descriptions.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// IDs and names of engines.
    pub engines: Vec<(EngineId, String)>,
    /// Names of classes, by class index.
    pub classes: Vec<String>,
}

impl Names {
    /// Returns the name last recorded for an engine, or a text with its ID if it has none.
    pub fn engine_name(&self, id: EngineId) -> String {
        let known = self.engines.iter().rev().find(|(engine, _)| *engine == id);
        known.map_or_else(|| format!("engine {:x}", id.0), |(_, name)| name.clone())
    }

    /// Returns the name of a class, or `?` if the index is unknown.
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("?", String::as_str)
    }
}

/// Describes a load report.
pub fn describe_load_report(report: &LoadReport) -> String {
    let part = |name: &str, value: Option<f64>| value.map(|value| format!("{name} {value:.2}"));
    let parts = [
        part("cores", report.utilisation),
        part("in flight", report.in_flight),
        part("queued", report.queued),
        part("memory", report.memory_granted),
        part("disks", report.disk_utilisation),
    ];
    let reported: Vec<String> = parts.into_iter().flatten().collect();
    if reported.is_empty() {
        "no load reported".into()
    } else {
        reported.join(", ")
    }
}

/// Describes the input of a step.
pub fn describe_input(step: &Step, names: &Names) -> String {
    match &step.input {
        RecordedInput::TimersDue => "time passed".into(),
        RecordedInput::TimerFired(token) => format!("timer {token} fired"),
        RecordedInput::Arrive { arrival, label }
        | RecordedInput::ArriveWithId { arrival, label, .. } => {
            describe_arrival(step, arrival, label, names)
        }
        RecordedInput::Input(input) => describe_driver_input(input, names),
    }
}

fn describe_arrival(step: &Step, arrival: &Arrival, label: &str, names: &Names) -> String {
    let number = step.accepted.map_or("query not accepted".into(), |query| {
        format!("query {}", query.0)
    });
    let label = if label.is_empty() {
        String::new()
    } else {
        format!(" `{label}`")
    };
    let class = names.class_name(arrival.class);
    let work = arrival.work_hint.map_or(String::new(), |work| {
        format!(", estimated work {work:.2} s")
    });
    let time_left = (arrival.deadline - step.at).as_secs_f64();
    format!("{number}{label} of class {class}{work}, deadline in {time_left:.1} s")
}

fn describe_driver_input(input: &Input, names: &Names) -> String {
    match input {
        Input::Started => "the controller started".into(),
        Input::GatewayCountChanged { count, index } => {
            format!("{count} controllers share the engines; this one has index {index}")
        }
        Input::Engines { complete, entries } => describe_engine_list(*complete, entries, names),
        Input::ListUnavailable => "the engine list is unavailable".into(),
        Input::Dispatched(attempt) => format!("attempt {attempt} was sent"),
        Input::AnswerStarted(attempt) => format!("the answer of attempt {attempt} started"),
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
        Input::ServedByEarlierAttempt { attempt, report } => {
            format!(
                "query {} was served, perhaps by an attempt before {attempt}, which was cancelled; {}",
                attempt.query.0,
                describe_load_report(report)
            )
        }
        Input::Abandoned(query) => format!("query {} was abandoned by its client", query.0),
        Input::ShutdownDeadline(query) => {
            format!(
                "query {} must be answered now because the controller is shutting down",
                query.0
            )
        }
        Input::ProbeEnded {
            engine,
            outcome,
            report,
        } => {
            let (engine, report) = (names.engine_name(*engine), describe_load_report(report));
            format!("a probe of {engine} ended with {outcome:?}; {report}")
        }
        Input::PeerReports(reports) => {
            format!(
                "another controller sent load reports of {} engines",
                reports.len()
            )
        }
    }
}

fn describe_engine_list(complete: bool, entries: &[EngineEntry], names: &Names) -> String {
    let list_kind = if complete {
        "the engine list"
    } else {
        "changes to the engine list"
    };
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!("{} {:?}", names.engine_name(entry.engine), entry.status).to_lowercase()
        })
        .collect();
    format!("{list_kind}: {}", entries.join(", "))
}

fn describe_update(attempt: AttemptId, update: &AttemptUpdate) -> String {
    match update {
        AttemptUpdate::Progress(fraction) => {
            format!("attempt {attempt} is {:.0}% done", fraction * 100.0)
        }
        AttemptUpdate::Spills(mb) => {
            format!("attempt {attempt} spills to disk; it lacks {mb:.0} MB of memory")
        }
        AttemptUpdate::WaitsForMemory => format!("attempt {attempt} waits for memory"),
        AttemptUpdate::WaitsForLoad => {
            format!("attempt {attempt} waits for a load of its tables")
        }
        AttemptUpdate::Other => format!("attempt {attempt} sent another update"),
    }
}

fn describe_outcome(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "was served",
        Outcome::Error => "failed with an error from the engine",
        Outcome::Full => "was rejected because the engine is full",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "could not connect",
        Outcome::ConnectTimedOut => "timed out while connecting",
        Outcome::Reset => "lost its connection",
        Outcome::Cancelled => "was cancelled",
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
        Instruction::SetOptions(attempt, options) => {
            format!("set priority {} for attempt {attempt}", options.priority)
        }
        Instruction::Cancel(attempt) => format!("cancel attempt {attempt}"),
        Instruction::Answer(query, Answer::Rejected { retry_after }) => {
            format!(
                "reject query {}, retry after {} ms",
                query.0,
                retry_after.0 / 1000
            )
        }
        Instruction::Answer(query, Answer::Failed { may_have_run: true }) => {
            format!("fail query {}: it may have run", query.0)
        }
        Instruction::Answer(query, Answer::Failed { .. }) => {
            format!("fail query {}: it did not run", query.0)
        }
        Instruction::Answer(query, Answer::Interrupted) => {
            format!("fail query {}: its answer was interrupted", query.0)
        }
        Instruction::Probe(engine) => format!("probe {}", names.engine_name(*engine)),
        Instruction::ShareReports(reports) => {
            format!(
                "send load reports of {} engines to the other controllers",
                reports.len()
            )
        }
        Instruction::Subscribe => "subscribe to the engine list".into(),
        Instruction::Log(text) => format!("log: {text}"),
    }
}
