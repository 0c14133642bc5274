//! Decisions in a form that actions of the module and instructions of the driver share, so that both can be compared.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::*;
use wheelfield_driver::{Answer, AttemptId, AttemptOptions, Instruction};

/// Something that the module or the driver wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Start(AttemptId, EngineId, AttemptOptions),
    SetOptions(AttemptId, AttemptOptions),
    Cancel(AttemptId),
    Reject(QueryId, Micros),
    Fail(QueryId),
    Probe(EngineId),
    ShareReports(Vec<PeerLoadReport>),
    Subscribe,
    Log(String),
}

impl Decision {
    /// The decision in an instruction of the driver. `None` for an interrupted answer, which the simulator handles itself.
    pub fn from_instruction(instruction: Instruction) -> Option<Decision> {
        Some(match instruction {
            Instruction::Start {
                attempt,
                engine,
                options,
            } => Decision::Start(attempt, engine, options),
            Instruction::SetOptions(attempt, options) => Decision::SetOptions(attempt, options),
            Instruction::Cancel(attempt) => Decision::Cancel(attempt),
            Instruction::Answer(query, Answer::Rejected { retry_after }) => {
                Decision::Reject(query, retry_after)
            }
            Instruction::Answer(query, Answer::Failed { .. }) => Decision::Fail(query),
            Instruction::Answer(_, Answer::Interrupted) => return None,
            Instruction::Probe(engine) => Decision::Probe(engine),
            Instruction::ShareReports(reports) => Decision::ShareReports(reports),
            Instruction::Subscribe => Decision::Subscribe,
            Instruction::Log(text) => Decision::Log(text),
        })
    }
}

/// The decisions in the actions of the module. Actions name queries where instructions name attempts, so it keeps track of
/// the attempts.
#[derive(Default)]
pub struct ModuleDecisions {
    /// Decisions in the order of the actions, from the first that is not compared yet.
    pub pending: VecDeque<Decision>,
    /// Options of each query's next attempt.
    options: BTreeMap<QueryId, AttemptOptions>,
    attempts_started: BTreeMap<QueryId, usize>,
    /// Attempts that take new options.
    in_flight: BTreeSet<AttemptId>,
}

impl ModuleDecisions {
    /// Takes note of the end of an attempt.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
    }

    /// Adds the decisions in an action.
    pub fn add(&mut self, action: &Action) {
        let decision = match action {
            Action::Send { query, engine, .. } => self.start(*query, *engine),
            Action::SetOptions {
                query,
                grant_mb,
                priority,
            } => {
                let options = AttemptOptions {
                    grant_mb: *grant_mb,
                    priority: *priority,
                };
                return self.set_options(*query, options);
            }
            Action::Cancel { query, attempt } => {
                let attempt = AttemptId {
                    query: *query,
                    number: *attempt,
                };
                self.in_flight.remove(&attempt);
                Decision::Cancel(attempt)
            }
            Action::Reject { query, retry_after } => Decision::Reject(*query, *retry_after),
            Action::Fail { query } => Decision::Fail(*query),
            Action::SetTimer { .. } => return,
            Action::Probe(engine) => Decision::Probe(*engine),
            Action::ShareReports(reports) => Decision::ShareReports(reports.clone()),
            Action::Subscribe => Decision::Subscribe,
            Action::Log(text) => Decision::Log(text.clone()),
        };
        self.pending.push_back(decision);
    }

    fn start(&mut self, query: QueryId, engine: EngineId) -> Decision {
        let started = self.attempts_started.entry(query).or_default();
        let attempt = AttemptId {
            query,
            number: *started,
        };
        *started += 1;
        self.in_flight.insert(attempt);
        Decision::Start(
            attempt,
            engine,
            self.options.get(&query).copied().unwrap_or_default(),
        )
    }

    /// Sets the options of a query's next attempts, and of those in flight.
    fn set_options(&mut self, query: QueryId, options: AttemptOptions) {
        self.options.insert(query, options);
        let first = AttemptId { query, number: 0 };
        let last = AttemptId {
            query,
            number: usize::MAX,
        };
        let in_flight = self.in_flight.range(first..=last);
        self.pending
            .extend(in_flight.map(|attempt| Decision::SetOptions(*attempt, options)));
    }
}
