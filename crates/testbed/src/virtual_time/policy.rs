//! Decision engines of a simulated controller: the driver around the policy module, or a baseline
//! policy to compare it with.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId, Settings, Status};
use wheelfield_driver::{Answer, Arrival, AttemptId, AttemptOptions, CapacityExceeded, Input, Instruction};

pub use wheelfield_pg_gateway::DecisionEngine;

/// How a controller chooses the engine for a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// The policy module chooses.
    #[default]
    Module,
    /// A random engine among those that are up.
    Random,
    /// The engine with the fewest attempts of this controller in flight.
    Least,
    /// As [`Policy::Least`], but with a fixed limit of concurrent attempts per engine, summed over
    /// all controllers, as connection poolers have it. A query that finds no engine below its limit
    /// waits in a FIFO queue until its deadline.
    Pool,
}

/// Limit of concurrent attempts per core of an engine, summed over all controllers, under
/// [`Policy::Pool`]. Manuals of connection poolers recommend twice the number of cores as a
/// starting value.
const POOL_ATTEMPTS_PER_CORE: f64 = 2.0;

#[derive(Debug)]
struct PendingQuery {
    deadline: Micros,
    arrival: Arrival,
    engine: Option<EngineId>,
}

/// A decision engine without the policy module: it makes one attempt per query, cancels it only at
/// the query's deadline, and never refuses a query.
#[derive(Debug)]
pub struct BaselinePolicy {
    policy: Policy,
    settings: Settings,
    rng: Pcg64Mcg,
    engines: BTreeMap<EngineId, (Status, usize, usize)>,
    in_flight: BTreeMap<EngineId, usize>,
    pending: BTreeMap<QueryId, PendingQuery>,
    by_deadline: BTreeMap<(Micros, QueryId), ()>,
    wait_queue: VecDeque<QueryId>,
    last_query_id: u64,
}

impl BaselinePolicy {
    /// Creates a decision engine with this policy.
    pub fn new(policy: Policy, settings: Settings, seed: u64) -> BaselinePolicy {
        BaselinePolicy {
            policy,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            engines: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            pending: BTreeMap::new(),
            by_deadline: BTreeMap::new(),
            wait_queue: VecDeque::new(),
            last_query_id: 0,
        }
    }

    /// Maximum number of concurrent attempts of this controller on an engine of this kind.
    fn attempt_limit(&self, kind: usize) -> usize {
        let cores = self.settings.cores.get(kind).copied().unwrap_or(1.0);
        // The limit is divided evenly among the controllers; each has at least one session per
        // engine.
        ((cores * POOL_ATTEMPTS_PER_CORE / self.settings.gateway_count.max(1.0)).round() as usize).max(1)
    }

    fn choose_engine(&mut self, class: usize) -> Option<EngineId> {
        let class = self.settings.classes.get(class)?;
        let is_eligible = |zone: usize, kind: usize| {
            (class.zones.is_empty() || class.zones.contains(&zone))
                && (class.kinds.is_empty() || class.kinds.contains(&kind))
        };
        let up: Vec<(usize, EngineId)> = self
            .engines
            .iter()
            .filter(|(_, (status, zone, kind))| *status == Status::Up && is_eligible(*zone, *kind))
            .map(|(id, (_, _, kind))| (*kind, *id))
            .collect();
        let in_flight = |id: &EngineId| self.in_flight.get(id).copied().unwrap_or(0);
        let candidates: Vec<EngineId> = match self.policy {
            Policy::Pool => up
                .iter()
                .filter(|(k, id)| in_flight(id) < self.attempt_limit(*k))
                .map(|(_, id)| *id)
                .collect(),
            _ => up.iter().map(|(_, id)| *id).collect(),
        };
        let fewest = candidates.iter().map(in_flight).min()?;
        let candidates: Vec<EngineId> = match self.policy {
            Policy::Random => candidates,
            _ => candidates.into_iter().filter(|id| in_flight(id) == fewest).collect(),
        };
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    fn start_attempt(&mut self, id: QueryId, instructions: &mut Vec<Instruction>) -> bool {
        let Some(class) = self.pending.get(&id).map(|h| h.arrival.class) else { return true };
        let Some(engine) = self.choose_engine(class) else { return false };
        *self.in_flight.entry(engine).or_default() += 1;
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.engine = Some(engine);
        }
        let attempt = AttemptId { query: id, number: 0 };
        instructions.push(Instruction::Start { attempt, engine, options: AttemptOptions::default() });
        true
    }

    fn remove_query(&mut self, id: QueryId) -> Option<PendingQuery> {
        let pending = self.pending.remove(&id)?;
        self.by_deadline.remove(&(pending.deadline, id));
        Some(pending)
    }

    fn release_engine(&mut self, engine: EngineId, instructions: &mut Vec<Instruction>) {
        if let Some(n) = self.in_flight.get_mut(&engine) {
            *n = n.saturating_sub(1);
        }
        while let Some(id) = self.wait_queue.front().copied() {
            if self.pending.contains_key(&id) && !self.start_attempt(id, instructions) {
                return;
            }
            self.wait_queue.pop_front();
        }
    }
}

impl DecisionEngine for BaselinePolicy {
    fn submit(
        &mut self,
        _: Micros,
        arrival: Arrival,
        instructions: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        self.last_query_id += 1;
        let (id, deadline) = (QueryId(self.last_query_id), arrival.deadline);
        self.pending.insert(id, PendingQuery { deadline, arrival, engine: None });
        self.by_deadline.insert((deadline, id), ());
        if !self.wait_queue.is_empty() || !self.start_attempt(id, instructions) {
            self.wait_queue.push_back(id);
        }
        Ok(id)
    }

    fn handle_input(&mut self, _: Micros, input: Input, instructions: &mut Vec<Instruction>) {
        match input {
            Input::Engines { complete: is_complete, entries } => {
                if is_complete {
                    self.engines.clear();
                }
                for e in entries {
                    self.engines.insert(e.engine, (e.status, e.zone, e.kind));
                }
            }
            Input::AttemptEnded { attempt, outcome, .. } => {
                let Some(pending) = self.remove_query(attempt.query) else { return };
                if outcome != Outcome::Served {
                    let may_have_run = !outcome.never_ran();
                    instructions.push(Instruction::Answer(attempt.query, Answer::Failed { may_have_run }));
                }
                pending.engine.into_iter().for_each(|engine| self.release_engine(engine, instructions));
            }
            Input::Abandoned(query) => {
                let pending = self.remove_query(query);
                pending
                    .and_then(|h| h.engine)
                    .into_iter()
                    .for_each(|engine| self.release_engine(engine, instructions));
            }
            Input::Started if self.settings.subscribe => instructions.push(Instruction::Subscribe),
            _ => {}
        }
    }

    fn handle_timers(&mut self, now: Micros, instructions: &mut Vec<Instruction>) -> bool {
        let expired: Vec<QueryId> =
            self.by_deadline.keys().take_while(|(deadline, _)| *deadline <= now).map(|(_, id)| *id).collect();
        for id in &expired {
            let Some(pending) = self.remove_query(*id) else { continue };
            instructions
                .push(Instruction::Answer(*id, Answer::Failed { may_have_run: pending.engine.is_some() }));
            if let Some(engine) = pending.engine {
                instructions.push(Instruction::Cancel(AttemptId { query: *id, number: 0 }));
                self.release_engine(engine, instructions);
            }
        }
        !expired.is_empty()
    }

    fn next_timer_at(&self) -> Option<Micros> {
        self.by_deadline.keys().next().map(|(deadline, _)| *deadline)
    }

    fn may_write(&self, _: Micros, attempt: AttemptId) -> bool {
        let engine = self.pending.get(&attempt.query).and_then(|h| h.engine);
        engine.is_some_and(|e| self.engines.get(&e).is_some_and(|(s, ..)| *s == Status::Up))
    }

    fn may_answer(&self, attempt: AttemptId) -> bool {
        self.pending.contains_key(&attempt.query)
    }

    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.pending.contains_key(&attempt.query)
    }
}
