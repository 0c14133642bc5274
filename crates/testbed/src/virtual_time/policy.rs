//! What decides in a controller of a day in virtual time: the driver around the module, or a plain policy beside it.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId, Settings, Status};
use wheelfield_driver::{Answer, Arrival, AttemptId, AttemptOptions, CapacityExceeded, Input, Instruction};

pub use wheelfield_pg_gateway::DecisionEngine;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// By the module.
    #[default]
    Module,
    /// Any engine that is up, at random.
    Random,
    /// The engine with the fewest attempts of this controller out.
    Least,
    /// As [`Policy::Least`], with a fixed number of attempts an engine over all controllers, as poolers have it; what
    /// finds none free waits in line, first in first out, until its time is up.
    Pool,
}

/// Attempts an engine for each of its cores, over all controllers, under [`Policy::Pool`]. Twice the cores is what poolers'
/// manuals start from.
const POOL_PER_CORE: f64 = 2.0;

#[derive(Debug)]
struct Held {
    due: Micros,
    arrival: Arrival,
    engine: Option<EngineId>,
}

/// A controller without the module: one attempt for each query, none that is withdrawn, refusals never.
#[derive(Debug)]
pub struct Plain {
    policy: Policy,
    settings: Settings,
    chance: Pcg64Mcg,
    engines: BTreeMap<EngineId, (Status, usize, usize)>,
    out: BTreeMap<EngineId, usize>,
    held: BTreeMap<QueryId, Held>,
    by_due: BTreeMap<(Micros, QueryId), ()>,
    line: VecDeque<QueryId>,
    next: u64,
}

impl Plain {
    /// A controller of this policy.
    pub fn new(policy: Policy, settings: Settings, seed: u64) -> Plain {
        Plain {
            policy,
            settings,
            chance: Pcg64Mcg::seed_from_u64(seed),
            engines: BTreeMap::new(),
            out: BTreeMap::new(),
            held: BTreeMap::new(),
            by_due: BTreeMap::new(),
            line: VecDeque::new(),
            next: 0,
        }
    }

    /// Attempts of this controller that an engine may have.
    fn limit(&self, kind: usize) -> usize {
        let cores = self.settings.cores.get(kind).copied().unwrap_or(1.0);
        // A fixed pool is divided evenly; nobody has less than one session.
        ((cores * POOL_PER_CORE / self.settings.gateway_count.max(1.0)).round() as usize).max(1)
    }

    fn choose(&mut self, class: usize) -> Option<EngineId> {
        let class = self.settings.classes.get(class)?;
        let fits = |zone: usize, kind: usize| {
            (class.zones.is_empty() || class.zones.contains(&zone))
                && (class.kinds.is_empty() || class.kinds.contains(&kind))
        };
        let up: Vec<(usize, EngineId)> = self
            .engines
            .iter()
            .filter(|(_, (status, zone, kind))| *status == Status::Up && fits(*zone, *kind))
            .map(|(id, (_, _, kind))| (*kind, *id))
            .collect();
        let out = |id: &EngineId| self.out.get(id).copied().unwrap_or(0);
        let able: Vec<EngineId> = match self.policy {
            Policy::Pool => up.iter().filter(|(k, id)| out(id) < self.limit(*k)).map(|(_, id)| *id).collect(),
            _ => up.iter().map(|(_, id)| *id).collect(),
        };
        let fewest = able.iter().map(out).min()?;
        let able: Vec<EngineId> = match self.policy {
            Policy::Random => able,
            _ => able.into_iter().filter(|id| out(id) == fewest).collect(),
        };
        (!able.is_empty()).then(|| able[self.chance.random_range(0..able.len())])
    }

    fn start(&mut self, id: QueryId, instructions: &mut Vec<Instruction>) -> bool {
        let Some(class) = self.held.get(&id).map(|h| h.arrival.class) else { return true };
        let Some(engine) = self.choose(class) else { return false };
        *self.out.entry(engine).or_default() += 1;
        if let Some(held) = self.held.get_mut(&id) {
            held.engine = Some(engine);
        }
        let attempt = AttemptId { query: id, number: 0 };
        instructions.push(Instruction::Start { attempt, engine, options: AttemptOptions::default() });
        true
    }

    fn forget(&mut self, id: QueryId) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.by_due.remove(&(held.due, id));
        Some(held)
    }

    fn free(&mut self, engine: EngineId, out: &mut Vec<Instruction>) {
        if let Some(n) = self.out.get_mut(&engine) {
            *n = n.saturating_sub(1);
        }
        while let Some(id) = self.line.front().copied() {
            if self.held.contains_key(&id) && !self.start(id, out) {
                return;
            }
            self.line.pop_front();
        }
    }
}

impl DecisionEngine for Plain {
    fn submit(
        &mut self,
        _: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        self.next += 1;
        let (id, due) = (QueryId(self.next), arrival.deadline);
        self.held.insert(id, Held { due, arrival, engine: None });
        self.by_due.insert((due, id), ());
        if !self.line.is_empty() || !self.start(id, out) {
            self.line.push_back(id);
        }
        Ok(id)
    }

    fn handle_input(&mut self, _: Micros, input: Input, out: &mut Vec<Instruction>) {
        match input {
            Input::Engines { complete: whole, entries } => {
                if whole {
                    self.engines.clear();
                }
                for e in entries {
                    self.engines.insert(e.engine, (e.status, e.zone, e.kind));
                }
            }
            Input::AttemptEnded { attempt, outcome, .. } => {
                let Some(held) = self.forget(attempt.query) else { return };
                if outcome != Outcome::Served {
                    let may_have_run = !outcome.never_ran();
                    out.push(Instruction::Answer(attempt.query, Answer::Failed { may_have_run }));
                }
                held.engine.into_iter().for_each(|engine| self.free(engine, out));
            }
            Input::Abandoned(query) => {
                let held = self.forget(query);
                held.and_then(|h| h.engine).into_iter().for_each(|engine| self.free(engine, out));
            }
            Input::Started if self.settings.subscribe => out.push(Instruction::Subscribe),
            _ => {}
        }
    }

    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        let ripe: Vec<QueryId> =
            self.by_due.keys().take_while(|(due, _)| *due <= now).map(|(_, id)| *id).collect();
        for id in &ripe {
            let Some(held) = self.forget(*id) else { continue };
            out.push(Instruction::Answer(*id, Answer::Failed { may_have_run: held.engine.is_some() }));
            if let Some(engine) = held.engine {
                out.push(Instruction::Cancel(AttemptId { query: *id, number: 0 }));
                self.free(engine, out);
            }
        }
        !ripe.is_empty()
    }

    fn next_timer_at(&self) -> Option<Micros> {
        self.by_due.keys().next().map(|(due, _)| *due)
    }

    fn may_write(&self, _: Micros, attempt: AttemptId) -> bool {
        let engine = self.held.get(&attempt.query).and_then(|h| h.engine);
        engine.is_some_and(|e| self.engines.get(&e).is_some_and(|(s, ..)| *s == Status::Up))
    }

    fn may_answer(&self, attempt: AttemptId) -> bool {
        self.held.contains_key(&attempt.query)
    }

    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.held.contains_key(&attempt.query)
    }
}
