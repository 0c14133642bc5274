//! Idle clients of a controller: they connect, send nothing, and are more than the controller has
//! file descriptors for.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Time between the arrivals of two idle clients.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connects idle clients one after the other until the run is over, and keeps the latest
/// `max_clients` of them open.
pub fn connect_until_stopped(controller: SocketAddr, max_clients: usize, has_stopped: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !has_stopped.load(Ordering::SeqCst) {
        if idle.len() >= max_clients {
            idle.remove(0);
        }
        idle.extend(TcpStream::connect_timeout(&controller, CONNECT_TIMEOUT).ok());
        thread::sleep(ARRIVAL_INTERVAL);
    }
}
