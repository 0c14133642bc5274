//! A common form for the actions of the policy module and the instructions of the driver, so that both can be compared.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::*;
use wheelfield_driver::{Answer, AttemptId, AttemptOptions, Instruction};

/// A decision of the policy module or the driver.
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
    /// Converts an instruction of the driver. Returns `None` for an interrupted answer, which the simulator handles itself.
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

/// Converts the actions of the policy module to decisions. Actions refer to queries where instructions refer to attempts, so it
/// keeps track of the attempts of each query.
#[derive(Default)]
pub struct ModuleDecisions {
    /// Decisions that have not been compared yet, in the order of the actions.
    pub pending: VecDeque<Decision>,
    /// Options of the next attempt of each query.
    options: BTreeMap<QueryId, AttemptOptions>,
    attempts_started: BTreeMap<QueryId, usize>,
    /// Attempts that have neither ended nor been cancelled. New options apply to them.
    in_flight: BTreeSet<AttemptId>,
}

impl ModuleDecisions {
    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
    }

    /// Converts an action and adds the resulting decisions.
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

    /// Sets the options of the next attempts of a query, and of its attempts in flight.
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
