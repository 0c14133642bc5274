//! Steps of a driver, told as the judge's evidence.

use crate::open;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use wheelfield::interface::{EngineEntry, EngineId, Micros, Outcome, QueryId, Settings, Status};
use wheelfield_capture::RecordedInput;
use wheelfield_driver::{Answer, AttemptId, Driver, Input, Instruction};
use wheelfield_invariants::{Asked, End, Life, Line, NotUp, OfClass};
use wheelfield_replay::describe::Names;
use wheelfield_replay::{ReplayError, ReplayedStep, Step, Verdict};

/// A controller that was told to wake at a time, and took its next step so much later, stood still, in microseconds.
const STOOD_STILL: i64 = 20_000;

/// All evidence so far.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Queries.
    pub asked: Vec<Asked>,
    /// What happened at engines.
    pub log: Vec<Line>,
    /// Lives of the controllers.
    pub lives: Vec<Life>,
    /// Cores of engines, by name.
    pub cores: BTreeMap<String, f64>,
    /// Queries that had not ended where their capture does.
    pub open: usize,
    /// Attempts started.
    pub attempts: usize,
    /// Work of each class: so many, and their sum in seconds.
    work: BTreeMap<usize, (u64, f64)>,
    /// Starts of engines that were told of.
    starts: BTreeSet<(EngineId, Micros)>,
    names: Vec<String>,
}

/// One process of a controller, while its file is read.
struct Run<'a> {
    all: &'a mut Gathered,
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

impl Gathered {
    /// Adds a file; none if its controller was told other rules than those before.
    ///
    /// # Errors
    /// [`ReplayError`] where it can't be read.
    pub fn file(
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
        self.names = start.classes;
        let file = self.lives.len();
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
                if let Some(life) = run.all.lives.last_mut() {
                    life.stalls.push((wanted.0, step.at.0));
                }
            }
            if let Some(driver) = player.driver() {
                run.step(&step, driver);
                due = driver.next_timer_at();
            }
            last = Some(step.at);
        }
        if let (Some(last), Some(life)) = (last, run.all.lives.last_mut()) {
            life.killed = Some(last.0);
        }
        Ok(Some(player.into_verdict()))
    }

    /// Ends the gathering: lines in order, and queries that nothing can be said of left out.
    pub fn close(&mut self, settings: &Settings) {
        self.log.sort_by_key(|l| l.t);
        let lives = &self.lives;
        let known = |t: &Asked| {
            t.end.is_some() || {
                let covers = |l: &Life| l.from <= t.sent && l.killed.is_none_or(|k| k > t.due);
                lives.iter().any(|l| l.controller == t.controller && covers(l))
            }
        };
        let before = self.asked.len();
        self.asked.retain(known);
        self.open = before - self.asked.len();
        for t in &mut self.asked {
            if t.end.is_none() {
                (t.end, t.ended) = (Some(End::NoAnswer), t.due);
            }
            // A class that the settings do not have is judged by no rule of classes.
            t.class = t.class.min(settings.classes.len());
        }
        self.asked.sort_by_key(|t| t.sent);
    }

    /// What is known of the classes, by names as the lines use them.
    pub fn classes(&self, settings: &Settings) -> Vec<OfClass> {
        let named = |places: &[usize], nowhere: bool| -> Vec<String> {
            let none = nowhere.then(|| "nowhere".to_string());
            places.iter().map(usize::to_string).chain(none).collect()
        };
        let of = |(i, c): (usize, &wheelfield::interface::Class)| {
            let (n, sum) = self.work.get(&i).copied().unwrap_or_default();
            OfClass {
                name: self.names.get(i).cloned().unwrap_or_else(|| i.to_string()),
                zones: named(&c.zones, c.no_engine_permitted),
                kinds: named(&c.kinds, c.no_engine_permitted),
                usual_work: if n > 0 { sum / n as f64 } else { 0.0 },
            }
        };
        settings.classes.iter().enumerate().map(of).collect()
    }
}

impl Run<'_> {
    /// A life begins: the first of the file, or behind a loss.
    fn lives_on(&mut self, now: Micros, last: Option<Micros>, started: bool) {
        if let (Some(last), Some(life)) = (last, self.all.lives.last_mut()) {
            life.killed = Some(last.0);
        }
        self.all.lives.push(Life {
            controller: self.controller,
            from: now.0,
            killed: None,
            stalls: Vec::new(),
            entered: !started,
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
        let line = Line {
            t: at.0,
            event: event.to_string(),
            engine: self.names.engine(engine),
            query: Some(self.id(attempt.query)),
            by: format!("wheelfield/{}", self.controller),
            warmth,
            zone: entry.map_or_else(String::new, |e| place(e.zone)),
            kind: entry.map_or_else(String::new, |e| place(e.kind)),
            cell: entry.map_or(0, |e| e.cell),
            ..Line::default()
        };
        self.all.log.push(line);
    }

    /// The name of a query, unlike that of any other.
    fn id(&self, query: QueryId) -> String {
        format!("{}.{}:{}", self.controller, self.file, query.0)
    }

    fn ended(&mut self, query: QueryId, at: Micros, end: End) {
        let Some(asked) = self.queries.get(&query).and_then(|i| self.all.asked.get_mut(*i)) else { return };
        if matches!(end, End::Served | End::Refused | End::Failed) {
            asked.answers += 1;
        }
        if asked.end.is_none() {
            (asked.end, asked.ended) = (Some(end), at.0);
        }
    }

    fn open(&self, query: QueryId) -> bool {
        let asked = self.queries.get(&query).and_then(|i| self.all.asked.get(*i));
        asked.is_some_and(|a| a.end.is_none())
    }

    /// Takes a step; `driver` stands behind it.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn step(&mut self, step: &Step, driver: &Driver) {
        match &step.input {
            RecordedInput::Arrive { arrival, .. } | RecordedInput::ArriveAs { arrival, .. } => {
                if let Some(query) = step.accepted {
                    self.queries.insert(query, self.all.asked.len());
                    let name = self.id(query);
                    self.all.asked.push(Asked {
                        id: name,
                        class: arrival.class,
                        key: arrival.key.clone(),
                        controller: self.controller,
                        sent: step.at.0,
                        due: arrival.deadline.0,
                        ended: 0,
                        end: None,
                        answers: 0,
                        after: None,
                        wrong: None,
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
                    self.queries.get(&attempt.query).and_then(|i| self.all.asked.get(*i)).map(|a| a.class);
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
                    self.ended(attempt.query, step.at, End::Served);
                }
            }
            RecordedInput::Input(Input::Abandoned(query)) => self.ended(*query, step.at, End::Left),
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
                        Answer::Rejected { .. } => End::Refused,
                        Answer::Failed { .. } | Answer::Interrupted => End::Failed,
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
        let (n, sum) = self.all.work.entry(class).or_default();
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
                if self.all.starts.insert((e.engine, started)) {
                    let restarted = Line {
                        t: started.0,
                        event: "restarted".into(),
                        engine: name.clone(),
                        ..Line::default()
                    };
                    self.all.log.push(restarted);
                }
            }
            self.all.cores.insert(name, self.settings.cores.get(e.kind).copied().unwrap_or(1.0));
            self.engines.insert(e.engine, e.clone());
        }
        let not_up = self.not_up.iter();
        let not_up =
            not_up.map(|e| NotUp { engine: self.names.engine(*e), status: "not up".into() }).collect();
        let who = self.controller.to_string();
        self.all.log.push(Line { t: at.0, event: "told".into(), who, not_up, ..Line::default() });
    }
}
