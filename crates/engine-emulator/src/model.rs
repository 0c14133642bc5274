//! An engine's inside, in virtual work: what runs shares cores, disks and memory. No I/O and no clock.
//!
//! Time is told in microseconds; between two events the rates of all that runs are constant, so the model is exact
//! for what it models. It burns no processor: a day of 41 engines is some arithmetic.
//!
//! - **Cores and disks** are shared by weights of priority (1 : 4 : 8 : 16), each query wanting its threads of them.
//! - **Beyond the knee** of threads a core the whole does less: `1 / (1 + thrash * excess)`.
//! - **Memory** is granted at the start. What gets less than it needs spills, and does more work. Where grants pass the
//!   memory there is, a query waits in line, gets what is left, or is let in and all slow down.
//! - **Tables** read lately are warm, and save a part of the reading.
//! - **A load** holds its tables; other loads on them, and queries that wait for loads, stand still meanwhile.
//! - **A cold engine** does a part of its work, rising with time; sent much more than that, it falls over.

use std::collections::{BTreeMap, VecDeque};

/// What an engine is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Work a core does in a second, in thread-seconds.
    pub speed: f64,
    /// Reads that go on at full speed at once.
    pub disks: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Share of it that one query gets at most.
    pub most_grant: f64,
    /// Queries in hand at most; one more is turned away.
    pub sessions: usize,
    /// Threads a core from which the whole does less.
    pub knee: f64,
    /// How much less, for each thread a core beyond.
    pub thrash: f64,
    /// Work added for want of all its memory, as a multiple of a query's own.
    pub spill: f64,
    /// What happens when memory is short.
    pub short: Short,
    /// Where it pages: slowdown for each multiple of the memory used beyond it.
    pub page: f64,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Memory grants asked for are heeded.
    pub grants: bool,
    /// Groups of tables kept warm.
    pub warm_groups: usize,
    /// Part of the reading that a warm group saves.
    pub warm_gain: f64,
    /// A started engine does this share of its work,
    pub cold_from: f64,
    /// and all of it after so many microseconds.
    pub cold_for: i64,
    /// Sent this multiple of what it can do,
    pub fall_multiple: f64,
    /// for so many microseconds, it falls over; zero for never.
    pub fall_span: i64,
    /// Its load is looked at so often, in microseconds,
    pub report_every: i64,
    /// and told so much later.
    pub report_delay: i64,
    /// Word on what runs comes so often; zero for never.
    pub note_every: i64,
}

/// What happens when memory is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// A query waits in line, by priority and then in turn.
    Wait,
    /// It gets what is left.
    Shrink,
    /// It is let in, and all slow down.
    Page,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            cores: 8.0,
            speed: 1.0,
            disks: 8.0,
            memory_mb: 16_384.0,
            most_grant: 0.4,
            sessions: 64,
            knee: 2.0,
            thrash: 0.3,
            spill: 2.0,
            short: Short::Wait,
            page: 6.0,
            priorities: true,
            grants: true,
            warm_groups: 4,
            warm_gain: 0.5,
            cold_from: 0.35,
            cold_for: 10_000_000,
            fall_multiple: 3.0,
            fall_span: 1_500_000,
            report_every: 200_000,
            report_delay: 100_000,
            note_every: 1_000_000,
        }
    }
}

/// A query for the model.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number, given by the host.
    pub id: u64,
    /// Work of all its threads, in seconds of one.
    pub work: f64,
    /// What it weighs on a cold engine: the usual work of its kind, in seconds of one thread.
    pub usual: f64,
    /// Threads it runs on.
    pub threads: f64,
    /// Part of its work that is reading or writing.
    pub io: f64,
    /// Memory it needs, in MB.
    pub memory_mb: f64,
    /// Memory it is to get; none leaves it to the engine.
    pub grant_mb: Option<f64>,
    /// 0 to 3.
    pub priority: u8,
    /// Its group of tables.
    pub tables: u64,
    /// It holds its tables.
    pub load: bool,
    /// It waits for loads on its tables.
    pub waits: bool,
}

impl Default for Job {
    fn default() -> Self {
        Job {
            id: 0,
            work: 0.0,
            usual: 0.0,
            threads: 1.0,
            io: 0.0,
            memory_mb: 0.0,
            grant_mb: None,
            priority: 1,
            tables: 0,
            load: false,
            waits: false,
        }
    }
}

/// What happened inside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happened {
    /// A query began to run.
    Started(u64),
    /// A query is done; its work in thread-seconds, spill and all.
    Finished {
        /// Which.
        id: u64,
        /// Work done for it.
        work: f64,
    },
    /// Word on a query: the share of it done.
    Progress(u64, f64),
    /// It spills, for want of so many MB.
    Spills(u64, f64),
    /// It waits for memory.
    WaitsForMemory(u64),
    /// It stands still behind a load.
    WaitsForLoad(u64),
    /// It was cold, was sent too much, and is down.
    FellOver,
}

/// The load as the engine tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its cores busy.
    pub util: f64,
    /// Queries in hand.
    pub in_flight: f64,
    /// Queries waiting for memory.
    pub queue: f64,
    /// Share of its memory granted.
    pub memory: f64,
    /// Share of its disks busy.
    pub disks: f64,
}

/// No more sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Debug)]
struct Running {
    job: Job,
    /// Work in all, spill and warm tables reckoned in.
    total: f64,
    left: f64,
    grant: f64,
    rate: f64,
    next_note: i64,
}

/// The inside of one engine.
#[derive(Debug)]
pub struct Model {
    spec: Spec,
    now: i64,
    started: Option<i64>,
    running: BTreeMap<u64, Running>,
    line: Vec<(Job, i64)>,
    warm: VecDeque<u64>,
    received: VecDeque<(i64, f64)>,
    slow: f64,
    frozen: bool,
    down: bool,
    util: f64,
    disks: f64,
    next_report: i64,
    reports: VecDeque<(i64, Load)>,
    told: Load,
    fell: bool,
}

/// Shares what there is by weight, each taker up to what it wants.
fn share(capacity: f64, wants: &[(f64, f64)]) -> Vec<f64> {
    let mut got = vec![0.0; wants.len()];
    let mut open: Vec<usize> = (0..wants.len()).filter(|i| wants[*i].0 > 0.0).collect();
    let mut left = capacity;
    while !open.is_empty() && left > 1e-12 {
        let weights: f64 = open.iter().map(|i| wants[*i].1).sum();
        let unit = left / weights;
        let sated: Vec<usize> =
            open.iter().copied().filter(|i| wants[*i].0 - got[*i] <= unit * wants[*i].1).collect();
        if sated.is_empty() {
            for i in open {
                got[i] += unit * wants[i].1;
            }
            break;
        }
        for i in &sated {
            left -= wants[*i].0 - got[*i];
            got[*i] = wants[*i].0;
        }
        open.retain(|i| !sated.contains(i));
    }
    got
}

impl Model {
    /// An engine that has long been up.
    pub fn new(spec: Spec, now: i64) -> Model {
        Model {
            spec,
            now,
            started: None,
            running: BTreeMap::new(),
            line: Vec::new(),
            warm: VecDeque::new(),
            received: VecDeque::new(),
            slow: 1.0,
            frozen: false,
            down: false,
            util: 0.0,
            disks: 0.0,
            next_report: now,
            reports: VecDeque::new(),
            told: Load::default(),
            fell: false,
        }
    }

    /// What it is like.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The share of its work that it can do now.
    pub fn warmth(&self, now: i64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / (self.spec.cold_for as f64).max(1.0);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age.max(0.0)).min(1.0)
    }

    /// It ends all at once; what it had is lost.
    pub fn kill(&mut self, now: i64) {
        self.now = now;
        self.running.clear();
        self.line.clear();
        self.warm.clear();
        self.received.clear();
        self.reports.clear();
        self.told = Load::default();
        (self.util, self.disks, self.down) = (0.0, 0.0, true);
    }

    /// It starts, cold and empty.
    pub fn start(&mut self, now: i64) {
        self.kill(now);
        (self.started, self.next_report) = (Some(now), now);
        (self.slow, self.frozen, self.down, self.fell) = (1.0, false, false, false);
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        !self.down
    }

    /// It does everything so many times slower.
    pub fn slow(&mut self, now: i64, times: f64) {
        self.integrate(now);
        self.slow = times.max(1e-3);
        self.rates();
    }

    /// It stands still, or goes on.
    pub fn freeze(&mut self, now: i64, frozen: bool) {
        self.integrate(now);
        self.frozen = frozen;
        self.rates();
    }

    /// Forgets the warm tables.
    pub fn flush(&mut self) {
        self.warm.clear();
    }

    /// Queries in hand.
    pub fn in_hand(&self) -> usize {
        self.running.len() + self.line.len()
    }

    /// The load as it is told at this time: as it was some time ago.
    pub fn load(&self) -> Load {
        self.told
    }

    fn granted(&self) -> f64 {
        self.running.values().map(|r| r.grant).sum()
    }

    /// Takes a query.
    ///
    /// # Errors
    /// [`Full`] when all sessions are taken.
    pub fn submit(&mut self, now: i64, job: Job, out: &mut Vec<Happened>) -> Result<(), Full> {
        self.advance(now, out);
        if self.down || self.in_hand() >= self.spec.sessions {
            return Err(Full);
        }
        self.received.push_back((now, job.usual));
        self.weigh_down(now, out);
        if self.fell {
            return Err(Full);
        }
        self.line.push((job, now));
        self.let_in(out);
        Ok(())
    }

    /// A cold engine that is sent too much falls over.
    fn weigh_down(&mut self, now: i64, out: &mut Vec<Happened>) {
        let span = self.spec.fall_span;
        while self.received.front().is_some_and(|(at, _)| *at < now - span) {
            self.received.pop_front();
        }
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.spec.fall_multiple <= 0.0 || span <= 0 {
            return;
        }
        let sent: f64 = self.received.iter().map(|(_, work)| work).sum();
        // One query alone is no flood, however large.
        let able = self.spec.cores * self.spec.speed * warmth * span as f64 / 1e6;
        if self.received.len() > 1 && sent > self.spec.fall_multiple * able {
            self.kill(now);
            self.fell = true;
            out.push(Happened::FellOver);
        }
    }

    /// Lets in from the line what there is room for.
    fn let_in(&mut self, out: &mut Vec<Happened>) {
        let spec = &self.spec;
        // By priority, then in turn; the sort keeps the turn.
        if spec.priorities {
            self.line.sort_by_key(|(job, _)| std::cmp::Reverse(job.priority));
        }
        let mut granted = self.granted();
        while let Some((job, _)) = self.line.first() {
            let most = spec.most_grant * spec.memory_mb;
            let asked = job.grant_mb.filter(|_| spec.grants).unwrap_or(1.25 * job.memory_mb).min(most);
            let free = spec.memory_mb - granted;
            let grant = match spec.short {
                Short::Wait if asked > free && !self.running.is_empty() => break,
                Short::Shrink => asked.min(free.max(0.0)),
                _ => asked,
            };
            let (job, _) = self.line.remove(0);
            let warm = self.warm.contains(&job.tables);
            self.warm.retain(|t| *t != job.tables);
            self.warm.push_front(job.tables);
            self.warm.truncate(spec.warm_groups);
            let missing = if job.memory_mb > 0.0 { (1.0 - grant / job.memory_mb).max(0.0) } else { 0.0 };
            let reading = if warm { 1.0 - spec.warm_gain * job.io } else { 1.0 };
            let total = job.work.max(0.0) * reading * (1.0 + spec.spill * missing);
            granted += grant;
            out.push(Happened::Started(job.id));
            let next_note = if spec.note_every > 0 { self.now + spec.note_every } else { i64::MAX };
            self.running.insert(job.id, Running { job, total, left: total, grant, rate: 0.0, next_note });
        }
        self.rates();
    }

    /// Whether a query stands still behind a load that came before it.
    fn held(&self, r: &Running) -> bool {
        let job = &r.job;
        (job.load || job.waits)
            && self.running.values().any(|o| o.job.load && o.job.id < job.id && o.job.tables == job.tables)
    }

    fn rates(&mut self) {
        let spec = &self.spec;
        let weight = |r: &Running| {
            if spec.priorities {
                [1.0, 4.0, 8.0, 16.0][usize::from(r.job.priority.min(3))]
            } else {
                1.0
            }
        };
        let moving: Vec<u64> = self.running.values().filter(|r| !self.held(r)).map(|r| r.job.id).collect();
        let all: Vec<&Running> = moving.iter().filter_map(|id| self.running.get(id)).collect();
        let threads: f64 = all.iter().map(|r| r.job.threads).sum();
        let excess = (threads / spec.cores - spec.knee).max(0.0);
        let whole = self.warmth(self.now) / (1.0 + spec.thrash * excess);
        let cpu: Vec<(f64, f64)> =
            all.iter().map(|r| (r.job.threads * (1.0 - r.job.io), weight(r))).collect();
        let io: Vec<(f64, f64)> = all.iter().map(|r| (r.job.threads * r.job.io, weight(r))).collect();
        let (cpu_got, io_got) = (share(spec.cores * whole, &cpu), share(spec.disks * whole, &io));
        let used: f64 = self.running.values().map(|r| r.grant.min(r.job.memory_mb)).sum();
        let over = (used / spec.memory_mb.max(1.0) - 1.0).max(0.0);
        let paging = if spec.short == Short::Page { 1.0 + spec.page * over } else { 1.0 };
        let pace = if self.frozen || self.down { 0.0 } else { spec.speed / self.slow / paging };
        let part = |got: f64, want: f64| if want > 0.0 { got / want } else { 1.0 };
        let rates: Vec<f64> = (0..all.len())
            .map(|i| pace * all[i].job.threads * part(cpu_got[i], cpu[i].0).min(part(io_got[i], io[i].0)))
            .collect();
        let busy: f64 =
            (0..all.len()).map(|i| cpu[i].0 * part(cpu_got[i], cpu[i].0).min(part(io_got[i], io[i].0))).sum();
        let reads: f64 =
            (0..all.len()).map(|i| io[i].0 * part(cpu_got[i], cpu[i].0).min(part(io_got[i], io[i].0))).sum();
        (self.util, self.disks) = (busy / spec.cores, reads / spec.disks.max(1e-6));
        self.running.values_mut().for_each(|r| r.rate = 0.0);
        for (id, rate) in moving.into_iter().zip(rates) {
            if let Some(r) = self.running.get_mut(&id) {
                r.rate = rate;
            }
        }
    }

    fn integrate(&mut self, now: i64) {
        let passed = (now - self.now).max(0) as f64 / 1e6;
        for r in self.running.values_mut() {
            r.left -= r.rate * passed;
        }
        self.now = self.now.max(now);
    }

    /// When something happens next, if nothing comes before.
    pub fn next_event(&self) -> Option<i64> {
        if self.down {
            return None;
        }
        let done = |r: &Running| {
            if r.left <= 1e-9 {
                return Some(self.now);
            }
            (r.rate > 0.0).then(|| self.now + ((r.left / r.rate) * 1e6).ceil().min(1e15) as i64)
        };
        let ends = self.running.values().filter_map(done).min();
        let notes =
            self.running.values().map(|r| r.next_note).filter(|at| *at < i64::MAX && !self.frozen).min();
        // While it is cold its pace rises, and is reckoned anew at every report.
        let report = (self.in_hand() > 0 || !self.reports.is_empty()).then_some(self.next_report);
        [ends, notes, report].into_iter().flatten().min()
    }

    /// Lets the time pass; what happened is appended in its order.
    pub fn advance(&mut self, now: i64, out: &mut Vec<Happened>) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.integrate(at);
            self.happen(at, out);
        }
        self.integrate(now);
        while let Some((_, load)) = self.reports.front().copied().filter(|(at, _)| *at <= now) {
            self.told = load;
            self.reports.pop_front();
        }
    }

    fn happen(&mut self, at: i64, out: &mut Vec<Happened>) {
        let done: Vec<u64> =
            self.running.values().filter(|r| r.left <= 1e-9 && !self.frozen).map(|r| r.job.id).collect();
        for id in &done {
            if let Some(r) = self.running.remove(id) {
                out.push(Happened::Finished { id: *id, work: r.total });
            }
        }
        if self.spec.note_every > 0 && !self.frozen {
            let noted: Vec<u64> =
                self.running.values().filter(|r| r.next_note <= at).map(|r| r.job.id).collect();
            for id in noted {
                let held = self.running.get(&id).is_some_and(|r| self.held(r));
                let Some(r) = self.running.get_mut(&id) else { continue };
                r.next_note = at + self.spec.note_every;
                let missing = r.job.memory_mb - r.grant;
                out.push(if held {
                    Happened::WaitsForLoad(id)
                } else {
                    Happened::Progress(id, (1.0 - r.left / r.total.max(1e-9)).clamp(0.0, 1.0))
                });
                if missing > 0.0 && !held {
                    out.push(Happened::Spills(id, missing));
                }
            }
        }
        if at >= self.next_report {
            self.report(at, out);
        }
        if !done.is_empty() {
            self.let_in(out);
        } else {
            self.rates();
        }
    }

    fn report(&mut self, at: i64, out: &mut Vec<Happened>) {
        self.next_report = at + self.spec.report_every.max(1_000);
        let load = Load {
            util: self.util,
            in_flight: self.in_hand() as f64,
            queue: self.line.len() as f64,
            memory: self.granted() / self.spec.memory_mb.max(1.0),
            disks: self.disks,
        };
        self.reports.push_back((at + self.spec.report_delay, load));
        if self.spec.note_every > 0 {
            let every = self.spec.note_every;
            // Word on what waits in line comes on the same beat.
            for (job, since) in &self.line {
                if at - since >= every && (at - since) % every < self.spec.report_every {
                    out.push(Happened::WaitsForMemory(job.id));
                }
            }
        }
        // Nothing in hand: one last report of it, then silence until something comes.
        if self.in_hand() == 0 && self.reports.len() > 1 {
            self.told = load;
            self.reports.clear();
        }
    }

    /// Ends a query; false if it was not in hand.
    pub fn cancel(&mut self, now: i64, id: u64, out: &mut Vec<Happened>) -> bool {
        self.advance(now, out);
        let before = self.in_hand();
        self.running.remove(&id);
        self.line.retain(|(job, _)| job.id != id);
        let was = self.in_hand() < before;
        if was {
            self.let_in(out);
        }
        was
    }

    /// Changes a query's priority.
    pub fn set_priority(&mut self, now: i64, id: u64, priority: u8, out: &mut Vec<Happened>) {
        self.advance(now, out);
        if let Some(r) = self.running.get_mut(&id) {
            r.job.priority = priority;
        }
        for (job, _) in self.line.iter_mut().filter(|(job, _)| job.id == id) {
            job.priority = priority;
        }
        self.rates();
    }
}
