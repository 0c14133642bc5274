//! Execution model of one engine: running queries share cores, disks and memory in virtual time. No
//! I/O and no clock.
//!
//! Times are in microseconds. Between two events the progress rates of all running queries are
//! constant, so events are computed exactly. Executing emulated work uses no processor time: a day
//! of 41 engines costs only some arithmetic.
//!
//! - **Cores and disks** are shared by priority weight (1 : 4 : 8 : 16). The demand of each query is
//!   proportional to its threads.
//! - **Saturation**: above a threshold of threads per core, total throughput is divided by `1 +
//!   thrashing_penalty * excess`.
//! - **Memory** is granted when a query starts. A query that gets less than it needs spills, which
//!   increases its work. When the grants would exceed the memory, a query waits, gets a smaller
//!   grant, or is admitted while all queries slow down; see [`MemoryShortage`].
//! - **Warm tables**: a query on a recently used table group needs less reading.
//! - **Loads** lock their tables. Later loads of the same tables, and queries that wait for loads,
//!   make no progress until the load ends.
//! - **Cold start**: a started engine has reduced throughput that rises over time. It crashes when
//!   it is sent much more work than it can process.

use std::collections::{BTreeMap, VecDeque};

/// Properties of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of cores.
    pub cores: f64,
    /// Work that one core completes per second, in thread-seconds.
    pub speed: f64,
    /// Number of threads that can read or write at full speed at the same time.
    pub disks: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Maximum fraction of the memory that is granted to one query.
    pub max_grant_fraction: f64,
    /// Maximum number of queries that are running or queued; further queries are rejected.
    pub max_sessions: usize,
    /// Threads per core above which total throughput decreases.
    pub knee_threads_per_core: f64,
    /// Decrease in throughput per thread per core above the threshold.
    pub thrashing_penalty: f64,
    /// Additional work of a query that has no memory at all, as a multiple of its own work. The
    /// addition is proportional to the fraction of memory that is missing.
    pub spill_work_factor: f64,
    /// Behavior when memory is short.
    pub memory_shortage: MemoryShortage,
    /// With [`MemoryShortage::Overcommit`]: slowdown per multiple of the memory that is used in
    /// excess of it.
    pub paging_slowdown: f64,
    /// Whether query priorities affect scheduling.
    pub honor_priorities: bool,
    /// Whether requested memory grants are honored.
    pub honor_grants: bool,
    /// Number of table groups that are kept warm.
    pub warm_table_groups: usize,
    /// Fraction of the reading that a warm table group saves.
    pub warm_read_saving: f64,
    /// Fraction of the full throughput that is available right after a start.
    pub cold_start_fraction: f64,
    /// Time from the start until full throughput, in microseconds. The throughput rises linearly.
    pub warmup_duration: i64,
    /// A cold engine crashes when the work submitted within `overload_window` exceeds this multiple
    /// of what the engine can complete in that time. Zero disables such crashes.
    pub overload_factor: f64,
    /// Window for `overload_factor`, in microseconds. Zero disables crashes by overload.
    pub overload_window: i64,
    /// Interval of load samples, in microseconds.
    pub report_interval: i64,
    /// Delay until a load sample is published, in microseconds.
    pub report_delay: i64,
    /// Interval of progress messages about running queries, in microseconds; zero disables them.
    pub progress_interval: i64,
}

/// Behavior when the requested memory exceeds the free memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits in a queue that is ordered by priority and then by arrival.
    Queue,
    /// The query gets the remaining memory.
    ShrinkGrant,
    /// The query is admitted with its full grant, and all queries slow down.
    Overcommit,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            cores: 8.0,
            speed: 1.0,
            disks: 8.0,
            memory_mb: 16_384.0,
            max_grant_fraction: 0.4,
            max_sessions: 64,
            knee_threads_per_core: 2.0,
            thrashing_penalty: 0.3,
            spill_work_factor: 2.0,
            memory_shortage: MemoryShortage::Queue,
            paging_slowdown: 6.0,
            honor_priorities: true,
            honor_grants: true,
            warm_table_groups: 4,
            warm_read_saving: 0.5,
            cold_start_fraction: 0.35,
            warmup_duration: 10_000_000,
            overload_factor: 3.0,
            overload_window: 1_500_000,
            report_interval: 200_000,
            report_delay: 100_000,
            progress_interval: 1_000_000,
        }
    }
}

/// A query as submitted to the model.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Job number, assigned by the host.
    pub id: u64,
    /// Total work of all threads, in thread-seconds.
    pub work: f64,
    /// Typical work of queries of this kind, in thread-seconds. It is counted when a cold engine is
    /// checked for overload.
    pub nominal_work: f64,
    /// Number of threads.
    pub threads: f64,
    /// Fraction of the work that is reading or writing.
    pub io: f64,
    /// Required memory in MB.
    pub memory_mb: f64,
    /// Requested memory grant in MB; `None` lets the engine choose.
    pub requested_grant_mb: Option<f64>,
    /// Priority from 0 to 3; a higher value is more important.
    pub priority: u8,
    /// Table group that the query uses.
    pub table_group: u64,
    /// Whether the query is a load, which locks its tables.
    pub is_load: bool,
    /// Whether the query waits for loads of its tables.
    pub waits_for_loads: bool,
}

impl Default for Job {
    fn default() -> Self {
        Job {
            id: 0,
            work: 0.0,
            nominal_work: 0.0,
            threads: 1.0,
            io: 0.0,
            memory_mb: 0.0,
            requested_grant_mb: None,
            priority: 1,
            table_group: 0,
            is_load: false,
            waits_for_loads: false,
        }
    }
}

/// Events reported by the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelEvent {
    /// A query started to run.
    Started(u64),
    /// A query finished.
    Finished {
        /// Job number.
        id: u64,
        /// Work done in thread-seconds, including spilling.
        work: f64,
    },
    /// Completed fraction of a query.
    Progress(u64, f64),
    /// A query spills because this many MB of its memory are missing.
    Spilling(u64, f64),
    /// A query waits for memory.
    WaitingForMemory(u64),
    /// A query is blocked by a load.
    WaitingForLoad(u64),
    /// The engine was overloaded while it was cold, and crashed.
    Overloaded,
}

/// Load report of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the cores that is busy.
    pub util: f64,
    /// Number of queries that are running or queued.
    pub in_flight: f64,
    /// Number of queries that wait for memory.
    pub queue: f64,
    /// Fraction of the memory that is granted.
    pub memory: f64,
    /// Fraction of the disks that is busy.
    pub disks: f64,
}

/// Why a query was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The session limit is reached.
    SessionLimitReached,
    /// The engine is down.
    Down,
}

impl SubmitError {
    /// The SQLSTATE and the message that a client gets.
    pub fn sqlstate_and_message(self) -> (&'static str, &'static str) {
        match self {
            SubmitError::SessionLimitReached => ("53300", "too many sessions"),
            SubmitError::Down => ("57P02", "the engine has crashed"),
        }
    }
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    /// Total work, including the effects of spilling and of warm tables.
    total_work: f64,
    remaining_work: f64,
    grant: f64,
    rate: f64,
    next_progress_at: i64,
}

/// State of the execution model of one engine.
#[derive(Debug)]
pub struct Model {
    spec: EngineSpec,
    now: i64,
    started: Option<i64>,
    running: BTreeMap<u64, RunningJob>,
    memory_queue: Vec<(Job, i64)>,
    warm_tables: VecDeque<u64>,
    recent_submissions: VecDeque<(i64, f64)>,
    slowdown: f64,
    frozen: bool,
    down: bool,
    cpu_utilization: f64,
    disk_utilization: f64,
    next_sample_at: i64,
    unpublished_reports: VecDeque<(i64, LoadReport)>,
    published_load: LoadReport,
    overloaded: bool,
}

/// Distributes `capacity` in proportion to the weights, without exceeding any demand. `demands`
/// holds pairs of demand and weight.
fn allocate_by_weight(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut allocated = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).filter(|i| demands[*i].0 > 0.0).collect();
    let mut remaining = capacity;
    while !unsatisfied.is_empty() && remaining > 1e-12 {
        let weights: f64 = unsatisfied.iter().map(|i| demands[*i].1).sum();
        let per_weight = remaining / weights;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|i| demands[*i].0 - allocated[*i] <= per_weight * demands[*i].1)
            .collect();
        if satisfied.is_empty() {
            for i in unsatisfied {
                allocated[i] += per_weight * demands[i].1;
            }
            break;
        }
        for i in &satisfied {
            remaining -= demands[*i].0 - allocated[*i];
            allocated[*i] = demands[*i].0;
        }
        unsatisfied.retain(|i| !satisfied.contains(i));
    }
    allocated
}

impl Model {
    /// Creates an engine that is warmed up.
    pub fn new(spec: EngineSpec, now: i64) -> Model {
        Model {
            spec,
            now,
            started: None,
            running: BTreeMap::new(),
            memory_queue: Vec::new(),
            warm_tables: VecDeque::new(),
            recent_submissions: VecDeque::new(),
            slowdown: 1.0,
            frozen: false,
            down: false,
            cpu_utilization: 0.0,
            disk_utilization: 0.0,
            next_sample_at: now,
            unpublished_reports: VecDeque::new(),
            published_load: LoadReport::default(),
            overloaded: false,
        }
    }

    /// Returns the properties of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns the fraction of the full throughput that is available at `now`.
    pub fn warmth(&self, now: i64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / (self.spec.warmup_duration as f64).max(1.0);
        (self.spec.cold_start_fraction + (1.0 - self.spec.cold_start_fraction) * age.max(0.0)).min(1.0)
    }

    /// Stops the engine at once; all queries are lost.
    pub fn kill(&mut self, now: i64) {
        self.now = now;
        self.running.clear();
        self.memory_queue.clear();
        self.warm_tables.clear();
        self.recent_submissions.clear();
        self.unpublished_reports.clear();
        self.published_load = LoadReport::default();
        (self.cpu_utilization, self.disk_utilization, self.down) = (0.0, 0.0, true);
    }

    /// Starts the engine with cold, empty state.
    pub fn start(&mut self, now: i64) {
        self.kill(now);
        (self.started, self.next_sample_at) = (Some(now), now);
        (self.slowdown, self.frozen, self.down, self.overloaded) = (1.0, false, false, false);
    }

    /// Returns whether the engine is running.
    pub fn is_up(&self) -> bool {
        !self.down
    }

    /// Divides the engine's speed by `factor`.
    pub fn set_slowdown(&mut self, now: i64, factor: f64) {
        self.advance_work(now);
        self.slowdown = factor.max(1e-3);
        self.update_rates();
    }

    /// Suspends or resumes all execution.
    pub fn set_frozen(&mut self, now: i64, frozen: bool) {
        self.advance_work(now);
        self.frozen = frozen;
        self.update_rates();
    }

    /// Removes all table groups from the set of warm ones.
    pub fn clear_warm_tables(&mut self) {
        self.warm_tables.clear();
    }

    /// Returns the number of queries that are running or queued.
    pub fn in_flight_count(&self) -> usize {
        self.running.len() + self.memory_queue.len()
    }

    /// Returns the latest published load report. Samples are published after `report_delay`.
    pub fn load(&self) -> LoadReport {
        self.published_load
    }

    fn granted(&self) -> f64 {
        self.running.values().map(|r| r.grant).sum()
    }

    /// Submits a query.
    ///
    /// # Errors
    /// [`SubmitError`] if the query is not accepted. One whose work crashes the engine finds it down.
    pub fn submit(&mut self, now: i64, job: Job, out: &mut Vec<ModelEvent>) -> Result<(), SubmitError> {
        self.advance(now, out);
        if self.down {
            return Err(SubmitError::Down);
        }
        if self.in_flight_count() >= self.spec.max_sessions {
            return Err(SubmitError::SessionLimitReached);
        }
        self.recent_submissions.push_back((now, job.nominal_work));
        self.check_cold_overload(now, out);
        if self.overloaded {
            return Err(SubmitError::Down);
        }
        self.memory_queue.push((job, now));
        self.admit_queued(out);
        Ok(())
    }

    /// Crashes a cold engine when the recently submitted work exceeds its overload limit.
    fn check_cold_overload(&mut self, now: i64, out: &mut Vec<ModelEvent>) {
        let window = self.spec.overload_window;
        while self.recent_submissions.front().is_some_and(|(at, _)| *at < now - window) {
            self.recent_submissions.pop_front();
        }
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.spec.overload_factor <= 0.0 || window <= 0 {
            return;
        }
        let submitted_work: f64 = self.recent_submissions.iter().map(|(_, work)| work).sum();
        // A single query never causes an overload, however large it is.
        let capacity = self.spec.cores * self.spec.speed * warmth * window as f64 / 1e6;
        if self.recent_submissions.len() > 1 && submitted_work > self.spec.overload_factor * capacity {
            self.kill(now);
            self.overloaded = true;
            out.push(ModelEvent::Overloaded);
        }
    }

    /// Starts queued queries while there is memory for them.
    fn admit_queued(&mut self, out: &mut Vec<ModelEvent>) {
        let spec = &self.spec;
        // The sort is stable, so queries of equal priority stay in order of arrival.
        if spec.honor_priorities {
            self.memory_queue.sort_by_key(|(job, _)| std::cmp::Reverse(job.priority));
        }
        let mut granted = self.granted();
        while let Some((job, _)) = self.memory_queue.first() {
            let max_grant = spec.max_grant_fraction * spec.memory_mb;
            let requested = job
                .requested_grant_mb
                .filter(|_| spec.honor_grants)
                .unwrap_or(1.25 * job.memory_mb)
                .min(max_grant);
            let free = spec.memory_mb - granted;
            let grant = match spec.memory_shortage {
                MemoryShortage::Queue if requested > free && !self.running.is_empty() => break,
                MemoryShortage::ShrinkGrant => requested.min(free.max(0.0)),
                _ => requested,
            };
            let (job, _) = self.memory_queue.remove(0);
            let warm = self.warm_tables.contains(&job.table_group);
            self.warm_tables.retain(|t| *t != job.table_group);
            self.warm_tables.push_front(job.table_group);
            self.warm_tables.truncate(spec.warm_table_groups);
            let missing_fraction =
                if job.memory_mb > 0.0 { (1.0 - grant / job.memory_mb).max(0.0) } else { 0.0 };
            let reading_factor = if warm { 1.0 - spec.warm_read_saving * job.io } else { 1.0 };
            let total_work =
                job.work.max(0.0) * reading_factor * (1.0 + spec.spill_work_factor * missing_fraction);
            granted += grant;
            out.push(ModelEvent::Started(job.id));
            let next_progress_at =
                if spec.progress_interval > 0 { self.now + spec.progress_interval } else { i64::MAX };
            self.running.insert(
                job.id,
                RunningJob {
                    job,
                    total_work,
                    remaining_work: total_work,
                    grant,
                    rate: 0.0,
                    next_progress_at,
                },
            );
        }
        self.update_rates();
    }

    /// Returns whether a query is blocked by an earlier load of the same tables.
    fn is_blocked_by_load(&self, r: &RunningJob) -> bool {
        let job = &r.job;
        (job.is_load || job.waits_for_loads)
            && self
                .running
                .values()
                .any(|o| o.job.is_load && o.job.id < job.id && o.job.table_group == job.table_group)
    }

    fn update_rates(&mut self) {
        let spec = &self.spec;
        let weight = |r: &RunningJob| {
            if spec.honor_priorities {
                [1.0, 4.0, 8.0, 16.0][usize::from(r.job.priority.min(3))]
            } else {
                1.0
            }
        };
        let runnable: Vec<u64> =
            self.running.values().filter(|r| !self.is_blocked_by_load(r)).map(|r| r.job.id).collect();
        let jobs: Vec<&RunningJob> = runnable.iter().filter_map(|id| self.running.get(id)).collect();
        let threads: f64 = jobs.iter().map(|r| r.job.threads).sum();
        let excess = (threads / spec.cores - spec.knee_threads_per_core).max(0.0);
        let efficiency = self.warmth(self.now) / (1.0 + spec.thrashing_penalty * excess);
        let cpu_demand: Vec<(f64, f64)> =
            jobs.iter().map(|r| (r.job.threads * (1.0 - r.job.io), weight(r))).collect();
        let io_demand: Vec<(f64, f64)> = jobs.iter().map(|r| (r.job.threads * r.job.io, weight(r))).collect();
        let (cpu_alloc, io_alloc) = (
            allocate_by_weight(spec.cores * efficiency, &cpu_demand),
            allocate_by_weight(spec.disks * efficiency, &io_demand),
        );
        let used: f64 = self.running.values().map(|r| r.grant.min(r.job.memory_mb)).sum();
        let overcommit = (used / spec.memory_mb.max(1.0) - 1.0).max(0.0);
        let paging = if spec.memory_shortage == MemoryShortage::Overcommit {
            1.0 + spec.paging_slowdown * overcommit
        } else {
            1.0
        };
        let base_rate = if self.frozen || self.down { 0.0 } else { spec.speed / self.slowdown / paging };
        let ratio = |allocated: f64, demand: f64| if demand > 0.0 { allocated / demand } else { 1.0 };
        let rates: Vec<f64> = (0..jobs.len())
            .map(|i| {
                base_rate
                    * jobs[i].job.threads
                    * ratio(cpu_alloc[i], cpu_demand[i].0).min(ratio(io_alloc[i], io_demand[i].0))
            })
            .collect();
        let busy_cores: f64 = (0..jobs.len())
            .map(|i| {
                cpu_demand[i].0 * ratio(cpu_alloc[i], cpu_demand[i].0).min(ratio(io_alloc[i], io_demand[i].0))
            })
            .sum();
        let busy_disks: f64 = (0..jobs.len())
            .map(|i| {
                io_demand[i].0 * ratio(cpu_alloc[i], cpu_demand[i].0).min(ratio(io_alloc[i], io_demand[i].0))
            })
            .sum();
        (self.cpu_utilization, self.disk_utilization) =
            (busy_cores / spec.cores, busy_disks / spec.disks.max(1e-6));
        self.running.values_mut().for_each(|r| r.rate = 0.0);
        for (id, rate) in runnable.into_iter().zip(rates) {
            if let Some(r) = self.running.get_mut(&id) {
                r.rate = rate;
            }
        }
    }

    fn advance_work(&mut self, now: i64) {
        let elapsed_seconds = (now - self.now).max(0) as f64 / 1e6;
        for r in self.running.values_mut() {
            r.remaining_work -= r.rate * elapsed_seconds;
        }
        self.now = self.now.max(now);
    }

    /// Returns the time of the next event if no further calls are made.
    pub fn next_event(&self) -> Option<i64> {
        if self.down {
            return None;
        }
        let completion_time = |r: &RunningJob| {
            if r.remaining_work <= 1e-9 {
                return Some(self.now);
            }
            (r.rate > 0.0).then(|| self.now + ((r.remaining_work / r.rate) * 1e6).ceil().min(1e15) as i64)
        };
        let completions = self.running.values().filter_map(completion_time).min();
        let progress_due = self
            .running
            .values()
            .map(|r| r.next_progress_at)
            .filter(|at| *at < i64::MAX && !self.frozen)
            .min();
        // While the engine is cold its speed rises. The rates are recomputed at every load sample,
        // so samples are also scheduled while queries are in flight.
        let next_sample = (self.in_flight_count() > 0 || !self.unpublished_reports.is_empty())
            .then_some(self.next_sample_at);
        [completions, progress_due, next_sample].into_iter().flatten().min()
    }

    /// Advances to `now` and appends the events in chronological order.
    pub fn advance(&mut self, now: i64, out: &mut Vec<ModelEvent>) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.advance_work(at);
            self.process_due(at, out);
        }
        self.advance_work(now);
        while let Some((_, load)) = self.unpublished_reports.front().copied().filter(|(at, _)| *at <= now) {
            self.published_load = load;
            self.unpublished_reports.pop_front();
        }
    }

    fn process_due(&mut self, at: i64, out: &mut Vec<ModelEvent>) {
        let finished: Vec<u64> = self
            .running
            .values()
            .filter(|r| r.remaining_work <= 1e-9 && !self.frozen)
            .map(|r| r.job.id)
            .collect();
        for id in &finished {
            if let Some(r) = self.running.remove(id) {
                out.push(ModelEvent::Finished { id: *id, work: r.total_work });
            }
        }
        if self.spec.progress_interval > 0 && !self.frozen {
            let reporting: Vec<u64> =
                self.running.values().filter(|r| r.next_progress_at <= at).map(|r| r.job.id).collect();
            for id in reporting {
                let blocked = self.running.get(&id).is_some_and(|r| self.is_blocked_by_load(r));
                let Some(r) = self.running.get_mut(&id) else { continue };
                r.next_progress_at = at + self.spec.progress_interval;
                let missing_mb = r.job.memory_mb - r.grant;
                out.push(if blocked {
                    ModelEvent::WaitingForLoad(id)
                } else {
                    ModelEvent::Progress(
                        id,
                        (1.0 - r.remaining_work / r.total_work.max(1e-9)).clamp(0.0, 1.0),
                    )
                });
                if missing_mb > 0.0 && !blocked {
                    out.push(ModelEvent::Spilling(id, missing_mb));
                }
            }
        }
        if at >= self.next_sample_at {
            self.sample_load(at, out);
        }
        if !finished.is_empty() {
            self.admit_queued(out);
        } else {
            self.update_rates();
        }
    }

    fn sample_load(&mut self, at: i64, out: &mut Vec<ModelEvent>) {
        self.next_sample_at = at + self.spec.report_interval.max(1_000);
        let load = LoadReport {
            util: self.cpu_utilization,
            in_flight: self.in_flight_count() as f64,
            queue: self.memory_queue.len() as f64,
            memory: self.granted() / self.spec.memory_mb.max(1.0),
            disks: self.disk_utilization,
        };
        self.unpublished_reports.push_back((at + self.spec.report_delay, load));
        if self.spec.progress_interval > 0 {
            let interval = self.spec.progress_interval;
            // Messages about queued queries are sent at load samples, at most once per progress
            // interval.
            for (job, queued_at) in &self.memory_queue {
                if at - queued_at >= interval && (at - queued_at) % interval < self.spec.report_interval {
                    out.push(ModelEvent::WaitingForMemory(job.id));
                }
            }
        }
        // The engine is idle: publish the last sample at once and stop sampling until the next
        // query.
        if self.in_flight_count() == 0 && self.unpublished_reports.len() > 1 {
            self.published_load = load;
            self.unpublished_reports.clear();
        }
    }

    /// Removes a query; returns false if it was neither running nor queued.
    pub fn cancel(&mut self, now: i64, id: u64, out: &mut Vec<ModelEvent>) -> bool {
        self.advance(now, out);
        let before = self.in_flight_count();
        self.running.remove(&id);
        self.memory_queue.retain(|(job, _)| job.id != id);
        let removed = self.in_flight_count() < before;
        if removed {
            self.admit_queued(out);
        }
        removed
    }

    /// Changes the priority of a running or queued query.
    pub fn set_priority(&mut self, now: i64, id: u64, priority: u8, out: &mut Vec<ModelEvent>) {
        self.advance(now, out);
        if let Some(r) = self.running.get_mut(&id) {
            r.job.priority = priority;
        }
        for (job, _) in self.memory_queue.iter_mut().filter(|(job, _)| job.id == id) {
            job.priority = priority;
        }
        self.update_rates();
    }
}
