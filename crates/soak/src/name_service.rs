//! A DNS name service with three addresses that answer with the same executor list. When told to,
//! it delays or drops answers, or answers with an old list.

mod foreign_numbers;
mod losses;

use crate::ledger::Ledger;
use foreign_numbers::ForeignNumbers;
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use losses::Losses;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The number of addresses of the service.
pub const ADDRESSES: usize = 3;
const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const TTL_SECONDS: u32 = 1;

/// An executor in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedExecutor {
    /// Its number.
    pub number: usize,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it drains.
    pub is_draining: bool,
    /// Unix time of its start in milliseconds; 0 if it was there from the beginning of the run.
    pub started_ms: u64,
}

impl ListedExecutor {
    /// Its name.
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.number)
    }
}

/// An old list that one address sends to a controller until a time.
struct StaleList {
    list: List,
    until: Instant,
}

/// The executor list and its serial number.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// The serial number.
    pub serial: u32,
    /// The executors that are up or draining.
    pub executors: Vec<ListedExecutor>,
}

struct Shared {
    ledger: Ledger,
    list: Mutex<List>,
    controllers: BTreeMap<IpAddr, usize>,
    /// Keyed by address and controller.
    stale_lists: Mutex<BTreeMap<(usize, usize), StaleList>>,
    is_silent: AtomicBool,
    delay_ms: AtomicU64,
    losses: Mutex<Losses>,
    seed: u64,
    foreign_numbers: Mutex<Option<ForeignNumbers>>,
    is_failing: AtomicBool,
    has_stopped: AtomicBool,
}

/// The name service; it ends when it is dropped.
pub struct NameService {
    /// Its addresses.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl NameService {
    /// Starts the service for controllers at these addresses; lost answers are drawn from the seed.
    ///
    /// # Errors
    /// If a socket cannot be opened.
    pub fn start(controllers: &[IpAddr], ledger: Ledger, seed: u64) -> io::Result<NameService> {
        let shared = Arc::new(Shared {
            ledger,
            list: Mutex::default(),
            controllers: controllers.iter().copied().zip(0..).collect(),
            stale_lists: Mutex::default(),
            is_silent: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            losses: Mutex::new(Losses::new(seed)),
            seed,
            foreign_numbers: Mutex::default(),
            is_failing: AtomicBool::new(false),
            has_stopped: AtomicBool::new(false),
        });
        let mut addresses = Vec::new();
        for address in 0..ADDRESSES {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            addresses.push(socket.local_addr()?);
            let shared = shared.clone();
            thread::spawn(move || serve(address, &socket, &shared));
        }
        Ok(NameService { addresses, shared })
    }

    /// The current list.
    pub fn list(&self) -> List {
        self.shared.list().clone()
    }

    /// Changes the list; returns its new serial number.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedExecutor>)) -> u32 {
        let mut list = self.shared.list();
        change(&mut list.executors);
        list.serial += 1;
        list.serial
    }

    /// Answers no queries while `is_silent` is true.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Loses this many in a thousand answers, but no more than [`MAX_CONSECUTIVE_LOSSES`] in a row
    /// to one controller.
    pub fn set_loss(&self, per_mille: u64) {
        self.shared.losses().set_rate(per_mille);
    }

    /// Replaces this many in a thousand answers by the current list under a number of another series.
    pub fn begin_foreign_numbers(&self, per_mille: u64) {
        let foreign = ForeignNumbers::new(self.list(), per_mille, self.shared.seed);
        *self.shared.foreign_numbers() = Some(foreign);
    }

    /// Ends the effect of [`NameService::begin_foreign_numbers`].
    pub fn end_foreign_numbers(&self) {
        *self.shared.foreign_numbers() = None;
    }

    /// Reports a failure in place of all answers while `is_failing` is true.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::SeqCst);
    }

    /// Makes one address send the current list to these controllers for a time, even if the list
    /// changes.
    pub fn serve_stale_list(
        &self,
        address: usize,
        controllers: impl IntoIterator<Item = usize>,
        span: Duration,
    ) {
        let list = self.list();
        let until = Instant::now() + span;
        let mut stale_lists = self.shared.stale_lists();
        for controller in controllers {
            let list = list.clone();
            stale_lists.insert((address, controller), StaleList { list, until });
        }
    }

    /// Records that a controller starts with the current list.
    pub fn record_initial_list(&self, controller: usize) {
        let serial = self.list().serial;
        record_list_sent(&self.shared, controller, serial);
    }

    /// Delays answers by this many milliseconds.
    pub fn set_delay(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }
}

impl Drop for NameService {
    fn drop(&mut self) {
        self.shared.has_stopped.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn list(&self) -> std::sync::MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn losses(&self) -> std::sync::MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn foreign_numbers(&self) -> std::sync::MutexGuard<'_, Option<ForeignNumbers>> {
        self.foreign_numbers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn stale_lists(&self) -> std::sync::MutexGuard<'_, BTreeMap<(usize, usize), StaleList>> {
        self.stale_lists
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The list that an address sends to a controller.
    fn list_for(&self, address: usize, controller: Option<usize>) -> List {
        let mut stale_lists = self.stale_lists();
        stale_lists.retain(|_, stale| stale.until > Instant::now());
        let stale = controller.and_then(|controller| stale_lists.get(&(address, controller)));
        stale.map_or_else(|| self.list().clone(), |stale| stale.list.clone())
    }
}

/// An answer that is to be sent when it is due.
struct PendingAnswer {
    due: Instant,
    to: SocketAddr,
    bytes: Vec<u8>,
    /// The number of the list, unless the answer is a failure or has a number of another series.
    serial: Option<u32>,
}

fn serve(address: usize, socket: &UdpSocket, shared: &Shared) {
    let mut buffer = [0; 2_048];
    let mut pending: Vec<PendingAnswer> = Vec::new();
    while !shared.has_stopped.load(Ordering::SeqCst) {
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            pending.extend(prepare_answer(address, &buffer[..length], from, shared));
        }
        let now = Instant::now();
        for next in pending.extract_if(.., |next| next.due <= now) {
            // Recorded before the answer is sent, as the controller may act on it at once.
            let controller = shared.controllers.get(&next.to.ip());
            if let Some((controller, serial)) = controller.zip(next.serial) {
                record_list_sent(shared, *controller, serial);
            }
            let _ = socket.send_to(&next.bytes, next.to);
        }
    }
}

/// Builds the answer to a query, unless it is lost.
fn prepare_answer(
    address: usize,
    query: &[u8],
    from: SocketAddr,
    shared: &Shared,
) -> Option<PendingAnswer> {
    if shared.is_silent.load(Ordering::SeqCst) {
        return None;
    }
    let controller = shared.controllers.get(&from.ip()).copied();
    if controller.is_some_and(|controller| shared.losses().is_next_lost(controller)) {
        return None;
    }
    let foreign = shared
        .foreign_numbers()
        .as_mut()
        .and_then(|f| f.next_list());
    let is_failing = shared.is_failing.load(Ordering::SeqCst);
    let is_right = foreign.is_none() && !is_failing;
    let list = foreign.unwrap_or_else(|| shared.list_for(address, controller));
    let code = match is_failing {
        true => ResponseCode::ServFail,
        false => ResponseCode::NoError,
    };
    let delay = Duration::from_millis(shared.delay_ms.load(Ordering::SeqCst));
    Some(PendingAnswer {
        due: Instant::now() + delay,
        to: from,
        bytes: answer(query, &list, code)?,
        serial: is_right.then_some(list.serial),
    })
}

fn record_list_sent(shared: &Shared, controller: usize, serial: u32) {
    let at = shared.ledger.now();
    let mut records = shared.ledger.records();
    records
        .list_sent_at
        .entry((controller, serial))
        .or_insert(at);
}

/// The DNS message that answers a query for the list.
fn answer(query: &[u8], list: &List, code: ResponseCode) -> Option<Vec<u8>> {
    let query = Message::from_vec(query).ok()?;
    let service = Name::from_ascii(SERVICE_NAME).ok()?;
    let mut answer = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
    answer.metadata.response_code = code;
    answer.add_query(query.queries.first()?.clone());
    for executor in &list.executors {
        let IpAddr::V4(ip) = executor.address.ip() else {
            continue;
        };
        let target = Name::from_ascii(format!("{}.z.hosts.", executor.name())).ok()?;
        let priority = u16::from(executor.is_draining);
        let port = executor.address.port();
        let srv = RData::SRV(SRV::new(priority, 80, port, target.clone()));
        answer.add_answer(Record::from_rdata(service.clone(), TTL_SECONDS, srv));
        let address = RData::A(A(ip));
        answer.add_additional(Record::from_rdata(target.clone(), TTL_SECONDS, address));
        let properties = vec![
            "kind=std".to_string(),
            "cell=0".to_string(),
            format!("started={}", executor.started_ms),
        ];
        let text = RData::TXT(TXT::new(properties));
        answer.add_additional(Record::from_rdata(target, TTL_SECONDS, text));
    }
    let zone = Name::from_ascii("mesh.local.").ok()?;
    let soa = SOA::new(zone.clone(), zone.clone(), list.serial, 1, 1, 1, 1);
    answer.add_authority(Record::from_rdata(zone, TTL_SECONDS, RData::SOA(soa)));
    answer.to_vec().ok()
}
