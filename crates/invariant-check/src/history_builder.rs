//! Builds a history for the checker from the replayed steps of captures.

use crate::open;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use wheelfield::interface::{EngineEntry, EngineId, Micros, Outcome, QueryId, Settings, Status};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Answer, AttemptId, Driver, Input, Instruction};
use wheelfield_invariants::{
    ClassInfo, ClientOutcome, HistoryEvent, ProcessLifetime, QueryRecord, UnavailableEngine,
};
use wheelfield_replay::describe::Names;
use wheelfield_replay::{ReplayError, ReplayedStep, Step, Verdict};

/// A controller that takes its next step more than this long after its next timer was due was stalled, in microseconds.
const STALL_THRESHOLD: i64 = 20_000;

/// The history collected from all captures so far.
#[derive(Debug, Default)]
pub struct HistoryBuilder {
    /// All queries.
    pub queries: Vec<QueryRecord>,
    /// Events at engines, and engine lists that controllers received.
    pub events: Vec<HistoryEvent>,
    /// Lifetimes of the controller processes.
    pub lifetimes: Vec<ProcessLifetime>,
    /// Number of cores of each engine, by name of the engine.
    pub engine_cores: BTreeMap<String, f64>,
    /// Number of queries that had not ended when their capture ends or has a loss. They are left out of `queries`.
    pub unfinished_queries: usize,
    /// Number of attempts started.
    pub attempts: usize,
    /// Work of the queries of each class: the number of reports and their sum in seconds.
    reported_work: BTreeMap<usize, (u64, f64)>,
    /// Starts of engines that were reported, so that each is added once.
    reported_starts: BTreeSet<(EngineId, Micros)>,
    class_names: Vec<String>,
}

/// Adds the steps of one capture, from one process of a controller, to the history.
struct CaptureReader<'a> {
    builder: &'a mut HistoryBuilder,
    settings: &'a Settings,
    names: Names,
    controller: usize,
    /// Number of the capture; makes the identifiers of its queries unique.
    capture_number: usize,
    /// Indexes into [`HistoryBuilder::queries`].
    queries: BTreeMap<QueryId, usize>,
    /// Engines of the attempts that have not ended.
    attempts: BTreeMap<AttemptId, EngineId>,
    /// Attempts that were sent to their engine and have not ended.
    dispatched: BTreeSet<AttemptId>,
    /// Cancelled attempts whose end is not confirmed.
    cancelled: BTreeSet<AttemptId>,
    /// The last known entry of each engine.
    engines: BTreeMap<EngineId, EngineEntry>,
    /// Unavailable engines, according to the last engine list.
    unavailable_engines: BTreeSet<EngineId>,
}

impl HistoryBuilder {
    /// Adds a capture. Returns none if the settings of its controller differ from those of earlier captures.
    ///
    /// # Errors
    /// [`ReplayError`] if the capture cannot be read.
    pub fn add_capture(
        &mut self,
        path: &Path,
        known_settings: &mut Option<Settings>,
    ) -> Result<Option<Verdict>, ReplayError> {
        // Engine names are recorded as they become known, but events need them from the start: read the capture twice.
        let mut player = open(path)?;
        while player.next_step()?.is_some() {}
        let Some(start) = player.start.clone() else { return Ok(Some(player.into_verdict())) };
        let names = Names { engines: player.engines.clone(), classes: start.classes.clone() };
        let are_equal = |a: &Settings, b: &Settings| {
            // The index and the zone differ between the controllers of a group.
            let comparable = |s: &Settings| Settings { gateway_index: 0.0, zone: None, ..s.clone() };
            comparable(a) == comparable(b)
        };
        if known_settings.as_ref().is_some_and(|known| !are_equal(known, &start.settings)) {
            return Ok(None);
        }
        let settings = known_settings.get_or_insert(start.settings).clone();
        self.class_names = start.classes;
        let capture_number = self.lifetimes.len();
        let mut reader = CaptureReader {
            builder: self,
            settings: &settings,
            names,
            controller: start.index as usize,
            capture_number,
            queries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            engines: BTreeMap::new(),
            unavailable_engines: BTreeSet::new(),
        };
        let mut player = open(path)?;
        let (mut last_step_at, mut known_losses, mut next_timer_at): (Option<Micros>, usize, Option<Micros>) =
            (None, 0, None);
        while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
            let losses = player.gap_count();
            if last_step_at.is_none() || losses > known_losses {
                reader.begin_lifetime(
                    step.at,
                    last_step_at,
                    matches!(step.input, RecordedInput::Input(Input::Started)),
                );
                known_losses = losses;
                next_timer_at = None;
            }
            let due_at = next_timer_at.zip(last_step_at).map(|(timer_at, last)| timer_at.max(last));
            if let Some(due_at) = due_at.filter(|due_at| step.at.0 - due_at.0 > STALL_THRESHOLD) {
                if let Some(lifetime) = reader.builder.lifetimes.last_mut() {
                    lifetime.stalls.push((due_at.0, step.at.0));
                }
            }
            if let Some(driver) = player.driver() {
                reader.add_step(&step, driver);
                next_timer_at = driver.next_timer_at();
            }
            last_step_at = Some(step.at);
        }
        if let (Some(last), Some(lifetime)) = (last_step_at, reader.builder.lifetimes.last_mut()) {
            lifetime.ended_at = Some(last.0);
        }
        Ok(Some(player.into_verdict()))
    }

    /// Completes the history: sorts events and queries, and leaves out queries whose end is not covered by a capture.
    pub fn finish(&mut self, settings: &Settings) {
        self.events.sort_by_key(|event| event.at);
        let lifetimes = &self.lifetimes;
        let is_checkable = |query: &QueryRecord| {
            query.outcome.is_some() || {
                let covers = |lifetime: &ProcessLifetime| {
                    lifetime.started_at <= query.sent_at
                        && lifetime.ended_at.is_none_or(|end| end > query.deadline)
                };
                lifetimes.iter().any(|lifetime| lifetime.controller == query.controller && covers(lifetime))
            }
        };
        let total = self.queries.len();
        self.queries.retain(is_checkable);
        self.unfinished_queries = total - self.queries.len();
        for query in &mut self.queries {
            if query.outcome.is_none() {
                (query.outcome, query.ended_at) = (Some(ClientOutcome::NoAnswer), query.deadline);
            }
            // All classes that the settings do not contain get the same index; rules that depend on the class skip it.
            query.class = query.class.min(settings.classes.len());
        }
        self.queries.sort_by_key(|query| query.sent_at);
    }

    /// The properties of the classes, with zones and machine kinds named as in the events.
    pub fn classes(&self, settings: &Settings) -> Vec<ClassInfo> {
        // An empty list permits all engines, so a class that permits none gets a name that no engine has.
        let names_of = |indexes: &[usize], permits_none: bool| -> Vec<String> {
            let unmatched = permits_none.then(|| "nowhere".to_string());
            indexes.iter().map(usize::to_string).chain(unmatched).collect()
        };
        let class_info = |(index, class): (usize, &wheelfield::interface::Class)| {
            let (count, sum) = self.reported_work.get(&index).copied().unwrap_or_default();
            ClassInfo {
                name: self.class_names.get(index).cloned().unwrap_or_else(|| index.to_string()),
                zones: names_of(&class.zones, class.no_engine_permitted),
                kinds: names_of(&class.kinds, class.no_engine_permitted),
                typical_work: if count > 0 { sum / count as f64 } else { 0.0 },
            }
        };
        settings.classes.iter().enumerate().map(class_info).collect()
    }
}

impl CaptureReader<'_> {
    /// Begins a lifetime, at the start of the capture or after a loss of records, and ends the previous one at its last step.
    fn begin_lifetime(&mut self, now: Micros, last_step_at: Option<Micros>, is_process_start: bool) {
        if let (Some(last), Some(lifetime)) = (last_step_at, self.builder.lifetimes.last_mut()) {
            lifetime.ended_at = Some(last.0);
        }
        self.builder.lifetimes.push(ProcessLifetime {
            controller: self.controller,
            started_at: now.0,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: !is_process_start,
        });
    }

    /// Adds an event of an attempt.
    fn push_attempt_event(&mut self, at: Micros, event: &str, attempt: AttemptId, engine: EngineId) {
        let entry = self.engines.get(&engine);
        let settings = self.settings;
        let capacity_fraction = entry.and_then(|entry| entry.started_at).map_or(1.0, |started_at| {
            let progress =
                (at - started_at).as_secs_f64() / settings.slow_start_duration.as_secs_f64().max(1e-6);
            settings.slow_start_initial_fraction
                + (1.0 - settings.slow_start_initial_fraction) * progress.clamp(0.0, 1.0)
        });
        let index_name = |index: usize| if index == usize::MAX { "?".to_string() } else { index.to_string() };
        let attempt_event = HistoryEvent {
            at: at.0,
            event: event.to_string(),
            engine: self.names.engine_name(engine),
            query: Some(self.unique_id(attempt.query)),
            sent_by: format!("wheelfield/{}", self.controller),
            capacity_fraction,
            zone: entry.map_or_else(String::new, |entry| index_name(entry.zone)),
            kind: entry.map_or_else(String::new, |entry| index_name(entry.kind)),
            cell: entry.map_or(0, |entry| entry.cell),
            ..HistoryEvent::default()
        };
        self.builder.events.push(attempt_event);
    }

    /// The identifier of a query, unique in all captures.
    fn unique_id(&self, query: QueryId) -> String {
        format!("{}.{}:{}", self.controller, self.capture_number, query.0)
    }

    /// Records the final answer or the abandonment of a query; only the first one sets its outcome.
    fn end_query(&mut self, query: QueryId, at: Micros, outcome: ClientOutcome) {
        let Some(record) = self.queries.get(&query).and_then(|index| self.builder.queries.get_mut(*index))
        else {
            return;
        };
        if matches!(outcome, ClientOutcome::Served | ClientOutcome::Refused | ClientOutcome::Failed) {
            record.answer_count += 1;
        }
        if record.outcome.is_none() {
            (record.outcome, record.ended_at) = (Some(outcome), at.0);
        }
    }

    /// Whether a query is known and has not ended.
    fn is_open(&self, query: QueryId) -> bool {
        let record = self.queries.get(&query).and_then(|index| self.builder.queries.get(*index));
        record.is_some_and(|record| record.outcome.is_none())
    }

    /// Adds a step of the capture. The `driver` has the state after the step.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn add_step(&mut self, step: &Step, driver: &Driver) {
        match &step.input {
            RecordedInput::Arrive { arrival, .. } | RecordedInput::ArriveWithId { arrival, .. } => {
                if let Some(query) = step.accepted {
                    self.queries.insert(query, self.builder.queries.len());
                    let id = self.unique_id(query);
                    self.builder.queries.push(QueryRecord {
                        id,
                        class: arrival.class,
                        key: arrival.key.clone(),
                        controller: self.controller,
                        sent_at: step.at.0,
                        deadline: arrival.deadline.0,
                        ended_at: 0,
                        outcome: None,
                        answer_count: 0,
                        message_after_answer: None,
                        answer_error: None,
                    });
                    if let Some(work) = arrival.work_hint {
                        self.add_work(arrival.class, work);
                    }
                }
            }
            RecordedInput::Input(Input::Engines { complete, entries }) => {
                self.update_engines(step.at, *complete, entries)
            }
            RecordedInput::Input(Input::Dispatched(attempt)) => {
                if let Some(engine) = self.attempts.get(attempt).copied() {
                    self.dispatched.insert(*attempt);
                    self.push_attempt_event(step.at, "received", *attempt, engine);
                }
            }
            RecordedInput::Input(
                Input::AttemptEnded { attempt, outcome, reported_work, .. }
                | Input::AttemptMeasured { attempt, outcome, reported_work, .. },
            ) => {
                self.end_attempt(step.at, *attempt, *outcome);
                let class = self
                    .queries
                    .get(&attempt.query)
                    .and_then(|index| self.builder.queries.get(*index))
                    .map(|record| record.class);
                if let (Some(class), Some(work)) = (class, reported_work) {
                    self.add_work(class, *work);
                }
                let is_answered = step.answer.iter().any(
                    |instruction| matches!(instruction, Instruction::Answer(q, _) if *q == attempt.query),
                );
                if *outcome == Outcome::Served
                    && !is_answered
                    && self.is_open(attempt.query)
                    && !driver.awaits_answer(attempt.query)
                {
                    self.end_query(attempt.query, step.at, ClientOutcome::Served);
                }
            }
            RecordedInput::Input(Input::ServedByEarlierAttempt { attempt, .. }) => {
                self.end_attempt(step.at, *attempt, Outcome::Cancelled);
                if self.is_open(attempt.query) {
                    self.end_query(attempt.query, step.at, ClientOutcome::Served);
                }
            }
            RecordedInput::Input(Input::Abandoned(query)) => {
                self.end_query(*query, step.at, ClientOutcome::Left)
            }
            _ => {}
        }
        for instruction in &step.answer {
            match instruction {
                Instruction::Start { attempt, engine, .. } => {
                    self.attempts.insert(*attempt, *engine);
                    self.builder.attempts += 1;
                    self.push_attempt_event(step.at, "sent", *attempt, *engine);
                }
                Instruction::Cancel(attempt) => {
                    self.cancelled.insert(*attempt);
                }
                Instruction::Answer(query, answer) => {
                    let outcome = match answer {
                        Answer::Rejected { .. } => ClientOutcome::Refused,
                        Answer::Failed { .. } | Answer::Interrupted => ClientOutcome::Failed,
                    };
                    self.end_query(*query, step.at, outcome);
                }
                _ => {}
            }
        }
        // A cancelled attempt has ended once the driver no longer counts it as in flight: at once if it had timed out, otherwise
        // when its engine confirms the cancellation, or after a timeout without a confirmation.
        let ended: Vec<AttemptId> =
            self.cancelled.iter().filter(|attempt| !driver.is_in_flight(**attempt)).copied().collect();
        for attempt in ended {
            self.cancelled.remove(&attempt);
            self.end_attempt(step.at, attempt, Outcome::TimedOut);
        }
    }

    /// Adds the work of a query of a class.
    fn add_work(&mut self, class: usize, work: f64) {
        let (count, sum) = self.builder.reported_work.entry(class).or_default();
        (*count, *sum) = (*count + 1, *sum + work);
    }

    /// Adds the event for the end of a dispatched attempt.
    fn end_attempt(&mut self, at: Micros, attempt: AttemptId, outcome: Outcome) {
        if !self.dispatched.remove(&attempt) {
            return;
        }
        if let Some(engine) = self.attempts.remove(&attempt) {
            let event = match outcome {
                Outcome::Served => "finished",
                Outcome::Error => "errored",
                _ if outcome.never_ran() => "refused",
                _ => "dropped",
            };
            self.push_attempt_event(at, event, attempt, engine);
        }
    }

    /// Applies an engine list, which is complete or holds only changed entries, and adds its events.
    fn update_engines(&mut self, at: Micros, is_complete: bool, entries: &[EngineEntry]) {
        if is_complete {
            let listed: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
            self.unavailable_engines.extend(self.engines.keys().filter(|engine| !listed.contains(engine)));
        }
        for entry in entries {
            if entry.status == Status::Up {
                self.unavailable_engines.remove(&entry.engine);
            } else {
                self.unavailable_engines.insert(entry.engine);
            }
            let name = self.names.engine_name(entry.engine);
            if let Some(started_at) = entry.started_at {
                if self.builder.reported_starts.insert((entry.engine, started_at)) {
                    let restarted = HistoryEvent {
                        at: started_at.0,
                        event: "restarted".into(),
                        engine: name.clone(),
                        ..HistoryEvent::default()
                    };
                    self.builder.events.push(restarted);
                }
            }
            self.builder
                .engine_cores
                .insert(name, self.settings.cores.get(entry.kind).copied().unwrap_or(1.0));
            self.engines.insert(entry.engine, entry.clone());
        }
        let unavailable_engines = self.unavailable_engines.iter();
        let unavailable_engines = unavailable_engines
            .map(|engine| UnavailableEngine {
                engine: self.names.engine_name(*engine),
                status: "not up".into(),
            })
            .collect();
        let controller = self.controller.to_string();
        self.builder.events.push(HistoryEvent {
            at: at.0,
            event: "told".into(),
            controller,
            unavailable_engines,
            ..HistoryEvent::default()
        });
    }
}
