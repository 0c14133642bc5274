//! The driver: converts inputs to events of the policy module, and the module's actions to instructions.

mod actions;
mod attempt_ends;
mod inspection;

use crate::attempts::{AttemptId, AttemptTable};
use crate::timers::TimerKind;
use crate::{Arrival, CapacityExceeded, DriverCounters, DriverLimits, Input, Instruction};
use attempt_ends::AttemptResult;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield::interface::{
    Action, EngineEntry, EngineId, Event, Micros, Outcome, PeerLoadReport, Query, QueryId,
    Settings, Status,
};
use wheelfield::Gateway;

/// A policy module with the state of its queries, attempts and timers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Driver {
    gateway: Gateway,
    table: AttemptTable,
    /// Last known status of each engine that an engine list has named.
    engines: BTreeMap<EngineId, Status>,
    limits: DriverLimits,
    /// Events that the module has not handled yet.
    events: VecDeque<Event>,
    /// Reused buffer for the actions of one event.
    actions: Vec<Action>,
    counters: DriverCounters,
    /// Events that the module has handled, if recording is enabled.
    #[serde(skip)]
    recorded_events: Option<Vec<Event>>,
}

impl Driver {
    /// Creates a driver with a new policy module. The same settings, seed and inputs give the same instructions.
    pub fn new(settings: Settings, seed: u64, limits: DriverLimits) -> Self {
        Driver {
            gateway: Gateway::new(settings, seed),
            table: AttemptTable::default(),
            engines: BTreeMap::new(),
            limits,
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: DriverCounters::default(),
            recorded_events: None,
        }
    }

    /// Starts to record the events of the module, to be read by [`Driver::take_recorded_events`].
    pub fn record_events(&mut self) {
        self.recorded_events = Some(Vec::new());
    }

    /// Returns the events recorded since the last call; empty if recording is not enabled.
    pub fn take_recorded_events(&mut self) -> Vec<Event> {
        self.recorded_events
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Accepts a query and returns its id. The resulting instructions are appended to `out`.
    ///
    /// # Errors
    /// [`CapacityExceeded`] if [`DriverLimits::max_queries`] is reached. The query is not accepted then.
    pub fn submit(
        &mut self,
        now: Micros,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        let id = self.table.next_query_id();
        self.submit_with_id(now, id, arrival, out)
    }

    /// Like [`Driver::submit`], for a protocol layer that assigns the query ids itself.
    ///
    /// # Errors
    /// [`CapacityExceeded`] if [`DriverLimits::max_queries`] is reached or the id is in use.
    pub fn submit_with_id(
        &mut self,
        now: Micros,
        id: QueryId,
        arrival: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        let is_full = self.table.queries_held() >= self.limits.max_queries;
        if is_full || !self.table.add_query(id, arrival.deadline) {
            self.counters.over_capacity += 1;
            return Err(CapacityExceeded);
        }
        self.counters.accepted += 1;
        let Arrival {
            class,
            tenant,
            key,
            deadline,
            work_hint,
            memory_hint,
            tables,
        } = arrival;
        let query = Query {
            id,
            class,
            tenant,
            key,
            deadline,
            work_hint,
            memory_hint,
            tables,
        };
        self.events.push_back(Event::Arrived(query));
        self.process_events(now, out);
        Ok(id)
    }

    /// Handles one input and appends the resulting instructions to `out`.
    #[expect(
        clippy::too_many_lines,
        reason = "one short arm for each kind of input"
    )]
    pub fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        match input {
            Input::Started => self.events.push_back(Event::Started),
            Input::Engines { complete, entries } => {
                self.handle_engine_list(now, complete, entries, out)
            }
            Input::ListUnavailable => self.events.push_back(Event::ListUnavailable),
            Input::Dispatched(attempt) => self.table.mark_written(attempt),
            Input::AnswerStarted(attempt) => {
                if self.table.start_answer(attempt) {
                    self.events.push_back(Event::AnswerStarted(attempt.query));
                }
            }
            Input::AttemptUpdated(attempt, update) => {
                if self.table.is_in_flight(attempt) {
                    let AttemptId { query, number } = attempt;
                    self.events.push_back(Event::AttemptUpdated {
                        query,
                        attempt: number,
                        update,
                    });
                }
            }
            Input::AttemptEnded {
                attempt,
                outcome,
                reported_work,
                report,
            } => {
                let result = AttemptResult {
                    outcome,
                    reported_work,
                    report,
                    elapsed: None,
                };
                self.handle_attempt_end(now, attempt, result, out);
            }
            Input::AttemptMeasured {
                attempt,
                outcome,
                reported_work,
                report,
                elapsed,
            } => {
                let result = AttemptResult {
                    outcome,
                    reported_work,
                    report,
                    elapsed: Some(elapsed),
                };
                self.handle_attempt_end(now, attempt, result, out);
            }
            Input::ServedByEarlierAttempt { attempt, report } => {
                self.handle_served_by_earlier_attempt(now, attempt, report, out);
            }
            Input::Abandoned(query) => {
                if self.table.mark_answered(query) {
                    self.counters.abandoned += 1;
                    self.events.push_back(Event::Abandoned(query));
                }
            }
            Input::ShutdownDeadline(query) => {
                if self.table.awaits_answer(query) {
                    self.events.push_back(Event::ShutdownDeadline(query));
                }
            }
            Input::ProbeEnded {
                engine,
                outcome,
                report,
            } => {
                self.events.push_back(Event::ProbeEnded {
                    engine,
                    outcome,
                    report,
                });
            }
            Input::GatewayCountChanged { count, index } => {
                let (count, index) = (f64::from(count), f64::from(index));
                self.events
                    .push_back(Event::GatewayCountChanged { count, index });
            }
            Input::PeerReports(mut reports) => {
                reports.retain(|shared: &PeerLoadReport| self.engines.contains_key(&shared.engine));
                self.events.push_back(Event::PeerReports(reports));
            }
        }
        self.process_events(now, out);
    }

    /// When [`Driver::handle_timers`] must be called next.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.table.timers.next_at()
    }

    /// Handles the timers that are due: those of the module, timeouts of attempts and cancellations that were not confirmed.
    /// A timer that is set during the call is handled by the next call, even if it is already due. Returns false if no timer
    /// was due.
    pub fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        let due = self.table.timers.take_due(now);
        let any_due = !due.is_empty();
        for timer in due {
            match timer {
                TimerKind::Module(token) => self.events.push_back(Event::TimerFired(token)),
                TimerKind::AttemptTimeout(attempt) => {
                    self.handle_attempt_timeout(now, attempt, out)
                }
                TimerKind::CancelUnconfirmed(attempt) => {
                    self.handle_unconfirmed_cancel(now, attempt, out)
                }
            }
            self.process_events(now, out);
        }
        any_due
    }

    /// Handles a timer of the module on the report of a protocol layer that keeps the timers itself. Returns false if no such
    /// timer is set.
    pub fn fire_timer(&mut self, now: Micros, token: u64, out: &mut Vec<Instruction>) -> bool {
        let is_set = self.table.timers.take_module_timer(token);
        if is_set {
            self.events.push_back(Event::TimerFired(token));
            self.process_events(now, out);
        }
        is_set
    }

    /// Forgets the removed engines that the policy has forgotten.
    fn forget_engines(&mut self) {
        let gateway = &self.gateway;
        self.engines
            .retain(|engine, status| *status != Status::Removed || gateway.knows_engine(*engine));
    }

    fn handle_engine_list(
        &mut self,
        now: Micros,
        complete: bool,
        entries: Vec<EngineEntry>,
        out: &mut Vec<Instruction>,
    ) {
        let listed: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        self.forget_engines();
        for (engine, status) in &mut self.engines {
            if complete && !listed.contains(engine) {
                *status = Status::Removed;
            }
        }
        for entry in &entries {
            self.engines.insert(entry.engine, entry.status);
        }
        let is_not_up = |engine: &EngineId| self.engines.get(engine) != Some(&Status::Up);
        let unwritten = self.table.unwritten_attempts(is_not_up);
        self.events.push_back(match complete {
            true => Event::EngineList(entries),
            false => Event::EngineChanges(entries),
        });
        for attempt in unwritten {
            out.push(Instruction::Cancel(attempt));
            self.end_attempt(
                now,
                attempt,
                AttemptResult::without_report(Outcome::NeverSent),
                out,
            );
        }
    }
}
