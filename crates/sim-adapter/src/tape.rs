//! A day on the wire as captures: the same driver as the controller's is told what the module here is told, and what it
//! wants done is held against what the module here wants done. Nothing of it reaches the wire.

use crate::wire::Wording;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::{Path, PathBuf};
use wheelfield::interface::*;
use wheelfield_capture::{Limits, Recorder, Start, Told};
use wheelfield_driver::{Answer, Arrival, AttemptId, Bounds, Driver, Input, Instruction, Terms};

/// Something wanted done, in a form that module and driver share.
#[derive(Clone, Debug, PartialEq)]
enum Wanted {
    Start(AttemptId, EngineId, Terms),
    Terms(AttemptId, Terms),
    Withdraw(AttemptId),
    Refuse(QueryId, Micros),
    Fail(QueryId),
    Probe(EngineId),
    Tell(Vec<Word>),
    Subscribe,
    Log(String),
}

/// What became of the tapes.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Captures written.
    pub captures: u64,
    /// Steps in them.
    pub steps: u64,
    /// Records lost.
    pub lost: u64,
    /// Things wanted done by the module here, and equally by the driver.
    pub equal: u64,
    /// The first difference of each instance that had one.
    pub differences: Vec<String>,
}

/// One life of an instance.
pub struct RecordingDriver {
    name: String,
    driver: Driver,
    recorder: Recorder,
    /// Terms for a query's next send, attempts sent, and those out: what the module's actions say of them.
    terms: BTreeMap<QueryId, Terms>,
    sent: BTreeMap<QueryId, usize>,
    out: BTreeSet<AttemptId>,
    /// Wanted by the module here and not yet by the driver, and the other way round.
    module: VecDeque<Wanted>,
    driven: VecDeque<Wanted>,
    steps: u64,
    equal: u64,
    difference: Option<String>,
    now: Micros,
}

impl RecordingDriver {
    /// Begins the capture of an instance's life.
    ///
    /// # Errors
    /// If no file can be made.
    pub fn begin(
        dir: &Path,
        (instance, life): (u32, u32),
        names: &Wording,
        settings: &Settings,
        seed: u64,
        now: Micros,
    ) -> std::io::Result<RecordingDriver> {
        let name = if life == 0 {
            format!("controller-{instance}")
        } else {
            format!("controller-{instance}-{life}")
        };
        let bounds = Bounds { queries: usize::MAX, withdraw_wait: Bounds::TOLD };
        let (classes, tenants) = (names.0.classes.clone(), names.0.tenants.clone());
        let start = Start {
            build: format!("{} {}", env!("CARGO_PKG_NAME"), env!("CARGO_PKG_VERSION")),
            index: instance,
            seed,
            settings: settings.clone(),
            bounds,
            classes,
            tenants,
        };
        let driver = Driver::new(settings.clone(), seed, bounds);
        // A bench day is played faster than it lasts; its queue is as long as the disk may need.
        let limits = Limits { queue: 1 << 16, ..Limits::default() };
        let path: PathBuf = dir.join(format!("{name}.wfcap"));
        let recorder = Recorder::begin(&path, start, limits, &driver, now)?;
        Ok(RecordingDriver {
            name,
            driver,
            recorder,
            terms: BTreeMap::new(),
            sent: BTreeMap::new(),
            out: BTreeSet::new(),
            module: VecDeque::new(),
            driven: VecDeque::new(),
            steps: 0,
            equal: 0,
            difference: None,
            now,
        })
    }

    /// Tells the driver what the module here was told, and remembers what both want done. `attempt` is the number of the
    /// attempt that an answer has begun of.
    pub fn event(
        &mut self,
        now: Micros,
        event: Event,
        attempt: Option<usize>,
        actions: &[Action],
        names: &Wording,
    ) {
        self.now = now;
        if let Event::Ended(e) = &event {
            self.out.remove(&AttemptId { query: e.query, number: e.attempt });
        }
        for action in actions {
            self.wants(action);
        }
        if matches!(event, Event::EngineList(_) | Event::EngineChanges(_)) {
            self.recorder.engines(now, names.0.engines.iter().map(|(id, name)| (*id, name.clone())));
        }
        if let Some(told) = told(event, attempt) {
            self.step(told);
        }
    }

    fn wants(&mut self, action: &Action) {
        let wanted = match action {
            Action::Send { query, engine, .. } => {
                let sent = self.sent.entry(*query).or_default();
                let attempt = AttemptId { query: *query, number: *sent };
                *sent += 1;
                self.out.insert(attempt);
                Wanted::Start(attempt, *engine, self.terms.get(query).copied().unwrap_or_default())
            }
            Action::Terms { query, grant_mb, priority } => {
                let terms = Terms { grant_mb: *grant_mb, priority: *priority };
                self.terms.insert(*query, terms);
                let (first, last) =
                    (AttemptId { query: *query, number: 0 }, AttemptId { query: *query, number: usize::MAX });
                let out = self.out.range(first..=last);
                self.module.extend(out.map(|a| Wanted::Terms(*a, terms)));
                return;
            }
            Action::Cancel { query, attempt } => {
                let attempt = AttemptId { query: *query, number: *attempt };
                // Withdrawn, it takes no more terms.
                self.out.remove(&attempt);
                Wanted::Withdraw(attempt)
            }
            Action::Refuse { query, retry_after } => Wanted::Refuse(*query, *retry_after),
            Action::Fail { query } => Wanted::Fail(*query),
            Action::Timer { .. } => return,
            Action::Probe(engine) => Wanted::Probe(*engine),
            Action::Tell(words) => Wanted::Tell(words.clone()),
            Action::Subscribe => Wanted::Subscribe,
            Action::Log(text) => Wanted::Log(text.clone()),
        };
        self.module.push_back(wanted);
    }

    fn step(&mut self, told: Told) {
        let mut out = Vec::new();
        let taken = match &told {
            Told::ArriveAs { id, arrival, .. } => {
                self.driver.arrive_as(self.now, *id, arrival.clone(), &mut out).ok()
            }
            Told::Input(input) => {
                self.driver.tell(self.now, input.clone(), &mut out);
                None
            }
            Told::Woke(token) => {
                self.driver.woke(self.now, *token, &mut out);
                None
            }
            // Of these there is none here.
            Told::Due | Told::Arrive { .. } => return,
        };
        self.recorder.step(self.now, &told, taken, &out);
        self.recorder.tend(&self.driver, self.now);
        self.steps += 1;
        let mut started = Vec::new();
        for instruction in out {
            self.driven.push_back(match instruction {
                Instruction::Start { attempt, engine, terms } => {
                    started.push(attempt);
                    Wanted::Start(attempt, engine, terms)
                }
                Instruction::SetTerms(attempt, terms) => Wanted::Terms(attempt, terms),
                Instruction::Withdraw(attempt) => Wanted::Withdraw(attempt),
                Instruction::Answer(query, Answer::Refused { retry_after }) => {
                    Wanted::Refuse(query, retry_after)
                }
                Instruction::Answer(query, Answer::Failed { .. }) => Wanted::Fail(query),
                // A broken answer is the wire's own affair here.
                Instruction::Answer(_, Answer::Broken) => continue,
                Instruction::Probe(engine) => Wanted::Probe(engine),
                Instruction::Tell(words) => Wanted::Tell(words),
                Instruction::Subscribe => Wanted::Subscribe,
                Instruction::Log(text) => Wanted::Log(text),
            });
        }
        // On this wire, an attempt is on its way as soon as it is asked for.
        for attempt in started {
            self.step(Told::Input(Input::Dispatched(attempt)));
        }
    }

    /// Compares what both wanted done, at the end of a batch.
    pub fn compare(&mut self) {
        while let (Some(module), Some(driven)) = (self.module.front(), self.driven.front()) {
            if module != driven {
                break;
            }
            self.equal += 1;
            self.module.pop_front();
            self.driven.pop_front();
        }
        if self.module.is_empty() && self.driven.is_empty() {
            return;
        }
        if self.difference.is_none() {
            let (at, name) = (self.now.secs(), &self.name);
            let side = |q: &VecDeque<Wanted>| q.front().map_or("nothing".into(), |w| format!("{w:?}"));
            let text = format!(
                "{name} at {at:.6} s: the module wants {}, the driver {}",
                side(&self.module),
                side(&self.driven)
            );
            self.difference = Some(text);
        }
        self.module.clear();
        self.driven.clear();
    }

    /// Ends the capture.
    pub fn end(mut self, tally: &mut Tally) {
        self.compare();
        let state = self.recorder.end(self.now);
        tally.captures += 1;
        tally.steps += self.steps;
        tally.lost += state.lost;
        tally.equal += self.equal;
        tally.differences.extend(self.difference);
    }
}

/// An event of the module as what its driver was told.
fn told(event: Event, attempt: Option<usize>) -> Option<Told> {
    Some(Told::Input(match event {
        Event::Started => Input::Started,
        Event::EngineList(entries) => Input::Engines { whole: true, entries },
        Event::EngineChanges(entries) => Input::Engines { whole: false, entries },
        Event::ListUnavailable => Input::ListUnavailable,
        Event::Arrived(q) => {
            let Query { id, class, tenant, key, due, work_hint, memory_hint, tables } = q;
            let arrival = Arrival { class, tenant, key, due, work_hint, memory_hint, tables };
            return Some(Told::ArriveAs { id, arrival, label: format!("{:016x}", id.0) });
        }
        Event::AnswerBegan(query) => Input::Began(AttemptId { query, number: attempt? }),
        Event::Noted { query, attempt: number, note } => Input::Noted(AttemptId { query, number }, note),
        Event::Ended(e) => {
            let Ending { query, attempt: number, outcome, billed_work, report, took, .. } = e;
            Input::Measured { attempt: AttemptId { query, number }, outcome, billed_work, report, took }
        }
        Event::Departed(query) => Input::Departed(query),
        Event::TimeUp(query) => Input::TimeUp(query),
        Event::Probed { engine, outcome, report } => Input::Probed { engine, outcome, report },
        Event::Told(words) => Input::Told(words),
        Event::Gateways { count, index } => Input::Gateways { count: count as u32, index: index as u32 },
        Event::TimerDue(token) => return Some(Told::Woke(token)),
    }))
}
