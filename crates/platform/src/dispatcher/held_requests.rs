//! Requests of clients that wait for a list of executors which is confirmed: at most one for each client.

use super::Dispatcher;
use crate::http_server::QueryRequest;
use crate::list_freshness::{Gap, GapEnd, Inactivity};
use crate::planted::PlantedFault;
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use std::collections::VecDeque;
use tracing::{info, warn};
use wheelfield_sans_io::ConnId;

/// A query that was received and not submitted yet.
#[derive(Clone, Debug)]
pub(super) struct HeldRequest {
    /// The client's connection.
    pub client: ConnId,
    /// What is asked for.
    pub query: QueryRequest,
    /// The statement.
    pub statement: Bytes,
    /// The earliest time at which its last byte can have arrived, in microseconds.
    pub arrived_at: i64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HoldCounters {
    /// Spans in which the list became too old, as nobody could be asked.
    pub gaps: u64,
    /// Gaps after which no answer came in time.
    pub gaps_unanswered: u64,
    /// Requests that waited.
    pub requests: u64,
    /// Queries for the list that could not be sent.
    pub unsent_queries: u64,
}

/// The requests that wait, in order of their arrival.
#[derive(Debug, Default)]
pub(super) struct HeldRequests {
    waiting: VecDeque<HeldRequest>,
    pub counters: HoldCounters,
}

impl HeldRequests {
    fn push(&mut self, request: HeldRequest) {
        self.counters.requests += 1;
        self.waiting.push_back(request);
    }

    /// Drops the request of a client that has left. Returns whether there was one.
    pub fn remove(&mut self, client: ConnId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|held| held.client != client);
        self.waiting.len() < before
    }
}

impl Dispatcher {
    /// Sets the time of the current call. If the process was inactive before it, nobody was asked for the list meanwhile.
    pub fn set_time(&mut self, now: i64) {
        self.out.now = now;
        if self.has_planted(PlantedFault::IgnoreInactivity) {
            return;
        }
        let inactivity = self.list_freshness.note_activity(now);
        if inactivity.is_none() {
            return;
        }
        if let Some(Inactivity::Gap(gap)) = inactivity {
            self.begin_hold(gap);
        }
        self.query_discovery();
    }

    /// Requests that were decided by the list of before are decided anew, and new ones wait.
    fn begin_hold(&mut self, gap: Gap) {
        self.held_requests.counters.gaps += 1;
        warn!(
            list_age_ms = gap.list_age_us / 1_000,
            serial = self.discovery.serial(),
            "executor list too old; requests wait for the name service"
        );
        self.executors.requeue_all_unwritten();
        self.out.set_timer_at(gap.hold_until(), TimerEvent::EndHold);
    }

    /// Whether new requests wait.
    pub(super) fn is_holding(&self) -> bool {
        self.list_freshness.hold_until().is_some()
    }

    /// Has a request wait if new ones do, and its time is not up yet; else returns it.
    pub(super) fn hold_request(&mut self, request: HeldRequest) -> Option<HeldRequest> {
        let Some(until) = self.list_freshness.hold_until() else {
            return Some(request);
        };
        let deadline = self.deadline_of_held(&request);
        if deadline <= self.out.now {
            return Some(request);
        }
        if deadline < until {
            self.out.set_timer_at(deadline, TimerEvent::ExpireHeld);
        }
        self.held_requests.push(request);
        None
    }

    fn deadline_of_held(&self, request: &HeldRequest) -> i64 {
        self.response_deadline(request.arrived_at, request.query.timeout_us)
            .0
    }

    /// Submits the requests whose time is up, so that they are answered.
    pub(super) fn expire_held_requests(&mut self) {
        let waiting = std::mem::take(&mut self.held_requests.waiting);
        let (expired, waiting) = waiting
            .into_iter()
            .partition(|held| self.deadline_of_held(held) <= self.out.now);
        self.held_requests.waiting = waiting;
        self.submit_all(expired);
    }

    /// A query for the list could not be sent.
    pub fn handle_query_unsent(&mut self) {
        self.held_requests.counters.unsent_queries += 1;
        if let Some(gap) = self.list_freshness.note_unsent(self.out.now) {
            self.begin_hold(gap);
        }
    }

    /// Ends the hold if its time is up; it may have become longer.
    pub(super) fn end_overdue_hold(&mut self) {
        let end = self.list_freshness.end_overdue_gap(self.out.now);
        self.end_hold(end);
        if let Some(until) = self.list_freshness.hold_until() {
            self.out.set_timer_at(until, TimerEvent::EndHold);
        }
    }

    /// Submits the requests that wait, if they need not any more.
    pub(super) fn end_hold(&mut self, end: Option<GapEnd>) {
        let Some(end) = end else {
            return;
        };
        let held = std::mem::take(&mut self.held_requests.waiting);
        if end == GapEnd::Unanswered {
            self.held_requests.counters.gaps_unanswered += 1;
        }
        info!(
            ?end,
            held = held.len(),
            serial = self.discovery.serial(),
            "requests go by the executor list again"
        );
        self.submit_all(held);
    }

    /// Submits all requests that wait, whether the list is confirmed or not.
    pub(super) fn submit_held_requests(&mut self) {
        let held = std::mem::take(&mut self.held_requests.waiting);
        self.submit_all(held);
    }

    fn submit_all(&mut self, requests: VecDeque<HeldRequest>) {
        for request in requests {
            self.submit_request(request);
        }
    }
}
