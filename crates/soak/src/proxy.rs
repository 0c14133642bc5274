//! A proxy between the clients and one controller. It delays, splits or withholds bytes and resets
//! connections when told to.

use crate::controller::ControllerState;
use crate::ledger::Ledger;
use socket2::SockRef;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
const WITHHOLD_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
const STACK_BYTES: usize = 128 << 10;
const CHUNK_BYTES: usize = 4 << 10;

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
    }
    let connection = Arc::new(ForwardedConnection {
        client_address,
        client,
        controller,
        is_reset: AtomicBool::new(false),
    });
    shared.connections().push(connection.clone());
    let (reverse, reverse_shared) = (connection.clone(), shared.clone());
    let spawned = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            forward_bytes(controller_copy, &reverse.client, &reverse_shared.faults);
            reverse.end();
        });
    forward_bytes(client_copy, &connection.controller, &shared.faults);
    connection.end();
    if let Ok(handle) = spawned {
        let _ = handle.join();
    }
    shared
        .connections()
        .retain(|other| !Arc::ptr_eq(other, &connection));
}

/// Forwards bytes until one side ends.
fn forward_bytes(mut from: TcpStream, mut to: &TcpStream, faults: &ProxyFaults) {
    let mut buffer = [0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        while faults.withholds.load(Ordering::SeqCst) {
            thread::sleep(WITHHOLD_INTERVAL);
        }
        thread::sleep(Duration::from_millis(
            faults.delay_ms.load(Ordering::SeqCst),
        ));
        let chunk_bytes = if faults.splits.load(Ordering::SeqCst) {
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
    }
}
