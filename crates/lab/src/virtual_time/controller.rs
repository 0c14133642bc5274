//! A controller without its sockets: its sessions with engines, its clients, and what decides in it.

use super::engine::{Ask, Peer};
use super::mind::Mind;
use super::{Event, LinkId, Msg, World, HOP};
use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, Micros, Outcome, QueryId, Report};
use wheelfield_driver::{Answer, Arrival, AttemptId, Input, Instruction, Terms};
use wheelfield_members::tracker::{Change, Engines};
use wheelfield_rules::End;

/// An answer that nobody wants must end within this, as in the controller; without cancels, within the second.
const ABANDON: [i64; 2] = [2_000_000, 60_000_000];

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Idle,
    Runs(AttemptId),
    Probes,
}

struct Link {
    engine: usize,
    life: u64,
    state: State,
    /// Its answer goes to nobody.
    discarded: bool,
}

#[derive(Default)]
struct Pool {
    links: usize,
    idle: Vec<LinkId>,
    waiting: VecDeque<AttemptId>,
    connecting: usize,
    probing: bool,
}

/// One process of a controller.
pub(super) struct Controller {
    pub mind: Box<dyn Mind>,
    pub engines: Engines,
    queries: BTreeMap<QueryId, usize>,
    tries: BTreeMap<usize, QueryId>,
    terms: BTreeMap<QueryId, Terms>,
    flights: BTreeMap<AttemptId, LinkId>,
    links: BTreeMap<LinkId, Link>,
    pools: Vec<Pool>,
    wake: Option<(i64, wheelfield_net::TimerKey)>,
    /// It waits for a list newer than this.
    pub watches: Option<u64>,
}

impl Controller {
    pub fn new(mind: Box<dyn Mind>, engines: usize) -> Controller {
        Controller {
            mind,
            engines: Engines::default(),
            queries: BTreeMap::new(),
            tries: BTreeMap::new(),
            terms: BTreeMap::new(),
            flights: BTreeMap::new(),
            links: BTreeMap::new(),
            pools: (0..engines).map(|_| Pool::default()).collect(),
            wake: None,
            watches: None,
        }
    }

    /// Sessions that are open, with the life of the engine they are with.
    pub fn sessions(&self) -> Vec<(LinkId, usize, u64)> {
        self.links.iter().map(|(id, l)| (*id, l.engine, l.life)).collect()
    }
}

impl World<'_> {
    fn ctl(&mut self, c: usize) -> Option<&mut Controller> {
        self.controllers[c].as_mut()
    }

    /// Something reached a controller.
    pub(super) fn reached(&mut self, c: usize, msg: Msg) {
        match msg {
            Msg::Query(t) => self.take(c, t),
            Msg::CancelOf(t) => self.give_up(c, t, true),
            Msg::ClientGone(t) => self.give_up(c, t, false),
            Msg::Ready(l) => {
                let Some(ctl) = self.ctl(c) else { return };
                if let Some(link) = ctl.links.get_mut(&l).filter(|l| l.state == State::Connecting) {
                    link.state = State::Idle;
                    let e = link.engine;
                    ctl.pools[e].connecting -= 1;
                    self.idle(c, l);
                }
            }
            Msg::Lost(l, outcome) => self.lost(c, l, outcome),
            Msg::ConnectLate(l) => {
                let Some(ctl) = self.ctl(c) else { return };
                if ctl.links.get(&l).is_some_and(|l| l.state == State::Connecting) {
                    self.close(c, l);
                    self.lost(c, l, Outcome::ConnectFailed);
                }
            }
            Msg::Abandon(l, attempt) => {
                let Some(ctl) = self.ctl(c) else { return };
                if ctl.links.get(&l).is_some_and(|l| l.discarded && l.state == State::Runs(attempt)) {
                    self.close(c, l);
                    self.lost(c, l, Outcome::Cancelled);
                }
            }
            Msg::ProbeLate(l) => {
                let Some(ctl) = self.ctl(c) else { return };
                if ctl.links.get(&l).is_some_and(|l| l.state == State::Probes) {
                    self.close(c, l);
                    self.lost(c, l, Outcome::TimedOut);
                }
            }
            Msg::Noted(attempt, note) => self.tell(c, Input::Noted(attempt, note)),
            Msg::Ended(l, attempt, outcome, billed_work, report) => {
                self.unit_over(c, l, attempt, outcome, billed_work, report);
            }
            Msg::Half(l, attempt) => {
                let Some(ctl) = self.ctl(c) else { return };
                let wanted = ctl.links.get(&l).is_some_and(|l| !l.discarded);
                if wanted && ctl.mind.may_answer(attempt) {
                    self.tell(c, Input::Began(attempt));
                }
                self.lost(c, l, Outcome::Reset);
            }
            Msg::Load(l, report) => {
                let Some(ctl) = self.ctl(c) else { return };
                let Some(link) = ctl.links.get_mut(&l).filter(|l| l.state == State::Probes) else { return };
                link.state = State::Idle;
                let e = link.engine;
                self.probed(c, e, Outcome::Served, report);
                self.idle(c, l);
            }
            Msg::List(set) => {
                let now = self.micros();
                let files = self.day.registry.files;
                let Some(ctl) = self.ctl(c) else { return };
                ctl.watches = None;
                let change = if files { ctl.engines.set_from_files(set, now) } else { ctl.engines.set(set) };
                self.engines_changed(c, change);
                if !files {
                    let wait = if self.polls() { self.day.registry.every.0 .0 } else { 1_000 };
                    self.ask_registry_in(c, wait);
                }
            }
            Msg::ListUnavailable => {
                if let Some(ctl) = self.ctl(c) {
                    ctl.watches = None;
                }
                if self.settings.subscribe {
                    self.tell(c, Input::ListUnavailable);
                } else {
                    self.ask_registry_in(c, self.day.registry.every.0 .0);
                }
            }
            Msg::AskRegistry => self.ask_registry(c),
            Msg::Due => {
                let now = self.micros();
                let Some(ctl) = self.ctl(c) else { return };
                ctl.wake = None;
                let mut out = Vec::new();
                ctl.mind.due(now, &mut out);
                self.follow(c, out);
            }
        }
    }

    pub(super) fn tell(&mut self, c: usize, input: Input) {
        let now = self.micros();
        let Some(ctl) = self.ctl(c) else { return };
        let mut out = Vec::new();
        ctl.mind.tell(now, input, &mut out);
        self.follow(c, out);
    }

    /// Does what the mind says, and asks to be woken for its next timer.
    fn follow(&mut self, c: usize, out: Vec<Instruction>) {
        for instruction in out {
            self.do_as_told(c, instruction);
        }
        self.set_wake(c);
    }

    fn set_wake(&mut self, c: usize) {
        let now = self.now;
        let life = self.lives[c];
        let Some(ctl) = self.controllers[c].as_mut() else { return };
        let next = ctl.mind.next_due().map(|at| at.0.max(now + 1));
        if ctl.wake.as_ref().map(|(at, _)| *at) == next {
            return;
        }
        if let Some((_, old)) = ctl.wake.take() {
            self.events.cancel(old);
        }
        ctl.wake = next.map(|at| (at, self.events.set(at, Event::At(c, life, Msg::Due))));
    }

    fn do_as_told(&mut self, c: usize, instruction: Instruction) {
        match instruction {
            Instruction::Start { attempt, engine, terms } => {
                if let Some(ctl) = self.ctl(c) {
                    ctl.terms.insert(attempt.query, terms);
                }
                self.launch(c, attempt, engine);
            }
            Instruction::SetTerms(attempt, terms) => {
                let Some(ctl) = self.ctl(c) else { return };
                ctl.terms.insert(attempt.query, terms);
                let Some(l) = ctl.flights.get(&attempt).copied() else { return };
                let Some(e) = ctl.links.get(&l).map(|l| l.engine) else { return };
                // By a second session, where one rests.
                if !ctl.pools[e].idle.is_empty() {
                    let peer = self.peer(c, l);
                    self.ask(e, peer, Ask::Priority(peer, terms.priority), HOP);
                }
            }
            Instruction::Withdraw(attempt) => self.withdraw(c, attempt),
            Instruction::Answer(query, answer) => self.final_answer(c, query, answer),
            Instruction::Probe(engine) => self.probe(c, engine),
            Instruction::Tell(words) => {
                self.messages += (self.day.controllers - 1) as u64;
                let at = self.now + HOP + self.jitter();
                self.events.set(at, Event::Told(c, words));
            }
            Instruction::Subscribe => self.ask_registry(c),
            Instruction::Log(_) => {}
        }
    }

    fn peer(&self, c: usize, link: LinkId) -> Peer {
        Peer { controller: c, life: self.lives[c], link }
    }

    /// Sends something to an engine's process, by the life that the session is with.
    fn ask(&mut self, e: usize, peer: Peer, ask: Ask, after: i64) {
        let life = self.controllers[peer.controller]
            .as_ref()
            .and_then(|c| c.links.get(&peer.link))
            .map_or(self.engines[e].life, |l| l.life);
        let at = self.now + after + self.jitter();
        self.events.set(at, Event::Asked(e, life, ask));
    }

    // --- clients ---

    fn take(&mut self, c: usize, t: usize) {
        let plan = self.plan;
        let tried = &self.tries[t];
        let a = &plan.arrivals[tried.arrival];
        let class = &self.settings.classes[a.class];
        let now = self.micros();
        // The hint counts from when it is read, in whole milliseconds.
        let patience = Micros(((tried.due - tried.sent) / 1000).max(1) * 1000);
        let gives_up = now + patience.min(class.deadline);
        let arrival = Arrival {
            class: a.class,
            tenant: a.tenant,
            key: a.key.filter(|_| class.in_order).map(|k| format!("k{k}")),
            due: gives_up - self.timing.answer_margin,
            work_hint: a.estimate.map(|x| (x * 1e4).round() / 1e4).filter(|x| *x > 0.0),
            memory_hint: Some(a.memory_mb.round()).filter(|mb| *mb > 0.0),
            tables: a.tables,
        };
        let Some(ctl) = self.ctl(c) else { return };
        let mut out = Vec::new();
        match ctl.mind.arrive(now, arrival, &mut out) {
            Ok(query) => {
                ctl.queries.insert(query, t);
                ctl.tries.insert(t, query);
                self.follow(c, out);
            }
            Err(_) => self.tell_client(t, End::Refused, "53300", Some(1000)),
        }
    }

    /// A client cancels, or is gone.
    fn give_up(&mut self, c: usize, t: usize, cancelled: bool) {
        let Some(ctl) = self.ctl(c) else { return };
        let Some(query) = ctl.tries.remove(&t) else { return };
        ctl.queries.remove(&query);
        self.detach(c, query);
        self.tell(c, Input::Departed(query));
        if let Some(ctl) = self.ctl(c) {
            ctl.terms.remove(&query);
        }
        if cancelled {
            self.tell_client(t, End::Failed, "57014", None);
        }
    }

    fn final_answer(&mut self, c: usize, query: QueryId, answer: Answer) {
        let Some(ctl) = self.ctl(c) else { return };
        let Some(t) = ctl.queries.remove(&query) else { return };
        ctl.tries.remove(&t);
        ctl.terms.remove(&query);
        self.detach(c, query);
        match answer {
            Answer::Refused { retry_after } => {
                let ms = (retry_after.0 + 999) / 1000;
                self.tell_client(t, End::Refused, "53300", (ms > 0).then_some(ms as u64));
            }
            Answer::Failed { may_have_run } => {
                self.tell_client(t, End::Failed, if may_have_run { "08007" } else { "58000" }, None);
            }
            Answer::Broken => self.tell_client(t, End::Failed, "08007", None),
        }
    }

    // --- sessions with engines ---

    fn launch(&mut self, c: usize, attempt: AttemptId, engine: EngineId) {
        let most = self.limits.sessions;
        let Some(e) = self.by_id.get(&engine).copied() else {
            return self.attempt_over(c, attempt, Outcome::ConnectFailed);
        };
        let Some(ctl) = self.ctl(c) else { return };
        if let Some(l) = ctl.pools[e].idle.pop() {
            return self.dispatch(c, l, attempt);
        }
        if ctl.pools[e].links >= most {
            return self.attempt_over(c, attempt, Outcome::Full);
        }
        ctl.pools[e].waiting.push_back(attempt);
        self.open_link(c, e);
    }

    fn open_link(&mut self, c: usize, e: usize) {
        self.next_link += 1;
        let (l, life, clife) = (self.next_link, self.engines[e].life, self.lives[c]);
        let up = self.engines[e].model.up();
        let Some(ctl) = self.ctl(c) else { return };
        ctl.pools[e].links += 1;
        ctl.pools[e].connecting += 1;
        ctl.links.insert(l, Link { engine: e, life, state: State::Connecting, discarded: false });
        let peer = self.peer(c, l);
        if up {
            // Connect, then be let in.
            self.ask(e, peer, Ask::Hello(peer), 3 * HOP);
            let at = self.now + self.timing.connect.0;
            self.events.set(at, Event::At(c, clife, Msg::ConnectLate(l)));
        } else {
            let at = self.now + 2 * HOP + self.jitter();
            self.events.set(at, Event::At(c, clife, Msg::Lost(l, Outcome::ConnectFailed)));
        }
    }

    fn attempt_over(&mut self, c: usize, attempt: AttemptId, outcome: Outcome) {
        if let Some(ctl) = self.ctl(c) {
            ctl.flights.remove(&attempt);
        }
        self.tell(c, Input::Ended { attempt, outcome, billed_work: None, report: Report::default() });
    }

    fn dispatch(&mut self, c: usize, l: LinkId, attempt: AttemptId) {
        let Some(ctl) = self.ctl(c) else { return };
        let t = ctl.queries.get(&attempt.query).copied().filter(|_| ctl.mind.may_write(attempt));
        let Some(t) = t else { return self.idle(c, l) };
        let Some(link) = ctl.links.get_mut(&l) else { return };
        (link.state, link.discarded) = (State::Runs(attempt), false);
        let e = link.engine;
        ctl.flights.insert(attempt, l);
        let terms = ctl.terms.get(&attempt.query).copied().unwrap_or_default();
        let heeded = self.settings.priorities || self.settings.grants;
        let terms = if heeded { terms } else { Terms::default() };
        self.tell(c, Input::Dispatched(attempt));
        let peer = self.peer(c, l);
        self.ask(e, peer, Ask::Run(peer, attempt, t, terms), HOP);
    }

    /// A session takes the next attempt that waits for one, or rests.
    fn idle(&mut self, c: usize, l: LinkId) {
        let Some(ctl) = self.ctl(c) else { return };
        let Some(link) = ctl.links.get_mut(&l) else { return };
        (link.state, link.discarded) = (State::Idle, false);
        let e = link.engine;
        if std::mem::take(&mut ctl.pools[e].probing) {
            return self.put_probe(c, l);
        }
        while let Some(attempt) = ctl.pools[e].waiting.pop_front() {
            if ctl.mind.may_write(attempt) {
                return self.dispatch(c, l, attempt);
            }
        }
        ctl.pools[e].idle.push(l);
    }

    fn unit_over(
        &mut self,
        c: usize,
        l: LinkId,
        attempt: AttemptId,
        outcome: Outcome,
        billed_work: Option<f64>,
        report: Report,
    ) {
        let Some(ctl) = self.ctl(c) else { return };
        let Some(link) = ctl.links.get(&l).filter(|l| l.state == State::Runs(attempt)) else { return };
        let accepted = outcome == Outcome::Served && !link.discarded && ctl.mind.may_answer(attempt);
        ctl.flights.remove(&attempt);
        if accepted {
            self.tell(c, Input::Began(attempt));
        }
        self.tell(c, Input::Ended { attempt, outcome, billed_work, report });
        if accepted {
            if let Some(ctl) = self.ctl(c) {
                ctl.terms.remove(&attempt.query);
                if let Some(t) = ctl.queries.remove(&attempt.query) {
                    ctl.tries.remove(&t);
                    self.tell_client(t, End::Served, "", None);
                }
            }
        }
        self.idle(c, l);
    }

    /// A session broke, or never came about.
    fn lost(&mut self, c: usize, l: LinkId, outcome: Outcome) {
        let Some(ctl) = self.ctl(c) else { return };
        let Some(link) = ctl.links.remove(&l) else { return };
        let pool = &mut ctl.pools[link.engine];
        pool.links -= 1;
        pool.idle.retain(|i| *i != l);
        match link.state {
            State::Connecting => {
                pool.connecting -= 1;
                if std::mem::take(&mut pool.probing) {
                    self.probed(c, link.engine, outcome, Report::default());
                }
                let Some(ctl) = self.ctl(c) else { return };
                let pool = &mut ctl.pools[link.engine];
                if pool.waiting.len() > pool.connecting {
                    if let Some(attempt) = pool.waiting.pop_front() {
                        self.attempt_over(c, attempt, outcome);
                    }
                }
            }
            State::Runs(attempt) => self.attempt_over(c, attempt, outcome),
            State::Probes => self.probed(c, link.engine, outcome, Report::default()),
            State::Idle => {}
        }
    }

    /// Tells an engine that a session is closed.
    fn close(&mut self, c: usize, l: LinkId) {
        let Some(e) = self.ctl(c).and_then(|ctl| ctl.links.get(&l)).map(|l| l.engine) else { return };
        let peer = self.peer(c, l);
        self.ask(e, peer, Ask::Close(peer), HOP);
    }

    /// The process of an engine died: all sessions with it break.
    pub(super) fn sessions_broke(&mut self, c: usize, e: usize, life: u64) {
        let Some(ctl) = self.ctl(c) else { return };
        let broken: Vec<(LinkId, State)> = ctl
            .links
            .iter()
            .filter(|(_, l)| l.engine == e && l.life < life)
            .map(|(id, l)| (*id, l.state))
            .collect();
        for (l, state) in broken {
            let outcome = if state == State::Connecting { Outcome::ConnectFailed } else { Outcome::Reset };
            self.lost(c, l, outcome);
        }
    }

    fn withdraw(&mut self, c: usize, attempt: AttemptId) {
        let cancels = self.settings.cancel;
        let Some(ctl) = self.ctl(c) else { return };
        let Some(l) = ctl.flights.get(&attempt).copied() else {
            ctl.pools.iter_mut().for_each(|p| p.waiting.retain(|a| *a != attempt));
            return;
        };
        if !ctl.mind.may_answer(attempt) {
            self.discard(c, l);
        }
        let Some(e) = self.ctl(c).and_then(|ctl| ctl.links.get(&l)).map(|l| l.engine) else { return };
        if cancels {
            // A request to cancel is a connection of its own.
            let peer = self.peer(c, l);
            self.ask(e, peer, Ask::Cancel(peer), 3 * HOP);
        }
    }

    /// A query has its answer: what still comes for it goes to nobody.
    fn detach(&mut self, c: usize, query: QueryId) {
        let of = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        let Some(ctl) = self.ctl(c) else { return };
        let carrying: Vec<LinkId> = ctl.flights.range(of).map(|(_, l)| *l).collect();
        carrying.into_iter().for_each(|l| self.discard(c, l));
    }

    fn discard(&mut self, c: usize, l: LinkId) {
        let patience = ABANDON[usize::from(!self.settings.cancel)];
        let life = self.lives[c];
        let Some(link) = self.ctl(c).and_then(|ctl| ctl.links.get_mut(&l)) else { return };
        let State::Runs(attempt) = link.state else { return };
        if !std::mem::replace(&mut link.discarded, true) {
            let at = self.now + patience;
            self.events.set(at, Event::At(c, life, Msg::Abandon(l, attempt)));
        }
    }

    // --- beside queries ---

    fn probe(&mut self, c: usize, engine: EngineId) {
        let most = self.limits.sessions;
        let Some(e) = self.by_id.get(&engine).copied() else { return };
        let Some(ctl) = self.ctl(c) else { return };
        if let Some(l) = ctl.pools[e].idle.pop() {
            return self.put_probe(c, l);
        }
        if ctl.pools[e].probing || ctl.pools[e].links >= most {
            return self.probed(c, e, Outcome::Skipped, Report::default());
        }
        ctl.pools[e].probing = true;
        self.open_link(c, e);
    }

    fn put_probe(&mut self, c: usize, l: LinkId) {
        let life = self.lives[c];
        let Some(link) = self.ctl(c).and_then(|ctl| ctl.links.get_mut(&l)) else { return };
        link.state = State::Probes;
        let e = link.engine;
        let peer = self.peer(c, l);
        self.ask(e, peer, Ask::Load(peer), HOP);
        let at = self.now + self.timing.probe.0;
        self.events.set(at, Event::At(c, life, Msg::ProbeLate(l)));
    }

    fn probed(&mut self, c: usize, e: usize, outcome: Outcome, report: Report) {
        let engine = wheelfield_config::engine_id(&self.engines[e].name);
        self.tell(c, Input::Probed { engine, outcome, report });
    }

    fn engines_changed(&mut self, c: usize, change: Change) {
        let gone: Vec<usize> = change
            .entries
            .iter()
            .filter(|e| e.status != wheelfield::interface::Status::Up)
            .filter_map(|e| self.by_id.get(&e.engine).copied())
            .collect();
        self.tell(c, Input::Engines { whole: change.whole, entries: change.entries });
        // Idle sessions with an engine that takes no work are closed.
        for e in gone {
            let Some(ctl) = self.ctl(c) else { return };
            for l in std::mem::take(&mut ctl.pools[e].idle) {
                self.close(c, l);
                self.lost(c, l, Outcome::Reset);
            }
        }
    }
}
