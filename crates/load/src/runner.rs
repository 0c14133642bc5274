//! The sockets of a load: workers on threads of their own, each with its part of the sends and of the connections.

use crate::crew::{Answer, Crew, Do};
use crate::schedule::Send;
use crate::script::{Protocol, Script};
use crate::tally::Total;
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

/// Read from a connection at a time.
const READ: usize = 256 << 10;
/// Connections from one source address to one target: the system has some 28,000 ports for them.
const A_SOURCE: usize = 20_000;
/// Descriptors kept for other things than connections.
const SPARE: u64 = 64;

/// How a load is run.
#[derive(Clone, Debug)]
pub struct Plans {
    /// Where queries go; connections are spread over them in turn.
    pub targets: Vec<SocketAddr>,
    /// User, where a stream has no tenants.
    pub user: String,
    /// Database.
    pub database: String,
    /// Threads.
    pub workers: usize,
    /// Seed of what clients do by chance.
    pub seed: u64,
}

/// Makes room for so many connections.
///
/// # Errors
/// If the system allows fewer, with what to do.
pub fn make_room(connections: usize) -> Result<()> {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let wanted = connections as u64 + SPARE;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|now| now >= wanted) {
        return Ok(());
    }
    if maximum.is_some_and(|most| most < wanted) {
        bail!(
            "{connections} connections need {wanted} descriptors, and the system allows this process {}; raise \
             `ulimit -Hn`, or ask for fewer connections",
            maximum.unwrap_or_default()
        );
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum })
        .context("cannot raise the limit of descriptors")
}

/// Runs a load. `watch` is shown the total so far twice a second, with the seconds since the start, and ends the run by
/// giving false.
///
/// # Errors
/// As the system tells of polls and threads; what befalls connections is counted, not an error.
pub fn run(
    script: &Script,
    sends: &[Send],
    plans: &Plans,
    mut watch: impl FnMut(f64, &Total) -> bool,
) -> Result<(Total, Duration)> {
    make_room(script.connections)?;
    let clock = Clock::start();
    let workers = plans.workers.clamp(1, 64);
    let start = clock.now() + 200_000;
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| -> Result<(Total, Duration)> {
        let mut running = Vec::new();
        for index in 0..workers {
            // One total waits at most; a newer one is told as soon as it was taken.
            let (tell, heard) = sync_channel::<Total>(1);
            let share = script.connections / workers + usize::from(index < script.connections % workers);
            let stop = &stop;
            let handle =
                std::thread::Builder::new().name(format!("load-{index}")).spawn_scoped(scope, move || {
                    let crew = Crew::new(script, sends, (index, workers), share, start, plans.seed);
                    Worker::open(script, sends, plans, crew, clock, index)?.serve(start, stop, &tell)
                })?;
            running.push((handle, heard, Total::default()));
        }
        loop {
            std::thread::sleep(Duration::from_millis(50));
            let mut ended = true;
            for (handle, heard, last) in &mut running {
                ended &= handle.is_finished();
                match heard.try_recv() {
                    Ok(total) => *last = total,
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => {}
                }
            }
            let at = (clock.now() - start) as f64 / 1e6;
            let mut so_far = Total::default();
            running.iter().for_each(|(_, _, last)| so_far.merge(last));
            if !watch(at, &so_far) {
                stop.store(true, Ordering::Relaxed);
            }
            if ended {
                break;
            }
        }
        let mut total = Total::default();
        for (handle, _, _) in running {
            match handle.join() {
                Ok(part) => total.merge(&part?),
                Err(_) => bail!("a worker panicked"),
            }
        }
        Ok((total, Duration::from_micros((clock.now() - start).max(0) as u64)))
    })
}

struct Link {
    stream: Stream,
    /// Which connection of the crew; none for a request to cancel.
    conn: Option<usize>,
    key: (i32, Bytes),
    ready: bool,
    /// Its statement is prepared.
    prepared: bool,
    mute: bool,
    state: String,
    advice: Option<u64>,
    gone: bool,
}

struct Worker<'a> {
    script: &'a Script,
    sends: &'a [Send],
    plans: &'a Plans,
    crew: Crew<'a>,
    clock: Clock,
    poll: Poll,
    links: Slab<Link>,
    by_conn: BTreeMap<usize, usize>,
    dead: Vec<usize>,
    scratch: Vec<u8>,
    made: usize,
    index: usize,
    following: bool,
}

impl<'a> Worker<'a> {
    fn open(
        script: &'a Script,
        sends: &'a [Send],
        plans: &'a Plans,
        crew: Crew<'a>,
        clock: Clock,
        index: usize,
    ) -> Result<Worker<'a>> {
        Ok(Worker {
            script,
            sends,
            plans,
            crew,
            clock,
            poll: Poll::new()?,
            links: Slab::new(),
            by_conn: BTreeMap::new(),
            dead: Vec::new(),
            scratch: vec![0; 64 << 10],
            made: 0,
            index,
            following: false,
        })
    }

    fn serve(mut self, start: i64, stop: &AtomicBool, tell: &SyncSender<Total>) -> Result<Total> {
        let mut events = Events::with_capacity(4096);
        let mut next_told = start;
        let longest = self.script.streams.iter().map(|s| s.patience.0 .0).max().unwrap_or(0);
        let end = start + self.script.length.0 .0 + longest + 5_000_000;
        while !stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            self.crew.tick(now);
            self.follow();
            for id in std::mem::take(&mut self.dead) {
                if let Some(link) = self.links.try_remove(id) {
                    link.stream.close(self.poll.registry());
                }
            }
            if self.crew.done() || now >= end {
                break;
            }
            if now >= next_told {
                // One that waits to be taken is newer than nothing.
                let _ = tell.try_send(self.crew.total().clone());
                next_told = now + 500_000;
            }
            let next = self.crew.next().unwrap_or(end).min(next_told).min(now + 100_000);
            match self.poll.poll(&mut events, Some(self.clock.until(next))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            for event in &events {
                let Token(id) = event.token();
                if let Some(link) = self.links.get_mut(id).filter(|l| !l.gone) {
                    link.stream.handle_event(event);
                    self.attend(id);
                }
            }
        }
        Ok(self.crew.finish())
    }

    /// Does what the crew says, until it says nothing more. What it says meanwhile is done by the call under way: a target
    /// that breaks all it is sent must not nest calls without end.
    fn follow(&mut self) {
        if std::mem::replace(&mut self.following, true) {
            return;
        }
        loop {
            let todo = self.crew.todo();
            if todo.is_empty() {
                self.following = false;
                return;
            }
            for what in todo {
                match what {
                    Do::Open { conn, stream, tenant } => self.connect(conn, stream, tenant),
                    Do::Write { conn, send, job, left } => self.write(conn, send, job, left),
                    Do::Cancel { conn } => self.cancel(conn),
                    Do::Mute { conn } => {
                        if let Some(link) = self.by_conn.get(&conn).and_then(|l| self.links.get_mut(*l)) {
                            link.mute = true;
                        }
                    }
                    Do::Close { conn } => {
                        if let Some(id) = self.by_conn.remove(&conn) {
                            self.bury(id);
                        }
                    }
                }
            }
        }
    }

    fn bury(&mut self, id: usize) {
        if let Some(link) = self.links.get_mut(id).filter(|l| !l.gone) {
            link.gone = true;
            self.dead.push(id);
        }
    }

    fn link(
        &mut self,
        address: SocketAddr,
        source: Option<SocketAddr>,
        conn: Option<usize>,
    ) -> Option<usize> {
        let entry = self.links.vacant_entry();
        let id = entry.key();
        let stream = Stream::connect(source, address, self.poll.registry(), Token(id)).ok()?;
        entry.insert(Link {
            stream,
            conn,
            key: (0, Bytes::new()),
            ready: false,
            prepared: false,
            mute: false,
            state: String::new(),
            advice: None,
            gone: false,
        });
        Some(id)
    }

    fn connect(&mut self, conn: usize, stream: u32, tenant: usize) {
        let plans = self.plans;
        let nth = self.made * plans.workers.max(1) + self.index;
        self.made += 1;
        let target = plans.targets[nth % plans.targets.len()];
        // Beyond what one source address has ports for, another one of the loopback network.
        let hop = self.crew.connections_open() * plans.workers.max(1) / (A_SOURCE * plans.targets.len());
        let source = (hop > 0 && target.is_ipv4())
            .then(|| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2 + hop.min(200) as u8)), 0));
        let Some(id) = self.link(target, source, Some(conn)) else {
            return self.crew.broke(conn, self.clock.now());
        };
        self.by_conn.insert(conn, id);
        let user =
            self.script.streams[stream as usize].tenants.get(tenant).map_or(plans.user.as_str(), |t| &t.name);
        let hello =
            [("user", user), ("database", plans.database.as_str()), ("application_name", "wheelfield-load")];
        frontend_messages::put_startup(&hello, &mut self.links[id].stream.output);
    }

    fn write(&mut self, conn: usize, send: usize, job: u64, left: i64) {
        let Some(id) = self.by_conn.get(&conn).copied() else { return };
        let script = self.script;
        let q = &self.sends[send];
        let stream = &script.streams[q.stream as usize];
        // Workers number their queries apart.
        let name = format!("{}-{}-{job}", self.plans.seed, self.index);
        let text = stream.fill(q, &name, (left / 1000).max(1));
        let Some(link) = self.links.get_mut(id) else { return };
        let out = &mut link.stream.output;
        match stream.protocol {
            Protocol::Simple => frontend_messages::put_query(&text, out),
            Protocol::Extended => {
                frontend_messages::put(&Parse::new(None, text, Vec::new()), out);
                frontend_messages::put(&Bind::new(None, None, Vec::new(), Vec::new(), Vec::new()), out);
                frontend_messages::put(&Execute::new(None, 0), out);
                frontend_messages::put(&Sync::new(), out);
            }
            Protocol::Prepared => {
                if !std::mem::replace(&mut link.prepared, true) {
                    frontend_messages::put(&Parse::new(Some("s".into()), text, Vec::new()), out);
                }
                frontend_messages::put(
                    &Bind::new(None, Some("s".into()), Vec::new(), Vec::new(), Vec::new()),
                    out,
                );
                frontend_messages::put(&Execute::new(None, 0), out);
                frontend_messages::put(&Sync::new(), out);
            }
        }
        if link.stream.flush().is_err() {
            self.broke(id);
        }
    }

    fn cancel(&mut self, conn: usize) {
        let Some(link) = self.by_conn.get(&conn).and_then(|l| self.links.get(*l)) else { return };
        let (pid, key) = link.key.clone();
        let Ok(target) = link.stream.peer_address() else { return };
        if let Some(id) = self.link(target, None, None) {
            let link = &mut self.links[id];
            frontend_messages::put_cancel(pid, &key, &mut link.stream.output);
        }
    }

    fn broke(&mut self, id: usize) {
        let Some(link) = self.links.get(id).filter(|l| !l.gone) else { return };
        let conn = link.conn;
        self.bury(id);
        if let Some(conn) = conn {
            self.by_conn.remove(&conn);
            self.crew.broke(conn, self.clock.now());
            self.follow();
        }
    }

    fn attend(&mut self, id: usize) {
        let Some(link) = self.links.get_mut(id) else { return };
        match link.stream.check_connected() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => return self.broke(id),
        }
        let mut failed = link.stream.flush().is_err();
        if link.mute {
            if failed {
                self.broke(id);
            }
            return;
        }
        loop {
            let Some(link) = self.links.get_mut(id).filter(|l| !l.gone) else { return };
            failed |= link.stream.fill(READ, &mut self.scratch).is_err();
            match frame::take_message(&mut link.stream.input, READ) {
                Ok(Some((tag, message))) => self.on_message(id, tag, &message),
                Ok(None) => break,
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        let Some(link) = self.links.get_mut(id).filter(|l| !l.gone) else { return };
        link.stream.release_empty_input();
        if failed || link.stream.is_read_finished() {
            self.broke(id);
        }
    }

    fn on_message(&mut self, id: usize, tag: u8, message: &Bytes) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(id) else { return };
        let Some(conn) = link.conn else { return };
        match tag {
            b'K' => {
                if let Ok(key) = backend_messages::parse_backend_key_data(message) {
                    link.key = key;
                }
            }
            b'R' if message.get(5..9) != Some(&[0, 0, 0, 0]) && !link.ready => {
                // It asks for a password, and none is to be had.
                return self.broke(id);
            }
            b'E' => {
                let (state, _) = backend_messages::parse_sqlstate_and_message(message).unwrap_or_default();
                let text = String::from_utf8_lossy(message);
                let advice = text.split("retry_after_ms=").nth(1);
                link.advice =
                    advice.and_then(|a| a.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok());
                link.state = state;
                if !link.ready {
                    return self.broke(id);
                }
            }
            b'Z' if !link.ready => {
                link.ready = true;
                self.crew.opened(conn, now);
            }
            b'Z' => {
                let state = std::mem::take(&mut link.state);
                let advice = link.advice.take();
                let answer = if state.is_empty() { Answer::Served } else { Answer::Error(&state, advice) };
                self.crew.answered(conn, answer, now);
            }
            _ => {}
        }
        self.follow();
    }
}
