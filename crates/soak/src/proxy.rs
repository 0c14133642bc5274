//! A proxy between the clients and one controller. It delays, splits or withholds bytes and resets
//! connections when told to.

use crate::arrival::{enable_timestamps, read_with_wait};
use crate::controller::ControllerState;
use crate::ledger::Ledger;
use socket2::SockRef;
use std::io::{self, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
const WITHHOLD_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
const STACK_BYTES: usize = 128 << 10;
const CHUNK_BYTES: usize = 4 << 10;
/// Bytes that a thread forwards later than this are recorded as held up.
const HELD_UP_THRESHOLD: Duration = Duration::from_millis(10);

/// The faults that a proxy applies to the bytes that it forwards.
#[derive(Debug, Default)]
pub struct ProxyFaults {
    /// Delay of each chunk in milliseconds.
    pub delay_ms: AtomicU64,
    /// Whether bytes are forwarded one by one.
    pub splits: AtomicBool,
    /// Whether nothing is forwarded.
    pub withholds: AtomicBool,
}

/// The two sides of a forwarded connection.
struct ForwardedConnection {
    client_address: SocketAddr,
    client: TcpStream,
    controller: TcpStream,
    is_reset: AtomicBool,
}

impl ForwardedConnection {
    /// Ends both sides once one has ended. A connection that is reset is not shut down here, so
    /// that its close sends a reset.
    fn end(&self) {
        if !self.is_reset.load(Ordering::SeqCst) {
            let _ = self.client.shutdown(Shutdown::Both);
            let _ = self.controller.shutdown(Shutdown::Both);
        }
    }
}

struct Shared {
    index: usize,
    controller: SocketAddr,
    state: Arc<ControllerState>,
    ledger: Ledger,
    faults: ProxyFaults,
    connections: Mutex<Vec<Arc<ForwardedConnection>>>,
    has_stopped: AtomicBool,
}

/// A proxy that runs until it is dropped.
pub struct Proxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy in front of the controller with this number and address.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(
        index: usize,
        controller: SocketAddr,
        state: Arc<ControllerState>,
        ledger: Ledger,
    ) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            index,
            controller,
            state,
            ledger,
            faults: ProxyFaults::default(),
            connections: Mutex::default(),
            has_stopped: AtomicBool::new(false),
        });
        let for_listener = shared.clone();
        thread::spawn(move || listen(&listener, &for_listener));
        Ok(Proxy { address, shared })
    }

    /// The faults that it applies.
    pub fn faults(&self) -> &ProxyFaults {
        &self.shared.faults
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        for connection in self.shared.connections().iter() {
            self.shared
                .ledger
                .record_broken_connection(connection.client_address);
            connection.is_reset.store(true, Ordering::SeqCst);
            for stream in [&connection.controller, &connection.client] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.has_stopped.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn connections(&self) -> std::sync::MutexGuard<'_, Vec<Arc<ForwardedConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn listen(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.has_stopped.load(Ordering::SeqCst) {
        let Ok((client, client_address)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let shared = shared.clone();
        let _ = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || forward(client, client_address, &shared));
    }
}

fn forward(client: TcpStream, client_address: SocketAddr, shared: &Arc<Shared>) {
    let accepted_at = Instant::now();
    let was_accepting = shared.state.is_accepting(shared.ledger.now());
    let controller = match TcpStream::connect_timeout(&shared.controller, CONNECT_TIMEOUT) {
        Ok(controller) => controller,
        Err(_) => {
            let now = shared.ledger.now();
            if was_accepting && shared.state.is_accepting(now) {
                shared.ledger.records().refused.push((shared.index, now));
            }
            shared.ledger.record_broken_connection(client_address);
            return;
        }
    };
    let copies = client
        .try_clone()
        .and_then(|c| Ok((c, controller.try_clone()?)));
    let Ok((client_copy, controller_copy)) = copies else {
        return shared.ledger.record_broken_connection(client_address);
    };
    for stream in [&client, &controller] {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = enable_timestamps(stream);
    }
    let connection = Arc::new(ForwardedConnection {
        client_address,
        client,
        controller,
        is_reset: AtomicBool::new(false),
    });
    shared.connections().push(connection.clone());
    let ready_at = Instant::now();
    let (reverse, reverse_shared) = (connection.clone(), shared.clone());
    let spawned = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let mut answers = Forwarding::new(&reverse_shared, client_address, ready_at);
            answers.run(&controller_copy, &reverse.client);
            reverse.end();
        });
    let mut requests = Forwarding::new(shared, client_address, ready_at);
    requests.accepted_at = Some(accepted_at);
    requests.run(&client_copy, &connection.controller);
    connection.end();
    if let Ok(handle) = spawned {
        let _ = handle.join();
    }
    shared
        .connections()
        .retain(|other| !Arc::ptr_eq(other, &connection));
}

/// Forwards the bytes of one direction of a connection, and records for how long they were held up
/// by the proxy's threads rather than by a fault.
struct Forwarding<'a> {
    shared: &'a Shared,
    client_address: SocketAddr,
    /// When the connection was accepted, until its first bytes have been read.
    accepted_at: Option<Instant>,
    /// Since when bytes that have arrived could be forwarded.
    ready_at: Instant,
}

impl Forwarding<'_> {
    fn new(shared: &Shared, client_address: SocketAddr, ready_at: Instant) -> Forwarding<'_> {
        Forwarding {
            shared,
            client_address,
            accepted_at: None,
            ready_at,
        }
    }

    /// Forwards bytes until one side ends.
    fn run(&mut self, from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = [0; CHUNK_BYTES];
        loop {
            let (length, waited) = match read_with_wait(from, &mut buffer) {
                Ok((0, _)) | Err(_) => return,
                Ok(read) => read,
            };
            let read_at = Instant::now();
            let arrived_at = read_at.checked_sub(waited).unwrap_or(read_at);
            let planned = self.wait_for_faults();
            self.record_held_up(arrived_at, planned);
            let chunk_bytes = if self.shared.faults.splits.load(Ordering::SeqCst) {
                1
            } else {
                CHUNK_BYTES
            };
            let sent = buffer[..length]
                .chunks(chunk_bytes)
                .try_for_each(|chunk| to.write_all(chunk));
            if sent.is_err() {
                return;
            }
            self.ready_at = Instant::now();
        }
    }

    /// Waits for as long as the faults withhold and delay bytes, and returns that time.
    fn wait_for_faults(&self) -> Duration {
        let faults = &self.shared.faults;
        let began_at = Instant::now();
        while faults.withholds.load(Ordering::SeqCst) {
            thread::sleep(WITHHOLD_INTERVAL);
        }
        let withheld = began_at.elapsed();
        let delay = Duration::from_millis(faults.delay_ms.load(Ordering::SeqCst));
        thread::sleep(delay);
        withheld + delay
    }

    /// Records by how much bytes that are forwarded now come later than a fault asked for. Bytes
    /// that had to wait for those before them count from then.
    fn record_held_up(&mut self, arrived_at: Instant, planned: Duration) {
        let accepted_at = self.accepted_at.take().unwrap_or(arrived_at);
        let not_accepted = accepted_at.saturating_duration_since(arrived_at);
        let in_proxy = arrived_at.max(self.ready_at).elapsed();
        let held_up = not_accepted + in_proxy.saturating_sub(planned);
        if held_up > HELD_UP_THRESHOLD {
            self.shared
                .ledger
                .record_held_up(self.client_address, held_up);
        }
    }
}
