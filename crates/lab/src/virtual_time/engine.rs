//! A stand-in engine without its sockets: the model, the faults on it, and what it is asked and answers.

use super::{Event, LinkId, Msg, World, HOP};
use rand::RngExt as _;
use std::collections::BTreeMap;
use wheelfield::interface::{Micros, Note, Outcome, Report};
use wheelfield_driver::{AttemptId, Terms};
use wheelfield_engine::answer::BAD_PLAN;
use wheelfield_engine::model::{Happened, Job, Load, Model};
use wheelfield_engine::registry::Standing;
use wheelfield_rules::Line;

/// What ails an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    pub hangs: bool,
    full: bool,
    errors: f64,
    loses: f64,
    halves: f64,
}

/// The process of a controller that a session belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Peer {
    pub controller: usize,
    pub life: u64,
    pub link: LinkId,
}

/// What an engine is asked.
#[derive(Clone, Debug)]
pub(super) enum Ask {
    /// Let a session in.
    Hello(Peer),
    /// Run a try.
    Run(Peer, AttemptId, usize, Terms),
    /// End what runs on a session.
    Cancel(Peer),
    /// Change the priority of what runs on a session.
    Priority(Peer, u8),
    /// Tell the load.
    Load(Peer),
    /// A session is closed by its controller.
    Close(Peer),
}

#[derive(Debug)]
struct Work {
    peer: Peer,
    attempt: AttemptId,
    tried: usize,
}

pub(super) struct Engine {
    pub name: String,
    zone: String,
    kind: String,
    cell: i64,
    pub model: Model,
    pub faults: Faults,
    /// Raised as it dies: what was sent to the process before does not reach the one after it.
    pub life: u64,
    work: BTreeMap<u64, Work>,
    by_peer: BTreeMap<Peer, u64>,
    /// Asked while it hangs.
    unread: Vec<Ask>,
    wake: Option<wheelfield_net::TimerKey>,
}

impl Engine {
    pub fn new(name: String, zone: String, kind: String, cell: i64, model: Model) -> Engine {
        Engine {
            name,
            zone,
            kind,
            cell,
            model,
            faults: Faults::default(),
            life: 0,
            work: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            unread: Vec::new(),
            wake: None,
        }
    }
}

fn report(load: Load) -> Report {
    // As the wire writes them.
    let told = |x: f64| Some((x * 1e3).round() / 1e3);
    Report {
        utilisation: told(load.util),
        in_flight: told(load.in_flight),
        queue: told(load.queue),
        memory: told(load.memory),
        disks: told(load.disks),
    }
}

impl World<'_> {
    fn log_at(&mut self, e: usize, event: &str, query: Option<usize>, by: Option<usize>) {
        let line = Line {
            t: self.now,
            event: event.to_string(),
            engine: self.engines[e].name.clone(),
            query: query.map(|t| self.tries[t].id.clone()),
            by: by.map(|c| format!("wheelfield/{c}")).unwrap_or_default(),
            ..Line::default()
        };
        self.log.push(line);
    }

    fn answer(&mut self, peer: Peer, msg: Msg) {
        let at = self.now + HOP + self.jitter();
        self.events.set(at, Event::At(peer.controller, peer.life, msg));
    }

    /// Something reached the process of an engine.
    pub(super) fn asked(&mut self, e: usize, life: u64, ask: Ask) {
        let engine = &mut self.engines[e];
        if engine.life != life || !engine.model.up() {
            // Nobody is there: a connect is refused; what was sent on a session is known to be lost by its end.
            if let Ask::Hello(peer) = ask {
                self.answer(peer, Msg::Lost(peer.link, Outcome::ConnectFailed));
            }
            return;
        }
        if engine.faults.hangs {
            engine.unread.push(ask);
            return;
        }
        match ask {
            Ask::Hello(peer) => self.answer(peer, Msg::Ready(peer.link)),
            Ask::Load(peer) => {
                let report = report(self.engines[e].model.load());
                self.answer(peer, Msg::Load(peer.link, report));
            }
            Ask::Run(peer, attempt, t, terms) => self.run(e, peer, attempt, t, terms),
            Ask::Priority(peer, priority) => {
                let Some(job) = self.engines[e].by_peer.get(&peer).copied() else { return };
                let mut happened = Vec::new();
                self.engines[e].model.set_priority(self.now, job, priority, &mut happened);
                self.carry_out(e, happened);
            }
            Ask::Cancel(peer) => {
                if let Some(work) = self.drop_work(e, peer) {
                    let load = report(self.engines[e].model.load());
                    self.answer(peer, Msg::Ended(peer.link, work.attempt, Outcome::Cancelled, None, load));
                }
            }
            Ask::Close(peer) => {
                self.drop_work(e, peer);
            }
        }
    }

    /// Ends what runs on a session.
    fn drop_work(&mut self, e: usize, peer: Peer) -> Option<Work> {
        let engine = &mut self.engines[e];
        let job = engine.by_peer.remove(&peer)?;
        let work = engine.work.remove(&job);
        let mut happened = Vec::new();
        engine.model.cancel(self.now, job, &mut happened);
        if let Some(w) = &work {
            self.log_at(e, "dropped", Some(w.tried), Some(peer.controller));
        }
        self.carry_out(e, happened);
        work
    }

    fn run(&mut self, e: usize, peer: Peer, attempt: AttemptId, t: usize, terms: Terms) {
        let plan = self.plan;
        let arrival = &plan.arrivals[self.tries[t].arrival];
        let class = &self.day.classes[arrival.class];
        let unlucky = class.bad_plans > 0.0 && self.chance.random::<f64>() < class.bad_plans;
        self.next_job += 1;
        let engine = &mut self.engines[e];
        let job = Job {
            id: self.next_job,
            work: arrival.work * if unlucky { BAD_PLAN } else { 1.0 },
            usual: class.work.0 .0 as f64 / 1e6,
            threads: class.threads,
            io: class.io,
            memory_mb: arrival.memory_mb,
            grant_mb: (terms.grant_mb > 0.0).then_some(terms.grant_mb),
            priority: terms.priority,
            tables: arrival.tables,
            load: class.load,
            waits: class.waits_for_loads,
        };
        let line = Line {
            t: self.now,
            event: "received".into(),
            engine: engine.name.clone(),
            query: Some(self.tries[t].id.clone()),
            by: format!("wheelfield/{}", peer.controller),
            warmth: engine.model.warmth(self.now),
            zone: engine.zone.clone(),
            kind: engine.kind.clone(),
            cell: engine.cell,
            ..Line::default()
        };
        self.log.push(line);
        let load = report(engine.model.load());
        let faults = engine.faults;
        if faults.full {
            self.log_at(e, "refused", Some(t), Some(peer.controller));
            return self.answer(peer, Msg::Ended(peer.link, attempt, Outcome::Full, None, load));
        }
        if faults.errors > 0.0 && self.chance.random::<f64>() < faults.errors {
            self.log_at(e, "errored", Some(t), Some(peer.controller));
            return self.answer(peer, Msg::Ended(peer.link, attempt, Outcome::Error, None, load));
        }
        let (number, mut happened) = (job.id, Vec::new());
        let engine = &mut self.engines[e];
        engine.work.insert(number, Work { peer, attempt, tried: t });
        engine.by_peer.insert(peer, number);
        if engine.model.submit(self.now, job, &mut happened).is_err() {
            engine.work.remove(&number);
            engine.by_peer.remove(&peer);
            self.log_at(e, "refused", Some(t), Some(peer.controller));
            self.answer(peer, Msg::Ended(peer.link, attempt, Outcome::Full, None, load));
        }
        self.carry_out(e, happened);
    }

    /// Lets an engine's time pass.
    pub(super) fn engine_due(&mut self, e: usize) {
        self.engines[e].wake = None;
        let mut happened = Vec::new();
        self.engines[e].model.advance(self.now, &mut happened);
        self.carry_out(e, happened);
    }

    fn wake_engine(&mut self, e: usize) {
        let next = self.engines[e].model.next_event().map(|at| at.max(self.now + 1));
        if let Some(old) = self.engines[e].wake.take() {
            self.events.cancel(old);
        }
        self.engines[e].wake = next.map(|at| self.events.set(at, Event::EngineDue(e)));
    }

    fn carry_out(&mut self, e: usize, all: Vec<Happened>) {
        for happened in all {
            match happened {
                Happened::FellOver => {
                    self.log_at(e, "fell_over", None, None);
                    self.kill_engine(e);
                }
                Happened::Finished { id, work } => self.finished(e, id, work),
                Happened::Started(_) => {}
                Happened::Progress(id, share) => {
                    self.note(e, id, Note::Progress((share * 1e4).round() / 1e4))
                }
                Happened::Spills(id, mb) => self.note(e, id, Note::Spills(mb.round())),
                Happened::WaitsForMemory(id) => self.note(e, id, Note::WaitsForMemory),
                Happened::WaitsForLoad(id) => self.note(e, id, Note::WaitsForLoad),
            }
        }
        self.wake_engine(e);
    }

    fn note(&mut self, e: usize, job: u64, note: Note) {
        if let Some(w) = self.engines[e].work.get(&job) {
            let (peer, attempt) = (w.peer, w.attempt);
            self.answer(peer, Msg::Noted(attempt, note));
        }
    }

    fn finished(&mut self, e: usize, job: u64, work: f64) {
        let Some(w) = self.engines[e].work.remove(&job) else { return };
        self.engines[e].by_peer.remove(&w.peer);
        self.log_at(e, "finished", Some(w.tried), Some(w.peer.controller));
        let faults = self.engines[e].faults;
        let chance: f64 = self.chance.random();
        if chance < faults.loses {
            return;
        }
        let load = report(self.engines[e].model.load());
        if chance < faults.loses + faults.halves {
            return self.answer(w.peer, Msg::Half(w.peer.link, w.attempt));
        }
        let billed = Some((work * 1e4).round() / 1e4);
        self.answer(w.peer, Msg::Ended(w.peer.link, w.attempt, Outcome::Served, billed, load));
    }

    /// An engine's process dies: its sessions break.
    pub(super) fn kill_engine(&mut self, e: usize) {
        let (now, notice) = (self.now, self.setup.notice + self.stale);
        let engine = &mut self.engines[e];
        engine.model.kill(now);
        engine.faults = Faults::default();
        (engine.life, engine.unread) = (engine.life + 1, Vec::new());
        engine.by_peer.clear();
        let name = engine.name.clone();
        for w in std::mem::take(&mut engine.work).into_values() {
            self.log_at(e, "dropped", Some(w.tried), Some(w.peer.controller));
        }
        self.log_at(e, "killed", None, None);
        self.registry.change(now + notice, &name, Standing::Removed, None);
        self.wake_registry();
        let life = self.engines[e].life;
        let at = now + HOP;
        self.events.set(at, Event::SessionsBroke(e, life));
        self.wake_engine(e);
    }

    fn start_engine(&mut self, e: usize) {
        if self.engines[e].model.up() {
            return;
        }
        let now = self.now;
        self.engines[e].model.start(now);
        let name = self.engines[e].name.clone();
        self.log_at(e, "restarted", None, None);
        let at = now + self.setup.listed_after + self.stale;
        self.registry.change(at, &name, Standing::Up, Some(now));
        self.wake_registry();
        self.wake_engine(e);
    }

    /// Makes an engine ail, or well again, as the control port of the stand-ins does.
    pub(super) fn ail(&mut self, e: usize, kind: &str, value: f64) {
        let now = self.now;
        let line = Line {
            t: now,
            event: "fault".into(),
            engine: self.engines[e].name.clone(),
            kind: kind.to_string(),
            value,
            ..Line::default()
        };
        self.log.push(line);
        let mut happened = Vec::new();
        match kind {
            "kill" => return self.kill_engine(e),
            "start" => return self.start_engine(e),
            "hang" => {
                self.engines[e].model.advance(now, &mut happened);
                self.carry_out(e, happened);
                self.engines[e].faults.hangs = value > 0.0;
                self.engines[e].model.freeze(now, value > 0.0);
                if value <= 0.0 {
                    let life = self.engines[e].life;
                    for ask in std::mem::take(&mut self.engines[e].unread) {
                        self.asked(e, life, ask);
                    }
                }
            }
            "slow" => {
                self.engines[e].model.advance(now, &mut happened);
                self.engines[e].model.slow(now, value.max(0.01));
                self.carry_out(e, happened);
            }
            "errors" => self.engines[e].faults.errors = value,
            "lose" => self.engines[e].faults.loses = value,
            "half" => self.engines[e].faults.halves = value,
            "full" => self.engines[e].faults.full = value > 0.0,
            "flush" => self.engines[e].model.flush(),
            "drain" => {
                let standing = if value > 0.0 { Standing::Draining } else { Standing::Up };
                let name = self.engines[e].name.clone();
                self.registry.change(now, &name, standing, None);
                self.wake_registry();
            }
            _ => {}
        }
        self.wake_engine(e);
    }

    /// The time as the module counts it.
    pub(super) fn micros(&self) -> Micros {
        Micros(self.now)
    }
}
