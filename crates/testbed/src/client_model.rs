//! The clients of a run without sockets: what they send and when, and how they check the answers. The loop is open: each query
//! is sent at its time, whatever has become of the others. Each row is checked to belong to its query.

use crate::client_pool::{query_text, Attempt, ClientCounts, ClientSettings};
use crate::clients::{choose_controller, retry_delay, ControllerAvailability};
use crate::plan::{Arrival, Plan};
use bytes::{Buf, Bytes, BytesMut};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use wheelfield_engine_emulator::answer;
use wheelfield_invariants::ClientOutcome;
use wheelfield_pg::{backend_messages, frame, frontend_messages};
use wheelfield_sans_io::{ConnId, ConnectionTable, Timers};

/// How long a late answer is waited for, to be told from one that never comes, in microseconds.
const LATE_ANSWER_WAIT_US: i64 = 1_000_000;
/// Maximum length of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Time limit for establishing a connection, in microseconds.
const CONNECT_TIMEOUT_US: i64 = 3_000_000;

/// An action for the caller to perform on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientAction {
    /// Connect to a controller.
    Connect(ConnId, usize),
    /// Write [`ClientModel::output`], and report it by [`ClientModel::bytes_written`].
    Write(ConnId),
    /// Close it.
    Close(ConnId),
    /// Send these bytes to a controller on a connection of their own, and close that.
    Cancel(usize, Bytes),
}

struct Connection {
    input: BytesMut,
    output: BytesMut,
    controller: usize,
    tenant: usize,
    ready: bool,
    closing: bool,
    /// A cancel request was sent, which might end the next query: the connection is not reused.
    cancelled: bool,
    /// The attempt in flight.
    runs: Option<usize>,
    /// The last attempt that ended, after which nothing may be received.
    last: Option<usize>,
    pid: i32,
    key: Bytes,
    since: i64,
}

#[derive(Clone, Copy, Debug)]
enum TimerEvent {
    Send(usize),
    Retry(usize, u32),
    Deadline(usize),
    Abandon(usize),
    GiveUp(usize),
    ConnectTimeout(ConnId),
    Intruder,
}

/// The clients of a run.
pub struct ClientModel<'a> {
    plan: &'a Plan,
    settings: ClientSettings,
    start: i64,
    controllers: Vec<ControllerAvailability>,
    connections: ConnectionTable<Connection>,
    /// Idle connections, by controller and tenant.
    idle: BTreeMap<(usize, usize), Vec<ConnId>>,
    /// Attempts that wait for a connection, by controller and tenant.
    waiting: BTreeMap<(usize, usize), VecDeque<usize>>,
    tenants: Vec<usize>,
    /// The connection of each attempt.
    connections_by_attempt: Vec<Option<ConnId>>,
    attempts: Vec<Attempt>,
    timers: Timers<TimerEvent>,
    open: usize,
    /// Number of attempts that are still to be sent.
    unsent: usize,
    rng: Pcg64Mcg,
    actions: Vec<ClientAction>,
    /// Interval between connections with invalid input, in microseconds; zero for none.
    intruder_interval_us: i64,
    /// Counters of the attempts.
    pub counts: ClientCounts,
}

impl<'a> ClientModel<'a> {
    /// Clients of this many controllers, which begin at `start`, in microseconds.
    pub fn new(plan: &'a Plan, settings: ClientSettings, controllers: usize, start: i64) -> ClientModel<'a> {
        let mut timers = Timers::default();
        if let Some(first) = plan.arrivals.first() {
            timers.set(start + first.at, TimerEvent::Send(0));
        }
        ClientModel {
            plan,
            start,
            controllers: vec![ControllerAvailability::default(); controllers],
            connections: ConnectionTable::new(1),
            idle: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tenants: Vec::new(),
            connections_by_attempt: Vec::new(),
            attempts: Vec::new(),
            timers,
            open: 0,
            unsent: plan.arrivals.len(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            actions: Vec::new(),
            intruder_interval_us: 0,
            counts: ClientCounts::default(),
        }
    }

    /// Opens a connection with invalid input at this interval from the start: part of a startup, random bytes, or a wrong key.
    pub fn set_intruder_interval(&mut self, every: i64) {
        self.intruder_interval_us = every;
        if every > 0 {
            self.timers.set(self.start, TimerEvent::Intruder);
        }
    }

    /// Moves the pending actions to `into`, whose previous content is dropped.
    pub fn take_actions(&mut self, into: &mut Vec<ClientAction>) {
        into.clear();
        std::mem::swap(&mut self.actions, into);
    }

    /// When [`ClientModel::handle_timers`] must be called next.
    pub fn next_timer_at(&self) -> Option<i64> {
        self.timers.next_at()
    }

    /// Whether all attempts have been sent and have ended.
    pub fn is_done(&self) -> bool {
        self.unsent == 0 && self.open == 0
    }

    /// All attempts, including those that have not ended.
    pub fn into_attempts(self) -> Vec<Attempt> {
        self.attempts
    }

    /// Handles that a controller is available.
    pub fn controller_up(&mut self, controller: usize) {
        self.controllers[controller] =
            ControllerAvailability { is_known: true, ..ControllerAvailability::default() };
    }

    /// Handles that a controller is not available any more.
    pub fn controller_down(&mut self, controller: usize, now: i64) {
        self.controllers[controller].is_down = true;
        self.controllers[controller].down_since = now;
    }

    /// Handles the timers that are due.
    pub fn handle_timers(&mut self, now: i64) {
        while let Some(wake) = self.timers.pop_due(now) {
            self.handle_timer(wake, now);
        }
    }

    fn handle_timer(&mut self, wake: TimerEvent, now: i64) {
        match wake {
            TimerEvent::Send(arrival) => {
                if let Some(next) = self.plan.arrivals.get(arrival + 1) {
                    self.timers.set(self.start + next.at, TimerEvent::Send(arrival + 1));
                }
                self.send(arrival, 0, now);
            }
            TimerEvent::Retry(arrival, number) => self.send(arrival, number, now),
            // An answer after the deadline is late, but not missing.
            TimerEvent::Deadline(t) => {
                if self.attempts[t].end.is_none() {
                    self.timers.set(now + LATE_ANSWER_WAIT_US, TimerEvent::GiveUp(t));
                }
            }
            TimerEvent::GiveUp(t) => self.abandon(t, ClientOutcome::NoAnswer, now),
            TimerEvent::Intruder => {
                if self.unsent > 0 {
                    self.timers.set(now + self.intruder_interval_us, TimerEvent::Intruder);
                    let controller = self.rng.random_range(0..self.controllers.len());
                    let bytes = intruder_bytes(&mut self.rng);
                    self.actions.push(ClientAction::Cancel(controller, bytes));
                }
            }
            TimerEvent::Abandon(t) => {
                let leaves = self.plan.arrivals[self.attempts[t].arrival].abandonment;
                if self.attempts[t].end.is_some() {
                } else if leaves.is_some_and(|(_, cancels)| cancels) {
                    self.cancel(t);
                } else {
                    self.abandon(t, ClientOutcome::Left, now);
                }
            }
            TimerEvent::ConnectTimeout(id) => {
                let late = |c: &Connection| !c.ready && now - c.since >= CONNECT_TIMEOUT_US;
                if self.connections.get(id).is_some_and(late) {
                    self.handle_broken(id, now);
                }
            }
        }
    }

    fn send(&mut self, a: usize, number: u32, now: i64) {
        let arrival = &self.plan.arrivals[a];
        self.unsent -= 1;
        let controller = choose_controller(&self.controllers, &self.settings.habits, arrival, number, now);
        let t = self.attempts.len();
        let due = now + arrival.timeout_us;
        let late_us = if number == 0 { now - (self.start + arrival.at) } else { 0 };
        self.attempts.push(Attempt { late_us, ..Attempt::new(a, number, controller, now, due) });
        self.tenants.push(arrival.tenant.unwrap_or(0));
        self.connections_by_attempt.push(None);
        self.counts.sent += 1;
        self.open += 1;
        self.timers.set(due, TimerEvent::Deadline(t));
        if let Some((after, _)) = arrival.abandonment.filter(|_| number == 0) {
            self.timers.set(now + after, TimerEvent::Abandon(t));
        }
        let pool_key = (controller, self.tenants[t]);
        while let Some(id) = self.idle.get_mut(&pool_key).and_then(Vec::pop) {
            if self.connections.get(id).is_some_and(|c| c.ready && !c.closing) {
                return self.write_query(id, t, now);
            }
        }
        self.waiting.entry(pool_key).or_default().push_back(t);
        self.connect(pool_key, now);
    }

    fn connect(&mut self, pool_key: (usize, usize), now: i64) {
        if self.connections.len() >= self.settings.connections {
            // An idle connection of another pool is closed to make room.
            let Some(id) = self.idle.values_mut().find_map(Vec::pop) else { return };
            self.close(id);
        }
        let user = self.settings.tenants.get(pool_key.1).map_or("lab", String::as_str);
        let mut output = BytesMut::new();
        frontend_messages::put_startup(
            &[("user", user), ("database", "lab"), ("application_name", "wheelfield-lab")],
            &mut output,
        );
        let id = self.connections.insert(Connection {
            input: BytesMut::new(),
            output,
            controller: pool_key.0,
            tenant: pool_key.1,
            ready: false,
            closing: false,
            cancelled: false,
            runs: None,
            last: None,
            pid: 0,
            key: Bytes::new(),
            since: now,
        });
        self.actions.push(ClientAction::Connect(id, pool_key.0));
        self.timers.set(now + CONNECT_TIMEOUT_US, TimerEvent::ConnectTimeout(id));
    }

    /// Fails an attempt that waits for a connection that could not be established.
    fn fail_connect(&mut self, pool_key: (usize, usize), now: i64) {
        if let Some(t) = self.waiting.get_mut(&pool_key).and_then(VecDeque::pop_front) {
            self.finish(t, ClientOutcome::Unreachable, now);
        }
    }

    /// Writes an attempt to a connection.
    fn write_query(&mut self, id: ConnId, t: usize, now: i64) {
        let attempt = &mut self.attempts[t];
        if attempt.end.is_some() {
            return;
        }
        let arrival = &self.plan.arrivals[attempt.arrival];
        let class = &self.settings.classes[arrival.class];
        // The time for connecting does not count: the attempt begins when it is written.
        let spent = now - attempt.sent;
        let left_ms = (attempt.due - now) / 1000;
        (attempt.sent, attempt.late_us) = (now, attempt.late_us + spent);
        let text = query_text(arrival, class, &attempt.id, left_ms.max(1));
        if let Some(c) = self.connections.get_mut(id) {
            c.runs = Some(t);
            self.connections_by_attempt[t] = Some(id);
            frontend_messages::put_query(&text, &mut c.output);
            self.actions.push(ClientAction::Write(id));
        }
    }

    // --- connections ---

    /// Handles that a connection is established.
    pub fn connected(&mut self, id: ConnId) {
        if self.connections.get(id).is_some() {
            self.actions.push(ClientAction::Write(id));
        }
    }

    /// The bytes to write to a connection.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.connections.get(id).map_or(&[], |c| &c.output)
    }

    /// Removes bytes that were written from the output.
    pub fn bytes_written(&mut self, id: ConnId, n: usize) {
        if let Some(c) = self.connections.get_mut(id) {
            c.output.advance(n.min(c.output.len()));
            if c.output.is_empty() {
                c.output = BytesMut::new();
            }
        }
    }

    /// Handles that the controller has closed its side; bytes may still be unread.
    pub fn peer_closing(&mut self, id: ConnId) {
        if let Some(c) = self.connections.get_mut(id) {
            c.closing = true;
        }
    }

    /// Handles received bytes.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        match self.connections.get_mut(id) {
            Some(c) => c.input.extend_from_slice(bytes),
            None => return,
        }
        while let Some(c) = self.connections.get_mut(id) {
            match frame::take_message(&mut c.input, MAX_MESSAGE_BYTES) {
                Ok(Some((tag, message))) => self.message(id, tag, &message, now),
                Ok(None) => {
                    if c.input.is_empty() {
                        c.input = BytesMut::new();
                    }
                    return;
                }
                Err(_) => return self.handle_broken(id, now),
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn message(&mut self, id: ConnId, tag: u8, message: &Bytes, now: i64) {
        let Some(c) = self.connections.get_mut(id) else { return };
        if !c.ready {
            match tag {
                b'K' => {
                    if let Ok((pid, key)) = backend_messages::parse_backend_key_data(message) {
                        (c.pid, c.key) = (pid, key);
                    }
                }
                b'Z' => {
                    c.ready = true;
                    self.release(id, now);
                }
                b'E' => self.handle_broken(id, now),
                _ => {}
            }
            return;
        }
        let Some(t) = c.runs else {
            // On an idle connection only the error of a shutdown may be received.
            let fatal = tag == b'E'
                && backend_messages::parse_sqlstate_and_message(message)
                    .is_ok_and(|(state, _)| state == "57P01");
            if let Some(last) = c.last.filter(|_| !fatal && !matches!(tag, b'S' | b'N')) {
                self.attempts[last].after = Some(tag as char);
            }
            return;
        };
        let class = &self.settings.classes[self.plan.arrivals[self.attempts[t].arrival].class];
        let rows = if class.load { 0 } else { class.rows };
        let attempt = &mut self.attempts[t];
        match tag {
            b'T' => attempt
                .is_wrong(rows == 0 || !is_expected_description(message), "a description of something else"),
            b'D' => {
                let right = answer::is_expected_row(message, &attempt.id, attempt.rows, rows);
                attempt.is_wrong(!right, "a row that answers another query, or is out of turn");
                attempt.rows += 1;
            }
            b'C' => {
                attempt.answers += 1;
                let wanted = if class.load { "INSERT 0 1".to_string() } else { format!("SELECT {rows}") };
                let got = message.get(5..message.len() - 1).unwrap_or(&[]);
                attempt.is_wrong(got != wanted.as_bytes(), "the completion of something else");
                attempt.is_wrong(attempt.rows != rows, "an answer told as whole that is not");
            }
            b'E' => {
                attempt.answers += 1;
                let (state, _) = backend_messages::parse_sqlstate_and_message(message).unwrap_or_default();
                let text = String::from_utf8_lossy(message);
                let advice = text.split("retry_after_ms=").nth(1);
                attempt.advice_ms =
                    advice.and_then(|a| a.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
                let cancels =
                    self.plan.arrivals[attempt.arrival].abandonment.is_some_and(|(_, cancels)| cancels);
                attempt.is_wrong(state == "57014" && !cancels, "a cancel that its client never asked for");
                attempt.state = state;
            }
            b'Z' => {
                let end = match attempt.state.as_str() {
                    "" => ClientOutcome::Served,
                    "53300" => ClientOutcome::Refused,
                    _ => ClientOutcome::Failed,
                };
                attempt.is_wrong(
                    end == ClientOutcome::Served && attempt.answers == 0,
                    "an end without an answer",
                );
                c.runs = None;
                c.last = Some(t);
                self.finish(t, end, now);
                self.release(id, now);
            }
            _ => {}
        }
    }

    /// Writes the next waiting attempt to a connection, or makes it idle.
    fn release(&mut self, id: ConnId, now: i64) {
        let Some(c) = self.connections.get(id) else { return };
        if c.cancelled {
            return self.close(id);
        }
        let pool_key = (c.controller, c.tenant);
        while let Some(t) = self.waiting.get_mut(&pool_key).and_then(VecDeque::pop_front) {
            if self.attempts[t].end.is_none() {
                return self.write_query(id, t, now);
            }
        }
        self.idle.entry(pool_key).or_default().push(id);
    }

    /// Handles a connection that broke, was closed by the controller, or could not be established.
    pub fn handle_broken(&mut self, id: ConnId, now: i64) {
        let Some(c) = self.connections.get(id) else { return };
        let (pool_key, ready, runs) = ((c.controller, c.tenant), c.ready, c.runs);
        self.close(id);
        if let Some(t) = runs {
            self.finish(t, ClientOutcome::Broke, now);
        } else if !ready {
            self.fail_connect(pool_key, now);
        }
    }

    fn close(&mut self, id: ConnId) {
        if let Some(c) = self.connections.remove(id) {
            if let Some(idle) = self.idle.get_mut(&(c.controller, c.tenant)) {
                idle.retain(|i| *i != id);
            }
            self.actions.push(ClientAction::Close(id));
        }
    }

    fn connection_of(&self, t: usize) -> Option<(ConnId, &Connection)> {
        let id = self.connections_by_attempt[t]?;
        self.connections.get(id).filter(|c| c.runs == Some(t)).map(|c| (id, c))
    }

    /// Ends an attempt whose client does not wait any longer.
    fn abandon(&mut self, t: usize, end: ClientOutcome, now: i64) {
        if self.attempts[t].end.is_some() {
            return;
        }
        if let Some((id, _)) = self.connection_of(t) {
            self.close(id);
        }
        self.finish(t, end, now);
    }

    /// Sends a cancel request for an attempt, which is still answered.
    fn cancel(&mut self, t: usize) {
        let Some((id, _)) = self.connection_of(t) else { return };
        let Some(c) = self.connections.get_mut(id) else { return };
        c.cancelled = true;
        // A cancel request has a connection of its own, which is closed without an answer.
        let mut out = BytesMut::new();
        frontend_messages::put_cancel(c.pid, &c.key, &mut out);
        self.actions.push(ClientAction::Cancel(c.controller, out.freeze()));
    }

    fn finish(&mut self, t: usize, end: ClientOutcome, now: i64) {
        let attempt = &mut self.attempts[t];
        if attempt.end.is_some() {
            return;
        }
        (attempt.end, attempt.ended) = (Some(end), now);
        self.open -= 1;
        match end {
            ClientOutcome::Served => self.counts.served += 1,
            ClientOutcome::Refused => self.counts.refused += 1,
            ClientOutcome::Failed => self.counts.failed += 1,
            _ => self.counts.other += 1,
        }
        self.retry_if_allowed(t, end, now);
    }

    /// Schedules a retry of a rejected query, or of one whose controller was unreachable, if its client retries.
    fn retry_if_allowed(&mut self, t: usize, end: ClientOutcome, now: i64) {
        let attempt = &self.attempts[t];
        let a: &Arrival = &self.plan.arrivals[attempt.arrival];
        let class = &self.settings.classes[a.class];
        let left = self.start + a.at + class.deadline.0 .0 - now;
        let wait = retry_delay(class, &self.settings.habits, a, attempt, end, left, &mut self.rng);
        if let Some(wait) = wait {
            self.unsent += 1;
            self.timers.set(now + wait, TimerEvent::Retry(attempt.arrival, attempt.number + 1));
        }
    }
}

/// Invalid input for a controller.
fn intruder_bytes(rng: &mut Pcg64Mcg) -> Bytes {
    let mut out = BytesMut::new();
    frontend_messages::put_startup(&[("user", "nobody"), ("database", "lab")], &mut out);
    match rng.random_range(0..6) {
        0 => out.truncate(rng.random_range(0..out.len())),
        1 => out = (0..rng.random_range(1..600)).map(|_| rng.random::<u8>()).collect(),
        2 => frontend_messages::put_cancel(rng.random_range(0..50), &Bytes::from_static(b"none"), &mut out),
        3 => {
            out.clear();
            frontend_messages::put_cancel(rng.random_range(0..50), &Bytes::from_static(b"none"), &mut out);
        }
        // An incomplete message, and one with an invalid length.
        4 => out.extend_from_slice(b"Q\0\0\0\x20select"),
        _ => out.extend_from_slice(&[b'P', 0xff, 0xff, 0xff, 0xff, 0, 0]),
    }
    out.freeze()
}

/// Whether a message is the row description of the engine emulator: two columns, `n` and `data`.
fn is_expected_description(message: &[u8]) -> bool {
    let mut expected = BytesMut::new();
    backend_messages::put_row_description(
        &answer::Plan::Rows { count: 0, text_bytes: 0, query_mark: 0 }.columns(),
        &[],
        &mut expected,
    );
    message == &expected[..]
}
