//! A network between processes. Each controller is reached at an address of the relay, which
//! forwards what arrives there to the address at which the controller listens, and sends it from
//! the address at which the others reach the sender. [`LinkEmulator`] applies the faults on the
//! way.

use anyhow::{Context, Result};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BinaryHeap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;
use wheelfield_net::Clock;
use wheelfield_network_faults::{FaultSchedule, LinkCounters, LinkEmulator};

/// Maximum length of a forwarded datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams in transit. Further ones are lost, as in a network whose buffers are
/// full.
const MAX_IN_TRANSIT: usize = 100_000;
/// Maximum number of datagrams that are read from one socket before the next socket has its turn.
const MAX_READS_PER_TURN: usize = 256;
const WAKE_TOKEN: Token = Token(usize::MAX);

enum Command {
    /// The process of this controller listens at this address now.
    SetListenAddress(usize, SocketAddr),
    /// Faults follow this schedule, in times of the wall clock.
    StartFaults(Box<FaultSchedule>),
    Stop,
}

/// What a relay forwarded.
#[derive(Debug)]
pub struct RelayCounters {
    /// Counters of the links by the controller that sent.
    pub by_sender: Vec<LinkCounters>,
    /// Datagrams from unknown addresses: of a process that has been killed, or of another program.
    pub unknown_senders: u64,
    /// Datagrams lost because too many were in transit.
    pub dropped_at_capacity: u64,
}

/// A relay on its own thread, which runs until it is stopped.
#[derive(Debug)]
pub struct Relay {
    /// Relay address of each controller.
    pub addresses: Vec<SocketAddr>,
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<Result<RelayCounters>>>,
}

impl Relay {
    /// Binds an address for each controller and starts to forward. Links have no faults until
    /// [`Relay::start_faults`].
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn start(controllers: usize, seed: u64, clock: Clock) -> Result<Relay> {
        let poll = Poll::new()?;
        let mut sockets = Vec::new();
        for i in 0..controllers {
            let mut socket =
                UdpSocket::bind("127.0.0.1:0".parse()?).context("cannot bind a UDP port for the relay")?;
            poll.registry().register(&mut socket, Token(i), Interest::READABLE)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(|s| Ok(s.local_addr()?)).collect::<Result<Vec<_>>>()?;
        let waker = Waker::new(poll.registry(), WAKE_TOKEN)?;
        let (commands, receiver) = channel();
        let relay_thread = RelayThread {
            clock,
            poll,
            listen_addresses: vec![None; controllers],
            controller_by_address: HashMap::new(),
            may_have_more: vec![false; controllers],
            sockets,
            links: LinkEmulator::new(FaultSchedule::default(), seed),
            seed,
            in_transit: BinaryHeap::new(),
            last_sequence: 0,
            unknown_senders: 0,
            dropped_at_capacity: 0,
        };
        let thread =
            std::thread::Builder::new().name("relay".into()).spawn(move || relay_thread.run(&receiver))?;
        Ok(Relay { addresses, commands, waker, thread: Some(thread) })
    }

    fn send_command(&self, command: Command) -> Result<()> {
        self.commands.send(command).ok().context("the relay thread has ended")?;
        Ok(self.waker.wake()?)
    }

    /// Sets the address at which a controller's process listens.
    ///
    /// # Errors
    /// If the relay's thread has failed.
    pub fn set_listen_address(&self, controller: usize, at: SocketAddr) -> Result<()> {
        self.send_command(Command::SetListenAddress(controller, at))
    }

    /// Applies the faults of this schedule from now on, in times of the wall clock.
    ///
    /// # Errors
    /// If the relay's thread has failed.
    pub fn start_faults(&self, schedule: FaultSchedule) -> Result<()> {
        self.send_command(Command::StartFaults(Box::new(schedule)))
    }

    /// Stops the relay and returns its counters.
    ///
    /// # Errors
    /// If the relay's thread has failed.
    pub fn stop(mut self) -> Result<RelayCounters> {
        self.send_command(Command::Stop)?;
        let thread = self.thread.take().context("the relay was stopped before")?;
        thread.join().map_err(|_| anyhow::anyhow!("the relay thread panicked"))?
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = self.send_command(Command::Stop);
            let _ = thread.join();
        }
    }
}

/// A datagram in transit. The order is reversed, so that the heap's maximum is the next one to
/// arrive.
#[derive(PartialEq, Eq)]
struct DatagramInTransit {
    at: i64,
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Ord for DatagramInTransit {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for DatagramInTransit {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct RelayThread {
    clock: Clock,
    poll: Poll,
    sockets: Vec<UdpSocket>,
    /// Listen address of each controller's process, and the controller of each such address.
    listen_addresses: Vec<Option<SocketAddr>>,
    controller_by_address: HashMap<SocketAddr, usize>,
    /// Sockets that may have more datagrams to read. The poll is edge-triggered and doesn't report
    /// them again.
    may_have_more: Vec<bool>,
    links: LinkEmulator,
    seed: u64,
    in_transit: BinaryHeap<DatagramInTransit>,
    last_sequence: u64,
    unknown_senders: u64,
    dropped_at_capacity: u64,
}

impl RelayThread {
    fn run(mut self, commands: &Receiver<Command>) -> Result<RelayCounters> {
        let mut events = Events::with_capacity(256);
        loop {
            let wait = match self.in_transit.peek() {
                _ if self.may_have_more.contains(&true) => Duration::ZERO,
                Some(next) => self.clock.until(next.at),
                None => Duration::from_secs(1),
            };
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            while let Ok(command) = commands.try_recv() {
                match command {
                    Command::SetListenAddress(controller, at) => {
                        if let Some(previous) = self.listen_addresses[controller].replace(at) {
                            self.controller_by_address.remove(&previous);
                        }
                        self.controller_by_address.insert(at, controller);
                    }
                    Command::StartFaults(schedule) => self.links = LinkEmulator::new(*schedule, self.seed),
                    Command::Stop => return Ok(self.counters()),
                }
            }
            for event in &events {
                if let Some(flag) = self.may_have_more.get_mut(event.token().0) {
                    *flag = true;
                }
            }
            for to in 0..self.may_have_more.len() {
                if std::mem::take(&mut self.may_have_more[to]) {
                    self.receive(to);
                }
            }
            self.deliver();
        }
    }

    fn counters(&self) -> RelayCounters {
        let by_sender = (0..self.sockets.len()).map(|i| self.links.counters_from(i)).collect();
        RelayCounters {
            by_sender,
            unknown_senders: self.unknown_senders,
            dropped_at_capacity: self.dropped_at_capacity,
        }
    }

    /// Reads the datagrams that were sent to a controller.
    fn receive(&mut self, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let (length, from) = match self.sockets[to].recv_from(&mut buffer) {
                Ok(got) => got,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram was sent to a closed port; it is lost.
                Err(_) => continue,
            };
            let Some(from) = self.controller_by_address.get(&from).copied() else {
                self.unknown_senders += 1;
                continue;
            };
            let now = self.clock.now();
            for arrival in self.links.transmit(from, to, now, &buffer[..length]) {
                if self.in_transit.len() >= MAX_IN_TRANSIT {
                    self.dropped_at_capacity += 1;
                    continue;
                }
                self.last_sequence += 1;
                let (at, bytes) = (arrival.at, arrival.bytes);
                self.in_transit.push(DatagramInTransit { at, sequence: self.last_sequence, from, to, bytes });
            }
        }
        self.may_have_more[to] = true;
    }

    /// Sends the datagrams whose arrival time has come.
    fn deliver(&mut self) {
        let now = self.clock.now();
        while self.in_transit.peek().is_some_and(|p| p.at <= now) {
            let Some(datagram) = self.in_transit.pop() else { return };
            if let Some(at) = self.listen_addresses[datagram.to] {
                // A datagram that cannot be sent is lost, as on a real network.
                let _ = self.sockets[datagram.from].send_to(&datagram.bytes, at);
            }
        }
    }
}
