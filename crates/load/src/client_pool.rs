//! The simulated clients of one worker: which queries are due, which connection carries each, and
//! how each ends. A state machine without I/O and without a clock: the caller reports events and
//! performs the [`Action`]s it returns.

use crate::schedule::ScheduledQuery;
use crate::script::{Script, TimeoutAction};
use crate::stats::{LoadStats, SERVED};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelfield_net::Timers;

/// Time limit for establishing a connection, in microseconds.
const CONNECT_TIMEOUT_US: i64 = 5_000_000;
/// Time, in microseconds, that a client waits for its query to end after a cancel request before it
/// closes the connection.
const CANCEL_TIMEOUT_US: i64 = 2_000_000;

/// An action for the caller to perform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Open a connection for a tenant of a stream and refer to it by `conn_id`.
    Open {
        /// Connection id.
        conn_id: usize,
        /// Index of the stream.
        stream: u32,
        /// Index of the tenant, whose name is the user of the connection.
        tenant: usize,
    },
    /// Write a query to a connection.
    Write {
        /// Connection id.
        conn_id: usize,
        /// Index of the query in the schedule.
        schedule_index: usize,
        /// Attempt number, unique within the worker.
        attempt_number: u64,
        /// Microseconds until the client abandons the query.
        time_left_us: i64,
    },
    /// Send a cancel request for the query running on a connection.
    Cancel {
        /// Connection id.
        conn_id: usize,
    },
    /// Stop reading from a connection.
    StopReading {
        /// Connection id.
        conn_id: usize,
    },
    /// Close a connection.
    Close {
        /// Connection id.
        conn_id: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    schedule_index: usize,
    /// Attempt number, unique within the worker; each retry has a new one.
    number: u64,
    /// Scheduled send time of the query on the caller's clock; retries keep it.
    scheduled_at: i64,
    /// When the client abandons the query.
    deadline: i64,
    retries_done: u32,
    /// The query is counted as delayed by the connection limit. Retries keep this.
    is_wait_counted: bool,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    attempt: Attempt,
    written_at: i64,
    /// The client has abandoned the query; its answer is discarded.
    abandoned: bool,
}

#[derive(Debug)]
struct Connection {
    /// Stream index and tenant index. Connections are pooled by both.
    pool_key: (u32, usize),
    ready: bool,
    /// Queries in flight, oldest first.
    in_flight: VecDeque<InFlight>,
    /// The client of a query on this connection never reads its answer.
    reading_stopped: bool,
}

#[derive(Clone, Copy, Debug)]
enum TimerEvent {
    /// The delay before a retry is over.
    Retry(Attempt),
    /// The client timeout of the attempt with this number has expired.
    ClientTimeout(u64),
    /// The connection with this id and generation was not established in time.
    ConnectTimeout(usize, u64),
    /// On the connection with this id, the attempt with this number did not end in time after a
    /// cancel request.
    CancelTimeout(usize, u64),
}

/// How the answer to a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// The answer is complete and without an error.
    Served,
    /// An error with this SQLSTATE, and the server's `retry_after_ms`, if any.
    Error(&'a str, Option<u64>),
}

/// The simulated clients of one worker.
pub struct ClientPool<'a> {
    script: &'a Script,
    schedule: &'a [ScheduledQuery],
    /// Index of this worker's next query in the schedule. The worker sends every `worker_count`-th
    /// query from there on.
    next_index: usize,
    worker_count: usize,
    /// Start of the schedule on the caller's clock.
    start_at: i64,
    max_connections: usize,
    connections: Slab<Connection>,
    /// Generation of each connection. Connection ids are reused; the generation tells an earlier
    /// connection from a later one with the same id.
    generations: BTreeMap<usize, u64>,
    last_generation: u64,
    /// Connections that can take a further query, by pool key.
    available: BTreeMap<(u32, usize), BTreeSet<usize>>,
    /// Attempts waiting for a connection, in order. Attempts that have been abandoned meanwhile
    /// remain here but are no longer in `waiting`.
    wait_order: BTreeMap<(u32, usize), VecDeque<Attempt>>,
    /// Attempts waiting for a connection, by pool key and attempt number.
    waiting: BTreeMap<(u32, usize), BTreeMap<u64, Attempt>>,
    /// Number of connections being established, by pool key.
    connecting: BTreeMap<(u32, usize), usize>,
    /// Connection of each attempt in flight, by attempt number.
    conn_by_attempt: BTreeMap<u64, usize>,
    timers: Timers<TimerEvent>,
    last_attempt_number: u64,
    /// Queries that have been started and have no outcome yet.
    open_queries: u64,
    rng: Pcg64Mcg,
    stats: LoadStats,
    actions: Vec<Action>,
}

impl<'a> ClientPool<'a> {
    /// Creates the clients of worker `worker_index` of `worker_count`, with at most
    /// `max_connections` connections. The schedule starts at `start_at` on the caller's clock.
    pub fn new(
        script: &'a Script,
        schedule: &'a [ScheduledQuery],
        (worker_index, worker_count): (usize, usize),
        max_connections: usize,
        start_at: i64,
        seed: u64,
    ) -> ClientPool<'a> {
        let mut stats = LoadStats::default();
        for s in &script.streams {
            stats.streams.insert(s.name.clone(), crate::stats::StreamStats::default());
        }
        ClientPool {
            script,
            schedule,
            next_index: worker_index,
            worker_count: worker_count.max(1),
            start_at,
            max_connections: max_connections.max(1),
            connections: Slab::new(),
            generations: BTreeMap::new(),
            last_generation: 0,
            available: BTreeMap::new(),
            wait_order: BTreeMap::new(),
            waiting: BTreeMap::new(),
            connecting: BTreeMap::new(),
            conn_by_attempt: BTreeMap::new(),
            timers: Timers::default(),
            last_attempt_number: 0,
            open_queries: 0,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (worker_index as u64) << 32),
            stats,
            actions: Vec::new(),
        }
    }

    /// Returns when [`ClientPool::tick`] must be called next.
    pub fn next_wakeup(&self) -> Option<i64> {
        let next_send = self.schedule.get(self.next_index).map(|q| self.start_at + q.at_us);
        [next_send, self.timers.next_at()].into_iter().flatten().min()
    }

    /// Returns whether all queries have been sent and have ended.
    pub fn is_done(&self) -> bool {
        self.next_index >= self.schedule.len() && self.open_queries == 0
    }

    /// Returns the results so far.
    pub fn stats(&self) -> &LoadStats {
        &self.stats
    }

    /// Takes the pending actions, to be performed in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Ends the run and returns its results. Open queries are counted as unfinished.
    pub fn finish(mut self) -> LoadStats {
        let stream_names: Vec<&str> = self.script.streams.iter().map(|s| s.name.as_str()).collect();
        let in_flight = self
            .connections
            .iter()
            .flat_map(|(_, c)| c.in_flight.iter().filter(|q| !q.abandoned).map(|q| q.attempt.schedule_index));
        let queued = self.waiting.values().flat_map(BTreeMap::values).map(|a| a.schedule_index);
        let open: Vec<usize> = in_flight.chain(queued).collect();
        for schedule_index in open {
            if let Some(stream) =
                self.stats.streams.get_mut(stream_names[self.schedule[schedule_index].stream as usize])
            {
                stream.record_outcome("unfinished");
            }
        }
        self.stats
    }

    fn stream_stats(&mut self, schedule_index: usize) -> &mut crate::stats::StreamStats {
        let name = &self.script.streams[self.schedule[schedule_index].stream as usize].name;
        // An entry for every stream exists since `new`.
        self.stats.streams.entry(name.clone()).or_default()
    }

    /// Starts the queries that are due and handles the expired timers.
    pub fn tick(&mut self, now: i64) {
        while let Some(query) = self.schedule.get(self.next_index).filter(|q| self.start_at + q.at_us <= now)
        {
            let scheduled_at = self.start_at + query.at_us;
            let _ = self.stats.lateness.record((now - scheduled_at).max(0) as u64);
            let client_timeout = self.script.streams[query.stream as usize].client_timeout.0 .0;
            self.last_attempt_number += 1;
            let attempt = Attempt {
                schedule_index: self.next_index,
                number: self.last_attempt_number,
                scheduled_at,
                deadline: scheduled_at + client_timeout,
                retries_done: 0,
                is_wait_counted: false,
            };
            self.open_queries += 1;
            self.stream_stats(attempt.schedule_index).scheduled += 1;
            self.next_index += self.worker_count;
            self.start_attempt(attempt, now);
        }
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Retry(attempt) => self.start_attempt(attempt, now),
                TimerEvent::ClientTimeout(number) => self.on_client_timeout(number, now),
                TimerEvent::ConnectTimeout(conn_id, generation) => {
                    let pending = self.connections.get(conn_id).is_some_and(|c| !c.ready);
                    if pending && self.generations.get(&conn_id) == Some(&generation) {
                        self.actions.push(Action::Close { conn_id });
                        self.on_connection_lost(conn_id, now);
                    }
                }
                TimerEvent::CancelTimeout(conn_id, number) => {
                    let still_running = self.conn_by_attempt.get(&number) == Some(&conn_id);
                    if still_running && self.connections.contains(conn_id) {
                        self.actions.push(Action::Close { conn_id });
                        self.on_connection_lost(conn_id, now);
                    }
                }
            }
        }
    }

    fn start_attempt(&mut self, attempt: Attempt, now: i64) {
        let query = self.schedule[attempt.schedule_index];
        let pool_key = (query.stream, query.tenant);
        self.timers.set(attempt.deadline, TimerEvent::ClientTimeout(attempt.number));
        let pipeline = self.script.streams[query.stream as usize].pipeline;
        while let Some(conn_id) = self.available.get_mut(&pool_key).and_then(BTreeSet::pop_last) {
            let usable = |c: &Connection| c.ready && !c.reading_stopped && c.in_flight.len() < pipeline;
            if self.connections.get(conn_id).is_some_and(usable) {
                return self.write_query(conn_id, attempt, now);
            }
        }
        self.wait_order.entry(pool_key).or_default().push_back(attempt);
        self.waiting.entry(pool_key).or_default().insert(attempt.number, attempt);
        if self.waiting_count(pool_key) > self.connecting.get(&pool_key).copied().unwrap_or(0) {
            self.open_connection(pool_key, now);
        }
    }

    /// Returns the number of attempts waiting for a connection.
    fn waiting_count(&self, pool_key: (u32, usize)) -> usize {
        self.waiting.get(&pool_key).map_or(0, BTreeMap::len)
    }

    /// Removes and returns the next attempt waiting for a connection.
    fn pop_waiting(&mut self, pool_key: (u32, usize)) -> Option<Attempt> {
        let (order, waiting) = (self.wait_order.get_mut(&pool_key)?, self.waiting.get_mut(&pool_key)?);
        while let Some(attempt) = order.pop_front() {
            if let Some(attempt) = waiting.remove(&attempt.number) {
                return Some(attempt);
            }
        }
        None
    }

    /// Opens a connection, or counts a delayed attempt if the limit is reached and no connection is
    /// idle.
    fn open_connection(&mut self, pool_key: (u32, usize), now: i64) {
        if self.connections.len() >= self.max_connections {
            // At the limit, closes an idle connection of any pool to make room.
            let is_idle = |id: &usize| {
                self.connections.get(*id).is_some_and(|connection| connection.in_flight.is_empty())
            };
            let idle = self.available.values().flatten().copied().find(is_idle);
            let Some(conn_id) = idle else {
                self.count_connection_wait(pool_key);
                return;
            };
            self.actions.push(Action::Close { conn_id });
            self.remove_connection(conn_id);
        }
        self.last_generation += 1;
        let in_flight = VecDeque::new();
        let conn_id =
            self.connections.insert(Connection { pool_key, ready: false, in_flight, reading_stopped: false });
        self.generations.insert(conn_id, self.last_generation);
        self.timers.set(now + CONNECT_TIMEOUT_US, TimerEvent::ConnectTimeout(conn_id, self.last_generation));
        *self.connecting.entry(pool_key).or_default() += 1;
        self.actions.push(Action::Open { conn_id, stream: pool_key.0, tenant: pool_key.1 });
    }

    /// Counts the query of the newest waiting attempt as delayed by the connection limit, once.
    fn count_connection_wait(&mut self, pool_key: (u32, usize)) {
        let newest = self.waiting.get_mut(&pool_key).and_then(BTreeMap::last_entry);
        let Some(mut newest) = newest.filter(|newest| !newest.get().is_wait_counted) else { return };
        newest.get_mut().is_wait_counted = true;
        let schedule_index = newest.get().schedule_index;
        self.stream_stats(schedule_index).waited_for_connection += 1;
    }

    fn write_query(&mut self, conn_id: usize, attempt: Attempt, now: i64) {
        let query = self.schedule[attempt.schedule_index];
        let stream = &self.script.streams[query.stream as usize];
        let never_reads = f64::from(query.client_random) < stream.unread_fraction;
        let Some(c) = self.connections.get_mut(conn_id) else { return };
        c.in_flight.push_back(InFlight { attempt, written_at: now, abandoned: false });
        c.reading_stopped |= never_reads;
        let has_room = c.in_flight.len() < stream.pipeline && !c.reading_stopped;
        self.conn_by_attempt.insert(attempt.number, conn_id);
        self.stream_stats(attempt.schedule_index).sent += 1;
        if never_reads {
            self.actions.push(Action::StopReading { conn_id });
        }
        self.actions.push(Action::Write {
            conn_id,
            schedule_index: attempt.schedule_index,
            attempt_number: attempt.number,
            time_left_us: (attempt.deadline - now).max(1),
        });
        if has_room {
            self.available.entry((query.stream, query.tenant)).or_default().insert(conn_id);
        }
    }

    /// Reports that a connection is established and the server is ready for queries.
    pub fn on_connected(&mut self, conn_id: usize, now: i64) {
        let Some(c) = self.connections.get_mut(conn_id).filter(|c| !c.ready) else { return };
        c.ready = true;
        let pool_key = c.pool_key;
        self.connecting_ended(pool_key);
        self.stats.connections_opened += 1;
        self.assign_waiting(conn_id, now);
    }

    /// Writes waiting attempts to a connection until its pipeline is full, or marks the connection
    /// as available.
    fn assign_waiting(&mut self, conn_id: usize, now: i64) {
        loop {
            let Some(c) = self.connections.get(conn_id).filter(|c| c.ready && !c.reading_stopped) else {
                return;
            };
            let pool_key = c.pool_key;
            let pipeline = self.script.streams[pool_key.0 as usize].pipeline;
            if c.in_flight.len() >= pipeline {
                return;
            }
            let Some(attempt) = self.pop_waiting(pool_key) else {
                self.available.entry(pool_key).or_default().insert(conn_id);
                return;
            };
            self.write_query(conn_id, attempt, now);
            // `write_query` may have marked the connection as available, but the loop still assigns
            // attempts to it.
            if let Some(available) = self.available.get_mut(&pool_key) {
                available.remove(&conn_id);
            }
        }
    }

    /// Reports that the answer to the oldest query on a connection is complete.
    pub fn on_answer(&mut self, conn_id: usize, answer: Answer<'_>, now: i64) {
        let Some(c) = self.connections.get_mut(conn_id) else { return };
        let Some(entry) = c.in_flight.pop_front() else { return };
        let pool_key = c.pool_key;
        self.conn_by_attempt.remove(&entry.attempt.number);
        if let Some(available) = self.available.get_mut(&pool_key) {
            available.remove(&conn_id);
        }
        if !entry.abandoned {
            match answer {
                Answer::Served => {
                    let stats = self.stream_stats(entry.attempt.schedule_index);
                    let _ = stats.latency.record((now - entry.attempt.scheduled_at).max(0) as u64);
                    let _ = stats.service.record((now - entry.written_at).max(0) as u64);
                    self.finish_query(entry.attempt, SERVED);
                }
                Answer::Error(sqlstate, retry_after_ms) => {
                    self.on_error(entry.attempt, sqlstate, retry_after_ms, now)
                }
            }
        }
        let stream = &self.script.streams[pool_key.0 as usize];
        let idle = self.connections.get(conn_id).is_some_and(|c| c.in_flight.is_empty());
        if idle && stream.close_probability > 0.0 && self.rng.random::<f64>() < stream.close_probability {
            self.actions.push(Action::Close { conn_id });
            self.remove_connection(conn_id);
            // Attempts may still be waiting; opens a replacement.
            if self.waiting_count(pool_key) > 0 {
                self.open_connection(pool_key, now);
            }
            return;
        }
        self.assign_waiting(conn_id, now);
    }

    fn finish_query(&mut self, attempt: Attempt, outcome: &str) {
        self.open_queries -= 1;
        self.stream_stats(attempt.schedule_index).record_outcome(outcome);
    }

    /// Retries a rejected query if its stream allows a further retry before the deadline; otherwise
    /// records its outcome.
    fn on_error(&mut self, attempt: Attempt, sqlstate: &str, retry_after_ms: Option<u64>, now: i64) {
        let query = self.schedule[attempt.schedule_index];
        let stream = &self.script.streams[query.stream as usize];
        if sqlstate == "53300" && attempt.retries_done < stream.retries {
            let backoff = (stream.backoff.0 .0 << attempt.retries_done.min(16)) as f64
                * self.rng.random_range(0.5..1.5);
            let honours_retry_after = self.rng.random::<f64>() < stream.retry_after_fraction;
            let delay = retry_after_ms
                .filter(|_| honours_retry_after)
                .map_or(backoff as i64, |ms| ms.min(3_600_000) as i64 * 1_000);
            if now + delay < attempt.deadline {
                self.last_attempt_number += 1;
                let retry = Attempt {
                    number: self.last_attempt_number,
                    retries_done: attempt.retries_done + 1,
                    ..attempt
                };
                self.stream_stats(attempt.schedule_index).retries += 1;
                self.timers.set(now + delay, TimerEvent::Retry(retry));
                return;
            }
        }
        let outcome = if sqlstate == "53300" { "refused".to_string() } else { format!("failed {sqlstate}") };
        self.finish_query(attempt, &outcome);
    }

    /// Abandons a query whose client timeout has expired.
    fn on_client_timeout(&mut self, number: u64, now: i64) {
        if let Some(conn_id) = self.conn_by_attempt.get(&number).copied() {
            let Some(c) = self.connections.get_mut(conn_id) else { return };
            let Some(entry) = c.in_flight.iter_mut().find(|q| q.attempt.number == number && !q.abandoned)
            else {
                return;
            };
            entry.abandoned = true;
            let attempt = entry.attempt;
            let reading_stopped = c.reading_stopped;
            self.finish_query(attempt, if reading_stopped { "never read" } else { "gave up" });
            let stream = &self.script.streams[self.schedule[attempt.schedule_index].stream as usize];
            if stream.on_timeout == TimeoutAction::Cancel && !reading_stopped {
                self.actions.push(Action::Cancel { conn_id });
                self.timers.set(now + CANCEL_TIMEOUT_US, TimerEvent::CancelTimeout(conn_id, number));
            } else {
                self.actions.push(Action::Close { conn_id });
                self.on_connection_lost(conn_id, now);
            }
            return;
        }
        let abandoned = self.waiting.values_mut().find_map(|q| q.remove(&number));
        if let Some(attempt) = abandoned {
            self.finish_query(attempt, "gave up unsent");
        }
    }

    /// Reports that a connection was lost or could not be established.
    pub fn on_connection_lost(&mut self, conn_id: usize, now: i64) {
        let Some(c) = self.remove_connection(conn_id) else { return };
        for entry in c.in_flight.iter().filter(|q| !q.abandoned) {
            self.finish_query(entry.attempt, "connection broke");
        }
        if !c.ready {
            self.stats.connections_failed += 1;
            // One waiting attempt fails with the connection; the others wait for a connection of
            // their own.
            if let Some(attempt) = self.pop_waiting(c.pool_key) {
                self.finish_query(attempt, "unreachable");
            }
        } else if self.waiting_count(c.pool_key) > 0 {
            self.open_connection(c.pool_key, now);
        }
    }

    /// Decrements the number of connections being established.
    fn connecting_ended(&mut self, pool_key: (u32, usize)) {
        if let Some(n) = self.connecting.get_mut(&pool_key) {
            *n = n.saturating_sub(1);
        }
    }

    fn remove_connection(&mut self, conn_id: usize) -> Option<Connection> {
        let c = self.connections.try_remove(conn_id)?;
        self.generations.remove(&conn_id);
        if !c.ready {
            self.connecting_ended(c.pool_key);
        }
        if let Some(available) = self.available.get_mut(&c.pool_key) {
            available.remove(&conn_id);
        }
        c.in_flight.iter().for_each(|q| {
            self.conn_by_attempt.remove(&q.attempt.number);
        });
        Some(c)
    }

    /// Returns the number of connections that are established or being established.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }
}
