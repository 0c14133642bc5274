//! The list of engines: what the registry tells, what changes by it, and the wait for it after a suspension.

use super::Dispatcher;
use crate::coverage::Coverage;
use crate::registry::Told;
use crate::timer_event::TimerEvent;
use tracing::{info, warn};
use wheelfield::interface::Status;
use wheelfield_driver::Input;
use wheelfield_endpoints::tracker::{parse_registry_list, EngineListChange};
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// The process is active. If it was not for long, the registry is asked, and files are read, before new queries are taken.
    pub fn note_activity(&mut self) {
        let Some(wait_until) = self.list_age.note_activity(self.out.now) else { return };
        warn!("the process was suspended; new queries wait for the list of engines");
        if self.list_age.polls_registry() {
            self.call.ask_anew(self.sets.registry_version(), &mut self.out);
        }
        self.out.set_timer_at(wait_until, TimerEvent::ListWaitOver);
    }

    /// The next client to be looked at. While the list is waited for only those that leave are.
    pub(super) fn next_ready(&mut self) -> Option<ConnId> {
        if !self.list_age.is_awaited(self.out.now, self.call.waiting()) {
            return self.ready.pop_front();
        }
        let leaving = self.ready.iter().position(|id| self.clients.is_leaving(*id))?;
        self.ready.remove(leaving)
    }

    pub fn registry_told(&mut self, told: Option<Told>) {
        match told {
            None => {}
            Some(Told::Unavailable) => {
                self.out.saw(Coverage::ListMissing);
                self.tape.handle_input(self.out.now, Input::ListUnavailable);
            }
            Some(Told::List(body)) => {
                let version = self.sets.registry_version();
                match parse_registry_list(&body, &self.config.names, version) {
                    Ok(set) => {
                        let change = self.sets.registry(set, self.out.now);
                        self.changed(change);
                    }
                    Err(fault) => {
                        self.sets.counts.refused += 1;
                        self.out.saw(Coverage::ListRefused);
                        warn!(%fault, "a list of engines was refused; the last one stays");
                    }
                }
            }
        }
    }

    /// The engine list has changed.
    pub fn changed(&mut self, change: Option<EngineListChange>) {
        let Some(EngineListChange { is_complete, entries }) =
            change.filter(|c| c.is_complete || !c.entries.is_empty())
        else {
            return;
        };
        self.out.saw(Coverage::ListTaken);
        let known = self.sets.engines();
        for entry in &entries {
            info!(engine = known.name(entry.engine), status = ?entry.status, "engine list");
        }
        let now = self.out.now;
        self.tape.record_engine_names(now, known.records().iter().map(|(id, k)| (*id, k.name.clone())));
        for entry in &entries {
            if let Some(k) = known.records().get(&entry.engine) {
                let up = k.entry.status == Status::Up;
                self.engines.listed(entry.engine, k.address, up, &mut self.out);
            }
        }
        self.tape.handle_input(now, Input::Engines { complete: is_complete, entries });
    }
}
