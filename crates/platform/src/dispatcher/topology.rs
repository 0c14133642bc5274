//! Handling of the list of executors from the name service, and of load reports from other controllers.

use super::Dispatcher;
use crate::bootstrap::ExecutorEndpoint;
use crate::discovery::{self, IgnoredAnswer};
use crate::executors::{ListChange, ListedExecutor};
use crate::invariants::ListedState;
use crate::list_freshness;
use crate::planted::InjectedFault;
use crate::timer_event::TimerEvent;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::{info, warn};
use wheelfield::interface::{EngineEntry, EngineId, Micros, PeerLoadReport, Status};
use wheelfield_driver::Input;
use wheelfield_sans_io::{DatagramSocket, Effect};

/// A confirmation is logged if the list was unconfirmed for at least this long, in microseconds: four queries in a row were not
/// answered.
const LATE_CONFIRMATION_US: i64 = 4 * list_freshness::POLL_INTERVAL_US;

/// Time after which a query for a list is repeated that only one answer has contained, in microseconds.
const CONFIRMATION_DELAY_US: i64 = 50_000;

/// When the list was last confirmed before the current answer, and how many queries were sent since.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreviousConfirmation {
    /// Time of the last confirmation, in microseconds.
    confirmed_at: i64,
    /// Number of queries sent since then.
    queries: u64,
}

impl Dispatcher {
    /// Replaces the list of executors. `previous` is the last confirmation of the list that it replaces, if there was one.
    pub(super) fn replace_executors(
        &mut self,
        executors: &[ExecutorEndpoint],
        previous: Option<PreviousConfirmation>,
    ) {
        let confirmed_at = previous.map(|previous| previous.confirmed_at);
        let previous_names = std::mem::take(&mut self.names.engines);
        let started_at = self
            .start_times
            .update(executors, confirmed_at, self.out.now);
        let engines = self.engine_identities.update(executors, self.out.now);
        let ignores_starts = self.has_injected(InjectedFault::IgnoreStarts);
        let entries: Vec<EngineEntry> = executors
            .iter()
            .zip(engines)
            .zip(started_at)
            .map(|((executor, engine), started_at)| {
                // With this fault, every start is so long ago that slow start is over.
                let started_at = started_at.map(|at| if ignores_starts { Micros(1) } else { at });
                executor.to_engine_entry(engine, &mut self.names, started_at)
            })
            .collect();
        for entry in &entries {
            self.record_start(entry);
        }
        let listed = entries
            .iter()
            .zip(executors)
            .map(|(entry, executor)| ListedExecutor {
                engine: entry.engine,
                address: executor.address,
                status: entry.status,
                started_at: executor.started_at,
            })
            .collect();
        let change = self.executors.replace_list(listed, &mut self.out);
        self.log_list_change(entries.len(), &change, &previous_names, previous);
        self.driver.handle_input(
            self.out.now,
            Input::Engines {
                complete: true,
                entries,
            },
        );
    }

    /// Logs how the list has changed, in one short line, since operators may keep only part of the log.
    fn log_list_change(
        &self,
        listed: usize,
        change: &ListChange,
        previous_names: &BTreeMap<EngineId, String>,
        previous: Option<PreviousConfirmation>,
    ) {
        let names = |engines: &[EngineId]| -> Vec<&String> {
            let name = |engine: &EngineId| {
                let current = self.names.engines.get(engine);
                current.or(previous_names.get(engine))
            };
            engines.iter().filter_map(name).collect()
        };
        info!(
            serial = self.discovery.serial(),
            service = %self.discovery.confirmed_by(),
            listed,
            unreadable = self.discovery.unreadable_executors(),
            added = change.added,
            readmitted = change.readmitted,
            moved = change.moved,
            restarted = change.restarted,
            draining = ?names(&change.draining),
            gone = ?names(&change.removed),
            unconfirmed_ms = previous.map(|previous| (self.out.now - previous.confirmed_at) / 1_000),
            queries = previous.map(|previous| previous.queries),
            ignored = %self.ignored_answers.since_accepted,
            "executor list replaced"
        );
    }

    /// Informs the slow-start guard of an executor that is new, is back in service, or has a listed start time.
    fn record_start(&mut self, entry: &EngineEntry) {
        let now = self.out.now;
        let is_first_list = self.executors.executor_count() == 0;
        let was_up = self.executors.listed_state(entry.engine) == ListedState::Up;
        let cores = self.cores_by_kind.get(entry.kind).copied().unwrap_or(1.0);
        let listed_start = entry.started_at.map(|at| at.0.min(now));
        let observed_start =
            (!is_first_list && !was_up && entry.status == Status::Up).then_some(now);
        if let Some(started_at) = listed_start.or(observed_start) {
            self.slow_start_guard
                .record_start(entry.engine, started_at, cores, now);
        }
    }

    /// Sends a query for the list of executors, and schedules the next one.
    pub(super) fn query_discovery(&mut self) {
        let query = self.discovery.encode_query(self.out.now, self.rng.u16(..));
        if let Some((resolver, query)) = query {
            self.out
                .push(Effect::Send(DatagramSocket::Discovery, resolver, query));
        }
        self.log_overdue_list();
        self.list_freshness.record_query(self.out.now);
        self.schedule_discovery();
    }

    /// Logs once that the list has not been confirmed for too long, with what is known of the reason.
    fn log_overdue_list(&mut self) {
        let now = self.out.now;
        if !self.list_freshness.report_overdue(now) {
            return;
        }
        warn!(
            serial = self.discovery.serial(),
            service = %self.discovery.resolver(),
            list_age_ms = self.list_freshness.list_age_us(now) / 1_000,
            silence_ms = self.list_freshness.silence_us(now) / 1_000,
            queries = self.discovery.queries_since_confirmed(),
            unsent_queries = self.hold_counters().unsent_queries,
            failed_reads = self.hold_counters().failed_reads,
            ignored = %self.ignored_answers.since_accepted,
            "executor list overdue"
        );
    }

    fn schedule_discovery(&mut self) {
        let at = match self.has_injected(InjectedFault::PollAtFixedRate) {
            true => self.out.now + list_freshness::POLL_INTERVAL_US,
            false => self.list_freshness.next_query_at(),
        };
        let at = match self.discovery.is_list_confirmed() {
            true => at,
            false => at.min(self.out.now + CONFIRMATION_DELAY_US),
        };
        self.out.cancel_timer(&mut self.discovery_timer);
        self.discovery_timer = Some(self.out.set_timer_at(at, TimerEvent::QueryDiscovery));
    }

    /// Handles a datagram from the name service.
    pub fn handle_discovery_answer(&mut self, from: SocketAddr, datagram: &[u8]) {
        let is_previous_service = from != self.discovery.resolver();
        if self.has_injected(InjectedFault::IgnoreLists)
            || (is_previous_service && self.has_injected(InjectedFault::IgnoreFormerService))
        {
            return;
        }
        let previous = PreviousConfirmation {
            confirmed_at: self.discovery.confirmed_at(),
            queries: self.discovery.queries_since_confirmed(),
        };
        let answer = self.discovery.handle_answer(self.out.now, from, datagram);
        let is_changed = answer.changed_list.is_some();
        if let Some(executors) = answer.changed_list {
            self.replace_executors(&executors, Some(previous));
        }
        match answer.confirmed {
            Ok(query_sent_at) => {
                if !is_changed {
                    self.log_late_confirmation(previous);
                }
                self.ignored_answers.end_series();
                self.list_freshness
                    .record_answer(self.out.now, query_sent_at);
                self.update_list_use();
                self.schedule_discovery();
            }
            Err(reason) => self.record_ignored_answer(reason, from, datagram),
        }
    }

    fn record_ignored_answer(&mut self, reason: IgnoredAnswer, from: SocketAddr, datagram: &[u8]) {
        if reason.shows_service_is_reachable() {
            self.list_freshness.record_unusable_answer(self.out.now);
            self.update_list_use();
        }
        if self.ignored_answers.record(reason) {
            info!(
                %reason,
                service = %from,
                serial = self.discovery.serial(),
                answer_serial = discovery::serial_of(datagram),
                bytes = datagram.len(),
                ignored = %self.ignored_answers.since_accepted,
                "name service answers ignored"
            );
        }
    }

    /// Logs that the list is confirmed, if it was unconfirmed for a long time.
    fn log_late_confirmation(&self, previous: PreviousConfirmation) {
        let unconfirmed_us = self.out.now - previous.confirmed_at;
        if unconfirmed_us >= LATE_CONFIRMATION_US {
            info!(
                serial = self.discovery.serial(),
                service = %self.discovery.confirmed_by(),
                unconfirmed_ms = unconfirmed_us / 1_000,
                queries = previous.queries,
                ignored = %self.ignored_answers.since_accepted,
                "executor list confirmed again"
            );
        }
    }

    /// Switches to another name service, and queries it at once.
    pub fn use_resolver(&mut self, resolver: SocketAddr) {
        info!(%resolver, "name service changed");
        self.discovery.use_resolver(resolver);
        self.list_freshness.record_reload(self.arrival_time());
        self.query_discovery();
    }

    /// Handles a datagram from another controller.
    pub fn handle_peer_message(&mut self, from: SocketAddr, datagram: &[u8]) {
        if let Some(reports) = self.peers.decode(from, self.names.engines.keys(), datagram) {
            self.driver
                .handle_input(self.out.now, Input::PeerReports(reports));
        }
    }

    /// Sends load reports to the other controllers.
    pub(super) fn send_peer_message(&mut self, reports: &[PeerLoadReport]) {
        let datagram = self.peers.encode(reports);
        for address in self.peers.recipients() {
            self.out.push(Effect::Send(
                DatagramSocket::Peers,
                address,
                datagram.clone(),
            ));
        }
    }
}
