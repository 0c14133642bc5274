//! The endpoint list: which engines exist, and which of them started recently.

use super::{fuzzy, TICKS_PER_PERIOD};
use crate::gateway::Gateway;
use crate::interface::*;
use crate::state::Engine;

/// Number of consecutive failed subscriptions after which the backoff stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Maximum number of removed engines whose state is kept, so that an engine that returns soon keeps what
/// was learned about it. Beyond that the state of the engine that was used least recently is dropped; if it
/// returns, it is a new engine.
const MAX_REMOVED_ENGINES: usize = 1_024;

impl Gateway {
    pub(crate) fn update_endpoint_list(&mut self, now: Micros, entries: Vec<EngineEntry>) {
        let received_before = std::mem::replace(&mut self.endpoint_list.received, true);
        self.endpoint_list.failures = 0;
        for entry in entries {
            self.update_endpoint(now, entry, received_before);
        }
        self.forget_removed_engines();
    }

    /// Drops the state of removed engines beyond [`MAX_REMOVED_ENGINES`]. Engines with attempts in flight are
    /// kept.
    fn forget_removed_engines(&mut self) {
        let is_removed = |engine: &&Engine| engine.entry.status == Status::Removed && engine.is_idle();
        let removed = self.engines.values().filter(is_removed);
        let mut by_last_use: Vec<(Micros, EngineId)> =
            removed.map(|engine| (engine.last_used_at(), engine.entry.engine)).collect();
        let excess = by_last_use.len().saturating_sub(MAX_REMOVED_ENGINES);
        by_last_use.sort_unstable();
        for (_, engine) in by_last_use.into_iter().take(excess) {
            self.engines.remove(&engine);
        }
    }

    fn update_endpoint(&mut self, now: Micros, entry: EngineEntry, received_before: bool) {
        let settings = &self.settings;
        let objective =
            settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or_default();
        let cores = settings.cores.get(entry.kind).copied().unwrap_or(1.0).max(1.0);
        let memory_mb = settings.memory_mb.get(entry.kind).copied().unwrap_or(0.0);
        let limit = fuzzy::initial_limit(cores, objective.max(Micros(0)), settings.gateway_count);
        let is_new = !self.engines.contains_key(&entry.engine);
        let engine = self
            .engines
            .entry(entry.engine)
            .or_insert_with(|| Engine::new(entry.clone(), cores, memory_mb, limit));
        let is_up_again = !engine.is_up() && entry.status == Status::Up;
        let restarted = entry.started_at.is_some() && entry.started_at != engine.entry.started_at;
        // The list may be out of date about start times: an engine that is new in the list or up again
        // without a start time is treated as having just started.
        if restarted || (is_new && received_before) || is_up_again {
            let started_at = entry.started_at.unwrap_or(now);
            engine.reset_for_new_process(engine.slow_start.started_at.max(Some(started_at)), now);
        } else if is_new {
            engine.slow_start.started_at = entry.started_at;
        }
        if entry.kind != engine.entry.kind {
            // The engine was resized in place. Its work limit is scaled, since what was learned applies
            // to each core.
            engine.work_limit.limit *= cores / engine.cores;
            engine.work_limit.initial = limit;
            (engine.cores, engine.memory_mb) = (cores, memory_mb);
        }
        engine.entry = entry;
    }

    /// Schedules the next subscription after a failure, with exponential backoff.
    pub(crate) fn schedule_subscription(&mut self) {
        self.endpoint_list.failures += 1;
        let periods = 1 << self.endpoint_list.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.endpoint_list.subscribe_at_tick = Some(self.ticks + periods * TICKS_PER_PERIOD / 2);
    }
}
