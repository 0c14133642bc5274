//! A day on the wire as captures: the same driver as the controller's is told what the module here is told, and what it
//! wants done is held against what the module here wants done. Nothing of it reaches the wire.

use crate::wire::Wording;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::{Path, PathBuf};
use wheelfield::interface::*;
use wheelfield_capture::{Limits, Recorder, Start, Told};
use wheelfield_driver::{
    Answer, Arrival, AttemptId, AttemptOptions, Driver, DriverLimits, Input, Instruction,
};

/// Something wanted done, in a form that module and driver share.
#[derive(Clone, Debug, PartialEq)]
enum Wanted {
    Start(AttemptId, EngineId, AttemptOptions),
    AttemptOptions(AttemptId, AttemptOptions),
    Withdraw(AttemptId),
    Refuse(QueryId, Micros),
    Fail(QueryId),
    Probe(EngineId),
    Tell(Vec<PeerLoadReport>),
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
    terms: BTreeMap<QueryId, AttemptOptions>,
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
        let bounds = DriverLimits {
            max_queries: usize::MAX,
            cancel_confirmation_timeout: DriverLimits::EXTERNALLY_TIMED,
        };
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
        if let Event::AttemptEnded(e) = &event {
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
            Action::SetOptions { query, grant_mb, priority } => {
                let terms = AttemptOptions { grant_mb: *grant_mb, priority: *priority };
                self.terms.insert(*query, terms);
                let (first, last) =
                    (AttemptId { query: *query, number: 0 }, AttemptId { query: *query, number: usize::MAX });
                let out = self.out.range(first..=last);
                self.module.extend(out.map(|a| Wanted::AttemptOptions(*a, terms)));
                return;
            }
            Action::Cancel { query, attempt } => {
                let attempt = AttemptId { query: *query, number: *attempt };
                // Withdrawn, it takes no more terms.
                self.out.remove(&attempt);
                Wanted::Withdraw(attempt)
            }
            Action::Reject { query, retry_after } => Wanted::Refuse(*query, *retry_after),
            Action::Fail { query } => Wanted::Fail(*query),
            Action::SetTimer { .. } => return,
            Action::Probe(engine) => Wanted::Probe(*engine),
            Action::ShareReports(words) => Wanted::Tell(words.clone()),
            Action::Subscribe => Wanted::Subscribe,
            Action::Log(text) => Wanted::Log(text.clone()),
        };
        self.module.push_back(wanted);
    }

    fn step(&mut self, told: Told) {
        let mut out = Vec::new();
        let taken = match &told {
            Told::ArriveAs { id, arrival, .. } => {
                self.driver.submit_with_id(self.now, *id, arrival.clone(), &mut out).ok()
            }
            Told::Input(input) => {
                self.driver.handle_input(self.now, input.clone(), &mut out);
                None
            }
            Told::Woke(token) => {
                self.driver.fire_timer(self.now, *token, &mut out);
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
                Instruction::Start { attempt, engine, options: terms } => {
                    started.push(attempt);
                    Wanted::Start(attempt, engine, terms)
                }
                Instruction::SetOptions(attempt, terms) => Wanted::AttemptOptions(attempt, terms),
                Instruction::Cancel(attempt) => Wanted::Withdraw(attempt),
                Instruction::Answer(query, Answer::Rejected { retry_after }) => {
                    Wanted::Refuse(query, retry_after)
                }
                Instruction::Answer(query, Answer::Failed { .. }) => Wanted::Fail(query),
                // A broken answer is the wire's own affair here.
                Instruction::Answer(_, Answer::Interrupted) => continue,
                Instruction::Probe(engine) => Wanted::Probe(engine),
                Instruction::ShareReports(words) => Wanted::Tell(words),
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
            let (at, name) = (self.now.as_secs_f64(), &self.name);
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
        Event::EngineList(entries) => Input::Engines { complete: true, entries },
        Event::EngineChanges(entries) => Input::Engines { complete: false, entries },
        Event::ListUnavailable => Input::ListUnavailable,
        Event::Arrived(q) => {
            let Query { id, class, tenant, key, deadline: due, work_hint, memory_hint, tables } = q;
            let arrival = Arrival { class, tenant, key, deadline: due, work_hint, memory_hint, tables };
            return Some(Told::ArriveAs { id, arrival, label: format!("{:016x}", id.0) });
        }
        Event::AnswerStarted(query) => Input::AnswerStarted(AttemptId { query, number: attempt? }),
        Event::AttemptUpdated { query, attempt: number, update: note } => {
            Input::AttemptUpdated(AttemptId { query, number }, note)
        }
        Event::AttemptEnded(e) => {
            let AttemptEnd {
                query,
                attempt: number,
                outcome,
                reported_work: billed_work,
                report,
                elapsed: took,
                ..
            } = e;
            Input::AttemptMeasured {
                attempt: AttemptId { query, number },
                outcome,
                reported_work: billed_work,
                report,
                elapsed: took,
            }
        }
        Event::Abandoned(query) => Input::Abandoned(query),
        Event::ShutdownDeadline(query) => Input::ShutdownDeadline(query),
        Event::ProbeEnded { engine, outcome, report } => Input::ProbeEnded { engine, outcome, report },
        Event::PeerReports(words) => Input::PeerReports(words),
        Event::GatewayCountChanged { count, index } => {
            Input::GatewayCountChanged { count: count as u32, index: index as u32 }
        }
        Event::TimerFired(token) => return Some(Told::Woke(token)),
    }))
}
