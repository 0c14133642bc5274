//! The engine list: applies updates, and delays new queries after the process was suspended.

use super::Dispatcher;
use crate::coverage::Coverage;
use crate::engine_events::ReadyAttempt;
use crate::registry::RegistryUpdate;
use crate::timer_event::TimerEvent;
use tracing::{info, warn};
use wheelfield::interface::Status;
use wheelfield_driver::Input;
use wheelfield_endpoints::tracker::{parse_registry_list, EngineListChange};
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Notes that the process is running. After a longer inactivity, requests the engine list and the
    /// endpoint files anew before further queries are accepted.
    pub fn note_activity(&mut self) {
        let is_unavailable = self.registry.is_unavailable;
        let Some(waits_until) = self.list_age.note_activity(self.out.now, is_unavailable) else { return };
        warn!("the process was suspended; new queries wait for the list of engines");
        if self.list_age.awaits_registry() {
            self.registry.restart_request(self.endpoint_sets.registry_version(), &mut self.out);
        }
        let withdrawn = self.engines.withdraw_all_unwritten();
        self.withheld_attempts.extend(withdrawn);
        for wait_until in waits_until {
            self.out.set_timer_at(wait_until, TimerEvent::EngineListWaitTimeout);
        }
    }

    /// Whether new queries and attempts wait for the engine list.
    pub(super) fn is_engine_list_awaited(&self) -> bool {
        self.list_age.is_awaited(self.out.now, self.registry.is_awaiting_response())
    }

    /// The next attempt that was withdrawn or has waited, once the engine list is not awaited.
    pub(super) fn next_withheld_attempt(&mut self) -> Option<ReadyAttempt> {
        match self.is_engine_list_awaited() {
            true => None,
            false => self.withheld_attempts.pop_front(),
        }
    }

    /// The next client with input to process. While the engine list is awaited, only clients that are
    /// leaving are returned.
    pub(super) fn next_ready_client(&mut self) -> Option<ConnId> {
        if !self.is_engine_list_awaited() {
            return self.ready_clients.pop_front();
        }
        let leaving = self.ready_clients.iter().position(|id| self.clients.is_leaving(*id))?;
        self.ready_clients.remove(leaving)
    }

    pub fn handle_registry_update(&mut self, update: Option<RegistryUpdate>) {
        match update {
            None => {}
            Some(RegistryUpdate::Unavailable) => {
                self.out.record(Coverage::EngineListUnavailable);
                self.driver.handle_input(self.out.now, Input::ListUnavailable);
            }
            Some(RegistryUpdate::List(body)) => {
                let version = self.endpoint_sets.registry_version();
                match parse_registry_list(&body, &self.config.names, version) {
                    Ok(set) => {
                        let change = self.endpoint_sets.update_from_registry(set, self.out.now);
                        self.apply_change(change);
                    }
                    Err(fault) => {
                        self.endpoint_sets.counters.rejected += 1;
                        self.out.record(Coverage::EngineListRejected);
                        warn!(%fault, "engine list rejected; keeping the previous list");
                    }
                }
            }
        }
    }

    /// Applies a change of the engine list.
    pub fn apply_change(&mut self, change: Option<EngineListChange>) {
        let Some(EngineListChange { is_complete, entries }) =
            change.filter(|change| change.is_complete || !change.entries.is_empty())
        else {
            return;
        };
        self.out.record(Coverage::EngineListApplied);
        let engines = self.endpoint_sets.engines();
        for entry in &entries {
            info!(engine = engines.name(entry.engine), status = ?entry.status, "engine list entry applied");
        }
        let now = self.out.now;
        self.driver
            .record_engine_names(now, engines.records().iter().map(|(id, known)| (*id, known.name.clone())));
        for entry in &entries {
            if let Some(known) = engines.records().get(&entry.engine) {
                let is_up = known.entry.status == Status::Up;
                self.engines.set_engine(entry.engine, known.address, is_up, &mut self.out);
            }
        }
        let engines = self.endpoint_sets.engines();
        self.engines.pools.forget_unlisted(|engine| {
            engines.records().get(&engine).is_some_and(|known| known.entry.status != Status::Removed)
        });
        self.driver.handle_input(now, Input::Engines { complete: is_complete, entries });
    }
}
