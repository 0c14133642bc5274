//! The loop around a controller without I/O, whichever protocol it speaks: listeners, datagrams, signals and time in; effects
//! out. One thread.

use crate::sockets::Sockets;
use anyhow::{Context, Result};
use mio::net::{TcpListener, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Registry, Token};
use std::io::{ErrorKind, Read as _};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::warn;
use wheelfield_net::{datagrams, listen, Clock};
use wheelfield_sans_io::{DatagramSocket, Effect, IoEvent, Listener, Protocol};

/// Events heard at a time, and so often in one turn of the loop. Guards against acting on a part of what has happened: a client's
/// departure may lie behind all else.
const EVENTS: usize = 256;
const HEARINGS: usize = 64;
/// Accepted in one turn of the loop; the rest waits for the next.
const ACCEPTS: usize = 256;
/// As listening ends, so many times as many are taken: more than any backlog holds.
const BACKLOGS: usize = 32;
/// Datagrams read in one turn.
const HEARD: usize = 512;
/// Longest datagram that is read whole; a longer one is cut, and is not understood. A name service's answer has 8,000 bytes.
const DATAGRAM: usize = 16 << 10;
/// Rounds of effects before the sockets are looked at again: a long answer takes one for each 64 kB, and is not to hold up others.
const ROUNDS: usize = 16;
/// Where no more connections can be had, it is tried again after so many microseconds.
const ACCEPT_AGAIN: i64 = 50_000;

/// Tokens of doors, ports and bells; numbers of connections are far above.
const DOORS: usize = 0;
const PORTS: usize = 8;
const BELLS: usize = 16;

/// What is done with a controller when something outside its sockets happened, at a time.
pub(crate) type Hand<C> = Box<dyn FnMut(&mut C, i64)>;

/// A listening socket.
struct Listening {
    socket: TcpListener,
    door: Listener,
    /// More may wait, though the system will not tell so.
    again: Option<i64>,
    /// Connections could not be had, and that was told.
    failing: bool,
}

impl Listening {
    /// Takes those who wait, so many at a time; true if more may wait.
    fn take(
        &mut self,
        sockets: &mut Sockets,
        core: &mut dyn Protocol,
        registry: &Registry,
        now: i64,
    ) -> bool {
        self.again = None;
        for _ in 0..ACCEPTS {
            match self.socket.accept() {
                Ok((tcp, _)) => {
                    self.failing = false;
                    if let Some(id) = core.accept(now, self.door) {
                        sockets.accepted(id, tcp, registry, core, now);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // It had gone before it was taken.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // No descriptors or memory left: those that wait stay in the backlog for a moment.
                    if !std::mem::replace(&mut self.failing, true) {
                        warn!(fault = %e, door = ?self.door, "no more connections can be taken for now");
                    }
                    self.again = Some(now + ACCEPT_AGAIN);
                    return false;
                }
            }
        }
        // More may wait, and the listener will not tell of them again.
        self.again = Some(now);
        true
    }
}

/// Who hears what has happened, and when.
trait Hears {
    /// Waits for so long at most until something has happened; whether more may have than was heard.
    fn hear(&mut self, wait: Duration) -> std::io::Result<bool>;
    /// The time.
    fn time(&mut self) -> i64;
    /// Acts on what was heard, as of a time.
    fn act(&mut self, now: i64);
    /// Whether a timer is due at a time.
    fn due(&self, now: i64) -> bool;
}

/// Waits for so long at most until something has happened, and hears all that had by the time that it gives. Guards against acting
/// on timers before what came ahead of them: a process that stands still between hearing and looking at the clock finds them due, and
/// has heard nothing of what happened meanwhile.
fn hear_all(ears: &mut impl Hears, mut wait: Duration) -> std::io::Result<i64> {
    // The time, looked at before the hearing under way.
    let mut looked = None;
    for _ in 0..HEARINGS {
        let more = match ears.hear(std::mem::take(&mut wait)) {
            // Nothing is known of what has happened meanwhile: a process that was stopped and goes on comes here.
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            heard => heard?,
        };
        let now = looked.unwrap_or_else(|| ears.time());
        ears.act(now);
        if !more && (looked.is_some() || !ears.due(now)) {
            return Ok(now);
        }
        looked = Some(if more { ears.time() } else { now });
    }
    Ok(looked.unwrap_or_else(|| ears.time()))
}

/// A controller on its sockets.
pub(crate) struct Shell<C> {
    pub core: C,
    pub clock: Clock,
    pub now: i64,
    poll: Poll,
    events: Events,
    sockets: Sockets,
    listening: Vec<Listening>,
    ports: Vec<(DatagramSocket, UdpSocket)>,
    bells: Vec<(UnixStream, Hand<C>)>,
    each_turn: Vec<Hand<C>>,
    effects: Vec<Effect>,
    stopped: bool,
}

fn door_token(door: Listener) -> Token {
    Token(DOORS + door as usize)
}

fn port_token(port: DatagramSocket) -> Token {
    Token(PORTS + port as usize)
}

impl<C: Protocol> Shell<C> {
    /// A shell with no sockets yet. `make` is given the time.
    ///
    /// # Errors
    /// As the system tells, or as `make` does.
    pub fn new(clock: Clock, make: impl FnOnce(i64) -> Result<C>) -> Result<Shell<C>> {
        let now = clock.now();
        Ok(Shell {
            core: make(now)?,
            clock,
            now,
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            sockets: Sockets::new(),
            listening: Vec::new(),
            ports: Vec::new(),
            bells: Vec::new(),
            each_turn: Vec::new(),
            effects: Vec::new(),
            stopped: false,
        })
    }

    /// Listens for those who come by a door.
    ///
    /// # Errors
    /// As the system tells.
    pub fn listen(&mut self, door: Listener, mut socket: TcpListener) -> Result<()> {
        self.poll.registry().register(&mut socket, door_token(door), Interest::READABLE)?;
        self.listening.push(Listening { socket, door, again: None, failing: false });
        Ok(())
    }

    /// Takes datagrams of a port.
    ///
    /// # Errors
    /// As the system tells.
    pub fn hear_on(&mut self, port: DatagramSocket, mut socket: UdpSocket) -> Result<()> {
        self.poll.registry().register(&mut socket, port_token(port), Interest::READABLE)?;
        self.ports.push((port, socket));
        Ok(())
    }

    /// A byte on this stream has `hand` called.
    ///
    /// # Errors
    /// As the system tells.
    pub fn bell(&mut self, signal: std::os::unix::net::UnixStream, hand: Hand<C>) -> Result<()> {
        signal.set_nonblocking(true)?;
        let mut bell = UnixStream::from_std(signal);
        let token = Token(BELLS + self.bells.len());
        self.poll.registry().register(&mut bell, token, Interest::READABLE)?;
        self.bells.push((bell, hand));
        Ok(())
    }

    /// `hand` is called in each turn of the loop.
    pub fn each_turn(&mut self, hand: Hand<C>) {
        self.each_turn.push(hand);
    }

    /// Where a door is, if it is open.
    pub fn address(&self, door: Listener) -> Option<SocketAddr> {
        self.listening.iter().find(|l| l.door == door)?.socket.local_addr().ok()
    }

    /// Where a port is.
    pub fn port(&self, port: DatagramSocket) -> Option<SocketAddr> {
        self.ports.iter().find(|(p, _)| *p == port)?.1.local_addr().ok()
    }

    /// Serves until the controller has stopped.
    ///
    /// # Errors
    /// As the system tells of the poll itself; a connection's trouble is its own.
    pub fn run(&mut self) -> Result<()> {
        while !self.stopped {
            let wait = if self.carry_out() { Duration::ZERO } else { self.wait() };
            self.now = hear_all(self, wait)?;
            for at in 0..self.listening.len() {
                if self.listening[at].again.is_some_and(|again| again <= self.now) {
                    let (core, registry) = (&mut self.core, self.poll.registry());
                    self.listening[at].take(&mut self.sockets, core, registry, self.now);
                }
            }
            for hand in &mut self.each_turn {
                hand(&mut self.core, self.now);
            }
            self.core.handle_timers(self.now);
        }
        Ok(())
    }

    /// Until something is due.
    fn wait(&self) -> Duration {
        let again = self.listening.iter().filter_map(|l| l.again);
        let next = again.chain(self.core.next_timer_at()).min();
        next.map_or(Duration::from_secs(1), |at| self.clock.until(at))
    }

    /// Carries out effects; true if there are more.
    pub fn carry_out(&mut self) -> bool {
        let registry = self.poll.registry();
        let (sockets, core, now) = (&mut self.sockets, &mut self.core, self.now);
        for _ in 0..ROUNDS {
            core.take_effects(&mut self.effects);
            if self.effects.is_empty() {
                return false;
            }
            for effect in self.effects.drain(..) {
                match effect {
                    Effect::Connect(id, to) => sockets.connect(id, to, registry, core, now),
                    Effect::Write(id) => sockets.write(id, core, now),
                    Effect::ResumeReading(id) => sockets.read(id, core, now),
                    Effect::Close(id) => sockets.close(id, registry),
                    Effect::Send(port, to, datagram) => {
                        let socket = self.ports.iter().find(|(p, _)| *p == port);
                        // What can't go is lost, as datagrams may be.
                        let _ = socket.map(|(_, s)| s.send_to(&datagram, to));
                    }
                    Effect::StopListening => {
                        // Guards against breaking connections that the system has taken for us, with their calls: closing resets
                        // whoever still waits.
                        for l in self.listening.iter_mut().filter(|l| l.door == Listener::Clients) {
                            for _ in 0..BACKLOGS {
                                if !l.take(sockets, core, registry, now) {
                                    break;
                                }
                            }
                            let _ = registry.deregister(&mut l.socket);
                        }
                        self.listening.retain(|l| l.door != Listener::Clients);
                    }
                    Effect::Stopped => self.stopped = true,
                }
            }
        }
        true
    }

    fn on_event(&mut self, event: &mio::event::Event) {
        let token = event.token();
        if token.0 >= BELLS + self.bells.len() {
            return self.sockets.on(event, &mut self.core, self.now);
        }
        if let Some(l) = self.listening.iter_mut().find(|l| door_token(l.door) == token) {
            // Once all else of this turn is heard: whoever must make room for a new one may have asked just now.
            l.again = Some(self.now);
        } else if let Some(at) = self.ports.iter().position(|(port, _)| port_token(*port) == token) {
            self.hear(at);
        } else if let Some((bell, hand)) = token.0.checked_sub(BELLS).and_then(|at| self.bells.get_mut(at)) {
            let mut bytes = [0; 64];
            while matches!(bell.read(&mut bytes), Ok(n) if n > 0) {}
            hand(&mut self.core, self.now);
        }
    }

    /// Reads datagrams.
    fn hear(&mut self, at: usize) {
        let (port, socket) = &mut self.ports[at];
        let mut buffer = [0; DATAGRAM];
        for _ in 0..HEARD {
            match socket.recv_from(&mut buffer) {
                Ok((n, from)) => {
                    self.core.handle_io(self.now, IoEvent::Datagram(*port, from, &buffer[..n]));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // One that is not there any more shows as an error of the socket.
                Err(_) => {}
            }
        }
        // More wait: ask to be told again.
        let _ = self.poll.registry().reregister(socket, port_token(*port), Interest::READABLE);
    }
}

impl<C: Protocol> Hears for Shell<C> {
    fn hear(&mut self, wait: Duration) -> std::io::Result<bool> {
        self.poll.poll(&mut self.events, Some(wait))?;
        Ok(self.events.iter().count() >= EVENTS)
    }

    fn time(&mut self) -> i64 {
        self.clock.now()
    }

    fn act(&mut self, now: i64) {
        self.now = now;
        let events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        for event in &events {
            self.on_event(event);
        }
        self.events = events;
    }

    fn due(&self, now: i64) -> bool {
        self.core.next_timer_at().is_some_and(|at| at <= now)
    }
}

/// Binds a listening socket.
///
/// # Errors
/// As the system tells.
pub(crate) fn bind(address: SocketAddr, backlog: u32) -> Result<TcpListener> {
    listen(address, backlog).with_context(|| format!("cannot listen on {address}"))
}

/// Binds a datagram socket.
///
/// # Errors
/// As the system tells.
pub(crate) fn bind_datagrams(address: SocketAddr, what: &str) -> Result<UdpSocket> {
    datagrams(address).with_context(|| format!("cannot listen for {what} on {address}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A process whose clock moves on by `still` as it is looked at for the `at`-th time, as if it had stood still just before, and
    /// meanwhile so much happens as is told.
    struct Still {
        now: i64,
        looks: usize,
        at: usize,
        still: i64,
        /// When what happens does, and what was heard of it.
        happens: Vec<i64>,
        heard: Vec<i64>,
        interrupted: bool,
        /// Heard at a time.
        most: usize,
    }

    const TIMER: i64 = 1_000;

    impl Hears for Still {
        fn hear(&mut self, wait: Duration) -> std::io::Result<bool> {
            if std::mem::take(&mut self.interrupted) {
                self.now += self.still;
                return Err(ErrorKind::Interrupted.into());
            }
            self.now += wait.as_micros() as i64;
            let here = self.happens.iter().filter(|at| **at <= self.now).count().min(self.most);
            self.heard.extend(self.happens.drain(..here));
            Ok(here == self.most)
        }

        fn time(&mut self) -> i64 {
            self.looks += 1;
            if self.looks == self.at {
                self.now += self.still;
            }
            self.now
        }

        fn act(&mut self, _: i64) {}

        fn due(&self, now: i64) -> bool {
            now >= TIMER
        }
    }

    #[test]
    fn all_that_came_before_a_timer_was_due_is_heard_before_it_wherever_the_process_stood_still() {
        let ways =
            (0..4usize).flat_map(|at| [(at, false, 300), (at, true, 300), (at, false, 2), (at, true, 2)]);
        for (at, interrupted, most) in ways {
            let happens = vec![100, 200, 300, 900, 5_000, 5_500, 9_000];
            let mut process =
                Still { now: 0, looks: 0, at, still: 6_000, happens, heard: Vec::new(), interrupted, most };
            for _ in 0..9 {
                let now = hear_all(&mut process, Duration::from_micros(500)).expect("heard");
                let unheard = process.happens.iter().filter(|at| **at <= now).count();
                assert_eq!(unheard, 0, "at {now}: stood still at look {at}, {interrupted}, {most} at a time");
            }
            assert!(process.now >= TIMER && process.heard.len() >= 4);
        }
    }
}
