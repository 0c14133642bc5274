//! The event loop around a sans-I/O controller, whichever protocol it speaks: sockets, datagrams, signals and time go
//! in as events; the effects that the controller returns are carried out. One thread on mio.

mod acceptor;
mod connections;
mod datagrams;
mod lateness;
mod polling;
#[cfg(test)]
mod tests;
mod wakeup;

use acceptor::Acceptor;
use connections::ConnectionSockets;
use datagrams::DatagramPort;
use lateness::Lateness;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Poll, Registry, Token};
use polling::{poll_until_current, EventSource};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use wakeup::Wakeup;
use wheelfield_net::Clock;
use wheelfield_sans_io::{DatagramSocket, Effect, Listener, Protocol};

/// Events taken from the system in one poll.
const EVENTS_PER_POLL: usize = 256;
/// Rounds of effects before the sockets are polled again: a long answer takes one round for each 64 kB and must not hold
/// up the other connections.
const EFFECT_ROUNDS: usize = 16;
/// How long a poll waits when no timer is set.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// First token of the listeners, the datagram sockets and the wake-up streams. Tokens of connections are far above, as
/// [`wheelfield_sans_io::ConnId`] is at least 2 to the power of 61.
const LISTENER_TOKENS: usize = 0;
const DATAGRAM_TOKENS: usize = 8;
const WAKEUP_TOKENS: usize = 16;

/// Called with the controller and the time, in microseconds.
pub(crate) type Handler<P> = Box<dyn FnMut(&mut P, i64)>;

/// Whether more may be pending than was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remaining {
    Nothing,
    Possibly,
}

/// What handling a socket needs: where it is registered, who is notified, and the time in microseconds.
struct IoContext<'a> {
    registry: &'a Registry,
    protocol: &'a mut dyn Protocol,
    now: i64,
    /// The earliest time at which what is reported in this turn can have arrived.
    arrivals_since: i64,
}

impl IoContext<'_> {
    /// Does something that may find what has arrived since a time, earlier than what else is reported in this turn.
    fn with_arrivals_since<T>(&mut self, since: i64, act: impl FnOnce(&mut Self) -> T) -> T {
        let outer = self.arrivals_since;
        self.arrivals_since = outer.min(since);
        self.protocol.set_earliest_arrival(self.arrivals_since);
        let result = act(self);
        self.arrivals_since = outer;
        self.protocol.set_earliest_arrival(outer);
        result
    }
}

/// A controller on its sockets.
pub(crate) struct EventLoop<P> {
    /// The controller.
    pub protocol: P,
    /// The clock of this process.
    pub clock: Clock,
    /// The time of this turn of the loop, in microseconds.
    pub now: i64,
    poll: Poll,
    lateness: Lateness,
    /// The earliest time at which what is reported in this turn can have arrived.
    arrivals_since: i64,
    events: Events,
    connections: ConnectionSockets,
    acceptors: Vec<Acceptor>,
    datagram_ports: Vec<DatagramPort>,
    wakeups: Vec<Wakeup<P>>,
    turn_handlers: Vec<Handler<P>>,
    effects: Vec<Effect>,
    /// The last turn was put off, as it had become late before anything was done in it.
    is_put_off: bool,
    stopped: bool,
}

impl<P: Protocol> EventLoop<P> {
    /// An event loop without sockets, at the time `now` of the clock.
    ///
    /// # Errors
    /// If the system gives no poll.
    pub fn new(clock: Clock, now: i64, protocol: P) -> io::Result<EventLoop<P>> {
        Ok(EventLoop {
            protocol,
            clock,
            now,
            poll: Poll::new()?,
            lateness: Lateness::new(now),
            arrivals_since: now,
            events: Events::with_capacity(EVENTS_PER_POLL),
            connections: ConnectionSockets::new(),
            acceptors: Vec::new(),
            datagram_ports: Vec::new(),
            wakeups: Vec::new(),
            turn_handlers: Vec::new(),
            effects: Vec::new(),
            is_put_off: false,
            stopped: false,
        })
    }

    /// Accepts connections from a listening socket.
    ///
    /// # Errors
    /// If the socket cannot be registered.
    pub fn add_listener(&mut self, listener: Listener, socket: TcpListener) -> io::Result<()> {
        self.acceptors
            .push(Acceptor::register(listener, socket, self.poll.registry())?);
        Ok(())
    }

    /// Receives and sends datagrams on a socket.
    ///
    /// # Errors
    /// If the socket cannot be registered.
    pub fn add_datagram_socket(
        &mut self,
        name: DatagramSocket,
        socket: UdpSocket,
    ) -> io::Result<()> {
        self.datagram_ports
            .push(DatagramPort::register(name, socket, self.poll.registry())?);
        Ok(())
    }

    /// Calls `handler` whenever bytes arrive on a stream: once for all that wait there.
    ///
    /// # Errors
    /// If the stream cannot be registered.
    pub fn add_wakeup(&mut self, stream: UnixStream, handler: Handler<P>) -> io::Result<()> {
        let token = Token(WAKEUP_TOKENS + self.wakeups.len());
        self.wakeups.push(Wakeup::register(
            stream,
            handler,
            token,
            self.poll.registry(),
        )?);
        Ok(())
    }

    /// Calls `handler` in each turn of the loop.
    pub fn add_turn_handler(&mut self, handler: Handler<P>) {
        self.turn_handlers.push(handler);
    }

    /// The address of a listener; `None` if it is not or no longer open.
    pub fn listener_address(&self, listener: Listener) -> Option<SocketAddr> {
        self.acceptors
            .iter()
            .find(|a| a.listener() == listener)?
            .local_address()
    }

    /// The address of a datagram socket.
    pub fn datagram_address(&self, name: DatagramSocket) -> Option<SocketAddr> {
        self.datagram_ports
            .iter()
            .find(|p| p.name() == name)?
            .local_address()
    }

    /// Serves until the controller has stopped.
    ///
    /// # Errors
    /// If polling fails. A fault of one connection ends that connection only.
    pub fn run(&mut self) -> io::Result<()> {
        while !self.stopped {
            let timeout = match self.is_put_off {
                true => Duration::ZERO,
                false => self.apply_effects_until_poll(),
            };
            self.lateness.begin_poll(self.clock.now(), timeout);
            self.now = poll_until_current(self, timeout)?;
            self.receive_pending();
            self.retry_connections();
            self.accept_pending();
            for handler in &mut self.turn_handlers {
                handler(&mut self.protocol, self.now);
            }
            self.is_put_off = !self.is_put_off && self.has_become_late();
            if !self.is_put_off {
                self.protocol.handle_timers(self.now);
            }
        }
        Ok(())
    }

    /// Whether the process was suspended since the clock was read for this turn. Acting by that time would send attempts with time
    /// that their clients no longer have, and for clients that have left meanwhile; so the turn is put off, once, and what has come
    /// is read first.
    fn has_become_late(&self) -> bool {
        lateness::is_late(self.now, self.clock.now())
    }

    /// Carries out the effects that wait; for how long to poll then.
    fn apply_effects_until_poll(&mut self) -> Duration {
        let remaining = self.apply_effects();
        let has_datagrams = self.datagram_ports.iter().any(DatagramPort::is_pending);
        if remaining == Remaining::Possibly || has_datagrams {
            Duration::ZERO
        } else {
            self.poll_timeout()
        }
    }

    /// Carries out the effects that remain when the loop has ended.
    pub fn apply_last_effects(&mut self) {
        self.apply_effects();
    }

    /// Time until the next timer, accept or repeated call is due.
    fn poll_timeout(&self) -> Duration {
        let accepts = self.acceptors.iter().filter_map(Acceptor::accept_at);
        let retry = self.connections.retry_at();
        let datagrams = self
            .datagram_ports
            .iter()
            .filter_map(DatagramPort::retry_at);
        let next = accepts
            .chain(retry)
            .chain(datagrams)
            .chain(self.protocol.next_timer_at())
            .min();
        next.map_or(IDLE_POLL_TIMEOUT, |at| self.clock.until(at))
    }

    /// Receives datagrams that an earlier turn left.
    fn receive_pending(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            arrivals_since: self.arrivals_since,
        };
        for port in &mut self.datagram_ports {
            port.receive_pending(&mut io);
        }
    }

    /// Repeats calls on connections that failed for the moment.
    fn retry_connections(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            arrivals_since: self.arrivals_since,
        };
        self.connections.retry(&mut io);
    }

    /// Accepts from the listeners where connections may wait. It comes after all events of the turn, since a connection
    /// that makes place for a new one may have closed among them.
    fn accept_pending(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            arrivals_since: self.arrivals_since,
        };
        self.acceptors.retain_mut(|acceptor| {
            if acceptor.accept_at().is_none_or(|at| at > io.now) {
                return true;
            }
            let remaining = acceptor.accept_batch(&mut self.connections, &mut io);
            let ends = acceptor.may_end(remaining, io.now);
            if ends {
                acceptor.deregister(io.registry);
                io.protocol.handle_listening_stopped(io.now);
            }
            !ends
        });
    }

    /// Carries out effects, up to the rounds of one turn.
    fn apply_effects(&mut self) -> Remaining {
        for _ in 0..EFFECT_ROUNDS {
            let mut effects = std::mem::take(&mut self.effects);
            self.protocol.take_effects(&mut effects);
            let finished = effects.is_empty();
            let mut became_late = false;
            for effect in effects.drain(..) {
                became_late |= self.take_back_if_stale(&effect);
                self.apply_effect(effect);
            }
            self.effects = effects;
            if became_late {
                // What has come meanwhile is read before anything more is decided.
                return Remaining::Possibly;
            }
            if finished {
                return Remaining::Nothing;
            }
        }
        Remaining::Possibly
    }

    /// Has the controller take back what it is about to write, if the process was suspended since that was decided. Whether it was.
    fn take_back_if_stale(&mut self, effect: &Effect) -> bool {
        let Effect::Write(id) = effect else {
            return false;
        };
        let now = self.clock.now();
        let is_stale = lateness::is_stale(self.now, now);
        if is_stale {
            self.protocol.withdraw_stale_output(now, *id);
        }
        is_stale
    }

    fn apply_effect(&mut self, effect: Effect) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            arrivals_since: self.arrivals_since,
        };
        match effect {
            Effect::Connect(id, address) => self.connections.connect(id, address, &mut io),
            Effect::Write(id) => self.connections.write(id, &mut io),
            Effect::ResumeReading(id) => self.connections.read(id, &mut io),
            Effect::Close(id) => self.connections.close(id, io.registry),
            Effect::Send(name, address, datagram) => {
                let port = self.datagram_ports.iter().find(|p| p.name() == name);
                if port.is_some_and(|port| !port.send(&datagram, address)) {
                    io.protocol.handle_datagram_send_failure(io.now, name);
                }
            }
            Effect::StopListening => self.stop_listening(),
            Effect::Stopped => self.stopped = true,
        }
    }

    /// Has the listener for clients end, as soon as the clients that wait already are accepted.
    fn stop_listening(&mut self) {
        let mut acceptors = self.acceptors.iter_mut();
        match acceptors.find(|acceptor| acceptor.listener() == Listener::Clients) {
            Some(acceptor) => acceptor.begin_end(self.now),
            None => self.protocol.handle_listening_stopped(self.now),
        }
        self.accept_pending();
    }

    /// Hands an event of the poll to the socket that it belongs to.
    fn dispatch_event(&mut self, event: &mio::event::Event) {
        let token = event.token();
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            arrivals_since: self.arrivals_since,
        };
        if token.0 >= WAKEUP_TOKENS + self.wakeups.len() {
            self.connections.handle_event(event, &mut io);
        } else if let Some(acceptor) = self.acceptors.iter_mut().find(|a| a.token() == token) {
            acceptor.schedule_accept(self.now);
        } else if let Some(port) = self.datagram_ports.iter_mut().find(|p| p.token() == token) {
            port.receive(&mut io);
        } else if let Some(wakeup) = token
            .0
            .checked_sub(WAKEUP_TOKENS)
            .and_then(|n| self.wakeups.get_mut(n))
        {
            wakeup.handle(&mut self.protocol, self.now);
        }
    }
}

impl<P: Protocol> EventSource for EventLoop<P> {
    fn poll(&mut self, timeout: Duration) -> io::Result<Remaining> {
        self.poll.poll(&mut self.events, Some(timeout))?;
        let is_full = self.events.iter().count() >= EVENTS_PER_POLL;
        Ok(if is_full {
            Remaining::Possibly
        } else {
            Remaining::Nothing
        })
    }

    fn read_clock(&mut self) -> i64 {
        self.clock.now()
    }

    fn dispatch(&mut self, now: i64) {
        self.now = now;
        self.protocol.begin_iteration(now);
        if let Some(since) = self.lateness.end_poll(now) {
            self.arrivals_since = since;
            self.protocol.set_earliest_arrival(since);
        }
        let events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        for event in &events {
            self.dispatch_event(event);
        }
        self.events = events;
    }

    fn is_timer_due(&self, now: i64) -> bool {
        self.protocol.next_timer_at().is_some_and(|at| at <= now)
    }
}
