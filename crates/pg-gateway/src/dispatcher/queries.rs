//! Queries: submits the clients' units to the driver, and delivers the driver's final answers to the
//! clients.

use super::Dispatcher;
use crate::clients::ClientRequest;
use crate::coverage::Coverage;
use crate::fault_injection::FaultInjection;
use crate::in_flight::InFlightQuery;
use crate::shutdown::Shutdown;
use crate::{route, sql_errors};
use tracing::{debug, info, warn};
use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::{Answer, AttemptOptions, Input};
use wheelfield_pg::backend_messages::Diagnostic;
use wheelfield_pg::client::Unit;
use wheelfield_sans_io::ConnId;

impl Dispatcher {
    /// Processes a client's pending messages.
    pub(super) fn read_client(&mut self, id: ConnId) {
        while let Some(request) = self.clients.next_request(id, &mut self.out) {
            match request {
                ClientRequest::Run(unit) => self.submit(id, unit),
                ClientRequest::Continue(query, frames, suppress_acks, is_last) => {
                    self.engines.sessions.continue_unit(
                        query,
                        &frames,
                        &suppress_acks,
                        is_last,
                        &mut self.out,
                    );
                    self.out.record(Coverage::OpenUnitContinued);
                    let Some(in_flight) = self.queries.get_mut(query) else { continue };
                    in_flight.is_complete |= is_last;
                    in_flight.continuations.push((frames, suppress_acks));
                    if in_flight.continuation_bytes() > self.config.limits.max_prepared_bytes {
                        self.out.record(Coverage::OpenUnitTooLong);
                        self.abandon_query(id, query, &sql_errors::batch_too_long());
                    }
                }
                ClientRequest::Cancel(pid, key) => self.handle_cancel_request(pid, &key),
                ClientRequest::Disconnected => return self.disconnect_client(id),
            }
        }
        if self.shutdown == Shutdown::Draining {
            self.clients.shut_down(id, &mut self.out);
        }
    }

    /// Submits a client's unit to the driver.
    fn submit(&mut self, id: ConnId, unit: Unit) {
        let now = self.out.now;
        let Some(session) = self.clients.session(id) else { return };
        let hints = session.hints(unit.text());
        let routed = route::route(&self.config, Micros(now), session.identity(), &unit, &hints);
        let label = hints.id.as_deref().unwrap_or("").chars().take(64).collect::<String>();
        drop(hints);
        self.hints_ignored += u64::from(routed.ignored_hints);
        let class = routed.arrival.class;
        match self.driver.submit(now, routed.arrival, &label) {
            Ok(query) => {
                self.out.record(if unit.open { Coverage::OpenUnitAccepted } else { Coverage::UnitAccepted });
                let (is_complete, continuations, options) =
                    (!unit.open, Vec::new(), AttemptOptions::default());
                let in_flight = InFlightQuery {
                    client: id,
                    unit,
                    continuations,
                    is_complete,
                    options,
                    label,
                    class,
                    accepted_at: now,
                };
                self.queries.insert(query, in_flight);
                self.clients.set_running(id, query);
            }
            Err(_) => {
                self.out.record(Coverage::UnitOverCapacity);
                info!(id = %label, reason = "the controller holds as many queries as it may", "query rejected");
                self.clients.finish_with_error(id, &sql_errors::too_many_queries());
            }
        }
    }

    /// Ends a client's query with an error, discards what engines answer, and tells the driver.
    fn abandon_query(&mut self, id: ConnId, query: QueryId, error: &Diagnostic) {
        self.queries.remove(query);
        self.engines.detach_query(query, &mut self.out);
        self.driver.handle_input(self.out.now, Input::Abandoned(query));
        self.clients.finish_with_error(id, error);
        self.ready_clients.push_back(id);
    }

    /// Handles a cancel request for the query of another session.
    fn handle_cancel_request(&mut self, pid: i32, key: &[u8]) {
        self.cancel_requests_received += 1;
        let Some((id, query)) = self.clients.running_query(pid, key) else {
            return self.out.record(Coverage::CancelWithoutQuery);
        };
        let (id, query) = self.wrong_cancel_target(query).unwrap_or((id, query));
        info!(query = query.0, id = self.queries.label(query), "query cancelled by its client");
        if self.engines.sessions.has_partial_row(query) {
            self.out.record(Coverage::CancelDuringRow);
            return self.disconnect_client(id);
        }
        self.out.record(Coverage::CancelAccepted);
        self.abandon_query(id, query, &sql_errors::cancelled());
    }

    /// Ends a query that the driver rejects or fails, with an SQL error for the client.
    pub(super) fn finish_query(&mut self, query: QueryId, answer: Answer) {
        let Some(in_flight) = self.queries.remove(query) else { return };
        self.engines.detach_query(query, &mut self.out);
        let class = &self.config.names.classes[in_flight.class];
        let (id, held_us) = (&in_flight.label, self.out.now - in_flight.accepted_at);
        match answer {
            Answer::Rejected { retry_after } => {
                self.out.record(Coverage::QueryRejected);
                let retry_after_ms = sql_errors::retry_after_ms(retry_after);
                info!(query = query.0, id, class, held_us, retry_after_ms, "query rejected");
            }
            Answer::Failed { may_have_run } => {
                self.out.record(if may_have_run {
                    Coverage::QueryFailedMayHaveRun
                } else {
                    Coverage::QueryFailedNotRun
                });
                let reason = if may_have_run { "may have run" } else { "not run" };
                warn!(query = query.0, id, class, held_us, reason, "query failed");
            }
            Answer::Interrupted => {
                self.out.record(Coverage::AnswerInterrupted);
                warn!(query = query.0, id, class, held_us, reason = "answer interrupted", "query failed");
            }
        }
        let error = sql_errors::for_answer(answer);
        self.clients.finish_with_error(in_flight.client, &error);
        if self.should_inject(FaultInjection::DuplicateError, 2) {
            self.clients.sink(in_flight.client).into_iter().for_each(|sink| error.put(sink));
        }
        if !self.should_inject(FaultInjection::LoseWakeup, 2) {
            self.ready_clients.push_back(in_flight.client);
        }
    }

    /// Completes a query whose answer is in the output buffer of its client.
    pub(super) fn finish_served(&mut self, query: QueryId, has_query_error: bool) {
        if self.should_inject(FaultInjection::LoseAnswer, 20) {
            self.queries.remove(query);
            return;
        }
        let Some(in_flight) = self.queries.remove(query) else { return };
        let class = &self.config.names.classes[in_flight.class];
        debug!(
            query = query.0,
            id = %in_flight.label,
            class,
            held_us = self.out.now - in_flight.accepted_at,
            "query served"
        );
        self.clients.finish_served(in_flight.client, has_query_error);
        self.ready_clients.push_back(in_flight.client);
    }

    /// Closes a client and abandons its query.
    pub fn disconnect_client(&mut self, id: ConnId) {
        let Some(query) = self.clients.remove(id, &mut self.out) else { return };
        if self.queries.remove(query).is_some() {
            self.engines.detach_query(query, &mut self.out);
            self.driver.handle_input(self.out.now, Input::Abandoned(query));
        }
    }
}
