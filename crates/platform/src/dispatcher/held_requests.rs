//! Client requests that wait until the name service confirms the list of executors: at most one per client.

use super::Dispatcher;
use crate::http_server::QueryRequest;
use crate::list_freshness::{Inactivity, PollingGap};
use crate::list_validity::ListUse;
use crate::planted::InjectedFault;
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use std::collections::VecDeque;
use tracing::{info, warn};
use wheelfield_driver::Input;
use wheelfield_sans_io::ConnId;

/// A query that was received and has not been submitted to the driver yet.
#[derive(Clone, Debug)]
pub(super) struct HeldRequest {
    /// The client's connection.
    pub client: ConnId,
    /// The parsed head of the request.
    pub query: QueryRequest,
    /// The SQL statement.
    pub statement: Bytes,
    /// The earliest time at which the last byte of the request can have arrived, in microseconds.
    pub arrived_at: i64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HoldCounters {
    /// Number of times that the list became too old because this process could not query the name service.
    pub gaps: u64,
    /// Number of these gaps after which the name service did not answer in time.
    pub gaps_unanswered: u64,
    /// Number of times that the list became too old to be used.
    pub expirations: u64,
    /// Number of requests that were held.
    pub requests: u64,
    /// Number of requests that arrived, or were held, while the list was too old to be used.
    pub requests_without_list: u64,
    /// Number of queries for the list that could not be sent.
    pub unsent_queries: u64,
    /// Number of failures to read answers of the name service.
    pub failed_reads: u64,
}

/// The held requests, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct HeldRequests {
    waiting: VecDeque<HeldRequest>,
    /// When requests were last held from, in microseconds.
    held_since: i64,
    pub counters: HoldCounters,
}

impl HeldRequests {
    fn push(&mut self, request: HeldRequest) {
        self.counters.requests += 1;
        self.waiting.push_back(request);
    }

    /// Removes the held request of a client that disconnected. Returns whether there was one.
    pub fn remove(&mut self, client: ConnId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|held| held.client != client);
        self.waiting.len() < before
    }
}

impl Dispatcher {
    /// Sets the current time. If the process was inactive before this call, the list could not be refreshed meanwhile, so it is
    /// queried at once, and requests are held if it is too old.
    pub fn set_time(&mut self, now: i64) {
        self.out.now = now;
        if let Some(expected) = self.suspensions.record_activity(now) {
            self.out
                .set_timer_at(expected.answer_at, TimerEvent::AnswerBeforeSuspension);
        }
        if self.has_injected(InjectedFault::IgnoreInactivity) {
            return;
        }
        let inactivity = self.list_freshness.record_activity(now);
        if let Some(Inactivity::ListTooOld(gap)) = inactivity {
            self.record_gap(gap);
        }
        if inactivity.is_some() {
            self.query_discovery();
        }
        self.update_list_use();
    }

    fn record_gap(&mut self, gap: PollingGap) {
        self.held_requests.counters.gaps += 1;
        info!(
            list_age_ms = gap.list_age_us / 1_000,
            "the name service could not be queried"
        );
    }

    /// Determines what may be done with requests by the list from now on.
    pub(super) fn update_list_use(&mut self) {
        let fault = self.injected_fault;
        if cfg!(feature = "planted") && fault.is_some_and(InjectedFault::disables_list_expiry) {
            return;
        }
        let now = self.out.now;
        let list_use = self.list_freshness.list_use(now);
        let previous = std::mem::replace(&mut self.list_use, list_use);
        match (previous, list_use) {
            (ListUse::Usable, ListUse::Usable) | (ListUse::Expired, ListUse::Expired) => {}
            (ListUse::Held { .. }, ListUse::Held { .. }) => {}
            (_, ListUse::Held { until }) => self.begin_hold(until),
            (_, ListUse::Expired) => self.expire_list(),
            (_, ListUse::Usable) => self.resume_list_use(),
        }
    }

    /// Determines whether requests are still held, and if so sets the timer again, as the hold may have been extended.
    pub(super) fn handle_hold_timer(&mut self) {
        self.update_list_use();
        if let ListUse::Held { until } = self.list_use {
            self.out.set_timer_at(until, TimerEvent::EndHold);
        }
    }

    /// Starts holding new requests. Requests that were routed by the outdated list but not written yet are withdrawn from the
    /// output buffers, so that they are checked again before they are written.
    fn begin_hold(&mut self, until: i64) {
        self.held_requests.held_since = self.out.now;
        warn!(
            list_age_ms = self.list_freshness.list_age_us(self.out.now) / 1_000,
            serial = self.discovery.serial(),
            "executor list too old; requests wait for the name service"
        );
        self.executors.requeue_all_unwritten();
        self.out.set_timer_at(until, TimerEvent::EndHold);
    }

    /// Stops using the list. The policy answers the queries that are not at an executor, and every new one at once.
    fn expire_list(&mut self) {
        self.held_requests.counters.expirations += 1;
        warn!(
            list_age_ms = self.list_freshness.list_age_us(self.out.now) / 1_000,
            serial = self.discovery.serial(),
            held = self.held_requests.waiting.len(),
            "executor list expired; requests are rejected until the name service confirms it"
        );
        self.executors.requeue_all_unwritten();
        self.answer_waiting_queries();
        self.submit_held_requests();
    }

    /// Has the policy answer the queries that are not at an executor.
    fn answer_waiting_queries(&mut self) {
        for query in self.in_flight.queries() {
            let is_waiting = self.in_flight.get(query).is_some_and(|q| !q.is_at_executor);
            if is_waiting {
                self.driver
                    .handle_input(self.out.now, Input::ShutdownDeadline(query));
            }
        }
    }

    /// Uses the list again and submits the held requests.
    fn resume_list_use(&mut self) {
        let held_since = self.held_requests.held_since;
        let is_confirmed = self.list_freshness.is_answered_since(held_since);
        self.held_requests.counters.gaps_unanswered += u64::from(!is_confirmed);
        info!(
            is_confirmed,
            held = self.held_requests.waiting.len(),
            serial = self.discovery.serial(),
            "executor list in use again; held requests submitted"
        );
        self.submit_held_requests();
    }

    /// Whether new requests are held.
    fn is_holding_requests(&self) -> bool {
        matches!(self.list_use, ListUse::Held { .. })
    }

    /// Whether the list must not be used, for lack of confirmation.
    pub(super) fn has_no_list(&self) -> bool {
        self.list_use == ListUse::Expired
    }

    /// Whether requests may be routed by the list.
    pub(super) fn is_list_usable(&self) -> bool {
        self.list_use == ListUse::Usable
    }

    /// Holds a request if new requests are held and its deadline has not passed; otherwise returns it.
    pub(super) fn hold_if_list_too_old(&mut self, request: HeldRequest) -> Option<HeldRequest> {
        if self.has_no_list() {
            self.held_requests.counters.requests_without_list += 1;
        }
        if !self.is_holding_requests() {
            return Some(request);
        }
        let deadline = self.held_request_deadline(&request);
        if deadline <= self.out.now {
            return Some(request);
        }
        // Set even if the hold is to end sooner, as a further gap would extend it.
        self.out.set_timer_at(deadline, TimerEvent::ExpireHeld);
        self.held_requests.push(request);
        None
    }

    fn held_request_deadline(&self, request: &HeldRequest) -> i64 {
        self.response_deadline(request.arrived_at, request.query.timeout_us)
            .0
    }

    /// Submits the held requests whose deadline has passed, so that they are answered.
    pub(super) fn expire_held_requests(&mut self) {
        let waiting = std::mem::take(&mut self.held_requests.waiting);
        let (expired, waiting) = waiting
            .into_iter()
            .partition(|held| self.held_request_deadline(held) <= self.out.now);
        self.held_requests.waiting = waiting;
        self.submit_requests(expired);
    }

    /// If the process is about to be suspended again, answers the requests that would be due while it is.
    pub(super) fn answer_before_suspension(&mut self) {
        self.expire_held_requests();
        for query in self.in_flight.queries() {
            let deadline = self.in_flight.get(query).map(|q| q.client_deadline_at);
            if deadline.is_some_and(|deadline| self.is_due_in_suspension(deadline)) {
                self.driver
                    .handle_input(self.out.now, Input::ShutdownDeadline(query));
            }
        }
    }

    /// Whether a deadline falls into a suspension that is expected to begin soon.
    pub(super) fn is_due_in_suspension(&self, deadline: i64) -> bool {
        let expected = self.suspensions.expected(self.out.now);
        expected.is_some_and(|expected| {
            self.out.now >= expected.answer_at && deadline < expected.ends_at
        })
    }

    /// Handles a query for the list that could not be sent.
    pub fn handle_query_unsent(&mut self) {
        self.held_requests.counters.unsent_queries += 1;
        self.record_failed_call();
    }

    /// Handles a failure to read the answers of the name service.
    pub fn handle_answers_unreadable(&mut self) {
        self.held_requests.counters.failed_reads += 1;
        self.record_failed_call();
    }

    fn record_failed_call(&mut self) {
        if let Some(gap) = self.list_freshness.record_failed_call(self.out.now) {
            self.record_gap(gap);
        }
        self.update_list_use();
    }

    /// Submits all held requests, whether the list is confirmed or not.
    pub(super) fn submit_held_requests(&mut self) {
        let held = std::mem::take(&mut self.held_requests.waiting);
        self.submit_requests(held);
    }

    fn submit_requests(&mut self, requests: VecDeque<HeldRequest>) {
        for request in requests {
            self.submit_request(request);
        }
    }
}
