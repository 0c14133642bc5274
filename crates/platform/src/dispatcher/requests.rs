//! Handling of client requests: they are submitted to the driver as queries or answered at once.

use super::held_requests::HeldRequest;
use super::Dispatcher;
use crate::abandonment::QueryLocation;
use crate::clients::ClientRequest;
use crate::http_server::{Reply, RequestError, RequestKind, RESPONSE_MARGIN_US};
use crate::in_flight::{AttemptHistory, InFlightQuery};
use crate::invariants::CloseReason;
use crate::planted::InjectedFault;
use crate::table_group::table_group;
use tracing::debug;
use wheelfield::interface::{ExecutionSemantics, Micros};
use wheelfield_driver::{Arrival, Input};
use wheelfield_sans_io::ConnId;
use wheelfield_settings::position;

impl Dispatcher {
    /// Records that input of a client arrived, or that the client closed its side of the connection. The input is parsed after all
    /// other events of this turn of the event loop, so that no query is started for a client that has disconnected.
    pub fn handle_client_input(&mut self, client: ConnId) {
        self.clients.mark_unread_input(client);
        self.ready_clients.push_back(client);
    }

    /// Begins a turn of the event loop: input that was deferred to it is parsed.
    pub fn begin_turn(&mut self) {
        let deferred = self.clients.begin_turn();
        self.ready_clients.extend(deferred);
    }

    /// Records that output was written to a client. Once it has taken its response, its next request is parsed.
    pub fn handle_client_output_written(&mut self, client: ConnId, count: usize) {
        if self.clients.bytes_written(client, count, &mut self.out) {
            self.ready_clients.push_back(client);
        }
    }

    /// Handles the end of a client's connection by abandoning its query.
    pub fn handle_client_disconnected(&mut self, client: ConnId) {
        self.clients
            .close(client, CloseReason::ClientLeft, &mut self.out);
        if self.has_injected(InjectedFault::IgnoreDisconnects) {
            return;
        }
        if self.held_requests.remove(client) {
            return;
        }
        let Some(query) = self.in_flight.query_of(client) else {
            return;
        };
        if let Some(in_flight) = self.in_flight.remove(query) {
            let location = match in_flight.is_at_executor {
                true => QueryLocation::AtExecutor,
                false => QueryLocation::Waiting,
            };
            debug!(id = %in_flight.id, ?location, "client disconnected");
            self.abandonments
                .record_abandonment(query, location, self.out.now);
        }
        self.driver
            .handle_input(self.out.now, Input::Abandoned(query));
    }

    /// Reads the input of a client, and handles its next request if it is complete.
    pub(super) fn read_client(&mut self, client: ConnId) {
        if self.clients.is_processing(client) {
            if self.clients.has_disconnected(client) {
                self.handle_client_disconnected(client);
            }
            return;
        }
        let Some(request) = self.clients.next_request(client, &mut self.out) else {
            return;
        };
        let ClientRequest {
            client,
            kind,
            body,
            arrived_at,
        } = request;
        match kind {
            RequestKind::Metrics => {
                let text = self.metrics();
                self.respond(client, &Reply::Metrics(text));
            }
            RequestKind::Health => {
                let is_serving = !self.shutdown.has_begun();
                self.respond(client, &Reply::Health { is_serving });
            }
            RequestKind::Query(query) => {
                let request = HeldRequest {
                    client,
                    query,
                    statement: body,
                    arrived_at,
                };
                if let Some(request) = self.hold_if_list_too_old(request) {
                    self.submit_request(request);
                }
            }
        }
    }

    /// Submits a query to the driver, or rejects it at once if it is invalid.
    pub(super) fn submit_request(&mut self, request: HeldRequest) {
        let client = request.client;
        if let Err(error) = self.submit_query(request) {
            self.clients.reject_request(client, error, &mut self.out);
            self.ready_clients.push_back(client);
        }
    }

    /// Submits a query to the driver, or rejects it at once if too many are in flight.
    ///
    /// # Errors
    /// Why the request is invalid.
    fn submit_query(&mut self, held: HeldRequest) -> Result<(), RequestError> {
        let HeldRequest {
            client,
            query: request,
            statement,
            arrived_at,
        } = held;
        let class = position(&self.names.classes, &request.class).ok_or(RequestError::NotFound)?;
        let text = std::str::from_utf8(&statement).map_err(|_| RequestError::InvalidField)?;
        if text.trim().is_empty() {
            return Err(RequestError::InvalidField);
        }
        let id = request.id;
        if self.in_flight.is_id_used(id) {
            return Err(RequestError::DuplicateId);
        }
        let waited_us = self.out.now - arrived_at;
        debug!(%id, class, timeout_us = request.timeout_us, waited_us, "query received");
        let arrival = Arrival {
            class,
            tenant: request
                .tenant
                .and_then(|name| position(&self.names.tenants, &name)),
            key: request.ordering_key,
            deadline: self.response_deadline(arrived_at, request.timeout_us),
            work_hint: request.work_hint,
            memory_hint: request.memory_hint,
            tables: table_group(text).unwrap_or(0),
        };
        let Ok(query) = self.driver.submit(self.out.now, arrival, "") else {
            self.respond(client, &Reply::Rejected { retry_after_ms: 0 });
            return Ok(());
        };
        let is_idempotent = self
            .class_rules
            .get(class)
            .is_some_and(|rules| rules.semantics == ExecutionSemantics::Idempotent);
        if let Some(work) = request.work_hint {
            self.slow_start_guard.record_work(work);
        }
        let in_flight = InFlightQuery {
            client,
            id,
            class,
            statement,
            idempotency_key: request.idempotency_key,
            is_idempotent,
            is_at_executor: false,
            client_deadline_at: arrived_at + request.timeout_us,
            history: AttemptHistory::default(),
        };
        self.in_flight.insert(query, in_flight);
        Ok(())
    }

    /// The time by which a query must be answered that arrived at `arrived_at` with this timeout. If it is due in a suspension that is
    /// about to begin, or if there is no list by which it could be routed, that is now.
    pub(super) fn response_deadline(&self, arrived_at: i64, timeout_us: i64) -> Micros {
        let deadline = arrived_at + (timeout_us - RESPONSE_MARGIN_US).max(1);
        let deadline = deadline.min(self.shutdown.response_deadline().unwrap_or(i64::MAX));
        let is_due_now = self.is_due_in_suspension(deadline) || self.has_no_list();
        Micros(match is_due_now {
            true => deadline.min(self.out.now),
            false => deadline,
        })
    }

    /// Writes a response, and schedules parsing of the client's next request, which may have arrived already.
    pub(super) fn respond(&mut self, client: ConnId, reply: &Reply) {
        self.clients.respond(client, reply, &mut self.out);
        self.ready_clients.push_back(client);
    }
}
