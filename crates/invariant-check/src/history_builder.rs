//! Steps of a driver, told as the judge's evidence.

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

/// A controller that was told to wake at a time, and took its next step so much later, stood still, in microseconds.
const STOOD_STILL: i64 = 20_000;

/// All evidence so far.
#[derive(Debug, Default)]
pub struct HistoryBuilder {
    /// Queries.
    pub queries: Vec<QueryRecord>,
    /// What happened at engines.
    pub events: Vec<HistoryEvent>,
    /// Lives of the controllers.
    pub lifetimes: Vec<ProcessLifetime>,
    /// Cores of engines, by name.
    pub engine_cores: BTreeMap<String, f64>,
    /// Queries that had not ended where their capture does.
    pub unfinished_queries: usize,
    /// Attempts started.
    pub attempts: usize,
    /// Work of each class: so many, and their sum in seconds.
    reported_work: BTreeMap<usize, (u64, f64)>,
    /// Starts of engines that were told of.
    reported_starts: BTreeSet<(EngineId, Micros)>,
    class_names: Vec<String>,
}

/// One process of a controller, while its file is read.
struct Run<'a> {
    all: &'a mut HistoryBuilder,
    settings: &'a Settings,
    names: Names,
    controller: usize,
    /// Makes names of queries unlike those of any other file.
    file: usize,
    queries: BTreeMap<QueryId, usize>,
    attempts: BTreeMap<AttemptId, EngineId>,
    written: BTreeSet<AttemptId>,
    /// Withdrawn, and not yet heard of.
    withdrawn: BTreeSet<AttemptId>,
    engines: BTreeMap<EngineId, EngineEntry>,
    /// Engines that take no work, as told last.
    not_up: BTreeSet<EngineId>,
}

impl HistoryBuilder {
    /// Adds a file; none if its controller was told other rules than those before.
    ///
    /// # Errors
    /// [`ReplayError`] where it can't be read.
    pub fn add_capture(
        &mut self,
        path: &Path,
        known: &mut Option<Settings>,
    ) -> Result<Option<Verdict>, ReplayError> {
        // Names of engines come as they become known; a line needs them from the start.
        let mut player = open(path)?;
        while player.next_step()?.is_some() {}
        let Some(start) = player.start.clone() else { return Ok(Some(player.into_verdict())) };
        let names = Names { engines: player.engines.clone(), classes: start.classes.clone() };
        let same = |a: &Settings, b: &Settings| {
            let plain = |s: &Settings| Settings { gateway_index: 0.0, zone: None, ..s.clone() };
            plain(a) == plain(b)
        };
        if known.as_ref().is_some_and(|k| !same(k, &start.settings)) {
            return Ok(None);
        }
        let settings = known.get_or_insert(start.settings).clone();
        self.class_names = start.classes;
        let file = self.lifetimes.len();
        let mut run = Run {
            all: self,
            settings: &settings,
            names,
            controller: start.index as usize,
            file,
            queries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            written: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            engines: BTreeMap::new(),
            not_up: BTreeSet::new(),
        };
        let mut player = open(path)?;
        let (mut last, mut losses, mut due): (Option<Micros>, usize, Option<Micros>) = (None, 0, None);
        while let Some(ReplayedStep { recorded: step, .. }) = player.next_step()? {
            let lost = player.losses();
            if last.is_none() || lost > losses {
                run.lives_on(step.at, last, matches!(step.input, RecordedInput::Input(Input::Started)));
                losses = lost;
                due = None;
            }
            let wanted = due.zip(last).map(|(due, last)| due.max(last));
            if let Some(wanted) = wanted.filter(|w| step.at.0 - w.0 > STOOD_STILL) {
                if let Some(life) = run.all.lifetimes.last_mut() {
                    life.stalls.push((wanted.0, step.at.0));
                }
            }
            if let Some(driver) = player.driver() {
                run.step(&step, driver);
                due = driver.next_timer_at();
            }
            last = Some(step.at);
        }
        if let (Some(last), Some(life)) = (last, run.all.lifetimes.last_mut()) {
            life.ended_at = Some(last.0);
        }
        Ok(Some(player.into_verdict()))
    }

    /// Ends the gathering: lines in order, and queries that nothing can be said of left out.
    pub fn finish(&mut self, settings: &Settings) {
        self.events.sort_by_key(|l| l.at);
        let lives = &self.lifetimes;
        let known = |t: &QueryRecord| {
            t.outcome.is_some() || {
                let covers = |l: &ProcessLifetime| {
                    l.started_at <= t.sent_at && l.ended_at.is_none_or(|k| k > t.deadline)
                };
                lives.iter().any(|l| l.controller == t.controller && covers(l))
            }
        };
        let before = self.queries.len();
        self.queries.retain(known);
        self.unfinished_queries = before - self.queries.len();
        for t in &mut self.queries {
            if t.outcome.is_none() {
                (t.outcome, t.ended_at) = (Some(ClientOutcome::NoAnswer), t.deadline);
            }
            // A class that the settings do not have is judged by no rule of classes.
            t.class = t.class.min(settings.classes.len());
        }
        self.queries.sort_by_key(|t| t.sent_at);
    }

    /// What is known of the classes, by names as the lines use them.
    pub fn classes(&self, settings: &Settings) -> Vec<ClassInfo> {
        let named = |places: &[usize], nowhere: bool| -> Vec<String> {
            let none = nowhere.then(|| "nowhere".to_string());
            places.iter().map(usize::to_string).chain(none).collect()
        };
        let of = |(i, c): (usize, &wheelfield::interface::Class)| {
            let (n, sum) = self.reported_work.get(&i).copied().unwrap_or_default();
            ClassInfo {
                name: self.class_names.get(i).cloned().unwrap_or_else(|| i.to_string()),
                zones: named(&c.zones, c.no_engine_permitted),
                kinds: named(&c.kinds, c.no_engine_permitted),
                typical_work: if n > 0 { sum / n as f64 } else { 0.0 },
            }
        };
        settings.classes.iter().enumerate().map(of).collect()
    }
}

impl Run<'_> {
    /// A life begins: the first of the file, or behind a loss.
    fn lives_on(&mut self, now: Micros, last: Option<Micros>, started: bool) {
        if let (Some(last), Some(life)) = (last, self.all.lifetimes.last_mut()) {
            life.ended_at = Some(last.0);
        }
        self.all.lifetimes.push(ProcessLifetime {
            controller: self.controller,
            started_at: now.0,
            ended_at: None,
            stalls: Vec::new(),
            begins_mid_run: !started,
        });
    }

    fn line(&mut self, at: Micros, event: &str, attempt: AttemptId, engine: EngineId) {
        let entry = self.engines.get(&engine);
        let s = self.settings;
        let warmth = entry.and_then(|e| e.started_at).map_or(1.0, |started| {
            let grown = (at - started).as_secs_f64() / s.slow_start_duration.as_secs_f64().max(1e-6);
            s.slow_start_initial_fraction + (1.0 - s.slow_start_initial_fraction) * grown.clamp(0.0, 1.0)
        });
        let place = |x: usize| if x == usize::MAX { "?".to_string() } else { x.to_string() };
        let line = HistoryEvent {
            at: at.0,
            event: event.to_string(),
            engine: self.names.engine(engine),
            query: Some(self.id(attempt.query)),
            sent_by: format!("wheelfield/{}", self.controller),
            capacity_fraction: warmth,
            zone: entry.map_or_else(String::new, |e| place(e.zone)),
            kind: entry.map_or_else(String::new, |e| place(e.kind)),
            cell: entry.map_or(0, |e| e.cell),
            ..HistoryEvent::default()
        };
        self.all.events.push(line);
    }

    /// The name of a query, unlike that of any other.
    fn id(&self, query: QueryId) -> String {
        format!("{}.{}:{}", self.controller, self.file, query.0)
    }

    fn ended(&mut self, query: QueryId, at: Micros, end: ClientOutcome) {
        let Some(asked) = self.queries.get(&query).and_then(|i| self.all.queries.get_mut(*i)) else { return };
        if matches!(end, ClientOutcome::Served | ClientOutcome::Refused | ClientOutcome::Failed) {
            asked.answer_count += 1;
        }
        if asked.outcome.is_none() {
            (asked.outcome, asked.ended_at) = (Some(end), at.0);
        }
    }

    fn open(&self, query: QueryId) -> bool {
        let asked = self.queries.get(&query).and_then(|i| self.all.queries.get(*i));
        asked.is_some_and(|a| a.outcome.is_none())
    }

    /// Takes a step; `driver` stands behind it.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn step(&mut self, step: &Step, driver: &Driver) {
        match &step.input {
            RecordedInput::Arrive { arrival, .. } | RecordedInput::ArriveAs { arrival, .. } => {
                if let Some(query) = step.accepted {
                    self.queries.insert(query, self.all.queries.len());
                    let name = self.id(query);
                    self.all.queries.push(QueryRecord {
                        id: name,
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
                        self.works(arrival.class, work);
                    }
                }
            }
            RecordedInput::Input(Input::Engines { complete: whole, entries }) => {
                self.listed(step.at, *whole, entries)
            }
            RecordedInput::Input(Input::Dispatched(attempt)) => {
                if let Some(engine) = self.attempts.get(attempt).copied() {
                    self.written.insert(*attempt);
                    self.line(step.at, "received", *attempt, engine);
                }
            }
            RecordedInput::Input(
                Input::AttemptEnded { attempt, outcome, reported_work: billed_work, .. }
                | Input::AttemptMeasured { attempt, outcome, reported_work: billed_work, .. },
            ) => {
                self.settled(step.at, *attempt, *outcome);
                let class =
                    self.queries.get(&attempt.query).and_then(|i| self.all.queries.get(*i)).map(|a| a.class);
                if let (Some(class), Some(work)) = (class, billed_work) {
                    self.works(class, *work);
                }
                let answered =
                    step.answer.iter().any(|i| matches!(i, Instruction::Answer(q, _) if *q == attempt.query));
                if *outcome == Outcome::Served
                    && !answered
                    && self.open(attempt.query)
                    && !driver.awaits_answer(attempt.query)
                {
                    self.ended(attempt.query, step.at, ClientOutcome::Served);
                }
            }
            RecordedInput::Input(Input::Abandoned(query)) => self.ended(*query, step.at, ClientOutcome::Left),
            _ => {}
        }
        for instruction in &step.answer {
            match instruction {
                Instruction::Start { attempt, engine, .. } => {
                    self.attempts.insert(*attempt, *engine);
                    self.all.attempts += 1;
                    self.line(step.at, "sent", *attempt, *engine);
                }
                Instruction::Cancel(attempt) => {
                    self.withdrawn.insert(*attempt);
                }
                Instruction::Answer(query, answer) => {
                    let end = match answer {
                        Answer::Rejected { .. } => ClientOutcome::Refused,
                        Answer::Failed { .. } | Answer::Interrupted => ClientOutcome::Failed,
                    };
                    self.ended(*query, step.at, end);
                }
                _ => {}
            }
        }
        // What was withdrawn is over once the driver counts it no more: at once if its time was up, else when its engine
        // tells so, or in time if that never comes.
        let over: Vec<AttemptId> =
            self.withdrawn.iter().filter(|a| !driver.is_in_flight(**a)).copied().collect();
        for attempt in over {
            self.withdrawn.remove(&attempt);
            self.settled(step.at, attempt, Outcome::TimedOut);
        }
    }

    fn works(&mut self, class: usize, work: f64) {
        let (n, sum) = self.all.reported_work.entry(class).or_default();
        (*n, *sum) = (*n + 1, *sum + work);
    }

    fn settled(&mut self, at: Micros, attempt: AttemptId, outcome: Outcome) {
        if !self.written.remove(&attempt) {
            return;
        }
        if let Some(engine) = self.attempts.remove(&attempt) {
            let event = match outcome {
                Outcome::Served => "finished",
                Outcome::Error => "errored",
                _ if outcome.never_ran() => "refused",
                _ => "dropped",
            };
            self.line(at, event, attempt, engine);
        }
    }

    fn listed(&mut self, at: Micros, whole: bool, entries: &[EngineEntry]) {
        if whole {
            let named: BTreeSet<EngineId> = entries.iter().map(|e| e.engine).collect();
            self.not_up.extend(self.engines.keys().filter(|e| !named.contains(e)));
        }
        for e in entries {
            if e.status == Status::Up {
                self.not_up.remove(&e.engine);
            } else {
                self.not_up.insert(e.engine);
            }
            let name = self.names.engine(e.engine);
            if let Some(started) = e.started_at {
                if self.all.reported_starts.insert((e.engine, started)) {
                    let restarted = HistoryEvent {
                        at: started.0,
                        event: "restarted".into(),
                        engine: name.clone(),
                        ..HistoryEvent::default()
                    };
                    self.all.events.push(restarted);
                }
            }
            self.all.engine_cores.insert(name, self.settings.cores.get(e.kind).copied().unwrap_or(1.0));
            self.engines.insert(e.engine, e.clone());
        }
        let not_up = self.not_up.iter();
        let not_up = not_up
            .map(|e| UnavailableEngine { engine: self.names.engine(*e), status: "not up".into() })
            .collect();
        let who = self.controller.to_string();
        self.all.events.push(HistoryEvent {
            at: at.0,
            event: "told".into(),
            controller: who,
            unavailable_engines: not_up,
            ..HistoryEvent::default()
        });
    }
}
