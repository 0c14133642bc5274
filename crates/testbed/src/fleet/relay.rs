//! A network between processes: each controller is reached at an address of the relay's, which carries what comes there to where
//! the controller listens, from the address at which the others reach the sender. What happens on the way is [`Roads`]'.

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

/// The longest datagram that is carried.
const LONGEST: usize = 2_048;
/// Datagrams under way at most; what comes beyond them is lost, as in a network whose buffers are full.
const UNDER_WAY: usize = 100_000;
/// Datagrams taken from one socket in a turn.
const TURN: usize = 256;
const WAKE: Token = Token(usize::MAX);

enum Word {
    /// This controller's process listens there now.
    Listens(usize, SocketAddr),
    /// Faults begin to count from this time of the clock.
    Begin(Box<FaultSchedule>),
    End,
}

/// What was carried.
#[derive(Debug)]
pub struct RelayCounters {
    /// By the controller that sent it.
    pub by_sender: Vec<LinkCounters>,
    /// Datagrams of processes that nobody knows: of one that was killed since, or of a stranger.
    pub unknown_senders: u64,
    /// Lost as too much was under way.
    pub dropped_at_capacity: u64,
}

/// A relay, which runs until it is ended.
#[derive(Debug)]
pub struct Relay {
    /// Where each controller is reached.
    pub addresses: Vec<SocketAddr>,
    words: Sender<Word>,
    waker: Waker,
    thread: Option<JoinHandle<Result<RelayCounters>>>,
}

impl Relay {
    /// Takes an address for each of so many controllers, and begins to carry. Until [`Relay::begin`], roads are without faults.
    ///
    /// # Errors
    /// As the system tells.
    pub fn start(controllers: usize, seed: u64, clock: Clock) -> Result<Relay> {
        let poll = Poll::new()?;
        let mut sockets = Vec::new();
        for i in 0..controllers {
            let mut socket = UdpSocket::bind("127.0.0.1:0".parse()?).context("no port for the relay")?;
            poll.registry().register(&mut socket, Token(i), Interest::READABLE)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(|s| Ok(s.local_addr()?)).collect::<Result<Vec<_>>>()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let (words, heard) = channel();
        let carrier = Carrier {
            clock,
            poll,
            listen_addresses: vec![None; controllers],
            owners: HashMap::new(),
            again: vec![false; controllers],
            sockets,
            roads: LinkEmulator::new(FaultSchedule::default(), seed),
            seed,
            under_way: BinaryHeap::new(),
            numbered: 0,
            unknown_senders: 0,
            dropped_at_capacity: 0,
        };
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || carrier.run(&heard))?;
        Ok(Relay { addresses, words, waker, thread: Some(thread) })
    }

    fn tell(&self, word: Word) -> Result<()> {
        self.words.send(word).ok().context("the relay has ended")?;
        Ok(self.waker.wake()?)
    }

    /// A controller's process listens here now.
    ///
    /// # Errors
    /// If the relay has come down.
    pub fn set_listen_address(&self, controller: usize, at: SocketAddr) -> Result<()> {
        self.tell(Word::Listens(controller, at))
    }

    /// From now on faults come by this timetable, in times of the clock.
    ///
    /// # Errors
    /// If the relay has come down.
    pub fn start_faults(&self, timetable: FaultSchedule) -> Result<()> {
        self.tell(Word::Begin(Box::new(timetable)))
    }

    /// Ends it; what it carried.
    ///
    /// # Errors
    /// If it has come down.
    pub fn stop(mut self) -> Result<RelayCounters> {
        self.tell(Word::End)?;
        let thread = self.thread.take().context("ended before")?;
        thread.join().map_err(|_| anyhow::anyhow!("the relay panicked"))?
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = self.tell(Word::End);
            let _ = thread.join();
        }
    }
}

/// A datagram under way; the one that arrives first is the greatest.
#[derive(PartialEq, Eq)]
struct Parcel {
    at: i64,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Ord for Parcel {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Parcel {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Carrier {
    clock: Clock,
    poll: Poll,
    sockets: Vec<UdpSocket>,
    /// Where the process of each controller listens, and whose an address is.
    listen_addresses: Vec<Option<SocketAddr>>,
    owners: HashMap<SocketAddr, usize>,
    /// More may wait at a socket, though the system will not tell so.
    again: Vec<bool>,
    roads: LinkEmulator,
    seed: u64,
    under_way: BinaryHeap<Parcel>,
    numbered: u64,
    unknown_senders: u64,
    dropped_at_capacity: u64,
}

impl Carrier {
    fn run(mut self, heard: &Receiver<Word>) -> Result<RelayCounters> {
        let mut events = Events::with_capacity(256);
        loop {
            let wait = match self.under_way.peek() {
                _ if self.again.contains(&true) => Duration::ZERO,
                Some(next) => self.clock.until(next.at),
                None => Duration::from_secs(1),
            };
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            while let Ok(word) = heard.try_recv() {
                match word {
                    Word::Listens(controller, at) => {
                        if let Some(before) = self.listen_addresses[controller].replace(at) {
                            self.owners.remove(&before);
                        }
                        self.owners.insert(at, controller);
                    }
                    Word::Begin(timetable) => self.roads = LinkEmulator::new(*timetable, self.seed),
                    Word::End => return Ok(self.carried()),
                }
            }
            for event in &events {
                if let Some(again) = self.again.get_mut(event.token().0) {
                    *again = true;
                }
            }
            for to in 0..self.again.len() {
                if std::mem::take(&mut self.again[to]) {
                    self.take(to);
                }
            }
            self.deliver();
        }
    }

    fn carried(&self) -> RelayCounters {
        let from = (0..self.sockets.len()).map(|i| self.roads.counters_from(i)).collect();
        RelayCounters {
            by_sender: from,
            unknown_senders: self.unknown_senders,
            dropped_at_capacity: self.dropped_at_capacity,
        }
    }

    /// Takes what was sent to a controller.
    fn take(&mut self, to: usize) {
        let mut buffer = [0; LONGEST];
        for _ in 0..TURN {
            let (length, from) = match self.sockets[to].recv_from(&mut buffer) {
                Ok(got) => got,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Somebody's port is closed: what was sent there is lost.
                Err(_) => continue,
            };
            let Some(from) = self.owners.get(&from).copied() else {
                self.unknown_senders += 1;
                continue;
            };
            let now = self.clock.now();
            for arrival in self.roads.transmit(from, to, now, &buffer[..length]) {
                if self.under_way.len() >= UNDER_WAY {
                    self.dropped_at_capacity += 1;
                    continue;
                }
                self.numbered += 1;
                let (at, bytes) = (arrival.at, arrival.bytes);
                self.under_way.push(Parcel { at, number: self.numbered, from, to, bytes });
            }
        }
        self.again[to] = true;
    }

    /// Hands over what has arrived.
    fn deliver(&mut self) {
        let now = self.clock.now();
        while self.under_way.peek().is_some_and(|p| p.at <= now) {
            let Some(parcel) = self.under_way.pop() else { return };
            if let Some(at) = self.listen_addresses[parcel.to] {
                // What can't go is lost, as datagrams may be.
                let _ = self.sockets[parcel.from].send_to(&parcel.bytes, at);
            }
        }
    }
}
