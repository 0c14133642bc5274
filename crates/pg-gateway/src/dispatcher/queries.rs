//! Queries: clients' messages become queries of the driver, and its answers go to the clients.

use super::Dispatcher;
use crate::clients::Said;
use crate::coverage::Coverage;
use crate::fault_injection::FaultInjection;
use crate::in_flight::InHand;
use crate::shutdown::Stop;
use crate::{peer_load, route};
use tracing::{debug, info, warn};
use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::{Answer, AttemptOptions, Input};
use wheelfield_pg::backend_messages::Diagnostic;
use wheelfield_pg::client::Unit;
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Reads a client's messages as far as they go.
    pub(super) fn attend(&mut self, id: ConnId) {
        while let Some(said) = self.clients.next(id, &mut self.out) {
            match said {
                Said::Run(unit) => self.take(id, unit),
                Said::More(query, frames, swallow, sealed) => {
                    self.engines.sessions.more(query, &frames, &swallow, sealed, &mut self.out);
                    self.out.saw(Coverage::UnitMore);
                    let Some(unit) = self.units.get_mut(query) else { continue };
                    unit.sealed |= sealed;
                    unit.more.push((frames, swallow));
                    if unit.held() > self.config.limits.max_prepared_bytes {
                        self.out.saw(Coverage::UnitTooLong);
                        self.give_up(id, query, &peer_load::too_long());
                    }
                }
                Said::Cancel(pid, key) => self.cancel_of(pid, &key),
                Said::Gone => return self.client_gone(id),
            }
        }
        if self.stop == Stop::Stopping {
            self.clients.end(id, &mut self.out);
        }
    }

    /// Takes a client's unit to the driver.
    fn take(&mut self, id: ConnId, unit: Unit) {
        let now = self.out.now;
        let Some(session) = self.clients.session(id) else { return };
        let hints = session.hints(unit.text());
        let routed = route::route(&self.config, Micros(now), session.identity(), &unit, &hints);
        let label = hints.id.as_deref().unwrap_or("").chars().take(64).collect::<String>();
        drop(hints);
        self.hints_ignored += u64::from(routed.ignored);
        let class = routed.arrival.class;
        match self.tape.submit(now, routed.arrival, &label) {
            Ok(query) => {
                self.out.saw(if unit.open { Coverage::UnitOpen } else { Coverage::UnitTaken });
                let (sealed, more, terms) = (!unit.open, Vec::new(), AttemptOptions::default());
                let of = InHand { client: id, unit, more, sealed, terms, label, class, since: now };
                self.units.put(query, of);
                self.clients.runs(id, query);
            }
            Err(_) => {
                self.out.saw(Coverage::UnitCrowded);
                info!(id = %label, reason = "the controller holds as many queries as it may", "refused");
                self.clients.unserved(id, &peer_load::crowded());
            }
        }
    }

    /// The client's query ends here; nobody else answers it.
    fn give_up(&mut self, id: ConnId, query: QueryId, trouble: &Diagnostic) {
        self.units.take(query);
        self.engines.detach(query, &mut self.out);
        self.tape.handle_input(self.out.now, Input::Abandoned(query));
        self.clients.unserved(id, trouble);
        self.ready.push_back(id);
    }

    /// A client asks that the query of another session end.
    fn cancel_of(&mut self, pid: i32, key: &[u8]) {
        self.cancels_heard += 1;
        let Some((id, query)) = self.clients.query_of(pid, key) else {
            return self.out.saw(Coverage::CancelUnknown);
        };
        let (id, query) = self.stranger(query).unwrap_or((id, query));
        info!(query = query.0, id = self.units.label(query), "cancelled by its client");
        if self.engines.sessions.amid_row(query) {
            self.out.saw(Coverage::CancelAmidRow);
            return self.client_gone(id);
        }
        self.out.saw(Coverage::CancelTaken);
        self.give_up(id, query, &peer_load::cancelled());
    }

    pub(super) fn answer(&mut self, query: QueryId, answer: Answer) {
        let Some(unit) = self.units.take(query) else { return };
        self.engines.detach(query, &mut self.out);
        let class = &self.config.names.classes[unit.class];
        let (id, held_us) = (&unit.label, self.out.now - unit.since);
        match answer {
            Answer::Rejected { retry_after } => {
                self.out.saw(Coverage::Refused);
                let retry_after_ms = peer_load::advice_ms(retry_after);
                info!(query = query.0, id, class, held_us, retry_after_ms, "refused");
            }
            Answer::Failed { may_have_run } => {
                self.out.saw(if may_have_run { Coverage::FailedRun } else { Coverage::FailedNotRun });
                let reason = if may_have_run { "may have run" } else { "not run" };
                warn!(query = query.0, id, class, held_us, reason, "failed");
            }
            Answer::Interrupted => {
                self.out.saw(Coverage::Broken);
                warn!(query = query.0, id, class, held_us, reason = "answer broke off", "failed");
            }
        }
        let trouble = peer_load::of(answer);
        self.clients.unserved(unit.client, &trouble);
        if self.planted(FaultInjection::Twice, 2) {
            self.clients.sink(unit.client).into_iter().for_each(|sink| trouble.put(sink));
        }
        if !self.planted(FaultInjection::TimerEvent, 2) {
            self.ready.push_back(unit.client);
        }
    }

    /// The client's query was served; its answer is in its output.
    pub(super) fn served(&mut self, query: QueryId, errored: bool) {
        if self.planted(FaultInjection::Lose, 20) {
            self.units.take(query);
            return;
        }
        let Some(unit) = self.units.take(query) else { return };
        let class = &self.config.names.classes[unit.class];
        debug!(query = query.0, id = %unit.label, class, held_us = self.out.now - unit.since, "served");
        self.clients.served(unit.client, errored);
        self.ready.push_back(unit.client);
    }

    /// A client can be told nothing more: its connection closes.
    pub fn client_gone(&mut self, id: ConnId) {
        let Some(query) = self.clients.remove(id, &mut self.out) else { return };
        if self.units.take(query).is_some() {
            self.engines.detach(query, &mut self.out);
            self.tape.handle_input(self.out.now, Input::Abandoned(query));
        }
    }
}
