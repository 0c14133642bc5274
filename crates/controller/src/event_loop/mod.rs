//! The event loop that runs a sans-I/O controller, independent of its protocol. The loop passes socket data, datagrams,
//! signals and the time to the controller as events and applies the effects that it returns. It runs in one thread, on mio.

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
use lateness::LatenessDetector;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Poll, Registry, Token};
use polling::{poll_until_current, EventSource};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tracing::trace;
use wakeup::Wakeup;
use wheelfield_net::Clock;
use wheelfield_sans_io::{DatagramSocket, Effect, Listener, Protocol};

/// Maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Maximum number of rounds of effects before the sockets are polled again. A long answer takes one round for each 64 kB
/// and must not delay the other connections.
const MAX_EFFECT_ROUNDS: usize = 16;
/// Timeout of a poll when no timer is set.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The first tokens of the listeners, the datagram sockets and the wake-up streams. The tokens of connections are far higher,
/// because a [`wheelfield_sans_io::ConnId`] is at least 2 to the power of 61.
const FIRST_LISTENER_TOKEN: usize = 0;
const FIRST_DATAGRAM_TOKEN: usize = 8;
const FIRST_WAKEUP_TOKEN: usize = 16;

/// A callback that receives the controller and the time in microseconds.
pub(crate) type Handler<P> = Box<dyn FnMut(&mut P, i64)>;

/// Whether events or other work may be pending after a bounded batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remaining {
    Nothing,
    Possibly,
}

/// The context for handling a socket. Times are in microseconds.
struct IoContext<'a> {
    registry: &'a Registry,
    protocol: &'a mut dyn Protocol,
    now: i64,
    /// The earliest time at which the events reported in this iteration can have arrived.
    earliest_arrival: i64,
}

impl IoContext<'_> {
    /// Runs `act`, which may report events that arrived since a time earlier than that of the iteration's other events.
    fn with_earliest_arrival<T>(&mut self, since: i64, act: impl FnOnce(&mut Self) -> T) -> T {
        let outer = self.earliest_arrival;
        self.earliest_arrival = outer.min(since);
        self.protocol.set_earliest_arrival(self.earliest_arrival);
        let result = act(self);
        self.earliest_arrival = outer;
        self.protocol.set_earliest_arrival(outer);
        result
    }
}

/// An event loop with the controller and the sockets that it serves. Times are in microseconds.
pub(crate) struct EventLoop<P> {
    /// The sans-I/O controller.
    pub protocol: P,
    /// The monotonic clock of this process.
    pub clock: Clock,
    /// The time of the current iteration.
    pub now: i64,
    poll: Poll,
    lateness: LatenessDetector,
    /// The earliest time at which the events reported in this iteration can have arrived.
    earliest_arrival: i64,
    events: Events,
    connections: ConnectionSockets,
    acceptors: Vec<Acceptor>,
    datagram_ports: Vec<DatagramPort>,
    wakeups: Vec<Wakeup<P>>,
    iteration_handlers: Vec<Handler<P>>,
    effects: Vec<Effect>,
    /// Number of polls so far, which tells in the log which events were found together.
    polls: u64,
    /// The timers and effects of the last iteration were deferred, because it had become late before it got to them.
    is_deferred: bool,
    stopped: bool,
}

impl<P: Protocol> EventLoop<P> {
    /// Creates an event loop without sockets. `now` is the current time of the clock.
    ///
    /// # Errors
    /// Returns an error if the system cannot create a poll instance.
    pub fn new(clock: Clock, now: i64, protocol: P) -> io::Result<EventLoop<P>> {
        Ok(EventLoop {
            protocol,
            clock,
            now,
            poll: Poll::new()?,
            lateness: LatenessDetector::new(now),
            earliest_arrival: now,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            connections: ConnectionSockets::new(),
            acceptors: Vec::new(),
            datagram_ports: Vec::new(),
            wakeups: Vec::new(),
            iteration_handlers: Vec::new(),
            effects: Vec::new(),
            polls: 0,
            is_deferred: false,
            stopped: false,
        })
    }

    /// Adds a listening socket, whose connections the loop accepts.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be registered.
    pub fn add_listener(&mut self, listener: Listener, socket: TcpListener) -> io::Result<()> {
        self.acceptors
            .push(Acceptor::register(listener, socket, self.poll.registry())?);
        Ok(())
    }

    /// Adds a socket for receiving and sending datagrams.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be registered.
    pub fn add_datagram_socket(
        &mut self,
        name: DatagramSocket,
        socket: UdpSocket,
    ) -> io::Result<()> {
        self.datagram_ports
            .push(DatagramPort::register(name, socket, self.poll.registry())?);
        Ok(())
    }

    /// Adds a stream and a handler that is called whenever bytes arrive on it, once for all pending bytes.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be registered.
    pub fn add_wakeup(&mut self, stream: UnixStream, handler: Handler<P>) -> io::Result<()> {
        let token = Token(FIRST_WAKEUP_TOKEN + self.wakeups.len());
        self.wakeups.push(Wakeup::register(
            stream,
            handler,
            token,
            self.poll.registry(),
        )?);
        Ok(())
    }

    /// Adds a handler that is called in each iteration of the loop.
    pub fn add_iteration_handler(&mut self, handler: Handler<P>) {
        self.iteration_handlers.push(handler);
    }

    /// Returns the address of a listener, or `None` if it is not open.
    pub fn listener_address(&self, listener: Listener) -> Option<SocketAddr> {
        self.acceptors
            .iter()
            .find(|a| a.listener() == listener)?
            .local_address()
    }

    /// Returns the address of a datagram socket, or `None` if there is no such socket.
    pub fn datagram_address(&self, name: DatagramSocket) -> Option<SocketAddr> {
        self.datagram_ports
            .iter()
            .find(|p| p.name() == name)?
            .local_address()
    }

    /// Runs the loop until the controller has stopped.
    ///
    /// # Errors
    /// Returns an error if polling fails. An error of a connection closes only that connection.
    pub fn run(&mut self) -> io::Result<()> {
        while !self.stopped {
            let timeout = match self.is_deferred {
                true => Duration::ZERO,
                false => self.apply_effects_until_poll(),
            };
            self.lateness.begin_poll(self.clock.now(), timeout);
            self.connections.begin_iteration();
            self.now = poll_until_current(self, timeout)?;
            self.receive_pending();
            self.continue_connections();
            self.accept_pending();
            for handler in &mut self.iteration_handlers {
                handler(&mut self.protocol, self.now);
            }
            self.is_deferred = !self.is_deferred && self.is_iteration_late();
            if !self.is_deferred {
                self.protocol.handle_timers(self.now);
            }
        }
        Ok(())
    }

    /// Returns whether the process was suspended since the clock was read for this iteration. Decisions by that reading would
    /// give attempts more time than their clients still have, and would send queries of clients that have left meanwhile.
    /// Therefore the timers and effects of such an iteration are deferred once, until the events that arrived are read.
    fn is_iteration_late(&self) -> bool {
        lateness::is_late(self.now, self.clock.now())
    }

    /// Applies the pending effects and returns the timeout of the poll that follows.
    fn apply_effects_until_poll(&mut self) -> Duration {
        let remaining = self.apply_effects();
        let has_datagrams = self.datagram_ports.iter().any(DatagramPort::is_pending);
        let has_input = has_datagrams || self.connections.has_deferred_reads();
        if remaining == Remaining::Possibly || has_input {
            Duration::ZERO
        } else {
            self.poll_timeout()
        }
    }

    /// Applies the effects that remain after the loop has ended.
    pub fn apply_last_effects(&mut self) {
        self.apply_effects();
    }

    /// Returns the time until the next timer, accept or retry is due.
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

    /// Receives the datagrams that an earlier iteration left in the sockets.
    fn receive_pending(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            earliest_arrival: self.earliest_arrival,
        };
        for port in &mut self.datagram_ports {
            port.receive_pending(&mut io);
        }
    }

    /// Continues reads that an earlier iteration deferred, and retries calls on connections that failed with transient errors.
    fn continue_connections(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            earliest_arrival: self.earliest_arrival,
        };
        self.connections.continue_reads(&mut io);
        self.connections.retry(&mut io);
    }

    /// Accepts from the listeners whose backlog may hold connections. This follows all events of the iteration, since these
    /// may include the end of a connection that makes room for a new one.
    fn accept_pending(&mut self) {
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            earliest_arrival: self.earliest_arrival,
        };
        self.acceptors.retain_mut(|acceptor| {
            if acceptor.accept_at().is_none_or(|at| at > io.now) {
                return true;
            }
            let remaining = acceptor.accept_batch(&mut self.connections, &mut io);
            let can_close = acceptor.can_close(remaining, io.now);
            if can_close {
                acceptor.deregister(io.registry);
                io.protocol.handle_listening_stopped(io.now);
            }
            !can_close
        });
    }

    /// Applies effects, up to the maximum number of rounds of one iteration.
    fn apply_effects(&mut self) -> Remaining {
        for _ in 0..MAX_EFFECT_ROUNDS {
            let mut effects = std::mem::take(&mut self.effects);
            self.protocol.take_effects(&mut effects);
            let finished = effects.is_empty();
            let mut became_late = false;
            for effect in effects.drain(..) {
                became_late |= self.withdraw_if_stale(&effect);
                self.apply_effect(effect);
            }
            self.effects = effects;
            if became_late {
                // Read the events that arrived meanwhile before more decisions are made.
                return Remaining::Possibly;
            }
            if finished {
                return Remaining::Nothing;
            }
        }
        Remaining::Possibly
    }

    /// If the process was suspended since the controller decided what to write, lets the controller withdraw that output.
    /// Returns whether the output was stale.
    fn withdraw_if_stale(&mut self, effect: &Effect) -> bool {
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
            earliest_arrival: self.earliest_arrival,
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

    /// Begins to close the listener for clients, which happens once the connections in its backlog are accepted.
    fn stop_listening(&mut self) {
        let mut acceptors = self.acceptors.iter_mut();
        match acceptors.find(|acceptor| acceptor.listener() == Listener::Clients) {
            Some(acceptor) => acceptor.begin_close(self.now),
            None => self.protocol.handle_listening_stopped(self.now),
        }
        self.accept_pending();
    }

    /// Dispatches an event of the poll to the socket that it belongs to.
    fn dispatch_event(&mut self, event: &mio::event::Event) {
        let token = event.token();
        trace!(
            poll = self.polls,
            token = token.0,
            is_readable = event.is_readable(),
            is_writable = event.is_writable(),
            is_read_closed = event.is_read_closed(),
            is_error = event.is_error(),
            "socket event"
        );
        let mut io = IoContext {
            registry: self.poll.registry(),
            protocol: &mut self.protocol,
            now: self.now,
            earliest_arrival: self.earliest_arrival,
        };
        if token.0 >= FIRST_WAKEUP_TOKEN + self.wakeups.len() {
            self.connections.handle_event(event, &mut io);
        } else if let Some(acceptor) = self.acceptors.iter_mut().find(|a| a.token() == token) {
            acceptor.schedule_accept(self.now);
        } else if let Some(port) = self.datagram_ports.iter_mut().find(|p| p.token() == token) {
            port.receive(&mut io);
        } else if let Some(wakeup) = token
            .0
            .checked_sub(FIRST_WAKEUP_TOKEN)
            .and_then(|n| self.wakeups.get_mut(n))
        {
            wakeup.handle(&mut self.protocol, self.now);
        }
    }
}

impl<P: Protocol> EventSource for EventLoop<P> {
    fn poll(&mut self, timeout: Duration) -> io::Result<Remaining> {
        self.poll.poll(&mut self.events, Some(timeout))?;
        let is_full = self.events.iter().count() >= MAX_EVENTS_PER_POLL;
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
        self.polls += 1;
        self.protocol.begin_iteration(now);
        if let Some(since) = self.lateness.end_poll(now) {
            self.earliest_arrival = since;
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
