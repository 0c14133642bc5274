//! Runs a load: each worker thread sends its part of the schedule over its part of the connections.

use crate::client_pool::{Action, Answer, ClientPool};
use crate::schedule::ScheduledQuery;
use crate::script::{Protocol, Script};
use crate::stats::LoadStats;
use anyhow::{bail, Context, Result};
use bytes::Bytes;
use mio::{Events, Poll, Token};
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TryRecvError};
use std::time::Duration;
use wheelfield_net::{Clock, Stream};
use wheelfield_pg::{backend_messages, frame, frontend_messages};

/// Maximum size of the input buffer of a connection, and thereby of a message, in bytes.
const MAX_INPUT: usize = 256 << 10;
/// Maximum number of connections from one source address to one target; the system provides about
/// 28,000 ephemeral ports for them.
const CONNECTIONS_PER_SOURCE: usize = 20_000;
/// File descriptors reserved for uses other than connections.
const RESERVED_FDS: u64 = 64;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Target addresses; connections are assigned to them round-robin.
    pub targets: Vec<SocketAddr>,
    /// User name for streams without tenants.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Number of worker threads.
    pub workers: usize,
    /// Seed of the clients' random decisions.
    pub seed: u64,
}

/// Raises the limit of file descriptors of this process to fit `connections`.
///
/// # Errors
/// Returns an error that says what to do if the hard limit of the system is too low.
pub fn raise_fd_limit(connections: usize) -> Result<()> {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let needed = connections as u64 + RESERVED_FDS;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|limit| limit >= needed) {
        return Ok(());
    }
    if maximum.is_some_and(|limit| limit < needed) {
        bail!(
            "{connections} connections need {needed} file descriptors, and the hard limit of this process is {}; \
             raise `ulimit -Hn`, or configure fewer connections",
            maximum.unwrap_or_default()
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needed), maximum })
        .context("cannot raise the limit of file descriptors")
}

/// Runs a load. `on_progress` is called every 50 ms with the seconds since the start and the
/// results so far, which workers report twice a second. It ends the run by returning false.
///
/// # Errors
/// Returns errors of the system from polling and from starting threads. Connection failures are
/// counted, not returned.
pub fn run(
    script: &Script,
    schedule: &[ScheduledQuery],
    options: &RunOptions,
    mut on_progress: impl FnMut(f64, &LoadStats) -> bool,
) -> Result<(LoadStats, Duration)> {
    raise_fd_limit(script.max_connections)?;
    let clock = Clock::start();
    let workers = options.workers.clamp(1, 64);
    let start_at = clock.now() + 200_000;
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| -> Result<(LoadStats, Duration)> {
        let mut running = Vec::new();
        for index in 0..workers {
            // Holds at most one report; a worker skips its report while the previous one has not
            // been received.
            let (sender, receiver) = sync_channel::<LoadStats>(1);
            let max_connections =
                script.max_connections / workers + usize::from(index < script.max_connections % workers);
            let stop = &stop;
            let handle =
                std::thread::Builder::new().name(format!("load-{index}")).spawn_scoped(scope, move || {
                    let pool = ClientPool::new(
                        script,
                        schedule,
                        (index, workers),
                        max_connections,
                        start_at,
                        options.seed,
                    );
                    Worker::new(script, schedule, options, pool, clock, index)?.run(start_at, stop, &sender)
                })?;
            running.push((handle, receiver, LoadStats::default()));
        }
        loop {
            std::thread::sleep(Duration::from_millis(50));
            let mut ended = true;
            for (handle, receiver, last) in &mut running {
                ended &= handle.is_finished();
                match receiver.try_recv() {
                    Ok(stats) => *last = stats,
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => {}
                }
            }
            let elapsed_s = (clock.now() - start_at) as f64 / 1e6;
            let mut so_far = LoadStats::default();
            running.iter().for_each(|(_, _, last)| so_far.merge(last));
            if !on_progress(elapsed_s, &so_far) {
                stop.store(true, Ordering::Relaxed);
            }
            if ended {
                break;
            }
        }
        let mut total = LoadStats::default();
        for (handle, _, _) in running {
            match handle.join() {
                Ok(worker_stats) => total.merge(&worker_stats?),
                Err(_) => bail!("a worker panicked"),
            }
        }
        Ok((total, Duration::from_micros((clock.now() - start_at).max(0) as u64)))
    })
}

struct Socket {
    stream: Stream,
    /// Connection id in the client pool; `None` for a cancel request.
    conn_id: Option<usize>,
    cancel_key: (i32, Bytes),
    ready: bool,
    /// The statement has been prepared on this connection.
    prepared: bool,
    reading_stopped: bool,
    sqlstate: String,
    retry_after_ms: Option<u64>,
    closed: bool,
}

struct Worker<'a> {
    script: &'a Script,
    schedule: &'a [ScheduledQuery],
    options: &'a RunOptions,
    pool: ClientPool<'a>,
    clock: Clock,
    poll: Poll,
    sockets: Slab<Socket>,
    /// Index in `sockets` by connection id.
    socket_by_conn: BTreeMap<usize, usize>,
    /// Closed sockets that are still in `sockets` and registered with `poll`.
    closed_sockets: Vec<usize>,
    read_buffer: Vec<u8>,
    connections_made: usize,
    /// Index of this worker.
    index: usize,
    /// Whether a call of `apply_actions` is in progress.
    applying_actions: bool,
}

impl<'a> Worker<'a> {
    fn new(
        script: &'a Script,
        schedule: &'a [ScheduledQuery],
        options: &'a RunOptions,
        pool: ClientPool<'a>,
        clock: Clock,
        index: usize,
    ) -> Result<Worker<'a>> {
        Ok(Worker {
            script,
            schedule,
            options,
            pool,
            clock,
            poll: Poll::new()?,
            sockets: Slab::new(),
            socket_by_conn: BTreeMap::new(),
            closed_sockets: Vec::new(),
            read_buffer: vec![0; 64 << 10],
            connections_made: 0,
            index,
            applying_actions: false,
        })
    }

    fn run(mut self, start_at: i64, stop: &AtomicBool, sender: &SyncSender<LoadStats>) -> Result<LoadStats> {
        let mut events = Events::with_capacity(4096);
        let mut next_report_at = start_at;
        let max_client_timeout = self.script.streams.iter().map(|s| s.client_timeout.0 .0).max().unwrap_or(0);
        let end = start_at + self.script.duration.0 .0 + max_client_timeout + 5_000_000;
        while !stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            self.pool.tick(now);
            self.apply_actions();
            for id in std::mem::take(&mut self.closed_sockets) {
                if let Some(socket) = self.sockets.try_remove(id) {
                    socket.stream.close(self.poll.registry());
                }
            }
            if self.pool.is_done() || now >= end {
                break;
            }
            if now >= next_report_at {
                // Drops this report if the previous one has not been received yet.
                let _ = sender.try_send(self.pool.stats().clone());
                next_report_at = now + 500_000;
            }
            let next = self.pool.next_wakeup().unwrap_or(end).min(next_report_at).min(now + 100_000);
            match self.poll.poll(&mut events, Some(self.clock.until(next))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                let Token(id) = event.token();
                if let Some(socket) = self.sockets.get_mut(id).filter(|s| !s.closed) {
                    socket.stream.handle_event(event);
                    self.on_ready(id);
                }
            }
        }
        Ok(self.pool.finish())
    }

    /// Performs the actions of the client pool until there are none left. Actions that arise
    /// meanwhile are performed by the outermost call: a target that closes every connection must
    /// not cause unbounded recursion.
    fn apply_actions(&mut self) {
        if std::mem::replace(&mut self.applying_actions, true) {
            return;
        }
        loop {
            let actions = self.pool.take_actions();
            if actions.is_empty() {
                self.applying_actions = false;
                return;
            }
            for action in actions {
                match action {
                    Action::Open { conn_id, stream, tenant } => self.connect(conn_id, stream, tenant),
                    Action::Write { conn_id, schedule_index, attempt_number, time_left_us } => {
                        self.write_query(conn_id, schedule_index, attempt_number, time_left_us)
                    }
                    Action::Cancel { conn_id } => self.send_cancel(conn_id),
                    Action::StopReading { conn_id } => {
                        if let Some(socket) =
                            self.socket_by_conn.get(&conn_id).and_then(|id| self.sockets.get_mut(*id))
                        {
                            socket.reading_stopped = true;
                        }
                    }
                    Action::Close { conn_id } => {
                        if let Some(id) = self.socket_by_conn.remove(&conn_id) {
                            self.close_socket(id);
                        }
                    }
                }
            }
        }
    }

    fn close_socket(&mut self, id: usize) {
        if let Some(socket) = self.sockets.get_mut(id).filter(|s| !s.closed) {
            socket.closed = true;
            self.closed_sockets.push(id);
        }
    }

    fn open_socket(
        &mut self,
        address: SocketAddr,
        source: Option<SocketAddr>,
        conn_id: Option<usize>,
    ) -> Option<usize> {
        let entry = self.sockets.vacant_entry();
        let id = entry.key();
        let stream = Stream::connect(source, address, self.poll.registry(), Token(id)).ok()?;
        entry.insert(Socket {
            stream,
            conn_id,
            cancel_key: (0, Bytes::new()),
            ready: false,
            prepared: false,
            reading_stopped: false,
            sqlstate: String::new(),
            retry_after_ms: None,
            closed: false,
        });
        Some(id)
    }

    fn connect(&mut self, conn_id: usize, stream: u32, tenant: usize) {
        let options = self.options;
        let connection_index = self.connections_made * options.workers.max(1) + self.index;
        self.connections_made += 1;
        let target = options.targets[connection_index % options.targets.len()];
        // When one source address has no ports left, uses further addresses of the loopback
        // network.
        let source_index = self.pool.connection_count() * options.workers.max(1)
            / (CONNECTIONS_PER_SOURCE * options.targets.len());
        let source = (source_index > 0 && target.is_ipv4()).then(|| {
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2 + source_index.min(200) as u8)), 0)
        });
        let Some(id) = self.open_socket(target, source, Some(conn_id)) else {
            return self.pool.on_connection_lost(conn_id, self.clock.now());
        };
        self.socket_by_conn.insert(conn_id, id);
        let user = self.script.streams[stream as usize]
            .tenants
            .get(tenant)
            .map_or(options.user.as_str(), |t| &t.name);
        let startup_parameters = [
            ("user", user),
            ("database", options.database.as_str()),
            ("application_name", "wheelfield-load"),
        ];
        frontend_messages::put_startup(&startup_parameters, &mut self.sockets[id].stream.output);
    }

    fn write_query(&mut self, conn_id: usize, schedule_index: usize, attempt_number: u64, time_left_us: i64) {
        let Some(id) = self.socket_by_conn.get(&conn_id).copied() else { return };
        let script = self.script;
        let query = &self.schedule[schedule_index];
        let stream = &script.streams[query.stream as usize];
        // Attempt numbers are unique only within a worker, so the query id includes the worker
        // index.
        let query_id = format!("{}-{}-{attempt_number}", self.options.seed, self.index);
        let text = stream.render_statement(query, &query_id, (time_left_us / 1000).max(1));
        let Some(socket) = self.sockets.get_mut(id) else { return };
        let output = &mut socket.stream.output;
        match stream.protocol {
            Protocol::Simple => frontend_messages::put_query(&text, output),
            Protocol::Extended => {
                frontend_messages::put(&Parse::new(None, text, Vec::new()), output);
                frontend_messages::put(&Bind::new(None, None, Vec::new(), Vec::new(), Vec::new()), output);
                frontend_messages::put(&Execute::new(None, 0), output);
                frontend_messages::put(&Sync::new(), output);
            }
            Protocol::Prepared => {
                if !std::mem::replace(&mut socket.prepared, true) {
                    frontend_messages::put(&Parse::new(Some("s".into()), text, Vec::new()), output);
                }
                frontend_messages::put(
                    &Bind::new(None, Some("s".into()), Vec::new(), Vec::new(), Vec::new()),
                    output,
                );
                frontend_messages::put(&Execute::new(None, 0), output);
                frontend_messages::put(&Sync::new(), output);
            }
        }
        if socket.stream.flush().is_err() {
            self.on_socket_lost(id);
        }
    }

    fn send_cancel(&mut self, conn_id: usize) {
        let Some(socket) = self.socket_by_conn.get(&conn_id).and_then(|id| self.sockets.get(*id)) else {
            return;
        };
        let (pid, key) = socket.cancel_key.clone();
        let Ok(target) = socket.stream.peer_address() else { return };
        if let Some(id) = self.open_socket(target, None, None) {
            let socket = &mut self.sockets[id];
            frontend_messages::put_cancel(pid, &key, &mut socket.stream.output);
        }
    }

    fn on_socket_lost(&mut self, id: usize) {
        let Some(socket) = self.sockets.get(id).filter(|s| !s.closed) else { return };
        let conn_id = socket.conn_id;
        self.close_socket(id);
        if let Some(conn_id) = conn_id {
            self.socket_by_conn.remove(&conn_id);
            self.pool.on_connection_lost(conn_id, self.clock.now());
            self.apply_actions();
        }
    }

    fn on_ready(&mut self, id: usize) {
        let Some(socket) = self.sockets.get_mut(id) else { return };
        match socket.stream.check_connected() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => return self.on_socket_lost(id),
        }
        let mut failed = socket.stream.flush().is_err();
        if socket.reading_stopped {
            if failed {
                self.on_socket_lost(id);
            }
            return;
        }
        loop {
            let Some(socket) = self.sockets.get_mut(id).filter(|s| !s.closed) else { return };
            failed |= socket.stream.fill(MAX_INPUT, &mut self.read_buffer).is_err();
            match frame::take_message(&mut socket.stream.input, MAX_INPUT) {
                Ok(Some((tag, message))) => self.on_message(id, tag, &message),
                Ok(None) => break,
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        let Some(socket) = self.sockets.get_mut(id).filter(|s| !s.closed) else { return };
        socket.stream.release_empty_input();
        if failed || socket.stream.is_read_finished() {
            self.on_socket_lost(id);
        }
    }

    fn on_message(&mut self, id: usize, tag: u8, message: &Bytes) {
        let now = self.clock.now();
        let Some(socket) = self.sockets.get_mut(id) else { return };
        let Some(conn_id) = socket.conn_id else { return };
        match tag {
            b'K' => {
                if let Ok(key) = backend_messages::parse_backend_key_data(message) {
                    socket.cancel_key = key;
                }
            }
            b'R' if message.get(5..9) != Some(&[0, 0, 0, 0]) && !socket.ready => {
                // The server requests authentication, which is not supported.
                return self.on_socket_lost(id);
            }
            b'E' => {
                let (sqlstate, _) = backend_messages::parse_sqlstate_and_message(message).unwrap_or_default();
                let text = String::from_utf8_lossy(message);
                let retry_after = text.split("retry_after_ms=").nth(1);
                socket.retry_after_ms = retry_after
                    .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
                socket.sqlstate = sqlstate;
                if !socket.ready {
                    return self.on_socket_lost(id);
                }
            }
            b'Z' if !socket.ready => {
                socket.ready = true;
                self.pool.on_connected(conn_id, now);
            }
            b'Z' => {
                let sqlstate = std::mem::take(&mut socket.sqlstate);
                let retry_after_ms = socket.retry_after_ms.take();
                let answer = if sqlstate.is_empty() {
                    Answer::Served
                } else {
                    Answer::Error(&sqlstate, retry_after_ms)
                };
                self.pool.on_answer(conn_id, answer, now);
            }
            _ => {}
        }
        self.apply_actions();
    }
}
